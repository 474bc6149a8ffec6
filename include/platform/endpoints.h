#ifndef SESAMEPICK_PLATFORM_ENDPOINTS_H
#define SESAMEPICK_PLATFORM_ENDPOINTS_H

#include "common/http_client.h"
#include "lib/jobs/scheduler.h"

/* Orders to endpoints and to the machine list, under one leader's fence. Each answer goes to the
 * scheduler by the function that belongs to the order. */
struct orders;

struct orders_config
{
  struct ev_loop *loop;
  /* Name under which machine calls are made. */
  const char *holder;
  /* Address of the machine list, as IP:PORT. */
  const char *machines;
  /* Time to connect, to answer an order beyond what it may wait, and to answer a call on hosts. */
  long connect_timeout_ms;
  long order_timeout_ms;
  long machines_timeout_ms;
  /* Gives the time in milliseconds of the scheduler's clock. */
  int64_t (*now_ms) (void *ctx);
  void *ctx;
};

struct orders *orders_create (const struct orders_config *config);
/* Ends all calls without an answer. */
void orders_destroy (struct orders *orders);
void orders_set_scheduler (struct orders *orders, struct scheduler *scheduler);

void orders_start (struct orders *orders, struct endpoint *endpoint, struct task *task,
                   int64_t lease_end_ms);
void orders_stop (struct orders *orders, struct endpoint *endpoint, const char *task,
                  uint32_t attempt, struct task *known);
void orders_hold (struct orders *orders, struct endpoint *endpoint, int64_t lease_end_ms,
                  int64_t wait_ms);
void orders_pace (struct orders *orders, struct endpoint *endpoint, struct task *task, int percent);
/* The machine list obeys no lower token than the highest that it has seen. */
void orders_move_host (struct orders *orders, struct host *host, const char *pool, uint64_t token);
void orders_maintain_host (struct orders *orders, struct host *host, uint32_t wave, uint64_t token);
/* Reads the whole machine list and hands it to the scheduler. Does nothing while one is read. */
void orders_list_hosts (struct orders *orders);

#endif
