#include "lib/jobs/retry_timeout.h"

#include <glib.h>
#include <math.h>

/* Weights of a new latency in the smoothed latency and in its deviation, and the number of
 * deviations in a timeout. */
static const double LATENCY_WEIGHT = 1.0 / 8;
static const double DEVIATION_WEIGHT = 1.0 / 4;
static const double TIMEOUT_DEVIATIONS = 4.0;

void
retry_timeout_observe (struct retry_timeout *timeout, int64_t latency_ms)
{
  double sample_ms = (double) latency_ms;

  if (timeout->latency_ms <= 0.0)
    {
      timeout->latency_ms = sample_ms;
      timeout->deviation_ms = sample_ms / 2;
      return;
    }
  timeout->deviation_ms +=
      DEVIATION_WEIGHT * (fabs (sample_ms - timeout->latency_ms) - timeout->deviation_ms);
  timeout->latency_ms += LATENCY_WEIGHT * (sample_ms - timeout->latency_ms);
}

int64_t
retry_timeout_ms (const struct retry_timeout *timeout, unsigned n_slow, unsigned n_silent)
{
  double least_ms = (double) (n_silent > 0 ? timeout->silent_ms : timeout->min_ms);
  double base_ms = MAX (timeout->latency_ms + TIMEOUT_DEVIATIONS * timeout->deviation_ms, least_ms);

  return (int64_t) MIN (ldexp (base_ms, (int) n_slow), (double) timeout->max_ms);
}
