#include "lib/dispatch/state.h"

#include <string.h>

#include "lib/slots/home.h"

enum
{
  /* How long a retry waits for a slot outside the rack, and outside the host, where the last
   * attempt failed. */
  OTHER_RACK_WAIT_MS = 20,
  OTHER_HOST_WAIT_MS = 60,
  /* A worker counts as stalled if no attempt has ended for this multiple of the longest smoothed
   * attempt time among its group's services, and for at least STALL_MIN_MS. */
  STALL_FACTOR = 10,
  STALL_MIN_MS = 300,
};

/* Sends a report of a pool to a member. */
static void
pool_send_report (void *ctx, size_t member, Sp__SlotReport *report)
{
  Sp__PeerMessage message = SP__PEER_MESSAGE__INIT;

  message.body_case = SP__PEER_MESSAGE__BODY_SLOT_REPORT;
  message.slot_report = report;
  dispatch_send (ctx, member, &message);
}

/* Passes the pool's workers to its home, if that is on this entry host. */
static void
pool_update_home_workers (struct slot_pool *pool, const struct worker_group *group)
{
  const struct worker *worker;

  if (!pool->local_home)
    return;
  slot_home_begin_workers (pool->local_home);
  LIST_FOREACH (worker, &group->workers, link)
    if (worker->slot_state.pool == pool)
      slot_home_set_worker (pool->local_home, worker->slot_state.key, worker->slot_state.n,
                            !worker->leaving);
  slot_home_end_workers (pool->local_home);
}

/* Replaces the group's pools by n empty ones. */
static void
group_replace_pools (struct dispatch *dispatch, struct worker_group *group, uint32_t n,
                     int64_t now_ms)
{
  struct slot_pool_ops ops = { pool_send_report, dispatch };
  struct worker *worker;

  LIST_FOREACH (worker, &group->workers, link)
    {
      slot_pool_leave (&worker->slot_state);
      worker->slot_state.held = 0;
    }
  while (!LIST_EMPTY (&group->pools))
    {
      struct slot_pool *pool = LIST_FIRST (&group->pools);

      LIST_REMOVE (pool, link);
      slot_pool_destroy (pool);
    }
  group->n_pools = n;
  for (uint32_t i = 0; i < n; i++)
    {
      g_autofree char *name = g_strdup_printf ("%s/%u/%u", group->name, i, n);
      struct slot_pool *pool = slot_pool_create (name, dispatch->membership, &ops, now_ms);

      pool->group = group;
      LIST_INSERT_HEAD (&group->pools, pool, link);
    }
}

/* Returns the pool of a group that a worker's slots belong to: the one with number key % n_pools.
 * The list is in descending order of the numbers. */
static struct slot_pool *
group_find_pool (const struct worker_group *group, uint32_t key)
{
  struct slot_pool *pool = LIST_FIRST (&group->pools);

  for (uint32_t i = group->n_pools - 1; i > key % group->n_pools; i--)
    pool = LIST_NEXT (pool, link);
  return pool;
}

/* Returns whether another worker of the group has the same key and takes precedence by its host
 * name. */
static bool
worker_key_taken (const struct worker *worker)
{
  const struct worker *other;

  LIST_FOREACH (other, &worker->group->workers, link)
    if (other != worker && !other->gone && other->slot_state.key == worker->slot_state.key &&
        strcmp (other->host, worker->host) < 0)
      return true;
  return false;
}

/* Moves a worker's slots into the pool that they belong to, or out of all pools. Initializes them
 * at the first call. */
static void
worker_join_pool (struct dispatch *dispatch, struct worker *worker)
{
  struct worker_group *group = worker->group;
  struct slot_pool *pool;

  if (worker->slot_state.n == 0)
    {
      uint32_t key = worker_key (worker->host, worker->port);

      worker_slots_init (&worker->slot_state, key, worker->n_slots, dispatch->membership);
    }
  pool = worker->gone || group->n_pools == 0 || worker_key_taken (worker)
             ? NULL
             : group_find_pool (group, worker->slot_state.key);
  if (worker->slot_state.pool == pool)
    return;
  slot_pool_leave (&worker->slot_state);
  worker->slot_state.held = 0;
  if (pool)
    slot_pool_join (pool, &worker->slot_state);
}

/* Updates the slot pools for a new route table. */
void
slots_set_routes (struct dispatch *dispatch, int64_t now_ms)
{
  struct worker_group *group;
  struct worker *worker;
  struct slot_pool *pool;

  LIST_FOREACH (group, &dispatch->routes.groups, link)
    {
      uint32_t n = (group->n_workers + POOL_WORKERS_MAX - 1) / POOL_WORKERS_MAX;

      if (dispatch->policy != DISPATCH_POLICY_LEND)
        n = 0;
      if (n != group->n_pools && n > 0)
        group_replace_pools (dispatch, group, n, now_ms);
      LIST_FOREACH (worker, &group->workers, link)
        worker_join_pool (dispatch, worker);
      LIST_FOREACH (pool, &group->pools, link)
        pool_update_home_workers (pool, group);
      slots_update_usable (group, now_ms);
    }
  slots_index_pools (dispatch);
}

/* Rebuilds the index of pools. */
void
slots_index_pools (struct dispatch *dispatch)
{
  struct worker_group *group;
  struct slot_pool *pool;

  g_hash_table_remove_all (dispatch->pools);
  LIST_FOREACH (group, &dispatch->routes.groups, link)
    LIST_FOREACH (pool, &group->pools, link)
      g_hash_table_insert (dispatch->pools, GUINT_TO_POINTER (pool->hash), pool);
}

/* Returns whether the reserved slots of at least one pool may be used, or there is no pool. */
bool
slots_are_usable (const struct dispatch *dispatch, int64_t now_ms)
{
  const struct worker_group *group;
  const struct slot_pool *pool;
  bool has_pool = false;

  LIST_FOREACH (group, &dispatch->routes.groups, link)
    LIST_FOREACH (pool, &group->pools, link)
      {
        if (now_ms >= pool->reserved_after_ms)
          return true;
        has_pool = true;
      }
  return !has_pool;
}

/* Returns the pool with that name hash, or NULL. */
struct slot_pool *
slots_find_pool (const struct dispatch *dispatch, uint32_t hash)
{
  return g_hash_table_lookup (dispatch->pools, GUINT_TO_POINTER (hash));
}

/* Returns the time without a completed attempt after which a worker counts as stalled. */
static int64_t
group_stall_ms (const struct worker_group *group)
{
  const struct route *route;
  double slowest_ms = 0;

  LIST_FOREACH (route, &group->routes, group_link)
    slowest_ms = MAX (slowest_ms, route->drain_rate.attempt_ms);
  return MAX ((int64_t) (STALL_FACTOR * slowest_ms), STALL_MIN_MS);
}

/* Updates which workers accept new requests. If more than half of them fail, the cause is assumed
 * to lie elsewhere, and all workers that are not leaving stay in use. */
void
slots_update_usable (struct worker_group *group, int64_t now_ms)
{
  int64_t stall_ms = group_stall_ms (group);
  struct worker *worker;
  uint32_t healthy = 0;
  bool panic;

  LIST_FOREACH (worker, &group->workers, link)
    {
      worker_health_update (&worker->health, now_ms);
      worker->usable = !worker->gone && !worker->leaving && worker->health.state != HEALTH_OPEN &&
                       !worker_health_stalled (&worker->health, worker->running, stall_ms, now_ms);
      if (worker->usable && worker->health.state == HEALTH_CLOSED)
        healthy++;
    }
  panic = healthy * 2 < group->n_serving;
  LIST_FOREACH (worker, &group->workers, link)
    {
      if (panic)
        worker->usable = !worker->gone && !worker->leaving;
      worker->slot_state.usable = worker->usable;
    }
}

/* Returns a slot of the worker that this entry host may use now, or -1. The baseline policies only
 * count attempts and return 0. */
static int
worker_find_slot (const struct dispatch *dispatch, const struct worker *worker, int64_t now_ms)
{
  uint32_t n_members = (uint32_t) dispatch->membership->n;

  switch (dispatch->policy)
    {
    case DISPATCH_POLICY_LEND:
      return slot_pool_find (&worker->slot_state, now_ms);
    case DISPATCH_POLICY_FIXED_SHARE:
      return worker->running < (uint32_t) __builtin_popcountll (worker->slot_state.own) ? 0 : -1;
    case DISPATCH_POLICY_RANDOM:
      return worker->running < MAX (worker->connections / n_members, 1) ? 0 : -1;
    case DISPATCH_POLICY_OWN_COUNT:
      break;
    }
  return worker->running < worker->n_slots ? 0 : -1;
}

/* Returns whether a request may go to a worker, given where its last attempt failed. A half-open
 * worker gets one request at a time, and only idempotent ones. */
static bool
worker_accepts (const struct worker *worker, const struct request *request, int64_t now_ms)
{
  int64_t since_ms = now_ms - request->failed_ms;

  if (!worker->usable)
    return false;
  if (worker->health.state == HEALTH_HALF_OPEN && (worker->running > 0 || !request->idempotent))
    return false;
  if (!request->failed_host)
    return true;
  if (strcmp (worker->host, request->failed_host) == 0)
    return since_ms >= OTHER_HOST_WAIT_MS;
  return since_ms >= OTHER_RACK_WAIT_MS || worker->rack[0] == '\0' ||
         strcmp (worker->rack, request->failed_rack) != 0;
}

/* Returns the worker with an available slot that runs the fewest attempts of this entry host, or
 * NULL. */
static struct worker *
slots_choose_worker (struct dispatch *dispatch, const struct route *route,
                     const struct request *request, int64_t now_ms)
{
  bool random = dispatch->policy == DISPATCH_POLICY_RANDOM;
  struct worker *best = NULL;
  struct worker *worker;
  uint32_t ties = 0;

  LIST_FOREACH (worker, &route->group->workers, link)
    {
      bool better = !best || (!random && worker->running < best->running);

      if (!better && !random && worker->running > best->running)
        continue;
      if (!worker_accepts (worker, request, now_ms) ||
          worker_find_slot (dispatch, worker, now_ms) < 0)
        continue;
      ties = better ? 1 : ties + 1;
      if (better || g_rand_int_range (dispatch->random, 0, (gint32) ties) == 0)
        best = worker;
    }
  return best;
}

/* Acquires a slot for an attempt of the request. Returns its worker, or NULL if no slot is
 * available. */
struct worker *
slots_acquire (struct dispatch *dispatch, const struct route *route, const struct request *request,
               int *slot, int64_t now_ms)
{
  struct worker *worker = slots_choose_worker (dispatch, route, request, now_ms);

  if (!worker)
    return NULL;
  *slot = worker_find_slot (dispatch, worker, now_ms);
  if (dispatch->policy == DISPATCH_POLICY_LEND)
    slot_pool_acquire (&worker->slot_state, *slot, now_ms);
  worker_health_record_start (&worker->health, worker->running, now_ms);
  worker->running++;
  return worker;
}

/* Releases the slot of an attempt that has ended. */
void
slots_release (struct dispatch *dispatch, struct worker *worker, int slot, int64_t now_ms)
{
  g_assert (worker->running > 0);
  worker->running--;
  if (dispatch->policy == DISPATCH_POLICY_LEND)
    slot_pool_release (&worker->slot_state, slot, now_ms);
}

/* Computes how many slots the group's queued requests could use now besides idle ones, divided
 * evenly among its pools. nightly_running stays that of the whole group. */
static void
group_demand (const struct worker_group *group, int64_t now_ms, struct slot_demand *demand)
{
  const struct slot_pool *pool;
  const struct route *route;
  uint32_t idle = 0;
  uint32_t covered;

  *demand = (struct slot_demand){ 0 };
  LIST_FOREACH (route, &group->routes, group_link)
    if (route->traffic_class == SP__TRAFFIC_CLASS__TRAFFIC_CLASS_NIGHTLY)
      {
        demand->nightly += (uint32_t) route->queue.n;
        demand->nightly_running += route->running;
      }
    else
      demand->interactive += (uint32_t) route->queue.n;
  LIST_FOREACH (pool, &group->pools, link)
    idle += slot_pool_idle (pool, now_ms);
  covered = MIN (idle, demand->interactive);
  demand->interactive = (demand->interactive - covered + group->n_pools - 1) / group->n_pools;
  demand->nightly -= MIN (idle - covered, demand->nightly);
  demand->nightly = (demand->nightly + group->n_pools - 1) / group->n_pools;
}

/* Reports changes to the homes of a group's pools. */
void
slots_flush (struct dispatch *dispatch, struct worker_group *group, int64_t now_ms)
{
  struct slot_demand demand;
  struct slot_pool *pool;
  int64_t gap_ms;

  if (group->n_pools == 0)
    return;
  gap_ms = report_pace_gap_ms (&dispatch->pace, now_ms);
  group_demand (group, now_ms, &demand);
  LIST_FOREACH (pool, &group->pools, link)
    slot_pool_flush (pool, &demand, gap_ms, now_ms);
}
