#include <ev.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "process.h"
#include "scripted_store.h"
#include "suite.h"
#include "writer.h"

/* The journal writer against a store that loses responses in every order of ways: what it reports
 * refused must not be in the log, now or later, and what it reports durable must be there once. */

enum
{
  PORT_BLOCK = 95,
  RECORDS = 6,
  /* The first append is answered, so that the next one uses an open connection. */
  SCRIPT_LEN = 4,
  FAULTS = SCRIPT_LEN - 1,
  /* Scripts that run at a time; each has a connection. */
  PARALLEL = 3 * BEHAVIOUR_COUNT * BEHAVIOUR_COUNT,
  IDLE_REUSE_MS = 10000,
  CONNECTIONS_MAX = 8,
  NAME_BYTES = 32,
  /* From 900 ms without a result on, a host refuses new records; those that wait already are
   * refused with the next response. */
  REFUSAL_MS = 1100,
  TICK_MS = 5,
  MS_PER_S = 1000,
  LIMIT_MS = 20000,
};

struct trial;

/* A record of a trial and what its writer reported of it. */
struct trial_record
{
  struct trial *trial;
  char value[NAME_BYTES];
  unsigned n_reports;
  int64_t reported_ms;
  struct writer_outcome outcome;
};

/* One writer with its own client and topic. */
struct trial
{
  struct writer_fixture *fixture;
  enum store_behaviour script[SCRIPT_LEN];
  char topic_name[NAME_BYTES];
  struct scripted_topic *topic;
  struct http_client *client;
  struct store *store;
  struct writer *writer;
  struct trial_record records[RECORDS];
  unsigned n_appended;
  unsigned n_reported;
};

struct writer_fixture
{
  struct ev_loop *loop;
  struct clock clock;
  struct scripted_store *store;
  struct trial trials[PARALLEL];
  unsigned n_trials;
  /* Behaviours of which the scripts consist. */
  const enum store_behaviour *behaviours;
  unsigned n_behaviours;
  /* Whether the writers keep records while the store is unavailable, as a leader's do. */
  bool keep;
  /* Whether the store may carry out what it rejects, against the protocol. */
  bool carries_out_rejected;
  /* Of the next trials. */
  int64_t retry_limit_ms;
  unsigned n_failed;
};

static const char *const behaviour_names[BEHAVIOUR_NAMES] = {
  "respond",          "close done",     "reset done",  "close not done", "close late",
  "unavailable",      "bad gateway",    "silent done", "silent late",    "unavailable done",
  "unavailable late", "other conflict", "gone",        "malformed",      "empty response",
};

static int64_t
fixture_now_ms (void *ctx)
{
  struct writer_fixture *fixture = ctx;

  clock_update (&fixture->clock);
  return fixture->clock.now_ms;
}

static void
trial_record_on_done (void *ctx, const struct writer_outcome *outcome)
{
  struct trial_record *record = ctx;

  record->n_reports++;
  record->outcome = *outcome;
  record->reported_ms = fixture_now_ms (record->trial->fixture);
  record->trial->n_reported++;
}

/* Appends the next record. */
static void
trial_append (struct trial *trial)
{
  struct trial_record *record = &trial->records[trial->n_appended];

  record->trial = trial;
  snprintf (record->value, sizeof record->value, "record %u", trial->n_appended++);
  writer_append (trial->writer, "key", record->value, strlen (record->value), trial_record_on_done,
                 record);
}

/* Appends the next record once the writer has reported the one before. */
static void
trial_step (struct trial *trial)
{
  if (trial->n_appended < RECORDS && trial->n_reported == trial->n_appended)
    trial_append (trial);
}

static bool
trial_is_over (const struct trial *trial)
{
  return trial->n_reported >= RECORDS && trial->topic->n_late == 0;
}

static void
trial_start (struct writer_fixture *fixture, struct trial *trial, unsigned number)
{
  g_autofree char *address =
      g_strdup_printf ("127.0.0.1:%u", (unsigned) process_port_block (PORT_BLOCK));
  struct writer_config config = {
    .topic = trial->topic_name,
    .producer = "host",
    .epoch = 1,
    .first_sequence = 1,
    .keep_while_unavailable = fixture->keep,
    .producer_is_shared = fixture->keep,
    .retry_limit_ms = fixture->retry_limit_ms,
    .now_ms = fixture_now_ms,
    .ctx = fixture,
  };

  memset (trial, 0, sizeof *trial);
  trial->fixture = fixture;
  trial->script[0] = BEHAVIOUR_RESPOND;
  for (unsigned i = 1; i < SCRIPT_LEN; i++)
    {
      trial->script[i] = fixture->behaviours[number % fixture->n_behaviours];
      number /= fixture->n_behaviours;
    }
  snprintf (trial->topic_name, sizeof trial->topic_name, "keyed.%u",
            (unsigned) (trial - fixture->trials));
  trial->topic = scripted_store_add (fixture->store, trial->topic_name, trial->script, SCRIPT_LEN);
  trial->client = http_client_create (fixture->loop, IDLE_REUSE_MS, CONNECTIONS_MAX);
  trial->store = store_create (trial->client, address);
  trial->writer = writer_create (fixture->loop, trial->store, &config);
}

static void
trial_stop (struct trial *trial)
{
  store_destroy (trial->store);
  writer_destroy (trial->writer);
  http_client_destroy (trial->client);
}

/* Returns how often a record is in the log. */
static unsigned
trial_count_stored (const struct trial *trial, const struct trial_record *record)
{
  unsigned n = 0;

  for (guint i = 0; i < trial->topic->records->len; i++)
    n += strcmp (g_ptr_array_index (trial->topic->records, i), record->value) == 0;
  return n;
}

/* Returns what is wrong with a record, or NULL. */
static const char *
trial_record_fault (const struct writer_fixture *fixture, const struct trial *trial,
                    const struct trial_record *record)
{
  const GPtrArray *log = trial->topic->records;
  int64_t offset = record->outcome.offset;
  unsigned n_stored = trial_count_stored (trial, record);

  if (record->n_reports != 1)
    return "reported not exactly once";
  if (n_stored > 1)
    return "stored twice";
  switch (record->outcome.result)
    {
    case WRITER_DURABLE:
      if (n_stored == 0)
        return "durable but not stored";
      return offset < 0 || offset >= log->len ||
                     strcmp (g_ptr_array_index (log, offset), record->value) != 0
                 ? "durable at another offset"
                 : NULL;
    case WRITER_UNKNOWN:
      return NULL;
    default:
      return n_stored > 0 && !fixture->carries_out_rejected ? "refused but stored" : NULL;
    }
}

/* Checks all records of a trial, and that the writer works once the faults are over. */
static void
trial_check (struct writer_fixture *fixture, const struct trial *trial)
{
  bool failed = false;

  for (unsigned i = 0; i < RECORDS; i++)
    {
      const char *fault = trial_record_fault (fixture, trial, &trial->records[i]);

      if (!fault && trial->records[i].outcome.result != WRITER_DURABLE &&
          (fixture->keep || i == RECORDS - 1))
        fault = "not durable";
      if (!fault)
        continue;
      failed = true;
      printf ("    record %u %s:", i, fault);
      for (unsigned j = 0; j < SCRIPT_LEN; j++)
        printf (" [%s]", behaviour_names[trial->script[j]]);
      printf ("\n");
    }
  fixture->n_failed += failed;
}

static void
fixture_on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct writer_fixture *fixture = timer->data;
  bool over = true;

  (void) events;
  for (unsigned i = 0; i < fixture->n_trials; i++)
    {
      trial_step (&fixture->trials[i]);
      over = over && trial_is_over (&fixture->trials[i]);
    }
  if (over)
    ev_break (loop, EVBREAK_ALL);
}

static void
fixture_on_limit (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void) timer;
  (void) events;
  ev_break (loop, EVBREAK_ALL);
}

/* Runs n scripts from a number on. */
static void
fixture_run (struct writer_fixture *fixture, unsigned first, unsigned n)
{
  ev_timer tick;
  ev_timer limit;

  fixture->n_trials = n;
  fixture->store = scripted_store_create (fixture->loop, process_port_block (PORT_BLOCK));
  SUITE_REQUIRE (fixture->store != NULL);
  for (unsigned i = 0; i < fixture->n_trials; i++)
    trial_start (fixture, &fixture->trials[i], first + i);
  ev_now_update (fixture->loop);
  ev_timer_init (&tick, fixture_on_tick, 0.0, (double) TICK_MS / MS_PER_S);
  tick.data = fixture;
  ev_timer_start (fixture->loop, &tick);
  ev_timer_init (&limit, fixture_on_limit, (double) LIMIT_MS / MS_PER_S, 0.0);
  ev_timer_start (fixture->loop, &limit);
  ev_run (fixture->loop, 0);
  ev_timer_stop (fixture->loop, &tick);
  ev_timer_stop (fixture->loop, &limit);
  for (unsigned i = 0; i < fixture->n_trials; i++)
    {
      trial_check (fixture, &fixture->trials[i]);
      trial_stop (&fixture->trials[i]);
    }
  scripted_store_destroy (fixture->store);
}

/* Runs all scripts of FAULTS behaviours in a row. */
static void
run_scripts (struct writer_fixture *fixture)
{
  unsigned n_scripts = 1;

  for (unsigned i = 0; i < FAULTS; i++)
    n_scripts *= fixture->n_behaviours;
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  for (unsigned first = 0; first < n_scripts; first += PARALLEL)
    fixture_run (fixture, first, MIN (PARALLEL, n_scripts - first));
  printf ("%u of %u scripts failed ", fixture->n_failed, n_scripts);
  CU_ASSERT_EQUAL (fixture->n_failed, 0);
  ev_loop_destroy (fixture->loop);
}

/* Runs all scripts of behaviours that keep to the protocol. */
static void
run_protocol_scripts (bool keep)
{
  g_autofree struct writer_fixture *fixture = g_new0 (struct writer_fixture, 1);
  enum store_behaviour behaviours[BEHAVIOUR_COUNT];

  for (unsigned i = 0; i < BEHAVIOUR_COUNT; i++)
    behaviours[i] = i;
  fixture->behaviours = behaviours;
  fixture->n_behaviours = BEHAVIOUR_COUNT;
  fixture->keep = keep;
  run_scripts (fixture);
}

/* Guards against jobs that run though they were refused, and accepted ones that are nowhere (issue
 * 24). */
static void
test_refused_or_durable (void)
{
  run_protocol_scripts (false);
}

/* The same for the records of a leader, which are sent until they are durable. */
static void
test_leader_records (void)
{
  run_protocol_scripts (true);
}

/* Guards against accepted jobs that are nowhere because their append was taken for a repetition of
 * a rejected one that was carried out all the same (issue 24). */
static void
test_rejected_but_carried_out (void)
{
  static const enum store_behaviour behaviours[] = {
    BEHAVIOUR_RESPOND,          BEHAVIOUR_UNAVAILABLE, BEHAVIOUR_UNAVAILABLE_DONE,
    BEHAVIOUR_UNAVAILABLE_LATE, BEHAVIOUR_CLOSE_LATE,
  };
  g_autofree struct writer_fixture *fixture = g_new0 (struct writer_fixture, 1);

  fixture->behaviours = behaviours;
  fixture->n_behaviours = G_N_ELEMENTS (behaviours);
  fixture->carries_out_rejected = true;
  run_scripts (fixture);
}

/* Guards against a refusal of a record that is stored all the same: an append without a response is
 * followed by one that the store rejects for what it is, or in a way that the protocol does not
 * name. */
static void
test_rejected_after_unknown (void)
{
  static const enum store_behaviour behaviours[] = {
    BEHAVIOUR_CLOSE_LATE,     BEHAVIOUR_SILENT_DONE, BEHAVIOUR_MALFORMED,
    BEHAVIOUR_OTHER_CONFLICT, BEHAVIOUR_GONE,        BEHAVIOUR_EMPTY_RESPONSE,
  };
  g_autofree struct writer_fixture *fixture = g_new0 (struct writer_fixture, 1);

  fixture->behaviours = behaviours;
  fixture->n_behaviours = G_N_ELEMENTS (behaviours);
  run_scripts (fixture);
}

/* Runs the loop for a time. */
static void
run_for (struct writer_fixture *fixture, int64_t ms)
{
  ev_timer limit;

  ev_now_update (fixture->loop);
  ev_timer_init (&limit, fixture_on_limit, (double) ms / MS_PER_S, 0.0);
  ev_timer_start (fixture->loop, &limit);
  ev_run (fixture->loop, 0);
}

/* Guards against callers who wait for their deadline although the store is known to be unavailable:
 * a record that waits behind an append of unknown fate is refused when new ones are, and the fate
 * of that append is still found out. */
static void
test_waiting_refused (void)
{
  static const enum store_behaviour behaviours[] = { BEHAVIOUR_CLOSE_DONE };
  enum store_behaviour script[15] = { BEHAVIOUR_RESPOND, BEHAVIOUR_CLOSE_DONE };
  g_autofree struct writer_fixture *fixture = g_new0 (struct writer_fixture, 1);
  struct trial *trial = &fixture->trials[0];
  int64_t appended_ms;

  fixture->behaviours = behaviours;
  fixture->n_behaviours = 1;
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->store = scripted_store_create (fixture->loop, process_port_block (PORT_BLOCK));
  SUITE_REQUIRE (fixture->store != NULL);
  trial_start (fixture, trial, 0);
  for (unsigned i = 2; i < G_N_ELEMENTS (script); i++)
    script[i] = BEHAVIOUR_UNAVAILABLE;
  trial->topic->script = script;
  trial->topic->script_len = G_N_ELEMENTS (script);
  trial_append (trial);
  run_for (fixture, 50);
  trial_append (trial);
  run_for (fixture, 50);
  trial_append (trial);
  appended_ms = fixture_now_ms (fixture);
  run_for (fixture, 2500);
  CU_ASSERT_EQUAL (trial->records[1].outcome.result, WRITER_DURABLE);
  CU_ASSERT_EQUAL (trial->records[2].outcome.result, WRITER_REFUSED);
  CU_ASSERT_EQUAL (trial->records[2].outcome.n_sends, 0);
  CU_ASSERT (trial->records[2].reported_ms - appended_ms <= REFUSAL_MS);
  trial_stop (trial);
  scripted_store_destroy (fixture->store);
  ev_loop_destroy (fixture->loop);
}

/* Guards against a job that is written minutes after its request, when others may have accepted,
 * completed and deleted it: an append is given up after a time, and the writer goes on with the
 * next record. */
static void
test_append_given_up (void)
{
  static const enum store_behaviour behaviours[] = { BEHAVIOUR_CLOSE_NOT_DONE };
  g_autofree struct writer_fixture *fixture = g_new0 (struct writer_fixture, 1);
  enum store_behaviour script[9] = { BEHAVIOUR_RESPOND, BEHAVIOUR_CLOSE_NOT_DONE };
  struct trial *trial = &fixture->trials[0];

  fixture->behaviours = behaviours;
  fixture->n_behaviours = 1;
  fixture->retry_limit_ms = 300;
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->store = scripted_store_create (fixture->loop, process_port_block (PORT_BLOCK));
  SUITE_REQUIRE (fixture->store != NULL);
  trial_start (fixture, trial, 0);
  for (unsigned i = 2; i < G_N_ELEMENTS (script); i++)
    script[i] = BEHAVIOUR_UNAVAILABLE;
  trial->topic->script = script;
  trial->topic->script_len = G_N_ELEMENTS (script);
  trial_append (trial);
  run_for (fixture, 50);
  trial_append (trial);
  run_for (fixture, 1500);
  trial->topic->script_len = 0;
  trial_append (trial);
  run_for (fixture, 100);
  CU_ASSERT_EQUAL (trial->records[1].outcome.result, WRITER_UNKNOWN);
  CU_ASSERT_EQUAL (trial_count_stored (trial, &trial->records[1]), 0);
  CU_ASSERT_EQUAL (trial->records[2].outcome.result, WRITER_DURABLE);
  trial_stop (trial);
  scripted_store_destroy (fixture->store);
  ev_loop_destroy (fixture->loop);
}

/* Guards against the answer 504 for a record that was certainly not stored, and against a record
 * that is stored after its withdrawal: one that waits behind a call without a response can be
 * withdrawn and is never sent; the one of the call can't. */
static void
test_withdrawn (void)
{
  static const enum store_behaviour behaviours[] = { BEHAVIOUR_SILENT_DONE };
  enum store_behaviour script[] = { BEHAVIOUR_RESPOND, BEHAVIOUR_SILENT_LATE };
  g_autofree struct writer_fixture *fixture = g_new0 (struct writer_fixture, 1);
  struct trial *trial = &fixture->trials[0];

  fixture->behaviours = behaviours;
  fixture->n_behaviours = 1;
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->store = scripted_store_create (fixture->loop, process_port_block (PORT_BLOCK));
  SUITE_REQUIRE (fixture->store != NULL);
  trial_start (fixture, trial, 0);
  trial->topic->script = script;
  trial->topic->script_len = G_N_ELEMENTS (script);
  trial_append (trial);
  run_for (fixture, 50);
  trial_append (trial);
  run_for (fixture, 50);
  trial_append (trial);
  trial_append (trial);
  CU_ASSERT_FALSE (writer_withdraw (trial->writer, trial_record_on_done, &trial->records[1]));
  CU_ASSERT_TRUE (writer_withdraw (trial->writer, trial_record_on_done, &trial->records[2]));
  CU_ASSERT_FALSE (writer_withdraw (trial->writer, trial_record_on_done, &trial->records[2]));
  run_for (fixture, 2500);
  trial_append (trial);
  run_for (fixture, 100);
  CU_ASSERT_EQUAL (trial_count_stored (trial, &trial->records[1]), 1);
  CU_ASSERT_EQUAL (trial_count_stored (trial, &trial->records[2]), 0);
  CU_ASSERT_EQUAL (trial->records[2].n_reports, 0);
  CU_ASSERT_EQUAL (trial->records[3].n_reports, 1);
  CU_ASSERT_EQUAL (trial->records[4].outcome.result, WRITER_DURABLE);
  trial_stop (trial);
  scripted_store_destroy (fixture->store);
  ev_loop_destroy (fixture->loop);
}

static const struct suite_test tests[] = {
  { "refused or durable", test_refused_or_durable },
  { "leader's records", test_leader_records },
  { "rejected but carried out", test_rejected_but_carried_out },
  { "rejected after unknown", test_rejected_after_unknown },
  { "waiting refused", test_waiting_refused },
  { "append given up", test_append_given_up },
  { "withdrawn", test_withdrawn },
};

int
main (void)
{
  return suite_run ("writer", tests, sizeof tests / sizeof tests[0]);
}
