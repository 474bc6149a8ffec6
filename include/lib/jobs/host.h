#ifndef SESAMEPICK_LIB_JOBS_HOST_H
#define SESAMEPICK_LIB_JOBS_HOST_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "lib/jobs/endpoint.h"

enum host_state
{
  HOST_UP,
  HOST_MOVING,
  HOST_IN_MAINTENANCE,
  HOST_DOWN,
  /* The list gives no state, or one that isn't known. */
  HOST_STATE_UNKNOWN,
};

/* A host as the machine list shows it. */
struct host_entry
{
  const char *id;
  const char *pool;
  enum host_state state;
  /* Endpoint that runs on it, or NULL. */
  const char *endpoint;
  const char *const *labels;
  struct resources capacity;
};

enum host_command_result
{
  HOST_COMMAND_DONE,
  /* No response, or one that doesn't say whether anything was done. */
  HOST_COMMAND_UNKNOWN,
  HOST_COMMAND_FENCED,
  HOST_COMMAND_BUSY,
  /* The host is not in that wave. */
  HOST_COMMAND_NOT_IN_WAVE,
  /* There is no such host, or it can't be in that pool: nothing was done. */
  HOST_COMMAND_INVALID,
  /* The command was not sent, or there were too many calls: nothing was done. */
  HOST_COMMAND_REFUSED,
};

/* A maintenance wave that an operator requested. */
struct wave_request
{
  uint32_t wave;
  const char *const *hosts;
  size_t n_hosts;
  int64_t duration_ms;
  /* Maximum number of hosts that may be in maintenance at once. */
  uint32_t max_unavailable;
};

struct host
{
  TAILQ_ENTRY (host) link;
  char *id;
  char *pool;
  /* Destination of a move command in flight, else NULL. */
  char *target_pool;
  char *endpoint_id;
  /* The endpoint that ran on it before; may be NULL. */
  char *former_endpoint_id;
  char *rack;
  enum host_state state;
  struct resources capacity;
  bool listed;
  /* The last list lacked it. */
  bool missing;
  bool command_in_flight;
  /* A command got no response: it may have been carried out, or may be later. Rejections of later
   * commands don't change that. */
  bool command_outcome_unknown;
  /* When the last such command ended. */
  int64_t command_unknown_ms;
  /* The command is one for maintenance, which the wave repeats until its result is known, and the
   * endpoint that ran there when it was first sent; may be NULL. */
  bool maintenance_unknown;
  char *maintained_endpoint_id;
  /* When the last command completed; machine lists requested earlier are out of date. */
  int64_t command_done_ms;
  /* No command before this time, after one that failed. */
  int64_t next_command_ms;
  /* When its last move was confirmed. */
  int64_t moved_ms;
};

TAILQ_HEAD (host_list, host);

#endif
