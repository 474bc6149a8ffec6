#ifndef SESAMEPICK_PLATFORM_CALLERS_H
#define SESAMEPICK_PLATFORM_CALLERS_H

#include <stdbool.h>
#include <stdint.h>

#include "common/http_server.h"
#include "job.pb-c.h"

/* What callers send to an entry host and what they are answered. */

/* Time that a caller still waits for its answer, in ms; missing_ms if it doesn't say. */
int64_t caller_deadline_ms (const struct http_request *request, int64_t missing_ms);
/* A caller's job; who takes it fills in what its queue says. Gives NULL, with the reason in error,
 * for a body that is none. Free with sp__job_definition__free_unpacked. */
Sp__JobDefinition *decode_job (const void *data, size_t len, const char **error);

/* Bodies of answers; free with g_free. */
char *encode_job_state (Sp__JobState state);
char *encode_job_count (unsigned waiting);
char *encode_error (const char *reason);
/* The body of an answer that says no more than its status. */
#define EMPTY_ANSWER "{}"

/* Tells whether the platform asks here whether callers should be sent to this host. */
bool path_is_readiness (const char *path);

#endif
