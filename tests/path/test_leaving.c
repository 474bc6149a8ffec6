#include <signal.h>
#include <string.h>

#include "path_fixture.h"
#include "suite.h"

enum
{
  /* Maximum time from the first notice that an endpoint is leaving until it gets no new
   * requests. */
  LEAVING_NOTICE_MAX_MS = 3000,
};

static const struct path_config config = {
  .block = 13,
  .n_workers = 6,
  .n_entries = 3,
  .slots = 8,
  .service_ms = 10,
  .deadline_ms = 1000,
};

/* Under a steady load, announces that worker 0 is leaving. Expects that the worker gets no new
 * requests once LEAVING_NOTICE_MAX_MS have passed, and that every request is answered. count_name
 * is the worker's counter that increases with each request it gets. */
static void
expect_no_new_work (const char *name, void (*announce) (struct path_fixture *fixture),
                    const char *count_name)
{
  struct path_fixture fixture;
  struct process *load;
  int64_t outcomes[PATH_OUTCOMES];
  int64_t count;

  path_start (&fixture, &config);
  load = path_start_load (&fixture, name, "400", "5", NULL);
  test_sleep_ms (1000);
  CU_ASSERT (path_worker_counter (&fixture, 0, "runs") > 0);
  announce (&fixture);
  test_sleep_ms (LEAVING_NOTICE_MAX_MS);
  count = path_worker_counter (&fixture, 0, count_name);
  CU_ASSERT_EQUAL (path_wait_load (load, name, 15000, outcomes), 0);
  CU_ASSERT_EQUAL (path_worker_counter (&fixture, 0, count_name), count);
  CU_ASSERT_EQUAL (
      outcomes[PATH_UNKNOWN] + outcomes[PATH_NO_RESPONSE] + outcomes[PATH_ERROR_STATUS], 0);
  CU_ASSERT_EQUAL (outcomes[PATH_NOT_RUN] + outcomes[PATH_NOT_SENT], 0);
  path_stop (&fixture);
}

/* Announces in the route table that worker 0 is leaving. */
static void
announce_by_table (struct path_fixture *fixture)
{
  path_publish_routes (fixture, 1u);
}

/* Sends the advance notice that a fleetd sends before the record is on the log. */
static void
announce_by_hint (struct path_fixture *fixture)
{
  path_hint_leaving (fixture, 0);
}

/* Has the endpoint itself announce it, in the responses with which it refuses requests. */
static void
announce_by_endpoint (struct path_fixture *fixture)
{
  path_set_worker_faults (fixture, 0, "{\"leaving\":true}");
}

/* Each of the three kinds of notice is sufficient by itself. */
static void
test_signs (void)
{
  expect_no_new_work ("table", announce_by_table, "runs");
  expect_no_new_work ("hint", announce_by_hint, "runs");
  expect_no_new_work ("endpoint", announce_by_endpoint, "not_run");
}

/* A planned stop of an entry host under full load breaks no request, and the process exits with
 * 0. */
static void
test_planned_stop (void)
{
  struct path_fixture fixture;
  struct process *load;
  int64_t outcomes[PATH_OUTCOMES];

  path_start (&fixture, &config);
  load = path_start_load (&fixture, "stop", "2000", "5", NULL);
  test_sleep_ms (1500);
  process_signal (fixture.entries[0], SIGTERM);
  test_sleep_ms (20);
  CU_ASSERT (!path_entry_is_ready (&fixture, 0));
  CU_ASSERT_EQUAL (process_wait (fixture.entries[0], 10000), 0);
  CU_ASSERT_EQUAL (path_wait_load (load, "stop", 15000, outcomes), 0);
  CU_ASSERT_EQUAL (outcomes[PATH_NO_RESPONSE] + outcomes[PATH_NOT_SENT], 0);
  CU_ASSERT_EQUAL (outcomes[PATH_UNKNOWN], 0);
  CU_ASSERT (outcomes[PATH_ANSWERED] > 8000);
  path_stop (&fixture);
}

/* A planned stop also waits for slow requests that were running when it began. */
static void
test_stop_waits (void)
{
  static const char *const flags[] = { "--stop-notice-ms=100", NULL };
  struct path_config slow = config;
  struct path_fixture fixture;
  struct process *load;
  int64_t outcomes[PATH_OUTCOMES];

  slow.service_ms = 800;
  slow.deadline_ms = 4000;
  slow.entry_flags = flags;
  slow.n_entries = 1;
  path_start (&fixture, &slow);
  load = path_start_load (&fixture, "slow", "40", "1", NULL);
  test_sleep_ms (1050);
  process_signal (fixture.entries[0], SIGTERM);
  CU_ASSERT_EQUAL (process_wait (fixture.entries[0], 10000), 0);
  CU_ASSERT_EQUAL (path_wait_load (load, "slow", 15000, outcomes), 0);
  CU_ASSERT_EQUAL (outcomes[PATH_NO_RESPONSE] + outcomes[PATH_NOT_SENT] + outcomes[PATH_UNKNOWN],
                   0);
  CU_ASSERT (outcomes[PATH_ANSWERED] > 20);
  path_stop (&fixture);
}

static const struct suite_test tests[] = {
  { "signs", test_signs },
  { "planned stop", test_planned_stop },
  { "stop waits", test_stop_waits },
};

int
main (void)
{
  return suite_run ("leaving", tests, sizeof tests / sizeof tests[0]);
}
