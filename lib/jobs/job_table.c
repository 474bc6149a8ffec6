#include "lib/jobs/job_table.h"

#include <errno.h>
#include <string.h>

#define LEADER_KEY "leader"
#define HOST_PREFIX "h/"
#define HOST_COMMANDS_KEY "host-commands"

/* Initializes an empty table. The owner sets the callbacks afterwards. */
void
job_table_init (struct job_table *table)
{
  *table = (struct job_table){ 0 };
  table->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify) job_destroy);
}

void
job_table_finish (struct job_table *table)
{
  g_hash_table_destroy (table->jobs);
  g_free (table->leader_node);
}

/* Returns a job by its id, or NULL if no record of it has been read. */
struct job *
job_table_find (const struct job_table *table, const char *id)
{
  return g_hash_table_lookup (table->jobs, id);
}

/* Returns a job; creates one with nothing but the id if it is not known. */
static struct job *
job_table_get_or_create (struct job_table *table, const char *id, int64_t now_ms)
{
  struct job *job = job_table_find (table, id);

  if (job)
    return job;
  job = job_create (id);
  job->seen_ms = now_ms;
  g_hash_table_insert (table->jobs, job->id, job);
  return job;
}

/* Applies a definition; the first one of an id that is read wins. A host applies its own append
 * early, so that an earlier one may be read later: a leader must then know from where on, and since
 * which epoch, another may have started the job. */
static void
job_table_define (struct job_table *table, Sp__JobRecord *record, int64_t offset, int64_t now_ms)
{
  struct job *job = job_table_get_or_create (table, record->definition->id, now_ms);

  if (job->definition)
    {
      job->offset = MIN (job->offset, offset);
      job->definition->epoch = MIN (job->definition->epoch, record->definition->epoch);
      return;
    }
  job_define (job, record->definition);
  record->definition = NULL;
  record->body_case = SP__JOB_RECORD__BODY__NOT_SET;
  job->offset = offset;
  if (job_state_is_final (job->state))
    job_reduce (job);
  else if (table->on_defined)
    table->on_defined (table->ctx, job);
}

/* Returns whether a record names a state that this version knows. The wire format doesn't limit an
 * enumeration to its values. */
static bool
job_record_state_is_known (const Sp__JobRecord *record)
{
  return record->body_case != SP__JOB_RECORD__BODY_PROGRESS ||
         (unsigned) record->progress->state <= SP__JOB_STATE__JOB_CANCELLED;
}

/* Applies a progress record. */
static void
job_table_apply_progress (struct job_table *table, const Sp__JobProgress *progress, int64_t now_ms)
{
  struct job *job = job_table_get_or_create (table, progress->id, now_ms);

  if (!job_merge_progress (job, progress) || !job_state_is_final (job->state))
    return;
  job->ended_ms = now_ms;
  if (!job->definition && progress->queue[0] != '\0')
    job_define_ended (job, progress->queue, progress->workspace);
  /* The scheduler reduces its jobs when it removes them. */
  if (!job->scheduled)
    job_reduce (job);
}

/* Applies a cancellation. */
static void
job_table_cancel (struct job_table *table, const char *id, int64_t now_ms)
{
  struct job *job = job_table_get_or_create (table, id, now_ms);

  if (job->cancelled)
    return;
  job->cancelled = true;
  if (table->on_cancelled && job->definition)
    table->on_cancelled (table->ctx, job);
}

/* Applies a leadership record. One of an older epoch is ignored. */
static void
job_table_set_leader (struct job_table *table, const Sp__Leadership *leadership, int64_t offset)
{
  if (leadership->epoch < table->leader_epoch)
    return;
  table->leader_epoch = leadership->epoch;
  table->leader_resigned = leadership->resigned;
  table->earlier_leases_ended = leadership->earlier_leases_ended;
  g_free (table->leader_node);
  table->leader_node = g_strdup (leadership->node);
  if (table->on_leadership)
    table->on_leadership (table->ctx, offset);
}

/* Removes a job whose records are deleted. The key of its progress is deleted last. A deletion that
 * is older than the job's definition removes nothing: the job was accepted again. */
static void
job_table_remove (struct job_table *table, const char *key, int64_t offset)
{
  struct job *job;

  if (g_str_has_prefix (key, HOST_PREFIX) && table->on_host)
    {
      Sp__EntryHost host = SP__ENTRY_HOST__INIT;

      host.name = (char *) key + strlen (HOST_PREFIX);
      table->on_host (table->ctx, &host);
    }
  if (!g_str_has_prefix (key, "p/"))
    return;
  job = job_table_find (table, key + 2);
  if (!job || offset < job->offset)
    return;
  if (table->on_removed)
    table->on_removed (table->ctx, job);
  g_hash_table_remove (table->jobs, key + 2);
}

int
job_table_apply (struct job_table *table, const char *key, const void *value, size_t len,
                 int64_t offset, int64_t now_ms)
{
  Sp__JobRecord *record;

  if (len == 0)
    {
      job_table_remove (table, key, offset);
      return 0;
    }
  record = sp__job_record__unpack (NULL, len, value);
  if (!record || !job_record_state_is_known (record))
    {
      sp__job_record__free_unpacked (record, NULL);
      return -EBADMSG;
    }
  switch (record->body_case)
    {
    case SP__JOB_RECORD__BODY_DEFINITION:
      job_table_define (table, record, offset, now_ms);
      break;
    case SP__JOB_RECORD__BODY_CANCEL:
      job_table_cancel (table, record->cancel->id, now_ms);
      break;
    case SP__JOB_RECORD__BODY_PROGRESS:
      job_table_apply_progress (table, record->progress, now_ms);
      break;
    case SP__JOB_RECORD__BODY_LEADERSHIP:
      job_table_set_leader (table, record->leadership, offset);
      break;
    case SP__JOB_RECORD__BODY_WAVE:
      if (table->on_wave_progress)
        table->on_wave_progress (table->ctx, record->wave);
      break;
    case SP__JOB_RECORD__BODY_HOST_COMMANDS:
      if (table->on_host_commands)
        table->on_host_commands (table->ctx, record->host_commands);
      break;
    case SP__JOB_RECORD__BODY_HOST:
      if (table->on_host)
        table->on_host (table->ctx, record->host);
      break;
    default:
      break;
    }
  sp__job_record__free_unpacked (record, NULL);
  return 0;
}

unsigned
job_table_count_pending (const struct job_table *table, const char *queue)
{
  GHashTableIter iter;
  gpointer value;
  unsigned n = 0;

  g_hash_table_iter_init (&iter, table->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct job *job = value;

      if (job->definition && job->state == SP__JOB_STATE__JOB_QUEUED && !job->cancelled &&
          strcmp (job->definition->queue, queue) == 0)
        n++;
    }
  return n;
}

/* Returns the key under which a record is stored; free with g_free. */
char *
job_record_key (const Sp__JobRecord *record)
{
  switch (record->body_case)
    {
    case SP__JOB_RECORD__BODY_DEFINITION:
      return g_strconcat ("d/", record->definition->id, NULL);
    case SP__JOB_RECORD__BODY_CANCEL:
      return g_strconcat ("c/", record->cancel->id, NULL);
    case SP__JOB_RECORD__BODY_PROGRESS:
      return g_strconcat ("p/", record->progress->id, NULL);
    case SP__JOB_RECORD__BODY_WAVE:
      return g_strdup_printf ("w/%u", record->wave->wave);
    case SP__JOB_RECORD__BODY_HOST_COMMANDS:
      return g_strdup (HOST_COMMANDS_KEY);
    case SP__JOB_RECORD__BODY_HOST:
      return g_strconcat (HOST_PREFIX, record->host->name, NULL);
    default:
      return g_strdup (LEADER_KEY);
    }
}

/* Serializes a record. */
GBytes *
job_record_pack (const Sp__JobRecord *record)
{
  size_t len = sp__job_record__get_packed_size (record);
  uint8_t *data = g_malloc (len);

  sp__job_record__pack (record, data);
  return g_bytes_new_take (data, len);
}

/* Returns whether a task has any progress to record. */
static bool
task_has_progress (const struct task *task)
{
  return task->done || task->n_failed > 0 || task->ended_attempt > 0 || task->n_crashed > 0 ||
         task->n_possibly_crashed > 0 || task->survived_attempt > 0 || task->trial_attempt > 0;
}

/* Creates a progress record of a job. For a final state the tasks are left out. */
Sp__JobProgress *
job_progress_create (const struct job *job, Sp__JobState state)
{
  Sp__JobProgress *progress = g_new (Sp__JobProgress, 1);
  bool final = job_state_is_final (state);

  sp__job_progress__init (progress);
  progress->id = job->id;
  progress->state = state;
  if (final)
    {
      progress->queue = job->definition->queue;
      progress->workspace = job->definition->workspace;
      return progress;
    }
  progress->tasks = g_new (Sp__TaskProgress *, MAX (job->n_tasks, 1));
  for (uint32_t i = 0; i < job->n_tasks; i++)
    {
      const struct task *task = &job->tasks[i];
      Sp__TaskProgress *entry;

      if (!task_has_progress (task))
        continue;
      entry = g_new (Sp__TaskProgress, 1);
      sp__task_progress__init (entry);
      entry->task = i;
      entry->done = task->done;
      entry->n_failed_attempts = task->n_failed;
      entry->failed_attempts = task->failed_attempts;
      entry->n_crashed_attempts = task->n_crashed;
      entry->crashed_attempts = task->crashed_attempts;
      entry->n_possibly_crashed_attempts = task->n_possibly_crashed;
      entry->possibly_crashed_attempts = task->possibly_crashed_attempts;
      entry->survived_attempt = task->survived_attempt;
      entry->trial_attempt = task->trial_attempt;
      if (task->trial_endpoint)
        entry->trial_endpoint = task->trial_endpoint;
      entry->trial_born_ms = task->trial_born_ms;
      entry->trial_ended_attempt = task->trial_ended_attempt;
      entry->ended_attempt = task->ended_attempt;
      if (task->checkpoint && !task->done)
        entry->checkpoint = task->checkpoint;
      progress->tasks[progress->n_tasks++] = entry;
    }
  return progress;
}

/* Frees a progress record; its strings belong to the job. */
void
job_progress_destroy (Sp__JobProgress *progress)
{
  for (size_t i = 0; i < progress->n_tasks; i++)
    g_free (progress->tasks[i]);
  g_free (progress->tasks);
  g_free (progress);
}

/* Returns the keys of all records of a job, that of its progress last. */
char **
job_record_keys (const char *id)
{
  char **keys = g_new0 (char *, JOB_KEYS + 1);

  keys[JOB_KEY_DEFINITION] = g_strconcat ("d/", id, NULL);
  keys[JOB_KEY_CANCEL] = g_strconcat ("c/", id, NULL);
  keys[JOB_KEY_PROGRESS] = g_strconcat ("p/", id, NULL);
  return keys;
}
