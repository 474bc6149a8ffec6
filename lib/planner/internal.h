#ifndef SESAMEPICK_LIB_PLANNER_INTERNAL_H
#define SESAMEPICK_LIB_PLANNER_INTERNAL_H

#include <glib.h>

#include "lib/planner/problem.h"

/* Number of serving hosts of one pool, in total and by rack. */
struct rack_count
{
  uint32_t *by_rack;
  uint32_t n_racks;
  uint32_t total;
};

void rack_count_init (struct rack_count *count, const struct planner_pool *pool, uint32_t n_racks);
void rack_count_copy (struct rack_count *count, const struct rack_count *from);
void rack_count_clear (struct rack_count *count);
void rack_count_add (struct rack_count *count, uint32_t rack, int32_t by);
uint32_t rack_count_max (const struct rack_count *count);
/* Returns by how many hosts the pool exceeds min_serving after the loss of its fullest rack;
 * negative if the budget does not hold. If min_serving is 0, returns the number of serving
 * hosts. */
int64_t rack_count_margin (const struct rack_count *count, uint32_t min_serving);

/* How planner_loan_candidates selects hosts of the spare pool. LOAN_ORDER_SPARE_SPREAD and
 * LOAN_ORDER_OVER_BUDGET are flags that can be combined. */
enum loan_order
{
  /* Prefer an even spread over racks of the pool, or of the spare pool. */
  LOAN_ORDER_POOL_SPREAD = 0,
  LOAN_ORDER_SPARE_SPREAD = 1,
  /* Include hosts whose loan breaks the spare pool's budget; they can only move after other hosts
   * have moved into the spare pool. */
  LOAN_ORDER_OVER_BUDGET = 2,
  N_LOAN_ORDERS = 4,
};

/* Returns up to limit hosts of the spare pool, best candidates for a loan first. The entries point
 * into the problem. Free the array with g_ptr_array_unref. */
GPtrArray *planner_loan_candidates (const struct planner_problem *problem,
                                    const struct rack_count *pool, uint32_t limit, unsigned order);

void planner_step_add (GArray *steps, enum planner_action action, const struct planner_host *host,
                       int64_t start_ms, int64_t duration_ms);
int planner_step_compare (const void *a, const void *b);
void planner_solution_set (struct planner_solution *solution, GArray *steps,
                           const struct planner_measures *measures);

int planner_solve_wave (const struct planner_problem *problem, struct planner_solution *solution,
                        char reason[PLANNER_REASON_BYTES]);
int planner_solve_resize (const struct planner_problem *problem, struct planner_solution *solution,
                          char reason[PLANNER_REASON_BYTES]);

#endif
