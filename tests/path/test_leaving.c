#include <signal.h>
#include <string.h>

#include "path_fixture.h"
#include "suite.h"

enum
{
  /* From the earliest sign that an endpoint is leaving to the last new work that it gets. */
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

/* Under a steady load, gives a sign that worker 0 is leaving and expects it to get no new work from
 * three seconds later on, while every request is answered. */
static void
expect_no_new_work (const char *name, void (*sign) (struct path_fixture *fixture),
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
  sign (&fixture);
  test_sleep_ms (LEAVING_NOTICE_MAX_MS);
  count = path_worker_counter (&fixture, 0, count_name);
  CU_ASSERT_EQUAL (path_wait_load (load, name, 15000, outcomes), 0);
  CU_ASSERT_EQUAL (path_worker_counter (&fixture, 0, count_name), count);
  CU_ASSERT_EQUAL (outcomes[PATH_UNKNOWN] + outcomes[PATH_CUT] + outcomes[PATH_ANSWERED_BADLY], 0);
  CU_ASSERT_EQUAL (outcomes[PATH_NOT_RUN] + outcomes[PATH_NOT_SENT], 0);
  path_stop (&fixture);
}

/* The route table says so. */
static void
announce_by_table (struct path_fixture *fixture)
{
  path_publish_routes (fixture, 1u);
}

/* A hint ahead of the log says so. */
static void
announce_by_hint (struct path_fixture *fixture)
{
  path_hint_leaving (fixture, 0);
}

/* The endpoint itself says so as it refuses. */
static void
announce_by_endpoint (struct path_fixture *fixture)
{
  path_set_worker_faults (fixture, 0, "{\"leaving\":true}");
}

/* Each of the three signs is enough. */
static void
test_signs (void)
{
  expect_no_new_work ("table", announce_by_table, "runs");
  expect_no_new_work ("hint", announce_by_hint, "runs");
  expect_no_new_work ("endpoint", announce_by_endpoint, "not_run");
}

/* A planned stop of an entry host under full load cuts off no request, and it exits with 0. */
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
  CU_ASSERT_EQUAL (outcomes[PATH_CUT] + outcomes[PATH_NOT_SENT], 0);
  CU_ASSERT_EQUAL (outcomes[PATH_UNKNOWN], 0);
  CU_ASSERT (outcomes[PATH_ANSWERED] > 8000);
  path_stop (&fixture);
}

/* What runs for a long time when the stop begins is finished too. */
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
  CU_ASSERT_EQUAL (outcomes[PATH_CUT] + outcomes[PATH_NOT_SENT] + outcomes[PATH_UNKNOWN], 0);
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
