#include "cli/command.h"
#include "cli/file.h"
#include "cli/text.h"
#include "record.pb-c.h"

/* Creates a plan for an intent. */
enum exit_code
command_plan (const struct command_context *context)
{
  json_t *intent = file_read_message (context->operands[0], &sp__intent__descriptor);
  enum exit_code code;

  if (!intent)
    return EXIT_CODE_USAGE;
  code = command_call (context, "POST", "/v1/plans", intent, text_print_proposal);
  json_decref (intent);
  return code;
}
