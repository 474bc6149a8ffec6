#include <stdio.h>
#include <string.h>

#include "cluster.h"
#include "subscribers.h"
#include "suite.h"

/* Resets, unresponsive connections and a disconnected fleetd, between the fleetds and the
 * platform. */

enum
{
  PORT_BLOCK = 4,
  FLEETDS = 3,
  PROPAGATION_LIMIT_MS = 5000,
  CONVERGENCE_LIMIT_MS = 6000,
  CHANGES = 60,
  CUT_PERIOD_MS = 7,
};

static struct cluster cluster;
static struct subscribers subscribers;

/* Counts the accepted declarations of the operator "tester" after an offset. */
static unsigned
accepted_since (int64_t offset)
{
  struct reply reply = cluster_call (&cluster, 0, "GET", "/v1/audit?limit=1000", NULL);
  const json_t *entries = json_object_get (reply.json, "entries");
  unsigned n = 0;

  for (size_t i = 0; i < json_array_size (entries); i++)
    {
      const json_t *entry = json_array_get (entries, i);

      n += strcmp (json_string_value (json_object_get (entry, "author")), "tester") == 0 &&
           strcmp (json_string_value (json_object_get (entry, "verdict")), "accepted") == 0 &&
           json_integer_value (json_object_get (entry, "offset")) > offset;
    }
  reply_clear (&reply);
  return n;
}

/* Resets all connections to the platform repeatedly, until *stop is set. */
static void *
reset_connections_run (void *ctx)
{
  int *stop = ctx;

  while (!g_atomic_int_get (stop))
    {
      cluster_set_proxy_fault (&cluster, -1, "cut");
      test_sleep_ms (CUT_PERIOD_MS);
    }
  return NULL;
}

/* Connections to the platform are reset repeatedly: an acknowledged change is in the log once, a
 * rejected one never, and one with an unknown result at most once. */
static void
test_cut (void)
{
  int64_t offset = cluster_offset (&cluster, 0);
  int stop = 0;
  GThread *cutter = g_thread_new ("cutter", reset_connections_run, &stop);
  unsigned n_accepted = 0;
  unsigned n_unknown = 0;
  unsigned n_in_audit;

  for (unsigned k = 0; k < CHANGES; k++)
    {
      int status = cluster_declare (&cluster, k % FLEETDS, 1000 + k);

      n_accepted += status == 200;
      n_unknown += status == 504;
      CU_ASSERT (status == 200 || status == 409 || status == 503 || status == 504);
    }
  g_atomic_int_set (&stop, 1);
  g_thread_join (cutter);
  CU_ASSERT (cluster_wait_log_reachable (&cluster, CONVERGENCE_LIMIT_MS));
  CU_ASSERT (cluster_wait_converged (&cluster, CONVERGENCE_LIMIT_MS));
  n_in_audit = accepted_since (offset);
  CU_ASSERT (n_in_audit >= n_accepted && n_in_audit <= n_accepted + n_unknown);
  CU_ASSERT (n_accepted > 0);
  printf ("(%u accepted, %u unknown, %u in the audit) ", n_accepted, n_unknown, n_in_audit);
}

/* All of one fleetd's connections to the platform become unresponsive permanently, while new ones
 * work: a change made at another fleetd still reaches its subscriber within 5 s. */
static void
test_silent (void)
{
  cluster_set_proxy_fault (&cluster, 1, "silent");
  CU_ASSERT_EQUAL (cluster_declare (&cluster, 0, 2000), 200);
  CU_ASSERT (subscribers_wait_deadline (&subscribers, 2000, PROPAGATION_LIMIT_MS));
  CU_ASSERT (cluster_wait_log_reachable (&cluster, CONVERGENCE_LIMIT_MS));
  CU_ASSERT_EQUAL (cluster_declare (&cluster, 1, 2001), 200);
  CU_ASSERT (subscribers_wait_deadline (&subscribers, 2001, PROPAGATION_LIMIT_MS));
  CU_ASSERT_EQUAL (subscribers_count_older_tables (&subscribers), 0);
}

/* One fleetd is disconnected from the platform: it rejects changes but still serves its state, the
 * others continue, and it catches up once it is reconnected. */
static void
test_cut_off (void)
{
  struct reply reply;

  cluster_set_proxy_fault (&cluster, 2, "refuse");
  cluster_set_proxy_fault (&cluster, 2, "cut");
  test_sleep_ms (500);
  CU_ASSERT_EQUAL (cluster_declare (&cluster, 2, 3000), 503);
  CU_ASSERT_EQUAL (cluster_declare (&cluster, 0, 3001), 200);
  reply = cluster_call (&cluster, 2, "GET", "/v1/status", NULL);
  CU_ASSERT_EQUAL (reply.status, 200);
  CU_ASSERT_STRING_EQUAL (reply_text (&reply, "log"), "unreachable");
  reply_clear (&reply);
  cluster_set_proxy_fault (&cluster, 2, "none");
  CU_ASSERT (subscribers_wait_deadline (&subscribers, 3001, PROPAGATION_LIMIT_MS));
  CU_ASSERT (cluster_wait_converged (&cluster, CONVERGENCE_LIMIT_MS));
}

static const struct suite_test tests[] = {
  { "cut", test_cut },
  { "silent", test_silent },
  { "cut off", test_cut_off },
};

int
main (void)
{
  static const char *const args[] = { "--log-wait-ms=1000", "--platform-timeout-ms=2000", NULL };
  struct cluster_config config = { .block = PORT_BLOCK,
                                   .n_fleetds = FLEETDS,
                                   .n_seats = 6,
                                   .n_tools = 3,
                                   .with_proxy = true,
                                   .fleetd_args = args };
  int result;

  cluster_init (&cluster, &config);
  subscribers_init (&subscribers, ev_default_loop (0), &cluster);
  result = suite_run ("fleet_cuts", tests, sizeof tests / sizeof tests[0]);
  subscribers_finish (&subscribers);
  cluster_finish (&cluster);
  return result;
}
