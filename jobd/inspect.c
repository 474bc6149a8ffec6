#include "inspect.h"

#include "lib/jobs/endpoint.h"

static const char *
task_phase_name (enum task_phase phase)
{
  /* In the order of enum task_phase. */
  static const char *const names[] = {
    "blocked", "ready", "starting", "running", "stopping", "done"
  };

  return names[phase];
}

/* Increments a counter of a JSON object; a missing one counts as 0. */
static void
count_up (json_t *counts, const char *name)
{
  json_int_t count = json_integer_value (json_object_get (counts, name));

  json_object_set_new (counts, name, json_integer (count + 1));
}

json_t *
inspect_jobs (const struct job_table *table)
{
  json_t *queues = json_object ();
  GHashTableIter each;
  gpointer value;

  g_hash_table_iter_init (&each, table->jobs);
  while (g_hash_table_iter_next (&each, NULL, &value))
    {
      const struct job *job = value;
      json_t *counts;

      if (!job->definition)
        continue;
      counts = json_object_get (queues, job->definition->queue);
      if (!counts)
        {
          counts = json_object ();
          json_object_set_new (queues, job->definition->queue, counts);
        }
      count_up (counts, job_state_name (job->state));
    }
  return queues;
}

/* Returns a task's state as JSON. */
static json_t *
inspect_task (const struct task *task)
{
  g_autofree char *name = task_name (task);

  return json_pack ("{s:s, s:s, s:I, s:I, s:I, s:s?}", "task", name, "phase",
                    task_phase_name (task->done ? TASK_DONE : task->phase), "attempt",
                    (json_int_t) task->attempt, "failed", (json_int_t) task->n_failed, "crashed",
                    (json_int_t) task->n_crashed, "endpoint",
                    task->endpoint ? task->endpoint->id : NULL);
}

/* Reports a job's state and its tasks that are unfinished or have failed attempts. Of a job that is
 * over the tasks are no longer known and 'reduced' is true; their number is 0 if its definition is
 * not known either. */
json_t *
inspect_job (const struct job_table *table, const char *id)
{
  struct job *job = job_table_find (table, id);
  const Sp__JobDefinition *definition;
  json_t *tasks;
  json_int_t n_total;
  json_int_t n_done = 0;

  if (!job || !job->definition)
    return NULL;
  definition = job->definition;
  n_total = (json_int_t) job->tasks_per_occurrence * job->n_occurrences;
  tasks = json_array ();
  job_create_tasks (job);
  for (uint32_t i = 0; i < job->n_tasks; i++)
    {
      n_done += job->tasks[i].done;
      if (!job->tasks[i].done || job->tasks[i].n_failed > 0 || job->tasks[i].n_crashed > 0)
        json_array_append_new (tasks, inspect_task (&job->tasks[i]));
    }
  if (job->state == SP__JOB_STATE__JOB_COMPLETED)
    n_done = n_total;
  return json_pack ("{s:s, s:s, s:b, s:s, s:s, s:s, s:I, s:I, s:I, s:I, s:b, s:o}", "job", id,
                    "state", job_state_name (job->state), "cancelled", job->cancelled, "queue",
                    definition->queue, "pool", definition->pool, "workspace", definition->workspace,
                    "accepted_ms", (json_int_t) definition->accepted_ms, "max_attempts",
                    (json_int_t) definition->max_attempts, "tasks_total", n_total, "tasks_done",
                    n_done, "reduced", job->n_tasks == 0, "tasks", tasks);
}
