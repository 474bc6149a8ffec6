#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "simulation.h"
#include "suite.h"

/* Runs random simulations of what a leader infers the end of an endpoint from: registry entries
 * that expire while their endpoints run or drain, hosts that are down for a moment and return under
 * their endpoint's id, endpoints that are cut off, machine lists that arrive late, and changes of
 * leader. The simulation counts violations. For long runs: test-ends_random --seed N --rounds M
 * --late P, with P thousandths of the commands carried out seconds late. */

enum
{
  HOSTS = 8,
  JOBS = 20,
  ROUND_MS = 20000,
  SETTLE_MS = 15000,
  STEP_MS = 100,
  PERCENT = 100,
  LIST_INTERVAL_MS = 400,
  LIST_DELAY_MAX_MS = 1500,
  FLAP_MIN_MS = 200,
  FLAP_MAX_MS = 2000,
};

static guint32 first_seed = 1;
static unsigned rounds = 20;
static int late_permille;

/* A machine list that is on its way to the leader. */
struct list_in_transit
{
  struct host_entry entries[HOSTS];
  unsigned leader_generation;
  int64_t sent_ms;
  int64_t due_ms;
};

/* A simulation and the faults in progress. */
struct round
{
  struct simulation *simulation;
  struct list_in_transit list;
  bool listing;
  int64_t next_list_ms;
  /* When a host that is down returns; 0 if it is up. */
  int64_t up_ms[HOSTS];
  /* When an expired entry is back; 0 if it is there. */
  int64_t listed_ms[HOSTS];
};

static struct simulated_endpoint *
round_endpoint (const struct round *round, unsigned number)
{
  return g_ptr_array_index (round->simulation->endpoints, number);
}

/* Delivers the machine list that is due, unless it was requested by a former leader, and requests
 * the next. A list shows the hosts as they are at a time between its request and its arrival. */
static void
round_list_hosts (struct round *round)
{
  static const char *const labels[] = { "a", "r-0", NULL };
  struct simulation *simulation = round->simulation;
  struct list_in_transit *list = &round->list;

  if (round->listing && simulation->now_ms >= list->due_ms)
    {
      round->listing = false;
      if (list->leader_generation == simulation->leader_generation)
        scheduler_hosts_listed (simulation->scheduler, list->entries, HOSTS, true, list->sent_ms,
                                simulation->now_ms);
    }
  if (round->listing || simulation->now_ms < round->next_list_ms)
    return;
  round->listing = true;
  round->next_list_ms = simulation->now_ms + LIST_INTERVAL_MS;
  list->leader_generation = simulation->leader_generation;
  list->sent_ms = simulation->now_ms;
  list->due_ms =
      simulation->now_ms + (g_rand_boolean (simulation->random)
                                ? 0
                                : g_rand_int_range (simulation->random, 0, LIST_DELAY_MAX_MS));
  for (unsigned i = 0; i < HOSTS; i++)
    {
      const struct simulated_host *host = &simulation->hosts[i];

      list->entries[i] = (struct host_entry){
        .id = host->id,
        .pool = host->pool,
        .state = host->state,
        .endpoint = host->state == HOST_UP ? round_endpoint (round, i)->id : NULL,
        .labels = labels,
        .capacity = { .cpu_milli = 10000, .memory_mb = 100000 },
      };
    }
}

/* Ends the faults whose time is over, or all of them. */
static void
round_end_faults (struct round *round, bool all)
{
  struct simulation *simulation = round->simulation;

  for (unsigned i = 0; i < HOSTS; i++)
    {
      struct simulated_endpoint *endpoint = round_endpoint (round, i);

      if (round->up_ms[i] > 0 && (all || simulation->now_ms >= round->up_ms[i]))
        {
          round->up_ms[i] = 0;
          simulation->hosts[i].state = HOST_UP;
          simulation_crash_endpoint (simulation, endpoint, true);
          endpoint->draining = false;
        }
      if (round->listed_ms[i] > 0 && (all || simulation->now_ms >= round->listed_ms[i]))
        {
          round->listed_ms[i] = 0;
          endpoint->listed = true;
        }
      if (all || g_rand_int_range (simulation->random, 0, PERCENT) < 5)
        endpoint->unreachable = false;
      if (all)
        endpoint->draining = false;
    }
}

/* Lets an endpoint's registry entry expire for a while. */
static void
round_expire_entry (struct round *round, unsigned number)
{
  struct simulation *simulation = round->simulation;

  round_endpoint (round, number)->listed = false;
  round->listed_ms[number] =
      simulation->now_ms + g_rand_int_range (simulation->random, FLAP_MIN_MS, 2 * FLAP_MAX_MS);
}

/* Causes a random fault, or none. */
static void
round_cause_fault (struct round *round)
{
  struct simulation *simulation = round->simulation;
  unsigned number = (unsigned) g_rand_int_range (simulation->random, 0, HOSTS);
  struct simulated_endpoint *endpoint = round_endpoint (round, number);

  switch (g_rand_int_range (simulation->random, 0, 40))
    {
    case 0:
    case 1:
      endpoint->unreachable = true;
      break;
    case 2:
      endpoint->draining = true;
      break;
    case 3:
    case 4:
      round_expire_entry (round, number);
      break;
    case 5:
      for (unsigned i = 0; i < HOSTS; i++)
        round_expire_entry (round, i);
      break;
    case 6:
    case 7:
      simulation_crash_endpoint (simulation, endpoint, false);
      simulation->hosts[number].state = HOST_DOWN;
      round->up_ms[number] =
          simulation->now_ms + g_rand_int_range (simulation->random, FLAP_MIN_MS, FLAP_MAX_MS);
      break;
    case 8:
      simulation_start_new_leader (simulation);
      break;
    default:
      break;
    }
}

/* Submits a job of one step. */
static void
round_submit_job (struct round *round, unsigned number)
{
  GRand *random = round->simulation->random;
  Sp__JobStep step = SP__JOB_STEP__INIT;
  g_autofree char *id = g_strdup_printf ("job%u", number);

  step.n_tasks = (uint32_t) g_rand_int_range (random, 1, 6);
  step.cpu_milli = (uint32_t) g_rand_int_range (random, 200, 2000);
  step.memory_mb = 1000;
  step.estimate_ms = 3000;
  step.long_running = g_rand_int_range (random, 0, PERCENT) < 30;
  simulation_submit (round->simulation, id, "pool", &step, 1, 0);
}

/* Runs one simulation. */
static void
run_simulation (guint32 seed)
{
  struct round round = { .simulation = simulation_create (seed) };
  struct simulation *simulation = round.simulation;
  unsigned submitted = 0;

  simulation_add_hosts (simulation, "pool", HOSTS);
  simulation->work_ms = 3000;
  simulation->lost_permille = 30;
  simulation->late_permille = late_permille;
  simulation->machine_list_unreadable = true;
  simulation_start_new_leader (simulation);
  for (int64_t elapsed_ms = 0; elapsed_ms < ROUND_MS; elapsed_ms += STEP_MS)
    {
      if (submitted < JOBS && g_rand_int_range (simulation->random, 0, PERCENT) < 20)
        round_submit_job (&round, submitted++);
      round_cause_fault (&round);
      round_end_faults (&round, false);
      round_list_hosts (&round);
      simulation_run (simulation, STEP_MS);
    }
  round_end_faults (&round, true);
  simulation->lost_permille = 0;
  simulation->late_permille = 0;
  for (int64_t elapsed_ms = 0; elapsed_ms < SETTLE_MS; elapsed_ms += STEP_MS)
    {
      round_list_hosts (&round);
      simulation_run (simulation, STEP_MS);
    }
  if (simulation_violations (simulation) > 0)
    printf ("seed %u: duplicate-starts %u after-done %u over-capacity %u\n", seed,
            simulation->duplicate_starts, simulation->started_after_done,
            simulation->over_capacity);
  CU_ASSERT_EQUAL (simulation_violations (simulation), 0);
  for (unsigned i = 0; i < submitted; i++)
    {
      g_autofree char *id = g_strdup_printf ("job%u", i);
      const struct job *job = job_table_find (simulation->all_jobs, id);
      bool long_running =
          !job_state_is_final (job->state) && job->definition->steps[0]->long_running;

      if (!long_running && !job_state_is_final (job->state))
        printf ("seed %u: %s was not finished: state %s\n", seed, id, job_state_name (job->state));
      CU_ASSERT (long_running || job_state_is_final (job->state));
    }
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
      if (strcmp (argv[i], "--late") == 0)
        late_permille = atoi (argv[i + 1]);
    }
  printf ("seeds %u to %u\n", first_seed, first_seed + rounds - 1);
  return suite_run ("ends_random", tests, sizeof tests / sizeof tests[0]);
}
