#include <string.h>

#include "suite.h"
#include "simulation.h"

/* Tasks and gangs wait for capacity on a rack. Eight endpoints of ten cores each are on the racks
 * r-0 and r-1, and attempts off the rack of their data take three times as long. */

enum
{
  WAIT_MAX_MS = 1000,
  SETTLED_MS = 2000,
};

/* Creates a cluster in which a job keeps the rack r-0 busy for busy_ms. */
static struct simulation *
create_cluster (double far_factor, int64_t busy_ms)
{
  struct simulation *simulation = simulation_create (1);
  Sp__JobStep step = simulation_job_step (4);

  simulation_add_hosts (simulation, "one", 8);
  simulation->far_factor = far_factor;
  simulation->locality_wait_max_ms = WAIT_MAX_MS;
  simulation->estimates_hold = true;
  simulation_start_new_leader (simulation);
  simulation_run (simulation, SETTLED_MS);
  step.cpu_milli = 10000;
  step.estimate_ms = (uint32_t) busy_ms;
  step.data_rack = (char *) "r-0";
  simulation_submit (simulation, "busy", "one", &step, 1, 3);
  simulation_run (simulation, 100);
  return simulation;
}

/* Submits a job of tasks of 1 s with data on the rack r-0. */
static struct job *
submit_near (struct simulation *simulation, const char *id, uint32_t n_tasks, uint32_t cpu_milli)
{
  Sp__JobStep step = simulation_job_step (n_tasks);

  step.cpu_milli = cpu_milli;
  step.data_rack = (char *) "r-0";
  return simulation_submit (simulation, id, "one", &step, 1, 3);
}

/* Returns the rack on which a task runs; "" if it doesn't. */
static const char *
rack_of (struct simulation *simulation, const char *task)
{
  const struct simulated_endpoint *endpoint = simulation_find_attempt (simulation, task, NULL);

  return endpoint ? endpoint->rack : "";
}

static struct scheduler_counts
counts_of (const struct simulation *simulation)
{
  struct scheduler_counts counts;

  scheduler_get_counts (simulation->scheduler, &counts);
  return counts;
}

/* A task waits for a rack that has capacity soon, and starts there. */
static void
test_rack_soon_free (void)
{
  struct simulation *simulation = create_cluster (3, 500);

  submit_near (simulation, "job", 1, 10000);
  simulation_run (simulation, 200);
  CU_ASSERT_STRING_EQUAL (rack_of (simulation, "job.0.0.0"), "");
  simulation_run (simulation, 400);
  CU_ASSERT_STRING_EQUAL (rack_of (simulation, "job.0.0.0"), "r-0");
  CU_ASSERT_EQUAL (counts_of (simulation).waits, 1);
  CU_ASSERT_EQUAL (counts_of (simulation).waits_won, 1);
  CU_ASSERT_EQUAL (simulation_violations (simulation), 0);
  simulation_destroy (simulation);
}

/* Nothing waits for a rack that has no capacity in time, nor if distance makes no difference. */
static void
test_no_wait (void)
{
  struct simulation *simulation = create_cluster (3, 6000);

  submit_near (simulation, "job", 1, 10000);
  simulation_run (simulation, 100);
  CU_ASSERT_STRING_EQUAL (rack_of (simulation, "job.0.0.0"), "r-1");
  CU_ASSERT_EQUAL (counts_of (simulation).waits, 0);
  simulation_destroy (simulation);
  simulation = create_cluster (1, 500);
  submit_near (simulation, "job", 1, 10000);
  simulation_run (simulation, 100);
  CU_ASSERT_STRING_EQUAL (rack_of (simulation, "job.0.0.0"), "r-1");
  CU_ASSERT_EQUAL (counts_of (simulation).waits, 0);
  simulation_destroy (simulation);
}

/* A wait ends when the rack loses its endpoints: the task starts elsewhere before the time that it
 * would have waited. */
static void
test_rack_lost (void)
{
  struct simulation *simulation = create_cluster (3, 800);

  submit_near (simulation, "job", 1, 10000);
  simulation_run (simulation, 100);
  CU_ASSERT_EQUAL (counts_of (simulation).waits, 1);
  for (guint i = 0; i < simulation->endpoints->len; i++)
    {
      struct simulated_endpoint *endpoint = g_ptr_array_index (simulation->endpoints, i);

      endpoint->draining = endpoint->draining || strcmp (endpoint->rack, "r-0") == 0;
    }
  simulation_run (simulation, 400);
  CU_ASSERT_STRING_EQUAL (rack_of (simulation, "job.0.0.0"), "r-1");
  CU_ASSERT_EQUAL (counts_of (simulation).waits_lost, 1);
  simulation_destroy (simulation);
}

/* Tasks of jobs that arrive all the time don't take the capacity that is expected for a waiting
 * task that is larger. */
static void
test_small_tasks (void)
{
  struct simulation *simulation = create_cluster (3, 500);

  submit_near (simulation, "large", 1, 10000);
  simulation_run (simulation, 40);
  for (unsigned i = 0; i < 40; i++)
    {
      g_autofree char *id = g_strdup_printf ("small%u", i);

      submit_near (simulation, id, 2, 1000);
      simulation_run (simulation, 20);
    }
  CU_ASSERT_STRING_EQUAL (rack_of (simulation, "large.0.0.0"), "r-0");
  CU_ASSERT_EQUAL (simulation_violations (simulation), 0);
  simulation_destroy (simulation);
}

/* A task whose forecast is wrong starts elsewhere when its wait ends, and waits no second time. A
 * new leader in the middle, or a pause of the leader, doesn't begin the wait anew. */
static void
check_wrong_forecast (bool new_leader, int64_t pause_ms)
{
  struct simulation *simulation = create_cluster (3, 600);
  int64_t idle_ms = pause_ms;

  for (guint i = 0; i < simulation->endpoints->len; i++)
    {
      struct simulated_endpoint *endpoint = g_ptr_array_index (simulation->endpoints, i);

      for (guint k = 0; k < endpoint->attempts->len; k++)
        ((struct simulated_attempt *) g_ptr_array_index (endpoint->attempts, k))->end_ms += 9000;
    }
  submit_near (simulation, "job", 1, 10000);
  simulation_run (simulation, 200);
  CU_ASSERT_EQUAL (counts_of (simulation).waits, 1);
  if (new_leader)
    simulation_start_new_leader (simulation);
  simulation->now_ms += pause_ms;
  while (rack_of (simulation, "job.0.0.0")[0] == '\0' && idle_ms < 5000)
    {
      simulation_run (simulation, 20);
      idle_ms += 20;
    }
  CU_ASSERT_STRING_EQUAL (rack_of (simulation, "job.0.0.0"), "r-1");
  /* Up to 100 ms pass until a pass notices the end. */
  CU_ASSERT (idle_ms <= WAIT_MAX_MS - 200 + 100);
  CU_ASSERT_EQUAL (simulation_violations (simulation), 0);
  simulation_destroy (simulation);
}

static void
test_wrong_forecast (void)
{
  check_wrong_forecast (false, 0);
  check_wrong_forecast (true, 0);
  check_wrong_forecast (false, 700);
}

/* A task waits for a host that moves to its pool from the rack of its data. */
static void
test_host_on_its_way (void)
{
  struct simulation *simulation = simulation_create (1);
  Sp__JobStep step = simulation_job_step (4);

  simulation_add_pool (simulation, "spare", true);
  simulation_add_hosts (simulation, "one", 4);
  simulation_add_hosts (simulation, "spare", 4);
  simulation->far_factor = 3;
  simulation->locality_wait_max_ms = 3000;
  simulation->estimates_hold = true;
  simulation_start_new_leader (simulation);
  simulation_run (simulation, SETTLED_MS);
  step.cpu_milli = 9000;
  step.estimate_ms = 20000;
  simulation_submit (simulation, "busy", "one", &step, 1, 3);
  simulation_run (simulation, 300);
  CU_ASSERT (simulation->moves > 0);
  step = simulation_job_step (1);
  step.estimate_ms = 3000;
  step.data_rack = (char *) "r-1";
  simulation_submit (simulation, "job", "one", &step, 1, 3);
  simulation_run (simulation, 300);
  CU_ASSERT_STRING_EQUAL (rack_of (simulation, "job.0.0.0"), "");
  CU_ASSERT_EQUAL (counts_of (simulation).waits, 1);
  simulation_run (simulation, 2500);
  CU_ASSERT_STRING_EQUAL (rack_of (simulation, "job.0.0.0"), "r-1");
  CU_ASSERT_EQUAL (simulation_violations (simulation), 0);
  simulation_destroy (simulation);
}

/* Fills two endpoints of a rack. */
static void
fill_half (struct simulation *simulation, const char *id, const char *rack, uint32_t busy_ms)
{
  Sp__JobStep step = simulation_job_step (2);

  step.cpu_milli = 10000;
  step.estimate_ms = busy_ms;
  step.data_rack = (char *) rack;
  simulation_submit (simulation, id, "one", &step, 1, 3);
  simulation_run (simulation, 40);
}

/* A gang that could be spread over two racks waits for one, keeps nothing meanwhile, and runs on
 * one rack. */
static void
test_gang (void)
{
  struct simulation *simulation = create_cluster (3, 20);
  Sp__JobStep step = simulation_job_step (4);

  fill_half (simulation, "soon", "r-0", 500);
  fill_half (simulation, "long", "r-1", 9000);
  step.gang = true;
  step.same_rack = true;
  step.cpu_milli = 10000;
  simulation_submit (simulation, "gang", "one", &step, 1, 3);
  simulation_run (simulation, 100);
  CU_ASSERT_EQUAL (counts_of (simulation).waits, 1);
  step = simulation_job_step (1);
  step.data_rack = (char *) "r-0";
  step.estimate_ms = 300;
  simulation_submit (simulation, "single", "one", &step, 1, 3);
  simulation_run (simulation, 40);
  CU_ASSERT_STRING_EQUAL (rack_of (simulation, "single.0.0.0"), "r-0");
  simulation_run (simulation, 500);
  for (unsigned i = 0; i < 4; i++)
    {
      g_autofree char *name = g_strdup_printf ("gang.0.0.%u", i);

      CU_ASSERT_STRING_EQUAL (rack_of (simulation, name), "r-0");
    }
  CU_ASSERT_EQUAL (counts_of (simulation).waits_won, 1);
  CU_ASSERT_EQUAL (simulation_violations (simulation), 0);
  simulation_destroy (simulation);
}

int
main (void)
{
  static const struct suite_test tests[] = {
    { "soon free", test_rack_soon_free },
    { "no wait", test_no_wait },
    { "rack lost", test_rack_lost },
    { "small tasks", test_small_tasks },
    { "wrong forecast", test_wrong_forecast },
    { "gang", test_gang },
    { "host on its way", test_host_on_its_way },
  };

  return suite_run ("task_locality", tests, sizeof tests / sizeof tests[0]);
}
