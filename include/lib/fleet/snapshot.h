#ifndef SESAMEPICK_LIB_FLEET_SNAPSHOT_H
#define SESAMEPICK_LIB_FLEET_SNAPSHOT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "record.pb-c.h"

/* Snapshots of the state, split into chunks for the log and joined again. */

/* Splits the bytes of a saved state into chunks of at most chunk_bytes. Returns an array of
 * Sp__SnapshotChunk, each with the checksum of the whole. Free with g_ptr_array_unref. */
GPtrArray *snapshot_split (const GByteArray *state, uint64_t at_offset, const char *snapshot_id,
                           size_t chunk_bytes);

/* Joins chunks to snapshots. Chunks may arrive in any order, repeatedly, and mixed with those of
 * other snapshots. */
struct snapshot_reader;

struct snapshot_reader *snapshot_reader_create (void);
void snapshot_reader_destroy (struct snapshot_reader *reader);
/* Returns true if the chunk completed a snapshot, which is now the newest. */
bool snapshot_reader_add (struct snapshot_reader *reader, const Sp__SnapshotChunk *chunk);
/* Returns the bytes of the newest complete snapshot, or NULL, and stores its offset in at_offset
 * unless that is NULL. The reader keeps ownership. */
const GByteArray *snapshot_reader_newest (const struct snapshot_reader *reader,
                                          uint64_t *at_offset);

#endif
