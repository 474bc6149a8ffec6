#include "common/http_client.h"

#include <curl/curl.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include "common/loop_timer.h"

enum
{
  MS_PER_S = 1000,
  KEEPALIVE_IDLE_S = 2,
  KEEPALIVE_INTERVAL_S = 1,
  /* Limit on unacknowledged data (TCP_USER_TIMEOUT). On a connection that may be reused it is below
   * a second, so that a broken one is detected early. A connection for a single call gets longer,
   * as its endpoint may be slow to read a long body. */
  UNACKED_REUSABLE_MS = 800,
  UNACKED_SINGLE_USE_MS = 5000,
  HEADER_BYTES_MAX = 64 * 1024,
  /* libcurl measures the age of connections in whole seconds. For this long after a failure it
   * cannot tell which connections are older than the failure, so only new ones are used. */
  NEW_CONNECTIONS_AFTER_FAILURE_MS = 2000,
  /* libcurl measures idle time in whole seconds; below this limit no connection is reused. */
  IDLE_REUSE_MIN_MS = 2000,
  /* Number of CURL handles kept for later calls; creating one is the most expensive part of most
   * calls. */
  STORED_HANDLES_MAX = 256,
  /* How often responses that wait for memory are tried again. */
  RESUME_INTERVAL_MS = 20,
  /* What the kernel may keep unread of a response, if the memory of responses is bounded. */
  LIMITED_RECEIVE_BUFFER_BYTES = 64 * 1024,
};

/* A socket that libcurl has asked the loop to watch. */
struct client_socket
{
  struct http_client *client;
  ev_io ready;
  LIST_ENTRY (client_socket) link;
};

LIST_HEAD (client_socket_list, client_socket);
LIST_HEAD (http_call_list, http_call);
TAILQ_HEAD (receiving_list, http_call);

struct http_client
{
  struct ev_loop *loop;
  CURLM *multi;
  ev_timer timeout;
  long idle_reuse_ms;
  struct client_socket_list sockets;
  struct http_call_list calls;
  /* Memory of responses, NULL for no bound; the calls that have some of it, in the order in which
   * their bodies began, and when to go on with those that wait for more. */
  struct memory_budget *memory;
  struct receiving_list receiving;
  ev_timer resume;
  /* Reset CURL handles of completed calls. */
  GPtrArray *stored_handles;
  /* Time of the last failure at each endpoint: maps IP:PORT to int64_t milliseconds. */
  GHashTable *last_failures_ms;
};

struct http_call
{
  struct http_client *client;
  CURL *easy;
  struct curl_slist *request_headers;
  char *authority;
  GByteArray *head;
  GByteArray *body;
  size_t body_limit;
  /* What the body has of the client's memory; whether the call is in the list of those that have
   * some, and whether it waits for more. */
  size_t memory;
  bool receiving;
  bool paused;
  TAILQ_ENTRY (http_call) receiving_link;
  bool head_done;
  bool too_large;
  bool head_request;
  /* The connection is used for this call only. */
  bool single_use;
  bool repeatable;
  unsigned n_sends;
  /* libcurl was kept from sending the request again. */
  bool repeat_denied;
  void (*done) (void *ctx, const struct http_call_done *done);
  void *ctx;
  LIST_ENTRY (http_call) link;
};

static void client_finish_completed (struct http_client *client);

/* Returns the loop's time in milliseconds. */
static int64_t
client_now_ms (const struct http_client *client)
{
  return (int64_t) (ev_now (client->loop) * MS_PER_S);
}

/* Notifies libcurl of a ready socket or, with CURL_SOCKET_TIMEOUT, of an expired timeout. */
static void
client_socket_action (struct http_client *client, curl_socket_t fd, int mask)
{
  int running;

  curl_multi_socket_action (client->multi, fd, mask, &running);
  client_finish_completed (client);
}

/* Handles a ready socket. */
static void
client_on_socket (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct client_socket *entry = watcher->data;
  int mask = (events & EV_READ ? CURL_CSELECT_IN : 0) | (events & EV_WRITE ? CURL_CSELECT_OUT : 0);

  (void) loop;
  client_socket_action (entry->client, watcher->fd, mask);
}

/* Handles the expiry of libcurl's timeout. */
static void
client_on_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void) loop;
  (void) events;
  client_socket_action (watcher->data, CURL_SOCKET_TIMEOUT, 0);
}

/* Stops watching a socket. */
static void
client_socket_destroy (struct client_socket *entry)
{
  ev_io_stop (entry->client->loop, &entry->ready);
  LIST_REMOVE (entry, link);
  g_free (entry);
}

/* libcurl's socket callback: starts, changes or stops watching a socket. */
static int
client_watch_socket (CURL *easy, curl_socket_t fd, int what, void *ctx, void *socket_ctx)
{
  struct http_client *client = ctx;
  struct client_socket *entry = socket_ctx;
  int events = (what & CURL_POLL_IN ? EV_READ : 0) | (what & CURL_POLL_OUT ? EV_WRITE : 0);

  (void) easy;
  if (what == CURL_POLL_REMOVE)
    {
      if (entry)
        client_socket_destroy (entry);
      return 0;
    }
  if (!entry)
    {
      entry = g_new0 (struct client_socket, 1);
      entry->client = client;
      entry->ready.data = entry;
      ev_init (&entry->ready, client_on_socket);
      LIST_INSERT_HEAD (&client->sockets, entry, link);
      curl_multi_assign (client->multi, fd, entry);
    }
  ev_io_stop (client->loop, &entry->ready);
  ev_io_set (&entry->ready, fd, events);
  ev_io_start (client->loop, &entry->ready);
  return 0;
}

/* libcurl's timer callback: arms the timeout, or disarms it if wait_ms is -1. */
static int
client_watch_timeout (CURLM *multi, long wait_ms, void *ctx)
{
  struct http_client *client = ctx;

  (void) multi;
  ev_timer_stop (client->loop, &client->timeout);
  if (wait_ms < 0)
    return 0;
  ev_timer_set (&client->timeout, (double) wait_ms / MS_PER_S, 0.0);
  ev_timer_start (client->loop, &client->timeout);
  return 0;
}

/* libcurl's callback for a new socket: limits how long data may stay unacknowledged. */
static int
call_set_socket (void *ctx, curl_socket_t fd, curlsocktype purpose)
{
  const struct http_call *call = ctx;
  int unacked_ms = call->single_use ? UNACKED_SINGLE_USE_MS : UNACKED_REUSABLE_MS;

  (void) purpose;
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms, sizeof unacked_ms);
  /* A response that waits for memory must not fill the kernel's instead. */
  if (call->client->memory)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &(int){ LIMITED_RECEIVE_BUFFER_BYTES }, sizeof (int));
  return CURL_SOCKOPT_OK;
}

/* Returns the number of bytes of the request that have been sent, in all sends. */
static long
call_sent_bytes (const struct http_call *call)
{
  long bytes = 0;

  curl_easy_getinfo (call->easy, CURLINFO_REQUEST_SIZE, &bytes);
  return bytes;
}

/* libcurl's callback before it sends the request. libcurl sends a request again by itself if a
 * reused connection closes before the response, although the request may have been carried out. */
static int
call_before_send (void *ctx, char *remote_ip, char *local_ip, int remote_port, int local_port)
{
  struct http_call *call = ctx;

  (void) remote_ip;
  (void) local_ip;
  (void) remote_port;
  (void) local_port;
  if (!call->repeatable && call_sent_bytes (call) > 0)
    {
      call->repeat_denied = true;
      return CURL_PREREQFUNC_ABORT;
    }
  call->n_sends++;
  return CURL_PREREQFUNC_OK;
}

/* Returns whether a call may keep a body of this length. */
static bool
call_take_memory (struct http_call *call, size_t len)
{
  struct http_client *client = call->client;

  if (!client->memory)
    return true;
  if (!call->receiving)
    TAILQ_INSERT_TAIL (&client->receiving, call, receiving_link);
  call->receiving = true;
  if (memory_budget_resize (client->memory, &call->memory, len))
    return true;
  if (call != TAILQ_FIRST (&client->receiving))
    return false;
  memory_budget_force (client->memory, &call->memory, len);
  return true;
}

/* Gives back the memory of a call's body. */
static void
call_release_memory (struct http_call *call)
{
  struct http_client *client = call->client;

  if (!call->receiving)
    return;
  memory_budget_force (client->memory, &call->memory, 0);
  TAILQ_REMOVE (&client->receiving, call, receiving_link);
  call->receiving = false;
}

/* Goes on with the calls that wait for memory. Those for which there is still none wait again. */
static void
client_on_resume (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct http_client *client = watcher->data;
  struct http_call *call;

  (void) loop;
  (void) events;
  TAILQ_FOREACH (call, &client->receiving, receiving_link)
    {
      if (!call->paused)
        continue;
      call->paused = false;
      curl_easy_pause (call->easy, CURLPAUSE_CONT);
      /* The rest comes after it. */
      if (call->paused)
        break;
    }
  client_socket_action (client, CURL_SOCKET_TIMEOUT, 0);
}

/* Appends a part of the response body; aborts the call if the body exceeds the limit. */
static size_t
call_append_body (const char *data, size_t size, size_t n, void *ctx)
{
  struct http_call *call = ctx;

  if (call->body->len + size * n > call->body_limit)
    {
      call->too_large = true;
      return 0;
    }
  if (!call_take_memory (call, call->body->len + size * n))
    {
      call->paused = true;
      if (!ev_is_active (&call->client->resume))
        loop_timer_arm (call->client->loop, &call->client->resume, RESUME_INTERVAL_MS);
      return CURL_WRITEFUNC_PAUSE;
    }
  g_byte_array_append (call->body, (const guint8 *) data, (guint) (size * n));
  return size * n;
}

/* Appends one header line. A status line starts a new head, so that the headers of interim (1xx)
 * responses are dropped. */
static size_t
call_append_header (const char *data, size_t size, size_t n, void *ctx)
{
  struct http_call *call = ctx;
  size_t len = size * n;

  if (len >= 5 && memcmp (data, "HTTP/", 5) == 0)
    {
      g_byte_array_set_size (call->head, 0);
      call->head_done = false;
      return len;
    }
  if (call->head_done)
    return len;
  if (call->head->len + len > HEADER_BYTES_MAX)
    {
      call->too_large = true;
      return 0;
    }
  if (len <= 2)
    call->head_done = true;
  else
    g_byte_array_append (call->head, (const guint8 *) data, (guint) len);
  return len;
}

/* Splits the stored header lines into names and values, in place. */
static GArray *
call_parse_headers (struct http_call *call)
{
  GArray *headers = g_array_new (FALSE, FALSE, sizeof (struct http_header));
  char *line;
  char *rest;

  g_byte_array_append (call->head, (const guint8 *) "", 1);
  for (line = strtok_r ((char *) call->head->data, "\r\n", &rest); line;
       line = strtok_r (NULL, "\r\n", &rest))
    {
      char *colon = strchr (line, ':');

      if (!colon || colon == line)
        continue;
      *colon = '\0';
      struct http_header header = { .name = line, .value = g_strstrip (colon + 1) };
      g_array_append_val (headers, header);
    }
  return headers;
}

/* Returns the value of a response header, or NULL. */
static const char *
headers_find (const GArray *headers, const char *name)
{
  for (guint i = 0; i < headers->len; i++)
    {
      const struct http_header *header = &g_array_index (headers, struct http_header, i);

      if (g_ascii_strcasecmp (header->name, name) == 0)
        return header->value;
    }
  return NULL;
}

/* Returns whether the response states where its body ends. A body that ends with its connection may
 * be truncated. */
static bool
call_length_is_known (const struct http_call *call, const GArray *headers, long status)
{
  if (call->head_request || status == 204 || status == 304)
    return true;
  return headers_find (headers, "Content-Length") || headers_find (headers, "Transfer-Encoding");
}

/* Determines the result of a call that libcurl has completed. */
static enum http_call_result
call_determine_result (const struct http_call *call, CURLcode code, const GArray *headers,
                       long status)
{
  if (call->too_large)
    return HTTP_CALL_TOO_LARGE;
  if (call->repeat_denied)
    return HTTP_CALL_LOST;
  if (code == CURLE_OK)
    return call_length_is_known (call, headers, status) ? HTTP_CALL_ANSWERED : HTTP_CALL_LOST;
  if (call_sent_bytes (call) == 0)
    return HTTP_CALL_NOT_SENT;
  return code == CURLE_OPERATION_TIMEDOUT ? HTTP_CALL_TIMEOUT : HTTP_CALL_LOST;
}

/* Returns a CURL handle in its default state. */
static CURL *
client_acquire_handle (struct http_client *client)
{
  if (client->stored_handles->len == 0)
    return curl_easy_init ();
  return g_ptr_array_steal_index_fast (client->stored_handles, client->stored_handles->len - 1);
}

/* Stores the handle of a completed call for later use, or frees it if enough are stored. */
static void
client_release_handle (struct http_client *client, CURL *easy)
{
  if (client->stored_handles->len >= STORED_HANDLES_MAX)
    {
      curl_easy_cleanup (easy);
      return;
    }
  curl_easy_reset (easy);
  g_ptr_array_add (client->stored_handles, easy);
}

/* Frees a call whose handle has been removed from the multi handle. */
static void
call_destroy (struct http_call *call)
{
  LIST_REMOVE (call, link);
  call_release_memory (call);
  client_release_handle (call->client, call->easy);
  curl_slist_free_all (call->request_headers);
  g_byte_array_unref (call->head);
  g_byte_array_unref (call->body);
  g_free (call->authority);
  g_free (call);
}

/* Excludes all present connections to an endpoint from reuse. */
void
http_client_exclude_connections (struct http_client *client, const char *endpoint)
{
  int64_t *when = g_new (int64_t, 1);

  *when = client_now_ms (client);
  g_hash_table_replace (client->last_failures_ms, g_strdup (endpoint), when);
}

/* Reports the result of a call and frees the call. */
static void
call_finish (struct http_call *call, CURLcode code)
{
  struct http_client *client = call->client;
  GArray *headers = call_parse_headers (call);
  /* The data of an empty byte array is NULL. */
  struct http_call_done done = { .body =
                                     call->body->len > 0 ? call->body->data : (const uint8_t *) "",
                                 .body_len = call->body->len };
  long status = 0;
  long connects = 0;

  curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo (call->easy, CURLINFO_NUM_CONNECTS, &connects);
  done.result = call_determine_result (call, code, headers, status);
  done.status = (int) status;
  done.headers = (const struct http_header *) (void *) headers->data;
  done.n_headers = headers->len;
  done.reused_connection = connects == 0;
  done.n_sends = call->n_sends;
  if (done.result == HTTP_CALL_TIMEOUT || done.result == HTTP_CALL_LOST)
    http_client_exclude_connections (client, call->authority);
  curl_multi_remove_handle (client->multi, call->easy);
  call->done (call->ctx, &done);
  g_array_free (headers, TRUE);
  call_destroy (call);
}

/* Finishes all calls that libcurl has completed. */
static void
client_finish_completed (struct http_client *client)
{
  CURLMsg *message;
  int left;

  while ((message = curl_multi_info_read (client->multi, &left)))
    {
      CURLcode code = message->data.result;
      char *call;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &call);
      call_finish ((struct http_call *) (void *) call, code);
    }
}

/* Creates a client. max_connections limits the idle connections that are kept open. */
struct http_client *
http_client_create (struct ev_loop *loop, long idle_reuse_ms, long max_connections)
{
  struct http_client *client = g_new0 (struct http_client, 1);

  client->loop = loop;
  client->idle_reuse_ms = idle_reuse_ms;
  client->last_failures_ms = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  LIST_INIT (&client->sockets);
  LIST_INIT (&client->calls);
  client->stored_handles = g_ptr_array_new_with_free_func (curl_easy_cleanup);
  ev_init (&client->timeout, client_on_timeout);
  client->timeout.data = client;
  TAILQ_INIT (&client->receiving);
  ev_timer_init (&client->resume, client_on_resume, 0.0, 0.0);
  client->resume.data = client;
  client->multi = curl_multi_init ();
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETFUNCTION, client_watch_socket);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERFUNCTION, client_watch_timeout);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_MAXCONNECTS, max_connections);
  return client;
}

void
http_client_set_memory (struct http_client *client, struct memory_budget *memory)
{
  client->memory = memory;
}

void
http_client_limit_endpoint_connections (struct http_client *client, long max)
{
  curl_multi_setopt (client->multi, CURLMOPT_MAX_HOST_CONNECTIONS, max);
}

/* Cancels all calls without calling done, and closes all connections. */
void
http_client_destroy (struct http_client *client)
{
  struct http_call *call = LIST_FIRST (&client->calls);

  while (call)
    {
      struct http_call *next = LIST_NEXT (call, link);

      http_call_cancel (call);
      call = next;
    }
  g_ptr_array_free (client->stored_handles, TRUE);
  curl_multi_cleanup (client->multi);
  ev_timer_stop (client->loop, &client->timeout);
  ev_timer_stop (client->loop, &client->resume);
  g_hash_table_destroy (client->last_failures_ms);
  g_free (client);
}

/* Adds one header to the request. For an empty value libcurl requires "NAME;". */
static void
call_add_header (struct http_call *call, const char *name, const char *value)
{
  g_autofree char *line =
      value[0] == '\0' ? g_strdup_printf ("%s;", name) : g_strdup_printf ("%s: %s", name, value);

  call->request_headers = curl_slist_append (call->request_headers, line);
}

/* Sets the request headers and suppresses those that libcurl would add by itself. */
static void
call_set_headers (struct http_call *call, const struct http_call_config *config)
{
  static const char *const default_headers[] = { "Accept", "Content-Type", "Expect", "User-Agent" };

  for (size_t i = 0; i < sizeof default_headers / sizeof default_headers[0]; i++)
    {
      bool given = false;

      for (size_t j = 0; j < config->n_headers; j++)
        given = given || g_ascii_strcasecmp (config->headers[j].name, default_headers[i]) == 0;
      if (!given)
        {
          g_autofree char *line = g_strdup_printf ("%s:", default_headers[i]);
          call->request_headers = curl_slist_append (call->request_headers, line);
        }
    }
  for (size_t i = 0; i < config->n_headers; i++)
    call_add_header (call, config->headers[i].name, config->headers[i].value);
  curl_easy_setopt (call->easy, CURLOPT_HTTPHEADER, call->request_headers);
}

/* Sets method and body. */
static void
call_set_request (struct http_call *call, const struct http_call_config *config)
{
  bool takes_body = strcmp (config->method, "POST") == 0 || strcmp (config->method, "PUT") == 0 ||
                    strcmp (config->method, "PATCH") == 0;

  if (config->body_len > 0 || takes_body)
    {
      curl_easy_setopt (call->easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t) config->body_len);
      curl_easy_setopt (call->easy, CURLOPT_COPYPOSTFIELDS,
                        config->body_len > 0 ? config->body : "");
    }
  call->head_request = strcmp (config->method, "HEAD") == 0;
  if (call->head_request)
    curl_easy_setopt (call->easy, CURLOPT_NOBODY, 1L);
  else
    curl_easy_setopt (call->easy, CURLOPT_CUSTOMREQUEST, config->method);
}

/* Decides whether the call may reuse an open connection. Connections that have been idle too long,
 * or that are older than the last failure at the endpoint, are not reused. libcurl reuses a
 * connection whose age in whole seconds equals the limit, so both limits are one second less. A
 * failure is forgotten once every connection that is older has been idle too long. */
static void
call_set_connection_reuse (struct http_call *call)
{
  struct http_client *client = call->client;
  int64_t *last_failure_ms = g_hash_table_lookup (client->last_failures_ms, call->authority);
  int64_t since_ms = last_failure_ms ? client_now_ms (client) - *last_failure_ms : 0;

  if (last_failure_ms && since_ms > client->idle_reuse_ms + NEW_CONNECTIONS_AFTER_FAILURE_MS)
    {
      g_hash_table_remove (client->last_failures_ms, call->authority);
      last_failure_ms = NULL;
    }
  if (last_failure_ms && since_ms >= NEW_CONNECTIONS_AFTER_FAILURE_MS)
    curl_easy_setopt (call->easy, CURLOPT_MAXLIFETIME_CONN, (long) (since_ms / MS_PER_S) - 1);
  curl_easy_setopt (call->easy, CURLOPT_MAXAGE_CONN, MAX (client->idle_reuse_ms / MS_PER_S - 1, 1));
  if (call->single_use || (last_failure_ms && since_ms < NEW_CONNECTIONS_AFTER_FAILURE_MS))
    curl_easy_setopt (call->easy, CURLOPT_FRESH_CONNECT, 1L);
  if (call->single_use)
    {
      curl_easy_setopt (call->easy, CURLOPT_FORBID_REUSE, 1L);
      call_add_header (call, "Connection", "close");
    }
}

/* Sets the options that do not depend on the request: callbacks and limits. Proxies, signals and
 * the normalization of paths are disabled. */
static void
call_set_common_options (struct http_call *call, const struct http_call_config *config)
{
  CURL *easy = call->easy;

  curl_easy_setopt (easy, CURLOPT_PRIVATE, call);
  curl_easy_setopt (easy, CURLOPT_URL, config->url);
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long) CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, config->connect_timeout_ms);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, config->timeout_ms);
  curl_easy_setopt (easy, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt (easy, CURLOPT_TCP_KEEPIDLE, (long) KEEPALIVE_IDLE_S);
  curl_easy_setopt (easy, CURLOPT_TCP_KEEPINTVL, (long) KEEPALIVE_INTERVAL_S);
  curl_easy_setopt (easy, CURLOPT_SOCKOPTFUNCTION, call_set_socket);
  curl_easy_setopt (easy, CURLOPT_SOCKOPTDATA, call);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, call_before_send);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, call);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, call_append_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, call_append_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, call);
}

/* Returns the IP:PORT part of a URL. */
static char *
url_authority (const char *url)
{
  const char *start = strstr (url, "://");

  start = start ? start + 3 : url;
  return g_strndup (start, strcspn (start, "/?"));
}

/* Starts a call; done is called from a later loop iteration. Copies what config points to. Returns
 * NULL if libcurl rejects the call. */
struct http_call *
http_call_create (struct http_client *client, const struct http_call_config *config)
{
  struct http_call *call = g_new0 (struct http_call, 1);

  call->client = client;
  call->done = config->done;
  call->ctx = config->ctx;
  call->body_limit = config->body_limit;
  call->repeatable = config->repeatable;
  call->single_use = config->fresh_connection || client->idle_reuse_ms < IDLE_REUSE_MIN_MS;
  call->head = g_byte_array_new ();
  call->body = g_byte_array_new ();
  call->authority = url_authority (config->url);
  call->easy = client_acquire_handle (client);
  call_set_common_options (call, config);
  call_set_request (call, config);
  call_set_connection_reuse (call);
  call_set_headers (call, config);
  LIST_INSERT_HEAD (&client->calls, call, link);
  if (curl_multi_add_handle (client->multi, call->easy) != CURLM_OK)
    {
      call_destroy (call);
      return NULL;
    }
  return call;
}

/* Aborts the call and closes its connection; done is not called. */
void
http_call_cancel (struct http_call *call)
{
  curl_multi_remove_handle (call->client->multi, call->easy);
  call_destroy (call);
}
