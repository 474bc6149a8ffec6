#ifndef SESAMEPICK_TESTS_CROWDS_CROWD_H
#define SESAMEPICK_TESTS_CROWDS_CROWD_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* Many clients of one port that don't behave: each sends a head and a body, or a part of them,
 * reads no response and keeps its connection open. They run in a thread of their own. */
struct crowd;

struct crowd_config
{
  uint16_t port;
  unsigned n_clients;
  /* Method; NULL if the clients send nothing. */
  const char *method;
  /* Path, to which each client adds a number of 16 digits that no other client has. */
  const char *path;
  /* Header lines, each with its line end. The clients add the line that ends the head only if body
   * is not NULL. */
  const char *headers;
  /* What follows the head; NULL if the head never ends. */
  const GByteArray *body;
  /* A client whose connection is closed opens another one. */
  bool reconnects;
};

/* What a process has used while a crowd was there. */
struct crowd_usage
{
  /* Largest resident memory of the process, its peak included, and largest sum of it and of the
   * bytes that the kernel holds unread for the crowd's port, in bytes. */
  int64_t peak_bytes;
  int64_t peak_with_unread_bytes;
  /* Largest number of open descriptors. */
  unsigned descriptors;
};

/* Opens the connections and starts to send. Samples what the process uses until the crowd is
 * destroyed. */
struct crowd *crowd_create (const struct crowd_config *config, pid_t process);
/* Waits until no client has sent anything for half a second. Clients that have sent all, whose
 * connection is closed or whose bytes are not read wait. Returns the number of open connections. */
unsigned crowd_settle (struct crowd *crowd);
/* Closes all connections. Returns what the process has used. */
struct crowd_usage crowd_destroy (struct crowd *crowd);

/* Returns a body of len bytes in chunks of chunk_len bytes each, without the last chunk. */
GByteArray *crowd_chunks (const void *data, size_t len, size_t chunk_len);
/* Returns text, as often as it fits into len bytes. */
GByteArray *crowd_repeated (const char *text, size_t len);

#endif
