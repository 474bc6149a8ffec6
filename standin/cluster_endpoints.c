#include <stdio.h>
#include <string.h>

#include "cluster.h"
#include "common/http_json.h"

/* Endpoints that run tasks under leases and fences. */

enum
{
  BODY_LIMIT_BYTES = 1024 * 1024,
  CONNECTIONS = 64,
  FIRST_ENDPOINT_PORT = 10,
  STOP_MS = 50,
  HOSTS_A_RACK = 4,
};

/* A hold that waits for an end. */
struct cluster_hold
{
  LIST_ENTRY (cluster_hold) link;
  struct http_request *request;
  int64_t end_ms;
};

/* Gives the endpoint's own clock. */
static int64_t
endpoint_clock (const struct cluster_endpoint *endpoint)
{
  return endpoint->cluster->clock.now_ms - endpoint->born_ms;
}

/* Ends a run and lists its end. */
static void
run_end (struct cluster_endpoint *endpoint, struct cluster_run *run, const char *how)
{
  uint32_t highest = GPOINTER_TO_UINT (g_hash_table_lookup (endpoint->highest, run->task));

  json_array_append_new (endpoint->finished,
                         json_pack ("[I,s,i,s,s]", (json_int_t) ++endpoint->last_end, run->task,
                                    (int) run->attempt, how, ""));
  if (strcmp (how, "done") == 0)
    g_hash_table_replace (endpoint->cluster->done, g_strdup (run->task), g_strdup (endpoint->id));
  g_hash_table_replace (endpoint->highest, g_strdup (run->task),
                        GUINT_TO_POINTER (MAX (highest, run->attempt)));
  LIST_REMOVE (run, link);
  g_free (run->task);
  g_free (run);
}

/* Lets the runs go on. */
static void
endpoint_run_on (struct cluster_endpoint *endpoint)
{
  struct cluster_run *run = LIST_FIRST (&endpoint->runs);
  int64_t now_ms = endpoint->cluster->clock.now_ms;

  while (run)
    {
      struct cluster_run *next = LIST_NEXT (run, link);

      if (endpoint_clock (endpoint) > endpoint->until_ms)
        run_end (endpoint, run, "lapsed");
      else if (now_ms >= run->end_ms)
        run_end (endpoint, run, run->stopping ? "stopped" : "done");
      run = next;
    }
}

/* Gives the lists of runs and of ends. */
static json_t *
endpoint_lists (const struct cluster_endpoint *endpoint)
{
  json_t *running = json_array ();
  const struct cluster_run *run;
  int64_t now_ms = endpoint->cluster->clock.now_ms;

  LIST_FOREACH (run, &endpoint->runs, link)
    {
      int64_t spent_ms = now_ms - run->start_ms;
      int percent = run->lasts ? 100 : (int) (spent_ms * 100 / (run->end_ms - run->start_ms + 1));

      json_array_append_new (
          running, json_pack ("[s,i,s,i,i]", run->task, (int) run->attempt, "", percent, 100));
    }
  return json_pack ("{s:I,s:I,s:o,s:O}", "clock_ms", (json_int_t) endpoint_clock (endpoint), "born",
                    (json_int_t) endpoint->born_ms, "running", running, "finished",
                    endpoint->finished);
}

/* Refuses an order. */
static void
answer_conflict (const struct cluster_endpoint *endpoint, struct http_request *request,
                 const char *reason)
{
  http_request_answer_json (request, 409,
                            json_pack ("{s:I,s:s}", "clock_ms",
                                       (json_int_t) endpoint_clock (endpoint), "reason", reason));
}

/* Confirms an order. */
static void
answer_done (const struct cluster_endpoint *endpoint, struct http_request *request)
{
  http_request_answer_json (
      request, 200, json_pack ("{s:I}", "clock_ms", (json_int_t) endpoint_clock (endpoint)));
}

/* Finds a run. */
static struct cluster_run *
endpoint_find (const struct cluster_endpoint *endpoint, const char *task)
{
  struct cluster_run *run;

  LIST_FOREACH (run, &endpoint->runs, link)
    {
      if (strcmp (run->task, task) == 0)
        return run;
    }
  return NULL;
}

/* Tells whether a task ended done where its lease has not lapsed since: such an end must be known
 * before the task starts anywhere else. */
static bool
task_is_done (const struct cluster *cluster, const char *task)
{
  const char *id = g_hash_table_lookup (cluster->done, task);
  const struct cluster_endpoint *endpoint;

  LIST_FOREACH (endpoint, &cluster->endpoints, link)
    {
      if (g_strcmp0 (endpoint->id, id) == 0)
        return endpoint_clock (endpoint) <= endpoint->until_ms;
    }
  return false;
}

/* Counts what a start breaks. */
static void
cluster_count_start (struct cluster *cluster, const char *task)
{
  const struct cluster_endpoint *other;

  cluster->starts++;
  cluster->after_done += task_is_done (cluster, task);
  LIST_FOREACH (other, &cluster->endpoints, link)
    cluster->doubled += endpoint_find (other, task) != NULL;
}

/* Starts a task. */
static void
endpoint_start (struct cluster_endpoint *endpoint, struct http_request *request, const json_t *body)
{
  struct cluster *cluster = endpoint->cluster;
  const char *task = json_string_value (json_object_get (body, "task"));
  const char *spec = json_string_value (json_object_get (body, "spec"));
  uint32_t attempt = (uint32_t) json_integer_value (json_object_get (body, "attempt"));
  int64_t until_ms = json_integer_value (json_object_get (body, "until_ms"));
  struct cluster_run *run = endpoint_find (endpoint, task);

  if (run && run->attempt == attempt)
    {
      answer_done (endpoint, request);
      return;
    }
  if (attempt <= GPOINTER_TO_UINT (g_hash_table_lookup (endpoint->highest, task)))
    {
      answer_conflict (endpoint, request, "old");
      return;
    }
  if (until_ms <= endpoint_clock (endpoint))
    {
      answer_conflict (endpoint, request, "late");
      return;
    }
  cluster_count_start (cluster, task);
  endpoint->until_ms = MAX (endpoint->until_ms, until_ms);
  run = g_new0 (struct cluster_run, 1);
  run->task = g_strdup (task);
  run->attempt = attempt;
  run->start_ms = cluster->clock.now_ms;
  run->lasts = spec && g_str_has_prefix (spec, "lasts");
  run->end_ms = run->lasts ? INT64_MAX : run->start_ms + cluster->settings->work_ms;
  LIST_INSERT_HEAD (&endpoint->runs, run, link);
  answer_done (endpoint, request);
}

/* Stops a run. */
static void
endpoint_stop (struct cluster_endpoint *endpoint, struct http_request *request, const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  uint32_t attempt = (uint32_t) json_integer_value (json_object_get (body, "attempt"));
  uint32_t highest = GPOINTER_TO_UINT (g_hash_table_lookup (endpoint->highest, task));
  struct cluster_run *run = endpoint_find (endpoint, task);

  if (run && run->attempt == attempt && !run->stopping)
    {
      run->stopping = true;
      run->end_ms = MIN (run->end_ms, endpoint->cluster->clock.now_ms + STOP_MS);
    }
  g_hash_table_replace (endpoint->highest, g_strdup (task),
                        GUINT_TO_POINTER (MAX (highest, attempt)));
  answer_done (endpoint, request);
}

/* Extends the lease, forgets acknowledged ends, and answers once there is another. */
static void
endpoint_hold (struct cluster_endpoint *endpoint, struct http_request *request, const json_t *body)
{
  int64_t until_ms = json_integer_value (json_object_get (body, "until_ms"));
  int64_t seen = json_integer_value (json_object_get (body, "ack_cursor"));
  int64_t wait_ms = json_integer_value (json_object_get (body, "wait_ms"));
  struct cluster_hold *hold;

  endpoint->until_ms = MAX (endpoint->until_ms, until_ms);
  while (json_array_size (endpoint->finished) > 0 &&
         json_integer_value (json_array_get (json_array_get (endpoint->finished, 0), 0)) <= seen)
    json_array_remove (endpoint->finished, 0);
  if (wait_ms == 0 || json_array_size (endpoint->finished) > 0)
    {
      http_request_answer_json (request, 200, endpoint_lists (endpoint));
      return;
    }
  hold = g_new0 (struct cluster_hold, 1);
  hold->request = request;
  hold->end_ms = endpoint->cluster->clock.now_ms + wait_ms;
  http_request_set_data (request, hold);
  LIST_INSERT_HEAD (&endpoint->holds, hold, link);
}

/* An order has arrived. */
static void
endpoint_on_request (void *ctx, struct http_request *request)
{
  struct cluster_endpoint *endpoint = ctx;
  const char *path = http_request_path (request);
  size_t len;
  const void *data = http_request_body (request, &len);
  json_t *body;
  uint64_t fence;

  http_request_set_data (request, NULL);
  cluster_now_ms (endpoint->cluster);
  if (endpoint->dark)
    return;
  endpoint_run_on (endpoint);
  body = json_loadb (data, len, 0, NULL);
  fence = (uint64_t) json_integer_value (json_object_get (body, "fence"));
  if (!body)
    http_request_answer_json (request, 400, json_pack ("{s:s}", "error", "no JSON"));
  else if (fence < endpoint->fence)
    answer_conflict (endpoint, request, "fence");
  else
    {
      endpoint->fence = fence;
      if (strcmp (path, "/v1/run-start") == 0)
        endpoint_start (endpoint, request, body);
      else if (strcmp (path, "/v1/run-stop") == 0)
        endpoint_stop (endpoint, request, body);
      else if (strcmp (path, "/v1/hold") == 0)
        endpoint_hold (endpoint, request, body);
      else if (strcmp (path, "/v1/pace") == 0)
        answer_done (endpoint, request);
      else
        http_request_answer_json (request, 404, json_pack ("{s:s}", "error", "no such call"));
    }
  json_decref (body);
}

/* A leader has hung up. */
static void
endpoint_on_gone (void *ctx, struct http_request *request)
{
  struct cluster_hold *hold = http_request_data (request);

  (void) ctx;
  if (!hold)
    return;
  LIST_REMOVE (hold, link);
  g_free (hold);
}

/* Writes the endpoint's entry in the registry. */
static void
endpoint_beat (struct cluster_endpoint *endpoint)
{
  struct cluster *cluster = endpoint->cluster;
  const struct cluster_host *host = g_ptr_array_index (cluster->hosts, endpoint->host);
  g_autofree char *address =
      g_strdup_printf ("%s:%u", cluster->settings->listen_address, endpoint->port);
  g_autofree char *rack = g_strdup_printf ("r-%u", endpoint->host / HOSTS_A_RACK);
  json_t *entry =
      json_pack ("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i,s:I,s:{s:i,s:i,s:i},s:[s,s]}", "service",
                 host->pool, "address", address, "zone", "z", "version", "v1", "slots", 8, "state",
                 "ready", "cold_left_ms", 0, "sequence", (int) ++endpoint->sequence, "born",
                 (json_int_t) endpoint->born_ms, "capacity", "cpu", 8000, "mem_mb", 16000, "gpu", 0,
                 "labels", "a", rack);
  char *text = json_dumps (entry, JSON_COMPACT);

  cluster_store_put (cluster, "keyed.servers", endpoint->id, text);
  free (text);
  json_decref (entry);
}

struct cluster_endpoint *
cluster_endpoint_create (struct cluster *cluster, unsigned number)
{
  struct cluster_endpoint *endpoint = g_new0 (struct cluster_endpoint, 1);
  struct cluster_host *host = g_ptr_array_index (cluster->hosts, number);
  struct http_server_config config = {
    .address = cluster->settings->listen_address,
    .body_limit = BODY_LIMIT_BYTES,
    .connection_limit = CONNECTIONS,
    .handle = endpoint_on_request,
    .gone = endpoint_on_gone,
    .ctx = endpoint,
  };

  endpoint->cluster = cluster;
  endpoint->host = number;
  endpoint->port = (uint16_t) (cluster->settings->port + FIRST_ENDPOINT_PORT + number);
  endpoint->id = g_strdup_printf ("i-%u-%u", number, host->lives++);
  endpoint->born_ms = cluster_now_ms (cluster);
  endpoint->finished = json_array ();
  endpoint->highest = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  LIST_INIT (&endpoint->runs);
  LIST_INIT (&endpoint->holds);
  config.port = endpoint->port;
  endpoint->server = http_server_create (cluster->loop, &config);
  LIST_INSERT_HEAD (&cluster->endpoints, endpoint, link);
  if (endpoint->server)
    return endpoint;
  cluster_endpoint_destroy (endpoint);
  return NULL;
}

void
cluster_endpoint_end (struct cluster_endpoint *endpoint)
{
  endpoint->ended = true;
  cluster_store_put (endpoint->cluster, "keyed.servers", endpoint->id, NULL);
}

void
cluster_endpoint_destroy (struct cluster_endpoint *endpoint)
{
  LIST_REMOVE (endpoint, link);
  if (endpoint->server)
    http_server_destroy (endpoint->server);
  while (!LIST_EMPTY (&endpoint->holds))
    {
      struct cluster_hold *hold = LIST_FIRST (&endpoint->holds);

      LIST_REMOVE (hold, link);
      g_free (hold);
    }
  while (!LIST_EMPTY (&endpoint->runs))
    {
      struct cluster_run *run = LIST_FIRST (&endpoint->runs);

      LIST_REMOVE (run, link);
      g_free (run->task);
      g_free (run);
    }
  json_decref (endpoint->finished);
  g_hash_table_destroy (endpoint->highest);
  g_free (endpoint->id);
  g_free (endpoint);
}

/* Answers the holds for which there is an end now, and those whose time is over. */
static void
endpoint_answer_holds (struct cluster_endpoint *endpoint)
{
  struct cluster_hold *hold = LIST_FIRST (&endpoint->holds);

  while (hold)
    {
      struct cluster_hold *next = LIST_NEXT (hold, link);

      if (json_array_size (endpoint->finished) > 0 ||
          endpoint->cluster->clock.now_ms >= hold->end_ms)
        {
          LIST_REMOVE (hold, link);
          http_request_answer_json (hold->request, 200, endpoint_lists (endpoint));
          g_free (hold);
        }
      hold = next;
    }
}

void
cluster_endpoints_tick (struct cluster *cluster)
{
  struct cluster_endpoint *endpoint = LIST_FIRST (&cluster->endpoints);

  while (endpoint)
    {
      struct cluster_endpoint *next = LIST_NEXT (endpoint, link);

      if (endpoint->ended)
        cluster_endpoint_destroy (endpoint);
      else
        {
          endpoint_run_on (endpoint);
          if (!endpoint->dark)
            endpoint_answer_holds (endpoint);
          if (!endpoint->dark && cluster->clock.now_ms >= endpoint->next_beat_ms)
            {
              endpoint->next_beat_ms = cluster->clock.now_ms + cluster->settings->heartbeat_ms;
              endpoint_beat (endpoint);
            }
        }
      endpoint = next;
    }
}
