#include "lib/jobs/job_definition.h"

#include <glib.h>

#define MS_PER_YEAR ((int64_t) 365 * 24 * 60 * 60 * 1000)

enum
{
  PERMILLE = 1000,
  /* Keeps sums of an objective and a clock within 64 bits. */
  OBJECTIVE_MAX_YEARS = 1000,
};

/* Returns whether a step's dependencies are valid: all must have lower numbers. */
static bool
step_dependencies_are_valid (const Sp__JobStep *step, size_t number)
{
  for (size_t i = 0; i < step->n_prerequisites; i++)
    {
      if (step->prerequisites[i] >= number)
        return false;
    }
  return true;
}

/* Returns why a step can't be run, NULL if it can. */
static const char *
step_error (const Sp__JobStep *step, size_t number)
{
  if (step->n_tasks == 0)
    return "a step needs at least one task";
  if (step->gang && step->n_tasks > GANG_TASKS_MAX)
    return "a gang may have 256 tasks at most";
  if (!step_dependencies_are_valid (step, number))
    return "a step may depend on earlier steps only";
  return NULL;
}

/* Returns whether the due times of all occurrences fit into 64 bits. The last one is the extreme.
 */
static bool
due_times_are_valid (const Sp__JobDefinition *definition)
{
  int64_t after_first_ms;
  int64_t last_ms;

  return definition->repeats == 0 ||
         (!__builtin_mul_overflow (definition->interval_ms, (int64_t) definition->repeats - 1,
                                   &after_first_ms) &&
          !__builtin_add_overflow (definition->first_ms, after_first_ms, &last_ms));
}

bool
job_definition_is_valid (const Sp__JobDefinition *definition, const char **error)
{
  uint64_t n_occurrences = MAX (definition->repeats, 1);
  uint64_t n_tasks = 0;

  *error = NULL;
  if (definition->n_steps == 0 || definition->n_steps > JOB_STEPS_MAX)
    *error = "a job needs between 1 and 256 steps";
  for (size_t i = 0; i < definition->n_steps && !*error; i++)
    {
      *error = step_error (definition->steps[i], i);
      /* At most 256 numbers of 32 bits. */
      n_tasks += definition->steps[i]->n_tasks;
    }
  /* A division, as the product of the two may not fit into 64 bits. */
  if (!*error && n_tasks > JOB_TASKS_MAX / n_occurrences)
    *error = "a job may have 20000 tasks at most, its repetitions included";
  if (!*error && !due_times_are_valid (definition))
    *error = "a repetition is due at a time that 64 bits can't hold";
  return !*error;
}

int64_t
job_definition_due_ms (const Sp__JobDefinition *definition, uint32_t occurrence)
{
  return definition->first_ms + (int64_t) occurrence * definition->interval_ms;
}

int64_t
job_definition_objective_ms (const Sp__JobDefinition *definition, int64_t path_ms)
{
  const int64_t limit_ms = OBJECTIVE_MAX_YEARS * MS_PER_YEAR;
  int64_t scaled;

  if (__builtin_mul_overflow (path_ms, (int64_t) definition->slack_permille, &scaled))
    return limit_ms;
  return MIN (scaled / PERMILLE + definition->target_ms, limit_ms);
}
