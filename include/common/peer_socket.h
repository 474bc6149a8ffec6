#ifndef SESAMEPICK_COMMON_PEER_SOCKET_H
#define SESAMEPICK_COMMON_PEER_SOCKET_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Messages between sesamepick processes over ZeroMQ on a libev loop. A node binds one ROUTER socket
 * and opens one DEALER socket per peer. All nodes share one CURVE key pair. ZMQ_FD is
 * edge-triggered, so each socket is drained until ZMQ_EVENTS reports no more input. Messages may be
 * lost but never arrive truncated. */
struct peer_node;
struct peer_link;

struct peer_node_config
{
  const char *address;
  /* 0 for a node that only opens links and binds no port. */
  uint16_t port;
  /* The CURVE key pair of all nodes, in Z85; empty strings disable encryption. */
  const char *public_key;
  const char *secret_key;
  /* Called for each message from a peer that connected to this node; reply_to can be passed to
   * peer_node_reply. */
  void (*inbound_received) (void *ctx, const void *reply_to, size_t reply_to_len, const void *data,
                            size_t len);
  void *ctx;
};

/* Creates a node. Returns NULL and sets errno if the address cannot be bound, or to EINVAL if the
 * keys are invalid. */
struct peer_node *peer_node_create (struct ev_loop *loop, const struct peer_node_config *config);
void peer_node_destroy (struct peer_node *node);
/* Replies to a peer that connected to this node. Returns 0 or a negative error number: -EAGAIN if
 * the queue to the peer is full, -EHOSTUNREACH if the peer is gone. */
int peer_node_reply (struct peer_node *node, const void *reply_to, size_t reply_to_len,
                     const void *data, size_t len);

/* Opens a link to a peer. The connection is established in the background; received may be NULL. */
struct peer_link *peer_link_create (struct peer_node *node, const char *ip, uint16_t port,
                                    void (*received) (void *ctx, const void *data, size_t len),
                                    void *ctx);
/* Must not be called from the link's own callback. */
void peer_link_destroy (struct peer_link *link);
/* Sends a message. Returns 0 or a negative error number; -EAGAIN if the connection is down or its
 * queue is full. */
int peer_link_send (struct peer_link *link, const void *data, size_t len);
/* Closes the connection, drops its queued messages and connects again; for a peer that no longer
 * responds. Must not be called from the link's own callback. */
void peer_link_reconnect (struct peer_link *link);

#endif
