#ifndef SESAMEPICK_LIB_WORKSPACES_SHARE_ORDER_H
#define SESAMEPICK_LIB_WORKSPACES_SHARE_ORDER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/resources.h"

/* Weighted fair sharing of one pool between workspaces. The order keeps the service that each
 * workspace got lately and, within a pass, gives the turn to the workspace with the lowest service
 * per weight. Within a workspace its items come in the order in which they were added. Workspaces
 * are numbered from 0 on. */
struct share_order;

struct share_order *share_order_create (int64_t window_ms);
void share_order_destroy (struct share_order *order);
/* Charges a workspace for the start of something that requests a part of the capacity for a time.
 */
void share_order_charge (struct share_order *order, unsigned workspace,
                         const struct resources *request, const struct resources *capacity,
                         int64_t duration_ms, int64_t now_ms);
/* Returns a workspace's service, decayed with the window: the largest of its shares of the
 * resources, multiplied by ms. */
double share_order_service (const struct share_order *order, unsigned workspace, int64_t now_ms);

/* Begins a pass without items. */
void share_order_begin (struct share_order *order, int64_t now_ms);
/* Adds an item, before the first share_order_peek of the pass. weight must be positive and the same
 * for all items of a workspace. */
void share_order_add (struct share_order *order, unsigned workspace, double weight, void *item);
/* Returns the item whose turn it is, or NULL if none is left. */
void *share_order_peek (struct share_order *order);
/* Ends a turn. The item is removed unless keep is true. */
void share_order_advance (struct share_order *order, bool keep);
/* Returns the number of comparisons of workspaces since the order was created. */
uint64_t share_order_steps (const struct share_order *order);

#endif
