#include "operators.h"

#include <inttypes.h>
#include <string.h>

#include "common/message_text.h"
#include "lib/bill/forecast.h"
#include "lib/fleet/task.h"

static const char *
host_state_name (enum host_state state)
{
  switch (state)
    {
    case HOST_SERVING:
      return "serving";
    case HOST_LEAVING:
      return "leaving";
    case HOST_DRAINED:
      return "drained";
    case HOST_LEFT:
      return "left";
    case HOST_REBOOTED:
      return "rebooted";
    default:
      return "returning";
    }
}

static const char *
presence_name (Sp__HostPresence presence)
{
  if (presence == SP__HOST_PRESENCE__HOST_PRESENCE_LEAVING)
    return "leaving";
  if (presence == SP__HOST_PRESENCE__HOST_PRESENCE_GONE)
    return "gone";
  return "live";
}

static const char *
plan_state_name (enum plan_state state)
{
  switch (state)
    {
    case PLAN_PROPOSED:
      return "proposed";
    case PLAN_CONFIRMED:
      return "confirmed";
    case PLAN_WITHDRAWN:
      return "withdrawn";
    default:
      return "done";
    }
}

static const char *
step_outcome_name (enum step_outcome outcome)
{
  switch (outcome)
    {
    case STEP_OPEN:
      return "open";
    case STEP_DONE:
      return "done";
    case STEP_ABANDONED:
      return "abandoned";
    case STEP_GONE:
      return "gone";
    default:
      return "withdrawn";
    }
}

static const char *
verdict_name (enum verdict_kind kind)
{
  if (kind == VERDICT_ACCEPTED)
    return "accepted";
  return kind == VERDICT_DUPLICATE ? "duplicate" : "rejected";
}

static const char *
string_or_empty (const char *text)
{
  return text ? text : "";
}

static json_t *
view_host (const struct host *host)
{
  return json_pack ("{s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:i, s:s, s:I}", "name",
                    host->name, "host_class", string_or_empty (host->host_class), "pool",
                    host->pool->name, "state", host_state_name (host->state), "presence",
                    presence_name (host->presence), "rack", string_or_empty (host->rack),
                    "data_centre", string_or_empty (host->data_centre), "region",
                    string_or_empty (host->region), "address", string_or_empty (host->address),
                    "port", (int) host->port, "plan", host->plan ? host->plan->message->id : "",
                    "maintained_ms", (json_int_t) host->maintained_ms);
}

/* Returns a pool with the number of its hosts in each state. */
static json_t *
view_pool (const struct pool *pool)
{
  json_int_t counts[HOST_RETURNING + 1] = { 0 };
  const struct host *host;

  LIST_FOREACH (host, &pool->hosts, pool_link)
    counts[host->state]++;
  return json_pack ("{s:s, s:s, s:I, s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "name", pool->name,
                    "host_class", string_or_empty (pool->host_class), "capacity_target",
                    (json_int_t) pool->capacity_target, "spare_pool",
                    string_or_empty (pool->spare_pool), "hosts", (json_int_t) pool->n_hosts,
                    "serving", (json_int_t) pool->n_serving, "leaving", counts[HOST_LEAVING],
                    "drained", counts[HOST_DRAINED], "left", counts[HOST_LEFT], "rebooted",
                    counts[HOST_REBOOTED], "returning", counts[HOST_RETURNING]);
}

/* Returns the minimum number of serving hosts that a service's availability budget requires,
 * rounded up. */
static json_int_t
service_min_serving (const struct service *service)
{
  uint64_t permille = (uint64_t) service->pool->capacity_target * service->availability_permille;

  return (json_int_t) ((permille + 999) / 1000);
}

/* Returns a service with its availability budget. */
static json_t *
view_service (const struct service *service)
{
  bool nightly = service->traffic_class == SP__TRAFFIC_CLASS__TRAFFIC_CLASS_NIGHTLY;

  return json_pack ("{s:s, s:s, s:s, s:I, s:I, s:I, s:I, s:I, s:I}", "name", service->name, "pool",
                    service->pool->name, "traffic_class", nightly ? "nightly" : "interactive",
                    "deadline_ms", (json_int_t) service->deadline_ms, "availability_permille",
                    (json_int_t) service->availability_permille, "slots_per_worker",
                    (json_int_t) service->slots_per_worker, "connections_per_worker",
                    (json_int_t) service->connections_per_worker, "serving",
                    (json_int_t) service->pool->n_serving, "serving_needed",
                    service_min_serving (service));
}

/* Returns the claim that allows its holder to execute plans, or JSON null if nobody holds it. */
static json_t *
view_claim (const struct fleetd *fleetd)
{
  const struct claim *claim = fleet_claim (fleetd->fleet);

  if (!claim || !claim->holder || claim->holder[0] == '\0')
    return json_null ();
  return json_pack ("{s:s, s:I, s:I, s:b}", "holder", claim->holder, "term",
                    (json_int_t) claim->term, "duration_ms", (json_int_t) claim->duration_ms,
                    "held_here", executor_driver_holds_claim (&fleetd->executor_driver));
}

/* Returns an overview of the whole state. */
json_t *
view_status (const struct fleetd *fleetd)
{
  char digest[17];
  json_t *pools = json_array ();
  json_t *services = json_array ();
  json_t *hosts = json_array ();
  const struct pool *pool;
  const struct service *service;
  const struct host *host;

  g_snprintf (digest, sizeof digest, "%016" PRIx64, fleet_digest (fleetd->fleet));
  LIST_FOREACH (pool, fleet_pools (fleetd->fleet), link)
    json_array_append_new (pools, view_pool (pool));
  LIST_FOREACH (service, fleet_services (fleetd->fleet), link)
    json_array_append_new (services, view_service (service));
  LIST_FOREACH (host, fleet_hosts (fleetd->fleet), link)
    json_array_append_new (hosts, view_host (host));
  return json_pack (
      "{s:s, s:b, s:I, s:I, s:s, s:s, s:o, s:o, s:o, s:o}", "name", fleetd->settings->name, "ready",
      fleetd_is_ready (fleetd), "offset", (json_int_t) fleet_offset (fleetd->fleet),
      "routes_offset", (json_int_t) fleetd->feed.routes_offset, "log",
      log_reader_can_reach_log (&fleetd->reader) ? "reachable" : "unreachable", "digest", digest,
      "claim", view_claim (fleetd), "pools", pools, "services", services, "hosts", hosts);
}

/* Returns a plan with its state and the outcomes of its steps. */
json_t *
view_plan (const struct plan *plan)
{
  json_t *json = message_to_json (&plan->message->base);
  json_t *steps = json_object_get (json, "steps");
  json_int_t n_done = 0;

  for (size_t i = 0; i < plan->message->n_steps; i++)
    {
      json_t *step = json_array_get (steps, i);

      n_done += plan->outcomes[i] == STEP_DONE;
      json_object_set_new (step, "done", json_boolean (plan->outcomes[i] == STEP_DONE));
      json_object_set_new (step, "outcome", json_string (step_outcome_name (plan->outcomes[i])));
    }
  json_object_set_new (json, "state", json_string (plan_state_name (plan->state)));
  json_object_set_new (json, "author", json_string (string_or_empty (plan->author)));
  json_object_set_new (json, "confirmed_by", json_string (string_or_empty (plan->confirmed_by)));
  json_object_set_new (json, "confirmed_ms", json_integer (plan->confirmed_ms));
  json_object_set_new (json, "based_on", json_integer ((json_int_t) plan->based_on));
  json_object_set_new (json, "steps_done", json_integer (n_done));
  json_object_set_new (json, "stopping", json_boolean (plan->stopping));
  return json;
}

/* Orders plans by the offset of their last change, newest first. */
static int
plan_compare_newest_first (gconstpointer a, gconstpointer b)
{
  const struct plan *const *left = a;
  const struct plan *const *right = b;

  if ((*left)->changed.offset == (*right)->changed.offset)
    return strcmp ((*left)->message->id, (*right)->message->id);
  return (*left)->changed.offset > (*right)->changed.offset ? -1 : 1;
}

/* Returns all plans that the state still holds. */
json_t *
view_plans (const struct fleetd *fleetd)
{
  g_autoptr (GPtrArray) plans = g_ptr_array_new ();
  json_t *list = json_array ();
  struct plan *plan;

  LIST_FOREACH (plan, fleet_plans (fleetd->fleet), link)
    g_ptr_array_add (plans, plan);
  g_ptr_array_sort (plans, plan_compare_newest_first);
  for (guint i = 0; i < plans->len; i++)
    json_array_append_new (list, view_plan (plans->pdata[i]));
  return json_pack ("{s:o}", "plans", list);
}

static json_t *
view_bill_line (const struct bill_line *line)
{
  return json_pack (
      "{s:s, s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "pool", line->pool,
      "host_class", line->host_class, "actual_micros", (json_int_t) line->actual_micros,
      "unreported_micros", (json_int_t) line->unreported_micros, "forecast_low_micros",
      (json_int_t) line->forecast_low_micros, "forecast_micros", (json_int_t) line->forecast_micros,
      "forecast_high_micros", (json_int_t) line->forecast_high_micros, "invoice_micros",
      (json_int_t) line->invoice_micros, "start_micros", (json_int_t) line->start_micros,
      "caused_by_moves_micros", (json_int_t) line->caused_by_moves_micros,
      "caused_by_failures_micros", (json_int_t) line->caused_by_failures_micros,
      "caused_by_late_usage_micros", (json_int_t) line->caused_by_late_usage_micros);
}

/* Returns a time within a month: now if month is NULL or the current month, else the month's last
 * millisecond. Returns -1 if month is not of the form YYYY-MM. */
static int64_t
month_reference_time (const char *month, int64_t wall_ms)
{
  g_autoptr (GDateTime) begin = NULL;
  g_autoptr (GDateTime) end = NULL;
  char present[8];
  int year;
  int number;

  usage_month_name (wall_ms, present);
  if (!month || strcmp (month, present) == 0)
    return wall_ms;
  if (strlen (month) != 7 || sscanf (month, "%4d-%2d", &year, &number) != 2)
    return -1;
  begin = g_date_time_new_utc (year, number, 1, 0, 0, 0.);
  end = begin ? g_date_time_add_months (begin, 1) : NULL;
  return end ? g_date_time_to_unix (end) * MS_PER_S - 1 : -1;
}

/* Returns the bill of a month. */
json_t *
view_bill (const struct fleetd *fleetd, const char *month)
{
  int64_t time_ms = month_reference_time (month, fleetd->clock.wall_ms);
  json_t *lines;
  struct bill *bill;
  const struct bill_line *line;
  json_t *json;

  if (time_ms < 0)
    return NULL;
  bill = bill_create (fleetd->fleet, time_ms);
  lines = json_array ();
  STAILQ_FOREACH (line, &bill->lines, link)
    json_array_append_new (lines, view_bill_line (line));
  json = json_pack (
      "{s:s, s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:o}", "month", bill->month, "currency",
      string_or_empty (fleet_prices (fleetd->fleet)->currency), "actual_micros",
      (json_int_t) bill->actual_micros, "unreported_micros", (json_int_t) bill->unreported_micros,
      "forecast_low_micros", (json_int_t) bill->forecast_low_micros, "forecast_micros",
      (json_int_t) bill->forecast_micros, "forecast_high_micros",
      (json_int_t) bill->forecast_high_micros, "invoice_micros", (json_int_t) bill->invoice_micros,
      "start_micros", (json_int_t) bill->start_micros, "lines", lines);
  bill_destroy (bill);
  return json;
}

static json_t *
view_audit_entry (const struct audit_entry *entry)
{
  return json_pack ("{s:I, s:I, s:s, s:s, s:s, s:s}", "offset", (json_int_t) entry->offset,
                    "time_ms", (json_int_t) entry->time_ms, "author",
                    string_or_empty (entry->author), "what", string_or_empty (entry->what),
                    "verdict", verdict_name (entry->verdict.kind), "reason", entry->verdict.reason);
}

/* Returns the newest entries of the audit trail, newest first. */
json_t *
view_audit (const struct fleetd *fleetd, size_t limit)
{
  const struct audit_entry *entry;
  json_t *entries = json_array ();

  STAILQ_FOREACH (entry, fleet_audit (fleetd->fleet), link)
    {
      json_array_insert_new (entries, 0, view_audit_entry (entry));
      if (json_array_size (entries) > limit)
        json_array_remove (entries, limit);
    }
  return json_pack ("{s:o}", "entries", entries);
}

/* Returns the verdict of one record that this process has read from the log. */
json_t *
view_record (const struct fleetd *fleetd, const char *id)
{
  const struct applied_record *known = record_table_find (&fleetd->records, id);

  if (!known)
    return NULL;
  return json_pack ("{s:s, s:I, s:s, s:s}", "record", id, "offset", (json_int_t) known->offset,
                    "verdict", verdict_name (known->verdict.kind), "reason", known->verdict.reason);
}

static json_t *
view_task (const struct task *task)
{
  static const char *const states[] = { "queued", "leased", "finished", "failed", "cancelled" };

  return json_pack ("{s:s, s:s, s:s, s:s, s:I, s:b, s:s, s:I, s:I, s:I, s:s}", "task", task->name,
                    "team", string_or_empty (task->team), "pool", string_or_empty (task->pool),
                    "state", states[task->state], "slots", (json_int_t) task->slots, "urgent",
                    task->urgent, "host", string_or_empty (task->host), "lease_term",
                    (json_int_t) task->lease_term, "submitted_ms", (json_int_t) task->submitted_ms,
                    "progress_permille", (json_int_t) task->progress_permille, "reason",
                    string_or_empty (task->reason));
}

/* Returns all batch tasks that the state still holds, queued and leased ones first. */
json_t *
view_tasks (const struct fleetd *fleetd)
{
  json_t *tasks = json_array ();

  for (int state = TASK_QUEUED; state <= TASK_CANCELLED; state++)
    {
      for (int urgent = state == TASK_QUEUED; urgent >= 0; urgent--)
        {
          const struct task_list *list =
              fleet_tasks (fleetd->fleet, (enum task_state) state, urgent);
          const struct task *task;

          TAILQ_FOREACH (task, list, link)
            json_array_append_new (tasks, view_task (task));
        }
    }
  return json_pack ("{s:o}", "tasks", tasks);
}
