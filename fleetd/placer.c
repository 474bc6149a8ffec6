#include "fleetd.h"

#include <string.h>

#include "common/log.h"
#include "lib/task.h"

enum
{
  STEP_WAIT_MS = 5000,
  STEPS_AT_ONCE = 100,
  CALLS_AT_ONCE = 64,
  /* A lease is renewed in the log after this fraction of its duration. */
  RENEW_DIVISOR = 3,
};

/* A lease for which this process calls the platform. */
struct placed
{
  struct placer *placer;
  char *task;
  char *host;
  uint64_t term;
  bool calling;
  /* Once the task's end was submitted to the log: when to submit it again. 0 before that. */
  int64_t end_again_ms;
};

static void
placed_free (void *data)
{
  struct placed *placed = data;

  g_free (placed->task);
  g_free (placed->host);
  g_free (placed);
}

/* Counts down the pending records when one was read back or has expired. */
static void
placer_written (void *ctx, const struct write_result *result)
{
  struct placer *placer = ctx;

  (void) result;
  placer->n_writes--;
}

/* Submits a task step and takes ownership of it. */
static void
placer_write (struct placer *placer, Sp__TaskStep *step)
{
  struct fleetd *fleetd = placer->fleetd;
  Sp__Record *record = malloc (sizeof *record);

  sp__record__init (record);
  record->body_case = SP__RECORD__BODY_TASK;
  record->task = step;
  placer->n_writes++;
  if (writer_submit (&fleetd->writer, record, fleetd->settings->name, STEP_WAIT_MS, placer_written,
                     placer) < 0)
    placer->n_writes--;
}

/* Submits a task step under a lease. */
static void
placed_write (const struct placed *placed, Sp__TaskStepKind kind, uint32_t progress_permille)
{
  Sp__TaskStep *step = malloc (sizeof *step);

  sp__task_step__init (step);
  step->kind = kind;
  step->task = strdup (placed->task);
  step->host = strdup (placed->host);
  step->lease_term = placed->term;
  step->progress_permille = progress_permille;
  placer_write (placed->placer, step);
}

/* Returns the task of a lease, or NULL if the lease is no longer valid. */
static const struct task *
placed_task (const struct placed *placed)
{
  const struct task *task = fleet_find_task (placed->placer->fleetd->fleet, placed->task);

  if (!task || task->state != TASK_LEASED || task->lease_term != placed->term)
    return NULL;
  return task;
}

/* Records in the log what the platform reports of a task: its end, or its progress when the lease
 * is due for renewal. */
static void
placed_tell (struct placed *placed, const struct platform_task *seen)
{
  const struct fleetd *fleetd = placed->placer->fleetd;
  const struct task *task = placed_task (placed);

  if (!task || fleetd->clock.now_ms < placed->end_again_ms)
    return;
  if (seen->state == PLATFORM_TASK_RUNNING)
    {
      if (fleetd->clock.wall_ms - task->leased_ms > (int64_t) task->lease_ms / RENEW_DIVISOR)
        placed_write (placed, SP__TASK_STEP_KIND__TASK_STEP_KIND_CHECKPOINT,
                      seen->progress_permille);
      return;
    }
  placed->end_again_ms = fleetd->clock.now_ms + STEP_WAIT_MS;
  placed_write (placed,
                seen->state == PLATFORM_TASK_FINISHED ? SP__TASK_STEP_KIND__TASK_STEP_KIND_FINISH
                                                      : SP__TASK_STEP_KIND__TASK_STEP_KIND_FAIL,
                seen->progress_permille);
}

/* Handles the platform's response. */
static void
placed_answered (void *ctx, int result, const struct platform_task *seen)
{
  struct placed *placed = ctx;
  struct placer *placer = placed->placer;

  clock_update (&placer->fleetd->clock);
  placer->n_calls--;
  placed->calling = false;
  if (result == 0 && carrier_holds_claim (&placer->fleetd->carrier))
    placed_tell (placed, seen);
  if (result == 0 && !placed_task (placed) && seen->state != PLATFORM_TASK_RUNNING)
    g_hash_table_remove (placer->placed, placed->task);
}

/* Calls the platform to start the task or extend its lease, or to stop it if its lease is no longer
 * valid. */
static void
placed_call (struct placed *placed)
{
  struct placer *placer = placed->placer;
  struct platform *platform = placer->fleetd->platform;
  const struct task *task = placed_task (placed);
  struct platform_task_request request = {
    .host = placed->host,
    .task = placed->task,
    .term = placed->term,
    .run_ms = task ? task->run_ms : 0,
    .lease_ms = task ? task->lease_ms : 0,
    .stop = task == NULL,
  };

  if (placed->calling || placer->n_calls >= CALLS_AT_ONCE)
    return;
  placed->calling = true;
  placer->n_calls++;
  platform->task (platform->self, &request, placed_answered, placed);
}

/* Adds the leases that are new in the state. A newer lease of the same task replaces an older one,
 * whose host stops the task by itself. */
static void
placer_take_leases (struct placer *placer)
{
  const struct task_list *leased = fleet_tasks (placer->fleetd->fleet, TASK_LEASED, false);
  const struct task *task;

  TAILQ_FOREACH (task, leased, link)
    {
      struct placed *placed = g_hash_table_lookup (placer->placed, task->name);

      if (placed && (placed->term == task->lease_term || placed->calling))
        continue;
      placed = g_new0 (struct placed, 1);
      placed->placer = placer;
      placed->task = g_strdup (task->name);
      placed->host = g_strdup (task->host);
      placed->term = task->lease_term;
      g_hash_table_replace (placer->placed, placed->task, placed);
    }
}

/* Calls the platform for all leases, and drops those whose end was applied from the log. */
static void
placer_call (struct placer *placer)
{
  GHashTableIter iter;
  struct placed *placed;

  g_hash_table_iter_init (&iter, placer->placed);
  while (g_hash_table_iter_next (&iter, NULL, (void **) &placed))
    {
      if (placed->end_again_ms != 0 && !placed->calling && !placed_task (placed))
        g_hash_table_iter_remove (&iter);
      else
        placed_call (placed);
    }
}

/* Submits the steps that assign queued tasks to hosts, once all records submitted before have been
 * read back or have expired. */
static void
placer_place (struct placer *placer)
{
  struct fleetd *fleetd = placer->fleetd;
  GPtrArray *steps;

  if (placer->n_writes > 0)
    return;
  steps = task_place (fleetd->fleet, fleetd->clock.wall_ms, fleetd->settings->task_lease_ms,
                      STEPS_AT_ONCE);
  g_ptr_array_set_free_func (steps, NULL);
  for (guint i = 0; i < steps->len; i++)
    placer_write (placer, steps->pdata[i]);
  g_ptr_array_unref (steps);
}

/* Processes all batch tasks once per period, while this fleetd holds the claim. */
static void
placer_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct placer *placer = timer->data;
  struct fleetd *fleetd = placer->fleetd;

  (void) loop;
  (void) events;
  clock_update (&fleetd->clock);
  fleetd_set_timer (fleetd, timer, fleetd->settings->task_period_ms);
  if (!fleetd_is_ready (fleetd) || fleetd->stopping || !carrier_holds_claim (&fleetd->carrier))
    return;
  placer_take_leases (placer);
  placer_call (placer);
  placer_place (placer);
}

void
placer_init (struct placer *placer, struct fleetd *fleetd)
{
  placer->fleetd = fleetd;
  placer->placed = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, placed_free);
  ev_init (&placer->timer, placer_due);
  placer->timer.data = placer;
  fleetd_set_timer (fleetd, &placer->timer, fleetd->settings->task_period_ms);
}

void
placer_finish (struct placer *placer)
{
  ev_timer_stop (placer->fleetd->loop, &placer->timer);
  g_hash_table_unref (placer->placed);
}
