#ifndef SESAMEPICK_COMMON_HTTP_JSON_H
#define SESAMEPICK_COMMON_HTTP_JSON_H

#include <jansson.h>

#include "common/http_server.h"

/* Answers a request with JSON; takes the reference to it over. */
void http_request_answer_json (struct http_request *request, int status, json_t *json);

#endif
