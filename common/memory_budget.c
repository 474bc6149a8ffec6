#include "common/memory_budget.h"

#include <glib.h>

void
memory_budget_init (struct memory_budget *budget, size_t limit)
{
  *budget = (struct memory_budget){ .limit = limit };
}

/* Returns what a holder's bytes count in large_used. */
static size_t
large_part (size_t bytes)
{
  return bytes > MEMORY_SMALL_BYTES ? bytes : 0;
}

/* Returns whether a holder's bytes may change. */
static bool
budget_permits (const struct memory_budget *budget, size_t held, size_t bytes)
{
  size_t used = budget->used - held + bytes;
  size_t large_used = budget->large_used - large_part (held) + large_part (bytes);

  if (bytes <= held)
    return true;
  return used <= budget->limit && (large_part (bytes) == 0 || large_used <= budget->limit / 2);
}

void
memory_budget_force (struct memory_budget *budget, size_t *held, size_t bytes)
{
  g_assert (budget->used >= *held && budget->large_used >= large_part (*held));
  budget->used += bytes - *held;
  budget->large_used += large_part (bytes) - large_part (*held);
  *held = bytes;
}

bool
memory_budget_resize (struct memory_budget *budget, size_t *held, size_t bytes)
{
  if (!budget_permits (budget, *held, bytes))
    {
      budget->n_refusals++;
      return false;
    }
  memory_budget_force (budget, held, bytes);
  return true;
}

bool
memory_budget_fits (const struct memory_budget *budget, size_t bytes)
{
  return budget_permits (budget, 0, bytes);
}
