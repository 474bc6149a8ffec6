#include <errno.h>
#include <ev.h>
#include <string.h>

#include "common/http_server.h"
#include "fleetd/platform.h"
#include "process.h"
#include "suite.h"

/* fleetd's calls of the platform over a connection that is kept open, against a server that closes
 * it without a response and rejects what comes next. */

enum
{
  PORT_BLOCK = 99,
  PORT = 10,
  CALL_TIMEOUT_MS = 1000,
  BODY_LIMIT_BYTES = 1024,
  CONNECTIONS = 8,
  STEPS_MAX = 4,
  /* The request is carried out, and its connection closes without a response. */
  STEP_CLOSE = 0,
};

/* A server that ends one request after the other as a list of steps says, each a status or
 * STEP_CLOSE, and the result of the last call. */
struct fixture
{
  struct ev_loop *loop;
  struct http_server *server;
  struct platform *platform;
  int steps[STEPS_MAX];
  unsigned n_requests;
  bool done;
  int result;
};

static void
fixture_handle (void *ctx, struct http_request *request)
{
  struct fixture *fixture = ctx;

  SUITE_REQUIRE (fixture->n_requests < STEPS_MAX);
  int step = fixture->steps[fixture->n_requests++];
  if (step == STEP_CLOSE)
    http_request_drop (request);
  else
    http_request_respond_text (request, step, "application/json",
                               "{\"offset\":7,\"hosts\":[],\"state\":\"done\"}");
}

static void
fixture_init (struct fixture *fixture, const int steps[STEPS_MAX])
{
  uint16_t port = (uint16_t) (process_port_block (PORT_BLOCK) + PORT);
  struct http_server_config config = {
    .address = "127.0.0.1",
    .port = port,
    .body_limit = BODY_LIMIT_BYTES,
    .connection_limit = CONNECTIONS,
    .handle = fixture_handle,
    .ctx = fixture,
  };

  *fixture = (struct fixture){ 0 };
  memcpy (fixture->steps, steps, sizeof fixture->steps);
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->server = http_server_create (fixture->loop, &config);
  SUITE_REQUIRE (fixture->server != NULL);
  fixture->platform = platform_http_create (fixture->loop, "127.0.0.1", port, CALL_TIMEOUT_MS);
}

static void
fixture_finish (struct fixture *fixture)
{
  platform_destroy (fixture->platform);
  http_server_destroy (fixture->server);
  ev_loop_destroy (fixture->loop);
}

/* Waits for the result of a call and returns it. */
static int
fixture_wait (struct fixture *fixture)
{
  while (!fixture->done)
    ev_run (fixture->loop, EVRUN_ONCE);
  fixture->done = false;
  return fixture->result;
}

static void
on_append (void *ctx, int result, uint64_t offset)
{
  struct fixture *fixture = ctx;

  (void) offset;
  fixture->result = result;
  fixture->done = true;
}

static void
on_hosts (void *ctx, int result, const struct platform_hosts *hosts)
{
  (void) hosts;
  on_append (ctx, result, 0);
}

static void
on_operate (void *ctx, int result)
{
  on_append (ctx, result, 0);
}

static int
fixture_append (struct fixture *fixture)
{
  fixture->platform->append (fixture->platform->self, "x", 1, on_append, fixture);
  return fixture_wait (fixture);
}

static int
fixture_operate (struct fixture *fixture)
{
  const struct platform_operation_request request = {
    .operation = "drain", .host = "h", .key = "k", .expected_pool = "p", .to_pool = ""
  };

  fixture->platform->operate (fixture->platform->self, &request, on_operate, fixture);
  return fixture_wait (fixture);
}

static int
fixture_hosts (struct fixture *fixture)
{
  fixture->platform->hosts (fixture->platform->self, 0, on_hosts, fixture);
  return fixture_wait (fixture);
}

/* An append is carried out and its connection closes; what is sent next is rejected. The append may
 * have taken effect, so it must not end as certainly without effect. */
static void
test_append_lost (void)
{
  static const int rejections[] = { 503, 429, 409 };

  for (size_t i = 0; i < sizeof rejections / sizeof rejections[0]; i++)
    {
      const int steps[STEPS_MAX] = { 200, STEP_CLOSE, rejections[i], rejections[i] };
      struct fixture fixture;

      fixture_init (&fixture, steps);
      CU_ASSERT_EQUAL (fixture_append (&fixture), 0);
      CU_ASSERT_EQUAL (fixture_append (&fixture), -ETIMEDOUT);
      CU_ASSERT_EQUAL (fixture.n_requests, 2);
      fixture_finish (&fixture);
    }
}

/* The same for a host operation: a rejection of the second send must neither count as certainly
 * without effect nor as a rejection of the operation. */
static void
test_operation_lost (void)
{
  static const int rejections[] = { 503, 409 };

  for (size_t i = 0; i < sizeof rejections / sizeof rejections[0]; i++)
    {
      const int steps[STEPS_MAX] = { 200, STEP_CLOSE, rejections[i], rejections[i] };
      struct fixture fixture;

      fixture_init (&fixture, steps);
      CU_ASSERT_EQUAL (fixture_operate (&fixture), 0);
      CU_ASSERT_EQUAL (fixture_operate (&fixture), -ETIMEDOUT);
      CU_ASSERT_EQUAL (fixture.n_requests, 2);
      fixture_finish (&fixture);
    }
}

/* A read whose connection closes is sent again within the call: two failed reads in a row count as
 * an outage of the log. */
static void
test_read_repeated (void)
{
  const int steps[STEPS_MAX] = { 200, STEP_CLOSE, 200, 200 };
  struct fixture fixture;

  fixture_init (&fixture, steps);
  CU_ASSERT_EQUAL (fixture_hosts (&fixture), 0);
  CU_ASSERT_EQUAL (fixture_hosts (&fixture), 0);
  CU_ASSERT_EQUAL (fixture.n_requests, 3);
  fixture_finish (&fixture);
}

/* Statuses that are no promise of "nothing was done" leave an append unknown. */
static void
test_append_status (void)
{
  static const int unknown[] = { 500, 502, 504, 507 };
  static const int without_effect[] = { 503, 429 };

  for (size_t i = 0; i < sizeof unknown / sizeof unknown[0]; i++)
    {
      const int steps[STEPS_MAX] = { unknown[i] };
      struct fixture fixture;

      fixture_init (&fixture, steps);
      CU_ASSERT_EQUAL (fixture_append (&fixture), -ETIMEDOUT);
      fixture_finish (&fixture);
    }
  for (size_t i = 0; i < sizeof without_effect / sizeof without_effect[0]; i++)
    {
      const int steps[STEPS_MAX] = { without_effect[i] };
      struct fixture fixture;

      fixture_init (&fixture, steps);
      CU_ASSERT_EQUAL (fixture_append (&fixture), -EAGAIN);
      fixture_finish (&fixture);
    }
}

static const struct suite_test tests[] = {
  { "append lost", test_append_lost },
  { "operation lost", test_operation_lost },
  { "read repeated", test_read_repeated },
  { "append status", test_append_status },
};

int
main (void)
{
  return suite_run ("fleet_platform_http", tests, sizeof tests / sizeof tests[0]);
}
