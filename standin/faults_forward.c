#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include "faults.h"

enum
{
  BACKLOG = 1024,
};

/* Accepts connections and opens a tunnel for each. */
static void
forward_on_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct forward *forward = watcher->data;
  int fd;

  (void) loop;
  (void) events;
  while ((fd = accept4 (forward->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
    tunnel_create (forward, fd);
}

/* Opens the listening socket if it is not open. Returns 0 or a negative error number. */
int
forward_listen (struct forward *forward)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int on = 1;

  if (forward->listen_fd >= 0)
    return 0;
  address.sin_port = htons (forward->listen_port);
  inet_pton (AF_INET, forward->listen_ip, &address.sin_addr);
  forward->listen_fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (forward->listen_fd < 0)
    return -errno;
  setsockopt (forward->listen_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (forward->listen_fd, (struct sockaddr *) &address, sizeof address) < 0 ||
      listen (forward->listen_fd, BACKLOG) < 0)
    {
      int error = -errno;

      close (forward->listen_fd);
      forward->listen_fd = -1;
      return error;
    }
  ev_io_init (&forward->accept, forward_on_accept, forward->listen_fd, EV_READ);
  forward->accept.data = forward;
  ev_io_start (forward->loop, &forward->accept);
  return 0;
}

/* Closes the listening socket, so that new connections are refused. */
void
forward_refuse (struct forward *forward)
{
  if (forward->listen_fd < 0)
    return;
  ev_io_stop (forward->loop, &forward->accept);
  close (forward->listen_fd);
  forward->listen_fd = -1;
}

/* Resets all connections. */
void
forward_reset (struct forward *forward)
{
  struct tunnel *tunnel = LIST_FIRST (&forward->tunnels);

  while (tunnel)
    {
      struct tunnel *next = LIST_NEXT (tunnel, link);

      tunnel_destroy (tunnel, true);
      tunnel = next;
    }
}

/* Black-holes all open connections permanently; new connections work. */
void
forward_blackhole (struct forward *forward)
{
  struct tunnel *tunnel;

  LIST_FOREACH (tunnel, &forward->tunnels, link)
    {
      tunnel->blackholed = true;
      tunnel_update_watchers (tunnel);
    }
}

/* Holds back all bytes of open and new connections, or releases them. */
void
forward_freeze (struct forward *forward, bool frozen)
{
  struct tunnel *tunnel;

  forward->frozen = frozen;
  LIST_FOREACH (tunnel, &forward->tunnels, link)
    tunnel_update_watchers (tunnel);
}
