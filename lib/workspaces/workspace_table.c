#include "lib/workspaces/workspace_table.h"

static void
workspace_destroy (gpointer data)
{
  struct workspace *workspace = data;

  g_free (workspace->name);
  g_free (workspace);
}

struct workspace_table *
workspace_table_create (void)
{
  struct workspace_table *table = g_new0 (struct workspace_table, 1);

  table->workspaces = g_ptr_array_new_with_free_func (workspace_destroy);
  table->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  return table;
}

/* Frees a table; NULL is allowed. */
void
workspace_table_destroy (struct workspace_table *table)
{
  if (!table)
    return;
  g_hash_table_destroy (table->by_name);
  g_ptr_array_free (table->workspaces, TRUE);
  g_free (table);
}

struct workspace *
workspace_table_add (struct workspace_table *table, const struct workspace *workspace)
{
  struct workspace *copy;

  if (g_hash_table_contains (table->by_name, workspace->name))
    return NULL;
  copy = g_new (struct workspace, 1);
  *copy = *workspace;
  copy->name = g_strdup (workspace->name);
  g_ptr_array_add (table->workspaces, copy);
  g_hash_table_insert (table->by_name, copy->name, copy);
  return copy;
}

void
workspace_table_merge (struct workspace_table *table, const struct workspace_table *newer)
{
  for (guint i = 0; i < newer->workspaces->len; i++)
    {
      const struct workspace *workspace = g_ptr_array_index (newer->workspaces, i);
      gpointer former = g_hash_table_lookup (table->by_name, workspace->name);

      if (former)
        {
          g_hash_table_remove (table->by_name, workspace->name);
          g_ptr_array_remove (table->workspaces, former);
        }
      workspace_table_add (table, workspace);
    }
}

const struct workspace *
workspace_table_find (const struct workspace_table *table, const char *name)
{
  return g_hash_table_lookup (table->by_name, name);
}

bool
workspace_table_is_empty (const struct workspace_table *table)
{
  return table->workspaces->len == 0;
}
