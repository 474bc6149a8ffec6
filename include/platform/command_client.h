#ifndef SESAMEPICK_PLATFORM_COMMAND_CLIENT_H
#define SESAMEPICK_PLATFORM_COMMAND_CLIENT_H

#include "common/http_client.h"
#include "lib/jobs/scheduler.h"

/* Sends a leader's commands to endpoints and to the platform's machine list. Each result is passed
 * to the scheduler by the function for that command, such as scheduler_start_done. */
struct command_client;

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
  /* Returns the time of the scheduler's clock in milliseconds. */
  int64_t (*now_ms) (void *ctx);
  void *ctx;
};

struct command_client *command_client_create (const struct command_client_config *config);
/* Cancels all commands in progress; the scheduler gets no result for them. */
void command_client_destroy (struct command_client *client);
void command_client_set_scheduler (struct command_client *client, struct scheduler *scheduler);

/* lease_end_ms is on the endpoint's clock. */
void command_client_start_task (struct command_client *client, struct endpoint *endpoint,
                                struct task *task, int64_t lease_end_ms);
/* known is the scheduler's task, or NULL for an attempt that it doesn't know. */
void command_client_stop_task (struct command_client *client, struct endpoint *endpoint,
                               const char *task, uint32_t attempt, struct task *known);
/* lease_end_ms 0 renews no lease; wait_ms 0 asks for an immediate response. */
void command_client_send_heartbeat (struct command_client *client, struct endpoint *endpoint,
                                    int64_t lease_end_ms, int64_t wait_ms);
/* percent is the share of the task's full speed. */
void command_client_pace_task (struct command_client *client, struct endpoint *endpoint,
                               struct task *task, int percent);
/* The machine list rejects a command for a host whose token is lower than the highest one it has
 * seen. */
void command_client_move_host (struct command_client *client, struct host *host, const char *pool,
                               uint64_t token);
void command_client_maintain_host (struct command_client *client, struct host *host, uint32_t wave,
                                   uint64_t token);
bool command_client_has_host_commands (const struct command_client *client);
/* Ends the host commands in progress. The scheduler is told that they may have been carried out. */
void command_client_abort_host_commands (struct command_client *client);
/* Reads the whole machine list and passes it to the scheduler. Does nothing while a read is in
 * progress. */
void command_client_list_hosts (struct command_client *client);

#endif
