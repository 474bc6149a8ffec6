#include "fleetd.h"

#include "common/log.h"

enum
{
  MAX_PAGE_ENTRIES = 200,
  /* A single failed read may be a reset connection; more in a row count as an outage. */
  OUTAGE_FAILURES = 2,
  RETRY_FIRST_MS = 5,
  RETRY_MS = 100,
  /* Interval between reads while only the log's first and next offsets are needed. */
  OFFSETS_POLL_MS = 50,
  /* The log counts as unreachable if no read has succeeded for the poll's wait plus this. */
  POLL_GRACE_MS = 1000,
};

static void log_reader_start (struct log_reader *reader);

/* Applies one record and notifies all parts that depend on it. */
static void
log_reader_apply_record (struct fleetd *fleetd, uint64_t offset, uint32_t index,
                         const Sp__Record *record)
{
  struct verdict verdict = { 0 };

  fleet_apply (fleetd->fleet, offset, index, record, &verdict);
  fleetd->metrics.records_applied.value++;
  if (verdict.kind == VERDICT_REJECTED)
    fleetd->metrics.rejected.value++;
  else if (verdict.kind == VERDICT_DUPLICATE)
    fleetd->metrics.duplicates.value++;
  if (verdict.kind == VERDICT_ACCEPTED)
    {
      if (record->body_case == SP__RECORD__BODY_CLAIM)
        executor_driver_claim_read (&fleetd->executor_driver);
      else if (record->body_case == SP__RECORD__BODY_SNAPSHOT)
        snapshots_chunk_read (&fleetd->snapshots, record->snapshot);
      else if (record->body_case == SP__RECORD__BODY_DECLARE ||
               record->body_case == SP__RECORD__BODY_HOST_STEP ||
               record->body_case == SP__RECORD__BODY_HOST_SEEN ||
               record->body_case == SP__RECORD__BODY_CONFIRM ||
               record->body_case == SP__RECORD__BODY_WITHDRAW)
        feed_routes_changed (&fleetd->feed);
    }
  record_table_add (&fleetd->records, record, offset, &verdict);
  log_writer_record_read (&fleetd->writer, record, offset, &verdict);
}

/* Applies an entry unless it was applied before. */
static void
log_reader_apply_entry (struct log_reader *reader, const Sp__LogEntry *entry)
{
  struct fleetd *fleetd = reader->fleetd;

  if (entry->offset < reader->position)
    return;
  for (size_t i = 0; entry->batch && i < entry->batch->n_records; i++)
    log_reader_apply_record (fleetd, entry->offset, (uint32_t) i, entry->batch->records[i]);
  fleet_entry_end (fleetd->fleet, entry->offset);
  reader->position = entry->offset + 1;
}

/* Handles the response to a read: passes the page to the bootstrap or applies it, and starts the
 * next read. Retries after a delay on failure. */
static void
log_reader_read_done (void *ctx, int result, const Sp__LogPage *page)
{
  struct log_reader *reader = ctx;
  struct fleetd *fleetd = reader->fleetd;

  clock_update (&fleetd->clock);
  reader->read_pending = false;
  if (result < 0)
    {
      reader->n_failed++;
      fleetd_set_timer (fleetd, &reader->timer,
                        reader->n_failed < OUTAGE_FAILURES
                            ? RETRY_FIRST_MS
                            : RETRY_MS + fleetd_random (fleetd, RETRY_MS));
      return;
    }
  reader->n_failed = 0;
  reader->last_ok_ms = fleetd->clock.now_ms;
  if (!bootstrap_handle_page (&fleetd->bootstrap, page))
    {
      for (size_t i = 0; i < page->n_entries; i++)
        log_reader_apply_entry (reader, page->entries[i]);
      log_writer_check_unconfirmed (&fleetd->writer, reader->started_ms, page->next);
      fleetd_state_changed (fleetd);
    }
  if (fleetd->bootstrap.stage == BOOTSTRAP_QUERY || fleetd->bootstrap.stage == BOOTSTRAP_COPY)
    fleetd_set_timer (fleetd, &reader->timer, OFFSETS_POLL_MS);
  else
    log_reader_start (reader);
}

/* Starts the next read, unless one is in progress. The first read after a failure does not wait at
 * the log's end, so that the end of an outage is detected immediately. */
static void
log_reader_start (struct log_reader *reader)
{
  struct fleetd *fleetd = reader->fleetd;
  bool follows = fleetd->bootstrap.stage >= BOOTSTRAP_CATCH_UP && reader->n_failed == 0;

  if (reader->read_pending || reader->stopped)
    return;
  reader->read_pending = true;
  reader->started_ms = fleetd->clock.now_ms;
  fleetd->platform->read (fleetd->platform->self, reader->position, MAX_PAGE_ENTRIES,
                          follows ? fleetd->settings->log_wait_ms : 0, log_reader_read_done,
                          reader);
}

static void
log_reader_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct log_reader *reader = timer->data;

  (void) loop;
  (void) events;
  clock_update (&reader->fleetd->clock);
  log_reader_start (reader);
}

void
log_reader_init (struct log_reader *reader, struct fleetd *fleetd)
{
  reader->fleetd = fleetd;
  reader->position = 1;
  ev_init (&reader->timer, log_reader_due);
  reader->timer.data = reader;
  log_reader_start (reader);
}

void
log_reader_finish (struct log_reader *reader)
{
  reader->stopped = true;
  ev_timer_stop (reader->fleetd->loop, &reader->timer);
}

/* Sets the offset of the next read. */
void
log_reader_seek (struct log_reader *reader, uint64_t position)
{
  reader->position = position;
}

/* Returns whether the log is reachable: recent reads have not failed repeatedly, and the last
 * success is not too long ago. */
bool
log_reader_can_reach_log (const struct log_reader *reader)
{
  const struct fleetd *fleetd = reader->fleetd;
  int64_t limit_ms = (int64_t) fleetd->settings->log_wait_ms + POLL_GRACE_MS;

  if (reader->n_failed >= OUTAGE_FAILURES || reader->last_ok_ms == 0)
    return false;
  return fleetd->clock.now_ms - reader->last_ok_ms < limit_ms;
}
