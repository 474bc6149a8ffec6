#include "simulation.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "job_records.h"
#include "simulation_state.h"

/* Time, journal and leaders of the simulated cluster. */

/* Prints a line if SESAMEPICK_TEST_NOTES is set. */
void
simulation_log (const struct simulation *simulation, const char *format, ...)
{
  va_list args;

  if (!g_getenv ("SESAMEPICK_TEST_NOTES"))
    return;
  printf ("%6" G_GINT64_FORMAT " ", simulation->now_ms);
  va_start (args, format);
  vprintf (format, args);
  va_end (args);
  printf ("\n");
}

/* Prints a log line of the scheduler. */
static void
on_log (void *ctx, const char *line)
{
  simulation_log (ctx, "%s", line);
}

/* Returns true with a probability of permille / 1000. */
bool
simulation_chance (struct simulation *simulation, int permille)
{
  return permille > 0 && g_rand_int_range (simulation->random, 0, PERMILLE) < permille;
}

struct simulation *
simulation_create (guint32 seed)
{
  struct simulation *simulation = g_new0 (struct simulation, 1);

  simulation->random = g_rand_new_with_seed (seed);
  simulation->now_ms = 1000;
  simulation->journal = g_ptr_array_new_with_free_func ((GDestroyNotify) g_bytes_unref);
  simulation->events = g_ptr_array_new_with_free_func (event_destroy);
  simulation->endpoints = g_ptr_array_new_with_free_func (simulated_endpoint_destroy);
  simulation->sent_attempts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  simulation->crashing_tasks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  simulation->failures = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  job_table_init (&simulation->kept_jobs);
  simulation->work_ms = 1000;
  simulation->workspaces = workspace_table_create ();
  simulation->all_workspaces = workspace_table_create ();
  simulation->caps = g_array_new (FALSE, FALSE, sizeof (struct simulated_cap));
  return simulation;
}

void
simulation_destroy (struct simulation *simulation)
{
  if (simulation->scheduler)
    scheduler_destroy (simulation->scheduler);
  if (simulation->all_jobs)
    {
      job_table_finish (simulation->all_jobs);
      g_free (simulation->all_jobs);
    }
  job_table_finish (&simulation->kept_jobs);
  g_ptr_array_free (simulation->endpoints, TRUE);
  workspace_table_destroy (simulation->workspaces);
  workspace_table_destroy (simulation->all_workspaces);
  g_array_free (simulation->caps, TRUE);
  g_hash_table_destroy (simulation->sent_attempts);
  g_hash_table_destroy (simulation->crashing_tasks);
  g_hash_table_destroy (simulation->failures);
  for (unsigned i = 0; i < simulation->n_hosts; i++)
    {
      g_free (simulation->hosts[i].id);
      g_free (simulation->hosts[i].pool);
      g_free (simulation->hosts[i].rack);
    }
  g_ptr_array_free (simulation->journal, TRUE);
  g_ptr_array_free (simulation->events, TRUE);
  if (simulation->flush)
    g_ptr_array_free (simulation->flush, TRUE);
  g_rand_free (simulation->random);
  g_free (simulation->standby);
  g_free (simulation);
}

/* Applies a record to the jobs that are kept with their tasks. Of a final state, which would drop
 * them, only the state is taken over. */
static void
simulation_keep_record (struct simulation *simulation, GBytes *bytes)
{
  gsize len;
  const void *data = g_bytes_get_data (bytes, &len);
  Sp__JobRecord *record = sp__job_record__unpack (NULL, len, data);
  const Sp__JobProgress *progress =
      record->body_case == SP__JOB_RECORD__BODY_PROGRESS ? record->progress : NULL;
  struct job *job = progress ? job_table_find (&simulation->kept_jobs, progress->id) : NULL;

  if (job && job_state_is_final (progress->state))
    job_merge_progress (job, progress);
  else
    job_table_apply_record (&simulation->kept_jobs, bytes, 0, simulation->now_ms);
  if (record->body_case == SP__JOB_RECORD__BODY_DEFINITION)
    job_create_tasks (job_table_find (&simulation->kept_jobs, record->definition->id));
  sp__job_record__free_unpacked (record, NULL);
}

/* Copies what the leader knows of the tasks of jobs that are over, before it drops them. */
static void
simulation_keep_tasks (struct simulation *simulation)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, simulation->all_jobs->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct job *job = value;
      struct job *kept = job_table_find (&simulation->kept_jobs, job->id);

      if (!job->tasks || !job_state_is_final (job->state))
        continue;
      for (uint32_t i = 0; i < job->n_tasks; i++)
        {
          kept->tasks[i].done = kept->tasks[i].done || job->tasks[i].done;
          for (uint32_t k = 0; k < job->tasks[i].n_failed; k++)
            task_add_failure (&kept->tasks[i], job->tasks[i].failed_attempts[k]);
        }
    }
}

/* Appends a record to the journal and applies it. */
static void
simulation_append (struct simulation *simulation, GBytes *record)
{
  simulation_keep_record (simulation, record);
  g_ptr_array_add (simulation->journal, g_bytes_ref (record));
  job_table_apply_record (simulation->all_jobs, record, simulation->journal->len - 1,
                          simulation->now_ms);
}

/* Builds a job table from the journal. */
static struct job_table *
simulation_read_journal (struct simulation *simulation)
{
  struct job_table *all_jobs = g_new (struct job_table, 1);

  job_table_init (all_jobs);
  for (guint i = 0; i < simulation->journal->len; i++)
    job_table_apply_record (all_jobs, g_ptr_array_index (simulation->journal, i), i,
                            simulation->now_ms);
  return all_jobs;
}

/* Starts a leader under the next epoch, with the present job table if again is true, else with one
 * read from the journal. */
static void
simulation_start_leader (struct simulation *simulation, bool again)
{
  struct scheduler_ops ops = {
    .start = on_start,
    .stop = on_stop,
    .heartbeat = on_heartbeat,
    .pace = on_pace,
    .move_host = on_move,
    .maintain_host = on_maintain,
    .wave_state = on_wave,
    .log = on_log,
    .superseded = on_superseded,
    .ctx = simulation,
  };
  struct scheduler_config config = {
    .epoch = ++simulation->epoch,
    .claim_offset = simulation->journal->len,
    .read_offset = simulation->journal->len,
    .lease_ms = LEASE_MS,
    .earlier_grants_until_ms = simulation->now_ms,
    .stop_ms = STOP_MS,
    .learned_durations = simulation->load_rules,
    .prospect_order = simulation->load_rules,
    .load_admission = simulation->load_rules,
    .far_factor = simulation->far_factor,
    .locality_wait_max_ms = simulation->locality_wait_max_ms,
  };

  simulation_log (simulation, "leader: epoch=%" G_GUINT64_FORMAT, simulation->epoch);
  simulation->leader_generation++;
  simulation->flushing = false;
  simulation->superseded = false;
  if (simulation->scheduler)
    {
      simulation_keep_tasks (simulation);
      scheduler_destroy (simulation->scheduler);
    }
  if (simulation->all_jobs && !again)
    {
      job_table_finish (simulation->all_jobs);
      g_clear_pointer (&simulation->all_jobs, g_free);
    }
  if (!simulation->all_jobs)
    simulation->all_jobs = simulation_read_journal (simulation);
  simulation->scheduler = scheduler_create (&config, &ops, simulation->all_jobs, simulation->now_ms,
                                            simulation->now_ms);
  for (unsigned i = 0; i < simulation->n_hosts; i++)
    scheduler_set_pool (simulation->scheduler, simulation->hosts[i].pool,
                        g_strcmp0 (simulation->hosts[i].pool, simulation->standby) == 0);
  scheduler_set_workspaces (simulation->scheduler, simulation->all_workspaces, SHARE_WINDOW_MS);
  scheduler_set_workspaces (simulation->scheduler, simulation->workspaces, SHARE_WINDOW_MS);
  if (simulation->wave_requested)
    scheduler_wave_requested (simulation->scheduler, &simulation->wave, simulation->now_ms);
  simulation_read_lists (simulation);
}

void
simulation_start_new_leader (struct simulation *simulation)
{
  simulation_start_leader (simulation, false);
}

void
simulation_restart_leader (struct simulation *simulation)
{
  simulation_start_leader (simulation, true);
}

Sp__JobStep
simulation_job_step (uint32_t n_tasks)
{
  Sp__JobStep step = SP__JOB_STEP__INIT;

  step.n_tasks = n_tasks;
  step.cpu_milli = 1000;
  step.memory_mb = 1000;
  step.estimate_ms = 1000;
  return step;
}

struct job *
simulation_submit_spec (struct simulation *simulation, const struct job_spec *spec)
{
  g_autoptr (GBytes) record = job_record_pack_definition (spec);
  struct job *job;

  simulation_append (simulation, record);
  job = job_table_find (simulation->all_jobs, spec->id);
  scheduler_job_defined (simulation->scheduler, job, simulation->now_ms, simulation->now_ms);
  return job;
}

struct job *
simulation_submit (struct simulation *simulation, const char *id, const char *pool,
                   const Sp__JobStep *steps, size_t n_steps, uint32_t max_attempts)
{
  struct job_spec spec = { .id = id,
                           .pool = pool,
                           .workspace = simulation->workspace,
                           .steps = steps,
                           .n_steps = n_steps,
                           .max_attempts = max_attempts,
                           .accepted_ms = simulation->now_ms,
                           .epoch = simulation->epoch };

  return simulation_submit_spec (simulation, &spec);
}

void
simulation_cancel (struct simulation *simulation, const char *id)
{
  g_autoptr (GBytes) record = job_record_pack_cancel (id);

  simulation_append (simulation, record);
  scheduler_job_cancelled (simulation->scheduler, job_table_find (simulation->all_jobs, id),
                           simulation->now_ms);
}

/* Returns a task by its name, with what the leader knows of it, or knew before its job was over. */
struct task *
simulation_find_task (const struct simulation *simulation, const char *name)
{
  g_auto (GStrv) parts = g_strsplit (name, ".", 4);
  const struct job *job = job_table_find (simulation->all_jobs, parts[0]);

  if (job && !job->tasks)
    job = job_table_find (&simulation->kept_jobs, parts[0]);
  return job ? job_task (job, (uint32_t) atoi (parts[1]), (uint32_t) atoi (parts[2]),
                         (uint32_t) atoi (parts[3]))
             : NULL;
}

/* Appends the collected records, unless the leader that collected them was replaced. */
void
simulation_flush (struct simulation *simulation, const struct event *event)
{
  if (event->leader_generation != simulation->leader_generation)
    return;
  for (guint i = 0; i < simulation->flush->len; i++)
    simulation_append (simulation, g_ptr_array_index (simulation->flush, i));
  g_ptr_array_set_size (simulation->flush, 0);
  simulation->flushing = false;
  scheduler_flushed (simulation->scheduler, true, simulation->now_ms);
}

static void
simulation_add_record (void *ctx, const Sp__JobRecord *record)
{
  g_ptr_array_add (((struct simulation *) ctx)->flush, job_record_pack (record));
}

/* Advances the cluster by one scheduling pass of the leader. */
static void
simulation_step (struct simulation *simulation)
{
  for (int64_t end_ms = simulation->now_ms + PASS_MS; simulation->now_ms < end_ms;
       simulation->now_ms += TIME_STEP_MS)
    {
      for (unsigned i = 0; i < simulation->endpoints->len; i++)
        {
          struct simulated_endpoint *endpoint = g_ptr_array_index (simulation->endpoints, i);

          if (endpoint->crash_ms > 0 && simulation->now_ms >= endpoint->crash_ms)
            simulation_crash_host (simulation, endpoint);
          endpoint_advance_attempts (simulation, endpoint);
        }
      simulation_handle_due_events (simulation);
    }
  simulation_return_hosts (simulation);
  if (simulation->now_ms >= simulation->next_list_ms)
    {
      simulation->next_list_ms = simulation->now_ms + LIST_INTERVAL_MS;
      simulation_read_lists (simulation);
    }
  simulation_keep_tasks (simulation);
  if (!simulation->journal_unreadable)
    scheduler_set_journal_read (simulation->scheduler, simulation->now_ms);
  scheduler_tick (simulation->scheduler, simulation->now_ms, simulation->now_ms);
  if (!simulation->flushing && !simulation->store_down &&
      scheduler_is_dirty (simulation->scheduler))
    {
      simulation->flushing = true;
      if (!simulation->flush)
        simulation->flush = g_ptr_array_new_with_free_func ((GDestroyNotify) g_bytes_unref);
      g_ptr_array_set_size (simulation->flush, 0);
      scheduler_collect (simulation->scheduler, simulation_add_record, simulation);
      simulation_post (simulation, EVENT_FLUSH, FLUSH_MS);
    }
}

void
simulation_run (struct simulation *simulation, int64_t ms)
{
  int64_t end_ms = simulation->now_ms + ms;

  while (simulation->now_ms < end_ms)
    simulation_step (simulation);
}

Sp__JobState
simulation_job_state (const struct simulation *simulation, const char *id)
{
  return job_table_find (simulation->all_jobs, id)->state;
}

unsigned
simulation_violations (const struct simulation *simulation)
{
  return simulation->duplicate_starts + simulation->started_after_done + simulation->over_capacity +
         simulation->over_spread + simulation->wrong_label + simulation->starts_out_of_order +
         simulation->over_attempts + simulation->over_unavailable_limit +
         simulation->over_wave_limit + simulation->reused_attempts + simulation->over_crashes +
         simulation->over_cap;
}

void
simulation_add_crashing_task (struct simulation *simulation, const char *task)
{
  g_hash_table_insert (simulation->crashing_tasks, g_strdup (task),
                       g_new0 (struct crashing_task, 1));
}

/* Returns whether a job may be shown as failed for what one of its tasks did. */
static bool
task_justifies_failure (const struct simulation *simulation, const struct task *task)
{
  g_autofree char *name = task_name (task);
  const struct crashing_task *crashing = g_hash_table_lookup (simulation->crashing_tasks, name);
  unsigned failures = GPOINTER_TO_UINT (g_hash_table_lookup (simulation->failures, name));

  return (crashing && crashing->crashes >= 2) || failures >= task->job->definition->max_attempts;
}

unsigned
simulation_count_false_verdicts (const struct simulation *simulation)
{
  GHashTableIter iter;
  gpointer value;
  unsigned n = 0;

  g_hash_table_iter_init (&iter, simulation->kept_jobs.jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct job *job = value;
      bool justified = job->state != SP__JOB_STATE__JOB_FAILED;

      for (uint32_t i = 0; i < job->n_tasks && !justified; i++)
        justified = task_justifies_failure (simulation, &job->tasks[i]);
      if (!justified)
        simulation_log (simulation, "FALSE VERDICT: job=%s", job->id);
      n += !justified;
    }
  return n;
}
