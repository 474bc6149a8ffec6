#include "lib/jobs/leader_election.h"

#include <glib.h>
#include <math.h>

enum
{
  /* Interval over which the claims of the hosts are spread: three times what it takes until all
   * have read a claim. */
  CLAIM_SPREAD_MS = 300,
  /* The same interval while there has been no leader. Hosts start some tenths of a second apart. */
  FIRST_CLAIM_SPREAD_MS = 1000,
  /* The same interval with a slow store, as a multiple of the latency of an append: a claim must be
   * appended and then read. */
  CLAIM_SPREAD_APPENDS = 6,
  CLAIM_SPREAD_MAX_MS = 2000,
  /* How much longer a host without any processor time waits than one with ample CPU, in percent of
   * the interval. Hosts read the leader's last record up to 150 ms apart; with 0.12 of a core the
   * delay is still longer than the wait of the first of six hosts with ample CPU
   * (test_succession). */
  LOW_CPU_DELAY_PERCENT = 250,
  /* Longest interval on which this delay is based, so that a slow store doesn't raise it
   * further. */
  LOW_CPU_SPREAD_MAX_MS = 1000,
  /* How much longer a host with little CPU waits if another one is known to have ample CPU. Longer
   * than what appends of half a second add to the other host's wait. */
  AMPLE_HOST_DELAY_MS = 3500,
  PERCENT = 100,
  /* A leader whose link is silent for this long has missed two batches there. */
  LINK_SILENT_MS = 600,
  /* Time without a record after which such a leader is considered gone: two heartbeats, and the
   * reads of the journal. Each sign alone has other causes, such as a slow store or a lost
   * connection. */
  LINK_SILENT_TIMEOUT_MS = 750,
  /* The leader's heartbeat may wait behind this many appends of other hosts in the same partition.
   * The allowance is at most the length of a lease, so that no lease expires because of it. */
  SLOW_STORE_APPENDS = 4,
  SLOW_STORE_MAX_MS = 3500,
};

/* Share of a core with which a host can lead a few hundred hosts. 400 starts per second saturated
 * 0.12 of a core, and the busiest loads need twice that. */
static const double AMPLE_PROCESSOR_SHARE = 0.25;

/* Up to this number of hosts usually one claims; with more, a few claim at the same time. */
static const double HOSTS_EXPECTED = 16.0;

/* Converts a uniform random number to a position in the interval over which claims are spread.
 * Exponential timers like this limit how many members of a group of unknown size act at the same
 * time. */
double
leader_election_draw_fraction (double uniform)
{
  return MAX (0.0, 1.0 + log (uniform) / log (HOSTS_EXPECTED));
}

/* Returns the interval in ms over which the claims of the hosts are spread. */
static int64_t
claim_spread_ms (const struct leader_election *leader_election)
{
  if (!leader_election->had_leader)
    return FIRST_CLAIM_SPREAD_MS;
  return CLAMP (leader_election->append_ms * CLAIM_SPREAD_APPENDS, CLAIM_SPREAD_MS,
                CLAIM_SPREAD_MAX_MS);
}

bool
processor_share_is_ample (double processor_share)
{
  return processor_share >= AMPLE_PROCESSOR_SHARE;
}

bool
leader_link_is_silent (int64_t heard_ms, int64_t now_ms)
{
  return heard_ms > 0 && now_ms - heard_ms >= LINK_SILENT_MS;
}

/* Returns how far a host is short of ample CPU, from 0 to 1. */
static double
cpu_shortfall (double processor_share)
{
  return processor_share_is_ample (processor_share) ? 0.0
                                                    : 1.0 - processor_share / AMPLE_PROCESSOR_SHARE;
}

/* Returns how long after the leader's last record this host claims. If its own appends are slow,
 * the leader's heartbeats probably are too, so it waits longer. */
int64_t
leader_election_wait_ms (const struct leader_election *leader_election)
{
  int64_t span = claim_spread_ms (leader_election);
  double low_cpu_ms = cpu_shortfall (leader_election->processor_share) * LOW_CPU_DELAY_PERCENT /
                      PERCENT * (double) MIN (span, LOW_CPU_SPREAD_MAX_MS);
  int64_t wait_ms = (int64_t) (leader_election->delay_fraction * (double) span + low_cpu_ms);

  if (leader_election->ample_host_known &&
      !processor_share_is_ample (leader_election->processor_share))
    wait_ms += AMPLE_HOST_DELAY_MS;
  if (leader_election->had_leader && !leader_election->resigned)
    wait_ms +=
        (leader_election->link_silent ? MIN (leader_election->timeout_ms, LINK_SILENT_TIMEOUT_MS)
                                      : leader_election->timeout_ms) +
        MIN (leader_election->append_ms * SLOW_STORE_APPENDS, SLOW_STORE_MAX_MS);
  return wait_ms;
}

/* Returns whether this host must claim now. After a pause, such as a freeze, the leader's silence
 * is this host's own until a read sent since then has reached the end of the journal. While the
 * host can't read the journal it knows nothing of the leader, so the wait starts at the first
 * successful read. */
bool
leader_election_is_due (const struct leader_election *leader_election, int64_t now_ms)
{
  int64_t since_ms =
      MAX (leader_election->journal_readable_since_ms, leader_election->leader_seen_ms);

  if (leader_election->journal_readable_since_ms == 0 ||
      (leader_election->resumed_ms > 0 &&
       leader_election->journal_read_ms < leader_election->resumed_ms))
    return false;
  return now_ms - since_ms > leader_election_wait_ms (leader_election);
}
