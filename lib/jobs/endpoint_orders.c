#include "scheduler_state.h"

#include <string.h>

/* Leases of endpoints, and what their reports say. */

enum
{
  PERMILLE = 1000,
  /* The endpoints' clocks may be 2% slow. */
  SLOW_CLOCK_PERMILLE = 20,
  /* Time that an order may spend on its way. */
  LEASE_EXPIRY_MARGIN_MS = 300,
  /* How long an endpoint may keep a hold open until something ends there. Three of these fit into
   * the shortest lease of the settings. */
  HEARTBEAT_WAIT_MS = 800,
  /* Shorter where serving tasks share with filling ones, whose pace follows the figures. */
  HEARTBEAT_WAIT_SHARED_MS = 500,
  /* Ends that come together are taken by one hold. */
  HEARTBEAT_GAP_MS = 25,
  HEARTBEAT_RETRY_MS = 200,
  /* Time between looks while ends can't be made durable. */
  HEARTBEAT_UNFLUSHED_MS = 250,
  /* A task that shows no progress for this long stands still: even at seven times its usual length
   * a task of seconds shows a percent each 300 ms. */
  STALL_MS = 2500,
};

/* An endpoint has refused an order for its fence: another leader has taken over, unless the
 * endpoint's fence was raised after the order was sent. */
void
endpoint_command_fenced (struct scheduler *scheduler, struct endpoint *endpoint, uint64_t fence,
                         const char *why)
{
  if (fence >= endpoint->fence)
    scheduler_supersede (scheduler, why);
  endpoint->next_heartbeat_ms = scheduler->now_ms;
}

/* Notes that an endpoint does not answer. */
void
endpoint_set_unresponsive (struct scheduler *scheduler, struct endpoint *endpoint)
{
  if (endpoint->unresponsive_since_ms > 0)
    return;
  endpoint->unresponsive_since_ms = scheduler->now_ms;
  scheduler_log (scheduler, "endpoint silent: endpoint=%s tasks=%u lapse_in_ms=%" G_GINT64_FORMAT,
                 endpoint->id, endpoint->n_tasks, endpoint->lease_expiry_ms - scheduler->now_ms);
}

/* Tells whether an endpoint may get new tasks. */
bool
endpoint_is_usable (const struct scheduler *scheduler, const struct endpoint *endpoint)
{
  return endpoint->listed && endpoint->fenced && !endpoint->draining && !endpoint->cordoned &&
         !endpoint->being_released && endpoint->unresponsive_since_ms == 0 &&
         endpoint->n_unknown_attempts == 0 && scheduler->now_ms >= endpoint->avoid_until_ms;
}

/* Forgets what an endpoint has said, so that the next report counts from the start. */
static void
endpoint_reset_incarnation (struct scheduler *scheduler, struct endpoint *endpoint)
{
  endpoint->fenced = false;
  endpoint->completions_seen = 0;
  endpoint->completions_flushing = 0;
  endpoint->ends_durable = 0;
  endpoint->completions_acked = 0;
  endpoint->lease_end_ms = 0;
  endpoint->clock_ms = 0;
  endpoint->failed_jobs = 0;
  endpoint->n_unknown_attempts = 0;
  endpoint->next_heartbeat_ms = scheduler->now_ms;
}

/* An endpoint has begun a new life. What ran in the former one is gone, but a start that was under
 * way may have reached the new one: its report tells. */
void
endpoint_begin_incarnation (struct scheduler *scheduler, struct endpoint *endpoint, int64_t born_ms)
{
  if (endpoint->born_ms > 0)
    scheduler_log (scheduler,
                   "endpoint began a new life: endpoint=%s tasks=%u born_ms=%" G_GINT64_FORMAT,
                   endpoint->id, endpoint->n_tasks, born_ms);
  endpoint->born_ms = born_ms;
  endpoint->fence++;
  endpoint_reset_incarnation (scheduler, endpoint);
}

/* Takes all tasks off an endpoint on which nothing of them can run any more. */
void
endpoint_release_tasks (struct scheduler *scheduler, struct endpoint *endpoint, const char *why)
{
  scheduler_log (scheduler, "endpoint lost: endpoint=%s tasks=%u reason=\"%s\"", endpoint->id,
                 endpoint->n_tasks, why);
  while (!TAILQ_EMPTY (&endpoint->tasks))
    {
      scheduler->counts.lapses++;
      task_release (scheduler, TAILQ_FIRST (&endpoint->tasks));
    }
  endpoint->lease_expiry_ms = 0;
  endpoint_reset_incarnation (scheduler, endpoint);
}

/* Gives the moment of ours at which a lease that is given now has surely lapsed. */
static int64_t
scheduler_lease_expiry_ms (const struct scheduler *scheduler)
{
  return scheduler->now_ms +
         scheduler->config.lease_ms * (PERMILLE + SLOW_CLOCK_PERMILLE) / PERMILLE +
         LEASE_EXPIRY_MARGIN_MS;
}

/* Gives a lease from now on the endpoint's clock and notes when it has surely lapsed. */
int64_t
endpoint_extend_lease (struct scheduler *scheduler, struct endpoint *endpoint)
{
  int64_t lease_end_ms =
      endpoint_clock_at (endpoint, scheduler->now_ms) + scheduler->config.lease_ms;

  endpoint->lease_end_ms = MAX (endpoint->lease_end_ms, lease_end_ms);
  endpoint->lease_expiry_ms =
      MAX (endpoint->lease_expiry_ms, scheduler_lease_expiry_ms (scheduler));
  return lease_end_ms;
}

/* Sends a hold: it extends the lease of all that runs there and waits for an end. */
static void
endpoint_send_heartbeat (struct scheduler *scheduler, struct endpoint *endpoint)
{
  int64_t lease_end_ms = 0;
  int64_t wait_ms = 0;

  /* A hold without an answer may still arrive: one to a silent endpoint would put off the moment at
   * which its tasks have surely ended. */
  if (endpoint->fenced && endpoint->n_tasks > 0 && endpoint->unresponsive_since_ms == 0)
    {
      lease_end_ms = endpoint_extend_lease (scheduler, endpoint);
      if (endpoint->completions_seen == endpoint->ends_durable)
        wait_ms = endpoint->n_best_effort > 0 && endpoint->n_serving > 0 ? HEARTBEAT_WAIT_SHARED_MS
                                                                         : HEARTBEAT_WAIT_MS;
    }
  endpoint->heartbeat_in_flight = true;
  endpoint->calls++;
  scheduler->ops.hold (scheduler->ops.ctx, endpoint, lease_end_ms, wait_ms);
}

/* Tells whether an endpoint is to be looked at. An idle one that owes nothing is left alone. */
static bool
endpoint_needs_heartbeat (const struct endpoint *endpoint)
{
  if (!endpoint->address)
    return false;
  if (!endpoint->fenced || endpoint->n_tasks > 0 || endpoint->unresponsive_since_ms > 0)
    return endpoint->listed || endpoint->n_tasks > 0;
  return endpoint->completions_acked < endpoint->ends_durable || endpoint->n_unknown_attempts > 0;
}

/* Stops tasks that stand still, so that they run elsewhere. */
static void
endpoint_stop_stalled (struct scheduler *scheduler, struct endpoint *endpoint)
{
  struct task *task = TAILQ_FIRST (&endpoint->tasks);

  while (task)
    {
      struct task *next = TAILQ_NEXT (task, endpoint_link);

      if (task->phase == TASK_RUNNING && !task_step (task)->long_running &&
          !task_step (task)->gang && scheduler->now_ms - task->progress_ms > STALL_MS)
        {
          endpoint->avoid_until_ms = scheduler->now_ms + STALL_MS;
          task_stop (scheduler, task, "no progress");
        }
      task = next;
    }
}

/* Looks after one endpoint: its lease, its silence and its leaving. */
void
endpoint_tick (struct scheduler *scheduler, struct endpoint *endpoint)
{
  bool drained_out = !endpoint->listed && endpoint->draining && endpoint->unresponsive_since_ms > 0;

  if (endpoint->n_tasks > 0 && endpoint->unresponsive_since_ms > 0 &&
      (drained_out || scheduler->now_ms > endpoint->lease_expiry_ms))
    endpoint_release_tasks (scheduler, endpoint, drained_out ? "left" : "lease lapsed");
  if (endpoint->n_tasks > 0)
    endpoint_stop_stalled (scheduler, endpoint);
  if (!endpoint->heartbeat_in_flight && scheduler->now_ms >= endpoint->next_heartbeat_ms &&
      endpoint_needs_heartbeat (endpoint))
    endpoint_send_heartbeat (scheduler, endpoint);
}

/* Tells whether a run that this leader did not start is to be taken over: nothing else is known to
 * run of its task. One of a job that is over is taken over as well, to be stopped. */
static bool
attempt_is_adoptable (const struct task *task, const struct endpoint_run *running)
{
  return task && task->job->scheduled && !task->done && !task->endpoint &&
         running->attempt > task->ended_attempt;
}

/* Takes one run that an endpoint lists. A run that should not be is stopped. */
static void
endpoint_handle_attempt (struct scheduler *scheduler, struct endpoint *endpoint,
                         const struct endpoint_run *running, int64_t sent_ms)
{
  struct task *task = scheduler_find_task (scheduler, running->task);

  if (attempt_is_adoptable (task, running))
    {
      task_adopt (scheduler, task, endpoint, running, sent_ms);
      if (job_is_over (task->job))
        task_stop (scheduler, task, "its job is over");
    }
  if (!task || task->endpoint != endpoint || task->attempt != running->attempt)
    {
      endpoint->n_unknown_attempts++;
      endpoint->calls++;
      scheduler->counts.stops++;
      scheduler->ops.stop (scheduler->ops.ctx, endpoint, running->task, running->attempt, NULL);
      return;
    }
  if (task->phase == TASK_STARTING)
    task_set_phase (scheduler, task, TASK_RUNNING);
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

/* Tells whether a report lists a task's run. */
static bool
report_lists_attempt (const struct endpoint_report *report, const struct task *task)
{
  g_autofree char *name = task_name (task);

  for (size_t i = 0; i < report->n_runs; i++)
    {
      if (report->runs[i].attempt == task->attempt && strcmp (report->runs[i].task, name) == 0)
        return true;
    }
  return false;
}

/* Takes off the endpoint what it no longer lists, though it was asked after the run was confirmed
 * to be there, or was made void. */
static void
endpoint_release_unlisted (struct scheduler *scheduler, struct endpoint *endpoint,
                           const struct endpoint_report *report, int64_t sent_ms)
{
  struct task *task = TAILQ_FIRST (&endpoint->tasks);

  while (task)
    {
      struct task *next = TAILQ_NEXT (task, endpoint_link);
      bool settled = task->phase == TASK_RUNNING || task->phase == TASK_STOPPING;

      if (settled && task->confirmed_ms > 0 && task->confirmed_ms < sent_ms &&
          !report_lists_attempt (report, task))
        {
          scheduler->counts.lapses++;
          scheduler_log (scheduler,
                         "run not listed any more: task=%s.%u.%u.%u attempt=%u endpoint=%s",
                         task->job->id, task->occurrence, task->step, task->index, task->attempt,
                         endpoint->id);
          task_release (scheduler, task);
        }
      task = next;
    }
}

/* Takes the ends that were not taken before. */
static void
endpoint_handle_completions (struct scheduler *scheduler, struct endpoint *endpoint,
                             const struct endpoint_report *report)
{
  for (size_t i = 0; i < report->n_ends; i++)
    {
      const struct endpoint_end *completion = &report->ends[i];

      if (completion->number <= endpoint->completions_seen)
        continue;
      endpoint->completions_seen = completion->number;
      task_handle_completion (scheduler, endpoint, completion);
    }
}

/* Takes the report of an endpoint. */
static void
endpoint_handle_report (struct scheduler *scheduler, struct endpoint *endpoint,
                        const struct endpoint_report *report, uint64_t acked, int64_t sent_ms)
{
  bool was_fenced = endpoint->fenced;

  if (report->born_ms > 0 && report->born_ms != endpoint->born_ms)
    {
      bool first_contact = endpoint->born_ms == 0;

      endpoint_begin_incarnation (scheduler, endpoint, report->born_ms);
      /* The new life has not seen the fence that voids orders for the former one: what it says
       * counts from the next report on. */
      if (!first_contact)
        return;
      acked = 0;
    }
  if (endpoint->unresponsive_since_ms > 0)
    scheduler_log (scheduler, "endpoint answers again: endpoint=%s silent_ms=%" G_GINT64_FORMAT,
                   endpoint->id, scheduler->now_ms - endpoint->unresponsive_since_ms);
  endpoint->unresponsive_since_ms = 0;
  endpoint->down = false;
  endpoint->fenced = true;
  endpoint->clock_ms = report->clock_ms;
  endpoint->clock_read_ms = scheduler->now_ms;
  endpoint->completions_acked = MAX (endpoint->completions_acked, acked);
  /* The first lease is counted from what an earlier leader may have given at the latest. */
  if (!was_fenced)
    endpoint->lease_expiry_ms = scheduler_lease_expiry_ms (scheduler);
  endpoint_handle_completions (scheduler, endpoint, report);
  endpoint->n_unknown_attempts = 0;
  for (size_t i = 0; i < report->n_runs; i++)
    endpoint_handle_attempt (scheduler, endpoint, &report->runs[i], sent_ms);
  endpoint_release_unlisted (scheduler, endpoint, report, sent_ms);
  if (!was_fenced)
    scheduler_pool (scheduler, endpoint->pool)->changed = true;
}

/* An endpoint has answered a hold, or has not. */
void
scheduler_hold_done (struct scheduler *scheduler, struct endpoint *endpoint, uint64_t fence,
                     enum order_result result, const struct endpoint_report *report, uint64_t acked,
                     int64_t sent_ms, int64_t now_ms)
{
  scheduler->now_ms = now_ms;
  endpoint->calls--;
  endpoint->heartbeat_in_flight = false;
  if (result == ORDER_FENCED)
    {
      endpoint_command_fenced (scheduler, endpoint, fence, "a hold was fenced off");
      return;
    }
  /* Its fence was raised since: what it said may be of a former life. */
  if (result == ORDER_DONE && fence < endpoint->fence)
    return;
  if (result != ORDER_DONE || !report)
    {
      endpoint_set_unresponsive (scheduler, endpoint);
      endpoint->next_heartbeat_ms = now_ms + HEARTBEAT_RETRY_MS;
      return;
    }
  endpoint_handle_report (scheduler, endpoint, report, acked, sent_ms);
  endpoint->next_heartbeat_ms = now_ms + HEARTBEAT_GAP_MS;
  if (endpoint->completions_seen > endpoint->ends_durable)
    endpoint->next_heartbeat_ms = now_ms + HEARTBEAT_UNFLUSHED_MS;
  if (endpoint->n_best_effort > 0)
    endpoint_adjust_pace (scheduler, endpoint);
}
