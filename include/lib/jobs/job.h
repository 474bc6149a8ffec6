#ifndef SESAMEPICK_LIB_JOBS_JOB_H
#define SESAMEPICK_LIB_JOBS_JOB_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "job.pb-c.h"
#include "lib/admission/duration_model.h"
#include "lib/jobs/job_definition.h"
#include "lib/resources.h"

struct endpoint;
struct job;
struct workspace_account;

enum task_phase
{
  /* Steps that it depends on are not done, its occurrence is not due or its job is over. */
  TASK_BLOCKED,
  TASK_READY,
  /* A start was sent and its result is not known. */
  TASK_STARTING,
  TASK_RUNNING,
  /* A stop was sent; the completion has not been reported. */
  TASK_STOPPING,
  TASK_DONE,
};

/* One task of one occurrence of a job. The first group of fields is what progress records hold;
 * they may be ahead of the journal in the process that leads. The rest belongs to the scheduler,
 * which resets it when the job is added to it. */
struct task
{
  struct job *job;
  uint32_t occurrence;
  uint32_t step;
  uint32_t index;
  /* Attempts that failed, unordered; NULL if there are none. */
  uint32_t *failed_attempts;
  uint32_t n_failed;
  /* Attempts whose endpoint crashed and was not known to have outlived their start, unordered; NULL
   * if there are none. */
  uint32_t *crashed_attempts;
  uint32_t n_crashed;
  /* The same for attempts whose start got no response, so that they may not have been started. */
  uint32_t *possibly_crashed_attempts;
  uint32_t n_possibly_crashed;
  /* Highest attempt whose start an endpoint has outlived after others crashed. */
  uint32_t survived_attempt;
  /* Last attempt on trial, its endpoint and the start of that endpoint's incarnation, recorded
   * before the attempt is started; and the last that ended without a crash of its endpoint. */
  uint32_t trial_attempt;
  char *trial_endpoint;
  int64_t trial_born_ms;
  uint32_t trial_ended_attempt;
  /* Highest attempt whose completion was handled. */
  uint32_t ended_attempt;
  char *checkpoint;
  bool done;

  enum task_phase phase;
  /* Number of the current attempt, or of the last one. */
  uint32_t attempt;
  /* Highest number that this leader or an earlier one may have sent to an endpoint. */
  uint32_t highest_attempt;
  /* Endpoint on which it runs or may run, or NULL. */
  struct endpoint *endpoint;
  TAILQ_ENTRY (task) endpoint_link;
  int64_t phase_since_ms;
  /* When the endpoint last confirmed that it runs or, for a task that is being stopped, accepted
   * the stop; 0 while the stop is not accepted. */
  int64_t confirmed_ms;
  /* When progress last changed, and the progress in percent. */
  int64_t progress_ms;
  int progress_percent;
  /* Last reported load: tail latency in ms for a serving task, processor use in thousandths for
   * others. */
  int load;
  /* Pace, as a percentage of full speed: the one wanted and the last that the endpoint
   * acknowledged. */
  int pace_percent;
  int pace_acknowledged_percent;
  bool pace_in_flight;
  /* How often the current start was sent without a response. */
  unsigned starts_unanswered;
  /* Until when a send of the current attempt's start that got no response may be carried out. */
  int64_t start_late_until_ms;
  /* When the current attempt's start was first sent, or the attempt was adopted. */
  int64_t start_sent_ms;
  /* When the endpoint confirmed the current attempt's start; 0 if it has not, or an earlier leader
   * started it. */
  int64_t confirmed_start_ms;
  /* What the endpoint's clock showed when the current attempt was first known to run, -1 while that
   * isn't known, and whether the endpoint has run on for a while since. */
  int64_t started_clock_ms;
  bool start_survived;
  /* Number of the last attempt whose loss with its endpoint was recorded. */
  uint32_t lost_attempt;
  /* The endpoint has restarted since the start was sent; a report shows whether the attempt was
   * lost or runs on the new incarnation. */
  bool endpoint_restarted;
  /* Number of the last report of an endpoint that lists the current attempt. */
  uint64_t listed_in_report;
  /* May crash the endpoints that start it, and is only started on trial. */
  bool suspect;
  /* Number of jobs of which a task may have caused the last crash; 0 if it isn't known. */
  unsigned n_suspect_jobs;
  /* The current attempt is on trial: no other job has an attempt on its endpoint whose start could
   * be the cause of a crash. */
  bool on_trial;
  /* The current attempt was started as one of a suspect. */
  bool started_as_suspect;
  /* An earlier leader has recorded the attempt on trial, and what became of its endpoint isn't
   * known. */
  bool trial_is_inherited;
  /* Number of the flush that makes the trial, and the crashes before it, durable. */
  uint64_t trial_flush;
  /* Losses of which it is not known yet whether the endpoint crashed. */
  unsigned n_unresolved;
  /* How often the current stop failed, and when the endpoint's fence was raised to invalidate the
   * start; 0 if it was not. */
  unsigned stops_failed;
  int64_t fence_raised_ms;
  bool command_in_flight;
  int64_t next_command_ms;
  /* Another endpoint that reports an attempt of it, which is being stopped, used for comparison
   * only, and when that attempt has ended at the latest. */
  const struct endpoint *other_endpoint;
  int64_t other_attempt_until_ms;
  /* Endpoint where it last failed, used for comparison only, and when. */
  const struct endpoint *failed_endpoint;
  int64_t failed_ms;
};

struct job
{
  char *id;
  Sp__JobDefinition *definition;
  /* Why the definition can't be run, a constant string; NULL if it can. The job then has no tasks
   * and fails. */
  const char *definition_error;
  /* Durable state, which callers are shown. */
  Sp__JobState state;
  bool cancelled;
  uint32_t tasks_per_occurrence;
  uint32_t n_occurrences;
  uint32_t n_tasks;
  /* Largest amount of each resource that one of its tasks requests, once the job is reduced. */
  struct resources largest_request;
  /* NULL until the job is scheduled or progress of its tasks is read, and after it is reduced. */
  struct task *tasks;
  /* Journal offset of the definition; -1 if it is not known, which counts as before any claim. */
  int64_t offset;
  /* When this process learned of the job, and of its final state. */
  int64_t seen_ms;
  int64_t ended_ms;

  /* Fields of the scheduler. */
  bool scheduled;
  /* An earlier leader may have started tasks of it. */
  bool inherited;
  /* What its workspace uses; NULL while the configuration has had no workspaces. */
  struct workspace_account *account;
  /* Is in the scheduler's set of jobs whose progress is to be recorded. */
  bool dirty;
  /* Its queue's tasks have crashed endpoints a short while ago, as far as is known. */
  bool cautious;

  /* Commands in progress that refer to its tasks. */
  uint32_t n_commands;
  /* State for the next progress record. */
  Sp__JobState next_state;
  uint32_t n_ready;
  uint32_t n_active;
  uint32_t n_remaining;
  /* When its objective requires it to be done, on this process's monotonic clock. */
  int64_t due_ms;
  /* Time from its arrival until then. */
  int64_t objective_ms;
  /* What predicts its durations; NULL for the plain estimates. */
  const struct duration_model *durations;
  /* Wait until its first start that was forecast at its arrival; -1 if none was or it has started.
   */
  int64_t forecast_wait_ms;
  /* It is late, and its starts leave room for timely arrivals. */
  bool leaves_room;
  TAILQ_ENTRY (job) pool_link;
};

bool job_state_is_final (Sp__JobState state);
const char *job_state_name (Sp__JobState state);
struct job *job_create (const char *id);
void job_destroy (struct job *job);
void job_define (struct job *job, Sp__JobDefinition *definition);
void job_define_ended (struct job *job, const char *queue, const char *workspace);
/* Creates the tasks if they don't exist yet. */
void job_create_tasks (struct job *job);
/* Frees all that a job which is over doesn't need. It must not be scheduled, and no command that
 * refers to its tasks may be in progress. */
void job_reduce (struct job *job);
const Sp__JobStep *task_step (const struct task *task);
struct task *job_task (const struct job *job, uint32_t occurrence, uint32_t step, uint32_t index);
bool job_merge_progress (struct job *job, const Sp__JobProgress *progress);
/* Counts a failed attempt. Returns false if it was already counted. */
bool task_add_failure (struct task *task, uint32_t attempt);
/* Counts an attempt whose endpoint crashed. Returns false if it was already counted, or an endpoint
 * has outlived the start of this or a later attempt. */
bool task_add_crash (struct task *task, uint32_t attempt);
/* The same for an attempt that may not have been started. */
bool task_add_possible_crash (struct task *task, uint32_t attempt);
/* Stores the attempt on trial that is to be started on an endpoint. */
void task_set_trial (struct task *task, uint32_t attempt, const char *endpoint, int64_t born_ms);
bool task_has_crashed (const struct task *task, uint32_t attempt);
/* Records that an endpoint has outlived the start of an attempt, so that crashes up to it don't
 * count. */
void task_set_survived (struct task *task, uint32_t attempt);
void task_set_checkpoint (struct task *task, const char *checkpoint);
char *task_name (const struct task *task);
bool job_step_is_done (const struct job *job, uint32_t occurrence, uint32_t step);
struct duration_line job_durations (const struct job *job);
int64_t job_critical_path_ms (const struct job *job, int64_t start_ms);
int64_t definition_critical_path_ms (const Sp__JobDefinition *definition,
                                     const struct duration_line *line);

#endif
