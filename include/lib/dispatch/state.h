#ifndef SESAMEPICK_LIB_DISPATCH_STATE_H
#define SESAMEPICK_LIB_DISPATCH_STATE_H

#include <glib.h>

#include "lib/dispatch/dispatch.h"
#include "lib/dispatch/key.h"
#include "lib/slots/membership.h"
#include "lib/dispatch/report_pace.h"
#include "lib/dispatch/request.h"
#include "lib/dispatch/routes.h"

/* State of the dispatcher, shared by the files dispatch*.c and slots.c. */
struct dispatch
{
  struct dispatch_ops ops;
  enum dispatch_policy policy;
  uint32_t queue_limit;
  GRand *random;
  struct membership *membership;
  struct report_pace pace;
  struct routes routes;
  /* Slot pools, keyed by the hash of their name. */
  GHashTable *pools;
  /* Requests by id; each is removed once its last attempt has ended. */
  GHashTable *requests;
  size_t open_requests;
  bool stopping;
  struct key_store keys;
  /* Serialized messages of this entry host to itself that have not been handled yet. */
  GQueue local_messages;
  struct dispatch_stats stats;
};

/* Implemented in dispatch_request.c. */
void request_admit (struct dispatch *dispatch, struct request *request, int64_t now_ms);
void request_finish (struct dispatch *dispatch, struct request *request,
                     enum request_outcome outcome, enum request_reason reason,
                     int64_t retry_after_ms);
void request_handle_attempt_result (struct dispatch *dispatch, struct request *request,
                                    const struct worker *worker, enum attempt_result result,
                                    enum request_reason reason, int64_t now_ms);
bool request_expire (struct dispatch *dispatch, struct request *request, int64_t now_ms);
void dispatch_expire (struct dispatch *dispatch, int64_t now_ms);

/* Implemented in dispatch_queue.c. */
void dispatch_run_queues (struct dispatch *dispatch, struct worker_group *group, int64_t now_ms);
void dispatch_run_all (struct dispatch *dispatch, int64_t now_ms);
void dispatch_run_due (struct dispatch *dispatch, int64_t now_ms);

/* Implemented in dispatch_attempt.c. */
void request_start (struct dispatch *dispatch, struct request *request, struct worker *worker,
                    int64_t now_ms);
void attempt_cancel (struct dispatch *dispatch, struct request *request, int64_t now_ms);

/* Implemented in slots.c. */
void slots_set_routes (struct dispatch *dispatch, int64_t now_ms);
struct worker *slots_acquire (struct dispatch *dispatch, const struct route *route,
                              const struct request *request, int *slot, int64_t now_ms);
void slots_release (struct dispatch *dispatch, struct worker *worker, int slot, int64_t now_ms);
void slots_update_usable (struct worker_group *group, int64_t now_ms);
void slots_flush (struct dispatch *dispatch, struct worker_group *group, int64_t now_ms);
void slots_index_pools (struct dispatch *dispatch);
bool slots_are_usable (const struct dispatch *dispatch, int64_t now_ms);
struct slot_pool *slots_find_pool (const struct dispatch *dispatch, uint32_t hash);

/* Implemented in dispatch_peer.c. */
void dispatch_send (struct dispatch *dispatch, size_t member, Sp__PeerMessage *message);
void dispatch_deliver_local (struct dispatch *dispatch, int64_t now_ms);
void dispatch_heartbeat (struct dispatch *dispatch, int64_t now_ms);

#endif
