#ifndef SESAMEPICK_TESTS_JOBS_WORLD_STATE_H
#define SESAMEPICK_TESTS_JOBS_WORLD_STATE_H

#include "world.h"

/* What the files of the world share. */

enum
{
  TURN_MS = 20,
  ANSWER_MS = 4,
  TIMEOUT_MS = 700,
  LATE_MIN_MS = 2000,
  LATE_MAX_MS = 6000,
  FLUSH_MS = 8,
  LIST_MS = 300,
  MOVE_MS = 1500,
  MAINTENANCE_MS = 2000,
  STOP_MS = 400,
  LEASE_MS = 3500,
  SICK_MS = 50,
  PERMILLE = 1000,
  AT_WORK_MS = 500,
};

enum event_kind
{
  EVENT_START,
  EVENT_STOP,
  EVENT_HOLD,
  EVENT_PACE,
  EVENT_MOVE,
  EVENT_MAINTAIN,
  EVENT_FLUSH,
};

/* An order on its way to an endpoint, or its answer on its way back. */
struct event
{
  enum event_kind kind;
  int64_t due_ms;
  bool answer;
  /* No answer follows. */
  bool silent;
  unsigned generation;
  uint64_t fence;
  struct world_endpoint *target;
  struct endpoint *endpoint;
  struct task *task;
  struct host *host;
  char *name;
  char *pool;
  uint32_t attempt;
  uint32_t wave;
  int64_t lease_end_ms;
  int64_t wait_until_ms;
  int64_t sent_ms;
  uint64_t acked;
  int percent;
  enum order_result result;
  enum host_result host_result;
  struct resources need;
  bool long_running;
  uint32_t spread_limit;
  int64_t clock_ms;
};

/* world.c */
void world_note (const struct world *world, const char *format, ...) G_GNUC_PRINTF (2, 3);
bool world_chance (struct world *world, int permille);
struct task *world_task (const struct world *world, const char *name);
void world_flush (struct world *world, const struct event *event);

/* world_hosts.c */
void endpoint_clear (gpointer data);
void world_list (struct world *world);
struct world_endpoint *world_endpoint (const struct world *world, const char *id);
void world_move (struct world *world, const struct event *event);
void world_maintain (struct world *world, const struct event *event);
void world_return_hosts (struct world *world);

/* world_endpoints.c */
void run_destroy (gpointer data);
void end_destroy (gpointer data);
void endpoint_run_on (struct world *world, struct world_endpoint *endpoint);
enum order_result endpoint_obey (struct world *world, struct event *event);

/* world_orders.c */
void event_destroy (gpointer data);
struct event *world_post (struct world *world, enum event_kind kind, int64_t after_ms);
void on_start (void *ctx, struct endpoint *endpoint, struct task *task, int64_t lease_end_ms);
void on_stop (void *ctx, struct endpoint *endpoint, const char *task, uint32_t attempt,
              struct task *known);
void on_hold (void *ctx, struct endpoint *endpoint, int64_t lease_end_ms, int64_t wait_ms);
void on_pace (void *ctx, struct endpoint *endpoint, struct task *task, int percent);
void on_move (void *ctx, struct host *host, const char *pool);
void on_maintain (void *ctx, struct host *host, uint32_t wave);
void on_wave (void *ctx, uint32_t wave, bool completed);
void on_deposed (void *ctx, const char *why);
void world_deal_due (struct world *world);

#endif
