#include "state.h"

#include <string.h>

#include "task_table.h"

/* Hosts as reported by the platform's host list, and the pool that each belongs to. The list
 * determines the pool of a new host; after that only confirmed plans move it. */

/* Returns whether the host counts towards the availability budget of its pool. */
bool
host_serves (const struct host *host)
{
  return host->state == HOST_SERVING && host->presence == SP__HOST_PRESENCE__HOST_PRESENCE_LIVE;
}

/* Adds the host to the counts of its pool and to the pool's list of hosts in steps. */
static void
pool_count_host (struct host *host)
{
  host->pool->n_hosts++;
  host->pool->n_serving += host_serves (host);
  if (host->state == HOST_SERVING)
    return;
  host->pool->n_stepping++;
  LIST_INSERT_HEAD (&host->pool->stepping, host, step_link);
}

/* Removes the host from the counts of its pool and from the pool's list of hosts in steps. */
static void
pool_uncount_host (struct host *host)
{
  host->pool->n_hosts--;
  host->pool->n_serving -= host_serves (host);
  if (host->state == HOST_SERVING)
    return;
  host->pool->n_stepping--;
  LIST_REMOVE (host, step_link);
}

/* Sets the host's state and presence, and updates the counts of its pool. */
void
host_set (struct host *host, enum host_state state, Sp__HostPresence presence)
{
  pool_uncount_host (host);
  host->state = state;
  host->presence = presence;
  pool_count_host (host);
}

/* Moves the host to another pool. */
void
host_move (struct host *host, struct pool *pool)
{
  pool_uncount_host (host);
  LIST_REMOVE (host, pool_link);
  host->pool = pool;
  LIST_INSERT_HEAD (&pool->hosts, host, pool_link);
  pool_count_host (host);
}

/* Adds a host to the pool, live and serving. */
struct host *
host_create (struct fleet *fleet, const char *name, struct pool *pool)
{
  struct host *host = g_new0 (struct host, 1);

  host->name = g_strdup (name);
  host->pool = pool;
  LIST_INSERT_HEAD (&fleet->hosts, host, link);
  LIST_INSERT_HEAD (&pool->hosts, host, pool_link);
  pool_count_host (host);
  g_hash_table_insert (fleet->hosts_by_name, host->name, host);
  return host;
}

/* Removes the host from all lists and frees it. */
void
host_destroy (struct host *host)
{
  pool_uncount_host (host);
  LIST_REMOVE (host, link);
  LIST_REMOVE (host, pool_link);
  g_free (host->changed.author);
  g_free (host->name);
  g_free (host->host_class);
  g_free (host->rack);
  g_free (host->data_centre);
  g_free (host->region);
  g_free (host->address);
  g_free (host);
}

void
gone_host_free (struct gone_host *gone)
{
  g_free (gone->name);
  g_free (gone->host_class);
  g_free (gone);
}

/* Remembers a removed host; drops the oldest one beyond FLEET_MAX_GONE_HOSTS. */
struct gone_host *
gone_host_add (struct fleet *fleet, const char *name, const char *host_class, uint64_t list_version)
{
  struct gone_host *added = g_new0 (struct gone_host, 1);
  struct gone_host *oldest;

  added->name = g_strdup (name);
  added->host_class = g_strdup (host_class);
  added->list_version = list_version;
  g_hash_table_replace (fleet->gone_by_name, added->name, added);
  STAILQ_INSERT_TAIL (&fleet->gone, added, link);
  fleet->n_gone++;
  if (fleet->n_gone <= FLEET_MAX_GONE_HOSTS)
    return added;
  oldest = STAILQ_FIRST (&fleet->gone);
  STAILQ_REMOVE_HEAD (&fleet->gone, link);
  fleet->n_gone--;
  fleet->gone_floor = MAX (fleet->gone_floor, oldest->list_version);
  if (g_hash_table_lookup (fleet->gone_by_name, oldest->name) == oldest)
    g_hash_table_remove (fleet->gone_by_name, oldest->name);
  gone_host_free (oldest);
  return added;
}

/* Removes a host from the host list, ends its step with STEP_GONE and counts a failure in its
 * pool's usage. */
void
host_remove (struct fleet *fleet, const struct record_context *at, struct host *host,
             uint64_t list_version)
{
  struct usage_month *usage = usage_row_at (fleet, host->pool->name, host->host_class, at->time_ms);
  struct gone_host *gone;

  if (usage)
    usage->failures++;
  if (host->plan)
    plan_end_step (fleet, host, STEP_GONE);
  change_set (&host->pool->changed, at);
  gone = gone_host_add (fleet, host->name, host->host_class, list_version);
  gone->usage_until_ms = host->usage_until_ms;
  worker_reset_failures (fleet->tasks, host->name);
  g_hash_table_remove (fleet->hosts_by_name, host->name);
  host_destroy (host);
}

/* Returns whether the entry may be older than a removal of the host: it is not newer than the
 * remembered removal or, if none is remembered, than gone_floor. */
static bool
host_seen_is_outdated (const struct fleet *fleet, const Sp__HostSeen *seen)
{
  const struct gone_host *gone = g_hash_table_lookup (fleet->gone_by_name, seen->host);

  return seen->list_version <= (gone ? gone->list_version : fleet->gone_floor);
}

/* Sets a string field. Returns whether it changed. */
static bool
set_string (char **field, const char *value)
{
  if (g_strcmp0 (*field, value) == 0)
    return false;
  g_free (*field);
  *field = g_strdup (value);
  return true;
}

/* Sets the host's class, location and address from an entry of the host list. Returns whether
 * anything changed. */
static bool
host_set_attributes (struct host *host, const Sp__HostSeen *seen)
{
  bool changed = host->port != seen->port;

  host->port = (uint16_t) seen->port;
  changed |= set_string (&host->host_class, seen->host_class);
  changed |= set_string (&host->rack, seen->rack);
  changed |= set_string (&host->data_centre, seen->data_centre);
  changed |= set_string (&host->region, seen->region);
  changed |= set_string (&host->address, seen->address);
  return changed;
}

/* Adds a host that was not on the list to the pool named by the platform, which is created if
 * necessary. */
static void
host_add_listed (struct fleet *fleet, const struct record_context *at, const Sp__HostSeen *seen,
                 struct verdict *verdict)
{
  struct pool *pool = fleet_find_pool (fleet, seen->pool);
  const struct gone_host *gone = g_hash_table_lookup (fleet->gone_by_name, seen->host);
  struct usage_month *usage;
  struct host *host;

  if (seen->presence == SP__HOST_PRESENCE__HOST_PRESENCE_GONE ||
      host_seen_is_outdated (fleet, seen))
    {
      verdict_duplicate (verdict, "a later entry of the host list is known");
      return;
    }
  if (!pool)
    pool = pool_create (fleet, seen->pool, seen->host_class);
  host = host_create (fleet, seen->host, pool);
  host_set_attributes (host, seen);
  host_set (host, HOST_SERVING, seen->presence);
  host->list_version = seen->list_version;
  host->usage_until_ms = gone ? gone->usage_until_ms : 0;
  change_set (&host->changed, at);
  change_set (&pool->changed, at);
  usage = usage_row_at (fleet, pool->name, host->host_class, at->time_ms);
  if (usage)
    usage->arrivals++;
}

/* Returns whether the host is expected to be missing from the list because its step reboots or
 * moves it. */
static bool
is_offline_for_step (const struct host *host)
{
  return host->state == HOST_DRAINED || host->state == HOST_LEFT || host->state == HOST_REBOOTED ||
         host->state == HOST_RETURNING;
}

/* Applies a newer entry of the host list to a known host. An entry with the version already known
 * is applied only if it repeats that the host is gone: the host may have been kept for its step,
 * and the step may have ended since. */
static void
host_update (struct fleet *fleet, const struct record_context *at, struct host *host,
             const Sp__HostSeen *seen, struct verdict *verdict)
{
  bool gone = seen->presence == SP__HOST_PRESENCE__HOST_PRESENCE_GONE;
  bool changed;

  if (seen->list_version < host->list_version ||
      (seen->list_version == host->list_version && !(gone && host->presence == seen->presence)))
    {
      verdict_duplicate (verdict, "a later entry of the host list is known");
      return;
    }
  host->list_version = seen->list_version;
  if (gone && !is_offline_for_step (host))
    {
      host_remove (fleet, at, host, seen->list_version);
      return;
    }
  changed = !gone && host_set_attributes (host, seen);
  changed |= host->presence != seen->presence;
  if (!changed)
    {
      verdict_duplicate (verdict, "the host is known so");
      return;
    }
  host_set (host, host->state, seen->presence);
  change_set (&host->changed, at);
}

/* Checks the strings that are stored with the host. */
static bool
strings_are_valid (const Sp__HostSeen *seen)
{
  return string_is_valid (seen->host_class) && string_is_valid (seen->rack) &&
         string_is_valid (seen->data_centre) && string_is_valid (seen->region) &&
         string_is_valid (seen->address);
}

/* Applies an entry of the platform's host list. */
void
host_seen_apply (struct fleet *fleet, const struct record_context *at, const Sp__HostSeen *seen,
                 struct verdict *verdict)
{
  struct host *host = fleet_find_host (fleet, seen->host);

  if (!name_is_valid (seen->host))
    verdict_reject (verdict, "host name \"%.40s\" is not valid", seen->host);
  else if (seen->presence > SP__HOST_PRESENCE__HOST_PRESENCE_GONE)
    verdict_reject (verdict, "host %.60s: presence is not known", seen->host);
  else if (!strings_are_valid (seen))
    verdict_reject (verdict, "host %.60s: a field is not UTF-8 of at most %d bytes", seen->host,
                    FLEET_MAX_NAME_BYTES);
  else if (seen->port > G_MAXUINT16)
    verdict_reject (verdict, "host %.60s: port is above %d", seen->host, G_MAXUINT16);
  else if (!host && seen->presence != SP__HOST_PRESENCE__HOST_PRESENCE_GONE &&
           !name_is_valid (seen->pool))
    verdict_reject (verdict, "host %.60s: pool name \"%.40s\" is not valid", seen->host,
                    seen->pool);
  else if (host)
    host_update (fleet, at, host, seen, verdict);
  else
    host_add_listed (fleet, at, seen, verdict);
  if (verdict->kind == VERDICT_ACCEPTED)
    fleet->list_version = MAX (fleet->list_version, seen->list_version);
}
