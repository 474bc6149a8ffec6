#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "hosts.h"
#include "suite.h"

/* A leader, or all hosts, without the store, with real processes: no task has two attempts at once,
 * and as long as the hosts reach each other no attempt is lost. The simulated platform counts the
 * starts of tasks that run already. */

enum
{
  PORT_BLOCK = 89,
  ELECTION_LIMIT_MS = 15000,
  START_LIMIT_MS = 15000,
  COMPLETION_LIMIT_MS = 15000,
  /* How long a leader is on its island: several times what a successor waits for its leases. */
  ISLAND_MS = 15000,
  STORE_AWAY_MS = 9000,
  /* How long a leader stays alone before a case begins, and after it took over. */
  SETTLED_MS = 1500,
  POLL_MS = 100,
  CALM_MS = 500,
  /* Tasks of each job that is submitted for a case, and the machines of the simulated platform. */
  TASKS = 4,
  MACHINES = 10,
};

/* Columns of the rows of running attempts. */
enum
{
  COLUMN_TASK,
  COLUMN_ATTEMPT,
  COLUMN_MACHINE,
};

#define LONG_RUNNING_JOB                                                                           \
  "{\"spec\":\"lasts\",\"steps\":[{\"count\":4,\"cpu\":100,\"mem_mb\":50,\"long_running\":true}]}"
#define BATCH_JOB                                                                                  \
  "{\"spec\":\"takes 30000\",\"steps\":[{\"count\":4,\"cpu\":1000,\"mem_mb\":500,"                 \
  "\"estimate_ms\":30000}]}"
#define TWO_STEP_JOB                                                                               \
  "{\"spec\":\"takes 5000\",\"steps\":["                                                           \
  "{\"count\":1,\"cpu\":1000,\"mem_mb\":500,\"estimate_ms\":5000},"                                \
  "{\"count\":1,\"cpu\":1000,\"mem_mb\":500,\"estimate_ms\":5000,\"depends_on\":[0]}]}"
#define SHORT_JOB                                                                                  \
  "{\"spec\":\"takes 100\",\"steps\":[{\"count\":1,\"cpu\":100,\"mem_mb\":50,"                     \
  "\"estimate_ms\":100}]}"

static struct hosts hosts = { .relays = true, .separable = true, .relay_endpoints_min = 100 };
static unsigned next_id = 1;

/* What a case begins with. */
struct island_case
{
  unsigned leader;
  /* Ids of the jobs that run all the time. */
  char long_running[17];
  char batch[17];
  /* Rows of their attempts. */
  json_t *attempts;
  int64_t lapses;
};

/* Returns the rows of the attempts that run, of the tasks whose names begin with a prefix. */
static json_t *
list_attempts (const char *prefix)
{
  json_t *page = hosts_get (&hosts, "/started");
  json_t *found = json_array ();
  size_t i;
  json_t *row;

  json_array_foreach (json_object_get (page, "attempts"), i, row)
    {
      if (g_str_has_prefix (json_string_value (json_array_get (row, COLUMN_TASK)), prefix))
        json_array_append (found, row);
    }
  json_decref (page);
  return found;
}

static size_t
count_attempts (const char *prefix)
{
  json_t *rows = list_attempts (prefix);
  size_t n = json_array_size (rows);

  json_decref (rows);
  return n;
}

static bool
task_runs (void *ctx)
{
  return count_attempts (ctx) > 0;
}

/* Submits a job at a host and stores its id. */
static void
submit (unsigned host, const char *job, char id[17])
{
  g_autofree char *path = NULL;

  snprintf (id, 17, "%016x", next_id++);
  path = g_strdup_printf ("/one/%s", id);
  CU_ASSERT_EQUAL (hosts_call (&hosts, host, "POST", path, job, NULL), 200);
}

/* Returns whether all tasks of a job run. */
static bool
all_tasks_run (void *ctx)
{
  return count_attempts (ctx) == TASKS;
}

static bool
host_leads (unsigned n)
{
  return process_is_running (hosts.jobds[n]) &&
         hosts_metric (&hosts, n, "sesamepick_jobd_leading") == 1;
}

static unsigned
count_leaders (void)
{
  unsigned n_leaders = 0;

  for (unsigned n = 0; n < HOSTS; n++)
    n_leaders += host_leads (n);
  return n_leaders;
}

/* Waits until the same host has led alone for a while: when the store responds again, a claim of
 * before is carried out. Returns the host, or -1. */
static int
wait_settled_leader (void)
{
  int64_t end_ms = test_now_ms () + ELECTION_LIMIT_MS;
  int64_t since_ms = test_now_ms ();
  int leader = -1;

  while (test_now_ms () < end_ms && (leader < 0 || test_now_ms () < since_ms + SETTLED_MS))
    {
      int now = count_leaders () == 1 ? hosts_leader (&hosts) : -1;

      if (now != leader)
        since_ms = test_now_ms ();
      leader = now;
      test_sleep_ms (POLL_MS);
    }
  return leader;
}

/* Waits until all hosts are ready and one leads, and until tasks of two jobs run. */
static void
case_begin (struct island_case *c)
{
  int leader;
  json_t *batch;

  for (unsigned n = 0; n < HOSTS; n++)
    CU_ASSERT_TRUE (hosts_wait_ready (&hosts, n, 0));
  leader = wait_settled_leader ();
  SUITE_REQUIRE (leader >= 0);
  c->leader = (unsigned) leader;
  submit (c->leader, LONG_RUNNING_JOB, c->long_running);
  submit (c->leader, BATCH_JOB, c->batch);
  CU_ASSERT_TRUE (test_wait (all_tasks_run, c->long_running, START_LIMIT_MS));
  CU_ASSERT_TRUE (test_wait (all_tasks_run, c->batch, START_LIMIT_MS));
  test_sleep_ms (CALM_MS);
  c->attempts = list_attempts (c->long_running);
  batch = list_attempts (c->batch);
  CU_ASSERT_EQUAL (json_array_size (c->attempts), TASKS);
  CU_ASSERT_EQUAL (json_array_size (batch), TASKS);
  json_array_extend (c->attempts, batch);
  json_decref (batch);
  c->lapses = hosts_report_count (&hosts, "lapsed");
  CU_ASSERT_TRUE (host_leads (c->leader));
  CU_ASSERT_EQUAL (count_leaders (), 1);
}

/* Checks that no task ran twice at once or again after it was done, and that each long-running task
 * runs. */
static void
case_end (struct island_case *c)
{
  CU_ASSERT_TRUE (test_wait (all_tasks_run, c->long_running, START_LIMIT_MS));
  CU_ASSERT_EQUAL (hosts_report_count (&hosts, "doubled"), 0);
  CU_ASSERT_EQUAL (hosts_report_count (&hosts, "after_done"), 0);
  json_decref (c->attempts);
}

/* Returns how many of the attempts that a case began with run no longer. */
static unsigned
count_ended (const struct island_case *c)
{
  json_t *now = list_attempts ("");
  unsigned n = 0;
  size_t i;
  size_t j;
  json_t *row;
  json_t *other;

  json_array_foreach (c->attempts, i, row)
    {
      bool runs = false;

      json_array_foreach (now, j, other)
        runs = runs || json_equal (row, other);
      n += !runs;
    }
  json_decref (now);
  return n;
}

/* Checks that all attempts that a case began with run on, and that none lapsed. */
static void
check_nothing_lapsed (const struct island_case *c)
{
  CU_ASSERT_EQUAL (count_ended (c), 0);
  CU_ASSERT_EQUAL (hosts_report_count (&hosts, "lapsed"), c->lapses);
}

/* Returns whether another host than the case's first leader leads. */
static bool
successor_leads (void *ctx)
{
  const struct island_case *c = ctx;

  return count_leaders () > host_leads (c->leader);
}

/* Returns whether one host leads, and not the case's first leader. */
static bool
only_successor_leads (void *ctx)
{
  const struct island_case *c = ctx;

  return !host_leads (c->leader) && count_leaders () == 1;
}

static bool
one_host_leads (void *ctx)
{
  (void) ctx;
  return count_leaders () == 1;
}

static void
set_store_of_all (const char *mode)
{
  for (unsigned n = 0; n < HOSTS; n++)
    hosts_set_store (&hosts, n, mode);
}

/* Makes a machine's endpoint respond to the leaders so far, to later ones, or to any. */
static void
set_epochs (const char *machine, const char *epochs)
{
  g_autofree char *body = g_strdup_printf ("{\"epochs\":{\"%s\":\"%s\"}}", machine, epochs);

  hosts_set_faults (&hosts, body);
}

/* Leaves the machines of the first task of each job to the leader so far, and all others to its
 * successors. */
static void
divide_endpoints (const struct island_case *c)
{
  const json_t *own[2];

  for (unsigned i = 0; i < 2; i++)
    own[i] = json_array_get (json_array_get (c->attempts, (size_t) i * TASKS), COLUMN_MACHINE);
  for (unsigned n = 0; n < MACHINES; n++)
    {
      char machine[16];

      snprintf (machine, sizeof machine, "m-%u", n);
      set_epochs (machine, strcmp (machine, json_string_value (own[0])) == 0 ||
                                   strcmp (machine, json_string_value (own[1])) == 0
                               ? "known"
                               : "later");
    }
}

/* Prints when a task was first started while it ran, and the attempts that run twice now. */
static void
print_doubled (int64_t first_ms)
{
  json_t *rows = list_attempts ("");
  size_t i;
  json_t *row;

  printf ("\n    %" G_GINT64_FORMAT
          " starts of running tasks, the first %d ms after the cut; attempts now:\n",
          hosts_report_count (&hosts, "doubled"), (int) first_ms);
  json_array_foreach (rows, i, row)
    {
      const char *task = json_string_value (json_array_get (row, COLUMN_TASK));

      if (count_attempts (task) > 1)
        printf ("    %s.%" JSON_INTEGER_FORMAT " on %s\n", task,
                json_integer_value (json_array_get (row, COLUMN_ATTEMPT)),
                json_string_value (json_array_get (row, COLUMN_MACHINE)));
    }
  json_decref (rows);
}

/* The leader loses the store, the other hosts and some endpoints, and reaches the others, which its
 * successor doesn't reach. */
static void
test_leader_on_island (void)
{
  struct island_case c;
  bool succeeded = false;
  int64_t doubled_ms = 0;
  int64_t cut_ms;

  case_begin (&c);
  hosts_cut_links (&hosts, c.leader, true);
  divide_endpoints (&c);
  hosts_set_store (&hosts, c.leader, "silent");
  cut_ms = test_now_ms ();
  while (test_now_ms () < cut_ms + ISLAND_MS)
    {
      test_sleep_ms (POLL_MS);
      succeeded = succeeded || successor_leads (&c);
      if (doubled_ms == 0 && hosts_report_count (&hosts, "doubled") > 0)
        doubled_ms = test_now_ms () - cut_ms;
    }
  if (doubled_ms > 0)
    print_doubled (doubled_ms);
  CU_ASSERT_TRUE (succeeded);
  CU_ASSERT_EQUAL (hosts_report_count (&hosts, "doubled"), 0);
  for (unsigned n = 0; n < MACHINES; n++)
    {
      char machine[16];

      snprintf (machine, sizeof machine, "m-%u", n);
      set_epochs (machine, "any");
    }
  hosts_set_store (&hosts, c.leader, "up");
  hosts_cut_links (&hosts, c.leader, false);
  CU_ASSERT_TRUE (test_wait (one_host_leads, NULL, ELECTION_LIMIT_MS));
  case_end (&c);
}

/* The store is unreachable for all hosts, which reach each other: tasks run on, and the next step
 * of a job begins. */
static void
test_store_away (void)
{
  struct island_case c;
  char steps[17];
  char last[17];
  g_autofree char *second_step = NULL;
  bool stepped = false;
  int64_t cut_ms;

  case_begin (&c);
  submit (c.leader, TWO_STEP_JOB, steps);
  CU_ASSERT_TRUE (test_wait (task_runs, steps, START_LIMIT_MS));
  second_step = g_strdup_printf ("%s.0.1.", steps);
  set_store_of_all ("silent");
  cut_ms = test_now_ms ();
  while (test_now_ms () < cut_ms + STORE_AWAY_MS)
    {
      test_sleep_ms (POLL_MS);
      stepped = stepped || task_runs (second_step);
    }
  CU_ASSERT_TRUE (stepped);
  check_nothing_lapsed (&c);
  set_store_of_all ("up");
  CU_ASSERT_TRUE (hosts_wait_ready (&hosts, c.leader, 0));
  submit (c.leader, SHORT_JOB, last);
  CU_ASSERT_TRUE (hosts_wait_job_state (&hosts, c.leader, last, "completed", COMPLETION_LIMIT_MS));
  check_nothing_lapsed (&c);
  case_end (&c);
}

/* The same while a host is stopped that the journal names: tasks may lapse. */
static void
test_store_away_host_stopped (void)
{
  struct island_case c;
  unsigned stopped;

  case_begin (&c);
  stopped = (c.leader + 1) % HOSTS;
  process_signal (hosts.jobds[stopped], SIGKILL);
  test_sleep_ms (CALM_MS);
  set_store_of_all ("silent");
  test_sleep_ms (STORE_AWAY_MS);
  CU_ASSERT_EQUAL (hosts_report_count (&hosts, "doubled"), 0);
  set_store_of_all ("up");
  process_destroy (hosts.jobds[stopped]);
  hosts_start_jobd (&hosts, stopped);
  CU_ASSERT_TRUE (test_wait (one_host_leads, NULL, ELECTION_LIMIT_MS));
  case_end (&c);
}

/* The store carries out no appends, but reads: no host claims, all confirm to the leader, and tasks
 * run on. */
static void
test_appends_unanswered (void)
{
  struct island_case c;

  case_begin (&c);
  hosts_post (&hosts, "/faults", "{\"store\":\"deaf\"}");
  test_sleep_ms (STORE_AWAY_MS);
  check_nothing_lapsed (&c);
  hosts_post (&hosts, "/faults", "{\"store\":\"up\"}");
  CU_ASSERT_TRUE (test_wait (one_host_leads, NULL, ELECTION_LIMIT_MS));
  case_end (&c);
}

/* The leader alone loses the store, and all hosts and endpoints reach each other: a successor takes
 * over, and tasks run on. */
static void
test_leader_without_store (void)
{
  struct island_case c;

  case_begin (&c);
  hosts_set_store (&hosts, c.leader, "silent");
  CU_ASSERT_TRUE (test_wait (only_successor_leads, &c, ELECTION_LIMIT_MS));
  test_sleep_ms (SETTLED_MS);
  CU_ASSERT_TRUE (only_successor_leads (&c));
  check_nothing_lapsed (&c);
  hosts_set_store (&hosts, c.leader, "up");
  CU_ASSERT_TRUE (hosts_wait_ready (&hosts, c.leader, 0));
  check_nothing_lapsed (&c);
  case_end (&c);
}

/* The island is last: what its violations leave behind can't fail the other cases. */
static const struct suite_test tests[] = {
  { "store away for all", test_store_away },
  { "appends unanswered for all", test_appends_unanswered },
  { "leader cut from the store only", test_leader_without_store },
  { "store away for all, one host stopped", test_store_away_host_stopped },
  { "leader on an island", test_leader_on_island },
};

/* A number of endpoints as argument sets from how many on the leader uses relays, for runs by
 * hand. */
int
main (int argc, char **argv)
{
  int code;

  if (argc > 1)
    hosts.relay_endpoints_min = (unsigned) strtoul (argv[1], NULL, 10);
  hosts_start (&hosts, PORT_BLOCK);
  code = suite_run ("island", tests, G_N_ELEMENTS (tests));
  hosts_stop (&hosts);
  return code;
}
