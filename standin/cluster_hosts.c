#include <string.h>

#include "cluster.h"
#include "common/http_json.h"

/* The machine list, with moves between pools, maintenance and crashes. */

enum
{
  /* How long a host is down after a crash. */
  CRASHED_MS = 1500,
};

/* Returns the name of a state in the machine list. */
static const char *
state_name (enum cluster_host_state state)
{
  static const char *const names[] = { "up", "moving", "upkeep", "down" };

  return names[state];
}

static void
host_free (gpointer data)
{
  struct cluster_host *host = data;

  g_free (host->id);
  g_free (host->pool);
  g_hash_table_destroy (host->waves);
  g_free (host);
}

/* Creates the hosts given by the setting pools (NAME=COUNT,...); the last pool is the standby pool.
 * Returns false if the setting is malformed. */
bool
cluster_hosts_init (struct cluster *cluster)
{
  g_auto (GStrv) pools = g_strsplit (cluster->settings->pools, ",", -1);

  cluster->hosts = g_ptr_array_new_with_free_func (host_free);
  LIST_INIT (&cluster->endpoints);
  for (char **pool = pools; *pool; pool++)
    {
      g_auto (GStrv) parts = g_strsplit (*pool, "=", 2);

      if (!parts[0] || !parts[1])
        return false;
      g_free (cluster->standby_pool);
      cluster->standby_pool = g_strdup (parts[0]);
      for (int64_t n = g_ascii_strtoll (parts[1], NULL, 10); n > 0; n--)
        {
          struct cluster_host *host = g_new0 (struct cluster_host, 1);

          host->id = g_strdup_printf ("m-%u", cluster->hosts->len);
          host->pool = g_strdup (parts[0]);
          host->waves = g_hash_table_new (g_direct_hash, g_direct_equal);
          g_ptr_array_add (cluster->hosts, host);
        }
    }
  return true;
}

void
cluster_hosts_finish (struct cluster *cluster)
{
  while (!LIST_EMPTY (&cluster->endpoints))
    cluster_endpoint_destroy (LIST_FIRST (&cluster->endpoints));
  if (cluster->endpoint_faults.rand)
    g_rand_free (cluster->endpoint_faults.rand);
  g_ptr_array_free (cluster->hosts, TRUE);
  g_free (cluster->standby_pool);
}

/* Returns hosts to service after a move, maintenance or a crash, and starts endpoints on hosts
 * outside the standby pool. */
void
cluster_hosts_tick (struct cluster *cluster)
{
  for (guint i = 0; i < cluster->hosts->len; i++)
    {
      struct cluster_host *host = g_ptr_array_index (cluster->hosts, i);

      if (host->state != CLUSTER_HOST_UP && cluster->clock.now_ms < host->available_ms)
        continue;
      host->state = CLUSTER_HOST_UP;
      if (!host->endpoint && strcmp (host->pool, cluster->standby_pool) != 0)
        host->endpoint = cluster_endpoint_create (cluster, i);
    }
}

/* Answers with the list of all hosts. */
static void
hosts_list (const struct cluster *cluster, struct http_request *request)
{
  json_t *list = json_array ();

  for (guint i = 0; i < cluster->hosts->len; i++)
    {
      const struct cluster_host *host = g_ptr_array_index (cluster->hosts, i);

      json_array_append_new (list, json_pack ("{s:s,s:s,s:s,s:s,s:[s],s:{s:i,s:i,s:i},s:s?}",
                                              "machine", host->id, "pool", host->pool, "state",
                                              state_name (host->state), "zone", "z", "labels", "a",
                                              "capacity", "cpu", 8000, "mem_mb", 16000, "gpu", 0,
                                              "id", host->endpoint ? host->endpoint->id : NULL));
    }
  http_request_respond_json (request, 200, json_pack ("{s:o,s:n}", "machines", list, "next_token"));
}

static struct cluster_host *
cluster_find_host (const struct cluster *cluster, const char *id)
{
  for (guint i = 0; i < cluster->hosts->len; i++)
    {
      struct cluster_host *host = g_ptr_array_index (cluster->hosts, i);

      if (g_strcmp0 (host->id, id) == 0)
        return host;
    }
  return NULL;
}

/* Takes a host out of service for some time and ends its endpoint. */
static void
host_take_down (struct cluster *cluster, struct cluster_host *host, enum cluster_host_state state,
                int64_t for_ms)
{
  host->state = state;
  host->available_ms = cluster->clock.now_ms + for_ms;
  if (host->endpoint)
    cluster_endpoint_end (host->endpoint);
  host->endpoint = NULL;
}

void
cluster_host_crash (struct cluster *cluster, struct cluster_host *host)
{
  host_take_down (cluster, host, CLUSTER_HOST_DOWN, CRASHED_MS);
}

static unsigned
count_in_maintenance (const struct cluster *cluster)
{
  unsigned n = 0;

  for (guint i = 0; i < cluster->hosts->len; i++)
    n += ((struct cluster_host *) g_ptr_array_index (cluster->hosts, i))->state ==
         CLUSTER_HOST_MAINTENANCE;
  return n;
}

/* Moves a host to another pool. Returns NULL on success, otherwise the reason for the rejection. */
static const char *
host_move (struct cluster *cluster, struct cluster_host *host, const char *pool)
{
  if (strcmp (host->pool, pool) == 0)
    return NULL;
  if (host->state != CLUSTER_HOST_UP)
    return "busy";
  g_free (host->pool);
  host->pool = g_strdup (pool);
  host_take_down (cluster, host, CLUSTER_HOST_MOVING, cluster->settings->move_ms);
  cluster->moves++;
  return NULL;
}

/* Starts maintenance of a host, once for each wave. Returns NULL on success, otherwise the reason
 * for the rejection. */
static const char *
host_maintain (struct cluster *cluster, struct cluster_host *host, int64_t wave)
{
  if (g_hash_table_contains (host->waves, GINT_TO_POINTER (wave)))
    return NULL;
  if (host->state != CLUSTER_HOST_UP)
    return "busy";
  g_hash_table_add (host->waves, GINT_TO_POINTER (wave));
  host_take_down (cluster, host, CLUSTER_HOST_MAINTENANCE, cluster->settings->move_ms);
  cluster->maintenances++;
  cluster->max_in_maintenance = MAX (cluster->max_in_maintenance, count_in_maintenance (cluster));
  return NULL;
}

/* Applies a command for a host: a move if the body names a pool, otherwise maintenance. A command
 * with a lower fencing token than the host has seen is rejected with the reason "fence". */
static void
hosts_handle_command (struct cluster *cluster, struct http_request *request, const json_t *body)
{
  const char *token_text = http_request_header (request, "X-Fencing-Token");
  uint64_t fencing_token = token_text ? g_ascii_strtoull (token_text, NULL, 10) : 0;
  const char *pool = json_string_value (json_object_get (body, "pool"));
  struct cluster_host *host =
      cluster_find_host (cluster, json_string_value (json_object_get (body, "machine")));
  const char *reason = "fence";

  if (!host)
    {
      http_request_respond_json (request, 400, json_pack ("{s:s}", "error", "no such machine"));
      return;
    }
  if (fencing_token >= host->fencing_token)
    {
      host->fencing_token = fencing_token;
      reason =
          pool ? host_move (cluster, host, pool)
               : host_maintain (cluster, host, json_integer_value (json_object_get (body, "wave")));
    }
  if (reason)
    http_request_respond_json (request, 409, json_pack ("{s:s}", "reason", reason));
  else
    http_request_respond_json (request, 200, json_object ());
}

/* Handles a request to the machine list: GET lists the hosts, any other method is a command. */
void
cluster_hosts_handle (void *ctx, struct http_request *request)
{
  struct cluster *cluster = ctx;
  size_t len;
  const void *data = http_request_body (request, &len);
  json_t *body;

  cluster_now_ms (cluster);
  if (strcmp (http_request_method (request), "GET") == 0)
    {
      hosts_list (cluster, request);
      return;
    }
  body = json_loadb (data, len, 0, NULL);
  hosts_handle_command (cluster, request, body);
  json_decref (body);
}
