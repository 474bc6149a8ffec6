#include "scheduler_state.h"

/* How fast the tasks that fill may work beside those that serve. A serving task's tail latency
 * rises with the load beside it by an amount that is not known and changes: multiplicative decrease
 * above the target, additive increase well below it. */

enum
{
  PERMILLE = 1000,
  /* Decrease starts before the target is passed: figures are rough and half a second old. */
  DECREASE_ABOVE_PERMILLE = 850,
  INCREASE_BELOW_PERMILLE = 650,
  DECREASE_PERMILLE = 500,
  INCREASE_PERCENT = 10,
  PERCENT_MAX = 100,
};

/* Gives the worst tail latency on the endpoint against its target, in thousandths. */
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

/* Orders a task's pace if it differs from what was ordered. */
static void
task_send_pace (struct scheduler *scheduler, struct task *task)
{
  if (task->phase != TASK_RUNNING || task->pace_in_flight ||
      task->pace_percent == task->pace_acknowledged_percent)
    return;
  task->pace_in_flight = true;
  task->endpoint->calls++;
  scheduler->ops.pace (scheduler->ops.ctx, task->endpoint, task, task->pace_percent);
}

/* Adapts the pace of the filling tasks on an endpoint to its last figures. */
void
endpoint_adjust_pace (struct scheduler *scheduler, struct endpoint *endpoint)
{
  int tail = endpoint_worst_latency_permille (endpoint);
  struct task *task;

  TAILQ_FOREACH (task, &endpoint->tasks, endpoint_link)
    {
      if (!task_step (task)->fills)
        continue;
      if (tail > DECREASE_ABOVE_PERMILLE)
        task->pace_percent = task->pace_percent * DECREASE_PERMILLE / PERMILLE;
      else if (tail < INCREASE_BELOW_PERMILLE)
        task->pace_percent = MIN (task->pace_percent + INCREASE_PERCENT, PERCENT_MAX);
      task_send_pace (scheduler, task);
    }
}

/* An endpoint has answered an order of pace, or has not. */
void
scheduler_pace_done (struct scheduler *scheduler, struct endpoint *endpoint, struct task *task,
                     int percent, uint64_t fence, enum order_result result)
{
  endpoint->calls--;
  task->pace_in_flight = false;
  if (result == ORDER_FENCED)
    endpoint_command_fenced (scheduler, endpoint, fence, "an order of pace was fenced off");
  if (result == ORDER_DONE && task->endpoint == endpoint)
    task->pace_acknowledged_percent = percent;
}
