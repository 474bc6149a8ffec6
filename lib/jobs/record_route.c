#include "lib/jobs/record_route.h"

#include <glib.h>

enum
{
  /* A store that appends within this time takes the calls of all hosts at once. */
  APPEND_SOON_MS = 50,
};

int64_t
append_latency_newest (const struct append_latency *own, const struct append_latency *leader)
{
  return own->seen_ms > leader->seen_ms ? own->append_ms : leader->append_ms;
}

void
record_route_begin (struct record_route *route, uint64_t epoch, int64_t now_ms)
{
  *route = (struct record_route){ .epoch = epoch, .begun_ms = now_ms, .checked_ms = now_ms };
}

void
record_route_heard (struct record_route *route)
{
  route->unheard_ms = 0;
}

/* Returns how long this host leaves the store to others before it appends a record itself. With
 * one call of each host at a time, the calls of all of them take up half of the span. */
static int64_t
record_spread_ms (const struct record_spread *spread)
{
  if (spread->append_ms <= APPEND_SOON_MS)
    return 0;
  return (int64_t) (spread->fraction * 2.0 * spread->n_hosts * (double) spread->append_ms);
}

enum record_step
record_route_next (struct record_route *route, const struct record_spread *spread,
                   uint64_t leader_epoch, int64_t now_ms)
{
  route->unheard_ms += MIN (now_ms - route->checked_ms, (int64_t) RECORD_CHECK_INTERVAL_MAX_MS);
  route->checked_ms = now_ms;
  if (leader_epoch > 0 && leader_epoch != route->epoch)
    return RECORD_HAND_OVER;
  if (leader_epoch > 0 && route->unheard_ms < RECORD_UNHEARD_MAX_MS)
    return RECORD_WAIT;
  if (route->append_at_ms == 0)
    route->append_at_ms = now_ms + record_spread_ms (spread);
  if (now_ms >= route->append_at_ms)
    return RECORD_APPEND;
  return route->epoch == 0 && now_ms - route->begun_ms >= RECORD_HOLD_MAX_MS ? RECORD_REFUSE
                                                                             : RECORD_WAIT;
}
