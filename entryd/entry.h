#ifndef SESAMEPICK_ENTRYD_ENTRY_H
#define SESAMEPICK_ENTRYD_ENTRY_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "common/clock.h"
#include "common/http_client.h"
#include "common/http_server.h"
#include "common/memory_budget.h"
#include "lib/dispatch/dispatch.h"
#include "settings.pb-c.h"

struct admin;
struct feed;
struct peers;

/* Counters of the daemon itself; the dispatcher has its own. */
struct entry_stats
{
  uint64_t bad_requests;
  uint64_t attempts_by_result[ATTEMPT_TOO_LARGE + 1];
  uint64_t done_by_reason[REASON_STOPPING + 1];
  uint64_t peer_sent;
  uint64_t peer_dropped;
  uint64_t feed_messages;
  uint64_t feed_changes;
};

/* State of the entry host daemon: the dispatcher and the sockets around it. */
struct entry
{
  const Sp__EntrydSettings *settings;
  struct ev_loop *loop;
  struct clock clock;
  struct dispatch *dispatch;
  struct http_server *server;
  struct http_client *client;
  struct admin *admin;
  struct feed *feed;
  struct peers *peers;
  /* Maps exchange ids to struct exchange. */
  GHashTable *exchanges;
  /* Endpoints, as IP:PORT, that have echoed the name of an attempt in a response. */
  GHashTable *echoing_endpoints;
  /* Random part of each attempt name; distinguishes the attempts of different entry hosts. */
  uint64_t attempt_salt;
  uint64_t next_id;
  bool stopping;
  /* Of callers' bodies and of responses to them. */
  struct memory_budget memory;
  ev_timer tick;
  struct entry_stats stats;
};

/* Returns the current monotonic time. */
int64_t entry_now_ms (struct entry *entry);

/* Starts listening for callers. Returns 0 or -EADDRINUSE. */
int caller_server_start (struct entry *entry);

struct exchange;
struct attempt;

LIST_HEAD (attempt_list, attempt);

/* A caller's request together with its attempts at endpoints. */
struct exchange
{
  struct entry *entry;
  uint64_t id;
  /* NULL once the caller has its response or has disconnected. */
  struct http_request *http;
  /* Request target that is sent to the endpoint. */
  char *target;
  struct attempt_list attempts;
  /* The response of the attempt that is being reported, or response_copy. */
  const struct http_call_done *response;
  /* Owned copy of the response, for a final response that is sent after the attempt was
   * reported. */
  struct http_call_done *response_copy;
};

struct exchange *exchange_create (struct entry *entry, struct http_request *http,
                                  const char *target);
/* Frees the exchange once neither the caller nor an attempt refers to it. */
void exchange_release (struct exchange *exchange);
struct exchange *exchange_find (struct entry *entry, uint64_t id);
/* Copies the current response, so that it stays valid after the callback that received it. */
void exchange_copy_response (struct exchange *exchange);

/* Sends the final response to the caller; a dispatch_ops callback. */
void caller_request_done (void *ctx, uint64_t request, const struct request_result *result);

/* Start and cancel an attempt at an endpoint; dispatch_ops callbacks. */
void endpoint_attempt_start (void *ctx, uint64_t request, uint32_t attempt,
                             const struct attempt_target *target);
void endpoint_attempt_cancel (void *ctx, uint64_t request, uint32_t attempt);

/* Subscribes to the route feed of the fleetds. Returns 0 or a negative error number. */
int feed_create (struct entry *entry);
void feed_destroy (struct feed *feed);
/* Returns the active route table, or NULL. */
const Sp__RouteTable *feed_table (const struct feed *feed);

/* Opens the sockets to the other entryds. Returns 0 or a negative error number. */
int peers_create (struct entry *entry);
void peers_destroy (struct peers *peers);
/* Returns the names of all entry hosts, this host first; NULL-terminated, free with g_strfreev. */
char **peers_members (const Sp__EntrydSettings *settings);
void peers_send (void *ctx, const char *member, const Sp__PeerMessage *message);

/* Serves health, metrics and routes. Returns 0 or a negative error number. */
int admin_create (struct entry *entry);
void admin_destroy (struct admin *admin);

#endif
