#ifndef SESAMEPICK_STANDIN_CLUSTER_H
#define SESAMEPICK_STANDIN_CLUSTER_H

#include <ev.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "common/clock.h"
#include "common/http_server.h"
#include "settings.pb-c.h"

/* Simulates the platform that jobd runs on for tests, following its published protocol: the
 * metadata store, the machine list, and the endpoints that run tasks under leases and fences. All
 * state is in the memory of one process. Tests inject faults over HTTP. */

enum
{
  STORE_PORTS = 5,
};

enum store_mode
{
  STORE_UP,
  /* Answers every request with 503. */
  STORE_BUSY,
  /* Never answers. */
  STORE_UNRESPONSIVE,
  /* Stores appended records without acknowledging them; answers all other requests. */
  STORE_LOSES_ACKS,
  /* Neither carries out appends nor responds to them; answers all other requests. */
  STORE_IGNORES_APPENDS,
  /* Stores appended records and closes the connection without a response. */
  STORE_CUTS,
  /* Stores appended records and answers 502. */
  STORE_GATEWAY,
  /* Draws for each append whether its response is lost, and how. */
  STORE_MIXED,
};

/* The store's faults beside its mode. */
struct store_faults
{
  enum store_mode mode;
  GRand *rand;
  /* Share of the appends with a fault in the mode STORE_MIXED. */
  unsigned permille;
  /* After an append whose response was lost, the store rejects all calls with busy_status for 0 to
   * busy_max_ms. */
  unsigned busy_max_ms;
  int64_t busy_until_ms;
  int busy_status;
};

/* What happens to an append. */
enum append_fault_kind
{
  APPEND_ANSWERED,
  /* Carried out, but its connection is closed without a response. */
  APPEND_CUT,
  /* Carried out, but a gateway answers. */
  APPEND_GATEWAY,
  /* Not carried out; its connection is closed. */
  APPEND_DROPPED,
  /* Its connection is closed; carried out later. */
  APPEND_LATE,
};

struct append_fault
{
  enum append_fault_kind kind;
  /* Status that the gateway answers. */
  int status;
  /* Delay of an append that is carried out later. */
  int64_t delay_ms;
};

/* Parameters of an append. producer is NULL if there is none. */
struct append_call
{
  const char *producer;
  uint64_t epoch;
  uint64_t sequence;
  const uint8_t *body;
  size_t len;
};

struct cluster;

/* A port of the store for one entry host, on which the calls of that host alone can fail. */
struct store_port
{
  struct cluster *cluster;
  struct http_server *server;
  /* STORE_UP, STORE_BUSY or STORE_UNRESPONSIVE. */
  enum store_mode mode;
  /* From an address in the records of entry hosts to the one that this host reads instead, of the
   * same length. */
  GHashTable *shown;
};

/* Faults of the endpoints' calls: responses of carried-out calls are lost, and calls are carried
 * out after their connection closed. */
struct endpoint_faults
{
  GRand *rand;
  /* Share of the calls with a fault. */
  unsigned permille;
  /* After a call with a fault, its endpoint answers 503 for 0 to busy_max_ms. */
  unsigned busy_max_ms;
};

/* One attempt of a task on an endpoint. Times are on the process's monotonic clock. */
struct cluster_task_instance
{
  LIST_ENTRY (cluster_task_instance) link;
  char *task;
  uint32_t attempt;
  int64_t start_ms;
  int64_t end_ms;
  bool long_running;
  bool stopping;
};

/* Leaders that an endpoint responds to, as if the others could not reach it. */
enum epochs_heeded
{
  EPOCHS_ANY,
  /* Those of known_epoch and before. */
  EPOCHS_KNOWN,
  /* Those after known_epoch. */
  EPOCHS_LATER,
};

/* One incarnation of a host as an endpoint. The lease end is on the endpoint's own clock, which
 * starts at 0 when the endpoint is created; all other times are on the process's monotonic
 * clock. */
struct cluster_endpoint
{
  LIST_ENTRY (cluster_endpoint) link;
  struct cluster *cluster;
  struct http_server *server;
  unsigned host_index;
  char *id;
  uint16_t port;
  uint64_t fence;
  int64_t created_ms;
  int64_t lease_end_ms;
  int64_t next_registration_ms;
  /* Numbers of the last registration and of the last completion. */
  unsigned sequence;
  uint64_t last_completion;
  bool unresponsive;
  enum epochs_heeded epochs_heeded;
  uint64_t known_epoch;
  /* The endpoint answers 503 until then. */
  int64_t busy_until_ms;
  /* The responses of the call in progress are lost. */
  bool loses_response;
  LIST_HEAD (, late_call) late_calls;
  /* When it crashes, because of a task that it has started; 0 if it doesn't. */
  int64_t crash_ms;
  /* Removed from the registry; to be destroyed by the next tick. */
  bool ended;
  LIST_HEAD (, cluster_task_instance) instances;
  /* Rows [number, task, attempt, outcome, checkpoint], kept until a heartbeat acknowledges them by
   * number. */
  json_t *completions;
  /* From task to the highest attempt that completed or was stopped here. */
  GHashTable *highest_attempts;
  LIST_HEAD (, cluster_heartbeat) heartbeats;
};

LIST_HEAD (cluster_endpoint_list, cluster_endpoint);

/* A task that crashes each endpoint that starts it. */
struct crashing_task
{
  unsigned crashes;
  unsigned starts_after_third_crash;
};

enum cluster_host_state
{
  CLUSTER_HOST_UP,
  CLUSTER_HOST_MOVING,
  CLUSTER_HOST_MAINTENANCE,
  /* Its endpoint has crashed; it is back after a while. */
  CLUSTER_HOST_DOWN,
};

struct cluster_host
{
  char *id;
  char *pool;
  enum cluster_host_state state;
  /* When a move, a maintenance or the time after a crash ends. */
  int64_t available_ms;
  unsigned incarnations;
  uint64_t fencing_token;
  /* Set of the maintenance waves that included this host. */
  GHashTable *waves;
  struct cluster_endpoint *endpoint;
};

struct cluster
{
  const Sp__ClusterSettings *settings;
  struct ev_loop *loop;
  struct clock clock;
  ev_timer tick;
  struct http_server *store_server;
  struct http_server *machine_server;
  /* A second port of the store, on which reads may be refused while all else is served. */
  struct http_server *second_store_server;
  bool second_refuses_reads;
  /* Ports of the store for one entry host each. */
  struct store_port store_ports[STORE_PORTS];
  /* From name to struct topic. */
  GHashTable *topics;
  LIST_HEAD (, pending_read) pending_reads;
  LIST_HEAD (, late_append) late_appends;
  struct store_faults store_faults;
  GPtrArray *hosts;
  char *standby_pool;
  struct cluster_endpoint_list endpoints;
  struct endpoint_faults endpoint_faults;
  /* From task to the id of the endpoint on which it last completed as done. */
  GHashTable *done_tasks;
  /* From job id to the time of the last start of one of its tasks (int64_t). */
  GHashTable *started_jobs;
  uint64_t starts;
  /* From a task that crashes its endpoints to struct crashing_task. */
  GHashTable *crashing_tasks;
  uint64_t crashes;
  /* Starts of such a task beyond two after three crashes; reported as over_crashes. */
  uint64_t starts_over_crashes;
  /* Starts of a task that was already running; reported as doubled. */
  uint64_t concurrent_starts;
  /* Starts of a task that was done on an endpoint with a valid lease; reported as after_done. */
  uint64_t starts_after_done;
  /* Attempts that ended with the lease. */
  uint64_t lapses;
  uint64_t moves;
  uint64_t maintenances;
  unsigned max_in_maintenance;
};

int64_t cluster_now_ms (struct cluster *cluster);

void cluster_store_init (struct cluster *cluster);
void cluster_store_finish (struct cluster *cluster);
/* Handles a request to the store; port is NULL on the ports that all hosts use. */
void cluster_store_handle (struct cluster *cluster, struct http_request *request,
                           const struct store_port *port);
void cluster_store_disconnected (void *ctx, struct http_request *request);
void cluster_store_tick (struct cluster *cluster);
/* Sets the store's mode and faults from a request {"store":MODE,"seed":N,"permille":N,"busy_ms":N};
 * the modes are up, busy, silent, mute, cut, gateway and mix. */
void store_faults_set (struct cluster *cluster, const json_t *body);
void store_faults_init (struct cluster *cluster);
void store_faults_finish (struct cluster *cluster);
/* Returns the status with which the store rejects all calls, or 0 if it doesn't. */
int store_busy_status (struct cluster *cluster);
/* Draws what happens to the next append. */
struct append_fault store_faults_draw (struct cluster *cluster);
/* Opens the ports of the store for one entry host each, which handle the requests that the store's
 * first port handles. Returns false if one is in use. */
bool store_ports_open (struct cluster *cluster, struct http_server_config *config,
                       uint16_t first_port);
void store_ports_close (struct cluster *cluster);
/* Sets the faults of an entry host's port from a request {"entry_host":N,"entry_store":MODE,
 * "shown":{"IP:PORT":"IP:PORT"}}; the modes are up, busy and silent. Returns false if it names no
 * port or mode, or addresses of different lengths. */
bool store_ports_set_faults (struct cluster *cluster, const json_t *body);
/* Returns a record's value as the host of a port reads it; free with g_bytes_unref. */
GBytes *store_port_show (const struct store_port *port, const char *key, GBytes *value);
/* Appends a record to a topic; a NULL value deletes the key. */
void cluster_store_put (struct cluster *cluster, const char *topic, const char *key,
                        const char *value);
/* Returns the newest value of a key, or NULL; free with g_free. */
char *cluster_store_get (struct cluster *cluster, const char *topic, const char *key);

bool cluster_hosts_init (struct cluster *cluster);
void cluster_hosts_finish (struct cluster *cluster);
void cluster_hosts_handle (void *ctx, struct http_request *request);
void cluster_hosts_tick (struct cluster *cluster);
/* Crashes the endpoint of a host, which is down for a while. */
void cluster_host_crash (struct cluster *cluster, struct cluster_host *host);

/* Sets the faults of the endpoints' calls from a request {"endpoints":PERMILLE,"seed":N,
 * "busy_ms":N}. */
void cluster_endpoints_set_faults (struct cluster *cluster, const json_t *body);
/* Sets the leaders that an endpoint responds to: "any", "known" for those up to the highest epoch
 * that any endpoint has heard of, or "later" for those after it. Returns false for another name. */
bool endpoint_set_epochs (struct cluster_endpoint *endpoint, const char *name);
/* Starts an endpoint on the host at an index of hosts. Returns NULL if its port is in use. */
struct cluster_endpoint *cluster_endpoint_create (struct cluster *cluster, unsigned host_index);
/* Removes the endpoint from the registry; the next tick destroys it and the tasks that run on
 * it. */
void cluster_endpoint_end (struct cluster_endpoint *endpoint);
void cluster_endpoint_destroy (struct cluster_endpoint *endpoint);
void cluster_endpoints_tick (struct cluster *cluster);

#endif
