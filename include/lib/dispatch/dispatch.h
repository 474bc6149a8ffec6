#ifndef SESAMEPICK_LIB_DISPATCH_DISPATCH_H
#define SESAMEPICK_LIB_DISPATCH_DISPATCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "feed.pb-c.h"
#include "peer.pb-c.h"

/* Request dispatcher of one entry host, without I/O: decides when and on which worker a request
 * runs, whether it is retried or rejected, and the Retry-After time. All times are monotonic
 * milliseconds and are passed in by the embedding daemon. Callbacks must not call functions of the
 * dispatcher. */
struct dispatch;

enum dispatch_policy
{
  /* One entry host, the home, leases a worker's slots to the entry hosts on demand. */
  DISPATCH_POLICY_LEND,
  /* Baselines for comparison: each entry host counts only its own attempts, has a fixed share of
   * each worker's slots, or chooses a random worker. */
  DISPATCH_POLICY_OWN_COUNT,
  DISPATCH_POLICY_FIXED_SHARE,
  DISPATCH_POLICY_RANDOM,
};

enum request_outcome
{
  /* The request's response is that of its last attempt. */
  REQUEST_ANSWERED,
  /* No endpoint can have acted on the request. */
  REQUEST_NOT_RUN,
  /* The request may have run, but no complete response arrived. */
  REQUEST_UNKNOWN,
};

enum request_reason
{
  REASON_NONE,
  REASON_NO_SERVICE,
  REASON_NO_WORKER,
  REASON_QUEUE_FULL,
  REASON_DEADLINE,
  REASON_RETRY_BUDGET,
  REASON_CONNECT_FAILED,
  REASON_ANSWER_LOST,
  REASON_ANSWER_TOO_LARGE,
  REASON_KEY_RUNNING,
  REASON_KEY_DONE,
  REASON_KEY_UNSURE,
  /* Too few of the entry hosts that store the key granted the claim in time. */
  REASON_KEY_NO_HOLDER,
  REASON_STOPPING,
};

enum attempt_result
{
  ATTEMPT_ANSWERED,
  /* The endpoint responded that it did not run the request (503 with Sesamepick-Not-Run: ?1). */
  ATTEMPT_REFUSED,
  ATTEMPT_NOT_SENT,
  ATTEMPT_LOST,
  ATTEMPT_TIMEOUT,
  ATTEMPT_TOO_LARGE,
};

struct request_spec
{
  /* Unique on this entry host. */
  uint64_t id;
  const char *service;
  bool idempotent;
  /* Value of the Idempotency-Key header, or NULL. */
  const char *key;
  /* Time by which the caller wants the response; 0 for the service's default deadline. */
  int64_t deadline_ms;
};

struct attempt_target
{
  const char *host;
  const char *address;
  uint16_t port;
  /* Set for a request that must not run twice. The attempt opens its own connection, because the
   * HTTP client may resend a request by itself if a reused connection fails. */
  bool fresh_connection;
  int64_t timeout_ms;
};

struct request_result
{
  enum request_outcome outcome;
  enum request_reason reason;
  /* Delay after which the caller may retry an unanswered request; 0 if it should not retry. */
  int64_t retry_after_ms;
  uint32_t attempts;
};

struct dispatch_ops
{
  /* Sends the request to the target; the result is reported with dispatch_attempt_done. */
  void (*attempt_start) (void *ctx, uint64_t request, uint32_t attempt,
                         const struct attempt_target *target);
  /* Aborts an attempt whose result is no longer needed; its connection must not be reused. */
  void (*attempt_cancel) (void *ctx, uint64_t request, uint32_t attempt);
  /* Reports the request's final result; called once per request, except after
   * dispatch_caller_disconnected. */
  void (*request_done) (void *ctx, uint64_t request, const struct request_result *result);
  /* Sends a message to the named entry host; delivery is not guaranteed. */
  void (*peer_send) (void *ctx, const char *member, const Sp__PeerMessage *message);
  void *ctx;
};

struct dispatch_config
{
  /* Name of this entry host, and names of all configured entry hosts including it. */
  const char *name;
  const char *data_centre;
  const char *const *members;
  size_t n_members;
  enum dispatch_policy policy;
  uint32_t queue_limit;
  uint64_t seed;
  /* Increases with each start of this entry host: the wall-clock time of the start. */
  uint64_t incarnation;
};

struct dispatch *dispatch_create (const struct dispatch_config *config,
                                  const struct dispatch_ops *ops, int64_t now_ms);
void dispatch_destroy (struct dispatch *dispatch);

/* Installs a route table unless its offset is lower than that of the current one. Returns whether
 * it was installed. */
bool dispatch_set_routes (struct dispatch *dispatch, const Sp__RouteTable *table, int64_t now_ms);
uint64_t dispatch_route_offset (const struct dispatch *dispatch);
/* Returns whether requests can be served now: routes are known, and the slots of at least one pool
 * may be used. After a start, slots that an earlier process of this entry host may have ceded to
 * another one are not used until the cession has expired. */
bool dispatch_is_ready (const struct dispatch *dispatch, int64_t now_ms);
/* Handles advance notice that a host is leaving: it gets no new requests from now on. */
void dispatch_host_leaving (struct dispatch *dispatch, const char *host, int64_t now_ms);

void dispatch_request (struct dispatch *dispatch, const struct request_spec *spec, int64_t now_ms);
void dispatch_caller_disconnected (struct dispatch *dispatch, uint64_t request, int64_t now_ms);
void dispatch_attempt_done (struct dispatch *dispatch, uint64_t request, uint32_t attempt,
                            enum attempt_result result, int status, int64_t now_ms);
void dispatch_peer_message (struct dispatch *dispatch, const Sp__PeerMessage *message,
                            int64_t now_ms);
/* Runs the periodic work; returns the time of the next call. */
int64_t dispatch_tick (struct dispatch *dispatch, int64_t now_ms);
/* Starts a planned stop: the other entry hosts take over this one's slots. Open requests and those
 * that still arrive are completed; the daemon closes its listeners and waits until
 * dispatch_open_requests returns 0. */
void dispatch_stop (struct dispatch *dispatch, int64_t now_ms);
/* Returns the number of requests without a final result. */
size_t dispatch_open_requests (const struct dispatch *dispatch);

/* Counters since the start. queued and running are the current numbers; peer_messages counts
 * messages sent to other entry hosts. */
struct dispatch_stats
{
  uint64_t requests;
  uint64_t answered;
  uint64_t not_run;
  uint64_t unknown;
  uint64_t attempts;
  uint64_t retries;
  uint64_t callers_disconnected;
  uint64_t queued;
  uint64_t running;
  uint64_t peer_messages;
};

void dispatch_get_stats (const struct dispatch *dispatch, struct dispatch_stats *stats);
const char *request_reason_name (enum request_reason reason);
const char *request_outcome_name (enum request_outcome outcome);

#endif
