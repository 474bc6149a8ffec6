#include <glib.h>
#include <signal.h>
#include <stdio.h>

#include "hosts.h"
#include "suite.h"

/* A leader that sends its commands through the relays of the other hosts, with real processes,
 * while relays are killed and frozen. The simulated platform counts tasks that run twice at a time
 * or again after they were done. */

enum
{
  PORT_BLOCK = 94,
  JOB_COUNT = 12,
  COMPLETION_LIMIT_MS = 20000,
  ELECTION_LIMIT_MS = 8000,
  RELAYS_LIMIT_MS = 8000,
};

#define TWO_STEP_JOB                                                                               \
  "{\"spec\":\"s\",\"steps\":[{\"count\":3,\"cpu\":1000,\"mem_mb\":500,\"estimate_ms\":500},"      \
  "{\"count\":2,\"cpu\":1000,\"mem_mb\":500,\"estimate_ms\":500,\"depends_on\":[0]}]}"

static struct hosts hosts = { .relays = true };
static unsigned next_id = 1;

/* Submits jobs at the leader, which stays up. */
static void
submit_jobs (char **ids, unsigned leader)
{
  for (unsigned i = 0; i < JOB_COUNT; i++)
    {
      g_autofree char *path = NULL;

      ids[i] = g_strdup_printf ("%016x", next_id++);
      path = g_strdup_printf ("/one/%s", ids[i]);
      CU_ASSERT_EQUAL (hosts_call (&hosts, leader, "POST", path, TWO_STEP_JOB, NULL), 200);
    }
}

static void
wait_jobs (char **ids, unsigned leader)
{
  for (unsigned i = 0; i < JOB_COUNT; i++)
    {
      CU_ASSERT_TRUE (
          hosts_wait_job_state (&hosts, leader, ids[i], "completed", COMPLETION_LIMIT_MS));
      g_free (ids[i]);
    }
  CU_ASSERT_EQUAL (hosts_report_count (&hosts, "doubled"), 0);
  CU_ASSERT_EQUAL (hosts_report_count (&hosts, "after_done"), 0);
}

/* Waits until the leader uses a number of relays. */
static bool
wait_relays (unsigned leader, int64_t n)
{
  int64_t end_ms = test_now_ms () + RELAYS_LIMIT_MS;

  while (hosts_metric (&hosts, leader, "sesamepick_jobd_relays_used") != n)
    {
      if (test_now_ms () >= end_ms)
        return false;
      test_sleep_ms (50);
    }
  return true;
}

/* Returns the number of commands that the hosts other than the leader have sent to endpoints. */
static int64_t
count_relayed (unsigned leader)
{
  int64_t n = 0;

  for (unsigned i = 0; i < HOSTS; i++)
    {
      if (i != leader)
        n += hosts_metric (&hosts, i, "sesamepick_jobd_relayed_commands_total");
    }
  return n;
}

/* All commands go through the other hosts. */
static void
test_commands_are_relayed (void)
{
  int leader = hosts_wait_leader (&hosts, ELECTION_LIMIT_MS);
  char *ids[JOB_COUNT];

  SUITE_REQUIRE (leader >= 0);
  CU_ASSERT_TRUE (wait_relays ((unsigned) leader, HOSTS - 1));
  submit_jobs (ids, (unsigned) leader);
  wait_jobs (ids, (unsigned) leader);
  CU_ASSERT (count_relayed ((unsigned) leader) >= JOB_COUNT * 5);
}

/* Returns whether a job was accepted by a host. */
static bool
submit_at (unsigned host, char **id)
{
  g_autofree char *path = NULL;

  *id = g_strdup_printf ("%016x", next_id++);
  path = g_strdup_printf ("/one/%s", *id);
  return hosts_call (&hosts, host, "POST", path, TWO_STEP_JOB, NULL) == 200;
}

/* Another host hands the records of its callers to the leader, and appends them itself if the
 * leader freezes with them. */
static void
test_records_are_handed_over (void)
{
  int leader = hosts_wait_leader (&hosts, ELECTION_LIMIT_MS);
  unsigned other;
  g_autofree char *first = NULL;
  g_autofree char *second = NULL;

  SUITE_REQUIRE (leader >= 0);
  other = ((unsigned) leader + 1) % HOSTS;
  CU_ASSERT_TRUE (wait_relays ((unsigned) leader, HOSTS - 1));
  CU_ASSERT_TRUE (submit_at (other, &first));
  CU_ASSERT_EQUAL (hosts_metric (&hosts, other, "sesamepick_jobd_records_handed_total"), 1);
  process_signal (hosts.jobds[leader], SIGSTOP);
  CU_ASSERT_TRUE (submit_at (other, &second));
  CU_ASSERT_EQUAL (hosts_metric (&hosts, other, "sesamepick_jobd_records_handed_total"), 2);
  CU_ASSERT_TRUE (hosts_wait_job_state (&hosts, other, first, "completed", COMPLETION_LIMIT_MS));
  CU_ASSERT_TRUE (hosts_wait_job_state (&hosts, other, second, "completed", COMPLETION_LIMIT_MS));
  process_signal (hosts.jobds[leader], SIGCONT);
  test_sleep_ms (1000);
  CU_ASSERT_EQUAL (hosts_report_count (&hosts, "doubled"), 0);
  CU_ASSERT_EQUAL (hosts_report_count (&hosts, "after_done"), 0);
}

/* A relay freezes with commands in its hands: they are given up, repeated through the other one,
 * and change nothing when the frozen process wakes. */
static void
test_relay_is_frozen (void)
{
  int leader = hosts_wait_leader (&hosts, ELECTION_LIMIT_MS);
  unsigned relay;
  char *ids[JOB_COUNT];

  SUITE_REQUIRE (leader >= 0);
  relay = ((unsigned) leader + 1) % HOSTS;
  CU_ASSERT_TRUE (wait_relays ((unsigned) leader, HOSTS - 1));
  submit_jobs (ids, (unsigned) leader);
  process_signal (hosts.jobds[relay], SIGSTOP);
  CU_ASSERT_TRUE (wait_relays ((unsigned) leader, HOSTS - 2));
  test_sleep_ms (1500);
  process_signal (hosts.jobds[relay], SIGCONT);
  wait_jobs (ids, (unsigned) leader);
  CU_ASSERT_TRUE (wait_relays ((unsigned) leader, HOSTS - 1));
  /* The frozen host has heard nothing of the leader, but must not replace it. */
  CU_ASSERT_EQUAL (hosts_leader (&hosts), leader);
}

/* All relays are killed: the leader sends its commands itself, and through them when they are
 * back. */
static void
test_relays_are_killed (void)
{
  int leader = hosts_wait_leader (&hosts, ELECTION_LIMIT_MS);
  char *ids[JOB_COUNT];

  SUITE_REQUIRE (leader >= 0);
  submit_jobs (ids, (unsigned) leader);
  for (unsigned i = 0; i < HOSTS; i++)
    {
      if (i != (unsigned) leader)
        process_signal (hosts.jobds[i], SIGKILL);
    }
  CU_ASSERT_TRUE (wait_relays ((unsigned) leader, 0));
  wait_jobs (ids, (unsigned) leader);
  for (unsigned i = 0; i < HOSTS; i++)
    {
      if (i != (unsigned) leader)
        hosts_start_jobd (&hosts, i);
    }
  CU_ASSERT_TRUE (wait_relays ((unsigned) leader, HOSTS - 1));
}

int
main (void)
{
  static const struct suite_test tests[] = {
    { "commands are relayed", test_commands_are_relayed },
    { "records are handed over", test_records_are_handed_over },
    { "relay is frozen", test_relay_is_frozen },
    { "relays are killed", test_relays_are_killed },
  };
  int status;

  hosts_start (&hosts, PORT_BLOCK);
  for (unsigned n = 0; n < HOSTS; n++)
    hosts_wait_ready (&hosts, n, 0);
  status = suite_run ("relays", tests, G_N_ELEMENTS (tests));
  hosts_stop (&hosts);
  return status;
}
