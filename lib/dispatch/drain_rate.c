#include "lib/dispatch/drain_rate.h"

#include <glib.h>
#include <stdbool.h>

enum
{
  WINDOW_MS = 250,
  MS_PER_S = 1000,
  /* A stall of up to this length, for example while a pool's home changes, does not lower the
   * rate. */
  STALL_IGNORED_MS = 1250,
  RETRY_AFTER_MIN_MS = 100,
  RETRY_AFTER_MAX_MS = 30000,
};

/* Weight of the newest window and of the newest attempt in their smoothed values. */
static const double RATE_WEIGHT = 0.4;
static const double ATTEMPT_WEIGHT = 0.05;
/* Factor applied to the attempt duration after a window without completions, so that an estimate
 * too long to admit any request decays. */
static const double ATTEMPT_DECAY = 0.8;

/* Starts the first window. */
void
drain_rate_init (struct drain_rate *rate, int64_t now_ms)
{
  *rate = (struct drain_rate){ .window_start_ms = now_ms };
}

/* Counts an answered request and the duration of its attempt. */
void
drain_rate_add (struct drain_rate *rate, int64_t attempt_ms)
{
  rate->window_count++;
  if (rate->attempt_ms == 0)
    rate->attempt_ms = (double) attempt_ms;
  else
    rate->attempt_ms += ATTEMPT_WEIGHT * ((double) attempt_ms - rate->attempt_ms);
}

/* Updates the length of the current stall with the ending window. Returns whether the window
 * belongs to a stall that is short enough to be ignored. */
static bool
window_is_stalled (struct drain_rate *rate, size_t waiting, int64_t length_ms)
{
  if (rate->window_count > 0 || waiting == 0)
    {
      rate->stalled_ms = 0;
      return false;
    }
  rate->stalled_ms += length_ms;
  return rate->stalled_ms <= STALL_IGNORED_MS;
}

/* Ends the current window if it is due, and updates the rate. Only windows in which requests waited
 * show the capacity of the workers; the others show the load, and can only raise the rate. */
void
drain_rate_update (struct drain_rate *rate, size_t waiting, int64_t now_ms)
{
  int64_t length_ms = now_ms - rate->window_start_ms;
  double measured;
  bool stalled;

  if (length_ms < WINDOW_MS)
    return;
  stalled = window_is_stalled (rate, waiting, length_ms);
  measured = (double) rate->window_count * MS_PER_S / (double) length_ms;
  if (rate->per_s == 0)
    rate->per_s = measured;
  else if (!stalled && (waiting > 0 || measured > rate->per_s))
    rate->per_s += RATE_WEIGHT * (measured - rate->per_s);
  if (rate->window_count == 0)
    rate->attempt_ms *= ATTEMPT_DECAY;
  rate->window_start_ms = now_ms;
  rate->window_count = 0;
}

/* Returns the expected wait of a request behind the given number of others; 0 while the rate is
 * unknown. */
int64_t
drain_rate_wait_ms (const struct drain_rate *rate, size_t ahead)
{
  if (rate->per_s <= 0)
    return 0;
  return (int64_t) ((double) ahead * MS_PER_S / rate->per_s);
}

/* Returns the time in which the waiting requests are expected to be served, within
 * RETRY_AFTER_MIN_MS and RETRY_AFTER_MAX_MS. */
int64_t
drain_rate_retry_after_ms (const struct drain_rate *rate, size_t waiting)
{
  int64_t wait_ms = drain_rate_wait_ms (rate, waiting + 1);

  return CLAMP (wait_ms, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
}
