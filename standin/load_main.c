#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "common/log.h"
#include "common/settings.h"
#include "load.h"

enum
{
  /* Also returned if the guarantees could not be checked. */
  EXIT_VIOLATION = 1,
  EXIT_BAD_SETTINGS = 2,
  IDLE_CONNECTIONS_MAX = 4096,
  IDLE_REUSE_MS = 2000,
  HEALTH_TIMEOUT_MS = 500,
  MS_PER_S = 1000,
};

static const double arrival_period_s = 0.001;
static const double health_period_s = 0.2;
/* Factor on the mean rate of a service while another service has its burst. */
static const double off_burst_factor = 0.05;

/* Returns a service's current rate. With bursts, it is above the mean rate in the burst periods of
 * this service and below it in those of the others. */
static double
load_rate (const struct load *load, guint service_index)
{
  const struct load_service *service = load->services->pdata[service_index];

  if (load->settings->burst <= 1)
    return service->mean_rate_per_s;
  if ((guint) load->phase % load->services->len == service_index)
    return service->mean_rate_per_s * load->settings->burst;
  return service->mean_rate_per_s * off_burst_factor;
}

/* Draws the exponentially distributed time to a service's next arrival. */
static double
load_interarrival_s (const struct load *load, guint service_index)
{
  return -log1p (-g_rand_double (load->random)) / load_rate (load, service_index);
}

/* Starts the next burst period when the current one is over, and draws the next arrivals again at
 * the new rates. */
static void
load_set_phase (struct load *load, double now_s)
{
  int phase = (int) ((now_s - load->start_s) * MS_PER_S / load->settings->burst_ms);

  if (phase == load->phase)
    return;
  load->phase = phase;
  for (guint i = 0; i < load->services->len; i++)
    {
      struct load_service *service = load->services->pdata[i];

      service->next_arrival_s = now_s + load_interarrival_s (load, i);
    }
}

/* Sends all requests that are due, without waiting for earlier ones (an open-loop load). */
static void
load_on_arrivals (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct load *load = watcher->data;
  double now_s = ev_now (loop);

  (void) events;
  if (now_s - load->start_s >= load->settings->seconds)
    {
      load->arrivals_done = true;
      ev_timer_stop (loop, watcher);
      return;
    }
  load_set_phase (load, now_s);
  for (guint i = 0; i < load->services->len; i++)
    {
      struct load_service *service = load->services->pdata[i];

      while (service->next_arrival_s <= now_s)
        {
          load_send (load, service);
          service->next_arrival_s += load_interarrival_s (load, i);
        }
    }
}

/* Stores an entry host's readiness; a failed health check means not ready. */
static void
entry_on_health (void *ctx, const struct http_call_done *done)
{
  struct load_entry *entry = ctx;

  entry->ready = done->result == HTTP_CALL_ANSWERED && done->status == 200;
}

/* Checks the health of all entry hosts, as a load balancer does. */
static void
load_on_health (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct load *load = watcher->data;

  (void) loop;
  (void) events;
  for (guint i = 0; i < load->entries->len; i++)
    {
      struct load_entry *entry = load->entries->pdata[i];
      struct http_call_config config = {
        .method = "GET",
        .url = entry->admin_url,
        .connect_timeout_ms = HEALTH_TIMEOUT_MS,
        .timeout_ms = HEALTH_TIMEOUT_MS,
        .body_limit = 1024,
        .fresh_connection = true,
        .done = entry_on_health,
        .ctx = entry,
      };

      if (entry->admin_url)
        http_call_create (load->client, &config);
    }
}

/* Reads the addresses of the entry hosts and of their admin ports from the settings. */
static bool
load_read_entries (struct load *load)
{
  g_auto (GStrv) addresses = settings_split_list (load->settings->entries);
  g_auto (GStrv) admins = settings_split_list (load->settings->admins);
  guint n_admins = g_strv_length (admins);

  if (n_admins != 0 && n_admins != g_strv_length (addresses))
    return false;
  load->entries = g_ptr_array_new ();
  for (guint i = 0; addresses[i]; i++)
    {
      struct load_entry *entry = g_new0 (struct load_entry, 1);

      entry->address = g_strdup (addresses[i]);
      entry->admin_url = n_admins ? g_strdup_printf ("http://%s/healthz", admins[i]) : NULL;
      entry->ready = true;
      g_ptr_array_add (load->entries, entry);
    }
  return load->entries->len > 0;
}

/* Reads the services and their mean rates from the settings. */
static bool
load_read_services (struct load *load)
{
  g_auto (GStrv) list = settings_split_list (load->settings->services);

  load->services = g_ptr_array_new ();
  for (size_t i = 0; list[i]; i++)
    {
      char *equals = strchr (list[i], '=');
      struct load_service *service = g_new0 (struct load_service, 1);

      service->mean_rate_per_s = equals ? g_ascii_strtod (equals + 1, NULL) : 0;
      if (!equals || !(service->mean_rate_per_s > 0))
        {
          g_free (service);
          return false;
        }
      service->name = g_strndup (list[i], (gsize) (equals - list[i]));
      g_ptr_array_add (load->services, service);
    }
  return load->services->len > 0;
}

/* Sends the load and waits until the last request has ended. */
static void
load_run (struct load *load)
{
  load->start_s = ev_now (load->loop);
  load->phase = -1;
  load_set_phase (load, load->start_s);
  ev_timer_init (&load->arrivals, load_on_arrivals, arrival_period_s, arrival_period_s);
  ev_timer_init (&load->health, load_on_health, 0.0, health_period_s);
  load->arrivals.data = load;
  load->health.data = load;
  ev_timer_start (load->loop, &load->arrivals);
  ev_timer_start (load->loop, &load->health);
  while (!load->arrivals_done || load->open_requests > 0)
    ev_run (load->loop, EVRUN_ONCE);
  ev_timer_stop (load->loop, &load->health);
}

int
main (int argc, char **argv)
{
  Sp__LoadSettings settings = SP__LOAD_SETTINGS__INIT;
  struct load load = { .settings = &settings };
  int64_t violations;

  switch (settings_read (&load_schema, &settings.base, "sesamepick-load",
                         "Sends requests to entry hosts and checks their outcomes.", argc, argv,
                         NULL, NULL))
    {
    case SETTINGS_INFO_PRINTED:
      return 0;
    case SETTINGS_INVALID:
      return EXIT_BAD_SETTINGS;
    case SETTINGS_OK:
      break;
    }
  log_init ("load", "info");
  signal (SIGPIPE, SIG_IGN);
  if (!load_read_entries (&load) || !load_read_services (&load))
    {
      fprintf (stderr, "sesamepick-load: entries, admins or services are malformed, or admins and "
                       "entries differ in number\n");
      return EXIT_BAD_SETTINGS;
    }
  load.loop = ev_default_loop (0);
  load.client = http_client_create (load.loop, IDLE_REUSE_MS, IDLE_CONNECTIONS_MAX);
  load.random = settings.seed ? g_rand_new_with_seed (settings.seed) : g_rand_new ();
  load.reasons = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  load.guarantees = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  load_run (&load);
  violations = load_check (&load);
  load_print (&load, violations);
  fflush (stdout);
  return violations == 0 && load.outcomes[LOAD_WRONG_RESPONSE] == 0 &&
                 load.outcomes[LOAD_NO_RESPONSE] <= settings.cut_limit
             ? 0
             : EXIT_VIOLATION;
}
