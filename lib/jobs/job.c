#include "lib/jobs/job.h"

#include <stdlib.h>
#include <string.h>

bool
job_state_is_final (Sp__JobState state)
{
  return state == SP__JOB_STATE__JOB_COMPLETED || state == SP__JOB_STATE__JOB_FAILED ||
         state == SP__JOB_STATE__JOB_CANCELLED;
}

/* Returns the name of a state as shown in logs and reports. */
const char *
job_state_name (Sp__JobState state)
{
  static const char *const names[] = { "queued", "running", "completed", "failed", "cancelled" };

  return (size_t) state < G_N_ELEMENTS (names) ? names[state] : "unknown";
}

/* Creates a job of which only the id is known. */
struct job *
job_create (const char *id)
{
  struct job *job = g_new0 (struct job, 1);

  job->id = g_strdup (id);
  job->offset = -1;
  return job;
}

/* Frees the tasks of a job. */
static void
job_free_tasks (struct job *job)
{
  for (uint32_t i = 0; i < job->n_tasks && job->tasks; i++)
    {
      g_free (job->tasks[i].checkpoint);
      g_free (job->tasks[i].failed_attempts);
      g_free (job->tasks[i].crashed_attempts);
      g_free (job->tasks[i].possibly_crashed_attempts);
      g_free (job->tasks[i].trial_endpoint);
    }
  g_clear_pointer (&job->tasks, g_free);
}

void
job_destroy (struct job *job)
{
  job_free_tasks (job);
  if (job->definition)
    sp__job_definition__free_unpacked (job->definition, NULL);
  g_free (job->id);
  g_free (job);
}

/* Creates the tasks of all occurrences, unless they exist. A job that is reduced has none. */
void
job_create_tasks (struct job *job)
{
  const Sp__JobDefinition *definition = job->definition;
  struct task *task;

  if (job->tasks || job->n_tasks == 0)
    return;
  job->tasks = g_new0 (struct task, job->n_tasks);
  task = job->tasks;
  for (uint32_t k = 0; k < job->n_occurrences; k++)
    {
      for (uint32_t s = 0; s < definition->n_steps; s++)
        {
          for (uint32_t i = 0; i < definition->steps[s]->n_tasks; i++, task++)
            {
              task->job = job;
              task->occurrence = k;
              task->step = s;
              task->index = i;
            }
        }
    }
}

/* Sets the job's definition and takes ownership of it. If the job already has one, the new one is
 * freed. A definition that was read from the journal is not trusted: one that can't be run gives
 * the job no tasks. */
void
job_define (struct job *job, Sp__JobDefinition *definition)
{
  if (job->definition)
    {
      sp__job_definition__free_unpacked (definition, NULL);
      return;
    }
  job->definition = definition;
  if (!job_definition_is_valid (definition, &job->definition_error))
    return;
  for (size_t i = 0; i < definition->n_steps; i++)
    job->tasks_per_occurrence += definition->steps[i]->n_tasks;
  job->n_occurrences = MAX (definition->repeats, 1);
  job->n_tasks = job->tasks_per_occurrence * job->n_occurrences;
}

/* Gives a job that is over, and whose definition is deleted, what is still needed of it. */
void
job_define_ended (struct job *job, const char *queue, const char *workspace)
{
  Sp__JobDefinition *definition = malloc (sizeof *definition);

  sp__job_definition__init (definition);
  definition->queue = strdup (queue);
  definition->workspace = strdup (workspace);
  job->definition = definition;
}

/* Replaces a string of a protobuf message by the empty one. */
static void
message_clear_string (char **field)
{
  if (*field != protobuf_c_empty_string)
    free (*field);
  *field = (char *) protobuf_c_empty_string;
}

/* Frees the tasks, the steps and the spec of a job that is over, so that a table of many such jobs
 * stays small. The queue, the pool and the workspace stay known, for callers and operators. */
void
job_reduce (struct job *job)
{
  Sp__JobDefinition *definition = job->definition;

  job_free_tasks (job);
  job->n_tasks = 0;
  if (!definition || definition->n_steps == 0)
    return;
  for (size_t i = 0; i < definition->n_steps; i++)
    {
      const Sp__JobStep *step = definition->steps[i];
      struct resources request = { .cpu_milli = step->fills ? 0 : step->cpu_milli,
                                   .memory_mb = step->memory_mb,
                                   .gpus = step->gpus };

      job->largest_request = resources_max (&job->largest_request, &request);
      sp__job_step__free_unpacked (definition->steps[i], NULL);
    }
  free (definition->steps);
  definition->steps = NULL;
  definition->n_steps = 0;
  message_clear_string (&definition->spec);
  message_clear_string (&definition->id);
}

/* Returns the step that a task belongs to. */
const Sp__JobStep *
task_step (const struct task *task)
{
  return task->job->definition->steps[task->step];
}

/* Returns a task by its numbers, or NULL if the job has no such task or its tasks don't exist. */
struct task *
job_task (const struct job *job, uint32_t occurrence, uint32_t step, uint32_t index)
{
  uint32_t offset = 0;

  if (!job->tasks || occurrence >= job->n_occurrences || step >= job->definition->n_steps ||
      index >= job->definition->steps[step]->n_tasks)
    return NULL;
  for (uint32_t s = 0; s < step; s++)
    offset += job->definition->steps[s]->n_tasks;
  return &job->tasks[occurrence * job->tasks_per_occurrence + offset + index];
}

/* Replaces a task's checkpoint; an empty string keeps the present one. */
void
task_set_checkpoint (struct task *task, const char *checkpoint)
{
  if (!checkpoint || checkpoint[0] == '\0' || g_strcmp0 (task->checkpoint, checkpoint) == 0)
    return;
  g_free (task->checkpoint);
  task->checkpoint = g_strdup (checkpoint);
}

/* Adds an attempt to a set of attempts. Returns false if it is in the set. */
static bool
attempts_add (uint32_t **attempts, uint32_t *n, uint32_t attempt)
{
  for (uint32_t i = 0; i < *n; i++)
    {
      if ((*attempts)[i] == attempt)
        return false;
    }
  *attempts = g_renew (uint32_t, *attempts, *n + 1);
  (*attempts)[(*n)++] = attempt;
  return true;
}

/* Counts a failed attempt. A leader gets completions from each endpoint separately, so a later
 * attempt may be reported before an earlier one. */
bool
task_add_failure (struct task *task, uint32_t attempt)
{
  return attempts_add (&task->failed_attempts, &task->n_failed, attempt);
}

/* Returns whether an attempt is counted as one whose endpoint crashed. */
bool
task_has_crashed (const struct task *task, uint32_t attempt)
{
  for (uint32_t i = 0; i < task->n_crashed; i++)
    {
      if (task->crashed_attempts[i] == attempt)
        return true;
    }
  return false;
}

bool
task_add_possible_crash (struct task *task, uint32_t attempt)
{
  return attempt > task->survived_attempt && !task_has_crashed (task, attempt) &&
         attempts_add (&task->possibly_crashed_attempts, &task->n_possibly_crashed, attempt);
}

/* Removes the attempts up to a number from a set of attempts. */
static void
attempts_remove_up_to (uint32_t *attempts, uint32_t *n, uint32_t attempt)
{
  uint32_t kept = 0;

  for (uint32_t i = 0; i < *n; i++)
    {
      if (attempts[i] > attempt)
        attempts[kept++] = attempts[i];
    }
  *n = kept;
}

bool
task_add_crash (struct task *task, uint32_t attempt)
{
  return attempt > task->survived_attempt &&
         attempts_add (&task->crashed_attempts, &task->n_crashed, attempt);
}

void
task_set_survived (struct task *task, uint32_t attempt)
{
  if (attempt <= task->survived_attempt)
    return;
  task->survived_attempt = attempt;
  attempts_remove_up_to (task->crashed_attempts, &task->n_crashed, attempt);
  attempts_remove_up_to (task->possibly_crashed_attempts, &task->n_possibly_crashed, attempt);
}

void
task_set_trial (struct task *task, uint32_t attempt, const char *endpoint, int64_t born_ms)
{
  char *id = g_strdup (endpoint);

  g_free (task->trial_endpoint);
  task->trial_endpoint = id;
  task->trial_attempt = attempt;
  task->trial_born_ms = born_ms;
}

/* Merges one task's durable progress. Nothing is ever undone, so reading an older record after a
 * newer one does no harm. */
static void
task_merge_progress (struct task *task, const Sp__TaskProgress *progress)
{
  task->done = task->done || progress->done;
  for (size_t i = 0; i < progress->n_failed_attempts; i++)
    task_add_failure (task, progress->failed_attempts[i]);
  task_set_survived (task, progress->survived_attempt);
  if (progress->trial_attempt > task->trial_attempt)
    task_set_trial (task, progress->trial_attempt, progress->trial_endpoint,
                    progress->trial_born_ms);
  task->trial_ended_attempt = MAX (task->trial_ended_attempt, progress->trial_ended_attempt);
  for (size_t i = 0; i < progress->n_crashed_attempts; i++)
    task_add_crash (task, progress->crashed_attempts[i]);
  for (size_t i = 0; i < progress->n_possibly_crashed_attempts; i++)
    task_add_possible_crash (task, progress->possibly_crashed_attempts[i]);
  if (progress->ended_attempt < task->ended_attempt)
    return;
  task->ended_attempt = progress->ended_attempt;
  task->attempt = MAX (task->attempt, progress->ended_attempt);
  task->highest_attempt = MAX (task->highest_attempt, progress->ended_attempt);
  task_set_checkpoint (task, progress->checkpoint);
}

/* Merges a progress record into the job. Returns true if the state shown to callers changed. */
bool
job_merge_progress (struct job *job, const Sp__JobProgress *progress)
{
  Sp__JobState before = job->state;

  if (progress->n_tasks > 0 && job->definition && !job_state_is_final (job->state))
    job_create_tasks (job);
  for (size_t i = 0; i < progress->n_tasks; i++)
    {
      if (job->tasks && progress->tasks[i]->task < job->n_tasks)
        task_merge_progress (&job->tasks[progress->tasks[i]->task], progress->tasks[i]);
    }
  if (!job_state_is_final (job->state) && progress->state > job->state)
    job->state = progress->state;
  return job->state != before;
}

/* Returns a task's name on endpoints, JOB.OCCURRENCE.STEP.INDEX; free with g_free. */
char *
task_name (const struct task *task)
{
  return g_strdup_printf ("%s.%u.%u.%u", task->job->id, task->occurrence, task->step, task->index);
}

bool
job_step_is_done (const struct job *job, uint32_t occurrence, uint32_t step)
{
  const struct task *first = job_task (job, occurrence, step, 0);

  if (!first)
    return false;
  for (uint32_t i = 0; i < job->definition->steps[step]->n_tasks; i++)
    {
      if (!first[i].done)
        return false;
    }
  return true;
}

/* Returns how the durations of a job's tasks are predicted. */
struct duration_line
job_durations (const struct job *job)
{
  return duration_model_line (job->durations, job->definition->queue);
}

/* Returns the expected time in ms of the longest chain of dependent steps, with start_ms for the
 * start of each. Steps of job that are done don't count; job may be NULL. */
static int64_t
critical_path_ms (const Sp__JobDefinition *definition, const struct job *job,
                  const struct duration_line *line, int64_t start_ms)
{
  g_autofree int64_t *ends = g_new0 (int64_t, definition->n_steps);
  int64_t longest = 0;

  for (uint32_t s = 0; s < definition->n_steps; s++)
    {
      const Sp__JobStep *step = definition->steps[s];

      for (size_t i = 0; i < step->n_prerequisites; i++)
        ends[s] = MAX (ends[s], ends[step->prerequisites[i]]);
      if (!job || !job_step_is_done (job, 0, s))
        ends[s] += start_ms + duration_line_step_ms (line, step->estimate_ms, step->n_tasks);
      longest = MAX (longest, ends[s]);
    }
  return longest;
}

/* Returns the expected time of what is left of a job's critical path. Only the first occurrence of
 * a repeated job counts. */
int64_t
job_critical_path_ms (const struct job *job, int64_t start_ms)
{
  struct duration_line line = job_durations (job);

  return critical_path_ms (job->definition, job, &line, start_ms);
}

/* Returns the expected critical path of a job that has not begun. */
int64_t
definition_critical_path_ms (const Sp__JobDefinition *definition, const struct duration_line *line)
{
  return critical_path_ms (definition, NULL, line, 0);
}
