#ifndef SESAMEPICK_LIB_JOBS_QUEUE_TABLE_H
#define SESAMEPICK_LIB_JOBS_QUEUE_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/workspaces/workspace_table.h"

/* The queues and pools of one version of the configuration. */
struct job_queue
{
  /* Jobs of a queue are submitted to paths with this prefix on this host. */
  char *host;
  char *prefix;
  char *pool;
  /* Properties that the queue's jobs inherit. */
  uint32_t priority;
  uint32_t max_attempts;
  /* A job's objective is this many thousandths of its critical path, plus target_ms. */
  uint32_t slack_permille;
  uint32_t target_ms;
  /* The queue's endpoints must be admitted by the advice service. */
  bool advised;
  /* Callers need no key. */
  bool is_public;
};

struct job_pool_config
{
  char *name;
  bool standby;
};

struct queue_table
{
  int64_t version;
  GPtrArray *queues;
  GPtrArray *pools;
  /* Empty where the deployment has no workspaces. */
  struct workspace_table *workspaces;
};

struct queue_table *queue_table_create (void);
void queue_table_destroy (struct queue_table *table);
/* Adds a copy of the queue. */
void queue_table_add (struct queue_table *table, const struct job_queue *queue);
void queue_table_add_pool (struct queue_table *table, const char *name, bool standby);
/* Returns the queue of the host with the longest prefix of path, or NULL. rest is set to the part
 * of path after the prefix. */
const struct job_queue *queue_table_find (const struct queue_table *table, const char *host,
                                          const char *path, const char **rest);
/* Returns the name under which a queue's jobs are counted; free with g_free. */
char *queue_name (const struct job_queue *queue);

#endif
