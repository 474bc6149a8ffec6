#ifndef SESAMEPICK_LIB_ADMISSION_ADMISSION_OUTLOOK_H
#define SESAMEPICK_LIB_ADMISSION_ADMISSION_OUTLOOK_H

#include <stdbool.h>
#include <stdint.h>

/* The leader's forecast of when a job that arrives in a pool now would start. */

enum
{
  /* Priorities of a pool for which forecasts are made; further ones count as the last. */
  OUTLOOK_PRIORITIES_MAX = 8,
  /* Interval of forecasts. */
  OUTLOOK_INTERVAL_MS = 100,
};

/* Resources multiplied by the ms for which they are used: thousandths of a core, and MB. */
struct outlook_work
{
  double cpu;
  double memory;
};

/* Capacity of a pool, in thousandths of a core and MB. */
struct outlook_capacity
{
  double cpu;
  double memory;
};

/* A forecast for jobs of one priority, and of less urgent ones up to the next forecast. */
struct outlook_entry
{
  uint32_t priority;
  /* Expected wait until the first start, and its expected error. */
  int64_t wait_ms;
  int64_t error_ms;
  /* Expected wait of a job that is late before its turn comes. */
  int64_t late_wait_ms;
  /* Capacity over what the jobs use that arrived lately, in thousandths; at most 10000. */
  uint32_t capacity_permille;
  /* The most that is free of each resource on an endpoint now. */
  int64_t free_cpu_milli;
  int64_t free_memory_mb;
};

/* What is remembered of one pool. Zero it before the first use. */
struct pool_outlook
{
  /* Decayed work of the jobs that arrived, and as of when. */
  struct outlook_work arrived;
  int64_t arrived_ms;
  /* Forecasts that were compared with actual starts: their decayed number, and sums of the forecast
   * waits and of the absolute errors. */
  double n_verified;
  double forecast_sum;
  double error_sum;
  /* Number and sum of the absolute errors, for metrics. */
  uint64_t n_forecasts;
  int64_t errors_ms;
  /* The last forecasts, by rising priority, and as of when. */
  struct outlook_entry entries[OUTLOOK_PRIORITIES_MAX];
  unsigned n_entries;
  /* When a forecast last showed a wait. */
  int64_t waited_ms;
};

/* What a forecast is made from. */
struct outlook_input
{
  /* Capacity that is usable now, and that of hosts on their way, which is usable in coming_in_ms.
   */
  struct outlook_capacity capacity;
  struct outlook_capacity coming;
  int64_t coming_in_ms;
  /* Work that is not started of jobs that can meet their objective, by priority in any order, and
   * whether some of it is ready. */
  uint32_t priorities[OUTLOOK_PRIORITIES_MAX];
  struct outlook_work waiting[OUTLOOK_PRIORITIES_MAX];
  bool ready[OUTLOOK_PRIORITIES_MAX];
  /* The same of late jobs. */
  struct outlook_work late[OUTLOOK_PRIORITIES_MAX];
  unsigned n_waiting;
  int64_t free_cpu_milli;
  int64_t free_memory_mb;
};

/* Adds waiting work of a priority to the input. ready: some of it could start now. late: it is that
 * of a job that can't meet its objective. */
void outlook_input_add (struct outlook_input *input, uint32_t priority,
                        const struct outlook_work *work, bool ready, bool late);
/* Records the work of a job that was accepted. */
void pool_outlook_add_arrival (struct pool_outlook *outlook, const struct outlook_work *work,
                               int64_t now_ms);
/* Records when a job started for which a wait was forecast, in ms after its arrival. A difference
 * beyond horizon_ms doesn't count; a job that has not started until then is recorded with it. */
void pool_outlook_add_start (struct pool_outlook *outlook, int64_t forecast_ms, int64_t actual_ms,
                             int64_t horizon_ms);
/* Makes the forecasts. Without any capacity there are none. */
void pool_outlook_update (struct pool_outlook *outlook, const struct outlook_input *input,
                          int64_t now_ms);
/* Returns the forecast for a priority, or NULL if there is none. */
const struct outlook_entry *outlook_find (const struct outlook_entry *entries, unsigned n,
                                          uint32_t priority);
/* Returns the forecast wait of a job that has to start within slack_ms to meet its objective. */
int64_t outlook_entry_wait_ms (const struct outlook_entry *entry, int64_t slack_ms);
/* Returns whether hosts have to be told of the forecasts: there is a wait, or was one lately. */
bool pool_outlook_is_shown (const struct pool_outlook *outlook, int64_t now_ms);

#endif
