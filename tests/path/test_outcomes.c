#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "path_fixture.h"
#include "suite.h"

enum
{
  CUTS = 8,
  CUT_PERIOD_MS = 250,
};

/* Starts the processes with the given numbers of workers and entry hosts. */
static void
start (struct path_fixture *fixture, unsigned n_workers, unsigned n_entries, unsigned service_ms,
       const char *const *flags)
{
  struct path_config config = {
    .block = 12,
    .n_workers = n_workers,
    .n_entries = n_entries,
    .slots = 4,
    .service_ms = service_ms,
    .deadline_ms = 1000,
    .entry_flags = flags,
  };

  path_start (fixture, &config);
}

/* With refused requests, refused and reset connections and full queues, the outcome that callers
 * are told agrees with whether their non-idempotent request was run. */
static void
test_truth (void)
{
  static const char *const entry_flags[] = { "--queue-limit=8", NULL };
  static const char *const load_flags[] = { "--charge-permille=1000", NULL };
  struct path_fixture fixture;
  struct process *load;
  int64_t outcomes[PATH_OUTCOMES];

  start (&fixture, 4, 2, 20, entry_flags);
  path_set_worker_faults (&fixture, 0, "{\"refuse\":true}");
  path_set_link_fault (&fixture, 1, "refuse");
  load = path_start_load (&fixture, "truth", "1500", "3", load_flags);
  for (int i = 0; i < CUTS; i++)
    {
      test_sleep_ms (CUT_PERIOD_MS);
      path_set_link_fault (&fixture, 2, "cut");
    }
  CU_ASSERT_EQUAL (path_wait_load (load, "truth", 15000, outcomes), 0);
  CU_ASSERT_EQUAL (outcomes[PATH_VIOLATIONS], 0);
  CU_ASSERT_EQUAL (outcomes[PATH_NO_RESPONSE], 0);
  CU_ASSERT (outcomes[PATH_NOT_RUN] > 100);
  CU_ASSERT (outcomes[PATH_UNKNOWN] > 0);
  CU_ASSERT (outcomes[PATH_ANSWERED] > 100);
  path_stop (&fixture);
}

/* A non-idempotent request is sent only once to an endpoint that closes the connection without a
 * response. The connections are warmed up first, since libcurl by itself would resend the request
 * when a reused connection is closed. */
static void
test_no_resend (void)
{
  struct path_fixture fixture;
  struct fetched fetched;

  start (&fixture, 1, 1, 1, NULL);
  for (int i = 0; i < 5; i++)
    {
      path_fetch (&fixture, 0, "GET", "warm", NULL, &fetched);
      CU_ASSERT_EQUAL (fetched.status, 200);
      fetched_clear (&fetched);
    }
  path_set_worker_faults (&fixture, 0, "{\"close_after_run\":true}");
  path_fetch (&fixture, 0, "POST", "charge", NULL, &fetched);
  CU_ASSERT_EQUAL (fetched.status, 502);
  CU_ASSERT (fetched_has_header (&fetched, "Sesamepick-Outcome", "unknown"));
  CU_ASSERT_EQUAL (path_count_runs (&fixture, "charge"), 1);
  fetched_clear (&fetched);
  path_stop (&fixture);
}

/* Returns whether the request has been run. */
static bool
seat_runs (void *ctx)
{
  return path_count_runs (ctx, "seat") > 0;
}

/* Reads a response whose body is empty or short, as text. Returns NULL without one. */
static char *
read_response (int fd)
{
  struct timeval limit = { .tv_sec = 3 };
  char text[4096];
  ssize_t len;

  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  len = recv (fd, text, sizeof text - 1, 0);
  return len > 0 ? g_strndup (text, (gsize) len) : NULL;
}

/* An idempotent request is run, its reused connection closes without a response, and the endpoint
 * refuses it when it is sent again. The refusal is for the last send only: the caller must not be
 * told that the request was not run. */
static void
test_refused_after_resend (void)
{
  struct path_fixture fixture;
  struct fetched fetched;
  g_autofree char *response = NULL;
  int fd;

  start (&fixture, 1, 1, 300, NULL);
  for (int i = 0; i < 2; i++)
    {
      path_fetch (&fixture, 0, "GET", "warm", NULL, &fetched);
      CU_ASSERT_EQUAL (fetched.status, 200);
      fetched_clear (&fetched);
    }
  path_set_worker_faults (&fixture, 0, "{\"close_after_run\":true}");
  fd = path_send_raw (&fixture, 0, "GET", "seat", NULL);
  CU_ASSERT (test_wait (seat_runs, &fixture, 2000));
  /* The run in progress still closes its connection. */
  path_set_worker_faults (&fixture, 0, "{\"refuse\":true}");
  response = read_response (fd);
  SUITE_REQUIRE (response != NULL);
  CU_ASSERT (strstr (response, "Sesamepick-Outcome: unknown") != NULL);
  CU_ASSERT (strstr (response, "Sesamepick-Outcome: not-run") == NULL);
  CU_ASSERT_EQUAL (path_count_runs (&fixture, "seat"), 1);
  CU_ASSERT (path_worker_counter (&fixture, 0, "not_run") > 0);
  close (fd);
  path_stop (&fixture);
}

/* An idempotent request is answered within its deadline although some workers hang, close the
 * connection or can't be reached. */
static void
test_retried_elsewhere (void)
{
  struct path_fixture fixture;
  struct fetched fetched;

  start (&fixture, 6, 1, 5, NULL);
  path_set_worker_faults (&fixture, 0, "{\"hang\":true}");
  path_set_worker_faults (&fixture, 1, "{\"close_after_run\":true}");
  path_set_link_fault (&fixture, 2, "refuse");
  for (int i = 0; i < 12; i++)
    {
      int64_t start_ms = test_now_ms ();

      path_fetch (&fixture, 0, "GET", "read", NULL, &fetched);
      CU_ASSERT_EQUAL (fetched.status, 200);
      if (fetched.status != 200)
        printf ("request %d after %d ms: %s", i, (int) (test_now_ms () - start_ms),
                fetched.headers);
      CU_ASSERT (test_now_ms () - start_ms < 1000);
      fetched_clear (&fetched);
    }
  path_stop (&fixture);
}

/* A request that repeats an Idempotency-Key at another entry host, after the first one was
 * answered, is not run again. */
static void
test_key_elsewhere (void)
{
  static const char header[] = "Idempotency-Key: seat-17";
  struct path_fixture fixture;
  struct fetched first;
  struct fetched repeat;

  start (&fixture, 2, 3, 5, NULL);
  path_fetch (&fixture, 0, "POST", "seat", header, &first);
  CU_ASSERT_EQUAL (first.status, 200);
  path_fetch (&fixture, 1, "POST", "seat", header, &repeat);
  CU_ASSERT (repeat.status != 200);
  CU_ASSERT (!fetched_has_header (&repeat, "Sesamepick-Outcome", "answered"));
  CU_ASSERT_EQUAL (path_count_runs (&fixture, "seat"), 1);
  fetched_clear (&first);
  fetched_clear (&repeat);
  path_stop (&fixture);
}

/* A request that repeats an Idempotency-Key is not run again, even if the entry host of the first
 * request was killed while that request ran. */
static void
test_key_after_kill (void)
{
  static const char header[] = "Idempotency-Key: seat-18";
  struct path_fixture fixture;
  struct fetched repeat;
  int fd;

  start (&fixture, 2, 3, 400, NULL);
  fd = path_send_raw (&fixture, 0, "POST", "seat", header);
  CU_ASSERT (test_wait (seat_runs, &fixture, 2000));
  process_signal (fixture.entries[0], SIGKILL);
  for (unsigned entry = 1; entry < 3; entry++)
    {
      path_fetch (&fixture, entry, "POST", "seat", header, &repeat);
      CU_ASSERT (!fetched_has_header (&repeat, "Sesamepick-Outcome", "answered"));
      fetched_clear (&repeat);
    }
  CU_ASSERT_EQUAL (path_count_runs (&fixture, "seat"), 1);
  close (fd);
  path_stop (&fixture);
}

/* No request is run twice because an entry host is killed under load. */
static void
test_kill_under_load (void)
{
  static const char *const load_flags[] = { "--charge-permille=600", "--cut-limit=1000000", NULL };
  struct path_fixture fixture;
  struct process *load;
  int64_t outcomes[PATH_OUTCOMES];

  start (&fixture, 6, 3, 20, NULL);
  load = path_start_load (&fixture, "kill", "500", "4", load_flags);
  test_sleep_ms (1500);
  process_signal (fixture.entries[1], SIGKILL);
  test_sleep_ms (500);
  process_destroy (fixture.entries[1]);
  path_start_entry (&fixture, 1);
  CU_ASSERT_EQUAL (path_wait_load (load, "kill", 15000, outcomes), 0);
  CU_ASSERT_EQUAL (outcomes[PATH_VIOLATIONS], 0);
  CU_ASSERT_EQUAL (outcomes[PATH_WRONG_RESPONSE], 0);
  CU_ASSERT (outcomes[PATH_NO_RESPONSE] > 0);
  CU_ASSERT (outcomes[PATH_ANSWERED] > 1000);
  path_stop (&fixture);
}

static const struct suite_test tests[] = {
  { "truth", test_truth },
  { "no resend", test_no_resend },
  { "refused after resend", test_refused_after_resend },
  { "retried elsewhere", test_retried_elsewhere },
  { "key elsewhere", test_key_elsewhere },
  { "key after kill", test_key_after_kill },
  { "kill under load", test_kill_under_load },
};

int
main (void)
{
  return suite_run ("outcomes", tests, sizeof tests / sizeof tests[0]);
}
