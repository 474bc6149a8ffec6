#include <fcntl.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "common/log.h"
#include "suite.h"

/* The format of log lines, and logging while the reader has stopped reading. */

enum
{
  READ_MAX_BYTES = 1 << 20,
  N_LINES = 20000,
  /* Sum of the log's buffer limit and the capacity of a pipe, with some margin. */
  HELD_BYTES_MAX = 256 * 1024 + 64 * 1024 + 4096,
};

/* Reads until the pipe is empty, flushing the log after each read. */
static GString *
read_all (int fd)
{
  GString *text = g_string_new (NULL);
  char *buffer = g_malloc (READ_MAX_BYTES);
  ssize_t n;

  while ((n = read (fd, buffer, READ_MAX_BYTES)) > 0)
    {
      g_string_append_len (text, buffer, n);
      log_flush ();
    }
  g_free (buffer);
  return text;
}

/* Creates a pipe with a non-blocking read end and directs the log to it. */
static void
open_pipe (int fds[2])
{
  SUITE_REQUIRE (pipe (fds) == 0);
  fcntl (fds[0], F_SETFL, O_NONBLOCK);
  log_set_fd (fds[1]);
}

/* A message with fields is split into event and fields; a sentence becomes one event field. */
static void
test_lines (void)
{
  int fds[2];
  GString *text;

  open_pipe (fds);
  log_info ("part", "job refused: job=%s reason=\"%s\"", "ab", "no room");
  log_warning ("part", "A sentence with a \"quote\".");
  text = read_all (fds[0]);
  CU_ASSERT_PTR_NOT_NULL (strstr (
      text->str,
      "level=info process=test part=part event=\"job refused\" job=ab reason=\"no room\"\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text->str, "level=warning process=test part=part "
                                             "event=\"A sentence with a \\\"quote\\\".\"\n"));
  g_string_free (text, TRUE);
  close (fds[0]);
  close (fds[1]);
}

/* While nobody reads, the log neither blocks nor exceeds its memory limit, and keeps warnings
 * longer than other lines. Once the pipe is read again, it reports how many lines were dropped. */
static void
test_stopped_reader (void)
{
  int fds[2];
  GString *text;

  open_pipe (fds);
  for (int i = 0; i < N_LINES; i++)
    log_info ("part", "start: task=%d", i);
  log_warning ("part", "outcome not known: job=last");
  text = read_all (fds[0]);
  CU_ASSERT (text->len < HELD_BYTES_MAX);
  CU_ASSERT_PTR_NOT_NULL (strstr (text->str, "task=0\n"));
  CU_ASSERT_PTR_NULL (strstr (text->str, "task=19999\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text->str, "job=last"));
  g_string_free (text, TRUE);
  log_info ("part", "start: task=again");
  text = read_all (fds[0]);
  CU_ASSERT_PTR_NOT_NULL (strstr (text->str, "event=\"lines dropped\" lines="));
  CU_ASSERT_PTR_NOT_NULL (strstr (text->str, "task=again\n"));
  g_string_free (text, TRUE);
  close (fds[0]);
  close (fds[1]);
}

static const struct suite_test tests[] = {
  { "lines", test_lines },
  { "stopped reader", test_stopped_reader },
};

int
main (void)
{
  log_init ("test", "info");
  return suite_run ("log", tests, sizeof tests / sizeof tests[0]);
}
