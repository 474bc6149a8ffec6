#ifndef SESAMEPICK_LIB_LOCALITY_LOCALITY_DECISION_H
#define SESAMEPICK_LIB_LOCALITY_LOCALITY_DECISION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Whether a task starts at a far place now or waits for capacity at a nearer one. Zero-initialised
 * forecasts are valid. All durations are in ms. */

/* Errors of earlier forecasts of free capacity, as logarithms of actual over expected time. */
struct locality_forecast
{
  double bias;
  double deviation;
  unsigned n;
};

/* A place that is nearer than the free one, such as the rack or the data centre of the task's data.
 */
struct locality_place
{
  /* Factor on the duration there; 0 if it isn't known, so that nothing waits for the place. */
  double factor;
  /* Time until capacity is expected there; -1 if none is. */
  int64_t room_in_ms;
};

struct locality_question
{
  /* Expected duration at a place of factor 1, and the factor of the place that is free. */
  int64_t near_ms;
  double far_factor;
  const struct locality_place *places;
  size_t n_places;
  /* Time until the job is due, and what remains of its critical path after the task. */
  int64_t left_ms;
  int64_t rest_ms;
  /* Share of the pool's ready work for which there is no capacity, 0..1. */
  double contention;
  int64_t wait_max_ms;
  const struct locality_forecast *forecast;
};

enum locality_reason
{
  LOCALITY_START_LATE,
  /* No nearer place is expected to have capacity in time. */
  LOCALITY_START_NO_ROOM,
  /* The expected value of a wait isn't higher. */
  LOCALITY_START_NO_GAIN,
  LOCALITY_WAIT,
};

struct locality_answer
{
  enum locality_reason reason;
  /* Index of the place to wait for, for how long at most, and the time until it has capacity,
   * corrected by the errors of earlier forecasts. */
  size_t place;
  int64_t wait_ms;
  int64_t room_in_ms;
  int64_t far_ms;
  /* Expected share of the job's value if it starts now, and if it waits. */
  double value_now;
  double value_wait;
};

struct locality_answer locality_decide (const struct locality_question *question);
const char *locality_reason_name (enum locality_reason reason);
/* Learns from a wait for which capacity was expected in expected_ms. It came after actual_ms or, if
 * came is false, had not come by then. */
void locality_forecast_observe (struct locality_forecast *forecast, int64_t expected_ms,
                                int64_t actual_ms, bool came);
/* Returns an expected time corrected by the mean error of earlier forecasts. */
int64_t locality_forecast_correct (const struct locality_forecast *forecast, int64_t expected_ms);

#endif
