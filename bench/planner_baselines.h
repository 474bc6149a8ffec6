#ifndef SESAMEPICK_BENCH_PLANNER_BASELINES_H
#define SESAMEPICK_BENCH_PLANNER_BASELINES_H

#include "lib/planner_problem.h"

/* Two simple ways to plan a wave, to compare the planner with. Both give false where the spare pool
 * lends too few hosts for them. */

/* One host after the other, on the fewest loans with which that works. */
bool baseline_one_by_one (const struct planner_problem *problem, struct planner_solution *solution);
/* A tenth of the pool on loan, or as many more as it takes, and batches as large as that allows, in
 * the order of the hosts' names. */
bool baseline_fixed_share (const struct planner_problem *problem,
                           struct planner_solution *solution);

#endif
