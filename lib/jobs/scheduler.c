#include "scheduler_state.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

enum
{
  PERMILLE = 1000,
  LOG_LINE_BYTES = 320,
  /* Difference between the fences of two successive epochs, which leaves room for the incarnations
   * of an endpoint in between. */
  INCARNATIONS_PER_EPOCH = 1 << 20,
  /* Endpoint clocks may run 2% slow, so a lease may last 2% longer than it should. */
  SLOW_CLOCK_PERMILLE = 20,
  /* Time for a command that was in transit when its sender lost the leadership. */
  TAKEOVER_COMMAND_MARGIN_MS = 500,
  /* How often the pools are sized; a move takes longer than this. */
  SIZING_INTERVAL_MS = 100,
  /* How often the state of the pools is logged. */
  POOLS_LOG_INTERVAL_MS = 1000,
};

/* Returns a pool; creates it if needed, because jobs may arrive before the configuration that names
 * their pool. */
struct pool *
scheduler_pool (struct scheduler *scheduler, const char *name)
{
  struct pool *pool;

  TAILQ_FOREACH (pool, &scheduler->pools, link)
    {
      if (strcmp (pool->name, name) == 0)
        return pool;
    }
  pool = g_new0 (struct pool, 1);
  pool->name = g_strdup (name);
  TAILQ_INIT (&pool->endpoints);
  TAILQ_INIT (&pool->jobs);
  TAILQ_INSERT_TAIL (&scheduler->pools, pool, link);
  return pool;
}

/* Applies a pool of the configuration. */
void
scheduler_set_pool (struct scheduler *scheduler, const char *name, bool standby)
{
  scheduler_pool (scheduler, name)->standby = standby;
}

/* Writes a line to the log; lines longer than LOG_LINE_BYTES are cut off. */
void
scheduler_log (struct scheduler *scheduler, const char *format, ...)
{
  char line[LOG_LINE_BYTES];
  va_list args;

  if (!scheduler->ops.log)
    return;
  va_start (args, format);
  vsnprintf (line, sizeof line, format, args);
  va_end (args);
  scheduler->ops.log (scheduler->ops.ctx, line);
}

/* Stops sending commands because another leader has taken over. */
void
scheduler_step_down (struct scheduler *scheduler, const char *why)
{
  if (scheduler->superseded)
    return;
  scheduler->superseded = true;
  scheduler->ops.superseded (scheduler->ops.ctx, why);
}

/* Creates the scheduler of a new leader, with all jobs that are not finished. */
struct scheduler *
scheduler_create (const struct scheduler_config *config, const struct scheduler_ops *ops,
                  struct job_table *all_jobs, int64_t now_ms, int64_t wall_ms)
{
  struct scheduler *scheduler = g_new0 (struct scheduler, 1);

  scheduler->config = *config;
  scheduler->ops = *ops;
  scheduler->locality = task_locality_create (config);
  scheduler->all_jobs = all_jobs;
  scheduler->now_ms = now_ms;
  scheduler->wall_ms = wall_ms;
  scheduler->leading_since_ms = now_ms;
  scheduler->sole_ms = INT64_MAX;
  scheduler->leases_end_ms = INT64_MAX;
  scheduler->journal_read_ms = INT64_MAX;
  scheduler->highest_fence = config->epoch * INCARNATIONS_PER_EPOCH;
  scheduler->host_commands_allowed = true;
  scheduler->starts_per_pass = STARTS_PER_PASS_DIRECT;
  scheduler->durations = duration_model_create ();
  scheduler->endpoints = g_hash_table_new (g_str_hash, g_str_equal);
  scheduler->hosts_by_id = g_hash_table_new (g_str_hash, g_str_equal);
  scheduler->hosts_by_endpoint = g_hash_table_new (g_str_hash, g_str_equal);
  scheduler->dirty = g_hash_table_new (g_direct_hash, g_direct_equal);
  TAILQ_INIT (&scheduler->pools);
  TAILQ_INIT (&scheduler->hosts);
  TAILQ_INIT (&scheduler->waves);
  scheduler->cautious_queues = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  TAILQ_INIT (&scheduler->crashes);
  TAILQ_INIT (&scheduler->unresolved_losses);
  scheduler_add_jobs (scheduler);
  return scheduler;
}

/* Frees a scheduler when its leadership ends. The jobs keep their progress. */
void
scheduler_destroy (struct scheduler *scheduler)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, scheduler->all_jobs->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    scheduler_remove_job (scheduler, value);
  g_hash_table_iter_init (&iter, scheduler->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    endpoint_remove (value);
  while (!TAILQ_EMPTY (&scheduler->pools))
    {
      struct pool *pool = TAILQ_FIRST (&scheduler->pools);

      TAILQ_REMOVE (&scheduler->pools, pool, link);
      share_order_destroy (pool->shares);
      g_free (pool->name);
      g_free (pool);
    }
  while (!TAILQ_EMPTY (&scheduler->hosts))
    scheduler_remove_host (scheduler, TAILQ_FIRST (&scheduler->hosts));
  while (!TAILQ_EMPTY (&scheduler->waves))
    {
      struct wave *wave = TAILQ_FIRST (&scheduler->waves);

      TAILQ_REMOVE (&scheduler->waves, wave, link);
      wave_destroy (wave);
    }
  task_locality_destroy (scheduler->locality);
  scheduler_clear_crashes (scheduler);
  scheduler_clear_losses (scheduler);
  scheduler_clear_workspaces (scheduler);
  g_hash_table_destroy (scheduler->cautious_queues);
  g_hash_table_destroy (scheduler->endpoints);
  g_hash_table_destroy (scheduler->hosts_by_id);
  g_hash_table_destroy (scheduler->hosts_by_endpoint);
  g_hash_table_destroy (scheduler->dirty);
  duration_model_destroy (scheduler->durations);
  g_free (scheduler);
}

/* Removes an endpoint without tasks from its pool and frees it. */
void
endpoint_remove (struct endpoint *endpoint)
{
  if (endpoint->member_of)
    TAILQ_REMOVE (&endpoint->member_of->endpoints, endpoint, pool_link);
  endpoint_clear_unknown (endpoint);
  endpoint_destroy (endpoint);
}

/* Adds an endpoint to a pool, and removes it from its former pool. */
static void
pool_add_endpoint (struct pool *pool, struct endpoint *endpoint)
{
  if (endpoint->member_of == pool)
    return;
  if (endpoint->member_of)
    TAILQ_REMOVE (&endpoint->member_of->endpoints, endpoint, pool_link);
  endpoint->member_of = pool;
  TAILQ_INSERT_TAIL (&pool->endpoints, endpoint, pool_link);
}

/* Returns whether an entry of the registry is older than what is known of the endpoint: of a former
 * incarnation, or written earlier by the present one. A stale read may return it. */
static bool
endpoint_entry_is_old (const struct endpoint *endpoint, const struct endpoint_entry *entry)
{
  if (entry->born_ms != endpoint->born_ms)
    return entry->born_ms > 0 && entry->born_ms < endpoint->born_ms;
  return entry->sequence > 0 && entry->sequence < endpoint->sequence;
}

/* Applies an entry of the registry. */
void
scheduler_endpoint_listed (struct scheduler *scheduler, const struct endpoint_entry *entry,
                           int64_t now_ms)
{
  struct endpoint *endpoint = g_hash_table_lookup (scheduler->endpoints, entry->id);
  struct pool *pool;
  bool was_draining;

  scheduler->now_ms = now_ms;
  if (!endpoint)
    {
      endpoint = endpoint_create (entry->id, now_ms);
      /* The endpoint may have left the registry for a while, and holds the fence that was raised
       * for it before. */
      endpoint->fence = scheduler->highest_fence;
      endpoint->born_ms = entry->born_ms;
      g_hash_table_insert (scheduler->endpoints, endpoint->id, endpoint);
      scheduler_log (scheduler, "endpoint added: endpoint=%s pool=%s age_ms=%" G_GINT64_FORMAT,
                     entry->id, entry->pool, scheduler->wall_ms - entry->born_ms);
    }
  if (endpoint_entry_is_old (endpoint, entry))
    {
      scheduler_log (scheduler,
                     "older registry entry ignored: endpoint=%s born_ms=%" G_GINT64_FORMAT
                     " known_born_ms=%" G_GINT64_FORMAT " sequence=%" G_GUINT64_FORMAT
                     " known_sequence=%" G_GUINT64_FORMAT,
                     entry->id, entry->born_ms, endpoint->born_ms, entry->sequence,
                     endpoint->sequence);
      return;
    }
  if (entry->born_ms > endpoint->born_ms)
    endpoint_begin_incarnation (scheduler, endpoint, entry->born_ms);
  if (!endpoint->listed)
    endpoint_set_alive (scheduler, endpoint);
  pool = scheduler_pool (scheduler, entry->pool);
  was_draining = endpoint->draining;
  if (endpoint->member_of && endpoint->capacity.cpu_milli != entry->capacity.cpu_milli)
    scheduler_log (scheduler,
                   "endpoint capacity changed: endpoint=%s cpu_milli=%" G_GINT64_FORMAT
                   " was=%" G_GINT64_FORMAT " used=%" G_GINT64_FORMAT,
                   entry->id, entry->capacity.cpu_milli, endpoint->capacity.cpu_milli,
                   endpoint->used.cpu_milli);
  endpoint_update (endpoint, entry);
  if (endpoint->entry_missing_since_ms > 0 && endpoint_entry_is_current (endpoint))
    {
      scheduler_log (scheduler,
                     "registry entry of the present incarnation: endpoint=%s"
                     " born_ms=%" G_GINT64_FORMAT " after_ms=%" G_GINT64_FORMAT,
                     entry->id, entry->born_ms, now_ms - endpoint->entry_missing_since_ms);
      endpoint->entry_missing_since_ms = 0;
    }
  pool_add_endpoint (pool, endpoint);
  if (endpoint->draining && !was_draining)
    endpoint->next_heartbeat_ms = now_ms;
  pool->changed = true;
}

/* Handles the removal of an endpoint's entry from the registry: it has left, or did not renew the
 * entry. */
void
scheduler_endpoint_unlisted (struct scheduler *scheduler, const char *id, int64_t now_ms)
{
  struct endpoint *endpoint = g_hash_table_lookup (scheduler->endpoints, id);

  scheduler->now_ms = now_ms;
  if (!endpoint)
    return;
  endpoint->listed = false;
  scheduler_log (scheduler, "endpoint removed from the registry: endpoint=%s draining=%d tasks=%u",
                 id, endpoint->draining, endpoint->n_tasks);
}

/* Called once the whole registry has been read. */
void
scheduler_registry_read (struct scheduler *scheduler)
{
  scheduler->registry_loaded = true;
}

/* Allows or forbids commands that move or maintain hosts. */
void
scheduler_allow_host_commands (struct scheduler *scheduler, bool allowed)
{
  scheduler->host_commands_allowed = allowed;
}

void
scheduler_set_leadership (struct scheduler *scheduler, int64_t sole_ms, int64_t leases_end_ms)
{
  scheduler->sole_ms = sole_ms;
  scheduler->leases_end_ms = leases_end_ms;
}

void
scheduler_set_journal_read (struct scheduler *scheduler, int64_t read_ms)
{
  scheduler->journal_read_ms = read_ms;
}

/* Returns the time up to which all arrivals of jobs are known. */
int64_t
scheduler_arrivals_known_ms (const struct scheduler *scheduler)
{
  return MIN (scheduler->now_ms, scheduler->journal_read_ms);
}

bool
scheduler_earlier_leases_ended (const struct scheduler *scheduler, int64_t now_ms)
{
  int64_t longest_ms = scheduler->config.lease_ms * (PERMILLE + SLOW_CLOCK_PERMILLE) / PERMILLE +
                       TAKEOVER_COMMAND_MARGIN_MS;

  return now_ms >= scheduler->config.earlier_grants_until_ms + longest_ms;
}

/* Returns whether an endpoint may run tasks of an earlier leader that this one doesn't know: it has
 * not responded, and no machine list that was requested after it began shows that it has ended. */
static bool
endpoint_is_unreported (const struct scheduler *scheduler, const struct endpoint *endpoint)
{
  if (endpoint->fence_accepted || endpoint->gone)
    return false;
  return scheduler_endpoint_has_host (scheduler, endpoint->id) ||
         scheduler->hosts_sent_ms <= endpoint->alive_ms;
}

/* Returns whether each endpoint of a pool that may run tasks of an earlier leader has responded.
 * Tasks that a host ran in another pool ended when it was moved. */
static bool
pool_endpoints_have_reported (const struct scheduler *scheduler, const struct pool *pool)
{
  const struct endpoint *endpoint;
  const struct host *host;

  if (!scheduler->registry_loaded || !scheduler->hosts_loaded)
    return false;
  TAILQ_FOREACH (endpoint, &pool->endpoints, pool_link)
    {
      if (endpoint_is_unreported (scheduler, endpoint))
        return false;
    }
  TAILQ_FOREACH (host, &scheduler->hosts, link)
    {
      if (host->state == HOST_UP && host->endpoint_id && strcmp (host->pool, pool->name) == 0 &&
          !g_hash_table_contains (scheduler->endpoints, host->endpoint_id))
        return false;
    }
  return true;
}

/* Counts a pool's endpoints that may run and have not responded to this leader. */
static unsigned
pool_count_unreported (const struct scheduler *scheduler, const struct pool *pool)
{
  const struct endpoint *endpoint;
  unsigned n = 0;

  TAILQ_FOREACH (endpoint, &pool->endpoints, pool_link)
    n += endpoint_is_unreported (scheduler, endpoint);
  return n;
}

/* Ends a pool's takeover once no task of an earlier leader can run unnoticed there: all its
 * endpoints have responded, or every lease that an earlier leader granted has expired. */
static void
pool_check_takeover (struct scheduler *scheduler, struct pool *pool)
{
  int64_t elapsed_ms = scheduler->now_ms - scheduler->leading_since_ms;

  if (pool->takeover_complete || (!pool_endpoints_have_reported (scheduler, pool) &&
                                  !scheduler_earlier_leases_ended (scheduler, scheduler->now_ms)))
    return;
  pool->takeover_complete = true;
  pool->changed = true;
  scheduler_log (scheduler,
                 "takeover complete: pool=%s after_ms=%" G_GINT64_FORMAT " endpoints_unreported=%u",
                 pool->name, elapsed_ms, pool_count_unreported (scheduler, pool));
}

/* Checks all endpoints, and frees those that have left, have no tasks and no calls in flight. */
static void
scheduler_tick_endpoints (struct scheduler *scheduler)
{
  GHashTableIter iter;
  gpointer value;

  scheduler->n_unresponsive_with_tasks = 0;
  g_hash_table_iter_init (&iter, scheduler->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct endpoint *endpoint = value;

      endpoint_tick (scheduler, endpoint);
      scheduler->n_unresponsive_with_tasks +=
          endpoint->n_tasks > 0 && endpoint->unresponsive_since_ms > 0;
      if (!endpoint->listed && endpoint->n_tasks == 0 && endpoint->calls == 0 &&
          !endpoint_has_unknown (endpoint))
        {
          g_hash_table_iter_remove (&iter);
          endpoint_forget_waits (scheduler, endpoint);
          endpoint_remove (endpoint);
        }
    }
}

bool
scheduler_awaits_hosts (const struct scheduler *scheduler)
{
  return scheduler->n_unresponsive_with_tasks > 0 || !TAILQ_EMPTY (&scheduler->unresolved_losses);
}

/* Sends the commands of tasks that are due for a retry. */
static void
scheduler_resend_commands (struct scheduler *scheduler)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, scheduler->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct endpoint *endpoint = value;
      struct task *task = TAILQ_FIRST (&endpoint->tasks);

      while (task)
        {
          struct task *next = TAILQ_NEXT (task, endpoint_link);

          task_send_commands (scheduler, task);
          task = next;
        }
    }
}

/* Logs, for each pool with work, how many tasks are ready and how many are assigned to endpoints,
 * and how many hosts it has. */
static void
scheduler_log_pools (struct scheduler *scheduler)
{
  const struct pool *pool;

  if (scheduler->now_ms < scheduler->next_pools_log_ms)
    return;
  scheduler->next_pools_log_ms = scheduler->now_ms + POOLS_LOG_INTERVAL_MS;
  TAILQ_FOREACH (pool, &scheduler->pools, link)
    {
      const struct endpoint *endpoint;
      const struct job *job;
      unsigned n_ready = 0;
      unsigned n_running = 0;
      unsigned n_unresponsive = 0;

      TAILQ_FOREACH (job, &pool->jobs, pool_link)
        n_ready += job->n_ready;
      TAILQ_FOREACH (endpoint, &pool->endpoints, pool_link)
        {
          n_running += endpoint->n_tasks;
          n_unresponsive += endpoint->unresponsive_since_ms > 0;
        }
      if (n_ready + n_running > 0)
        scheduler_log (scheduler,
                       "pool: name=%s tasks_ready=%u tasks_running=%u hosts=%u hosts_wanted=%u "
                       "endpoints_silent=%u known=%d",
                       pool->name, n_ready, n_running, pool->n_hosts, pool->hosts_wanted,
                       n_unresponsive, pool->takeover_complete);
    }
  scheduler_log_workspaces (scheduler);
}

void
scheduler_set_starts_per_pass (struct scheduler *scheduler, unsigned limit)
{
  scheduler->starts_per_pass = limit;
}

/* Runs a scheduling pass: sends the commands that are due. */
void
scheduler_tick (struct scheduler *scheduler, int64_t now_ms, int64_t wall_ms)
{
  struct pool *pool;

  scheduler->now_ms = now_ms;
  scheduler->wall_ms = wall_ms;
  if (scheduler->superseded)
    return;
  scheduler_tick_endpoints (scheduler);
  scheduler_resend_commands (scheduler);
  scheduler_judge_crashes (scheduler);
  scheduler_advance_jobs (scheduler);
  scheduler_remove_finished_jobs (scheduler);
  TAILQ_FOREACH (pool, &scheduler->pools, link)
    pool_check_takeover (scheduler, pool);
  scheduler_place (scheduler);
  scheduler_log_pools (scheduler);
  scheduler_log_load (scheduler);
  if (now_ms < scheduler->next_sizing_ms)
    return;
  scheduler->next_sizing_ms = now_ms + SIZING_INTERVAL_MS;
  scheduler_advance_waves (scheduler);
  scheduler_size_pools (scheduler);
  scheduler_update_outlook (scheduler);
  /* Endpoints that were avoided for a while become usable again without any event. */
  TAILQ_FOREACH (pool, &scheduler->pools, link)
    pool->changed = true;
}

/* Returns the scheduler's counters in counts. */
void
scheduler_get_counts (const struct scheduler *scheduler, struct scheduler_counts *counts)
{
  GHashTableIter iter;
  gpointer value;
  const struct pool *pool;
  const struct job *job;

  *counts = scheduler->counts;
  scheduler_count_waits (scheduler, counts);
  g_hash_table_iter_init (&iter, scheduler->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct endpoint *endpoint = value;

      counts->endpoints++;
      counts->endpoints_unresponsive += endpoint->unresponsive_since_ms > 0;
      counts->tasks_running += endpoint->n_tasks;
    }
  TAILQ_FOREACH (pool, &scheduler->pools, link)
    {
      TAILQ_FOREACH (job, &pool->jobs, pool_link)
        counts->tasks_ready += job->n_ready;
    }
}
