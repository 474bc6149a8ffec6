#ifndef SESAMEPICK_LIB_ADMISSION_DURATION_MODEL_H
#define SESAMEPICK_LIB_ADMISSION_DURATION_MODEL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Durations of tasks by queue, learned from tasks that ended successfully. Estimates that callers
 * declare can be off by factors, so the logarithm of the duration is regressed on the logarithm of
 * the estimate. */
struct duration_model;

/* How the durations of one queue are predicted: exp (intercept + slope * ln (estimate in ms)) ms.
 * The plain estimate is intercept 0 and slope 1. */
struct duration_line
{
  double intercept;
  double slope;
  /* Standard deviation of the logarithm of the duration around the prediction. */
  double residual;
  /* The end of a step of several tasks is predicted better by the expected longest of them than by
   * the duration of one. */
  bool longest;
};

/* What is known of one queue, for logs and metrics. */
struct duration_summary
{
  const char *queue;
  /* Number of ends, 0 for the present line of a queue without any. */
  uint64_t ends;
  /* Decayed mean absolute errors of the logarithm of the duration. */
  double error_estimate;
  double error_prediction;
  bool uses_prediction;
  struct duration_line line;
};

struct duration_model *duration_model_create (void);
void duration_model_destroy (struct duration_model *model);

/* Records a task of a queue that ended successfully after duration_ms. */
void duration_model_add (struct duration_model *model, const char *queue, int64_t estimate_ms,
                         int64_t duration_ms);
/* Records that the longest of the n tasks of a step took longest_ms. */
void duration_model_add_step (struct duration_model *model, const char *queue, int64_t estimate_ms,
                              uint32_t n, int64_t longest_ms);
/* Returns how a queue's durations are predicted: the plain estimate if model is NULL, fewer than 20
 * ends are known, or the estimate predicts better. */
struct duration_line duration_model_line (const struct duration_model *model, const char *queue);
/* Calls a function for each queue with known ends, in no order. */
void duration_model_foreach (const struct duration_model *model,
                             void (*each) (void *ctx, const struct duration_summary *summary),
                             void *ctx);

/* Returns the line of the plain estimate. */
struct duration_line duration_line_plain (void);
/* Returns the predicted duration of a task in ms. */
int64_t duration_line_task_ms (const struct duration_line *line, int64_t estimate_ms);
/* Returns the predicted time until the last of n tasks that start together has ended, in ms. */
int64_t duration_line_step_ms (const struct duration_line *line, int64_t estimate_ms, uint32_t n);

#endif
