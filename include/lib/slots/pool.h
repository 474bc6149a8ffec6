#ifndef SESAMEPICK_LIB_SLOTS_POOL_H
#define SESAMEPICK_LIB_SLOTS_POOL_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "lib/slots/membership.h"
#include "lib/slots/set.h"
#include "peer.pb-c.h"

struct worker_group;

/* One worker's slots as seen by this entry host. The masks have one bit per slot. */
struct worker_slots
{
  uint32_t key;
  uint32_t n;
  /* Masks of the slots that the home has lent to this entry host, that run its attempts, and that
   * it owns. */
  uint64_t held;
  uint64_t busy;
  uint64_t own;
  /* Owned slots that are never ceded to a home. */
  uint64_t reserved;
  /* Lent slots named in the last full report. */
  uint64_t reported;
  /* End of each slot's lease, and when it last became idle. */
  int64_t until_ms[SLOTS_PER_WORKER_MAX];
  int64_t idle_since_ms[SLOTS_PER_WORKER_MAX];
  /* The worker accepts new requests of this entry host. */
  bool usable;
  struct slot_pool *pool;
  LIST_ENTRY (worker_slots) link;
};

LIST_HEAD (worker_slots_list, worker_slots);

/* Slots that a pool's requests could use besides idle ones, by traffic class, and the number of
 * running nightly requests, which is that of the pool's whole group. */
struct slot_demand
{
  uint32_t interactive;
  uint32_t nightly;
  uint32_t nightly_running;
};

struct slot_pool_ops
{
  void (*send) (void *ctx, size_t member, Sp__SlotReport *report);
  void *ctx;
};

/* One pool's slots as seen by this entry host: those that it owns and those that it is lent. */
struct slot_pool
{
  LIST_ENTRY (slot_pool) link;
  /* Group that the workers belong to. */
  struct worker_group *group;
  char *name;
  /* Hash of the name; identifies the pool in peer messages. */
  uint32_t hash;
  const struct membership *membership;
  struct slot_pool_ops ops;
  struct worker_slots_list workers;
  /* Created by the first report to this entry host as the home; NULL before. */
  struct slot_home *local_home;
  /* Index of the member that is home, or -1. */
  int home;
  uint64_t membership_version;
  /* Incarnation of the home, and sequence number and time (on the home's clock) of its newest
   * grant. */
  uint64_t home_incarnation;
  uint64_t home_seq;
  uint64_t home_ms;
  /* Send time of the newest report that the home has answered, on this entry host's clock. */
  int64_t home_heard_ms;
  /* Sequence number and time of the last report. */
  uint64_t report_seq;
  int64_t sent_ms;
  /* Time of the last report of this entry host to itself, and the number of such reports in that
   * millisecond. */
  int64_t local_report_ms;
  uint32_t n_local_reports;
  /* Time of the last full report. */
  int64_t full_report_ms;
  /* Time of the last call of slot_pool_flush. */
  int64_t flushed_ms;
  /* When this entry host last ceded its slots to a home, and when it may do so again. */
  int64_t ceded_ms;
  int64_t cede_after_ms;
  bool cedes;
  /* Time from which the slots reserved for this entry host may be used. */
  int64_t reserved_after_ms;
  /* Of the newest grant: most slots to hold (0: no limit), and how long to keep idle ones. */
  uint32_t limit;
  uint32_t keep_idle_ms;
  /* Unmet demand in the last report, by traffic class. */
  uint32_t requested;
  uint32_t requested_nightly;
  uint32_t n_held;
  uint32_t n_busy;
  int64_t last_used_ms;
  /* Slots that the next report returns to the home. */
  struct slot_set returned;
};

LIST_HEAD (slot_pool_list, slot_pool);

struct slot_pool *slot_pool_create (const char *name, const struct membership *membership,
                                    const struct slot_pool_ops *ops, int64_t now_ms);
void slot_pool_destroy (struct slot_pool *pool);
uint32_t worker_key (const char *host, uint16_t port);
void worker_slots_init (struct worker_slots *slots, uint32_t key, uint32_t n,
                        const struct membership *membership);
void slot_pool_join (struct slot_pool *pool, struct worker_slots *slots);
void slot_pool_leave (struct worker_slots *slots);
int slot_pool_find (const struct worker_slots *slots, int64_t now_ms);
void slot_pool_acquire (struct worker_slots *slots, int slot, int64_t now_ms);
void slot_pool_release (struct worker_slots *slots, int slot, int64_t now_ms);
uint32_t slot_pool_idle (const struct slot_pool *pool, int64_t now_ms);
void slot_pool_handle_grant (struct slot_pool *pool, size_t from, const Sp__SlotGrant *grant,
                             int64_t now_ms);
void slot_pool_flush (struct slot_pool *pool, const struct slot_demand *demand, int64_t gap_ms,
                      int64_t now_ms);
bool slot_pool_uses_own (const struct slot_pool *pool, int64_t now_ms);
void slot_pool_assert_counts (const struct slot_pool *pool);

#endif
