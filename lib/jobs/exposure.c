#include "scheduler_state.h"

#include <string.h>

/* How far tasks that crash their endpoints reach. For a while after a crash, the pool and the
 * queues that may have caused it are cautious: starts of different jobs are kept apart if that can
 * be avoided, so that the next crash makes few jobs suspects, and starts of these queues are kept
 * to a part of the pool's endpoints at a time. So are trials of suspects. */

enum
{
  /* How long a pool and queues are cautious after a crash. */
  CAUTION_MS = 10000,
  /* Share of a pool's endpoints on which cautious queues may have starts that may crash them, or
   * have crashed them a short while ago. */
  EXPOSED_ENDPOINTS_PERCENT = 75,
  PERCENT = 100,
  /* Share of a pool's endpoints that trials may at least hold or have taken down, as a divisor. */
  TRIAL_ENDPOINTS_DIVISOR = 3,
};

/* Makes the pool and the queue of a task cautious that may have crashed its endpoint. */
void
scheduler_set_caution (struct scheduler *scheduler, struct job *job)
{
  int64_t until_ms = scheduler->now_ms + CAUTION_MS;

  g_hash_table_replace (scheduler->cautious_queues, g_strdup (job->definition->queue),
                        g_memdup2 (&until_ms, sizeof until_ms));
  scheduler_pool (scheduler, job->definition->pool)->cautious_until_ms = until_ms;
}

/* Updates whether a job's queue is cautious. */
void
job_check_caution (const struct scheduler *scheduler, struct job *job)
{
  const int64_t *until_ms =
      g_hash_table_lookup (scheduler->cautious_queues, job->definition->queue);

  job->cautious = until_ms && scheduler->now_ms < *until_ms;
}

/* Returns whether an endpoint runs a task of a cautious queue that may crash it with its start. */
static bool
endpoint_is_exposed (const struct endpoint *endpoint)
{
  const struct task *task;

  TAILQ_FOREACH (task, &endpoint->tasks, endpoint_link)
    {
      if (!task->start_survived && task->job->cautious)
        return true;
    }
  return false;
}

/* Returns whether a task may be started on an endpoint by the limit on the endpoints to which a
 * cautious queue's starts are sent. */
bool
endpoint_accepts_exposure (const struct pool *pool, const struct endpoint *endpoint,
                           const struct task *task)
{
  return !task->job->cautious || pool->n_exposures_left > 0 || endpoint_is_exposed (endpoint);
}

/* Counts a start that is about to be sent against that limit. */
void
pool_count_exposure (struct pool *pool, const struct endpoint *endpoint, const struct task *task)
{
  if (task->job->cautious && pool->n_exposures_left > 0 && !endpoint_is_exposed (endpoint))
    pool->n_exposures_left--;
}

/* Returns whether an endpoint runs a task of another job that may still crash it with its start. */
bool
endpoint_starts_other_job (const struct endpoint *endpoint, const struct task *task)
{
  const struct task *other;

  TAILQ_FOREACH (other, &endpoint->tasks, endpoint_link)
    {
      if (!other->start_survived && other->job != task->job)
        return true;
    }
  return false;
}

/* Returns whether a suspect is on trial on an endpoint. */
static bool
endpoint_tries_suspect (const struct endpoint *endpoint)
{
  const struct task *task;

  if (endpoint->n_trials == 0 || endpoint->gone)
    return false;
  TAILQ_FOREACH (task, &endpoint->tasks, endpoint_link)
    {
      if (task->on_trial && task->suspect)
        return true;
    }
  return false;
}

/* Counts a pool's hosts that are down. */
static unsigned
pool_count_hosts_down (const struct scheduler *scheduler, const struct pool *pool)
{
  const struct host *host;
  unsigned n = 0;

  TAILQ_FOREACH (host, &scheduler->hosts, link)
    n += host->state == HOST_DOWN && strcmp (host->pool, pool->name) == 0;
  return n;
}

/* Decides whether a suspect may be on trial on another endpoint of a pool, by the number of those
 * that suspects hold or took down a short while ago: a third, or those that no other work needs.
 * Counts the endpoints to which starts of cautious queues may be sent beside those that have some.
 */
void
pool_check_limits (const struct scheduler *scheduler, struct pool *pool)
{
  const struct endpoint *endpoint;
  const struct crash *crash;
  unsigned n_endpoints = 0;
  unsigned n_crashed = 0;
  unsigned n_trial_crashes = 0;
  unsigned n_exposed = 0;
  unsigned n_held = 0;
  unsigned n_max;
  bool cautious = scheduler->now_ms < pool->cautious_until_ms;

  TAILQ_FOREACH (endpoint, &pool->endpoints, pool_link)
    {
      n_endpoints += endpoint->listed && !endpoint->gone;
      n_held += endpoint_tries_suspect (endpoint) ||
                scheduler->now_ms < endpoint->trial_prepared_until_ms;
      n_exposed += cautious && !endpoint->gone && endpoint_is_exposed (endpoint);
    }
  TAILQ_FOREACH (crash, &scheduler->crashes, link)
    {
      if (strcmp (crash->pool, pool->name) != 0)
        continue;
      n_trial_crashes += crash->suspect_trial;
      n_crashed += crash->has_suspect;
    }
  /* Hosts that are back don't count. */
  if (n_trial_crashes > 0)
    n_trial_crashes = MIN (n_trial_crashes, pool_count_hosts_down (scheduler, pool));
  n_held += n_trial_crashes;
  n_max = (n_endpoints + n_trial_crashes + TRIAL_ENDPOINTS_DIVISOR - 1) / TRIAL_ENDPOINTS_DIVISOR;
  if (n_endpoints > pool->hosts_beside_suspects)
    n_max = MAX (n_max, n_endpoints - pool->hosts_beside_suspects);
  pool->trial_allowed = n_held < n_max;
  n_max = ((n_endpoints + n_crashed) * EXPOSED_ENDPOINTS_PERCENT + PERCENT - 1) / PERCENT;
  pool->n_exposures_left = n_max > n_exposed + n_crashed ? n_max - n_exposed - n_crashed : 0;
}
