#ifndef SESAMEPICK_LIB_PLANNER_PLANNER_H
#define SESAMEPICK_LIB_PLANNER_PLANNER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/fleet/fleet.h"
#include "record.pb-c.h"

/* Input of planner_create_plan. */
struct planner_request
{
  const struct fleet *fleet;
  const Sp__Intent *intent;
  const char *plan_id;
  uint32_t revision;
  /* Wall-clock time in milliseconds since 1970. The month's cost is forecast for the month that
   * contains it. */
  int64_t wall_ms;
  /* Expected duration of one move, and of draining one host before maintenance. */
  int64_t move_ms;
};

/* Creates a plan for an intent on the current fleet state. The result depends only on the request:
 * the same state, intent and time give the same plan. Returns 0 and stores the plan in *plan (free
 * it with sp__plan__free_unpacked (plan, NULL)). On failure returns a negative error number and
 * writes a reason: -ENOENT for an unknown name, -EINVAL for a value out of range, -EBUSY if another
 * plan holds a host that this plan needs, -ENOSPC if no sequence of moves was found that keeps
 * every availability budget through the loss of any one rack; the reason then says what would
 * help. */
int planner_create_plan (const struct planner_request *request, Sp__Plan **plan, char reason[200]);

#endif
