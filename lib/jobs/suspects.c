#include "scheduler_state.h"

/* Tasks that may crash the endpoints that start them. After a crash, each task whose start the
 * endpoint is not known to have outlived is a suspect. A suspect is started on trial: on an
 * endpoint that runs nothing else whose start could cause another crash, so that a second crash
 * shows which job causes them (crashes.c). Crashes are durable before the next start, and a trial
 * is recorded before its own, so that a successor counts no less. */

enum
{
  /* Number of crashes at which a job is given up whatever the trials showed. After three crashes a
   * task may be started twice more. */
  CRASHES_MAX = 4,
  /* Number of crashes, with losses that may be crashes, at which a task waits until the machine
   * list shows what became of the endpoints. */
  CRASHES_UNRESOLVED_MAX = 3,
  /* A suspect that has waited this long for an endpoint that runs none but former suspects is tried
   * beside tasks that have outlived their own start. */
  TRIAL_ALONE_MS = 1000,
  /* How long an endpoint on which a trial is prepared is kept from trials of other jobs. */
  TRIAL_PREPARED_MS = 100,
};

/* Makes a task a suspect. */
static void
task_suspect (struct scheduler *scheduler, struct task *task, const char *why)
{
  if (!task->suspect)
    scheduler_log (scheduler,
                   "task suspected of crashing endpoints: task=%s.%u.%u.%u reason=\"%s\"",
                   task->job->id, task->occurrence, task->step, task->index, why);
  task->suspect = true;
}

/* Gives up the job of a task that crashes endpoints. */
void
task_give_up (struct scheduler *scheduler, struct task *task, const char *why)
{
  if (job_is_over (task->job))
    return;
  scheduler->counts.jobs_given_up++;
  scheduler_log (scheduler, "job given up: job=%s task=%s.%u.%u.%u crashes=%u reason=\"%s\"",
                 task->job->id, task->job->id, task->occurrence, task->step, task->index,
                 task->n_crashed, why);
  job_fail (scheduler, task->job);
}

/* Counts the crash of an endpoint for a task that may have caused it with its start. started says
 * whether the attempt is known to have been started there. */
static void
task_count_crash (struct scheduler *scheduler, struct task *task, uint32_t attempt, bool started)
{
  if (attempt == task->trial_attempt)
    task->trial_is_inherited = false;
  if (job_is_over (task->job) || task->done ||
      !(started ? task_add_crash (task, attempt) : task_add_possible_crash (task, attempt)))
    return;
  scheduler->counts.crashes_counted++;
  scheduler_set_caution (scheduler, task->job);
  job_mark_dirty (scheduler, task->job);
  scheduler_log (scheduler,
                 "crash counted: task=%s.%u.%u.%u attempt=%u crashes=%u possible=%u trial=%d",
                 task->job->id, task->occurrence, task->step, task->index, attempt, task->n_crashed,
                 task->n_possibly_crashed, task->on_trial);
  task_suspect (scheduler, task, "its endpoint crashed after the start");
  if (task->n_crashed >= CRASHES_PROVEN &&
      task->n_crashed + task->n_possibly_crashed >= CRASHES_MAX)
    task_give_up (scheduler, task, "limit of crashes");
}

/* Records that the endpoint of a task's attempt was silent until its lease had expired: whether it
 * crashed is not known yet. */
static void
task_add_unresolved_loss (struct scheduler *scheduler, struct task *task)
{
  struct unresolved_loss *loss = g_new0 (struct unresolved_loss, 1);

  loss->endpoint = g_strdup (task->endpoint->id);
  loss->task = task_name (task);
  loss->attempt = task->attempt;
  loss->lost_ms = scheduler->now_ms;
  loss->started = task->started_clock_ms >= 0 || task->on_trial;
  TAILQ_INSERT_TAIL (&scheduler->unresolved_losses, loss, link);
  task->n_unresolved++;
}

/* Removes a loss and frees it. */
static void
scheduler_remove_loss (struct scheduler *scheduler, struct unresolved_loss *loss)
{
  struct task *task = scheduler_find_task (scheduler, loss->task);

  if (task && task->n_unresolved > 0)
    task->n_unresolved--;
  TAILQ_REMOVE (&scheduler->unresolved_losses, loss, link);
  g_free (loss->endpoint);
  g_free (loss->task);
  g_free (loss);
}

/* Counts the loss of a task's current attempt, whose start its endpoint is not known to have
 * outlived. */
void
task_count_loss (struct scheduler *scheduler, struct task *task, enum endpoint_end end)
{
  if (job_is_over (task->job) || task->done || task_loss_is_explained (task))
    return;
  /* The crash shows that an attempt on trial was started, though its start got no response. */
  if (end == ENDPOINT_END_CRASH)
    {
      task_count_crash (scheduler, task, task->attempt,
                        task->started_clock_ms >= 0 || task->on_trial);
      return;
    }
  if (end == ENDPOINT_END_UNKNOWN && endpoint_unplanned_end (task->endpoint) == ENDPOINT_END_CRASH)
    task_add_unresolved_loss (scheduler, task);
  if (end != ENDPOINT_END_PLANNED || !task->endpoint->cordoned)
    task_suspect (scheduler, task, "its endpoint was lost after the start");
}

/* Counts the losses that a machine list, requested at sent_ms, shows as crashes: no host runs the
 * endpoint any longer. An endpoint that a host runs was only silent. */
void
scheduler_resolve_losses (struct scheduler *scheduler, int64_t sent_ms)
{
  struct unresolved_loss *loss = TAILQ_FIRST (&scheduler->unresolved_losses);

  while (loss)
    {
      struct unresolved_loss *next = TAILQ_NEXT (loss, link);
      struct task *task = scheduler_find_task (scheduler, loss->task);

      if (loss->lost_ms < sent_ms)
        {
          if (task && task->job->scheduled &&
              !scheduler_endpoint_has_host (scheduler, loss->endpoint))
            task_count_crash (scheduler, task, loss->attempt, loss->started);
          scheduler_remove_loss (scheduler, loss);
        }
      loss = next;
    }
}

/* Records that a task's attempt on trial, if there is one, ended or did not start, without a crash
 * of its endpoint. */
void
task_end_trial (struct scheduler *scheduler, struct task *task)
{
  task->trial_is_inherited = false;
  if (task->trial_ended_attempt >= task->trial_attempt ||
      task_has_crashed (task, task->trial_attempt))
    return;
  task->trial_ended_attempt = task->trial_attempt;
  job_mark_dirty (scheduler, task->job);
}

/* Records that an endpoint has outlived the start of a task's current attempt: the task doesn't
 * crash its endpoints. */
void
task_end_suspicion (struct scheduler *scheduler, struct task *task)
{
  bool was_on_trial = task->on_trial;

  if (!task->suspect && task->n_crashed + task->n_possibly_crashed == 0 && !was_on_trial)
    return;
  if (task->n_crashed + task->n_possibly_crashed > 0)
    {
      task_set_survived (task, task->attempt);
      job_mark_dirty (scheduler, task->job);
    }
  task_end_trial (scheduler, task);
  task->suspect = false;
  if (was_on_trial && task->endpoint)
    {
      scheduler->counts.trials_survived++;
      task->endpoint->n_trials--;
      scheduler_pool (scheduler, task->job->definition->pool)->changed = true;
    }
  task->on_trial = false;
  scheduler_log (scheduler, "suspicion ended: task=%s.%u.%u.%u attempt=%u trial=%d", task->job->id,
                 task->occurrence, task->step, task->index, task->attempt, was_on_trial);
}

/* Finds out whether the endpoint crashed on which an earlier leader had a task on trial: it has
 * another incarnation or no host runs it any more. The attempt itself was adopted if it runs.
 * Returns false while that isn't known, until all leases of earlier leaders have ended. */
static bool
task_resolve_inherited_trial (struct scheduler *scheduler, struct task *task)
{
  const struct endpoint *endpoint =
      g_hash_table_lookup (scheduler->endpoints, task->trial_endpoint);
  bool is_hosted = scheduler_endpoint_has_host (scheduler, task->trial_endpoint);
  bool unknown =
      !scheduler->hosts_loaded || (is_hosted && (!endpoint || !endpoint->fence_accepted));

  if (unknown && !scheduler_earlier_leases_ended (scheduler, scheduler->now_ms))
    return false;
  if (unknown || (is_hosted && endpoint->born_ms == task->trial_born_ms) ||
      (endpoint && endpoint_unplanned_end (endpoint) != ENDPOINT_END_CRASH))
    task_end_trial (scheduler, task);
  else
    task_count_crash (scheduler, task, task->trial_attempt, true);
  return true;
}

/* Returns whether a suspect that is ready may be tried now: what became of an earlier leader's
 * trial is known, and few enough losses wait for the machine list. */
bool
task_may_be_tried (struct scheduler *scheduler, struct task *task)
{
  if (task->trial_is_inherited && !task_resolve_inherited_trial (scheduler, task))
    return false;
  return task->n_unresolved == 0 || task->n_crashed + task->n_unresolved < CRASHES_UNRESOLVED_MAX;
}

/* Returns whether a trial on an endpoint is prepared. */
static bool
task_trial_is_prepared (const struct task *task, const struct endpoint *endpoint)
{
  return task->trial_attempt == task->highest_attempt + 1 &&
         task->trial_ended_attempt < task->trial_attempt &&
         g_strcmp0 (task->trial_endpoint, endpoint->id) == 0 &&
         task->trial_born_ms == endpoint->born_ms;
}

/* Returns the endpoint on which a task's trial is prepared, or NULL. */
struct endpoint *
task_trial_endpoint (const struct scheduler *scheduler, const struct task *task)
{
  struct endpoint *endpoint = task->trial_endpoint
                                  ? g_hash_table_lookup (scheduler->endpoints, task->trial_endpoint)
                                  : NULL;

  return endpoint && task_trial_is_prepared (task, endpoint) ? endpoint : NULL;
}

/* Prepares a trial: records the attempt and its endpoint before the attempt is started, so that a
 * successor counts the crash if this leader doesn't. Returns whether the record is durable, so that
 * the attempt may be started. */
bool
task_prepare_trial (struct scheduler *scheduler, struct task *task, struct endpoint *endpoint)
{
  if (scheduler->flushes_durable < task->trial_flush)
    return false;
  if (task_trial_is_prepared (task, endpoint))
    return true;

  endpoint->trial_job = task->job;
  endpoint->trial_prepared_until_ms = scheduler->now_ms + TRIAL_PREPARED_MS;
  task->highest_attempt = MAX (task->highest_attempt, task->trial_attempt);
  task_set_trial (task, task->highest_attempt + 1, endpoint->id, endpoint->born_ms);
  task->trial_flush = scheduler->flushes_begun + 1;
  job_mark_dirty (scheduler, task->job);
  return false;
}

/* Makes the pools with suspects be placed again, as what these wait for may be durable. */
void
scheduler_wake_suspects (struct scheduler *scheduler)
{
  struct pool *pool;

  TAILQ_FOREACH (pool, &scheduler->pools, link)
    pool->changed = pool->changed || scheduler->now_ms < pool->cautious_until_ms;
}

/* Returns whether all tasks on an endpoint have outlived their start, so that a crash can only have
 * its cause in a task that is started next. */
static bool
endpoint_tasks_have_survived (const struct endpoint *endpoint)
{
  const struct task *task;

  TAILQ_FOREACH (task, &endpoint->tasks, endpoint_link)
    {
      if (!task->start_survived)
        return false;
    }
  return true;
}

/* Returns whether all tasks on an endpoint have outlived their start as suspects. */
static bool
endpoint_has_only_former_suspects (const struct endpoint *endpoint)
{
  const struct task *task;

  TAILQ_FOREACH (task, &endpoint->tasks, endpoint_link)
    {
      if (!task->started_as_suspect)
        return false;
    }
  return true;
}

/* Returns whether a job has all trials on an endpoint. */
static bool
endpoint_tries_only_job (const struct endpoint *endpoint, const struct job *job)
{
  const struct task *task;

  TAILQ_FOREACH (task, &endpoint->tasks, endpoint_link)
    {
      if (task->on_trial && task->job != job)
        return false;
    }
  return true;
}

/* Returns whether a suspect may be on trial on an endpoint: together with others of its job, or
 * beside tasks that have outlived their start. These must be former suspects, unless the task has
 * waited for a while. */
bool
endpoint_accepts_trial (const struct scheduler *scheduler, const struct pool *pool,
                        const struct endpoint *endpoint, const struct task *task)
{
  if (endpoint->n_trials > 0)
    return endpoint_tries_only_job (endpoint, task->job);
  if (scheduler->now_ms < endpoint->trial_prepared_until_ms)
    return endpoint->trial_job == task->job && endpoint_tasks_have_survived (endpoint);
  if (!endpoint_tasks_have_survived (endpoint))
    return false;
  return pool->trial_allowed && (endpoint_has_only_former_suspects (endpoint) ||
                                 scheduler->now_ms - task->phase_since_ms >= TRIAL_ALONE_MS);
}

/* Frees what is known of losses when the leadership ends. */
void
scheduler_clear_losses (struct scheduler *scheduler)
{
  while (!TAILQ_EMPTY (&scheduler->unresolved_losses))
    scheduler_remove_loss (scheduler, TAILQ_FIRST (&scheduler->unresolved_losses));
}
