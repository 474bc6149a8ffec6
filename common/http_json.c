#include "common/http_json.h"

#include <stdlib.h>

/* Answers a request with JSON. */
void
http_request_answer_json (struct http_request *request, int status, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);

  http_request_answer_text (request, status, "application/json", text);
  free (text);
  json_decref (json);
}
