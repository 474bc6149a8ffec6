#ifndef SESAMEPICK_COMMON_HTTP_JSON_H
#define SESAMEPICK_COMMON_HTTP_JSON_H

#include <jansson.h>

#include "common/http_server.h"

/* Responds to a request with JSON and releases the reference to it. */
void http_request_respond_json (struct http_request *request, int status, json_t *json);

#endif
