#include "lib/locality/locality_decision.h"

#include <glib.h>
#include <math.h>

enum
{
  /* Observations after which a forecast's mean is a moving one. */
  FORECAST_WINDOW = 10,
  /* Number of observations for which the initial deviation counts. */
  FORECAST_PRIOR = 4,
  /* Times below this are not distinguished: a pass takes longer. */
  FORECAST_MIN_MS = 10,
  /* Number of ends of a wait that are compared. */
  WAIT_ENDS = 6,
};

/* Deviation of the logarithm before anything was observed, and its limits. Estimates of durations
 * have a residual of about 0.5. */
static const double DEVIATION_INITIAL = 0.4;
static const double DEVIATION_MIN = 0.1;
static const double DEVIATION_MAX = 2;
static const double BIAS_MAX = 1.4;
/* Relative error of the expected durations. */
static const double DURATION_ERROR = 0.25;
/* Least error of an expected time of free capacity, relative to the duration of the task that waits
 * for it: what runs there is of a similar size, and its remaining time may be short by mistake. */
static const double ROOM_ERROR_MIN = 0.1;
/* What a job is worth after its objective, relative to one that is on time. */
static const double LATE_VALUE = 1.0 / 14;
/* Weight of an earlier end among ends that are equally certain to be on time. */
static const double DELAY_WEIGHT = 0.05;
/* Difference of values below which a task starts at once. */
static const double GAIN_MIN = 0.01;

static double
forecast_deviation (const struct locality_forecast *forecast)
{
  double sum = DEVIATION_INITIAL * FORECAST_PRIOR + forecast->deviation * forecast->n;

  return CLAMP (sum / (FORECAST_PRIOR + forecast->n), DEVIATION_MIN, DEVIATION_MAX);
}

int64_t
locality_forecast_correct (const struct locality_forecast *forecast, int64_t expected_ms)
{
  double weight = (double) forecast->n / (FORECAST_PRIOR + forecast->n);

  return (int64_t) llround ((double) expected_ms * exp (weight * forecast->bias));
}

/* Capacity that has not come counts only if it was expected by now; its actual time is at least
 * actual_ms. */
void
locality_forecast_observe (struct locality_forecast *forecast, int64_t expected_ms,
                           int64_t actual_ms, bool came)
{
  double error =
      log ((double) MAX (actual_ms, FORECAST_MIN_MS) / (double) MAX (expected_ms, FORECAST_MIN_MS));
  double share;

  if (!came && actual_ms < locality_forecast_correct (forecast, expected_ms))
    return;
  error = CLAMP (error, -BIAS_MAX, BIAS_MAX);
  forecast->n = MIN (forecast->n + 1, FORECAST_WINDOW);
  share = 1.0 / forecast->n;
  forecast->deviation += share * (fabs (error - forecast->bias) - forecast->deviation);
  forecast->bias += share * (error - forecast->bias);
}

/* Returns the share of its value that a job earns if it is expected to be done in finish_ms with an
 * error of about spread_ms. */
static double
value_of_end (const struct locality_question *question, double finish_ms, double spread_ms)
{
  double margin_ms = (double) question->left_ms - finish_ms;
  double on_time = CLAMP (0.5 + margin_ms / (2 * MAX (spread_ms, 1)), 0, 1);

  return on_time + (1 - on_time) * LATE_VALUE -
         DELAY_WEIGHT * finish_ms / (double) MAX (question->near_ms + question->rest_ms, 1);
}

/* Returns the value if the task starts in wait_ms at a place of the given factor. What it takes
 * longer there keeps capacity from other ready work. */
static double
value_of_start (const struct locality_question *question, double wait_ms, double wait_error_ms,
                double factor)
{
  double near_ms = (double) question->near_ms;
  double work_ms = near_ms * factor + (double) question->rest_ms;
  double share = near_ms / MAX (near_ms + (double) question->rest_ms, 1);

  return value_of_end (question, wait_ms + work_ms, work_ms * DURATION_ERROR + wait_error_ms) -
         question->contention * (factor - 1) * share;
}

/* Returns the probability that capacity has come after wait_ms. Tasks that run longer than expected
 * have no certain end, so it doesn't reach 1. */
static double
room_probability (double wait_ms, double room_ms, double error_ms)
{
  if (wait_ms < room_ms)
    return 0.5 * exp ((wait_ms - room_ms) / error_ms);
  return 1 - 0.5 * exp ((room_ms - wait_ms) / error_ms);
}

/* Compares the value of waiting for a place, with the best of a few ends of the wait, to the best
 * found so far. */
static void
question_try_place (const struct locality_question *question, size_t place,
                    struct locality_answer *answer)
{
  const struct locality_place *at = &question->places[place];
  double room_ms = (double) locality_forecast_correct (question->forecast, at->room_in_ms);
  double error_ms = MAX (room_ms * forecast_deviation (question->forecast),
                         (double) question->near_ms * ROOM_ERROR_MIN);
  double value_near = value_of_start (question, room_ms, error_ms / 2, at->factor);

  for (int i = 0; i < WAIT_ENDS; i++)
    {
      /* Up to the expected time and a multiple of its error more, or as long as allowed. */
      double wait_ms = i == WAIT_ENDS - 1
                           ? (double) question->wait_max_ms
                           : MIN (room_ms + i * error_ms, (double) question->wait_max_ms);
      double comes = room_probability (wait_ms, room_ms, error_ms);
      double value_far = value_of_start (question, wait_ms, 0, question->far_factor);
      double value = comes * value_near + (1 - comes) * value_far;

      if (value <= answer->value_wait)
        continue;
      answer->value_wait = value;
      answer->place = place;
      answer->wait_ms = (int64_t) wait_ms;
      answer->room_in_ms = (int64_t) room_ms;
    }
}

/* Weighs the start at the free place against waits for each nearer one. A job that can't be on time
 * even at the nearest place with capacity at once doesn't wait. */
struct locality_answer
locality_decide (const struct locality_question *question)
{
  struct locality_answer answer = {
    .reason = LOCALITY_START_NO_ROOM,
    .far_ms = (int64_t) llround ((double) question->near_ms * question->far_factor),
    .value_now = value_of_start (question, 0, 0, question->far_factor),
    .value_wait = -HUGE_VAL,
  };

  if (question->left_ms < question->near_ms + question->rest_ms)
    {
      answer.reason = LOCALITY_START_LATE;
      return answer;
    }
  for (size_t i = 0; i < question->n_places; i++)
    {
      const struct locality_place *at = &question->places[i];

      if (at->factor > 0 && at->factor < question->far_factor && at->room_in_ms >= 0 &&
          locality_forecast_correct (question->forecast, at->room_in_ms) <= question->wait_max_ms)
        question_try_place (question, i, &answer);
    }
  if (answer.wait_ms > 0)
    answer.reason =
        answer.value_wait > answer.value_now + GAIN_MIN ? LOCALITY_WAIT : LOCALITY_START_NO_GAIN;
  return answer;
}

const char *
locality_reason_name (enum locality_reason reason)
{
  static const char *const names[] = { "late", "no-room", "no-gain", "wait" };

  return names[reason];
}
