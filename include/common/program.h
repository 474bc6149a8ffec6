#ifndef SESAMEPICK_COMMON_PROGRAM_H
#define SESAMEPICK_COMMON_PROGRAM_H

#include "common/settings.h"

enum program_exit
{
  /* The program may continue. */
  PROGRAM_STARTED = -1,
  PROGRAM_EXIT_DONE = 0,
  PROGRAM_EXIT_FAILED = 1,
  PROGRAM_EXIT_BAD_SETTINGS = 2,
};

/* Starts a daemon: reads its settings, opens its log on standard output and ignores SIGPIPE.
 * Returns PROGRAM_STARTED, or the exit code if help was printed or a setting is invalid. */
enum program_exit program_start (const struct settings_schema *schema, ProtobufCMessage *settings,
                                 const char *program, const char *summary, int argc, char **argv);

#endif
