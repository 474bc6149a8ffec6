#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "common/http_server.h"
#include "common/log.h"
#include "common/program.h"
#include "faults.h"
#include "settings.pb-c.h"

enum
{
  BODY_LIMIT_BYTES = 64 * 1024,
  CONNECTION_LIMIT = 32,
  MS_PER_S = 1000,
};

/* All forwarded ports. */
struct faults
{
  GPtrArray *forwards;
};

/* Injects a fault on one port: "cut" resets the connections, "silent" black-holes them, "freeze"
 * holds back all bytes, "refuse" closes the port, "none" ends a freeze and opens the port again,
 * and "delay" changes nothing but the delay. Connections that were black-holed stay so. Returns
 * false for an unknown mode, or if the port can't be opened again. */
static bool
forward_apply_mode (struct forward *forward, const char *mode)
{
  if (strcmp (mode, "cut") == 0)
    forward_reset (forward);
  else if (strcmp (mode, "silent") == 0)
    forward_blackhole (forward);
  else if (strcmp (mode, "freeze") == 0)
    forward_freeze (forward, true);
  else if (strcmp (mode, "refuse") == 0)
    forward_refuse (forward);
  else if (strcmp (mode, "none") == 0)
    {
      forward_freeze (forward, false);
      return forward_listen (forward) == 0;
    }
  else
    return strcmp (mode, "delay") == 0;
  return true;
}

/* Applies {"port": N, "mode": M, "delay_ms": D} to a port, or to all ports if none is given. The
 * default mode is "none"; without a delay, the present one remains. */
static bool
faults_apply (struct faults *faults, json_t *json)
{
  int port = 0;
  int delay_ms = -1;
  const char *mode = "none";
  bool found = false;

  if (!json || json_unpack (json, "{s?i s?s s?i !}", "port", &port, "mode", &mode, "delay_ms",
                            &delay_ms) != 0)
    return false;
  for (guint i = 0; i < faults->forwards->len; i++)
    {
      struct forward *forward = faults->forwards->pdata[i];

      if (port != 0 && port != forward->listen_port)
        continue;
      found = true;
      if (delay_ms >= 0)
        forward->delay_s = (double) delay_ms / MS_PER_S;
      if (!forward_apply_mode (forward, mode))
        return false;
    }
  return found;
}

/* Handles a request to inject a fault. */
static void
faults_handle (void *ctx, struct http_request *request)
{
  size_t len;
  const char *body = http_request_body (request, &len);
  json_t *json = json_loadb (body, len, 0, NULL);
  bool accepted =
      strcmp (http_request_path (request), "/standin/faults") == 0 && faults_apply (ctx, json);

  http_request_respond_text (request, accepted ? 200 : 400, "text/plain",
                             accepted ? "ok\n" : "refused\n");
  json_decref (json);
}

/* Opens one forwarded port, given as LISTEN_PORT=IP:PORT. */
static struct forward *
forward_create (struct ev_loop *loop, const Sp__FaultsSettings *settings, const char *text)
{
  struct forward *forward = g_new0 (struct forward, 1);
  const char *equals = strchr (text, '=');
  g_autofree char *port = g_strndup (text, equals ? (gsize) (equals - text) : 0);
  guint64 number = 0;

  forward->loop = loop;
  forward->listen_fd = -1;
  forward->delay_s = (double) settings->delay_ms / MS_PER_S;
  g_strlcpy (forward->listen_ip, settings->listen_address, sizeof forward->listen_ip);
  LIST_INIT (&forward->tunnels);
  if (equals && g_ascii_string_to_unsigned (port, 10, 1, UINT16_MAX, &number, NULL) &&
      settings_parse_endpoint (equals + 1, forward->target_ip, &forward->target_port) == 0)
    {
      forward->listen_port = (uint16_t) number;
      if (forward_listen (forward) == 0)
        return forward;
    }
  log_error ("main", "Can't forward \"%s\": it is not LISTEN_PORT=IP:PORT, or the port is in use.",
             text);
  g_free (forward);
  return NULL;
}

/* Opens all forwarded ports. */
static bool
faults_open (struct faults *faults, struct ev_loop *loop, const Sp__FaultsSettings *settings)
{
  g_auto (GStrv) list = settings_split_list (settings->forward);

  faults->forwards = g_ptr_array_new ();
  for (size_t i = 0; list[i]; i++)
    {
      struct forward *forward = forward_create (loop, settings, list[i]);

      if (!forward)
        return false;
      g_ptr_array_add (faults->forwards, forward);
    }
  return true;
}

/* Stops the event loop on a signal. */
static void
on_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  (void) watcher;
  (void) events;
  ev_break (loop, EVBREAK_ALL);
}

int
main (int argc, char **argv)
{
  enum program_exit started;
  Sp__FaultsSettings settings = SP__FAULTS_SETTINGS__INIT;
  struct ev_loop *loop = ev_default_loop (0);
  struct faults faults = { 0 };
  struct http_server_config config = {
    .body_limit = BODY_LIMIT_BYTES,
    .connection_limit = CONNECTION_LIMIT,
    .handle = faults_handle,
    .ctx = &faults,
  };
  ev_signal terminate;

  started = program_start (&faults_schema, &settings.base, "standin-faults",
                           "Forwards TCP connections and injects faults into them.", argc, argv);
  if (started != PROGRAM_STARTED)
    return started;
  config.address = settings.listen_address;
  config.port = (uint16_t) settings.admin_port;
  if (!faults_open (&faults, loop, &settings) || !http_server_create (loop, &config))
    return PROGRAM_EXIT_BAD_SETTINGS;
  ev_signal_init (&terminate, on_signal, SIGTERM);
  ev_signal_start (loop, &terminate);
  ev_run (loop, 0);
  return 0;
}
