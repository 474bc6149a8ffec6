#include "worker.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "common/http_json.h"

enum
{
  BODY_LIMIT_BYTES = 64 * 1024 * 1024,
  MS_PER_S = 1000,
  SECOND_ANSWER_DELAY_MS = 20,
  /* Allowed beyond the limit for callers, so that a test's control requests can connect too. */
  CONTROL_CONNECTIONS = 2,
};

/* The execution of one request. */
struct execution
{
  struct worker *worker;
  /* NULL once the caller has disconnected. */
  struct http_request *request;
  struct worker_faults faults;
  char *id;
  /* The attempt's name from the entry host, or NULL; it is returned with the answer. */
  char *attempt;
  ev_timer end_timer;
  bool answered;
  LIST_ENTRY (execution) link;
};

LIST_HEAD (execution_list, execution);

struct worker
{
  struct ev_loop *loop;
  struct http_server *server;
  uint16_t port;
  struct worker_limits limits;
  struct worker_faults faults;
  GRand *random;
  struct execution_list executions;
  /* Number of executions by request id. */
  GHashTable *executions_by_id;
  uint64_t total_executions;
  uint64_t not_run;
  unsigned running;
  unsigned max_concurrent;
  uint64_t starts_over_limit;
};

/* Lists the ids that ran more than once. */
static json_t *
worker_duplicates (const struct worker *worker)
{
  json_t *list = json_array ();
  GHashTableIter iter;
  gpointer id;
  gpointer count;

  g_hash_table_iter_init (&iter, worker->executions_by_id);
  while (g_hash_table_iter_next (&iter, &id, &count))
    {
      if (GPOINTER_TO_UINT (count) > 1)
        json_array_append_new (
            list, json_pack ("{s:s,s:i}", "id", id, "runs", (int) GPOINTER_TO_UINT (count)));
    }
  return list;
}

/* Answers with the counts. */
static void
worker_answer_stats (const struct worker *worker, struct http_request *request)
{
  http_request_respond_json (
      request, 200,
      json_pack ("{s:i,s:I,s:I,s:i,s:i,s:I,s:i,s:o}", "port", (int) worker->port, "runs",
                 (json_int_t) worker->total_executions, "not_run", (json_int_t) worker->not_run,
                 "running", (int) worker->running, "most_at_once", (int) worker->max_concurrent,
                 "overfilled", (json_int_t) worker->starts_over_limit, "connections",
                 (int) http_server_connections (worker->server), "duplicates",
                 worker_duplicates (worker)));
}

/* Answers with one line for each id: the id and how often it ran. */
static void
worker_answer_runs (const struct worker *worker, struct http_request *request)
{
  GString *text = g_string_new (NULL);
  GHashTableIter iter;
  gpointer id;
  gpointer count;

  g_hash_table_iter_init (&iter, worker->executions_by_id);
  while (g_hash_table_iter_next (&iter, &id, &count))
    g_string_append_printf (text, "%s %u\n", (const char *) id, GPOINTER_TO_UINT (count));
  http_request_respond_text (request, 200, "text/plain", text->str);
  g_string_free (text, TRUE);
}

/* Replaces the faults by those in the request's body. */
static void
worker_set_faults (struct worker *worker, struct http_request *request)
{
  size_t len;
  const char *body = http_request_body (request, &len);
  json_t *json = json_loadb (body, len, 0, NULL);

  if (!json || worker_faults_read (&worker->faults, json) < 0)
    http_request_respond_text (request, 400, "text/plain", "not a set of faults\n");
  else
    http_request_respond_text (request, 200, "text/plain", "ok\n");
  json_decref (json);
}

/* Answers a test's control request. Returns false for a request to execute. */
static bool
worker_answer_control (struct worker *worker, struct http_request *request)
{
  const char *path = http_request_path (request);

  if (strcmp (path, "/standin/stats") == 0)
    worker_answer_stats (worker, request);
  else if (strcmp (path, "/standin/runs") == 0)
    worker_answer_runs (worker, request);
  else if (strcmp (path, "/standin/faults") == 0)
    worker_set_faults (worker, request);
  else
    return false;
  return true;
}

/* Ends and frees an execution. */
static void
execution_destroy (struct execution *execution)
{
  ev_timer_stop (execution->worker->loop, &execution->end_timer);
  LIST_REMOVE (execution, link);
  execution->worker->running--;
  g_free (execution->id);
  g_free (execution->attempt);
  g_free (execution);
}

/* Returns the header line with the attempt's name, or "". Free with g_free. */
static char *
execution_attempt_line (const struct execution *execution)
{
  if (!execution->attempt)
    return g_strdup ("");
  return g_strdup_printf ("Sesamepick-Attempt: %s\r\n", execution->attempt);
}

/* Sends headers that announce the whole body, but only half of the body, and closes the
 * connection. */
static void
execution_answer_truncated (struct execution *execution, const GString *body)
{
  g_autofree char *line = execution_attempt_line (execution);
  g_autofree char *part = g_strdup_printf ("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n%s\r\n%.*s",
                                           body->len, line, (int) body->len / 2, body->str);

  http_request_write_raw (execution->request, part, strlen (part));
  http_request_drop (execution->request);
}

/* Sends an answer with headers that an endpoint may not set, and leaves the connection open for a
 * second, unsolicited answer. */
static void
execution_answer_forged (struct execution *execution, const GString *body)
{
  g_autofree char *line = execution_attempt_line (execution);
  g_autofree char *text = g_strdup_printf ("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n"
                                           "Sesamepick-Outcome: not-run\r\nKeep-Alive: 99\r\n"
                                           "Connection: X-Private\r\nX-Private: 1\r\n"
                                           "Proxy-Status: other\r\n%s\r\n%s",
                                           body->len, line, body->str);

  http_request_write_raw (execution->request, text, strlen (text));
  execution->answered = true;
  ev_timer_set (&execution->end_timer, (double) SECOND_ANSWER_DELAY_MS / MS_PER_S, 0.0);
  ev_timer_start (execution->worker->loop, &execution->end_timer);
}

/* Sends the second, unsolicited answer and closes the connection. */
static void
execution_send_second_answer (struct execution *execution)
{
  static const char text[] = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstolen";

  http_request_write_raw (execution->request, text, sizeof text - 1);
  http_request_drop (execution->request);
  execution_destroy (execution);
}

/* Returns the body of an answer. It names the request, so that the caller can detect an answer
 * to another request. */
static GString *
execution_body (const struct execution *execution)
{
  GString *body = g_string_new (NULL);
  size_t len;

  http_request_body (execution->request, &len);
  g_string_printf (body, "id=%s path=%s bytes=%zu\n", execution->id,
                   http_request_path (execution->request), len);
  if (body->len < execution->faults.oversize)
    {
      size_t start = body->len;

      g_string_set_size (body, execution->faults.oversize);
      memset (body->str + start, 'x', body->len - start);
    }
  return body;
}

/* Sends a complete answer. */
static void
execution_answer_whole (struct execution *execution, int status, const GString *body)
{
  struct http_header headers[] = { { "Content-Type", "text/plain" },
                                   { "Sesamepick-Attempt", execution->attempt } };
  struct http_response response = {
    .status = status,
    .headers = headers,
    .n_headers = execution->attempt ? 2 : 1,
    .body = body->str,
    .body_len = body->len,
  };

  http_request_respond (execution->request, &response);
}

/* Answers the request, if its caller is still connected. Returns false if the execution continues,
 * because a second answer follows. */
static bool
execution_answer (struct execution *execution)
{
  g_autoptr (GString) body = NULL;
  const struct worker_faults *faults = &execution->faults;

  if (!execution->request)
    return true;
  body = execution_body (execution);
  if (faults->close_after_run)
    http_request_drop (execution->request);
  else if (faults->truncate)
    execution_answer_truncated (execution, body);
  else if (faults->forge)
    execution_answer_forged (execution, body);
  else
    execution_answer_whole (execution, faults->fail ? faults->fail : 200, body);
  return !execution->answered;
}

/* Answers at the end of the service time, or sends the second answer. */
static void
execution_on_end (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct execution *execution = watcher->data;

  (void) loop;
  (void) events;
  if (execution->answered)
    execution_send_second_answer (execution);
  else if (execution_answer (execution))
    execution_destroy (execution);
}

/* Counts the start of an execution. */
static void
worker_count_start (struct worker *worker, const char *id)
{
  guint count = GPOINTER_TO_UINT (g_hash_table_lookup (worker->executions_by_id, id));

  g_hash_table_replace (worker->executions_by_id, g_strdup (id), GUINT_TO_POINTER (count + 1));
  worker->total_executions++;
  worker->running++;
  worker->max_concurrent = MAX (worker->max_concurrent, worker->running);
  if (worker->running > worker->limits.slots)
    worker->starts_over_limit++;
}

/* Starts the execution of a request; its service time is drawn from 0.5 to 1.5 times the mean. */
static void
worker_execute (struct worker *worker, struct http_request *request)
{
  const char *id = http_request_header (request, "X-Request-Id");
  struct execution *execution = g_new0 (struct execution, 1);
  double mean_s = (double) worker->limits.service_ms * worker->faults.slow / MS_PER_S;

  execution->worker = worker;
  execution->request = request;
  execution->faults = worker->faults;
  execution->id = g_strdup (id ? id : "-");
  execution->attempt = g_strdup (http_request_header (request, "Sesamepick-Attempt"));
  ev_timer_init (&execution->end_timer, execution_on_end,
                 mean_s * g_rand_double_range (worker->random, 0.5, 1.5), 0.0);
  execution->end_timer.data = execution;
  LIST_INSERT_HEAD (&worker->executions, execution, link);
  worker_count_start (worker, execution->id);
  http_request_set_data (request, execution);
  if (!execution->faults.hang)
    ev_timer_start (worker->loop, &execution->end_timer);
}

/* Rejects a request without running it. */
static void
worker_reject (struct worker *worker, struct http_request *request)
{
  static const struct http_header headers[] = { { "Sesamepick-Not-Run", "?1" },
                                                { "Sesamepick-Leaving", "?1" } };
  struct http_response response = {
    .status = 503,
    .headers = headers,
    .n_headers = worker->faults.leaving ? 2 : 1,
    .body = "",
  };

  worker->not_run++;
  http_request_respond (request, &response);
}

/* Handles a request according to the faults set. */
static void
worker_handle (void *ctx, struct http_request *request)
{
  struct worker *worker = ctx;

  if (worker_answer_control (worker, request))
    return;
  if (worker->faults.close_before_run)
    {
      worker->not_run++;
      http_request_drop (request);
    }
  else if (worker->faults.refuse || worker->faults.leaving)
    worker_reject (worker, request);
  else
    worker_execute (worker, request);
}

/* Handles a disconnected caller. The execution continues to its end, unless it hangs or has been
 * answered. */
static void
worker_disconnected (void *ctx, struct http_request *request)
{
  struct execution *execution = http_request_data (request);

  (void) ctx;
  execution->request = NULL;
  if (execution->faults.hang || execution->answered)
    execution_destroy (execution);
}

/* Creates a worker. Returns NULL if its port is in use. */
struct worker *
worker_create (struct ev_loop *loop, const char *address, uint16_t port,
               const struct worker_limits *limits, GRand *random)
{
  struct worker *worker = g_new0 (struct worker, 1);
  struct http_server_config config = {
    .address = address,
    .port = port,
    .body_limit = BODY_LIMIT_BYTES,
    .connection_limit = limits->connections + CONTROL_CONNECTIONS,
    .handle = worker_handle,
    .caller_disconnected = worker_disconnected,
    .ctx = worker,
  };

  worker->loop = loop;
  worker->port = port;
  worker->limits = *limits;
  worker->faults.slow = 1;
  worker->random = random;
  worker->executions_by_id = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  LIST_INIT (&worker->executions);
  worker->server = http_server_create (loop, &config);
  if (worker->server)
    return worker;
  g_hash_table_destroy (worker->executions_by_id);
  g_free (worker);
  return NULL;
}

/* Destroys a worker and drops its executions. */
void
worker_destroy (struct worker *worker)
{
  struct execution *execution = LIST_FIRST (&worker->executions);

  while (execution)
    {
      struct execution *next = LIST_NEXT (execution, link);

      execution_destroy (execution);
      execution = next;
    }
  http_server_destroy (worker->server);
  g_hash_table_destroy (worker->executions_by_id);
  g_free (worker);
}
