#ifndef SESAMEPICK_COMMON_ZAP_HANDLER_H
#define SESAMEPICK_COMMON_ZAP_HANDLER_H

#include <ev.h>

/* Authenticates the peers of the CURVE sockets in one ZeroMQ context, as its ZAP handler (ZeroMQ
 * Authentication Protocol, RFC 27): only peers that hold the shared key are admitted. Without a
 * handler, CURVE accepts any client that knows the public key. */
struct zap_handler;

/* Creates the handler; public_key is in Z85. Returns NULL if the key is invalid. */
struct zap_handler *zap_handler_create (struct ev_loop *loop, void *context,
                                        const char *public_key);
void zap_handler_destroy (struct zap_handler *handler);

#endif
