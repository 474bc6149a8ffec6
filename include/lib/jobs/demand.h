#ifndef SESAMEPICK_LIB_JOBS_DEMAND_H
#define SESAMEPICK_LIB_JOBS_DEMAND_H

#include "lib/jobs/endpoint.h"
#include "lib/jobs/job.h"

/* What a pool's jobs need now, and what they will need once hosts that are ordered now are there.
 */

enum
{
  /* Enough for a second of 250 jobs a second; of more, the newest make the rate. */
  DEMAND_ARRIVALS_MAX = 256,
};

/* One job that came in. */
struct demand_arrival
{
  int64_t at_ms;
  /* What it takes over the horizon after its arrival, summed over time: milli-cores and MB times
   * ms. */
  struct resources work;
};

/* The newest arrivals of a pool, in a ring. */
struct demand
{
  struct demand_arrival arrivals[DEMAND_ARRIVALS_MAX];
  unsigned next;
  unsigned n;
};

/* Takes a new job in. horizon_ms: time until a host that is ordered now serves. */
void demand_add_arrival (struct demand *demand, const struct job *job, int64_t horizon_ms,
                         int64_t now_ms);
/* What the jobs that come within the horizon will need at its end, if they come as lately. */
struct resources demand_forecast (const struct demand *demand, int64_t now_ms);
/* What a job's tasks need that run or could. */
struct resources job_current_demand (const struct job *job);
/* What a job's tasks will need after horizon_ms, if each step takes as long as estimated. */
struct resources job_demand_at_horizon (const struct job *job, int64_t horizon_ms, int64_t now_ms);

void resources_add (struct resources *sum, const struct resources *request);
/* The larger of each resource. */
struct resources resources_max (const struct resources *a, const struct resources *b);

#endif
