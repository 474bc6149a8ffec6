#ifndef SESAMEPICK_LIB_PLANNER_PROBLEM_H
#define SESAMEPICK_LIB_PLANNER_PROBLEM_H

#include <stdbool.h>
#include <stdint.h>

/* A planning problem as plain tables, independent of the fleet state it was read from: one pool and
 * the spare pool that lends hosts to it. The planner solves it; tests and benchmarks solve it by
 * other methods for comparison. */

enum planner_kind
{
  /* Maintain each serving host of the pool once. */
  PLANNER_WAVE,
  /* Bring the pool to its target size, so that its availability budgets hold after the loss of any
   * one rack. */
  PLANNER_RESIZE,
};

struct planner_host
{
  const char *name;
  uint32_t rack;
  uint32_t data_centre;
  /* True if the host serves and no other plan holds it. The planner ignores other hosts. */
  bool serving;
  /* True if the host is of the class that the pool requires. */
  bool matches_class;
};

struct planner_pool
{
  const char *name;
  struct planner_host *hosts;
  uint32_t n_hosts;
  uint32_t target;
  /* Number of hosts that must still serve after the loss of any one rack: at any time during the
   * plan, and once it is complete. */
  uint32_t min_serving;
  uint32_t min_serving_after;
};

struct planner_problem
{
  enum planner_kind kind;
  struct planner_pool pool;
  /* Has no hosts if the pool has no spare pool. */
  struct planner_pool spare;
  uint32_t n_racks;
  uint32_t n_data_centres;
  int64_t move_ms;
  /* Time to drain and maintain one host. */
  int64_t maintenance_ms;
  /* Upper limit of the plan's duration; 0 for no limit. */
  int64_t finish_within_ms;
  /* Time until the end of the month, for which hosts beyond the target are paid. */
  int64_t horizon_ms;
  uint64_t price_micros_per_hour;
  /* Weights of the three measures in planner_cost. */
  uint32_t weight_buffer;
  uint32_t weight_rollout;
  uint32_t weight_moves;
};

enum planner_action
{
  PLANNER_MAINTAIN,
  /* Move a host from the spare pool into the pool, and the other way. */
  PLANNER_BORROW,
  PLANNER_RETURN,
};

struct planner_step
{
  enum planner_action action;
  const struct planner_host *host;
  int64_t start_ms;
  int64_t end_ms;
};

/* What a solution is rated by: the price of the pool's host time beyond planner_buffer_base, the
 * duration, and the number of moves. */
struct planner_measures
{
  uint64_t buffer_cost_micros;
  int64_t rollout_ms;
  uint32_t moves;
};

struct planner_solution
{
  struct planner_step *steps;
  uint32_t n_steps;
  struct planner_measures measures;
};

enum
{
  PLANNER_REASON_BYTES = 200,
};

/* Solves the problem. Returns 0, or -ENOSPC with a reason if the planner finds no sequence of steps
 * that keeps every budget. Free the solution with planner_solution_clear. */
int planner_solve (const struct planner_problem *problem, struct planner_solution *solution,
                   char reason[PLANNER_REASON_BYTES]);
void planner_solution_clear (struct planner_solution *solution);

/* Returns the weighted cost that the planner minimizes. Each measure is divided by the value of a
 * simple reference plan, so that the terms are comparable. */
double planner_cost (const struct planner_problem *problem,
                     const struct planner_measures *measures);
/* Returns the price of host_ms milliseconds of host time, in millionths of the currency. */
uint64_t planner_host_time_price (const struct planner_problem *problem, uint64_t host_ms);
/* Returns the number of pool members that are not counted as buffer: the target, and for a wave at
 * least the pool's size before the plan. Members beyond it cost buffer. */
uint32_t planner_buffer_base (const struct planner_problem *problem);

#endif
