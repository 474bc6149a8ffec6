#ifndef SESAMEPICK_JOBD_STORY_H
#define SESAMEPICK_JOBD_STORY_H

#include <jansson.h>

/* The newest lines of this process's log, kept in memory to explain what became of a job. */
struct story;

/* Keeps lines up to so many bytes; the oldest go first. */
struct story *story_create (size_t bytes_max);
void story_destroy (struct story *story);
/* Takes a line in; ctx is the story. */
void story_add (void *ctx, const char *line);
/* The kept lines that name a job or a task of it, the oldest first, as a list of texts. */
json_t *story_of_job (const struct story *story, const char *id);

#endif
