#ifndef SESAMEPICK_LIB_JOBS_LEADERSHIP_LEASE_H
#define SESAMEPICK_LIB_JOBS_LEADERSHIP_LEASE_H

#include <stdbool.h>
#include <stdint.h>

/* Until when a leader may grant leases to endpoints. A leader that has lost the store doesn't know
 * whether it has been replaced, and its successor doesn't know which endpoints it still reaches. So
 * the leases that a leader grants have a common end, which the successor can bound: it follows from
 * the leader's last durable record, or from the time at which all other hosts last confirmed that
 * they know of no later leader. All times are monotonic ms of the clock of the host concerned. */

enum
{
  /* How long after it sent a record that became durable a leader may grant full leases. A successor
   * claims no earlier than 1.3 s after it read the last record, so that this delays hardly any
   * takeover. */
  LEADERSHIP_VALID_MS = 1500,
};

/* Returns when the leases that a leader grants must have ended. record_sent_ms: when it sent its
 * last durable record; confirmed_ms: a time since which no other host had claimed when it confirmed
 * this, or 0. */
int64_t leadership_leases_end_ms (int64_t record_sent_ms, int64_t confirmed_ms, int64_t lease_ms);

/* Returns whether a host may confirm to the leader of an epoch that it knows of no later one.
 * read_epoch: of the last leadership record that this process has read, 0 if none; claimed_epoch:
 * of its own last claim; heard_epoch: the highest of which a leader has sent it a message. */
bool leadership_may_confirm (uint64_t epoch, uint64_t read_epoch, uint64_t claimed_epoch,
                             uint64_t heard_epoch);

/* What a host knows of the leaders before it, from the leadership records that it has read. */
struct former_leaders
{
  /* Epoch of the last record read; 0 if there is none. */
  uint64_t epoch;
  /* Until when the leader of that epoch may grant full leases by its records, and until when any
   * leader before it may. */
  int64_t current_until_ms;
  int64_t earlier_until_ms;
  /* The last record said that all leases of earlier leaders have ended. */
  bool earlier_ended;
};

/* Handles a leadership record that has been read. earlier_ended: it says that all leases of earlier
 * leaders have ended. */
void former_leaders_record_read (struct former_leaders *former, uint64_t epoch, bool resigned,
                                 bool earlier_ended, int64_t now_ms);
/* Handles a load of the newest records, which skips older ones. */
void former_leaders_loaded (struct former_leaders *former, int64_t now_ms);
/* The process that wrote the last record has ended. */
void former_leaders_process_ended (struct former_leaders *former);
/* Returns until when the leaders before an epoch may have granted full leases by their records. */
int64_t former_leaders_until_ms (const struct former_leaders *former, uint64_t epoch);

#endif
