#include <string.h>

#include "path_fixture.h"
#include "suite.h"

static const struct path_config config = {
  .block = 10,
  .n_workers = 6,
  .n_entries = 1,
  .slots = 16,
  .service_ms = 10,
  .deadline_ms = 1000,
};

/* Sends a steady load while three of six workers have the given faults. Expects each request to get
 * its own complete response or an explicit error, never a wrong or truncated response. */
static void
expect_correct_responses (const char *name, const char *faults)
{
  struct path_fixture fixture;
  struct process *load;
  int64_t outcomes[PATH_OUTCOMES];

  path_start (&fixture, &config);
  load = path_start_load (&fixture, name, "400", "3", NULL);
  test_sleep_ms (500);
  for (unsigned i = 0; i < 3; i++)
    path_set_worker_faults (&fixture, i, faults);
  test_sleep_ms (1500);
  for (unsigned i = 0; i < 3; i++)
    path_set_worker_faults (&fixture, i, "{}");
  CU_ASSERT_EQUAL (path_wait_load (load, name, 15000, outcomes), 0);
  CU_ASSERT_EQUAL (outcomes[PATH_WRONG_RESPONSE], 0);
  CU_ASSERT_EQUAL (outcomes[PATH_NO_RESPONSE], 0);
  CU_ASSERT_EQUAL (outcomes[PATH_VIOLATIONS], 0);
  CU_ASSERT (outcomes[PATH_ANSWERED] > 600);
  CU_ASSERT (process_is_running (fixture.entries[0]));
  path_stop (&fixture);
}

/* A truncated response of a worker must not be passed on as a response. */
static void
test_truncated (void)
{
  expect_correct_responses ("truncated", "{\"truncate\":true}");
}

/* A response larger than the limit must not be passed on as a response. */
static void
test_oversized (void)
{
  expect_correct_responses ("oversized", "{\"oversize\":2000000}");
}

/* A response that arrives after its request was abandoned must not be passed to another request. */
static void
test_late (void)
{
  expect_correct_responses ("late", "{\"slow\":120}");
}

/* A worker that sends headers only the entry host may set, and then a second response that nobody
 * requested, does not change the outcome that a caller sees or make it get another response. */
static void
test_lying (void)
{
  expect_correct_responses ("lying", "{\"lie\":true}");
}

/* Hop-by-hop headers, and headers that only the entry host may set, are removed from a worker's
 * response. */
static void
test_headers (void)
{
  struct path_fixture fixture;
  struct fetched fetched;

  path_start (&fixture, &config);
  for (unsigned i = 0; i < config.n_workers; i++)
    path_set_worker_faults (&fixture, i, "{\"lie\":true}");
  path_fetch (&fixture, 0, "GET", "h1", NULL, &fetched);
  CU_ASSERT_EQUAL (fetched.status, 200);
  CU_ASSERT_STRING_EQUAL (fetched.body, "id=h1 path=/book bytes=0\n");
  CU_ASSERT (fetched_has_header (&fetched, "Sesamepick-Outcome", "answered"));
  CU_ASSERT (!fetched_has_header (&fetched, "Sesamepick-Outcome", "not-run"));
  CU_ASSERT (!fetched_has_header (&fetched, "X-Private", "1"));
  CU_ASSERT (!fetched_has_header (&fetched, "Proxy-Status", "other"));
  fetched_clear (&fetched);
  path_stop (&fixture);
}

static const struct suite_test tests[] = {
  { "truncated", test_truncated }, { "oversized", test_oversized }, { "late", test_late },
  { "lying", test_lying },         { "headers", test_headers },
};

int
main (void)
{
  return suite_run ("answers", tests, sizeof tests / sizeof tests[0]);
}
