#include "scheduler_state.h"

/* What the leader records in the journal: progress of jobs and of maintenance waves. A completion
 * is acknowledged to its endpoint only after its record is durable. */

/* Returns whether there is progress to record. Always false while a flush is in progress. */
bool
scheduler_is_dirty (const struct scheduler *scheduler)
{
  const struct wave *wave;

  if (scheduler->flushing)
    return false;
  if (g_hash_table_size (scheduler->dirty) > 0)
    return true;
  TAILQ_FOREACH (wave, &scheduler->waves, link)
    {
      if (wave->dirty)
        return true;
    }
  return false;
}

/* Passes the record of a wave to add. */
static void
wave_collect (struct wave *wave, void (*add) (void *ctx, const Sp__JobRecord *record), void *ctx)
{
  Sp__WaveProgress progress = SP__WAVE_PROGRESS__INIT;
  Sp__JobRecord record = SP__JOB_RECORD__INIT;
  guint n;
  g_autofree char **hosts = (char **) g_hash_table_get_keys_as_array (wave->begun, &n);

  progress.wave = wave->number;
  progress.start_ms = wave->start_wall_ms;
  progress.n_hosts = n;
  progress.hosts = hosts;
  record.body_case = SP__JOB_RECORD__BODY_WAVE;
  record.wave = &progress;
  wave->dirty = false;
  add (ctx, &record);
}

/* Passes records of all progress that is not durable yet to add. Until scheduler_flushed is called,
 * scheduler_is_dirty returns false. */
void
scheduler_collect (struct scheduler *scheduler,
                   void (*add) (void *ctx, const Sp__JobRecord *record), void *ctx)
{
  GHashTableIter iter;
  gpointer key;
  struct wave *wave;

  scheduler->flushing = true;
  scheduler->flushes_begun++;
  g_hash_table_iter_init (&iter, scheduler->dirty);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct job *job = key;
      Sp__JobProgress *progress = job_progress_create (job, job->next_state);
      Sp__JobRecord record = SP__JOB_RECORD__INIT;

      record.body_case = SP__JOB_RECORD__BODY_PROGRESS;
      record.progress = progress;
      add (ctx, &record);
      job_progress_destroy (progress);
      job->dirty = false;
    }
  g_hash_table_remove_all (scheduler->dirty);
  TAILQ_FOREACH (wave, &scheduler->waves, link)
    {
      if (wave->dirty)
        wave_collect (wave, add, ctx);
    }
  g_hash_table_iter_init (&iter, scheduler->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &key))
    ((struct endpoint *) key)->completions_flushing = ((struct endpoint *) key)->completions_seen;
}

/* Ends a flush: the records added by scheduler_collect are durable, or were given up. */
void
scheduler_flushed (struct scheduler *scheduler, bool durable, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  scheduler->now_ms = now_ms;
  scheduler->flushing = false;
  if (!durable)
    return;
  scheduler->flushes_durable = scheduler->flushes_begun;
  scheduler_wake_suspects (scheduler);
  g_hash_table_iter_init (&iter, scheduler->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct endpoint *endpoint = value;

      if (endpoint->completions_flushing <= endpoint->completions_durable)
        continue;
      endpoint->completions_durable = endpoint->completions_flushing;
      endpoint->next_heartbeat_ms = now_ms;
    }
}
