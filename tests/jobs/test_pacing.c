#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "job_records.h"
#include "lib/jobs/scheduler.h"
#include "suite.h"

/* Pace of best-effort tasks that slow down serving tasks on the same endpoint. */

enum
{
  /* An endpoint that runs best-effort and serving tasks responds to a heartbeat at least this
   * often. */
  HEARTBEAT_INTERVAL_MS = 500,
  TARGET_MS = 100,
  /* Longest time for which a serving task may exceed its target because of a best-effort task. */
  OVER_TARGET_MAX_MS = 4000,
};

/* One endpoint with a serving and a best-effort task. The tail latency of the serving task is
 * base_latency_ms, and added_latency_ms more at full pace of the best-effort task. */
struct paced_endpoint
{
  struct job_table all_jobs;
  struct scheduler *scheduler;
  struct endpoint *endpoint;
  struct task *best_effort;
  int64_t now_ms;
  int base_latency_ms;
  int added_latency_ms;
  int pace_percent;
  unsigned n_commands;
  /* Pace commands get no response. */
  bool ignores_pace;
};

static void
on_start (void *ctx, struct endpoint *endpoint, struct task *task, int64_t lease_end_ms)
{
  (void) ctx;
  (void) endpoint;
  (void) task;
  (void) lease_end_ms;
}

static void
on_heartbeat (void *ctx, struct endpoint *endpoint, int64_t lease_end_ms, int64_t wait_ms)
{
  (void) lease_end_ms;
  (void) wait_ms;
  ((struct paced_endpoint *) ctx)->endpoint = endpoint;
}

static void
on_pace (void *ctx, struct endpoint *endpoint, struct task *task, int percent)
{
  struct paced_endpoint *paced = ctx;

  paced->n_commands++;
  if (!paced->ignores_pace)
    paced->pace_percent = percent;
  scheduler_pace_done (paced->scheduler, endpoint, task, percent, endpoint->fence,
                       paced->ignores_pace ? COMMAND_UNKNOWN : COMMAND_DONE);
}

/* Returns the serving task's tail latency. */
static int
paced_endpoint_latency_ms (const struct paced_endpoint *paced)
{
  return paced->base_latency_ms + paced->added_latency_ms * paced->pace_percent / 100;
}

/* Responds to the heartbeat in flight and advances the time to the next one. */
static void
paced_endpoint_heartbeat (struct paced_endpoint *paced)
{
  struct endpoint_attempt attempts[] = {
    { .task = "serves.0.0.0",
      .attempt = 1,
      .percent = 100,
      .load = paced_endpoint_latency_ms (paced) },
    { .task = "fills.0.0.0", .attempt = 1, .percent = 100, .load = 900 },
  };
  struct endpoint_report report = { .clock_ms = paced->now_ms,
                                    .born_ms = 1,
                                    .attempts = attempts,
                                    .n_attempts = G_N_ELEMENTS (attempts) };
  bool running = paced->best_effort && paced->best_effort->endpoint;

  if (!running)
    report.n_attempts = 0;
  scheduler_heartbeat_done (paced->scheduler, paced->endpoint, paced->endpoint->fence, COMMAND_DONE,
                            &report, 0, paced->now_ms, paced->now_ms);
  paced->now_ms += HEARTBEAT_INTERVAL_MS;
  scheduler_tick (paced->scheduler, paced->now_ms, paced->now_ms);
}

/* Submits a long-running job of one task. */
static struct task *
paced_endpoint_submit (struct paced_endpoint *paced, const char *id, bool fills)
{
  Sp__JobStep step = SP__JOB_STEP__INIT;
  struct job_spec spec = { .id = id, .pool = "one", .steps = &step, .n_steps = 1 };
  g_autoptr (GBytes) record = NULL;
  struct job *job;

  step.n_tasks = 1;
  step.cpu_milli = 1000;
  step.memory_mb = 100;
  step.estimate_ms = 1000;
  step.long_running = true;
  step.fills = fills;
  step.target_ms = fills ? 0 : TARGET_MS;
  record = job_record_pack_definition (&spec);
  job_table_apply_record (&paced->all_jobs, record, 0, paced->now_ms);
  job = job_table_find (&paced->all_jobs, id);
  scheduler_job_defined (paced->scheduler, job, paced->now_ms, paced->now_ms);
  return job_task (job, 0, 0, 0);
}

/* Confirms that a task has started. */
static void
paced_endpoint_confirm (struct paced_endpoint *paced, struct task *task)
{
  SUITE_REQUIRE (task->endpoint != NULL);
  scheduler_start_done (paced->scheduler, task->endpoint, task, task->attempt,
                        task->endpoint->fence, COMMAND_DONE, paced->now_ms, paced->now_ms);
}

/* Starts both tasks on one endpoint. */
static void
paced_endpoint_start (struct paced_endpoint *paced)
{
  static const char *labels[] = { "rack", NULL };
  struct scheduler_ops ops = {
    .start = on_start, .heartbeat = on_heartbeat, .pace = on_pace, .ctx = paced
  };
  struct scheduler_config config = { .epoch = 1, .lease_ms = 3500, .stop_ms = 400 };
  struct endpoint_entry entry = { .id = "e",
                                  .pool = "one",
                                  .address = "127.0.0.1:1",
                                  .labels = labels,
                                  .remaining_ms = -1,
                                  .born_ms = 1,
                                  .capacity = { .cpu_milli = 10000, .memory_mb = 10000 } };
  struct task *serving;

  paced->now_ms = 1000;
  paced->pace_percent = 100;
  job_table_init (&paced->all_jobs);
  paced->scheduler =
      scheduler_create (&config, &ops, &paced->all_jobs, paced->now_ms, paced->now_ms);
  scheduler_endpoint_listed (paced->scheduler, &entry, paced->now_ms);
  scheduler_registry_read (paced->scheduler);
  scheduler_tick (paced->scheduler, paced->now_ms, paced->now_ms);
  paced_endpoint_heartbeat (paced);
  serving = paced_endpoint_submit (paced, "serves", false);
  paced->best_effort = paced_endpoint_submit (paced, "fills", true);
  scheduler_tick (paced->scheduler, paced->now_ms, paced->now_ms);
  paced_endpoint_confirm (paced, serving);
  paced_endpoint_confirm (paced, paced->best_effort);
}

static void
paced_endpoint_finish (struct paced_endpoint *paced)
{
  scheduler_destroy (paced->scheduler);
  job_table_finish (&paced->all_jobs);
}

/* However much latency the best-effort task adds, the serving task is back under its target within
 * the allowed time, and is never over it for that long again. The best-effort task keeps at least
 * half of the pace that the target allows. */
static void
test_target_kept (void)
{
  static const int added_latencies[] = { 60, 100, 400, 2000 };

  for (size_t i = 0; i < G_N_ELEMENTS (added_latencies); i++)
    {
      struct paced_endpoint paced = { .base_latency_ms = 50,
                                      .added_latency_ms = added_latencies[i] };
      int max_percent = MIN (100, (TARGET_MS - 50) * 100 / added_latencies[i]);
      int sum_percent = 0;
      unsigned over = 0;
      unsigned longest = 0;

      paced_endpoint_start (&paced);
      for (int64_t elapsed_ms = 0; elapsed_ms < OVER_TARGET_MAX_MS;
           elapsed_ms += HEARTBEAT_INTERVAL_MS)
        paced_endpoint_heartbeat (&paced);
      for (unsigned n = 0; n < 40; n++)
        {
          over = paced_endpoint_latency_ms (&paced) > TARGET_MS ? over + 1 : 0;
          longest = MAX (longest, over);
          sum_percent += paced.pace_percent;
          paced_endpoint_heartbeat (&paced);
        }
      if (g_getenv ("SESAMEPICK_TEST_NOTES"))
        printf ("added latency %d ms: mean pace %d of %d percent, over target for %u heartbeats in "
                "a row\n",
                added_latencies[i], sum_percent / 40, max_percent, longest);
      CU_ASSERT (longest * HEARTBEAT_INTERVAL_MS < OVER_TARGET_MAX_MS);
      CU_ASSERT (sum_percent / 40 * 2 >= max_percent);
      paced_endpoint_finish (&paced);
    }
}

/* Once the best-effort task adds no more latency, it returns to full pace and no more commands are
 * sent. */
static void
test_pace_restored (void)
{
  struct paced_endpoint paced = { .base_latency_ms = 50, .added_latency_ms = 400 };
  unsigned n_commands;

  paced_endpoint_start (&paced);
  for (unsigned n = 0; n < 10; n++)
    paced_endpoint_heartbeat (&paced);
  CU_ASSERT (paced.pace_percent < 50);
  paced.added_latency_ms = 0;
  for (unsigned n = 0; n < 11; n++)
    paced_endpoint_heartbeat (&paced);
  CU_ASSERT_EQUAL (paced.pace_percent, 100);
  n_commands = paced.n_commands;
  for (unsigned n = 0; n < 10; n++)
    paced_endpoint_heartbeat (&paced);
  CU_ASSERT_EQUAL (paced.n_commands, n_commands);
  paced_endpoint_finish (&paced);
}

/* A best-effort task that adds little latency keeps its full pace without a command. A command
 * without a response is sent again. */
static void
test_pace_commands (void)
{
  struct paced_endpoint unaffected = { .base_latency_ms = 50, .added_latency_ms = 5 };
  struct paced_endpoint ignores_pace = { .base_latency_ms = 50,
                                         .added_latency_ms = 400,
                                         .ignores_pace = true };

  paced_endpoint_start (&unaffected);
  for (unsigned n = 0; n < 10; n++)
    paced_endpoint_heartbeat (&unaffected);
  CU_ASSERT_EQUAL (unaffected.n_commands, 0);
  paced_endpoint_finish (&unaffected);

  paced_endpoint_start (&ignores_pace);
  for (unsigned n = 0; n < 6; n++)
    paced_endpoint_heartbeat (&ignores_pace);
  CU_ASSERT (ignores_pace.n_commands >= 5);
  ignores_pace.ignores_pace = false;
  for (unsigned n = 0; n < 2; n++)
    paced_endpoint_heartbeat (&ignores_pace);
  CU_ASSERT (paced_endpoint_latency_ms (&ignores_pace) <= TARGET_MS);
  paced_endpoint_finish (&ignores_pace);
}

static const struct suite_test tests[] = {
  { "target met", test_target_kept },
  { "pace restored", test_pace_restored },
  { "commands", test_pace_commands },
};

int
main (void)
{
  return suite_run ("pacing", tests, sizeof tests / sizeof tests[0]);
}
