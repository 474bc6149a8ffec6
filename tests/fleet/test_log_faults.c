#include <string.h>

#include "cluster.h"
#include "suite.h"

/* Declarations while the log loses responses, returns entries twice, is slow, or is down. */

enum
{
  PORT_BLOCK = 0,
  /* Limit for the response to a change that is rejected because the log is known to be down. */
  REJECTION_LIMIT_MS = 300,
  CONVERGENCE_LIMIT_MS = 5000,
};

static struct cluster cluster;

/* Returns the deadline of the service "chess" as shown by a fleetd. Each declaration sets another
 * one, so it identifies the last declaration that was applied. */
static int64_t
deadline_shown (unsigned i)
{
  struct reply reply = cluster_call (&cluster, i, "GET", "/v1/status", NULL);
  const json_t *services = json_object_get (reply.json, "services");
  int64_t deadline_ms =
      json_integer_value (json_object_get (json_array_get (services, 0), "deadline_ms"));

  reply_clear (&reply);
  return deadline_ms;
}

/* Returns the sum of a metric over all fleetds. */
static int64_t
metric_sum (const char *name)
{
  int64_t sum = 0;

  for (unsigned i = 0; i < cluster.n_fleetds; i++)
    {
      g_autofree char *url = cluster_admin_url (&cluster, i);

      sum += fetch_metric (url, name);
    }
  return sum;
}

/* A declaration accepted at one fleetd is applied at all fleetds; an invalid one is rejected with
 * the name of its field. */
static void
test_declare (void)
{
  struct reply reply;

  CU_ASSERT_EQUAL (cluster_declare (&cluster, 0, 1000), 200);
  CU_ASSERT (cluster_wait_converged (&cluster, CONVERGENCE_LIMIT_MS));
  for (unsigned i = 0; i < cluster.n_fleetds; i++)
    CU_ASSERT_EQUAL (deadline_shown (i), 1000);
  reply = cluster_call (&cluster, 1, "POST", "/v1/declarations",
                        "{\"declarations\":[{\"pool\":{\"nmae\":\"x\"}}]}");
  CU_ASSERT_EQUAL (reply.status, 400);
  CU_ASSERT_STRING_EQUAL (reply_text (&reply, "field"), "declarations[0].pool.nmae");
  reply_clear (&reply);
  reply = cluster_call (&cluster, 1, "GET", "/v1/plans/none", NULL);
  CU_ASSERT_EQUAL (reply.status, 404);
  reply_clear (&reply);
}

/* Counts the accepted audit entries of the operator "tester" after an offset. */
static unsigned
accepted_since (int64_t offset)
{
  struct reply reply = cluster_call (&cluster, 2, "GET", "/v1/audit?limit=500", NULL);
  const json_t *entries = json_object_get (reply.json, "entries");
  unsigned n = 0;

  for (size_t i = 0; i < json_array_size (entries); i++)
    {
      const json_t *entry = json_array_get (entries, i);
      const char *author = json_string_value (json_object_get (entry, "author"));
      const char *verdict = json_string_value (json_object_get (entry, "verdict"));

      if (strcmp (author, "tester") == 0 && strcmp (verdict, "accepted") == 0 &&
          json_integer_value (json_object_get (entry, "offset")) > offset)
        n++;
    }
  reply_clear (&reply);
  return n;
}

/* Appends whose response is lost after they took effect result in exactly one accepted record each,
 * and the operator receives a success. */
static void
test_lost_responses (void)
{
  int64_t offset = cluster_offset (&cluster, 0);
  unsigned n = 5;

  cluster_set_platform_faults (&cluster, "{\"lose_permille\":1000}");
  for (unsigned i = 0; i < n; i++)
    CU_ASSERT_EQUAL (cluster_declare (&cluster, i % 3, 2000 + i), 200);
  cluster_set_platform_faults (&cluster, "{\"lose_permille\":0}");
  CU_ASSERT (cluster_wait_converged (&cluster, CONVERGENCE_LIMIT_MS));
  CU_ASSERT_EQUAL (accepted_since (offset), n);
  CU_ASSERT_EQUAL (deadline_shown (2), 2000 + n - 1);
}

/* Appends lose their response after they took effect and the log is slow, so that the fleetd must
 * search the log for the records: none is applied twice and no acknowledged one is missing. */
static void
test_lost_and_silent (void)
{
  int64_t offset = cluster_offset (&cluster, 0);
  int64_t lost = metric_sum ("sesamepick_fleetd_appends_lost_total");
  unsigned n_ok = 0;

  for (unsigned i = 0; i < 4; i++)
    {
      cluster_set_platform_faults (&cluster, "{\"lose_next\":2,\"log_slow_ms\":700}");
      n_ok += cluster_declare (&cluster, i % 3, 3000 + i) == 200;
      cluster_set_platform_faults (&cluster, "{\"lose_next\":0,\"log_slow_ms\":0}");
      test_sleep_ms (800);
    }
  CU_ASSERT (cluster_wait_converged (&cluster, CONVERGENCE_LIMIT_MS));
  CU_ASSERT_EQUAL (accepted_since (offset), n_ok);
  CU_ASSERT (metric_sum ("sesamepick_fleetd_appends_lost_total") > lost);
}

/* Reads that return entries twice have no effect. */
static void
test_duplicate_reads (void)
{
  int64_t offset = cluster_offset (&cluster, 0);

  cluster_set_platform_faults (&cluster, "{\"duplicate_permille\":1000}");
  for (unsigned i = 0; i < 5; i++)
    CU_ASSERT_EQUAL (cluster_declare (&cluster, i % 3, 4000 + i), 200);
  CU_ASSERT (cluster_wait_converged (&cluster, CONVERGENCE_LIMIT_MS));
  cluster_set_platform_faults (&cluster, "{\"duplicate_permille\":0}");
  CU_ASSERT_EQUAL (accepted_since (offset), 5);
}

/* A slow log delays changes but loses none. */
static void
test_slow (void)
{
  cluster_set_platform_faults (&cluster, "{\"log_slow_ms\":150}");
  for (unsigned i = 0; i < 3; i++)
    CU_ASSERT_EQUAL (cluster_declare (&cluster, i, 5000 + i), 200);
  cluster_set_platform_faults (&cluster, "{\"log_slow_ms\":0}");
  CU_ASSERT (cluster_wait_converged (&cluster, CONVERGENCE_LIMIT_MS));
  CU_ASSERT_EQUAL (deadline_shown (0), 5002);
}

/* Returns whether the number of fleetds that can reach the log is the expected one. */
static bool
reachable_fleetds_count_is (void *ctx)
{
  return metric_sum ("sesamepick_fleetd_log_reachable") == *(int64_t *) ctx;
}

/* While the log is down, changes are rejected immediately with 503, the state is still served, and
 * no rejected change takes effect later. */
static void
check_outage (const char *fault)
{
  int64_t none = 0;
  int64_t all = cluster.n_fleetds;
  int64_t offset = cluster_offset (&cluster, 0);
  int64_t start_ms;
  struct reply reply;

  cluster_set_platform_faults (&cluster, fault);
  CU_ASSERT (test_wait (reachable_fleetds_count_is, &none, 5000));
  start_ms = test_now_ms ();
  reply = cluster_call (&cluster, 1, "POST", "/v1/declarations", "{\"declarations\":[]}");
  CU_ASSERT (test_now_ms () - start_ms < REJECTION_LIMIT_MS);
  CU_ASSERT_EQUAL (reply.status, 503);
  CU_ASSERT_STRING_EQUAL (reply_text (&reply, "detail"), "platform unavailable, try later");
  reply_clear (&reply);
  CU_ASSERT_EQUAL (cluster_declare (&cluster, 0, 9999), 503);
  CU_ASSERT (deadline_shown (2) != 9999);
  CU_ASSERT (cluster_wait_ready (&cluster, 2, 1000));
  cluster_set_platform_faults (&cluster, "{\"log\":\"up\"}");
  CU_ASSERT (test_wait (reachable_fleetds_count_is, &all, 5000));
  CU_ASSERT_EQUAL (accepted_since (offset), 0);
  CU_ASSERT_EQUAL (cluster_declare (&cluster, 0, 6001), 200);
  CU_ASSERT (cluster_wait_converged (&cluster, CONVERGENCE_LIMIT_MS));
  CU_ASSERT_EQUAL (accepted_since (offset), 1);
}

/* An outage in which the log rejects requests. */
static void
test_down (void)
{
  check_outage ("{\"log\":\"down\"}");
}

/* An outage in which the log does not respond. */
static void
test_silent (void)
{
  check_outage ("{\"log\":\"silent\"}");
}

static const struct suite_test tests[] = {
  { "declare", test_declare },
  { "lost answers", test_lost_responses },
  { "lost and silent", test_lost_and_silent },
  { "duplicate reads", test_duplicate_reads },
  { "slow", test_slow },
  { "down", test_down },
  { "silent", test_silent },
};

int
main (void)
{
  struct cluster_config config = {
    .block = PORT_BLOCK, .n_fleetds = 3, .n_seats = 6, .n_tools = 3
  };
  int result;

  cluster_init (&cluster, &config);
  result = suite_run ("fleet_log_faults", tests, sizeof tests / sizeof tests[0]);
  cluster_finish (&cluster);
  return result;
}
