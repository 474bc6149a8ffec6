#ifndef SESAMEPICK_JOBD_TOPIC_READER_H
#define SESAMEPICK_JOBD_TOPIC_READER_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "platform/store.h"

/* Reads a keyed topic: first the newest record of each key, then all new records in their order. */
struct topic_reader;

struct topic_reader_config
{
  const char *topic;
  unsigned partition;
  /* How long the store may hold a read open until there is a record, and the minimum time between
   * two reads. */
  long wait_ms;
  int64_t min_interval_ms;
  int64_t (*now_ms) (void *ctx);
  /* Called for each record, in their order; only while the newest records are being loaded again
   * may older records follow newer ones. */
  void (*on_record) (void *ctx, const struct store_record *record);
  /* Called when all of the newest records have been passed; also after a reload because records
   * expired unread. May be NULL. */
  void (*on_loaded) (void *ctx);
  void *ctx;
};

struct topic_reader *topic_reader_create (struct ev_loop *loop, struct store *store,
                                          const struct topic_reader_config *config);
void topic_reader_destroy (struct topic_reader *reader);
/* Changes the minimum time between two reads. */
void topic_reader_set_min_interval (struct topic_reader *reader, int64_t min_interval_ms);
/* Returns whether the newest record of each key has been read. */
bool topic_reader_is_loaded (const struct topic_reader *reader);
/* Returns when the reader last reached the end of the topic; 0 if never. */
int64_t topic_reader_caught_up_ms (const struct topic_reader *reader);
/* Returns when the newest read that reached the end was sent; 0 if there was none. */
int64_t topic_reader_read_to_end_ms (const struct topic_reader *reader);
/* Returns since when all reads have succeeded; 0 while they fail. */
int64_t topic_reader_healthy_since_ms (const struct topic_reader *reader);
/* Returns the offset of the next record to read. */
int64_t topic_reader_offset (const struct topic_reader *reader);
/* Reads the new records at once, up to the end as of a time after this call, passes them, then
 * calls done. success is false if the end was not reached: the store did not respond or took too
 * long, or the newest records are being loaded. Calls that are made at about the same time share
 * reads. */
void topic_reader_read_to_end (struct topic_reader *reader, void (*done) (void *ctx, bool success),
                               void *ctx);

#endif
