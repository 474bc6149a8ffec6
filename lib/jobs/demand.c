#include "lib/jobs/demand.h"

enum
{
  /* Window over which the arrival rate is computed. It is short, because demand rises within a
   * second when a queue's busy period begins. */
  ARRIVAL_WINDOW_MS = 1000,
  /* Shortest time that arrivals are averaged over, so that a few that come together don't look like
   * a high rate. */
  ARRIVAL_WINDOW_MIN_MS = 300,
};

/* Returns a resource request multiplied by a fraction. */
static struct resources
resources_scale (const struct resources *request, int64_t numerator, int64_t denominator)
{
  return (struct resources){ .cpu_milli = request->cpu_milli * numerator / denominator,
                             .memory_mb = request->memory_mb * numerator / denominator,
                             .gpus = request->gpus * numerator / denominator };
}

/* Returns the expected start of a step in ms after the job's arrival; ends holds the expected ends
 * of the earlier steps. */
static int64_t
step_start_ms (const Sp__JobStep *step, const int64_t *ends)
{
  int64_t start_ms = 0;

  for (size_t i = 0; i < step->n_prerequisites; i++)
    start_ms = MAX (start_ms, ends[step->prerequisites[i]]);
  return start_ms;
}

/* Returns the resources that a new job uses within the horizon after its arrival, each multiplied
 * by the ms for which it is used. */
static struct resources
job_work (const struct job *job, int64_t horizon_ms)
{
  const Sp__JobDefinition *definition = job->definition;
  struct duration_line line = job_durations (job);
  g_autofree int64_t *ends = g_new0 (int64_t, definition->n_steps);
  struct resources sum = { 0 };

  for (uint32_t s = 0; s < definition->n_steps; s++)
    {
      const Sp__JobStep *step = definition->steps[s];
      int64_t start_ms = step_start_ms (step, ends);
      struct resources request = task_resources (job_task (job, 0, s, 0));
      int64_t within_ms;

      ends[s] = start_ms + duration_line_task_ms (&line, step->estimate_ms);
      within_ms = MAX (MIN (ends[s], horizon_ms) - start_ms, 0);
      request = resources_scale (&request, step->n_tasks * within_ms, 1);
      resources_add (&sum, &request);
    }
  return sum;
}

/* Leaves out long-running and repeated jobs, as they don't arrive at a rate. */
void
demand_add_arrival (struct demand *demand, const struct job *job, int64_t horizon_ms,
                    int64_t now_ms)
{
  const Sp__JobDefinition *definition = job->definition;

  if (definition->steps[0]->long_running || definition->repeats > 0)
    return;
  demand->arrivals[demand->next] =
      (struct demand_arrival){ .at_ms = now_ms, .work = job_work (job, horizon_ms) };
  demand->next = (demand->next + 1) % DEMAND_ARRIVALS_MAX;
  demand->n = MIN (demand->n + 1, DEMAND_ARRIVALS_MAX);
}

/* The forecast is the work that arrived since the oldest arrival in the window, divided by the time
 * since then. The oldest arrival itself is not counted; it only marks the start of that time. */
struct resources
demand_forecast (const struct demand *demand, int64_t now_ms)
{
  struct resources sum = { 0 };
  struct resources oldest = { 0 };
  int64_t since_ms = now_ms;

  for (unsigned i = 1; i <= demand->n; i++)
    {
      const struct demand_arrival *arrival =
          &demand->arrivals[(demand->next + DEMAND_ARRIVALS_MAX - i) % DEMAND_ARRIVALS_MAX];

      if (now_ms - arrival->at_ms > ARRIVAL_WINDOW_MS)
        break;
      since_ms = arrival->at_ms;
      oldest = arrival->work;
      resources_add (&sum, &arrival->work);
    }
  oldest = resources_scale (&oldest, -1, 1);
  resources_add (&sum, &oldest);
  return resources_scale (&sum, 1, MAX (now_ms - since_ms, ARRIVAL_WINDOW_MIN_MS));
}

/* Returns the resources that a job's ready and active tasks request. */
struct resources
job_current_demand (const struct job *job)
{
  struct resources sum = { 0 };

  for (uint32_t i = 0; i < job->n_tasks; i++)
    {
      const struct task *task = &job->tasks[i];
      struct resources request;

      if (task->phase == TASK_DONE || task->phase == TASK_BLOCKED)
        continue;
      request = task_resources (task);
      resources_add (&sum, &request);
    }
  return sum;
}

/* Returns the part of that which suspects request that wait for their trial. */
struct resources
job_suspect_demand (const struct job *job)
{
  struct resources sum = { 0 };

  for (uint32_t i = 0; i < job->n_tasks; i++)
    {
      const struct task *task = &job->tasks[i];
      struct resources request;

      if (task->phase != TASK_READY || !task->suspect)
        continue;
      request = task_resources (task);
      resources_add (&sum, &request);
    }
  return sum;
}

/* Returns the estimated time until a task is done, assuming that a task which isn't running starts
 * now. */
static int64_t
task_remaining_estimate_ms (const struct task *task, const struct duration_line *line,
                            int64_t now_ms)
{
  int64_t estimate_ms = duration_line_task_ms (line, task_step (task)->estimate_ms);

  if (task->phase == TASK_DONE)
    return 0;
  if (task->phase != TASK_RUNNING)
    return estimate_ms;
  return MAX (estimate_ms - (now_ms - task->phase_since_ms), 0);
}

/* Returns the resources that a job's tasks will request at the end of the horizon. A long-running
 * task counts if it has started by then. Only the first occurrence of a repeated job counts. */
struct resources
job_demand_at_horizon (const struct job *job, int64_t horizon_ms, int64_t now_ms)
{
  const Sp__JobDefinition *definition = job->definition;
  struct duration_line line = job_durations (job);
  g_autofree int64_t *ends = g_new0 (int64_t, definition->n_steps);
  struct resources sum = { 0 };

  for (uint32_t s = 0; s < definition->n_steps; s++)
    {
      const Sp__JobStep *step = definition->steps[s];
      const struct task *first = job_task (job, 0, s, 0);
      int64_t start_ms = step_start_ms (step, ends);
      struct resources request = task_resources (first);

      for (uint32_t i = 0; i < step->n_tasks; i++)
        {
          int64_t end_ms = start_ms + task_remaining_estimate_ms (&first[i], &line, now_ms);

          ends[s] = MAX (ends[s], end_ms);
          if (start_ms <= horizon_ms && (end_ms > horizon_ms || step->long_running) &&
              first[i].phase != TASK_DONE)
            resources_add (&sum, &request);
        }
    }
  return sum;
}
