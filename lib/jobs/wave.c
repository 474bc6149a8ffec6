#include "scheduler_state.h"

#include <string.h>

/* Waves of maintenance: hosts are emptied and maintained one after the other, within the wave's
 * limit and the steps' limits of tasks away, evenly over its time. */

enum
{
  PERMILLE = 1000,
  /* The wave aims to be done in this share of its time. */
  PACE_PERMILLE = 700,
  /* A batch task that has not ended after this is stopped, so that a host gets empty. */
  EVICT_AFTER_MS = 1500,
  /* Time for a former leader's last orders to arrive. */
  TAKEOVER_MARGIN_MS = 700,
  /* How often the log tells how a wave stands. */
  NOTE_MS = 2000,
};

/* Frees a wave. */
void
wave_destroy (struct wave *wave)
{
  g_hash_table_destroy (wave->left);
  g_hash_table_destroy (wave->begun);
  g_free (wave);
}

/* Finds a wave, or makes it. */
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
  wave->left = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  wave->begun = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  TAILQ_INSERT_TAIL (&scheduler->waves, wave, link);
  return wave;
}

/* Takes what an earlier leader recorded of a wave. */
void
scheduler_wave_progress (struct scheduler *scheduler, const Sp__WaveProgress *progress)
{
  struct wave *wave = scheduler_wave (scheduler, progress->wave);

  wave->start_wall_ms = progress->start_ms;
  for (size_t i = 0; i < progress->n_hosts; i++)
    {
      g_hash_table_remove (wave->left, progress->hosts[i]);
      g_hash_table_add (wave->begun, g_strdup (progress->hosts[i]));
    }
}

/* Takes an operator's wave; a repeat changes nothing. */
void
scheduler_wave_asked (struct scheduler *scheduler, const struct wave_order *order, int64_t now_ms)
{
  struct wave *wave = scheduler_wave (scheduler, order->wave);

  scheduler->now_ms = now_ms;
  if (wave->start_ms > 0)
    return;
  if (wave->start_wall_ms == 0)
    {
      wave->start_wall_ms = scheduler->wall_ms;
      wave->dirty = true;
    }
  /* Under an earlier leader, by another host's clock; one that jumped must not stop the wave. */
  wave->start_ms = now_ms - CLAMP (scheduler->wall_ms - wave->start_wall_ms, 0, order->duration_ms);
  wave->duration_ms = order->duration_ms;
  wave->most_at_once = MAX (order->most_at_once, 1);
  for (size_t i = 0; i < order->n_hosts; i++)
    {
      if (!g_hash_table_contains (wave->begun, order->hosts[i]))
        g_hash_table_add (wave->left, g_strdup (order->hosts[i]));
    }
}

/* Counts the wave's hosts that are away for it, or may be after an order without an answer. */
static unsigned
wave_count_away (const struct scheduler *scheduler, const struct wave *wave)
{
  const struct host *host;
  unsigned n = 0;

  TAILQ_FOREACH (host, &scheduler->hosts, link)
    {
      bool begun = g_hash_table_contains (wave->begun, host->id);
      bool left = g_hash_table_contains (wave->left, host->id);

      n += (begun && host->state == HOST_IN_MAINTENANCE) ||
           (left &&
            (host->order_in_flight || host->order_unsure || host->state == HOST_IN_MAINTENANCE));
    }
  return n;
}

/* Tells whether a task may be stopped now by its step's limit of tasks away. Those that are not at
 * work for whatever cause count as away. */
static bool
task_may_be_away (const struct scheduler *scheduler, const struct task *task)
{
  const struct task *first = job_task (task->job, task->occurrence, task->step, 0);
  const Sp__JobStep *step = task_step (task);
  unsigned away = 1;

  if (step->away_limit == 0)
    return true;
  /* A task that a former leader has stopped is listed as at work until it ends. */
  if (scheduler->now_ms - scheduler->claimed_ms < scheduler->config.stop_ms + TAKEOVER_MARGIN_MS)
    return false;
  for (uint32_t i = 0; i < step->n_tasks; i++)
    away += &first[i] != task && !task_is_at_work (&first[i]);
  return away <= step->away_limit;
}

/* Stops what keeps a cordoned endpoint from being empty. Lasting tasks go one by one, as their
 * steps allow; the next may go once the last is at work elsewhere. */
static void
endpoint_evict (struct scheduler *scheduler, struct endpoint *endpoint, int64_t cordoned_ms)
{
  struct task *task = TAILQ_FIRST (&endpoint->tasks);

  while (task)
    {
      struct task *next = TAILQ_NEXT (task, endpoint_link);
      const Sp__JobStep *step = task_step (task);
      bool may_go = step->long_running ? task_may_be_away (scheduler, task)
                                       : step->checkpointing || cordoned_ms > EVICT_AFTER_MS;

      if (may_go && (task->phase == TASK_RUNNING || task->phase == TASK_STARTING))
        task_stop (scheduler, task, "its host is to be maintained");
      task = next;
    }
}

/* Orders a host's maintenance. */
static void
host_maintain (struct scheduler *scheduler, struct host *host, const struct wave *wave)
{
  host->order_in_flight = true;
  scheduler->ops.maintain_host (scheduler->ops.ctx, host, wave->number);
}

/* Empties and maintains a host that the wave has picked. */
static void
wave_work_on (struct scheduler *scheduler, struct wave *wave, struct host *host)
{
  struct endpoint *endpoint = host_endpoint (scheduler, host);

  if (host->order_in_flight || scheduler->now_ms < host->next_order_ms)
    return;
  if (!endpoint || endpoint->n_tasks == 0)
    {
      if (!endpoint || endpoint->ends_acked >= endpoint->ends_seen)
        host_maintain (scheduler, host, wave);
      return;
    }
  endpoint_evict (scheduler, endpoint, scheduler->now_ms - endpoint->cordoned_ms);
}

/* Tells whether a host stands in a standby pool, where nothing runs. */
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

/* What stands in the way of a host's maintenance. */
enum host_burden
{
  /* Nothing runs there. */
  BURDEN_NONE,
  /* Lasting tasks that may be away now. Their steps allow few at a time, so that these hosts take
   * the longest and begin first. */
  BURDEN_LASTING,
  /* Batch tasks, which end by themselves. */
  BURDEN_BATCH,
  /* It can't be maintained now. */
  BURDEN_FORBIDS,
};

/* Tells what stands in the way of a host's maintenance. */
static enum host_burden
host_burden (const struct scheduler *scheduler, const struct host *host)
{
  const struct endpoint *endpoint = host_endpoint (scheduler, host);

  if (host->state != HOST_UP || host->order_in_flight || scheduler->now_ms < host->next_order_ms)
    return BURDEN_FORBIDS;
  /* What runs on an endpoint that hasn't answered yet isn't known. */
  if (!endpoint || !endpoint->fenced || !scheduler_pool_known (scheduler, host->pool))
    return host_is_standby (scheduler, host) || host->order_unsure ? BURDEN_NONE : BURDEN_FORBIDS;
  if (endpoint->draining || endpoint->cordoned)
    return BURDEN_FORBIDS;
  if (endpoint->n_lasting > 0)
    return BURDEN_LASTING;
  return endpoint->n_tasks > 0 ? BURDEN_BATCH : BURDEN_NONE;
}

/* Picks the next host: the lightest burden, and of the same the one with the fewest tasks. */
static struct host *
wave_pick (const struct scheduler *scheduler, const struct wave *wave, enum host_burden most)
{
  struct host *host;
  struct host *best = NULL;
  enum host_burden best_burden = BURDEN_FORBIDS;
  unsigned best_tasks = 0;

  TAILQ_FOREACH (host, &scheduler->hosts, link)
    {
      const struct endpoint *endpoint = host_endpoint (scheduler, host);
      unsigned n_tasks = endpoint ? endpoint->n_tasks : 0;
      enum host_burden burden;

      if (!g_hash_table_contains (wave->left, host->id))
        continue;
      burden = host_burden (scheduler, host);
      if (burden > most || burden > best_burden ||
          (best && burden == best_burden && n_tasks >= best_tasks))
        continue;
      best = host;
      best_burden = burden;
      best_tasks = n_tasks;
    }
  return best;
}

/* Drops the hosts from a wave that are no more in the machine list. */
static void
wave_drop_gone (const struct scheduler *scheduler, struct wave *wave)
{
  GHashTableIter each;
  gpointer key;

  g_hash_table_iter_init (&each, wave->left);
  while (g_hash_table_iter_next (&each, &key, NULL))
    {
      if (!scheduler_host (scheduler, key))
        g_hash_table_iter_remove (&each);
    }
}

/* Tells whether a host that is busy should be emptied now, by the wave's time: at an even pace, all
 * are begun before its end. */
static bool
wave_is_behind (const struct scheduler *scheduler, const struct wave *wave)
{
  unsigned left = g_hash_table_size (wave->left);
  unsigned total = left + g_hash_table_size (wave->begun);
  int64_t spent_ms = scheduler->now_ms - wave->start_ms;
  int64_t plan_ms = MAX (wave->duration_ms * PACE_PERMILLE / PERMILLE, 1);

  return (int64_t) g_hash_table_size (wave->begun) * plan_ms < (int64_t) total * spent_ms;
}

/* Cordons a host and begins to empty it, or maintains it at once. */
static void
wave_take (struct scheduler *scheduler, struct wave *wave, struct host *host)
{
  struct endpoint *endpoint = host_endpoint (scheduler, host);

  if (endpoint)
    {
      endpoint->cordoned = true;
      endpoint->cordoned_for_wave = true;
      endpoint->cordoned_ms = scheduler->now_ms;
    }
  wave_work_on (scheduler, wave, host);
}

/* Goes on with the hosts that are being emptied; counts them. */
static unsigned
wave_continue (struct scheduler *scheduler, struct wave *wave, unsigned *away)
{
  struct host *host;
  unsigned emptying = 0;

  TAILQ_FOREACH (host, &scheduler->hosts, link)
    {
      struct endpoint *endpoint = host_endpoint (scheduler, host);
      bool left = g_hash_table_contains (wave->left, host->id);

      if (endpoint)
        endpoint->maintenance_due = left;
      if (!left || !endpoint || !endpoint->cordoned_for_wave || host->order_in_flight)
        continue;
      if (endpoint->n_tasks > 0 || *away < wave->most_at_once)
        wave_work_on (scheduler, wave, host);
      if (host->order_in_flight)
        (*away)++;
      else
        emptying++;
    }
  return emptying;
}

/* Writes now and then how a wave stands and what keeps each host that is left. */
static void
wave_note (struct scheduler *scheduler, struct wave *wave, unsigned away, unsigned emptying)
{
  static const char *const burdens[] = { "none", "lasting", "batch", "forbidden" };
  GHashTableIter each;
  gpointer key;

  if (scheduler->now_ms < wave->next_note_ms)
    return;
  wave->next_note_ms = scheduler->now_ms + NOTE_MS;
  scheduler_note (scheduler,
                  "wave: wave=%u left=%u begun=%u away=%u emptying=%u limit=%u behind=%d",
                  wave->number, g_hash_table_size (wave->left), g_hash_table_size (wave->begun),
                  away, emptying, wave->most_at_once, wave_is_behind (scheduler, wave));
  g_hash_table_iter_init (&each, wave->left);
  while (g_hash_table_iter_next (&each, &key, NULL))
    {
      const struct host *host = scheduler_host (scheduler, key);
      const struct endpoint *endpoint = host_endpoint (scheduler, host);

      scheduler_note (
          scheduler,
          "wave host: host=%s state=%d burden=%s tasks=%u lasting=%u cordoned=%d unsure=%d",
          host->id, host->state, burdens[host_burden (scheduler, host)],
          endpoint ? endpoint->n_tasks : 0, endpoint ? endpoint->n_lasting : 0,
          endpoint ? endpoint->cordoned : 0, host->order_unsure);
    }
}

/* Gives the heaviest burden that a host may have to be taken now. While pools lack hosts, none is
 * taken unless the wave would fall behind; lasting tasks take the longest and begin in time. */
static enum host_burden
wave_burden_limit (const struct scheduler *scheduler, const struct wave *wave)
{
  if (wave_is_behind (scheduler, wave))
    return BURDEN_BATCH;
  return scheduler->short_of_hosts ? BURDEN_FORBIDS : BURDEN_LASTING;
}

/* Goes on with one wave. */
static void
wave_run (struct scheduler *scheduler, struct wave *wave)
{
  unsigned away = wave_count_away (scheduler, wave);
  enum host_burden limit = wave_burden_limit (scheduler, wave);
  unsigned emptying;

  wave_drop_gone (scheduler, wave);
  emptying = wave_continue (scheduler, wave, &away);
  wave_note (scheduler, wave, away, emptying);
  while (away + emptying < wave->most_at_once)
    {
      struct host *host = limit == BURDEN_FORBIDS ? NULL : wave_pick (scheduler, wave, limit);

      if (!host)
        break;
      wave_take (scheduler, wave, host);
      if (host->order_in_flight)
        away++;
      else
        emptying++;
    }
}

/* Tells the operator how a wave stands. Completed is said only once the record of it is durable. */
static void
wave_announce (struct scheduler *scheduler, struct wave *wave)
{
  bool completed = g_hash_table_size (wave->left) == 0 && scheduler->hosts_listed && !wave->dirty &&
                   !scheduler->flushing;

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

/* Goes on with all waves. */
void
scheduler_run_waves (struct scheduler *scheduler)
{
  struct wave *wave;

  if (!scheduler->renewed || !scheduler->hosts_listed)
    return;
  TAILQ_FOREACH (wave, &scheduler->waves, link)
    {
      if (wave->start_ms == 0 || wave->completed)
        continue;
      wave_run (scheduler, wave);
      wave_announce (scheduler, wave);
    }
}
