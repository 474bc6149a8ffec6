#ifndef SESAMEPICK_JOBD_TAIL_H
#define SESAMEPICK_JOBD_TAIL_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "platform/store.h"

/* Reads a keyed topic: first the newest record of each key, then all new records in their order. */
struct tail;

struct tail_config
{
  const char *topic;
  unsigned part;
  /* How long the store may hold a read open until there is a record, and the minimum time between
   * two reads. */
  long wait_ms;
  int64_t gap_ms;
  int64_t (*now_ms) (void *ctx);
  /* Called for each record. The same record may be passed more than once. */
  void (*record) (void *ctx, const struct store_record *record);
  /* Called when all of the newest records have been passed; also after a reload because records
   * expired unread. May be NULL. */
  void (*loaded) (void *ctx);
  void *ctx;
};

struct tail *tail_create (struct ev_loop *loop, struct store *store,
                          const struct tail_config *config);
void tail_destroy (struct tail *tail);
/* Changes the minimum time between two reads. */
void tail_set_gap (struct tail *tail, int64_t gap_ms);
/* Returns whether the newest record of each key has been read. */
bool tail_is_loaded (const struct tail *tail);
/* Returns when all records of the topic were last known to have been passed; 0 if never. */
int64_t tail_fresh_ms (const struct tail *tail);
/* Returns since when all reads have succeeded; 0 while they fail. */
int64_t tail_healthy_since_ms (const struct tail *tail);
/* Returns the offset of the next record to read. */
int64_t tail_offset (const struct tail *tail);
/* Reads to the end of the topic at once, passes the records, then calls done. success is false if
 * the store did not respond, or the newest records have not been loaded yet. */
void tail_probe (struct tail *tail, void (*done) (void *ctx, bool good), void *ctx);

#endif
