#include <signal.h>

#include "job_crowds.h"
#include "suite.h"

/* Connections that are used up. */

enum
{
  CLIENTS = 2500 / 4,
  /* More than the admin port accepts at once. */
  ADMIN_CLIENTS = 100,
  /* While a crowd comes and goes. */
  ORDINARY_REQUESTS = 20,
  READY_LIMIT_MS = 20000,
  /* More than the grace period of 6 s. */
  STOP_LIMIT_MS = 30000,
};

#define HEADERS "Host: jobs.example\r\n"

/* Guards against clients that send nothing and keep all connections. */
static void
test_silent (void)
{
  job_crowds_play (&(struct crowd_config){ .n_clients = CLIENTS }, "up");
}

/* The same with a head that doesn't end. */
static void
test_heads (void)
{
  job_crowds_play (
      &(struct crowd_config){
          .n_clients = CLIENTS, .method = "POST", .path = "/one/", .headers = HEADERS },
      "up");
}

/* The crowd connects again as soon as its connections are closed. */
static void
test_reconnecting (void)
{
  struct job_crowds crowds;
  struct crowd *crowd;
  bool served = true;

  job_crowds_start (&crowds);
  crowd = job_crowds_create (&crowds,
                             &(struct crowd_config){ .n_clients = CLIENTS, .reconnects = true });
  for (unsigned i = 0; i < ORDINARY_REQUESTS && served; i++)
    served = job_crowds_serve_ordinary (&crowds);
  CU_ASSERT (served);
  job_crowds_check (&crowds, crowd);
  job_crowds_stop (&crowds);
}

/* Readiness is asked at the admin port. */
static void
test_admin_port (void)
{
  struct job_crowds crowds;
  struct crowd *crowd;

  job_crowds_start (&crowds);
  crowd = job_crowds_create (
      &crowds,
      &(struct crowd_config){ .n_clients = ADMIN_CLIENTS,
                              .port = hosts_caller_port (&crowds.hosts, crowds.leader) + 1 });
  crowd_settle (crowd);
  CU_ASSERT (hosts_wait_ready (&crowds.hosts, crowds.leader, READY_LIMIT_MS));
  job_crowds_check (&crowds, crowd);
  job_crowds_stop (&crowds);
}

/* A planned stop ends beside a crowd that keeps all connections and opens others. */
static void
test_stop (void)
{
  struct job_crowds crowds;
  struct process *host;
  struct crowd *crowd;
  struct crowd_usage usage;

  job_crowds_start (&crowds);
  host = crowds.hosts.jobds[crowds.leader];
  crowd = job_crowds_create (&crowds, &(struct crowd_config){ .n_clients = CLIENTS,
                                                              .method = "POST",
                                                              .path = "/one/",
                                                              .headers = HEADERS,
                                                              .reconnects = true });
  test_sleep_ms (1000);
  process_signal (host, SIGTERM);
  CU_ASSERT_EQUAL (process_wait (host, STOP_LIMIT_MS), 0);
  usage = crowd_destroy (crowd);
  machine_check_usage (&usage);
  job_crowds_stop (&crowds);
}

static const struct suite_test tests[] = {
  { "silent", test_silent },         { "heads", test_heads }, { "reconnecting", test_reconnecting },
  { "admin port", test_admin_port }, { "stop", test_stop },
};

int
main (void)
{
  return suite_run ("crowd_connections", tests, sizeof tests / sizeof tests[0]);
}
