#include <errno.h>

#include "common/loop_timer.h"
#include "fleetd.h"
#include "suite.h"

/* fleetd's log writer against a log whose responses the test gives: what it reports of a record
 * whose append had no response. */

enum
{
  RECORD_WAIT_MS = 400,
  TEST_LIMIT_MS = 3000,
};

/* An append that waits for its response, and the results that the writer has reported. */
struct fixture
{
  struct fleetd fleetd;
  Sp__FleetdSettings settings;
  struct platform platform;
  void (*append_done) (void *ctx, int result, uint64_t offset);
  void *append_ctx;
  unsigned n_appends;
  bool reported;
  enum write_outcome outcome;
};

void
fleetd_set_timer (struct fleetd *fleetd, ev_timer *timer, int64_t delay_ms)
{
  loop_timer_arm (fleetd->loop, timer, delay_ms);
}

uint32_t
fleetd_random (struct fleetd *fleetd, uint32_t limit)
{
  (void) fleetd;
  (void) limit;
  return 0;
}

bool
log_reader_can_reach_log (const struct log_reader *reader)
{
  (void) reader;
  return true;
}

/* Keeps an append until the test responds to it. */
static void
fixture_on_append (void *self, const void *batch, size_t len,
                   void (*done) (void *ctx, int result, uint64_t offset), void *ctx)
{
  struct fixture *fixture = self;

  (void) batch;
  (void) len;
  SUITE_REQUIRE (fixture->append_done == NULL);
  fixture->append_done = done;
  fixture->append_ctx = ctx;
  fixture->n_appends++;
}

static void
fixture_on_result (void *ctx, const struct write_result *result)
{
  struct fixture *fixture = ctx;

  fixture->reported = true;
  fixture->outcome = result->outcome;
}

static void
fixture_init (struct fixture *fixture)
{
  struct fleetd *fleetd = &fixture->fleetd;

  *fixture = (struct fixture){ 0 };
  sp__fleetd_settings__init (&fixture->settings);
  fixture->platform.self = fixture;
  fixture->platform.append = fixture_on_append;
  fleetd->loop = ev_loop_new (EVFLAG_AUTO);
  fleetd->settings = &fixture->settings;
  fleetd->platform = &fixture->platform;
  fleetd->fleet = fleet_create ();
  clock_update (&fleetd->clock);
  log_writer_init (&fleetd->writer, fleetd);
}

static void
fixture_finish (struct fixture *fixture)
{
  struct fleetd *fleetd = &fixture->fleetd;

  log_writer_finish (&fleetd->writer);
  if (fixture->append_done)
    fixture->append_done (fixture->append_ctx, -ETIMEDOUT, 0);
  fleet_destroy (fleetd->fleet);
  ev_loop_destroy (fleetd->loop);
}

static void
fixture_submit (struct fixture *fixture)
{
  Sp__Record *record = malloc (sizeof *record);

  sp__record__init (record);
  CU_ASSERT_EQUAL (log_writer_submit (&fixture->fleetd.writer, record, "tester", RECORD_WAIT_MS,
                                      fixture_on_result, fixture),
                   0);
}

/* Runs the loop until an append waits for its response. Returns false if the record's result is
 * reported first. */
static bool
fixture_wait_append (struct fixture *fixture)
{
  struct fleetd *fleetd = &fixture->fleetd;
  int64_t end_ms;

  clock_update (&fleetd->clock);
  end_ms = fleetd->clock.now_ms + TEST_LIMIT_MS;
  while (!fixture->append_done && !fixture->reported && fleetd->clock.now_ms < end_ms)
    {
      ev_run (fleetd->loop, EVRUN_ONCE);
      clock_update (&fleetd->clock);
    }
  return fixture->append_done != NULL;
}

/* Gives the append that waits its response. */
static void
fixture_respond (struct fixture *fixture, int result)
{
  void (*done) (void *ctx, int result, uint64_t offset) = fixture->append_done;

  SUITE_REQUIRE (done != NULL);
  fixture->append_done = NULL;
  done (fixture->append_ctx, result, 0);
}

/* Rejects each append until the record's result is reported. */
static void
fixture_reject_all (struct fixture *fixture)
{
  while (fixture_wait_append (fixture))
    fixture_respond (fixture, -EAGAIN);
  SUITE_REQUIRE (fixture->reported);
}

/* An append has no response, its record isn't found in the log, and all later appends of the record
 * are rejected. The first one may still be carried out: the record must not be reported as one that
 * will not take effect. */
static void
test_rejected_after_lost (void)
{
  struct fixture fixture;

  fixture_init (&fixture);
  fixture_submit (&fixture);
  SUITE_REQUIRE (fixture_wait_append (&fixture));
  fixture_respond (&fixture, -ETIMEDOUT);
  log_writer_check_unconfirmed (&fixture.fleetd.writer, fixture.fleetd.clock.now_ms, 1);
  fixture_reject_all (&fixture);
  CU_ASSERT (fixture.n_appends >= 2);
  CU_ASSERT_EQUAL (fixture.outcome, WRITE_UNKNOWN);
  fixture_finish (&fixture);
}

/* A record of which each append was rejected is reported as not sent. */
static void
test_rejected (void)
{
  struct fixture fixture;

  fixture_init (&fixture);
  fixture_submit (&fixture);
  fixture_reject_all (&fixture);
  CU_ASSERT (fixture.n_appends >= 2);
  CU_ASSERT_EQUAL (fixture.outcome, WRITE_NOT_SENT);
  fixture_finish (&fixture);
}

/* A record that joins one whose append had no response, and is rejected with it, is reported as not
 * sent: certainty is kept for each record. */
static void
test_rejected_beside_lost (void)
{
  struct fixture fixture;
  struct fixture *second = g_new0 (struct fixture, 1);
  Sp__Record *record = malloc (sizeof *record);

  fixture_init (&fixture);
  fixture_submit (&fixture);
  SUITE_REQUIRE (fixture_wait_append (&fixture));
  sp__record__init (record);
  CU_ASSERT_EQUAL (log_writer_submit (&fixture.fleetd.writer, record, "tester", RECORD_WAIT_MS,
                                      fixture_on_result, second),
                   0);
  fixture_respond (&fixture, -ETIMEDOUT);
  log_writer_check_unconfirmed (&fixture.fleetd.writer, fixture.fleetd.clock.now_ms, 1);
  fixture_reject_all (&fixture);
  while (!second->reported)
    {
      if (fixture.append_done)
        fixture_respond (&fixture, -EAGAIN);
      ev_run (fixture.fleetd.loop, EVRUN_ONCE);
    }
  CU_ASSERT_EQUAL (fixture.outcome, WRITE_UNKNOWN);
  CU_ASSERT_EQUAL (second->outcome, WRITE_NOT_SENT);
  fixture_finish (&fixture);
  g_free (second);
}

static const struct suite_test tests[] = {
  { "rejected after lost", test_rejected_after_lost },
  { "rejected", test_rejected },
  { "rejected beside lost", test_rejected_beside_lost },
};

int
main (void)
{
  return suite_run ("fleet_log_writer", tests, sizeof tests / sizeof tests[0]);
}
