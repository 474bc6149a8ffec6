#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "hosts.h"
#include "suite.h"

/* Jobs from submission to completion with real processes, while processes are killed, stopped or
 * frozen and the store fails. The simulated platform counts tasks that run twice at a time or again
 * after they were done. */

enum
{
  PORT_BLOCK = 93,
  JOB_COUNT = 12,
  /* The deadline that hosts_call sends. */
  DEADLINE_MS = 3000,
  SHORT_DEADLINE_MS = 300,
  RETRY_BEGUN_MS = 350,
  COMPLETION_LIMIT_MS = 20000,
  ELECTION_LIMIT_MS = 8000,
  /* Time for a resumed process to notice that it was frozen; the deployments grant it (thaw_ms). */
  UNFREEZE_MS = 300,
};

#define TWO_STEP_JOB                                                                               \
  "{\"spec\":\"s\",\"steps\":[{\"count\":3,\"cpu\":1000,\"mem_mb\":500,\"estimate_ms\":500},"      \
  "{\"count\":2,\"cpu\":1000,\"mem_mb\":500,\"estimate_ms\":500,\"depends_on\":[0]}]}"
#define LONG_RUNNING_JOB                                                                           \
  "{\"spec\":\"lasts\",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem_mb\":500,\"long_running\":true," \
  "\"anti_affinity\":1,\"may_miss\":1}]}"

static struct hosts hosts;
static unsigned next_id = 1;

/* Returns a job id that has not been used; free with g_free. */
static char *
next_job_id (void)
{
  return g_strdup_printf ("%016x", next_id++);
}

/* Submits a job, and retries at the next host after each failure, as callers do. */
static bool
submit (const char *id, const char *body, unsigned first_host)
{
  g_autofree char *path = g_strdup_printf ("/one/%s", id);

  for (unsigned try = 0; try < 2 * HOSTS; try++)
    {
      if (hosts_call (&hosts, (first_host + try) % HOSTS, "POST", path, body, NULL) == 200)
        return true;
      test_sleep_ms (200);
    }
  return false;
}

/* Submits several jobs, spread over the hosts. */
static void
submit_jobs (char **ids, unsigned n)
{
  for (unsigned i = 0; i < n; i++)
    {
      ids[i] = next_job_id ();
      CU_ASSERT_TRUE (submit (ids[i], TWO_STEP_JOB, i));
    }
}

/* Waits until a host that is up reports all jobs as completed, and frees their ids. */
static void
wait_jobs (char **ids, unsigned n, unsigned host)
{
  for (unsigned i = 0; i < n; i++)
    {
      CU_ASSERT_TRUE (
          hosts_wait_job_state (&hosts, host, ids[i], "completed", COMPLETION_LIMIT_MS));
      g_free (ids[i]);
    }
}

/* Checks the platform's counts of tasks that ran twice at a time and of tasks that were started
 * again after they were done. */
static void
check_no_task_ran_twice (void)
{
  CU_ASSERT_EQUAL (hosts_report_count (&hosts, "doubled"), 0);
  CU_ASSERT_EQUAL (hosts_report_count (&hosts, "after_done"), 0);
}

/* A job accepted by one host completes, and every host reports its state. Submitting it again at
 * another host doesn't run it again. */
static void
test_job_completes (void)
{
  g_autofree char *id = next_job_id ();

  CU_ASSERT_TRUE (submit (id, TWO_STEP_JOB, 0));
  CU_ASSERT_TRUE (submit (id, TWO_STEP_JOB, 1));
  for (unsigned n = 0; n < HOSTS; n++)
    CU_ASSERT_TRUE (hosts_wait_job_state (&hosts, n, id, "completed", COMPLETION_LIMIT_MS));
  CU_ASSERT_EQUAL (hosts_report_count (&hosts, "starts"), 5);
  check_no_task_ran_twice ();
}

/* Guards against 400 for a job that another host has just accepted, when it comes again with a body
 * that is refused by now. */
static void
test_accepted_is_not_refused (void)
{
  for (unsigned i = 0; i < JOB_COUNT; i++)
    {
      g_autofree char *id = next_job_id ();
      g_autofree char *path = g_strdup_printf ("/one/%s", id);

      CU_ASSERT_TRUE (submit (id, TWO_STEP_JOB, 0));
      CU_ASSERT_EQUAL (hosts_call (&hosts, 1, "POST", path, "{\"steps\":[]}", NULL), 200);
      CU_ASSERT_TRUE (hosts_wait_job_state (&hosts, 1, id, "completed", COMPLETION_LIMIT_MS));
    }
}

/* Invalid requests and unknown queues and jobs get the right status. */
static void
test_statuses (void)
{
  static const struct
  {
    const char *method;
    const char *path;
    const char *body;
    int status;
  } cases[] = {
    { "POST", "/none/00000000000000aa", TWO_STEP_JOB, 404 },
    { "POST", "/one/xyz", TWO_STEP_JOB, 400 },
    { "POST", "/one/00000000000000ab", "{", 400 },
    { "POST", "/one/00000000000000ac", "{\"spec\":\"s\",\"steps\":[]}", 400 },
    { "POST", "/one/00000000000000ad",
      "{\"spec\":\"s\",\"steps\":[{\"count\":1,\"depends_on\":[0]}]}", 400 },
    { "GET", "/one/00000000000000ae", NULL, 410 },
    { "DELETE", "/one/00000000000000af", NULL, 410 },
    { "GET", "/one/", NULL, 200 },
    { "PUT", "/one/00000000000000aa", "{}", 405 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int status =
          hosts_call (&hosts, i % HOSTS, cases[i].method, cases[i].path, cases[i].body, NULL);

      if (status != cases[i].status)
        printf ("%s %s returned %d ", cases[i].method, cases[i].path, status);
      CU_ASSERT_EQUAL (status, cases[i].status);
    }
}

/* A long-running job runs until it is cancelled. */
static void
test_long_running (void)
{
  g_autofree char *id = next_job_id ();
  g_autofree char *path = g_strdup_printf ("/one/%s", id);

  CU_ASSERT_TRUE (submit (id, LONG_RUNNING_JOB, 0));
  CU_ASSERT_TRUE (hosts_wait_job_state (&hosts, 1, id, "running", COMPLETION_LIMIT_MS));
  CU_ASSERT_EQUAL (hosts_call (&hosts, 2, "DELETE", path, NULL, NULL), 200);
  CU_ASSERT_TRUE (hosts_wait_job_state (&hosts, 0, id, "cancelled", COMPLETION_LIMIT_MS));
  check_no_task_ran_twice ();
}

/* "explain" gathers what happened to a job from all hosts: the host that accepted it and the leader
 * that ran it. */
static void
test_explain (void)
{
  g_autofree char *id = next_job_id ();
  g_autofree char *accepted = g_strdup_printf ("event=\"record durable\" job=%s", id);
  g_autofree char *started = g_strdup_printf ("event=\"start\" task=%s.0.0.0", id);
  g_autofree char *ended = g_strdup_printf ("event=\"attempt ended\" task=%s.0.1.1", id);
  g_autofree char *text = NULL;
  g_autofree char *json = NULL;
  g_autofree char *jobs = NULL;
  json_t *tree;

  CU_ASSERT_TRUE (submit (id, TWO_STEP_JOB, 1));
  CU_ASSERT_TRUE (hosts_wait_job_state (&hosts, 0, id, "completed", COMPLETION_LIMIT_MS));
  CU_ASSERT_EQUAL (hosts_run_command (&hosts, NULL, "explain", id, &text), 0);
  SUITE_REQUIRE (text != NULL);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, ": completed, queue jobs.example/one/, pool one, 5 of 5"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, accepted));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, started));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, ended));
  CU_ASSERT (strstr (text, accepted) < strstr (text, ended));
  CU_ASSERT_EQUAL (hosts_run_command (&hosts, "--output=json", "explain", id, &json), 0);
  tree = json_loads (json ? json : "", 0, NULL);
  CU_ASSERT_EQUAL (json_array_size (tree), HOSTS);
  json_decref (tree);
  CU_ASSERT_EQUAL (hosts_run_command (&hosts, NULL, "jobs", NULL, &jobs), 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (jobs ? jobs : "", "queue jobs.example/one/"));
  CU_ASSERT_EQUAL (hosts_run_command (&hosts, NULL, "explain", "00000000000000fe", NULL), 1);
}

/* The leader is killed: another host takes over, and each accepted job runs once. */
static void
test_leader_killed (void)
{
  char *ids[JOB_COUNT];
  int leader = hosts_wait_leader (&hosts, ELECTION_LIMIT_MS);

  SUITE_REQUIRE (leader >= 0);
  submit_jobs (ids, JOB_COUNT);
  process_destroy (hosts.jobds[leader]);
  hosts_start_jobd (&hosts, (unsigned) leader);
  wait_jobs (ids, JOB_COUNT, ((unsigned) leader + 1) % HOSTS);
  CU_ASSERT_TRUE (hosts_wait_ready (&hosts, (unsigned) leader, 0));
  check_no_task_ran_twice ();
}

/* Each host is killed and restarted with the same seed. If its journal appends used the same
 * producer name and sequence numbers as before, the store would take them for repetitions and lose
 * the jobs. */
static void
test_host_restarted (void)
{
  char *ids[2 * HOSTS];

  for (unsigned host = 0; host < HOSTS; host++)
    {
      ids[2 * host] = next_job_id ();
      ids[2 * host + 1] = next_job_id ();
      CU_ASSERT_TRUE (submit (ids[2 * host], TWO_STEP_JOB, host));
      process_destroy (hosts.jobds[host]);
      hosts_start_jobd (&hosts, host);
      CU_ASSERT_TRUE (hosts_wait_ready (&hosts, host, 0));
      CU_ASSERT_TRUE (submit (ids[2 * host + 1], TWO_STEP_JOB, host));
    }
  wait_jobs (ids, 2 * HOSTS, 0);
  check_no_task_ran_twice ();
}

/* The leader is frozen for 3 s, long enough for another host to lead, then continues. Its outdated
 * state must not make a task run twice. */
static void
test_leader_frozen (void)
{
  char *ids[JOB_COUNT];
  int leader = hosts_wait_leader (&hosts, ELECTION_LIMIT_MS);

  SUITE_REQUIRE (leader >= 0);
  submit_jobs (ids, JOB_COUNT);
  process_signal (hosts.jobds[leader], SIGSTOP);
  test_sleep_ms (3000);
  process_signal (hosts.jobds[leader], SIGCONT);
  test_sleep_ms (UNFREEZE_MS);
  wait_jobs (ids, JOB_COUNT, ((unsigned) leader + 1) % HOSTS);
  CU_ASSERT_NOT_EQUAL (hosts_wait_leader (&hosts, ELECTION_LIMIT_MS), leader);
  check_no_task_ran_twice ();
}

/* The leader is stopped with SIGTERM: it resigns, and another host takes over at once. */
static void
test_leader_stopped (void)
{
  char *ids[JOB_COUNT];
  int leader = hosts_wait_leader (&hosts, ELECTION_LIMIT_MS);

  SUITE_REQUIRE (leader >= 0);
  submit_jobs (ids, JOB_COUNT);
  process_signal (hosts.jobds[leader], SIGTERM);
  CU_ASSERT_EQUAL (process_wait (hosts.jobds[leader], 6000), 0);
  hosts_start_jobd (&hosts, (unsigned) leader);
  wait_jobs (ids, JOB_COUNT, ((unsigned) leader + 1) % HOSTS);
  CU_ASSERT_TRUE (hosts_wait_ready (&hosts, (unsigned) leader, 0));
  check_no_task_ran_twice ();
}

/* Guards against a refusal that says a job was not stored while an earlier request for it may still
 * be (issue 24): the store doesn't respond, and the caller repeats its request. */
static void
test_repeated_while_unknown (void)
{
  g_autofree char *id = next_job_id ();
  g_autofree char *path = g_strdup_printf ("/one/%s", id);

  hosts_post (&hosts, "/faults", "{\"store\":\"silent\"}");
  CU_ASSERT_EQUAL (hosts_call (&hosts, 0, "POST", path, TWO_STEP_JOB, NULL), 504);
  CU_ASSERT_EQUAL (hosts_call (&hosts, 0, "POST", path, TWO_STEP_JOB, NULL), 504);
  hosts_post (&hosts, "/faults", "{\"store\":\"up\"}");
  CU_ASSERT_TRUE (hosts_wait_job_state (&hosts, 1, id, "completed", COMPLETION_LIMIT_MS));
  check_no_task_ran_twice ();
}

/* The same for a request that is repeated before the first append counts as stuck: its record waits
 * behind the first one and is refused with it. */
static void
test_repeated_while_waiting (void)
{
  g_autofree char *id = next_job_id ();
  g_autofree char *path = g_strdup_printf ("/one/%s", id);

  hosts_post (&hosts, "/faults", "{\"store\":\"silent\"}");
  CU_ASSERT_EQUAL (
      hosts_call_within (&hosts, 0, "POST", path, TWO_STEP_JOB, SHORT_DEADLINE_MS, NULL), 504);
  CU_ASSERT_EQUAL (hosts_call (&hosts, 0, "POST", path, TWO_STEP_JOB, NULL), 504);
  hosts_post (&hosts, "/faults", "{\"store\":\"up\"}");
  CU_ASSERT_TRUE (hosts_wait_job_state (&hosts, 1, id, "completed", COMPLETION_LIMIT_MS));
  check_no_task_ran_twice ();
}

/* Guards against 504 for a job that was certainly not stored, and against one that is stored after
 * its refusal: its record waits behind the retry of another one's append until its deadline. */
static void
test_withdrawn_at_deadline (void)
{
  g_autofree char *stored = next_job_id ();
  g_autofree char *refused = next_job_id ();
  g_autofree char *stored_path = g_strdup_printf ("/one/%s", stored);
  g_autofree char *refused_path = g_strdup_printf ("/one/%s", refused);

  hosts_post (&hosts, "/faults", "{\"store\":\"silent\"}");
  CU_ASSERT_EQUAL (
      hosts_call_within (&hosts, 0, "POST", stored_path, TWO_STEP_JOB, SHORT_DEADLINE_MS, NULL),
      504);
  /* The first try of the append ends 500 ms after its begin. */
  test_sleep_ms (RETRY_BEGUN_MS);
  CU_ASSERT_EQUAL (
      hosts_call_within (&hosts, 0, "POST", refused_path, TWO_STEP_JOB, SHORT_DEADLINE_MS, NULL),
      503);
  hosts_post (&hosts, "/faults", "{\"store\":\"up\"}");
  CU_ASSERT_TRUE (hosts_wait_job_state (&hosts, 1, stored, "completed", COMPLETION_LIMIT_MS));
  test_sleep_ms (RETRY_BEGUN_MS);
  CU_ASSERT_EQUAL (hosts_call (&hosts, 1, "GET", refused_path, NULL, NULL), 410);
  check_no_task_ran_twice ();
}

/* Guards against a job that runs after its cancellation was answered with "no such job": the store
 * responds to reads only, the host's append of the job is open, and its caller cancels it. */
static void
test_cancelled_while_unknown (void)
{
  g_autofree char *id = next_job_id ();
  g_autofree char *path = g_strdup_printf ("/one/%s", id);

  hosts_post (&hosts, "/faults", "{\"store\":\"deaf\"}");
  CU_ASSERT_EQUAL (
      hosts_call_within (&hosts, 0, "POST", path, TWO_STEP_JOB, SHORT_DEADLINE_MS, NULL), 504);
  CU_ASSERT_EQUAL (hosts_call (&hosts, 0, "DELETE", path, NULL, NULL), 504);
  hosts_post (&hosts, "/faults", "{\"store\":\"up\"}");
  CU_ASSERT_TRUE (hosts_wait_job_state (&hosts, 1, id, "completed", COMPLETION_LIMIT_MS));
  check_no_task_ran_twice ();
}

/* The store rejects calls, then doesn't respond. Accepted jobs complete, a job that was not stored
 * isn't confirmed, and a host that can't accept jobs isn't ready. */
static void
test_store_unavailable (void)
{
  static const char *const conditions[] = { "{\"store\":\"busy\"}", "{\"store\":\"silent\"}" };

  for (size_t i = 0; i < G_N_ELEMENTS (conditions); i++)
    {
      char *ids[JOB_COUNT];
      g_autofree char *refused = next_job_id ();
      g_autofree char *path = g_strdup_printf ("/one/%s", refused);
      int status;

      submit_jobs (ids, JOB_COUNT);
      hosts_post (&hosts, "/faults", conditions[i]);
      status = hosts_call (&hosts, 0, "POST", path, TWO_STEP_JOB, NULL);
      CU_ASSERT (status == 503 || status == 504);
      test_sleep_ms (3000);
      CU_ASSERT_FALSE (hosts_wait_ready (&hosts, 1, 100));
      hosts_post (&hosts, "/faults", "{\"store\":\"up\"}");
      wait_jobs (ids, JOB_COUNT, 0);
      for (unsigned n = 0; n < HOSTS; n++)
        CU_ASSERT_TRUE (hosts_wait_ready (&hosts, n, 0));
      check_no_task_ran_twice ();
    }
}

/* The store carries out appends, but the responses are lost. A host finds its own record in the
 * journal and answers its caller long before the deadline. */
static void
test_responses_lost (void)
{
  g_autofree char *id = next_job_id ();
  g_autofree char *path = g_strdup_printf ("/one/%s", id);
  int64_t begun_ms;

  hosts_post (&hosts, "/faults", "{\"store\":\"mute\"}");
  begun_ms = test_now_ms ();
  CU_ASSERT_EQUAL (hosts_call (&hosts, 1, "POST", path, TWO_STEP_JOB, NULL), 200);
  CU_ASSERT (test_now_ms () - begun_ms < DEADLINE_MS / 2);
  CU_ASSERT_EQUAL (hosts_call (&hosts, 2, "DELETE", path, NULL, NULL), 200);
  hosts_post (&hosts, "/faults", "{\"store\":\"up\"}");
  CU_ASSERT_TRUE (hosts_wait_job_state (&hosts, 0, id, "cancelled", COMPLETION_LIMIT_MS));
  for (unsigned n = 0; n < HOSTS; n++)
    CU_ASSERT_TRUE (hosts_wait_ready (&hosts, n, 0));
  check_no_task_ran_twice ();
}

/* Two endpoints become unreachable with the tasks that run there. The tasks run elsewhere, and
 * never in two places at a time. */
static void
test_endpoints_unreachable (void)
{
  char *ids[JOB_COUNT];

  submit_jobs (ids, JOB_COUNT);
  hosts_post (&hosts, "/faults", "{\"dark\":\"m-0\"}");
  hosts_post (&hosts, "/faults", "{\"dark\":\"m-1\"}");
  wait_jobs (ids, JOB_COUNT, 0);
  hosts_post (&hosts, "/faults", "{\"light\":\"m-0\"}");
  hosts_post (&hosts, "/faults", "{\"light\":\"m-1\"}");
  check_no_task_ran_twice ();
}

/* A wave of maintenance completes within its limit of hosts at a time while jobs run, and its
 * operator sees the state. */
static void
test_wave (void)
{
  char *ids[JOB_COUNT];

  hosts_post (&hosts, "/operator",
              "{\"key\":\"wave/1\",\"value\":{\"wave\":1,\"machines\":[\"m-0\",\"m-1\",\"m-5\","
              "\"m-8\"],\"duration_s\":20,\"cap\":2}}");
  submit_jobs (ids, JOB_COUNT);
  CU_ASSERT_TRUE (hosts_wait_status (&hosts, "wave/1", "completed", COMPLETION_LIMIT_MS));
  wait_jobs (ids, JOB_COUNT, 0);
  CU_ASSERT_EQUAL (hosts_report_count (&hosts, "upkeeps"), 4);
  CU_ASSERT (hosts_report_count (&hosts, "most_in_upkeep") <= 2);
  check_no_task_ran_twice ();
}

static const struct suite_test tests[] = {
  { "calm", test_job_completes },
  { "accepted is not refused", test_accepted_is_not_refused },
  { "answers", test_statuses },
  { "lasting", test_long_running },
  { "explained", test_explain },
  { "leader killed", test_leader_killed },
  { "host restarted", test_host_restarted },
  { "leader frozen", test_leader_frozen },
  { "leader stopped", test_leader_stopped },
  { "repeated while unknown", test_repeated_while_unknown },
  { "repeated while waiting", test_repeated_while_waiting },
  { "withdrawn at the deadline", test_withdrawn_at_deadline },
  { "cancelled while unknown", test_cancelled_while_unknown },
  { "store away", test_store_unavailable },
  { "answers lost", test_responses_lost },
  { "endpoint dark", test_endpoints_unreachable },
  { "wave", test_wave },
};

int
main (void)
{
  int code;

  hosts_start (&hosts, PORT_BLOCK);
  for (unsigned n = 0; n < HOSTS; n++)
    hosts_wait_ready (&hosts, n, 0);
  code = suite_run ("jobd", tests, sizeof tests / sizeof tests[0]);
  hosts_stop (&hosts);
  return code;
}
