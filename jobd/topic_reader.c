#include "topic_reader.h"

#include <sys/queue.h>

#include "common/log.h"
#include "common/loop_timer.h"

enum
{
  /* Added to the time for which the store may hold a read open. */
  READ_MARGIN_MS = 700,
  LOAD_TIMEOUT_MS = 1500,
  RETRY_DELAY_MS = 250,
  /* Additional reads give up after this; callers wait for a few seconds. */
  EXTRA_READS_TIMEOUT_MS = 2000,
  /* Minimum time between two series of additional reads. All hosts share the store's limit of
   * reads. */
  EXTRA_READS_INTERVAL_MS = 50,
  /* Most that a read asks for. All hosts share what the store sends, and what has arrived of a read
   * at its timeout is lost: each timeout makes the next reads smaller, down to the least, and reads
   * that end soon make them larger again. */
  READ_KB_MAX = 1024,
  READ_KB_MIN = 16,
  READ_KB_DIVISOR = 4,
  READ_SOON_MS = 250,
};

/* Someone who waits until the reader has read to the end. */
struct read_waiter
{
  STAILQ_ENTRY (read_waiter) link;
  void (*done) (void *ctx, bool success);
  void *ctx;
};

STAILQ_HEAD (read_waiter_list, read_waiter);

/* Additional reads to the end of the topic as of the first of them. One series is in progress at a
 * time; who asks meanwhile waits for the next one, as a read serves only those who asked before it
 * was sent. */
struct extra_reads
{
  ev_timer timer;
  struct read_waiter_list served;
  struct read_waiter_list waiting;
  bool in_progress;
  /* When the series began, the offset of its read in progress, the end as of its first response
   * (-1 before that), and the load of the topic to which it belongs. */
  int64_t begun_ms;
  int64_t from;
  int64_t end;
  unsigned load;
  /* When its read in progress was sent. */
  int64_t sent_ms;
};

struct topic_reader
{
  struct topic_reader_config config;
  struct ev_loop *loop;
  struct store *store;
  ev_timer timer;
  bool loaded;
  /* How often the newest records had to be loaded anew. */
  unsigned n_reloads;
  /* While the newest records are being loaded: the last key of the previous page, and the end of
   * the partition when the first page was read. */
  char *page_key;
  int64_t first_page_end;
  int64_t first_page_sent_ms;
  /* Offset of the next record to pass on; regular and additional reads advance it. */
  int64_t next_offset;
  /* Offset of the regular read in progress, and when it was sent. */
  int64_t from;
  int64_t sent_ms;
  /* When the reader last reached the end of the partition (when the request was sent while loading,
   * when its response arrived after that), and since when no read has failed. */
  int64_t caught_up_ms;
  /* When the newest read that reached the end was sent. */
  int64_t read_to_end_ms;
  int64_t healthy_since_ms;
  bool failing;
  /* How much the next read asks for. */
  unsigned read_kb;
  struct extra_reads extra;
};

static void topic_reader_send (struct topic_reader *reader);
static void extra_reads_send (struct topic_reader *reader);
static void extra_reads_schedule (struct topic_reader *reader);

static int64_t
topic_reader_now_ms (const struct topic_reader *reader)
{
  return reader->config.now_ms (reader->config.ctx);
}

/* Schedules the next read in after_ms. */
static void
topic_reader_schedule (struct topic_reader *reader, int64_t after_ms)
{
  loop_timer_arm (reader->loop, &reader->timer, after_ms);
}

static void
topic_reader_on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void) loop;
  (void) events;
  topic_reader_send (timer->data);
}

/* Passes the records of a page to on_record. */
static void
topic_reader_deliver_page (struct topic_reader *reader, const struct store_response *response)
{
  for (size_t i = 0; i < response->n_records; i++)
    reader->config.on_record (reader->config.ctx, &response->records[i]);
}

/* Passes the records of a read to on_record, except those that another read has passed: responses
 * may overtake each other, and an older record must not follow a newer one. */
static void
topic_reader_deliver (struct topic_reader *reader, const struct store_response *response)
{
  for (size_t i = 0; i < response->n_records; i++)
    {
      const struct store_record *record = &response->records[i];

      if (record->offset < reader->next_offset)
        continue;
      reader->next_offset = record->offset + 1;
      reader->config.on_record (reader->config.ctx, record);
    }
}

/* Chooses how much the next read asks for, after a read that was sent at sent_ms. */
static void
topic_reader_adapt_size (struct topic_reader *reader, const struct store_response *response,
                         int64_t sent_ms)
{
  bool larger = response->n_records > 0 ? topic_reader_now_ms (reader) - sent_ms <= READ_SOON_MS
                                        /* The next record may be larger than what was asked for. */
                                        : reader->next_offset < response->end;

  if (response->result == STORE_UNKNOWN)
    reader->read_kb = MAX (reader->read_kb / READ_KB_DIVISOR, (unsigned) READ_KB_MIN);
  else if (response->result == STORE_DONE && larger)
    reader->read_kb = MIN (reader->read_kb * 2, (unsigned) READ_KB_MAX);
}

/* Handles that all records up to the end as of a read have been passed. Responses may overtake each
 * other. */
static void
topic_reader_read_reached_end (struct topic_reader *reader, int64_t sent_ms)
{
  reader->read_to_end_ms = MAX (reader->read_to_end_ms, sent_ms);
}

/* Returns whether a response to a read can't continue at the offset that was asked for: it begins
 * later, or the partition ends before. */
static bool
response_has_gap (const struct store_response *response, int64_t from)
{
  return response->first > from || response->end < from;
}

/* Loads the newest records again. Additional reads in progress fail. */
static void
topic_reader_reload (struct topic_reader *reader, const struct store_response *response,
                     const char *reason, int64_t after_ms)
{
  log_info ("tail",
            "reading the newest records again: topic=%s reason=\"%s\" offset=%" G_GINT64_FORMAT
            " first=%" G_GINT64_FORMAT " end=%" G_GINT64_FORMAT,
            reader->config.topic, reason, reader->from, response->first, response->end);
  reader->loaded = false;
  reader->n_reloads++;
  topic_reader_schedule (reader, after_ms);
}

static void
topic_reader_read_succeeded (struct topic_reader *reader)
{
  if (reader->failing)
    log_info ("tail", "reads succeed again: topic=%s offset=%" G_GINT64_FORMAT,
              reader->config.topic, reader->next_offset);
  reader->failing = false;
  if (reader->healthy_since_ms == 0)
    reader->healthy_since_ms = topic_reader_now_ms (reader);
}

/* Schedules a retry after a failed read, RETRY_DELAY_MS after that was sent at the earliest. */
static void
topic_reader_read_failed (struct topic_reader *reader, const struct store_response *response)
{
  if (!reader->failing)
    log_warning ("tail", "read failed, retrying: topic=%s result=%d status=%d next_kb=%u",
                 reader->config.topic, response->result, response->status, reader->read_kb);
  reader->failing = true;
  reader->healthy_since_ms = 0;
  topic_reader_schedule (reader, reader->sent_ms + RETRY_DELAY_MS - topic_reader_now_ms (reader));
}

/* Handles the response to a read of the newest records: one page of them, or a failure. */
static void
topic_reader_on_page (void *ctx, const struct store_response *response)
{
  struct topic_reader *reader = ctx;

  if (response->result != STORE_DONE)
    {
      topic_reader_read_failed (reader, response);
      return;
    }
  if (response->has_more && response->n_records == 0)
    {
      log_warning ("tail", "page without records, but not the last: topic=%s after=%s",
                   reader->config.topic, reader->page_key ? reader->page_key : "");
      topic_reader_read_failed (reader, response);
      return;
    }
  topic_reader_read_succeeded (reader);
  /* The pages are not a consistent snapshot. Reading continues from the end as of the first page,
   * which repeats what changed since. */
  if (!reader->page_key)
    {
      reader->first_page_end = response->end;
      reader->first_page_sent_ms = reader->sent_ms;
    }
  topic_reader_deliver_page (reader, response);
  if (response->has_more)
    {
      g_free (reader->page_key);
      reader->page_key = g_strdup (response->records[response->n_records - 1].key);
      topic_reader_send (reader);
      return;
    }
  g_clear_pointer (&reader->page_key, g_free);
  reader->next_offset = reader->first_page_end;
  reader->loaded = true;
  reader->caught_up_ms = reader->sent_ms;
  /* A record may have changed after its page, so that only the first page shows the end. */
  topic_reader_read_reached_end (reader, reader->first_page_sent_ms);
  if (reader->config.on_loaded)
    reader->config.on_loaded (reader->config.ctx);
  topic_reader_schedule (reader, 0);
}

/* Handles the response to a read of new records, which may hold none, or a failure. */
static void
topic_reader_on_read (void *ctx, const struct store_response *response)
{
  struct topic_reader *reader = ctx;
  int64_t now_ms = topic_reader_now_ms (reader);

  topic_reader_adapt_size (reader, response, reader->sent_ms);
  if (response->result == STORE_EXPIRED)
    {
      topic_reader_reload (reader, response, "records expired", 0);
      return;
    }
  if (response->result != STORE_DONE)
    {
      topic_reader_read_failed (reader, response);
      return;
    }
  if (response_has_gap (response, reader->from))
    {
      topic_reader_reload (reader, response, "records are missing", RETRY_DELAY_MS);
      return;
    }
  topic_reader_read_succeeded (reader);
  topic_reader_deliver (reader, response);
  if (reader->next_offset >= response->end)
    {
      reader->caught_up_ms = now_ms;
      topic_reader_read_reached_end (reader, reader->sent_ms);
    }
  if (reader->next_offset < response->end)
    topic_reader_schedule (reader, 0);
  else
    topic_reader_schedule (reader, reader->sent_ms + reader->config.min_interval_ms - now_ms);
}

/* Sends the next read: a page of the newest records while they are being loaded, the new records
 * after that. */
static void
topic_reader_send (struct topic_reader *reader)
{
  const struct topic_reader_config *config = &reader->config;

  reader->sent_ms = topic_reader_now_ms (reader);
  reader->from = reader->next_offset;
  if (!reader->loaded)
    store_read_newest (reader->store, config->topic, config->partition, reader->page_key,
                       LOAD_TIMEOUT_MS, topic_reader_on_page, reader);
  else
    store_read (reader->store, config->topic, config->partition, reader->from, reader->read_kb,
                config->wait_ms, config->wait_ms + READ_MARGIN_MS, topic_reader_on_read, reader);
}

/* Reports the end of the additional reads to those that they serve. */
static void
extra_reads_finish (struct topic_reader *reader, bool success)
{
  struct read_waiter_list served = STAILQ_HEAD_INITIALIZER (served);
  struct extra_reads *extra = &reader->extra;

  STAILQ_CONCAT (&served, &extra->served);
  extra->in_progress = false;
  while (!STAILQ_EMPTY (&served))
    {
      struct read_waiter *waiter = STAILQ_FIRST (&served);

      STAILQ_REMOVE_HEAD (&served, link);
      waiter->done (waiter->ctx, success);
      g_free (waiter);
    }
  if (!STAILQ_EMPTY (&extra->waiting))
    extra_reads_schedule (reader);
}

/* Handles the response to an additional read: passes its records on and reads further, unless the
 * end as of the first response is reached. A series from before a reload of the topic fails, as the
 * reload has passed newer records. */
static void
extra_reads_on_read (void *ctx, const struct store_response *response)
{
  struct topic_reader *reader = ctx;
  struct extra_reads *extra = &reader->extra;
  bool valid = response->result == STORE_DONE && reader->loaded &&
               extra->load == reader->n_reloads && !response_has_gap (response, extra->from);

  log_info ("tail",
            "additional read: topic=%s from=%" G_GINT64_FORMAT " records=%zu end=%" G_GINT64_FORMAT
            " result=%d status=%d sends=%u valid=%d",
            reader->config.topic, extra->from, response->n_records, response->end, response->result,
            response->status, response->n_sends, valid);
  topic_reader_adapt_size (reader, response, extra->sent_ms);
  if (!valid)
    {
      extra_reads_finish (reader, false);
      return;
    }
  topic_reader_deliver (reader, response);
  if (extra->end < 0)
    extra->end = response->end;
  if (reader->next_offset >= extra->end)
    {
      topic_reader_read_reached_end (reader, extra->begun_ms);
      extra_reads_finish (reader, true);
    }
  else if (response->n_records == 0 ||
           topic_reader_now_ms (reader) - extra->begun_ms >= EXTRA_READS_TIMEOUT_MS)
    extra_reads_finish (reader, false);
  else
    extra_reads_send (reader);
}

/* Sends the next read of a series. */
static void
extra_reads_send (struct topic_reader *reader)
{
  reader->extra.from = reader->next_offset;
  reader->extra.sent_ms = topic_reader_now_ms (reader);
  store_read (reader->store, reader->config.topic, reader->config.partition, reader->extra.from,
              reader->read_kb, 0, READ_MARGIN_MS, extra_reads_on_read, reader);
}

/* Begins a series for all who wait. */
static void
extra_reads_begin (struct topic_reader *reader)
{
  struct extra_reads *extra = &reader->extra;

  extra->in_progress = true;
  extra->begun_ms = topic_reader_now_ms (reader);
  extra->end = -1;
  extra->load = reader->n_reloads;
  STAILQ_CONCAT (&extra->served, &extra->waiting);
  if (reader->loaded)
    extra_reads_send (reader);
  else
    extra_reads_finish (reader, false);
}

static void
extra_reads_on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void) loop;
  (void) events;
  extra_reads_begin (timer->data);
}

/* Schedules the next series, in the minimum distance from the last one. */
static void
extra_reads_schedule (struct topic_reader *reader)
{
  struct extra_reads *extra = &reader->extra;
  int64_t due_ms = extra->begun_ms + EXTRA_READS_INTERVAL_MS;

  if (!ev_is_active (&extra->timer))
    loop_timer_arm (reader->loop, &extra->timer, due_ms - topic_reader_now_ms (reader));
}

/* Frees those who wait without a report. */
static void
read_waiters_clear (struct read_waiter_list *list)
{
  while (!STAILQ_EMPTY (list))
    {
      struct read_waiter *waiter = STAILQ_FIRST (list);

      STAILQ_REMOVE_HEAD (list, link);
      g_free (waiter);
    }
}

/* Starts reading a topic. */
struct topic_reader *
topic_reader_create (struct ev_loop *loop, struct store *store,
                     const struct topic_reader_config *config)
{
  struct topic_reader *reader = g_new0 (struct topic_reader, 1);

  reader->config = *config;
  reader->loop = loop;
  reader->store = store;
  reader->read_kb = READ_KB_MAX;
  ev_timer_init (&reader->timer, topic_reader_on_timer, 0.0, 0.0);
  reader->timer.data = reader;
  ev_timer_init (&reader->extra.timer, extra_reads_on_timer, 0.0, 0.0);
  reader->extra.timer.data = reader;
  STAILQ_INIT (&reader->extra.served);
  STAILQ_INIT (&reader->extra.waiting);
  topic_reader_schedule (reader, 0);
  return reader;
}

/* Stops reading. The store must have been destroyed before, so that no response arrives later. */
void
topic_reader_destroy (struct topic_reader *reader)
{
  ev_timer_stop (reader->loop, &reader->timer);
  ev_timer_stop (reader->loop, &reader->extra.timer);
  read_waiters_clear (&reader->extra.served);
  read_waiters_clear (&reader->extra.waiting);
  g_free (reader->page_key);
  g_free (reader);
}

void
topic_reader_set_min_interval (struct topic_reader *reader, int64_t min_interval_ms)
{
  reader->config.min_interval_ms = min_interval_ms;
}

bool
topic_reader_is_loaded (const struct topic_reader *reader)
{
  return reader->loaded;
}

int64_t
topic_reader_caught_up_ms (const struct topic_reader *reader)
{
  return reader->caught_up_ms;
}

int64_t
topic_reader_read_to_end_ms (const struct topic_reader *reader)
{
  return reader->read_to_end_ms;
}

int64_t
topic_reader_healthy_since_ms (const struct topic_reader *reader)
{
  return reader->healthy_since_ms;
}

int64_t
topic_reader_offset (const struct topic_reader *reader)
{
  return reader->next_offset;
}

void
topic_reader_read_to_end (struct topic_reader *reader, void (*done) (void *ctx, bool success),
                          void *ctx)
{
  struct read_waiter *waiter;

  if (!reader->loaded)
    {
      done (ctx, false);
      return;
    }
  waiter = g_new0 (struct read_waiter, 1);
  waiter->done = done;
  waiter->ctx = ctx;
  STAILQ_INSERT_TAIL (&reader->extra.waiting, waiter, link);
  if (!reader->extra.in_progress)
    extra_reads_schedule (reader);
}
