#include "lib/admission/job_prospect.h"

#include <glib.h>
#include <math.h>

enum
{
  /* A job counts nothing beyond this multiple of its objective. */
  HOPELESS_OBJECTIVES = 3,
  /* A job may have nothing running for 3 s while there is room for it. From this time on a late
   * task is held back only if that rule certainly doesn't apply. */
  LATE_READY_MAX_MS = 2000,
};

/* The job is on time if it is expected to be. It is late if not even tasks that take one standard
 * deviation less than expected, with starts that take no time, are done in time. The band between
 * the two is therefore as wide as the model's error and the time that starts take; with an exact
 * model and immediate starts there is none. */
enum job_prospect
job_prospect_of (const struct job_outlook *outlook)
{
  double least_ms = (double) outlook->run_ms * exp (-outlook->residual);
  int64_t over_ms = (HOPELESS_OBJECTIVES - 1) * outlook->objective_ms;

  if (outlook->rest_ms <= outlook->left_ms)
    return JOB_ON_TIME;
  if (least_ms <= (double) outlook->left_ms)
    return JOB_AT_RISK;
  return least_ms <= (double) (outlook->left_ms + over_ms) ? JOB_LATE : JOB_HOPELESS;
}

/* Jobs that have begun come first only among those that are on time: their started work is lost if
 * they miss their objective. */
int
prospect_rank_compare (const struct prospect_rank *left, const struct prospect_rank *right)
{
  if (left->prospect != right->prospect)
    return left->prospect < right->prospect ? -1 : 1;
  if (left->prospect == JOB_ON_TIME && left->begun != right->begun)
    return left->begun ? -1 : 1;
  if (left->due_ms != right->due_ms)
    return left->due_ms < right->due_ms ? -1 : 1;
  return 0;
}

/* Returns whether a start would use what arrivals are expected to need of a resource, of which half
 * of the capacity is kept at most. */
static bool
start_uses_reserve (int64_t capacity, int64_t used, int64_t arrivals, int64_t request)
{
  return used + request > capacity - MIN (arrivals, capacity / 2);
}

/* While less than half of the processor and of the memory is used, nothing waits. A task that has
 * been ready for LATE_READY_MAX_MS waits only while at least half of both is used, so that the rule
 * on waiting jobs holds whichever resource it is applied to. */
bool
late_start_must_wait (const struct pool_room *room, int64_t cpu_milli, int64_t memory_mb,
                      int64_t ready_ms)
{
  bool cpu_half_used = 2 * room->used_cpu_milli >= room->capacity_cpu_milli;
  bool memory_half_used = 2 * room->used_memory_mb >= room->capacity_memory_mb;

  if (!cpu_half_used && !memory_half_used)
    return false;
  if (ready_ms >= LATE_READY_MAX_MS && !(cpu_half_used && memory_half_used))
    return false;
  return start_uses_reserve (room->capacity_cpu_milli, room->used_cpu_milli,
                             room->arrivals_cpu_milli, cpu_milli) ||
         start_uses_reserve (room->capacity_memory_mb, room->used_memory_mb,
                             room->arrivals_memory_mb, memory_mb);
}
