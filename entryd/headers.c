#include "headers.h"

#include <string.h>

enum
{
  KEY_BYTES_MAX = 255,
  TIMEOUT_MS_MAX = 600000,
};

/* Hop-by-hop headers, and headers that the HTTP libraries on either side write themselves. */
static const char *const hop_by_hop_headers[] = {
  "Connection",
  "Keep-Alive",
  "Proxy-Connection",
  "Proxy-Authenticate",
  "Proxy-Authorization",
  "TE",
  "Trailer",
  "Transfer-Encoding",
  "Upgrade",
  "Content-Length",
  "Expect",
};

/* Headers that only the entry host or its load balancer may set; they are never forwarded. */
static const char *const reserved_headers[] = { "Forwarded", "X-Real-IP", "Proxy-Status" };
static const char *const reserved_header_prefixes[] = { "Sesamepick-", "X-Forwarded-" };

static const char *const idempotent_methods[] = {
  "GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE",
};

/* Returns whether a list contains a word, ignoring case. */
static bool
list_has (const char *const *list, size_t n, const char *word)
{
  for (size_t i = 0; i < n; i++)
    {
      if (g_ascii_strcasecmp (list[i], word) == 0)
        return true;
    }
  return false;
}

/* Returns whether a Connection header lists a header name. */
static bool
connection_lists_header (const char *connection, const char *name)
{
  g_auto (GStrv) words = NULL;

  if (!connection)
    return false;
  words = g_strsplit (connection, ",", -1);
  for (size_t i = 0; words[i]; i++)
    {
      if (g_ascii_strcasecmp (g_strstrip (words[i]), name) == 0)
        return true;
    }
  return false;
}

/* Returns whether a header is forwarded between caller and endpoint. */
static bool
header_is_forwarded (const char *name, const char *connection)
{
  if (list_has (hop_by_hop_headers, G_N_ELEMENTS (hop_by_hop_headers), name) ||
      list_has (reserved_headers, G_N_ELEMENTS (reserved_headers), name))
    return false;
  for (size_t i = 0; i < G_N_ELEMENTS (reserved_header_prefixes); i++)
    {
      if (g_ascii_strncasecmp (name, reserved_header_prefixes[i],
                               strlen (reserved_header_prefixes[i])) == 0)
        return false;
    }
  return !connection_lists_header (connection, name);
}

/* Reads Sesamepick-Idempotent; without it, the method decides as in RFC 9110. Returns NULL, or an
 * error message. */
static const char *
options_read_idempotent (const struct http_request *request, struct caller_options *options)
{
  const char *value = http_request_header (request, "Sesamepick-Idempotent");

  options->idempotent = list_has (idempotent_methods, G_N_ELEMENTS (idempotent_methods),
                                  http_request_method (request));
  if (!value)
    return NULL;
  if (strcmp (value, "?1") != 0 && strcmp (value, "?0") != 0)
    return "Sesamepick-Idempotent must be ?0 or ?1.";
  options->idempotent = value[1] == '1';
  return NULL;
}

/* Reads the caller's options from the request headers. Returns NULL, or an error message. */
const char *
headers_read_options (const struct http_request *request, struct caller_options *options)
{
  const char *timeout = http_request_header (request, "Sesamepick-Timeout");
  guint64 ms = 0;

  options->key = http_request_header (request, "Idempotency-Key");
  if (options->key && (options->key[0] == '\0' || strlen (options->key) > KEY_BYTES_MAX))
    return "Idempotency-Key must have 1 to 255 bytes.";
  if (timeout && !g_ascii_string_to_unsigned (timeout, 10, 1, TIMEOUT_MS_MAX, &ms, NULL))
    return "Sesamepick-Timeout must be a number of milliseconds from 1 to 600000.";
  options->timeout_ms = (int64_t) ms;
  return options_read_idempotent (request, options);
}

/* Context of header_selection_add: the headers to forward that were found so far, and the value of
 * the Connection header or NULL. */
struct header_selection
{
  GArray *headers;
  const char *connection;
};

/* Adds a request header to the selection if it is forwarded. */
static void
header_selection_add (void *ctx, const char *name, const char *value)
{
  struct header_selection *selection = ctx;
  struct http_header header = { .name = name, .value = value };

  if (header_is_forwarded (name, selection->connection))
    g_array_append_val (selection->headers, header);
}

/* Returns the request headers to forward to the endpoint. Free with g_array_unref. */
GArray *
headers_to_endpoint (const struct http_request *request)
{
  struct header_selection selection = {
    .headers = g_array_new (FALSE, FALSE, sizeof (struct http_header)),
    .connection = http_request_header (request, "Connection"),
  };

  http_request_headers (request, header_selection_add, &selection);
  return selection.headers;
}

/* Returns the response headers to forward to the caller. For HEAD, Content-Length is forwarded too,
 * since only the endpoint knows it. Free with g_array_unref. */
GArray *
headers_to_caller (const struct http_call_done *response, bool head_request)
{
  GArray *headers = g_array_new (FALSE, FALSE, sizeof (struct http_header));
  const char *connection = headers_value (response->headers, response->n_headers, "Connection");

  for (size_t i = 0; i < response->n_headers; i++)
    {
      const struct http_header *header = &response->headers[i];
      bool is_length = g_ascii_strcasecmp (header->name, "Content-Length") == 0;

      if (header_is_forwarded (header->name, connection) || (is_length && head_request))
        g_array_append_val (headers, *header);
    }
  return headers;
}

/* Returns the value of a header, or NULL. Names are compared case-insensitively. */
const char *
headers_value (const struct http_header *headers, size_t n, const char *name)
{
  for (size_t i = 0; i < n; i++)
    {
      if (g_ascii_strcasecmp (headers[i].name, name) == 0)
        return headers[i].value;
    }
  return NULL;
}

/* Returns whether a header is the boolean true of RFC 8941. */
bool
headers_is_true (const struct http_header *headers, size_t n, const char *name)
{
  const char *value = headers_value (headers, n, name);

  return value && strcmp (value, "?1") == 0;
}
