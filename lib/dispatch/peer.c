#include "lib/dispatch/state.h"

#include <limits.h>

#include "lib/slots/home.h"

/* Sends a message to a member. A message to this entry host itself is queued, and delivered at the
 * end of the current call. */
void
dispatch_send (struct dispatch *dispatch, size_t member, Sp__PeerMessage *message)
{
  const struct membership *membership = dispatch->membership;

  message->from = membership->members[membership->self].name;
  if (member != membership->self)
    {
      dispatch->stats.peer_messages++;
      report_pace_add (&dispatch->pace, sp__peer_message__get_packed_size (message));
      dispatch->ops.peer_send (dispatch->ops.ctx, membership->members[member].name, message);
    }
  else
    {
      guint8 *data = g_malloc (sp__peer_message__get_packed_size (message));
      size_t len = sp__peer_message__pack (message, data);

      g_queue_push_tail (&dispatch->local_messages, g_bytes_new_take (data, len));
    }
}

/* Sends heartbeats to all other members if they are due. */
void
dispatch_heartbeat (struct dispatch *dispatch, int64_t now_ms)
{
  struct membership *membership = dispatch->membership;
  uint8_t hears[sizeof membership->members[0].hears];

  if (now_ms - membership->sent_ms < HEARTBEAT_PERIOD_MS)
    return;
  membership->sent_ms = now_ms;
  membership_get_heard (membership, hears);
  for (size_t i = 0; i < membership->n; i++)
    {
      Sp__PeerMessage message = SP__PEER_MESSAGE__INIT;
      Sp__PeerHeartbeat heartbeat = SP__PEER_HEARTBEAT__INIT;

      if (i == membership->self)
        continue;
      heartbeat.incarnation = membership->members[membership->self].incarnation;
      heartbeat.route_offset = dispatch->routes.offset;
      heartbeat.stopping = dispatch->stopping;
      heartbeat.hears_you = membership->members[i].state == MEMBER_ALIVE;
      heartbeat.keys_young = membership->members[membership->self].keys_young;
      heartbeat.hears.data = hears;
      heartbeat.hears.len = membership->n / CHAR_BIT + 1;
      heartbeat.names_hash = membership->names_hash;
      message.body_case = SP__PEER_MESSAGE__BODY_HEARTBEAT;
      message.heartbeat = &heartbeat;
      dispatch_send (dispatch, i, &message);
    }
}

/* Sends a grant of this entry host's slot home to a member. */
static void
pool_send_grant (void *ctx, size_t member, Sp__SlotGrant *grant)
{
  Sp__PeerMessage message = SP__PEER_MESSAGE__INIT;

  message.body_case = SP__PEER_MESSAGE__BODY_SLOT_GRANT;
  message.slot_grant = grant;
  dispatch_send (ctx, member, &message);
}

/* Creates the home of a pool's slots on this entry host, when the first peer reports to it as the
 * home. */
static void
pool_create_local_home (struct dispatch *dispatch, struct slot_pool *pool, int64_t now_ms)
{
  struct slot_home_ops ops = { pool_send_grant, dispatch };
  const struct worker_slots *slots;
  const struct worker *worker;

  pool->local_home = slot_home_create (pool->hash, dispatch->membership, &ops, now_ms);
  slot_home_begin_workers (pool->local_home);
  LIST_FOREACH (worker, &pool->group->workers, link)
    {
      slots = &worker->slot_state;
      if (slots->pool == pool)
        slot_home_set_worker (pool->local_home, slots->key, slots->n, !worker->leaving);
    }
  slot_home_end_workers (pool->local_home);
}

/* Handles a report about a pool's slots. */
static void
dispatch_handle_report (struct dispatch *dispatch, size_t from, const Sp__SlotReport *report,
                        int64_t now_ms)
{
  struct slot_pool *pool = slots_find_pool (dispatch, report->pool);

  if (!pool)
    return;
  if (!pool->local_home)
    pool_create_local_home (dispatch, pool, now_ms);
  slot_home_handle_report (pool->local_home, from, report, now_ms);
}

/* Handles a grant of a pool's slots and starts requests that wait for them. */
static void
dispatch_handle_grant (struct dispatch *dispatch, size_t from, const Sp__SlotGrant *grant,
                       int64_t now_ms)
{
  struct slot_pool *pool = slots_find_pool (dispatch, grant->pool);

  if (!pool)
    return;
  slot_pool_handle_grant (pool, from, grant, now_ms);
  dispatch_run_queues (dispatch, pool->group, now_ms);
}

/* Handles one message; messages of unknown members are ignored. */
static void
dispatch_handle_message (struct dispatch *dispatch, const Sp__PeerMessage *message, int64_t now_ms)
{
  int from = membership_find (dispatch->membership, message->from);

  if (from < 0)
    return;
  switch (message->body_case)
    {
    case SP__PEER_MESSAGE__BODY_HEARTBEAT:
      membership_handle_heartbeat (dispatch->membership, (size_t) from, message->heartbeat, now_ms);
      break;
    case SP__PEER_MESSAGE__BODY_SLOT_REPORT:
      dispatch_handle_report (dispatch, (size_t) from, message->slot_report, now_ms);
      break;
    case SP__PEER_MESSAGE__BODY_SLOT_GRANT:
      dispatch_handle_grant (dispatch, (size_t) from, message->slot_grant, now_ms);
      break;
    case SP__PEER_MESSAGE__BODY_KEY_CLAIM:
      keys_handle_claim (dispatch, (size_t) from, message->key_claim, now_ms);
      break;
    case SP__PEER_MESSAGE__BODY_KEY_REPLY:
      keys_handle_reply (dispatch, (size_t) from, message->key_reply, now_ms);
      break;
    case SP__PEER_MESSAGE__BODY_KEY_MARK:
      keys_handle_mark (dispatch, (size_t) from, message->key_mark, now_ms);
      break;
    case SP__PEER_MESSAGE__BODY_KEY_SYNC_REQUEST:
      keys_handle_sync_request (dispatch, (size_t) from, message->key_sync_request);
      break;
    case SP__PEER_MESSAGE__BODY_KEY_SYNC:
      keys_handle_sync (dispatch, (size_t) from, message->key_sync, now_ms);
      break;
    default:
      break;
    }
}

/* Delivers the messages of this entry host to itself. */
void
dispatch_deliver_local (struct dispatch *dispatch, int64_t now_ms)
{
  GBytes *bytes;

  while ((bytes = g_queue_pop_head (&dispatch->local_messages)))
    {
      gsize len;
      const uint8_t *data = g_bytes_get_data (bytes, &len);
      Sp__PeerMessage *message = sp__peer_message__unpack (NULL, len, data);

      g_assert (message);
      dispatch_handle_message (dispatch, message, now_ms);
      sp__peer_message__free_unpacked (message, NULL);
      g_bytes_unref (bytes);
    }
}

/* Handles a message from another entry host. */
void
dispatch_peer_message (struct dispatch *dispatch, const Sp__PeerMessage *message, int64_t now_ms)
{
  dispatch_handle_message (dispatch, message, now_ms);
  dispatch_deliver_local (dispatch, now_ms);
}
