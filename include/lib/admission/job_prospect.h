#ifndef SESAMEPICK_LIB_ADMISSION_JOB_PROSPECT_H
#define SESAMEPICK_LIB_ADMISSION_JOB_PROSPECT_H

#include <stdbool.h>
#include <stdint.h>

/* Whether jobs can meet their objectives, and what follows for the order in which they start. */

enum job_prospect
{
  JOB_ON_TIME,
  /* Is in time only if it takes less time than expected. */
  JOB_AT_RISK,
  JOB_LATE,
  /* Will not even be done in three times its objective. */
  JOB_HOPELESS,
};

/* A job as far as its prospect depends on it. Times in ms. */
struct job_outlook
{
  /* Time left until its objective requires it to be done; negative afterwards. */
  int64_t left_ms;
  /* Its objective: the time within which it counts in full. */
  int64_t objective_ms;
  /* Expected time of the rest of its critical path, and the part of it in which tasks run. */
  int64_t rest_ms;
  int64_t run_ms;
  /* Standard deviation of the logarithm of a duration around the expected one. */
  double residual;
};

/* Position of a job in the order of starts within its priority; the lowest is first. */
struct prospect_rank
{
  enum job_prospect prospect;
  bool begun;
  int64_t due_ms;
};

/* Resources of a pool, processor in thousandths of a core. */
struct pool_room
{
  int64_t capacity_cpu_milli;
  int64_t capacity_memory_mb;
  int64_t used_cpu_milli;
  int64_t used_memory_mb;
  /* What timely arrivals are expected to need. */
  int64_t arrivals_cpu_milli;
  int64_t arrivals_memory_mb;
};

enum job_prospect job_prospect_of (const struct job_outlook *outlook);
/* Compares ranks as qsort requires. */
int prospect_rank_compare (const struct prospect_rank *left, const struct prospect_rank *right);
/* Returns whether a start for a late job has to wait, so that room is left for timely arrivals.
 * ready_ms is how long its task has been ready. */
bool late_start_must_wait (const struct pool_room *room, int64_t cpu_milli, int64_t memory_mb,
                           int64_t ready_ms);

#endif
