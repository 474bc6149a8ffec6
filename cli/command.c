#include "cli/command.h"

#include <stdio.h>
#include <stdlib.h>

/* Prints the JSON of a reply, with print or as JSON if the output format is json. */
void
command_print (const struct command_context *context, const json_t *answer,
               void (*print) (const json_t *answer))
{
  if (!context->json)
    {
      print (answer);
      return;
    }
  json_dumpf (answer, stdout, JSON_INDENT (2));
  printf ("\n");
}

/* Makes a call and prints the JSON of its reply. An error reply is printed only in JSON. */
enum exit_code
command_call (const struct command_context *context, const char *method, const char *path,
              const json_t *body, void (*print) (const json_t *answer))
{
  struct reply reply;
  enum exit_code code;

  client_call (context->client, method, path, body, &reply);
  code = reply_exit_code (&reply);
  if (reply.json && (context->json || code == EXIT_CODE_DONE))
    command_print (context, reply.json, print);
  reply_clear (&reply);
  return code;
}
