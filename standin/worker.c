#include "worker.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "common/http_json.h"

enum
{
  BODY_LIMIT_BYTES = 64 * 1024 * 1024,
  MS_PER_S = 1000,
  SECOND_ANSWER_MS = 20,
  /* Open while connections of callers are not counted: those that ask for counts. */
  SPARE_CONNECTIONS = 2,
};

/* A request that runs. */
struct run
{
  struct worker *worker;
  /* NULL once the caller has hung up. */
  struct http_request *request;
  struct worker_faults faults;
  char *id;
  /* What the entry host calls its attempt, or NULL; goes back with the answer. */
  char *attempt;
  ev_timer end;
  bool answered;
  LIST_ENTRY (run) link;
};

LIST_HEAD (run_list, run);

struct worker
{
  struct ev_loop *loop;
  struct http_server *server;
  uint16_t port;
  struct worker_limits limits;
  struct worker_faults faults;
  GRand *random;
  struct run_list runs;
  /* Number of runs by request id. */
  GHashTable *runs_by_id;
  uint64_t total;
  uint64_t not_run;
  unsigned running;
  unsigned most_at_once;
  uint64_t overfilled;
};

/* Lists the ids that ran more than once. */
static json_t *
worker_duplicates (const struct worker *worker)
{
  json_t *list = json_array ();
  GHashTableIter iter;
  gpointer id;
  gpointer count;

  g_hash_table_iter_init (&iter, worker->runs_by_id);
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
  http_request_answer_json (
      request, 200,
      json_pack ("{s:i,s:I,s:I,s:i,s:i,s:I,s:i,s:o}", "port", (int) worker->port, "runs",
                 (json_int_t) worker->total, "not_run", (json_int_t) worker->not_run, "running",
                 (int) worker->running, "most_at_once", (int) worker->most_at_once, "overfilled",
                 (json_int_t) worker->overfilled, "connections",
                 (int) http_server_connections (worker->server), "duplicates",
                 worker_duplicates (worker)));
}

/* Answers with one line per id: the id and how often it ran. */
static void
worker_answer_runs (const struct worker *worker, struct http_request *request)
{
  GString *text = g_string_new (NULL);
  GHashTableIter iter;
  gpointer id;
  gpointer count;

  g_hash_table_iter_init (&iter, worker->runs_by_id);
  while (g_hash_table_iter_next (&iter, &id, &count))
    g_string_append_printf (text, "%s %u\n", (const char *) id, GPOINTER_TO_UINT (count));
  http_request_answer_text (request, 200, "text/plain", text->str);
  g_string_free (text, TRUE);
}

/* Takes new faults. */
static void
worker_take_faults (struct worker *worker, struct http_request *request)
{
  size_t len;
  const char *body = http_request_body (request, &len);
  json_t *json = json_loadb (body, len, 0, NULL);

  if (!json || worker_faults_read (&worker->faults, json) < 0)
    http_request_answer_text (request, 400, "text/plain", "not a set of faults\n");
  else
    http_request_answer_text (request, 200, "text/plain", "ok\n");
  json_decref (json);
}

/* Answers what asks for the stand-in itself. Gives false for a request to run. */
static bool
worker_answer_own (struct worker *worker, struct http_request *request)
{
  const char *path = http_request_path (request);

  if (strcmp (path, "/standin/stats") == 0)
    worker_answer_stats (worker, request);
  else if (strcmp (path, "/standin/runs") == 0)
    worker_answer_runs (worker, request);
  else if (strcmp (path, "/standin/faults") == 0)
    worker_take_faults (worker, request);
  else
    return false;
  return true;
}

/* Ends a run's bookkeeping. */
static void
run_destroy (struct run *run)
{
  ev_timer_stop (run->worker->loop, &run->end);
  LIST_REMOVE (run, link);
  run->worker->running--;
  g_free (run->id);
  g_free (run->attempt);
  g_free (run);
}

/* Gives the header line that repeats the attempt's name, or "". Free with g_free. */
static char *
run_attempt_line (const struct run *run)
{
  if (!run->attempt)
    return g_strdup ("");
  return g_strdup_printf ("Sesamepick-Attempt: %s\r\n", run->attempt);
}

/* Sends the head of the answer with the whole length and half of the body, and closes. */
static void
run_truncate (struct run *run, const GString *body)
{
  g_autofree char *line = run_attempt_line (run);
  g_autofree char *part = g_strdup_printf ("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n%s\r\n%.*s",
                                           body->len, line, (int) body->len / 2, body->str);

  http_request_write_raw (run->request, part, strlen (part));
  http_request_drop (run->request);
}

/* Sends an answer with claims that an endpoint may not make, and leaves the connection open for a
 * second answer. */
static void
run_lie (struct run *run, const GString *body)
{
  g_autofree char *line = run_attempt_line (run);
  g_autofree char *text = g_strdup_printf ("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n"
                                           "Sesamepick-Outcome: not-run\r\nKeep-Alive: 99\r\n"
                                           "Connection: X-Private\r\nX-Private: 1\r\n"
                                           "Proxy-Status: other\r\n%s\r\n%s",
                                           body->len, line, body->str);

  http_request_write_raw (run->request, text, strlen (text));
  run->answered = true;
  ev_timer_set (&run->end, (double) SECOND_ANSWER_MS / MS_PER_S, 0.0);
  ev_timer_start (run->worker->loop, &run->end);
}

/* Sends the second answer of a lie and closes. */
static void
run_lie_again (struct run *run)
{
  static const char text[] = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstolen";

  http_request_write_raw (run->request, text, sizeof text - 1);
  http_request_drop (run->request);
  run_destroy (run);
}

/* Gives the body of an answer: it names the request, so that a caller can tell it from others. */
static GString *
run_body (const struct run *run)
{
  GString *body = g_string_new (NULL);
  size_t len;

  http_request_body (run->request, &len);
  g_string_printf (body, "id=%s path=%s bytes=%zu\n", run->id, http_request_path (run->request),
                   len);
  if (body->len < run->faults.oversize)
    {
      size_t start = body->len;

      g_string_set_size (body, run->faults.oversize);
      memset (body->str + start, 'x', body->len - start);
    }
  return body;
}

/* Answers as a good worker does. */
static void
run_answer_whole (struct run *run, int status, const GString *body)
{
  struct http_header headers[] = { { "Content-Type", "text/plain" },
                                   { "Sesamepick-Attempt", run->attempt } };
  struct http_response response = {
    .status = status,
    .headers = headers,
    .n_headers = run->attempt ? 2 : 1,
    .body = body->str,
    .body_len = body->len,
  };

  http_request_answer (run->request, &response);
}

/* Answers a run's request, if its caller is still there. Gives false if the run goes on. */
static bool
run_answer (struct run *run)
{
  g_autoptr (GString) body = NULL;
  const struct worker_faults *faults = &run->faults;

  if (!run->request)
    return true;
  body = run_body (run);
  if (faults->close_after_run)
    http_request_drop (run->request);
  else if (faults->truncate)
    run_truncate (run, body);
  else if (faults->lie)
    run_lie (run, body);
  else
    run_answer_whole (run, faults->fail ? faults->fail : 200, body);
  return !run->answered;
}

/* A run's time is over. */
static void
run_on_end (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct run *run = watcher->data;

  (void) loop;
  (void) events;
  if (run->answered)
    run_lie_again (run);
  else if (run_answer (run))
    run_destroy (run);
}

/* Counts the start of a run. */
static void
worker_count (struct worker *worker, const char *id)
{
  guint count = GPOINTER_TO_UINT (g_hash_table_lookup (worker->runs_by_id, id));

  g_hash_table_replace (worker->runs_by_id, g_strdup (id), GUINT_TO_POINTER (count + 1));
  worker->total++;
  worker->running++;
  worker->most_at_once = MAX (worker->most_at_once, worker->running);
  if (worker->running > worker->limits.slots)
    worker->overfilled++;
}

/* Starts a run. */
static void
worker_run (struct worker *worker, struct http_request *request)
{
  const char *id = http_request_header (request, "X-Request-Id");
  struct run *run = g_new0 (struct run, 1);
  double mean_s = (double) worker->limits.service_ms * worker->faults.slow / MS_PER_S;

  run->worker = worker;
  run->request = request;
  run->faults = worker->faults;
  run->id = g_strdup (id ? id : "-");
  run->attempt = g_strdup (http_request_header (request, "Sesamepick-Attempt"));
  ev_timer_init (&run->end, run_on_end, mean_s * g_rand_double_range (worker->random, 0.5, 1.5),
                 0.0);
  run->end.data = run;
  LIST_INSERT_HEAD (&worker->runs, run, link);
  worker_count (worker, run->id);
  http_request_set_data (request, run);
  if (!run->faults.hang)
    ev_timer_start (worker->loop, &run->end);
}

/* Refuses without running. */
static void
worker_refuse (struct worker *worker, struct http_request *request)
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
  http_request_answer (request, &response);
}

/* Takes a request. */
static void
worker_handle (void *ctx, struct http_request *request)
{
  struct worker *worker = ctx;

  if (worker_answer_own (worker, request))
    return;
  if (worker->faults.close_before_run)
    {
      worker->not_run++;
      http_request_drop (request);
    }
  else if (worker->faults.refuse || worker->faults.leaving)
    worker_refuse (worker, request);
  else
    worker_run (worker, request);
}

/* The caller hung up: a run goes on to its end, one that hangs ends. */
static void
worker_gone (void *ctx, struct http_request *request)
{
  struct run *run = http_request_data (request);

  (void) ctx;
  run->request = NULL;
  if (run->faults.hang || run->answered)
    run_destroy (run);
}

/* Makes a worker. Gives NULL if its port is taken. */
struct worker *
worker_create (struct ev_loop *loop, const char *address, uint16_t port,
               const struct worker_limits *limits, GRand *random)
{
  struct worker *worker = g_new0 (struct worker, 1);
  struct http_server_config config = {
    .address = address,
    .port = port,
    .body_limit = BODY_LIMIT_BYTES,
    .connection_limit = limits->connections + SPARE_CONNECTIONS,
    .handle = worker_handle,
    .gone = worker_gone,
    .ctx = worker,
  };

  worker->loop = loop;
  worker->port = port;
  worker->limits = *limits;
  worker->faults.slow = 1;
  worker->random = random;
  worker->runs_by_id = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  LIST_INIT (&worker->runs);
  worker->server = http_server_create (loop, &config);
  if (worker->server)
    return worker;
  g_hash_table_destroy (worker->runs_by_id);
  g_free (worker);
  return NULL;
}

/* Ends a worker; what runs is cut. */
void
worker_destroy (struct worker *worker)
{
  struct run *run = LIST_FIRST (&worker->runs);

  while (run)
    {
      struct run *next = LIST_NEXT (run, link);

      run_destroy (run);
      run = next;
    }
  http_server_destroy (worker->server);
  g_hash_table_destroy (worker->runs_by_id);
  g_free (worker);
}
