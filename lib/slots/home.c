#include "lib/slots/home.h"

#include <glib.h>
#include <string.h>

/* Creates the home of a pool's slots, without workers. */
struct slot_home *
slot_home_create (uint32_t pool, const struct membership *membership,
                  const struct slot_home_ops *ops, int64_t now_ms)
{
  struct slot_home *home = g_new0 (struct slot_home, 1);

  home->pool = pool;
  home->membership = membership;
  home->ops = *ops;
  home->started_ms = now_ms;
  home->borrowers = g_new0 (struct borrower, membership->n);
  for (size_t i = 0; i < membership->n; i++)
    home->borrowers[i].ceded_until_ms = INT64_MIN;
  return home;
}

void
slot_home_destroy (struct slot_home *home)
{
  for (size_t i = 0; i < home->n_workers; i++)
    g_free (home->workers[i].slots);
  for (size_t i = 0; i < home->membership->n; i++)
    {
      g_free (home->borrowers[i].avoid);
      slot_set_clear (&home->borrowers[i].pending);
      slot_set_clear (&home->borrowers[i].revoked);
    }
  g_free (home->workers);
  g_free (home->borrowers);
  g_free (home);
}

/* Returns the worker with that key, or NULL. */
static struct home_worker *
home_find_worker (const struct slot_home *home, uint32_t key)
{
  for (size_t i = 0; i < home->n_workers; i++)
    if (home->workers[i].key == key)
      return &home->workers[i];
  return NULL;
}

/* Starts an update of the pool's workers: slot_home_set_worker follows for each, then
 * slot_home_end_workers. */
void
slot_home_begin_workers (struct slot_home *home)
{
  for (size_t i = 0; i < home->n_workers; i++)
    {
      home->workers[i].present = false;
      home->workers[i].serving = false;
    }
}

/* Adds a worker and determines the owner of each of its slots. */
static struct home_worker *
home_add_worker (struct slot_home *home, uint32_t key, uint32_t n_slots)
{
  uint8_t order[MEMBERS_MAX];
  struct home_worker *worker;

  home->workers = g_renew (struct home_worker, home->workers, home->n_workers + 1);
  worker = &home->workers[home->n_workers++];
  *worker = (struct home_worker){ .key = key, .n_slots = n_slots };
  worker->slots = g_new0 (struct home_slot, n_slots);
  membership_rank (home->membership, key, order);
  for (uint32_t i = 0; i < n_slots; i++)
    {
      worker->slots[i].owner = order[i % home->membership->n];
      worker->slots[i].reserved =
          home->membership->n > 1 && (slots_reserved_mask (n_slots) >> i & 1);
    }
  return worker;
}

/* Adds or updates one worker of the pool. */
void
slot_home_set_worker (struct slot_home *home, uint32_t key, uint32_t n_slots, bool serving)
{
  struct home_worker *worker = home_find_worker (home, key);

  if (!worker)
    worker = home_add_worker (home, key, n_slots);
  worker->present = true;
  worker->serving = serving;
}

/* Marks a lent slot as free. */
static void
home_free_slot (struct slot_home *home, struct home_worker *worker, struct home_slot *slot)
{
  g_assert (slot->lent && worker->n_lent > 0 && home->borrowers[slot->borrower].n_lent > 0);
  slot->lent = false;
  worker->n_lent--;
  home->borrowers[slot->borrower].n_lent--;
}

/* Ends an update of the workers: removes those that were not set during it. */
void
slot_home_end_workers (struct slot_home *home)
{
  size_t n_left = 0;

  for (size_t i = 0; i < home->n_workers; i++)
    {
      struct home_worker *worker = &home->workers[i];

      if (worker->present)
        {
          home->workers[n_left++] = *worker;
          continue;
        }
      for (uint32_t k = 0; k < worker->n_slots; k++)
        if (worker->slots[k].lent)
          home_free_slot (home, worker, &worker->slots[k]);
      g_free (worker->slots);
    }
  home->n_workers = n_left;
}

/* Returns the mask for a worker from two parallel arrays of a message; 0 if there is none. */
static uint64_t
report_mask (size_t n, const uint32_t *workers, size_t n_masks, const uint64_t *masks, uint32_t key)
{
  for (size_t i = 0; i < MIN (n, n_masks); i++)
    if (workers[i] == key)
      return masks[i];
  return 0;
}

/* Frees slots that their borrower has returned, unless they were lent to it again since. */
static void
home_free_returned (struct slot_home *home, size_t member, const Sp__SlotReport *report)
{
  for (size_t i = 0; i < MIN (report->n_returned_workers, report->n_returned_slots); i++)
    {
      struct home_worker *worker = home_find_worker (home, report->returned_workers[i]);

      for (uint32_t k = 0; worker && k < worker->n_slots; k++)
        {
          struct home_slot *slot = &worker->slots[k];

          if ((report->returned_slots[i] >> k & 1) && slot->lent && slot->borrower == member &&
              slot->seq <= report->home_seq)
            home_free_slot (home, worker, slot);
        }
    }
}

/* Records a free slot as lent to a member that reports to hold it; happens after a restart or
 * change of the home. */
static void
home_adopt_slot (struct slot_home *home, struct home_worker *worker, struct home_slot *slot,
                 size_t member, int64_t now_ms)
{
  slot->lent = true;
  slot->borrower = (uint8_t) member;
  slot->until_ms = now_ms + SLOT_LEASE_MS;
  worker->n_lent++;
  home->borrowers[member].n_lent++;
}

/* Updates one slot according to whether the reporting member holds it. A held slot that is lent to
 * another member, or may not be lent, is revoked. */
static void
home_update_slot (struct slot_home *home, struct home_worker *worker, uint32_t k, size_t member,
                  bool held, uint64_t home_seq, int64_t now_ms)
{
  struct home_slot *slot = &worker->slots[k];
  struct borrower *borrower = &home->borrowers[member];
  bool held_by_member = slot->lent && slot->borrower == member;

  if (!held)
    {
      if (held_by_member && slot->seq <= home_seq)
        home_free_slot (home, worker, slot);
      return;
    }
  if (!slot->lent)
    {
      home_adopt_slot (home, worker, slot, member, now_ms);
      slot->seq = 0;
      held_by_member = true;
    }
  if (held_by_member)
    slot->until_ms = now_ms + SLOT_LEASE_MS;
  if (!held_by_member || !worker->serving || !slot_home_may_lend (home, slot, now_ms))
    slot_set_add (&borrower->revoked, worker->key, 1ULL << k);
}

/* Applies a full report: renews or adopts the leases of slots that the sender holds, and frees
 * those that it does not hold. */
static void
home_apply_held (struct slot_home *home, size_t member, const Sp__SlotReport *report,
                 int64_t now_ms)
{
  for (size_t i = 0; i < home->n_workers; i++)
    {
      struct home_worker *worker = &home->workers[i];
      uint64_t held = report_mask (report->n_held_workers, report->held_workers,
                                   report->n_held_slots, report->held_slots, worker->key);

      for (uint32_t k = 0; k < worker->n_slots; k++)
        home_update_slot (home, worker, k, member, held >> k & 1, report->home_seq, now_ms);
    }
}

/* Counts the slots lent to a member by grants that it had not seen when it reported. */
static uint32_t
home_count_unseen (const struct slot_home *home, size_t member, uint64_t home_seq)
{
  uint32_t count = 0;

  for (size_t i = 0; i < home->n_workers; i++)
    for (uint32_t k = 0; k < home->workers[i].n_slots; k++)
      {
        const struct home_slot *slot = &home->workers[i].slots[k];

        if (slot->lent && slot->borrower == member && slot->seq > home_seq)
          count++;
      }
  return count;
}

/* Stores the demand in a member's report, less the slots granted to it that it had not received
 * when it reported. */
static void
borrower_store_demand (struct borrower *borrower, const Sp__SlotReport *report, uint32_t unseen)
{
  uint32_t interactive = MIN (unseen, report->want);

  borrower->want = report->want - interactive;
  borrower->want_nightly = report->want_nightly - MIN (unseen - interactive, report->want_nightly);
  borrower->nightly_running = report->nightly;
  borrower->idle = report->idle;
  g_free (borrower->avoid);
  borrower->avoid = g_memdup2 (report->avoid, report->n_avoid * sizeof *report->avoid);
  borrower->n_avoid = report->n_avoid;
}

/* Resets the state of a member that has restarted; slots lent to its earlier process stay lent
 * until their leases expire. */
static void
borrower_restart (struct borrower *borrower, uint64_t incarnation)
{
  borrower->incarnation = incarnation;
  borrower->report_seq = 0;
  borrower->grant_seq = 0;
  borrower->want = 0;
  borrower->want_nightly = 0;
}

/* Handles a member's report: updates its cession, leases and demand, and lends free slots. A full
 * report is always answered, any other only with newly lent slots. Ignores reports overtaken by a
 * newer one. */
void
slot_home_handle_report (struct slot_home *home, size_t member, const Sp__SlotReport *report,
                         int64_t now_ms)
{
  struct borrower *borrower = &home->borrowers[member];
  const struct member *self = &home->membership->members[home->membership->self];
  bool knows_home = report->home_incarnation == self->incarnation;
  uint64_t home_seq = knows_home ? report->home_seq : 0;
  int64_t home_ms = (int64_t) report->home_ms;

  if (report->incarnation < borrower->incarnation)
    return;
  if (report->incarnation > borrower->incarnation)
    borrower_restart (borrower, report->incarnation);
  if (report->seq <= borrower->report_seq)
    return;
  borrower->report_seq = report->seq;
  borrower->report_ms = now_ms;
  borrower->echo_ms = report->sent_ms;
  if (!report->cedes)
    borrower->ceded_until_ms = INT64_MIN;
  else if (knows_home && home_ms + SLOT_CEDE_MS > borrower->ceded_until_ms)
    {
      if (borrower->ceded_until_ms < now_ms)
        borrower->ceded_since_ms = now_ms;
      borrower->ceded_until_ms = home_ms + SLOT_CEDE_MS;
    }
  slot_home_update_conditions (home, now_ms);
  if (knows_home)
    home_free_returned (home, member, report);
  if (report->full)
    home_apply_held (home, member, report, now_ms);
  borrower_store_demand (borrower, report, home_count_unseen (home, member, home_seq));
  borrower->renews = report->full;
  slot_home_lend_free (home, now_ms);
}

/* Frees slots whose leases have expired, forgets the demand of members that no longer report, lends
 * free slots, and notifies members of a shortage. */
void
slot_home_tick (struct slot_home *home, int64_t now_ms)
{
  slot_home_update_conditions (home, now_ms);
  for (size_t i = 0; i < home->n_workers; i++)
    for (uint32_t k = 0; k < home->workers[i].n_slots; k++)
      {
        struct home_slot *slot = &home->workers[i].slots[k];

        if (slot->lent && now_ms >= slot->until_ms + SLOT_GRACE_MS)
          home_free_slot (home, &home->workers[i], slot);
      }
  for (size_t i = 0; i < home->membership->n; i++)
    {
      struct borrower *borrower = &home->borrowers[i];

      if (now_ms - borrower->report_ms < SLOT_LEASE_MS)
        continue;
      borrower->want = 0;
      borrower->want_nightly = 0;
      borrower->idle = 0;
    }
  slot_home_lend_free (home, now_ms);
  slot_home_notify_shortage (home, now_ms);
}

/* Returns whether any slot is lent or wanted. */
bool
slot_home_in_use (const struct slot_home *home)
{
  for (size_t i = 0; i < home->membership->n; i++)
    if (home->borrowers[i].n_lent + home->borrowers[i].want + home->borrowers[i].want_nightly > 0)
      return true;
  return false;
}

/* Asserts that the counts of lent slots match the slots. */
void
slot_home_assert_counts (const struct slot_home *home)
{
  uint32_t lent[MEMBERS_MAX] = { 0 };

  for (size_t i = 0; i < home->n_workers; i++)
    {
      const struct home_worker *worker = &home->workers[i];
      uint32_t n_lent = 0;

      for (uint32_t k = 0; k < worker->n_slots; k++)
        if (worker->slots[k].lent)
          {
            n_lent++;
            lent[worker->slots[k].borrower]++;
          }
      g_assert_cmpuint (n_lent, ==, worker->n_lent);
    }
  for (size_t i = 0; i < home->membership->n; i++)
    g_assert_cmpuint (lent[i], ==, home->borrowers[i].n_lent);
}
