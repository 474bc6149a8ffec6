#ifndef SESAMEPICK_COMMON_HTTP_CLIENT_H
#define SESAMEPICK_COMMON_HTTP_CLIENT_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/http_server.h"
#include "common/memory_budget.h"

/* HTTP client on a libev loop, based on libcurl's multi interface. */
struct http_client;
struct http_call;

enum http_call_result
{
  /* A complete response arrived. */
  HTTP_CALL_ANSWERED,
  /* No byte of the request was sent, usually because the connection could not be established or
   * timed out. */
  HTTP_CALL_NOT_SENT,
  /* Part of the request was sent, but no complete response arrived, or the response does not state
   * where its body ends. The request may have been carried out. */
  HTTP_CALL_LOST,
  /* The timeout of the call passed after part of the request had been sent. */
  HTTP_CALL_TIMEOUT,
  /* The response body was larger than body_limit, or the headers were larger than 64 KiB; the
   * connection is closed. */
  HTTP_CALL_TOO_LARGE,
};

/* Result of a call. The pointers are valid only during the callback. */
struct http_call_done
{
  enum http_call_result result;
  int status;
  const struct http_header *headers;
  size_t n_headers;
  /* Never NULL, also without a response. Not terminated by a zero byte. */
  const void *body;
  size_t body_len;
  bool reused_connection;
  /* How often libcurl began to send the request; above 1 only for a repeatable call, or if the
   * first connection failed before a byte was sent. The response is to the last send, so that a
   * rejection says nothing of the earlier ones. 0 if no connection was established. */
  unsigned n_sends;
};

struct http_call_config
{
  const char *method;
  /* For example http://127.0.0.1:9000/path. */
  const char *url;
  const struct http_header *headers;
  size_t n_headers;
  const void *body;
  size_t body_len;
  /* Timeout of connecting and of the whole call, in milliseconds. */
  long connect_timeout_ms;
  long timeout_ms;
  /* Largest response body in bytes. */
  size_t body_limit;
  /* Uses a new connection for this call only. */
  bool fresh_connection;
  /* Sends the request again if a reused connection closes before the response. Only for requests
   * of which it does not matter how often they are carried out. Without it such a call is lost,
   * since the request may have been carried out. */
  bool repeatable;
  /* Called once, unless the call is cancelled first. The data that done points to is valid only
   * until it returns. */
  void (*done) (void *ctx, const struct http_call_done *done);
  void *ctx;
};

/* Creates a client. Connections that have been idle for longer than idle_reuse_ms are not reused;
 * below 2000 ms no connection is reused at all, since libcurl measures idle time in whole seconds.
 * max_connections limits the idle connections kept open. */
struct http_client *http_client_create (struct ev_loop *loop, long idle_reuse_ms,
                                        long max_connections);
void http_client_destroy (struct http_client *client);
/* Limits the connections that are open to one endpoint at a time. Further calls wait for one, which
 * counts towards their timeout. */
/* Bounds the bodies of responses that are being received: one that doesn't fit into the memory is
 * not read on until there is room. The one that began first is read on in any case. */
void http_client_set_memory (struct http_client *client, struct memory_budget *memory);
void http_client_limit_endpoint_connections (struct http_client *client, long max);
/* Excludes all present connections to an endpoint, given as IP:PORT as in the URL, from reuse. */
void http_client_exclude_connections (struct http_client *client, const char *endpoint);
/* Starts a call; done is called from a later loop iteration. Copies what config points to. Returns
 * NULL if libcurl rejects the call. */
struct http_call *http_call_create (struct http_client *client,
                                    const struct http_call_config *config);
/* Aborts the call and closes its connection; done is not called. */
void http_call_cancel (struct http_call *call);

#endif
