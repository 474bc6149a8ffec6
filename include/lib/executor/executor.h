#ifndef SESAMEPICK_LIB_EXECUTOR_EXECUTOR_H
#define SESAMEPICK_LIB_EXECUTOR_EXECUTOR_H

#include <stdint.h>

#include "lib/fleet/fleet.h"

/* The executor carries out confirmed plans. Every fleetd has one; only the holder of the claim
 * acts. It does no I/O: the caller passes in the time, the state of the log and the platform's
 * responses, and it requests appends and platform operations through callbacks, which must not call
 * back into the executor. */
struct executor;

enum platform_operation
{
  PLATFORM_DRAIN,
  PLATFORM_REBOOT,
  PLATFORM_LEAVE_POOL,
  PLATFORM_JOIN_POOL,
};

struct executor_ops
{
  /* Appends a record. Its verdict becomes known when the record is read back from the log. The
   * executor sets the body; the daemon sets id, author, seen offset and time. An append may be
   * lost; the executor then requests it again. */
  void (*append) (void *ctx, const Sp__Record *record);
  /* Starts a platform operation on a host. The response, unless it is lost, is passed to
   * executor_operation_done with the same sequence. The operation is conditional and idempotent:
   * sequence grows with each change of the host on the log, and the platform rejects a sequence
   * below the highest that it has accepted for the host, so that a delayed call has no effect. It
   * also rejects a call whose host->list_version is below the version at which the host last joined
   * the list, since that call was meant for an earlier incarnation of the host.
   * PLATFORM_LEAVE_POOL removes the host from host->pool, if it is in it. PLATFORM_JOIN_POOL puts
   * the host into to_pool, ready for work, if it is in no pool or in to_pool already; with the
   * host's own pool it ends a drain or a reboot. to_pool is NULL for the other operations. */
  void (*operate) (void *ctx, enum platform_operation operation, const struct host *host,
                   const char *plan_id, const char *to_pool, uint64_t sequence);
  void *ctx;
};

struct executor_config
{
  const char *name;
  /* Duration of a claim. */
  uint64_t claim_ms;
  /* Minimum time from LEAVING to DRAINED, in which every entryd learns that the host is leaving. */
  uint64_t drain_notice_ms;
  /* Random; distinguishes this process from others of the same name and seeds the jitter. */
  uint64_t incarnation;
};

struct executor *executor_create (const struct executor_config *config,
                                  const struct executor_ops *ops);
void executor_destroy (struct executor *executor);
/* Handles an accepted claim record that was read from the log at now_ms. Call it as soon as the
 * record is read, since the claim of another process is timed from now_ms. executor_tick also reads
 * the claim from the state, but may do so later. */
void executor_claim_read (struct executor *executor, const struct claim *claim, int64_t now_ms);
/* Handles the platform's response to an operation; result is 0 or a negative errno. -EAGAIN (still
 * in progress), -ETIMEDOUT, -ECONNREFUSED, -ECONNRESET, -EHOSTUNREACH and -EBUSY don't indicate a
 * fault of the host and are retried without counting as failures. After a number of other errors,
 * or too much time in one state, the step fails. */
void executor_operation_done (struct executor *executor, const char *host,
                              enum platform_operation operation, uint64_t sequence, int result,
                              int64_t now_ms);
/* Checks the state and starts whatever is due. Returns the time of the next call, unless the state
 * changes earlier. now_ms is monotonic; wall_ms is compared with the start times of a plan's steps,
 * which are relative to its confirmation. */
int64_t executor_tick (struct executor *executor, const struct fleet *fleet, int64_t now_ms,
                       int64_t wall_ms);
bool executor_holds_claim (const struct executor *executor, int64_t now_ms);
/* Releases the claim for a planned stop. The executor does nothing afterwards. */
void executor_release (struct executor *executor, const struct fleet *fleet, int64_t now_ms);

#endif
