#include "process.h"

#include <curl/curl.h>
#include <fcntl.h>
#include <glib.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum
{
  PORTS_PER_BLOCK = 100,
  DEFAULT_FIRST_PORT = 20000,
  PROCESSES_MAX = 256,
  POLL_MS = 20,
  METRICS_TIMEOUT_MS = 2000,
  READY_CALL_TIMEOUT_MS = 1000,
};

extern char **environ;

static struct process *processes[PROCESSES_MAX];

uint16_t
process_port_block (unsigned block)
{
  const char *first = getenv ("SESAMEPICK_TEST_PORTS");

  return (uint16_t) ((first ? atoi (first) : DEFAULT_FIRST_PORT) + (int) block * PORTS_PER_BLOCK);
}

/* Returns the build directory. */
static const char *
process_build (void)
{
  const char *build = getenv ("SESAMEPICK_BUILD");

  return build ? build : "build";
}

/* Records a process so that it is killed when the test program exits. */
static void
process_register (struct process *process)
{
  static bool registered;

  if (!registered)
    atexit (process_kill_all);
  registered = true;
  for (size_t i = 0; i < PROCESSES_MAX; i++)
    {
      if (!processes[i])
        {
          processes[i] = process;
          return;
        }
    }
  abort ();
}

/* Returns the path of the log of the processes with a name; free with g_free. */
static char *
process_log_path (const char *name)
{
  return g_strdup_printf ("%s/test-logs/%d-%s.log", process_build (), (int) getpid (), name);
}

void
process_move_log (const char *name, const char *target)
{
  g_autofree char *log = process_log_path (name);
  g_autofree char *text = NULL;
  gsize len;

  if (target && (!g_file_get_contents (log, &text, &len, NULL) ||
                 !g_file_set_contents (target, text, (gssize) len, NULL)))
    fprintf (stderr, "can't copy %s to %s\n", log, target);
  unlink (log);
}

/* Starts a program whose output is appended to its own log file. */
struct process *
process_create (const char *name, const char *program, const char *const *args)
{
  g_autofree char *path = g_build_filename (process_build (), program, NULL);
  g_autofree char *folder = g_build_filename (process_build (), "test-logs", NULL);
  g_autofree char *log = process_log_path (name);
  g_autoptr (GPtrArray) argv = g_ptr_array_new ();
  struct process *process = g_new0 (struct process, 1);
  posix_spawn_file_actions_t actions;

  mkdir (folder, 0777);
  g_ptr_array_add (argv, path);
  for (size_t i = 0; args[i]; i++)
    g_ptr_array_add (argv, (void *) args[i]);
  g_ptr_array_add (argv, NULL);
  snprintf (process->name, sizeof process->name, "%s", name);
  posix_spawn_file_actions_init (&actions);
  posix_spawn_file_actions_addopen (&actions, 1, log, O_WRONLY | O_CREAT | O_APPEND, 0666);
  posix_spawn_file_actions_adddup2 (&actions, 1, 2);
  if (posix_spawn (&process->pid, path, &actions, NULL, (char **) argv->pdata, environ) != 0)
    {
      fprintf (stderr, "can't start %s\n", path);
      abort ();
    }
  posix_spawn_file_actions_destroy (&actions);
  process_register (process);
  return process;
}

/* Kills the process if it still runs, and frees it. */
void
process_destroy (struct process *process)
{
  if (process->pid > 0)
    {
      kill (process->pid, SIGKILL);
      waitpid (process->pid, NULL, 0);
    }
  for (size_t i = 0; i < PROCESSES_MAX; i++)
    {
      if (processes[i] == process)
        processes[i] = NULL;
    }
  g_free (process);
}

void
process_signal (struct process *process, int signal)
{
  if (process->pid > 0)
    kill (process->pid, signal);
}

/* Waits until the process exits or limit_ms have passed. */
int
process_wait (struct process *process, int64_t limit_ms)
{
  int64_t end_ms = test_now_ms () + limit_ms;
  int status;

  while (process->pid > 0)
    {
      if (waitpid (process->pid, &status, WNOHANG) == process->pid)
        {
          process->pid = 0;
          return WIFEXITED (status) ? WEXITSTATUS (status) : -1;
        }
      if (test_now_ms () >= end_ms)
        return -1;
      test_sleep_ms (POLL_MS);
    }
  return -1;
}

/* Returns whether the process still runs; reaps it if not. */
bool
process_is_running (struct process *process)
{
  if (process->pid > 0 && waitpid (process->pid, NULL, WNOHANG) == process->pid)
    process->pid = 0;
  return process->pid > 0;
}

/* Kills all processes that the test has started. */
void
process_kill_all (void)
{
  for (size_t i = 0; i < PROCESSES_MAX; i++)
    {
      if (processes[i])
        process_destroy (processes[i]);
    }
}

/* Appends received data to the byte array ctx; callback of libcurl. */
static size_t
fetch_on_data (const char *data, size_t size, size_t n, void *ctx)
{
  g_byte_array_append (ctx, (const guint8 *) data, (guint) (size * n));
  return size * n;
}

/* Makes one HTTP call on a new connection. */
void
fetch (struct fetched *fetched, const char *method, const char *url, const char *const *headers,
       const char *body, int64_t limit_ms)
{
  GByteArray *head = g_byte_array_new ();
  GByteArray *text = g_byte_array_new ();
  struct curl_slist *list = curl_slist_append (NULL, "Expect:");
  CURL *curl = curl_easy_init ();
  long status = 0;

  for (size_t i = 0; headers && headers[i]; i++)
    list = curl_slist_append (list, headers[i]);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, method);
  if (body)
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, list);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long) limit_ms);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, fetch_on_data);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, text);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, fetch_on_data);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, head);
  if (curl_easy_perform (curl) == CURLE_OK)
    curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_cleanup (curl);
  curl_slist_free_all (list);
  fetched->status = (int) status;
  fetched->body_len = text->len;
  g_byte_array_append (head, (const guint8 *) "", 1);
  g_byte_array_append (text, (const guint8 *) "", 1);
  fetched->headers = (char *) g_byte_array_free (head, FALSE);
  fetched->body = (char *) g_byte_array_free (text, FALSE);
}

/* Frees the result of a call. */
void
fetched_clear (struct fetched *fetched)
{
  g_free (fetched->headers);
  g_free (fetched->body);
  memset (fetched, 0, sizeof *fetched);
}

/* Returns whether the response has a header with a value. */
bool
fetched_has_header (const struct fetched *fetched, const char *name, const char *value)
{
  g_autofree char *line = g_strdup_printf ("%s: %s", name, value);
  g_auto (GStrv) lines = g_strsplit (fetched->headers, "\r\n", -1);

  for (size_t i = 0; lines[i]; i++)
    {
      if (g_ascii_strcasecmp (lines[i], line) == 0)
        return true;
    }
  return false;
}

int64_t
fetch_metric (const char *admin_url, const char *line_name)
{
  g_autofree char *url = g_strconcat (admin_url, "/metrics", NULL);
  g_autofree char *start = g_strconcat (line_name, " ", NULL);
  struct fetched fetched;
  int64_t value = -1;

  fetch (&fetched, "GET", url, NULL, NULL, METRICS_TIMEOUT_MS);
  {
    g_auto (GStrv) lines = g_strsplit (fetched.body, "\n", -1);

    for (size_t i = 0; lines[i]; i++)
      {
        if (g_str_has_prefix (lines[i], start))
          value = g_ascii_strtoll (lines[i] + strlen (start), NULL, 10);
      }
  }
  fetched_clear (&fetched);
  return value;
}

/* Returns the monotonic time in milliseconds. */
int64_t
test_now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t) now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
test_sleep_ms (int64_t ms)
{
  struct timespec span = { .tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000 };

  nanosleep (&span, NULL);
}

bool
test_wait (bool (*holds) (void *ctx), void *ctx, int64_t limit_ms)
{
  int64_t end_ms = test_now_ms () + limit_ms;

  while (!holds (ctx))
    {
      if (test_now_ms () >= end_ms)
        return false;
      test_sleep_ms (POLL_MS);
    }
  return true;
}

/* Returns whether a GET of the URL ctx yields status 200. */
static bool
url_is_ready (void *ctx)
{
  struct fetched fetched;
  bool ready;

  fetch (&fetched, "GET", ctx, NULL, NULL, READY_CALL_TIMEOUT_MS);
  ready = fetched.status == 200;
  fetched_clear (&fetched);
  return ready;
}

bool
test_wait_ready (const char *url, int64_t limit_ms)
{
  return test_wait (url_is_ready, (void *) url, limit_ms);
}

/* Runs the command-line program sesamepick. Returns its exit code and, if output is not NULL, its
 * output. */
int
process_run_cli (const char *const *args, char **output, int64_t limit_ms)
{
  g_autofree char *log =
      g_strdup_printf ("%s/test-logs/%d-command.log", process_build (), (int) getpid ());
  struct process *command;
  int code;

  unlink (log);
  command = process_create ("command", "cli/sesamepick", args);
  code = process_wait (command, limit_ms);
  process_destroy (command);
  if (output)
    g_file_get_contents (log, output, NULL, NULL);
  return code;
}
