#include <errno.h>
#include <string.h>

#include "state.h"

/* The work on the hosts of confirmed plans. A platform operation starts only after the log has the
 * record that allows it: the host's state on the log determines the next operation, and once that
 * has succeeded, the next record is requested. */

enum
{
  /* Maximum number of hosts in steps at the same time. */
  EXECUTOR_MAX_HOSTS = 256,
  /* An append without a result is requested again after this time. */
  APPEND_RETRY_MS = 2000,
  /* An operation without a response is started again after this time. */
  OPERATE_TIMEOUT_MS = 5000,
  /* Pause before an operation that failed is started again. It doubles with each failure that the
   * host caused. */
  OPERATE_RETRY_MS = 500,
  OPERATE_MAX_RETRY_MS = 30000,
  /* Number of failures, and time in one state, after which the step fails. */
  OPERATE_MAX_FAILURES = 6,
  HOST_STATE_MAX_MS = 1800000,
};

/* One pass over the plans. */
struct pass
{
  struct executor *executor;
  const struct fleet *fleet;
  int64_t now_ms;
  int64_t wall_ms;
  /* Number of hosts by pool for which a LEAVING record is requested but not on the log yet. */
  GHashTable *requested;
  size_t n_hosts;
};

void
host_work_free (gpointer pointer)
{
  struct host_work *work = pointer;

  g_free (work->host);
  g_free (work->plan_id);
  g_free (work);
}

/* Schedules the next pass at time_ms at the latest. */
static void
schedule_pass_at (struct executor *executor, int64_t time_ms)
{
  executor->due_ms = MIN (executor->due_ms, time_ms);
}

/* Returns what was done for the host in its current state; creates an empty entry if necessary. */
static struct host_work *
work_get (struct pass *pass, const struct host *host)
{
  struct executor *executor = pass->executor;
  struct host_work *work = g_hash_table_lookup (executor->work, host->name);

  if (work && (work->state != host->state || strcmp (work->plan_id, host->plan->message->id) != 0))
    {
      g_hash_table_remove (executor->work, host->name);
      work = NULL;
    }
  if (!work)
    {
      work = g_new0 (struct host_work, 1);
      work->host = g_strdup (host->name);
      work->plan_id = g_strdup (host->plan->message->id);
      work->state = host->state;
      work->state_entered_ms = pass->now_ms;
      g_hash_table_insert (executor->work, work->host, work);
    }
  work->pass_number = executor->pass_number;
  return work;
}

/* Requests the record of the host's next step, unless it was requested recently. */
static void
append_step (struct pass *pass, struct host_work *work, const struct host *host,
             Sp__HostStepKind kind, bool lost)
{
  struct executor *executor = pass->executor;
  Sp__Record record = SP__RECORD__INIT;
  Sp__HostStep step = SP__HOST_STEP__INIT;

  if (pass->now_ms >= work->append_retry_ms)
    {
      step.kind = kind;
      step.host = host->name;
      step.plan_id = host->plan->message->id;
      step.term = executor->term;
      step.lost = lost;
      record.body_case = SP__RECORD__BODY_HOST_STEP;
      record.host_step = &step;
      work->append_retry_ms = pass->now_ms + APPEND_RETRY_MS;
      executor->ops.append (executor->ops.ctx, &record);
    }
  schedule_pass_at (executor, work->append_retry_ms);
}

/* Returns the platform operation that the host's state allows. */
static enum platform_operation
state_operation (const struct host *host, const Sp__PlanStep *step)
{
  if (host->state == HOST_LEAVING)
    return PLATFORM_DRAIN;
  if (host->state == HOST_DRAINED)
    return step->kind == SP__STEP_KIND__STEP_KIND_MOVE ? PLATFORM_LEAVE_POOL : PLATFORM_REBOOT;
  return PLATFORM_JOIN_POOL;
}

/* Returns the step record that follows once the state's operation has succeeded. */
static Sp__HostStepKind
next_step (const struct host *host, const Sp__PlanStep *step)
{
  switch (host->state)
    {
    case HOST_LEAVING:
      return SP__HOST_STEP_KIND__HOST_STEP_KIND_DRAINED;
    case HOST_DRAINED:
      return step->kind == SP__STEP_KIND__STEP_KIND_MOVE
                 ? SP__HOST_STEP_KIND__HOST_STEP_KIND_LEFT
                 : SP__HOST_STEP_KIND__HOST_STEP_KIND_REBOOTED;
    case HOST_LEFT:
      return SP__HOST_STEP_KIND__HOST_STEP_KIND_BELONGS;
    case HOST_REBOOTED:
      return SP__HOST_STEP_KIND__HOST_STEP_KIND_SERVING;
    default:
      return SP__HOST_STEP_KIND__HOST_STEP_KIND_ABANDONED;
    }
}

/* Starts the state's operation, or starts it again if its response is overdue. */
static void
start_operation (struct pass *pass, struct host_work *work, const struct host *host,
                 const Sp__PlanStep *step)
{
  struct executor *executor = pass->executor;
  enum platform_operation operation = state_operation (host, step);
  const char *to_pool = NULL;

  if (pass->now_ms >= work->operate_retry_ms)
    {
      if (operation == PLATFORM_JOIN_POOL)
        to_pool = host->state == HOST_LEFT ? step->to_pool : host->pool->name;
      work->response_pending = true;
      work->operation = operation;
      work->sequence = host->changed.offset;
      work->operate_retry_ms = pass->now_ms + OPERATE_TIMEOUT_MS;
      executor->ops.operate (executor->ops.ctx, operation, host, host->plan->message->id, to_pool,
                             work->sequence);
    }
  schedule_pass_at (executor, work->operate_retry_ms);
}

/* Returns whether the host's current state has had too many failures or lasted too long. */
static bool
has_failed_for_good (const struct pass *pass, const struct host_work *work)
{
  return work->failures >= OPERATE_MAX_FAILURES ||
         pass->now_ms - work->state_entered_ms > HOST_STATE_MAX_MS;
}

/* Starts what is due for a host that is in a step: its operation, or its next record. If a rebooted
 * host is off the host list, waits for it; after HOST_STATE_MAX_MS its step fails. */
static void
continue_step (struct pass *pass, const struct host *host)
{
  const Sp__PlanStep *step = host->plan->message->steps[host->plan_step];
  struct host_work *work = work_get (pass, host);
  int64_t notice_end_ms = work->state_entered_ms + (int64_t) pass->executor->drain_notice_ms;

  pass->n_hosts++;
  if (!work->succeeded)
    {
      if (!has_failed_for_good (pass, work))
        start_operation (pass, work, host, step);
      else if (host->state == HOST_RETURNING)
        append_step (pass, work, host, SP__HOST_STEP_KIND__HOST_STEP_KIND_ABANDONED, true);
      else
        append_step (pass, work, host, SP__HOST_STEP_KIND__HOST_STEP_KIND_RETURNING, false);
    }
  else if (host->state == HOST_LEAVING && pass->now_ms < notice_end_ms)
    schedule_pass_at (pass->executor, notice_end_ms);
  else if (host->state == HOST_REBOOTED &&
           host->presence == SP__HOST_PRESENCE__HOST_PRESENCE_GONE &&
           !has_failed_for_good (pass, work))
    return;
  else if (host->state == HOST_REBOOTED && host->presence == SP__HOST_PRESENCE__HOST_PRESENCE_GONE)
    append_step (pass, work, host, SP__HOST_STEP_KIND__HOST_STEP_KIND_RETURNING, false);
  else
    append_step (pass, work, host, next_step (host, step), false);
}

/* Returns how many more hosts may leave the pool within its budget. Hosts whose LEAVING record is
 * requested but not on the log yet count as gone. */
static uint32_t
pool_disruptions_allowed (const struct pass *pass, const struct pool *pool)
{
  uint32_t reserved = pool_min_serving (pass->fleet, pool) +
                      GPOINTER_TO_UINT (g_hash_table_lookup (pass->requested, pool->name));

  return pool->n_serving > reserved ? pool->n_serving - reserved : 0;
}

/* Requests that a host leaves service. Returns false if its pool's budget does not allow it. */
static bool
begin_step (struct pass *pass, const struct host *host)
{
  const struct pool *pool = host->pool;
  uint32_t requested = GPOINTER_TO_UINT (g_hash_table_lookup (pass->requested, pool->name));

  if (host_serves (host))
    {
      if (pool_disruptions_allowed (pass, pool) == 0)
        return false;
      g_hash_table_insert (pass->requested, pool->name, GUINT_TO_POINTER (requested + 1));
    }
  pass->n_hosts++;
  append_step (pass, work_get (pass, host), host, SP__HOST_STEP_KIND__HOST_STEP_KIND_LEAVING,
               false);
  return true;
}

/* Begins the steps of a plan whose start time has passed. If the budget of a pool is used up,
 * further steps from that pool are skipped. */
static void
begin_steps (struct pass *pass, const struct plan *plan)
{
  const Sp__Plan *message = plan->message;
  const char *exhausted_pool = "";

  for (size_t i = plan->first_open; i < message->n_steps && pass->n_hosts < EXECUTOR_MAX_HOSTS; i++)
    {
      const Sp__PlanStep *step = message->steps[i];
      const struct host *host;

      if (plan->outcomes[i] != STEP_OPEN ||
          pass->wall_ms < plan->confirmed_ms + (int64_t) step->start_ms ||
          strcmp (step->from_pool, exhausted_pool) == 0)
        continue;
      host = fleet_find_host (pass->fleet, step->host);
      if (host->plan_step == i && host->state == HOST_SERVING && !begin_step (pass, host))
        exhausted_pool = step->from_pool;
    }
}

/* Continues with all hosts that are in steps. */
static void
continue_steps (struct pass *pass)
{
  const struct pool *pool;
  const struct host *host;

  LIST_FOREACH (pool, fleet_pools (pass->fleet), link)
    LIST_FOREACH (host, &pool->stepping, step_link)
      continue_step (pass, host);
}

/* Orders plans by the offset of their confirmation. */
static gint
compare_plans (gconstpointer a, gconstpointer b)
{
  const struct plan *const *first = a;
  const struct plan *const *second = b;

  if ((*first)->changed.offset != (*second)->changed.offset)
    return (*first)->changed.offset < (*second)->changed.offset ? -1 : 1;
  return strcmp ((*first)->message->id, (*second)->message->id);
}

/* Begins steps of the confirmed plans; plans that were confirmed earlier go first. */
static void
begin_plans (struct pass *pass)
{
  GPtrArray *plans = g_ptr_array_new ();
  struct plan *plan;

  LIST_FOREACH (plan, fleet_plans (pass->fleet), link)
    if (plan_is_active (plan) && !plan->stopping)
      g_ptr_array_add (plans, plan);
  g_ptr_array_sort (plans, compare_plans);
  for (guint i = 0; i < plans->len; i++)
    begin_steps (pass, g_ptr_array_index (plans, i));
  g_ptr_array_unref (plans);
}

/* Returns whether a host was not visited in this pass: its step has ended, or it was not among the
 * EXECUTOR_MAX_HOSTS hosts. */
static gboolean
is_stale_work (G_GNUC_UNUSED gpointer key, gpointer work, gpointer executor)
{
  return ((struct host_work *) work)->pass_number != ((struct executor *) executor)->pass_number;
}

/* Checks all confirmed plans and starts whatever is due. */
void
executor_tick_plans (struct executor *executor, const struct fleet *fleet, int64_t now_ms,
                     int64_t wall_ms)
{
  struct pass pass = { executor, fleet, now_ms, wall_ms, NULL, 0 };

  executor->pass_number++;
  pass.requested = g_hash_table_new (g_str_hash, g_str_equal);
  continue_steps (&pass);
  begin_plans (&pass);
  g_hash_table_destroy (pass.requested);
  g_hash_table_foreach_remove (executor->work, is_stale_work, executor);
}

/* Returns whether an error does not indicate a fault of the host. */
static bool
is_transient (int result)
{
  return result == -EAGAIN || result == -ETIMEDOUT || result == -ECONNREFUSED ||
         result == -ECONNRESET || result == -EHOSTUNREACH || result == -EBUSY;
}

/* Handles the platform's response. A response to an operation of an earlier state is ignored. */
void
executor_operation_done (struct executor *executor, const char *host,
                         enum platform_operation operation, uint64_t sequence, int result,
                         int64_t now_ms)
{
  struct host_work *work = g_hash_table_lookup (executor->work, host);
  int64_t retry_ms;

  if (!work || !work->response_pending || work->operation != operation ||
      work->sequence != sequence)
    return;
  work->response_pending = false;
  executor->due_ms = now_ms;
  if (result == 0)
    {
      work->succeeded = true;
      return;
    }
  if (!is_transient (result))
    work->failures++;
  retry_ms = MIN ((int64_t) OPERATE_RETRY_MS << MIN (work->failures, OPERATE_MAX_FAILURES),
                  OPERATE_MAX_RETRY_MS);
  work->operate_retry_ms = now_ms + retry_ms;
}
