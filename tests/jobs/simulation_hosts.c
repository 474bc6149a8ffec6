#include "simulation_state.h"

#include <string.h>

/* Hosts and the incarnations of their endpoints, as the registry and the machine list show them. */

void
simulated_endpoint_destroy (gpointer data)
{
  struct simulated_endpoint *endpoint = data;

  g_ptr_array_free (endpoint->attempts, TRUE);
  g_ptr_array_free (endpoint->completions, TRUE);
  g_hash_table_destroy (endpoint->ended_attempts);
  g_free (endpoint->id);
  g_free (endpoint->host);
  g_free (endpoint->pool);
  g_free (endpoint->rack);
  g_free (endpoint);
}

/* Returns what an endpoint's clock shows, which belongs to its incarnation. */
int64_t
simulated_endpoint_clock_ms (const struct simulation *simulation,
                             const struct simulated_endpoint *endpoint)
{
  return CLOCK_FIRST_MS + (simulation->now_ms - endpoint->clock_start_ms) *
                              (PERMILLE - endpoint->clock_slow_permille) / PERMILLE;
}

/* Starts an incarnation of an endpoint with a clock of its own, which is exact, 1% or 2% slow. */
void
simulated_endpoint_begin_incarnation (struct simulation *simulation,
                                      struct simulated_endpoint *endpoint)
{
  endpoint->born_ms = BORN_OFFSET_MS + simulation->now_ms;
  endpoint->clock_start_ms = simulation->now_ms;
  endpoint->clock_slow_permille = 10 * g_rand_int_range (simulation->random, 0, 3);
  endpoint->lease_end_ms = 0;
}

/* Adds an endpoint to a host's pool: the host's new incarnation. */
static void
simulation_add_endpoint (struct simulation *simulation, struct simulated_host *host)
{
  struct simulated_endpoint *endpoint = g_new0 (struct simulated_endpoint, 1);

  endpoint->id = g_strdup_printf ("e%u", simulation->endpoints->len);
  endpoint->host = g_strdup (host->id);
  endpoint->pool = g_strdup (host->pool);
  endpoint->rack = g_strdup (host->rack);
  endpoint->kind = "a";
  endpoint->up = true;
  endpoint->listed = true;
  endpoint->sequence = 1;
  simulated_endpoint_begin_incarnation (simulation, endpoint);
  endpoint->capacity = (struct resources){ .cpu_milli = 10000, .memory_mb = 100000 };
  endpoint->attempts = g_ptr_array_new_with_free_func (attempt_destroy);
  endpoint->completions = g_ptr_array_new_with_free_func (completion_destroy);
  endpoint->ended_attempts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  host->endpoint = (int) simulation->endpoints->len;
  g_ptr_array_add (simulation->endpoints, endpoint);
}

void
simulation_add_pool (struct simulation *simulation, const char *name, bool standby)
{
  if (standby)
    simulation->standby = g_strdup (name);
}

void
simulation_add_hosts (struct simulation *simulation, const char *pool, unsigned n)
{
  enum
  {
    HOSTS_PER_RACK = 4,
  };

  for (unsigned i = 0; i < n; i++)
    {
      struct simulated_host *host = &simulation->hosts[simulation->n_hosts];

      *host = (struct simulated_host){
        .id = g_strdup_printf ("m%u", simulation->n_hosts),
        .pool = g_strdup (pool),
        .rack = g_strdup_printf ("r-%u", simulation->n_hosts / HOSTS_PER_RACK),
        .endpoint = -1,
      };
      simulation->n_hosts++;
      if (g_strcmp0 (pool, simulation->standby) != 0)
        simulation_add_endpoint (simulation, host);
    }
}

/* Passes an endpoint's registry entry to the scheduler. */
void
simulation_list_endpoint (struct simulation *simulation, const struct simulated_endpoint *endpoint)
{
  const char *labels[] = { endpoint->listed_kind, endpoint->rack, NULL };
  struct endpoint_entry entry = {
    .id = endpoint->id,
    .pool = endpoint->pool,
    .address = "127.0.0.1:1",
    .labels = labels,
    .draining = endpoint->draining,
    .remaining_ms = -1,
    .born_ms = endpoint->listed_born_ms,
    .sequence = endpoint->sequence,
    .capacity = endpoint->capacity,
  };

  scheduler_endpoint_listed (simulation->scheduler, &entry, simulation->now_ms);
}

/* Passes the whole registry to the scheduler. */
static void
simulation_read_registry (struct simulation *simulation)
{
  for (unsigned i = 0; i < simulation->endpoints->len; i++)
    {
      struct simulated_endpoint *endpoint = g_ptr_array_index (simulation->endpoints, i);

      if (!endpoint->registers_late && (!endpoint->unreachable || !endpoint->cut_off_from_registry))
        {
          endpoint->listed_born_ms = endpoint->born_ms;
          endpoint->listed_kind = endpoint->kind;
        }
      if (endpoint->listed)
        simulation_list_endpoint (simulation, endpoint);
      else
        scheduler_endpoint_unlisted (simulation->scheduler, endpoint->id, simulation->now_ms);
    }
  scheduler_registry_read (simulation->scheduler);
}

/* Passes the machine list to the scheduler. */
static void
simulation_read_machine_list (struct simulation *simulation)
{
  struct host_entry entries[SIMULATION_HOSTS_MAX];
  const char *labels[SIMULATION_HOSTS_MAX][3];

  if (simulation->machine_list_unreadable)
    return;
  for (unsigned i = 0; i < simulation->n_hosts; i++)
    {
      /* Each leader reads the hosts in another order. */
      const struct simulated_host *host =
          &simulation->hosts[(i + simulation->epoch) % simulation->n_hosts];

      labels[i][0] = "a";
      labels[i][1] = host->rack;
      labels[i][2] = NULL;
      entries[i] = (struct host_entry){
        .id = host->id,
        .pool = host->pool,
        .state = host->state,
        .endpoint = host->endpoint >= 0 ? ((struct simulated_endpoint *) g_ptr_array_index (
                                               simulation->endpoints, host->endpoint))
                                              ->id
                                        : NULL,
        .labels = labels[i],
        .capacity = { .cpu_milli = 10000, .memory_mb = 100000 },
      };
    }
  scheduler_hosts_listed (simulation->scheduler, entries, simulation->n_hosts, true,
                          simulation->now_ms, simulation->now_ms);
}

/* Passes the registry and the machine list to the scheduler, in random order. */
void
simulation_read_lists (struct simulation *simulation)
{
  if (simulation->lists_unreadable)
    return;
  if (g_rand_boolean (simulation->random))
    {
      simulation_read_registry (simulation);
      simulation_read_machine_list (simulation);
      return;
    }
  simulation_read_machine_list (simulation);
  simulation_read_registry (simulation);
}

struct simulated_endpoint *
simulation_find_endpoint (const struct simulation *simulation, const char *id)
{
  for (guint i = 0; i < simulation->endpoints->len; i++)
    {
      struct simulated_endpoint *endpoint = g_ptr_array_index (simulation->endpoints, i);

      if (strcmp (endpoint->id, id) == 0)
        return endpoint;
    }
  return NULL;
}

/* Ends the present incarnation of a host, which stays in state for for_ms. */
static struct simulated_host *
simulation_end_incarnation (struct simulation *simulation, const char *id, enum host_state state,
                            int64_t for_ms)
{
  for (unsigned i = 0; i < simulation->n_hosts; i++)
    {
      struct simulated_host *host = &simulation->hosts[i];

      if (strcmp (host->id, id) != 0)
        continue;
      host->state = state;
      host->up_ms = simulation->now_ms + for_ms;
      if (host->endpoint >= 0)
        {
          struct simulated_endpoint *endpoint =
              g_ptr_array_index (simulation->endpoints, host->endpoint);

          endpoint->up = false;
          endpoint->listed = false;
          g_ptr_array_set_size (endpoint->attempts, 0);
        }
      host->endpoint = -1;
      return host;
    }
  return NULL;
}

/* Returns whether a command may be carried out on a host: no command with a higher token has
 * reached it. */
static bool
simulated_host_accept_token (struct simulated_host *host, uint64_t token)
{
  if (token < host->token)
    return false;
  host->token = token;
  return true;
}

static struct simulated_host *
simulation_find_host (struct simulation *simulation, const char *id)
{
  for (unsigned i = 0; i < simulation->n_hosts; i++)
    {
      if (strcmp (simulation->hosts[i].id, id) == 0)
        return &simulation->hosts[i];
    }
  return NULL;
}

/* Carries out a move. */
enum host_command_result
simulation_move_host (struct simulation *simulation, const struct event *event)
{
  struct simulated_host *host = simulation_find_host (simulation, event->name);

  if (!simulated_host_accept_token (host, event->token))
    return HOST_COMMAND_FENCED;
  if (strcmp (host->pool, event->pool) == 0)
    return HOST_COMMAND_DONE;
  if (host->state != HOST_UP)
    return HOST_COMMAND_BUSY;
  if (host->endpoint >= 0)
    simulation->attempts_ended_by_moves +=
        ((struct simulated_endpoint *) g_ptr_array_index (simulation->endpoints, host->endpoint))
            ->attempts->len;
  simulation_end_incarnation (simulation, host->id, HOST_MOVING, MOVE_MS);
  g_free (host->pool);
  host->pool = g_strdup (event->pool);
  simulation->moves++;
  return HOST_COMMAND_DONE;
}

/* Carries out a maintenance. */
enum host_command_result
simulation_maintain_host (struct simulation *simulation, const struct event *event)
{
  struct simulated_host *host = simulation_find_host (simulation, event->name);
  unsigned unavailable = 0;

  if (!simulated_host_accept_token (host, event->token))
    return HOST_COMMAND_FENCED;
  if (host->in_no_wave)
    return HOST_COMMAND_NOT_IN_WAVE;
  if (host->maintained_in == event->wave)
    return HOST_COMMAND_DONE;
  if (host->state != HOST_UP)
    return HOST_COMMAND_BUSY;
  for (unsigned i = 0; i < simulation->n_hosts; i++)
    unavailable += simulation->hosts[i].state == HOST_IN_MAINTENANCE;
  simulation->over_wave_limit += unavailable >= simulation->wave.max_unavailable;
  simulation_end_incarnation (simulation, host->id, HOST_IN_MAINTENANCE, MAINTENANCE_MS);
  host->maintained_in = event->wave;
  return HOST_COMMAND_DONE;
}

/* Brings back the hosts whose move or maintenance is over. */
void
simulation_return_hosts (struct simulation *simulation)
{
  for (unsigned i = 0; i < simulation->n_hosts; i++)
    {
      struct simulated_host *host = &simulation->hosts[i];

      if ((host->state != HOST_MOVING && host->state != HOST_IN_MAINTENANCE && !host->crashed) ||
          simulation->now_ms < host->up_ms)
        continue;
      host->state = HOST_UP;
      host->crashed = false;
      if (g_strcmp0 (host->pool, simulation->standby) != 0)
        simulation_add_endpoint (simulation, host);
    }
}

void
simulation_crash_endpoint (struct simulation *simulation, struct simulated_endpoint *endpoint,
                           bool restarts)
{
  g_ptr_array_set_size (endpoint->attempts, 0);
  g_ptr_array_set_size (endpoint->completions, 0);
  g_hash_table_remove_all (endpoint->ended_attempts);
  endpoint->last_completion = 0;
  endpoint->fence = 0;
  endpoint->up = restarts;
  if (restarts)
    simulated_endpoint_begin_incarnation (simulation, endpoint);
}

/* Counts the crash for the tasks on an endpoint that crash their endpoints. */
static void
simulation_count_crash (struct simulation *simulation, const struct simulated_endpoint *endpoint)
{
  for (guint i = 0; i < endpoint->attempts->len; i++)
    {
      const struct simulated_attempt *attempt = g_ptr_array_index (endpoint->attempts, i);
      struct crashing_task *crashing =
          g_hash_table_lookup (simulation->crashing_tasks, attempt->task);

      if (crashing)
        crashing->crashes++;
    }
  simulation->crashes++;
}

void
simulation_crash_host (struct simulation *simulation, struct simulated_endpoint *endpoint)
{
  struct simulated_host *host = simulation_find_host (simulation, endpoint->host);
  g_autoptr (GPtrArray) lost = g_ptr_array_new_with_free_func (g_free);

  simulation_log (simulation, "crash: endpoint=%s attempts=%u", endpoint->id,
                  endpoint->attempts->len);
  endpoint->crash_ms = 0;
  simulation_count_crash (simulation, endpoint);
  for (guint i = 0; i < endpoint->attempts->len; i++)
    g_ptr_array_add (
        lost,
        g_strdup (((struct simulated_attempt *) g_ptr_array_index (endpoint->attempts, i))->task));
  simulation_end_incarnation (simulation, host->id, HOST_DOWN, CRASHED_MS);
  host->crashed = true;
  simulation_crash_endpoint (simulation, endpoint, false);
  for (guint i = 0; i < lost->len; i++)
    simulation_end_gang (simulation, g_ptr_array_index (lost, i));
}
