#include "lib/workspaces/share_order.h"

#include <math.h>

enum
{
  N_RESOURCES = 3,
};

/* One workspace. */
struct share
{
  /* Service by resource as of at_ms: share of the capacity, multiplied by ms. */
  double service[N_RESOURCES];
  int64_t at_ms;
  double weight;
  /* Items of the pass and the position of the next one, and the position of the first in the pass,
   * which decides between equal services. */
  GPtrArray *items;
  guint next;
  guint first;
  /* Service per weight at the time of the pass. */
  double key;
};

struct share_order
{
  int64_t window_ms;
  int64_t now_ms;
  /* struct share *, by workspace. */
  GPtrArray *shares;
  /* Heap of the shares with items left. */
  GPtrArray *heap;
  bool is_heap;
  guint n_items;
  uint64_t steps;
};

static void
share_destroy (gpointer data)
{
  struct share *share = data;

  g_ptr_array_free (share->items, TRUE);
  g_free (share);
}

struct share_order *
share_order_create (int64_t window_ms)
{
  struct share_order *order = g_new0 (struct share_order, 1);

  order->window_ms = MAX (window_ms, 1);
  order->shares = g_ptr_array_new_with_free_func (share_destroy);
  order->heap = g_ptr_array_new ();
  return order;
}

/* Frees an order; NULL is allowed. */
void
share_order_destroy (struct share_order *order)
{
  if (!order)
    return;
  g_ptr_array_free (order->heap, TRUE);
  g_ptr_array_free (order->shares, TRUE);
  g_free (order);
}

/* Returns the share of a workspace, which is created if needed. */
static struct share *
share_order_share (struct share_order *order, unsigned workspace)
{
  while (order->shares->len <= workspace)
    {
      struct share *share = g_new0 (struct share, 1);

      share->items = g_ptr_array_new ();
      share->weight = 1;
      g_ptr_array_add (order->shares, share);
    }
  return g_ptr_array_index (order->shares, workspace);
}

/* Returns the part of a service that remains at a time. */
static double
share_order_decay (const struct share_order *order, const struct share *share, int64_t now_ms)
{
  return exp (-(double) MAX (now_ms - share->at_ms, 0) / (double) order->window_ms);
}

/* Returns the largest service of any resource at a time. */
static double
share_order_dominant (const struct share_order *order, const struct share *share, int64_t now_ms)
{
  double service = MAX (share->service[0], MAX (share->service[1], share->service[2]));

  return service > 0 ? service * share_order_decay (order, share, now_ms) : 0;
}

/* Returns a request as a part of a capacity, 0 if there is none of the resource. */
static double
amount_part (int64_t request, int64_t capacity)
{
  return capacity > 0 ? (double) request / (double) capacity : 0;
}

void
share_order_charge (struct share_order *order, unsigned workspace, const struct resources *request,
                    const struct resources *capacity, int64_t duration_ms, int64_t now_ms)
{
  struct share *share = share_order_share (order, workspace);
  double decay = share_order_decay (order, share, now_ms);
  const double parts[N_RESOURCES] = {
    amount_part (request->cpu_milli, capacity->cpu_milli),
    amount_part (request->memory_mb, capacity->memory_mb),
    amount_part (request->gpus, capacity->gpus),
  };

  for (unsigned i = 0; i < N_RESOURCES; i++)
    share->service[i] = share->service[i] * decay + parts[i] * (double) duration_ms;
  share->at_ms = MAX (share->at_ms, now_ms);
}

double
share_order_service (const struct share_order *order, unsigned workspace, int64_t now_ms)
{
  if (workspace >= order->shares->len)
    return 0;
  return share_order_dominant (order, g_ptr_array_index (order->shares, workspace), now_ms);
}

void
share_order_begin (struct share_order *order, int64_t now_ms)
{
  for (guint i = 0; i < order->heap->len; i++)
    g_ptr_array_set_size (((struct share *) g_ptr_array_index (order->heap, i))->items, 0);
  g_ptr_array_set_size (order->heap, 0);
  order->is_heap = false;
  order->n_items = 0;
  order->now_ms = now_ms;
}

void
share_order_add (struct share_order *order, unsigned workspace, double weight, void *item)
{
  struct share *share = share_order_share (order, workspace);

  if (share->items->len == 0)
    {
      share->weight = weight;
      share->next = 0;
      share->first = order->n_items;
      g_ptr_array_add (order->heap, share);
    }
  g_ptr_array_add (share->items, item);
  order->n_items++;
}

/* Returns whether a share's turn is before another's. */
static bool
share_is_before (struct share_order *order, guint left, guint right)
{
  const struct share *a = g_ptr_array_index (order->heap, left);
  const struct share *b = g_ptr_array_index (order->heap, right);

  order->steps++;
  return a->key != b->key ? a->key < b->key : a->first < b->first;
}

/* Moves a share of the heap down to its place. */
static void
share_order_sift_down (struct share_order *order, guint position)
{
  for (;;)
    {
      guint child = 2 * position + 1;
      gpointer moved;

      if (child >= order->heap->len)
        return;
      if (child + 1 < order->heap->len && share_is_before (order, child + 1, child))
        child++;
      if (!share_is_before (order, child, position))
        return;
      moved = order->heap->pdata[position];
      order->heap->pdata[position] = order->heap->pdata[child];
      order->heap->pdata[child] = moved;
      position = child;
    }
}

static void
share_order_set_key (const struct share_order *order, struct share *share)
{
  share->key = share_order_dominant (order, share, order->now_ms) / share->weight;
}

void *
share_order_peek (struct share_order *order)
{
  const struct share *share;

  if (!order->is_heap)
    {
      for (guint i = 0; i < order->heap->len; i++)
        share_order_set_key (order, g_ptr_array_index (order->heap, i));
      for (guint i = order->heap->len / 2; i > 0; i--)
        share_order_sift_down (order, i - 1);
      order->is_heap = true;
    }
  if (order->heap->len == 0)
    return NULL;
  share = g_ptr_array_index (order->heap, 0);
  return g_ptr_array_index (share->items, share->next);
}

void
share_order_advance (struct share_order *order, bool keep)
{
  struct share *share = g_ptr_array_index (order->heap, 0);

  share->next += !keep;
  if (share->next < share->items->len)
    share_order_set_key (order, share);
  else
    {
      g_ptr_array_set_size (share->items, 0);
      g_ptr_array_remove_index_fast (order->heap, 0);
    }
  share_order_sift_down (order, 0);
}

uint64_t
share_order_steps (const struct share_order *order)
{
  return order->steps;
}
