#ifndef SESAMEPICK_JOBD_WRITER_H
#define SESAMEPICK_JOBD_WRITER_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "platform/store.h"

/* Appends records to one partition, in order, several in a call. A call without an answer is sent
 * again under the same sequence, so that it is done once at most. */
struct writer;

enum writer_result
{
  WRITER_DURABLE,
  /* Certainly not written, and never will be. */
  WRITER_REFUSED,
  /* A higher epoch has written. */
  WRITER_FENCED,
};

typedef void writer_done (void *ctx, enum writer_result result, int64_t offset);

struct writer_config
{
  const char *topic;
  unsigned part;
  /* Name and epoch under which the sequence counts; the sequence begins anywhere. */
  const char *producer;
  uint64_t epoch;
  uint64_t first_sequence;
  /* Least time between two calls. */
  int64_t gap_ms;
  /* Keeps records while the store is away; otherwise those not sent yet are refused at once. */
  bool patient;
  int64_t (*now_ms) (void *ctx);
  void *ctx;
};

struct writer *writer_create (struct ev_loop *loop, struct store *store,
                              const struct writer_config *config);
/* Forgets what is not done, without telling. */
void writer_destroy (struct writer *writer);
/* Copies the value; an empty one drops the key. done may be NULL. */
void writer_append (struct writer *writer, const char *key, const void *value, size_t len,
                    writer_done *done, void *ctx);
/* Whether a call has had no answer for so long that new records would wait in vain. */
bool writer_is_stuck (const struct writer *writer);
/* How long the last call took, or the one under way has taken so far, in milliseconds. */
int64_t writer_latency_ms (const struct writer *writer);
bool writer_is_idle (const struct writer *writer);

#endif
