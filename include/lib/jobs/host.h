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

enum host_result
{
  HOST_ORDER_DONE,
  HOST_ORDER_UNKNOWN,
  HOST_ORDER_FENCED,
  HOST_ORDER_BUSY,
  /* Not a host of that wave. */
  HOST_ORDER_NOT_IN_WAVE,
  HOST_ORDER_INVALID,
  /* Too many calls, or the machine list is away: nothing was done. */
  HOST_ORDER_REFUSED,
};

/* An operator's wave of maintenance. */
struct wave_order
{
  uint32_t wave;
  const char *const *hosts;
  size_t n_hosts;
  int64_t duration_ms;
  /* Most hosts that are away for it at once. */
  uint32_t most_at_once;
};

struct host
{
  TAILQ_ENTRY (host) link;
  char *id;
  char *pool;
  /* Pool that it was ordered to; NULL once the order was answered. */
  char *target_pool;
  char *endpoint_id;
  char *rack;
  enum host_state state;
  struct resources capacity;
  bool listed;
  bool command_in_flight;
  /* An order got no answer: it may have been carried out, or may be later. */
  bool command_outcome_unknown;
  /* When the last order was answered: a reading of the list from before says nothing. */
  int64_t command_done_ms;
  /* No order before this, after one that was refused. */
  int64_t next_command_ms;
  /* When it last changed its pool, or began to. */
  int64_t moved_ms;
};

TAILQ_HEAD (host_list, host);

#endif
