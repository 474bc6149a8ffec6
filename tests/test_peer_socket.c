#include <ev.h>
#include <glib.h>
#include <string.h>
#include <zmq.h>

#include "common/peer_socket.h"
#include "process.h"
#include "suite.h"

enum
{
  PORT_BLOCK = 1,
  N_MESSAGES = 3000,
};

/* A bound node, a second node with a link to it, and counters of what arrived. foreign counts the
 * messages that are not of the size that the link sends. */
struct pair
{
  struct ev_loop *loop;
  struct peer_node *bound;
  struct peer_node *other;
  struct peer_link *link;
  uint16_t port;
  unsigned echoed;
  unsigned received;
  unsigned malformed;
  unsigned foreign;
};

/* Sends each message back to its sender. */
static void
pair_echo (void *ctx, const void *reply_to, size_t reply_to_len, const void *data, size_t len)
{
  struct pair *pair = ctx;

  pair->echoed++;
  pair->foreign += len != sizeof (unsigned);
  peer_node_reply (pair->bound, reply_to, reply_to_len, data, len);
}

/* Counts the messages that come back. */
static void
pair_received (void *ctx, const void *data, size_t len)
{
  struct pair *pair = ctx;
  unsigned number = N_MESSAGES;

  pair->received++;
  if (len == sizeof number)
    memcpy (&number, data, len);
  if (number >= N_MESSAGES)
    pair->malformed++;
}

/* Binds a node to the port of the pair. */
static struct peer_node *
pair_bind (struct pair *pair, const char *public_key, const char *secret_key)
{
  struct peer_node_config config = {
    .address = "127.0.0.1",
    .port = pair->port,
    .public_key = public_key,
    .secret_key = secret_key,
    .inbound_received = pair_echo,
    .ctx = pair,
  };

  return peer_node_create (pair->loop, &config);
}

/* Starts both nodes and the link. */
static void
pair_start (struct pair *pair, const char *public_key, const char *secret_key,
            const char *other_secret_key)
{
  struct peer_node_config config = { .public_key = public_key, .secret_key = other_secret_key };

  memset (pair, 0, sizeof *pair);
  pair->loop = ev_loop_new (EVFLAG_AUTO);
  pair->port = process_port_block (PORT_BLOCK);
  pair->bound = pair_bind (pair, public_key, secret_key);
  SUITE_REQUIRE (pair->bound != NULL);
  pair->other = peer_node_create (pair->loop, &config);
  pair->link = peer_link_create (pair->other, "127.0.0.1", pair->port, pair_received, pair);
}

/* Stops both nodes. */
static void
pair_end (struct pair *pair)
{
  peer_node_destroy (pair->other);
  if (pair->bound)
    peer_node_destroy (pair->bound);
  ev_loop_destroy (pair->loop);
}

/* Wakes the loop. */
static void
on_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void) loop;
  (void) watcher;
  (void) events;
}

/* Sends messages, at most 100 ahead of the replies, until n have come back. Returns false if
 * limit_ms pass first. */
static bool
pair_exchange (struct pair *pair, unsigned n, int64_t limit_ms)
{
  int64_t end_ms = test_now_ms () + limit_ms;
  unsigned sent = 0;
  ev_timer tick;

  pair->received = 0;
  ev_timer_init (&tick, on_tick, 0.001, 0.001);
  ev_timer_start (pair->loop, &tick);
  while (pair->received < n && test_now_ms () < end_ms)
    {
      while (sent < n && sent < pair->received + 100 &&
             peer_link_send (pair->link, &sent, sizeof sent) == 0)
        sent++;
      ev_run (pair->loop, EVRUN_ONCE);
    }
  ev_timer_stop (pair->loop, &tick);
  return pair->received >= n;
}

/* All messages of a stream come back complete, although the descriptors are edge-triggered and one
 * wake-up does not drain the sockets. */
static void
test_exchange (void)
{
  struct pair pair;

  pair_start (&pair, "", "", "");
  CU_ASSERT (pair_exchange (&pair, N_MESSAGES, 5000));
  CU_ASSERT_EQUAL (pair.malformed, 0);
  pair_end (&pair);
}

/* While a peer is down, sending to it fails instead of queueing messages without limit; once it is
 * back, the link connects again. */
static void
test_restart (void)
{
  struct pair pair;
  unsigned accepted = 0;
  unsigned value = 0;

  pair_start (&pair, "", "", "");
  CU_ASSERT (pair_exchange (&pair, 1, 3000));
  peer_node_destroy (pair.bound);
  pair.bound = NULL;
  for (unsigned i = 0; i < 2 * N_MESSAGES; i++)
    accepted += peer_link_send (pair.link, &value, sizeof value) == 0;
  CU_ASSERT (accepted < N_MESSAGES);
  peer_link_reconnect (pair.link);
  pair.bound = pair_bind (&pair, "", "");
  CU_ASSERT (pair_exchange (&pair, 10, 3000));
  pair_end (&pair);
}

/* Sends one message from a plain socket that knows the node's public key but has its own key pair,
 * while messages pass over the link for 300 ms; their number is too large to be reached earlier.
 * Returns the number of messages that the node accepted from the socket. */
static unsigned
pair_connect_with_own_keys (struct pair *pair, const char *server_key, const char *own_public,
                            const char *own_secret)
{
  g_autofree char *endpoint = g_strdup_printf ("tcp://127.0.0.1:%u", pair->port);
  void *context = zmq_ctx_new ();
  void *socket = zmq_socket (context, ZMQ_DEALER);
  int none = 0;

  zmq_setsockopt (socket, ZMQ_LINGER, &none, sizeof none);
  zmq_setsockopt (socket, ZMQ_CURVE_SERVERKEY, server_key, strlen (server_key));
  zmq_setsockopt (socket, ZMQ_CURVE_PUBLICKEY, own_public, strlen (own_public));
  zmq_setsockopt (socket, ZMQ_CURVE_SECRETKEY, own_secret, strlen (own_secret));
  CU_ASSERT_EQUAL (zmq_connect (socket, endpoint), 0);
  CU_ASSERT_EQUAL (zmq_send (socket, "x", 1, ZMQ_DONTWAIT), 1);
  pair_exchange (pair, N_MESSAGES * N_MESSAGES, 300);
  zmq_close (socket);
  zmq_ctx_term (context);
  return pair->foreign;
}

/* With keys configured, only a peer that holds the shared secret key gets through. */
static void
test_keys (void)
{
  char public_key[41];
  char secret_key[41];
  char wrong_public_key[41];
  char wrong_secret_key[41];
  struct pair pair;

  SUITE_REQUIRE (zmq_curve_keypair (public_key, secret_key) == 0);
  SUITE_REQUIRE (zmq_curve_keypair (wrong_public_key, wrong_secret_key) == 0);
  pair_start (&pair, public_key, secret_key, secret_key);
  CU_ASSERT (pair_exchange (&pair, 10, 3000));
  CU_ASSERT_EQUAL (
      pair_connect_with_own_keys (&pair, public_key, wrong_public_key, wrong_secret_key), 0);
  pair_end (&pair);
  pair_start (&pair, public_key, secret_key, wrong_secret_key);
  CU_ASSERT (!pair_exchange (&pair, 1, 500));
  CU_ASSERT_EQUAL (pair.echoed, 0);
  pair_end (&pair);
}

/* With an invalid key, or a valid secret key without a public key, the node is not created, instead
 * of accepting any peer. */
static void
test_bad_keys (void)
{
  struct pair pair = { .port = process_port_block (PORT_BLOCK) };

  pair.loop = ev_loop_new (EVFLAG_AUTO);
  CU_ASSERT_PTR_NULL (pair_bind (&pair, "too short", "too short"));
  CU_ASSERT_PTR_NULL (pair_bind (&pair, "", "rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7"));
  ev_loop_destroy (pair.loop);
}

static const struct suite_test tests[] = {
  { "exchange", test_exchange },
  { "restart", test_restart },
  { "keys", test_keys },
  { "bad keys", test_bad_keys },
};

int
main (void)
{
  return suite_run ("peer_socket", tests, sizeof tests / sizeof tests[0]);
}
