#include "lib/jobs/loop_load.h"

enum
{
  WINDOW_MS = 500,
  /* Mean time between the ticks of a late window, as a multiple of the interval. */
  LATE_FACTOR = 4,
  LATE_WINDOWS = 2,
  /* A new leader has more to do for a moment: it takes over the pools. */
  LEADING_MIN_MS = 1500,
  /* Least time between two resignations of any leaders. */
  RESIGNATION_INTERVAL_MS = 10000,
};

void
loop_load_tick (struct loop_load *load, int64_t now_ms, bool stalled)
{
  if (load->since_ms == 0 || stalled)
    *load = (struct loop_load){ .since_ms = now_ms };
  else
    load->n_ticks++;
}

bool
loop_load_is_late (struct loop_load *load, int64_t interval_ms, int64_t now_ms)
{
  int64_t window_ms = now_ms - load->since_ms;

  if (window_ms >= WINDOW_MS)
    {
      bool late = load->n_ticks * interval_ms * LATE_FACTOR < window_ms;

      *load = (struct loop_load){ .since_ms = now_ms, .n_late = late ? load->n_late + 1 : 0 };
    }
  return load->n_late >= LATE_WINDOWS;
}

bool
resignation_is_allowed (const struct resignation_limit *limit, int64_t now_ms)
{
  return limit->other_host_known && now_ms - limit->leading_since_ms >= LEADING_MIN_MS &&
         (limit->resigned_ms == 0 || now_ms - limit->resigned_ms >= RESIGNATION_INTERVAL_MS);
}
