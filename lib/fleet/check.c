#include "state.h"

#include <string.h>

#include "task_table.h"

/* Invariants of the state. A violation aborts the process. */

/* Checks that the pool's lists and counts match its hosts. Returns the number of its hosts. */
static size_t
check_pool (const struct fleet *fleet, const struct pool *pool)
{
  const struct host *host;
  uint32_t n_hosts = 0;
  uint32_t n_serving = 0;
  uint32_t n_stepping = 0;
  uint32_t n_listed = 0;

  g_assert (fleet_find_pool (fleet, pool->name) == pool);
  LIST_FOREACH (host, &pool->hosts, pool_link)
    {
      g_assert (host->pool == pool);
      n_hosts++;
      n_serving += host_serves (host);
      n_stepping += host->state != HOST_SERVING;
    }
  LIST_FOREACH (host, &pool->stepping, step_link)
    {
      g_assert (host->pool == pool && host->state != HOST_SERVING);
      n_listed++;
    }
  g_assert (n_listed == n_stepping);
  g_assert (n_hosts == pool->n_hosts);
  g_assert (n_serving == pool->n_serving);
  g_assert (n_stepping == pool->n_stepping);
  return n_hosts;
}

/* Checks that a host in a step is held by a plan, and that the plan's current step for it is open
 * and fits the host's state and pool. */
static void
check_host (const struct fleet *fleet, const struct host *host)
{
  const Sp__PlanStep *step;
  bool move;

  g_assert (fleet_find_host (fleet, host->name) == host);
  g_assert (host->pool);
  g_assert (host->state == HOST_SERVING || host->plan);
  if (!host->plan)
    return;
  g_assert (host->plan->state == PLAN_CONFIRMED);
  g_assert (host->plan_step < host->plan->message->n_steps);
  g_assert (host->plan->outcomes[host->plan_step] == STEP_OPEN);
  step = host->plan->message->steps[host->plan_step];
  move = step->kind == SP__STEP_KIND__STEP_KIND_MOVE;
  g_assert (strcmp (step->host, host->name) == 0);
  g_assert (strcmp (step->from_pool, host->pool->name) == 0);
  g_assert (host->state != HOST_LEFT || move);
  g_assert (host->state != HOST_REBOOTED || !move);
  g_assert (!host->plan->stopping || host->state != HOST_SERVING);
}

/* Checks that the host of each open step of a confirmed plan is held by that plan, and that the
 * counts match the outcomes. */
static void
check_plan (const struct fleet *fleet, const struct plan *plan)
{
  uint32_t n_ended = 0;

  g_assert (fleet_find_plan (fleet, plan->message->id) == plan);
  for (size_t i = 0; i < plan->message->n_steps; i++)
    {
      const struct host *host;

      g_assert (i >= plan->first_open || plan->outcomes[i] != STEP_OPEN);
      if (plan->outcomes[i] != STEP_OPEN)
        {
          n_ended++;
          continue;
        }
      if (plan->state != PLAN_CONFIRMED)
        continue;
      host = fleet_find_host (fleet, plan->message->steps[i]->host);
      g_assert (host && host->plan == plan && host->plan_step <= i);
      g_assert (strcmp (plan->message->steps[host->plan_step]->host, host->name) == 0);
    }
  g_assert (n_ended == plan->n_ended);
  g_assert (plan->state != PLAN_CONFIRMED || n_ended < plan->message->n_steps);
  g_assert (plan->state != PLAN_DONE || n_ended == plan->message->n_steps);
  g_assert (plan->state != PLAN_PROPOSED || n_ended == 0);
}

/* Checks all plans and the fleet's counts of plans and steps. */
static void
check_plans (const struct fleet *fleet)
{
  const struct plan *plan;
  uint32_t n_proposed = 0;
  uint32_t n_ended = 0;
  size_t n_open_steps = 0;
  size_t n_ended_steps = 0;

  LIST_FOREACH (plan, &fleet->plans, link)
    {
      if (plan_has_ended (plan))
        n_ended_steps += plan->message->n_steps;
      else
        n_open_steps += plan->message->n_steps;
      check_plan (fleet, plan);
      n_proposed += plan->state == PLAN_PROPOSED;
      n_ended += plan_has_ended (plan);
    }
  g_assert (n_proposed == fleet->n_proposed && n_proposed <= FLEET_MAX_PROPOSED_PLANS);
  g_assert (n_ended == fleet->n_ended && n_ended <= FLEET_MAX_ENDED_PLANS);
  g_assert (n_open_steps == fleet->n_open_steps && n_open_steps <= FLEET_MAX_OPEN_STEPS);
  g_assert (n_ended_steps == fleet->n_ended_steps);
}

/* Checks that the leased slots counted for each host and team match the tasks under leases. */
static void
check_leases (const struct fleet *fleet)
{
  GHashTable *hosts = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTable *teams = g_hash_table_new (g_str_hash, g_str_equal);
  const struct task *task;
  GHashTableIter iter;
  gpointer name;
  gpointer slots;

  TAILQ_FOREACH (task, &fleet->tasks->lists[TASK_LEASED], link)
    {
      uint32_t on_host = GPOINTER_TO_UINT (g_hash_table_lookup (hosts, task->host));
      uint32_t of_team = GPOINTER_TO_UINT (g_hash_table_lookup (teams, task->team));

      g_assert (task->state == TASK_LEASED && task->lease_term);
      g_hash_table_insert (hosts, task->host, GUINT_TO_POINTER (on_host + task->slots));
      g_hash_table_insert (teams, task->team, GUINT_TO_POINTER (of_team + task->slots));
    }
  g_hash_table_iter_init (&iter, hosts);
  while (g_hash_table_iter_next (&iter, &name, &slots))
    g_assert (worker_get (fleet->tasks, name)->slots == GPOINTER_TO_UINT (slots));
  g_hash_table_iter_init (&iter, teams);
  while (g_hash_table_iter_next (&iter, &name, &slots))
    g_assert (team_slots (fleet->tasks, name) == GPOINTER_TO_UINT (slots));
  g_assert (g_hash_table_size (fleet->tasks->team_slots) == g_hash_table_size (teams));
  g_hash_table_destroy (hosts);
  g_hash_table_destroy (teams);
}

/* Checks that each task is in exactly one list, the one for its state. */
static void
check_tasks (const struct fleet *fleet)
{
  const struct task_table *table = fleet->tasks;
  const struct task *task;
  size_t n_tasks = 0;

  for (size_t i = 0; i < TASK_STATES; i++)
    {
      uint32_t n = 0;

      TAILQ_FOREACH (task, &table->lists[i], link)
        {
          g_assert (task->state == i && fleet_find_task (fleet, task->name) == task);
          n++;
        }
      if (i == TASK_QUEUED)
        TAILQ_FOREACH (task, &table->urgent, link)
          {
            g_assert (task->state == i && task->urgent);
            n++;
          }
      g_assert (n == table->counts[i]);
      n_tasks += n;
    }
  g_assert (n_tasks == g_hash_table_size (table->by_name));
  check_leases (fleet);
}

/* Aborts the process if an invariant is broken. Takes time linear in the size of the state. */
void
fleet_check (const struct fleet *fleet)
{
  const struct pool *pool;
  const struct host *host;
  size_t n_in_pools = 0;
  size_t n_hosts = 0;

  LIST_FOREACH (pool, &fleet->pools, link)
    n_in_pools += check_pool (fleet, pool);
  LIST_FOREACH (host, &fleet->hosts, link)
    {
      check_host (fleet, host);
      n_hosts++;
    }
  g_assert (n_in_pools == n_hosts);
  g_assert (n_hosts == g_hash_table_size (fleet->hosts_by_name));
  check_plans (fleet);
  check_tasks (fleet);
  g_assert (fleet->n_ids <= FLEET_MAX_RECORD_IDS && fleet->n_audit <= FLEET_MAX_AUDIT_ENTRIES);
  g_assert (fleet->n_gone <= FLEET_MAX_GONE_HOSTS);
}
