#include <errno.h>
#include <stdlib.h>

#include "common/log.h"
#include "common/peer_socket.h"
#include "common/settings.h"
#include "entry.h"
#include "feed.pb-c.h"

enum
{
  SUBSCRIBE_PERIOD_MS = 1000,
  /* Time without a message after which the feed switches to the next fleetd. */
  FEED_TIMEOUT_MS = 1500,
  CHECK_PERIOD_MS = 100,
  MS_PER_S = 1000,
};

/* Subscription to the route feed of one fleetd at a time. */
struct feed
{
  struct entry *entry;
  struct peer_node *node;
  struct peer_link *link;
  char **fleetds;
  size_t n_fleetds;
  size_t current;
  ev_timer check;
  int64_t last_message_ms;
  int64_t last_subscribe_ms;
  /* The fleetd has announced a newer table than the active one. */
  bool behind;
  /* The loss of the feed has been logged already. */
  bool switch_logged;
  Sp__RouteTable *table;
};

/* Subscribes to route tables newer than the active one at the current fleetd. */
static void
feed_subscribe (struct feed *feed, int64_t now_ms)
{
  Sp__FeedSubscribe subscribe = SP__FEED_SUBSCRIBE__INIT;
  Sp__FeedMessage message = SP__FEED_MESSAGE__INIT;
  g_autofree uint8_t *data = NULL;
  size_t len;

  subscribe.entry = feed->entry->settings->name;
  subscribe.have_offset = dispatch_route_offset (feed->entry->dispatch);
  message.body_case = SP__FEED_MESSAGE__BODY_SUBSCRIBE;
  message.subscribe = &subscribe;
  len = sp__feed_message__get_packed_size (&message);
  data = g_malloc (len);
  sp__feed_message__pack (&message, data);
  if (peer_link_send (feed->link, data, len) != 0)
    return;
  feed->last_subscribe_ms = now_ms;
  feed->behind = false;
}

/* Installs a table if it is newer than the active one and the dispatcher accepts it. Returns
 * whether it was installed; the feed then owns it. */
static bool
feed_install_table (struct feed *feed, Sp__RouteTable *table, int64_t now_ms)
{
  uint64_t active_offset = dispatch_route_offset (feed->entry->dispatch);

  if (feed->table && table->offset <= active_offset)
    return false;
  if (!dispatch_set_routes (feed->entry->dispatch, table, now_ms))
    return false;
  if (feed->table)
    sp__route_table__free_unpacked (feed->table, NULL);
  feed->table = table;
  feed->entry->stats.feed_changes++;
  log_debug ("feed", "Activated the route table of offset %" G_GUINT64_FORMAT ".", table->offset);
  return true;
}

/* Handles one message of the feed. */
static void
feed_apply (struct feed *feed, Sp__FeedMessage *message, int64_t now_ms)
{
  struct dispatch *dispatch = feed->entry->dispatch;

  if (message->body_case == SP__FEED_MESSAGE__BODY_TABLE)
    {
      if (feed_install_table (feed, message->table, now_ms))
        message->body_case = SP__FEED_MESSAGE__BODY__NOT_SET;
    }
  else if (message->body_case == SP__FEED_MESSAGE__BODY_LEAVING)
    dispatch_host_leaving (dispatch, message->leaving->host, now_ms);
  else if (message->body_case == SP__FEED_MESSAGE__BODY_HEARTBEAT)
    feed->behind = !feed->table || message->heartbeat->offset > dispatch_route_offset (dispatch);
}

/* Decodes a message from the fleetd and handles it. */
static void
feed_on_message (void *ctx, const void *data, size_t len)
{
  struct feed *feed = ctx;
  Sp__FeedMessage *message = sp__feed_message__unpack (NULL, len, data);
  int64_t now_ms = entry_now_ms (feed->entry);

  if (!message)
    {
      log_warning ("feed", "Ignored a message from the fleetd: it is not a valid FeedMessage.");
      return;
    }
  feed->last_message_ms = now_ms;
  feed->switch_logged = false;
  feed->entry->stats.feed_messages++;
  feed_apply (feed, message, now_ms);
  sp__feed_message__free_unpacked (message, NULL);
}

/* Opens the link to the current fleetd; the next timer event subscribes. */
static void
feed_connect (struct feed *feed, int64_t now_ms)
{
  char ip[64];
  uint16_t port;

  if (settings_parse_endpoint (feed->fleetds[feed->current], ip, &port) < 0)
    g_assert_not_reached ();
  feed->link = peer_link_create (feed->node, ip, port, feed_on_message, feed);
  feed->last_message_ms = now_ms;
  feed->last_subscribe_ms = 0;
}

/* Switches to the next fleetd in the list. */
static void
feed_switch_fleetd (struct feed *feed, int64_t now_ms)
{
  peer_link_destroy (feed->link);
  feed->current = (feed->current + 1) % feed->n_fleetds;
  if (!feed->switch_logged)
    log_warning ("feed", "The current fleetd sent no message within the timeout; switching to %s.",
                 feed->fleetds[feed->current]);
  feed->switch_logged = true;
  feed_connect (feed, now_ms);
}

/* Renews the subscription when due, and switches away from an unresponsive fleetd. */
static void
feed_on_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct feed *feed = watcher->data;
  int64_t now_ms = entry_now_ms (feed->entry);

  (void) loop;
  (void) events;
  if (now_ms - feed->last_message_ms > FEED_TIMEOUT_MS)
    feed_switch_fleetd (feed, now_ms);
  if (feed->behind || now_ms - feed->last_subscribe_ms >= SUBSCRIBE_PERIOD_MS)
    feed_subscribe (feed, now_ms);
}

/* Validates the configured list of fleetds. Returns false if it is empty or if an entry is not
 * IP:PORT. */
static bool
fleetd_list_is_valid (char **fleetds)
{
  char ip[64];
  uint16_t port;

  for (size_t i = 0; fleetds[i]; i++)
    {
      if (settings_parse_endpoint (fleetds[i], ip, &port) < 0)
        {
          log_error ("feed", "Invalid setting fleetds: \"%s\" is not IP:PORT.", fleetds[i]);
          return false;
        }
    }
  return fleetds[0] != NULL;
}

/* Starts the feed. Returns 0, or -EINVAL if no valid fleetd is configured. */
int
feed_create (struct entry *entry)
{
  struct peer_node_config config = { .port = 0 };
  struct feed *feed = g_new0 (struct feed, 1);

  feed->entry = entry;
  feed->fleetds = settings_split_list (entry->settings->fleetds);
  feed->n_fleetds = g_strv_length (feed->fleetds);
  if (!fleetd_list_is_valid (feed->fleetds))
    {
      g_strfreev (feed->fleetds);
      g_free (feed);
      return -EINVAL;
    }
  feed->node = peer_node_create (entry->loop, &config);
  feed_connect (feed, entry_now_ms (entry));
  ev_timer_init (&feed->check, feed_on_timer, 0.0, (double) CHECK_PERIOD_MS / MS_PER_S);
  feed->check.data = feed;
  ev_timer_start (entry->loop, &feed->check);
  entry->feed = feed;
  return 0;
}

void
feed_destroy (struct feed *feed)
{
  ev_timer_stop (feed->entry->loop, &feed->check);
  peer_node_destroy (feed->node);
  g_strfreev (feed->fleetds);
  if (feed->table)
    sp__route_table__free_unpacked (feed->table, NULL);
  g_free (feed);
}

/* Returns the active route table, or NULL. */
const Sp__RouteTable *
feed_table (const struct feed *feed)
{
  return feed->table;
}
