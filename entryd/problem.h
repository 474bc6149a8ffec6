#ifndef SESAMEPICK_ENTRYD_PROBLEM_H
#define SESAMEPICK_ENTRYD_PROBLEM_H

#include "common/http_server.h"
#include "lib/dispatch/dispatch.h"

/* Responds with an error of the entry host itself: application/problem+json (RFC 9457) with
 * Proxy-Status (RFC 9209) and the outcome. */
void problem_respond (struct http_request *request, const struct request_result *result);
/* Rejects a request before it reaches the dispatcher. */
void problem_respond_bad_request (struct http_request *request, int status, const char *detail);

#endif
