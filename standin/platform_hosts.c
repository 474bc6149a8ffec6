#include "platform.h"

#include <string.h>

/* Returns a host as the host list shows it. */
static json_t *
host_to_json (const struct standin_host *host)
{
  return json_pack ("{s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:i, s:s}", "name", host->name,
                    "host_class", host->host_class, "pool", host->pool, "rack", host->rack,
                    "data_centre", host->data_centre, "region", host->region, "address",
                    host->address, "port", (int) host->port, "presence", host->presence);
}

static void
host_change_clear (void *data)
{
  struct host_change *change = data;

  json_decref (change->json);
}

/* Records a change of a host; the host list shows it after its lag. */
void
standin_host_changed (struct platform *platform, struct standin_host *host)
{
  struct host_change change = {
    .version = platform->changes->len + 1,
    .time_ms = platform->clock.now_ms,
    .json = host_to_json (host),
  };

  json_object_set_new (change.json, "version", json_integer ((json_int_t) change.version));
  g_array_append_val (platform->changes, change);
}

struct standin_host *
standin_host_find (struct platform *platform, const char *name)
{
  struct standin_host *host;

  LIST_FOREACH (host, &platform->hosts, link)
    {
      if (strcmp (host->name, name) == 0)
        return host;
    }
  return NULL;
}

/* Adds a host from NAME/CLASS/POOL/RACK/DC/REGION/IP/PORT. Returns false if the string is malformed
 * or the name is in use. */
bool
standin_host_add (struct platform *platform, const char *text)
{
  enum
  {
    PARTS = 8
  };
  g_auto (GStrv) parts = g_strsplit (text, "/", -1);
  struct standin_host *host;
  guint64 port;

  if (g_strv_length (parts) != PARTS || standin_host_find (platform, parts[0]) ||
      !g_ascii_string_to_unsigned (parts[7], 10, 1, UINT16_MAX, &port, NULL))
    return false;
  host = g_new0 (struct standin_host, 1);
  host->name = g_strdup (parts[0]);
  host->host_class = g_strdup (parts[1]);
  host->pool = g_strdup (parts[2]);
  host->previous_pool = g_strdup ("");
  host->rack = g_strdup (parts[3]);
  host->data_centre = g_strdup (parts[4]);
  host->region = g_strdup (parts[5]);
  host->address = g_strdup (parts[6]);
  host->port = (uint16_t) port;
  host->presence = "live";
  host->tasks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  LIST_INSERT_HEAD (&platform->hosts, host, link);
  standin_host_changed (platform, host);
  return true;
}

static void
host_destroy (struct standin_host *host)
{
  LIST_REMOVE (host, link);
  g_hash_table_unref (host->tasks);
  g_free (host->name);
  g_free (host->host_class);
  g_free (host->pool);
  g_free (host->previous_pool);
  g_free (host->rack);
  g_free (host->data_centre);
  g_free (host->region);
  g_free (host->address);
  g_free (host);
}

/* Adds the hosts of the settings; the list shows them from the start, without lag. */
bool
standin_hosts_init (struct platform *platform)
{
  g_auto (GStrv) descriptions = g_strsplit (platform->settings->hosts, ",", -1);

  platform->changes = g_array_new (FALSE, FALSE, sizeof (struct host_change));
  g_array_set_clear_func (platform->changes, host_change_clear);
  for (size_t i = 0; descriptions[i]; i++)
    {
      if (descriptions[i][0] != '\0' && !standin_host_add (platform, descriptions[i]))
        return false;
    }
  for (guint i = 0; i < platform->changes->len; i++)
    g_array_index (platform->changes, struct host_change, i).time_ms = 0;
  return true;
}

void
standin_hosts_finish (struct platform *platform)
{
  struct standin_host *host;
  struct standin_host *next;

  for (host = LIST_FIRST (&platform->hosts); host; host = next)
    {
      next = LIST_NEXT (host, link);
      host_destroy (host);
    }
  g_array_unref (platform->changes);
}

/* Answers with the last change of each host after a version; changes within the list's lag are left
 * out. */
void
standin_hosts_list (struct platform *platform, struct http_request *request)
{
  uint64_t since = request_number (request, "since", 0);
  int64_t shown_ms = platform->clock.now_ms - platform->faults.host_list_lag_ms;
  json_t *by_name = json_object ();
  json_t *hosts = json_array ();
  uint64_t version = since;
  const char *name;
  json_t *host;

  for (guint i = 0; i < platform->changes->len; i++)
    {
      struct host_change *change = &g_array_index (platform->changes, struct host_change, i);

      if (change->version <= since || change->time_ms > shown_ms)
        continue;
      version = change->version;
      json_object_set (by_name, json_string_value (json_object_get (change->json, "name")),
                       change->json);
    }
  json_object_foreach (by_name, name, host)
    json_array_append (hosts, host);
  json_decref (by_name);
  platform_answer_json (platform, request, 200,
                        json_pack ("{s:I, s:o}", "version", (json_int_t) version, "hosts", hosts),
                        0);
}
