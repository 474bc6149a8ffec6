#include <stdio.h>

#include "forecast_trial.h"
#include "suite.h"

/* Checks the stated target of the forecast on every tested day of the month. See test_forecast.c
 * for the weaker requirement early in the month. */

enum
{
  FIRST_SEED = 101,
  SEEDS = 20,
  MONTHS_BEFORE = 2,
};

static const struct sim_layout LAYOUT = {
  .n_pools = 5,
  .pool_hosts = 10,
  .spare_hosts = 20,
  .permille = 300,
  .price_micros_per_hour = 1800000,
  .move_micros = 500000,
  .discount_permille = 50,
  .weights = { 600, 250, 150 },
};

static const struct sim_rates ORDINARY = {
  .failures_permille = 10,
  .repair_hours = 36,
  .moves = 3,
  .lag_hours = 6,
  .late_permille = 20,
  .lost_permille = 10,
};

/* The error of the month's total must be at most a third of the error of the naive forecast:
 * today's hosts times the remaining hours. */
static void
test_target (void)
{
  struct forecast_trial_day days[] = { { .day = 1 }, { .day = 8 }, { .day = 15 }, { .day = 25 } };
  uint32_t n_days = sizeof days / sizeof days[0];

  for (uint32_t seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++)
    forecast_trial_run (&LAYOUT, &ORDINARY, seed, MONTHS_BEFORE, days, n_days);
  for (uint32_t i = 0; i < n_days; i++)
    {
      printf ("    day %2u: %.2f of the naive error\n", days[i].day,
              days[i].total_forecast / days[i].total_naive);
      CU_ASSERT (days[i].total_forecast <= days[i].total_naive / 3);
    }
}

int
main (void)
{
  static const struct suite_test tests[] = { { "a third of the naive error", test_target } };

  return suite_run ("forecast_target", tests, sizeof tests / sizeof tests[0]);
}
