#include "common/http_json.h"
#include "platform.h"

#include <string.h>

/* Stores a number from a JSON object in target, if it is present. */
static void
read_number (const json_t *json, const char *name, uint32_t *target)
{
  const json_t *value = json_object_get (json, name);

  if (json_is_integer (value))
    *target = (uint32_t) json_integer_value (value);
}

/* Stores a time in milliseconds from a JSON object in target, if it is present. */
static void
read_time (const json_t *json, const char *name, int64_t *target)
{
  const json_t *value = json_object_get (json, name);

  if (json_is_integer (value))
    *target = json_integer_value (value);
}

/* Sets the log's mode by its name; an unknown name means up. */
static void
set_log_mode (struct platform *platform, const json_t *json)
{
  const char *mode = json_string_value (json_object_get (json, "log"));

  if (!mode)
    return;
  if (strcmp (mode, "down") == 0)
    platform->faults.log = LOG_DOWN;
  else if (strcmp (mode, "silent") == 0)
    platform->faults.log = LOG_UNRESPONSIVE;
  else
    platform->faults.log = LOG_UP;
}

/* Changes a host's presence on the host list. */
static void
set_host_presence (struct platform *platform, const json_t *json)
{
  const char *name = json_string_value (json_object_get (json, "name"));
  const char *presence = json_string_value (json_object_get (json, "presence"));
  struct standin_host *host = name ? standin_host_find (platform, name) : NULL;

  if (!host || !presence)
    return;
  if (strcmp (presence, "leaving") == 0)
    host->presence = "leaving";
  else if (strcmp (presence, "gone") == 0)
    host->presence = "gone";
  else
    host->presence = "live";
  platform_journal_add (platform, json_pack ("{s:s, s:s, s:s}", "event", "presence", "host",
                                             host->name, "presence", host->presence));
  standin_host_changed (platform, host);
}

/* Ends the long polls of the log as an outage does: with 503 if the log is down, otherwise by
 * withholding the answer. */
static void
end_long_polls (struct platform *platform)
{
  struct open_request *open = LIST_FIRST (&platform->open_requests);

  while (open)
    {
      struct open_request *next = LIST_NEXT (open, link);

      if (open->is_long_poll && platform->faults.log == LOG_DOWN)
        {
          struct http_request *request = open->request;

          open_request_destroy (open);
          platform_answer_json (platform, request, 503, json_pack ("{s:s}", "reason", "log down"),
                                0);
        }
      else if (open->is_long_poll)
        {
          ev_timer_stop (platform->loop, &open->timer);
          open->is_long_poll = false;
        }
      open = next;
    }
}

/* Sets the faults that the body names and leaves all others unchanged. Also applies the one-time
 * changes in the body: a trim of the log, a new host, a host's presence. */
void
standin_faults_set (struct platform *platform, struct http_request *request)
{
  struct faults *faults = &platform->faults;
  size_t len;
  const void *body = http_request_body (request, &len);
  json_t *json = json_loadb (body ? body : "", len, 0, NULL);
  const char *added = json_string_value (json_object_get (json, "add_host"));
  const char *failing = json_string_value (json_object_get (json, "failing_host"));
  const json_t *keep = json_object_get (json, "trim_to");
  const json_t *frozen = json_object_get (json, "frozen");

  set_log_mode (platform, json);
  read_time (json, "log_slow_ms", &faults->log_slow_ms);
  read_time (json, "host_list_lag_ms", &faults->host_list_lag_ms);
  read_number (json, "lose_permille", &faults->lose_permille);
  read_number (json, "lose_next", &faults->lose_next);
  read_number (json, "duplicate_permille", &faults->duplicate_permille);
  read_number (json, "operations_fail_permille", &faults->operations_fail_permille);
  if (failing)
    {
      g_free (faults->failing_host);
      faults->failing_host = g_strdup (failing);
    }
  if (json_is_boolean (frozen))
    faults->frozen = json_is_true (frozen);
  if (json_is_integer (keep))
    standin_log_trim (platform, (uint64_t) json_integer_value (keep));
  if (added)
    standin_host_add (platform, added);
  set_host_presence (platform, json_object_get (json, "host"));
  if (faults->log != LOG_UP)
    end_long_polls (platform);
  http_request_respond_text (request, json ? 200 : 400, "application/json", "{}");
  json_decref (json);
}

/* Returns the current pool, presence, drain state and reboots of each host, without the host list's
 * lag. */
static json_t *
host_states_to_json (const struct platform *platform)
{
  json_t *states = json_object ();
  struct standin_host *host;

  LIST_FOREACH (host, &platform->hosts, link)
    json_object_set_new (states, host->name,
                         json_pack ("{s:s, s:s, s:b, s:i}", "pool", host->pool, "presence",
                                    host->presence, "drained", host->drained, "reboots",
                                    (int) host->reboots));
  return states;
}

/* Answers with the journal of events, the hosts and the bounds of the log. */
void
standin_journal (struct platform *platform, struct http_request *request)
{
  json_t *json =
      json_pack ("{s:O, s:o, s:I, s:I}", "events", platform->journal, "hosts",
                 host_states_to_json (platform), "first", (json_int_t) platform->first_offset,
                 "next", (json_int_t) platform->first_offset + (json_int_t) platform->entries->len);

  http_request_respond_json (request, 200, json);
}
