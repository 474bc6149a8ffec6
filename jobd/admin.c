#include <string.h>

#include "common/log.h"
#include "common/settings.h"
#include "jobd.h"
#include "platform/callers.h"

/* Readiness and metrics. */

enum
{
  BODY_MAX = 1024,
  CONNECTIONS_MAX = 64,
  /* Without word from the store for this long, nothing can be accepted. */
  READY_FRESH_MS = 2500,
};

struct admin
{
  struct jobd *jobd;
  struct http_server *server;
};

/* Tells whether callers should be sent here. */
bool
jobd_is_ready (const struct jobd *jobd)
{
  return !jobd->stopping && jobd->queues && tail_is_loaded (jobd->journal) &&
         jobd->clock.now_ms - tail_fresh_ms (jobd->journal) < READY_FRESH_MS &&
         !writer_is_stuck (jobd->writer);
}

/* A request has arrived. */
static void
admin_on_request (void *ctx, struct http_request *request)
{
  struct admin *admin = ctx;
  const char *path = http_request_path (request);
  bool ready = jobd_is_ready (admin->jobd);

  if (path_is_readiness (path))
    http_request_answer_text (request, ready ? 200 : 503, "text/plain",
                              ready ? "ready\n" : "not ready\n");
  else if (strcmp (path, "/metrics") == 0)
    {
      GString *text = metrics_print (&admin->jobd->metrics);

      http_request_answer_text (request, 200, "text/plain; version=0.0.4", text->str);
      g_string_free (text, TRUE);
    }
  else
    http_request_answer_text (request, 404, "text/plain", "no such page\n");
}

/* Opens the port for readiness and metrics. Gives 0 or a negative error number. */
int
admin_create (struct jobd *jobd)
{
  struct admin *admin = g_new0 (struct admin, 1);
  char ip[64];
  uint16_t port;
  struct http_server_config config = {
    .address = ip,
    .body_limit = BODY_MAX,
    .connection_limit = CONNECTIONS_MAX,
    .handle = admin_on_request,
    .ctx = admin,
  };
  int error = settings_endpoint (jobd->settings->readiness, ip, &port);

  admin->jobd = jobd;
  config.port = port;
  admin->server = error == 0 ? http_server_create (jobd->loop, &config) : NULL;
  if (!admin->server)
    {
      log_error ("admin", "can't listen: address=%s", jobd->settings->readiness);
      g_free (admin);
      return error != 0 ? error : -1;
    }
  jobd->admin = admin;
  return 0;
}

/* Closes the port. */
void
admin_destroy (struct admin *admin)
{
  http_server_destroy (admin->server);
  g_free (admin);
}
