#include "fleetd.h"

#include <errno.h>
#include <string.h>

#include "common/log.h"
#include "common/settings.h"
#include "feed.pb-c.h"

enum
{
  HEARTBEAT_MS = 300,
  SUBSCRIBER_TIMEOUT_MS = 5000,
  STATE_CHUNK_BYTES = 64 * 1024,
  /* The table is sent at most this many times in a burst, and once per interval afterwards. */
  TABLE_BURST = 20,
  TABLE_TOKEN_MS = 100,
};

/* Serializes a feed message. */
static GBytes *
feed_pack (const Sp__FeedMessage *message)
{
  size_t len = sp__feed_message__get_packed_size (message);
  uint8_t *data = g_malloc (len + 1);

  sp__feed_message__pack (message, data);
  return g_bytes_new_take (data, len);
}

/* Sends a serialized message to a peer that connected to this node. */
static void
feed_send (struct feed *feed, GBytes *reply_to, GBytes *message)
{
  gsize to_len;
  gsize len;
  const void *to = g_bytes_get_data (reply_to, &to_len);
  const void *data = g_bytes_get_data (message, &len);

  if (peer_node_reply (feed->node, to, to_len, data, len) == 0)
    feed->bytes_sent += len;
}

static void
subscriber_destroy (struct feed *feed, struct subscriber *subscriber)
{
  LIST_REMOVE (subscriber, link);
  feed->n_subscribers--;
  g_bytes_unref (subscriber->reply_to);
  g_free (subscriber->entry);
  g_free (subscriber);
}

/* Returns the subscriber with this return address, creating it if needed. */
static struct subscriber *
subscriber_get (struct feed *feed, const void *reply_to, size_t len)
{
  struct subscriber *subscriber;

  LIST_FOREACH (subscriber, &feed->subscribers, link)
    {
      gsize known_len;
      const void *known = g_bytes_get_data (subscriber->reply_to, &known_len);

      if (known_len == len && memcmp (known, reply_to, len) == 0)
        return subscriber;
    }
  subscriber = g_new0 (struct subscriber, 1);
  subscriber->reply_to = g_bytes_new (reply_to, len);
  LIST_INSERT_HEAD (&feed->subscribers, subscriber, link);
  feed->n_subscribers++;
  return subscriber;
}

/* Sends the table to a subscriber that has an older one. */
static void
subscriber_update (struct feed *feed, struct subscriber *subscriber)
{
  if (!feed->table || subscriber->have_offset >= feed->routes_offset)
    return;
  feed_send (feed, subscriber->reply_to, feed->table);
  subscriber->have_offset = feed->routes_offset;
}

/* Handles a subscription. Entryds repeat it every second, which also keeps it alive. */
static void
feed_subscribe (struct feed *feed, const void *reply_to, size_t len,
                const Sp__FeedSubscribe *message)
{
  struct subscriber *subscriber = subscriber_get (feed, reply_to, len);

  g_free (subscriber->entry);
  subscriber->entry = g_strdup (message->entry);
  subscriber->have_offset = message->have_offset;
  subscriber->last_heard_ms = feed->fleetd->clock.now_ms;
  if (fleetd_is_ready (feed->fleetd))
    subscriber_update (feed, subscriber);
}

/* Sends this fleetd's state in chunks. */
static void
feed_send_state (struct feed *feed, GBytes *reply_to, Sp__StateReply *reply)
{
  g_autoptr (GByteArray) bytes = fleet_save (feed->fleetd->fleet);
  g_autoptr (GPtrArray) chunks =
      snapshot_split (bytes, reply->offset, feed->fleetd->settings->name, STATE_CHUNK_BYTES);
  Sp__FeedMessage message = SP__FEED_MESSAGE__INIT;

  message.body_case = SP__FEED_MESSAGE__BODY_STATE_REPLY;
  message.state_reply = reply;
  for (guint i = 0; i < chunks->len; i++)
    {
      GBytes *packed;

      reply->chunk = chunks->pdata[i];
      packed = feed_pack (&message);
      feed_send (feed, reply_to, packed);
      g_bytes_unref (packed);
    }
}

/* Replies to a peer's state request with the state, if it is requested and ahead of the peer's,
 * else with this fleetd's offset. */
static void
feed_reply_state (struct feed *feed, const void *reply_to, size_t len,
                  const Sp__StateRequest *request)
{
  Sp__FeedMessage message = SP__FEED_MESSAGE__INIT;
  Sp__StateReply reply = SP__STATE_REPLY__INIT;
  GBytes *to = g_bytes_new (reply_to, len);

  reply.offset = fleet_offset (feed->fleetd->fleet);
  if (request->want_data && reply.offset > request->have_offset)
    feed_send_state (feed, to, &reply);
  else
    {
      GBytes *packed;

      message.body_case = SP__FEED_MESSAGE__BODY_STATE_REPLY;
      message.state_reply = &reply;
      packed = feed_pack (&message);
      feed_send (feed, to, packed);
      g_bytes_unref (packed);
    }
  g_bytes_unref (to);
}

/* Handles a message from an entryd or from another fleetd that connected to this node. */
static void
feed_handle_inbound (void *ctx, const void *reply_to, size_t reply_to_len, const void *data,
                     size_t len)
{
  struct feed *feed = ctx;
  Sp__FeedMessage *message = sp__feed_message__unpack (NULL, len, data);

  clock_update (&feed->fleetd->clock);
  feed->bytes_received += len;
  if (message && message->body_case == SP__FEED_MESSAGE__BODY_SUBSCRIBE)
    feed_subscribe (feed, reply_to, reply_to_len, message->subscribe);
  else if (message && message->body_case == SP__FEED_MESSAGE__BODY_STATE_REQUEST)
    feed_reply_state (feed, reply_to, reply_to_len, message->state_request);
  if (message)
    sp__feed_message__free_unpacked (message, NULL);
}

/* Handles a reply from another fleetd. */
static void
feed_handle_peer_reply (void *ctx, const void *data, size_t len)
{
  struct peer *peer = ctx;
  struct fleetd *fleetd = peer->fleetd;
  Sp__FeedMessage *message = sp__feed_message__unpack (NULL, len, data);

  clock_update (&fleetd->clock);
  fleetd->feed.bytes_received += len;
  if (message && message->body_case == SP__FEED_MESSAGE__BODY_STATE_REPLY)
    bootstrap_peer_replied (&fleetd->bootstrap, peer, message->state_reply);
  if (message)
    sp__feed_message__free_unpacked (message, NULL);
}

/* Requests a peer's offset, or its state if want_data is set. */
void
feed_request_state (struct feed *feed, struct peer *peer, bool want_data)
{
  Sp__FeedMessage message = SP__FEED_MESSAGE__INIT;
  Sp__StateRequest request = SP__STATE_REQUEST__INIT;
  GBytes *packed;
  gsize len;
  const void *data;

  request.have_offset = fleet_offset (feed->fleetd->fleet);
  request.want_data = want_data;
  message.body_case = SP__FEED_MESSAGE__BODY_STATE_REQUEST;
  message.state_request = &request;
  packed = feed_pack (&message);
  data = g_bytes_get_data (packed, &len);
  if (peer_link_send (peer->socket, data, len) == 0)
    feed->bytes_sent += len;
  g_bytes_unref (packed);
}

/* Marks the routing table as possibly outdated. */
void
feed_routes_changed (struct feed *feed)
{
  feed->routes_dirty = true;
}

/* Rebuilds the routing table from the current state. Returns whether its content has changed. */
static bool
feed_rebuild_table (struct feed *feed)
{
  Sp__FeedMessage message = SP__FEED_MESSAGE__INIT;
  Sp__RouteTable *routes = fleet_routes (feed->fleetd->fleet);
  GBytes *content;
  bool differ;

  message.body_case = SP__FEED_MESSAGE__BODY_TABLE;
  message.table = routes;
  routes->offset = 0;
  content = feed_pack (&message);
  differ = !feed->content || !g_bytes_equal (content, feed->content);
  if (differ)
    {
      g_clear_pointer (&feed->content, g_bytes_unref);
      g_clear_pointer (&feed->table, g_bytes_unref);
      feed->content = g_bytes_ref (content);
      feed->routes_offset = fleet_offset (feed->fleetd->fleet);
      routes->offset = feed->routes_offset;
      feed->table = feed_pack (&message);
    }
  g_bytes_unref (content);
  sp__route_table__free_unpacked (routes, NULL);
  return differ;
}

/* Adds the tokens earned since the last call. */
static void
feed_refill_tokens (struct feed *feed)
{
  int64_t now_ms = feed->fleetd->clock.now_ms;
  int64_t earned = (now_ms - feed->tokens_updated_ms) / TABLE_TOKEN_MS;

  if (feed->tokens + earned >= TABLE_BURST)
    {
      feed->tokens = TABLE_BURST;
      feed->tokens_updated_ms = now_ms;
      return;
    }
  feed->tokens += (uint32_t) earned;
  feed->tokens_updated_ms += earned * TABLE_TOKEN_MS;
}

/* Sends a changed routing table to all subscribers. Without a token left it waits, so that a burst
 * of changes is combined into one table and the feed's bandwidth stays bounded. */
void
feed_advance (struct feed *feed)
{
  struct subscriber *subscriber;

  if (!feed->routes_dirty || !fleetd_is_ready (feed->fleetd))
    return;
  feed_refill_tokens (feed);
  if (feed->tokens == 0)
    {
      if (!ev_is_active (&feed->token_timer))
        fleetd_set_timer (feed->fleetd, &feed->token_timer, TABLE_TOKEN_MS);
      return;
    }
  feed->routes_dirty = false;
  if (!feed_rebuild_table (feed))
    return;
  feed->tokens--;
  LIST_FOREACH (subscriber, &feed->subscribers, link)
    subscriber_update (feed, subscriber);
}

/* Tells all subscribers that a host is leaving, before the log entry that records it. */
void
feed_hint_leaving (struct feed *feed, const char *host)
{
  Sp__FeedMessage message = SP__FEED_MESSAGE__INIT;
  Sp__LeavingHint hint = SP__LEAVING_HINT__INIT;
  struct subscriber *subscriber;
  GBytes *packed;

  hint.host = (char *) host;
  message.body_case = SP__FEED_MESSAGE__BODY_LEAVING;
  message.leaving = &hint;
  packed = feed_pack (&message);
  LIST_FOREACH (subscriber, &feed->subscribers, link)
    feed_send (feed, subscriber->reply_to, packed);
  g_bytes_unref (packed);
}

/* Sends a routing table that was delayed by the rate limit. */
static void
feed_token_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct feed *feed = timer->data;

  (void) loop;
  (void) events;
  clock_update (&feed->fleetd->clock);
  feed_advance (feed);
}

/* Sends heartbeats and drops subscribers that have timed out. */
static void
feed_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct feed *feed = timer->data;
  struct fleetd *fleetd = feed->fleetd;
  Sp__FeedMessage message = SP__FEED_MESSAGE__INIT;
  Sp__FeedHeartbeat heartbeat = SP__FEED_HEARTBEAT__INIT;
  struct subscriber *subscriber = LIST_FIRST (&feed->subscribers);
  GBytes *packed;

  (void) loop;
  (void) events;
  clock_update (&fleetd->clock);
  heartbeat.offset = feed->routes_offset;
  message.body_case = SP__FEED_MESSAGE__BODY_HEARTBEAT;
  message.heartbeat = &heartbeat;
  packed = feed_pack (&message);
  while (subscriber)
    {
      struct subscriber *next = LIST_NEXT (subscriber, link);

      if (fleetd->clock.now_ms - subscriber->last_heard_ms > SUBSCRIBER_TIMEOUT_MS)
        subscriber_destroy (feed, subscriber);
      else if (fleetd_is_ready (fleetd))
        feed_send (feed, subscriber->reply_to, packed);
      subscriber = next;
    }
  g_bytes_unref (packed);
  fleetd_set_timer (fleetd, timer, HEARTBEAT_MS);
}

/* Opens a connection to each other fleetd. Returns false if an address is not IP:PORT. */
static bool
feed_link_peers (struct feed *feed)
{
  g_auto (GStrv) texts = settings_split_list (feed->fleetd->settings->peers);

  for (size_t i = 0; texts[i]; i++)
    {
      struct peer *peer;
      char ip[64];
      uint16_t port;

      if (settings_parse_endpoint (texts[i], ip, &port) < 0)
        {
          log_error ("feed", "Invalid peer address, not IP:PORT: %s.", texts[i]);
          return false;
        }
      peer = g_new0 (struct peer, 1);
      peer->fleetd = feed->fleetd;
      LIST_INSERT_HEAD (&feed->peers, peer, link);
      peer->socket = peer_link_create (feed->node, ip, port, feed_handle_peer_reply, peer);
    }
  return true;
}

/* Opens the feed port and connects to the peers. Returns false if the port can't be opened or a
 * peer's address is invalid. */
bool
feed_init (struct feed *feed, struct fleetd *fleetd)
{
  struct peer_node_config config = {
    .address = fleetd->settings->listen_address,
    .port = (uint16_t) fleetd->settings->feed_port,
    .public_key = fleetd->settings->feed_public_key,
    .secret_key = fleetd->settings->feed_secret_key,
    .inbound_received = feed_handle_inbound,
    .ctx = feed,
  };

  feed->fleetd = fleetd;
  feed->routes_dirty = true;
  LIST_INIT (&feed->peers);
  LIST_INIT (&feed->subscribers);
  ev_init (&feed->token_timer, feed_token_due);
  feed->token_timer.data = feed;
  ev_init (&feed->timer, feed_tick);
  feed->timer.data = feed;
  feed->node = peer_node_create (fleetd->loop, &config);
  if (!feed->node)
    return false;
  fleetd_set_timer (fleetd, &feed->timer, HEARTBEAT_MS);
  return feed_link_peers (feed);
}

void
feed_finish (struct feed *feed)
{
  struct subscriber *subscriber;
  struct subscriber *next_subscriber;
  struct peer *peer;
  struct peer *next_peer;

  ev_timer_stop (feed->fleetd->loop, &feed->timer);
  ev_timer_stop (feed->fleetd->loop, &feed->token_timer);
  for (subscriber = LIST_FIRST (&feed->subscribers); subscriber; subscriber = next_subscriber)
    {
      next_subscriber = LIST_NEXT (subscriber, link);
      subscriber_destroy (feed, subscriber);
    }
  for (peer = LIST_FIRST (&feed->peers); peer; peer = next_peer)
    {
      next_peer = LIST_NEXT (peer, link);
      peer_link_destroy (peer->socket);
      g_free (peer);
    }
  peer_node_destroy (feed->node);
  g_clear_pointer (&feed->content, g_bytes_unref);
  g_clear_pointer (&feed->table, g_bytes_unref);
}
