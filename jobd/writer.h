#ifndef SESAMEPICK_JOBD_WRITER_H
#define SESAMEPICK_JOBD_WRITER_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/jobs/record_route.h"
#include "platform/store.h"

/* Appends records to one partition in the order in which they were added, several in a call. A call
 * without a response is retried with the same sequence number, so that the store writes it at most
 * once. A sequence number that was sent never carries other records: an append that ends otherwise
 * than durable ends its epoch, too. */
struct writer;

enum writer_result
{
  WRITER_DURABLE,
  /* Not written, and never will be. */
  WRITER_REFUSED,
  /* Rejected by the store: another writer has used the producer's name with a higher epoch or the
   * same one. */
  WRITER_FENCED,
  /* May be written or not: the append was rejected or given up after a call without a response, or
   * the record was handed to the leader. */
  WRITER_UNKNOWN,
};

/* What became of a record, and the append that decided it. */
struct writer_outcome
{
  enum writer_result result;
  /* Valid for WRITER_DURABLE; -1 if it is not known. */
  int64_t offset;
  /* HTTP status of the last response; 0 if there was none. */
  int status;
  /* How often the append was sent, counting the times that the HTTP client sent it again by itself;
   * 0 for a record that was never sent. */
  unsigned n_sends;
  /* Epoch and sequence of the append. */
  uint64_t epoch;
  uint64_t sequence;
};

typedef void writer_done (void *ctx, const struct writer_outcome *outcome);

struct writer_config
{
  const char *topic;
  unsigned partition;
  /* Producer name and first epoch; sequence numbers count up from first_sequence. */
  const char *producer;
  uint64_t epoch;
  uint64_t first_sequence;
  /* Other processes append under this producer, and the higher epoch wins: the epoch is kept. */
  bool producer_is_shared;
  /* Minimum time between two calls. */
  int64_t min_interval_ms;
  /* Whether records are kept while the store is unavailable. Otherwise those that have not been
   * sent yet are refused at once. */
  bool keep_while_unavailable;
  /* How long an append is retried that may have been written; 0 for no limit. */
  int64_t retry_limit_ms;
  int64_t (*now_ms) (void *ctx);
  /* Returns when the store last responded to any call of this process; 0 if it has not. May be
   * NULL. */
  int64_t (*store_heard_ms) (void *ctx);
  void *ctx;
};

struct writer *writer_create (struct ev_loop *loop, struct store *store,
                              const struct writer_config *config);
/* Frees the writer without reporting results. Its store must have been destroyed before. */
void writer_destroy (struct writer *writer);
/* Copies the value; an empty one drops the key. done may be NULL. */
void writer_append (struct writer *writer, const char *key, const void *value, size_t len,
                    writer_done *done, void *ctx);
/* Withdraws the record that was added with done and ctx, if it has never been sent: it never will
 * be, and done is not called. Returns false if its send may have happened. */
bool writer_withdraw (struct writer *writer, writer_done *done, const void *ctx);
/* Returns whether a call has had no response for so long that new records should not be added. */
bool writer_is_stuck (const struct writer *writer);
/* Returns whether the store can't be reached from here: the call in progress has been rejected or
 * lost at least twice before its timeout, or is stuck while the store has responded to nothing else
 * either since it began. A store that is slow does not show that way. */
bool writer_is_cut_off (const struct writer *writer);
/* Returns how long the last successful try of an append took, or the current append so far if that
 * is longer, in milliseconds. */
int64_t writer_latency_ms (const struct writer *writer);
/* Returns how long the last successful try of an append took, in milliseconds. An append in
 * progress doesn't count: the store may be away instead of slow. */
int64_t writer_append_ms (const struct writer *writer);
/* Returns the same with the time at which that try ended. */
struct append_latency writer_append_latency (const struct writer *writer);
/* Returns whether no record is waiting or in progress. */
bool writer_is_idle (const struct writer *writer);

#endif
