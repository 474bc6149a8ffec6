#include "lib/slots/membership.h"

#include <glib.h>
#include <limits.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Sorts members by name, so that they have the same indices on all entry hosts. */
static int
member_compare (const void *a, const void *b)
{
  return strcmp (((const struct member *) a)->name, ((const struct member *) b)->name);
}

static bool
membership_has (const struct membership *membership, const char *name)
{
  return membership_find (membership, name) >= 0;
}

/* Adds a member unless it is there already. */
static void
membership_add (struct membership *membership, const char *name)
{
  struct member *member;

  if (membership_has (membership, name))
    return;
  g_assert (membership->n < MEMBERS_MAX);
  member = &membership->members[membership->n++];
  member->name = g_strdup (name);
  member->hash = XXH3_64bits (name, strlen (name));
}

/* Creates a membership of the configured names; self is added if it is missing. */
struct membership *
membership_create (const char *const *names, size_t n, const char *self, uint64_t incarnation,
                   int64_t now_ms)
{
  struct membership *membership = g_new0 (struct membership, 1);
  struct member *own;

  membership->members = g_new0 (struct member, n + 1);
  membership->started_ms = now_ms;
  membership->sent_ms = now_ms - HEARTBEAT_PERIOD_MS;
  for (size_t i = 0; i < n; i++)
    membership_add (membership, names[i]);
  membership_add (membership, self);
  qsort (membership->members, membership->n, sizeof *membership->members, member_compare);
  membership->self = (size_t) membership_find (membership, self);
  own = &membership->members[membership->self];
  own->incarnation = incarnation;
  own->heard = true;
  own->hears_me = true;
  own->keys_young = true;
  own->state = MEMBER_ALIVE;
  for (size_t i = 0; i < membership->n; i++)
    membership->names_hash = XXH32 (&membership->members[i].hash,
                                    sizeof membership->members[i].hash, membership->names_hash);
  return membership;
}

void
membership_destroy (struct membership *membership)
{
  for (size_t i = 0; i < membership->n; i++)
    g_free (membership->members[i].name);
  g_free (membership->members);
  g_free (membership);
}

/* Returns a member's index, or -1 if the name is not configured. */
int
membership_find (const struct membership *membership, const char *name)
{
  for (size_t i = 0; i < membership->n; i++)
    if (strcmp (membership->members[i].name, name) == 0)
      return (int) i;
  return -1;
}

/* Stores which members are alive, one bit each; bits must hold MEMBERS_MAX of them. */
void
membership_get_heard (const struct membership *membership, uint8_t *bits)
{
  memset (bits, 0, sizeof membership->members[0].hears);
  for (size_t i = 0; i < membership->n; i++)
    if (membership->members[i].state == MEMBER_ALIVE)
      bits[i / CHAR_BIT] |= (uint8_t) (1U << i % CHAR_BIT);
}

/* Stores which members a member hears. If its configured names differ, the bits can't be compared,
 * and it counts as hearing all. */
static void
member_store_hears (struct member *member, const Sp__PeerHeartbeat *heartbeat, uint32_t names_hash)
{
  bool comparable = heartbeat->names_hash == names_hash;

  memset (member->hears, comparable ? 0 : UINT8_MAX, sizeof member->hears);
  if (comparable && heartbeat->hears.len > 0)
    memcpy (member->hears, heartbeat->hears.data, MIN (heartbeat->hears.len, sizeof member->hears));
}

/* Handles a heartbeat. One of a lower incarnation is of a process that has ended and is ignored. */
void
membership_handle_heartbeat (struct membership *membership, size_t index,
                             const Sp__PeerHeartbeat *heartbeat, int64_t now_ms)
{
  struct member *member = &membership->members[index];

  if (index == membership->self || heartbeat->incarnation < member->incarnation)
    return;
  if (heartbeat->incarnation > member->incarnation || heartbeat->stopping != member->stopping ||
      heartbeat->hears_you != member->hears_me)
    membership->version++;
  member->incarnation = heartbeat->incarnation;
  member->heard = true;
  member->heard_ms = now_ms;
  member->hears_me = heartbeat->hears_you;
  member->stopping = heartbeat->stopping;
  member->keys_young = heartbeat->keys_young;
  member_store_hears (member, heartbeat, membership->names_hash);
  membership_update (membership, now_ms);
}

/* Returns the state of a member, by the time since it was last heard. */
static enum member_state
member_state_at (const struct membership *membership, const struct member *member, int64_t now_ms)
{
  int64_t unheard_ms = now_ms - (member->heard ? member->heard_ms : membership->started_ms);

  if (unheard_ms >= MEMBER_DEAD_MS)
    return MEMBER_DEAD;
  if (unheard_ms >= MEMBER_SUSPECT_MS)
    return MEMBER_SUSPECT;
  return member->heard ? MEMBER_ALIVE : MEMBER_UNKNOWN;
}

/* Updates the state of all other members. */
void
membership_update (struct membership *membership, int64_t now_ms)
{
  for (size_t i = 0; i < membership->n; i++)
    {
      struct member *member = &membership->members[i];
      enum member_state state;

      if (i == membership->self)
        continue;
      state = member_state_at (membership, member, now_ms);
      if (state != member->state)
        membership->version++;
      member->state = state;
    }
}

/* Returns whether another live member hears the given one. */
static bool
membership_member_heard (const struct membership *membership, size_t index)
{
  for (size_t i = 0; i < membership->n; i++)
    {
      const struct member *member = &membership->members[i];

      if (i != membership->self && member->state == MEMBER_ALIVE &&
          (member->hears[index / CHAR_BIT] >> index % CHAR_BIT & 1))
        return true;
    }
  return false;
}

/* Returns whether others may use a member's own slots: it has stopped or is dead, and no live
 * member hears it. */
bool
membership_member_lost (const struct membership *membership, size_t index)
{
  const struct member *member = &membership->members[index];
  bool stopped = member->stopping && member->state == MEMBER_SUSPECT;

  return (stopped || member->state == MEMBER_DEAD) && !membership_member_heard (membership, index);
}

/* Returns a member's weight for a key in rendezvous hashing. */
static uint64_t
member_weight (const struct member *member, uint64_t key)
{
  uint64_t pair[2] = { member->hash, key };

  return XXH3_64bits (pair, sizeof pair);
}

/* Returns the member that is home of a pool's slots, as seen by this one: the eligible member with
 * the highest weight, or this one if none is eligible. Returns -1 while some member has neither
 * been heard nor timed out. */
int
membership_home (const struct membership *membership, const char *pool)
{
  uint64_t key = XXH3_64bits (pool, strlen (pool));
  uint64_t best_weight = 0;
  int best = -1;

  for (size_t i = 0; i < membership->n; i++)
    {
      const struct member *member = &membership->members[i];
      uint64_t weight = member_weight (member, key);

      if (member->state == MEMBER_UNKNOWN)
        return -1;
      if (member->state != MEMBER_ALIVE || !member->hears_me || member->stopping)
        continue;
      if (best < 0 || weight > best_weight)
        {
          best = (int) i;
          best_weight = weight;
        }
    }
  return best >= 0 ? best : (int) membership->self;
}

struct ranked_member
{
  uint64_t weight;
  uint8_t index;
};

/* Sorts by weight, highest first. */
static int
ranked_compare (const void *a, const void *b)
{
  const struct ranked_member *first = a;
  const struct ranked_member *second = b;

  if (first->weight != second->weight)
    return first->weight > second->weight ? -1 : 1;
  return (int) first->index - (int) second->index;
}

/* Orders all configured members for a key by rendezvous hashing, whether they are alive or not. */
void
membership_rank (const struct membership *membership, uint64_t key, uint8_t *order)
{
  struct ranked_member ranked[MEMBERS_MAX];

  for (size_t i = 0; i < membership->n; i++)
    ranked[i] = (struct ranked_member){ member_weight (&membership->members[i], key), (uint8_t) i };
  qsort (ranked, membership->n, sizeof ranked[0], ranked_compare);
  for (size_t i = 0; i < membership->n; i++)
    order[i] = ranked[i].index;
}
