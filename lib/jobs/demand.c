#include "lib/jobs/demand.h"

/* Leaves out long-running and repeated jobs, as they don't arrive at a rate. */
void
demand_add_arrival (struct demand *demand, const struct job *job, int64_t horizon_ms,
                    int64_t now_ms)
{
  const Sp__JobDefinition *definition = job->definition;
  struct duration_line line = job_durations (job);
  g_autofree struct demand_step *steps = NULL;
  struct resources work;

  if (definition->steps[0]->long_running || definition->repeats > 0)
    return;
  steps = g_new0 (struct demand_step, definition->n_steps);
  for (uint32_t s = 0; s < definition->n_steps; s++)
    {
      const Sp__JobStep *step = definition->steps[s];

      steps[s] = (struct demand_step){
        .n_tasks = step->n_tasks,
        .request = task_resources (job_task (job, 0, s, 0)),
        .estimate_ms = duration_line_task_ms (&line, step->estimate_ms),
        .prerequisites = step->prerequisites,
        .n_prerequisites = step->n_prerequisites,
      };
    }
  work = demand_work (steps, definition->n_steps, horizon_ms);
  demand_add_work (demand, &work, now_ms);
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
      int64_t start_ms = demand_step_start_ms (step->prerequisites, step->n_prerequisites, ends);
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
