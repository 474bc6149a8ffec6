#ifndef SESAMEPICK_ENTRYD_HEADERS_H
#define SESAMEPICK_ENTRYD_HEADERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/http_client.h"
#include "common/http_server.h"

/* Options that a caller sets by request headers. */
struct caller_options
{
  bool idempotent;
  /* Value of Idempotency-Key, or NULL. */
  const char *key;
  /* 0 if the caller gave no timeout. */
  int64_t timeout_ms;
};

/* Reads the caller's options. Returns NULL, or an error message for the caller. */
const char *headers_read_options (const struct http_request *request,
                                  struct caller_options *options);
/* Returns the request headers to forward to the endpoint as an array of struct http_header. The
 * strings belong to the request. */
GArray *headers_to_endpoint (const struct http_request *request);
/* Returns the response headers to forward to the caller. The strings belong to the response. */
GArray *headers_to_caller (const struct http_call_done *response, bool head_request);
/* Returns the value of a header, or NULL. */
const char *headers_value (const struct http_header *headers, size_t n, const char *name);
/* Returns whether a header is the boolean true of RFC 8941. */
bool headers_is_true (const struct http_header *headers, size_t n, const char *name);

#endif
