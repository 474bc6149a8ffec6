#ifndef SESAMEPICK_CLI_CLIENT_H
#define SESAMEPICK_CLI_CLIENT_H

#include <jansson.h>

#include "settings.pb-c.h"

/* Exit codes of the command line. */
enum exit_code
{
  EXIT_CODE_DONE = 0,
  EXIT_CODE_REFUSED = 1,
  EXIT_CODE_USAGE = 2,
  EXIT_CODE_UNAVAILABLE = 75,
};

/* Calls to the fleetds' operator interface. */
struct client
{
  char **fleetds;
  /* Readiness ports of the entry hosts. */
  char **entries;
  const char *operator_name;
  long timeout_ms;
};

struct reply
{
  /* HTTP status, or 0 if nobody answered. */
  int status;
  /* NULL if the body was not JSON. */
  json_t *json;
  /* Why there is no answer. */
  char problem[200];
};

void client_init (struct client *client, const Sp__CliSettings *settings);
void client_finish (struct client *client);
/* Body may be NULL. A call that may change something goes to another fleetd only if it did not
 * reach the one before. Free the reply with reply_clear. */
void client_call (struct client *client, const char *method, const char *path, const json_t *body,
                  struct reply *reply);
/* Asks one of the entry hosts, or the first that answers, about jobs. */
void client_call_entry_at (struct client *client, size_t at, const char *path, struct reply *reply);
void client_call_entry (struct client *client, const char *path, struct reply *reply);
void reply_clear (struct reply *reply);
/* Gives the exit code for a reply and prints why on standard error if it is not a success. */
enum exit_code reply_exit_code (const struct reply *reply);

#endif
