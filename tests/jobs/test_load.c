#include "simulation.h"
#include "suite.h"

/* Learned durations, the order by prospect and forecasts in the scheduler. */

/* Creates a simulation of two hosts, that is of room for 20 tasks, with a leader. */
static struct simulation *
create_pool (void)
{
  struct simulation *simulation = simulation_create (1);

  simulation->load_rules = true;
  simulation->work_ms = 300;
  simulation_add_hosts (simulation, "one", 2);
  simulation_start_new_leader (simulation);
  simulation_run (simulation, 100);
  return simulation;
}

/* Submits a job of tasks with an estimate of a second each. */
static struct job *
submit (struct simulation *simulation, unsigned number, uint32_t n_tasks)
{
  Sp__JobStep step = simulation_job_step (n_tasks);
  g_autofree char *id = g_strdup_printf ("job%u", number);

  return simulation_submit (simulation, id, "one", &step, 1, 3);
}

/* The leader learns how long tasks take from those that end, and expects this of the next job. A
 * new leader knows only the estimates. */
static void
test_learning (void)
{
  struct simulation *simulation = create_pool ();

  CU_ASSERT_EQUAL (job_critical_path_ms (submit (simulation, 0, 10), 0), 1000);
  for (unsigned i = 1; i < 10; i++)
    {
      simulation_run (simulation, 500);
      submit (simulation, i, 10);
    }
  simulation_run (simulation, 2000);
  CU_ASSERT (job_critical_path_ms (submit (simulation, 10, 1), 0) < 600);
  simulation_run (simulation, 2000);
  simulation_start_new_leader (simulation);
  simulation_run (simulation, 6000);
  CU_ASSERT_EQUAL (job_critical_path_ms (submit (simulation, 11, 1), 0), 1000);
  CU_ASSERT_EQUAL (simulation_violations (simulation), 0);
  simulation_destroy (simulation);
}

/* Returns the forecast wait of the pool that the leader tells the hosts, or -1 if it tells none. */
static int64_t
told_wait_ms (const struct simulation *simulation, int64_t *error_ms)
{
  g_autoptr (GArray) entries = g_array_new (FALSE, FALSE, sizeof (struct admission_pool_entry));
  g_autoptr (GArray) lines = g_array_new (FALSE, FALSE, sizeof (struct admission_queue_line));
  const struct admission_pool_entry *entry;

  if (!scheduler_list_outlook (simulation->scheduler, entries, lines))
    return -1;
  entry = &g_array_index (entries, struct admission_pool_entry, 0);
  *error_ms = entry->entry.error_ms;
  return entry->entry.wait_ms;
}

/* While there is room nothing is told. When more arrives than there is capacity for, the wait is
 * about as long as the waiting tasks take, and its error is known after some starts. Late and
 * hopeless jobs are completed in the end. */
static void
test_forecast (void)
{
  struct simulation *simulation = create_pool ();
  int64_t error_ms = 0;
  int64_t wait_ms;
  unsigned number = 0;

  for (; number < 10; number++)
    {
      submit (simulation, number, 5);
      simulation_run (simulation, 500);
    }
  CU_ASSERT_EQUAL (told_wait_ms (simulation, &error_ms), -1);
  /* 20 jobs of 20 tasks, each of which fills the pool for the time of a task. */
  for (; number < 30; number++)
    {
      struct job *job = submit (simulation, number, 20);

      /* As if the objective was far off, so that none is late. */
      job->due_ms += 60000;
      simulation_run (simulation, 50);
    }
  wait_ms = told_wait_ms (simulation, &error_ms);
  CU_ASSERT (wait_ms > 3000 && wait_ms < 12000);
  CU_ASSERT (error_ms > wait_ms);
  simulation_run (simulation, 3000);
  wait_ms = told_wait_ms (simulation, &error_ms);
  CU_ASSERT (error_ms <= wait_ms);
  for (; number < 60; number++)
    submit (simulation, number, 20)->due_ms = number % 2 == 0 ? 0 : simulation->now_ms - 100;
  simulation_run (simulation, 60000);
  for (unsigned i = 0; i < number; i++)
    {
      g_autofree char *id = g_strdup_printf ("job%u", i);

      CU_ASSERT_EQUAL (simulation_job_state (simulation, id), SP__JOB_STATE__JOB_COMPLETED);
    }
  CU_ASSERT_EQUAL (told_wait_ms (simulation, &error_ms), -1);
  CU_ASSERT_EQUAL (simulation_violations (simulation), 0);
  simulation_destroy (simulation);
}

static const struct suite_test tests[] = {
  { "learning", test_learning },
  { "forecast", test_forecast },
};

int
main (void)
{
  return suite_run ("load", tests, sizeof tests / sizeof tests[0]);
}
