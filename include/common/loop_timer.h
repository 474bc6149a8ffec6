#ifndef SESAMEPICK_COMMON_LOOP_TIMER_H
#define SESAMEPICK_COMMON_LOOP_TIMER_H

#include <ev.h>
#include <stdint.h>

/* Arms or re-arms a one-shot timer with a delay in milliseconds; a negative delay counts as 0. */
void loop_timer_arm (struct ev_loop *loop, ev_timer *timer, int64_t after_ms);

#endif
