#include "common/turn_queue.h"

#include <glib.h>

void
turn_queue_init (struct turn_queue *queue, size_t allowance)
{
  *queue = (struct turn_queue){ .allowance = allowance };
  for (int size = 0; size < N_TURN_SIZES; size++)
    TAILQ_INIT (&queue->waiting[size]);
}

/* Counts work of this iteration if it may be done. */
static bool
turn_queue_spend (struct turn_queue *queue, unsigned iteration, size_t cost, enum turn_size size)
{
  if (queue->iteration != iteration)
    {
      queue->iteration = iteration;
      for (int i = 0; i < N_TURN_SIZES; i++)
        queue->spent[i] = 0;
    }
  if (queue->spent[size] > 0 && queue->spent[size] + cost > queue->allowance)
    return false;
  queue->spent[size] += cost;
  return true;
}

bool
turn_queue_take (struct turn_queue *queue, unsigned iteration, size_t cost, enum turn_size size)
{
  return TAILQ_EMPTY (&queue->waiting[size]) && turn_queue_spend (queue, iteration, cost, size);
}

void
turn_queue_wait (struct turn_queue *queue, struct turn *turn, size_t cost, enum turn_size size)
{
  g_assert (!turn->waiting);
  turn->waiting = true;
  turn->size = size;
  turn->cost = cost;
  TAILQ_INSERT_TAIL (&queue->waiting[size], turn, link);
}

void
turn_queue_remove (struct turn_queue *queue, struct turn *turn)
{
  if (!turn->waiting)
    return;
  turn->waiting = false;
  TAILQ_REMOVE (&queue->waiting[turn->size], turn, link);
}

struct turn *
turn_queue_next (struct turn_queue *queue, unsigned iteration)
{
  for (int size = 0; size < N_TURN_SIZES; size++)
    {
      struct turn *turn = TAILQ_FIRST (&queue->waiting[size]);

      if (turn && turn_queue_spend (queue, iteration, turn->cost, turn->size))
        {
          turn_queue_remove (queue, turn);
          return turn;
        }
    }
  return NULL;
}

bool
turn_queue_is_empty (const struct turn_queue *queue)
{
  for (int size = 0; size < N_TURN_SIZES; size++)
    {
      if (!TAILQ_EMPTY (&queue->waiting[size]))
        return false;
    }
  return true;
}
