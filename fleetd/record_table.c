#include "fleetd.h"

enum
{
  MAX_RECORDS = 4096,
};

/* Prints a record id in hexadecimal. */
void
record_id_print (const uint8_t *id, char text[2 * RECORD_ID_BYTES + 1])
{
  for (size_t i = 0; i < RECORD_ID_BYTES; i++)
    g_snprintf (text + 2 * i, 3, "%02x", id[i]);
}

void
record_table_init (struct record_table *table)
{
  table->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_queue_init (&table->order);
}

void
record_table_finish (struct record_table *table)
{
  g_queue_clear (&table->order);
  g_hash_table_unref (table->by_id);
}

/* Stores a record's verdict; a record that is read again keeps its first verdict. Removes the
 * oldest entry when the table is full. */
void
record_table_add (struct record_table *table, const Sp__Record *record, uint64_t offset,
                  const struct verdict *verdict)
{
  char id[2 * RECORD_ID_BYTES + 1];
  struct applied_record *known;
  char *key;

  if (record->id.len != RECORD_ID_BYTES)
    return;
  record_id_print (record->id.data, id);
  if (g_hash_table_contains (table->by_id, id))
    return;
  known = g_new0 (struct applied_record, 1);
  known->offset = offset;
  known->verdict = *verdict;
  key = g_strdup (id);
  g_hash_table_insert (table->by_id, key, known);
  g_queue_push_tail (&table->order, key);
  if (table->order.length > MAX_RECORDS)
    g_hash_table_remove (table->by_id, g_queue_pop_head (&table->order));
}

/* Returns the entry of a record id in hexadecimal, or NULL. */
const struct applied_record *
record_table_find (const struct record_table *table, const char *id)
{
  return g_hash_table_lookup (table->by_id, id);
}
