#include <string.h>

#include "state.h"

/* The executor's claim, which decides which process may act. Each process times it with its own
 * monotonic clock. */

enum
{
  /* The claim's duration divided by these is: the time until it is renewed; the time until a claim
   * request is repeated, and the time between two ticks that counts as a pause; the safety margin
   * before its end at which the holder stops acting; and the maximum jitter before another process
   * acquires it. */
  CLAIM_RENEW_DIVISOR = 3,
  CLAIM_RETRY_DIVISOR = 4,
  CLAIM_MARGIN_DIVISOR = 10,
  CLAIM_JITTER_DIVISOR = 4,
};

/* Handles the claim as recorded in the log. The process's own claim is timed from before it was
 * sent, another process's claim from now. */
void
executor_claim_read (struct executor *executor, const struct claim *claim, int64_t now_ms)
{
  bool own = claim->holder[0] && strcmp (claim->holder, executor->name) == 0 &&
             claim->incarnation == executor->incarnation;
  int64_t jitter_ms;

  if (executor->claim_read && claim->offset <= executor->claim_offset)
    return;
  executor->claim_read = true;
  executor->claim_offset = claim->offset;
  executor->claim_retry_ms = now_ms;
  if (own)
    {
      executor->term = claim->term;
      executor->claim_sent_ms = claim->sent_ms;
      executor->holds_until_ms = claim->sent_ms + (int64_t) claim->duration_ms -
                                 (int64_t) claim->duration_ms / CLAIM_MARGIN_DIVISOR;
      return;
    }
  jitter_ms = g_rand_int_range (executor->rand, 0,
                                (gint32) (executor->claim_ms / CLAIM_JITTER_DIVISOR) + 1);
  executor->term = 0;
  executor->holds_until_ms = 0;
  executor->acquire_from_ms = now_ms + jitter_ms;
  if (claim->holder[0])
    executor->acquire_from_ms += (int64_t) claim->duration_ms;
}

/* Returns whether this process may act now. After a pause, a claim that was sent before the pause
 * does not count. */
bool
executor_holds_claim (const struct executor *executor, int64_t now_ms)
{
  return executor->term && !executor->released && now_ms < executor->holds_until_ms &&
         executor->claim_sent_ms >= executor->pause_end_ms;
}

/* Requests a claim record: to acquire the claim, or to renew or release the own one. */
static void
send_claim (struct executor *executor, bool release, int64_t now_ms)
{
  Sp__Record record = SP__RECORD__INIT;
  Sp__Claim claim = SP__CLAIM__INIT;

  claim.holder = executor->name;
  claim.duration_ms = executor->claim_ms;
  claim.release = release;
  claim.renew_term = executor->term;
  claim.incarnation = executor->incarnation;
  claim.sent_ms = now_ms;
  record.body_case = SP__RECORD__BODY_CLAIM;
  record.claim = &claim;
  executor->claim_retry_ms = now_ms + (int64_t) executor->claim_ms / CLAIM_RETRY_DIVISOR;
  executor->ops.append (executor->ops.ctx, &record);
}

/* Returns when the next claim record must be requested. */
int64_t
executor_claim_due (const struct executor *executor, int64_t now_ms)
{
  int64_t due_ms = executor->acquire_from_ms;

  if (executor->released)
    return now_ms + (int64_t) executor->claim_ms;
  if (executor->term)
    due_ms = executor->claim_sent_ms < executor->pause_end_ms
                 ? now_ms
                 : executor->claim_sent_ms + (int64_t) executor->claim_ms / CLAIM_RENEW_DIVISOR;
  return MAX (due_ms, executor->claim_retry_ms);
}

/* Reads the claim from the state, and requests a claim record if one is due. A long time since the
 * previous tick counts as a pause of this process, after which it must renew its claim before it
 * acts again. */
void
executor_tick_claim (struct executor *executor, const struct fleet *fleet, int64_t now_ms)
{
  if (executor->previous_tick_ms &&
      now_ms - executor->previous_tick_ms > (int64_t) executor->claim_ms / CLAIM_RETRY_DIVISOR)
    executor->pause_end_ms = now_ms;
  executor->previous_tick_ms = now_ms;
  executor_claim_read (executor, fleet_claim (fleet), now_ms);
  if (!executor->released && now_ms >= executor_claim_due (executor, now_ms))
    send_claim (executor, false, now_ms);
}

/* Releases the claim. The executor does nothing afterwards. */
void
executor_release (struct executor *executor, G_GNUC_UNUSED const struct fleet *fleet,
                  int64_t now_ms)
{
  if (executor->released)
    return;
  if (executor->term)
    send_claim (executor, true, now_ms);
  executor->released = true;
}
