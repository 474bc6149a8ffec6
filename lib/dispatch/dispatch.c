#include "lib/dispatch/state.h"

enum
{
  /* Time between ticks while requests are open, and while none is. */
  TICK_MS = 2,
  IDLE_TICK_MS = 20,
};

/* GDestroyNotify of the request table. */
static void
request_free (gpointer value)
{
  request_destroy (value);
}

/* Creates the dispatcher of one entry host, without routes. */
struct dispatch *
dispatch_create (const struct dispatch_config *config, const struct dispatch_ops *ops,
                 int64_t now_ms)
{
  struct dispatch *dispatch = g_new0 (struct dispatch, 1);

  dispatch->ops = *ops;
  dispatch->policy = config->policy;
  dispatch->queue_limit = config->queue_limit;
  dispatch->random = g_rand_new_with_seed ((guint32) config->seed);
  dispatch->requests = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, request_free);
  dispatch->membership = membership_create (config->members, config->n_members, config->name,
                                            config->incarnation, now_ms);
  report_pace_init (&dispatch->pace, now_ms);
  g_queue_init (&dispatch->local_messages);
  dispatch->pools = g_hash_table_new (NULL, NULL);
  routes_init (&dispatch->routes);
  keys_init (dispatch, now_ms);
  return dispatch;
}

/* Frees the dispatcher; open requests get no result. */
void
dispatch_destroy (struct dispatch *dispatch)
{
  keys_clear (dispatch);
  g_hash_table_destroy (dispatch->requests);
  g_hash_table_destroy (dispatch->pools);
  routes_clear (&dispatch->routes);
  g_queue_clear_full (&dispatch->local_messages, (GDestroyNotify) g_bytes_unref);
  membership_destroy (dispatch->membership);
  g_rand_free (dispatch->random);
  g_free (dispatch);
}

/* Installs a route table unless its offset is lower than that of the current one. */
bool
dispatch_set_routes (struct dispatch *dispatch, const Sp__RouteTable *table, int64_t now_ms)
{
  if (!routes_set (&dispatch->routes, table, now_ms))
    return false;
  slots_set_routes (dispatch, now_ms);
  dispatch_expire (dispatch, now_ms);
  dispatch_run_all (dispatch, now_ms);
  dispatch_deliver_local (dispatch, now_ms);
  return true;
}

/* Returns the offset of the current route table; 0 without one. */
uint64_t
dispatch_route_offset (const struct dispatch *dispatch)
{
  return dispatch->routes.offset;
}

/* Returns whether there are routes and the slots of at least one pool may be used. */
bool
dispatch_is_ready (const struct dispatch *dispatch, int64_t now_ms)
{
  return dispatch->routes.offset > 0 && slots_are_usable (dispatch, now_ms);
}

/* Marks a host's workers as leaving, so that they get no new requests. */
void
dispatch_host_leaving (struct dispatch *dispatch, const char *host, int64_t now_ms)
{
  struct worker_group *group;

  LIST_FOREACH (group, &dispatch->routes.groups, link)
    {
      struct worker *worker = group_find_worker (group, host);

      if (worker)
        worker->leaving = true;
      group_count_workers (group);
    }
  slots_set_routes (dispatch, now_ms);
  dispatch_expire (dispatch, now_ms);
  dispatch_deliver_local (dispatch, now_ms);
}

/* Handles a caller's request. Its final result may be reported during this call. */
void
dispatch_request (struct dispatch *dispatch, const struct request_spec *spec, int64_t now_ms)
{
  struct request *request = request_create (spec, now_ms);

  g_assert (!g_hash_table_contains (dispatch->requests, &spec->id));
  g_hash_table_insert (dispatch->requests, &request->id, request);
  dispatch->open_requests++;
  dispatch->stats.requests++;
  request->route = routes_find (&dispatch->routes, spec->service);
  if (!request->route)
    {
      request_finish (dispatch, request, REQUEST_NOT_RUN, REASON_NO_SERVICE, 0);
      return;
    }
  request->route->n_requests++;
  if (request->deadline_ms == 0)
    request->deadline_ms = now_ms + request->route->deadline_ms;
  if (request->key && !request->idempotent)
    keys_claim (dispatch, request, now_ms);
  else
    request_admit (dispatch, request, now_ms);
  dispatch_deliver_local (dispatch, now_ms);
}

/* Runs the periodic work; returns the time of the next call. */
int64_t
dispatch_tick (struct dispatch *dispatch, int64_t now_ms)
{
  membership_update (dispatch->membership, now_ms);
  dispatch_heartbeat (dispatch, now_ms);
  keys_tick (dispatch, now_ms);
  dispatch_expire (dispatch, now_ms);
  dispatch_run_due (dispatch, now_ms);
  dispatch_deliver_local (dispatch, now_ms);
  if (routes_sweep (&dispatch->routes))
    slots_index_pools (dispatch);
  return now_ms + (g_hash_table_size (dispatch->requests) > 0 ? TICK_MS : IDLE_TICK_MS);
}

/* Starts a planned stop: this entry host is no longer home of any pool, returns idle slots, and
 * completes open requests and those that still arrive. */
void
dispatch_stop (struct dispatch *dispatch, int64_t now_ms)
{
  struct membership *membership = dispatch->membership;

  dispatch->stopping = true;
  membership->members[membership->self].stopping = true;
  membership->version++;
  membership->sent_ms = now_ms - HEARTBEAT_PERIOD_MS;
  dispatch_heartbeat (dispatch, now_ms);
  dispatch_run_all (dispatch, now_ms);
  dispatch_deliver_local (dispatch, now_ms);
}

/* Returns the number of requests without a final result. */
size_t
dispatch_open_requests (const struct dispatch *dispatch)
{
  return dispatch->open_requests;
}

/* Returns the counters since the start and the current numbers of queued and running requests. */
void
dispatch_get_stats (const struct dispatch *dispatch, struct dispatch_stats *stats)
{
  struct route *route;

  *stats = dispatch->stats;
  LIST_FOREACH (route, &dispatch->routes.routes, link)
    {
      stats->queued += route->queue.n;
      stats->running += route->running;
    }
}

/* Returns the outcome's name as sent to callers. */
const char *
request_outcome_name (enum request_outcome outcome)
{
  static const char *const names[] = {
    [REQUEST_ANSWERED] = "answered",
    [REQUEST_NOT_RUN] = "not-run",
    [REQUEST_UNKNOWN] = "unknown",
  };

  return names[outcome];
}

/* Returns the reason's name as sent to callers. */
const char *
request_reason_name (enum request_reason reason)
{
  static const char *const names[] = {
    [REASON_NONE] = "none",
    [REASON_NO_SERVICE] = "no-service",
    [REASON_NO_WORKER] = "no-worker",
    [REASON_QUEUE_FULL] = "queue-full",
    [REASON_DEADLINE] = "deadline",
    [REASON_RETRY_BUDGET] = "retry-budget",
    [REASON_CONNECT_FAILED] = "connect-failed",
    [REASON_ANSWER_LOST] = "answer-lost",
    [REASON_ANSWER_TOO_LARGE] = "answer-too-large",
    [REASON_KEY_RUNNING] = "key-running",
    [REASON_KEY_DONE] = "key-done",
    [REASON_KEY_UNSURE] = "key-unsure",
    [REASON_KEY_NO_HOLDER] = "key-no-holder",
    [REASON_STOPPING] = "stopping",
  };

  return names[reason];
}
