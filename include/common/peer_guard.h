#ifndef SESAMEPICK_COMMON_PEER_GUARD_H
#define SESAMEPICK_COMMON_PEER_GUARD_H

#include <ev.h>

/* Authenticates the peers of the CURVE sockets in one ZeroMQ context, as its ZAP handler (ZeroMQ
 * Authentication Protocol, RFC 27): only peers that hold the shared key are admitted. Without a
 * handler, CURVE accepts any client that knows the public key. */
struct peer_guard;

/* Creates the handler; public_key is in Z85. Returns NULL if the key is invalid. */
struct peer_guard *peer_guard_create (struct ev_loop *loop, void *context, const char *public_key);
void peer_guard_destroy (struct peer_guard *guard);

#endif
