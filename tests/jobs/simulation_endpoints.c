#include "simulation_state.h"

#include <string.h>

/* Endpoints with their attempts, leases, fences and completions, and the counts of violations
 * there. */

void
attempt_destroy (gpointer data)
{
  struct simulated_attempt *attempt = data;

  g_free (attempt->task);
  g_free (attempt);
}

void
completion_destroy (gpointer data)
{
  struct simulated_completion *completion = data;

  g_free (completion->task);
  g_free (completion);
}

struct simulated_endpoint *
simulation_find_attempt (struct simulation *simulation, const char *task,
                         struct simulated_attempt **found)
{
  for (guint i = 0; i < simulation->endpoints->len; i++)
    {
      struct simulated_endpoint *endpoint = g_ptr_array_index (simulation->endpoints, i);

      for (guint r = 0; r < endpoint->attempts->len; r++)
        {
          struct simulated_attempt *attempt = g_ptr_array_index (endpoint->attempts, r);

          if (strcmp (attempt->task, task) != 0)
            continue;
          if (found)
            *found = attempt;
          return endpoint;
        }
    }
  return NULL;
}

/* Completes an attempt. */
static void
endpoint_complete_attempt (struct simulation *simulation, struct simulated_endpoint *endpoint,
                           guint position, enum attempt_outcome outcome)
{
  struct simulated_attempt *attempt = g_ptr_array_index (endpoint->attempts, position);
  struct simulated_completion *completion = g_new (struct simulated_completion, 1);
  uint32_t ended = GPOINTER_TO_UINT (g_hash_table_lookup (endpoint->ended_attempts, attempt->task));

  if (outcome == ATTEMPT_FAILED)
    {
      gpointer failures = g_hash_table_lookup (simulation->failures, attempt->task);

      g_hash_table_replace (simulation->failures, g_strdup (attempt->task),
                            GUINT_TO_POINTER (GPOINTER_TO_UINT (failures) + 1));
    }
  *completion = (struct simulated_completion){
    .number = ++endpoint->last_completion,
    .task = g_strdup (attempt->task),
    .attempt = attempt->attempt,
    .outcome = outcome,
  };
  g_ptr_array_add (endpoint->completions, completion);
  g_hash_table_replace (endpoint->ended_attempts, g_strdup (attempt->task),
                        GUINT_TO_POINTER (MAX (ended, attempt->attempt)));
  g_ptr_array_remove_index (endpoint->attempts, position);
}

/* Returns whether two names are of tasks of the same step. */
static bool
names_share_step (const char *a, const char *b)
{
  size_t step_len = (size_t) (strrchr (a, '.') - a);

  return strncmp (a, b, step_len + 1) == 0;
}

/* Ends the other members of a gang one of which is lost. */
void
simulation_end_gang (struct simulation *simulation, const char *name)
{
  const struct task *task = simulation_find_task (simulation, name);

  if (!task || !task_step (task)->gang)
    return;
  for (guint i = 0; i < simulation->endpoints->len; i++)
    {
      struct simulated_endpoint *endpoint = g_ptr_array_index (simulation->endpoints, i);
      guint position = 0;

      while (position < endpoint->attempts->len)
        {
          const struct simulated_attempt *attempt =
              g_ptr_array_index (endpoint->attempts, position);

          if (names_share_step (name, attempt->task))
            endpoint_complete_attempt (simulation, endpoint, position, ATTEMPT_GANG_ENDED);
          else
            position++;
        }
    }
}

/* Renews an endpoint's lease, which never becomes shorter. */
static void
endpoint_renew_lease (const struct simulation *simulation, struct simulated_endpoint *endpoint,
                      int64_t lease_end_ms)
{
  int64_t limit_ms = simulated_endpoint_clock_ms (simulation, endpoint) + LEASE_LIMIT_MS;

  endpoint->lease_end_ms = MAX (endpoint->lease_end_ms, MIN (lease_end_ms, limit_ms));
}

/* Ends the attempts of an endpoint whose lease has expired, and those whose duration is over. */
void
endpoint_advance_attempts (struct simulation *simulation, struct simulated_endpoint *endpoint)
{
  guint position = 0;

  while (endpoint->up && position < endpoint->attempts->len)
    {
      const struct simulated_attempt *attempt = g_ptr_array_index (endpoint->attempts, position);

      if (simulated_endpoint_clock_ms (simulation, endpoint) > endpoint->lease_end_ms)
        endpoint_complete_attempt (simulation, endpoint, position, ATTEMPT_LAPSED);
      else if (simulation->now_ms >= attempt->end_ms)
        endpoint_complete_attempt (
            simulation, endpoint, position,
            attempt->stopping ? ATTEMPT_STOPPED : (attempt->fails ? ATTEMPT_FAILED : ATTEMPT_DONE));
      else
        position++;
    }
}

/* Counts the violations that a start causes. */
static void
simulation_check_start (struct simulation *simulation, struct simulated_endpoint *endpoint,
                        const struct event *event)
{
  struct resources used = event->request;
  const struct task *task = simulation_find_task (simulation, event->name);
  unsigned same_step = 1;

  struct simulated_endpoint *other = simulation_find_attempt (simulation, event->name, NULL);

  simulation->starts++;
  simulation->duplicate_starts += other != NULL;
  simulation_log (simulation,
                  "start: task=%s attempt=%u endpoint=%s fence=%" G_GUINT64_FORMAT
                  " sent=%" G_GINT64_FORMAT "%s%s",
                  event->name, event->attempt, endpoint->id, event->fence, event->sent_ms,
                  other ? " DUPLICATE of an attempt on " : "", other ? other->id : "");
  if (task)
    {
      const char *label = task_step (task)->required_label;

      simulation->wrong_label += label[0] != '\0' && strcmp (label, endpoint->kind) != 0 &&
                                 strcmp (label, endpoint->rack) != 0;
      simulation->started_after_done += task->done;
      if (task->done)
        simulation_log (simulation, "STARTED AFTER DONE: task=%s", event->name);
      simulation->over_attempts += task->job->definition->max_attempts > 0 &&
                                   !event->long_running &&
                                   task->n_failed >= task->job->definition->max_attempts;
    }
  for (guint i = 0; i < endpoint->attempts->len; i++)
    {
      const struct simulated_attempt *attempt = g_ptr_array_index (endpoint->attempts, i);
      used.cpu_milli += attempt->request.cpu_milli;
      used.memory_mb += attempt->request.memory_mb;
      same_step += names_share_step (event->name, attempt->task);
    }
  simulation->over_capacity += used.cpu_milli > endpoint->capacity.cpu_milli ||
                               used.memory_mb > endpoint->capacity.memory_mb;
  if (used.cpu_milli > endpoint->capacity.cpu_milli ||
      used.memory_mb > endpoint->capacity.memory_mb)
    simulation_log (simulation, "OVER CAPACITY: endpoint=%s attempts=%u", endpoint->id,
                    endpoint->attempts->len);
  simulation_check_cap (simulation, event);
  simulation->over_spread += event->spread_limit > 0 && same_step > event->spread_limit;
}

/* Makes an endpoint crash that starts a task of those that crash their endpoints. Starts of former
 * leaders don't count against the limit of starts after three crashes. */
static void
endpoint_check_crashing_task (struct simulation *simulation, struct simulated_endpoint *endpoint,
                              const struct event *event)
{
  struct crashing_task *crashing = g_hash_table_lookup (simulation->crashing_tasks, event->name);

  if (!crashing)
    return;
  if (endpoint->crash_ms == 0)
    endpoint->crash_ms = simulation->now_ms + CRASH_AFTER_MS;
  if (crashing->crashes < CRASHES_BEFORE_LAST_STARTS ||
      event->leader_generation != simulation->leader_generation)
    return;
  crashing->starts_after_third_crash++;
  if (crashing->starts_after_third_crash <= LAST_STARTS_MAX)
    return;
  simulation->over_crashes++;
  simulation_log (simulation, "OVER CRASHES: task=%s attempt=%u crashes=%u", event->name,
                  event->attempt, crashing->crashes);
}

/* Returns for how long an attempt runs. It takes longer away from the rack of its data. */
static int64_t
simulation_work_ms (const struct simulation *simulation, const struct simulated_endpoint *endpoint,
                    const char *name)
{
  const struct task *task = simulation_find_task (simulation, name);
  const Sp__JobStep *step = task ? task_step (task) : NULL;
  int64_t work_ms = simulation->estimates_hold && step ? step->estimate_ms : simulation->work_ms;

  if (simulation->far_factor > 0 && step && step->data_rack[0] != '\0' &&
      strcmp (step->data_rack, endpoint->rack) != 0)
    work_ms = (int64_t) ((double) work_ms * simulation->far_factor);
  return work_ms;
}

/* Carries out a start. */
static enum command_result
endpoint_start (struct simulation *simulation, struct simulated_endpoint *endpoint,
                const struct event *event)
{
  uint32_t ended = GPOINTER_TO_UINT (g_hash_table_lookup (endpoint->ended_attempts, event->name));
  struct simulated_attempt *attempt;

  for (guint i = 0; i < endpoint->attempts->len; i++)
    {
      attempt = g_ptr_array_index (endpoint->attempts, i);
      if (strcmp (attempt->task, event->name) == 0 && attempt->attempt == event->attempt)
        return COMMAND_DONE;
    }
  if (event->attempt <= ended)
    {
      endpoint_renew_lease (simulation, endpoint, event->lease_end_ms);
      return COMMAND_STALE_ATTEMPT;
    }
  if (event->lease_end_ms <= simulated_endpoint_clock_ms (simulation, endpoint))
    return COMMAND_LEASE_EXPIRED;
  simulation_check_start (simulation, endpoint, event);
  endpoint_check_crashing_task (simulation, endpoint, event);
  attempt = g_new0 (struct simulated_attempt, 1);
  attempt->task = g_strdup (event->name);
  attempt->attempt = event->attempt;
  attempt->start_ms = simulation->now_ms;
  attempt->work_ms = simulation_work_ms (simulation, endpoint, event->name);
  attempt->end_ms = event->long_running ? INT64_MAX : simulation->now_ms + attempt->work_ms;
  attempt->fails = simulation_chance (simulation, simulation->fail_permille);
  if (endpoint->fails_all)
    {
      attempt->fails = true;
      attempt->end_ms = simulation->now_ms + FAILING_ATTEMPT_MS;
    }
  attempt->long_running = event->long_running;
  attempt->request = event->request;
  g_ptr_array_add (endpoint->attempts, attempt);
  endpoint_renew_lease (simulation, endpoint, event->lease_end_ms);
  return COMMAND_DONE;
}

/* Counts the other tasks of a long-running task's step that are unavailable. */
static unsigned
simulation_count_unavailable (struct simulation *simulation, const char *name)
{
  const struct task *task = simulation_find_task (simulation, name);
  unsigned unavailable = 0;

  for (uint32_t i = 0; i < task_step (task)->n_tasks; i++)
    {
      g_autofree char *other = task_name (job_task (task->job, task->occurrence, task->step, i));
      struct simulated_attempt *attempt = NULL;

      if (strcmp (other, name) == 0)
        continue;
      simulation_find_attempt (simulation, other, &attempt);
      unavailable += !attempt || attempt->stopping ||
                     simulation->now_ms - attempt->start_ms < AVAILABLE_AFTER_MS;
    }
  return unavailable;
}

/* Counts the violation that a stop of a task at work causes. */
static void
simulation_check_stop (struct simulation *simulation, const struct simulated_endpoint *endpoint,
                       const struct event *event, uint32_t limit)
{
  unsigned unavailable = simulation_count_unavailable (simulation, event->name) + 1;

  if (unavailable <= limit)
    return;
  simulation->over_unavailable_limit++;
  simulation_log (simulation,
                  "OVER LIMIT OF UNAVAILABLE TASKS: task=%s attempt=%u endpoint=%s "
                  "unavailable=%u limit=%u sent=%" G_GINT64_FORMAT,
                  event->name, event->attempt, endpoint->id, unavailable, limit, event->sent_ms);
}

/* Carries out a stop. */
static enum command_result
endpoint_stop (struct simulation *simulation, struct simulated_endpoint *endpoint,
               const struct event *event)
{
  uint32_t ended = GPOINTER_TO_UINT (g_hash_table_lookup (endpoint->ended_attempts, event->name));

  for (guint i = 0; i < endpoint->attempts->len; i++)
    {
      struct simulated_attempt *attempt = g_ptr_array_index (endpoint->attempts, i);
      const struct task *task = simulation_find_task (simulation, event->name);

      if (strcmp (attempt->task, event->name) != 0 || attempt->attempt != event->attempt ||
          attempt->stopping)
        continue;
      if (attempt->long_running && task && task_step (task)->away_limit > 0 &&
          !task->job->cancelled && !job_state_is_final (task->job->next_state) &&
          !job_state_is_final (task->job->state) &&
          simulation->now_ms - attempt->start_ms >= AVAILABLE_AFTER_MS)
        simulation_check_stop (simulation, endpoint, event, task_step (task)->away_limit);
      attempt->stopping = true;
      attempt->end_ms = MIN (attempt->end_ms, simulation->now_ms + STOP_MS);
    }
  g_hash_table_replace (endpoint->ended_attempts, g_strdup (event->name),
                        GUINT_TO_POINTER (MAX (ended, event->attempt)));
  return COMMAND_DONE;
}

/* Checks whether an endpoint takes a command that has arrived. */
static enum command_result
endpoint_receive (struct simulation *simulation, const struct event *event)
{
  struct simulated_endpoint *endpoint = event->target;

  if (!endpoint->up || (endpoint->unreachable && !event->passes_cut))
    return COMMAND_NOT_SENT;
  if (simulation->now_ms >= endpoint->unhealthy_from_ms &&
      simulation->now_ms < endpoint->unhealthy_until_ms)
    return COMMAND_UNHEALTHY;
  endpoint_advance_attempts (simulation, endpoint);
  if (event->fence < endpoint->fence)
    return COMMAND_FENCED;
  endpoint->fence = event->fence;
  return COMMAND_DONE;
}

/* Renews the lease when a heartbeat arrives. Returns true if the endpoint takes the heartbeat and
 * has no completion to report yet. */
bool
endpoint_receive_heartbeat (struct simulation *simulation, const struct event *event)
{
  if (endpoint_receive (simulation, event) != COMMAND_DONE)
    return false;
  /* It has arrived before if it is checked again. */
  if (event->born_ms == 0)
    endpoint_renew_lease (simulation, event->target, event->lease_end_ms);
  return event->target->completions->len == 0;
}

/* Carries out a command at its endpoint. */
enum command_result
endpoint_execute (struct simulation *simulation, struct event *event)
{
  struct simulated_endpoint *endpoint = event->target;
  enum command_result result = endpoint_receive (simulation, event);

  event->born_ms = endpoint->born_ms;
  event->clock_ms =
      result == COMMAND_NOT_SENT ? 0 : simulated_endpoint_clock_ms (simulation, endpoint);
  if (result != COMMAND_DONE)
    return result;
  if (event->kind == EVENT_START && endpoint->start_errors)
    {
      if (endpoint->start_errors_carried_out)
        endpoint_start (simulation, endpoint, event);
      return COMMAND_UNKNOWN;
    }
  if (event->kind == EVENT_START)
    return endpoint_start (simulation, endpoint, event);
  if (event->kind == EVENT_STOP && endpoint->stop_errors)
    return COMMAND_UNKNOWN;
  if (event->kind == EVENT_STOP)
    return endpoint_stop (simulation, endpoint, event);
  if (event->kind != EVENT_HEARTBEAT)
    return COMMAND_DONE;
  endpoint_renew_lease (simulation, endpoint, event->lease_end_ms);
  while (endpoint->completions->len > 0 &&
         ((struct simulated_completion *) g_ptr_array_index (endpoint->completions, 0))->number <=
             event->acked)
    g_ptr_array_remove_index (endpoint->completions, 0);
  return COMMAND_DONE;
}
