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
struct carried
{
  LIST_ENTRY (carried) link;
  struct carrier *carrier;
  enum platform_operation operation;
  uint64_t sequence;
  char *host;
  char *key;
  char *expected_pool;
  char *to_pool;
  int64_t end_ms;
  ev_timer timer;
};

/* Submits a copy of the executor's record to the log writer. */
static void
carrier_append (void *ctx, const Sp__Record *record)
{
  struct carrier *carrier = ctx;
  struct fleetd *fleetd = carrier->fleetd;
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
  writer_submit (&fleetd->writer, copy, fleetd->settings->name, APPEND_WAIT_MS, NULL, NULL);
}

/* Returns the platform's name for an operation. */
static const char *
operation_word (enum platform_operation operation)
{
  switch (operation)
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
carried_destroy (struct carried *carried)
{
  ev_timer_stop (carried->carrier->fleetd->loop, &carried->timer);
  LIST_REMOVE (carried, link);
  g_free (carried->host);
  g_free (carried->key);
  g_free (carried->expected_pool);
  g_free (carried->to_pool);
  g_free (carried);
}

/* Reports the result of an operation to the executor. An operation that is still running is
 * reported as -EAGAIN: the executor retries it, and the platform recognizes the idempotency key. */
static void
carried_tell (struct carried *carried, int result)
{
  struct carrier *carrier = carried->carrier;

  if (result == -EINPROGRESS)
    result = -EAGAIN;
  if (result < 0 && result != -EAGAIN && result != -ETIMEDOUT)
    log_info ("executor", "The platform rejected or failed the operation %s on host %s.",
              operation_word (carried->operation), carried->host);
  executor_operation_done (carrier->executor, carried->host, carried->operation, carried->sequence,
                           result, carrier->fleetd->clock.now_ms);
  carried_destroy (carried);
  carrier_advance (carrier);
}

/* Handles the platform's response; an operation that is still running is polled again until its
 * deadline. */
static void
carried_answered (void *ctx, int result)
{
  struct carried *carried = ctx;
  struct fleetd *fleetd = carried->carrier->fleetd;

  clock_update (&fleetd->clock);
  if (result == -EINPROGRESS && fleetd->clock.now_ms < carried->end_ms)
    fleetd_set_timer (fleetd, &carried->timer, OPERATION_POLL_MS);
  else
    carried_tell (carried, result);
}

/* Requests the operation, or polls it if the platform already knows its key. */
static void
carried_ask (struct carried *carried)
{
  struct platform *platform = carried->carrier->fleetd->platform;
  struct platform_operation_request request = {
    .operation = operation_word (carried->operation),
    .host = carried->host,
    .key = carried->key,
    .expected_pool = carried->expected_pool,
    .to_pool = carried->to_pool,
    .sequence = carried->sequence,
  };

  platform->operate (platform->self, &request, carried_answered, carried);
}

/* Polls an operation, provided that this process still holds the claim. */
static void
carried_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct carried *carried = timer->data;
  struct carrier *carrier = carried->carrier;

  (void) loop;
  (void) events;
  clock_update (&carrier->fleetd->clock);
  if (carrier_holds_claim (carrier))
    carried_ask (carried);
  else
    carried_tell (carried, -EINPROGRESS);
}

/* Requests an operation from the platform. The idempotency key is derived from the plan's step, so
 * that a repetition by this or another claim holder has no further effect. */
static void
carrier_operate (void *ctx, enum platform_operation operation, const struct host *host,
                 const char *plan_id, const char *to_pool, uint64_t sequence)
{
  struct carrier *carrier = ctx;
  struct carried *carried = g_new0 (struct carried, 1);

  carried->carrier = carrier;
  carried->operation = operation;
  carried->sequence = sequence;
  carried->host = g_strdup (host->name);
  carried->key = g_strdup_printf ("%s/%u/%s/%s", plan_id, host->plan_step,
                                  operation_word (operation), to_pool ? to_pool : "");
  carried->expected_pool = g_strdup (host->pool->name);
  carried->to_pool = g_strdup (to_pool ? to_pool : "");
  carried->end_ms = carrier->fleetd->clock.now_ms + OPERATION_WAIT_MS;
  ev_init (&carried->timer, carried_due);
  carried->timer.data = carried;
  LIST_INSERT_HEAD (&carrier->carried, carried, link);
  carried_ask (carried);
}

/* Runs the executor's due actions and sets the timer for its next ones. */
void
carrier_advance (struct carrier *carrier)
{
  struct fleetd *fleetd = carrier->fleetd;
  int64_t now_ms = fleetd->clock.now_ms;
  int64_t next_ms;

  if (!fleetd_is_ready (fleetd) || fleetd->stopping)
    return;
  next_ms = executor_tick (carrier->executor, fleetd->fleet, now_ms, fleetd->clock.wall_ms);
  fleetd_set_timer (fleetd, &carrier->timer, CLAMP (next_ms - now_ms, 1, MS_PER_S));
}

static void
carrier_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct carrier *carrier = timer->data;

  (void) loop;
  (void) events;
  clock_update (&carrier->fleetd->clock);
  carrier_advance (carrier);
}

/* Passes the claim that was read from the log to the executor. */
void
carrier_claim_read (struct carrier *carrier)
{
  struct fleetd *fleetd = carrier->fleetd;
  const struct claim *claim = fleet_claim (fleetd->fleet);

  if (claim)
    executor_claim_read (carrier->executor, claim, fleetd->clock.now_ms);
}

/* Returns whether this process may act as the claim holder. */
bool
carrier_holds_claim (const struct carrier *carrier)
{
  return executor_holds_claim (carrier->executor, carrier->fleetd->clock.now_ms);
}

/* Creates the executor. Its incarnation is random, so that a restarted process never mistakes its
 * predecessor's claim for its own. */
void
carrier_init (struct carrier *carrier, struct fleetd *fleetd)
{
  struct executor_ops ops = {
    .append = carrier_append,
    .operate = carrier_operate,
    .ctx = carrier,
  };
  struct executor_config config = {
    .claim_ms = fleetd->settings->claim_ms,
    .drain_notice_ms = fleetd->settings->drain_notice_ms,
    .name = fleetd->settings->name,
  };

  if (getrandom (&config.incarnation, sizeof config.incarnation, 0) !=
      (ssize_t) sizeof config.incarnation)
    g_error ("getrandom failed; can't create an incarnation.");
  carrier->fleetd = fleetd;
  LIST_INIT (&carrier->carried);
  carrier->executor = executor_create (&config, &ops);
  ev_init (&carrier->timer, carrier_due);
  carrier->timer.data = carrier;
}

void
carrier_finish (struct carrier *carrier)
{
  struct carried *carried;
  struct carried *next;

  ev_timer_stop (carrier->fleetd->loop, &carrier->timer);
  for (carried = LIST_FIRST (&carrier->carried); carried; carried = next)
    {
      next = LIST_NEXT (carried, link);
      carried_destroy (carried);
    }
  executor_destroy (carrier->executor);
}
