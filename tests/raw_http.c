#include "raw_http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/http_server.h"

enum
{
  BODY_LIMIT_BYTES = 4096,
  CONNECTION_LIMIT = 16,
  RESPONSE_BYTES_MAX = 4096,
  POLLS_MAX = 60,
};

struct raw_http
{
  struct ev_loop *loop;
  struct http_server *server;
  uint16_t port;
};

/* Responds to a request with 200. */
static void
raw_handle_request (void *ctx, struct http_request *request)
{
  (void) ctx;
  http_request_respond_text (request, 200, "text/plain", "ok\n");
}

struct raw_http *
raw_http_create (uint16_t port)
{
  struct raw_http *raw = g_new0 (struct raw_http, 1);
  struct http_server_config config = {
    .address = "127.0.0.1",
    .port = port,
    .body_limit = BODY_LIMIT_BYTES,
    .connection_limit = CONNECTION_LIMIT,
    .handle = raw_handle_request,
    .ctx = raw,
  };

  raw->port = port;
  raw->loop = ev_loop_new (0);
  raw->server = http_server_create (raw->loop, &config);
  return raw;
}

void
raw_http_destroy (struct raw_http *raw)
{
  http_server_destroy (raw->server);
  ev_loop_destroy (raw->loop);
  g_free (raw);
}

/* Lets the server handle pending events, then pauses for a short time. */
static void
raw_run_loop (struct raw_http *raw)
{
  enum
  {
    PAUSE_US = 3000,
  };

  ev_run (raw->loop, EVRUN_NOWAIT);
  g_usleep (PAUSE_US);
}

int
raw_http_send (struct raw_http *raw, const char *bytes, size_t len, bool *closed)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (raw->port) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  char response[RESPONSE_BYTES_MAX + 1] = { 0 };
  size_t got = 0;

  inet_pton (AF_INET, "127.0.0.1", &address.sin_addr);
  *closed = false;
  if (connect (fd, (struct sockaddr *) &address, sizeof address) < 0 ||
      send (fd, bytes, len, MSG_NOSIGNAL) < 0)
    {
      close (fd);
      return 0;
    }
  for (int poll = 0; poll < POLLS_MAX && !*closed; poll++)
    {
      ssize_t n;

      raw_run_loop (raw);
      n = recv (fd, response + got, RESPONSE_BYTES_MAX - got, MSG_DONTWAIT);
      if (n > 0)
        got += (size_t) n;
      else if (n == 0 || errno != EAGAIN)
        *closed = true;
    }
  close (fd);
  raw_run_loop (raw);
  return strncmp (response, "HTTP/1.1 ", 9) == 0 ? atoi (response + 9) : 0;
}
