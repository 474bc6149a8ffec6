#include "scheduler_state.h"

/* Pace of best-effort tasks that share an endpoint with serving tasks. They raise the tail latency
 * of the serving tasks by an amount that is unknown and changes, so the pace is halved when the
 * latency comes near its target and raised in steps when it is well below. */

enum
{
  PERMILLE = 1000,
  /* Latency figures are rough and half a second old, so the pace is reduced before the target is
   * exceeded. */
  DECREASE_ABOVE_PERMILLE = 850,
  /* Share to which the pace is reduced, and percentage points by which it is raised. */
  INCREASE_BELOW_PERMILLE = 650,
  DECREASE_PERMILLE = 500,
  INCREASE_PERCENT = 10,
  PERCENT_MAX = 100,
};

/* Returns the highest tail latency of the endpoint's serving tasks in thousandths of its target. */
static int
endpoint_worst_latency_permille (const struct endpoint *endpoint)
{
  const struct task *task;
  int worst = 0;

  TAILQ_FOREACH (task, &endpoint->tasks, endpoint_link)
    {
      const Sp__JobStep *step = task_step (task);

      if (step->fills || step->target_ms == 0 || task->phase != TASK_RUNNING)
        continue;
      worst = MAX (worst, (int) ((int64_t) task->load * PERMILLE / step->target_ms));
    }
  return worst;
}

/* Sends a task's pace to its endpoint if it differs from the last acknowledged one. */
static void
task_send_pace (struct scheduler *scheduler, struct task *task)
{
  if (task->phase != TASK_RUNNING || task->pace_in_flight ||
      task->pace_percent == task->pace_acknowledged_percent)
    return;
  task->pace_in_flight = true;
  task->job->n_commands++;
  task->endpoint->calls++;
  scheduler->ops.pace (scheduler->ops.ctx, task->endpoint, task, task->pace_percent);
}

/* Adjusts the pace of an endpoint's best-effort tasks to the reported latencies. */
void
endpoint_adjust_pace (struct scheduler *scheduler, struct endpoint *endpoint)
{
  int latency_permille = endpoint_worst_latency_permille (endpoint);
  struct task *task;

  TAILQ_FOREACH (task, &endpoint->tasks, endpoint_link)
    {
      if (!task_step (task)->fills)
        continue;
      if (latency_permille > DECREASE_ABOVE_PERMILLE)
        task->pace_percent = task->pace_percent * DECREASE_PERMILLE / PERMILLE;
      else if (latency_permille < INCREASE_BELOW_PERMILLE)
        task->pace_percent = MIN (task->pace_percent + INCREASE_PERCENT, PERCENT_MAX);
      task_send_pace (scheduler, task);
    }
}

/* Handles the response to a pace command; result is not COMMAND_DONE on failure. */
void
scheduler_pace_done (struct scheduler *scheduler, struct endpoint *endpoint, struct task *task,
                     int percent, uint64_t fence, enum command_result result)
{
  endpoint->calls--;
  task->pace_in_flight = false;
  task->job->n_commands--;
  if (result == COMMAND_FENCED)
    endpoint_command_fenced (scheduler, endpoint, fence,
                             "pace command rejected: the endpoint holds a newer fence");
  if (result == COMMAND_DONE && task->endpoint == endpoint)
    task->pace_acknowledged_percent = percent;
}
