#include "world_state.h"

#include <string.h>

/* Endpoints: runs, leases, fences and ends, and the counts of what must never happen there. */

void
run_destroy (gpointer data)
{
  struct world_run *run = data;

  g_free (run->task);
  g_free (run);
}

void
end_destroy (gpointer data)
{
  struct world_end *end = data;

  g_free (end->task);
  g_free (end);
}

struct world_endpoint *
world_find_run (struct world *world, const char *task, struct world_run **found)
{
  for (guint i = 0; i < world->endpoints->len; i++)
    {
      struct world_endpoint *endpoint = g_ptr_array_index (world->endpoints, i);

      for (guint r = 0; r < endpoint->runs->len; r++)
        {
          struct world_run *run = g_ptr_array_index (endpoint->runs, r);

          if (strcmp (run->task, task) != 0)
            continue;
          if (found)
            *found = run;
          return endpoint;
        }
    }
  return NULL;
}

/* Ends a run. */
static void
endpoint_end_run (struct world *world, struct world_endpoint *endpoint, guint at, enum run_end how)
{
  struct world_run *run = g_ptr_array_index (endpoint->runs, at);
  struct world_end *end = g_new (struct world_end, 1);
  uint32_t ended = GPOINTER_TO_UINT (g_hash_table_lookup (endpoint->ended, run->task));

  (void) world;
  *end = (struct world_end){
    .number = ++endpoint->last_end,
    .task = g_strdup (run->task),
    .attempt = run->attempt,
    .how = how,
  };
  g_ptr_array_add (endpoint->ends, end);
  g_hash_table_replace (endpoint->ended, g_strdup (run->task),
                        GUINT_TO_POINTER (MAX (ended, run->attempt)));
  g_ptr_array_remove_index (endpoint->runs, at);
}

/* Lets the runs of an endpoint go on. */
void
endpoint_run_on (struct world *world, struct world_endpoint *endpoint)
{
  guint at = 0;

  while (endpoint->up && at < endpoint->runs->len)
    {
      const struct world_run *run = g_ptr_array_index (endpoint->runs, at);

      if (world->now_ms > endpoint->lease_end_ms)
        endpoint_end_run (world, endpoint, at, RUN_LAPSED);
      else if (world->now_ms >= run->end_ms)
        endpoint_end_run (world, endpoint, at,
                          run->stopping ? RUN_STOPPED : (run->fails ? RUN_FAILED : RUN_DONE));
      else
        at++;
    }
}

/* Counts what a start breaks. */
static void
world_check_start (struct world *world, struct world_endpoint *endpoint, const struct event *event)
{
  struct resources used = event->need;
  const struct task *task = world_task (world, event->name);
  unsigned same_step = 1;

  struct world_endpoint *other = world_find_run (world, event->name, NULL);

  world->starts++;
  world->doubled += other != NULL;
  world_note (world,
              "start: task=%s attempt=%u endpoint=%s fence=%" G_GUINT64_FORMAT
              " sent=%" G_GINT64_FORMAT "%s%s",
              event->name, event->attempt, endpoint->id, event->fence, event->sent_ms,
              other ? " DOUBLED beside " : "", other ? other->id : "");
  if (task)
    {
      world->started_after_done += task->done;
      if (task->done)
        world_note (world, "AFTER DONE: task=%s", event->name);
      world->over_attempts += task->job->definition->max_attempts > 0 && !event->long_running &&
                              task->n_failed >= task->job->definition->max_attempts;
    }
  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      const struct world_run *run = g_ptr_array_index (endpoint->runs, i);
      size_t step_len = (size_t) (strrchr (event->name, '.') - event->name);

      used.cpu_milli += run->need.cpu_milli;
      used.memory_mb += run->need.memory_mb;
      same_step += strncmp (run->task, event->name, step_len + 1) == 0;
    }
  world->over_room += used.cpu_milli > endpoint->capacity.cpu_milli ||
                      used.memory_mb > endpoint->capacity.memory_mb;
  if (used.cpu_milli > endpoint->capacity.cpu_milli ||
      used.memory_mb > endpoint->capacity.memory_mb)
    world_note (world, "OVER ROOM: endpoint=%s runs=%u", endpoint->id, endpoint->runs->len);
  world->over_spread += event->spread_limit > 0 && same_step > event->spread_limit;
}

/* Carries a start out. */
static enum order_result
endpoint_start (struct world *world, struct world_endpoint *endpoint, const struct event *event)
{
  uint32_t ended = GPOINTER_TO_UINT (g_hash_table_lookup (endpoint->ended, event->name));
  struct world_run *run;

  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      run = g_ptr_array_index (endpoint->runs, i);
      if (strcmp (run->task, event->name) == 0 && run->attempt == event->attempt)
        return ORDER_DONE;
    }
  if (event->attempt <= ended)
    return ORDER_OLD;
  if (event->lease_end_ms <= world->now_ms)
    return ORDER_LATE;
  world_check_start (world, endpoint, event);
  run = g_new0 (struct world_run, 1);
  run->task = g_strdup (event->name);
  run->attempt = event->attempt;
  run->start_ms = world->now_ms;
  run->end_ms = event->long_running ? INT64_MAX : world->now_ms + world->work_ms;
  run->fails = world_chance (world, world->fail_permille);
  if (endpoint->sick)
    {
      run->fails = true;
      run->end_ms = world->now_ms + SICK_MS;
    }
  run->long_running = event->long_running;
  run->need = event->need;
  g_ptr_array_add (endpoint->runs, run);
  endpoint->lease_end_ms = MAX (endpoint->lease_end_ms, event->lease_end_ms);
  return ORDER_DONE;
}

/* Counts the lasting tasks of a run's step that are not at work. */
static unsigned
world_count_away (struct world *world, const char *name)
{
  const struct task *task = world_task (world, name);
  unsigned away = 0;

  for (uint32_t i = 0; i < task_step (task)->n_tasks; i++)
    {
      g_autofree char *other = task_name (job_task (task->job, task->occurrence, task->step, i));
      struct world_run *run = NULL;

      if (strcmp (other, name) == 0)
        continue;
      world_find_run (world, other, &run);
      away += !run || run->stopping || world->now_ms - run->start_ms < AT_WORK_MS;
    }
  return away;
}

/* Carries a stop out. */
static enum order_result
endpoint_stop (struct world *world, struct world_endpoint *endpoint, const struct event *event)
{
  uint32_t ended = GPOINTER_TO_UINT (g_hash_table_lookup (endpoint->ended, event->name));

  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      struct world_run *run = g_ptr_array_index (endpoint->runs, i);
      const struct task *task = world_task (world, event->name);

      if (strcmp (run->task, event->name) != 0 || run->attempt != event->attempt || run->stopping)
        continue;
      if (run->long_running && task && task_step (task)->away_limit > 0 && !task->job->cancelled &&
          world->now_ms - run->start_ms >= AT_WORK_MS)
        world->over_away_limit +=
            world_count_away (world, event->name) + 1 > task_step (task)->away_limit;
      run->stopping = true;
      run->end_ms = MIN (run->end_ms, world->now_ms + STOP_MS);
    }
  g_hash_table_replace (endpoint->ended, g_strdup (event->name),
                        GUINT_TO_POINTER (MAX (ended, event->attempt)));
  return ORDER_DONE;
}

/* Carries an order out at its endpoint. */
enum order_result
endpoint_obey (struct world *world, struct event *event)
{
  struct world_endpoint *endpoint = event->target;

  if (!endpoint->up || endpoint->dark)
    return ORDER_NOT_SENT;
  endpoint_run_on (world, endpoint);
  if (event->fence < endpoint->fence)
    return ORDER_FENCED;
  endpoint->fence = event->fence;
  if (event->kind == EVENT_START)
    return endpoint_start (world, endpoint, event);
  if (event->kind == EVENT_STOP)
    return endpoint_stop (world, endpoint, event);
  if (event->kind != EVENT_HOLD)
    return ORDER_DONE;
  endpoint->lease_end_ms = MAX (endpoint->lease_end_ms, event->lease_end_ms);
  while (endpoint->ends->len > 0 &&
         ((struct world_end *) g_ptr_array_index (endpoint->ends, 0))->number <= event->acked)
    g_ptr_array_remove_index (endpoint->ends, 0);
  return ORDER_DONE;
}
