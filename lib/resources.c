#include "lib/resources.h"

#include <glib.h>

void
resources_add (struct resources *sum, const struct resources *request)
{
  sum->cpu_milli += request->cpu_milli;
  sum->memory_mb += request->memory_mb;
  sum->gpus += request->gpus;
}

struct resources
resources_max (const struct resources *a, const struct resources *b)
{
  return (struct resources){ .cpu_milli = MAX (a->cpu_milli, b->cpu_milli),
                             .memory_mb = MAX (a->memory_mb, b->memory_mb),
                             .gpus = MAX (a->gpus, b->gpus) };
}
