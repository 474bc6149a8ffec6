#include "lib/jobs/command_message.h"

/* Appends an encoded message. */
static void
append_message (GByteArray *bytes, const ProtobufCMessage *message)
{
  size_t len = protobuf_c_message_get_packed_size (message);
  guint at = bytes->len;

  g_byte_array_set_size (bytes, at + (guint) len);
  protobuf_c_message_pack (message, bytes->data + at);
}

void
command_batch_add (GByteArray *batch, Sp__EndpointCommand *command)
{
  Sp__CommandBatch part = SP__COMMAND_BATCH__INIT;

  part.n_commands = 1;
  part.commands = &command;
  append_message (batch, &part.base);
}

void
command_batch_add_appended (GByteArray *batch, uint64_t incarnation, uint64_t number,
                            int64_t offset)
{
  Sp__CommandBatch part = SP__COMMAND_BATCH__INIT;
  Sp__AppendedRecord record = SP__APPENDED_RECORD__INIT;
  Sp__AppendedRecord *records = &record;

  record.incarnation = incarnation;
  record.number = number;
  record.offset = offset;
  part.n_appended = 1;
  part.appended = &records;
  append_message (batch, &part.base);
}

void
command_batch_add_appending (GByteArray *batch, uint64_t incarnation, uint64_t number)
{
  Sp__CommandBatch part = SP__COMMAND_BATCH__INIT;
  Sp__AppendedRecord record = SP__APPENDED_RECORD__INIT;
  Sp__AppendedRecord *records = &record;

  record.incarnation = incarnation;
  record.number = number;
  part.n_appending = 1;
  part.appending = &records;
  append_message (batch, &part.base);
}

/* Fills in the message of a forecast. */
static void
pool_outlook_fill (Sp__PoolOutlook *message, const struct admission_pool_entry *from)
{
  sp__pool_outlook__init (message);
  message->pool = (char *) from->pool;
  message->priority = from->entry.priority;
  message->wait_ms = from->entry.wait_ms;
  message->error_ms = from->entry.error_ms;
  message->late_wait_ms = from->entry.late_wait_ms;
  message->capacity_permille = from->entry.capacity_permille;
  message->free_cpu_milli = (uint32_t) from->entry.free_cpu_milli;
  message->free_memory_mb = (uint32_t) from->entry.free_memory_mb;
}

void
command_batch_add_outlook (GByteArray *batch, const GArray *entries, const GArray *lines)
{
  Sp__CommandBatch part = SP__COMMAND_BATCH__INIT;
  g_autofree Sp__PoolOutlook *outlooks = g_new (Sp__PoolOutlook, entries->len + 1);
  g_autofree Sp__PoolOutlook **outlook_list = g_new (Sp__PoolOutlook *, entries->len + 1);
  g_autofree Sp__QueueDurations *durations = g_new (Sp__QueueDurations, lines->len + 1);
  g_autofree Sp__QueueDurations **durations_list = g_new (Sp__QueueDurations *, lines->len + 1);

  for (guint i = 0; i < entries->len; i++)
    {
      pool_outlook_fill (&outlooks[i], &g_array_index (entries, struct admission_pool_entry, i));
      outlook_list[i] = &outlooks[i];
    }
  for (guint i = 0; i < lines->len; i++)
    {
      const struct admission_queue_line *from =
          &g_array_index (lines, struct admission_queue_line, i);

      sp__queue_durations__init (&durations[i]);
      durations[i].queue = (char *) from->queue;
      durations[i].intercept = from->line.intercept;
      durations[i].slope = from->line.slope;
      durations[i].residual = from->line.residual;
      durations[i].longest = from->line.longest;
      durations_list[i] = &durations[i];
    }
  part.n_outlooks = entries->len;
  part.outlooks = outlook_list;
  part.n_durations = lines->len;
  part.durations = durations_list;
  append_message (batch, &part.base);
}

void
command_batch_get_outlook (const Sp__CommandBatch *message, GArray *entries, GArray *lines)
{
  for (size_t i = 0; i < message->n_outlooks; i++)
    {
      const Sp__PoolOutlook *from = message->outlooks[i];
      struct admission_pool_entry entry = {
        .pool = from->pool,
        .entry = { .priority = from->priority,
                   .wait_ms = from->wait_ms,
                   .error_ms = from->error_ms,
                   .late_wait_ms = from->late_wait_ms,
                   .capacity_permille = from->capacity_permille,
                   .free_cpu_milli = from->free_cpu_milli,
                   .free_memory_mb = from->free_memory_mb },
      };

      g_array_append_val (entries, entry);
    }
  for (size_t i = 0; i < message->n_durations; i++)
    {
      const Sp__QueueDurations *from = message->durations[i];
      struct admission_queue_line line = { .queue = from->queue,
                                           .line = { .intercept = from->intercept,
                                                     .slope = from->slope,
                                                     .residual = from->residual,
                                                     .longest = from->longest } };

      g_array_append_val (lines, line);
    }
}

void
command_batch_finish (GByteArray *batch, uint64_t sequence, uint64_t epoch,
                      const struct append_notice *notice)
{
  Sp__CommandBatch part = SP__COMMAND_BATCH__INIT;

  part.sequence = sequence;
  part.epoch = epoch;
  part.takes_records = notice->takes_records;
  part.append_ms = (uint32_t) notice->append_ms;
  append_message (batch, &part.base);
}

void
command_batch_add_config (GByteArray *batch, const struct config_notice *notice,
                          uint64_t heard_sequence)
{
  Sp__CommandBatch part = SP__COMMAND_BATCH__INIT;

  part.config_version = notice->version;
  part.config_age_ms = notice->age_ms;
  part.config_record.data = (uint8_t *) notice->record;
  part.config_record.len = notice->record_len;
  part.config_wanted = notice->wanted;
  part.heard_sequence = heard_sequence;
  append_message (batch, &part.base);
}

/* Returns the message of a report, whose strings belong to the report. */
static Sp__ReportMessage *
report_message_create (const struct endpoint_report *report)
{
  Sp__ReportMessage *message = g_new (Sp__ReportMessage, 1);

  sp__report_message__init (message);
  message->clock_ms = report->clock_ms;
  message->born_ms = report->born_ms;
  message->attempts = g_new (Sp__ReportedAttempt *, report->n_attempts + 1);
  message->completions = g_new (Sp__ReportedCompletion *, report->n_completions + 1);
  for (; message->n_attempts < report->n_attempts; message->n_attempts++)
    {
      const struct endpoint_attempt *from = &report->attempts[message->n_attempts];
      Sp__ReportedAttempt *to = g_new (Sp__ReportedAttempt, 1);

      sp__reported_attempt__init (to);
      to->task = (char *) from->task;
      to->attempt = from->attempt;
      to->checkpoint = (char *) (from->checkpoint ? from->checkpoint : "");
      to->percent = from->percent;
      to->load = from->load;
      message->attempts[message->n_attempts] = to;
    }
  for (; message->n_completions < report->n_completions; message->n_completions++)
    {
      const struct endpoint_completion *from = &report->completions[message->n_completions];
      Sp__ReportedCompletion *to = g_new (Sp__ReportedCompletion, 1);

      sp__reported_completion__init (to);
      to->number = from->number;
      to->task = (char *) from->task;
      to->attempt = from->attempt;
      to->outcome = from->outcome;
      to->checkpoint = (char *) (from->checkpoint ? from->checkpoint : "");
      message->completions[message->n_completions] = to;
    }
  return message;
}

static void
report_message_destroy (Sp__ReportMessage *message)
{
  for (size_t i = 0; i < message->n_attempts; i++)
    g_free (message->attempts[i]);
  for (size_t i = 0; i < message->n_completions; i++)
    g_free (message->completions[i]);
  g_free (message->attempts);
  g_free (message->completions);
  g_free (message);
}

void
result_batch_add (GByteArray *batch, uint64_t number, enum command_result result, int64_t clock_ms,
                  const struct endpoint_report *report)
{
  Sp__ResultBatch part = SP__RESULT_BATCH__INIT;
  Sp__EndpointCommandResult entry = SP__ENDPOINT_COMMAND_RESULT__INIT;
  Sp__EndpointCommandResult *results = &entry;

  entry.number = number;
  entry.result = result;
  entry.clock_ms = clock_ms;
  entry.report = report ? report_message_create (report) : NULL;
  part.n_results = 1;
  part.results = &results;
  append_message (batch, &part.base);
  if (entry.report)
    report_message_destroy (entry.report);
}

void
result_batch_add_record (GByteArray *batch, uint64_t incarnation, uint64_t number, const char *key,
                         const void *value, size_t len)
{
  Sp__ResultBatch part = SP__RESULT_BATCH__INIT;
  Sp__HandedRecord record = SP__HANDED_RECORD__INIT;
  Sp__HandedRecord *records = &record;

  record.incarnation = incarnation;
  record.number = number;
  record.key = (char *) key;
  record.value.data = (uint8_t *) value;
  record.value.len = len;
  part.n_records = 1;
  part.records = &records;
  append_message (batch, &part.base);
}

void
result_batch_finish (GByteArray *batch, uint64_t acked_sequence, uint64_t epoch, bool stopping,
                     bool confirms_epoch)
{
  Sp__ResultBatch part = SP__RESULT_BATCH__INIT;

  part.acked_sequence = acked_sequence;
  part.stopping = stopping;
  part.epoch = epoch;
  part.confirms_epoch = confirms_epoch;
  append_message (batch, &part.base);
}

void
result_batch_add_config (GByteArray *batch, const struct config_notice *notice)
{
  Sp__ResultBatch part = SP__RESULT_BATCH__INIT;

  part.config_version = notice->version;
  part.config_age_ms = notice->age_ms;
  part.config_record.data = (uint8_t *) notice->record;
  part.config_record.len = notice->record_len;
  part.config_wanted = notice->wanted;
  append_message (batch, &part.base);
}

/* A value that this version doesn't know says nothing about what was done. */
enum command_result
command_result_decode (uint32_t value)
{
  return value <= COMMAND_INVALID ? (enum command_result) value : COMMAND_UNKNOWN;
}

struct endpoint_report *
report_create (const Sp__ReportMessage *message)
{
  struct endpoint_report *report = g_new0 (struct endpoint_report, 1);
  struct endpoint_attempt *attempts = g_new0 (struct endpoint_attempt, message->n_attempts + 1);
  struct endpoint_completion *completions =
      g_new0 (struct endpoint_completion, message->n_completions + 1);

  for (size_t i = 0; i < message->n_attempts; i++)
    {
      const Sp__ReportedAttempt *from = message->attempts[i];

      attempts[i] = (struct endpoint_attempt){ .task = from->task,
                                               .attempt = from->attempt,
                                               .checkpoint = from->checkpoint,
                                               .percent = from->percent,
                                               .load = from->load };
    }
  for (size_t i = 0; i < message->n_completions; i++)
    {
      const Sp__ReportedCompletion *from = message->completions[i];

      completions[i] =
          (struct endpoint_completion){ .number = from->number,
                                        .task = from->task,
                                        .attempt = from->attempt,
                                        .outcome = MIN (from->outcome, ATTEMPT_GANG_INCOMPLETE),
                                        .checkpoint = from->checkpoint };
    }
  *report = (struct endpoint_report){ .clock_ms = message->clock_ms,
                                      .born_ms = message->born_ms,
                                      .attempts = attempts,
                                      .n_attempts = message->n_attempts,
                                      .completions = completions,
                                      .n_completions = message->n_completions };
  return report;
}

void
report_destroy (struct endpoint_report *report)
{
  g_free ((gpointer) report->attempts);
  g_free ((gpointer) report->completions);
  g_free (report);
}
