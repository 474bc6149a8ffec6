#include <stdio.h>

#include "cli/command.h"
#include "cli/file.h"
#include "cli/text.h"
#include "record.pb-c.h"

/* Prints the offset at which the declarations were recorded. */
static void
apply_print (const json_t *answer)
{
  printf ("accepted at offset %lld\n", (long long) json_field_integer (answer, "offset"));
}

/* Appends the declarations of a file to the array. Returns false if the file is invalid. */
static bool
apply_add_file (const char *path, json_t *declarations)
{
  json_t *set = file_read_message (path, &sp__declaration_set__descriptor);

  if (!set)
    return false;
  json_array_extend (declarations, json_object_get (set, "declarations"));
  json_decref (set);
  return true;
}

/* Declares the contents of all files as one set, which takes effect as a whole or not at all. */
enum exit_code
command_apply (const struct command_context *context)
{
  json_t *declarations = json_array ();
  json_t *body = json_pack ("{s:o}", "declarations", declarations);
  enum exit_code code;

  for (int i = 0; i < context->n_operands; i++)
    {
      if (!apply_add_file (context->operands[i], declarations))
        {
          json_decref (body);
          return EXIT_CODE_USAGE;
        }
    }
  code = command_call (context, "POST", "/v1/declarations", body, apply_print);
  json_decref (body);
  return code;
}
