#include "lib/executor/executor.h"

#include "state.h"

/* Creation and main function of the executor. executor_claim.c has the claim, executor_plan.c the
 * work on plans. */

enum
{
  /* Maximum time until the next tick, and until the next pass over the plans. */
  EXECUTOR_MAX_PASS_INTERVAL_MS = 1000,
  /* Minimum time between two passes over the plans, however often the state changes. */
  EXECUTOR_MIN_PASS_INTERVAL_MS = 20,
};

/* Creates an executor without a claim. */
struct executor *
executor_create (const struct executor_config *config, const struct executor_ops *ops)
{
  struct executor *executor = g_new0 (struct executor, 1);
  const guint32 seed[] = { (guint32) config->incarnation, (guint32) (config->incarnation >> 32) };

  executor->ops = *ops;
  executor->name = g_strdup (config->name);
  executor->claim_ms = config->claim_ms;
  executor->drain_notice_ms = config->drain_notice_ms;
  executor->incarnation = config->incarnation;
  executor->rand = g_rand_new_with_seed_array (seed, G_N_ELEMENTS (seed));
  executor->work = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, host_work_free);
  return executor;
}

/* Frees the executor without releasing its claim, which expires. */
void
executor_destroy (struct executor *executor)
{
  if (!executor)
    return;
  g_hash_table_destroy (executor->work);
  g_rand_free (executor->rand);
  g_free (executor->name);
  g_free (executor);
}

/* Checks the state and starts whatever is due. Returns the time of the next call. The plans are
 * checked only if the state has changed or something is due. */
int64_t
executor_tick (struct executor *executor, const struct fleet *fleet, int64_t now_ms,
               int64_t wall_ms)
{
  int64_t next_ms;

  executor_tick_claim (executor, fleet, now_ms);
  if (fleet_offset (fleet) != executor->pass_offset)
    executor->due_ms = MIN (executor->due_ms, executor->pass_ms + EXECUTOR_MIN_PASS_INTERVAL_MS);
  if (executor_holds_claim (executor, now_ms) && now_ms >= executor->due_ms)
    {
      executor->pass_offset = fleet_offset (fleet);
      executor->pass_ms = now_ms;
      executor->due_ms = now_ms + EXECUTOR_MAX_PASS_INTERVAL_MS;
      executor_tick_plans (executor, fleet, now_ms, wall_ms);
    }
  next_ms = executor_claim_due (executor, now_ms);
  if (executor_holds_claim (executor, now_ms))
    next_ms = MIN (next_ms, executor->due_ms);
  return CLAMP (next_ms, now_ms + 1, now_ms + EXECUTOR_MAX_PASS_INTERVAL_MS);
}
