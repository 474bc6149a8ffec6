#include <string.h>

#include "suite.h"
#include "world.h"

/* What the leader does with tasks: order, retries, leases, takeover. */

/* A world with one pool and its leader. */
static struct world *
world_with_pool (unsigned n_hosts)
{
  struct world *world = world_create (1);

  world_add_hosts (world, "pool", n_hosts);
  world_lead (world);
  world_run (world, 100);
  return world;
}

/* A step of tasks of one core and one GB. */
static Sp__JobStep
make_step (uint32_t n_tasks)
{
  Sp__JobStep step = SP__JOB_STEP__INIT;

  step.n_tasks = n_tasks;
  step.cpu_milli = 1000;
  step.memory_mb = 1000;
  step.estimate_ms = 1000;
  return step;
}

/* Steps run one after the other, and the job is shown as completed once all ends are durable. */
static void
test_steps_in_order (void)
{
  struct world *world = world_with_pool (2);
  Sp__JobStep steps[2] = { make_step (3), make_step (2) };
  uint32_t first = 0;

  steps[1].n_prerequisites = 1;
  steps[1].prerequisites = &first;
  world_submit (world, "job", "pool", steps, 2, 3);
  world_run (world, 700);
  CU_ASSERT_EQUAL (world->starts, 3);
  CU_ASSERT_EQUAL (world_state (world, "job"), SP__JOB_STATE__JOB_RUNNING);
  world_run (world, 1000);
  CU_ASSERT_EQUAL (world->starts, 5);
  world_run (world, 1500);
  CU_ASSERT_EQUAL (world_state (world, "job"), SP__JOB_STATE__JOB_COMPLETED);
  CU_ASSERT_EQUAL (world_violations (world), 0);
  world_destroy (world);
}

/* A task that always fails is tried as often as its queue allows, then its job has failed. */
static void
test_attempts (void)
{
  struct world *world = world_with_pool (2);
  Sp__JobStep step = make_step (1);

  world->fail_permille = 1000;
  world->work_ms = 100;
  world_submit (world, "job", "pool", &step, 1, 3);
  world_run (world, 3000);
  CU_ASSERT_EQUAL (world->starts, 3);
  CU_ASSERT_EQUAL (world_state (world, "job"), SP__JOB_STATE__JOB_FAILED);
  world_destroy (world);
}

/* All attempts of a former leader count, though each endpoint tells of its own ends by itself and
 * the one with a later attempt may come first (BUDGET on balapan-signup). */
static void
test_attempts_over_a_takeover (void)
{
  for (guint32 seed = 1; seed <= 20; seed++)
    {
      struct world *world = world_create (seed);
      Sp__JobStep step = make_step (1);

      world_add_hosts (world, "pool", 6);
      world_lead (world);
      world_run (world, 100);
      world->fail_permille = 1000;
      world->work_ms = 150;
      /* Nothing is durable, and each attempt runs on another endpoint. */
      world_submit (world, "job", "pool", &step, 1, 4);
      world->store_away = true;
      for (int i = 0; i < 4; i++)
        {
          struct world_endpoint *endpoint = NULL;

          for (int turn = 0; turn < 50 && !endpoint; turn++)
            {
              world_run (world, 20);
              endpoint = world_find_run (world, "job.0.0.0", NULL);
            }
          world_run (world, 200);
        }
      world->store_away = false;
      world_lead (world);
      world_run (world, 4000);
      CU_ASSERT (world->starts <= 4);
      CU_ASSERT_EQUAL (world->over_attempts, 0);
      CU_ASSERT_EQUAL (world_state (world, "job"), SP__JOB_STATE__JOB_FAILED);
      world_destroy (world);
    }
}

/* A process leads, learns of ends while the store is away, is replaced and leads again: what it
 * learnt before is made durable before it is acknowledged, and failures still count (BUDGET on
 * balapan-signup). */
static void
test_leading_again (void)
{
  struct world *world = world_with_pool (3);
  Sp__JobStep steps[2] = { make_step (3), make_step (3) };
  Sp__JobStep failing = make_step (1);
  uint32_t first = 0;

  steps[1].n_prerequisites = 1;
  steps[1].prerequisites = &first;
  world->work_ms = 300;
  world_submit (world, "job", "pool", steps, 2, 2);
  world->store_away = true;
  world_run (world, 500);
  world->fail_permille = 1000;
  world_submit (world, "failing", "pool", &failing, 1, 2);
  world_run (world, 4000);
  world->fail_permille = 0;
  world_lead_again (world);
  world->store_away = false;
  world_run (world, 1000);
  CU_ASSERT_EQUAL (world_state (world, "failing"), SP__JOB_STATE__JOB_FAILED);
  world_lead (world);
  world_run (world, 3000);
  CU_ASSERT_EQUAL (world->over_attempts, 0);
  CU_ASSERT_EQUAL (world->started_after_done, 0);
  CU_ASSERT (job_state_is_final (world_state (world, "job")));
  world_destroy (world);
}

/* One endpoint fails all that it starts: tasks don't return to it before they have been elsewhere,
 * so that jobs of two attempts are done, and it is left alone (an incident on derwent-claims). */
static void
test_sick_endpoint (void)
{
  struct world *world = world_with_pool (3);
  Sp__JobStep step = make_step (4);
  Sp__JobStep lasting = make_step (2);

  lasting.long_running = true;
  ((struct world_endpoint *) g_ptr_array_index (world->endpoints, 0))->sick = true;
  ((struct world_endpoint *) g_ptr_array_index (world->endpoints, 1))->sick = false;
  world_submit (world, "lasting", "pool", &lasting, 1, 2);
  for (int i = 0; i < 6; i++)
    {
      g_autofree char *id = g_strdup_printf ("job%d", i);

      world_submit (world, id, "pool", &step, 1, 2);
      world_run (world, 300);
    }
  world_run (world, 4000);
  for (int i = 0; i < 6; i++)
    {
      g_autofree char *id = g_strdup_printf ("job%d", i);

      CU_ASSERT_EQUAL (world_state (world, id), SP__JOB_STATE__JOB_COMPLETED);
    }
  CU_ASSERT (world->starts <= 6 * 4 + 2 + 12);
  CU_ASSERT_EQUAL (world_violations (world), 0);
  world_destroy (world);
}

/* A start without an answer is repeated under its number, and is not doubled elsewhere. */
static void
test_lost_answers (void)
{
  struct world *world = world_with_pool (4);
  Sp__JobStep step = make_step (20);

  world->lost_permille = 400;
  world_submit (world, "job", "pool", &step, 1, 3);
  world_run (world, 20000);
  CU_ASSERT_EQUAL (world_state (world, "job"), SP__JOB_STATE__JOB_COMPLETED);
  CU_ASSERT_EQUAL (world_violations (world), 0);
  world_destroy (world);
}

/* An endpoint that goes dark gets no further lease: what ran there starts elsewhere once the last
 * one has surely lapsed, and not before (LOST on derwent-claims). */
static void
test_dark_endpoint (void)
{
  enum
  {
    /* Longest lease, 2% slow clock, one hold on its way. */
    RESTART_MS = 3500 + 70 + 300 + 300,
  };
  struct world *world = world_with_pool (2);
  Sp__JobStep step = make_step (1);
  struct world_endpoint *dark;
  struct world_run *run;

  world->work_ms = 60000;
  world_submit (world, "job", "pool", &step, 1, 3);
  world_run (world, 1000);
  dark = world_find_run (world, "job.0.0.0", NULL);
  SUITE_REQUIRE (dark != NULL);
  dark->dark = true;
  world_run (world, RESTART_MS);
  CU_ASSERT_EQUAL (world->starts, 2);
  CU_ASSERT_EQUAL (world->doubled, 0);
  dark->dark = false;
  world_run (world, 3000);
  CU_ASSERT_PTR_NOT_EQUAL (world_find_run (world, "job.0.0.0", &run), dark);
  world_destroy (world);
}

/* A new leader takes over what runs, without starting any of it again. */
static void
test_takeover (void)
{
  struct world *world = world_with_pool (4);
  Sp__JobStep step = make_step (20);

  world->work_ms = 4000;
  world_submit (world, "job", "pool", &step, 1, 3);
  world_run (world, 1000);
  CU_ASSERT_EQUAL (world->starts, 20);
  world_run (world, 100);
  world_lead (world);
  world_run (world, 1000);
  CU_ASSERT_EQUAL (world->starts, 20);
  world_run (world, 4000);
  CU_ASSERT_EQUAL (world_state (world, "job"), SP__JOB_STATE__JOB_COMPLETED);
  CU_ASSERT_EQUAL (world_violations (world), 0);
  world_destroy (world);
}

/* After a takeover a dark endpoint holds up its own pool only, until its leases have lapsed. */
static void
test_takeover_beside_dark_endpoint (void)
{
  struct world *world = world_create (1);
  Sp__JobStep step = make_step (1);
  struct world_run *run;

  world_add_hosts (world, "one", 2);
  world_add_hosts (world, "two", 2);
  world_lead (world);
  world_run (world, 100);
  /* Accepted, and not started: the former leader might have. */
  ((struct world_endpoint *) g_ptr_array_index (world->endpoints, 0))->dark = true;
  world_submit (world, "job1", "one", &step, 1, 3);
  world_submit (world, "job2", "two", &step, 1, 3);
  world_lead (world);
  world_run (world, 1000);
  CU_ASSERT_PTR_NOT_NULL (world_find_run (world, "job2.0.0.0", &run));
  CU_ASSERT_PTR_NULL (world_find_run (world, "job1.0.0.0", &run));
  world_run (world, 4500);
  CU_ASSERT_EQUAL (world_state (world, "job1"), SP__JOB_STATE__JOB_COMPLETED);
  CU_ASSERT_EQUAL (world_violations (world), 0);
  world_destroy (world);
}

/* A former life that the registry still lists holds nothing up; one whose host is there does,
 * whether the list or the registry is read first (TWICE on derwent-claims). */
static void
test_takeover_beside_former_life (void)
{
  for (int hosted = 0; hosted <= 1; hosted++)
    {
      struct world *world = world_with_pool (2);
      Sp__JobStep step = make_step (1);
      struct world_endpoint *endpoint = g_ptr_array_index (world->endpoints, 0);

      endpoint->dark = true;
      if (!hosted)
        world->hosts[0].endpoint = -1;
      world_submit (world, "job", "pool", &step, 1, 3);
      world_lead (world);
      world_run (world, 1000);
      CU_ASSERT_EQUAL (world_find_run (world, "job.0.0.0", NULL) != NULL, !hosted);
      world_destroy (world);
    }
}

/* Nothing of a cancelled job runs on, and none of it starts again. */
static void
test_cancel (void)
{
  struct world *world = world_with_pool (2);
  Sp__JobStep step = make_step (4);

  world->work_ms = 60000;
  world_submit (world, "job", "pool", &step, 1, 3);
  world_run (world, 500);
  world_cancel (world, "job");
  world_run (world, 1000);
  CU_ASSERT_PTR_NULL (world_find_run (world, "job.0.0.0", NULL));
  CU_ASSERT_EQUAL (world->starts, 4);
  CU_ASSERT_EQUAL (world_state (world, "job"), SP__JOB_STATE__JOB_CANCELLED);
  world_destroy (world);
}

/* An endpoint's new life holds nothing of before: its tasks start again at once. */
static void
test_reborn (void)
{
  struct world *world = world_with_pool (1);
  Sp__JobStep step = make_step (2);

  world->work_ms = 3000;
  world_submit (world, "job", "pool", &step, 1, 3);
  world_run (world, 1000);
  world_crash (world, g_ptr_array_index (world->endpoints, 0), true);
  world_run (world, 1500);
  CU_ASSERT_EQUAL (world->starts, 4);
  world_run (world, 4000);
  CU_ASSERT_EQUAL (world_state (world, "job"), SP__JOB_STATE__JOB_COMPLETED);
  CU_ASSERT_EQUAL (world_violations (world), 0);
  world_destroy (world);
}

/* Lasting tasks are started again however they end, and keep their spread. */
static void
test_lasting (void)
{
  struct world *world = world_with_pool (3);
  Sp__JobStep step = make_step (3);

  step.long_running = true;
  step.spread_limit = 1;
  world_submit (world, "job", "pool", &step, 1, 2);
  world_run (world, 1000);
  CU_ASSERT_EQUAL (world->starts, 3);
  world_crash (world, g_ptr_array_index (world->endpoints, 1), true);
  world_run (world, 2500);
  CU_ASSERT_EQUAL (world->starts, 4);
  CU_ASSERT_EQUAL (world_state (world, "job"), SP__JOB_STATE__JOB_RUNNING);
  CU_ASSERT_EQUAL (world_violations (world), 0);
  world_destroy (world);
}

/* A gang starts whole or not at all, under one number. */
static void
test_gang (void)
{
  struct world *world = world_with_pool (1);
  Sp__JobStep small = make_step (4);
  Sp__JobStep large = make_step (8);

  small.gang = true;
  large.gang = true;
  world_submit (world, "small", "pool", &small, 1, 3);
  world_submit (world, "large", "pool", &large, 1, 3);
  world_run (world, 500);
  CU_ASSERT_EQUAL (world->starts, 4);
  world_run (world, 1500);
  CU_ASSERT_EQUAL (world->starts, 12);
  world_run (world, 1500);
  CU_ASSERT_EQUAL (world_state (world, "large"), SP__JOB_STATE__JOB_COMPLETED);
  CU_ASSERT_EQUAL (world_violations (world), 0);
  world_destroy (world);
}

/* While the store is away tasks go on and follow each other; nothing is shown as completed before
 * it is durable. */
static void
test_store_away (void)
{
  struct world *world = world_with_pool (2);
  Sp__JobStep steps[2] = { make_step (2), make_step (2) };
  uint32_t first = 0;

  steps[1].n_prerequisites = 1;
  steps[1].prerequisites = &first;
  world_submit (world, "job", "pool", steps, 2, 3);
  world->store_away = true;
  world_run (world, 4000);
  CU_ASSERT_EQUAL (world->starts, 4);
  CU_ASSERT_NOT_EQUAL (world_state (world, "job"), SP__JOB_STATE__JOB_COMPLETED);
  world->store_away = false;
  world_run (world, 500);
  CU_ASSERT_EQUAL (world_state (world, "job"), SP__JOB_STATE__JOB_COMPLETED);
  CU_ASSERT_EQUAL (world_violations (world), 0);
  world_destroy (world);
}

static const struct suite_test tests[] = {
  { "steps in order", test_steps_in_order },
  { "attempts", test_attempts },
  { "attempts over a takeover", test_attempts_over_a_takeover },
  { "leading again", test_leading_again },
  { "sick endpoint", test_sick_endpoint },
  { "lost answers", test_lost_answers },
  { "dark endpoint", test_dark_endpoint },
  { "takeover", test_takeover },
  { "takeover beside a dark endpoint", test_takeover_beside_dark_endpoint },
  { "takeover beside a former life", test_takeover_beside_former_life },
  { "cancel", test_cancel },
  { "reborn", test_reborn },
  { "lasting", test_lasting },
  { "gang", test_gang },
  { "store away", test_store_away },
};

int
main (void)
{
  return suite_run ("scheduler", tests, sizeof tests / sizeof tests[0]);
}
