#include "cases.h"

#include <string.h>

enum
{
  UNIT_MS = 10 * 60 * 1000,
  HOUR_MS = 3600 * 1000,
  DAY_MS = 24 * HOUR_MS,
  HOSTS_PER_RACK = 4,
  PERMILLE = 1000,
  PRICE_MICROS = 1800000,
};

/* Sets one of the predefined combinations of weights. */
void
case_set_weights (struct planner_problem *problem, enum case_weights weights)
{
  static const uint32_t values[N_CASE_WEIGHTS][3] = {
    [CASE_BUFFER_FIRST] = { 600, 250, 150 },
    [CASE_MOVES_FIRST] = { 150, 250, 600 },
    [CASE_ROLLOUT_FIRST] = { 150, 700, 150 },
  };

  problem->weight_buffer = values[weights][0];
  problem->weight_rollout = values[weights][1];
  problem->weight_moves = values[weights][2];
}

const char *
case_weights_name (enum case_weights weights)
{
  static const char *const names[N_CASE_WEIGHTS] = {
    [CASE_BUFFER_FIRST] = "balapan",
    [CASE_MOVES_FIRST] = "derwent",
    [CASE_ROLLOUT_FIRST] = "hasty",
  };

  return names[weights];
}

/* Places hosts on random racks that have a free place. */
static void
case_place_pool (struct planner_problem *problem, struct planner_pool *pool, const char *name,
                 uint32_t n, GRand *rand, uint32_t *places)
{
  pool->name = name;
  pool->hosts = g_new0 (struct planner_host, n + 1);
  pool->n_hosts = n;
  for (uint32_t i = 0; i < n; i++)
    {
      struct planner_host *host = &pool->hosts[i];

      do
        host->rack = (uint32_t) g_rand_int_range (rand, 0, (gint32) problem->n_racks);
      while (places[host->rack] == 0);
      places[host->rack]--;
      host->data_centre = host->rack % problem->n_data_centres;
      host->name = g_strdup_printf ("%s-%05u", name, i);
      host->serving = true;
      host->matches_class = true;
    }
}

/* Returns the number of hosts that must serve for a budget, rounded up. */
static uint32_t
case_min_serving (uint32_t target, uint32_t permille)
{
  return (target * permille + PERMILLE - 1) / PERMILLE;
}

/* Places the hosts of both pools. */
static void
case_place_hosts (struct planner_problem *problem, const struct case_size *size, GRand *rand)
{
  uint32_t *places;

  problem->n_racks = size->racks;
  problem->n_data_centres = size->data_centres;
  problem->price_micros_per_hour = PRICE_MICROS;
  problem->horizon_ms = (int64_t) 20 * DAY_MS;
  places = g_new (uint32_t, size->racks);
  for (uint32_t i = 0; i < size->racks; i++)
    places[i] = HOSTS_PER_RACK;
  case_place_pool (problem, &problem->pool, "pool", size->pool_hosts, rand, places);
  case_place_pool (problem, &problem->spare, "spare", size->spare_hosts, rand, places);
  g_free (places);
}

void
case_init_small (struct planner_problem *problem, enum planner_kind kind, uint32_t seed)
{
  static const uint32_t permilles[] = { 300, 400, 500, 600, 700, 800, 900 };
  GRand *rand = g_rand_new_with_seed (seed);
  struct case_size size = {
    .pool_hosts = (uint32_t) g_rand_int_range (rand, 4, 9),
    .spare_hosts = (uint32_t) g_rand_int_range (rand, 0, kind == PLANNER_WAVE ? 5 : 7),
    .racks = (uint32_t) g_rand_int_range (rand, 4, 7),
    .data_centres = 2,
    .permille = permilles[g_rand_int_range (rand, 0, G_N_ELEMENTS (permilles))],
  };
  int change = kind == PLANNER_WAVE ? 0 : g_rand_int_range (rand, -3, 4);
  struct planner_pool *pool = &problem->pool;

  memset (problem, 0, sizeof *problem);
  problem->kind = kind;
  case_place_hosts (problem, &size, rand);
  problem->move_ms = (int64_t) UNIT_MS * g_rand_int_range (rand, 1, 3);
  problem->maintenance_ms = (int64_t) UNIT_MS * g_rand_int_range (rand, 1, 4);
  pool->target = (uint32_t) MAX (1, (int) size.pool_hosts + change);
  pool->min_serving_after = case_min_serving (pool->target, size.permille);
  pool->min_serving =
      MIN (pool->min_serving_after, case_min_serving (size.pool_hosts, size.permille));
  problem->spare.min_serving = (uint32_t) g_rand_int_range (rand, 0, 2);
  case_set_weights (problem, (enum case_weights) g_rand_int_range (rand, 0, N_CASE_WEIGHTS));
  g_rand_free (rand);
}

void
case_init_sized (struct planner_problem *problem, const struct case_size *size, uint32_t seed)
{
  GRand *rand = g_rand_new_with_seed (seed);

  memset (problem, 0, sizeof *problem);
  problem->kind = PLANNER_WAVE;
  case_place_hosts (problem, size, rand);
  problem->move_ms = UNIT_MS;
  problem->maintenance_ms = UNIT_MS + HOUR_MS;
  problem->pool.target = size->pool_hosts;
  problem->pool.min_serving = problem->pool.min_serving_after =
      case_min_serving (size->pool_hosts, size->permille);
  g_rand_free (rand);
}

static void
case_pool_clear (struct planner_pool *pool)
{
  for (uint32_t i = 0; i < pool->n_hosts; i++)
    g_free ((char *) pool->hosts[i].name);
  g_free (pool->hosts);
}

void
case_clear (struct planner_problem *problem)
{
  case_pool_clear (&problem->pool);
  case_pool_clear (&problem->spare);
  memset (problem, 0, sizeof *problem);
}
