#include "lib/slots/set.h"

#include <glib.h>

/* Adds the slots in a mask to those of a worker. */
void
slot_set_add (struct slot_set *set, uint32_t worker, uint64_t mask)
{
  if (mask == 0)
    return;
  for (size_t i = 0; i < set->n; i++)
    if (set->workers[i] == worker)
      {
        set->masks[i] |= mask;
        return;
      }
  if (set->n == set->capacity)
    {
      set->capacity = set->capacity ? 2 * set->capacity : 8;
      set->workers = g_renew (uint32_t, set->workers, set->capacity);
      set->masks = g_renew (uint64_t, set->masks, set->capacity);
    }
  set->workers[set->n] = worker;
  set->masks[set->n++] = mask;
}

/* Returns the mask of a worker's slots in the set. */
uint64_t
slot_set_find (const struct slot_set *set, uint32_t worker)
{
  for (size_t i = 0; i < set->n; i++)
    if (set->workers[i] == worker)
      return set->masks[i];
  return 0;
}

/* Removes all slots but keeps the memory. */
void
slot_set_reset (struct slot_set *set)
{
  set->n = 0;
}

/* Removes all slots and frees the memory. */
void
slot_set_clear (struct slot_set *set)
{
  g_free (set->workers);
  g_free (set->masks);
  *set = (struct slot_set){ 0 };
}

/* Returns the number of slots. */
size_t
slot_set_count (const struct slot_set *set)
{
  size_t count = 0;

  for (size_t i = 0; i < set->n; i++)
    count += (size_t) __builtin_popcountll (set->masks[i]);
  return count;
}
