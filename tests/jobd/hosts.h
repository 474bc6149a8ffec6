#ifndef SESAMEPICK_TESTS_JOBD_HOSTS_H
#define SESAMEPICK_TESTS_JOBD_HOSTS_H

#include <jansson.h>
#include <stdbool.h>

#include "process.h"

/* Three entry hosts with a job daemon each, and the stand-in of the platform. */

enum
{
  HOSTS = 3,
};

struct hosts
{
  uint16_t port;
  struct process *cluster;
  struct process *jobds[HOSTS];
};

void hosts_start (struct hosts *hosts, unsigned port_block);
void hosts_end (struct hosts *hosts);
void hosts_start_jobd (struct hosts *hosts, unsigned n);
bool hosts_wait_ready (struct hosts *hosts, unsigned n, int64_t limit_ms);
/* Index of the host that leads, or -1. */
int hosts_leader (struct hosts *hosts);
int hosts_wait_leader (struct hosts *hosts, int64_t limit_ms);
/* One call of a caller at a host; gives the status, or 0. body may be NULL. answer, if not NULL,
 * gets the decoded answer, to be freed with json_decref. */
int hosts_call (struct hosts *hosts, unsigned n, const char *method, const char *path,
                const char *body, json_t **answer);
/* State of a job as a host shows it; free with free(). NULL if it shows none. */
char *hosts_state (struct hosts *hosts, unsigned n, const char *id);
bool hosts_wait_state (struct hosts *hosts, unsigned n, const char *id, const char *state,
                       int64_t limit_ms);
/* Runs a command with one operand, or NULL, on all hosts, and gives its exit status; free output
 * with g_free. */
int hosts_command (struct hosts *hosts, const char *option, const char *command,
                   const char *operand, char **output);
/* Tells the stand-in something by POST, such as faults. */
void hosts_tell (struct hosts *hosts, const char *path, const char *body);
/* A count of the stand-in's report. */
int64_t hosts_report (struct hosts *hosts, const char *name);
/* The operator's status record of a key contains a text. */
bool hosts_wait_status (struct hosts *hosts, const char *key, const char *text, int64_t limit_ms);

#endif
