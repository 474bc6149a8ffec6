#include "planner_baselines.h"

#include <glib.h>
#include <string.h>

enum
{
  SHARE_PERMILLE = 100,
  PERMILLE = 1000,
};

/* A wave during which the number of borrowed hosts stays the same. */
struct baseline
{
  const struct planner_problem *problem;
  /* Numbers of serving hosts by rack and in total, including borrowed ones. */
  uint32_t *by_rack;
  uint32_t serving;
  GArray *steps;
};

/* Returns the number of serving hosts in the fullest rack. */
static uint32_t
baseline_fullest_rack (const struct baseline *baseline)
{
  uint32_t fullest = 0;

  for (uint32_t i = 0; i < baseline->problem->n_racks; i++)
    fullest = MAX (fullest, baseline->by_rack[i]);
  return fullest;
}

/* Returns whether enough hosts would still serve if the fullest rack failed too. */
static bool
baseline_is_within_budget (const struct baseline *baseline)
{
  return baseline->serving >=
         baseline_fullest_rack (baseline) + baseline->problem->pool.min_serving;
}

/* Adds a host to its rack's count (by = 1) or removes it (by = -1). */
static void
baseline_count_host (struct baseline *baseline, const struct planner_host *host, int by)
{
  baseline->by_rack[host->rack] += (uint32_t) by;
  baseline->serving += (uint32_t) by;
}

static void
baseline_add_step (struct baseline *baseline, enum planner_action action,
                   const struct planner_host *host, int64_t start_ms, int64_t time_ms)
{
  struct planner_step step = {
    .action = action, .host = host, .start_ms = start_ms, .end_ms = start_ms + time_ms
  };

  g_array_append_val (baseline->steps, step);
}

/* Plans the maintenance of all hosts in turn, up to batch at the same time, within the budget.
 * Returns the time at which it ends, or -1 if even one host at a time exceeds the budget. */
static int64_t
baseline_maintain (struct baseline *baseline, uint32_t batch, int64_t at_ms)
{
  const struct planner_pool *pool = &baseline->problem->pool;
  uint32_t next = 0;

  while (next < pool->n_hosts)
    {
      uint32_t first = next;

      while (next < pool->n_hosts && next - first < batch)
        {
          baseline_count_host (baseline, &pool->hosts[next], -1);
          if (!baseline_is_within_budget (baseline))
            {
              baseline_count_host (baseline, &pool->hosts[next], 1);
              break;
            }
          baseline_add_step (baseline, PLANNER_MAINTAIN, &pool->hosts[next], at_ms,
                             baseline->problem->maintenance_ms);
          next++;
        }
      if (next == first)
        return -1;
      for (uint32_t i = first; i < next; i++)
        baseline_count_host (baseline, &pool->hosts[i], 1);
      at_ms += baseline->problem->maintenance_ms;
    }
  return at_ms;
}

/* Plans a wave with n_borrowed hosts borrowed from the spare pool. Returns false if even one host
 * at a time exceeds the budget. */
static bool
baseline_wave (const struct planner_problem *problem, uint32_t n_borrowed, uint32_t batch,
               struct planner_solution *solution)
{
  struct baseline baseline = { .problem = problem };
  int64_t start_ms = n_borrowed > 0 ? problem->move_ms : 0;
  int64_t end_ms;

  baseline.by_rack = g_new0 (uint32_t, problem->n_racks + 1);
  baseline.steps = g_array_new (FALSE, FALSE, sizeof (struct planner_step));
  for (uint32_t i = 0; i < problem->pool.n_hosts; i++)
    baseline_count_host (&baseline, &problem->pool.hosts[i], 1);
  for (uint32_t i = 0; i < n_borrowed; i++)
    baseline_count_host (&baseline, &problem->spare.hosts[i], 1);
  end_ms = baseline_maintain (&baseline, batch, start_ms);
  for (uint32_t i = 0; i < n_borrowed; i++)
    {
      baseline_add_step (&baseline, PLANNER_BORROW, &problem->spare.hosts[i], 0, problem->move_ms);
      baseline_add_step (&baseline, PLANNER_RETURN, &problem->spare.hosts[i], end_ms,
                         problem->move_ms);
    }
  solution->n_steps = baseline.steps->len;
  solution->measures.moves = 2 * n_borrowed;
  solution->measures.rollout_ms = end_ms + (n_borrowed > 0 ? problem->move_ms : 0);
  solution->measures.buffer_cost_micros = planner_host_time_price (
      problem, n_borrowed * (uint64_t) (end_ms + problem->move_ms - start_ms));
  solution->steps = (struct planner_step *) (void *) g_array_free (baseline.steps, FALSE);
  g_free (baseline.by_rack);
  if (end_ms < 0)
    planner_solution_clear (solution);
  return end_ms >= 0;
}

/* Plans a wave of one host at a time, with the fewest borrowed hosts that allow it. */
bool
baseline_greedy (const struct planner_problem *problem, struct planner_solution *solution)
{
  memset (solution, 0, sizeof *solution);
  for (uint32_t n_borrowed = 0; n_borrowed <= problem->spare.n_hosts; n_borrowed++)
    {
      if (baseline_wave (problem, n_borrowed, 1, solution))
        return true;
    }
  return false;
}

/* Plans a wave with a fixed share of the pool borrowed, or more if needed. */
bool
baseline_fixed_share (const struct planner_problem *problem, struct planner_solution *solution)
{
  uint32_t n = problem->pool.n_hosts;
  uint32_t n_borrowed = (n * SHARE_PERMILLE + PERMILLE - 1) / PERMILLE;

  memset (solution, 0, sizeof *solution);
  for (; n_borrowed <= problem->spare.n_hosts; n_borrowed++)
    {
      if (baseline_wave (problem, n_borrowed, n, solution))
        return true;
    }
  return false;
}
