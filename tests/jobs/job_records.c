#include "job_records.h"

GBytes *
job_records_define (const struct job_sketch *sketch)
{
  Sp__JobRecord record = SP__JOB_RECORD__INIT;
  Sp__JobDefinition definition = SP__JOB_DEFINITION__INIT;
  g_autofree Sp__JobStep **list = g_new (Sp__JobStep *, sketch->n_steps);

  for (size_t i = 0; i < sketch->n_steps; i++)
    list[i] = (Sp__JobStep *) &sketch->steps[i];
  definition.id = (char *) sketch->id;
  definition.pool = (char *) sketch->pool;
  definition.queue = (char *) "q";
  definition.max_attempts = sketch->max_attempts;
  definition.slack_permille = 2000;
  definition.target_ms = 600;
  definition.n_steps = sketch->n_steps;
  definition.steps = list;
  definition.accepted_ms = sketch->accepted_ms;
  definition.epoch = sketch->epoch;
  record.body_case = SP__JOB_RECORD__BODY_DEFINITION;
  record.definition = &definition;
  return job_record_pack (&record);
}

GBytes *
job_records_cancel (const char *id)
{
  Sp__JobRecord record = SP__JOB_RECORD__INIT;
  Sp__JobCancel cancel = SP__JOB_CANCEL__INIT;

  cancel.id = (char *) id;
  record.body_case = SP__JOB_RECORD__BODY_CANCEL;
  record.cancel = &cancel;
  return job_record_pack (&record);
}

void
job_records_apply (struct job_book *book, GBytes *record, int64_t offset, int64_t now_ms)
{
  gsize len;
  const void *data = g_bytes_get_data (record, &len);

  job_book_apply (book, "x", data, len, offset, now_ms);
}
