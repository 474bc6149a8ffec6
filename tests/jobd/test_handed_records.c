#include "command_sender.h"
#include "common/client_limits.h"
#include "job_admission.h"
#include "process.h"
#include "record_sender.h"
#include "relay_server.h"
#include "suite.h"

/* Records that a host hands to the leader, and its confirmations of the leader's epoch, over a real
 * link between two daemons' modules in one process. The journal's writer is replaced, so that the
 * test decides when a record is durable. */

enum
{
  PORT_BLOCK = 99,
  LEADER_PORT = 0,
  HOST_PORT = 1,
  EPOCH = 5,
  TICK_MS = 20,
  LINK_LIMIT_MS = 8000,
  /* Long enough for a confirmation to arrive, and shorter than the time after which a host appends
   * a record itself. */
  QUIET_MS = 300,
  FIRST_OFFSET = 7,
  /* Longer than it takes to reconnect and to ask twice. */
  UNCONFIRMED_MS = 3000,
  /* Fleet that is too small for relays. */
  FLEET_WITHOUT_RELAYS = 0,
  /* How long a host is gone until it is certainly forgotten, and the steps in which the clock is
   * set forward by that. */
  GONE_MS = 90000,
  GONE_STEP_MS = 3000,
  GONE_RUN_MS = 60,
};

/* The parts of a daemon that hand records over or take them. */
struct test_host
{
  struct jobd jobd;
  Sp__JobdSettings settings;
  char relay[32];
};

/* An append that the test has not completed yet. */
struct stored_append
{
  struct writer *writer;
  char *key;
  writer_done *done;
  void *ctx;
};

/* What was reported of a handed record. */
struct report
{
  unsigned n;
  struct writer_outcome outcome;
};

static struct ev_loop *loop;
/* Appends of the leader, and the number of appends of the other host. */
static GPtrArray *leader_appends;
static unsigned n_host_appends;
static struct test_host leader;
static struct command_sender *sender;
/* Size of the leader's fleet, and how far the clock was set forward. */
static unsigned n_endpoints = 1;
static int64_t clock_ahead_ms;

int64_t
jobd_now_ms (void *ctx)
{
  struct jobd *jobd = ctx;

  clock_update (&jobd->clock);
  return jobd->clock.now_ms + clock_ahead_ms;
}

/* Stands in for the journal's writer. */
void
writer_append (struct writer *writer, const char *key, const void *value, size_t len,
               writer_done *done, void *ctx)
{
  struct stored_append *append;

  (void) value;
  (void) len;
  if (writer != leader.jobd.writer)
    {
      n_host_appends++;
      return;
    }
  append = g_new (struct stored_append, 1);
  *append = (struct stored_append){ writer, g_strdup (key), done, ctx };
  g_ptr_array_add (leader_appends, append);
}

bool
writer_withdraw (struct writer *writer, writer_done *done, const void *ctx)
{
  (void) writer;
  (void) done;
  (void) ctx;
  return false;
}

/* Stand in for the writer's view of the store, which it reaches at once. */
int64_t
writer_append_ms (const struct writer *writer)
{
  (void) writer;
  return 0;
}

struct append_latency
writer_append_latency (const struct writer *writer)
{
  (void) writer;
  return (struct append_latency){ 0 };
}

bool
writer_is_cut_off (const struct writer *writer)
{
  (void) writer;
  return false;
}

/* Stand in for the configuration: the hosts of this test have none. */
void
jobd_confirm_config (struct jobd *jobd)
{
  (void) jobd;
}

bool
jobd_has_workspaces (const struct jobd *jobd)
{
  (void) jobd;
  return false;
}

/* Stands in for the leadership: the hosts of this test have claimed nothing. */
uint64_t
leader_claimed_epoch (const struct leader *of)
{
  (void) of;
  return 0;
}

bool
leader_is_leading (const struct leader *of)
{
  (void) of;
  return false;
}

/* Stands in for admission by load, which these hosts don't use. */
void
job_admission_on_batch (struct job_admission *admission, const Sp__CommandBatch *batch)
{
  (void) admission;
  (void) batch;
}

static void
stored_append_free (gpointer data)
{
  struct stored_append *append = data;

  g_free (append->key);
  g_free (append);
}

/* Starts a host at a port of the test's block, with an incarnation. */
static void
test_host_start (struct test_host *host, const char *name, unsigned port, uint64_t incarnation)
{
  *host = (struct test_host){ 0 };
  sp__jobd_settings__init (&host->settings);
  g_snprintf (host->relay, sizeof host->relay, "127.0.0.1:%u",
              process_port_block (PORT_BLOCK) + port);
  host->settings.name = (char *) name;
  host->settings.relay = host->relay;
  host->settings.relay_endpoints_min = 1;
  host->jobd.settings = &host->settings;
  host->jobd.incarnation = incarnation;
  host->jobd.loop = loop;
  host->jobd.jobs.leader_epoch = EPOCH;
  /* Only compared; no writer is created. */
  host->jobd.writer = (struct writer *) host;
  host->jobd.relays = g_hash_table_new (g_str_hash, g_str_equal);
  metrics_init (&host->jobd.metrics);
  memory_budget_init (&host->jobd.memory, client_memory_limit (host->settings.memory_mb));
  host->jobd.records = record_sender_create (&host->jobd);
  host->jobd.relay_server = relay_server_create (&host->jobd);
  g_assert (host->jobd.relay_server != NULL);
}

static void
test_host_stop (struct test_host *host)
{
  relay_server_destroy (host->jobd.relay_server);
  record_sender_destroy (host->jobd.records);
  metrics_finish (&host->jobd.metrics);
  g_hash_table_destroy (host->jobd.relays);
}

static void
on_tick (struct ev_loop *tick_loop, ev_timer *timer, int events)
{
  (void) timer;
  (void) events;
  command_sender_tick (sender, n_endpoints);
  ev_break (tick_loop, EVBREAK_ONE);
}

/* Runs the loop for a time. */
static void
run_for (int64_t ms)
{
  int64_t end_ms = test_now_ms () + ms;
  ev_timer timer;

  ev_timer_init (&timer, on_tick, TICK_MS / 1e3, TICK_MS / 1e3);
  ev_timer_start (loop, &timer);
  while (test_now_ms () < end_ms)
    ev_run (loop, 0);
  ev_timer_stop (loop, &timer);
}

static void
on_result (void *ctx, const struct writer_outcome *outcome)
{
  struct report *report = ctx;

  report->n++;
  report->outcome = *outcome;
}

/* Lets a host hand a record to the leader, as soon as it has a link to it, and waits until the
 * leader appends it. Returns the leader's append, or NULL. */
static struct stored_append *
test_host_hand_over (struct test_host *host, const char *key, struct report *report)
{
  int64_t end_ms = test_now_ms () + LINK_LIMIT_MS;
  guint n_appends = leader_appends->len;
  unsigned n_own;

  do
    {
      run_for (TICK_MS);
      n_own = n_host_appends;
      record_sender_append (host->jobd.records, key, "v", 1, on_result, report);
    }
  while (n_host_appends != n_own && test_now_ms () < end_ms);
  while (leader_appends->len == n_appends && test_now_ms () < end_ms)
    run_for (TICK_MS);
  return leader_appends->len > n_appends ? g_ptr_array_index (leader_appends, n_appends) : NULL;
}

/* Reports an append of the leader as durable. */
static void
stored_append_complete (const struct stored_append *append, int64_t offset)
{
  struct writer_outcome outcome = { .result = WRITER_DURABLE, .offset = offset };

  append->done (append->ctx, &outcome);
}

/* A host hands a record over and starts again before it is durable. Its new incarnation hands over
 * its own first record. That the earlier record is durable must not pass for a confirmation of the
 * new one, which would be lost if the leader failed. */
static void
test_host_restarts (void)
{
  struct test_host host;
  struct report first = { 0 };
  struct report second = { 0 };
  const struct stored_append *first_append;
  const struct stored_append *second_append;

  test_host_start (&host, "host", HOST_PORT, 1);
  first_append = test_host_hand_over (&host, "d/first", &first);
  SUITE_REQUIRE (first_append != NULL);
  test_host_stop (&host);
  test_host_start (&host, "host", HOST_PORT, 2);
  second_append = test_host_hand_over (&host, "d/second", &second);
  SUITE_REQUIRE (second_append != NULL);
  CU_ASSERT_STRING_EQUAL (second_append->key, "d/second");
  stored_append_complete (first_append, FIRST_OFFSET);
  run_for (QUIET_MS);
  CU_ASSERT_EQUAL (second.n, 0);
  stored_append_complete (second_append, FIRST_OFFSET + 1);
  run_for (QUIET_MS);
  CU_ASSERT_EQUAL (second.n, 1);
  CU_ASSERT_EQUAL (second.outcome.result, WRITER_DURABLE);
  CU_ASSERT_EQUAL (second.outcome.offset, FIRST_OFFSET + 1);
  CU_ASSERT_EQUAL (first.n, 0);
  test_host_stop (&host);
}

/* A leader that has no memory for a record leaves it alone; the host appends it itself when it
 * hears nothing of it. */
static void
test_leader_without_memory (void)
{
  struct memory_budget *memory = &leader.jobd.memory;
  size_t limit = memory->limit;
  struct test_host host;
  struct report report = { 0 };
  int64_t end_ms;
  unsigned n_own;

  test_host_start (&host, "host", HOST_PORT, 1);
  memory->limit = 0;
  CU_ASSERT_PTR_NULL (test_host_hand_over (&host, "d/first", &report));
  CU_ASSERT (memory->n_refusals > 0);
  n_own = n_host_appends;
  end_ms = test_now_ms () + LINK_LIMIT_MS;
  while (n_host_appends == n_own && test_now_ms () < end_ms)
    {
      run_for (TICK_MS);
      record_sender_tick (host.jobd.records);
    }
  CU_ASSERT_EQUAL (n_host_appends, n_own + 1);
  memory->limit = limit;
  test_host_stop (&host);
}

/* Waits until the other host has confirmed the leader's epoch since a time. Returns whether it
 * has. */
static bool
wait_confirmed (int64_t since_ms, int64_t limit_ms)
{
  int64_t end_ms = test_now_ms () + limit_ms;

  while (command_sender_confirmed_ms (sender) < since_ms && test_now_ms () < end_ms)
    run_for (TICK_MS);
  return command_sender_confirmed_ms (sender) >= since_ms;
}

/* A host confirms the leader's epoch, but not after a restart until it has read a record. A leader
 * without a relay server can't ask the others, which then are not in the journal either. */
static void
test_confirmations (void)
{
  struct relay_server *relay_server = leader.jobd.relay_server;
  struct test_host host;

  test_host_start (&host, "host", HOST_PORT, 1);
  CU_ASSERT_TRUE (wait_confirmed (jobd_now_ms (&leader.jobd), LINK_LIMIT_MS));
  test_host_stop (&host);
  test_host_start (&host, "host", HOST_PORT, 2);
  host.jobd.jobs.leader_epoch = 0;
  CU_ASSERT_FALSE (wait_confirmed (jobd_now_ms (&leader.jobd), UNCONFIRMED_MS));
  host.jobd.jobs.leader_epoch = EPOCH;
  CU_ASSERT_TRUE (wait_confirmed (jobd_now_ms (&leader.jobd), LINK_LIMIT_MS));
  leader.jobd.relay_server = NULL;
  CU_ASSERT_EQUAL (command_sender_confirmed_ms (sender), 0);
  leader.jobd.relay_server = relay_server;
  test_host_stop (&host);
}

/* Returns whether the leader has appended the removal of the host's record. */
static bool
host_is_forgotten (void)
{
  for (guint i = 0; i < leader_appends->len; i++)
    {
      if (strcmp (((struct stored_append *) g_ptr_array_index (leader_appends, i))->key,
                  "h/host") == 0)
        return true;
    }
  return false;
}

/* Runs the loop while the clock is set forward. */
static void
run_ahead (void)
{
  for (int64_t ms = 0; ms < GONE_MS; ms += GONE_STEP_MS)
    {
      clock_ahead_ms += GONE_STEP_MS;
      run_for (GONE_RUN_MS);
    }
}

/* A host that is gone for good stays in the journal of a fleet that is too small for relays. It
 * would never confirm the leader's epoch again, so that all tasks ended in each outage of the
 * store. */
static void
test_small_fleet_forgets_host (void)
{
  struct test_host host;

  n_endpoints = FLEET_WITHOUT_RELAYS;
  test_host_start (&host, "host", HOST_PORT, 1);
  run_for (LINK_LIMIT_MS / 2);
  run_ahead ();
  CU_ASSERT_FALSE (host_is_forgotten ());
  test_host_stop (&host);
  run_ahead ();
  CU_ASSERT_TRUE (host_is_forgotten ());
}

int
main (void)
{
  static const struct suite_test tests[] = {
    { "host restarts", test_host_restarts },
    { "leader without memory", test_leader_without_memory },
    { "confirmations", test_confirmations },
    { "small fleet forgets a host", test_small_fleet_forgets_host },
  };
  struct scheduler_config config = { 0 };
  struct scheduler_ops ops = { 0 };
  struct scheduler *scheduler;
  struct job_table jobs;
  int status;

  loop = ev_loop_new (EVFLAG_AUTO);
  leader_appends = g_ptr_array_new_with_free_func (stored_append_free);
  test_host_start (&leader, "leader", LEADER_PORT, 3);
  job_table_init (&jobs);
  scheduler = scheduler_create (&config, &ops, &jobs, 0, 0);
  sender = command_sender_create (&leader.jobd, EPOCH, NULL, leader.jobd.writer);
  command_sender_set_scheduler (sender, scheduler);
  g_autofree char *address =
      g_strdup_printf ("127.0.0.1:%u", process_port_block (PORT_BLOCK) + HOST_PORT);
  command_sender_set_relay (sender, "host", address);
  status = suite_run ("handed_records", tests, G_N_ELEMENTS (tests));
  command_sender_destroy (sender);
  scheduler_destroy (scheduler);
  job_table_finish (&jobs);
  test_host_stop (&leader);
  g_ptr_array_unref (leader_appends);
  ev_loop_destroy (loop);
  return status;
}
