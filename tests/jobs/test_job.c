#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include "lib/jobs/job_table.h"
#include "lib/jobs/queue_table.h"
#include "job_records.h"
#include "suite.h"

/* The job table, as the journal builds it, and the queues of a configuration. */

enum
{
  NOW_MS = 1000,
};

/* Applies a record to the job table. */
static void
apply_record (struct job_table *all_jobs, const Sp__JobRecord *record, int64_t offset)
{
  g_autofree char *key = job_record_key (record);
  g_autoptr (GBytes) value = job_record_pack (record);
  gsize len;
  const void *data = g_bytes_get_data (value, &len);

  CU_ASSERT_EQUAL (job_table_apply (all_jobs, key, data, len, offset, NOW_MS), 0);
}

/* Applies the definition of a job with one step of n_tasks tasks, accepted under an epoch. */
static void
apply_definition_of_epoch (struct job_table *all_jobs, const char *id, uint32_t n_tasks,
                           int64_t offset, uint64_t epoch)
{
  Sp__JobStep step = SP__JOB_STEP__INIT;
  Sp__JobStep *steps[] = { &step };
  Sp__JobDefinition definition = SP__JOB_DEFINITION__INIT;
  Sp__JobRecord record = SP__JOB_RECORD__INIT;

  step.n_tasks = n_tasks;
  definition.id = (char *) id;
  definition.queue = (char *) "q";
  definition.n_steps = 1;
  definition.steps = steps;
  definition.epoch = epoch;
  record.body_case = SP__JOB_RECORD__BODY_DEFINITION;
  record.definition = &definition;
  apply_record (all_jobs, &record, offset);
}

static void
apply_definition (struct job_table *all_jobs, const char *id, uint32_t n_tasks, int64_t offset)
{
  apply_definition_of_epoch (all_jobs, id, n_tasks, offset, 0);
}

/* Applies a progress record of a job's first task. */
static void
apply_progress (struct job_table *all_jobs, const char *id, Sp__JobState state, bool done,
                uint32_t ended, uint32_t failed)
{
  Sp__TaskProgress task = SP__TASK_PROGRESS__INIT;
  Sp__TaskProgress *tasks[] = { &task };
  Sp__JobProgress body = SP__JOB_PROGRESS__INIT;
  Sp__JobRecord record = SP__JOB_RECORD__INIT;

  task.done = done;
  task.ended_attempt = ended;
  task.n_failed_attempts = failed > 0;
  task.failed_attempts = &failed;
  body.id = (char *) id;
  body.state = state;
  body.n_tasks = 1;
  body.tasks = tasks;
  record.body_case = SP__JOB_RECORD__BODY_PROGRESS;
  record.progress = &body;
  apply_record (all_jobs, &record, 0);
}

/* The first definition of an id wins; a later one changes nothing. */
static void
test_first_definition_wins (void)
{
  struct job_table all_jobs;

  job_table_init (&all_jobs);
  apply_definition (&all_jobs, "a", 2, 7);
  apply_definition (&all_jobs, "a", 5, 9);
  CU_ASSERT_EQUAL (job_table_find (&all_jobs, "a")->n_tasks, 2);
  CU_ASSERT_EQUAL (job_table_find (&all_jobs, "a")->offset, 7);
  job_table_finish (&all_jobs);
}

/* A host applies its own append of a job before it has read another host's earlier one. The job
 * counts from the earliest on: a leader that claimed in between must take it for one that a former
 * leader may have started, and reserve its attempts from that epoch on. */
static void
test_earlier_definition_is_read_later (void)
{
  struct job_table all_jobs;

  job_table_init (&all_jobs);
  apply_definition_of_epoch (&all_jobs, "a", 2, 9, 4);
  apply_definition_of_epoch (&all_jobs, "a", 2, 7, 3);
  CU_ASSERT_EQUAL (job_table_find (&all_jobs, "a")->offset, 7);
  CU_ASSERT_EQUAL (job_table_find (&all_jobs, "a")->definition->epoch, 3);
  job_table_finish (&all_jobs);
}

/* Progress records that are read again, or in the wrong order, undo nothing. */
static void
test_progress_never_goes_back (void)
{
  struct job_table all_jobs;
  const struct job *job;

  job_table_init (&all_jobs);
  apply_definition (&all_jobs, "a", 1, 0);
  job = job_table_find (&all_jobs, "a");
  apply_progress (&all_jobs, "a", SP__JOB_STATE__JOB_RUNNING, true, 3, 2);
  apply_progress (&all_jobs, "a", SP__JOB_STATE__JOB_QUEUED, false, 1, 1);
  apply_progress (&all_jobs, "a", SP__JOB_STATE__JOB_QUEUED, false, 1, 1);
  CU_ASSERT_TRUE (job->tasks[0].done);
  CU_ASSERT_EQUAL (job->tasks[0].ended_attempt, 3);
  CU_ASSERT_EQUAL (job->tasks[0].n_failed, 2);
  CU_ASSERT_EQUAL (job->state, SP__JOB_STATE__JOB_RUNNING);
  apply_progress (&all_jobs, "a", SP__JOB_STATE__JOB_COMPLETED, true, 3, 0);
  apply_progress (&all_jobs, "a", SP__JOB_STATE__JOB_FAILED, true, 3, 0);
  CU_ASSERT_EQUAL (job->state, SP__JOB_STATE__JOB_COMPLETED);
  job_table_finish (&all_jobs);
}

/* A job that is over keeps what callers and operators are shown, and drops its tasks. Late records
 * and a repeated definition of it must change nothing, nor bring the tasks back. */
static void
test_over (void)
{
  struct job_table all_jobs;
  const struct job *job;

  job_table_init (&all_jobs);
  apply_definition (&all_jobs, "a", 3, 5);
  job = job_table_find (&all_jobs, "a");
  apply_progress (&all_jobs, "a", SP__JOB_STATE__JOB_RUNNING, true, 1, 0);
  CU_ASSERT_PTR_NOT_NULL (job_task (job, 0, 0, 0));
  apply_progress (&all_jobs, "a", SP__JOB_STATE__JOB_COMPLETED, true, 1, 0);
  apply_progress (&all_jobs, "a", SP__JOB_STATE__JOB_RUNNING, false, 2, 1);
  apply_definition (&all_jobs, "a", 3, 4);
  CU_ASSERT_PTR_NULL (job->tasks);
  CU_ASSERT_PTR_NULL (job_task (job, 0, 0, 0));
  CU_ASSERT_EQUAL (job->definition->n_steps, 0);
  CU_ASSERT_STRING_EQUAL (job->definition->queue, "q");
  CU_ASSERT_EQUAL (job->offset, 4);
  CU_ASSERT_EQUAL (job->ended_ms, NOW_MS);
  CU_ASSERT_EQUAL (job->state, SP__JOB_STATE__JOB_COMPLETED);
  /* A final state that is read before the definition. */
  apply_progress (&all_jobs, "b", SP__JOB_STATE__JOB_FAILED, false, 1, 0);
  apply_definition (&all_jobs, "b", 3, 6);
  CU_ASSERT_PTR_NULL (job_table_find (&all_jobs, "b")->tasks);
  CU_ASSERT_EQUAL (job_table_find (&all_jobs, "b")->definition->n_steps, 0);
  job_table_finish (&all_jobs);
}

/* The definition of a job that is over is deleted before its final state. A host that starts then
 * has to answer for the job, check the key of its caller, and ignore a repeated submission that
 * arrives late; otherwise the job would be unknown or run again. */
static void
test_ended_without_definition (void)
{
  struct job_table all_jobs;
  struct job_table started;
  Sp__JobProgress *progress;
  Sp__JobRecord record = SP__JOB_RECORD__INIT;
  g_autoptr (GBytes) value = NULL;
  g_autofree char *key = NULL;
  const struct job *job;

  job_table_init (&all_jobs);
  job_table_init (&started);
  apply_definition (&all_jobs, "a", 3, 5);
  progress = job_progress_create (job_table_find (&all_jobs, "a"), SP__JOB_STATE__JOB_COMPLETED);
  record.body_case = SP__JOB_RECORD__BODY_PROGRESS;
  record.progress = progress;
  key = job_record_key (&record);
  value = job_record_pack (&record);
  CU_ASSERT_EQUAL (job_table_apply (&started, key, g_bytes_get_data (value, NULL),
                                    g_bytes_get_size (value), 9, NOW_MS),
                   0);
  job_progress_destroy (progress);
  job = job_table_find (&started, "a");
  SUITE_REQUIRE (job != NULL);
  SUITE_REQUIRE (job->definition != NULL);
  CU_ASSERT_STRING_EQUAL (job->definition->queue, "q");
  CU_ASSERT_STRING_EQUAL (job->definition->workspace, "");
  CU_ASSERT_EQUAL (job->state, SP__JOB_STATE__JOB_COMPLETED);
  apply_definition (&started, "a", 3, 12);
  CU_ASSERT_EQUAL (job->n_tasks, 0);
  CU_ASSERT_EQUAL (job->state, SP__JOB_STATE__JOB_COMPLETED);
  job_table_finish (&all_jobs);
  job_table_finish (&started);
}

/* Returns the bytes of heap in use after n jobs of 12 tasks were defined and, as asked for, got
 * their tasks and were completed, less those in use before. */
static size_t
measure_jobs (unsigned n, bool tasks, bool over)
{
  struct job_table all_jobs;
  size_t before = mallinfo2 ().uordblks;
  size_t used;

  job_table_init (&all_jobs);
  for (unsigned i = 0; i < n; i++)
    {
      g_autofree char *id = g_strdup_printf ("%016x", i);

      apply_definition (&all_jobs, id, 12, i);
      if (tasks)
        job_create_tasks (job_table_find (&all_jobs, id));
      if (over)
        apply_progress (&all_jobs, id, SP__JOB_STATE__JOB_COMPLETED, true, 1, 0);
    }
  used = mallinfo2 ().uordblks - before;
  job_table_finish (&all_jobs);
  return used;
}

/* Every host keeps the jobs that ended in the last minutes, 450 a second at a peak. */
static void
test_memory (void)
{
  enum
  {
    JOBS = 2000,
    /* A tenth of a job of 12 tasks. */
    OVER_BYTES_MAX = 700,
  };
  size_t scheduled = measure_jobs (JOBS, true, false) / JOBS;
  size_t over = measure_jobs (JOBS, true, true) / JOBS;
  size_t waiting = measure_jobs (JOBS, false, false) / JOBS;

  printf ("bytes a job: scheduled %zu, waiting on a host that does not lead %zu, over %zu\n",
          scheduled, waiting, over);
  CU_ASSERT (over <= OVER_BYTES_MAX);
  CU_ASSERT (waiting <= OVER_BYTES_MAX);
}

/* Only queued jobs count as pending, for their own queue. */
static void
test_pending (void)
{
  struct job_table all_jobs;

  job_table_init (&all_jobs);
  apply_definition (&all_jobs, "a", 1, 0);
  apply_definition (&all_jobs, "b", 1, 1);
  CU_ASSERT_EQUAL (job_table_count_pending (&all_jobs, "q"), 2);
  CU_ASSERT_EQUAL (job_table_count_pending (&all_jobs, "other"), 0);
  apply_progress (&all_jobs, "a", SP__JOB_STATE__JOB_RUNNING, false, 0, 0);
  CU_ASSERT_EQUAL (job_table_count_pending (&all_jobs, "q"), 1);
  job_table_finish (&all_jobs);
}

/* A job is removed when its last record is deleted, and not before. */
static void
test_removed (void)
{
  struct job_table all_jobs;
  g_auto (GStrv) keys = job_record_keys ("a");

  job_table_init (&all_jobs);
  apply_definition (&all_jobs, "a", 1, 0);
  for (char **key = keys; *key; key++)
    {
      CU_ASSERT_PTR_NOT_NULL (job_table_find (&all_jobs, "a"));
      job_table_apply (&all_jobs, *key, NULL, 0, 1, NOW_MS);
    }
  CU_ASSERT_PTR_NULL (job_table_find (&all_jobs, "a"));
  job_table_finish (&all_jobs);
}

/* A job was deleted and accepted again, and this host has applied its own append: the deletion,
 * read after that, is older and removes nothing. */
static void
test_older_deletion (void)
{
  struct job_table all_jobs;

  job_table_init (&all_jobs);
  apply_definition (&all_jobs, "a", 1, 9);
  job_table_apply (&all_jobs, "p/a", NULL, 0, 8, NOW_MS);
  CU_ASSERT_PTR_NOT_NULL (job_table_find (&all_jobs, "a"));
  job_table_apply (&all_jobs, "p/a", NULL, 0, 10, NOW_MS);
  CU_ASSERT_PTR_NULL (job_table_find (&all_jobs, "a"));
  job_table_finish (&all_jobs);
}

/* A cancellation or progress that is read before the definition still counts after it. */
static void
test_definition_read_last (void)
{
  struct job_table all_jobs;
  g_autoptr (GBytes) cancel = job_record_pack_cancel ("a");

  job_table_init (&all_jobs);
  job_table_apply_record (&all_jobs, cancel, 1, NOW_MS);
  apply_progress (&all_jobs, "b", SP__JOB_STATE__JOB_RUNNING, false, 0, 0);
  apply_definition (&all_jobs, "a", 1, 2);
  apply_definition (&all_jobs, "b", 1, 3);
  CU_ASSERT_TRUE (job_table_find (&all_jobs, "a")->cancelled);
  CU_ASSERT_EQUAL (job_table_find (&all_jobs, "b")->state, SP__JOB_STATE__JOB_RUNNING);
  CU_ASSERT_PTR_NOT_NULL (job_table_find (&all_jobs, "b")->definition);
  job_table_finish (&all_jobs);
}

/* A record that can't be parsed changes nothing and is reported as an error. */
static void
test_unreadable_record (void)
{
  struct job_table all_jobs;

  job_table_init (&all_jobs);
  CU_ASSERT_NOT_EQUAL (job_table_apply (&all_jobs, "d/a", "\xff\xff\xff", 3, 0, NOW_MS), 0);
  CU_ASSERT_EQUAL (g_hash_table_size (all_jobs.jobs), 0);
  job_table_finish (&all_jobs);
}

/* Guards against a state that no name exists for: a host that was asked for it read beyond its
 * table of names. */
static void
test_unknown_state (void)
{
  struct job_table all_jobs;
  Sp__JobRecord record = SP__JOB_RECORD__INIT;
  Sp__JobProgress progress = SP__JOB_PROGRESS__INIT;
  g_autoptr (GBytes) bytes = NULL;
  gsize len;
  const void *data;

  progress.id = (char *) "a";
  progress.state = (Sp__JobState) (SP__JOB_STATE__JOB_CANCELLED + 1);
  record.body_case = SP__JOB_RECORD__BODY_PROGRESS;
  record.progress = &progress;
  bytes = job_record_pack (&record);
  data = g_bytes_get_data (bytes, &len);
  job_table_init (&all_jobs);
  CU_ASSERT_NOT_EQUAL (job_table_apply (&all_jobs, "p/a", data, len, 0, NOW_MS), 0);
  CU_ASSERT_EQUAL (g_hash_table_size (all_jobs.jobs), 0);
  job_table_finish (&all_jobs);
}

/* Invalid definitions are rejected. */
static void
test_validity (void)
{
  static const struct
  {
    uint32_t n_tasks;
    uint32_t repeats;
    uint32_t prerequisites;
    bool depends;
    bool valid;
  } cases[] = {
    { 1, 0, 0, false, true },     { 0, 0, 0, false, false },     { 1, 0, 0, true, false },
    { 20000, 0, 0, false, true }, { 20000, 2, 0, false, false },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      Sp__JobStep step = SP__JOB_STEP__INIT;
      Sp__JobStep *steps[] = { &step };
      Sp__JobDefinition definition = SP__JOB_DEFINITION__INIT;
      uint32_t prerequisites = cases[i].prerequisites;
      const char *error;

      step.n_tasks = cases[i].n_tasks;
      step.n_prerequisites = cases[i].depends;
      step.prerequisites = &prerequisites;
      definition.repeats = cases[i].repeats;
      definition.n_steps = 1;
      definition.steps = steps;
      CU_ASSERT_EQUAL (job_definition_is_valid (&definition, &error), cases[i].valid);
      CU_ASSERT_EQUAL (error == NULL, cases[i].valid);
    }
}

/* The longest prefix wins, and the host must match, with or without a port. */
static void
test_queues (void)
{
  struct queue_table *table = queue_table_create ();
  struct job_queue shorter = { .host = "h.example", .prefix = "/a/", .pool = "p" };
  struct job_queue longer = { .host = "h.example", .prefix = "/a/b/", .pool = "q" };
  const struct job_queue *found;
  const char *rest;

  queue_table_add (table, &shorter);
  queue_table_add (table, &longer);
  found = queue_table_find (table, "h.example:80", "/a/b/0123", &rest);
  SUITE_REQUIRE (found != NULL);
  CU_ASSERT_STRING_EQUAL (found->pool, "q");
  CU_ASSERT_STRING_EQUAL (rest, "0123");
  found = queue_table_find (table, "H.EXAMPLE", "/a/0123", &rest);
  SUITE_REQUIRE (found != NULL);
  CU_ASSERT_STRING_EQUAL (found->pool, "p");
  CU_ASSERT_PTR_NULL (queue_table_find (table, "h.example.org", "/a/0123", &rest));
  CU_ASSERT_PTR_NULL (queue_table_find (table, "h.example", "/c/0123", &rest));
  queue_table_destroy (table);
}

static const struct suite_test tests[] = {
  { "the first definition wins", test_first_definition_wins },
  { "earlier definition is read later", test_earlier_definition_is_read_later },
  { "progress is never undone", test_progress_never_goes_back },
  { "pending", test_pending },
  { "over", test_over },
  { "over without a definition", test_ended_without_definition },
  { "memory", test_memory },
  { "removed", test_removed },
  { "older deletion", test_older_deletion },
  { "definition read last", test_definition_read_last },
  { "unreadable record", test_unreadable_record },
  { "unknown state", test_unknown_state },
  { "validity", test_validity },
  { "queues", test_queues },
};

int
main (void)
{
  return suite_run ("job", tests, sizeof tests / sizeof tests[0]);
}
