#include <string.h>

#include "suite.h"
#include "simulation.h"

/* Caps and shares of workspaces in the scheduler. */

/* Creates a cluster of a pool "one" with n hosts of 10 cores, and a workspace "a" with a cap. */
static struct simulation *
create_cluster (unsigned n, int64_t cap_cpu_milli)
{
  struct simulation *simulation = simulation_create (1);
  struct resources cap = { .cpu_milli = cap_cpu_milli };

  simulation_add_hosts (simulation, "one", n);
  simulation_set_workspace (simulation, "a", &cap);
  simulation_start_new_leader (simulation);
  simulation_run (simulation, 200);
  return simulation;
}

/* Submits a job of one step of n tasks for a workspace. */
static void
submit (struct simulation *simulation, const char *workspace, const char *id, uint32_t n)
{
  Sp__JobStep step = simulation_job_step (n);

  simulation->workspace = workspace;
  simulation_submit (simulation, id, "one", &step, 1, 3);
}

/* Counts the attempts of a job that run. */
static unsigned
count_attempts (const struct simulation *simulation, const char *id)
{
  unsigned n = 0;

  for (guint i = 0; i < simulation->endpoints->len; i++)
    {
      const struct simulated_endpoint *endpoint = g_ptr_array_index (simulation->endpoints, i);

      for (guint r = 0; r < endpoint->attempts->len; r++)
        {
          const struct simulated_attempt *attempt = g_ptr_array_index (endpoint->attempts, r);

          n += g_str_has_prefix (attempt->task, id);
        }
    }
  return n;
}

static uint64_t
count_candidates (const struct simulation *simulation)
{
  struct scheduler_counts counts;

  scheduler_get_counts (simulation->scheduler, &counts);
  return counts.candidates;
}

/* A workspace runs no more than its cap, others aren't limited by it, and passes search no endpoint
 * for what the cap holds back. */
static void
test_cap (void)
{
  struct simulation *simulation = create_cluster (4, 5000);
  uint64_t candidates;

  simulation->work_ms = 3000;
  submit (simulation, "a", "limited", 12);
  simulation_run (simulation, 200);
  candidates = count_candidates (simulation);
  simulation_run (simulation, 1000);
  CU_ASSERT_EQUAL (count_attempts (simulation, "limited"), 5);
  CU_ASSERT_EQUAL (count_candidates (simulation), candidates);
  submit (simulation, "b", "free", 12);
  simulation_run (simulation, 200);
  CU_ASSERT_EQUAL (count_attempts (simulation, "free"), 12);
  simulation_run (simulation, 10000);
  CU_ASSERT_EQUAL (simulation_job_state (simulation, "limited"), SP__JOB_STATE__JOB_COMPLETED);
  CU_ASSERT_EQUAL (simulation_violations (simulation), 0);
  simulation_destroy (simulation);
}

/* A gang starts as a whole or waits, although a part of it would fit under the cap. */
static void
test_gang (void)
{
  struct simulation *simulation = create_cluster (4, 5000);
  Sp__JobStep step = simulation_job_step (4);

  simulation->work_ms = 2000;
  submit (simulation, "a", "first", 3);
  simulation_run (simulation, 100);
  step.gang = true;
  simulation_submit (simulation, "gang", "one", &step, 1, 3);
  simulation_run (simulation, 1000);
  CU_ASSERT_EQUAL (count_attempts (simulation, "gang"), 0);
  simulation_run (simulation, 1200);
  CU_ASSERT_EQUAL (count_attempts (simulation, "gang"), 4);
  CU_ASSERT_EQUAL (simulation_violations (simulation), 0);
  simulation_destroy (simulation);
}

/* A start without a response and a stop that isn't carried out count until they are settled. */
static void
test_unsettled (void)
{
  struct simulation *simulation = create_cluster (1, 2000);
  struct simulated_endpoint *endpoint = g_ptr_array_index (simulation->endpoints, 0);

  simulation->work_ms = 5000;
  endpoint->start_errors = true;
  endpoint->start_errors_carried_out = true;
  endpoint->stop_errors = true;
  submit (simulation, "a", "first", 2);
  simulation_run (simulation, 20);
  simulation_cancel (simulation, "first");
  submit (simulation, "a", "second", 2);
  simulation_run (simulation, 1500);
  CU_ASSERT_EQUAL (count_attempts (simulation, "first"), 2);
  CU_ASSERT_EQUAL (count_attempts (simulation, "second"), 0);
  endpoint->start_errors = false;
  endpoint->stop_errors = false;
  simulation_run (simulation, 12000);
  CU_ASSERT_EQUAL (simulation_job_state (simulation, "second"), SP__JOB_STATE__JOB_COMPLETED);
  CU_ASSERT_EQUAL (simulation_violations (simulation), 0);
  simulation_destroy (simulation);
}

/* A new leader counts the ready tasks of a pool that it has not seen yet: a job that is accepted
 * meanwhile, in a pool that has reported, waits. */
static void
test_unseen_pool (void)
{
  struct simulation *simulation = create_cluster (2, 4000);
  Sp__JobStep step = simulation_job_step (2);

  simulation->work_ms = 20000;
  submit (simulation, "a", "first", 4);
  simulation_add_hosts (simulation, "two", 1);
  simulation_run (simulation, 500);
  CU_ASSERT_EQUAL (count_attempts (simulation, "first"), 4);
  for (guint i = 0; i < 2; i++)
    ((struct simulated_endpoint *) g_ptr_array_index (simulation->endpoints, i))->unreachable =
        true;
  simulation_start_new_leader (simulation);
  simulation_submit (simulation, "second", "two", &step, 1, 3);
  simulation_run (simulation, 2000);
  CU_ASSERT_EQUAL (count_attempts (simulation, "second"), 0);
  CU_ASSERT_EQUAL (count_attempts (simulation, "first"), 4);
  /* The leases have ended. */
  simulation_run (simulation, 6000);
  CU_ASSERT_EQUAL (count_attempts (simulation, "second"), 2);
  CU_ASSERT_EQUAL (simulation_violations (simulation), 0);
  simulation_destroy (simulation);
}

/* A job that its workspace's cap holds back asks for no hosts beyond the cap. */
static void
test_demand (void)
{
  struct simulation *simulation = simulation_create (1);
  struct resources cap = { .cpu_milli = 20000 };
  unsigned n = 0;

  simulation_add_pool (simulation, "spare", true);
  simulation_add_hosts (simulation, "one", 2);
  simulation_add_hosts (simulation, "spare", 8);
  simulation_set_workspace (simulation, "a", &cap);
  simulation->work_ms = 3000;
  simulation_start_new_leader (simulation);
  simulation_run (simulation, 4000);
  submit (simulation, "a", "job", 60);
  simulation_run (simulation, 2500);
  for (unsigned i = 0; i < simulation->n_hosts; i++)
    n += strcmp (simulation->hosts[i].pool, "one") == 0;
  /* 20 cores at 85% of 10 per host. */
  CU_ASSERT_EQUAL (n, 3);
  simulation_destroy (simulation);
}

/* Two workspaces share a full pool, though the jobs of one have arrived long before. Jobs of a
 * higher priority would come first, and long-running ones do. */
static void
test_share (void)
{
  struct simulation *simulation = create_cluster (2, 100000);
  Sp__JobStep lasting = simulation_job_step (2);

  submit (simulation, "a", "early", 200);
  simulation_run (simulation, 5000);
  submit (simulation, "b", "late", 60);
  lasting.long_running = true;
  simulation_submit (simulation, "lasting", "one", &lasting, 1, 3);
  simulation_run (simulation, 1100);
  CU_ASSERT_EQUAL (count_attempts (simulation, "lasting"), 2);
  /* "b" has had nothing, so it gets what becomes free. */
  CU_ASSERT (count_attempts (simulation, "late") >= 16);
  simulation_run (simulation, 15000);
  CU_ASSERT_EQUAL (simulation_job_state (simulation, "late"), SP__JOB_STATE__JOB_COMPLETED);
  CU_ASSERT_EQUAL (simulation_job_state (simulation, "early"), SP__JOB_STATE__JOB_COMPLETED);
  CU_ASSERT_EQUAL (simulation_violations (simulation), 0);
  simulation_destroy (simulation);
}

static const struct suite_test tests[] = {
  { "cap", test_cap },
  { "gang", test_gang },
  { "unsettled", test_unsettled },
  { "unseen pool", test_unseen_pool },
  { "demand", test_demand },
  { "share", test_share },
};

int
main (void)
{
  return suite_run ("workspaces", tests, sizeof tests / sizeof tests[0]);
}
