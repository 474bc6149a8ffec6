#include "internal.h"

#include <string.h>

enum
{
  MS_PER_HOUR = 3600 * 1000,
};

/* Returns the price of host time. Whole hours are computed apart to avoid overflow. */
uint64_t
planner_host_time_price (const struct planner_problem *problem, uint64_t host_ms)
{
  uint64_t hours = host_ms / MS_PER_HOUR;
  uint64_t rest_ms = host_ms % MS_PER_HOUR;

  return hours * problem->price_micros_per_hour +
         rest_ms * problem->price_micros_per_hour / MS_PER_HOUR;
}

/* Counts the pool's serving hosts before the plan. */
static uint32_t
planner_serving_hosts (const struct planner_problem *problem)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < problem->pool.n_hosts; i++)
    n += problem->pool.hosts[i].serving;
  return n;
}

/* A wave leaves the pool's size unchanged, so the existing hosts aren't its buffer. A resize is
 * measured against the new target alone. */
uint32_t
planner_buffer_base (const struct planner_problem *problem)
{
  if (problem->kind == PLANNER_RESIZE)
    return problem->pool.target;
  return MAX (problem->pool.target, planner_serving_hosts (problem));
}

/* Adds up weight * measure / reference. The reference is a plan that an operator could make by
 * hand: hosts maintained one after the other, one extra host throughout, and one move for each host
 * of the pool. */
double
planner_cost (const struct planner_problem *problem, const struct planner_measures *measures)
{
  double n = MAX (1, planner_serving_hosts (problem));
  double rollout = problem->kind == PLANNER_WAVE ? n * (double) problem->maintenance_ms
                                                 : (double) problem->move_ms;
  double held_ms = problem->kind == PLANNER_WAVE ? rollout : (double) problem->horizon_ms;
  double buffer = (double) planner_host_time_price (problem, (uint64_t) MAX (held_ms, 1.0));

  return problem->weight_buffer * (double) measures->buffer_cost_micros / MAX (buffer, 1.0) +
         problem->weight_rollout * (double) measures->rollout_ms / MAX (rollout, 1.0) +
         problem->weight_moves * (double) measures->moves / n;
}

void
planner_step_add (GArray *steps, enum planner_action action, const struct planner_host *host,
                  int64_t start_ms, int64_t duration_ms)
{
  struct planner_step step = {
    .action = action,
    .host = host,
    .start_ms = start_ms,
    .end_ms = start_ms + duration_ms,
  };

  g_array_append_val (steps, step);
}

/* Orders steps by start time, then action, then host name. */
int
planner_step_compare (const void *a, const void *b)
{
  const struct planner_step *left = a;
  const struct planner_step *right = b;

  if (left->start_ms != right->start_ms)
    return left->start_ms < right->start_ms ? -1 : 1;
  if (left->action != right->action)
    return left->action < right->action ? -1 : 1;
  return strcmp (left->host->name, right->host->name);
}

/* Moves the steps, sorted by start time, into the solution. Frees the array. */
void
planner_solution_set (struct planner_solution *solution, GArray *steps,
                      const struct planner_measures *measures)
{
  g_array_sort (steps, planner_step_compare);
  solution->n_steps = steps->len;
  solution->measures = *measures;
  solution->steps = (struct planner_step *) (void *) g_array_free (steps, FALSE);
}

void
planner_solution_clear (struct planner_solution *solution)
{
  g_free (solution->steps);
  memset (solution, 0, sizeof *solution);
}

int
planner_solve (const struct planner_problem *problem, struct planner_solution *solution,
               char reason[PLANNER_REASON_BYTES])
{
  memset (solution, 0, sizeof *solution);
  reason[0] = '\0';
  if (problem->kind == PLANNER_WAVE)
    return planner_solve_wave (problem, solution, reason);
  return planner_solve_resize (problem, solution, reason);
}
