#ifndef SESAMEPICK_TESTS_RAW_HTTP_H
#define SESAMEPICK_TESTS_RAW_HTTP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* An HTTP server that responds with status 200 to each request it accepts, and a client that sends
 * requests as raw bytes. */
struct raw_http;

struct raw_http *raw_http_create (uint16_t port);
void raw_http_destroy (struct raw_http *raw);
/* Sends the bytes on a new connection. Returns the status of the response, or 0 if there was none.
 * Sets *closed if the server closed the connection. */
int raw_http_send (struct raw_http *raw, const char *bytes, size_t len, bool *closed);

#endif
