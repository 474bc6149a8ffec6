#ifndef SESAMEPICK_COMMON_LOOP_TIMER_H
#define SESAMEPICK_COMMON_LOOP_TIMER_H

#include <ev.h>
#include <stdint.h>

/* Arms a timer to run once after a delay in milliseconds, replacing what was set; a negative delay
 * counts as none. */
void loop_timer_arm (struct ev_loop *loop, ev_timer *timer, int64_t after_ms);

#endif
