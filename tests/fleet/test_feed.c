#include <string.h>

#include "cluster.h"
#include "subscribers.h"
#include "suite.h"

/* The feed to subscribers: changes, hints of leaving hosts, and outages of the log. */

enum
{
  PORT_BLOCK = 3,
  FLEETDS = 5,
  SEATS = 6,
  TOOLS = 3,
  PROPAGATION_LIMIT_MS = 5000,
  HINT_LIMIT_MS = 3000,
  SUBSCRIBER_DROP_LIMIT_MS = 7000,
  CHANGES = 40,
};

static struct cluster cluster;
static struct subscribers subscribers;

/* Each accepted change reaches every subscriber within 5 s, whichever fleetd accepted it, and no
 * subscriber is ever sent an older table. */
static void
test_in_force (void)
{
  for (unsigned k = 0; k < CHANGES; k++)
    {
      CU_ASSERT_EQUAL (cluster_declare (&cluster, k % FLEETDS, 1000 + k), 200);
      CU_ASSERT (subscribers_wait_deadline (&subscribers, 1000 + k, PROPAGATION_LIMIT_MS));
    }
  for (unsigned i = 0; i < FLEETDS; i++)
    CU_ASSERT_EQUAL (subscribers.each[i].n_workers, SEATS);
  CU_ASSERT_EQUAL (subscribers_count_older_tables (&subscribers), 0);
}

/* Returns whether all subscribers have received the hint. */
static bool
all_have_hint (void *ctx)
{
  const struct subscribers *all = ctx;

  for (unsigned i = 0; i < all->n; i++)
    {
      if (strcmp (all->each[i].hinted_host, "h2") != 0)
        return false;
    }
  return true;
}

/* Returns whether all subscribers have a table with one worker less. */
static bool
all_lack_leaving_worker (void *ctx)
{
  const struct subscribers *all = ctx;

  for (unsigned i = 0; i < all->n; i++)
    {
      if (all->each[i].n_workers != SEATS - 1)
        return false;
    }
  return true;
}

/* When the host list shows a host as leaving, all subscribers receive a hint immediately, even
 * while the log is slow, and the updated table later. */
static void
test_leaving (void)
{
  int64_t start_ms;

  cluster_set_platform_faults (&cluster, "{\"log_slow_ms\":400}");
  cluster_set_platform_faults (&cluster, "{\"host\":{\"name\":\"h2\",\"presence\":\"leaving\"}}");
  start_ms = test_now_ms ();
  CU_ASSERT (subscribers_run (&subscribers, all_have_hint, &subscribers, HINT_LIMIT_MS));
  CU_ASSERT (
      subscribers_run (&subscribers, all_lack_leaving_worker, &subscribers, PROPAGATION_LIMIT_MS));
  for (unsigned i = 0; i < FLEETDS; i++)
    {
      CU_ASSERT (subscribers.each[i].hint_received_ms - start_ms < HINT_LIMIT_MS);
      CU_ASSERT (subscribers.each[i].hint_received_ms < subscribers.each[i].table_received_ms);
    }
  cluster_set_platform_faults (&cluster, "{\"log_slow_ms\":0}");
}

/* While the log is down, heartbeats continue and a new subscriber receives the table. */
static void
test_log_down (void)
{
  struct subscribers late;
  uint32_t deadline_ms = 1000 + CHANGES - 1;

  cluster_set_platform_faults (&cluster, "{\"log\":\"down\"}");
  subscribers_init (&late, subscribers.loop, &cluster);
  CU_ASSERT (subscribers_wait_deadline (&late, deadline_ms, PROPAGATION_LIMIT_MS));
  late.each[0].n_heartbeats = 0;
  subscribers_run (&late, NULL, NULL, 1500);
  CU_ASSERT (late.each[0].n_heartbeats >= 3);
  subscribers_finish (&late);
  cluster_set_platform_faults (&cluster, "{\"log\":\"up\"}");
  CU_ASSERT (cluster_wait_log_reachable (&cluster, PROPAGATION_LIMIT_MS));
  CU_ASSERT_EQUAL (cluster_declare (&cluster, 1, 2000), 200);
  CU_ASSERT (subscribers_wait_deadline (&subscribers, 2000, PROPAGATION_LIMIT_MS));
  CU_ASSERT_EQUAL (subscribers_count_older_tables (&subscribers), 0);
}

/* Returns whether the first fleetd has no subscribers left. */
static bool
first_fleetd_has_no_subscribers (void *ctx)
{
  g_autofree char *url = cluster_admin_url (ctx, 0);

  return fetch_metric (url, "sesamepick_fleetd_feed_subscribers") == 0;
}

/* An unresponsive subscriber is dropped, and receives tables again once it resubscribes. */
static void
test_silent_subscriber (void)
{
  CU_ASSERT_FALSE (first_fleetd_has_no_subscribers (&cluster));
  CU_ASSERT (test_wait (first_fleetd_has_no_subscribers, &cluster, SUBSCRIBER_DROP_LIMIT_MS));
  CU_ASSERT_EQUAL (cluster_declare (&cluster, 2, 2001), 200);
  CU_ASSERT (subscribers_wait_deadline (&subscribers, 2001, PROPAGATION_LIMIT_MS));
}

static const struct suite_test tests[] = {
  { "in force", test_in_force },
  { "leaving", test_leaving },
  { "log down", test_log_down },
  { "silent subscriber", test_silent_subscriber },
};

int
main (void)
{
  struct cluster_config config = {
    .block = PORT_BLOCK, .n_fleetds = FLEETDS, .n_seats = SEATS, .n_tools = TOOLS
  };
  int result;

  cluster_init (&cluster, &config);
  subscribers_init (&subscribers, ev_default_loop (0), &cluster);
  result = suite_run ("fleet_feed", tests, sizeof tests / sizeof tests[0]);
  subscribers_finish (&subscribers);
  cluster_finish (&cluster);
  return result;
}
