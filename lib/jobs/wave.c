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
  /* A host that may be emptied at once, beyond those that are away. */
  CORDONED_EXTRA = 1,
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
  wave->start_ms = now_ms;
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

/* Counts the tasks of a task's step that are away: not at work, or only just back. */
unsigned
step_tasks_away (const struct scheduler *scheduler, const struct task *task)
{
  const struct task *first = job_task (task->job, task->occurrence, task->step, 0);
  unsigned n = 0;

  for (uint32_t i = 0; i < task_step (task)->n_tasks; i++)
    {
      const struct task *other = &first[i];

      if (other == task)
        continue;
      n += !task_is_at_work (other) ||
           (other->away_since_ms > 0 &&
            scheduler->now_ms - other->away_since_ms < scheduler->config.notice_ms);
    }
  return n;
}

/* Tells whether all lasting tasks of an endpoint may be away at once. */
bool
endpoint_can_be_emptied (const struct scheduler *scheduler, const struct endpoint *endpoint)
{
  const struct task *task;

  TAILQ_FOREACH (task, &endpoint->tasks, endpoint_link)
    {
      const Sp__JobStep *step = task_step (task);
      unsigned here = endpoint_count_step (endpoint, task);

      if (!step->long_running || step->away_limit == 0 || !task_is_at_work (task))
        continue;
      if (step_tasks_away (scheduler, task) + here > step->away_limit)
        return false;
    }
  return true;
}

/* Stops what keeps a cordoned endpoint from being empty. */
static void
endpoint_evict (struct scheduler *scheduler, struct endpoint *endpoint, int64_t cordoned_ms)
{
  struct task *task = TAILQ_FIRST (&endpoint->tasks);
  bool may_empty = endpoint_can_be_emptied (scheduler, endpoint);
  bool only_lasting = endpoint->n_tasks == endpoint->n_serving + endpoint->n_filling;

  while (task)
    {
      struct task *next = TAILQ_NEXT (task, endpoint_link);
      const Sp__JobStep *step = task_step (task);
      bool batch = !step->long_running;
      bool batch_may_go = batch && (step->checkpointing || cordoned_ms > EVICT_AFTER_MS);
      bool lasting_may_go = !batch && may_empty && only_lasting;

      if ((batch_may_go || lasting_may_go) &&
          (task->phase == TASK_RUNNING || task->phase == TASK_STARTING))
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
  endpoint_evict (scheduler, endpoint, scheduler->now_ms - endpoint->idle_since_ms);
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

/* Tells what emptying a host would cost; -1 if it can't be maintained now. */
static int64_t
host_cost (const struct scheduler *scheduler, const struct host *host)
{
  enum
  {
    COST_POOL = 1,
    COST_TASK = 10,
    COST_LASTING = 1000,
  };
  const struct endpoint *endpoint = host_endpoint (scheduler, host);
  bool standby = host_is_standby (scheduler, host);
  int64_t cost = standby ? 0 : COST_POOL;

  if (host->state != HOST_UP || host->order_in_flight || scheduler->now_ms < host->next_order_ms)
    return -1;
  /* What runs on an endpoint that hasn't answered yet isn't known. */
  if (!endpoint || !endpoint->fenced)
    return standby || host->order_unsure ? cost : -1;
  if (endpoint->draining || (endpoint->cordoned && !endpoint->cordoned_for_wave))
    return -1;
  if (endpoint->cordoned_for_wave)
    return 0;
  if (!endpoint_can_be_emptied (scheduler, endpoint))
    return -1;
  return cost + COST_TASK * endpoint->n_tasks +
         COST_LASTING * (endpoint->n_serving + endpoint->n_filling);
}

/* Picks the host that is cheapest to empty. */
static struct host *
wave_pick (const struct scheduler *scheduler, const struct wave *wave)
{
  struct host *host;
  struct host *best = NULL;
  int64_t best_cost = -1;

  TAILQ_FOREACH (host, &scheduler->hosts, link)
    {
      const struct endpoint *endpoint = host_endpoint (scheduler, host);
      int64_t cost;

      if (!g_hash_table_contains (wave->left, host->id) ||
          (endpoint && endpoint->cordoned_for_wave))
        continue;
      cost = host_cost (scheduler, host);
      if (cost >= 0 && (!best || cost < best_cost))
        {
          best = host;
          best_cost = cost;
        }
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

/* Goes on with one wave. */
static void
wave_run (struct scheduler *scheduler, struct wave *wave)
{
  unsigned away = wave_count_away (scheduler, wave);
  unsigned emptying = 0;
  struct host *host;

  wave_drop_gone (scheduler, wave);
  TAILQ_FOREACH (host, &scheduler->hosts, link)
    {
      struct endpoint *endpoint = host_endpoint (scheduler, host);

      if (!endpoint || !endpoint->cordoned_for_wave || host->order_in_flight ||
          !g_hash_table_contains (wave->left, host->id))
        continue;
      emptying++;
      if (away < wave->most_at_once || endpoint->n_tasks > 0)
        {
          wave_work_on (scheduler, wave, host);
          away += host->order_in_flight;
        }
    }
  while (away + emptying < wave->most_at_once + CORDONED_EXTRA)
    {
      struct endpoint *endpoint;

      host = wave_pick (scheduler, wave);
      if (!host)
        break;
      endpoint = host_endpoint (scheduler, host);
      if (endpoint && endpoint->n_tasks > 0 && !wave_is_behind (scheduler, wave))
        break;
      if (!endpoint || endpoint->n_tasks == 0)
        {
          if (away >= wave->most_at_once)
            break;
          if (endpoint)
            endpoint->cordoned = endpoint->cordoned_for_wave = true;
          wave_work_on (scheduler, wave, host);
          if (!host->order_in_flight)
            {
              emptying++;
              continue;
            }
          away++;
          continue;
        }
      endpoint->cordoned = endpoint->cordoned_for_wave = true;
      endpoint->idle_since_ms = scheduler->now_ms;
      emptying++;
      wave_work_on (scheduler, wave, host);
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

  if (!scheduler->renewed || !scheduler->hosts_listed || !scheduler->inheritance_known)
    return;
  TAILQ_FOREACH (wave, &scheduler->waves, link)
    {
      if (wave->start_ms == 0 || wave->completed)
        continue;
      wave_run (scheduler, wave);
      wave_announce (scheduler, wave);
    }
}
