#ifndef SESAMEPICK_LIB_DISPATCH_REPORT_PACE_H
#define SESAMEPICK_LIB_DISPATCH_REPORT_PACE_H

#include <stddef.h>
#include <stdint.h>

enum
{
  /* Target for the bytes sent to peers per second. It is lower than what an entry host may send,
   * because only reports are paced: the grants that an entry host sends follow from the reports of
   * others. */
  PEER_BYTES_PER_S_TARGET = 20000,
  REPORT_GAP_MIN_MS = 5,
  REPORT_GAP_MAX_MS = 50,
};

/* Minimum time between reports of one pool, so that several changes share one message. It grows
 * while this entry host sends more to its peers than the target. */
struct report_pace
{
  int64_t window_start_ms;
  uint64_t window_bytes;
  double gap_ms;
};

void report_pace_init (struct report_pace *pace, int64_t now_ms);
void report_pace_add (struct report_pace *pace, size_t bytes);
int64_t report_pace_gap_ms (struct report_pace *pace, int64_t now_ms);

#endif
