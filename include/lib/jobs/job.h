#ifndef SESAMEPICK_LIB_JOBS_JOB_H
#define SESAMEPICK_LIB_JOBS_JOB_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "job.pb-c.h"

struct endpoint;
struct job;

enum task_phase
{
  /* Steps that it depends on are not done, or its time has not come. */
  TASK_BLOCKED,
  TASK_READY,
  /* A start was sent and its outcome is not known. */
  TASK_STARTING,
  TASK_RUNNING,
  /* A stop was sent; the end has not been seen. */
  TASK_STOPPING,
  TASK_DONE,
};

/* One task of one occurrence of a job. The first group of fields is durable, the rest is the
 * scheduler's and is reset when leadership ends. */
struct task
{
  struct job *job;
  uint32_t occurrence;
  uint32_t step;
  uint32_t index;
  /* Attempts that failed, in no order; NULL if there are none. */
  uint32_t *failed_attempts;
  uint32_t n_failed;
  uint32_t ended_attempt;
  char *checkpoint;
  bool done;

  enum task_phase phase;
  uint32_t attempt;
  /* Where it runs, or may run. */
  struct endpoint *endpoint;
  TAILQ_ENTRY (task) endpoint_link;
  int64_t phase_since_ms;
  /* When the endpoint last confirmed that it runs. */
  int64_t confirmed_ms;
  /* When progress was last seen, and the progress, in percent. */
  int64_t progress_ms;
  int progress_percent;
  /* Last load figure: tail latency in ms of a serving task, processor use of another. */
  int load;
  /* Share at which it may work, and the last that was ordered. */
  int pace_percent;
  int pace_acknowledged_percent;
  bool pace_in_flight;
  unsigned start_resends;
  bool command_in_flight;
  int64_t next_command_ms;
  /* Where it failed last, for comparison only, and when. */
  const struct endpoint *failed_endpoint;
  int64_t failed_ms;
};

/* A job and all its tasks. */
struct job
{
  char *id;
  Sp__JobDefinition *definition;
  /* Durable state, as callers are shown it. */
  Sp__JobState state;
  bool cancelled;
  uint32_t tasks_per_occurrence;
  uint32_t n_occurrences;
  uint32_t n_tasks;
  struct task *tasks;
  /* Journal offset of the definition; -1 for one read from a compacted journal. */
  int64_t offset;
  /* When this process learnt of the job, and of its end. */
  int64_t seen_ms;
  int64_t ended_ms;

  /* The scheduler's part. */
  bool scheduled;
  /* An earlier leader may have started tasks of it. */
  bool inherited;
  bool dirty;
  /* What the next progress record says. */
  Sp__JobState next_state;
  uint32_t n_ready;
  uint32_t n_active;
  uint32_t n_remaining;
  int64_t due_ms;
  TAILQ_ENTRY (job) pool_link;
};

bool job_state_is_final (Sp__JobState state);
const char *job_state_name (Sp__JobState state);
bool job_definition_is_valid (const Sp__JobDefinition *definition, const char **error);
struct job *job_create (const char *id);
void job_destroy (struct job *job);
void job_define (struct job *job, Sp__JobDefinition *definition);
const Sp__JobStep *task_step (const struct task *task);
struct task *job_task (const struct job *job, uint32_t occurrence, uint32_t step, uint32_t index);
bool job_merge_progress (struct job *job, const Sp__JobProgress *progress);
/* Counts a failed attempt. Gives false if it was counted before. */
bool task_add_failure (struct task *task, uint32_t attempt);
void task_set_checkpoint (struct task *task, const char *checkpoint);
char *task_name (const struct task *task);
bool job_step_is_done (const struct job *job, uint32_t occurrence, uint32_t step);
int64_t job_critical_path_ms (const struct job *job);

#endif
