#include <stdio.h>

#include "forecast_trial.h"

/* Compares the forecast of the month's bill with the naive one, which multiplies today's hosts by
 * the remaining hours. The columns "filled" and "known" are naive_filled and known_past of struct
 * forecast_trial_day; "ratio" is the forecast's error divided by the naive one. */

enum
{
  N_SEEDS = 40,
  MONTHS_BEFORE = 2,
};

/* One simulated platform and its rates of failures, moves, and late and lost reports. */
struct scene
{
  const char *name;
  struct sim_rates rates;
};

/* Returns the mean over all seeds of a sum of relative errors, in percent. */
static double
percent (double sum)
{
  return sum / N_SEEDS * 100;
}

/* Runs the simulation of one scene with all seeds and prints its rows. */
static void
run_scene (const struct sim_layout *layout, const struct scene *scene)
{
  struct forecast_trial_day days[] = { { .day = 1 },  { .day = 3 },  { .day = 8 },
                                       { .day = 15 }, { .day = 22 }, { .day = 27 } };
  uint32_t n_days = sizeof days / sizeof days[0];

  for (uint32_t seed = 1; seed <= N_SEEDS; seed++)
    forecast_trial_run (layout, &scene->rates, seed, MONTHS_BEFORE, days, n_days);
  for (uint32_t i = 0; i < n_days; i++)
    printf ("bill %-8s %3u %7.3f %7.3f %7.3f %7.3f %7.2f %9.3f %7.3f %7.3f %7.2f %9.0f %6.0f\n",
            scene->name, days[i].day, percent (days[i].total_naive),
            percent (days[i].total_known_past), percent (days[i].total_forecast),
            days[i].total_forecast / days[i].total_naive, percent (days[i].naive_filled),
            percent (days[i].naive), percent (days[i].known_past), percent (days[i].forecast),
            days[i].forecast / days[i].naive, 100.0 * days[i].totals_in_range / N_SEEDS,
            100.0 * days[i].lines_in_range / days[i].lines);
}

int
main (void)
{
  static const struct sim_layout layout = {
    .n_pools = 5,
    .pool_hosts = 10,
    .spare_hosts = 20,
    .permille = 300,
    .price_micros_per_hour = 1800000,
    .move_micros = 500000,
    .discount_permille = 50,
    .weights = { 600, 250, 150 },
  };
  static const struct scene scenes[] = {
    /* Rates in the order of struct sim_rates: failures, repair, moves, trend moves, lag, late and
     * lost reports. */
    { "ordinary", { 10, 36, 3, 0, 6, 20, 10 } }, { "lagging", { 10, 36, 3, 0, 24, 50, 30 } },
    { "failing", { 50, 36, 3, 0, 6, 20, 10 } },  { "moving", { 10, 36, 15, 2, 6, 20, 10 } },
    { "quiet", { 0, 36, 0, 0, 6, 0, 0 } },
  };

  printf ("# errors in %% of the bill, means over seeds 1 to %d, after %d months on record\n",
          N_SEEDS, MONTHS_BEFORE);
  printf ("#             of the total:                    sum over pools:                          "
          "        %% in range:\n");
  printf ("#    scene day   naive   known forecast ratio  filled     naive   known forecast ratio  "
          "  total  pools\n");
  for (size_t i = 0; i < sizeof scenes / sizeof scenes[0]; i++)
    run_scene (&layout, &scenes[i]);
  return 0;
}
