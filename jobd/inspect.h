#ifndef SESAMEPICK_JOBD_INSPECT_H
#define SESAMEPICK_JOBD_INSPECT_H

#include <jansson.h>

#include "lib/jobs/job_table.h"

/* JSON views of the jobs for operators. */

/* Returns the number of jobs by queue and state. */
json_t *inspect_jobs (const struct job_table *table);
/* Returns a job's state, and that of each of its tasks that is not done or has failed attempts.
 * Only the leader knows phases and endpoints. NULL if there is no such job. */
json_t *inspect_job (const struct job_table *table, const char *id);

#endif
