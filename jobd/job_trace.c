#include "job_trace.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

struct job_trace
{
  GQueue lines;
  size_t bytes;
  size_t bytes_max;
};

struct job_trace *
job_trace_create (size_t bytes_max)
{
  struct job_trace *trace = g_new0 (struct job_trace, 1);

  g_queue_init (&trace->lines);
  trace->bytes_max = bytes_max;
  return trace;
}

void
job_trace_destroy (struct job_trace *trace)
{
  g_queue_clear_full (&trace->lines, g_free);
  g_free (trace);
}

void
job_trace_add (void *ctx, const char *line)
{
  struct job_trace *trace = ctx;

  g_queue_push_tail (&trace->lines, g_strdup (line));
  trace->bytes += strlen (line) + 1;
  while (trace->bytes > trace->bytes_max)
    {
      g_autofree char *oldest = g_queue_pop_head (&trace->lines);

      trace->bytes -= strlen (oldest) + 1;
    }
}

/* Returns whether a line has a field whose value is the id, or begins with the id and a dot: a
 * task's name is JOB.OCCURRENCE.STEP.INDEX. Only the first such field of a line counts. */
static bool
line_has_id (const char *line, const char *field, const char *id)
{
  const char *at = strstr (line, field);
  size_t len = strlen (id);

  if (!at)
    return false;
  at += strlen (field);
  /* strchr also finds the NUL that ends a line. */
  return strncmp (at, id, len) == 0 && strchr (" .", at[len]) != NULL;
}

json_t *
job_trace_lines (const struct job_trace *trace, const char *id)
{
  json_t *list = json_array ();

  for (const GList *link = trace->lines.head; link; link = link->next)
    {
      if (line_has_id (link->data, " job=", id) || line_has_id (link->data, " task=", id))
        json_array_append_new (list, json_string (link->data));
    }
  return list;
}
