#include <glib.h>
#include <stdio.h>
#include <time.h>

#include "cli/command.h"
#include "cli/text.h"

enum
{
  DEFAULT_ENTRIES = 50,
  MS_PER_S = 1000,
};

/* Prints one entry with its time in UTC. */
static void
audit_print_entry (const json_t *entry)
{
  time_t seconds = (time_t) (json_field_integer (entry, "time_ms") / MS_PER_S);
  char stamp[32];
  struct tm utc;

  gmtime_r (&seconds, &utc);
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%SZ", &utc);
  printf ("%8lld %s %-12s %s: %s", (long long) json_field_integer (entry, "offset"), stamp,
          json_field_string (entry, "author"), json_field_string (entry, "what"),
          json_field_string (entry, "verdict"));
  if (json_field_string (entry, "reason")[0] != '\0')
    printf (" (%s)", json_field_string (entry, "reason"));
  printf ("\n");
}

/* Prints the audit trail, oldest entry first. */
static void
audit_print (const json_t *answer)
{
  const json_t *entries = json_object_get (answer, "entries");

  for (size_t i = json_array_size (entries); i > 0; i--)
    audit_print_entry (json_array_get (entries, i - 1));
}

/* Shows the latest entries of the audit trail. */
enum exit_code
command_audit (const struct command_context *context)
{
  guint64 count = DEFAULT_ENTRIES;
  g_autofree char *path = NULL;

  if (context->n_operands > 0 &&
      !g_ascii_string_to_unsigned (context->operands[0], 10, 1, G_MAXINT32, &count, NULL))
    {
      fprintf (stderr, "sesamepick: \"%s\" is not a valid number of entries\n",
               context->operands[0]);
      return EXIT_CODE_USAGE;
    }
  path = g_strdup_printf ("/v1/audit?limit=%" G_GUINT64_FORMAT, count);
  return command_call (context, "GET", path, NULL, audit_print);
}
