#include "common/zap_handler.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>
#include <zmq.h>

#include "common/log.h"

enum
{
  KEY_BYTES = 32,
  KEY_CHARACTERS = 40,
  FRAME_MAX_BYTES = 256,
  /* Frames of a ZAP request: version, request id, domain, address, identity, mechanism,
   * credentials. */
  FRAME_REQUEST_ID = 1,
  FRAME_CREDENTIALS = 6,
  N_FRAMES = 7,
};

struct zap_handler
{
  struct ev_loop *loop;
  void *socket;
  ev_io ready;
  uint8_t key[KEY_BYTES];
};

/* One frame of a request. */
struct frame
{
  uint8_t data[FRAME_MAX_BYTES];
  size_t len;
};

/* Reads a complete request. Returns false if none is available or it has the wrong number of
 * frames. */
static bool
zap_read_request (struct zap_handler *handler, struct frame frames[N_FRAMES])
{
  size_t n = 0;
  int more = 1;
  size_t more_len = sizeof more;

  while (more)
    {
      struct frame spare;
      struct frame *frame = n < N_FRAMES ? &frames[n] : &spare;
      int len = zmq_recv (handler->socket, frame->data, sizeof frame->data, ZMQ_DONTWAIT);

      if (len < 0)
        return false;
      frame->len = MIN ((size_t) len, sizeof frame->data);
      n++;
      zmq_getsockopt (handler->socket, ZMQ_RCVMORE, &more, &more_len);
    }
  return n == N_FRAMES;
}

/* Sends a ZAP reply: version, request id, status code, status text, user id and metadata; the last
 * three are empty. */
static void
zap_send_reply (struct zap_handler *handler, const struct frame *request_id, bool accepted)
{
  const char *status = accepted ? "200" : "400";

  zmq_send (handler->socket, "1.0", 3, ZMQ_SNDMORE);
  zmq_send (handler->socket, request_id->data, request_id->len, ZMQ_SNDMORE);
  zmq_send (handler->socket, status, strlen (status), ZMQ_SNDMORE);
  zmq_send (handler->socket, "", 0, ZMQ_SNDMORE);
  zmq_send (handler->socket, "", 0, ZMQ_SNDMORE);
  zmq_send (handler->socket, "", 0, 0);
}

/* Handles all pending requests; the descriptor is edge-triggered. */
static void
zap_on_ready (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct zap_handler *handler = watcher->data;
  struct frame frames[N_FRAMES] = { 0 };
  int ready = 0;
  size_t len = sizeof ready;

  (void) loop;
  (void) events;
  while (zmq_getsockopt (handler->socket, ZMQ_EVENTS, &ready, &len) == 0 && (ready & ZMQ_POLLIN))
    {
      const struct frame *credentials = &frames[FRAME_CREDENTIALS];
      bool complete = zap_read_request (handler, frames);
      bool accepted = complete && credentials->len == KEY_BYTES &&
                      memcmp (credentials->data, handler->key, KEY_BYTES) == 0;

      if (!accepted)
        log_warning ("peer", "Rejected a connection: the peer does not hold the shared key.");
      zap_send_reply (handler, &frames[FRAME_REQUEST_ID], accepted);
    }
}

/* Creates the ZAP handler of a context. Returns NULL if the key is invalid. */
struct zap_handler *
zap_handler_create (struct ev_loop *loop, void *context, const char *public_key)
{
  struct zap_handler *handler = g_new0 (struct zap_handler, 1);
  int fd = -1;
  size_t len = sizeof fd;

  if (strlen (public_key) != KEY_CHARACTERS || !zmq_z85_decode (handler->key, public_key))
    {
      g_free (handler);
      return NULL;
    }
  handler->loop = loop;
  handler->socket = zmq_socket (context, ZMQ_REP);
  g_assert (handler->socket);
  if (zmq_bind (handler->socket, "inproc://zeromq.zap.01") != 0)
    g_error ("The ZeroMQ context already has a ZAP handler");
  zmq_getsockopt (handler->socket, ZMQ_FD, &fd, &len);
  ev_io_init (&handler->ready, zap_on_ready, fd, EV_READ);
  handler->ready.data = handler;
  ev_io_start (loop, &handler->ready);
  ev_feed_event (loop, &handler->ready, EV_READ);
  return handler;
}

/* Frees the handler; must be called before its context is terminated. */
void
zap_handler_destroy (struct zap_handler *handler)
{
  int none = 0;

  ev_io_stop (handler->loop, &handler->ready);
  zmq_setsockopt (handler->socket, ZMQ_LINGER, &none, sizeof none);
  zmq_close (handler->socket);
  g_free (handler);
}
