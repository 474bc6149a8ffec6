#include <signal.h>
#include <string.h>

#include "cluster.h"
#include "suite.h"

/* Execution of plans with real fleetds: the claim holder is killed, paused or stopped, and
 * operations fail or lose their responses. */

enum
{
  PORT_BLOCK = 2,
  CLAIM_MS = 1000,
  HOLDER_LIMIT_MS = 6000,
  COMPLETION_LIMIT_MS = 15000,
  CONVERGENCE_LIMIT_MS = 5000,
  MOVES = 2,
  SEATS = 6,
  TOOLS = 10,
  LIST_LAG_MS = 1500,
  HOSTS = SEATS + TOOLS,
};

static struct cluster cluster;
static unsigned target = SEATS;

/* Proposes to increase the pool's target by a number of hosts and confirms the plan. Returns its
 * id. */
static char *
confirm_target_increase (unsigned i, unsigned by)
{
  g_autofree char *intent =
      g_strdup_printf ("{\"capacity\":{\"pool\":\"seats\",\"capacity_target\":%u}}", target + by);
  char *id = cluster_propose (&cluster, i, intent);

  SUITE_REQUIRE (id != NULL);
  CU_ASSERT_EQUAL (cluster_confirm (&cluster, i, id), 200);
  target += by;
  return id;
}

/* Returns the index of another fleetd. */
static unsigned
other_fleetd (unsigned i)
{
  return (i + 1) % cluster.n_fleetds;
}

/* Waits until the platform's journal contains n effects. */
static bool
wait_effects (unsigned n, int64_t limit_ms)
{
  int64_t end_ms = test_now_ms () + limit_ms;
  unsigned seen = 0;

  while (seen < n && test_now_ms () < end_ms)
    {
      json_t *journal = cluster_journal (&cluster);

      seen = journal_count (journal, "effect", "", "");
      json_decref (journal);
    }
  return seen >= n;
}

/* Expects that the platform and all fleetds agree on the pool of each host, that the pool has
 * reached its target, and that no operation took effect twice. */
static void
expect_hosts (void)
{
  json_t *journal = cluster_journal (&cluster);
  const json_t *known = json_object_get (journal, "hosts");
  struct reply reply;
  const json_t *hosts;
  unsigned n_seats = 0;

  CU_ASSERT (cluster_wait_converged (&cluster, CONVERGENCE_LIMIT_MS));
  CU_ASSERT (journal_is_idempotent (journal));
  reply = cluster_call (&cluster, 0, "GET", "/v1/status", NULL);
  hosts = json_object_get (reply.json, "hosts");
  CU_ASSERT_EQUAL (json_array_size (hosts), HOSTS);
  for (size_t i = 0; i < json_array_size (hosts); i++)
    {
      const json_t *host = json_array_get (hosts, i);
      const char *name = json_string_value (json_object_get (host, "name"));
      const char *pool = json_string_value (json_object_get (host, "pool"));
      const char *at_platform =
          json_string_value (json_object_get (json_object_get (known, name), "pool"));

      CU_ASSERT_STRING_EQUAL (pool, at_platform);
      n_seats += strcmp (pool, "seats") == 0;
    }
  CU_ASSERT (n_seats >= target);
  reply_clear (&reply);
  json_decref (journal);
}

/* An unconfirmed plan and a withdrawn one start no operation. */
static void
test_unconfirmed (void)
{
  const char *intent = "{\"capacity\":{\"pool\":\"seats\",\"capacity_target\":7}}";
  g_autofree char *open = cluster_propose (&cluster, 0, intent);
  g_autofree char *withdrawn = cluster_propose (&cluster, 1, intent);
  g_autofree char *path = NULL;
  struct reply reply;
  json_t *journal;

  SUITE_REQUIRE (open && withdrawn);
  path = g_strdup_printf ("/v1/plans/%s/withdraw", withdrawn);
  reply = cluster_call (&cluster, 2, "POST", path, NULL);
  CU_ASSERT_EQUAL (reply.status, 200);
  CU_ASSERT_STRING_EQUAL (reply_text (&reply, "state"), "withdrawn");
  reply_clear (&reply);
  CU_ASSERT_EQUAL (cluster_confirm (&cluster, 0, withdrawn), 409);
  test_sleep_ms (2L * CLAIM_MS);
  journal = cluster_journal (&cluster);
  CU_ASSERT_EQUAL (journal_count (journal, "started", "", ""), 0);
  json_decref (journal);
}

/* An operator's confirmation, made in its own thread. */
struct confirm_job
{
  unsigned fleetd;
  char *path;
  struct reply reply;
};

static void *
confirm_job_run (void *ctx)
{
  struct confirm_job *job = ctx;

  job->reply = cluster_call (&cluster, job->fleetd, "POST", job->path, "{\"revision\":1}");
  return NULL;
}

/* Two operators concurrently confirm plans on the same hosts at two fleetds: one succeeds, the
 * other is rejected with a reason. */
static void
test_race (void)
{
  const char *intent = "{\"capacity\":{\"pool\":\"seats\",\"capacity_target\":7}}";
  char *ids[2] = { cluster_propose (&cluster, 0, intent), cluster_propose (&cluster, 1, intent) };
  struct confirm_job jobs[2] = { { 0 } };
  GThread *threads[2];
  unsigned winner;

  SUITE_REQUIRE (ids[0] && ids[1]);
  CU_ASSERT (cluster_wait_converged (&cluster, CONVERGENCE_LIMIT_MS));
  for (unsigned k = 0; k < 2; k++)
    {
      jobs[k].fleetd = k;
      jobs[k].path = g_strdup_printf ("/v1/plans/%s/confirm", ids[k]);
      threads[k] = g_thread_new ("confirm", confirm_job_run, &jobs[k]);
    }
  for (unsigned k = 0; k < 2; k++)
    g_thread_join (threads[k]);
  winner = jobs[0].reply.status == 200 ? 0 : 1;
  CU_ASSERT_EQUAL (jobs[winner].reply.status, 200);
  CU_ASSERT_EQUAL (jobs[1 - winner].reply.status, 409);
  CU_ASSERT (strstr (reply_text (&jobs[1 - winner].reply, "detail"), "host") != NULL ||
             strstr (reply_text (&jobs[1 - winner].reply, "detail"), "pool") != NULL);
  target = 7;
  CU_ASSERT (cluster_wait_plan (&cluster, 2, ids[winner], "done", COMPLETION_LIMIT_MS));
  expect_hosts ();
  for (unsigned k = 0; k < 2; k++)
    {
      reply_clear (&jobs[k].reply);
      g_free (jobs[k].path);
      g_free (ids[k]);
    }
}

/* The claim holder is killed during a plan: another fleetd completes it, and no operation takes
 * effect twice. */
static void
test_holder_killed (void)
{
  int holder = cluster_wait_claim_holder (&cluster, HOLDER_LIMIT_MS);
  json_t *journal = cluster_journal (&cluster);
  unsigned before = journal_count (journal, "effect", "", "");
  g_autofree char *id = NULL;

  json_decref (journal);
  SUITE_REQUIRE (holder >= 0);
  id = confirm_target_increase (other_fleetd ((unsigned) holder), MOVES);
  CU_ASSERT (wait_effects (before + 1, COMPLETION_LIMIT_MS));
  process_signal (cluster.fleetds[holder], SIGKILL);
  process_wait (cluster.fleetds[holder], HOLDER_LIMIT_MS);
  CU_ASSERT (cluster_wait_plan (&cluster, other_fleetd ((unsigned) holder), id, "done",
                                COMPLETION_LIMIT_MS));
  process_destroy (cluster.fleetds[holder]);
  cluster_start_fleetd (&cluster, (unsigned) holder);
  CU_ASSERT (cluster_wait_ready (&cluster, (unsigned) holder, HOLDER_LIMIT_MS));
  CU_ASSERT (cluster_wait_converged (&cluster, CONVERGENCE_LIMIT_MS));
  expect_hosts ();
}

/* The claim holder is paused until its claim has expired and resumes after another fleetd has
 * completed the plan: its late operations have no effect. */
static void
test_holder_paused (void)
{
  int holder = cluster_wait_claim_holder (&cluster, HOLDER_LIMIT_MS);
  json_t *journal = cluster_journal (&cluster);
  unsigned before = journal_count (journal, "effect", "", "");
  g_autofree char *id = NULL;

  json_decref (journal);
  SUITE_REQUIRE (holder >= 0);
  id = confirm_target_increase (other_fleetd ((unsigned) holder), MOVES);
  CU_ASSERT (wait_effects (before + 1, COMPLETION_LIMIT_MS));
  process_signal (cluster.fleetds[holder], SIGSTOP);
  CU_ASSERT (cluster_wait_plan (&cluster, other_fleetd ((unsigned) holder), id, "done",
                                COMPLETION_LIMIT_MS));
  process_signal (cluster.fleetds[holder], SIGCONT);
  test_sleep_ms (CLAIM_MS);
  CU_ASSERT (cluster_wait_converged (&cluster, CONVERGENCE_LIMIT_MS));
  expect_hosts ();
}

/* Responses to operations are lost and operations fail: the plan is completed all the same, and no
 * operation takes effect twice. */
static void
test_operations_lost (void)
{
  g_autofree char *id = NULL;

  cluster_set_platform_faults (&cluster,
                               "{\"lose_permille\":300,\"operations_fail_permille\":200}");
  id = confirm_target_increase (0, 1);
  CU_ASSERT (cluster_wait_plan (&cluster, 1, id, "done", COMPLETION_LIMIT_MS));
  cluster_set_platform_faults (&cluster, "{\"lose_permille\":0,\"operations_fail_permille\":0}");
  CU_ASSERT (cluster_wait_converged (&cluster, CONVERGENCE_LIMIT_MS));
  expect_hosts ();
}

/* Counts the hosts of the pool "seats" as shown by a fleetd. */
static unsigned
count_seats (unsigned i)
{
  struct reply reply = cluster_call (&cluster, i, "GET", "/v1/status", NULL);
  const json_t *hosts = json_object_get (reply.json, "hosts");
  unsigned n = 0;

  for (size_t k = 0; k < json_array_size (hosts); k++)
    n += strcmp (json_string_value (json_object_get (json_array_get (hosts, k), "pool")),
                 "seats") == 0;
  reply_clear (&reply);
  return n;
}

/* The host list lags behind a move and shows the host's old pool for a while: the fleetds never
 * revert the move. */
static void
test_list_lags (void)
{
  g_autofree char *faults = g_strdup_printf ("{\"host_list_lag_ms\":%d}", LIST_LAG_MS);
  g_autofree char *id = NULL;
  int64_t end_ms;
  unsigned n;

  cluster_set_platform_faults (&cluster, faults);
  id = confirm_target_increase (0, 1);
  CU_ASSERT (cluster_wait_plan (&cluster, 1, id, "done", COMPLETION_LIMIT_MS));
  expect_hosts ();
  n = count_seats (0);
  end_ms = test_now_ms () + LIST_LAG_MS + 500;
  while (test_now_ms () < end_ms)
    CU_ASSERT_EQUAL (count_seats (0), n);
  expect_hosts ();
  cluster_set_platform_faults (&cluster, "{\"host_list_lag_ms\":50}");
}

/* On a graceful shutdown the claim holder releases its claim, so that another fleetd acquires it
 * without waiting for it to expire. */
static void
test_holder_stopped (void)
{
  int holder = cluster_wait_claim_holder (&cluster, HOLDER_LIMIT_MS);

  SUITE_REQUIRE (holder >= 0);
  process_signal (cluster.fleetds[holder], SIGTERM);
  CU_ASSERT_EQUAL (process_wait (cluster.fleetds[holder], HOLDER_LIMIT_MS), 0);
  CU_ASSERT (cluster_wait_claim_holder (&cluster, CLAIM_MS / 2) >= 0);
  process_destroy (cluster.fleetds[holder]);
  cluster_start_fleetd (&cluster, (unsigned) holder);
  CU_ASSERT (cluster_wait_ready (&cluster, (unsigned) holder, HOLDER_LIMIT_MS));
}

static const struct suite_test tests[] = {
  { "unconfirmed", test_unconfirmed },         { "race", test_race },
  { "holder killed", test_holder_killed },     { "holder paused", test_holder_paused },
  { "operations lost", test_operations_lost }, { "list lags", test_list_lags },
  { "holder stopped", test_holder_stopped },
};

int
main (void)
{
  struct cluster_config config = {
    .block = PORT_BLOCK, .n_fleetds = 3, .n_seats = SEATS, .n_tools = TOOLS
  };
  int result;

  cluster_init (&cluster, &config);
  if (cluster_declare (&cluster, 0, 2000) != 200)
    return 1;
  result = suite_run ("fleet_carrying_out", tests, sizeof tests / sizeof tests[0]);
  cluster_finish (&cluster);
  return result;
}
