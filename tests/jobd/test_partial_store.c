#include <glib.h>
#include <signal.h>

#include "hosts.h"
#include "suite.h"

/* A store that serves some calls of a host and refuses others, with real processes. */

enum
{
  PORT_BLOCK = 98,
  ELECTION_LIMIT_MS = 10000,
  EXIT_LIMIT_MS = 8000,
  COMPLETION_LIMIT_MS = 15000,
  /* Jobs that are together larger than a response to a read, 1 MiB. */
  JOBS_BEHIND = 300,
  SPEC_BYTES = 4000,
  FIRST_ID_BEHIND = 0x100,
  TRIES_BEHIND = 200,
};

#define JOB                                                                                        \
  "{\"spec\":\"s\",\"steps\":[{\"count\":3,\"cpu\":1000,\"mem_mb\":500,\"estimate_ms\":500}]}"

/* No endpoint has the label that it requires. */
#define JOB_NEVER_STARTED                                                                          \
  "{\"spec\":\"%s\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":500,\"requires\":\"none\"}]}"

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

static bool
first_host_follows (void *ctx)
{
  (void) ctx;
  return hosts_leader (&hosts) > 0;
}

/* A host's reads were refused while more was written to the journal than one response holds. Asked
 * for the newest job as soon as it can read again, it may say that it doesn't know yet (503), but
 * not that there is no such job. */
static void
test_host_far_behind (void)
{
  g_autofree char *spec = g_strnfill (SPEC_BYTES, 's');
  g_autofree char *job = g_strdup_printf (JOB_NEVER_STARTED, spec);
  g_autofree char *path = NULL;
  int status = 0;

  CU_ASSERT_TRUE (test_wait (first_host_follows, NULL, ELECTION_LIMIT_MS));
  hosts_post (&hosts, "/faults", "{\"second_reads\":\"refused\"}");
  test_sleep_ms (1000);
  for (unsigned i = 0; i < JOBS_BEHIND; i++)
    {
      g_free (path);
      path = g_strdup_printf ("/one/%016x", FIRST_ID_BEHIND + i);
      CU_ASSERT_EQUAL (hosts_call (&hosts, 1, "POST", path, job, NULL), 200);
    }
  hosts_post (&hosts, "/faults", "{\"second_reads\":\"up\"}");
  for (unsigned try = 0; try < TRIES_BEHIND && status != 200; try++)
    {
      status = hosts_call (&hosts, 0, "GET", path, NULL, NULL);
      CU_ASSERT (status == 200 || status == 503);
      test_sleep_ms (20);
    }
  CU_ASSERT_EQUAL (status, 200);
}

static const struct suite_test tests[] = {
  { "leader cannot read", test_leader_cannot_read },
  { "host far behind", test_host_far_behind },
};

int
main (void)
{
  int code;

  hosts.first_store_port_offset = SECOND_STORE_PORT;
  hosts_start (&hosts, PORT_BLOCK);
  for (unsigned n = 0; n < HOSTS; n++)
    hosts_wait_ready (&hosts, n, 0);
  code = suite_run ("partial_store", tests, sizeof tests / sizeof tests[0]);
  hosts_stop (&hosts);
  return code;
}
