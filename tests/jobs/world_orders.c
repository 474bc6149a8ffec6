#include "world_state.h"

#include <string.h>

/* Orders on their way to endpoints and hosts, and their answers. */

void
event_destroy (gpointer data)
{
  struct event *event = data;

  g_free (event->name);
  g_free (event->pool);
  g_free (event);
}

/* Puts an event in. */
struct event *
world_post (struct world *world, enum event_kind kind, int64_t after_ms)
{
  struct event *event = g_new0 (struct event, 1);

  event->kind = kind;
  event->due_ms = world->now_ms + after_ms;
  event->generation = world->generation;
  event->fence = world->epoch;
  event->sent_ms = world->now_ms;
  g_ptr_array_add (world->events, event);
  return event;
}

/* Begins an order to an endpoint. */
static struct event *
world_order (struct world *world, enum event_kind kind, struct endpoint *endpoint)
{
  struct event *event = world_post (world, kind, ANSWER_MS / 2);

  event->endpoint = endpoint;
  event->fence = endpoint->fence;
  event->target = world_endpoint (world, endpoint->id);
  g_assert (event->target);
  return event;
}

/* Sends an order that is complete: it may get no answer, and may come late. Then its sender's time
 * runs out. */
static void
world_send (struct world *world, struct event *event)
{
  bool late = world_chance (world, world->late_permille);
  struct event *timeout;

  event->silent = late || world_chance (world, world->lost_permille) || event->target->dark;
  if (late)
    event->due_ms = world->now_ms + g_rand_int_range (world->random, LATE_MIN_MS, LATE_MAX_MS);
  if (!event->silent)
    return;
  timeout = g_memdup2 (event, sizeof *event);
  timeout->due_ms = MAX (event->wait_until_ms, world->now_ms) + TIMEOUT_MS;
  timeout->answer = true;
  timeout->result = ORDER_UNKNOWN;
  timeout->name = NULL;
  timeout->pool = NULL;
  g_ptr_array_add (world->events, timeout);
}

/* Tells whether all steps that a task's step depends on are done. */
static bool
task_is_in_order (const struct task *task)
{
  const Sp__JobStep *step = task_step (task);

  for (size_t i = 0; i < step->n_prerequisites; i++)
    {
      const Sp__JobStep *before = task->job->definition->steps[step->prerequisites[i]];

      for (uint32_t n = 0; n < before->n_tasks; n++)
        {
          if (!job_task (task->job, task->occurrence, step->prerequisites[i], n)->done)
            return false;
        }
    }
  return true;
}

void
on_start (void *ctx, struct endpoint *endpoint, struct task *task, int64_t lease_end_ms)
{
  struct world *world = ctx;
  struct event *event = world_order (world, EVENT_START, endpoint);
  const Sp__JobStep *step = task_step (task);

  event->task = task;
  event->name = task_name (task);
  event->attempt = task->attempt;
  event->lease_end_ms = lease_end_ms;
  event->need = task_resources (task);
  event->long_running = step->long_running;
  event->spread_limit = step->spread_limit;
  world->out_of_order += !task_is_in_order (task);
  if (!task_is_in_order (task))
    world_note (world, "OUT OF ORDER: task=%s", event->name);
  world_send (world, event);
}

void
on_stop (void *ctx, struct endpoint *endpoint, const char *task, uint32_t attempt,
         struct task *known)
{
  struct world *world = ctx;
  struct event *event = world_order (world, EVENT_STOP, endpoint);

  event->task = known;
  event->name = g_strdup (task);
  event->attempt = attempt;
  world_send (world, event);
}

void
on_hold (void *ctx, struct endpoint *endpoint, int64_t lease_end_ms, int64_t wait_ms)
{
  struct world *world = ctx;
  struct event *event = world_order (world, EVENT_HOLD, endpoint);

  event->lease_end_ms = lease_end_ms;
  event->wait_until_ms = world->now_ms + wait_ms;
  event->acked = endpoint->ends_durable;
  world->holds_with_lease += lease_end_ms > 0;
  world_send (world, event);
}

void
on_pace (void *ctx, struct endpoint *endpoint, struct task *task, int percent)
{
  struct world *world = ctx;
  struct event *event = world_order (world, EVENT_PACE, endpoint);

  event->task = task;
  event->percent = percent;
  world_send (world, event);
}

void
on_move (void *ctx, struct host *host, const char *pool)
{
  struct event *event = world_post (ctx, EVENT_MOVE, ANSWER_MS);

  event->host = host;
  event->pool = g_strdup (pool);
}

void
on_maintain (void *ctx, struct host *host, uint32_t wave)
{
  struct event *event = world_post (ctx, EVENT_MAINTAIN, ANSWER_MS);

  event->host = host;
  event->wave = wave;
}

void
on_wave (void *ctx, uint32_t wave, bool completed)
{
  struct world *world = ctx;

  (void) wave;
  world->wave_completed = world->wave_completed || completed;
}

void
on_deposed (void *ctx, const char *why)
{
  (void) why;
  ((struct world *) ctx)->deposed = true;
}

/* Gives the scheduler the answer to a hold. */
static void
world_answer_hold (struct world *world, const struct event *event)
{
  struct world_endpoint *endpoint = event->target;
  g_autofree struct endpoint_run *runs = g_new0 (struct endpoint_run, endpoint->runs->len + 1);
  g_autofree struct endpoint_end *ends = g_new0 (struct endpoint_end, endpoint->ends->len + 1);
  struct endpoint_report report = {
    .clock_ms = world->now_ms,
    .born_ms = endpoint->born_ms,
    .runs = runs,
    .n_runs = endpoint->runs->len,
    .ends = ends,
    .n_ends = endpoint->ends->len,
  };

  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      const struct world_run *run = g_ptr_array_index (endpoint->runs, i);
      int64_t spent_ms = world->now_ms - run->start_ms;

      runs[i] = (struct endpoint_run){
        .task = run->task,
        .attempt = run->attempt,
        .percent = run->long_running ? (spent_ms >= AT_WORK_MS ? 100 : 10)
                                     : (int) MIN (99, spent_ms * 100 / world->work_ms),
      };
    }
  for (guint i = 0; i < endpoint->ends->len; i++)
    {
      const struct world_end *end = g_ptr_array_index (endpoint->ends, i);

      ends[i] = (struct endpoint_end){
        .number = end->number,
        .task = end->task,
        .attempt = end->attempt,
        .how = end->how,
      };
    }
  scheduler_hold_done (world->scheduler, event->endpoint, event->fence, event->result,
                       event->result == ORDER_DONE ? &report : NULL, event->acked, event->sent_ms,
                       world->now_ms);
}

/* Gives the scheduler an answer. Those to a former leader go nowhere. */
static void
world_answer (struct world *world, const struct event *event)
{
  if (event->generation != world->generation)
    return;
  switch (event->kind)
    {
    case EVENT_START:
      scheduler_start_done (world->scheduler, event->endpoint, event->task, event->attempt,
                            event->fence, event->result,
                            event->result == ORDER_UNKNOWN ? 0 : world->now_ms, world->now_ms);
      break;
    case EVENT_STOP:
      scheduler_stop_done (world->scheduler, event->endpoint, event->task, event->attempt,
                           event->fence, event->result, world->now_ms);
      break;
    case EVENT_HOLD:
      world_answer_hold (world, event);
      break;
    case EVENT_PACE:
      scheduler_pace_done (world->scheduler, event->endpoint, event->task, event->percent,
                           event->fence, event->result);
      break;
    default:
      break;
    }
}

/* Deals with one event. An order's answer is posted anew. */
static void
world_deal (struct world *world, struct event *event)
{
  struct event *answer;

  switch (event->kind)
    {
    case EVENT_MOVE:
      world_move (world, event);
      return;
    case EVENT_MAINTAIN:
      world_maintain (world, event);
      return;
    case EVENT_FLUSH:
      world_flush (world, event);
      return;
    default:
      break;
    }
  if (event->answer)
    {
      world_answer (world, event);
      return;
    }
  if (event->kind == EVENT_HOLD && event->wait_until_ms > world->now_ms && event->target->up &&
      !event->target->dark && event->target->ends->len == 0)
    {
      /* The lease counts from the arrival; the answer waits for an end. */
      event->target->lease_end_ms = MAX (event->target->lease_end_ms, event->lease_end_ms);
      answer = world_post (world, event->kind, TURN_MS);
      *answer = (struct event){ .kind = EVENT_HOLD,
                                .due_ms = world->now_ms + TURN_MS,
                                .generation = event->generation,
                                .fence = event->fence,
                                .target = event->target,
                                .endpoint = event->endpoint,
                                .lease_end_ms = event->lease_end_ms,
                                .wait_until_ms = event->wait_until_ms,
                                .sent_ms = event->sent_ms,
                                .acked = event->acked,
                                .silent = event->silent };
      return;
    }
  event->result = endpoint_obey (world, event);
  if (event->silent)
    return;
  answer = world_post (world, event->kind, ANSWER_MS / 2);
  {
    int64_t due_ms = answer->due_ms;

    *answer = *event;
    answer->due_ms = due_ms;
    answer->name = NULL;
    answer->pool = NULL;
    answer->answer = true;
  }
}

/* Deals with all events that are due, in the order of their times. */
void
world_deal_due (struct world *world)
{
  for (;;)
    {
      guint first = 0;
      struct event *event;

      if (world->events->len == 0)
        return;
      for (guint i = 1; i < world->events->len; i++)
        {
          const struct event *a = g_ptr_array_index (world->events, i);
          const struct event *b = g_ptr_array_index (world->events, first);

          if (a->due_ms < b->due_ms)
            first = i;
        }
      event = g_ptr_array_index (world->events, first);
      if (event->due_ms > world->now_ms)
        return;
      g_ptr_array_steal_index (world->events, first);
      world_deal (world, event);
      event_destroy (event);
    }
}
