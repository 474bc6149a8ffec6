#ifndef SESAMEPICK_JOBD_JOBD_H
#define SESAMEPICK_JOBD_JOBD_H

#include <ev.h>

#include "common/clock.h"
#include "common/http_client.h"
#include "common/http_server.h"
#include "common/memory_budget.h"
#include "common/metrics.h"
#include "config_state.h"
#include "lib/jobs/host_command_guard.h"
#include "lib/jobs/job_table.h"
#include "lib/jobs/queue_table.h"
#include "platform/store.h"
#include "settings.pb-c.h"
#include "topic_reader.h"
#include "writer.h"

struct leader;
struct ingress;
struct admin;
struct relay_server;
struct record_sender;
struct job_admission;

enum
{
  /* Timeouts of connecting to an endpoint, and of a command to it: a healthy one responds within
   * some milliseconds. */
  COMMAND_CONNECT_TIMEOUT_MS = 300,
  COMMAND_TIMEOUT_MS = 700,
  /* Interval of the daemon's ticks while it leads. */
  TICK_LEADING_MS = 20,
};

/* State shared by the modules of the daemon. */
struct jobd
{
  const Sp__JobdSettings *settings;
  /* Random, drawn from the system at each start independently of the seed. Part of this process's
   * producer name, so that the store never takes its appends for a repetition of appends by an
   * earlier incarnation or another host. */
  uint64_t incarnation;
  struct ev_loop *loop;
  struct clock clock;
  struct http_client *client;
  struct store *store;
  struct job_table jobs;
  struct queue_table *queues;
  /* Version and raw record of queues, and since when it is certainly the newest. */
  struct config_state config;
  /* Salt of the digests of callers' keys, drawn at each start. */
  struct workspace_salt key_salt;
  /* Readers of the journal and of the operators' topic. */
  struct topic_reader *journal;
  struct topic_reader *operators;
  /* Appends this host's records to the journal. */
  struct writer *writer;
  /* Makes the records of callers (jobs and cancellations) durable. */
  struct record_sender *records;
  struct leader *leader;
  struct ingress *ingress;
  struct admin *admin;
  /* Sends commands of other hosts that lead; NULL if this host doesn't. */
  struct relay_server *relay_server;
  /* Refuses jobs because of the load; NULL where load_admission is 0. */
  struct job_admission *admission;
  struct host_command_guard host_guard;
  /* Entry hosts that the journal names: name to relay address, and the set of the names of those
   * with ample CPU. */
  GHashTable *relays;
  GHashTable *ample_hosts;
  struct metrics metrics;
  /* Of what callers send, their records on the way to the store and their responses. */
  struct memory_budget memory;
  bool stopping;
  /* Time of the last tick; 0 before the first. */
  int64_t last_tick_ms;
};

/* Updates the clock and returns the monotonic time in milliseconds; ctx is the struct jobd. */
int64_t jobd_now_ms (void *ctx);
/* Returns when the store last responded to a read of this process; ctx is the struct jobd. */
int64_t jobd_store_heard_ms (void *ctx);
/* Notes up to when this host has read the configuration itself. */
void jobd_confirm_config (struct jobd *jobd);
/* Returns how long before now_ms the configuration in force was last confirmed to be the newest. */
int64_t jobd_config_age_ms (struct jobd *jobd, int64_t now_ms);
/* Returns whether there is a configuration with workspaces, so that callers need keys. */
bool jobd_has_workspaces (const struct jobd *jobd);

/* leader.c */
struct leader *leader_create (struct jobd *jobd);
void leader_destroy (struct leader *leader);
void leader_tick (struct leader *leader);
/* Called after the event loop has stalled. Pauses scheduling until the journal has been read again,
 * because another host may lead by now. */
void leader_pause (struct leader *leader);
/* Handles a leadership record from the journal, already applied to the job table. */
void leader_on_leadership_record (struct leader *leader, int64_t offset);
void leader_job_defined (struct leader *leader, struct job *job);
void leader_job_cancelled (struct leader *leader, struct job *job);
void leader_job_removed (struct leader *leader, struct job *job);
/* Handles a change of another host's relay; address is empty if it has none any more. */
void leader_relay_changed (struct leader *leader, const char *name, const char *address);
void leader_config_changed (struct leader *leader);
/* Handles a record of the operators' topic other than the configuration. */
void leader_handle_operator_record (struct leader *leader, const struct store_record *record);
/* Keeps a wave's progress, for the scheduler of a later leadership of this host. */
void leader_store_wave_progress (struct leader *leader, const Sp__WaveProgress *progress);
/* Resigns before a planned stop. */
void leader_resign (struct leader *leader);
bool leader_is_leading (const struct leader *leader);
/* Returns the epoch of this host's last claim, whatever became of it; 0 if it has claimed none. */
uint64_t leader_claimed_epoch (const struct leader *leader);
/* Called when the newest records of the journal have been loaded. */
void leader_on_journal_loaded (struct leader *leader);

/* ingress.c */
int ingress_create (struct jobd *jobd);
void ingress_destroy (struct ingress *ingress);
/* Called for each record read from the journal. Answers the callers that wait for the record with
 * this key. */
void ingress_on_journal_record (struct ingress *ingress, const char *key);
/* Answers the requests whose deadline is near. */
void ingress_tick (struct ingress *ingress);
/* Accepts no more connections; open ones close after their next response. */
void ingress_quiesce (struct ingress *ingress);
/* Returns the number of requests that have not been answered yet. */
unsigned ingress_open_requests (const struct ingress *ingress);
/* Returns the callers' port. */
const struct http_server *ingress_server (const struct ingress *ingress);

/* admin.c */
int admin_create (struct jobd *jobd);
void admin_destroy (struct admin *admin);
/* Returns whether callers should be sent to this host. */
bool jobd_is_ready (const struct jobd *jobd);

#endif
