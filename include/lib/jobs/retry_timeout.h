#ifndef SESAMEPICK_LIB_JOBS_RETRY_TIMEOUT_H
#define SESAMEPICK_LIB_JOBS_RETRY_TIMEOUT_H

#include <stdint.h>

/* Timeout of a call that is repeated until it has an outcome, from the latencies seen before, as
 * for retransmissions in RFC 6298. A repeated call waits in the same queue as the first one, so a
 * fixed timeout adds load to a store just when that has become slow, and gets no response at all
 * once calls take longer than the timeout. A store that sends nothing at all is another matter:
 * there, longer timeouts would only find its return later. All times are in ms. */
struct retry_timeout
{
  /* Shortest and longest timeout, and the timeout of a retry while the store sends nothing. */
  int64_t min_ms;
  int64_t max_ms;
  int64_t silent_ms;
  /* Smoothed latency and its mean deviation; 0 before the first response. */
  double latency_ms;
  double deviation_ms;
};

/* Counts the latency of a call, from its first send on. */
void retry_timeout_observe (struct retry_timeout *timeout, int64_t latency_ms);
/* Returns the timeout of a call's next try. n_slow, n_silent: how many of its tries got no response
 * in time while the store responded to other calls, and while it didn't. The timeout doubles with
 * each of the former. */
int64_t retry_timeout_ms (const struct retry_timeout *timeout, unsigned n_slow, unsigned n_silent);

#endif
