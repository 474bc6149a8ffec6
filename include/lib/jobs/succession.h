#ifndef SESAMEPICK_LIB_JOBS_SUCCESSION_H
#define SESAMEPICK_LIB_JOBS_SUCCESSION_H

#include <stdbool.h>
#include <stdint.h>

/* When a host claims the leadership. All times are the host's own monotonic milliseconds. */

/* What a host knows of the present leader. */
struct succession
{
  /* There is, or was, a leader. */
  bool led;
  bool resigned;
  /* When its last record was read, and since when the journal has been read without a failure; 0
   * while reads fail. */
  int64_t seen_ms;
  int64_t healthy_since_ms;
  /* How long the host's own appends take. */
  int64_t append_ms;
  /* Silence after which the leader counts as gone. */
  int64_t timeout_ms;
  /* This host's place in the span over which hosts claim, 0 to 1: see succession_draw. */
  double place;
  /* Share of a core that this host may use. */
  double processor_share;
};

/* Gives a place for a uniform draw above 0 and up to 1. Few hosts get an early place however many
 * there are, so that the first claim is read by most before they send theirs. */
double succession_draw (double uniform);
/* Gives how long after the leader's last sign this host claims, if nobody else has. */
int64_t succession_wait_ms (const struct succession *succession);
/* Tells whether this host is to claim now. */
bool succession_is_due (const struct succession *succession, int64_t now_ms);

#endif
