#ifndef SESAMEPICK_TESTS_FLEET_CLUSTER_H
#define SESAMEPICK_TESTS_FLEET_CLUSTER_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "process.h"

enum
{
  CLUSTER_FLEETDS_MAX = 9,
  /* Ports of the proxy, as distances from the cluster's first port. */
  CLUSTER_PROXY_ADMIN_PORT = 5,
  CLUSTER_FIRST_PROXY_PORT = 50,
};

/* A simulated platform and several fleetds on loopback. */
struct cluster
{
  uint16_t first_port;
  unsigned n_fleetds;
  struct process *platform;
  /* NULL without a proxy. */
  struct process *proxy;
  struct process *fleetds[CLUSTER_FLEETDS_MAX];
  /* Additional arguments for every fleetd, NULL-terminated. */
  const char *const *fleetd_args;
  /* Offset of the last accepted declaration. */
  int64_t declared_offset;
};

struct cluster_config
{
  /* Number of the block of ports that the cluster uses. */
  unsigned block;
  unsigned n_fleetds;
  /* Number of hosts in the pools "seats" and "tools", all of class "large". */
  unsigned n_seats;
  unsigned n_tools;
  /* Hosts per rack; 0 distributes all hosts over three racks. */
  unsigned rack_hosts;
  /* Each fleetd reaches the platform through a port of the fault-injecting proxy. */
  bool with_proxy;
  /* Additional arguments for the platform and for every fleetd, NULL-terminated, or NULL. */
  const char *const *platform_args;
  const char *const *fleetd_args;
};

/* An HTTP response; free with reply_clear. */
struct reply
{
  int status;
  json_t *json;
};

/* Starts all processes and waits until the fleetds are ready and the first one knows all hosts. */
void cluster_init (struct cluster *cluster, const struct cluster_config *config);
/* Kills all processes. */
void cluster_finish (struct cluster *cluster);
void cluster_start_fleetd (struct cluster *cluster, unsigned i);
bool cluster_wait_ready (const struct cluster *cluster, unsigned i, int64_t limit_ms);
uint16_t cluster_feed_port (const struct cluster *cluster, unsigned i);
uint16_t cluster_operator_port (const struct cluster *cluster, unsigned i);
char *cluster_admin_url (const struct cluster *cluster, unsigned i);
char *cluster_operator_url (const struct cluster *cluster, unsigned i, const char *path);

/* Ends the test program and its processes when the tests can't continue. */
void cluster_abort (const char *reason);
/* Calls a URL as the operator "tester". */
struct reply reply_fetch (const char *method, const char *url, const char *body);
/* Calls a fleetd's operator port. body is JSON or NULL. */
struct reply cluster_call (const struct cluster *cluster, unsigned i, const char *method,
                           const char *path, const char *body);
void reply_clear (struct reply *reply);
const char *reply_text (const struct reply *reply, const char *name);
int64_t reply_number (const struct reply *reply, const char *name);

/* Sets faults of the platform. */
void cluster_set_platform_faults (const struct cluster *cluster, const char *json);
/* Injects a fault between a fleetd (-1: all) and the platform: "cut", "silent", "freeze", "refuse"
 * or "none". */
void cluster_set_proxy_fault (const struct cluster *cluster, int i, const char *mode);
/* Returns the platform's own record of events, hosts and log. */
json_t *cluster_journal (const struct cluster *cluster);

/* Declares the host class, the pools and the service "chess" with an availability of 600 permille;
 * deadline_ms distinguishes one declaration from the next. First waits until the fleetd has read
 * the last accepted one: a change whose author has not read the previous change is rejected.
 * Returns the HTTP status. */
int cluster_declare (struct cluster *cluster, unsigned i, unsigned deadline_ms);
/* Returns the offset that fleetd i has applied, or -1. */
int64_t cluster_offset (const struct cluster *cluster, unsigned i);
/* Waits until all running fleetds can reach the log. */
bool cluster_wait_log_reachable (const struct cluster *cluster, int64_t limit_ms);
/* Returns the index of the fleetd that holds the claim, or -1. */
int cluster_claim_holder (const struct cluster *cluster);
int cluster_wait_claim_holder (const struct cluster *cluster, int64_t limit_ms);
/* Proposes a plan and returns its id, or NULL. Free with g_free. */
char *cluster_propose (const struct cluster *cluster, unsigned i, const char *intent);
int cluster_confirm (const struct cluster *cluster, unsigned i, const char *plan_id);
/* Waits until a fleetd shows a plan in a state. */
bool cluster_wait_plan (const struct cluster *cluster, unsigned i, const char *plan_id,
                        const char *state, int64_t limit_ms);
/* Waits until all running fleetds show the same offset and digest. */
bool cluster_wait_converged (const struct cluster *cluster, int64_t limit_ms);
/* Counts the events of a journal with this operation and host; "" matches any. */
unsigned journal_count (const json_t *journal, const char *event, const char *operation,
                        const char *host);
/* Returns whether no idempotency key has taken effect twice. */
bool journal_is_idempotent (const json_t *journal);

#endif
