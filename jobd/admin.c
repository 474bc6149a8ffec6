#include <string.h>

#include "common/http_json.h"
#include "common/log.h"
#include "common/settings.h"
#include "inspect.h"
#include "jobd.h"
#include "platform/callers.h"
#include "job_trace.h"

/* HTTP port for readiness, metrics and operators' queries about jobs. */

enum
{
  BODY_BYTES_MAX = 1024,
  CONNECTIONS_MAX = 64,
  /* If the journal reader has not caught up for this long, the host is not ready. */
  JOURNAL_STALE_MS = 2500,
  /* Size of the job trace. The leader of a deployment with 49 hosts logs 42 KB/s, so this holds
   * more than a minute. */
  TRACE_BYTES_MAX = 4 * 1024 * 1024,
};

#define PATH_JOBS "/jobs"

struct admin
{
  struct jobd *jobd;
  struct http_server *server;
  struct job_trace *trace;
};

bool
jobd_is_ready (const struct jobd *jobd)
{
  return !jobd->stopping && jobd->queues && topic_reader_is_loaded (jobd->journal) &&
         jobd->clock.now_ms - topic_reader_caught_up_ms (jobd->journal) < JOURNAL_STALE_MS &&
         !writer_is_stuck (jobd->writer);
}

/* Answers with the current leader and the number of jobs by queue and state. */
static void
answer_jobs (const struct admin *admin, struct http_request *request)
{
  const struct jobd *jobd = admin->jobd;

  http_request_respond_json (
      request, 200,
      json_pack ("{s:s, s:s?, s:I, s:b, s:o}", "host", jobd->settings->name, "leader",
                 jobd->jobs.leader_node, "epoch", (json_int_t) jobd->jobs.leader_epoch, "leads",
                 leader_is_leading (jobd->leader), "queues", inspect_jobs (&jobd->jobs)));
}

/* Answers with the state of a job on this host and the log lines that name the job. */
static void
answer_job (const struct admin *admin, struct http_request *request, const char *id)
{
  const struct jobd *jobd = admin->jobd;

  http_request_respond_json (
      request, 200,
      json_pack ("{s:s, s:s?, s:b, s:o?, s:o}", "host", jobd->settings->name, "leader",
                 jobd->jobs.leader_node, "leads", leader_is_leading (jobd->leader), "job",
                 inspect_job (&jobd->jobs, id), "lines", job_trace_lines (admin->trace, id)));
}

/* Answers with all metrics. */
static void
answer_metrics (const struct admin *admin, struct http_request *request)
{
  const struct jobd *jobd = admin->jobd;
  g_autoptr (GString) text = metrics_print (&jobd->metrics);
  const struct http_server_metrics servers[] = { { ingress_server (jobd->ingress), "callers" },
                                                 { admin->server, "admin" } };

  http_server_print_metrics (text, "sesamepick_jobd_", servers, G_N_ELEMENTS (servers),
                             &jobd->memory);
  http_request_respond_text (request, 200, "text/plain; version=0.0.4", text->str);
}

/* Dispatches a request by its path. */
static void
admin_on_request (void *ctx, struct http_request *request)
{
  struct admin *admin = ctx;
  const char *path = http_request_path (request);
  bool ready = jobd_is_ready (admin->jobd);

  if (path_is_readiness (path))
    http_request_respond_text (request, ready ? 200 : 503, "text/plain",
                               ready ? "ready\n" : "not ready\n");
  else if (strcmp (path, "/metrics") == 0)
    answer_metrics (admin, request);
  else if (strcmp (path, PATH_JOBS) == 0)
    answer_jobs (admin, request);
  else if (g_str_has_prefix (path, PATH_JOBS "/"))
    answer_job (admin, request, path + strlen (PATH_JOBS "/"));
  else
    http_request_respond_text (request, 404, "text/plain", "no such page\n");
}

/* Opens the port for readiness, metrics and queries. Returns 0 or a negative error number. */
int
admin_create (struct jobd *jobd)
{
  struct admin *admin = g_new0 (struct admin, 1);
  char ip[64];
  uint16_t port;
  struct http_server_config config = {
    .address = ip,
    .body_limit = BODY_BYTES_MAX,
    .connection_limit = CONNECTIONS_MAX,
    .memory = &jobd->memory,
    .handle = admin_on_request,
    .ctx = admin,
  };
  int error = settings_parse_endpoint (jobd->settings->readiness, ip, &port);

  admin->jobd = jobd;
  config.port = port;
  admin->server = error == 0 ? http_server_create (jobd->loop, &config) : NULL;
  if (!admin->server)
    {
      log_error ("admin", "can't open the admin port: address=%s", jobd->settings->readiness);
      g_free (admin);
      return error != 0 ? error : -1;
    }
  admin->trace = job_trace_create (TRACE_BYTES_MAX);
  log_set_observer (job_trace_add, admin->trace);
  jobd->admin = admin;
  return 0;
}

/* Closes the port and stops collecting log lines. */
void
admin_destroy (struct admin *admin)
{
  http_server_destroy (admin->server);
  log_set_observer (NULL, NULL);
  job_trace_destroy (admin->trace);
  g_free (admin);
}
