#include <glib.h>

#include "lib/jobs/succession.h"
#include "suite.h"

/* Who claims the leadership, and when. */

enum
{
  TIMEOUT_MS = 1300,
  /* Time in which all hosts have read a claim. */
  READ_MS = 100,
};

static struct succession
make_view (void)
{
  return (struct succession){ .led = true,
                              .seen_ms = 10000,
                              .healthy_since_ms = 1000,
                              .timeout_ms = TIMEOUT_MS,
                              .processor_share = 1.0 };
}

/* A leader is left alone until its time-out and the host's own jitter have passed. */
static void
test_timeout (void)
{
  struct succession view = make_view ();

  view.jitter_ms = 200;
  CU_ASSERT_FALSE (succession_is_due (&view, 10000 + TIMEOUT_MS + 200));
  CU_ASSERT (succession_is_due (&view, 10000 + TIMEOUT_MS + 201));
}

/* A host that can't read does not claim, and counts the silence from its first good read on. */
static void
test_blind (void)
{
  struct succession view = make_view ();

  view.healthy_since_ms = 0;
  CU_ASSERT_FALSE (succession_is_due (&view, 100000));
  view.healthy_since_ms = 99000;
  CU_ASSERT_FALSE (succession_is_due (&view, 100000));
  CU_ASSERT (succession_is_due (&view, 99000 + TIMEOUT_MS + 1));
}

/* A slow store holds up heartbeats: the leader gets longer, up to two seconds. */
static void
test_slow_store (void)
{
  struct succession view = make_view ();

  view.append_ms = 240;
  CU_ASSERT_EQUAL (succession_wait_ms (&view), TIMEOUT_MS + 960);
  view.append_ms = 5000;
  CU_ASSERT_EQUAL (succession_wait_ms (&view), TIMEOUT_MS + 2000);
}

/* After a resignation, and where nobody has led, no time-out is waited for. */
static void
test_vacant (void)
{
  struct succession view = make_view ();

  view.jitter_ms = 300;
  view.resigned = true;
  CU_ASSERT_EQUAL (succession_wait_ms (&view), 60);
  view.resigned = false;
  view.led = false;
  CU_ASSERT_EQUAL (succession_wait_ms (&view), 300);
}

/* Hosts with little processor time leave the leadership to strong ones (derwent-claims-grown, where
 * 35 of 45 hosts have 0.12 of a core): the first claim is a strong host's in all but a few
 * successions, and where all are weak one still comes in time. */
static void
test_strong_hosts_lead (void)
{
  enum
  {
    ROUNDS = 1000,
    STRONG = 10,
    WEAK = 35,
  };
  g_autoptr (GRand) random = g_rand_new_with_seed (1);
  unsigned by_strong = 0;

  for (unsigned round = 0; round < ROUNDS; round++)
    {
      int64_t first_ms[2] = { INT64_MAX, INT64_MAX };

      for (unsigned i = 0; i < STRONG + WEAK; i++)
        {
          struct succession view = make_view ();
          bool strong = i < STRONG;

          view.processor_share = strong ? 0.5 : 0.12;
          view.jitter_ms = g_rand_int_range (random, 0, SUCCESSION_JITTER_MS);
          first_ms[strong] = MIN (first_ms[strong], succession_wait_ms (&view));
        }
      by_strong += first_ms[true] < first_ms[false];
      CU_ASSERT (first_ms[false] <= TIMEOUT_MS + 250 + SUCCESSION_JITTER_MS);
    }
  CU_ASSERT (by_strong >= ROUNDS * 95 / 100);
}

/* Seven hosts of the same kind: seldom more than a few claim before the first claim is read. */
static void
test_few_claims (void)
{
  enum
  {
    ROUNDS = 1000,
    HOSTS = 7,
  };
  g_autoptr (GRand) random = g_rand_new_with_seed (1);
  unsigned claims = 0;

  for (unsigned round = 0; round < ROUNDS; round++)
    {
      int64_t waits[HOSTS];
      int64_t first_ms = INT64_MAX;

      for (unsigned i = 0; i < HOSTS; i++)
        {
          struct succession view = make_view ();

          view.jitter_ms = g_rand_int_range (random, 0, SUCCESSION_JITTER_MS);
          waits[i] = succession_wait_ms (&view);
          first_ms = MIN (first_ms, waits[i]);
        }
      for (unsigned i = 0; i < HOSTS; i++)
        claims += waits[i] < first_ms + READ_MS;
    }
  CU_ASSERT (claims <= 4 * ROUNDS);
}

static const struct suite_test tests[] = {
  { "timeout", test_timeout },
  { "blind", test_blind },
  { "slow store", test_slow_store },
  { "vacant", test_vacant },
  { "strong hosts lead", test_strong_hosts_lead },
  { "few claims", test_few_claims },
};

int
main (void)
{
  return suite_run ("succession", tests, sizeof tests / sizeof tests[0]);
}
