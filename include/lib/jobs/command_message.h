#ifndef SESAMEPICK_LIB_JOBS_COMMAND_MESSAGE_H
#define SESAMEPICK_LIB_JOBS_COMMAND_MESSAGE_H

#include "command.pb-c.h"
#include "lib/jobs/scheduler.h"

/* The configuration as a host tells it to a peer. */
struct config_notice
{
  /* 0 if the host knows none. */
  int64_t version;
  /* How long ago the version was last confirmed to be the newest; negative if it never was. */
  int64_t age_ms;
  /* The raw record, or NULL. */
  const void *record;
  size_t record_len;
  /* The host asks the receiver for its record, which is newer. */
  bool wanted;
};

/* Encoding of what a leader and its relays send each other. Batches are built by appending one
 * encoded part after the other, which protobuf defines as merging them. */

/* Appends a command to an encoded CommandBatch. */
void command_batch_add (GByteArray *batch, Sp__EndpointCommand *command);
/* Appends the journal offset of a durable record, which a host's incarnation handed over under a
 * number. */
void command_batch_add_appended (GByteArray *batch, uint64_t incarnation, uint64_t number,
                                 int64_t offset);
/* Appends that a record is still being appended, which an incarnation handed over under a number.
 */
void command_batch_add_appending (GByteArray *batch, uint64_t incarnation, uint64_t number);
/* Appends the leader's forecasts, an array of struct admission_pool_entry, and learned durations,
 * an array of struct admission_queue_line. */
void command_batch_add_outlook (GByteArray *batch, const GArray *entries, const GArray *lines);
/* Adds the forecasts and durations of a batch to such arrays. Their strings belong to message. */
void command_batch_get_outlook (const Sp__CommandBatch *message, GArray *entries, GArray *lines);
/* What the leader says of its appends in each batch. */
struct append_notice
{
  /* Hosts may hand records to the leader. */
  bool takes_records;
  /* How long its appends take. */
  int64_t append_ms;
};

/* Appends the sequence and the epoch, which completes the batch. */
void command_batch_finish (GByteArray *batch, uint64_t sequence, uint64_t epoch,
                           const struct append_notice *notice);

/* Appends what the leader knows of the configuration. heard_sequence: highest sequence whose
 * acknowledgement has arrived from the receiver. */
void command_batch_add_config (GByteArray *batch, const struct config_notice *notice,
                               uint64_t heard_sequence);

/* Appends the result of a command to an encoded ResultBatch. report may be NULL. */
void result_batch_add (GByteArray *batch, uint64_t number, enum command_result result,
                       int64_t clock_ms, const struct endpoint_report *report);
/* Appends a record that the leader is to append to the journal. number is unique within the
 * incarnation of this host. */
void result_batch_add_record (GByteArray *batch, uint64_t incarnation, uint64_t number,
                              const char *key, const void *value, size_t len);
/* Appends what the relay knows of the configuration. */
void result_batch_add_config (GByteArray *batch, const struct config_notice *notice);
/* Ends a batch. confirms_epoch: the host knows of no later epoch and has claimed none. */
void result_batch_finish (GByteArray *batch, uint64_t acked_sequence, uint64_t epoch, bool stopping,
                          bool confirms_epoch);

/* Returns the result that a relay has sent as a number. */
enum command_result command_result_decode (uint32_t value);
/* Returns a report whose strings belong to message. Free with report_destroy. */
struct endpoint_report *report_create (const Sp__ReportMessage *message);
void report_destroy (struct endpoint_report *report);

#endif
