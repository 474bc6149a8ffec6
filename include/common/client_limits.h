#ifndef SESAMEPICK_COMMON_CLIENT_LIMITS_H
#define SESAMEPICK_COMMON_CLIENT_LIMITS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "common/memory_budget.h"

/* Decides, for a server, whose connection is closed and whose bytes are taken. Opens and closes
 * nothing itself. */

enum
{
  /* What a connection itself may take: the buffers of the HTTP library and of the kernel. */
  CLIENT_CONNECTION_BYTES = 40 * 1024,
};

enum client_state
{
  /* No request has begun, or the last one is over. */
  CLIENT_IDLE,
  /* A request has begun and is not complete. */
  CLIENT_RECEIVING,
  /* A complete request waits for its response. Its connection is never closed for others. */
  CLIENT_SERVED,
  /* The response is being sent. */
  CLIENT_SENDING,
  N_CLIENT_STATES,
};

/* Why a request is refused or a connection is closed. */
enum client_refusal
{
  /* The memory for clients is used up. */
  CLIENT_REFUSED_MEMORY,
  /* Its connection is needed, while it is idle, or while its request is not complete. */
  CLIENT_CLOSED_IDLE_FOR_OTHERS,
  CLIENT_CLOSED_RECEIVING_FOR_OTHERS,
  /* The memory of its body or of its response is needed. */
  CLIENT_CLOSED_FOR_MEMORY,
  /* It has been idle, its request has been incomplete, or its response has not been read for too
   * long. */
  CLIENT_CLOSED_IDLE,
  CLIENT_CLOSED_SLOW_REQUEST,
  CLIENT_CLOSED_SLOW_RESPONSE,
  N_CLIENT_REFUSALS,
};

/* A connection. Embedded in a struct of its owner; the fields are private. */
struct client
{
  /* List of its state; none while it is closing. */
  TAILQ_ENTRY (client) link;
  enum client_state state;
  bool closing;
  /* When the state began, and when bytes of the request last came. */
  int64_t since_ms;
  int64_t progress_ms;
  /* Bytes of the request that have come, or of the response. */
  size_t n_bytes;
  /* What it has of the budget. */
  size_t memory;
};

TAILQ_HEAD (client_list, client);

struct client_limits
{
  struct memory_budget *budget;
  unsigned connection_limit;
  /* Open connections that are not closing. */
  unsigned n_clients;
  struct client_list clients[N_CLIENT_STATES];
  /* Time by which clients are judged. It doesn't run on while the process is stopped, so that
   * clients aren't closed for a pause of the process. */
  int64_t now_ms;
  int64_t clock_ms;
  /* The budget's refusals at the last sweep for late clients. */
  uint64_t n_refusals_seen;
  uint64_t counts[N_CLIENT_REFUSALS];
};

void client_limits_init (struct client_limits *limits, struct memory_budget *budget,
                         unsigned connection_limit);
/* Moves the time on, to a monotonic time in milliseconds. Called at least once a second while there
 * are connections. */
void client_limits_advance (struct client_limits *limits, int64_t clock_ms);

/* Adds a new connection. */
void client_open (struct client_limits *limits, struct client *client);
/* Removes a connection and gives back its memory. */
void client_finish (struct client_limits *limits, struct client *client);
/* Notes that a connection is being closed for a reason: it counts no longer, and its memory is
 * given back. */
void client_close (struct client_limits *limits, struct client *client, enum client_refusal reason);

void client_begin_request (struct client_limits *limits, struct client *client);
/* Returns whether a request whose length is known fits into the budget now, and counts a refusal if
 * not. */
bool client_may_receive (struct client_limits *limits, size_t len);
/* Notes n_bytes more of a request, which is kept in memory bytes by now. Returns false, and counts
 * a refusal, if that doesn't fit into the budget. */
bool client_receive (struct client_limits *limits, struct client *client, size_t n_bytes,
                     size_t memory);
/* Gives back the memory of a body that is not kept any more. */
void client_release_body (struct client_limits *limits, struct client *client);
/* Notes that a request is complete. */
void client_complete_request (struct client_limits *limits, struct client *client);
/* Notes that a response of n_bytes is being sent, in place of the request. */
void client_begin_response (struct client_limits *limits, struct client *client, size_t n_bytes);
/* Notes that a response has been sent. */
void client_end_response (struct client_limits *limits, struct client *client);

/* Returns a client to be closed because there are more than the limit, and stores why; NULL if
 * there is none. Never returns newcomer, which may be NULL. */
struct client *client_limits_next_excess (const struct client_limits *limits,
                                          const struct client *newcomer,
                                          enum client_refusal *reason);
/* Returns a client to be closed because the budget is exceeded by a response; NULL if there is
 * none. */
struct client *client_limits_next_for_memory (const struct client_limits *limits,
                                              const struct client *newcomer);
/* Returns a client to be closed because it takes too long, and stores why; NULL if there is none.
 * While requests have been refused for want of memory, a client that makes no progress takes too
 * long much sooner. */
struct client *client_limits_next_late (const struct client_limits *limits,
                                        enum client_refusal *reason);
/* Ends a sweep for late clients: what is refused from now on counts for the next one. */
void client_limits_end_sweep (struct client_limits *limits);

/* Returns how many connections a server may have: as many as wanted, within the memory and the
 * descriptors of a process, of which the rest of the program needs its part. */
unsigned client_connection_limit (unsigned wanted, uint32_t memory_mb, uint64_t descriptors);
/* Returns the budget for bodies and responses in a process with this memory, in bytes. */
size_t client_memory_limit (uint32_t memory_mb);
/* Returns a reason's name in logs and metrics. */
const char *client_refusal_name (enum client_refusal reason);

#endif
