#include "fleetd.h"

#include <errno.h>
#include <string.h>
#include <sys/random.h>

#include "common/log.h"

enum
{
  /* Minimum interval between the starts of two appends. */
  MIN_APPEND_INTERVAL_MS = 12,
  BACKOFF_FIRST_MS = 50,
  BACKOFF_MAX_MS = 2000,
  MAX_BATCH_RECORDS = 200,
  MAX_BATCH_BYTES = 256 * 1024,
};

static void log_writer_expire (struct log_writer *writer);

/* Hashes a record id. Ids are random, so any of their bytes will do. */
static guint
id_hash (gconstpointer key)
{
  guint hash;

  memcpy (&hash, key, sizeof hash);
  return hash;
}

/* Compares two record ids. */
static gboolean
id_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, RECORD_ID_BYTES) == 0;
}

/* Returns the list of the writes in a stage. */
static struct write_list *
log_writer_list (struct log_writer *writer, enum write_stage stage)
{
  switch (stage)
    {
    case WRITE_IN_FLIGHT:
      return &writer->in_flight;
    case WRITE_UNCONFIRMED:
      return &writer->unconfirmed;
    case WRITE_APPENDED:
      return &writer->appended;
    default:
      return &writer->queue;
    }
}

/* Moves a write to the end of another stage's list. */
static void
write_move (struct log_writer *writer, struct write *write, enum write_stage stage)
{
  TAILQ_REMOVE (log_writer_list (writer, write->stage), write, link);
  write->stage = stage;
  TAILQ_INSERT_TAIL (log_writer_list (writer, stage), write, link);
}

/* Moves all writes of one stage to the front of another stage's list, keeping their order. */
static void
log_writer_move_all (struct log_writer *writer, enum write_stage from, enum write_stage to)
{
  struct write_list *source = log_writer_list (writer, from);
  struct write *write;

  while ((write = TAILQ_LAST (source, write_list)))
    {
      TAILQ_REMOVE (source, write, link);
      write->stage = to;
      TAILQ_INSERT_HEAD (log_writer_list (writer, to), write, link);
    }
}

/* Completes a write: calls its done callback and frees it. */
static void
write_complete (struct log_writer *writer, struct write *write, enum write_outcome outcome,
                uint64_t offset, const struct verdict *verdict)
{
  struct write_result result = { .outcome = outcome, .offset = offset, .verdict = verdict };

  TAILQ_REMOVE (log_writer_list (writer, write->stage), write, link);
  g_hash_table_remove (writer->by_id, write->id);
  record_id_print (write->id, result.id);
  if (write->done)
    write->done (write->ctx, &result);
  sp__record__free_unpacked (write->record, NULL);
  g_free (write);
}

/* Sets the timer for the next append or the next check for expired writes. */
static void
log_writer_set_timer (struct log_writer *writer)
{
  struct fleetd *fleetd = writer->fleetd;
  int64_t now_ms = fleetd->clock.now_ms;
  int64_t delay_ms = BACKOFF_MAX_MS;
  int64_t start_ms;

  if (!TAILQ_EMPTY (&writer->queue) && writer->append_in_flight == 0 &&
      TAILQ_EMPTY (&writer->unconfirmed))
    {
      start_ms = MAX (writer->next_append_ms, writer->append_started_ms + MIN_APPEND_INTERVAL_MS);
      start_ms = MAX (start_ms, now_ms + fleetd->settings->append_gather_ms);
      delay_ms = start_ms - now_ms;
    }
  else if (g_hash_table_size (writer->by_id) > 0)
    delay_ms = BACKOFF_FIRST_MS;
  if (!ev_is_active (&writer->timer))
    fleetd_set_timer (fleetd, &writer->timer, delay_ms);
}

/* Sets the earliest time of the next append: exponential backoff with jitter. */
static void
log_writer_back_off (struct log_writer *writer)
{
  struct fleetd *fleetd = writer->fleetd;

  writer->backoff_ms = CLAMP (writer->backoff_ms * 2, BACKOFF_FIRST_MS, BACKOFF_MAX_MS);
  writer->next_append_ms = fleetd->clock.now_ms + writer->backoff_ms / 2 +
                           fleetd_random (fleetd, (uint32_t) writer->backoff_ms / 2 + 1);
}

/* The context of one append. Its response is ignored unless it is still the one in flight. */
struct append
{
  struct log_writer *writer;
  uint64_t number;
};

/* Handles the response to an append. Success: its records wait to be read back. -EAGAIN: this
 * append did nothing, and its records are queued again. An earlier append of theirs that had no
 * response may still be carried out, so a record of which one was lost may be in the log from then
 * on. Otherwise they may be in the log, and are searched for there before they are sent again. */
static void
append_done (void *ctx, int result, uint64_t offset)
{
  struct append *append = ctx;
  struct log_writer *writer = append->writer;
  struct fleetd *fleetd = writer->fleetd;
  bool current = append->number == writer->append_in_flight;
  struct write *write;

  (void) offset;
  g_free (append);
  if (!current)
    return;
  clock_update (&fleetd->clock);
  writer->append_in_flight = 0;
  if (result == 0)
    {
      writer->backoff_ms = 0;
      log_writer_move_all (writer, WRITE_IN_FLIGHT, WRITE_APPENDED);
    }
  else if (result == -EAGAIN)
    {
      fleetd->metrics.append_errors.value++;
      TAILQ_FOREACH (write, &writer->in_flight, link)
        write->may_be_in_log = write->append_lost;
      log_writer_move_all (writer, WRITE_IN_FLIGHT, WRITE_QUEUED);
      log_writer_back_off (writer);
    }
  else
    {
      fleetd->metrics.appends_lost.value++;
      log_warning ("log", "The response to an append was lost; searching the log for its records.");
      TAILQ_FOREACH (write, &writer->in_flight, link)
        write->append_lost = true;
      log_writer_move_all (writer, WRITE_IN_FLIGHT, WRITE_UNCONFIRMED);
      writer->response_lost_ms = fleetd->clock.now_ms;
      writer->search_end = 0;
      log_writer_back_off (writer);
    }
  log_writer_set_timer (writer);
}

/* Serializes queued records, up to the limits of a batch, and marks them as in flight. */
static uint8_t *
log_writer_pack_batch (struct log_writer *writer, size_t *len)
{
  Sp__Record *records[MAX_BATCH_RECORDS];
  Sp__Batch batch = SP__BATCH__INIT;
  size_t size = 0;
  struct write *write;
  uint8_t *data;

  batch.records = records;
  while ((write = TAILQ_FIRST (&writer->queue)))
    {
      if (batch.n_records == MAX_BATCH_RECORDS ||
          (size > 0 && size + write->size > MAX_BATCH_BYTES))
        break;
      size += write->size;
      records[batch.n_records++] = write->record;
      write->may_be_in_log = true;
      write_move (writer, write, WRITE_IN_FLIGHT);
    }
  writer->fleetd->metrics.records_sent.value += (int64_t) batch.n_records;
  *len = sp__batch__get_packed_size (&batch);
  data = g_malloc (*len + 1);
  sp__batch__pack (&batch, data);
  return data;
}

/* Starts an append of queued records. */
static void
log_writer_start_append (struct log_writer *writer)
{
  struct fleetd *fleetd = writer->fleetd;
  struct append *append = g_new0 (struct append, 1);
  size_t len;
  g_autofree uint8_t *data = log_writer_pack_batch (writer, &len);

  writer->append_in_flight = ++writer->last_append_number;
  writer->append_started_ms = fleetd->clock.now_ms;
  append->writer = writer;
  append->number = writer->append_in_flight;
  fleetd->metrics.appends.value++;
  fleetd->platform->append (fleetd->platform->self, data, len, append_done, append);
}

/* Completes expired writes and starts the next append if it is due. */
static void
log_writer_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct log_writer *writer = timer->data;
  struct fleetd *fleetd = writer->fleetd;
  int64_t now_ms;

  (void) loop;
  (void) events;
  clock_update (&fleetd->clock);
  now_ms = fleetd->clock.now_ms;
  log_writer_expire (writer);
  if (!TAILQ_EMPTY (&writer->queue) && writer->append_in_flight == 0 &&
      TAILQ_EMPTY (&writer->unconfirmed) && now_ms >= writer->next_append_ms &&
      now_ms >= writer->append_started_ms + MIN_APPEND_INTERVAL_MS)
    log_writer_start_append (writer);
  log_writer_set_timer (writer);
}

/* Completes the expired writes of one list. */
static void
log_writer_expire_list (struct log_writer *writer, struct write_list *list)
{
  struct write *write = TAILQ_FIRST (list);

  while (write)
    {
      struct write *next = TAILQ_NEXT (write, link);

      if (writer->fleetd->clock.now_ms >= write->deadline_ms)
        write_complete (writer, write, write->may_be_in_log ? WRITE_UNKNOWN : WRITE_NOT_SENT, 0,
                        NULL);
      write = next;
    }
}

/* Completes all expired writes. An append of which no record is left no longer blocks the next
 * one. */
static void
log_writer_expire (struct log_writer *writer)
{
  log_writer_expire_list (writer, &writer->queue);
  log_writer_expire_list (writer, &writer->in_flight);
  log_writer_expire_list (writer, &writer->unconfirmed);
  log_writer_expire_list (writer, &writer->appended);
  if (writer->append_in_flight != 0 && TAILQ_EMPTY (&writer->in_flight))
    writer->append_in_flight = 0;
}

void
log_writer_init (struct log_writer *writer, struct fleetd *fleetd)
{
  writer->fleetd = fleetd;
  TAILQ_INIT (&writer->queue);
  TAILQ_INIT (&writer->in_flight);
  TAILQ_INIT (&writer->unconfirmed);
  TAILQ_INIT (&writer->appended);
  writer->by_id = g_hash_table_new (id_hash, id_equal);
  ev_init (&writer->timer, log_writer_due);
  writer->timer.data = writer;
}

/* Completes all writes, with WRITE_UNKNOWN if they may be in the log. */
void
log_writer_finish (struct log_writer *writer)
{
  static const enum write_stage stages[] = { WRITE_QUEUED, WRITE_IN_FLIGHT, WRITE_UNCONFIRMED,
                                             WRITE_APPENDED };

  ev_timer_stop (writer->fleetd->loop, &writer->timer);
  for (size_t i = 0; i < G_N_ELEMENTS (stages); i++)
    {
      struct write *write = TAILQ_FIRST (log_writer_list (writer, stages[i]));

      while (write)
        {
          struct write *next = TAILQ_NEXT (write, link);

          write_complete (writer, write, write->may_be_in_log ? WRITE_UNKNOWN : WRITE_NOT_SENT, 0,
                          NULL);
          write = next;
        }
    }
  g_hash_table_unref (writer->by_id);
}

/* Sets a record's id, author, time and the offset that this fleetd has applied. */
static void
log_writer_fill_record (struct fleetd *fleetd, Sp__Record *record, const char *author,
                        const uint8_t *id)
{
  record->id.len = RECORD_ID_BYTES;
  record->id.data = malloc (RECORD_ID_BYTES);
  memcpy (record->id.data, id, RECORD_ID_BYTES);
  record->author = strdup (author);
  record->seen_offset = fleet_offset (fleetd->fleet);
  record->time_ms = (uint64_t) fleetd->clock.wall_ms;
}

int
log_writer_submit (struct log_writer *writer, Sp__Record *record, const char *author,
                   int64_t wait_ms, void (*done) (void *ctx, const struct write_result *result),
                   void *ctx)
{
  struct fleetd *fleetd = writer->fleetd;
  struct write *write;

  if (!log_reader_can_reach_log (&fleetd->reader))
    {
      sp__record__free_unpacked (record, NULL);
      return -EAGAIN;
    }
  write = g_new0 (struct write, 1);
  if (getrandom (write->id, RECORD_ID_BYTES, 0) != RECORD_ID_BYTES)
    g_error ("getrandom failed; can't create a record id.");
  log_writer_fill_record (fleetd, record, author, write->id);
  write->record = record;
  write->size = sp__record__get_packed_size (record);
  write->deadline_ms = fleetd->clock.now_ms + wait_ms;
  write->done = done;
  write->ctx = ctx;
  TAILQ_INSERT_TAIL (&writer->queue, write, link);
  g_hash_table_insert (writer->by_id, write->id, write);
  ev_timer_stop (fleetd->loop, &writer->timer);
  log_writer_set_timer (writer);
  return 0;
}

/* Completes the write of a record that was read back. If all records of the append in flight have
 * been read back, its response is no longer waited for. */
void
log_writer_record_read (struct log_writer *writer, const Sp__Record *record, uint64_t offset,
                        const struct verdict *verdict)
{
  struct write *write = NULL;

  if (record->id.len == RECORD_ID_BYTES)
    write = g_hash_table_lookup (writer->by_id, record->id.data);
  if (!write)
    return;
  write_complete (writer, write, WRITE_READ_BACK, offset, verdict);
  if (writer->append_in_flight != 0 && TAILQ_EMPTY (&writer->in_flight))
    {
      writer->append_in_flight = 0;
      writer->backoff_ms = 0;
    }
  log_writer_set_timer (writer);
}

/* Queues the records of a lost append again, once the log was read up to its end as seen by a read
 * that was started after the response was lost. */
void
log_writer_check_unconfirmed (struct log_writer *writer, int64_t started_ms, uint64_t next)
{
  if (TAILQ_EMPTY (&writer->unconfirmed))
    return;
  if (writer->search_end == 0 && started_ms >= writer->response_lost_ms)
    writer->search_end = next;
  if (writer->search_end == 0 || fleet_offset (writer->fleetd->fleet) + 1 < writer->search_end)
    return;
  log_info ("log", "Records of a lost append are not in the log; sending them again.");
  log_writer_move_all (writer, WRITE_UNCONFIRMED, WRITE_QUEUED);
  log_writer_set_timer (writer);
}

/* Returns whether no write is pending. */
bool
log_writer_is_idle (const struct log_writer *writer)
{
  return g_hash_table_size (writer->by_id) == 0;
}
