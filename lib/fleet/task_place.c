#include <string.h>

#include "task_table.h"

/* Placement of queued tasks on hosts. It only proposes records; the state transitions in task.c
 * decide when the records are applied. */

enum
{
  /* Clocks of record authors differ, so a lease expires only this long after its end. */
  LEASE_CLOCK_MARGIN_MS = 2000,
};

/* The hosts of one pool, grouped by their number of free slots. */
struct host_buckets
{
  GPtrArray **by_free_slots;
  uint32_t max_slots;
  uint32_t n_hosts;
};

/* A placement in progress. */
struct placement
{
  const struct fleet *fleet;
  int64_t wall_ms;
  uint64_t lease_ms;
  size_t limit;
  GPtrArray *steps;
  GHashTable *pools;
  /* Used slots by team, including the leases proposed by this placement. */
  GHashTable *team_slots;
};

static void
step_free (gpointer step)
{
  sp__task_step__free_unpacked (step, NULL);
}

static void
host_buckets_free (gpointer pointer)
{
  struct host_buckets *hosts = pointer;

  for (uint32_t i = 0; i <= hosts->max_slots; i++)
    if (hosts->by_free_slots[i])
      g_ptr_array_unref (hosts->by_free_slots[i]);
  g_free (hosts->by_free_slots);
  g_free (hosts);
}

/* Adds a record to the proposed ones. */
static Sp__TaskStep *
add_step (struct placement *placement, Sp__TaskStepKind kind, const struct task *task)
{
  Sp__TaskStep *step = g_new (Sp__TaskStep, 1);

  sp__task_step__init (step);
  step->kind = kind;
  step->task = g_strdup (task->name);
  g_ptr_array_add (placement->steps, step);
  return step;
}

/* Returns whether the limit of records is reached. */
static bool
is_full (const struct placement *placement)
{
  return placement->steps->len >= placement->limit;
}

/* Returns the slots that a host can offer now. A host that failed several times in a row gets one
 * task at a time after a pause, which doubles with each further failure; a success resets the
 * failures. */
static uint32_t
host_free_slots (const struct placement *placement, const struct host *host)
{
  const struct task_worker *worker =
      g_hash_table_lookup (placement->fleet->tasks->workers, host->name);
  uint32_t slots = host_task_slots (placement->fleet, host);
  uint32_t doublings;

  if (!host_serves (host))
    return 0;
  if (!worker)
    return slots;
  if (worker->failures >= WORKER_MAX_FAILURES)
    {
      doublings = MIN (worker->failures - WORKER_MAX_FAILURES, WORKER_MAX_BACKOFF_DOUBLINGS);
      if (worker->slots ||
          placement->wall_ms < worker->failed_ms + ((int64_t) WORKER_BACKOFF_MS << doublings))
        return 0;
    }
  return slots > worker->slots ? slots - worker->slots : 0;
}

/* Returns whether the host gets one task at a time, after repeated failures. */
static bool
is_on_probation (const struct placement *placement, const struct host *host)
{
  const struct task_worker *worker =
      g_hash_table_lookup (placement->fleet->tasks->workers, host->name);

  return worker && worker->failures >= WORKER_MAX_FAILURES;
}

/* Adds a host to those with this many free slots. */
static void
host_buckets_add (struct host_buckets *hosts, const struct host *host, uint32_t slots)
{
  if (slots == 0)
    return;
  if (!hosts->by_free_slots[slots])
    hosts->by_free_slots[slots] = g_ptr_array_new ();
  g_ptr_array_add (hosts->by_free_slots[slots], (gpointer) host);
  hosts->n_hosts++;
}

/* Returns the pool's hosts by free slots; collects them on the first call for the pool. Returns
 * NULL if there is no such pool. */
static struct host_buckets *
pool_host_buckets (struct placement *placement, const char *pool_name)
{
  struct host_buckets *hosts = g_hash_table_lookup (placement->pools, pool_name);
  const struct pool *pool = fleet_find_pool (placement->fleet, pool_name);
  const struct host *host;

  if (hosts || !pool)
    return hosts;
  hosts = g_new0 (struct host_buckets, 1);
  LIST_FOREACH (host, &pool->hosts, pool_link)
    hosts->max_slots = MAX (hosts->max_slots, host_task_slots (placement->fleet, host));
  hosts->by_free_slots = g_new0 (GPtrArray *, (gsize) hosts->max_slots + 1);
  LIST_FOREACH (host, &pool->hosts, pool_link)
    host_buckets_add (hosts, host, host_free_slots (placement, host));
  g_hash_table_insert (placement->pools, pool->name, hosts);
  return hosts;
}

static bool
has_failed_on (const struct task *task, const struct host *host)
{
  for (size_t i = 0; i < TASK_MAX_FAILED_HOSTS && task->failed_hosts[i]; i++)
    if (strcmp (task->failed_hosts[i], host->name) == 0)
      return true;
  return false;
}

/* Removes and returns the host with the fewest free slots on which the task fits (best fit). Hosts
 * on which the task has failed are used only if there is no other. Returns NULL if there is none;
 * stores the host's free slots in slots. */
static const struct host *
host_buckets_take (struct host_buckets *hosts, const struct task *task, uint32_t *slots)
{
  GPtrArray *fallback = NULL;
  const struct host *host;

  for (uint32_t i = task->slots; i <= hosts->max_slots; i++)
    {
      GPtrArray *bucket = hosts->by_free_slots[i];

      for (guint j = bucket ? bucket->len : 0; j > 0; j--)
        {
          host = g_ptr_array_index (bucket, j - 1);
          if (has_failed_on (task, host))
            continue;
          g_ptr_array_remove_index_fast (bucket, j - 1);
          hosts->n_hosts--;
          *slots = i;
          return host;
        }
      if (bucket && bucket->len && !fallback)
        {
          fallback = bucket;
          *slots = i;
        }
    }
  if (!fallback)
    return NULL;
  hosts->n_hosts--;
  return g_ptr_array_remove_index_fast (fallback, fallback->len - 1);
}

/* Returns the team's slots under leases, including the proposed ones. */
static uint32_t
team_used_slots (const struct placement *placement, const char *team)
{
  gpointer slots;

  if (g_hash_table_lookup_extended (placement->team_slots, team, NULL, &slots))
    return GPOINTER_TO_UINT (slots);
  return team_slots (placement->fleet->tasks, team);
}

/* Proposes a lease for a queued task, or its failure if it can never be placed. Otherwise the task
 * stays queued. */
static void
place_task (struct placement *placement, const struct task *task)
{
  const Sp__Team *team = fleet_find_team (placement->fleet, task->team);
  uint32_t used = team_used_slots (placement, task->team);
  struct host_buckets *hosts;
  const struct host *host;
  Sp__TaskStep *step;
  uint32_t slots;

  if (task_unplaceable_reason (placement->fleet, task))
    {
      add_step (placement, SP__TASK_STEP_KIND__TASK_STEP_KIND_FAIL, task);
      return;
    }
  if (!team || used + task->slots > team->quota_slots)
    return;
  hosts = pool_host_buckets (placement, task->pool);
  host = hosts && hosts->n_hosts ? host_buckets_take (hosts, task, &slots) : NULL;
  if (!host)
    return;
  if (!is_on_probation (placement, host))
    host_buckets_add (hosts, host, slots - task->slots);
  g_hash_table_insert (placement->team_slots, task->team, GUINT_TO_POINTER (used + task->slots));
  step = add_step (placement, SP__TASK_STEP_KIND__TASK_STEP_KIND_LEASE, task);
  step->host = g_strdup (host->name);
  step->lease_ms = placement->lease_ms;
}

/* Proposes the end of each expired lease. */
static void
expire_leases (struct placement *placement)
{
  const struct task *task;

  TAILQ_FOREACH (task, &placement->fleet->tasks->lists[TASK_LEASED], link)
    {
      if (is_full (placement))
        return;
      if (placement->wall_ms < task->leased_ms + (int64_t) task->lease_ms + LEASE_CLOCK_MARGIN_MS)
        continue;
      add_step (placement, SP__TASK_STEP_KIND__TASK_STEP_KIND_EXPIRE, task)->lease_term =
          task->lease_term;
    }
}

/* Returns the records to append next, at most limit: ends of expired leases, then leases of urgent
 * tasks, then leases of the others, each in the order in which they were queued. A task that can
 * never be placed gets a FAIL instead of a lease. */
GPtrArray *
task_propose_steps (const struct fleet *fleet, int64_t wall_ms, uint64_t lease_ms, size_t limit)
{
  struct placement placement = { fleet, wall_ms, lease_ms, limit, NULL, NULL, NULL };
  const struct task *task;

  placement.steps = g_ptr_array_new_with_free_func (step_free);
  placement.pools = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, host_buckets_free);
  placement.team_slots = g_hash_table_new (g_str_hash, g_str_equal);
  expire_leases (&placement);
  TAILQ_FOREACH (task, &fleet->tasks->urgent, link)
    {
      if (is_full (&placement))
        break;
      place_task (&placement, task);
    }
  TAILQ_FOREACH (task, &fleet->tasks->lists[TASK_QUEUED], link)
    {
      if (is_full (&placement))
        break;
      place_task (&placement, task);
    }
  g_hash_table_destroy (placement.team_slots);
  g_hash_table_destroy (placement.pools);
  return placement.steps;
}
