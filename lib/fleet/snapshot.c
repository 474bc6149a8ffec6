#include "lib/fleet/snapshot.h"

#include <string.h>

#include <xxhash.h>

enum
{
  /* Chunks of a snapshot with more chunks than this are ignored. */
  SNAPSHOT_MAX_CHUNKS = 65536,
  /* Maximum number of incomplete snapshots; if exceeded, the one with the lowest offset is
   * dropped. */
  SNAPSHOT_MAX_PARTIAL = 8,
};

/* A snapshot of which some chunks have been received. */
struct partial_snapshot
{
  char *id;
  uint64_t at_offset;
  uint64_t checksum;
  /* Total number of chunks, and number received so far. */
  uint32_t count;
  uint32_t n_received;
  GBytes **chunks;
};

struct snapshot_reader
{
  GPtrArray *partial;
  GByteArray *newest;
  uint64_t newest_offset;
};

static void
chunk_free (gpointer chunk)
{
  sp__snapshot_chunk__free_unpacked (chunk, NULL);
}

/* Splits the bytes of a saved state into chunks of at most chunk_bytes. */
GPtrArray *
snapshot_split (const GByteArray *state, uint64_t at_offset, const char *snapshot_id,
                size_t chunk_bytes)
{
  size_t count = MAX ((state->len + chunk_bytes - 1) / chunk_bytes, 1);
  GPtrArray *chunks = g_ptr_array_new_with_free_func (chunk_free);
  uint64_t checksum = XXH64 (state->data, state->len, 0);

  for (size_t i = 0; i < count; i++)
    {
      Sp__SnapshotChunk *chunk = g_new (Sp__SnapshotChunk, 1);
      size_t begin = i * chunk_bytes;

      sp__snapshot_chunk__init (chunk);
      chunk->snapshot_id = g_strdup (snapshot_id);
      chunk->at_offset = at_offset;
      chunk->index = (uint32_t) i;
      chunk->count = (uint32_t) count;
      chunk->checksum = checksum;
      chunk->data.len = MIN (chunk_bytes, state->len - begin);
      chunk->data.data = g_memdup2 (state->data + begin, chunk->data.len);
      g_ptr_array_add (chunks, chunk);
    }
  return chunks;
}

static void
partial_free (gpointer pointer)
{
  struct partial_snapshot *partial = pointer;

  for (uint32_t i = 0; i < partial->count; i++)
    if (partial->chunks[i])
      g_bytes_unref (partial->chunks[i]);
  g_free (partial->chunks);
  g_free (partial->id);
  g_free (partial);
}

struct snapshot_reader *
snapshot_reader_create (void)
{
  struct snapshot_reader *reader = g_new0 (struct snapshot_reader, 1);

  reader->partial = g_ptr_array_new_with_free_func (partial_free);
  return reader;
}

/* Frees the reader and the newest snapshot. */
void
snapshot_reader_destroy (struct snapshot_reader *reader)
{
  if (!reader)
    return;
  g_ptr_array_unref (reader->partial);
  if (reader->newest)
    g_byte_array_unref (reader->newest);
  g_free (reader);
}

/* Returns the incomplete snapshot that the chunk belongs to, or NULL. All chunks of a snapshot have
 * the same id, offset, count and checksum. */
static struct partial_snapshot *
partial_find (struct snapshot_reader *reader, const Sp__SnapshotChunk *chunk)
{
  for (guint i = 0; i < reader->partial->len; i++)
    {
      struct partial_snapshot *partial = g_ptr_array_index (reader->partial, i);

      if (partial->at_offset == chunk->at_offset && partial->count == chunk->count &&
          partial->checksum == chunk->checksum && strcmp (partial->id, chunk->snapshot_id) == 0)
        return partial;
    }
  return NULL;
}

/* Starts a new incomplete snapshot. If there are too many, the one with the lowest offset is
 * dropped. */
static struct partial_snapshot *
partial_create (struct snapshot_reader *reader, const Sp__SnapshotChunk *chunk)
{
  struct partial_snapshot *partial = g_new0 (struct partial_snapshot, 1);
  guint lowest = 0;

  partial->id = g_strdup (chunk->snapshot_id);
  partial->at_offset = chunk->at_offset;
  partial->checksum = chunk->checksum;
  partial->count = chunk->count;
  partial->chunks = g_new0 (GBytes *, chunk->count);
  if (reader->partial->len >= SNAPSHOT_MAX_PARTIAL)
    {
      for (guint i = 1; i < reader->partial->len; i++)
        {
          const struct partial_snapshot *a = g_ptr_array_index (reader->partial, i);
          const struct partial_snapshot *b = g_ptr_array_index (reader->partial, lowest);

          if (a->at_offset < b->at_offset)
            lowest = i;
        }
      g_ptr_array_remove_index (reader->partial, lowest);
    }
  g_ptr_array_add (reader->partial, partial);
  return partial;
}

/* Joins the chunks of a complete snapshot. Returns NULL if the checksum is wrong. */
static GByteArray *
join_chunks (const struct partial_snapshot *partial)
{
  GByteArray *bytes = g_byte_array_new ();

  for (uint32_t i = 0; i < partial->count; i++)
    {
      gsize len;
      const guint8 *data = g_bytes_get_data (partial->chunks[i], &len);

      g_byte_array_append (bytes, data, (guint) len);
    }
  if (XXH64 (bytes->data, bytes->len, 0) == partial->checksum)
    return bytes;
  g_byte_array_unref (bytes);
  return NULL;
}

/* Stores a complete snapshot as the newest one, and drops incomplete ones that are not newer. */
static void
set_newest (struct snapshot_reader *reader, GByteArray *bytes, uint64_t at_offset)
{
  if (reader->newest)
    g_byte_array_unref (reader->newest);
  reader->newest = bytes;
  reader->newest_offset = at_offset;
  for (guint i = reader->partial->len; i > 0; i--)
    {
      const struct partial_snapshot *partial = g_ptr_array_index (reader->partial, i - 1);

      if (partial->at_offset <= at_offset)
        g_ptr_array_remove_index (reader->partial, i - 1);
    }
}

/* Adds a chunk. Returns true if it completed a snapshot, which is now the newest. */
bool
snapshot_reader_add (struct snapshot_reader *reader, const Sp__SnapshotChunk *chunk)
{
  struct partial_snapshot *partial;
  GByteArray *bytes;

  if (chunk->count == 0 || chunk->count > SNAPSHOT_MAX_CHUNKS || chunk->index >= chunk->count)
    return false;
  if (reader->newest && chunk->at_offset <= reader->newest_offset)
    return false;
  partial = partial_find (reader, chunk);
  if (!partial)
    partial = partial_create (reader, chunk);
  if (partial->chunks[chunk->index])
    return false;
  partial->chunks[chunk->index] = g_bytes_new (chunk->data.data, chunk->data.len);
  partial->n_received++;
  if (partial->n_received < partial->count)
    return false;
  bytes = join_chunks (partial);
  if (!bytes)
    {
      g_ptr_array_remove (reader->partial, partial);
      return false;
    }
  set_newest (reader, bytes, chunk->at_offset);
  return true;
}

/* Returns the bytes of the newest complete snapshot, or NULL, and stores its offset in at_offset
 * unless that is NULL. The reader keeps ownership. */
const GByteArray *
snapshot_reader_newest (const struct snapshot_reader *reader, uint64_t *at_offset)
{
  if (at_offset)
    *at_offset = reader->newest_offset;
  return reader->newest;
}
