#ifndef SESAMEPICK_TESTS_JOBS_JOB_RECORDS_H
#define SESAMEPICK_TESTS_JOBS_JOB_RECORDS_H

#include <glib.h>

#include "lib/jobs/job_book.h"

/* What a test's job is defined by. */
struct job_sketch
{
  const char *id;
  const char *pool;
  const Sp__JobStep *steps;
  size_t n_steps;
  uint32_t max_attempts;
  int64_t accepted_ms;
  uint64_t epoch;
};

/* Packs the record that defines a job. */
GBytes *job_records_define (const struct job_sketch *sketch);
/* Packs the record that cancels a job. */
GBytes *job_records_cancel (const char *id);
/* Has a book take a record. */
void job_records_apply (struct job_book *book, GBytes *record, int64_t offset, int64_t now_ms);

#endif
