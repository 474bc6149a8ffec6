#include "scheduler_state.h"

/* Racks that lose their power. All their endpoints end at the same moment, whatever they were
 * starting then, so that such an end says nothing of the tasks. */

enum
{
  /* Fewest endpoints whose common end is the loss of their rack. A task takes down only its own. */
  RACK_LOSS_ENDPOINTS_MIN = 2,
};

/* What a machine list shows of a rack. */
struct rack_ends
{
  unsigned n_ended;
  unsigned n_up;
};

/* Returns the rack that a machine list names for a host, or NULL. */
static const char *
host_entry_rack (const struct host_entry *entry)
{
  size_t n = entry->labels ? g_strv_length ((char **) entry->labels) : 0;

  return n > 0 ? entry->labels[n - 1] : NULL;
}

/* Returns whether an entry shows that an endpoint has ended which ran according to the list
 * before. */
static bool
host_entry_shows_end (const struct scheduler *scheduler, const struct host_entry *entry)
{
  const struct host *host = scheduler_host (scheduler, entry->id);

  return entry->state == HOST_DOWN && host && host->state == HOST_UP && host->endpoint_id &&
         !host->command_in_flight;
}

GHashTable *
scheduler_find_lost_racks (struct scheduler *scheduler, const struct host_entry *entries, size_t n)
{
  g_autoptr (GHashTable) racks = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  GHashTable *lost = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter each;
  gpointer name;
  gpointer value;

  for (size_t i = 0; i < n; i++)
    {
      const char *rack = host_entry_rack (&entries[i]);
      struct rack_ends *ends = rack ? g_hash_table_lookup (racks, rack) : NULL;

      if (!rack)
        continue;
      if (!ends)
        {
          ends = g_new0 (struct rack_ends, 1);
          g_hash_table_insert (racks, (gpointer) rack, ends);
        }
      ends->n_ended += host_entry_shows_end (scheduler, &entries[i]);
      ends->n_up += entries[i].state == HOST_UP;
    }
  g_hash_table_iter_init (&each, racks);
  while (g_hash_table_iter_next (&each, &name, &value))
    {
      const struct rack_ends *ends = value;

      if (ends->n_up > 0 || ends->n_ended < RACK_LOSS_ENDPOINTS_MIN)
        continue;
      scheduler_log (scheduler, "rack lost: rack=%s endpoints=%u", (const char *) name,
                     ends->n_ended);
      g_hash_table_add (lost, name);
    }
  return lost;
}

/* A task that was suspected before may have taken down its own endpoint just before. */
bool
task_loss_is_explained (const struct task *task)
{
  return task->endpoint->lost_with_rack && !task->suspect && !task->on_trial &&
         task->n_crashed + task->n_possibly_crashed == 0;
}

bool
host_entry_is_in_rack (const struct host_entry *entry, GHashTable *racks)
{
  const char *rack = host_entry_rack (entry);

  return rack && g_hash_table_contains (racks, rack);
}
