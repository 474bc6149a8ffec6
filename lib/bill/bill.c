#include "forecast_internal.h"

#include <math.h>

static const double MS_PER_HOUR = 3600.0 * 1000.0;
/* About 90 % of a normal distribution lies within this many standard deviations. */
static const double RANGE_SIGMAS = 1.645;

/* Returns the price of host time of a line, in micros. */
static double
bill_cost (const struct forecast_line *line, double host_ms)
{
  return host_ms / MS_PER_HOUR * (double) line->price_micros_per_hour;
}

/* Rounds to whole micros; negative values become 0. */
static uint64_t
bill_round (double micros)
{
  return micros > 0 ? (uint64_t) llround (micros) : 0;
}

/* Returns the number of hosts at the start of the month: the hosts present now, with the changes
 * since then reverted. */
static double
bill_start_hosts (const struct forecast_line *line)
{
  const struct forecast_events *now = &line->this_month;
  const struct forecast_events *later = &line->after_month;
  double hosts = line->hosts;

  hosts -= (double) now->moves_in + now->arrivals + later->moves_in + later->arrivals;
  hosts += (double) now->moves_out + now->failures + later->moves_out + later->failures;
  return MAX (0.0, hosts);
}

/* Returns the host time that moves add or remove in this month. For moves of plans that are no
 * longer stored, only the number is known; they are assumed to have happened midway between the
 * start of the month and now. */
static double
bill_moved_ms (const struct forecast_line *line, const struct forecast_input *input)
{
  double unknown = (double) line->this_month.moves_in - line->moved_in -
                   ((double) line->this_month.moves_out - line->moved_out);
  double middle_ms = (double) (input->month.start_ms + input->now_ms) / 2;

  return (double) line->moved_ms + (double) line->planned_ms +
         unknown * ((double) input->month.end_ms - middle_ms);
}

/* Splits the difference between forecast and start by cause. The part that neither moves nor the
 * invoice explain is attributed to hosts that failed, returned or were added. */
static void
bill_line_split_causes (struct bill_line *to, const struct forecast_line *line,
                        const struct forecast_input *input, double records_micros,
                        double fees_micros)
{
  double month_ms = (double) (input->month.end_ms - input->month.start_ms);
  int64_t total;

  to->start_micros = bill_round (bill_cost (line, bill_start_hosts (line) * month_ms));
  total = (int64_t) to->forecast_micros - (int64_t) to->start_micros;
  to->caused_by_moves_micros =
      llround (bill_cost (line, bill_moved_ms (line, input)) + fees_micros);
  if (line->invoiced)
    to->caused_by_late_usage_micros =
        (int64_t) line->invoice_micros - (int64_t) bill_round (records_micros);
  to->caused_by_failures_micros =
      total - to->caused_by_moves_micros - to->caused_by_late_usage_micros;
}

/* Replaces the forecast by the invoice. */
static void
bill_line_use_invoice (struct bill_line *to, const struct forecast_line *line)
{
  to->invoice_micros = line->invoice_micros;
  to->forecast_low_micros = line->invoice_micros;
  to->forecast_micros = line->invoice_micros;
  to->forecast_high_micros = line->invoice_micros;
}

/* Uncertainty of the total. */
struct bill_uncertainty
{
  double variance;
  /* The error of the gap estimate. It has the same cause in all pools, so it adds up instead of
   * averaging out. */
  double gap_error;
};

/* Computes one line. Adds to the total's uncertainty what does not cancel out between pools; moves
 * between pools do. */
static struct bill_line *
bill_line_create (const struct forecast_line *line, const struct forecast_rates *rates,
                  const struct forecast_input *input, struct bill_uncertainty *total)
{
  struct bill_line *to = g_new0 (struct bill_line, 1);
  double price = (double) line->price_micros_per_hour / MS_PER_HOUR;
  double fees = (double) input->move_micros * line->this_month.moves_in;
  double gap_ms = forecast_gap_present_ms (input, line->reported_ms, line->gap_ms);
  double unreported = bill_cost (line, gap_ms + (double) line->unreported_ms);
  double gap_error =
      bill_cost (line, forecast_gap_error_ms (input, line->reported_ms, line->gap_ms));
  double actual = bill_cost (line, (double) line->reported_ms) + fees;
  struct forecast_remainder rest;
  double expected;
  double range;

  forecast_remainder_estimate (&rest, line, rates, input);
  expected = actual + unreported + bill_cost (line, rest.host_ms) + rest.fees_micros;
  range = RANGE_SIGMAS * sqrt (price * price * (rest.variance_failures + rest.variance_moves) +
                               rest.variance_fees) +
          gap_error;
  to->pool = g_strdup (line->pool);
  to->host_class = g_strdup (line->host_class);
  to->actual_micros = bill_round (actual);
  to->unreported_micros = bill_round (unreported);
  to->forecast_micros = bill_round (expected);
  to->forecast_low_micros = bill_round (MAX (actual, expected - range));
  to->forecast_high_micros = bill_round (expected + range);
  if (line->invoiced)
    bill_line_use_invoice (to, line);
  else
    {
      total->variance += price * price * rest.variance_failures + rest.variance_fees;
      total->gap_error += gap_error;
    }
  bill_line_split_causes (to, line, input, actual + unreported, fees + rest.fees_micros);
  return to;
}

static void
bill_add_line (struct bill *bill, struct bill_line *line)
{
  STAILQ_INSERT_TAIL (&bill->lines, line, link);
  bill->actual_micros += line->actual_micros;
  bill->unreported_micros += line->unreported_micros;
  bill->forecast_micros += line->forecast_micros;
  bill->invoice_micros += line->invoice_micros;
  bill->start_micros += line->start_micros;
}

struct bill *
bill_create_with_plan (const struct fleet *fleet, const Sp__Plan *plan, int64_t wall_ms)
{
  struct bill *bill = g_new0 (struct bill, 1);
  struct forecast_input input;
  struct forecast_rates rates;
  struct bill_uncertainty total = { 0 };
  double expected;
  double range;

  STAILQ_INIT (&bill->lines);
  usage_month_name (wall_ms, bill->month);
  forecast_input_read (&input, fleet, plan, wall_ms);
  forecast_rates_estimate (&rates, &input);
  for (guint i = 0; i < input.lines->len; i++)
    bill_add_line (bill,
                   bill_line_create (g_ptr_array_index (input.lines, i), &rates, &input, &total));
  expected = (double) bill->forecast_micros;
  range = RANGE_SIGMAS * sqrt (total.variance) + total.gap_error;
  bill->forecast_low_micros = bill_round (expected - range);
  bill->forecast_high_micros = bill_round (expected + range);
  forecast_input_clear (&input);
  return bill;
}

struct bill *
bill_create (const struct fleet *fleet, int64_t wall_ms)
{
  return bill_create_with_plan (fleet, NULL, wall_ms);
}

void
bill_destroy (struct bill *bill)
{
  struct bill_line *line;

  if (!bill)
    return;
  while ((line = STAILQ_FIRST (&bill->lines)))
    {
      STAILQ_REMOVE_HEAD (&bill->lines, link);
      g_free (line->pool);
      g_free (line->host_class);
      g_free (line);
    }
  g_free (bill);
}
