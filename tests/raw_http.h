#ifndef SESAMEPICK_TESTS_RAW_HTTP_H
#define SESAMEPICK_TESTS_RAW_HTTP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A server that answers each request with 200, and requests sent to it byte by byte as given. */
struct raw_http;

struct raw_http *raw_http_create (uint16_t port);
void raw_http_destroy (struct raw_http *raw);
/* Sends the bytes on a new connection. Gives the answer's status, or 0 if none came; closed tells
 * whether the server closed the connection. */
int raw_http_send (struct raw_http *raw, const char *bytes, size_t len, bool *closed);

#endif
