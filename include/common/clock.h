#ifndef SESAMEPICK_COMMON_CLOCK_H
#define SESAMEPICK_COMMON_CLOCK_H

#include <stdint.h>

/* Current time of one event loop, in milliseconds. now_ms is monotonic and is updated once per loop
 * iteration; wall_ms counts from 1970 and is used only for times that are shown to people or
 * billed. */
struct clock
{
  int64_t now_ms;
  int64_t wall_ms;
};

void clock_update (struct clock *clock);

#endif
