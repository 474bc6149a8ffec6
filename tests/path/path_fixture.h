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
  /* Number of the test program's port block. */
  unsigned block;
  unsigned n_workers;
  unsigned n_entries;
  /* Number of slots of each worker. */
  unsigned slots;
  /* Mean processing time of a request. */
  unsigned service_ms;
  /* Default deadline of the service. */
  unsigned deadline_ms;
  /* The route table has the workers' own ports instead of the fault proxy's. */
  bool direct;
  /* Additional flags of entryd, terminated by NULL; may be NULL. */
  const char *const *entry_flags;
};

/* Real processes of a test of the request path: workers of one service "seats" behind a fault
 * proxy, entryds, and a feed. */
struct path_fixture
{
  struct path_config config;
  /* First port of the block. */
  uint16_t base;
  struct process *workers;
  struct process *fault_proxy;
  struct process *feed;
  struct process *entries[PATH_ENTRIES_MAX];
  /* Offset of the latest route table that was published. */
  uint64_t offset;
};

/* Starts all processes and waits until each entry host is ready. */
void path_start (struct path_fixture *fixture, const struct path_config *config);
void path_stop (struct path_fixture *fixture);
void path_start_entry (struct path_fixture *fixture, unsigned entry);

uint16_t path_worker_port (const struct path_fixture *fixture, unsigned worker);
/* Port on which an entry host accepts callers' requests; its admin and peer ports are the next
 * two. */
uint16_t path_caller_port (const struct path_fixture *fixture, unsigned entry);
/* Returns the base URL of an entry host's admin port; free it with g_free. */
char *path_admin_url (const struct path_fixture *fixture, unsigned entry);
bool path_entry_is_ready (const struct path_fixture *fixture, unsigned entry);

/* Has the feed send a new table in which the workers of the mask are leaving. */
void path_publish_routes (struct path_fixture *fixture, unsigned leaving_mask);
/* Has the feed send the advance notice that a worker's host is leaving. */
void path_hint_leaving (const struct path_fixture *fixture, unsigned worker);

/* Sets the faults of a worker, as JSON; "{}" for none. */
void path_set_worker_faults (const struct path_fixture *fixture, unsigned worker, const char *json);
/* Sets a fault of the proxied connections to a worker: cut, freeze, silent, refuse or none. */
void path_set_link_fault (const struct path_fixture *fixture, unsigned worker, const char *mode);
/* Returns one of a worker's counters, such as "runs". */
int64_t path_worker_counter (const struct path_fixture *fixture, unsigned worker, const char *name);
/* Returns how many times a request was run, on all workers together. */
unsigned path_count_runs (const struct path_fixture *fixture, const char *id);

/* Sends a request with an id to the service "seats" through an entry host. header is one more
 * header line, or NULL. */
void path_fetch (const struct path_fixture *fixture, unsigned entry, const char *method,
                 const char *id, const char *header, struct fetched *fetched);
/* Sends a request, with one more header line unless header is NULL, without waiting for its
 * response. Returns the socket. */
int path_send_raw (const struct path_fixture *fixture, unsigned entry, const char *method,
                   const char *id, const char *header);

/* Starts the load generator against all entry hosts. flags are additional flags, terminated by
 * NULL, or NULL. */
struct process *path_start_load (const struct path_fixture *fixture, const char *name,
                                 const char *rate, const char *seconds, const char *const *flags);
/* Waits until the load generator exits and stores its counters of request outcomes, indexed by enum
 * path_outcome. Returns its exit code. */
int path_wait_load (struct process *load, const char *name, int64_t limit_ms, int64_t *outcomes);

/* Outcomes of requests in the load generator's report, as in standin/load.h. PATH_VIOLATIONS
 * counts requests that ran more often than their outcome permits. */
enum path_outcome
{
  PATH_ANSWERED,
  PATH_ERROR_STATUS,
  PATH_NOT_RUN,
  PATH_UNKNOWN,
  PATH_NOT_SENT,
  PATH_NO_RESPONSE,
  PATH_WRONG_RESPONSE,
  PATH_VIOLATIONS,
  PATH_OUTCOMES,
};

#endif
