#include "job_admission.h"

#include "common/log.h"
#include "lib/jobs/command_message.h"

enum
{
  /* Pools with metrics of their own. */
  POOL_METRICS_MAX = 32,
  /* How long a host remembers which jobs' records it has appended. Callers don't repeat a request
   * for longer. */
  APPENDED_MS = 600000,
  APPENDED_CHECK_MS = 10000,
  /* A host that has not read the journal to its end for this long may not know that a job is
   * stored, and refuses none. */
  JOURNAL_AGE_MAX_MS = 1000,
};

/* Metrics of the forecasts for a pool's least urgent jobs. */
struct pool_metrics
{
  struct metric wait;
  struct metric error;
  struct metric capacity;
  struct metric verified;
  struct metric verified_error;
};

struct job_admission
{
  struct jobd *jobd;
  struct load_admission *load;
  /* Id to the time of the last append, as int64_t. */
  GHashTable *appended;
  int64_t next_appended_check_ms;
  int64_t next_publish_ms;
  /* Pool name to struct pool_metrics. */
  GHashTable *pools;
  struct metric refused;
  struct metric forecasts;
};

static void
pool_metrics_free (gpointer data)
{
  struct pool_metrics *pool = data;

  metric_remove (&pool->wait);
  metric_remove (&pool->error);
  metric_remove (&pool->capacity);
  metric_remove (&pool->verified);
  metric_remove (&pool->verified_error);
  g_free (pool);
}

struct job_admission *
job_admission_create (struct jobd *jobd)
{
  struct job_admission *admission;

  if (!jobd->settings->load_admission)
    return NULL;
  admission = g_new0 (struct job_admission, 1);
  admission->jobd = jobd;
  admission->load = load_admission_create (jobd->settings->share_window_ms);
  admission->appended = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  admission->pools = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, pool_metrics_free);
  metric_add_counter (&jobd->metrics, &admission->refused, "sesamepick_jobd_load_refused_total", "",
                      "Jobs that were refused because they would have been done too late.");
  metric_add_counter (&jobd->metrics, &admission->forecasts, "sesamepick_jobd_outlooks_total", "",
                      "Forecasts of the leader that this host has received.");
  return admission;
}

void
job_admission_destroy (struct job_admission *admission)
{
  if (!admission)
    return;
  load_admission_destroy (admission->load);
  g_hash_table_destroy (admission->appended);
  g_hash_table_destroy (admission->pools);
  metric_remove (&admission->refused);
  metric_remove (&admission->forecasts);
  g_free (admission);
}

/* Returns the metrics of a pool, or NULL if there are POOL_METRICS_MAX pools already. */
static struct pool_metrics *
job_admission_pool (struct job_admission *admission, const char *name)
{
  struct pool_metrics *pool = g_hash_table_lookup (admission->pools, name);
  struct metrics *metrics = &admission->jobd->metrics;
  g_autofree char *labels = NULL;

  if (pool || g_hash_table_size (admission->pools) >= POOL_METRICS_MAX)
    return pool;
  labels = g_strdup_printf ("pool=\"%s\"", name);
  pool = g_new0 (struct pool_metrics, 1);
  metric_add_gauge (metrics, &pool->wait, "sesamepick_jobd_outlook_wait_milliseconds", labels,
                    "Forecast wait of a job that arrives now.");
  metric_add_gauge (metrics, &pool->error, "sesamepick_jobd_outlook_error_milliseconds", labels,
                    "Expected error of the forecast wait.");
  metric_add_gauge (metrics, &pool->capacity, "sesamepick_jobd_outlook_capacity_permille", labels,
                    "Capacity over the work that arrived lately.");
  metric_add_counter (metrics, &pool->verified, "sesamepick_jobd_forecasts_verified_total", labels,
                      "Forecasts of this leader that were compared with the actual start.");
  metric_add_counter (metrics, &pool->verified_error,
                      "sesamepick_jobd_forecast_error_milliseconds_total", labels,
                      "Sum of the errors of these forecasts.");
  g_hash_table_insert (admission->pools, g_strdup (name), pool);
  return pool;
}

/* Takes over forecasts. Pools without one have no wait. */
static void
job_admission_set (struct job_admission *admission, const GArray *entries, const GArray *lines)
{
  GHashTableIter iter;
  gpointer value;

  admission->forecasts.value++;
  load_admission_set (admission->load, (const struct admission_pool_entry *) entries->data,
                      entries->len, (const struct admission_queue_line *) lines->data, lines->len,
                      jobd_now_ms (admission->jobd));
  g_hash_table_iter_init (&iter, admission->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct pool_metrics *pool = value;

      pool->wait.value = 0;
      pool->error.value = 0;
    }
  for (guint i = 0; i < entries->len; i++)
    {
      const struct admission_pool_entry *entry =
          &g_array_index (entries, struct admission_pool_entry, i);
      struct pool_metrics *pool = job_admission_pool (admission, entry->pool);

      if (!pool)
        continue;
      pool->wait.value = entry->entry.wait_ms;
      pool->error.value = entry->entry.error_ms;
      pool->capacity.value = entry->entry.capacity_permille;
    }
}

void
job_admission_on_batch (struct job_admission *admission, const Sp__CommandBatch *batch)
{
  g_autoptr (GArray) entries = g_array_new (FALSE, FALSE, sizeof (struct admission_pool_entry));
  g_autoptr (GArray) lines = g_array_new (FALSE, FALSE, sizeof (struct admission_queue_line));

  if (!admission || batch->n_outlooks == 0)
    return;
  command_batch_get_outlook (batch, entries, lines);
  job_admission_set (admission, entries, lines);
}

/* Copies what was verified of a pool's forecasts into its metrics; ctx is the struct
 * job_admission. */
static void
job_admission_on_pool (void *ctx, const char *name, const struct pool_outlook *outlook)
{
  struct pool_metrics *pool = job_admission_pool (ctx, name);

  if (!pool)
    return;
  pool->verified.value = (int64_t) outlook->n_forecasts;
  pool->verified_error.value = outlook->errors_ms;
}

void
job_admission_publish (struct job_admission *admission, const struct scheduler *scheduler,
                       struct command_sender *sender)
{
  g_autoptr (GArray) entries = NULL;
  g_autoptr (GArray) lines = NULL;
  int64_t now_ms;

  if (!admission)
    return;
  now_ms = jobd_now_ms (admission->jobd);
  if (now_ms < admission->next_publish_ms)
    return;
  admission->next_publish_ms = now_ms + OUTLOOK_INTERVAL_MS;
  entries = g_array_new (FALSE, FALSE, sizeof (struct admission_pool_entry));
  lines = g_array_new (FALSE, FALSE, sizeof (struct admission_queue_line));
  scheduler_foreach_outlook (scheduler, job_admission_on_pool, admission);
  if (!scheduler_list_outlook (scheduler, entries, lines))
    return;
  command_sender_send_outlook (sender, entries, lines);
  job_admission_set (admission, entries, lines);
}

void
job_admission_on_defined (struct job_admission *admission, const struct job *job)
{
  int64_t age_ms;

  if (!admission)
    return;
  /* A host that starts reads jobs that were accepted long ago. */
  age_ms = admission->jobd->clock.wall_ms - job->definition->accepted_ms;
  if (age_ms < (int64_t) admission->jobd->settings->share_window_ms)
    load_admission_count (admission->load, job->definition->workspace,
                          jobd_now_ms (admission->jobd));
}

static gboolean
appended_is_old (gpointer key, gpointer value, gpointer ctx)
{
  (void) key;
  return *(int64_t *) ctx - *(int64_t *) value > APPENDED_MS;
}

void
job_admission_on_append (struct job_admission *admission, const char *id)
{
  int64_t *at_ms;
  int64_t now_ms;

  if (!admission)
    return;
  now_ms = jobd_now_ms (admission->jobd);
  at_ms = g_new (int64_t, 1);
  *at_ms = now_ms;
  g_hash_table_replace (admission->appended, g_strdup (id), at_ms);
  if (now_ms < admission->next_appended_check_ms)
    return;
  admission->next_appended_check_ms = now_ms + APPENDED_CHECK_MS;
  g_hash_table_foreach_remove (admission->appended, appended_is_old, &now_ms);
}

/* Returns the number of jobs a second to which a workspace is entitled, or 0 if there are no
 * workspaces. Jobs without a workspace are entitled to the mean of all. */
static double
job_admission_weight (const struct job_admission *admission, const char *name)
{
  const struct workspace_table *table = admission->jobd->queues->workspaces;
  const struct workspace *workspace;
  double sum = 0.0;

  if (!table || workspace_table_is_empty (table))
    return 0.0;
  workspace = workspace_table_find (table, name);
  if (workspace)
    return workspace->weight;
  for (guint i = 0; i < table->workspaces->len; i++)
    sum += ((const struct workspace *) g_ptr_array_index (table->workspaces, i))->weight;
  return sum / table->workspaces->len;
}

/* Returns whether it may be said of a job that it is not stored. */
static bool
job_admission_may_refuse (const struct job_admission *admission,
                          const Sp__JobDefinition *definition)
{
  const struct jobd *jobd = admission->jobd;
  int64_t unread_ms = jobd_now_ms (admission->jobd) - topic_reader_caught_up_ms (jobd->journal);

  return unread_ms <= JOURNAL_AGE_MAX_MS && definition->repeats == 0 &&
         !definition->steps[0]->long_running && !job_table_find (&jobd->jobs, definition->id) &&
         !g_hash_table_contains (admission->appended, definition->id);
}

int
job_admission_refuse (struct job_admission *admission, const Sp__JobDefinition *definition)
{
  struct admission_request request;
  struct admission_decision decision;
  struct duration_line line;

  if (!admission || !job_admission_may_refuse (admission, definition))
    return 0;
  line = load_admission_line (admission->load, definition->queue);
  request = (struct admission_request){
    .id = definition->id,
    .pool = definition->pool,
    .priority = definition->priority,
    .workspace = definition->workspace,
    .weight = job_admission_weight (admission, definition->workspace),
    .path_ms = definition_critical_path_ms (definition, &line),
    .residual = line.residual,
    .cpu_milli = definition->steps[0]->cpu_milli,
    .memory_mb = definition->steps[0]->memory_mb,
  };
  request.objective_ms = job_definition_objective_ms (definition, request.path_ms);
  load_admission_decide (admission->load, &request, jobd_now_ms (admission->jobd), &decision);
  if (!decision.refused)
    return 0;
  admission->refused.value++;
  log_info ("admission",
            "job refused, it would be done too late: job=%s queue=\"%s\" pool=%s priority=%u"
            " wait_ms=%" G_GINT64_FORMAT " error_ms=%" G_GINT64_FORMAT
            " outlook_age_ms=%" G_GINT64_FORMAT " objective_ms=%" G_GINT64_FORMAT
            " excess_permille=%u workspace=\"%s\" retry_after_s=%d",
            definition->id, definition->queue, definition->pool, definition->priority,
            decision.wait_ms, decision.error_ms, decision.age_ms, request.objective_ms,
            decision.excess_permille, definition->workspace, decision.retry_after_s);
  return decision.retry_after_s;
}
