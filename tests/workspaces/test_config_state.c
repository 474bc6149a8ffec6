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
  config_state_replace (&end->state, g_ascii_strtoll (text, NULL, 10), data, len);
}

static void
end_learn (struct end *end, const char *version)
{
  config_state_replace (&end->state, g_ascii_strtoll (version, NULL, 10), version,
                        strlen (version));
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
  end_learn (&leader, "7");
  config_state_confirm (&leader.state, 8, READ_MS + 1);
  CU_ASSERT_EQUAL (config_state_age_ms (&leader.state, READ_MS + 1), INT64_MAX);
  config_state_confirm (&leader.state, 6, READ_MS);
  CU_ASSERT_EQUAL (config_state_age_ms (&leader.state, READ_MS + DELAY_MS), DELAY_MS);
  config_state_confirm (&leader.state, 7, READ_MS - 1);
  CU_ASSERT_EQUAL (config_state_age_ms (&leader.state, READ_MS), 0);
  end_learn (&leader, "6");
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
  end_learn (&leader, "7");
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
  end_learn (&leader, "7");
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
  end_learn (&relay, "8");
  end_learn (&leader, "7");
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
  end_learn (&leader, "7");
  end_learn (&relay, "7");
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

/* The record isn't sent unless it is asked for, nor again before the peer had time to take it, nor
 * to a peer that is silent. */
static void
test_record_is_rare (void)
{
  struct config_notice old = { .version = 7 };
  struct config_notice asks = { .version = 7, .wanted = true };
  int64_t sent_ms = READ_MS + 1;

  begin ();
  end_learn (&leader, "8");
  config_peer_received (&leader.peer, &leader.state, &old, 0, READ_MS);
  CU_ASSERT_EQUAL (config_peer_prepare (&leader.peer, &leader.state, sent_ms).record_len, 0);
  config_peer_received (&leader.peer, &leader.state, &asks, 0, sent_ms);
  CU_ASSERT_EQUAL (config_peer_prepare (&leader.peer, &leader.state, sent_ms).record_len, 1);
  config_peer_received (&leader.peer, &leader.state, &asks, 0, sent_ms + 1);
  CU_ASSERT_EQUAL (
      config_peer_prepare (&leader.peer, &leader.state, sent_ms + PING_MS - 1).record_len, 0);
  CU_ASSERT_EQUAL (config_peer_prepare (&leader.peer, &leader.state, sent_ms + PING_MS).record_len,
                   1);
  CU_ASSERT_EQUAL (config_peer_prepare (&leader.peer, &leader.state, sent_ms + DELAY_MS).record_len,
                   0);
  end ();
}

/* A host doesn't ask for a version that it may still read itself. */
static void
test_asks_late (void)
{
  struct config_notice newer = { .version = 8 };
  int64_t due_ms = READ_MS + CONFIG_RECORD_DELAY_MS;

  begin ();
  end_learn (&leader, "7");
  CU_ASSERT_FALSE (config_peer_prepare (&leader.peer, &leader.state, READ_MS).wanted);
  config_peer_received (&leader.peer, &leader.state, &newer, 0, READ_MS);
  CU_ASSERT_FALSE (config_peer_prepare (&leader.peer, &leader.state, due_ms - 1).wanted);
  CU_ASSERT_TRUE (config_peer_prepare (&leader.peer, &leader.state, due_ms).wanted);
  end_learn (&leader, "8");
  CU_ASSERT_FALSE (config_peer_prepare (&leader.peer, &leader.state, due_ms).wanted);
  end ();
}

enum
{
  N_PEERS = 146,
  RECORD_BYTES = 250000,
};

/* Guards against a host that falls behind with a large configuration and is sent the record by all
 * of its peers at once: its link was full for seconds, and commands waited behind it. */
static void
test_behind_all_peers (void)
{
  struct config_notice newer = { .version = 8 };
  struct config_peer peers[N_PEERS] = { 0 };
  unsigned n_asked = 0;

  begin ();
  end_learn (&leader, "7");
  for (int64_t now_ms = READ_MS; now_ms < READ_MS + 2 * PING_MS; now_ms += PING_MS / 2)
    {
      unsigned n = 0;

      for (unsigned i = 0; i < N_PEERS; i++)
        {
          config_peer_received (&peers[i], &leader.state, &newer, 0, now_ms);
          n += config_peer_prepare (&peers[i], &leader.state, now_ms).wanted;
        }
      CU_ASSERT (n <= 1);
      n_asked = MAX (n_asked, n);
    }
  CU_ASSERT_EQUAL (n_asked, 1);
  end ();
}

/* Guards against a host that sends a large configuration to all of its peers at once, and checks
 * that each gets it in the end. */
static void
test_ahead_of_all_peers (void)
{
  g_autofree char *record = g_malloc0 (RECORD_BYTES);
  struct config_notice asks = { .version = 7, .wanted = true };
  struct config_peer peers[N_PEERS] = { 0 };
  int64_t begun_ms = READ_MS;
  unsigned n_sent = 0;

  begin ();
  config_state_replace (&leader.state, 8, record, RECORD_BYTES);
  for (int64_t now_ms = begun_ms; n_sent < N_PEERS && now_ms < begun_ms + DELAY_MS;
       now_ms += PING_MS / 2)
    {
      for (unsigned i = 0; i < N_PEERS; i++)
        {
          if (peers[i].version == 8)
            continue;
          config_peer_received (&peers[i], &leader.state, &asks, 0, now_ms);
          if (config_peer_prepare (&peers[i], &leader.state, now_ms).record_len == 0)
            continue;
          peers[i].version = 8;
          n_sent++;
        }
      CU_ASSERT ((int64_t) n_sent * RECORD_BYTES <=
                 RECORD_BYTES + (now_ms - begun_ms) * CONFIG_RECORD_BYTES_PER_MS);
    }
  CU_ASSERT (n_sent * (uint64_t) RECORD_BYTES >= (uint64_t) N_PEERS * RECORD_BYTES / 2);
  end ();
}

static const struct suite_test tests[] = {
  { "state", test_state },
  { "relay without store", test_relay_without_store },
  { "restarted relay", test_restarted_relay },
  { "leader without store", test_leader_without_store },
  { "delayed batch", test_delayed_batch },
  { "record is rare", test_record_is_rare },
  { "asks late", test_asks_late },
  { "behind all peers", test_behind_all_peers },
  { "ahead of all peers", test_ahead_of_all_peers },
};

int
main (void)
{
  return suite_run ("config_state", tests, G_N_ELEMENTS (tests));
}
