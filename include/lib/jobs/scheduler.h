#ifndef SESAMEPICK_LIB_JOBS_SCHEDULER_H
#define SESAMEPICK_LIB_JOBS_SCHEDULER_H

#include "lib/admission/load_admission.h"
#include "lib/jobs/endpoint.h"
#include "lib/jobs/host.h"
#include "lib/jobs/job_table.h"
#include "lib/workspaces/workspace_usage.h"

/* Decisions of the leader: which task starts where and when, what is stopped, and which hosts are
 * moved to another pool or maintained. The scheduler does no I/O: the owner reports events and the
 * time, and callbacks send the commands. All times are monotonic ms of the owner's clock unless
 * said otherwise. */
struct scheduler;

enum command_result
{
  COMMAND_DONE,
  /* The request was never sent: nothing was done. */
  COMMAND_NOT_SENT,
  /* No response, or one that doesn't say whether anything was done: the command may have been
   * carried out, or may be later. */
  COMMAND_UNKNOWN,
  /* The endpoint holds a newer fence. */
  COMMAND_FENCED,
  /* An attempt of the same or a higher number has ended on the endpoint. */
  COMMAND_STALE_ATTEMPT,
  /* The lease had expired when the command arrived. */
  COMMAND_LEASE_EXPIRED,
  COMMAND_NO_CAPACITY,
  /* The endpoint requires an admission ticket of the advice service, and the command has none. */
  COMMAND_NO_TICKET,
  /* The endpoint is unhealthy and did nothing. */
  COMMAND_UNHEALTHY,
  /* Another incarnation of the endpoint has its address. */
  COMMAND_OTHER_INCARNATION,
  /* The endpoint could not parse the command. */
  COMMAND_INVALID,
};

/* An attempt that an endpoint reports as running. */
struct endpoint_attempt
{
  const char *task;
  uint32_t attempt;
  const char *checkpoint;
  int percent;
  /* Tail latency in ms for a serving task, processor use in thousandths for others. */
  int load;
};

enum attempt_outcome
{
  ATTEMPT_DONE,
  /* The lease expired. */
  ATTEMPT_FAILED,
  ATTEMPT_STOPPED,
  ATTEMPT_LAPSED,
  /* Another member of its gang ended. */
  ATTEMPT_GANG_ENDED,
  /* The other members of its gang did not start in time. */
  ATTEMPT_GANG_INCOMPLETE,
};

struct endpoint_completion
{
  uint64_t number;
  const char *task;
  uint32_t attempt;
  enum attempt_outcome outcome;
  const char *checkpoint;
};

/* An endpoint's response to a heartbeat. */
struct endpoint_report
{
  int64_t clock_ms;
  /* 0 if unknown. */
  int64_t born_ms;
  const struct endpoint_attempt *attempts;
  size_t n_attempts;
  const struct endpoint_completion *completions;
  size_t n_completions;
};

struct scheduler_ops
{
  /* The owner reports the result of each command with scheduler_start_done, scheduler_stop_done and
   * so on, unless the scheduler is destroyed first. lease_end_ms is on the endpoint's clock. */
  void (*start) (void *ctx, struct endpoint *endpoint, struct task *task, int64_t lease_end_ms);
  /* known is the task of the attempt, or NULL if it belongs to no known task. */
  void (*stop) (void *ctx, struct endpoint *endpoint, const char *task, uint32_t attempt,
                struct task *known);
  /* A lease_end_ms of 0 renews no lease. A wait_ms of 0 requests an immediate response. */
  void (*heartbeat) (void *ctx, struct endpoint *endpoint, int64_t lease_end_ms, int64_t wait_ms);
  void (*pace) (void *ctx, struct endpoint *endpoint, struct task *task, int percent);
  void (*move_host) (void *ctx, struct host *host, const char *pool);
  void (*maintain_host) (void *ctx, struct host *host, uint32_t wave);
  /* An endpoint has an incarnation whose registry entry has not been read: the owner reads the
   * registry's new entries soon. May be NULL. */
  void (*read_registry) (void *ctx);
  /* Returns until when a command of an earlier leader for a host may be in progress, or 0. May be
   * NULL. */
  int64_t (*host_busy_until_ms) (void *ctx, const char *host);
  /* A wave has started or, if completed is true, each of its hosts has been maintained, is in
   * maintenance or has left the machine list. */
  void (*wave_state) (void *ctx, uint32_t wave, bool completed);
  /* The final state of a job is durable and the scheduler holds it no longer. May be NULL. */
  void (*job_ended) (void *ctx, const struct job *job);
  /* Logs a decision or a change in what the scheduler assumes, with its reason. */
  void (*log) (void *ctx, const char *line);
  /* Another leader has taken over. The owner destroys the scheduler later, not within this call. */
  void (*superseded) (void *ctx, const char *why);
  void *ctx;
};

struct scheduler_config
{
  uint64_t epoch;
  /* Offset of the claim record. Tasks of jobs defined before it may have been started by an earlier
   * leader. */
  int64_t claim_offset;
  /* Offset up to which the journal has been read. Jobs from there on are known because this host
   * appended them; the records before them may hold another leader's claim. */
  int64_t read_offset;
  /* How long a task may run without hearing from the leader. */
  int64_t lease_ms;
  /* Until when earlier leaders may have granted leases of this length. */
  int64_t earlier_grants_until_ms;
  /* How long a task may take to end after it is stopped. */
  int64_t stop_ms;
  /* Durations are predicted from those of tasks that ended. */
  bool learned_durations;
  /* Jobs are placed by their prospect of meeting their objective. */
  bool prospect_order;
  /* Forecasts are made of when jobs that arrive would start. */
  bool load_admission;
  /* Factor on the duration of a task away from the rack that it names, or of a gang on several
   * racks, and how long a job may wait in all for capacity on a rack. With a factor of 1 or 0, or a
   * time of 0, none waits. */
  double far_factor;
  int64_t locality_wait_max_ms;
};

struct scheduler *scheduler_create (const struct scheduler_config *config,
                                    const struct scheduler_ops *ops, struct job_table *all_jobs,
                                    int64_t now_ms, int64_t wall_ms);
void scheduler_destroy (struct scheduler *scheduler);

/* Sets whether a pool of the configuration is a standby pool. */
void scheduler_set_pool (struct scheduler *scheduler, const char *name, bool standby);
/* Applies the workspaces of the configuration in force. share_window_ms is the window over which
 * the service that they get is compared; it holds for shares that begin later. */
void scheduler_set_workspaces (struct scheduler *scheduler, const struct workspace_table *table,
                               int64_t share_window_ms);
/* Changes of the registry: a new or changed entry, a removed entry, and the end of the first
 * complete read. */
void scheduler_endpoint_listed (struct scheduler *scheduler, const struct endpoint_entry *entry,
                                int64_t now_ms);
void scheduler_endpoint_unlisted (struct scheduler *scheduler, const char *id, int64_t now_ms);
void scheduler_registry_read (struct scheduler *scheduler);
void scheduler_job_defined (struct scheduler *scheduler, struct job *job, int64_t now_ms,
                            int64_t wall_ms);
void scheduler_job_cancelled (struct scheduler *scheduler, struct job *job, int64_t now_ms);
void scheduler_job_removed (struct scheduler *scheduler, struct job *job);

/* Results of commands to endpoints. fence is the one that the command carried, clock_ms the
 * endpoint's clock according to the response or 0 if unknown, and acked the number of the
 * completion that the heartbeat acknowledged. report is NULL unless result is COMMAND_DONE. */
void scheduler_start_done (struct scheduler *scheduler, struct endpoint *endpoint,
                           struct task *task, uint32_t attempt, uint64_t fence,
                           enum command_result result, int64_t clock_ms, int64_t now_ms);
void scheduler_stop_done (struct scheduler *scheduler, struct endpoint *endpoint,
                          struct task *known, uint32_t attempt, uint64_t fence,
                          enum command_result result, int64_t now_ms);
void scheduler_heartbeat_done (struct scheduler *scheduler, struct endpoint *endpoint,
                               uint64_t fence, enum command_result result,
                               const struct endpoint_report *report, uint64_t acked,
                               int64_t sent_ms, int64_t now_ms);
void scheduler_pace_done (struct scheduler *scheduler, struct endpoint *endpoint, struct task *task,
                          int percent, uint64_t fence, enum command_result result);

/* A complete machine list, which was requested at sent_ms. in_one_page says whether it was read at
 * once: a list that was read in several pages may lack a host because another left meanwhile. */
void scheduler_hosts_listed (struct scheduler *scheduler, const struct host_entry *entries,
                             size_t n, bool in_one_page, int64_t sent_ms, int64_t now_ms);
/* Returns whether a machine list is awaited, which shows what became of an unresponsive endpoint.
 */
bool scheduler_awaits_hosts (const struct scheduler *scheduler);
/* Results of commands to hosts, and maintenance waves. */
void scheduler_move_done (struct scheduler *scheduler, struct host *host,
                          enum host_command_result result, int64_t now_ms);
void scheduler_maintain_done (struct scheduler *scheduler, struct host *host, uint32_t wave,
                              enum host_command_result result, int64_t now_ms);
void scheduler_wave_requested (struct scheduler *scheduler, const struct wave_request *request,
                               int64_t now_ms);
/* Applies what an earlier leader recorded of a wave. */
void scheduler_wave_progress (struct scheduler *scheduler, const Sp__WaveProgress *progress);

enum
{
  /* Limits on the starts of one scheduling pass over all pools, gangs not counted: while the leader
   * sends the commands itself, and while relays do. A task costs the leader 0.3 ms of CPU from
   * start to end, or 0.06 ms with relays, so on a quarter of a core, and half of one, the tasks of
   * a pass take less than half of the 350 ms between two of the leader's heartbeats. */
  STARTS_PER_PASS_DIRECT = 128,
  STARTS_PER_PASS_RELAYED = 512,
};

/* Sets the limit on the starts of one pass, STARTS_PER_PASS_DIRECT at first. */
void scheduler_set_starts_per_pass (struct scheduler *scheduler, unsigned limit);
/* Runs a scheduling pass: sends the commands that are due. */
void scheduler_tick (struct scheduler *scheduler, int64_t now_ms, int64_t wall_ms);

/* Flushing of progress that is not durable yet. scheduler_collect calls add for each record and
 * remembers which completions they cover. scheduler_flushed reports that all of them are durable
 * or, if durable is false, that the flush was given up. */
bool scheduler_is_dirty (const struct scheduler *scheduler);
void scheduler_collect (struct scheduler *scheduler,
                        void (*add) (void *ctx, const Sp__JobRecord *record), void *ctx);
void scheduler_flushed (struct scheduler *scheduler, bool durable, int64_t now_ms);

/* Sets what is known of the leadership: sole_ms, a time until which no other host had replaced this
 * leader, and leases_end_ms, when the leases that it grants must have ended in case one has. Not
 * limited at first. */
void scheduler_set_leadership (struct scheduler *scheduler, int64_t sole_ms, int64_t leases_end_ms);
/* Sets the time up to which the journal has been read: jobs that were accepted later may be
 * missing. Not limited at first. */
void scheduler_set_journal_read (struct scheduler *scheduler, int64_t read_ms);
/* Returns whether all leases that earlier leaders granted have certainly expired. */
bool scheduler_earlier_leases_ended (const struct scheduler *scheduler, int64_t now_ms);

/* Allows or forbids commands that move or maintain hosts. They are only allowed while the
 * leadership is renewed. */
void scheduler_allow_host_commands (struct scheduler *scheduler, bool allowed);

/* How an endpoint ended with which attempts were lost. */
enum endpoint_end
{
  /* It ended without notice. */
  ENDPOINT_END_CRASH,
  /* It was draining, or its host was moved or maintained. */
  ENDPOINT_END_PLANNED,
  /* It was silent until its lease had expired, and may run. */
  ENDPOINT_END_UNKNOWN,
};

struct scheduler_counts
{
  unsigned endpoints;
  unsigned endpoints_unresponsive;
  /* Tasks assigned to an endpoint: starting, running or being stopped. */
  unsigned tasks_running;
  unsigned tasks_ready;
  unsigned jobs;
  uint64_t starts;
  uint64_t starts_failed;
  uint64_t stops;
  /* By enum attempt_outcome. */
  uint64_t completions[6];
  /* Number of attempts that ended without a reported completion. */
  uint64_t lapses;
  /* Number of attempts that were lost with their endpoint, by enum endpoint_end. */
  uint64_t attempts_lost[3];
  /* Crashes that were counted for a task, starts of suspect tasks on trial, trials after which the
   * task was not suspect any more, and jobs that were given up because a task crashes endpoints. */
  uint64_t crashes_counted;
  uint64_t trials;
  uint64_t trials_survived;
  uint64_t jobs_given_up;
  /* Stored jobs that failed because their definition can't be run. */
  uint64_t jobs_invalid;
  uint64_t moves;
  uint64_t maintenances;
  /* Number of endpoints considered for placements, which dominates the cost of a scheduling
   * pass. */
  uint64_t candidates;
  /* Waits for capacity on a rack: begun, ended with a start there, ended without; the sum of their
   * times; and the factor that tasks far from their data take longer, in thousandths, as learned
   * for the image seen last. */
  uint64_t waits;
  uint64_t waits_won;
  uint64_t waits_lost;
  uint64_t waited_ms;
  unsigned far_factor_permille;
  /* Number of times that a start of a late job was held back, to leave room for timely ones. */
  uint64_t late_held;
};

/* Adds the forecasts that hosts are to be told of as struct admission_pool_entry, and the learned
 * durations as struct admission_queue_line; their strings belong to the scheduler. Returns false if
 * there is nothing to tell. */
bool scheduler_list_outlook (const struct scheduler *scheduler, GArray *entries, GArray *lines);
/* Calls a function for each pool that isn't a standby pool. */
void scheduler_foreach_outlook (const struct scheduler *scheduler,
                                void (*each) (void *ctx, const char *pool,
                                              const struct pool_outlook *outlook),
                                void *ctx);

void scheduler_get_counts (const struct scheduler *scheduler, struct scheduler_counts *counts);
/* Counts the ready tasks of each workspace. Returns the struct workspace_account of all workspaces
 * that the scheduler knows, or NULL if there were none. Valid until the next call into the
 * scheduler. */
const GPtrArray *scheduler_count_workspaces (struct scheduler *scheduler);

#endif
