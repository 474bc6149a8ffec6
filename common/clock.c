#include "common/clock.h"

#include <time.h>

enum
{
  MS_PER_S = 1000,
  NS_PER_MS = 1000000,
};

/* Returns the time of a system clock in milliseconds. */
static int64_t
clock_read (clockid_t id)
{
  struct timespec now;

  clock_gettime (id, &now);
  return (int64_t) now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

/* Sets both times to the present. */
void
clock_update (struct clock *clock)
{
  clock->now_ms = clock_read (CLOCK_BOOTTIME);
  clock->wall_ms = clock_read (CLOCK_REALTIME);
}
