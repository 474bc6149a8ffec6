#include "state.h"

#include <string.h>

/* Confirmation of plans. It is rejected if anything that the plan affects has changed since the
 * offset that the plan is based on. */

/* Returns whether a pool that the plan affects, or one of its services, has changed; if so,
 * rejects. */
static bool
pool_conflicts (const struct fleet *fleet, const struct plan *plan, const char *name,
                struct verdict *verdict)
{
  const struct pool *pool = fleet_find_pool (fleet, name);
  const struct service *service;

  g_assert (pool);
  if (change_conflicts (&pool->changed, plan->based_on, "pool", name, verdict))
    return true;
  LIST_FOREACH (service, &fleet->services, link)
    if (service->pool == pool &&
        change_conflicts (&service->changed, plan->based_on, "service", service->name, verdict))
      return true;
  return false;
}

/* Returns whether a host of the plan is gone, held by another plan or changed; if so, rejects. */
static bool
host_conflicts (const struct fleet *fleet, const struct plan *plan, const Sp__PlanStep *step,
                struct verdict *verdict)
{
  const struct host *host = fleet_find_host (fleet, step->host);

  if (!host)
    {
      verdict_reject (verdict, "host %.60s has gone off the host list", step->host);
      return true;
    }
  if (host->plan)
    {
      verdict_reject (
          verdict, "host %.60s is held by plan %.60s since offset %" G_GUINT64_FORMAT " by %.40s",
          step->host, host->plan->message->id, host->plan->changed.offset,
          host->plan->confirmed_by);
      return true;
    }
  if (change_conflicts (&host->changed, plan->based_on, "host", step->host, verdict))
    return true;
  /* If the plan has several steps for one host, a later one starts in a pool that the host is not
   * in yet. */
  g_assert (plan->n_chained > 0 || strcmp (host->pool->name, step->from_pool) == 0);
  return false;
}

/* Adds the names of the pools that the plan affects: the pool of its intent and those of its
 * steps. */
static void
collect_pools (const struct fleet *fleet, const Sp__Plan *plan, GHashTable *pools)
{
  const Sp__Intent *intent = plan->intent;

  if (intent->kind_case == SP__INTENT__KIND_CAPACITY)
    g_hash_table_add (pools, intent->capacity->pool);
  else if (intent->kind_case == SP__INTENT__KIND_WAVE)
    g_hash_table_add (pools, intent->wave->pool);
  else
    g_hash_table_add (pools, fleet_find_service (fleet, intent->budget->service)->pool->name);
  for (size_t i = 0; i < plan->n_steps; i++)
    {
      g_hash_table_add (pools, plan->steps[i]->from_pool);
      if (plan->steps[i]->kind == SP__STEP_KIND__STEP_KIND_MOVE)
        g_hash_table_add (pools, plan->steps[i]->to_pool);
    }
}

/* Rejects the confirmation if anything that the plan affects has changed since the plan was made.
 * Pools are checked first, by name, then hosts, in the order of the steps; the reason names the
 * first conflict. */
static void
check_conflicts (const struct fleet *fleet, const struct plan *plan, GHashTable *pools,
                 struct verdict *verdict)
{
  GList *names = g_list_sort (g_hash_table_get_keys (pools), (GCompareFunc) strcmp);

  for (GList *name = names; name; name = name->next)
    if (pool_conflicts (fleet, plan, name->data, verdict))
      break;
  g_list_free (names);
  for (size_t i = 0; i < plan->message->n_steps && verdict->kind == VERDICT_ACCEPTED; i++)
    host_conflicts (fleet, plan, plan->message->steps[i], verdict);
}

/* Checks that the plan exists, is not decided yet and has the confirmed revision. */
static void
check_confirm (const struct plan *plan, const Sp__PlanConfirm *confirm, struct verdict *verdict)
{
  static const char *const states[] = { "amended", "confirmed", "withdrawn", "done" };

  if (!plan)
    verdict_reject (verdict, "there is no plan \"%.60s\"", confirm->plan_id);
  else if (plan->state != PLAN_PROPOSED || confirm->revision != plan->message->revision)
    verdict_reject (verdict,
                    "plan %.60s is %s at revision %u since offset %" G_GUINT64_FORMAT " by %.60s",
                    confirm->plan_id, states[plan->state], plan->message->revision,
                    plan->changed.offset, plan->changed.author);
}

/* Applies the change that the plan's intent makes to its pool or service. */
static void
apply_intent (struct fleet *fleet, const struct record_context *at, const Sp__Intent *intent)
{
  if (intent->kind_case == SP__INTENT__KIND_CAPACITY)
    {
      struct pool *pool = fleet_find_pool (fleet, intent->capacity->pool);

      pool->capacity_target = intent->capacity->capacity_target;
      change_set (&pool->declaration, at);
    }
  else if (intent->kind_case == SP__INTENT__KIND_BUDGET)
    {
      struct service *service = fleet_find_service (fleet, intent->budget->service);

      service->availability_permille = intent->budget->availability_permille;
      change_set (&service->changed, at);
    }
}

/* Makes the plan the holder of its hosts until their steps end; each host starts with its first
 * step of the plan. */
static void
plan_hold_hosts (struct fleet *fleet, const struct record_context *at, struct plan *plan)
{
  for (size_t i = 0; i < plan->message->n_steps; i++)
    {
      struct host *host = fleet_find_host (fleet, plan->message->steps[i]->host);

      if (host->plan)
        continue;
      host->plan = plan;
      host->plan_step = (uint32_t) i;
      change_set (&host->changed, at);
    }
}

/* Confirms a plan: applies its intent, makes it the holder of its hosts, and marks the pools that
 * it affects as changed, so that unconfirmed plans that affect them are rejected when they are
 * confirmed. A plan without steps is done immediately. */
void
plan_confirm (struct fleet *fleet, const struct record_context *at, const Sp__PlanConfirm *confirm,
              struct verdict *verdict)
{
  struct plan *plan = fleet_find_plan (fleet, confirm->plan_id);
  GHashTable *pools;
  GHashTableIter iter;
  gpointer name;

  check_confirm (plan, confirm, verdict);
  if (verdict->kind != VERDICT_ACCEPTED)
    return;
  pools = g_hash_table_new (g_str_hash, g_str_equal);
  collect_pools (fleet, plan->message, pools);
  check_conflicts (fleet, plan, pools, verdict);
  if (verdict->kind == VERDICT_ACCEPTED)
    {
      plan_set_state (fleet, plan, PLAN_CONFIRMED);
      plan->confirmed_by = g_strdup (at->author);
      plan->confirmed_ms = at->time_ms;
      change_set (&plan->changed, at);
      g_hash_table_iter_init (&iter, pools);
      while (g_hash_table_iter_next (&iter, &name, NULL))
        change_set (&fleet_find_pool (fleet, name)->changed, at);
      apply_intent (fleet, at, plan->message->intent);
      plan_hold_hosts (fleet, at, plan);
    }
  g_hash_table_destroy (pools);
  if (verdict->kind == VERDICT_ACCEPTED && plan->message->n_steps == 0)
    plan_set_state (fleet, plan, PLAN_DONE);
}
