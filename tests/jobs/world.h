#ifndef SESAMEPICK_TESTS_JOBS_WORLD_H
#define SESAMEPICK_TESTS_JOBS_WORLD_H

#include <glib.h>

#include "lib/jobs/scheduler.h"

/* A world for the scheduler without a network: endpoints that keep leases, fences and lists of
 * ends, a machine list, and a journal of which only what was flushed survives a change of leader.
 * It counts what must never happen. */

enum
{
  WORLD_HOSTS_MAX = 64,
};

/* One run on an endpoint. */
struct world_run
{
  char *task;
  uint32_t attempt;
  int64_t start_ms;
  int64_t end_ms;
  bool fails;
  bool stopping;
  bool long_running;
  struct resources need;
};

struct world_end
{
  uint64_t number;
  char *task;
  uint32_t attempt;
  enum run_end how;
};

struct world_endpoint
{
  char *id;
  char *host;
  char *pool;
  char *rack;
  /* Runs and answers; false once its host was moved, maintained or crashed. */
  bool up;
  /* Runs on, but nothing reaches it. */
  bool dark;
  /* All that it starts fails at once. */
  bool sick;
  bool listed;
  bool draining;
  int64_t born_ms;
  uint64_t fence;
  int64_t lease_end_ms;
  uint64_t last_end;
  GPtrArray *runs;
  GPtrArray *ends;
  /* Task to the highest attempt that was stopped or ended here. */
  GHashTable *ended;
  struct resources capacity;
};

struct world_host
{
  char *id;
  char *pool;
  enum host_state state;
  int64_t up_ms;
  /* Index of its endpoint, or -1. */
  int endpoint;
  uint32_t maintained_in;
  char *rack;
};

struct world
{
  GRand *random;
  int64_t now_ms;
  uint64_t epoch;
  unsigned generation;
  struct job_book *book;
  struct scheduler *scheduler;
  GPtrArray *journal;
  GPtrArray *events;
  /* All lives of endpoints, as struct world_endpoint. */
  GPtrArray *endpoints;
  struct world_host hosts[WORLD_HOSTS_MAX];
  unsigned n_hosts;
  char *standby;
  int64_t next_list_ms;
  bool flushing;
  GPtrArray *flush;
  /* The store takes no records. */
  bool store_away;
  struct wave_order wave;
  bool wave_asked;
  bool wave_completed;
  bool deposed;

  /* Shares of orders, in thousandths, that get no answer, and that are carried out seconds late
   * without one. */
  int lost_permille;
  int late_permille;
  /* How long batch tasks take, and what share of their runs fails. */
  int64_t work_ms;
  int fail_permille;

  /* What must stay 0. */
  unsigned doubled;
  unsigned started_after_done;
  unsigned over_room;
  unsigned over_spread;
  unsigned out_of_order;
  unsigned over_attempts;
  unsigned over_away_limit;
  unsigned over_wave_limit;
  /* What happened. */
  unsigned starts;
  unsigned moves;
  unsigned holds_with_lease;
};

struct world *world_create (guint32 seed);
void world_destroy (struct world *world);
void world_add_pool (struct world *world, const char *name, bool standby);
/* Adds n hosts of 10 cores and 100 GB with an endpoint each, 4 a rack. */
void world_add_hosts (struct world *world, const char *pool, unsigned n);
/* Starts a leader under the next epoch; a former one ends without a word. */
void world_lead (struct world *world);
/* The same process leads once more, with all that it has learnt, durable or not. */
void world_lead_again (struct world *world);
/* Accepts a job. */
struct job *world_submit (struct world *world, const char *id, const char *pool,
                          const Sp__JobStep *steps, size_t n_steps, uint32_t max_attempts);
void world_cancel (struct world *world, const char *id);
void world_run (struct world *world, int64_t ms);
struct world_endpoint *world_find_run (struct world *world, const char *task,
                                       struct world_run **run);
void world_crash (struct world *world, struct world_endpoint *endpoint, bool reborn);
/* State that the journal shows of a job. */
Sp__JobState world_state (const struct world *world, const char *id);
unsigned world_violations (const struct world *world);

#endif
