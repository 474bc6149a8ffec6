#include "fleetd.h"

#include <string.h>

#include "common/log.h"
#include "lib/fleet/task.h"

enum
{
  /* How long the writer waits for a task step to be read back, and the interval of submitting the
   * end of a task again. */
  STEP_WAIT_MS = 5000,
  MAX_STEPS_PER_PASS = 100,
  MAX_PENDING_CALLS = 64,
  /* A lease is renewed in the log after this fraction of its duration. */
  LEASE_RENEWAL_DIVISOR = 3,
};

/* A lease for which this process calls the platform. */
struct batch_lease
{
  struct batch_scheduler *scheduler;
  char *task;
  char *host;
  uint64_t term;
  bool call_pending;
  /* Once the task's end was submitted to the log: when to submit it again. 0 before that. */
  int64_t end_resend_ms;
};

static void
batch_lease_free (void *data)
{
  struct batch_lease *lease = data;

  g_free (lease->task);
  g_free (lease->host);
  g_free (lease);
}

/* Counts down the pending records when one was read back or has expired. */
static void
batch_scheduler_step_done (void *ctx, const struct write_result *result)
{
  struct batch_scheduler *scheduler = ctx;

  (void) result;
  scheduler->n_writes--;
}

/* Submits a task step and takes ownership of it. */
static void
batch_scheduler_submit_step (struct batch_scheduler *scheduler, Sp__TaskStep *step)
{
  struct fleetd *fleetd = scheduler->fleetd;
  Sp__Record *record = malloc (sizeof *record);

  sp__record__init (record);
  record->body_case = SP__RECORD__BODY_TASK;
  record->task = step;
  scheduler->n_writes++;
  if (log_writer_submit (&fleetd->writer, record, fleetd->settings->name, STEP_WAIT_MS,
                         batch_scheduler_step_done, scheduler) < 0)
    scheduler->n_writes--;
}

/* Submits a task step under a lease. */
static void
batch_lease_submit_step (const struct batch_lease *lease, Sp__TaskStepKind kind,
                         uint32_t progress_permille)
{
  Sp__TaskStep *step = malloc (sizeof *step);

  sp__task_step__init (step);
  step->kind = kind;
  step->task = strdup (lease->task);
  step->host = strdup (lease->host);
  step->lease_term = lease->term;
  step->progress_permille = progress_permille;
  batch_scheduler_submit_step (lease->scheduler, step);
}

/* Returns the task of a lease, or NULL if the lease is no longer valid. */
static const struct task *
batch_lease_task (const struct batch_lease *lease)
{
  const struct task *task = fleet_find_task (lease->scheduler->fleetd->fleet, lease->task);

  if (!task || task->state != TASK_LEASED || task->lease_term != lease->term)
    return NULL;
  return task;
}

/* Records in the log what the platform reports of a task: its end, or its progress when the lease
 * is due for renewal. */
static void
batch_lease_record (struct batch_lease *lease, const struct platform_task *reported)
{
  const struct fleetd *fleetd = lease->scheduler->fleetd;
  const struct task *task = batch_lease_task (lease);

  if (!task || fleetd->clock.now_ms < lease->end_resend_ms)
    return;
  if (reported->state == PLATFORM_TASK_RUNNING)
    {
      if (fleetd->clock.wall_ms - task->leased_ms >
          (int64_t) task->lease_ms / LEASE_RENEWAL_DIVISOR)
        batch_lease_submit_step (lease, SP__TASK_STEP_KIND__TASK_STEP_KIND_CHECKPOINT,
                                 reported->progress_permille);
      return;
    }
  lease->end_resend_ms = fleetd->clock.now_ms + STEP_WAIT_MS;
  batch_lease_submit_step (lease,
                           reported->state == PLATFORM_TASK_FINISHED
                               ? SP__TASK_STEP_KIND__TASK_STEP_KIND_FINISH
                               : SP__TASK_STEP_KIND__TASK_STEP_KIND_FAIL,
                           reported->progress_permille);
}

/* Handles the platform's response. */
static void
batch_lease_call_done (void *ctx, int result, const struct platform_task *reported)
{
  struct batch_lease *lease = ctx;
  struct batch_scheduler *scheduler = lease->scheduler;

  clock_update (&scheduler->fleetd->clock);
  scheduler->n_calls--;
  lease->call_pending = false;
  if (result == 0 && executor_driver_holds_claim (&scheduler->fleetd->executor_driver))
    batch_lease_record (lease, reported);
  if (result == 0 && !batch_lease_task (lease) && reported->state != PLATFORM_TASK_RUNNING)
    g_hash_table_remove (scheduler->leases, lease->task);
}

/* Calls the platform to start the task or extend its lease, or to stop it if its lease is no longer
 * valid. */
static void
batch_lease_call (struct batch_lease *lease)
{
  struct batch_scheduler *scheduler = lease->scheduler;
  struct platform *platform = scheduler->fleetd->platform;
  const struct task *task = batch_lease_task (lease);
  struct platform_task_request request = {
    .host = lease->host,
    .task = lease->task,
    .term = lease->term,
    .run_ms = task ? task->run_ms : 0,
    .lease_ms = task ? task->lease_ms : 0,
    .stop = task == NULL,
  };

  if (lease->call_pending || scheduler->n_calls >= MAX_PENDING_CALLS)
    return;
  lease->call_pending = true;
  scheduler->n_calls++;
  platform->task (platform->self, &request, batch_lease_call_done, lease);
}

/* Adds the leases that are new in the state. A newer lease of the same task replaces an older one,
 * whose host stops the task by itself. */
static void
batch_scheduler_add_leases (struct batch_scheduler *scheduler)
{
  const struct task_list *leased = fleet_tasks (scheduler->fleetd->fleet, TASK_LEASED, false);
  const struct task *task;

  TAILQ_FOREACH (task, leased, link)
    {
      struct batch_lease *lease = g_hash_table_lookup (scheduler->leases, task->name);

      if (lease && (lease->term == task->lease_term || lease->call_pending))
        continue;
      lease = g_new0 (struct batch_lease, 1);
      lease->scheduler = scheduler;
      lease->task = g_strdup (task->name);
      lease->host = g_strdup (task->host);
      lease->term = task->lease_term;
      g_hash_table_replace (scheduler->leases, lease->task, lease);
    }
}

/* Calls the platform for all leases, and drops those whose end was applied from the log. */
static void
batch_scheduler_call_platform (struct batch_scheduler *scheduler)
{
  GHashTableIter iter;
  struct batch_lease *lease;

  g_hash_table_iter_init (&iter, scheduler->leases);
  while (g_hash_table_iter_next (&iter, NULL, (void **) &lease))
    {
      if (lease->end_resend_ms != 0 && !lease->call_pending && !batch_lease_task (lease))
        g_hash_table_iter_remove (&iter);
      else
        batch_lease_call (lease);
    }
}

/* Submits the steps that assign queued tasks to hosts, once all records submitted before have been
 * read back or have expired. */
static void
batch_scheduler_assign_tasks (struct batch_scheduler *scheduler)
{
  struct fleetd *fleetd = scheduler->fleetd;
  GPtrArray *steps;

  if (scheduler->n_writes > 0)
    return;
  steps = task_propose_steps (fleetd->fleet, fleetd->clock.wall_ms, fleetd->settings->task_lease_ms,
                              MAX_STEPS_PER_PASS);
  g_ptr_array_set_free_func (steps, NULL);
  for (guint i = 0; i < steps->len; i++)
    batch_scheduler_submit_step (scheduler, steps->pdata[i]);
  g_ptr_array_unref (steps);
}

/* Processes all batch tasks once per period, while this fleetd holds the claim. */
static void
batch_scheduler_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct batch_scheduler *scheduler = timer->data;
  struct fleetd *fleetd = scheduler->fleetd;

  (void) loop;
  (void) events;
  clock_update (&fleetd->clock);
  fleetd_set_timer (fleetd, timer, fleetd->settings->task_period_ms);
  if (!fleetd_is_ready (fleetd) || fleetd->stopping ||
      !executor_driver_holds_claim (&fleetd->executor_driver))
    return;
  batch_scheduler_add_leases (scheduler);
  batch_scheduler_call_platform (scheduler);
  batch_scheduler_assign_tasks (scheduler);
}

void
batch_scheduler_init (struct batch_scheduler *scheduler, struct fleetd *fleetd)
{
  scheduler->fleetd = fleetd;
  scheduler->leases = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, batch_lease_free);
  ev_init (&scheduler->timer, batch_scheduler_due);
  scheduler->timer.data = scheduler;
  fleetd_set_timer (fleetd, &scheduler->timer, fleetd->settings->task_period_ms);
}

void
batch_scheduler_finish (struct batch_scheduler *scheduler)
{
  ev_timer_stop (scheduler->fleetd->loop, &scheduler->timer);
  g_hash_table_unref (scheduler->leases);
}
