#include "common/peer_socket.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/queue.h>
#include <zmq.h>

#include "common/log.h"
#include "common/zap_handler.h"

enum
{
  /* Messages queued per peer in each direction. */
  QUEUE_MAX_MESSAGES = 1000,
  HANDSHAKE_TIMEOUT_MS = 1000,
  HEARTBEAT_INTERVAL_MS = 500,
  HEARTBEAT_TIMEOUT_MS = 1500,
  RECONNECT_MIN_MS = 50,
  RECONNECT_MAX_MS = 1000,
  CONNECT_TIMEOUT_MS = 500,
  ROUTING_ID_MAX_BYTES = 255,
  /* Messages handled per wake-up, so that the other watchers of the loop get their turn. */
  DRAIN_MESSAGES_MAX = 256,
  KEY_BYTES = 32,
  /* Length of a key in Z85. */
  KEY_CHARACTERS = 40,
};

static const int64_t message_max_bytes = INT64_C (16) * 1024 * 1024;

/* A ZeroMQ socket in the loop. Its descriptor is edge-triggered, so readiness has to be checked
 * after each wake-up and after each send. */
struct peer_channel
{
  struct ev_loop *loop;
  void *socket;
  ev_io ready;
  void (*drain) (struct peer_channel *channel);
};

struct peer_link
{
  struct peer_channel channel;
  struct peer_node *node;
  char endpoint[96];
  void (*received) (void *ctx, const void *data, size_t len);
  void *ctx;
  LIST_ENTRY (peer_link) link;
};

LIST_HEAD (peer_link_list, peer_link);

struct peer_node
{
  struct peer_channel channel;
  struct ev_loop *loop;
  void *context;
  /* One character more than a key and its end, so that a key that is too long does not pass as one
   * of the right length. */
  char public_key[KEY_CHARACTERS + 2];
  char secret_key[KEY_CHARACTERS + 2];
  void (*inbound_received) (void *ctx, const void *reply_to, size_t reply_to_len, const void *data,
                            size_t len);
  void *ctx;
  struct peer_link_list links;
  /* NULL if no keys are configured. */
  struct zap_handler *zap_handler;
};

/* Sets an integer option. */
static void
socket_set_int (void *socket, int option, int value)
{
  zmq_setsockopt (socket, option, &value, sizeof value);
}

/* Sets the options of all sockets: queue limits, handshake timeout, heartbeats, message size. */
static void
socket_set_common (void *socket)
{
  socket_set_int (socket, ZMQ_LINGER, 0);
  socket_set_int (socket, ZMQ_SNDHWM, QUEUE_MAX_MESSAGES);
  socket_set_int (socket, ZMQ_RCVHWM, QUEUE_MAX_MESSAGES);
  socket_set_int (socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS);
  socket_set_int (socket, ZMQ_HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS);
  socket_set_int (socket, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
  zmq_setsockopt (socket, ZMQ_MAXMSGSIZE, &message_max_bytes, sizeof message_max_bytes);
}

/* Drains the channel after its descriptor became ready or channel_schedule_drain was called. */
static void
channel_on_ready (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct peer_channel *channel = watcher->data;

  (void) loop;
  (void) events;
  channel->drain (channel);
}

/* Returns whether a message can be received. */
static bool
channel_can_receive (const struct peer_channel *channel)
{
  int events = 0;
  size_t len = sizeof events;

  if (zmq_getsockopt (channel->socket, ZMQ_EVENTS, &events, &len) != 0)
    return false;
  return events & ZMQ_POLLIN;
}

/* Schedules a drain of the channel in the present loop iteration. */
static void
channel_schedule_drain (struct peer_channel *channel)
{
  ev_feed_event (channel->loop, &channel->ready, EV_READ);
}

/* Adds a socket to the loop. */
static void
channel_start (struct peer_channel *channel, struct ev_loop *loop,
               void (*drain) (struct peer_channel *channel))
{
  int fd = -1;
  size_t len = sizeof fd;

  zmq_getsockopt (channel->socket, ZMQ_FD, &fd, &len);
  channel->loop = loop;
  channel->drain = drain;
  ev_io_init (&channel->ready, channel_on_ready, fd, EV_READ);
  channel->ready.data = channel;
  ev_io_start (loop, &channel->ready);
  channel_schedule_drain (channel);
}

/* Removes a socket from the loop and closes it. */
static void
channel_stop (struct peer_channel *channel)
{
  if (!channel->socket)
    return;
  ev_io_stop (channel->loop, &channel->ready);
  zmq_close (channel->socket);
  channel->socket = NULL;
}

/* Reads the remaining frames of a message and keeps only the last one. */
static void
message_read_last_frame (void *socket, zmq_msg_t *message)
{
  while (zmq_msg_more (message))
    {
      if (zmq_msg_recv (message, socket, ZMQ_DONTWAIT) < 0)
        return;
    }
}

/* Receives one message from a peer that connected to this node. Returns false if there is none. */
static bool
node_receive (struct peer_node *node)
{
  unsigned char reply_to[ROUTING_ID_MAX_BYTES];
  zmq_msg_t message;
  int len = zmq_recv (node->channel.socket, reply_to, sizeof reply_to, ZMQ_DONTWAIT);

  if (len < 0)
    return false;
  zmq_msg_init (&message);
  if (zmq_msg_recv (&message, node->channel.socket, ZMQ_DONTWAIT) >= 0)
    {
      message_read_last_frame (node->channel.socket, &message);
      node->inbound_received (node->ctx, reply_to, (size_t) len, zmq_msg_data (&message),
                              zmq_msg_size (&message));
    }
  zmq_msg_close (&message);
  return true;
}

/* Receives pending messages at the bound socket, at most DRAIN_MESSAGES_MAX per call. */
static void
node_drain (struct peer_channel *channel)
{
  struct peer_node *node = (struct peer_node *) channel;

  for (int i = 0; i < DRAIN_MESSAGES_MAX; i++)
    {
      if (!channel_can_receive (channel))
        return;
      if (!node_receive (node))
        return;
    }
  channel_schedule_drain (channel);
}

/* Receives pending messages of a link, at most DRAIN_MESSAGES_MAX per call. The callback must not
 * destroy the link. */
static void
link_drain (struct peer_channel *channel)
{
  struct peer_link *link = (struct peer_link *) channel;

  for (int i = 0; i < DRAIN_MESSAGES_MAX; i++)
    {
      zmq_msg_t message;

      if (!channel_can_receive (channel))
        return;
      zmq_msg_init (&message);
      if (zmq_msg_recv (&message, channel->socket, ZMQ_DONTWAIT) < 0)
        {
          zmq_msg_close (&message);
          return;
        }
      message_read_last_frame (channel->socket, &message);
      if (link->received)
        link->received (link->ctx, zmq_msg_data (&message), zmq_msg_size (&message));
      zmq_msg_close (&message);
    }
  channel_schedule_drain (channel);
}

/* Binds the node's own socket. Returns 0 or a negative error number. */
static int
node_bind (struct peer_node *node, const struct peer_node_config *config)
{
  g_autofree char *endpoint = g_strdup_printf ("tcp://%s:%u", config->address, config->port);
  void *socket = zmq_socket (node->context, ZMQ_ROUTER);

  if (!socket)
    return -errno;
  socket_set_common (socket);
  socket_set_int (socket, ZMQ_ROUTER_MANDATORY, 1);
  if (node->secret_key[0] != '\0')
    {
      socket_set_int (socket, ZMQ_CURVE_SERVER, 1);
      zmq_setsockopt (socket, ZMQ_CURVE_SECRETKEY, node->secret_key, strlen (node->secret_key));
    }
  if (zmq_bind (socket, endpoint) != 0)
    {
      int error = -errno;

      zmq_close (socket);
      return error;
    }
  node->channel.socket = socket;
  channel_start (&node->channel, node->loop, node_drain);
  return 0;
}

/* Stores the node's keys and starts the authentication of peers. Returns false if the keys are
 * invalid; the node must then not start, since its sockets would accept any peer. */
static bool
node_set_keys (struct peer_node *node, const char *public_key, const char *secret_key)
{
  uint8_t bytes[KEY_BYTES];

  g_strlcpy (node->public_key, public_key ? public_key : "", sizeof node->public_key);
  g_strlcpy (node->secret_key, secret_key ? secret_key : "", sizeof node->secret_key);
  if (node->public_key[0] == '\0' && node->secret_key[0] == '\0')
    return true;
  if (strlen (node->secret_key) != KEY_CHARACTERS || !zmq_z85_decode (bytes, node->secret_key))
    return false;
  node->zap_handler = zap_handler_create (node->loop, node->context, node->public_key);
  return node->zap_handler != NULL;
}

/* Creates a node. Returns NULL and sets errno if its address cannot be bound, or to EINVAL if the
 * keys are invalid. */
struct peer_node *
peer_node_create (struct ev_loop *loop, const struct peer_node_config *config)
{
  struct peer_node *node = g_new0 (struct peer_node, 1);
  int error = 0;

  node->loop = loop;
  node->context = zmq_ctx_new ();
  node->inbound_received = config->inbound_received;
  node->ctx = config->ctx;
  LIST_INIT (&node->links);
  if (!node_set_keys (node, config->public_key, config->secret_key))
    error = -EINVAL;
  else if (config->port != 0)
    error = node_bind (node, config);
  if (error != 0)
    {
      peer_node_destroy (node);
      errno = -error;
      return NULL;
    }
  return node;
}

/* Closes the node and all its links. */
void
peer_node_destroy (struct peer_node *node)
{
  struct peer_link *link = LIST_FIRST (&node->links);

  while (link)
    {
      struct peer_link *next = LIST_NEXT (link, link);

      peer_link_destroy (link);
      link = next;
    }
  channel_stop (&node->channel);
  if (node->zap_handler)
    zap_handler_destroy (node->zap_handler);
  zmq_ctx_term (node->context);
  g_free (node);
}

/* Replies to a peer that connected to this node. Returns 0 or a negative error number: -EAGAIN if
 * the queue to the peer is full, -EHOSTUNREACH if the peer is gone. */
int
peer_node_reply (struct peer_node *node, const void *reply_to, size_t reply_to_len,
                 const void *data, size_t len)
{
  void *socket = node->channel.socket;
  bool sent = zmq_send (socket, reply_to, reply_to_len, ZMQ_DONTWAIT | ZMQ_SNDMORE) >= 0 &&
              zmq_send (socket, data, len, ZMQ_DONTWAIT) >= 0;
  int error = sent ? 0 : -errno;

  channel_schedule_drain (&node->channel);
  return error;
}

/* Opens the socket of a link; the connection is established in the background. The peer's public
 * key is the node's own, since all nodes share one key pair. */
static void
link_open (struct peer_link *link)
{
  struct peer_node *node = link->node;
  void *socket = zmq_socket (node->context, ZMQ_DEALER);

  g_assert (socket);
  socket_set_common (socket);
  socket_set_int (socket, ZMQ_IMMEDIATE, 1);
  socket_set_int (socket, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS);
  socket_set_int (socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
  socket_set_int (socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
  if (node->secret_key[0] != '\0')
    {
      zmq_setsockopt (socket, ZMQ_CURVE_SERVERKEY, node->public_key, strlen (node->public_key));
      zmq_setsockopt (socket, ZMQ_CURVE_PUBLICKEY, node->public_key, strlen (node->public_key));
      zmq_setsockopt (socket, ZMQ_CURVE_SECRETKEY, node->secret_key, strlen (node->secret_key));
    }
  if (zmq_connect (socket, link->endpoint) != 0)
    log_warning ("peer", "Cannot connect to %s: %s.", link->endpoint, zmq_strerror (errno));
  link->channel.socket = socket;
  channel_start (&link->channel, node->loop, link_drain);
}

/* Opens a link to a peer. */
struct peer_link *
peer_link_create (struct peer_node *node, const char *ip, uint16_t port,
                  void (*received) (void *ctx, const void *data, size_t len), void *ctx)
{
  struct peer_link *link = g_new0 (struct peer_link, 1);

  link->node = node;
  link->received = received;
  link->ctx = ctx;
  g_snprintf (link->endpoint, sizeof link->endpoint, "tcp://%s:%u", ip, port);
  LIST_INSERT_HEAD (&node->links, link, link);
  link_open (link);
  return link;
}

/* Closes a link. Must not be called from the link's own callback. */
void
peer_link_destroy (struct peer_link *link)
{
  LIST_REMOVE (link, link);
  channel_stop (&link->channel);
  g_free (link);
}

/* Sends a message. Returns 0 or a negative error number: -EAGAIN if the connection is down or its
 * queue is full. */
int
peer_link_send (struct peer_link *link, const void *data, size_t len)
{
  int error = zmq_send (link->channel.socket, data, len, ZMQ_DONTWAIT) < 0 ? -errno : 0;

  channel_schedule_drain (&link->channel);
  return error;
}

/* Closes the connection, drops its queued messages and connects again. Must not be called from the
 * link's own callback. */
void
peer_link_reconnect (struct peer_link *link)
{
  channel_stop (&link->channel);
  link_open (link);
}
