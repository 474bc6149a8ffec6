#ifndef SESAMEPICK_TESTS_JOBS_SIMULATION_H
#define SESAMEPICK_TESTS_JOBS_SIMULATION_H

#include <glib.h>

#include "job_records.h"
#include "lib/jobs/scheduler.h"

/* A simulated cluster for the scheduler, without a network: endpoints with leases, fences and lists
 * of completions, a machine list, and a journal of which only flushed records survive a change of
 * leader. It counts violations of what the scheduler must guarantee. */

enum
{
  SIMULATION_HOSTS_MAX = 64,
};

/* An attempt that runs on an endpoint. */
struct simulated_attempt
{
  char *task;
  uint32_t attempt;
  int64_t start_ms;
  /* How long it runs unless it is stopped, and when it ends. */
  int64_t work_ms;
  int64_t end_ms;
  bool fails;
  bool stopping;
  bool long_running;
  struct resources request;
};

struct simulated_completion
{
  uint64_t number;
  char *task;
  uint32_t attempt;
  enum attempt_outcome outcome;
};

struct simulated_endpoint
{
  char *id;
  char *host;
  char *pool;
  char *rack;
  /* Its label besides the rack, a constant string, and the one that the registry shows. */
  const char *kind;
  const char *listed_kind;
  /* The registry keeps the entry of the former incarnation. */
  bool registers_late;
  /* Runs and responds; false once its host was moved, was put into maintenance or crashed. */
  bool up;
  /* Runs, but no command reaches it, except late ones that were sent before. */
  bool unreachable;
  /* Its reports don't reach the registry either, which keeps the last one. */
  bool cut_off_from_registry;
  /* Heartbeats neither reach it nor get a response. */
  bool heartbeats_lost;
  /* Every attempt that it starts fails after a short time. */
  bool fails_all;
  /* Answers every start with an unknown status, such as 500, and carries out none, or all. */
  bool start_errors;
  bool start_errors_carried_out;
  /* Answers every stop so, and carries out none. */
  bool stop_errors;
  /* Number of start commands sent to it. */
  unsigned start_commands;
  /* It rejects all commands as unhealthy within this time. */
  int64_t unhealthy_from_ms;
  int64_t unhealthy_until_ms;
  bool listed;
  bool draining;
  int64_t born_ms;
  /* Number of its writes to the registry. */
  uint64_t sequence;
  /* Start of the incarnation that the registry shows. */
  int64_t listed_born_ms;
  /* Its clock starts near 0 with each incarnation and runs slow by these thousandths. */
  int64_t clock_start_ms;
  int clock_slow_permille;
  uint64_t fence;
  /* On its clock. */
  int64_t lease_end_ms;
  uint64_t last_completion;
  GPtrArray *attempts;
  GPtrArray *completions;
  /* Task name to the highest attempt that was stopped or ended here. */
  GHashTable *ended_attempts;
  struct resources capacity;
  /* When it crashes because of a task that it has started; 0 if it doesn't. */
  int64_t crash_ms;
};

/* A task that crashes each endpoint that starts it. */
struct crashing_task
{
  unsigned crashes;
  unsigned starts_after_third_crash;
};

struct simulated_host
{
  char *id;
  char *pool;
  enum host_state state;
  int64_t up_ms;
  /* Index of its endpoint, or -1. */
  int endpoint;
  uint32_t maintained_in;
  /* Highest token of a command that has reached it. */
  uint64_t token;
  /* It is down after a crash and comes back by itself. */
  bool crashed;
  /* The platform says that the host is in no wave. */
  bool in_no_wave;
  char *rack;
};

struct simulation
{
  GRand *random;
  int64_t now_ms;
  uint64_t epoch;
  unsigned leader_generation;
  struct job_table *all_jobs;
  /* All jobs with their tasks, which the leader's table drops when a job is over. */
  struct job_table kept_jobs;
  struct scheduler *scheduler;
  GPtrArray *journal;
  GPtrArray *events;
  /* All incarnations of endpoints, as struct simulated_endpoint. */
  GPtrArray *endpoints;
  /* Task name and attempt to the id of the endpoint to which they were sent. */
  GHashTable *sent_attempts;
  struct simulated_host hosts[SIMULATION_HOSTS_MAX];
  unsigned n_hosts;
  /* Name of the standby pool, or NULL. */
  char *standby;
  int64_t next_list_ms;
  bool flushing;
  /* Records of the flush in progress. */
  GPtrArray *flush;
  /* The store accepts no records. */
  bool store_down;
  /* The leader can read neither the registry nor the machine list. */
  bool lists_unreadable;
  /* The leader can't read the journal, and learns of no job that is accepted meanwhile. */
  bool journal_unreadable;
  /* The leader can't read the machine list. */
  bool machine_list_unreadable;
  struct wave_request wave;
  bool wave_requested;
  bool wave_completed;
  bool superseded;

  /* Shares of commands, in thousandths: those that are lost or whose response is lost, and those
   * that are carried out seconds late and get no response either. */
  int lost_permille;
  int late_permille;
  /* Share of commands, in thousandths, whose connection closes at once: they are carried out,
   * carried out late or not at all, and the endpoint rejects what follows for a while as unhealthy.
   */
  int closed_permille;
  /* Share of responses to starts, in thousandths, that are slow: others overtake them. */
  int slow_response_permille;
  /* The same for commands to hosts: the connection closes at once, and the command is carried out,
   * carried out late or not at all. And the share of those that are rejected as too many. */
  int host_closed_permille;
  int host_rejected_permille;
  uint64_t last_token;
  /* Workspaces of the configuration, and all versions of each one's cap, as struct
   * simulated_cap. */
  struct workspace_table *workspaces;
  /* The last version of each workspace that there was. */
  struct workspace_table *all_workspaces;
  GArray *caps;
  /* Workspace of the jobs that are submitted from now on; NULL for none. */
  const char *workspace;
  /* Duration of batch attempts, and share of attempts that fail. */
  int64_t work_ms;
  int fail_permille;
  /* Settings of the leaders that start from now on; attempts away from the rack of their data take
   * far_factor times as long, if it is not 0. */
  double far_factor;
  int64_t locality_wait_max_ms;
  /* Attempts last as long as their step estimates, instead of work_ms. */
  bool estimates_hold;
  /* Leaders learn durations, place jobs by prospect and make forecasts. */
  bool load_rules;

  /* Name to struct crashing_task. */
  GHashTable *crashing_tasks;
  /* Task name to the number of its attempts that failed by its own fault. */
  GHashTable *failures;

  /* Violations, which must stay 0. */
  unsigned duplicate_starts;
  unsigned started_after_done;
  unsigned over_capacity;
  unsigned over_spread;
  unsigned wrong_label;
  unsigned starts_out_of_order;
  unsigned over_attempts;
  unsigned over_unavailable_limit;
  unsigned over_wave_limit;
  /* Starts with a number that was sent to another endpoint before. */
  unsigned reused_attempts;
  /* Starts of a task beyond two after three endpoints have crashed under it. */
  unsigned over_crashes;
  /* Starts that brought what a workspace has running above 1.1 times its cap and one task more. */
  unsigned over_cap;
  /* Counters. */
  unsigned crashes;
  unsigned starts;
  unsigned moves;
  unsigned attempts_ended_by_moves;
  unsigned lease_extensions;
};

struct simulation *simulation_create (guint32 seed);
void simulation_destroy (struct simulation *simulation);
void simulation_add_pool (struct simulation *simulation, const char *name, bool standby);
/* Adds n hosts of 10 cores and 100 GB, 4 to a rack, each with an endpoint unless the pool is the
 * standby pool. */
void simulation_add_hosts (struct simulation *simulation, const char *pool, unsigned n);
/* Starts a leader under the next epoch; the former one ends without resigning. */
void simulation_start_new_leader (struct simulation *simulation);
/* Makes the same process lead again. It keeps all that it has learned, durable or not. */
void simulation_restart_leader (struct simulation *simulation);
/* Returns a step of tasks with one core, one GB and an estimate of a second each. */
Sp__JobStep simulation_job_step (uint32_t n_tasks);
/* Accepts a job. */
struct job *simulation_submit (struct simulation *simulation, const char *id, const char *pool,
                               const Sp__JobStep *steps, size_t n_steps, uint32_t max_attempts);
/* The same with all fields of the definition. */
struct job *simulation_submit_spec (struct simulation *simulation, const struct job_spec *spec);
void simulation_cancel (struct simulation *simulation, const char *id);
/* Adds or changes a workspace with a cap in milli-cores and MB, or removes it from the
 * configuration if the cap is NULL, and passes the configuration to the leader. */
void simulation_set_workspace (struct simulation *simulation, const char *name,
                               const struct resources *cap);
/* Advances the cluster by ms. */
void simulation_run (struct simulation *simulation, int64_t ms);
/* Returns the endpoint that runs an attempt of a task, or NULL. Sets found to the attempt unless it
 * is NULL. */
struct simulated_endpoint *simulation_find_attempt (struct simulation *simulation, const char *task,
                                                    struct simulated_attempt **found);
/* Returns what an endpoint's clock shows. */
int64_t simulated_endpoint_clock_ms (const struct simulation *simulation,
                                     const struct simulated_endpoint *endpoint);
/* Ends everything that an endpoint runs or knows. If restarts is true, it is up again at once as a
 * new incarnation under the same id. */
void simulation_crash_endpoint (struct simulation *simulation, struct simulated_endpoint *endpoint,
                                bool restarts);
/* Makes each endpoint crash that starts a task. */
void simulation_add_crashing_task (struct simulation *simulation, const char *task);
/* Crashes an endpoint with its host, which is back after some seconds with another endpoint. */
void simulation_crash_host (struct simulation *simulation, struct simulated_endpoint *endpoint);
/* Counts the jobs that are shown as failed though none of their tasks has crashed two endpoints or
 * failed as often as its queue allows. */
unsigned simulation_count_false_verdicts (const struct simulation *simulation);
/* Returns a job's state according to the journal. */
Sp__JobState simulation_job_state (const struct simulation *simulation, const char *id);
unsigned simulation_violations (const struct simulation *simulation);

#endif
