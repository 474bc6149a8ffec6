#include "problem.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

enum
{
  MS_PER_S = 1000,
  HEADERS_MAX = 6,
};

/* How a reason is presented in HTTP. */
struct problem
{
  /* Status if the request was not run. */
  int status;
  /* Status if the request may have run. */
  int unknown_status;
  /* Proxy error type of RFC 9209. */
  const char *proxy_error;
  const char *title;
};

/* Returns the HTTP presentation of a reason. */
static struct problem
problem_from_reason (enum request_reason reason)
{
  switch (reason)
    {
    case REASON_NONE:
      return (struct problem){ 500, 502, "proxy_internal_error", "Internal error" };
    case REASON_NO_SERVICE:
      return (struct problem){ 404, 404, "destination_not_found", "No such service" };
    case REASON_NO_WORKER:
      return (struct problem){ 503, 502, "destination_unavailable", "No worker takes the request" };
    case REASON_QUEUE_FULL:
      return (struct problem){ 503, 502, "connection_limit_reached", "Too many requests wait" };
    case REASON_DEADLINE:
      return (struct problem){ 503, 504, "http_response_timeout", "No answer within the deadline" };
    case REASON_RETRY_BUDGET:
      return (struct problem){ 503, 502, "destination_unavailable", "Too many retries" };
    case REASON_CONNECT_FAILED:
      return (struct problem){ 503, 502, "connection_refused", "Workers can't be reached" };
    case REASON_ANSWER_LOST:
      return (struct problem){ 503, 502, "http_response_incomplete", "The answer was lost" };
    case REASON_ANSWER_TOO_LARGE:
      return (struct problem){ 502, 502, "http_response_body_size", "The answer is too large" };
    case REASON_KEY_RUNNING:
      return (struct problem){ 409, 409, "http_request_denied", "A request of this key runs" };
    case REASON_KEY_DONE:
      return (struct problem){ 409, 409, "http_request_denied",
                               "A request of this key was answered" };
    case REASON_KEY_UNSURE:
      return (struct problem){ 503, 409, "http_request_denied",
                               "A request of this key may have run" };
    case REASON_KEY_NO_HOLDER:
      return (struct problem){ 503, 502, "http_request_denied",
                               "Too few holders of the key can be asked" };
    case REASON_STOPPING:
      return (struct problem){ 503, 502, "destination_unavailable", "The entry host is stopping" };
    }
  g_assert_not_reached ();
}

/* The headers of a response and the buffers that hold their values. */
struct problem_headers
{
  struct http_header headers[HEADERS_MAX];
  size_t n;
  char proxy_status[128];
  char retry_after_s[32];
  char retry_after_ms[32];
};

static void
problem_headers_add (struct problem_headers *head, const char *name, const char *value)
{
  g_assert (head->n < HEADERS_MAX);
  head->headers[head->n].name = name;
  head->headers[head->n].value = value;
  head->n++;
}

/* Adds the time after which to retry: Retry-After in whole seconds, rounded up, for any caller, and
 * Sesamepick-Retry-After-Ms in milliseconds. */
static void
problem_headers_add_retry_after (struct problem_headers *head, int64_t retry_after_ms)
{
  if (retry_after_ms <= 0)
    return;
  g_snprintf (head->retry_after_s, sizeof head->retry_after_s, "%" PRId64,
              (retry_after_ms + MS_PER_S - 1) / MS_PER_S);
  g_snprintf (head->retry_after_ms, sizeof head->retry_after_ms, "%" PRId64, retry_after_ms);
  problem_headers_add (head, "Retry-After", head->retry_after_s);
  problem_headers_add (head, "Sesamepick-Retry-After-Ms", head->retry_after_ms);
}

/* Sends the response with a JSON body that repeats what the headers say. */
static void
problem_send (struct http_request *request, const struct problem_headers *head, int status,
              const char *title, const char *outcome, const char *reason)
{
  g_autofree char *body = g_strdup_printf ("{\"type\":\"about:blank\",\"title\":\"%s\","
                                           "\"status\":%d,\"outcome\":\"%s\",\"reason\":\"%s\"}\n",
                                           title, status, outcome, reason);
  struct http_response response = {
    .status = status,
    .headers = head->headers,
    .n_headers = head->n,
    .body = body,
    .body_len = strlen (body),
  };

  http_request_respond (request, &response);
}

/* Responds that the request was not run or that its outcome is unknown. */
void
problem_respond (struct http_request *request, const struct request_result *result)
{
  struct problem problem = problem_from_reason (result->reason);
  const char *outcome = request_outcome_name (result->outcome);
  const char *reason = request_reason_name (result->reason);
  bool unknown = result->outcome == REQUEST_UNKNOWN;
  struct problem_headers head = { .n = 0 };

  g_snprintf (head.proxy_status, sizeof head.proxy_status, "sesamepick;error=%s;details=\"%s\"",
              problem.proxy_error, reason);
  problem_headers_add (&head, "Content-Type", "application/problem+json");
  problem_headers_add (&head, "Sesamepick-Outcome", outcome);
  problem_headers_add (&head, "Proxy-Status", head.proxy_status);
  problem_headers_add_retry_after (&head, result->retry_after_ms);
  problem_send (request, &head, unknown ? problem.unknown_status : problem.status, problem.title,
                outcome, reason);
}

/* Rejects a malformed request; the outcome is "not run". */
void
problem_respond_bad_request (struct http_request *request, int status, const char *detail)
{
  struct problem_headers head = { .n = 0 };

  problem_headers_add (&head, "Content-Type", "application/problem+json");
  problem_headers_add (&head, "Sesamepick-Outcome", request_outcome_name (REQUEST_NOT_RUN));
  problem_headers_add (&head, "Proxy-Status", "sesamepick;error=http_request_error");
  problem_send (request, &head, status, detail, request_outcome_name (REQUEST_NOT_RUN),
                "bad-request");
}
