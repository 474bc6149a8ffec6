#include "lib/admission/load_admission.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

enum
{
  PERMILLE = 1000,
  MS_PER_S = 1000,
  /* A forecast that is older is not believed: the leader sends one each 100 ms, so this one is lost
   * or cut off. */
  OUTLOOK_AGE_MAX_MS = 1500,
  /* A job counts nothing beyond this multiple of its objective. */
  HOPELESS_OBJECTIVES = 3,
  RETRY_AFTER_MAX_S = 60,
};

/* A decayed count. */
struct decayed
{
  double value;
  int64_t at_ms;
};

/* A workspace. */
struct admission_workspace
{
  /* Jobs that hosts have accepted, and what its last request said of its weight. */
  struct decayed accepted;
  double weight;
};

/* A pool, as far as jobs were sent to this host. */
struct admission_pool
{
  struct outlook_entry entries[OUTLOOK_PRIORITIES_MAX];
  unsigned n_entries;
  struct decayed arrivals;
  struct decayed refused;
  /* Arrivals by workspace name, as struct decayed. */
  GHashTable *by_workspace;
};

struct load_admission
{
  int64_t window_ms;
  /* When the last forecasts came; -1 before the first. */
  int64_t set_ms;
  /* Pool name to struct admission_pool, queue name to struct duration_line, and workspace name to
   * struct admission_workspace. */
  GHashTable *pools;
  GHashTable *lines;
  GHashTable *workspaces;
};

static void
admission_pool_free (gpointer data)
{
  struct admission_pool *pool = data;

  g_hash_table_destroy (pool->by_workspace);
  g_free (pool);
}

struct load_admission *
load_admission_create (int64_t window_ms)
{
  struct load_admission *admission = g_new0 (struct load_admission, 1);

  admission->window_ms = MAX (window_ms, 1);
  admission->set_ms = -1;
  admission->pools = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, admission_pool_free);
  admission->lines = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  admission->workspaces = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return admission;
}

void
load_admission_destroy (struct load_admission *admission)
{
  g_hash_table_destroy (admission->pools);
  g_hash_table_destroy (admission->lines);
  g_hash_table_destroy (admission->workspaces);
  g_free (admission);
}

/* Returns a decayed count as of now_ms. */
static double
decayed_value (const struct decayed *decayed, int64_t now_ms, int64_t window_ms)
{
  return decayed->value * exp (-(double) MAX (now_ms - decayed->at_ms, 0) / (double) window_ms);
}

static void
decayed_add (struct decayed *decayed, double n, int64_t now_ms, int64_t window_ms)
{
  decayed->value = decayed_value (decayed, now_ms, window_ms) + n;
  decayed->at_ms = now_ms;
}

/* Returns a zeroed value of a table, which is added if it is missing. */
static gpointer
table_get_or_add (GHashTable *table, const char *name, gsize size)
{
  gpointer value = g_hash_table_lookup (table, name);

  if (!value)
    {
      value = g_malloc0 (size);
      g_hash_table_insert (table, g_strdup (name), value);
    }
  return value;
}

static struct admission_pool *
load_admission_pool (struct load_admission *admission, const char *name)
{
  struct admission_pool *pool =
      table_get_or_add (admission->pools, name, sizeof (struct admission_pool));

  if (!pool->by_workspace)
    pool->by_workspace = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return pool;
}

void
load_admission_set (struct load_admission *admission, const struct admission_pool_entry *entries,
                    size_t n_entries, const struct admission_queue_line *lines, size_t n_lines,
                    int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  admission->set_ms = now_ms;
  g_hash_table_iter_init (&iter, admission->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct admission_pool *) value)->n_entries = 0;
  for (size_t i = 0; i < n_entries; i++)
    {
      struct admission_pool *pool = load_admission_pool (admission, entries[i].pool);

      if (pool->n_entries < OUTLOOK_PRIORITIES_MAX)
        pool->entries[pool->n_entries++] = entries[i].entry;
    }
  g_hash_table_remove_all (admission->lines);
  for (size_t i = 0; i < n_lines; i++)
    {
      struct duration_line *line = g_new (struct duration_line, 1);

      *line = lines[i].line;
      g_hash_table_replace (admission->lines, g_strdup (lines[i].queue), line);
    }
}

struct duration_line
load_admission_line (const struct load_admission *admission, const char *queue)
{
  const struct duration_line *line = g_hash_table_lookup (admission->lines, queue);

  return line ? *line : duration_line_plain ();
}

void
load_admission_count (struct load_admission *admission, const char *name, int64_t now_ms)
{
  struct admission_workspace *workspace =
      table_get_or_add (admission->workspaces, name, sizeof (struct admission_workspace));

  decayed_add (&workspace->accepted, 1.0, now_ms, admission->window_ms);
}

/* Returns the rate of a workspace's accepted jobs relative to its weight; 0 for one without. */
static double
workspace_use (const struct load_admission *admission, const char *name, int64_t now_ms)
{
  const struct admission_workspace *workspace = g_hash_table_lookup (admission->workspaces, name);

  if (!workspace || workspace->weight <= 0.0)
    return 0.0;
  return decayed_value (&workspace->accepted, now_ms, admission->window_ms) * MS_PER_S /
         (double) admission->window_ms / workspace->weight;
}

/* Returns the share of a pool's arrivals that come from workspaces with a higher use than the given
 * one, which are refused before it. */
static double
pool_share_before (const struct load_admission *admission, const struct admission_pool *pool,
                   const char *name, int64_t now_ms)
{
  double use = workspace_use (admission, name, now_ms);
  double arrivals = decayed_value (&pool->arrivals, now_ms, admission->window_ms);
  double before = 0.0;
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, pool->by_workspace);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      if (workspace_use (admission, key, now_ms) > use)
        before += decayed_value (value, now_ms, admission->window_ms);
    }
  return arrivals > 0.0 ? before / arrivals : 0.0;
}

/* Returns the share of a pool's arrivals at this host that exceeds the capacity. The leader
 * compares the capacity with the jobs that were accepted, so those that were refused here are
 * added. */
static double
pool_excess (const struct load_admission *admission, const struct admission_pool *pool,
             const struct outlook_entry *entry, int64_t now_ms)
{
  double arrivals = decayed_value (&pool->arrivals, now_ms, admission->window_ms);
  double refused = decayed_value (&pool->refused, now_ms, admission->window_ms);
  double served = (arrivals - refused) * entry->capacity_permille / PERMILLE;

  return arrivals > 0.0 ? MAX (1.0 - served / arrivals, 0.0) : 0.0;
}

/* Returns whether a job would not be done in three times its objective even if its forecast is too
 * long by its error and its tasks are shorter than expected by their standard deviation. */
static bool
request_is_hopeless (const struct admission_request *request,
                     const struct admission_decision *decision)
{
  double least_ms = (double) (decision->wait_ms - decision->error_ms) +
                    (double) request->path_ms * exp (-request->residual);

  return decision->error_ms <= decision->wait_ms &&
         least_ms > (double) HOPELESS_OBJECTIVES * (double) request->objective_ms;
}

/* Returns the seconds after which a refused job should be sent again: when what waits now has
 * started or up to as long again later, spread by id and slack. Those with the smaller slack come
 * first, as they are the first to be hopeless again. */
static int
request_retry_after_s (const struct admission_request *request, int64_t wait_ms)
{
  double id = (double) (XXH64 (request->id, strlen (request->id), 0) % PERMILLE) / PERMILLE;
  double slack_ms = (double) MAX (request->objective_ms - request->path_ms, 0);
  double slack = slack_ms / (slack_ms + (double) wait_ms + 1.0);
  double seconds = ceil ((double) wait_ms * (1.0 + (id + slack) / 2.0) / MS_PER_S);

  return (int) CLAMP (seconds, 1.0, RETRY_AFTER_MAX_S);
}

/* Returns whether one more refusal stays within the share of the arrivals that exceeds the
 * capacity, this arrival included, and the workspace's turn to be refused has come. */
static bool
pool_may_refuse (const struct load_admission *admission, const struct admission_pool *pool,
                 const struct admission_request *request, double excess, int64_t now_ms)
{
  double arrivals = decayed_value (&pool->arrivals, now_ms, admission->window_ms);
  double refused = decayed_value (&pool->refused, now_ms, admission->window_ms);

  return refused + 1.0 <= excess * arrivals &&
         pool_share_before (admission, pool, request->workspace, now_ms) < excess;
}

/* Fills in the forecast for a request. Returns it, or NULL if there is none that is believed. */
static const struct outlook_entry *
load_admission_forecast (const struct load_admission *admission, const struct admission_pool *pool,
                         const struct admission_request *request, int64_t now_ms,
                         struct admission_decision *decision)
{
  const struct outlook_entry *entry =
      outlook_find (pool->entries, pool->n_entries, request->priority);

  if (!entry || admission->set_ms < 0)
    return NULL;
  decision->age_ms = now_ms - admission->set_ms;
  decision->wait_ms = outlook_entry_wait_ms (entry, request->objective_ms - request->path_ms);
  /* The error is in proportion to the wait. */
  decision->error_ms = (int64_t) ((double) entry->error_ms * (double) decision->wait_ms /
                                  (double) MAX (entry->wait_ms, 1));
  return decision->age_ms <= OUTLOOK_AGE_MAX_MS ? entry : NULL;
}

void
load_admission_decide (struct load_admission *admission, const struct admission_request *request,
                       int64_t now_ms, struct admission_decision *decision)
{
  struct admission_pool *pool = load_admission_pool (admission, request->pool);
  struct admission_workspace *workspace = table_get_or_add (
      admission->workspaces, request->workspace, sizeof (struct admission_workspace));
  struct decayed *arrivals =
      table_get_or_add (pool->by_workspace, request->workspace, sizeof (struct decayed));
  const struct outlook_entry *entry;
  double excess;

  *decision = (struct admission_decision){ .age_ms = -1 };
  workspace->weight = request->weight;
  decayed_add (&pool->arrivals, 1.0, now_ms, admission->window_ms);
  decayed_add (arrivals, 1.0, now_ms, admission->window_ms);
  entry = load_admission_forecast (admission, pool, request, now_ms, decision);
  if (!entry ||
      (request->cpu_milli <= entry->free_cpu_milli && request->memory_mb <= entry->free_memory_mb))
    return;
  excess = pool_excess (admission, pool, entry, now_ms);
  decision->excess_permille = (unsigned) (excess * PERMILLE);
  if (!request_is_hopeless (request, decision) ||
      !pool_may_refuse (admission, pool, request, excess, now_ms))
    return;
  decision->refused = true;
  decision->retry_after_s = request_retry_after_s (request, entry->wait_ms);
  decayed_add (&pool->refused, 1.0, now_ms, admission->window_ms);
}
