#include "lib/admission/job_prospect.h"
#include "lib/jobs/free_order.h"
#include "scheduler_state.h"

#include <stdlib.h>

/* Placement: chooses the endpoint on which each ready task starts. */

enum
{
  /* Highest cost of the capacity that a placement leaves unused; the other costs are multiples of
   * it. */
  COST_UNUSED_CAPACITY_MAX = 1000,
  COST_OTHER_RACK = 4 * COST_UNUSED_CAPACITY_MAX,
  COST_BEST_EFFORT_BESIDE_SERVING = 2 * COST_UNUSED_CAPACITY_MAX,
  COST_IDLE_ENDPOINT = COST_UNUSED_CAPACITY_MAX,
  /* Applies for a while after tasks have crashed their endpoints: a crash just after a start would
   * make both jobs suspects. */
  COST_BESIDE_OTHER_START = 3 * COST_UNUSED_CAPACITY_MAX,
  /* An endpoint with more tasks of a step than may be unavailable at once takes long to drain. */
  COST_OVER_AWAY_LIMIT = 2 * COST_UNUSED_CAPACITY_MAX,
  /* A long-running task would soon have to be moved again. */
  COST_MAINTENANCE_DUE = 8 * COST_UNUSED_CAPACITY_MAX,
  /* Tasks come in a few sizes. A request that isn't kept only costs time, as it is tried again. */
  SHORTAGE_REQUESTS_MAX = 16,
  /* How long a task is kept away from the endpoint where it last failed. Without this, an endpoint
   * on which everything fails would use up the task's attempts. Afterwards the endpoint is allowed
   * again, as the pool may have no other. */
  TASK_AVOIDS_ENDPOINT_MS = 1500,
};

/* Best endpoint found so far for a task. */
struct candidate
{
  struct endpoint *endpoint;
  int64_t cost;
};

/* Requests for which no endpoint of a pool had enough free capacity in this pass. As starts only
 * reduce the free capacity, requests that are at least as large can't be placed later in the pass
 * either. This keeps passes short when there is more work than capacity. */
struct shortage
{
  struct resources requests[SHORTAGE_REQUESTS_MAX];
  unsigned n_requests;
};

/* State of one pool's part of a scheduling pass. */
struct pass
{
  struct shortage shortage;
  /* Number of starts that this part of the pass may still send. */
  unsigned starts_left;
  /* Number of starts until another workspace may have its turn; a gang counts as one. */
  unsigned turn_left;
  /* A start of the present job was held back by the cap of its workspace. */
  bool held_by_cap;
  /* Workspaces share the pool. */
  bool shared;
  /* Capacity of the pool, where workspaces have shares in it. */
  struct resources capacity;
  /* Suspects that are ready, which are placed last. */
  GPtrArray *suspects;
  /* The pool's usable endpoints; not built at first, nor after a gang was placed. */
  struct free_order order;
  /* Room of the pool since the last start for a late job. */
  struct pool_room room;
  bool room_known;
};

/* Returns whether a task may run on an endpoint, by its resource request and its step's
 * constraints. */
static bool
endpoint_accepts_task (const struct scheduler *scheduler, const struct pool *pool,
                       const struct endpoint *endpoint, const struct task *task,
                       const struct resources *request)
{
  const Sp__JobStep *step = task_step (task);

  if (!endpoint_has_capacity (endpoint, request) || !endpoint_is_usable (scheduler, endpoint))
    return false;
  if (task->on_trial ? !endpoint_accepts_trial (scheduler, pool, endpoint, task)
                     : endpoint->n_trials > 0)
    return false;
  if (!endpoint_accepts_exposure (pool, endpoint, task) ||
      endpoint_keeps_room (scheduler, endpoint, task, request))
    return false;
  if (task->failed_endpoint == endpoint &&
      scheduler->now_ms - task->failed_ms < TASK_AVOIDS_ENDPOINT_MS)
    return false;
  if (step->required_label[0] != '\0' && !endpoint_has_label (endpoint, step->required_label))
    return false;
  return step->spread_limit == 0 || endpoint_count_step (endpoint, task) < step->spread_limit;
}

/* Returns the cost of a placement; the lowest is best. Tasks are packed, so that other endpoints
 * stay idle and their hosts can leave the pool. */
static int64_t
endpoint_placement_cost (const struct scheduler *scheduler, const struct endpoint *endpoint,
                         const struct task *task, const struct resources *request)
{
  const Sp__JobStep *step = task_step (task);
  int64_t capacity = MAX (endpoint->capacity.cpu_milli, 1);
  int64_t unused = endpoint->capacity.cpu_milli - endpoint->used.cpu_milli - request->cpu_milli;
  int64_t cost = unused * COST_UNUSED_CAPACITY_MAX / capacity;

  if (step->data_rack[0] != '\0' && !endpoint_has_label (endpoint, step->data_rack))
    cost += COST_OTHER_RACK;
  if (endpoint->n_tasks == 0)
    cost += COST_IDLE_ENDPOINT;
  if (scheduler->now_ms < endpoint->member_of->cautious_until_ms &&
      endpoint_starts_other_job (endpoint, task))
    cost += COST_BESIDE_OTHER_START;
  if (step->long_running && endpoint->maintenance_due)
    cost += COST_MAINTENANCE_DUE;
  if (step->away_limit > 0 && endpoint_count_step (endpoint, task) >= step->away_limit)
    cost += COST_OVER_AWAY_LIMIT;
  if (step->fills)
    cost += endpoint->n_serving > 0 ? COST_BEST_EFFORT_BESIDE_SERVING : 0;
  else if (step->target_ms > 0)
    cost += endpoint->n_best_effort > 0 ? COST_BEST_EFFORT_BESIDE_SERVING : 0;
  return cost;
}

/* Returns the best endpoint for a task, within one rack if rack is not NULL. Returns NULL if none
 * can run it. */
static struct endpoint *
pool_choose_endpoint (struct scheduler *scheduler, const struct pool *pool, const struct task *task,
                      const char *rack)
{
  struct resources request = task_resources (task);
  struct candidate best = { 0 };
  struct endpoint *endpoint;

  TAILQ_FOREACH (endpoint, &pool->endpoints, pool_link)
    {
      int64_t cost;

      scheduler->counts.candidates++;
      if (!endpoint_accepts_task (scheduler, pool, endpoint, task, &request))
        continue;
      if (rack && g_strcmp0 (endpoint_rack (endpoint), rack) != 0)
        continue;
      cost = endpoint_placement_cost (scheduler, endpoint, task, &request);
      if (!best.endpoint || cost < best.cost)
        best = (struct candidate){ .endpoint = endpoint, .cost = cost };
    }
  return best.endpoint;
}

/* Builds the order of a pool's usable endpoints. */
static void
pass_build_order (struct scheduler *scheduler, const struct pool *pool, struct pass *pass)
{
  struct endpoint *endpoint;

  free_order_begin (&pass->order);
  TAILQ_FOREACH (endpoint, &pool->endpoints, pool_link)
    {
      scheduler->counts.candidates++;
      if (endpoint_is_usable (scheduler, endpoint))
        free_order_add (&pass->order, endpoint);
    }
  free_order_sort (&pass->order);
}

/* Returns the least cost of a task on any endpoint from an entry of the pass's order on. Idle
 * endpoints of the largest capacity are the last ones. */
static int64_t
free_entry_least_cost (const struct free_entry *entry, const struct resources *request,
                       int64_t capacity_max_milli)
{
  int64_t unused = entry->free_cpu_milli - request->cpu_milli;
  int64_t cost = unused * COST_UNUSED_CAPACITY_MAX / MAX (capacity_max_milli, 1);

  return entry->idle && entry->free_cpu_milli >= capacity_max_milli ? cost + COST_IDLE_ENDPOINT
                                                                    : cost;
}

/* Returns the index in the pass's order of the best endpoint for a task; the number of entries if
 * none can run it. Endpoints are considered from the one on that the task fills best, until none of
 * the next ones can be better than the best one so far. */
static guint
pass_choose_endpoint (struct scheduler *scheduler, const struct pool *pool, const struct task *task,
                      struct pass *pass)
{
  struct resources request = task_resources (task);
  const GArray *entries;
  guint best;
  int64_t best_cost = INT64_MAX;

  if (!pass->order.entries)
    pass_build_order (scheduler, pool, pass);
  entries = pass->order.entries;
  best = entries->len;
  for (guint i = free_order_find (&pass->order, request.cpu_milli); i < entries->len; i++)
    {
      const struct free_entry *entry = &g_array_index (entries, struct free_entry, i);
      int64_t cost;

      if (free_entry_least_cost (entry, &request, pass->order.capacity_max_milli) >= best_cost)
        break;
      scheduler->counts.candidates++;
      if (!endpoint_accepts_task (scheduler, pool, entry->endpoint, task, &request))
        continue;
      cost = endpoint_placement_cost (scheduler, entry->endpoint, task, &request);
      if (cost >= best_cost)
        continue;
      best = i;
      best_cost = cost;
    }
  return best;
}

/* Chooses an endpoint for each task of a gang, within one rack if rack is not NULL. Returns false
 * if not all fit. Reserves nothing. */
static bool
gang_choose_endpoints (struct scheduler *scheduler, const struct pool *pool, struct task *first,
                       uint32_t n, const char *rack, struct endpoint **chosen)
{
  uint32_t placed = 0;

  while (placed < n)
    {
      chosen[placed] = pool_choose_endpoint (scheduler, pool, &first[placed], rack);
      if (!chosen[placed])
        break;
      endpoint_add_task (chosen[placed], &first[placed]);
      placed++;
    }
  for (uint32_t i = 0; i < placed; i++)
    endpoint_remove_task (&first[i], scheduler->now_ms);
  return placed == n;
}

/* Chooses endpoints for a gang within any one rack. Returns false if no rack has enough free
 * capacity. */
static bool
gang_choose_rack (struct scheduler *scheduler, const struct pool *pool, struct task *first,
                  uint32_t n, struct endpoint **chosen)
{
  g_autoptr (GHashTable) tried = g_hash_table_new (g_str_hash, g_str_equal);
  const struct endpoint *endpoint;

  TAILQ_FOREACH (endpoint, &pool->endpoints, pool_link)
    {
      const char *rack = endpoint_rack (endpoint);

      if (rack && g_hash_table_add (tried, (gpointer) rack) &&
          gang_choose_endpoints (scheduler, pool, first, n, rack, chosen))
        return true;
    }
  return false;
}

/* Returns whether a task may start. One waits while another endpoint may still run an attempt of
 * it. */
static bool
task_may_start (struct scheduler *scheduler, struct task *task)
{
  return task->phase == TASK_READY && scheduler->now_ms >= task->other_attempt_until_ms &&
         (!task->suspect || task_may_be_tried (scheduler, task));
}

/* Puts the tasks of a gang on trial, which run only together, if one of them is a suspect. */
static void
gang_set_trial (struct task *first, uint32_t n)
{
  bool suspect = false;

  for (uint32_t i = 0; i < n; i++)
    suspect = suspect || first[i].suspect;
  for (uint32_t i = 0; i < n; i++)
    first[i].on_trial = suspect;
}

/* Prepares the trial of a gang. Returns whether it may be started. */
static bool
gang_prepare_trial (struct scheduler *scheduler, struct task *first, uint32_t n,
                    struct endpoint **chosen)
{
  bool ready = true;
  bool same = true;
  uint32_t highest = 0;

  for (uint32_t i = 0; i < n; i++)
    ready = task_prepare_trial (scheduler, &first[i], chosen[i]) && ready;
  for (uint32_t i = 0; i < n; i++)
    {
      same = same && first[i].trial_attempt == first[0].trial_attempt;
      highest = MAX (highest, first[i].trial_attempt);
    }
  /* The members share a number: if theirs differ, all prepare the next one. */
  for (uint32_t i = 0; i < n && !same; i++)
    first[i].highest_attempt = highest;
  return ready && same;
}

/* Returns whether the cap of a workspace allows the start of n tasks like first at once. */
static bool
task_is_within_cap (const struct scheduler *scheduler, const struct task *first, uint32_t n,
                    struct pass *pass)
{
  struct resources one = task_resources (first);
  struct resources all = { .cpu_milli = one.cpu_milli * n,
                           .memory_mb = one.memory_mb * n,
                           .gpus = one.gpus * n };

  if (job_start_is_allowed (scheduler, first->job, &all, &one))
    return true;
  pass->held_by_cap = true;
  return false;
}

/* Starts all tasks of a gang or none. A gang that should run within one rack is spread over several
 * if no rack has enough free capacity. The tasks share the attempt number and the checkpoint. */
static void
gang_place (struct scheduler *scheduler, struct pool *pool, struct task *first, struct pass *pass)
{
  const Sp__JobStep *step = task_step (first);
  struct endpoint *chosen[GANG_TASKS_MAX];
  uint32_t attempt = 0;
  const char *checkpoint = NULL;
  bool near;

  for (uint32_t i = 0; i < step->n_tasks; i++)
    {
      if (!task_may_start (scheduler, &first[i]))
        return;
      attempt = MAX (attempt, first[i].highest_attempt);
      checkpoint = first[i].checkpoint ? first[i].checkpoint : checkpoint;
    }
  if (!task_is_within_cap (scheduler, first, step->n_tasks, pass))
    return;
  gang_set_trial (first, step->n_tasks);
  near = step->same_rack && gang_choose_rack (scheduler, pool, first, step->n_tasks, chosen);
  if (!near && (!gang_choose_endpoints (scheduler, pool, first, step->n_tasks, NULL, chosen) ||
                gang_waits_for_rack (scheduler, pool, first)))
    return;
  if (first[0].on_trial && !gang_prepare_trial (scheduler, first, step->n_tasks, chosen))
    return;
  scheduler->counts.trials += first[0].on_trial;
  task_note_placed (scheduler, first, near);
  for (uint32_t i = 0; i < step->n_tasks; i++)
    {
      task_set_checkpoint (&first[i], checkpoint);
      task_start (scheduler, &first[i], chosen[i], attempt + 1);
    }
  pool_charge_start (scheduler, pool, first, step->n_tasks, &pass->capacity);
  pass->turn_left--;
}

/* Returns whether request is at least as large as other in each resource. */
static bool
resources_cover (const struct resources *request, const struct resources *other)
{
  return request->cpu_milli >= other->cpu_milli && request->memory_mb >= other->memory_mb &&
         request->gpus >= other->gpus;
}

/* Returns whether a request is known not to fit in this pass. */
static bool
shortage_covers (const struct shortage *shortage, const struct resources *request)
{
  for (unsigned i = 0; i < shortage->n_requests; i++)
    {
      if (resources_cover (request, &shortage->requests[i]))
        return true;
    }
  return false;
}

/* Records that a request didn't fit. Drops larger ones, which it implies. */
static void
shortage_add (struct shortage *shortage, const struct resources *request)
{
  unsigned kept = 0;

  for (unsigned i = 0; i < shortage->n_requests; i++)
    {
      if (!resources_cover (&shortage->requests[i], request))
        shortage->requests[kept++] = shortage->requests[i];
    }
  shortage->n_requests = kept;
  if (kept < SHORTAGE_REQUESTS_MAX)
    shortage->requests[shortage->n_requests++] = *request;
}

/* Returns whether free capacity alone decides where a task may run. */
static bool
task_is_unconstrained (const struct task *task)
{
  const Sp__JobStep *step = task_step (task);

  return !task->failed_endpoint && !task->job->cautious && step->spread_limit == 0 &&
         step->required_label[0] == '\0';
}

/* Returns the endpoint for a suspect's trial: the one on which it is prepared, or the best one.
 * Returns NULL if none can be had. */
static struct endpoint *
suspect_choose_endpoint (struct scheduler *scheduler, struct pool *pool, const struct task *task)
{
  struct endpoint *endpoint = task_trial_endpoint (scheduler, task);
  struct resources request = task_resources (task);

  /* Without an active task, a job has no endpoint on which only it is on trial. */
  if (!endpoint && !pool->trial_allowed && task->job->n_active == 0)
    return NULL;
  if (endpoint && endpoint_accepts_task (scheduler, pool, endpoint, task, &request))
    return endpoint;
  return pool_choose_endpoint (scheduler, pool, task, NULL);
}

/* Starts a suspect on trial, if its workspace's cap allows it and an endpoint can be had for it. */
static void
suspect_place (struct scheduler *scheduler, struct pool *pool, struct task *task, struct pass *pass)
{
  struct endpoint *endpoint;

  task->on_trial = true;
  pass->held_by_cap = false;
  endpoint = task_is_within_cap (scheduler, task, 1, pass)
                 ? suspect_choose_endpoint (scheduler, pool, task)
                 : NULL;
  if (!endpoint)
    {
      /* A trial that was prepared before does not take place. */
      task_end_trial (scheduler, task);
      return;
    }
  if (!task_prepare_trial (scheduler, task, endpoint))
    {
      pool_check_limits (scheduler, pool);
      return;
    }
  scheduler->counts.trials++;
  task_start (scheduler, task, endpoint, task->highest_attempt + 1);
  pool_charge_start (scheduler, pool, task, 1, &pass->capacity);
  pass->starts_left--;
  pool_check_limits (scheduler, pool);
}

/* Compares suspects by the order in which they are tried: those that are less likely to crash their
 * endpoint first, as their trials end soon and cost nothing. */
static int
suspect_compare (const void *left, const void *right)
{
  const struct task *a = *(const struct task *const *) left;
  const struct task *b = *(const struct task *const *) right;

  if (a->n_crashed != b->n_crashed)
    return a->n_crashed < b->n_crashed ? -1 : 1;
  if (a->n_suspect_jobs != b->n_suspect_jobs)
    return a->n_suspect_jobs > b->n_suspect_jobs ? -1 : 1;
  if (a->job->due_ms != b->job->due_ms)
    return a->job->due_ms < b->job->due_ms ? -1 : 1;
  return 0;
}

/* Starts suspects on trial as far as endpoints can be had for them. */
static void
pool_place_suspects (struct scheduler *scheduler, struct pool *pool, struct pass *pass)
{
  g_autoptr (GHashTable) waiting = g_hash_table_new (g_direct_hash, g_direct_equal);

  pool_check_limits (scheduler, pool);
  g_ptr_array_sort (pass->suspects, suspect_compare);
  for (guint i = 0; i < pass->suspects->len && pass->starts_left > 0; i++)
    {
      struct task *task = g_ptr_array_index (pass->suspects, i);

      suspect_place (scheduler, pool, task, pass);
      if (task->phase == TASK_READY && !pass->held_by_cap)
        g_hash_table_add (waiting, task->job);
    }
  pool->n_jobs_awaiting_trial = g_hash_table_size (waiting);
}

/* Returns the room of a pool, and what timely arrivals are expected to need. Endpoints that are not
 * usable at present count with their capacity: less of it seems used then, and less is held back.
 */
static struct pool_room
pool_get_room (const struct scheduler *scheduler, const struct pool *pool)
{
  struct resources arrivals =
      demand_forecast (&pool->demand, scheduler_arrivals_known_ms (scheduler));
  struct pool_room room = { .arrivals_cpu_milli = arrivals.cpu_milli,
                            .arrivals_memory_mb = arrivals.memory_mb };
  const struct endpoint *endpoint;

  TAILQ_FOREACH (endpoint, &pool->endpoints, pool_link)
    {
      room.capacity_cpu_milli += endpoint->capacity.cpu_milli;
      room.capacity_memory_mb += endpoint->capacity.memory_mb;
      room.used_cpu_milli += endpoint->used.cpu_milli;
      room.used_memory_mb += endpoint->used.memory_mb;
    }
  return room;
}

/* Returns whether the start of n tasks of a late job has to wait, to leave room for timely
 * arrivals, until a later pass. Otherwise the caller starts them, so that the room is to be
 * computed again. */
static bool
late_start_waits (struct scheduler *scheduler, const struct pool *pool, const struct task *first,
                  uint32_t n, struct pass *pass)
{
  struct resources request = task_resources (first);

  if (!first->job->leaves_room || first->phase != TASK_READY)
    return false;
  if (!pass->room_known)
    pass->room = pool_get_room (scheduler, pool);
  pass->room_known =
      late_start_must_wait (&pass->room, n * request.cpu_milli, n * request.memory_mb,
                            scheduler->now_ms - first->phase_since_ms);
  if (!pass->room_known)
    return false;
  scheduler->counts.late_held++;
  return true;
}

/* Starts the ready tasks of a step from one on, as far as there is free capacity, the cap of the
 * workspace allows it and the turn lasts. Returns the number of tasks that need not be considered
 * again in this pass. */
static uint32_t
step_place (struct scheduler *scheduler, struct pool *pool, struct task *from, struct pass *pass)
{
  const Sp__JobStep *step = task_step (from);
  struct resources request = task_resources (from);
  uint32_t n = step->n_tasks - from->index;
  uint32_t i;

  for (i = 0; i < n && pass->starts_left > 0 && pass->turn_left > 0; i++)
    {
      struct task *task = &from[i];
      struct endpoint *endpoint = NULL;
      guint chosen;
      uint64_t held_back = scheduler_held_back (scheduler);

      if (!task_may_start (scheduler, task))
        continue;
      if (task->suspect)
        {
          g_ptr_array_add (pass->suspects, task);
          continue;
        }
      task->on_trial = false;
      if (shortage_covers (&pass->shortage, &request) ||
          !task_is_within_cap (scheduler, task, 1, pass) ||
          late_start_waits (scheduler, pool, task, 1, pass))
        return n;
      chosen = pass_choose_endpoint (scheduler, pool, task, pass);
      if (chosen < pass->order.entries->len)
        endpoint = g_array_index (pass->order.entries, struct free_entry, chosen).endpoint;
      if (endpoint && task_waits_for_rack (scheduler, pool, task, endpoint))
        continue;
      if (endpoint)
        {
          task_note_placed (scheduler, task, endpoint_has_label (endpoint, step->data_rack));
          pool_count_exposure (pool, endpoint, task);
          task_start (scheduler, task, endpoint, task->highest_attempt + 1);
          free_order_update (&pass->order, chosen);
          pool_charge_start (scheduler, pool, task, 1, &pass->capacity);
          pass->starts_left--;
          pass->turn_left--;
          continue;
        }
      /* A task that doesn't fit because capacity is kept for another says nothing of the others. */
      if (task_is_unconstrained (task) && scheduler_held_back (scheduler) == held_back)
        shortage_add (&pass->shortage, &request);
      /* If the task has no endpoint to avoid, it didn't fit, and the others of its step don't fit
       * either. */
      if (!task->failed_endpoint)
        return n;
    }
  return i;
}

/* Starts as many of a job's ready tasks as possible in one turn, from its task number next on, and
 * advances next. Returns whether there may be more to start in another turn. */
static bool
job_place (struct scheduler *scheduler, struct pool *pool, struct job *job, uint32_t *next,
           struct pass *pass)
{
  if (*next == 0)
    job_check_caution (scheduler, job);
  pass->held_by_cap = false;
  while (*next < job->n_tasks && job->n_ready > 0 && pass->starts_left > 0 && pass->turn_left > 0)
    {
      struct task *task = &job->tasks[*next];
      const Sp__JobStep *step = task_step (task);

      if (step->gang)
        {
          if (!late_start_waits (scheduler, pool, task, step->n_tasks, pass))
            {
              gang_place (scheduler, pool, task, pass);
              free_order_clear (&pass->order);
            }
          *next += step->n_tasks;
        }
      else
        *next += step_place (scheduler, pool, task, pass);
    }
  return *next < job->n_tasks && job->n_ready > 0;
}

/* Returns whether a job's tasks run until it is cancelled. */
static bool
job_is_long_running (const struct job *job)
{
  return job->definition->steps[0]->long_running;
}

/* Sort key of jobs in a scheduling pass. */
struct job_rank
{
  struct job *job;
  bool long_running;
  bool late;
  /* Number of the first task that is to be considered in the job's next turn. */
  uint32_t next_task;
  /* Only where jobs are placed by prospect. */
  struct prospect_rank rank;
};

/* Returns the position of a job by its prospect. Long-running jobs have no objective to miss. Of a
 * repeated job the objective concerns the first occurrence only; later ones count as late. */
static struct prospect_rank
job_prospect_rank (const struct scheduler *scheduler, const struct job *job)
{
  struct job_outlook outlook = {
    .left_ms = job->due_ms - scheduler->now_ms,
    .objective_ms = job->objective_ms,
    .rest_ms = job_critical_path_ms (job, (int64_t) scheduler->start_time_ms),
    .run_ms = job_critical_path_ms (job, 0),
    .residual = job_durations (job).residual,
  };
  struct prospect_rank rank = { .begun = job->n_active > 0 || job->n_remaining < job->n_tasks,
                                .due_ms = job->due_ms };

  if (!job_is_long_running (job))
    rank.prospect = job_prospect_of (&outlook);
  if (job->definition->repeats > 0)
    rank.prospect = MIN (rank.prospect, JOB_LATE);
  return rank;
}

/* Sets the sort key of a job, and whether its starts leave room for timely arrivals. */
static void
job_rank_set (const struct scheduler *scheduler, struct job_rank *entry)
{
  struct job *job = entry->job;

  entry->long_running = job_is_long_running (job);
  job->leaves_room = false;
  if (!scheduler->config.prospect_order)
    {
      entry->late = job_is_late (job, scheduler->now_ms);
      return;
    }
  entry->rank = job_prospect_rank (scheduler, job);
  entry->late = entry->rank.prospect >= JOB_LATE;
  job->leaves_room = entry->late && job->definition->repeats == 0;
}

/* Compares jobs by the order in which they are placed: long-running jobs first, as callers notice
 * at once when they don't run; then jobs that can still meet their objective; then jobs that are
 * late. Within these by priority, then by prospect where that is set, then by due time. */
static int
job_rank_compare (const void *left, const void *right)
{
  const struct job_rank *a = left;
  const struct job_rank *b = right;
  int order;

  if (a->long_running != b->long_running)
    return a->long_running ? -1 : 1;
  if (a->late != b->late)
    return a->late ? 1 : -1;
  if (a->job->definition->priority != b->job->definition->priority)
    return a->job->definition->priority < b->job->definition->priority ? -1 : 1;
  order = prospect_rank_compare (&a->rank, &b->rank);
  if (order != 0)
    return order;
  if (a->job->due_ms != b->job->due_ms)
    return a->job->due_ms < b->job->due_ms ? -1 : 1;
  return 0;
}

/* Returns whether workspaces share the pool between two jobs, so that these are in the same class
 * and of the same priority. Long-running jobs come first whatever the shares are. */
static bool
job_rank_shares (const struct job_rank *a, const struct job_rank *b)
{
  return !a->long_running && !b->long_running && a->late == b->late &&
         a->job->definition->priority == b->job->definition->priority;
}

/* Places a job's tasks without an end of its turn. Returns whether it waits for capacity. */
static bool
job_place_all (struct scheduler *scheduler, struct pool *pool, struct job_rank *entry,
               struct pass *pass)
{
  pass->turn_left = UINT_MAX;
  job_place (scheduler, pool, entry->job, &entry->next_task, pass);
  return entry->job->n_ready > 0 && !pass->held_by_cap;
}

/* Places n jobs between which workspaces share the pool. Each start is a turn of the workspace with
 * the lowest service per weight. */
static void
pool_place_shares (struct scheduler *scheduler, struct pool *pool, struct job_rank *entries,
                   guint n, struct pass *pass)
{
  struct job_rank *entry;

  if (!pool->shares)
    pool->shares = share_order_create (scheduler->share_window_ms);
  share_order_begin (pool->shares, scheduler->now_ms);
  for (guint i = 0; i < n; i++)
    {
      const struct workspace_account *account = entries[i].job->account;

      share_order_add (pool->shares, account->index,
                       workspace_usage_weight (scheduler->workspaces, account), &entries[i]);
    }
  while (pass->starts_left > 0 && (entry = share_order_peek (pool->shares)))
    {
      pass->turn_left = 1;
      share_order_advance (pool->shares,
                           job_place (scheduler, pool, entry->job, &entry->next_task, pass));
    }
}

/* Places ranked jobs. Returns whether a long-running one waits for capacity. */
static bool
pool_place_ranked (struct scheduler *scheduler, struct pool *pool, GArray *ranked,
                   struct pass *pass)
{
  bool starved = false;
  guint i = 0;

  while (i < ranked->len)
    {
      struct job_rank *entry = &g_array_index (ranked, struct job_rank, i);
      guint n = 1;

      while (pass->shared && i + n < ranked->len && job_rank_shares (entry, &entry[n]))
        n++;
      if (n > 1)
        pool_place_shares (scheduler, pool, entry, n, pass);
      else if (job_place_all (scheduler, pool, entry, pass))
        starved = starved || entry->long_running;
      i += n;
    }
  return starved;
}

/* Starts the ready tasks of a pool that fit, in the order of their jobs. Returns the number of
 * starts, starts_max at most. */
static unsigned
pool_place (struct scheduler *scheduler, struct pool *pool, unsigned starts_max)
{
  g_autoptr (GArray) ranked = g_array_new (FALSE, FALSE, sizeof (struct job_rank));
  g_autoptr (GPtrArray) suspects = g_ptr_array_new ();
  struct pass pass = { .starts_left = starts_max,
                       .suspects = suspects,
                       .shared = scheduler_has_workspaces (scheduler) };
  struct job *job;
  bool starved;

  pool->changed = false;
  pool_check_limits (scheduler, pool);
  TAILQ_FOREACH (job, &pool->jobs, pool_link)
    {
      struct job_rank entry = { .job = job };

      if (job->n_ready == 0 || (job->inherited && !pool->takeover_complete))
        continue;
      job_rank_set (scheduler, &entry);
      g_array_append_val (ranked, entry);
    }
  if (pass.shared && ranked->len > 0)
    pass.capacity = pool_capacity (pool);
  g_array_sort (ranked, job_rank_compare);
  starved = pool_place_ranked (scheduler, pool, ranked, &pass);

  free_order_clear (&pass.order);
  pool_place_suspects (scheduler, pool, &pass);
  if (!starved)
    pool->starved_since_ms = 0;
  else if (pool->starved_since_ms == 0)
    pool->starved_since_ms = scheduler->now_ms;
  /* The starts above have set the flag. Another pass is needed only if this one reached its
   * limit. */
  pool->changed = pass.starts_left == 0;
  return starts_max - pass.starts_left;
}

/* Places the ready tasks of the pools in which something changed. Each gets an equal share of the
 * starts. Returns the number of starts left. */
static unsigned
scheduler_place_share (struct scheduler *scheduler, unsigned starts)
{
  struct pool *pool;
  unsigned n_changed = 0;
  unsigned share;

  TAILQ_FOREACH (pool, &scheduler->pools, link)
    n_changed += pool->changed;
  share = n_changed > 0 ? MAX (starts / n_changed, 1) : 0;
  TAILQ_FOREACH (pool, &scheduler->pools, link)
    {
      if (pool->changed && starts > 0)
        starts -= pool_place (scheduler, pool, MIN (share, starts));
    }
  return starts;
}

/* Places the ready tasks of each pool in which something changed. What some pools leave of their
 * shares goes to those that used up theirs. */
void
scheduler_place (struct scheduler *scheduler)
{
  unsigned left;

  scheduler_check_waits (scheduler);
  if (!scheduler_may_start_tasks (scheduler))
    return;
  scheduler_assume_unreported (scheduler);
  left = scheduler_place_share (scheduler, scheduler->starts_per_pass);
  if (left > 0)
    scheduler_place_share (scheduler, left);
}
