#ifndef SESAMEPICK_LIB_PLANNER_WAVE_H
#define SESAMEPICK_LIB_PLANNER_WAVE_H

#include "internal.h"

/* A maintenance wave in rounds of equal length. In round j the pool borrows on_loan[j] hosts of the
 * spare pool: always the first entries of loan_candidates. The budget must hold after the loss of
 * the fullest rack, so the number of hosts that may be out of service at once falls as the number
 * of hosts serving on that rack grows. A round can lower the latter by taking hosts out of service
 * on every rack that is as full; for each host by which it does, one more host may be out of
 * service. */

/* A group of racks with the same number of the pool's own hosts and of borrowed hosts. */
struct rack_group
{
  uint32_t own_hosts;
  uint32_t borrowed_hosts;
  uint32_t n_racks;
};

/* Occupancy of the racks for a given number of borrowed hosts. */
struct wave_occupancy
{
  struct rack_group *groups;
  uint32_t n_groups;
  uint32_t fullest_rack_hosts;
};

struct wave
{
  const struct planner_problem *problem;
  struct rack_count own;
  GPtrArray *loan_candidates;
  /* By number of borrowed hosts, from 0 to loan_candidates->len. */
  struct wave_occupancy *occupancies;
};

struct wave_schedule
{
  uint32_t n_rounds;
  /* Start of the first round. */
  int64_t first_round_ms;
  /* Size of the whole loan. Every round with any loan assumes the rack occupancy of the whole
   * loan. */
  uint32_t loan_size;
  uint32_t *on_loan;
  /* By how many hosts each round lowers the occupancy of the fullest rack. */
  uint32_t *lowered_by;
  /* Largest on_loan of all rounds. */
  uint32_t max_on_loan;
  /* Time at which all borrowed hosts have joined the pool. */
  int64_t loan_arrival_ms;
  struct planner_measures measures;
};

/* Computes the rounds and the measures of a schedule with on_loan borrowed hosts. They arrive at
 * the end of the first rounds_before rounds; if rounds_before is 0, the first round waits for them.
 * Returns false if n_rounds rounds can't hold all hosts. */
bool wave_schedule_build (const struct wave *wave, struct wave_schedule *schedule,
                          uint32_t n_rounds, uint32_t on_loan, uint32_t rounds_before);
bool wave_schedule_is_feasible (const struct wave *wave, uint32_t n_rounds, uint32_t on_loan,
                                uint32_t rounds_before);
void wave_schedule_clear (struct wave_schedule *schedule);
/* Functions for one round. wave_round_occupancy returns its rack occupancy. wave_round_capacity
 * returns how many hosts may be out of service if the round doesn't lower the fullest rack; it is
 * negative if the budget doesn't hold even with no host out. wave_min_out returns how many hosts of
 * a rack must be out so that the rack serves with at most (fullest - lower) hosts. */
const struct wave_occupancy *wave_round_occupancy (const struct wave *wave,
                                                   const struct wave_schedule *schedule,
                                                   uint32_t round);
int64_t wave_round_capacity (const struct wave *wave, const struct wave_schedule *schedule,
                             uint32_t round);
uint32_t wave_min_out (const struct wave_occupancy *occupancy, uint32_t hosts, uint32_t lower);
/* Returns the index of the round after the last one in which this loan candidate is on loan. */
uint32_t wave_loan_end (const struct wave_schedule *schedule, uint32_t candidate);

/* The order of racks in which hosts fill up a round. */
enum wave_rack_order
{
  WAVE_RACKS_FULLEST_FIRST,
  WAVE_RACKS_FULLEST_LAST,
  N_WAVE_RACK_ORDERS,
};

/* Selects the hosts of each round and adds all steps. */
void wave_schedule_pack (const struct wave *wave, const struct wave_schedule *schedule,
                         enum wave_rack_order order, GArray *steps);
/* Adds the steps of a wave that maintains one host at a time, in a random order that depends only
 * on seed, with one loan for the whole wave. The steps may break the budget. */
void wave_serial_pack (const struct wave *wave, uint32_t on_loan, uint32_t seed, GArray *steps);
/* Returns the racks that hold hosts of the pool, in the given order. Free the array with
 * g_array_unref. */
GArray *wave_racks (const struct wave *wave, enum wave_rack_order order);

/* Sorts steps, shifts them in time to lower the cost, and measures them. Returns false, without
 * shifting, if the given steps already break the budget. */
bool wave_tighten (const struct wave *wave, GArray *steps, struct planner_measures *measures);

#endif
