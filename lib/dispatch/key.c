#include "lib/dispatch/key.h"

#include "lib/dispatch/state.h"

enum
{
  /* The final state of a claim, the KeyMark message, is resent at this interval to holders that
   * have not acknowledged it, and for at most this long after the longest possible request. */
  MARK_RESEND_PERIOD_MS = 500,
  MARK_RESEND_MAX_MS = 30000,
  KEY_RETRY_AFTER_MS = 1000,
};

/* Initializes the keys of this entry host. If it is the only member, there is no other to request
 * keys from, so its keys count as complete. */
void
keys_init (struct dispatch *dispatch, int64_t now_ms)
{
  struct key_store *keys = &dispatch->keys;

  key_table_init (&keys->table, KEYS_MAX);
  keys->claims = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  keys->started_ms = now_ms;
  keys->complete = dispatch->membership->n == 1;
  keys->sync_sent_ms = now_ms;
}

/* Frees all keys and claims. */
void
keys_clear (struct dispatch *dispatch)
{
  g_hash_table_destroy (dispatch->keys.claims);
  key_table_clear (&dispatch->keys.table);
}

static uint64_t
own_incarnation (const struct dispatch *dispatch)
{
  return dispatch->membership->members[dispatch->membership->self].incarnation;
}

/* Sends a claim to its holders. */
static void
claim_send (struct dispatch *dispatch, struct key_claim *claim)
{
  for (size_t i = 0; i < claim->n_holders; i++)
    {
      Sp__PeerMessage message = SP__PEER_MESSAGE__INIT;
      Sp__KeyClaim body = SP__KEY_CLAIM__INIT;

      body.key_high = claim->hash.high;
      body.key_low = claim->hash.low;
      body.incarnation = own_incarnation (dispatch);
      body.claim = claim->id;
      message.body_case = SP__PEER_MESSAGE__BODY_KEY_CLAIM;
      message.key_claim = &body;
      dispatch_send (dispatch, claim->holders[i], &message);
    }
}

/* Sends the final state of a claim to those holders that have not acknowledged it. */
static void
claim_send_marks (struct dispatch *dispatch, struct key_claim *claim)
{
  for (size_t i = 0; i < claim->n_holders; i++)
    {
      Sp__PeerMessage message = SP__PEER_MESSAGE__INIT;
      Sp__KeyMark body = SP__KEY_MARK__INIT;

      if (claim->acknowledged >> i & 1)
        continue;
      body.key_high = claim->hash.high;
      body.key_low = claim->hash.low;
      body.incarnation = own_incarnation (dispatch);
      body.claim = claim->id;
      body.state = claim->final_state;
      message.body_case = SP__PEER_MESSAGE__BODY_KEY_MARK;
      message.key_mark = &body;
      dispatch_send (dispatch, claim->holders[i], &message);
    }
}

/* Claims a request's key from its holders; the request is not run before they grant it. */
void
keys_claim (struct dispatch *dispatch, struct request *request, int64_t now_ms)
{
  struct key_store *keys = &dispatch->keys;
  struct key_claim *claim = g_new0 (struct key_claim, 1);
  uint8_t order[MEMBERS_MAX];

  claim->id = ++keys->next_claim;
  claim->hash = key_hash_of (request->route->name, request->key);
  claim->request = request;
  claim->started_ms = now_ms;
  claim->blocking_state = SP__KEY_STATE__KEY_STATE_FREE;
  membership_rank (dispatch->membership, claim->hash.low, order);
  claim->n_holders = (uint8_t) MIN (dispatch->membership->n, KEY_HOLDERS);
  for (size_t i = 0; i < claim->n_holders; i++)
    claim->holders[i] = order[i];
  request->state = REQUEST_CLAIMING;
  request->claim = claim;
  request->deadline_ms = MIN (request->deadline_ms, now_ms + KEY_DEADLINE_MAX_MS);
  g_hash_table_insert (keys->claims, &claim->id, claim);
  claim_send (dispatch, claim);
}

/* Handles the end of a request with a claimed key: sends the key's final state to the holders. */
void
keys_release (struct dispatch *dispatch, struct request *request)
{
  struct key_claim *claim = request->claim;

  if (!claim)
    return;
  claim->request = NULL;
  request->claim = NULL;
  if (request->answered)
    claim->final_state = SP__KEY_STATE__KEY_STATE_DONE;
  else if (request->may_have_run)
    claim->final_state = SP__KEY_STATE__KEY_STATE_UNSURE;
  else
    claim->final_state = SP__KEY_STATE__KEY_STATE_FREE;
  claim_send_marks (dispatch, claim);
}

/* Returns a member's index among the claim's holders, or -1. */
static int
claim_holder_index (const struct key_claim *claim, size_t member)
{
  for (int i = 0; i < claim->n_holders; i++)
    if (claim->holders[i] == member)
      return i;
  return -1;
}

/* Fails a request whose key could not be claimed. If the key was claimed by an earlier request,
 * that one may be the same request sent before, so the outcome is unknown. Otherwise the outcome is
 * not run. */
static void
claim_fail (struct dispatch *dispatch, struct key_claim *claim)
{
  struct request *request = claim->request;

  switch (claim->blocking_state)
    {
    case SP__KEY_STATE__KEY_STATE_RUNNING:
      request_finish (dispatch, request, REQUEST_UNKNOWN, REASON_KEY_RUNNING, KEY_RETRY_AFTER_MS);
      break;
    case SP__KEY_STATE__KEY_STATE_DONE:
      request_finish (dispatch, request, REQUEST_UNKNOWN, REASON_KEY_DONE, 0);
      break;
    case SP__KEY_STATE__KEY_STATE_UNSURE:
      request_finish (dispatch, request, REQUEST_UNKNOWN, REASON_KEY_UNSURE, 0);
      break;
    default:
      request_finish (dispatch, request, REQUEST_NOT_RUN, REASON_KEY_NO_HOLDER, KEY_RETRY_AFTER_MS);
      break;
    }
}

/* Decides on a claim after a reply. It succeeds once more than half of the holders have granted it,
 * so that two claims on one key can't both succeed. It fails if a holder reports a state above
 * running (done or unsure), or once too few holders are left for a majority. */
static void
claim_evaluate (struct dispatch *dispatch, struct key_claim *claim, int64_t now_ms)
{
  int granted = __builtin_popcount (claim->granted);
  int refused = __builtin_popcount (claim->refused);
  struct request *request = claim->request;

  if (claim->blocking_state > SP__KEY_STATE__KEY_STATE_RUNNING ||
      (claim->n_holders - refused) * 2 <= claim->n_holders)
    claim_fail (dispatch, claim);
  else if (granted * 2 > claim->n_holders)
    request_admit (dispatch, request, now_ms);
}

/* Handles a holder's reply to a KeyClaim or KeyMark message. */
void
keys_handle_reply (struct dispatch *dispatch, size_t from, const Sp__KeyReply *reply,
                   int64_t now_ms)
{
  struct key_claim *claim;
  int index;

  if (reply->incarnation != own_incarnation (dispatch))
    return;
  claim = g_hash_table_lookup (dispatch->keys.claims, &reply->claim);
  index = claim ? claim_holder_index (claim, from) : -1;
  if (index < 0)
    return;
  if (!claim->request)
    {
      if (reply->marked)
        claim->acknowledged |= (uint8_t) (1U << index);
      if (__builtin_popcount (claim->acknowledged) == claim->n_holders)
        g_hash_table_remove (dispatch->keys.claims, &claim->id);
      return;
    }
  if (claim->request->state != REQUEST_CLAIMING)
    return;
  if (reply->granted && !reply->young)
    claim->granted |= (uint8_t) (1U << index);
  else
    claim->refused |= (uint8_t) (1U << index);
  if (!reply->granted)
    claim->blocking_state = MAX (claim->blocking_state, reply->state);
  claim_evaluate (dispatch, claim, now_ms);
}

/* Sends a reply to a KeyClaim or KeyMark message. */
static void
holder_reply (struct dispatch *dispatch, size_t to, Sp__KeyReply *reply)
{
  Sp__PeerMessage message = SP__PEER_MESSAGE__INIT;

  message.body_case = SP__PEER_MESSAGE__BODY_KEY_REPLY;
  message.key_reply = reply;
  dispatch_send (dispatch, to, &message);
}

/* Returns the effective state of a record: a running request is unsure if its claimant has
 * restarted or is dead. */
static Sp__KeyState
record_state (const struct dispatch *dispatch, const struct key_record *record)
{
  const struct member *member = &dispatch->membership->members[record->claimant.member];

  if (record->state != SP__KEY_STATE__KEY_STATE_RUNNING)
    return record->state;
  if (member->state == MEMBER_DEAD || member->incarnation > record->claimant.incarnation)
    return SP__KEY_STATE__KEY_STATE_UNSURE;
  return record->state;
}

/* Handles a KeyClaim message: records the claim if the key is free, and replies. */
void
keys_handle_claim (struct dispatch *dispatch, size_t from, const Sp__KeyClaim *message,
                   int64_t now_ms)
{
  struct key_store *keys = &dispatch->keys;
  struct key_hash hash = { message->key_high, message->key_low };
  struct key_claimant claimant = { (uint8_t) from, message->incarnation, message->claim };
  const struct key_record *record = key_table_find (&keys->table, &hash);
  Sp__KeyReply reply = SP__KEY_REPLY__INIT;

  reply.incarnation = message->incarnation;
  reply.claim = message->claim;
  reply.young = !keys->complete;
  if (record)
    reply.state = record_state (dispatch, record);
  else if (key_table_put (&keys->table, &hash, &claimant, SP__KEY_STATE__KEY_STATE_RUNNING, now_ms))
    reply.granted = true;
  else
    reply.full = true;
  holder_reply (dispatch, from, &reply);
}

/* Handles a KeyMark message: stores the final state of a claimed request and acknowledges it. */
void
keys_handle_mark (struct dispatch *dispatch, size_t from, const Sp__KeyMark *mark, int64_t now_ms)
{
  struct key_hash hash = { mark->key_high, mark->key_low };
  struct key_claimant claimant = { (uint8_t) from, mark->incarnation, mark->claim };
  Sp__KeyReply reply = SP__KEY_REPLY__INIT;

  key_table_mark (&dispatch->keys.table, &hash, &claimant, mark->state, now_ms);
  reply.incarnation = mark->incarnation;
  reply.claim = mark->claim;
  reply.marked = true;
  holder_reply (dispatch, from, &reply);
}

/* Resends the final state of a claim if due, counted from the end of the request. Returns whether
 * the claim can be dropped. */
static bool
claim_tick (struct dispatch *dispatch, struct key_claim *claim, int64_t now_ms)
{
  if (claim->request)
    {
      claim->sent_ms = now_ms;
      return false;
    }
  if (now_ms - claim->started_ms >= KEY_DEADLINE_MAX_MS + MARK_RESEND_MAX_MS)
    return true;
  if (now_ms - claim->sent_ms >= MARK_RESEND_PERIOD_MS)
    {
      claim->sent_ms = now_ms;
      claim_send_marks (dispatch, claim);
    }
  return false;
}

/* Fails claims whose holders don't reply in time, resends final states that are not acknowledged,
 * and removes expired keys. */
void
keys_tick (struct dispatch *dispatch, int64_t now_ms)
{
  g_autoptr (GPtrArray) expired = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, dispatch->keys.claims);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct key_claim *claim = value;

      if (claim->request && claim->request->state == REQUEST_CLAIMING &&
          (now_ms - claim->started_ms >= KEY_CLAIM_TIMEOUT_MS ||
           now_ms >= claim->request->deadline_ms))
        g_ptr_array_add (expired, value);
      else if (claim_tick (dispatch, value, now_ms))
        g_hash_table_iter_remove (&iter);
    }
  for (guint i = 0; i < expired->len; i++)
    claim_fail (dispatch, g_ptr_array_index (expired, i));
  key_table_expire (&dispatch->keys.table, now_ms);
  keys_sync_tick (dispatch, now_ms);
}
