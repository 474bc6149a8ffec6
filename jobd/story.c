#include "story.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

struct story
{
  GQueue lines;
  size_t bytes;
  size_t bytes_max;
};

struct story *
story_create (size_t bytes_max)
{
  struct story *story = g_new0 (struct story, 1);

  g_queue_init (&story->lines);
  story->bytes_max = bytes_max;
  return story;
}

void
story_destroy (struct story *story)
{
  g_queue_clear_full (&story->lines, g_free);
  g_free (story);
}

/* Adds a line and drops the oldest ones that no longer fit. */
void
story_add (void *ctx, const char *line)
{
  struct story *story = ctx;

  g_queue_push_tail (&story->lines, g_strdup (line));
  story->bytes += strlen (line) + 1;
  while (story->bytes > story->bytes_max)
    {
      g_autofree char *oldest = g_queue_pop_head (&story->lines);

      story->bytes -= strlen (oldest) + 1;
    }
}

/* Returns whether a line has a field whose value is the id, or begins with the id and a dot: a
 * task's name is JOB.OCCURRENCE.STEP.INDEX. Only the first such field of a line counts. */
static bool
line_names (const char *line, const char *field, const char *id)
{
  const char *at = strstr (line, field);
  size_t len = strlen (id);

  if (!at)
    return false;
  at += strlen (field);
  return strncmp (at, id, len) == 0 && strchr (" .", at[len]) != NULL;
}

/* Returns the lines that name a job. */
json_t *
story_of_job (const struct story *story, const char *id)
{
  json_t *list = json_array ();

  for (const GList *link = story->lines.head; link; link = link->next)
    {
      if (line_names (link->data, " job=", id) || line_names (link->data, " task=", id))
        json_array_append_new (list, json_string (link->data));
    }
  return list;
}
