#include "record_sender.h"

#include "common/log.h"
#include "lib/jobs/record_route.h"
#include "relay_server.h"

/* A caller's record that is not durable yet. */
struct caller_record
{
  TAILQ_ENTRY (caller_record) link;
  struct record_sender *sender;
  uint64_t number;
  struct record_route route;
  char *key;
  GBytes *value;
  writer_done *done;
  void *ctx;
  /* A leader may append it. */
  bool handed;
  /* This host appends it by now; the leader's response may still come first. */
  bool appending;
};

struct record_sender
{
  struct jobd *jobd;
  /* In the order in which they came. */
  TAILQ_HEAD (, caller_record) records;
  uint64_t last_number;
  /* This host's position among those that append records themselves. */
  double spread_fraction;
  struct metric handed;
};

static void caller_record_on_append (void *ctx, const struct writer_outcome *outcome);

struct record_sender *
record_sender_create (struct jobd *jobd)
{
  struct record_sender *sender = g_new0 (struct record_sender, 1);

  sender->jobd = jobd;
  sender->spread_fraction = g_random_double ();
  TAILQ_INIT (&sender->records);
  metric_add_counter (&jobd->metrics, &sender->handed, "sesamepick_jobd_records_handed_total", "",
                      "Records of callers that were handed to the leader.");
  return sender;
}

static void
caller_record_destroy (struct caller_record *record)
{
  TAILQ_REMOVE (&record->sender->records, record, link);
  g_free (record->key);
  g_bytes_unref (record->value);
  g_free (record);
}

/* Frees the sender without reporting results. The writer must have been destroyed before. */
void
record_sender_destroy (struct record_sender *sender)
{
  while (!TAILQ_EMPTY (&sender->records))
    caller_record_destroy (TAILQ_FIRST (&sender->records));
  metric_remove (&sender->handed);
  g_free (sender);
}

/* Returns how own appends of this host are spread. The leader's host is the one that the others
 * leave the store to. */
static struct record_spread
record_sender_spread (const struct record_sender *sender)
{
  struct jobd *jobd = sender->jobd;
  bool leading = leader_is_leading (jobd->leader);
  struct append_latency own = writer_append_latency (jobd->writer);
  struct append_latency leaders = { 0 };

  if (jobd->relay_server)
    leaders = relay_server_append_latency (jobd->relay_server);
  return (struct record_spread){ .append_ms = append_latency_newest (&own, &leaders),
                                 .n_hosts = leading ? 0 : 1 + g_hash_table_size (jobd->relays),
                                 .fraction = sender->spread_fraction };
}

/* Appends a record here. */
static void
caller_record_append (struct caller_record *record)
{
  gsize len;
  const void *value = g_bytes_get_data (record->value, &len);

  if (record->route.epoch > 0)
    log_info ("writer",
              "the leader is gone, appending a record here: key=%s epoch=%" G_GUINT64_FORMAT
              " unheard_ms=%" G_GINT64_FORMAT,
              record->key, record->route.epoch, record->route.unheard_ms);
  record->appending = true;
  writer_append (record->sender->jobd->writer, record->key, value, len, caller_record_on_append,
                 record);
}

/* Hands a record to the leader of an epoch, under a new number: a former leader may confirm it
 * under the former one. */
static void
caller_record_hand_over (struct caller_record *record, uint64_t epoch)
{
  struct record_sender *sender = record->sender;
  gsize len;
  const void *value = g_bytes_get_data (record->value, &len);

  record->handed = true;
  record->number = ++sender->last_number;
  record_route_begin (&record->route, epoch, jobd_now_ms (sender->jobd));
  sender->handed.value++;
  relay_server_hand_over (sender->jobd->relay_server, record->number, record->key, value, len);
}

/* Reports a record's outcome and frees the record. */
static void
caller_record_finish (struct caller_record *record, const struct writer_outcome *outcome)
{
  if (record->done)
    record->done (record->ctx, outcome);
  record->done = NULL;
  if (!record->appending)
    caller_record_destroy (record);
}

/* Takes the next step with a record, and frees it if it is refused. */
static void
caller_record_advance (struct caller_record *record, const struct record_spread *spread,
                       uint64_t leader_epoch, int64_t now_ms)
{
  switch (record_route_next (&record->route, spread, leader_epoch, now_ms))
    {
    case RECORD_HAND_OVER:
      caller_record_hand_over (record, leader_epoch);
      break;
    case RECORD_APPEND:
      caller_record_append (record);
      break;
    case RECORD_REFUSE:
      log_info ("writer", "record refused, no leader takes it and the store is slow: key=%s",
                record->key);
      caller_record_finish (record, &(struct writer_outcome){ .result = WRITER_REFUSED });
      break;
    case RECORD_WAIT:
      break;
    }
}

/* Returns the epoch of the leader that takes records now; 0 if none does. */
static uint64_t
record_sender_leader_epoch (const struct record_sender *sender)
{
  const struct relay_server *server = sender->jobd->relay_server;

  return server ? relay_server_leader_epoch (server) : 0;
}

void
record_sender_append (struct record_sender *sender, const char *key, const void *value, size_t len,
                      writer_done *done, void *ctx)
{
  struct caller_record *record = g_new0 (struct caller_record, 1);
  struct record_spread spread = record_sender_spread (sender);
  int64_t now_ms = jobd_now_ms (sender->jobd);

  record->sender = sender;
  record->key = g_strdup (key);
  record->value = g_bytes_new (value, len);
  record->done = done;
  record->ctx = ctx;
  record_route_begin (&record->route, 0, now_ms);
  TAILQ_INSERT_TAIL (&sender->records, record, link);
  caller_record_advance (record, &spread, record_sender_leader_epoch (sender), now_ms);
}

/* A record that a leader may append can't be withdrawn. */
bool
record_sender_withdraw (struct record_sender *sender, writer_done *done, const void *ctx)
{
  struct caller_record *record;

  TAILQ_FOREACH (record, &sender->records, link)
    {
      if (record->done != done || record->ctx != ctx)
        continue;
      if (record->handed ||
          (record->appending &&
           !writer_withdraw (sender->jobd->writer, caller_record_on_append, record)))
        return false;
      caller_record_destroy (record);
      return true;
    }
  return false;
}

/* Returns the record that has a number, or NULL. */
static struct caller_record *
record_sender_find (const struct record_sender *sender, uint64_t number)
{
  struct caller_record *record;

  TAILQ_FOREACH (record, &sender->records, link)
    {
      if (record->number == number)
        return record;
    }
  return NULL;
}

void
record_sender_on_appending (struct record_sender *sender, const Sp__AppendedRecord *appending)
{
  struct caller_record *record = appending->incarnation == sender->jobd->incarnation
                                     ? record_sender_find (sender, appending->number)
                                     : NULL;

  if (record)
    record_route_heard (&record->route);
}

void
record_sender_on_appended (struct record_sender *sender, const Sp__AppendedRecord *appended)
{
  struct writer_outcome outcome = { .result = WRITER_DURABLE, .offset = appended->offset };
  struct caller_record *record;

  /* The leader's link to this host outlives a restart of this process. */
  if (appended->incarnation != sender->jobd->incarnation)
    {
      log_info ("writer",
                "confirmation ignored, the record was handed over by another process: "
                "number=%" G_GUINT64_FORMAT " offset=%" G_GINT64_FORMAT
                " incarnation=%016" G_GINT64_MODIFIER "x",
                appended->number, appended->offset, appended->incarnation);
      return;
    }
  record = record_sender_find (sender, appended->number);
  if (record)
    caller_record_finish (record, &outcome);
}

/* Handles the result of this host's own append. The leader may still append a record that the store
 * refused here, or may have appended it before: then the offset of the first record, which counts,
 * is unknown. */
static void
caller_record_on_append (void *ctx, const struct writer_outcome *outcome)
{
  struct caller_record *record = ctx;
  struct writer_outcome reported = *outcome;

  if (record->handed)
    reported.offset = -1;
  if (record->handed && outcome->result != WRITER_DURABLE)
    reported.result = WRITER_UNKNOWN;
  record->appending = false;
  caller_record_finish (record, &reported);
}

void
record_sender_tick (struct record_sender *sender)
{
  int64_t now_ms = jobd_now_ms (sender->jobd);
  uint64_t leader_epoch = record_sender_leader_epoch (sender);
  struct record_spread spread = record_sender_spread (sender);
  struct caller_record *record = TAILQ_FIRST (&sender->records);

  while (record)
    {
      struct caller_record *next = TAILQ_NEXT (record, link);

      if (!record->appending)
        caller_record_advance (record, &spread, leader_epoch, now_ms);
      record = next;
    }
}
