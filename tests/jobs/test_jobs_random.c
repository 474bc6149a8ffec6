#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "suite.h"
#include "world.h"

/* Random worlds: jobs of all kinds, lost and late answers, dark and reborn endpoints, changes of
 * leader, cancellations, a wave. What must never happen is counted by the world. Long runs:
 * test-jobs_random --seed N --rounds M. */

enum
{
  HOSTS = 10,
  JOBS = 30,
  ROUND_MS = 20000,
  SETTLE_MS = 25000,
  STEP_MS = 200,
  PERCENT = 100,
};

static guint32 first_seed = 1;
static unsigned rounds = 6;

/* Hands in a job of random steps. */
static void
submit_random (struct world *world, unsigned number)
{
  GRand *random = world->random;
  Sp__JobStep steps[3];
  uint32_t before[3] = { 0, 1, 2 };
  size_t n_steps = (size_t) g_rand_int_range (random, 1, 4);
  bool lasting = g_rand_int_range (random, 0, PERCENT) < 15;
  g_autofree char *id = g_strdup_printf ("job%u", number);

  if (lasting)
    n_steps = 1;
  for (size_t i = 0; i < n_steps; i++)
    {
      sp__job_step__init (&steps[i]);
      steps[i].n_tasks = (uint32_t) g_rand_int_range (random, 1, 6);
      steps[i].cpu_milli = (uint32_t) g_rand_int_range (random, 200, 3000);
      steps[i].memory_mb = (uint32_t) g_rand_int_range (random, 100, 20000);
      steps[i].estimate_ms = 1000;
      steps[i].long_running = lasting;
      steps[i].spread_limit = lasting ? 2 : 0;
      steps[i].away_limit = lasting ? 1 : 0;
      steps[i].checkpointing = g_rand_boolean (random);
      steps[i].n_prerequisites = i > 0;
      steps[i].prerequisites = i > 0 ? &before[i - 1] : NULL;
    }
  world_submit (world, id, g_rand_boolean (random) ? "one" : "two", steps, n_steps, 4);
}

/* Does something to the world. */
static void
disturb (struct world *world)
{
  GRand *random = world->random;
  struct world_endpoint *endpoint = g_ptr_array_index (
      world->endpoints, g_rand_int_range (random, 0, (gint32) world->endpoints->len));

  switch (g_rand_int_range (random, 0, 40))
    {
    case 0:
      if (endpoint->up)
        endpoint->dark = true;
      break;
    case 1:
      if (endpoint->up && !endpoint->dark)
        world_crash (world, endpoint, true);
      break;
    case 2:
      world_lead (world);
      break;
    case 4:
      world_lead_again (world);
      break;
    case 3:
      world->store_away = !world->store_away;
      break;
    default:
      break;
    }
  for (guint i = 0; i < world->endpoints->len; i++)
    {
      struct world_endpoint *other = g_ptr_array_index (world->endpoints, i);

      if (other->dark && g_rand_int_range (random, 0, PERCENT) < 5)
        other->dark = false;
    }
}

/* Ends all troubles and lets the rest finish. */
static void
settle (struct world *world)
{
  world->store_away = false;
  world->lost_permille = 0;
  world->late_permille = 0;
  world->fail_permille = 0;
  for (guint i = 0; i < world->endpoints->len; i++)
    ((struct world_endpoint *) g_ptr_array_index (world->endpoints, i))->dark = false;
  world_run (world, SETTLE_MS);
}

/* Plays one world. */
static void
play (guint32 seed)
{
  struct world *world = world_create (seed);
  unsigned submitted = 0;

  world_add_pool (world, "spare", true);
  world_add_hosts (world, "one", HOSTS / 2);
  world_add_hosts (world, "two", HOSTS / 2);
  world_add_hosts (world, "spare", 2);
  world->lost_permille = 30;
  world->late_permille = seed % 2 == 0 ? 10 : 0;
  world->fail_permille = 30;
  world_lead (world);
  world_run (world, 200);
  for (int64_t spent_ms = 0; spent_ms < ROUND_MS; spent_ms += STEP_MS)
    {
      if (submitted < JOBS && g_rand_int_range (world->random, 0, PERCENT) < 40)
        submit_random (world, submitted++);
      if (submitted > 4 && g_rand_int_range (world->random, 0, PERCENT) < 3)
        {
          g_autofree char *id =
              g_strdup_printf ("job%d", g_rand_int_range (world->random, 0, (gint32) submitted));

          world_cancel (world, id);
        }
      disturb (world);
      world_run (world, STEP_MS);
    }
  settle (world);
  if (world_violations (world) > 0)
    printf ("seed %u: doubled %u after-done %u room %u spread %u order %u attempts %u away %u wave "
            "%u\n",
            seed, world->doubled, world->started_after_done, world->over_room, world->over_spread,
            world->out_of_order, world->over_attempts, world->over_away_limit,
            world->over_wave_limit);
  CU_ASSERT_EQUAL (world_violations (world), 0);
  for (unsigned i = 0; i < submitted; i++)
    {
      g_autofree char *id = g_strdup_printf ("job%u", i);
      const struct job *job = job_book_find (world->book, id);
      bool lasting = job->definition->steps[0]->long_running;

      if (!lasting && !job_state_is_final (job->state))
        printf ("seed %u: %s is left as %s\n", seed, id, job_state_name (job->state));
      CU_ASSERT (lasting || job_state_is_final (job->state));
    }
  world_destroy (world);
}

/* Plays all rounds. */
static void
test_rounds (void)
{
  for (unsigned i = 0; i < rounds; i++)
    play (first_seed + i);
}

static const struct suite_test tests[] = {
  { "rounds", test_rounds },
};

int
main (int argc, char **argv)
{
  for (int i = 1; i + 1 < argc; i += 2)
    {
      if (strcmp (argv[i], "--seed") == 0)
        first_seed = (guint32) strtoul (argv[i + 1], NULL, 10);
      if (strcmp (argv[i], "--rounds") == 0)
        rounds = (unsigned) strtoul (argv[i + 1], NULL, 10);
    }
  printf ("seeds %u to %u\n", first_seed, first_seed + rounds - 1);
  return suite_run ("jobs_random", tests, sizeof tests / sizeof tests[0]);
}
