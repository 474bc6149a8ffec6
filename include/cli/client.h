#ifndef SESAMEPICK_CLI_CLIENT_H
#define SESAMEPICK_CLI_CLIENT_H

#include <jansson.h>

#include "settings.pb-c.h"

/* Exit codes of sesamepick. UNAVAILABLE means no response, 429 or 5xx: the call may be repeated
 * later (75 is EX_TEMPFAIL of sysexits.h). */
enum exit_code
{
  EXIT_CODE_DONE = 0,
  EXIT_CODE_REFUSED = 1,
  EXIT_CODE_USAGE = 2,
  EXIT_CODE_UNAVAILABLE = 75,
};

/* Client of the fleetds' operator interface and of the entry hosts. fleetds and entries are
 * NULL-terminated lists of IP:PORT. */
struct client
{
  char **fleetds;
  /* Readiness ports of the entry hosts, which also serve jobs. */
  char **entries;
  const char *operator_name;
  long timeout_ms;
};

struct reply
{
  /* HTTP status, or 0 if there was no response. */
  int status;
  /* NULL if there was no response or its body was not JSON. */
  json_t *json;
  /* Error message if there was no response. */
  char error[200];
};

/* Initializes a client from the settings, which must outlive it. */
void client_init (struct client *client, const Sp__CliSettings *settings);
void client_finish (struct client *client);
/* Calls the first fleetd that can be reached; body may be NULL. A call that may change something is
 * retried at the next fleetd only if it certainly did not reach the previous one. Free the reply
 * with reply_clear. */
void client_call (struct client *client, const char *method, const char *path, const json_t *body,
                  struct reply *reply);
/* Read from the entry host at an index of entries, or from the first that responds. */
void client_call_entry_at (struct client *client, size_t entry_index, const char *path,
                           struct reply *reply);
void client_call_entry (struct client *client, const char *path, struct reply *reply);
void reply_clear (struct reply *reply);
/* Returns the exit code for a reply, and prints an error to standard error if the call failed. */
enum exit_code reply_exit_code (const struct reply *reply);

#endif
