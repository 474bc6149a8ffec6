#include <string.h>

#include "entry.h"
#include "headers.h"

enum
{
  STATUS_UNAVAILABLE = 503,
  /* The set of echoing endpoints is cleared before it exceeds this number. */
  ECHOING_ENDPOINTS_MAX = 65536,
};

/* One attempt to run a request at one endpoint. */
struct attempt
{
  struct exchange *exchange;
  uint32_t number;
  char *host;
  /* IP:PORT. */
  char *endpoint;
  /* Identifies the attempt; sent in the Sesamepick-Attempt header. */
  char *name;
  struct http_call *call;
  /* Reports a call that could not be started. A timer is used because the dispatcher's callback
   * must return first. */
  ev_timer start_failed;
  LIST_ENTRY (attempt) link;
};

static void
attempt_destroy (struct attempt *attempt)
{
  LIST_REMOVE (attempt, link);
  ev_timer_stop (attempt->exchange->entry->loop, &attempt->start_failed);
  g_free (attempt->host);
  g_free (attempt->endpoint);
  g_free (attempt->name);
  g_free (attempt);
}

/* Reports the result of an attempt to the dispatcher. The attempt stays attached to the exchange
 * during the call, so that the dispatcher can deliver the final answer from within it. */
static void
attempt_report (struct attempt *attempt, enum attempt_result result, int status)
{
  struct exchange *exchange = attempt->exchange;
  struct entry *entry = exchange->entry;
  bool answered = result == ATTEMPT_ANSWERED;

  entry->stats.attempts_by_result[result]++;
  attempt->call = NULL;
  dispatch_attempt_done (entry->dispatch, exchange->id, attempt->number, result, status,
                         entry_now_ms (entry));
  if (answered && exchange->http)
    exchange_copy_response (exchange);
  attempt_destroy (attempt);
  exchange_release (exchange);
}

/* Returns whether a response belongs to another attempt. Once an endpoint has echoed the name of an
 * attempt, all its later responses must echo theirs too. */
static bool
attempt_response_mismatches (const struct attempt *attempt, const struct http_call_done *done)
{
  GHashTable *echoing_endpoints = attempt->exchange->entry->echoing_endpoints;
  const char *name = headers_value (done->headers, done->n_headers, "Sesamepick-Attempt");

  if (!name)
    return g_hash_table_contains (echoing_endpoints, attempt->endpoint);
  if (strcmp (name, attempt->name) != 0)
    return true;
  if (g_hash_table_contains (echoing_endpoints, attempt->endpoint))
    return false;
  if (g_hash_table_size (echoing_endpoints) >= ECHOING_ENDPOINTS_MAX)
    g_hash_table_remove_all (echoing_endpoints);
  g_hash_table_add (echoing_endpoints, g_strdup (attempt->endpoint));
  return false;
}

/* Maps the result of an HTTP call to the result of the attempt. A refusal is for the last send
 * only: an earlier one, whose connection closed without a response, may have run. */
static enum attempt_result
attempt_classify (const struct attempt *attempt, const struct http_call_done *done)
{
  bool refused = done->status == STATUS_UNAVAILABLE &&
                 headers_is_true (done->headers, done->n_headers, "Sesamepick-Not-Run");

  switch (done->result)
    {
    case HTTP_CALL_ANSWERED:
      if (refused)
        return done->n_sends > 1 ? ATTEMPT_LOST : ATTEMPT_REFUSED;
      return attempt_response_mismatches (attempt, done) ? ATTEMPT_LOST : ATTEMPT_ANSWERED;
    case HTTP_CALL_NOT_SENT:
      return ATTEMPT_NOT_SENT;
    case HTTP_CALL_TIMEOUT:
      return ATTEMPT_TIMEOUT;
    case HTTP_CALL_TOO_LARGE:
      return ATTEMPT_TOO_LARGE;
    case HTTP_CALL_LOST:
      break;
    }
  return ATTEMPT_LOST;
}

/* Handles the completion of a call. A host whose response carries Sesamepick-Leaving gets no new
 * requests from now on. If the response belongs to another attempt, the endpoint's connections are
 * not reused, since later responses on them may be mismatched too. */
static void
attempt_on_done (void *ctx, const struct http_call_done *done)
{
  struct attempt *attempt = ctx;
  struct entry *entry = attempt->exchange->entry;
  enum attempt_result result = attempt_classify (attempt, done);

  if (headers_is_true (done->headers, done->n_headers, "Sesamepick-Leaving"))
    dispatch_host_leaving (entry->dispatch, attempt->host, entry_now_ms (entry));
  if (result == ATTEMPT_ANSWERED)
    attempt->exchange->response = done;
  else if (done->result == HTTP_CALL_ANSWERED && result == ATTEMPT_LOST)
    http_client_exclude_connections (entry->client, attempt->endpoint);
  attempt_report (attempt, result, done->status);
}

/* Reports that the call could not be started, so nothing was sent. */
static void
attempt_on_start_failed (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void) loop;
  (void) events;
  attempt_report (watcher->data, ATTEMPT_NOT_SENT, 0);
}

/* Starts the HTTP call of an attempt. A retry opens its own connection, since the failure that
 * affected the first connection may affect other open ones too. */
static struct http_call *
attempt_call (struct attempt *attempt, const struct attempt_target *target)
{
  struct exchange *exchange = attempt->exchange;
  struct entry *entry = exchange->entry;
  g_autofree char *url =
      g_strdup_printf ("http://%s:%u%s", target->address, target->port, exchange->target);
  g_autoptr (GArray) headers = headers_to_endpoint (exchange->http);
  struct http_header name = { "Sesamepick-Attempt", attempt->name };
  struct http_call_config config = {
    .method = http_request_method (exchange->http),
    .url = url,
    .connect_timeout_ms = entry->settings->connect_timeout_ms,
    .timeout_ms = (long) MAX (target->timeout_ms, 1),
    .body_limit = entry->settings->body_limit_bytes,
    .fresh_connection = target->fresh_connection || attempt->number > 1,
    /* Only idempotent requests reuse connections. */
    .repeatable = !target->fresh_connection && attempt->number == 1,
    .done = attempt_on_done,
    .ctx = attempt,
  };

  g_array_append_val (headers, name);
  config.headers = (const struct http_header *) (void *) headers->data;
  config.n_headers = headers->len;
  config.body = http_request_body (exchange->http, &config.body_len);
  return http_call_create (entry->client, &config);
}

/* Sends a request to an endpoint. */
void
endpoint_attempt_start (void *ctx, uint64_t request, uint32_t attempt_number,
                        const struct attempt_target *target)
{
  struct entry *entry = ctx;
  struct exchange *exchange = exchange_find (entry, request);
  struct attempt *attempt = g_new0 (struct attempt, 1);

  g_assert (exchange && exchange->http);
  attempt->exchange = exchange;
  attempt->number = attempt_number;
  attempt->host = g_strdup (target->host);
  attempt->endpoint = g_strdup_printf ("%s:%u", target->address, target->port);
  attempt->name = g_strdup_printf ("%" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER "x-%u",
                                   entry->attempt_salt, exchange->id, attempt_number);
  ev_timer_init (&attempt->start_failed, attempt_on_start_failed, 0.0, 0.0);
  attempt->start_failed.data = attempt;
  LIST_INSERT_HEAD (&exchange->attempts, attempt, link);
  attempt->call = attempt_call (attempt, target);
  if (!attempt->call)
    ev_timer_start (entry->loop, &attempt->start_failed);
}

/* Cancels an attempt and closes its connection, so that a late response cannot be matched to
 * another request. */
void
endpoint_attempt_cancel (void *ctx, uint64_t request, uint32_t attempt_number)
{
  struct entry *entry = ctx;
  struct exchange *exchange = exchange_find (entry, request);
  struct attempt *attempt;

  g_assert (exchange);
  LIST_FOREACH (attempt, &exchange->attempts, link)
    {
      if (attempt->number == attempt_number)
        break;
    }
  g_assert (attempt);
  if (attempt->call)
    http_call_cancel (attempt->call);
  attempt_destroy (attempt);
  exchange_release (exchange);
}
