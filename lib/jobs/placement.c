#include "scheduler_state.h"

#include <stdlib.h>

/* Which ready task starts where. */

enum
{
  /* Room left unused costs most in a score; the other marks are multiples of a whole endpoint. */
  SCORE_ENDPOINT = 1000,
  SCORE_OTHER_RACK = 4 * SCORE_ENDPOINT,
  SCORE_FILLS_BESIDE_SERVING = 2 * SCORE_ENDPOINT,
  SCORE_OPENS_IDLE = SCORE_ENDPOINT,
  /* An endpoint with more tasks of a step than may be away at once takes long to empty. */
  SCORE_OVER_AWAY_LIMIT = 2 * SCORE_ENDPOINT,
  /* A lasting task would have to be moved again. */
  SCORE_MAINTENANCE_DUE = 8 * SCORE_ENDPOINT,
  GANG_MAX = 256,
  /* How long a task does not return to where it failed: an endpoint that fails all it starts would
   * use up its attempts. It may return then, since its pool may have no other. */
  FAILED_HERE_MS = 1500,
};

/* One placement that is being looked for. */
struct candidate
{
  struct endpoint *endpoint;
  int64_t score;
};

/* Tells whether a task may run on an endpoint by what its step asks for. */
static bool
endpoint_suits (const struct scheduler *scheduler, const struct endpoint *endpoint,
                const struct pool *pool, const struct task *task, const struct resources *need)
{
  const Sp__JobStep *step = task_step (task);

  if (g_strcmp0 (endpoint->pool, pool->name) != 0 || !endpoint_is_usable (scheduler, endpoint))
    return false;
  if (!endpoint_has_room (endpoint, need))
    return false;
  if (task->failed_at == endpoint && scheduler->now_ms - task->failed_ms < FAILED_HERE_MS)
    return false;
  if (step->required_label[0] != '\0' && !endpoint_has_label (endpoint, step->required_label))
    return false;
  return step->spread_limit == 0 || endpoint_count_step (endpoint, task) < step->spread_limit;
}

/* Gives the score of a placement, the lower the better. Tasks are packed, so that other endpoints
 * stay empty and may leave the pool. */
static int64_t
endpoint_score (const struct endpoint *endpoint, const struct task *task,
                const struct resources *need)
{
  const Sp__JobStep *step = task_step (task);
  int64_t capacity = MAX (endpoint->capacity.cpu_milli, 1);
  int64_t left = endpoint->capacity.cpu_milli - endpoint->used.cpu_milli - need->cpu_milli;
  int64_t score = left * SCORE_ENDPOINT / capacity;

  if (step->data_rack[0] != '\0' && !endpoint_has_label (endpoint, step->data_rack))
    score += SCORE_OTHER_RACK;
  if (endpoint->n_tasks == 0)
    score += SCORE_OPENS_IDLE;
  if (step->long_running && endpoint->maintenance_due)
    score += SCORE_MAINTENANCE_DUE;
  if (step->away_limit > 0 && endpoint_count_step (endpoint, task) >= step->away_limit)
    score += SCORE_OVER_AWAY_LIMIT;
  if (step->fills)
    score += endpoint->n_serving > 0 ? SCORE_FILLS_BESIDE_SERVING : 0;
  else if (step->target_ms > 0)
    score += endpoint->n_filling > 0 ? SCORE_FILLS_BESIDE_SERVING : 0;
  return score;
}

/* Finds the best endpoint for a task, in one rack only if rack is given. Gives NULL if none has
 * room. */
static struct endpoint *
pool_choose (struct scheduler *scheduler, const struct pool *pool, const struct task *task,
             const char *rack)
{
  struct resources need = task_resources (task);
  struct candidate best = { 0 };
  GHashTableIter each;
  gpointer value;

  g_hash_table_iter_init (&each, scheduler->endpoints);
  while (g_hash_table_iter_next (&each, NULL, &value))
    {
      struct endpoint *endpoint = value;
      int64_t score;

      if (!endpoint_suits (scheduler, endpoint, pool, task, &need))
        continue;
      if (rack && g_strcmp0 (endpoint_rack (endpoint), rack) != 0)
        continue;
      score = endpoint_score (endpoint, task, &need);
      if (!best.endpoint || score < best.score)
        best = (struct candidate){ .endpoint = endpoint, .score = score };
    }
  return best.endpoint;
}

/* Chooses an endpoint for each task of a gang, all in one rack if rack is given. Gives false, and
 * takes no room, if not all fit. */
static bool
gang_choose (struct scheduler *scheduler, const struct pool *pool, struct task *first, uint32_t n,
             const char *rack, struct endpoint **chosen)
{
  uint32_t placed = 0;

  while (placed < n)
    {
      chosen[placed] = pool_choose (scheduler, pool, &first[placed], rack);
      if (!chosen[placed])
        break;
      endpoint_add_task (chosen[placed], &first[placed]);
      placed++;
    }
  for (uint32_t i = 0; i < placed; i++)
    endpoint_remove_task (&first[i], scheduler->now_ms);
  return placed == n;
}

/* Looks for a rack that takes a whole gang. */
static bool
gang_choose_rack (struct scheduler *scheduler, const struct pool *pool, struct task *first,
                  uint32_t n, struct endpoint **chosen)
{
  GHashTableIter each;
  gpointer value;

  g_hash_table_iter_init (&each, scheduler->endpoints);
  while (g_hash_table_iter_next (&each, NULL, &value))
    {
      const char *rack = endpoint_rack (value);

      if (rack && gang_choose (scheduler, pool, first, n, rack, chosen))
        return true;
    }
  return false;
}

/* Starts a gang whole or not at all; its members share the number of the attempt and the
 * checkpoint. */
static void
gang_place (struct scheduler *scheduler, struct pool *pool, struct task *first)
{
  const Sp__JobStep *step = task_step (first);
  struct endpoint *chosen[GANG_MAX];
  uint32_t attempt = 0;
  const char *checkpoint = NULL;

  if (step->n_tasks > GANG_MAX)
    return;
  for (uint32_t i = 0; i < step->n_tasks; i++)
    {
      if (first[i].phase != TASK_READY)
        return;
      attempt = MAX (attempt, first[i].attempt);
      checkpoint = first[i].checkpoint ? first[i].checkpoint : checkpoint;
    }
  if (!(step->same_rack && gang_choose_rack (scheduler, pool, first, step->n_tasks, chosen)) &&
      !gang_choose (scheduler, pool, first, step->n_tasks, NULL, chosen))
    return;
  for (uint32_t i = 0; i < step->n_tasks; i++)
    {
      task_set_checkpoint (&first[i], checkpoint);
      task_begin (scheduler, &first[i], chosen[i], attempt + 1);
    }
}

/* Starts what it can of a job's ready tasks. */
static void
job_place (struct scheduler *scheduler, struct pool *pool, struct job *job)
{
  for (uint32_t i = 0; i < job->n_tasks && job->n_ready > 0; i++)
    {
      struct task *task = &job->tasks[i];
      struct endpoint *endpoint;

      if (task->phase != TASK_READY)
        continue;
      if (task_step (task)->gang)
        {
          if (task->index == 0)
            gang_place (scheduler, pool, task);
          continue;
        }
      endpoint = pool_choose (scheduler, pool, task, NULL);
      if (endpoint)
        task_begin (scheduler, task, endpoint, task->attempt + 1);
    }
}

/* Tells whether a job's tasks last until it is cancelled. */
static bool
job_lasts (const struct job *job)
{
  return job->definition->steps[0]->long_running;
}

/* Tells whether a job can no longer meet its objective. */
static bool
job_is_late (const struct job *job, int64_t now_ms)
{
  return now_ms + job_chain_ms (job) > job->due_ms;
}

/* What jobs are ordered by. */
struct job_order
{
  struct job *job;
  bool lasts;
  bool late;
};

/* Lasting tasks come first: their absence is seen at once. Then those that can meet their
 * objective, the earliest first; the rest has little to lose. */
static int
job_order_compare (const void *left, const void *right)
{
  const struct job_order *a = left;
  const struct job_order *b = right;

  if (a->lasts != b->lasts)
    return a->lasts ? -1 : 1;
  if (a->late != b->late)
    return a->late ? 1 : -1;
  if (a->job->definition->priority != b->job->definition->priority)
    return a->job->definition->priority < b->job->definition->priority ? -1 : 1;
  if (a->job->due_ms != b->job->due_ms)
    return a->job->due_ms < b->job->due_ms ? -1 : 1;
  return 0;
}

/* Starts the ready tasks of a pool for which there is room, in the order of their jobs. */
void
pool_place (struct scheduler *scheduler, struct pool *pool)
{
  g_autoptr (GArray) order = g_array_new (FALSE, FALSE, sizeof (struct job_order));
  struct job *job;
  bool starved = false;

  pool->changed = false;
  TAILQ_FOREACH (job, &pool->jobs, pool_link)
    {
      struct job_order entry = { .job = job };

      if (job->n_ready == 0 || (job->inherited && !pool->inheritance_known))
        continue;
      entry.lasts = job_lasts (job);
      entry.late = job_is_late (job, scheduler->now_ms);
      g_array_append_val (order, entry);
    }
  g_array_sort (order, job_order_compare);
  for (guint i = 0; i < order->len; i++)
    {
      const struct job_order *entry = &g_array_index (order, struct job_order, i);

      job_place (scheduler, pool, entry->job);
      starved = starved || (entry->lasts && entry->job->n_ready > 0);
    }
  if (!starved)
    pool->starved_since_ms = 0;
  else if (pool->starved_since_ms == 0)
    pool->starved_since_ms = scheduler->now_ms;
  /* What was started here has marked the pool again. */
  pool->changed = false;
}
