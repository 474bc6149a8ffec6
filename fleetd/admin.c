#include "fleetd.h"

#include <string.h>
#include <time.h>

#include "common/client_limits.h"

enum
{
  BODY_LIMIT_BYTES = 1024,
  MAX_CONNECTIONS = 32,
  NS_PER_MS = 1000000,
};

/* Registers all metrics. */
static void
metrics_register (struct fleetd_metrics *metrics)
{
  struct metrics *all = &metrics->all;

  metrics_init (all);
  metric_add_counter (all, &metrics->appends, "sesamepick_fleetd_appends_total", "",
                      "Appends started.");
  metric_add_counter (all, &metrics->append_errors, "sesamepick_fleetd_append_errors_total", "",
                      "Appends that the log did not take.");
  metric_add_counter (all, &metrics->appends_lost, "sesamepick_fleetd_appends_lost_total", "",
                      "Appends whose answer was lost.");
  metric_add_counter (all, &metrics->records_sent, "sesamepick_fleetd_records_sent_total", "",
                      "Records in appends started.");
  metric_add_counter (all, &metrics->records_applied, "sesamepick_fleetd_records_applied_total", "",
                      "Records read from the log and applied.");
  metric_add_counter (all, &metrics->rejected, "sesamepick_fleetd_verdicts_total",
                      "kind=\"rejected\"", "Verdicts by kind.");
  metric_add_counter (all, &metrics->duplicates, "sesamepick_fleetd_verdicts_total",
                      "kind=\"duplicate\"", "Verdicts by kind.");
  metric_add_gauge (all, &metrics->offset, "sesamepick_fleetd_offset", "",
                    "Last offset of the log that was applied.");
  metric_add_gauge (all, &metrics->routes_offset, "sesamepick_fleetd_routes_offset", "",
                    "Offset of the last change of the routes.");
  metric_add_gauge (all, &metrics->log_reachable, "sesamepick_fleetd_log_reachable", "",
                    "1 while the log can be reached.");
  metric_add_gauge (all, &metrics->ready, "sesamepick_fleetd_ready", "",
                    "1 once the state is that of the log or of a peer.");
  metric_add_gauge (all, &metrics->holds_claim, "sesamepick_fleetd_holds_claim", "",
                    "1 while this fleetd carries plans out.");
  metric_add_gauge (all, &metrics->subscribers, "sesamepick_fleetd_feed_subscribers", "",
                    "Entryds that take the feed.");
  metric_add_counter (all, &metrics->platform_calls, "sesamepick_fleetd_platform_calls_total", "",
                      "Calls to the platform.");
  metric_add_counter (all, &metrics->platform_errors, "sesamepick_fleetd_platform_errors_total", "",
                      "Calls to the platform that failed.");
  metric_add_counter (all, &metrics->platform_bytes, "sesamepick_fleetd_platform_bytes_total", "",
                      "Bytes of paths and bodies exchanged with the platform.");
  metric_add_counter (all, &metrics->feed_bytes, "sesamepick_fleetd_feed_bytes_total", "",
                      "Bytes of messages exchanged with entryds and fleetds.");
  metric_add_counter (all, &metrics->snapshots_written, "sesamepick_fleetd_snapshots_written_total",
                      "", "Snapshots written.");
  metric_add_counter (all, &metrics->processor_ms, "sesamepick_fleetd_processor_ms_total", "",
                      "Processor time of this process, in milliseconds.");
}

/* Returns the CPU time used by this process, in milliseconds. */
static int64_t
processor_time_ms (void)
{
  struct timespec time;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &time);
  return (int64_t) time.tv_sec * MS_PER_S + time.tv_nsec / NS_PER_MS;
}

/* Updates the metrics whose values are kept in other parts of the daemon. */
static void
metrics_update (struct fleetd *fleetd)
{
  struct fleetd_metrics *metrics = &fleetd->metrics;
  struct platform_stats stats;

  fleetd->platform->get_stats (fleetd->platform->self, &stats);
  metrics->offset.value = (int64_t) fleet_offset (fleetd->fleet);
  metrics->routes_offset.value = (int64_t) fleetd->feed.routes_offset;
  metrics->log_reachable.value = log_reader_can_reach_log (&fleetd->reader);
  metrics->ready.value = fleetd_is_ready (fleetd);
  metrics->holds_claim.value = executor_driver_holds_claim (&fleetd->executor_driver);
  metrics->subscribers.value = fleetd->feed.n_subscribers;
  metrics->platform_calls.value = (int64_t) stats.calls;
  metrics->platform_errors.value = (int64_t) stats.errors;
  metrics->platform_bytes.value = (int64_t) (stats.bytes_sent + stats.bytes_received);
  metrics->feed_bytes.value = (int64_t) (fleetd->feed.bytes_sent + fleetd->feed.bytes_received);
  metrics->processor_ms.value = processor_time_ms ();
}

/* Answers with all metrics. */
static void
answer_metrics (struct fleetd *fleetd, struct http_request *request)
{
  const struct http_server_metrics servers[] = { { fleetd->operators.server, "operators" },
                                                 { fleetd->admin, "admin" } };
  g_autoptr (GString) text = NULL;

  metrics_update (fleetd);
  text = metrics_print (&fleetd->metrics.all);
  http_server_print_metrics (text, "sesamepick_fleetd_", servers, G_N_ELEMENTS (servers),
                             &fleetd->memory);
  http_request_respond_text (request, 200, "text/plain; version=0.0.4", text->str);
}

/* Serves /healthz and /metrics. */
static void
admin_handle (void *ctx, struct http_request *request)
{
  struct fleetd *fleetd = ctx;
  const char *path = http_request_path (request);
  bool ready = fleetd_is_ready (fleetd) && !fleetd->stopping;

  clock_update (&fleetd->clock);
  if (strcmp (path, "/healthz") == 0)
    http_request_respond_text (request, ready ? 200 : 503, "text/plain",
                               ready ? "ready\n" : "not ready\n");
  else if (strcmp (path, "/metrics") == 0)
    answer_metrics (fleetd, request);
  else
    http_request_respond_text (request, 404, "text/plain", "not found\n");
}

bool
admin_init (struct fleetd *fleetd)
{
  struct http_server_config config = {
    .address = fleetd->settings->listen_address,
    .port = (uint16_t) fleetd->settings->admin_port,
    .body_limit = BODY_LIMIT_BYTES,
    .connection_limit = MAX_CONNECTIONS,
    .memory = &fleetd->memory,
    .handle = admin_handle,
    .ctx = fleetd,
  };

  metrics_register (&fleetd->metrics);
  memory_budget_init (&fleetd->memory, client_memory_limit (fleetd->settings->memory_mb));
  fleetd->admin = http_server_create (fleetd->loop, &config);
  return fleetd->admin != NULL;
}

void
admin_finish (struct fleetd *fleetd)
{
  http_server_destroy (fleetd->admin);
  metrics_finish (&fleetd->metrics.all);
}
