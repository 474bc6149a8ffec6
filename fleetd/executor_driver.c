#include "fleetd.h"

#include <errno.h>
#include <string.h>
#include <sys/random.h>

#include "common/log.h"

enum
{
  /* How long the writer waits for a record of the executor to be read back; the executor retries by
   * itself. */
  APPEND_WAIT_MS = 5000,
  /* An operation that is still running is polled at this interval, and for this long before the
   * executor is notified. */
  OPERATION_POLL_MS = 100,
  OPERATION_WAIT_MS = 4000,
};

/* An operation that was requested from the platform. */
struct host_operation
{
  LIST_ENTRY (host_operation) link;
  struct executor_driver *driver;
  enum platform_operation kind;
  uint64_t sequence;
  char *host;
  char *key;
  char *expected_pool;
  char *to_pool;
  int64_t poll_end_ms;
  ev_timer timer;
};

/* Submits a copy of the executor's record to the log writer. */
static void
executor_driver_append (void *ctx, const Sp__Record *record)
{
  struct executor_driver *driver = ctx;
  struct fleetd *fleetd = driver->fleetd;
  size_t len = sp__record__get_packed_size (record);
  g_autofree uint8_t *data = g_malloc (len + 1);
  Sp__Record *copy;

  sp__record__pack (record, data);
  copy = sp__record__unpack (NULL, len, data);
  g_assert (copy);
  g_clear_pointer (&copy->id.data, free);
  copy->id.len = 0;
  if (copy->author != protobuf_c_empty_string)
    free (copy->author);
  copy->author = (char *) protobuf_c_empty_string;
  log_writer_submit (&fleetd->writer, copy, fleetd->settings->name, APPEND_WAIT_MS, NULL, NULL);
}

/* Returns the platform's name for an operation. */
static const char *
operation_name (enum platform_operation kind)
{
  switch (kind)
    {
    case PLATFORM_DRAIN:
      return "drain";
    case PLATFORM_REBOOT:
      return "reboot";
    case PLATFORM_LEAVE_POOL:
      return "leave";
    default:
      return "join";
    }
}

static void
host_operation_destroy (struct host_operation *operation)
{
  ev_timer_stop (operation->driver->fleetd->loop, &operation->timer);
  LIST_REMOVE (operation, link);
  g_free (operation->host);
  g_free (operation->key);
  g_free (operation->expected_pool);
  g_free (operation->to_pool);
  g_free (operation);
}

/* Reports the result of an operation to the executor. An operation that is still running is
 * reported as -EAGAIN: the executor retries it, and the platform recognizes the idempotency key. */
static void
host_operation_report (struct host_operation *operation, int result)
{
  struct executor_driver *driver = operation->driver;

  if (result == -EINPROGRESS)
    result = -EAGAIN;
  if (result < 0 && result != -EAGAIN && result != -ETIMEDOUT)
    log_info ("executor", "The platform rejected or failed the operation %s on host %s.",
              operation_name (operation->kind), operation->host);
  executor_operation_done (driver->executor, operation->host, operation->kind, operation->sequence,
                           result, driver->fleetd->clock.now_ms);
  host_operation_destroy (operation);
  executor_driver_advance (driver);
}

/* Handles the platform's response; an operation that is still running is polled again until its
 * deadline. */
static void
host_operation_done (void *ctx, int result)
{
  struct host_operation *operation = ctx;
  struct fleetd *fleetd = operation->driver->fleetd;

  clock_update (&fleetd->clock);
  if (result == -EINPROGRESS && fleetd->clock.now_ms < operation->poll_end_ms)
    fleetd_set_timer (fleetd, &operation->timer, OPERATION_POLL_MS);
  else
    host_operation_report (operation, result);
}

/* Requests the operation, or polls it if the platform already knows its key. */
static void
host_operation_send (struct host_operation *operation)
{
  struct platform *platform = operation->driver->fleetd->platform;
  struct platform_operation_request request = {
    .operation = operation_name (operation->kind),
    .host = operation->host,
    .key = operation->key,
    .expected_pool = operation->expected_pool,
    .to_pool = operation->to_pool,
    .sequence = operation->sequence,
  };

  platform->operate (platform->self, &request, host_operation_done, operation);
}

/* Polls an operation, provided that this process still holds the claim. */
static void
host_operation_poll (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct host_operation *operation = timer->data;
  struct executor_driver *driver = operation->driver;

  (void) loop;
  (void) events;
  clock_update (&driver->fleetd->clock);
  if (executor_driver_holds_claim (driver))
    host_operation_send (operation);
  else
    host_operation_report (operation, -EINPROGRESS);
}

/* Requests an operation from the platform. The idempotency key is derived from the plan's step, so
 * that a repetition by this or another claim holder has no further effect. */
static void
executor_driver_operate (void *ctx, enum platform_operation kind, const struct host *host,
                         const char *plan_id, const char *to_pool, uint64_t sequence)
{
  struct executor_driver *driver = ctx;
  struct host_operation *operation = g_new0 (struct host_operation, 1);

  operation->driver = driver;
  operation->kind = kind;
  operation->sequence = sequence;
  operation->host = g_strdup (host->name);
  operation->key = g_strdup_printf ("%s/%u/%s/%s", plan_id, host->plan_step, operation_name (kind),
                                    to_pool ? to_pool : "");
  operation->expected_pool = g_strdup (host->pool->name);
  operation->to_pool = g_strdup (to_pool ? to_pool : "");
  operation->poll_end_ms = driver->fleetd->clock.now_ms + OPERATION_WAIT_MS;
  ev_init (&operation->timer, host_operation_poll);
  operation->timer.data = operation;
  LIST_INSERT_HEAD (&driver->operations, operation, link);
  host_operation_send (operation);
}

/* Runs the executor's due actions and sets the timer for its next ones. */
void
executor_driver_advance (struct executor_driver *driver)
{
  struct fleetd *fleetd = driver->fleetd;
  int64_t now_ms = fleetd->clock.now_ms;
  int64_t next_ms;

  if (!fleetd_is_ready (fleetd) || fleetd->stopping)
    return;
  next_ms = executor_tick (driver->executor, fleetd->fleet, now_ms, fleetd->clock.wall_ms);
  fleetd_set_timer (fleetd, &driver->timer, CLAMP (next_ms - now_ms, 1, MS_PER_S));
}

static void
executor_driver_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct executor_driver *driver = timer->data;

  (void) loop;
  (void) events;
  clock_update (&driver->fleetd->clock);
  executor_driver_advance (driver);
}

/* Passes the claim that was read from the log to the executor. */
void
executor_driver_claim_read (struct executor_driver *driver)
{
  struct fleetd *fleetd = driver->fleetd;
  const struct claim *claim = fleet_claim (fleetd->fleet);

  if (claim)
    executor_claim_read (driver->executor, claim, fleetd->clock.now_ms);
}

/* Returns whether this process may act as the claim holder. */
bool
executor_driver_holds_claim (const struct executor_driver *driver)
{
  return executor_holds_claim (driver->executor, driver->fleetd->clock.now_ms);
}

/* Creates the executor. Its incarnation is random, so that a restarted process never mistakes its
 * predecessor's claim for its own. */
void
executor_driver_init (struct executor_driver *driver, struct fleetd *fleetd)
{
  struct executor_ops ops = {
    .append = executor_driver_append,
    .operate = executor_driver_operate,
    .ctx = driver,
  };
  struct executor_config config = {
    .claim_ms = fleetd->settings->claim_ms,
    .drain_notice_ms = fleetd->settings->drain_notice_ms,
    .name = fleetd->settings->name,
  };

  if (getrandom (&config.incarnation, sizeof config.incarnation, 0) !=
      (ssize_t) sizeof config.incarnation)
    g_error ("getrandom failed; can't create an incarnation.");
  driver->fleetd = fleetd;
  LIST_INIT (&driver->operations);
  driver->executor = executor_create (&config, &ops);
  ev_init (&driver->timer, executor_driver_due);
  driver->timer.data = driver;
}

void
executor_driver_finish (struct executor_driver *driver)
{
  struct host_operation *operation;
  struct host_operation *next;

  ev_timer_stop (driver->fleetd->loop, &driver->timer);
  for (operation = LIST_FIRST (&driver->operations); operation; operation = next)
    {
      next = LIST_NEXT (operation, link);
      host_operation_destroy (operation);
    }
  executor_destroy (driver->executor);
}
