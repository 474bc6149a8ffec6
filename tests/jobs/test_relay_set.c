#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "lib/jobs/relay_set.h"
#include "suite.h"

/* Which entry host sends the commands for an endpoint: the load of a fleet whose queues ask for up
 * to 4,900 starts a second in one pool, which no single host can send. */

enum
{
  RELAYS = 147,
  ENDPOINTS = 1100,
  NAME_BYTES = 32,
};

/* Creates a set of n relays that respond. */
static void
make_set (struct relay_set *set, unsigned n)
{
  relay_set_init (set);
  for (unsigned i = 0; i < n; i++)
    {
      char name[NAME_BYTES];
      struct relay *relay;

      snprintf (name, sizeof name, "host-%u", i);
      relay = relay_set_add (set, name, "127.0.0.1:1");
      relay_batch_acked (set, relay, relay_batch_sent (relay, 1000), 1005);
    }
}

/* Chooses the relay of an endpoint. */
static struct relay *
choose (const struct relay_set *set, struct relay_route *route, unsigned endpoint)
{
  char name[NAME_BYTES];

  snprintf (name, sizeof name, "endpoint-%u", endpoint);
  return relay_set_choose (set, route, name);
}

/* One pool at its peak, 266 endpoints: no relay has more than a twenty-fifth of its commands. */
static void
test_peak_of_one_pool_is_spread (void)
{
  enum
  {
    POOL = 266,
  };
  struct relay_set set;
  unsigned most = 0;
  GHashTable *counts = g_hash_table_new (g_direct_hash, g_direct_equal);

  make_set (&set, RELAYS);
  for (unsigned i = 0; i < POOL; i++)
    {
      struct relay_route route = { 0 };
      struct relay *relay = choose (&set, &route, i);
      unsigned n = GPOINTER_TO_UINT (g_hash_table_lookup (counts, relay)) + 1;

      g_hash_table_insert (counts, relay, GUINT_TO_POINTER (n));
      most = MAX (most, n);
    }
  CU_ASSERT (most <= POOL / 25);
  g_hash_table_destroy (counts);
  relay_set_finish (&set);
}

/* A relay doesn't acknowledge a batch: its endpoints get other relays, all others keep theirs. It
 * is used again only after it has responded for a while, and then has its endpoints back. */
static void
test_only_the_endpoints_of_a_lost_relay_move (void)
{
  struct relay_set set;
  struct relay_route routes[ENDPOINTS] = { 0 };
  struct relay *before[ENDPOINTS];
  struct relay *lost;
  unsigned moved = 0;

  make_set (&set, RELAYS);
  lost = TAILQ_FIRST (&set.relays);
  for (unsigned i = 0; i < ENDPOINTS; i++)
    before[i] = choose (&set, &routes[i], i);
  relay_batch_sent (lost, 2000);
  CU_ASSERT_PTR_NULL (relay_set_tick (&set, 2000 + RELAY_ACK_TIMEOUT_MS));
  CU_ASSERT_PTR_EQUAL (relay_set_tick (&set, 2001 + RELAY_ACK_TIMEOUT_MS), lost);
  CU_ASSERT_PTR_NULL (relay_set_tick (&set, 2001 + RELAY_ACK_TIMEOUT_MS));
  for (unsigned i = 0; i < ENDPOINTS; i++)
    {
      struct relay *now = choose (&set, &routes[i], i);

      CU_ASSERT_PTR_NOT_EQUAL (now, lost);
      CU_ASSERT (now == before[i] || before[i] == lost);
      moved += now != before[i];
    }
  CU_ASSERT (moved > 0 && moved <= ENDPOINTS / 50);

  relay_batch_acked (&set, lost, lost->sent_sequence, 3000);
  CU_ASSERT_EQUAL (set.n_used, RELAYS - 1);
  relay_batch_sent (lost, 3000 + RELAY_RETURN_MS);
  relay_batch_acked (&set, lost, lost->sent_sequence, 3000 + RELAY_RETURN_MS);
  CU_ASSERT_EQUAL (set.n_used, RELAYS);
  for (unsigned i = 0; i < ENDPOINTS; i++)
    CU_ASSERT_PTR_EQUAL (choose (&set, &routes[i], i), before[i]);
  relay_set_finish (&set);
}

/* A relay that acknowledges late but steadily, as with a share of the processor that is used up,
 * stays; one that stops responding while it returns has to start again. */
static void
test_slow_relay_stays (void)
{
  struct relay_set set;
  struct relay *relay;

  make_set (&set, 1);
  relay = TAILQ_FIRST (&set.relays);
  for (int64_t now_ms = 2000; now_ms < 4000; now_ms += 20)
    {
      relay_batch_sent (relay, now_ms);
      if (now_ms >= 2200)
        relay_batch_acked (&set, relay, relay->sent_sequence - 10, now_ms);
      CU_ASSERT_PTR_NULL (relay_set_tick (&set, now_ms));
    }
  CU_ASSERT_PTR_EQUAL (relay_set_tick (&set, 4400), relay);
  relay_batch_acked (&set, relay, relay->sent_sequence, 5000);
  relay_batch_sent (relay, 5100);
  CU_ASSERT_PTR_NULL (relay_set_tick (&set, 5500));
  relay_batch_acked (&set, relay, relay->sent_sequence, 5000 + RELAY_RETURN_MS);
  CU_ASSERT_EQUAL (set.n_used, 0);
  relay_set_finish (&set);
}

/* A host that is about to stop gets no more commands, though it still responds, until its next
 * process is there. */
static void
test_stopping_relay (void)
{
  struct relay_set set;
  struct relay_route route = { 0 };
  struct relay *relay;

  make_set (&set, 2);
  relay = choose (&set, &route, 1);
  relay_set_stopping (&set, relay, true);
  CU_ASSERT_PTR_NOT_EQUAL (choose (&set, &route, 1), relay);
  relay_batch_acked (&set, relay, relay_batch_sent (relay, 2000), 2005);
  CU_ASSERT_PTR_NOT_EQUAL (choose (&set, &route, 1), relay);
  CU_ASSERT_PTR_NULL (relay_set_tick (&set, 2400));
  relay_set_stopping (&set, relay, false);
  relay_batch_acked (&set, relay, relay_batch_sent (relay, 5000), 5005);
  CU_ASSERT_PTR_EQUAL (choose (&set, &route, 1), relay);
  relay_set_finish (&set);
}

/* A relay that responds but doesn't reach an endpoint: the endpoint gets other relays. */
static void
test_detour (void)
{
  struct relay_set set;
  struct relay_route route = { 0 };
  struct relay *first;
  unsigned others = 0;

  make_set (&set, 20);
  first = choose (&set, &route, 1);
  for (unsigned i = 0; i < 20; i++)
    {
      relay_route_failed (&route);
      others += choose (&set, &route, 1) != first;
    }
  CU_ASSERT (others >= 15);
  relay_set_finish (&set);
}

/* Without relays nothing is chosen; a host with a new address is a new relay. */
static void
test_changes (void)
{
  struct relay_set set;
  struct relay_route route = { 0 };
  struct relay *relay;

  make_set (&set, 0);
  CU_ASSERT_PTR_NULL (choose (&set, &route, 1));
  relay = relay_set_add (&set, "a", "127.0.0.1:1");
  CU_ASSERT_PTR_NULL (choose (&set, &route, 1));
  relay_batch_acked (&set, relay, relay_batch_sent (relay, 1000), 1001);
  CU_ASSERT_PTR_EQUAL (choose (&set, &route, 1), relay);
  CU_ASSERT_PTR_EQUAL (relay_set_add (&set, "a", "127.0.0.1:1"), relay);
  relay = relay_set_add (&set, "a", "127.0.0.1:2");
  CU_ASSERT_PTR_NULL (choose (&set, &route, 1));
  relay_batch_acked (&set, relay, relay_batch_sent (relay, 1000), 1001);
  CU_ASSERT_STRING_EQUAL (choose (&set, &route, 1)->address, "127.0.0.1:2");
  relay_set_finish (&set);
}

int
main (void)
{
  static const struct suite_test tests[] = {
    { "peak of one pool is spread", test_peak_of_one_pool_is_spread },
    { "only the endpoints of a lost relay move", test_only_the_endpoints_of_a_lost_relay_move },
    { "slow relay stays", test_slow_relay_stays },
    { "stopping relay", test_stopping_relay },
    { "detour", test_detour },
    { "changes", test_changes },
  };

  return suite_run ("relay set", tests, G_N_ELEMENTS (tests));
}
