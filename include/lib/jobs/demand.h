#ifndef SESAMEPICK_LIB_JOBS_DEMAND_H
#define SESAMEPICK_LIB_JOBS_DEMAND_H

#include "lib/jobs/endpoint.h"
#include "lib/jobs/job.h"

/* Resources that the jobs of a pool request now and will request at the end of the horizon. The
 * horizon is the period until a host that is requested now would be ready. */

enum
{
  /* Holds a second of arrivals at 250 jobs per second; at higher rates only the newest count. */
  DEMAND_ARRIVALS_MAX = 256,
};

/* Arrival of one job. */
struct demand_arrival
{
  int64_t at_ms;
  /* Resources that the job uses within the horizon after its arrival, in milli-cores and MB, each
   * multiplied by the ms for which it is used. */
  struct resources work;
};

/* Ring buffer of a pool's newest arrivals. */
struct demand
{
  struct demand_arrival arrivals[DEMAND_ARRIVALS_MAX];
  unsigned next;
  unsigned n;
};

/* Records the arrival of a job. Long-running and repeated jobs are left out, as they don't arrive
 * at a rate. horizon_ms is the length of the horizon. */
void demand_add_arrival (struct demand *demand, const struct job *job, int64_t horizon_ms,
                         int64_t now_ms);
/* Forecasts the resources that jobs yet to arrive will use at the end of the horizon, if they
 * continue to arrive at the recent rate. */
struct resources demand_forecast (const struct demand *demand, int64_t now_ms);
/* Returns the resources that a job's ready and active tasks request. */
struct resources job_current_demand (const struct job *job);
struct resources job_suspect_demand (const struct job *job);
/* Returns the resources that a job's tasks will request at the end of the horizon, if each step
 * takes as long as estimated. */
struct resources job_demand_at_horizon (const struct job *job, int64_t horizon_ms, int64_t now_ms);

#endif
