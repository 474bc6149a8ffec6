#include <signal.h>
#include <stdio.h>

#include "common/log.h"
#include "common/program.h"
#include "settings.pb-c.h"
#include "worker.h"

/* Stops the event loop on a signal. */
static void
on_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  (void) watcher;
  (void) events;
  ev_break (loop, EVBREAK_ALL);
}

/* Creates all workers of the process. Returns NULL if a port is in use. */
static GPtrArray *
workers_create (struct ev_loop *loop, const Sp__WorkerSettings *settings, GRand *random)
{
  GPtrArray *workers = g_ptr_array_new_with_free_func ((GDestroyNotify) worker_destroy);
  struct worker_limits limits = {
    .slots = settings->slots,
    .connections = settings->connections,
    .service_ms = settings->service_ms,
  };

  for (uint32_t i = 0; i < settings->count; i++)
    {
      uint16_t port = (uint16_t) (settings->port + i);
      struct worker *worker = worker_create (loop, settings->listen_address, port, &limits, random);

      if (!worker)
        {
          log_error ("main",
                     "Can't listen on %s:%u: the address is invalid, or the port is in use.",
                     settings->listen_address, port);
          g_ptr_array_unref (workers);
          return NULL;
        }
      g_ptr_array_add (workers, worker);
    }
  return workers;
}

int
main (int argc, char **argv)
{
  enum program_exit started;
  Sp__WorkerSettings settings = SP__WORKER_SETTINGS__INIT;
  struct ev_loop *loop = ev_default_loop (0);
  ev_signal terminate;
  GPtrArray *workers;
  GRand *random;

  started = program_start (&worker_schema, &settings.base, "standin-worker",
                           "Simulates the workers of a service for tests.", argc, argv);
  if (started != PROGRAM_STARTED)
    return started;
  random = settings.seed ? g_rand_new_with_seed (settings.seed) : g_rand_new ();
  workers = workers_create (loop, &settings, random);
  if (!workers)
    return PROGRAM_EXIT_BAD_SETTINGS;
  ev_signal_init (&terminate, on_signal, SIGTERM);
  ev_signal_start (loop, &terminate);
  log_info ("main", "Ready: %u workers on ports from %u.", settings.count, settings.port);
  ev_run (loop, 0);
  g_ptr_array_unref (workers);
  g_rand_free (random);
  return 0;
}
