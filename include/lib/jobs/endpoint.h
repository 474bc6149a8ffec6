#ifndef SESAMEPICK_LIB_JOBS_ENDPOINT_H
#define SESAMEPICK_LIB_JOBS_ENDPOINT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "lib/jobs/job.h"
#include "lib/jobs/relay_set.h"
#include "lib/resources.h"

/* An endpoint's entry in the platform's registry. */
struct endpoint_entry
{
  const char *id;
  const char *pool;
  const char *address;
  const char *data_centre;
  const char *const *labels;
  bool draining;
  /* Minimum time until a draining endpoint stops; -1 if unknown. */
  int64_t remaining_ms;
  /* Start of this incarnation, in ms since 1970. */
  int64_t born_ms;
  /* Number of the incarnation's writes to the registry; 0 if unknown. */
  uint64_t sequence;
  struct resources capacity;
};

TAILQ_HEAD (task_list, task);
TAILQ_HEAD (endpoint_list, endpoint);

struct pool;

/* One incarnation of a host as an endpoint of a pool, and everything known of what runs there. */
struct endpoint
{
  char *id;
  /* Name of its pool according to the registry. */
  char *pool;
  /* Pool whose list of endpoints contains it. */
  struct pool *member_of;
  TAILQ_ENTRY (endpoint) pool_link;
  char *address;
  char **labels;
  struct resources capacity;
  struct resources used;
  bool listed;
  bool draining;
  /* A machine list shows that this incarnation has ended, and together with its rack. */
  bool gone;
  bool lost_with_rack;
  /* A former incarnation whose losses are not recorded yet was draining or cordoned at its end. */
  bool former_end_planned;
  int64_t remaining_ms;
  int64_t born_ms;
  /* Start of the incarnation whose registry entry gave the pool, the address, the labels, the
   * capacity and the state; its sequence; and since when the entry of the present incarnation is
   * missing, 0 while it isn't. */
  int64_t entry_born_ms;
  uint64_t sequence;
  int64_t entry_missing_since_ms;
  /* Fence that commands carry. It rises with the leader's epoch and with each incarnation of the
   * endpoint, so that a command for a former incarnation has no effect once the new one has
   * accepted the higher fence. */
  uint64_t fence;
  /* This incarnation has accepted our fence. */
  bool fence_accepted;
  /* Gets no new tasks because its host is about to be moved or maintained. */
  bool cordoned;
  /* Cordoned for a wave. Stays cordoned when a command to its host fails. */
  bool cordoned_for_wave;
  /* Gets no new tasks because its host is being released to a pool whose jobs can still meet their
   * objective. Running tasks are allowed to finish. */
  bool being_released;
  /* When it was cordoned for a wave. */
  int64_t cordoned_ms;
  /* Its host has yet to be maintained in a wave, so long-running tasks are better placed
   * elsewhere. */
  bool maintenance_due;

  struct task_list tasks;
  unsigned n_tasks;
  /* Tasks that run until their job is cancelled; tasks with a target for their tail latency; and
   * tasks that use only the processor time that others leave (steps that fill). */
  unsigned n_long_running;
  unsigned n_serving;
  unsigned n_best_effort;
  /* Tasks that are on trial here. */
  unsigned n_trials;
  /* Job that prepares a trial here, used for comparison only, and until when no other does. */
  const struct job *trial_job;
  int64_t trial_prepared_until_ms;
  /* Attempts in the last report that aren't the current attempt of a task assigned to this
   * endpoint. They use capacity until they are stopped. */
  unsigned n_unknown_attempts;
  /* Those of them that count for a workspace, as struct unknown_attempt; NULL if there were none.
   */
  GArray *unknown_attempts;
  int64_t idle_since_ms;

  /* Host that sends the commands to it; belongs to the owner of the scheduler. */
  struct relay_route route;
  /* Calls in flight, which keep the struct alive. */
  unsigned calls;
  bool heartbeat_in_flight;
  int64_t next_heartbeat_ms;
  /* Since when calls have failed; 0 while they succeed. */
  int64_t unresponsive_since_ms;
  /* When this process last learned that the incarnation had begun or was running: a first or new
   * entry of the registry, a report or a confirmed start. A machine list that was requested earlier
   * may show what was before. */
  int64_t alive_ms;
  /* Gets no new tasks before this time, after a rejected start, a stalled task or failures. */
  int64_t avoid_until_ms;
  /* The endpoint's clock, and when it was read on this process's clock. */
  int64_t clock_ms;
  int64_t clock_read_ms;
  /* When its last report was handled. */
  int64_t reported_ms;
  /* End of the last lease on the endpoint's clock, and when it has certainly expired on this
   * process's clock. */
  int64_t lease_end_ms;
  int64_t lease_expiry_ms;
  /* The incarnation may have taken leases that end by the clock of a former one. */
  bool lease_uncertain;

  /* Highest number of a completion that was handled, is in the flush in progress, is durable, and
   * was acknowledged to the endpoint. */
  uint64_t completions_seen;
  uint64_t completions_flushing;
  uint64_t completions_durable;
  uint64_t completions_acked;

  /* Number of jobs in a row with tasks that failed here, since a task last completed here. */
  unsigned failed_jobs;
  /* Used for comparison only. */
  const struct job *last_failed_job;
  /* Number of starts in a row that were invalidated because none of their sends got a response,
   * though the endpoint sends reports. */
  unsigned starts_invalidated;
};

struct endpoint *endpoint_create (const char *id, int64_t now_ms);
void endpoint_destroy (struct endpoint *endpoint);
void endpoint_update (struct endpoint *endpoint, const struct endpoint_entry *entry);
/* Returns whether what is known from the registry belongs to the present incarnation. Another one
 * may have other labels, another capacity or another pool. */
bool endpoint_entry_is_current (const struct endpoint *endpoint);
bool endpoint_has_label (const struct endpoint *endpoint, const char *label);
const char *endpoint_rack (const struct endpoint *endpoint);
struct resources task_resources (const struct task *task);
bool endpoint_has_capacity (const struct endpoint *endpoint, const struct resources *request);
bool endpoint_is_over_capacity (const struct endpoint *endpoint);
void endpoint_add_task (struct endpoint *endpoint, struct task *task);
void endpoint_remove_task (struct task *task, int64_t now_ms);
unsigned endpoint_count_step (const struct endpoint *endpoint, const struct task *task);
int64_t endpoint_clock_at (const struct endpoint *endpoint, int64_t now_ms);

#endif
