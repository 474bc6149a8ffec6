#include <fcntl.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "common/log.h"
#include "suite.h"

/* The log: its lines, and a reader that stops reading. */

enum
{
  READ_BYTES = 1 << 20,
  MANY_LINES = 20000,
  /* What may wait in memory, and what a pipe holds. */
  HELD_BYTES_MAX = 256 * 1024 + 64 * 1024 + 4096,
};

/* Reads all that is there. */
static GString *
read_all (int fd)
{
  GString *text = g_string_new (NULL);
  char *buffer = g_malloc (READ_BYTES);
  ssize_t n;

  while ((n = read (fd, buffer, READ_BYTES)) > 0)
    {
      g_string_append_len (text, buffer, n);
      log_flush ();
    }
  g_free (buffer);
  return text;
}

/* Opens a pipe whose reading end does not block, and has the log written to it. */
static void
open_pipe (int fds[2])
{
  SUITE_REQUIRE (pipe (fds) == 0);
  fcntl (fds[0], F_SETFL, O_NONBLOCK);
  log_to (fds[1]);
}

/* Fields become fields, and a sentence becomes one event. */
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

/* Nobody reads: the writer goes on within bounded memory, keeps warnings longer than the rest, and
 * tells how many lines it left out once somebody reads again. */
static void
test_stopped_reader (void)
{
  int fds[2];
  GString *text;

  open_pipe (fds);
  for (int i = 0; i < MANY_LINES; i++)
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
  CU_ASSERT_PTR_NOT_NULL (strstr (text->str, "event=\"lines left out\" lines="));
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
