#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "common/message_text.h"
#include "entry.h"

enum
{
  BODY_LIMIT_BYTES = 4096,
  CONNECTION_LIMIT = 64,
};

struct admin
{
  struct entry *entry;
  struct http_server *server;
};

/* Reports readiness: ready once routes are known and slots are available, until a planned stop
 * begins. */
static void
admin_health (struct entry *entry, struct http_request *request)
{
  if (entry->stopping)
    http_request_respond_text (request, 503, "text/plain", "stopping\n");
  else if (!feed_table (entry->feed))
    http_request_respond_text (request, 503, "text/plain", "no routes yet\n");
  else if (!dispatch_is_ready (entry->dispatch, entry_now_ms (entry)))
    http_request_respond_text (request, 503, "text/plain", "no slots yet\n");
  else
    http_request_respond_text (request, 200, "text/plain", "ready\n");
}

/* Appends one metric with its help text and type. */
static void
print_metric (GString *text, const char *name, const char *kind, const char *help, uint64_t value)
{
  g_string_append_printf (text,
                          "# HELP sesamepick_%s %s\n# TYPE sesamepick_%s %s\n"
                          "sesamepick_%s %" G_GUINT64_FORMAT "\n",
                          name, help, name, kind, name, value);
}

/* Appends the counters and gauges of the dispatcher. */
static void
print_dispatch (GString *text, const struct entry *entry)
{
  struct dispatch_stats stats;

  dispatch_get_stats (entry->dispatch, &stats);
  print_metric (text, "requests_total", "counter", "Requests taken.", stats.requests);
  g_string_append_printf (text,
                          "# HELP sesamepick_outcomes_total Final answers by outcome.\n"
                          "# TYPE sesamepick_outcomes_total counter\n"
                          "sesamepick_outcomes_total{outcome=\"answered\"} %" G_GUINT64_FORMAT "\n"
                          "sesamepick_outcomes_total{outcome=\"not-run\"} %" G_GUINT64_FORMAT "\n"
                          "sesamepick_outcomes_total{outcome=\"unknown\"} %" G_GUINT64_FORMAT "\n",
                          stats.answered, stats.not_run, stats.unknown);
  print_metric (text, "attempts_total", "counter", "Attempts at endpoints.", stats.attempts);
  print_metric (text, "retries_total", "counter", "Attempts after the first.", stats.retries);
  print_metric (text, "callers_gone_total", "counter", "Callers that hung up before the answer.",
                stats.callers_disconnected);
  print_metric (text, "queued", "gauge", "Requests that wait.", stats.queued);
  print_metric (text, "running", "gauge", "Requests at an endpoint.", stats.running);
  print_metric (text, "dispatch_peer_messages_total", "counter",
                "Messages of other entry hosts that were taken.", stats.peer_messages);
}

/* Appends the number of final answers by reason and of attempts by result. */
static void
print_results (GString *text, const struct entry_stats *stats)
{
  /* In the order of enum attempt_result. */
  static const char *const results[] = { "answered", "refused", "not-sent",
                                         "lost",     "timeout", "too-large" };

  g_string_append (text, "# HELP sesamepick_reasons_total Final answers by reason.\n"
                         "# TYPE sesamepick_reasons_total counter\n");
  for (size_t i = 0; i < G_N_ELEMENTS (stats->done_by_reason); i++)
    g_string_append_printf (text, "sesamepick_reasons_total{reason=\"%s\"} %" G_GUINT64_FORMAT "\n",
                            request_reason_name ((enum request_reason) i),
                            stats->done_by_reason[i]);
  g_string_append (text, "# HELP sesamepick_attempt_results_total Attempts by result.\n"
                         "# TYPE sesamepick_attempt_results_total counter\n");
  for (size_t i = 0; i < G_N_ELEMENTS (stats->attempts_by_result); i++)
    g_string_append_printf (
        text, "sesamepick_attempt_results_total{result=\"%s\"} %" G_GUINT64_FORMAT "\n", results[i],
        stats->attempts_by_result[i]);
}

/* Appends the counters of the daemon itself. */
static void
print_daemon (GString *text, const struct entry *entry)
{
  const struct entry_stats *stats = &entry->stats;

  print_metric (text, "bad_requests_total", "counter", "Requests refused as malformed.",
                stats->bad_requests);
  print_metric (text, "peer_sent_total", "counter", "Messages sent to other entry hosts.",
                stats->peer_sent);
  print_metric (text, "peer_dropped_total", "counter",
                "Messages to other entry hosts that were dropped.", stats->peer_dropped);
  print_metric (text, "feed_messages_total", "counter", "Messages of the feed.",
                stats->feed_messages);
  print_metric (text, "feed_changes_total", "counter", "Route tables that came into force.",
                stats->feed_changes);
  print_metric (text, "route_offset", "gauge", "Offset of the routes in force.",
                dispatch_route_offset (entry->dispatch));
  print_metric (text, "caller_connections", "gauge", "Open connections of callers.",
                http_server_connections (entry->server));
  print_metric (text, "stopping", "gauge", "Whether a planned stop has begun.", entry->stopping);
}

/* Responds with all metrics in the Prometheus text format. */
static void
admin_metrics (const struct admin *admin, struct http_request *request)
{
  const struct entry *entry = admin->entry;
  const struct http_server_metrics servers[] = { { entry->server, "callers" },
                                                 { admin->server, "admin" } };
  GString *text = g_string_new (NULL);

  print_dispatch (text, entry);
  print_results (text, &entry->stats);
  print_daemon (text, entry);
  http_server_print_metrics (text, "sesamepick_", servers, G_N_ELEMENTS (servers), &entry->memory);
  http_request_respond_text (request, 200, "text/plain; version=0.0.4", text->str);
  g_string_free (text, TRUE);
}

/* Responds with the active route table as JSON. */
static void
admin_routes (const struct entry *entry, struct http_request *request)
{
  const Sp__RouteTable *table = feed_table (entry->feed);
  json_t *json = table ? message_to_json (&table->base) : json_pack ("{s:i}", "offset", 0);
  char *text = json_dumps (json, JSON_COMPACT);

  http_request_respond_text (request, 200, "application/json", text);
  free (text);
  json_decref (json);
}

/* Routes a request on the admin port by its path. */
static void
admin_handle (void *ctx, struct http_request *request)
{
  const struct admin *admin = ctx;
  struct entry *entry = admin->entry;
  const char *path = http_request_path (request);

  if (strcmp (http_request_method (request), "GET") != 0)
    http_request_respond_text (request, 405, "text/plain", "only GET\n");
  else if (strcmp (path, "/healthz") == 0)
    admin_health (entry, request);
  else if (strcmp (path, "/metrics") == 0)
    admin_metrics (admin, request);
  else if (strcmp (path, "/routes") == 0)
    admin_routes (entry, request);
  else
    http_request_respond_text (request, 404, "text/plain", "no such page\n");
}

/* Starts listening on the admin port. Returns 0, or logs an error and returns -EADDRINUSE. */
int
admin_create (struct entry *entry)
{
  const Sp__EntrydSettings *settings = entry->settings;
  struct admin *admin = g_new0 (struct admin, 1);
  struct http_server_config config = {
    .address = settings->listen_address,
    .port = (uint16_t) settings->admin_port,
    .body_limit = BODY_LIMIT_BYTES,
    .connection_limit = CONNECTION_LIMIT,
    .memory = &entry->memory,
    .handle = admin_handle,
    .ctx = admin,
  };

  admin->entry = entry;
  admin->server = http_server_create (entry->loop, &config);
  if (!admin->server)
    {
      log_error ("admin", "Cannot listen on %s:%u for admin requests.", settings->listen_address,
                 settings->admin_port);
      g_free (admin);
      return -EADDRINUSE;
    }
  entry->admin = admin;
  return 0;
}

void
admin_destroy (struct admin *admin)
{
  http_server_destroy (admin->server);
  g_free (admin);
}
