#ifndef SESAMEPICK_PLATFORM_CALLERS_H
#define SESAMEPICK_PLATFORM_CALLERS_H

#include <stdbool.h>
#include <stdint.h>

#include "common/http_server.h"
#include "job.pb-c.h"

/* Requests of callers to an entry host, and the bodies of the responses. */

/* Returns how long the caller will still wait for its response, in milliseconds, from its
 * X-Deadline-Ms header: default_ms without the header, 0 if it isn't a number. */
int64_t caller_deadline_ms (const struct http_request *request, int64_t default_ms);
/* Decodes a submitted job; the fields that come from its queue are left empty. Returns NULL if the
 * body is malformed, with an error that names the first faulty member by the caller's words; free
 * it with g_free. Free the job with sp__job_definition__free_unpacked. */
Sp__JobDefinition *decode_job (const void *data, size_t len, char **error);

/* Bodies of responses; free with g_free. */
char *encode_job_state (Sp__JobState state);
char *encode_job_count (unsigned n_pending);
char *encode_error (const char *reason);
/* Body of a successful response without further data. */
#define EMPTY_RESPONSE_BODY "{}"

/* Returns whether a path is that of the platform's readiness check. */
bool path_is_readiness (const char *path);

#endif
