#include "lib/dispatch/state.h"

#include "lib/slots/home.h"

enum
{
  /* While requests of both classes wait, one in this many started requests is nightly. */
  NIGHTLY_INTERVAL = 10,
  /* Time between queue runs of an idle group. */
  IDLE_GROUP_PERIOD_MS = 50,
};

/* Returns the route of the traffic class (nightly or interactive) whose first queued request
 * arrived earliest, or NULL. */
static struct route *
group_oldest_route (const struct worker_group *group, bool nightly)
{
  struct route *best = NULL;
  struct route *route;

  LIST_FOREACH (route, &group->routes, group_link)
    {
      const struct request *first = TAILQ_FIRST (&route->queue.requests);

      if (!first || nightly != (route->traffic_class == SP__TRAFFIC_CLASS__TRAFFIC_CLASS_NIGHTLY))
        continue;
      if (!best || first->arrived_ms < TAILQ_FIRST (&best->queue.requests)->arrived_ms)
        best = route;
    }
  return best;
}

/* Returns the route whose first request is to be started next, or NULL if no request waits. */
static struct route *
group_next_route (const struct worker_group *group)
{
  struct route *interactive = group_oldest_route (group, false);
  struct route *nightly = group_oldest_route (group, true);

  if (!interactive)
    return nightly;
  if (nightly && group->interactive_since_nightly >= NIGHTLY_INTERVAL - 1)
    return nightly;
  return interactive;
}

/* Starts the first queued request that gets a slot. Fails expired requests on the way, and skips
 * retries that still avoid the host or rack where they failed. Returns false if none was
 * started. */
static bool
route_start_one (struct dispatch *dispatch, struct route *route, int64_t now_ms)
{
  struct request *request = TAILQ_FIRST (&route->queue.requests);
  struct request *next;

  for (; request; request = next)
    {
      struct worker *worker;
      int slot;

      next = TAILQ_NEXT (request, link);
      if (request_expire (dispatch, request, now_ms))
        continue;
      worker = slots_acquire (dispatch, route, request, &slot, now_ms);
      if (!worker && request->failed_host)
        continue;
      if (!worker)
        return false;
      request_queue_remove (&route->queue, request);
      request->slot = slot;
      request_start (dispatch, request, worker, now_ms);
      return true;
    }
  return false;
}

/* Starts queued requests while the group has slots, and reports the remaining demand to the
 * homes. */
void
dispatch_run_queues (struct dispatch *dispatch, struct worker_group *group, int64_t now_ms)
{
  struct route *route;

  while ((route = group_next_route (group)) && route_start_one (dispatch, route, now_ms))
    if (route->traffic_class == SP__TRAFFIC_CLASS__TRAFFIC_CLASS_NIGHTLY)
      group->interactive_since_nightly = 0;
    else
      group->interactive_since_nightly++;
  slots_flush (dispatch, group, now_ms);
}

/* Returns whether no request of the group is open and none of its slots is held, in use or lent. */
static bool
group_is_idle (const struct worker_group *group)
{
  const struct slot_pool *pool;
  const struct route *route;

  LIST_FOREACH (route, &group->routes, group_link)
    if (route->n_requests > 0)
      return false;
  LIST_FOREACH (pool, &group->pools, link)
    if (pool->n_held + pool->n_busy > 0 ||
        (pool->local_home && slot_home_in_use (pool->local_home)))
      return false;
  return true;
}

/* Runs the queues of all groups, and the periodic work of their homes. An idle group is run only
 * every IDLE_GROUP_PERIOD_MS. */
void
dispatch_run_due (struct dispatch *dispatch, int64_t now_ms)
{
  struct worker_group *group;
  struct slot_pool *pool;

  LIST_FOREACH (group, &dispatch->routes.groups, link)
    {
      if (now_ms - group->run_ms < IDLE_GROUP_PERIOD_MS && group_is_idle (group))
        continue;
      group->run_ms = now_ms;
      slots_update_usable (group, now_ms);
      dispatch_run_queues (dispatch, group, now_ms);
      LIST_FOREACH (pool, &group->pools, link)
        if (pool->local_home)
          slot_home_tick (pool->local_home, now_ms);
    }
}

/* Updates the usable workers of all groups and runs their queues. */
void
dispatch_run_all (struct dispatch *dispatch, int64_t now_ms)
{
  struct worker_group *group;

  LIST_FOREACH (group, &dispatch->routes.groups, link)
    {
      slots_update_usable (group, now_ms);
      dispatch_run_queues (dispatch, group, now_ms);
    }
}
