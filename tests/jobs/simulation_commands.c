#include "simulation_state.h"

#include <string.h>

/* Commands in transit to endpoints and hosts, and their responses. */

void
event_destroy (gpointer data)
{
  struct event *event = data;

  g_free (event->name);
  g_free (event->pool);
  g_free (event);
}

/* Adds an event. */
struct event *
simulation_post (struct simulation *simulation, enum event_kind kind, int64_t after_ms)
{
  struct event *event = g_new0 (struct event, 1);

  event->kind = kind;
  event->due_ms = simulation->now_ms + after_ms;
  event->leader_generation = simulation->leader_generation;
  event->fence = simulation->epoch;
  event->sent_ms = simulation->now_ms;
  g_ptr_array_add (simulation->events, event);
  return event;
}

/* Creates a command to an endpoint. */
static struct event *
simulation_create_command (struct simulation *simulation, enum event_kind kind,
                           struct endpoint *endpoint)
{
  struct event *event = simulation_post (simulation, kind, RESPONSE_MS / 2);

  event->endpoint = endpoint;
  event->fence = endpoint->fence;
  event->target = simulation_find_endpoint (simulation, endpoint->id);
  g_assert (event->target);
  return event;
}

/* Adds the result of a command that gets no response. */
static void
simulation_post_unknown (struct simulation *simulation, const struct event *event, int64_t due_ms)
{
  struct event *unknown = g_memdup2 (event, sizeof *event);

  unknown->due_ms = due_ms;
  unknown->response = true;
  unknown->result = COMMAND_UNKNOWN;
  unknown->host_command_result = HOST_COMMAND_UNKNOWN;
  unknown->name = NULL;
  unknown->pool = NULL;
  g_ptr_array_add (simulation->events, unknown);
}

/* Makes a command late. If its endpoint becomes unreachable meanwhile, it is carried out all the
 * same in half of the cases. */
static void
simulation_delay_command (struct simulation *simulation, struct event *event)
{
  event->due_ms =
      simulation->now_ms + g_rand_int_range (simulation->random, LATE_MIN_MS, LATE_MAX_MS);
  event->passes_cut = !event->target->unreachable && g_rand_boolean (simulation->random);
}

/* Sends a command whose connection closes at once. It is carried out all the same in half of the
 * cases, late in a quarter and not at all in a quarter; what follows is rejected for a while. */
static void
simulation_send_closed (struct simulation *simulation, struct event *event)
{
  int fate = g_rand_int_range (simulation->random, 0, 4);

  simulation_post_unknown (simulation, event, simulation->now_ms + RESPONSE_MS);
  event->no_response = true;
  event->target->unhealthy_from_ms = simulation->now_ms + RESPONSE_MS;
  event->target->unhealthy_until_ms =
      event->target->unhealthy_from_ms + g_rand_int_range (simulation->random, 0, UNHEALTHY_MAX_MS);
  if (fate == 0)
    simulation_delay_command (simulation, event);
  else if (fate == 1)
    event->lost = true;
}

/* Sends a complete command. It gets no response if its endpoint is unreachable, and at random; at
 * random it is also carried out late. Without a response the sender's timeout is scheduled. */
static void
simulation_send_command (struct simulation *simulation, struct event *event)
{
  bool late;

  if (!event->target->unreachable && simulation_chance (simulation, simulation->closed_permille))
    {
      simulation_send_closed (simulation, event);
      return;
    }
  late = simulation_chance (simulation, simulation->late_permille);
  event->lost = event->kind == EVENT_HEARTBEAT && event->target->heartbeats_lost;
  event->no_response = late || event->lost ||
                       simulation_chance (simulation, simulation->lost_permille) ||
                       event->target->unreachable;
  if (late)
    simulation_delay_command (simulation, event);
  if (event->no_response)
    simulation_post_unknown (simulation, event,
                             MAX (event->wait_until_ms, simulation->now_ms) + TIMEOUT_MS);
}

/* Returns whether all steps that a task's step depends on are done. */
static bool
task_dependencies_are_done (const struct task *task)
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

/* Counts a start whose number was sent to another endpoint before. */
static void
simulation_check_number (struct simulation *simulation, const struct event *event)
{
  char *key = g_strdup_printf ("%s/%u", event->name, event->attempt);
  const char *endpoint = g_hash_table_lookup (simulation->sent_attempts, key);

  if (endpoint && strcmp (endpoint, event->endpoint->id) != 0)
    {
      simulation->reused_attempts++;
      simulation_log (simulation, "NUMBER SENT TO ANOTHER ENDPOINT: attempt=%s was=%s now=%s", key,
                      endpoint, event->endpoint->id);
    }
  g_hash_table_replace (simulation->sent_attempts, key, g_strdup (event->endpoint->id));
}

void
on_start (void *ctx, struct endpoint *endpoint, struct task *task, int64_t lease_end_ms)
{
  struct simulation *simulation = ctx;
  struct event *event = simulation_create_command (simulation, EVENT_START, endpoint);
  const Sp__JobStep *step = task_step (task);

  event->task = task;
  event->name = task_name (task);
  event->attempt = task->attempt;
  event->lease_end_ms = lease_end_ms;
  event->request = task_resources (task);
  event->long_running = step->long_running;
  event->spread_limit = step->spread_limit;
  event->target->start_commands++;
  simulation_check_number (simulation, event);
  simulation->starts_out_of_order += !task_dependencies_are_done (task);
  if (!task_dependencies_are_done (task))
    simulation_log (simulation, "OUT OF ORDER: task=%s", event->name);
  simulation_send_command (simulation, event);
}

void
on_stop (void *ctx, struct endpoint *endpoint, const char *task, uint32_t attempt,
         struct task *known)
{
  struct simulation *simulation = ctx;
  struct event *event = simulation_create_command (simulation, EVENT_STOP, endpoint);

  event->task = known;
  event->name = g_strdup (task);
  event->attempt = attempt;
  simulation_send_command (simulation, event);
}

void
on_heartbeat (void *ctx, struct endpoint *endpoint, int64_t lease_end_ms, int64_t wait_ms)
{
  struct simulation *simulation = ctx;
  struct event *event = simulation_create_command (simulation, EVENT_HEARTBEAT, endpoint);

  event->lease_end_ms = lease_end_ms;
  event->wait_until_ms = simulation->now_ms + wait_ms;
  event->acked = endpoint->completions_durable;
  simulation->lease_extensions += lease_end_ms > 0;
  simulation_send_command (simulation, event);
}

void
on_pace (void *ctx, struct endpoint *endpoint, struct task *task, int percent)
{
  struct simulation *simulation = ctx;
  struct event *event = simulation_create_command (simulation, EVENT_PACE, endpoint);

  event->task = task;
  event->percent = percent;
  simulation_send_command (simulation, event);
}

/* Creates a command to a host. Its connection may close at once; it is then carried out all the
 * same in half of the cases, late in a quarter and not at all in a quarter. */
static struct event *
simulation_create_host_command (struct simulation *simulation, enum event_kind kind,
                                struct host *host, uint32_t wave)
{
  struct event *event = simulation_post (simulation, kind, RESPONSE_MS);

  event->host = host;
  event->name = g_strdup (host->id);
  event->wave = wave;
  event->token = ++simulation->last_token;
  event->rejected = simulation_chance (simulation, simulation->host_rejected_permille);
  if (event->rejected || !simulation_chance (simulation, simulation->host_closed_permille))
    return event;
  simulation_post_unknown (simulation, event, simulation->now_ms + RESPONSE_MS);
  event->no_response = true;
  switch (g_rand_int_range (simulation->random, 0, 4))
    {
    case 0:
      event->due_ms = simulation->now_ms +
                      g_rand_int_range (simulation->random, HOST_LATE_MIN_MS, HOST_LATE_MAX_MS);
      break;
    case 1:
      event->lost = true;
      break;
    default:
      break;
    }
  return event;
}

void
on_move (void *ctx, struct host *host, const char *pool)
{
  simulation_create_host_command (ctx, EVENT_MOVE, host, 0)->pool = g_strdup (pool);
}

void
on_maintain (void *ctx, struct host *host, uint32_t wave)
{
  simulation_create_host_command (ctx, EVENT_MAINTAIN, host, wave);
}

void
on_wave (void *ctx, uint32_t wave, bool completed)
{
  struct simulation *simulation = ctx;

  (void) wave;
  simulation->wave_completed = simulation->wave_completed || completed;
}

void
on_superseded (void *ctx, const char *why)
{
  (void) why;
  ((struct simulation *) ctx)->superseded = true;
}

/* Passes the response to a heartbeat to the scheduler. */
static void
simulation_respond_to_heartbeat (struct simulation *simulation, const struct event *event)
{
  struct simulated_endpoint *endpoint = event->target;
  g_autofree struct endpoint_attempt *attempts =
      g_new0 (struct endpoint_attempt, endpoint->attempts->len + 1);
  g_autofree struct endpoint_completion *completions =
      g_new0 (struct endpoint_completion, endpoint->completions->len + 1);
  struct endpoint_report report = {
    .clock_ms = event->clock_ms,
    .born_ms = endpoint->born_ms,
    .attempts = attempts,
    .n_attempts = endpoint->attempts->len,
    .completions = completions,
    .n_completions = endpoint->completions->len,
  };
  enum command_result result = event->result;

  for (guint i = 0; i < endpoint->attempts->len; i++)
    {
      const struct simulated_attempt *attempt = g_ptr_array_index (endpoint->attempts, i);
      int64_t elapsed_ms = simulation->now_ms - attempt->start_ms;
      /* A test may have added an attempt without a duration. */
      int64_t work_ms = attempt->work_ms > 0 ? attempt->work_ms : simulation->work_ms;

      attempts[i] = (struct endpoint_attempt){
        .task = attempt->task,
        .attempt = attempt->attempt,
        .percent = attempt->long_running ? (elapsed_ms >= AVAILABLE_AFTER_MS ? 100 : 10)
                                         : (int) MIN (99, elapsed_ms * 100 / work_ms),
      };
    }
  for (guint i = 0; i < endpoint->completions->len; i++)
    {
      const struct simulated_completion *completion = g_ptr_array_index (endpoint->completions, i);

      completions[i] = (struct endpoint_completion){
        .number = completion->number,
        .task = completion->task,
        .attempt = completion->attempt,
        .outcome = completion->outcome,
      };
    }
  /* The connection of a response under way closes when the endpoint restarts. */
  if (event->result == COMMAND_DONE && event->born_ms != endpoint->born_ms)
    result = COMMAND_UNKNOWN;
  scheduler_heartbeat_done (simulation->scheduler, event->endpoint, event->fence, result,
                            result == COMMAND_DONE ? &report : NULL, event->acked, event->sent_ms,
                            simulation->now_ms);
}

/* Passes a response to the scheduler. Responses to a former leader are dropped. */
static void
simulation_deliver_response (struct simulation *simulation, const struct event *event)
{
  if (event->leader_generation != simulation->leader_generation)
    return;
  switch (event->kind)
    {
    case EVENT_START:
      scheduler_start_done (simulation->scheduler, event->endpoint, event->task, event->attempt,
                            event->fence, event->result,
                            event->result == COMMAND_UNKNOWN ? 0 : event->clock_ms,
                            simulation->now_ms);
      break;
    case EVENT_STOP:
      scheduler_stop_done (simulation->scheduler, event->endpoint, event->task, event->attempt,
                           event->fence, event->result, simulation->now_ms);
      break;
    case EVENT_HEARTBEAT:
      simulation_respond_to_heartbeat (simulation, event);
      break;
    case EVENT_PACE:
      scheduler_pace_done (simulation->scheduler, event->endpoint, event->task, event->percent,
                           event->fence, event->result);
      break;
    default:
      break;
    }
}

/* Handles a command to a host, or its result. A former leader's command is not carried out. */
static void
simulation_handle_host_command (struct simulation *simulation, const struct event *event)
{
  enum host_command_result result = event->host_command_result;

  if (event->leader_generation != simulation->leader_generation || event->lost)
    return;
  if (event->rejected)
    result = HOST_COMMAND_REFUSED;
  else if (!event->response)
    result = event->kind == EVENT_MOVE ? simulation_move_host (simulation, event)
                                       : simulation_maintain_host (simulation, event);
  if (event->no_response && !event->response)
    return;
  if (event->kind == EVENT_MOVE)
    scheduler_move_done (simulation->scheduler, event->host, result, simulation->now_ms);
  else
    scheduler_maintain_done (simulation->scheduler, event->host, event->wave, result,
                             simulation->now_ms);
}

/* Handles one event. The response to a command is added as a new event. */
static void
simulation_handle_event (struct simulation *simulation, struct event *event)
{
  struct event *next;

  switch (event->kind)
    {
    case EVENT_MOVE:
    case EVENT_MAINTAIN:
      simulation_handle_host_command (simulation, event);
      return;
    case EVENT_FLUSH:
      simulation_flush (simulation, event);
      return;
    default:
      break;
    }
  if (event->response)
    {
      simulation_deliver_response (simulation, event);
      return;
    }
  if (event->lost)
    return;
  if (event->kind == EVENT_HEARTBEAT && event->born_ms > 0 &&
      event->born_ms != event->target->born_ms)
    {
      /* The endpoint has restarted while it waited with its response. */
      event->result = COMMAND_UNKNOWN;
      event->response = true;
      if (!event->no_response)
        simulation_deliver_response (simulation, event);
      return;
    }
  if (event->kind == EVENT_HEARTBEAT && event->wait_until_ms > simulation->now_ms &&
      endpoint_receive_heartbeat (simulation, event))
    {
      /* The lease is renewed on arrival. The command is checked again later, until there is a
       * completion or its wait is over. */
      next = simulation_post (simulation, event->kind, PASS_MS);
      *next = (struct event){ .kind = EVENT_HEARTBEAT,
                              .due_ms = simulation->now_ms + PASS_MS,
                              .leader_generation = event->leader_generation,
                              .fence = event->fence,
                              .target = event->target,
                              .endpoint = event->endpoint,
                              .lease_end_ms = event->lease_end_ms,
                              .wait_until_ms = event->wait_until_ms,
                              .sent_ms = event->sent_ms,
                              .acked = event->acked,
                              .born_ms = event->target->born_ms,
                              .passes_cut = event->passes_cut,
                              .no_response = event->no_response };
      return;
    }
  event->result = endpoint_execute (simulation, event);
  if (event->no_response)
    return;
  next = simulation_post (simulation, event->kind, RESPONSE_MS / 2);
  if (event->kind == EVENT_START &&
      simulation_chance (simulation, simulation->slow_response_permille))
    next->due_ms += SLOW_RESPONSE_MS;
  {
    int64_t due_ms = next->due_ms;

    *next = *event;
    next->due_ms = due_ms;
    next->name = NULL;
    next->pool = NULL;
    next->response = true;
  }
}

/* Handles all events that are due, in the order of their times. */
void
simulation_handle_due_events (struct simulation *simulation)
{
  for (;;)
    {
      guint first = 0;
      struct event *event;

      if (simulation->events->len == 0)
        return;
      for (guint i = 1; i < simulation->events->len; i++)
        {
          const struct event *a = g_ptr_array_index (simulation->events, i);
          const struct event *b = g_ptr_array_index (simulation->events, first);

          if (a->due_ms < b->due_ms)
            first = i;
        }
      event = g_ptr_array_index (simulation->events, first);
      if (event->due_ms > simulation->now_ms)
        return;
      g_ptr_array_steal_index (simulation->events, first);
      simulation_handle_event (simulation, event);
      event_destroy (event);
    }
}
