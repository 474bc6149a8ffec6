#include "platform.h"

#include <signal.h>
#include <string.h>

#include "common/log.h"
#include "common/program.h"

enum
{
  BODY_LIMIT_BYTES = 4 << 20,
  CONNECTION_LIMIT = 1024,
};

static const double OPERATIONS_PERIOD_S = 0.01;

/* Routes a request by its path. */
static void
platform_handle (void *ctx, struct http_request *request)
{
  struct platform *platform = ctx;
  const char *path = http_request_path (request);

  clock_update (&platform->clock);
  if (g_str_has_prefix (path, "/log/append"))
    standin_log_append (platform, request);
  else if (g_str_has_prefix (path, "/log/read"))
    standin_log_read (platform, request);
  else if (g_str_has_prefix (path, "/hosts/"))
    standin_host_request (platform, request, path + strlen ("/hosts/"));
  else if (g_str_has_prefix (path, "/hosts"))
    standin_hosts_list (platform, request);
  else if (g_str_has_prefix (path, "/usage"))
    standin_usage_list (platform, request);
  else if (g_str_has_prefix (path, "/invoice"))
    standin_invoice (platform, request);
  else if (g_str_has_prefix (path, "/standin/faults"))
    standin_faults_set (platform, request);
  else if (g_str_has_prefix (path, "/standin/journal"))
    standin_journal (platform, request);
  else if (g_str_has_prefix (path, "/healthz"))
    http_request_respond_text (request, 200, "text/plain", "ready\n");
  else
    http_request_respond_text (request, 404, "text/plain", "not found\n");
}

/* Drops an open request whose caller has disconnected. */
static void
platform_disconnected (void *ctx, struct http_request *request)
{
  struct open_request *open = http_request_data (request);

  (void) ctx;
  if (open)
    open_request_destroy (open);
}

/* Completes the operations that are due. */
static void
platform_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct platform *platform = timer->data;

  (void) loop;
  (void) events;
  clock_update (&platform->clock);
  standin_operations_tick (platform);
}

/* Stops the event loop on a signal. */
static void
platform_stop (struct ev_loop *loop, ev_signal *signal, int events)
{
  (void) signal;
  (void) events;
  ev_break (loop, EVBREAK_ALL);
}

static void
operation_destroy (void *data)
{
  struct operation *operation = data;

  g_free (operation->key);
  g_free (operation->kind);
  g_free (operation->to_pool);
  g_free (operation);
}

/* Initializes all parts. Returns false if a setting is invalid or the port is in use. */
static bool
platform_init (struct platform *platform, const Sp__PlatformSettings *settings)
{
  struct http_server_config config = {
    .address = settings->listen_address,
    .port = (uint16_t) settings->port,
    .body_limit = BODY_LIMIT_BYTES,
    .connection_limit = CONNECTION_LIMIT,
    .handle = platform_handle,
    .caller_disconnected = platform_disconnected,
    .ctx = platform,
  };

  platform->settings = settings;
  platform->faults.host_list_lag_ms = settings->host_list_lag_ms;
  platform->random = g_rand_new_with_seed (settings->seed);
  platform->operations = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, operation_destroy);
  platform->journal = json_array ();
  LIST_INIT (&platform->open_requests);
  LIST_INIT (&platform->hosts);
  clock_update (&platform->clock);
  standin_log_init (platform);
  standin_usage_init (platform);
  if (!standin_hosts_init (platform))
    {
      log_error ("hosts", "A host of the settings is not NAME/CLASS/POOL/RACK/DC/REGION/IP/PORT, "
                          "or its name is in use.");
      return false;
    }
  platform->server = http_server_create (platform->loop, &config);
  return platform->server != NULL;
}

/* Answers all open requests with 503. */
static void
platform_reject_open (struct platform *platform)
{
  while (!LIST_EMPTY (&platform->open_requests))
    {
      struct open_request *open = LIST_FIRST (&platform->open_requests);
      struct http_request *request = open->request;

      open_request_destroy (open);
      http_request_respond_text (request, 503, "text/plain", "stopping\n");
    }
}

static void
platform_finish (struct platform *platform)
{
  platform_reject_open (platform);
  http_server_destroy (platform->server);
  standin_usage_finish (platform);
  standin_hosts_finish (platform);
  standin_log_finish (platform);
  g_hash_table_unref (platform->operations);
  json_decref (platform->journal);
  g_free (platform->faults.failing_host);
  g_rand_free (platform->random);
}

/* Runs the simulated platform until SIGTERM or SIGINT. */
int
main (int argc, char **argv)
{
  Sp__PlatformSettings settings = SP__PLATFORM_SETTINGS__INIT;
  struct platform platform = { .loop = ev_default_loop (0) };
  enum program_exit started = program_start (&platform_schema, &settings.base, "standin-platform",
                                             "Simulates the platform for tests.", argc, argv);
  ev_signal term;
  ev_signal interrupt;

  if (started != PROGRAM_STARTED)
    return started;
  if (!platform_init (&platform, &settings))
    return PROGRAM_EXIT_BAD_SETTINGS;
  ev_signal_init (&term, platform_stop, SIGTERM);
  ev_signal_start (platform.loop, &term);
  ev_signal_init (&interrupt, platform_stop, SIGINT);
  ev_signal_start (platform.loop, &interrupt);
  ev_timer_init (&platform.operations_timer, platform_tick, OPERATIONS_PERIOD_S,
                 OPERATIONS_PERIOD_S);
  platform.operations_timer.data = &platform;
  ev_timer_start (platform.loop, &platform.operations_timer);
  log_info ("main", "Ready on port %u.", settings.port);
  ev_run (platform.loop, 0);
  platform_finish (&platform);
  return 0;
}
