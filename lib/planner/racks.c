#include "internal.h"

#include <string.h>

void
rack_count_init (struct rack_count *count, const struct planner_pool *pool, uint32_t n_racks)
{
  count->by_rack = g_new0 (uint32_t, n_racks + 1);
  count->n_racks = n_racks;
  count->total = 0;
  for (uint32_t i = 0; i < pool->n_hosts; i++)
    {
      if (pool->hosts[i].serving)
        rack_count_add (count, pool->hosts[i].rack, 1);
    }
}

void
rack_count_copy (struct rack_count *count, const struct rack_count *from)
{
  *count = *from;
  count->by_rack = g_memdup2 (from->by_rack, (from->n_racks + 1) * sizeof *from->by_rack);
}

void
rack_count_clear (struct rack_count *count)
{
  g_free (count->by_rack);
  memset (count, 0, sizeof *count);
}

/* Adds hosts to a rack; a negative number removes hosts. */
void
rack_count_add (struct rack_count *count, uint32_t rack, int32_t by)
{
  count->by_rack[rack] += (uint32_t) by;
  count->total += (uint32_t) by;
}

/* Returns the number of hosts on the fullest rack, which are lost if it fails. */
uint32_t
rack_count_max (const struct rack_count *count)
{
  uint32_t max = 0;

  for (uint32_t i = 0; i < count->n_racks; i++)
    max = MAX (max, count->by_rack[i]);
  return max;
}

/* Returns by how many hosts the pool exceeds min_serving after the loss of its fullest rack. A
 * negative result means that the budget does not hold. If min_serving is 0, returns the number of
 * serving hosts. */
int64_t
rack_count_margin (const struct rack_count *count, uint32_t min_serving)
{
  if (min_serving == 0)
    return (int64_t) count->total;
  return (int64_t) count->total - rack_count_max (count) - min_serving;
}

/* State of the selection of hosts to borrow from the spare pool. */
struct loan_search
{
  const struct planner_problem *problem;
  const uint32_t *own_by_rack;
  struct rack_count pool;
  struct rack_count spare;
  uint32_t *by_data_centre;
  bool *selected;
  unsigned order;
};

/* Returns true if a is a better host to borrow next than b. The criteria, in order: its rack holds
 * the fewest hosts of the pool; its rack holds more of the pool's own hosts, since a wave takes
 * those out of service in turn; its data centre holds the fewest hosts of the pool; its rack holds
 * the most hosts of the spare pool. With LOAN_ORDER_SPARE_SPREAD the last criterion comes first. On
 * a tie the first by name stays. */
static bool
loan_search_is_better (const struct loan_search *search, const struct planner_host *a,
                       const struct planner_host *b)
{
  const uint32_t *pool = search->pool.by_rack;
  const uint32_t *spare = search->spare.by_rack;
  const uint32_t *centres = search->by_data_centre;

  if ((search->order & LOAN_ORDER_SPARE_SPREAD) && spare[a->rack] != spare[b->rack])
    return spare[a->rack] > spare[b->rack];
  if (pool[a->rack] != pool[b->rack])
    return pool[a->rack] < pool[b->rack];
  if (search->own_by_rack[a->rack] != search->own_by_rack[b->rack])
    return search->own_by_rack[a->rack] > search->own_by_rack[b->rack];
  if (centres[a->data_centre] != centres[b->data_centre])
    return centres[a->data_centre] < centres[b->data_centre];
  if (spare[a->rack] != spare[b->rack])
    return spare[a->rack] > spare[b->rack];
  return false;
}

/* Selects the best remaining host of the spare pool. Returns NULL if there is none. */
static struct planner_host *
loan_search_next (struct loan_search *search)
{
  const struct planner_pool *spare = &search->problem->spare;
  struct planner_host *best = NULL;

  for (uint32_t i = 0; i < spare->n_hosts; i++)
    {
      struct planner_host *host = &spare->hosts[i];

      if (!host->serving || !host->matches_class || search->selected[i])
        continue;
      if (!best || loan_search_is_better (search, host, best))
        best = host;
    }
  if (!best)
    return NULL;
  search->selected[best - spare->hosts] = true;
  rack_count_add (&search->pool, best->rack, 1);
  rack_count_add (&search->spare, best->rack, -1);
  search->by_data_centre[best->data_centre]++;
  return best;
}

/* Reverts the selection of a host in the counts. The host stays marked, so it isn't selected
 * again. */
static void
loan_search_revert (struct loan_search *search, const struct planner_host *host)
{
  rack_count_add (&search->pool, host->rack, -1);
  rack_count_add (&search->spare, host->rack, 1);
  search->by_data_centre[host->data_centre]--;
}

/* Lists the hosts to borrow. Unless LOAN_ORDER_OVER_BUDGET is set, hosts whose loan breaks the
 * spare pool's budget are skipped. */
GPtrArray *
planner_loan_candidates (const struct planner_problem *problem, const struct rack_count *pool,
                         uint32_t limit, unsigned order)
{
  struct loan_search search = { .problem = problem, .own_by_rack = pool->by_rack, .order = order };
  GPtrArray *list = g_ptr_array_new ();
  struct planner_host *host;

  rack_count_copy (&search.pool, pool);
  rack_count_init (&search.spare, &problem->spare, problem->n_racks);
  search.by_data_centre = g_new0 (uint32_t, problem->n_data_centres + 1);
  search.selected = g_new0 (bool, problem->spare.n_hosts + 1);
  for (uint32_t i = 0; i < problem->pool.n_hosts; i++)
    search.by_data_centre[problem->pool.hosts[i].data_centre]++;
  while (list->len < limit && (host = loan_search_next (&search)))
    {
      if ((order & LOAN_ORDER_OVER_BUDGET) ||
          rack_count_margin (&search.spare, problem->spare.min_serving) >= 0)
        g_ptr_array_add (list, host);
      else
        loan_search_revert (&search, host);
    }
  rack_count_clear (&search.pool);
  rack_count_clear (&search.spare);
  g_free (search.by_data_centre);
  g_free (search.selected);
  return list;
}
