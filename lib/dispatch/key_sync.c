#include "lib/dispatch/key.h"
#include "lib/dispatch/state.h"

enum
{
  SYNC_PERIOD_MS = 200,
  /* Limits on the records in one message and on the keys examined to fill it. */
  SYNC_RECORDS_MAX = 200,
  SYNC_SCANNED_MAX = 2000,
  /* Time for which a holder still announces itself as young after it has found that all members
   * started together, so that every other member finds it too. */
  COLD_START_YOUNG_MS = 2000,
};

/* Returns whether every configured member has been heard and announces that its keys may be
 * incomplete, so that none can supply keys from before its own start. */
static bool
members_all_young (const struct membership *membership)
{
  for (size_t i = 0; i < membership->n; i++)
    if (!membership->members[i].heard || !membership->members[i].keys_young)
      return false;
  return true;
}

/* Returns whether all other members have sent all their keys. */
static bool
keys_all_synced (const struct dispatch *dispatch)
{
  for (size_t i = 0; i < dispatch->membership->n; i++)
    if (i != dispatch->membership->self && !dispatch->keys.synced[i])
      return false;
  return true;
}

/* Requests from a member the keys that follow the last one received from it. */
static void
sync_request_keys (struct dispatch *dispatch, size_t member)
{
  const struct membership *membership = dispatch->membership;
  Sp__PeerMessage message = SP__PEER_MESSAGE__INIT;
  Sp__KeySyncRequest request = SP__KEY_SYNC_REQUEST__INIT;

  request.incarnation = membership->members[membership->self].incarnation;
  request.key_high = dispatch->keys.sync_cursor[member].high;
  request.key_low = dispatch->keys.sync_cursor[member].low;
  message.body_case = SP__PEER_MESSAGE__BODY_KEY_SYNC_REQUEST;
  message.key_sync_request = &request;
  dispatch_send (dispatch, member, &message);
}

/* Marks this holder's keys as complete once none can be missing. Until then, periodically requests
 * keys from the other members. */
void
keys_sync_tick (struct dispatch *dispatch, int64_t now_ms)
{
  struct key_store *keys = &dispatch->keys;
  struct membership *membership = dispatch->membership;
  bool all_young = !keys->complete && members_all_young (membership);

  if (!keys->complete &&
      (all_young || keys_all_synced (dispatch) || now_ms - keys->started_ms >= KEY_RETENTION_MS))
    {
      keys->complete = true;
      keys->young_until_ms = now_ms + (all_young ? COLD_START_YOUNG_MS : 0);
    }
  membership->members[membership->self].keys_young =
      !keys->complete || now_ms < keys->young_until_ms;
  if (keys->complete || now_ms - keys->sync_sent_ms < SYNC_PERIOD_MS)
    return;
  keys->sync_sent_ms = now_ms;
  for (size_t i = 0; i < membership->n; i++)
    if (i != membership->self && !keys->synced[i] && membership->members[i].heard)
      sync_request_keys (dispatch, i);
}

/* Returns whether a member is one of a key's holders. */
static bool
member_is_holder (const struct membership *membership, size_t member, const struct key_hash *hash)
{
  uint8_t order[MEMBERS_MAX];

  membership_rank (membership, hash->low, order);
  for (size_t i = 0; i < MIN (membership->n, KEY_HOLDERS); i++)
    if (order[i] == member)
      return true;
  return false;
}

/* Fills one record of a KeySync message. */
static void
sync_fill_record (const struct dispatch *dispatch, Sp__KeyRecord *row,
                  const struct key_record *record)
{
  sp__key_record__init (row);
  row->key_high = record->hash.high;
  row->key_low = record->hash.low;
  row->state = record->state;
  row->claimant = dispatch->membership->members[record->claimant.member].name;
  row->incarnation = record->claimant.incarnation;
  row->claim = record->claimant.claim;
}

/* Handles a KeySyncRequest: sends the next batch of the keys of which the requesting member is a
 * holder too. */
void
keys_handle_sync_request (struct dispatch *dispatch, size_t from, const Sp__KeySyncRequest *request)
{
  const struct key_store *keys = &dispatch->keys;
  struct key_hash after = { request->key_high, request->key_low };
  const struct key_record *record = key_table_next (&keys->table, &after);
  Sp__PeerMessage message = SP__PEER_MESSAGE__INIT;
  Sp__KeySync sync = SP__KEY_SYNC__INIT;
  Sp__KeyRecord rows[SYNC_RECORDS_MAX];
  Sp__KeyRecord *pointers[SYNC_RECORDS_MAX];

  for (int i = 0; record && i < SYNC_SCANNED_MAX && sync.n_records < SYNC_RECORDS_MAX; i++)
    {
      after = record->hash;
      if (member_is_holder (dispatch->membership, from, &record->hash))
        {
          sync_fill_record (dispatch, &rows[sync.n_records], record);
          pointers[sync.n_records] = &rows[sync.n_records];
          sync.n_records++;
        }
      record = key_table_next (&keys->table, &after);
    }
  sync.to_incarnation = request->incarnation;
  sync.records = pointers;
  sync.young = !keys->complete;
  sync.last = record == NULL;
  sync.after_high = after.high;
  sync.after_low = after.low;
  message.body_case = SP__PEER_MESSAGE__BODY_KEY_SYNC;
  message.key_sync = &sync;
  dispatch_send (dispatch, from, &message);
}

/* Stores a key received from another holder; its retention time starts again. A local record is
 * kept if its state is the same or a higher one (free, running, done, unsure), and replaced
 * otherwise. */
static void
sync_store_record (struct dispatch *dispatch, const Sp__KeyRecord *row, int64_t now_ms)
{
  struct key_hash hash = { row->key_high, row->key_low };
  int member = membership_find (dispatch->membership, row->claimant);
  struct key_claimant claimant = { (uint8_t) member, row->incarnation, row->claim };
  const struct key_record *record = key_table_find (&dispatch->keys.table, &hash);

  if (member < 0 || (record && record->state >= row->state))
    return;
  /* Marking a record as free removes it. */
  if (record)
    key_table_mark (&dispatch->keys.table, &hash, &record->claimant, SP__KEY_STATE__KEY_STATE_FREE,
                    now_ms);
  key_table_put (&dispatch->keys.table, &hash, &claimant, row->state, now_ms);
}

/* Handles a KeySync message: stores its keys and requests the rest. Keys of a young holder are
 * stored, but it does not count as synced. */
void
keys_handle_sync (struct dispatch *dispatch, size_t from, const Sp__KeySync *sync, int64_t now_ms)
{
  struct key_store *keys = &dispatch->keys;
  const struct membership *membership = dispatch->membership;

  if (keys->complete || keys->synced[from] ||
      sync->to_incarnation != membership->members[membership->self].incarnation)
    return;
  for (size_t i = 0; i < sync->n_records; i++)
    sync_store_record (dispatch, sync->records[i], now_ms);
  keys->sync_cursor[from] = (struct key_hash){ sync->after_high, sync->after_low };
  if (!sync->last)
    sync_request_keys (dispatch, from);
  else if (!sync->young)
    keys->synced[from] = true;
}
