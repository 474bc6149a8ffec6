#include "forecast_internal.h"

#include <string.h>

enum
{
  PERMILLE = 1000,
  /* A host without a report for more than this many times the mean lag is assumed to have been off
   * the list for a while. */
  UNREPORTED_LAGS_MAX = 3,
};

static const double MS_PER_HOUR = 3600.0 * 1000.0;
/* Assumed relative error of the share of lost reports, once an invoice shows it. */
static const double LOST_SHARE_RELATIVE_ERROR = 0.2;

static void
forecast_line_destroy (void *data)
{
  struct forecast_line *line = data;

  g_free (line->pool);
  g_free (line->host_class);
  g_free (line);
}

/* Returns the line of a pool and class; creates it if it doesn't exist. */
static struct forecast_line *
forecast_line_get (struct forecast_input *input, const struct fleet *fleet, const char *pool,
                   const char *host_class)
{
  const Sp__HostClass *found = fleet_find_class (fleet, host_class);
  uint64_t paid = PERMILLE - MIN (PERMILLE, fleet_prices (fleet)->discount_permille);
  struct forecast_line *line;

  for (guint i = 0; i < input->lines->len; i++)
    {
      line = g_ptr_array_index (input->lines, i);
      if (strcmp (line->pool, pool) == 0 && strcmp (line->host_class, host_class) == 0)
        return line;
    }
  line = g_new0 (struct forecast_line, 1);
  line->pool = g_strdup (pool);
  line->host_class = g_strdup (host_class);
  line->price_micros_per_hour = found ? found->price_micros_per_hour * paid / PERMILLE : 0;
  g_ptr_array_add (input->lines, line);
  return line;
}

/* Orders lines by pool, then class. */
static int
forecast_line_compare (const void *a, const void *b)
{
  const struct forecast_line *left = *(struct forecast_line *const *) a;
  const struct forecast_line *right = *(struct forecast_line *const *) b;
  int order = strcmp (left->pool, right->pool);

  return order != 0 ? order : strcmp (left->host_class, right->host_class);
}

static void
forecast_events_add (struct forecast_events *events, const struct usage_month *usage,
                     bool with_arrivals)
{
  events->moves_in += usage->moves_in;
  events->moves_out += usage->moves_out;
  events->failures += usage->failures;
  if (with_arrivals)
    events->arrivals += usage->arrivals;
}

/* Context of the iteration over monthly usage records. */
struct forecast_visit
{
  struct forecast_input *input;
  const struct fleet *fleet;
  char month[8];
  char first_month[8];
};

/* Stores the earliest month on record. */
static void
forecast_visit_first_month (const struct usage_month *usage, void *ctx)
{
  struct forecast_visit *visit = ctx;

  if (!visit->first_month[0] || strcmp (usage->month, visit->first_month) < 0)
    memcpy (visit->first_month, usage->month, sizeof visit->first_month);
}

/* Adds the month's report statistics and, if the month is invoiced, the host time that the invoice
 * counts. */
static void
forecast_read_reports (struct forecast_input *input, const struct forecast_line *line,
                       const struct usage_month *usage)
{
  double fees = (double) input->move_micros * usage->moves_in;

  input->reports += usage->reports;
  input->report_ms += (double) usage->host_ms;
  input->report_lag_ms += (double) usage->lag_sum_ms;
  if (!usage->invoiced || line->price_micros_per_hour == 0)
    return;
  input->invoiced_ms +=
      ((double) usage->invoice_micros - fees) * MS_PER_HOUR / (double) line->price_micros_per_hour;
  input->invoiced_reported_ms += (double) usage->host_ms;
}

/* Computes the share of host time that invoices count beyond the reports. */
static void
forecast_estimate_lost_share (struct forecast_input *input)
{
  double beyond_ms = input->invoiced_ms - input->invoiced_reported_ms;

  if (input->invoiced_reported_ms <= 0)
    return;
  input->lost_share_known = true;
  input->lost_share = MAX (0.0, beyond_ms / input->invoiced_reported_ms);
}

/* Until an invoice shows the share of lost reports, assumes that the host was present for half of
 * the gaps. */
double
forecast_gap_present_ms (const struct forecast_input *input, uint64_t reported_ms, uint64_t gap_ms)
{
  if (!input->lost_share_known)
    return (double) gap_ms / 2;
  return MIN ((double) gap_ms, input->lost_share * (double) reported_ms);
}

/* Without an invoice the whole estimate is uncertain; with one, a fixed share of it. */
double
forecast_gap_error_ms (const struct forecast_input *input, uint64_t reported_ms, uint64_t gap_ms)
{
  double used_ms = forecast_gap_present_ms (input, reported_ms, gap_ms);

  return input->lost_share_known ? used_ms * LOST_SHARE_RELATIVE_ERROR : used_ms;
}

/* Returns the longest time that a present host may be without a report: the mean time that a report
 * covers plus UNREPORTED_LAGS_MAX mean lags. */
static int64_t
forecast_unreported_max_ms (const struct forecast_input *input)
{
  if (input->reports <= 0)
    return INT64_MAX;
  return (int64_t) ((input->report_ms + UNREPORTED_LAGS_MAX * input->report_lag_ms) /
                    input->reports);
}

/* Adds one month's usage to its line. Arrivals in the first month on record are ignored: those
 * hosts existed before and only became known. */
static void
forecast_visit_usage (const struct usage_month *usage, void *ctx)
{
  struct forecast_visit *visit = ctx;
  struct forecast_line *line =
      forecast_line_get (visit->input, visit->fleet, usage->pool, usage->host_class);
  int order = strcmp (usage->month, visit->month);
  bool after_first_month = strcmp (usage->month, visit->first_month) != 0;

  if (order > 0)
    {
      forecast_events_add (&line->after_month, usage, after_first_month);
      return;
    }
  forecast_events_add (&line->history, usage, after_first_month);
  if (!after_first_month)
    line->first_month_failures = usage->failures;
  line->history_reported_ms += usage->host_ms;
  line->history_gap_ms += usage->gap_ms;
  forecast_read_reports (visit->input, line, usage);
  if (order < 0)
    return;
  forecast_events_add (&line->this_month, usage, after_first_month);
  line->reported_ms = usage->host_ms;
  line->gap_ms = usage->gap_ms;
  line->invoiced = usage->invoiced;
  line->invoice_micros = usage->invoice_micros;
}

/* Counts the present hosts and their unreported time. Without any report it is unknown when a host
 * arrived, so it adds no unreported time. */
static void
forecast_read_hosts (struct forecast_input *input, const struct fleet *fleet)
{
  int64_t max_unreported_ms = forecast_unreported_max_ms (input);
  const struct host *host;

  LIST_FOREACH (host, fleet_hosts (fleet), link)
    {
      struct forecast_line *line =
          forecast_line_get (input, fleet, host->pool->name, host->host_class);
      int64_t from_ms = MAX (host->usage_until_ms, input->month.start_ms);

      line->hosts++;
      if (host->usage_until_ms > 0 && from_ms < input->now_ms)
        line->unreported_ms += (uint64_t) MIN (max_unreported_ms, input->now_ms - from_ms);
    }
}

/* Stores each pool's target in the line of its class. */
static void
forecast_read_targets (struct forecast_input *input, const struct fleet *fleet)
{
  const struct pool *pool;

  input->has_targets = true;
  LIST_FOREACH (pool, fleet_pools (fleet), link)
    {
      forecast_line_get (input, fleet, pool->name, pool->host_class)->target =
          pool->capacity_target;
      input->has_targets = input->has_targets && pool->declared && pool->capacity_target > 0;
    }
}

/* Adds one move of a plan that ends at end_ms. */
static void
forecast_read_move (struct forecast_input *input, const struct fleet *fleet,
                    const Sp__PlanStep *step, int64_t end_ms, bool done)
{
  const struct host *host = fleet_find_host (fleet, step->host);
  struct forecast_line *from;
  struct forecast_line *to;
  int64_t left_ms = input->month.end_ms - end_ms;

  if (!host || left_ms <= 0 || end_ms < input->month.start_ms)
    return;
  from = forecast_line_get (input, fleet, step->from_pool, host->host_class);
  to = forecast_line_get (input, fleet, step->to_pool, host->host_class);
  if (done)
    {
      from->moved_ms -= left_ms;
      to->moved_ms += left_ms;
      from->moved_out++;
      to->moved_in++;
      return;
    }
  from->planned_ms -= left_ms;
  to->planned_ms += left_ms;
  from->planned_out++;
  to->planned_in++;
}

/* Adds the moves of a confirmed plan. If the plan was withdrawn, only its moves in progress
 * count. */
static void
forecast_read_plan (struct forecast_input *input, const struct fleet *fleet,
                    const struct plan *plan)
{
  if (plan->confirmed_ms == 0)
    return;
  for (size_t i = 0; i < plan->message->n_steps; i++)
    {
      const Sp__PlanStep *step = plan->message->steps[i];
      const struct host *host = fleet_find_host (fleet, step->host);
      int64_t end_ms = plan->confirmed_ms + (int64_t) step->end_ms;
      bool under_way = host && host->plan == plan && host->state != HOST_SERVING;

      if (step->kind != SP__STEP_KIND__STEP_KIND_MOVE)
        continue;
      if (plan->outcomes[i] == STEP_DONE)
        forecast_read_move (input, fleet, step, MIN (end_ms, input->now_ms), true);
      else if (plan->outcomes[i] == STEP_OPEN && (!plan->stopping || under_way))
        forecast_read_move (input, fleet, step, MAX (end_ms, input->now_ms), false);
    }
}

/* Adds the moves of all confirmed plans, and of the proposed plan as if it were confirmed now. */
static void
forecast_read_plans (struct forecast_input *input, const struct fleet *fleet,
                     const Sp__Plan *proposed)
{
  const struct plan *plan;

  LIST_FOREACH (plan, fleet_plans (fleet), link)
    {
      forecast_read_plan (input, fleet, plan);
    }
  for (size_t i = 0; proposed && i < proposed->n_steps; i++)
    {
      const Sp__PlanStep *step = proposed->steps[i];

      if (step->kind == SP__STEP_KIND__STEP_KIND_MOVE)
        forecast_read_move (input, fleet, step, input->now_ms + (int64_t) step->end_ms, false);
    }
}

/* Returns the start of a month given its name, such as "2026-12". */
static int64_t
forecast_month_start (const char *name)
{
  g_autofree char *text = g_strdup_printf ("%s-01T00:00:00Z", name);
  g_autoptr (GDateTime) start = g_date_time_new_from_iso8601 (text, NULL);

  return start ? g_date_time_to_unix (start) * 1000 : 0;
}

/* Reads everything that the forecast of the month that contains wall_ms needs from the fleet
 * state. */
void
forecast_input_read (struct forecast_input *input, const struct fleet *fleet, const Sp__Plan *plan,
                     int64_t wall_ms)
{
  struct forecast_visit visit = { .input = input, .fleet = fleet };

  memset (input, 0, sizeof *input);
  input->month = month_of (wall_ms);
  input->now_ms = wall_ms;
  input->move_micros = fleet_prices (fleet)->move_micros;
  input->lines = g_ptr_array_new_with_free_func (forecast_line_destroy);
  usage_month_name (wall_ms, visit.month);
  fleet_visit_usage (fleet, NULL, forecast_visit_first_month, &visit);
  fleet_visit_usage (fleet, NULL, forecast_visit_usage, &visit);
  input->history_ms = wall_ms - input->month.start_ms;
  if (visit.first_month[0] && strcmp (visit.first_month, visit.month) < 0)
    input->history_ms = wall_ms - forecast_month_start (visit.first_month);
  forecast_estimate_lost_share (input);
  forecast_read_hosts (input, fleet);
  forecast_read_targets (input, fleet);
  forecast_read_plans (input, fleet, plan);
  g_ptr_array_sort (input->lines, forecast_line_compare);
}

void
forecast_input_clear (struct forecast_input *input)
{
  g_ptr_array_unref (input->lines);
  memset (input, 0, sizeof *input);
}
