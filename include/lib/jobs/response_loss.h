#ifndef SESAMEPICK_LIB_JOBS_RESPONSE_LOSS_H
#define SESAMEPICK_LIB_JOBS_RESPONSE_LOSS_H

#include <stdbool.h>
#include <stdint.h>

/* How long endpoints may delay their response to a heartbeat. A response that is lost is missed
 * only after that time and a timeout, and what has completed meanwhile is learned so much later. So
 * the delay is short while responses are being lost, and long otherwise, which saves calls. One
 * heartbeat of an endpoint is in flight at a time, so that a shorter delay adds calls only to
 * endpoints on which nothing completes. */
struct response_loss
{
  /* Smoothed share of the heartbeats to responsive endpoints that got no response. */
  double share;
};

/* Counts a heartbeat to an endpoint that had responded to the one before. */
void response_loss_count (struct response_loss *loss, bool lost);
/* Returns how long an endpoint may delay its response, in ms. */
int64_t response_loss_wait_ms (const struct response_loss *loss);

#endif
