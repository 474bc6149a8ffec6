#ifndef SESAMEPICK_LIB_PLANNER_READ_H
#define SESAMEPICK_LIB_PLANNER_READ_H

#include "lib/planner/planner.h"
#include "lib/planner/problem.h"

/* Reads the planning problem of an intent from the fleet state. The names still belong to the
 * fleet. Returns 0, or a negative error number with a reason. Free the problem with
 * planner_problem_clear. */
int planner_problem_read (const struct planner_request *request, struct planner_problem *problem,
                          char reason[PLANNER_REASON_BYTES]);
void planner_problem_clear (struct planner_problem *problem);

#endif
