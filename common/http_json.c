#include "common/http_json.h"

#include <stdlib.h>

/* Responds to a request with JSON and releases the reference to it. */
void
http_request_respond_json (struct http_request *request, int status, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);

  http_request_respond_text (request, status, "application/json", text);
  free (text);
  json_decref (json);
}
