#include "platform.h"

#include <string.h>

/* A requested operation on a host; its strings belong to the JSON that it was read from. */
struct operation_request
{
  const char *kind;
  const char *key;
  const char *expected_pool;
  const char *to_pool;
  uint64_t sequence;
};

/* Returns a string field of an object, or "". */
static const char *
string_field (const json_t *json, const char *name)
{
  const char *text = json_string_value (json_object_get (json, name));

  return text ? text : "";
}

/* Adds an event of an operation to the journal. */
static void
operation_journal_add (struct platform *platform, const struct operation *operation,
                       const char *event, const char *from)
{
  platform_journal_add (platform,
                        json_pack ("{s:s, s:s, s:s, s:s, s:s, s:s}", "event", event, "host",
                                   operation->host->name, "operation", operation->kind, "key",
                                   operation->key, "from", from, "to", operation->to_pool));
}

/* Applies the effect of a completed operation. */
static void
operation_apply (struct platform *platform, struct operation *operation)
{
  struct standin_host *host = operation->host;
  g_autofree char *from = g_strdup (host->pool[0] ? host->pool : host->previous_pool);

  if (strcmp (operation->kind, "drain") == 0)
    host->drained = true;
  else if (strcmp (operation->kind, "reboot") == 0)
    host->reboots++;
  else if (strcmp (operation->kind, "leave") == 0)
    {
      g_free (host->previous_pool);
      host->previous_pool = host->pool;
      host->pool = g_strdup ("");
    }
  else
    {
      g_free (host->pool);
      host->pool = g_strdup (operation->to_pool);
      host->drained = false;
    }
  operation_journal_add (platform, operation, "effect", from);
  standin_host_changed (platform, host);
}

/* Completes the operations that are due. */
void
standin_operations_tick (struct platform *platform)
{
  GHashTableIter iter;
  struct operation *operation;

  g_hash_table_iter_init (&iter, platform->operations);
  while (g_hash_table_iter_next (&iter, NULL, (void **) &operation))
    {
      if (operation->finished || platform->clock.now_ms < operation->due_ms)
        continue;
      operation->finished = true;
      if (operation->will_fail)
        operation_journal_add (platform, operation, "failed", operation->host->pool);
      else
        operation_apply (platform, operation);
    }
}

/* Returns why an operation can't start in the host's current state, or NULL if it can. */
static const char *
operation_rejection_reason (const struct standin_host *host, const struct operation_request *wanted)
{
  if (strcmp (host->presence, "gone") == 0)
    return "host is gone";
  if (wanted->sequence < host->sequence)
    return "a later operation was taken";
  if (strcmp (wanted->kind, "join") == 0)
    {
      if (host->pool[0] != '\0' && strcmp (host->pool, wanted->to_pool) != 0)
        return "host is in a pool";
      if (wanted->to_pool[0] == '\0')
        return "no pool to join";
      return NULL;
    }
  if (strcmp (host->pool, wanted->expected_pool) != 0)
    return "host is not in the expected pool";
  if (strcmp (wanted->kind, "leave") == 0 && !host->drained)
    return "host is not drained";
  return NULL;
}

/* Answers with an operation's state. */
static void
operation_answer (struct platform *platform, struct http_request *request,
                  const struct operation *operation)
{
  const char *state = "running";

  if (operation->finished)
    state = operation->will_fail ? "failed" : "done";
  platform_answer_json (platform, request, operation->finished ? 200 : 202,
                        json_pack ("{s:s, s:s}", "state", state, "key", operation->key), 0);
}

/* Starts an operation; whether it will fail is drawn now. */
static struct operation *
operation_create (struct platform *platform, struct standin_host *host,
                  const struct operation_request *wanted)
{
  struct operation *operation = g_new0 (struct operation, 1);
  gint32 fail_permille = (gint32) platform->faults.operations_fail_permille;

  host->sequence = wanted->sequence;
  operation->key = g_strdup (wanted->key);
  operation->kind = g_strdup (wanted->kind);
  operation->to_pool = g_strdup (wanted->to_pool);
  operation->host = host;
  operation->due_ms = platform->clock.now_ms + platform->settings->operation_ms;
  operation->will_fail = g_rand_int_range (platform->random, 0, 1000) < fail_permille;
  g_hash_table_replace (platform->operations, operation->key, operation);
  operation_journal_add (platform, operation, "started", host->pool);
  return operation;
}

/* Starts an operation unless one with its key exists; a failed operation may be repeated under the
 * same key. */
static void
operation_post (struct platform *platform, struct http_request *request, struct standin_host *host,
                const json_t *json)
{
  struct operation_request wanted = {
    .kind = string_field (json, "operation"),
    .key = string_field (json, "key"),
    .expected_pool = string_field (json, "expected_pool"),
    .to_pool = string_field (json, "to_pool"),
    .sequence = (uint64_t) json_integer_value (json_object_get (json, "sequence")),
  };
  struct operation *operation = g_hash_table_lookup (platform->operations, wanted.key);
  const char *rejection;

  if (!operation || (operation->finished && operation->will_fail))
    {
      rejection = operation_rejection_reason (host, &wanted);
      if (rejection)
        {
          platform_journal_add (platform,
                                json_pack ("{s:s, s:s, s:s, s:s, s:s}", "event", "refused", "host",
                                           host->name, "operation", wanted.kind, "key", wanted.key,
                                           "reason", rejection));
          platform_answer_json (platform, request, 409, json_pack ("{s:s}", "reason", rejection),
                                0);
          return;
        }
      operation = operation_create (platform, host, &wanted);
    }
  if (platform_loses_answer (platform))
    platform_withhold_answer (platform, request);
  else
    operation_answer (platform, request, operation);
}

/* Handles the operations and tasks of one host. */
void
standin_host_request (struct platform *platform, struct http_request *request, const char *rest)
{
  g_auto (GStrv) parts = g_strsplit_set (rest, "/?", 3);
  struct standin_host *host = parts[0] ? standin_host_find (platform, parts[0]) : NULL;
  bool is_post = strcmp (http_request_method (request), "POST") == 0;
  struct operation *operation = NULL;
  const char *key = http_request_query (request, "key");
  size_t len;
  const void *body = http_request_body (request, &len);
  json_t *json = json_loadb (body ? body : "", len, 0, NULL);

  if (key)
    operation = g_hash_table_lookup (platform->operations, key);
  if (host && parts[1] && is_post && json && strcmp (parts[1], "operations") == 0)
    operation_post (platform, request, host, json);
  else if (host && parts[1] && is_post && json && strcmp (parts[1], "tasks") == 0)
    standin_task_post (platform, request, host, json);
  else if (host && !is_post && operation)
    operation_answer (platform, request, operation);
  else
    platform_answer_json (platform, request, 404, json_pack ("{s:s}", "reason", "not found"), 0);
  json_decref (json);
}
