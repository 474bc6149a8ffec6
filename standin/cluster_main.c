#include <string.h>

#include "cluster.h"
#include "common/http_json.h"
#include "common/log.h"
#include "common/program.h"

enum
{
  BODY_LIMIT_BYTES = 4 * 1024 * 1024,
  CONNECTION_LIMIT = 1024,
};

#define TICK_S 0.005

/* Updates the clock and returns the monotonic time. */
int64_t
cluster_now_ms (struct cluster *cluster)
{
  clock_update (&cluster->clock);
  return cluster->clock.now_ms;
}

/* Answers with the counts of violations (doubled, after_done, over_crashes), of starts, of crashes,
 * of attempts that ended with their lease, of moves and of maintenance. */
static void
cluster_report (const struct cluster *cluster, struct http_request *request)
{
  http_request_respond_json (
      request, 200,
      json_pack ("{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:i}", "starts", (json_int_t) cluster->starts,
                 "crashes", (json_int_t) cluster->crashes, "over_crashes",
                 (json_int_t) cluster->starts_over_crashes, "doubled",
                 (json_int_t) cluster->concurrent_starts, "after_done",
                 (json_int_t) cluster->starts_after_done, "lapsed", (json_int_t) cluster->lapses,
                 "moves", (json_int_t) cluster->moves, "upkeeps",
                 (json_int_t) cluster->maintenances, "most_in_upkeep",
                 (int) cluster->max_in_maintenance));
}

/* Adds the instances on an endpoint to the running tasks, and as [task, attempt, host] to the
 * attempts. */
static void
endpoint_add_running (const struct cluster_endpoint *endpoint, json_t *running, json_t *attempts)
{
  const struct cluster_host *host =
      g_ptr_array_index (endpoint->cluster->hosts, endpoint->host_index);
  const struct cluster_task_instance *instance;

  LIST_FOREACH (instance, &endpoint->instances, link)
    {
      json_array_append_new (running, json_string (instance->task));
      json_array_append_new (
          attempts, json_pack ("[s,i,s]", instance->task, (int) instance->attempt, host->id));
    }
}

/* Answers with the time, the last start of each job whose tasks were started, and the tasks that
 * run now, with their attempts and where these run. */
static void
cluster_answer_started (const struct cluster *cluster, struct http_request *request)
{
  json_t *jobs = json_object ();
  json_t *running = json_array ();
  json_t *attempts = json_array ();
  const struct cluster_endpoint *endpoint;
  GHashTableIter iter;
  gpointer id;
  gpointer last_ms;

  g_hash_table_iter_init (&iter, cluster->started_jobs);
  while (g_hash_table_iter_next (&iter, &id, &last_ms))
    json_object_set_new (jobs, id, json_integer (*(const int64_t *) last_ms));
  LIST_FOREACH (endpoint, &cluster->endpoints, link)
    endpoint_add_running (endpoint, running, attempts);
  http_request_respond_json (request, 200,
                             json_pack ("{s:I,s:o,s:o,s:o}", "now_ms",
                                        (json_int_t) cluster->clock.now_ms, "jobs", jobs, "running",
                                        running, "attempts", attempts));
}

/* Sets the faults of one host's endpoint. Returns false if it is named with unknown epochs. */
static bool
host_set_faults (struct cluster_host *host, const json_t *body)
{
  const char *unresponsive = json_string_value (json_object_get (body, "dark"));
  const char *responsive = json_string_value (json_object_get (body, "light"));
  const char *epochs =
      json_string_value (json_object_get (json_object_get (body, "epochs"), host->id));

  if (!host->endpoint)
    return true;
  if (g_strcmp0 (host->id, unresponsive) == 0)
    host->endpoint->unresponsive = true;
  if (g_strcmp0 (host->id, responsive) == 0)
    host->endpoint->unresponsive = false;
  return !epochs || endpoint_set_epochs (host->endpoint, epochs);
}

/* Sets faults: {"store":MODE,...} sets the store's mode, {"entry_host":N,...} the faults of an
 * entry host's own port of the store, {"endpoints":PERMILLE,...} the share of the endpoints' calls
 * whose response is lost, {"second_reads":"up|refused"} whether reads are refused on the store's
 * second port, {"dark":"HOST"} makes a host's endpoint unresponsive, {"light":"HOST"} makes it
 * respond again, {"epochs":{"HOST":"any|known|later"}} sets the leaders to which endpoints respond.
 */
static void
cluster_set_faults (struct cluster *cluster, struct http_request *request, const json_t *body)
{
  const char *second = json_string_value (json_object_get (body, "second_reads"));
  bool accepted = store_ports_set_faults (cluster, body);

  store_faults_set (cluster, body);
  cluster_endpoints_set_faults (cluster, body);
  if (second)
    cluster->second_refuses_reads = strcmp (second, "refused") == 0;
  for (guint i = 0; i < cluster->hosts->len; i++)
    accepted = host_set_faults (g_ptr_array_index (cluster->hosts, i), body) && accepted;
  http_request_respond_json (request, accepted ? 200 : 400, json_object ());
}

/* Writes an operator's record, given as {"key":...,"value":{...}}. */
static void
cluster_put_operator_record (struct cluster *cluster, struct http_request *request,
                             const json_t *body)
{
  const char *key = json_string_value (json_object_get (body, "key"));
  char *value = json_dumps (json_object_get (body, "value"), JSON_COMPACT);

  if (key && value)
    cluster_store_put (cluster, "keyed.op", key, value);
  free (value);
  http_request_respond_json (request, key ? 200 : 400, json_object ());
}

/* Answers with the status record that the scheduler wrote for operators under a key. */
static void
cluster_status (struct cluster *cluster, struct http_request *request)
{
  const char *key = http_request_query (request, "key");
  g_autofree char *value = key ? cluster_store_get (cluster, "keyed.status", key) : NULL;

  http_request_respond_text (request, value ? 200 : 404, "application/json", value ? value : "{}");
}

/* Handles a request to the store, or one of the test's control requests. */
static void
cluster_on_request (void *ctx, struct http_request *request)
{
  struct cluster *cluster = ctx;
  const char *path = http_request_path (request);
  size_t len;
  const void *data = http_request_body (request, &len);
  json_t *body;

  if (g_str_has_prefix (path, "/v1/"))
    {
      cluster_store_handle (cluster, request, NULL);
      return;
    }
  http_request_set_data (request, NULL);
  body = json_loadb (data, len, 0, NULL);
  if (strcmp (path, "/report") == 0)
    cluster_report (cluster, request);
  else if (strcmp (path, "/started") == 0)
    cluster_answer_started (cluster, request);
  else if (strcmp (path, "/faults") == 0)
    cluster_set_faults (cluster, request, body);
  else if (strcmp (path, "/operator") == 0)
    cluster_put_operator_record (cluster, request, body);
  else if (g_str_has_prefix (path, "/status"))
    cluster_status (cluster, request);
  else
    http_request_respond_json (request, 404, json_pack ("{s:s}", "error", "no such page"));
  json_decref (body);
}

/* Handles a request on the store's second port. */
static void
cluster_on_second_request (void *ctx, struct http_request *request)
{
  struct cluster *cluster = ctx;
  const char *path = http_request_path (request);
  bool read = g_str_has_prefix (path, "/v1/log-read") || g_str_has_prefix (path, "/v1/log-newest");

  if (!read || !cluster->second_refuses_reads)
    {
      cluster_on_request (ctx, request);
      return;
    }
  http_request_set_data (request, NULL);
  http_request_respond_json (request, 503, json_pack ("{s:s}", "error", "refused"));
}

/* Advances the simulation. */
static void
cluster_on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct cluster *cluster = timer->data;

  (void) loop;
  (void) events;
  cluster_now_ms (cluster);
  cluster_hosts_tick (cluster);
  cluster_endpoints_tick (cluster);
  cluster_store_tick (cluster);
}

/* Stops the event loop on a signal. */
static void
cluster_stop (struct ev_loop *loop, ev_signal *signal, int events)
{
  (void) signal;
  (void) events;
  ev_break (loop, EVBREAK_ALL);
}

/* Opens the ports of the store and, next to it, of the machine list, the store again, and the store
 * for one entry host each. */
static bool
cluster_listen (struct cluster *cluster)
{
  struct http_server_config config = {
    .address = cluster->settings->listen_address,
    .port = (uint16_t) cluster->settings->port,
    .body_limit = BODY_LIMIT_BYTES,
    .connection_limit = CONNECTION_LIMIT,
    .handle = cluster_on_request,
    .caller_disconnected = cluster_store_disconnected,
    .ctx = cluster,
  };

  cluster->store_server = http_server_create (cluster->loop, &config);
  config.port++;
  config.handle = cluster_hosts_handle;
  config.caller_disconnected = NULL;
  cluster->machine_server = http_server_create (cluster->loop, &config);
  config.port++;
  config.handle = cluster_on_second_request;
  config.caller_disconnected = cluster_store_disconnected;
  cluster->second_store_server = http_server_create (cluster->loop, &config);
  return cluster->store_server && cluster->machine_server && cluster->second_store_server &&
         store_ports_open (cluster, &config, (uint16_t) (config.port + 1));
}

/* Runs the simulated platform until SIGTERM or SIGINT. */
int
main (int argc, char **argv)
{
  Sp__ClusterSettings settings = SP__CLUSTER_SETTINGS__INIT;
  struct cluster cluster = { .settings = &settings, .loop = ev_default_loop (0) };
  enum program_exit started =
      program_start (&cluster_schema, &settings.base, "standin-cluster",
                     "Simulates the users' platform for tests.", argc, argv);
  ev_signal term;
  ev_signal interrupt;

  if (started != PROGRAM_STARTED)
    return started;
  cluster_now_ms (&cluster);
  cluster.done_tasks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  cluster.started_jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  cluster.crashing_tasks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  cluster_store_init (&cluster);
  if (!cluster_hosts_init (&cluster) || !cluster_listen (&cluster))
    {
      log_error ("main",
                 "Can't start: the pools \"%s\" are malformed, or port %u or one of the next %d "
                 "is in use.",
                 settings.pools, settings.port, STORE_PORTS + 2);
      return PROGRAM_EXIT_BAD_SETTINGS;
    }
  ev_signal_init (&term, cluster_stop, SIGTERM);
  ev_signal_start (cluster.loop, &term);
  ev_signal_init (&interrupt, cluster_stop, SIGINT);
  ev_signal_start (cluster.loop, &interrupt);
  ev_timer_init (&cluster.tick, cluster_on_tick, TICK_S, TICK_S);
  cluster.tick.data = &cluster;
  ev_timer_start (cluster.loop, &cluster.tick);
  log_info ("main", "Ready on port %u.", settings.port);
  ev_run (cluster.loop, 0);
  http_server_destroy (cluster.store_server);
  http_server_destroy (cluster.machine_server);
  http_server_destroy (cluster.second_store_server);
  store_ports_close (&cluster);
  cluster_hosts_finish (&cluster);
  cluster_store_finish (&cluster);
  g_hash_table_destroy (cluster.done_tasks);
  g_hash_table_destroy (cluster.started_jobs);
  g_hash_table_destroy (cluster.crashing_tasks);
  return 0;
}
