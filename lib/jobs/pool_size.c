#include "scheduler_state.h"

#include <string.h>

/* How many hosts each pool needs, and which move. Demand turns through the queues faster than a
 * person could follow; hosts that nobody needs stand in a standby pool, where they cost nothing. */

enum
{
  PERMILLE = 1000,
  /* Share of a host that packing can use: tasks are a tenth of a host. */
  PACKING_PERMILLE = 850,
  /* Hosts that a pool keeps at least, so that lasting tasks have somewhere to go. */
  POOL_HOSTS_MIN = 2,
  /* How long a host must have been idle before another pool, or the standby pool, gets it. A move
   * costs as much as a bit more than a second of a host. */
  IDLE_FOR_OTHER_POOL_MS = 200,
  IDLE_FOR_STANDBY_MS = 700,
  /* A lasting task that waits for this long needs a host more than its pool has. */
  STARVED_MS = 250,
  /* A host stays where it came for this long. */
  HOST_STAY_MIN_MS = 1500,
};

/* Adds up what the jobs of a pool need: those that can still meet their objective now or when hosts
 * that are ordered now are there, whichever is more, and beside them those that are late. */
static void
pool_sum_demand (const struct scheduler *scheduler, struct pool *pool)
{
  struct resources later = demand_forecast (&pool->demand, scheduler->now_ms);
  const struct job *job;

  pool->request = (struct resources){ 0 };
  pool->late_request = (struct resources){ 0 };
  TAILQ_FOREACH (job, &pool->jobs, pool_link)
    {
      struct resources now;
      struct resources at_horizon;

      if (job_is_over (job))
        continue;
      now = job_current_demand (job);
      if (job_is_late (job, scheduler->now_ms))
        {
          resources_add (&pool->late_request, &now);
          continue;
        }
      at_horizon = job_demand_at_horizon (job, HOST_READY_MS, scheduler->now_ms);
      resources_add (&pool->request, &now);
      resources_add (&later, &at_horizon);
    }
  pool->request = resources_max (&pool->request, &later);
}

/* Gives the number of hosts of one size that need makes. */
static unsigned
hosts_needed_for (const struct resources *request, const struct resources *size)
{
  int64_t cpu = size->cpu_milli * PACKING_PERMILLE / PERMILLE;
  int64_t memory = size->memory_mb * PACKING_PERMILLE / PERMILLE;
  int64_t n = 0;

  if (cpu > 0)
    n = MAX (n, (request->cpu_milli + cpu - 1) / cpu);
  if (memory > 0)
    n = MAX (n, (request->memory_mb + memory - 1) / memory);
  return (unsigned) n;
}

/* Tells whether a host counts for the pool it is in or goes to: it serves there, or will soon. */
static bool
host_counts_in_pool (const struct scheduler *scheduler, const struct host *host)
{
  const struct endpoint *endpoint = host_endpoint (scheduler, host);

  if (host->target_pool)
    return true;
  if (host->state == HOST_MOVING || host->state == HOST_IN_MAINTENANCE)
    return true;
  return host->state == HOST_UP && (!endpoint || (!endpoint->draining && !endpoint->cordoned &&
                                                  endpoint->unresponsive_since_ms == 0));
}

/* Counts the hosts of all pools. */
static void
scheduler_count_hosts (struct scheduler *scheduler)
{
  const struct host *host;
  struct pool *pool;

  TAILQ_FOREACH (pool, &scheduler->pools, link)
    pool->n_hosts = 0;
  TAILQ_FOREACH (host, &scheduler->hosts, link)
    {
      pool = scheduler_pool (scheduler, host->target_pool ? host->target_pool : host->pool);
      pool->n_hosts += host_counts_in_pool (scheduler, host);
    }
}

/* Tells whether a host may move: nothing runs on it, and nothing is about to. */
static bool
host_is_free (const struct scheduler *scheduler, const struct host *host, bool standby,
              int64_t idle_ms)
{
  const struct endpoint *endpoint = host_endpoint (scheduler, host);

  if (host->state != HOST_UP || host->command_in_flight || host->command_outcome_unknown ||
      scheduler->now_ms < host->next_command_ms)
    return false;
  if (standby)
    return true;
  return endpoint && endpoint->fenced && scheduler_pool_takeover_complete (scheduler, host->pool) &&
         endpoint->n_tasks == 0 && !endpoint->draining && !endpoint->cordoned_for_wave &&
         endpoint->unresponsive_since_ms == 0 &&
         scheduler->now_ms - endpoint->idle_since_ms >= idle_ms &&
         scheduler->now_ms - host->moved_ms >= HOST_STAY_MIN_MS &&
         endpoint->completions_acked >= endpoint->completions_seen;
}

/* Finds a host of a pool that may move. */
static struct host *
pool_free_host (const struct scheduler *scheduler, const struct pool *pool, int64_t idle_ms)
{
  struct host *host;

  TAILQ_FOREACH (host, &scheduler->hosts, link)
    {
      if (strcmp (host->pool, pool->name) == 0 &&
          host_is_free (scheduler, host, pool->standby, idle_ms))
        return host;
    }
  return NULL;
}

/* Orders a move. The endpoint takes no more tasks from now on. */
static void
host_move (struct scheduler *scheduler, struct host *host, struct pool *pool)
{
  struct endpoint *endpoint = host_endpoint (scheduler, host);

  scheduler_pool (scheduler, host->pool)->n_hosts -= host_counts_in_pool (scheduler, host);
  pool->n_hosts++;

  if (endpoint)
    endpoint->cordoned = true;
  g_free (host->target_pool);
  host->target_pool = g_strdup (pool->name);
  host->command_in_flight = true;
  scheduler->counts.moves++;
  scheduler->ops.move_host (scheduler->ops.ctx, host, pool->name);
}

/* Gives how many hosts a pool keeps while another one lacks some. */
static unsigned
pool_hosts_kept (const struct pool *pool, bool urgent)
{
  return MAX (urgent ? pool->hosts_urgent : pool->hosts_wanted, POOL_HOSTS_MIN);
}

/* Finds a host for a pool that lacks one: from a standby pool, or an idle one of a pool that needs
 * fewer than it has; if the lack is urgent, of one that needs fewer for jobs that can be in time.
 */
static struct host *
scheduler_find_spare_host (const struct scheduler *scheduler, const struct pool *recipient,
                           bool urgent)
{
  const struct pool *pool;
  struct host *host;

  TAILQ_FOREACH (pool, &scheduler->pools, link)
    {
      host = pool->standby ? pool_free_host (scheduler, pool, 0) : NULL;
      if (host)
        return host;
    }
  TAILQ_FOREACH (pool, &scheduler->pools, link)
    {
      if (pool->standby || pool == recipient || pool->n_hosts <= pool_hosts_kept (pool, urgent))
        continue;
      host = pool_free_host (scheduler, pool, IDLE_FOR_OTHER_POOL_MS);
      if (host)
        return host;
    }
  return NULL;
}

/* Moves hosts to a pool until it has what it wants, or what is urgent, as far as others can spare
 * them. */
static void
pool_grow (struct scheduler *scheduler, struct pool *pool, bool urgent)
{
  while (!pool->standby && pool->n_hosts < (urgent ? pool->hosts_urgent : pool->hosts_wanted))
    {
      struct host *host = scheduler_find_spare_host (scheduler, pool, urgent);

      if (!host)
        return;
      host_move (scheduler, host, pool);
    }
}

/* Puts idle hosts of a pool that has too many into the standby pool. */
static void
pool_shrink (struct scheduler *scheduler, struct pool *pool, struct pool *standby)
{
  while (pool->n_hosts > MAX (pool->hosts_wanted, POOL_HOSTS_MIN))
    {
      struct host *host = pool_free_host (scheduler, pool, IDLE_FOR_STANDBY_MS);

      if (!host)
        return;
      host_move (scheduler, host, standby);
    }
}

/* Tells whether a lasting task has waited in vain, with no host on its way. */
static bool
pool_is_starved (const struct scheduler *scheduler, const struct pool *pool)
{
  const struct host *host;

  if (pool->starved_since_ms == 0 || scheduler->now_ms - pool->starved_since_ms < STARVED_MS)
    return false;
  TAILQ_FOREACH (host, &scheduler->hosts, link)
    {
      bool on_its_way = host->target_pool || host->state == HOST_MOVING ||
                        (host->state == HOST_UP && !host_endpoint (scheduler, host));

      if (on_its_way && host_counts_in_pool (scheduler, host) &&
          strcmp (host->target_pool ? host->target_pool : host->pool, pool->name) == 0)
        return false;
    }
  return true;
}

/* Has some endpoints of a pool yield, those that do so already first. Lasting tasks stay where they
 * are. Gives how many yield. */
static unsigned
pool_release_endpoints (struct pool *pool, unsigned limit)
{
  struct endpoint *endpoint;
  unsigned n = 0;

  TAILQ_FOREACH (endpoint, &pool->endpoints, pool_link)
    {
      endpoint->being_released = endpoint->being_released && n < limit;
      n += endpoint->being_released;
    }
  TAILQ_FOREACH (endpoint, &pool->endpoints, pool_link)
    {
      bool can_be_released = !endpoint->being_released && endpoint->listed && endpoint->fenced &&
                             !endpoint->cordoned && !endpoint->draining &&
                             endpoint->n_long_running == 0;

      if (n >= limit)
        break;
      endpoint->being_released = endpoint->being_released || can_be_released;
      n += can_be_released;
    }
  return n;
}

/* Chooses the endpoints that get no new tasks because their hosts are wanted for jobs that can
 * still be in time, while their own pool has late ones only. A queue that is behind would otherwise
 * keep all its hosts busy, and the next queue would fall behind as well. */
static void
scheduler_choose_released (struct scheduler *scheduler)
{
  struct pool *pool;
  unsigned shortage = 0;

  TAILQ_FOREACH (pool, &scheduler->pools, link)
    {
      if (!pool->standby && pool->n_hosts < pool->hosts_urgent)
        shortage += pool->hosts_urgent - pool->n_hosts;
    }
  TAILQ_FOREACH (pool, &scheduler->pools, link)
    {
      unsigned kept = pool_hosts_kept (pool, true);

      if (!pool->standby)
        shortage -= pool_release_endpoints (
            pool, pool->n_hosts > kept ? MIN (pool->n_hosts - kept, shortage) : 0);
    }
}

/* Gives the size of a pool's hosts, of any host if it has none. */
static struct resources
pool_host_size (const struct scheduler *scheduler, const struct pool *pool)
{
  const struct host *host;
  struct resources size = { 0 };

  TAILQ_FOREACH (host, &scheduler->hosts, link)
    {
      if (strcmp (host->pool, pool->name) == 0)
        return host->capacity;
      size = host->capacity;
    }
  return size;
}

/* Moves hosts to where they are needed. */
void
scheduler_size_pools (struct scheduler *scheduler)
{
  struct pool *pool;
  struct pool *standby = NULL;

  if (!scheduler->host_commands_allowed || !scheduler->hosts_loaded)
    return;
  scheduler_count_hosts (scheduler);
  TAILQ_FOREACH (pool, &scheduler->pools, link)
    {
      struct resources size = pool_host_size (scheduler, pool);

      pool_sum_demand (scheduler, pool);
      pool->hosts_urgent = hosts_needed_for (&pool->request, &size);
      resources_add (&pool->request, &pool->late_request);
      pool->hosts_wanted = hosts_needed_for (&pool->request, &size);
      /* Room that is there in all may be in too small pieces, or on endpoints that the spread of a
       * step forbids. */
      if (pool_is_starved (scheduler, pool))
        pool->hosts_urgent = MAX (pool->hosts_urgent, pool->n_hosts + 1);
      pool->hosts_wanted = MAX (pool->hosts_wanted, pool->hosts_urgent);
      if (pool->standby)
        standby = pool;
    }
  scheduler->hosts_are_short = false;
  TAILQ_FOREACH (pool, &scheduler->pools, link)
    pool_grow (scheduler, pool, true);
  scheduler_choose_released (scheduler);
  TAILQ_FOREACH (pool, &scheduler->pools, link)
    {
      pool_grow (scheduler, pool, false);
      scheduler->hosts_are_short =
          scheduler->hosts_are_short || (!pool->standby && pool->n_hosts < pool->hosts_wanted);
    }
  TAILQ_FOREACH (pool, &scheduler->pools, link)
    {
      if (standby && !pool->standby)
        pool_shrink (scheduler, pool, standby);
    }
}
