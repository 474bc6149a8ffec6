#ifndef SESAMEPICK_JOBD_LEADER_STATE_H
#define SESAMEPICK_JOBD_LEADER_STATE_H

#include "command_sender.h"
#include "jobd.h"
#include "lib/jobs/leadership_lease.h"
#include "lib/jobs/loop_load.h"
#include "lib/jobs/scheduler.h"
#include "platform/command_client.h"
#include "workspace_metrics.h"

/* State shared by leader.c and scheduling.c. */

enum
{
  /* Upper bound of a producer's first sequence number. */
  FIRST_SEQUENCE_MAX = 1 << 30,
  /* Minimum time between two reads of the registry, unless there was a host command lately. */
  REGISTRY_INTERVAL_MS = 300,
  /* How long a new leader waits for the registry before it reads the machine list. */
  REGISTRY_LOAD_WAIT_MS = 400,
};

enum leader_phase
{
  /* Another host leads, or none. */
  LEADER_FOLLOWING,
  /* The claim has been sent to the store. */
  LEADER_CLAIMING,
  /* The claim is durable; the journal is being read up to it. */
  LEADER_CATCHING_UP,
  /* The scheduler runs. */
  LEADER_LEADING,
};

struct host_command_queue;

struct leader
{
  struct jobd *jobd;
  enum leader_phase phase;
  /* Epoch and journal offset of this host's last claim. */
  uint64_t epoch;
  int64_t claim_offset;
  /* When the last leadership record was read. */
  int64_t leader_seen_ms;
  /* When the event loop went on after its last stall; 0 if there was none. */
  int64_t resumed_ms;
  /* Random fraction, 0 to 1, of the time span over which hosts claim; see
   * leader_election_draw_fraction. */
  double claim_delay_fraction;
  /* The store is being checked before a claim, and when this may begin again. */
  bool claim_check_pending;
  int64_t next_claim_check_ms;
  /* Whether this host keeps up as a leader, since when it leads, when a resignation was last read,
   * and until when this host leaves claims to others because it was late. */
  struct loop_load load;
  int64_t leading_since_ms;
  int64_t resigned_ms;
  int64_t abstain_until_ms;
  /* Why to step down in the next tick; NULL if not. Set in callbacks, which must not destroy what
   * called them. */
  const char *step_down_reason;
  /* When a stall of the event loop was detected; 0 once the journal has been read since. */
  int64_t stall_seen_ms;
  /* Client and writer of this host's claim and leadership. */
  struct store *store;
  struct writer *writer;
  /* Writes the wave states that operators read; NULL until the first. */
  struct writer *status_writer;
  struct command_client *commands;
  struct command_sender *sender;
  /* NULL where the platform checks the tokens of host commands. */
  struct host_command_queue *host_commands;
  struct scheduler *scheduler;
  struct topic_reader *registry;
  struct store *registry_store;
  /* When the last leadership record (claim, heartbeat or resignation) was sent, and when the last
   * durable claim or heartbeat was. */
  int64_t heartbeat_sent_ms;
  int64_t heartbeat_durable_ms;
  /* When this host's last claim and its resignation were sent; 0 if it has not resigned. */
  int64_t claim_sent_ms;
  int64_t resignation_sent_ms;
  /* What the journal says of the leaders before this host. */
  struct former_leaders former;
  /* Leases are cut short, because this host may have been replaced. */
  bool leases_limited;
  bool heartbeat_in_flight;
  /* No heartbeats are written because the journal can't be read. */
  bool silent;
  /* Progress records that are not durable yet. */
  unsigned n_unflushed;
  /* Number of host commands sent under this epoch. */
  uint64_t n_host_commands;
  /* When to read the machine list next, and until when it and the registry are read more often. */
  int64_t next_host_list_ms;
  /* When this leader last requested it; 0 if it has not. */
  int64_t host_list_sent_ms;
  int64_t hosts_busy_until_ms;
  int64_t next_purge_ms;
  /* Wave requests from operators: key to GBytes. */
  GHashTable *wave_requests;
  /* Packed Sp__WaveProgress of each wave, by wave number. */
  GHashTable *wave_progress;
  /* The last version of each workspace that this host has seen in a configuration. */
  struct workspace_table *all_workspaces;
  struct workspace_metrics *by_workspace;
  struct metric leading;
  struct metric claims;
  struct metric tasks_running;
  struct metric tasks_ready;
  struct metric starts;
  /* Attempts that were lost with their endpoint or its lease. */
  struct metric lapses;
  /* The same by how the endpoint ended, in the order of enum endpoint_end. */
  struct metric attempts_lost[3];
  /* Crashes counted for tasks that may have caused them, trials of such tasks, and jobs that were
   * given up. */
  struct metric crashes_counted;
  struct metric trials;
  struct metric trials_survived;
  struct metric jobs_given_up;
  struct metric jobs_invalid;
  struct metric waits;
  struct metric waits_won;
  struct metric waits_lost;
  struct metric waited_ms;
  struct metric far_factor;
  struct metric moves;
  struct metric endpoints_unresponsive;
  struct metric relays_used;
  struct metric_histogram start_time;
};

/* leader.c */
int64_t leader_now_ms (const struct leader *leader);
/* Same as leader_now_ms, as a callback whose ctx is the leader. */
int64_t leader_clock (void *ctx);
uint64_t leader_random_sequence (const struct leader *leader);
/* Requests that the leadership ends in the next tick. Only the first reason counts. */
void leader_request_step_down (struct leader *leader, const char *reason);

/* scheduling.c */
/* Sends a command for a host: a move to a pool, or maintenance in a wave if pool is NULL. */
void leader_send_host_command (struct leader *leader, struct host *host, const char *pool,
                               uint32_t wave);
/* Starts the scheduler, once the journal has been read up to the claim. */
void leader_start_scheduling (struct leader *leader);

#endif
