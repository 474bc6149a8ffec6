#ifndef SESAMEPICK_LIB_JOBS_LEADER_ELECTION_H
#define SESAMEPICK_LIB_JOBS_LEADER_ELECTION_H

#include <stdbool.h>
#include <stdint.h>

/* Leader election: when a host claims the leadership. All times are monotonic ms of the host's own
 * clock. */

/* What decides when a host claims the leadership. */
struct leader_election
{
  /* There is, or has been, a leader. */
  bool had_leader;
  bool resigned;
  /* When the leader's last record was read, and since when all reads of the journal have succeeded;
   * 0 while reads fail. */
  int64_t leader_seen_ms;
  int64_t journal_readable_since_ms;
  /* When the newest read that reached the journal's end was sent, and when this process last went
   * on after a pause, in which it heard of nobody; 0 if it never paused. */
  int64_t journal_read_ms;
  int64_t resumed_ms;
  /* The leader's link to this host has been silent for a while, though it sends something several
   * times a second. */
  bool link_silent;
  /* Latency of the host's own appends. */
  int64_t append_ms;
  /* Time without a record after which the leader is considered gone. */
  int64_t timeout_ms;
  /* This host's position in the interval over which claims are spread, 0 to 1; see
   * leader_election_draw_fraction. */
  double delay_fraction;
  /* Share of a core that this host may use. */
  double processor_share;
  /* The journal names another host with ample CPU. */
  bool ample_host_known;
};

/* Converts a uniform random number, above 0 and at most 1, to a position in the interval. However
 * many hosts there are, few get an early position, so most read the first claim before they would
 * send their own. */
double leader_election_draw_fraction (double uniform);
/* Returns whether the link of a leader that was last heard at heard_ms, 0 for never, is silent. */
bool leader_link_is_silent (int64_t heard_ms, int64_t now_ms);
/* Returns whether a host's share of a core is enough to lead a fleet of hundreds of hosts. */
bool processor_share_is_ample (double processor_share);
/* Returns how long after the leader's last record this host claims, if no other host has. */
int64_t leader_election_wait_ms (const struct leader_election *leader_election);
/* Returns whether this host must claim now. */
bool leader_election_is_due (const struct leader_election *leader_election, int64_t now_ms);

#endif
