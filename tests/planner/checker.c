#include "checker.h"

#include <glib.h>

enum
{
  HOUR_MS = 3600 * 1000,
};

/* Where a host is at a given time. */
enum host_place
{
  PLACE_POOL,
  PLACE_SPARE,
  PLACE_MAINTENANCE,
  /* Moving out of the pool, of which it is still a member. */
  PLACE_LEAVING_POOL,
  PLACE_LEAVING_SPARE,
};

/* A time before the plan starts. */
static const int64_t BEFORE_MS = -1;

/* Returns where a host is at a given time. */
static enum host_place
host_place_at (const struct planner_problem *problem, const struct planner_solution *solution,
               const struct planner_host *host, int64_t at_ms)
{
  const struct planner_pool *pool = &problem->pool;
  enum host_place place =
      host >= pool->hosts && host < pool->hosts + pool->n_hosts ? PLACE_POOL : PLACE_SPARE;

  for (uint32_t i = 0; i < solution->n_steps; i++)
    {
      const struct planner_step *step = &solution->steps[i];

      if (step->host != host || step->start_ms > at_ms)
        continue;
      if (step->end_ms > at_ms)
        {
          if (step->action == PLANNER_MAINTAIN)
            return PLACE_MAINTENANCE;
          return step->action == PLANNER_RETURN ? PLACE_LEAVING_POOL : PLACE_LEAVING_SPARE;
        }
      if (step->action == PLANNER_BORROW)
        place = PLACE_POOL;
      if (step->action == PLANNER_RETURN)
        place = PLACE_SPARE;
    }
  return place;
}

/* The state of both pools at a given time. */
struct pool_snapshot
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
pool_snapshot_add (struct pool_snapshot *snapshot, const struct planner_host *host,
                   enum host_place place)
{
  if (!host->serving)
    return;
  snapshot->maintained += place == PLACE_MAINTENANCE;
  snapshot->leaving += place == PLACE_LEAVING_POOL;
  snapshot->pool_members +=
      place == PLACE_POOL || place == PLACE_MAINTENANCE || place == PLACE_LEAVING_POOL;
  if (place == PLACE_POOL)
    {
      snapshot->pool_serving++;
      snapshot->pool_racks[host->rack]++;
    }
  if (place == PLACE_SPARE)
    {
      snapshot->spare_serving++;
      snapshot->spare_racks[host->rack]++;
    }
}

/* Computes the snapshot at a given time. */
static void
pool_snapshot_init (struct pool_snapshot *snapshot, const struct planner_problem *problem,
                    const struct planner_solution *solution, int64_t at_ms)
{
  *snapshot = (struct pool_snapshot){ 0 };
  snapshot->pool_racks = g_new0 (uint32_t, problem->n_racks + 1);
  snapshot->spare_racks = g_new0 (uint32_t, problem->n_racks + 1);
  for (uint32_t i = 0; i < problem->pool.n_hosts; i++)
    {
      const struct planner_host *host = &problem->pool.hosts[i];

      pool_snapshot_add (snapshot, host, host_place_at (problem, solution, host, at_ms));
    }
  for (uint32_t i = 0; i < problem->spare.n_hosts; i++)
    {
      const struct planner_host *host = &problem->spare.hosts[i];

      pool_snapshot_add (snapshot, host, host_place_at (problem, solution, host, at_ms));
    }
}

static void
pool_snapshot_clear (struct pool_snapshot *snapshot)
{
  g_free (snapshot->pool_racks);
  g_free (snapshot->spare_racks);
}

/* Returns the smallest number of hosts beyond min_serving that serve after the loss of any one
 * rack. */
static int64_t
margin_after_rack_loss (const uint32_t *racks, uint32_t n_racks, uint32_t serving,
                        uint32_t min_serving)
{
  int64_t fewest = (int64_t) serving - min_serving;

  for (uint32_t rack = 0; min_serving > 0 && rack < n_racks; rack++)
    fewest = MIN (fewest, (int64_t) serving - racks[rack] - min_serving);
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
has_borrowed_by (const struct planner_solution *solution, int64_t at_ms)
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
check_budgets_at (const struct planner_problem *problem, const struct planner_solution *solution,
                  int64_t at_ms, const struct margins *before)
{
  struct pool_snapshot snapshot;
  const char *violation = NULL;
  int64_t pool;
  int64_t spare;
  bool taken;

  pool_snapshot_init (&snapshot, problem, solution, at_ms);
  pool = margin_after_rack_loss (snapshot.pool_racks, problem->n_racks, snapshot.pool_serving,
                                 problem->pool.min_serving);
  spare = margin_after_rack_loss (snapshot.spare_racks, problem->n_racks, snapshot.spare_serving,
                                  problem->spare.min_serving);
  taken = snapshot.maintained > 0 || (problem->kind == PLANNER_RESIZE && snapshot.leaving > 0);
  if (pool < 0 && (pool < before->pool || taken))
    violation = "the pool's budget does not hold after the loss of a rack";
  else if (spare < 0 && (spare < before->spare || has_borrowed_by (solution, at_ms)))
    violation = "the spare pool's budget does not hold after the loss of a rack";
  pool_snapshot_clear (&snapshot);
  return violation;
}

/* Checks the budgets whenever a step starts or ends. */
static const char *
check_budgets (const struct planner_problem *problem, const struct planner_solution *solution)
{
  struct pool_snapshot snapshot;
  struct margins before;

  pool_snapshot_init (&snapshot, problem, solution, BEFORE_MS);
  before.pool = margin_after_rack_loss (snapshot.pool_racks, problem->n_racks,
                                        snapshot.pool_serving, problem->pool.min_serving);
  before.spare = margin_after_rack_loss (snapshot.spare_racks, problem->n_racks,
                                         snapshot.spare_serving, problem->spare.min_serving);
  pool_snapshot_clear (&snapshot);
  for (uint32_t i = 0; i < solution->n_steps; i++)
    {
      const struct planner_step *step = &solution->steps[i];
      const char *violation = check_budgets_at (problem, solution, step->start_ms, &before);

      if (!violation)
        violation = check_budgets_at (problem, solution, step->end_ms, &before);
      if (violation)
        return violation;
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
  int64_t time_ms = step->action == PLANNER_MAINTAIN ? problem->maintenance_ms : problem->move_ms;
  enum host_place from = step->action == PLANNER_BORROW ? PLACE_SPARE : PLACE_POOL;

  if (step->start_ms < 0 || step->end_ms - step->start_ms != time_ms)
    return "a step has the wrong start or duration";
  if (!step->host->serving)
    return "a step takes a host that does not serve";
  if (step->action == PLANNER_BORROW && !step->host->matches_class)
    return "a host of another class is borrowed";
  if (host_place_at (problem, solution, step->host, step->start_ms - 1) != from)
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
plan_end_ms (const struct planner_solution *solution)
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
  int64_t end_ms = plan_end_ms (solution);

  for (uint32_t i = 0; i < problem->pool.n_hosts; i++)
    {
      const struct planner_host *host = &problem->pool.hosts[i];
      uint32_t times = 0;

      for (uint32_t k = 0; k < solution->n_steps; k++)
        times += solution->steps[k].host == host && solution->steps[k].action == PLANNER_MAINTAIN;
      if (times != (host->serving ? 1 : 0))
        return "a serving host is not maintained exactly once, or another host is maintained";
      if (host_place_at (problem, solution, host, end_ms) != PLACE_POOL)
        return "a host is not back in its pool at the end";
    }
  for (uint32_t i = 0; i < problem->spare.n_hosts; i++)
    {
      if (host_place_at (problem, solution, &problem->spare.hosts[i], end_ms) != PLACE_SPARE)
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
  struct pool_snapshot snapshot;
  int64_t left;
  uint32_t members;

  pool_snapshot_init (&snapshot, problem, solution, plan_end_ms (solution));
  left = margin_after_rack_loss (snapshot.pool_racks, problem->n_racks, snapshot.pool_serving,
                                 problem->pool.min_serving_after);
  members = snapshot.pool_members;
  pool_snapshot_clear (&snapshot);
  if (members < problem->pool.target)
    return "the target is not reached";
  return left < 0 ? "the budget does not hold after the plan" : NULL;
}

/* Adds up the host time beyond the buffer base, from one end of a step to the next. */
static uint64_t
plan_buffer_ms (const struct planner_problem *problem, const struct planner_solution *solution)
{
  bool resize = problem->kind == PLANNER_RESIZE;
  int64_t until_ms = resize ? problem->horizon_ms : plan_end_ms (solution);
  uint64_t buffer_ms = 0;
  struct pool_snapshot snapshot;
  int64_t base;
  int64_t at_ms = 0;

  pool_snapshot_init (&snapshot, problem, solution, BEFORE_MS);
  base = resize ? problem->pool.target : MAX (problem->pool.target, snapshot.pool_members);
  pool_snapshot_clear (&snapshot);
  while (at_ms < until_ms)
    {
      int64_t next_ms = until_ms;

      for (uint32_t i = 0; i < solution->n_steps; i++)
        {
          if (solution->steps[i].end_ms > at_ms)
            next_ms = MIN (next_ms, solution->steps[i].end_ms);
        }
      pool_snapshot_init (&snapshot, problem, solution, at_ms);
      buffer_ms += (uint64_t) (MAX (0, (int64_t) snapshot.pool_members - base) * (next_ms - at_ms));
      pool_snapshot_clear (&snapshot);
      at_ms = next_ms;
    }
  return buffer_ms;
}

/* Checks that the solution's measures match its steps. */
static const char *
check_measures (const struct planner_problem *problem, const struct planner_solution *solution)
{
  double price = (double) plan_buffer_ms (problem, solution) / HOUR_MS *
                 (double) problem->price_micros_per_hour;
  uint32_t moves = 0;

  for (uint32_t i = 0; i < solution->n_steps; i++)
    moves += solution->steps[i].action != PLANNER_MAINTAIN;
  if (moves != solution->measures.moves)
    return "the number of moves is wrong";
  if (plan_end_ms (solution) != solution->measures.rollout_ms)
    return "the roll-out time is wrong";
  if (ABS (price - (double) solution->measures.buffer_cost_micros) > 2.0)
    return "the buffer cost is wrong";
  return NULL;
}

const char *
plan_check (const struct planner_problem *problem, const struct planner_solution *solution)
{
  const char *violation = NULL;

  for (uint32_t i = 0; i < solution->n_steps && !violation; i++)
    violation = check_step (problem, solution, i);
  if (!violation)
    violation = check_budgets (problem, solution);
  if (!violation)
    violation = problem->kind == PLANNER_WAVE ? check_wave_end (problem, solution)
                                              : check_resize_end (problem, solution);
  if (!violation)
    violation = check_measures (problem, solution);
  return violation;
}
