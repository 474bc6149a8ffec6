#include "scheduler_state.h"

#include <string.h>

/* Hosts of the machine list, and the results of commands that move or maintain them. */

enum
{
  /* Delay before a failed command is sent again. */
  COMMAND_RETRY_MS = 500,
  /* Time for which a move without a response may still be carried out. */
  COMMAND_LATE_MS = 2000,
};

struct host *
scheduler_host (const struct scheduler *scheduler, const char *id)
{
  return g_hash_table_lookup (scheduler->hosts_by_id, id);
}

/* Sets the endpoint that runs on a host; id may be NULL. */
static void
host_set_endpoint (struct scheduler *scheduler, struct host *host, const char *id)
{
  if (g_strcmp0 (host->endpoint_id, id) == 0)
    return;
  if (host->endpoint_id &&
      g_hash_table_lookup (scheduler->hosts_by_endpoint, host->endpoint_id) == host)
    g_hash_table_remove (scheduler->hosts_by_endpoint, host->endpoint_id);
  if (host->endpoint_id)
    {
      g_free (host->former_endpoint_id);
      host->former_endpoint_id = g_steal_pointer (&host->endpoint_id);
    }
  host->endpoint_id = g_strdup (id);
  if (id)
    g_hash_table_replace (scheduler->hosts_by_endpoint, host->endpoint_id, host);
}

/* Removes a host and frees it. */
void
scheduler_remove_host (struct scheduler *scheduler, struct host *host)
{
  host_set_endpoint (scheduler, host, NULL);
  g_hash_table_remove (scheduler->hosts_by_id, host->id);
  TAILQ_REMOVE (&scheduler->hosts, host, link);
  g_free (host->id);
  g_free (host->pool);
  g_free (host->target_pool);
  g_free (host->former_endpoint_id);
  g_free (host->rack);
  g_free (host->maintained_endpoint_id);
  g_free (host);
}

/* Returns the endpoint that runs on a host, or NULL. */
struct endpoint *
host_endpoint (const struct scheduler *scheduler, const struct host *host)
{
  return host->endpoint_id ? g_hash_table_lookup (scheduler->endpoints, host->endpoint_id) : NULL;
}

/* Returns whether no task started by an earlier leader can run unnoticed in a pool. */
bool
scheduler_pool_takeover_complete (const struct scheduler *scheduler, const char *name)
{
  const struct pool *pool;

  TAILQ_FOREACH (pool, &scheduler->pools, link)
    {
      if (strcmp (pool->name, name) == 0)
        return pool->takeover_complete;
    }
  return false;
}

/* Returns whether an entry of a machine list shows the end of a host's endpoint that was alive
 * after the list was requested. The list is then older than the endpoint's present incarnation. */
static bool
host_entry_is_outdated (const struct scheduler *scheduler, const struct host *host,
                        const struct host_entry *entry, int64_t sent_ms)
{
  const struct endpoint *endpoint = host_endpoint (scheduler, host);

  return endpoint && sent_ms <= endpoint->alive_ms &&
         (entry->state != HOST_UP || g_strcmp0 (entry->endpoint, endpoint->id) != 0);
}

/* Handles a host that a list which is not outdated shows as down: its attempts have ended. */
static void
host_handle_down (struct scheduler *scheduler, const struct host *host, bool rack_is_lost)
{
  struct endpoint *endpoint = host_endpoint (scheduler, host);

  if (!endpoint)
    return;
  endpoint->lost_with_rack = rack_is_lost;
  endpoint_release_ended (scheduler, endpoint,
                          rack_is_lost ? "its rack is lost" : "its host is down");
}

/* Releases the tasks of a crashed endpoint that were kept because their start may be carried out
 * late by its next incarnation: its host runs another endpoint, so there will be none. */
static void
host_release_former_endpoint (struct scheduler *scheduler, const struct host *host)
{
  struct endpoint *former =
      host->former_endpoint_id
          ? g_hash_table_lookup (scheduler->endpoints, host->former_endpoint_id)
          : NULL;

  if (former && former->gone && former->n_tasks > 0)
    endpoint_release_tasks (scheduler, former, endpoint_unplanned_end (former),
                            "its host runs another endpoint");
}

/* Stores one entry of the machine list. An endpoint that it shows again, as after a crash, may run.
 */
static void
host_update (struct scheduler *scheduler, struct host *host, const struct host_entry *entry)
{
  size_t n = entry->labels ? g_strv_length ((char **) entry->labels) : 0;
  struct endpoint *endpoint;

  host->listed = true;
  host->state = entry->state;
  host->capacity = entry->capacity;
  if (g_strcmp0 (host->pool, entry->pool) != 0)
    {
      g_free (host->pool);
      host->pool = g_strdup (entry->pool);
    }
  host_set_endpoint (scheduler, host, entry->endpoint);
  endpoint = host_endpoint (scheduler, host);
  if (endpoint && host->state == HOST_UP)
    endpoint->gone = false;
  if (host->endpoint_id && host->state == HOST_UP)
    host_release_former_endpoint (scheduler, host);
  g_free (host->rack);
  host->rack = n > 0 ? g_strdup (entry->labels[n - 1]) : NULL;
}

/* Ends the uncertainty about a move once a machine list shows the host long after the command:
 * either the list shows the move, or it was not carried out. A maintenance is repeated until its
 * result is known, because the wave's limit holds for late ones too. */
static void
host_settle_unknown (const struct scheduler *scheduler, struct host *host, int64_t sent_ms)
{
  struct endpoint *endpoint = host_endpoint (scheduler, host);

  if (!host->command_outcome_unknown || host->maintenance_unknown ||
      sent_ms <= host->command_unknown_ms + COMMAND_LATE_MS)
    return;
  host->command_outcome_unknown = false;
  if (endpoint)
    endpoint->cordoned = endpoint->cordoned_for_wave;
}

/* Returns whether the machine list names an endpoint as running on a host. The registry keeps a
 * former incarnation for some seconds, the machine list doesn't. */
bool
scheduler_endpoint_has_host (const struct scheduler *scheduler, const char *id)
{
  return g_hash_table_contains (scheduler->hosts_by_endpoint, id);
}

/* Returns whether a host is no longer in the machine list. A list that was read in several pages
 * may lack a host because another left meanwhile, so it is kept until the next list lacks it too.
 */
static bool
host_has_left (struct host *host, bool in_one_page)
{
  bool missing_before = host->missing;

  host->missing = !host->listed;
  return host->missing && !host->command_in_flight && (in_one_page || missing_before);
}

/* Releases the tasks of unresponsive endpoints that no host runs. Only endpoints that were already
 * unresponsive when the list was requested and have shown no sign of life since count. Of lists in
 * several pages, two in a row must lack the endpoint; sent_ms is then when the first was requested.
 */
static void
scheduler_release_unhosted (struct scheduler *scheduler, int64_t sent_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, scheduler->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct endpoint *endpoint = value;

      if (endpoint->n_tasks == 0 || endpoint->unresponsive_since_ms == 0 ||
          endpoint->unresponsive_since_ms >= sent_ms || endpoint->alive_ms >= sent_ms ||
          scheduler_endpoint_has_host (scheduler, endpoint->id))
        continue;
      /* An endpoint whose host is down may come back under its id, and late starts with it. */
      if (endpoint->gone)
        continue;
      if (endpoint_unplanned_end (endpoint) == ENDPOINT_END_CRASH)
        scheduler_record_crash (scheduler, endpoint);
      endpoint_release_tasks (scheduler, endpoint, endpoint_unplanned_end (endpoint),
                              "the machine list names no host that runs it");
    }
}

/* Handles a complete machine list. sent_ms is when it was requested. */
void
scheduler_hosts_listed (struct scheduler *scheduler, const struct host_entry *entries, size_t n,
                        bool in_one_page, int64_t sent_ms, int64_t now_ms)
{
  g_autoptr (GHashTable) lost_racks = NULL;
  struct host *host;
  struct host *next;

  scheduler->now_ms = now_ms;
  scheduler->hosts_loaded = true;
  lost_racks = scheduler_find_lost_racks (scheduler, entries, n);
  TAILQ_FOREACH (host, &scheduler->hosts, link)
    host->listed = false;
  for (size_t i = 0; i < n; i++)
    {
      host = scheduler_host (scheduler, entries[i].id);
      if (!host)
        {
          host = g_new0 (struct host, 1);
          host->id = g_strdup (entries[i].id);
          if (scheduler->ops.host_busy_until_ms)
            host->next_command_ms =
                scheduler->ops.host_busy_until_ms (scheduler->ops.ctx, host->id);
          TAILQ_INSERT_TAIL (&scheduler->hosts, host, link);
          g_hash_table_insert (scheduler->hosts_by_id, host->id, host);
        }
      /* The list may predate a command that is in flight or was completed since. */
      if (host->command_in_flight || host->command_done_ms > sent_ms ||
          host_entry_is_outdated (scheduler, host, &entries[i], sent_ms))
        host->listed = true;
      else
        {
          if (host->state != entries[i].state ||
              g_strcmp0 (host->endpoint_id, entries[i].endpoint) != 0)
            scheduler_log (scheduler, "host changed: host=%s state=%d was=%d pool=%s endpoint=%s",
                           entries[i].id, entries[i].state, host->state, entries[i].pool,
                           entries[i].endpoint ? entries[i].endpoint : "none");
          if (entries[i].state == HOST_DOWN)
            host_handle_down (scheduler, host, host_entry_is_in_rack (&entries[i], lost_racks));
          host_update (scheduler, host, &entries[i]);
          host_settle_unknown (scheduler, host, sent_ms);
        }
    }
  for (host = TAILQ_FIRST (&scheduler->hosts); host; host = next)
    {
      next = TAILQ_NEXT (host, link);
      if (!host_has_left (host, in_one_page))
        continue;
      scheduler_log (scheduler, "host left the machine list: host=%s state=%d endpoint=%s",
                     host->id, host->state, host->endpoint_id ? host->endpoint_id : "none");
      scheduler_remove_host (scheduler, host);
    }
  scheduler_release_unhosted (scheduler, in_one_page ? sent_ms : scheduler->hosts_sent_ms);
  scheduler_resolve_losses (scheduler, in_one_page ? sent_ms : scheduler->hosts_sent_ms);
  scheduler->hosts_sent_ms = sent_ms;
}

/* Handles a completed move or maintenance command, which ended everything on the host's
 * endpoint. */
static void
host_release_endpoint (struct scheduler *scheduler, struct host *host)
{
  struct endpoint *endpoint = host_endpoint (scheduler, host);

  if (!endpoint)
    return;
  endpoint_release_tasks (scheduler, endpoint, ENDPOINT_END_PLANNED,
                          "its host was moved or maintained");
  endpoint->listed = false;
  endpoint->cordoned = true;
  host_set_endpoint (scheduler, host, NULL);
}

/* Handles a failed command to a host, or one without a response. A rejection says nothing of an
 * earlier command without a response. The host's endpoint is uncordoned, unless a wave has cordoned
 * it or a command may still end it. */
static void
host_command_failed (struct scheduler *scheduler, struct host *host,
                     enum host_command_result result)
{
  struct endpoint *endpoint = host_endpoint (scheduler, host);

  host->next_command_ms = scheduler->now_ms + COMMAND_RETRY_MS;
  if (result == HOST_COMMAND_UNKNOWN)
    {
      host->command_outcome_unknown = true;
      host->command_unknown_ms = scheduler->now_ms;
    }
  g_clear_pointer (&host->target_pool, g_free);
  if (result == HOST_COMMAND_FENCED)
    scheduler_step_down (scheduler, "host command rejected: the platform holds a newer fence");
  if (endpoint)
    endpoint->cordoned = endpoint->cordoned_for_wave || host->command_outcome_unknown;
}

/* Handles the response to a move command; result is not HOST_COMMAND_DONE on failure. */
void
scheduler_move_done (struct scheduler *scheduler, struct host *host,
                     enum host_command_result result, int64_t now_ms)
{
  scheduler->now_ms = now_ms;
  host->command_in_flight = false;
  if (result != HOST_COMMAND_DONE)
    {
      host_command_failed (scheduler, host, result);
      return;
    }
  host->command_outcome_unknown = false;
  host->command_done_ms = now_ms;
  host->moved_ms = now_ms;
  host->state = HOST_MOVING;
  g_free (host->pool);
  host->pool = g_steal_pointer (&host->target_pool);
  host_release_endpoint (scheduler, host);
}

/* Ends the uncertainty about a maintenance. Returns true if the host has got another endpoint since
 * the command was first sent: that one was carried out then, and the endpoint is a new one that may
 * be used. */
static bool
host_finish_unknown_maintenance (struct scheduler *scheduler, struct host *host)
{
  struct endpoint *endpoint = host_endpoint (scheduler, host);
  bool replaced = host->maintenance_unknown && endpoint &&
                  g_strcmp0 (host->endpoint_id, host->maintained_endpoint_id) != 0;

  host->maintenance_unknown = false;
  g_clear_pointer (&host->maintained_endpoint_id, g_free);
  if (!replaced)
    return false;
  endpoint->cordoned = false;
  endpoint->cordoned_for_wave = false;
  return true;
}

/* Handles the response to a maintenance command; result is not HOST_COMMAND_DONE on failure. */
void
scheduler_maintain_done (struct scheduler *scheduler, struct host *host, uint32_t number,
                         enum host_command_result result, int64_t now_ms)
{
  struct endpoint *endpoint = host_endpoint (scheduler, host);
  struct wave *wave;

  scheduler->now_ms = now_ms;
  host->command_in_flight = false;
  TAILQ_FOREACH (wave, &scheduler->waves, link)
    {
      if (wave->number == number)
        break;
    }
  if (wave && result == HOST_COMMAND_UNKNOWN && !host->maintenance_unknown)
    {
      host->maintenance_unknown = true;
      host->maintained_endpoint_id = g_strdup (host->endpoint_id);
    }
  if (wave && (result == HOST_COMMAND_DONE || result == HOST_COMMAND_NOT_IN_WAVE))
    {
      g_hash_table_remove (wave->remaining, host->id);
      if (result == HOST_COMMAND_DONE)
        g_hash_table_add (wave->begun, g_strdup (host->id));
      wave->dirty = true;
    }
  if (result == HOST_COMMAND_NOT_IN_WAVE)
    {
      host->maintenance_unknown = false;
      g_clear_pointer (&host->maintained_endpoint_id, g_free);
      /* No wave drains the host any longer. */
      if (endpoint)
        endpoint->cordoned_for_wave = false;
    }
  if (result != HOST_COMMAND_DONE)
    {
      host_command_failed (scheduler, host, result);
      return;
    }
  scheduler->counts.maintenances++;
  host->command_outcome_unknown = false;
  host->command_done_ms = now_ms;
  host->state = HOST_IN_MAINTENANCE;
  if (!host_finish_unknown_maintenance (scheduler, host))
    host_release_endpoint (scheduler, host);
}
