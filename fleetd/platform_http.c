#include "fleetd/platform.h"

#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <sys/queue.h>

#include "common/http_client.h"
#include "common/message_text.h"

enum
{
  CONNECT_TIMEOUT_MS = 500,
  IDLE_REUSE_MS = 5000,
  /* Limit of idle connections kept open. */
  MAX_CONNECTIONS = 64,
  RESPONSE_LIMIT_BYTES = 16 << 20,
};

struct platform_http
{
  struct platform platform;
  struct http_client *client;
  char *base;
  long timeout_ms;
  struct platform_stats stats;
  LIST_HEAD (, platform_call) calls;
};

/* One pending call, with the done callback of its kind. */
struct platform_call
{
  LIST_ENTRY (platform_call) link;
  struct platform_http *http;
  struct http_call *call;
  void (*finish) (struct platform_call *call, int result, const struct http_call_done *done);
  union
  {
    void (*append) (void *ctx, int result, uint64_t offset);
    void (*read) (void *ctx, int result, const Sp__LogPage *page);
    void (*hosts) (void *ctx, int result, const struct platform_hosts *hosts);
    void (*operate) (void *ctx, int result);
    void (*task) (void *ctx, int result, const struct platform_task *task);
    void (*usage) (void *ctx, int result, const struct platform_usage *usage);
    void (*invoice) (void *ctx, int result, const struct platform_invoice *invoice);
  } done;
  void *ctx;
};

/* Maps the outcome of an HTTP call to an error number. A 5xx other than 503 counts as no response,
 * since the request may have taken effect. A rejection is proof for the whole call, since a call
 * that changes something is sent only once. */
static int
call_result (const struct http_call_done *done)
{
  if (done->result == HTTP_CALL_NOT_SENT)
    return -EAGAIN;
  if (done->result != HTTP_CALL_ANSWERED)
    return -ETIMEDOUT;
  if (done->status == 200)
    return 0;
  if (done->status == 202)
    return -EINPROGRESS;
  if (done->status == 404)
    return -ENOENT;
  if (done->status == 429 || done->status == 503)
    return -EAGAIN;
  if (done->status >= 500)
    return -ETIMEDOUT;
  return -EPERM;
}

/* Completes a call. */
static void
call_done (void *ctx, const struct http_call_done *done)
{
  struct platform_call *call = ctx;
  int result = call_result (done);

  LIST_REMOVE (call, link);
  call->http->stats.bytes_received += done->body_len;
  if (result < 0 && result != -EINPROGRESS && result != -ENOENT)
    call->http->stats.errors++;
  call->finish (call, result, done);
  g_free (call);
}

/* Creates a call of a kind; the caller sets its done callback before starting it. */
static struct platform_call *
call_new (struct platform_http *http,
          void (*finish) (struct platform_call *call, int result,
                          const struct http_call_done *done),
          void *ctx)
{
  struct platform_call *call = g_new0 (struct platform_call, 1);

  call->http = http;
  call->finish = finish;
  call->ctx = ctx;
  LIST_INSERT_HEAD (&http->calls, call, link);
  return call;
}

/* Sends a call; only a read may be sent again by libcurl. wait_ms is added to the call's time
 * limit, for long polls. */
static void
call_start (struct platform_call *call, const char *method, const char *path, const void *body,
            size_t len, long wait_ms)
{
  static const struct http_header header = { "Content-Type", "application/octet-stream" };
  struct platform_http *http = call->http;
  g_autofree char *url = g_strconcat (http->base, path, NULL);
  struct http_call_config config = {
    .method = method,
    .url = url,
    .headers = &header,
    .n_headers = body ? 1 : 0,
    .body = body,
    .body_len = len,
    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
    .timeout_ms = http->timeout_ms + wait_ms,
    .body_limit = RESPONSE_LIMIT_BYTES,
    .repeatable = strcmp (method, "GET") == 0,
    .done = call_done,
    .ctx = call,
  };

  http->stats.calls++;
  http->stats.bytes_sent += len + strlen (path);
  call->call = http_call_create (http->client, &config);
  g_assert (call->call);
}

/* Completes an append. A response without an offset counts as lost. */
static void
append_finish (struct platform_call *call, int result, const struct http_call_done *done)
{
  json_t *json = result == 0 ? json_loadb (done->body, done->body_len, 0, NULL) : NULL;
  uint64_t offset = (uint64_t) json_integer_value (json_object_get (json, "offset"));

  if (result == 0 && offset == 0)
    result = -ETIMEDOUT;
  call->done.append (call->ctx, result, offset);
  json_decref (json);
}

/* Appends one batch to the log. */
static void
platform_http_append (void *self, const void *batch, size_t len,
                      void (*done) (void *ctx, int result, uint64_t offset), void *ctx)
{
  struct platform_call *call = call_new (self, append_finish, ctx);

  call->done.append = done;
  call_start (call, "POST", "/log/append", batch, len, 0);
}

/* Completes a read of the log. */
static void
read_finish (struct platform_call *call, int result, const struct http_call_done *done)
{
  Sp__LogPage *page = NULL;

  if (result == 0)
    page = sp__log_page__unpack (NULL, done->body_len, done->body);
  if (result == 0 && !page)
    result = -EAGAIN;
  call->done.read (call->ctx, result, page);
  if (page)
    sp__log_page__free_unpacked (page, NULL);
}

/* Reads the log from an offset. */
static void
platform_http_read (void *self, uint64_t from, uint32_t max, uint32_t wait_ms,
                    void (*done) (void *ctx, int result, const Sp__LogPage *page), void *ctx)
{
  struct platform_call *call = call_new (self, read_finish, ctx);
  char path[160];

  call->done.read = done;
  snprintf (path, sizeof path, "/log/read?from=%" PRIu64 "&max=%" PRIu32 "&wait=%" PRIu32, from,
            max, wait_ms);
  call_start (call, "GET", path, NULL, 0, wait_ms);
}

/* Returns a string member of an object, or "". */
static const char *
member_string (const json_t *json, const char *name)
{
  const char *text = json_string_value (json_object_get (json, name));

  return text ? text : "";
}

/* Returns an integer member of an object, or 0. */
static uint64_t
member_uint (const json_t *json, const char *name)
{
  return (uint64_t) json_integer_value (json_object_get (json, name));
}

static Sp__HostPresence
parse_presence (const char *word)
{
  if (strcmp (word, "leaving") == 0)
    return SP__HOST_PRESENCE__HOST_PRESENCE_LEAVING;
  if (strcmp (word, "gone") == 0)
    return SP__HOST_PRESENCE__HOST_PRESENCE_GONE;
  return SP__HOST_PRESENCE__HOST_PRESENCE_LIVE;
}

/* Parses one host of the list. The strings still belong to the JSON. */
static Sp__HostSeen *
parse_host (const json_t *json)
{
  Sp__HostSeen *seen = g_new (Sp__HostSeen, 1);

  sp__host_seen__init (seen);
  seen->host = (char *) member_string (json, "name");
  seen->host_class = (char *) member_string (json, "host_class");
  seen->pool = (char *) member_string (json, "pool");
  seen->rack = (char *) member_string (json, "rack");
  seen->data_centre = (char *) member_string (json, "data_centre");
  seen->region = (char *) member_string (json, "region");
  seen->address = (char *) member_string (json, "address");
  seen->port = (uint32_t) member_uint (json, "port");
  seen->presence = parse_presence (member_string (json, "presence"));
  seen->list_version = member_uint (json, "version");
  return seen;
}

/* Completes a read of the host list. */
static void
hosts_finish (struct platform_call *call, int result, const struct http_call_done *done)
{
  json_t *json = result == 0 ? json_loadb (done->body, done->body_len, 0, NULL) : NULL;
  const json_t *list = json_object_get (json, "hosts");
  struct platform_hosts hosts = { .version = member_uint (json, "version") };

  if (result == 0 && !json_is_array (list))
    result = -EAGAIN;
  hosts.hosts = g_new0 (Sp__HostSeen *, json_array_size (list) + 1);
  for (; hosts.n_hosts < json_array_size (list); hosts.n_hosts++)
    hosts.hosts[hosts.n_hosts] = parse_host (json_array_get (list, hosts.n_hosts));
  call->done.hosts (call->ctx, result, result == 0 ? &hosts : NULL);
  for (size_t i = 0; i < hosts.n_hosts; i++)
    g_free (hosts.hosts[i]);
  g_free (hosts.hosts);
  json_decref (json);
}

/* Reads the changes of the host list since a version. */
static void
platform_http_hosts (void *self, uint64_t since,
                     void (*done) (void *ctx, int result, const struct platform_hosts *hosts),
                     void *ctx)
{
  struct platform_call *call = call_new (self, hosts_finish, ctx);
  char path[80];

  call->done.hosts = done;
  snprintf (path, sizeof path, "/hosts?since=%" PRIu64, since);
  call_start (call, "GET", path, NULL, 0, 0);
}

/* Completes a host operation. One that has ended in any state but "done" has failed. */
static void
operate_finish (struct platform_call *call, int result, const struct http_call_done *done)
{
  json_t *json = result == 0 ? json_loadb (done->body, done->body_len, 0, NULL) : NULL;

  if (result == 0 && strcmp (member_string (json, "state"), "done") != 0)
    result = -EIO;
  json_decref (json);
  call->done.operate (call->ctx, result);
}

/* Starts a host operation, or queries it if its key is already known. */
static void
platform_http_operate (void *self, const struct platform_operation_request *request,
                       void (*done) (void *ctx, int result), void *ctx)
{
  struct platform_call *call = call_new (self, operate_finish, ctx);
  g_autofree char *path = g_strconcat ("/hosts/", request->host, "/operations", NULL);
  json_t *json = json_pack ("{s:s, s:s, s:s, s:s, s:I}", "operation", request->operation, "key",
                            request->key, "expected_pool", request->expected_pool, "to_pool",
                            request->to_pool, "sequence", (json_int_t) request->sequence);
  char *body = json_dumps (json, JSON_COMPACT);

  call->done.operate = done;
  call_start (call, "POST", path, body, strlen (body), 0);
  free (body);
  json_decref (json);
}

static enum platform_task_state
parse_task_state (const char *word)
{
  if (strcmp (word, "finished") == 0)
    return PLATFORM_TASK_FINISHED;
  if (strcmp (word, "failed") == 0)
    return PLATFORM_TASK_FAILED;
  if (strcmp (word, "stopped") == 0)
    return PLATFORM_TASK_STOPPED;
  return PLATFORM_TASK_RUNNING;
}

/* Completes a call for a batch task. */
static void
task_finish (struct platform_call *call, int result, const struct http_call_done *done)
{
  json_t *json = result == 0 ? json_loadb (done->body, done->body_len, 0, NULL) : NULL;
  struct platform_task task = { .state = parse_task_state (member_string (json, "state")),
                                .progress_permille =
                                    (uint32_t) member_uint (json, "progress_permille") };

  if (result == 0 && !json)
    result = -ETIMEDOUT;
  call->done.task (call->ctx, result, result == 0 ? &task : NULL);
  json_decref (json);
}

/* Starts a task, extends its lease or stops it. */
static void
platform_http_task (void *self, const struct platform_task_request *request,
                    void (*done) (void *ctx, int result, const struct platform_task *task),
                    void *ctx)
{
  struct platform_call *call = call_new (self, task_finish, ctx);
  g_autofree char *path = g_strconcat ("/hosts/", request->host, "/tasks", NULL);
  json_t *json =
      json_pack ("{s:s, s:s, s:I, s:I, s:I}", "operation", request->stop ? "stop" : "start", "task",
                 request->task, "term", (json_int_t) request->term, "run_ms",
                 (json_int_t) request->run_ms, "lease_ms", (json_int_t) request->lease_ms);
  char *body = json_dumps (json, JSON_COMPACT);

  call->done.task = done;
  call_start (call, "POST", path, body, strlen (body), 0);
  free (body);
  json_decref (json);
}

/* Completes a read of usage reports, leaving out malformed ones. */
static void
usage_finish (struct platform_call *call, int result, const struct http_call_done *done)
{
  json_t *json = result == 0 ? json_loadb (done->body, done->body_len, 0, NULL) : NULL;
  const json_t *list = json_object_get (json, "reports");
  struct platform_usage usage = { .next = member_uint (json, "next") };
  struct text_error error;

  if (result == 0 && !json_is_array (list))
    result = -EAGAIN;
  usage.reports = g_new0 (Sp__UsageReport *, json_array_size (list) + 1);
  for (size_t i = 0; i < json_array_size (list); i++)
    {
      Sp__UsageReport *report = (Sp__UsageReport *) message_from_json (
          &sp__usage_report__descriptor, json_array_get (list, i), &error);

      if (report)
        usage.reports[usage.n_reports++] = report;
    }
  call->done.usage (call->ctx, result, result == 0 ? &usage : NULL);
  for (size_t i = 0; i < usage.n_reports; i++)
    sp__usage_report__free_unpacked (usage.reports[i], NULL);
  g_free (usage.reports);
  json_decref (json);
}

/* Reads the usage reports after a sequence number. */
static void
platform_http_usage (void *self, uint64_t since,
                     void (*done) (void *ctx, int result, const struct platform_usage *usage),
                     void *ctx)
{
  struct platform_call *call = call_new (self, usage_finish, ctx);
  char path[80];

  call->done.usage = done;
  snprintf (path, sizeof path, "/usage?since=%" PRIu64, since);
  call_start (call, "GET", path, NULL, 0, 0);
}

/* Completes a read of an invoice, leaving out malformed lines. */
static void
invoice_finish (struct platform_call *call, int result, const struct http_call_done *done)
{
  json_t *json = result == 0 ? json_loadb (done->body, done->body_len, 0, NULL) : NULL;
  const json_t *list = json_object_get (json, "lines");
  struct platform_invoice invoice = { 0 };
  struct text_error error;

  if (result == 0 && !json_is_array (list))
    result = -EAGAIN;
  invoice.lines = g_new0 (Sp__InvoiceLine *, json_array_size (list) + 1);
  for (size_t i = 0; i < json_array_size (list); i++)
    {
      Sp__InvoiceLine *line = (Sp__InvoiceLine *) message_from_json (
          &sp__invoice_line__descriptor, json_array_get (list, i), &error);

      if (line)
        invoice.lines[invoice.n_lines++] = line;
    }
  call->done.invoice (call->ctx, result, result == 0 ? &invoice : NULL);
  for (size_t i = 0; i < invoice.n_lines; i++)
    sp__invoice_line__free_unpacked (invoice.lines[i], NULL);
  g_free (invoice.lines);
  json_decref (json);
}

/* Reads a month's invoice. */
static void
platform_http_invoice (void *self, const char *month,
                       void (*done) (void *ctx, int result, const struct platform_invoice *invoice),
                       void *ctx)
{
  struct platform_call *call = call_new (self, invoice_finish, ctx);
  g_autofree char *path = g_strconcat ("/invoice?month=", month, NULL);

  call->done.invoice = done;
  call_start (call, "GET", path, NULL, 0, 0);
}

static void
platform_http_get_stats (void *self, struct platform_stats *stats)
{
  const struct platform_http *http = self;

  *stats = http->stats;
}

/* Cancels all pending calls without calling their done callbacks, and frees the platform. */
static void
platform_http_destroy (void *self)
{
  struct platform_http *http = self;

  while (!LIST_EMPTY (&http->calls))
    {
      struct platform_call *call = LIST_FIRST (&http->calls);

      LIST_REMOVE (call, link);
      http_call_cancel (call->call);
      g_free (call);
    }
  http_client_destroy (http->client);
  g_free (http->base);
  g_free (http);
}

struct platform *
platform_http_create (struct ev_loop *loop, const char *ip, uint16_t port, long timeout_ms)
{
  struct platform_http *http = g_new0 (struct platform_http, 1);

  http->platform = (struct platform){
    .self = http,
    .append = platform_http_append,
    .read = platform_http_read,
    .hosts = platform_http_hosts,
    .operate = platform_http_operate,
    .usage = platform_http_usage,
    .invoice = platform_http_invoice,
    .task = platform_http_task,
    .get_stats = platform_http_get_stats,
    .destroy = platform_http_destroy,
  };
  http->client = http_client_create (loop, IDLE_REUSE_MS, MAX_CONNECTIONS);
  http->base = g_strdup_printf ("http://%s:%u", ip, port);
  http->timeout_ms = timeout_ms;
  LIST_INIT (&http->calls);
  return &http->platform;
}

void
platform_destroy (struct platform *platform)
{
  platform->destroy (platform->self);
}
