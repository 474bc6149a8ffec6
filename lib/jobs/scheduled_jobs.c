#include "scheduler_state.h"

#include <string.h>

/* Jobs that the scheduler works on: added, their steps made ready, cancelled, finished and
 * removed. */

enum
{
  /* A job's age is the difference of two hosts' clocks; more than this means that a clock
   * jumped. */
  JOB_AGE_MAX_MS = 30000,
  /* How often repeated jobs are checked for occurrences that are due, and cancelled jobs for active
   * tasks. */
  JOBS_CHECK_INTERVAL_MS = 50,
};

/* Marks the job's progress as to be recorded. */
void
job_mark_dirty (struct scheduler *scheduler, struct job *job)
{
  job->dirty = true;
  g_hash_table_add (scheduler->dirty, job);
}

/* Returns whether a job is finished or cancelled, so that none of its tasks may start. */
bool
job_is_over (const struct job *job)
{
  return job->cancelled || job_state_is_final (job->next_state) || job_state_is_final (job->state);
}

/* Returns whether a job can no longer meet its objective. Long-running jobs are never late. */
bool
job_is_late (const struct job *job, int64_t now_ms)
{
  return !job->definition->steps[0]->long_running &&
         now_ms + job_critical_path_ms (job, 0) > job->due_ms;
}

/* Returns whether all steps that a step depends on are done. */
bool
step_dependencies_are_done (const struct job *job, uint32_t occurrence, uint32_t step)
{
  const Sp__JobStep *definition = job->definition->steps[step];

  for (size_t i = 0; i < definition->n_prerequisites; i++)
    {
      if (!job_step_is_done (job, occurrence, definition->prerequisites[i]))
        return false;
    }
  return true;
}

/* Returns whether an occurrence's start time has come. */
static bool
occurrence_is_due (const struct scheduler *scheduler, const struct job *job, uint32_t occurrence)
{
  const Sp__JobDefinition *definition = job->definition;

  if (definition->repeats == 0)
    return true;
  return scheduler->wall_ms >= job_definition_due_ms (definition, occurrence);
}

/* Makes the tasks of due occurrences ready whose dependencies are done, and completes a job whose
 * tasks are all done. */
void
job_advance (struct scheduler *scheduler, struct job *job)
{
  if (!job->scheduled || job_is_over (job))
    return;
  for (uint32_t k = 0; k < job->n_occurrences; k++)
    {
      if (!occurrence_is_due (scheduler, job, k))
        break;
      for (uint32_t s = 0; s < job->definition->n_steps; s++)
        {
          struct task *task = job_task (job, k, s, 0);
          uint32_t n = job->definition->steps[s]->n_tasks;

          if (!step_dependencies_are_done (job, k, s))
            continue;
          for (uint32_t i = 0; i < n; i++)
            {
              if (task[i].phase == TASK_BLOCKED && !task[i].done)
                task_set_phase (scheduler, &task[i], TASK_READY);
            }
        }
    }
  if (job->n_remaining > 0)
    return;
  job->next_state = SP__JOB_STATE__JOB_COMPLETED;
  job_mark_dirty (scheduler, job);
}

/* Sets the time by which the job's objective requires it to be done. */
static void
job_set_due (const struct scheduler *scheduler, struct job *job)
{
  const Sp__JobDefinition *definition = job->definition;
  int64_t age_ms = CLAMP (scheduler->wall_ms - definition->accepted_ms, 0, JOB_AGE_MAX_MS);

  job->objective_ms = job_definition_objective_ms (definition, job_critical_path_ms (job, 0));
  job->due_ms = scheduler->now_ms - age_ms + job->objective_ms;
}

/* Resets a job's tasks to its durable progress. */
static void
job_reset_tasks (struct job *job)
{
  job->n_ready = 0;
  job->n_active = 0;
  job->n_remaining = 0;
  job->next_state = job->state;
  for (uint32_t i = 0; i < job->n_tasks; i++)
    {
      struct task *task = &job->tasks[i];

      task->endpoint = NULL;
      task->phase = task->done ? TASK_DONE : TASK_BLOCKED;
      task->attempt = task->ended_attempt;
      task->highest_attempt =
          MAX (task->highest_attempt, MAX (task->ended_attempt, task->trial_attempt));
      task->other_attempt_until_ms = 0;
      task->lost_attempt = 0;
      task->trial_is_inherited = task->trial_attempt > task->trial_ended_attempt &&
                                 task->trial_attempt > task->ended_attempt &&
                                 !task_has_crashed (task, task->trial_attempt);
      task->suspect =
          task->n_crashed > 0 || task->n_possibly_crashed > 0 || task->trial_is_inherited;
      task->n_suspect_jobs = 0;
      task->on_trial = false;
      task->n_unresolved = 0;
      task->trial_flush = 0;
      task->confirmed_start_ms = 0;
      task->command_in_flight = false;
      task->pace_in_flight = false;
      task->pace_percent = 100;
      task->pace_acknowledged_percent = 100;
      task->failed_endpoint = NULL;
      job->n_remaining += !task->done;
    }
}

/* Reserves the attempt numbers that earlier leaders may have used. The journal doesn't record
 * starts, so 100,000 are reserved for each epoch since the job was accepted, up to 10,000 epochs. A
 * task that lasts and fails at its start uses more than a hundred in a minute. */
static void
job_reserve_attempts (const struct scheduler *scheduler, struct job *job)
{
  enum
  {
    ATTEMPTS_PER_EPOCH = 100000,
    EPOCHS_MAX = 10000,
  };
  uint64_t epochs = scheduler->config.epoch - MIN (job->definition->epoch, scheduler->config.epoch);
  uint32_t first_free = (uint32_t) MIN (epochs, EPOCHS_MAX) * ATTEMPTS_PER_EPOCH;

  for (uint32_t i = 0; i < job->n_tasks; i++)
    job->tasks[i].highest_attempt = MAX (job->tasks[i].highest_attempt, first_free);
}

/* Returns whether any task of a job has progress. Sets exhausted if a task has failed as often as
 * its queue allows. If this process has led before, the job may hold progress that never became
 * durable. */
static bool
job_has_progress (const struct job *job, bool *exhausted)
{
  uint32_t limit = job->definition->max_attempts;
  bool progress = false;

  *exhausted = false;
  for (uint32_t i = 0; i < job->n_tasks; i++)
    {
      const struct task *task = &job->tasks[i];

      progress = progress || task->done || task->ended_attempt > 0 || task->n_crashed > 0 ||
                 task->n_possibly_crashed > 0 || task->trial_attempt > 0;
      *exhausted = *exhausted || (limit > 0 && task->n_failed >= limit && !task->done &&
                                  !task_step (task)->long_running);
    }
  return progress;
}

/* Gives a job that can't be run its final state. It is not scheduled. */
static void
scheduler_fail_invalid_job (struct scheduler *scheduler, struct job *job)
{
  scheduler_log (scheduler, "job failed, its stored definition can't be run: job=%s reason=\"%s\"",
                 job->id, job->definition_error);
  scheduler->counts.jobs_invalid++;
  job->next_state = job->cancelled ? SP__JOB_STATE__JOB_CANCELLED : SP__JOB_STATE__JOB_FAILED;
  job_mark_dirty (scheduler, job);
}

/* Adds a job to the scheduler, with the state that its durable progress implies. inherited: an
 * earlier leader, or one that has replaced this one, may have started its tasks. */
static void
scheduler_add_job (struct scheduler *scheduler, struct job *job, bool inherited)
{
  struct pool *pool;
  bool exhausted;

  if (job->scheduled || !job->definition || job_state_is_final (job->state))
    return;
  if (job->definition_error)
    {
      scheduler_fail_invalid_job (scheduler, job);
      return;
    }
  job->scheduled = true;
  job->inherited = inherited;
  job->n_commands = 0;
  job_create_tasks (job);
  job_reset_tasks (job);
  if (job->inherited)
    job_reserve_attempts (scheduler, job);
  job_open_account (scheduler, job);
  job->durations = scheduler->config.learned_durations ? scheduler->durations : NULL;
  job_set_due (scheduler, job);
  pool = scheduler_pool (scheduler, job->definition->pool);
  TAILQ_INSERT_TAIL (&pool->jobs, job, pool_link);
  /* A workspace at its cap starts none of them, and needs no hosts for more. */
  if (!job->inherited)
    scheduler_log (scheduler, "job learned: job=%s pool=%s age_ms=%" G_GINT64_FORMAT, job->id,
                   pool->name, scheduler->wall_ms - job->definition->accepted_ms);
  if (!job->inherited && !(job->account && workspace_account_is_full (job->account)))
    demand_add_arrival (&pool->demand, job, HOST_READY_MS, scheduler->now_ms);
  scheduler_forecast_job (scheduler, pool, job);
  scheduler->counts.jobs++;
  if (job_has_progress (job, &exhausted))
    job_mark_dirty (scheduler, job);
  if (exhausted)
    job->next_state = SP__JOB_STATE__JOB_FAILED;
  job_advance (scheduler, job);
  if (job->cancelled)
    scheduler_job_cancelled (scheduler, job, scheduler->now_ms);
}

/* Adds a job whose definition has been read. */
void
scheduler_job_defined (struct scheduler *scheduler, struct job *job, int64_t now_ms,
                       int64_t wall_ms)
{
  scheduler->now_ms = now_ms;
  scheduler->wall_ms = wall_ms;
  scheduler_add_job (scheduler, job, job->offset < scheduler->config.claim_offset);
}

/* Adds all jobs that are known when the leadership begins. */
void
scheduler_add_jobs (struct scheduler *scheduler)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, scheduler->all_jobs->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct job *job = value;

      scheduler_add_job (scheduler, job,
                         job->offset < scheduler->config.claim_offset ||
                             job->offset >= scheduler->config.read_offset);
    }
}

/* Finishes a cancelled job once none of its tasks is active. */
static void
job_finish_cancellation (struct scheduler *scheduler, struct job *job)
{
  if (!job->cancelled || job->n_active > 0 || job_state_is_final (job->next_state))
    return;
  job->next_state = SP__JOB_STATE__JOB_CANCELLED;
  job_mark_dirty (scheduler, job);
}

/* Stops the tasks of a job whose cancellation is durable. */
void
scheduler_job_cancelled (struct scheduler *scheduler, struct job *job, int64_t now_ms)
{
  scheduler->now_ms = now_ms;
  if (!job->scheduled || job_state_is_final (job->next_state))
    return;
  for (uint32_t i = 0; i < job->n_tasks; i++)
    task_stop (scheduler, &job->tasks[i], "cancelled");
  job_finish_cancellation (scheduler, job);
}

/* Removes a job from the scheduler, and reduces it if its final state is durable. No result of a
 * command that refers to its tasks may be reported afterwards. */
void
scheduler_remove_job (struct scheduler *scheduler, struct job *job)
{
  /* Also one that is not scheduled because it can't be run. */
  job->dirty = false;
  g_hash_table_remove (scheduler->dirty, job);
  if (!job->scheduled)
    return;
  for (uint32_t i = 0; i < job->n_tasks; i++)
    {
      if (job->tasks[i].endpoint)
        endpoint_remove_task (&job->tasks[i], scheduler->now_ms);
    }
  job_forget_waits (scheduler, job);
  job->scheduled = false;
  job_close_account (job);
  job->durations = NULL;
  TAILQ_REMOVE (&scheduler_pool (scheduler, job->definition->pool)->jobs, job, pool_link);
  scheduler->counts.jobs--;
  if (job_state_is_final (job->state))
    job_reduce (job);
}

/* Removes a job whose records are deleted. */
void
scheduler_job_removed (struct scheduler *scheduler, struct job *job)
{
  scheduler_remove_job (scheduler, job);
}

/* Reads a dot and a decimal number at *text, and advances it. Returns false if they aren't there or
 * the number is too large. */
static bool
parse_number_after_dot (const char **text, uint32_t *number)
{
  const char *digit = *text + 1;
  uint64_t value = 0;

  if ((*text)[0] != '.' || !g_ascii_isdigit (*digit))
    return false;
  for (; g_ascii_isdigit (*digit) && value <= UINT32_MAX; digit++)
    value = value * 10 + (uint64_t) (*digit - '0');
  *text = digit;
  *number = (uint32_t) value;
  return value <= UINT32_MAX;
}

/* Returns a task by its name on endpoints, or NULL if there is no such job or task. */
struct task *
scheduler_find_task (const struct scheduler *scheduler, const char *name)
{
  char id[64];
  uint32_t numbers[3];
  size_t id_len = strcspn (name, ".");
  const char *rest = name + id_len;
  const struct job *job;

  if (id_len == 0 || id_len >= sizeof id)
    return NULL;
  memcpy (id, name, id_len);
  id[id_len] = '\0';
  for (unsigned i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      if (!parse_number_after_dot (&rest, &numbers[i]))
        return NULL;
    }
  job = rest[0] == '\0' ? job_table_find (scheduler->all_jobs, id) : NULL;
  return job ? job_task (job, numbers[0], numbers[1], numbers[2]) : NULL;
}

/* Starts the occurrences of repeated jobs that are due, and finishes cancelled jobs whose tasks
 * have ended. */
void
scheduler_advance_jobs (struct scheduler *scheduler)
{
  struct pool *pool;
  struct job *job;

  if (scheduler->now_ms < scheduler->next_jobs_check_ms)
    return;
  scheduler->next_jobs_check_ms = scheduler->now_ms + JOBS_CHECK_INTERVAL_MS;
  TAILQ_FOREACH (pool, &scheduler->pools, link)
    {
      TAILQ_FOREACH (job, &pool->jobs, pool_link)
        {
          if (job->definition->repeats > 0)
            job_advance (scheduler, job);
          job_finish_cancellation (scheduler, job);
        }
    }
}

/* Removes the jobs whose final state is durable and that have no active task, no command in
 * progress and, where workspaces have caps, no task that an earlier leader may have running. */
void
scheduler_remove_finished_jobs (struct scheduler *scheduler)
{
  struct pool *pool;

  TAILQ_FOREACH (pool, &scheduler->pools, link)
    {
      struct job *job = TAILQ_FIRST (&pool->jobs);

      while (job)
        {
          struct job *next = TAILQ_NEXT (job, pool_link);

          if (job_state_is_final (job->state) && job->n_active == 0 && job->n_commands == 0 &&
              !job->dirty && !job_counts_unreported (scheduler, job))
            {
              scheduler_remove_job (scheduler, job);
              if (scheduler->ops.job_ended)
                scheduler->ops.job_ended (scheduler->ops.ctx, job);
            }
          job = next;
        }
    }
}
