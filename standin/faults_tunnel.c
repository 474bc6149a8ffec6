#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "faults.h"

enum
{
  READ_BYTES = 64 * 1024,
  QUEUE_MAX_BYTES = 4 * 1024 * 1024,
};

/* Disables Nagle's algorithm, so that small writes are sent at once. */
static void
socket_set_nodelay (int fd)
{
  int on = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

/* Closes a socket; with reset, the peer sees a connection reset. */
static void
socket_close (int fd, bool reset)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  if (reset)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (fd);
}

/* Stops a direction and frees its queued bytes. */
static void
pipe_finish (struct pipe *pipe)
{
  struct ev_loop *loop = pipe->tunnel->forward->loop;
  struct chunk *chunk;

  ev_io_stop (loop, &pipe->readable);
  ev_io_stop (loop, &pipe->writable);
  ev_timer_stop (loop, &pipe->send_timer);
  while ((chunk = STAILQ_FIRST (&pipe->queue)))
    {
      STAILQ_REMOVE_HEAD (&pipe->queue, link);
      g_free (chunk);
    }
}

/* Closes both sides of a connection; with reset, both peers see a connection reset. */
void
tunnel_destroy (struct tunnel *tunnel, bool reset)
{
  pipe_finish (&tunnel->up);
  pipe_finish (&tunnel->down);
  socket_close (tunnel->up.from_fd, reset);
  socket_close (tunnel->up.to_fd, reset);
  LIST_REMOVE (tunnel, link);
  g_free (tunnel);
}

/* Starts or stops a direction's watchers: for incoming bytes, and for the time at which the next
 * chunk is due. */
static void
pipe_update_watchers (struct pipe *pipe)
{
  struct tunnel *tunnel = pipe->tunnel;
  struct ev_loop *loop = tunnel->forward->loop;
  struct chunk *next = STAILQ_FIRST (&pipe->queue);

  if (!pipe->read_closed && !tunnel->connecting && pipe->queued_bytes < QUEUE_MAX_BYTES)
    ev_io_start (loop, &pipe->readable);
  else
    ev_io_stop (loop, &pipe->readable);
  ev_timer_stop (loop, &pipe->send_timer);
  if (!next || tunnel->forward->frozen || tunnel->blackholed || ev_is_active (&pipe->writable))
    return;
  ev_timer_set (&pipe->send_timer, MAX (next->send_time_s - ev_now (loop), 0.0), 0.0);
  ev_timer_start (loop, &pipe->send_timer);
}

/* Queues bytes, or the end of the stream (len 0), to be sent after the delay. */
static void
pipe_push (struct pipe *pipe, const char *data, size_t len)
{
  struct forward *forward = pipe->tunnel->forward;
  struct chunk *chunk = g_malloc (sizeof *chunk + len);

  chunk->send_time_s = ev_now (forward->loop) + forward->delay_s;
  chunk->len = len;
  chunk->sent = 0;
  memcpy (chunk->data, data, len);
  STAILQ_INSERT_TAIL (&pipe->queue, chunk, link);
  pipe->queued_bytes += len;
}

/* Reads from one side. A connection reset is passed on to the other side at once. */
static void
pipe_on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  static char buffer[READ_BYTES];
  struct pipe *pipe = watcher->data;
  ssize_t n = recv (pipe->from_fd, buffer, sizeof buffer, 0);

  (void) loop;
  (void) events;
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n <= 0)
    pipe->read_closed = true;
  if (n < 0 && !pipe->tunnel->blackholed)
    {
      tunnel_destroy (pipe->tunnel, true);
      return;
    }
  if (!pipe->tunnel->blackholed)
    pipe_push (pipe, buffer, (size_t) MAX (n, 0));
  else if (pipe->tunnel->up.read_closed && pipe->tunnel->down.read_closed)
    {
      tunnel_destroy (pipe->tunnel, true);
      return;
    }
  pipe_update_watchers (pipe);
}

/* Sends one chunk. Returns 0, -EAGAIN if the socket buffer is full, or another negative error
 * number. */
static int
pipe_send (struct pipe *pipe, struct chunk *chunk)
{
  while (chunk->sent < chunk->len)
    {
      ssize_t n =
          send (pipe->to_fd, chunk->data + chunk->sent, chunk->len - chunk->sent, MSG_NOSIGNAL);

      if (n < 0)
        return -errno;
      chunk->sent += (size_t) n;
    }
  if (chunk->len == 0)
    {
      shutdown (pipe->to_fd, SHUT_WR);
      pipe->write_closed = true;
    }
  return 0;
}

/* Sends the chunks that are due. Returns false if the tunnel was destroyed. */
static bool
pipe_flush (struct pipe *pipe)
{
  struct tunnel *tunnel = pipe->tunnel;
  struct ev_loop *loop = tunnel->forward->loop;
  struct chunk *chunk;

  ev_io_stop (loop, &pipe->writable);
  while ((chunk = STAILQ_FIRST (&pipe->queue)) && chunk->send_time_s <= ev_now (loop))
    {
      int error = pipe_send (pipe, chunk);

      if (error == -EAGAIN)
        {
          ev_io_start (loop, &pipe->writable);
          return true;
        }
      if (error != 0)
        {
          tunnel_destroy (tunnel, true);
          return false;
        }
      pipe->queued_bytes -= chunk->len;
      STAILQ_REMOVE_HEAD (&pipe->queue, link);
      g_free (chunk);
    }
  if (tunnel->up.write_closed && tunnel->down.write_closed)
    {
      tunnel_destroy (tunnel, false);
      return false;
    }
  return true;
}

/* Sends the next chunk at its due time. */
static void
pipe_on_send_time (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct pipe *pipe = watcher->data;

  (void) loop;
  (void) events;
  if (pipe_flush (pipe))
    pipe_update_watchers (pipe);
}

/* Continues sending once the socket buffer has space, or handles the result of connecting to the
 * endpoint. */
static void
pipe_on_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct pipe *pipe = watcher->data;
  struct tunnel *tunnel = pipe->tunnel;
  int error = 0;
  socklen_t len = sizeof error;

  (void) events;
  if (!tunnel->connecting)
    {
      if (tunnel->forward->frozen || tunnel->blackholed)
        ev_io_stop (loop, watcher);
      else if (pipe_flush (pipe))
        pipe_update_watchers (pipe);
      return;
    }
  getsockopt (pipe->to_fd, SOL_SOCKET, SO_ERROR, &error, &len);
  if (error != 0)
    {
      tunnel_destroy (tunnel, true);
      return;
    }
  tunnel->connecting = false;
  ev_io_stop (loop, watcher);
  tunnel_update_watchers (tunnel);
}

/* Initializes one direction. */
static void
pipe_init (struct pipe *pipe, struct tunnel *tunnel, int from_fd, int to_fd)
{
  pipe->tunnel = tunnel;
  pipe->from_fd = from_fd;
  pipe->to_fd = to_fd;
  STAILQ_INIT (&pipe->queue);
  ev_io_init (&pipe->readable, pipe_on_readable, from_fd, EV_READ);
  ev_io_init (&pipe->writable, pipe_on_writable, to_fd, EV_WRITE);
  ev_timer_init (&pipe->send_timer, pipe_on_send_time, 0.0, 0.0);
  pipe->readable.data = pipe;
  pipe->writable.data = pipe;
  pipe->send_timer.data = pipe;
}

/* Opens a connection to the endpoint for an accepted one. Returns NULL and resets the accepted
 * connection if that fails at once. */
struct tunnel *
tunnel_create (struct forward *forward, int client_fd)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (forward->target_port) };
  struct tunnel *tunnel;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  inet_pton (AF_INET, forward->target_ip, &address.sin_addr);
  if (fd < 0 ||
      (connect (fd, (struct sockaddr *) &address, sizeof address) < 0 && errno != EINPROGRESS))
    {
      if (fd >= 0)
        close (fd);
      socket_close (client_fd, true);
      return NULL;
    }
  socket_set_nodelay (client_fd);
  socket_set_nodelay (fd);
  tunnel = g_new0 (struct tunnel, 1);
  tunnel->forward = forward;
  tunnel->connecting = true;
  pipe_init (&tunnel->up, tunnel, client_fd, fd);
  pipe_init (&tunnel->down, tunnel, fd, client_fd);
  LIST_INSERT_HEAD (&forward->tunnels, tunnel, link);
  ev_io_start (forward->loop, &tunnel->up.writable);
  return tunnel;
}

/* Starts or stops the watchers of both directions after a change of state. */
void
tunnel_update_watchers (struct tunnel *tunnel)
{
  pipe_update_watchers (&tunnel->up);
  pipe_update_watchers (&tunnel->down);
}
