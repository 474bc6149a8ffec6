#ifndef SESAMEPICK_LIB_SLOTS_HOME_H
#define SESAMEPICK_LIB_SLOTS_HOME_H

#include <stdbool.h>
#include <stdint.h>

#include "lib/slots/membership.h"
#include "lib/slots/set.h"
#include "peer.pb-c.h"

/* A worker's slot as tracked by the home. */
struct home_slot
{
  uint8_t owner;
  /* Reserved for its owner while the owner is alive. */
  bool reserved;
  bool lent;
  uint8_t borrower;
  /* Sequence number of the grant that lent it; 0 if adopted from a borrower's report. */
  uint64_t seq;
  /* End of the lease. */
  int64_t until_ms;
};

struct home_worker
{
  uint32_t key;
  uint32_t n_slots;
  uint32_t n_lent;
  /* Accepts new requests. */
  bool serving;
  /* Set since slot_home_begin_workers. */
  bool present;
  struct home_slot *slots;
};

/* State of one entry host that reports to the home, as a borrower and as an owner of slots. */
struct borrower
{
  uint64_t incarnation;
  uint64_t report_seq;
  uint64_t grant_seq;
  /* Time of its last report, on the home's clock. */
  int64_t report_ms;
  /* Time on the borrower's clock at which it sent its last report. */
  uint64_t echo_ms;
  /* Until then the home may lend the slots that this entry host owns. */
  int64_t ceded_until_ms;
  /* Start of the current uninterrupted cession. */
  int64_t ceded_since_ms;
  uint32_t n_lent;
  /* Unmet demand in its last report, by traffic class. */
  /* Numbers of lent slots that run nightly requests, and that are idle. */
  uint32_t want;
  uint32_t want_nightly;
  /* Lent slots that run nightly requests, and idle ones. */
  uint32_t nightly_running;
  uint32_t idle;
  /* Keys of workers that it does not use now. */
  uint32_t *avoid;
  size_t n_avoid;
  /* Granted and revoked slots that have not been sent yet. */
  struct slot_set pending;
  struct slot_set revoked;
  /* The next grant renews the leases of the last full report. */
  bool renews;
  /* No free slot suits this borrower in the current round. */
  bool skip;
  /* Time of the last grant. */
  int64_t last_grant_ms;
};

struct slot_home_ops
{
  void (*send) (void *ctx, size_t member, Sp__SlotGrant *grant);
  void *ctx;
};

/* The home of one pool's slots: the entry host that leases them to the entry hosts that report to
 * it. Each entry host owns some slots of each worker, whichever entry host is home. An owner
 * reserves a part of its slots for itself and cedes the rest to the home with each report, for
 * SLOT_CEDE_MS. The home lends free slots for SLOT_LEASE_MS; full reports renew the leases. */
struct slot_home
{
  uint32_t pool;
  const struct membership *membership;
  struct slot_home_ops ops;
  int64_t started_ms;
  struct home_worker *workers;
  size_t n_workers;
  struct borrower *borrowers;
  /* Slots granted to interactive requests since the last one for a nightly request. */
  uint32_t interactive_since_nightly;
  /* Conditions for lending, updated by each report and tick: a majority of the owners cede their
   * slots to this home; every live entry host has recently reported which slots it holds. */
  bool has_majority;
  bool hears_all;
  /* Worker at which the next search for a slot starts, so that even a light load is spread. */
  size_t next_worker;
};

struct slot_home *slot_home_create (uint32_t pool, const struct membership *membership,
                                    const struct slot_home_ops *ops, int64_t now_ms);
void slot_home_destroy (struct slot_home *home);
void slot_home_begin_workers (struct slot_home *home);
void slot_home_set_worker (struct slot_home *home, uint32_t key, uint32_t n_slots, bool serving);
void slot_home_end_workers (struct slot_home *home);
void slot_home_handle_report (struct slot_home *home, size_t member, const Sp__SlotReport *report,
                              int64_t now_ms);
void slot_home_tick (struct slot_home *home, int64_t now_ms);
bool slot_home_in_use (const struct slot_home *home);
void slot_home_assert_counts (const struct slot_home *home);

/* Implemented in slot_grant.c: which borrowers get the free slots. */
void slot_home_update_conditions (struct slot_home *home, int64_t now_ms);
bool slot_home_may_lend (const struct slot_home *home, const struct home_slot *slot,
                         int64_t now_ms);
void slot_home_lend_free (struct slot_home *home, int64_t now_ms);
void slot_home_notify_shortage (struct slot_home *home, int64_t now_ms);

#endif
