#include "job_records.h"

enum
{
  SLACK_PERMILLE = 2000,
  TARGET_MS = 600,
};

GBytes *
job_record_pack_definition (const struct job_spec *spec)
{
  Sp__JobRecord record = SP__JOB_RECORD__INIT;
  Sp__JobDefinition definition = SP__JOB_DEFINITION__INIT;
  g_autofree Sp__JobStep **list = g_new (Sp__JobStep *, spec->n_steps);

  for (size_t i = 0; i < spec->n_steps; i++)
    list[i] = (Sp__JobStep *) &spec->steps[i];
  definition.id = (char *) spec->id;
  definition.pool = (char *) spec->pool;
  definition.queue = (char *) "q";
  if (spec->workspace)
    definition.workspace = (char *) spec->workspace;
  definition.repeats = spec->repeats;
  definition.first_ms = spec->first_ms;
  definition.interval_ms = spec->interval_ms;
  definition.max_attempts = spec->max_attempts;
  definition.slack_permille = spec->slack_permille > 0 ? spec->slack_permille : SLACK_PERMILLE;
  definition.target_ms = spec->target_ms > 0 ? spec->target_ms : TARGET_MS;
  definition.n_steps = spec->n_steps;
  definition.steps = list;
  definition.accepted_ms = spec->accepted_ms;
  definition.epoch = spec->epoch;
  record.body_case = SP__JOB_RECORD__BODY_DEFINITION;
  record.definition = &definition;
  return job_record_pack (&record);
}

GBytes *
job_record_pack_cancel (const char *id)
{
  Sp__JobRecord record = SP__JOB_RECORD__INIT;
  Sp__JobCancel cancel = SP__JOB_CANCEL__INIT;

  cancel.id = (char *) id;
  record.body_case = SP__JOB_RECORD__BODY_CANCEL;
  record.cancel = &cancel;
  return job_record_pack (&record);
}

void
job_table_apply_record (struct job_table *all_jobs, GBytes *record, int64_t offset, int64_t now_ms)
{
  gsize len;
  const void *data = g_bytes_get_data (record, &len);

  job_table_apply (all_jobs, "x", data, len, offset, now_ms);
}
