#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "hosts.h"
#include "suite.h"

/* Appends whose fate stays open: what callers are told of the same job meanwhile, and what becomes
 * of them once the store responds again. The first host reaches the store through a port on which
 * bytes can be held back. */

enum
{
  PORT_BLOCK = 92,
  /* Ports of the fault injector, after those of the hosts. */
  FIRST_FAULT_PORT_OFFSET = 90,
  STATUS_MS = 1000,
  COMPLETION_LIMIT_MS = 20000,
  /* Ended jobs are deleted after twice the time for which they are kept, and looked for every 5
   * s. */
  DELETION_LIMIT_MS = 15000,
  POLL_INTERVAL_MS = 100,
  /* Time in which a host that reaches the store again has appended, and a job is started. */
  SETTLED_MS = 6000,
};

#define JOB                                                                                        \
  "{\"spec\":\"s\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":500,\"estimate_ms\":100}]}"

static struct hosts hosts = { .status_ms = STATUS_MS };

/* Returns the port at which the first host reaches the store. The fault injector's own port is the
 * next one. */
static unsigned
fault_port (void)
{
  return process_port_block (PORT_BLOCK) + FIRST_FAULT_PORT_OFFSET;
}

/* Sets the mode of the first host's port to the store. */
static void
set_store_port (const char *mode)
{
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%u/standin/faults", fault_port () + 1U);
  g_autofree char *body = g_strdup_printf ("{\"mode\":\"%s\"}", mode);
  struct fetched fetched;

  fetch (&fetched, "POST", url, NULL, body, 2000);
  CU_ASSERT_EQUAL (fetched.status, 200);
  fetched_clear (&fetched);
}

/* Guards against a job that runs again after it was completed and deleted: a host that didn't reach
 * the store appends its definition, which another host accepted meanwhile. */
static void
test_appended_after_deletion (void)
{
  static const char path[] = "/one/00000000000000c2";
  int64_t end_ms;
  int64_t starts;
  int status = 200;

  CU_ASSERT_TRUE (hosts_wait_ready (&hosts, 0, 0));
  set_store_port ("freeze");
  CU_ASSERT_EQUAL (hosts_call (&hosts, 0, "POST", path, JOB, NULL), 504);
  CU_ASSERT_EQUAL (hosts_call (&hosts, 1, "POST", path, JOB, NULL), 200);
  CU_ASSERT_TRUE (
      hosts_wait_job_state (&hosts, 1, "00000000000000c2", "completed", COMPLETION_LIMIT_MS));
  end_ms = test_now_ms () + DELETION_LIMIT_MS;
  while (status == 200 && test_now_ms () < end_ms)
    {
      test_sleep_ms (POLL_INTERVAL_MS);
      status = hosts_call (&hosts, 1, "GET", path, NULL, NULL);
    }
  CU_ASSERT_EQUAL (status, 410);
  starts = hosts_report_count (&hosts, "starts");
  set_store_port ("none");
  test_sleep_ms (SETTLED_MS);
  CU_ASSERT_EQUAL (hosts_report_count (&hosts, "starts"), starts);
}

static const struct suite_test tests[] = {
  { "appended after deletion", test_appended_after_deletion },
};

int
main (void)
{
  char forward[64];
  char admin[32];
  int code;

  hosts.first_store_port_offset = FIRST_FAULT_PORT_OFFSET;
  snprintf (forward, sizeof forward, "--forward=%u=127.0.0.1:%u", fault_port (),
            process_port_block (PORT_BLOCK));
  snprintf (admin, sizeof admin, "--admin-port=%u", fault_port () + 1U);
  process_create ("faults", "standin/standin-faults", (const char *[]){ forward, admin, NULL });
  hosts_start (&hosts, PORT_BLOCK);
  for (unsigned n = 0; n < HOSTS; n++)
    hosts_wait_ready (&hosts, n, 0);
  code = suite_run ("unsettled", tests, sizeof tests / sizeof tests[0]);
  hosts_stop (&hosts);
  return code;
}
