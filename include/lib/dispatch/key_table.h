#ifndef SESAMEPICK_LIB_DISPATCH_KEY_TABLE_H
#define SESAMEPICK_LIB_DISPATCH_KEY_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "peer.pb-c.h"

enum
{
  /* A key is kept for this long after its last change. */
  KEY_RETENTION_MS = 600000,
  /* Limit on the keys that one entry host stores. */
  KEYS_MAX = 1000000,
};

/* Hash of a service and an idempotency key. */
struct key_hash
{
  uint64_t high;
  uint64_t low;
};

/* A claim on a key: the entry host, its incarnation, and the claim's number in it. */
struct key_claimant
{
  uint8_t member;
  uint64_t incarnation;
  uint64_t claim;
};

struct key_record
{
  TAILQ_ENTRY (key_record) link;
  struct key_hash hash;
  struct key_claimant claimant;
  Sp__KeyState state;
  /* Time of the last change. */
  int64_t changed_ms;
};

TAILQ_HEAD (key_record_list, key_record);

/* Keys that this entry host stores as a holder. by_age is in the order of changed_ms, oldest
 * first. */
struct key_table
{
  GTree *records;
  struct key_record_list by_age;
  size_t n;
  size_t limit;
};

void key_table_init (struct key_table *table, size_t limit);
void key_table_clear (struct key_table *table);
struct key_record *key_table_find (const struct key_table *table, const struct key_hash *hash);
struct key_record *key_table_next (const struct key_table *table, const struct key_hash *hash);
struct key_record *key_table_put (struct key_table *table, const struct key_hash *hash,
                                  const struct key_claimant *claimant, Sp__KeyState state,
                                  int64_t now_ms);
void key_table_mark (struct key_table *table, const struct key_hash *hash,
                     const struct key_claimant *claimant, Sp__KeyState state, int64_t now_ms);
void key_table_expire (struct key_table *table, int64_t now_ms);
struct key_hash key_hash_of (const char *service, const char *key);
int key_hash_compare (const struct key_hash *a, const struct key_hash *b);

#endif
