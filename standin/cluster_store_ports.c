#define _GNU_SOURCE
#include <string.h>

#include "cluster.h"
#include "common/http_json.h"

/* Ports of the simulated store for one entry host each. */

/* Handles a request on a host's port. */
static void
store_port_on_request (void *ctx, struct http_request *request)
{
  struct store_port *port = ctx;

  cluster_store_handle (port->cluster, request, port);
}

bool
store_ports_open (struct cluster *cluster, struct http_server_config *config, uint16_t first_port)
{
  for (unsigned n = 0; n < STORE_PORTS; n++)
    {
      struct store_port *port = &cluster->store_ports[n];

      port->cluster = cluster;
      port->shown = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      config->port = (uint16_t) (first_port + n);
      config->handle = store_port_on_request;
      config->ctx = port;
      port->server = http_server_create (cluster->loop, config);
      if (!port->server)
        return false;
    }
  return true;
}

void
store_ports_close (struct cluster *cluster)
{
  for (unsigned n = 0; n < STORE_PORTS; n++)
    {
      http_server_destroy (cluster->store_ports[n].server);
      g_hash_table_destroy (cluster->store_ports[n].shown);
    }
}

/* Sets the mode of a port. Returns false if there is none of that name. */
static bool
store_port_set_mode (struct store_port *port, const char *name)
{
  if (strcmp (name, "up") == 0)
    port->mode = STORE_UP;
  else if (strcmp (name, "busy") == 0)
    port->mode = STORE_BUSY;
  else if (strcmp (name, "silent") == 0)
    port->mode = STORE_UNRESPONSIVE;
  else
    return false;
  return true;
}

bool
store_ports_set_faults (struct cluster *cluster, const json_t *body)
{
  const json_t *host = json_object_get (body, "entry_host");
  const char *mode = json_string_value (json_object_get (body, "entry_store"));
  json_int_t n = json_integer_value (host);
  const char *from;
  const json_t *to;

  if (!host)
    return true;
  if (n < 0 || n >= STORE_PORTS || (mode && !store_port_set_mode (&cluster->store_ports[n], mode)))
    return false;
  json_object_foreach ((json_t *) json_object_get (body, "shown"), from, to)
    {
      if (json_string_length (to) != strlen (from))
        return false;
      g_hash_table_replace (cluster->store_ports[n].shown, g_strdup (from),
                            g_strdup (json_string_value (to)));
    }
  return true;
}

GBytes *
store_port_show (const struct store_port *port, const char *key, GBytes *value)
{
  gsize len;
  const guint8 *data = g_bytes_get_data (value, &len);
  GHashTableIter each;
  gpointer from;
  gpointer to;

  if (!port || !g_str_has_prefix (key, "h/"))
    return g_bytes_ref (value);
  g_hash_table_iter_init (&each, port->shown);
  while (g_hash_table_iter_next (&each, &from, &to))
    {
      const guint8 *at = memmem (data, len, from, strlen (from));
      guint8 *copy;

      if (!at)
        continue;
      copy = g_memdup2 (data, len);
      memcpy (copy + (at - data), to, strlen (from));
      return g_bytes_new_take (copy, len);
    }
  return g_bytes_ref (value);
}
