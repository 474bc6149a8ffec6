#include <string.h>

#include "config_state.h"
#include "suite.h"

/* Age of the configuration, and its exchange over a link whose messages are delayed. Each side has
 * a clock of its own. */

enum
{
  LEADER_AHEAD_MS = 70000,
  READ_MS = 1000,
  PING_MS = 500,
  DELAY_MS = 20000,
};

/* One end of the link. */
struct end
{
  struct config_state state;
  struct config_peer peer;
  unsigned n_records;
};

static struct end leader;
static struct end relay;

/* Puts a record in force whose text is its version. */
static void
end_on_record (void *ctx, const void *data, size_t len)
{
  struct end *end = ctx;
  g_autofree char *text = g_strndup (data, len);

  end->n_records++;
  config_state_replace (&end->state, g_ascii_strtoll (text, NULL, 10), data, len,
                        end->peer.heard_ms);
}

static void
end_learn (struct end *end, const char *version, int64_t now_ms)
{
  config_state_replace (&end->state, g_ascii_strtoll (version, NULL, 10), version, strlen (version),
                        now_ms);
}

static void
begin (void)
{
  leader = (struct end){ .state = { .on_record = end_on_record, .ctx = &leader } };
  relay = (struct end){ .state = { .on_record = end_on_record, .ctx = &relay } };
}

static void
end (void)
{
  config_state_clear (&leader.state);
  config_state_clear (&relay.state);
}

/* Sends batch n at a time, and the relay's response at once; times are on the relay's clock. heard
 * is the last batch whose acknowledgement the leader has received. */
static void
ping (uint64_t n, uint64_t heard, int64_t now_ms)
{
  struct config_notice notice =
      config_peer_prepare (&leader.peer, &leader.state, now_ms + LEADER_AHEAD_MS);

  config_peer_sent (&leader.peer, n, now_ms + LEADER_AHEAD_MS);
  config_peer_received (&relay.peer, &relay.state, &notice, heard, now_ms);
  notice = config_peer_prepare (&relay.peer, &relay.state, now_ms);
  config_peer_sent (&relay.peer, n, now_ms);
  config_peer_received (&leader.peer, &leader.state, &notice, n, now_ms + LEADER_AHEAD_MS);
}

/* A version is confirmed by what was read of it or of older ones, and a lower one never replaces
 * it. */
static void
test_state (void)
{
  begin ();
  CU_ASSERT_EQUAL (config_state_age_ms (&leader.state, READ_MS), INT64_MAX);
  config_state_confirm (&leader.state, 7, READ_MS);
  CU_ASSERT_EQUAL (config_state_age_ms (&leader.state, READ_MS), INT64_MAX);
  end_learn (&leader, "7", READ_MS);
  config_state_confirm (&leader.state, 8, READ_MS + 1);
  CU_ASSERT_EQUAL (config_state_age_ms (&leader.state, READ_MS + 1), INT64_MAX);
  config_state_confirm (&leader.state, 6, READ_MS);
  CU_ASSERT_EQUAL (config_state_age_ms (&leader.state, READ_MS + DELAY_MS), DELAY_MS);
  config_state_confirm (&leader.state, 7, READ_MS - 1);
  CU_ASSERT_EQUAL (config_state_age_ms (&leader.state, READ_MS), 0);
  end_learn (&leader, "6", READ_MS);
  CU_ASSERT_EQUAL (leader.state.version, 7);
  end ();
}

/* A restarted host doesn't take a version for the newest that a leader without the store has last
 * confirmed before the start: the host may have served a newer one. */
static void
test_restarted_relay (void)
{
  begin ();
  relay.state.begun_ms = READ_MS + PING_MS;
  end_learn (&leader, "7", READ_MS + LEADER_AHEAD_MS);
  config_state_confirm (&leader.state, 7, READ_MS + LEADER_AHEAD_MS);
  for (unsigned n = 1; n < 5; n++)
    ping (n, n - 1, READ_MS + n * PING_MS);
  CU_ASSERT_EQUAL (relay.state.version, 7);
  CU_ASSERT_EQUAL (config_state_age_ms (&relay.state, READ_MS + DELAY_MS), INT64_MAX);
  config_state_confirm (&leader.state, 7, READ_MS + 5 * PING_MS + LEADER_AHEAD_MS);
  ping (5, 4, READ_MS + 5 * PING_MS);
  CU_ASSERT_EQUAL (config_state_age_ms (&relay.state, READ_MS + 5 * PING_MS), PING_MS);
  end ();
}

/* A host that the store rejects learns version and age from the leader, whatever the clocks show.
 */
static void
test_relay_without_store (void)
{
  begin ();
  end_learn (&leader, "7", READ_MS + LEADER_AHEAD_MS);
  for (unsigned n = 0; n < 5; n++)
    {
      config_state_confirm (&leader.state, 7, READ_MS + n * PING_MS + LEADER_AHEAD_MS);
      ping (n + 1, n, READ_MS + n * PING_MS);
    }
  CU_ASSERT_EQUAL (relay.state.version, 7);
  CU_ASSERT_EQUAL (relay.n_records, 1);
  CU_ASSERT_EQUAL (leader.n_records, 0);
  CU_ASSERT_EQUAL (config_state_age_ms (&relay.state, READ_MS + 4 * PING_MS), PING_MS);
  end ();
}

/* The same for a leader that the store rejects. */
static void
test_leader_without_store (void)
{
  begin ();
  end_learn (&relay, "8", READ_MS);
  end_learn (&leader, "7", READ_MS);
  for (unsigned n = 0; n < 4; n++)
    {
      config_state_confirm (&relay.state, 8, READ_MS + n * PING_MS);
      ping (n + 1, n, READ_MS + n * PING_MS);
    }
  CU_ASSERT_EQUAL (leader.state.version, 8);
  CU_ASSERT_EQUAL (leader.n_records, 1);
  CU_ASSERT_EQUAL (config_state_age_ms (&leader.state, READ_MS + 3 * PING_MS + LEADER_AHEAD_MS), 0);
  end ();
}

/* A batch arrives long after it was sent, on the way or because the receiver stood still. Counted
 * from its arrival, a version that was replaced meanwhile would look fresh. */
static void
test_delayed_batch (void)
{
  struct config_notice notice;

  begin ();
  end_learn (&leader, "7", READ_MS + LEADER_AHEAD_MS);
  end_learn (&relay, "7", READ_MS);
  config_state_confirm (&leader.state, 7, READ_MS + LEADER_AHEAD_MS);
  ping (1, 0, READ_MS);
  notice = config_peer_prepare (&leader.peer, &leader.state, READ_MS + LEADER_AHEAD_MS);
  config_peer_received (&relay.peer, &relay.state, &notice, 1, READ_MS + DELAY_MS);
  CU_ASSERT_EQUAL (config_state_age_ms (&relay.state, READ_MS + DELAY_MS), DELAY_MS);
  /* A second one like it answers nothing new. */
  config_peer_received (&relay.peer, &relay.state, &notice, 1, READ_MS + DELAY_MS);
  CU_ASSERT_EQUAL (config_state_age_ms (&relay.state, READ_MS + DELAY_MS), DELAY_MS);
  end ();
}

/* The record isn't sent again before the peer had time to take it, nor to a peer that is silent or
 * may still read it itself. */
static void
test_record_is_rare (void)
{
  struct config_notice old = { .version = 7 };
  int64_t learned_ms = READ_MS;
  int64_t heard_ms = learned_ms + CONFIG_RECORD_DELAY_MS;

  begin ();
  end_learn (&leader, "8", learned_ms);
  CU_ASSERT_EQUAL (config_peer_prepare (&leader.peer, &leader.state, heard_ms).record_len, 0);
  config_peer_received (&leader.peer, &leader.state, &old, 0, heard_ms - 1);
  CU_ASSERT_EQUAL (config_peer_prepare (&leader.peer, &leader.state, heard_ms).record_len, 0);
  config_peer_received (&leader.peer, &leader.state, &old, 0, heard_ms);
  CU_ASSERT_EQUAL (config_peer_prepare (&leader.peer, &leader.state, heard_ms).record_len, 1);
  config_peer_received (&leader.peer, &leader.state, &old, 0, heard_ms + 1);
  CU_ASSERT_EQUAL (
      config_peer_prepare (&leader.peer, &leader.state, heard_ms + PING_MS - 1).record_len, 0);
  CU_ASSERT_EQUAL (config_peer_prepare (&leader.peer, &leader.state, heard_ms + PING_MS).record_len,
                   1);
  CU_ASSERT_EQUAL (
      config_peer_prepare (&leader.peer, &leader.state, heard_ms + DELAY_MS).record_len, 0);
  end ();
}

static const struct suite_test tests[] = {
  { "state", test_state },
  { "relay without store", test_relay_without_store },
  { "restarted relay", test_restarted_relay },
  { "leader without store", test_leader_without_store },
  { "delayed batch", test_delayed_batch },
  { "record is rare", test_record_is_rare },
};

int
main (void)
{
  return suite_run ("config_state", tests, G_N_ELEMENTS (tests));
}
