#include "lib/jobs/free_order.h"
#include "suite.h"

/* The order of endpoints by free capacity, while tasks are placed at random. */

enum
{
  ENDPOINTS = 60,
  CAPACITY_MILLI = 64000,
  PLACEMENTS = 500,
  SEEDS = 20,
};

/* Returns whether entries are in order and show what their endpoints have free. */
static bool
order_is_valid (const struct free_order *order)
{
  for (guint i = 0; i < order->entries->len; i++)
    {
      const struct free_entry *entry = &g_array_index (order->entries, struct free_entry, i);
      const struct free_entry *before = entry - 1;

      if (entry->free_cpu_milli !=
              entry->endpoint->capacity.cpu_milli - entry->endpoint->used.cpu_milli ||
          entry->idle != (entry->endpoint->n_tasks == 0))
        return false;
      if (i > 0 &&
          (before->free_cpu_milli > entry->free_cpu_milli ||
           (before->free_cpu_milli == entry->free_cpu_milli && before->idle && !entry->idle)))
        return false;
    }
  return true;
}

static void
test_random_placements (void)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      g_autoptr (GRand) random = g_rand_new_with_seed (seed);
      struct endpoint endpoints[ENDPOINTS] = { 0 };
      struct free_order order;

      free_order_begin (&order);
      for (unsigned i = 0; i < ENDPOINTS; i++)
        {
          endpoints[i].capacity.cpu_milli = CAPACITY_MILLI * g_rand_int_range (random, 1, 3);
          free_order_add (&order, &endpoints[i]);
        }
      free_order_sort (&order);
      for (unsigned n = 0; n < PLACEMENTS; n++)
        {
          int64_t cpu_milli = g_rand_int_range (random, 0, CAPACITY_MILLI / 4);
          guint found = free_order_find (&order, cpu_milli);
          const struct free_entry *entries =
              (const struct free_entry *) (const void *) order.entries->data;

          CU_ASSERT (found == 0 || entries[found - 1].free_cpu_milli < cpu_milli);
          CU_ASSERT (found == order.entries->len || entries[found].free_cpu_milli >= cpu_milli);
          if (found < order.entries->len)
            {
              guint chosen =
                  (guint) g_rand_int_range (random, (gint32) found, (gint32) order.entries->len);

              entries[chosen].endpoint->used.cpu_milli += cpu_milli;
              entries[chosen].endpoint->n_tasks++;
              free_order_update (&order, chosen);
            }
          CU_ASSERT (order_is_valid (&order));
        }
      free_order_clear (&order);
    }
}

static const struct suite_test tests[] = {
  { "random placements", test_random_placements },
};

int
main (void)
{
  return suite_run ("free_order", tests, G_N_ELEMENTS (tests));
}
