#ifndef SESAMEPICK_JOBD_CONFIG_STATE_H
#define SESAMEPICK_JOBD_CONFIG_STATE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/jobs/command_message.h"

/* The version of the operators' configuration that is in force on this host, since when it is
 * certainly the newest, and its exchange with the hosts at the other ends of links. All times are
 * monotonic ms of this host's clock. */

enum
{
  /* The record is not sent to a peer again within this time, and another peer is not asked for it.
   */
  CONFIG_RECORD_INTERVAL_MS = 500,
  /* A host asks for a newer version this long after it heard of it. Hosts that reach the store read
   * a small version within that time by themselves. */
  CONFIG_RECORD_DELAY_MS = 200,
  /* Rate at which a host sends records to all its peers together. A version with many routes has
   * hundreds of kilobytes, and commands wait behind it in the host's link. */
  CONFIG_RECORD_BYTES_PER_MS = 4000,
};

struct config_state
{
  /* 0 if there is no configuration, or it has no version. */
  int64_t version;
  /* The record as the store holds it; NULL if there is none. */
  GBytes *record;
  /* Since when a peer has named a newer version; 0 if none has. */
  int64_t newer_since_ms;
  /* The peer that was asked for its record last, and when; NULL if none was since the version in
   * force. Only one is asked at a time: all peers may have a newer version. */
  const struct config_peer *asked;
  int64_t asked_ms;
  /* When the next record may be sent to any peer. */
  int64_t next_record_ms;
  /* Start of the process. What was confirmed before it doesn't count: the host's earlier process
   * may have handled calls under a version that this one doesn't know. */
  int64_t begun_ms;
  /* Every version that the store acknowledged before this time is not newer than version; 0 if
   * nothing is known. */
  int64_t confirmed_ms;
  /* Handles a record that a peer has passed on: decodes it and, if it is newer, puts it in force
   * with config_state_replace. */
  void (*on_record) (void *ctx, const void *data, size_t len);
  void *ctx;
};

/* What is known of the host at the other end of a link. Each side numbers something that the other
 * one acknowledges: the leader its batches, the relay the batches that it has received. */
struct config_peer
{
  /* The version that the peer last named, and when; 0 if it has named none. */
  int64_t version;
  int64_t heard_ms;
  /* It has asked for the record in its last message. */
  bool wants_record;
  /* When the record was last sent to it; 0 if never. */
  int64_t record_sent_ms;
  /* Highest number that was sent to it, and the number whose acknowledgement is awaited, which was
   * first sent at probe_sent_ms; 0 if none is awaited. */
  uint64_t sent_number;
  uint64_t probe_number;
  int64_t probe_sent_ms;
};

void config_state_clear (struct config_state *state);
/* Puts a version in force, unless it is not newer. */
void config_state_replace (struct config_state *state, int64_t version, const void *record,
                           size_t len);
/* Handles that no version newer than one had been acknowledged by the store at a time. Ignored if
 * this host's version is older. */
void config_state_confirm (struct config_state *state, int64_t version, int64_t at_ms);
/* Returns how long ago the version in force was last confirmed to be the newest; INT64_MAX if it
 * never was. */
int64_t config_state_age_ms (const struct config_state *state, int64_t now_ms);

/* Returns what a message to the peer is to say, with the record if the peer has asked for it and
 * records may be sent now. The record is valid until the version changes. */
struct config_notice config_peer_prepare (struct config_peer *peer, struct config_state *state,
                                          int64_t now_ms);
/* Handles that a message with a number was sent. Numbers may repeat, but not fall. */
void config_peer_sent (struct config_peer *peer, uint64_t number, int64_t now_ms);
/* Handles a message of the peer; acked_number is the highest number that it had received. */
void config_peer_received (struct config_peer *peer, struct config_state *state,
                           const struct config_notice *notice, uint64_t acked_number,
                           int64_t now_ms);

#endif
