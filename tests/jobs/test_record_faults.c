#include <string.h>

#include "simulation.h"
#include "suite.h"

/* Records of the journal with wrong bytes. Every host and each new leader reads them, so that one
 * record could end them all, one after the other. */

enum
{
  SEED = 47,
  ROUNDS = 20000,
  CHANGES_MAX = 6,
  LEADER_MS = 240,
  PASS_MS = 20,
  LEADER_WALL_MS = 100000,
};

/* Returns the serialized records of one job and of what else a leader reads. */
static GPtrArray *
sound_records (void)
{
  GPtrArray *records = g_ptr_array_new_with_free_func ((GDestroyNotify) g_bytes_unref);
  Sp__JobStep steps[] = { simulation_job_step (3), simulation_job_step (2) };
  struct job_spec spec = { .id = "job",
                           .pool = "pool",
                           .steps = steps,
                           .n_steps = 2,
                           .repeats = 2,
                           .first_ms = 1000,
                           .interval_ms = 10,
                           .max_attempts = 3,
                           .epoch = 1 };
  uint32_t attempts[] = { 1, 2 };
  char *hosts[] = { (char *) "m0", (char *) "m1" };
  Sp__TaskProgress task = SP__TASK_PROGRESS__INIT;
  Sp__TaskProgress *tasks[] = { &task };
  Sp__JobProgress progress = SP__JOB_PROGRESS__INIT;
  Sp__Leadership leadership = SP__LEADERSHIP__INIT;
  Sp__WaveProgress wave = SP__WAVE_PROGRESS__INIT;
  Sp__HostCommands commands = SP__HOST_COMMANDS__INIT;
  Sp__EntryHost host = SP__ENTRY_HOST__INIT;
  Sp__JobRecord record = SP__JOB_RECORD__INIT;
  uint32_t prerequisite = 0;

  steps[1].n_prerequisites = 1;
  steps[1].prerequisites = &prerequisite;
  g_ptr_array_add (records, job_record_pack_definition (&spec));
  g_ptr_array_add (records, job_record_pack_cancel ("job"));
  task.task = 1;
  task.n_failed_attempts = 2;
  task.failed_attempts = attempts;
  task.ended_attempt = 2;
  task.trial_attempt = 3;
  task.trial_endpoint = (char *) "e0";
  task.checkpoint = (char *) "c";
  progress.id = (char *) "job";
  progress.state = SP__JOB_STATE__JOB_RUNNING;
  progress.n_tasks = 1;
  progress.tasks = tasks;
  record.body_case = SP__JOB_RECORD__BODY_PROGRESS;
  record.progress = &progress;
  g_ptr_array_add (records, job_record_pack (&record));
  leadership.epoch = 1;
  leadership.node = (char *) "n";
  record.body_case = SP__JOB_RECORD__BODY_LEADERSHIP;
  record.leadership = &leadership;
  g_ptr_array_add (records, job_record_pack (&record));
  wave.wave = 1;
  wave.n_hosts = 2;
  wave.hosts = hosts;
  wave.start_ms = 5;
  record.body_case = SP__JOB_RECORD__BODY_WAVE;
  record.wave = &wave;
  g_ptr_array_add (records, job_record_pack (&record));
  commands.n_hosts = 2;
  commands.hosts = hosts;
  record.body_case = SP__JOB_RECORD__BODY_HOST_COMMANDS;
  record.host_commands = &commands;
  g_ptr_array_add (records, job_record_pack (&record));
  host.name = (char *) "h";
  host.relay = (char *) "127.0.0.1:1";
  record.body_case = SP__JOB_RECORD__BODY_HOST;
  record.host = &host;
  g_ptr_array_add (records, job_record_pack (&record));
  return records;
}

/* Returns a record with some bytes changed, and perhaps cut off. */
static GBytes *
record_with_faults (GRand *random, GBytes *record)
{
  gsize len;
  const guint8 *data = g_bytes_get_data (record, &len);
  guint8 *copy = g_memdup2 (data, len);
  int n = g_rand_int_range (random, 1, CHANGES_MAX + 1);

  for (int i = 0; i < n; i++)
    copy[g_rand_int_range (random, 0, (gint32) len)] = (guint8) g_rand_int_range (random, 0, 256);
  if (g_rand_int_range (random, 0, 4) == 0)
    len = (gsize) g_rand_int_range (random, 1, (gint32) len + 1);
  return g_bytes_new_take (copy, len);
}

static void
on_wave_progress (void *ctx, const Sp__WaveProgress *progress)
{
  scheduler_wave_progress (ctx, progress);
}

static void
on_job_defined (void *ctx, struct job *job)
{
  scheduler_job_defined (ctx, job, 0, LEADER_WALL_MS);
}

static void
on_job_cancelled (void *ctx, struct job *job)
{
  scheduler_job_cancelled (ctx, job, 0);
}

static void
on_job_removed (void *ctx, struct job *job)
{
  scheduler_job_removed (ctx, job);
}

static void
on_heartbeat (void *ctx, struct endpoint *endpoint, int64_t lease_end_ms, int64_t wait_ms)
{
  (void) ctx;
  (void) endpoint;
  (void) lease_end_ms;
  (void) wait_ms;
}

static void
on_wave_state (void *ctx, uint32_t wave, bool completed)
{
  (void) ctx;
  (void) wave;
  (void) completed;
}

static void
on_record (void *ctx, const Sp__JobRecord *record)
{
  g_bytes_unref (job_record_pack (record));
  (*(unsigned *) ctx)++;
}

/* Applies the records to a table, with a leader that begins before them, if leads is true, or after
 * them, and runs it for a while. */
static void
lead_with_records (const GPtrArray *records, bool leads)
{
  struct scheduler_ops ops = { .heartbeat = on_heartbeat, .wave_state = on_wave_state };
  struct scheduler_config config = { .epoch = 2, .claim_offset = 100, .lease_ms = 3500 };
  struct job_table all_jobs;
  struct scheduler *scheduler = NULL;
  unsigned n_recorded = 0;

  job_table_init (&all_jobs);
  if (leads)
    {
      scheduler = scheduler_create (&config, &ops, &all_jobs, 0, LEADER_WALL_MS);
      all_jobs.on_defined = on_job_defined;
      all_jobs.on_cancelled = on_job_cancelled;
      all_jobs.on_wave_progress = on_wave_progress;
      all_jobs.on_removed = on_job_removed;
      all_jobs.ctx = scheduler;
    }
  for (guint r = 0; r < records->len; r++)
    job_table_apply_record (&all_jobs, g_ptr_array_index (records, r), r, 0);
  if (!leads)
    scheduler = scheduler_create (&config, &ops, &all_jobs, 0, LEADER_WALL_MS);
  for (int64_t now_ms = 0; now_ms < LEADER_MS; now_ms += PASS_MS)
    {
      scheduler_tick (scheduler, now_ms, LEADER_WALL_MS + now_ms);
      scheduler_collect (scheduler, on_record, &n_recorded);
      scheduler_flushed (scheduler, true, now_ms);
    }
  all_jobs.on_removed = on_job_removed;
  all_jobs.ctx = scheduler;
  job_table_apply (&all_jobs, "p/job", NULL, 0, records->len, 0);
  CU_ASSERT_PTR_NULL (job_table_find (&all_jobs, "job"));
  scheduler_destroy (scheduler);
  job_table_finish (&all_jobs);
}

/* Whatever the bytes of a record are, followers and leaders go on. */
static void
test_faulty_records (void)
{
  g_autoptr (GRand) random = g_rand_new_with_seed (SEED);
  g_autoptr (GPtrArray) records = sound_records ();

  lead_with_records (records, true);
  for (unsigned i = 0; i < ROUNDS; i++)
    {
      guint faulty = (guint) g_rand_int_range (random, 0, (gint32) records->len);
      GBytes *sound = g_ptr_array_index (records, faulty);

      records->pdata[faulty] = record_with_faults (random, sound);
      lead_with_records (records, g_rand_boolean (random));
      g_bytes_unref (records->pdata[faulty]);
      records->pdata[faulty] = sound;
    }
}

static const struct suite_test tests[] = {
  { "faulty records", test_faulty_records },
};

int
main (void)
{
  return suite_run ("record faults", tests, sizeof tests / sizeof tests[0]);
}
