#include "task_table.h"

#include <string.h>

/* State transitions of batch tasks. A task is in one state and under at most one lease at a
 * time. */

enum
{
  PERMILLE = 1000,
};

struct task_table *
task_table_create (void)
{
  struct task_table *table = g_new0 (struct task_table, 1);

  for (size_t i = 0; i < TASK_STATES; i++)
    TAILQ_INIT (&table->lists[i]);
  TAILQ_INIT (&table->urgent);
  table->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  table->workers = g_hash_table_new (g_str_hash, g_str_equal);
  table->team_slots = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return table;
}

static void
task_free (struct task *task)
{
  for (size_t i = 0; i < TASK_MAX_FAILED_HOSTS; i++)
    g_free (task->failed_hosts[i]);
  g_free (task->name);
  g_free (task->team);
  g_free (task->pool);
  g_free (task->host);
  g_free (task->reason);
  g_free (task);
}

/* Frees the table and all tasks. */
void
task_table_destroy (struct task_table *table)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    task_free (value);
  g_hash_table_iter_init (&iter, table->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      g_free (((struct task_worker *) value)->host);
      g_free (value);
    }
  g_hash_table_destroy (table->by_name);
  g_hash_table_destroy (table->workers);
  g_hash_table_destroy (table->team_slots);
  g_free (table);
}

/* Returns the entry of a host; creates it if necessary. */
struct task_worker *
worker_get (struct task_table *table, const char *host)
{
  struct task_worker *worker = g_hash_table_lookup (table->workers, host);

  if (worker)
    return worker;
  worker = g_new0 (struct task_worker, 1);
  worker->host = g_strdup (host);
  g_hash_table_insert (table->workers, worker->host, worker);
  return worker;
}

/* Frees the entry of a host that has neither leases nor failures. */
static void
worker_free_if_unused (struct task_table *table, struct task_worker *worker)
{
  if (worker->slots || worker->failures)
    return;
  g_hash_table_remove (table->workers, worker->host);
  g_free (worker->host);
  g_free (worker);
}

/* Resets the failures of a host that was removed, since another host may get its name. */
void
worker_reset_failures (struct task_table *table, const char *host)
{
  struct task_worker *worker = g_hash_table_lookup (table->workers, host);

  if (!worker)
    return;
  worker->failures = 0;
  worker->failed_ms = 0;
  worker_free_if_unused (table, worker);
}

/* Returns the team's slots under leases. */
uint32_t
team_slots (const struct task_table *table, const char *team)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (table->team_slots, team));
}

/* Changes the team's slots under leases by a number, which may be negative. */
static void
team_add_slots (struct task_table *table, const char *team, int32_t slots)
{
  uint32_t sum = team_slots (table, team) + slots;

  if (sum)
    g_hash_table_insert (table->team_slots, g_strdup (team), GUINT_TO_POINTER (sum));
  else
    g_hash_table_remove (table->team_slots, team);
}

/* Returns the list that contains the task. */
static struct task_list *
task_list_of (struct task_table *table, const struct task *task)
{
  if (task->state == TASK_QUEUED && task->urgent)
    return &table->urgent;
  return &table->lists[task->state];
}

/* Inserts a new or loaded task into the table and counts its lease. */
void
task_table_insert (struct task_table *table, struct task *task)
{
  struct task_worker *worker;

  TAILQ_INSERT_TAIL (task_list_of (table, task), task, link);
  table->counts[task->state]++;
  g_hash_table_insert (table->by_name, task->name, task);
  if (task->state != TASK_LEASED)
    return;
  worker = worker_get (table, task->host);
  worker->slots += task->slots;
  LIST_INSERT_HEAD (&worker->tasks, task, worker_link);
  team_add_slots (table, task->team, (int32_t) task->slots);
}

/* Removes a task from the table and ends its lease. */
static void
task_table_remove (struct task_table *table, struct task *task)
{
  struct task_worker *worker;

  TAILQ_REMOVE (task_list_of (table, task), task, link);
  table->counts[task->state]--;
  g_hash_table_remove (table->by_name, task->name);
  if (task->state != TASK_LEASED)
    return;
  worker = worker_get (table, task->host);
  worker->slots -= task->slots;
  LIST_REMOVE (task, worker_link);
  team_add_slots (table, task->team, -(int32_t) task->slots);
  worker_free_if_unused (table, worker);
  g_clear_pointer (&task->host, g_free);
  task->lease_term = 0;
}

/* Moves a task to another state. reason says why it ended, or is NULL. If too many ended tasks are
 * kept, the oldest one is dropped. */
static void
task_move (struct task_table *table, struct task *task, enum task_state state, const char *reason)
{
  task_table_remove (table, task);
  task->state = state;
  if (reason)
    task->reason = g_strdup (reason);
  task_table_insert (table, task);
  if (state == TASK_QUEUED || state == TASK_LEASED || table->counts[state] <= TASK_MAX_ENDED)
    return;
  task = TAILQ_FIRST (&table->lists[state]);
  task_table_remove (table, task);
  task_free (task);
}

/* Queues the tasks of a drained host again. That does not count as a failure. */
void
worker_requeue_tasks (struct task_table *table, const char *host)
{
  const struct task_worker *worker;

  while ((worker = g_hash_table_lookup (table->workers, host)) && LIST_FIRST (&worker->tasks))
    task_move (table, LIST_FIRST (&worker->tasks), TASK_QUEUED, NULL);
}

/* Returns the host's slots for tasks: the processors of its class, or 0 if the class is not
 * declared. */
uint32_t
host_task_slots (const struct fleet *fleet, const struct host *host)
{
  const Sp__HostClass *class = fleet_find_class (fleet, host->host_class);

  return class ? class->processors : 0;
}

/* Returns why the task can never be placed, according to the quota of its team and the host class
 * of its pool, or NULL if it can. */
const char *
task_unplaceable_reason (const struct fleet *fleet, const struct task *task)
{
  const struct team_entry *team = g_hash_table_lookup (fleet->teams, task->team);
  const struct pool *pool = fleet_find_pool (fleet, task->pool);
  const Sp__HostClass *class = pool ? fleet_find_class (fleet, pool->host_class) : NULL;

  if (team && task->slots > team->message->quota_slots)
    return "it asks for more slots than its team's quota";
  if (class && task->slots > class->processors)
    return "it asks for more slots than a host of its pool has";
  return NULL;
}

/* Adds a task to the queue. A task that can never be placed fails immediately. */
static void
task_submit (struct fleet *fleet, const struct record_context *at, const Sp__TaskStep *step,
             struct verdict *verdict)
{
  const Sp__Team *team = fleet_find_team (fleet, step->team);
  struct task_table *table = fleet->tasks;
  const char *pool = step->pool[0] || !team ? step->pool : team->pool;
  struct task *task;
  const char *reason;

  if (!name_is_valid (step->task))
    verdict_reject (verdict, "task name \"%.40s\" is not valid", step->task);
  else if (g_hash_table_contains (table->by_name, step->task))
    verdict_reject (verdict, "task %.60s was submitted before", step->task);
  else if (!team)
    verdict_reject (verdict, "team \"%.60s\" is not declared", step->team);
  else if (!fleet_find_pool (fleet, pool))
    verdict_reject (verdict, "pool \"%.60s\" is not declared", pool);
  else if (step->slots == 0)
    verdict_reject (verdict, "task %.60s: slots is 0", step->task);
  else if (table->counts[TASK_QUEUED] + table->counts[TASK_LEASED] >= TASK_MAX_OPEN)
    verdict_reject (verdict, "%d tasks are open", TASK_MAX_OPEN);
  if (verdict->kind != VERDICT_ACCEPTED)
    return;
  task = g_new0 (struct task, 1);
  task->name = g_strdup (step->task);
  task->team = g_strdup (step->team);
  task->pool = g_strdup (pool);
  task->slots = step->slots;
  task->run_ms = step->run_ms;
  task->urgent = step->urgent;
  task->submitted_ms = at->time_ms;
  task_table_insert (table, task);
  reason = task_unplaceable_reason (fleet, task);
  if (reason)
    task_move (table, task, TASK_FAILED, reason);
}

/* Checks that a queued task may run on a host. */
static void
check_lease (const struct fleet *fleet, const struct task *task, const Sp__TaskStep *step,
             struct verdict *verdict)
{
  const struct host *host = fleet_find_host (fleet, step->host);
  const Sp__Team *team = fleet_find_team (fleet, task->team);
  const struct task_worker *worker = g_hash_table_lookup (fleet->tasks->workers, step->host);
  uint32_t used = worker ? worker->slots : 0;

  if (task->state != TASK_QUEUED)
    verdict_reject (verdict, "task %.60s is not queued", task->name);
  else if (!host || !host_serves (host) || strcmp (host->pool->name, task->pool) != 0)
    verdict_reject (verdict, "host %.60s does not serve in pool %.60s", step->host, task->pool);
  else if (used + task->slots > host_task_slots (fleet, host))
    verdict_reject (verdict, "host %.60s has no %u slots free", step->host, task->slots);
  else if (!team || team_slots (fleet->tasks, task->team) + task->slots > team->quota_slots)
    verdict_reject (verdict, "team %.60s has used its quota", task->team);
  else if (step->lease_ms < TASK_MIN_LEASE_MS || step->lease_ms > TASK_MAX_LEASE_MS)
    verdict_reject (verdict, "task %.60s: lease_ms is out of range", task->name);
}

/* Starts a task's lease on a host. The record's position is the lease's term. */
static void
task_lease (struct fleet *fleet, const struct record_context *at, struct task *task,
            const Sp__TaskStep *step, struct verdict *verdict)
{
  check_lease (fleet, task, step, verdict);
  if (verdict->kind != VERDICT_ACCEPTED)
    return;
  task_table_remove (fleet->tasks, task);
  task->state = TASK_LEASED;
  task->host = g_strdup (step->host);
  task->lease_term = record_term (at);
  task->lease_ms = step->lease_ms;
  task->leased_ms = at->time_ms;
  task_table_insert (fleet->tasks, task);
}

/* Adds a host to those on which the task failed. Returns their number. */
static size_t
task_add_failed_host (struct task *task, const char *host)
{
  size_t i;

  for (i = 0; i < TASK_MAX_FAILED_HOSTS && task->failed_hosts[i]; i++)
    if (strcmp (task->failed_hosts[i], host) == 0)
      break;
  if (i < TASK_MAX_FAILED_HOSTS && !task->failed_hosts[i])
    task->failed_hosts[i] = g_strdup (host);
  for (i = 0; i < TASK_MAX_FAILED_HOSTS && task->failed_hosts[i];)
    i++;
  return i;
}

/* Ends a lease whose task failed or which expired. A host that has failed several times in a row is
 * presumed faulty: a failure there is not added to the task's failed hosts. */
static void
task_fail_lease (struct fleet *fleet, const struct record_context *at, struct task *task,
                 bool expired)
{
  struct task_worker *worker = worker_get (fleet->tasks, task->host);
  size_t n_hosts = 0;

  if (expired)
    task->expiries++;
  else
    task->failures++;
  if (!expired && worker->failures < WORKER_MAX_FAILURES)
    n_hosts = task_add_failed_host (task, task->host);
  worker->failures++;
  worker->failed_ms = at->time_ms;
  if (n_hosts >= TASK_MAX_FAILED_HOSTS || task->failures >= 2 * TASK_MAX_FAILED_HOSTS)
    task_move (fleet->tasks, task, TASK_FAILED, "it failed too often");
  else if (task->expiries >= TASK_MAX_EXPIRIES)
    task_move (fleet->tasks, task, TASK_FAILED, "its lease lapsed too often");
  else
    task_move (fleet->tasks, task, TASK_QUEUED, NULL);
}

/* Fails a queued task that can never be placed. Rejects the record unless the state shows that it
 * can't. */
static void
task_fail_queued (struct fleet *fleet, struct task *task, struct verdict *verdict)
{
  const char *reason = task_unplaceable_reason (fleet, task);

  if (task->state != TASK_QUEUED || !reason)
    verdict_reject (verdict, "task %.60s is not queued without a place", task->name);
  else
    task_move (fleet->tasks, task, TASK_FAILED, reason);
}

/* Ends a lease whose task completed. */
static void
task_finish (struct fleet *fleet, struct task *task)
{
  struct task_worker *worker = worker_get (fleet->tasks, task->host);

  worker->failures = 0;
  worker->failed_ms = 0;
  task->progress_permille = PERMILLE;
  task_move (fleet->tasks, task, TASK_FINISHED, NULL);
}

/* Cancels a task that has not ended; its lease ends too. */
static void
task_cancel (struct fleet *fleet, struct task *task, struct verdict *verdict)
{
  if (task->state == TASK_QUEUED || task->state == TASK_LEASED)
    task_move (fleet->tasks, task, TASK_CANCELLED, "it was cancelled");
  else
    verdict_reject (verdict, "task %.60s has ended", task->name);
}

/* Applies a step under a lease, if it is the task's current lease. A checkpoint stores the progress
 * and renews the lease; other steps end the lease. */
static void
task_lease_step (struct fleet *fleet, const struct record_context *at, struct task *task,
                 const Sp__TaskStep *step, struct verdict *verdict)
{
  if (task->state != TASK_LEASED || step->lease_term != task->lease_term)
    {
      verdict_reject (verdict, "task %.60s is not under lease %" G_GUINT64_FORMAT, task->name,
                      step->lease_term);
      return;
    }
  if (step->kind == SP__TASK_STEP_KIND__TASK_STEP_KIND_CHECKPOINT)
    {
      task->progress_permille =
          MAX (task->progress_permille, MIN (step->progress_permille, PERMILLE));
      task->leased_ms = MAX (task->leased_ms, at->time_ms);
    }
  else if (step->kind == SP__TASK_STEP_KIND__TASK_STEP_KIND_FINISH)
    task_finish (fleet, task);
  else
    task_fail_lease (fleet, at, task, step->kind == SP__TASK_STEP_KIND__TASK_STEP_KIND_EXPIRE);
}

/* Applies a task record. */
void
task_apply (struct fleet *fleet, const struct record_context *at, const Sp__TaskStep *step,
            struct verdict *verdict)
{
  struct task *task = g_hash_table_lookup (fleet->tasks->by_name, step->task);

  if (step->kind == SP__TASK_STEP_KIND__TASK_STEP_KIND_SUBMIT)
    task_submit (fleet, at, step, verdict);
  else if (step->kind > SP__TASK_STEP_KIND__TASK_STEP_KIND_EXPIRE)
    verdict_reject (verdict, "task %.60s: the kind of step is not known", step->task);
  else if (!task)
    verdict_reject (verdict, "there is no task \"%.60s\"", step->task);
  else if (step->kind == SP__TASK_STEP_KIND__TASK_STEP_KIND_LEASE)
    task_lease (fleet, at, task, step, verdict);
  else if (step->kind == SP__TASK_STEP_KIND__TASK_STEP_KIND_CANCEL)
    task_cancel (fleet, task, verdict);
  else if (step->kind == SP__TASK_STEP_KIND__TASK_STEP_KIND_FAIL && step->lease_term == 0)
    task_fail_queued (fleet, task, verdict);
  else
    task_lease_step (fleet, at, task, step, verdict);
}

/* Returns NULL if there is no such task, or if it ended and was dropped. */
const struct task *
fleet_find_task (const struct fleet *fleet, const char *name)
{
  return g_hash_table_lookup (fleet->tasks->by_name, name);
}

/* Returns the tasks in one state, in the order in which they entered it; for the queue, either the
 * urgent tasks or the others. */
const struct task_list *
fleet_tasks (const struct fleet *fleet, enum task_state state, bool urgent)
{
  if (state == TASK_QUEUED && urgent)
    return &fleet->tasks->urgent;
  return &fleet->tasks->lists[state];
}

/* Returns the number of tasks in one state. */
size_t
fleet_n_tasks (const struct fleet *fleet, enum task_state state)
{
  return fleet->tasks->counts[state];
}
