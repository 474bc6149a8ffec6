#include "suite.h"
#include "world.h"

/* Waves of maintenance among lasting and batch tasks. */

enum
{
  HOSTS = 8,
};

/* Asks for a wave of the first n hosts. */
static void
ask_wave (struct world *world, unsigned n, uint32_t most_at_once, int64_t duration_ms)
{
  static const char *hosts[HOSTS];

  for (unsigned i = 0; i < n; i++)
    hosts[i] = world->hosts[i].id;
  world->wave = (struct wave_order){
    .wave = 1,
    .hosts = hosts,
    .n_hosts = n,
    .duration_ms = duration_ms,
    .most_at_once = most_at_once,
  };
  world->wave_asked = true;
  scheduler_wave_asked (world->scheduler, &world->wave, world->now_ms);
}

/* Counts the hosts that were maintained. */
static unsigned
count_maintained (const struct world *world)
{
  unsigned n = 0;

  for (unsigned i = 0; i < world->n_hosts; i++)
    n += world->hosts[i].maintained_in == 1;
  return n;
}

/* A lasting step. */
static Sp__JobStep
lasting_step (uint32_t n_tasks, uint32_t spread_limit, uint32_t away_limit)
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
test_lasting_tasks (void)
{
  struct world *world = world_create (1);
  Sp__JobStep step = lasting_step (6, 2, 1);

  world_add_hosts (world, "pool", HOSTS);
  world_lead (world);
  world_run (world, 100);
  world_submit (world, "job1", "pool", &step, 1, 3);
  world_submit (world, "job2", "pool", &step, 1, 3);
  world_run (world, 2000);
  ask_wave (world, 4, 2, 27000);
  world_run (world, 27000);
  CU_ASSERT_EQUAL (count_maintained (world), 4);
  CU_ASSERT_TRUE (world->wave_completed);
  CU_ASSERT_EQUAL (world_violations (world), 0);
  world_destroy (world);
}

/* Tasks that were moved for a wave don't go to hosts that are still due. */
static void
test_moved_once (void)
{
  struct world *world = world_create (1);
  Sp__JobStep step = lasting_step (4, 1, 1);

  world_add_hosts (world, "pool", HOSTS);
  world_lead (world);
  world_run (world, 100);
  world_submit (world, "job", "pool", &step, 1, 3);
  world_run (world, 2000);
  ask_wave (world, 4, 4, 27000);
  world_run (world, 27000);
  CU_ASSERT_TRUE (world->wave_completed);
  CU_ASSERT (world->starts <= 4 + 4);
  CU_ASSERT_EQUAL (world_violations (world), 0);
  world_destroy (world);
}

/* Hosts that stand in the standby pool are maintained there. */
static void
test_standby_hosts (void)
{
  struct world *world = world_create (1);

  world_add_pool (world, "spare", true);
  world_add_hosts (world, "spare", 4);
  world_add_hosts (world, "pool", 2);
  world_lead (world);
  world_run (world, 100);
  ask_wave (world, 4, 2, 20000);
  world_run (world, 8000);
  CU_ASSERT_EQUAL (count_maintained (world), 4);
  CU_ASSERT_TRUE (world->wave_completed);
  CU_ASSERT_EQUAL (world_violations (world), 0);
  world_destroy (world);
}

/* A wave goes on under a new leader, and batch tasks give way once it falls behind. */
static void
test_takeover (void)
{
  struct world *world = world_create (1);
  Sp__JobStep step = SP__JOB_STEP__INIT;

  step.n_tasks = 40;
  step.cpu_milli = 2000;
  step.memory_mb = 1000;
  step.checkpointing = true;
  world->work_ms = 30000;
  world_add_hosts (world, "pool", HOSTS);
  world_lead (world);
  world_run (world, 100);
  world_submit (world, "job", "pool", &step, 1, 3);
  world_run (world, 1000);
  ask_wave (world, 6, 2, 20000);
  world_run (world, 6000);
  world_lead (world);
  world_run (world, 16000);
  CU_ASSERT_EQUAL (count_maintained (world), 6);
  CU_ASSERT_EQUAL (world->over_wave_limit, 0);
  CU_ASSERT_EQUAL (world->doubled, 0);
  world_destroy (world);
}

/* A new leader does not take tasks for at work that its predecessor has stopped (AVAIL on
 * derwent-claims). */
static void
test_stops_of_a_former_leader (void)
{
  for (guint32 seed = 1; seed <= 20; seed++)
    {
      struct world *world = world_create (seed);
      Sp__JobStep step = lasting_step (6, 1, 1);

      world_add_hosts (world, "pool", HOSTS);
      world_lead (world);
      world_run (world, 100);
      world_submit (world, "job", "pool", &step, 1, 3);
      world_run (world, 2000);
      ask_wave (world, 6, 6, 27000);
      world_run (world, 40 + 20 * (int64_t) (seed % 10));
      world_lead (world);
      world_run (world, 25000);
      CU_ASSERT_EQUAL (world->over_away_limit, 0);
      CU_ASSERT_EQUAL (count_maintained (world), 6);
      world_destroy (world);
    }
}

static const struct suite_test tests[] = {
  { "lasting tasks", test_lasting_tasks },
  { "moved once", test_moved_once },
  { "standby hosts", test_standby_hosts },
  { "takeover", test_takeover },
  { "stops of a former leader", test_stops_of_a_former_leader },
};

int
main (void)
{
  return suite_run ("waves", tests, sizeof tests / sizeof tests[0]);
}
