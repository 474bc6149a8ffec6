#include "wave.h"

#include <string.h>

enum
{
  /* If the racks form more groups than this, no round is lowered. */
  RACK_GROUPS_MAX = 64,
};

const struct wave_occupancy *
wave_round_occupancy (const struct wave *wave, const struct wave_schedule *schedule, uint32_t round)
{
  return &wave->occupancies[schedule->on_loan[round] > 0 ? schedule->loan_size : 0];
}

int64_t
wave_round_capacity (const struct wave *wave, const struct wave_schedule *schedule, uint32_t round)
{
  return (int64_t) wave->own.total + schedule->on_loan[round] - wave->problem->pool.min_serving -
         wave_round_occupancy (wave, schedule, round)->fullest_rack_hosts;
}

uint32_t
wave_min_out (const struct wave_occupancy *occupancy, uint32_t hosts, uint32_t lower)
{
  uint32_t level = occupancy->fullest_rack_hosts - lower;

  return hosts > level ? hosts - level : 0;
}

/* Returns the number of hosts that each rack of a group has in a round. */
static uint32_t
rack_group_hosts (const struct wave_schedule *schedule, const struct rack_group *group,
                  uint32_t round)
{
  return group->own_hosts + (schedule->on_loan[round] > 0 ? group->borrowed_hosts : 0);
}

/* Lowers the fullest rack of a round by one more host, if the round's capacity and the hosts not
 * reserved by other rounds allow it. reserved is the number of hosts reserved on each rack of a
 * group. */
static bool
wave_schedule_lower_round (const struct wave *wave, struct wave_schedule *schedule, uint32_t round,
                           uint32_t reserved[RACK_GROUPS_MAX])
{
  const struct wave_occupancy *full = &wave->occupancies[schedule->loan_size];
  const struct wave_occupancy *occupancy = wave_round_occupancy (wave, schedule, round);
  uint32_t lower = schedule->lowered_by[round] + 1;
  int64_t capacity = wave_round_capacity (wave, schedule, round);
  int64_t total_min_out = 0;

  if (capacity < 0 || lower > occupancy->fullest_rack_hosts || full->n_groups > RACK_GROUPS_MAX)
    return false;
  for (uint32_t i = 0; i < full->n_groups; i++)
    {
      uint32_t hosts = rack_group_hosts (schedule, &full->groups[i], round);
      uint32_t min_out = wave_min_out (occupancy, hosts, lower);
      uint32_t more = min_out - wave_min_out (occupancy, hosts, lower - 1);

      total_min_out += (int64_t) min_out * full->groups[i].n_racks;
      if (total_min_out > capacity + lower || reserved[i] + more > full->groups[i].own_hosts)
        return false;
    }
  for (uint32_t i = 0; i < full->n_groups; i++)
    {
      uint32_t hosts = rack_group_hosts (schedule, &full->groups[i], round);

      reserved[i] +=
          wave_min_out (occupancy, hosts, lower) - wave_min_out (occupancy, hosts, lower - 1);
    }
  schedule->lowered_by[round] = lower;
  return true;
}

/* Lowers one round by one host. Tries the rounds lowered the least first, since they need the
 * fewest hosts for it. */
static bool
wave_schedule_lower_any (const struct wave *wave, struct wave_schedule *schedule,
                         uint32_t reserved[RACK_GROUPS_MAX])
{
  uint32_t fullest = wave->occupancies[schedule->loan_size].fullest_rack_hosts;

  for (uint32_t lowered = 0; lowered < fullest; lowered++)
    for (uint32_t j = 0; j < schedule->n_rounds; j++)
      {
        if (schedule->lowered_by[j] == lowered &&
            wave_schedule_lower_round (wave, schedule, j, reserved))
          return true;
      }
  return false;
}

/* Lowers rounds until they can hold all hosts. Returns false if that isn't possible. */
static bool
wave_schedule_lower_until_fit (const struct wave *wave, struct wave_schedule *schedule)
{
  uint32_t reserved[RACK_GROUPS_MAX] = { 0 };
  int64_t capacity = 0;

  for (uint32_t j = 0; j < schedule->n_rounds; j++)
    {
      capacity += MAX (0, wave_round_capacity (wave, schedule, j));
      schedule->lowered_by[j] = 0;
    }
  while (capacity < wave->own.total && wave_schedule_lower_any (wave, schedule, reserved))
    capacity++;
  return capacity >= wave->own.total;
}

/* Reduces the loan in the last rounds to the number of hosts needed. */
static void
wave_schedule_trim_loan (const struct wave *wave, struct wave_schedule *schedule,
                         uint32_t rounds_before)
{
  for (uint32_t j = schedule->n_rounds; j-- > rounds_before;)
    {
      uint32_t low = 0;
      uint32_t high = schedule->on_loan[j];

      while (low < high)
        {
          uint32_t middle = (low + high) / 2;

          schedule->on_loan[j] = middle;
          if (wave_schedule_lower_until_fit (wave, schedule))
            high = middle;
          else
            low = middle + 1;
        }
      schedule->on_loan[j] = high;
      if (high > 0)
        return;
    }
}

uint32_t
wave_loan_end (const struct wave_schedule *schedule, uint32_t candidate)
{
  uint32_t end = schedule->n_rounds;

  while (end > 0 && schedule->on_loan[end - 1] <= candidate)
    end--;
  return end;
}

/* Computes buffer cost, roll-out time and number of moves. */
static void
wave_schedule_measure (const struct wave *wave, struct wave_schedule *schedule)
{
  const struct planner_problem *problem = wave->problem;
  uint32_t base = planner_buffer_base (problem);
  int64_t end_ms = schedule->first_round_ms + schedule->n_rounds * problem->maintenance_ms;
  uint64_t buffer_ms = 0;

  for (uint32_t i = 0; i < schedule->max_on_loan; i++)
    {
      int64_t back_ms = schedule->first_round_ms +
                        wave_loan_end (schedule, i) * problem->maintenance_ms + problem->move_ms;

      end_ms = MAX (end_ms, back_ms);
      if (wave->own.total + i + 1 > base)
        buffer_ms += (uint64_t) (back_ms - schedule->loan_arrival_ms);
    }
  schedule->measures.rollout_ms = end_ms;
  schedule->measures.buffer_cost_micros = planner_host_time_price (problem, buffer_ms);
  schedule->measures.moves = 2 * schedule->max_on_loan;
}

/* Initializes a schedule that has the whole loan in all rounds but the first rounds_before, during
 * which the loan arrives. Returns false if the rounds can't hold all hosts. */
static bool
wave_schedule_init (const struct wave *wave, struct wave_schedule *schedule, uint32_t n_rounds,
                    uint32_t on_loan, uint32_t rounds_before)
{
  bool waits = on_loan > 0 && rounds_before == 0;

  memset (schedule, 0, sizeof *schedule);
  schedule->n_rounds = n_rounds;
  schedule->loan_size = on_loan;
  schedule->first_round_ms = waits ? wave->problem->move_ms : 0;
  schedule->on_loan = g_new0 (uint32_t, n_rounds + 1);
  schedule->lowered_by = g_new0 (uint32_t, n_rounds + 1);
  for (uint32_t j = rounds_before; j < n_rounds; j++)
    schedule->on_loan[j] = on_loan;
  return wave_schedule_lower_until_fit (wave, schedule);
}

/* Returns whether n_rounds rounds can hold all hosts. */
bool
wave_schedule_is_feasible (const struct wave *wave, uint32_t n_rounds, uint32_t on_loan,
                           uint32_t rounds_before)
{
  struct wave_schedule schedule;
  bool fits = wave_schedule_init (wave, &schedule, n_rounds, on_loan, rounds_before);

  wave_schedule_clear (&schedule);
  return fits;
}

/* Builds a schedule and reduces the loan to the hosts that are needed. */
bool
wave_schedule_build (const struct wave *wave, struct wave_schedule *schedule, uint32_t n_rounds,
                     uint32_t on_loan, uint32_t rounds_before)
{
  if (!wave_schedule_init (wave, schedule, n_rounds, on_loan, rounds_before))
    {
      wave_schedule_clear (schedule);
      return false;
    }
  wave_schedule_trim_loan (wave, schedule, rounds_before);
  wave_schedule_lower_until_fit (wave, schedule);
  for (uint32_t j = 0; j < n_rounds; j++)
    schedule->max_on_loan = MAX (schedule->max_on_loan, schedule->on_loan[j]);
  schedule->loan_arrival_ms =
      schedule->first_round_ms + rounds_before * wave->problem->maintenance_ms;
  wave_schedule_measure (wave, schedule);
  return true;
}

void
wave_schedule_clear (struct wave_schedule *schedule)
{
  g_free (schedule->on_loan);
  g_free (schedule->lowered_by);
  memset (schedule, 0, sizeof *schedule);
}
