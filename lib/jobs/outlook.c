#include "scheduler_state.h"

#include <string.h>

/* Forecasts of when a job that arrives in a pool now would start, for admission by load. */

enum
{
  /* Hosts on their way to a pool are in the middle of their move on average. */
  COMING_IN_MS = HOST_READY_MS / 2,
  /* A job counts nothing beyond this multiple of its objective. */
  HOPELESS_OBJECTIVES = 3,
  LOAD_LOG_INTERVAL_MS = 10000,
};

/* Returns whether forecasts are made for a job: it arrives at a rate and has an objective. */
static bool
job_is_forecast (const struct job *job)
{
  return !job->definition->steps[0]->long_running && job->definition->repeats == 0;
}

/* Adds the work of n tasks of a step. */
static void
work_add (struct outlook_work *work, const struct resources *request, double n, int64_t duration_ms)
{
  work->cpu += n * (double) request->cpu_milli * (double) duration_ms;
  work->memory += n * (double) request->memory_mb * (double) duration_ms;
}

/* Returns the expected work of a job's tasks that are not started. ready is set to whether some of
 * them could start now. */
static struct outlook_work
job_waiting_work (const struct job *job, bool *ready)
{
  const Sp__JobDefinition *definition = job->definition;
  struct duration_line line = job_durations (job);
  struct outlook_work work = { 0 };
  const struct task *task = job->tasks;

  *ready = false;
  for (size_t s = 0; s < definition->n_steps; s++)
    {
      const Sp__JobStep *step = definition->steps[s];
      struct resources request = task_resources (task);
      unsigned n = 0;

      for (uint32_t i = 0; i < step->n_tasks; i++, task++)
        {
          n += task->phase == TASK_READY || task->phase == TASK_BLOCKED;
          *ready = *ready || (task->phase == TASK_READY && !task->suspect);
        }
      work_add (&work, &request, n, duration_line_task_ms (&line, step->estimate_ms));
    }
  return work;
}

void
scheduler_forecast_job (struct scheduler *scheduler, struct pool *pool, struct job *job)
{
  const struct outlook_entry *entry;
  struct outlook_work work;
  bool ready;

  job->forecast_wait_ms = -1;
  if (!scheduler->config.load_admission || job->inherited || !job_is_forecast (job))
    return;
  work = job_waiting_work (job, &ready);
  pool_outlook_add_arrival (&pool->outlook, &work, scheduler->now_ms);
  entry = outlook_find (pool->outlook.entries, pool->outlook.n_entries, job->definition->priority);
  if (scheduler->outlook_ms > 0)
    job->forecast_wait_ms =
        entry ? outlook_entry_wait_ms (entry, job->objective_ms - job_critical_path_ms (job, 0))
              : 0;
}

void
scheduler_verify_forecast (struct scheduler *scheduler, struct job *job)
{
  if (job->forecast_wait_ms < 0)
    return;
  pool_outlook_add_start (&scheduler_pool (scheduler, job->definition->pool)->outlook,
                          job->forecast_wait_ms, scheduler->now_ms - job->seen_ms,
                          HOPELESS_OBJECTIVES * job->objective_ms);
  job->forecast_wait_ms = -1;
}

/* Adds the capacity of a pool's usable endpoints without what long-running tasks use, and the most
 * that is free on one of them of each resource: rather too much, as nothing is refused that fits.
 */
static void
pool_sum_capacity (const struct scheduler *scheduler, const struct pool *pool,
                   struct outlook_input *input)
{
  const struct endpoint *endpoint;

  TAILQ_FOREACH (endpoint, &pool->endpoints, pool_link)
    {
      int64_t free_cpu_milli = endpoint->capacity.cpu_milli - endpoint->used.cpu_milli;
      int64_t free_memory_mb = endpoint->capacity.memory_mb - endpoint->used.memory_mb;
      const struct task *task;

      if (!endpoint_is_usable (scheduler, endpoint))
        continue;
      input->capacity.cpu += (double) endpoint->capacity.cpu_milli;
      input->capacity.memory += (double) endpoint->capacity.memory_mb;
      input->free_cpu_milli = MAX (input->free_cpu_milli, free_cpu_milli);
      input->free_memory_mb = MAX (input->free_memory_mb, free_memory_mb);
      if (endpoint->n_long_running == 0)
        continue;
      TAILQ_FOREACH (task, &endpoint->tasks, endpoint_link)
        {
          struct resources request = task_resources (task);

          if (!task_step (task)->long_running)
            continue;
          input->capacity.cpu -= (double) request.cpu_milli;
          input->capacity.memory -= (double) request.memory_mb;
        }
    }
}

/* Adds the capacity of hosts that are on their way to a pool. */
static void
pool_sum_coming (const struct scheduler *scheduler, const struct pool *pool,
                 struct outlook_input *input)
{
  const struct host *host;

  input->coming_in_ms = COMING_IN_MS;
  TAILQ_FOREACH (host, &scheduler->hosts, link)
    {
      if ((!host->target_pool && host->state != HOST_MOVING) ||
          strcmp (host->target_pool ? host->target_pool : host->pool, pool->name) != 0)
        continue;
      input->coming.cpu += (double) host->capacity.cpu_milli;
      input->coming.memory += (double) host->capacity.memory_mb;
    }
}

/* Makes the forecasts of a pool, and verifies those for jobs that have not started in time to count
 * for anything. */
static void
pool_update_outlook (struct scheduler *scheduler, struct pool *pool)
{
  struct outlook_input input = { 0 };
  struct job *job;

  pool_sum_capacity (scheduler, pool, &input);
  pool_sum_coming (scheduler, pool, &input);
  TAILQ_FOREACH (job, &pool->jobs, pool_link)
    {
      struct outlook_work work;
      bool ready;

      if (!job_is_forecast (job) || job_is_over (job))
        continue;
      if (scheduler->now_ms - job->seen_ms >= HOPELESS_OBJECTIVES * job->objective_ms)
        scheduler_verify_forecast (scheduler, job);
      work = job_waiting_work (job, &ready);
      outlook_input_add (&input, job->definition->priority, &work, ready,
                         job_is_late (job, scheduler->now_ms));
    }
  pool_outlook_update (&pool->outlook, &input, scheduler->now_ms);
}

void
scheduler_update_outlook (struct scheduler *scheduler)
{
  struct pool *pool;

  if (!scheduler->config.load_admission)
    return;
  scheduler->outlook_ms = scheduler->now_ms;
  TAILQ_FOREACH (pool, &scheduler->pools, link)
    {
      if (!pool->standby && pool->takeover_complete)
        pool_update_outlook (scheduler, pool);
    }
}

/* Adds a queue's line to the GArray ctx if hosts need it. */
static void
outlook_add_line (void *ctx, const struct duration_summary *summary)
{
  struct admission_queue_line line = { .queue = summary->queue, .line = summary->line };

  if (summary->uses_prediction || summary->line.residual > 0.0)
    g_array_append_val ((GArray *) ctx, line);
}

bool
scheduler_list_outlook (const struct scheduler *scheduler, GArray *entries, GArray *lines)
{
  const struct pool *pool;

  TAILQ_FOREACH (pool, &scheduler->pools, link)
    {
      if (!pool_outlook_is_shown (&pool->outlook, scheduler->now_ms))
        continue;
      for (unsigned i = 0; i < pool->outlook.n_entries; i++)
        {
          struct admission_pool_entry entry = { .pool = pool->name,
                                                .entry = pool->outlook.entries[i] };

          g_array_append_val (entries, entry);
        }
    }
  if (entries->len > 0)
    duration_model_foreach (scheduler->durations, outlook_add_line, lines);
  return entries->len > 0;
}

void
scheduler_foreach_outlook (const struct scheduler *scheduler,
                           void (*each) (void *ctx, const char *pool,
                                         const struct pool_outlook *outlook),
                           void *ctx)
{
  const struct pool *pool;

  TAILQ_FOREACH (pool, &scheduler->pools, link)
    {
      if (!pool->standby)
        each (ctx, pool->name, &pool->outlook);
    }
}

/* Logs how a queue's durations are predicted; ctx is the scheduler. */
static void
scheduler_log_queue_durations (void *ctx, const struct duration_summary *summary)
{
  scheduler_log (ctx,
                 "durations: queue=\"%s\" ends=%" G_GUINT64_FORMAT
                 " predicted=%d longest=%d slope=%.2f intercept=%.2f residual=%.2f"
                 " error_estimate=%.2f error_prediction=%.2f",
                 summary->queue, summary->ends, summary->uses_prediction, summary->line.longest,
                 summary->line.slope, summary->line.intercept, summary->line.residual,
                 summary->error_estimate, summary->error_prediction);
}

void
scheduler_log_load (struct scheduler *scheduler)
{
  if (scheduler->now_ms < scheduler->next_load_log_ms)
    return;
  scheduler->next_load_log_ms = scheduler->now_ms + LOAD_LOG_INTERVAL_MS;
  duration_model_foreach (scheduler->durations, scheduler_log_queue_durations, scheduler);
  if (scheduler->config.prospect_order)
    scheduler_log (scheduler, "late starts held back: n=%" G_GUINT64_FORMAT " start_ms=%.0f",
                   scheduler->counts.late_held, scheduler->start_time_ms);
}
