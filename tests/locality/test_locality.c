#include "lib/locality/locality_decision.h"
#include "lib/locality/locality_factor.h"
#include "lib/locality/locality_room.h"
#include "lib/locality/locality_waits.h"
#include "suite.h"

/* The decision, the learned factor, the expected capacity and the waits, each by itself. */

static struct locality_answer
decide (int64_t room_in_ms, int64_t left_ms, double factor, double contention, int64_t max_ms)
{
  static const struct locality_forecast none;
  struct locality_place place = { .factor = 1, .room_in_ms = room_in_ms };
  struct locality_question question = {
    .near_ms = 1000,
    .far_factor = factor,
    .places = &place,
    .n_places = 1,
    .left_ms = left_ms,
    .contention = contention,
    .wait_max_ms = max_ms,
    .forecast = &none,
  };

  return locality_decide (&question);
}

/* A task waits where only the near place meets its objective, and not where the far place does or
 * neither can. */
static void
test_decision (void)
{
  struct locality_answer answer = decide (300, 2000, 3, 0, 1000);

  CU_ASSERT_EQUAL (answer.reason, LOCALITY_WAIT);
  CU_ASSERT (answer.wait_ms >= 300 && answer.wait_ms <= 1000);
  CU_ASSERT_EQUAL (answer.far_ms, 3000);
  CU_ASSERT_EQUAL (decide (-1, 2000, 3, 0, 1000).reason, LOCALITY_START_NO_ROOM);
  CU_ASSERT_EQUAL (decide (1500, 2000, 3, 0, 1000).reason, LOCALITY_START_NO_ROOM);
  CU_ASSERT_EQUAL (decide (300, 2000, 3, 0, 0).reason, LOCALITY_START_NO_ROOM);
  CU_ASSERT_EQUAL (decide (300, 900, 3, 0, 1000).reason, LOCALITY_START_LATE);
  CU_ASSERT_EQUAL (decide (900, 20000, 1.5, 0, 1000).reason, LOCALITY_START_NO_GAIN);
  CU_ASSERT_EQUAL (decide (900, 20000, 1.5, 1, 1000).reason, LOCALITY_WAIT);
}

/* Capacity that comes three times as late as expected corrects later forecasts. A wait that ended
 * before the capacity was expected says nothing. */
static void
test_forecast (void)
{
  struct locality_forecast forecast = { 0 };

  locality_forecast_observe (&forecast, 500, 100, false);
  CU_ASSERT_EQUAL (forecast.n, 0);
  CU_ASSERT_EQUAL (locality_forecast_correct (&forecast, 200), 200);
  for (int i = 0; i < 30; i++)
    locality_forecast_observe (&forecast, 200, 600, true);
  CU_ASSERT (locality_forecast_correct (&forecast, 200) > 400);
  CU_ASSERT (locality_forecast_correct (&forecast, 200) <= 600);
}

/* The factor of an image is the configured one until its ends show another. */
static void
test_factor (void)
{
  struct locality_factors *factors = locality_factors_create (2);

  for (int i = 0; i < 9; i++)
    {
      locality_factors_observe (factors, "a", true, 100, 100);
      locality_factors_observe (factors, "a", false, 100, 300);
    }
  CU_ASSERT_EQUAL (locality_factor (factors, "a"), 2);
  locality_factors_observe (factors, "a", true, 100, 100);
  locality_factors_observe (factors, "a", false, 100, 300);
  CU_ASSERT_DOUBLE_EQUAL (locality_factor (factors, "a"), 3, 0.01);
  for (int i = 0; i < 20; i++)
    {
      locality_factors_observe (factors, "b", true, 100, i % 2 ? 30 : 3000);
      locality_factors_observe (factors, "b", false, 100, 100);
    }
  CU_ASSERT_EQUAL (locality_factor (factors, "b"), 2);
  for (int i = 0; i < 1000; i++)
    {
      char image[16];

      g_snprintf (image, sizeof image, "i%d", i);
      locality_factors_observe (factors, image, true, 100, 100);
    }
  CU_ASSERT_EQUAL (locality_factor (factors, "a"), 2);
  locality_factors_destroy (factors);
}

/* Room comes with the earliest sufficient end, not before the site is usable, and for a gang when
 * the sites together have it. */
static void
test_room (void)
{
  struct locality_end first[] = { { 900, { .cpu_milli = 2 } }, { 300, { .cpu_milli = 2 } } };
  struct locality_end second[] = { { 500, { .cpu_milli = 4 } } };
  struct locality_site sites[] = { { .ends = first, .n_ends = 2 },
                                   { .ends = second, .n_ends = 1 } };
  struct resources two = { .cpu_milli = 2 };
  struct resources four = { .cpu_milli = 4 };
  struct resources five = { .cpu_milli = 5 };
  size_t chosen = 9;

  CU_ASSERT_EQUAL (locality_room_in_ms (sites, 2, &two, 1, &chosen), 300);
  CU_ASSERT_EQUAL (chosen, 0);
  CU_ASSERT_EQUAL (locality_room_in_ms (sites, 2, &four, 1, &chosen), 500);
  CU_ASSERT_EQUAL (chosen, 1);
  CU_ASSERT_EQUAL (locality_room_in_ms (sites, 2, &five, 1, NULL), -1);
  CU_ASSERT_EQUAL (locality_room_in_ms (sites, 2, &two, 3, NULL), 500);
  CU_ASSERT_EQUAL (locality_room_in_ms (sites, 2, &two, 4, NULL), 900);
  sites[0].usable_in_ms = 700;
  sites[1].tasks_max = 1;
  CU_ASSERT_EQUAL (locality_room_in_ms (sites, 1, &two, 1, NULL), 700);
  CU_ASSERT_EQUAL (locality_room_in_ms (sites, 2, &two, 2, NULL), 700);
}

/* What is kept is what the waiting task needs, against tasks that would not end in time, and not
 * against higher priorities. Two that wait don't block each other. */
static void
test_kept_capacity (void)
{
  struct locality_waits *waits = locality_waits_create ();
  int tasks[3];
  int site;
  struct locality_wait wait = { .task = &tasks[0],
                                .owner = &tasks[0],
                                .site = &site,
                                .rank = 5,
                                .request = { .cpu_milli = 4 },
                                .begin_ms = 0,
                                .end_ms = 1000,
                                .room_ms = 500 };
  struct locality_claim claim = { .task = &tasks[1],
                                  .site = &site,
                                  .request = { .cpu_milli = 2 },
                                  .free = { .cpu_milli = 5 },
                                  .rank = 5,
                                  .duration_ms = 400 };

  locality_waits_begin (waits, &wait);
  CU_ASSERT_FALSE (locality_waits_allow (waits, &claim, 10));
  claim.free.cpu_milli = 6;
  CU_ASSERT (locality_waits_allow (waits, &claim, 10));
  claim.free.cpu_milli = 5;
  claim.duration_ms = 200;
  CU_ASSERT (locality_waits_allow (waits, &claim, 10));
  claim.duration_ms = 400;
  claim.rank = 4;
  CU_ASSERT (locality_waits_allow (waits, &claim, 10));
  claim.rank = 5;
  CU_ASSERT (locality_waits_allow (waits, &claim, 1000));
  wait.task = wait.owner = &tasks[2];
  locality_waits_begin (waits, &wait);
  claim = (struct locality_claim){ .task = &tasks[0],
                                   .site = &site,
                                   .request = { .cpu_milli = 4 },
                                   .free = { .cpu_milli = 4 },
                                   .rank = 5,
                                   .duration_ms = 400 };
  CU_ASSERT (locality_waits_allow (waits, &claim, 10));
  claim.task = &tasks[2];
  CU_ASSERT_FALSE (locality_waits_allow (waits, &claim, 10));
  locality_waits_forget_site (waits, &site);
  CU_ASSERT (locality_waits_allow (waits, &claim, 10));
  locality_waits_destroy (waits);
}

/* The waits of a job's tasks together don't exceed its limit, however they overlap. */
static void
test_budget (void)
{
  struct locality_waits *waits = locality_waits_create ();
  int job;
  int tasks[2];
  struct locality_wait wait = { .task = &tasks[0], .owner = &job, .begin_ms = 100, .end_ms = 400 };

  locality_waits_begin (waits, &wait);
  wait.task = &tasks[1];
  wait.begin_ms = 200;
  locality_waits_begin (waits, &wait);
  CU_ASSERT_EQUAL (locality_waits_budget_ms (waits, &job, 1000, 300), 800);
  locality_waits_end (waits, locality_waits_find (waits, &tasks[1]), LOCALITY_WAIT_WON, 300);
  CU_ASSERT_PTR_NULL (locality_waits_find (waits, &tasks[1]));
  locality_waits_end (waits, locality_waits_find (waits, &tasks[0]), LOCALITY_WAIT_LOST, 400);
  CU_ASSERT (locality_waits_find (waits, &tasks[0])->over);
  CU_ASSERT_EQUAL (locality_waits_budget_ms (waits, &job, 1000, 900), 700);
  CU_ASSERT_EQUAL (locality_waits_budget_ms (waits, &job, 200, 900), 0);
  locality_waits_forget_owner (waits, &job, 900);
  CU_ASSERT_EQUAL (locality_waits_budget_ms (waits, &job, 1000, 900), 1000);
  CU_ASSERT_EQUAL (locality_waits_counts (waits)->waited_ms, 400);
  locality_waits_destroy (waits);
}

int
main (void)
{
  static const struct suite_test tests[] = {
    { "decision", test_decision }, { "forecast", test_forecast },  { "factor", test_factor },
    { "room", test_room },         { "kept", test_kept_capacity }, { "budget", test_budget },
  };

  return suite_run ("locality", tests, sizeof tests / sizeof tests[0]);
}
