#include <stdio.h>

#include "cli/command.h"
#include "cli/text.h"

/* Prints one line per queue with the number of jobs in each state. */
static void
jobs_print (const json_t *answer)
{
  const char *queue;
  json_t *counts;

  printf ("host %s, leader %s, epoch %lld\n", json_field_string (answer, "host"),
          json_field_string (answer, "leader"), (long long) json_field_integer (answer, "epoch"));
  json_object_foreach (json_object_get (answer, "queues"), queue, counts)
    {
      printf (
          "queue %-24s queued %lld, running %lld, completed %lld, failed %lld, cancelled %lld\n",
          queue, (long long) json_field_integer (counts, "queued"),
          (long long) json_field_integer (counts, "running"),
          (long long) json_field_integer (counts, "completed"),
          (long long) json_field_integer (counts, "failed"),
          (long long) json_field_integer (counts, "cancelled"));
    }
}

/* Shows the number of jobs per queue, as reported by the first entry host that responds. */
enum exit_code
command_jobs (const struct command_context *context)
{
  struct reply reply;
  enum exit_code code;

  client_call_entry (context->client, "/jobs", &reply);
  code = reply_exit_code (&reply);
  if (code == EXIT_CODE_DONE)
    command_print (context, reply.json, jobs_print);
  reply_clear (&reply);
  return code;
}
