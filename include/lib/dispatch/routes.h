#ifndef SESAMEPICK_LIB_DISPATCH_ROUTES_H
#define SESAMEPICK_LIB_DISPATCH_ROUTES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "feed.pb-c.h"
#include "lib/dispatch/drain_rate.h"
#include "lib/dispatch/request.h"
#include "lib/dispatch/retry_budget.h"
#include "lib/slots/pool.h"
#include "lib/dispatch/worker_health.h"

struct worker_group;

/* A worker as seen by this entry host. */
struct worker
{
  LIST_ENTRY (worker) link;
  struct worker_group *group;
  char *host;
  char *address;
  char *rack;
  char *data_centre;
  uint16_t port;
  uint32_t n_slots;
  /* Connections that the service allows to this worker; only DISPATCH_POLICY_RANDOM uses it. */
  uint32_t connections;
  bool leaving;
  /* Not in the current route table; freed once no attempt runs there. */
  bool gone;
  /* Attempts of this entry host that run there. */
  uint32_t running;
  struct worker_health health;
  struct worker_slots slot_state;
  /* Accepts new requests of this entry host. */
  bool usable;
};

LIST_HEAD (worker_list, worker);

/* Route of one service's requests. */
struct route
{
  LIST_ENTRY (route) link;
  LIST_ENTRY (route) group_link;
  char *name;
  Sp__TrafficClass traffic_class;
  int64_t deadline_ms;
  struct worker_group *group;
  bool gone;
  struct request_queue queue;
  struct drain_rate drain_rate;
  struct retry_budget budget;
  uint32_t running;
  /* Requests that have not ended. */
  uint32_t n_requests;
};

LIST_HEAD (route_list, route);

/* A set of workers and all services that share them. */
struct worker_group
{
  LIST_ENTRY (worker_group) link;
  /* The lowest name of its services: the same on each entry host with the same route table. */
  char *name;
  struct worker_list workers;
  /* Number of workers in the current table, and number of those that are not leaving. */
  uint32_t n_workers;
  uint32_t n_serving;
  struct route_list routes;
  struct slot_pool_list pools;
  uint32_t n_pools;
  /* Interactive requests started since the last nightly one. */
  uint32_t interactive_since_nightly;
  /* Time of the last periodic run of its queues. */
  int64_t run_ms;
};

LIST_HEAD (worker_group_list, worker_group);

struct routes
{
  uint64_t offset;
  /* A table has been installed. */
  bool known;
  struct route_list routes;
  struct worker_group_list groups;
};

void routes_init (struct routes *routes);
void routes_clear (struct routes *routes);
bool routes_set (struct routes *routes, const Sp__RouteTable *table, int64_t now_ms);
bool routes_sweep (struct routes *routes);
void group_count_workers (struct worker_group *group);
struct route *routes_find (const struct routes *routes, const char *service);
struct worker *group_find_worker (const struct worker_group *group, const char *host);

#endif
