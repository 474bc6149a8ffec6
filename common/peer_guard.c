#include "common/peer_guard.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>
#include <zmq.h>

#include "common/log.h"

enum
{
  KEY_BYTES = 32,
  KEY_CHARACTERS = 40,
  FRAME_BYTES = 256,
  /* Frames of a ZAP request: version, request id, domain, address, identity, mechanism,
   * credentials. */
  FRAME_REQUEST_ID = 1,
  FRAME_CREDENTIALS = 6,
  FRAMES = 7,
};

struct peer_guard
{
  struct ev_loop *loop;
  void *socket;
  ev_io ready;
  uint8_t key[KEY_BYTES];
};

/* One frame of a request. */
struct frame
{
  uint8_t data[FRAME_BYTES];
  size_t len;
};

/* Reads a complete request. Returns false if none is available or it has the wrong number of
 * frames. */
static bool
guard_read (struct peer_guard *guard, struct frame frames[FRAMES])
{
  size_t n = 0;
  int more = 1;
  size_t more_len = sizeof more;

  while (more)
    {
      struct frame spare;
      struct frame *frame = n < FRAMES ? &frames[n] : &spare;
      int len = zmq_recv (guard->socket, frame->data, sizeof frame->data, ZMQ_DONTWAIT);

      if (len < 0)
        return false;
      frame->len = MIN ((size_t) len, sizeof frame->data);
      n++;
      zmq_getsockopt (guard->socket, ZMQ_RCVMORE, &more, &more_len);
    }
  return n == FRAMES;
}

/* Sends a ZAP reply: version, request id, status code, status text, user id and metadata; the last
 * three are empty. */
static void
guard_answer (struct peer_guard *guard, const struct frame *request_id, bool admitted)
{
  const char *status = admitted ? "200" : "400";

  zmq_send (guard->socket, "1.0", 3, ZMQ_SNDMORE);
  zmq_send (guard->socket, request_id->data, request_id->len, ZMQ_SNDMORE);
  zmq_send (guard->socket, status, strlen (status), ZMQ_SNDMORE);
  zmq_send (guard->socket, "", 0, ZMQ_SNDMORE);
  zmq_send (guard->socket, "", 0, ZMQ_SNDMORE);
  zmq_send (guard->socket, "", 0, 0);
}

/* Handles all pending requests; the descriptor is edge-triggered. */
static void
guard_on_ready (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct peer_guard *guard = watcher->data;
  struct frame frames[FRAMES] = { 0 };
  int ready = 0;
  size_t len = sizeof ready;

  (void) loop;
  (void) events;
  while (zmq_getsockopt (guard->socket, ZMQ_EVENTS, &ready, &len) == 0 && (ready & ZMQ_POLLIN))
    {
      const struct frame *credentials = &frames[FRAME_CREDENTIALS];
      bool whole = guard_read (guard, frames);
      bool admitted = whole && credentials->len == KEY_BYTES &&
                      memcmp (credentials->data, guard->key, KEY_BYTES) == 0;

      if (!admitted)
        log_warning ("peer", "Rejected a connection: the peer does not hold the shared key.");
      guard_answer (guard, &frames[FRAME_REQUEST_ID], admitted);
    }
}

/* Creates the ZAP handler of a context. Returns NULL if the key is invalid. */
struct peer_guard *
peer_guard_create (struct ev_loop *loop, void *context, const char *public_key)
{
  struct peer_guard *guard = g_new0 (struct peer_guard, 1);
  int fd = -1;
  size_t len = sizeof fd;

  if (strlen (public_key) != KEY_CHARACTERS || !zmq_z85_decode (guard->key, public_key))
    {
      g_free (guard);
      return NULL;
    }
  guard->loop = loop;
  guard->socket = zmq_socket (context, ZMQ_REP);
  g_assert (guard->socket);
  if (zmq_bind (guard->socket, "inproc://zeromq.zap.01") != 0)
    g_error ("The ZeroMQ context already has a ZAP handler");
  zmq_getsockopt (guard->socket, ZMQ_FD, &fd, &len);
  ev_io_init (&guard->ready, guard_on_ready, fd, EV_READ);
  guard->ready.data = guard;
  ev_io_start (loop, &guard->ready);
  ev_feed_event (loop, &guard->ready, EV_READ);
  return guard;
}

/* Frees the handler; must be called before its context is terminated. */
void
peer_guard_destroy (struct peer_guard *guard)
{
  int none = 0;

  ev_io_stop (guard->loop, &guard->ready);
  zmq_setsockopt (guard->socket, ZMQ_LINGER, &none, sizeof none);
  zmq_close (guard->socket);
  g_free (guard);
}
