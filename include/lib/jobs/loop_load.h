#ifndef SESAMEPICK_LIB_JOBS_LOOP_LOAD_H
#define SESAMEPICK_LIB_JOBS_LOOP_LOAD_H

#include <stdbool.h>
#include <stdint.h>

/* Whether a leader keeps up. A host that has become slow goes on as a leader, late with each
 * decision, for as long as it lasts, while its replacement takes half a second. The time between
 * the ticks of its loop shows it: a leader that keeps up has them on time also at the highest
 * loads. All times are monotonic ms. */
struct loop_load
{
  /* Begin of the present window, and the ticks in it. */
  int64_t since_ms;
  unsigned n_ticks;
  /* Number of windows in a row in which the ticks were late. */
  unsigned n_late;
};

/* Counts a tick. stalled: the loop stood still before it, as in a freeze, which says nothing of its
 * speed. */
void loop_load_tick (struct loop_load *load, int64_t now_ms, bool stalled);
/* Returns whether the loop has been late for long enough to tell a slow host from a short peak.
 * interval_ms: between ticks that are on time. */
bool loop_load_is_late (struct loop_load *load, int64_t interval_ms, int64_t now_ms);

/* Whether a leader that doesn't keep up may leave the leadership to another host. Where all hosts
 * are overloaded, it would be passed on for ever, and each change costs more than it gains. */
struct resignation_limit
{
  /* When this host began to lead. */
  int64_t leading_since_ms;
  /* When a resignation of any leader was last read; 0 if none was. */
  int64_t resigned_ms;
  /* The journal names another host with ample CPU. */
  bool other_host_known;
};

bool resignation_is_allowed (const struct resignation_limit *limit, int64_t now_ms);

enum
{
  /* How long a host that has resigned because it was late leaves claims to others. */
  RESIGNED_ABSTAIN_MS = 15000,
};

#endif
