#ifndef SESAMEPICK_TESTS_FLEET_SUBSCRIBERS_H
#define SESAMEPICK_TESTS_FLEET_SUBSCRIBERS_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "cluster.h"

/* Feed subscribers inside the test program, in place of entryds: one for each fleetd. */
struct subscriber
{
  struct subscribers *all;
  struct peer_link *link;
  unsigned index;
  uint64_t offset;
  /* From the last table: the deadline of "chess", and the number of workers that are not
   * leaving. */
  uint32_t deadline_ms;
  uint32_t n_workers;
  uint32_t n_tables;
  uint32_t n_older_tables;
  uint32_t n_heartbeats;
  char hinted_host[64];
  int64_t table_received_ms;
  int64_t hint_received_ms;
};

struct subscribers
{
  struct ev_loop *loop;
  struct peer_node *node;
  ev_timer timer;
  unsigned n;
  struct subscriber each[CLUSTER_FLEETDS_MAX];
  bool (*until) (void *ctx);
  void *until_ctx;
};

void subscribers_init (struct subscribers *all, struct ev_loop *loop,
                       const struct cluster *cluster);
void subscribers_finish (struct subscribers *all);
/* Runs the event loop until the condition holds or the time is over; until may be NULL. Returns
 * whether the condition held. */
bool subscribers_run (struct subscribers *all, bool (*until) (void *ctx), void *ctx,
                      int64_t limit_ms);
/* Waits until all subscribers have received a table with this deadline. Returns false on
 * timeout. */
bool subscribers_wait_deadline (struct subscribers *all, uint32_t deadline_ms, int64_t limit_ms);
uint32_t subscribers_count_older_tables (const struct subscribers *all);

#endif
