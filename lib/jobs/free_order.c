#include "lib/jobs/free_order.h"

static struct free_entry
free_entry_make (struct endpoint *endpoint)
{
  return (struct free_entry){ .endpoint = endpoint,
                              .free_cpu_milli =
                                  endpoint->capacity.cpu_milli - endpoint->used.cpu_milli,
                              .idle = endpoint->n_tasks == 0 };
}

void
free_order_begin (struct free_order *order)
{
  *order = (struct free_order){ .entries = g_array_new (FALSE, FALSE, sizeof (struct free_entry)) };
}

void
free_order_clear (struct free_order *order)
{
  if (order->entries)
    g_array_free (order->entries, TRUE);
  order->entries = NULL;
}

void
free_order_add (struct free_order *order, struct endpoint *endpoint)
{
  struct free_entry entry = free_entry_make (endpoint);

  g_array_append_val (order->entries, entry);
  order->capacity_max_milli = MAX (order->capacity_max_milli, endpoint->capacity.cpu_milli);
}

static int
free_entry_compare (const void *left, const void *right)
{
  const struct free_entry *a = left;
  const struct free_entry *b = right;

  if (a->free_cpu_milli != b->free_cpu_milli)
    return a->free_cpu_milli < b->free_cpu_milli ? -1 : 1;
  return (int) a->idle - (int) b->idle;
}

void
free_order_sort (struct free_order *order)
{
  g_array_sort (order->entries, free_entry_compare);
}

guint
free_order_find (const struct free_order *order, int64_t cpu_milli)
{
  guint from = 0;
  guint to = order->entries->len;

  while (from < to)
    {
      guint middle = from + (to - from) / 2;

      if (g_array_index (order->entries, struct free_entry, middle).free_cpu_milli < cpu_milli)
        from = middle + 1;
      else
        to = middle;
    }
  return from;
}

void
free_order_update (struct free_order *order, guint index)
{
  struct free_entry *entries = (struct free_entry *) (void *) order->entries->data;
  struct free_entry entry = free_entry_make (entries[index].endpoint);

  for (; index > 0 && free_entry_compare (&entries[index - 1], &entry) > 0; index--)
    entries[index] = entries[index - 1];
  entries[index] = entry;
}
