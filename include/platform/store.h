#ifndef SESAMEPICK_PLATFORM_STORE_H
#define SESAMEPICK_PLATFORM_STORE_H

#include <glib.h>
#include <stdint.h>

#include "common/http_client.h"

/* Client of the platform's metadata store. Each function makes one call, without retries. Topics
 * whose name begins with "keyed." keep the newest record of each key forever. */
struct store;

/* Topic of the job journal. All records are in one partition, and therefore in one order. */
#define STORE_TOPIC_JOURNAL "keyed.sesamepick.jobs"
enum
{
  STORE_PARTITION_JOURNAL = 0,
};
/* Topics that the platform defines. */
#define STORE_TOPIC_OPERATOR "keyed.op"
#define STORE_TOPIC_REGISTRY "keyed.servers"
#define STORE_TOPIC_STATUS "keyed.status"
/* Keys in the operators' topic. */
#define STORE_KEY_CONFIG "config"
#define STORE_KEY_WAVE_PREFIX "wave/"

/* Result of a call. */
enum store_result
{
  STORE_DONE,
  /* Nothing was done: the store is unavailable, busy or over a limit. */
  STORE_REFUSED,
  /* No response, or one that does not say what was done: the call may have been carried out, or may
   * be later. */
  STORE_UNKNOWN,
  /* The producer's name was used with a higher epoch. */
  STORE_FENCED,
  /* The sequence number doesn't follow the producer's last one. */
  STORE_BAD_SEQUENCE,
  /* The requested records have been deleted. */
  STORE_EXPIRED,
  /* The request is malformed. */
  STORE_INVALID,
};

struct store_append
{
  const char *topic;
  unsigned partition;
  /* Records encoded by store_add_record. */
  const GByteArray *records;
  /* With a producer, the store carries out an append with the same epoch and sequence only once.
   * NULL: a repeated append is written again. */
  const char *producer;
  uint64_t epoch;
  uint64_t sequence;
  long timeout_ms;
};

struct store_record
{
  /* Null-terminated; empty for a malformed record. */
  char *key;
  const void *value;
  size_t len;
  int64_t offset;
};

struct store_response
{
  enum store_result result;
  int status;
  /* How often the request was sent, counting the times that the HTTP client sent it again by
   * itself. */
  unsigned n_sends;
  /* For an append: offset of its first record, and for STORE_BAD_SEQUENCE the sequence that the
   * store expects. */
  int64_t offset;
  uint64_t expected_sequence;
  /* Offset after the last record of the partition, and offset of the first one it still holds. */
  int64_t end;
  int64_t first;
  /* The records, as the whole response, are valid only during the callback. */
  const struct store_record *records;
  size_t n_records;
  /* For the newest records: there are more after the last key returned. */
  bool has_more;
};

typedef void store_done (void *ctx, const struct store_response *response);

/* Creates a client of the store at an IP:PORT address. The topics passed to it must stay valid
 * until their calls end. */
struct store *store_create (struct http_client *client, const char *address);
/* Cancels all calls; their callbacks are not called. */
void store_destroy (struct store *store);
/* Adds a record of a keyed topic to the body of an append. A key longer than 255 bytes is cut. */
void store_add_record (GByteArray *records, const char *key, const void *value, size_t len);
void store_append (struct store *store, const struct store_append *append, store_done *done,
                   void *ctx);
/* Reads up to max_kb of the records from an offset on. If there is none, the store waits up to
 * wait_ms for one. */
void store_read (struct store *store, const char *topic, unsigned partition, int64_t from,
                 unsigned max_kb, long wait_ms, long timeout_ms, store_done *done, void *ctx);
/* Reads the newest record of each key that follows the key after, or of each key if that is
 * NULL. */
void store_read_newest (struct store *store, const char *topic, unsigned partition,
                        const char *after, long timeout_ms, store_done *done, void *ctx);

#endif
