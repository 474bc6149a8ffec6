#include "lib/dispatch/report_pace.h"

#include <glib.h>

enum
{
  WINDOW_MS = 250,
  MS_PER_S = 1000,
};

/* Factors by which the gap grows or shrinks after a window, and the share of the target rate below
 * which it shrinks. */
static const double GAP_GROWTH = 1.3;
static const double GAP_SHRINK = 0.8;
static const double LOW_RATE_SHARE = 0.8;

/* Starts with the shortest gap. */
void
report_pace_init (struct report_pace *pace, int64_t now_ms)
{
  *pace = (struct report_pace){ now_ms, 0, REPORT_GAP_MIN_MS };
}

/* Counts bytes sent to a peer. */
void
report_pace_add (struct report_pace *pace, size_t bytes)
{
  pace->window_bytes += bytes;
}

/* Returns the minimum time between reports of one pool. */
int64_t
report_pace_gap_ms (struct report_pace *pace, int64_t now_ms)
{
  int64_t length_ms = now_ms - pace->window_start_ms;
  double per_s;

  if (length_ms < WINDOW_MS)
    return (int64_t) pace->gap_ms;
  per_s = (double) pace->window_bytes * MS_PER_S / (double) length_ms;
  if (per_s > PEER_BYTES_PER_S_TARGET)
    pace->gap_ms *= GAP_GROWTH;
  else if (per_s < PEER_BYTES_PER_S_TARGET * LOW_RATE_SHARE)
    pace->gap_ms *= GAP_SHRINK;
  pace->gap_ms = CLAMP (pace->gap_ms, REPORT_GAP_MIN_MS, REPORT_GAP_MAX_MS);
  pace->window_start_ms = now_ms;
  pace->window_bytes = 0;
  return (int64_t) pace->gap_ms;
}
