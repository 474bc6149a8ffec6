#include <math.h>

#include "lib/admission/duration_model.h"
#include "suite.h"

/* Durations learned by queue, against the estimates that callers declare. */

enum
{
  ENDS = 2000,
};

/* A synthetic queue: sd of the logarithm of the estimate, slope of the logarithm of the duration on
 * it, sd around that line, and one in how many tasks takes seven times as long (0 for none). */
struct synthetic
{
  double estimate_sd;
  double slope;
  double residual;
  int tail_one_in;
  double scale;
};

/* Returns a standard normal random number. */
static double
random_normal (GRand *random)
{
  return sqrt (-2.0 * log (1.0 - g_rand_double (random))) *
         cos (2.0 * M_PI * g_rand_double (random));
}

/* Adds tasks of a synthetic queue to a model. Returns the mean absolute error of the logarithm that
 * the model's line has over the last half of them, relative to that of the plain estimate. */
static double
relative_error (struct duration_model *model, const struct synthetic *synthetic)
{
  g_autoptr (GRand) random = g_rand_new_with_seed (7);
  double error_line = 0.0;
  double error_plain = 0.0;

  for (int i = 0; i < ENDS; i++)
    {
      double x = log (1000.0) + synthetic->estimate_sd * random_normal (random);
      double y = log (1000.0) + synthetic->slope * (x - log (1000.0)) +
                 synthetic->residual * random_normal (random);
      struct duration_line line = duration_model_line (model, "queue");
      int64_t estimate_ms = (int64_t) (exp (x) * synthetic->scale);
      int64_t duration_ms;

      if (synthetic->tail_one_in > 0 && g_rand_int_range (random, 0, synthetic->tail_one_in) == 0)
        y += log (7.0);
      duration_ms = (int64_t) exp (y);
      if (i >= ENDS / 2)
        {
          error_line += fabs (log ((double) duration_line_task_ms (&line, estimate_ms)) - y);
          error_plain += fabs (log ((double) estimate_ms) - y);
        }
      duration_model_add (model, "queue", estimate_ms, duration_ms);
    }
  return error_line / error_plain;
}

/* Poor estimates are corrected; exact ones are not made worse, also not by a tail of tasks that
 * take seven times as long; estimates that are 1000 times off are corrected. */
static void
test_against_estimate (void)
{
  static const struct
  {
    struct synthetic synthetic;
    double least;
    double most;
  } cases[] = {
    { { 1.0, 0.15, 0.5, 0, 1.0 }, 0.0, 0.6 },   { { 1.0, 1.0, 0.0, 0, 1.0 }, 0.0, 1.0 },
    { { 1.0, 1.0, 0.0, 33, 1.0 }, 0.0, 1.0 },   { { 1.0, 0.15, 0.5, 33, 1.0 }, 0.0, 0.7 },
    { { 1.0, 1.0, 0.5, 0, 1000.0 }, 0.0, 0.1 }, { { 1.0, 1.0, 0.5, 0, 0.01 }, 0.0, 0.2 },
    { { 0.0, 0.0, 0.5, 0, 1.0 }, 0.0, 1.1 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct duration_model *model = duration_model_create ();
      double error = relative_error (model, &cases[i].synthetic);

      CU_ASSERT (error >= cases[i].least && error <= cases[i].most);
      duration_model_destroy (model);
    }
}

/* The residual is that around the prediction, and the slope is that of the durations. */
static void
test_line (void)
{
  static const struct synthetic poor = { 1.0, 0.2, 0.5, 33, 1.0 };
  struct duration_model *model = duration_model_create ();
  struct duration_line line;

  CU_ASSERT_EQUAL (duration_line_task_ms (&(struct duration_line){ .slope = 1.0 }, 777), 777);
  for (int i = 0; i < 19; i++)
    duration_model_add (model, "new", 1000, 100);
  line = duration_model_line (model, "new");
  CU_ASSERT_EQUAL (duration_line_task_ms (&line, 1000), 1000);
  duration_model_add (model, "new", 1000, 100);
  line = duration_model_line (model, "new");
  CU_ASSERT (ABS (duration_line_task_ms (&line, 1000) - 100) <= 1);
  relative_error (model, &poor);
  line = duration_model_line (model, "queue");
  CU_ASSERT (line.slope > 0.05 && line.slope < 0.35);
  CU_ASSERT (line.residual > 0.4 && line.residual < 0.65);
  line = duration_model_line (model, "other");
  CU_ASSERT_EQUAL (duration_line_task_ms (&line, 5), 5);
  duration_model_destroy (model);
}

/* Estimates of 0 and of years neither break the model nor turn its line. */
static void
test_bad_input (void)
{
  static const struct synthetic poor = { 1.0, 0.2, 0.5, 0, 1.0 };
  static const int64_t bad[] = { 0, -1, INT64_MAX, INT64_C (200000000000) };
  struct duration_model *model = duration_model_create ();
  struct duration_line line;
  int64_t before_ms;

  relative_error (model, &poor);
  line = duration_model_line (model, "queue");
  before_ms = duration_line_task_ms (&line, 1000);
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      int64_t predicted_ms = duration_line_task_ms (&line, bad[i]);

      CU_ASSERT (predicted_ms >= 1 && predicted_ms <= 24 * 3600 * 1000);
      duration_model_add (model, "queue", bad[i], 1000);
      duration_model_add (model, "queue", 1000, bad[i]);
    }
  line = duration_model_line (model, "queue");
  CU_ASSERT (duration_line_task_ms (&line, 1000) < 2 * before_ms &&
             2 * duration_line_task_ms (&line, 1000) > before_ms);
  duration_model_destroy (model);
}

/* The longest of several tasks is predicted where their durations are independent, and the plain
 * duration where all tasks of a step take the same time. */
static void
test_longest (void)
{
  struct duration_model *model = duration_model_create ();
  g_autoptr (GRand) random = g_rand_new_with_seed (11);
  struct duration_line line;

  for (int i = 0; i < 300; i++)
    {
      int64_t longest_ms = 0;
      int64_t same_ms = (int64_t) (1000.0 * exp (0.5 * random_normal (random)));

      for (int task = 0; task < 8; task++)
        {
          int64_t duration_ms = (int64_t) (1000.0 * exp (0.5 * random_normal (random)));

          longest_ms = MAX (longest_ms, duration_ms);
          duration_model_add (model, "independent", 1000, duration_ms);
          duration_model_add (model, "same", 1000, same_ms);
        }
      duration_model_add_step (model, "independent", 1000, 8, longest_ms);
      duration_model_add_step (model, "same", 1000, 8, same_ms);
    }
  /* The median of the largest of 8 is 1.38 standard deviations above the mean. */
  line = duration_model_line (model, "independent");
  CU_ASSERT (duration_line_step_ms (&line, 1000, 8) > 1700);
  CU_ASSERT (duration_line_step_ms (&line, 1000, 8) < 2400);
  CU_ASSERT_EQUAL (duration_line_step_ms (&line, 1000, 1), duration_line_task_ms (&line, 1000));
  line = duration_model_line (model, "same");
  CU_ASSERT_EQUAL (duration_line_step_ms (&line, 1000, 8), duration_line_task_ms (&line, 1000));
  duration_model_destroy (model);
}

static const struct suite_test tests[] = {
  { "prediction against estimate", test_against_estimate },
  { "line", test_line },
  { "bad input", test_bad_input },
  { "longest of a step", test_longest },
};

int
main (void)
{
  return suite_run ("duration model", tests, sizeof tests / sizeof tests[0]);
}
