#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "soak.h"

/* HTTP on a plain socket. An HTTP library may send a request again by itself, and then the number
 * of tries and their statuses are not known. */

enum
{
  BUFFER_BYTES = 8192,
};

void
soak_connection_close (struct soak_connection *connection)
{
  if (connection->fd >= 0)
    close (connection->fd);
  connection->fd = -1;
}

/* Waits for events of the socket until end_ms. */
static bool
connection_wait (const struct soak_connection *connection, short events, int64_t end_ms)
{
  struct pollfd set = { .fd = connection->fd, .events = events };
  int64_t left_ms = end_ms - test_now_ms ();

  return left_ms > 0 && poll (&set, 1, (int) left_ms) == 1;
}

/* Opens the connection. */
static bool
connection_open (struct soak_connection *connection, int64_t end_ms)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (connection->port) };
  int error = 0;
  socklen_t len = sizeof error;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  connection->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connection->fd < 0)
    return false;
  fcntl (connection->fd, F_SETFL, O_NONBLOCK);
  if (connect (connection->fd, (struct sockaddr *) &address, sizeof address) == 0)
    return true;
  return errno == EINPROGRESS && connection_wait (connection, POLLOUT, end_ms) &&
         getsockopt (connection->fd, SOL_SOCKET, SO_ERROR, &error, &len) == 0 && error == 0;
}

/* Closes a connection that the other side has closed. Returns false if it holds bytes although no
 * request is open. */
static bool
connection_check_idle (struct soak_connection *connection)
{
  char byte;
  ssize_t n;

  if (connection->fd < 0)
    return true;
  n = recv (connection->fd, &byte, 1, MSG_PEEK);
  if (n > 0)
    return false;
  if (n == 0 || errno != EAGAIN)
    soak_connection_close (connection);
  return true;
}

/* Sends the whole request. */
static bool
connection_send (const struct soak_connection *connection, const char *text, int64_t end_ms)
{
  size_t len = strlen (text);

  while (len > 0)
    {
      ssize_t n = send (connection->fd, text, len, MSG_NOSIGNAL);

      if (n < 0 && (errno != EAGAIN || !connection_wait (connection, POLLOUT, end_ms)))
        return false;
      text += MAX (n, 0);
      len -= (size_t) MAX (n, 0);
    }
  return true;
}

/* Decodes a response. Returns false if it is not complete yet; sets mixed_up if it is no HTTP
 * response, or if bytes follow it. */
static bool
answer_decode (const char *buffer, size_t len, struct soak_answer *answer, bool *close_after)
{
  const char *end = strstr (buffer, "\r\n\r\n");
  g_autofree char *head = end ? g_ascii_strdown (buffer, end - buffer) : NULL;
  const char *length_text = head ? strstr (head, "\r\ncontent-length: ") : NULL;
  size_t total;

  if (!head)
    return false;
  answer->mixed_up = !g_str_has_prefix (head, "http/1.1 ") || !length_text;
  if (answer->mixed_up)
    return true;
  total = (size_t) (end + 4 - buffer) +
          strtoul (length_text + strlen ("\r\ncontent-length: "), NULL, 10);
  if (len < total)
    return false;
  answer->mixed_up = len > total;
  answer->status = (int) strtol (head + strlen ("http/1.1 "), NULL, 10);
  *close_after = strstr (head, "\r\nconnection: close") != NULL;
  g_strlcpy (answer->body, end + 4, sizeof answer->body);
  return true;
}

/* Receives the response. Returns false if the connection has to be closed. */
static bool
connection_receive (const struct soak_connection *connection, int64_t end_ms,
                    struct soak_answer *answer)
{
  char buffer[BUFFER_BYTES];
  size_t len = 0;
  bool close_after = false;

  while (connection_wait (connection, POLLIN, end_ms))
    {
      ssize_t n = recv (connection->fd, buffer + len, sizeof buffer - 1 - len, 0);

      if (n < 0 && errno == EAGAIN)
        continue;
      if (n <= 0)
        return false;
      len += (size_t) n;
      buffer[len] = '\0';
      if (answer_decode (buffer, len, answer, &close_after))
        return !close_after && !answer->mixed_up;
    }
  return false;
}

void
soak_call (struct soak_connection *connection, const char *method, const char *path,
           const char *key, const char *body, struct soak_answer *answer)
{
  int64_t end_ms = test_now_ms () + SOAK_CALL_MS;
  g_autofree char *text =
      g_strdup_printf ("%s %s HTTP/1.1\r\nHost: jobs.example\r\nX-Deadline-Ms: %d\r\n"
                       "X-Credential: %s\r\n"
                       "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
                       method, path, SOAK_CALL_MS, key, body ? strlen (body) : 0, body ? body : "");

  memset (answer, 0, sizeof *answer);
  answer->mixed_up = !connection_check_idle (connection);
  if (answer->mixed_up || (connection->fd < 0 && !connection_open (connection, end_ms)) ||
      !connection_send (connection, text, end_ms) ||
      !connection_receive (connection, end_ms, answer))
    soak_connection_close (connection);
}
