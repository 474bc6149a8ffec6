#include "lib/slots/pool.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "lib/slots/home.h"

enum
{
  /* Interval of full reports while the pool is not in use. */
  IDLE_REPORT_PERIOD_MS = 150,
  /* A pool counts as active for this long after its last use. */
  ACTIVE_MS = 200,
  /* Most reports of an entry host to itself in one millisecond. */
  LOCAL_REPORTS_PER_MS_MAX = 64,
  /* Idle slots that an active pool requests in advance while many slots are free. */
  PREFETCH_SLOTS = 2,
  /* The home lets borrowers keep idle slots for at least this long while many slots are free. */
  AMPLE_KEEP_IDLE_MS = 100,
};

/* Creates a pool without workers. An earlier process of this entry host may have ceded its slots to
 * a home, so the pool waits before it cedes or uses them. */
struct slot_pool *
slot_pool_create (const char *name, const struct membership *membership,
                  const struct slot_pool_ops *ops, int64_t now_ms)
{
  struct slot_pool *pool = g_new0 (struct slot_pool, 1);
  bool alone = membership->n == 1;

  pool->name = g_strdup (name);
  pool->hash = XXH32 (name, strlen (name), 0);
  pool->membership = membership;
  pool->ops = *ops;
  pool->home = -1;
  pool->home_heard_ms = now_ms;
  pool->sent_ms = now_ms - 1;
  pool->full_report_ms = now_ms - IDLE_REPORT_PERIOD_MS;
  pool->last_used_ms = now_ms - ACTIVE_MS;
  pool->flushed_ms = now_ms;
  pool->ceded_ms = now_ms;
  pool->cede_after_ms = alone ? now_ms : now_ms + SLOT_CEDE_MS;
  pool->reserved_after_ms = alone ? now_ms : now_ms + SLOT_CEDE_MS + SLOT_GRACE_MS;
  LIST_INIT (&pool->workers);
  return pool;
}

/* Frees a pool; its workers must have been removed. */
void
slot_pool_destroy (struct slot_pool *pool)
{
  g_assert (LIST_EMPTY (&pool->workers));
  if (pool->local_home)
    slot_home_destroy (pool->local_home);
  slot_set_clear (&pool->returned);
  g_free (pool->name);
  g_free (pool);
}

/* Returns the key that identifies a worker in peer messages. */
uint32_t
worker_key (const char *host, uint16_t port)
{
  return XXH32 (host, strlen (host), port);
}

/* Initializes a worker's slots and determines which of them this entry host owns. */
void
worker_slots_init (struct worker_slots *slots, uint32_t key, uint32_t n,
                   const struct membership *membership)
{
  uint8_t order[MEMBERS_MAX];

  slots->key = key;
  slots->n = MIN (n, SLOTS_PER_WORKER_MAX);
  membership_rank (membership, key, order);
  for (uint32_t k = 0; k < slots->n; k++)
    if (order[k % membership->n] == membership->self)
      slots->own |= 1ULL << k;
  slots->reserved = slots->own & slots_reserved_mask (slots->n);
}

/* Adds a worker's slots to a pool. */
void
slot_pool_join (struct slot_pool *pool, struct worker_slots *slots)
{
  slots->pool = pool;
  LIST_INSERT_HEAD (&pool->workers, slots, link);
  pool->n_held += (uint32_t) __builtin_popcountll (slots->held);
  pool->n_busy += (uint32_t) __builtin_popcountll (slots->busy);
}

/* Removes a worker's slots from their pool. */
void
slot_pool_leave (struct worker_slots *slots)
{
  if (!slots->pool)
    return;
  LIST_REMOVE (slots, link);
  slots->pool->n_held -= (uint32_t) __builtin_popcountll (slots->held);
  slots->pool->n_busy -= (uint32_t) __builtin_popcountll (slots->busy);
  slots->pool = NULL;
}

/* Returns whether this entry host may use all slots that it owns: it cedes them to no home, and its
 * last cession and the grace period after it have passed. */
bool
slot_pool_uses_own (const struct slot_pool *pool, int64_t now_ms)
{
  const struct membership *membership = pool->membership;

  return !pool->cedes && !membership->members[membership->self].stopping &&
         now_ms >= pool->ceded_ms + SLOT_CEDE_MS + SLOT_GRACE_MS;
}

/* Returns the mask of a worker's slots that this entry host may use because it owns them. */
static uint64_t
slots_usable_own (const struct worker_slots *slots, int64_t now_ms)
{
  const struct slot_pool *pool = slots->pool;

  if (slot_pool_uses_own (pool, now_ms))
    return slots->own;
  if (pool->membership->members[pool->membership->self].stopping ||
      now_ms < pool->reserved_after_ms)
    return 0;
  return slots->reserved;
}

/* Returns the mask of a worker's slots on which an attempt may start. */
static uint64_t
slots_startable (const struct worker_slots *slots, int64_t now_ms)
{
  uint64_t mask = slots_usable_own (slots, now_ms);

  for (uint64_t held = slots->held; held; held &= held - 1)
    {
      int k = __builtin_ctzll (held);

      if (now_ms < slots->until_ms[k])
        mask |= 1ULL << k;
    }
  return mask & ~slots->busy;
}

/* Returns a slot of the worker on which an attempt may start, or -1. */
int
slot_pool_find (const struct worker_slots *slots, int64_t now_ms)
{
  uint64_t mask;

  if (!slots->pool)
    return -1;
  mask = slots_startable (slots, now_ms);
  return mask ? __builtin_ctzll (mask) : -1;
}

/* Marks a slot as in use. */
void
slot_pool_acquire (struct worker_slots *slots, int slot, int64_t now_ms)
{
  g_assert (slots_startable (slots, now_ms) >> slot & 1);
  slots->busy |= 1ULL << slot;
  slots->pool->n_busy++;
  slots->pool->last_used_ms = now_ms;
}

/* Returns an idle lent slot to the home, with the next report. */
static void
slots_return_slot (struct worker_slots *slots, int slot)
{
  uint64_t bit = 1ULL << slot;

  g_assert ((slots->held & bit) && !(slots->busy & bit));
  slots->held &= ~bit;
  slots->pool->n_held--;
  slot_set_add (&slots->pool->returned, slots->key, bit);
}

/* Marks a slot as no longer in use. A lent slot is kept for the next request, unless its worker is
 * not usable or more slots are held than the limit. */
void
slot_pool_release (struct worker_slots *slots, int slot, int64_t now_ms)
{
  struct slot_pool *pool = slots->pool;
  uint64_t bit = 1ULL << slot;

  g_assert (slots->busy & bit);
  slots->busy &= ~bit;
  slots->idle_since_ms[slot] = now_ms;
  if (!pool)
    return;
  pool->n_busy--;
  pool->last_used_ms = now_ms;
  if (!(slots->held & bit))
    return;
  if (!slots->usable || (pool->limit > 0 && pool->n_held > pool->limit))
    slots_return_slot (slots, slot);
}

/* Counts the slots on which an attempt may start. */
uint32_t
slot_pool_idle (const struct slot_pool *pool, int64_t now_ms)
{
  const struct worker_slots *slots;
  uint32_t count = 0;

  LIST_FOREACH (slots, &pool->workers, link)
    if (slots->usable)
      count += (uint32_t) __builtin_popcountll (slots_startable (slots, now_ms));
  return count;
}

/* Adds granted slots. Those whose lease expired in transit are not used. */
static void
pool_add_granted (struct slot_pool *pool, const Sp__SlotGrant *grant, int64_t until_ms,
                  int64_t now_ms)
{
  struct worker_slots *slots;

  LIST_FOREACH (slots, &pool->workers, link)
    for (size_t i = 0; i < MIN (grant->n_granted_workers, grant->n_granted_slots); i++)
      {
        uint64_t mask = grant->granted_slots[i];

        if (grant->granted_workers[i] != slots->key)
          continue;
        for (; mask; mask &= mask - 1)
          {
            int k = __builtin_ctzll (mask);

            if (k >= (int) slots->n)
              continue;
            pool->n_held += (slots->held >> k & 1) ? 0 : 1;
            slots->held |= 1ULL << k;
            slots->until_ms[k] = until_ms;
            slots->idle_since_ms[k] = now_ms;
          }
      }
}

/* Removes revoked slots: no new attempt starts on them, and idle ones are returned. */
static void
pool_remove_revoked (struct slot_pool *pool, const Sp__SlotGrant *grant)
{
  struct worker_slots *slots;

  LIST_FOREACH (slots, &pool->workers, link)
    for (size_t i = 0; i < MIN (grant->n_revoked_workers, grant->n_revoked_slots); i++)
      {
        uint64_t mask = grant->revoked_slots[i] & slots->held;

        if (grant->revoked_workers[i] != slots->key)
          continue;
        pool->n_held -= (uint32_t) __builtin_popcountll (mask);
        slots->held &= ~mask;
        slot_set_add (&pool->returned, slots->key, mask & ~slots->busy);
      }
}

/* Extends the leases of the slots named in the last full report. */
static void
pool_renew (struct slot_pool *pool, int64_t until_ms)
{
  struct worker_slots *slots;

  LIST_FOREACH (slots, &pool->workers, link)
    for (uint64_t mask = slots->held & slots->reported; mask; mask &= mask - 1)
      {
        int k = __builtin_ctzll (mask);

        slots->until_ms[k] = MAX (slots->until_ms[k], until_ms);
      }
}

/* Handles a grant of the home. Ignores grants of another home or process, and those overtaken by a
 * newer one. */
void
slot_pool_handle_grant (struct slot_pool *pool, size_t from, const Sp__SlotGrant *grant,
                        int64_t now_ms)
{
  const struct member *self = &pool->membership->members[pool->membership->self];
  int64_t until_ms = (int64_t) grant->echo_ms + SLOT_LEASE_MS;
  uint32_t granted = 0;

  if ((int) from != pool->home || grant->to_incarnation != self->incarnation ||
      grant->incarnation < pool->home_incarnation)
    return;
  if (grant->incarnation > pool->home_incarnation)
    {
      pool->home_incarnation = grant->incarnation;
      pool->home_seq = 0;
      pool->full_report_ms = now_ms - IDLE_REPORT_PERIOD_MS;
    }
  if (grant->seq <= pool->home_seq)
    return;
  pool->home_seq = grant->seq;
  pool->home_ms = grant->home_ms;
  pool->home_heard_ms = MAX (pool->home_heard_ms, (int64_t) grant->echo_ms);
  pool->limit = grant->limit;
  pool->keep_idle_ms = grant->idle_ms;
  for (size_t i = 0; i < grant->n_granted_slots; i++)
    granted += (uint32_t) __builtin_popcountll (grant->granted_slots[i]);
  pool->requested_nightly -=
      MIN (pool->requested_nightly, granted - MIN (granted, pool->requested));
  pool->requested -= MIN (pool->requested, granted);
  pool_add_granted (pool, grant, until_ms, now_ms);
  pool_remove_revoked (pool, grant);
  if (grant->renews && (int64_t) grant->echo_ms == pool->full_report_ms)
    pool_renew (pool, until_ms);
}

/* Returns to the home idle slots that can't be used, that exceed the limit, or that were kept long
 * enough while no request waits. */
static void
pool_return_idle (struct slot_pool *pool, bool has_demand, int64_t now_ms)
{
  bool stopping = pool->membership->members[pool->membership->self].stopping;
  int64_t keep_ms = stopping ? 0 : pool->keep_idle_ms;
  struct worker_slots *slots;

  LIST_FOREACH (slots, &pool->workers, link)
    for (uint64_t mask = slots->held & ~slots->busy; mask; mask &= mask - 1)
      {
        int k = __builtin_ctzll (mask);
        bool idle_long = now_ms - slots->idle_since_ms[k] >= keep_ms;

        if (!slots->usable || (idle_long && !has_demand) ||
            (pool->limit > 0 && pool->n_held > pool->limit))
          slots_return_slot (slots, k);
      }
}

/* Updates the home after a membership change, and resets what is known from the previous home. */
static void
pool_update_home (struct slot_pool *pool, int64_t now_ms)
{
  int home = membership_home (pool->membership, pool->name);

  if (pool->membership_version == pool->membership->version && pool->home >= 0)
    return;
  pool->membership_version = pool->membership->version;
  if (home == pool->home)
    return;
  pool->home = home;
  pool->home_incarnation = 0;
  pool->home_seq = 0;
  pool->limit = 0;
  pool->requested = 0;
  pool->requested_nightly = 0;
  pool->home_heard_ms = now_ms;
  pool->full_report_ms = now_ms - IDLE_REPORT_PERIOD_MS;
  pool->cede_after_ms = MAX (pool->cede_after_ms, pool->ceded_ms + SLOT_CEDE_MS);
  pool->cedes = false;
  slot_set_reset (&pool->returned);
}

/* Detects that this process was suspended: slot_pool_flush was not called for HOME_TIMEOUT_MS or
 * longer. Others may use its slots by now, so it waits as after a start. */
static void
pool_detect_pause (struct slot_pool *pool, int64_t now_ms)
{
  bool paused = now_ms - pool->flushed_ms >= HOME_TIMEOUT_MS;

  pool->flushed_ms = now_ms;
  if (!paused || pool->membership->n == 1)
    return;
  pool->ceded_ms = now_ms;
  pool->cede_after_ms = now_ms + SLOT_CEDE_MS;
  pool->reserved_after_ms = now_ms + SLOT_CEDE_MS + SLOT_GRACE_MS;
}

/* Decides whether this entry host cedes its own slots to the home. */
static void
pool_update_cession (struct slot_pool *pool, int64_t now_ms)
{
  bool heard = pool->home_incarnation != 0 && now_ms - pool->home_heard_ms < HOME_TIMEOUT_MS;

  pool->cedes = heard && now_ms >= pool->cede_after_ms;
}

/* Lists the slots that this entry host holds or uses, for a full report. */
static void
pool_list_held (struct slot_pool *pool, struct slot_set *held)
{
  struct worker_slots *slots;

  LIST_FOREACH (slots, &pool->workers, link)
    {
      slots->reported = slots->held;
      slot_set_add (held, slots->key, slots->held | (slots->busy & ~slots->reserved));
    }
}

/* Lists the workers that this entry host does not use now. */
static uint32_t *
pool_list_avoided (const struct slot_pool *pool, size_t *n)
{
  const struct worker_slots *slots;
  GArray *avoid = g_array_new (FALSE, FALSE, sizeof (uint32_t));

  LIST_FOREACH (slots, &pool->workers, link)
    if (!slots->usable)
      g_array_append_val (avoid, slots->key);
  *n = avoid->len;
  return (uint32_t *) g_array_free (avoid, FALSE);
}

/* Sends a report to the home. */
static void
pool_send_to_home (struct slot_pool *pool, bool full, uint32_t want,
                   const struct slot_demand *demand, int64_t now_ms)
{
  const struct member *self = &pool->membership->members[pool->membership->self];
  Sp__SlotReport report = SP__SLOT_REPORT__INIT;
  struct slot_set held = { 0 };
  g_autofree uint32_t *avoid = pool_list_avoided (pool, &report.n_avoid);

  if (full)
    pool_list_held (pool, &held);
  report.pool = pool->hash;
  report.seq = ++pool->report_seq;
  report.incarnation = self->incarnation;
  report.sent_ms = (uint64_t) now_ms;
  report.home_seq = pool->home_seq;
  report.home_ms = pool->home_ms;
  report.home_incarnation = pool->home_incarnation;
  report.cedes = pool->cedes;
  report.full = full;
  report.n_held_workers = report.n_held_slots = held.n;
  report.held_workers = held.workers;
  report.held_slots = held.masks;
  report.n_returned_workers = report.n_returned_slots = pool->returned.n;
  report.returned_workers = pool->returned.workers;
  report.returned_slots = pool->returned.masks;
  report.want = want;
  report.want_nightly = demand->nightly;
  report.nightly = demand->nightly_running;
  report.idle = pool->n_held > pool->n_busy ? pool->n_held - pool->n_busy : 0;
  report.avoid = avoid;
  pool->ops.send (pool->ops.ctx, (size_t) pool->home, &report);
  slot_set_reset (&pool->returned);
  slot_set_clear (&held);
  pool->requested = want;
  pool->requested_nightly = demand->nightly;
  pool->sent_ms = now_ms;
  if (full)
    pool->full_report_ms = now_ms;
  if (pool->cedes)
    pool->ceded_ms = now_ms;
}

/* Returns whether a full report is due. */
static bool
pool_full_due (const struct slot_pool *pool, int64_t now_ms)
{
  bool active = pool->n_held + pool->n_busy > 0 || now_ms - pool->last_used_ms < ACTIVE_MS;

  return now_ms - pool->full_report_ms >= (active ? SLOT_REPORT_PERIOD_MS : IDLE_REPORT_PERIOD_MS);
}

/* Counts a report of this entry host to itself, and returns whether it may be sent at once. Such a
 * report needs no network, but their number per millisecond is limited so that home and borrower
 * can't answer each other endlessly. */
static bool
pool_allow_local_report (struct slot_pool *pool, int64_t now_ms)
{
  if (pool->local_report_ms != now_ms)
    pool->n_local_reports = 0;
  pool->local_report_ms = now_ms;
  return pool->n_local_reports++ < LOCAL_REPORTS_PER_MS_MAX;
}

/* Reports changes to the home. demand is what queued requests could use now besides idle slots.
 * Reports to another entry host are at least gap_ms apart, except full ones. */
void
slot_pool_flush (struct slot_pool *pool, const struct slot_demand *demand, int64_t gap_ms,
                 int64_t now_ms)
{
  uint32_t idle = slot_pool_idle (pool, now_ms);
  bool active = now_ms - pool->last_used_ms < ACTIVE_MS;
  bool has_demand = demand->interactive + demand->nightly > 0;
  bool may_send_locally;
  uint32_t prefetch = active && pool->keep_idle_ms >= AMPLE_KEEP_IDLE_MS ? PREFETCH_SLOTS : 0;
  uint32_t want = demand->interactive + (prefetch > idle ? prefetch - idle : 0);
  bool full;

  pool_detect_pause (pool, now_ms);
  pool_update_home (pool, now_ms);
  pool_update_cession (pool, now_ms);
  if (pool->home < 0)
    return;
  pool_return_idle (pool, has_demand, now_ms);
  full = pool_full_due (pool, now_ms);
  may_send_locally =
      pool->home == (int) pool->membership->self && pool_allow_local_report (pool, now_ms);
  if (now_ms - pool->sent_ms < gap_ms && !full && !may_send_locally)
    return;
  if (full || want > pool->requested || demand->nightly > pool->requested_nightly ||
      pool->returned.n > 0)
    pool_send_to_home (pool, full, want, demand, now_ms);
}

/* Asserts that the counts match the slots. */
void
slot_pool_assert_counts (const struct slot_pool *pool)
{
  const struct worker_slots *slots;
  uint32_t held = 0;
  uint32_t busy = 0;

  LIST_FOREACH (slots, &pool->workers, link)
    {
      held += (uint32_t) __builtin_popcountll (slots->held);
      busy += (uint32_t) __builtin_popcountll (slots->busy);
      g_assert ((slots->held & ~(UINT64_MAX >> (64 - slots->n))) == 0);
    }
  g_assert_cmpuint (held, ==, pool->n_held);
  g_assert_cmpuint (busy, ==, pool->n_busy);
}
