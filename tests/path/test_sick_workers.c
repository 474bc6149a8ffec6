#include <string.h>

#include "path_fixture.h"
#include "suite.h"

static const struct path_config config = {
  .block = 14,
  .n_workers = 8,
  .n_entries = 2,
  .slots = 8,
  .service_ms = 10,
  .deadline_ms = 1000,
};

static const char *const reads_only[] = { "--charge-permille=0", NULL };

/* Runs a load of idempotent requests for five seconds and injects a fault after the first
 * second. */
static void
run_with_faults (struct path_fixture *fixture, const char *name, const char *rate,
                 void (*inject_fault) (const struct path_fixture *fixture), int64_t *outcomes)
{
  struct process *load;

  path_start (fixture, &config);
  load = path_start_load (fixture, name, rate, "5", reads_only);
  test_sleep_ms (1000);
  inject_fault (fixture);
  CU_ASSERT_EQUAL (path_wait_load (load, name, 15000, outcomes), 0);
  CU_ASSERT_EQUAL (
      outcomes[PATH_NO_RESPONSE] + outcomes[PATH_WRONG_RESPONSE] + outcomes[PATH_NOT_SENT], 0);
}

/* Makes all existing connections to the endpoints stop carrying data without closing them. */
static void
silence_links (const struct path_fixture *fixture)
{
  for (unsigned i = 0; i < config.n_workers; i++)
    path_set_link_fault (fixture, i, "silent");
}

/* When no existing connection carries data any more, the entry host opens new ones within a second
 * and no idempotent request is lost. */
static void
test_silent (void)
{
  struct path_fixture fixture;
  int64_t outcomes[PATH_OUTCOMES];
  int64_t start_ms;
  struct fetched fetched;

  run_with_faults (&fixture, "silent", "400", silence_links, outcomes);
  CU_ASSERT_EQUAL (outcomes[PATH_UNKNOWN] + outcomes[PATH_NOT_RUN], 0);
  silence_links (&fixture);
  start_ms = test_now_ms ();
  path_fetch (&fixture, 0, "GET", "after", "Sesamepick-Timeout: 1000", &fetched);
  CU_ASSERT_EQUAL (fetched.status, 200);
  CU_ASSERT (test_now_ms () - start_ms < 1000);
  fetched_clear (&fetched);
  path_stop (&fixture);
}

/* Makes one worker respond to every request with an error, faster than the others respond. */
static void
make_worker_fail (const struct path_fixture *fixture)
{
  path_set_worker_faults (fixture, 0, "{\"fail\":500}");
}

/* A worker that fails all requests loses its traffic: during four seconds it gets less than a
 * quarter of its even share. */
static void
test_fails_everything (void)
{
  struct path_fixture fixture;
  int64_t outcomes[PATH_OUTCOMES];

  run_with_faults (&fixture, "failing", "800", make_worker_fail, outcomes);
  CU_ASSERT_EQUAL (outcomes[PATH_UNKNOWN] + outcomes[PATH_NOT_RUN], 0);
  CU_ASSERT (outcomes[PATH_ERROR_STATUS] < 800 * 4 / 8 / 4);
  path_stop (&fixture);
}

/* Makes one worker accept requests and never respond. */
static void
make_worker_hang (const struct path_fixture *fixture)
{
  path_set_worker_faults (fixture, 0, "{\"hang\":true}");
}

/* A worker that never responds loses its traffic. Idempotent requests are retried on others; fewer
 * than ten get no response of a worker. */
static void
test_never_answers (void)
{
  struct path_fixture fixture;
  int64_t outcomes[PATH_OUTCOMES];

  run_with_faults (&fixture, "hanging", "800", make_worker_hang, outcomes);
  CU_ASSERT (outcomes[PATH_UNKNOWN] + outcomes[PATH_NOT_RUN] < 10);
  path_stop (&fixture);
}

/* Disconnects a rack of two hosts: connections are reset and new ones refused. */
static void
disconnect_rack (const struct path_fixture *fixture)
{
  for (unsigned i = 2; i < 4; i++)
    {
      path_set_link_fault (fixture, i, "refuse");
      path_set_link_fault (fixture, i, "cut");
    }
}

/* When a whole rack fails, idempotent requests are answered by the other racks, all but fewer than
 * ten. */
static void
test_rack (void)
{
  struct path_fixture fixture;
  int64_t outcomes[PATH_OUTCOMES];

  run_with_faults (&fixture, "rack", "800", disconnect_rack, outcomes);
  CU_ASSERT (outcomes[PATH_UNKNOWN] + outcomes[PATH_NOT_RUN] < 10);
  path_stop (&fixture);
}

static const struct suite_test tests[] = {
  { "silent", test_silent },
  { "fails everything", test_fails_everything },
  { "never answers", test_never_answers },
  { "rack", test_rack },
};

int
main (void)
{
  return suite_run ("sick workers", tests, sizeof tests / sizeof tests[0]);
}
