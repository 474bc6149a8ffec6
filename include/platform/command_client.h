#ifndef SESAMEPICK_PLATFORM_COMMAND_CLIENT_H
#define SESAMEPICK_PLATFORM_COMMAND_CLIENT_H

#include "command.pb-c.h"
#include "common/http_client.h"
#include "lib/jobs/scheduler.h"

/* Sends commands to endpoints and to the platform's machine list. The results of host commands are
 * passed to the scheduler. */
struct command_client;

/* Result of a command to an endpoint. */
struct endpoint_result
{
  enum command_result result;
  /* The endpoint's clock according to its response; 0 if unknown. */
  int64_t clock_ms;
  /* Only of a heartbeat that was carried out, else NULL. Valid until the callback returns. */
  const struct endpoint_report *report;
};

typedef void endpoint_command_done (void *ctx, const struct endpoint_result *result);

struct command_client_config
{
  struct ev_loop *loop;
  /* The leader's name, sent with commands for hosts. */
  const char *holder;
  /* Address of the machine list API, as IP:PORT. */
  const char *machines;
  /* Timeouts of connecting, of a command to an endpoint (without the time for which a heartbeat may
   * wait), and of a call to the machine list. */
  long connect_timeout_ms;
  long command_timeout_ms;
  long machines_timeout_ms;
  /* Called when the call of a command for a host has ended, before the scheduler gets the result.
   * May be NULL. */
  void (*host_command_ended) (void *ctx, const char *host, enum host_command_result result);
  /* Returns the time of the scheduler's clock in milliseconds. */
  int64_t (*now_ms) (void *ctx);
  void *ctx;
};

struct command_client *command_client_create (const struct command_client_config *config);
/* Cancels all commands in progress; the scheduler gets no result for them. */
void command_client_destroy (struct command_client *client);
/* Only needed for commands for hosts. */
void command_client_set_scheduler (struct command_client *client, struct scheduler *scheduler);

/* Sends a command to an endpoint; done is called once, unless the client is destroyed first. */
void command_client_send (struct command_client *client, const Sp__EndpointCommand *command,
                          endpoint_command_done *done, void *ctx);
/* The machine list rejects a command for a host whose token is lower than the highest one it has
 * seen. */
void command_client_move_host (struct command_client *client, struct host *host, const char *pool,
                               uint64_t token);
void command_client_maintain_host (struct command_client *client, struct host *host, uint32_t wave,
                                   uint64_t token);
/* Ends the host commands in progress. The scheduler is told that they may have been carried out. */
void command_client_abort_host_commands (struct command_client *client);
/* Reads the whole machine list and passes it to the scheduler. Returns false and does nothing while
 * a read is in progress. */
bool command_client_list_hosts (struct command_client *client);

#endif
