#include <glib.h>

#include "job_records.h"
#include "lib/jobs/demand.h"
#include "suite.h"

/* Forecast of the resources that a pool needs when hosts requested now are ready. */

enum
{
  HORIZON_MS = 1800,
  CORE_MILLI = 1000,
};

static struct job_table all_jobs;

/* Creates a job of sequential steps, each with 6 tasks of one core that take estimate_ms. */
static struct job *
make_job (unsigned n_steps, uint32_t estimate_ms)
{
  static unsigned n_jobs;
  g_autofree char *id = g_strdup_printf ("j%u", n_jobs++);
  g_autofree Sp__JobStep *steps = g_new (Sp__JobStep, n_steps);
  g_autofree uint32_t *before = g_new (uint32_t, n_steps);
  struct job_spec spec = { .id = id, .pool = "one", .steps = steps, .n_steps = n_steps };
  g_autoptr (GBytes) record = NULL;
  struct job *job;

  for (unsigned s = 0; s < n_steps; s++)
    {
      sp__job_step__init (&steps[s]);
      steps[s].n_tasks = 6;
      steps[s].cpu_milli = CORE_MILLI;
      steps[s].estimate_ms = estimate_ms;
      steps[s].n_prerequisites = s > 0;
      steps[s].prerequisites = &before[s];
      before[s] = s > 0 ? s - 1 : 0;
    }
  record = job_record_pack_definition (&spec);
  job_table_apply_record (&all_jobs, record, 0, 0);
  job = job_table_find (&all_jobs, id);
  job_create_tasks (job);
  return job;
}

/* Later steps count as far as they begin within the horizon. */
static void
test_dependent_steps (void)
{
  struct demand demand = { 0 };
  struct job *job = make_job (3, 1200);

  demand_add_arrival (&demand, job, HORIZON_MS, 9000);
  demand_add_arrival (&demand, job, HORIZON_MS, 10000);
  /* One job per second: 1.2 s of the first step and 0.6 s of the second, 6 cores each. */
  CU_ASSERT_EQUAL (demand_forecast (&demand, 10000).cpu_milli, 10800);
}

/* Tasks that end before the horizon don't count there, tasks that depend on them do. */
static void
test_demand_at_horizon (void)
{
  struct job *job = make_job (2, 1500);

  for (unsigned i = 0; i < 6; i++)
    {
      job_task (job, 0, 0, i)->phase = TASK_RUNNING;
      job_task (job, 0, 0, i)->phase_since_ms = 9000;
    }
  CU_ASSERT_EQUAL (job_demand_at_horizon (job, 400, 10000).cpu_milli, 6 * CORE_MILLI);
  CU_ASSERT_EQUAL (job_demand_at_horizon (job, 1000, 10000).cpu_milli, 6 * CORE_MILLI);
  CU_ASSERT_EQUAL (job_demand_at_horizon (job, 2000, 10000).cpu_milli, 0);
  CU_ASSERT_EQUAL (job_current_demand (job).cpu_milli, 6 * CORE_MILLI);
}

static const struct suite_test tests[] = {
  { "dependent steps", test_dependent_steps },
  { "demand at horizon", test_demand_at_horizon },
};

int
main (void)
{
  int code;

  job_table_init (&all_jobs);
  code = suite_run ("demand", tests, sizeof tests / sizeof tests[0]);
  job_table_finish (&all_jobs);
  return code;
}
