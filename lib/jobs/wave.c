#include "scheduler_state.h"

#include <string.h>

/* Maintenance waves: hosts are drained and maintained in turn, spread over the wave's duration,
 * within the wave's limit of hosts and the steps' limits of tasks that may be unavailable at
 * once. */

enum
{
  PERMILLE = 1000,
  /* Share of its duration in which a wave plans to start maintaining all its hosts. */
  WAVE_PACE_PERMILLE = 700,
  /* A batch task without checkpoints that has not ended this long after its host was cordoned is
   * stopped. */
  EVICT_BATCH_AFTER_MS = 1500,
  /* How often the state of a wave is logged. */
  WAVE_LOG_INTERVAL_MS = 2000,
};

void
wave_destroy (struct wave *wave)
{
  g_hash_table_destroy (wave->remaining);
  g_hash_table_destroy (wave->begun);
  g_free (wave);
}

/* Returns a wave; creates it if needed. */
static struct wave *
scheduler_wave (struct scheduler *scheduler, uint32_t number)
{
  struct wave *wave;

  TAILQ_FOREACH (wave, &scheduler->waves, link)
    {
      if (wave->number == number)
        return wave;
    }
  wave = g_new0 (struct wave, 1);
  wave->number = number;
  wave->remaining = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  wave->begun = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  TAILQ_INSERT_TAIL (&scheduler->waves, wave, link);
  return wave;
}

/* Applies what an earlier leader recorded of a wave. */
void
scheduler_wave_progress (struct scheduler *scheduler, const Sp__WaveProgress *progress)
{
  struct wave *wave = scheduler_wave (scheduler, progress->wave);

  wave->start_wall_ms = progress->start_ms;
  for (size_t i = 0; i < progress->n_hosts; i++)
    {
      g_hash_table_remove (wave->remaining, progress->hosts[i]);
      g_hash_table_add (wave->begun, g_strdup (progress->hosts[i]));
    }
}

/* Starts a wave that an operator requested; a repeated request changes nothing. */
void
scheduler_wave_requested (struct scheduler *scheduler, const struct wave_request *request,
                          int64_t now_ms)
{
  struct wave *wave = scheduler_wave (scheduler, request->wave);

  scheduler->now_ms = now_ms;
  if (wave->start_ms > 0)
    return;
  if (wave->start_wall_ms == 0)
    {
      wave->start_wall_ms = scheduler->wall_ms;
      wave->dirty = true;
    }
  /* The wave may have started under an earlier leader, by another host's clock; a clock that jumped
   * must not stop the wave. */
  wave->start_ms =
      now_ms - CLAMP (scheduler->wall_ms - wave->start_wall_ms, 0, request->duration_ms);
  wave->duration_ms = request->duration_ms;
  wave->max_unavailable = MAX (request->max_unavailable, 1);
  for (size_t i = 0; i < request->n_hosts; i++)
    {
      if (!g_hash_table_contains (wave->begun, request->hosts[i]))
        g_hash_table_add (wave->remaining, g_strdup (request->hosts[i]));
    }
}

/* Counts the wave's hosts that are in maintenance, or may be after a command without a response. */
static unsigned
wave_count_unavailable (const struct scheduler *scheduler, const struct wave *wave)
{
  const struct host *host;
  unsigned n = 0;

  TAILQ_FOREACH (host, &scheduler->hosts, link)
    {
      bool begun = g_hash_table_contains (wave->begun, host->id);
      bool remaining = g_hash_table_contains (wave->remaining, host->id);

      n += (begun && host->state == HOST_IN_MAINTENANCE) ||
           (remaining && (host->command_in_flight || host->command_outcome_unknown ||
                          host->state == HOST_IN_MAINTENANCE));
    }
  return n;
}

/* Stops tasks that keep a cordoned endpoint from being drained. Long-running tasks are stopped one
 * by one within their steps' limits: the next one may be stopped once the last is available
 * elsewhere. */
static void
endpoint_evict (struct scheduler *scheduler, struct endpoint *endpoint, int64_t cordoned_ms)
{
  struct task *task = TAILQ_FIRST (&endpoint->tasks);

  while (task)
    {
      struct task *next = TAILQ_NEXT (task, endpoint_link);
      const Sp__JobStep *step = task_step (task);
      bool may_stop = step->long_running
                          ? task_may_be_stopped (scheduler, task)
                          : step->checkpointing || cordoned_ms > EVICT_BATCH_AFTER_MS;

      if (may_stop && (task->phase == TASK_RUNNING || task->phase == TASK_STARTING))
        task_stop (scheduler, task, "its host is to be maintained");
      task = next;
    }
}

static void
host_maintain (struct scheduler *scheduler, struct host *host, const struct wave *wave)
{
  host->command_in_flight = true;
  scheduler->ops.maintain_host (scheduler->ops.ctx, host, wave->number);
}

/* Continues to drain a host that the wave has chosen, and maintains it once it is empty. */
static void
wave_advance_host (struct scheduler *scheduler, struct wave *wave, struct host *host)
{
  struct endpoint *endpoint = host_endpoint (scheduler, host);

  if (host->command_in_flight || scheduler->now_ms < host->next_command_ms)
    return;
  if (!endpoint || endpoint->n_tasks == 0)
    {
      if (!endpoint || endpoint->completions_acked >= endpoint->completions_seen)
        host_maintain (scheduler, host, wave);
      return;
    }
  endpoint_evict (scheduler, endpoint, scheduler->now_ms - endpoint->cordoned_ms);
}

/* Returns whether a host is in a standby pool, where nothing runs. */
static bool
host_is_standby (const struct scheduler *scheduler, const struct host *host)
{
  const struct pool *pool;

  TAILQ_FOREACH (pool, &scheduler->pools, link)
    {
      if (strcmp (pool->name, host->pool) == 0)
        return pool->standby;
    }
  return false;
}

/* What must end before a host can be maintained. Hosts with a lower value are chosen first. */
enum drain_cost
{
  /* Nothing runs there. */
  DRAIN_COST_NONE,
  /* Long-running tasks. Their steps allow few to be unavailable at a time, so these hosts take
   * longest and start first. */
  DRAIN_COST_LONG_RUNNING,
  /* Batch tasks, which end by themselves. */
  DRAIN_COST_BATCH,
  /* The host can't be maintained now. */
  DRAIN_COST_FORBIDDEN,
};

static enum drain_cost
host_drain_cost (const struct scheduler *scheduler, const struct host *host)
{
  const struct endpoint *endpoint = host_endpoint (scheduler, host);

  if (host->state != HOST_UP || host->command_in_flight ||
      scheduler->now_ms < host->next_command_ms)
    return DRAIN_COST_FORBIDDEN;
  /* What runs on an endpoint that has not responded yet is unknown. A host whose last command may
   * have been carried out is chosen again. */
  if (!endpoint || !endpoint->fence_accepted ||
      !scheduler_pool_takeover_complete (scheduler, host->pool))
    return host_is_standby (scheduler, host) || host->command_outcome_unknown
               ? DRAIN_COST_NONE
               : DRAIN_COST_FORBIDDEN;
  if (endpoint->draining || endpoint->cordoned)
    return DRAIN_COST_FORBIDDEN;
  if (endpoint->n_long_running > 0)
    return DRAIN_COST_LONG_RUNNING;
  return endpoint->n_tasks > 0 ? DRAIN_COST_BATCH : DRAIN_COST_NONE;
}

/* Returns the host with the lowest cost within limit, among those the one with the fewest tasks, or
 * NULL. */
static struct host *
wave_choose_host (const struct scheduler *scheduler, const struct wave *wave, enum drain_cost limit)
{
  struct host *host;
  struct host *best = NULL;
  enum drain_cost best_cost = DRAIN_COST_FORBIDDEN;
  unsigned best_tasks = 0;

  TAILQ_FOREACH (host, &scheduler->hosts, link)
    {
      const struct endpoint *endpoint = host_endpoint (scheduler, host);
      unsigned n_tasks = endpoint ? endpoint->n_tasks : 0;
      enum drain_cost cost;

      if (!g_hash_table_contains (wave->remaining, host->id) || host->maintenance_unknown)
        continue;
      cost = host_drain_cost (scheduler, host);
      if (cost > limit || cost > best_cost || (best && cost == best_cost && n_tasks >= best_tasks))
        continue;
      best = host;
      best_cost = cost;
      best_tasks = n_tasks;
    }
  return best;
}

/* Removes hosts from a wave that are no longer in the machine list. */
static void
wave_remove_unlisted (const struct scheduler *scheduler, struct wave *wave)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, wave->remaining);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      if (!scheduler_host (scheduler, key))
        g_hash_table_iter_remove (&iter);
    }
}

/* Counts the hosts whose maintenance has not begun but which the wave has chosen. */
static unsigned
wave_count_chosen (const struct scheduler *scheduler, const struct wave *wave)
{
  GHashTableIter iter;
  gpointer key;
  unsigned n = 0;

  g_hash_table_iter_init (&iter, wave->remaining);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const struct host *host = scheduler_host (scheduler, key);
      const struct endpoint *endpoint = host ? host_endpoint (scheduler, host) : NULL;

      n += host && (host->maintenance_unknown || (host->command_in_flight && !host->target_pool) ||
                    (endpoint && endpoint->cordoned_for_wave));
    }
  return n;
}

/* Returns whether a wave is behind its plan, which chooses hosts at an even rate. */
static bool
wave_is_behind (const struct scheduler *scheduler, const struct wave *wave, unsigned n_chosen)
{
  unsigned remaining = g_hash_table_size (wave->remaining);
  unsigned total = remaining + g_hash_table_size (wave->begun);
  int64_t elapsed_ms = scheduler->now_ms - wave->start_ms;
  int64_t plan_ms = MAX (wave->duration_ms * WAVE_PACE_PERMILLE / PERMILLE, 1);

  return (int64_t) (g_hash_table_size (wave->begun) + n_chosen) * plan_ms <
         (int64_t) total * elapsed_ms;
}

/* Cordons a host and starts to drain it, or maintains it at once if it is empty. */
static void
wave_begin_host (struct scheduler *scheduler, struct wave *wave, struct host *host)
{
  struct endpoint *endpoint = host_endpoint (scheduler, host);

  if (endpoint)
    {
      endpoint->cordoned = true;
      endpoint->cordoned_for_wave = true;
      endpoint->cordoned_ms = scheduler->now_ms;
    }
  wave_advance_host (scheduler, wave, host);
}

/* Repeats a maintenance command whose result is not known. The host counts as unavailable already.
 * Its endpoint may be a new one with tasks, and is drained first. */
static void
wave_repeat_host (struct scheduler *scheduler, struct wave *wave, struct host *host)
{
  const struct endpoint *endpoint = host_endpoint (scheduler, host);

  if (host->state != HOST_UP || host->command_in_flight ||
      scheduler->now_ms < host->next_command_ms)
    return;
  if (endpoint && !endpoint->cordoned_for_wave)
    wave_begin_host (scheduler, wave, host);
  else
    wave_advance_host (scheduler, wave, host);
}

/* Continues with the hosts that are being drained and returns their number. Adds hosts whose
 * maintenance starts to unavailable. */
static unsigned
wave_advance_hosts (struct scheduler *scheduler, struct wave *wave, unsigned *unavailable)
{
  struct host *host;
  unsigned draining = 0;

  TAILQ_FOREACH (host, &scheduler->hosts, link)
    {
      struct endpoint *endpoint = host_endpoint (scheduler, host);
      bool remaining = g_hash_table_contains (wave->remaining, host->id);

      if (endpoint)
        endpoint->maintenance_due = remaining;
      if (remaining && host->maintenance_unknown)
        {
          wave_repeat_host (scheduler, wave, host);
          continue;
        }
      if (!remaining || !endpoint || !endpoint->cordoned_for_wave || host->command_in_flight)
        continue;
      if (endpoint->n_tasks > 0 || *unavailable < wave->max_unavailable)
        wave_advance_host (scheduler, wave, host);
      if (host->command_in_flight)
        (*unavailable)++;
      else
        draining++;
    }
  return draining;
}

/* Logs the state of a wave and what delays each remaining host, at most every
 * WAVE_LOG_INTERVAL_MS. */
static void
wave_log (struct scheduler *scheduler, struct wave *wave, unsigned unavailable, unsigned draining)
{
  static const char *const cost_names[] = { "none", "lasting", "batch", "forbidden" };
  GHashTableIter iter;
  gpointer key;

  if (scheduler->now_ms < wave->next_log_ms)
    return;
  wave->next_log_ms = scheduler->now_ms + WAVE_LOG_INTERVAL_MS;
  scheduler_log (scheduler, "wave: wave=%u left=%u begun=%u away=%u emptying=%u limit=%u behind=%d",
                 wave->number, g_hash_table_size (wave->remaining), g_hash_table_size (wave->begun),
                 unavailable, draining, wave->max_unavailable,
                 wave_is_behind (scheduler, wave, wave_count_chosen (scheduler, wave)));
  g_hash_table_iter_init (&iter, wave->remaining);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const struct host *host = scheduler_host (scheduler, key);
      const struct endpoint *endpoint = host_endpoint (scheduler, host);

      scheduler_log (
          scheduler,
          "wave host: host=%s state=%d burden=%s tasks=%u lasting=%u cordoned=%d unsure=%d",
          host->id, host->state, cost_names[host_drain_cost (scheduler, host)],
          endpoint ? endpoint->n_tasks : 0, endpoint ? endpoint->n_long_running : 0,
          endpoint ? endpoint->cordoned : 0, host->command_outcome_unknown);
    }
}

/* Returns the highest cost that the next host may have to be chosen now. While pools are short of
 * hosts, none is chosen unless the wave is behind, and then no more than its plan asks for.
 * Otherwise hosts with long-running tasks are chosen early because they take longest, and hosts
 * with batch tasks only when the wave is behind. */
static enum drain_cost
wave_drain_cost_limit (const struct scheduler *scheduler, const struct wave *wave,
                       unsigned n_chosen)
{
  if (wave_is_behind (scheduler, wave, n_chosen))
    return DRAIN_COST_BATCH;
  return scheduler->hosts_are_short ? DRAIN_COST_FORBIDDEN : DRAIN_COST_LONG_RUNNING;
}

/* Advances one wave. */
static void
wave_advance (struct scheduler *scheduler, struct wave *wave)
{
  unsigned unavailable = wave_count_unavailable (scheduler, wave);
  unsigned draining;
  unsigned n_chosen;

  wave_remove_unlisted (scheduler, wave);
  draining = wave_advance_hosts (scheduler, wave, &unavailable);
  n_chosen = wave_count_chosen (scheduler, wave);
  wave_log (scheduler, wave, unavailable, draining);
  while (unavailable + draining < wave->max_unavailable)
    {
      enum drain_cost limit = wave_drain_cost_limit (scheduler, wave, n_chosen);
      struct host *host =
          limit == DRAIN_COST_FORBIDDEN ? NULL : wave_choose_host (scheduler, wave, limit);

      if (!host)
        break;
      wave_begin_host (scheduler, wave, host);
      n_chosen++;
      if (host->command_in_flight)
        unavailable++;
      else
        draining++;
    }
}

/* Reports the state of a wave to the operator. A wave is reported as completed only after its
 * record is durable. */
static void
wave_announce (struct scheduler *scheduler, struct wave *wave)
{
  bool completed = g_hash_table_size (wave->remaining) == 0 && scheduler->hosts_loaded &&
                   !wave->dirty && !scheduler->flushing;

  if (!wave->announced && !completed)
    {
      wave->announced = true;
      scheduler->ops.wave_state (scheduler->ops.ctx, wave->number, false);
    }
  if (completed && !wave->completed)
    {
      wave->completed = true;
      scheduler->ops.wave_state (scheduler->ops.ctx, wave->number, true);
    }
}

/* Advances all waves. */
void
scheduler_advance_waves (struct scheduler *scheduler)
{
  struct wave *wave;

  if (!scheduler->host_commands_allowed || !scheduler->hosts_loaded)
    return;
  TAILQ_FOREACH (wave, &scheduler->waves, link)
    {
      if (wave->start_ms == 0 || wave->completed)
        continue;
      wave_advance (scheduler, wave);
      wave_announce (scheduler, wave);
    }
}
