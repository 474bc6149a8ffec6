#include "scheduler_state.h"

/* Attempts that are lost with their endpoint, and what is known of each at the loss. */

enum
{
  /* An endpoint that runs on for this long after it started an attempt did not crash because of the
   * start. */
  START_SURVIVED_MS = 200,
};

/* Returns whether an endpoint that was last seen when its clock showed clock_ms has outlived the
 * start of a task's current attempt. Both times are of the endpoint's clock, so that it doesn't
 * matter how late this process handles a response. */
bool
task_start_is_survived (const struct task *task, int64_t clock_ms)
{
  return task->start_survived || (task->started_clock_ms >= 0 && clock_ms > 0 &&
                                  clock_ms - task->started_clock_ms >= START_SURVIVED_MS);
}

/* Records that a task's current attempt runs on its endpoint, whose clock shows clock_ms. */
void
task_note_running (struct scheduler *scheduler, struct task *task, int64_t clock_ms)
{
  if (task->started_clock_ms < 0)
    task->started_clock_ms = clock_ms;
  task->start_survived = task_start_is_survived (task, clock_ms);
  if (task->start_survived)
    task_end_suspicion (scheduler, task);
}

/* Returns how an endpoint ended that no host runs any longer. One that drains or whose host is to
 * be moved or maintained may have been ended by that. */
enum endpoint_end
endpoint_unplanned_end (const struct endpoint *endpoint)
{
  return endpoint->draining || endpoint->cordoned ? ENDPOINT_END_PLANNED : ENDPOINT_END_CRASH;
}

/* Returns the name of an end as shown in the log. */
static const char *
endpoint_end_name (enum endpoint_end end)
{
  static const char *const names[] = { "crash", "planned", "unknown" };

  return names[end];
}

/* Records the loss of a task's current attempt, once. */
static void
task_record_loss (struct scheduler *scheduler, struct task *task, enum endpoint_end end)
{
  const struct endpoint *endpoint = task->endpoint;

  if (task->lost_attempt == task->attempt)
    return;
  task->lost_attempt = task->attempt;
  task->start_survived = task_start_is_survived (task, endpoint->clock_ms);
  scheduler->counts.attempts_lost[end]++;
  scheduler_log (scheduler,
                 "attempt lost: task=%s.%u.%u.%u attempt=%u endpoint=%s born_ms=%" G_GINT64_FORMAT
                 " end=%s start_survived=%d starts_unanswered=%u since_start_ms=%" G_GINT64_FORMAT,
                 task->job->id, task->occurrence, task->step, task->index, task->attempt,
                 endpoint->id, endpoint->born_ms, endpoint_end_name (end), task->start_survived,
                 task->starts_unanswered, scheduler->now_ms - task->start_sent_ms);
  if (!task->start_survived)
    task_count_loss (scheduler, task, end);
  else
    task_end_suspicion (scheduler, task);
}

/* Stores what is known of an endpoint's attempts when it is found to have restarted. A start in
 * transit may have reached the new incarnation, whose clock is another one. */
void
endpoint_note_restart (struct endpoint *endpoint)
{
  struct task *task;

  endpoint->former_end_planned =
      endpoint->former_end_planned || endpoint_unplanned_end (endpoint) == ENDPOINT_END_PLANNED;
  TAILQ_FOREACH (task, &endpoint->tasks, endpoint_link)
    {
      task->start_survived = task_start_is_survived (task, endpoint->clock_ms);
      task->started_clock_ms = -1;
      task->endpoint_restarted = true;
    }
}

/* Records the loss of the attempts of a former incarnation, once a report shows that they don't run
 * on the present one. */
void
endpoint_record_restart_losses (struct scheduler *scheduler, struct endpoint *endpoint)
{
  enum endpoint_end end = endpoint->former_end_planned || endpoint->cordoned ? ENDPOINT_END_PLANNED
                                                                             : ENDPOINT_END_CRASH;
  struct task *task;
  bool any = false;

  endpoint->former_end_planned = false;
  TAILQ_FOREACH (task, &endpoint->tasks, endpoint_link)
    any = any || task->endpoint_restarted;
  if (!any)
    return;
  if (end == ENDPOINT_END_CRASH)
    scheduler_record_crash (scheduler, endpoint);
  TAILQ_FOREACH (task, &endpoint->tasks, endpoint_link)
    {
      if (task->endpoint_restarted)
        task_record_loss (scheduler, task, end);
    }
}

/* Records the loss of all attempts on an endpoint that has ended, or whose lease has expired
 * without a sign of life. The caller resets what is known of the incarnation afterwards. */
void
endpoint_record_losses (struct scheduler *scheduler, struct endpoint *endpoint,
                        enum endpoint_end end)
{
  struct task *task;

  TAILQ_FOREACH (task, &endpoint->tasks, endpoint_link)
    task_record_loss (scheduler, task, end);
}
