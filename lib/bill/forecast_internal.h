#ifndef SESAMEPICK_LIB_BILL_FORECAST_INTERNAL_H
#define SESAMEPICK_LIB_BILL_FORECAST_INTERNAL_H

#include "lib/bill/forecast.h"
#include "lib/bill/month.h"

/* Number of changes to the hosts of one pool and class, by kind. */
struct forecast_events
{
  uint32_t moves_in;
  uint32_t moves_out;
  uint32_t arrivals;
  uint32_t failures;
};

/* What the records say about one pool and class. */
struct forecast_line
{
  char *pool;
  char *host_class;
  uint64_t price_micros_per_hour;
  /* Hosts on the platform's list now, which are paid for. */
  uint32_t hosts;
  /* The pool's capacity target; set only on the line of the class that the pool requires. */
  uint32_t target;
  /* Host time of this month: reported, in gaps between two reports, and since the last report. */
  uint64_t reported_ms;
  uint64_t gap_ms;
  uint64_t unreported_ms;
  struct forecast_events this_month;
  /* Changes after this month; only if the bill is of an earlier month. */
  struct forecast_events after_month;
  /* Changes of all months up to and including this one. Hosts that appeared in the first month on
   * record are not counted as arrivals: they existed before and only became known then. The
   * failures of that month, first_month_failures, are therefore assumed to have been replaced. */
  struct forecast_events history;
  uint32_t first_month_failures;
  uint64_t history_reported_ms;
  uint64_t history_gap_ms;
  /* Failed hosts expected to be replaced. */
  double missing_hosts;
  /* Net number of hosts that the past trend of moves, and that of growth, would add (negative:
   * remove) in another period as long as history_ms. */
  double move_trend_hosts;
  double growth_hosts;
  /* Host time that moves of this month add or remove until its end, for completed and for planned
   * moves. */
  int64_t moved_ms;
  int64_t planned_ms;
  uint32_t moved_in;
  uint32_t moved_out;
  uint32_t planned_in;
  uint32_t planned_out;
  bool invoiced;
  uint64_t invoice_micros;
};

struct forecast_input
{
  struct month month;
  int64_t now_ms;
  uint64_t move_micros;
  /* Time for which records have been kept. */
  int64_t history_ms;
  GPtrArray *lines;
  /* True if every pool has a target. */
  bool has_targets;
  /* Over all invoiced months: host time that the invoices count, and that the reports add up to. */
  double invoiced_ms;
  double invoiced_reported_ms;
  /* Over all months: number of reports, host time they cover, and sum of their lags. */
  double reports;
  double report_ms;
  double report_lag_ms;
  /* lost_share is the paid host time beyond the reported time, as a share of the reported time:
   * reports that were lost or arrived after later ones. It is known once there is an invoice. */
  bool lost_share_known;
  double lost_share;
};

/* Estimates how long a host was present during the gaps between its reports. For the rest of a gap
 * it is assumed to have been off the platform's list. */
double forecast_gap_present_ms (const struct forecast_input *input, uint64_t reported_ms,
                                uint64_t gap_ms);
/* Returns the possible error of that estimate. */
double forecast_gap_error_ms (const struct forecast_input *input, uint64_t reported_ms,
                              uint64_t gap_ms);
void forecast_input_read (struct forecast_input *input, const struct fleet *fleet,
                          const Sp__Plan *plan, int64_t wall_ms);
void forecast_input_clear (struct forecast_input *input);

/* Rates over the whole fleet. */
struct forecast_rates
{
  /* Failures per host and millisecond. */
  double failures_per_host_ms;
  /* Mean time until a failed host is replaced. */
  double repair_ms;
  uint32_t failures;
};

/* Estimates the rates, and sets the fields of the lines that depend on them (missing_hosts,
 * move_trend_hosts, growth_hosts). */
void forecast_rates_estimate (struct forecast_rates *rates, struct forecast_input *input);

/* Estimate for one line for the rest of the month. */
struct forecast_remainder
{
  double host_ms;
  /* Variances of host_ms by cause, in square milliseconds. */
  double variance_failures;
  double variance_moves;
  double fees_micros;
  /* In square micros. */
  double variance_fees;
};

void forecast_remainder_estimate (struct forecast_remainder *rest, const struct forecast_line *line,
                                  const struct forecast_rates *rates,
                                  const struct forecast_input *input);

#endif
