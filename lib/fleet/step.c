#include "state.h"

#include <string.h>

#include "task_table.h"

/* The executor's claim, and the step records that its holder writes for each host of a plan. A step
 * that would break an availability budget is rejected, even if a confirmed plan contains it. */

enum
{
  PERMILLE = 1000,
  /* Limits of the duration of a claim. */
  CLAIM_MIN_MS = 100,
  CLAIM_MAX_MS = 3600000,
};

/* Gives the claim to a new holder, or to a new incarnation of the same holder. It gets a new
 * term. */
static void
claim_acquire (struct fleet *fleet, const struct record_context *at, const Sp__Claim *claim)
{
  g_free (fleet->claim.holder);
  fleet->claim.holder = g_strdup (claim->holder);
  fleet->claim.term = record_term (at);
  fleet->claim.offset = at->offset;
  fleet->claim.duration_ms = claim->duration_ms;
  fleet->claim.incarnation = claim->incarnation;
  fleet->claim.sent_ms = claim->sent_ms;
}

/* Renews the holder's claim. The term stays the same. */
static void
claim_renew (struct fleet *fleet, const struct record_context *at, const Sp__Claim *claim)
{
  fleet->claim.offset = at->offset;
  fleet->claim.duration_ms = claim->duration_ms;
  fleet->claim.sent_ms = claim->sent_ms;
}

/* Releases the claim. The term is kept; the next one is higher. */
static void
claim_release (struct fleet *fleet, const struct record_context *at)
{
  g_free (fleet->claim.holder);
  fleet->claim.holder = g_strdup ("");
  fleet->claim.offset = at->offset;
}

/* Applies a claim record. To acquire the claim, the author must have seen its last change; to renew
 * or release it, the record must name the current term and holder. If several fleetds compete, the
 * first record in the log wins. */
void
claim_apply (struct fleet *fleet, const struct record_context *at, const Sp__Claim *claim,
             struct verdict *verdict)
{
  const struct claim *held = &fleet->claim;

  if (!name_is_valid (claim->holder))
    verdict_reject (verdict, "claim: holder's name is not valid");
  else if (!claim->release &&
           (claim->duration_ms < CLAIM_MIN_MS || claim->duration_ms > CLAIM_MAX_MS))
    verdict_reject (verdict, "claim: duration is not %d to %d ms", CLAIM_MIN_MS, CLAIM_MAX_MS);
  else if ((claim->renew_term || claim->release) &&
           (claim->renew_term != held->term || strcmp (claim->holder, held->holder) != 0))
    verdict_reject (verdict, "the claim is held by \"%.60s\" since offset %" G_GUINT64_FORMAT,
                    held->holder, held->term >> TERM_INDEX_BITS);
  else if (claim->release)
    claim_release (fleet, at);
  else if (claim->renew_term)
    claim_renew (fleet, at, claim);
  else if (at->seen_offset < held->offset)
    verdict_reject (verdict,
                    "the claim was taken or renewed at offset %" G_GUINT64_FORMAT " by \"%.60s\"",
                    held->offset, held->holder);
  else
    claim_acquire (fleet, at, claim);
}

/* Returns the number of hosts of the pool that must serve at all times: the highest availability
 * among its services, applied to the capacity target and rounded up. */
uint32_t
pool_min_serving (const struct fleet *fleet, const struct pool *pool)
{
  const struct service *service;
  uint64_t permille = 0;

  LIST_FOREACH (service, &fleet->services, link)
    if (service->pool == pool)
      permille = MAX (permille, service->availability_permille);
  return (uint32_t) ((pool->capacity_target * permille + PERMILLE - 1) / PERMILLE);
}

/* Returns the host state that a step record requires, given whether the plan's step is a move or
 * maintenance. HOST_SERVING means that the record is not allowed. */
static enum host_state
required_state (Sp__StepKind kind, Sp__HostStepKind step)
{
  bool move = kind == SP__STEP_KIND__STEP_KIND_MOVE;

  switch (step)
    {
    case SP__HOST_STEP_KIND__HOST_STEP_KIND_DRAINED:
      return HOST_LEAVING;
    case SP__HOST_STEP_KIND__HOST_STEP_KIND_LEFT:
      return move ? HOST_DRAINED : HOST_SERVING;
    case SP__HOST_STEP_KIND__HOST_STEP_KIND_BELONGS:
      return move ? HOST_LEFT : HOST_SERVING;
    case SP__HOST_STEP_KIND__HOST_STEP_KIND_REBOOTED:
      return move ? HOST_SERVING : HOST_DRAINED;
    case SP__HOST_STEP_KIND__HOST_STEP_KIND_SERVING:
      return move ? HOST_SERVING : HOST_REBOOTED;
    default:
      return HOST_SERVING;
    }
}

/* Checks that the host may leave service now: it is in no step, its plan was not withdrawn, and its
 * pool's budget allows it. */
static void
check_leaving (const struct fleet *fleet, const struct host *host, struct verdict *verdict)
{
  uint32_t required = pool_min_serving (fleet, host->pool);

  if (host->state != HOST_SERVING)
    verdict_reject (verdict, "host %.60s is in a step already", host->name);
  else if (host->plan->stopping)
    verdict_reject (verdict, "plan %.60s was withdrawn at offset %" G_GUINT64_FORMAT " by %.40s",
                    host->plan->message->id, host->plan->changed.offset,
                    host->plan->changed.author);
  else if (host_serves (host) && host->pool->n_serving <= required)
    verdict_reject (verdict,
                    "pool %.60s has %u hosts that serve and must keep %u: host %.60s stays",
                    host->pool->name, host->pool->n_serving, required, host->name);
}

/* Checks the step's claim, plan and order. Returns its host, or NULL if the step was rejected. */
static struct host *
check_step (const struct fleet *fleet, const Sp__HostStep *step, struct verdict *verdict)
{
  struct host *host = fleet_find_host (fleet, step->host);
  Sp__StepKind kind;

  if (!fleet->claim.holder[0] || step->term != fleet->claim.term)
    verdict_reject (verdict, "the claim is held by \"%.60s\" since offset %" G_GUINT64_FORMAT,
                    fleet->claim.holder, fleet->claim.term >> TERM_INDEX_BITS);
  else if (!host)
    verdict_reject (verdict, "host %.60s is not on the host list", step->host);
  else if (!host->plan || strcmp (host->plan->message->id, step->plan_id) != 0)
    verdict_reject (verdict, "host %.60s is not held by plan %.60s", step->host, step->plan_id);
  else if (step->kind == SP__HOST_STEP_KIND__HOST_STEP_KIND_LEAVING)
    check_leaving (fleet, host, verdict);
  else if (step->kind == SP__HOST_STEP_KIND__HOST_STEP_KIND_ABANDONED)
    {
      if (host->state != HOST_RETURNING)
        verdict_reject (verdict, "host %.60s is not returning", step->host);
    }
  else if (step->kind == SP__HOST_STEP_KIND__HOST_STEP_KIND_RETURNING)
    {
      if (host->state == HOST_SERVING || host->state == HOST_RETURNING)
        verdict_reject (verdict, "host %.60s is in no step that can fail", step->host);
    }
  else
    {
      kind = host->plan->message->steps[host->plan_step]->kind;
      if (host->state == HOST_SERVING || host->state != required_state (kind, step->kind))
        verdict_reject (verdict, "host %.60s: the step is out of order", step->host);
    }
  return verdict->kind == VERDICT_ACCEPTED ? host : NULL;
}

/* Completes a move: the host now belongs to the step's destination pool and serves there. */
static void
step_complete_move (struct fleet *fleet, const struct record_context *at, struct host *host)
{
  const Sp__PlanStep *step = host->plan->message->steps[host->plan_step];
  struct pool *to = fleet_find_pool (fleet, step->to_pool);
  struct usage_month *usage;

  g_assert (to);
  usage = usage_row_at (fleet, host->pool->name, host->host_class, at->time_ms);
  if (usage)
    usage->moves_out++;
  usage = usage_row_at (fleet, to->name, host->host_class, at->time_ms);
  if (usage)
    usage->moves_in++;
  change_set (&host->pool->changed, at);
  change_set (&to->changed, at);
  host_set (host, HOST_SERVING, host->presence);
  host_move (host, to);
  plan_end_step (fleet, host, STEP_DONE);
}

/* Ends a step that failed, after the attempt to return the host. The host serves its old pool
 * again; if it is lost or off the list, it is removed. */
static void
step_abandon (struct fleet *fleet, const struct record_context *at, struct host *host, bool lost)
{
  plan_end_step (fleet, host, STEP_ABANDONED);
  if (lost || host->presence == SP__HOST_PRESENCE__HOST_PRESENCE_GONE)
    host_remove (fleet, at, host, MAX (host->list_version, fleet->list_version));
  else
    host_set (host, HOST_SERVING, host->presence);
}

/* Applies an accepted step record to its host. */
static void
host_step_transition (struct fleet *fleet, const struct record_context *at, struct host *host,
                      const Sp__HostStep *step)
{
  change_set (&host->changed, at);
  host->stepped_ms = at->time_ms;
  switch (step->kind)
    {
    case SP__HOST_STEP_KIND__HOST_STEP_KIND_LEAVING:
      host_set (host, HOST_LEAVING, host->presence);
      g_assert (host->presence != SP__HOST_PRESENCE__HOST_PRESENCE_LIVE ||
                host->pool->n_serving >= pool_min_serving (fleet, host->pool));
      break;
    case SP__HOST_STEP_KIND__HOST_STEP_KIND_DRAINED:
      host_set (host, HOST_DRAINED, host->presence);
      worker_requeue_tasks (fleet->tasks, host->name);
      break;
    case SP__HOST_STEP_KIND__HOST_STEP_KIND_LEFT:
      host_set (host, HOST_LEFT, host->presence);
      break;
    case SP__HOST_STEP_KIND__HOST_STEP_KIND_REBOOTED:
      host_set (host, HOST_REBOOTED, host->presence);
      break;
    case SP__HOST_STEP_KIND__HOST_STEP_KIND_RETURNING:
      host_set (host, HOST_RETURNING, host->presence);
      break;
    case SP__HOST_STEP_KIND__HOST_STEP_KIND_BELONGS:
      step_complete_move (fleet, at, host);
      break;
    case SP__HOST_STEP_KIND__HOST_STEP_KIND_SERVING:
      host->maintained_ms = at->time_ms;
      host_set (host, HOST_SERVING, host->presence);
      plan_end_step (fleet, host, STEP_DONE);
      break;
    /* ABANDONED: host_step_apply has rejected unknown kinds. */
    default:
      step_abandon (fleet, at, host, step->lost);
    }
}

/* Applies a step record of the claim's holder. */
void
host_step_apply (struct fleet *fleet, const struct record_context *at, const Sp__HostStep *step,
                 struct verdict *verdict)
{
  struct host *host;

  if (step->kind > SP__HOST_STEP_KIND__HOST_STEP_KIND_RETURNING)
    {
      verdict_reject (verdict, "host %.60s: the kind of step is not known", step->host);
      return;
    }
  host = check_step (fleet, step, verdict);
  if (host)
    host_step_transition (fleet, at, host, step);
}
