#ifndef SESAMEPICK_LIB_LOCALITY_LOCALITY_ROOM_H
#define SESAMEPICK_LIB_LOCALITY_LOCALITY_ROOM_H

#include <stddef.h>
#include <stdint.h>

#include "lib/resources.h"

/* When a group of endpoints is expected to have capacity for one or several tasks. */

/* Expected end of what uses an endpoint. */
struct locality_end
{
  int64_t in_ms;
  struct resources released;
};

/* An endpoint. */
struct locality_site
{
  /* Time until it accepts tasks: a host on its way, or an endpoint that is avoided for a while. */
  int64_t usable_in_ms;
  /* Negative where more is used than there is. */
  struct resources free;
  /* Unordered. */
  struct locality_end *ends;
  size_t n_ends;
  /* Number of the tasks that may run there; 0 for no limit. */
  unsigned tasks_max;
};

/* Returns the time in ms until n_tasks tasks of the given request are expected to fit at once, or
 * -1 if they never are. Sorts the sites' ends. For a single task, sets chosen to the index of the
 * site unless it is NULL. */
int64_t locality_room_in_ms (struct locality_site *sites, size_t n_sites,
                             const struct resources *request, unsigned n_tasks, size_t *chosen);

#endif
