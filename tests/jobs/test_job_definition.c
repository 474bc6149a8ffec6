#include <stdio.h>
#include <string.h>

#include "simulation.h"
#include "suite.h"

/* Definitions of jobs whose numbers are at the ends of their ranges. */

enum
{
  STEPS_MAX = 4,
};

/* A definition of up to STEPS_MAX steps. */
struct definition_case
{
  uint32_t n_tasks[STEPS_MAX];
  uint32_t n_steps;
  uint32_t repeats;
  int64_t first_ms;
  int64_t interval_ms;
  bool gang;
  bool valid;
};

static const struct definition_case cases[] = {
  { { 1 }, 1, 0, 0, 0, false, true },
  { { 10000, 10000 }, 2, 0, 0, 0, false, true },
  { { 10000, 10001 }, 2, 0, 0, 0, false, false },
  { { 1 }, 1, 20000, 0, 0, false, true },
  { { 1 }, 1, 20001, 0, 0, false, false },
  { { 1, 0 }, 2, 0, 0, 0, false, false },
  /* 2^33 tasks, 2^31 times: the product is 0 in 64 bits. */
  { { 1U << 31, 1U << 31, 1U << 31, 1U << 31 }, 4, 1U << 31, 0, 0, false, false },
  /* Sums that are small in 32 bits. */
  { { 1U << 31, 1U << 31 }, 2, 0, 0, 0, false, false },
  { { UINT32_MAX, 1 }, 2, 1U << 31, 0, 0, false, false },
  { { UINT32_MAX, 2 }, 2, 0, 0, 0, false, false },
  /* The last occurrence is due at the end of 64 bits, or would be later. */
  { { 1 }, 1, 3, INT64_MAX - 2000, 1000, false, true },
  { { 1 }, 1, 3, INT64_MAX - 1999, 1000, false, false },
  { { 1 }, 1, 3, 0, INT64_MAX, false, false },
  { { 1 }, 1, 3, INT64_MIN, -1, false, false },
  /* Without repetitions the times have no meaning. */
  { { 1 }, 1, 0, INT64_MAX, INT64_MAX, false, true },
  { { 256 }, 1, 0, 0, 0, true, true },
  { { 257 }, 1, 0, 0, 0, true, false },
};

/* Fills in the steps of a case and returns what defines its job. */
static struct job_spec
case_spec (const struct definition_case *numbers, const char *id, Sp__JobStep steps[STEPS_MAX])
{
  for (size_t i = 0; i < STEPS_MAX; i++)
    {
      steps[i] = simulation_job_step (numbers->n_tasks[i]);
      steps[i].gang = numbers->gang;
    }
  return (struct job_spec){ .id = id,
                            .pool = "pool",
                            .steps = steps,
                            .n_steps = numbers->n_steps,
                            .repeats = numbers->repeats,
                            .first_ms = numbers->first_ms,
                            .interval_ms = numbers->interval_ms,
                            .max_attempts = 3,
                            .epoch = 1 };
}

/* Guards against a number of tasks that passes 64 bits and looks small: the job was accepted. */
static void
test_validity (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      Sp__JobStep steps[STEPS_MAX];
      struct job_spec spec = case_spec (&cases[i], "job", steps);
      Sp__JobStep *list[] = { &steps[0], &steps[1], &steps[2], &steps[3] };
      Sp__JobDefinition definition = SP__JOB_DEFINITION__INIT;
      const char *error;

      definition.n_steps = spec.n_steps;
      definition.steps = list;
      definition.repeats = spec.repeats;
      definition.first_ms = spec.first_ms;
      definition.interval_ms = spec.interval_ms;
      if (job_definition_is_valid (&definition, &error) != cases[i].valid)
        {
          printf ("case %zu: %s\n", i, error ? error : "valid");
          CU_FAIL ("validity");
        }
      CU_ASSERT_EQUAL (error == NULL, cases[i].valid);
    }
}

/* Returns the state that the journal gives for a job, as another host reads it. */
static Sp__JobState
journal_state (const struct simulation *simulation, const char *id)
{
  struct job_table all_jobs;
  Sp__JobState state;

  job_table_init (&all_jobs);
  for (guint i = 0; i < simulation->journal->len; i++)
    job_table_apply_record (&all_jobs, g_ptr_array_index (simulation->journal, i), i, 0);
  state = job_table_find (&all_jobs, id)->state;
  job_table_finish (&all_jobs);
  return state;
}

/* Guards against a stored definition that ends each leader with a signal, one after the other: it
 * was accepted before it was refused. Its job fails, and others are served. */
static void
test_stored_job_that_cannot_run (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct simulation *simulation = simulation_create (1);
      Sp__JobStep steps[STEPS_MAX];
      Sp__JobStep step = simulation_job_step (2);
      struct job_spec spec = case_spec (&cases[i], "invalid", steps);

      if (cases[i].valid)
        continue;
      simulation_add_hosts (simulation, "pool", 2);
      simulation_start_new_leader (simulation);
      simulation_submit_spec (simulation, &spec);
      simulation_submit (simulation, "other", "pool", &step, 1, 3);
      simulation_start_new_leader (simulation);
      simulation_run (simulation, 8000);
      CU_ASSERT_EQUAL (journal_state (simulation, "invalid"), SP__JOB_STATE__JOB_FAILED);
      CU_ASSERT_EQUAL (journal_state (simulation, "other"), SP__JOB_STATE__JOB_COMPLETED);
      CU_ASSERT_EQUAL (simulation_violations (simulation), 0);
      simulation_destroy (simulation);
    }
}

/* Returns a number from the ends of 32 bits and of the limits, mostly a small one. */
static uint32_t
random_number (GRand *random)
{
  static const uint32_t extremes[] = { 0,     255,   256,      257,        19999,
                                       20000, 20001, 1U << 31, UINT32_MAX, UINT32_MAX - 1 };

  if (g_rand_boolean (random))
    return (uint32_t) g_rand_int_range (random, 0, 9);
  return extremes[g_rand_int_range (random, 0, G_N_ELEMENTS (extremes))];
}

/* Returns a time from the ends of 64 bits, or a usual one. */
static int64_t
random_time (GRand *random)
{
  static const int64_t times[] = { INT64_MIN, -1, 0, 1, 1000, INT64_MAX / 2, INT64_MAX };

  return times[g_rand_int_range (random, 0, G_N_ELEMENTS (times))];
}

/* Fills in the steps of a random definition and returns what defines its job. */
static struct job_spec
random_spec (GRand *random, Sp__JobStep steps[STEPS_MAX])
{
  for (size_t i = 0; i < STEPS_MAX; i++)
    {
      steps[i] = simulation_job_step (random_number (random));
      steps[i].cpu_milli = random_number (random);
      steps[i].memory_mb = random_number (random);
      steps[i].gpus = random_number (random);
      steps[i].estimate_ms = random_number (random);
      steps[i].spread_limit = random_number (random);
      steps[i].away_limit = random_number (random);
      steps[i].target_ms = random_number (random);
      steps[i].gang = g_rand_boolean (random);
    }
  return (struct job_spec){ .id = "random",
                            .pool = "pool",
                            .steps = steps,
                            .n_steps = (size_t) g_rand_int_range (random, 0, STEPS_MAX + 1),
                            .repeats = random_number (random),
                            .first_ms = random_time (random),
                            .interval_ms = random_time (random),
                            .max_attempts = random_number (random),
                            .slack_permille = random_number (random),
                            .target_ms = random_number (random),
                            .epoch = 1 };
}

/* Checks that no number of an accepted definition has wrapped. */
static void
check_accepted (const struct job *job, const struct job_spec *spec)
{
  unsigned __int128 n_tasks = 0;
  int64_t objective_ms = job_definition_objective_ms (job->definition, INT64_MAX);

  for (size_t i = 0; i < spec->n_steps; i++)
    n_tasks += spec->steps[i].n_tasks;
  n_tasks *= MAX (spec->repeats, 1);
  CU_ASSERT (n_tasks > 0 && n_tasks <= JOB_TASKS_MAX && n_tasks == job->n_tasks);
  for (uint32_t k = 0; k < spec->repeats; k++)
    CU_ASSERT (spec->first_ms + (__int128) spec->interval_ms * k ==
               job_definition_due_ms (job->definition, k));
  CU_ASSERT (objective_ms >= 0 && objective_ms < INT64_MAX / 2);
}

/* Whatever the numbers of a stored definition are, a leader goes on: its job has all its tasks, or
 * fails. The sanitizers of the unit tests check the sums of the scheduler. */
static void
test_random_definitions (void)
{
  enum
  {
    SEED = 47,
    ROUNDS = 1500,
    LEADER_MS = 120,
  };
  g_autoptr (GRand) random = g_rand_new_with_seed (SEED);
  unsigned n_accepted = 0;

  for (unsigned i = 0; i < ROUNDS; i++)
    {
      struct simulation *simulation = simulation_create (i);
      Sp__JobStep steps[STEPS_MAX];
      struct job_spec spec = random_spec (random, steps);
      struct job *job;

      simulation->load_rules = g_rand_boolean (random);
      simulation_add_hosts (simulation, "pool", 2);
      simulation_start_new_leader (simulation);
      simulation_run (simulation, LEADER_MS);
      job = simulation_submit_spec (simulation, &spec);
      CU_ASSERT_EQUAL (job->n_tasks > 0, !job->definition_error);
      n_accepted += !job->definition_error;
      if (!job->definition_error)
        check_accepted (job, &spec);
      simulation_run (simulation, LEADER_MS);
      simulation_start_new_leader (simulation);
      simulation_run (simulation, LEADER_MS);
      simulation_destroy (simulation);
    }
  CU_ASSERT (n_accepted > ROUNDS / 20 && n_accepted < ROUNDS);
}

static const struct suite_test tests[] = {
  { "validity", test_validity },
  { "stored job that can't run", test_stored_job_that_cannot_run },
  { "random definitions", test_random_definitions },
};

int
main (void)
{
  return suite_run ("job definition", tests, sizeof tests / sizeof tests[0]);
}
