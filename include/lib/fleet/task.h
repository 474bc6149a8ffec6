#ifndef SESAMEPICK_LIB_FLEET_TASK_H
#define SESAMEPICK_LIB_FLEET_TASK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "record.pb-c.h"

/* Batch tasks of teams. They run under leases on the hosts of a pool and are part of the fleet's
 * state. */

enum task_state
{
  TASK_QUEUED,
  TASK_LEASED,
  TASK_FINISHED,
  TASK_FAILED,
  TASK_CANCELLED,
};

enum
{
  /* A task fails for good after failures on this many different hosts, or after twice as many
   * failures in total. */
  TASK_MAX_FAILED_HOSTS = 3,
  /* A task fails for good after this many expired leases. */
  TASK_MAX_EXPIRIES = 5,
};

struct task
{
  TAILQ_ENTRY (task) link;
  LIST_ENTRY (task) worker_link;
  char *name;
  char *team;
  char *pool;
  uint32_t slots;
  /* Run time stated at submission; passed on to the platform. */
  uint64_t run_ms;
  bool urgent;
  enum task_state state;
  /* The lease: its term, host and duration, and the record time of its last renewal. */
  uint64_t lease_term;
  char *host;
  uint64_t lease_ms;
  int64_t leased_ms;
  int64_t submitted_ms;
  uint64_t progress_permille;
  uint32_t failures;
  uint32_t expiries;
  /* Different hosts on which the task failed. The task fails for good when the array is full. */
  char *failed_hosts[TASK_MAX_FAILED_HOSTS];
  /* Why the task failed or was cancelled, or NULL. */
  char *reason;
};

TAILQ_HEAD (task_list, task);

struct fleet;
struct task_table;

const struct task *fleet_find_task (const struct fleet *fleet, const char *name);
/* Returns the tasks in one state, in the order in which they entered it. The queue has two lists:
 * one of urgent tasks and one of the others. urgent selects between them and is ignored in other
 * states. */
const struct task_list *fleet_tasks (const struct fleet *fleet, enum task_state state, bool urgent);
size_t fleet_n_tasks (const struct fleet *fleet, enum task_state state);

/* Returns the records to append next, at most limit, each to be freed with
 * sp__task_step__free_unpacked (step, NULL): an EXPIRE for each expired lease, a LEASE for each
 * task that can be placed, a FAIL for each queued task that can never be placed. A lease starts
 * only when its record is accepted. */
GPtrArray *task_propose_steps (const struct fleet *fleet, int64_t wall_ms, uint64_t lease_ms,
                               size_t limit);

#endif
