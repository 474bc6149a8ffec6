#include "lib/jobs/endpoint.h"

#include "lib/workspaces/workspace_usage.h"

#include <string.h>

enum
{
  PERMILLE = 1000,
  /* Endpoint clocks may run 2% slow. */
  SLOW_CLOCK_PERMILLE = 20,
};

/* Creates an endpoint of which only the id is known. */
struct endpoint *
endpoint_create (const char *id, int64_t now_ms)
{
  struct endpoint *endpoint = g_new0 (struct endpoint, 1);

  endpoint->id = g_strdup (id);
  endpoint->idle_since_ms = now_ms;
  endpoint->remaining_ms = -1;
  TAILQ_INIT (&endpoint->tasks);
  return endpoint;
}

/* Frees an endpoint, which must have no tasks. */
void
endpoint_destroy (struct endpoint *endpoint)
{
  g_assert (TAILQ_EMPTY (&endpoint->tasks));
  g_free (endpoint->id);
  g_free (endpoint->pool);
  g_free (endpoint->address);
  g_strfreev (endpoint->labels);
  if (endpoint->unknown_attempts)
    g_array_free (endpoint->unknown_attempts, TRUE);
  g_free (endpoint);
}

/* Replaces a string if it differs from value. */
static void
string_replace (char **string, const char *value)
{
  if (g_strcmp0 (*string, value) == 0)
    return;
  g_free (*string);
  *string = g_strdup (value);
}

/* Stores what the registry says of an endpoint. The caller handles a change of incarnation. */
void
endpoint_update (struct endpoint *endpoint, const struct endpoint_entry *entry)
{
  string_replace (&endpoint->pool, entry->pool);
  string_replace (&endpoint->address, entry->address);
  g_strfreev (endpoint->labels);
  endpoint->labels = g_strdupv ((char **) entry->labels);
  endpoint->capacity = entry->capacity;
  /* An entry that doesn't tell is taken for one of the incarnation that is known. */
  endpoint->entry_born_ms = entry->born_ms > 0 ? entry->born_ms : endpoint->born_ms;
  endpoint->sequence = entry->sequence;
  endpoint->draining = entry->draining;
  endpoint->remaining_ms = entry->remaining_ms;
  endpoint->listed = true;
}

bool
endpoint_entry_is_current (const struct endpoint *endpoint)
{
  return endpoint->entry_born_ms == endpoint->born_ms;
}

bool
endpoint_has_label (const struct endpoint *endpoint, const char *label)
{
  return endpoint->labels && g_strv_contains ((const char *const *) endpoint->labels, label);
}

/* Returns the rack, which is the last label, or NULL if there are no labels. */
const char *
endpoint_rack (const struct endpoint *endpoint)
{
  guint n = endpoint->labels ? g_strv_length (endpoint->labels) : 0;

  return n > 0 ? endpoint->labels[n - 1] : NULL;
}

/* Returns the resources that a task uses on an endpoint. Best-effort tasks use only processor time
 * that others leave, so they request no CPU. */
struct resources
task_resources (const struct task *task)
{
  const Sp__JobStep *step = task_step (task);
  struct resources request = {
    .cpu_milli = step->fills ? 0 : step->cpu_milli,
    .memory_mb = step->memory_mb,
    .gpus = step->gpus,
  };

  return request;
}

/* Returns whether a request fits into the capacity that is not used. */
bool
endpoint_has_capacity (const struct endpoint *endpoint, const struct resources *request)
{
  return endpoint->used.cpu_milli + request->cpu_milli <= endpoint->capacity.cpu_milli &&
         endpoint->used.memory_mb + request->memory_mb <= endpoint->capacity.memory_mb &&
         endpoint->used.gpus + request->gpus <= endpoint->capacity.gpus;
}

/* Returns whether the tasks of an endpoint request more than its capacity, as after it has shrunk.
 */
bool
endpoint_is_over_capacity (const struct endpoint *endpoint)
{
  const struct resources nothing = { 0 };

  return !endpoint_has_capacity (endpoint, &nothing);
}

/* Assigns a task that runs, or may run, to an endpoint and reserves its resources. */
void
endpoint_add_task (struct endpoint *endpoint, struct task *task)
{
  const Sp__JobStep *step = task_step (task);
  struct resources request = task_resources (task);

  task->endpoint = endpoint;
  TAILQ_INSERT_TAIL (&endpoint->tasks, task, endpoint_link);
  endpoint->n_tasks++;
  endpoint->n_long_running += step->long_running;
  endpoint->n_best_effort += step->fills;
  endpoint->n_serving += step->target_ms > 0 && !step->fills;
  endpoint->n_trials += task->on_trial;
  endpoint->used.cpu_milli += request.cpu_milli;
  endpoint->used.memory_mb += request.memory_mb;
  endpoint->used.gpus += request.gpus;
  if (task->job->account)
    workspace_account_add (task->job->account, &request);
}

/* Removes a task from its endpoint and releases its resources. */
void
endpoint_remove_task (struct task *task, int64_t now_ms)
{
  struct endpoint *endpoint = task->endpoint;
  const Sp__JobStep *step = task_step (task);
  struct resources request = task_resources (task);

  TAILQ_REMOVE (&endpoint->tasks, task, endpoint_link);
  task->endpoint = NULL;
  endpoint->n_tasks--;
  endpoint->n_long_running -= step->long_running;
  endpoint->n_best_effort -= step->fills;
  endpoint->n_serving -= step->target_ms > 0 && !step->fills;
  endpoint->n_trials -= task->on_trial;
  endpoint->used.cpu_milli -= request.cpu_milli;
  endpoint->used.memory_mb -= request.memory_mb;
  endpoint->used.gpus -= request.gpus;
  if (task->job->account)
    workspace_account_remove (task->job->account, &request);
  if (endpoint->n_tasks == 0)
    endpoint->idle_since_ms = now_ms;
}

/* Counts the endpoint's tasks of the same job, occurrence and step. */
unsigned
endpoint_count_step (const struct endpoint *endpoint, const struct task *task)
{
  const struct task *other;
  unsigned n = 0;

  TAILQ_FOREACH (other, &endpoint->tasks, endpoint_link)
    {
      if (other->job == task->job && other->step == task->step &&
          other->occurrence == task->occurrence)
        n++;
    }
  return n;
}

/* Estimates what the endpoint's clock shows at a time of this process's monotonic clock. The
 * estimate never exceeds a clock that is 2% slow, so that a lease computed from it never ends later
 * than assumed. */
int64_t
endpoint_clock_at (const struct endpoint *endpoint, int64_t now_ms)
{
  int64_t elapsed_ms = now_ms - endpoint->clock_read_ms;

  return endpoint->clock_ms + elapsed_ms * (PERMILLE - SLOW_CLOCK_PERMILLE) / PERMILLE;
}
