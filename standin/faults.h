#ifndef SESAMEPICK_STANDIN_FAULTS_H
#define SESAMEPICK_STANDIN_FAULTS_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

struct forward;

/* Bytes in transit in one direction. A length of 0 marks the end of the stream. */
struct chunk
{
  STAILQ_ENTRY (chunk) link;
  double send_time_s;
  size_t len;
  size_t sent;
  char data[];
};

STAILQ_HEAD (chunk_queue, chunk);

/* One direction of a connection. */
struct pipe
{
  struct tunnel *tunnel;
  int from_fd;
  int to_fd;
  struct chunk_queue queue;
  size_t queued_bytes;
  ev_io readable;
  ev_io writable;
  ev_timer send_timer;
  /* Whether the end of the stream was read, and sent. */
  bool read_closed;
  bool write_closed;
};

/* One connection through the proxy: from the client's socket to the endpoint's (up) and back
 * (down). */
struct tunnel
{
  LIST_ENTRY (tunnel) link;
  struct forward *forward;
  struct pipe up;
  struct pipe down;
  /* Received bytes are discarded without either side noticing. */
  bool blackholed;
  bool connecting;
};

LIST_HEAD (tunnel_list, tunnel);

/* A forwarded port and the faults on it. */
struct forward
{
  struct ev_loop *loop;
  char listen_ip[64];
  uint16_t listen_port;
  char target_ip[64];
  uint16_t target_port;
  int listen_fd;
  ev_io accept;
  /* Delay of each byte, in either direction. */
  double delay_s;
  /* Holds back all bytes until it is cleared. */
  bool frozen;
  struct tunnel_list tunnels;
};

/* Opens the listening socket if it is not open. Returns 0 or a negative error number. */
int forward_listen (struct forward *forward);
/* Closes the listening socket, so that new connections are refused. */
void forward_refuse (struct forward *forward);
/* Resets all connections. */
void forward_reset (struct forward *forward);
/* Black-holes all open connections permanently; new connections work. */
void forward_blackhole (struct forward *forward);
/* Holds back all bytes of open and new connections, or releases them. */
void forward_freeze (struct forward *forward, bool frozen);

struct tunnel *tunnel_create (struct forward *forward, int client_fd);
/* Closes both sides; with reset, both peers see a connection reset. */
void tunnel_destroy (struct tunnel *tunnel, bool reset);
/* Starts or stops the watchers of both directions after a change of state. */
void tunnel_update_watchers (struct tunnel *tunnel);

#endif
