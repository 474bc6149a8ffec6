#ifndef SESAMEPICK_COMMON_LOG_H
#define SESAMEPICK_COMMON_LOG_H

#include <stdbool.h>
#include <glib.h>

/* Sets the program name and the lowest level that is written: debug, info, warning or error.
 * Returns false, and changes nothing, for any other level. */
bool log_init (const char *program, const char *level);

/* Writes buffered lines as far as possible without blocking. */
void log_flush (void);

/* Sets the descriptor that log lines are written to; the default is standard error. Daemons use
 * standard output. */
void log_set_fd (int fd);

/* Sets a function that receives each line at or above the lowest level, without its newline and
 * even if the line is dropped from the output; NULL removes it. */
void log_set_observer (void (*observe) (void *ctx, const char *line), void *ctx);

/* Writes a log line for a component (part). The message is either one short sentence or "event:
 * key=value key=value"; it is truncated to 1023 bytes. */
void log_line (GLogLevelFlags level, const char *part, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

#define log_debug(part, ...) log_line (G_LOG_LEVEL_DEBUG, part, __VA_ARGS__)
#define log_info(part, ...) log_line (G_LOG_LEVEL_INFO, part, __VA_ARGS__)
#define log_warning(part, ...) log_line (G_LOG_LEVEL_WARNING, part, __VA_ARGS__)
#define log_error(part, ...) log_line (G_LOG_LEVEL_CRITICAL, part, __VA_ARGS__)

#endif
