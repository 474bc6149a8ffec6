#include "lib/jobs/succession.h"

#include <glib.h>
#include <math.h>

enum
{
  /* Span over which hosts claim: three times what it takes until all have read a claim. */
  SPAN_MS = 300,
  /* The same while nobody has led yet: hosts start some tenths of a second apart. */
  START_SPAN_MS = 1000,
  /* The same in a slow store, where a claim is appended and then read. */
  SPAN_APPENDS = 6,
  SPAN_MAX_MS = 2000,
  /* What a host without any processor time would wait longer than a strong one, in percent of the
   * span: hosts also read the leader's last record up to 150 ms apart, and with 0.12 of a core this
   * is beyond what half a dozen strong hosts need (test_succession). A slow store adds no more. */
  LOW_CPU_DELAY_PERCENT = 250,
  LOW_CPU_SPAN_MAX_MS = 1000,
  PERCENT = 100,
  /* A heartbeat waits behind this many appends of other hosts in the same partition, up to the
   * length of a lease: no run lapses for a leader that is only slow to be heard. */
  SLOW_STORE_APPENDS = 4,
  SLOW_STORE_MAX_MS = 3500,
};

/* Share of a core with which a host can lead a few hundred hosts: 0.12 was saturated by 400 starts
 * a second (docs/days.md), and the busiest days ask for twice that. */
static const double AMPLE_PROCESSOR_SHARE = 0.25;

/* Number of hosts up to which one claim at a time is the rule; with more, a few come together. */
static const double HOSTS_EXPECTED = 16.0;

/* Gives a place for a uniform draw: the exponential timers by which the members of a group of
 * unknown size keep down how many of them speak at once. */
double
succession_draw (double uniform)
{
  return MAX (0.0, 1.0 + log (uniform) / log (HOSTS_EXPECTED));
}

/* Gives the span over which hosts claim. */
static int64_t
span_ms (const struct succession *succession)
{
  if (!succession->led)
    return START_SPAN_MS;
  return CLAMP (succession->append_ms * SPAN_APPENDS, SPAN_MS, SPAN_MAX_MS);
}

/* Gives how weak a host is for leading, 0 to 1. */
static double
cpu_shortfall (double processor_share)
{
  return processor_share >= AMPLE_PROCESSOR_SHARE ? 0.0
                                                  : 1.0 - processor_share / AMPLE_PROCESSOR_SHARE;
}

/* Gives how long after the leader's last sign this host claims. A store that is slow with this
 * host's appends holds up the leader's heartbeats as well. */
int64_t
succession_wait_ms (const struct succession *succession)
{
  int64_t span = span_ms (succession);
  double low_cpu_ms = cpu_shortfall (succession->processor_share) * LOW_CPU_DELAY_PERCENT /
                      PERCENT * (double) MIN (span, LOW_CPU_SPAN_MAX_MS);
  int64_t wait_ms = (int64_t) (succession->place * (double) span + low_cpu_ms);

  if (succession->led && !succession->resigned)
    wait_ms += succession->timeout_ms +
               MIN (succession->append_ms * SLOW_STORE_APPENDS, SLOW_STORE_MAX_MS);
  return wait_ms;
}

/* Tells whether this host is to claim now. While it can't read the journal it knows nothing of the
 * leader; its silence counts from the first good read on. */
bool
succession_is_due (const struct succession *succession, int64_t now_ms)
{
  int64_t since_ms = MAX (succession->healthy_since_ms, succession->seen_ms);

  if (succession->healthy_since_ms == 0)
    return false;
  return now_ms - since_ms > succession_wait_ms (succession);
}
