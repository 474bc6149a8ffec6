#include <glib.h>

#include "cli/command.h"
#include "cli/file.h"
#include "cli/text.h"
#include "record.pb-c.h"

/* Replaces a proposed plan with a plan for another intent. */
enum exit_code
command_amend (const struct command_context *context)
{
  g_autofree char *path = g_strdup_printf ("/v1/plans/%s/amend", context->operands[0]);
  json_t *intent = file_read_message (context->operands[1], &sp__intent__descriptor);
  enum exit_code code;

  if (!intent)
    return EXIT_CODE_USAGE;
  code = command_call (context, "POST", path, intent, text_print_proposal);
  json_decref (intent);
  return code;
}
