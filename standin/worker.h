#ifndef SESAMEPICK_STANDIN_WORKER_H
#define SESAMEPICK_STANDIN_WORKER_H

#include <ev.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/http_server.h"

/* Faults of a worker, set by tests. */
struct worker_faults
{
  /* HTTP status of each answer, or 0 for 200. */
  int fail;
  /* Factor on the service time, at least 1. */
  int slow;
  /* Runs the request but never answers. */
  bool hang;
  bool close_before_run;
  bool close_after_run;
  /* Announces the whole body and closes the connection after half of it. */
  bool truncate;
  /* Minimum size of each body in bytes, or 0. */
  size_t oversize;
  /* Sets headers that only an entry host may set, and sends a second, unsolicited answer. */
  bool forge;
  /* Rejects requests without running them: 503 with Sesamepick-Not-Run, and for leaving also with
   * Sesamepick-Leaving. */
  bool refuse;
  bool leaving;
};

/* Reads faults from JSON; those not named are off. Returns 0 or -EINVAL. */
int worker_faults_read (struct worker_faults *faults, json_t *json);

struct worker_limits
{
  unsigned slots;
  unsigned connections;
  unsigned service_ms;
};

/* One simulated endpoint on one port. */
struct worker;

struct worker *worker_create (struct ev_loop *loop, const char *address, uint16_t port,
                              const struct worker_limits *limits, GRand *random);
void worker_destroy (struct worker *worker);

#endif
