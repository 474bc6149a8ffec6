#include "scheduler_state.h"

#include <string.h>

/* Heartbeats, leases and incarnations of endpoints. A heartbeat renews the endpoint's lease, and
 * its response reports what runs and what has completed. */

enum
{
  PERMILLE = 1000,
  /* Endpoint clocks may run 2% slow, so a lease may last 2% longer than it should. */
  SLOW_CLOCK_PERMILLE = 20,
  /* Longest time that a command is expected to spend in transit. */
  LEASE_EXPIRY_MARGIN_MS = 300,
  /* Longest lease that an endpoint takes, whatever end a command names. */
  LEASE_LONGEST_MS = 10000,
  /* Age up to which an incarnation may hold a lease that an earlier leader granted to the one
   * before it: the longest time for which a command may be late, and the longest lease. */
  YOUNG_INCARNATION_MS = 22000,
  /* How long an endpoint may delay its response to a heartbeat where best-effort tasks share the
   * endpoint with serving tasks, because their pace is adjusted with each report. */
  HEARTBEAT_WAIT_SHARED_MS = 500,
  /* Shorter where tasks are started on trial, so that the trial ends soon. */
  HEARTBEAT_WAIT_TRIAL_MS = 250,
  /* Lets completions that happen close together be reported by one heartbeat. */
  HEARTBEAT_GAP_MS = 25,
  HEARTBEAT_RETRY_MS = 200,
  /* Interval between heartbeats while completions are not durable. */
  HEARTBEAT_UNFLUSHED_MS = 250,
  /* Age of the reading of an idle endpoint's clock at which it is read again. The estimate is then
   * at most 0.6 s behind, and a lease as much shorter. Endpoints differ by up to the spread, so
   * that they aren't all called at once. */
  CLOCK_AGE_MAX_MS = 30000,
  CLOCK_AGE_SPREAD_MS = 10000,
  /* A task whose progress doesn't change for this long is stalled. A task that usually takes about
   * 4 s advances by a percent every 300 ms even when it takes seven times its usual time. */
  STALL_MS = 2500,
};

/* Handles a command that an endpoint rejected because of its fence: another leader has taken over,
 * unless this process has raised the endpoint's fence since the command was sent. */
void
endpoint_command_fenced (struct scheduler *scheduler, struct endpoint *endpoint, uint64_t fence,
                         const char *why)
{
  if (fence >= endpoint->fence)
    scheduler_step_down (scheduler, why);
  endpoint->next_heartbeat_ms = scheduler->now_ms;
}

/* Marks an endpoint as unresponsive. */
void
endpoint_set_unresponsive (struct scheduler *scheduler, struct endpoint *endpoint)
{
  if (endpoint->unresponsive_since_ms > 0)
    return;
  endpoint->unresponsive_since_ms = scheduler->now_ms;
  scheduler_log (scheduler,
                 "endpoint unresponsive: endpoint=%s tasks=%u lapse_in_ms=%" G_GINT64_FORMAT,
                 endpoint->id, endpoint->n_tasks, endpoint->lease_expiry_ms - scheduler->now_ms);
}

/* Returns whether an endpoint is one that runs tasks: it responds, what the registry says of it is
 * known, and it isn't about to leave. */
bool
endpoint_is_in_service (const struct endpoint *endpoint)
{
  return endpoint->listed && endpoint_entry_is_current (endpoint) && endpoint->fence_accepted &&
         !endpoint->gone && !endpoint->draining && !endpoint->cordoned &&
         !endpoint->being_released && endpoint->unresponsive_since_ms == 0;
}

/* Returns whether new tasks may be placed on an endpoint. */
bool
endpoint_is_usable (const struct scheduler *scheduler, const struct endpoint *endpoint)
{
  return endpoint_is_in_service (endpoint) && endpoint->n_unknown_attempts == 0 &&
         scheduler->now_ms >= endpoint->avoid_until_ms;
}

/* Records that an endpoint's present incarnation has begun or is running. */
void
endpoint_set_alive (struct scheduler *scheduler, struct endpoint *endpoint)
{
  endpoint->alive_ms = scheduler->now_ms;
  endpoint->gone = false;
}

/* Resets what is known from the reports of an endpoint's former incarnation. */
static void
endpoint_reset_incarnation (struct scheduler *scheduler, struct endpoint *endpoint)
{
  endpoint->fence_accepted = false;
  endpoint->completions_seen = 0;
  endpoint->completions_flushing = 0;
  endpoint->completions_durable = 0;
  endpoint->completions_acked = 0;
  endpoint->lease_end_ms = 0;
  endpoint->clock_ms = 0;
  endpoint->failed_jobs = 0;
  endpoint->starts_invalidated = 0;
  endpoint->n_unknown_attempts = 0;
  endpoint->next_heartbeat_ms = scheduler->now_ms;
}

/* Raises an endpoint's fence, so that no command that was sent before can be carried out once the
 * endpoint has accepted it. */
void
endpoint_raise_fence (struct scheduler *scheduler, struct endpoint *endpoint)
{
  endpoint->fence++;
  scheduler->highest_fence = MAX (scheduler->highest_fence, endpoint->fence);
}

/* Invalidates the starts that were sent to an endpoint's former incarnation. */
static void
endpoint_invalidate_starts (const struct scheduler *scheduler, struct endpoint *endpoint)
{
  struct task *task;

  TAILQ_FOREACH (task, &endpoint->tasks, endpoint_link)
    task_end_start (scheduler, task);
}

/* Handles a new incarnation of an endpoint. Attempts of the former one are gone, but a start in
 * transit may have reached the new one, so its tasks are kept until a report shows what runs. No
 * start is sent again: it was placed by what the registry said of the former one. */
void
endpoint_begin_incarnation (struct scheduler *scheduler, struct endpoint *endpoint, int64_t born_ms)
{
  if (endpoint->born_ms > 0)
    scheduler_log (scheduler,
                   "endpoint has a new incarnation: endpoint=%s tasks=%u born_ms=%" G_GINT64_FORMAT,
                   endpoint->id, endpoint->n_tasks, born_ms);
  if (endpoint->born_ms > 0)
    endpoint_note_restart (endpoint);
  endpoint->lost_with_rack = false;
  endpoint->lease_uncertain = endpoint->born_ms > 0;
  endpoint->born_ms = born_ms;
  endpoint->draining = false;
  endpoint->remaining_ms = -1;
  endpoint->sequence = 0;
  endpoint_set_alive (scheduler, endpoint);
  endpoint_raise_fence (scheduler, endpoint);
  endpoint_invalidate_starts (scheduler, endpoint);
  endpoint_reset_incarnation (scheduler, endpoint);
}

/* Counts the tasks of an endpoint of whose start a send got no response: it may be carried out
 * late. */
static unsigned
endpoint_count_unanswered_starts (const struct endpoint *endpoint)
{
  const struct task *task;
  unsigned n = 0;

  TAILQ_FOREACH (task, &endpoint->tasks, endpoint_link)
    n += task->starts_unanswered > 0;
  return n;
}

/* Returns whether a send of a task's start may still be carried out, by the endpoint's next
 * incarnation if not by this one: it got no response, or is in flight. */
static bool
task_start_may_come_late (const struct scheduler *scheduler, const struct task *task)
{
  return task->start_late_until_ms > scheduler->now_ms ||
         (task->phase == TASK_STARTING && task->command_in_flight);
}

/* Counts the tasks of an endpoint whose start may still be carried out. */
static unsigned
endpoint_count_late_starts (const struct scheduler *scheduler, const struct endpoint *endpoint)
{
  const struct task *task;
  unsigned n = 0;

  TAILQ_FOREACH (task, &endpoint->tasks, endpoint_link)
    n += task_start_may_come_late (scheduler, task);
  return n;
}

/* Releases the tasks of an endpoint on which none of them can run any longer. With keep_late, those
 * whose start may still be carried out are kept. */
static void
endpoint_release (struct scheduler *scheduler, struct endpoint *endpoint, bool keep_late,
                  enum endpoint_end end, const char *why)
{
  struct task *task = TAILQ_FIRST (&endpoint->tasks);
  unsigned n_kept = keep_late ? endpoint_count_late_starts (scheduler, endpoint) : 0;
  int64_t silent_ms =
      endpoint->unresponsive_since_ms > 0 ? scheduler->now_ms - endpoint->unresponsive_since_ms : 0;

  scheduler_log (scheduler,
                 "endpoint lost, tasks released: endpoint=%s born_ms=%" G_GINT64_FORMAT
                 " tasks=%u kept=%u starts_unanswered=%u silent_ms=%" G_GINT64_FORMAT
                 " lease_left_ms=%" G_GINT64_FORMAT " listed=%d draining=%d reason=\"%s\"",
                 endpoint->id, endpoint->born_ms, endpoint->n_tasks, n_kept,
                 endpoint_count_unanswered_starts (endpoint), silent_ms,
                 endpoint->lease_expiry_ms - scheduler->now_ms, endpoint->listed,
                 endpoint->draining, why);
  endpoint_record_losses (scheduler, endpoint, end);
  while (task)
    {
      struct task *next = TAILQ_NEXT (task, endpoint_link);

      if (!keep_late || !task_start_may_come_late (scheduler, task))
        {
          scheduler->counts.lapses++;
          task_release (scheduler, task);
        }
      task = next;
    }
  if (endpoint->n_tasks == 0)
    endpoint->lease_expiry_ms = 0;
  endpoint_reset_incarnation (scheduler, endpoint);
}

/* Releases all tasks of an endpoint that no incarnation of it can run any longer. */
void
endpoint_release_tasks (struct scheduler *scheduler, struct endpoint *endpoint,
                        enum endpoint_end end, const char *why)
{
  endpoint_release (scheduler, endpoint, false, end, why);
}

/* Releases the tasks of an unresponsive endpoint whose attempts have ended. A start that may still
 * be carried out can reach a new incarnation to which no raised fence was shown, so its task is
 * kept until a report shows what runs or the time for late starts has passed. */
static void
endpoint_release_expired (struct scheduler *scheduler, struct endpoint *endpoint,
                          enum endpoint_end end, const char *why)
{
  if (endpoint_count_late_starts (scheduler, endpoint) < endpoint->n_tasks)
    endpoint_release (scheduler, endpoint, true, end, why);
  else
    endpoint_record_losses (scheduler, endpoint, end);
}

/* Releases the tasks of an endpoint whose host is down, but for late starts. */
void
endpoint_release_ended (struct scheduler *scheduler, struct endpoint *endpoint, const char *why)
{
  if (!endpoint->gone && endpoint_unplanned_end (endpoint) == ENDPOINT_END_CRASH)
    scheduler_record_crash (scheduler, endpoint);
  endpoint->gone = true;
  endpoint_release_expired (scheduler, endpoint, endpoint_unplanned_end (endpoint), why);
}

/* Returns the time, on this process's clock, at which a lease granted now has certainly expired. */
static int64_t
scheduler_lease_expiry_ms (const struct scheduler *scheduler, int64_t lease_ms)
{
  return scheduler->now_ms + lease_ms * (PERMILLE + SLOW_CLOCK_PERMILLE) / PERMILLE +
         LEASE_EXPIRY_MARGIN_MS;
}

/* Returns the length of a lease granted now, 0 or less if none may be granted: a leader that can't
 * know whether it has been replaced grants leases up to a common end. */
static int64_t
scheduler_lease_ms (const struct scheduler *scheduler)
{
  return MIN (scheduler->config.lease_ms, scheduler->leases_end_ms - scheduler->now_ms);
}

/* Returns whether tasks may be started: a task is not started under a lease that would soon end
 * it. */
bool
scheduler_may_start_tasks (const struct scheduler *scheduler)
{
  return scheduler_lease_ms (scheduler) >= scheduler->config.lease_ms / 2;
}

/* Grants a lease from now on, stores when it has certainly expired and returns its end on the
 * endpoint's clock. Returns 0 if no lease may be granted. */
int64_t
endpoint_extend_lease (struct scheduler *scheduler, struct endpoint *endpoint)
{
  int64_t lease_ms = scheduler_lease_ms (scheduler);
  int64_t lease_end_ms = endpoint_clock_at (endpoint, scheduler->now_ms) + lease_ms;

  if (lease_ms <= 0)
    return 0;
  endpoint->lease_end_ms = MAX (endpoint->lease_end_ms, lease_end_ms);
  endpoint->lease_expiry_ms =
      MAX (endpoint->lease_expiry_ms, scheduler_lease_expiry_ms (scheduler, lease_ms));
  return lease_end_ms;
}

/* Stores a reading of an endpoint's clock. If it is behind the former one, the endpoint has
 * restarted, and what it runs lasts longer under the leases that were granted. */
void
endpoint_set_clock (struct scheduler *scheduler, struct endpoint *endpoint, int64_t clock_ms)
{
  int64_t lease_ms = MIN (endpoint->lease_end_ms - clock_ms, LEASE_LONGEST_MS);

  endpoint->clock_ms = clock_ms;
  endpoint->clock_read_ms = scheduler->now_ms;
  endpoint->lease_expiry_ms =
      MAX (endpoint->lease_expiry_ms, scheduler_lease_expiry_ms (scheduler, lease_ms));
}

/* Returns how long an endpoint may delay its response to a heartbeat until an attempt completes
 * there. */
static int64_t
endpoint_heartbeat_wait_ms (const struct scheduler *scheduler, const struct endpoint *endpoint)
{
  int64_t wait_ms = response_loss_wait_ms (&scheduler->response_loss);

  if (endpoint->n_trials > 0 || scheduler->now_ms < endpoint->member_of->cautious_until_ms)
    return HEARTBEAT_WAIT_TRIAL_MS;
  return endpoint->n_best_effort > 0 && endpoint->n_serving > 0
             ? MIN (wait_ms, HEARTBEAT_WAIT_SHARED_MS)
             : wait_ms;
}

/* Sends a heartbeat, which renews the lease of everything on the endpoint. If all completions are
 * durable, the endpoint may delay its response until an attempt completes. */
static void
endpoint_send_heartbeat (struct scheduler *scheduler, struct endpoint *endpoint)
{
  int64_t lease_end_ms = 0;
  int64_t wait_ms = 0;

  /* A heartbeat that got no response may still arrive. One to an unresponsive endpoint would
   * postpone the time at which its tasks have certainly ended, so it doesn't renew the lease; nor
   * does one to an endpoint that has ended. */
  if (endpoint->fence_accepted && endpoint->n_tasks > 0 && endpoint->unresponsive_since_ms == 0 &&
      !endpoint->gone)
    {
      lease_end_ms = endpoint_extend_lease (scheduler, endpoint);
      if (endpoint->completions_seen == endpoint->completions_durable)
        wait_ms = endpoint_heartbeat_wait_ms (scheduler, endpoint);
    }
  endpoint->heartbeat_in_flight = true;
  endpoint->calls++;
  scheduler->ops.heartbeat (scheduler->ops.ctx, endpoint, lease_end_ms, wait_ms);
}

/* Returns whether the last reading of an endpoint's clock is so old that leases would become much
 * shorter. */
static bool
endpoint_clock_is_old (const struct scheduler *scheduler, const struct endpoint *endpoint)
{
  int64_t limit_ms = CLOCK_AGE_MAX_MS - (int64_t) (g_str_hash (endpoint->id) % CLOCK_AGE_SPREAD_MS);

  return scheduler->now_ms - endpoint->clock_read_ms > limit_ms;
}

/* Returns whether an endpoint needs a heartbeat. An idle one with nothing to report or acknowledge
 * needs one only to read its clock. */
static bool
endpoint_needs_heartbeat (const struct scheduler *scheduler, const struct endpoint *endpoint)
{
  if (!endpoint->address)
    return false;
  if (!endpoint->fence_accepted || endpoint->n_tasks > 0 || endpoint->unresponsive_since_ms > 0)
    return endpoint->listed || endpoint->n_tasks > 0;
  return endpoint->completions_acked < endpoint->completions_durable ||
         endpoint->n_unknown_attempts > 0 ||
         (endpoint->listed && endpoint_clock_is_old (scheduler, endpoint));
}

/* Stops stalled tasks, so that they run on another endpoint. Long-running tasks and gangs are left
 * alone. What happened since the endpoint's last report is not known, also if it has responded to
 * other commands. */
static void
endpoint_stop_stalled (struct scheduler *scheduler, struct endpoint *endpoint)
{
  struct task *task = TAILQ_FIRST (&endpoint->tasks);

  while (task)
    {
      struct task *next = TAILQ_NEXT (task, endpoint_link);

      if (task->phase == TASK_RUNNING && !task_step (task)->long_running &&
          !task_step (task)->gang && endpoint->reported_ms - task->progress_ms > STALL_MS)
        {
          endpoint->avoid_until_ms = scheduler->now_ms + STALL_MS;
          task_stop (scheduler, task, "no progress");
        }
      task = next;
    }
}

/* Returns whether the last lease of an unresponsive endpoint has certainly expired. A successor may
 * have renewed it, unless this host was still the only leader by then. */
static bool
endpoint_lease_has_expired (const struct scheduler *scheduler, const struct endpoint *endpoint)
{
  return scheduler->now_ms > endpoint->lease_expiry_ms &&
         scheduler->sole_ms >= endpoint->lease_expiry_ms;
}

/* Checks one endpoint: releases its tasks if they can't run any longer, stops stalled tasks and
 * sends a heartbeat that is due. */
void
endpoint_tick (struct scheduler *scheduler, struct endpoint *endpoint)
{
  if (endpoint->n_tasks > 0 && endpoint->unresponsive_since_ms > 0 &&
      endpoint_lease_has_expired (scheduler, endpoint))
    endpoint_release_expired (scheduler, endpoint, ENDPOINT_END_UNKNOWN, "lease expired");
  if (endpoint_has_unknown (endpoint) &&
      (endpoint->gone ||
       (endpoint->unresponsive_since_ms > 0 && endpoint_lease_has_expired (scheduler, endpoint))))
    endpoint_clear_unknown (endpoint);
  if (endpoint->n_tasks > 0)
    endpoint_stop_stalled (scheduler, endpoint);
  if (!endpoint->heartbeat_in_flight && scheduler->now_ms >= endpoint->next_heartbeat_ms &&
      endpoint_needs_heartbeat (scheduler, endpoint))
    endpoint_send_heartbeat (scheduler, endpoint);
}

/* Returns whether an attempt that this leader did not start is to be adopted, which requires that
 * the task has no other known attempt. Attempts of jobs that are over are adopted too, in order to
 * be stopped. */
static bool
attempt_is_adoptable (const struct task *task, const struct endpoint_attempt *running)
{
  return task && task->job->scheduled && !task->done && !task->endpoint &&
         running->attempt > task->ended_attempt;
}

/* Returns whether an endpoint runs an earlier attempt of a task that it is to start. */
static bool
attempt_precedes_start (const struct task *task, const struct endpoint *endpoint,
                        const struct endpoint_attempt *running)
{
  return task && task->endpoint == endpoint && task->phase == TASK_STARTING && !task->done &&
         running->attempt > task->ended_attempt && running->attempt < task->attempt;
}

/* Handles an attempt that an endpoint reports as running. It is stopped unless it is the current
 * attempt of a task assigned to the endpoint, or an earlier one of which the next report shows
 * whether it can take the place of the current one. */
static void
endpoint_handle_attempt (struct scheduler *scheduler, struct endpoint *endpoint,
                         const struct endpoint_attempt *running, int64_t sent_ms)
{
  struct task *task = scheduler_find_task (scheduler, running->task);

  if (attempt_is_adoptable (task, running))
    {
      task_adopt (scheduler, task, endpoint, running, sent_ms);
      if (job_is_over (task->job))
        task_stop (scheduler, task, "job is cancelled or finished");
    }
  if (attempt_precedes_start (task, endpoint, running))
    {
      endpoint->n_unknown_attempts++;
      endpoint_count_unknown (scheduler, endpoint, running->task);
      task_invalidate_start (scheduler, task, "an earlier attempt runs");
      return;
    }
  if (!task || task->endpoint != endpoint || task->attempt != running->attempt)
    {
      scheduler_log (scheduler,
                     "stopping unknown attempt: task=%s attempt=%u endpoint=%s known=%u on=%s",
                     running->task, running->attempt, endpoint->id, task ? task->attempt : 0,
                     task && task->endpoint ? task->endpoint->id : "none");
      if (task)
        {
          task->highest_attempt = MAX (task->highest_attempt, running->attempt);
          task->other_endpoint = endpoint;
          task->other_attempt_until_ms =
              scheduler_lease_expiry_ms (scheduler, scheduler->config.lease_ms);
        }
      endpoint->n_unknown_attempts++;
      endpoint_count_unknown (scheduler, endpoint, running->task);
      endpoint->calls++;
      scheduler->counts.stops++;
      scheduler->ops.stop (scheduler->ops.ctx, endpoint, running->task, running->attempt, NULL);
      return;
    }
  if (task->phase == TASK_STARTING)
    task_set_phase (scheduler, task, TASK_RUNNING);
  task_note_running (scheduler, task, endpoint->clock_ms);
  task_set_checkpoint (task, running->checkpoint);
  task->load = running->load;
  if (running->percent != task->progress_percent)
    {
      task->progress_percent = running->percent;
      task->progress_ms = scheduler->now_ms;
    }
  if (task->phase == TASK_RUNNING)
    task->confirmed_ms = MAX (task->confirmed_ms, sent_ms);
}

/* Returns whether an attempt that is missing from a report requested at sent_ms neither runs nor
 * will: it was confirmed to run before, or invalidated by a stop or by a higher fence. Reports
 * under a lower fence aren't handled. */
static bool
task_is_settled (const struct task *task, int64_t sent_ms)
{
  if (task->phase == TASK_RUNNING || (task->phase == TASK_STOPPING && task->confirmed_ms > 0))
    return task->confirmed_ms > 0 && task->confirmed_ms < sent_ms;
  return (task->phase == TASK_STARTING || task->phase == TASK_STOPPING) &&
         task->fence_raised_ms > 0 && task->fence_raised_ms <= sent_ms;
}

/* Releases tasks whose attempts are missing from the report that is being handled and can't run any
 * more. */
static void
endpoint_release_unlisted (struct scheduler *scheduler, struct endpoint *endpoint, int64_t sent_ms)
{
  struct task *task = TAILQ_FIRST (&endpoint->tasks);

  while (task)
    {
      struct task *next = TAILQ_NEXT (task, endpoint_link);

      if (task_is_settled (task, sent_ms) && task->listed_in_report != scheduler->n_reports)
        {
          scheduler->counts.lapses++;
          scheduler_log (
              scheduler,
              "attempt missing from the endpoint's report: task=%s.%u.%u.%u attempt=%u endpoint=%s",
              task->job->id, task->occurrence, task->step, task->index, task->attempt,
              endpoint->id);
          task_release (scheduler, task);
        }
      task = next;
    }
}

/* Handles the completions that have not been handled before. */
static void
endpoint_handle_completions (struct scheduler *scheduler, struct endpoint *endpoint,
                             const struct endpoint_report *report)
{
  for (size_t i = 0; i < report->n_completions; i++)
    {
      const struct endpoint_completion *completion = &report->completions[i];

      if (completion->number <= endpoint->completions_seen)
        continue;
      endpoint->completions_seen = completion->number;
      task_handle_completion (scheduler, endpoint, completion);
    }
}

/* Records that the report that is being handled lists a task's current attempt, which runs on the
 * present incarnation of its endpoint. */
static void
endpoint_confirm_attempt (const struct scheduler *scheduler, const struct endpoint *endpoint,
                          const struct endpoint_attempt *running)
{
  struct task *task = scheduler_find_task (scheduler, running->task);

  if (!task || task->endpoint != endpoint || task->attempt != running->attempt)
    return;
  task->listed_in_report = scheduler->n_reports;
  task->endpoint_restarted = false;
}

/* Handles that a report shows an incarnation before its registry entry was read. The endpoint gets
 * no tasks until then. */
static void
endpoint_await_entry (struct scheduler *scheduler, struct endpoint *endpoint)
{
  if (endpoint_entry_is_current (endpoint))
    return;
  endpoint->entry_missing_since_ms = scheduler->now_ms;
  if (scheduler->ops.read_registry)
    scheduler->ops.read_registry (scheduler->ops.ctx);
}

/* Handles an endpoint's report. */
static void
endpoint_handle_report (struct scheduler *scheduler, struct endpoint *endpoint,
                        const struct endpoint_report *report, uint64_t acked, int64_t sent_ms)
{
  bool was_accepted = endpoint->fence_accepted;

  if (report->born_ms > 0 && report->born_ms != endpoint->born_ms)
    {
      bool first_contact = endpoint->born_ms == 0;

      endpoint_begin_incarnation (scheduler, endpoint, report->born_ms);
      endpoint_await_entry (scheduler, endpoint);
      /* The new incarnation has not seen the raised fence that invalidates commands for the former
       * one, so this report is ignored. */
      if (!first_contact)
        return;
      acked = 0;
    }
  if (endpoint->unresponsive_since_ms > 0)
    scheduler_log (scheduler, "endpoint responds again: endpoint=%s silent_ms=%" G_GINT64_FORMAT,
                   endpoint->id, scheduler->now_ms - endpoint->unresponsive_since_ms);
  endpoint->unresponsive_since_ms = 0;
  endpoint_set_alive (scheduler, endpoint);
  endpoint->fence_accepted = true;
  endpoint->clock_ms = report->clock_ms;
  endpoint->clock_read_ms = scheduler->now_ms;
  endpoint->completions_acked = MAX (endpoint->completions_acked, acked);
  /* An earlier leader may have granted a lease until just now, and a new incarnation may have taken
   * one that ends by the clock of the former one. */
  if (endpoint->reported_ms == 0 && report->clock_ms < YOUNG_INCARNATION_MS &&
      scheduler->config.epoch > 1)
    endpoint->lease_uncertain = true;
  if (!was_accepted)
    endpoint->lease_expiry_ms = scheduler_lease_expiry_ms (
        scheduler, endpoint->lease_uncertain ? LEASE_LONGEST_MS : scheduler->config.lease_ms);
  endpoint->lease_uncertain = false;
  endpoint->reported_ms = scheduler->now_ms;
  scheduler->n_reports++;
  endpoint_handle_completions (scheduler, endpoint, report);
  for (size_t i = 0; i < report->n_attempts; i++)
    endpoint_confirm_attempt (scheduler, endpoint, &report->attempts[i]);
  endpoint_record_restart_losses (scheduler, endpoint);
  /* Before the attempts: an earlier one of a task that is released here is adopted. */
  endpoint_release_unlisted (scheduler, endpoint, sent_ms);
  endpoint->n_unknown_attempts = 0;
  endpoint_clear_unknown (endpoint);
  for (size_t i = 0; i < report->n_attempts; i++)
    endpoint_handle_attempt (scheduler, endpoint, &report->attempts[i], sent_ms);
  if (!was_accepted)
    scheduler_pool (scheduler, endpoint->pool)->changed = true;
}

/* Handles the response to a heartbeat; result is not COMMAND_DONE on failure. */
void
scheduler_heartbeat_done (struct scheduler *scheduler, struct endpoint *endpoint, uint64_t fence,
                          enum command_result result, const struct endpoint_report *report,
                          uint64_t acked, int64_t sent_ms, int64_t now_ms)
{
  scheduler->now_ms = now_ms;
  endpoint->calls--;
  endpoint->heartbeat_in_flight = false;
  if (endpoint->unresponsive_since_ms == 0)
    response_loss_count (&scheduler->response_loss, result != COMMAND_DONE || !report);
  if (result == COMMAND_FENCED)
    {
      endpoint_command_fenced (scheduler, endpoint, fence,
                               "heartbeat rejected: the endpoint holds a newer fence");
      return;
    }
  /* The fence was raised after the heartbeat was sent: the report may be of a former
   * incarnation. */
  if (result == COMMAND_DONE && fence < endpoint->fence)
    return;
  if (result != COMMAND_DONE || !report)
    {
      endpoint_set_unresponsive (scheduler, endpoint);
      endpoint->next_heartbeat_ms = now_ms + HEARTBEAT_RETRY_MS;
      return;
    }
  endpoint_handle_report (scheduler, endpoint, report, acked, sent_ms);
  endpoint->next_heartbeat_ms = now_ms + HEARTBEAT_GAP_MS;
  if (endpoint->completions_seen > endpoint->completions_durable)
    endpoint->next_heartbeat_ms = now_ms + HEARTBEAT_UNFLUSHED_MS;
  if (endpoint->n_best_effort > 0)
    endpoint_adjust_pace (scheduler, endpoint);
}
