#include "fleetd.h"

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>

#include "common/log.h"
#include "common/loop_timer.h"
#include "common/program.h"

enum
{
  STOP_TICK_MS = 20,
  /* Minimum duration of a shutdown, for peers and operators to receive responses already sent. */
  STOP_LINGER_MS = 100,
  /* The maximum time to wait for the claim's release to be written. */
  STOP_RELEASE_MS = 1000,
};

/* Arms a one-shot timer, replacing its previous delay. */
void
fleetd_set_timer (struct fleetd *fleetd, ev_timer *timer, int64_t delay_ms)
{
  loop_timer_arm (fleetd->loop, timer, delay_ms);
}

/* Returns a random number below a limit, or 0 if the limit is 0. */
uint32_t
fleetd_random (struct fleetd *fleetd, uint32_t limit)
{
  return limit > 0 ? g_rand_int (fleetd->random) % limit : 0;
}

/* Returns whether the state may be served to entryds and operators. */
bool
fleetd_is_ready (const struct fleetd *fleetd)
{
  return fleetd->bootstrap.stage == BOOTSTRAP_READY;
}

/* Replaces the state by a loaded one, or frees the loaded one if it is not ahead. Aborts the
 * process if the loaded state violates an invariant. */
bool
fleetd_replace_state (struct fleetd *fleetd, struct fleet *fleet)
{
  if (fleet_offset (fleet) <= fleet_offset (fleetd->fleet))
    {
      fleet_destroy (fleet);
      return false;
    }
  fleet_check (fleet);
  fleet_destroy (fleetd->fleet);
  fleetd->fleet = fleet;
  fleetd->snapshots.last_offset = fleet_offset (fleet);
  executor_driver_claim_read (&fleetd->executor_driver);
  return true;
}

/* Lets every part that depends on the state do what is due. */
void
fleetd_state_changed (struct fleetd *fleetd)
{
  bootstrap_check_ready (&fleetd->bootstrap);
  feed_advance (&fleetd->feed);
  executor_driver_advance (&fleetd->executor_driver);
  snapshots_check (&fleetd->snapshots);
}

/* Releases the claim once no write is pending. A release that was submitted before a pending
 * renewal of the claim is read back would be rejected. */
static void
fleetd_release (struct fleetd *fleetd)
{
  if (fleetd->claim_released || !log_writer_is_idle (&fleetd->writer))
    return;
  fleetd->claim_released = true;
  if (executor_driver_holds_claim (&fleetd->executor_driver))
    executor_release (fleetd->executor_driver.executor, fleetd->fleet, fleetd->clock.now_ms);
}

/* Exits the event loop once all operator requests are answered and all records are written, or when
 * the time is over. */
static void
fleetd_stop_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct fleetd *fleetd = timer->data;
  bool answered;
  bool written;

  (void) events;
  clock_update (&fleetd->clock);
  fleetd_release (fleetd);
  answered =
      fleetd->operators.n_pending == 0 && http_server_open_requests (fleetd->operators.server) == 0;
  written = log_writer_is_idle (&fleetd->writer) ||
            fleetd->clock.now_ms >= fleetd->stop_started_ms + STOP_RELEASE_MS;
  if ((answered && written) || fleetd->clock.now_ms >= fleetd->stop_deadline_ms)
    {
      log_info ("main", "Stopped at offset %" PRIu64 ".", fleet_offset (fleetd->fleet));
      ev_break (loop, EVBREAK_ALL);
      return;
    }
  fleetd_set_timer (fleetd, timer, STOP_TICK_MS);
}

/* Starts a graceful shutdown: reports not ready, releases the claim, and waits for pending operator
 * requests. */
static void
fleetd_stop (struct ev_loop *loop, ev_signal *signal, int events)
{
  struct fleetd *fleetd = signal->data;

  (void) loop;
  (void) events;
  if (fleetd->stopping)
    return;
  clock_update (&fleetd->clock);
  log_info ("main", "Stopping.");
  fleetd->stopping = true;
  fleetd_release (fleetd);
  fleetd->stop_started_ms = fleetd->clock.now_ms;
  fleetd->stop_deadline_ms = fleetd->clock.now_ms + fleetd->settings->operator_wait_ms;
  http_server_quiesce (fleetd->operators.server);
  fleetd_set_timer (fleetd, &fleetd->stop_timer, STOP_LINGER_MS);
}

/* Initializes all parts. Returns false if a port can't be opened or a setting is invalid. */
static bool
fleetd_init (struct fleetd *fleetd)
{
  const Sp__FleetdSettings *settings = fleetd->settings;
  char ip[64];
  uint16_t port;

  if (settings_parse_endpoint (settings->platform, ip, &port) < 0)
    {
      log_error ("main", "Invalid platform address, not IP:PORT: %s.", settings->platform);
      return false;
    }
  clock_update (&fleetd->clock);
  fleetd->random = settings->seed ? g_rand_new_with_seed (settings->seed) : g_rand_new ();
  fleetd->fleet = fleet_create ();
  fleetd->platform =
      platform_http_create (fleetd->loop, ip, port, (long) settings->platform_timeout_ms);
  snapshots_init (&fleetd->snapshots, fleetd);
  ev_init (&fleetd->stop_timer, fleetd_stop_due);
  fleetd->stop_timer.data = fleetd;
  if (!admin_init (fleetd) || !feed_init (&fleetd->feed, fleetd) ||
      !operators_init (&fleetd->operators, fleetd))
    {
      log_error ("main", "Startup failed: a port can't be opened or a peer address is invalid.");
      return false;
    }
  executor_driver_init (&fleetd->executor_driver, fleetd);
  record_table_init (&fleetd->records);
  log_writer_init (&fleetd->writer, fleetd);
  bootstrap_init (&fleetd->bootstrap, fleetd);
  log_reader_init (&fleetd->reader, fleetd);
  platform_poller_init (&fleetd->platform_poller, fleetd);
  batch_scheduler_init (&fleetd->batch_scheduler, fleetd);
  return true;
}

static void
fleetd_finish (struct fleetd *fleetd)
{
  ev_timer_stop (fleetd->loop, &fleetd->stop_timer);
  platform_poller_finish (&fleetd->platform_poller);
  batch_scheduler_finish (&fleetd->batch_scheduler);
  log_reader_finish (&fleetd->reader);
  bootstrap_finish (&fleetd->bootstrap);
  log_writer_finish (&fleetd->writer);
  record_table_finish (&fleetd->records);
  platform_destroy (fleetd->platform);
  executor_driver_finish (&fleetd->executor_driver);
  operators_finish (&fleetd->operators);
  feed_finish (&fleetd->feed);
  admin_finish (fleetd);
  snapshots_finish (&fleetd->snapshots);
  fleet_destroy (fleetd->fleet);
  g_rand_free (fleetd->random);
}

/* Runs the daemon until SIGTERM or SIGINT. */
int
main (int argc, char **argv)
{
  Sp__FleetdSettings settings = SP__FLEETD_SETTINGS__INIT;
  struct fleetd fleetd = { .settings = &settings };
  enum program_exit started = program_start (
      &fleetd_schema, &settings.base, "sesamepick-fleetd",
      "Follows the platform's log, executes plans and sends route tables to the entryds.", argc,
      argv);
  ev_signal term;
  ev_signal interrupt;

  if (started != PROGRAM_STARTED)
    return started;
  fleetd.loop = ev_default_loop (0);
  if (!fleetd_init (&fleetd))
    return PROGRAM_EXIT_BAD_SETTINGS;
  ev_signal_init (&term, fleetd_stop, SIGTERM);
  term.data = &fleetd;
  ev_signal_start (fleetd.loop, &term);
  ev_signal_init (&interrupt, fleetd_stop, SIGINT);
  interrupt.data = &fleetd;
  ev_signal_start (fleetd.loop, &interrupt);
  ev_run (fleetd.loop, 0);
  fleetd_finish (&fleetd);
  return 0;
}
