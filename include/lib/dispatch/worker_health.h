#ifndef SESAMEPICK_LIB_DISPATCH_WORKER_HEALTH_H
#define SESAMEPICK_LIB_DISPATCH_WORKER_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

enum health_state
{
  /* Gets requests. */
  HEALTH_CLOSED,
  /* Gets no requests until the backoff time has passed. */
  HEALTH_OPEN,
  /* Gets one request at a time as a probe. */
  HEALTH_HALF_OPEN,
};

enum health_result
{
  /* A complete response without a server error. */
  HEALTH_SUCCESS,
  /* A server error, no complete response, or a refusal. */
  HEALTH_FAILURE,
  /* No connection could be made, so nothing was sent. */
  HEALTH_UNREACHABLE,
};

/* Circuit breaker of one worker, based on this entry host's own attempts. */
struct worker_health
{
  enum health_state state;
  uint32_t consecutive_failures;
  /* Successful probes since the circuit became half-open. */
  uint32_t probe_successes;
  /* Smoothed share of failed attempts, 0 to 1, and the number of results in it. */
  double failure_ratio;
  uint32_t samples;
  int64_t open_until_ms;
  /* Length of the last open period; 0 after a reset. */
  int64_t backoff_ms;
  /* Time at which the last attempt ended, or at which an attempt started while no other was
   * running. */
  int64_t progress_ms;
};

void worker_health_record_start (struct worker_health *health, uint32_t running, int64_t now_ms);
/* Records the result of an attempt. rack_failing: another worker of the same rack is failing too,
 * so fewer failures open the circuit. */
void worker_health_record (struct worker_health *health, enum health_result result,
                           bool rack_failing, int64_t now_ms);
void worker_health_update (struct worker_health *health, int64_t now_ms);
bool worker_health_stalled (const struct worker_health *health, uint32_t running, int64_t stall_ms,
                            int64_t now_ms);

#endif
