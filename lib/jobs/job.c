#include "lib/jobs/job.h"

#include <string.h>

enum
{
  /* Bounds on what one job may ask for, so that one request can't exhaust the process's memory. */
  STEPS_MAX = 256,
  TASKS_MAX = 20000,
};

/* Tells whether a job in this state has nothing left to do. */
bool
job_state_is_final (Sp__JobState state)
{
  return state == SP__JOB_STATE__JOB_COMPLETED || state == SP__JOB_STATE__JOB_FAILED ||
         state == SP__JOB_STATE__JOB_CANCELLED;
}

/* Gives the word for a state in logs. */
const char *
job_state_name (Sp__JobState state)
{
  static const char *const names[] = { "queued", "running", "completed", "failed", "cancelled" };

  return (size_t) state < G_N_ELEMENTS (names) ? names[state] : "unknown";
}

/* Tells whether a step may depend on these steps: all must come before it. */
static bool
step_dependencies_are_valid (const Sp__JobStep *step, size_t at)
{
  for (size_t i = 0; i < step->n_prerequisites; i++)
    {
      if (step->prerequisites[i] >= at)
        return false;
    }
  return true;
}

/* Checks what a job asks for. Gives false, with the reason in error, for one that can't be kept. */
bool
job_definition_is_valid (const Sp__JobDefinition *definition, const char **error)
{
  uint64_t n_tasks = 0;
  uint64_t occurrences = MAX (definition->repeats, 1);

  *error = NULL;
  if (definition->n_steps == 0 || definition->n_steps > STEPS_MAX)
    *error = "a job needs between 1 and 256 steps";
  for (size_t i = 0; i < definition->n_steps && !*error; i++)
    {
      const Sp__JobStep *step = definition->steps[i];

      n_tasks += step->n_tasks;
      if (step->n_tasks == 0)
        *error = "a step needs at least one task";
      else if (!step_dependencies_are_valid (step, i))
        *error = "a step may depend on earlier steps only";
    }
  if (!*error && n_tasks * occurrences > TASKS_MAX)
    *error = "a job may have 20000 tasks at most";
  return !*error;
}

/* Makes a job of which only the id is known. */
struct job *
job_create (const char *id)
{
  struct job *job = g_new0 (struct job, 1);

  job->id = g_strdup (id);
  job->offset = -1;
  return job;
}

/* Frees a job and its tasks. */
void
job_destroy (struct job *job)
{
  for (uint32_t i = 0; i < job->n_tasks; i++)
    {
      g_free (job->tasks[i].checkpoint);
      g_free (job->tasks[i].failed_attempts);
    }
  g_free (job->tasks);
  if (job->definition)
    sp__job_definition__free_unpacked (job->definition, NULL);
  g_free (job->id);
  g_free (job);
}

/* Numbers the tasks of all occurrences. */
static void
job_create_tasks (struct job *job)
{
  const Sp__JobDefinition *definition = job->definition;
  struct task *task;

  for (size_t i = 0; i < definition->n_steps; i++)
    job->tasks_per_occurrence += definition->steps[i]->n_tasks;
  job->n_occurrences = MAX (definition->repeats, 1);
  job->n_tasks = job->tasks_per_occurrence * job->n_occurrences;
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

/* Gives the job its definition, which it then owns. The first one stays; a repeat is freed. */
void
job_define (struct job *job, Sp__JobDefinition *definition)
{
  if (job->definition)
    {
      sp__job_definition__free_unpacked (definition, NULL);
      return;
    }
  job->definition = definition;
  job_create_tasks (job);
}

/* Gives the step that a task belongs to. */
const Sp__JobStep *
task_step (const struct task *task)
{
  return task->job->definition->steps[task->step];
}

/* Finds a task by its numbers. Gives NULL if the job has none such. */
struct task *
job_task (const struct job *job, uint32_t occurrence, uint32_t step, uint32_t index)
{
  uint32_t at = 0;

  if (!job->definition || occurrence >= job->n_occurrences || step >= job->definition->n_steps ||
      index >= job->definition->steps[step]->n_tasks)
    return NULL;
  for (uint32_t s = 0; s < step; s++)
    at += job->definition->steps[s]->n_tasks;
  return &job->tasks[occurrence * job->tasks_per_occurrence + at + index];
}

/* Replaces a task's checkpoint; an empty text keeps the present one. */
void
task_set_checkpoint (struct task *task, const char *checkpoint)
{
  if (!checkpoint || checkpoint[0] == '\0' || g_strcmp0 (task->checkpoint, checkpoint) == 0)
    return;
  g_free (task->checkpoint);
  task->checkpoint = g_strdup (checkpoint);
}

/* Counts a failed attempt. A leader learns of ends from each endpoint by itself, so that a later
 * attempt's may come first. */
bool
task_add_failure (struct task *task, uint32_t attempt)
{
  for (uint32_t i = 0; i < task->n_failed; i++)
    {
      if (task->failed_attempts[i] == attempt)
        return false;
    }
  task->failed_attempts = g_renew (uint32_t, task->failed_attempts, task->n_failed + 1);
  task->failed_attempts[task->n_failed++] = attempt;
  return true;
}

/* Takes one task's durable progress. Nothing is ever taken back, so that an older record which is
 * read after a newer one does no harm. */
static void
task_merge_progress (struct task *task, const Sp__TaskProgress *progress)
{
  task->done = task->done || progress->done;
  for (size_t i = 0; i < progress->n_failed_attempts; i++)
    task_add_failure (task, progress->failed_attempts[i]);
  if (progress->ended_attempt < task->ended_attempt)
    return;
  task->ended_attempt = progress->ended_attempt;
  task->attempt = MAX (task->attempt, progress->ended_attempt);
  task_set_checkpoint (task, progress->checkpoint);
}

/* Takes a progress record into the job. Gives true if the state that callers are shown changed. */
bool
job_merge_progress (struct job *job, const Sp__JobProgress *progress)
{
  Sp__JobState before = job->state;

  for (size_t i = 0; i < progress->n_tasks; i++)
    {
      if (progress->tasks[i]->task < job->n_tasks)
        task_merge_progress (&job->tasks[progress->tasks[i]->task], progress->tasks[i]);
    }
  if (!job_state_is_final (job->state) && progress->state > job->state)
    job->state = progress->state;
  return job->state != before;
}

/* Gives a task's name on the endpoints: job, occurrence, step and index. Free with g_free. */
char *
task_name (const struct task *task)
{
  return g_strdup_printf ("%s.%u.%u.%u", task->job->id, task->occurrence, task->step, task->index);
}

/* Tells whether all tasks of a step of an occurrence are done. */
bool
job_step_is_done (const struct job *job, uint32_t occurrence, uint32_t step)
{
  const struct task *first = job_task (job, occurrence, step, 0);

  for (uint32_t i = 0; i < job->definition->steps[step]->n_tasks; i++)
    {
      if (!first[i].done)
        return false;
    }
  return true;
}

/* Gives the estimated length of the longest chain of steps that are not done, in milliseconds. Of a
 * repeated job the first occurrence counts. */
int64_t
job_critical_path_ms (const struct job *job)
{
  const Sp__JobDefinition *definition = job->definition;
  g_autofree int64_t *ends = g_new0 (int64_t, definition->n_steps);
  int64_t longest = 0;

  for (size_t s = 0; s < definition->n_steps; s++)
    {
      const Sp__JobStep *step = definition->steps[s];

      for (size_t i = 0; i < step->n_prerequisites; i++)
        ends[s] = MAX (ends[s], ends[step->prerequisites[i]]);
      if (!job_step_is_done (job, 0, s))
        ends[s] += step->estimate_ms;
      longest = MAX (longest, ends[s]);
    }
  return longest;
}
