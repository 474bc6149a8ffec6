#include <glib.h>

#include "lib/host_demand/host_demand.h"
#include "suite.h"

/* Forecast of the resources that a pool needs when hosts requested now are ready. */

enum
{
  HORIZON_MS = 1800,
  CORE_MILLI = 1000,
};

/* Returns the work of a job of sequential steps, each with 6 tasks of one core that take
 * estimate_ms. */
static struct resources
make_work (unsigned n_steps, int64_t estimate_ms)
{
  g_autofree struct demand_step *steps = g_new0 (struct demand_step, n_steps);
  g_autofree uint32_t *before = g_new0 (uint32_t, n_steps);

  for (unsigned s = 0; s < n_steps; s++)
    {
      before[s] = s > 0 ? s - 1 : 0;
      steps[s] = (struct demand_step){ .n_tasks = 6,
                                       .request = { .cpu_milli = CORE_MILLI },
                                       .estimate_ms = estimate_ms,
                                       .prerequisites = &before[s],
                                       .n_prerequisites = s > 0 };
    }
  return demand_work (steps, n_steps, HORIZON_MS);
}

/* A queue's busy period begins: demand rises at once from a twentieth of the mean to five times the
 * mean. Half a second later the forecast is within a tenth of what the pool will need. */
static void
test_demand_rise (void)
{
  struct demand demand = { 0 };
  struct resources work = make_work (1, 1000);
  struct resources request;
  int64_t now_ms = 10000;

  for (unsigned i = 0; i <= 15; i++)
    {
      now_ms = 10000 + i * 1000 / 30;
      demand_add_work (&demand, &work, now_ms);
    }
  request = demand_forecast (&demand, now_ms);
  /* 30 jobs per second, each with 6 cores for a second. */
  CU_ASSERT (ABS (request.cpu_milli - 180 * CORE_MILLI) <= 18 * CORE_MILLI);
}

/* A single job, or a few that come together, give no high rate, and arrivals are forgotten after a
 * second. */
static void
test_few_arrivals (void)
{
  struct demand demand = { 0 };
  struct resources work = make_work (1, 1000);

  demand_add_work (&demand, &work, 10000);
  CU_ASSERT_EQUAL (demand_forecast (&demand, 10000).cpu_milli, 0);
  demand_add_work (&demand, &work, 10000);
  /* Two jobs arrived, one of which counts: 6 core-seconds over the minimum of 0.3 s. */
  CU_ASSERT_EQUAL (demand_forecast (&demand, 10000).cpu_milli, 20 * CORE_MILLI);
  CU_ASSERT_EQUAL (demand_forecast (&demand, 11001).cpu_milli, 0);
}

/* Later steps count as far as they begin within the horizon. */
static void
test_dependent_steps (void)
{
  struct demand demand = { 0 };
  struct resources work = make_work (3, 1200);

  demand_add_work (&demand, &work, 9000);
  demand_add_work (&demand, &work, 10000);
  /* One job per second: 1.2 s of the first step and 0.6 s of the second, 6 cores each. */
  CU_ASSERT_EQUAL (demand_forecast (&demand, 10000).cpu_milli, 10800);
}

/* With more arrivals than the ring buffer holds, the newest determine the rate. */
static void
test_arrival_overflow (void)
{
  struct demand demand = { 0 };
  struct resources work = make_work (1, 1000);

  for (unsigned i = 0; i <= 400; i++)
    demand_add_work (&demand, &work, 10000 + i * 5 / 2);
  /* 400 jobs per second, each with 6 cores for a second. */
  CU_ASSERT (ABS (demand_forecast (&demand, 11000).cpu_milli - 2400 * CORE_MILLI) <=
             120 * CORE_MILLI);
}

/* Hosts are filled to 850 thousandths, late jobs count only for the wanted number, and suspects
 * that wait don't count beside them. */
static void
test_counts (void)
{
  const struct resources size = { .cpu_milli = 4000, .memory_mb = 10000 };
  const struct host_request request = {
    .timely = { .cpu_milli = 6801 },
    .late = { .cpu_milli = 3400, .memory_mb = 8500 },
    .suspects = { .cpu_milli = 3400 },
  };
  struct host_need need = host_demand_count (&request, &size);

  CU_ASSERT_EQUAL (need.urgent, 3);
  CU_ASSERT_EQUAL (need.wanted, 4);
  CU_ASSERT_EQUAL (need.beside_suspects, 3);
}

static const struct suite_test tests[] = {
  { "demand rise", test_demand_rise },         { "no rate", test_few_arrivals },
  { "dependent steps", test_dependent_steps }, { "arrival overflow", test_arrival_overflow },
  { "counts of hosts", test_counts },
};

int
main (void)
{
  return suite_run ("host_demand", tests, sizeof tests / sizeof tests[0]);
}
