#include <string.h>

#include "suite.h"
#include "testbed.h"

/* What callers of one or more entry hosts see when workers, entry hosts or routes change. */

static const int64_t US_PER_MS = 1000;
static const int64_t US_PER_S = 1000000;

enum
{
  WORKERS = 10,
  DEADLINE_MS = 1000,
  /* Time that a worker takes for one request. */
  SERVICE_US = 20000,
  /* A worker counts as out of use if it gets less than 1/IN_USE_DIVISOR of an even share of the
   * requests. */
  IN_USE_DIVISOR = 20,
};

/* Creates entry hosts for one service with ten workers, and runs them for two seconds. */
static struct testbed *
bed_create (size_t entries, bool nightly)
{
  struct testbed_config config = {
    .n_entries = entries,
    .n_services = 1,
    .workers_per_service = WORKERS,
    .nightly = nightly,
    .policy = DISPATCH_POLICY_LEND,
    .peer_us = 1500,
    .worker_us = 1000,
    .service_us = SERVICE_US,
    .deadline_ms = DEADLINE_MS,
    .queue_limit = 100000,
    .seed = 1,
  };
  struct testbed *bed = testbed_create (&config);

  testbed_run (bed, 2 * US_PER_S);
  return bed;
}

struct tally
{
  uint32_t n;
  uint32_t outcomes[CALLER_LOST + 1];
  uint32_t attempts;
  int64_t slowest_us;
  int64_t slowest_refusal_us;
};

/* Counts the requests of a service, starting at the given index. */
static struct tally
bed_tally (const struct testbed *bed, guint from, size_t service)
{
  struct tally tally = { 0 };

  for (guint i = from; i < bed->requests->len; i++)
    {
      const struct fake_request *request = g_ptr_array_index (bed->requests, i);
      int64_t took_us = request->done_us - request->issued_us;

      if (request->service != service)
        continue;
      tally.n++;
      tally.outcomes[request->outcome]++;
      tally.attempts += request->attempts;
      if (request->outcome == CALLER_NOT_RUN)
        tally.slowest_refusal_us = MAX (tally.slowest_refusal_us, took_us);
      else
        tally.slowest_us = MAX (tally.slowest_us, took_us);
    }
  return tally;
}

/* Sends requests of a service at a fixed rate to all entry hosts in turn. */
static struct tally
bed_load (struct testbed *bed, size_t service, uint32_t per_s, int64_t for_us, bool idempotent)
{
  guint from = bed->requests->len;
  int64_t until_us = bed->now_us + for_us;

  for (size_t i = 0; bed->now_us < until_us; i++)
    {
      testbed_request (bed, i % bed->config.n_entries, service, idempotent, NULL);
      testbed_run (bed, bed->now_us + US_PER_S / per_s);
    }
  testbed_run (bed, bed->now_us + (DEADLINE_MS + 500) * US_PER_MS);
  return bed_tally (bed, from, service);
}

/* Result of one request whose first attempt reaches a misbehaving worker, while the others are
 * good. */
static void
test_one_bad_attempt (void)
{
  static const struct
  {
    enum worker_mode mode;
    bool idempotent;
    enum caller_outcome outcome;
    uint32_t attempts;
  } cases[] = {
    { WORKER_UNREACHABLE, true, CALLER_ANSWERED, 2 },
    { WORKER_UNREACHABLE, false, CALLER_ANSWERED, 2 },
    { WORKER_REJECTS, true, CALLER_ANSWERED, 2 },
    { WORKER_REJECTS, false, CALLER_ANSWERED, 2 },
    { WORKER_CLOSES, true, CALLER_ANSWERED, 2 },
    { WORKER_CLOSES, false, CALLER_UNKNOWN, 1 },
    { WORKER_HANGS, true, CALLER_ANSWERED, 2 },
    { WORKER_HANGS, false, CALLER_UNKNOWN, 1 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct testbed *bed = bed_create (1, false);
      struct fake_request *request;

      for (size_t j = 0; j < WORKERS; j++)
        bed->workers[j].mode = cases[i].mode;
      request = testbed_request (bed, 0, 0, cases[i].idempotent, NULL);
      for (size_t j = 0; j < WORKERS; j++)
        if (bed->workers[j].attempts == 0)
          bed->workers[j].mode = WORKER_HEALTHY;
      testbed_run (bed, bed->now_us + 2 * US_PER_S);
      CU_ASSERT_EQUAL (request->outcome, cases[i].outcome);
      CU_ASSERT_EQUAL (request->attempts, cases[i].attempts);
      CU_ASSERT (request->done_us - request->issued_us <= (DEADLINE_MS + 20) * US_PER_MS);
      testbed_destroy (bed);
    }
}

/* Attempts that never reached a worker don't count towards a request's limit. */
static void
test_many_unreachable (void)
{
  struct testbed *bed = bed_create (1, false);
  struct fake_request *request;
  uint32_t attempts = 0;

  for (size_t j = 0; j < WORKERS; j++)
    bed->workers[j].mode = WORKER_UNREACHABLE;
  request = testbed_request (bed, 0, 0, true, NULL);
  for (int ms = 0; ms < DEADLINE_MS / 2 && attempts < 5; ms++)
    {
      testbed_run (bed, bed->now_us + US_PER_MS);
      attempts = 0;
      for (size_t j = 0; j < WORKERS; j++)
        attempts += bed->workers[j].attempts;
    }
  CU_ASSERT_EQUAL (attempts, 5);
  for (size_t j = 0; j < WORKERS; j++)
    bed->workers[j].mode = WORKER_HEALTHY;
  testbed_run (bed, bed->now_us + 2 * US_PER_S);
  CU_ASSERT_EQUAL (request->outcome, CALLER_ANSWERED);
  testbed_destroy (bed);
}

/* A worker that fails in some way gets hardly any requests, and all requests are answered. */
static void
test_failing_worker (void)
{
  static const enum worker_mode modes[] = { WORKER_FAILS, WORKER_UNREACHABLE, WORKER_HANGS,
                                            WORKER_REJECTS, WORKER_CLOSES };

  for (size_t i = 0; i < sizeof modes / sizeof modes[0]; i++)
    {
      struct testbed *bed = bed_create (3, false);
      uint64_t others = 0;
      struct tally tally;

      bed->workers[3].mode = modes[i];
      tally = bed_load (bed, 0, 1000, 10 * US_PER_S, true);
      for (size_t j = 0; j < WORKERS; j++)
        others += j == 3 ? 0 : bed->workers[j].attempts;
      CU_ASSERT (bed->workers[3].attempts * IN_USE_DIVISOR < others / (WORKERS - 1));
      CU_ASSERT_EQUAL (tally.outcomes[CALLER_ANSWERED], tally.n);
      testbed_destroy (bed);
    }
}

/* If all workers fail, most of them stay in use; if a rack is unreachable, the other workers serve
 * all requests. */
static void
test_many_failing (void)
{
  struct testbed *bed = bed_create (3, false);
  uint32_t in_use = 0;
  struct tally tally;

  for (size_t i = 0; i < WORKERS; i++)
    bed->workers[i].mode = WORKER_FAILS;
  tally = bed_load (bed, 0, 500, 5 * US_PER_S, true);
  CU_ASSERT_EQUAL (tally.outcomes[CALLER_ANSWERED], tally.n);
  for (size_t i = 0; i < WORKERS; i++)
    in_use += bed->workers[i].attempts * IN_USE_DIVISOR > tally.n / WORKERS;
  CU_ASSERT (in_use * 2 > WORKERS);
  testbed_destroy (bed);
  bed = bed_create (3, false);
  for (size_t i = 0; i < 4; i++)
    bed->workers[i].mode = WORKER_UNREACHABLE;
  tally = bed_load (bed, 0, 1000, 5 * US_PER_S, false);
  CU_ASSERT_EQUAL (tally.outcomes[CALLER_ANSWERED], tally.n);
  testbed_destroy (bed);
}

/* Retries stay a small share of the requests when no worker responds. */
static void
test_retry_budget (void)
{
  struct testbed *bed = bed_create (1, false);
  struct tally tally;

  for (size_t i = 0; i < WORKERS; i++)
    bed->workers[i].mode = WORKER_CLOSES;
  tally = bed_load (bed, 0, 500, 5 * US_PER_S, true);
  CU_ASSERT_EQUAL (tally.outcomes[CALLER_UNKNOWN], tally.n);
  CU_ASSERT (tally.attempts <= tally.n + 20);
  testbed_destroy (bed);
}

/* At twice the workers' capacity, the excess is rejected at once with a Retry-After time, and the
 * workers stay busy with the rest. */
static void
test_overload (void)
{
  struct testbed *bed = bed_create (3, false);
  struct tally tally = bed_load (bed, 0, 7000, 4 * US_PER_S, false);
  uint32_t capacity = (uint32_t) (4 * US_PER_S * WORKERS * TESTBED_SLOTS / (SERVICE_US + 2000));
  guint with_time = 0;
  guint at_once = 0;

  for (guint i = 0; i < bed->requests->len; i++)
    {
      const struct fake_request *request = g_ptr_array_index (bed->requests, i);

      with_time += request->outcome == CALLER_NOT_RUN && request->retry_after_ms > 0;
      at_once += request->outcome == CALLER_NOT_RUN && request->done_us == request->issued_us;
    }
  CU_ASSERT (tally.outcomes[CALLER_ANSWERED] * 100 >= capacity * 95);
  CU_ASSERT (tally.outcomes[CALLER_UNKNOWN] * 1000 <= tally.n);
  CU_ASSERT_EQUAL (with_time, tally.outcomes[CALLER_NOT_RUN]);
  CU_ASSERT (at_once * 10 >= tally.outcomes[CALLER_NOT_RUN] * 9);
  testbed_destroy (bed);
}

/* An overload of interactive requests does not starve nightly ones, and nightly ones get only a
 * small share. */
static void
test_nightly (void)
{
  struct testbed *bed = bed_create (3, true);
  guint from = bed->requests->len;
  struct tally interactive;
  struct tally nightly;

  for (int i = 0; i < 20000; i++)
    {
      testbed_request (bed, (size_t) i % 3, i % 2, true, NULL);
      testbed_run (bed, bed->now_us + 100);
    }
  testbed_run (bed, bed->now_us + 2 * US_PER_S);
  interactive = bed_tally (bed, from, 0);
  nightly = bed_tally (bed, from, 1);
  CU_ASSERT (nightly.outcomes[CALLER_ANSWERED] * 20 > interactive.outcomes[CALLER_ANSWERED]);
  CU_ASSERT (nightly.outcomes[CALLER_ANSWERED] * 5 < interactive.outcomes[CALLER_ANSWERED]);
  testbed_destroy (bed);
}

/* A queued request whose caller disconnects is never run. */
static void
test_caller_gone (void)
{
  struct testbed *bed = bed_create (1, false);
  struct fake_request *last = NULL;

  for (int i = 0; i < 2 * WORKERS * TESTBED_SLOTS; i++)
    last = testbed_request (bed, 0, 0, false, NULL);
  testbed_disconnect_caller (bed, last);
  testbed_run (bed, bed->now_us + 2 * US_PER_S);
  CU_ASSERT_EQUAL (last->runs, 0);
  CU_ASSERT_EQUAL (dispatch_open_requests (bed->entries[0].dispatch), 0);
  testbed_destroy (bed);
}

/* A planned stop interrupts no request. Soon after, the other entry hosts can use its slots and
 * serve a load of 90 % of the capacity. */
static void
test_stop (void)
{
  struct testbed *bed = bed_create (3, false);
  uint32_t capacity = (uint32_t) (US_PER_S * WORKERS * TESTBED_SLOTS / (SERVICE_US + 2000));
  guint from = bed->requests->len;
  struct tally tally;

  for (int i = 0; i < 200; i++)
    testbed_request (bed, 0, 0, false, NULL);
  dispatch_stop (bed->entries[0].dispatch, bed->now_us / US_PER_MS);
  for (int i = 0; i < 200; i++)
    testbed_request (bed, 0, 0, false, NULL);
  while (dispatch_open_requests (bed->entries[0].dispatch) > 0)
    testbed_run (bed, bed->now_us + US_PER_MS);
  testbed_kill_entry (bed, 0);
  tally = bed_tally (bed, from, 0);
  CU_ASSERT_EQUAL (tally.outcomes[CALLER_ANSWERED], 400);
  testbed_run (bed, bed->now_us + 2 * US_PER_S);
  for (int i = 0; i < 2000; i++)
    {
      testbed_request (bed, 1 + (size_t) i % 2, 0, false, NULL);
      testbed_run (bed, bed->now_us + US_PER_S * 10 / capacity / 9);
    }
  testbed_run (bed, bed->now_us + 2 * US_PER_S);
  tally = bed_tally (bed, bed->requests->len - 2000, 0);
  CU_ASSERT_EQUAL (tally.outcomes[CALLER_ANSWERED], tally.n);
  testbed_destroy (bed);
}

/* An older route table is rejected; leaving workers get no requests; requests queued for a removed
 * service are failed at once. */
static void
test_routes (void)
{
  struct testbed *bed = bed_create (1, false);
  struct dispatch *dispatch = bed->entries[0].dispatch;
  Sp__RouteTable empty = SP__ROUTE_TABLE__INIT;
  struct tally tally;

  CU_ASSERT_FALSE (dispatch_set_routes (dispatch, &empty, bed->now_us / US_PER_MS));
  CU_ASSERT_EQUAL (dispatch_route_offset (dispatch), 1);
  for (size_t i = 0; i < WORKERS - 1; i++)
    {
      dispatch_host_leaving (dispatch, bed->workers[i].host, bed->now_us / US_PER_MS);
      bed->workers[i].leaving = true;
    }
  for (int i = 0; i < 10 * TESTBED_SLOTS; i++)
    testbed_request (bed, 0, 0, false, NULL);
  empty.offset = 2;
  CU_ASSERT (dispatch_set_routes (dispatch, &empty, bed->now_us / US_PER_MS));
  tally = bed_tally (bed, 0, 0);
  CU_ASSERT_EQUAL (tally.outcomes[CALLER_NOT_RUN], 9 * TESTBED_SLOTS);
  testbed_request (bed, 0, 0, false, NULL);
  testbed_run (bed, bed->now_us + 2 * US_PER_S);
  tally = bed_tally (bed, 0, 0);
  CU_ASSERT_EQUAL (tally.outcomes[CALLER_NOT_RUN], 9 * TESTBED_SLOTS + 1);
  CU_ASSERT_EQUAL (tally.outcomes[CALLER_ANSWERED], TESTBED_SLOTS);
  testbed_destroy (bed);
}

/* The home of a service's slots dies: requests wait, and none is lost or rejected at half load. */
static void
test_home_dies (void)
{
  struct testbed *bed = bed_create (3, false);
  guint from = bed->requests->len;
  struct tally tally;

  for (int i = 0; i < 6000; i++)
    {
      if (i == 2000)
        testbed_kill_entry (bed, 0);
      else if (i == 4000)
        testbed_start_entry (bed, 0);
      testbed_request (bed, 1 + (size_t) i % 2, 0, false, NULL);
      testbed_run (bed, bed->now_us + US_PER_MS);
    }
  testbed_run (bed, bed->now_us + 2 * US_PER_S);
  tally = bed_tally (bed, from, 0);
  CU_ASSERT_EQUAL (tally.outcomes[CALLER_ANSWERED], tally.n);
  for (size_t i = 0; i < WORKERS; i++)
    CU_ASSERT (bed->workers[i].open_max <= TESTBED_SLOTS);
  testbed_destroy (bed);
}

static const struct suite_test tests[] = {
  { "one bad attempt", test_one_bad_attempt },
  { "many unreachable", test_many_unreachable },
  { "failing worker", test_failing_worker },
  { "many failing", test_many_failing },
  { "retry budget", test_retry_budget },
  { "overload", test_overload },
  { "nightly", test_nightly },
  { "caller gone", test_caller_gone },
  { "stop", test_stop },
  { "routes", test_routes },
  { "home dies", test_home_dies },
};

int
main (void)
{
  return suite_run ("dispatch", tests, sizeof tests / sizeof tests[0]);
}
