#ifndef SESAMEPICK_JOBD_INSPECT_H
#define SESAMEPICK_JOBD_INSPECT_H

#include <jansson.h>

#include "lib/jobs/job_book.h"

/* Jobs as operators are shown them. */

/* How many jobs each queue has in each state. */
json_t *inspect_jobs (const struct job_book *book);
/* What is known of a job, and of each task that isn't done or has failed. Phases and endpoints are
 * known to the leader only. NULL if there is no such job. */
json_t *inspect_job (const struct job_book *book, const char *id);

#endif
