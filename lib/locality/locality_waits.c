#include "lib/locality/locality_waits.h"

enum
{
  /* A task may use capacity that is kept if it is expected to end in this part of the time until
   * the capacity is needed. */
  BACKFILL_MARGIN = 2,
};

/* Time that tasks of an owner have waited. */
struct owner_waits
{
  unsigned n_waiting;
  /* When the first of those that wait began. */
  int64_t since_ms;
  /* Sum of the times in which none waits any more. */
  int64_t waited_ms;
  /* Tasks of the owner with an entry. */
  GPtrArray *tasks;
};

struct locality_waits
{
  /* Task to struct locality_wait, and owner to struct owner_waits. */
  GHashTable *tasks;
  GHashTable *owners;
  /* Site to GPtrArray of the waits that keep capacity there. */
  GHashTable *sites;
  unsigned n_waiting;
  uint64_t last_number;
  struct locality_counts counts;
};

static void
owner_destroy (gpointer data)
{
  struct owner_waits *owner = data;

  g_ptr_array_free (owner->tasks, TRUE);
  g_free (owner);
}

static void
site_destroy (gpointer data)
{
  g_ptr_array_free (data, TRUE);
}

struct locality_waits *
locality_waits_create (void)
{
  struct locality_waits *waits = g_new0 (struct locality_waits, 1);

  waits->tasks = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  waits->owners = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, owner_destroy);
  waits->sites = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, site_destroy);
  return waits;
}

/* Frees the waits; NULL is allowed. */
void
locality_waits_destroy (struct locality_waits *waits)
{
  if (!waits)
    return;
  g_hash_table_destroy (waits->sites);
  g_hash_table_destroy (waits->owners);
  g_hash_table_destroy (waits->tasks);
  g_free (waits);
}

static struct owner_waits *
waits_owner (struct locality_waits *waits, const void *key)
{
  struct owner_waits *owner = g_hash_table_lookup (waits->owners, key);

  if (owner)
    return owner;
  owner = g_new0 (struct owner_waits, 1);
  owner->tasks = g_ptr_array_new ();
  g_hash_table_insert (waits->owners, (gpointer) key, owner);
  return owner;
}

/* Keeps capacity of the wait's site for it. */
static void
waits_keep (struct locality_waits *waits, struct locality_wait *wait)
{
  GPtrArray *at = g_hash_table_lookup (waits->sites, wait->site);

  if (!at)
    {
      at = g_ptr_array_new ();
      g_hash_table_insert (waits->sites, (gpointer) wait->site, at);
    }
  g_ptr_array_add (at, wait);
}

const struct locality_wait *
locality_waits_begin (struct locality_waits *waits, const struct locality_wait *wait)
{
  struct owner_waits *owner = waits_owner (waits, wait->owner);
  struct locality_wait *copy = g_new (struct locality_wait, 1);

  g_assert (!g_hash_table_contains (waits->tasks, wait->task));
  *copy = *wait;
  copy->over = false;
  copy->number = ++waits->last_number;
  g_hash_table_insert (waits->tasks, (gpointer) wait->task, copy);
  g_ptr_array_add (owner->tasks, (gpointer) wait->task);
  if (owner->n_waiting++ == 0)
    owner->since_ms = wait->begin_ms;
  if (wait->site)
    waits_keep (waits, copy);
  waits->n_waiting++;
  waits->counts.waits++;
  return copy;
}

struct locality_wait *
locality_waits_find (const struct locality_waits *waits, const void *task)
{
  return g_hash_table_lookup (waits->tasks, task);
}

/* Ends the time of a wait and releases the capacity that is kept for it. */
static void
wait_close (struct locality_waits *waits, struct locality_wait *wait, int64_t now_ms)
{
  struct owner_waits *owner = g_hash_table_lookup (waits->owners, wait->owner);

  if (wait->over)
    return;
  wait->over = true;
  waits->n_waiting--;
  waits->counts.waited_ms += (uint64_t) MAX (now_ms - wait->begin_ms, 0);
  if (--owner->n_waiting == 0)
    owner->waited_ms += MAX (now_ms - owner->since_ms, 0);
  if (wait->site)
    {
      GPtrArray *at = g_hash_table_lookup (waits->sites, wait->site);

      g_ptr_array_remove (at, wait);
      if (at->len == 0)
        g_hash_table_remove (waits->sites, wait->site);
    }
}

void
locality_waits_end (struct locality_waits *waits, struct locality_wait *wait,
                    enum locality_wait_end how, int64_t now_ms)
{
  waits->counts.won += how == LOCALITY_WAIT_WON;
  waits->counts.lost += how == LOCALITY_WAIT_LOST || how == LOCALITY_WAIT_PLACE_LOST;
  wait_close (waits, wait, now_ms);
  if (how == LOCALITY_WAIT_WON || how == LOCALITY_WAIT_DROPPED)
    locality_waits_forget (waits, wait->task, now_ms);
}

/* The owner's times are kept, so that its budget isn't renewed. */
void
locality_waits_forget (struct locality_waits *waits, const void *task, int64_t now_ms)
{
  struct locality_wait *wait = g_hash_table_lookup (waits->tasks, task);
  struct owner_waits *owner;

  if (!wait)
    return;
  wait_close (waits, wait, now_ms);
  owner = g_hash_table_lookup (waits->owners, wait->owner);
  g_ptr_array_remove_fast (owner->tasks, (gpointer) task);
  g_hash_table_remove (waits->tasks, task);
}

void
locality_waits_forget_owner (struct locality_waits *waits, const void *key, int64_t now_ms)
{
  struct owner_waits *owner = g_hash_table_lookup (waits->owners, key);

  if (!owner)
    return;
  while (owner->tasks->len > 0)
    locality_waits_forget (waits, g_ptr_array_index (owner->tasks, owner->tasks->len - 1), now_ms);
  g_hash_table_remove (waits->owners, key);
}

void
locality_waits_forget_site (struct locality_waits *waits, const void *site)
{
  GPtrArray *at = g_hash_table_lookup (waits->sites, site);

  if (!at)
    return;
  for (guint i = 0; i < at->len; i++)
    ((struct locality_wait *) g_ptr_array_index (at, i))->site = NULL;
  g_hash_table_remove (waits->sites, site);
}

int64_t
locality_waits_budget_ms (const struct locality_waits *waits, const void *key, int64_t max_ms,
                          int64_t now_ms)
{
  const struct owner_waits *owner = g_hash_table_lookup (waits->owners, key);
  int64_t waited_ms;

  if (!owner)
    return max_ms;
  waited_ms = owner->waited_ms;
  if (owner->n_waiting > 0)
    waited_ms += MAX (now_ms - owner->since_ms, 0);
  return MAX (max_ms - waited_ms, 0);
}

/* Returns whether what is kept for a wait is kept from a claim. Of two waiting tasks the one that
 * began to wait first goes first, so that neither blocks the other. */
static bool
wait_binds (const struct locality_wait *wait, const struct locality_wait *own,
            const struct locality_claim *claim, int64_t now_ms)
{
  if (wait == own || now_ms >= wait->end_ms || claim->rank < wait->rank)
    return false;
  if (own && !own->over && own->number < wait->number)
    return false;
  return claim->duration_ms < 0 || now_ms + BACKFILL_MARGIN * claim->duration_ms > wait->room_ms;
}

/* Returns whether enough of a resource is free for a request and what is kept. A request of 0 takes
 * nothing from what is kept. */
static bool
resource_suffices (int64_t request, int64_t needed, int64_t free)
{
  return request <= 0 || needed <= free;
}

bool
locality_waits_allow (const struct locality_waits *waits, const struct locality_claim *claim,
                      int64_t now_ms)
{
  const GPtrArray *at = locality_waits_at (waits, claim->site);
  const struct locality_wait *own;
  struct resources needed = claim->request;

  if (!at)
    return true;
  own = locality_waits_find (waits, claim->task);
  for (guint i = 0; i < at->len; i++)
    {
      const struct locality_wait *wait = g_ptr_array_index (at, i);

      if (wait_binds (wait, own, claim, now_ms))
        resources_add (&needed, &wait->request);
    }
  return resource_suffices (claim->request.cpu_milli, needed.cpu_milli, claim->free.cpu_milli) &&
         resource_suffices (claim->request.memory_mb, needed.memory_mb, claim->free.memory_mb) &&
         resource_suffices (claim->request.gpus, needed.gpus, claim->free.gpus);
}

const GPtrArray *
locality_waits_at (const struct locality_waits *waits, const void *site)
{
  return waits->n_waiting > 0 ? g_hash_table_lookup (waits->sites, site) : NULL;
}

static int
wait_compare (const void *left, const void *right)
{
  const struct locality_wait *a = *(const struct locality_wait *const *) left;
  const struct locality_wait *b = *(const struct locality_wait *const *) right;

  return (a->number > b->number) - (a->number < b->number);
}

GPtrArray *
locality_waits_list (const struct locality_waits *waits)
{
  GPtrArray *list = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  if (waits->n_waiting == 0)
    return list;
  g_hash_table_iter_init (&iter, waits->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct locality_wait *wait = value;

      if (!wait->over)
        g_ptr_array_add (list, wait);
    }
  g_ptr_array_sort (list, wait_compare);
  return list;
}

unsigned
locality_waits_n (const struct locality_waits *waits)
{
  return waits->n_waiting;
}

const struct locality_counts *
locality_waits_counts (const struct locality_waits *waits)
{
  return &waits->counts;
}
