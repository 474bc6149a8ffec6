#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "cli/command.h"
#include "cli/text.h"

/* Job information collected from the entry hosts. */
struct explanation
{
  json_t *hosts;
  /* The log lines of all hosts, which belong to hosts. */
  GPtrArray *lines;
  /* The job as the leader sees it, otherwise as another host does; NULL if no host knows the
   * job. */
  const json_t *job;
};

/* Compares log lines by their timestamps, with which they begin. */
static int
line_compare (const void *left, const void *right)
{
  return strcmp (*(const char *const *) left, *(const char *const *) right);
}

/* Adds the answer of one host and takes ownership of it. */
static void
explanation_add (struct explanation *explanation, json_t *answer)
{
  const json_t *job = json_object_get (answer, "job");
  json_t *line;
  size_t i;

  json_array_append_new (explanation->hosts, answer);
  json_array_foreach (json_object_get (answer, "lines"), i, line)
    {
      g_ptr_array_add (explanation->lines, (gpointer) json_string_value (line));
    }
  if (json_is_object (job) &&
      (!explanation->job || json_is_true (json_object_get (answer, "leads"))))
    explanation->job = job;
}

/* Prints a job and the tasks that the host listed: those that are unfinished or have failed
 * attempts. Hosts keep no tasks of a job that is over; of one that is completed all were done. */
static void
job_print (const json_t *job)
{
  const char *workspace = json_field_string (job, "workspace");
  json_t *task;
  size_t i;

  if (json_is_true (json_object_get (job, "reduced")) &&
      (strcmp (json_field_string (job, "state"), "completed") != 0 ||
       json_field_integer (job, "tasks_total") == 0))
    {
      printf ("job %s: %s%s, queue %s, pool %s%s%s\n", json_field_string (job, "job"),
              json_field_string (job, "state"),
              json_is_true (json_object_get (job, "cancelled")) ? ", cancelled" : "",
              json_field_string (job, "queue"), json_field_string (job, "pool"),
              workspace[0] ? ", workspace " : "", workspace);
      return;
    }
  printf ("job %s: %s%s, queue %s, pool %s%s%s, %lld of %lld tasks done, at most %lld attempts\n",
          json_field_string (job, "job"), json_field_string (job, "state"),
          json_is_true (json_object_get (job, "cancelled")) ? ", cancelled" : "",
          json_field_string (job, "queue"), json_field_string (job, "pool"),
          workspace[0] ? ", workspace " : "", workspace,
          (long long) json_field_integer (job, "tasks_done"),
          (long long) json_field_integer (job, "tasks_total"),
          (long long) json_field_integer (job, "max_attempts"));
  json_array_foreach (json_object_get (job, "tasks"), i, task)
    {
      const char *endpoint = json_field_string (task, "endpoint");

      printf ("task %s: %s, attempt %lld, failed %lld%s%s\n", json_field_string (task, "task"),
              json_field_string (task, "phase"), (long long) json_field_integer (task, "attempt"),
              (long long) json_field_integer (task, "failed"), endpoint[0] ? ", endpoint " : "",
              endpoint);
    }
}

/* Prints the collected information. */
static void
explanation_print (const struct explanation *explanation, const char *id)
{
  if (explanation->job)
    job_print (explanation->job);
  else
    printf ("job %s: not known to any entry host that answers\n", id);
  for (guint i = 0; i < explanation->lines->len; i++)
    printf ("%s\n", (const char *) g_ptr_array_index (explanation->lines, i));
}

/* Collects the trace of a job from all entry hosts: its current state and the logged decisions that
 * the hosts still keep. */
enum exit_code
command_explain (const struct command_context *context)
{
  struct explanation explanation = { .hosts = json_array (), .lines = g_ptr_array_new () };
  g_autofree char *path = g_strconcat ("/jobs/", context->operands[0], NULL);
  enum exit_code code = EXIT_CODE_DONE;

  for (size_t i = 0; context->client->entries[i]; i++)
    {
      struct reply reply;

      client_call_entry_at (context->client, i, path, &reply);
      if (reply_exit_code (&reply) == EXIT_CODE_DONE)
        explanation_add (&explanation, json_incref (reply.json));
      reply_clear (&reply);
    }
  g_ptr_array_sort (explanation.lines, line_compare);
  if (json_array_size (explanation.hosts) == 0)
    code = EXIT_CODE_UNAVAILABLE;
  else if (context->json)
    command_print (context, explanation.hosts, NULL);
  else
    explanation_print (&explanation, context->operands[0]);
  if (code == EXIT_CODE_DONE && !explanation.job && explanation.lines->len == 0)
    code = EXIT_CODE_REFUSED;
  g_ptr_array_free (explanation.lines, TRUE);
  json_decref (explanation.hosts);
  return code;
}
