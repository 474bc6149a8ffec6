#ifndef SESAMEPICK_LIB_FLEET_TASK_TABLE_H
#define SESAMEPICK_LIB_FLEET_TASK_TABLE_H

#include "state.h"
#include "lib/fleet/task.h"

/* The tasks in the fleet's state. Not for users of the library. */

enum
{
  TASK_STATES = TASK_CANCELLED + 1,
  /* Tasks that have not ended, and ended tasks of each final state that are kept for display. */
  TASK_MAX_OPEN = 200000,
  TASK_MAX_ENDED = 4096,
  TASK_MIN_LEASE_MS = 100,
  TASK_MAX_LEASE_MS = 86400000,
  /* A host with this many consecutive failures gets one task at a time, after a pause that doubles
   * with each further failure. */
  WORKER_MAX_FAILURES = 3,
  WORKER_BACKOFF_MS = 60000,
  WORKER_MAX_BACKOFF_DOUBLINGS = 6,
};

/* A host's tasks and failures. The entry stays while the host is off the list, as long as it has
 * leases or failures. */
struct task_worker
{
  char *host;
  LIST_HEAD (, task) tasks;
  uint32_t slots;
  /* Failures and expired leases since the last success, and the record time of the last one. */
  uint32_t failures;
  int64_t failed_ms;
};

struct task_table
{
  GHashTable *by_name;
  /* Tasks by state; urgent queued tasks are in a list of their own. */
  struct task_list lists[TASK_STATES];
  struct task_list urgent;
  uint32_t counts[TASK_STATES];
  GHashTable *workers;
  /* Slots under leases, by team. */
  GHashTable *team_slots;
};

struct task_table *task_table_create (void);
void task_table_destroy (struct task_table *table);
void task_apply (struct fleet *fleet, const struct record_context *at, const Sp__TaskStep *step,
                 struct verdict *verdict);
/* Inserts a new or loaded task into the table and counts its lease. */
void task_table_insert (struct task_table *table, struct task *task);
/* Returns the entry of a host; creates it if necessary. */
struct task_worker *worker_get (struct task_table *table, const char *host);
/* Resets the failures of a host that was removed, since another host may get its name. */
void worker_reset_failures (struct task_table *table, const char *host);
/* Queues the tasks of a drained host again. That does not count as a failure. */
void worker_requeue_tasks (struct task_table *table, const char *host);
uint32_t team_slots (const struct task_table *table, const char *team);
/* Returns the host's slots for tasks: the processors of its class, or 0 if the class is not
 * declared. */
uint32_t host_task_slots (const struct fleet *fleet, const struct host *host);
/* Returns why the task can never be placed, according to the quota of its team and the host class
 * of its pool, or NULL if it can. */
const char *task_unplaceable_reason (const struct fleet *fleet, const struct task *task);

#endif
