#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "suite.h"
#include "system.h"

enum
{
  PORT_BLOCK = 91,
};

static struct system whole;

/* Writes a file that is passed to sesamepick. Returns its path; free it with g_free. */
static char *
write_file (const char *text)
{
  char *path =
      g_strdup_printf ("%s/test-logs/%d-cli.yaml", g_getenv ("SESAMEPICK_BUILD"), getpid ());

  g_file_set_contents (path, text, -1, NULL);
  return path;
}

/* Runs a command with a file of this text. Expects an exit code and that the output contains a
 * part. */
static void
expect_file (const char *command, const char *text, int code, const char *part)
{
  g_autofree char *path = write_file (text);
  g_autofree char *output = NULL;

  CU_ASSERT_EQUAL (system_run_cli (&whole, &output, command, path, NULL), code);
  CU_ASSERT (output && strstr (output, part));
  if (!output || !strstr (output, part))
    printf ("expected \"%s\" in: %s\n", part, output ? output : "nothing");
}

/* Creates a plan. Returns the ID@REVISION with which it can be confirmed; free it with g_free. */
static char *
make_plan (const char *intent)
{
  g_autofree char *path = write_file (intent);
  g_autofree char *output = NULL;
  const char *at;

  CU_ASSERT_EQUAL (system_run_cli (&whole, &output, "plan", path, NULL), 0);
  at = output ? strstr (output, "sesamepick confirm ") : NULL;
  SUITE_REQUIRE (at != NULL);
  return g_strndup (at + strlen ("sesamepick confirm "),
                    strcspn (at + strlen ("sesamepick confirm "), "\n"));
}

/* Wrong usage and invalid files make sesamepick exit with 2 and an error message, without any
 * change. */
static void
test_usage (void)
{
  CU_ASSERT_EQUAL (system_run_cli (&whole, NULL, NULL), 2);
  CU_ASSERT_EQUAL (system_run_cli (&whole, NULL, "fly", NULL), 2);
  CU_ASSERT_EQUAL (system_run_cli (&whole, NULL, "confirm", NULL), 2);
  CU_ASSERT_EQUAL (system_run_cli (&whole, NULL, "confirm", "p@x", NULL), 2);
  CU_ASSERT_EQUAL (system_run_cli (&whole, NULL, "status", "--output=xml", NULL), 2);
  expect_file ("apply", "declarations:\n  - pool:\n      capacity_target: ten\n", 2,
               ":3: declarations[0].pool.capacity_target: expected a whole number");
  expect_file ("plan", "capacity: {pool: chess, capacity_tarjet: 6}\n", 2,
               ":1: capacity.capacity_tarjet: expected a field of CapacityIntent");
}

/* When the fleet's state rejects a change, sesamepick exits with 1 and prints the reason. */
static void
test_refused (void)
{
  expect_file ("apply",
               "declarations:\n  - pool: {name: x, host_class: none, capacity_target: 0}\n", 1,
               "none");
  expect_file ("plan", "capacity: {pool: nowhere, capacity_target: 6}\n", 1, "nowhere");
  CU_ASSERT_EQUAL (system_run_cli (&whole, NULL, "confirm", "plan-0@1", NULL), 1);
}

/* Nothing changes until a plan is confirmed. Of two plans for the same pool only the first one can
 * be confirmed; the other confirmation is rejected with a reason. */
static void
test_plans (void)
{
  g_autofree char *first = make_plan ("capacity: {pool: chess, capacity_target: 6}\n");
  g_autofree char *second = make_plan ("capacity: {pool: chess, capacity_target: 7}\n");
  g_autofree char *status = NULL;
  g_autofree char *refusal = NULL;

  CU_ASSERT_EQUAL (system_run_cli (&whole, &status, "status", NULL), 0);
  CU_ASSERT (status && strstr (status, "pool chess            target 5, hosts 5"));
  CU_ASSERT_EQUAL (system_run_cli (&whole, NULL, "confirm", first, NULL), 0);
  CU_ASSERT_EQUAL (system_run_cli (&whole, &refusal, "confirm", second, NULL), 1);
  CU_ASSERT (refusal && strstr (refusal, "chess"));
}

/* Each command that shows something prints text or valid JSON. */
static void
test_views (void)
{
  static const char *const views[] = { "status", "plans", "bill", "audit" };

  for (size_t i = 0; i < sizeof views / sizeof views[0]; i++)
    {
      g_autofree char *text = NULL;
      json_t *json;

      CU_ASSERT_EQUAL (system_run_cli (&whole, NULL, views[i], NULL), 0);
      CU_ASSERT_EQUAL (system_run_cli (&whole, &text, "--output=json", views[i], NULL), 0);
      json = json_loads (text ? text : "", 0, NULL);
      CU_ASSERT_PTR_NOT_NULL (json);
      json_decref (json);
    }
}

/* Without the platform, a command that changes something exits with 75, and status still works.
 * Without any fleetd, status exits with 75 too. */
static void
test_unavailable (void)
{
  process_signal (whole.platform, SIGSTOP);
  expect_file ("apply",
               "declarations:\n  - pool: {name: y, host_class: large, capacity_target: 0}\n", 75,
               "");
  CU_ASSERT_EQUAL (system_run_cli (&whole, NULL, "status", NULL), 0);
  for (unsigned n = 0; n < SYSTEM_ENTRIES; n++)
    process_signal (whole.fleetds[n], SIGKILL);
  test_sleep_ms (100);
  CU_ASSERT_EQUAL (system_run_cli (&whole, NULL, "status", NULL), 75);
}

static const struct suite_test tests[] = {
  { "usage", test_usage }, { "refused", test_refused },         { "plans", test_plans },
  { "views", test_views }, { "unavailable", test_unavailable },
};

int
main (void)
{
  int code;

  system_start (&whole, PORT_BLOCK);
  code = suite_run ("cli", tests, sizeof tests / sizeof tests[0]);
  system_stop (&whole);
  return code;
}
