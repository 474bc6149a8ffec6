#include "lib/dispatch/key_table.h"

#include <string.h>
#include <xxhash.h>

int
key_hash_compare (const struct key_hash *a, const struct key_hash *b)
{
  if (a->high != b->high)
    return a->high < b->high ? -1 : 1;
  if (a->low != b->low)
    return a->low < b->low ? -1 : 1;
  return 0;
}

/* GCompareFunc of the tree. */
static gint
hash_compare (gconstpointer a, gconstpointer b)
{
  return key_hash_compare (a, b);
}

/* Hashes a service name and a key, separated by a newline. */
struct key_hash
key_hash_of (const char *service, const char *key)
{
  g_autofree char *joined = g_strconcat (service, "\n", key, NULL);
  XXH128_hash_t hash = XXH3_128bits (joined, strlen (joined));

  return (struct key_hash){ hash.high64, hash.low64 };
}

/* Initializes an empty table that holds at most limit keys. */
void
key_table_init (struct key_table *table, size_t limit)
{
  *table = (struct key_table){ .records = g_tree_new (hash_compare), .limit = limit };
  TAILQ_INIT (&table->by_age);
}

/* Removes and frees a record. */
static void
key_table_remove (struct key_table *table, struct key_record *record)
{
  g_tree_remove (table->records, &record->hash);
  TAILQ_REMOVE (&table->by_age, record, link);
  table->n--;
  g_free (record);
}

/* Frees all records. */
void
key_table_clear (struct key_table *table)
{
  while (!TAILQ_EMPTY (&table->by_age))
    key_table_remove (table, TAILQ_FIRST (&table->by_age)); /* NOLINT(clang-analyzer-unix.Malloc) */
  g_tree_destroy (table->records);
}

/* Returns a key's record, or NULL. */
struct key_record *
key_table_find (const struct key_table *table, const struct key_hash *hash)
{
  return g_tree_lookup (table->records, hash);
}

/* Returns the record with the next higher hash, or NULL. */
struct key_record *
key_table_next (const struct key_table *table, const struct key_hash *hash)
{
  GTreeNode *node = g_tree_upper_bound (table->records, hash);

  return node ? g_tree_node_value (node) : NULL;
}

/* Adds a record for a key that has none. Returns NULL if the table is full. */
struct key_record *
key_table_put (struct key_table *table, const struct key_hash *hash,
               const struct key_claimant *claimant, Sp__KeyState state, int64_t now_ms)
{
  struct key_record *record;

  if (table->n >= table->limit)
    return NULL;
  record = g_new0 (struct key_record, 1);
  *record = (struct key_record){
    .hash = *hash, .claimant = *claimant, .state = state, .changed_ms = now_ms
  };
  g_tree_insert (table->records, &record->hash, record);
  TAILQ_INSERT_TAIL (&table->by_age, record, link);
  table->n++;
  return record;
}

static bool
claimant_equal (const struct key_claimant *a, const struct key_claimant *b)
{
  return a->member == b->member && a->incarnation == b->incarnation && a->claim == b->claim;
}

/* Stores the final state of a claimed request; the state free removes the record. A record of a
 * different claim is kept. A claim without a record is added, because this holder may have
 * restarted since. */
void
key_table_mark (struct key_table *table, const struct key_hash *hash,
                const struct key_claimant *claimant, Sp__KeyState state, int64_t now_ms)
{
  struct key_record *record = key_table_find (table, hash);

  if (record && !claimant_equal (&record->claimant, claimant))
    return;
  if (record)
    key_table_remove (table, record);
  if (state != SP__KEY_STATE__KEY_STATE_FREE)
    key_table_put (table, hash, claimant, state, now_ms);
}

/* Removes keys whose retention time has passed. */
void
key_table_expire (struct key_table *table, int64_t now_ms)
{
  struct key_record *record;

  /* The analyzer does not follow TAILQ_REMOVE. NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
  while ((record = TAILQ_FIRST (&table->by_age)) && now_ms - record->changed_ms >= KEY_RETENTION_MS)
    key_table_remove (table, record);
}
