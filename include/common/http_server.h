#ifndef SESAMEPICK_COMMON_HTTP_SERVER_H
#define SESAMEPICK_COMMON_HTTP_SERVER_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <glib.h>
#include <stdint.h>

#include "common/memory_budget.h"

/* HTTP server on a libev loop, based on libmicrohttpd. The handler gets each request once it has
 * arrived completely, and responds to it at once or later with http_request_respond. Clients that
 * take too much or too long are refused or closed (common/client_limits.h), and what one iteration
 * of the loop reads and handles is bounded (common/turn_queue.h). */
struct http_server;
struct http_request;

struct http_header
{
  const char *name;
  const char *value;
};

struct http_response
{
  int status;
  const struct http_header *headers;
  size_t n_headers;
  const void *body;
  size_t body_len;
};

struct http_server_config
{
  const char *address;
  uint16_t port;
  /* Largest request body in bytes. */
  size_t body_limit;
  /* When more connections are open, one is closed (client_limits_next_excess). */
  unsigned connection_limit;
  /* Memory of bodies and responses, shared by the process; NULL for no bound. */
  struct memory_budget *memory;
  /* Called for each complete request. The handler must respond to it or drop it exactly once, at
   * once or later, unless the caller disconnects first. */
  void (*handle) (void *ctx, struct http_request *request);
  /* Called if the caller disconnects or shuts down its sending side before the response; the
   * request is invalid once this returns. Called only between handle and http_request_respond. May
   * be NULL. */
  void (*caller_disconnected) (void *ctx, struct http_request *request);
  /* Called for a request whose body is larger than the limit or whose Content-Length is malformed.
   * Must respond before it returns; the body is not available. If NULL, the server responds with a
   * plain 413. */
  void (*reject_body_size) (void *ctx, struct http_request *request);
  /* Called for a request whose body does not fit into the memory now. Must respond before it
   * returns; the body is not available. If NULL, the server responds with a plain 503. */
  void (*reject_for_memory) (void *ctx, struct http_request *request);
  void *ctx;
};

/* Starts a server. Returns NULL if the address cannot be bound. */
struct http_server *http_server_create (struct ev_loop *loop,
                                        const struct http_server_config *config);
/* Closes each connection after its next response. */
void http_server_close_after_response (struct http_server *server);
/* Closes the listening socket. Open connections remain until their next response. */
void http_server_quiesce (struct http_server *server);
void http_server_destroy (struct http_server *server);
/* Returns the number of requests that were passed to the handler and whose responses are not fully
 * sent yet. */
unsigned http_server_open_requests (const struct http_server *server);
/* Returns the number of open connections. */
unsigned http_server_connections (const struct http_server *server);
/* Returns the number of connections that a server of a process may have: as many as wanted, within
 * its memory and its limit of descriptors. Logs if these are fewer. */
unsigned http_server_connection_limit (unsigned wanted, uint32_t memory_mb);

/* A server in the metrics, and the value of its label "port". */
struct http_server_metrics
{
  const struct http_server *server;
  const char *port;
};

/* Appends the servers' connections and refusals, and what the budget holds, in the Prometheus text
 * format. prefix begins the metrics' names. */
void http_server_print_metrics (GString *text, const char *prefix,
                                const struct http_server_metrics *servers, size_t n,
                                const struct memory_budget *memory);

const char *http_request_method (const struct http_request *request);
/* Returns the path and query as they appear in the request line. */
const char *http_request_path (const struct http_request *request);
/* Returns the value of a query parameter, or NULL. */
const char *http_request_query (const struct http_request *request, const char *name);
/* Returns the value of a header, or NULL; names match without case. */
const char *http_request_header (const struct http_request *request, const char *name);
/* Calls each for all headers in order. */
void http_request_headers (const struct http_request *request,
                           void (*each) (void *ctx, const char *name, const char *value),
                           void *ctx);
/* Returns the complete body, which is valid as long as the request; never NULL. */
const void *http_request_body (const struct http_request *request, size_t *len);
/* Frees the body of a request that needs it no more. */
void http_request_release_body (struct http_request *request);
/* Returns when the request was complete, in the time of struct clock: it may have waited for its
 * turn since. */
int64_t http_request_complete_ms (const struct http_request *request);
/* Attach a pointer of the handler to the request. */
void http_request_set_data (struct http_request *request, void *data);
void *http_request_data (const struct http_request *request);
/* Sends a copy of the response; the request is invalid afterwards. */
void http_request_respond (struct http_request *request, const struct http_response *response);
/* Closes the caller's connection without a response; the request is invalid afterwards. */
void http_request_drop (struct http_request *request);
/* Writes raw bytes to the caller's connection and leaves the request open; for test servers that
 * simulate faults. Bytes that do not fit into the socket buffer are lost. */
void http_request_write_raw (struct http_request *request, const void *data, size_t len);
/* Responds with a string of the given content type. */
void http_request_respond_text (struct http_request *request, int status, const char *content_type,
                                const char *text);

#endif
