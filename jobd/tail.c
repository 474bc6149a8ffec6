#include "tail.h"

#include "common/log.h"
#include "common/loop_timer.h"

enum
{
  /* Added to the time for which the store may hold a read open. */
  READ_TIMEOUT_MS = 700,
  LOAD_TIMEOUT_MS = 1500,
  RETRY_MS = 250,
};

struct tail
{
  struct tail_config config;
  struct ev_loop *loop;
  struct store *store;
  ev_timer timer;
  bool loaded;
  char *load_key;
  int64_t load_end;
  int64_t from;
  int64_t sent_ms;
  int64_t fresh_ms;
  int64_t healthy_since_ms;
  bool failing;
};

/* One extra read to the end of the topic. */
struct probe
{
  struct tail *tail;
  void (*done) (void *ctx, bool good);
  void *ctx;
};

static void tail_send (struct tail *tail);

static int64_t
tail_now_ms (const struct tail *tail)
{
  return tail->config.now_ms (tail->config.ctx);
}

/* Schedules the next read in after_ms. */
static void
tail_schedule (struct tail *tail, int64_t after_ms)
{
  loop_timer_arm (tail->loop, &tail->timer, after_ms);
}

static void
tail_on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void) loop;
  (void) events;
  tail_send (timer->data);
}

/* Passes records to the owner. */
static void
tail_give (struct tail *tail, const struct store_answer *answer)
{
  for (size_t i = 0; i < answer->n_records; i++)
    tail->config.record (tail->config.ctx, &answer->records[i]);
}

/* Notes that a read has succeeded. */
static void
tail_succeeded (struct tail *tail)
{
  if (tail->failing)
    log_info ("tail", "store responds again: topic=%s offset=%" G_GINT64_FORMAT, tail->config.topic,
              tail->from);
  tail->failing = false;
  if (tail->healthy_since_ms == 0)
    tail->healthy_since_ms = tail_now_ms (tail);
}

/* Notes that a read has failed and schedules a retry. */
static void
tail_failed (struct tail *tail, const struct store_answer *answer)
{
  if (!tail->failing)
    log_warning ("tail", "store does not respond: topic=%s result=%d status=%d", tail->config.topic,
                 answer->result, answer->status);
  tail->failing = true;
  tail->healthy_since_ms = 0;
  tail_schedule (tail, RETRY_MS);
}

/* Handles the response to a read of the newest records: one page of them, or a failure. */
static void
tail_on_page (void *ctx, const struct store_answer *answer)
{
  struct tail *tail = ctx;

  if (answer->result != STORE_DONE)
    {
      tail_failed (tail, answer);
      return;
    }
  tail_succeeded (tail);
  /* The pages are not a consistent snapshot. Reading continues from the end as of the first page,
   * which repeats what changed since. */
  if (!tail->load_key)
    tail->load_end = answer->end;
  tail_give (tail, answer);
  if (answer->has_more && answer->n_records > 0)
    {
      g_free (tail->load_key);
      tail->load_key = g_strdup (answer->records[answer->n_records - 1].key);
      tail_send (tail);
      return;
    }
  g_clear_pointer (&tail->load_key, g_free);
  tail->from = tail->load_end;
  tail->loaded = true;
  tail->fresh_ms = tail->sent_ms;
  if (tail->config.loaded)
    tail->config.loaded (tail->config.ctx);
  tail_schedule (tail, 0);
}

/* Handles the response to a read of new records, which may hold none, or a failure. */
static void
tail_on_read (void *ctx, const struct store_answer *answer)
{
  struct tail *tail = ctx;
  int64_t now_ms = tail_now_ms (tail);

  if (answer->result == STORE_EXPIRED)
    {
      log_info ("tail", "records expired, reading the newest: topic=%s offset=%" G_GINT64_FORMAT,
                tail->config.topic, tail->from);
      tail->loaded = false;
      tail_schedule (tail, 0);
      return;
    }
  if (answer->result != STORE_DONE)
    {
      tail_failed (tail, answer);
      return;
    }
  tail_succeeded (tail);
  tail_give (tail, answer);
  tail->from += (int64_t) answer->n_records;
  if (tail->from >= answer->end)
    tail->fresh_ms = now_ms;
  if (tail->from < answer->end)
    tail_schedule (tail, 0);
  else
    tail_schedule (tail, tail->sent_ms + tail->config.gap_ms - now_ms);
}

/* Sends the next read: a page of the newest records while they are being loaded, the new records
 * after that. */
static void
tail_send (struct tail *tail)
{
  const struct tail_config *config = &tail->config;

  tail->sent_ms = tail_now_ms (tail);
  if (!tail->loaded)
    store_newest (tail->store, config->topic, config->part, tail->load_key, LOAD_TIMEOUT_MS,
                  tail_on_page, tail);
  else
    store_read (tail->store, config->topic, config->part, tail->from, config->wait_ms,
                config->wait_ms + READ_TIMEOUT_MS, tail_on_read, tail);
}

/* Starts reading a topic. */
struct tail *
tail_create (struct ev_loop *loop, struct store *store, const struct tail_config *config)
{
  struct tail *tail = g_new0 (struct tail, 1);

  tail->config = *config;
  tail->loop = loop;
  tail->store = store;
  ev_timer_init (&tail->timer, tail_on_timer, 0.0, 0.0);
  tail->timer.data = tail;
  tail_schedule (tail, 0);
  return tail;
}

/* Stops reading. The store must have been destroyed before, so that no response arrives later. */
void
tail_destroy (struct tail *tail)
{
  ev_timer_stop (tail->loop, &tail->timer);
  g_free (tail->load_key);
  g_free (tail);
}

/* Changes the minimum time between two reads. */
void
tail_set_gap (struct tail *tail, int64_t gap_ms)
{
  tail->config.gap_ms = gap_ms;
}

bool
tail_is_loaded (const struct tail *tail)
{
  return tail->loaded;
}

int64_t
tail_fresh_ms (const struct tail *tail)
{
  return tail->fresh_ms;
}

int64_t
tail_healthy_since_ms (const struct tail *tail)
{
  return tail->healthy_since_ms;
}

/* Returns the offset of the next record to read. */
int64_t
tail_offset (const struct tail *tail)
{
  return tail->from;
}

/* Handles the response to an extra read. Its records are passed on here, and once more by the
 * regular read. */
static void
probe_on_read (void *ctx, const struct store_answer *answer)
{
  struct probe *probe = ctx;
  bool good = answer->result == STORE_DONE;

  if (good)
    tail_give (probe->tail, answer);
  probe->done (probe->ctx, good);
  g_free (probe);
}

/* Reads to the end of the topic without waiting for the regular read. */
void
tail_probe (struct tail *tail, void (*done) (void *ctx, bool good), void *ctx)
{
  struct probe *probe;

  if (!tail->loaded)
    {
      done (ctx, false);
      return;
    }
  probe = g_new (struct probe, 1);
  *probe = (struct probe){ .tail = tail, .done = done, .ctx = ctx };
  store_read (tail->store, tail->config.topic, tail->config.part, tail->from, 0, READ_TIMEOUT_MS,
              probe_on_read, probe);
}
