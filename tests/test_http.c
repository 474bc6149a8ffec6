#include <arpa/inet.h>
#include <ev.h>
#include <fcntl.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/http_client.h"
#include "common/http_server.h"
#include "process.h"
#include "suite.h"

enum
{
  PORT_BLOCK = 0,
  BODY_LIMIT_BYTES = 4096,
  RESPONSE_LIMIT_BYTES = 8192,
  CALL_TIMEOUT_MS = 300,
};

/* A server and a client on one loop, with what their callbacks recorded. */
struct http_fixture
{
  struct ev_loop *loop;
  struct http_server *server;
  struct http_client *client;
  uint16_t port;
  struct http_request *pending;
  unsigned handled;
  unsigned disconnects;
  unsigned done;
  enum http_call_result result;
  int status;
  char body[RESPONSE_LIMIT_BYTES + 1];
  char header[64];
  bool reused;
  unsigned n_sends;
  /* Number of bodies, of requests and responses, that were NULL. */
  unsigned null_bodies;
  /* Of the next calls. */
  bool repeatable;
};

/* Ends a wait at its time limit. */
static void
on_limit (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void) events;
  *(bool *) watcher->data = true;
  ev_break (loop, EVBREAK_ALL);
}

/* Runs the loop until a counter reaches a value. Returns false if limit_s seconds pass first. */
static bool
http_fixture_run_until (struct http_fixture *fixture, const unsigned *counter, unsigned value,
                        double limit_s)
{
  bool over = false;
  ev_timer limit;

  ev_timer_init (&limit, on_limit, limit_s, 0.0);
  limit.data = &over;
  ev_now_update (fixture->loop);
  ev_timer_start (fixture->loop, &limit);
  while (!over && *counter < value)
    ev_run (fixture->loop, EVRUN_ONCE);
  ev_timer_stop (fixture->loop, &limit);
  return *counter >= value;
}

/* Echoes the body; keeps a request to /hold unanswered; sends a body over the client's limit for
 * /big. */
static void
http_fixture_handle (void *ctx, struct http_request *request)
{
  struct http_fixture *fixture = ctx;
  struct http_response response = { .status = 200 };
  struct http_header header = { "X-Query", http_request_query (request, "q") };
  static const char big[RESPONSE_LIMIT_BYTES + 1];

  fixture->handled++;
  if (g_str_has_prefix (http_request_path (request), "/hold"))
    {
      fixture->pending = request;
      return;
    }
  response.body = http_request_body (request, &response.body_len);
  fixture->null_bodies += response.body == NULL;
  if (header.value)
    {
      response.headers = &header;
      response.n_headers = 1;
    }
  if (g_str_has_prefix (http_request_path (request), "/big"))
    {
      response.body = big;
      response.body_len = sizeof big;
    }
  http_request_respond (request, &response);
}

/* Counts a caller that disconnected. */
static void
http_fixture_disconnected (void *ctx, struct http_request *request)
{
  struct http_fixture *fixture = ctx;

  CU_ASSERT_PTR_EQUAL (request, fixture->pending);
  fixture->pending = NULL;
  fixture->disconnects++;
}

/* Records the result of a call. */
static void
http_fixture_call_done (void *ctx, const struct http_call_done *done)
{
  struct http_fixture *fixture = ctx;

  fixture->done++;
  fixture->result = done->result;
  fixture->status = done->status;
  fixture->reused = done->reused_connection;
  fixture->n_sends = done->n_sends;
  fixture->header[0] = '\0';
  for (size_t i = 0; i < done->n_headers; i++)
    {
      if (g_ascii_strcasecmp (done->headers[i].name, "X-Query") == 0)
        g_strlcpy (fixture->header, done->headers[i].value, sizeof fixture->header);
    }
  if (!done->body)
    fixture->null_bodies++;
  else
    memcpy (fixture->body, done->body, done->body_len);
  fixture->body[done->body_len] = '\0';
}

/* Starts the loop, the server and the client. */
static void
http_fixture_start (struct http_fixture *fixture)
{
  struct http_server_config config = {
    .address = "127.0.0.1",
    .body_limit = BODY_LIMIT_BYTES,
    .connection_limit = 64,
    .handle = http_fixture_handle,
    .caller_disconnected = http_fixture_disconnected,
    .ctx = fixture,
  };

  memset (fixture, 0, sizeof *fixture);
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->port = process_port_block (PORT_BLOCK);
  config.port = fixture->port;
  fixture->server = http_server_create (fixture->loop, &config);
  SUITE_REQUIRE (fixture->server != NULL);
  fixture->client = http_client_create (fixture->loop, 5000, 16);
}

/* Stops all three. */
static void
http_fixture_stop (struct http_fixture *fixture)
{
  http_client_destroy (fixture->client);
  http_server_destroy (fixture->server);
  ev_loop_destroy (fixture->loop);
}

/* Starts a call. */
static struct http_call *
http_fixture_call (struct http_fixture *fixture, const char *method, uint16_t port,
                   const char *path, const char *body, bool fresh)
{
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%u%s", port, path);
  struct http_call_config config = {
    .method = method,
    .url = url,
    .body = body,
    .body_len = body ? strlen (body) : 0,
    .connect_timeout_ms = CALL_TIMEOUT_MS,
    .timeout_ms = CALL_TIMEOUT_MS,
    .body_limit = RESPONSE_LIMIT_BYTES,
    .fresh_connection = fresh,
    .repeatable = fixture->repeatable,
    .done = http_fixture_call_done,
    .ctx = fixture,
  };

  return http_call_create (fixture->client, &config);
}

/* Makes a call and waits until it has completed. */
static void
http_fixture_call_and_wait (struct http_fixture *fixture, const char *method, uint16_t port,
                            const char *path, const char *body, bool fresh)
{
  unsigned before = fixture->done;

  http_fixture_call (fixture, method, port, path, body, fresh);
  CU_ASSERT (http_fixture_run_until (fixture, &fixture->done, before + 1, 2.0));
}

/* Each kind of result is reported as such: a response, a body over the server's or the client's
 * limit, a refused connection and a timeout. Connections are reused unless a new one is asked for
 * or the last call timed out. */
static void
test_calls (void)
{
  struct http_fixture fixture;
  g_autofree char *long_body = g_strnfill (BODY_LIMIT_BYTES + 1, 'x');

  http_fixture_start (&fixture);
  http_fixture_call_and_wait (&fixture, "POST", fixture.port, "/echo?q=a%20b", "hello", false);
  CU_ASSERT_EQUAL (fixture.result, HTTP_CALL_ANSWERED);
  CU_ASSERT_EQUAL (fixture.status, 200);
  CU_ASSERT_STRING_EQUAL (fixture.body, "hello");
  CU_ASSERT_STRING_EQUAL (fixture.header, "a b");
  http_fixture_call_and_wait (&fixture, "GET", fixture.port, "/echo", NULL, false);
  CU_ASSERT (fixture.reused);
  http_fixture_call_and_wait (&fixture, "GET", fixture.port, "/echo", NULL, true);
  CU_ASSERT (!fixture.reused);
  http_fixture_call_and_wait (&fixture, "POST", fixture.port, "/echo", long_body, false);
  CU_ASSERT_EQUAL (fixture.status, 413);
  http_fixture_call_and_wait (&fixture, "GET", fixture.port, "/big", NULL, false);
  CU_ASSERT_EQUAL (fixture.result, HTTP_CALL_TOO_LARGE);
  http_fixture_call_and_wait (&fixture, "GET", (uint16_t) (fixture.port + 1), "/", NULL, false);
  CU_ASSERT_EQUAL (fixture.result, HTTP_CALL_NOT_SENT);
  http_fixture_call_and_wait (&fixture, "GET", fixture.port, "/hold", NULL, false);
  CU_ASSERT_EQUAL (fixture.result, HTTP_CALL_TIMEOUT);
  http_fixture_call_and_wait (&fixture, "GET", fixture.port, "/echo", NULL, false);
  CU_ASSERT (!fixture.reused);
  http_fixture_stop (&fixture);
}

/* Guards against an empty body that is NULL: who takes it for a string ends with a signal. */
static void
test_empty_body (void)
{
  struct http_fixture fixture;

  http_fixture_start (&fixture);
  http_fixture_call_and_wait (&fixture, "GET", fixture.port, "/echo", NULL, false);
  CU_ASSERT_EQUAL (fixture.result, HTTP_CALL_ANSWERED);
  CU_ASSERT_STRING_EQUAL (fixture.body, "");
  http_fixture_call_and_wait (&fixture, "POST", fixture.port, "/echo", "", false);
  CU_ASSERT_EQUAL (fixture.result, HTTP_CALL_ANSWERED);
  http_fixture_call_and_wait (&fixture, "GET", (uint16_t) (fixture.port + 1), "/", NULL, false);
  CU_ASSERT_EQUAL (fixture.result, HTTP_CALL_NOT_SENT);
  CU_ASSERT_EQUAL (fixture.null_bodies, 0);
  http_fixture_stop (&fixture);
}

/* Creating a server fails if another server listens on the port, instead of sharing it. */
static void
test_port_taken (void)
{
  struct http_fixture fixture;
  struct http_server_config config = { .address = "127.0.0.1", .connection_limit = 1 };

  http_fixture_start (&fixture);
  config.port = fixture.port;
  CU_ASSERT_PTR_NULL (http_server_create (fixture.loop, &config));
  http_fixture_stop (&fixture);
}

/* The server notices a caller that disconnects while its request is pending, here because the call
 * is cancelled. */
static void
test_caller_gone (void)
{
  struct http_fixture fixture;
  struct http_call *call;

  http_fixture_start (&fixture);
  call = http_fixture_call (&fixture, "GET", fixture.port, "/hold", NULL, false);
  CU_ASSERT (http_fixture_run_until (&fixture, &fixture.handled, 1, 2.0));
  CU_ASSERT_EQUAL (http_server_open_requests (fixture.server), 1);
  http_call_cancel (call);
  CU_ASSERT (http_fixture_run_until (&fixture, &fixture.disconnects, 1, 1.0));
  CU_ASSERT_EQUAL (fixture.done, 0);
  http_fixture_call_and_wait (&fixture, "GET", fixture.port, "/echo", NULL, false);
  CU_ASSERT_EQUAL (http_server_open_requests (fixture.server), 0);
  http_fixture_stop (&fixture);
}

/* After a quiesce a pending request still gets its response, its connection is then closed, and new
 * connections are refused. */
static void
test_quiesce (void)
{
  struct http_fixture fixture;
  struct http_response response = { .status = 200, .body = "late", .body_len = 4 };

  http_fixture_start (&fixture);
  http_fixture_call (&fixture, "GET", fixture.port, "/hold", NULL, false);
  CU_ASSERT (http_fixture_run_until (&fixture, &fixture.handled, 1, 2.0));
  http_server_quiesce (fixture.server);
  http_request_respond (fixture.pending, &response);
  CU_ASSERT (http_fixture_run_until (&fixture, &fixture.done, 1, 2.0));
  CU_ASSERT_STRING_EQUAL (fixture.body, "late");
  http_fixture_call_and_wait (&fixture, "GET", fixture.port, "/echo", NULL, false);
  CU_ASSERT_EQUAL (fixture.result, HTTP_CALL_NOT_SENT);
  http_fixture_stop (&fixture);
}

/* A request that arrives on an open connection while the server is being destroyed is not passed to
 * the handler; its connection is closed. If the handler got it and left it pending, libmicrohttpd
 * would abort the process. */
static void
test_request_at_end (void)
{
  static const char first[] = "GET /echo HTTP/1.1\r\nHost: x\r\n\r\n";
  static const char second[] = "GET /hold HTTP/1.1\r\nHost: x\r\n\r\n";
  struct http_fixture fixture;
  struct sockaddr_in address = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  http_fixture_start (&fixture);
  address.sin_port = htons (fixture.port);
  inet_pton (AF_INET, "127.0.0.1", &address.sin_addr);
  CU_ASSERT_EQUAL (connect (fd, (struct sockaddr *) &address, sizeof address), 0);
  CU_ASSERT_EQUAL (send (fd, first, strlen (first), 0), (ssize_t) strlen (first));
  CU_ASSERT (http_fixture_run_until (&fixture, &fixture.handled, 1, 2.0));
  CU_ASSERT_EQUAL (send (fd, second, strlen (second), 0), (ssize_t) strlen (second));
  http_fixture_stop (&fixture);
  CU_ASSERT_EQUAL (fixture.handled, 1);
  close (fd);
}

/* Serves one call from a plain socket, which sends the given bytes and closes, and checks the
 * result of the call. */
static void
expect_raw (struct http_fixture *fixture, int listening, const char *answer,
            enum http_call_result result)
{
  unsigned before = fixture->done;
  char request[1024];
  int fd;

  http_fixture_call (fixture, "GET", (uint16_t) (fixture->port + 2), "/", NULL, false);
  ev_run (fixture->loop, EVRUN_ONCE);
  fd = accept (listening, NULL, NULL);
  http_fixture_run_until (fixture, &fixture->done, before + 1, 0.05);
  CU_ASSERT (recv (fd, request, sizeof request, 0) > 0);
  CU_ASSERT (send (fd, answer, strlen (answer), MSG_NOSIGNAL) >= 0);
  close (fd);
  CU_ASSERT (http_fixture_run_until (fixture, &fixture->done, before + 1, 2.0));
  CU_ASSERT_EQUAL (fixture->result, result);
}

/* Opens a listening socket next to the server's port. */
static int
listen_next_to (const struct http_fixture *fixture)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int listening = socket (AF_INET, SOCK_STREAM, 0);
  int on = 1;
  int bound;

  address.sin_port = htons ((uint16_t) (fixture->port + 2));
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (listening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  bound = bind (listening, (struct sockaddr *) &address, sizeof address);
  SUITE_REQUIRE (bound == 0);
  listen (listening, 8);
  return listening;
}

/* A response that may have been truncated is never reported as a complete one. */
static void
test_cut_answers (void)
{
  struct http_fixture fixture;
  int listening;

  http_fixture_start (&fixture);
  listening = listen_next_to (&fixture);
  expect_raw (&fixture, listening, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
              HTTP_CALL_ANSWERED);
  expect_raw (&fixture, listening, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 None\r\n\r\n",
              HTTP_CALL_ANSWERED);
  expect_raw (&fixture, listening, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok",
              HTTP_CALL_LOST);
  expect_raw (&fixture, listening,
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", HTTP_CALL_LOST);
  expect_raw (&fixture, listening, "HTTP/1.1 200 OK\r\n\r\nok", HTTP_CALL_LOST);
  expect_raw (&fixture, listening, "HTTP/1.1 200", HTTP_CALL_LOST);
  expect_raw (&fixture, listening, "", HTTP_CALL_LOST);
  close (listening);
  http_fixture_stop (&fixture);
}

/* Reads a request from a connection and, unless answer is NULL, responds. Returns false if the
 * connection closes without a request. */
static bool
serve_request (struct http_fixture *fixture, int fd, const char *answer)
{
  unsigned before = fixture->done;
  char request[1024];

  http_fixture_run_until (fixture, &fixture->done, before + 1, 0.05);
  if (recv (fd, request, sizeof request, 0) <= 0)
    return false;
  if (answer)
    CU_ASSERT (send (fd, answer, strlen (answer), MSG_NOSIGNAL) >= 0);
  return true;
}

/* Makes two calls over one connection, which closes when the second request has been read. The next
 * connection, if there is one, answers 503. Returns the number of requests that arrived. */
static unsigned
run_lost_connection (struct http_fixture *fixture, bool repeatable)
{
  static const char ok[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  static const char unavailable[] =
      "HTTP/1.1 503 Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
  int listening = listen_next_to (fixture);
  unsigned before = fixture->done;
  unsigned n_requests = 0;
  int fd;

  fixture->repeatable = repeatable;
  http_fixture_call (fixture, "POST", (uint16_t) (fixture->port + 2), "/", "a", false);
  ev_run (fixture->loop, EVRUN_ONCE);
  fd = accept (listening, NULL, NULL);
  n_requests += serve_request (fixture, fd, ok);
  CU_ASSERT (http_fixture_run_until (fixture, &fixture->done, before + 1, 2.0));
  http_fixture_call (fixture, "POST", (uint16_t) (fixture->port + 2), "/", "b", false);
  n_requests += serve_request (fixture, fd, NULL);
  close (fd);
  http_fixture_run_until (fixture, &fixture->done, before + 2, 0.1);
  fcntl (listening, F_SETFL, O_NONBLOCK);
  fd = accept (listening, NULL, NULL);
  if (fd >= 0)
    n_requests += serve_request (fixture, fd, unavailable);
  CU_ASSERT (http_fixture_run_until (fixture, &fixture->done, before + 2, 2.0));
  if (fd >= 0)
    close (fd);
  close (listening);
  return n_requests;
}

/* Guards against requests that libcurl sends twice by itself, of which a rejection of the second
 * send was taken for the fate of both (issue 24). */
static void
test_lost_connection (void)
{
  struct http_fixture fixture;

  http_fixture_start (&fixture);
  CU_ASSERT_EQUAL (run_lost_connection (&fixture, false), 2);
  CU_ASSERT_EQUAL (fixture.result, HTTP_CALL_LOST);
  CU_ASSERT_EQUAL (fixture.n_sends, 1);
  http_fixture_stop (&fixture);
  http_fixture_start (&fixture);
  CU_ASSERT_EQUAL (run_lost_connection (&fixture, true), 3);
  CU_ASSERT_EQUAL (fixture.result, HTTP_CALL_ANSWERED);
  CU_ASSERT_EQUAL (fixture.n_sends, 2);
  http_fixture_stop (&fixture);
}

static const struct suite_test tests[] = {
  { "calls", test_calls },
  { "empty body", test_empty_body },
  { "port taken", test_port_taken },
  { "caller gone", test_caller_gone },
  { "quiesce", test_quiesce },
  { "request at end", test_request_at_end },
  { "cut answers", test_cut_answers },
  { "lost connection", test_lost_connection },
};

int
main (void)
{
  return suite_run ("http", tests, sizeof tests / sizeof tests[0]);
}
