#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "cli/command.h"
#include "cli/text.h"

enum
{
  FIRST_REVISION = 1,
};

/* Prints that the plan is confirmed. */
static void
confirm_print (const json_t *answer)
{
  printf ("plan %s, revision %lld, is confirmed\n", json_field_string (answer, "id"),
          (long long) json_field_integer (answer, "revision"));
}

/* Splits ID[@REVISION]. Returns false if the revision is not a number. */
static bool
confirm_parse (const char *word, char **id, guint64 *revision)
{
  const char *at = strrchr (word, '@');

  *revision = FIRST_REVISION;
  *id = at ? g_strndup (word, (gsize) (at - word)) : g_strdup (word);
  return !at || g_ascii_string_to_unsigned (at + 1, 10, 1, G_MAXUINT32, revision, NULL);
}

/* Confirms a plan at the revision that the operator has seen. */
enum exit_code
command_confirm (const struct command_context *context)
{
  g_autofree char *id = NULL;
  g_autofree char *path = NULL;
  enum exit_code code;
  guint64 revision;
  json_t *body;

  if (!confirm_parse (context->operands[0], &id, &revision))
    {
      fprintf (stderr, "sesamepick: \"%s\" is not ID or ID@REVISION\n", context->operands[0]);
      return EXIT_CODE_USAGE;
    }
  path = g_strdup_printf ("/v1/plans/%s/confirm", id);
  body = json_pack ("{s:I}", "revision", (json_int_t) revision);
  code = command_call (context, "POST", path, body, confirm_print);
  json_decref (body);
  return code;
}
