#include "fleetd.h"

#include <inttypes.h>

#include "common/log.h"

enum
{
  /* Time for a snapshot to be read back before it is written again. */
  SNAPSHOT_WAIT_MS = 10000,
};

/* Discards the chunks read so far. */
static void
snapshots_reset_chunks (struct snapshots *snapshots)
{
  snapshot_reader_destroy (snapshots->reading);
  snapshots->reading = snapshot_reader_create ();
}

void
snapshots_init (struct snapshots *snapshots, struct fleetd *fleetd)
{
  snapshots->fleetd = fleetd;
  snapshots_reset_chunks (snapshots);
}

/* Collects a chunk that was read from the log, and notes the offset of a snapshot that is
 * complete. */
void
snapshots_chunk_read (struct snapshots *snapshots, const Sp__SnapshotChunk *chunk)
{
  if (!snapshot_reader_add (snapshots->reading, chunk))
    return;
  snapshots->last_offset = MAX (snapshots->last_offset, chunk->at_offset);
  snapshots->sent_ms = 0;
  snapshots_reset_chunks (snapshots);
}

/* Submits one chunk to the log writer, which takes ownership of it. */
static void
snapshot_write_chunk (struct fleetd *fleetd, Sp__SnapshotChunk *chunk)
{
  Sp__Record *record = malloc (sizeof *record);

  sp__record__init (record);
  record->body_case = SP__RECORD__BODY_SNAPSHOT;
  record->snapshot = chunk;
  log_writer_submit (&fleetd->writer, record, fleetd->settings->name, SNAPSHOT_WAIT_MS, NULL, NULL);
}

/* Writes the current state to the log. Aborts the process instead if the state violates an
 * invariant, so that a corrupt state can't spread. */
static void
snapshot_write (struct fleetd *fleetd)
{
  g_autoptr (GByteArray) bytes = fleet_save (fleetd->fleet);
  uint64_t offset = fleet_offset (fleetd->fleet);
  g_autofree char *id = g_strdup_printf ("%s-%" PRIu64 "-%08x", fleetd->settings->name, offset,
                                         g_rand_int (fleetd->random));
  g_autoptr (GPtrArray) chunks =
      snapshot_split (bytes, offset, id, fleetd->settings->snapshot_chunk_bytes);

  fleet_check (fleetd->fleet);
  g_ptr_array_set_free_func (chunks, NULL);
  for (guint i = 0; i < chunks->len; i++)
    snapshot_write_chunk (fleetd, chunks->pdata[i]);
  fleetd->snapshots.sent_ms = fleetd->clock.now_ms;
  fleetd->metrics.snapshots_written.value++;
  log_info ("snapshots", "Submitted a snapshot at offset %" PRIu64 " in %u chunks.", offset,
            chunks->len);
}

/* Writes a snapshot if one is due: the claim holder after snapshot_every entries, any other fleetd
 * only after 1.5 to 2 times as many, a threshold derived from its name so that two of them rarely
 * write at the same time. */
void
snapshots_check (struct snapshots *snapshots)
{
  struct fleetd *fleetd = snapshots->fleetd;
  uint64_t behind = fleet_offset (fleetd->fleet) - snapshots->last_offset;
  uint64_t every = fleetd->settings->snapshot_every;
  bool waits =
      snapshots->sent_ms != 0 && fleetd->clock.now_ms - snapshots->sent_ms < SNAPSHOT_WAIT_MS;

  if (waits || behind < every || !fleetd_is_ready (fleetd) || fleetd->stopping ||
      !log_reader_can_reach_log (&fleetd->reader))
    return;
  if (executor_driver_holds_claim (&fleetd->executor_driver) ||
      behind >= every + every / 2 + g_str_hash (fleetd->settings->name) % (every / 2))
    snapshot_write (fleetd);
}

void
snapshots_finish (struct snapshots *snapshots)
{
  snapshot_reader_destroy (snapshots->reading);
}
