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

/* A complete deployment of real processes on loopback: a platform, workers of the services "seats"
 * and "rosters" and of the spare pool "tools", and entry hosts with a fleetd and an entryd each. */
struct system
{
  /* First port of the block. */
  uint16_t base;
  struct process *platform;
  struct process *workers;
  struct process *fleetds[SYSTEM_ENTRIES];
  struct process *entryds[SYSTEM_ENTRIES];
};

/* Starts all processes, declares the services and waits until every entryd has their routes. */
void system_start (struct system *system, unsigned block);
void system_stop (struct system *system);
void system_start_fleetd (struct system *system, unsigned n);
void system_start_entryd (struct system *system, unsigned n);
bool system_wait_fleetd (const struct system *system, unsigned n);
bool system_wait_entryd (const struct system *system, unsigned n);

/* Runs the command-line program sesamepick with arguments terminated by NULL. Returns its exit
 * code. Stores its output in *output, to be freed with g_free, unless output is NULL. */
int system_run_cli (const struct system *system, char **output, ...) G_GNUC_NULL_TERMINATED;

/* Starts a load generator against all entry hosts; its JSON report goes to a file of this name in
 * the test's logs. */
struct process *system_start_load (const struct system *system, const char *name, unsigned seconds);
/* Waits until the load generator exits. Returns its report, or NULL if there is none, and its exit
 * code in *code. */
json_t *system_wait_load (struct process *load, unsigned seconds, int *code);
/* Returns how many of the load's requests had an outcome, such as "answered". */
json_int_t load_outcome_count (const json_t *load, const char *outcome);

#endif
