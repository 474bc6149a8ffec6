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
