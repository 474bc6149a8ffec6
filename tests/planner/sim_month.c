#include "sim_month.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum
{
  HOUR_MS = 3600 * 1000,
  HOURS_PER_DAY = 24,
  MOVE_RATE_DAYS = 10,
  EXTRA_LAG_HOURS = 36,
  REPLACED_PERMILLE = 300,
  PERMILLE = 1000,
  MOVE_SOURCE_HOSTS_MIN = 5,
  /* Simulated hours from the start for which reports can be queued. */
  PENDING_REPORT_HOURS = 24 * 200,
};

/* 2026-12-01T00:00:00Z. */
static const int64_t START_MS = 1796083200000;

struct sim_host
{
  char *name;
  uint32_t pool;
  uint32_t rack;
  bool up;
  int64_t returns_at_ms;
};

struct sim_pending_report
{
  char *host;
  uint32_t pool;
  int64_t from_ms;
};

static void
sim_host_free (void *data)
{
  struct sim_host *host = data;

  g_free (host->name);
  g_free (host);
}

static void
sim_pending_report_free (void *data)
{
  struct sim_pending_report *report = data;

  g_free (report->host);
  g_free (report);
}

static void
sim_pending_reports_free (void *data)
{
  if (data)
    g_ptr_array_unref (data);
}

/* Returns true with the given probability. */
static bool
sim_draw (struct sim_month *month, double probability)
{
  return g_rand_double (month->rand) < probability;
}

/* Draws a duration from an exponential distribution. */
static int64_t
sim_draw_ms (struct sim_month *month, double mean_ms)
{
  return (int64_t) (-mean_ms * log (1 - g_rand_double (month->rand)));
}

/* Returns the number of pools, including the spare pool. */
uint32_t
sim_month_count_pools (const struct sim_month *month)
{
  return month->layout.n_pools + 1;
}

const char *
sim_month_pool_name (const struct sim_month *month, uint32_t pool)
{
  static const char *const names[SIM_POOLS_MAX] = {
    "p0", "p1", "p2", "p3", "p4", "p5", "p6", "p7"
  };

  return pool == month->layout.n_pools ? "spare" : names[pool];
}

double
sim_month_price (const struct sim_month *month, double host_ms, double moves)
{
  double paid = (double) (PERMILLE - month->layout.discount_permille) / PERMILLE;

  return host_ms / HOUR_MS * (double) month->layout.price_micros_per_hour * paid +
         moves * (double) month->layout.move_micros;
}

/* Reports to the fleet that a host is present or gone. */
static void
sim_month_report_host (struct sim_month *month, const struct sim_host *host)
{
  g_autofree char *rack = g_strdup_printf ("r%u", host->rack);

  sim_report_host (&month->sim, host->name, sim_month_pool_name (month, host->pool), rack, "dc0",
                   host->up ? SP__HOST_PRESENCE__HOST_PRESENCE_LIVE
                            : SP__HOST_PRESENCE__HOST_PRESENCE_GONE);
}

/* Lets hosts fail, and lets failed hosts return, some of them replaced under a new name. */
static void
sim_month_fail_hosts (struct sim_month *month)
{
  double hourly = (double) month->rates.failures_permille / PERMILLE / HOURS_PER_DAY;

  for (guint i = 0; i < month->hosts->len; i++)
    {
      struct sim_host *host = g_ptr_array_index (month->hosts, i);

      if (host->up && sim_draw (month, hourly))
        {
          host->up = false;
          host->returns_at_ms =
              month->sim.now_ms + sim_draw_ms (month, (double) month->rates.repair_hours * HOUR_MS);
          sim_month_report_host (month, host);
        }
      else if (!host->up && host->returns_at_ms <= month->sim.now_ms)
        {
          host->up = true;
          if (sim_draw (month, (double) REPLACED_PERMILLE / PERMILLE))
            {
              g_free (host->name);
              host->name = g_strdup_printf ("n%05u", month->next_host++);
            }
          sim_month_report_host (month, host);
        }
    }
}

/* Moves a host that is up from one pool to another, unless the source pool is too small. */
static void
sim_month_move_host (struct sim_month *month, uint32_t from, uint32_t to)
{
  g_autofree char *id = g_strdup_printf ("move-%u", month->next_plan++);
  struct sim_host *moved = NULL;
  uint32_t size = 0;

  for (guint i = 0; i < month->hosts->len; i++)
    {
      struct sim_host *host = g_ptr_array_index (month->hosts, i);

      if (!host->up || host->pool != from)
        continue;
      moved = host;
      size++;
    }
  if (from == to || size <= MOVE_SOURCE_HOSTS_MIN)
    return;
  sim_move (&month->sim, id, moved->name, sim_month_pool_name (month, from),
            sim_month_pool_name (month, to));
  moved->pool = to;
  month->moves_in[to]++;
}

/* Draws this hour's moves. */
static void
sim_month_moves (struct sim_month *month)
{
  double hours = (double) MOVE_RATE_DAYS * HOURS_PER_DAY;
  gint32 n = (gint32) sim_month_count_pools (month);

  if (sim_draw (month, month->rates.moves / hours))
    sim_month_move_host (month, (uint32_t) g_rand_int_range (month->rand, 0, n),
                         (uint32_t) g_rand_int_range (month->rand, 0, n));
  if (sim_draw (month, month->rates.trend_moves / hours))
    sim_month_move_host (month, month->layout.n_pools, 0);
}

/* Queues a host's report of the past hour, or drops it. */
static void
sim_month_queue_report (struct sim_month *month, const struct sim_host *host)
{
  int64_t lag = (int64_t) month->rates.lag_hours * HOUR_MS;
  struct sim_pending_report *report;
  int64_t hour;

  if (sim_draw (month, (double) month->rates.lost_permille / PERMILLE))
    return;
  if (sim_draw (month, (double) month->rates.late_permille / PERMILLE))
    lag += (int64_t) EXTRA_LAG_HOURS * HOUR_MS;
  hour = (month->sim.now_ms + lag - month->start_ms) / HOUR_MS;
  if (hour >= PENDING_REPORT_HOURS)
    return;
  report = g_new0 (struct sim_pending_report, 1);
  report->host = g_strdup (host->name);
  report->pool = host->pool;
  report->from_ms = month->sim.now_ms - HOUR_MS;
  if (!month->pending_reports->pdata[hour])
    month->pending_reports->pdata[hour] = g_ptr_array_new_with_free_func (sim_pending_report_free);
  g_ptr_array_add (month->pending_reports->pdata[hour], report);
}

/* Counts the past hour of all hosts that are up, and queues their reports. */
static void
sim_month_count_hour (struct sim_month *month)
{
  for (guint i = 0; i < month->hosts->len; i++)
    {
      const struct sim_host *host = g_ptr_array_index (month->hosts, i);

      if (!host->up)
        continue;
      month->host_ms[host->pool] += HOUR_MS;
      sim_month_queue_report (month, host);
    }
}

/* Delivers the reports that are due now. */
static void
sim_month_deliver_reports (struct sim_month *month)
{
  int64_t hour = (month->sim.now_ms - month->start_ms) / HOUR_MS;
  GPtrArray *pending_reports = month->pending_reports->pdata[hour];

  for (guint i = 0; pending_reports && i < pending_reports->len; i++)
    {
      const struct sim_pending_report *report = g_ptr_array_index (pending_reports, i);

      sim_report_usage (&month->sim, report->host, sim_month_pool_name (month, report->pool),
                        report->from_ms, report->from_ms + HOUR_MS);
    }
}

/* Sends the invoice of the month that has ended and starts the next month. */
static void
sim_month_start_next (struct sim_month *month)
{
  char name[8];

  usage_month_name (month->month.start_ms, name);
  for (uint32_t i = 0; i < sim_month_count_pools (month); i++)
    {
      double micros = sim_month_price (month, (double) month->host_ms[i], month->moves_in[i]);

      sim_invoice (&month->sim, sim_month_pool_name (month, i), name, (uint64_t) micros);
      month->host_ms[i] = 0;
      month->moves_in[i] = 0;
    }
  month->month = month_of (month->sim.now_ms);
}

/* Advances the simulation by one hour. */
static void
sim_month_advance_hour (struct sim_month *month)
{
  month->sim.now_ms += HOUR_MS;
  sim_month_count_hour (month);
  if (month->sim.now_ms >= month->month.end_ms)
    return;
  sim_month_fail_hosts (month);
  sim_month_moves (month);
  sim_month_deliver_reports (month);
}

void
sim_month_run (struct sim_month *month, uint32_t hours)
{
  for (uint32_t i = 0; i < hours; i++)
    {
      sim_month_advance_hour (month);
      if (month->sim.now_ms >= month->month.end_ms)
        sim_month_start_next (month);
    }
}

void
sim_month_finish (struct sim_month *month, double truth[SIM_POOLS_MAX])
{
  while (month->sim.now_ms < month->month.end_ms)
    sim_month_advance_hour (month);
  for (uint32_t i = 0; i < sim_month_count_pools (month); i++)
    truth[i] = sim_month_price (month, (double) month->host_ms[i], month->moves_in[i]);
}

void
sim_month_init (struct sim_month *month, const struct sim_layout *layout,
                const struct sim_rates *rates, uint32_t seed)
{
  const struct host *host;

  memset (month, 0, sizeof *month);
  month->layout = *layout;
  month->rates = *rates;
  month->start_ms = START_MS;
  month->month = month_of (START_MS);
  month->rand = g_rand_new_with_seed (seed);
  month->hosts = g_ptr_array_new_with_free_func (sim_host_free);
  month->pending_reports = g_ptr_array_new_with_free_func (sim_pending_reports_free);
  g_ptr_array_set_size (month->pending_reports, PENDING_REPORT_HOURS);
  sim_fleet_init (&month->sim, layout, START_MS);
  for (uint32_t pool = 0; pool < sim_month_count_pools (month); pool++)
    {
      const char *name = sim_month_pool_name (month, pool);

      LIST_FOREACH (host, &fleet_find_pool (month->sim.fleet, name)->hosts, pool_link)
        {
          struct sim_host *to = g_new0 (struct sim_host, 1);

          to->name = g_strdup (host->name);
          to->pool = pool;
          to->up = true;
          to->rack = (uint32_t) strtoul (host->rack + 1, NULL, 10);
          g_ptr_array_add (month->hosts, to);
        }
    }
}

void
sim_month_clear (struct sim_month *month)
{
  sim_fleet_clear (&month->sim);
  g_rand_free (month->rand);
  g_ptr_array_unref (month->hosts);
  g_ptr_array_unref (month->pending_reports);
}
