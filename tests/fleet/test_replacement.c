#include <signal.h>
#include <string.h>

#include "cluster.h"
#include "subscribers.h"
#include "suite.h"

/* Fleetds that are killed and started again: they load a state from a snapshot in the log or from a
 * peer. */

enum
{
  PORT_BLOCK = 1,
  READY_LIMIT_MS = 6000,
  CONVERGENCE_LIMIT_MS = 5000,
  PROPAGATION_LIMIT_MS = 5000,
};

static struct cluster cluster;
static struct subscribers subscribers;

/* Replaces a fleetd by a new process, by SIGKILL or SIGTERM. Returns the old one's exit code. */
static int
replace_fleetd (unsigned i, int signal)
{
  int code;

  process_signal (cluster.fleetds[i], signal);
  code = process_wait (cluster.fleetds[i], READY_LIMIT_MS);
  process_destroy (cluster.fleetds[i]);
  cluster_start_fleetd (&cluster, i);
  return code;
}

/* Expects that a fleetd becomes ready and is not behind an offset that was reached before. */
static void
expect_ready_at (unsigned i, int64_t offset)
{
  CU_ASSERT (cluster_wait_ready (&cluster, i, READY_LIMIT_MS));
  CU_ASSERT (cluster_offset (&cluster, i) >= offset);
}

/* Makes n declarations with ascending deadlines, to make the log longer than the distance between
 * snapshots. */
static void
fill_log (unsigned n, unsigned first_deadline_ms)
{
  for (unsigned k = 0; k < n; k++)
    CU_ASSERT_EQUAL (cluster_declare (&cluster, k % cluster.n_fleetds, first_deadline_ms + k), 200);
}

/* Expects that the subscribers receive a change within 5 s, and never an older table. */
static void
expect_propagated (uint32_t deadline_ms)
{
  CU_ASSERT (subscribers_wait_deadline (&subscribers, deadline_ms, PROPAGATION_LIMIT_MS));
  CU_ASSERT_EQUAL (subscribers_count_older_tables (&subscribers), 0);
}

/* Fleetds are replaced one after the other while changes continue: none becomes ready with an older
 * state and no change is lost. A graceful shutdown exits with 0. */
static void
test_one_by_one (void)
{
  fill_log (30, 1000);
  for (unsigned i = 0; i < cluster.n_fleetds; i++)
    {
      int64_t offset = cluster_offset (&cluster, (i + 1) % cluster.n_fleetds);
      int code = replace_fleetd (i, i % 2 ? SIGTERM : SIGKILL);

      CU_ASSERT (i % 2 == 0 || code == 0);
      expect_ready_at (i, offset);
      CU_ASSERT_EQUAL (cluster_declare (&cluster, i, 1100 + i), 200);
      expect_propagated (1100 + i);
    }
  CU_ASSERT (cluster_wait_converged (&cluster, CONVERGENCE_LIMIT_MS));
}

/* All fleetds are killed at once: since the start of the log is trimmed, they must load a snapshot
 * from the log. */
static void
test_all_at_once (void)
{
  int64_t offset;

  fill_log (30, 1200);
  CU_ASSERT (cluster_wait_converged (&cluster, CONVERGENCE_LIMIT_MS));
  offset = cluster_offset (&cluster, 0);
  cluster_set_platform_faults (&cluster, "{\"trim_to\":45}");
  for (unsigned i = 0; i < cluster.n_fleetds; i++)
    process_signal (cluster.fleetds[i], SIGKILL);
  for (unsigned i = 0; i < cluster.n_fleetds; i++)
    replace_fleetd (i, SIGKILL);
  for (unsigned i = 0; i < cluster.n_fleetds; i++)
    expect_ready_at (i, offset);
  expect_propagated (1229);
  CU_ASSERT_EQUAL (cluster_declare (&cluster, 0, 1300), 200);
  expect_propagated (1300);
  CU_ASSERT (cluster_wait_converged (&cluster, CONVERGENCE_LIMIT_MS));
}

/* While the log is down, a new process copies the state of a peer. */
static void
test_log_down (void)
{
  int64_t offset = cluster_offset (&cluster, 0);

  cluster_set_platform_faults (&cluster, "{\"log\":\"down\"}");
  for (unsigned i = 0; i < cluster.n_fleetds; i++)
    {
      replace_fleetd (i, SIGKILL);
      expect_ready_at (i, offset);
      expect_propagated (1300);
    }
  cluster_set_platform_faults (&cluster, "{\"log\":\"up\"}");
  CU_ASSERT (cluster_wait_log_reachable (&cluster, READY_LIMIT_MS));
  CU_ASSERT_EQUAL (cluster_declare (&cluster, 1, 1301), 200);
  expect_propagated (1301);
  CU_ASSERT (cluster_wait_converged (&cluster, CONVERGENCE_LIMIT_MS));
}

/* All fleetds are killed while the log is down: none may become ready with an empty state. */
static void
test_nothing_to_copy (void)
{
  int64_t offset = cluster_offset (&cluster, 0);

  cluster_set_platform_faults (&cluster, "{\"log\":\"silent\"}");
  for (unsigned i = 0; i < cluster.n_fleetds; i++)
    replace_fleetd (i, SIGKILL);
  test_sleep_ms (2000);
  for (unsigned i = 0; i < cluster.n_fleetds; i++)
    CU_ASSERT_FALSE (cluster_wait_ready (&cluster, i, 100));
  cluster_set_platform_faults (&cluster, "{\"log\":\"up\"}");
  for (unsigned i = 0; i < cluster.n_fleetds; i++)
    expect_ready_at (i, offset);
  CU_ASSERT (cluster_wait_log_reachable (&cluster, READY_LIMIT_MS));
  CU_ASSERT (cluster_wait_converged (&cluster, CONVERGENCE_LIMIT_MS));
}

/* The log is trimmed past the position of a paused fleetd, and again while new fleetds start: all
 * of them catch up. */
static void
test_trimmed (void)
{
  int64_t offset;

  process_signal (cluster.fleetds[2], SIGSTOP);
  for (unsigned k = 0; k < 40; k++)
    CU_ASSERT_EQUAL (cluster_declare (&cluster, k % 2, 1400 + k), 200);
  offset = cluster_offset (&cluster, 0);
  cluster_set_platform_faults (&cluster, "{\"trim_to\":25}");
  process_signal (cluster.fleetds[2], SIGCONT);
  for (unsigned k = 0; k < 3; k++)
    {
      replace_fleetd (0, SIGKILL);
      cluster_set_platform_faults (&cluster, "{\"log_slow_ms\":60}");
      for (unsigned n = 0; n < 3; n++)
        CU_ASSERT_EQUAL (cluster_declare (&cluster, 1, 1500 + 10 * k + n), 200);
      cluster_set_platform_faults (&cluster, "{\"trim_to\":25, \"log_slow_ms\":0}");
      expect_ready_at (0, offset);
    }
  CU_ASSERT (cluster_wait_converged (&cluster, CONVERGENCE_LIMIT_MS));
  CU_ASSERT_EQUAL (cluster_declare (&cluster, 2, 1600), 200);
  expect_propagated (1600);
}

static const struct suite_test tests[] = {
  { "one by one", test_one_by_one }, { "all at once", test_all_at_once },
  { "log down", test_log_down },     { "nothing to copy", test_nothing_to_copy },
  { "trimmed", test_trimmed },
};

int
main (void)
{
  static const char *const args[] = { "--snapshot-every=20", "--snapshot-chunk-bytes=1024", NULL };
  struct cluster_config config = {
    .block = PORT_BLOCK, .n_fleetds = 3, .n_seats = 6, .n_tools = 3, .fleetd_args = args
  };
  int result;

  cluster_init (&cluster, &config);
  subscribers_init (&subscribers, ev_default_loop (0), &cluster);
  result = suite_run ("fleet_replacement", tests, sizeof tests / sizeof tests[0]);
  subscribers_finish (&subscribers);
  cluster_finish (&cluster);
  return result;
}
