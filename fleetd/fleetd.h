#ifndef SESAMEPICK_FLEETD_FLEETD_H
#define SESAMEPICK_FLEETD_FLEETD_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "common/clock.h"
#include "common/http_server.h"
#include "common/metrics.h"
#include "common/peer_socket.h"
#include "fleetd/platform.h"
#include "lib/executor/executor.h"
#include "lib/fleet/fleet.h"
#include "lib/fleet/snapshot.h"
#include "settings.pb-c.h"

enum
{
  RECORD_ID_BYTES = 16,
  MS_PER_S = 1000,
};

struct fleetd;

/* The result of submitting a record to the log writer. */
enum write_outcome
{
  /* The record was read back from the log; the verdict is valid. */
  WRITE_READ_BACK,
  /* The record did not reach the log and will not take effect. */
  WRITE_NOT_SENT,
  /* The record was sent but not read back before the deadline: it may or may not take effect. */
  WRITE_UNKNOWN,
};

struct write_result
{
  enum write_outcome outcome;
  uint64_t offset;
  const struct verdict *verdict;
  char id[2 * RECORD_ID_BYTES + 1];
};

enum write_stage
{
  WRITE_QUEUED,
  WRITE_IN_FLIGHT,
  /* The response to the append was lost; the log is being searched for the record. */
  WRITE_UNCONFIRMED,
  /* In the log; waiting to be read back. */
  WRITE_APPENDED,
};

/* A record that has been submitted to the log and not been read back yet. */
struct write
{
  TAILQ_ENTRY (write) link;
  uint8_t id[RECORD_ID_BYTES];
  Sp__Record *record;
  size_t size;
  enum write_stage stage;
  bool may_be_in_log;
  /* An append of this record had no response. It may be carried out late. */
  bool append_lost;
  int64_t deadline_ms;
  /* May be NULL. */
  void (*done) (void *ctx, const struct write_result *result);
  void *ctx;
};

TAILQ_HEAD (write_list, write);

/* Batches records into appends, one append at a time, and tracks each record until it is read back
 * from the log. */
struct log_writer
{
  struct fleetd *fleetd;
  struct write_list queue;
  struct write_list in_flight;
  struct write_list unconfirmed;
  struct write_list appended;
  /* From record id to struct write. */
  GHashTable *by_id;
  ev_timer timer;
  /* Sequence number of the append in flight, or 0 if there is none. */
  uint64_t append_in_flight;
  /* Sequence number of the last append started. */
  uint64_t last_append_number;
  int64_t append_started_ms;
  int64_t backoff_ms;
  int64_t next_append_ms;
  /* When the response to an append was lost, and the end of the log as reported by the first read
   * that was started after that (0 until then). A record that is not found before this end was not
   * appended by then, and is sent again; the lost append may still be carried out late. */
  int64_t response_lost_ms;
  uint64_t search_end;
};

/* The offset and the verdict of a record that this process has read from the log. */
struct applied_record
{
  uint64_t offset;
  struct verdict verdict;
};

/* The records most recently read from the log, by id. */
struct record_table
{
  /* From record id in hexadecimal to struct applied_record. */
  GHashTable *by_id;
  GQueue order;
};

/* Reads the log continuously, by long polling. */
struct log_reader
{
  struct fleetd *fleetd;
  /* The next offset to read. */
  uint64_t position;
  bool stopped;
  bool read_pending;
  int64_t started_ms;
  int64_t last_ok_ms;
  /* The number of consecutive failed reads. */
  uint32_t n_failed;
  ev_timer timer;
};

enum bootstrap_stage
{
  /* Waiting for the log and the peers to report their offsets. */
  BOOTSTRAP_QUERY,
  /* Reading the end of the log to find the newest complete snapshot. */
  BOOTSTRAP_SCAN,
  /* Receiving the state of a peer. */
  BOOTSTRAP_COPY,
  /* A state was loaded and the log is being followed, but the offset is still below
   * min_ready_offset. */
  BOOTSTRAP_CATCH_UP,
  BOOTSTRAP_READY,
};

/* Obtains the state on startup, and again if the log was trimmed past the current state: from the
 * newest snapshot in the log, or from a peer. */
struct bootstrap
{
  struct fleetd *fleetd;
  enum bootstrap_stage stage;
  int64_t started_ms;
  /* The lowest offset at which this fleetd may become ready. */
  uint64_t min_ready_offset;
  /* The first offset that the log still holds, and the offset after its last entry, once known. */
  bool log_offsets_known;
  uint64_t log_first;
  uint64_t log_next;
  uint64_t scan_from;
  /* Collects the snapshot chunks found by a scan or sent by a peer. */
  struct snapshot_reader *snapshots;
  struct peer *copy_peer;
  int64_t copy_deadline_ms;
  ev_timer timer;
};

/* Another fleetd. */
struct peer
{
  LIST_ENTRY (peer) link;
  struct fleetd *fleetd;
  struct peer_link *socket;
  bool answered;
  uint64_t offset;
};

LIST_HEAD (peer_list, peer);

struct subscriber
{
  LIST_ENTRY (subscriber) link;
  GBytes *reply_to;
  char *entry;
  uint64_t have_offset;
  int64_t last_heard_ms;
};

LIST_HEAD (subscriber_list, subscriber);

/* Sends the routing table to the entryds, and exchanges offsets and states with the other
 * fleetds. */
struct feed
{
  struct fleetd *fleetd;
  struct peer_node *node;
  struct peer_list peers;
  struct subscriber_list subscribers;
  uint32_t n_subscribers;
  /* The serialized routing table as of its last change, and the same table with its offset set to
   * 0, which serves to detect changes. */
  uint64_t routes_offset;
  GBytes *table;
  GBytes *content;
  bool routes_dirty;
  /* Token bucket that limits how often the table is sent: the tokens left, and the time up to which
   * tokens were added. */
  uint32_t tokens;
  int64_t tokens_updated_ms;
  ev_timer token_timer;
  ev_timer timer;
  uint64_t bytes_sent;
  uint64_t bytes_received;
};

/* Connects the executor to the log and to the platform. */
struct executor_driver
{
  struct fleetd *fleetd;
  struct executor *executor;
  LIST_HEAD (, host_operation) operations;
  ev_timer timer;
};

/* An entry of the host list, how often it was submitted to the log, and when it may be submitted
 * again. */
struct listed_host
{
  Sp__HostSeen *seen;
  uint32_t n_sent;
  int64_t resend_ms;
};

/* Polls the platform's host list, usage reports and invoices. */
struct platform_poller
{
  struct fleetd *fleetd;
  uint64_t list_version;
  /* From host name to struct listed_host. */
  GHashTable *hosts;
  ev_timer hosts_timer;
  bool hosts_pending;
  ev_timer usage_timer;
  bool usage_pending;
  /* Sequence number after which to read usage reports. */
  uint64_t usage_since;
  /* Some reports did not reach the log: all are to be read again. */
  bool usage_reread;
  /* The last month whose invoice was requested. */
  char requested_month[8];
};

/* Writes snapshots of the state to the log. */
struct snapshots
{
  struct fleetd *fleetd;
  /* Offset of the newest complete snapshot read from the log, or of a state that was loaded
   * since. */
  uint64_t last_offset;
  /* Collects the chunks of a snapshot that is being read back. */
  struct snapshot_reader *reading;
  /* When this fleetd last submitted a snapshot; 0 once a snapshot has been read back. */
  int64_t sent_ms;
};

/* While this fleetd holds the claim: assigns queued batch tasks to hosts, starts and stops them at
 * the platform, and renews their leases. */
struct batch_scheduler
{
  struct fleetd *fleetd;
  ev_timer timer;
  /* Submitted records that were not read back yet. */
  uint32_t n_writes;
  /* From task name to struct batch_lease: the leases for which this process calls the platform. */
  GHashTable *leases;
  uint32_t n_calls;
};

/* Serves the operators' HTTP API. */
struct operators
{
  struct fleetd *fleetd;
  struct http_server *server;
  /* Changes whose records have not been read back yet. */
  uint32_t n_pending;
};

struct fleetd_metrics
{
  struct metrics all;
  struct metric appends;
  struct metric append_errors;
  struct metric appends_lost;
  struct metric records_sent;
  struct metric records_applied;
  struct metric rejected;
  struct metric duplicates;
  struct metric offset;
  struct metric routes_offset;
  struct metric log_reachable;
  struct metric ready;
  struct metric holds_claim;
  struct metric subscribers;
  struct metric platform_calls;
  struct metric platform_errors;
  struct metric platform_bytes;
  struct metric feed_bytes;
  struct metric snapshots_written;
  struct metric processor_ms;
};

struct fleetd
{
  struct ev_loop *loop;
  struct clock clock;
  const Sp__FleetdSettings *settings;
  struct platform *platform;
  struct fleet *fleet;
  struct log_writer writer;
  struct log_reader reader;
  struct record_table records;
  struct bootstrap bootstrap;
  struct feed feed;
  struct executor_driver executor_driver;
  struct platform_poller platform_poller;
  struct snapshots snapshots;
  struct batch_scheduler batch_scheduler;
  struct operators operators;
  struct http_server *admin;
  struct fleetd_metrics metrics;
  /* Of operators' bodies and of responses to them. */
  struct memory_budget memory;
  GRand *random;
  bool stopping;
  bool claim_released;
  int64_t stop_started_ms;
  int64_t stop_deadline_ms;
  ev_timer stop_timer;
};

/* The daemon as a whole (main.c). */
void fleetd_set_timer (struct fleetd *fleetd, ev_timer *timer, int64_t delay_ms);
/* Replaces the state by a loaded one and takes ownership of it. Frees it and returns false if its
 * offset is not higher than the current one. */
bool fleetd_replace_state (struct fleetd *fleetd, struct fleet *fleet);
/* Notifies all parts that depend on the state. To be called after log entries were applied. */
void fleetd_state_changed (struct fleetd *fleetd);
bool fleetd_is_ready (const struct fleetd *fleetd);
/* Returns a random number from 0 to limit - 1. */
uint32_t fleetd_random (struct fleetd *fleetd, uint32_t limit);

/* Records read from the log. */
void record_id_print (const uint8_t *id, char text[2 * RECORD_ID_BYTES + 1]);
void record_table_init (struct record_table *table);
void record_table_finish (struct record_table *table);
void record_table_add (struct record_table *table, const Sp__Record *record, uint64_t offset,
                       const struct verdict *verdict);
const struct applied_record *record_table_find (const struct record_table *table, const char *id);

/* Writing and reading the log. */
void log_writer_init (struct log_writer *writer, struct fleetd *fleetd);
void log_writer_finish (struct log_writer *writer);
/* Queues a record. Takes ownership of it and fills in id, author, seen offset and time. wait_ms is
 * how long the writer waits for it to be read back. Returns 0, or -EAGAIN while the log is
 * unreachable: the record is then freed and done is not called. */
int log_writer_submit (struct log_writer *writer, Sp__Record *record, const char *author,
                       int64_t wait_ms, void (*done) (void *ctx, const struct write_result *result),
                       void *ctx);
void log_writer_record_read (struct log_writer *writer, const Sp__Record *record, uint64_t offset,
                             const struct verdict *verdict);
/* To be called after the entries of a read were applied. started_ms is when the read was started,
 * next the offset after the last entry of the log. */
void log_writer_check_unconfirmed (struct log_writer *writer, int64_t started_ms, uint64_t next);
bool log_writer_is_idle (const struct log_writer *writer);
void log_reader_init (struct log_reader *reader, struct fleetd *fleetd);
void log_reader_finish (struct log_reader *reader);
/* Sets the offset of the next read. */
void log_reader_seek (struct log_reader *reader, uint64_t position);
bool log_reader_can_reach_log (const struct log_reader *reader);

/* Bootstrap. */
void bootstrap_init (struct bootstrap *bootstrap, struct fleetd *fleetd);
void bootstrap_finish (struct bootstrap *bootstrap);
/* Inspects a page before it is applied. Returns true if the bootstrap consumed it and it must not
 * be applied. */
bool bootstrap_handle_page (struct bootstrap *bootstrap, const Sp__LogPage *page);
void bootstrap_peer_replied (struct bootstrap *bootstrap, struct peer *peer,
                             const Sp__StateReply *reply);
void bootstrap_check_ready (struct bootstrap *bootstrap);

/* Snapshots in the log. */
void snapshots_init (struct snapshots *snapshots, struct fleetd *fleetd);
void snapshots_chunk_read (struct snapshots *snapshots, const Sp__SnapshotChunk *chunk);
void snapshots_check (struct snapshots *snapshots);
void snapshots_finish (struct snapshots *snapshots);

/* Feed to the entryds and the other fleetds. */
bool feed_init (struct feed *feed, struct fleetd *fleetd);
void feed_finish (struct feed *feed);
void feed_routes_changed (struct feed *feed);
/* Sends the routes to all subscribers that have an older table, if they have changed. */
void feed_advance (struct feed *feed);
void feed_hint_leaving (struct feed *feed, const char *host);
void feed_request_state (struct feed *feed, struct peer *peer, bool want_data);

/* Executor. */
void executor_driver_init (struct executor_driver *driver, struct fleetd *fleetd);
void executor_driver_finish (struct executor_driver *driver);
void executor_driver_claim_read (struct executor_driver *driver);
void executor_driver_advance (struct executor_driver *driver);
bool executor_driver_holds_claim (const struct executor_driver *driver);

/* Host list, usage, invoices. */
void platform_poller_init (struct platform_poller *poller, struct fleetd *fleetd);
void platform_poller_finish (struct platform_poller *poller);

/* Batch tasks. */
void batch_scheduler_init (struct batch_scheduler *scheduler, struct fleetd *fleetd);
void batch_scheduler_finish (struct batch_scheduler *scheduler);

/* Operator API and admin port. */
bool operators_init (struct operators *operators, struct fleetd *fleetd);
void operators_finish (struct operators *operators);
bool admin_init (struct fleetd *fleetd);
void admin_finish (struct fleetd *fleetd);

#endif
