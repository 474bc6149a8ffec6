#ifndef SESAMEPICK_LIB_DISPATCH_DRAIN_RATE_H
#define SESAMEPICK_LIB_DISPATCH_DRAIN_RATE_H

#include <stddef.h>
#include <stdint.h>

/* Rate at which a service's requests are completed, measured over short windows, and duration of an
 * attempt. Used to estimate the wait in a queue and the Retry-After time of rejected requests. */
struct drain_rate
{
  int64_t window_start_ms;
  uint32_t window_count;
  /* Time for which requests have been waiting while none was completed. */
  int64_t stalled_ms;
  /* Requests per second; 0 until a window with a completion has ended. */
  double per_s;
  /* Smoothed duration of answered attempts. */
  double attempt_ms;
};

void drain_rate_init (struct drain_rate *rate, int64_t now_ms);
void drain_rate_add (struct drain_rate *rate, int64_t attempt_ms);
void drain_rate_update (struct drain_rate *rate, size_t waiting, int64_t now_ms);
int64_t drain_rate_wait_ms (const struct drain_rate *rate, size_t ahead);
int64_t drain_rate_retry_after_ms (const struct drain_rate *rate, size_t waiting);

#endif
