#ifndef SESAMEPICK_JOBD_JOB_TRACE_H
#define SESAMEPICK_JOBD_JOB_TRACE_H

#include <jansson.h>

/* The newest log lines of this process, kept in memory so that operators can ask what happened to a
 * job. */
struct job_trace;

/* Creates an empty trace that holds up to bytes_max bytes of lines; the oldest are dropped
 * first. */
struct job_trace *job_trace_create (size_t bytes_max);
void job_trace_destroy (struct job_trace *trace);
/* Adds a line; ctx is the trace. Can be passed to log_set_observer. */
void job_trace_add (void *ctx, const char *line);
/* Returns the lines that name a job or one of its tasks, oldest first, as a JSON array of
 * strings. */
json_t *job_trace_lines (const struct job_trace *trace, const char *id);

#endif
