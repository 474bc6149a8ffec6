#include "optimum.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

enum
{
  RACKS_MAX = 6,
  AGES_MAX = 4,
};

/* The hosts of one rack, by state. The arrays count the hosts in a step by the number of remaining
 * units, less one. */
struct rack_state
{
  uint8_t todo;
  uint8_t done;
  /* Members that may move to the spare pool: the borrowed hosts of a wave, all hosts of a
   * resize. */
  uint8_t movable;
  /* In the spare pool: hosts of the pool's class, hosts of other classes, and hosts returned to
   * it. */
  uint8_t spare;
  uint8_t other;
  uint8_t back;
  uint8_t maintained[AGES_MAX];
  uint8_t in[AGES_MAX];
  uint8_t out[AGES_MAX];
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
  uint32_t base;
  int64_t before;
  /* Cost of one move, of one unit of time, and of one buffer host for one unit of time. */
  double move_cost;
  double unit_cost;
  double buffer_cost;
  double horizon_units;
  uint32_t most_out;
  double best;
  uint32_t now;
  GHashTable *seen;
  GArray *layer;
  GArray *next;
};

/* Sums over all racks, and the largest numbers of serving hosts on one rack. */
struct totals
{
  uint32_t todo;
  uint32_t maintained;
  uint32_t movable;
  uint32_t coming;
  uint32_t going;
  uint32_t serving;
  uint32_t most_serving;
  uint32_t spare_serving;
  uint32_t most_spare;
  uint32_t spare_used;
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
sum_ages (const uint8_t ages[AGES_MAX])
{
  uint32_t sum = 0;

  for (uint32_t i = 0; i < AGES_MAX; i++)
    sum += ages[i];
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
      uint32_t serving = (uint32_t) rack->todo + rack->done + rack->movable;
      uint32_t spare = (uint32_t) rack->spare + rack->other + rack->back;

      totals->todo += rack->todo;
      totals->movable += rack->movable;
      totals->maintained += sum_ages (rack->maintained);
      totals->coming += sum_ages (rack->in);
      totals->going += sum_ages (rack->out);
      totals->serving += serving;
      totals->most_serving = MAX (totals->most_serving, serving);
      totals->spare_serving += spare;
      totals->most_spare = MAX (totals->most_spare, spare);
      totals->spare_used += rack->spare;
    }
}

/* Returns the number of hosts beyond need that serve after the loss of the fullest rack. */
static int64_t
totals_margin (uint32_t serving, uint32_t most, uint32_t need)
{
  return need == 0 ? (int64_t) serving : (int64_t) serving - most - need;
}

/* Returns whether the budgets allow the state during the next unit. */
static bool
state_allowed (const struct search *search, const struct totals *totals, uint32_t lent)
{
  const struct planner_problem *problem = search->problem;
  int64_t pool = totals_margin (totals->serving, totals->most_serving, problem->pool.need);
  int64_t spare = totals_margin (totals->spare_serving, totals->most_spare, problem->spare.need);

  if (pool < 0 && (pool < search->before || totals->maintained > 0 ||
                   (problem->kind == PLANNER_RESIZE && totals->going > 0)))
    return false;
  return spare >= 0 || lent == 0;
}

/* Returns whether the plan may end in a state. */
static bool
state_ends (const struct search *search, const struct totals *totals)
{
  const struct planner_pool *pool = &search->problem->pool;

  if (totals->coming + totals->going > 0)
    return false;
  if (search->problem->kind == PLANNER_WAVE)
    return totals->todo + totals->maintained + totals->movable == 0;
  return totals->serving >= pool->target &&
         totals_margin (totals->serving, totals->most_serving, pool->need_after) >= 0;
}

/* Returns the cost of ending now, in addition to the moves and buffer paid so far. */
static double
state_end_cost (const struct search *search, const struct totals *totals)
{
  double cost = search->now * search->unit_cost;
  double left = MAX (0.0, search->horizon_units - search->now);

  if (search->problem->kind == PLANNER_RESIZE && totals->serving > search->base)
    cost += (totals->serving - search->base) * left * search->buffer_cost;
  return cost;
}

/* Returns a lower bound of a state's remaining cost, including the cost of the time so far. */
static double
state_least (const struct search *search, const struct totals *totals)
{
  uint32_t units = 0;

  if (search->problem->kind != PLANNER_WAVE)
    return search->now * search->unit_cost;
  if (totals->todo > 0)
    units = (totals->todo + search->most_out - 1) / search->most_out * search->maintain_units;
  if (totals->movable + totals->coming > 0)
    units = MAX (units, search->move_units);
  return (search->now + units) * search->unit_cost +
         (totals->movable + totals->coming) * search->move_cost;
}

/* Advances the steps of one kind by one unit. Returns the number of hosts whose step ends. */
static uint8_t
ages_advance (uint8_t ages[AGES_MAX])
{
  uint8_t ended = ages[0];

  memmove (&ages[0], &ages[1], AGES_MAX - 1);
  ages[AGES_MAX - 1] = 0;
  return ended;
}

/* Advances a state by one unit of time. */
static void
state_advance (const struct search *search, struct state *state)
{
  for (uint32_t i = 0; i < search->n_racks; i++)
    {
      struct rack_state *rack = &state->racks[i];

      rack->done += ages_advance (rack->maintained);
      rack->movable += ages_advance (rack->in);
      rack->back += ages_advance (rack->out);
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
search_step (struct search *search, const struct state *chosen, double cost, uint32_t n_spare)
{
  struct state state = *chosen;
  struct totals totals;
  uint32_t members;

  state_total (search, &state, &totals);
  if (!state_allowed (search, &totals, n_spare - totals.spare_used))
    return;
  members = totals.serving + totals.maintained + totals.going;
  if (members > search->base)
    cost += (members - search->base) * search->buffer_cost;
  if (cost + state_least (search, &totals) >= search->best)
    return;
  state_advance (search, &state);
  search_push (search, &state, cost);
}

/* Enumerates, rack by rack, how many hosts start which step now. */
static void
search_choose (struct search *search, struct state *state, uint32_t index, double cost,
               uint32_t n_spare)
{
  struct rack_state *rack = &state->racks[index];
  struct rack_state kept;

  if (cost + search->now * search->unit_cost >= search->best)
    return;
  if (index == search->n_racks)
    {
      search_step (search, state, cost, n_spare);
      return;
    }
  kept = *rack;
  for (uint8_t maintain = 0; maintain <= kept.todo; maintain++)
    for (uint8_t borrow = 0; borrow <= kept.spare; borrow++)
      for (uint8_t give = 0; give <= kept.movable; give++)
        {
          rack->todo = kept.todo - maintain;
          rack->maintained[search->maintain_units - 1] = maintain;
          rack->spare = kept.spare - borrow;
          rack->in[search->move_units - 1] = borrow;
          rack->movable = kept.movable - give;
          rack->out[search->move_units - 1] = give;
          search_choose (search, state, index + 1, cost + (borrow + give) * search->move_cost,
                         n_spare);
          *rack = kept;
        }
}

/* Fills in the initial state. */
static void
search_start (struct search *search, struct state *state)
{
  const struct planner_problem *problem = search->problem;

  memset (state, 0, sizeof *state);
  for (uint32_t i = 0; i < problem->pool.n_hosts; i++)
    {
      struct rack_state *rack = &state->racks[problem->pool.hosts[i].rack];

      if (problem->pool.hosts[i].serving && problem->kind == PLANNER_WAVE)
        rack->todo++;
      else if (problem->pool.hosts[i].serving)
        rack->movable++;
    }
  for (uint32_t i = 0; i < problem->spare.n_hosts; i++)
    {
      struct rack_state *rack = &state->racks[problem->spare.hosts[i].rack];

      if (problem->spare.hosts[i].serving && problem->spare.hosts[i].fits)
        rack->spare++;
      else if (problem->spare.hosts[i].serving)
        rack->other++;
    }
}

/* Computes the coefficients of the cost. */
static void
search_prepare (struct search *search, const struct state *start, int64_t unit_ms)
{
  const struct planner_problem *problem = search->problem;
  struct planner_measures move = { .moves = 1 };
  struct planner_measures unit = { .rollout_ms = unit_ms };
  struct planner_measures buffer = { .buffer_micros = planner_price (problem, (uint64_t) unit_ms) };
  struct totals totals;
  int64_t most_out;

  search->move_units = (uint32_t) (problem->move_ms / unit_ms);
  search->maintain_units = (uint32_t) (problem->maintain_ms / unit_ms);
  search->move_cost = planner_cost (problem, &move);
  search->unit_cost = planner_cost (problem, &unit);
  search->buffer_cost = planner_cost (problem, &buffer);
  search->horizon_units = (double) problem->horizon_ms / (double) unit_ms;
  search->base = planner_buffer_base (problem);
  state_total (search, start, &totals);
  search->before = totals_margin (totals.serving, totals.most_serving, problem->pool.need);
  most_out = (int64_t) totals.serving + totals.spare_used - problem->pool.need -
             (problem->pool.need > 0 ? 1 : 0);
  search->most_out = (uint32_t) MAX (1, most_out);
}

/* Expands one layer of states after the other, one unit of time each, until no state is left that
 * could improve on the best cost. */
static void
search_run (struct search *search, const struct state *start, uint32_t n_spare)
{
  search_push (search, start, 0);
  for (search->now = 0; search->next->len > 0; search->now++)
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
          if (state_ends (search, &totals))
            search->best = MIN (search->best, node->cost + state_end_cost (search, &totals));
          search_choose (search, &node->state, 0, node->cost, n_spare);
        }
    }
}

double
plan_optimum (const struct planner_problem *problem, int64_t unit_ms, double bound,
              uint64_t *n_states)
{
  struct search search = { .problem = problem, .n_racks = problem->n_racks, .best = bound };
  struct state start;
  struct totals totals;

  g_assert (problem->n_racks <= RACKS_MAX);
  g_assert (problem->maintain_ms <= AGES_MAX * unit_ms && problem->move_ms <= AGES_MAX * unit_ms);
  search.seen = g_hash_table_new_full (state_hash, state_equal, g_free, g_free);
  search.layer = g_array_new (FALSE, FALSE, sizeof (struct node));
  search.next = g_array_new (FALSE, FALSE, sizeof (struct node));
  search_start (&search, &start);
  search_prepare (&search, &start, unit_ms);
  state_total (&search, &start, &totals);
  search_run (&search, &start, totals.spare_used);
  *n_states = g_hash_table_size (search.seen);
  g_hash_table_unref (search.seen);
  g_array_unref (search.layer);
  g_array_unref (search.next);
  return isinf (search.best) ? -1.0 : search.best;
}
