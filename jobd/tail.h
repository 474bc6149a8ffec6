#ifndef SESAMEPICK_JOBD_TAIL_H
#define SESAMEPICK_JOBD_TAIL_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "platform/store.h"

/* Follows a keyed topic: first the newest record of each key, then all records in their order. */
struct tail;

struct tail_config
{
  const char *topic;
  unsigned part;
  /* How long the store may wait for a record, and the least time between two reads. */
  long wait_ms;
  int64_t gap_ms;
  int64_t (*now_ms) (void *ctx);
  /* A record, which may be given again. */
  void (*record) (void *ctx, const struct store_record *record);
  /* The newest records have all been given; also after they had to be read anew. */
  void (*loaded) (void *ctx);
  void *ctx;
};

struct tail *tail_create (struct ev_loop *loop, struct store *store,
                          const struct tail_config *config);
void tail_destroy (struct tail *tail);
/* Changes the least time between two reads. */
void tail_set_gap (struct tail *tail, int64_t gap_ms);
/* Whether the newest records have been read. */
bool tail_is_loaded (const struct tail *tail);
/* When the topic was last known to hold nothing that was not given; 0 before. */
int64_t tail_fresh_ms (const struct tail *tail);
/* Since when reads have succeeded without a break; 0 while they fail. */
int64_t tail_healthy_since_ms (const struct tail *tail);
int64_t tail_offset (const struct tail *tail);
/* Reads to the end at once, then calls done. good is false if the store did not answer. */
void tail_probe (struct tail *tail, void (*done) (void *ctx, bool good), void *ctx);

#endif
