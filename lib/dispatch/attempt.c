#include "lib/dispatch/state.h"

#include <string.h>

enum
{
  /* Share of the remaining time that one attempt of an idempotent request may use, so that time is
   * left for an attempt on another worker. */
  ATTEMPT_SHARE_PERCENT = 60,
  /* Lower bound of that timeout, unless less time remains. */
  ATTEMPT_MIN_MS = 20,
  PERCENT = 100,
  SERVER_ERROR_STATUS = 500,
};

/* Returns the timeout of the request's next attempt. */
static int64_t
request_attempt_timeout (const struct request *request, int64_t now_ms)
{
  int64_t left_ms = request->deadline_ms - now_ms;

  if (!request->idempotent)
    return left_ms;
  return MIN (left_ms, MAX (left_ms * ATTEMPT_SHARE_PERCENT / PERCENT, ATTEMPT_MIN_MS));
}

/* Starts an attempt of a request that has a slot on the worker and is in no queue. */
void
request_start (struct dispatch *dispatch, struct request *request, struct worker *worker,
               int64_t now_ms)
{
  struct attempt_target target = {
    .host = worker->host,
    .address = worker->address,
    .port = worker->port,
    .fresh_connection = !request->idempotent,
    .timeout_ms = request_attempt_timeout (request, now_ms),
  };

  g_assert (request->idempotent || !request->may_have_run);
  g_assert (now_ms < request->deadline_ms);
  request->state = REQUEST_RUNNING;
  request->worker = worker;
  request->attempt_start_ms = now_ms;
  request->attempts++;
  request->route->running++;
  dispatch->stats.attempts++;
  if (request->attempts > 1)
    dispatch->stats.retries++;
  dispatch->ops.attempt_start (dispatch->ops.ctx, request->id, request->attempts, &target);
}

/* Updates the counts and releases the slot of an attempt that has ended. */
static void
attempt_end (struct dispatch *dispatch, struct request *request, int64_t now_ms)
{
  struct worker *worker = request->worker;

  request->route->running--;
  request->worker = NULL;
  slots_release (dispatch, worker, request->slot, now_ms);
}

/* Cancels the running attempt and releases its slot. */
void
attempt_cancel (struct dispatch *dispatch, struct request *request, int64_t now_ms)
{
  dispatch->ops.attempt_cancel (dispatch->ops.ctx, request->id, request->attempts);
  attempt_end (dispatch, request, now_ms);
}

/* Returns whether no endpoint can have acted on an attempt with this result. */
static bool
attempt_was_not_run (enum attempt_result result)
{
  return result == ATTEMPT_NOT_SENT || result == ATTEMPT_REFUSED;
}

/* Returns whether the circuit breaker of another worker in the same rack is not closed. */
static bool
worker_rack_failing (const struct worker *worker)
{
  const struct worker *other;

  LIST_FOREACH (other, &worker->group->workers, link)
    if (other != worker && !other->gone && other->health.state != HEALTH_CLOSED &&
        worker->rack[0] != '\0' && strcmp (other->rack, worker->rack) == 0)
      return true;
  return false;
}

/* Records an attempt's result in the worker's circuit breaker. */
static void
worker_record_result (struct worker *worker, enum attempt_result result, int status, int64_t now_ms)
{
  bool complete = result == ATTEMPT_ANSWERED || result == ATTEMPT_TOO_LARGE;
  enum health_result observed = HEALTH_FAILURE;

  if (result == ATTEMPT_NOT_SENT)
    observed = HEALTH_UNREACHABLE;
  else if (complete && status < SERVER_ERROR_STATUS)
    observed = HEALTH_SUCCESS;
  worker_health_record (&worker->health, observed, worker_rack_failing (worker), now_ms);
  slots_update_usable (worker->group, now_ms);
}

/* Returns the reason to report for a failed attempt. */
static enum request_reason
attempt_reason (enum attempt_result result)
{
  switch (result)
    {
    case ATTEMPT_ANSWERED:
      return REASON_NONE;
    case ATTEMPT_REFUSED:
      return REASON_NO_WORKER;
    case ATTEMPT_NOT_SENT:
      return REASON_CONNECT_FAILED;
    case ATTEMPT_LOST:
      return REASON_ANSWER_LOST;
    case ATTEMPT_TIMEOUT:
      return REASON_DEADLINE;
    case ATTEMPT_TOO_LARGE:
      return REASON_ANSWER_TOO_LARGE;
    }
  g_assert_not_reached ();
}

/* Handles an attempt's result. Ignores attempts that were cancelled or are unknown. */
void
dispatch_attempt_done (struct dispatch *dispatch, uint64_t request_id, uint32_t attempt,
                       enum attempt_result result, int status, int64_t now_ms)
{
  struct request *request = g_hash_table_lookup (dispatch->requests, &request_id);
  struct worker *worker;

  if (!request || !request->worker || request->attempts != attempt)
    return;
  worker = request->worker;
  worker_record_result (worker, result, status, now_ms);
  attempt_end (dispatch, request, now_ms);
  if (!attempt_was_not_run (result))
    {
      request->may_have_run = true;
      request->attempts_sent++;
    }
  request_handle_attempt_result (dispatch, request, worker, result, attempt_reason (result),
                                 now_ms);
  dispatch_run_queues (dispatch, worker->group, now_ms);
  dispatch_deliver_local (dispatch, now_ms);
}
