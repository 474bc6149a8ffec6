#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "soak.h"

/* The series of faults of a round. Several series, one a place, are drawn from the seed before the
 * first fault, and overlap. */

enum
{
  FAULTS_MS = 8000,
  ENDPOINTS = 6,
};

enum event_kind
{
  EVENT_STORE,
  EVENT_PROXY,
  EVENT_CONFIGURATION,
  EVENT_SIGNAL,
  EVENT_START,
};

struct event
{
  int64_t at_ms;
  enum event_kind kind;
  /* Host of EVENT_SIGNAL and EVENT_START. */
  unsigned host;
  /* Signal, or version of the configuration. */
  int number;
  /* Body of the request that sets the fault. */
  char body[96];
};

struct series
{
  GRand *rand;
  GArray *events;
};

static int
draw (const struct series *series, int from, int to)
{
  return g_rand_int_range (series->rand, from, to);
}

static void
series_add (const struct series *series, struct event event)
{
  g_array_append_val (series->events, event);
}

/* Adds an event that sets a fault by a request. */
static void
series_add_request (const struct series *series, int64_t at_ms, enum event_kind kind,
                    const char *body)
{
  struct event event = { .at_ms = at_ms, .kind = kind };

  g_strlcpy (event.body, body, sizeof event.body);
  series_add (series, event);
}

/* Faults of the store: lost responses followed by 503, no responses, 503 alone. */
static void
draw_store_faults (const struct series *series)
{
  static const char *const modes[] = { "cut",     "cut",  "mix",    "mix", "mix",
                                       "gateway", "busy", "silent", "mute" };

  for (int at_ms = draw (series, 200, 1000); at_ms < FAULTS_MS; at_ms += draw (series, 100, 1000))
    {
      g_autofree char *body = g_strdup_printf (
          "{\"store\":\"%s\",\"seed\":%d,\"permille\":%d,\"busy_ms\":%d}",
          modes[draw (series, 0, G_N_ELEMENTS (modes))], draw (series, 1, G_MAXINT32),
          draw (series, 50, 600), draw (series, 0, 4) == 0 ? 0 : draw (series, 100, 2000));

      series_add_request (series, at_ms, EVENT_STORE, body);
      at_ms += draw (series, 100, 2500);
      series_add_request (series, at_ms, EVENT_STORE, "{\"store\":\"up\"}");
    }
}

/* Times at which the store rejects the reads of every other host. */
static void
draw_partial_store_faults (const struct series *series)
{
  for (int at_ms = draw (series, 200, 4000); at_ms < FAULTS_MS; at_ms += draw (series, 500, 4000))
    {
      series_add_request (series, at_ms, EVENT_STORE, "{\"second_reads\":\"refused\"}");
      at_ms += draw (series, 100, 2500);
      series_add_request (series, at_ms, EVENT_STORE, "{\"second_reads\":\"up\"}");
    }
}

/* Faults of a port of the proxy. */
static void
draw_proxy_faults (const struct series *series, unsigned port, int gap_max_ms)
{
  static const char *const modes[] = { "cut", "cut", "silent", "freeze", "refuse", "delay" };

  for (int at_ms = draw (series, 200, gap_max_ms); at_ms < FAULTS_MS;
       at_ms += draw (series, 200, gap_max_ms))
    {
      const char *mode = modes[draw (series, 0, G_N_ELEMENTS (modes))];
      int delay_ms = strcmp (mode, "delay") == 0 ? draw (series, 5, 400) : 0;
      g_autofree char *body =
          g_strdup_printf ("{\"port\":%u,\"mode\":\"%s\",\"delay_ms\":%d}", port, mode, delay_ms);
      g_autofree char *end =
          g_strdup_printf ("{\"port\":%u,\"mode\":\"none\",\"delay_ms\":0}", port);

      series_add_request (series, at_ms, EVENT_PROXY, body);
      at_ms += draw (series, 50, 2500);
      series_add_request (series, at_ms, EVENT_PROXY, end);
    }
}

/* Stops, kills and freezes of a host. */
static void
draw_process_faults (const struct series *series, unsigned host)
{
  static const int signals[] = { SIGTERM, SIGKILL, SIGSTOP };

  for (int at_ms = draw (series, 300, 5000); at_ms < FAULTS_MS; at_ms += draw (series, 500, 4000))
    {
      int signal = signals[draw (series, 0, G_N_ELEMENTS (signals))];
      struct event begin = { at_ms, EVENT_SIGNAL, host, signal, "" };
      struct event end = { at_ms, EVENT_SIGNAL, host, SIGCONT, "" };

      at_ms += signal == SIGTERM ? draw (series, 1000, 3000) : draw (series, 50, 3500);
      end.at_ms = at_ms;
      if (signal != SIGSTOP)
        end.kind = EVENT_START;
      series_add (series, begin);
      series_add (series, end);
    }
}

/* Endpoints that don't respond for a while, and calls to endpoints whose response is lost. */
static void
draw_endpoint_faults (const struct series *series)
{
  g_autofree char *calls =
      g_strdup_printf ("{\"endpoints\":%d,\"seed\":%d,\"busy_ms\":%d}", draw (series, 0, 150),
                       draw (series, 1, G_MAXINT32), draw (series, 0, 1000));

  series_add_request (series, 0, EVENT_STORE, calls);
  for (int at_ms = draw (series, 200, 2500); at_ms < FAULTS_MS; at_ms += draw (series, 200, 2500))
    {
      int machine = draw (series, 0, ENDPOINTS);
      g_autofree char *dark = g_strdup_printf ("{\"dark\":\"m-%d\"}", machine);
      g_autofree char *light = g_strdup_printf ("{\"light\":\"m-%d\"}", machine);

      series_add_request (series, at_ms, EVENT_STORE, dark);
      at_ms += draw (series, 100, 2500);
      series_add_request (series, at_ms, EVENT_STORE, light);
    }
}

/* Changes of the configuration. */
static void
draw_configurations (const struct series *series)
{
  int version = 2;

  for (int at_ms = draw (series, 500, 4000); at_ms < FAULTS_MS; at_ms += draw (series, 500, 4000))
    series_add (series, (struct event){ at_ms, EVENT_CONFIGURATION, 0, version++, "" });
}

static gint
event_compare (gconstpointer a, gconstpointer b)
{
  const struct event *first = a;
  const struct event *second = b;

  return (first->at_ms > second->at_ms) - (first->at_ms < second->at_ms);
}

/* Draws all series of a seed, sorted by time. Faults of the store and of its links are in each
 * round; the other places have faults in some. */
static GArray *
draw_events (const struct soak *soak)
{
  struct series series = { g_rand_new_with_seed (soak->seed),
                           g_array_new (FALSE, FALSE, sizeof (struct event)) };
  bool links = draw (&series, 0, 3) > 0;
  bool callers = draw (&series, 0, 2) > 0;
  bool processes = draw (&series, 0, 2) > 0;
  bool endpoints = draw (&series, 0, 2) > 0;
  bool partial = draw (&series, 0, 2) > 0;

  draw_store_faults (&series);
  draw_configurations (&series);
  if (endpoints)
    draw_endpoint_faults (&series);
  if (partial)
    draw_partial_store_faults (&series);
  for (unsigned host = 0; host < soak->n_hosts; host++)
    {
      if (links)
        {
          draw_proxy_faults (&series, soak_hosts_store_port (soak, host), 4000);
          draw_proxy_faults (&series, soak_hosts_machines_port (soak, host), 6000);
        }
      if (callers)
        draw_proxy_faults (&series, soak_hosts_caller_port (soak, host), 6000);
      if (processes)
        draw_process_faults (&series, host);
    }
  g_array_sort (series.events, event_compare);
  g_rand_free (series.rand);
  return series.events;
}

/* Ends a daemon that has not ended since its SIGTERM, and starts it again. */
static void
soak_restart_jobd (struct soak *soak, unsigned host)
{
  process_destroy (soak->jobds[host]);
  soak_hosts_start_jobd (soak, host);
}

static void
event_apply (struct soak *soak, const struct event *event)
{
  switch (event->kind)
    {
    case EVENT_STORE:
      soak_hosts_post (soak, "/faults", event->body);
      break;
    case EVENT_PROXY:
      soak_hosts_post_proxy (soak, event->body);
      break;
    case EVENT_CONFIGURATION:
      soak_hosts_configure (soak, (unsigned) event->number);
      break;
    case EVENT_SIGNAL:
      soak_hosts_signal (soak, event->host, event->number);
      break;
    case EVENT_START:
      soak_restart_jobd (soak, event->host);
      break;
    }
}

/* Ends all faults. */
static void
soak_faults_end (struct soak *soak)
{
  soak_hosts_post (soak, "/faults", "{\"store\":\"up\",\"endpoints\":0,\"second_reads\":\"up\"}");
  soak_hosts_post_proxy (soak, "{\"mode\":\"none\",\"delay_ms\":0}");
  for (unsigned endpoint = 0; endpoint < ENDPOINTS; endpoint++)
    {
      g_autofree char *light = g_strdup_printf ("{\"light\":\"m-%u\"}", endpoint);

      soak_hosts_post (soak, "/faults", light);
    }
  for (unsigned host = 0; host < soak->n_hosts; host++)
    {
      soak_hosts_signal (soak, host, SIGCONT);
      if (!soak->should_run[host])
        soak_restart_jobd (soak, host);
    }
}

void
soak_faults_run (struct soak *soak, bool print)
{
  GArray *events = draw_events (soak);

  for (guint i = 0; i < events->len; i++)
    {
      const struct event *event = &g_array_index (events, struct event, i);

      if (event->at_ms >= FAULTS_MS)
        break;
      if (print)
        printf ("%6d kind %d host %u number %d %s\n", (int) event->at_ms, event->kind, event->host,
                event->number, event->body);
      test_sleep_ms (MAX (soak->begun_ms + event->at_ms - test_now_ms (), 0));
      soak_hosts_check_running (soak);
      event_apply (soak, event);
    }
  test_sleep_ms (MAX (soak->begun_ms + FAULTS_MS - test_now_ms (), 0));
  soak_faults_end (soak);
  g_array_unref (events);
}
