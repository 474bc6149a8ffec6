#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cluster.h"
#include "subscribers.h"
#include "suite.h"

/* Random faults, changes and plans, generated from a seed. Afterwards all fleetds must have the
 * same state, every acknowledged change must be in it, no operation may have taken effect twice,
 * and no subscriber may have been sent an older table. */

enum
{
  PORT_BLOCK = 6,
  FLEETDS = 4,
  SEATS = 6,
  TOOLS = 6,
  FAULTS_DURATION_MS = 12000,
  RECOVERY_LIMIT_MS = 12000,
  PAUSE_DURATION_MS = 1500,
  AVERAGE_STEP_MS = 120,
  /* Used unless SESAMEPICK_TEST_SEED is set. */
  DEFAULT_SEED = 1,
};

struct run
{
  struct cluster cluster;
  struct subscribers subscribers;
  GRand *random;
  /* When to resume each paused fleetd; 0 if it runs. */
  int64_t paused_until_ms[FLEETDS];
  int64_t heal_log_ms;
  uint32_t deadline_ms;
  /* Offsets of the acknowledged changes. */
  GArray *acknowledged;
  unsigned n_faults;
};

static struct run run;

/* Returns a random number below a limit. */
static int
pick (int limit)
{
  return g_rand_int_range (run.random, 0, limit);
}

/* Returns a fleetd that is not paused. */
static unsigned
pick_running (void)
{
  unsigned i = (unsigned) pick (FLEETDS);

  while (run.paused_until_ms[i] != 0)
    i = (i + 1) % FLEETDS;
  return i;
}

/* Stores the offset of a change if it was acknowledged. */
static void
acknowledge (const struct reply *reply)
{
  int64_t offset = reply_number (reply, "offset");

  if (reply->status == 200 && strcmp (reply_text (reply, "verdict"), "accepted") == 0)
    g_array_append_val (run.acknowledged, offset);
}

/* Declares the service with a new deadline at a random fleetd. */
static void
change_random (void)
{
  g_autofree char *body = g_strdup_printf (
      "{\"declarations\":[{\"service\":{\"name\":\"chess\",\"pool\":\"seats\","
      "\"traffic_class\":\"interactive\",\"deadline_ms\":%u,\"availability_permille\":600,"
      "\"slots_per_worker\":8,\"connections_per_worker\":64}}]}",
      run.deadline_ms++);
  struct reply reply =
      cluster_call (&run.cluster, pick_running (), "POST", "/v1/declarations", body);

  acknowledge (&reply);
  reply_clear (&reply);
}

/* Proposes another target for the pool and usually confirms the plan, possibly at another
 * fleetd. */
static void
plan_random (void)
{
  g_autofree char *intent =
      g_strdup_printf ("{\"capacity\":{\"pool\":\"seats\",\"capacity_target\":%d}}", 4 + pick (5));
  struct reply reply = cluster_call (&run.cluster, pick_running (), "POST", "/v1/plans", intent);
  g_autofree char *path = g_strdup_printf ("/v1/plans/%s/confirm", reply_text (&reply, "id"));
  bool proposed = reply.status == 201;

  reply_clear (&reply);
  if (!proposed || pick (4) == 0)
    return;
  reply = cluster_call (&run.cluster, pick_running (), "POST", path, "{\"revision\":1}");
  reply_clear (&reply);
}

/* Kills a fleetd and restarts it. */
static void
fault_kill (void)
{
  unsigned i = pick_running ();

  process_destroy (run.cluster.fleetds[i]);
  cluster_start_fleetd (&run.cluster, i);
}

/* Pauses a fleetd for longer than a claim lasts, unless another one is paused. */
static void
fault_pause (void)
{
  unsigned i = pick_running ();

  for (unsigned k = 0; k < FLEETDS; k++)
    {
      if (run.paused_until_ms[k] != 0)
        return;
    }
  process_signal (run.cluster.fleetds[i], SIGSTOP);
  run.paused_until_ms[i] = test_now_ms () + PAUSE_DURATION_MS;
}

/* Resumes paused fleetds and the log when their time has come, or immediately if all is set. */
static void
heal_if_due (bool all)
{
  for (unsigned i = 0; i < FLEETDS; i++)
    {
      if (run.paused_until_ms[i] != 0 && (all || test_now_ms () >= run.paused_until_ms[i]))
        {
          process_signal (run.cluster.fleetds[i], SIGCONT);
          run.paused_until_ms[i] = 0;
        }
    }
  if (run.heal_log_ms != 0 && (all || test_now_ms () >= run.heal_log_ms))
    {
      cluster_set_platform_faults (&run.cluster, "{\"log\":\"up\",\"log_slow_ms\":0}");
      run.heal_log_ms = 0;
    }
}

/* Makes the log fail, unresponsive or slow for a while. */
static void
fault_log (void)
{
  static const char *const faults[] = { "{\"log\":\"down\"}", "{\"log\":\"silent\"}",
                                        "{\"log_slow_ms\":250}" };

  cluster_set_platform_faults (&run.cluster, faults[pick (3)]);
  run.heal_log_ms = test_now_ms () + 300 + pick (900);
}

/* Sets the fraction of responses that are lost, of reads that return entries twice, and of
 * operations that fail. */
static void
fault_rates (void)
{
  g_autofree char *faults = g_strdup_printf (
      "{\"lose_permille\":%d,\"duplicate_permille\":%d,\"operations_fail_permille\":%d}",
      pick (3) * 150, pick (2) * 500, pick (3) * 150);

  cluster_set_platform_faults (&run.cluster, faults);
}

/* Changes a host's presence on the platform's host list. */
static void
fault_host (void)
{
  static const char *const presences[] = { "leaving", "live", "live", "gone" };
  g_autofree char *faults = g_strdup_printf ("{\"host\":{\"name\":\"h%d\",\"presence\":\"%s\"}}",
                                             pick (SEATS + TOOLS), presences[pick (4)]);

  cluster_set_platform_faults (&run.cluster, faults);
}

/* Resets connections to the platform or makes them unresponsive. */
static void
fault_connections (void)
{
  cluster_set_proxy_fault (&run.cluster, pick (FLEETDS + 1) - 1, pick (2) ? "cut" : "silent");
}

/* Executes a random change, plan or fault. */
static void
step_random (void)
{
  int choice = pick (20);

  run.n_faults += choice >= 9;
  if (choice < 6)
    change_random ();
  else if (choice < 9)
    plan_random ();
  else if (choice < 11)
    fault_kill ();
  else if (choice < 12)
    fault_pause ();
  else if (choice < 14)
    fault_log ();
  else if (choice < 16)
    fault_rates ();
  else if (choice < 17)
    fault_host ();
  else if (choice < 18)
    cluster_set_platform_faults (&run.cluster, "{\"trim_to\":60}");
  else
    fault_connections ();
}

/* Returns whether no plan is being executed any more. */
static bool
plans_have_ended (void *ctx)
{
  struct reply reply = cluster_call (&run.cluster, 0, "GET", "/v1/plans", NULL);
  const json_t *plans = json_object_get (reply.json, "plans");
  bool ended = reply.status == 200;

  (void) ctx;
  for (size_t i = 0; i < json_array_size (plans); i++)
    {
      const char *state = json_string_value (json_object_get (json_array_get (plans, i), "state"));

      ended = ended && strcmp (state, "confirmed") != 0;
    }
  reply_clear (&reply);
  return ended;
}

/* Expects that each acknowledged change still covered by the audit trail is there as accepted. */
static void
expect_acknowledged (void)
{
  struct reply reply = cluster_call (&run.cluster, 1, "GET", "/v1/audit?limit=100000", NULL);
  const json_t *entries = json_object_get (reply.json, "entries");
  size_t n = json_array_size (entries);
  int64_t oldest = json_integer_value (json_object_get (json_array_get (entries, n - 1), "offset"));
  g_autoptr (GHashTable) accepted = g_hash_table_new (NULL, NULL);

  for (size_t i = 0; i < n; i++)
    {
      const json_t *entry = json_array_get (entries, i);

      if (strcmp (json_string_value (json_object_get (entry, "verdict")), "accepted") == 0)
        g_hash_table_add (
            accepted, GSIZE_TO_POINTER (json_integer_value (json_object_get (entry, "offset"))));
    }
  for (guint i = 0; i < run.acknowledged->len; i++)
    {
      int64_t offset = g_array_index (run.acknowledged, int64_t, i);

      CU_ASSERT (offset <= oldest || g_hash_table_contains (accepted, GSIZE_TO_POINTER (offset)));
    }
  reply_clear (&reply);
}

/* Expects that the platform and the state agree on the pool of each host that is not gone, and that
 * no operation took effect twice. */
static void
expect_hosts (void)
{
  json_t *journal = cluster_journal (&run.cluster);
  struct reply reply = cluster_call (&run.cluster, 2, "GET", "/v1/status", NULL);
  const json_t *hosts = json_object_get (reply.json, "hosts");
  const json_t *known = json_object_get (journal, "hosts");

  CU_ASSERT (journal_is_idempotent (journal));
  for (size_t i = 0; i < json_array_size (hosts); i++)
    {
      const json_t *host = json_array_get (hosts, i);
      const char *name = json_string_value (json_object_get (host, "name"));
      const json_t *at_platform = json_object_get (known, name);

      if (strcmp (json_string_value (json_object_get (at_platform, "presence")), "gone") != 0)
        CU_ASSERT_STRING_EQUAL (json_string_value (json_object_get (host, "pool")),
                                json_string_value (json_object_get (at_platform, "pool")));
    }
  reply_clear (&reply);
  json_decref (journal);
}

/* Removes all faults. */
static void
heal (void)
{
  heal_if_due (true);
  cluster_set_platform_faults (&run.cluster,
                               "{\"log\":\"up\",\"log_slow_ms\":0,\"lose_permille\":0,"
                               "\"duplicate_permille\":0,\"operations_fail_permille\":0}");
}

/* Injects random faults for a while, removes them, and checks the resulting state. */
static void
test_random (void)
{
  int64_t end_ms = test_now_ms () + FAULTS_DURATION_MS;

  while (test_now_ms () < end_ms)
    {
      step_random ();
      subscribers_run (&run.subscribers, NULL, NULL, pick (2 * AVERAGE_STEP_MS));
      heal_if_due (false);
    }
  heal ();
  for (unsigned i = 0; i < FLEETDS; i++)
    CU_ASSERT (cluster_wait_ready (&run.cluster, i, RECOVERY_LIMIT_MS));
  CU_ASSERT (cluster_wait_log_reachable (&run.cluster, RECOVERY_LIMIT_MS));
  CU_ASSERT (test_wait (plans_have_ended, NULL, RECOVERY_LIMIT_MS));
  CU_ASSERT (cluster_wait_converged (&run.cluster, RECOVERY_LIMIT_MS));
  subscribers_run (&run.subscribers, NULL, NULL, AVERAGE_STEP_MS);
  CU_ASSERT_EQUAL (subscribers_count_older_tables (&run.subscribers), 0);
  CU_ASSERT (run.acknowledged->len > 0);
  expect_acknowledged ();
  expect_hosts ();
  printf ("(%u acknowledged, %u faults) ", run.acknowledged->len, run.n_faults);
}

static const struct suite_test tests[] = {
  { "random", test_random },
};

int
main (void)
{
  static const char *const args[] = { "--snapshot-every=20", "--operator-wait-ms=1500", NULL };
  const char *seed_text = getenv ("SESAMEPICK_TEST_SEED");
  guint32 seed = seed_text ? (guint32) atoi (seed_text) : DEFAULT_SEED;
  struct cluster_config config = { .block = PORT_BLOCK,
                                   .n_fleetds = FLEETDS,
                                   .n_seats = SEATS,
                                   .n_tools = TOOLS,
                                   .with_proxy = true,
                                   .fleetd_args = args };
  int result;

  printf ("seed %u\n", seed);
  run.random = g_rand_new_with_seed (seed);
  run.acknowledged = g_array_new (FALSE, FALSE, sizeof (int64_t));
  run.deadline_ms = 3000;
  cluster_init (&run.cluster, &config);
  subscribers_init (&run.subscribers, ev_default_loop (0), &run.cluster);
  if (cluster_declare (&run.cluster, 0, 2000) != 200)
    return 1;
  result = suite_run ("fleet_random", tests, sizeof tests / sizeof tests[0]);
  subscribers_finish (&run.subscribers);
  cluster_finish (&run.cluster);
  return result;
}
