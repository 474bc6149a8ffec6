#ifndef SESAMEPICK_STANDIN_WORKER_H
#define SESAMEPICK_STANDIN_WORKER_H

#include <ev.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/http_server.h"

/* How a worker misbehaves, set on demand. */
struct worker_faults
{
  /* Status of each answer, or 0. */
  int fail;
  /* Times the service time, at least 1. */
  int slow;
  /* Takes the request, runs it and never answers. */
  bool hang;
  bool close_before_run;
  bool close_after_run;
  /* Announces the whole body and closes after half of it. */
  bool truncate;
  /* Size of each body in bytes, or 0. */
  size_t oversize;
  /* Claims in its headers what only an entry host may say, and sends a second answer that nobody
   * asked for. */
  bool forge;
  /* Refuses without running: 503 with Sesamepick-Not-Run, and with Sesamepick-Leaving. */
  bool refuse;
  bool leaving;
};

/* Reads faults from JSON; what is not named is off. Gives 0 or -EINVAL. */
int worker_faults_read (struct worker_faults *faults, json_t *json);

struct worker_limits
{
  unsigned slots;
  unsigned connections;
  unsigned service_ms;
};

/* One endpoint on one port. */
struct worker;

struct worker *worker_create (struct ev_loop *loop, const char *address, uint16_t port,
                              const struct worker_limits *limits, GRand *random);
void worker_destroy (struct worker *worker);

#endif
