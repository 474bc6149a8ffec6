#include "common/program.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "common/log.h"

/* Returns the value of the setting log_level, which every daemon has. */
static const char *
program_log_level (const ProtobufCMessage *settings)
{
  const ProtobufCFieldDescriptor *field =
      protobuf_c_message_descriptor_get_field_by_name (settings->descriptor, "log_level");

  return field ? *(char *const *) ((const char *) settings + field->offset) : "info";
}

/* Common start of all daemons: reads the settings, opens the log under the program's name on
 * standard output, and ignores SIGPIPE so that writing to a closed connection returns an error.
 * Returns PROGRAM_STARTED, or the exit code if help was printed or a setting is invalid. */
enum program_exit
program_start (const struct settings_schema *schema, ProtobufCMessage *settings,
               const char *program, const char *summary, int argc, char **argv)
{
  const char *level;

  switch (settings_read (schema, settings, program, summary, argc, argv, NULL, NULL))
    {
    case SETTINGS_INFO_PRINTED:
      return PROGRAM_EXIT_DONE;
    case SETTINGS_INVALID:
      return PROGRAM_EXIT_BAD_SETTINGS;
    case SETTINGS_OK:
      break;
    }
  level = program_log_level (settings);
  if (!log_init (program, level))
    {
      fprintf (stderr, "%s: --log-level: \"%s\" is not debug, info, warning or error\n", program,
               level);
      return PROGRAM_EXIT_BAD_SETTINGS;
    }
  log_set_fd (STDOUT_FILENO);
  signal (SIGPIPE, SIG_IGN);
  return PROGRAM_STARTED;
}
