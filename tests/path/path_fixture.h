#ifndef SESAMEPICK_TESTS_PATH_FIXTURE_H
#define SESAMEPICK_TESTS_PATH_FIXTURE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "process.h"

enum
{
  PATH_WORKERS_MAX = 20,
  PATH_ENTRIES_MAX = 3,
  PATH_READY_TIMEOUT_MS = 5000,
};

struct path_config
{
  /* Port block of the test program. */
  unsigned block;
  unsigned n_workers;
  unsigned n_entries;
  unsigned slots;
  unsigned service_ms;
  unsigned deadline_ms;
  /* The routes lead to the workers and not to the fault proxy. */
  bool direct;
  /* More flags of entryd; outcomes with NULL. */
  const char *const *entry_flags;
};

/* One service "seats" of real worker processes behind the fault proxy, entryds, and a feed. */
struct path_fixture
{
  struct path_config config;
  uint16_t base;
  struct process *workers;
  struct process *faults;
  struct process *feed;
  struct process *entries[PATH_ENTRIES_MAX];
  uint64_t offset;
};

/* Starts all and waits until each entry host is ready. */
void path_start (struct path_fixture *fixture, const struct path_config *config);
void path_stop (struct path_fixture *fixture);
void path_start_entry (struct path_fixture *fixture, unsigned entry);

uint16_t path_worker_port (const struct path_fixture *fixture, unsigned worker);
/* Ports of an entry host. */
uint16_t path_caller_port (const struct path_fixture *fixture, unsigned entry);
/* Base URL of an entry host's admin port; free with g_free. */
char *path_admin_url (const struct path_fixture *fixture, unsigned entry);
bool path_entry_is_ready (const struct path_fixture *fixture, unsigned entry);

/* Sends the feed a new table in which the workers of the mask are leaving. */
void path_publish_routes (struct path_fixture *fixture, unsigned leaving_mask);
/* Has the feed send an early sign that a worker's host is leaving. */
void path_hint_leaving (const struct path_fixture *fixture, unsigned worker);

/* Sets a worker's misbehaviour; "{}" for none. */
void path_set_worker_faults (const struct path_fixture *fixture, unsigned worker, const char *json);
/* Brings about a fault on the way to a worker: cut, freeze, silent, refuse or none. */
void path_set_link_fault (const struct path_fixture *fixture, unsigned worker, const char *mode);
/* One number of a worker's counts, such as "runs". */
int64_t path_worker_counter (const struct path_fixture *fixture, unsigned worker, const char *name);
/* How often a request ran at all workers. */
unsigned path_count_runs (const struct path_fixture *fixture, const char *id);

/* Sends a request for seats with an id through an entry host. More headers end with NULL. */
void path_fetch (const struct path_fixture *fixture, unsigned entry, const char *method,
                 const char *id, const char *header, struct fetched *fetched);
/* Sends a request, with one more header unless it is NULL, and does not wait for its answer; gives
 * the connection. */
int path_send_raw (const struct path_fixture *fixture, unsigned entry, const char *method,
                   const char *id, const char *header);

/* Starts the load tool on all entry hosts, with more flags that end with NULL. */
struct process *path_start_load (const struct path_fixture *fixture, const char *name,
                                 const char *rate, const char *seconds, const char *const *flags);
/* Waits for its end and reads its counts. Gives its exit code. */
int path_wait_load (struct process *load, const char *name, int64_t limit_ms, int64_t *outcomes);

/* Order of the counts that path_wait_load gives. */
enum path_outcome
{
  PATH_ANSWERED,
  PATH_ANSWERED_BADLY,
  PATH_NOT_RUN,
  PATH_UNKNOWN,
  PATH_NOT_SENT,
  PATH_CUT,
  PATH_WRONG,
  PATH_BROKEN,
  PATH_OUTCOMES,
};

#endif
