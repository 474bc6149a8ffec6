#ifndef SESAMEPICK_LIB_DISPATCH_KEY_H
#define SESAMEPICK_LIB_DISPATCH_KEY_H

#include <glib.h>

#include "lib/dispatch/key_table.h"
#include "lib/slots/membership.h"
#include "lib/dispatch/request.h"

struct dispatch;

enum
{
  /* Number of entry hosts that store each key. */
  KEY_HOLDERS = 3,
  KEY_CLAIM_TIMEOUT_MS = 300,
  /* Longest deadline of a request with a key. Well below KEY_RETENTION_MS, so that no holder drops
   * the key of an open request. */
  KEY_DEADLINE_MAX_MS = 300000,
};

/* Claim on the idempotency key of a request of this entry host, kept until all holders have
 * acknowledged the final state of the key, or until resending it is given up. */
struct key_claim
{
  uint64_t id;
  struct key_hash hash;
  /* NULL once the request has ended. */
  struct request *request;
  uint8_t holders[KEY_HOLDERS];
  uint8_t n_holders;
  /* Replies of the holders, one bit each in the order of holders: claim granted, claim refused,
   * final state acknowledged. */
  uint8_t granted;
  uint8_t refused;
  uint8_t acknowledged;
  /* Highest state that a refusing holder reported; the order is free, running, done, unsure. */
  Sp__KeyState blocking_state;
  /* Final state of the key, sent to the holders. */
  Sp__KeyState final_state;
  int64_t started_ms;
  /* Time of the last message with the final state; the current time while the request is open. */
  int64_t sent_ms;
};

/* Idempotency keys of this entry host, both those that it stores as a holder and those that it
 * claims. */
struct key_store
{
  struct key_table table;
  GHashTable *claims;
  uint64_t next_claim;
  int64_t started_ms;
  /* Whether no key can be missing here. Becomes true once this process has held keys for the whole
   * retention time, has received the keys of all other members, or has found that all members
   * started together. Until then its peer messages are marked young, and its grants of claims don't
   * count. */
  bool complete;
  /* If all members started together, this entry host's heartbeats announce keys_young until this
   * time, although complete is set. */
  int64_t young_until_ms;
  /* Members that have sent all their keys, and the last key received from each. */
  bool synced[MEMBERS_MAX];
  struct key_hash sync_cursor[MEMBERS_MAX];
  int64_t sync_sent_ms;
};

void keys_init (struct dispatch *dispatch, int64_t now_ms);
void keys_clear (struct dispatch *dispatch);
void keys_claim (struct dispatch *dispatch, struct request *request, int64_t now_ms);
void keys_release (struct dispatch *dispatch, struct request *request);
void keys_handle_claim (struct dispatch *dispatch, size_t from, const Sp__KeyClaim *message,
                        int64_t now_ms);
void keys_handle_reply (struct dispatch *dispatch, size_t from, const Sp__KeyReply *reply,
                        int64_t now_ms);
void keys_handle_mark (struct dispatch *dispatch, size_t from, const Sp__KeyMark *mark,
                       int64_t now_ms);
void keys_tick (struct dispatch *dispatch, int64_t now_ms);

/* Implemented in dispatch_key_sync.c. */
void keys_sync_tick (struct dispatch *dispatch, int64_t now_ms);
void keys_handle_sync_request (struct dispatch *dispatch, size_t from,
                               const Sp__KeySyncRequest *request);
void keys_handle_sync (struct dispatch *dispatch, size_t from, const Sp__KeySync *sync,
                       int64_t now_ms);

#endif
