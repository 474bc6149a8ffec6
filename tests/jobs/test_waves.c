#include <stdio.h>

#include "suite.h"
#include "simulation.h"

/* Maintenance waves on hosts with long-running and batch tasks. */

enum
{
  HOSTS = 8,
};

/* Requests a wave of the first n hosts. */
static void
request_wave (struct simulation *simulation, unsigned n, uint32_t max_unavailable,
              int64_t duration_ms)
{
  static const char *hosts[HOSTS];

  for (unsigned i = 0; i < n; i++)
    hosts[i] = simulation->hosts[i].id;
  simulation->wave = (struct wave_request){
    .wave = 1,
    .hosts = hosts,
    .n_hosts = n,
    .duration_ms = duration_ms,
    .max_unavailable = max_unavailable,
  };
  simulation->wave_requested = true;
  scheduler_wave_requested (simulation->scheduler, &simulation->wave, simulation->now_ms);
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

/* Creates a long-running step. */
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

/* A wave completes in time, and no limit is exceeded, though each host runs two tasks of a step of
 * which only one may be unavailable. A wave once left 5 of 22 hosts unmaintained in this case. */
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

/* The platform says that a host is not in the wave for which it was drained. The host then runs
 * tasks again; it once stayed empty, as no wave would ever release it. */
static void
test_host_not_in_wave (void)
{
  struct simulation *simulation = simulation_create (1);
  Sp__JobStep step = long_running_step (4, 0, 0);

  simulation_add_hosts (simulation, "pool", 1);
  simulation->hosts[0].in_no_wave = true;
  simulation_start_new_leader (simulation);
  simulation_run (simulation, 100);
  request_wave (simulation, 1, 1, 27000);
  simulation_run (simulation, 3000);
  CU_ASSERT_TRUE (simulation->wave_completed);
  CU_ASSERT_EQUAL (count_maintained (simulation), 0);
  simulation_submit (simulation, "job", "pool", &step, 1, 3);
  simulation_run (simulation, 1000);
  CU_ASSERT_EQUAL (simulation->starts, 4);
  CU_ASSERT_EQUAL (simulation_violations (simulation), 0);
  simulation_destroy (simulation);
}

/* Tasks that were moved for a wave aren't placed on hosts that have yet to be maintained. */
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

/* Hosts in the standby pool are maintained there. */
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

/* A wave continues under a new leader, and batch tasks are stopped once it is behind its plan. */
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

/* A new leader doesn't count tasks that its predecessor has stopped as available; otherwise it
 * would stop more than the step's limit allows. */
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

/* The stop of a task on a host that is to be maintained gets no response, and another endpoint
 * crashes before the stop is repeated. The repetition once ended the task though its step's limit
 * was reached by then. */
static void
test_limit_reached_after_a_lost_stop (void)
{
  struct simulation *simulation = simulation_create (1);
  Sp__JobStep step = long_running_step (6, 1, 1);
  struct simulated_endpoint *evicted;

  simulation_add_hosts (simulation, "pool", HOSTS);
  simulation_start_new_leader (simulation);
  simulation_run (simulation, 100);
  simulation_submit (simulation, "job", "pool", &step, 1, 3);
  simulation_run (simulation, 2000);
  evicted = g_ptr_array_index (simulation->endpoints, 0);
  SUITE_REQUIRE (evicted->attempts->len == 1);
  evicted->stop_errors = true;
  request_wave (simulation, 1, 1, 27000);
  simulation_run (simulation, 150);
  simulation_crash_endpoint (simulation, g_ptr_array_index (simulation->endpoints, 1), false);
  simulation_run (simulation, 50);
  evicted->stop_errors = false;
  simulation_run (simulation, 26800);
  CU_ASSERT_EQUAL (simulation_violations (simulation), 0);
  CU_ASSERT_TRUE (simulation->wave_completed);
  for (unsigned i = 0; i < step.n_tasks; i++)
    {
      g_autofree char *name = g_strdup_printf ("job.0.0.%u", i);

      CU_ASSERT_PTR_NOT_NULL (simulation_find_attempt (simulation, name, NULL));
    }
  simulation_destroy (simulation);
}

/* Maintenance commands lose their connection, and their repetitions are rejected as too many. A
 * rejection doesn't prove that the first one was not carried out, so that the host still counts
 * against the limit of one or two; and the wave goes on, since the host's own command may be
 * repeated. The hosts are used again afterwards. */
static void
test_lost_commands (void)
{
  enum
  {
    SEEDS = 200,
    WAVE_HOSTS = 4,
    WAVE_MS = 27000,
    FAULTS_MS = 18000,
  };

  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      struct simulation *simulation = simulation_create (seed);
      Sp__JobStep lasting = long_running_step (2, 1, 1);
      Sp__JobStep filling = long_running_step (HOSTS * 4, 4, 0);

      simulation_add_hosts (simulation, "pool", HOSTS);
      simulation_start_new_leader (simulation);
      simulation_run (simulation, 100);
      simulation_submit (simulation, "job", "pool", &lasting, 1, 3);
      simulation_run (simulation, 2000);
      simulation->host_closed_permille = 500;
      simulation->host_rejected_permille = 500;
      request_wave (simulation, WAVE_HOSTS, 1 + seed % 2, WAVE_MS);
      simulation_run (simulation, FAULTS_MS);
      simulation->host_closed_permille = 0;
      simulation->host_rejected_permille = 0;
      simulation_run (simulation, WAVE_MS - FAULTS_MS);
      if (count_maintained (simulation) != WAVE_HOSTS || !simulation->wave_completed ||
          simulation_violations (simulation) > 0)
        printf ("seed %u: %u of %d hosts maintained, completed %d, over the limit %u\n", seed,
                count_maintained (simulation), WAVE_HOSTS, simulation->wave_completed,
                simulation->over_wave_limit);
      CU_ASSERT_EQUAL (count_maintained (simulation), WAVE_HOSTS);
      CU_ASSERT_TRUE (simulation->wave_completed);
      CU_ASSERT_EQUAL (simulation_violations (simulation), 0);
      simulation_submit (simulation, "filling", "pool", &filling, 1, 3);
      simulation_run (simulation, 4000);
      for (unsigned i = 0; i < filling.n_tasks; i++)
        {
          g_autofree char *name = g_strdup_printf ("filling.0.0.%u", i);

          CU_ASSERT_PTR_NOT_NULL (simulation_find_attempt (simulation, name, NULL));
        }
      simulation_destroy (simulation);
    }
}

/* The same with hosts of a standby pool, which have no endpoint that shows whether they are
 * drained. */
static void
test_lost_commands_to_standby_hosts (void)
{
  enum
  {
    SEEDS = 200,
    WAVE_HOSTS = 4,
    WAVE_MS = 27000,
    FAULTS_MS = 18000,
  };

  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      struct simulation *simulation = simulation_create (seed);

      simulation_add_pool (simulation, "spare", true);
      simulation_add_hosts (simulation, "spare", HOSTS);
      simulation_start_new_leader (simulation);
      simulation_run (simulation, 100);
      simulation->host_closed_permille = 500;
      simulation->host_rejected_permille = 500;
      request_wave (simulation, WAVE_HOSTS, 1 + seed % 2, WAVE_MS);
      simulation_run (simulation, FAULTS_MS);
      simulation->host_closed_permille = 0;
      simulation->host_rejected_permille = 0;
      simulation_run (simulation, WAVE_MS - FAULTS_MS);
      if (count_maintained (simulation) != WAVE_HOSTS || !simulation->wave_completed ||
          simulation_violations (simulation) > 0)
        printf ("seed %u: %u of %d standby hosts maintained, completed %d, over the limit %u\n",
                seed, count_maintained (simulation), WAVE_HOSTS, simulation->wave_completed,
                simulation->over_wave_limit);
      CU_ASSERT_EQUAL (count_maintained (simulation), WAVE_HOSTS);
      CU_ASSERT_TRUE (simulation->wave_completed);
      CU_ASSERT_EQUAL (simulation_violations (simulation), 0);
      simulation_destroy (simulation);
    }
}

/* Guards against a wave that falls behind its plan while its pool is short of hosts and then takes
 * as many of them at once as its limit allows, in the middle of the busy period. */
static void
test_behind_in_a_busy_period (void)
{
  enum
  {
    WAVE_MS = 27000,
    /* The plan: all hosts at an even rate in seven tenths of the time. */
    PLAN_MS = WAVE_MS * 7 / 10,
    /* All hosts together need 15 s for the job. */
    BUSY_MS = 10000,
    STEP_MS = 100,
  };
  struct simulation *simulation = simulation_create (1);
  Sp__JobStep step = SP__JOB_STEP__INIT;

  step.n_tasks = 600;
  step.cpu_milli = 2000;
  step.memory_mb = 1000;
  step.estimate_ms = 1000;
  simulation->work_ms = 1000;
  simulation_add_hosts (simulation, "pool", HOSTS);
  simulation_start_new_leader (simulation);
  simulation_run (simulation, 100);
  simulation_submit (simulation, "job", "pool", &step, 1, 3);
  simulation_run (simulation, 1000);
  request_wave (simulation, HOSTS, HOSTS - 2, WAVE_MS);
  for (int64_t elapsed_ms = 0; elapsed_ms < BUSY_MS; elapsed_ms += STEP_MS)
    {
      CU_ASSERT (count_maintained (simulation) <= 1 + HOSTS * elapsed_ms / PLAN_MS);
      simulation_run (simulation, STEP_MS);
    }
  simulation_run (simulation, WAVE_MS - BUSY_MS);
  CU_ASSERT_TRUE (simulation->wave_completed);
  simulation_run (simulation, WAVE_MS);
  CU_ASSERT_EQUAL (simulation_job_state (simulation, "job"), SP__JOB_STATE__JOB_COMPLETED);
  CU_ASSERT_EQUAL (simulation_violations (simulation), 0);
  simulation_destroy (simulation);
}

static const struct suite_test tests[] = {
  { "host not in the wave", test_host_not_in_wave },
  { "long-running tasks", test_long_running_tasks },
  { "moved once", test_moved_once },
  { "standby hosts", test_standby_hosts },
  { "takeover", test_takeover },
  { "stops by a former leader", test_stops_by_former_leader },
  { "limit reached after a lost stop", test_limit_reached_after_a_lost_stop },
  { "behind in a busy period", test_behind_in_a_busy_period },
  { "lost commands", test_lost_commands },
  { "lost commands to standby hosts", test_lost_commands_to_standby_hosts },
};

int
main (void)
{
  return suite_run ("waves", tests, sizeof tests / sizeof tests[0]);
}
