#include "scheduler_state.h"

#include <stdlib.h>
#include <string.h>

/* Crashes of endpoints, and what they prove about the tasks that were on trial there (suspects.c).
 */

enum
{
  /* Number of crashes from which on a crash during a trial proves that the task causes it, also
   * while endpoints crash by themselves. */
  CRASHES_PROVEN_BESIDE_OTHERS = 3,
  /* Endpoints of a rack that are lost within this time have a cause in common. */
  RACK_LOSS_MS = 250,
  /* If an endpoint of the same pool crashes by itself within this time, a trial proves nothing; if
   * one of any pool has within the longer time, more crashes are needed. */
  UNEXPLAINED_CRASH_MS = 1000,
  UNEXPLAINED_CRASH_KEPT_MS = 10000,
  /* Longest time from a start to the first failed call to its endpoint in which the crash is put
   * down to the start. */
  CRASH_NOTICED_MS = 150,
  /* How long a crash is kept, about as long as it takes a host to come back. */
  CRASH_KEPT_MS = 3000,
};

/* Stores with each task that may have caused an endpoint's crash how many jobs have such tasks. */
static void
endpoint_set_suspect_jobs (struct endpoint *endpoint)
{
  g_autoptr (GHashTable) jobs = g_hash_table_new (g_direct_hash, g_direct_equal);
  struct task *task;

  TAILQ_FOREACH (task, &endpoint->tasks, endpoint_link)
    {
      if (!task_start_is_survived (task, endpoint->clock_ms))
        g_hash_table_add (jobs, task->job);
    }
  TAILQ_FOREACH (task, &endpoint->tasks, endpoint_link)
    task->n_suspect_jobs = g_hash_table_size (jobs);
}

/* Records the crash of an endpoint. */
void
scheduler_record_crash (struct scheduler *scheduler, struct endpoint *endpoint)
{
  struct crash *crash = g_new0 (struct crash, 1);
  const struct task *task;
  unsigned n_others = 0;

  endpoint_set_suspect_jobs (endpoint);
  crash->pool = g_strdup (endpoint->pool);
  crash->rack = g_strdup (endpoint_rack (endpoint));
  crash->ms =
      endpoint->unresponsive_since_ms > 0 ? endpoint->unresponsive_since_ms : scheduler->now_ms;
  crash->tasks = g_ptr_array_new_with_free_func (g_free);
  TAILQ_FOREACH (task, &endpoint->tasks, endpoint_link)
    {
      if (task_start_is_survived (task, endpoint->clock_ms) || task_loss_is_explained (task))
        continue;
      crash->suspect_trial = crash->suspect_trial || (task->on_trial && task->suspect);
      if (task->on_trial)
        g_ptr_array_add (crash->tasks, task_name (task));
      else
        n_others++;
    }
  crash->has_suspect = crash->tasks->len + n_others > 0;
  crash->trial = crash->tasks->len > 0 && n_others == 0;
  if (!crash->has_suspect)
    scheduler->unexplained_crash_ms = scheduler->now_ms;
  TAILQ_INSERT_TAIL (&scheduler->crashes, crash, link);
}

/* Removes a crash and frees it. */
static void
scheduler_remove_crash (struct scheduler *scheduler, struct crash *crash)
{
  TAILQ_REMOVE (&scheduler->crashes, crash, link);
  g_ptr_array_free (crash->tasks, TRUE);
  g_free (crash->pool);
  g_free (crash->rack);
  g_free (crash);
}

/* Returns whether another crash suggests that a crash has a cause outside the tasks: a rack loses
 * its endpoints together, or endpoints of the pool crash by themselves. */
static bool
crash_has_other_cause (const struct scheduler *scheduler, const struct crash *crash)
{
  const struct crash *other;

  TAILQ_FOREACH (other, &scheduler->crashes, link)
    {
      int64_t apart_ms = llabs (other->ms - crash->ms);

      if (other == crash)
        continue;
      if (apart_ms <= RACK_LOSS_MS && g_strcmp0 (other->rack, crash->rack) == 0)
        return true;
      if (!other->has_suspect && apart_ms <= UNEXPLAINED_CRASH_MS &&
          strcmp (other->pool, crash->pool) == 0)
        return true;
    }
  return false;
}

/* Returns whether the crash of its endpoint during a trial proves that a task causes it. Its loss
 * was noticed soon enough after the start. */
static bool
task_is_convicted (const struct scheduler *scheduler, const struct crash *crash,
                   const struct task *task)
{
  bool others_crash =
      scheduler->unexplained_crash_ms > 0 &&
      scheduler->now_ms - scheduler->unexplained_crash_ms < UNEXPLAINED_CRASH_KEPT_MS;

  return crash->ms - task->start_sent_ms <= CRASH_NOTICED_MS &&
         task->n_crashed >= (others_crash ? CRASHES_PROVEN_BESIDE_OTHERS : CRASHES_PROVEN);
}

/* Gives up the jobs whose tasks were on trial on an endpoint that crashed, unless the crash may
 * have another cause. */
static void
scheduler_judge_crash (struct scheduler *scheduler, struct crash *crash)
{
  crash->judged = true;
  if (!crash->trial)
    return;
  if (crash_has_other_cause (scheduler, crash))
    {
      scheduler_log (scheduler, "trial proves nothing, other endpoints crashed: task=%s",
                     (const char *) g_ptr_array_index (crash->tasks, 0));
      return;
    }
  for (guint i = 0; i < crash->tasks->len; i++)
    {
      struct task *task = scheduler_find_task (scheduler, g_ptr_array_index (crash->tasks, i));

      if (task && task->job->scheduled && task_is_convicted (scheduler, crash, task))
        task_give_up (scheduler, task, "its endpoint crashed during a trial");
    }
}

/* Judges the crashes that were recorded since the last pass, and forgets old ones. */
void
scheduler_judge_crashes (struct scheduler *scheduler)
{
  struct crash *crash;
  struct crash *next;

  TAILQ_FOREACH (crash, &scheduler->crashes, link)
    {
      if (!crash->judged)
        scheduler_judge_crash (scheduler, crash);
    }
  for (crash = TAILQ_FIRST (&scheduler->crashes); crash; crash = next)
    {
      next = TAILQ_NEXT (crash, link);
      if (scheduler->now_ms - crash->ms > CRASH_KEPT_MS)
        scheduler_remove_crash (scheduler, crash);
    }
}

/* Frees the crashes when the leadership ends. */
void
scheduler_clear_crashes (struct scheduler *scheduler)
{
  while (!TAILQ_EMPTY (&scheduler->crashes))
    scheduler_remove_crash (scheduler, TAILQ_FIRST (&scheduler->crashes));
}
