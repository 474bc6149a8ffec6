#ifndef SESAMEPICK_COMMON_LOG_H
#define SESAMEPICK_COMMON_LOG_H

#include <stdbool.h>
#include <glib.h>

/* Levels from the most to the least talkative; a line below the chosen level is dropped. */
bool log_init (const char *program, const char *level);

/* Writes what waits for a reader, as far as it goes without blocking. */
void log_flush (void);

/* Sends all further lines to a descriptor; standard error without it. Daemons use standard output.
 */
void log_to (int fd);

/* Has each line shown to a function as well, without its end of line; NULL ends that. */
void log_observe (void (*observe) (void *ctx, const char *line), void *ctx);

/* One short sentence, or "what happened: key=value key=value", under the fixed name of a part. */
void log_line (GLogLevelFlags level, const char *part, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

#define log_debug(part, ...) log_line (G_LOG_LEVEL_DEBUG, part, __VA_ARGS__)
#define log_info(part, ...) log_line (G_LOG_LEVEL_INFO, part, __VA_ARGS__)
#define log_warning(part, ...) log_line (G_LOG_LEVEL_WARNING, part, __VA_ARGS__)
#define log_error(part, ...) log_line (G_LOG_LEVEL_CRITICAL, part, __VA_ARGS__)

#endif
