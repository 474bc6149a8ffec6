#ifndef SESAMEPICK_LIB_RESOURCES_H
#define SESAMEPICK_LIB_RESOURCES_H

#include <stdint.h>

/* Resources of an endpoint or a host, or those that a task requests. */
struct resources
{
  int64_t cpu_milli;
  int64_t memory_mb;
  int64_t gpus;
};

void resources_add (struct resources *sum, const struct resources *request);
/* Returns the larger amount of each resource. */
struct resources resources_max (const struct resources *a, const struct resources *b);

#endif
