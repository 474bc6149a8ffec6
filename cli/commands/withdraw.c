#include <glib.h>
#include <stdio.h>

#include "cli/command.h"
#include "cli/text.h"

/* Prints that the plan is withdrawn. */
static void
withdraw_print (const json_t *answer)
{
  printf ("plan %s is withdrawn\n", json_field_string (answer, "id"));
}

enum exit_code
command_withdraw (const struct command_context *context)
{
  g_autofree char *path = g_strdup_printf ("/v1/plans/%s/withdraw", context->operands[0]);
  json_t *body = json_object ();
  enum exit_code code = command_call (context, "POST", path, body, withdraw_print);

  json_decref (body);
  return code;
}
