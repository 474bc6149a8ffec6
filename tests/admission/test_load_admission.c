#include "lib/admission/load_admission.h"
#include "suite.h"

/* Forecasts of the leader, and which jobs hosts refuse by them. */

enum
{
  WINDOW_MS = 5000,
};

/* A pool for which three times as much arrives as it has capacity for. */
static const struct outlook_entry overload = {
  .priority = 1, .wait_ms = 6000, .error_ms = 1000, .late_wait_ms = 6000, .capacity_permille = 333
};

static struct admission_request
make_request (const char *id, const char *workspace, double weight)
{
  return (struct admission_request){ .id = id,
                                     .pool = "one",
                                     .priority = 1,
                                     .workspace = workspace,
                                     .weight = weight,
                                     .objective_ms = 1000,
                                     .path_ms = 400,
                                     .cpu_milli = 500,
                                     .memory_mb = 100 };
}

static void
set_outlook (struct load_admission *admission, const struct outlook_entry *entry, int64_t now_ms)
{
  struct admission_pool_entry pool = { .pool = "one", .entry = *entry };

  load_admission_set (admission, &pool, 1, NULL, 0, now_ms);
}

/* Sends 100 jobs, one each 10 ms, of which the accepted ones are read back from the journal.
 * Returns how many were refused. */
static unsigned
send_jobs (struct load_admission *admission, const struct outlook_entry *entry,
           const struct admission_request *request, int64_t from_ms)
{
  unsigned refused = 0;

  for (unsigned i = 0; i < 100; i++)
    {
      struct admission_decision decision;
      int64_t now_ms = from_ms + i * 10;

      set_outlook (admission, entry, now_ms);
      load_admission_decide (admission, request, now_ms, &decision);
      refused += decision.refused;
      CU_ASSERT (decision.refused == (decision.retry_after_s > 0));
      if (!decision.refused)
        load_admission_count (admission, request->workspace, now_ms);
    }
  return refused;
}

/* Only hopeless jobs are refused, never beside free room, never by a forecast that is too old, too
 * uncertain or of another pool, and no more than the share that exceeds the capacity. */
static void
test_limits (void)
{
  static const struct
  {
    const char *what;
    struct outlook_entry entry;
    int64_t objective_ms;
    double residual;
    /* Least number of refusals of 100; 0 if there must be none. */
    unsigned least;
  } cases[] = {
    { "hopeless", { 1, 6000, 1000, 6000, 333, 0, 0 }, 1000, 0.0, 50 },
    { "less urgent work waits", { 2, 6000, 1000, 6000, 333, 0, 0 }, 1000, 0.0, 0 },
    { "in three times the objective", { 1, 6000, 1000, 6000, 333, 0, 0 }, 1801, 0.0, 0 },
    { "if tasks are short", { 1, 6000, 1000, 6000, 333, 0, 0 }, 1790, 0.5, 0 },
    { "fits", { 1, 6000, 1000, 6000, 333, 500, 100 }, 1000, 0.0, 0 },
    { "no memory", { 1, 6000, 1000, 6000, 333, 500, 99 }, 1000, 0.0, 50 },
    { "error above forecast", { 1, 6000, 6001, 6000, 333, 0, 0 }, 100, 0.0, 0 },
    { "capacity for all", { 1, 6000, 1000, 6000, 1000, 0, 0 }, 1000, 0.0, 0 },
    { "its turn comes in time", { 1, 600, 200, 60000, 333, 0, 0 }, 1000, 0.0, 0 },
    { "late before its turn", { 1, 601, 200, 60000, 333, 0, 0 }, 1000, 0.0, 50 },
    { "late, and soon after", { 1, 601, 200, 2600, 333, 0, 0 }, 1000, 0.0, 0 },
    { "a tenth too much", { 1, 6000, 1000, 6000, 900, 0, 0 }, 1000, 0.0, 1 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct load_admission *admission = load_admission_create (WINDOW_MS);
      struct admission_request request = make_request ("a", "", 0.0);
      unsigned refused;

      request.objective_ms = cases[i].objective_ms;
      request.residual = cases[i].residual;
      refused = send_jobs (admission, &cases[i].entry, &request, 0);
      if (cases[i].least == 0)
        CU_ASSERT_EQUAL (refused, 0);
      CU_ASSERT (refused >= cases[i].least);
      load_admission_destroy (admission);
    }
}

/* With a leader that sees what was accepted, no more is refused than exceeds the capacity. */
static void
test_share (void)
{
  struct load_admission *admission = load_admission_create (WINDOW_MS);
  struct admission_request request = make_request ("a", "", 0.0);
  double accepted = 0.0;
  unsigned refused = 0;

  /* 100 jobs a second, of which the pool serves 60. */
  for (unsigned i = 0; i < 3000; i++)
    {
      struct outlook_entry entry = overload;
      struct admission_decision decision;

      accepted *= 0.99;
      entry.capacity_permille = (uint32_t) MIN (60000.0 / MAX (accepted, 1.0), 10000.0);
      set_outlook (admission, &entry, i * 10);
      load_admission_decide (admission, &request, i * 10, &decision);
      accepted += !decision.refused;
      refused += i >= 1000 && decision.refused;
    }
  CU_ASSERT (refused >= 600 && refused <= 820);
  load_admission_destroy (admission);
}

/* A host without a forecast accepts, and one whose last one is older than 1.5 s. */
static void
test_age (void)
{
  struct load_admission *admission = load_admission_create (WINDOW_MS);
  struct admission_request request = make_request ("a", "", 0.0);
  struct admission_decision decision;

  for (unsigned i = 0; i < 10; i++)
    {
      load_admission_decide (admission, &request, 0, &decision);
      CU_ASSERT_FALSE (decision.refused);
      CU_ASSERT_EQUAL (decision.age_ms, -1);
    }
  set_outlook (admission, &overload, 100);
  load_admission_decide (admission, &request, 1601, &decision);
  CU_ASSERT_FALSE (decision.refused);
  load_admission_decide (admission, &request, 1600, &decision);
  CU_ASSERT (decision.refused);
  load_admission_set (admission, NULL, 0, NULL, 0, 1600);
  load_admission_decide (admission, &request, 1600, &decision);
  CU_ASSERT_FALSE (decision.refused);
  load_admission_destroy (admission);
}

/* Of the workspaces the one that exceeds its weight is refused; the one within it is served as long
 * as that suffices. */
static void
test_workspaces (void)
{
  struct load_admission *admission = load_admission_create (WINDOW_MS);
  struct admission_request within = make_request ("a", "within", 30.0);
  struct admission_request over = make_request ("b", "over", 10.0);
  double accepted = 0.0;
  unsigned refused[2] = { 0 };

  /* 80 jobs a second of one and 20 of the other, of which the pool serves 60 in all. */
  for (unsigned i = 0; i < 1000; i++)
    {
      bool is_over = i % 5 != 0;
      struct outlook_entry entry = overload;
      struct admission_decision decision;

      accepted *= 0.99;
      entry.capacity_permille = (uint32_t) MIN (60000.0 / MAX (accepted, 1.0), 10000.0);
      set_outlook (admission, &entry, i * 10);
      load_admission_decide (admission, is_over ? &over : &within, i * 10, &decision);
      refused[is_over] += decision.refused;
      accepted += !decision.refused;
      if (!decision.refused)
        load_admission_count (admission, is_over ? "over" : "within", i * 10);
    }
  CU_ASSERT_EQUAL (refused[0], 0);
  CU_ASSERT (refused[1] > 200 && refused[1] < 450);
  load_admission_destroy (admission);
}

/* Retry-After is at least the wait, spread by id, and shorter for less slack. */
static void
test_retry_after (void)
{
  unsigned seen[32] = { 0 };
  int64_t sums[2] = { 0 };
  unsigned n_values = 0;

  for (unsigned i = 0; i < 200; i++)
    {
      g_autofree char *id = g_strdup_printf ("%016x", i);

      for (unsigned large = 0; large < 2; large++)
        {
          struct load_admission *admission = load_admission_create (WINDOW_MS);
          struct admission_request request = make_request (id, "", 0.0);
          struct admission_decision decision;

          request.objective_ms = large ? 1700 : 500;
          for (unsigned n = 0; n < 3; n++)
            {
              set_outlook (admission, &overload, 0);
              load_admission_decide (admission, &request, 0, &decision);
            }
          SUITE_REQUIRE (decision.refused);
          CU_ASSERT (decision.retry_after_s >= 6 && decision.retry_after_s <= 12);
          seen[decision.retry_after_s]++;
          sums[large] += decision.retry_after_s;
          load_admission_destroy (admission);
        }
    }
  for (unsigned i = 0; i < G_N_ELEMENTS (seen); i++)
    n_values += seen[i] > 0;
  CU_ASSERT (n_values >= 3);
  CU_ASSERT (sums[0] < sums[1]);
}

/* Makes a forecast for a full pool of 10 cores with 60 s of ready work. */
static const struct outlook_entry *
forecast (struct pool_outlook *outlook, double coming_cpu)
{
  struct outlook_input input = { .capacity = { 10000.0, 10000.0 },
                                 .coming = { coming_cpu, coming_cpu },
                                 .coming_in_ms = 1000 };
  struct outlook_work work = { 6e7, 1e6 };

  outlook_input_add (&input, 3, &work, true, false);
  outlook_input_add (&input, 1, &(struct outlook_work){ 1e7, 1e6 }, true, false);
  outlook_input_add (&input, 3, &(struct outlook_work){ 2e7, 1e6 }, true, true);
  pool_outlook_update (outlook, &input, 10000);
  CU_ASSERT_EQUAL (outlook_find (outlook->entries, outlook->n_entries, 0), NULL);
  CU_ASSERT_EQUAL (outlook_find (outlook->entries, outlook->n_entries, 2)->priority, 1);
  return outlook_find (outlook->entries, outlook->n_entries, 3);
}

/* The wait is the waiting work over the capacity, with that of hosts on their way; less urgent work
 * isn't ahead, and late work only of jobs that are late before their turn. Without verified
 * forecasts, and where actual starts were three times as late as forecast, the error exceeds the
 * wait, which turns refusals off. */
static void
test_forecast (void)
{
  struct pool_outlook outlook = { 0 };
  const struct outlook_entry *entry = forecast (&outlook, 0.0);

  CU_ASSERT_EQUAL (entry->wait_ms, 7000);
  CU_ASSERT_EQUAL (entry->late_wait_ms, 9000);
  CU_ASSERT_EQUAL (outlook_entry_wait_ms (entry, 7000), 7000);
  CU_ASSERT_EQUAL (outlook_entry_wait_ms (entry, 6999), 9000);
  CU_ASSERT_EQUAL (outlook.entries[0].wait_ms, 1000);
  CU_ASSERT (entry->error_ms > entry->wait_ms);
  CU_ASSERT_EQUAL (forecast (&outlook, 20000.0)->wait_ms, 3000);
  for (unsigned i = 0; i < 200; i++)
    pool_outlook_add_start (&outlook, 2000, 2400, 5000);
  entry = forecast (&outlook, 0.0);
  CU_ASSERT (entry->error_ms > 1300 && entry->error_ms < 1500);
  for (unsigned i = 0; i < 200; i++)
    pool_outlook_add_start (&outlook, 0, 20, 5000);
  CU_ASSERT (forecast (&outlook, 0.0)->error_ms < 1500);
  for (unsigned i = 0; i < 200; i++)
    pool_outlook_add_start (&outlook, 1000, 3000, 5000);
  entry = forecast (&outlook, 0.0);
  CU_ASSERT (entry->error_ms > entry->wait_ms);
}

/* The capacity is compared with the work that arrived in the last second or so. */
static void
test_capacity (void)
{
  struct pool_outlook outlook = { 0 };

  for (int64_t ms = 0; ms < 10000; ms += 10)
    pool_outlook_add_arrival (&outlook, &(struct outlook_work){ 3e5, 1.0 }, ms);
  /* 30 cores for 10: late work isn't expected to start. */
  CU_ASSERT_EQUAL (forecast (&outlook, 0.0)->late_wait_ms, 60000);
  CU_ASSERT (ABS ((int) forecast (&outlook, 0.0)->capacity_permille - 333) < 10);
}

static const struct suite_test tests[] = {
  { "limits", test_limits },
  { "share", test_share },
  { "age", test_age },
  { "workspaces", test_workspaces },
  { "Retry-After", test_retry_after },
  { "forecast", test_forecast },
  { "capacity", test_capacity },
};

int
main (void)
{
  return suite_run ("load admission", tests, sizeof tests / sizeof tests[0]);
}
