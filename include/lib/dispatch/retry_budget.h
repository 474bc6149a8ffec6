#ifndef SESAMEPICK_LIB_DISPATCH_RETRY_BUDGET_H
#define SESAMEPICK_LIB_DISPATCH_RETRY_BUDGET_H

#include <stdbool.h>

/* Limits retries to a share of the answered requests: a token bucket that each answered request
 * adds to. */
struct retry_budget
{
  double tokens;
};

void retry_budget_init (struct retry_budget *budget);
void retry_budget_add_success (struct retry_budget *budget);
bool retry_budget_take (struct retry_budget *budget);

#endif
