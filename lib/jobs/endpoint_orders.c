#include "scheduler_state.h"

#include <string.h>

/* Leases of endpoints, and what their reports say. */

enum
{
  PERMILLE = 1000,
  /* The endpoints' clocks may be 2% slow. */
  SLOW_CLOCK_PERMILLE = 20,
  /* Time that an order may spend on its way. */
  LAPSE_MARGIN_MS = 300,
  /* How long an endpoint may keep a hold open until something ends there. Three of these fit into
   * the shortest lease of the settings. */
  HOLD_WAIT_MS = 800,
  /* Shorter where serving tasks share with filling ones, whose pace follows the figures. */
  HOLD_WAIT_SHARED_MS = 500,
  /* Ends that come together are taken by one hold. */
  HOLD_GAP_MS = 25,
  HOLD_RETRY_MS = 200,
  /* Time between looks while ends can't be made durable. */
  HOLD_UNFLUSHED_MS = 250,
  /* A task that shows no progress for this long stands still: even at seven times its usual length
   * a task of seconds shows a percent each 300 ms. */
  STALL_MS = 2500,
};

/* An endpoint has refused an order for its fence: another leader has taken over, unless the
 * endpoint's fence was raised after the order was sent. */
void
order_fenced (struct scheduler *scheduler, struct endpoint *endpoint, uint64_t fence,
              const char *why)
{
  if (fence >= endpoint->fence)
    scheduler_depose (scheduler, why);
  endpoint->next_hold_ms = scheduler->now_ms;
}

/* Notes that an endpoint does not answer. */
void
endpoint_set_silent (struct scheduler *scheduler, struct endpoint *endpoint)
{
  if (endpoint->silent_since_ms > 0)
    return;
  endpoint->silent_since_ms = scheduler->now_ms;
  scheduler_note (scheduler, "endpoint silent: endpoint=%s tasks=%u lapse_in_ms=%" G_GINT64_FORMAT,
                  endpoint->id, endpoint->n_tasks, endpoint->lapse_ms - scheduler->now_ms);
}

/* Tells whether an endpoint may get new tasks. */
bool
endpoint_is_usable (const struct scheduler *scheduler, const struct endpoint *endpoint)
{
  return endpoint->listed && endpoint->fenced && !endpoint->draining && !endpoint->cordoned &&
         !endpoint->yielding && endpoint->silent_since_ms == 0 && endpoint->n_strays == 0 &&
         scheduler->now_ms >= endpoint->avoid_until_ms;
}

/* Forgets what an endpoint has said, so that the next report counts from the start. */
static void
endpoint_forget_life (struct scheduler *scheduler, struct endpoint *endpoint)
{
  endpoint->fenced = false;
  endpoint->ends_seen = 0;
  endpoint->ends_flushing = 0;
  endpoint->ends_durable = 0;
  endpoint->ends_acked = 0;
  endpoint->lease_end_ms = 0;
  endpoint->clock_ms = 0;
  endpoint->failed_jobs = 0;
  endpoint->n_strays = 0;
  endpoint->next_hold_ms = scheduler->now_ms;
}

/* An endpoint has begun a new life. What ran in the former one is gone, but a start that was under
 * way may have reached the new one: its report tells. */
void
endpoint_begin_life (struct scheduler *scheduler, struct endpoint *endpoint, int64_t born_ms)
{
  if (endpoint->born_ms > 0)
    scheduler_note (scheduler,
                    "endpoint began a new life: endpoint=%s tasks=%u born_ms=%" G_GINT64_FORMAT,
                    endpoint->id, endpoint->n_tasks, born_ms);
  endpoint->born_ms = born_ms;
  endpoint->fence++;
  endpoint_forget_life (scheduler, endpoint);
}

/* Takes all tasks off an endpoint on which nothing of them can run any more. */
void
endpoint_reset (struct scheduler *scheduler, struct endpoint *endpoint, const char *why)
{
  scheduler_note (scheduler, "endpoint lost: endpoint=%s tasks=%u reason=\"%s\"", endpoint->id,
                  endpoint->n_tasks, why);
  while (!TAILQ_EMPTY (&endpoint->tasks))
    {
      scheduler->counts.lapses++;
      task_release (scheduler, TAILQ_FIRST (&endpoint->tasks));
    }
  endpoint->lapse_ms = 0;
  endpoint_forget_life (scheduler, endpoint);
}

/* Gives the moment of ours at which a lease that is given now has surely lapsed. */
static int64_t
scheduler_lapse_ms (const struct scheduler *scheduler)
{
  return scheduler->now_ms +
         scheduler->config.lease_ms * (PERMILLE + SLOW_CLOCK_PERMILLE) / PERMILLE + LAPSE_MARGIN_MS;
}

/* Gives a lease from now on the endpoint's clock and notes when it has surely lapsed. */
int64_t
endpoint_extend (struct scheduler *scheduler, struct endpoint *endpoint)
{
  int64_t lease_end_ms =
      endpoint_clock_at (endpoint, scheduler->now_ms) + scheduler->config.lease_ms;

  endpoint->lease_end_ms = MAX (endpoint->lease_end_ms, lease_end_ms);
  endpoint->lapse_ms = MAX (endpoint->lapse_ms, scheduler_lapse_ms (scheduler));
  return lease_end_ms;
}

/* Sends a hold: it extends the lease of all that runs there and waits for an end. */
static void
endpoint_send_hold (struct scheduler *scheduler, struct endpoint *endpoint)
{
  int64_t lease_end_ms = 0;
  int64_t wait_ms = 0;

  /* A hold without an answer may still arrive: one to a silent endpoint would put off the moment at
   * which its tasks have surely ended. */
  if (endpoint->fenced && endpoint->n_tasks > 0 && endpoint->silent_since_ms == 0)
    {
      lease_end_ms = endpoint_extend (scheduler, endpoint);
      if (endpoint->ends_seen == endpoint->ends_durable)
        wait_ms =
            endpoint->n_filling > 0 && endpoint->n_serving > 0 ? HOLD_WAIT_SHARED_MS : HOLD_WAIT_MS;
    }
  endpoint->hold_in_flight = true;
  endpoint->calls++;
  scheduler->ops.hold (scheduler->ops.ctx, endpoint, lease_end_ms, wait_ms);
}

/* Tells whether an endpoint is to be looked at. An idle one that owes nothing is left alone. */
static bool
endpoint_wants_hold (const struct endpoint *endpoint)
{
  if (!endpoint->address)
    return false;
  if (!endpoint->fenced || endpoint->n_tasks > 0 || endpoint->silent_since_ms > 0)
    return endpoint->listed || endpoint->n_tasks > 0;
  return endpoint->ends_acked < endpoint->ends_durable || endpoint->n_strays > 0;
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
  bool left = !endpoint->listed && endpoint->draining && endpoint->silent_since_ms > 0;

  if (endpoint->n_tasks > 0 && endpoint->silent_since_ms > 0 &&
      (left || scheduler->now_ms > endpoint->lapse_ms))
    endpoint_reset (scheduler, endpoint, left ? "left" : "lease lapsed");
  if (endpoint->n_tasks > 0)
    endpoint_stop_stalled (scheduler, endpoint);
  if (!endpoint->hold_in_flight && scheduler->now_ms >= endpoint->next_hold_ms &&
      endpoint_wants_hold (endpoint))
    endpoint_send_hold (scheduler, endpoint);
}

/* Tells whether a run that this leader did not start is to be taken over: nothing else is known to
 * run of its task. One of a job that is over is taken over as well, to be stopped. */
static bool
run_is_adoptable (const struct task *task, const struct endpoint_run *run)
{
  return task && task->job->scheduled && !task->done && !task->endpoint &&
         run->attempt > task->ended_attempt;
}

/* Takes one run that an endpoint lists. A run that should not be is stopped. */
static void
endpoint_take_run (struct scheduler *scheduler, struct endpoint *endpoint,
                   const struct endpoint_run *run, int64_t sent_ms)
{
  struct task *task = scheduler_find_task (scheduler, run->task);

  if (run_is_adoptable (task, run))
    {
      task_adopt (scheduler, task, endpoint, run, sent_ms);
      if (job_is_over (task->job))
        task_stop (scheduler, task, "its job is over");
    }
  if (!task || task->endpoint != endpoint || task->attempt != run->attempt)
    {
      endpoint->n_strays++;
      endpoint->calls++;
      scheduler->counts.stops++;
      scheduler->ops.stop (scheduler->ops.ctx, endpoint, run->task, run->attempt, NULL);
      return;
    }
  if (task->phase == TASK_STARTING)
    task_set_phase (scheduler, task, TASK_RUNNING);
  task_set_checkpoint (task, run->checkpoint);
  task->load = run->load;
  if (run->percent != task->progress_percent)
    {
      task->progress_percent = run->percent;
      task->progress_ms = scheduler->now_ms;
    }
  if (task->phase == TASK_RUNNING)
    task->confirmed_ms = MAX (task->confirmed_ms, sent_ms);
}

/* Tells whether a report lists a task's run. */
static bool
report_lists (const struct endpoint_report *report, const struct task *task)
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
endpoint_release_missing (struct scheduler *scheduler, struct endpoint *endpoint,
                          const struct endpoint_report *report, int64_t sent_ms)
{
  struct task *task = TAILQ_FIRST (&endpoint->tasks);

  while (task)
    {
      struct task *next = TAILQ_NEXT (task, endpoint_link);
      bool settled = task->phase == TASK_RUNNING || task->phase == TASK_STOPPING;

      if (settled && task->confirmed_ms > 0 && task->confirmed_ms < sent_ms &&
          !report_lists (report, task))
        {
          scheduler->counts.lapses++;
          scheduler_note (scheduler,
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
endpoint_take_ends (struct scheduler *scheduler, struct endpoint *endpoint,
                    const struct endpoint_report *report)
{
  for (size_t i = 0; i < report->n_ends; i++)
    {
      const struct endpoint_end *end = &report->ends[i];

      if (end->number <= endpoint->ends_seen)
        continue;
      endpoint->ends_seen = end->number;
      task_take_end (scheduler, endpoint, end);
    }
}

/* Takes the report of an endpoint. */
static void
endpoint_take_report (struct scheduler *scheduler, struct endpoint *endpoint,
                      const struct endpoint_report *report, uint64_t acked, int64_t sent_ms)
{
  bool was_fenced = endpoint->fenced;

  if (report->born_ms > 0 && report->born_ms != endpoint->born_ms)
    {
      bool first_contact = endpoint->born_ms == 0;

      endpoint_begin_life (scheduler, endpoint, report->born_ms);
      /* The new life has not seen the fence that voids orders for the former one: what it says
       * counts from the next report on. */
      if (!first_contact)
        return;
      acked = 0;
    }
  if (endpoint->silent_since_ms > 0)
    scheduler_note (scheduler, "endpoint answers again: endpoint=%s silent_ms=%" G_GINT64_FORMAT,
                    endpoint->id, scheduler->now_ms - endpoint->silent_since_ms);
  endpoint->silent_since_ms = 0;
  endpoint->down = false;
  endpoint->fenced = true;
  endpoint->clock_ms = report->clock_ms;
  endpoint->clock_read_ms = scheduler->now_ms;
  endpoint->ends_acked = MAX (endpoint->ends_acked, acked);
  /* The first lease is counted from what an earlier leader may have given at the latest. */
  if (!was_fenced)
    endpoint->lapse_ms = scheduler_lapse_ms (scheduler);
  endpoint_take_ends (scheduler, endpoint, report);
  endpoint->n_strays = 0;
  for (size_t i = 0; i < report->n_runs; i++)
    endpoint_take_run (scheduler, endpoint, &report->runs[i], sent_ms);
  endpoint_release_missing (scheduler, endpoint, report, sent_ms);
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
  endpoint->hold_in_flight = false;
  if (result == ORDER_FENCED)
    {
      order_fenced (scheduler, endpoint, fence, "a hold was fenced off");
      return;
    }
  /* Its fence was raised since: what it said may be of a former life. */
  if (result == ORDER_DONE && fence < endpoint->fence)
    return;
  if (result != ORDER_DONE || !report)
    {
      endpoint_set_silent (scheduler, endpoint);
      endpoint->next_hold_ms = now_ms + HOLD_RETRY_MS;
      return;
    }
  endpoint_take_report (scheduler, endpoint, report, acked, sent_ms);
  endpoint->next_hold_ms = now_ms + HOLD_GAP_MS;
  if (endpoint->ends_seen > endpoint->ends_durable)
    endpoint->next_hold_ms = now_ms + HOLD_UNFLUSHED_MS;
  if (endpoint->n_filling > 0)
    endpoint_pace (scheduler, endpoint);
}
