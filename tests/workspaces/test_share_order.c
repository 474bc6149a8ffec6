#include <math.h>

#include "lib/workspaces/share_order.h"
#include "suite.h"

/* Weighted fair sharing, on a pool in which each task takes one of a hundred places for a second.
 */

enum
{
  WINDOW_MS = 5000,
  PLACES = 100,
  TASK_MS = 1000,
  TICK_MS = 10,
  WORKSPACES_MAX = 3,
};

static const struct resources task = { .cpu_milli = 1000 };
static const struct resources capacity = { .cpu_milli = PLACES * 1000 };

/* Workspaces of a pool that starts one task every tick, which is all that it can. */
struct contest
{
  struct share_order *order;
  int64_t now_ms;
  unsigned n;
  /* Places go to the tasks in the order of their arrival, for comparison. */
  bool first_come;
  double weights[WORKSPACES_MAX];
  /* Tasks that arrive in a second, those that wait and the number of starts. */
  double rates[WORKSPACES_MAX];
  double waiting[WORKSPACES_MAX];
  unsigned starts[WORKSPACES_MAX];
};

/* Returns the workspace whose oldest waiting task arrived first. */
static size_t
contest_first_come (const struct contest *contest)
{
  size_t first = 0;

  for (size_t w = 1; w < contest->n; w++)
    {
      if (contest->waiting[w] / contest->rates[w] > contest->waiting[first] / contest->rates[first])
        first = w;
    }
  return first;
}

/* Runs for a time and counts the starts in it. */
static void
contest_run (struct contest *contest, int64_t ms)
{
  for (unsigned w = 0; w < contest->n; w++)
    contest->starts[w] = 0;
  for (int64_t end_ms = contest->now_ms + ms; contest->now_ms < end_ms; contest->now_ms += TICK_MS)
    {
      const double *item;
      size_t w;

      share_order_begin (contest->order, contest->now_ms);
      for (w = 0; w < contest->n; w++)
        {
          contest->waiting[w] += contest->rates[w] * TICK_MS / 1000;
          if (contest->waiting[w] >= 1)
            share_order_add (contest->order, (unsigned) w, contest->weights[w],
                             &contest->waiting[w]);
        }
      item = share_order_peek (contest->order);
      if (!item)
        continue;
      w = contest->first_come ? contest_first_come (contest) : (size_t) (item - contest->waiting);
      contest->waiting[w]--;
      contest->starts[w]++;
      share_order_charge (contest->order, (unsigned) w, &task, &capacity, TASK_MS, contest->now_ms);
    }
}

/* Lets one of three workspaces send seven times its usual, and stores the starts of the next 20 s.
 */
static void
run_surge (struct contest *contest, bool first_come)
{
  *contest = (struct contest){
    .n = 3, .first_come = first_come, .weights = { 1, 1, 1 }, .rates = { 30, 30, 30 }
  };
  contest->order = share_order_create (WINDOW_MS);
  contest_run (contest, 20000);
  contest->rates[2] *= 7;
  contest_run (contest, 20000);
  share_order_destroy (contest->order);
}

/* One workspace sends seven times its usual. The others, which use less than their share, lose
 * nothing, and the one gets what they leave. First come first served starts less than half of the
 * 600 tasks that each of the others sends. */
static void
test_surge (void)
{
  struct contest contest;

  run_surge (&contest, true);
  CU_ASSERT (contest.starts[0] < 300 && contest.starts[1] < 300);
  run_surge (&contest, false);
  CU_ASSERT (contest.starts[0] >= 590 && contest.starts[1] >= 590);
  CU_ASSERT (contest.waiting[0] < 5 && contest.waiting[1] < 5);
  CU_ASSERT (contest.starts[2] >= 790);
}

/* Workspaces that all have more work than fits get it by weight, also the one with the least. */
static void
test_weights (void)
{
  struct contest contest = { .n = 3, .weights = { 188, 82, 14 }, .rates = { 200, 200, 200 } };

  contest.order = share_order_create (WINDOW_MS);
  contest_run (&contest, 20000);
  contest_run (&contest, 20000);
  for (unsigned w = 0; w < contest.n; w++)
    CU_ASSERT_DOUBLE_EQUAL (contest.starts[w] / 2000.0, contest.weights[w] / 284, 0.01);
  share_order_destroy (contest.order);
}

/* A workspace that was away gets one window's credit at most, and one that took all of an empty
 * pool isn't held back for longer when the others return. */
static void
test_return (void)
{
  struct contest contest = { .n = 2, .weights = { 1, 1 }, .rates = { 200, 0 } };

  contest.order = share_order_create (WINDOW_MS);
  contest_run (&contest, 60000);
  contest.rates[1] = 200;
  contest_run (&contest, WINDOW_MS);
  CU_ASSERT (contest.starts[1] > contest.starts[0]);
  CU_ASSERT (contest.starts[0] > 70);
  contest_run (&contest, WINDOW_MS);
  CU_ASSERT_DOUBLE_EQUAL (contest.starts[0] / 500.0, 0.5, 0.02);
  share_order_destroy (contest.order);
}

/* The dominant share counts: a workspace whose tasks fill the memory is charged for memory. */
static void
test_dominant (void)
{
  struct share_order *order = share_order_create (WINDOW_MS);
  const struct resources pool = { .cpu_milli = 10000, .memory_mb = 1000 };
  const struct resources request = { .cpu_milli = 1000, .memory_mb = 500 };

  share_order_charge (order, 4, &request, &pool, 1000, 0);
  CU_ASSERT_DOUBLE_EQUAL (share_order_service (order, 4, 0), 500, 0.001);
  CU_ASSERT_DOUBLE_EQUAL (share_order_service (order, 4, WINDOW_MS), 500 / exp (1), 0.001);
  CU_ASSERT_DOUBLE_EQUAL (share_order_service (order, 3, 0), 0, 0.001);
  share_order_destroy (order);
}

/* Items of a workspace keep their order, and each is returned once. At 120 workspaces and as many
 * jobs as 29,000 endpoints run, a pass takes at most two comparisons a level of the heap and turn.
 */
static void
test_size (void)
{
  enum
  {
    N_WORKSPACES = 120,
    N_JOBS = 290000,
  };
  struct share_order *order = share_order_create (WINDOW_MS);
  g_autofree int *jobs = g_new (int, N_JOBS);
  int last[N_WORKSPACES];
  const int *job;
  int n = 0;
  int n_out_of_order = 0;

  for (int i = 0; i < N_WORKSPACES; i++)
    last[i] = -1;
  share_order_begin (order, 0);
  for (int i = 0; i < N_JOBS; i++)
    {
      jobs[i] = i;
      share_order_add (order, (unsigned) i % N_WORKSPACES, 1 + i % N_WORKSPACES, &jobs[i]);
    }
  while ((job = share_order_peek (order)))
    {
      int workspace = *job % N_WORKSPACES;

      n++;
      n_out_of_order += *job <= last[workspace];
      last[workspace] = *job;
      share_order_charge (order, (unsigned) workspace, &task, &capacity, TASK_MS, 0);
      share_order_advance (order, false);
    }
  CU_ASSERT_EQUAL (n, N_JOBS);
  CU_ASSERT_EQUAL (n_out_of_order, 0);
  CU_ASSERT (share_order_steps (order) <=
             (uint64_t) N_JOBS * 2 * (uint64_t) ceil (log2 (N_WORKSPACES)));
  share_order_destroy (order);
}

static const struct suite_test tests[] = {
  { "surge", test_surge },       { "weights", test_weights }, { "return", test_return },
  { "dominant", test_dominant }, { "size", test_size },
};

int
main (void)
{
  return suite_run ("share_order", tests, sizeof tests / sizeof tests[0]);
}
