#include <string.h>

#include "job_records.h"
#include "lib/jobs/scheduler.h"
#include "suite.h"

/* Cost of a scheduling pass with more work than capacity, on hundreds of endpoints. A leader whose
 * pass takes longer than its heartbeat allows is replaced, and the next leader inherits a longer
 * queue. That happened to four leaders within eight seconds. */

enum
{
  POOLS = 4,
  ENDPOINTS_PER_POOL = 85,
  JOBS_PER_POOL = 250,
  TASKS_PER_STEP = 8,
  /* Tasks of 2 cores on endpoints of 10: a pool can run 425 of its 4,000 tasks. */
  CPU_MILLI = 2000,
  CAPACITY_MILLI = 10000,
  PASS_MS = 20,
  /* On the smallest share of a core, 0.12, a pass may take a tenth of the 350 ms between two
   * heartbeats: 4 ms of a whole core, or 80,000 endpoints at 50 ns each. */
  CANDIDATES_MAX = 80000,
};

/* A scheduler and its commands that have no response yet. */
struct backlog
{
  struct job_table all_jobs;
  struct scheduler *scheduler;
  GPtrArray *starts;
  GPtrArray *heartbeats;
  unsigned n_pools;
  unsigned endpoints_per_pool;
  int64_t now_ms;
};

static void
on_start (void *ctx, struct endpoint *endpoint, struct task *task, int64_t lease_end_ms)
{
  struct backlog *backlog = ctx;

  (void) endpoint;
  (void) lease_end_ms;
  g_ptr_array_add (backlog->starts, task);
}

static void
on_heartbeat (void *ctx, struct endpoint *endpoint, int64_t lease_end_ms, int64_t wait_ms)
{
  struct backlog *backlog = ctx;

  (void) lease_end_ms;
  (void) wait_ms;
  g_ptr_array_add (backlog->heartbeats, endpoint);
}

static void
on_move (void *ctx, struct host *host, const char *pool)
{
  (void) ctx;
  (void) host;
  (void) pool;
}

/* Reports all starts as successful. */
static void
backlog_confirm_starts (struct backlog *backlog)
{
  for (guint i = 0; i < backlog->starts->len; i++)
    {
      struct task *task = g_ptr_array_index (backlog->starts, i);

      scheduler_start_done (backlog->scheduler, task->endpoint, task, task->attempt,
                            task->endpoint->fence, COMMAND_DONE, backlog->now_ms, backlog->now_ms);
    }
  g_ptr_array_set_size (backlog->starts, 0);
}

/* Responds to all heartbeats with an empty report. */
static void
backlog_respond_to_heartbeats (struct backlog *backlog)
{
  g_autoptr (GPtrArray) heartbeats = g_steal_pointer (&backlog->heartbeats);

  backlog->heartbeats = g_ptr_array_new ();
  for (guint i = 0; i < heartbeats->len; i++)
    {
      struct endpoint *endpoint = g_ptr_array_index (heartbeats, i);
      struct endpoint_report report = { .clock_ms = backlog->now_ms, .born_ms = 1 };

      scheduler_heartbeat_done (backlog->scheduler, endpoint, endpoint->fence, COMMAND_DONE,
                                &report, 0, backlog->now_ms, backlog->now_ms);
    }
}

/* Passes the endpoints and their hosts to the scheduler. */
static void
backlog_list_endpoints (struct backlog *backlog)
{
  unsigned n_endpoints = backlog->n_pools * backlog->endpoints_per_pool;
  g_autofree struct host_entry *hosts = g_new0 (struct host_entry, n_endpoints);
  g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);
  static const char *labels[] = { "rack", NULL };

  for (unsigned i = 0; i < n_endpoints; i++)
    {
      char *id = g_strdup_printf ("e%u", i);
      char *pool = g_strdup_printf ("p%u", i / backlog->endpoints_per_pool);
      struct resources capacity = { .cpu_milli = CAPACITY_MILLI, .memory_mb = 100000 };
      struct endpoint_entry entry = { .id = id,
                                      .pool = pool,
                                      .address = "127.0.0.1:1",
                                      .labels = labels,
                                      .remaining_ms = -1,
                                      .born_ms = 1,
                                      .capacity = capacity };

      g_ptr_array_add (names, id);
      g_ptr_array_add (names, pool);
      hosts[i] = (struct host_entry){ .id = id,
                                      .pool = pool,
                                      .state = HOST_UP,
                                      .endpoint = id,
                                      .labels = labels,
                                      .capacity = capacity };
      scheduler_endpoint_listed (backlog->scheduler, &entry, backlog->now_ms);
    }
  scheduler_registry_read (backlog->scheduler);
  scheduler_hosts_listed (backlog->scheduler, hosts, n_endpoints, true, backlog->now_ms,
                          backlog->now_ms);
}

/* Submits n jobs, spread evenly over the first n_pools pools. */
static void
backlog_submit (struct backlog *backlog, unsigned n, unsigned n_pools)
{
  Sp__JobStep steps[] = { SP__JOB_STEP__INIT, SP__JOB_STEP__INIT };
  uint32_t first[] = { 0 };

  for (size_t s = 0; s < G_N_ELEMENTS (steps); s++)
    {
      steps[s].n_tasks = TASKS_PER_STEP;
      steps[s].cpu_milli = CPU_MILLI;
      steps[s].memory_mb = 100;
      steps[s].estimate_ms = 1000;
    }
  steps[1].n_prerequisites = 1;
  steps[1].prerequisites = first;
  for (unsigned i = 0; i < n; i++)
    {
      g_autofree char *id = g_strdup_printf ("j%u", i);
      g_autofree char *pool = g_strdup_printf ("p%u", i % n_pools);
      struct job_spec spec = { .id = id,
                               .pool = pool,
                               .steps = steps,
                               .n_steps = G_N_ELEMENTS (steps),
                               .max_attempts = 3,
                               .accepted_ms = backlog->now_ms,
                               .epoch = 1 };
      g_autoptr (GBytes) record = job_record_pack_definition (&spec);

      job_table_apply_record (&backlog->all_jobs, record, i, backlog->now_ms);
      scheduler_job_defined (backlog->scheduler, job_table_find (&backlog->all_jobs, id),
                             backlog->now_ms, backlog->now_ms);
    }
}

/* Runs one scheduling pass and returns the number of endpoints that it considered for
 * placements. */
static uint64_t
backlog_run_pass (struct backlog *backlog)
{
  struct scheduler_counts counts;
  uint64_t before;

  scheduler_get_counts (backlog->scheduler, &counts);
  before = counts.candidates;
  backlog->now_ms += PASS_MS;
  scheduler_tick (backlog->scheduler, backlog->now_ms, backlog->now_ms);
  scheduler_get_counts (backlog->scheduler, &counts);
  return counts.candidates - before;
}

/* Creates a scheduler whose endpoints have responded. */
static void
backlog_init_pools (struct backlog *backlog, unsigned n_pools, unsigned endpoints_per_pool)
{
  struct scheduler_ops ops = {
    .start = on_start, .heartbeat = on_heartbeat, .move_host = on_move, .ctx = backlog
  };
  struct scheduler_config config = { .epoch = 1, .lease_ms = 3500, .stop_ms = 400 };

  *backlog = (struct backlog){ .starts = g_ptr_array_new (),
                               .heartbeats = g_ptr_array_new (),
                               .n_pools = n_pools,
                               .endpoints_per_pool = endpoints_per_pool,
                               .now_ms = 1000 };
  job_table_init (&backlog->all_jobs);
  backlog->scheduler =
      scheduler_create (&config, &ops, &backlog->all_jobs, backlog->now_ms, backlog->now_ms);
  backlog_list_endpoints (backlog);
  backlog_run_pass (backlog);
  backlog_respond_to_heartbeats (backlog);
}

static void
backlog_init (struct backlog *backlog)
{
  backlog_init_pools (backlog, POOLS, ENDPOINTS_PER_POOL);
}

static void
backlog_finish (struct backlog *backlog)
{
  scheduler_destroy (backlog->scheduler);
  job_table_finish (&backlog->all_jobs);
  g_ptr_array_free (backlog->starts, TRUE);
  g_ptr_array_free (backlog->heartbeats, TRUE);
}

/* With 16,000 tasks that wait for capacity for 1,700, each scheduling pass stays within its
 * limit. */
static void
test_passes_are_short (void)
{
  struct backlog backlog;
  struct scheduler_counts counts;
  uint64_t max_candidates = 0;

  backlog_init (&backlog);
  backlog_submit (&backlog, POOLS * JOBS_PER_POOL, POOLS);
  for (unsigned pass = 0; pass < 50; pass++)
    {
      uint64_t candidates = backlog_run_pass (&backlog);

      max_candidates = MAX (max_candidates, candidates);
      backlog_confirm_starts (&backlog);
    }
  scheduler_get_counts (backlog.scheduler, &counts);
  CU_ASSERT_EQUAL (counts.tasks_running, POOLS * ENDPOINTS_PER_POOL * 5);
  if (g_getenv ("SESAMEPICK_TEST_NOTES"))
    printf ("most endpoints considered in a pass: %" G_GUINT64_FORMAT "\n", max_candidates);
  CU_ASSERT (max_candidates <= CANDIDATES_MAX);
  backlog_finish (&backlog);
}

/* A queue's turn: one pool has all the work, and something changes in the others too. A pass starts
 * as many tasks there as it may start in all, not only this pool's share. With shares that were not
 * passed on, a pool of 900 hosts ran 2,100 tasks while 4,900 waited. */
static void
test_busy_pool_gets_unused_starts (void)
{
  enum
  {
    JOBS = 50,
    STARTS_PER_PASS = 128,
  };
  struct backlog backlog;

  backlog_init (&backlog);
  backlog_submit (&backlog, JOBS, 1);
  backlog_run_pass (&backlog);
  CU_ASSERT_EQUAL (backlog.starts->len, STARTS_PER_PASS);
  backlog_finish (&backlog);
}

/* With relays, which send the commands, a pass may start more tasks. */
static void
test_limit_with_relays (void)
{
  enum
  {
    JOBS = 50,
    STARTS_PER_PASS = 300,
  };
  struct backlog backlog;

  backlog_init (&backlog);
  backlog_submit (&backlog, JOBS, 2);
  scheduler_set_starts_per_pass (backlog.scheduler, STARTS_PER_PASS);
  backlog_run_pass (&backlog);
  CU_ASSERT_EQUAL (backlog.starts->len, STARTS_PER_PASS);
  backlog_finish (&backlog);
}

/* Guards against a leader that considers each endpoint of a large pool for each start: in a busy
 * period of 900 endpoints that took a fifth of its processor time, and jobs waited for it. */
static void
test_starts_in_a_large_pool (void)
{
  enum
  {
    LARGE_POOL_ENDPOINTS = 900,
    JOBS = 300,
  };
  struct backlog backlog;
  uint64_t max_candidates = 0;
  unsigned n_started = 0;

  backlog_init_pools (&backlog, 1, LARGE_POOL_ENDPOINTS);
  scheduler_set_starts_per_pass (backlog.scheduler, STARTS_PER_PASS_RELAYED);
  backlog_submit (&backlog, JOBS, 1);
  for (unsigned pass = 0; pass < 10; pass++)
    {
      uint64_t candidates = backlog_run_pass (&backlog);

      max_candidates = MAX (max_candidates, candidates);
      n_started += backlog.starts->len;
      backlog_confirm_starts (&backlog);
    }
  CU_ASSERT_EQUAL (n_started, JOBS * TASKS_PER_STEP);
  if (g_getenv ("SESAMEPICK_TEST_NOTES"))
    printf ("most endpoints considered in a pass: %" G_GUINT64_FORMAT "\n", max_candidates);
  CU_ASSERT (max_candidates <= CANDIDATES_MAX);
  backlog_finish (&backlog);
}

static const struct suite_test tests[] = {
  { "passes are short", test_passes_are_short },
  { "busy pool gets unused starts", test_busy_pool_gets_unused_starts },
  { "limit with relays", test_limit_with_relays },
  { "starts in a large pool", test_starts_in_a_large_pool },
};

int
main (void)
{
  return suite_run ("backlog", tests, sizeof tests / sizeof tests[0]);
}
