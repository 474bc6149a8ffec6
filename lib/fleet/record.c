#include "state.h"

#include <stdarg.h>
#include <string.h>

#include <xxhash.h>

/* Functions for every type of record: verdicts, changes, validation of names, record ids, and the
 * audit trail. */

/* Sets the verdict's kind and reason. The reason is made valid UTF-8, whatever bytes the record
 * contains, and cut at a character boundary. */
static void
verdict_set (struct verdict *verdict, enum verdict_kind kind, const char *format, va_list args)
{
  char *text = g_strdup_vprintf (format, args);
  char *valid = g_utf8_make_valid (text, -1);
  size_t len = MIN (strlen (valid), sizeof verdict->reason - 1);

  while (len > 0 && (valid[len] & 0xc0) == 0x80)
    len--;
  verdict->kind = kind;
  memcpy (verdict->reason, valid, len);
  verdict->reason[len] = '\0';
  g_free (text);
  g_free (valid);
}

/* Rejects the record. The reason must be the same on every replica. */
void
verdict_reject (struct verdict *verdict, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  verdict_set (verdict, VERDICT_REJECTED, format, args);
  va_end (args);
}

/* Marks the record as one that was applied before. */
void
verdict_duplicate (struct verdict *verdict, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  verdict_set (verdict, VERDICT_DUPLICATE, format, args);
  va_end (args);
}

/* Stores the record's offset and author as the last change. */
void
change_set (struct change *change, const struct record_context *at)
{
  change_restore (change, at->offset, at->author);
}

/* Sets a change from a saved offset and author. */
void
change_restore (struct change *change, uint64_t offset, const char *author)
{
  change->offset = offset;
  if (g_strcmp0 (change->author, author) == 0)
    return;
  g_free (change->author);
  change->author = g_strdup (author);
}

/* Returns whether the change came after seen_offset. If so, rejects; the reason names the offset
 * and author of the change. */
bool
change_conflicts (const struct change *change, uint64_t seen_offset, const char *kind,
                  const char *name, struct verdict *verdict)
{
  if (change->offset <= seen_offset)
    return false;
  verdict_reject (verdict, "%s %.60s was changed at offset %" G_GUINT64_FORMAT " by %.60s", kind,
                  name, change->offset, change->author);
  return true;
}

/* Returns whether the name is 1 to FLEET_MAX_NAME_BYTES printable ASCII characters without space,
 * slash or comma. */
bool
name_is_valid (const char *name)
{
  size_t len = strlen (name);

  if (len == 0 || len > FLEET_MAX_NAME_BYTES)
    return false;
  for (size_t i = 0; i < len; i++)
    if (!g_ascii_isgraph (name[i]) || name[i] == '/' || name[i] == ',')
      return false;
  return true;
}

/* Returns whether the string is UTF-8 of at most FLEET_MAX_NAME_BYTES. Such strings are only stored
 * and displayed. */
bool
string_is_valid (const char *string)
{
  size_t len = strlen (string);

  return len <= FLEET_MAX_NAME_BYTES && g_utf8_validate (string, (gssize) len, NULL);
}

/* Returns the term of a claim or lease that begins with the record. Terms are unique and grow along
 * the log: the offset, then the low TERM_INDEX_BITS of the record's index in the entry. */
uint64_t
record_term (const struct record_context *at)
{
  return (at->offset << TERM_INDEX_BITS) | (at->index & ((1U << TERM_INDEX_BITS) - 1));
}

static guint
record_id_hash (gconstpointer key)
{
  return (guint) XXH64 (key, RECORD_ID_BYTES, 0);
}

static gboolean
record_id_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, RECORD_ID_BYTES) == 0;
}

/* Remembers a record id; drops the oldest one beyond FLEET_MAX_RECORD_IDS. */
void
record_id_add (struct fleet *fleet, const void *id, uint64_t offset)
{
  struct record_id *entry = g_new0 (struct record_id, 1);

  memcpy (entry->bytes, id, RECORD_ID_BYTES);
  entry->offset = offset;
  if (!fleet->ids_by_bytes)
    fleet->ids_by_bytes = g_hash_table_new (record_id_hash, record_id_equal);
  g_hash_table_insert (fleet->ids_by_bytes, entry->bytes, entry);
  STAILQ_INSERT_TAIL (&fleet->ids, entry, link);
  fleet->n_ids++;
  if (fleet->n_ids <= FLEET_MAX_RECORD_IDS)
    return;
  entry = STAILQ_FIRST (&fleet->ids);
  STAILQ_REMOVE_HEAD (&fleet->ids, link);
  g_hash_table_remove (fleet->ids_by_bytes, entry->bytes);
  fleet->ids_floor = entry->offset;
  fleet->n_ids--;
  g_free (entry);
}

/* Returns whether a record with this id is among the most recent ids. */
bool
fleet_has_record (const struct fleet *fleet, const void *id, size_t len)
{
  return len == RECORD_ID_BYTES && fleet->ids_by_bytes &&
         g_hash_table_contains (fleet->ids_by_bytes, id);
}

/* Adds an entry to the audit trail; drops the oldest one beyond FLEET_MAX_AUDIT_ENTRIES. */
void
audit_add (struct fleet *fleet, const struct record_context *at, const char *what,
           const struct verdict *verdict)
{
  struct audit_entry *entry = g_new0 (struct audit_entry, 1);

  entry->offset = at->offset;
  entry->time_ms = at->time_ms;
  entry->author = g_strdup (at->author);
  entry->what = g_utf8_make_valid (what, -1);
  entry->verdict = *verdict;
  STAILQ_INSERT_TAIL (&fleet->audit, entry, link);
  fleet->n_audit++;
  if (fleet->n_audit <= FLEET_MAX_AUDIT_ENTRIES)
    return;
  entry = STAILQ_FIRST (&fleet->audit);
  STAILQ_REMOVE_HEAD (&fleet->audit, link);
  fleet->n_audit--;
  g_free (entry->author);
  g_free (entry->what);
  g_free (entry);
}
