#include "lib/host_demand/host_demand.h"

#include <glib.h>

enum
{
  PERMILLE = 1000,
  /* Window over which the arrival rate is computed. It is short, because demand rises within a
   * second when a queue's busy period begins. */
  ARRIVAL_WINDOW_MS = 1000,
  /* Shortest time that arrivals are averaged over, so that a few that come together don't look like
   * a high rate. */
  ARRIVAL_WINDOW_MIN_MS = 300,
  /* Window whose arrivals show a rise, compared with those of the rest of ARRIVAL_WINDOW_MS. */
  RISE_WINDOW_MS = 300,
  /* Fewest arrivals in it that show a rise, and by which factor and how many standard deviations
   * they exceed those expected at the rate before. With three deviations, steady arrivals of 30 a
   * second showed 29 rises in 10 minutes, with four 5. */
  RISE_ARRIVALS_MIN = 6,
  RISE_FACTOR = 2,
  RISE_DEVIATIONS = 4,
  /* After this time the mean shows the new rate, unless it still rises. */
  RISE_MS = ARRIVAL_WINDOW_MS,
  /* The rate rises until a host that is requested now is ready, if at the present slope. A multiple
   * of the newest rate limits this, as the slope is that of few arrivals. */
  RISE_AHEAD_MS = 1800,
  RISE_AHEAD_FACTOR_MAX = 3,
  /* How long rises are ignored after one that did not last. A host that came for it goes back to
   * the standby pool within that time, and is not moved again for the next one. */
  FALSE_RISE_MS = 5000,
  /* Share of a host's capacity that is expected to be filled. A task uses about a tenth of a host,
   * so what is left is often too small for another one. */
  PACKING_PERMILLE = 850,
};

/* Returns a resource request multiplied by a fraction. */
static struct resources
resources_scale (const struct resources *request, int64_t numerator, int64_t denominator)
{
  return (struct resources){ .cpu_milli = request->cpu_milli * numerator / denominator,
                             .memory_mb = request->memory_mb * numerator / denominator,
                             .gpus = request->gpus * numerator / denominator };
}

int64_t
demand_step_start_ms (const uint32_t *prerequisites, size_t n, const int64_t *ends)
{
  int64_t start_ms = 0;

  for (size_t i = 0; i < n; i++)
    start_ms = MAX (start_ms, ends[prerequisites[i]]);
  return start_ms;
}

struct resources
demand_work (const struct demand_step *steps, size_t n_steps, int64_t horizon_ms)
{
  g_autofree int64_t *ends = g_new0 (int64_t, n_steps);
  struct resources sum = { 0 };

  for (size_t s = 0; s < n_steps; s++)
    {
      const struct demand_step *step = &steps[s];
      int64_t start_ms = demand_step_start_ms (step->prerequisites, step->n_prerequisites, ends);
      struct resources work;
      int64_t within_ms;

      ends[s] = start_ms + step->estimate_ms;
      within_ms = MAX (MIN (ends[s], horizon_ms) - start_ms, 0);
      work = resources_scale (&step->request, step->n_tasks * within_ms, 1);
      resources_add (&sum, &work);
    }
  return sum;
}

void
demand_add_work (struct demand *demand, const struct resources *work, int64_t now_ms)
{
  demand->arrivals[demand->next] = (struct demand_arrival){ .at_ms = now_ms, .work = *work };
  demand->next = (demand->next + 1) % DEMAND_ARRIVALS_MAX;
  demand->n = MIN (demand->n + 1, DEMAND_ARRIVALS_MAX);
}

/* The forecast is the work that arrived since the oldest arrival in the window, divided by the time
 * since then. The oldest arrival itself is not counted; it only marks the start of that time. */
struct resources
demand_forecast (const struct demand *demand, int64_t now_ms)
{
  struct resources sum = { 0 };
  struct resources oldest = { 0 };
  int64_t since_ms = now_ms;

  for (unsigned i = 1; i <= demand->n; i++)
    {
      const struct demand_arrival *arrival =
          &demand->arrivals[(demand->next + DEMAND_ARRIVALS_MAX - i) % DEMAND_ARRIVALS_MAX];

      if (now_ms - arrival->at_ms > ARRIVAL_WINDOW_MS)
        break;
      since_ms = arrival->at_ms;
      oldest = arrival->work;
      resources_add (&sum, &arrival->work);
    }
  oldest = resources_scale (&oldest, -1, 1);
  resources_add (&sum, &oldest);
  return resources_scale (&sum, 1, MAX (now_ms - since_ms, ARRIVAL_WINDOW_MIN_MS));
}

/* Arrivals of the rise window, of one as long before it, and all those before it over before_ms. */
struct arrival_counts
{
  unsigned n;
  struct resources work;
  struct resources previous_work;
  unsigned n_before;
  int64_t before_ms;
};

/* Counts the arrivals of ARRIVAL_WINDOW_MS. */
static struct arrival_counts
demand_count (const struct demand *demand, int64_t now_ms)
{
  struct arrival_counts counts = { .before_ms = ARRIVAL_WINDOW_MS - RISE_WINDOW_MS };

  for (unsigned i = 1; i <= demand->n; i++)
    {
      const struct demand_arrival *arrival =
          &demand->arrivals[(demand->next + DEMAND_ARRIVALS_MAX - i) % DEMAND_ARRIVALS_MAX];
      int64_t age_ms = now_ms - arrival->at_ms;

      if (age_ms > ARRIVAL_WINDOW_MS)
        return counts;
      if (age_ms <= RISE_WINDOW_MS)
        {
          counts.n++;
          resources_add (&counts.work, &arrival->work);
        }
      else
        counts.n_before++;
      if (age_ms > RISE_WINDOW_MS && age_ms <= 2 * RISE_WINDOW_MS)
        resources_add (&counts.previous_work, &arrival->work);
      /* The ring buffer holds no older ones. */
      if (i == DEMAND_ARRIVALS_MAX)
        counts.before_ms = MAX (age_ms - RISE_WINDOW_MS, 0);
    }
  return counts;
}

/* Returns whether the newest arrivals are more than chance would bring at the rate before. */
static bool
counts_show_rise (const struct arrival_counts *counts)
{
  double expected;
  double excess;
  double variance;

  if (counts->n < RISE_ARRIVALS_MIN || counts->before_ms < RISE_WINDOW_MS)
    return false;
  expected = (double) counts->n_before * RISE_WINDOW_MS / (double) counts->before_ms;
  excess = counts->n - expected;
  /* Both counts vary by chance. */
  variance = expected * (1 + (double) RISE_WINDOW_MS / (double) counts->before_ms) + 1;
  return counts->n >= RISE_FACTOR * expected &&
         excess * excess >= RISE_DEVIATIONS * RISE_DEVIATIONS * variance;
}

/* Returns the rate in milli-cores and MB at which arrivals will come when a host that is requested
 * now is ready, by the newest rate and its slope. */
static struct resources
counts_rate_ahead (const struct arrival_counts *counts)
{
  struct resources newest = resources_scale (&counts->work, 1, RISE_WINDOW_MS);
  struct resources limit = resources_scale (&newest, RISE_AHEAD_FACTOR_MAX, 1);
  struct resources ahead = resources_scale (&counts->previous_work, -1, 1);

  resources_add (&ahead, &counts->work);
  ahead = resources_scale (&ahead, RISE_AHEAD_MS, (int64_t) RISE_WINDOW_MS * RISE_WINDOW_MS);
  resources_add (&ahead, &newest);
  ahead = resources_max (&ahead, &newest);
  return (struct resources){ .cpu_milli = MIN (ahead.cpu_milli, limit.cpu_milli),
                             .memory_mb = MIN (ahead.memory_mb, limit.memory_mb),
                             .gpus = MIN (ahead.gpus, limit.gpus) };
}

/* Returns whether the mean of the arrivals is still well below the newest rate. */
static bool
rate_still_rises (const struct resources *mean, const struct resources *newest)
{
  return newest->cpu_milli * 4 > mean->cpu_milli * 5;
}

/* A rise lasts until the mean has followed. It is false if the arrivals fall to less than half of
 * its peak before. */
struct resources
demand_forecast_rising (struct demand *demand, int64_t now_ms)
{
  struct resources mean = demand_forecast (demand, now_ms);
  struct arrival_counts counts = demand_count (demand, now_ms);
  struct demand_rise *rise = &demand->rise;
  struct resources newest = resources_scale (&counts.work, 1, RISE_WINDOW_MS);
  struct resources ahead;

  if (rise->since_ms == 0 && now_ms >= rise->ignored_until_ms && counts_show_rise (&counts))
    *rise = (struct demand_rise){ .since_ms = now_ms };
  if (rise->since_ms == 0)
    return mean;
  rise->peak = MAX (rise->peak, counts.n);
  if (counts.n < rise->peak / 2)
    *rise = (struct demand_rise){ .ignored_until_ms = now_ms + FALSE_RISE_MS };
  else if (now_ms - rise->since_ms >= RISE_MS && !rate_still_rises (&mean, &newest))
    *rise = (struct demand_rise){ 0 };
  if (rise->since_ms == 0)
    return mean;
  ahead = counts_rate_ahead (&counts);
  return resources_max (&mean, &ahead);
}

/* Returns the number of hosts of the given size that a request fills. GPUs don't count. */
static unsigned
hosts_needed_for (const struct resources *request, const struct resources *size)
{
  int64_t cpu = size->cpu_milli * PACKING_PERMILLE / PERMILLE;
  int64_t memory = size->memory_mb * PACKING_PERMILLE / PERMILLE;
  int64_t n = 0;

  if (cpu > 0)
    n = MAX (n, (request->cpu_milli + cpu - 1) / cpu);
  if (memory > 0)
    n = MAX (n, (request->memory_mb + memory - 1) / memory);
  return (unsigned) n;
}

struct host_need
host_demand_count (const struct host_request *request, const struct resources *size)
{
  struct resources all = request->timely;
  struct host_need need = { .urgent = hosts_needed_for (&request->timely, size) };

  resources_add (&all, &request->late);
  need.wanted = hosts_needed_for (&all, size);
  need.beside_suspects =
      need.wanted - MIN (need.wanted, hosts_needed_for (&request->suspects, size));
  return need;
}

/* Divides the hosts by the highest averages of what each pool lacked before any were on their way
 * to it, so that the result doesn't depend on whether hosts become free one by one or together. */
size_t
host_demand_next (const struct host_lack *lacks, size_t n)
{
  size_t next = n;

  for (size_t i = 0; i < n; i++)
    {
      uint64_t mine = (uint64_t) lacks[i].lacking + lacks[i].coming;

      if (lacks[i].lacking == 0)
        continue;
      if (next == n ||
          mine * (lacks[next].coming + 1) >
              ((uint64_t) lacks[next].lacking + lacks[next].coming) * (lacks[i].coming + 1))
        next = i;
    }
  return next;
}
