#ifndef SESAMEPICK_JOBD_RECORD_SENDER_H
#define SESAMEPICK_JOBD_RECORD_SENDER_H

#include "command.pb-c.h"
#include "jobd.h"

/* Makes the records of callers durable. The store appends to a partition one call after the other,
 * so with many hosts their calls, and the leader's heartbeats, wait for each other. A host that has
 * a link to the leader therefore hands its records to the leader, which appends those of all hosts
 * together. Without a response it appends them itself; a second record of a job changes nothing. */
struct record_sender;

struct record_sender *record_sender_create (struct jobd *jobd);
void record_sender_destroy (struct record_sender *sender);
/* Reports the result like writer_append, and WRITER_UNKNOWN if the record may become durable. */
void record_sender_append (struct record_sender *sender, const char *key, const void *value,
                           size_t len, writer_done *done, void *ctx);
/* Withdraws a record that was neither handed to the leader nor sent to the store; done is not
 * called then. Returns false if either may have happened. */
bool record_sender_withdraw (struct record_sender *sender, writer_done *done, const void *ctx);
/* The leader has appended a record that was handed to it. A confirmation for another incarnation of
 * this host is ignored. */
void record_sender_on_appended (struct record_sender *sender, const Sp__AppendedRecord *appended);
/* The leader is still appending a record that was handed to it. */
void record_sender_on_appending (struct record_sender *sender, const Sp__AppendedRecord *appending);
/* Appends the records whose leader is gone. */
void record_sender_tick (struct record_sender *sender);

#endif
