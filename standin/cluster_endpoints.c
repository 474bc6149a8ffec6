#include <stdio.h>
#include <string.h>

#include "cluster.h"
#include "common/http_json.h"

/* Simulated endpoints, which run tasks under leases and fences. */

enum
{
  BODY_LIMIT_BYTES = 1024 * 1024,
  CONNECTION_LIMIT = 64,
  /* From the store's port to the first endpoint's. */
  ENDPOINT_PORT_OFFSET = 10,
  /* How long a task takes to stop after a command. */
  TASK_STOP_MS = 50,
  /* Time from the start of a task that crashes its endpoint to the crash. */
  CRASH_AFTER_MS = 10,
  /* Number of crashes after which such a task may be started only twice more. */
  CRASHES_BEFORE_LAST_STARTS = 3,
  LAST_STARTS_MAX = 2,
  HOSTS_PER_RACK = 2,
  /* Factor on the duration of a task that runs on another rack than its data is on. */
  FAR_FACTOR = 2,
  PERMILLE = 1000,
  LATE_MIN_MS = 20,
  LATE_MAX_MS = 2500,
  /* Distance of the fences of two epochs. */
  FENCES_PER_EPOCH = 1 << 20,
};

/* A call that the endpoint carries out after it closed the connection. */
struct late_call
{
  LIST_ENTRY (late_call) link;
  char *path;
  json_t *body;
  int64_t due_ms;
};

/* A heartbeat that waits for a completion to report. */
struct cluster_heartbeat
{
  LIST_ENTRY (cluster_heartbeat) link;
  struct http_request *request;
  int64_t end_ms;
};

/* Returns the endpoint's own clock: milliseconds since it was created. */
static int64_t
endpoint_clock_ms (const struct cluster_endpoint *endpoint)
{
  return endpoint->cluster->clock.now_ms - endpoint->created_ms;
}

/* Ends a task instance and adds it to the completions to report. */
static void
instance_complete (struct cluster_endpoint *endpoint, struct cluster_task_instance *instance,
                   const char *outcome)
{
  uint32_t highest =
      GPOINTER_TO_UINT (g_hash_table_lookup (endpoint->highest_attempts, instance->task));

  json_array_append_new (endpoint->completions,
                         json_pack ("[I,s,i,s,s]", (json_int_t) ++endpoint->last_completion,
                                    instance->task, (int) instance->attempt, outcome, ""));
  endpoint->cluster->lapses += strcmp (outcome, "lapsed") == 0;
  if (strcmp (outcome, "done") == 0)
    g_hash_table_replace (endpoint->cluster->done_tasks, g_strdup (instance->task),
                          g_strdup (endpoint->id));
  g_hash_table_replace (endpoint->highest_attempts, g_strdup (instance->task),
                        GUINT_TO_POINTER (MAX (highest, instance->attempt)));
  LIST_REMOVE (instance, link);
  g_free (instance->task);
  g_free (instance);
}

/* Completes the instances that are due, and all instances once the lease has lapsed. */
static void
endpoint_advance_instances (struct cluster_endpoint *endpoint)
{
  struct cluster_task_instance *instance = LIST_FIRST (&endpoint->instances);
  int64_t now_ms = endpoint->cluster->clock.now_ms;

  while (instance)
    {
      struct cluster_task_instance *next = LIST_NEXT (instance, link);

      if (endpoint_clock_ms (endpoint) > endpoint->lease_end_ms)
        instance_complete (endpoint, instance, "lapsed");
      else if (now_ms >= instance->end_ms)
        instance_complete (endpoint, instance, instance->stopping ? "stopped" : "done");
      instance = next;
    }
}

/* Returns the response to a heartbeat: the running tasks, as rows [task, attempt, checkpoint,
 * percent, load], and the unacknowledged completions. */
static json_t *
endpoint_status_to_json (const struct cluster_endpoint *endpoint)
{
  json_t *running = json_array ();
  const struct cluster_task_instance *instance;
  int64_t now_ms = endpoint->cluster->clock.now_ms;

  LIST_FOREACH (instance, &endpoint->instances, link)
    {
      int64_t spent_ms = now_ms - instance->start_ms;
      int percent = instance->long_running
                        ? 100
                        : (int) (spent_ms * 100 / (instance->end_ms - instance->start_ms + 1));

      json_array_append_new (running, json_pack ("[s,i,s,i,i]", instance->task,
                                                 (int) instance->attempt, "", percent, 100));
    }
  return json_pack ("{s:I,s:I,s:o,s:O}", "clock_ms", (json_int_t) endpoint_clock_ms (endpoint),
                    "born", (json_int_t) endpoint->created_ms, "running", running, "finished",
                    endpoint->completions);
}

/* Responds to a call, unless its response is lost or it is carried out late, without a request. */
static void
endpoint_respond (const struct cluster_endpoint *endpoint, struct http_request *request, int status,
                  json_t *body)
{
  if (request && !endpoint->loses_response)
    {
      http_request_respond_json (request, status, body);
      return;
    }
  json_decref (body);
  if (request)
    http_request_drop (request);
}

/* Rejects a command with 409 and a reason. */
static void
answer_conflict (const struct cluster_endpoint *endpoint, struct http_request *request,
                 const char *reason)
{
  endpoint_respond (endpoint, request, 409,
                    json_pack ("{s:I,s:s}", "clock_ms", (json_int_t) endpoint_clock_ms (endpoint),
                               "reason", reason));
}

static void
answer_accepted (const struct cluster_endpoint *endpoint, struct http_request *request)
{
  endpoint_respond (endpoint, request, 200,
                    json_pack ("{s:I}", "clock_ms", (json_int_t) endpoint_clock_ms (endpoint)));
}

static struct cluster_task_instance *
endpoint_find_instance (const struct cluster_endpoint *endpoint, const char *task)
{
  struct cluster_task_instance *instance;

  LIST_FOREACH (instance, &endpoint->instances, link)
    {
      if (strcmp (instance->task, task) == 0)
        return instance;
    }
  return NULL;
}

/* Returns whether a task was done on an endpoint whose lease has not lapsed since. The scheduler
 * must read such a completion before it starts the task elsewhere. */
static bool
task_is_done_under_lease (const struct cluster *cluster, const char *task)
{
  const char *id = g_hash_table_lookup (cluster->done_tasks, task);
  const struct cluster_endpoint *endpoint;

  LIST_FOREACH (endpoint, &cluster->endpoints, link)
    {
      if (g_strcmp0 (endpoint->id, id) == 0)
        return endpoint_clock_ms (endpoint) <= endpoint->lease_end_ms;
    }
  return false;
}

/* Counts a start, and whether it violates the rule that a task runs in one place and not after it
 * is done. */
static void
cluster_count_start (struct cluster *cluster, const char *task)
{
  const struct cluster_endpoint *other;
  int64_t *last_ms = g_new (int64_t, 1);

  *last_ms = cluster->clock.now_ms;
  g_hash_table_replace (cluster->started_jobs, g_strndup (task, strcspn (task, ".")), last_ms);
  cluster->starts++;
  cluster->starts_after_done += task_is_done_under_lease (cluster, task);
  LIST_FOREACH (other, &cluster->endpoints, link)
    cluster->concurrent_starts += endpoint_find_instance (other, task) != NULL;
}

/* Makes an endpoint crash if a task's specification begins with "crashes", and counts its starts
 * after three crashes. */
static void
endpoint_check_crashing_task (struct cluster_endpoint *endpoint, const char *name, const char *spec)
{
  struct cluster *cluster = endpoint->cluster;
  struct crashing_task *task = g_hash_table_lookup (cluster->crashing_tasks, name);

  if (!spec || !g_str_has_prefix (spec, "crashes"))
    return;
  if (!task)
    {
      task = g_new0 (struct crashing_task, 1);
      g_hash_table_insert (cluster->crashing_tasks, g_strdup (name), task);
    }
  if (endpoint->crash_ms == 0)
    endpoint->crash_ms = cluster->clock.now_ms + CRASH_AFTER_MS;
  if (task->crashes < CRASHES_BEFORE_LAST_STARTS)
    return;
  task->starts_after_third_crash++;
  cluster->starts_over_crashes += task->starts_after_third_crash > LAST_STARTS_MAX;
}

/* Crashes an endpoint with its host. */
static void
endpoint_crash (struct cluster_endpoint *endpoint)
{
  struct cluster *cluster = endpoint->cluster;
  const struct cluster_task_instance *instance;

  LIST_FOREACH (instance, &endpoint->instances, link)
    {
      struct crashing_task *task = g_hash_table_lookup (cluster->crashing_tasks, instance->task);

      if (task)
        task->crashes++;
    }
  cluster->crashes++;
  cluster_host_crash (cluster, g_ptr_array_index (cluster->hosts, endpoint->host_index));
}

/* Returns the label of an endpoint's rack; the caller frees it. */
static char *
endpoint_rack_label (const struct cluster_endpoint *endpoint)
{
  return g_strdup_printf ("r-%u", endpoint->host_index / HOSTS_PER_RACK);
}

/* Sets when an instance ends by its specification: one that begins with "lasts" runs until it is
 * stopped, one that is "takes MS" for that long, and any other for the time of the settings, or
 * FAR_FACTOR times as long if it is "near RACK" and the endpoint is on another rack. */
static void
instance_set_end (const struct cluster_endpoint *endpoint, struct cluster_task_instance *instance,
                  const char *spec, int64_t work_ms)
{
  static const char takes[] = "takes ";
  static const char near[] = "near ";
  g_autofree char *rack = endpoint_rack_label (endpoint);

  instance->long_running = spec && g_str_has_prefix (spec, "lasts");
  if (spec && g_str_has_prefix (spec, takes))
    work_ms = g_ascii_strtoll (spec + strlen (takes), NULL, 10);
  if (spec && g_str_has_prefix (spec, near) && strcmp (spec + strlen (near), rack) != 0)
    work_ms *= FAR_FACTOR;
  instance->end_ms = instance->long_running ? INT64_MAX : instance->start_ms + work_ms;
}

/* Handles /v1/run-start. Repeating the command for a running attempt has no effect. */
static void
endpoint_start (struct cluster_endpoint *endpoint, struct http_request *request, const json_t *body)
{
  struct cluster *cluster = endpoint->cluster;
  const char *task = json_string_value (json_object_get (body, "task"));
  const char *spec = json_string_value (json_object_get (body, "spec"));
  uint32_t attempt = (uint32_t) json_integer_value (json_object_get (body, "attempt"));
  int64_t lease_end_ms = json_integer_value (json_object_get (body, "until_ms"));
  struct cluster_task_instance *instance = endpoint_find_instance (endpoint, task);

  if (instance && instance->attempt == attempt)
    {
      answer_accepted (endpoint, request);
      return;
    }
  if (attempt <= GPOINTER_TO_UINT (g_hash_table_lookup (endpoint->highest_attempts, task)))
    {
      answer_conflict (endpoint, request, "old");
      return;
    }
  if (lease_end_ms <= endpoint_clock_ms (endpoint))
    {
      answer_conflict (endpoint, request, "late");
      return;
    }
  cluster_count_start (cluster, task);
  endpoint->lease_end_ms = MAX (endpoint->lease_end_ms, lease_end_ms);
  instance = g_new0 (struct cluster_task_instance, 1);
  instance->task = g_strdup (task);
  instance->attempt = attempt;
  instance->start_ms = cluster->clock.now_ms;
  instance_set_end (endpoint, instance, spec, cluster->settings->work_ms);
  endpoint_check_crashing_task (endpoint, task, spec);
  LIST_INSERT_HEAD (&endpoint->instances, instance, link);
  answer_accepted (endpoint, request);
}

/* Handles /v1/run-stop. The endpoint rejects later starts of this attempt and of older ones. */
static void
endpoint_stop (struct cluster_endpoint *endpoint, struct http_request *request, const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  uint32_t attempt = (uint32_t) json_integer_value (json_object_get (body, "attempt"));
  uint32_t highest = GPOINTER_TO_UINT (g_hash_table_lookup (endpoint->highest_attempts, task));
  struct cluster_task_instance *instance = endpoint_find_instance (endpoint, task);

  if (instance && instance->attempt == attempt && !instance->stopping)
    {
      instance->stopping = true;
      instance->end_ms = MIN (instance->end_ms, endpoint->cluster->clock.now_ms + TASK_STOP_MS);
    }
  g_hash_table_replace (endpoint->highest_attempts, g_strdup (task),
                        GUINT_TO_POINTER (MAX (highest, attempt)));
  answer_accepted (endpoint, request);
}

/* Handles /v1/hold: extends the lease, drops acknowledged completions, and answers once there is a
 * completion to report or the caller's wait time is over. */
static void
endpoint_heartbeat (struct cluster_endpoint *endpoint, struct http_request *request,
                    const json_t *body)
{
  int64_t lease_end_ms = json_integer_value (json_object_get (body, "until_ms"));
  int64_t acked = json_integer_value (json_object_get (body, "ack_cursor"));
  int64_t wait_ms = json_integer_value (json_object_get (body, "wait_ms"));
  struct cluster_heartbeat *heartbeat;

  endpoint->lease_end_ms = MAX (endpoint->lease_end_ms, lease_end_ms);
  while (json_array_size (endpoint->completions) > 0 &&
         json_integer_value (json_array_get (json_array_get (endpoint->completions, 0), 0)) <=
             acked)
    json_array_remove (endpoint->completions, 0);
  if (!request || endpoint->loses_response || wait_ms == 0 ||
      json_array_size (endpoint->completions) > 0)
    {
      endpoint_respond (endpoint, request, 200, endpoint_status_to_json (endpoint));
      return;
    }
  heartbeat = g_new0 (struct cluster_heartbeat, 1);
  heartbeat->request = request;
  heartbeat->end_ms = endpoint->cluster->clock.now_ms + wait_ms;
  http_request_set_data (request, heartbeat);
  LIST_INSERT_HEAD (&endpoint->heartbeats, heartbeat, link);
}

/* Carries out a command; request is NULL if nobody waits for the response. A command with a lower
 * fence than the highest seen is rejected. */
static void
endpoint_carry_out (struct cluster_endpoint *endpoint, struct http_request *request,
                    const char *path, const json_t *body)
{
  uint64_t fence = (uint64_t) json_integer_value (json_object_get (body, "fence"));

  endpoint_advance_instances (endpoint);
  if (fence < endpoint->fence)
    {
      answer_conflict (endpoint, request, "fence");
      return;
    }
  endpoint->fence = fence;
  if (strcmp (path, "/v1/run-start") == 0)
    endpoint_start (endpoint, request, body);
  else if (strcmp (path, "/v1/run-stop") == 0)
    endpoint_stop (endpoint, request, body);
  else if (strcmp (path, "/v1/hold") == 0)
    endpoint_heartbeat (endpoint, request, body);
  else if (strcmp (path, "/v1/pace") == 0)
    answer_accepted (endpoint, request);
  else
    endpoint_respond (endpoint, request, 404, json_pack ("{s:s}", "error", "no such call"));
}

static void
late_call_destroy (struct late_call *late)
{
  LIST_REMOVE (late, link);
  g_free (late->path);
  json_decref (late->body);
  g_free (late);
}

/* Carries out the late calls that are due. */
static void
endpoint_carry_out_late_calls (struct cluster_endpoint *endpoint)
{
  struct late_call *late = LIST_FIRST (&endpoint->late_calls);

  while (late)
    {
      struct late_call *next = LIST_NEXT (late, link);

      if (endpoint->cluster->clock.now_ms >= late->due_ms)
        {
          endpoint_carry_out (endpoint, NULL, late->path, late->body);
          late_call_destroy (late);
        }
      late = next;
    }
}

/* Carries out a command whose response is lost, now or later, and closes its connection. Then the
 * endpoint answers 503 for a while. */
static void
endpoint_carry_out_without_response (struct cluster_endpoint *endpoint,
                                     struct http_request *request, json_t *body)
{
  const struct endpoint_faults *faults = &endpoint->cluster->endpoint_faults;
  struct late_call *late;

  endpoint->busy_until_ms = endpoint->cluster->clock.now_ms +
                            g_rand_int_range (faults->rand, 0, (gint32) faults->busy_max_ms + 1);
  if (g_rand_boolean (faults->rand))
    {
      endpoint->loses_response = true;
      endpoint_carry_out (endpoint, request, http_request_path (request), body);
      endpoint->loses_response = false;
      return;
    }
  late = g_new0 (struct late_call, 1);
  late->path = g_strdup (http_request_path (request));
  late->body = json_incref (body);
  late->due_ms =
      endpoint->cluster->clock.now_ms + g_rand_int_range (faults->rand, LATE_MIN_MS, LATE_MAX_MS);
  LIST_INSERT_HEAD (&endpoint->late_calls, late, link);
  http_request_drop (request);
}

/* Returns whether a command is of a leader that the endpoint doesn't respond to. */
static bool
endpoint_ignores (const struct cluster_endpoint *endpoint, const json_t *body)
{
  uint64_t fence = (uint64_t) json_integer_value (json_object_get (body, "fence"));
  bool later = fence / FENCES_PER_EPOCH > endpoint->known_epoch;

  return (endpoint->epochs_heeded == EPOCHS_KNOWN && later) ||
         (endpoint->epochs_heeded == EPOCHS_LATER && !later);
}

bool
endpoint_set_epochs (struct cluster_endpoint *endpoint, const char *name)
{
  static const char *const names[] = { "any", "known", "later" };
  const struct cluster_endpoint *other;
  uint64_t highest = 0;

  LIST_FOREACH (other, &endpoint->cluster->endpoints, link)
    highest = MAX (highest, other->fence);
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      if (strcmp (names[i], name) != 0)
        continue;
      endpoint->epochs_heeded = (enum epochs_heeded) i;
      endpoint->known_epoch = highest / FENCES_PER_EPOCH;
      return true;
    }
  return false;
}

/* Handles a command, with the fault that is drawn for it. */
static void
endpoint_on_request (void *ctx, struct http_request *request)
{
  struct cluster_endpoint *endpoint = ctx;
  const struct endpoint_faults *faults = &endpoint->cluster->endpoint_faults;
  size_t len;
  const void *data = http_request_body (request, &len);
  json_t *body;

  http_request_set_data (request, NULL);
  cluster_now_ms (endpoint->cluster);
  if (endpoint->unresponsive)
    return;
  body = json_loadb (data, len, 0, NULL);
  if (endpoint_ignores (endpoint, body))
    {
      json_decref (body);
      return;
    }
  if (!body)
    http_request_respond_json (request, 400, json_pack ("{s:s}", "error", "no JSON"));
  else if (endpoint->cluster->clock.now_ms < endpoint->busy_until_ms)
    http_request_respond_json (request, 503, json_pack ("{s:s}", "error", "busy"));
  else if (faults->permille > 0 &&
           (unsigned) g_rand_int_range (faults->rand, 0, PERMILLE) < faults->permille)
    endpoint_carry_out_without_response (endpoint, request, body);
  else
    endpoint_carry_out (endpoint, request, http_request_path (request), body);
  json_decref (body);
}

/* Drops a waiting heartbeat whose caller has disconnected. */
static void
endpoint_on_disconnected (void *ctx, struct http_request *request)
{
  struct cluster_heartbeat *heartbeat = http_request_data (request);

  (void) ctx;
  if (!heartbeat)
    return;
  LIST_REMOVE (heartbeat, link);
  g_free (heartbeat);
}

/* Writes the endpoint's entry in the registry. */
static void
endpoint_register (struct cluster_endpoint *endpoint)
{
  struct cluster *cluster = endpoint->cluster;
  const struct cluster_host *host = g_ptr_array_index (cluster->hosts, endpoint->host_index);
  g_autofree char *address =
      g_strdup_printf ("%s:%u", cluster->settings->listen_address, endpoint->port);
  g_autofree char *rack = endpoint_rack_label (endpoint);
  json_t *entry =
      json_pack ("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i,s:I,s:{s:i,s:i,s:i},s:[s,s]}", "service",
                 host->pool, "address", address, "zone", "z", "version", "v1", "slots", 8, "state",
                 "ready", "cold_left_ms", 0, "sequence", (int) ++endpoint->sequence, "born",
                 (json_int_t) endpoint->created_ms, "capacity", "cpu", 8000, "mem_mb", 16000, "gpu",
                 0, "labels", "a", rack);
  char *text = json_dumps (entry, JSON_COMPACT);

  cluster_store_put (cluster, "keyed.servers", endpoint->id, text);
  free (text);
  json_decref (entry);
}

struct cluster_endpoint *
cluster_endpoint_create (struct cluster *cluster, unsigned host_index)
{
  struct cluster_endpoint *endpoint = g_new0 (struct cluster_endpoint, 1);
  struct cluster_host *host = g_ptr_array_index (cluster->hosts, host_index);
  struct http_server_config config = {
    .address = cluster->settings->listen_address,
    .body_limit = BODY_LIMIT_BYTES,
    .connection_limit = CONNECTION_LIMIT,
    .handle = endpoint_on_request,
    .caller_disconnected = endpoint_on_disconnected,
    .ctx = endpoint,
  };

  endpoint->cluster = cluster;
  endpoint->host_index = host_index;
  endpoint->port = (uint16_t) (cluster->settings->port + ENDPOINT_PORT_OFFSET + host_index);
  endpoint->id = g_strdup_printf ("i-%u-%u", host_index, host->incarnations++);
  endpoint->created_ms = cluster_now_ms (cluster);
  endpoint->completions = json_array ();
  endpoint->highest_attempts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  LIST_INIT (&endpoint->instances);
  LIST_INIT (&endpoint->heartbeats);
  LIST_INIT (&endpoint->late_calls);
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
  while (!LIST_EMPTY (&endpoint->heartbeats))
    {
      struct cluster_heartbeat *heartbeat = LIST_FIRST (&endpoint->heartbeats);

      LIST_REMOVE (heartbeat, link);
      g_free (heartbeat);
    }
  while (!LIST_EMPTY (&endpoint->instances))
    {
      struct cluster_task_instance *instance = LIST_FIRST (&endpoint->instances);

      LIST_REMOVE (instance, link);
      g_free (instance->task);
      g_free (instance);
    }
  while (!LIST_EMPTY (&endpoint->late_calls))
    late_call_destroy (LIST_FIRST (&endpoint->late_calls));
  json_decref (endpoint->completions);
  g_hash_table_destroy (endpoint->highest_attempts);
  g_free (endpoint->id);
  g_free (endpoint);
}

/* Answers the waiting heartbeats if there is a completion to report, and those whose wait time is
 * over. */
static void
endpoint_answer_heartbeats (struct cluster_endpoint *endpoint)
{
  struct cluster_heartbeat *heartbeat = LIST_FIRST (&endpoint->heartbeats);

  while (heartbeat)
    {
      struct cluster_heartbeat *next = LIST_NEXT (heartbeat, link);

      if (json_array_size (endpoint->completions) > 0 ||
          endpoint->cluster->clock.now_ms >= heartbeat->end_ms)
        {
          LIST_REMOVE (heartbeat, link);
          http_request_respond_json (heartbeat->request, 200, endpoint_status_to_json (endpoint));
          g_free (heartbeat);
        }
      heartbeat = next;
    }
}

void
cluster_endpoints_set_faults (struct cluster *cluster, const json_t *body)
{
  struct endpoint_faults *faults = &cluster->endpoint_faults;
  const json_t *permille = json_object_get (body, "endpoints");

  if (!permille)
    return;
  if (!faults->rand)
    faults->rand = g_rand_new ();
  g_rand_set_seed (faults->rand, (guint32) json_integer_value (json_object_get (body, "seed")));
  faults->permille = (unsigned) json_integer_value (permille);
  faults->busy_max_ms = (unsigned) json_integer_value (json_object_get (body, "busy_ms"));
}

void
cluster_endpoints_tick (struct cluster *cluster)
{
  struct cluster_endpoint *endpoint = LIST_FIRST (&cluster->endpoints);

  while (endpoint)
    {
      struct cluster_endpoint *next = LIST_NEXT (endpoint, link);

      if (!endpoint->ended && endpoint->crash_ms > 0 && cluster->clock.now_ms >= endpoint->crash_ms)
        endpoint_crash (endpoint);
      if (endpoint->ended)
        cluster_endpoint_destroy (endpoint);
      else
        {
          endpoint_carry_out_late_calls (endpoint);
          endpoint_advance_instances (endpoint);
          if (!endpoint->unresponsive)
            endpoint_answer_heartbeats (endpoint);
          if (!endpoint->unresponsive && cluster->clock.now_ms >= endpoint->next_registration_ms)
            {
              endpoint->next_registration_ms =
                  cluster->clock.now_ms + cluster->settings->heartbeat_ms;
              endpoint_register (endpoint);
            }
        }
      endpoint = next;
    }
}
