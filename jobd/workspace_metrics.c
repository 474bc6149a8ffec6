#include "workspace_metrics.h"

#include <string.h>

enum
{
  WORKSPACES_SHOWN_MAX = 32,
};

/* The metrics of one workspace, or of all that aren't shown each. */
struct row
{
  struct metric cpu_milli;
  struct metric waiting;
  struct metric starts;
  struct metric refused;
};

struct workspace_metrics
{
  struct metrics *metrics;
  /* Name of each workspace that is shown to its struct row. */
  GHashTable *rows;
  /* NULL while there are no workspaces. */
  struct row *others;
};

static void
row_destroy (gpointer data)
{
  struct row *row = data;

  metric_remove (&row->cpu_milli);
  metric_remove (&row->waiting);
  metric_remove (&row->starts);
  metric_remove (&row->refused);
  g_free (row);
}

/* Returns a name as a label, with the escapes that the Prometheus format requires. */
static char *
workspace_label (const char *name)
{
  GString *label = g_string_new ("workspace=\"");

  for (const char *c = name; *c; c++)
    {
      if (*c == '\n')
        g_string_append (label, "\\n");
      else if (*c == '"' || *c == '\\')
        g_string_append_printf (label, "\\%c", *c);
      else
        g_string_append_c (label, *c);
    }
  g_string_append_c (label, '"');
  return g_string_free (label, FALSE);
}

/* Adds the metrics with a label. */
static struct row *
row_create (struct metrics *metrics, const char *label)
{
  struct row *row = g_new0 (struct row, 1);

  metric_add_gauge (metrics, &row->cpu_milli, "sesamepick_jobd_workspace_cpu_milli", label,
                    "Processor time that tasks of the workspace request which run or may run.");
  metric_add_gauge (metrics, &row->waiting, "sesamepick_jobd_workspace_tasks_ready", label,
                    "Tasks of the workspace that wait for a start.");
  metric_add_counter (metrics, &row->starts, "sesamepick_jobd_workspace_starts_total", label,
                      "Tasks of the workspace that this leader has started.");
  metric_add_counter (metrics, &row->refused, "sesamepick_jobd_workspace_refused_total", label,
                      "Scheduling passes in which the workspace's cap held back a start.");
  return row;
}

struct workspace_metrics *
workspace_metrics_create (struct metrics *metrics)
{
  struct workspace_metrics *by_workspace = g_new0 (struct workspace_metrics, 1);

  by_workspace->metrics = metrics;
  by_workspace->rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, row_destroy);
  return by_workspace;
}

void
workspace_metrics_destroy (struct workspace_metrics *by_workspace)
{
  g_hash_table_destroy (by_workspace->rows);
  if (by_workspace->others)
    row_destroy (by_workspace->others);
  g_free (by_workspace);
}

/* Compares workspaces by weight, the largest first, then by name. */
static int
workspace_compare (const void *left, const void *right)
{
  const struct workspace *a = *(const struct workspace *const *) left;
  const struct workspace *b = *(const struct workspace *const *) right;

  if (a->weight != b->weight)
    return a->weight > b->weight ? -1 : 1;
  return strcmp (a->name, b->name);
}

void
workspace_metrics_choose (struct workspace_metrics *by_workspace,
                          const struct workspace_table *table)
{
  g_autoptr (GPtrArray) sorted = g_ptr_array_new ();
  g_autoptr (GHashTable) chosen = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter each;
  gpointer name;

  for (guint i = 0; i < table->workspaces->len; i++)
    g_ptr_array_add (sorted, g_ptr_array_index (table->workspaces, i));
  g_ptr_array_sort (sorted, workspace_compare);
  for (guint i = 0; i < MIN (sorted->len, WORKSPACES_SHOWN_MAX); i++)
    g_hash_table_add (chosen, ((struct workspace *) g_ptr_array_index (sorted, i))->name);
  g_hash_table_iter_init (&each, by_workspace->rows);
  while (g_hash_table_iter_next (&each, &name, NULL))
    {
      if (!g_hash_table_contains (chosen, name))
        g_hash_table_iter_remove (&each);
    }
  g_hash_table_iter_init (&each, chosen);
  while (g_hash_table_iter_next (&each, &name, NULL))
    {
      g_autofree char *label = workspace_label (name);

      if (!g_hash_table_contains (by_workspace->rows, name))
        g_hash_table_insert (by_workspace->rows, g_strdup (name),
                             row_create (by_workspace->metrics, label));
    }
  if (!by_workspace->others && sorted->len > 0)
    by_workspace->others = row_create (by_workspace->metrics, "workspace=\"other\"");
}

static void
row_clear (struct row *row)
{
  row->cpu_milli.value = 0;
  row->waiting.value = 0;
  row->starts.value = 0;
  row->refused.value = 0;
}

void
workspace_metrics_update (struct workspace_metrics *by_workspace, const GPtrArray *accounts)
{
  GHashTableIter each;
  gpointer value;

  if (!by_workspace->others)
    return;
  row_clear (by_workspace->others);
  g_hash_table_iter_init (&each, by_workspace->rows);
  while (g_hash_table_iter_next (&each, NULL, &value))
    row_clear (value);
  for (guint i = 0; accounts && i < accounts->len; i++)
    {
      const struct workspace_account *account = g_ptr_array_index (accounts, i);
      struct row *row = g_hash_table_lookup (by_workspace->rows, account->name);

      if (!row)
        row = by_workspace->others;
      row->cpu_milli.value += account->used.cpu_milli;
      row->waiting.value += account->n_ready;
      row->starts.value += (int64_t) account->starts;
      row->refused.value += (int64_t) account->refused;
    }
}
