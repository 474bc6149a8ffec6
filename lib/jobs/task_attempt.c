#include "scheduler_state.h"

#include <string.h>

/* Attempts of tasks: started, confirmed, stopped, completed. */

enum
{
  /* How often a start is sent, counting the first time, before the attempt is invalidated. */
  START_SENDS_MAX = 3,
  START_RETRY_MS = 100,
  UNHEALTHY_RETRY_MS = 500,
  STOP_RETRY_MS = 250,
  /* Number of failures of a stop after which the endpoint's fence is raised. */
  STOPS_FAILED_MAX = 3,
  PERCENT_AVAILABLE = 100,
  /* Time for the last commands of a former leader to arrive. */
  TAKEOVER_STOP_MARGIN_MS = 700,
  /* Number of jobs in a row with failed tasks after which an endpoint is avoided. */
  FAILED_JOBS_MAX = 2,
  /* How long such an endpoint gets no tasks, and one of which several starts in a row got no
   * response. */
  FAILING_ENDPOINT_AVOID_MS = 3000,
  STARTS_INVALIDATED_MAX = 2,
  /* How long an endpoint gets no tasks after a start without a response, and after it rejected a
   * start because it is unhealthy, is another incarnation or could not parse it. */
  UNHEALTHY_AVOID_MS = 1000,
  /* The same after it rejected a start for another reason. */
  REJECTED_AVOID_MS = 200,
  /* Longest time for which a start without a response may still be carried out. */
  START_LATE_MAX_MS = 12000,
};

/* Changes a task's phase and updates the counts of its job. */
void
task_set_phase (struct scheduler *scheduler, struct task *task, enum task_phase phase)
{
  struct job *job = task->job;

  if (phase == TASK_STOPPING)
    {
      task->stops_failed = 0;
      task->fence_raised_ms = 0;
    }
  task_count_unconfirmed (task, phase);
  job->n_ready -= task->phase == TASK_READY;
  job->n_active -=
      task->phase == TASK_STARTING || task->phase == TASK_RUNNING || task->phase == TASK_STOPPING;
  job->n_remaining -= phase == TASK_DONE && task->phase != TASK_DONE;
  task->phase = phase;
  task->phase_since_ms = scheduler->now_ms;
  job->n_ready += phase == TASK_READY;
  job->n_active += phase == TASK_STARTING || phase == TASK_RUNNING || phase == TASK_STOPPING;
  scheduler_pool (scheduler, job->definition->pool)->changed = true;
}

/* Returns whether a long-running task is available: it runs, its endpoint responds and has reported
 * its full progress. */
bool
task_is_available (const struct task *task)
{
  return task->phase == TASK_RUNNING && task->endpoint->unresponsive_since_ms == 0 &&
         task->progress_percent >= PERCENT_AVAILABLE;
}

/* Returns whether a task may be stopped without exceeding its step's limit of unavailable tasks.
 * Tasks that are unavailable for any other reason count too. */
bool
task_may_be_stopped (const struct scheduler *scheduler, const struct task *task)
{
  const struct task *first = job_task (task->job, task->occurrence, task->step, 0);
  const Sp__JobStep *step = task_step (task);
  unsigned unavailable = 1;

  if (step->away_limit == 0)
    return true;
  /* Endpoints report a task that a former leader has stopped as running until it ends. */
  if (scheduler->now_ms - scheduler->leading_since_ms <
      scheduler->config.stop_ms + TAKEOVER_STOP_MARGIN_MS)
    return false;
  for (uint32_t i = 0; i < step->n_tasks; i++)
    unavailable += &first[i] != task && !task_is_available (&first[i]);
  return unavailable <= step->away_limit;
}

static void
task_send_start (struct scheduler *scheduler, struct task *task)
{
  struct endpoint *endpoint = task->endpoint;

  task->command_in_flight = true;
  task->job->n_commands++;
  endpoint->calls++;
  scheduler->counts.starts++;
  scheduler->ops.start (scheduler->ops.ctx, endpoint, task,
                        endpoint_extend_lease (scheduler, endpoint));
}

static void
task_send_stop (struct scheduler *scheduler, struct task *task)
{
  g_autofree char *name = task_name (task);

  /* A task that is being stopped has an endpoint. */
  g_assert (task->endpoint);
  task->command_in_flight = true;
  task->job->n_commands++;
  task->endpoint->calls++;
  scheduler->counts.stops++;
  scheduler->ops.stop (scheduler->ops.ctx, task->endpoint, name, task->attempt, task);
}

/* Starts a ready task on an endpoint. attempt must be higher than any number that may have been
 * sent for the task. */
void
task_start (struct scheduler *scheduler, struct task *task, struct endpoint *endpoint,
            uint32_t attempt)
{
  struct job *job = task->job;

  task->attempt = attempt;
  task->highest_attempt = attempt;
  task->starts_unanswered = 0;
  task->fence_raised_ms = 0;
  task->start_late_until_ms = 0;
  task->start_sent_ms = scheduler->now_ms;
  task->confirmed_start_ms = 0;
  task->started_clock_ms = -1;
  task->start_survived = false;
  task->started_as_suspect = task->suspect;
  task->endpoint_restarted = false;
  task->command_in_flight = false;
  task->next_command_ms = 0;
  task->progress_percent = -1;
  task->progress_ms = scheduler->now_ms;
  task->pace_percent = 100;
  task->pace_acknowledged_percent = 100;
  task->load = 0;
  endpoint_add_task (endpoint, task);
  task_set_phase (scheduler, task, TASK_STARTING);
  if (job->next_state == SP__JOB_STATE__JOB_QUEUED)
    {
      scheduler_verify_forecast (scheduler, job);
      job->next_state = SP__JOB_STATE__JOB_RUNNING;
      job_mark_dirty (scheduler, job);
    }
  task_send_start (scheduler, task);
}

/* Adopts an attempt that an endpoint reports and that this leader did not start. */
void
task_adopt (struct scheduler *scheduler, struct task *task, struct endpoint *endpoint,
            const struct endpoint_attempt *running, int64_t sent_ms)
{
  task->attempt = running->attempt;
  task->highest_attempt = MAX (task->highest_attempt, running->attempt);
  task->starts_unanswered = 0;
  task->start_late_until_ms = 0;
  task->start_sent_ms = scheduler->now_ms;
  task->confirmed_start_ms = 0;
  task->started_clock_ms = -1;
  task->start_survived = false;
  task->command_in_flight = false;
  task->progress_ms = scheduler->now_ms;
  task->progress_percent = -1;
  task->on_trial = false;
  task->started_as_suspect = false;
  task->endpoint_restarted = false;
  task->pace_percent = 100;
  /* The pace that an earlier leader commanded is unknown. */
  task->pace_acknowledged_percent = task_step (task)->fills ? -1 : 100;
  endpoint_add_task (endpoint, task);
  task_set_phase (scheduler, task, TASK_RUNNING);
  task->confirmed_ms = sent_ms;
  if (task->job->next_state == SP__JOB_STATE__JOB_QUEUED)
    {
      task->job->next_state = SP__JOB_STATE__JOB_RUNNING;
      job_mark_dirty (scheduler, task->job);
    }
}

/* Begins to stop a task's attempt, with the next stop that is sent. */
static void
task_begin_stop (struct scheduler *scheduler, struct task *task, const char *why)
{
  scheduler_log (scheduler,
                 "stopping attempt: task=%s.%u.%u.%u attempt=%u endpoint=%s reason=\"%s\"",
                 task->job->id, task->occurrence, task->step, task->index, task->attempt,
                 task->endpoint->id, why);
  task_set_phase (scheduler, task, TASK_STOPPING);
  task->confirmed_ms = 0;
}

/* Stops a task's attempt if it runs or may run; a ready task is blocked. */
void
task_stop (struct scheduler *scheduler, struct task *task, const char *why)
{
  if (task->phase == TASK_READY)
    task_set_phase (scheduler, task, TASK_BLOCKED);
  if (task->phase != TASK_STARTING && task->phase != TASK_RUNNING)
    return;
  task_begin_stop (scheduler, task, why);
  task->next_command_ms = scheduler->now_ms;
  task_send_commands (scheduler, task);
}

/* Releases a task from its endpoint once its attempt no longer runs. The task becomes ready again
 * unless it is done, its job is over or its step depends on steps that are not done. */
void
task_release (struct scheduler *scheduler, struct task *task)
{
  struct endpoint *endpoint = task->endpoint;

  endpoint_remove_task (task, scheduler->now_ms);
  if (task->on_trial && task->n_unresolved == 0)
    task_end_trial (scheduler, task);
  scheduler_pool (scheduler, endpoint->pool)->changed = true;
  if (task->done)
    {
      task_set_phase (scheduler, task, TASK_DONE);
      job_advance (scheduler, task->job);
    }
  else if (job_is_over (task->job) ||
           !step_dependencies_are_done (task->job, task->occurrence, task->step))
    task_set_phase (scheduler, task, TASK_BLOCKED);
  else
    task_set_phase (scheduler, task, TASK_READY);
}

/* Fails a job and stops its tasks. */
void
job_fail (struct scheduler *scheduler, struct job *job)
{
  if (job_is_over (job))
    return;
  job->next_state = SP__JOB_STATE__JOB_FAILED;
  job_mark_dirty (scheduler, job);
  for (uint32_t i = 0; i < job->n_tasks; i++)
    task_stop (scheduler, &job->tasks[i], "job failed");
}

/* Records a failure and avoids the endpoint for a while when tasks of several jobs in a row have
 * failed there. Failures of a single job may be its own fault; its tasks are tried on another
 * endpoint. */
static void
endpoint_record_failure (struct scheduler *scheduler, struct endpoint *endpoint, struct task *task)
{
  task->failed_endpoint = endpoint;
  task->failed_ms = scheduler->now_ms;
  if (task_step (task)->long_running || endpoint->last_failed_job == task->job)
    return;
  endpoint->last_failed_job = task->job;
  endpoint->failed_jobs++;
  if (endpoint->failed_jobs < FAILED_JOBS_MAX)
    return;
  endpoint->avoid_until_ms = scheduler->now_ms + FAILING_ENDPOINT_AVOID_MS;
  endpoint->last_failed_job = NULL;
  scheduler_log (
      scheduler,
      "endpoint avoided after failures of several jobs: endpoint=%s failed_jobs=%u for_ms=%d",
      endpoint->id, endpoint->failed_jobs, FAILING_ENDPOINT_AVOID_MS);
}

/* Marks a task as done; for a gang, one completed member completes all. Long-running tasks are
 * never done. */
static void
task_mark_done (struct scheduler *scheduler, struct task *task)
{
  const Sp__JobStep *step = task_step (task);
  struct task *first = job_task (task->job, task->occurrence, task->step, 0);

  if (step->long_running)
    return;
  if (!step->gang)
    {
      task->done = true;
      return;
    }
  for (uint32_t i = 0; i < step->n_tasks; i++)
    {
      first[i].done = true;
      if (!first[i].endpoint && first[i].phase != TASK_DONE)
        task_set_phase (scheduler, &first[i], TASK_DONE);
    }
}

/* Returns the name of an outcome as shown in the log. */
static const char *
attempt_outcome_name (enum attempt_outcome outcome)
{
  static const char *const names[] = { "done", "failed", "stopped", "lapsed", "broken", "alone" };

  return names[outcome];
}

/* Counts a failed attempt once against the limit of its job, and fails the job when the limit is
 * reached. Long-running tasks have no limit. */
static void
task_record_failure (struct scheduler *scheduler, struct endpoint *endpoint, struct task *task,
                     uint32_t attempt, bool newest)
{
  uint32_t limit = task->job->definition->max_attempts;

  if (task_step (task)->long_running)
    {
      if (newest)
        endpoint_record_failure (scheduler, endpoint, task);
      return;
    }
  if (!task_add_failure (task, attempt))
    return;
  endpoint_record_failure (scheduler, endpoint, task);
  job_mark_dirty (scheduler, task->job);
  if (limit == 0 || task->n_failed < limit || job_is_over (task->job))
    return;
  scheduler_log (scheduler, "job failed: job=%s max_attempts=%u", task->job->id, limit);
  job_fail (scheduler, task->job);
}

/* Adds the duration of a step of several tasks whose last one ends now: that of its longest task.
 * Tasks that were done earlier have been in their phase since. */
static void
step_learn_duration (struct scheduler *scheduler, const struct task *last)
{
  const Sp__JobStep *step = task_step (last);
  const struct task *first = job_task (last->job, last->occurrence, last->step, 0);
  int64_t longest_ms = scheduler->now_ms - last->confirmed_start_ms;

  for (uint32_t i = 0; i < step->n_tasks; i++)
    {
      const struct task *task = &first[i];

      if (task == last)
        continue;
      if (task->phase != TASK_DONE || task->confirmed_start_ms == 0)
        return;
      longest_ms = MAX (longest_ms, task->phase_since_ms - task->confirmed_start_ms);
    }
  duration_model_add_step (scheduler->durations, last->job->definition->queue, step->estimate_ms,
                           step->n_tasks, longest_ms);
}

/* Adds the duration of a task that is done, if the start of the completed attempt is known. */
static void
task_learn_duration (struct scheduler *scheduler, const struct endpoint *endpoint,
                     const struct task *task, uint32_t attempt)
{
  const Sp__JobStep *step = task_step (task);

  if (!scheduler->config.learned_durations && !scheduler->config.load_admission)
    return;
  if (step->long_running || task->endpoint != endpoint || task->attempt != attempt ||
      task->confirmed_start_ms == 0)
    return;
  duration_model_add (scheduler->durations, task->job->definition->queue, step->estimate_ms,
                      scheduler->now_ms - task->confirmed_start_ms);
  if (step->n_tasks > 1)
    step_learn_duration (scheduler, task);
}

/* Updates a task and its job for a completed attempt. */
static void
task_record_completion (struct scheduler *scheduler, struct endpoint *endpoint, struct task *task,
                        const struct endpoint_completion *completion)
{
  bool newest = completion->attempt > task->ended_attempt;

  if (newest)
    {
      task->ended_attempt = completion->attempt;
      task->attempt = MAX (task->attempt, completion->attempt);
      task->highest_attempt = MAX (task->highest_attempt, completion->attempt);
      task_set_checkpoint (task, completion->checkpoint);
      job_mark_dirty (scheduler, task->job);
    }
  if (completion->outcome == ATTEMPT_DONE || completion->outcome == ATTEMPT_FAILED)
    task_end_suspicion (scheduler, task);
  if (completion->outcome == ATTEMPT_DONE && !task->done)
    {
      if (completion->attempt == task->attempt)
        task_note_duration (scheduler, task, endpoint);
      task_learn_duration (scheduler, endpoint, task, completion->attempt);
      task_mark_done (scheduler, task);
      endpoint->failed_jobs = 0;
      endpoint->last_failed_job = NULL;
      job_mark_dirty (scheduler, task->job);
    }
  if (completion->outcome == ATTEMPT_FAILED)
    task_record_failure (scheduler, endpoint, task, completion->attempt, newest);
}

/* Handles a completion that an endpoint reports. Endpoints report each completion until it is
 * acknowledged, and again to each new leader. One that was already handled changes nothing. One of
 * an earlier attempt still counts, as each endpoint reports separately. */
void
task_handle_completion (struct scheduler *scheduler, struct endpoint *endpoint,
                        const struct endpoint_completion *completion)
{
  struct task *task = scheduler_find_task (scheduler, completion->task);
  struct job *job;

  if (!task || !task->job->scheduled)
    return;
  job = task->job;
  scheduler->counts.completions[completion->outcome]++;
  scheduler_log (scheduler,
                 "attempt ended: task=%s attempt=%u endpoint=%s how=%s number=%" G_GUINT64_FORMAT,
                 completion->task, completion->attempt, endpoint->id,
                 attempt_outcome_name (completion->outcome), completion->number);
  task_record_completion (scheduler, endpoint, task, completion);
  if (task->other_endpoint == endpoint)
    task->other_attempt_until_ms = 0;
  if (task->endpoint == endpoint && task->attempt <= completion->attempt)
    task_release (scheduler, task);
  else if (task->done && task->endpoint)
    task_stop (scheduler, task, "another attempt completed the task");
  else if (task->done && task->phase != TASK_DONE)
    task_set_phase (scheduler, task, TASK_DONE);
  if (task->done)
    job_advance (scheduler, job);
}

/* Records that a start is invalidated because none of its sends got a response. An endpoint that
 * sends reports all the same fails its starts, and is avoided for a while; the task is tried on
 * another endpoint. */
static void
endpoint_record_invalidated_start (struct scheduler *scheduler, struct endpoint *endpoint,
                                   struct task *task)
{
  int64_t avoid_ms;

  if (endpoint->unresponsive_since_ms > 0)
    return;
  task->failed_endpoint = endpoint;
  task->failed_ms = scheduler->now_ms;
  endpoint->starts_invalidated++;
  avoid_ms = endpoint->starts_invalidated < STARTS_INVALIDATED_MAX ? UNHEALTHY_AVOID_MS
                                                                   : FAILING_ENDPOINT_AVOID_MS;
  endpoint->avoid_until_ms = MAX (endpoint->avoid_until_ms, scheduler->now_ms + avoid_ms);
  scheduler_log (scheduler,
                 "endpoint avoided after starts without a response: endpoint=%s starts=%u "
                 "for_ms=%" G_GINT64_FORMAT,
                 endpoint->id, endpoint->starts_invalidated, avoid_ms);
}

/* Returns whether few tasks of a task's step may be unavailable at once, and its job goes on. */
static bool
task_is_limited (const struct task *task)
{
  return task_step (task)->away_limit > 0 && !job_is_over (task->job);
}

/* Raises the fence of a task's endpoint, so that its attempt is not started any more unless it has
 * been by now. Unlike a stop this ends nothing that runs. The next report shows which it is. */
static void
task_raise_fence (struct scheduler *scheduler, struct task *task, const char *why)
{
  endpoint_raise_fence (scheduler, task->endpoint);
  task->fence_raised_ms = scheduler->now_ms;
  task->endpoint->next_heartbeat_ms = scheduler->now_ms;
  scheduler_log (scheduler, "fence raised: task=%s.%u.%u.%u attempt=%u endpoint=%s reason=\"%s\"",
                 task->job->id, task->occurrence, task->step, task->index, task->attempt,
                 task->endpoint->id, why);
}

/* Invalidates a start by a higher fence, once. It is not sent again. */
void
task_invalidate_start (struct scheduler *scheduler, struct task *task, const char *why)
{
  if (task->fence_raised_ms > 0)
    return;
  task->starts_unanswered = START_SENDS_MAX;
  task_raise_fence (scheduler, task, why);
}

/* Ends a start whose endpoint has another incarnation, which gets a higher fence with its first
 * heartbeat: it is not sent again, and the next report shows whether it was carried out. */
void
task_end_start (const struct scheduler *scheduler, struct task *task)
{
  if (task->phase == TASK_STARTING)
    task->fence_raised_ms = scheduler->now_ms;
}

/* Returns whether a start without a response may be sent again. It is not when a higher fence has
 * invalidated it, or the endpoint's capacity has shrunk below what was placed there. */
static bool
task_start_may_be_repeated (const struct task *task)
{
  return task->starts_unanswered < START_SENDS_MAX && task->fence_raised_ms == 0 &&
         !endpoint_is_over_capacity (task->endpoint);
}

/* Continues a start without a response: sends it again, or invalidates it by a stop, after which it
 * can't be carried out any more. It may be carried out at any time until then, also after a report
 * that doesn't list it, so that a stop may end a task at work: one of a limited step is invalidated
 * by a higher fence. A new incarnation is not sent the starts that were meant for the former one
 * (task_end_start). */
static void
task_continue_start (struct scheduler *scheduler, struct task *task)
{
  bool may_be_repeated = task_start_may_be_repeated (task);

  if (may_be_repeated && !scheduler_may_start_tasks (scheduler))
    return;
  if (may_be_repeated)
    {
      if (task->endpoint->fence_accepted)
        task_send_start (scheduler, task);
      return;
    }
  if (task->fence_raised_ms > 0)
    return;
  endpoint_record_invalidated_start (scheduler, task->endpoint, task);
  if (task_is_limited (task))
    {
      task_invalidate_start (scheduler, task, "start without a response");
      return;
    }
  task_begin_stop (scheduler, task, "start without a response");
}

/* Returns whether a stop may be sent now. It is sent for the first time when it is decided. Before
 * it is repeated, others of a limited step may have become unavailable; the task, which may have
 * been stopped or not, goes on counting as unavailable. */
static bool
task_stop_may_be_sent (const struct scheduler *scheduler, const struct task *task)
{
  return task->stops_failed == 0 || !task_is_limited (task) ||
         task_may_be_stopped (scheduler, task);
}

/* Sends a task's command again if it is due: a start without a response, or a stop. An endpoint
 * that has ended gets none: another start would only extend the lease. */
void
task_send_commands (struct scheduler *scheduler, struct task *task)
{
  if (task->command_in_flight || scheduler->now_ms < task->next_command_ms ||
      (task->endpoint && task->endpoint->gone))
    return;
  if (task->phase == TASK_STARTING)
    task_continue_start (scheduler, task);
  if (task->phase == TASK_STOPPING && task->confirmed_ms == 0 &&
      task_stop_may_be_sent (scheduler, task))
    task_send_stop (scheduler, task);
}

/* Handles a start that was certainly not carried out: the task becomes ready again. */
static void
task_start_rejected (struct scheduler *scheduler, struct task *task, enum command_result result,
                     int64_t avoid_ms)
{
  scheduler->counts.starts_failed++;
  scheduler_log (scheduler, "start rejected: task=%s.%u.%u.%u attempt=%u endpoint=%s result=%d",
                 task->job->id, task->occurrence, task->step, task->index, task->attempt,
                 task->endpoint->id, result);
  task->endpoint->avoid_until_ms =
      MAX (task->endpoint->avoid_until_ms, scheduler->now_ms + avoid_ms);
  task->endpoint->next_heartbeat_ms = scheduler->now_ms;
  /* An earlier send of this start got no response and may have been carried out or may be later. An
   * endpoint that is unhealthy for a moment would reject a stop as well; when it is well again, it
   * confirms or reports what runs. */
  if (task->starts_unanswered > 0 && result == COMMAND_UNHEALTHY)
    {
      task->starts_unanswered++;
      task->next_command_ms = scheduler->now_ms + UNHEALTHY_RETRY_MS;
      return;
    }
  if (task->starts_unanswered > 0)
    {
      task->starts_unanswered = START_SENDS_MAX;
      task->next_command_ms = scheduler->now_ms;
      return;
    }
  task_release (scheduler, task);
}

/* Notes the confirmation of a start. One that was sent several times doesn't count for the mean
 * time that a start takes, as it is not known which was carried out, nor when. */
static void
task_note_start_time (struct scheduler *scheduler, struct task *task)
{
  /* The mean is over the last hundred starts or so. */
  const double weight = 0.01;

  if (task->starts_unanswered > 0)
    return;
  task->confirmed_start_ms = scheduler->now_ms;
  scheduler->start_time_ms +=
      weight * ((double) (scheduler->now_ms - task->start_sent_ms) - scheduler->start_time_ms);
}

/* Handles the response to a start; result is not COMMAND_DONE on failure. */
void
scheduler_start_done (struct scheduler *scheduler, struct endpoint *endpoint, struct task *task,
                      uint32_t attempt, uint64_t fence, enum command_result result,
                      int64_t clock_ms, int64_t now_ms)
{
  scheduler->now_ms = now_ms;
  endpoint->calls--;
  task->job->n_commands--;
  if (task->attempt == attempt)
    task->command_in_flight = false;
  /* A lower fence means that the response may be of a former incarnation, with another clock. */
  if (clock_ms > 0 && fence >= endpoint->fence)
    endpoint_set_clock (scheduler, endpoint, clock_ms);
  if (result == COMMAND_UNKNOWN && task->endpoint == endpoint && task->attempt == attempt)
    task->start_late_until_ms = now_ms + START_LATE_MAX_MS;
  if (task->endpoint != endpoint || task->attempt != attempt || task->phase != TASK_STARTING)
    {
      task->next_command_ms = now_ms;
      if (result == COMMAND_FENCED)
        endpoint_command_fenced (scheduler, endpoint, fence,
                                 "start rejected: the endpoint holds a newer fence");
      return;
    }
  switch (result)
    {
    case COMMAND_DONE:
      task_set_phase (scheduler, task, TASK_RUNNING);
      task_note_start_time (scheduler, task);
      task->confirmed_ms = now_ms;
      task->progress_ms = now_ms;
      if (clock_ms > 0 && fence >= endpoint->fence)
        task_note_running (scheduler, task, clock_ms);
      endpoint->unresponsive_since_ms = 0;
      endpoint_set_alive (scheduler, endpoint);
      endpoint->starts_invalidated = 0;
      break;
    case COMMAND_UNKNOWN:
      task->starts_unanswered++;
      scheduler_log (scheduler,
                     "start got no response: task=%s.%u.%u.%u attempt=%u endpoint=%s try=%u",
                     task->job->id, task->occurrence, task->step, task->index, attempt,
                     endpoint->id, task->starts_unanswered);
      task->next_command_ms = now_ms + START_RETRY_MS;
      break;
    case COMMAND_FENCED:
      endpoint_command_fenced (scheduler, endpoint, fence,
                               "start rejected: the endpoint holds a newer fence");
      if (!scheduler->superseded)
        task_start_rejected (scheduler, task, result, REJECTED_AVOID_MS);
      break;
    case COMMAND_STALE_ATTEMPT:
      /* An attempt of the same or a higher number has ended there. This one is released with the
       * endpoint's next report. */
      task_set_phase (scheduler, task, TASK_STOPPING);
      task->confirmed_ms = now_ms;
      endpoint->next_heartbeat_ms = now_ms;
      break;
    case COMMAND_NOT_SENT:
      endpoint_set_unresponsive (scheduler, endpoint);
      task_start_rejected (scheduler, task, result, REJECTED_AVOID_MS);
      break;
    case COMMAND_OTHER_INCARNATION:
    case COMMAND_UNHEALTHY:
    case COMMAND_INVALID:
      task_start_rejected (scheduler, task, result, UNHEALTHY_AVOID_MS);
      break;
    case COMMAND_LEASE_EXPIRED:
    case COMMAND_NO_CAPACITY:
    case COMMAND_NO_TICKET:
      task_start_rejected (scheduler, task, result, REJECTED_AVOID_MS);
      break;
    }
}

/* Handles a stop that failed. An endpoint that fails all stops would keep its task for good. With a
 * higher fence, no start that was sent before can be carried out once the endpoint has accepted it,
 * so that the next report shows whether the attempt will ever run. */
static void
task_stop_failed (struct scheduler *scheduler, struct task *task)
{
  task->next_command_ms = scheduler->now_ms + STOP_RETRY_MS;
  task->stops_failed++;
  if (task->stops_failed != STOPS_FAILED_MAX)
    return;
  task_raise_fence (scheduler, task, "failed stops");
}

/* Handles the response to a stop. After a successful one the endpoint reports the attempt's
 * completion, or the attempt never starts there. */
void
scheduler_stop_done (struct scheduler *scheduler, struct endpoint *endpoint, struct task *known,
                     uint32_t attempt, uint64_t fence, enum command_result result, int64_t now_ms)
{
  scheduler->now_ms = now_ms;
  endpoint->calls--;
  if (known)
    known->job->n_commands--;
  if (result == COMMAND_FENCED)
    endpoint_command_fenced (scheduler, endpoint, fence,
                             "stop rejected: the endpoint holds a newer fence");
  endpoint->next_heartbeat_ms = MIN (endpoint->next_heartbeat_ms, now_ms);
  if (!known || known->attempt != attempt)
    return;
  known->command_in_flight = false;
  if (known->endpoint != endpoint || known->phase != TASK_STOPPING)
    return;
  if (result == COMMAND_DONE || result == COMMAND_STALE_ATTEMPT)
    known->confirmed_ms = now_ms;
  else
    task_stop_failed (scheduler, known);
}
