#include "lib/jobs/host_command_guard.h"

enum
{
  /* The clocks of two hosts may differ by 2% over the window and the timeout, and a call ends some
   * ms after its timeout. */
  CLOCK_MARGIN_MS = 200,
  BUSY_MS = HOST_COMMAND_SEND_WINDOW_MS + HOST_COMMAND_TIMEOUT_MS + CLOCK_MARGIN_MS,
  UNKNOWN_BUSY_MS = HOST_COMMAND_TIMEOUT_MS + CLOCK_MARGIN_MS,
};

/* Creates a map from host ids to times. */
static GHashTable *
busy_map_create (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
host_command_guard_init (struct host_command_guard *guard)
{
  *guard = (struct host_command_guard){
    .recorded = busy_map_create (),
    .inherited = busy_map_create (),
    .own = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
    .unknown = busy_map_create (),
  };
}

void
host_command_guard_finish (struct host_command_guard *guard)
{
  g_hash_table_destroy (guard->recorded);
  g_hash_table_destroy (guard->inherited);
  g_hash_table_destroy (guard->own);
  g_hash_table_destroy (guard->unknown);
}

/* Marks a host as busy until a time. */
static void
busy_map_set (GHashTable *map, const char *host, int64_t until_ms)
{
  g_hash_table_replace (map, g_strdup (host), g_memdup2 (&until_ms, sizeof until_ms));
}

/* A record is read after it was sent, so counting from here on is on the safe side. */
void
host_command_guard_observe (struct host_command_guard *guard, const Sp__HostCommands *commands,
                            int64_t now_ms)
{
  g_hash_table_remove_all (guard->recorded);
  for (size_t i = 0; i < commands->n_hosts; i++)
    busy_map_set (guard->recorded, commands->hosts[i], now_ms + BUSY_MS);
}

void
host_command_guard_begin (struct host_command_guard *guard, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer host;
  gpointer until_ms;

  g_hash_table_remove_all (guard->inherited);
  g_hash_table_remove_all (guard->own);
  g_hash_table_remove_all (guard->unknown);
  guard->changed = false;
  g_hash_table_iter_init (&iter, guard->recorded);
  while (g_hash_table_iter_next (&iter, &host, &until_ms))
    {
      if (*(const int64_t *) until_ms > now_ms)
        busy_map_set (guard->inherited, host, *(const int64_t *) until_ms);
    }
}

int64_t
host_command_guard_busy_until_ms (const struct host_command_guard *guard, const char *host)
{
  const int64_t *until_ms = g_hash_table_lookup (guard->inherited, host);

  return until_ms ? *until_ms : 0;
}

void
host_command_guard_add (struct host_command_guard *guard, const char *host)
{
  g_hash_table_add (guard->own, g_strdup (host));
}

/* An earlier command for the host whose result is unknown may still be carried out. */
void
host_command_guard_remove (struct host_command_guard *guard, const char *host)
{
  if (g_hash_table_remove (guard->own, host) && !g_hash_table_contains (guard->unknown, host))
    guard->changed = true;
}

/* A connection that closes early ends the caller's wait, not what the platform does. The command
 * was sent before now, so counting its timeout from here on is on the safe side. */
void
host_command_guard_set_unknown (struct host_command_guard *guard, const char *host, int64_t now_ms)
{
  if (g_hash_table_remove (guard->own, host))
    busy_map_set (guard->unknown, host, now_ms + UNKNOWN_BUSY_MS);
}

/* Drops the commands with an unknown result whose time has passed. */
static void
host_command_guard_expire (struct host_command_guard *guard, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer host;
  gpointer until_ms;

  g_hash_table_iter_init (&iter, guard->unknown);
  while (g_hash_table_iter_next (&iter, &host, &until_ms))
    {
      if (*(const int64_t *) until_ms > now_ms)
        continue;
      if (!g_hash_table_contains (guard->own, host))
        guard->changed = true;
      g_hash_table_iter_remove (&iter);
    }
}

bool
host_command_guard_changed (struct host_command_guard *guard, int64_t now_ms)
{
  host_command_guard_expire (guard, now_ms);
  return guard->changed;
}

/* Adds the keys of a table to a set that doesn't own them. */
static void
host_set_add_keys (GHashTable *set, GHashTable *table)
{
  GHashTableIter iter;
  gpointer host;

  g_hash_table_iter_init (&iter, table);
  while (g_hash_table_iter_next (&iter, &host, NULL))
    g_hash_table_add (set, host);
}

/* Returns whether the time of an entry in a map from hosts to times has passed. */
static gboolean
busy_map_entry_over (gpointer host, gpointer until_ms, gpointer now_ms)
{
  (void) host;
  return *(const int64_t *) until_ms <= *(const int64_t *) now_ms;
}

char **
host_command_guard_hosts (struct host_command_guard *guard, int64_t now_ms)
{
  g_autoptr (GHashTable) set = g_hash_table_new (g_str_hash, g_str_equal);
  GPtrArray *names = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer host;

  g_hash_table_foreach_remove (guard->inherited, busy_map_entry_over, &now_ms);
  host_command_guard_expire (guard, now_ms);
  host_set_add_keys (set, guard->inherited);
  host_set_add_keys (set, guard->own);
  host_set_add_keys (set, guard->unknown);
  g_hash_table_iter_init (&iter, set);
  while (g_hash_table_iter_next (&iter, &host, NULL))
    g_ptr_array_add (names, g_strdup (host));
  g_ptr_array_add (names, NULL);
  guard->changed = false;
  return (char **) g_ptr_array_free (names, FALSE);
}

bool
host_command_may_be_sent (int64_t recorded_ms, int64_t now_ms)
{
  return now_ms - recorded_ms < HOST_COMMAND_SEND_WINDOW_MS;
}
