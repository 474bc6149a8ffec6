#include "common/clock.h"

#include <time.h>

enum
{
  MS_PER_S = 1000,
  NS_PER_MS = 1000000,
};

/* Reads one of the system's clocks, in milliseconds. */
static int64_t
clock_read (clockid_t id)
{
  struct timespec now;

  clock_gettime (id, &now);
  return (int64_t) now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

/* Takes the present time into the clock. Called once at the start of each turn of a loop. */
void
clock_update (struct clock *clock)
{
  clock->now_ms = clock_read (CLOCK_BOOTTIME);
  clock->wall_ms = clock_read (CLOCK_REALTIME);
}
