#ifndef SESAMEPICK_LIB_JOBS_SCHEDULER_H
#define SESAMEPICK_LIB_JOBS_SCHEDULER_H

#include "lib/jobs/endpoint.h"
#include "lib/jobs/host.h"
#include "lib/jobs/job_book.h"

/* The leader's decisions: which task starts where and when, what is stopped, which hosts change
 * their pool or are maintained. It does no I/O: it is told of events and of the time, and gives
 * orders through callbacks. All times are the caller's monotonic milliseconds. */
struct scheduler;

enum order_result
{
  ORDER_DONE,
  /* The request never left: nothing was done. */
  ORDER_NOT_SENT,
  /* No answer: it may have been carried out, or may be later. */
  ORDER_UNKNOWN,
  /* Another leader has a higher fence. */
  ORDER_FENCED,
  /* The attempt isn't higher than one that ended there. */
  ORDER_OLD,
  /* The lease was over before the order arrived. */
  ORDER_LATE,
  ORDER_NO_ROOM,
  ORDER_NO_TICKET,
  /* The endpoint is unhealthy and has done nothing. */
  ORDER_UNHEALTHY,
  /* Another life of the endpoint has its address. */
  ORDER_OTHER_LIFE,
  /* The order can't be understood. */
  ORDER_INVALID,
};

/* One run that an endpoint lists. */
struct endpoint_run
{
  const char *task;
  uint32_t attempt;
  const char *checkpoint;
  int percent;
  /* Tail latency in ms of a serving task, processor use in thousandths of another. */
  int load;
};

enum run_end
{
  RUN_DONE,
  RUN_FAILED,
  RUN_STOPPED,
  RUN_LAPSED,
  /* Another member of its gang ended. */
  RUN_BROKEN,
  /* The other members of its gang did not come in time. */
  RUN_ALONE,
};

struct endpoint_end
{
  uint64_t number;
  const char *task;
  uint32_t attempt;
  enum run_end how;
  const char *checkpoint;
};

/* An endpoint's answer to a hold. */
struct endpoint_report
{
  int64_t clock_ms;
  /* 0 if not said. */
  int64_t born_ms;
  const struct endpoint_run *runs;
  size_t n_runs;
  const struct endpoint_end *ends;
  size_t n_ends;
};

struct scheduler_ops
{
  /* Each order is answered by the function of the same name below, unless the scheduler is
   * destroyed first. lease_end_ms is on the endpoint's clock. */
  void (*start) (void *ctx, struct endpoint *endpoint, struct task *task, int64_t lease_end_ms);
  void (*stop) (void *ctx, struct endpoint *endpoint, const char *task, uint32_t attempt,
                struct task *known);
  /* lease_end_ms 0 extends no lease; wait_ms 0 asks for an answer at once. */
  void (*hold) (void *ctx, struct endpoint *endpoint, int64_t lease_end_ms, int64_t wait_ms);
  void (*pace) (void *ctx, struct endpoint *endpoint, struct task *task, int percent);
  void (*move_host) (void *ctx, struct host *host, const char *pool);
  void (*maintain_host) (void *ctx, struct host *host, uint32_t wave);
  /* A wave's hosts have all been maintained, or it has begun. */
  void (*wave_state) (void *ctx, uint32_t wave, bool completed);
  /* A line for the log: what was decided or is believed from now on, and why. */
  void (*note) (void *ctx, const char *line);
  /* Another leader has taken over: the owner destroys the scheduler in a later turn. */
  void (*deposed) (void *ctx, const char *why);
  void *ctx;
};

struct scheduler_config
{
  uint64_t epoch;
  /* Offset of the claim: jobs defined before it may have been started by an earlier leader. */
  int64_t claim_offset;
  /* Time that a task may run without word from the leader. */
  int64_t lease_ms;
  int64_t stop_ms;
};

struct scheduler *scheduler_create (const struct scheduler_config *config,
                                    const struct scheduler_ops *ops, struct job_book *all_jobs,
                                    int64_t now_ms, int64_t wall_ms);
void scheduler_destroy (struct scheduler *scheduler);

/* The pools of the configuration. */
void scheduler_set_pool (struct scheduler *scheduler, const char *name, bool standby);
/* The registry: a new or changed entry, one that is gone, and the end of a whole list. */
void scheduler_endpoint_listed (struct scheduler *scheduler, const struct endpoint_entry *entry,
                                int64_t now_ms);
void scheduler_endpoint_gone (struct scheduler *scheduler, const char *id, int64_t now_ms);
void scheduler_registry_read (struct scheduler *scheduler);
void scheduler_job_defined (struct scheduler *scheduler, struct job *job, int64_t now_ms,
                            int64_t wall_ms);
void scheduler_job_cancelled (struct scheduler *scheduler, struct job *job, int64_t now_ms);
void scheduler_job_forgotten (struct scheduler *scheduler, struct job *job);

void scheduler_start_done (struct scheduler *scheduler, struct endpoint *endpoint,
                           struct task *task, uint32_t attempt, uint64_t fence,
                           enum order_result result, int64_t clock_ms, int64_t now_ms);
void scheduler_stop_done (struct scheduler *scheduler, struct endpoint *endpoint,
                          struct task *known, uint32_t attempt, uint64_t fence,
                          enum order_result result, int64_t now_ms);
/* fence is what the order carried. report is NULL unless result is ORDER_DONE. */
void scheduler_hold_done (struct scheduler *scheduler, struct endpoint *endpoint, uint64_t fence,
                          enum order_result result, const struct endpoint_report *report,
                          uint64_t acked, int64_t sent_ms, int64_t now_ms);
void scheduler_pace_done (struct scheduler *scheduler, struct endpoint *endpoint, struct task *task,
                          int percent, uint64_t fence, enum order_result result);

/* Hosts of the machine list and waves of maintenance. */
void scheduler_hosts_listed (struct scheduler *scheduler, const struct host_entry *entries,
                             size_t n, int64_t sent_ms, int64_t now_ms);
void scheduler_move_done (struct scheduler *scheduler, struct host *host, enum host_result result,
                          int64_t now_ms);
void scheduler_maintain_done (struct scheduler *scheduler, struct host *host, uint32_t wave,
                              enum host_result result, int64_t now_ms);
void scheduler_wave_asked (struct scheduler *scheduler, const struct wave_order *request,
                           int64_t now_ms);
/* What an earlier leader recorded of a wave. */
void scheduler_wave_progress (struct scheduler *scheduler, const Sp__WaveProgress *progress);

/* Lets time pass: gives the orders that are due. */
void scheduler_tick (struct scheduler *scheduler, int64_t now_ms, int64_t wall_ms);

/* Progress that is not durable yet. collect calls add for each record and notes which ends they
 * cover; flushed tells that all of them are durable, or that they are to be collected again. */
bool scheduler_is_dirty (const struct scheduler *scheduler);
void scheduler_collect (struct scheduler *scheduler,
                        void (*add) (void *ctx, const Sp__JobRecord *record), void *ctx);
void scheduler_flushed (struct scheduler *scheduler, bool durable, int64_t now_ms);

/* Whether machine calls are allowed: only while the leadership is renewed. */
void scheduler_set_renewed (struct scheduler *scheduler, bool renewed);

struct scheduler_counts
{
  unsigned endpoints;
  unsigned endpoints_silent;
  unsigned tasks_running;
  unsigned tasks_ready;
  unsigned jobs;
  uint64_t starts;
  uint64_t starts_failed;
  uint64_t stops;
  uint64_t ends[6];
  uint64_t lapses;
  uint64_t moves;
  uint64_t maintenances;
  /* Endpoints that were weighed for a placement: most of what a turn costs. */
  uint64_t candidates;
};

void scheduler_count (const struct scheduler *scheduler, struct scheduler_counts *counts);

#endif
