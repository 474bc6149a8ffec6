#include "lib/slots/home.h"

#include <glib.h>

enum
{
  /* While requests of both classes wait, one in this many grants is for a nightly request. */
  NIGHTLY_INTERVAL = 10,
  /* Weight of an interactive request in a member's demand; that of a nightly one is 1. */
  INTERACTIVE_WEIGHT = 10,
  /* How long a borrower keeps idle slots while many slots are free, and while few are. */
  KEEP_IDLE_MS = 200,
  KEEP_IDLE_SCARCE_MS = 20,
  /* Few slots are free if they are less than one in this many. */
  SCARCE_DIVISOR = 8,
  /* Minimum time between a borrower's last grant and a notice of a shortage to it. */
  NOTICE_PERIOD_MS = 10,
};

/* Returns whether more than half of the entry hosts cede their slots to this home for at least
 * another lease. Each cedes to one home at a time, so at most one home has a majority. */
static bool
home_has_majority (const struct slot_home *home, int64_t now_ms)
{
  size_t n = 0;

  for (size_t i = 0; i < home->membership->n; i++)
    if (home->borrowers[i].ceded_until_ms >= now_ms + SLOT_LEASE_MS)
      n++;
  return n * 2 > home->membership->n;
}

/* Returns whether every live entry host has recently reported to this home which slots it holds. */
static bool
home_hears_all (const struct slot_home *home, int64_t now_ms)
{
  for (size_t i = 0; i < home->membership->n; i++)
    if (home->membership->members[i].state == MEMBER_ALIVE &&
        now_ms - home->borrowers[i].report_ms >= SLOT_LEASE_MS)
      return false;
  return true;
}

/* Updates the conditions for lending that don't depend on the slot. */
void
slot_home_update_conditions (struct slot_home *home, int64_t now_ms)
{
  home->has_majority = home_has_majority (home, now_ms);
  home->hears_all = home_hears_all (home, now_ms);
}

/* Returns whether the home may lend a slot now for a full lease: its owner cedes it, or its owner
 * is lost and a majority of the others cede theirs. A home that has just started lends nothing for
 * the length of a lease, since slots that an earlier home lent may still be in use. A slot that was
 * ceded recently may still run an attempt of an entry host that has not reported to this home yet,
 * so it is not lent until every live one has reported or SLOT_GRACE_MS has passed. */
bool
slot_home_may_lend (const struct slot_home *home, const struct home_slot *slot, int64_t now_ms)
{
  const struct borrower *owner = &home->borrowers[slot->owner];

  if (now_ms < home->started_ms + SLOT_LEASE_MS && home->membership->n > 1)
    return false;
  if (!slot->reserved && owner->ceded_until_ms >= now_ms + SLOT_LEASE_MS)
    return now_ms - owner->ceded_since_ms >= SLOT_GRACE_MS || home->hears_all;
  return home->has_majority && membership_member_lost (home->membership, slot->owner);
}

/* Returns whether a borrower has excluded a worker. */
static bool
borrower_avoids (const struct borrower *borrower, uint32_t key)
{
  for (size_t i = 0; i < borrower->n_avoid; i++)
    if (borrower->avoid[i] == key)
      return true;
  return false;
}

/* Returns a free slot of a worker, or NULL. */
static struct home_slot *
worker_free_slot (const struct slot_home *home, const struct home_worker *worker, int64_t now_ms)
{
  if (!worker->serving || worker->n_lent == worker->n_slots)
    return NULL;
  for (uint32_t k = 0; k < worker->n_slots; k++)
    if (!worker->slots[k].lent && slot_home_may_lend (home, &worker->slots[k], now_ms))
      return &worker->slots[k];
  return NULL;
}

/* Lends a slot of the worker with the fewest lent slots. Returns false if there is none. */
static bool
home_lend_to (struct slot_home *home, size_t member, int64_t now_ms)
{
  struct borrower *borrower = &home->borrowers[member];
  struct home_worker *best = NULL;
  struct home_slot *slot;

  for (size_t i = 0; i < home->n_workers; i++)
    {
      struct home_worker *worker = &home->workers[(home->next_worker + i) % home->n_workers];

      if ((best && worker->n_lent >= best->n_lent) || borrower_avoids (borrower, worker->key))
        continue;
      if (worker_free_slot (home, worker, now_ms))
        best = worker;
    }
  if (!best)
    return false;
  home->next_worker = (size_t) (best - home->workers) + 1;
  slot = worker_free_slot (home, best, now_ms);
  slot->lent = true;
  slot->borrower = (uint8_t) member;
  slot->seq = borrower->grant_seq + 1;
  slot->until_ms = now_ms + SLOT_LEASE_MS;
  best->n_lent++;
  borrower->n_lent++;
  slot_set_add (&borrower->pending, best->key, 1ULL << (slot - best->slots));
  return true;
}

/* Returns a member's demand: the slots that it holds and wants, with a lower weight for nightly
 * requests. */
static uint64_t
borrower_demand (const struct borrower *borrower)
{
  uint64_t nightly = MIN (borrower->nightly_running, borrower->n_lent);
  uint64_t interactive = borrower->n_lent - nightly + borrower->want;

  return interactive * INTERACTIVE_WEIGHT + nightly + borrower->want_nightly;
}

/* Returns the member that holds the smallest share of its demand among those that want slots of
 * that class, or -1. */
static int
home_choose_borrower (const struct slot_home *home, bool nightly)
{
  int best = -1;

  for (size_t i = 0; i < home->membership->n; i++)
    {
      const struct borrower *borrower = &home->borrowers[i];
      const struct borrower *other = best >= 0 ? &home->borrowers[best] : NULL;

      if (borrower->skip || (nightly ? borrower->want_nightly : borrower->want) == 0)
        continue;
      if (!other ||
          borrower->n_lent * borrower_demand (other) < other->n_lent * borrower_demand (borrower))
        best = (int) i;
    }
  return best;
}

/* Returns the member that gets the next slot, and its class; -1 if no member wants one. */
static int
home_next_borrower (struct slot_home *home, bool *nightly)
{
  int interactive_member = home_choose_borrower (home, false);
  int nightly_member = home_choose_borrower (home, true);

  *nightly = interactive_member < 0 ||
             (nightly_member >= 0 && home->interactive_since_nightly >= NIGHTLY_INTERVAL - 1);
  return *nightly ? nightly_member : interactive_member;
}

/* Counts the slots that the home has lent or may lend, and those of them that are free. */
static void
home_count_slots (const struct slot_home *home, int64_t now_ms, uint32_t *usable,
                  uint32_t *free_slots)
{
  *usable = 0;
  *free_slots = 0;
  for (size_t i = 0; i < home->n_workers; i++)
    for (uint32_t k = 0; k < home->workers[i].n_slots && home->workers[i].serving; k++)
      {
        const struct home_slot *slot = &home->workers[i].slots[k];

        if (slot->lent || slot_home_may_lend (home, slot, now_ms))
          (*usable)++;
        if (!slot->lent && slot_home_may_lend (home, slot, now_ms))
          (*free_slots)++;
      }
}

/* Returns whether some member's demand is not met. */
static bool
home_has_unmet_demand (const struct slot_home *home)
{
  for (size_t i = 0; i < home->membership->n; i++)
    if (home->borrowers[i].want + home->borrowers[i].want_nightly > 0)
      return true;
  return false;
}

/* Returns the maximum number of slots that a member should hold, in proportion to its demand; 0 (no
 * limit) while all demand is met. */
static uint32_t
home_limit (const struct slot_home *home, size_t member, uint32_t usable)
{
  uint64_t total = 0;
  uint64_t share;

  if (!home_has_unmet_demand (home))
    return 0;
  for (size_t i = 0; i < home->membership->n; i++)
    total += borrower_demand (&home->borrowers[i]);
  if (total == 0)
    return 0;
  share = (usable * borrower_demand (&home->borrowers[member]) + total - 1) / total;
  return (uint32_t) MAX (share, 1);
}

/* Sends a member its granted and revoked slots, its limit, and how long it should keep idle
 * slots. */
static void
home_send_grant (struct slot_home *home, size_t member, uint32_t usable, uint32_t free_slots,
                 int64_t now_ms)
{
  struct borrower *borrower = &home->borrowers[member];
  Sp__SlotGrant grant = SP__SLOT_GRANT__INIT;

  grant.pool = home->pool;
  grant.seq = ++borrower->grant_seq;
  grant.incarnation = home->membership->members[home->membership->self].incarnation;
  grant.home_ms = (uint64_t) now_ms;
  grant.echo_ms = borrower->echo_ms;
  grant.to_incarnation = borrower->incarnation;
  grant.renews = borrower->renews;
  grant.n_granted_workers = grant.n_granted_slots = borrower->pending.n;
  grant.granted_workers = borrower->pending.workers;
  grant.granted_slots = borrower->pending.masks;
  grant.n_revoked_workers = grant.n_revoked_slots = borrower->revoked.n;
  grant.revoked_workers = borrower->revoked.workers;
  grant.revoked_slots = borrower->revoked.masks;
  grant.limit = home_limit (home, member, usable);
  if (!home_has_unmet_demand (home))
    grant.idle_ms = free_slots * SCARCE_DIVISOR < usable ? KEEP_IDLE_SCARCE_MS : KEEP_IDLE_MS;
  borrower->last_grant_ms = now_ms;
  borrower->renews = false;
  home->ops.send (home->ops.ctx, member, &grant);
  slot_set_reset (&borrower->pending);
  slot_set_reset (&borrower->revoked);
}

/* Lends free slots to the members that want them, the one with the smallest share of its demand
 * first, and sends the grants. */
void
slot_home_lend_free (struct slot_home *home, int64_t now_ms)
{
  uint32_t usable = 0;
  uint32_t free_slots = 0;
  bool counted = false;
  bool nightly;
  int member;

  for (size_t i = 0; i < home->membership->n; i++)
    home->borrowers[i].skip = false;
  while ((member = home_next_borrower (home, &nightly)) >= 0)
    {
      struct borrower *borrower = &home->borrowers[member];

      if (!home_lend_to (home, (size_t) member, now_ms))
        {
          borrower->skip = true;
          continue;
        }
      if (nightly)
        borrower->want_nightly--;
      else
        borrower->want--;
      home->interactive_since_nightly = nightly ? 0 : home->interactive_since_nightly + 1;
    }
  for (size_t i = 0; i < home->membership->n; i++)
    if (home->borrowers[i].pending.n > 0 || home->borrowers[i].renews)
      {
        if (!counted)
          home_count_slots (home, now_ms, &usable, &free_slots);
        counted = true;
        home_send_grant (home, i, usable, free_slots, now_ms);
      }
}

/* Notifies members that hold idle slots, or more than their share, that others are waiting. */
void
slot_home_notify_shortage (struct slot_home *home, int64_t now_ms)
{
  uint32_t usable;
  uint32_t free_slots;

  if (!home_has_unmet_demand (home))
    return;
  home_count_slots (home, now_ms, &usable, &free_slots);
  for (size_t i = 0; i < home->membership->n; i++)
    {
      struct borrower *borrower = &home->borrowers[i];
      bool over = borrower->n_lent > home_limit (home, i, usable);

      if ((borrower->idle > 0 || over) && now_ms - borrower->last_grant_ms >= NOTICE_PERIOD_MS)
        home_send_grant (home, i, usable, free_slots, now_ms);
    }
}
