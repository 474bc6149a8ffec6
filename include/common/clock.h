#ifndef SESAMEPICK_COMMON_CLOCK_H
#define SESAMEPICK_COMMON_CLOCK_H

#include <stdint.h>

/* Current time of one event loop, in milliseconds. now_ms is monotonic and includes time in
 * suspend; between calls of clock_update both times stand still. wall_ms counts from 1970 and is
 * used only for times that are shown to people or billed. */
struct clock
{
  int64_t now_ms;
  int64_t wall_ms;
};

/* Sets both times to the present. Called at the start of each event loop callback that needs
 * them. */
void clock_update (struct clock *clock);

#endif
