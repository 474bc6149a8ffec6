#include <signal.h>
#include <string.h>

#include "cluster.h"
#include "suite.h"

/* Batch tasks: assignment to hosts, cancellation, and a change of the claim holder. */

enum
{
  PORT_BLOCK = 5,
  HOLDER_LIMIT_MS = 6000,
  COMPLETION_LIMIT_MS = 12000,
  URGENT_START_LIMIT_MS = 3200,
};

static struct cluster cluster;

/* Submits a task. Returns the HTTP status. */
static int
submit (const char *name, unsigned slots, unsigned run_ms, bool urgent)
{
  g_autofree char *body =
      g_strdup_printf ("{\"kind\":\"submit\",\"task\":\"%s\",\"team\":\"rosters\",\"slots\":%u,"
                       "\"run_ms\":%u,\"urgent\":%s}",
                       name, slots, run_ms, urgent ? "true" : "false");
  struct reply reply = cluster_call (&cluster, 0, "POST", "/v1/tasks", body);

  if (reply.status != 200)
    g_printerr ("submitting a task failed: %d %s\n", reply.status, reply_text (&reply, "detail"));
  reply_clear (&reply);
  return reply.status;
}

/* Counts the tasks that a fleetd shows in a state. */
static unsigned
count_tasks (unsigned i, const char *state)
{
  struct reply reply = cluster_call (&cluster, i, "GET", "/v1/tasks", NULL);
  const json_t *tasks = json_object_get (reply.json, "tasks");
  unsigned n = 0;

  for (size_t k = 0; k < json_array_size (tasks); k++)
    n += strcmp (json_string_value (json_object_get (json_array_get (tasks, k), "state")), state) ==
         0;
  reply_clear (&reply);
  return n;
}

/* Waits until a fleetd shows n tasks in a state. */
static bool
wait_tasks (unsigned i, const char *state, unsigned n, int64_t limit_ms)
{
  int64_t end_ms = test_now_ms () + limit_ms;

  while (count_tasks (i, state) != n)
    {
      if (test_now_ms () >= end_ms)
        return false;
      test_sleep_ms (20);
    }
  return true;
}

/* Returns how many times the platform started a task that it had started before under another
 * lease. */
static unsigned
count_repeated_starts (void)
{
  json_t *journal = cluster_journal (&cluster);
  const json_t *events = json_object_get (journal, "events");
  g_autoptr (GHashTable) tasks = g_hash_table_new (g_str_hash, g_str_equal);
  unsigned n = 0;

  for (size_t i = 0; i < json_array_size (events); i++)
    {
      const json_t *event = json_array_get (events, i);
      const char *task = json_string_value (json_object_get (event, "task"));

      if (strcmp (json_string_value (json_object_get (event, "event")), "task started") == 0)
        n += !g_hash_table_add (tasks, (void *) task);
    }
  json_decref (journal);
  return n;
}

static int
declare_team (unsigned quota)
{
  g_autofree char *body =
      g_strdup_printf ("{\"declarations\":[{\"team\":{\"name\":\"rosters\",\"pool\":\"seats\","
                       "\"quota_slots\":%u}}]}",
                       quota);
  struct reply reply = cluster_call (&cluster, 0, "POST", "/v1/declarations", body);

  reply_clear (&reply);
  return reply.status;
}

/* Tasks are assigned to hosts, run and finish, and an urgent one does too although the queued tasks
 * exceed the team's quota. No task is started twice. */
static void
test_run (void)
{
  CU_ASSERT_EQUAL (declare_team (8), 200);
  for (unsigned i = 0; i < 12; i++)
    {
      g_autofree char *name = g_strdup_printf ("run-%u", i);

      CU_ASSERT_EQUAL (submit (name, 2, 400, false), 200);
    }
  CU_ASSERT_EQUAL (submit ("urgent-0", 2, 100, true), 200);
  CU_ASSERT (wait_tasks (1, "finished", 13, COMPLETION_LIMIT_MS));
  CU_ASSERT_EQUAL (count_repeated_starts (), 0);
}

/* The claim holder is killed while tasks run: another fleetd follows them until they finish, and
 * none is started again. */
static void
test_holder_killed (void)
{
  int holder = cluster_wait_claim_holder (&cluster, HOLDER_LIMIT_MS);
  unsigned other;

  SUITE_REQUIRE (holder >= 0);
  other = ((unsigned) holder + 1) % cluster.n_fleetds;
  for (unsigned i = 0; i < 4; i++)
    {
      g_autofree char *name = g_strdup_printf ("kill-%u", i);

      CU_ASSERT_EQUAL (submit (name, 2, 2500, false), 200);
    }
  CU_ASSERT (wait_tasks (other, "leased", 4, COMPLETION_LIMIT_MS));
  test_sleep_ms (200);
  process_signal (cluster.fleetds[holder], SIGKILL);
  process_wait (cluster.fleetds[holder], HOLDER_LIMIT_MS);
  CU_ASSERT (wait_tasks (other, "finished", 17, COMPLETION_LIMIT_MS));
  CU_ASSERT_EQUAL (count_repeated_starts (), 0);
  process_destroy (cluster.fleetds[holder]);
  cluster_start_fleetd (&cluster, (unsigned) holder);
  CU_ASSERT (cluster_wait_ready (&cluster, (unsigned) holder, HOLDER_LIMIT_MS));
}

/* A cancelled task is stopped on its host. A task that requires more slots than any host has fails
 * immediately. */
static void
test_cancel (void)
{
  struct reply reply;
  json_t *journal;
  int64_t end_ms;
  unsigned stopped = 0;

  CU_ASSERT_EQUAL (submit ("long", 2, 60000, false), 200);
  CU_ASSERT (wait_tasks (0, "leased", 1, COMPLETION_LIMIT_MS));
  test_sleep_ms (300);
  reply =
      cluster_call (&cluster, 0, "POST", "/v1/tasks", "{\"kind\":\"cancel\",\"task\":\"long\"}");
  CU_ASSERT_EQUAL (reply.status, 200);
  reply_clear (&reply);
  end_ms = test_now_ms () + COMPLETION_LIMIT_MS;
  while (stopped == 0 && test_now_ms () < end_ms)
    {
      journal = cluster_journal (&cluster);
      stopped = journal_count (journal, "task stopped", "", "");
      json_decref (journal);
    }
  CU_ASSERT_EQUAL (stopped, 1);
  CU_ASSERT_EQUAL (submit ("huge", 1000, 100, false), 200);
  CU_ASSERT (wait_tasks (0, "failed", 1, COMPLETION_LIMIT_MS));
}

/* An urgent task starts within 3.2 s. */
static void
test_urgent (void)
{
  int64_t start_ms = test_now_ms ();

  CU_ASSERT_EQUAL (submit ("urgent-1", 2, 60000, true), 200);
  CU_ASSERT (wait_tasks (0, "leased", 1, URGENT_START_LIMIT_MS));
  CU_ASSERT (test_now_ms () - start_ms < URGENT_START_LIMIT_MS);
}

static const struct suite_test tests[] = {
  { "run", test_run },
  { "holder killed", test_holder_killed },
  { "cancel", test_cancel },
  { "urgent", test_urgent },
};

int
main (void)
{
  static const char *const args[] = { "--task-period-ms=100", "--task-lease-ms=5000", NULL };
  struct cluster_config config = {
    .block = PORT_BLOCK, .n_fleetds = 3, .n_seats = 6, .n_tools = 3, .fleetd_args = args
  };
  int result;

  cluster_init (&cluster, &config);
  if (cluster_declare (&cluster, 0, 2000) != 200)
    return 1;
  result = suite_run ("fleet_tasks", tests, sizeof tests / sizeof tests[0]);
  cluster_finish (&cluster);
  return result;
}
