#include "lib/jobs/host_command_guard.h"

enum
{
  /* The clocks of two hosts may differ by 2% over the window and the timeout, and a call ends some
   * ms after its timeout. */
  CLOCK_MARGIN_MS = 200,
  BUSY_MS = HOST_COMMAND_SEND_WINDOW_MS + HOST_COMMAND_TIMEOUT_MS + CLOCK_MARGIN_MS,
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
  };
}

void
host_command_guard_finish (struct host_command_guard *guard)
{
  g_hash_table_destroy (guard->recorded);
  g_hash_table_destroy (guard->inherited);
  g_hash_table_destroy (guard->own);
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

void
host_command_guard_remove (struct host_command_guard *guard, const char *host)
{
  if (g_hash_table_remove (guard->own, host))
    guard->changed = true;
}

char **
host_command_guard_hosts (struct host_command_guard *guard, int64_t now_ms)
{
  GPtrArray *names = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer host;
  gpointer until_ms;

  g_hash_table_iter_init (&iter, guard->inherited);
  while (g_hash_table_iter_next (&iter, &host, &until_ms))
    {
      if (*(const int64_t *) until_ms <= now_ms)
        g_hash_table_iter_remove (&iter);
      else if (!g_hash_table_contains (guard->own, host))
        g_ptr_array_add (names, g_strdup (host));
    }
  g_hash_table_iter_init (&iter, guard->own);
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
