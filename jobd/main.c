#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include "common/client_limits.h"
#include "common/log.h"
#include "common/loop_timer.h"
#include "common/program.h"
#include "job_admission.h"
#include "jobd.h"
#include "lib/jobs/leader_election.h"
#include "platform/documents.h"
#include "record_sender.h"
#include "relay_server.h"

enum
{
  /* HTTP client of the store: how long an idle connection may be reused, and the limit of idle
   * connections kept open. */
  IDLE_REUSE_MS = 10000,
  CONNECTIONS_MAX = 32,
  /* Interval of the tick while this host leads and while it doesn't. */
  TICK_FOLLOWING_MS = 100,
  /* A tick that comes this much after the last one counts as a stall, such as a frozen process. */
  LOOP_STALL_MS = 800,
  /* How long the store may hold a read open, and the minimum time between two calls. */
  JOURNAL_WAIT_MS = 1000,
  JOURNAL_INTERVAL_MS = 150,
  OPERATORS_WAIT_MS = 1000,
  APPEND_INTERVAL_MS = 10,
  PERMILLE = 1000,
  /* Time between the stop signal and closing the port: callers are sent elsewhere after two failed
   * readiness checks, one a second. */
  STOP_NOTICE_MS = 2200,
  /* The process exits this long before the end of its grace period at the latest. */
  STOP_MARGIN_MS = 700,
  /* Callers wait no longer than this. */
  APPEND_RETRY_LIMIT_MS = 60000,
};

/* Watchers of signals and of the tick, and the progress of a stop. */
struct watchers
{
  struct jobd *jobd;
  ev_signal stop_signals[2];
  ev_signal reload_signal;
  ev_timer tick;
  int64_t stop_begun_ms;
};

/* Updates the clock and returns the monotonic time in milliseconds. */
int64_t
jobd_now_ms (void *ctx)
{
  struct jobd *jobd = ctx;

  clock_update (&jobd->clock);
  return jobd->clock.now_ms;
}

int64_t
jobd_store_heard_ms (void *ctx)
{
  const struct jobd *jobd = ctx;

  return MAX (topic_reader_caught_up_ms (jobd->journal),
              topic_reader_caught_up_ms (jobd->operators));
}

static void
jobd_on_job_defined (void *ctx, struct job *job)
{
  struct jobd *jobd = ctx;

  job_admission_on_defined (jobd->admission, job);
  leader_job_defined (jobd->leader, job);
}

static void
jobd_on_job_cancelled (void *ctx, struct job *job)
{
  leader_job_cancelled (((struct jobd *) ctx)->leader, job);
}

static void
jobd_on_job_removed (void *ctx, struct job *job)
{
  leader_job_removed (((struct jobd *) ctx)->leader, job);
}

static void
jobd_on_leadership_record (void *ctx, int64_t offset)
{
  leader_on_leadership_record (((struct jobd *) ctx)->leader, offset);
}

static void
jobd_on_wave_progress (void *ctx, const Sp__WaveProgress *progress)
{
  leader_store_wave_progress (((struct jobd *) ctx)->leader, progress);
}

/* Keeps which hosts a leader commands, for a later leadership of this host. */
static void
jobd_on_host_commands (void *ctx, const Sp__HostCommands *commands)
{
  struct jobd *jobd = ctx;

  host_command_guard_observe (&jobd->host_guard, commands, jobd_now_ms (jobd));
}

/* Keeps where other hosts accept a leader's commands. */
static void
jobd_on_host_record (void *ctx, const Sp__EntryHost *host)
{
  struct jobd *jobd = ctx;

  if (strcmp (host->name, jobd->settings->name) == 0)
    {
      if (jobd->relay_server)
        relay_server_on_own_record (jobd->relay_server, host->relay);
      return;
    }
  g_hash_table_replace (jobd->relays, g_strdup (host->name), g_strdup (host->relay));
  if (processor_share_is_ample ((double) host->processor_permille / PERMILLE))
    g_hash_table_add (jobd->ample_hosts, g_strdup (host->name));
  else
    g_hash_table_remove (jobd->ample_hosts, host->name);
  leader_relay_changed (jobd->leader, host->name, host->relay);
}

/* Tells the leadership that the newest records have been loaded. */
static void
jobd_on_journal_loaded (void *ctx)
{
  leader_on_journal_loaded (((struct jobd *) ctx)->leader);
}

/* Applies a journal record to the job table and answers the callers that wait for it. */
static void
jobd_on_journal_record (void *ctx, const struct store_record *record)
{
  struct jobd *jobd = ctx;

  if (job_table_apply (&jobd->jobs, record->key, record->value, record->len, record->offset,
                       jobd_now_ms (jobd)) != 0)
    {
      log_warning ("journal", "record cannot be decoded: key=%s offset=%" G_GINT64_FORMAT,
                   record->key, record->offset);
      return;
    }
  if (record->len > 0)
    ingress_on_journal_record (jobd->ingress, record->key);
}

/* Applies a raw record of the configuration that was read from the store (offset 0 or more) or
 * passed on by another host (offset -1), unless it is older than the current one or the same. */
static void
jobd_apply_config (struct jobd *jobd, const void *data, size_t len, int64_t offset)
{
  struct queue_table *queues = decode_config (data, len, &jobd->key_salt);

  if (!queues)
    {
      log_warning ("config", "record cannot be used: offset=%" G_GINT64_FORMAT, offset);
      return;
    }
  if (jobd->queues && queues->version <= jobd->queues->version)
    {
      queue_table_destroy (queues);
      return;
    }
  log_info ("config",
            "configuration applied: version=%" G_GINT64_FORMAT
            " queues=%u pools=%u workspaces=%u keys=%u offset=%" G_GINT64_FORMAT,
            queues->version, queues->queues->len, queues->pools->len,
            queues->workspaces->workspaces->len, g_hash_table_size (queues->workspaces->keys),
            offset);
  queue_table_destroy (jobd->queues);
  jobd->queues = queues;
  config_state_replace (&jobd->config, queues->version, data, len);
  leader_config_changed (jobd->leader);
}

/* Handles a record that another host has passed on. */
static void
jobd_on_passed_config (void *ctx, const void *data, size_t len)
{
  jobd_apply_config (ctx, data, len, -1);
}

/* What this host has read itself counts from when the read was sent. */
void
jobd_confirm_config (struct jobd *jobd)
{
  config_state_confirm (&jobd->config, jobd->config.version,
                        topic_reader_read_to_end_ms (jobd->operators));
}

int64_t
jobd_config_age_ms (struct jobd *jobd, int64_t now_ms)
{
  jobd_confirm_config (jobd);
  return config_state_age_ms (&jobd->config, now_ms);
}

bool
jobd_has_workspaces (const struct jobd *jobd)
{
  return jobd->queues && !workspace_table_is_empty (jobd->queues->workspaces);
}

/* Handles a record of the operators' topic: a configuration or a wave. */
static void
jobd_on_operator_record (void *ctx, const struct store_record *record)
{
  struct jobd *jobd = ctx;

  if (strcmp (record->key, STORE_KEY_CONFIG) == 0 && record->len > 0)
    jobd_apply_config (jobd, record->value, record->len, record->offset);
  else
    leader_handle_operator_record (jobd->leader, record);
}

/* Starts the readers of the journal and the operators' topic, and the writer. */
static void
jobd_open_topics (struct jobd *jobd)
{
  struct topic_reader_config journal = {
    .topic = STORE_TOPIC_JOURNAL,
    .partition = STORE_PARTITION_JOURNAL,
    .wait_ms = JOURNAL_WAIT_MS,
    .min_interval_ms = JOURNAL_INTERVAL_MS,
    .now_ms = jobd_now_ms,
    .on_record = jobd_on_journal_record,
    .on_loaded = jobd_on_journal_loaded,
    .ctx = jobd,
  };
  struct topic_reader_config operators = {
    .topic = STORE_TOPIC_OPERATOR,
    .wait_ms = OPERATORS_WAIT_MS,
    .now_ms = jobd_now_ms,
    .on_record = jobd_on_operator_record,
    .ctx = jobd,
  };
  g_autofree char *producer =
      g_strdup_printf ("%s-%016" G_GINT64_MODIFIER "x", jobd->settings->name, jobd->incarnation);
  struct writer_config writer = {
    .topic = STORE_TOPIC_JOURNAL,
    .partition = STORE_PARTITION_JOURNAL,
    .producer = producer,
    .epoch = 1,
    .min_interval_ms = APPEND_INTERVAL_MS,
    .retry_limit_ms = MIN (APPEND_RETRY_LIMIT_MS, jobd->settings->status_ms),
    .now_ms = jobd_now_ms,
    .store_heard_ms = jobd_store_heard_ms,
    .ctx = jobd,
  };

  jobd->journal = topic_reader_create (jobd->loop, jobd->store, &journal);
  jobd->operators = topic_reader_create (jobd->loop, jobd->store, &operators);
  jobd->writer = writer_create (jobd->loop, jobd->store, &writer);
}

/* Ends the event loop when a stop is complete: callers have been sent elsewhere and have their
 * responses, and the leadership has ended. Ends it in any case before the grace period is over. */
static void
watchers_check_stop (struct watchers *watchers)
{
  struct jobd *jobd = watchers->jobd;
  int64_t spent_ms = jobd_now_ms (jobd) - watchers->stop_begun_ms;

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
  struct watchers *watchers = timer->data;
  struct jobd *jobd = watchers->jobd;
  int64_t now_ms = jobd_now_ms (jobd);
  int64_t tick_ms;

  (void) events;
  if (jobd->last_tick_ms > 0 && now_ms - jobd->last_tick_ms > LOOP_STALL_MS)
    {
      log_warning ("main", "event loop stalled: ms=%" G_GINT64_FORMAT, now_ms - jobd->last_tick_ms);
      leader_pause (jobd->leader);
    }
  jobd->last_tick_ms = now_ms;
  leader_tick (jobd->leader);
  ingress_tick (jobd->ingress);
  record_sender_tick (jobd->records);
  if (jobd->relay_server)
    relay_server_tick (jobd->relay_server);
  watchers_check_stop (watchers);
  tick_ms = leader_is_leading (jobd->leader) ? TICK_LEADING_MS : TICK_FOLLOWING_MS;
  loop_timer_arm (loop, timer, tick_ms);
}

/* Begins a stop: reports not ready and resigns. */
static void
watchers_on_stop (struct ev_loop *loop, ev_signal *watcher, int events)
{
  struct watchers *watchers = watcher->data;

  (void) loop;
  (void) events;
  if (watchers->jobd->stopping)
    return;
  log_info ("main", "stopping: signal=%d open_requests=%u leading=%d", watcher->signum,
            ingress_open_requests (watchers->jobd->ingress),
            leader_is_leading (watchers->jobd->leader));
  watchers->jobd->stopping = true;
  watchers->stop_begun_ms = jobd_now_ms (watchers->jobd);
  leader_resign (watchers->jobd->leader);
  if (watchers->jobd->relay_server)
    relay_server_stop (watchers->jobd->relay_server);
}

/* Handles a reload request. All settings are command-line flags, so that there is nothing to
 * reload. */
static void
watchers_on_reload (struct ev_loop *loop, ev_signal *watcher, int events)
{
  (void) loop;
  (void) watcher;
  (void) events;
  log_info ("main", "reload ignored: settings are command-line flags and change at a restart only");
}

/* Starts the tick and the signal watchers. */
static void
watchers_init (struct watchers *watchers, struct jobd *jobd)
{
  static const int numbers[] = { SIGTERM, SIGINT };

  watchers->jobd = jobd;
  for (size_t i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      ev_signal_init (&watchers->stop_signals[i], watchers_on_stop, numbers[i]);
      watchers->stop_signals[i].data = watchers;
      ev_signal_start (jobd->loop, &watchers->stop_signals[i]);
    }
  ev_signal_init (&watchers->reload_signal, watchers_on_reload, SIGHUP);
  ev_signal_start (jobd->loop, &watchers->reload_signal);
  ev_timer_init (&watchers->tick, jobd_on_tick, 0.0, 0.0);
  /* After a pause of the process, the tick runs before sockets do and ends what is out of date. */
  ev_set_priority (&watchers->tick, EV_MAXPRI);
  watchers->tick.data = watchers;
  ev_timer_start (jobd->loop, &watchers->tick);
}

/* Creates everything that the daemon needs. Returns 0 or a negative error number. */
static int
jobd_start (struct jobd *jobd)
{
  int error;

  if (getrandom (&jobd->incarnation, sizeof jobd->incarnation, 0) !=
          (ssize_t) sizeof jobd->incarnation ||
      getrandom (&jobd->key_salt, sizeof jobd->key_salt, 0) != (ssize_t) sizeof jobd->key_salt)
    {
      error = -errno;
      log_error ("main", "can't read random bytes: %s", g_strerror (-error));
      return error;
    }
  clock_update (&jobd->clock);
  metrics_init (&jobd->metrics);
  memory_budget_init (&jobd->memory, client_memory_limit (jobd->settings->memory_mb));
  jobd->client = http_client_create (jobd->loop, IDLE_REUSE_MS, CONNECTIONS_MAX);
  jobd->store = store_create (jobd->client, jobd->settings->store);
  job_table_init (&jobd->jobs);
  jobd->jobs.on_defined = jobd_on_job_defined;
  jobd->jobs.on_cancelled = jobd_on_job_cancelled;
  jobd->jobs.on_removed = jobd_on_job_removed;
  jobd->jobs.on_leadership = jobd_on_leadership_record;
  jobd->jobs.on_wave_progress = jobd_on_wave_progress;
  jobd->jobs.on_host = jobd_on_host_record;
  jobd->jobs.on_host_commands = jobd_on_host_commands;
  jobd->jobs.ctx = jobd;
  jobd->config.begun_ms = jobd->clock.now_ms;
  jobd->config.on_record = jobd_on_passed_config;
  jobd->config.ctx = jobd;
  jobd->ample_hosts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  jobd->relays = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  jobd->records = record_sender_create (jobd);
  host_command_guard_init (&jobd->host_guard);
  jobd->leader = leader_create (jobd);
  jobd->admission = job_admission_create (jobd);
  jobd_open_topics (jobd);
  if (jobd->settings->relay[0] != '\0')
    {
      jobd->relay_server = relay_server_create (jobd);
      if (!jobd->relay_server)
        return -EADDRNOTAVAIL;
    }
  error = ingress_create (jobd);
  return error != 0 ? error : admin_create (jobd);
}

/* Frees everything. The store is destroyed before the readers and the writer, because that ends
 * their calls. */
static void
jobd_finish (struct jobd *jobd)
{
  leader_destroy (jobd->leader);
  relay_server_destroy (jobd->relay_server);
  ingress_destroy (jobd->ingress);
  job_admission_destroy (jobd->admission);
  admin_destroy (jobd->admin);
  store_destroy (jobd->store);
  topic_reader_destroy (jobd->journal);
  topic_reader_destroy (jobd->operators);
  writer_destroy (jobd->writer);
  record_sender_destroy (jobd->records);
  http_client_destroy (jobd->client);
  jobd->jobs.on_removed = NULL;
  job_table_finish (&jobd->jobs);
  g_hash_table_destroy (jobd->relays);
  g_hash_table_destroy (jobd->ample_hosts);
  host_command_guard_finish (&jobd->host_guard);
  queue_table_destroy (jobd->queues);
  config_state_clear (&jobd->config);
  metrics_finish (&jobd->metrics);
}

int
main (int argc, char **argv)
{
  Sp__JobdSettings settings = SP__JOBD_SETTINGS__INIT;
  struct jobd jobd = { .settings = &settings };
  struct watchers watchers = { 0 };
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
  watchers_init (&watchers, &jobd);
  log_info ("main", "started: name=%s frontend=%s store=%s lease_ms=%u host_tokens_checked=%u",
            settings.name, settings.frontend, settings.store, settings.lease_ms,
            settings.host_tokens_checked);
  ev_run (jobd.loop, 0);
  jobd_finish (&jobd);
  log_info ("main", "stopped");
  return 0;
}
