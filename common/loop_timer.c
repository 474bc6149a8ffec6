#include "common/loop_timer.h"

#include <glib.h>

enum
{
  MS_PER_S = 1000,
};

/* Arms or re-arms a one-shot timer; a negative delay counts as 0. */
void
loop_timer_arm (struct ev_loop *loop, ev_timer *timer, int64_t after_ms)
{
  ev_timer_stop (loop, timer);
  ev_timer_set (timer, (double) MAX (after_ms, 0) / MS_PER_S, 0.0);
  ev_timer_start (loop, timer);
}
