#ifndef SESAMEPICK_TESTS_JOBD_HOSTS_H
#define SESAMEPICK_TESTS_JOBD_HOSTS_H

#include <jansson.h>
#include <stdbool.h>

#include "process.h"

/* Three entry hosts with a job daemon each, and the simulated platform. */

enum
{
  HOSTS = 3,
  /* Distance of the store's second port from its first. */
  SECOND_STORE_PORT = 2,
};

struct hosts
{
  /* First port of the simulated platform; the ports of the hosts follow at a fixed distance. */
  uint16_t port;
  /* The leader sends its commands through the other hosts. Set before hosts_start. */
  bool relays;
  /* How long ended jobs are kept; 0 for the default. Set before hosts_start. */
  unsigned status_ms;
  /* Port at which the first host reaches the store, as the distance from the store's first port; 0
   * for that one. Set before hosts_start. */
  unsigned first_store_port_offset;
  /* Each host reaches the store through a port of its own, and the relays of the others through a
   * proxy, so that its calls to the store, and each link, can be cut. Set before hosts_start. */
  bool separable;
  /* Number of endpoints from which on the leader uses relays; 0 for 1. Set before hosts_start. */
  unsigned relay_endpoints_min;
  /* Workspaces of the first configuration as a JSON list, NULL for none; whether the queue of pool
   * two needs no key; the settings of the daemons. Set before hosts_start. */
  const char *tenants;
  bool second_is_public;
  unsigned config_ms;
  unsigned config_skew_ms;
  /* Additional flags of the daemons, terminated by NULL; may be NULL. Set before hosts_start. */
  const char *const *flags;
  /* Key that is sent with calls; NULL for none. */
  const char *key;
  struct process *cluster;
  struct process *jobds[HOSTS];
};

/* Starts the simulated platform and the daemons, and writes a configuration with the pools one, two
 * and spare. */
void hosts_start (struct hosts *hosts, unsigned port_block);
/* Writes another version of the configuration. */
void hosts_configure (struct hosts *hosts, unsigned version, const char *tenants);
void hosts_stop (struct hosts *hosts);
void hosts_start_jobd (struct hosts *hosts, unsigned n);
/* Returns the callers' port of a host; the readiness port is the next one. */
uint16_t hosts_caller_port (const struct hosts *hosts, unsigned n);
/* Waits until a host reports ready; limit_ms 0 means the default limit. */
bool hosts_wait_ready (struct hosts *hosts, unsigned n, int64_t limit_ms);
/* Returns the value of a host's metric. */
int64_t hosts_metric (struct hosts *hosts, unsigned n, const char *name);
/* Returns the index of the host that leads, or -1. */
int hosts_leader (struct hosts *hosts);
int hosts_wait_leader (struct hosts *hosts, int64_t limit_ms);
/* Sends a caller's request to a host. Returns the HTTP status, or 0 without a response. body may be
 * NULL. If response is not NULL, it gets the decoded body, to be freed with json_decref, or
 * NULL. */
int hosts_call (struct hosts *hosts, unsigned n, const char *method, const char *path,
                const char *body, json_t **response);
/* The same with the caller's deadline. */
int hosts_call_within (struct hosts *hosts, unsigned n, const char *method, const char *path,
                       const char *body, unsigned deadline_ms, json_t **response);
/* Returns the state of a job of pool one as a host reports it, or NULL if the host reports none;
 * free with free(). */
char *hosts_job_state (struct hosts *hosts, unsigned n, const char *id);
bool hosts_wait_job_state (struct hosts *hosts, unsigned n, const char *id, const char *state,
                           int64_t limit_ms);
/* Runs a command of the CLI against all hosts, with one operand or NULL, and returns its exit
 * status. Free output with g_free. */
int hosts_run_command (struct hosts *hosts, const char *option, const char *command,
                       const char *operand, char **output);
/* Sends a POST request to the simulated platform, for example to inject faults. */
void hosts_post (struct hosts *hosts, const char *path, const char *body);
/* Sets faults of the simulated platform; aborts the test if they are rejected. */
void hosts_set_faults (struct hosts *hosts, const char *body);
/* Sets whether the store responds to a host: "up", "busy" or "silent". Needs separable hosts. */
void hosts_set_store (struct hosts *hosts, unsigned n, const char *mode);
/* Cuts a host's relay links with all other hosts, both ways, or restores them. What is sent
 * meanwhile arrives then. Needs separable hosts. */
void hosts_cut_links (struct hosts *hosts, unsigned n, bool cut);
/* Returns a page of the simulated platform, to be freed with json_decref, or NULL. */
json_t *hosts_get (struct hosts *hosts, const char *path);
/* Returns a count from the simulated platform's report, or -1 if there is none. */
int64_t hosts_report_count (struct hosts *hosts, const char *name);
/* Waits until the operator's status record of a key contains a string. */
bool hosts_wait_status (struct hosts *hosts, const char *key, const char *text, int64_t limit_ms);

#endif
