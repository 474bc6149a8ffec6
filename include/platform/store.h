#ifndef SESAMEPICK_PLATFORM_STORE_H
#define SESAMEPICK_PLATFORM_STORE_H

#include <glib.h>
#include <stdint.h>

#include "common/http_client.h"

/* Client of the platform's metadata store: one call each, no retries. Topics whose name begins with
 * "keyed." keep the newest record of each key for good. */
struct store;

/* The product's topic for the job journal, all in one partition. */
#define STORE_TOPIC_JOURNAL "keyed.sesamepick.jobs"
enum
{
  STORE_PART_JOURNAL = 0,
};
/* Topics of the platform's own. */
#define STORE_TOPIC_OPERATOR "keyed.op"
#define STORE_TOPIC_REGISTRY "keyed.servers"
#define STORE_TOPIC_STATUS "keyed.status"
/* Keys of the operator's topic. */
#define STORE_KEY_CONFIG "config"
#define STORE_KEY_WAVE_PREFIX "wave/"

enum store_result
{
  STORE_DONE,
  /* Nothing was done; the store is away, busy or over a limit. */
  STORE_REFUSED,
  /* No answer: it may have been done, or may be later. */
  STORE_UNKNOWN,
  /* A higher epoch of this producer has written. */
  STORE_FENCED,
  /* The sequence does not follow the last one. */
  STORE_BAD_SEQUENCE,
  /* What was asked for has been deleted. */
  STORE_EXPIRED,
  /* The store does not take the request at all. */
  STORE_INVALID,
};

struct store_append
{
  const char *topic;
  unsigned part;
  /* Records as store_add_record makes them. */
  const GByteArray *records;
  /* Makes a repeat harmless; NULL for none. */
  const char *producer;
  uint64_t epoch;
  uint64_t sequence;
  long timeout_ms;
};

struct store_record
{
  /* Ends with a zero byte that does not count. */
  char *key;
  const void *value;
  size_t len;
  int64_t offset;
};

struct store_answer
{
  enum store_result result;
  int status;
  /* Of an append: offset of its first record, or the expected sequence. */
  int64_t offset;
  uint64_t expected_sequence;
  /* End of the partition, and the first offset it still holds. */
  int64_t end;
  int64_t first;
  const struct store_record *records;
  size_t n_records;
  /* Of the newest records: there are more after the last key. */
  bool has_more;
};

typedef void store_done (void *ctx, const struct store_answer *answer);

struct store *store_create (struct http_client *client, const char *address);
void store_destroy (struct store *store);
/* Adds a record of a keyed topic to the body of an append. */
void store_add_record (GByteArray *records, const char *key, const void *value, size_t len);
void store_append (struct store *store, const struct store_append *append, store_done *done,
                   void *ctx);
/* Reads records from an offset on; waits up to wait_ms for the first. */
void store_read (struct store *store, const char *topic, unsigned part, int64_t from, long wait_ms,
                 long timeout_ms, store_done *done, void *ctx);
/* Reads the newest record of each key after the given one, or from the first if it is NULL. */
void store_newest (struct store *store, const char *topic, unsigned part, const char *after,
                   long timeout_ms, store_done *done, void *ctx);

#endif
