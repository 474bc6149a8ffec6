#include "read.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "lib/bill/month.h"

enum
{
  PERMILLE = 1000,
};

/* What an intent changes: a pool's target, or a service's availability budget. */
struct planner_change
{
  const struct pool *pool;
  uint32_t target;
  const struct service *service;
  uint32_t permille;
};

/* Returns the index of a name; indexes count up in the order in which names first appear. */
static uint32_t
planner_name_index (GHashTable *numbers, const char *name)
{
  gpointer number;

  if (!g_hash_table_lookup_extended (numbers, name, NULL, &number))
    {
      number = GUINT_TO_POINTER (g_hash_table_size (numbers));
      g_hash_table_insert (numbers, g_strdup (name), number);
    }
  return GPOINTER_TO_UINT (number);
}

/* Orders hosts by name, so that a plan does not depend on the order of the fleet's lists. */
static int
planner_host_compare (const void *a, const void *b)
{
  return strcmp (((const struct planner_host *) a)->name, ((const struct planner_host *) b)->name);
}

/* Copies a pool's hosts. A host that another plan holds may go out of service at any time, so it
 * counts as not serving. */
static void
planner_read_hosts (struct planner_pool *copy, const struct pool *pool, const char *host_class)
{
  const struct host *host;

  copy->name = pool->name;
  copy->hosts = g_new0 (struct planner_host, pool->n_hosts + 1);
  LIST_FOREACH (host, &pool->hosts, pool_link)
    {
      struct planner_host *to = &copy->hosts[copy->n_hosts++];

      to->name = host->name;
      to->serving = host_serves (host) && !host->plan;
      to->matches_class = strcmp (host->host_class, host_class) == 0;
    }
  qsort (copy->hosts, copy->n_hosts, sizeof *copy->hosts, planner_host_compare);
}

/* Sets the rack and data centre indexes of a pool's hosts. Racks are identified by data centre and
 * name, since names can repeat between data centres. */
static void
planner_index_hosts (struct planner_problem *problem, struct planner_pool *copy,
                     const struct fleet *fleet, GHashTable *racks, GHashTable *centres)
{
  for (uint32_t i = 0; i < copy->n_hosts; i++)
    {
      const struct host *host = fleet_find_host (fleet, copy->hosts[i].name);
      g_autofree char *rack = g_strdup_printf ("%s/%s", host->data_centre, host->rack);

      copy->hosts[i].rack = planner_name_index (racks, rack);
      copy->hosts[i].data_centre = planner_name_index (centres, host->data_centre);
    }
  problem->n_racks = g_hash_table_size (racks);
  problem->n_data_centres = g_hash_table_size (centres);
}

/* Returns the number of hosts that must serve in a pool after the change, or now if change is
 * NULL. */
static uint32_t
planner_min_serving (const struct fleet *fleet, const struct pool *pool,
                     const struct planner_change *change)
{
  const struct service *service;
  uint32_t min_serving = 0;

  LIST_FOREACH (service, fleet_services (fleet), link)
    {
      uint64_t target = pool->capacity_target;
      uint64_t permille = service->availability_permille;

      if (service->pool != pool)
        continue;
      if (change && change->pool == pool)
        target = change->target;
      if (change && change->service == service)
        permille = change->permille;
      min_serving = MAX (min_serving, (uint32_t) ((target * permille + PERMILLE - 1) / PERMILLE));
    }
  return min_serving;
}

/* Reads the price and the weights. Without weights, all three are 1. */
static void
planner_read_prices (struct planner_problem *problem, const struct fleet *fleet,
                     const struct pool *pool)
{
  const Sp__PriceList *prices = fleet_prices (fleet);
  const Sp__HostClass *host_class = fleet_find_class (fleet, pool->host_class);
  uint64_t price = host_class ? host_class->price_micros_per_hour : 0;
  uint64_t paid = PERMILLE - MIN (PERMILLE, prices->discount_permille);

  problem->price_micros_per_hour = price * paid / PERMILLE;
  problem->weight_buffer = problem->weight_rollout = problem->weight_moves = 1;
  if (!prices->weights ||
      prices->weights->buffer_cost + prices->weights->rollout_time + prices->weights->moves == 0)
    return;
  problem->weight_buffer = prices->weights->buffer_cost;
  problem->weight_rollout = prices->weights->rollout_time;
  problem->weight_moves = prices->weights->moves;
}

/* Reads the pool of a change and its spare pool. */
static void
planner_read_pools (const struct planner_request *request, struct planner_problem *problem,
                    const struct planner_change *change)
{
  const struct fleet *fleet = request->fleet;
  const struct pool *pool = change->pool;
  const struct pool *spare = fleet_find_pool (fleet, pool->spare_pool ? pool->spare_pool : "");
  GHashTable *racks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTable *centres = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  uint32_t now = planner_min_serving (fleet, pool, NULL);

  planner_read_hosts (&problem->pool, pool, pool->host_class);
  planner_index_hosts (problem, &problem->pool, fleet, racks, centres);
  problem->pool.target = change->target;
  problem->pool.min_serving_after = planner_min_serving (fleet, pool, change);
  problem->pool.min_serving = MIN (now, problem->pool.min_serving_after);
  if (spare && spare != pool)
    {
      planner_read_hosts (&problem->spare, spare, pool->host_class);
      planner_index_hosts (problem, &problem->spare, fleet, racks, centres);
      problem->spare.target = spare->capacity_target;
      problem->spare.min_serving = problem->spare.min_serving_after =
          planner_min_serving (fleet, spare, NULL);
    }
  planner_read_prices (problem, fleet, pool);
  problem->move_ms = MAX (1, request->move_ms);
  problem->horizon_ms = month_of (request->wall_ms).end_ms - request->wall_ms;
  g_hash_table_unref (racks);
  g_hash_table_unref (centres);
}

/* Finds a declared pool by name. Returns 0, or -ENOENT with a reason. */
static int
planner_find_pool (const struct planner_request *request, const char *name,
                   const struct pool **pool, char reason[PLANNER_REASON_BYTES])
{
  *pool = fleet_find_pool (request->fleet, name);
  if (*pool && (*pool)->declared)
    return 0;
  snprintf (reason, PLANNER_REASON_BYTES, "pool %s is not declared", name);
  return -ENOENT;
}

/* Reads the intent of a new capacity target. */
static int
planner_read_capacity (const struct planner_request *request, struct planner_problem *problem,
                       char reason[PLANNER_REASON_BYTES])
{
  const Sp__CapacityIntent *intent = request->intent->capacity;
  struct planner_change change = { .target = intent->capacity_target };
  int result = planner_find_pool (request, intent->pool, &change.pool, reason);

  if (result < 0)
    return result;
  if (intent->capacity_target == 0)
    {
      snprintf (reason, PLANNER_REASON_BYTES, "capacity_target: expected at least 1 host");
      return -EINVAL;
    }
  problem->kind = PLANNER_RESIZE;
  planner_read_pools (request, problem, &change);
  return 0;
}

/* Reads the intent of a new availability budget. */
static int
planner_read_budget (const struct planner_request *request, struct planner_problem *problem,
                     char reason[PLANNER_REASON_BYTES])
{
  const Sp__BudgetIntent *intent = request->intent->budget;
  struct planner_change change = { .permille = intent->availability_permille };

  change.service = fleet_find_service (request->fleet, intent->service);
  if (!change.service || !change.service->pool)
    {
      snprintf (reason, PLANNER_REASON_BYTES, "service %s is not declared", intent->service);
      return -ENOENT;
    }
  if (intent->availability_permille > PERMILLE)
    {
      snprintf (reason, PLANNER_REASON_BYTES, "availability_permille: expected 0 to 1000");
      return -EINVAL;
    }
  change.pool = change.service->pool;
  change.target = change.pool->capacity_target;
  problem->kind = PLANNER_RESIZE;
  planner_read_pools (request, problem, &change);
  return 0;
}

/* Rejects a wave while another plan holds a host of the pool, since the wave could not maintain
 * that host. */
static int
planner_check_no_other_plan (const struct pool *pool, char reason[PLANNER_REASON_BYTES])
{
  const struct host *host;

  LIST_FOREACH (host, &pool->hosts, pool_link)
    {
      if (host->plan)
        {
          snprintf (reason, PLANNER_REASON_BYTES,
                    "host %s is held by plan %s: wait for its end or withdraw it", host->name,
                    host->plan->message->id);
          return -EBUSY;
        }
    }
  return 0;
}

/* Reads the intent of a maintenance wave. */
static int
planner_read_wave (const struct planner_request *request, struct planner_problem *problem,
                   char reason[PLANNER_REASON_BYTES])
{
  const Sp__WaveIntent *intent = request->intent->wave;
  struct planner_change change = { 0 };
  int result = planner_find_pool (request, intent->pool, &change.pool, reason);

  if (result == 0)
    result = planner_check_no_other_plan (change.pool, reason);
  if (result < 0)
    return result;
  if (intent->host_maintenance_ms == 0 || intent->host_maintenance_ms > INT32_MAX ||
      intent->finish_within_ms > INT64_MAX)
    {
      snprintf (reason, PLANNER_REASON_BYTES, "host_maintenance_ms: expected 1 to %d", INT32_MAX);
      return -EINVAL;
    }
  change.target = change.pool->capacity_target;
  problem->kind = PLANNER_WAVE;
  problem->finish_within_ms = (int64_t) intent->finish_within_ms;
  planner_read_pools (request, problem, &change);
  problem->maintenance_ms = problem->move_ms + (int64_t) intent->host_maintenance_ms;
  return 0;
}

int
planner_problem_read (const struct planner_request *request, struct planner_problem *problem,
                      char reason[PLANNER_REASON_BYTES])
{
  memset (problem, 0, sizeof *problem);
  switch (request->intent->kind_case)
    {
    case SP__INTENT__KIND_CAPACITY:
      return planner_read_capacity (request, problem, reason);
    case SP__INTENT__KIND_WAVE:
      return planner_read_wave (request, problem, reason);
    case SP__INTENT__KIND_BUDGET:
      return planner_read_budget (request, problem, reason);
    default:
      snprintf (reason, PLANNER_REASON_BYTES,
                "intent: expected a capacity target, a wave or an availability budget");
      return -EINVAL;
    }
}

void
planner_problem_clear (struct planner_problem *problem)
{
  g_free (problem->pool.hosts);
  g_free (problem->spare.hosts);
  memset (problem, 0, sizeof *problem);
}
