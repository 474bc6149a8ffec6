#include "writer.h"

#include "common/log.h"
#include "common/loop_timer.h"
#include "lib/jobs/retry_timeout.h"

enum
{
  /* Shortest and longest timeout of a try, and that of a retry while the store is silent. An append
   * itself takes 4 ms, but it may have to wait some seconds for others. */
  TRY_TIMEOUT_MIN_MS = 500,
  TRY_TIMEOUT_MAX_MS = 5000,
  TRY_TIMEOUT_SILENT_MS = 1200,
  /* An append that takes longer is logged. */
  SLOW_APPEND_MS = 250,
  RETRY_DELAY_MS = 120,
  /* A call that takes longer counts as stuck. */
  STUCK_MS = 900,
  BATCH_BYTES_MAX = 1024 * 1024,
  /* Tries that failed quickly after which the store counts as unreachable. */
  CUT_OFF_FAILURES = 2,
};

/* A record waiting to be sent, or part of the call in progress. */
struct pending_record
{
  GByteArray *encoded;
  writer_done *done;
  void *ctx;
};

struct writer
{
  struct writer_config config;
  char *producer;
  struct ev_loop *loop;
  struct store *store;
  ev_timer timer;
  GQueue waiting;
  /* The call in progress: its records, and their encoding. */
  GPtrArray *batch;
  GByteArray *body;
  uint64_t epoch;
  uint64_t sequence;
  /* When the batch was first sent, when the last try was, and how long the last successful try
   * took. The tries before it may have met a store that was away, which says nothing of how slow it
   * is since. */
  int64_t batch_begun_ms;
  int64_t sent_ms;
  int64_t latency_ms;
  int64_t latency_seen_ms;
  struct retry_timeout timeout;
  unsigned n_tries;
  /* Tries of the batch that got no response before their timeout, while the store responded to
   * others and while it didn't. */
  unsigned n_slow;
  unsigned n_silent;
  unsigned n_sends;
  /* Tries of the batch that failed before their timeout. */
  unsigned n_failed;
  /* A try of this batch had no response: the batch may have been written. */
  bool maybe_written;
  /* Points to a flag of the caller while callbacks run; set by writer_destroy. */
  bool *destroyed;
};

static void
pending_record_destroy (gpointer data)
{
  struct pending_record *pending = data;

  g_byte_array_unref (pending->encoded);
  g_free (pending);
}

static int64_t
writer_now_ms (const struct writer *writer)
{
  return writer->config.now_ms (writer->config.ctx);
}

static void writer_send (struct writer *writer);

/* Schedules the next send in after_ms. */
static void
writer_schedule (struct writer *writer, int64_t after_ms)
{
  loop_timer_arm (writer->loop, &writer->timer, after_ms);
}

/* Reports the outcome to the owners of some records, whose offsets count up from the first one's,
 * and frees the records. Returns false if a callback destroyed the writer. */
static bool
writer_report (struct writer *writer, GPtrArray *records, struct writer_outcome outcome)
{
  bool destroyed = false;

  writer->destroyed = &destroyed;
  for (guint i = 0; i < records->len; i++)
    {
      const struct pending_record *pending = g_ptr_array_index (records, i);

      if (pending->done && !destroyed)
        pending->done (pending->ctx, &outcome);
      outcome.offset++;
    }
  g_ptr_array_free (records, TRUE);
  if (destroyed)
    return false;
  writer->destroyed = NULL;
  return true;
}

/* Reports the result for all records that have not been sent yet, because of a response. */
static bool
writer_finish_waiting (struct writer *writer, enum writer_result result,
                       const struct store_response *response)
{
  struct writer_outcome outcome = { .result = result, .status = response->status };
  GPtrArray *records = g_ptr_array_new_with_free_func (pending_record_destroy);
  struct pending_record *pending;

  while ((pending = g_queue_pop_head (&writer->waiting)))
    g_ptr_array_add (records, pending);
  return writer_report (writer, records, outcome);
}

/* Ends the call in progress with a result. Returns false if a callback destroyed the writer. */
static bool
writer_finish_batch (struct writer *writer, enum writer_result result,
                     const struct store_response *response)
{
  GPtrArray *records = g_steal_pointer (&writer->batch);
  struct writer_outcome outcome = {
    .result = result,
    .offset = response->offset,
    .status = response->status,
    .n_sends = writer->n_sends,
    .epoch = writer->epoch,
    .sequence = writer->sequence,
  };

  if (result != WRITER_DURABLE)
    log_info (
        "writer",
        "append not durable: producer=%s epoch=%" G_GUINT64_FORMAT " sequence=%" G_GUINT64_FORMAT
        " records=%u result=%d status=%d tries=%u sends=%u unanswered=%d ms=%" G_GINT64_FORMAT,
        writer->producer, outcome.epoch, outcome.sequence, records->len, result, outcome.status,
        writer->n_tries, outcome.n_sends, writer->maybe_written,
        writer_now_ms (writer) - writer->batch_begun_ms);

  else if (writer_now_ms (writer) - writer->batch_begun_ms > SLOW_APPEND_MS)
    log_info ("writer",
              "slow append: producer=%s sequence=%" G_GUINT64_FORMAT
              " records=%u tries=%u ms=%" G_GINT64_FORMAT,
              writer->producer, outcome.sequence, records->len, writer->n_tries,
              writer_now_ms (writer) - writer->batch_begun_ms);

  g_clear_pointer (&writer->body, g_byte_array_unref);
  if (writer->n_sends > 0)
    writer->sequence++;
  /* A late call of this append must neither be carried out nor be taken for a later one. */
  if (result != WRITER_DURABLE && writer->n_sends > 0 && !writer->config.producer_is_shared)
    writer->epoch++;
  if (result == WRITER_DURABLE)
    {
      writer->latency_seen_ms = writer_now_ms (writer);
      writer->latency_ms = writer->latency_seen_ms - writer->sent_ms;
      retry_timeout_observe (&writer->timeout, writer->latency_ms);
    }
  writer->maybe_written = false;
  writer->n_tries = 0;
  writer->n_sends = 0;
  writer->n_failed = 0;
  writer->n_slow = 0;
  writer->n_silent = 0;
  return writer_report (writer, records, outcome);
}

/* Schedules the next call, if records are waiting. */
static void
writer_schedule_next (struct writer *writer)
{
  if (!writer->batch && !g_queue_is_empty (&writer->waiting))
    writer_schedule (writer,
                     writer->sent_ms + writer->config.min_interval_ms - writer_now_ms (writer));
}

/* Gives up an append that has been retried for too long: its callers are gone, and other hosts may
 * have accepted its jobs, completed and deleted them. The next append is in a higher epoch, which
 * fences late calls of this one. Returns false if it is to be retried. */
static bool
writer_give_up (struct writer *writer, const struct store_response *response)
{
  if (!writer->maybe_written || writer->config.retry_limit_ms == 0 ||
      writer_now_ms (writer) - writer->batch_begun_ms < writer->config.retry_limit_ms)
    return false;
  if (writer_finish_batch (writer, WRITER_UNKNOWN, response) &&
      writer_finish_waiting (writer, WRITER_REFUSED, response))
    writer_schedule_next (writer);
  return true;
}

/* Handles a call that the store has certainly not carried out. It is retried if the writer keeps
 * records while the store is unavailable, or if an earlier try may have been carried out; a
 * malformed call would be rejected again. */
static void
writer_on_refused (struct writer *writer, const struct store_response *response)
{
  bool maybe_written = writer->maybe_written;

  if (writer_give_up (writer, response))
    return;
  if (writer->config.keep_while_unavailable || (maybe_written && response->result == STORE_REFUSED))
    {
      /* Before the callbacks, since these may destroy the writer. */
      writer_schedule (writer, RETRY_DELAY_MS);
      if (!writer->config.keep_while_unavailable && writer_is_stuck (writer))
        writer_finish_waiting (writer, WRITER_REFUSED, response);
      return;
    }
  if (writer_finish_batch (writer, maybe_written ? WRITER_UNKNOWN : WRITER_REFUSED, response) &&
      writer_finish_waiting (writer, WRITER_REFUSED, response))
    writer_schedule_next (writer);
}

/* Handles a rejection of the epoch or the sequence. An earlier call without a response may have
 * been carried out all the same. Where the producer is shared, another process has taken it over,
 * and nothing more can be written. */
static void
writer_on_fenced (struct writer *writer, const struct store_response *response)
{
  if (!writer_finish_batch (writer, writer->maybe_written ? WRITER_UNKNOWN : WRITER_FENCED,
                            response))
    return;
  if (!writer->config.producer_is_shared)
    writer_schedule_next (writer);
  else
    writer_finish_waiting (writer, WRITER_FENCED, response);
}

/* Handles the response to a call, or its absence. */
static void
writer_on_done (void *ctx, const struct store_response *response)
{
  struct writer *writer = ctx;

  writer->n_sends += response->n_sends;
  if (response->result != STORE_UNKNOWN ||
      writer_now_ms (writer) - writer->sent_ms < TRY_TIMEOUT_MIN_MS)
    writer->n_failed++;
  else if (writer->config.store_heard_ms &&
           writer->config.store_heard_ms (writer->config.ctx) > writer->sent_ms)
    writer->n_slow++;
  else
    writer->n_silent++;
  switch (response->result)
    {
    case STORE_DONE:
      if (writer_finish_batch (writer, WRITER_DURABLE, response))
        writer_schedule_next (writer);
      break;
    case STORE_UNKNOWN:
    case STORE_EXPIRED:
      /* Only a read can be rejected because its records have expired. */
      writer->maybe_written = true;
      if (writer_give_up (writer, response))
        break;
      /* Before the callbacks, since these may destroy the writer. A call that failed quickly is
       * repeated at once only the first time. */
      writer_schedule (writer, writer->n_tries == 1
                                   ? 0
                                   : writer->sent_ms + RETRY_DELAY_MS - writer_now_ms (writer));
      if (!writer->config.keep_while_unavailable)
        writer_finish_waiting (writer, WRITER_REFUSED, response);
      break;
    case STORE_FENCED:
    case STORE_BAD_SEQUENCE:
      log_info ("writer",
                "append rejected, the store has seen a newer epoch or another sequence: "
                "producer=%s epoch=%" G_GUINT64_FORMAT " result=%d",
                writer->producer, writer->epoch, response->result);
      writer_on_fenced (writer, response);
      break;
    default:
      writer_on_refused (writer, response);
      break;
    }
}

/* Builds the next call from the waiting records, up to BATCH_BYTES_MAX. */
static void
writer_build_batch (struct writer *writer)
{
  struct pending_record *pending;

  writer->batch = g_ptr_array_new_with_free_func (pending_record_destroy);
  writer->body = g_byte_array_new ();
  writer->batch_begun_ms = writer_now_ms (writer);
  while ((pending = g_queue_peek_head (&writer->waiting)))
    {
      if (writer->batch->len > 0 && writer->body->len + pending->encoded->len > BATCH_BYTES_MAX)
        break;
      g_queue_pop_head (&writer->waiting);
      g_byte_array_append (writer->body, pending->encoded->data, pending->encoded->len);
      g_ptr_array_add (writer->batch, pending);
    }
}

/* Sends the call in progress again, or else the next one. */
static void
writer_send (struct writer *writer)
{
  struct store_append append = {
    .topic = writer->config.topic,
    .partition = writer->config.partition,
    .producer = writer->producer,
    .epoch = writer->epoch,
    .sequence = writer->sequence,
  };

  if (!writer->batch)
    {
      if (g_queue_is_empty (&writer->waiting))
        return;
      writer_build_batch (writer);
    }
  append.records = writer->body;
  append.timeout_ms = (long) retry_timeout_ms (&writer->timeout, writer->n_slow, writer->n_silent);
  writer->n_tries++;
  writer->sent_ms = writer_now_ms (writer);
  store_append (writer->store, &append, writer_on_done, writer);
}

static void
writer_on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void) loop;
  (void) events;
  writer_send (timer->data);
}

struct writer *
writer_create (struct ev_loop *loop, struct store *store, const struct writer_config *config)
{
  struct writer *writer = g_new0 (struct writer, 1);

  writer->config = *config;
  writer->producer = g_strdup (config->producer);
  writer->timeout = (struct retry_timeout){ .min_ms = TRY_TIMEOUT_MIN_MS,
                                            .max_ms = TRY_TIMEOUT_MAX_MS,
                                            .silent_ms = TRY_TIMEOUT_SILENT_MS };
  writer->epoch = config->epoch;
  writer->sequence = config->first_sequence;
  writer->loop = loop;
  writer->store = store;
  g_queue_init (&writer->waiting);
  ev_timer_init (&writer->timer, writer_on_timer, 0.0, 0.0);
  writer->timer.data = writer;
  return writer;
}

/* Frees the writer without reporting results. The store must have been destroyed before, so that no
 * response arrives later. */
void
writer_destroy (struct writer *writer)
{
  struct pending_record *pending;

  if (writer->destroyed)
    *writer->destroyed = true;
  ev_timer_stop (writer->loop, &writer->timer);
  while ((pending = g_queue_pop_head (&writer->waiting)))
    pending_record_destroy (pending);
  if (writer->batch)
    g_ptr_array_free (writer->batch, TRUE);
  g_clear_pointer (&writer->body, g_byte_array_unref);
  g_free (writer->producer);
  g_free (writer);
}

/* Queues a record for the next call. */
void
writer_append (struct writer *writer, const char *key, const void *value, size_t len,
               writer_done *done, void *ctx)
{
  struct pending_record *pending = g_new (struct pending_record, 1);

  pending->encoded = g_byte_array_new ();
  store_add_record (pending->encoded, key, value, len);
  pending->done = done;
  pending->ctx = ctx;
  g_queue_push_tail (&writer->waiting, pending);
  if (!writer->batch && !ev_is_active (&writer->timer))
    writer_schedule (writer,
                     writer->sent_ms + writer->config.min_interval_ms - writer_now_ms (writer));
}

/* Only a record that waits has certainly never been sent: one of the call in progress may have left
 * this process. */
bool
writer_withdraw (struct writer *writer, writer_done *done, const void *ctx)
{
  for (GList *link = writer->waiting.head; link; link = link->next)
    {
      struct pending_record *pending = link->data;

      if (pending->done != done || pending->ctx != ctx)
        continue;
      g_queue_delete_link (&writer->waiting, link);
      pending_record_destroy (pending);
      return true;
    }
  return false;
}

bool
writer_is_stuck (const struct writer *writer)
{
  return writer->batch && writer_now_ms (writer) - writer->batch_begun_ms > STUCK_MS;
}

bool
writer_is_cut_off (const struct writer *writer)
{
  bool silent = writer->n_silent > 0 && writer_is_stuck (writer) &&
                (!writer->config.store_heard_ms ||
                 writer->config.store_heard_ms (writer->config.ctx) < writer->batch_begun_ms);

  return writer->batch && (writer->n_failed >= CUT_OFF_FAILURES || silent);
}

int64_t
writer_latency_ms (const struct writer *writer)
{
  if (!writer->batch)
    return writer->latency_ms;
  return MAX (writer->latency_ms, writer_now_ms (writer) - writer->batch_begun_ms);
}

int64_t
writer_append_ms (const struct writer *writer)
{
  return writer->latency_ms;
}

struct append_latency
writer_append_latency (const struct writer *writer)
{
  return (struct append_latency){ writer->latency_ms, writer->latency_seen_ms };
}

bool
writer_is_idle (const struct writer *writer)
{
  return !writer->batch && writer->waiting.length == 0;
}
