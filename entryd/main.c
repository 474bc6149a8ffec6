#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/client_limits.h"
#include "common/log.h"
#include "common/program.h"
#include "entry.h"

enum
{
  MS_PER_S = 1000,
  /* Upper bound on the time between two ticks. An event after a tick can make work due earlier than
   * the time that the tick returned. */
  TICK_MAX_MS = 20,
  /* Limit on the idle connections to endpoints that are kept open. */
  IDLE_CONNECTIONS_MAX = 512,
  /* Once all requests are answered, the daemon waits this long for requests that callers may have
   * just sent on open connections. */
  IDLE_BEFORE_EXIT_MS = 300,
  STOP_CHECK_MS = 20,
};

/* Progress of a planned stop. */
struct stop
{
  struct entry *entry;
  ev_signal terminate;
  ev_signal interrupt;
  ev_timer check;
  int64_t begun_ms;
  int64_t idle_since_ms;
  bool quiesced;
};

/* Returns the current monotonic time. */
int64_t
entry_now_ms (struct entry *entry)
{
  clock_update (&entry->clock);
  return entry->clock.now_ms;
}

/* Runs the dispatcher's due work and schedules the next tick. */
static void
entry_on_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct entry *entry = watcher->data;
  int64_t now_ms = entry_now_ms (entry);
  int64_t wait_ms = CLAMP (dispatch_tick (entry->dispatch, now_ms) - now_ms, 1, TICK_MAX_MS);

  (void) events;
  watcher->repeat = (double) wait_ms / MS_PER_S;
  ev_timer_again (loop, watcher);
}

/* Advances a planned stop. For stop_notice_ms the daemon only reports that it is not ready; then it
 * closes the listening socket, finishes all open requests and leaves the loop. */
static void
stop_on_check (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct stop *stop = watcher->data;
  struct entry *entry = stop->entry;
  int64_t now_ms = entry_now_ms (entry);

  (void) events;
  if (now_ms - stop->begun_ms < entry->settings->stop_notice_ms)
    return;
  if (!stop->quiesced)
    {
      stop->quiesced = true;
      stop->idle_since_ms = now_ms;
      http_server_quiesce (entry->server);
      log_info ("stop", "The listening socket is closed; finishing open requests.");
    }
  if (http_server_open_requests (entry->server) > 0 || g_hash_table_size (entry->exchanges) > 0)
    stop->idle_since_ms = now_ms;
  if (now_ms - stop->idle_since_ms >= IDLE_BEFORE_EXIT_MS)
    ev_break (loop, EVBREAK_ALL);
}

/* Begins a planned stop. */
static void
stop_on_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  struct stop *stop = watcher->data;
  struct entry *entry = stop->entry;

  (void) events;
  if (entry->stopping)
    return;
  log_info ("stop",
            "Received SIGTERM or SIGINT; reporting not ready until new connections are refused.");
  entry->stopping = true;
  stop->begun_ms = entry_now_ms (entry);
  stop->idle_since_ms = stop->begun_ms;
  http_server_close_after_response (entry->server);
  dispatch_stop (entry->dispatch, stop->begun_ms);
  ev_timer_start (loop, &stop->check);
}

/* Installs the handlers of SIGTERM and SIGINT. */
static void
stop_init (struct stop *stop, struct entry *entry)
{
  double period_s = (double) STOP_CHECK_MS / MS_PER_S;

  stop->entry = entry;
  ev_signal_init (&stop->terminate, stop_on_signal, SIGTERM);
  ev_signal_init (&stop->interrupt, stop_on_signal, SIGINT);
  ev_timer_init (&stop->check, stop_on_check, period_s, period_s);
  stop->terminate.data = stop;
  stop->interrupt.data = stop;
  stop->check.data = stop;
  ev_signal_start (entry->loop, &stop->terminate);
  ev_signal_start (entry->loop, &stop->interrupt);
}

/* Parses the name of a slot policy. Returns false if it is unknown. */
static bool
policy_parse (const char *name, enum dispatch_policy *policy)
{
  /* In the order of enum dispatch_policy. */
  static const char *const names[] = { "lend", "own-count", "fixed-share", "random" };

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      if (strcmp (name, names[i]) == 0)
        {
          *policy = (enum dispatch_policy) i;
          return true;
        }
    }
  return false;
}

/* Creates the dispatcher. Returns false after logging an error if the configured policy is
 * unknown. */
static bool
entry_create_dispatch (struct entry *entry)
{
  const Sp__EntrydSettings *settings = entry->settings;
  g_auto (GStrv) members = peers_members (settings);
  struct dispatch_ops ops = {
    .attempt_start = endpoint_attempt_start,
    .attempt_cancel = endpoint_attempt_cancel,
    .request_done = caller_request_done,
    .peer_send = peers_send,
    .ctx = entry,
  };
  struct dispatch_config config = {
    .name = settings->name,
    .data_centre = settings->data_centre,
    .members = (const char *const *) members,
    .n_members = g_strv_length (members),
    .queue_limit = settings->queue_limit,
    .seed = settings->seed ? settings->seed : g_random_int (),
  };
  int64_t now_ms = entry_now_ms (entry);

  if (!policy_parse (settings->slot_policy, &config.policy))
    {
      log_error (
          "main",
          "Invalid setting slot_policy: \"%s\" is not lend, own-count, fixed-share or random.",
          settings->slot_policy);
      return false;
    }
  config.incarnation = (uint64_t) entry->clock.wall_ms;
  entry->dispatch = dispatch_create (&config, &ops, now_ms);
  return true;
}

/* Opens all sockets. The feed is started before the callers' port, so that routes are requested as
 * early as possible. Returns 0 or a negative error number, -EINVAL for an invalid setting. */
static int
entry_start (struct entry *entry)
{
  int (*const steps[]) (struct entry *) = { peers_create, feed_create, caller_server_start,
                                            admin_create };

  entry->exchanges = g_hash_table_new (g_int64_hash, g_int64_equal);
  entry->echoing_endpoints = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  entry->attempt_salt = (uint64_t) g_random_int () << 32 | g_random_int ();
  if (!entry_create_dispatch (entry))
    return -EINVAL;
  memory_budget_init (&entry->memory, client_memory_limit (entry->settings->memory_mb));
  entry->client =
      http_client_create (entry->loop, entry->settings->idle_reuse_ms, IDLE_CONNECTIONS_MAX);
  http_client_set_memory (entry->client, &entry->memory);
  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      int error = steps[i](entry);

      if (error != 0)
        return error;
    }
  ev_timer_init (&entry->tick, entry_on_tick, 0.0, (double) TICK_MAX_MS / MS_PER_S);
  entry->tick.data = entry;
  ev_timer_start (entry->loop, &entry->tick);
  return 0;
}

/* Closes everything that entry_start opened. */
static void
entry_finish (struct entry *entry)
{
  admin_destroy (entry->admin);
  http_server_destroy (entry->server);
  http_client_destroy (entry->client);
  feed_destroy (entry->feed);
  peers_destroy (entry->peers);
  dispatch_destroy (entry->dispatch);
  g_hash_table_destroy (entry->exchanges);
  g_hash_table_destroy (entry->echoing_endpoints);
  ev_timer_stop (entry->loop, &entry->tick);
}

int
main (int argc, char **argv)
{
  enum program_exit started;
  Sp__EntrydSettings settings = SP__ENTRYD_SETTINGS__INIT;
  struct entry entry = { .settings = &settings };
  struct stop stop = { 0 };
  int error;

  started =
      program_start (&entryd_schema, &settings.base, "sesamepick-entryd",
                     "Forwards callers' requests to the workers of their services.", argc, argv);
  if (started != PROGRAM_STARTED)
    return started;
  entry.loop = ev_default_loop (0);
  error = entry_start (&entry);
  if (error != 0)
    return error == -EINVAL ? PROGRAM_EXIT_BAD_SETTINGS : EXIT_FAILURE;
  stop_init (&stop, &entry);
  log_info ("main", "Listening for callers on %s:%u.", settings.listen_address,
            settings.caller_port);
  ev_run (entry.loop, 0);
  entry_finish (&entry);
  log_info ("stop", "Done.");
  return 0;
}
