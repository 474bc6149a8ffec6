#ifndef SESAMEPICK_LIB_EXECUTOR_STATE_H
#define SESAMEPICK_LIB_EXECUTOR_STATE_H

#include "lib/executor/executor.h"

/* Internals shared by the executor*.c files. Not for users of the library. */

/* What this process has done for a host in the host's current state. It may be lost at any time:
 * the state on the log tells the next holder of the claim where to continue. */
struct host_work
{
  char *host;
  char *plan_id;
  enum host_state state;
  /* Time at which this process first saw the host in this state. */
  int64_t state_entered_ms;
  /* The operation that belongs to the state: the last one started, whether its response is
   * outstanding, whether it succeeded, and the number of failures that the host caused. */
  enum platform_operation operation;
  uint64_t sequence;
  bool response_pending;
  bool succeeded;
  int64_t operate_retry_ms;
  uint32_t failures;
  /* The record of the next step is not requested again before this time. */
  int64_t append_retry_ms;
  /* The executor's pass_number at the last pass that visited the host. */
  uint64_t pass_number;
};

struct executor
{
  struct executor_ops ops;
  char *name;
  uint64_t claim_ms;
  uint64_t drain_notice_ms;
  uint64_t incarnation;
  GRand *rand;

  /* The last claim that was read from the log. */
  uint64_t claim_offset;
  bool claim_read;
  /* Own claim: its term (0 if none) and the time on this process's clock until which it is
   * valid. */
  uint64_t term;
  int64_t holds_until_ms;
  /* Claim of another process: the earliest time to acquire it. */
  int64_t acquire_from_ms;
  /* No acquisition or renewal is requested before this time. */
  int64_t claim_retry_ms;
  bool released;

  int64_t previous_tick_ms;
  /* Time of the last resumption after a pause. Only a claim sent since then allows this process to
   * act. */
  int64_t pause_end_ms;
  int64_t claim_sent_ms;

  GHashTable *work;
  uint64_t pass_number;
  /* Offset and time of the last pass over the plans, and time of the next one. */
  uint64_t pass_offset;
  int64_t pass_ms;
  int64_t due_ms;
};

/* executor_claim.c */
void executor_tick_claim (struct executor *executor, const struct fleet *fleet, int64_t now_ms);
int64_t executor_claim_due (const struct executor *executor, int64_t now_ms);

/* executor_plan.c */
void executor_tick_plans (struct executor *executor, const struct fleet *fleet, int64_t now_ms,
                          int64_t wall_ms);
void host_work_free (gpointer work);

#endif
