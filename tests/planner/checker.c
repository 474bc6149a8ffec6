#include "checker.h"

#include <glib.h>

enum
{
  HOUR_MS = 3600 * 1000,
};

/* Where a host is at a given time. */
enum place
{
  AT_POOL,
  AT_SPARE,
  OUT_MAINTAINED,
  /* Moving out of the pool, of which it is still a member. */
  OUT_OF_POOL,
  OUT_OF_SPARE,
};

/* A time before the plan starts. */
static const int64_t BEFORE_MS = -1;

/* Returns where a host is at a given time. */
static enum place
place_of (const struct planner_problem *problem, const struct planner_solution *solution,
          const struct planner_host *host, int64_t at_ms)
{
  const struct planner_pool *pool = &problem->pool;
  enum place place = host >= pool->hosts && host < pool->hosts + pool->n_hosts ? AT_POOL : AT_SPARE;

  for (uint32_t i = 0; i < solution->n_steps; i++)
    {
      const struct planner_step *step = &solution->steps[i];

      if (step->host != host || step->start_ms > at_ms)
        continue;
      if (step->end_ms > at_ms)
        {
          if (step->action == PLANNER_MAINTAIN)
            return OUT_MAINTAINED;
          return step->action == PLANNER_RETURN ? OUT_OF_POOL : OUT_OF_SPARE;
        }
      if (step->action == PLANNER_BORROW)
        place = AT_POOL;
      if (step->action == PLANNER_RETURN)
        place = AT_SPARE;
    }
  return place;
}

/* The state of both pools at a given time. */
struct picture
{
  uint32_t *pool_racks;
  uint32_t *spare_racks;
  uint32_t pool_serving;
  uint32_t spare_serving;
  uint32_t pool_members;
  uint32_t maintained;
  uint32_t leaving;
};

/* Adds one host to the snapshot. */
static void
picture_add (struct picture *picture, const struct planner_host *host, enum place place)
{
  if (!host->serving)
    return;
  picture->maintained += place == OUT_MAINTAINED;
  picture->leaving += place == OUT_OF_POOL;
  picture->pool_members += place == AT_POOL || place == OUT_MAINTAINED || place == OUT_OF_POOL;
  if (place == AT_POOL)
    {
      picture->pool_serving++;
      picture->pool_racks[host->rack]++;
    }
  if (place == AT_SPARE)
    {
      picture->spare_serving++;
      picture->spare_racks[host->rack]++;
    }
}

/* Computes the snapshot at a given time. */
static void
picture_take (struct picture *picture, const struct planner_problem *problem,
              const struct planner_solution *solution, int64_t at_ms)
{
  *picture = (struct picture){ 0 };
  picture->pool_racks = g_new0 (uint32_t, problem->n_racks + 1);
  picture->spare_racks = g_new0 (uint32_t, problem->n_racks + 1);
  for (uint32_t i = 0; i < problem->pool.n_hosts; i++)
    {
      const struct planner_host *host = &problem->pool.hosts[i];

      picture_add (picture, host, place_of (problem, solution, host, at_ms));
    }
  for (uint32_t i = 0; i < problem->spare.n_hosts; i++)
    {
      const struct planner_host *host = &problem->spare.hosts[i];

      picture_add (picture, host, place_of (problem, solution, host, at_ms));
    }
}

static void
picture_clear (struct picture *picture)
{
  g_free (picture->pool_racks);
  g_free (picture->spare_racks);
}

/* Returns the smallest number of hosts beyond need that serve after the loss of any one rack. */
static int64_t
left_after_rack (const uint32_t *racks, uint32_t n_racks, uint32_t serving, uint32_t need)
{
  int64_t fewest = (int64_t) serving - need;

  for (uint32_t rack = 0; need > 0 && rack < n_racks; rack++)
    fewest = MIN (fewest, (int64_t) serving - racks[rack] - need);
  return fewest;
}

/* By how many hosts each pool exceeded its budget before the plan, after the loss of its fullest
 * rack. */
struct margins
{
  int64_t pool;
  int64_t spare;
};

/* Returns true if the plan has started to borrow a host by at_ms. */
static bool
lent_by (const struct planner_solution *solution, int64_t at_ms)
{
  for (uint32_t i = 0; i < solution->n_steps; i++)
    {
      if (solution->steps[i].action == PLANNER_BORROW && solution->steps[i].start_ms <= at_ms)
        return true;
    }
  return false;
}

/* Checks the budgets at a given time. If a pool's budget did not hold before the plan, its margin
 * may stay negative but must not shrink, and the plan must not take any host of the pool itself out
 * of service. */
static const char *
check_instant (const struct planner_problem *problem, const struct planner_solution *solution,
               int64_t at_ms, const struct margins *before)
{
  struct picture picture;
  const char *wrong = NULL;
  int64_t pool;
  int64_t spare;
  bool taken;

  picture_take (&picture, problem, solution, at_ms);
  pool = left_after_rack (picture.pool_racks, problem->n_racks, picture.pool_serving,
                          problem->pool.need);
  spare = left_after_rack (picture.spare_racks, problem->n_racks, picture.spare_serving,
                           problem->spare.need);
  taken = picture.maintained > 0 || (problem->kind == PLANNER_RESIZE && picture.leaving > 0);
  if (pool < 0 && (pool < before->pool || taken))
    wrong = "the pool's budget does not hold after the loss of a rack";
  else if (spare < 0 && (spare < before->spare || lent_by (solution, at_ms)))
    wrong = "the spare pool's budget does not hold after the loss of a rack";
  picture_clear (&picture);
  return wrong;
}

/* Checks the budgets whenever a step starts or ends. */
static const char *
check_instants (const struct planner_problem *problem, const struct planner_solution *solution)
{
  struct picture picture;
  struct margins before;

  picture_take (&picture, problem, solution, BEFORE_MS);
  before.pool = left_after_rack (picture.pool_racks, problem->n_racks, picture.pool_serving,
                                 problem->pool.need);
  before.spare = left_after_rack (picture.spare_racks, problem->n_racks, picture.spare_serving,
                                  problem->spare.need);
  picture_clear (&picture);
  for (uint32_t i = 0; i < solution->n_steps; i++)
    {
      const struct planner_step *step = &solution->steps[i];
      const char *wrong = check_instant (problem, solution, step->start_ms, &before);

      if (!wrong)
        wrong = check_instant (problem, solution, step->end_ms, &before);
      if (wrong)
        return wrong;
    }
  return NULL;
}

/* Checks that a step has the right duration and that its host is in the expected pool and in no
 * other step at the time. */
static const char *
check_step (const struct planner_problem *problem, const struct planner_solution *solution,
            uint32_t index)
{
  const struct planner_step *step = &solution->steps[index];
  int64_t time_ms = step->action == PLANNER_MAINTAIN ? problem->maintain_ms : problem->move_ms;
  enum place from = step->action == PLANNER_BORROW ? AT_SPARE : AT_POOL;

  if (step->start_ms < 0 || step->end_ms - step->start_ms != time_ms)
    return "a step has the wrong start or duration";
  if (!step->host->serving)
    return "a step takes a host that does not serve";
  if (step->action == PLANNER_BORROW && !step->host->fits)
    return "a host of another class is borrowed";
  if (place_of (problem, solution, step->host, step->start_ms - 1) != from)
    return "a step moves or maintains a host that is not in the expected pool";
  for (uint32_t i = 0; i < solution->n_steps; i++)
    {
      const struct planner_step *other = &solution->steps[i];

      if (i != index && other->host == step->host && other->start_ms < step->end_ms &&
          step->start_ms < other->end_ms)
        return "a host is in two steps at once";
    }
  return NULL;
}

/* Returns the end of the last step. */
static int64_t
plan_end (const struct planner_solution *solution)
{
  int64_t end_ms = 0;

  for (uint32_t i = 0; i < solution->n_steps; i++)
    end_ms = MAX (end_ms, solution->steps[i].end_ms);
  return end_ms;
}

/* Checks that a wave maintains each serving host once, returns each borrowed host, and ends in
 * time. */
static const char *
check_wave_end (const struct planner_problem *problem, const struct planner_solution *solution)
{
  int64_t end_ms = plan_end (solution);

  for (uint32_t i = 0; i < problem->pool.n_hosts; i++)
    {
      const struct planner_host *host = &problem->pool.hosts[i];
      uint32_t times = 0;

      for (uint32_t k = 0; k < solution->n_steps; k++)
        times += solution->steps[k].host == host && solution->steps[k].action == PLANNER_MAINTAIN;
      if (times != (host->serving ? 1 : 0))
        return "a serving host is not maintained exactly once, or another host is maintained";
      if (place_of (problem, solution, host, end_ms) != AT_POOL)
        return "a host is not back in its pool at the end";
    }
  for (uint32_t i = 0; i < problem->spare.n_hosts; i++)
    {
      if (place_of (problem, solution, &problem->spare.hosts[i], end_ms) != AT_SPARE)
        return "a borrowed host is not returned";
    }
  if (problem->finish_within_ms > 0 && end_ms > problem->finish_within_ms)
    return "the wave exceeds its time limit";
  return NULL;
}

/* Checks that a resize reaches the target, with the new budget holding. */
static const char *
check_resize_end (const struct planner_problem *problem, const struct planner_solution *solution)
{
  struct picture picture;
  int64_t left;
  uint32_t members;

  picture_take (&picture, problem, solution, plan_end (solution));
  left = left_after_rack (picture.pool_racks, problem->n_racks, picture.pool_serving,
                          problem->pool.need_after);
  members = picture.pool_members;
  picture_clear (&picture);
  if (members < problem->pool.target)
    return "the target is not reached";
  return left < 0 ? "the budget does not hold after the plan" : NULL;
}

/* Adds up the host time beyond the buffer base, from one end of a step to the next. */
static uint64_t
plan_buffer (const struct planner_problem *problem, const struct planner_solution *solution)
{
  bool resize = problem->kind == PLANNER_RESIZE;
  int64_t until_ms = resize ? problem->horizon_ms : plan_end (solution);
  uint64_t buffer_ms = 0;
  struct picture picture;
  int64_t base;
  int64_t at_ms = 0;

  picture_take (&picture, problem, solution, BEFORE_MS);
  base = resize ? problem->pool.target : MAX (problem->pool.target, picture.pool_members);
  picture_clear (&picture);
  while (at_ms < until_ms)
    {
      int64_t next_ms = until_ms;

      for (uint32_t i = 0; i < solution->n_steps; i++)
        {
          if (solution->steps[i].end_ms > at_ms)
            next_ms = MIN (next_ms, solution->steps[i].end_ms);
        }
      picture_take (&picture, problem, solution, at_ms);
      buffer_ms += (uint64_t) (MAX (0, (int64_t) picture.pool_members - base) * (next_ms - at_ms));
      picture_clear (&picture);
      at_ms = next_ms;
    }
  return buffer_ms;
}

/* Checks that the solution's measures match its steps. */
static const char *
check_measures (const struct planner_problem *problem, const struct planner_solution *solution)
{
  double price =
      (double) plan_buffer (problem, solution) / HOUR_MS * (double) problem->price_micros_per_hour;
  uint32_t moves = 0;

  for (uint32_t i = 0; i < solution->n_steps; i++)
    moves += solution->steps[i].action != PLANNER_MAINTAIN;
  if (moves != solution->measures.moves)
    return "the number of moves is wrong";
  if (plan_end (solution) != solution->measures.rollout_ms)
    return "the roll-out time is wrong";
  if (ABS (price - (double) solution->measures.buffer_micros) > 2.0)
    return "the buffer cost is wrong";
  return NULL;
}

const char *
plan_check (const struct planner_problem *problem, const struct planner_solution *solution)
{
  const char *wrong = NULL;

  for (uint32_t i = 0; i < solution->n_steps && !wrong; i++)
    wrong = check_step (problem, solution, i);
  if (!wrong)
    wrong = check_instants (problem, solution);
  if (!wrong)
    wrong = problem->kind == PLANNER_WAVE ? check_wave_end (problem, solution)
                                          : check_resize_end (problem, solution);
  if (!wrong)
    wrong = check_measures (problem, solution);
  return wrong;
}
