#include "lib/planner/planner.h"

#include <errno.h>
#include <stdlib.h>

#include "lib/bill/forecast.h"
#include "read.h"

/* Fills in one step of the plan message. The strings still belong to the problem. */
static void
planner_step_to_message (const struct planner_problem *problem, const struct planner_step *from,
                         Sp__PlanStep *to)
{
  sp__plan_step__init (to);
  to->kind = from->action == PLANNER_MAINTAIN ? SP__STEP_KIND__STEP_KIND_MAINTAIN
                                              : SP__STEP_KIND__STEP_KIND_MOVE;
  to->host = (char *) from->host->name;
  to->start_ms = (uint64_t) from->start_ms;
  to->end_ms = (uint64_t) from->end_ms;
  to->from_pool = (char *) problem->pool.name;
  to->to_pool = (char *) problem->pool.name;
  if (from->action == PLANNER_BORROW)
    to->from_pool = (char *) problem->spare.name;
  if (from->action == PLANNER_RETURN)
    to->to_pool = (char *) problem->spare.name;
}

/* Creates a deep copy of a plan message. */
static Sp__Plan *
planner_plan_copy (const Sp__Plan *plan)
{
  size_t len = sp__plan__get_packed_size (plan);
  uint8_t *data = g_malloc (len + 1);
  Sp__Plan *copy;

  sp__plan__pack (plan, data);
  copy = sp__plan__unpack (NULL, len, data);
  g_free (data);
  g_assert (copy);
  return copy;
}

/* Builds the plan message from the solution. */
static Sp__Plan *
planner_plan_build (const struct planner_request *request, const struct planner_problem *problem,
                    const struct planner_solution *solution)
{
  Sp__PlanStep *steps = g_new0 (Sp__PlanStep, solution->n_steps + 1);
  Sp__PlanStep **pointers = g_new0 (Sp__PlanStep *, solution->n_steps + 1);
  Sp__Plan message = SP__PLAN__INIT;
  Sp__Plan *plan;

  for (uint32_t i = 0; i < solution->n_steps; i++)
    {
      planner_step_to_message (problem, &solution->steps[i], &steps[message.n_steps]);
      pointers[message.n_steps] = &steps[message.n_steps];
      message.n_steps++;
    }
  message.id = (char *) request->plan_id;
  message.revision = request->revision;
  message.intent = (Sp__Intent *) request->intent;
  message.steps = pointers;
  message.buffer_cost_micros = solution->measures.buffer_cost_micros;
  message.rollout_ms = (uint64_t) solution->measures.rollout_ms;
  message.moves = solution->measures.moves;
  plan = planner_plan_copy (&message);
  g_free (steps);
  g_free (pointers);
  return plan;
}

/* Stores the forecast cost of the current month, assuming that the plan is confirmed now. */
static void
planner_plan_set_cost (const struct planner_request *request, Sp__Plan *plan)
{
  struct bill *bill = bill_create_with_plan (request->fleet, plan, request->wall_ms);

  plan->month_low_micros = bill->forecast_low_micros;
  plan->month_cost_micros = bill->forecast_micros;
  plan->month_high_micros = bill->forecast_high_micros;
  bill_destroy (bill);
}

int
planner_create_plan (const struct planner_request *request, Sp__Plan **plan, char reason[200])
{
  struct planner_problem problem;
  struct planner_solution solution;
  int result;

  *plan = NULL;
  reason[0] = '\0';
  result = planner_problem_read (request, &problem, reason);
  if (result < 0)
    return result;
  result = planner_solve (&problem, &solution, reason);
  if (result == 0)
    {
      *plan = planner_plan_build (request, &problem, &solution);
      planner_plan_set_cost (request, *plan);
    }
  planner_solution_clear (&solution);
  planner_problem_clear (&problem);
  return result;
}
