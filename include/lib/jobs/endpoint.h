#ifndef SESAMEPICK_LIB_JOBS_ENDPOINT_H
#define SESAMEPICK_LIB_JOBS_ENDPOINT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "lib/jobs/job.h"

/* What can be used of an endpoint or a host, and what a task uses. */
struct resources
{
  int64_t cpu_milli;
  int64_t memory_mb;
  int64_t gpus;
};

/* What an endpoint's entry in the platform's registry says. */
struct endpoint_entry
{
  const char *id;
  const char *pool;
  const char *address;
  const char *data_centre;
  const char *const *labels;
  bool draining;
  /* Time that a draining endpoint has left at least; -1 if not said. */
  int64_t remaining_ms;
  /* Start of this life, in ms since 1970. */
  int64_t born_ms;
  struct resources capacity;
};

TAILQ_HEAD (task_list, task);
TAILQ_HEAD (endpoint_list, endpoint);

struct pool;

/* One life of a host as a pool's endpoint, and all that is known of what runs there. */
struct endpoint
{
  char *id;
  char *pool;
  /* Its place among the endpoints of that pool. */
  struct pool *member_of;
  TAILQ_ENTRY (endpoint) pool_link;
  char *address;
  char **labels;
  struct resources capacity;
  struct resources used;
  bool listed;
  bool draining;
  /* Its host is down by the machine list. */
  bool down;
  int64_t remaining_ms;
  int64_t born_ms;
  /* What orders carry now. It rises with the leader's epoch, and with each life of the endpoint, so
   * that an order meant for a former life does nothing once the new one has been reached. */
  uint64_t fence;
  /* Has answered under our fence in this life. */
  bool fenced;
  /* No new tasks: the host is about to move or to be maintained. */
  bool cordoned;
  bool cordoned_for_wave;
  /* No new tasks either: what runs may end, then the host goes to a pool whose jobs can still be in
   * time. */
  bool being_released;
  int64_t cordoned_ms;
  /* Its host is still to be maintained in a wave: what lasts is better placed elsewhere. */
  bool maintenance_due;

  struct task_list tasks;
  unsigned n_tasks;
  unsigned n_long_running;
  unsigned n_serving;
  unsigned n_best_effort;
  /* Runs that it listed last and that none of our tasks accounts for; they take room until they are
   * stopped. */
  unsigned n_unknown_attempts;
  int64_t idle_since_ms;

  /* Orders. calls counts those under way, that keep the struct alive. */
  unsigned calls;
  bool heartbeat_in_flight;
  int64_t next_heartbeat_ms;
  /* Since when calls have failed; 0 while they work. */
  int64_t unresponsive_since_ms;
  int64_t avoid_until_ms;
  /* The endpoint's own clock at a moment of ours. */
  int64_t clock_ms;
  int64_t clock_read_ms;
  /* Lease last given on the endpoint's clock, and the moment of ours when it has surely lapsed. */
  int64_t lease_end_ms;
  int64_t lease_expiry_ms;

  /* Numbers of ends: processed, in the record under way, durable, acknowledged to the endpoint. */
  uint64_t completions_seen;
  uint64_t completions_flushing;
  uint64_t ends_durable;
  uint64_t completions_acked;

  /* Jobs in a row whose tasks failed here with none done between. */
  unsigned failed_jobs;
  const struct job *last_failed_job;
};

struct endpoint *endpoint_create (const char *id, int64_t now_ms);
void endpoint_destroy (struct endpoint *endpoint);
void endpoint_update (struct endpoint *endpoint, const struct endpoint_entry *entry);
bool endpoint_has_label (const struct endpoint *endpoint, const char *label);
const char *endpoint_rack (const struct endpoint *endpoint);
struct resources task_resources (const struct task *task);
bool endpoint_has_capacity (const struct endpoint *endpoint, const struct resources *request);
void endpoint_add_task (struct endpoint *endpoint, struct task *task);
void endpoint_remove_task (struct task *task, int64_t now_ms);
unsigned endpoint_count_step (const struct endpoint *endpoint, const struct task *task);
int64_t endpoint_clock_at (const struct endpoint *endpoint, int64_t now_ms);

#endif
