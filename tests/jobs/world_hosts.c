#include "world_state.h"

#include <string.h>

/* Hosts and the lives of their endpoints, as the registry and the machine list show them. */

void
endpoint_clear (gpointer data)
{
  struct world_endpoint *endpoint = data;

  g_ptr_array_free (endpoint->runs, TRUE);
  g_ptr_array_free (endpoint->ends, TRUE);
  g_hash_table_destroy (endpoint->ended);
  g_free (endpoint->id);
  g_free (endpoint->host);
  g_free (endpoint->pool);
  g_free (endpoint->rack);
  g_free (endpoint);
}

/* Adds a life of a host to its pool. */
static void
world_add_endpoint (struct world *world, struct world_host *host)
{
  struct world_endpoint *endpoint = g_new0 (struct world_endpoint, 1);

  endpoint->id = g_strdup_printf ("e%u", world->endpoints->len);
  endpoint->host = g_strdup (host->id);
  endpoint->pool = g_strdup (host->pool);
  endpoint->rack = g_strdup (host->rack);
  endpoint->up = true;
  endpoint->listed = true;
  endpoint->born_ms = 1000000 + world->now_ms;
  endpoint->capacity = (struct resources){ .cpu_milli = 10000, .memory_mb = 100000 };
  endpoint->runs = g_ptr_array_new_with_free_func (run_destroy);
  endpoint->ends = g_ptr_array_new_with_free_func (end_destroy);
  endpoint->ended = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  host->endpoint = (int) world->endpoints->len;
  g_ptr_array_add (world->endpoints, endpoint);
}

void
world_add_pool (struct world *world, const char *name, bool standby)
{
  if (standby)
    world->standby = g_strdup (name);
}

void
world_add_hosts (struct world *world, const char *pool, unsigned n)
{
  enum
  {
    HOSTS_A_RACK = 4,
  };

  for (unsigned i = 0; i < n; i++)
    {
      struct world_host *host = &world->hosts[world->n_hosts];

      *host = (struct world_host){
        .id = g_strdup_printf ("m%u", world->n_hosts),
        .pool = g_strdup (pool),
        .rack = g_strdup_printf ("r-%u", world->n_hosts / HOSTS_A_RACK),
        .endpoint = -1,
      };
      world->n_hosts++;
      if (g_strcmp0 (pool, world->standby) != 0)
        world_add_endpoint (world, host);
    }
}

/* Tells the scheduler what the registry says of an endpoint. */
static void
world_list_endpoint (struct world *world, const struct world_endpoint *endpoint)
{
  const char *labels[] = { "a", endpoint->rack, NULL };
  struct endpoint_entry entry = {
    .id = endpoint->id,
    .pool = endpoint->pool,
    .address = "127.0.0.1:1",
    .labels = labels,
    .draining = endpoint->draining,
    .remaining_ms = -1,
    .born_ms = endpoint->born_ms,
    .capacity = endpoint->capacity,
  };

  scheduler_endpoint_listed (world->scheduler, &entry, world->now_ms);
}

/* Reads the registry. */
static void
world_list_endpoints (struct world *world)
{
  for (unsigned i = 0; i < world->endpoints->len; i++)
    {
      const struct world_endpoint *endpoint = g_ptr_array_index (world->endpoints, i);

      if (endpoint->listed)
        world_list_endpoint (world, endpoint);
      else
        scheduler_endpoint_gone (world->scheduler, endpoint->id, world->now_ms);
    }
  scheduler_registry_read (world->scheduler);
}

/* Reads the machine list. */
static void
world_list_hosts (struct world *world)
{
  struct host_entry entries[WORLD_HOSTS_MAX];
  const char *labels[WORLD_HOSTS_MAX][3];

  for (unsigned i = 0; i < world->n_hosts; i++)
    {
      /* Each leader reads them in another order. */
      const struct world_host *host = &world->hosts[(i + world->epoch) % world->n_hosts];

      labels[i][0] = "a";
      labels[i][1] = host->rack;
      labels[i][2] = NULL;
      entries[i] = (struct host_entry){
        .id = host->id,
        .pool = host->pool,
        .state = host->state,
        .endpoint =
            host->endpoint >= 0
                ? ((struct world_endpoint *) g_ptr_array_index (world->endpoints, host->endpoint))
                      ->id
                : NULL,
        .labels = labels[i],
        .capacity = { .cpu_milli = 10000, .memory_mb = 100000 },
      };
    }
  scheduler_hosts_listed (world->scheduler, entries, world->n_hosts, world->now_ms, world->now_ms);
}

/* Reads both, in either order. */
void
world_list (struct world *world)
{
  if (g_rand_boolean (world->random))
    {
      world_list_endpoints (world);
      world_list_hosts (world);
      return;
    }
  world_list_hosts (world);
  world_list_endpoints (world);
}

/* Finds an endpoint by its id. */
struct world_endpoint *
world_endpoint (const struct world *world, const char *id)
{
  for (guint i = 0; i < world->endpoints->len; i++)
    {
      struct world_endpoint *endpoint = g_ptr_array_index (world->endpoints, i);

      if (strcmp (endpoint->id, id) == 0)
        return endpoint;
    }
  return NULL;
}

/* A host leaves its present life. */
static struct world_host *
world_end_life (struct world *world, const char *id, enum host_state state, int64_t for_ms)
{
  for (unsigned i = 0; i < world->n_hosts; i++)
    {
      struct world_host *host = &world->hosts[i];

      if (strcmp (host->id, id) != 0)
        continue;
      host->state = state;
      host->up_ms = world->now_ms + for_ms;
      if (host->endpoint >= 0)
        {
          struct world_endpoint *endpoint = g_ptr_array_index (world->endpoints, host->endpoint);

          endpoint->up = false;
          endpoint->listed = false;
          g_ptr_array_set_size (endpoint->runs, 0);
        }
      host->endpoint = -1;
      return host;
    }
  return NULL;
}

/* Carries a move out. */
void
world_move (struct world *world, const struct event *event)
{
  struct world_host *host;

  if (event->generation != world->generation)
    return;
  host = world_end_life (world, event->host->id, HOST_MOVING, MOVE_MS);
  g_free (host->pool);
  host->pool = g_strdup (event->pool);
  world->moves++;
  scheduler_move_done (world->scheduler, event->host, HOST_ORDER_DONE, world->now_ms);
}

/* Carries a maintenance out. */
void
world_maintain (struct world *world, const struct event *event)
{
  struct world_host *host;
  unsigned away = 0;

  if (event->generation != world->generation)
    return;
  for (unsigned i = 0; i < world->n_hosts; i++)
    {
      away += world->hosts[i].state == HOST_IN_MAINTENANCE;
      if (strcmp (world->hosts[i].id, event->host->id) == 0 &&
          world->hosts[i].maintained_in == event->wave)
        {
          /* Done before: nothing happens. */
          scheduler_maintain_done (world->scheduler, event->host, event->wave, HOST_ORDER_DONE,
                                   world->now_ms);
          return;
        }
    }
  world->over_wave_limit += away >= world->wave.most_at_once;
  host = world_end_life (world, event->host->id, HOST_IN_MAINTENANCE, MAINTENANCE_MS);
  host->maintained_in = event->wave;
  scheduler_maintain_done (world->scheduler, event->host, event->wave, HOST_ORDER_DONE,
                           world->now_ms);
}

/* Brings hosts back whose time away is over. */
void
world_return_hosts (struct world *world)
{
  for (unsigned i = 0; i < world->n_hosts; i++)
    {
      struct world_host *host = &world->hosts[i];

      if ((host->state != HOST_MOVING && host->state != HOST_IN_MAINTENANCE) ||
          world->now_ms < host->up_ms)
        continue;
      host->state = HOST_UP;
      if (g_strcmp0 (host->pool, world->standby) != 0)
        world_add_endpoint (world, host);
    }
}

void
world_crash (struct world *world, struct world_endpoint *endpoint, bool reborn)
{
  g_ptr_array_set_size (endpoint->runs, 0);
  g_ptr_array_set_size (endpoint->ends, 0);
  g_hash_table_remove_all (endpoint->ended);
  endpoint->last_end = 0;
  endpoint->fence = 0;
  endpoint->lease_end_ms = 0;
  endpoint->up = reborn;
  if (reborn)
    endpoint->born_ms = 1000000 + world->now_ms;
}
