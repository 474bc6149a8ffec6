#include "state.h"

#include <string.h>

/* Plans: proposal, amendment, withdrawal and completion. Confirmation is in fleet_confirm.c. */

enum
{
  PLAN_MAX_STEPS = 65536,
  PERMILLE = 1000,
};

Sp__Plan *
plan_copy_message (const Sp__Plan *message)
{
  size_t size = sp__plan__get_packed_size (message);
  uint8_t *bytes = g_malloc (size + 1);
  Sp__Plan *copy;

  sp__plan__pack (message, bytes);
  copy = sp__plan__unpack (NULL, size, bytes);
  g_assert (copy);
  g_free (bytes);
  return copy;
}

/* Counts the steps that follow an earlier step of the same host. */
static uint32_t
count_chained (const Sp__Plan *message)
{
  GHashTable *hosts = g_hash_table_new (g_str_hash, g_str_equal);
  uint32_t n;

  for (size_t i = 0; i < message->n_steps; i++)
    g_hash_table_add (hosts, message->steps[i]->host);
  n = (uint32_t) (message->n_steps - g_hash_table_size (hosts));
  g_hash_table_destroy (hosts);
  return n;
}

/* Adds a plan in the state PLAN_PROPOSED. Takes ownership of the message. */
struct plan *
plan_create (struct fleet *fleet, Sp__Plan *message)
{
  struct plan *plan = g_new0 (struct plan, 1);

  plan->message = message;
  plan->state = PLAN_PROPOSED;
  plan->outcomes = g_new0 (enum step_outcome, message->n_steps);
  plan->n_chained = count_chained (message);
  LIST_INSERT_HEAD (&fleet->plans, plan, link);
  g_hash_table_insert (fleet->plans_by_id, message->id, plan);
  fleet->n_proposed++;
  fleet->n_open_steps += message->n_steps;
  return plan;
}

/* Removes the plan from the list of plans and frees it. */
void
plan_destroy (struct plan *plan)
{
  LIST_REMOVE (plan, link);
  sp__plan__free_unpacked (plan->message, NULL);
  g_free (plan->author);
  g_free (plan->confirmed_by);
  g_free (plan->changed.author);
  g_free (plan->outcomes);
  g_free (plan);
}

bool
plan_has_ended (const struct plan *plan)
{
  return plan->state == PLAN_WITHDRAWN || plan->state == PLAN_DONE;
}

/* Returns whether plan a ended before plan b; plans that ended at the same offset are ordered by
 * id. */
static bool
ended_before (const struct plan *a, const struct plan *b)
{
  if (a->ended_offset != b->ended_offset)
    return a->ended_offset < b->ended_offset;
  return strcmp (a->message->id, b->message->id) < 0;
}

/* Adds a plan that has ended to the list of ended plans, which is ordered by their end, and updates
 * the counts. */
void
plan_add_ended (struct fleet *fleet, struct plan *plan)
{
  struct plan *before = TAILQ_LAST (&fleet->ended, ended_list);

  while (before && ended_before (plan, before))
    before = TAILQ_PREV (before, ended_list, ended_link);
  if (before)
    TAILQ_INSERT_AFTER (&fleet->ended, before, plan, ended_link);
  else
    TAILQ_INSERT_HEAD (&fleet->ended, plan, ended_link);
  fleet->n_ended++;
  fleet->n_open_steps -= plan->message->n_steps;
  fleet->n_ended_steps += plan->message->n_steps;
}

/* Drops the plans that ended first while there are too many ended plans or steps. The last plan
 * stays, however large it is. */
void
plan_trim_ended (struct fleet *fleet)
{
  while (fleet->n_ended > 1 &&
         (fleet->n_ended > FLEET_MAX_ENDED_PLANS || fleet->n_ended_steps > FLEET_MAX_ENDED_STEPS))
    {
      struct plan *oldest = TAILQ_FIRST (&fleet->ended);

      TAILQ_REMOVE (&fleet->ended, oldest, ended_link);
      g_hash_table_remove (fleet->plans_by_id, oldest->message->id);
      fleet->n_ended--;
      fleet->n_ended_steps -= oldest->message->n_steps;
      plan_destroy (oldest);
    }
}

/* Sets the plan's state and updates the fleet's counts of plans. */
void
plan_set_state (struct fleet *fleet, struct plan *plan, enum plan_state state)
{
  if (plan->state == PLAN_PROPOSED)
    fleet->n_proposed--;
  plan->state = state;
  if (!plan_has_ended (plan))
    return;
  plan->ended_offset = fleet->entry_offset;
  plan_add_ended (fleet, plan);
}

/* Returns whether the plan is confirmed and has not ended. Such a plan has open steps and holds
 * their hosts. */
bool
plan_is_active (const struct plan *plan)
{
  return plan->state == PLAN_CONFIRMED;
}

/* Returns the index of the host's next open step after its current one, or the number of steps if
 * there is none. */
static uint32_t
next_open_step (const struct plan *plan, const struct host *host)
{
  uint32_t n_steps = (uint32_t) plan->message->n_steps;
  uint32_t i = host->plan_step + 1;

  if (plan->n_chained == 0)
    return n_steps;
  while (i < n_steps && (plan->outcomes[i] != STEP_OPEN ||
                         strcmp (plan->message->steps[i]->host, host->name) != 0))
    i++;
  return i;
}

/* Ends the host's current step. The host continues with its next step of the plan, or is released
 * if there is none. If the step did not succeed or the plan is being stopped, the host's later
 * steps end too. The plan ends with its last open step. */
void
plan_end_step (struct fleet *fleet, struct host *host, enum step_outcome outcome)
{
  struct plan *plan = host->plan;
  uint32_t n_steps = (uint32_t) plan->message->n_steps;
  bool has_next = outcome == STEP_DONE && !plan->stopping;

  g_assert (plan->outcomes[host->plan_step] == STEP_OPEN);
  plan->outcomes[host->plan_step] = outcome;
  plan->n_ended++;
  host->plan_step = next_open_step (plan, host);
  while (host->plan_step < n_steps && !has_next)
    {
      plan->outcomes[host->plan_step] = outcome == STEP_DONE ? STEP_WITHDRAWN : outcome;
      plan->n_ended++;
      host->plan_step = next_open_step (plan, host);
    }
  if (host->plan_step >= n_steps)
    {
      host->plan = NULL;
      host->plan_step = 0;
    }
  while (plan->first_open < plan->message->n_steps && plan->outcomes[plan->first_open] != STEP_OPEN)
    plan->first_open++;
  if (plan->n_ended == plan->message->n_steps)
    plan_set_state (fleet, plan, plan->stopping ? PLAN_WITHDRAWN : PLAN_DONE);
}

static void
check_budget_intent (const struct fleet *fleet, const Sp__BudgetIntent *budget,
                     struct verdict *verdict)
{
  if (!fleet_find_service (fleet, budget->service))
    verdict_reject (verdict, "service \"%.60s\" is not declared", budget->service);
  else if (budget->availability_permille == 0 || budget->availability_permille > PERMILLE)
    verdict_reject (verdict, "availability %u is not 1 to %d thousandths",
                    budget->availability_permille, PERMILLE);
}

/* Checks the plan's intent. */
static void
check_intent (const struct fleet *fleet, const Sp__Intent *intent, struct verdict *verdict)
{
  const char *pool = NULL;

  if (!intent || intent->kind_case == SP__INTENT__KIND__NOT_SET)
    {
      verdict_reject (verdict, "the plan has no intent");
      return;
    }
  if (intent->kind_case == SP__INTENT__KIND_CAPACITY)
    pool = intent->capacity->pool;
  else if (intent->kind_case == SP__INTENT__KIND_WAVE)
    pool = intent->wave->pool;
  else
    check_budget_intent (fleet, intent->budget, verdict);
  if (pool && !fleet_find_pool (fleet, pool))
    verdict_reject (verdict, "pool \"%.60s\" is not declared", pool);
  else if (intent->kind_case == SP__INTENT__KIND_WAVE && !string_is_valid (intent->wave->name))
    verdict_reject (verdict, "the wave's name is not UTF-8 of at most %d bytes",
                    FLEET_MAX_NAME_BYTES);
}

/* Returns the pool in which a step leaves its host. */
static const char *
step_end_pool (const Sp__PlanStep *step)
{
  return step->kind == SP__STEP_KIND__STEP_KIND_MOVE ? step->to_pool : step->from_pool;
}

/* Checks one step; earlier is the previous step of the same host, or NULL. The host must be in
 * from_pool, or be there after the earlier step, which must end before this one starts. The
 * destination pool of a move must exist and differ from from_pool. */
static void
check_plan_step (const struct fleet *fleet, const Sp__PlanStep *step, const Sp__PlanStep *earlier,
                 struct verdict *verdict)
{
  const struct host *host = fleet_find_host (fleet, step->host);
  bool move = step->kind == SP__STEP_KIND__STEP_KIND_MOVE;

  if (step->kind > SP__STEP_KIND__STEP_KIND_MAINTAIN)
    verdict_reject (verdict, "a step on host %.60s is of no known kind", step->host);
  else if (!host)
    verdict_reject (verdict, "host \"%.60s\" is not on the host list", step->host);
  else if (earlier && (strcmp (step_end_pool (earlier), step->from_pool) != 0 ||
                       step->start_ms < earlier->end_ms))
    verdict_reject (verdict, "host %.60s has two steps that don't follow each other", step->host);
  else if (!earlier && strcmp (host->pool->name, step->from_pool) != 0)
    verdict_reject (verdict,
                    "host %.60s is in pool %.60s since offset %" G_GUINT64_FORMAT ", not in %.60s",
                    step->host, host->pool->name, host->changed.offset, step->from_pool);
  else if (move && !fleet_find_pool (fleet, step->to_pool))
    verdict_reject (verdict, "pool \"%.60s\" is not declared", step->to_pool);
  else if (move && strcmp (step->to_pool, step->from_pool) == 0)
    verdict_reject (verdict, "host %.60s is to move to its own pool", step->host);
}

/* Checks a proposed or amended plan against the limits on steps and against the state. */
static void
check_message (const struct fleet *fleet, const Sp__Plan *plan, struct verdict *verdict)
{
  GHashTable *hosts;

  check_intent (fleet, plan->intent, verdict);
  if (verdict->kind != VERDICT_ACCEPTED)
    return;
  if (plan->n_steps > PLAN_MAX_STEPS || fleet->n_open_steps + plan->n_steps > FLEET_MAX_OPEN_STEPS)
    {
      verdict_reject (verdict, "the plan has more than %d steps, or all open ones more than %d",
                      PLAN_MAX_STEPS, FLEET_MAX_OPEN_STEPS);
      return;
    }
  hosts = g_hash_table_new (g_str_hash, g_str_equal);
  for (size_t i = 0; i < plan->n_steps && verdict->kind == VERDICT_ACCEPTED; i++)
    {
      Sp__PlanStep *step = plan->steps[i];

      check_plan_step (fleet, step, g_hash_table_lookup (hosts, step->host), verdict);
      g_hash_table_insert (hosts, step->host, step);
    }
  g_hash_table_destroy (hosts);
}

/* Adds a proposed plan, which operators can then confirm, amend or withdraw. */
void
plan_propose (struct fleet *fleet, const struct record_context *at, const Sp__PlanPropose *propose,
              struct verdict *verdict)
{
  const struct plan *known;
  struct plan *plan;

  if (!propose->plan || !name_is_valid (propose->plan->id))
    {
      verdict_reject (verdict, "the plan's id is not valid");
      return;
    }
  known = fleet_find_plan (fleet, propose->plan->id);
  if (known)
    verdict_reject (verdict, "plan %.60s was proposed before, by %.60s", propose->plan->id,
                    known->author);
  else if (propose->plan->revision != 1)
    verdict_reject (verdict, "plan %.60s: a new plan has revision 1", propose->plan->id);
  else if (fleet->n_proposed >= FLEET_MAX_PROPOSED_PLANS)
    verdict_reject (verdict, "%u plans wait to be confirmed or withdrawn", fleet->n_proposed);
  else
    check_message (fleet, propose->plan, verdict);
  if (verdict->kind != VERDICT_ACCEPTED)
    return;
  plan = plan_create (fleet, plan_copy_message (propose->plan));
  plan->based_on = at->seen_offset;
  plan->author = g_strdup (at->author);
  change_set (&plan->changed, at);
}

/* Replaces a plan that is not confirmed yet with its next revision. */
void
plan_amend (struct fleet *fleet, const struct record_context *at, const Sp__PlanAmend *amend,
            struct verdict *verdict)
{
  struct plan *plan;

  plan = amend->plan ? fleet_find_plan (fleet, amend->plan->id) : NULL;
  if (!plan)
    {
      verdict_reject (verdict, "there is no such plan");
      return;
    }
  if (plan->state != PLAN_PROPOSED || amend->plan->revision != plan->message->revision + 1)
    verdict_reject (verdict,
                    "plan %.60s is %s at revision %u since offset %" G_GUINT64_FORMAT " by %.60s",
                    amend->plan->id, plan->state == PLAN_PROPOSED ? "open" : "decided",
                    plan->message->revision, plan->changed.offset, plan->changed.author);
  else
    check_message (fleet, amend->plan, verdict);
  if (verdict->kind != VERDICT_ACCEPTED)
    return;
  g_hash_table_remove (fleet->plans_by_id, plan->message->id);
  fleet->n_open_steps += amend->plan->n_steps - plan->message->n_steps;
  sp__plan__free_unpacked (plan->message, NULL);
  plan->message = plan_copy_message (amend->plan);
  g_hash_table_insert (fleet->plans_by_id, plan->message->id, plan);
  plan->n_chained = count_chained (plan->message);
  plan->outcomes = g_renew (enum step_outcome, plan->outcomes, plan->message->n_steps);
  for (size_t i = 0; i < plan->message->n_steps; i++)
    plan->outcomes[i] = STEP_OPEN;
  plan->based_on = at->seen_offset;
  change_set (&plan->changed, at);
}

/* Ends the steps of a confirmed plan that have not begun. Steps in progress continue until they
 * end. */
static void
stop_steps (struct fleet *fleet, struct plan *plan)
{
  size_t n_steps = plan->message->n_steps;

  plan->stopping = true;
  for (size_t i = 0; i < n_steps && plan->state == PLAN_CONFIRMED; i++)
    {
      struct host *host;

      if (plan->outcomes[i] != STEP_OPEN)
        continue;
      host = fleet_find_host (fleet, plan->message->steps[i]->host);
      g_assert (host && host->plan == plan);
      if (host->state == HOST_SERVING)
        plan_end_step (fleet, host, STEP_WITHDRAWN);
    }
}

/* Withdraws a plan. The author must have seen the plan's last change. */
void
plan_withdraw (struct fleet *fleet, const struct record_context *at,
               const Sp__PlanWithdraw *withdraw, struct verdict *verdict)
{
  struct plan *plan = fleet_find_plan (fleet, withdraw->plan_id);

  if (!plan)
    {
      verdict_reject (verdict, "there is no plan \"%.60s\"", withdraw->plan_id);
      return;
    }
  if (plan_has_ended (plan) || plan->stopping)
    verdict_reject (verdict, "plan %.60s is %s since offset %" G_GUINT64_FORMAT " by %.60s",
                    withdraw->plan_id, plan->state == PLAN_DONE ? "done" : "withdrawn",
                    plan->changed.offset, plan->changed.author);
  else
    change_conflicts (&plan->changed, at->seen_offset, "plan", withdraw->plan_id, verdict);
  if (verdict->kind != VERDICT_ACCEPTED)
    return;
  change_set (&plan->changed, at);
  if (plan->state == PLAN_PROPOSED)
    plan_set_state (fleet, plan, PLAN_WITHDRAWN);
  else
    stop_steps (fleet, plan);
}
