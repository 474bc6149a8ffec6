#ifndef SESAMEPICK_LIB_JOBS_SCHEDULER_STATE_H
#define SESAMEPICK_LIB_JOBS_SCHEDULER_STATE_H

#include "lib/jobs/demand.h"
#include "lib/jobs/response_loss.h"
#include "lib/jobs/scheduler.h"
#include "lib/locality/locality_decision.h"
#include "lib/workspaces/share_order.h"

/* State and functions that the scheduler's files share. */

TAILQ_HEAD (job_list, job);
TAILQ_HEAD (wave_list, wave);
TAILQ_HEAD (pool_list, pool);
TAILQ_HEAD (crash_list, crash);
TAILQ_HEAD (unresolved_loss_list, unresolved_loss);

/* The endpoints that serve one service, and the jobs that run on them. */
struct pool
{
  TAILQ_ENTRY (pool) link;
  char *name;
  /* Its hosts are switched off and cost nothing. */
  bool standby;
  struct endpoint_list endpoints;
  /* Jobs that are not removed yet, in the order of their arrival. */
  struct job_list jobs;
  /* Something changed that may allow a task to start. */
  bool changed;
  /* Recent arrivals of jobs. */
  struct demand demand;
  /* When jobs that arrive now would start. */
  struct pool_outlook outlook;
  /* Sums of the requests of the jobs that can still meet their objective, and of the late ones.
   * Once scheduler_size_pools has computed hosts_urgent, request includes late_request. */
  struct resources request;
  struct resources late_request;
  /* What suspects request that wait for their trial. */
  struct resources suspect_request;
  /* Number of hosts needed for the jobs that can still meet their objective, and for all jobs. */
  unsigned hosts_urgent;
  unsigned hosts_wanted;
  /* Number of hosts needed for all jobs without their suspects. */
  unsigned hosts_beside_suspects;
  /* Hosts that serve the pool or soon will, as of the last sizing. */
  unsigned n_hosts;
  /* No task of an earlier leader can run unnoticed in this pool. */
  bool takeover_complete;
  /* A suspect may be on trial on another endpoint in this pass. */
  bool trial_allowed;
  /* Number of jobs with suspects that found no endpoint for a trial in the last pass. */
  unsigned n_jobs_awaiting_trial;
  /* Until when tasks of different jobs are not started together, if that can be avoided, and starts
   * of cautious queues are kept to a part of the endpoints; and on how many more they may be sent.
   */
  int64_t cautious_until_ms;
  unsigned n_exposures_left;
  /* Since when long-running tasks have waited for free capacity; 0 if none does. */
  int64_t starved_since_ms;
  /* Service that workspaces got; NULL before the first start for a workspace. */
  struct share_order *shares;
  /* Errors of the forecasts of free capacity on its racks. */
  struct locality_forecast room_forecast;
  /* Share of its ready work for which there is no free capacity, and when it was computed. */
  double contention;
  int64_t contention_ms;
};

/* A maintenance wave. */
struct wave
{
  TAILQ_ENTRY (wave) link;
  uint32_t number;
  /* Sets of host ids: hosts that remain, and hosts whose maintenance has started. */
  GHashTable *remaining;
  GHashTable *begun;
  unsigned max_unavailable;
  /* When the wave was requested, on this leader's monotonic clock and as time of day. */
  int64_t start_ms;
  int64_t start_wall_ms;
  int64_t duration_ms;
  int64_t next_log_ms;
  bool dirty;
  bool announced;
  bool completed;
};

/* A crash of an endpoint, kept for a while to tell crashes that tasks cause from others. */
struct crash
{
  TAILQ_ENTRY (crash) link;
  char *pool;
  char *rack;
  /* When the first call to the endpoint failed, or the crash was noticed. */
  int64_t ms;
  /* It had an attempt whose start may be the cause. */
  bool has_suspect;
  /* The only attempts of that kind were on trial, and some of them were of suspects. */
  bool trial;
  bool suspect_trial;
  bool judged;
  /* Names of the tasks that were on trial. */
  GPtrArray *tasks;
};

/* The loss of an attempt of which it isn't known whether its endpoint crashed: it was silent until
 * its lease had expired. The next machine list shows it. */
struct unresolved_loss
{
  TAILQ_ENTRY (unresolved_loss) link;
  char *endpoint;
  char *task;
  uint32_t attempt;
  int64_t lost_ms;
  /* The attempt is known to have been started. */
  bool started;
};

struct scheduler
{
  struct scheduler_config config;
  struct scheduler_ops ops;
  /* Tasks that wait for capacity on a rack; NULL if none may. */
  struct task_locality *locality;
  struct job_table *all_jobs;
  int64_t now_ms;
  int64_t wall_ms;
  int64_t leading_since_ms;
  /* A time until which no other host had replaced this leader, and when the leases that it grants
   * must have ended. */
  int64_t sole_ms;
  int64_t leases_end_ms;
  /* Up to when the journal has been read, and whether that is so long ago that jobs are missing. */
  int64_t journal_read_ms;
  bool journal_unread;
  /* Id to struct endpoint. */
  GHashTable *endpoints;
  /* Highest fence of any endpoint, also of those that are no longer known. */
  uint64_t highest_fence;
  bool registry_loaded;
  /* Number of endpoints' reports so far. */
  uint64_t n_reports;
  struct response_loss response_loss;
  /* Number of unresponsive endpoints with tasks, as of the last pass. */
  unsigned n_unresponsive_with_tasks;
  struct pool_list pools;
  struct host_list hosts;
  /* Host id to struct host, and id of the endpoint that runs on it to struct host. */
  GHashTable *hosts_by_id;
  GHashTable *hosts_by_endpoint;
  bool hosts_loaded;
  /* When the last complete machine list was requested. */
  int64_t hosts_sent_ms;
  /* A pool needs more hosts than it has. */
  bool hosts_are_short;
  struct wave_list waves;
  bool host_commands_allowed;
  bool superseded;
  bool flushing;
  /* Number of flushes that were begun, and of the last that is durable. */
  uint64_t flushes_begun;
  uint64_t flushes_durable;
  struct crash_list crashes;
  struct unresolved_loss_list unresolved_losses;
  /* When an endpoint last crashed on which no start can have been the cause. */
  int64_t unexplained_crash_ms;
  /* Queue to the time until which its starts are kept to a part of its pool's endpoints, as
   * int64_t. */
  GHashTable *cautious_queues;

  /* Set of jobs whose progress is to be recorded. */
  GHashTable *dirty;
  unsigned starts_per_pass;
  int64_t next_sizing_ms;
  int64_t next_jobs_check_ms;
  int64_t next_pools_log_ms;
  int64_t next_load_log_ms;
  /* NULL while the configuration has had no workspaces. */
  struct workspace_usage *workspaces;
  int64_t share_window_ms;
  /* For how many pools it was last computed what attempts of earlier leaders may use there, and
   * when to compute it next. */
  unsigned n_assumed_pools;
  int64_t next_assume_ms;
  /* Durations of tasks that ended under this leadership, and the mean time from sending a start to
   * its confirmation, in ms. */
  struct duration_model *durations;
  double start_time_ms;
  /* When forecasts were last made; 0 if they have not been. */
  int64_t outlook_ms;
  struct scheduler_counts counts;
};

enum
{
  /* Time from a move command until the host's endpoint runs tasks: 1.5 s for the move, plus the
   * update of the registry and the first heartbeat. */
  HOST_READY_MS = 1800,
  /* Number of crashes from which on a task may be found to cause them. */
  CRASHES_PROVEN = 2,
};

/* scheduler.c */
int64_t scheduler_arrivals_known_ms (const struct scheduler *scheduler);
struct pool *scheduler_pool (struct scheduler *scheduler, const char *name);
void endpoint_remove (struct endpoint *endpoint);
void scheduler_log (struct scheduler *scheduler, const char *format, ...) G_GNUC_PRINTF (2, 3);
void scheduler_step_down (struct scheduler *scheduler, const char *why);

/* scheduled_jobs.c */
void job_mark_dirty (struct scheduler *scheduler, struct job *job);
void job_advance (struct scheduler *scheduler, struct job *job);
bool job_is_over (const struct job *job);
bool job_is_late (const struct job *job, int64_t now_ms);
bool step_dependencies_are_done (const struct job *job, uint32_t occurrence, uint32_t step);
struct task *scheduler_find_task (const struct scheduler *scheduler, const char *name);
void scheduler_add_jobs (struct scheduler *scheduler);
void scheduler_remove_job (struct scheduler *scheduler, struct job *job);
void scheduler_advance_jobs (struct scheduler *scheduler);
void scheduler_remove_finished_jobs (struct scheduler *scheduler);

/* task_attempt.c: attempts of tasks */
void task_set_phase (struct scheduler *scheduler, struct task *task, enum task_phase phase);
void task_start (struct scheduler *scheduler, struct task *task, struct endpoint *endpoint,
                 uint32_t attempt);
void task_adopt (struct scheduler *scheduler, struct task *task, struct endpoint *endpoint,
                 const struct endpoint_attempt *running, int64_t sent_ms);
void task_stop (struct scheduler *scheduler, struct task *task, const char *why);
void task_invalidate_start (struct scheduler *scheduler, struct task *task, const char *why);
void task_release (struct scheduler *scheduler, struct task *task);
void task_handle_completion (struct scheduler *scheduler, struct endpoint *endpoint,
                             const struct endpoint_completion *completion);
void task_send_commands (struct scheduler *scheduler, struct task *task);
void task_end_start (const struct scheduler *scheduler, struct task *task);
bool task_is_available (const struct task *task);
void job_fail (struct scheduler *scheduler, struct job *job);
bool task_may_be_stopped (const struct scheduler *scheduler, const struct task *task);

/* endpoint_loss.c */
bool task_start_is_survived (const struct task *task, int64_t clock_ms);
void task_note_running (struct scheduler *scheduler, struct task *task, int64_t clock_ms);
enum endpoint_end endpoint_unplanned_end (const struct endpoint *endpoint);
void endpoint_record_losses (struct scheduler *scheduler, struct endpoint *endpoint,
                             enum endpoint_end end);
void endpoint_note_restart (struct endpoint *endpoint);
void endpoint_record_restart_losses (struct scheduler *scheduler, struct endpoint *endpoint);

/* suspects.c: tasks that may crash their endpoints */
void task_count_loss (struct scheduler *scheduler, struct task *task, enum endpoint_end end);
void task_give_up (struct scheduler *scheduler, struct task *task, const char *why);
void task_end_suspicion (struct scheduler *scheduler, struct task *task);
bool task_may_be_tried (struct scheduler *scheduler, struct task *task);
struct endpoint *task_trial_endpoint (const struct scheduler *scheduler, const struct task *task);
bool task_prepare_trial (struct scheduler *scheduler, struct task *task, struct endpoint *endpoint);
void task_end_trial (struct scheduler *scheduler, struct task *task);
bool endpoint_accepts_trial (const struct scheduler *scheduler, const struct pool *pool,
                             const struct endpoint *endpoint, const struct task *task);
void scheduler_wake_suspects (struct scheduler *scheduler);
void scheduler_resolve_losses (struct scheduler *scheduler, int64_t sent_ms);
void scheduler_clear_losses (struct scheduler *scheduler);

/* rack_loss.c: racks that lose their power */
/* Returns the set of racks of which a machine list shows that their endpoints have ended together
 * and none is left. The names belong to the entries. */
GHashTable *scheduler_find_lost_racks (struct scheduler *scheduler,
                                       const struct host_entry *entries, size_t n);
bool host_entry_is_in_rack (const struct host_entry *entry, GHashTable *racks);
/* Returns whether the loss of a task's endpoint is that of its rack. */
bool task_loss_is_explained (const struct task *task);

/* crashes.c: crashes of endpoints */
void scheduler_record_crash (struct scheduler *scheduler, struct endpoint *endpoint);
void scheduler_judge_crashes (struct scheduler *scheduler);
void scheduler_clear_crashes (struct scheduler *scheduler);

/* exposure.c: how far tasks that crash their endpoints reach */
void scheduler_set_caution (struct scheduler *scheduler, struct job *job);
void job_check_caution (const struct scheduler *scheduler, struct job *job);
bool endpoint_accepts_exposure (const struct pool *pool, const struct endpoint *endpoint,
                                const struct task *task);
void pool_count_exposure (struct pool *pool, const struct endpoint *endpoint,
                          const struct task *task);
bool endpoint_starts_other_job (const struct endpoint *endpoint, const struct task *task);
void pool_check_limits (const struct scheduler *scheduler, struct pool *pool);

/* endpoint_heartbeats.c */
bool scheduler_may_start_tasks (const struct scheduler *scheduler);
int64_t endpoint_extend_lease (struct scheduler *scheduler, struct endpoint *endpoint);
void endpoint_set_clock (struct scheduler *scheduler, struct endpoint *endpoint, int64_t clock_ms);
void endpoint_command_fenced (struct scheduler *scheduler, struct endpoint *endpoint,
                              uint64_t fence, const char *why);
void endpoint_raise_fence (struct scheduler *scheduler, struct endpoint *endpoint);
void endpoint_begin_incarnation (struct scheduler *scheduler, struct endpoint *endpoint,
                                 int64_t born_ms);
void endpoint_release_tasks (struct scheduler *scheduler, struct endpoint *endpoint,
                             enum endpoint_end end, const char *why);
void endpoint_release_ended (struct scheduler *scheduler, struct endpoint *endpoint,
                             const char *why);
void endpoint_tick (struct scheduler *scheduler, struct endpoint *endpoint);
void endpoint_set_alive (struct scheduler *scheduler, struct endpoint *endpoint);
void endpoint_set_unresponsive (struct scheduler *scheduler, struct endpoint *endpoint);
bool endpoint_is_in_service (const struct endpoint *endpoint);
bool endpoint_is_usable (const struct scheduler *scheduler, const struct endpoint *endpoint);

/* outlook.c */
/* Counts a job that arrives, and sets the wait that is forecast for it. */
void scheduler_forecast_job (struct scheduler *scheduler, struct pool *pool, struct job *job);
/* Compares the forecast for a job that starts now with its wait. */
void scheduler_verify_forecast (struct scheduler *scheduler, struct job *job);
/* Makes the forecasts of all pools, if they are needed. */
void scheduler_update_outlook (struct scheduler *scheduler);
/* Logs the learned durations, and how many late starts were held back, when it is due. */
void scheduler_log_load (struct scheduler *scheduler);

/* placement.c */
void scheduler_place (struct scheduler *scheduler);

/* scheduled_workspaces.c */
bool scheduler_has_workspaces (const struct scheduler *scheduler);
void job_open_account (struct scheduler *scheduler, struct job *job);
void job_close_account (struct job *job);
void task_count_unconfirmed (struct task *task, enum task_phase phase);
void scheduler_assume_unreported (struct scheduler *scheduler);
bool job_counts_unreported (struct scheduler *scheduler, const struct job *job);
void endpoint_count_unknown (struct scheduler *scheduler, struct endpoint *endpoint,
                             const char *name);
void endpoint_clear_unknown (struct endpoint *endpoint);
bool endpoint_has_unknown (const struct endpoint *endpoint);
bool job_start_is_allowed (const struct scheduler *scheduler, struct job *job,
                           const struct resources *request, const struct resources *one);
struct resources pool_capacity (const struct pool *pool);
void pool_charge_start (const struct scheduler *scheduler, struct pool *pool,
                        const struct task *task, unsigned n, const struct resources *capacity);
void scheduler_sum_workspace_demand (struct scheduler *scheduler);
void job_limit_demand (const struct scheduler *scheduler, const struct job *job,
                       struct resources *now, struct resources *suspects, struct resources *later);
void scheduler_log_workspaces (struct scheduler *scheduler);
void scheduler_clear_workspaces (struct scheduler *scheduler);

/* task_locality.c: tasks that wait for capacity on a rack */
struct task_locality *task_locality_create (const struct scheduler_config *config);
void task_locality_destroy (struct task_locality *locality);
void scheduler_check_waits (struct scheduler *scheduler);
bool task_waits_for_rack (struct scheduler *scheduler, struct pool *pool, struct task *task,
                          const struct endpoint *endpoint);
bool gang_waits_for_rack (struct scheduler *scheduler, struct pool *pool, struct task *first);
bool endpoint_keeps_room (const struct scheduler *scheduler, const struct endpoint *endpoint,
                          const struct task *task, const struct resources *request);
uint64_t scheduler_held_back (const struct scheduler *scheduler);
void task_note_placed (struct scheduler *scheduler, struct task *task, bool near);
void task_note_duration (struct scheduler *scheduler, const struct task *task,
                         const struct endpoint *endpoint);
void job_forget_waits (struct scheduler *scheduler, const struct job *job);
void endpoint_forget_waits (struct scheduler *scheduler, const struct endpoint *endpoint);
void scheduler_count_waits (const struct scheduler *scheduler, struct scheduler_counts *counts);

/* pacing.c */
void endpoint_adjust_pace (struct scheduler *scheduler, struct endpoint *endpoint);

/* hosts.c, pool_size.c, wave.c */
void scheduler_size_pools (struct scheduler *scheduler);
void scheduler_advance_waves (struct scheduler *scheduler);
bool scheduler_pool_takeover_complete (const struct scheduler *scheduler, const char *name);
bool scheduler_endpoint_has_host (const struct scheduler *scheduler, const char *id);
struct host *scheduler_host (const struct scheduler *scheduler, const char *id);
struct endpoint *host_endpoint (const struct scheduler *scheduler, const struct host *host);
void wave_destroy (struct wave *wave);
void scheduler_remove_host (struct scheduler *scheduler, struct host *host);

#endif
