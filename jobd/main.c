#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include "common/log.h"
#include "common/loop_timer.h"
#include "common/program.h"
#include "jobd.h"
#include "platform/documents.h"

enum
{
  IDLE_REUSE_MS = 10000,
  CONNECTIONS_MAX = 32,
  /* A leader's turn, and a follower's. */
  TICK_LEADING_MS = 20,
  TICK_FOLLOWING_MS = 100,
  /* A loop that stood still for this long may have been frozen. */
  FROZEN_MS = 800,
  JOURNAL_WAIT_MS = 1000,
  JOURNAL_GAP_MS = 150,
  OPERATORS_WAIT_MS = 1000,
  WRITER_GAP_MS = 10,
  /* Callers are sent elsewhere after two readiness checks of a second. */
  STOP_NOTICE_MS = 2200,
  STOP_MARGIN_MS = 700,
};

/* A stop that was asked for. */
struct stop
{
  struct jobd *jobd;
  ev_signal signals[2];
  ev_signal reload;
  ev_timer tick;
  int64_t since_ms;
};

/* Gives the time of the loop, read anew. */
int64_t
jobd_now_ms (void *ctx)
{
  struct jobd *jobd = ctx;

  clock_update (&jobd->clock);
  return jobd->clock.now_ms;
}

/* The book has a new job. */
static void
jobd_on_defined (void *ctx, struct job *job)
{
  leader_job_defined (((struct jobd *) ctx)->leader, job);
}

/* A job's cancellation is durable. */
static void
jobd_on_cancelled (void *ctx, struct job *job)
{
  leader_job_cancelled (((struct jobd *) ctx)->leader, job);
}

/* A job's records are dropped. */
static void
jobd_on_forgotten (void *ctx, struct job *job)
{
  leader_job_forgotten (((struct jobd *) ctx)->leader, job);
}

/* A leadership record was read. */
static void
jobd_on_leader (void *ctx, int64_t offset)
{
  leader_seen (((struct jobd *) ctx)->leader, offset);
}

/* What was done in a wave was read. */
static void
jobd_on_wave (void *ctx, const Sp__WaveProgress *progress)
{
  leader_take_wave_progress (((struct jobd *) ctx)->leader, progress);
}

/* A record of the journal was read. */
static void
jobd_on_journal_record (void *ctx, const struct store_record *record)
{
  struct jobd *jobd = ctx;

  if (job_book_apply (&jobd->book, record->key, record->value, record->len, record->offset,
                      jobd_now_ms (jobd)) != 0)
    {
      log_warning ("journal", "record can't be read: key=%s offset=%" G_GINT64_FORMAT, record->key,
                   record->offset);
      return;
    }
  if (record->len > 0)
    ingress_record_read (jobd->ingress, record->key);
}

/* Puts a configuration in force, unless it is older than the present one. */
static void
jobd_take_config (struct jobd *jobd, const struct store_record *record)
{
  struct queue_table *queues = decode_config (record->value, record->len);

  if (!queues)
    {
      log_warning ("config", "record can't be read: offset=%" G_GINT64_FORMAT, record->offset);
      return;
    }
  if (jobd->queues && queues->version <= jobd->queues->version)
    {
      queue_table_destroy (queues);
      return;
    }
  log_info ("config", "in force: version=%" G_GINT64_FORMAT " queues=%u pools=%u", queues->version,
            queues->queues->len, queues->pools->len);
  queue_table_destroy (jobd->queues);
  jobd->queues = queues;
  leader_config_changed (jobd->leader);
}

/* A record of an operator was read. */
static void
jobd_on_operator_record (void *ctx, const struct store_record *record)
{
  struct jobd *jobd = ctx;

  if (strcmp (record->key, STORE_KEY_CONFIG) == 0 && record->len > 0)
    jobd_take_config (jobd, record);
  else
    leader_take_operator_record (jobd->leader, record);
}

/* Starts to follow the journal and the operators. */
static void
jobd_follow (struct jobd *jobd)
{
  struct tail_config journal = {
    .topic = STORE_TOPIC_JOURNAL,
    .part = STORE_PART_JOURNAL,
    .wait_ms = JOURNAL_WAIT_MS,
    .gap_ms = JOURNAL_GAP_MS,
    .now_ms = jobd_now_ms,
    .record = jobd_on_journal_record,
    .ctx = jobd,
  };
  struct tail_config operators = {
    .topic = STORE_TOPIC_OPERATOR,
    .wait_ms = OPERATORS_WAIT_MS,
    .now_ms = jobd_now_ms,
    .record = jobd_on_operator_record,
    .ctx = jobd,
  };
  g_autofree char *producer =
      g_strdup_printf ("%s-%016" G_GINT64_MODIFIER "x", jobd->settings->name, jobd->incarnation);
  struct writer_config writer = {
    .topic = STORE_TOPIC_JOURNAL,
    .part = STORE_PART_JOURNAL,
    .producer = producer,
    .epoch = 1,
    .gap_ms = WRITER_GAP_MS,
    .now_ms = jobd_now_ms,
    .ctx = jobd,
  };

  jobd->journal = tail_create (jobd->loop, jobd->store, &journal);
  jobd->operators = tail_create (jobd->loop, jobd->store, &operators);
  jobd->writer = writer_create (jobd->loop, jobd->store, &writer);
}

/* Ends the loop once a stop has had its time: callers have been sent elsewhere and have their
 * answers, or the time is up. */
static void
stop_review (struct stop *stop)
{
  struct jobd *jobd = stop->jobd;
  int64_t spent_ms = jobd_now_ms (jobd) - stop->since_ms;

  if (!jobd->stopping)
    return;
  if (spent_ms >= STOP_NOTICE_MS)
    ingress_quiesce (jobd->ingress);
  if ((spent_ms >= STOP_NOTICE_MS && ingress_open_requests (jobd->ingress) == 0 &&
       !leader_is_leading (jobd->leader)) ||
      spent_ms >= (int64_t) jobd->settings->grace_ms - STOP_MARGIN_MS)
    ev_break (jobd->loop, EVBREAK_ALL);
}

/* A turn. */
static void
jobd_on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct stop *stop = timer->data;
  struct jobd *jobd = stop->jobd;
  int64_t now_ms = jobd_now_ms (jobd);
  int64_t tick_ms;

  (void) events;
  if (jobd->last_tick_ms > 0 && now_ms - jobd->last_tick_ms > FROZEN_MS)
    {
      log_warning ("main", "the loop stood still: ms=%" G_GINT64_FORMAT,
                   now_ms - jobd->last_tick_ms);
      leader_distrust (jobd->leader);
    }
  jobd->last_tick_ms = now_ms;
  leader_tick (jobd->leader);
  ingress_tick (jobd->ingress);
  stop_review (stop);
  tick_ms = leader_is_leading (jobd->leader) ? TICK_LEADING_MS : TICK_FOLLOWING_MS;
  loop_timer_arm (loop, timer, tick_ms);
}

/* A stop is asked for. */
static void
stop_on_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  struct stop *stop = watcher->data;

  (void) loop;
  (void) events;
  if (stop->jobd->stopping)
    return;
  log_info ("main", "stopping: signal=%d open_requests=%u leading=%d", watcher->signum,
            ingress_open_requests (stop->jobd->ingress), leader_is_leading (stop->jobd->leader));
  stop->jobd->stopping = true;
  stop->since_ms = jobd_now_ms (stop->jobd);
  leader_resign (stop->jobd->leader);
}

/* The settings have changed; those of this program are flags, which a new start takes. */
static void
stop_on_reload (struct ev_loop *loop, ev_signal *watcher, int events)
{
  (void) loop;
  (void) watcher;
  (void) events;
  log_info ("main", "reload: settings are flags and stay as they are until a new start");
}

/* Starts the turns and watches the signals. */
static void
stop_init (struct stop *stop, struct jobd *jobd)
{
  static const int numbers[] = { SIGTERM, SIGINT };

  stop->jobd = jobd;
  for (size_t i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      ev_signal_init (&stop->signals[i], stop_on_signal, numbers[i]);
      stop->signals[i].data = stop;
      ev_signal_start (jobd->loop, &stop->signals[i]);
    }
  ev_signal_init (&stop->reload, stop_on_reload, SIGHUP);
  ev_signal_start (jobd->loop, &stop->reload);
  ev_timer_init (&stop->tick, jobd_on_tick, 0.0, 0.0);
  stop->tick.data = stop;
  ev_timer_start (jobd->loop, &stop->tick);
}

/* Opens all that the daemon needs. Gives 0 or a negative error number. */
static int
jobd_start (struct jobd *jobd)
{
  int error;

  if (getrandom (&jobd->incarnation, sizeof jobd->incarnation, 0) !=
      (ssize_t) sizeof jobd->incarnation)
    {
      error = -errno;
      log_error ("main", "the system gives no random bytes: %s", g_strerror (-error));
      return error;
    }
  clock_update (&jobd->clock);
  metrics_init (&jobd->metrics);
  jobd->client = http_client_create (jobd->loop, IDLE_REUSE_MS, CONNECTIONS_MAX);
  jobd->store = store_create (jobd->client, jobd->settings->store);
  job_book_init (&jobd->book);
  jobd->book.defined = jobd_on_defined;
  jobd->book.cancelled = jobd_on_cancelled;
  jobd->book.forgotten = jobd_on_forgotten;
  jobd->book.leader_seen = jobd_on_leader;
  jobd->book.wave_seen = jobd_on_wave;
  jobd->book.ctx = jobd;
  jobd->leader = leader_create (jobd);
  jobd_follow (jobd);
  error = ingress_create (jobd);
  return error != 0 ? error : admin_create (jobd);
}

/* Closes all. */
static void
jobd_finish (struct jobd *jobd)
{
  leader_destroy (jobd->leader);
  ingress_destroy (jobd->ingress);
  admin_destroy (jobd->admin);
  store_destroy (jobd->store);
  tail_destroy (jobd->journal);
  tail_destroy (jobd->operators);
  writer_destroy (jobd->writer);
  http_client_destroy (jobd->client);
  jobd->book.forgotten = NULL;
  job_book_finish (&jobd->book);
  queue_table_destroy (jobd->queues);
  metrics_finish (&jobd->metrics);
}

int
main (int argc, char **argv)
{
  Sp__JobdSettings settings = SP__JOBD_SETTINGS__INIT;
  struct jobd jobd = { .settings = &settings };
  struct stop stop = { 0 };
  enum program_exit started =
      program_start (&jobd_schema, &settings.base, "sesamepick-jobd",
                     "Takes jobs from callers and runs them on the endpoints.", argc, argv);

  if (started != PROGRAM_STARTED)
    return started;
  if (settings.seed != 0)
    g_random_set_seed (settings.seed);
  jobd.loop = ev_default_loop (0);
  if (jobd_start (&jobd) != 0)
    return EXIT_FAILURE;
  stop_init (&stop, &jobd);
  log_info ("main", "started: name=%s frontend=%s store=%s lease_ms=%u", settings.name,
            settings.frontend, settings.store, settings.lease_ms);
  ev_run (jobd.loop, 0);
  jobd_finish (&jobd);
  log_info ("main", "stopped");
  return 0;
}
