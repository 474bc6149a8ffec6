#include "cli/client.h"

#include <curl/curl.h>
#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "common/settings.h"

enum
{
  CONNECT_TIMEOUT_MS = 1000,
};

/* Initializes a client with the addresses and the operator's name from the settings. */
void
client_init (struct client *client, const Sp__CliSettings *settings)
{
  client->fleetds = settings_split_list (settings->operator_ports);
  client->entries = settings_split_list (settings->entry_ports);
  client->operator_name = settings->operator_;
  client->timeout_ms = settings->timeout_ms;
  curl_global_init (CURL_GLOBAL_DEFAULT);
}

/* Frees what client_init allocated. */
void
client_finish (struct client *client)
{
  g_strfreev (client->fleetds);
  g_strfreev (client->entries);
  curl_global_cleanup ();
}

/* libcurl's write callback: appends a part of the response body. */
static size_t
client_append_body (const char *data, size_t size, size_t n, void *ctx)
{
  g_string_append_len (ctx, data, (gssize) (size * n));
  return size * n;
}

/* Builds the request headers of a call. */
static struct curl_slist *
client_headers (const struct client *client)
{
  g_autofree char *operator_header =
      g_strconcat ("Sesamepick-Operator: ", client->operator_name, NULL);
  struct curl_slist *list = curl_slist_append (NULL, operator_header);

  list = curl_slist_append (list, "Content-Type: application/json");
  return curl_slist_append (list, "Expect:");
}

/* Returns whether a failed call certainly did not reach the fleetd. */
static bool
client_not_sent (CURLcode code)
{
  return code == CURLE_COULDNT_CONNECT;
}

/* Records why a call got no response and, for a change, that it may have been made nevertheless. */
static void
client_set_error (struct reply *reply, const char *method, const char *address, CURLcode code)
{
  bool unsure = strcmp (method, "GET") != 0 && !client_not_sent (code);

  snprintf (reply->error, sizeof reply->error, "%s: %s%s", address, curl_easy_strerror (code),
            unsure ? "; the change may have been made, see the audit trail" : "");
}

/* Calls one fleetd or entry host. Returns libcurl's result; status and json of the reply are set on
 * success, error on failure. */
static CURLcode
client_call_one (const struct client *client, const char *address, const char *method,
                 const char *path, const char *body, struct reply *reply)
{
  g_autofree char *url = g_strdup_printf ("http://%s%s", address, path);
  struct curl_slist *headers = client_headers (client);
  GString *text = g_string_new (NULL);
  CURL *curl = curl_easy_init ();
  CURLcode code;
  long status = 0;

  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, method);
  if (body)
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_PROXY, "");
  curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT_MS, (long) CONNECT_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, client->timeout_ms);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, client_append_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, text);
  code = curl_easy_perform (curl);
  if (code == CURLE_OK)
    {
      curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
      reply->status = (int) status;
      reply->json = json_loads (text->str, JSON_DECODE_ANY, NULL);
    }
  else
    client_set_error (reply, method, address, code);
  curl_easy_cleanup (curl);
  curl_slist_free_all (headers);
  g_string_free (text, TRUE);
  return code;
}

/* Calls the first fleetd that can be reached. After a failure a read is retried at the next fleetd;
 * a change is retried only if the request was certainly not sent, so that it is not made twice. */
void
client_call (struct client *client, const char *method, const char *path, const json_t *body,
             struct reply *reply)
{
  char *text = body ? json_dumps (body, JSON_COMPACT) : NULL;
  bool is_read = strcmp (method, "GET") == 0;

  memset (reply, 0, sizeof *reply);
  snprintf (reply->error, sizeof reply->error, "no fleetd is configured");
  for (size_t i = 0; client->fleetds[i]; i++)
    {
      CURLcode code = client_call_one (client, client->fleetds[i], method, path, text, reply);

      if (code == CURLE_OK || (!is_read && !client_not_sent (code)))
        break;
    }
  free (text);
}

/* Reads from one entry host. */
void
client_call_entry_at (struct client *client, size_t entry_index, const char *path,
                      struct reply *reply)
{
  memset (reply, 0, sizeof *reply);
  client_call_one (client, client->entries[entry_index], "GET", path, NULL, reply);
}

/* Reads from the first entry host that responds. */
void
client_call_entry (struct client *client, const char *path, struct reply *reply)
{
  memset (reply, 0, sizeof *reply);
  snprintf (reply->error, sizeof reply->error, "no entry host is configured");
  for (size_t i = 0; client->entries[i]; i++)
    {
      client_call_entry_at (client, i, path, reply);
      if (reply->status != 0)
        return;
    }
}

void
reply_clear (struct reply *reply)
{
  json_decref (reply->json);
  memset (reply, 0, sizeof *reply);
}

/* Returns a string field of a reply, or otherwise if it is missing or empty. */
static const char *
reply_field_text (const struct reply *reply, const char *field, const char *otherwise)
{
  const char *text = json_string_value (json_object_get (reply->json, field));

  return text && text[0] ? text : otherwise;
}

/* Prints why a call failed. */
static void
reply_print_error (const struct reply *reply)
{
  const char *reason = reply_field_text (reply, "detail", "no reason given");
  const char *field = reply_field_text (reply, "field", NULL);

  if (reply->status == 0)
    fprintf (stderr, "sesamepick: %s\n", reply->error);
  else if (field)
    fprintf (stderr, "sesamepick: %s: expected %s\n", field,
             reply_field_text (reply, "expected", reason));
  else
    fprintf (stderr, "sesamepick: %s (%d)\n", reason, reply->status);
}

/* Returns the exit code for a reply, and prints an error if the call failed. */
enum exit_code
reply_exit_code (const struct reply *reply)
{
  if (reply->status >= 200 && reply->status < 300)
    return EXIT_CODE_DONE;
  reply_print_error (reply);
  if (reply->status == 0 || reply->status >= 500 || reply->status == 429)
    return EXIT_CODE_UNAVAILABLE;
  return EXIT_CODE_REFUSED;
}
