#include <ev.h>
#include <glib.h>
#include <string.h>

#include "process.h"
#include "scripted_topic.h"
#include "suite.h"
#include "topic_reader.h"

/* The reader of a keyed topic, against a store whose responses are cut, withheld, late or wrong. A
 * host that says "no such job" relies on its additional reads. */

enum
{
  PORT_BLOCK = 98,
  WAIT_MS = 1000,
  MIN_INTERVAL_MS = 20,
  /* Timeout of a read, and the longest time until it is repeated. */
  READ_TIMEOUT_MS = WAIT_MS + 700,
  REPEAT_LIMIT_MS = 150,
  /* Time limit of a wait of a test. */
  LIMIT_MS = 8000,
  /* Longest time until an additional read reports its end, with a margin for a busy machine. */
  READ_TO_END_LIMIT_MS = 3500,
  N_QUESTIONS = 50,
};

/* A reader, its store, and what the reader has passed on. */
struct fixture
{
  struct ev_loop *loop;
  struct scripted_topic scripted;
  struct http_client *client;
  struct store *store;
  struct topic_reader *reader;
  /* Last value passed on of each key. */
  GHashTable *values;
  int64_t last_offset;
  /* Records passed on although one of the same or a higher offset had been. */
  unsigned n_out_of_order;
  unsigned n_loaded;
  /* Ends of additional reads, and those among them that succeeded. */
  unsigned n_done;
  unsigned n_success;
};

static int64_t
fixture_now_ms (void *ctx)
{
  (void) ctx;
  return test_now_ms ();
}

static void
fixture_on_record (void *ctx, const struct store_record *record)
{
  struct fixture *fixture = ctx;

  fixture->n_out_of_order += record->offset <= fixture->last_offset;
  fixture->last_offset = MAX (fixture->last_offset, record->offset);
  g_hash_table_replace (fixture->values, g_strdup (record->key),
                        g_strndup (record->value ? record->value : "", record->len));
}

static void
fixture_on_loaded (void *ctx)
{
  struct fixture *fixture = ctx;

  fixture->n_loaded++;
}

static void
fixture_on_done (void *ctx, bool success)
{
  struct fixture *fixture = ctx;

  fixture->n_done++;
  fixture->n_success += success;
}

/* Starts a store with n records. */
static void
fixture_start (struct fixture *fixture, unsigned n)
{
  *fixture = (struct fixture){ .loop = ev_loop_new (EVFLAG_AUTO), .last_offset = -1 };
  fixture->values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  scripted_topic_start (&fixture->scripted, fixture->loop, process_port_block (PORT_BLOCK));
  scripted_topic_append_many (&fixture->scripted, n);
}

/* Starts the reader. */
static void
fixture_open (struct fixture *fixture)
{
  g_autofree char *address = g_strdup_printf ("127.0.0.1:%u", process_port_block (PORT_BLOCK));
  struct topic_reader_config config = {
    .topic = "keyed.test",
    .wait_ms = WAIT_MS,
    .min_interval_ms = MIN_INTERVAL_MS,
    .now_ms = fixture_now_ms,
    .on_record = fixture_on_record,
    .on_loaded = fixture_on_loaded,
    .ctx = fixture,
  };

  fixture->client = http_client_create (fixture->loop, 10000, 32);
  fixture->store = store_create (fixture->client, address);
  fixture->reader = topic_reader_create (fixture->loop, fixture->store, &config);
}

static void
fixture_stop (struct fixture *fixture)
{
  store_destroy (fixture->store);
  topic_reader_destroy (fixture->reader);
  http_client_destroy (fixture->client);
  scripted_topic_stop (&fixture->scripted);
  g_hash_table_destroy (fixture->values);
  ev_loop_destroy (fixture->loop);
}

static void
on_limit (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void) events;
  *(bool *) timer->data = true;
  ev_break (loop, EVBREAK_ALL);
}

/* Runs the loop until a counter reaches a value. Returns false if limit_ms pass first. */
static bool
fixture_run_until (struct fixture *fixture, const unsigned *counter, unsigned value,
                   int64_t limit_ms)
{
  bool over = false;
  ev_timer limit;

  ev_timer_init (&limit, on_limit, (double) limit_ms / 1000, 0.0);
  limit.data = &over;
  ev_now_update (fixture->loop);
  ev_timer_start (fixture->loop, &limit);
  while (!over && *counter < value)
    ev_run (fixture->loop, EVRUN_ONCE);
  ev_timer_stop (fixture->loop, &limit);
  return *counter >= value;
}

/* Runs the loop for some time. */
static void
fixture_run (struct fixture *fixture, int64_t ms)
{
  unsigned never = 0;

  fixture_run_until (fixture, &never, 1, ms);
}

/* Runs the loop until the reader has loaded the topic and its next read waits for records. */
static void
fixture_run_until_loaded (struct fixture *fixture)
{
  SUITE_REQUIRE (fixture_run_until (fixture, &fixture->n_loaded, 1, LIMIT_MS));
  SUITE_REQUIRE (fixture_run_until (fixture, &fixture->scripted.n_reads, 1, LIMIT_MS));
}

/* Returns the last value passed on of a key; empty if there is none. */
static const char *
fixture_value (const struct fixture *fixture, const char *key)
{
  const char *value = g_hash_table_lookup (fixture->values, key);

  return value ? value : "";
}

/* Makes an additional read. Returns whether it succeeded. */
static bool
fixture_read_to_end (struct fixture *fixture)
{
  unsigned n_success = fixture->n_success;

  topic_reader_read_to_end (fixture->reader, fixture_on_done, fixture);
  CU_ASSERT (fixture_run_until (fixture, &fixture->n_done, fixture->n_done + 1, LIMIT_MS));
  return fixture->n_success > n_success;
}

/* A host further behind than one response holds: an additional read that stopped after one response
 * made it answer 410 for a job that is in the journal. */
static void
test_reads_on_to_the_end (void)
{
  struct fixture fixture;

  fixture_start (&fixture, 3);
  fixture.scripted.hold_reads = true;
  fixture_open (&fixture);
  fixture_run_until_loaded (&fixture);
  fixture.scripted.records_max = 4;
  scripted_topic_append_many (&fixture.scripted, 10);
  CU_ASSERT_TRUE (fixture_read_to_end (&fixture));
  CU_ASSERT_STRING_EQUAL (fixture_value (&fixture, "k00012"), "k00012");
  CU_ASSERT_EQUAL (fixture.scripted.n_extra_reads, 3);
  fixture_stop (&fixture);
}

/* A journal that grows as fast as it is read: the additional read ends at the end as of its first
 * response, instead of following the journal until its deadline. */
static void
test_end_as_of_the_first_response (void)
{
  struct fixture fixture;

  fixture_start (&fixture, 3);
  fixture.scripted.hold_reads = true;
  fixture_open (&fixture);
  fixture_run_until_loaded (&fixture);
  fixture.scripted.records_max = 4;
  fixture.scripted.grow = 4;
  scripted_topic_append_many (&fixture.scripted, 10);
  CU_ASSERT_TRUE (fixture_read_to_end (&fixture));
  CU_ASSERT_STRING_EQUAL (fixture_value (&fixture, "k00012"), "k00012");
  CU_ASSERT_EQUAL (fixture.scripted.n_extra_reads, 3);
  fixture_stop (&fixture);
}

/* A store that returns little at a time: the additional read fails at its deadline, instead of
 * reporting success with records unread or keeping its caller waiting. */
static void
test_deadline (void)
{
  struct fixture fixture;
  int64_t begun_ms;

  fixture_start (&fixture, 3);
  fixture.scripted.hold_reads = true;
  fixture_open (&fixture);
  fixture_run_until_loaded (&fixture);
  fixture.scripted.records_max = 1;
  fixture.scripted.extra_delay_ms = 150;
  scripted_topic_append_many (&fixture.scripted, 100);
  begun_ms = test_now_ms ();
  CU_ASSERT_FALSE (fixture_read_to_end (&fixture));
  CU_ASSERT (test_now_ms () - begun_ms < READ_TO_END_LIMIT_MS);
  fixture_stop (&fixture);
}

/* A response without records before the end: the additional read fails, as the unread records may
 * hold the job. */
static void
test_response_without_records (void)
{
  struct fixture fixture;

  fixture_start (&fixture, 3);
  fixture.scripted.hold_reads = true;
  fixture_open (&fixture);
  fixture_run_until_loaded (&fixture);
  fixture.scripted.withhold_records = true;
  scripted_topic_append_many (&fixture.scripted, 2);
  CU_ASSERT_FALSE (fixture_read_to_end (&fixture));
  fixture_stop (&fixture);
}

/* A store that refuses the additional read, at once or half way: the read fails. */
static void
test_failed_read (void)
{
  struct fixture fixture;

  fixture_start (&fixture, 3);
  fixture.scripted.hold_reads = true;
  fixture_open (&fixture);
  fixture_run_until_loaded (&fixture);
  fixture.scripted.records_max = 4;
  scripted_topic_append_many (&fixture.scripted, 10);
  fixture.scripted.fail_extra_reads = 1;
  CU_ASSERT_FALSE (fixture_read_to_end (&fixture));
  CU_ASSERT_TRUE (fixture_read_to_end (&fixture));
  fixture_stop (&fixture);
}

/* A read that gets no response is repeated when it has timed out, without a further wait: a
 * configuration has to be in force 2 s after it was written, and the read takes 1.7 s of that. */
static void
test_read_without_response (void)
{
  struct fixture fixture;
  int64_t begun_ms;

  fixture_start (&fixture, 3);
  fixture.scripted.hold_reads = true;
  fixture_open (&fixture);
  fixture_run_until_loaded (&fixture);
  begun_ms = test_now_ms ();
  CU_ASSERT (fixture_run_until (&fixture, &fixture.scripted.n_reads, 2, LIMIT_MS));
  CU_ASSERT (test_now_ms () - begun_ms < READ_TIMEOUT_MS + REPEAT_LIMIT_MS);
  fixture_stop (&fixture);
}

/* The response to the regular read arrives after that of an additional read with newer records: the
 * older ones are not passed on again, which would show older values for a while. */
static void
test_responses_that_overtake (void)
{
  struct fixture fixture;

  fixture_start (&fixture, 3);
  fixture.scripted.hold_reads = true;
  fixture_open (&fixture);
  fixture_run_until_loaded (&fixture);
  fixture.last_offset = 2;
  fixture.n_out_of_order = 0;
  scripted_topic_append (&fixture.scripted, "job", "older");
  /* The read that is withheld sees this record only. */
  scripted_topic_release (&fixture.scripted, false);
  SUITE_REQUIRE (fixture_run_until (&fixture, &fixture.scripted.n_reads, 2, LIMIT_MS));
  scripted_topic_append (&fixture.scripted, "job", "newer");
  CU_ASSERT_TRUE (fixture_read_to_end (&fixture));
  CU_ASSERT_STRING_EQUAL (fixture_value (&fixture, "job"), "newer");
  scripted_topic_release (&fixture.scripted, false);
  SUITE_REQUIRE (fixture_run_until (&fixture, &fixture.scripted.n_reads, 3, LIMIT_MS));
  CU_ASSERT_STRING_EQUAL (fixture_value (&fixture, "job"), "newer");
  CU_ASSERT_EQUAL (fixture.n_out_of_order, 0);
  fixture_stop (&fixture);
}

/* An additional read from before a reload of the topic: its older records are not passed on after
 * the newer ones of the reload, which would stay for good, and the read fails. */
static void
test_read_across_a_reload (void)
{
  struct fixture fixture;

  fixture_start (&fixture, 3);
  fixture.scripted.hold_reads = true;
  fixture_open (&fixture);
  fixture_run_until_loaded (&fixture);
  scripted_topic_append (&fixture.scripted, "job", "older");
  fixture.scripted.hold_extra_reads = true;
  topic_reader_read_to_end (fixture.reader, fixture_on_done, &fixture);
  SUITE_REQUIRE (fixture_run_until (&fixture, &fixture.scripted.n_extra_reads, 1, LIMIT_MS));
  scripted_topic_append (&fixture.scripted, "job", "newer");
  fixture.scripted.first = 4;
  scripted_topic_release (&fixture.scripted, false);
  SUITE_REQUIRE (fixture_run_until (&fixture, &fixture.n_loaded, 2, LIMIT_MS));
  CU_ASSERT_STRING_EQUAL (fixture_value (&fixture, "job"), "newer");
  fixture.scripted.first = 0;
  scripted_topic_release (&fixture.scripted, true);
  CU_ASSERT (fixture_run_until (&fixture, &fixture.n_done, 1, LIMIT_MS));
  CU_ASSERT_EQUAL (fixture.n_success, 0);
  CU_ASSERT_STRING_EQUAL (fixture_value (&fixture, "job"), "newer");
  fixture_stop (&fixture);
}

/* A response that begins after the offset that was asked for: the records in between are unread, so
 * an additional read fails and the topic is loaded again. */
static void
test_response_with_a_gap (void)
{
  struct fixture fixture;

  fixture_start (&fixture, 3);
  fixture.scripted.hold_reads = true;
  fixture_open (&fixture);
  fixture_run_until_loaded (&fixture);
  scripted_topic_append (&fixture.scripted, "job", "value");
  scripted_topic_append_many (&fixture.scripted, 3);
  fixture.scripted.skip_expired = true;
  fixture.scripted.first = 5;
  CU_ASSERT_FALSE (fixture_read_to_end (&fixture));
  fixture.scripted.hold_reads = false;
  scripted_topic_append_many (&fixture.scripted, 1);
  CU_ASSERT (fixture_run_until (&fixture, &fixture.n_loaded, 2, LIMIT_MS));
  CU_ASSERT_STRING_EQUAL (fixture_value (&fixture, "job"), "value");
  fixture_stop (&fixture);
}

/* A topic that ends before the offset to read next, as if it had begun anew: records below that
 * offset would never be read, so the topic is loaded again. */
static void
test_offset_beyond_the_end (void)
{
  struct fixture fixture;

  fixture_start (&fixture, 3);
  fixture.scripted.claimed_end = 9;
  fixture_open (&fixture);
  SUITE_REQUIRE (fixture_run_until (&fixture, &fixture.n_loaded, 1, LIMIT_MS));
  scripted_topic_append (&fixture.scripted, "job", "value");
  fixture_run_until (&fixture, &fixture.n_loaded, 2, LIMIT_MS);
  CU_ASSERT_EQUAL (fixture.n_loaded, 2);
  CU_ASSERT_STRING_EQUAL (fixture_value (&fixture, "job"), "value");
  fixture_stop (&fixture);
}

/* A page that says that there is more but holds nothing: the topic is not loaded yet. Taken for the
 * last page, it would leave the keys after it unread for good. */
static void
test_page_without_records (void)
{
  struct fixture fixture;

  fixture_start (&fixture, 3);
  fixture.scripted.page_max = 2;
  fixture.scripted.empty_pages = 1;
  fixture_open (&fixture);
  SUITE_REQUIRE (fixture_run_until (&fixture, &fixture.n_loaded, 1, LIMIT_MS));
  CU_ASSERT_STRING_EQUAL (fixture_value (&fixture, "k00002"), "k00002");
  fixture_stop (&fixture);
}

/* Changes keys before and after the first page that was sent, and makes the second one fail. */
static void
change_between_pages (struct scripted_topic *store, unsigned number)
{
  if (number > 3)
    return;
  store->fail_pages = number == 2;
  scripted_topic_append (store, "k00000", "");
  scripted_topic_append (store, "k00000", "added again");
  scripted_topic_append (store, "k00001", "");
  scripted_topic_append (store, "k00006", "");
  scripted_topic_append (store, "k00007", "");
  scripted_topic_append (store, "k00007", "added again");
}

/* Pages fail at the beginning and half way, and keys are deleted and added again in between: after
 * the load and the first read, each key has its newest value. */
static void
test_load_with_failed_pages (void)
{
  struct fixture fixture;

  fixture_start (&fixture, 8);
  fixture.scripted.page_max = 3;
  fixture.scripted.fail_pages = 1;
  fixture.scripted.page_sent = change_between_pages;
  fixture_open (&fixture);
  SUITE_REQUIRE (fixture_run_until (&fixture, &fixture.n_loaded, 1, LIMIT_MS));
  CU_ASSERT_TRUE (fixture_read_to_end (&fixture));
  for (unsigned i = 0; i < 8; i++)
    {
      g_autofree char *key = g_strdup_printf ("k%05u", i);

      CU_ASSERT_STRING_EQUAL (fixture_value (&fixture, key),
                              scripted_topic_value (&fixture.scripted, key));
    }
  fixture_stop (&fixture);
}

/* Many questions for unknown jobs at once: those that arrive while a read is in progress share the
 * next one. With a read for each, one host could use up the reads that all hosts have. */
static void
test_questions_share_reads (void)
{
  struct fixture fixture;

  fixture_start (&fixture, 3);
  fixture.scripted.hold_reads = true;
  fixture_open (&fixture);
  fixture_run_until_loaded (&fixture);
  fixture.scripted.hold_extra_reads = true;
  topic_reader_read_to_end (fixture.reader, fixture_on_done, &fixture);
  SUITE_REQUIRE (fixture_run_until (&fixture, &fixture.scripted.n_extra_reads, 1, LIMIT_MS));
  /* The read in progress doesn't hold this record, so it can't serve the questions after it. */
  scripted_topic_append (&fixture.scripted, "job", "value");
  for (unsigned i = 0; i < N_QUESTIONS; i++)
    topic_reader_read_to_end (fixture.reader, fixture_on_done, &fixture);
  fixture_run (&fixture, 100);
  CU_ASSERT_EQUAL (fixture.scripted.n_extra_reads, 1);
  CU_ASSERT_EQUAL (fixture.n_done, 0);
  fixture.scripted.hold_extra_reads = false;
  scripted_topic_release (&fixture.scripted, true);
  CU_ASSERT (fixture_run_until (&fixture, &fixture.n_done, 1 + N_QUESTIONS, LIMIT_MS));
  CU_ASSERT_EQUAL (fixture.n_success, 1 + N_QUESTIONS);
  CU_ASSERT_STRING_EQUAL (fixture_value (&fixture, "job"), "value");
  CU_ASSERT_EQUAL (fixture.scripted.n_extra_reads, 2);
  fixture_stop (&fixture);
}

/* Questions that come one after the other, each as soon as the last one has its response: reads
 * keep a minimum distance. */
static void
test_questions_in_a_row (void)
{
  enum
  {
    RUN_MS = 1000,
    READS_MAX = 25,
  };
  struct fixture fixture;
  int64_t begun_ms;

  fixture_start (&fixture, 3);
  fixture.scripted.hold_reads = true;
  fixture_open (&fixture);
  fixture_run_until_loaded (&fixture);
  begun_ms = test_now_ms ();
  while (test_now_ms () - begun_ms < RUN_MS)
    CU_ASSERT_TRUE (fixture_read_to_end (&fixture));
  CU_ASSERT (fixture.scripted.n_extra_reads <= READS_MAX);
  fixture_stop (&fixture);
}

/* Guards against hosts that are behind together and ask the store, whose reads they share, for more
 * than arrives before their timeouts: they read the same again and again, and none of them learnt
 * of anything for the rest of the day. */
static void
test_large_reads_time_out (void)
{
  enum
  {
    KB_IN_TIME = 100,
    N_NEW = 50,
  };
  struct fixture fixture;

  fixture_start (&fixture, 3);
  fixture_open (&fixture);
  fixture_run_until_loaded (&fixture);
  fixture.scripted.kb_in_time = KB_IN_TIME;
  scripted_topic_append_many (&fixture.scripted, N_NEW);
  fixture_run (&fixture, LIMIT_MS);
  CU_ASSERT_EQUAL (fixture.last_offset, 3 + N_NEW - 1);
  CU_ASSERT_TRUE (fixture_read_to_end (&fixture));
  fixture_stop (&fixture);
}

/* After timeouts the next record is larger than what is asked for. */
static void
test_large_record_after_timeouts (void)
{
  enum
  {
    KB_OF_A_RECORD = 300,
  };
  struct fixture fixture;

  fixture_start (&fixture, 3);
  fixture_open (&fixture);
  fixture_run_until_loaded (&fixture);
  fixture.scripted.hold_reads = true;
  fixture_run (&fixture, 2 * READ_TIMEOUT_MS + REPEAT_LIMIT_MS);
  fixture.scripted.kb_of_a_record = KB_OF_A_RECORD;
  fixture.scripted.hold_reads = false;
  scripted_topic_append_many (&fixture.scripted, 1);
  fixture_run (&fixture, READ_TIMEOUT_MS);
  CU_ASSERT_EQUAL (fixture.last_offset, 3);
  fixture_stop (&fixture);
}

static const struct suite_test tests[] = {
  { "reads on to the end", test_reads_on_to_the_end },
  { "end as of the first response", test_end_as_of_the_first_response },
  { "deadline", test_deadline },
  { "response without records", test_response_without_records },
  { "failed read", test_failed_read },
  { "read without response", test_read_without_response },
  { "responses that overtake", test_responses_that_overtake },
  { "read across a reload", test_read_across_a_reload },
  { "response with a gap", test_response_with_a_gap },
  { "offset beyond the end", test_offset_beyond_the_end },
  { "page without records", test_page_without_records },
  { "load with failed pages", test_load_with_failed_pages },
  { "questions share reads", test_questions_share_reads },
  { "questions in a row", test_questions_in_a_row },
  { "large reads time out", test_large_reads_time_out },
  { "large record after timeouts", test_large_record_after_timeouts },
};

int
main (void)
{
  return suite_run ("topic_reader", tests, sizeof tests / sizeof tests[0]);
}
