#include <string.h>

#include "simulation.h"
#include "suite.h"

/* Leases on the clocks of endpoints, which start near 0 with each incarnation and may be 2% slow,
 * and starts that reach a new incarnation. */

/* Creates a simulation with one pool and a leader. All clocks are slow by slow_permille. */
static struct simulation *
simulation_with_clocks (unsigned n_hosts, int slow_permille)
{
  struct simulation *simulation = simulation_create (1);

  simulation_add_hosts (simulation, "pool", n_hosts);
  for (guint i = 0; i < simulation->endpoints->len; i++)
    ((struct simulated_endpoint *) g_ptr_array_index (simulation->endpoints, i))
        ->clock_slow_permille = slow_permille;
  simulation_start_new_leader (simulation);
  simulation_run (simulation, 100);
  return simulation;
}

/* Submits a job of tasks that take a minute and one core each. */
static void
submit_long_tasks (struct simulation *simulation, const char *id, uint32_t n_tasks)
{
  Sp__JobStep step = SP__JOB_STEP__INIT;

  step.n_tasks = n_tasks;
  step.cpu_milli = 1000;
  step.memory_mb = 1000;
  step.estimate_ms = 60000;
  simulation->work_ms = 60000;
  simulation_submit (simulation, id, "pool", &step, 1, 3);
}

/* Guards against a lease that outlasts the leader's wait because the estimate of an idle endpoint's
 * slow clock runs ahead: the task would start elsewhere while it still runs. */
static void
test_slow_clock_of_idle_endpoint (void)
{
  struct simulation *simulation = simulation_with_clocks (2, 20);
  struct simulated_endpoint *cut_off;

  simulation_run (simulation, 60000);
  submit_long_tasks (simulation, "job", 1);
  simulation_run (simulation, 40);
  cut_off = simulation_find_attempt (simulation, "job.0.0.0", NULL);
  SUITE_REQUIRE (cut_off != NULL);
  cut_off->unreachable = true;
  simulation_run (simulation, 6000);
  CU_ASSERT_EQUAL (simulation->starts, 2);
  CU_ASSERT_EQUAL (simulation_violations (simulation), 0);
  simulation_destroy (simulation);
}

/* Guards against an estimate that falls so far behind an idle endpoint's clock that the lease of a
 * start has expired on arrival: the start would be rejected and sent again. */
static void
test_exact_clock_of_idle_endpoint (void)
{
  struct simulation *simulation = simulation_with_clocks (1, 0);
  struct simulated_endpoint *endpoint = g_ptr_array_index (simulation->endpoints, 0);

  simulation_run (simulation, 600000);
  submit_long_tasks (simulation, "job", 1);
  simulation_run (simulation, 40);
  CU_ASSERT_EQUAL (simulation->starts, 1);
  CU_ASSERT_EQUAL (endpoint->start_commands, 1);
  simulation_destroy (simulation);
}

/* Makes all endpoints of a simulation unreachable, or reachable again. */
static void
set_all_unreachable (struct simulation *simulation, bool unreachable)
{
  for (guint i = 0; i < simulation->endpoints->len; i++)
    ((struct simulated_endpoint *) g_ptr_array_index (simulation->endpoints, i))->unreachable =
        unreachable;
}

/* Submits a job of one task while no endpoint is reachable. Returns the endpoint to which its start
 * is sent without a response, and makes the others reachable again. */
static struct simulated_endpoint *
submit_unanswered_task (struct simulation *simulation)
{
  struct simulated_endpoint *chosen = NULL;

  set_all_unreachable (simulation, true);
  submit_long_tasks (simulation, "job", 1);
  simulation_run (simulation, 20);
  for (guint i = 0; i < simulation->endpoints->len; i++)
    {
      struct simulated_endpoint *endpoint = g_ptr_array_index (simulation->endpoints, i);

      if (endpoint->start_commands > 0)
        chosen = endpoint;
      else
        endpoint->unreachable = false;
    }
  return chosen;
}

/* Guards against a start that is sent again before the endpoint's new incarnation has reported:
 * its lease would be computed from the former incarnation's clock, last up to 10 s, and outlast the
 * leader's wait. */
static void
test_start_before_the_clock_is_known (void)
{
  struct simulation *simulation = simulation_with_clocks (2, 0);
  struct simulated_endpoint *endpoint;

  simulation_run (simulation, 15000);
  endpoint = submit_unanswered_task (simulation);
  SUITE_REQUIRE (endpoint != NULL);
  simulation_crash_endpoint (simulation, endpoint, true);
  /* Until the first send has timed out. A heartbeat to the new incarnation is in flight. */
  simulation_run (simulation, 700);
  CU_ASSERT_EQUAL (endpoint->start_commands, 1);
  endpoint->unreachable = false;
  simulation_run (simulation, 140);
  endpoint->unreachable = true;
  simulation_run (simulation, 8000);
  CU_ASSERT_EQUAL (simulation_violations (simulation), 0);
  endpoint->unreachable = false;
  simulation_run (simulation, 2000);
  CU_ASSERT_PTR_NOT_NULL (simulation_find_attempt (simulation, "job.0.0.0", NULL));
  simulation_destroy (simulation);
}

/* Guards against a clock that is taken from the former incarnation's response to a start, which
 * arrives after the new incarnation's first report: leases last up to 10 s and outlast the leader's
 * wait. */
static void
test_response_of_former_incarnation (void)
{
  struct simulation *simulation = simulation_with_clocks (2, 0);
  struct simulated_endpoint *endpoint = g_ptr_array_index (simulation->endpoints, 0);
  struct simulated_endpoint *other = g_ptr_array_index (simulation->endpoints, 1);

  simulation_run (simulation, 15000);
  /* The other endpoint takes no task until this one is cut off. */
  other->draining = true;
  simulation_run (simulation, 400);
  simulation->slow_response_permille = 1000;
  submit_long_tasks (simulation, "before", 5);
  simulation_run (simulation, 100);
  CU_ASSERT_EQUAL (endpoint->attempts->len, 5);
  simulation_crash_endpoint (simulation, endpoint, true);
  /* Only the responses to its starts matter. */
  simulation_cancel (simulation, "before");
  simulation_run (simulation, 540);
  simulation->slow_response_permille = 0;
  submit_long_tasks (simulation, "after", 1);
  simulation_run (simulation, 40);
  CU_ASSERT_EQUAL (endpoint->attempts->len, 1);
  endpoint->unreachable = true;
  other->draining = false;
  simulation_run (simulation, 8000);
  CU_ASSERT_EQUAL (simulation_violations (simulation), 0);
  simulation_destroy (simulation);
}

/* Guards against a start that a new incarnation accepts before the leader knows of it: the end of
 * its lease is a time on the former incarnation's clock, which is further on, so that the lease
 * lasts up to 10 s and outlasts the leader's wait. */
static void
test_start_at_unnoticed_incarnation (void)
{
  struct simulation *simulation = simulation_with_clocks (2, 0);
  struct simulated_endpoint *endpoint = g_ptr_array_index (simulation->endpoints, 0);
  struct simulated_endpoint *other = g_ptr_array_index (simulation->endpoints, 1);

  simulation_run (simulation, 15000);
  /* The other endpoint takes no task until this one is cut off. */
  other->draining = true;
  simulation_run (simulation, 400);
  endpoint->cut_off_from_registry = true;
  simulation_crash_endpoint (simulation, endpoint, true);
  submit_long_tasks (simulation, "job", 1);
  simulation_run (simulation, 40);
  SUITE_REQUIRE (endpoint->attempts->len == 1);
  endpoint->unreachable = true;
  other->draining = false;
  simulation_run (simulation, 12000);
  CU_ASSERT_EQUAL (simulation_violations (simulation), 0);
  simulation_destroy (simulation);
}

/* Guards against the same under a new leader, which learns of the incarnation when it takes over
 * and doesn't know what the former leader sent. */
static void
test_former_leader_at_unnoticed_incarnation (void)
{
  struct simulation *simulation = simulation_with_clocks (2, 0);
  struct simulated_endpoint *endpoint = g_ptr_array_index (simulation->endpoints, 0);
  struct simulated_endpoint *other = g_ptr_array_index (simulation->endpoints, 1);

  simulation_run (simulation, 15000);
  /* The other endpoint takes no task until this one is cut off. */
  other->draining = true;
  simulation_run (simulation, 400);
  endpoint->cut_off_from_registry = true;
  simulation_crash_endpoint (simulation, endpoint, true);
  submit_long_tasks (simulation, "job", 1);
  simulation_run (simulation, 40);
  SUITE_REQUIRE (endpoint->attempts->len == 1);
  endpoint->cut_off_from_registry = false;
  simulation_start_new_leader (simulation);
  simulation_run (simulation, 600);
  endpoint->unreachable = true;
  other->draining = false;
  simulation_run (simulation, 12000);
  CU_ASSERT_EQUAL (simulation_violations (simulation), 0);
  simulation_destroy (simulation);
}

/* Guards against a heartbeat that a new incarnation accepts before the leader knows of it: its
 * lease is on the former incarnation's clock and holds for what is started there later. The
 * endpoint restarts at each moment between two heartbeats. */
static void
test_heartbeat_at_unnoticed_incarnation (void)
{
  enum
  {
    OFFSETS_MS = 900,
    OFFSET_STEP_MS = 10,
  };

  for (int64_t offset_ms = 0; offset_ms < OFFSETS_MS; offset_ms += OFFSET_STEP_MS)
    {
      struct simulation *simulation = simulation_with_clocks (2, 0);
      struct simulated_endpoint *endpoint = g_ptr_array_index (simulation->endpoints, 0);
      struct simulated_endpoint *other = g_ptr_array_index (simulation->endpoints, 1);

      simulation_run (simulation, 15000);
      other->draining = true;
      simulation_run (simulation, 400);
      submit_long_tasks (simulation, "job", 1);
      simulation_run (simulation, 1000 + offset_ms);
      SUITE_REQUIRE (endpoint->attempts->len == 1);
      simulation_crash_endpoint (simulation, endpoint, true);
      simulation_run (simulation, 1500);
      SUITE_REQUIRE (endpoint->attempts->len == 1);
      endpoint->unreachable = true;
      other->draining = false;
      simulation_run (simulation, 12000);
      CU_ASSERT_EQUAL (simulation_violations (simulation), 0);
      simulation_destroy (simulation);
    }
}

/* Sends a start that is carried out 2 to 12 s later and gets no response. Returns its endpoint,
 * whose clock is then so far on that a new incarnation's clock doesn't reach the end of the lease.
 */
static struct simulated_endpoint *
submit_late_task (struct simulation *simulation)
{
  simulation_run (simulation, 20000);
  simulation->late_permille = 1000;
  submit_long_tasks (simulation, "job", 1);
  simulation_run (simulation, 20);
  simulation->late_permille = 0;
  for (guint i = 0; i < simulation->endpoints->len; i++)
    {
      struct simulated_endpoint *endpoint = g_ptr_array_index (simulation->endpoints, i);

      if (endpoint->start_commands > 0)
        return endpoint;
    }
  return NULL;
}

/* Cuts an endpoint off, lets it restart while it is cut off, and ends the cut at cut_end_ms. Then
 * the task runs once. */
static void
restart_behind_cut (struct simulation *simulation, struct simulated_endpoint *endpoint,
                    int64_t cut_end_ms)
{
  endpoint->unreachable = true;
  simulation_run (simulation, 1500);
  simulation_crash_endpoint (simulation, endpoint, true);
  simulation_run (simulation, cut_end_ms - simulation->now_ms);
  CU_ASSERT_EQUAL (simulation->duplicate_starts, 0);
  endpoint->unreachable = false;
  simulation_run (simulation, 5000);
  CU_ASSERT_PTR_NOT_NULL (simulation_find_attempt (simulation, "job.0.0.0", NULL));
  CU_ASSERT_EQUAL (simulation_violations (simulation), 0);
}

/* Guards against a task that starts elsewhere while its first start is under way: the start was
 * never confirmed, its endpoint is cut off and restarts, and the new incarnation carries it out. */
static void
test_late_start_at_new_incarnation (void)
{
  enum
  {
    SEEDS = 20,
  };

  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      struct simulation *simulation = simulation_with_clocks (2, 0);
      struct simulated_endpoint *endpoint;
      g_rand_set_seed (simulation->random, seed);
      endpoint = submit_late_task (simulation);
      SUITE_REQUIRE (endpoint != NULL);
      restart_behind_cut (simulation, endpoint, simulation->now_ms + 12200);
      simulation_destroy (simulation);
    }
}

/* Guards against the same with an attempt that was confirmed: its first send got no response, the
 * second did, and the first is carried out by the new incarnation. */
static void
test_late_start_after_confirmation (void)
{
  enum
  {
    SEEDS = 20,
  };

  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      struct simulation *simulation = simulation_with_clocks (2, 0);
      struct simulated_endpoint *endpoint;
      int64_t sent_ms;

      g_rand_set_seed (simulation->random, seed);
      endpoint = submit_late_task (simulation);
      SUITE_REQUIRE (endpoint != NULL);
      sent_ms = simulation->now_ms;
      simulation_run (simulation, 1000);
      CU_ASSERT_EQUAL (endpoint->attempts->len, 1);
      CU_ASSERT_EQUAL (job_task (job_table_find (simulation->all_jobs, "job"), 0, 0, 0)->phase,
                       TASK_RUNNING);
      restart_behind_cut (simulation, endpoint, sent_ms + 11500);
      simulation_destroy (simulation);
    }
}

/* Guards against a wait for late starts of an endpoint that no host runs any more: its task starts
 * elsewhere with the next machine list. */
static void
test_no_wait_for_endpoint_without_host (void)
{
  struct simulation *simulation = simulation_with_clocks (2, 0);
  struct simulated_endpoint *endpoint = submit_unanswered_task (simulation);

  SUITE_REQUIRE (endpoint != NULL);
  simulation_crash_endpoint (simulation, endpoint, false);
  endpoint->listed = false;
  for (unsigned i = 0; i < simulation->n_hosts; i++)
    {
      if (strcmp (simulation->hosts[i].id, endpoint->host) == 0)
        simulation->hosts[i].endpoint = -1;
    }
  simulation_run (simulation, 2000);
  CU_ASSERT_EQUAL (simulation->starts, 1);
  CU_ASSERT_EQUAL (simulation_violations (simulation), 0);
  simulation_destroy (simulation);
}

static const struct suite_test tests[] = {
  { "slow clock of an idle endpoint", test_slow_clock_of_idle_endpoint },
  { "exact clock of an idle endpoint", test_exact_clock_of_idle_endpoint },
  { "start before the clock is known", test_start_before_the_clock_is_known },
  { "response of a former incarnation", test_response_of_former_incarnation },
  { "late start at a new incarnation", test_late_start_at_new_incarnation },
  { "late start after a confirmation", test_late_start_after_confirmation },
  { "start at an unnoticed incarnation", test_start_at_unnoticed_incarnation },
  { "former leader at an unnoticed incarnation", test_former_leader_at_unnoticed_incarnation },
  { "heartbeat at an unnoticed incarnation", test_heartbeat_at_unnoticed_incarnation },
  { "no wait for an endpoint without a host", test_no_wait_for_endpoint_without_host },
};

int
main (void)
{
  return suite_run ("leases", tests, sizeof tests / sizeof tests[0]);
}
