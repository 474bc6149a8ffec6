#ifndef SESAMEPICK_BENCH_EVENT_HEAP_H
#define SESAMEPICK_BENCH_EVENT_HEAP_H

#include <stddef.h>
#include <stdint.h>

struct testbed;

struct event
{
  int64_t at_us;
  /* Sequence number of the push; set by event_heap_push. */
  uint64_t order;
  void (*function) (struct testbed *bed, void *data);
  void *data;
};

/* A priority queue of events, ordered by time; events of the same time keep the order in which they
 * were pushed. */
struct event_heap
{
  struct event *events;
  size_t n;
  size_t capacity;
  /* Sequence number of the next push. */
  uint64_t order;
};

struct event_heap *event_heap_create (void);
void event_heap_destroy (struct event_heap *heap);
void event_heap_push (struct event_heap *heap, struct event event);
struct event event_heap_pop (struct event_heap *heap);

#endif
