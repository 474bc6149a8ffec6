#include "scheduler_state.h"

#include <string.h>

/* Caps and shares of workspaces, as far as they concern the scheduler's jobs and endpoints. Nothing
 * is computed until the configuration has workspaces. */

enum
{
  /* Number of workspaces that wait for which a line is logged. */
  WORKSPACES_LOGGED_MAX = 32,
  /* How often it is computed what attempts of earlier leaders may use. */
  ASSUME_INTERVAL_MS = 100,
};

/* An attempt that an endpoint reports and that isn't the current one of a task there. */
struct unknown_attempt
{
  struct workspace_account *account;
  struct resources request;
};

/* Returns whether the configuration in force has workspaces. */
bool
scheduler_has_workspaces (const struct scheduler *scheduler)
{
  return scheduler->workspaces && scheduler->workspaces->active;
}

/* Returns the account of a job's workspace. */
static struct workspace_account *
scheduler_account (const struct scheduler *scheduler, const struct job *job)
{
  return workspace_usage_account (scheduler->workspaces, job->definition->workspace);
}

/* Returns whether an attempt in a phase may not run yet, or is being stopped. */
static bool
phase_is_unconfirmed (enum task_phase phase)
{
  return phase == TASK_STARTING || phase == TASK_STOPPING;
}

/* Counts a change of a task's phase, before it is made, for its workspace. */
void
task_count_unconfirmed (struct task *task, enum task_phase phase)
{
  if (!task->job->account)
    return;
  task->job->account->n_unconfirmed -= phase_is_unconfirmed (task->phase);
  task->job->account->n_unconfirmed += phase_is_unconfirmed (phase);
}

/* Ends the count of a job's attempts, which have been removed from their endpoints. */
void
job_close_account (struct job *job)
{
  for (uint32_t i = 0; i < job->n_tasks && job->account; i++)
    job->account->n_unconfirmed -= phase_is_unconfirmed (job->tasks[i].phase);
  job->account = NULL;
}

/* Lets a job's attempts count for its workspace from now on. */
void
job_open_account (struct scheduler *scheduler, struct job *job)
{
  if (!scheduler->workspaces || job->account)
    return;
  job->account = scheduler_account (scheduler, job);
  for (uint32_t i = 0; i < job->n_tasks; i++)
    {
      struct resources request = task_resources (&job->tasks[i]);

      if (job->tasks[i].endpoint)
        workspace_account_add (job->account, &request);
      job->account->n_unconfirmed += phase_is_unconfirmed (job->tasks[i].phase);
    }
}

void
scheduler_set_workspaces (struct scheduler *scheduler, const struct workspace_table *table,
                          int64_t share_window_ms)
{
  struct pool *pool;
  struct job *job;

  if (!scheduler->workspaces && workspace_table_is_empty (table))
    return;
  scheduler->share_window_ms = share_window_ms;
  scheduler->next_assume_ms = 0;
  if (!scheduler->workspaces)
    scheduler->workspaces = workspace_usage_create ();
  workspace_usage_apply (scheduler->workspaces, table);
  TAILQ_FOREACH (pool, &scheduler->pools, link)
    {
      pool->changed = true;
      TAILQ_FOREACH (job, &pool->jobs, pool_link)
        job_open_account (scheduler, job);
    }
}

/* Assumes for a job of an earlier leader, in a pool whose takeover isn't complete, that its ready
 * tasks run. That leader may have known of steps that are done without a durable record, so a later
 * step may run instead: the largest step that isn't done counts if it requests more. */
static void
job_assume_running (struct job *job)
{
  struct resources ready = { 0 };
  struct resources largest = { 0 };
  unsigned n_ready = 0;
  unsigned n_largest = 0;
  uint32_t offset = 0;

  while (offset < job->n_tasks)
    {
      const struct task *first = &job->tasks[offset];
      struct resources request = task_resources (first);
      uint32_t n = task_step (first)->n_tasks;
      struct resources step = { 0 };
      unsigned n_step = 0;

      for (uint32_t i = 0; i < n; i++)
        {
          if (first[i].done || first[i].endpoint)
            continue;
          resources_add (&step, &request);
          n_step++;
          if (first[i].phase == TASK_READY)
            resources_add (&ready, &request);
          n_ready += first[i].phase == TASK_READY;
        }
      largest = resources_max (&largest, &step);
      n_largest = MAX (n_largest, n_step);
      offset += n;
    }
  largest = resources_max (&largest, &ready);
  workspace_account_assume (job->account, &largest, MAX (n_largest, n_ready));
}

/* Returns whether an earlier leader may have started tasks of a job in a pool whose takeover isn't
 * complete. They run on for a while also if the job has been cancelled or has failed. */
static bool
job_may_run_unreported (struct scheduler *scheduler, const struct job *job)
{
  return job->scheduled && job->inherited && job->account &&
         !scheduler_pool (scheduler, job->definition->pool)->takeover_complete;
}

/* Returns whether a job that is over is still needed, because what it may run counts for its
 * workspace. */
bool
job_counts_unreported (struct scheduler *scheduler, const struct job *job)
{
  return scheduler_has_workspaces (scheduler) && job->state != SP__JOB_STATE__JOB_COMPLETED &&
         job_may_run_unreported (scheduler, job);
}

/* Returns the number of pools whose takeover isn't complete. */
static unsigned
scheduler_count_unreported_pools (const struct scheduler *scheduler)
{
  const struct pool *pool;
  unsigned n = 0;

  TAILQ_FOREACH (pool, &scheduler->pools, link)
    n += !pool->takeover_complete;
  return n;
}

/* Computes what attempts of earlier leaders may use that no endpoint has reported yet. Between two
 * computations it is at most too high. */
void
scheduler_assume_unreported (struct scheduler *scheduler)
{
  unsigned n_pools = scheduler_count_unreported_pools (scheduler);
  struct pool *pool;
  struct job *job;

  if (!scheduler_has_workspaces (scheduler) ||
      (n_pools == scheduler->n_assumed_pools &&
       (n_pools == 0 || scheduler->now_ms < scheduler->next_assume_ms)))
    return;
  scheduler->n_assumed_pools = n_pools;
  scheduler->next_assume_ms = scheduler->now_ms + ASSUME_INTERVAL_MS;
  workspace_usage_clear_assumed (scheduler->workspaces);
  if (n_pools == 0)
    return;
  TAILQ_FOREACH (pool, &scheduler->pools, link)
    {
      TAILQ_FOREACH (job, &pool->jobs, pool_link)
        {
          if (job_may_run_unreported (scheduler, job) && workspace_account_has_cap (job->account))
            job_assume_running (job);
        }
    }
}

/* Returns the job of a task by the task's name, or NULL. */
static const struct job *
scheduler_find_job (const struct scheduler *scheduler, const char *task)
{
  g_autofree char *id = g_strndup (task, strcspn (task, "."));

  return job_table_find (scheduler->all_jobs, id);
}

/* Counts an attempt that an endpoint reports and that isn't the current one of a task there, until
 * the next report. Of a job that is over only its largest task is known, and of one that is deleted
 * nothing, so that it doesn't count. */
void
endpoint_count_unknown (struct scheduler *scheduler, struct endpoint *endpoint, const char *name)
{
  const struct task *task;
  const struct job *job;
  struct unknown_attempt unknown;

  if (!scheduler->workspaces)
    return;
  task = scheduler_find_task (scheduler, name);
  job = task ? task->job : scheduler_find_job (scheduler, name);
  if (!job || !job->definition)
    return;
  unknown.account = scheduler_account (scheduler, job);
  unknown.request = task ? task_resources (task) : job->largest_request;
  if (!endpoint->unknown_attempts)
    endpoint->unknown_attempts = g_array_new (FALSE, FALSE, sizeof unknown);
  g_array_append_val (endpoint->unknown_attempts, unknown);
  workspace_account_add (unknown.account, &unknown.request);
}

/* Ends the count of all unknown attempts of an endpoint. */
void
endpoint_clear_unknown (struct endpoint *endpoint)
{
  if (!endpoint->unknown_attempts)
    return;
  for (guint i = 0; i < endpoint->unknown_attempts->len; i++)
    {
      const struct unknown_attempt *unknown =
          &g_array_index (endpoint->unknown_attempts, struct unknown_attempt, i);

      workspace_account_remove (unknown->account, &unknown->request);
    }
  g_array_set_size (endpoint->unknown_attempts, 0);
}

/* Returns whether attempts count for an endpoint without a task. */
bool
endpoint_has_unknown (const struct endpoint *endpoint)
{
  return endpoint->unknown_attempts && endpoint->unknown_attempts->len > 0;
}

/* Returns whether the cap of a job's workspace allows a start. request is that of the task, or of
 * all members of a gang; one that of a single task. */
bool
job_start_is_allowed (const struct scheduler *scheduler, struct job *job,
                      const struct resources *request, const struct resources *one)
{
  return !job->account || !scheduler_has_workspaces (scheduler) ||
         workspace_account_decide (job->account, request, one, scheduler->now_ms);
}

/* Returns the capacity of a pool's endpoints. */
struct resources
pool_capacity (const struct pool *pool)
{
  struct resources sum = { 0 };
  const struct endpoint *endpoint;

  TAILQ_FOREACH (endpoint, &pool->endpoints, pool_link)
    {
      if (endpoint->listed && endpoint_entry_is_current (endpoint))
        resources_add (&sum, &endpoint->capacity);
    }
  return sum;
}

/* Counts n starts of a task's step for its workspace, and charges its share of the pool for them.
 * Long-running tasks aren't charged, as they come first whatever the shares are. */
void
pool_charge_start (const struct scheduler *scheduler, struct pool *pool, const struct task *task,
                   unsigned n, const struct resources *capacity)
{
  const Sp__JobStep *step = task_step (task);
  struct workspace_account *account = task->job->account;
  struct duration_line durations = job_durations (task->job);
  struct resources request = task_resources (task);

  if (!account || !scheduler_has_workspaces (scheduler))
    return;
  workspace_account_started (account, n, scheduler->now_ms);
  if (step->long_running)
    return;
  request.cpu_milli *= n;
  request.memory_mb *= n;
  request.gpus *= n;
  if (!pool->shares)
    pool->shares = share_order_create (scheduler->share_window_ms);
  share_order_charge (pool->shares, account->index, &request, capacity,
                      duration_line_task_ms (&durations, step->estimate_ms), scheduler->now_ms);
}

/* Returns what a job's ready tasks request. */
static struct resources
job_ready_demand (const struct job *job)
{
  struct resources sum = { 0 };

  for (uint32_t i = 0; i < job->n_tasks && job->n_ready > 0; i++)
    {
      struct resources request = task_resources (&job->tasks[i]);

      if (job->tasks[i].phase == TASK_READY)
        resources_add (&sum, &request);
    }
  return sum;
}

/* Multiplies a request by a share from 0 to 1. */
static void
resources_shrink (struct resources *request, double share)
{
  request->cpu_milli = (int64_t) ((double) request->cpu_milli * share);
  request->memory_mb = (int64_t) ((double) request->memory_mb * share);
  request->gpus = (int64_t) ((double) request->gpus * share);
}

/* Sums what the tasks of each workspace request over all pools, for job_limit_demand. */
void
scheduler_sum_workspace_demand (struct scheduler *scheduler)
{
  struct pool *pool;
  struct job *job;

  if (!scheduler_has_workspaces (scheduler))
    return;
  for (guint i = 0; i < scheduler->workspaces->accounts->len; i++)
    {
      struct workspace_account *account = g_ptr_array_index (scheduler->workspaces->accounts, i);

      account->ready_demand = (struct resources){ 0 };
      account->later_demand = (struct resources){ 0 };
    }
  TAILQ_FOREACH (pool, &scheduler->pools, link)
    {
      TAILQ_FOREACH (job, &pool->jobs, pool_link)
        {
          struct resources ready;
          struct resources later;

          if (job_is_over (job) || !job->account || !workspace_account_has_cap (job->account))
            continue;
          ready = job_ready_demand (job);
          later = job_demand_at_horizon (job, HOST_READY_MS, scheduler->now_ms);
          resources_add (&job->account->ready_demand, &ready);
          resources_add (&job->account->later_demand, &later);
        }
    }
}

/* Limits what a job requests to what its workspace's cap leaves: now, which includes active tasks,
 * suspects, which are part of it, and later, at the horizon of pool sizing. */
void
job_limit_demand (const struct scheduler *scheduler, const struct job *job, struct resources *now,
                  struct resources *suspects, struct resources *later)
{
  struct resources ready;
  double share;
  double later_share;

  if (!job->account || !scheduler_has_workspaces (scheduler) ||
      !workspace_account_has_cap (job->account))
    return;
  share = workspace_account_demand_share (job->account, &job->account->ready_demand, true);
  later_share = workspace_account_demand_share (job->account, &job->account->later_demand, false);
  resources_shrink (later, later_share);
  if (share >= 1)
    return;
  ready = job_ready_demand (job);
  now->cpu_milli -= ready.cpu_milli;
  now->memory_mb -= ready.memory_mb;
  now->gpus -= ready.gpus;
  resources_shrink (&ready, share);
  resources_add (now, &ready);
  resources_shrink (suspects, share);
}

const GPtrArray *
scheduler_count_workspaces (struct scheduler *scheduler)
{
  const struct pool *pool;
  const struct job *job;

  if (!scheduler->workspaces)
    return NULL;
  for (guint i = 0; i < scheduler->workspaces->accounts->len; i++)
    ((struct workspace_account *) g_ptr_array_index (scheduler->workspaces->accounts, i))->n_ready =
        0;
  TAILQ_FOREACH (pool, &scheduler->pools, link)
    {
      TAILQ_FOREACH (job, &pool->jobs, pool_link)
        {
          if (job->account)
            job->account->n_ready += job->n_ready;
        }
    }
  return scheduler->workspaces->accounts;
}

/* Logs what each workspace with ready tasks uses and may use, for as many as a log can show. */
void
scheduler_log_workspaces (struct scheduler *scheduler)
{
  const GPtrArray *accounts;
  unsigned n_logged = 0;

  if (!scheduler_has_workspaces (scheduler))
    return;
  accounts = scheduler_count_workspaces (scheduler);
  for (guint i = 0; i < accounts->len && n_logged < WORKSPACES_LOGGED_MAX; i++)
    {
      const struct workspace_account *account = g_ptr_array_index (accounts, i);

      if (account->n_ready == 0)
        continue;
      n_logged++;
      scheduler_log (
          scheduler,
          "workspace waits: name=%.40s tasks_ready=%u tasks_running=%u cpu_milli=%" G_GINT64_FORMAT
          " cap=%" G_GINT64_FORMAT " memory_mb=%" G_GINT64_FORMAT " cap=%" G_GINT64_FORMAT
          " gpus=%" G_GINT64_FORMAT " cap=%" G_GINT64_FORMAT " assumed_cpu_milli=%" G_GINT64_FORMAT
          " at_cap=%d weight=%.3f",
          account->name, account->n_ready, account->n_running, account->used.cpu_milli,
          account->cap.cpu_milli, account->used.memory_mb, account->cap.memory_mb,
          account->used.gpus, account->cap.gpus, account->assumed.cpu_milli,
          workspace_account_is_full (account),
          workspace_usage_weight (scheduler->workspaces, account));
    }
}

/* Frees what is known of workspaces when the leadership ends. */
void
scheduler_clear_workspaces (struct scheduler *scheduler)
{
  workspace_usage_destroy (scheduler->workspaces);
  scheduler->workspaces = NULL;
}
