#ifndef SESAMEPICK_COMMON_TURN_QUEUE_H
#define SESAMEPICK_COMMON_TURN_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/queue.h>

/* Divides work among the iterations of an event loop, so that a crowd's requests don't keep other
 * watchers waiting. Work is measured in bytes; small and large work have an allowance each, so that
 * neither waits for the other. What exceeds an iteration's allowance waits for a later one, in the
 * order in which it came. */

enum turn_size
{
  TURN_SMALL,
  TURN_LARGE,
  N_TURN_SIZES,
};

/* Work that may wait. Embedded in a struct of its owner. */
struct turn
{
  TAILQ_ENTRY (turn) link;
  bool waiting;
  enum turn_size size;
  size_t cost;
};

TAILQ_HEAD (turn_list, turn);

struct turn_queue
{
  /* Bytes of work of one size in an iteration. */
  size_t allowance;
  /* The iteration that work was last done in, and the work done in it by size. */
  unsigned iteration;
  size_t spent[N_TURN_SIZES];
  struct turn_list waiting[N_TURN_SIZES];
};

void turn_queue_init (struct turn_queue *queue, size_t allowance);
/* Returns whether work may be done now, and then counts it: other work of its size doesn't wait,
 * and it is the first of its size in this iteration or fits into the allowance. */
bool turn_queue_take (struct turn_queue *queue, unsigned iteration, size_t cost,
                      enum turn_size size);
/* Lets work wait for a later iteration. */
void turn_queue_wait (struct turn_queue *queue, struct turn *turn, size_t cost,
                      enum turn_size size);
/* Removes and returns the next work to be done in this iteration, and counts it; NULL if there is
 * none. */
struct turn *turn_queue_next (struct turn_queue *queue, unsigned iteration);
/* Removes work that no longer waits for its turn; does nothing if it doesn't wait. */
void turn_queue_remove (struct turn_queue *queue, struct turn *turn);
bool turn_queue_is_empty (const struct turn_queue *queue);

#endif
