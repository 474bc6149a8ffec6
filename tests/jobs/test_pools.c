#include <string.h>

#include "suite.h"
#include "world.h"

/* Hosts go where they are needed. */

/* Counts the hosts of a pool that serve or are on their way. */
static unsigned
count_hosts (const struct world *world, const char *pool)
{
  unsigned n = 0;

  for (unsigned i = 0; i < world->n_hosts; i++)
    n += strcmp (world->hosts[i].pool, pool) == 0;
  return n;
}

static Sp__JobStep
make_step (uint32_t n_tasks)
{
  Sp__JobStep step = SP__JOB_STEP__INIT;

  step.n_tasks = n_tasks;
  step.cpu_milli = 1000;
  step.memory_mb = 1000;
  step.estimate_ms = 3000;
  return step;
}

/* Demand turns: the busy pool gets the standby hosts and the idle ones of the other, no more than
 * it needs, and gives them back. */
static void
test_turning_demand (void)
{
  struct world *world = world_create (1);
  Sp__JobStep step = make_step (60);

  world_add_pool (world, "spare", true);
  world_add_hosts (world, "one", 4);
  world_add_hosts (world, "two", 4);
  world_add_hosts (world, "spare", 2);
  world->work_ms = 3000;
  world_lead (world);
  world_run (world, 4000);
  world_submit (world, "job", "one", &step, 1, 3);
  world_run (world, 2500);
  /* 60 cores at 85% of 10 a host: 8 hosts. */
  CU_ASSERT_EQUAL (count_hosts (world, "one"), 8);
  CU_ASSERT_EQUAL (count_hosts (world, "two"), 2);
  world_run (world, 12000);
  CU_ASSERT_EQUAL (world_state (world, "job"), SP__JOB_STATE__JOB_COMPLETED);
  CU_ASSERT_EQUAL (count_hosts (world, "one"), 2);
  CU_ASSERT (world->moves <= 30);
  CU_ASSERT_EQUAL (world_violations (world), 0);
  world_destroy (world);
}

/* A lasting task that finds no room on any one endpoint gets a host more, though there is room
 * enough in all (LOST on derwent-claims). */
static void
test_room_in_pieces (void)
{
  struct world *world = world_create (1);
  Sp__JobStep small = make_step (3);
  Sp__JobStep large = make_step (1);

  world_add_pool (world, "spare", true);
  world_add_hosts (world, "one", 3);
  world_add_hosts (world, "spare", 1);
  small.long_running = true;
  small.spread_limit = 1;
  small.memory_mb = 50000;
  large.long_running = true;
  large.memory_mb = 60000;
  world_lead (world);
  world_run (world, 100);
  world_submit (world, "small", "one", &small, 1, 3);
  world_run (world, 1000);
  world_submit (world, "large", "one", &large, 1, 3);
  world_run (world, 3000);
  CU_ASSERT_PTR_NOT_NULL (world_find_run (world, "large.0.0.0", NULL));
  CU_ASSERT_EQUAL (count_hosts (world, "one"), 4);
  world_destroy (world);
}

/* A queue's turn begins: 8 jobs a second of 6 cores for a second each, where there was nothing.
 * After 0.7 s hosts for what will run at once are on their way, though only part of it has come: 48
 * cores at 85% of 10 a host make 6 hosts. */
static void
test_hosts_ahead (void)
{
  struct world *world = world_create (1);
  Sp__JobStep step = make_step (6);

  step.estimate_ms = 1000;
  world_add_pool (world, "spare", true);
  world_add_hosts (world, "one", 2);
  world_add_hosts (world, "spare", 8);
  world_lead (world);
  world_run (world, 2500);
  for (unsigned i = 0; i < 6; i++)
    {
      g_autofree char *id = g_strdup_printf ("job%u", i);

      world_submit (world, id, "one", &step, 1, 3);
      world_run (world, 120);
    }
  CU_ASSERT (count_hosts (world, "one") >= 6);
  CU_ASSERT (count_hosts (world, "one") <= 8);
  world_run (world, 12000);
  CU_ASSERT_EQUAL (count_hosts (world, "one"), 2);
  CU_ASSERT_EQUAL (world_violations (world), 0);
  world_destroy (world);
}

/* Two pools lack hosts, the first of them for jobs that are late anyway (balapan-signup-grown,
 * trouble-2: a queue's backlog took all hosts, and the next queue's turn became late as well). What
 * can still be in time goes first. */
static void
test_timely_first (void)
{
  struct world *world = world_create (1);
  Sp__JobStep step = make_step (60);

  world_add_pool (world, "spare", true);
  world_add_hosts (world, "one", 2);
  world_add_hosts (world, "two", 2);
  world_add_hosts (world, "spare", 5);
  world->work_ms = 3000;
  world_lead (world);
  world_run (world, 100);
  world_submit (world, "late", "one", &step, 1, 3)->due_ms = 0;
  world_submit (world, "timely", "two", &step, 1, 3);
  world_run (world, 300);
  CU_ASSERT_EQUAL (count_hosts (world, "two"), 7);
  CU_ASSERT_EQUAL (count_hosts (world, "one"), 2);
  world_run (world, 20000);
  CU_ASSERT_EQUAL (world_state (world, "late"), SP__JOB_STATE__JOB_COMPLETED);
  CU_ASSERT_EQUAL (world_violations (world), 0);
  world_destroy (world);
}

/* The late jobs of one pool keep its hosts busy for a long time; as the other pool's turn comes,
 * hosts are emptied for it by letting their tasks end. */
static void
test_late_pool_yields (void)
{
  struct world *world = world_create (1);
  Sp__JobStep late = make_step (300);
  Sp__JobStep timely = make_step (40);

  world_add_pool (world, "spare", true);
  world_add_hosts (world, "one", 7);
  world_add_hosts (world, "two", 2);
  world_add_hosts (world, "spare", 1);
  late.estimate_ms = 1000;
  world->work_ms = 1000;
  world_lead (world);
  world_run (world, 100);
  world_submit (world, "late", "one", &late, 1, 3)->due_ms = 0;
  world_run (world, 400);
  world_submit (world, "timely", "two", &timely, 1, 3);
  world_run (world, 2200);
  CU_ASSERT (count_hosts (world, "two") >= 5);
  CU_ASSERT_NOT_EQUAL (world_state (world, "late"), SP__JOB_STATE__JOB_COMPLETED);
  world_run (world, 20000);
  CU_ASSERT_EQUAL (world_state (world, "late"), SP__JOB_STATE__JOB_COMPLETED);
  CU_ASSERT_EQUAL (world_state (world, "timely"), SP__JOB_STATE__JOB_COMPLETED);
  CU_ASSERT_EQUAL (world_violations (world), 0);
  world_destroy (world);
}

static const struct suite_test tests[] = {
  { "turning demand", test_turning_demand },     { "room in pieces", test_room_in_pieces },
  { "hosts ahead", test_hosts_ahead },           { "timely first", test_timely_first },
  { "late pool yields", test_late_pool_yields },
};

int
main (void)
{
  return suite_run ("pools", tests, sizeof tests / sizeof tests[0]);
}
