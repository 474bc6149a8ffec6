#include "operators.h"

#include <stdarg.h>
#include <string.h>

#include "common/log.h"

enum
{
  BODY_LIMIT_BYTES = 4 << 20,
  MAX_CONNECTIONS = 256,
  DEFAULT_AUDIT_ENTRIES = 50,
  MAX_OPERATOR_NAME_BYTES = 64,
};

static const char problem_type[] = "application/problem+json";

/* Sends a JSON response. */
void
operators_reply (struct http_request *request, int status, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT | JSON_PRESERVE_ORDER);

  http_request_respond_text (request, status, "application/json", text);
  free (text);
  json_decref (json);
}

/* Sends a problem document (RFC 7807). extra holds additional members, or is NULL. */
void
operators_reply_problem (struct http_request *request, int status, const char *title, json_t *extra,
                         const char *format, ...)
{
  g_autofree char *detail = NULL;
  va_list args;
  json_t *json;
  char *text;

  va_start (args, format);
  detail = g_strdup_vprintf (format, args);
  va_end (args);
  json = json_pack ("{s:s, s:s, s:i, s:s}", "type", "about:blank", "title", title, "status", status,
                    "detail", detail);
  if (extra)
    json_object_update (json, extra);
  text = json_dumps (json, JSON_COMPACT);
  http_request_respond_text (request, status, problem_type, text);
  free (text);
  json_decref (json);
  json_decref (extra);
}

/* Replies that the platform is unreachable and nothing was changed. */
void
operators_reply_unavailable (struct http_request *request)
{
  static const char text[] =
      "{\"type\":\"about:blank\",\"title\":\"Platform unavailable\",\"status\":503,"
      "\"detail\":\"platform unavailable, try later\"}";
  struct http_header headers[] = { { "Content-Type", problem_type }, { "Retry-After", "2" } };
  struct http_response response = {
    .status = 503,
    .headers = headers,
    .n_headers = G_N_ELEMENTS (headers),
    .body = text,
    .body_len = sizeof text - 1,
  };

  http_request_respond (request, &response);
}

/* Replies with a view, or with 404 if json is NULL. */
static void
operators_reply_view (struct http_request *request, json_t *json)
{
  if (json)
    operators_reply (request, 200, json);
  else
    operators_reply_problem (request, 404, "Not found", NULL, "%s: not found",
                             http_request_path (request));
}

/* Returns the requested number of audit entries, or the default. */
static size_t
audit_limit (const struct http_request *request)
{
  const char *text = http_request_query (request, "limit");
  guint64 limit;

  if (!text || !g_ascii_string_to_unsigned (text, 10, 1, G_MAXINT32, &limit, NULL))
    return DEFAULT_AUDIT_ENTRIES;
  return limit;
}

/* Handles a GET request. parts are the components of its path: "", "v1", the kind of resource, its
 * id. */
static void
operators_get (struct operators *operators, struct http_request *request, char **parts)
{
  struct fleetd *fleetd = operators->fleetd;
  json_t *json = NULL;

  if (g_strcmp0 (parts[2], "status") == 0)
    json = view_status (fleetd);
  else if (g_strcmp0 (parts[2], "plans") == 0 && parts[3])
    {
      const struct plan *plan = fleet_find_plan (fleetd->fleet, parts[3]);

      json = plan ? view_plan (plan) : NULL;
    }
  else if (g_strcmp0 (parts[2], "plans") == 0)
    json = view_plans (fleetd);
  else if (g_strcmp0 (parts[2], "bill") == 0)
    json = view_bill (fleetd, http_request_query (request, "month"));
  else if (g_strcmp0 (parts[2], "audit") == 0)
    json = view_audit (fleetd, audit_limit (request));
  else if (g_strcmp0 (parts[2], "tasks") == 0)
    json = view_tasks (fleetd);
  else if (g_strcmp0 (parts[2], "records") == 0 && parts[3])
    json = view_record (fleetd, parts[3]);
  operators_reply_view (request, json);
}

/* Handles a POST request on one plan. */
static void
operators_post_plan (struct operators *operators, struct http_request *request, const char *id,
                     const char *action)
{
  if (g_strcmp0 (action, "confirm") == 0)
    change_plan_confirm (operators, request, id);
  else if (g_strcmp0 (action, "amend") == 0)
    change_plan_amend (operators, request, id);
  else if (g_strcmp0 (action, "withdraw") == 0)
    change_plan_withdraw (operators, request, id);
  else
    operators_reply_view (request, NULL);
}

/* Returns whether a name is valid as an author in the audit trail. */
static bool
operator_name_is_valid (const char *name)
{
  return name && name[0] != '\0' && strlen (name) <= MAX_OPERATOR_NAME_BYTES &&
         g_utf8_validate (name, -1, NULL);
}

/* Handles a POST request. parts are the components of its path: "", "v1", the kind of resource, its
 * id, the action. */
static void
operators_post (struct operators *operators, struct http_request *request, char **parts)
{
  if (!operator_name_is_valid (http_request_header (request, "Sesamepick-Operator")))
    operators_reply_problem (
        request, 400, "Bad request", NULL,
        "the header Sesamepick-Operator must name the operator in 1 to %d bytes of UTF-8",
        MAX_OPERATOR_NAME_BYTES);
  else if (!log_reader_can_reach_log (&operators->fleetd->reader))
    operators_reply_unavailable (request);
  else if (g_strcmp0 (parts[2], "declarations") == 0)
    change_declare (operators, request);
  else if (g_strcmp0 (parts[2], "plans") == 0 && !parts[3])
    change_plan_propose (operators, request);
  else if (g_strcmp0 (parts[2], "plans") == 0 && parts[4])
    operators_post_plan (operators, request, parts[3], parts[4]);
  else if (g_strcmp0 (parts[2], "tasks") == 0)
    change_task (operators, request);
  else
    operators_reply_view (request, NULL);
}

/* Handles a request of the operator API. */
static void
operators_handle (void *ctx, struct http_request *request)
{
  struct operators *operators = ctx;
  g_autofree char *path = g_strdup (http_request_path (request));
  g_auto (GStrv) parts = NULL;

  clock_update (&operators->fleetd->clock);
  path[strcspn (path, "?")] = '\0';
  parts = g_strsplit (path, "/", 6);
  if (g_strv_length (parts) < 3 || strcmp (parts[1], "v1") != 0)
    operators_reply_view (request, NULL);
  else if (!fleetd_is_ready (operators->fleetd))
    operators_reply_problem (request, 503, "Not ready", NULL, "not ready");
  else if (operators->fleetd->stopping)
    operators_reply_problem (request, 503, "Stopping", NULL,
                             "this fleetd is stopping, ask another");
  else if (strcmp (http_request_method (request), "GET") == 0)
    operators_get (operators, request, parts);
  else if (strcmp (http_request_method (request), "POST") == 0)
    operators_post (operators, request, parts);
  else
    operators_reply_problem (request, 405, "Method not allowed", NULL, "GET or POST");
}

/* Handles an operator's disconnect. The change itself is still made. */
static void
operators_disconnected (void *ctx, struct http_request *request)
{
  (void) ctx;
  change_disconnected (request);
}

bool
operators_init (struct operators *operators, struct fleetd *fleetd)
{
  struct http_server_config config = {
    .address = fleetd->settings->listen_address,
    .port = (uint16_t) fleetd->settings->operator_port,
    .body_limit = BODY_LIMIT_BYTES,
    .connection_limit = http_server_connection_limit (MAX_CONNECTIONS, fleetd->settings->memory_mb),
    .memory = &fleetd->memory,
    .handle = operators_handle,
    .caller_disconnected = operators_disconnected,
    .ctx = operators,
  };

  operators->fleetd = fleetd;
  operators->server = http_server_create (fleetd->loop, &config);
  return operators->server != NULL;
}

void
operators_finish (struct operators *operators)
{
  http_server_destroy (operators->server);
}
