#define _GNU_SOURCE
#include "common/http_server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <microhttpd.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/queue.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/client_limits.h"
#include "common/clock.h"
#include "common/log.h"
#include "common/loop_timer.h"
#include "common/turn_queue.h"

enum
{
  /* Buffers of a connection, together CLIENT_CONNECTION_BYTES: libmicrohttpd's for heads and parts
   * of bodies, and what the kernel keeps unread. */
  CONNECTION_MEMORY_BYTES = 24 * 1024,
  RECEIVE_BUFFER_BYTES = 16 * 1024,
  CONNECTION_IDLE_S = 60,
  /* Connections beyond the limit that libmicrohttpd accepts while others are being closed. */
  CLOSING_CONNECTIONS_MAX = 64,
  LISTEN_BACKLOG = 1024,
  HANGUP_EVENTS_MAX = 64,
  MS_PER_S = 1000,
  SWEEP_INTERVAL_MS = 1000,
  /* Work of one iteration of the loop, in bytes that are read and in bytes that are handled, and
   * what each part and each request counts beside its bytes. */
  ITERATION_WORK_BYTES = 256 * 1024,
  PART_WORK_BYTES = 64,
  REQUEST_WORK_BYTES = 1024,
  BODY_BYTES_MIN = 1024,
  RETRY_AFTER_S = 1,
};

G_STATIC_ASSERT (CONNECTION_MEMORY_BYTES + RECEIVE_BUFFER_BYTES == CLIENT_CONNECTION_BYTES);

enum request_state
{
  /* The request is being received. */
  REQUEST_READING,
  /* It is complete and waits for its turn to be handled. */
  REQUEST_COMPLETE,
  /* The handler is working on it. */
  REQUEST_HANDLING,
  /* The response is ready to be sent. */
  REQUEST_RESPONDED,
  /* The caller has disconnected, or the request was dropped. */
  REQUEST_ABANDONED,
};

/* Why a body is read and thrown away. */
enum discard_reason
{
  DISCARD_NONE,
  DISCARD_TOO_LARGE,
  DISCARD_NO_MEMORY,
};

LIST_HEAD (http_request_list, http_request);

struct http_server
{
  struct http_server_config config;
  struct http_request_list suspended;
  /* The server is being destroyed; requests that still arrive are not passed to the handler. */
  bool destroying;
  struct ev_loop *loop;
  struct MHD_Daemon *daemon;
  ev_io ready;
  ev_timer timeout;
  /* epoll set of all callers' sockets that reports hang-ups only: libmicrohttpd does not poll a
   * connection while its request is suspended. */
  int hangup_fd;
  ev_io hangup;
  struct client_limits limits;
  /* Used if the configuration names none. */
  struct memory_budget unlimited_memory;
  /* Runs while connections are open. */
  ev_timer sweep;
  uint64_t counts_logged[N_CLIENT_REFUSALS];
  /* Parts of bodies and complete requests that wait for a later iteration. */
  struct turn_queue turns;
  ev_timer turn;
  /* Time of an iteration of the loop. */
  struct clock clock;
  unsigned clock_iteration;
  unsigned open_requests;
  unsigned connections;
  bool close_after_response;
  bool quiesced;
};

/* A caller's connection. */
struct http_connection
{
  struct client client;
  int fd;
  /* The caller has closed its sending side, or this server closes the connection. */
  bool hung_up;
  struct http_request *request;
};

struct http_request
{
  struct http_server *server;
  struct MHD_Connection *mhd;
  struct http_connection *connection;
  enum request_state state;
  bool counted;
  bool suspended;
  /* Waits for its turn to be read on or to be handled, and whether its turn has come. */
  struct turn turn;
  bool has_turn;
  /* Work that its parts have been so far. */
  size_t work;
  enum discard_reason discard;
  size_t n_discarded;
  char *path;
  const char *method;
  uint8_t *body;
  size_t body_len;
  size_t body_capacity;
  /* As the head says; 0 if it doesn't. */
  size_t expected_len;
  int64_t complete_ms;
  struct MHD_Response *response;
  int status;
  void *data;
  LIST_ENTRY (http_request) link;
};

/* Updates the server's time, once an iteration of the loop. */
static void
server_update_time (struct http_server *server)
{
  unsigned iteration = ev_iteration (server->loop);

  if (server->clock_iteration == iteration && server->clock.now_ms > 0)
    return;
  server->clock_iteration = iteration;
  clock_update (&server->clock);
  client_limits_advance (&server->limits, server->clock.now_ms);
}

/* Schedules a run of the server in the present loop iteration, after the current callback. */
static void
server_schedule_run (struct http_server *server)
{
  ev_feed_event (server->loop, &server->ready, EV_READ);
}

/* Runs libmicrohttpd and arms the timeout that it asks for. */
static void
server_run (struct http_server *server)
{
  MHD_UNSIGNED_LONG_LONG wait_ms;

  MHD_run (server->daemon);
  ev_timer_stop (server->loop, &server->timeout);
  if (MHD_get_timeout (server->daemon, &wait_ms) != MHD_YES)
    return;
  ev_timer_set (&server->timeout, (double) wait_ms / MS_PER_S, 0.0);
  ev_timer_start (server->loop, &server->timeout);
}

/* Handles events of libmicrohttpd's epoll set. */
static void
server_on_ready (struct ev_loop *loop, ev_io *watcher, int events)
{
  (void) loop;
  (void) events;
  server_run (watcher->data);
}

/* Handles the expiry of libmicrohttpd's timeout. */
static void
server_on_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void) loop;
  (void) events;
  server_run (watcher->data);
}

/* Resumes a suspended request, so that libmicrohttpd processes it in its next run. */
static void
request_resume (struct http_request *request)
{
  if (!request->suspended)
    return;
  request->suspended = false;
  LIST_REMOVE (request, link);
  MHD_resume_connection (request->mhd);
  server_schedule_run (request->server);
}

/* Abandons a request whose caller has disconnected: notifies the handler if it has the request, and
 * closes the connection in the next run. */
static void
request_abandon (struct http_request *request)
{
  struct http_server *server = request->server;
  bool handling = request->state == REQUEST_HANDLING;

  if (!handling && request->state != REQUEST_COMPLETE)
    return;
  request->state = REQUEST_ABANDONED;
  turn_queue_remove (&server->turns, &request->turn);
  if (handling && server->config.caller_disconnected)
    server->config.caller_disconnected (server->config.ctx, request);
  request_resume (request);
}

static struct http_connection *
connection_of_client (struct client *client)
{
  return (struct http_connection *) ((char *) client -
                                     G_STRUCT_OFFSET (struct http_connection, client));
}

/* Closes the connection of a client for a reason. libmicrohttpd notices it in its next run. */
static void
server_close_client (struct http_server *server, struct client *client, enum client_refusal reason)
{
  struct http_connection *connection = connection_of_client (client);

  client_close (&server->limits, client, reason);
  connection->hung_up = true;
  shutdown (connection->fd, SHUT_RDWR);
  if (connection->request)
    {
      turn_queue_remove (&server->turns, &connection->request->turn);
      request_resume (connection->request);
    }
  server_schedule_run (server);
}

/* Closes connections until no more than the limit are open, if they may be closed. */
static void
server_close_excess (struct http_server *server, const struct client *newcomer)
{
  enum client_refusal reason;
  struct client *client;

  while ((client = client_limits_next_excess (&server->limits, newcomer, &reason)))
    server_close_client (server, client, reason);
}

/* Logs how many clients have been refused or closed since the last time. */
static void
server_log_refusals (struct http_server *server)
{
  const struct client_limits *limits = &server->limits;
  g_autoptr (GString) text = g_string_new (NULL);

  for (int reason = 0; reason < N_CLIENT_REFUSALS; reason++)
    {
      uint64_t n = limits->counts[reason] - server->counts_logged[reason];

      server->counts_logged[reason] = limits->counts[reason];
      if (n > 0 && reason != CLIENT_CLOSED_IDLE)
        g_string_append_printf (text, " %s=%" PRIu64, client_refusal_name (reason), n);
    }
  if (text->len > 0)
    log_warning ("http",
                 "clients refused or closed: port=%u connections=%u limit=%u memory_bytes=%zu "
                 "memory_limit_bytes=%zu%s",
                 server->config.port, limits->n_clients, limits->connection_limit,
                 limits->budget->used, limits->budget->limit, text->str);
}

/* Closes clients that take too long, once a second while there are any. */
static void
server_on_sweep (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct http_server *server = watcher->data;
  enum client_refusal reason;
  struct client *client;

  (void) events;
  server_update_time (server);
  while ((client = client_limits_next_late (&server->limits, &reason)))
    server_close_client (server, client, reason);
  client_limits_end_sweep (&server->limits);
  server_close_excess (server, NULL);
  server_log_refusals (server);
  if (server->connections > 0)
    loop_timer_arm (loop, watcher, SWEEP_INTERVAL_MS);
}

/* Returns whether a request may do work of a cost now. Otherwise suspends it until its turn; it is
 * called again then. */
static bool
request_take_turn (struct http_request *request, size_t cost)
{
  struct http_server *server = request->server;
  enum turn_size size = request->work + cost > MEMORY_SMALL_BYTES ? TURN_LARGE : TURN_SMALL;

  if (request->has_turn ||
      turn_queue_take (&server->turns, ev_iteration (server->loop), cost, size))
    {
      request->has_turn = false;
      request->work += cost;
      return true;
    }
  turn_queue_wait (&server->turns, &request->turn, cost, size);
  request->suspended = true;
  LIST_INSERT_HEAD (&server->suspended, request, link);
  MHD_suspend_connection (request->mhd);
  if (!ev_is_active (&server->turn))
    loop_timer_arm (server->loop, &server->turn, 0);
  return false;
}

/* Lets waiting requests do the work of this iteration. */
static void
server_on_turn (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct http_server *server = watcher->data;
  struct turn *turn;

  (void) events;
  while ((turn = turn_queue_next (&server->turns, ev_iteration (loop))))
    {
      struct http_request *request =
          (struct http_request *) ((char *) turn - G_STRUCT_OFFSET (struct http_request, turn));

      request->has_turn = true;
      request_resume (request);
    }
  if (!turn_queue_is_empty (&server->turns))
    loop_timer_arm (loop, watcher, 0);
}

/* Handles hang-ups of callers. */
static void
server_on_hangup (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct http_server *server = watcher->data;
  struct epoll_event list[HANGUP_EVENTS_MAX];
  int n = epoll_wait (server->hangup_fd, list, HANGUP_EVENTS_MAX, 0);

  (void) loop;
  (void) events;
  for (int i = 0; i < n; i++)
    {
      struct http_connection *connection = list[i].data.ptr;

      connection->hung_up = true;
      if (connection->request)
        request_abandon (connection->request);
    }
}

/* libmicrohttpd's connection callback: watches a new connection for hang-ups, and frees the state
 * of a closed one. */
static void
server_on_connection (void *ctx, struct MHD_Connection *mhd, void **socket_context,
                      enum MHD_ConnectionNotificationCode code)
{
  struct http_server *server = ctx;
  struct http_connection *connection = *socket_context;
  struct epoll_event event = { .events = EPOLLRDHUP | EPOLLET };

  if (code == MHD_CONNECTION_NOTIFY_CLOSED)
    {
      epoll_ctl (server->hangup_fd, EPOLL_CTL_DEL, connection->fd, NULL);
      client_finish (&server->limits, &connection->client);
      g_free (connection);
      *socket_context = NULL;
      server->connections--;
      return;
    }
  connection = g_new0 (struct http_connection, 1);
  connection->fd = MHD_get_connection_info (mhd, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
  event.data.ptr = connection;
  epoll_ctl (server->hangup_fd, EPOLL_CTL_ADD, connection->fd, &event);
  *socket_context = connection;
  server->connections++;
  server_update_time (server);
  client_open (&server->limits, &connection->client);
  server_close_excess (server, &connection->client);
  if (!ev_is_active (&server->sweep))
    loop_timer_arm (server->loop, &server->sweep, SWEEP_INTERVAL_MS);
}

/* libmicrohttpd's callback for a request line: creates the request, which libmicrohttpd then passes
 * to the other callbacks as their context. */
static void *
server_on_request_line (void *ctx, const char *uri, struct MHD_Connection *mhd)
{
  struct http_request *request = g_new0 (struct http_request, 1);

  request->server = ctx;
  request->mhd = mhd;
  request->connection =
      MHD_get_connection_info (mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT)->socket_context;
  request->path = g_strdup (uri);
  request->connection->request = request;
  server_update_time (request->server);
  client_begin_request (&request->server->limits, &request->connection->client);
  return request;
}

/* libmicrohttpd's callback for a completed request, whether its response was sent or its connection
 * broke. Frees the request. */
static void
server_on_completed (void *ctx, struct MHD_Connection *mhd, void **request_context,
                     enum MHD_RequestTerminationCode code)
{
  struct http_server *server = ctx;
  struct http_request *request = *request_context;

  (void) mhd;
  (void) code;
  if (!request)
    return;
  request_abandon (request);
  turn_queue_remove (&server->turns, &request->turn);
  request->connection->request = NULL;
  client_end_response (&server->limits, &request->connection->client);
  if (request->counted)
    server->open_requests--;
  if (request->response)
    MHD_destroy_response (request->response);
  g_free (request->body);
  g_free (request->path);
  g_free (request);
  *request_context = NULL;
}

/* Notes that a request is complete. */
static void
request_complete (struct http_request *request)
{
  struct http_server *server = request->server;

  server_update_time (server);
  client_complete_request (&server->limits, &request->connection->client);
  request->complete_ms = server->clock.now_ms;
  request->state = REQUEST_COMPLETE;
  request->counted = true;
  /* Its handling is work of its own. */
  request->work = 0;
  server->open_requests++;
}

/* Passes a complete request to the handler when its turn has come, and suspends it unless the
 * handler responded at once. */
static enum MHD_Result
request_pass_to_handler (struct http_request *request)
{
  struct http_server *server = request->server;

  if (request->state == REQUEST_READING)
    request_complete (request);
  if (!request_take_turn (request, request->body_len + REQUEST_WORK_BYTES))
    return MHD_YES;
  request->state = REQUEST_HANDLING;
  server->config.handle (server->config.ctx, request);
  if (request->state == REQUEST_ABANDONED)
    return MHD_NO;
  if (request->state == REQUEST_RESPONDED)
    return MHD_queue_response (request->mhd, (unsigned) request->status, request->response);
  request->suspended = true;
  LIST_INSERT_HEAD (&server->suspended, request, link);
  MHD_suspend_connection (request->mhd);
  return MHD_YES;
}

/* Reads Content-Length into expected_len. Returns false if it is not a number or exceeds the
 * limit. */
static bool
request_read_length (struct http_request *request)
{
  const char *length = http_request_header (request, "Content-Length");
  guint64 bytes = 0;

  if (length && !g_ascii_string_to_unsigned (length, 10, 0, G_MAXUINT64, &bytes, NULL))
    return false;
  if (bytes > request->server->config.body_limit)
    return false;
  request->expected_len = (size_t) bytes;
  return true;
}

/* Queues the response that one of the functions of this server or its handler has given. */
static enum MHD_Result
request_queue_response (struct http_request *request)
{
  g_assert (request->state == REQUEST_RESPONDED);
  return MHD_queue_response (request->mhd, (unsigned) request->status, request->response);
}

/* Rejects a request whose body exceeds the limit. */
static enum MHD_Result
request_reject_body_size (struct http_request *request)
{
  const struct http_server_config *config = &request->server->config;

  if (config->reject_body_size)
    config->reject_body_size (config->ctx, request);
  else
    http_request_respond_text (request, MHD_HTTP_CONTENT_TOO_LARGE, "text/plain",
                               "The body is larger than the limit.\n");
  return request_queue_response (request);
}

/* Rejects a request whose body does not fit into the memory. It has not been run. */
static enum MHD_Result
request_reject_for_memory (struct http_request *request)
{
  static const char text[] = "Too much is being received; the request was not run.\n";
  const struct http_server_config *config = &request->server->config;
  char seconds[16];
  struct http_header header = { MHD_HTTP_HEADER_RETRY_AFTER, seconds };
  struct http_response response = {
    .status = MHD_HTTP_SERVICE_UNAVAILABLE,
    .headers = &header,
    .n_headers = 1,
    .body = text,
    .body_len = sizeof text - 1,
  };

  g_snprintf (seconds, sizeof seconds, "%d", RETRY_AFTER_S);
  if (config->reject_for_memory)
    config->reject_for_memory (config->ctx, request);
  else
    http_request_respond (request, &response);
  return request_queue_response (request);
}

/* Frees the body and throws away what still comes of it. */
static void
request_discard_body (struct http_request *request, enum discard_reason reason)
{
  http_request_release_body (request);
  request->discard = reason;
}

/* Returns the capacity that a body of a length gets. */
static size_t
request_capacity (const struct http_request *request, size_t len)
{
  size_t capacity = BODY_BYTES_MIN;

  while (capacity < len)
    capacity *= 2;
  return request->expected_len >= len ? MIN (capacity, request->expected_len) : capacity;
}

/* Keeps a part of the body, if it is within the limit and there is memory for it. */
static void
request_add_part (struct http_request *request, const char *part, size_t len)
{
  struct http_server *server = request->server;
  size_t capacity = request->body_capacity;

  if (request->body_len + len > server->config.body_limit)
    {
      request_discard_body (request, DISCARD_TOO_LARGE);
      return;
    }
  if (request->body_len + len > capacity)
    capacity = request_capacity (request, request->body_len + len);
  if (!client_receive (&server->limits, &request->connection->client, len, capacity))
    {
      request_discard_body (request, DISCARD_NO_MEMORY);
      return;
    }
  if (capacity > request->body_capacity)
    {
      request->body = g_realloc (request->body, capacity);
      request->body_capacity = capacity;
    }
  memcpy (request->body + request->body_len, part, len);
  request->body_len += len;
}

/* Handles a part of the body. A body that is thrown away is read no further than the limit, so that
 * the caller gets its response unless it goes on for ever. */
static enum MHD_Result
request_receive (struct http_request *request, const char *part, size_t *len)
{
  struct http_server *server = request->server;

  if (!request_take_turn (request, *len + PART_WORK_BYTES))
    return MHD_YES;
  server_update_time (server);
  if (request->discard == DISCARD_NONE)
    request_add_part (request, part, *len);
  else
    request->n_discarded += *len;
  *len = 0;
  return request->n_discarded > server->config.body_limit ? MHD_NO : MHD_YES;
}

/* Answers a request whose body was thrown away, or passes it to the handler. */
static enum MHD_Result
request_finish_receiving (struct http_request *request)
{
  switch (request->discard)
    {
    case DISCARD_TOO_LARGE:
      return request_reject_body_size (request);
    case DISCARD_NO_MEMORY:
      return request_reject_for_memory (request);
    case DISCARD_NONE:
      break;
    }
  return request_pass_to_handler (request);
}

/* Header properties that determine where the request ends and which host it is for: numbers of
 * headers, whether Transfer-Encoding is other than chunked, and whether a header contains a zero
 * byte. */
struct framing
{
  unsigned n_lengths;
  unsigned n_encodings;
  unsigned n_hosts;
  bool unsupported_encoding;
  bool zero_byte;
};

/* Adds one header to the framing check. */
static enum MHD_Result
framing_visit (void *ctx, enum MHD_ValueKind kind, const char *name, size_t name_len,
               const char *value, size_t value_len)
{
  struct framing *framing = ctx;

  (void) kind;
  if (strlen (name) != name_len || (value && strlen (value) != value_len))
    framing->zero_byte = true;
  if (g_ascii_strcasecmp (name, MHD_HTTP_HEADER_CONTENT_LENGTH) == 0)
    framing->n_lengths++;
  if (g_ascii_strcasecmp (name, MHD_HTTP_HEADER_HOST) == 0)
    framing->n_hosts++;
  if (g_ascii_strcasecmp (name, MHD_HTTP_HEADER_TRANSFER_ENCODING) == 0)
    {
      framing->n_encodings++;
      framing->unsupported_encoding = !value || g_ascii_strcasecmp (value, "chunked") != 0;
    }
  return MHD_YES;
}

/* Returns whether a proxy and this server could disagree about where the request ends or which host
 * it is for (RFC 9112, sections 3.2 and 6.3). */
static bool
request_framing_is_ambiguous (const struct http_request *request, const char *version)
{
  struct framing framing = { 0 };

  MHD_get_connection_values_n (request->mhd, MHD_HEADER_KIND, framing_visit, &framing);
  if (framing.zero_byte || framing.unsupported_encoding || framing.n_lengths > 1 ||
      framing.n_encodings > 1 || framing.n_hosts > 1)
    return true;
  if (framing.n_lengths > 0 && framing.n_encodings > 0)
    return true;
  return framing.n_hosts == 0 && strcmp (version, MHD_HTTP_VERSION_1_1) == 0;
}

/* Rejects a request with ambiguous framing. The connection is closed, since the bytes that follow
 * may belong to the request's body. */
static enum MHD_Result
request_reject_framing (struct http_request *request)
{
  static const char text[] = "The request's framing is not valid.\n";
  struct http_header close_header = { MHD_HTTP_HEADER_CONNECTION, "close" };
  struct http_response response = {
    .status = MHD_HTTP_BAD_REQUEST,
    .headers = &close_header,
    .n_headers = 1,
    .body = text,
    .body_len = sizeof text - 1,
  };

  http_request_respond (request, &response);
  return request_queue_response (request);
}

/* Handles a complete head: rejects a request that can't be served, before its body is read. */
static enum MHD_Result
request_begin (struct http_request *request, const char *version)
{
  if (request_framing_is_ambiguous (request, version))
    return request_reject_framing (request);
  if (!request_read_length (request))
    return request_reject_body_size (request);
  if (!client_may_receive (&request->server->limits, request->expected_len))
    return request_reject_for_memory (request);
  return MHD_YES;
}

/* libmicrohttpd's request callback. It is called when the headers are complete (the method is not
 * stored yet), for each part of the body, when the request is complete, and again after a
 * resume. */
static enum MHD_Result
server_on_request (void *ctx, struct MHD_Connection *mhd, const char *url, const char *method,
                   const char *version, const char *upload, size_t *upload_len, void **context)
{
  const struct http_server *server = ctx;
  struct http_request *request = *context;

  (void) mhd;
  (void) url;
  if (request->state == REQUEST_RESPONDED)
    return request_queue_response (request);
  if (request->state == REQUEST_ABANDONED || request->connection->hung_up || server->destroying)
    return MHD_NO;
  if (!request->method)
    {
      request->method = method;
      return request_begin (request, version);
    }
  if (*upload_len > 0)
    return request_receive (request, upload, upload_len);
  return request_finish_receiving (request);
}

/* Writes libmicrohttpd's own error messages to the log. */
static void
server_on_log (void *ctx, const char *format, va_list args)
{
  char line[256];

  (void) ctx;
  vsnprintf (line, sizeof line, format, args);
  log_debug ("http", "%s", g_strchomp (line));
}

/* Opens the listening socket. Returns -1 if the address can't be bound. Accepted connections
 * inherit the size of its receive buffer. */
static int
server_listen (const struct http_server_config *config)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (config->port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &(int){ 1 }, sizeof (int));
  if (setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &(int){ RECEIVE_BUFFER_BYTES }, sizeof (int)) < 0)
    log_warning ("http", "The receive buffer of port %u can't be set: %s.", config->port,
                 g_strerror (errno));
  if (inet_pton (AF_INET, config->address, &address.sin_addr) == 1 &&
      bind (fd, (struct sockaddr *) &address, sizeof address) == 0 &&
      listen (fd, LISTEN_BACKLOG) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Starts libmicrohttpd on the configured address. */
static struct MHD_Daemon *
server_start (struct http_server *server)
{
  const struct http_server_config *config = &server->config;
  int fd = server_listen (config);

  if (fd < 0)
    return NULL;
  /* libmicrohttpd closes the socket, also if it fails. */
  return MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG, config->port, NULL, NULL,
      server_on_request, server, MHD_OPTION_EXTERNAL_LOGGER, server_on_log, server,
      MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_CONNECTION_LIMIT,
      config->connection_limit + CLOSING_CONNECTIONS_MAX, MHD_OPTION_CONNECTION_TIMEOUT,
      (unsigned) CONNECTION_IDLE_S, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      (size_t) CONNECTION_MEMORY_BYTES, MHD_OPTION_URI_LOG_CALLBACK, server_on_request_line, server,
      MHD_OPTION_NOTIFY_COMPLETED, server_on_completed, server, MHD_OPTION_NOTIFY_CONNECTION,
      server_on_connection, server, MHD_OPTION_END);
}

/* Starts a server. Returns NULL if the address cannot be bound. */
struct http_server *
http_server_create (struct ev_loop *loop, const struct http_server_config *config)
{
  struct http_server *server = g_new0 (struct http_server, 1);
  int epoll_fd;

  server->config = *config;
  server->loop = loop;
  LIST_INIT (&server->suspended);
  memory_budget_init (&server->unlimited_memory, G_MAXSIZE / 2);
  client_limits_init (&server->limits, config->memory ? config->memory : &server->unlimited_memory,
                      config->connection_limit);
  turn_queue_init (&server->turns, ITERATION_WORK_BYTES);
  if (!memory_budget_fits (server->limits.budget, config->body_limit))
    log_warning ("http",
                 "bodies within the limit don't fit into the memory for clients: port=%u "
                 "body_limit_bytes=%zu memory_limit_bytes=%zu",
                 config->port, config->body_limit, server->limits.budget->limit);
  server->hangup_fd = epoll_create1 (EPOLL_CLOEXEC);
  server->daemon = server->hangup_fd < 0 ? NULL : server_start (server);
  if (!server->daemon)
    {
      if (server->hangup_fd >= 0)
        close (server->hangup_fd);
      g_free (server);
      return NULL;
    }
  epoll_fd = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
  ev_io_init (&server->ready, server_on_ready, epoll_fd, EV_READ);
  ev_io_init (&server->hangup, server_on_hangup, server->hangup_fd, EV_READ);
  ev_timer_init (&server->timeout, server_on_timeout, 0.0, 0.0);
  ev_timer_init (&server->sweep, server_on_sweep, 0.0, 0.0);
  ev_timer_init (&server->turn, server_on_turn, 0.0, 0.0);
  server->sweep.data = server;
  server->turn.data = server;
  server->ready.data = server;
  server->hangup.data = server;
  server->timeout.data = server;
  ev_io_start (loop, &server->ready);
  ev_io_start (loop, &server->hangup);
  return server;
}

/* Closes each connection after its next response, so that callers reconnect elsewhere. */
void
http_server_close_after_response (struct http_server *server)
{
  server->close_after_response = true;
}

/* Closes the listening socket after accepting the connections in its backlog. Open connections
 * remain until their next response. */
void
http_server_quiesce (struct http_server *server)
{
  MHD_socket listening;
  int fd;

  if (server->quiesced)
    return;
  server->close_after_response = true;
  server->quiesced = true;
  listening = MHD_quiesce_daemon (server->daemon);
  if (listening == MHD_INVALID_SOCKET)
    return;
  /* No more than the backlog holds: a crowd may go on connecting. */
  for (int i = 0; i < LISTEN_BACKLOG; i++)
    {
      struct sockaddr_in peer;
      socklen_t len = sizeof peer;

      fd = accept4 (listening, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0)
        break;
      /* Connections that are being closed make room only when the server runs. */
      if (server->connections >= server->config.connection_limit + CLOSING_CONNECTIONS_MAX)
        MHD_run (server->daemon);
      /* libmicrohttpd closes the socket, also if it doesn't add it. */
      if (getpeername (fd, (struct sockaddr *) &peer, &len) == 0)
        MHD_add_connection (server->daemon, fd, (struct sockaddr *) &peer, len);
      else
        close (fd);
    }
  close (listening);
  server_schedule_run (server);
}

/* Stops the server and closes all connections. Unanswered requests end without notifying the
 * handler. */
void
http_server_destroy (struct http_server *server)
{
  struct http_request *request = LIST_FIRST (&server->suspended);

  server->destroying = true;
  while (request)
    {
      struct http_request *next = LIST_NEXT (request, link);

      request->state = REQUEST_ABANDONED;
      turn_queue_remove (&server->turns, &request->turn);
      request_resume (request);
      request = next;
    }
  MHD_run (server->daemon);
  ev_io_stop (server->loop, &server->ready);
  ev_io_stop (server->loop, &server->hangup);
  ev_timer_stop (server->loop, &server->timeout);
  ev_timer_stop (server->loop, &server->turn);
  MHD_stop_daemon (server->daemon);
  ev_timer_stop (server->loop, &server->sweep);
  close (server->hangup_fd);
  g_free (server);
}

/* Returns the number of requests that were passed to the handler and whose responses are not fully
 * sent yet. */
unsigned
http_server_open_requests (const struct http_server *server)
{
  return server->open_requests;
}

/* Returns the number of open connections. */
unsigned
http_server_connections (const struct http_server *server)
{
  return server->connections;
}

unsigned
http_server_connection_limit (unsigned wanted, uint32_t memory_mb)
{
  struct rlimit descriptors = { .rlim_cur = RLIM_INFINITY };
  unsigned limit;

  getrlimit (RLIMIT_NOFILE, &descriptors);
  limit = client_connection_limit (wanted, memory_mb, descriptors.rlim_cur);
  if (limit < wanted)
    log_warning ("http",
                 "fewer connections than configured, for want of memory or descriptors: "
                 "connections=%u configured=%u memory_mb=%" PRIu32 " descriptors=%" PRIu64,
                 limit, wanted, memory_mb, (uint64_t) descriptors.rlim_cur);
  return limit;
}

void
http_server_print_metrics (GString *text, const char *prefix,
                           const struct http_server_metrics *servers, size_t n,
                           const struct memory_budget *memory)
{
  g_string_append_printf (text,
                          "# HELP %sclient_memory_bytes Memory of bodies, records and responses of "
                          "clients.\n# TYPE %sclient_memory_bytes gauge\n"
                          "%sclient_memory_bytes %zu\n"
                          "# HELP %sclient_connections Open connections by port.\n"
                          "# TYPE %sclient_connections gauge\n",
                          prefix, prefix, prefix, memory->used, prefix, prefix);
  for (size_t i = 0; i < n; i++)
    g_string_append_printf (text, "%sclient_connections{port=\"%s\"} %u\n", prefix, servers[i].port,
                            servers[i].server->connections);
  g_string_append_printf (text,
                          "# HELP %sclients_refused_total Requests refused and connections closed, "
                          "by port and reason.\n# TYPE %sclients_refused_total counter\n",
                          prefix, prefix);
  for (size_t i = 0; i < n; i++)
    for (int reason = 0; reason < N_CLIENT_REFUSALS; reason++)
      g_string_append_printf (
          text, "%sclients_refused_total{port=\"%s\",reason=\"%s\"} %" PRIu64 "\n", prefix,
          servers[i].port, client_refusal_name (reason), servers[i].server->limits.counts[reason]);
}

const char *
http_request_method (const struct http_request *request)
{
  return request->method;
}

/* Returns the path and query as they appear in the request line. */
const char *
http_request_path (const struct http_request *request)
{
  return request->path;
}

/* Returns the value of a query parameter, or NULL. */
const char *
http_request_query (const struct http_request *request, const char *name)
{
  return MHD_lookup_connection_value (request->mhd, MHD_GET_ARGUMENT_KIND, name);
}

/* Returns the value of a header, or NULL; names match without case. */
const char *
http_request_header (const struct http_request *request, const char *name)
{
  return MHD_lookup_connection_value (request->mhd, MHD_HEADER_KIND, name);
}

/* Callback and context of http_request_headers. */
struct header_iteration
{
  void (*each) (void *ctx, const char *name, const char *value);
  void *ctx;
};

/* Passes one header to the callback. */
static enum MHD_Result
header_visit (void *ctx, enum MHD_ValueKind kind, const char *name, const char *value)
{
  const struct header_iteration *iteration = ctx;

  (void) kind;
  iteration->each (iteration->ctx, name, value ? value : "");
  return MHD_YES;
}

/* Calls each for all headers in order. */
void
http_request_headers (const struct http_request *request,
                      void (*each) (void *ctx, const char *name, const char *value), void *ctx)
{
  struct header_iteration iteration = { .each = each, .ctx = ctx };

  MHD_get_connection_values (request->mhd, MHD_HEADER_KIND, header_visit, &iteration);
}

/* Returns the complete body, which is valid as long as the request; never NULL. */
const void *
http_request_body (const struct http_request *request, size_t *len)
{
  *len = request->body_len;
  return request->body_len > 0 ? request->body : (const uint8_t *) "";
}

void
http_request_release_body (struct http_request *request)
{
  client_release_body (&request->server->limits, &request->connection->client);
  g_clear_pointer (&request->body, g_free);
  request->body_len = 0;
  request->body_capacity = 0;
}

int64_t
http_request_complete_ms (const struct http_request *request)
{
  return request->complete_ms;
}

/* Attaches a pointer of the handler to the request. */
void
http_request_set_data (struct http_request *request, void *data)
{
  request->data = data;
}

/* Returns the pointer that the handler attached. */
void *
http_request_data (const struct http_request *request)
{
  return request->data;
}

/* Body reader of responses to HEAD. It always fails, since such responses have no body. */
static ssize_t
head_response_read_body (void *ctx, uint64_t at, char *buffer, size_t len)
{
  (void) ctx;
  (void) at;
  (void) buffer;
  (void) len;
  return MHD_CONTENT_READER_END_WITH_ERROR;
}

/* Creates a response to HEAD with the Content-Length that the handler set. Returns NULL if the
 * request is not HEAD or no length is set. */
static struct MHD_Response *
head_response_create (const struct http_request *request, const struct http_response *response)
{
  guint64 len;

  if (strcmp (request->method, MHD_HTTP_METHOD_HEAD) != 0)
    return NULL;
  for (size_t i = 0; i < response->n_headers; i++)
    {
      const struct http_header *header = &response->headers[i];

      if (g_ascii_strcasecmp (header->name, MHD_HTTP_HEADER_CONTENT_LENGTH) == 0 &&
          g_ascii_string_to_unsigned (header->value, 10, 0, G_MAXINT64, &len, NULL))
        return MHD_create_response_from_callback (len, 1, head_response_read_body, NULL, NULL);
    }
  return NULL;
}

/* Copies the response into libmicrohttpd's form. libmicrohttpd sets Content-Length itself. */
static struct MHD_Response *
response_create (const struct http_request *request, const struct http_response *response)
{
  struct MHD_Response *copy = head_response_create (request, response);

  if (!copy)
    copy = MHD_create_response_from_buffer (response->body_len, (void *) response->body,
                                            MHD_RESPMEM_MUST_COPY);
  for (size_t i = 0; i < response->n_headers; i++)
    {
      const struct http_header *header = &response->headers[i];

      if (g_ascii_strcasecmp (header->name, MHD_HTTP_HEADER_CONTENT_LENGTH) != 0)
        MHD_add_response_header (copy, header->name, header->value);
    }
  if (request->server->close_after_response)
    MHD_add_response_header (copy, MHD_HTTP_HEADER_CONNECTION, "close");
  return copy;
}

/* Gives the memory of the request's body to its response. A response that has been waited for is
 * sent in any case; the responses that others have not read for the longest time make room for it.
 */
static void
request_begin_sending (struct http_request *request, size_t len)
{
  struct http_server *server = request->server;
  struct client *sender = &request->connection->client;
  struct client *client;

  http_request_release_body (request);
  server_update_time (server);
  client_begin_response (&server->limits, sender, len);
  while ((client = client_limits_next_for_memory (&server->limits, sender)))
    server_close_client (server, client, CLIENT_CLOSED_FOR_MEMORY);
}

/* Sends a copy of the response; the request is invalid afterwards. */
void
http_request_respond (struct http_request *request, const struct http_response *response)
{
  g_assert (request->state == REQUEST_READING || request->state == REQUEST_HANDLING);
  request->response = response_create (request, response);
  request->status = response->status;
  request->state = REQUEST_RESPONDED;
  request_begin_sending (request, response->body_len);
  request_resume (request);
}

/* Closes the caller's connection without a response; the request is invalid afterwards. */
void
http_request_drop (struct http_request *request)
{
  g_assert (request->state == REQUEST_HANDLING);
  request->state = REQUEST_ABANDONED;
  request_resume (request);
}

/* Writes raw bytes to the caller's connection. */
void
http_request_write_raw (struct http_request *request, const void *data, size_t len)
{
  if (send (request->connection->fd, data, len, MSG_NOSIGNAL | MSG_DONTWAIT) < 0)
    log_debug ("http", "Raw write to the caller's connection failed: %s.", g_strerror (errno));
}

/* Responds with a string of the given content type. */
void
http_request_respond_text (struct http_request *request, int status, const char *content_type,
                           const char *text)
{
  struct http_header header = { .name = "Content-Type", .value = content_type };
  struct http_response response = {
    .status = status,
    .headers = &header,
    .n_headers = 1,
    .body = text,
    .body_len = strlen (text),
  };

  http_request_respond (request, &response);
}
