#ifndef SESAMEPICK_LIB_JOBS_RECORD_ROUTE_H
#define SESAMEPICK_LIB_JOBS_RECORD_ROUTE_H

#include <stdbool.h>
#include <stdint.h>

/* Which host appends a caller's record to the journal. The store appends to a partition one call
 * after the other, so a host with a link to the leader hands its records over, and the leader
 * appends those of all hosts in one call. A host appends a record itself only once the leader is
 * gone and no other takes records. A leader that is slow because the store is slow says so: a
 * second append of each record by its own host would make the store slower, and would last after
 * the fault that caused it. All times are monotonic ms. */

enum
{
  /* Interval at which the leader names the records that it is still appending. */
  RECORD_NOTICE_INTERVAL_MS = 120,
  /* A leader that has not named a record for this long is gone, or has not received it: three
   * notices are missing. */
  RECORD_UNHEARD_MAX_MS = 400,
  /* Most time that counts between two checks. A host that was paused finds the leader's notices in
   * its socket only after the check. */
  RECORD_CHECK_INTERVAL_MAX_MS = 150,
  /* How long a record that no leader has taken waits for one. A new leader is there by then; a
   * caller that is refused at this time can still try elsewhere. */
  RECORD_HOLD_MAX_MS = 1500,
};

/* How long an append took, as seen at seen_ms; 0 for both if none was seen. */
struct append_latency
{
  int64_t append_ms;
  int64_t seen_ms;
};

/* How the hosts' own appends are spread while no leader takes records. */
struct record_spread
{
  /* How long an append takes, by append_latency_newest. */
  int64_t append_ms;
  unsigned n_hosts;
  /* Position of this host in the span, from 0 to 1, drawn at random. */
  double fraction;
};

/* A caller's record on its way to the journal. */
struct record_route
{
  /* Epoch of the leader to which it was handed; 0 if no leader took it. */
  uint64_t epoch;
  int64_t begun_ms;
  /* Time without a notice, while this host was running. */
  int64_t unheard_ms;
  int64_t checked_ms;
  /* When this host appends the record, unless a leader takes it before; 0 while one has it. */
  int64_t append_at_ms;
};

enum record_step
{
  RECORD_WAIT,
  /* Hand it to the leader that takes records now. */
  RECORD_HAND_OVER,
  /* Append it here. */
  RECORD_APPEND,
  /* Refuse it: no leader took it, and none has come while the store is slow or silent. */
  RECORD_REFUSE,
};

/* Returns how long an append takes by this host's last one or by the leader's last word, whichever
 * is newer. A host that hands its records over may have appended nothing itself for minutes. */
int64_t append_latency_newest (const struct append_latency *own,
                               const struct append_latency *leader);
/* Begins when a record is handed to the leader of an epoch, or with epoch 0 if none takes it. */
void record_route_begin (struct record_route *route, uint64_t epoch, int64_t now_ms);
/* Handles a notice that the leader is still appending the record. */
void record_route_heard (struct record_route *route);
/* Returns what to do with a record that is not durable yet. leader_epoch: of the leader that takes
 * records now, 0 if none does. */
enum record_step record_route_next (struct record_route *route, const struct record_spread *spread,
                                    uint64_t leader_epoch, int64_t now_ms);

#endif
