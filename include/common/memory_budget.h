#ifndef SESAMEPICK_COMMON_MEMORY_BUDGET_H
#define SESAMEPICK_COMMON_MEMORY_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  /* A holder of no more than this is small. */
  MEMORY_SMALL_BYTES = 16 * 1024,
};

/* Bound of the memory that a process keeps for clients: bodies, records on their way, responses.
 * All ports and queues of the process share it. Half of it is for small holders only, so that many
 * large ones don't keep ordinary requests out. */
struct memory_budget
{
  /* In bytes. */
  size_t limit;
  size_t used;
  /* Part of used that holders of more than MEMORY_SMALL_BYTES have. */
  size_t large_used;
  /* How often a holder got no more. */
  uint64_t n_refusals;
};

void memory_budget_init (struct memory_budget *budget, size_t limit);
/* Changes what a holder has, *held bytes, to the given number of bytes, and stores it in *held.
 * Returns false and changes nothing if that is more than it has and doesn't fit. */
bool memory_budget_resize (struct memory_budget *budget, size_t *held, size_t bytes);
/* The same for what must be kept in any case, which may exceed the limit. */
void memory_budget_force (struct memory_budget *budget, size_t *held, size_t bytes);
/* Returns whether a new holder of this many bytes fits now. */
bool memory_budget_fits (const struct memory_budget *budget, size_t bytes);

#endif
