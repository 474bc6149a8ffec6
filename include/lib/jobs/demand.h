#ifndef SESAMEPICK_LIB_JOBS_DEMAND_H
#define SESAMEPICK_LIB_JOBS_DEMAND_H

#include "lib/host_demand/host_demand.h"
#include "lib/jobs/endpoint.h"
#include "lib/jobs/job.h"

/* What jobs contribute to the demand for hosts of their pool. */

/* Records the arrival of a job. Long-running and repeated jobs are left out, as they don't arrive
 * at a rate. horizon_ms is the length of the horizon. */
void demand_add_arrival (struct demand *demand, const struct job *job, int64_t horizon_ms,
                         int64_t now_ms);
/* Returns the resources that a job's ready and active tasks request. */
struct resources job_current_demand (const struct job *job);
struct resources job_suspect_demand (const struct job *job);
/* Returns the resources that a job's tasks will request at the end of the horizon, if each step
 * takes as long as estimated. */
struct resources job_demand_at_horizon (const struct job *job, int64_t horizon_ms, int64_t now_ms);

#endif
