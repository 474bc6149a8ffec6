#include "lib/config_check/config_check.h"

#include <string.h>

/* A workspace that runs at most what its cap allows may still run one task; a thousandth of a core
 * or a megabyte is the least that a task requests. */
enum
{
  TASK_CPU_MIN_MILLI = 10,
  TASK_MEMORY_MIN_MB = 4,
  /* Findings that are printed for each workspace's keys; a copied list would fill the output. */
  KEY_FINDINGS_MAX = 5,
};

static char *
route_name (const struct config_route *route)
{
  return g_strconcat (route->host, route->prefix, NULL);
}

/* Returns a table of a document's pools by name. */
static GHashTable *
pools_by_name (const struct config_document *document)
{
  GHashTable *pools = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < document->pools->len; i++)
    {
      struct config_pool *pool = g_ptr_array_index (document->pools, i);

      if (pool->name && !g_hash_table_contains (pools, pool->name))
        g_hash_table_insert (pools, pool->name, pool);
    }
  return pools;
}

static GHashTable *
workspaces_by_name (const struct config_document *document)
{
  GHashTable *workspaces = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < document->workspaces->len; i++)
    {
      struct config_workspace *workspace = g_ptr_array_index (document->workspaces, i);

      if (workspace->name && !g_hash_table_contains (workspaces, workspace->name))
        g_hash_table_insert (workspaces, workspace->name, workspace);
    }
  return workspaces;
}

/* Returns a table of a document's routes by host and prefix. Of several with the same the first
 * counts. The host's letter case doesn't matter. */
static GHashTable *
routes_by_name (const struct config_document *document)
{
  GHashTable *routes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; i < document->routes->len; i++)
    {
      struct config_route *route = g_ptr_array_index (document->routes, i);
      g_autofree char *host = NULL;
      char *name;

      if (!route->host || !route->prefix)
        continue;
      host = g_ascii_strdown (route->host, -1);
      name = g_strconcat (host, route->prefix, NULL);
      if (g_hash_table_contains (routes, name))
        g_free (name);
      else
        g_hash_table_insert (routes, name, route);
    }
  return routes;
}

/* Returns the route of a table with the same host and prefix, or NULL. */
static struct config_route *
routes_find (GHashTable *routes, const struct config_route *route)
{
  g_autofree char *host = g_ascii_strdown (route->host, -1);
  g_autofree char *name = g_strconcat (host, route->prefix, NULL);

  return g_hash_table_lookup (routes, name);
}

static void
check_route (const struct config_route *route, GHashTable *routes, GHashTable *pools,
             GPtrArray *findings)
{
  const struct config_route *first;
  const struct config_pool *pool;

  if (!route->host || !route->prefix || !route->pool)
    return;
  first = routes_find (routes, route);
  pool = g_hash_table_lookup (pools, route->pool);
  if (first != route)
    config_findings_add (findings, CONFIG_UNUSED, &route->place, CONFIG_PREFIX,
                         "never matches: hidden by the entry %u with the same host and prefix",
                         first->place.index);
  if (route->prefix[0] != '/')
    config_findings_add (findings, CONFIG_UNUSED, &route->place, CONFIG_PREFIX,
                         "never matches: expected a prefix that begins with /");
  if (!pool)
    config_findings_add (findings, CONFIG_ERROR, &route->place, CONFIG_POOL,
                         "expected the name of a pool of this configuration");
  else if (pool->standby)
    config_findings_add (findings, CONFIG_CONTRADICTION, &route->place, CONFIG_POOL,
                         "the entry %u of the pools is a standby pool, whose hosts run no tasks",
                         pool->place.index);
  if (route->timeout_ms > 0 && route->target_ms > route->timeout_ms)
    config_findings_add (findings, CONFIG_CONTRADICTION, &route->place, CONFIG_TARGET,
                         "%" G_GINT64_FORMAT
                         " ms is above the time after which the call ends, %" G_GINT64_FORMAT,
                         route->target_ms, route->timeout_ms);
  if (route->slack_factor == 0 && route->target_ms <= 0)
    config_findings_add (findings, CONFIG_CONTRADICTION, &route->place, CONFIG_SLACK_FACTOR,
                         "0 without a target latency: every job is late at once");
}

static void
check_cap (const struct config_workspace *workspace, GPtrArray *findings)
{
  const struct resources *cap = &workspace->cap;

  if (cap->cpu_milli > 0 && cap->cpu_milli < TASK_CPU_MIN_MILLI)
    config_findings_add (findings, CONFIG_CONTRADICTION, &workspace->place, CONFIG_CAP_CPU,
                         "%" G_GINT64_FORMAT " thousandths of a core is below one task",
                         cap->cpu_milli);
  if (cap->memory_mb > 0 && cap->memory_mb < TASK_MEMORY_MIN_MB)
    config_findings_add (findings, CONFIG_CONTRADICTION, &workspace->place, CONFIG_CAP_MEMORY,
                         "%" G_GINT64_FORMAT " MB is below one task", cap->memory_mb);
}

/* Checks a workspace's keys against those of the workspaces before it. owners holds the workspace
 * that first had a digest. */
static void
check_keys (const struct config_workspace *workspace, GHashTable *owners, GPtrArray *findings)
{
  unsigned n_usable = 0;
  unsigned n_findings = 0;

  for (guint i = 0; i < workspace->keys->len; i++)
    {
      const char *digest = g_ptr_array_index (workspace->keys, i);
      const struct config_workspace *owner;
      struct config_finding *finding;

      if (digest[0] == '\0')
        continue;
      n_usable++;
      owner = g_hash_table_lookup (owners, digest);
      if (!owner)
        g_hash_table_insert (owners, (gpointer) digest, (gpointer) workspace);
      else if (n_findings++ >= KEY_FINDINGS_MAX)
        continue;
      else if (owner == workspace)
        {
          finding = config_findings_add (findings, CONFIG_UNUSED, &workspace->place, CONFIG_KEYS,
                                         "the workspace has this key twice");
          finding->item = (int) i;
        }
      else
        {
          finding = config_findings_add (
              findings, CONFIG_UNUSED, &workspace->place, CONFIG_KEYS,
              "%s (entry %u) has the same key, so that it belongs to neither",
              owner->name ? owner->name : "a workspace without a name", owner->place.index);
          finding->item = (int) i;
        }
    }
  if (n_findings > KEY_FINDINGS_MAX)
    config_findings_add (findings, CONFIG_UNUSED, &workspace->place, CONFIG_KEYS,
                         "%u more keys are in the configuration several times",
                         n_findings - KEY_FINDINGS_MAX);
  if (n_usable == 0)
    config_findings_add (findings, CONFIG_UNUSED, &workspace->place, CONFIG_KEYS,
                         "the workspace has no key, so that no call can name it");
}

static void
check_workspaces (const struct config_document *document, GPtrArray *findings)
{
  g_autoptr (GHashTable) owners = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GHashTable) names = workspaces_by_name (document);

  for (guint i = 0; i < document->workspaces->len; i++)
    {
      const struct config_workspace *workspace = g_ptr_array_index (document->workspaces, i);
      const struct config_workspace *first =
          workspace->name ? g_hash_table_lookup (names, workspace->name) : workspace;

      if (first != workspace)
        config_findings_add (findings, CONFIG_UNUSED, &workspace->place, CONFIG_NAME,
                             "the entry %u has the same name", first->place.index);
      if (workspace->weight == 0)
        config_findings_add (findings, CONFIG_CONTRADICTION, &workspace->place, CONFIG_WEIGHT,
                             "0: the workspace would have no share when all capacity is in use");
      check_cap (workspace, findings);
      check_keys (workspace, owners, findings);
    }
}

void
config_check (const struct config_document *document, GPtrArray *findings)
{
  g_autoptr (GHashTable) pools = pools_by_name (document);
  g_autoptr (GHashTable) routes = routes_by_name (document);

  for (guint i = 0; i < document->pools->len; i++)
    {
      const struct config_pool *pool = g_ptr_array_index (document->pools, i);
      const struct config_pool *first = pool->name ? g_hash_table_lookup (pools, pool->name) : pool;

      if (first != pool)
        config_findings_add (findings, CONFIG_UNUSED, &pool->place, CONFIG_NAME,
                             "the entry %u has the same name", first->place.index);
    }
  for (guint i = 0; i < document->routes->len; i++)
    check_route (g_ptr_array_index (document->routes, i), routes, pools, findings);
  check_workspaces (document, findings);
}

/* Adds a changed number. */
static void
compare_number (GPtrArray *findings, const struct config_place *place, enum config_member member,
                double before, double now, const char *effect)
{
  if (before != now)
    config_findings_add (findings, CONFIG_CHANGED, place, member, "%g, was %g: %s", now, before,
                         effect);
}

static void
compare_route (const struct config_route *route, const struct config_route *before,
               GPtrArray *findings)
{
  const struct config_place *place = &route->place;

  if (g_strcmp0 (route->pool, before->pool) != 0)
    config_findings_add (findings, CONFIG_CHANGED, place, CONFIG_POOL,
                         "%s, was %s: new jobs run in the other pool", route->pool, before->pool);
  if (route->is_public != before->is_public)
    config_findings_add (findings, CONFIG_CHANGED, place, CONFIG_PUBLIC, "%s",
                         route->is_public ? "true, was false: calls need no key any more"
                                          : "false, was true: calls without a key get 401");
  compare_number (findings, place, CONFIG_PRIORITY, (double) before->priority,
                  (double) route->priority, "order of new jobs in the pool");
  compare_number (findings, place, CONFIG_MAX_ATTEMPTS, (double) before->max_attempts,
                  (double) route->max_attempts, "failures after which a new job fails");
  compare_number (findings, place, CONFIG_SLACK_FACTOR, before->slack_factor, route->slack_factor,
                  "objective of new jobs");
  compare_number (findings, place, CONFIG_TARGET, (double) before->target_ms,
                  (double) route->target_ms, "objective of new jobs");
  compare_number (findings, place, CONFIG_TIMEOUT, (double) before->timeout_ms,
                  (double) route->timeout_ms, "time after which a call ends");
}

static void
compare_routes (const struct config_document *document, const struct config_document *in_force,
                GPtrArray *findings)
{
  g_autoptr (GHashTable) now = routes_by_name (document);
  g_autoptr (GHashTable) before = routes_by_name (in_force);

  for (guint i = 0; i < document->routes->len; i++)
    {
      const struct config_route *route = g_ptr_array_index (document->routes, i);
      const struct config_route *old;
      g_autofree char *name = NULL;

      if (!route->host || !route->prefix || routes_find (now, route) != route)
        continue;
      name = route_name (route);
      old = routes_find (before, route);
      if (old)
        compare_route (route, old, findings);
      else
        config_findings_add (findings, CONFIG_ADDED, &route->place, CONFIG_NO_MEMBER,
                             "%s: calls are accepted for pool %s", name,
                             route->pool ? route->pool : "-");
    }
  for (guint i = 0; i < in_force->routes->len; i++)
    {
      const struct config_route *old = g_ptr_array_index (in_force->routes, i);
      g_autofree char *name = NULL;

      if (!old->host || !old->prefix || routes_find (before, old) != old || routes_find (now, old))
        continue;
      name = route_name (old);
      config_findings_add (
          findings, CONFIG_REMOVED,
          &(struct config_place){ .list = CONFIG_ROUTES, .index = old->place.index },
          CONFIG_NO_MEMBER, "%s (index in force): calls get 404, accepted jobs run on", name);
    }
}

static void
compare_pools (const struct config_document *document, const struct config_document *in_force,
               GPtrArray *findings)
{
  g_autoptr (GHashTable) now = pools_by_name (document);
  g_autoptr (GHashTable) before = pools_by_name (in_force);

  for (guint i = 0; i < document->pools->len; i++)
    {
      const struct config_pool *pool = g_ptr_array_index (document->pools, i);
      const struct config_pool *old = pool->name ? g_hash_table_lookup (before, pool->name) : NULL;

      if (!pool->name || g_hash_table_lookup (now, pool->name) != pool)
        continue;
      if (!old)
        config_findings_add (findings, CONFIG_ADDED, &pool->place, CONFIG_NO_MEMBER, "pool %s",
                             pool->name);
      else if (old->standby != pool->standby)
        config_findings_add (findings, CONFIG_CHANGED, &pool->place, CONFIG_STANDBY, "%s",
                             pool->standby ? "true, was false: its hosts are switched off"
                                           : "false, was true: its hosts serve jobs");
    }
  for (guint i = 0; i < in_force->pools->len; i++)
    {
      const struct config_pool *old = g_ptr_array_index (in_force->pools, i);

      if (old->name && g_hash_table_lookup (before, old->name) == old &&
          !g_hash_table_contains (now, old->name))
        config_findings_add (
            findings, CONFIG_REMOVED,
            &(struct config_place){ .list = CONFIG_POOLS, .index = old->place.index },
            CONFIG_NO_MEMBER, "pool %s (index in force): its jobs get no hosts", old->name);
    }
}

/* Counts the keys of a workspace that another one lacks. */
static unsigned
count_keys_missing (const struct config_workspace *from, const struct config_workspace *in)
{
  g_autoptr (GHashTable) keys = g_hash_table_new (g_str_hash, g_str_equal);
  unsigned n = 0;

  for (guint i = 0; i < in->keys->len; i++)
    g_hash_table_add (keys, g_ptr_array_index (in->keys, i));
  for (guint i = 0; i < from->keys->len; i++)
    {
      const char *digest = g_ptr_array_index (from->keys, i);

      n += digest[0] != '\0' && !g_hash_table_contains (keys, digest);
    }
  return n;
}

static void
compare_workspace (const struct config_workspace *workspace, const struct config_workspace *before,
                   GPtrArray *findings)
{
  const struct config_place *place = &workspace->place;
  unsigned n_added = count_keys_missing (workspace, before);
  unsigned n_removed = count_keys_missing (before, workspace);
  static const char cap[] = "limit on what may run; nothing that runs is stopped";

  if (n_added > 0)
    config_findings_add (findings, CONFIG_CHANGED, place, CONFIG_KEYS, "%u keys added to %s",
                         n_added, workspace->name);
  if (n_removed > 0)
    config_findings_add (findings, CONFIG_CHANGED, place, CONFIG_KEYS,
                         "%u keys removed from %s: calls with them get 401", n_removed,
                         workspace->name);
  compare_number (findings, place, CONFIG_WEIGHT, before->weight, workspace->weight,
                  "share when all capacity is in use");
  compare_number (findings, place, CONFIG_CAP_CPU, (double) before->cap.cpu_milli,
                  (double) workspace->cap.cpu_milli, cap);
  compare_number (findings, place, CONFIG_CAP_MEMORY, (double) before->cap.memory_mb,
                  (double) workspace->cap.memory_mb, cap);
  compare_number (findings, place, CONFIG_CAP_GPUS, (double) before->cap.gpus,
                  (double) workspace->cap.gpus, cap);
}

static void
compare_workspaces (const struct config_document *document, const struct config_document *in_force,
                    GPtrArray *findings)
{
  g_autoptr (GHashTable) now = workspaces_by_name (document);
  g_autoptr (GHashTable) before = workspaces_by_name (in_force);

  for (guint i = 0; i < document->workspaces->len; i++)
    {
      const struct config_workspace *workspace = g_ptr_array_index (document->workspaces, i);
      const struct config_workspace *old;

      if (!workspace->name || g_hash_table_lookup (now, workspace->name) != workspace)
        continue;
      old = g_hash_table_lookup (before, workspace->name);
      if (old)
        compare_workspace (workspace, old, findings);
      else
        config_findings_add (findings, CONFIG_ADDED, &workspace->place, CONFIG_NO_MEMBER,
                             "workspace %s with %u keys", workspace->name, workspace->keys->len);
    }
  for (guint i = 0; i < in_force->workspaces->len; i++)
    {
      const struct config_workspace *old = g_ptr_array_index (in_force->workspaces, i);

      if (old->name && g_hash_table_lookup (before, old->name) == old &&
          !g_hash_table_contains (now, old->name))
        config_findings_add (
            findings, CONFIG_REMOVED,
            &(struct config_place){ .list = CONFIG_WORKSPACES, .index = old->place.index },
            CONFIG_NO_MEMBER,
            "workspace %s (index in force): calls with its keys get 401, its "
            "accepted jobs run on",
            old->name);
    }
}

void
config_compare (const struct config_document *document, const struct config_document *in_force,
                GPtrArray *findings)
{
  compare_routes (document, in_force, findings);
  compare_pools (document, in_force, findings);
  compare_workspaces (document, in_force, findings);
}
