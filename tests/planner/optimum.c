#include "optimum.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

enum
{
  RACKS_MAX = 6,
  STEP_UNITS_MAX = 4,
};

/* The hosts of one rack, by state. The arrays count the hosts in a step by the number of remaining
 * units, less one. */
struct rack_state
{
  uint8_t pending;
  uint8_t done;
  /* Members that may move to the spare pool: the borrowed hosts of a wave, all hosts of a
   * resize. */
  uint8_t movable;
  /* In the spare pool: hosts of the pool's class, hosts of other classes, and hosts returned to
   * it. */
  uint8_t lendable;
  uint8_t other_class;
  uint8_t returned;
  uint8_t in_maintenance[STEP_UNITS_MAX];
  uint8_t moving_in[STEP_UNITS_MAX];
  uint8_t moving_out[STEP_UNITS_MAX];
};

struct state
{
  struct rack_state racks[RACKS_MAX];
};

struct node
{
  struct state state;
  double cost;
};

struct search
{
  const struct planner_problem *problem;
  uint32_t n_racks;
  uint32_t move_units;
  uint32_t maintain_units;
  uint32_t buffer_base;
  int64_t margin_before;
  /* Cost of one move, of one unit of time, and of one buffer host for one unit of time. */
  double move_cost;
  double unit_cost;
  double buffer_cost;
  double horizon_units;
  uint32_t max_out;
  double lowest_cost;
  uint32_t elapsed_units;
  GHashTable *seen;
  GArray *layer;
  GArray *next;
};

/* Sums over all racks, and the largest numbers of serving hosts on one rack. */
struct totals
{
  uint32_t pending;
  uint32_t in_maintenance;
  uint32_t movable;
  uint32_t moving_in;
  uint32_t moving_out;
  uint32_t serving;
  uint32_t max_rack_serving;
  uint32_t spare_serving;
  uint32_t max_rack_spare;
  uint32_t lendable;
};

static guint
state_hash (const void *key)
{
  return (guint) XXH3_64bits (key, sizeof (struct state));
}

static gboolean
state_equal (const void *a, const void *b)
{
  return memcmp (a, b, sizeof (struct state)) == 0;
}

static uint32_t
sum_in_step (const uint8_t by_remaining[STEP_UNITS_MAX])
{
  uint32_t sum = 0;

  for (uint32_t i = 0; i < STEP_UNITS_MAX; i++)
    sum += by_remaining[i];
  return sum;
}

/* Computes the sums over a state's racks. */
static void
state_total (const struct search *search, const struct state *state, struct totals *totals)
{
  memset (totals, 0, sizeof *totals);
  for (uint32_t i = 0; i < search->n_racks; i++)
    {
      const struct rack_state *rack = &state->racks[i];
      uint32_t serving = (uint32_t) rack->pending + rack->done + rack->movable;
      uint32_t spare = (uint32_t) rack->lendable + rack->other_class + rack->returned;

      totals->pending += rack->pending;
      totals->movable += rack->movable;
      totals->in_maintenance += sum_in_step (rack->in_maintenance);
      totals->moving_in += sum_in_step (rack->moving_in);
      totals->moving_out += sum_in_step (rack->moving_out);
      totals->serving += serving;
      totals->max_rack_serving = MAX (totals->max_rack_serving, serving);
      totals->spare_serving += spare;
      totals->max_rack_spare = MAX (totals->max_rack_spare, spare);
      totals->lendable += rack->lendable;
    }
}

/* Returns the number of hosts beyond min_serving that serve after the loss of the fullest rack. */
static int64_t
totals_margin (uint32_t serving, uint32_t max_rack_serving, uint32_t min_serving)
{
  return min_serving == 0 ? (int64_t) serving : (int64_t) serving - max_rack_serving - min_serving;
}

/* Returns whether the budgets allow the state during the next unit. */
static bool
state_is_allowed (const struct search *search, const struct totals *totals, uint32_t n_lent)
{
  const struct planner_problem *problem = search->problem;
  int64_t pool =
      totals_margin (totals->serving, totals->max_rack_serving, problem->pool.min_serving);
  int64_t spare =
      totals_margin (totals->spare_serving, totals->max_rack_spare, problem->spare.min_serving);

  if (pool < 0 && (pool < search->margin_before || totals->in_maintenance > 0 ||
                   (problem->kind == PLANNER_RESIZE && totals->moving_out > 0)))
    return false;
  return spare >= 0 || n_lent == 0;
}

/* Returns whether the plan may end in a state. */
static bool
state_is_final (const struct search *search, const struct totals *totals)
{
  const struct planner_pool *pool = &search->problem->pool;

  if (totals->moving_in + totals->moving_out > 0)
    return false;
  if (search->problem->kind == PLANNER_WAVE)
    return totals->pending + totals->in_maintenance + totals->movable == 0;
  return totals->serving >= pool->target &&
         totals_margin (totals->serving, totals->max_rack_serving, pool->min_serving_after) >= 0;
}

/* Returns the cost of ending now, in addition to the moves and buffer paid so far. */
static double
state_end_cost (const struct search *search, const struct totals *totals)
{
  double cost = search->elapsed_units * search->unit_cost;
  double left = MAX (0.0, search->horizon_units - search->elapsed_units);

  if (search->problem->kind == PLANNER_RESIZE && totals->serving > search->buffer_base)
    cost += (totals->serving - search->buffer_base) * left * search->buffer_cost;
  return cost;
}

/* Returns a lower bound of a state's remaining cost, including the cost of the time so far. */
static double
state_lower_bound (const struct search *search, const struct totals *totals)
{
  uint32_t units = 0;

  if (search->problem->kind != PLANNER_WAVE)
    return search->elapsed_units * search->unit_cost;
  if (totals->pending > 0)
    units = (totals->pending + search->max_out - 1) / search->max_out * search->maintain_units;
  if (totals->movable + totals->moving_in > 0)
    units = MAX (units, search->move_units);
  return (search->elapsed_units + units) * search->unit_cost +
         (totals->movable + totals->moving_in) * search->move_cost;
}

/* Advances the steps of one kind by one unit. Returns the number of hosts whose step ends. */
static uint8_t
step_units_advance (uint8_t by_remaining[STEP_UNITS_MAX])
{
  uint8_t ended = by_remaining[0];

  memmove (&by_remaining[0], &by_remaining[1], STEP_UNITS_MAX - 1);
  by_remaining[STEP_UNITS_MAX - 1] = 0;
  return ended;
}

/* Advances a state by one unit of time. */
static void
state_advance (const struct search *search, struct state *state)
{
  for (uint32_t i = 0; i < search->n_racks; i++)
    {
      struct rack_state *rack = &state->racks[i];

      rack->done += step_units_advance (rack->in_maintenance);
      rack->movable += step_units_advance (rack->moving_in);
      rack->returned += step_units_advance (rack->moving_out);
    }
}

/* Adds a state to the next layer unless it was reached before at the same or a lower cost. */
static void
search_push (struct search *search, const struct state *state, double cost)
{
  struct node node = { .state = *state, .cost = cost };
  double *known = g_hash_table_lookup (search->seen, state);

  if (known && *known <= cost + 1e-12)
    return;
  if (known)
    *known = cost;
  else
    g_hash_table_insert (search->seen, g_memdup2 (state, sizeof *state),
                         g_memdup2 (&cost, sizeof cost));
  g_array_append_val (search->next, node);
}

/* Completes the selection of one unit's steps: checks the budgets, prunes by the lower bound, and
 * advances by one unit. */
static void
search_finish_unit (struct search *search, const struct state *chosen, double cost,
                    uint32_t n_lendable)
{
  struct state state = *chosen;
  struct totals totals;
  uint32_t members;

  state_total (search, &state, &totals);
  if (!state_is_allowed (search, &totals, n_lendable - totals.lendable))
    return;
  members = totals.serving + totals.in_maintenance + totals.moving_out;
  if (members > search->buffer_base)
    cost += (members - search->buffer_base) * search->buffer_cost;
  if (cost + state_lower_bound (search, &totals) >= search->lowest_cost)
    return;
  state_advance (search, &state);
  search_push (search, &state, cost);
}

/* Enumerates, rack by rack, how many hosts start which step now. */
static void
search_choose_steps (struct search *search, struct state *state, uint32_t index, double cost,
                     uint32_t n_lendable)
{
  struct rack_state *rack = &state->racks[index];
  struct rack_state previous;

  if (cost + search->elapsed_units * search->unit_cost >= search->lowest_cost)
    return;
  if (index == search->n_racks)
    {
      search_finish_unit (search, state, cost, n_lendable);
      return;
    }
  previous = *rack;
  for (uint8_t maintain = 0; maintain <= previous.pending; maintain++)
    for (uint8_t borrow = 0; borrow <= previous.lendable; borrow++)
      for (uint8_t give_back = 0; give_back <= previous.movable; give_back++)
        {
          rack->pending = previous.pending - maintain;
          rack->in_maintenance[search->maintain_units - 1] = maintain;
          rack->lendable = previous.lendable - borrow;
          rack->moving_in[search->move_units - 1] = borrow;
          rack->movable = previous.movable - give_back;
          rack->moving_out[search->move_units - 1] = give_back;
          search_choose_steps (search, state, index + 1,
                               cost + (borrow + give_back) * search->move_cost, n_lendable);
          *rack = previous;
        }
}

/* Fills in the initial state. */
static void
search_init_state (struct search *search, struct state *state)
{
  const struct planner_problem *problem = search->problem;

  memset (state, 0, sizeof *state);
  for (uint32_t i = 0; i < problem->pool.n_hosts; i++)
    {
      struct rack_state *rack = &state->racks[problem->pool.hosts[i].rack];

      if (problem->pool.hosts[i].serving && problem->kind == PLANNER_WAVE)
        rack->pending++;
      else if (problem->pool.hosts[i].serving)
        rack->movable++;
    }
  for (uint32_t i = 0; i < problem->spare.n_hosts; i++)
    {
      struct rack_state *rack = &state->racks[problem->spare.hosts[i].rack];

      if (problem->spare.hosts[i].serving && problem->spare.hosts[i].matches_class)
        rack->lendable++;
      else if (problem->spare.hosts[i].serving)
        rack->other_class++;
    }
}

/* Computes the coefficients of the cost. */
static void
search_init_costs (struct search *search, const struct state *start, int64_t unit_ms)
{
  const struct planner_problem *problem = search->problem;
  struct planner_measures move = { .moves = 1 };
  struct planner_measures unit = { .rollout_ms = unit_ms };
  struct planner_measures buffer = { .buffer_cost_micros =
                                         planner_host_time_price (problem, (uint64_t) unit_ms) };
  struct totals totals;
  int64_t max_out;

  search->move_units = (uint32_t) (problem->move_ms / unit_ms);
  search->maintain_units = (uint32_t) (problem->maintenance_ms / unit_ms);
  search->move_cost = planner_cost (problem, &move);
  search->unit_cost = planner_cost (problem, &unit);
  search->buffer_cost = planner_cost (problem, &buffer);
  search->horizon_units = (double) problem->horizon_ms / (double) unit_ms;
  search->buffer_base = planner_buffer_base (problem);
  state_total (search, start, &totals);
  search->margin_before =
      totals_margin (totals.serving, totals.max_rack_serving, problem->pool.min_serving);
  max_out = (int64_t) totals.serving + totals.lendable - problem->pool.min_serving -
            (problem->pool.min_serving > 0 ? 1 : 0);
  search->max_out = (uint32_t) MAX (1, max_out);
}

/* Expands one layer of states after the other, one unit of time each, until no state is left that
 * could improve on the best cost. */
static void
search_run (struct search *search, const struct state *start, uint32_t n_lendable)
{
  search_push (search, start, 0);
  for (search->elapsed_units = 0; search->next->len > 0; search->elapsed_units++)
    {
      GArray *layer = search->next;

      search->next = search->layer;
      search->layer = layer;
      g_array_set_size (search->next, 0);
      for (guint i = 0; i < layer->len; i++)
        {
          struct node *node = &g_array_index (layer, struct node, i);
          struct totals totals;

          state_total (search, &node->state, &totals);
          if (state_is_final (search, &totals))
            search->lowest_cost =
                MIN (search->lowest_cost, node->cost + state_end_cost (search, &totals));
          search_choose_steps (search, &node->state, 0, node->cost, n_lendable);
        }
    }
}

double
plan_optimum (const struct planner_problem *problem, int64_t unit_ms, double bound,
              uint64_t *n_states)
{
  struct search search = { .problem = problem, .n_racks = problem->n_racks, .lowest_cost = bound };
  struct state start;
  struct totals totals;

  g_assert (problem->n_racks <= RACKS_MAX);
  g_assert (problem->maintenance_ms <= STEP_UNITS_MAX * unit_ms &&
            problem->move_ms <= STEP_UNITS_MAX * unit_ms);
  search.seen = g_hash_table_new_full (state_hash, state_equal, g_free, g_free);
  search.layer = g_array_new (FALSE, FALSE, sizeof (struct node));
  search.next = g_array_new (FALSE, FALSE, sizeof (struct node));
  search_init_state (&search, &start);
  search_init_costs (&search, &start, unit_ms);
  state_total (&search, &start, &totals);
  search_run (&search, &start, totals.lendable);
  *n_states = g_hash_table_size (search.seen);
  g_hash_table_unref (search.seen);
  g_array_unref (search.layer);
  g_array_unref (search.next);
  return isinf (search.lowest_cost) ? -1.0 : search.lowest_cost;
}
