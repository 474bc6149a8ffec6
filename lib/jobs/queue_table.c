#include "lib/jobs/queue_table.h"

#include <string.h>

static void
queue_destroy (gpointer data)
{
  struct job_queue *queue = data;

  g_free (queue->host);
  g_free (queue->prefix);
  g_free (queue->pool);
  g_free (queue);
}

static void
pool_config_destroy (gpointer data)
{
  struct job_pool_config *pool = data;

  g_free (pool->name);
  g_free (pool);
}

struct queue_table *
queue_table_create (void)
{
  struct queue_table *table = g_new0 (struct queue_table, 1);

  table->queues = g_ptr_array_new_with_free_func (queue_destroy);
  table->pools = g_ptr_array_new_with_free_func (pool_config_destroy);
  table->workspaces = workspace_table_create ();
  return table;
}

void
queue_table_destroy (struct queue_table *table)
{
  if (!table)
    return;
  g_ptr_array_free (table->queues, TRUE);
  g_ptr_array_free (table->pools, TRUE);
  workspace_table_destroy (table->workspaces);
  g_free (table);
}

void
queue_table_add (struct queue_table *table, const struct job_queue *queue)
{
  struct job_queue *copy = g_new (struct job_queue, 1);

  *copy = *queue;
  copy->host = g_strdup (queue->host);
  copy->prefix = g_strdup (queue->prefix);
  copy->pool = g_strdup (queue->pool);
  g_ptr_array_add (table->queues, copy);
}

void
queue_table_add_pool (struct queue_table *table, const char *name, bool standby)
{
  struct job_pool_config *pool = g_new (struct job_pool_config, 1);

  pool->name = g_strdup (name);
  pool->standby = standby;
  g_ptr_array_add (table->pools, pool);
}

/* Returns whether a Host header names the host. A port in the header is ignored. */
static bool
host_matches (const char *header, const char *host)
{
  size_t len = strlen (host);

  return g_ascii_strncasecmp (header, host, len) == 0 &&
         (header[len] == '\0' || header[len] == ':');
}

const struct job_queue *
queue_table_find (const struct queue_table *table, const char *host, const char *path,
                  const char **rest)
{
  const struct job_queue *best = NULL;

  for (guint i = 0; i < table->queues->len; i++)
    {
      const struct job_queue *queue = g_ptr_array_index (table->queues, i);

      if (!host_matches (host, queue->host) || !g_str_has_prefix (path, queue->prefix))
        continue;
      if (!best || strlen (queue->prefix) > strlen (best->prefix))
        best = queue;
    }
  if (best)
    *rest = path + strlen (best->prefix);
  return best;
}

char *
queue_name (const struct job_queue *queue)
{
  return g_strconcat (queue->host, queue->prefix, NULL);
}
