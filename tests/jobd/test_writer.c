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
  struct writer_outcome outcome;
};

/* One writer with its own client and topic. */
struct trial
{
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
  /* Whether the writers keep records while the store is unavailable, as a leader's do. */
  bool keep;
  unsigned n_failed;
};

static const char *const behaviour_names[BEHAVIOUR_COUNT] = {
  "respond",     "close done",  "reset done",  "close not done", "close late",
  "unavailable", "bad gateway", "silent done", "silent late",
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
  record->trial->n_reported++;
}

/* Appends the next record once the writer has reported the one before. */
static void
trial_step (struct trial *trial)
{
  struct trial_record *record = &trial->records[trial->n_appended];

  if (trial->n_appended == RECORDS || trial->n_reported < trial->n_appended)
    return;
  record->trial = trial;
  snprintf (record->value, sizeof record->value, "record %u", trial->n_appended++);
  writer_append (trial->writer, "key", record->value, strlen (record->value), trial_record_on_done,
                 record);
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
    .now_ms = fixture_now_ms,
    .ctx = fixture,
  };

  memset (trial, 0, sizeof *trial);
  trial->script[0] = BEHAVIOUR_RESPOND;
  for (unsigned i = 1; i < SCRIPT_LEN; i++)
    {
      trial->script[i] = number % BEHAVIOUR_COUNT;
      number /= BEHAVIOUR_COUNT;
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
trial_record_fault (const struct trial *trial, const struct trial_record *record)
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
      return n_stored > 0 ? "refused but stored" : NULL;
    }
}

/* Checks all records of a trial, and that the writer works once the faults are over. */
static void
trial_check (struct writer_fixture *fixture, const struct trial *trial)
{
  bool failed = false;

  for (unsigned i = 0; i < RECORDS; i++)
    {
      const char *fault = trial_record_fault (trial, &trial->records[i]);

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
  for (unsigned i = 0; i < PARALLEL; i++)
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

/* Runs PARALLEL scripts from a number on. */
static void
fixture_run (struct writer_fixture *fixture, unsigned first)
{
  ev_timer tick;
  ev_timer limit;

  fixture->store = scripted_store_create (fixture->loop, process_port_block (PORT_BLOCK));
  SUITE_REQUIRE (fixture->store != NULL);
  for (unsigned i = 0; i < PARALLEL; i++)
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
  for (unsigned i = 0; i < PARALLEL; i++)
    {
      trial_check (fixture, &fixture->trials[i]);
      trial_stop (&fixture->trials[i]);
    }
  scripted_store_destroy (fixture->store);
}

/* Runs all scripts with up to FAULTS faults in a row. */
static void
run_scripts (bool keep)
{
  struct writer_fixture *fixture = g_new0 (struct writer_fixture, 1);
  unsigned n_scripts = 1;

  for (unsigned i = 0; i < FAULTS; i++)
    n_scripts *= BEHAVIOUR_COUNT;
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->keep = keep;
  for (unsigned first = 0; first < n_scripts; first += PARALLEL)
    fixture_run (fixture, first);
  printf ("%u of %u scripts failed ", fixture->n_failed, n_scripts);
  CU_ASSERT_EQUAL (fixture->n_failed, 0);
  ev_loop_destroy (fixture->loop);
  g_free (fixture);
}

/* Guards against jobs that run though they were refused, and accepted ones that are nowhere (issue
 * 24). */
static void
test_refused_or_durable (void)
{
  run_scripts (false);
}

/* The same for the records of a leader, which are sent until they are durable. */
static void
test_leader_records (void)
{
  run_scripts (true);
}

static const struct suite_test tests[] = {
  { "refused or durable", test_refused_or_durable },
  { "leader's records", test_leader_records },
};

int
main (void)
{
  return suite_run ("writer", tests, sizeof tests / sizeof tests[0]);
}
