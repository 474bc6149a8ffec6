#include "scheduler_state.h"

#include <string.h>

/* Pool sizing: how many hosts each pool needs, and which hosts move. Demand shifts between queues
 * faster than an operator could follow. Hosts that no pool needs go to a standby pool, where they
 * cost nothing. */

enum
{
  /* Minimum number of hosts that a pool keeps, so that long-running tasks can be placed. */
  POOL_HOSTS_MIN = 2,
  /* How long a host must have been idle before it moves to another pool, or to the standby pool. A
   * move costs a little more than a second of a host's time. */
  IDLE_FOR_OTHER_POOL_MS = 200,
  IDLE_FOR_STANDBY_MS = 700,
  /* A long-running task that has waited this long gets its pool an additional host. */
  STARVED_MS = 250,
  /* Minimum time that a host stays in a pool. */
  HOST_STAY_MIN_MS = 1500,
  /* Age of the last read of the journal from which on jobs are missing. Without any new job, a read
   * ends with each heartbeat record of the leader. */
  JOURNAL_UNREAD_MS = 500,
};

/* Forecasts what jobs yet to arrive will use, and logs the beginning and the end of a rise. */
static struct resources
pool_forecast (struct scheduler *scheduler, struct pool *pool)
{
  bool was_rising = pool->demand.rise.since_ms > 0;
  struct resources later =
      demand_forecast_rising (&pool->demand, scheduler_arrivals_known_ms (scheduler));

  if (was_rising != (pool->demand.rise.since_ms > 0))
    scheduler_log (scheduler, "%s: pool=%s forecast_cpu_milli=%" G_GINT64_FORMAT,
                   !was_rising ? "arrivals rise"
                   : pool->demand.rise.ignored_until_ms > scheduler->now_ms
                       ? "arrival rise was false"
                       : "arrival rise confirmed",
                   pool->name, later.cpu_milli);
  return later;
}

/* Sums the resource requests of a pool's jobs. Jobs that can still meet their objective count with
 * what they request now or at the time when a host requested now would be ready, whichever is more.
 * Late jobs are summed separately. */
static void
pool_sum_demand (struct scheduler *scheduler, struct pool *pool)
{
  struct resources later = pool_forecast (scheduler, pool);
  const struct job *job;

  pool->request = (struct resources){ 0 };
  pool->late_request = (struct resources){ 0 };
  pool->suspect_request = (struct resources){ 0 };
  TAILQ_FOREACH (job, &pool->jobs, pool_link)
    {
      struct resources suspects = job_suspect_demand (job);
      struct resources now;
      struct resources at_horizon = { 0 };
      bool late;

      if (job_is_over (job))
        continue;
      now = job_current_demand (job);
      late = job_is_late (job, scheduler->now_ms);
      if (!late)
        at_horizon = job_demand_at_horizon (job, HOST_READY_MS, scheduler->now_ms);
      job_limit_demand (scheduler, job, &now, &suspects, &at_horizon);
      resources_add (&pool->suspect_request, &suspects);
      if (late)
        {
          resources_add (&pool->late_request, &now);
          continue;
        }
      resources_add (&pool->request, &now);
      resources_add (&later, &at_horizon);
    }
  pool->request = resources_max (&pool->request, &later);
}

/* Adds the capacity that a pool's endpoints lack against their hosts' to what its jobs request,
 * unless these request nothing. */
static void
pool_add_lost_capacity (const struct scheduler *scheduler, struct pool *pool)
{
  const struct host *host;

  if (pool->request.cpu_milli + pool->request.memory_mb == 0)
    return;
  TAILQ_FOREACH (host, &scheduler->hosts, link)
    {
      const struct endpoint *endpoint = host_endpoint (scheduler, host);
      struct resources lost = { 0 };

      if (!endpoint || !endpoint->listed || !endpoint_entry_is_current (endpoint) ||
          strcmp (host->pool, pool->name) != 0)
        continue;
      lost.cpu_milli = MAX (host->capacity.cpu_milli - endpoint->capacity.cpu_milli, 0);
      lost.memory_mb = MAX (host->capacity.memory_mb - endpoint->capacity.memory_mb, 0);
      resources_add (&pool->request, &lost);
    }
}

/* Returns whether a host counts for the pool that it is in or moves to: it serves there, or soon
 * will. */
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

/* Counts the hosts of each pool. */
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

/* Returns whether a host may move: it has been idle for idle_ms, no task of an earlier leader can
 * run on it and all its completions are acknowledged. A host of a standby pool runs nothing and may
 * always move. */
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
  return endpoint && endpoint->fence_accepted &&
         scheduler_pool_takeover_complete (scheduler, host->pool) && endpoint->n_tasks == 0 &&
         !endpoint->draining && !endpoint->cordoned_for_wave &&
         endpoint->unresponsive_since_ms == 0 &&
         scheduler->now_ms - endpoint->idle_since_ms >= idle_ms &&
         scheduler->now_ms - host->moved_ms >= HOST_STAY_MIN_MS &&
         endpoint->completions_acked >= endpoint->completions_seen;
}

/* Returns a host of a pool that may move, or NULL. */
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

/* Sends a move command. No more tasks are placed on the endpoint from now on. */
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

/* Returns the number of hosts that a pool keeps while another pool is short of hosts. */
static unsigned
pool_hosts_kept (const struct pool *pool, bool urgent)
{
  return MAX (urgent ? pool->hosts_urgent : pool->hosts_wanted, POOL_HOSTS_MIN);
}

/* Finds a host for a pool that is short of hosts: one of a standby pool, or an idle one of a pool
 * that has more than it needs. If the shortage is urgent, the other pool's late jobs don't count as
 * demand. */
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

/* Moves hosts to a pool until it has the wanted number, as far as other pools can spare them. */
static void
pool_grow (struct scheduler *scheduler, struct pool *pool)
{
  while (!pool->standby && pool->n_hosts < pool->hosts_wanted)
    {
      struct host *host = scheduler_find_spare_host (scheduler, pool, false);

      if (!host)
        return;
      host_move (scheduler, host, pool);
    }
}

/* Moves hosts of the standby pool to a pool for suspects that wait for a trial. Other pools don't
 * wait for them: a queue whose tasks crash endpoints takes no hosts from others. */
static void
pool_grow_for_trials (struct scheduler *scheduler, struct pool *pool, const struct pool *standby)
{
  while (pool->n_hosts < pool->hosts_wanted + pool->n_jobs_awaiting_trial)
    {
      struct host *host = pool_free_host (scheduler, standby, 0);

      if (!host)
        return;
      host_move (scheduler, host, pool);
    }
}

/* Moves idle hosts of a pool that has too many to the standby pool. */
static void
pool_shrink (struct scheduler *scheduler, struct pool *pool, struct pool *standby)
{
  while (pool->n_hosts > MAX (pool->hosts_wanted + pool->n_jobs_awaiting_trial, POOL_HOSTS_MIN))
    {
      struct host *host = pool_free_host (scheduler, pool, IDLE_FOR_STANDBY_MS);

      if (!host)
        return;
      host_move (scheduler, host, standby);
    }
}

/* Returns whether a host is on its way to a pool. */
static bool
host_is_on_its_way (const struct scheduler *scheduler, const struct host *host,
                    const struct pool *pool)
{
  bool on_its_way = host->target_pool || host->state == HOST_MOVING ||
                    (host->state == HOST_UP && !host_endpoint (scheduler, host));

  return on_its_way && host_counts_in_pool (scheduler, host) &&
         strcmp (host->target_pool ? host->target_pool : host->pool, pool->name) == 0;
}

/* Returns what a pool lacks for its timely jobs. */
static struct host_lack
pool_lack (const struct scheduler *scheduler, const struct pool *pool)
{
  const struct host *host;
  struct host_lack lack = { 0 };

  if (pool->standby || pool->n_hosts >= pool->hosts_urgent)
    return lack;
  lack.lacking = pool->hosts_urgent - pool->n_hosts;
  TAILQ_FOREACH (host, &scheduler->hosts, link)
    lack.coming += host_is_on_its_way (scheduler, host, pool);
  return lack;
}

/* Moves hosts to the pools that lack some for their timely jobs, in proportion to what each lacks,
 * as far as other pools can spare them. */
static void
scheduler_share_hosts (struct scheduler *scheduler)
{
  g_autoptr (GPtrArray) pools = g_ptr_array_new ();
  g_autofree struct host_lack *lacks = NULL;
  struct pool *pool;
  size_t next;

  TAILQ_FOREACH (pool, &scheduler->pools, link)
    g_ptr_array_add (pools, pool);
  lacks = g_new0 (struct host_lack, pools->len);
  for (guint i = 0; i < pools->len; i++)
    lacks[i] = pool_lack (scheduler, g_ptr_array_index (pools, i));
  while ((next = host_demand_next (lacks, pools->len)) < pools->len)
    {
      struct host *host;

      pool = g_ptr_array_index (pools, next);
      host = scheduler_find_spare_host (scheduler, pool, true);
      if (!host)
        return;
      host_move (scheduler, host, pool);
      lacks[next].lacking--;
      lacks[next].coming++;
    }
}

/* Returns whether a long-running task of a pool has waited for STARVED_MS and no host is on its way
 * to the pool. */
static bool
pool_is_starved (const struct scheduler *scheduler, const struct pool *pool)
{
  const struct host *host;

  if (pool->starved_since_ms == 0 || scheduler->now_ms - pool->starved_since_ms < STARVED_MS)
    return false;
  TAILQ_FOREACH (host, &scheduler->hosts, link)
    {
      if (host_is_on_its_way (scheduler, host, pool))
        return false;
    }
  return true;
}

/* Marks up to limit endpoints of a pool as being released to another pool; those already marked
 * come first. Endpoints with long-running tasks are not marked. Returns the number
 * marked. */
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
      bool can_be_released = !endpoint->being_released && endpoint->listed &&
                             endpoint->fence_accepted && !endpoint->cordoned &&
                             !endpoint->draining && endpoint->n_long_running == 0;

      if (n >= limit)
        break;
      endpoint->being_released = endpoint->being_released || can_be_released;
      n += can_be_released;
    }
  return n;
}

/* Chooses the endpoints that get no new tasks because other pools need their hosts for jobs that
 * can still meet their objective, while their own pool would use them for late jobs only. Otherwise
 * a queue with a backlog would keep all its hosts busy and make the next queue late as well. */
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

/* Returns the capacity of a pool's hosts, or of any host if the pool has none. */
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

/* Notes whether jobs are missing because the journal has not been read lately. */
static void
scheduler_check_journal (struct scheduler *scheduler)
{
  int64_t unread_ms = scheduler->now_ms - scheduler_arrivals_known_ms (scheduler);
  bool unread = unread_ms >= JOURNAL_UNREAD_MS;

  if (unread != scheduler->journal_unread)
    scheduler_log (scheduler, "%s: journal_unread_ms=%" G_GINT64_FORMAT,
                   unread ? "arrivals unknown, pools keep their hosts" : "arrivals known again",
                   unread_ms);
  scheduler->journal_unread = unread;
}

/* Computes how many hosts a pool needs. While jobs are missing, that is not less than it was when
 * the journal was last read. */
static void
pool_count_needed (struct scheduler *scheduler, struct pool *pool)
{
  struct resources size = pool_host_size (scheduler, pool);
  unsigned urgent_min = scheduler->journal_unread ? pool->hosts_urgent : 0;
  unsigned wanted_min = scheduler->journal_unread ? pool->hosts_wanted : 0;
  struct host_request request;
  struct host_need need;

  pool_sum_demand (scheduler, pool);
  pool_add_lost_capacity (scheduler, pool);
  request = (struct host_request){ pool->request, pool->late_request, pool->suspect_request };
  need = host_demand_count (&request, &size);
  resources_add (&pool->request, &pool->late_request);
  pool->hosts_urgent = MAX (need.urgent, urgent_min);
  pool->hosts_wanted = MAX (need.wanted, wanted_min);
  pool->hosts_beside_suspects = need.beside_suspects;
  /* Free capacity may be fragmented, or be on endpoints that a step's spread limit excludes. */
  if (pool_is_starved (scheduler, pool))
    pool->hosts_urgent = MAX (pool->hosts_urgent, pool->n_hosts + 1);
  pool->hosts_wanted = MAX (pool->hosts_wanted, pool->hosts_urgent);
}

/* Computes how many hosts each pool needs and moves hosts accordingly. */
void
scheduler_size_pools (struct scheduler *scheduler)
{
  struct pool *pool;
  struct pool *standby = NULL;

  if (!scheduler->host_commands_allowed || !scheduler->hosts_loaded)
    return;
  scheduler_check_journal (scheduler);
  scheduler_count_hosts (scheduler);
  scheduler_sum_workspace_demand (scheduler);
  TAILQ_FOREACH (pool, &scheduler->pools, link)
    {
      pool_count_needed (scheduler, pool);
      if (pool->standby)
        standby = pool;
    }
  scheduler->hosts_are_short = false;
  scheduler_share_hosts (scheduler);
  scheduler_choose_released (scheduler);
  TAILQ_FOREACH (pool, &scheduler->pools, link)
    {
      pool_grow (scheduler, pool);
      scheduler->hosts_are_short =
          scheduler->hosts_are_short || (!pool->standby && pool->n_hosts < pool->hosts_wanted);
    }
  TAILQ_FOREACH (pool, &scheduler->pools, link)
    {
      if (!standby || pool->standby)
        continue;
      if (!scheduler->hosts_are_short)
        pool_grow_for_trials (scheduler, pool, standby);
      pool_shrink (scheduler, pool, standby);
    }
}
