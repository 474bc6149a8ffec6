#ifndef SESAMEPICK_TESTS_SOAK_SOAK_H
#define SESAMEPICK_TESTS_SOAK_SOAK_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "process.h"

/* A round of the soak: job daemons as processes, with a proxy before each daemon and one between
 * each daemon and the store; callers; a series of faults that a seed determines; checks of the
 * platform's rules from the outside. */

enum
{
  SOAK_HOSTS_MIN = 3,
  SOAK_HOSTS_MAX = 5,
  /* Bounds of the platform's rules. */
  SOAK_VISIBLE_MS = 3000,
  SOAK_CANCEL_MS = 3000,
  SOAK_STOP_MS = 400,
  SOAK_CONTACT_MS = 3000,
  SOAK_FINISH_MS = 14000,
  SOAK_TRIES_MAX = 4,
  SOAK_CALL_MS = 3000,
  /* Settings of the daemons, and the time after which no withdrawn key may be served. */
  SOAK_CONFIG_MS = 1500,
  SOAK_CONFIG_SKEW_MS = 1500,
  SOAK_CONFIG_BOUND_MS = SOAK_CONFIG_MS + SOAK_CONFIG_SKEW_MS,
  SOAK_VERSIONS_MAX = 32,
};

/* Response to a caller's request. */
struct soak_answer
{
  /* 0 if the connection ended, or the time was over, before a complete response. */
  int status;
  char body[512];
  /* The connection held bytes that no request asked for, or bytes that are no HTTP. */
  bool mixed_up;
};

/* A caller's connection, kept open between requests. */
struct soak_connection
{
  uint16_t port;
  /* -1 if it is closed. */
  int fd;
};

/* One request of a job's history. */
struct soak_try
{
  const char *method;
  unsigned host;
  int64_t sent_ms;
  int64_t took_ms;
  int status;
};

struct soak_job
{
  char id[17];
  bool long_running;
  /* Its task crashes each endpoint that starts it. */
  bool crashes;
  /* 0 or 1. */
  unsigned workspace;
  /* Has its data on a rack, or is a gang that should share one. */
  bool near;
  bool gang;
  /* Requests for the job, without states as expected. */
  GArray *tries;
  /* When a submission and a cancellation were answered 2xx; 0 if none was. */
  int64_t accepted_ms;
  int64_t cancelled_ms;
  bool cancel_sent;
  unsigned n_submissions;
  unsigned n_rejections;
  /* A violation of this job was printed. */
  bool reported;
  /* Hosts that report the job's expected final state. */
  bool settled[SOAK_HOSTS_MAX];
};

struct soak
{
  guint32 seed;
  uint16_t port;
  unsigned n_hosts;
  bool relays;
  struct process *cluster;
  struct process *proxy;
  struct process *jobds[SOAK_HOSTS_MAX];
  /* The daemon was started and was sent no signal that ends it. */
  bool should_run[SOAK_HOSTS_MAX];
  int64_t begun_ms;
  /* Protects jobs, their fields, and the counts after them. */
  GMutex mutex;
  GPtrArray *jobs;
  unsigned n_crashing_jobs;
  /* Version of the configuration in force, and when the key of each earlier one was withdrawn. */
  unsigned version;
  int64_t withdrawn_ms[SOAK_VERSIONS_MAX];
  /* Calls with a withdrawn key after the bound. */
  unsigned n_calls_withdrawn;
  unsigned n_violations;
  /* Endpoints that crashed, by the platform's count. */
  unsigned n_crashes;
  /* Tells the callers to end. */
  gint stopping;
};

/* soak_http.c */

/* Sends a request and waits for its response. Opens the connection if it is closed; closes it
 * unless a response arrived. body may be NULL. */
void soak_call (struct soak_connection *connection, const char *method, const char *path,
                const char *key, const char *body, struct soak_answer *answer);
void soak_connection_close (struct soak_connection *connection);

/* soak_hosts.c */

/* Starts the platform, the proxy and the daemons, and waits until all are ready. */
void soak_hosts_start (struct soak *soak);
/* Ends all processes; keeps their logs below the folder logs, unless it is NULL. */
void soak_hosts_stop (struct soak *soak, const char *logs);
void soak_hosts_start_jobd (struct soak *soak, unsigned host);
void soak_hosts_signal (struct soak *soak, unsigned host, int signal);
/* Prints a violation for each daemon that ended by itself. */
void soak_hosts_check_running (struct soak *soak);
/* Returns the port of a host's proxy for callers. */
uint16_t soak_hosts_caller_port (const struct soak *soak, unsigned host);
/* Return the ports of the proxy between a host and the store, and the machine list. */
uint16_t soak_hosts_store_port (const struct soak *soak, unsigned host);
uint16_t soak_hosts_machines_port (const struct soak *soak, unsigned host);
/* Posts to the platform, or to the proxy, to set faults. */
void soak_hosts_post (struct soak *soak, const char *path, const char *body);
void soak_hosts_post_proxy (struct soak *soak, const char *body);
/* Writes the operator's configuration of a version; every other one has an additional route. */
void soak_hosts_configure (struct soak *soak, unsigned version);
/* Returns a JSON object of the platform, or NULL. */
json_t *soak_hosts_get (struct soak *soak, const char *path);

/* soak_keys.c */

/* Returns the key that a workspace has in all versions. */
const char *soak_workspace_key (unsigned workspace);
/* Returns the workspaces of a version as a JSON list: each version has a key of its own, which the
 * next one withdraws. Free with g_free. */
char *soak_keys_tenants (unsigned version);
/* Handles that the platform has stored a version. */
void soak_keys_version_stored (struct soak *soak, unsigned version);
/* Asks a host for the count with the key of a drawn earlier version, and checks that none is served
 * that was withdrawn longer than the bound ago, or that never was. */
void soak_keys_ask_withdrawn (struct soak *soak, struct soak_connection *connection, unsigned host,
                              GRand *rand);
/* Asks a host for a job with the key of another workspace, and checks that it is refused. */
void soak_keys_ask_other (struct soak *soak, struct soak_connection *connection, unsigned host,
                          struct soak_job *job);

/* soak_faults.c */

/* Injects the seed's series of faults, then ends all of them. */
void soak_faults_run (struct soak *soak, bool print);

/* soak_clients.c */

/* Starts the callers; they run until stopping is set. */
GPtrArray *soak_clients_start (struct soak *soak);
/* Waits for the callers to end, and frees them. */
void soak_clients_join (GPtrArray *clients);

/* soak_jobs.c */

struct soak_job *soak_job_create (struct soak *soak, GRand *rand);
void soak_job_destroy (gpointer job);
/* Returns a job among the newest ones, or NULL if there is none. */
struct soak_job *soak_job_pick (struct soak *soak, GRand *rand);
/* Handle the response to a submission, a cancellation and a query of the state; sent_ms is when the
 * request was sent. */
void soak_job_submitted (struct soak *soak, struct soak_job *job, unsigned host, int64_t sent_ms,
                         const struct soak_answer *answer);
void soak_job_cancelled (struct soak *soak, struct soak_job *job, unsigned host, int64_t sent_ms,
                         const struct soak_answer *answer);
void soak_job_asked (struct soak *soak, struct soak_job *job, unsigned host, int64_t sent_ms,
                     const struct soak_answer *answer);
/* Prints a violation of a rule, with the history of the job unless it is NULL. A job's first
 * violation is printed only. Must be called with the mutex locked. */
void soak_violation (struct soak *soak, struct soak_job *job, const char *rule, const char *what,
                     ...) G_GNUC_PRINTF (4, 5);

/* soak_verify.c */

/* Checks, once the faults are over and the callers have ended, that the accepted jobs complete, and
 * that nothing else was started or runs. */
void soak_verify (struct soak *soak);

#endif
