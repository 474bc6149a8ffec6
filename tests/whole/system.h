#ifndef SESAMEPICK_TESTS_WHOLE_SYSTEM_H
#define SESAMEPICK_TESTS_WHOLE_SYSTEM_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "process.h"

enum
{
  SYSTEM_ENTRIES = 3,
  SYSTEM_WORKERS = 12,
  SYSTEM_READY_TIMEOUT_MS = 10000,
};

/* The whole of sesamepick on loopback: a platform, workers of the services "seats" and "rosters"
 * and of the spare pool "tools", and entry hosts with a fleetd and an entryd each. */
struct system
{
  uint16_t base;
  struct process *platform;
  struct process *workers;
  struct process *fleetds[SYSTEM_ENTRIES];
  struct process *entryds[SYSTEM_ENTRIES];
};

/* Starts all, declares the services and waits until every entryd has them. */
void system_start (struct system *system, unsigned block);
void system_stop (struct system *system);
void system_start_fleetd (struct system *system, unsigned n);
void system_start_entryd (struct system *system, unsigned n);
bool system_wait_fleetd (const struct system *system, unsigned n);
bool system_wait_entryd (const struct system *system, unsigned n);

/* Runs the command line with args up to NULL; gives its exit code. The output goes to *output,
 * to be freed with g_free, if output is not NULL. */
int system_run_cli (const struct system *system, char **output, ...) G_GNUC_NULL_TERMINATED;

/* Starts a load on all entry hosts; its JSON goes to a file of this name in the test's logs. */
struct process *system_start_load (const struct system *system, const char *name, unsigned seconds);
/* Waits for the load's end. Gives what it printed, and its exit code. */
json_t *system_wait_load (struct process *load, unsigned seconds, int *code);
/* How many of the load's requests ended so. */
json_int_t load_outcome_count (const json_t *load, const char *end);

#endif
