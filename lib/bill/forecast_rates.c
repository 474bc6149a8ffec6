#include "forecast_internal.h"

#include <math.h>

/* Arrivals beyond failures count as growth only as far as they exceed three standard deviations of
 * what repair alone causes. */
static const double GROWTH_MIN_SIGMAS_SQUARED = 9.0;
/* Net moves into a pool count as a trend only as far as they exceed two standard deviations of a
 * random walk. */
static const double TREND_MIN_SIGMAS_SQUARED = 4.0;
/* Weight of a line without unreplaced failures. */
static const double BASE_WEIGHT = 0.1;

/* Estimates the host time during which the line's hosts were present. */
static double
forecast_line_present_ms (const struct forecast_line *line, const struct forecast_input *input)
{
  return (double) line->history_reported_ms + (double) line->unreported_ms +
         forecast_gap_present_ms (input, line->history_reported_ms, line->history_gap_ms);
}

/* Returns the part of net that exceeds chance. chance_squared is the largest value of net squared
 * that chance alone is assumed to cause. */
static double
forecast_significant_part (double net, double chance_squared)
{
  double square = net * net;

  return square > chance_squared ? net * (square - chance_squared) / square : 0.0;
}

/* Returns the number of the line's failures without a matching arrival. */
static double
forecast_line_unreplaced (const struct forecast_line *line)
{
  double failures = (double) line->history.failures - line->first_month_failures;

  return MAX (0.0, failures - (double) line->history.arrivals);
}

/* Estimates how many failed hosts of the whole fleet are still to be replaced: the number of hosts
 * by which all pools together are below their targets or, without targets, the failures without a
 * matching arrival. */
static double
forecast_total_missing (const struct forecast_input *input)
{
  double failures = 0;
  double unreplaced = 0;
  double lacking = 0;

  for (guint i = 0; i < input->lines->len; i++)
    {
      const struct forecast_line *line = g_ptr_array_index (input->lines, i);

      failures += line->history.failures;
      unreplaced += (double) line->history.failures - line->first_month_failures -
                    (double) line->history.arrivals;
      lacking += (double) line->target - line->hosts;
    }
  return CLAMP (input->has_targets ? lacking : unreplaced, 0.0, failures);
}

/* Distributes the missing hosts over the lines, mostly to those with unreplaced failures. */
static void
forecast_distribute_missing (struct forecast_input *input)
{
  double missing = forecast_total_missing (input);
  double weights = 0;

  for (guint i = 0; i < input->lines->len; i++)
    {
      struct forecast_line *line = g_ptr_array_index (input->lines, i);

      line->missing_hosts = line->hosts > 0 ? forecast_line_unreplaced (line) + BASE_WEIGHT : 0;
      weights += line->missing_hosts;
    }
  for (guint i = 0; i < input->lines->len; i++)
    {
      struct forecast_line *line = g_ptr_array_index (input->lines, i);

      line->missing_hosts *= weights > 0 ? missing / weights : 0;
    }
}

/* Estimates the failure rate and the mean repair time. The repair time is the host time missing
 * compared to a fleet without failures, divided by the number of failures (Little's law). Moves
 * between pools do not change the sum over all pools. */
static void
forecast_estimate_failures (struct forecast_rates *rates, const struct forecast_input *input)
{
  double present_ms = 0;
  double full = 0;

  for (guint i = 0; i < input->lines->len; i++)
    {
      const struct forecast_line *line = g_ptr_array_index (input->lines, i);

      present_ms += forecast_line_present_ms (line, input);
      full += line->hosts + line->missing_hosts;
      rates->failures += line->history.failures;
    }
  if (rates->failures == 0 || present_ms <= 0)
    return;
  rates->failures_per_host_ms = rates->failures / present_ms;
  rates->repair_ms = MAX (0.0, full * (double) input->history_ms - present_ms) / rates->failures;
}

/* Estimates the trends of each line. Every move into one pool leaves another, so the sums of both
 * directions must match: the larger one is scaled down. */
static void
forecast_estimate_trends (const struct forecast_rates *rates, struct forecast_input *input)
{
  double in = 0;
  double out = 0;

  for (guint i = 0; i < input->lines->len; i++)
    {
      struct forecast_line *line = g_ptr_array_index (input->lines, i);
      double events = (double) line->history.moves_in + line->history.moves_out;
      double net = (double) line->history.moves_in - line->history.moves_out;
      double grown = (double) line->history.arrivals + line->first_month_failures -
                     (double) line->history.failures;
      double under_repair = rates->failures_per_host_ms * line->hosts * rates->repair_ms;

      line->move_trend_hosts = forecast_significant_part (net, TREND_MIN_SIGMAS_SQUARED * events);
      line->growth_hosts = forecast_significant_part (MAX (0.0, grown), GROWTH_MIN_SIGMAS_SQUARED *
                                                                            (under_repair + 1));
      in += MAX (0.0, line->move_trend_hosts);
      out += MAX (0.0, -line->move_trend_hosts);
    }
  for (guint i = 0; i < input->lines->len; i++)
    {
      struct forecast_line *line = g_ptr_array_index (input->lines, i);
      double side = line->move_trend_hosts > 0 ? in : out;

      line->move_trend_hosts *= side > 0 ? MIN (in, out) / side : 0;
    }
}

void
forecast_rates_estimate (struct forecast_rates *rates, struct forecast_input *input)
{
  *rates = (struct forecast_rates){ 0 };
  forecast_distribute_missing (input);
  forecast_estimate_failures (rates, input);
  forecast_estimate_trends (rates, input);
}

/* Estimates the host time under failures: the hosts missing now are replaced over time, and new
 * failures occur. The number of missing hosts approaches its steady state exponentially, with the
 * repair time as time constant. The variance covers the number of failures, their repair times and
 * the error of the failure rate. */
static void
forecast_remainder_add_failures (struct forecast_remainder *rest, const struct forecast_line *line,
                                 const struct forecast_rates *rates, double left_ms)
{
  double missing = line->missing_hosts;
  double full = line->hosts + missing;
  double steady = rates->failures_per_host_ms * full * rates->repair_ms;
  double failures = rates->failures_per_host_ms * full * left_ms;
  double repair_ms = MIN (rates->repair_ms, left_ms);
  double faded_ms =
      rates->repair_ms > 0 ? rates->repair_ms * (1 - exp (-left_ms / rates->repair_ms)) : 0;
  double rate_error = failures * repair_ms / sqrt (MAX (1.0, rates->failures));

  rest->host_ms = full * left_ms - steady * left_ms - (missing - steady) * faded_ms;
  rest->variance_failures = 2 * failures * repair_ms * repair_ms + missing * repair_ms * repair_ms +
                            rate_error * rate_error;
}

/* Adds the expected effect of moves: the trend of past moves for those not planned yet, and the
 * planned ones. */
static void
forecast_remainder_add_moves (struct forecast_remainder *rest, const struct forecast_line *line,
                              const struct forecast_input *input, double left_ms)
{
  const struct forecast_events *history = &line->history;
  double past_ms = MAX (1.0, (double) input->history_ms);
  double events = (double) history->moves_in + history->moves_out;
  double trend = line->move_trend_hosts + line->growth_hosts;
  double fee = (double) input->move_micros;
  double expected_in = history->moves_in / past_ms * left_ms;

  rest->host_ms += trend / past_ms * left_ms * left_ms / 2;
  rest->variance_moves = events / past_ms * left_ms * left_ms * left_ms / 3;
  rest->host_ms += (double) line->planned_ms;
  rest->fees_micros = fee * MAX (expected_in, line->planned_in);
  rest->variance_fees = fee * fee * expected_in;
}

/* Estimates host time, fees and their variances for the rest of the month. */
void
forecast_remainder_estimate (struct forecast_remainder *rest, const struct forecast_line *line,
                             const struct forecast_rates *rates, const struct forecast_input *input)
{
  double left_ms = (double) (input->month.end_ms - input->now_ms);

  *rest = (struct forecast_remainder){ 0 };
  forecast_remainder_add_failures (rest, line, rates, left_ms);
  forecast_remainder_add_moves (rest, line, input, left_ms);
  rest->host_ms = MAX (0.0, rest->host_ms);
}
