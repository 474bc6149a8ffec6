#include "lib/jobs/succession.h"

#include <glib.h>

enum
{
  /* After a resignation nobody has to be waited for. */
  RESIGNED_JITTER_MS = 60,
  /* What a host without any processor time would wait longer than a strong one: less than the
   * jitter, so that weak hosts lead soon where there are no others. */
  WEAK_MS = 250,
  /* A heartbeat waits behind this many appends of other hosts in the same partition, up to the two
   * seconds after which the store refuses more. */
  SLOW_STORE_APPENDS = 4,
  SLOW_STORE_MAX_MS = 2000,
};

/* Share of a core with which a host can lead a few hundred hosts: 0.12 was saturated by 400 starts
 * a second (docs/days.md), and the busiest days ask for twice that. */
static const double STRONG_SHARE = 0.25;

/* Gives how much longer than a strong host one with a given share waits. */
static int64_t
weakness_ms (double processor_share)
{
  if (processor_share >= STRONG_SHARE)
    return 0;
  return (int64_t) (WEAK_MS * (1.0 - processor_share / STRONG_SHARE));
}

/* Gives how long after the leader's last sign this host claims. A store that is slow with this
 * host's appends holds up the leader's heartbeats as well. */
int64_t
succession_wait_ms (const struct succession *succession)
{
  int64_t wait_ms = succession->jitter_ms;

  if (succession->resigned)
    wait_ms = wait_ms * RESIGNED_JITTER_MS / SUCCESSION_JITTER_MS;
  else if (succession->led)
    wait_ms += succession->timeout_ms +
               MIN (succession->append_ms * SLOW_STORE_APPENDS, SLOW_STORE_MAX_MS);
  return wait_ms + weakness_ms (succession->processor_share);
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
