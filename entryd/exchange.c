#include "entry.h"

/* Creates the exchange for a caller's request. target is the part of the path after the service
 * name. */
struct exchange *
exchange_create (struct entry *entry, struct http_request *http, const char *target)
{
  struct exchange *exchange = g_new0 (struct exchange, 1);

  exchange->entry = entry;
  exchange->id = ++entry->next_id;
  exchange->http = http;
  exchange->target = g_strconcat (target[0] == '/' ? "" : "/", target, NULL);
  LIST_INIT (&exchange->attempts);
  g_hash_table_insert (entry->exchanges, &exchange->id, exchange);
  return exchange;
}

/* Frees a copied response; NULL is allowed. */
static void
response_copy_free (struct http_call_done *response)
{
  struct http_header *headers;

  if (!response)
    return;
  headers = (struct http_header *) response->headers;
  for (size_t i = 0; i < response->n_headers; i++)
    {
      g_free ((char *) headers[i].name);
      g_free ((char *) headers[i].value);
    }
  g_free (headers);
  g_free ((void *) response->body);
  g_free (response);
}

/* Frees the exchange once neither the caller nor an attempt refers to it. */
void
exchange_release (struct exchange *exchange)
{
  if (exchange->http || !LIST_EMPTY (&exchange->attempts))
    return;
  g_hash_table_remove (exchange->entry->exchanges, &exchange->id);
  response_copy_free (exchange->response_copy);
  g_free (exchange->target);
  g_free (exchange);
}

/* Returns the exchange with an id, or NULL if it no longer exists. */
struct exchange *
exchange_find (struct entry *entry, uint64_t id)
{
  return g_hash_table_lookup (entry->exchanges, &id);
}

/* Copies the current response, for a final response that is sent after the attempt was reported. */
void
exchange_copy_response (struct exchange *exchange)
{
  const struct http_call_done *response = exchange->response;
  struct http_call_done *copy = g_new (struct http_call_done, 1);
  struct http_header *headers = g_new (struct http_header, response->n_headers);

  *copy = *response;
  for (size_t i = 0; i < response->n_headers; i++)
    {
      headers[i].name = g_strdup (response->headers[i].name);
      headers[i].value = g_strdup (response->headers[i].value);
    }
  copy->headers = headers;
  copy->body = g_memdup2 (response->body, response->body_len);
  response_copy_free (exchange->response_copy);
  exchange->response_copy = copy;
  exchange->response = copy;
}
