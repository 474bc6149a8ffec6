#include <signal.h>
#include <stdio.h>

#include "suite.h"
#include "system.h"

enum
{
  PORT_BLOCK = 90,
  LOAD_S = 8,
  SETTLE_MS = 1500,
  BETWEEN_KILLS_MS = 1500,
  /* 250 requests per second over all entry hosts, each open for less than 100 ms: even one entry
   * host that gets all of them has no more open. */
  OPEN_REQUESTS_PER_ENTRY_MAX = 25,
};

static struct system whole;

/* Kills and restarts each of three processes in turn during a load. Returns the load's report. */
static json_t *
run_kills (const char *name, struct process **victims, void (*start) (struct system *, unsigned),
           int *code)
{
  struct process *load;

  test_sleep_ms (SETTLE_MS);
  load = system_start_load (&whole, name, LOAD_S);
  for (unsigned n = 0; n < SYSTEM_ENTRIES; n++)
    {
      test_sleep_ms (BETWEEN_KILLS_MS);
      process_destroy (victims[n]);
      test_sleep_ms (BETWEEN_KILLS_MS / 3);
      start (&whole, n);
    }
  return system_wait_load (load, LOAD_S, code);
}

/* Prints the numbers of a load's outcomes into the test's log. */
static void
print_outcomes (const json_t *load)
{
  char *text = json_dumps (json_object_get (load, "ends"), JSON_COMPACT);

  printf ("%s ", text ? text : "no report");
  free (text);
}

/* Killing every fleetd in turn has no effect on callers: each request is answered. */
static void
test_fleetds (void)
{
  int code;
  json_t *load = run_kills ("load-fleetds", whole.fleetds, system_start_fleetd, &code);

  print_outcomes (load);
  CU_ASSERT_EQUAL (code, 0);
  CU_ASSERT (load_outcome_count (load, "answered") > 0);
  CU_ASSERT_EQUAL (load_outcome_count (load, "answered"),
                   json_integer_value (json_object_get (load, "sent")));
  json_decref (load);
}

/* Killing an entryd affects only the requests that are open at it: no more requests break than the
 * killed entryds can have had open, none is run twice or gets another one's response, and the
 * others are answered. The slots whose home was the killed entryd get a new home within the
 * callers' deadline of two seconds, so that no request is rejected for its deadline. */
static void
test_entryds (void)
{
  int code;
  json_t *load = run_kills ("load-entryds", whole.entryds, system_start_entryd, &code);

  print_outcomes (load);
  CU_ASSERT_EQUAL (code, 0);
  CU_ASSERT (load_outcome_count (load, "answered") > 0);
  CU_ASSERT_EQUAL (load_outcome_count (load, "wrong"), 0);
  CU_ASSERT_EQUAL (load_outcome_count (load, "unknown"), 0);
  CU_ASSERT_PTR_NULL (json_object_get (json_object_get (load, "reasons"), "not-run deadline"));
  CU_ASSERT_EQUAL (load_outcome_count (load, "answered-badly"), 0);
  CU_ASSERT (load_outcome_count (load, "cut") <= SYSTEM_ENTRIES * OPEN_REQUESTS_PER_ENTRY_MAX);
  json_decref (load);
}

/* A platform that stops responding, and with it the log, has no effect on callers either. */
static void
test_platform (void)
{
  struct process *load;
  json_t *report;
  int code;

  for (unsigned n = 0; n < SYSTEM_ENTRIES; n++)
    CU_ASSERT (system_wait_entryd (&whole, n));
  test_sleep_ms (SETTLE_MS);
  load = system_start_load (&whole, "load-platform", LOAD_S / 2);
  test_sleep_ms (BETWEEN_KILLS_MS);
  process_signal (whole.platform, SIGSTOP);
  report = system_wait_load (load, LOAD_S / 2, &code);
  print_outcomes (report);
  CU_ASSERT_EQUAL (code, 0);
  CU_ASSERT (load_outcome_count (report, "answered") > 0);
  CU_ASSERT_EQUAL (load_outcome_count (report, "answered"),
                   json_integer_value (json_object_get (report, "sent")));
  json_decref (report);
}

static const struct suite_test tests[] = {
  { "fleetds", test_fleetds },
  { "entryds", test_entryds },
  { "platform", test_platform },
};

int
main (void)
{
  int code;

  system_start (&whole, PORT_BLOCK);
  code = suite_run ("kill", tests, sizeof tests / sizeof tests[0]);
  system_stop (&whole);
  return code;
}
