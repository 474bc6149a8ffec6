#include "histogram.h"

enum
{
  MILLION = 1000000,
};

/* Returns the bucket of a value. */
static unsigned
bucket_of (uint64_t us)
{
  unsigned power;
  unsigned bucket;

  if (us < HISTOGRAM_BUCKETS_PER_POWER)
    return (unsigned) us;
  power = 63u - (unsigned) __builtin_clzll (us / HISTOGRAM_BUCKETS_PER_POWER);
  bucket = (power + 1) * HISTOGRAM_BUCKETS_PER_POWER +
           (unsigned) ((us >> power) % HISTOGRAM_BUCKETS_PER_POWER);
  return bucket < HISTOGRAM_POWERS * HISTOGRAM_BUCKETS_PER_POWER
             ? bucket
             : HISTOGRAM_POWERS * HISTOGRAM_BUCKETS_PER_POWER - 1;
}

/* Returns the largest value of a bucket. */
static uint64_t
bucket_top (unsigned bucket)
{
  unsigned power;

  if (bucket < HISTOGRAM_BUCKETS_PER_POWER)
    return bucket;
  power = bucket / HISTOGRAM_BUCKETS_PER_POWER - 1;
  return ((uint64_t) (HISTOGRAM_BUCKETS_PER_POWER + bucket % HISTOGRAM_BUCKETS_PER_POWER + 1)
          << power) -
         1;
}

void
histogram_add (struct histogram *histogram, uint64_t us)
{
  histogram->total++;
  histogram->counts[bucket_of (us)]++;
}

/* Returns the quantile, given in millionths. */
uint64_t
histogram_quantile (const struct histogram *histogram, uint32_t per_million)
{
  uint64_t wanted = (histogram->total * per_million + MILLION - 1) / MILLION;
  uint64_t seen = 0;

  for (unsigned i = 0; i < HISTOGRAM_POWERS * HISTOGRAM_BUCKETS_PER_POWER; i++)
    {
      seen += histogram->counts[i];
      if (seen >= wanted && seen > 0)
        return bucket_top (i);
    }
  return 0;
}
