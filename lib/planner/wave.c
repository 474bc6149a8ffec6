#include "wave.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

enum
{
  /* Counts of loan candidates and of rounds are tried in increments of n / DENSE_COUNTS, at least
   * 1: every count up to 2 * DENSE_COUNTS, and a smaller share of the counts beyond it. */
  DENSE_COUNTS = 32,
  /* Hosts considered for a loan. */
  LOAN_CANDIDATES_MAX = 4096,
  /* Schedules that are tightened. Also limits the sizes of loan for which serial schedules are
   * tried. */
  WAVE_CANDIDATES_MAX = 24,
  /* Random orders of hosts tried for each size of loan. */
  SHUFFLES_MAX = 64,
  /* Limit of (number of candidates to tighten) * (number of hosts)^2, to bound the run time. */
  TIGHTEN_MAX_WORK = 8192,
};

/* Returns the next count to try. */
static uint32_t
wave_next_count (uint32_t n)
{
  return n + MAX (1, n / DENSE_COUNTS);
}

/* Adds a rack to its group. */
static void
wave_occupancy_add_rack (GArray *groups, uint32_t own, uint32_t loan)
{
  struct rack_group group = { .own_hosts = own, .borrowed_hosts = loan, .n_racks = 1 };

  for (guint i = 0; i < groups->len; i++)
    {
      struct rack_group *known = &g_array_index (groups, struct rack_group, i);

      if (known->own_hosts == own && known->borrowed_hosts == loan)
        {
          known->n_racks++;
          return;
        }
    }
  g_array_append_val (groups, group);
}

/* Computes the rack groups for the given number of borrowed hosts by rack. */
static void
wave_occupancy_init (const struct wave *wave, struct wave_occupancy *to, const uint32_t *by_rack)
{
  GArray *groups = g_array_new (FALSE, FALSE, sizeof (struct rack_group));

  for (uint32_t rack = 0; rack < wave->own.n_racks; rack++)
    {
      uint32_t own = wave->own.by_rack[rack];

      to->fullest_rack_hosts = MAX (to->fullest_rack_hosts, own + by_rack[rack]);
      if (own + by_rack[rack] > 0)
        wave_occupancy_add_rack (groups, own, by_rack[rack]);
    }
  to->n_groups = groups->len;
  to->groups = (struct rack_group *) (void *) g_array_free (groups, FALSE);
}

/* Computes the rack occupancy for each number of borrowed hosts. */
static void
wave_compute_occupancies (struct wave *wave)
{
  uint32_t *by_rack = g_new0 (uint32_t, wave->own.n_racks + 1);

  wave->occupancies = g_new0 (struct wave_occupancy, wave->loan_candidates->len + 1);
  for (uint32_t k = 0; k <= wave->loan_candidates->len; k++)
    {
      if (k > 0)
        by_rack[((const struct planner_host *) g_ptr_array_index (wave->loan_candidates, k - 1))
                    ->rack]++;
      wave_occupancy_init (wave, &wave->occupancies[k], by_rack);
    }
  g_free (by_rack);
}

static void
wave_init (struct wave *wave, const struct planner_problem *problem)
{
  memset (wave, 0, sizeof *wave);
  wave->problem = problem;
  rack_count_init (&wave->own, &problem->pool, problem->n_racks);
  wave->loan_candidates = planner_loan_candidates (
      problem, &wave->own, MIN (LOAN_CANDIDATES_MAX, wave->own.total), LOAN_ORDER_POOL_SPREAD);
  wave_compute_occupancies (wave);
}

static void
wave_clear (struct wave *wave)
{
  for (uint32_t k = 0; k <= wave->loan_candidates->len; k++)
    g_free (wave->occupancies[k].groups);
  g_free (wave->occupancies);
  rack_count_clear (&wave->own);
  g_ptr_array_unref (wave->loan_candidates);
}

/* Parameters from which a schedule can be rebuilt, and its cost. */
struct wave_candidate
{
  uint32_t n_rounds;
  uint32_t on_loan;
  uint32_t rounds_before;
  double cost;
};

/* The best candidates so far, cheapest first. */
struct wave_search
{
  const struct wave *wave;
  struct wave_candidate candidates[WAVE_CANDIDATES_MAX];
  uint32_t n_candidates;
  /* Number of candidates to keep. */
  uint32_t max_candidates;
  /* The shortest roll-out time of any feasible schedule, including those longer than the intent
   * allows; 0 if there is none. */
  int64_t min_rollout_ms;
};

/* Inserts a candidate if it is among the best. */
static void
wave_search_add (struct wave_search *search, const struct wave_candidate *candidate)
{
  uint32_t at = search->n_candidates;

  if (at == search->max_candidates && candidate->cost >= search->candidates[at - 1].cost)
    return;
  if (at == search->max_candidates)
    at--;
  else
    search->n_candidates++;
  for (; at > 0 && search->candidates[at - 1].cost > candidate->cost; at--)
    search->candidates[at] = search->candidates[at - 1];
  search->candidates[at] = *candidate;
}

/* Returns true if this number of rounds, even without buffer cost, costs at least as much as the
 * worst candidate kept. More rounds only cost more. */
static bool
wave_search_can_prune (const struct wave_search *search, uint32_t n_rounds, uint32_t on_loan)
{
  const struct planner_problem *problem = search->wave->problem;
  struct planner_measures lower_bound = {
    .rollout_ms = n_rounds * problem->maintenance_ms,
    .moves = 2 * on_loan,
  };

  return search->n_candidates == search->max_candidates &&
         planner_cost (problem, &lower_bound) >=
             search->candidates[search->max_candidates - 1].cost;
}

/* Tries one schedule. Returns false if more rounds with this loan need not be tried: the schedule
 * is not feasible, can't be among the best or doesn't use the whole loan. */
static bool
wave_search_try (struct wave_search *search, uint32_t n_rounds, uint32_t on_loan,
                 uint32_t rounds_before)
{
  const struct planner_problem *problem = search->wave->problem;
  struct wave_candidate candidate = { .n_rounds = n_rounds,
                                      .on_loan = on_loan,
                                      .rounds_before = rounds_before };
  struct wave_schedule schedule;
  int64_t rollout_ms;
  bool uses_whole_loan;

  if (wave_search_can_prune (search, n_rounds, on_loan) ||
      !wave_schedule_build (search->wave, &schedule, n_rounds, on_loan, rounds_before))
    return false;
  rollout_ms = schedule.measures.rollout_ms;
  uses_whole_loan = schedule.max_on_loan == on_loan;
  candidate.cost = planner_cost (problem, &schedule.measures);
  if (search->min_rollout_ms == 0 || rollout_ms < search->min_rollout_ms)
    search->min_rollout_ms = rollout_ms;
  if (problem->finish_within_ms == 0 || rollout_ms <= problem->finish_within_ms)
    wave_search_add (search, &candidate);
  wave_schedule_clear (&schedule);
  return uses_whole_loan;
}

/* Returns the smallest number of rounds that can hold the wave, or 0 if there is none. Uses
 * bisection, since more rounds always hold more hosts. */
static uint32_t
wave_min_rounds (const struct wave *wave, uint32_t on_loan, uint32_t rounds_before)
{
  uint32_t max_rounds = wave->own.total + rounds_before;
  uint32_t low = rounds_before + 1;
  uint32_t high = max_rounds + 1;

  while (low < high)
    {
      uint32_t middle = (low + high) / 2;

      if (wave_schedule_is_feasible (wave, middle, on_loan, rounds_before))
        high = middle;
      else
        low = middle + 1;
    }
  return low > max_rounds ? 0 : low;
}

/* Tries each number of rounds for which the whole loan is used. */
static void
wave_search_loan (struct wave_search *search, uint32_t on_loan, uint32_t rounds_before)
{
  uint32_t max_rounds = search->wave->own.total + rounds_before;
  uint32_t n_rounds = wave_min_rounds (search->wave, on_loan, rounds_before);

  if (n_rounds == 0)
    return;
  while (n_rounds <= max_rounds && wave_search_try (search, n_rounds, on_loan, rounds_before) &&
         on_loan > 0)
    n_rounds = wave_next_count (n_rounds);
}

/* Tries each size of loan, both arriving before the first round and arriving while the first rounds
 * run. */
static void
wave_search_all (struct wave_search *search)
{
  const struct planner_problem *problem = search->wave->problem;
  uint32_t arrival_rounds = (uint32_t) ((problem->move_ms + problem->maintenance_ms - 1) /
                                        MAX (1, problem->maintenance_ms));

  wave_search_loan (search, 0, 0);
  for (uint32_t k = 1; k <= search->wave->loan_candidates->len; k = wave_next_count (k))
    {
      wave_search_loan (search, k, 0);
      wave_search_loan (search, k, arrival_rounds);
    }
}

/* Writes why there is no plan and what would help. */
static void
wave_explain_failure (const struct wave_search *search, char reason[PLANNER_REASON_BYTES])
{
  const struct wave *wave = search->wave;
  const struct planner_pool *pool = &wave->problem->pool;
  const struct planner_pool *spare = &wave->problem->spare;
  uint32_t fullest_rack = wave->occupancies[0].fullest_rack_hosts;

  if (search->min_rollout_ms > 0)
    {
      snprintf (reason, PLANNER_REASON_BYTES,
                "pool %s: the wave takes %lld s at the least, the intent allows %lld s; more time "
                "or more hosts in the spare pool would help",
                pool->name, (long long) (search->min_rollout_ms / 1000),
                (long long) (wave->problem->finish_within_ms / 1000));
      return;
    }
  snprintf (reason, PLANNER_REASON_BYTES,
            "pool %s: %u of %u hosts must serve with a rack of %u more failing; a wave needs %lld "
            "hosts on loan in other racks, spare pool %s can lend %u",
            pool->name, pool->min_serving, wave->own.total, fullest_rack,
            (long long) pool->min_serving + fullest_rack + 1 - wave->own.total,
            spare->name ? spare->name : "(none)", wave->loan_candidates->len);
}

/* The best steps found so far. */
struct wave_best
{
  const struct wave *wave;
  GArray *steps;
  struct planner_measures measures;
};

/* Keeps the steps if they are the cheapest so far and within the time limit; frees them
 * otherwise. */
static void
wave_best_update (struct wave_best *best, GArray *steps, const struct planner_measures *measures)
{
  const struct planner_problem *problem = best->wave->problem;
  GArray *worse = steps;

  if ((problem->finish_within_ms == 0 || measures->rollout_ms <= problem->finish_within_ms) &&
      (!best->steps || planner_cost (problem, measures) < planner_cost (problem, &best->measures)))
    {
      worse = best->steps;
      best->steps = steps;
      best->measures = *measures;
    }
  if (worse)
    g_array_unref (worse);
}

/* Builds the schedule of a candidate and keeps it if it is the best so far. */
static void
wave_best_try_rounds (struct wave_best *best, const struct wave_candidate *candidate,
                      enum wave_rack_order order, bool tighten)
{
  GArray *steps = g_array_new (FALSE, FALSE, sizeof (struct planner_step));
  struct wave_schedule schedule;
  struct planner_measures measures;
  bool fits = wave_schedule_build (best->wave, &schedule, candidate->n_rounds, candidate->on_loan,
                                   candidate->rounds_before);

  g_assert (fits);
  wave_schedule_pack (best->wave, &schedule, order, steps);
  measures = schedule.measures;
  if (tighten)
    wave_tighten (best->wave, steps, &measures);
  wave_best_update (best, steps, &measures);
  wave_schedule_clear (&schedule);
}

/* Builds a schedule of one host at a time for a loan, lets tightening run hosts in parallel, and
 * keeps the result if it is the best so far. */
static void
wave_best_try_serial (struct wave_best *best, uint32_t on_loan, uint32_t seed)
{
  GArray *steps = g_array_new (FALSE, FALSE, sizeof (struct planner_step));
  struct planner_measures measures;

  wave_serial_pack (best->wave, on_loan, seed, steps);
  if (wave_tighten (best->wave, steps, &measures))
    wave_best_update (best, steps, &measures);
  else
    g_array_unref (steps);
}

/* Returns how many schedules of each kind to tighten; 0 for a large wave. */
static uint32_t
wave_tighten_attempts (const struct wave *wave)
{
  return TIGHTEN_MAX_WORK / MAX (1, wave->own.total * wave->own.total);
}

/* Builds schedules for the best candidates and keeps the cheapest. In a small wave, also tightens
 * them and tries other orders of racks and hosts. */
static void
wave_search_finish (const struct wave_search *search, struct planner_solution *solution)
{
  struct wave_best best = { .wave = search->wave };
  uint32_t tries = wave_tighten_attempts (search->wave);

  for (uint32_t i = 0; i < MIN (tries, search->n_candidates); i++)
    for (int order = 0; order < N_WAVE_RACK_ORDERS; order++)
      wave_best_try_rounds (&best, &search->candidates[i], (enum wave_rack_order) order, true);
  for (uint32_t k = 0;
       tries > 0 && k <= MIN (MIN (tries, WAVE_CANDIDATES_MAX), search->wave->loan_candidates->len);
       k++)
    for (uint32_t seed = 0; seed < MIN (tries, SHUFFLES_MAX); seed++)
      wave_best_try_serial (&best, k, seed);
  if (!best.steps)
    wave_best_try_rounds (&best, &search->candidates[0], WAVE_RACKS_FULLEST_FIRST, false);
  planner_solution_set (solution, best.steps, &best.measures);
}

/* Plans a wave: how many hosts to borrow, for which rounds, and which hosts are out of service in
 * each round. */
int
planner_solve_wave (const struct planner_problem *problem, struct planner_solution *solution,
                    char reason[PLANNER_REASON_BYTES])
{
  struct wave wave;
  struct wave_search search = { .wave = &wave };
  int result = 0;

  wave_init (&wave, problem);
  search.max_candidates = CLAMP (wave_tighten_attempts (&wave), 1, WAVE_CANDIDATES_MAX);
  if (wave.own.total > 0)
    wave_search_all (&search);
  if (search.n_candidates > 0)
    wave_search_finish (&search, solution);
  else if (wave.own.total > 0)
    {
      wave_explain_failure (&search, reason);
      result = -ENOSPC;
    }
  wave_clear (&wave);
  return result;
}
