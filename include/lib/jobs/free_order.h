#ifndef SESAMEPICK_LIB_JOBS_FREE_ORDER_H
#define SESAMEPICK_LIB_JOBS_FREE_ORDER_H

#include <glib.h>
#include <stdbool.h>

#include "lib/jobs/endpoint.h"

/* Endpoints in the order of their free processor capacity, idle ones last among equals, so that the
 * ones that a task fills best are found without a look at all others. It holds for one scheduling
 * pass: whoever places a task on an endpoint updates its entry. */

struct free_order
{
  /* As struct free_entry; NULL while the order is not built. */
  GArray *entries;
  /* Largest capacity of an endpoint in it. */
  int64_t capacity_max_milli;
};

struct free_entry
{
  struct endpoint *endpoint;
  int64_t free_cpu_milli;
  bool idle;
};

/* Begins an order without endpoints; free it with free_order_clear. */
void free_order_begin (struct free_order *order);
void free_order_clear (struct free_order *order);
/* Adds an endpoint; free_order_sort is called after the last one. */
void free_order_add (struct free_order *order, struct endpoint *endpoint);
void free_order_sort (struct free_order *order);
/* Returns the index of the first entry with at least this much free, or the number of entries. */
guint free_order_find (const struct free_order *order, int64_t cpu_milli);
/* Moves an entry whose endpoint has less free than before to its new place. */
void free_order_update (struct free_order *order, guint index);

#endif
