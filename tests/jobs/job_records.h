#ifndef SESAMEPICK_TESTS_JOBS_JOB_RECORDS_H
#define SESAMEPICK_TESTS_JOBS_JOB_RECORDS_H

#include <glib.h>

#include "lib/jobs/job_table.h"

/* Job that a test defines. */
struct job_spec
{
  const char *id;
  const char *pool;
  /* NULL for none. */
  const char *workspace;
  const Sp__JobStep *steps;
  size_t n_steps;
  uint32_t repeats;
  int64_t first_ms;
  int64_t interval_ms;
  uint32_t max_attempts;
  /* 0 for 2000 and 600. */
  uint32_t slack_permille;
  uint32_t target_ms;
  int64_t accepted_ms;
  uint64_t epoch;
};

/* Serializes the record that defines a job. */
GBytes *job_record_pack_definition (const struct job_spec *spec);
/* Serializes the record that cancels a job. */
GBytes *job_record_pack_cancel (const char *id);
/* Applies a record to a job table. The key is a dummy, as only deletions need one. */
void job_table_apply_record (struct job_table *all_jobs, GBytes *record, int64_t offset,
                             int64_t now_ms);

#endif
