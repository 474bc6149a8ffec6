#include <glib.h>
#include <stdio.h>

#include "lib/jobs/host_command_lease.h"
#include "suite.h"

/* Host commands on a platform that doesn't check fencing tokens: a hunt saw a former leader's
 * command carried out 147 ms after the first one of its successor. */

enum
{
  ROUNDS = 20000,
  HEARTBEAT_INTERVAL_MS = 350,
  LEADER_TIMEOUT_MS = 1300,
  STEP_MS = 20,
  RUN_MS = 8000,
};

/* A leader that loses contact with the store or freezes, and its successor. All times are ms since
 * the former leader's last durable record was sent. */
struct succession
{
  int64_t read_ms;
  int64_t claim_ms;
  int64_t freeze_begin_ms;
  int64_t freeze_end_ms;
};

static struct succession
draw_succession (GRand *random)
{
  struct succession drawn = { 0 };

  drawn.read_ms = g_rand_int_range (random, 5, 400);
  drawn.claim_ms = drawn.read_ms + LEADER_TIMEOUT_MS + g_rand_int_range (random, 0, 300);
  drawn.freeze_begin_ms = g_rand_int_range (random, 0, 1500);
  drawn.freeze_end_ms = drawn.freeze_begin_ms + g_rand_int_range (random, 0, 4000);
  return drawn;
}

/* Returns when the last command of the former leader is carried out at the latest. */
static int64_t
last_former_command_ms (const struct succession *succession, bool tokens_checked)
{
  struct host_command_lease former = { .tokens_checked = tokens_checked };
  int64_t last_ms = 0;

  for (int64_t now_ms = 0; now_ms < RUN_MS; now_ms += STEP_MS)
    {
      bool frozen = now_ms >= succession->freeze_begin_ms && now_ms < succession->freeze_end_ms;

      if (!frozen && host_command_lease_is_held (&former, now_ms))
        last_ms = now_ms + host_command_timeout_ms (tokens_checked);
    }
  return last_ms;
}

/* Returns when the successor sends its first command. */
static int64_t
first_successor_command_ms (const struct succession *succession, bool tokens_checked)
{
  struct host_command_lease successor = { .tokens_checked = tokens_checked,
                                          .former_seen_ms = succession->read_ms };
  int64_t now_ms;

  for (now_ms = succession->claim_ms;; now_ms += STEP_MS)
    {
      successor.renewed_ms = now_ms - now_ms % HEARTBEAT_INTERVAL_MS;
      if (host_command_lease_is_held (&successor, now_ms))
        return now_ms;
    }
}

/* Whatever the delays and pauses, the former leader's commands have ended before the successor's
 * first one, and the successor is held up for less than a second after its claim. */
static void
test_leaders_do_not_overlap (void)
{
  g_autoptr (GRand) random = g_rand_new_with_seed (19);
  unsigned overlaps = 0;
  unsigned overlaps_with_tokens = 0;
  int64_t longest_ms = 0;

  for (unsigned i = 0; i < ROUNDS; i++)
    {
      struct succession drawn = draw_succession (random);
      int64_t first_ms = first_successor_command_ms (&drawn, false);

      overlaps += last_former_command_ms (&drawn, false) >= first_ms;
      overlaps_with_tokens +=
          last_former_command_ms (&drawn, true) >= first_successor_command_ms (&drawn, true);
      longest_ms = MAX (longest_ms, first_ms - drawn.claim_ms);
    }
  CU_ASSERT_EQUAL (overlaps, 0);
  CU_ASSERT (longest_ms < 1000);
  /* The lease for platforms that check tokens would not keep the two apart. */
  CU_ASSERT (overlaps_with_tokens > 0);
}

/* A leader whose records don't become durable stops sending, and continues with the next one. */
static void
test_lease_ends_without_renewal (void)
{
  struct host_command_lease lease = { .renewed_ms = 1000 };

  CU_ASSERT (host_command_lease_is_held (&lease, 1000 + HOST_COMMAND_LEASE_MS - 1));
  CU_ASSERT_FALSE (host_command_lease_is_held (&lease, 1000 + HOST_COMMAND_LEASE_MS));
  lease.renewed_ms = 2000;
  CU_ASSERT (host_command_lease_is_held (&lease, 2000));
}

/* A leader that is lost, and one that takes over and resigns at once: the third still waits for the
 * commands of the first. After two resignations nobody waits. */
static void
test_resignation (void)
{
  struct host_command_lease lease = { .renewed_ms = 5000 };

  host_command_lease_observe (&lease, 1, false, 3400);
  host_command_lease_observe (&lease, 2, false, 4900);
  host_command_lease_observe (&lease, 2, true, 4950);
  CU_ASSERT_EQUAL (lease.former_seen_ms, 3400);
  CU_ASSERT_FALSE (host_command_lease_is_held (&lease, 5000));
  CU_ASSERT (host_command_lease_is_held (&lease, 5600));
  host_command_lease_observe (&lease, 3, false, 9000);
  host_command_lease_observe (&lease, 3, true, 9100);
  lease.renewed_ms = 9200;
  CU_ASSERT (host_command_lease_is_held (&lease, 9200));
  lease = (struct host_command_lease){ .renewed_ms = 5000 };
  host_command_lease_observe (&lease, 1, true, 4900);
  CU_ASSERT (host_command_lease_is_held (&lease, 5000));
}

/* Where tokens are checked, and without a former leader, the leader sends at once. */
static void
test_no_wait (void)
{
  struct host_command_lease lease = { .renewed_ms = 5000, .former_seen_ms = 4900 };

  CU_ASSERT_FALSE (host_command_lease_is_held (&lease, 5000));
  lease.tokens_checked = true;
  CU_ASSERT (host_command_lease_is_held (&lease, 5000));
  lease.tokens_checked = false;
  lease.former_seen_ms = 0;
  CU_ASSERT (host_command_lease_is_held (&lease, 5000));
}

int
main (void)
{
  static const struct suite_test tests[] = {
    { "leaders do not overlap", test_leaders_do_not_overlap },
    { "lease ends without renewal", test_lease_ends_without_renewal },
    { "resignation", test_resignation },
    { "no wait", test_no_wait },
  };

  return suite_run ("host command lease", tests, G_N_ELEMENTS (tests));
}
