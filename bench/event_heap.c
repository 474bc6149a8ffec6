#include "event_heap.h"

#include <glib.h>
#include <stdbool.h>

enum
{
  INITIAL_CAPACITY = 1024,
};

/* Creates an empty heap. */
struct event_heap *
event_heap_create (void)
{
  struct event_heap *heap = g_new0 (struct event_heap, 1);

  heap->capacity = INITIAL_CAPACITY;
  heap->events = g_new (struct event, heap->capacity);
  return heap;
}

/* Frees the heap, but not the data of its events. */
void
event_heap_destroy (struct event_heap *heap)
{
  g_free (heap->events);
  g_free (heap);
}

/* Returns whether event a is due before event b. */
static bool
event_before (const struct event *a, const struct event *b)
{
  return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

void
event_heap_push (struct event_heap *heap, struct event event)
{
  size_t i = heap->n++;

  if (heap->n > heap->capacity)
    {
      heap->capacity *= 2;
      heap->events = g_renew (struct event, heap->events, heap->capacity);
    }
  event.order = heap->order++;
  while (i > 0 && event_before (&event, &heap->events[(i - 1) / 2]))
    {
      heap->events[i] = heap->events[(i - 1) / 2];
      i = (i - 1) / 2;
    }
  heap->events[i] = event;
}

/* Removes and returns the earliest event. The heap must not be empty. */
struct event
event_heap_pop (struct event_heap *heap)
{
  struct event first = heap->events[0];
  struct event last = heap->events[--heap->n];
  size_t i = 0;

  while (2 * i + 1 < heap->n)
    {
      size_t child = 2 * i + 1;

      if (child + 1 < heap->n && event_before (&heap->events[child + 1], &heap->events[child]))
        child++;
      if (!event_before (&heap->events[child], &last))
        break;
      heap->events[i] = heap->events[child];
      i = child;
    }
  heap->events[i] = last;
  return first;
}
