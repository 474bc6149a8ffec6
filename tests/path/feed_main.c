/* Test double for a fleetd's feed: sends entryds the route tables that a test posts over HTTP.
 * usage: test-feed FEED_PORT HTTP_PORT
 * HTTP requests: POST /table (a RouteTable as JSON), /leaving?host=NAME, /mute?on=0|1. */
#include <ev.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "common/http_server.h"
#include "common/message_text.h"
#include "common/peer_socket.h"
#include "feed.pb-c.h"

enum
{
  BODY_LIMIT_BYTES = 1024 * 1024,
  CONNECTION_LIMIT = 16,
};

static const double heartbeat_period_s = 0.5;

/* A subscribed entryd: the address to which its messages are sent. */
struct subscriber
{
  void *reply_to;
  size_t len;
};

struct feed_stub
{
  struct peer_node *node;
  /* Subscribers by the name of their entry host. */
  GHashTable *subscribers;
  Sp__RouteTable *table;
  /* While set, nothing is sent, as by a fleetd that has stopped responding. */
  bool mute;
  ev_timer heartbeat;
};

static void
subscriber_free (gpointer value)
{
  struct subscriber *subscriber = value;

  g_free (subscriber->reply_to);
  g_free (subscriber);
}

/* Sends a message to one subscriber, unless the feed is muted. */
static void
stub_send (struct feed_stub *stub, const struct subscriber *subscriber,
           const Sp__FeedMessage *message)
{
  size_t len = sp__feed_message__get_packed_size (message);
  uint8_t *data = g_malloc (len);

  sp__feed_message__pack (message, data);
  if (!stub->mute)
    peer_node_reply (stub->node, subscriber->reply_to, subscriber->len, data, len);
  g_free (data);
}

static void
stub_send_all (struct feed_stub *stub, const Sp__FeedMessage *message)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, stub->subscribers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    stub_send (stub, value, message);
}

/* Sends the current table to one subscriber, or to all if only is NULL. */
static void
stub_send_table (struct feed_stub *stub, const struct subscriber *only)
{
  Sp__FeedMessage message = SP__FEED_MESSAGE__INIT;

  if (!stub->table)
    return;
  message.body_case = SP__FEED_MESSAGE__BODY_TABLE;
  message.table = stub->table;
  if (only)
    stub_send (stub, only, &message);
  else
    stub_send_all (stub, &message);
}

/* Sends the offset of the current table to all subscribers. */
static void
stub_on_heartbeat (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct feed_stub *stub = watcher->data;
  Sp__FeedHeartbeat heartbeat = SP__FEED_HEARTBEAT__INIT;
  Sp__FeedMessage message = SP__FEED_MESSAGE__INIT;

  (void) loop;
  (void) events;
  heartbeat.offset = stub->table ? stub->table->offset : 0;
  message.body_case = SP__FEED_MESSAGE__BODY_HEARTBEAT;
  message.heartbeat = &heartbeat;
  stub_send_all (stub, &message);
}

/* Handles a subscription of an entryd; sends the table if the subscriber's is older. */
static void
stub_on_message (void *ctx, const void *reply_to, size_t reply_to_len, const void *data, size_t len)
{
  struct feed_stub *stub = ctx;
  Sp__FeedMessage *message = sp__feed_message__unpack (NULL, len, data);
  struct subscriber *subscriber;

  if (!message || message->body_case != SP__FEED_MESSAGE__BODY_SUBSCRIBE)
    return;
  subscriber = g_new0 (struct subscriber, 1);
  subscriber->reply_to = g_memdup2 (reply_to, reply_to_len);
  subscriber->len = reply_to_len;
  g_hash_table_replace (stub->subscribers, g_strdup (message->subscribe->entry), subscriber);
  if (stub->table && message->subscribe->have_offset < stub->table->offset)
    stub_send_table (stub, subscriber);
  sp__feed_message__free_unpacked (message, NULL);
}

/* Parses the table in a request's body and sends it to all subscribers. Returns false if it is
 * invalid. */
static bool
stub_set_table (struct feed_stub *stub, struct http_request *request)
{
  size_t len;
  const char *body = http_request_body (request, &len);
  json_t *json = json_loadb (body, len, 0, NULL);
  struct text_error error;
  ProtobufCMessage *table =
      json ? message_from_json (&sp__route_table__descriptor, json, &error) : NULL;

  json_decref (json);
  if (!table)
    return false;
  if (stub->table)
    sp__route_table__free_unpacked (stub->table, NULL);
  stub->table = (Sp__RouteTable *) table;
  stub_send_table (stub, NULL);
  return true;
}

/* Sends all subscribers the advance notice that a host is leaving. */
static void
stub_send_leaving (struct feed_stub *stub, const char *host)
{
  Sp__LeavingHint leaving = SP__LEAVING_HINT__INIT;
  Sp__FeedMessage message = SP__FEED_MESSAGE__INIT;

  leaving.host = (char *) host;
  message.body_case = SP__FEED_MESSAGE__BODY_LEAVING;
  message.leaving = &leaving;
  stub_send_all (stub, &message);
}

/* Handles an HTTP request of the test. Any other path gets status 200, which tests use to wait
 * until the feed is up. */
static void
stub_handle (void *ctx, struct http_request *request)
{
  struct feed_stub *stub = ctx;
  const char *path = http_request_path (request);
  bool good = true;

  if (strcmp (path, "/table") == 0)
    good = stub_set_table (stub, request);
  else if (g_str_has_prefix (path, "/leaving?"))
    stub_send_leaving (stub, http_request_query (request, "host"));
  else if (g_str_has_prefix (path, "/mute?"))
    stub->mute = strcmp (http_request_query (request, "on"), "1") == 0;
  http_request_respond_text (request, good ? 200 : 400, "text/plain", good ? "ok\n" : "bad\n");
}

int
main (int argc, char **argv)
{
  struct ev_loop *loop = ev_default_loop (0);
  struct feed_stub stub = { 0 };
  struct peer_node_config node = { .address = "127.0.0.1", .inbound_received = stub_on_message };
  struct http_server_config http = {
    .address = "127.0.0.1",
    .body_limit = BODY_LIMIT_BYTES,
    .connection_limit = CONNECTION_LIMIT,
    .handle = stub_handle,
    .ctx = &stub,
  };

  if (argc != 3)
    return 2;
  stub.subscribers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, subscriber_free);
  node.port = (uint16_t) strtol (argv[1], NULL, 10);
  node.ctx = &stub;
  http.port = (uint16_t) strtol (argv[2], NULL, 10);
  stub.node = peer_node_create (loop, &node);
  if (!stub.node || !http_server_create (loop, &http))
    return 2;
  ev_timer_init (&stub.heartbeat, stub_on_heartbeat, heartbeat_period_s, heartbeat_period_s);
  stub.heartbeat.data = &stub;
  ev_timer_start (loop, &stub.heartbeat);
  ev_run (loop, 0);
  return 0;
}
