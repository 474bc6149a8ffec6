#ifndef SESAMEPICK_LIB_LOCALITY_LOCALITY_WAITS_H
#define SESAMEPICK_LIB_LOCALITY_LOCALITY_WAITS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/resources.h"

/* The tasks that wait for capacity at a place, and the capacity that is kept for them. Tasks, their
 * owners (jobs) and sites (endpoints) are only compared. Times are monotonic ms. */

enum locality_wait_end
{
  /* The task starts at the near place. */
  LOCALITY_WAIT_WON,
  /* The time is over. */
  LOCALITY_WAIT_LOST,
  /* The place has lost its usable endpoints. */
  LOCALITY_WAIT_PLACE_LOST,
  /* The task doesn't need to start any more, or the decision is taken again. */
  LOCALITY_WAIT_DROPPED,
};

struct locality_wait
{
  const void *task;
  const void *owner;
  /* Where capacity is expected and kept; NULL if none is kept. */
  const void *site;
  struct resources request;
  /* Tasks of a lower rank may take what is kept. */
  int64_t rank;
  int64_t begin_ms;
  int64_t end_ms;
  /* When capacity is expected, and the time in which the forecast expected it before its
   * correction. */
  int64_t room_ms;
  int64_t expected_ms;
  /* Duration of the task once it has started there. */
  int64_t near_ms;
  /* Order in which the waits began. */
  uint64_t number;
  /* The wait has ended without a start. The task doesn't wait again for the same attempt. */
  bool over;
};

struct locality_counts
{
  uint64_t waits;
  uint64_t won;
  uint64_t lost;
  /* Sum of the times that tasks have waited. */
  uint64_t waited_ms;
};

/* A task that is to start at a site on which others may wait for capacity. */
struct locality_claim
{
  const void *task;
  const void *site;
  struct resources request;
  struct resources free;
  int64_t rank;
  /* Expected duration there; -1 if it runs until it is stopped. */
  int64_t duration_ms;
};

struct locality_waits;

struct locality_waits *locality_waits_create (void);
void locality_waits_destroy (struct locality_waits *waits);
/* Begins a wait that has an owner, a begin and an end. Returns it. */
const struct locality_wait *locality_waits_begin (struct locality_waits *waits,
                                                  const struct locality_wait *wait);
struct locality_wait *locality_waits_find (const struct locality_waits *waits, const void *task);
/* Ends a wait. One that was lost is kept as over until locality_waits_forget; the others are
 * freed. */
void locality_waits_end (struct locality_waits *waits, struct locality_wait *wait,
                         enum locality_wait_end how, int64_t now_ms);
/* Frees what is known of a task, or of an owner and its tasks. */
void locality_waits_forget (struct locality_waits *waits, const void *task, int64_t now_ms);
void locality_waits_forget_owner (struct locality_waits *waits, const void *owner, int64_t now_ms);
/* Keeps nothing at a site any more, which is about to be freed. The waits go on. */
void locality_waits_forget_site (struct locality_waits *waits, const void *site);
/* Returns for how long tasks of an owner may wait until the sum of its waits reaches max_ms.
 * Times at which several of its tasks wait count once. */
int64_t locality_waits_budget_ms (const struct locality_waits *waits, const void *owner,
                                  int64_t max_ms, int64_t now_ms);
/* Returns whether a task may take capacity of a site without what is kept there for others. */
bool locality_waits_allow (const struct locality_waits *waits, const struct locality_claim *claim,
                           int64_t now_ms);
/* Returns the waits that keep capacity of a site as const struct locality_wait *, or NULL. */
const GPtrArray *locality_waits_at (const struct locality_waits *waits, const void *site);
/* Returns the waits that are not over, in the order of their begin; the caller frees the array. */
GPtrArray *locality_waits_list (const struct locality_waits *waits);
unsigned locality_waits_n (const struct locality_waits *waits);
const struct locality_counts *locality_waits_counts (const struct locality_waits *waits);

#endif
