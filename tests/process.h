#ifndef SESAMEPICK_TESTS_PROCESS_H
#define SESAMEPICK_TESTS_PROCESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* A process that a test has started. Programs are found below the build directory, which meson
 * passes in SESAMEPICK_BUILD; their logs go to SESAMEPICK_BUILD/test-logs. All processes are killed
 * when the test program exits. */
struct process
{
  pid_t pid;
  char name[64];
};

/* Returns the first port of a block of 100 ports. SESAMEPICK_TEST_PORTS sets the first port of
 * block 0. */
uint16_t process_port_block (unsigned block);

/* Starts a program, such as "entryd/sesamepick-entryd". args are its arguments, terminated by NULL;
 * name names its log file. */
struct process *process_create (const char *name, const char *program, const char *const *args);
/* Sends SIGKILL to the process if it still runs, and frees it. */
void process_destroy (struct process *process);
void process_signal (struct process *process, int signal);
/* Waits up to limit_ms until the process exits. Returns its exit code, or -1 if it still runs or
 * was ended by a signal. */
int process_wait (struct process *process, int64_t limit_ms);
bool process_is_running (struct process *process);
/* Kills all processes that the test has started. */
void process_kill_all (void);
/* Moves the log of the processes with a name to a file, or removes it if target is NULL. */
void process_move_log (const char *name, const char *target);

/* Result of an HTTP call. */
struct fetched
{
  /* 0 if there was no complete response. */
  int status;
  char *headers;
  char *body;
  size_t body_len;
};

/* Makes one HTTP call on a new connection. headers is a list of lines terminated by NULL, or NULL.
 * Free the result with fetched_clear. */
void fetch (struct fetched *fetched, const char *method, const char *url,
            const char *const *headers, const char *body, int64_t limit_ms);
void fetched_clear (struct fetched *fetched);
/* Returns whether the response has this header with this value. */
bool fetched_has_header (const struct fetched *fetched, const char *name, const char *value);
/* Returns the value of one line of /metrics, such as "x" or "x{a=\"b\"}", or -1 if it is
 * missing. */
int64_t fetch_metric (const char *admin_url, const char *line_name);

/* Returns the monotonic time in milliseconds. */
int64_t test_now_ms (void);
void test_sleep_ms (int64_t ms);
/* Checks the condition every 20 ms until it holds. Returns false if it does not within limit_ms. */
bool test_wait (bool (*holds) (void *ctx), void *ctx, int64_t limit_ms);
/* Waits until a GET of the URL yields status 200. Returns false on timeout. */
bool test_wait_ready (const char *url, int64_t limit_ms);

/* Runs the command-line program sesamepick with arguments terminated by NULL. Returns its exit
 * code. Stores its output in *output, to be freed with g_free, unless output is NULL. */
int process_run_cli (const char *const *args, char **output, int64_t limit_ms);

#endif
