#include <errno.h>
#include <string.h>

#include "common/log.h"
#include "entry.h"
#include "headers.h"
#include "problem.h"

enum
{
  SERVICE_NAME_BYTES = 128,
  RETRY_AFTER_MS = 1000,
};

/* Splits /SERVICE/PATH?QUERY into the service name and the remaining target. Returns -EINVAL if the
 * path names no service, the name is too long, or the path contains a fragment. */
static int
request_target_split (const char *path, char service[SERVICE_NAME_BYTES], const char **target)
{
  size_t len;

  if (path[0] != '/' || strchr (path, '#'))
    return -EINVAL;
  len = strcspn (path + 1, "/?");
  if (len == 0 || len >= SERVICE_NAME_BYTES)
    return -EINVAL;
  memcpy (service, path + 1, len);
  service[len] = '\0';
  *target = path + 1 + len;
  return 0;
}

/* Rejects a malformed request and counts it. */
static void
caller_reject (struct entry *entry, struct http_request *request, int status, const char *detail)
{
  entry->stats.bad_requests++;
  problem_respond_bad_request (request, status, detail);
}

/* Validates a complete request from a caller and passes it to the dispatcher. */
static void
caller_handle (void *ctx, struct http_request *request)
{
  struct entry *entry = ctx;
  struct caller_options options;
  const char *method = http_request_method (request);
  const char *target;
  const char *error = headers_read_options (request, &options);
  char service[SERVICE_NAME_BYTES];
  struct request_spec spec = { .service = service };
  int64_t now_ms = entry_now_ms (entry);

  if (error)
    {
      caller_reject (entry, request, 400, error);
      return;
    }
  if (strcmp (method, "CONNECT") == 0 || strcmp (method, "TRACE") == 0)
    {
      caller_reject (entry, request, 501, "This method is not served.");
      return;
    }
  if (request_target_split (http_request_path (request), service, &target) < 0)
    {
      caller_reject (entry, request, 400, "The path must be /SERVICE/PATH.");
      return;
    }
  spec.id = exchange_create (entry, request, target)->id;
  http_request_set_data (request, exchange_find (entry, spec.id));
  spec.idempotent = options.idempotent;
  spec.key = options.key;
  spec.deadline_ms =
      options.timeout_ms > 0 ? http_request_complete_ms (request) + options.timeout_ms : 0;
  dispatch_request (entry->dispatch, &spec, now_ms);
}

/* Rejects a request whose body exceeds the limit. */
static void
caller_reject_body_size (void *ctx, struct http_request *request)
{
  caller_reject (ctx, request, 413, "The body is larger than the limit.");
}

/* Refuses a request whose body does not fit into the memory now. */
static void
caller_reject_for_memory (void *ctx, struct http_request *request)
{
  struct entry *entry = ctx;
  const struct request_result result = {
    .outcome = REQUEST_NOT_RUN,
    .reason = REASON_QUEUE_FULL,
    .retry_after_ms = RETRY_AFTER_MS,
  };

  entry->stats.done_by_reason[result.reason]++;
  problem_respond (request, &result);
}

/* Handles a caller that disconnected before its request was answered. */
static void
caller_disconnected (void *ctx, struct http_request *request)
{
  struct entry *entry = ctx;
  struct exchange *exchange = http_request_data (request);

  dispatch_caller_disconnected (entry->dispatch, exchange->id, entry_now_ms (entry));
  exchange->http = NULL;
  exchange_release (exchange);
}

/* Forwards the endpoint's response to the caller and adds the outcome header. */
static void
caller_forward_response (struct exchange *exchange)
{
  const struct http_call_done *received = exchange->response;
  bool head_request = strcmp (http_request_method (exchange->http), "HEAD") == 0;
  GArray *headers = headers_to_caller (received, head_request);
  struct http_header outcome = { "Sesamepick-Outcome", request_outcome_name (REQUEST_ANSWERED) };
  struct http_response response = {
    .status = received->status,
    .body = received->body,
    .body_len = received->body_len,
  };

  g_array_append_val (headers, outcome);
  response.headers = (const struct http_header *) (void *) headers->data;
  response.n_headers = headers->len;
  http_request_respond (exchange->http, &response);
  g_array_unref (headers);
}

/* Sends the final response to the caller. If attempts are still attached to the exchange, the code
 * that called the dispatcher releases it; otherwise it is released here. */
void
caller_request_done (void *ctx, uint64_t request, const struct request_result *result)
{
  struct entry *entry = ctx;
  struct exchange *exchange = exchange_find (entry, request);

  g_assert (exchange && exchange->http);
  entry->stats.done_by_reason[result->reason]++;
  if (result->outcome == REQUEST_ANSWERED)
    {
      g_assert (exchange->response);
      caller_forward_response (exchange);
    }
  else
    problem_respond (exchange->http, result);
  exchange->http = NULL;
  exchange_release (exchange);
}

/* Starts listening for callers. Returns 0, or logs an error and returns -EADDRINUSE. */
int
caller_server_start (struct entry *entry)
{
  const Sp__EntrydSettings *settings = entry->settings;
  struct http_server_config config = {
    .address = settings->listen_address,
    .port = (uint16_t) settings->caller_port,
    .body_limit = settings->body_limit_bytes,
    .connection_limit =
        http_server_connection_limit (settings->caller_connection_limit, settings->memory_mb),
    .memory = &entry->memory,
    .handle = caller_handle,
    .caller_disconnected = caller_disconnected,
    .reject_body_size = caller_reject_body_size,
    .reject_for_memory = caller_reject_for_memory,
    .ctx = entry,
  };

  entry->server = http_server_create (entry->loop, &config);
  if (entry->server)
    return 0;
  log_error ("callers", "Cannot listen on %s:%u for callers.", settings->listen_address,
             settings->caller_port);
  return -EADDRINUSE;
}
