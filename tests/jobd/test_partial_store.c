#include <glib.h>
#include <signal.h>

#include "hosts.h"
#include "suite.h"

/* A store that serves some calls of a host and refuses others, with real processes. */

enum
{
  PORT_BLOCK = 99,
  ELECTION_LIMIT_MS = 10000,
  EXIT_LIMIT_MS = 8000,
  COMPLETION_LIMIT_MS = 15000,
};

#define JOB                                                                                        \
  "{\"spec\":\"s\",\"steps\":[{\"count\":3,\"cpu\":1000,\"mem_mb\":500,\"estimate_ms\":500}]}"

static struct hosts hosts;

/* Makes the first host lead: the others are stopped and started again. */
static void
make_first_host_lead (void)
{
  for (unsigned n = 1; n < HOSTS; n++)
    process_signal (hosts.jobds[n], SIGTERM);
  for (unsigned n = 1; n < HOSTS; n++)
    {
      CU_ASSERT_EQUAL (process_wait (hosts.jobds[n], EXIT_LIMIT_MS), 0);
    }
  CU_ASSERT_EQUAL (hosts_wait_leader (&hosts, ELECTION_LIMIT_MS), 0);
  for (unsigned n = 1; n < HOSTS; n++)
    hosts_start_jobd (&hosts, n);
  for (unsigned n = 0; n < HOSTS; n++)
    CU_ASSERT_TRUE (hosts_wait_ready (&hosts, n, 0));
  CU_ASSERT_EQUAL (hosts_leader (&hosts), 0);
}

/* The leader's appends are carried out, but all its reads are refused: it learns of no new job.
 * While its heartbeats told the others that all is well, a job accepted by them never started. */
static void
test_leader_cannot_read (void)
{
  const char *id = "0000000000000001";

  make_first_host_lead ();
  hosts_post (&hosts, "/faults", "{\"second_reads\":\"refused\"}");
  test_sleep_ms (1000);
  CU_ASSERT_EQUAL (hosts_call (&hosts, 1, "POST", "/one/0000000000000001", JOB, NULL), 200);
  CU_ASSERT_TRUE (hosts_wait_job_state (&hosts, 1, id, "completed", COMPLETION_LIMIT_MS));
  hosts_post (&hosts, "/faults", "{\"second_reads\":\"up\"}");
  CU_ASSERT_TRUE (hosts_wait_ready (&hosts, 0, 0));
  CU_ASSERT_TRUE (hosts_wait_job_state (&hosts, 0, id, "completed", COMPLETION_LIMIT_MS));
  CU_ASSERT_EQUAL (hosts_report_count (&hosts, "doubled"), 0);
  CU_ASSERT_EQUAL (hosts_report_count (&hosts, "after_done"), 0);
}

static const struct suite_test tests[] = {
  { "leader cannot read", test_leader_cannot_read },
};

int
main (void)
{
  int code;

  hosts.first_uses_second_store_port = true;
  hosts_start (&hosts, PORT_BLOCK);
  for (unsigned n = 0; n < HOSTS; n++)
    hosts_wait_ready (&hosts, n, 0);
  code = suite_run ("partial_store", tests, sizeof tests / sizeof tests[0]);
  hosts_stop (&hosts);
  return code;
}
