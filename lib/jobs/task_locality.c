#include "scheduler_state.h"

#include "lib/locality/locality_decision.h"
#include "lib/locality/locality_factor.h"
#include "lib/locality/locality_room.h"
#include "lib/locality/locality_waits.h"

#include <string.h>

/* Tasks and gangs that wait for capacity on a rack: asks lib/locality and keeps its state. */

enum
{
  PERMILLE = 1000,
  /* A leader without a pass for this long was paused, and decides again about what waits. */
  PAUSE_MS = 500,
  /* A task that has run longer than expected is expected to run for this part of its time more. */
  OVERDUE_PART = 4,
  REMAINING_MIN_MS = 20,
  /* Age of a job, which is the difference of two hosts' clocks, beyond which a clock jumped. */
  JOB_AGE_MAX_MS = 30000,
};

struct task_locality
{
  struct locality_waits *waits;
  struct locality_factors *factors;
  int64_t wait_max_ms;
  int64_t last_pass_ms;
  /* Number of times that a task did not get capacity because it was kept for another. */
  uint64_t n_held_back;
  /* Factor of the image of the task that ended last. */
  double last_factor;
};

/* What a question is about: a task or a gang, and the endpoints that are near. */
struct locality_subject
{
  struct task *first;
  uint32_t n_tasks;
  /* Label of the near endpoints; NULL if a gang may use any rack. */
  const char *label;
  struct resources request;
};

/* The endpoints of a rack or those with a label, as sites. */
struct near_places
{
  /* struct locality_site, GArray of its ends, and const struct endpoint *, by index. */
  GArray *sites;
  GPtrArray *ends;
  GPtrArray *endpoints;
};

/* Returns the state of a scheduler that lets tasks wait, or NULL if its settings turn that off. */
struct task_locality *
task_locality_create (const struct scheduler_config *config)
{
  struct task_locality *locality;

  if (config->far_factor <= 1 || config->locality_wait_max_ms <= 0)
    return NULL;
  locality = g_new0 (struct task_locality, 1);
  locality->waits = locality_waits_create ();
  locality->factors = locality_factors_create (config->far_factor);
  locality->wait_max_ms = config->locality_wait_max_ms;
  locality->last_factor = config->far_factor;
  return locality;
}

/* Frees the state; NULL is allowed. */
void
task_locality_destroy (struct task_locality *locality)
{
  if (!locality)
    return;
  locality_waits_destroy (locality->waits);
  locality_factors_destroy (locality->factors);
  g_free (locality);
}

/* Returns the predicted duration of a task near its data, 1 at least. */
static int64_t
task_expected_ms (const struct task *task)
{
  struct duration_line line = job_durations (task->job);

  return MAX (duration_line_task_ms (&line, task_step (task)->estimate_ms), 1);
}

/* Returns whether a task runs away from the data that it names. */
static bool
task_is_far (const struct task *task)
{
  const Sp__JobStep *step = task_step (task);

  return step->data_rack[0] != '\0' && !endpoint_has_label (task->endpoint, step->data_rack);
}

/* Returns the expected time until a task that has an endpoint ends; -1 if it runs until it is
 * stopped. */
static int64_t
task_remaining_ms (const struct scheduler *scheduler, const struct task *task)
{
  int64_t elapsed_ms = scheduler->now_ms - task->start_sent_ms;
  double expected_ms = (double) task_expected_ms (task);

  if (task->phase == TASK_STOPPING)
    return scheduler->config.stop_ms;
  if (task_step (task)->long_running)
    return -1;
  if (task_is_far (task))
    expected_ms *= locality_factor (scheduler->locality->factors, task_step (task)->image);
  return MAX ((int64_t) expected_ms - elapsed_ms,
              MAX (elapsed_ms / OVERDUE_PART, REMAINING_MIN_MS));
}

/* Returns whether an endpoint of a rack is one for which a task may wait. Unlike one that gets no
 * tasks for a while, one that is about to leave isn't. */
static bool
endpoint_is_lasting (const struct endpoint *endpoint)
{
  return endpoint_is_in_service (endpoint) && !endpoint->maintenance_due;
}

/* Returns whether an endpoint that is idle could run a task of the subject. */
static bool
endpoint_suits (const struct endpoint *endpoint, const struct locality_subject *subject)
{
  const Sp__JobStep *step = task_step (subject->first);
  const struct resources *size = &endpoint->capacity;

  if (subject->label && !endpoint_has_label (endpoint, subject->label))
    return false;
  if (step->required_label[0] != '\0' && !endpoint_has_label (endpoint, step->required_label))
    return false;
  return endpoint_is_lasting (endpoint) && subject->request.cpu_milli <= size->cpu_milli &&
         subject->request.memory_mb <= size->memory_mb && subject->request.gpus <= size->gpus;
}

/* Returns whether a host is on its way to a pool, with an endpoint that would be near. The machine
 * list doesn't show an endpoint's labels besides its rack. */
static bool
host_is_coming (const struct host *host, const struct pool *pool,
                const struct locality_subject *subject)
{
  const char *to = host->target_pool ? host->target_pool : host->pool;

  if (!host->target_pool && host->state != HOST_MOVING)
    return false;
  if (strcmp (to, pool->name) != 0 || task_step (subject->first)->required_label[0] != '\0')
    return false;
  if (subject->label && g_strcmp0 (host->rack, subject->label) != 0)
    return false;
  return subject->request.cpu_milli <= host->capacity.cpu_milli &&
         subject->request.memory_mb <= host->capacity.memory_mb &&
         subject->request.gpus <= host->capacity.gpus;
}

/* Returns whether a subject's rack has an endpoint for which it may wait, or will have one. */
static bool
subject_has_place (const struct scheduler *scheduler, const struct pool *pool,
                   const struct locality_subject *subject)
{
  const struct endpoint *endpoint;
  const struct host *host;

  TAILQ_FOREACH (endpoint, &pool->endpoints, pool_link)
    {
      if (endpoint_suits (endpoint, subject))
        return true;
    }
  TAILQ_FOREACH (host, &scheduler->hosts, link)
    {
      if (host_is_coming (host, pool, subject))
        return true;
    }
  return false;
}

static void
ends_destroy (gpointer data)
{
  g_array_free (data, TRUE);
}

static struct near_places
near_places_create (void)
{
  struct near_places places = {
    .sites = g_array_new (FALSE, FALSE, sizeof (struct locality_site)),
    .ends = g_ptr_array_new_with_free_func (ends_destroy),
    .endpoints = g_ptr_array_new (),
  };

  return places;
}

static void
near_places_clear (struct near_places *places)
{
  g_array_free (places->sites, TRUE);
  g_ptr_array_free (places->ends, TRUE);
  g_ptr_array_free (places->endpoints, TRUE);
}

/* Adds an endpoint, or a host without one, as a site. */
static void
near_places_add (struct near_places *places, const struct endpoint *endpoint,
                 struct locality_site *site, GArray *ends)
{
  site->ends = (struct locality_end *) (void *) ends->data;
  site->n_ends = ends->len;
  g_array_append_val (places->sites, *site);
  g_ptr_array_add (places->ends, ends);
  g_ptr_array_add (places->endpoints, (gpointer) endpoint);
}

/* Counts what is kept for tasks that wait at an endpoint as used from now to their expected end. */
static void
site_add_waits (const struct scheduler *scheduler, const struct endpoint *endpoint,
                struct locality_site *site, GArray *ends)
{
  const GPtrArray *waits = locality_waits_at (scheduler->locality->waits, endpoint);

  for (guint i = 0; waits && i < waits->len; i++)
    {
      const struct locality_wait *wait = g_ptr_array_index (waits, i);
      struct locality_end end = {
        .in_ms = MAX (wait->room_ms - scheduler->now_ms, 0) + wait->near_ms,
        .released = wait->request,
      };

      site->free.cpu_milli -= wait->request.cpu_milli;
      site->free.memory_mb -= wait->request.memory_mb;
      site->free.gpus -= wait->request.gpus;
      g_array_append_val (ends, end);
    }
}

/* Adds an endpoint with the expected ends of what it runs. */
static void
near_places_add_endpoint (struct near_places *places, const struct scheduler *scheduler,
                          const struct endpoint *endpoint, const struct locality_subject *subject)
{
  GArray *ends = g_array_new (FALSE, FALSE, sizeof (struct locality_end));
  uint32_t spread = task_step (subject->first)->spread_limit;
  unsigned same_step = spread > 0 ? endpoint_count_step (endpoint, subject->first) : 0;
  struct locality_site site = {
    .usable_in_ms = endpoint->avoid_until_ms - scheduler->now_ms,
    .free = { .cpu_milli = endpoint->capacity.cpu_milli - endpoint->used.cpu_milli,
              .memory_mb = endpoint->capacity.memory_mb - endpoint->used.memory_mb,
              .gpus = endpoint->capacity.gpus - endpoint->used.gpus },
    .tasks_max = spread > same_step ? spread - same_step : 0,
  };
  const struct task *task;

  if (spread > 0 && same_step >= spread)
    {
      g_array_free (ends, TRUE);
      return;
    }
  TAILQ_FOREACH (task, &endpoint->tasks, endpoint_link)
    {
      struct locality_end end = {
        .in_ms = task_remaining_ms (scheduler, task),
        .released = task_resources (task),
      };

      if (end.in_ms >= 0)
        g_array_append_val (ends, end);
    }
  site_add_waits (scheduler, endpoint, &site, ends);
  near_places_add (places, endpoint, &site, ends);
}

/* Adds a host on its way. */
static void
near_places_add_host (struct near_places *places, const struct scheduler *scheduler,
                      const struct host *host)
{
  GArray *ends = g_array_new (FALSE, FALSE, sizeof (struct locality_end));
  struct locality_site site = { .usable_in_ms = HOST_READY_MS, .free = host->capacity };

  /* The time of a move of an earlier leader isn't known. */
  if (!host->command_in_flight && host->moved_ms > 0)
    site.usable_in_ms = MAX (host->moved_ms + HOST_READY_MS - scheduler->now_ms, REMAINING_MIN_MS);
  near_places_add (places, NULL, &site, ends);
}

/* Returns the time until a subject is expected to fit on a rack, or on its endpoints by label; -1
 * if it never does. Sets endpoint to the one where a single task is expected to fit; NULL for a
 * host on its way. */
static int64_t
subject_room_in_ms (const struct scheduler *scheduler, const struct pool *pool,
                    const struct locality_subject *subject, const struct endpoint **found)
{
  struct near_places places = near_places_create ();
  const struct endpoint *endpoint;
  const struct host *host;
  size_t chosen = 0;
  int64_t in_ms;

  TAILQ_FOREACH (endpoint, &pool->endpoints, pool_link)
    {
      if (endpoint_suits (endpoint, subject))
        near_places_add_endpoint (&places, scheduler, endpoint, subject);
    }
  TAILQ_FOREACH (host, &scheduler->hosts, link)
    {
      if (host_is_coming (host, pool, subject))
        near_places_add_host (&places, scheduler, host);
    }
  in_ms = locality_room_in_ms ((struct locality_site *) (void *) places.sites->data,
                               places.sites->len, &subject->request, subject->n_tasks, &chosen);
  *found = in_ms >= 0 ? g_ptr_array_index (places.endpoints, chosen) : NULL;
  near_places_clear (&places);
  return in_ms;
}

/* Returns the time until a gang is expected to fit on any one rack, or -1. */
static int64_t
gang_room_in_ms (const struct scheduler *scheduler, const struct pool *pool,
                 struct locality_subject subject)
{
  g_autoptr (GHashTable) tried = g_hash_table_new (g_str_hash, g_str_equal);
  const struct endpoint *endpoint;
  const struct endpoint *found;
  int64_t best_ms = -1;

  TAILQ_FOREACH (endpoint, &pool->endpoints, pool_link)
    {
      int64_t in_ms;

      subject.label = endpoint_rack (endpoint);
      if (!subject.label || !g_hash_table_add (tried, (gpointer) subject.label))
        continue;
      in_ms = subject_room_in_ms (scheduler, pool, &subject, &found);
      if (in_ms >= 0 && (best_ms < 0 || in_ms < best_ms))
        best_ms = in_ms;
    }
  return best_ms;
}

/* Returns the share of a pool's ready work for which there is no free capacity, by processor.
 * Computed once a pass, as it visits all tasks of the pool. */
static double
pool_contention (const struct scheduler *scheduler, struct pool *pool)
{
  int64_t free_milli = 0;
  int64_t ready_milli = 0;
  const struct endpoint *endpoint;
  const struct job *job;

  if (pool->contention_ms == scheduler->now_ms)
    return pool->contention;
  TAILQ_FOREACH (endpoint, &pool->endpoints, pool_link)
    {
      if (endpoint_is_usable (scheduler, endpoint))
        free_milli += MAX (endpoint->capacity.cpu_milli - endpoint->used.cpu_milli, 0);
    }
  TAILQ_FOREACH (job, &pool->jobs, pool_link)
    {
      for (uint32_t i = 0; job->n_ready > 0 && i < job->n_tasks; i++)
        ready_milli +=
            job->tasks[i].phase == TASK_READY ? task_resources (&job->tasks[i]).cpu_milli : 0;
    }
  pool->contention_ms = scheduler->now_ms;
  pool->contention =
      ready_milli > free_milli ? (double) (ready_milli - free_milli) / (double) ready_milli : 0;
  return pool->contention;
}

/* Returns for how long a job's tasks may wait from now on. A new leader counts from the job's
 * arrival, as it doesn't know how long they have waited. */
static int64_t
job_wait_budget_ms (const struct scheduler *scheduler, const struct job *job)
{
  const struct task_locality *locality = scheduler->locality;
  int64_t age_ms = CLAMP (scheduler->wall_ms - job->definition->accepted_ms, 0, JOB_AGE_MAX_MS);
  int64_t budget_ms =
      locality_waits_budget_ms (locality->waits, job, locality->wait_max_ms, scheduler->now_ms);

  if (job->inherited)
    budget_ms = MIN (budget_ms, MAX (locality->wait_max_ms - age_ms, 0));
  return budget_ms;
}

/* Logs a decision with the numbers that it follows from. */
static void
subject_log (struct scheduler *scheduler, const struct locality_subject *subject,
             const struct locality_question *question, const struct locality_answer *answer)
{
  const struct task *task = subject->first;

  scheduler_log (scheduler,
                 "locality: task=%s.%u.%u.%u rack=%s choice=%s near_ms=%" G_GINT64_FORMAT
                 " far_ms=%" G_GINT64_FORMAT " room_ms=%" G_GINT64_FORMAT
                 " wait_ms=%" G_GINT64_FORMAT " left_ms=%" G_GINT64_FORMAT
                 " rest_ms=%" G_GINT64_FORMAT " contention=%.2f value_now=%.2f value_wait=%.2f",
                 task->job->id, task->occurrence, task->step, task->index,
                 subject->label ? subject->label : "any", locality_reason_name (answer->reason),
                 question->near_ms, answer->far_ms, question->places[0].room_in_ms,
                 answer->reason == LOCALITY_WAIT ? answer->wait_ms : 0, question->left_ms,
                 question->rest_ms, question->contention, answer->value_now,
                 MAX (answer->value_wait, -1));
}

/* Decides whether a subject that has a far place waits instead, and begins its wait. */
static bool
subject_begin_wait (struct scheduler *scheduler, struct pool *pool,
                    const struct locality_subject *subject, int64_t room_in_ms,
                    const struct endpoint *site)
{
  struct task *task = subject->first;
  struct locality_place place = { .factor = 1, .room_in_ms = room_in_ms };
  struct locality_question question = {
    .near_ms = task_expected_ms (task),
    .far_factor = locality_factor (scheduler->locality->factors, task_step (task)->image),
    .places = &place,
    .n_places = 1,
    .left_ms = task->job->due_ms - scheduler->now_ms,
    .rest_ms = MAX (job_critical_path_ms (task->job, 0) - task_expected_ms (task), 0),
    .contention = pool_contention (scheduler, pool),
    .wait_max_ms = job_wait_budget_ms (scheduler, task->job),
    .forecast = &pool->room_forecast,
  };
  struct locality_answer answer = locality_decide (&question);
  struct locality_wait wait = {
    .task = task,
    .owner = task->job,
    .site = site,
    .request = subject->request,
    .rank = task->job->definition->priority,
    .begin_ms = scheduler->now_ms,
    .end_ms = scheduler->now_ms + answer.wait_ms,
    .room_ms = scheduler->now_ms + answer.room_in_ms,
    .expected_ms = room_in_ms,
    .near_ms = question.near_ms,
  };

  subject_log (scheduler, subject, &question, &answer);
  if (answer.reason != LOCALITY_WAIT)
    return false;
  locality_waits_begin (scheduler->locality->waits, &wait);
  return true;
}

static struct locality_subject
task_subject (struct task *task)
{
  const Sp__JobStep *step = task_step (task);

  return (struct locality_subject){
    .first = task,
    .n_tasks = step->gang ? step->n_tasks : 1,
    .label = step->gang ? NULL : step->data_rack,
    .request = task_resources (task),
  };
}

/* Ends a wait, learns from it and logs it. */
static void
task_end_wait (struct scheduler *scheduler, struct locality_wait *wait, enum locality_wait_end how)
{
  static const char *const names[] = { "won", "lost", "rack-lost", "dropped" };
  const struct task *task = wait->task;
  struct pool *pool = scheduler_pool (scheduler, task->job->definition->pool);
  int64_t waited_ms = scheduler->now_ms - wait->begin_ms;

  if (how == LOCALITY_WAIT_WON || how == LOCALITY_WAIT_LOST)
    locality_forecast_observe (&pool->room_forecast, wait->expected_ms, waited_ms,
                               how == LOCALITY_WAIT_WON);
  scheduler_log (scheduler,
                 "locality wait ended: task=%s.%u.%u.%u how=%s waited_ms=%" G_GINT64_FORMAT
                 " expected_ms=%" G_GINT64_FORMAT " forecast_bias=%.2f forecast_n=%u",
                 task->job->id, task->occurrence, task->step, task->index, names[how], waited_ms,
                 wait->expected_ms, pool->room_forecast.bias, pool->room_forecast.n);
  locality_waits_end (scheduler->locality->waits, wait, how, scheduler->now_ms);
  pool->changed = true;
}

/* Returns whether a waiting task's rack still has an endpoint for it. places holds what is known of
 * equal tasks in this pass, so that not each one looks for an endpoint. */
static bool
task_has_place (struct scheduler *scheduler, struct task *task, GHashTable *places)
{
  struct locality_subject subject = task_subject (task);
  const struct pool *pool = scheduler_pool (scheduler, task->job->definition->pool);
  char *key = g_strdup_printf (
      "%s %s %s %" G_GINT64_FORMAT " %" G_GINT64_FORMAT " %" G_GINT64_FORMAT, pool->name,
      subject.label ? subject.label : "", task_step (task)->required_label,
      subject.request.cpu_milli, subject.request.memory_mb, subject.request.gpus);
  gpointer known;

  if (g_hash_table_lookup_extended (places, key, NULL, &known))
    {
      g_free (key);
      return GPOINTER_TO_INT (known);
    }
  known = GINT_TO_POINTER (subject_has_place (scheduler, pool, &subject));
  g_hash_table_insert (places, key, known);
  return GPOINTER_TO_INT (known);
}

/* Returns whether a wait continues, and how it ends otherwise. */
static bool
wait_goes_on (struct scheduler *scheduler, const struct locality_wait *wait, bool paused,
              GHashTable *places, enum locality_wait_end *how)
{
  struct task *task = (struct task *) wait->task;

  *how = LOCALITY_WAIT_DROPPED;
  if (task->phase != TASK_READY || task->suspect || job_is_over (task->job))
    return false;
  *how = LOCALITY_WAIT_LOST;
  if (scheduler->now_ms >= wait->end_ms || job_is_late (task->job, scheduler->now_ms))
    return false;
  *how = LOCALITY_WAIT_PLACE_LOST;
  if (!task_has_place (scheduler, task, places))
    return false;
  *how = LOCALITY_WAIT_DROPPED;
  return !paused;
}

/* Ends the waits whose time is over, whose rack has lost its usable endpoints, or whose tasks no
 * longer wait; after a pause of this process all of them. Called before each placement. */
void
scheduler_check_waits (struct scheduler *scheduler)
{
  struct task_locality *locality = scheduler->locality;
  bool paused;

  if (!locality)
    return;
  paused = locality->last_pass_ms > 0 && scheduler->now_ms - locality->last_pass_ms > PAUSE_MS;
  locality->last_pass_ms = scheduler->now_ms;
  if (locality_waits_n (locality->waits) > 0)
    {
      g_autoptr (GPtrArray) list = locality_waits_list (locality->waits);
      g_autoptr (GHashTable) places = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

      for (guint i = 0; i < list->len; i++)
        {
          struct locality_wait *wait = g_ptr_array_index (list, i);
          enum locality_wait_end how;

          if (!wait_goes_on (scheduler, wait, paused, places, &how))
            task_end_wait (scheduler, wait, how);
        }
    }
}

/* Returns whether a task that could start on an endpoint waits for its rack instead. */
bool
task_waits_for_rack (struct scheduler *scheduler, struct pool *pool, struct task *task,
                     const struct endpoint *endpoint)
{
  const Sp__JobStep *step = task_step (task);
  struct locality_subject subject;
  const struct locality_wait *wait;
  const struct endpoint *site;
  int64_t room_in_ms;

  if (!scheduler->locality || step->data_rack[0] == '\0' || step->long_running ||
      endpoint_has_label (endpoint, step->data_rack))
    return false;
  wait = locality_waits_find (scheduler->locality->waits, task);
  if (wait)
    return !wait->over;
  subject = task_subject (task);
  room_in_ms = subject_room_in_ms (scheduler, pool, &subject, &site);
  return subject_begin_wait (scheduler, pool, &subject, room_in_ms, site);
}

/* Returns whether a gang that could start on several racks waits for one instead. It keeps no
 * capacity. */
bool
gang_waits_for_rack (struct scheduler *scheduler, struct pool *pool, struct task *first)
{
  struct locality_subject subject;
  const struct locality_wait *wait;

  if (!scheduler->locality || !task_step (first)->same_rack || first->on_trial ||
      task_step (first)->long_running)
    return false;
  wait = locality_waits_find (scheduler->locality->waits, first);
  if (wait)
    return !wait->over;
  subject = task_subject (first);
  return subject_begin_wait (scheduler, pool, &subject, gang_room_in_ms (scheduler, pool, subject),
                             NULL);
}

/* Returns whether an endpoint's free capacity is kept for tasks that wait for it, so that a task
 * can't have it. */
bool
endpoint_keeps_room (const struct scheduler *scheduler, const struct endpoint *endpoint,
                     const struct task *task, const struct resources *request)
{
  const Sp__JobStep *step = task_step (task);
  struct locality_claim claim;

  if (!scheduler->locality || locality_waits_n (scheduler->locality->waits) == 0 ||
      step->long_running)
    return false;
  claim = (struct locality_claim){
    .task = task,
    .site = endpoint,
    .request = *request,
    .free = { .cpu_milli = endpoint->capacity.cpu_milli - endpoint->used.cpu_milli,
              .memory_mb = endpoint->capacity.memory_mb - endpoint->used.memory_mb,
              .gpus = endpoint->capacity.gpus - endpoint->used.gpus },
    .rank = task->job->definition->priority,
    .duration_ms = task_expected_ms (task),
  };
  if (locality_waits_allow (scheduler->locality->waits, &claim, scheduler->now_ms))
    return false;
  scheduler->locality->n_held_back++;
  return true;
}

/* Returns how often tasks did not get capacity because it was kept for others. */
uint64_t
scheduler_held_back (const struct scheduler *scheduler)
{
  return scheduler->locality ? scheduler->locality->n_held_back : 0;
}

/* Ends the wait of a task, or of the first task of a gang, that starts. */
void
task_note_placed (struct scheduler *scheduler, struct task *task, bool near)
{
  struct locality_wait *wait;

  if (!scheduler->locality)
    return;
  wait = locality_waits_find (scheduler->locality->waits, task);
  if (!wait)
    return;
  if (wait->over || !near)
    locality_waits_forget (scheduler->locality->waits, task, scheduler->now_ms);
  else
    task_end_wait (scheduler, wait, LOCALITY_WAIT_WON);
}

/* Learns from a task that is done, if the start of its attempt is known. */
void
task_note_duration (struct scheduler *scheduler, const struct task *task,
                    const struct endpoint *endpoint)
{
  const Sp__JobStep *step = task_step (task);
  int64_t actual_ms = scheduler->now_ms - task->confirmed_start_ms;

  if (!scheduler->locality || step->data_rack[0] == '\0' || step->long_running ||
      task->endpoint != endpoint || task->confirmed_start_ms == 0)
    return;
  scheduler->locality->last_factor = locality_factor (scheduler->locality->factors, step->image);
  locality_factors_observe (scheduler->locality->factors, step->image,
                            endpoint_has_label (endpoint, step->data_rack), task_expected_ms (task),
                            actual_ms);
}

/* Adds the waits to the scheduler's counters. */
void
scheduler_count_waits (const struct scheduler *scheduler, struct scheduler_counts *counts)
{
  const struct locality_counts *waits;

  if (!scheduler->locality)
    return;
  waits = locality_waits_counts (scheduler->locality->waits);
  counts->waits = waits->waits;
  counts->waits_won = waits->won;
  counts->waits_lost = waits->lost;
  counts->waited_ms = waits->waited_ms;
  counts->far_factor_permille = (unsigned) (scheduler->locality->last_factor * PERMILLE);
}

/* Drops what is known of a job's waits, before it is freed. */
void
job_forget_waits (struct scheduler *scheduler, const struct job *job)
{
  if (scheduler->locality)
    locality_waits_forget_owner (scheduler->locality->waits, job, scheduler->now_ms);
}

/* The same for an endpoint. */
void
endpoint_forget_waits (struct scheduler *scheduler, const struct endpoint *endpoint)
{
  if (scheduler->locality)
    locality_waits_forget_site (scheduler->locality->waits, endpoint);
}
