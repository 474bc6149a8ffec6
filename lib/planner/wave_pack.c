#include "wave.h"

/* Orders racks by their number of hosts in descending order, then by index. */
static int
wave_rack_compare (const void *a, const void *b, void *ctx)
{
  const uint32_t *hosts = ctx;
  uint32_t left = *(const uint32_t *) a;
  uint32_t right = *(const uint32_t *) b;

  if (hosts[left] != hosts[right])
    return hosts[left] > hosts[right] ? -1 : 1;
  return left < right ? -1 : left > right;
}

GArray *
wave_racks (const struct wave *wave, enum wave_rack_order order)
{
  GArray *racks = g_array_new (FALSE, FALSE, sizeof (uint32_t));

  for (uint32_t rack = 0; rack < wave->own.n_racks; rack++)
    {
      if (wave->own.by_rack[rack] > 0)
        g_array_append_val (racks, rack);
    }
  g_array_sort_with_data (racks, wave_rack_compare, wave->own.by_rack);
  for (guint i = 0; order == WAVE_RACKS_FULLEST_LAST && i < racks->len / 2; i++)
    {
      uint32_t *left = &g_array_index (racks, uint32_t, i);
      uint32_t *right = &g_array_index (racks, uint32_t, racks->len - 1 - i);
      uint32_t previous = *left;

      *left = *right;
      *right = previous;
    }
  return racks;
}

/* State of the selection of hosts: the hosts of each rack not yet selected, the number of borrowed
 * hosts by rack, and the number of hosts of each rack reserved for later rounds, which must take
 * them out of service to lower the fullest rack. */
struct wave_pack
{
  const struct wave *wave;
  const struct wave_schedule *schedule;
  GPtrArray **hosts_by_rack;
  uint32_t *loan_by_rack;
  uint32_t *reserved_by_rack;
  GArray *racks;
  GArray *steps;
};

/* Returns how many of a rack's hosts must be out of service in a round. */
static uint32_t
wave_pack_min_out (const struct wave_pack *pack, uint32_t rack, uint32_t round)
{
  const struct wave_occupancy *occupancy = wave_round_occupancy (pack->wave, pack->schedule, round);
  uint32_t hosts = pack->wave->own.by_rack[rack];

  if (pack->schedule->on_loan[round] > 0)
    hosts += pack->loan_by_rack[rack];
  return wave_min_out (occupancy, hosts, pack->schedule->lowered_by[round]);
}

/* Adds the maintenance of up to n hosts of a rack to a round. Returns the number added. */
static uint32_t
wave_pack_add_hosts (struct wave_pack *pack, uint32_t rack, uint32_t round, uint32_t n)
{
  const struct planner_problem *problem = pack->wave->problem;
  GPtrArray *hosts = pack->hosts_by_rack[rack];
  uint32_t added = 0;

  for (; added < n && hosts->len > 0; added++)
    {
      const struct planner_host *host = g_ptr_array_steal_index (hosts, hosts->len - 1);

      planner_step_add (pack->steps, PLANNER_MAINTAIN, host,
                        pack->schedule->first_round_ms + round * problem->maintenance_ms,
                        problem->maintenance_ms);
    }
  return added;
}

/* Fills one round: first the hosts that must be out of service, then all free hosts of one rack
 * after the other. */
static void
wave_pack_round (struct wave_pack *pack, uint32_t round)
{
  const struct wave_schedule *schedule = pack->schedule;
  int64_t capacity = MAX (0, wave_round_capacity (pack->wave, schedule, round)) +
                     (int64_t) schedule->lowered_by[round];

  for (guint i = 0; schedule->lowered_by[round] > 0 && i < pack->racks->len; i++)
    {
      uint32_t rack = g_array_index (pack->racks, uint32_t, i);
      uint32_t min_out = wave_pack_min_out (pack, rack, round);

      pack->reserved_by_rack[rack] -= min_out;
      capacity -= wave_pack_add_hosts (pack, rack, round, min_out);
    }
  for (guint i = 0; capacity > 0 && i < pack->racks->len; i++)
    {
      uint32_t rack = g_array_index (pack->racks, uint32_t, i);
      uint32_t free_hosts = pack->hosts_by_rack[rack]->len - pack->reserved_by_rack[rack];

      capacity -= wave_pack_add_hosts (pack, rack, round, (uint32_t) MIN (capacity, free_hosts));
    }
}

/* Adds the moves of the borrowed hosts into the pool and back. */
static void
wave_pack_add_loan_moves (const struct wave *wave, const struct wave_schedule *schedule,
                          GArray *steps)
{
  const struct planner_problem *problem = wave->problem;

  for (uint32_t i = 0; i < schedule->max_on_loan; i++)
    {
      const struct planner_host *host = g_ptr_array_index (wave->loan_candidates, i);
      int64_t back_ms =
          schedule->first_round_ms + wave_loan_end (schedule, i) * problem->maintenance_ms;

      planner_step_add (steps, PLANNER_BORROW, host, schedule->loan_arrival_ms - problem->move_ms,
                        problem->move_ms);
      planner_step_add (steps, PLANNER_RETURN, host, back_ms, problem->move_ms);
    }
}

void
wave_schedule_pack (const struct wave *wave, const struct wave_schedule *schedule,
                    enum wave_rack_order order, GArray *steps)
{
  const struct planner_pool *pool = &wave->problem->pool;
  uint32_t n_racks = wave->own.n_racks;
  struct wave_pack pack = { .wave = wave, .schedule = schedule, .steps = steps };

  pack.hosts_by_rack = g_new0 (GPtrArray *, n_racks + 1);
  pack.racks = wave_racks (wave, order);
  pack.reserved_by_rack = g_new0 (uint32_t, n_racks + 1);
  pack.loan_by_rack = g_new0 (uint32_t, n_racks + 1);
  for (uint32_t i = 0; i < schedule->loan_size; i++)
    pack.loan_by_rack[((const struct planner_host *) g_ptr_array_index (wave->loan_candidates, i))
                          ->rack]++;
  for (uint32_t rack = 0; rack < n_racks; rack++)
    pack.hosts_by_rack[rack] = g_ptr_array_new ();
  for (uint32_t i = 0; i < pool->n_hosts; i++)
    {
      if (pool->hosts[i].serving)
        g_ptr_array_add (pack.hosts_by_rack[pool->hosts[i].rack], &pool->hosts[i]);
    }
  for (uint32_t j = 0; j < schedule->n_rounds; j++)
    {
      for (uint32_t rack = 0; schedule->lowered_by[j] > 0 && rack < n_racks; rack++)
        pack.reserved_by_rack[rack] += wave_pack_min_out (&pack, rack, j);
    }
  for (uint32_t j = 0; j < schedule->n_rounds; j++)
    wave_pack_round (&pack, j);
  for (uint32_t rack = 0; rack < n_racks; rack++)
    g_ptr_array_unref (pack.hosts_by_rack[rack]);
  g_free (pack.hosts_by_rack);
  g_array_unref (pack.racks);
  g_free (pack.reserved_by_rack);
  g_free (pack.loan_by_rack);
  wave_pack_add_loan_moves (wave, schedule, steps);
}

/* Returns the pool's serving hosts in a random order that depends only on seed. */
static GPtrArray *
wave_shuffle (const struct planner_pool *pool, uint32_t seed)
{
  GPtrArray *hosts = g_ptr_array_new ();
  GRand *rand = g_rand_new_with_seed (seed);

  for (uint32_t i = 0; i < pool->n_hosts; i++)
    {
      if (pool->hosts[i].serving)
        g_ptr_array_add (hosts, &pool->hosts[i]);
    }
  for (guint left = hosts->len; left > 1; left--)
    {
      guint at = (guint) g_rand_int_range (rand, 0, (gint32) left);
      void *previous = hosts->pdata[at];

      hosts->pdata[at] = hosts->pdata[left - 1];
      hosts->pdata[left - 1] = previous;
    }
  g_rand_free (rand);
  return hosts;
}

void
wave_serial_pack (const struct wave *wave, uint32_t on_loan, uint32_t seed, GArray *steps)
{
  const struct planner_problem *problem = wave->problem;
  g_autoptr (GPtrArray) hosts = wave_shuffle (&problem->pool, seed);
  int64_t at_ms = on_loan > 0 ? problem->move_ms : 0;

  for (guint i = 0; i < hosts->len; i++)
    {
      planner_step_add (steps, PLANNER_MAINTAIN, g_ptr_array_index (hosts, i), at_ms,
                        problem->maintenance_ms);
      at_ms += problem->maintenance_ms;
    }
  for (uint32_t i = 0; i < on_loan; i++)
    {
      const struct planner_host *host = g_ptr_array_index (wave->loan_candidates, i);

      planner_step_add (steps, PLANNER_BORROW, host, 0, problem->move_ms);
      planner_step_add (steps, PLANNER_RETURN, host, at_ms, problem->move_ms);
    }
}
