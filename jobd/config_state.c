#include "config_state.h"

#include "common/log.h"

enum
{
  /* A confirmation of such an age is of no use, and a larger number is no age. */
  AGE_MAX_MS = 24 * 60 * 60 * 1000,
};

void
config_state_clear (struct config_state *state)
{
  g_clear_pointer (&state->record, g_bytes_unref);
}

/* What was confirmed of an older version holds for a newer one, so that confirmed_ms stays. */
void
config_state_replace (struct config_state *state, int64_t version, const void *record, size_t len)
{
  if (state->record && version <= state->version)
    return;
  g_clear_pointer (&state->record, g_bytes_unref);
  state->version = version;
  state->record = g_bytes_new (record, len);
  state->newer_since_ms = 0;
  state->asked = NULL;
}

void
config_state_confirm (struct config_state *state, int64_t version, int64_t at_ms)
{
  if (state->record && version <= state->version && at_ms >= state->begun_ms)
    state->confirmed_ms = MAX (state->confirmed_ms, at_ms);
}

int64_t
config_state_age_ms (const struct config_state *state, int64_t now_ms)
{
  return state->confirmed_ms > 0 ? MAX (now_ms - state->confirmed_ms, 0) : INT64_MAX;
}

/* Returns whether the record is to be sent to a peer now. */
static bool
config_peer_needs_record (const struct config_peer *peer, const struct config_state *state,
                          int64_t now_ms)
{
  if (!state->record || !peer->wants_record || peer->version >= state->version ||
      now_ms < state->next_record_ms)
    return false;
  /* A peer that isn't heard of doesn't get the record again, so that it doesn't pile up in the
   * queue of a broken link. */
  return peer->record_sent_ms == 0 || (peer->heard_ms > peer->record_sent_ms &&
                                       now_ms >= peer->record_sent_ms + CONFIG_RECORD_INTERVAL_MS);
}

/* Returns whether to ask a peer for its record, and notes that it was asked. */
static bool
config_state_asks (struct config_state *state, const struct config_peer *peer, int64_t now_ms)
{
  if (peer->version <= state->version || state->newer_since_ms == 0 ||
      now_ms < state->newer_since_ms + CONFIG_RECORD_DELAY_MS)
    return false;
  if (state->asked && now_ms < state->asked_ms + CONFIG_RECORD_INTERVAL_MS)
    return state->asked == peer;
  /* One that has not answered in time lets the others go first. */
  if (state->asked == peer && now_ms < state->asked_ms + 2 * CONFIG_RECORD_INTERVAL_MS)
    return false;
  state->asked = peer;
  state->asked_ms = now_ms;
  return true;
}

struct config_notice
config_peer_prepare (struct config_peer *peer, struct config_state *state, int64_t now_ms)
{
  int64_t age_ms = config_state_age_ms (state, now_ms);
  struct config_notice notice = {
    .version = state->version,
    .age_ms = age_ms <= AGE_MAX_MS ? age_ms : -1,
    .wanted = config_state_asks (state, peer, now_ms),
  };

  if (config_peer_needs_record (peer, state, now_ms))
    {
      notice.record = g_bytes_get_data (state->record, &notice.record_len);
      peer->record_sent_ms = now_ms;
      state->next_record_ms = now_ms + (int64_t) notice.record_len / CONFIG_RECORD_BYTES_PER_MS;
      log_info ("config",
                "configuration passed on: version=%" G_GINT64_FORMAT
                " peer_version=%" G_GINT64_FORMAT " bytes=%zu",
                state->version, peer->version, notice.record_len);
    }
  return notice;
}

/* One number at a time is followed until it is acknowledged; only the first message with it counts,
 * as the acknowledgement may be that of any message with it. */
void
config_peer_sent (struct config_peer *peer, uint64_t number, int64_t now_ms)
{
  if (number <= peer->sent_number)
    return;
  peer->sent_number = number;
  if (peer->probe_number > 0)
    return;
  peer->probe_number = number;
  peer->probe_sent_ms = now_ms;
}

/* The peer's age is as of when it sent the message. That was after it had received the number that
 * it acknowledges, hence after this host first sent that number. So the age is counted from
 * probe_sent_ms and not from the receipt: a message that was delayed, on the way or in a process
 * that stood still, makes the configuration look older than it is, and never fresher. A message
 * that acknowledges nothing new confirms nothing. */
void
config_peer_received (struct config_peer *peer, struct config_state *state,
                      const struct config_notice *notice, uint64_t acked_number, int64_t now_ms)
{
  int64_t sent_after_ms = 0;

  peer->version = notice->version;
  peer->wants_record = notice->wanted;
  peer->heard_ms = now_ms;
  if (notice->version > state->version && state->newer_since_ms == 0)
    state->newer_since_ms = now_ms;
  if (peer->probe_number > 0 && acked_number >= peer->probe_number &&
      acked_number <= peer->sent_number)
    {
      sent_after_ms = peer->probe_sent_ms;
      peer->probe_number = 0;
    }
  if (notice->record_len > 0 && (!state->record || notice->version > state->version))
    {
      log_info ("config", "configuration passed on by another host: version=%" G_GINT64_FORMAT,
                notice->version);
      state->on_record (state->ctx, notice->record, notice->record_len);
    }
  else if (notice->record_len > 0)
    log_info (
        "config",
        "configuration passed on by another host, which is not newer: version=%" G_GINT64_FORMAT
        " own=%" G_GINT64_FORMAT " bytes=%zu",
        notice->version, state->version, notice->record_len);
  if (sent_after_ms > 0 && notice->version > 0 && notice->age_ms >= 0 &&
      notice->age_ms <= AGE_MAX_MS)
    config_state_confirm (state, notice->version, sent_after_ms - notice->age_ms);
}
