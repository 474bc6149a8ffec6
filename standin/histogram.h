#ifndef SESAMEPICK_STANDIN_HISTOGRAM_H
#define SESAMEPICK_STANDIN_HISTOGRAM_H

#include <stdint.h>

enum
{
  /* Buckets of equal width within each power of two: the error is at most one part in 32. */
  HISTOGRAM_BUCKETS_PER_POWER = 32,
  HISTOGRAM_POWERS = 40,
};

/* Counts of microseconds in buckets whose width grows with the value. */
struct histogram
{
  uint64_t total;
  uint64_t counts[HISTOGRAM_POWERS * HISTOGRAM_BUCKETS_PER_POWER];
};

void histogram_add (struct histogram *histogram, uint64_t us);
/* Returns the quantile, given in millionths (500000 is the median), rounded up to the end of its
 * bucket; 0 if the histogram is empty. */
uint64_t histogram_quantile (const struct histogram *histogram, uint32_t per_million);

#endif
