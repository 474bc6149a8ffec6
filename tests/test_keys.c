#include "suite.h"
#include "testbed.h"

/* A request sent several times with the same key, to different entry hosts. The testbed aborts the
 * process if a request with a key runs twice. */

static const int64_t US_PER_MS = 1000;
static const int64_t US_PER_S = 1000000;

enum
{
  ENTRIES = 5,
  DEADLINE_MS = 2000,
  KEYS = 30,
  /* A claim fails after this time if its holders don't reply; includes the tick period. */
  CLAIM_FAIL_MS = 330,
};

/* Creates five entry hosts and runs them until they have exchanged heartbeats and count as complete
 * holders of keys. */
static struct testbed *
bed_create (void)
{
  struct testbed_config config = {
    .n_entries = ENTRIES,
    .n_services = 1,
    .workers_per_service = 4,
    .policy = DISPATCH_POLICY_LEND,
    .peer_us = 1500,
    .worker_us = 1000,
    .service_us = 50 * US_PER_MS,
    .deadline_ms = DEADLINE_MS,
    .queue_limit = 1000,
    .seed = 3,
  };
  struct testbed *bed = testbed_create (&config);

  testbed_run (bed, 5 * US_PER_S);
  return bed;
}

/* Returns the name of a key; valid until the next call. */
static const char *
key_name (int i)
{
  static char name[16];

  g_snprintf (name, sizeof name, "key%d", i);
  return name;
}

/* Sends a request for each key to one entry host and runs for the given time. Returns the index of
 * the first request. */
static guint
send_all (struct testbed *bed, size_t entry, int64_t for_us)
{
  guint from = bed->requests->len;

  for (int i = 0; i < KEYS; i++)
    testbed_request (bed, entry, 0, false, key_name (i));
  testbed_run (bed, bed->now_us + for_us);
  return from;
}

/* Counts the requests with an outcome and a reason, starting at the given index. */
static int
count (const struct testbed *bed, guint from, enum caller_outcome outcome,
       enum request_reason reason)
{
  int n = 0;

  for (guint i = from; i < from + KEYS; i++)
    {
      const struct fake_request *request = g_ptr_array_index (bed->requests, i);

      n += request->outcome == outcome && request->reason == reason;
    }
  return n;
}

/* A repeat at another entry host gets the reason key-running while the first request runs, and
 * key-done after it, or key-unsure if the first one may have run without an answer. */
static void
test_running_and_done (void)
{
  struct testbed *bed = bed_create ();
  guint from;

  for (size_t i = 0; i < 4; i++)
    bed->workers[i].mode = WORKER_SLOW;
  from = send_all (bed, 0, 10 * US_PER_MS);
  CU_ASSERT_EQUAL (count (bed, from, CALLER_WAITING, REASON_NONE), KEYS);
  from = send_all (bed, 1, 20 * US_PER_MS);
  CU_ASSERT_EQUAL (count (bed, from, CALLER_UNKNOWN, REASON_KEY_RUNNING), KEYS);
  testbed_run (bed, bed->now_us + 10 * US_PER_S);
  from = send_all (bed, 2, US_PER_S);
  CU_ASSERT (count (bed, from, CALLER_UNKNOWN, REASON_KEY_DONE) > 0);
  CU_ASSERT_EQUAL (count (bed, from, CALLER_UNKNOWN, REASON_KEY_DONE) +
                       count (bed, from, CALLER_UNKNOWN, REASON_KEY_UNSURE),
                   KEYS);
  testbed_destroy (bed);
}

/* A request that was not run can be repeated with the same key; one that may have run can't. */
static void
test_after_failures (void)
{
  struct testbed *bed = bed_create ();
  guint from;

  for (size_t i = 0; i < 4; i++)
    bed->workers[i].mode = WORKER_REJECTS;
  from = send_all (bed, 0, 3 * US_PER_S);
  for (guint i = from; i < from + KEYS; i++)
    CU_ASSERT_EQUAL (((struct fake_request *) g_ptr_array_index (bed->requests, i))->outcome,
                     CALLER_NOT_RUN);
  for (size_t i = 0; i < 4; i++)
    bed->workers[i].mode = WORKER_CLOSES;
  from = send_all (bed, 1, 3 * US_PER_S);
  CU_ASSERT_EQUAL (count (bed, from, CALLER_UNKNOWN, REASON_ANSWER_LOST), KEYS);
  for (size_t i = 0; i < 4; i++)
    bed->workers[i].mode = WORKER_HEALTHY;
  from = send_all (bed, 2, 3 * US_PER_S);
  CU_ASSERT_EQUAL (count (bed, from, CALLER_UNKNOWN, REASON_KEY_UNSURE), KEYS);
  testbed_destroy (bed);
}

/* Entry hosts are replaced one after the other: no key is forgotten, and new keys are accepted. */
static void
test_replacement (void)
{
  struct testbed *bed = bed_create ();
  guint from = send_all (bed, 0, 3 * US_PER_S);

  CU_ASSERT_EQUAL (count (bed, from, CALLER_ANSWERED, REASON_NONE), KEYS);
  for (size_t i = 0; i < ENTRIES; i++)
    {
      struct fake_request *request;

      testbed_kill_entry (bed, i);
      testbed_run (bed, bed->now_us + 200 * US_PER_MS);
      testbed_start_entry (bed, i);
      testbed_run (bed, bed->now_us + 2 * US_PER_S);
      from = send_all (bed, i, 2 * US_PER_S);
      CU_ASSERT_EQUAL (count (bed, from, CALLER_UNKNOWN, REASON_KEY_DONE), KEYS);
      request = testbed_request (bed, i, 0, false, key_name ((int) (KEYS + i)));
      testbed_run (bed, bed->now_us + 2 * US_PER_S);
      CU_ASSERT_EQUAL (request->outcome, CALLER_ANSWERED);
    }
  testbed_destroy (bed);
}

/* The entry host that runs a request dies: a repeat elsewhere gets the outcome unknown. */
static void
test_claimant_dies (void)
{
  struct testbed *bed = bed_create ();
  guint from;

  for (size_t i = 0; i < 4; i++)
    bed->workers[i].mode = WORKER_HANGS;
  send_all (bed, 0, 100 * US_PER_MS);
  testbed_kill_entry (bed, 0);
  testbed_run (bed, bed->now_us + 5 * US_PER_S);
  from = send_all (bed, 1, US_PER_S);
  CU_ASSERT_EQUAL (count (bed, from, CALLER_UNKNOWN, REASON_KEY_UNSURE), KEYS);
  testbed_destroy (bed);
}

/* On the minority side of a partition, an entry host runs a request if two holders of its key can
 * be reached, and otherwise reports soon that it was not run. No request runs on both sides. */
static void
test_cut (void)
{
  struct testbed *bed = bed_create ();
  guint minority;
  guint majority;
  int ran;

  for (size_t i = 0; i < 2; i++)
    for (size_t j = 2; j < ENTRIES; j++)
      bed->cut[i][j] = bed->cut[j][i] = true;
  minority = send_all (bed, 0, CLAIM_FAIL_MS * US_PER_MS);
  CU_ASSERT (count (bed, minority, CALLER_NOT_RUN, REASON_KEY_NO_HOLDER) > 0);
  testbed_run (bed, bed->now_us + 5 * US_PER_S);
  majority = send_all (bed, 3, 5 * US_PER_S);
  ran = count (bed, minority, CALLER_ANSWERED, REASON_NONE);
  ran += count (bed, majority, CALLER_ANSWERED, REASON_NONE);
  CU_ASSERT_EQUAL (ran, KEYS);
  testbed_destroy (bed);
}

static const struct suite_test tests[] = {
  { "running and done", test_running_and_done },
  { "after failures", test_after_failures },
  { "replacement", test_replacement },
  { "claimant dies", test_claimant_dies },
  { "cut", test_cut },
};

int
main (void)
{
  return suite_run ("keys", tests, sizeof tests / sizeof tests[0]);
}
