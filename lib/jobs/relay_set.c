#include "lib/jobs/relay_set.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

void
relay_set_init (struct relay_set *set)
{
  *set =
      (struct relay_set){ .generation = 1, .by_name = g_hash_table_new (g_str_hash, g_str_equal) };
  TAILQ_INIT (&set->relays);
}

/* Changes whether a relay is used. */
static void
relay_set_used (struct relay_set *set, struct relay *relay, bool used)
{
  if (relay->used == used)
    return;
  relay->used = used;
  set->n_used = used ? set->n_used + 1 : set->n_used - 1;
  set->generation++;
}

void
relay_set_remove (struct relay_set *set, struct relay *relay)
{
  relay_set_used (set, relay, false);
  TAILQ_REMOVE (&set->relays, relay, link);
  g_hash_table_remove (set->by_name, relay->name);
  g_free (relay->name);
  g_free (relay->address);
  g_free (relay);
}

void
relay_set_finish (struct relay_set *set)
{
  while (!TAILQ_EMPTY (&set->relays))
    relay_set_remove (set, TAILQ_FIRST (&set->relays));
  g_hash_table_destroy (set->by_name);
}

struct relay *
relay_set_find (const struct relay_set *set, const char *name)
{
  return g_hash_table_lookup (set->by_name, name);
}

struct relay *
relay_set_add (struct relay_set *set, const char *name, const char *address)
{
  struct relay *relay = relay_set_find (set, name);

  if (relay && strcmp (relay->address, address) == 0)
    return relay;
  if (relay)
    relay_set_remove (set, relay);
  relay = g_new0 (struct relay, 1);
  relay->name = g_strdup (name);
  relay->address = g_strdup (address);
  relay->hash = XXH3_64bits (name, strlen (name));
  TAILQ_INSERT_TAIL (&set->relays, relay, link);
  g_hash_table_insert (set->by_name, relay->name, relay);
  return relay;
}

uint64_t
relay_batch_sent (struct relay *relay, int64_t now_ms)
{
  if (relay->unacked_since_ms == 0)
    relay->unacked_since_ms = now_ms;
  relay->sent_sequence++;
  if (relay->probe_sequence == 0)
    {
      relay->probe_sequence = relay->sent_sequence;
      relay->probe_sent_ms = now_ms;
    }
  return relay->sent_sequence;
}

void
relay_batch_confirmed (struct relay *relay, uint64_t sequence, bool confirms_epoch)
{
  if (relay->probe_sequence == 0 || sequence < relay->probe_sequence)
    return;
  relay->probe_sequence = 0;
  if (confirms_epoch)
    relay->confirmed_ms = relay->probe_sent_ms;
}

int64_t
relay_set_confirmed_ms (const struct relay_set *set, int64_t now_ms)
{
  const struct relay *relay;
  int64_t confirmed_ms = now_ms;

  TAILQ_FOREACH (relay, &set->relays, link)
    confirmed_ms = MIN (confirmed_ms, relay->confirmed_ms);
  return confirmed_ms;
}

/* An acknowledgement of an older batch shows that the relay responds, so the time for the newer
 * ones starts again. */
void
relay_batch_acked (struct relay_set *set, struct relay *relay, uint64_t sequence, int64_t now_ms)
{
  if (sequence <= relay->acked_sequence || sequence > relay->sent_sequence)
    return;
  relay->acked_sequence = sequence;
  relay->unacked_since_ms = sequence == relay->sent_sequence ? 0 : now_ms;
  if (relay->usable_ms == 0)
    relay->usable_ms = now_ms + (relay->has_failed ? RELAY_RETURN_MS : 0);
  if (now_ms >= relay->usable_ms && !relay->stopping)
    relay_set_used (set, relay, true);
}

void
relay_set_stopping (struct relay_set *set, struct relay *relay, bool stopping)
{
  relay->stopping = stopping;
  if (stopping)
    relay_set_used (set, relay, false);
}

struct relay *
relay_set_tick (struct relay_set *set, int64_t now_ms)
{
  struct relay *relay;

  TAILQ_FOREACH (relay, &set->relays, link)
    {
      bool overdue =
          relay->unacked_since_ms > 0 && now_ms - relay->unacked_since_ms > RELAY_ACK_TIMEOUT_MS;

      if (overdue)
        relay->usable_ms = 0;
      if (overdue && relay->used)
        {
          relay->has_failed = true;
          relay_set_used (set, relay, false);
          return relay;
        }
    }
  return NULL;
}

/* Returns a relay's weight for an endpoint. */
static uint64_t
relay_weight (const struct relay *relay, uint64_t endpoint_hash)
{
  uint64_t seeds[2] = { relay->hash, endpoint_hash };

  return XXH3_64bits (seeds, sizeof seeds);
}

struct relay *
relay_set_choose (const struct relay_set *set, struct relay_route *route, const char *endpoint)
{
  struct relay *relay;
  uint64_t endpoint_hash;
  uint64_t best_weight = 0;

  if (route->generation == set->generation)
    return route->relay;
  route->generation = set->generation;
  route->relay = NULL;
  endpoint_hash = XXH3_64bits_withSeed (endpoint, strlen (endpoint), route->detours);
  TAILQ_FOREACH (relay, &set->relays, link)
    {
      uint64_t weight = relay_weight (relay, endpoint_hash);

      if (!relay->used || (route->relay && weight <= best_weight))
        continue;
      route->relay = relay;
      best_weight = weight;
    }
  return route->relay;
}

void
relay_route_failed (struct relay_route *route)
{
  route->detours++;
  route->generation = 0;
}
