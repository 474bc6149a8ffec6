#ifndef SESAMEPICK_JOBD_STORY_H
#define SESAMEPICK_JOBD_STORY_H

#include <jansson.h>

/* The newest log lines of this process, kept in memory so that operators can ask what happened to a
 * job. */
struct story;

/* Creates an empty trace that holds up to bytes_max bytes of lines; the oldest are dropped
 * first. */
struct story *story_create (size_t bytes_max);
void story_destroy (struct story *story);
/* Adds a line; ctx is the trace. Suits log_observe. */
void story_add (void *ctx, const char *line);
/* Returns the lines that name a job or one of its tasks, oldest first, as a JSON array of
 * strings. */
json_t *story_of_job (const struct story *story, const char *id);

#endif
