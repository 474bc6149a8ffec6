#include "suite.h"
#include "simulation.h"

/* Waves of maintenance among lasting and batch tasks. */

enum
{
  HOSTS = 8,
};

/* Asks for a wave of the first n hosts. */
static void
request_wave (struct simulation *simulation, unsigned n, uint32_t most_at_once, int64_t duration_ms)
{
  static const char *hosts[HOSTS];

  for (unsigned i = 0; i < n; i++)
    hosts[i] = simulation->hosts[i].id;
  simulation->wave = (struct wave_order){
    .wave = 1,
    .hosts = hosts,
    .n_hosts = n,
    .duration_ms = duration_ms,
    .most_at_once = most_at_once,
  };
  simulation->wave_asked = true;
  scheduler_wave_asked (simulation->scheduler, &simulation->wave, simulation->now_ms);
}

/* Counts the hosts that were maintained. */
static unsigned
count_maintained (const struct simulation *simulation)
{
  unsigned n = 0;

  for (unsigned i = 0; i < simulation->n_hosts; i++)
    n += simulation->hosts[i].maintained_in == 1;
  return n;
}

/* A lasting step. */
static Sp__JobStep
long_running_step (uint32_t n_tasks, uint32_t spread_limit, uint32_t away_limit)
{
  Sp__JobStep step = SP__JOB_STEP__INIT;

  step.n_tasks = n_tasks;
  step.cpu_milli = 2000;
  step.memory_mb = 10000;
  step.long_running = true;
  step.spread_limit = spread_limit;
  step.away_limit = away_limit;
  return step;
}

/* A wave ends in time though each host holds two tasks of a step of which one may be away, and
 * never more than the limits are away (a wave that left 5 of 22 hosts on balapan-signup). */
static void
test_long_running_tasks (void)
{
  struct simulation *simulation = simulation_create (1);
  Sp__JobStep step = long_running_step (6, 2, 1);

  simulation_add_hosts (simulation, "pool", HOSTS);
  simulation_start_new_leader (simulation);
  simulation_run (simulation, 100);
  simulation_submit (simulation, "job1", "pool", &step, 1, 3);
  simulation_submit (simulation, "job2", "pool", &step, 1, 3);
  simulation_run (simulation, 2000);
  request_wave (simulation, 4, 2, 27000);
  simulation_run (simulation, 27000);
  CU_ASSERT_EQUAL (count_maintained (simulation), 4);
  CU_ASSERT_TRUE (simulation->wave_completed);
  CU_ASSERT_EQUAL (simulation_violations (simulation), 0);
  simulation_destroy (simulation);
}

/* Tasks that were moved for a wave don't go to hosts that are still due. */
static void
test_moved_once (void)
{
  struct simulation *simulation = simulation_create (1);
  Sp__JobStep step = long_running_step (4, 1, 1);

  simulation_add_hosts (simulation, "pool", HOSTS);
  simulation_start_new_leader (simulation);
  simulation_run (simulation, 100);
  simulation_submit (simulation, "job", "pool", &step, 1, 3);
  simulation_run (simulation, 2000);
  request_wave (simulation, 4, 4, 27000);
  simulation_run (simulation, 27000);
  CU_ASSERT_TRUE (simulation->wave_completed);
  CU_ASSERT (simulation->starts <= 4 + 4);
  CU_ASSERT_EQUAL (simulation_violations (simulation), 0);
  simulation_destroy (simulation);
}

/* Hosts that stand in the standby pool are maintained there. */
static void
test_standby_hosts (void)
{
  struct simulation *simulation = simulation_create (1);

  simulation_add_pool (simulation, "spare", true);
  simulation_add_hosts (simulation, "spare", 4);
  simulation_add_hosts (simulation, "pool", 2);
  simulation_start_new_leader (simulation);
  simulation_run (simulation, 100);
  request_wave (simulation, 4, 2, 20000);
  simulation_run (simulation, 8000);
  CU_ASSERT_EQUAL (count_maintained (simulation), 4);
  CU_ASSERT_TRUE (simulation->wave_completed);
  CU_ASSERT_EQUAL (simulation_violations (simulation), 0);
  simulation_destroy (simulation);
}

/* A wave goes on under a new leader, and batch tasks give way once it falls behind. */
static void
test_takeover (void)
{
  struct simulation *simulation = simulation_create (1);
  Sp__JobStep step = SP__JOB_STEP__INIT;

  step.n_tasks = 40;
  step.cpu_milli = 2000;
  step.memory_mb = 1000;
  step.checkpointing = true;
  simulation->work_ms = 30000;
  simulation_add_hosts (simulation, "pool", HOSTS);
  simulation_start_new_leader (simulation);
  simulation_run (simulation, 100);
  simulation_submit (simulation, "job", "pool", &step, 1, 3);
  simulation_run (simulation, 1000);
  request_wave (simulation, 6, 2, 20000);
  simulation_run (simulation, 6000);
  simulation_start_new_leader (simulation);
  simulation_run (simulation, 16000);
  CU_ASSERT_EQUAL (count_maintained (simulation), 6);
  CU_ASSERT_EQUAL (simulation->over_wave_limit, 0);
  CU_ASSERT_EQUAL (simulation->duplicate_starts, 0);
  simulation_destroy (simulation);
}

/* A new leader does not take tasks for at work that its predecessor has stopped (AVAIL on
 * derwent-claims). */
static void
test_stops_by_former_leader (void)
{
  for (guint32 seed = 1; seed <= 20; seed++)
    {
      struct simulation *simulation = simulation_create (seed);
      Sp__JobStep step = long_running_step (6, 1, 1);

      simulation_add_hosts (simulation, "pool", HOSTS);
      simulation_start_new_leader (simulation);
      simulation_run (simulation, 100);
      simulation_submit (simulation, "job", "pool", &step, 1, 3);
      simulation_run (simulation, 2000);
      request_wave (simulation, 6, 6, 27000);
      simulation_run (simulation, 40 + 20 * (int64_t) (seed % 10));
      simulation_start_new_leader (simulation);
      simulation_run (simulation, 25000);
      CU_ASSERT_EQUAL (simulation->over_unavailable_limit, 0);
      CU_ASSERT_EQUAL (count_maintained (simulation), 6);
      simulation_destroy (simulation);
    }
}

static const struct suite_test tests[] = {
  { "lasting tasks", test_long_running_tasks },
  { "moved once", test_moved_once },
  { "standby hosts", test_standby_hosts },
  { "takeover", test_takeover },
  { "stops of a former leader", test_stops_by_former_leader },
};

int
main (void)
{
  return suite_run ("waves", tests, sizeof tests / sizeof tests[0]);
}
