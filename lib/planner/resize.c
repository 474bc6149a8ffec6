#include "internal.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

/* Brings a pool to its target size. Selects hosts to borrow from the spare pool and hosts to return
 * to it, so that the pool reaches its target and the budgets hold after the loss of any one rack.
 * Then starts each move as early as the budgets of both pools allow. */

struct resize
{
  const struct planner_problem *problem;
  struct rack_count pool;
  struct rack_count spare;
  GPtrArray *loan_candidates;
  /* The pool's own hosts, best candidates to return to the spare pool first. */
  GPtrArray *return_candidates;
};

/* A candidate plan: borrow the first n_borrowed loan candidates, return the first n_returned of the
 * pool's hosts. */
struct resize_choice
{
  uint32_t n_borrowed;
  uint32_t n_returned;
};

/* Finds the best host to return next: on the pool's fullest rack; on a tie in its fullest data
 * centre; on a tie on the rack with the fewest hosts of the spare pool. */
static struct planner_host *
resize_next_return (const struct resize *resize, const struct rack_count *left,
                    const uint32_t *by_data_centre, const bool *taken)
{
  const struct planner_pool *pool = &resize->problem->pool;
  const uint32_t *spare = resize->spare.by_rack;
  struct planner_host *best = NULL;

  for (uint32_t i = 0; i < pool->n_hosts; i++)
    {
      struct planner_host *host = &pool->hosts[i];
      int64_t better;

      if (!host->serving || taken[i])
        continue;
      if (!best)
        {
          best = host;
          continue;
        }
      better = (int64_t) left->by_rack[host->rack] - left->by_rack[best->rack];
      if (better == 0)
        better = (int64_t) by_data_centre[host->data_centre] - by_data_centre[best->data_centre];
      if (better == 0)
        better = (int64_t) spare[best->rack] - spare[host->rack];
      if (better > 0)
        best = host;
    }
  return best;
}

/* Lists up to limit hosts of the pool, best candidates to return first. */
static GPtrArray *
resize_return_candidates (const struct resize *resize, uint32_t limit)
{
  const struct planner_pool *pool = &resize->problem->pool;
  uint32_t *by_data_centre = g_new0 (uint32_t, resize->problem->n_data_centres + 1);
  bool *taken = g_new0 (bool, pool->n_hosts + 1);
  GPtrArray *list = g_ptr_array_new ();
  struct rack_count left;
  struct planner_host *host;

  rack_count_copy (&left, &resize->pool);
  for (uint32_t i = 0; i < pool->n_hosts; i++)
    by_data_centre[pool->hosts[i].data_centre] += pool->hosts[i].serving;
  while (list->len < limit && (host = resize_next_return (resize, &left, by_data_centre, taken)))
    {
      taken[host - pool->hosts] = true;
      rack_count_add (&left, host->rack, -1);
      by_data_centre[host->data_centre]--;
      g_ptr_array_add (list, host);
    }
  rack_count_clear (&left);
  g_free (by_data_centre);
  g_free (taken);
  return list;
}

/* Both pools while moves are scheduled. */
struct resize_timeline
{
  const struct resize *resize;
  struct rack_count pool;
  struct rack_count spare;
  GPtrArray *borrows;
  GPtrArray *returns;
  GArray *steps;
};

/* Starts all moves out of a pool that its budget allows at now_ms, and removes them from the list.
 * Returns the number of moves started. */
static uint32_t
resize_timeline_start_moves (struct resize_timeline *timeline, struct rack_count *from,
                             uint32_t min_serving, GPtrArray *list, enum planner_action action,
                             int64_t now_ms)
{
  uint32_t started = 0;

  for (uint32_t i = 0; i < list->len;)
    {
      const struct planner_host *host = g_ptr_array_index (list, i);

      rack_count_add (from, host->rack, -1);
      if (rack_count_margin (from, min_serving) < 0)
        {
          rack_count_add (from, host->rack, 1);
          i++;
          continue;
        }
      planner_step_add (timeline->steps, action, host, now_ms, timeline->resize->problem->move_ms);
      g_ptr_array_remove_index (list, i);
      started++;
    }
  return started;
}

/* Adds the hosts of the moves since first_step to their new pools. */
static void
resize_timeline_finish_moves (struct resize_timeline *timeline, guint first_step)
{
  for (guint i = first_step; i < timeline->steps->len; i++)
    {
      const struct planner_step *step = &g_array_index (timeline->steps, struct planner_step, i);
      bool borrowed = step->action == PLANNER_BORROW;

      rack_count_add (borrowed ? &timeline->pool : &timeline->spare, step->host->rack, 1);
    }
}

/* Schedules all moves in rounds; each round takes the time of one move. Returns the time when the
 * last move ends, or -1 if the budgets never allow some of them. */
static int64_t
resize_timeline_build (struct resize_timeline *timeline)
{
  const struct planner_problem *problem = timeline->resize->problem;
  int64_t now_ms = 0;

  while (timeline->borrows->len > 0 || timeline->returns->len > 0)
    {
      guint first_step = timeline->steps->len;

      resize_timeline_start_moves (timeline, &timeline->spare, problem->spare.min_serving,
                                   timeline->borrows, PLANNER_BORROW, now_ms);
      resize_timeline_start_moves (timeline, &timeline->pool, problem->pool.min_serving,
                                   timeline->returns, PLANNER_RETURN, now_ms);
      if (timeline->steps->len == first_step)
        return -1;
      resize_timeline_finish_moves (timeline, first_step);
      now_ms += problem->move_ms;
    }
  return now_ms;
}

/* Adds up the host time beyond the pool's target until the end of the month. */
static uint64_t
resize_buffer_ms (const struct resize *resize, GArray *steps)
{
  const struct planner_problem *problem = resize->problem;
  int64_t size = resize->pool.total;
  int64_t last_ms = 0;
  uint64_t buffer_ms = 0;

  for (int64_t end_ms = problem->move_ms;; end_ms += problem->move_ms)
    {
      int64_t at_ms = MIN (end_ms, problem->horizon_ms);
      int64_t change = 0;
      bool more = false;

      for (guint i = 0; i < steps->len; i++)
        {
          const struct planner_step *step = &g_array_index (steps, struct planner_step, i);

          more = more || step->end_ms > end_ms;
          if (step->end_ms == end_ms)
            change += step->action == PLANNER_BORROW ? 1 : -1;
        }
      buffer_ms += (uint64_t) (MAX (0, size - problem->pool.target) * MAX (0, at_ms - last_ms));
      size += change;
      last_ms = MAX (last_ms, at_ms);
      if (!more)
        break;
    }
  return buffer_ms +
         (uint64_t) (MAX (0, size - problem->pool.target) * MAX (0, problem->horizon_ms - last_ms));
}

/* Copies the first n entries of an array. */
static GPtrArray *
resize_first_hosts (GPtrArray *list, uint32_t n)
{
  GPtrArray *first = g_ptr_array_new ();

  for (uint32_t i = 0; i < n; i++)
    g_ptr_array_add (first, g_ptr_array_index (list, i));
  return first;
}

/* Schedules the moves of a choice and measures the result. Returns false if the budgets don't allow
 * it. */
static bool
resize_schedule (const struct resize *resize, struct resize_choice choice, GArray *steps,
                 struct planner_measures *measures)
{
  struct resize_timeline timeline = { .resize = resize, .steps = steps };
  int64_t rollout_ms;

  rack_count_copy (&timeline.pool, &resize->pool);
  rack_count_copy (&timeline.spare, &resize->spare);
  timeline.borrows = resize_first_hosts (resize->loan_candidates, choice.n_borrowed);
  timeline.returns = resize_first_hosts (resize->return_candidates, choice.n_returned);
  rollout_ms = resize_timeline_build (&timeline);
  g_ptr_array_unref (timeline.borrows);
  g_ptr_array_unref (timeline.returns);
  rack_count_clear (&timeline.pool);
  rack_count_clear (&timeline.spare);
  if (rollout_ms < 0)
    return false;
  measures->rollout_ms = rollout_ms;
  measures->moves = choice.n_borrowed + choice.n_returned;
  measures->buffer_cost_micros =
      planner_host_time_price (resize->problem, resize_buffer_ms (resize, steps));
  return true;
}

/* The best plan found so far. */
struct resize_search
{
  const struct resize *resize;
  GArray *steps;
  struct planner_measures measures;
  double cost;
};

/* Schedules a choice and keeps it if it is feasible and costs the least so far. */
static void
resize_search_try (struct resize_search *search, struct resize_choice choice)
{
  GArray *steps = g_array_new (FALSE, FALSE, sizeof (struct planner_step));
  struct planner_measures measures;

  if (resize_schedule (search->resize, choice, steps, &measures))
    {
      double cost = planner_cost (search->resize->problem, &measures);

      if (!search->steps || cost < search->cost)
        {
          GArray *worse = search->steps;

          search->steps = steps;
          search->measures = measures;
          search->cost = cost;
          steps = worse;
        }
    }
  if (steps)
    g_array_free (steps, TRUE);
}

/* For a given number of hosts to return, finds the smallest number of hosts to borrow that reaches
 * the target and keeps the new budget, and tries that choice. Returns false if borrowing all
 * candidates isn't enough. */
static bool
resize_search_returns (struct resize_search *search, uint32_t n_returned)
{
  const struct resize *resize = search->resize;
  const struct planner_pool *pool = &resize->problem->pool;
  struct rack_count count;
  bool reached = false;

  rack_count_copy (&count, &resize->pool);
  for (uint32_t i = 0; i < n_returned; i++)
    {
      const struct planner_host *host = g_ptr_array_index (resize->return_candidates, i);

      rack_count_add (&count, host->rack, -1);
    }
  for (uint32_t n_borrowed = 0; n_borrowed <= resize->loan_candidates->len && !reached;
       n_borrowed++)
    {
      if (n_borrowed > 0)
        {
          const struct planner_host *host =
              g_ptr_array_index (resize->loan_candidates, n_borrowed - 1);

          rack_count_add (&count, host->rack, 1);
        }
      if (count.total < pool->target || rack_count_margin (&count, pool->min_serving_after) < 0)
        continue;
      reached = true;
      resize_search_try (search, (struct resize_choice){ n_borrowed, n_returned });
    }
  rack_count_clear (&count);
  return reached;
}

enum
{
  /* Maximum number of hosts exchanged for a better spread over racks, beyond those that leave
   * because the pool shrinks. */
  EXCHANGES_MAX = 16,
  /* Maximum number of hosts kept beyond the target so that the budgets hold. */
  BUFFER_HOSTS_MAX = 256,
};

/* Tries each number of hosts to return, from EXCHANGES_MAX below to EXCHANGES_MAX above the number
 * of hosts beyond the target. */
static void
resize_search_all (struct resize_search *search)
{
  const struct resize *resize = search->resize;
  uint32_t target = resize->problem->pool.target;
  uint32_t surplus = resize->pool.total > target ? resize->pool.total - target : 0;
  uint32_t max_returned = MIN (surplus + EXCHANGES_MAX, resize->return_candidates->len);
  uint32_t min_returned = surplus > EXCHANGES_MAX ? surplus - EXCHANGES_MAX : 0;

  for (uint32_t n_returned = min_returned; n_returned <= max_returned; n_returned++)
    resize_search_returns (search, n_returned);
}

/* Initializes the tables, with the loan candidates selected by order. */
static void
resize_init (struct resize *resize, const struct planner_problem *problem, unsigned order)
{
  uint32_t surplus;
  uint32_t limit;

  resize->problem = problem;
  rack_count_init (&resize->pool, &problem->pool, problem->n_racks);
  rack_count_init (&resize->spare, &problem->spare, problem->n_racks);
  surplus =
      resize->pool.total > problem->pool.target ? resize->pool.total - problem->pool.target : 0;
  resize->return_candidates =
      resize_return_candidates (resize, problem->spare.name ? surplus + EXCHANGES_MAX : 0);
  limit = problem->pool.target > resize->pool.total ? problem->pool.target - resize->pool.total : 0;
  limit += EXCHANGES_MAX + BUFFER_HOSTS_MAX;
  resize->loan_candidates = planner_loan_candidates (problem, &resize->pool, limit, order);
}

static void
resize_clear (struct resize *resize)
{
  rack_count_clear (&resize->pool);
  rack_count_clear (&resize->spare);
  g_ptr_array_unref (resize->loan_candidates);
  g_ptr_array_unref (resize->return_candidates);
}

/* Writes why there is no plan and what would help. */
static void
resize_explain_failure (const struct resize *resize, char reason[PLANNER_REASON_BYTES])
{
  const struct planner_problem *problem = resize->problem;

  snprintf (reason, PLANNER_REASON_BYTES,
            "pool %s: has %u hosts serving, needs %u and %u of them serving with a rack more "
            "failing; spare pool %s can lend %u, more hosts in other racks would help",
            problem->pool.name, resize->pool.total, problem->pool.target,
            problem->pool.min_serving_after, problem->spare.name ? problem->spare.name : "(none)",
            resize->loan_candidates->len);
}

/* Plans the moves that bring a pool to its target. Tries each order of loan candidates and keeps
 * the cheapest plan. */
int
planner_solve_resize (const struct planner_problem *problem, struct planner_solution *solution,
                      char reason[PLANNER_REASON_BYTES])
{
  struct resize_search search = { 0 };
  struct resize resize;

  for (unsigned order = 0; order < N_LOAN_ORDERS; order++)
    {
      resize_init (&resize, problem, order);
      search.resize = &resize;
      resize_search_all (&search);
      if (!search.steps && order == LOAN_ORDER_POOL_SPREAD)
        resize_explain_failure (&resize, reason);
      resize_clear (&resize);
    }
  if (!search.steps)
    return -ENOSPC;
  planner_solution_set (solution, search.steps, &search.measures);
  return 0;
}
