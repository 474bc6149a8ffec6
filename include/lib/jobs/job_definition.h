#ifndef SESAMEPICK_LIB_JOBS_JOB_DEFINITION_H
#define SESAMEPICK_LIB_JOBS_JOB_DEFINITION_H

#include <stdbool.h>
#include <stdint.h>

#include "job.pb-c.h"

enum
{
  /* Limits on one job, so that a single request can't exhaust the process's memory. */
  JOB_STEPS_MAX = 256,
  JOB_TASKS_MAX = 20000,
  /* A gang is placed as a whole, in one scheduling pass. */
  GANG_TASKS_MAX = 256,
};

/* Returns whether a job can be run. If not, sets error to the reason, a constant string, else to
 * NULL. An entry host refuses such a job; a stored one fails. The functions below take valid
 * definitions only. */
bool job_definition_is_valid (const Sp__JobDefinition *definition, const char **error);
/* Returns when an occurrence of a repeated job is due, in ms since 1970. */
int64_t job_definition_due_ms (const Sp__JobDefinition *definition, uint32_t occurrence);
/* Returns the time in ms from acceptance within which a job is to be done, of which the critical
 * path takes path_ms. */
int64_t job_definition_objective_ms (const Sp__JobDefinition *definition, int64_t path_ms);

#endif
