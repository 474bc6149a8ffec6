#ifndef SESAMEPICK_TESTS_PLANNER_FORECAST_TRIAL_H
#define SESAMEPICK_TESTS_PLANNER_FORECAST_TRIAL_H

#include "sim_month.h"

/* Compares forecasts made on several days of a simulated month with the month's actual cost. An
 * error is the sum over the pools of the absolute differences, divided by the total cost. */

enum
{
  TRIAL_DAYS_MAX = 8,
};

struct forecast_trial_day
{
  uint32_t day;
  /* Time reported so far plus today's hosts for the remaining hours. */
  double naive;
  /* The same, counting all unreported hours as used. */
  double naive_filled;
  /* The platform's own count so far, exact to the hour, plus today's hosts for the remaining hours.
   * Its error comes only from failures and moves in the rest of the month. */
  double known_past;
  double forecast;
  /* Errors of the total over all pools. */
  double total_naive;
  double total_known_past;
  double total_forecast;
  /* Number of months whose total, and number of pools whose cost, was in the forecast range. */
  uint32_t totals_in_range;
  uint32_t lines_in_range;
  uint32_t lines;
};

/* Simulates months_before months, then one month with forecasts on the given days. Adds the results
 * to the days' sums. */
void forecast_trial_run (const struct sim_layout *layout, const struct sim_rates *rates,
                         uint32_t seed, uint32_t months_before, struct forecast_trial_day *days,
                         uint32_t n_days);

#endif
