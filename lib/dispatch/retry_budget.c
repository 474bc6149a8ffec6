#include "lib/dispatch/retry_budget.h"

#include <glib.h>

/* Tokens added per answered request, and the bucket's capacity. */
static const double TOKENS_PER_SUCCESS = 0.2;
static const double TOKENS_MAX = 20;

/* Starts with a full bucket, so that an entry host can retry right after its start. */
void
retry_budget_init (struct retry_budget *budget)
{
  budget->tokens = TOKENS_MAX;
}

/* Adds the tokens of an answered request. */
void
retry_budget_add_success (struct retry_budget *budget)
{
  budget->tokens = MIN (budget->tokens + TOKENS_PER_SUCCESS, TOKENS_MAX);
}

/* Consumes a token for a retry. Returns false if there is none. */
bool
retry_budget_take (struct retry_budget *budget)
{
  if (budget->tokens < 1)
    return false;
  budget->tokens -= 1;
  return true;
}
