#include "lib/dispatch/worker_health.h"

#include <glib.h>

enum
{
  /* Consecutive failures that open the circuit. */
  FAILURES_TO_OPEN = 5,
  /* The same number if another worker of the rack is failing too, or no connection can be made. */
  FAILURES_TO_OPEN_EARLY = 2,
  /* Results before the failure ratio can open the circuit. */
  SAMPLES_MIN = 20,
  PROBES_TO_CLOSE = 2,
  BACKOFF_MIN_MS = 1000,
  BACKOFF_MAX_MS = 30000,
};

/* Weight of the newest result in the smoothed failure ratio, and the ratio above which the circuit
 * opens once there are SAMPLES_MIN results. */
static const double FAILURE_RATIO_WEIGHT = 0.1;
static const double FAILURE_RATIO_TO_OPEN = 0.5;

/* Records the start of an attempt; running is the number of attempts that were running before. */
void
worker_health_record_start (struct worker_health *health, uint32_t running, int64_t now_ms)
{
  if (running == 0)
    health->progress_ms = now_ms;
}

/* Opens the circuit, for twice as long as the last time. */
static void
health_open (struct worker_health *health, int64_t now_ms)
{
  int64_t backoff_ms = health->backoff_ms * 2;

  health->backoff_ms = CLAMP (backoff_ms, BACKOFF_MIN_MS, BACKOFF_MAX_MS);
  health->state = HEALTH_OPEN;
  health->open_until_ms = now_ms + health->backoff_ms;
  health->probe_successes = 0;
}

/* Records a success: closes a half-open circuit after enough probes, and resets the backoff of a
 * closed one once few attempts fail. */
static void
health_record_success (struct worker_health *health)
{
  health->consecutive_failures = 0;
  if (health->state != HEALTH_HALF_OPEN)
    {
      if (health->state == HEALTH_CLOSED && health->failure_ratio < FAILURE_RATIO_TO_OPEN / 2)
        health->backoff_ms = 0;
      return;
    }
  if (++health->probe_successes < PROBES_TO_CLOSE)
    return;
  health->state = HEALTH_CLOSED;
  health->failure_ratio = 0;
  health->samples = 0;
}

/* Records the result of an attempt. */
void
worker_health_record (struct worker_health *health, enum health_result result, bool rack_failing,
                      int64_t now_ms)
{
  bool failed = result != HEALTH_SUCCESS;
  bool early = rack_failing || result == HEALTH_UNREACHABLE;
  uint32_t threshold = early ? FAILURES_TO_OPEN_EARLY : FAILURES_TO_OPEN;

  health->progress_ms = now_ms;
  health->samples++;
  health->failure_ratio += FAILURE_RATIO_WEIGHT * ((failed ? 1 : 0) - health->failure_ratio);
  if (!failed)
    {
      health_record_success (health);
      return;
    }
  health->consecutive_failures++;
  if (health->state == HEALTH_HALF_OPEN ||
      (health->state == HEALTH_CLOSED &&
       (health->consecutive_failures >= threshold ||
        (health->samples >= SAMPLES_MIN && health->failure_ratio > FAILURE_RATIO_TO_OPEN))))
    health_open (health, now_ms);
}

/* Changes an open circuit to half-open once its backoff time has passed. */
void
worker_health_update (struct worker_health *health, int64_t now_ms)
{
  if (health->state == HEALTH_OPEN && now_ms >= health->open_until_ms)
    health->state = HEALTH_HALF_OPEN;
}

/* Returns whether attempts run on the worker and none has ended for stall_ms. */
bool
worker_health_stalled (const struct worker_health *health, uint32_t running, int64_t stall_ms,
                       int64_t now_ms)
{
  return running > 0 && now_ms - health->progress_ms >= stall_ms;
}
