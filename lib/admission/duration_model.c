#include "lib/admission/duration_model.h"

#include <math.h>

enum
{
  /* Number of ends from which on a prediction is used. With fewer, the slope isn't known to within
   * its range. */
  ENDS_MIN = 20,
  /* Limits of the durations that are learned and predicted. */
  DURATION_MIN_MS = 1,
  DURATION_MAX_MS = 24 * 3600 * 1000,
  /* Values further from their expectation than this many standard deviations are moved to this
   * distance, so that one wrong estimate or one very slow task doesn't turn the line. */
  OUTLIER_DEVIATIONS = 3,
};

/* Decay of the sums with each end: they reflect the last 200 ends or so. The standard error of the
 * slope is then 0.03 where the estimate spreads by 1.0 and the residual is 0.5. */
static const double DECAY = 0.995;
/* Least distance from the mean from which on the logarithm of an estimate is an outlier. */
static const double OUTLIER_MIN = 1.0;
/* Ratio of the standard deviation of a normal distribution to its mean absolute deviation. */
static const double DEVIATION_PER_ABSOLUTE = 1.2533;

/* Decayed sums of one queue; x is the logarithm of the estimate in ms, y that of the duration. */
struct queue_durations
{
  uint64_t ends;
  double n;
  double x;
  double y;
  double xx;
  double xy;
  /* Decayed weight and absolute errors of the estimate and of the prediction, which was made before
   * the end was added. */
  double n_errors;
  double error_estimate;
  double error_prediction;
  /* The same for the ends of steps of several tasks: predicted as one task, or as the longest. */
  uint64_t steps;
  double error_single;
  double error_longest;
};

struct duration_model
{
  /* Queue name to struct queue_durations. */
  GHashTable *queues;
};

struct duration_model *
duration_model_create (void)
{
  struct duration_model *model = g_new0 (struct duration_model, 1);

  model->queues = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return model;
}

void
duration_model_destroy (struct duration_model *model)
{
  g_hash_table_destroy (model->queues);
  g_free (model);
}

/* Returns the logarithm of a time that is limited to the range that the model covers. */
static double
log_ms (int64_t time_ms)
{
  return log ((double) CLAMP (time_ms, DURATION_MIN_MS, DURATION_MAX_MS));
}

/* Returns the regression line of a queue. The slope is limited to 0..1: beyond this range it would
 * say that estimates are opposite to or exaggerate the durations, which only noise does. */
static struct duration_line
queue_regression (const struct queue_durations *queue)
{
  double mean_x = queue->x / queue->n;
  double mean_y = queue->y / queue->n;
  double variance = queue->xx / queue->n - mean_x * mean_x;
  double covariance = queue->xy / queue->n - mean_x * mean_y;
  /* Below this variance all estimates are the same but for rounding. */
  double slope = variance > 1e-6 ? CLAMP (covariance / variance, 0.0, 1.0) : 0.0;

  return (struct duration_line){ .intercept = mean_y - slope * mean_x, .slope = slope };
}

struct duration_line
duration_line_plain (void)
{
  return (struct duration_line){ .slope = 1.0 };
}

/* Returns whether a queue's regression predicts better than the estimate. The errors are absolute
 * ones, as the square of a rare long duration would outweigh all others. */
static bool
queue_uses_prediction (const struct queue_durations *queue)
{
  return queue->ends >= ENDS_MIN && queue->error_prediction < queue->error_estimate;
}

/* Returns the line that a queue uses. */
static struct duration_line
queue_line (const struct queue_durations *queue)
{
  bool predicts = queue_uses_prediction (queue);
  struct duration_line line = predicts ? queue_regression (queue) : duration_line_plain ();
  double error = predicts ? queue->error_prediction : queue->error_estimate;

  if (queue->ends >= ENDS_MIN)
    line.residual = DEVIATION_PER_ABSOLUTE * error / queue->n_errors;
  line.longest = queue->steps >= ENDS_MIN && queue->error_longest < queue->error_single;
  return line;
}

struct duration_line
duration_model_line (const struct duration_model *model, const char *queue)
{
  const struct queue_durations *durations =
      model ? g_hash_table_lookup (model->queues, queue) : NULL;

  return durations ? queue_line (durations) : duration_line_plain ();
}

/* Returns the state of a queue, which is created if it is new. */
static struct queue_durations *
duration_model_queue (struct duration_model *model, const char *name)
{
  struct queue_durations *queue = g_hash_table_lookup (model->queues, name);

  if (!queue)
    {
      queue = g_new0 (struct queue_durations, 1);
      g_hash_table_insert (model->queues, g_strdup (name), queue);
    }
  return queue;
}

/* Measures the errors that the estimate and the prediction have for an end, and limits x and y to
 * what isn't an outlier. */
static void
queue_measure_errors (struct queue_durations *queue, double *x, double *y)
{
  struct duration_line line = queue_regression (queue);
  double error = *y - (line.intercept + line.slope * *x);
  double mean_x = queue->x / queue->n;
  double deviation_x = sqrt (MAX (queue->xx / queue->n - mean_x * mean_x, 0.0));
  double limit_x = MAX (OUTLIER_DEVIATIONS * deviation_x, OUTLIER_MIN);
  double limit_y;

  queue->n_errors = DECAY * queue->n_errors + 1.0;
  queue->error_estimate = DECAY * queue->error_estimate + fabs (*y - *x);
  queue->error_prediction = DECAY * queue->error_prediction + fabs (error);
  if (queue->ends < ENDS_MIN)
    return;
  *x = CLAMP (*x, mean_x - limit_x, mean_x + limit_x);
  limit_y = OUTLIER_DEVIATIONS * DEVIATION_PER_ABSOLUTE * queue->error_prediction / queue->n_errors;
  *y -= error - CLAMP (error, -limit_y, limit_y);
}

void
duration_model_add (struct duration_model *model, const char *name, int64_t estimate_ms,
                    int64_t duration_ms)
{
  struct queue_durations *queue = duration_model_queue (model, name);
  double x = log_ms (estimate_ms);
  double y = log_ms (duration_ms);

  if (queue->ends > 0)
    queue_measure_errors (queue, &x, &y);
  queue->ends++;
  queue->n = DECAY * queue->n + 1.0;
  queue->x = DECAY * queue->x + x;
  queue->y = DECAY * queue->y + y;
  queue->xx = DECAY * queue->xx + x * x;
  queue->xy = DECAY * queue->xy + x * y;
}

/* Returns the median of the largest of n standard normal values. The approximation of the quantile
 * is formula 26.2.23 of Abramowitz and Stegun, with an error below 0.00045. */
static double
normal_largest (uint32_t n)
{
  double upper = -expm1 (-M_LN2 / n);
  double t = sqrt (-2.0 * log (upper));

  return t - (2.515517 + t * (0.802853 + t * 0.010328)) /
                 (1.0 + t * (1.432788 + t * (0.189269 + t * 0.001308)));
}

void
duration_model_add_step (struct duration_model *model, const char *name, int64_t estimate_ms,
                         uint32_t n, int64_t longest_ms)
{
  struct queue_durations *queue = duration_model_queue (model, name);
  struct duration_line line = queue_line (queue);
  double error = log_ms (longest_ms) - log_ms (duration_line_task_ms (&line, estimate_ms));

  if (n < 2)
    return;
  queue->steps++;
  queue->error_single = DECAY * queue->error_single + fabs (error);
  queue->error_longest =
      DECAY * queue->error_longest + fabs (error - line.residual * normal_largest (n));
}

/* Returns exp (log_time) as a time in ms, limited to the range that the model covers. */
static int64_t
exp_ms (double log_time)
{
  return (int64_t) CLAMP (exp (log_time) + 0.5, DURATION_MIN_MS, DURATION_MAX_MS);
}

/* The plain estimate is returned as it is, also outside the range that is learned. */
int64_t
duration_line_task_ms (const struct duration_line *line, int64_t estimate_ms)
{
  if (line->slope == 1.0 && line->intercept == 0.0)
    return estimate_ms;
  return exp_ms (line->intercept + line->slope * log_ms (estimate_ms));
}

int64_t
duration_line_step_ms (const struct duration_line *line, int64_t estimate_ms, uint32_t n)
{
  int64_t task_ms = duration_line_task_ms (line, estimate_ms);

  if (!line->longest || n < 2 || line->residual == 0.0)
    return task_ms;
  return exp_ms (log_ms (task_ms) + line->residual * normal_largest (n));
}

void
duration_model_foreach (const struct duration_model *model,
                        void (*each) (void *ctx, const struct duration_summary *summary), void *ctx)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, model->queues);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const struct queue_durations *queue = value;
      double n = MAX (queue->n_errors, 1.0);
      struct duration_summary summary = {
        .queue = key,
        .ends = queue->ends,
        .error_estimate = queue->error_estimate / n,
        .error_prediction = queue->error_prediction / n,
        .uses_prediction = queue_uses_prediction (queue),
        .line = queue_line (queue),
      };

      each (ctx, &summary);
    }
}
