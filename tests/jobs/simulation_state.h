#ifndef SESAMEPICK_TESTS_JOBS_SIMULATION_STATE_H
#define SESAMEPICK_TESTS_JOBS_SIMULATION_STATE_H

#include "simulation.h"

/* State and functions that the files of the simulation share. */

enum
{
  /* Steps in which the simulation advances the time. */
  TIME_STEP_MS = 2,
  /* Interval between the leader's scheduling passes. */
  PASS_MS = 20,
  /* Time from a command to its response, and to the sender's timeout if there is none. */
  RESPONSE_MS = 4,
  TIMEOUT_MS = 700,
  SLOW_RESPONSE_MS = 600,
  /* Delay of commands that arrive late. */
  LATE_MIN_MS = 2000,
  LATE_MAX_MS = 12000,
  /* Delay of commands to hosts that are carried out late. */
  HOST_LATE_MIN_MS = 100,
  HOST_LATE_MAX_MS = 900,
  /* Longest time for which an endpoint is unhealthy after a connection closed. */
  UNHEALTHY_MAX_MS = 600,
  /* Duration of a flush. */
  FLUSH_MS = 8,
  /* Interval at which the leader reads the registry and the machine list. */
  LIST_INTERVAL_MS = 300,
  /* How long a host is away for a move and for maintenance. */
  MOVE_MS = 1500,
  MAINTENANCE_MS = 2000,
  /* How long a stopped attempt continues to run. */
  STOP_MS = 400,
  LEASE_MS = 3500,
  /* Endpoints shorten longer leases to this. */
  LEASE_LIMIT_MS = 10000,
  /* What an endpoint's clock shows when the endpoint starts. */
  CLOCK_FIRST_MS = 20,
  /* Time from the start of a task that crashes its endpoint to the crash, and until the host is
   * back. */
  CRASH_AFTER_MS = 14,
  CRASHED_MS = 3000,
  /* Number of crashes after which a task may be started only twice more. */
  CRASHES_BEFORE_LAST_STARTS = 3,
  LAST_STARTS_MAX = 2,
  /* Duration of attempts on an endpoint that fails everything. */
  FAILING_ATTEMPT_MS = 50,
  PERMILLE = 1000,
  SHARE_WINDOW_MS = 5000,
  /* A long-running task is available this long after its start. */
  AVAILABLE_AFTER_MS = 500,
  /* Offset of the start times of incarnations from the time of the simulation. */
  BORN_OFFSET_MS = 1000000,
};

/* A version of a workspace's cap. name points to a constant. */
struct simulated_cap
{
  const char *name;
  struct resources cap;
  int64_t since_ms;
};

enum event_kind
{
  EVENT_START,
  EVENT_STOP,
  EVENT_HEARTBEAT,
  EVENT_PACE,
  EVENT_MOVE,
  EVENT_MAINTAIN,
  EVENT_FLUSH,
};

/* A command on its way to an endpoint or a host, the response of an endpoint on its way back, or
 * the end of a flush. */
struct event
{
  enum event_kind kind;
  int64_t due_ms;
  bool response;
  /* No response follows. */
  bool no_response;
  /* The command never reaches its endpoint or host. */
  bool lost;
  /* It was sent before its endpoint became unreachable and is carried out all the same. */
  bool passes_cut;
  /* The command to a host is rejected as one too many. */
  bool rejected;
  unsigned leader_generation;
  uint64_t fence;
  /* The endpoint in the simulation, and what the scheduler knows of it. */
  struct simulated_endpoint *target;
  struct endpoint *endpoint;
  struct task *task;
  struct host *host;
  /* Name of the task. */
  char *name;
  char *pool;
  uint32_t attempt;
  uint32_t wave;
  int64_t lease_end_ms;
  int64_t wait_until_ms;
  int64_t sent_ms;
  uint64_t acked;
  /* The incarnation that received the command. */
  int64_t born_ms;
  /* Fencing token of a command to a host. */
  uint64_t token;
  int percent;
  enum command_result result;
  enum host_command_result host_command_result;
  struct resources request;
  bool long_running;
  uint32_t spread_limit;
  /* The endpoint's clock when it responded. */
  int64_t clock_ms;
};

/* simulation.c */
void simulation_log (const struct simulation *simulation, const char *format, ...)
    G_GNUC_PRINTF (2, 3);
bool simulation_chance (struct simulation *simulation, int permille);
struct task *simulation_find_task (const struct simulation *simulation, const char *name);
void simulation_flush (struct simulation *simulation, const struct event *event);

/* simulation_hosts.c */
void simulated_endpoint_destroy (gpointer data);
void simulation_read_lists (struct simulation *simulation);
void simulation_list_endpoint (struct simulation *simulation,
                               const struct simulated_endpoint *endpoint);
struct simulated_endpoint *simulation_find_endpoint (const struct simulation *simulation,
                                                     const char *id);
enum host_command_result simulation_move_host (struct simulation *simulation,
                                               const struct event *event);
enum host_command_result simulation_maintain_host (struct simulation *simulation,
                                                   const struct event *event);
void simulation_return_hosts (struct simulation *simulation);
void simulated_endpoint_begin_incarnation (struct simulation *simulation,
                                           struct simulated_endpoint *endpoint);

/* simulation_endpoints.c */
void attempt_destroy (gpointer data);
void completion_destroy (gpointer data);
void simulation_end_gang (struct simulation *simulation, const char *name);
void endpoint_advance_attempts (struct simulation *simulation, struct simulated_endpoint *endpoint);
enum command_result endpoint_execute (struct simulation *simulation, struct event *event);
bool endpoint_receive_heartbeat (struct simulation *simulation, const struct event *event);

/* simulation_workspaces.c */
void simulation_check_cap (struct simulation *simulation, const struct event *event);

/* simulation_commands.c */
void event_destroy (gpointer data);
struct event *simulation_post (struct simulation *simulation, enum event_kind kind,
                               int64_t after_ms);
void on_start (void *ctx, struct endpoint *endpoint, struct task *task, int64_t lease_end_ms);
void on_stop (void *ctx, struct endpoint *endpoint, const char *task, uint32_t attempt,
              struct task *known);
void on_heartbeat (void *ctx, struct endpoint *endpoint, int64_t lease_end_ms, int64_t wait_ms);
void on_pace (void *ctx, struct endpoint *endpoint, struct task *task, int percent);
void on_move (void *ctx, struct host *host, const char *pool);
void on_maintain (void *ctx, struct host *host, uint32_t wave);
void on_wave (void *ctx, uint32_t wave, bool completed);
void on_superseded (void *ctx, const char *why);
void simulation_handle_due_events (struct simulation *simulation);

#endif
