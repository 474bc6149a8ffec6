#include "fleetd.h"

#include <inttypes.h>

#include "common/log.h"

enum
{
  TICK_MS = 100,
  COPY_WAIT_MS = 2000,
};

/* Discards the collected snapshot chunks. */
static void
bootstrap_reset_chunks (struct bootstrap *bootstrap)
{
  snapshot_reader_destroy (bootstrap->snapshots);
  bootstrap->snapshots = snapshot_reader_create ();
}

/* Loads the newest complete state that was collected. Returns false if there is none, if it is not
 * ahead of the current state, or if the log entries that follow it have been trimmed. */
static bool
bootstrap_load_newest_state (struct bootstrap *bootstrap)
{
  struct fleetd *fleetd = bootstrap->fleetd;
  uint64_t offset;
  const GByteArray *bytes = snapshot_reader_newest (bootstrap->snapshots, &offset);
  struct fleet *fleet;

  if (!bytes || offset <= fleet_offset (fleetd->fleet))
    return false;
  if (bootstrap->log_offsets_known && offset + 1 < bootstrap->log_first)
    return false;
  fleet = fleet_load (bytes->data, bytes->len);
  if (!fleet || !fleetd_replace_state (fleetd, fleet))
    return false;
  log_info ("bootstrap", "Loaded a state at offset %" PRIu64 ".", offset);
  return true;
}

/* Starts to scan the last n_entries entries of the log for the newest complete snapshot. The first
 * scan covers two snapshot intervals, which normally contain a snapshot. */
static void
bootstrap_start_scan (struct bootstrap *bootstrap, uint64_t n_entries)
{
  struct fleetd *fleetd = bootstrap->fleetd;
  uint64_t next = bootstrap->log_next;

  bootstrap_reset_chunks (bootstrap);
  bootstrap->scan_from = next > n_entries ? next - n_entries : 1;
  bootstrap->scan_from = MAX (bootstrap->scan_from, bootstrap->log_first);
  bootstrap->stage = BOOTSTRAP_SCAN;
  log_reader_seek (&fleetd->reader, bootstrap->scan_from);
}

/* Starts to follow the log from the current state, which was loaded or is empty. */
static void
bootstrap_follow_log (struct bootstrap *bootstrap)
{
  struct fleetd *fleetd = bootstrap->fleetd;

  bootstrap_reset_chunks (bootstrap);
  bootstrap->copy_peer = NULL;
  bootstrap->stage = BOOTSTRAP_CATCH_UP;
  log_reader_seek (&fleetd->reader, fleet_offset (fleetd->fleet) + 1);
  feed_routes_changed (&fleetd->feed);
  bootstrap_check_ready (bootstrap);
  fleetd_state_changed (fleetd);
}

/* Returns the peer with the highest offset, or NULL. Peers that are not ahead of this fleetd, or so
 * far behind that the log entries they need next have been trimmed, do not count. */
static struct peer *
bootstrap_furthest_peer (const struct bootstrap *bootstrap)
{
  struct fleetd *fleetd = bootstrap->fleetd;
  struct peer *best = NULL;
  struct peer *peer;

  LIST_FOREACH (peer, &fleetd->feed.peers, link)
    {
      if (!peer->answered || peer->offset <= fleet_offset (fleetd->fleet))
        continue;
      if (bootstrap->log_offsets_known && peer->offset + 1 < bootstrap->log_first)
        continue;
      if (!best || peer->offset > best->offset)
        best = peer;
    }
  return best;
}

/* Requests the state of the peer with the highest offset. Returns false if there is no suitable
 * peer. */
static bool
bootstrap_start_copy (struct bootstrap *bootstrap)
{
  struct fleetd *fleetd = bootstrap->fleetd;
  struct peer *peer = bootstrap_furthest_peer (bootstrap);

  if (!peer)
    return false;
  bootstrap_reset_chunks (bootstrap);
  bootstrap->stage = BOOTSTRAP_COPY;
  bootstrap->copy_peer = peer;
  bootstrap->copy_deadline_ms = fleetd->clock.now_ms + COPY_WAIT_MS;
  feed_request_state (&fleetd->feed, peer, true);
  return true;
}

/* Ends a scan: follows the log if a state was found, or if the log is complete from the present
 * state on; else scans twice as many entries, and copies a peer's state once the whole log was
 * scanned. */
static void
bootstrap_end_scan (struct bootstrap *bootstrap)
{
  struct fleetd *fleetd = bootstrap->fleetd;
  uint64_t n_entries = bootstrap->log_next - bootstrap->scan_from;
  bool whole = bootstrap->scan_from <= bootstrap->log_first;

  if (bootstrap_load_newest_state (bootstrap) ||
      (whole && bootstrap->log_first <= fleet_offset (fleetd->fleet) + 1))
    bootstrap_follow_log (bootstrap);
  else if (!whole)
    bootstrap_start_scan (bootstrap, 2 * n_entries);
  else if (!bootstrap_start_copy (bootstrap))
    {
      log_warning ("bootstrap",
                   "The log has no complete snapshot and no peer has a state; starting over.");
      bootstrap->stage = BOOTSTRAP_QUERY;
    }
}

/* Collects the snapshot chunks of a page during a scan. */
static void
bootstrap_handle_scan_page (struct bootstrap *bootstrap, const Sp__LogPage *page)
{
  struct log_reader *reader = &bootstrap->fleetd->reader;

  if (page->first > reader->position)
    {
      log_info ("bootstrap", "The log was trimmed during the scan; restarting the scan.");
      bootstrap_start_scan (bootstrap, 2 * (uint64_t) bootstrap->fleetd->settings->snapshot_every);
      return;
    }
  for (size_t i = 0; i < page->n_entries; i++)
    {
      const Sp__LogEntry *entry = page->entries[i];

      for (size_t j = 0; entry->batch && j < entry->batch->n_records; j++)
        {
          const Sp__Record *record = entry->batch->records[j];

          if (record->body_case == SP__RECORD__BODY_SNAPSHOT)
            snapshot_reader_add (bootstrap->snapshots, record->snapshot);
        }
      if (entry->offset >= reader->position)
        log_reader_seek (reader, entry->offset + 1);
    }
  if (reader->position >= page->next)
    bootstrap_end_scan (bootstrap);
}

/* Raises min_ready_offset to the highest offset that the log or any peer has reported. */
static void
bootstrap_raise_min_ready_offset (struct bootstrap *bootstrap)
{
  struct peer *peer;

  if (fleetd_is_ready (bootstrap->fleetd))
    return;
  if (bootstrap->log_offsets_known)
    bootstrap->min_ready_offset = MAX (bootstrap->min_ready_offset, bootstrap->log_next - 1);
  LIST_FOREACH (peer, &bootstrap->fleetd->feed.peers, link)
    bootstrap->min_ready_offset = MAX (bootstrap->min_ready_offset, peer->offset);
}

/* Leaves the query stage once the log and all peers have answered, or after peer_wait_ms: scans the
 * log if it can be read, else copies a peer's state. */
static void
bootstrap_check_query (struct bootstrap *bootstrap)
{
  struct fleetd *fleetd = bootstrap->fleetd;
  bool late =
      fleetd->clock.now_ms - bootstrap->started_ms >= (int64_t) fleetd->settings->peer_wait_ms;
  bool all = true;
  struct peer *peer;

  LIST_FOREACH (peer, &fleetd->feed.peers, link)
    all = all && peer->answered;
  if (!late && !(all && bootstrap->log_offsets_known))
    return;
  bootstrap_raise_min_ready_offset (bootstrap);
  if (bootstrap->log_offsets_known && fleetd->reader.n_failed == 0)
    bootstrap_start_scan (bootstrap, 2 * (uint64_t) fleetd->settings->snapshot_every);
  else
    bootstrap_start_copy (bootstrap);
}

/* Handles a page of the log. The bootstrap consumes it unless a state was loaded and the page
 * continues it. If the log was trimmed past the current state, starts a scan for a newer
 * snapshot. */
bool
bootstrap_handle_page (struct bootstrap *bootstrap, const Sp__LogPage *page)
{
  struct fleetd *fleetd = bootstrap->fleetd;

  bootstrap->log_offsets_known = true;
  bootstrap->log_first = page->first;
  bootstrap->log_next = page->next;
  if (bootstrap->stage == BOOTSTRAP_SCAN)
    bootstrap_handle_scan_page (bootstrap, page);
  else if (bootstrap->stage == BOOTSTRAP_QUERY)
    bootstrap_check_query (bootstrap);
  else if (bootstrap->stage != BOOTSTRAP_COPY)
    {
      if (page->first <= fleetd->reader.position)
        return false;
      log_warning ("bootstrap",
                   "The log was trimmed past the applied offset %" PRIu64 "; rescanning.",
                   fleet_offset (fleetd->fleet));
      bootstrap_start_scan (bootstrap, 2 * (uint64_t) fleetd->settings->snapshot_every);
    }
  return true;
}

/* Handles a peer's reply: its offset, or a chunk of its state. If the complete state can't be
 * loaded, goes back to querying. */
void
bootstrap_peer_replied (struct bootstrap *bootstrap, struct peer *peer, const Sp__StateReply *reply)
{
  peer->answered = true;
  peer->offset = MAX (peer->offset, reply->offset);
  if (bootstrap->stage == BOOTSTRAP_QUERY)
    bootstrap_check_query (bootstrap);
  if (bootstrap->stage != BOOTSTRAP_COPY || peer != bootstrap->copy_peer || !reply->chunk)
    return;
  if (!snapshot_reader_add (bootstrap->snapshots, reply->chunk))
    return;
  if (bootstrap_load_newest_state (bootstrap))
    bootstrap_follow_log (bootstrap);
  else
    bootstrap->stage = BOOTSTRAP_QUERY;
}

/* Marks the daemon as ready once its offset has reached min_ready_offset. */
void
bootstrap_check_ready (struct bootstrap *bootstrap)
{
  struct fleetd *fleetd = bootstrap->fleetd;

  if (bootstrap->stage != BOOTSTRAP_CATCH_UP ||
      fleet_offset (fleetd->fleet) < bootstrap->min_ready_offset)
    return;
  bootstrap->stage = BOOTSTRAP_READY;
  log_info ("bootstrap", "Ready at offset %" PRIu64 " after %" PRId64 " ms.",
            fleet_offset (fleetd->fleet), fleetd->clock.now_ms - bootstrap->started_ms);
}

/* Repeats the queries to the peers, and abandons a copy whose data did not arrive in time. */
static void
bootstrap_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct bootstrap *bootstrap = timer->data;
  struct fleetd *fleetd = bootstrap->fleetd;
  struct peer *peer;

  (void) loop;
  (void) events;
  clock_update (&fleetd->clock);
  if (bootstrap->stage == BOOTSTRAP_COPY && fleetd->clock.now_ms >= bootstrap->copy_deadline_ms)
    {
      /* Excludes the peer until it replies again. */
      bootstrap->copy_peer->answered = false;
      bootstrap->stage = BOOTSTRAP_QUERY;
    }
  if (bootstrap->stage == BOOTSTRAP_QUERY)
    {
      LIST_FOREACH (peer, &fleetd->feed.peers, link)
        feed_request_state (&fleetd->feed, peer, false);
      bootstrap_check_query (bootstrap);
    }
  fleetd_set_timer (fleetd, timer, TICK_MS);
}

/* Starts by querying the log and the peers for their offsets. */
void
bootstrap_init (struct bootstrap *bootstrap, struct fleetd *fleetd)
{
  bootstrap->fleetd = fleetd;
  bootstrap->started_ms = fleetd->clock.now_ms;
  bootstrap->stage = BOOTSTRAP_QUERY;
  bootstrap_reset_chunks (bootstrap);
  ev_init (&bootstrap->timer, bootstrap_tick);
  bootstrap->timer.data = bootstrap;
  fleetd_set_timer (fleetd, &bootstrap->timer, 0);
}

void
bootstrap_finish (struct bootstrap *bootstrap)
{
  ev_timer_stop (bootstrap->fleetd->loop, &bootstrap->timer);
  snapshot_reader_destroy (bootstrap->snapshots);
}
