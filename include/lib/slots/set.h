#ifndef SESAMEPICK_LIB_SLOTS_SET_H
#define SESAMEPICK_LIB_SLOTS_SET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  SLOTS_PER_WORKER_MAX = 64,
  /* Most workers in one slot pool. */
  POOL_WORKERS_MAX = 64,
  /* Full reports renew leases; a lease spans three report periods. */
  SLOT_REPORT_PERIOD_MS = 100,
  SLOT_LEASE_MS = 300,
  /* Time for which an owner cedes its slots to a home, counted from its report. */
  SLOT_CEDE_MS = 700,
  /* Time for which a slot stays unused after its lease has expired, because an attempt may still
   * run on it. */
  SLOT_GRACE_MS = 500,
  /* An owner stops ceding its slots to a home that it has not heard for this long. */
  HOME_TIMEOUT_MS = 400,
  /* One in this many slots of a worker is reserved for its owner and not ceded to a home. */
  SLOT_RESERVED_DIVISOR = 4,
};

/* Returns the mask of a worker's slots that are reserved for their owners. */
static inline uint64_t
slots_reserved_mask (uint32_t n_slots)
{
  uint32_t n_reserved = n_slots / SLOT_RESERVED_DIVISOR;

  return n_reserved == 0 ? 0 : ((1ULL << n_reserved) - 1) << (n_slots - n_reserved);
}

/* A set of slots as used in peer messages: two parallel arrays of worker keys and masks of their
 * slots. */
struct slot_set
{
  size_t n;
  size_t capacity;
  uint32_t *workers;
  uint64_t *masks;
};

void slot_set_add (struct slot_set *set, uint32_t worker, uint64_t mask);
uint64_t slot_set_find (const struct slot_set *set, uint32_t worker);
void slot_set_reset (struct slot_set *set);
void slot_set_clear (struct slot_set *set);
size_t slot_set_count (const struct slot_set *set);

#endif
