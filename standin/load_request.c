#include <string.h>
#include <time.h>

#include "load.h"

enum
{
  /* How long the caller waits beyond the deadline that it sends. */
  GRACE_MS = 2000,
  CONNECT_TIMEOUT_MS = 1000,
  RESPONSE_LIMIT_BYTES = 64 * 1024,
  PERMILLE = 1000,
  US_PER_S = 1000000,
  NS_PER_US = 1000,
};

/* One request in flight. */
struct load_request
{
  struct load *load;
  struct load_service *service;
  char *id;
  char *path;
  bool idempotent;
  uint64_t sent_us;
};

/* Returns the monotonic time in microseconds. */
static uint64_t
now_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t) now.tv_sec * US_PER_S + (uint64_t) now.tv_nsec / NS_PER_US;
}

/* Returns the value of a response header, or "". */
static const char *
response_header (const struct http_call_done *done, const char *name)
{
  for (size_t i = 0; i < done->n_headers; i++)
    {
      if (g_ascii_strcasecmp (done->headers[i].name, name) == 0)
        return done->headers[i].value;
    }
  return "";
}

/* Returns whether the body is the complete response to this request. It names the request's id,
 * path and body size. */
static bool
response_is_expected (const struct load_request *request, const struct http_call_done *done)
{
  g_autofree char *expected =
      g_strdup_printf ("id=%s path=%s bytes=%zu\n", request->id, request->path,
                       request->idempotent ? (size_t) 0 : strlen (request->id));

  return done->body_len == strlen (expected) && memcmp (done->body, expected, done->body_len) == 0;
}

/* Classifies a complete response of the entry host. */
static enum load_outcome
response_classify (const struct load_request *request, const struct http_call_done *done)
{
  const char *outcome_header = response_header (done, "Sesamepick-Outcome");

  if (strcmp (outcome_header, "not-run") == 0)
    return LOAD_NOT_RUN;
  if (strcmp (outcome_header, "unknown") == 0)
    return LOAD_UNKNOWN;
  if (strcmp (outcome_header, "answered") != 0 || !response_is_expected (request, done))
    return LOAD_WRONG_RESPONSE;
  return done->status == 200 ? LOAD_ANSWERED : LOAD_ERROR_STATUS;
}

/* Classifies the result of a call. */
static enum load_outcome
call_classify (const struct load_request *request, const struct http_call_done *done)
{
  if (done->result == HTTP_CALL_ANSWERED)
    return response_classify (request, done);
  return done->result == HTTP_CALL_NOT_SENT ? LOAD_NOT_SENT : LOAD_NO_RESPONSE;
}

/* Counts the reason that the entry host gave in the header Proxy-Status. */
static void
load_count_reason (struct load *load, const struct http_call_done *done)
{
  const char *status = response_header (done, "Proxy-Status");
  const char *start = strstr (status, "details=\"");
  g_autofree char *reason = NULL;
  guint64 *count;

  if (!start)
    return;
  start += strlen ("details=\"");
  reason = g_strdup_printf ("%s %.*s", response_header (done, "Sesamepick-Outcome"),
                            (int) strcspn (start, "\""), start);
  count = g_hash_table_lookup (load->reasons, reason);
  if (!count)
    {
      count = g_new0 (guint64, 1);
      g_hash_table_insert (load->reasons, g_strdup (reason), count);
    }
  ++*count;
}

/* Records what the executions of a request are checked against at the end. */
static void
load_record_guarantee (struct load *load, const struct load_request *request,
                       enum load_outcome outcome)
{
  unsigned guarantee = request->idempotent ? 0 : GUARANTEE_AT_MOST_ONCE;

  if (outcome == LOAD_NOT_RUN || outcome == LOAD_NOT_SENT)
    guarantee |= GUARANTEE_NEVER_RAN;
  if (guarantee)
    g_hash_table_insert (load->guarantees, g_strdup (request->id), GUINT_TO_POINTER (guarantee));
}

/* Counts the outcome of a request and frees it. */
static void
request_on_done (void *ctx, const struct http_call_done *done)
{
  struct load_request *request = ctx;
  struct load *load = request->load;
  enum load_outcome outcome = call_classify (request, done);

  load->open_requests--;
  load->outcomes[outcome]++;
  request->service->outcomes[outcome]++;
  if (outcome == LOAD_ANSWERED)
    histogram_add (&load->latency, now_us () - request->sent_us);
  load_count_reason (load, done);
  load_record_guarantee (load, request, outcome);
  g_free (request->id);
  g_free (request->path);
  g_free (request);
}

/* Returns the next ready entry host in round-robin order; if none is ready, the next one. */
static const struct load_entry *
load_choose_entry (struct load *load)
{
  const struct load_entry *entry = NULL;

  for (guint i = 0; i < load->entries->len; i++)
    {
      entry = load->entries->pdata[load->next_entry++ % load->entries->len];
      if (entry->ready)
        break;
    }
  return entry;
}

/* Starts the HTTP call of a request. Idempotent requests are GETs; others are POSTs, every second
 * one with an idempotency key. */
static bool
request_call (struct load_request *request)
{
  struct load *load = request->load;
  const Sp__LoadSettings *settings = load->settings;
  g_autofree char *url = g_strdup_printf ("http://%s/%s%s", load_choose_entry (load)->address,
                                          request->service->name, request->path);
  g_autofree char *timeout = g_strdup_printf ("%u", settings->deadline_ms);
  struct http_header headers[] = { { "X-Request-Id", request->id },
                                   { "Sesamepick-Timeout", timeout },
                                   { "Idempotency-Key", request->id } };
  bool with_key = !request->idempotent && load->next_id % 2 == 0;
  struct http_call_config config = {
    .method = request->idempotent ? "GET" : "POST",
    .url = url,
    .headers = headers,
    .n_headers = with_key ? 3 : 2,
    .body = request->idempotent ? NULL : request->id,
    .body_len = request->idempotent ? 0 : strlen (request->id),
    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
    .timeout_ms = settings->deadline_ms + GRACE_MS,
    .body_limit = RESPONSE_LIMIT_BYTES,
    .fresh_connection = !request->idempotent,
    .done = request_on_done,
    .ctx = request,
  };

  return http_call_create (load->client, &config) != NULL;
}

/* Sends one request to a service, or counts it as skipped if too many requests are open. */
void
load_send (struct load *load, struct load_service *service)
{
  struct load_request *request;

  if (load->open_requests >= load->settings->open_limit)
    {
      load->skipped++;
      return;
    }
  request = g_new0 (struct load_request, 1);
  load->next_id++;
  request->load = load;
  request->service = service;
  request->id = g_strdup_printf ("%u-%" G_GUINT64_FORMAT, load->settings->seed, load->next_id);
  request->path = g_strdup_printf ("/requests/%" G_GUINT64_FORMAT, load->next_id);
  request->idempotent =
      (uint32_t) g_rand_int_range (load->random, 0, PERMILLE) >= load->settings->charge_permille;
  request->sent_us = now_us ();
  service->sent++;
  load->open_requests++;
  if (!request_call (request))
    g_error ("libcurl rejected a call");
}
