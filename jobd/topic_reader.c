#include "topic_reader.h"

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
};

/* Additional reads to the end of the topic as of the first of them. */
struct extra_reads
{
  struct topic_reader *reader;
  /* When they began, the offset of the read in progress, the end as of the first response (-1
   * before that), and the load of the topic to which they belong. */
  int64_t begun_ms;
  int64_t from;
  int64_t end;
  unsigned load;
  void (*done) (void *ctx, bool success);
  void *ctx;
};

static void topic_reader_send (struct topic_reader *reader);
static void extra_reads_send (struct extra_reads *extra);

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

/* Schedules a retry after a failed read. */
static void
topic_reader_read_failed (struct topic_reader *reader, const struct store_response *response)
{
  if (!reader->failing)
    log_warning ("tail", "read failed, retrying: topic=%s result=%d status=%d",
                 reader->config.topic, response->result, response->status);
  reader->failing = true;
  reader->healthy_since_ms = 0;
  topic_reader_schedule (reader, RETRY_DELAY_MS);
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
    reader->first_page_end = response->end;
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
  reader->read_to_end_ms = reader->sent_ms;
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
      reader->read_to_end_ms = reader->sent_ms;
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
    store_read (reader->store, config->topic, config->partition, reader->from, config->wait_ms,
                config->wait_ms + READ_MARGIN_MS, topic_reader_on_read, reader);
}

static void
extra_reads_finish (struct extra_reads *extra, bool success)
{
  extra->done (extra->ctx, success);
  g_free (extra);
}

/* Handles the response to an additional read: passes its records on and reads further, unless the
 * end as of the first response is reached. Reads from before a reload of the topic fail, as the
 * reload has passed newer records. */
static void
extra_reads_on_read (void *ctx, const struct store_response *response)
{
  struct extra_reads *extra = ctx;
  struct topic_reader *reader = extra->reader;
  bool valid = response->result == STORE_DONE && reader->loaded &&
               extra->load == reader->n_reloads && !response_has_gap (response, extra->from);

  log_info ("tail",
            "additional read: topic=%s from=%" G_GINT64_FORMAT " records=%zu end=%" G_GINT64_FORMAT
            " result=%d status=%d sends=%u valid=%d",
            reader->config.topic, extra->from, response->n_records, response->end, response->result,
            response->status, response->n_sends, valid);
  if (!valid)
    {
      extra_reads_finish (extra, false);
      return;
    }
  topic_reader_deliver (reader, response);
  if (extra->end < 0)
    extra->end = response->end;
  if (reader->next_offset >= extra->end)
    extra_reads_finish (extra, true);
  else if (response->n_records == 0 ||
           topic_reader_now_ms (reader) - extra->begun_ms >= EXTRA_READS_TIMEOUT_MS)
    extra_reads_finish (extra, false);
  else
    extra_reads_send (extra);
}

/* Sends the next additional read. */
static void
extra_reads_send (struct extra_reads *extra)
{
  struct topic_reader *reader = extra->reader;

  extra->from = reader->next_offset;
  store_read (reader->store, reader->config.topic, reader->config.partition, extra->from, 0,
              READ_MARGIN_MS, extra_reads_on_read, extra);
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
  ev_timer_init (&reader->timer, topic_reader_on_timer, 0.0, 0.0);
  reader->timer.data = reader;
  topic_reader_schedule (reader, 0);
  return reader;
}

/* Stops reading. The store must have been destroyed before, so that no response arrives later. */
void
topic_reader_destroy (struct topic_reader *reader)
{
  ev_timer_stop (reader->loop, &reader->timer);
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
  struct extra_reads *extra;

  if (!reader->loaded)
    {
      done (ctx, false);
      return;
    }
  extra = g_new (struct extra_reads, 1);
  *extra = (struct extra_reads){
    .reader = reader,
    .begun_ms = topic_reader_now_ms (reader),
    .end = -1,
    .load = reader->n_reloads,
    .done = done,
    .ctx = ctx,
  };
  extra_reads_send (extra);
}
