#include "job_crowds.h"

#include <stdlib.h>
#include <string.h>

#include "suite.h"

enum
{
  PORT_BLOCK = 104,
  LEADER_LIMIT_MS = 15000,
  /* Less than the 60 s after which an idle connection is closed. */
  ORDINARY_LIMIT_MS = 30000,
  RETRY_MS = 200,
};

#define ORDINARY_JOB "{\"spec\":\"s\",\"steps\":[{\"count\":1,\"cpu\":100,\"mem_mb\":10}]}"

void
job_crowds_start (struct job_crowds *crowds)
{
  static const char *const flags[] = { "--caller-connection-limit=500", MACHINE_MEMORY_FLAG, NULL };
  int leader;

  G_STATIC_ASSERT (MACHINE_CALLER_CONNECTIONS == 500);
  memset (crowds, 0, sizeof *crowds);
  crowds->hosts.flags = flags;
  hosts_start (&crowds->hosts, PORT_BLOCK);
  for (unsigned n = 0; n < HOSTS; n++)
    SUITE_REQUIRE (hosts_wait_ready (&crowds->hosts, n, 0));
  leader = hosts_wait_leader (&crowds->hosts, LEADER_LIMIT_MS);
  SUITE_REQUIRE (leader >= 0);
  crowds->leader = (unsigned) leader;
}

void
job_crowds_stop (struct job_crowds *crowds)
{
  hosts_stop (&crowds->hosts);
}

struct crowd *
job_crowds_create (const struct job_crowds *crowds, const struct crowd_config *config)
{
  struct crowd_config copy = *config;

  if (copy.port == 0)
    copy.port = hosts_caller_port (&crowds->hosts, crowds->leader);
  return crowd_create (&copy, crowds->hosts.jobds[crowds->leader]->pid);
}

bool
job_crowds_serve_ordinary (struct job_crowds *crowds)
{
  g_autofree char *path = g_strdup_printf ("/one/abcdef%010x", ++crowds->n_jobs);
  int64_t end_ms = test_now_ms () + ORDINARY_LIMIT_MS;

  while (test_now_ms () < end_ms)
    {
      if (hosts_call (&crowds->hosts, crowds->leader, "POST", path, ORDINARY_JOB, NULL) == 200)
        return true;
      test_sleep_ms (RETRY_MS);
    }
  return false;
}

void
job_crowds_check (struct job_crowds *crowds, struct crowd *crowd)
{
  struct crowd_usage usage;

  CU_ASSERT (job_crowds_serve_ordinary (crowds));
  usage = crowd_destroy (crowd);
  CU_ASSERT (process_is_running (crowds->hosts.jobds[crowds->leader]));
  machine_check_usage (&usage);
  CU_ASSERT (job_crowds_serve_ordinary (crowds));
}

void
job_crowds_play (const struct crowd_config *config, const char *store)
{
  g_autofree char *away = g_strdup_printf ("{\"store\":\"%s\"}", store);
  struct job_crowds crowds;
  struct crowd *crowd;

  job_crowds_start (&crowds);
  hosts_set_faults (&crowds.hosts, away);
  crowd = job_crowds_create (&crowds, config);
  crowd_settle (crowd);
  hosts_set_faults (&crowds.hosts, "{\"store\":\"up\"}");
  job_crowds_check (&crowds, crowd);
  job_crowds_stop (&crowds);
}
