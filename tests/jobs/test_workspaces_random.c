#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "suite.h"
#include "simulation.h"

/* Runs random simulations of workspaces with caps: caps that are raised and lowered, workspaces
 * that are removed and come back, jobs that are cancelled or fail, changes of leader, unreachable
 * and restarted endpoints, lost and late responses. The simulation counts starts that bring what a
 * workspace has running too far above its cap. For long runs: test-workspaces_random --seed N
 * --rounds M. */

enum
{
  HOSTS = 6,
  WORKSPACES = 3,
  ROUND_MS = 12000,
  SETTLE_MS = 60000,
  LONG_WORK_MS = 4000,
  STEP_MS = 200,
  PERCENT = 100,
};

static const char *const names[WORKSPACES] = { "a", "b", "c" };
static guint32 first_seed = 1;
static unsigned rounds = 400;

/* Returns true with a probability in percent. */
static bool
chance (struct simulation *simulation, int percent)
{
  return g_rand_int_range (simulation->random, 0, PERCENT) < percent;
}

/* Changes a workspace's cap, or removes the workspace. */
static void
change_cap (struct simulation *simulation, const char *name)
{
  struct resources cap = { .cpu_milli = g_rand_int_range (simulation->random, 3000, 15000),
                           .memory_mb = g_rand_int_range (simulation->random, 20000, 90000) };

  /* Without any workspace nothing is limited, and before its first version none is. */
  bool removed = simulation->scheduler && simulation->workspaces->workspaces->len > 1 &&
                 chance (simulation, 20);

  simulation_set_workspace (simulation, name, removed ? NULL : &cap);
}

/* Submits a job of a random workspace with up to three steps, one of which may be a gang. */
static void
submit_random_job (struct simulation *simulation, unsigned number)
{
  GRand *random = simulation->random;
  g_autofree char *id = g_strdup_printf ("job%u", number);
  uint32_t before[3] = { 0, 1, 2 };
  size_t n_steps = (size_t) g_rand_int_range (random, 1, 4);
  Sp__JobStep steps[3];

  for (size_t i = 0; i < n_steps; i++)
    {
      steps[i] = simulation_job_step ((uint32_t) g_rand_int_range (random, 1, 7));
      steps[i].cpu_milli = (uint32_t) g_rand_int_range (random, 300, 2500);
      steps[i].memory_mb = (uint32_t) g_rand_int_range (random, 100, 15000);
      steps[i].gang = steps[i].n_tasks <= 2 && chance (simulation, 20);
      steps[i].n_prerequisites = i > 0;
      steps[i].prerequisites = i > 0 ? &before[i - 1] : NULL;
    }
  simulation->workspace = names[g_rand_int_range (random, 0, WORKSPACES)];
  simulation_submit (simulation, id, chance (simulation, 50) ? "one" : "two", steps, n_steps, 3);
}

/* Causes a random fault, or none. */
static void
inject_random_fault (struct simulation *simulation)
{
  GRand *random = simulation->random;
  struct simulated_endpoint *endpoint = g_ptr_array_index (
      simulation->endpoints, g_rand_int_range (random, 0, (gint32) simulation->endpoints->len));

  switch (g_rand_int_range (random, 0, 30))
    {
    case 0:
    case 1:
      endpoint->unreachable = endpoint->up;
      break;
    case 2:
      if (endpoint->up)
        simulation_crash_endpoint (simulation, endpoint, true);
      break;
    case 3:
      simulation_start_new_leader (simulation);
      break;
    case 4:
      simulation_restart_leader (simulation);
      break;
    case 5:
      simulation->store_down = !simulation->store_down;
      break;
    case 6:
    case 7:
    case 8:
      change_cap (simulation, names[g_rand_int_range (random, 0, WORKSPACES)]);
      break;
    default:
      break;
    }
  for (guint i = 0; i < simulation->endpoints->len; i++)
    {
      struct simulated_endpoint *other = g_ptr_array_index (simulation->endpoints, i);

      if (other->unreachable && chance (simulation, 8))
        other->unreachable = false;
    }
}

/* Ends all faults, raises the caps, and checks that every job ends. */
static void
heal_and_finish (struct simulation *simulation, guint32 seed, unsigned submitted)
{
  const struct resources cap = { .cpu_milli = 30000, .memory_mb = 300000 };

  for (unsigned i = 0; i < WORKSPACES; i++)
    simulation_set_workspace (simulation, names[i], &cap);
  simulation->store_down = false;
  simulation->lost_permille = 0;
  simulation->late_permille = 0;
  simulation->fail_permille = 0;
  for (guint i = 0; i < simulation->endpoints->len; i++)
    ((struct simulated_endpoint *) g_ptr_array_index (simulation->endpoints, i))->unreachable =
        false;
  simulation_run (simulation, SETTLE_MS);
  for (unsigned i = 0; i < submitted; i++)
    {
      g_autofree char *id = g_strdup_printf ("job%u", i);

      if (!job_state_is_final (simulation_job_state (simulation, id)))
        printf ("seed %u: %s was not finished\n", seed, id);
      CU_ASSERT (job_state_is_final (simulation_job_state (simulation, id)));
    }
}

/* Runs one simulation. */
static void
run_simulation (guint32 seed)
{
  struct simulation *simulation = simulation_create (seed);
  unsigned submitted = 0;

  simulation_add_hosts (simulation, "one", HOSTS / 2);
  simulation_add_hosts (simulation, "two", HOSTS / 2);
  simulation->lost_permille = 30;
  simulation->late_permille = seed % 2 == 0 ? 10 : 0;
  simulation->slow_response_permille = seed % 5 == 0 ? 50 : 0;
  simulation->fail_permille = 30;
  simulation->work_ms = seed % 3 == 0 ? LONG_WORK_MS : 1000;
  for (unsigned i = 0; i < WORKSPACES; i++)
    change_cap (simulation, names[i]);
  simulation_start_new_leader (simulation);
  for (int64_t elapsed_ms = 0; elapsed_ms < ROUND_MS; elapsed_ms += STEP_MS)
    {
      if (chance (simulation, 60))
        submit_random_job (simulation, submitted++);
      if (submitted > 0 && chance (simulation, 5))
        {
          g_autofree char *id = g_strdup_printf (
              "job%d", g_rand_int_range (simulation->random, 0, (gint32) submitted));

          simulation_cancel (simulation, id);
        }
      inject_random_fault (simulation);
      simulation_run (simulation, STEP_MS);
    }
  heal_and_finish (simulation, seed, submitted);
  /* What else the simulation counts is the subject of test_jobs_random. */
  if (simulation_violations (simulation) > 0)
    printf ("seed %u: violations %u, over the cap %u\n", seed, simulation_violations (simulation),
            simulation->over_cap);
  CU_ASSERT_EQUAL (simulation->over_cap, 0);
  simulation_destroy (simulation);
}

/* Runs all rounds. */
static void
test_rounds (void)
{
  for (unsigned i = 0; i < rounds; i++)
    run_simulation (first_seed + i);
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
  return suite_run ("workspaces_random", tests, sizeof tests / sizeof tests[0]);
}
