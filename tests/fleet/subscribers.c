#include "subscribers.h"

#include <string.h>

#include "common/peer_socket.h"
#include "feed.pb-c.h"

static const double SUBSCRIBE_INTERVAL_S = 0.2;

static void
subscriber_subscribe (struct subscriber *subscriber)
{
  Sp__FeedMessage message = SP__FEED_MESSAGE__INIT;
  Sp__FeedSubscribe subscribe = SP__FEED_SUBSCRIBE__INIT;
  uint8_t data[128];

  subscribe.entry = "entry";
  subscribe.have_offset = subscriber->offset;
  message.body_case = SP__FEED_MESSAGE__BODY_SUBSCRIBE;
  message.subscribe = &subscribe;
  peer_link_send (subscriber->link, data, sp__feed_message__pack (&message, data));
}

/* Stores a table, and counts one that is older than the last. */
static void
subscriber_store_table (struct subscriber *subscriber, const Sp__RouteTable *table)
{
  subscriber->n_tables++;
  if (table->offset < subscriber->offset)
    {
      subscriber->n_older_tables++;
      return;
    }
  subscriber->offset = table->offset;
  subscriber->table_received_ms = test_now_ms ();
  subscriber->n_workers = 0;
  for (size_t i = 0; i < table->n_services; i++)
    {
      subscriber->deadline_ms = table->services[i]->deadline_ms;
      for (size_t j = 0; j < table->services[i]->n_workers; j++)
        subscriber->n_workers += !table->services[i]->workers[j]->leaving;
    }
}

/* Handles a feed message. */
static void
subscriber_received (void *ctx, const void *data, size_t len)
{
  struct subscriber *subscriber = ctx;
  Sp__FeedMessage *message = sp__feed_message__unpack (NULL, len, data);

  if (!message)
    return;
  if (message->body_case == SP__FEED_MESSAGE__BODY_TABLE)
    subscriber_store_table (subscriber, message->table);
  else if (message->body_case == SP__FEED_MESSAGE__BODY_HEARTBEAT)
    subscriber->n_heartbeats++;
  else if (message->body_case == SP__FEED_MESSAGE__BODY_LEAVING)
    {
      g_strlcpy (subscriber->hinted_host, message->leaving->host, sizeof subscriber->hinted_host);
      subscriber->hint_received_ms = test_now_ms ();
    }
  sp__feed_message__free_unpacked (message, NULL);
}

/* Repeats all subscriptions, as entryds do. */
static void
subscribers_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct subscribers *all = timer->data;

  (void) loop;
  (void) events;
  for (unsigned i = 0; i < all->n; i++)
    subscriber_subscribe (&all->each[i]);
}

/* Connects one subscriber to each fleetd. */
void
subscribers_init (struct subscribers *all, struct ev_loop *loop, const struct cluster *cluster)
{
  struct peer_node_config config = { .address = "127.0.0.1", .public_key = "", .secret_key = "" };

  memset (all, 0, sizeof *all);
  all->loop = loop;
  all->node = peer_node_create (all->loop, &config);
  all->n = cluster->n_fleetds;
  for (unsigned i = 0; i < all->n; i++)
    {
      struct subscriber *subscriber = &all->each[i];

      subscriber->all = all;
      subscriber->index = i;
      subscriber->link = peer_link_create (all->node, "127.0.0.1", cluster_feed_port (cluster, i),
                                           subscriber_received, subscriber);
      subscriber_subscribe (subscriber);
    }
  ev_timer_init (&all->timer, subscribers_tick, SUBSCRIBE_INTERVAL_S, SUBSCRIBE_INTERVAL_S);
  all->timer.data = all;
  ev_timer_start (all->loop, &all->timer);
}

void
subscribers_finish (struct subscribers *all)
{
  ev_timer_stop (all->loop, &all->timer);
  for (unsigned i = 0; i < all->n; i++)
    peer_link_destroy (all->each[i].link);
  peer_node_destroy (all->node);
}

/* Runs the event loop until a condition holds. */
bool
subscribers_run (struct subscribers *all, bool (*until) (void *ctx), void *ctx, int64_t limit_ms)
{
  int64_t end_ms = test_now_ms () + limit_ms;

  while (test_now_ms () < end_ms)
    {
      ev_run (all->loop, EVRUN_NOWAIT);
      if (until && until (ctx))
        return true;
      test_sleep_ms (1);
    }
  return false;
}

/* Returns whether all subscribers have received the expected deadline. */
static bool
subscribers_have_expected_deadline (void *ctx)
{
  const struct subscribers *all = ctx;

  for (unsigned i = 0; i < all->n; i++)
    {
      if (all->each[i].deadline_ms != *(uint32_t *) all->until_ctx)
        return false;
    }
  return true;
}

/* Waits until all subscribers have received a deadline. */
bool
subscribers_wait_deadline (struct subscribers *all, uint32_t deadline_ms, int64_t limit_ms)
{
  all->until_ctx = &deadline_ms;
  return subscribers_run (all, subscribers_have_expected_deadline, all, limit_ms);
}

/* Counts the tables that were older than an earlier one. */
uint32_t
subscribers_count_older_tables (const struct subscribers *all)
{
  uint32_t n = 0;

  for (unsigned i = 0; i < all->n; i++)
    n += all->each[i].n_older_tables;
  return n;
}
