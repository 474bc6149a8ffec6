#include <math.h>
#include <stdio.h>

#include "lib/locality/locality_decision.h"
#include "lib/locality/locality_room.h"
#include "lib/locality/locality_waits.h"
#include "suite.h"

/* Value earned on patterns of load with a hot rack, against placements that never wait, wait 500 ms
 * or wait until there is room, and one that knows all ends beforehand. */

enum
{
  RACKS = 4,
  ENDPOINTS_PER_RACK = 3,
  ENDPOINTS = RACKS * ENDPOINTS_PER_RACK,
  CORES = 8,
  PASS_MS = 20,
  DAY_MS = 20000,
  SETTLE_MS = 30000,
  SEEDS = 24,
  WAIT_MAX_MS = 1000,
  FIXED_WAIT_MS = 500,
  CHANGE_MS = DAY_MS / 2,
  GANG_TASKS = 8,
  JOBS_MAX = 4000,
};

static const double FAR_FACTOR = 2.5;

enum policy
{
  NEVER_WAIT,
  WAIT_FIXED,
  WAIT_FOR_ROOM,
  DECIDE,
  DECIDE_KNOWING,
  POLICIES,
};

/* A load, relative to the default one. */
struct pattern
{
  const char *name;
  /* Mean time between jobs, share of them with data on rack 0, and mean duration there. */
  double interval_ms;
  double hot_share;
  double work_ms;
  /* Long tasks that keep rack 0 from the start to the end. */
  bool occupied;
  /* Rack 0 is lost, or the leader changes, in the middle. */
  bool rack_lost;
  bool leader_change;
  /* Estimate over duration. */
  double estimate_error;
  double gang_share;
  /* Additional tasks of one core on rack 0, mean time between them. */
  double small_interval_ms;
};

struct job
{
  int rack;
  unsigned n_tasks;
  int64_t cores;
  int64_t arrival_ms;
  /* By its duration, which counts, and by its estimate, which the scheduler knows. */
  int64_t due_ms;
  int64_t expected_due_ms;
  int64_t work_ms;
  int64_t estimate_ms;
  double value;
  bool started;
  int64_t ready_ms;
  /* 0 while it runs or waits. */
  int64_t end_ms;
};

struct run
{
  struct job *job;
  int64_t end_ms;
  int64_t expected_end_ms;
};

struct world
{
  enum policy policy;
  const struct pattern *pattern;
  int64_t now_ms;
  struct job *jobs;
  unsigned n_jobs;
  GArray *runs[ENDPOINTS];
  int64_t free[ENDPOINTS];
  bool down[ENDPOINTS];
  struct locality_waits *waits;
  struct locality_forecast forecast;
  double contention;
};

static double
draw_exponential (GRand *rand, double mean)
{
  return -mean * log (1 - g_rand_double (rand));
}

static void
world_add_job (struct world *world, GRand *rand, double at_ms, int rack, int64_t cores,
               double work_ms)
{
  const struct pattern *pattern = world->pattern;
  struct job *job = &world->jobs[world->n_jobs];

  if (world->n_jobs == JOBS_MAX)
    return;
  world->n_jobs++;
  *job = (struct job){ .rack = rack, .n_tasks = 1, .cores = cores, .arrival_ms = (int64_t) at_ms };
  job->ready_ms = job->arrival_ms;
  job->work_ms = (int64_t) MAX (work_ms * exp (0.5 * (g_rand_double (rand) * 2 - 1)), 20);
  job->estimate_ms = (int64_t) ((double) job->work_ms * pattern->estimate_error *
                                exp (0.3 * (g_rand_double (rand) * 2 - 1)));
  job->due_ms = job->arrival_ms + 2 * job->work_ms + 300;
  job->expected_due_ms = job->arrival_ms + 2 * job->estimate_ms + 300;
  job->value = 0.3 + 0.7 * MIN ((double) job->work_ms * (double) cores / (work_ms * 4), 4);
  if (cores > 1 && g_rand_double (rand) < pattern->gang_share)
    {
      job->n_tasks = GANG_TASKS;
      /* So that a rack has capacity for it. */
      job->cores = 2;
      job->rack = -1;
    }
}

static int
job_compare (const void *left, const void *right)
{
  const struct job *a = left;
  const struct job *b = right;

  return (a->arrival_ms > b->arrival_ms) - (a->arrival_ms < b->arrival_ms);
}

static struct world
world_create (enum policy policy, const struct pattern *pattern, guint32 seed)
{
  struct world world = { .policy = policy, .pattern = pattern };
  GRand *rand = g_rand_new_with_seed (seed);
  double at_ms = 0;

  world.jobs = g_new0 (struct job, JOBS_MAX);
  world.waits = locality_waits_create ();
  for (int i = 0; i < ENDPOINTS; i++)
    {
      world.runs[i] = g_array_new (FALSE, FALSE, sizeof (struct run));
      world.free[i] = CORES;
    }
  for (int i = 0; pattern->occupied && i < ENDPOINTS_PER_RACK; i++)
    world_add_job (&world, rand, 0, 0, CORES, DAY_MS);
  while (at_ms < DAY_MS)
    {
      bool hot = g_rand_double (rand) < pattern->hot_share;
      int rack = hot ? 0 : g_rand_int_range (rand, 1, RACKS);

      world_add_job (&world, rand, at_ms, rack, g_rand_int_range (rand, 2, 7), pattern->work_ms);
      at_ms += draw_exponential (rand, pattern->interval_ms);
    }
  at_ms = pattern->small_interval_ms > 0 ? 0 : DAY_MS;
  while (at_ms < DAY_MS)
    {
      world_add_job (&world, rand, at_ms, 0, 1, pattern->work_ms / 2);
      at_ms += draw_exponential (rand, pattern->small_interval_ms);
    }
  g_rand_free (rand);
  qsort (world.jobs, world.n_jobs, sizeof world.jobs[0], job_compare);
  return world;
}

static void
world_clear (struct world *world)
{
  for (int i = 0; i < ENDPOINTS; i++)
    g_array_free (world->runs[i], TRUE);
  locality_waits_destroy (world->waits);
  g_free (world->jobs);
}

static int64_t
job_estimate_ms (const struct world *world, const struct job *job)
{
  return world->policy == DECIDE_KNOWING ? job->work_ms : job->estimate_ms;
}

static int64_t
job_left_ms (const struct world *world, const struct job *job)
{
  return (world->policy == DECIDE_KNOWING ? job->due_ms : job->expected_due_ms) - world->now_ms;
}

static bool
endpoint_fits (const struct world *world, int endpoint, const struct job *job)
{
  struct locality_claim claim = { .task = job,
                                  .site = &world->free[endpoint],
                                  .request = { .cpu_milli = job->cores },
                                  .free = { .cpu_milli = world->free[endpoint] },
                                  .duration_ms = job_estimate_ms (world, job) };

  return !world->down[endpoint] && world->free[endpoint] >= job->cores &&
         locality_waits_allow (world->waits, &claim, world->now_ms);
}

/* Chooses endpoints for a job on one rack, or any if rack is -1; the fullest first. */
static bool
choose (struct world *world, const struct job *job, int rack, int *chosen)
{
  unsigned n = 0;

  while (n < job->n_tasks)
    {
      int best = -1;

      for (int i = 0; i < ENDPOINTS; i++)
        {
          if ((rack < 0 || i / ENDPOINTS_PER_RACK == rack) && endpoint_fits (world, i, job) &&
              (best < 0 || world->free[i] < world->free[best]))
            best = i;
        }
      if (best < 0)
        break;
      chosen[n++] = best;
      world->free[best] -= job->cores;
    }
  for (unsigned i = 0; i < n; i++)
    world->free[chosen[i]] += job->cores;
  return n == job->n_tasks;
}

static bool
choose_near (struct world *world, const struct job *job, int *chosen)
{
  if (job->n_tasks == 1)
    return choose (world, job, job->rack, chosen);
  for (int rack = 0; rack < RACKS; rack++)
    {
      if (choose (world, job, rack, chosen))
        return true;
    }
  return false;
}

static void
start (struct world *world, struct job *job, const int *chosen, double factor)
{
  struct run run = {
    .job = job,
    .end_ms = world->now_ms + (int64_t) ((double) job->work_ms * factor),
    .expected_end_ms = world->now_ms + (int64_t) ((double) job_estimate_ms (world, job) * factor),
  };

  job->started = true;
  for (unsigned i = 0; i < job->n_tasks; i++)
    {
      world->free[chosen[i]] -= job->cores;
      g_array_append_val (world->runs[chosen[i]], run);
    }
}

/* Returns when a job is expected to fit on a rack, and at which endpoint. */
static int64_t
room_in_ms (const struct world *world, const struct job *job, int rack, size_t *chosen)
{
  struct locality_site sites[ENDPOINTS_PER_RACK];
  struct locality_end ends[ENDPOINTS_PER_RACK][64];
  struct resources request = { .cpu_milli = job->cores };
  size_t n = 0;
  int64_t in_ms;
  int first = rack * ENDPOINTS_PER_RACK;

  for (int i = first; i < first + ENDPOINTS_PER_RACK && !world->down[i]; i++, n++)
    {
      const GPtrArray *waits = locality_waits_at (world->waits, &world->free[i]);

      sites[n] = (struct locality_site){ .free = { .cpu_milli = world->free[i] }, .ends = ends[n] };
      for (guint k = 0; k < world->runs[i]->len; k++)
        {
          const struct run *run = &g_array_index (world->runs[i], struct run, k);
          int64_t overdue_ms = MAX (world->now_ms - run->expected_end_ms, 0);

          ends[n][sites[n].n_ends++] = (struct locality_end){
            .in_ms = MAX (run->expected_end_ms - world->now_ms, MAX (overdue_ms / 4, 20)),
            .released = { .cpu_milli = run->job->cores },
          };
        }
      for (guint k = 0; waits && k < waits->len; k++)
        {
          const struct locality_wait *wait = g_ptr_array_index (waits, k);

          sites[n].free.cpu_milli -= wait->request.cpu_milli;
          ends[n][sites[n].n_ends++] = (struct locality_end){
            .in_ms = MAX (wait->room_ms - world->now_ms, 0) + wait->near_ms,
            .released = wait->request,
          };
        }
    }
  in_ms = locality_room_in_ms (sites, n, &request, job->n_tasks, chosen);
  *chosen += (size_t) first;
  return in_ms;
}

/* Asks the decision whether a job waits, and begins its wait. */
static bool
begin_wait (struct world *world, struct job *job)
{
  static const struct locality_forecast exact = { .n = 1000 };
  size_t site = 0;
  struct locality_place place = { .factor = 1, .room_in_ms = -1 };
  struct locality_question question = {
    .near_ms = job_estimate_ms (world, job),
    .far_factor = FAR_FACTOR,
    .places = &place,
    .n_places = 1,
    .left_ms = job_left_ms (world, job),
    .contention = world->contention,
    .forecast = world->policy == DECIDE_KNOWING ? &exact : &world->forecast,
  };
  struct locality_answer answer;
  struct locality_wait wait = { .task = job, .owner = job, .begin_ms = world->now_ms };

  question.wait_max_ms = locality_waits_budget_ms (world->waits, job, WAIT_MAX_MS, world->now_ms);
  if (world->pattern->leader_change && job->arrival_ms < CHANGE_MS && world->now_ms >= CHANGE_MS)
    question.wait_max_ms = MAX (WAIT_MAX_MS - (world->now_ms - job->arrival_ms), 0);
  for (int rack = 0; rack < RACKS; rack++)
    {
      size_t chosen = 0;
      int64_t in_ms =
          job->n_tasks > 1 || rack == job->rack ? room_in_ms (world, job, rack, &chosen) : -1;

      if (in_ms < 0 || (place.room_in_ms >= 0 && in_ms >= place.room_in_ms))
        continue;
      place.room_in_ms = in_ms;
      site = chosen;
    }
  answer = locality_decide (&question);
  if (answer.reason != LOCALITY_WAIT)
    return false;
  wait.site = job->n_tasks == 1 ? &world->free[site] : NULL;
  wait.request.cpu_milli = job->cores;
  wait.end_ms = world->now_ms + answer.wait_ms;
  wait.room_ms = world->now_ms + answer.room_in_ms;
  wait.expected_ms = place.room_in_ms;
  wait.near_ms = question.near_ms;
  locality_waits_begin (world->waits, &wait);
  return true;
}

static void
end_wait (struct world *world, struct locality_wait *wait, enum locality_wait_end how)
{
  if (how != LOCALITY_WAIT_PLACE_LOST)
    locality_forecast_observe (&world->forecast, wait->expected_ms, world->now_ms - wait->begin_ms,
                               how == LOCALITY_WAIT_WON);
  locality_waits_end (world->waits, wait, how, world->now_ms);
}

/* Returns whether a job that could start far away waits. */
static bool
waits (struct world *world, struct job *job)
{
  const struct locality_wait *wait = locality_waits_find (world->waits, job);
  bool lost = job->n_tasks == 1 && world->down[job->rack * ENDPOINTS_PER_RACK];

  switch (world->policy)
    {
    case NEVER_WAIT:
      return false;
    case WAIT_FIXED:
      return world->now_ms - job->ready_ms < FIXED_WAIT_MS;
    case WAIT_FOR_ROOM:
      return !lost;
    default:
      return wait ? !wait->over : begin_wait (world, job);
    }
}

static void
check_waits (struct world *world)
{
  g_autoptr (GPtrArray) list = locality_waits_list (world->waits);

  for (guint i = 0; i < list->len; i++)
    {
      struct locality_wait *wait = g_ptr_array_index (list, i);
      const struct job *job = wait->task;
      bool lost = job->n_tasks == 1 && world->down[job->rack * ENDPOINTS_PER_RACK];

      if (lost)
        end_wait (world, wait, LOCALITY_WAIT_PLACE_LOST);
      else if (world->now_ms >= wait->end_ms ||
               job_estimate_ms (world, job) > job_left_ms (world, job))
        end_wait (world, wait, LOCALITY_WAIT_LOST);
    }
}

static void
place_job (struct world *world, struct job *job)
{
  int chosen[GANG_TASKS];
  bool near = choose_near (world, job, chosen);
  struct locality_wait *wait;

  if (!near && (!choose (world, job, -1, chosen) || waits (world, job)))
    return;
  wait = locality_waits_find (world->waits, job);
  if (wait && !wait->over)
    end_wait (world, wait, LOCALITY_WAIT_WON);
  locality_waits_forget (world->waits, job, world->now_ms);
  start (world, job, chosen, near ? 1 : FAR_FACTOR);
}

/* Ends what is done, or all that runs on an endpoint that is lost. */
static void
advance_endpoint (struct world *world, int endpoint)
{
  GArray *runs = world->runs[endpoint];
  guint i = 0;

  while (i < runs->len)
    {
      const struct run *run = &g_array_index (runs, struct run, i);
      struct job *job = run->job;

      if (world->now_ms < run->end_ms && !world->down[endpoint])
        {
          i++;
          continue;
        }
      world->free[endpoint] += job->cores;
      /* A gang that loses a member doesn't run again here; it earns nothing with any policy. */
      if (!world->down[endpoint])
        job->end_ms = run->end_ms;
      else if (job->n_tasks == 1)
        {
          job->started = false;
          job->ready_ms = world->now_ms;
        }
      g_array_remove_index_fast (runs, i);
    }
}

/* Places what is ready, those that can be on time first, in the order of their arrival. */
static void
pass (struct world *world)
{
  int64_t ready = 0;
  int64_t free = 0;

  check_waits (world);
  for (int i = 0; i < ENDPOINTS; i++)
    free += world->down[i] ? 0 : world->free[i];
  for (unsigned i = 0; i < world->n_jobs && world->jobs[i].arrival_ms <= world->now_ms; i++)
    ready += world->jobs[i].started ? 0 : world->jobs[i].cores * world->jobs[i].n_tasks;
  world->contention = ready > free ? (double) (ready - free) / (double) ready : 0;
  for (int late = 0; late < 2; late++)
    {
      for (unsigned i = 0; i < world->n_jobs && world->jobs[i].arrival_ms <= world->now_ms; i++)
        {
          struct job *job = &world->jobs[i];

          if (!job->started &&
              (job_estimate_ms (world, job) > job_left_ms (world, job)) == (late > 0))
            place_job (world, job);
        }
    }
}

/* Returns the share of the value that a policy earns. */
static double
play (enum policy policy, const struct pattern *pattern, guint32 seed)
{
  struct world world = world_create (policy, pattern, seed);
  double earned = 0;
  double possible = 0;

  for (; world.now_ms < DAY_MS + SETTLE_MS; world.now_ms += PASS_MS)
    {
      if (pattern->leader_change && world.now_ms == CHANGE_MS)
        {
          locality_waits_destroy (world.waits);
          world.waits = locality_waits_create ();
          world.forecast = (struct locality_forecast){ 0 };
        }
      for (int i = 0; i < ENDPOINTS; i++)
        {
          world.down[i] = pattern->rack_lost && world.now_ms >= CHANGE_MS && i < ENDPOINTS_PER_RACK;
          advance_endpoint (&world, i);
        }
      pass (&world);
    }
  for (unsigned i = 0; i < world.n_jobs; i++)
    {
      const struct job *job = &world.jobs[i];
      int64_t objective_ms = job->due_ms - job->arrival_ms;
      bool done = job->end_ms > 0;

      possible += job->value;
      if (done && job->end_ms <= job->due_ms)
        earned += job->value;
      else if (done && job->end_ms <= job->arrival_ms + 3 * objective_ms)
        earned += job->value / 14;
    }
  world_clear (&world);
  return earned / possible;
}

/* Plays a pattern with each policy and checks the bounds. */
static void
check_pattern (const struct pattern *pattern, bool against_knowing)
{
  double earned[POLICIES] = { 0 };
  double best = 0;

  for (int policy = 0; policy < POLICIES; policy++)
    {
      for (guint32 seed = 1; seed <= SEEDS; seed++)
        earned[policy] += play ((enum policy) policy, pattern, seed) / SEEDS;
    }
  printf ("%s: never %.3f fixed %.3f room %.3f decided %.3f knowing %.3f\n", pattern->name,
          earned[NEVER_WAIT], earned[WAIT_FIXED], earned[WAIT_FOR_ROOM], earned[DECIDE],
          earned[DECIDE_KNOWING]);
  for (int policy = NEVER_WAIT; policy < DECIDE; policy++)
    {
      best = MAX (best, earned[policy]);
      CU_ASSERT (earned[DECIDE] >= earned[policy] - 0.01);
    }
  if (against_knowing)
    CU_ASSERT (earned[DECIDE] >= 0.95 * MAX (best, earned[DECIDE_KNOWING]));
}

#define HOT .interval_ms = 70, .hot_share = 0.5, .work_ms = 500, .estimate_error = 1

static void
test_hot_rack (void)
{
  static const struct pattern frees = { "frees itself", HOT };
  static const struct pattern brief = { "brief tasks", .interval_ms = 10, .hot_share = 0.45,
                                        .work_ms = 120, .estimate_error = 1 };
  static const struct pattern occupied = { "stays full", HOT, .occupied = true };
  static const struct pattern lost = { "is lost", HOT, .rack_lost = true };

  check_pattern (&frees, true);
  check_pattern (&brief, true);
  check_pattern (&occupied, false);
  check_pattern (&lost, false);
}

static void
test_wrong_estimates (void)
{
  static const struct pattern high = { "estimates high", .interval_ms = 70, .hot_share = 0.5,
                                       .work_ms = 500, .estimate_error = 3 };
  static const struct pattern low = { "estimates low", .interval_ms = 70, .hot_share = 0.5,
                                      .work_ms = 500, .estimate_error = 1.0 / 3 };

  check_pattern (&high, false);
  check_pattern (&low, false);
}

static void
test_gangs (void)
{
  static const struct pattern gangs = { "gangs",        .interval_ms = 100,  .hot_share = 0.3,
                                        .work_ms = 500, .estimate_error = 1, .gang_share = 0.3 };

  check_pattern (&gangs, false);
}

static void
test_small_tasks (void)
{
  static const struct pattern small = { "small tasks", HOT, .small_interval_ms = 40 };

  check_pattern (&small, false);
}

static void
test_leader_change (void)
{
  static const struct pattern change = { "new leader", HOT, .leader_change = true };

  check_pattern (&change, false);
}

int
main (void)
{
  static const struct suite_test tests[] = {
    { "hot rack", test_hot_rack },
    { "wrong estimates", test_wrong_estimates },
    { "gangs", test_gangs },
    { "small tasks", test_small_tasks },
    { "new leader", test_leader_change },
  };

  return suite_run ("locality_patterns", tests, sizeof tests / sizeof tests[0]);
}
