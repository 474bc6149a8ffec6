#include "cluster.h"

#include <string.h>

/* Calls to a cluster: operator requests, faults, changes, and the platform's journal. */

enum
{
  PROXY_READY_LIMIT_MS = 8000,
  CALL_TIMEOUT_MS = 12000,
  READ_LIMIT_MS = 3000,
  POLL_INTERVAL_MS = 20,
};

/* Calls a URL as the operator "tester". */
struct reply
reply_fetch (const char *method, const char *url, const char *body)
{
  static const char *const headers[] = { "Sesamepick-Operator: tester", NULL };
  struct fetched fetched;
  struct reply reply;

  fetch (&fetched, method, url, headers, body, CALL_TIMEOUT_MS);
  reply.status = fetched.status;
  reply.json = json_loadb (fetched.body, fetched.body_len, 0, NULL);
  fetched_clear (&fetched);
  return reply;
}

/* Sets a fault at the proxy. Retries, since the proxy may still be starting. */
void
cluster_set_proxy_fault (const struct cluster *cluster, int i, const char *mode)
{
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%u/standin/faults",
                                          cluster->first_port + CLUSTER_PROXY_ADMIN_PORT);
  g_autofree char *body =
      g_strdup_printf ("{\"port\":%d,\"mode\":\"%s\"}",
                       i < 0 ? 0 : cluster->first_port + CLUSTER_FIRST_PROXY_PORT + i, mode);
  int64_t end_ms = test_now_ms () + PROXY_READY_LIMIT_MS;
  int status = 0;

  while (status == 0 && test_now_ms () < end_ms)
    {
      struct reply reply = reply_fetch ("POST", url, body);

      status = reply.status;
      reply_clear (&reply);
    }
  if (status != 200)
    cluster_abort ("the proxy did not accept a fault");
}

struct reply
cluster_call (const struct cluster *cluster, unsigned i, const char *method, const char *path,
              const char *body)
{
  g_autofree char *url = cluster_operator_url (cluster, i, path);

  return reply_fetch (method, url, body);
}

void
reply_clear (struct reply *reply)
{
  json_decref (reply->json);
  reply->json = NULL;
}

/* Returns a string member of a response, or "". */
const char *
reply_text (const struct reply *reply, const char *name)
{
  const char *text = json_string_value (json_object_get (reply->json, name));

  return text ? text : "";
}

/* Returns an integer member of a response, or 0. */
int64_t
reply_number (const struct reply *reply, const char *name)
{
  return json_integer_value (json_object_get (reply->json, name));
}

void
cluster_set_platform_faults (const struct cluster *cluster, const char *json)
{
  g_autofree char *url =
      g_strdup_printf ("http://127.0.0.1:%u/standin/faults", cluster->first_port);
  struct reply reply = reply_fetch ("POST", url, json);

  if (reply.status != 200)
    cluster_abort ("the platform did not accept a fault");
  reply_clear (&reply);
}

json_t *
cluster_journal (const struct cluster *cluster)
{
  g_autofree char *url =
      g_strdup_printf ("http://127.0.0.1:%u/standin/journal", cluster->first_port);

  return reply_fetch ("GET", url, NULL).json;
}

/* Waits until a fleetd has read the last accepted declaration, if the fleetd can be reached. */
static void
cluster_wait_declared (const struct cluster *cluster, unsigned i)
{
  int64_t end_ms = test_now_ms () + READ_LIMIT_MS;
  int64_t offset = cluster_offset (cluster, i);

  while (offset >= 0 && offset < cluster->declared_offset && test_now_ms () < end_ms)
    {
      test_sleep_ms (1);
      offset = cluster_offset (cluster, i);
    }
}

/* Declares the fleet used by the tests. */
int
cluster_declare (struct cluster *cluster, unsigned i, unsigned deadline_ms)
{
  g_autofree char *body = g_strdup_printf (
      "{\"declarations\":["
      "{\"host_class\":{\"name\":\"large\",\"processors\":64,\"memory_gib\":256,"
      "\"price_micros_per_hour\":1000000}},"
      "{\"pool\":{\"name\":\"tools\",\"host_class\":\"large\",\"capacity_target\":1}},"
      "{\"pool\":{\"name\":\"seats\",\"host_class\":\"large\",\"capacity_target\":6,"
      "\"spare_pool\":\"tools\"}},"
      "{\"service\":{\"name\":\"chess\",\"pool\":\"seats\",\"traffic_class\":\"interactive\","
      "\"deadline_ms\":%u,\"availability_permille\":600,\"slots_per_worker\":8,"
      "\"connections_per_worker\":64}}]}",
      deadline_ms);
  struct reply reply;

  cluster_wait_declared (cluster, i);
  reply = cluster_call (cluster, i, "POST", "/v1/declarations", body);
  if (reply.status == 200)
    cluster->declared_offset = reply_number (&reply, "offset");
  else
    g_printerr ("declaration failed: %d %s\n", reply.status, reply_text (&reply, "detail"));
  reply_clear (&reply);
  return reply.status;
}

char *
cluster_propose (const struct cluster *cluster, unsigned i, const char *intent)
{
  struct reply reply = cluster_call (cluster, i, "POST", "/v1/plans", intent);
  char *id = reply.status == 201 ? g_strdup (reply_text (&reply, "id")) : NULL;

  if (!id)
    g_printerr ("proposing a plan failed: %d %s\n", reply.status, reply_text (&reply, "detail"));
  reply_clear (&reply);
  return id;
}

/* Confirms the first revision of a plan. */
int
cluster_confirm (const struct cluster *cluster, unsigned i, const char *plan_id)
{
  g_autofree char *path = g_strdup_printf ("/v1/plans/%s/confirm", plan_id);
  struct reply reply = cluster_call (cluster, i, "POST", path, "{\"revision\":1}");

  if (reply.status != 200)
    g_printerr ("confirming a plan failed: %d %s\n", reply.status, reply_text (&reply, "detail"));
  reply_clear (&reply);
  return reply.status;
}

bool
cluster_wait_plan (const struct cluster *cluster, unsigned i, const char *plan_id,
                   const char *state, int64_t limit_ms)
{
  g_autofree char *path = g_strdup_printf ("/v1/plans/%s", plan_id);
  int64_t end_ms = test_now_ms () + limit_ms;

  while (test_now_ms () < end_ms)
    {
      struct reply reply = cluster_call (cluster, i, "GET", path, NULL);
      bool reached = strcmp (reply_text (&reply, "state"), state) == 0;

      reply_clear (&reply);
      if (reached)
        return true;
      test_sleep_ms (POLL_INTERVAL_MS);
    }
  return false;
}

/* Returns whether an event has a field with this value; "" matches any. */
static bool
event_has (const json_t *event, const char *field, const char *value)
{
  const char *known = json_string_value (json_object_get (event, field));

  return value[0] == '\0' || (known && strcmp (known, value) == 0);
}

unsigned
journal_count (const json_t *journal, const char *event, const char *operation, const char *host)
{
  const json_t *events = json_object_get (journal, "events");
  unsigned n = 0;

  for (size_t i = 0; i < json_array_size (events); i++)
    {
      const json_t *entry = json_array_get (events, i);

      if (event_has (entry, "event", event) && event_has (entry, "operation", operation) &&
          event_has (entry, "host", host))
        n++;
    }
  return n;
}

/* Looks for an idempotency key with two effects. */
bool
journal_is_idempotent (const json_t *journal)
{
  const json_t *events = json_object_get (journal, "events");
  g_autoptr (GHashTable) keys = g_hash_table_new (g_str_hash, g_str_equal);

  for (size_t i = 0; i < json_array_size (events); i++)
    {
      const json_t *event = json_array_get (events, i);
      const char *key = json_string_value (json_object_get (event, "key"));

      if (event_has (event, "event", "effect") && !g_hash_table_add (keys, (void *) key))
        return false;
    }
  return true;
}
