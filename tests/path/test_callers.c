#include <string.h>
#include <unistd.h>

#include "path_fixture.h"
#include "suite.h"

static const struct path_config config = {
  .block = 11,
  .n_workers = 1,
  .n_entries = 1,
  .slots = 1,
  .service_ms = 300,
  .deadline_ms = 5000,
};

/* Returns whether the only worker is running a request. */
static bool
worker_is_busy (void *ctx)
{
  return path_worker_counter (ctx, 0, "running") > 0;
}

/* Returns whether the entry host has counted one caller that disconnected. */
static bool
disconnect_is_counted (void *ctx)
{
  g_autofree char *admin = path_admin_url (ctx, 0);

  return fetch_metric (admin, "sesamepick_callers_gone_total") == 1;
}

/* A queued request whose caller disconnects is never run. */
static void
test_gone_while_queued (void)
{
  struct path_fixture fixture;
  struct fetched fetched;
  int running;
  int queued;

  path_start (&fixture, &config);
  running = path_send_raw (&fixture, 0, "POST", "first", NULL);
  CU_ASSERT (test_wait (worker_is_busy, &fixture, 2000));
  queued = path_send_raw (&fixture, 0, "POST", "queued", NULL);
  test_sleep_ms (50);
  close (queued);
  CU_ASSERT (test_wait (disconnect_is_counted, &fixture, 1000));
  path_fetch (&fixture, 0, "POST", "last", NULL, &fetched);
  CU_ASSERT_EQUAL (fetched.status, 200);
  CU_ASSERT_EQUAL (path_count_runs (&fixture, "first"), 1);
  CU_ASSERT_EQUAL (path_count_runs (&fixture, "queued"), 0);
  CU_ASSERT_EQUAL (path_count_runs (&fixture, "last"), 1);
  fetched_clear (&fetched);
  close (running);
  path_stop (&fixture);
}

/* When a caller disconnects while its request runs, the slot is released: at once if the request is
 * idempotent, otherwise when the run has finished. Neither request is run again. */
static void
test_gone_while_running (void)
{
  static const char *const methods[] = { "GET", "POST" };

  for (size_t i = 0; i < 2; i++)
    {
      struct path_fixture fixture;
      struct fetched fetched;
      int running;

      path_start (&fixture, &config);
      running = path_send_raw (&fixture, 0, methods[i], "first", NULL);
      CU_ASSERT (test_wait (worker_is_busy, &fixture, 2000));
      close (running);
      CU_ASSERT (test_wait (disconnect_is_counted, &fixture, 1000));
      path_fetch (&fixture, 0, "GET", "next", NULL, &fetched);
      CU_ASSERT_EQUAL (fetched.status, 200);
      CU_ASSERT_STRING_EQUAL (fetched.body, "id=next path=/book bytes=0\n");
      CU_ASSERT_EQUAL (path_count_runs (&fixture, "first"), 1);
      CU_ASSERT_EQUAL (path_count_runs (&fixture, "next"), 1);
      fetched_clear (&fetched);
      path_stop (&fixture);
    }
}

/* Expects a request to be rejected with a status and the outcome "not-run". */
static void
expect_rejected (const struct path_fixture *fixture, const char *path, const char *header,
                 const char *body, int status)
{
  g_autofree char *url =
      g_strdup_printf ("http://127.0.0.1:%u%s", path_caller_port (fixture, 0), path);
  const char *headers[] = { "X-Request-Id: refused", header, NULL };
  struct fetched fetched;

  fetch (&fetched, "POST", url, headers, body, 5000);
  CU_ASSERT_EQUAL (fetched.status, status);
  CU_ASSERT (fetched_has_header (&fetched, "Sesamepick-Outcome", "not-run"));
  CU_ASSERT (fetched_has_header (&fetched, "Content-Type", "application/problem+json"));
  fetched_clear (&fetched);
}

/* Invalid requests are rejected and not run. */
static void
test_wrong_requests (void)
{
  g_autofree char *large = g_strnfill (1048577, 'x');
  g_autofree char *long_key = g_strnfill (300, 'k');
  g_autofree char *key_header = g_strconcat ("Idempotency-Key: ", long_key, NULL);
  struct path_fixture fixture;

  path_start (&fixture, &config);
  expect_rejected (&fixture, "/seats/book", NULL, large, 413);
  expect_rejected (&fixture, "/seats/book", "Sesamepick-Timeout: soon", "x", 400);
  expect_rejected (&fixture, "/seats/book", "Sesamepick-Idempotent: true", "x", 400);
  expect_rejected (&fixture, "/seats/book", key_header, "x", 400);
  expect_rejected (&fixture, "/rooms/book", NULL, "x", 404);
  expect_rejected (&fixture, "/", NULL, "x", 400);
  CU_ASSERT_EQUAL (path_count_runs (&fixture, "refused"), 0);
  path_stop (&fixture);
}

static const struct suite_test tests[] = {
  { "gone while queued", test_gone_while_queued },
  { "gone while running", test_gone_while_running },
  { "wrong requests", test_wrong_requests },
};

int
main (void)
{
  return suite_run ("callers", tests, sizeof tests / sizeof tests[0]);
}
