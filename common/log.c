#include "common/log.h"

#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum
{
  MESSAGE_MAX_BYTES = 1024,
  /* Limits of the buffer for lines that the reader has not read yet. Beyond the soft limit debug
   * and info lines are dropped, beyond the hard limit all lines. At normal load the soft limit
   * holds several minutes of lines. */
  PENDING_SOFT_BYTES = 192 * 1024,
  PENDING_HARD_BYTES = 256 * 1024,
  /* PIPE_BUF: a pipe that is ready for writing accepts this many bytes without blocking. */
  WRITE_MAX_BYTES = 4096,
};

struct log_state
{
  const char *program;
  GLogLevelFlags lowest_level;
  int fd;
  GString *pending;
  guint64 dropped_lines;
  /* The line being formatted. */
  GString *line;
  void (*observe) (void *ctx, const char *line);
  void *observe_ctx;
};

static struct log_state state = {
  .program = "sesamepick",
  .lowest_level = G_LOG_LEVEL_INFO,
  .fd = STDERR_FILENO,
};

/* Returns the name of a level. */
static const char *
log_level_name (GLogLevelFlags level)
{
  if (level & G_LOG_LEVEL_DEBUG)
    return "debug";
  if (level & G_LOG_LEVEL_INFO)
    return "info";
  if (level & G_LOG_LEVEL_WARNING)
    return "warning";
  return "error";
}

/* Sets the descriptor that log lines are written to. */
void
log_set_fd (int fd)
{
  state.fd = fd;
}

/* Sets a function that receives each line at or above the lowest level, including lines that are
 * dropped from the output. */
void
log_set_observer (void (*observe) (void *ctx, const char *line), void *ctx)
{
  state.observe = observe;
  state.observe_ctx = ctx;
}

/* Returns the value of a named field of a log call, or "". */
static const char *
log_field (const GLogField *fields, gsize n, const char *key)
{
  for (gsize i = 0; i < n; i++)
    {
      if (strcmp (fields[i].key, key) == 0)
        return fields[i].value;
    }
  return "";
}

/* Writes buffered lines as far as possible without blocking. */
void
log_flush (void)
{
  while (state.pending && state.pending->len > 0)
    {
      struct pollfd ready = { .fd = state.fd, .events = POLLOUT };
      ssize_t n;

      if (poll (&ready, 1, 0) <= 0 || !(ready.revents & POLLOUT))
        return;
      n = write (state.fd, state.pending->str, MIN (state.pending->len, (gsize) WRITE_MAX_BYTES));
      if (n <= 0)
        return;
      g_string_erase (state.pending, 0, n);
    }
}

/* Starts a line with the fields that every line has. */
static void
log_begin_line (GLogLevelFlags level, const char *part)
{
  struct timespec now;
  struct tm utc;
  char stamp[32];

  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &utc);
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &utc);
  if (!state.line)
    state.line = g_string_new (NULL);
  g_string_truncate (state.line, 0);
  g_string_append_printf (state.line, "time=%s.%03ldZ level=%s process=%s part=%s ", stamp,
                          now.tv_nsec / 1000000, log_level_name (level), state.program, part);
}

/* Appends the finished line to the buffer. */
static void
log_end_line (void)
{
  g_string_append_len (state.pending, state.line->str, (gssize) state.line->len);
  g_string_append_c (state.pending, '\n');
}

/* Appends a quoted string; newlines become spaces. */
static void
log_add_quoted (const char *text, gsize len)
{
  g_string_append_c (state.line, '"');
  for (gsize i = 0; i < len; i++)
    {
      if (text[i] == '"' || text[i] == '\\')
        g_string_append_c (state.line, '\\');
      g_string_append_c (state.line, text[i] == '\n' ? ' ' : text[i]);
    }
  g_string_append_c (state.line, '"');
}

/* Appends a message. "event: key=value ..." becomes an event field followed by the fields; any
 * other message becomes the event field alone. */
static void
log_add_message (const char *message)
{
  const char *colon = strstr (message, ": ");

  if (colon && strchr (colon, '='))
    {
      g_string_append (state.line, "event=");
      log_add_quoted (message, (gsize) (colon - message));
      g_string_append_printf (state.line, " %s", colon + 2);
      return;
    }
  g_string_append (state.line, "event=");
  log_add_quoted (message, strlen (message));
}

/* Reports the number of dropped lines once half of the soft limit is free again. */
static void
log_report_dropped (void)
{
  if (state.dropped_lines == 0 || state.pending->len >= PENDING_SOFT_BYTES / 2)
    return;
  log_begin_line (G_LOG_LEVEL_WARNING, "log");
  g_string_append_printf (state.line, "event=\"lines dropped\" lines=%" G_GUINT64_FORMAT,
                          state.dropped_lines);
  log_end_line ();
  state.dropped_lines = 0;
}

/* GLib's log writer: formats a record as one logfmt line. It never blocks: if the reader stops,
 * lines are buffered in memory, and those over the limits are dropped and counted. */
static GLogWriterOutput
log_write (GLogLevelFlags level, const GLogField *fields, gsize n, gpointer ctx)
{
  bool low_priority = (level & G_LOG_LEVEL_MASK) >= G_LOG_LEVEL_INFO;

  (void) ctx;
  if ((level & G_LOG_LEVEL_MASK) > state.lowest_level)
    return G_LOG_WRITER_HANDLED;
  if (!state.pending)
    state.pending = g_string_new (NULL);
  log_flush ();
  log_report_dropped ();
  log_begin_line (level, log_field (fields, n, "SESAMEPICK_PART"));
  log_add_message (log_field (fields, n, "MESSAGE"));
  if (state.observe)
    state.observe (state.observe_ctx, state.line->str);
  if (state.pending->len > (low_priority ? PENDING_SOFT_BYTES : PENDING_HARD_BYTES))
    {
      state.dropped_lines++;
      return G_LOG_WRITER_HANDLED;
    }
  log_end_line ();
  log_flush ();
  return G_LOG_WRITER_HANDLED;
}

/* Sets the program name and the lowest level that is written: debug, info, warning or error.
 * Returns false, and changes nothing, for any other level. */
bool
log_init (const char *program, const char *level)
{
  if (strcmp (level, "debug") == 0)
    state.lowest_level = G_LOG_LEVEL_DEBUG;
  else if (strcmp (level, "info") == 0)
    state.lowest_level = G_LOG_LEVEL_INFO;
  else if (strcmp (level, "warning") == 0)
    state.lowest_level = G_LOG_LEVEL_WARNING;
  else if (strcmp (level, "error") == 0)
    state.lowest_level = G_LOG_LEVEL_CRITICAL;
  else
    return false;
  state.program = program;
  g_log_set_writer_func (log_write, NULL, NULL);
  return true;
}

/* Writes one structured log line. GLib's level values increase as the severity decreases. */
void
log_line (GLogLevelFlags level, const char *part, const char *format, ...)
{
  char line[MESSAGE_MAX_BYTES];
  va_list args;

  if (level > state.lowest_level)
    return;
  va_start (args, format);
  vsnprintf (line, sizeof line, format, args);
  va_end (args);
  g_log_structured ("sesamepick", level, "SESAMEPICK_PART", part, "MESSAGE", "%s", line);
}
