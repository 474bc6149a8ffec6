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
  /* 250 requests a second over three entry hosts, each open for less than 100 ms. */
  OPEN_REQUESTS_PER_ENTRY_MAX = 25,
};

static struct system whole;

/* Kills each of three processes in turn during a load and starts it again. */
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

/* Prints a load's ends for the log of the test. */
static void
print_outcomes (const json_t *load)
{
  char *text = json_dumps (json_object_get (load, "ends"), JSON_COMPACT);

  printf ("%s ", text ? text : "no report");
  free (text);
}

/* Killing every fleetd in turn changes nothing for callers: each request is answered. */
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

/* Killing an entryd changes nothing but its own open requests: none is doubled or mixed up, those
 * at the others are all answered, and no more are cut off than one entryd had open. The
 * slots that a killed entryd was home of move within the callers' two seconds, so that none is
 * refused for its deadline. */
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

/* The platform's end, and with it the log's, changes nothing for callers either. */
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
