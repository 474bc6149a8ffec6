#include <ev.h>
#include <string.h>
#include <unistd.h>

#include "common/http_client.h"
#include "common/http_server.h"
#include "crowd.h"
#include "process.h"
#include "suite.h"

/* A server in this process beside a crowd. */

enum
{
  PORT_BLOCK = 107,
  BODY_LIMIT_BYTES = 256 * 1024,
  MEMORY_BYTES = 4 * 1000 * 1000,
  CONNECTIONS = 100,
  LARGE_BYTES = 200 * 1000,
  CLIENTS = 60,
  CHUNK_BYTES = 16 * 1024,
  CALL_TIMEOUT_MS = 20000,
  /* More than sockets take at once. */
  RESPONSE_BYTES = 4000 * 1000,
  RESPONSES = 20,
  /* Work of one iteration: an allowance each for small and for large requests. */
  ITERATION_BYTES_MAX = 2 * 256 * 1024,
};

#define CHUNKED_HEADERS "Host: x\r\nTransfer-Encoding: chunked\r\n"

struct fixture
{
  struct ev_loop *loop;
  struct memory_budget memory;
  struct http_server *server;
  struct http_client *client;
  uint16_t port;
  /* Bytes of the requests that were handled, in the present iteration and at most in one. */
  unsigned iteration;
  size_t iteration_bytes;
  size_t iteration_bytes_max;
  size_t memory_max;
  unsigned n_handled;
  bool keeps_requests;
  /* Length of responses to requests without a body; 0 for a short text. */
  size_t response_len;
  unsigned n_done;
  /* Responses of that length. */
  unsigned n_whole;
  int status;
  bool has_retry_after;
};

static void
fixture_handle (void *ctx, struct http_request *request)
{
  struct fixture *fixture = ctx;
  size_t len;

  http_request_body (request, &len);
  if (fixture->iteration != ev_iteration (fixture->loop))
    fixture->iteration_bytes = 0;
  fixture->iteration = ev_iteration (fixture->loop);
  fixture->iteration_bytes += len;
  fixture->iteration_bytes_max = MAX (fixture->iteration_bytes_max, fixture->iteration_bytes);
  fixture->memory_max = MAX (fixture->memory_max, fixture->memory.used);
  fixture->n_handled++;
  if (fixture->response_len > 0)
    {
      g_autofree char *text = g_strnfill (fixture->response_len, 'x');

      http_request_respond_text (request, 200, "text/plain", text);
    }
  else if (!fixture->keeps_requests || len == 0)
    http_request_respond_text (request, 200, "text/plain", "ok\n");
}

static void
fixture_on_done (void *ctx, const struct http_call_done *done)
{
  struct fixture *fixture = ctx;

  fixture->n_done++;
  fixture->n_whole += done->result == HTTP_CALL_ANSWERED && done->body_len == fixture->response_len;
  fixture->status = done->status;
  fixture->has_retry_after = false;
  for (size_t i = 0; i < done->n_headers; i++)
    {
      if (g_ascii_strcasecmp (done->headers[i].name, "Retry-After") == 0)
        fixture->has_retry_after = true;
    }
}

static void
fixture_start (struct fixture *fixture)
{
  struct http_server_config config = {
    .address = "127.0.0.1",
    .body_limit = BODY_LIMIT_BYTES,
    .connection_limit = CONNECTIONS,
    .memory = &fixture->memory,
    .handle = fixture_handle,
    .ctx = fixture,
  };

  *fixture = (struct fixture){ .loop = ev_loop_new (0), .port = process_port_block (PORT_BLOCK) };
  memory_budget_init (&fixture->memory, MEMORY_BYTES);
  config.port = fixture->port;
  fixture->server = http_server_create (fixture->loop, &config);
  fixture->client = http_client_create (fixture->loop, 0, 1);
  SUITE_REQUIRE (fixture->server != NULL);
}

static void
fixture_stop (struct fixture *fixture)
{
  http_client_destroy (fixture->client);
  http_server_destroy (fixture->server);
  CU_ASSERT_EQUAL (fixture->memory.used, 0);
  ev_loop_destroy (fixture->loop);
}

/* Sends an ordinary request of a length on a connection of its own, runs the loop until it is
 * answered, and returns its status, 0 if there is none. */
static int
fixture_call (struct fixture *fixture, size_t len)
{
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%u/x", fixture->port);
  g_autofree char *body = g_strnfill (len, 'x');
  struct http_call_config config = {
    .method = len > 0 ? "POST" : "GET",
    .url = url,
    .body = body,
    .body_len = len,
    .connect_timeout_ms = CALL_TIMEOUT_MS,
    .timeout_ms = CALL_TIMEOUT_MS,
    .body_limit = RESPONSE_BYTES,
    .fresh_connection = true,
    .done = fixture_on_done,
    .ctx = fixture,
  };
  unsigned n_done = fixture->n_done;

  fixture->status = 0;
  http_call_create (fixture->client, &config);
  while (fixture->n_done == n_done)
    ev_run (fixture->loop, EVRUN_ONCE);
  return fixture->status;
}

/* Runs the loop until the crowd has sent what it can. */
static void *
settle_thread (void *data)
{
  crowd_settle (((void **) data)[0]);
  ev_async_send (((void **) data)[1], ((void **) data)[2]);
  return NULL;
}

static void
on_settled (struct ev_loop *loop, ev_async *watcher, int events)
{
  (void) watcher;
  (void) events;
  ev_break (loop, EVBREAK_ALL);
}

static void
fixture_settle (struct fixture *fixture, struct crowd *crowd)
{
  ev_async settled;
  void *data[] = { crowd, fixture->loop, &settled };
  GThread *thread;

  ev_async_init (&settled, on_settled);
  ev_async_start (fixture->loop, &settled);
  thread = g_thread_new ("settle", settle_thread, data);
  ev_run (fixture->loop, 0);
  g_thread_join (thread);
  ev_async_stop (fixture->loop, &settled);
}

/* Returns a chunked body of LARGE_BYTES. */
static GByteArray *
large_body (bool complete)
{
  g_autoptr (GByteArray) text = crowd_repeated ("x", LARGE_BYTES);
  GByteArray *body = crowd_chunks (text->data, text->len, CHUNK_BYTES);

  if (complete)
    g_byte_array_append (body, (const guint8 *) "0\r\n\r\n", 5);
  return body;
}

static struct crowd *
fixture_crowd (const struct fixture *fixture, unsigned n, const GByteArray *body)
{
  return crowd_create (&(struct crowd_config){ .port = fixture->port,
                                               .n_clients = n,
                                               .method = "POST",
                                               .path = "/",
                                               .headers = CHUNKED_HEADERS,
                                               .body = body },
                       getpid ());
}

/* Guards against whole requests that hold the loop: no iteration handles more than its allowance,
 * and each is handled. */
static void
test_whole_requests (void)
{
  g_autoptr (GByteArray) body = large_body (true);
  struct fixture fixture;
  struct crowd *crowd;

  fixture_start (&fixture);
  fixture.memory.limit = (size_t) 4 * CLIENTS * BODY_LIMIT_BYTES;
  crowd = fixture_crowd (&fixture, CLIENTS, body);
  CU_ASSERT_EQUAL (fixture_call (&fixture, 100), 200);
  fixture_settle (&fixture, crowd);
  CU_ASSERT_EQUAL (fixture.n_handled, CLIENTS + 1);
  CU_ASSERT (fixture.iteration_bytes_max <= ITERATION_BYTES_MAX);
  crowd_destroy (crowd);
  fixture_stop (&fixture);
}

/* While bodies that don't end fill the memory, a small request is served and a large one gets 503
 * and when to come back. */
static void
test_memory_used_up (void)
{
  g_autoptr (GByteArray) body = large_body (false);
  struct fixture fixture;
  struct crowd *crowd;

  fixture_start (&fixture);
  crowd = fixture_crowd (&fixture, CLIENTS, body);
  fixture_settle (&fixture, crowd);
  CU_ASSERT (fixture.memory.used <= MEMORY_BYTES);
  CU_ASSERT_EQUAL (fixture_call (&fixture, 100), 200);
  CU_ASSERT_EQUAL (fixture_call (&fixture, LARGE_BYTES), 503);
  CU_ASSERT (fixture.has_retry_after);
  CU_ASSERT_EQUAL (fixture.n_handled, 1);
  crowd_destroy (crowd);
  CU_ASSERT_EQUAL (fixture_call (&fixture, 0), 200);
  fixture_stop (&fixture);
}

/* Requests that are kept by the handler count as well, as long as they are. */
static void
test_kept_requests (void)
{
  g_autoptr (GByteArray) body = large_body (true);
  struct fixture fixture;
  struct crowd *crowd;

  fixture_start (&fixture);
  fixture.keeps_requests = true;
  crowd = fixture_crowd (&fixture, CLIENTS, body);
  fixture_settle (&fixture, crowd);
  CU_ASSERT (fixture.memory_max <= MEMORY_BYTES);
  CU_ASSERT (fixture.n_handled >= 1);
  CU_ASSERT_EQUAL (fixture_call (&fixture, LARGE_BYTES), 503);
  CU_ASSERT_EQUAL (fixture_call (&fixture, 0), 200);
  crowd_destroy (crowd);
  fixture_stop (&fixture);
}

/* A single request of the largest size is served in calm, one byte a chunk too. */
static void
test_largest_in_calm (void)
{
  g_autoptr (GByteArray) text = crowd_repeated ("x", BODY_LIMIT_BYTES);
  g_autoptr (GByteArray) body = crowd_chunks (text->data, text->len, 1);
  struct fixture fixture;
  struct crowd *crowd;

  g_byte_array_append (body, (const guint8 *) "0\r\n\r\n", 5);
  fixture_start (&fixture);
  CU_ASSERT_EQUAL (fixture_call (&fixture, BODY_LIMIT_BYTES), 200);
  crowd = fixture_crowd (&fixture, 1, body);
  fixture_settle (&fixture, crowd);
  CU_ASSERT_EQUAL (fixture.n_handled, 2);
  CU_ASSERT_EQUAL (fixture.iteration_bytes_max, BODY_LIMIT_BYTES);
  crowd_destroy (crowd);
  fixture_stop (&fixture);
}

/* A body without end is not read for ever. */
static void
test_endless_body (void)
{
  g_autoptr (GByteArray) text = crowd_repeated ("x", 3 * BODY_LIMIT_BYTES);
  g_autoptr (GByteArray) body = crowd_chunks (text->data, text->len, CHUNK_BYTES);
  struct fixture fixture;
  struct crowd *crowd;

  fixture_start (&fixture);
  crowd = fixture_crowd (&fixture, 1, body);
  fixture_settle (&fixture, crowd);
  CU_ASSERT_EQUAL (crowd_settle (crowd), 0);
  CU_ASSERT_EQUAL (http_server_connections (fixture.server), 0);
  CU_ASSERT_EQUAL (fixture.n_handled, 0);
  crowd_destroy (crowd);
  fixture_stop (&fixture);
}

/* Beyond the limit of connections others are closed, but none whose request waits for its response.
 */
static void
test_connections (void)
{
  g_autoptr (GByteArray) body = large_body (true);
  struct fixture fixture;
  struct crowd *kept;
  struct crowd *silent;

  fixture_start (&fixture);
  fixture.keeps_requests = true;
  fixture.memory.limit = (size_t) 4 * CLIENTS * BODY_LIMIT_BYTES;
  kept = fixture_crowd (&fixture, CLIENTS, body);
  fixture_settle (&fixture, kept);
  CU_ASSERT_EQUAL (http_server_open_requests (fixture.server), CLIENTS);
  silent = crowd_create (
      &(struct crowd_config){ .port = fixture.port, .n_clients = 2 * CONNECTIONS }, getpid ());
  fixture_settle (&fixture, silent);
  CU_ASSERT (http_server_connections (fixture.server) <= CONNECTIONS);
  CU_ASSERT_EQUAL (http_server_open_requests (fixture.server), CLIENTS);
  CU_ASSERT_EQUAL (fixture_call (&fixture, 0), 200);
  CU_ASSERT_EQUAL (http_server_open_requests (fixture.server), CLIENTS);
  crowd_destroy (silent);
  crowd_destroy (kept);
  fixture_stop (&fixture);
}

/* Responses that arrive at once stay within the memory of a client, but for the oldest, and all
 * arrive. */
static void
test_responses (void)
{
  struct fixture fixture;
  struct memory_budget memory;
  g_autofree char *url = NULL;
  size_t memory_max = 0;

  fixture_start (&fixture);
  fixture.memory.limit = (size_t) 2 * RESPONSES * RESPONSE_BYTES;
  fixture.response_len = RESPONSE_BYTES;
  memory_budget_init (&memory, (size_t) 4 * RESPONSE_BYTES);
  http_client_set_memory (fixture.client, &memory);
  url = g_strdup_printf ("http://127.0.0.1:%u/x", fixture.port);
  for (unsigned i = 0; i < RESPONSES; i++)
    http_call_create (fixture.client, &(struct http_call_config){
                                          .method = "GET",
                                          .url = url,
                                          .connect_timeout_ms = CALL_TIMEOUT_MS,
                                          .timeout_ms = CALL_TIMEOUT_MS,
                                          .body_limit = RESPONSE_BYTES,
                                          .fresh_connection = true,
                                          .done = fixture_on_done,
                                          .ctx = &fixture,
                                      });
  while (fixture.n_done < RESPONSES)
    {
      ev_run (fixture.loop, EVRUN_ONCE);
      memory_max = MAX (memory_max, memory.used);
    }
  CU_ASSERT_EQUAL (fixture.n_whole, RESPONSES);
  CU_ASSERT (memory_max > 0 && memory_max <= memory.limit / 2 + RESPONSE_BYTES);
  CU_ASSERT (memory.n_refusals > 0);
  CU_ASSERT_EQUAL (memory.used, 0);
  fixture_stop (&fixture);
}

static const struct suite_test tests[] = {
  { "whole requests", test_whole_requests }, { "memory used up", test_memory_used_up },
  { "kept requests", test_kept_requests },   { "largest in calm", test_largest_in_calm },
  { "endless body", test_endless_body },     { "connections", test_connections },
  { "responses", test_responses },
};

int
main (void)
{
  return suite_run ("http_crowd", tests, sizeof tests / sizeof tests[0]);
}
