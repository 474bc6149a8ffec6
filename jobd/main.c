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
  /* HTTP client of the store. */
  IDLE_REUSE_MS = 10000,
  CONNECTIONS_MAX = 32,
  /* Interval of the tick while this host leads and while it doesn't. */
  TICK_LEADING_MS = 20,
  TICK_FOLLOWING_MS = 100,
  /* A tick that comes this much after the last one counts as a stall, such as a frozen process. */
  FROZEN_MS = 800,
  /* How long the store may hold a read open, and the minimum time between two calls. */
  JOURNAL_WAIT_MS = 1000,
  JOURNAL_GAP_MS = 150,
  OPERATORS_WAIT_MS = 1000,
  WRITER_GAP_MS = 10,
  /* Time between the stop signal and closing the port: callers are sent elsewhere after two failed
   * readiness checks, one a second. */
  STOP_NOTICE_MS = 2200,
  /* The process exits this long before the end of its grace period at the latest. */
  STOP_MARGIN_MS = 700,
};

/* Watchers of signals and of the tick, and the progress of a stop. */
struct stop
{
  struct jobd *jobd;
  ev_signal signals[2];
  ev_signal reload;
  ev_timer tick;
  int64_t since_ms;
};

/* Updates the clock and returns the monotonic time in milliseconds. */
int64_t
jobd_now_ms (void *ctx)
{
  struct jobd *jobd = ctx;

  clock_update (&jobd->clock);
  return jobd->clock.now_ms;
}

static void
jobd_on_defined (void *ctx, struct job *job)
{
  leader_job_defined (((struct jobd *) ctx)->leader, job);
}

static void
jobd_on_cancelled (void *ctx, struct job *job)
{
  leader_job_cancelled (((struct jobd *) ctx)->leader, job);
}

static void
jobd_on_forgotten (void *ctx, struct job *job)
{
  leader_job_forgotten (((struct jobd *) ctx)->leader, job);
}

static void
jobd_on_leader (void *ctx, int64_t offset)
{
  leader_seen (((struct jobd *) ctx)->leader, offset);
}

static void
jobd_on_wave (void *ctx, const Sp__WaveProgress *progress)
{
  leader_take_wave_progress (((struct jobd *) ctx)->leader, progress);
}

/* Applies a journal record to the job table and answers the callers that wait for it. */
static void
jobd_on_journal_record (void *ctx, const struct store_record *record)
{
  struct jobd *jobd = ctx;

  if (job_book_apply (&jobd->book, record->key, record->value, record->len, record->offset,
                      jobd_now_ms (jobd)) != 0)
    {
      log_warning ("journal", "record cannot be decoded: key=%s offset=%" G_GINT64_FORMAT,
                   record->key, record->offset);
      return;
    }
  if (record->len > 0)
    ingress_record_read (jobd->ingress, record->key);
}

/* Puts a configuration in force, unless it is older than the current one. */
static void
jobd_take_config (struct jobd *jobd, const struct store_record *record)
{
  struct queue_table *queues = decode_config (record->value, record->len);

  if (!queues)
    {
      log_warning ("config", "record cannot be decoded: offset=%" G_GINT64_FORMAT, record->offset);
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

/* Handles a record of the operators' topic: a configuration or a wave. */
static void
jobd_on_operator_record (void *ctx, const struct store_record *record)
{
  struct jobd *jobd = ctx;

  if (strcmp (record->key, STORE_KEY_CONFIG) == 0 && record->len > 0)
    jobd_take_config (jobd, record);
  else
    leader_take_operator_record (jobd->leader, record);
}

/* Starts the readers of the journal and the operators' topic, and the writer. */
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

/* Ends the event loop when a stop is complete: callers have been sent elsewhere and have their
 * responses, and the leadership has ended. Ends it in any case before the grace period is over. */
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

/* Runs the periodic work of the leadership, the callers' requests and a stop. */
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
      log_warning ("main", "event loop stalled: ms=%" G_GINT64_FORMAT, now_ms - jobd->last_tick_ms);
      leader_distrust (jobd->leader);
    }
  jobd->last_tick_ms = now_ms;
  leader_tick (jobd->leader);
  ingress_tick (jobd->ingress);
  stop_review (stop);
  tick_ms = leader_is_leading (jobd->leader) ? TICK_LEADING_MS : TICK_FOLLOWING_MS;
  loop_timer_arm (loop, timer, tick_ms);
}

/* Begins a stop: reports not ready and resigns. */
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

/* Handles a reload request. All settings are command-line flags, so that there is nothing to
 * reload. */
static void
stop_on_reload (struct ev_loop *loop, ev_signal *watcher, int events)
{
  (void) loop;
  (void) watcher;
  (void) events;
  log_info ("main", "reload ignored: settings are command-line flags and change at a restart only");
}

/* Starts the tick and the signal watchers. */
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

/* Creates everything that the daemon needs. Returns 0 or a negative error number. */
static int
jobd_start (struct jobd *jobd)
{
  int error;

  if (getrandom (&jobd->incarnation, sizeof jobd->incarnation, 0) !=
      (ssize_t) sizeof jobd->incarnation)
    {
      error = -errno;
      log_error ("main", "can't read random bytes: %s", g_strerror (-error));
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

/* Frees everything. The store is destroyed before the readers and the writer, because that ends
 * their calls. */
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
                     "Accepts jobs from callers and runs them on the endpoints.", argc, argv);

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
