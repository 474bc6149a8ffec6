#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"
#include "suite.h"

/* Job daemons as processes, under random series of faults. Each round checks from the outside that
 * a refused job never runs, an accepted job is never lost, no task runs twice, and a cancelled job
 * does not run on. For long runs by hand: test-soak --seed N --rounds M --logs FOLDER --print 1. */

static guint32 first_seed = 1;
static unsigned rounds = 4;
static const char *logs;
static bool print;

/* Runs the round of a seed. Returns the number of violations. */
static unsigned
run_round (guint32 seed)
{
  struct soak soak = {
    .seed = seed,
    .n_hosts = SOAK_HOSTS_MIN + seed % (SOAK_HOSTS_MAX - SOAK_HOSTS_MIN + 1),
    .relays = seed % 2 == 0,
  };
  GPtrArray *clients;
  unsigned n_accepted = 0;

  g_mutex_init (&soak.mutex);
  soak.jobs = g_ptr_array_new_with_free_func (soak_job_destroy);
  soak_hosts_start (&soak);
  soak.begun_ms = test_now_ms ();
  clients = soak_clients_start (&soak);
  soak_faults_run (&soak, print);
  g_atomic_int_set (&soak.stopping, 1);
  soak_clients_join (clients);
  soak_verify (&soak);
  for (guint i = 0; i < soak.jobs->len; i++)
    n_accepted += ((struct soak_job *) g_ptr_array_index (soak.jobs, i))->accepted_ms > 0;
  printf ("seed %u: hosts %u, relays %d, jobs %u, accepted %u, crashes %u, withdrawn %u, "
          "violations %u, %d ms\n",
          seed, soak.n_hosts, soak.relays, soak.jobs->len, n_accepted, soak.n_crashes,
          soak.n_calls_withdrawn, soak.n_violations, (int) (test_now_ms () - soak.begun_ms));
  fflush (stdout);
  soak_hosts_stop (&soak, soak.n_violations > 0 ? logs : NULL);
  g_ptr_array_free (soak.jobs, TRUE);
  g_mutex_clear (&soak.mutex);
  return soak.n_violations;
}

/* No promise to a caller is broken under random faults. */
static void
test_rounds (void)
{
  for (unsigned i = 0; i < rounds; i++)
    CU_ASSERT_EQUAL (run_round (first_seed + i), 0);
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
      if (strcmp (argv[i], "--logs") == 0)
        logs = argv[i + 1];
      if (strcmp (argv[i], "--print") == 0)
        print = strcmp (argv[i + 1], "1") == 0;
    }
  printf ("seeds %u to %u\n", first_seed, first_seed + rounds - 1);
  return suite_run ("soak", tests, sizeof tests / sizeof tests[0]);
}
