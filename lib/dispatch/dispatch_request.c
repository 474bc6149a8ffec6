#include "lib/dispatch/state.h"

enum
{
  ATTEMPTS_MAX = 3,
  /* Share of the remaining time that the expected wait may take when a request is admitted. */
  WAIT_SHARE_PERCENT = 80,
  PERCENT = 100,
};

/* Removes and frees a request that is in no queue. */
static void
request_remove (struct dispatch *dispatch, struct request *request)
{
  keys_release (dispatch, request);
  if (request->route)
    request->route->n_requests--;
  g_hash_table_remove (dispatch->requests, &request->id);
}

/* Counts a final result and reports it to the caller. */
static void
request_report_result (struct dispatch *dispatch, struct request *request,
                       enum request_outcome outcome, enum request_reason reason,
                       int64_t retry_after_ms)
{
  struct request_result result = { outcome, reason, retry_after_ms, request->attempts };

  g_assert (outcome != REQUEST_NOT_RUN || !request->may_have_run);
  dispatch->open_requests--;
  if (outcome == REQUEST_ANSWERED)
    dispatch->stats.answered++;
  else if (outcome == REQUEST_NOT_RUN)
    dispatch->stats.not_run++;
  else
    dispatch->stats.unknown++;
  dispatch->ops.request_done (dispatch->ops.ctx, request->id, &result);
}

/* Reports the final result of a request that is neither queued nor running, and frees it. */
void
request_finish (struct dispatch *dispatch, struct request *request, enum request_outcome outcome,
                enum request_reason reason, int64_t retry_after_ms)
{
  request_report_result (dispatch, request, outcome, reason, retry_after_ms);
  request_remove (dispatch, request);
}

/* Fails a request: as not run if no attempt can have reached an endpoint, else as unknown. */
static void
request_fail (struct dispatch *dispatch, struct request *request, enum request_reason reason)
{
  const struct route *route = request->route;
  int64_t retry_after_ms = drain_rate_retry_after_ms (&route->drain_rate, route->queue.n);

  if (request->may_have_run)
    request_finish (dispatch, request, REQUEST_UNKNOWN, reason,
                    request->idempotent ? retry_after_ms : 0);
  else
    request_finish (dispatch, request, REQUEST_NOT_RUN, reason, retry_after_ms);
}

/* Returns whether a request can be answered within left_ms if the given number of requests are
 * started before it. */
static bool
request_can_meet_deadline (const struct request *request, size_t ahead, int64_t left_ms)
{
  const struct drain_rate *drain = &request->route->drain_rate;

  return drain_rate_wait_ms (drain, ahead) + (int64_t) drain->attempt_ms < left_ms;
}

/* Queues a request or rejects it at once. A request that finds the queue empty is tried even if the
 * estimate exceeds its deadline, because only attempts show that slow workers have recovered. */
void
request_admit (struct dispatch *dispatch, struct request *request, int64_t now_ms)
{
  struct route *route = request->route;
  int64_t left_ms = request->deadline_ms - now_ms;

  if (route->group->n_serving == 0)
    request_fail (dispatch, request, REASON_NO_WORKER);
  else if (route->queue.n >= dispatch->queue_limit)
    request_fail (dispatch, request, REASON_QUEUE_FULL);
  else if (left_ms <= 0 || (route->queue.n > 0 &&
                            !request_can_meet_deadline (request, route->queue.n,
                                                        left_ms * WAIT_SHARE_PERCENT / PERCENT)))
    request_fail (dispatch, request, REASON_DEADLINE);
  else
    {
      request_queue_push (&route->queue, request);
      dispatch_run_queues (dispatch, route->group, now_ms);
    }
}

/* Records where an attempt failed, so that the next one can avoid it. */
static void
request_record_failure (struct request *request, const struct worker *worker, int64_t now_ms)
{
  g_free (request->failed_host);
  g_free (request->failed_rack);
  request->failed_host = g_strdup (worker->host);
  request->failed_rack = g_strdup (worker->rack);
  request->failed_ms = now_ms;
}

/* Queues a request for another attempt if it may run again, else fails it. */
static void
request_retry (struct dispatch *dispatch, struct request *request, enum request_reason reason,
               int64_t now_ms)
{
  struct route *route = request->route;
  int64_t left_ms = request->deadline_ms - now_ms;

  if ((request->may_have_run && !request->idempotent) || request->attempts_sent >= ATTEMPTS_MAX ||
      route->gone || left_ms <= 0 || !request_can_meet_deadline (request, 0, left_ms))
    request_fail (dispatch, request, reason);
  else if (!retry_budget_take (&route->budget))
    request_fail (dispatch, request, REASON_RETRY_BUDGET);
  else
    request_queue_push_front (&route->queue, request);
}

/* Handles the result of an attempt on the worker: completes, retries or fails the request. */
void
request_handle_attempt_result (struct dispatch *dispatch, struct request *request,
                               const struct worker *worker, enum attempt_result result,
                               enum request_reason reason, int64_t now_ms)
{
  if (result == ATTEMPT_ANSWERED)
    {
      request->answered = true;
      drain_rate_add (&request->route->drain_rate, now_ms - request->attempt_start_ms);
    }
  if (request->state == REQUEST_DISCARDED)
    request_remove (dispatch, request);
  else if (result == ATTEMPT_ANSWERED)
    {
      retry_budget_add_success (&request->route->budget);
      request_finish (dispatch, request, REQUEST_ANSWERED, REASON_NONE, 0);
    }
  else if (result == ATTEMPT_TOO_LARGE)
    request_fail (dispatch, request, reason);
  else
    {
      request_record_failure (request, worker, now_ms);
      request_retry (dispatch, request, reason, now_ms);
    }
}

/* Handles a caller's disconnect: a queued request is dropped, an attempt of an idempotent request
 * is cancelled, and any other attempt continues but its response is discarded. */
void
dispatch_caller_disconnected (struct dispatch *dispatch, uint64_t request_id, int64_t now_ms)
{
  struct request *request = g_hash_table_lookup (dispatch->requests, &request_id);
  struct worker_group *group;

  if (!request || request->state == REQUEST_DISCARDED)
    return;
  group = request->route->group;
  dispatch->open_requests--;
  dispatch->stats.callers_disconnected++;
  if (request->state == REQUEST_RUNNING && !request->idempotent)
    {
      request->state = REQUEST_DISCARDED;
      return;
    }
  if (request->state == REQUEST_QUEUED)
    request_queue_remove (&request->route->queue, request);
  else if (request->state == REQUEST_RUNNING)
    attempt_cancel (dispatch, request, now_ms);
  request_remove (dispatch, request);
  dispatch_run_queues (dispatch, group, now_ms);
  dispatch_deliver_local (dispatch, now_ms);
}

/* Fails a queued request if its deadline has passed. Returns whether it was failed. */
bool
request_expire (struct dispatch *dispatch, struct request *request, int64_t now_ms)
{
  if (now_ms < request->deadline_ms)
    return false;
  request_queue_remove (&request->route->queue, request);
  request_fail (dispatch, request, REASON_DEADLINE);
  return true;
}

/* Fails the queued requests of a route that have no worker left, or whose deadline has passed or
 * can't be met. */
static void
route_expire (struct dispatch *dispatch, struct route *route, int64_t now_ms)
{
  struct request *request = TAILQ_FIRST (&route->queue.requests);
  bool no_worker = route->gone || route->group->n_serving == 0;
  size_t ahead = 0;

  while (request)
    {
      struct request *next = TAILQ_NEXT (request, link);

      if (no_worker || !request_can_meet_deadline (request, ahead, request->deadline_ms - now_ms))
        {
          request_queue_remove (&route->queue, request);
          request_fail (dispatch, request, no_worker ? REASON_NO_WORKER : REASON_DEADLINE);
        }
      else
        ahead++;
      request = next;
    }
}

/* Updates the drain rates, fails queued requests that can't be answered in time, and cancels
 * attempts that outlast their request's deadline. */
void
dispatch_expire (struct dispatch *dispatch, int64_t now_ms)
{
  g_autoptr (GPtrArray) expired = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  struct route *route;

  LIST_FOREACH (route, &dispatch->routes.routes, link)
    {
      drain_rate_update (&route->drain_rate, route->queue.n, now_ms);
      route_expire (dispatch, route, now_ms);
    }
  g_hash_table_iter_init (&iter, dispatch->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct request *request = value;

      if (request->state == REQUEST_RUNNING && now_ms >= request->deadline_ms)
        g_ptr_array_add (expired, value);
    }
  for (guint i = 0; i < expired->len; i++)
    {
      struct request *request = g_ptr_array_index (expired, i);

      attempt_cancel (dispatch, request, now_ms);
      request->may_have_run = true;
      request_fail (dispatch, request, REASON_DEADLINE);
    }
}
