#include "wave.h"

#include <string.h>

/* Improves the schedule of a wave. In a schedule of rounds, a step often waits for the end of a
 * round although the budget would let it start sooner. Tightening moves each maintenance and each
 * return as early, and each borrow as late, as the budget allows. */

struct tighten
{
  const struct wave *wave;
  struct planner_step *steps;
  uint32_t n_steps;
  /* The racks of all hosts that occur in a step, by consecutive index, and the number of the pool's
   * own hosts on each. */
  uint32_t n_racks;
  uint32_t *rack_indexes;
  uint32_t *own_by_rack;
  /* Scratch: number of serving hosts by rack index. */
  uint32_t *serving_by_rack;
};

/* Assigns consecutive indexes to the racks of the hosts that occur in a step. */
static void
tighten_index_racks (struct tighten *tighten)
{
  const struct rack_count *own = &tighten->wave->own;
  bool *used = g_new0 (bool, own->n_racks + 1);

  tighten->rack_indexes = g_new0 (uint32_t, own->n_racks + 1);
  tighten->own_by_rack = g_new0 (uint32_t, own->n_racks + 1);
  tighten->serving_by_rack = g_new0 (uint32_t, own->n_racks + 1);
  for (uint32_t i = 0; i < tighten->n_steps; i++)
    used[tighten->steps[i].host->rack] = true;
  for (uint32_t rack = 0; rack < own->n_racks; rack++)
    {
      if (!used[rack])
        continue;
      tighten->own_by_rack[tighten->n_racks] = own->by_rack[rack];
      tighten->rack_indexes[rack] = tighten->n_racks++;
    }
  g_free (used);
}

/* Counts the pool's serving hosts just after at_ms, by rack and in total. Returns the number of
 * hosts under maintenance. */
static uint32_t
tighten_count_serving (struct tighten *tighten, int64_t at_ms, int64_t *serving)
{
  uint32_t maintained = 0;

  memcpy (tighten->serving_by_rack, tighten->own_by_rack,
          tighten->n_racks * sizeof *tighten->own_by_rack);
  *serving = tighten->wave->own.total;
  for (uint32_t i = 0; i < tighten->n_steps; i++)
    {
      const struct planner_step *step = &tighten->steps[i];
      bool begun = step->start_ms <= at_ms;
      bool ended = step->end_ms <= at_ms;
      int change = 0;

      if (step->action == PLANNER_BORROW)
        change = ended ? 1 : 0;
      else if (step->action == PLANNER_RETURN)
        change = begun ? -1 : 0;
      else if (begun && !ended)
        change = -1;
      maintained += step->action == PLANNER_MAINTAIN && begun && !ended;
      tighten->serving_by_rack[tighten->rack_indexes[step->host->rack]] += (uint32_t) change;
      *serving += change;
    }
  return maintained;
}

/* Returns whether the budget holds just after at_ms. While no host is under maintenance, the margin
 * may be as low as it was before the wave. */
static bool
tighten_budget_holds (struct tighten *tighten, int64_t at_ms)
{
  const struct wave *wave = tighten->wave;
  int64_t min_serving = wave->problem->pool.min_serving;
  int64_t margin_before =
      (int64_t) wave->own.total - wave->occupancies[0].fullest_rack_hosts - min_serving;
  int64_t serving;
  uint32_t maintained = tighten_count_serving (tighten, at_ms, &serving);
  uint32_t fullest = 0;

  if (min_serving == 0)
    return true;
  for (uint32_t rack = 0; rack < tighten->n_racks; rack++)
    fullest = MAX (fullest, tighten->serving_by_rack[rack]);
  return serving - fullest - min_serving >= (maintained > 0 ? 0 : MIN (0, margin_before));
}

/* Returns true if an earlier step in the array starts at the same time, so that this time is
 * checked already. */
static bool
tighten_start_is_duplicate (const struct tighten *tighten, uint32_t index)
{
  for (uint32_t i = 0; i < index; i++)
    {
      if (tighten->steps[i].start_ms == tighten->steps[index].start_ms)
        return true;
    }
  return false;
}

/* Returns whether the budget holds at each step's start in a time range. The end of a step never
 * lowers the margin, so only starts are checked. */
static bool
tighten_budget_holds_between (struct tighten *tighten, int64_t from_ms, int64_t until_ms)
{
  for (uint32_t i = 0; i < tighten->n_steps; i++)
    {
      int64_t at_ms = tighten->steps[i].start_ms;

      if (at_ms >= from_ms && at_ms < until_ms && !tighten_start_is_duplicate (tighten, i) &&
          !tighten_budget_holds (tighten, at_ms))
        return false;
    }
  return true;
}

/* Moves a step to another start time. If that breaks the budget, restores the step and returns
 * false. */
static bool
tighten_try_shift (struct tighten *tighten, struct planner_step *step, int64_t start_ms)
{
  struct planner_step previous = *step;

  step->start_ms = start_ms;
  step->end_ms = start_ms + (previous.end_ms - previous.start_ms);
  if (tighten_budget_holds_between (tighten, MIN (start_ms, previous.start_ms),
                                    MAX (step->end_ms, previous.end_ms)))
    return true;
  *step = previous;
  return false;
}

/* Finds the other step of the same loan: the return of a borrow, or the borrow of a return. */
static const struct planner_step *
tighten_paired_step (const struct tighten *tighten, const struct planner_step *step)
{
  for (uint32_t i = 0; i < tighten->n_steps; i++)
    {
      if (&tighten->steps[i] != step && tighten->steps[i].host == step->host)
        return &tighten->steps[i];
    }
  return NULL;
}

static int
tighten_time_compare (const void *a, const void *b)
{
  int64_t left = *(const int64_t *) a;
  int64_t right = *(const int64_t *) b;

  return (left > right) - (left < right);
}

/* Returns the times at which a step starts or ends, and 0, in ascending order. */
static GArray *
tighten_times (const struct tighten *tighten)
{
  GArray *times = g_array_new (FALSE, FALSE, sizeof (int64_t));
  int64_t zero = 0;

  g_array_append_val (times, zero);
  for (uint32_t i = 0; i < tighten->n_steps; i++)
    {
      g_array_append_val (times, tighten->steps[i].start_ms);
      g_array_append_val (times, tighten->steps[i].end_ms);
    }
  g_array_sort (times, tighten_time_compare);
  return times;
}

/* Moves a maintenance or a return to the earliest time that the budget allows. Returns true if the
 * step moved. */
static bool
tighten_move_earlier (struct tighten *tighten, struct planner_step *step)
{
  const struct planner_step *borrowed =
      step->action == PLANNER_RETURN ? tighten_paired_step (tighten, step) : NULL;
  int64_t from_ms = borrowed ? borrowed->end_ms : 0;
  g_autoptr (GArray) times = tighten_times (tighten);

  for (guint i = 0; i < times->len; i++)
    {
      int64_t at_ms = g_array_index (times, int64_t, i);

      if (i > 0 && at_ms == g_array_index (times, int64_t, i - 1))
        continue;
      if (at_ms >= step->start_ms)
        return false;
      if (at_ms >= from_ms && tighten_try_shift (tighten, step, at_ms))
        return true;
    }
  return false;
}

/* Moves a borrow to the latest time that the budget allows. Returns true if the step moved. */
static bool
tighten_move_later (struct tighten *tighten, struct planner_step *step)
{
  int64_t move_ms = step->end_ms - step->start_ms;
  int64_t until_ms = tighten_paired_step (tighten, step)->start_ms;
  g_autoptr (GArray) times = tighten_times (tighten);

  for (guint i = times->len; i-- > 0;)
    {
      int64_t at_ms = g_array_index (times, int64_t, i);

      if (at_ms > until_ms)
        continue;
      if (at_ms <= step->end_ms)
        return false;
      if (tighten_try_shift (tighten, step, at_ms - move_ms))
        return true;
    }
  return false;
}

/* Tries to move each step of one action once. Returns true if any step moved. */
static bool
tighten_pass (struct tighten *tighten, enum planner_action action)
{
  bool changed = false;

  for (uint32_t i = 0; i < tighten->n_steps; i++)
    {
      struct planner_step *step = &tighten->steps[i];

      if (step->action != action)
        continue;
      if (action == PLANNER_BORROW)
        changed = tighten_move_later (tighten, step) || changed;
      else
        changed = tighten_move_earlier (tighten, step) || changed;
    }
  return changed;
}

/* Adds up the host time of the pool beyond its buffer base. */
static uint64_t
tighten_buffer_ms (const struct tighten *tighten)
{
  uint32_t base = planner_buffer_base (tighten->wave->problem);
  g_autoptr (GArray) times = tighten_times (tighten);
  uint64_t buffer_ms = 0;

  for (guint t = 1; t < times->len; t++)
    {
      int64_t at_ms = g_array_index (times, int64_t, t - 1);
      int64_t members = tighten->wave->own.total;

      for (uint32_t i = 0; i < tighten->n_steps; i++)
        {
          const struct planner_step *step = &tighten->steps[i];

          if (step->action != PLANNER_MAINTAIN && step->end_ms <= at_ms)
            members += step->action == PLANNER_BORROW ? 1 : -1;
        }
      buffer_ms +=
          (uint64_t) (MAX (0, members - base) * (g_array_index (times, int64_t, t) - at_ms));
    }
  return buffer_ms;
}

/* Computes the measures of the steps in their current positions. */
static void
tighten_measure (const struct tighten *tighten, struct planner_measures *measures)
{
  measures->rollout_ms = 0;
  measures->moves = 0;
  for (uint32_t i = 0; i < tighten->n_steps; i++)
    {
      measures->rollout_ms = MAX (measures->rollout_ms, tighten->steps[i].end_ms);
      measures->moves += tighten->steps[i].action != PLANNER_MAINTAIN;
    }
  measures->buffer_cost_micros =
      planner_host_time_price (tighten->wave->problem, tighten_buffer_ms (tighten));
}

/* Moves steps until none can be improved, then measures the result. */
bool
wave_tighten (const struct wave *wave, GArray *steps, struct planner_measures *measures)
{
  struct tighten tighten = { .wave = wave, .n_steps = steps->len };
  bool changed = true;
  bool feasible;

  g_array_sort (steps, planner_step_compare);
  tighten.steps = (struct planner_step *) (void *) steps->data;
  tighten_index_racks (&tighten);
  feasible = tighten_budget_holds_between (&tighten, 0, INT64_MAX);
  while (feasible && changed)
    {
      changed = tighten_pass (&tighten, PLANNER_MAINTAIN);
      changed = tighten_pass (&tighten, PLANNER_RETURN) || changed;
      changed = tighten_pass (&tighten, PLANNER_BORROW) || changed;
    }
  tighten_measure (&tighten, measures);
  g_free (tighten.rack_indexes);
  g_free (tighten.own_by_rack);
  g_free (tighten.serving_by_rack);
  return feasible;
}
