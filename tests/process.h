#ifndef SESAMEPICK_TESTS_PROCESS_H
#define SESAMEPICK_TESTS_PROCESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* Real processes of a test, on loopback. Programs are found below the build folder that meson names
 * in SESAMEPICK_BUILD; their logs go to SESAMEPICK_BUILD/test-logs. All are killed at the end. */
struct process
{
  pid_t pid;
  char name[64];
};

/* The first port of a block of 100; SESAMEPICK_TEST_PORTS moves all blocks. */
uint16_t process_port_block (unsigned block);

/* Starts a program, such as "entryd/sesamepick-entryd". The list of args ends with NULL. */
struct process *process_create (const char *name, const char *program, const char *const *args);
/* Ends it by SIGKILL, if it still runs, and frees it. */
void process_destroy (struct process *process);
void process_signal (struct process *process, int signal);
/* Waits up to limit_ms for the end; gives the exit code, or -1 if it goes on or was killed. */
int process_wait (struct process *process, int64_t limit_ms);
bool process_runs (struct process *process);
/* Kills all that the test started. */
void process_end_all (void);

struct fetched
{
  /* 0 if there was no whole answer. */
  int status;
  char *headers;
  char *body;
  size_t body_len;
};

/* One HTTP call. headers is a list that ends with NULL, or NULL. Free with fetched_clear. */
void fetch (struct fetched *fetched, const char *method, const char *url,
            const char *const *headers, const char *body, int64_t limit_ms);
void fetched_clear (struct fetched *fetched);
/* Whether the answer's header block has this header with this value. */
bool fetched_has_header (const struct fetched *fetched, const char *name, const char *value);
/* Value of one line of /metrics, such as "x" or "x{a=\"b\"}"; -1 if it is not there. */
int64_t fetch_metric (const char *admin_url, const char *line_name);

int64_t test_now_ms (void);
void test_sleep_ms (int64_t ms);
/* Asks every 20 ms until it holds. Gives false if it does not within limit_ms. */
bool test_wait (bool (*holds) (void *ctx), void *ctx, int64_t limit_ms);
/* Waits until a GET gives 200. */
bool test_wait_ready (const char *url, int64_t limit_ms);

/* Runs the command line with its args, NULL at the end, and gives its exit status. output, if not
 * NULL, gets what it printed, to be freed with g_free. */
int process_run_command (const char *const *args, char **output, int64_t limit_ms);

#endif
