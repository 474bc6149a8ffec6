#include <string.h>
#include <xxhash.h>

#include "common/log.h"
#include "host_command_queue.h"
#include "job_admission.h"
#include "leader_state.h"
#include "lib/jobs/leader_election.h"
#include "relay_server.h"

/* Leader election and leadership. The leader's journal appends carry its epoch, and its commands
 * carry the epoch in their fence. A replaced leader therefore can write nothing, and an endpoint
 * that has heard from the new leader rejects its commands. */

enum
{
  /* Interval of the leader's heartbeat records; the leader timeout covers three of them. */
  HEARTBEAT_INTERVAL_MS = 350,
  /* A leader that has not read the journal to its end for this long writes no heartbeats. Longer
   * than a read without a response and the one after it take. */
  JOURNAL_UNREAD_MAX_MS = 2500,
  /* Minimum time between two checks of the store before a claim. */
  CLAIM_CHECK_INTERVAL_MS = 250,
  /* Minimum time between two appends, so that progress is written in batches. */
  LEADER_APPEND_INTERVAL_MS = 25,
  /* Minimum time between two reads of the journal. */
  FOLLOWER_READ_INTERVAL_MS = 150,
  LEADER_READ_INTERVAL_MS = 50,
  /* Minimum time between two reads of the registry for a while after a host command, so that the
   * host's new endpoint is used as soon as it registers. */
  REGISTRY_BUSY_INTERVAL_MS = 80,
  /* Interval of reading the machine list, normally and for a while after a host command. */
  HOST_LIST_INTERVAL_MS = 1500,
  HOST_LIST_BUSY_INTERVAL_MS = 400,
  /* Interval of the search for jobs to purge. Ended jobs are purged after twice the time for which
   * callers may query their state. */
  PURGE_INTERVAL_MS = 5000,
  /* After a stall of the event loop, the leader pauses until the journal has been read again, but
   * no longer than this. */
  STALL_PAUSE_MAX_MS = 1500,
};

int64_t
leader_now_ms (const struct leader *leader)
{
  return jobd_now_ms (leader->jobd);
}

int64_t
leader_clock (void *ctx)
{
  return leader_now_ms (ctx);
}

/* Labels of the counters of lost attempts, in the order of enum endpoint_end. */
static const char *const endpoint_end_labels[] = { "end=\"crash\"", "end=\"planned\"",
                                                   "end=\"unknown\"" };

/* Registers the metrics of waits for capacity on a rack. */
static void
leader_add_locality_metrics (struct leader *leader)
{
  struct metrics *metrics = &leader->jobd->metrics;

  metric_add_counter (metrics, &leader->waits, "sesamepick_jobd_locality_waits_total", "",
                      "Waits of tasks and gangs for capacity on a rack.");
  metric_add_counter (metrics, &leader->waits_won, "sesamepick_jobd_locality_waits_won_total", "",
                      "Waits that ended with a start on the rack.");
  metric_add_counter (metrics, &leader->waits_lost, "sesamepick_jobd_locality_waits_lost_total", "",
                      "Waits that ended without a start on the rack.");
  metric_add_counter (metrics, &leader->waited_ms,
                      "sesamepick_jobd_locality_waited_milliseconds_total", "",
                      "Sum of the times of these waits.");
  metric_add_gauge (metrics, &leader->far_factor, "sesamepick_jobd_locality_factor_permille", "",
                    "Factor that tasks take longer away from their data, in thousandths, as of the "
                    "task that ended last.");
}

struct leader *
leader_create (struct jobd *jobd)
{
  struct leader *leader = g_new0 (struct leader, 1);
  struct metrics *metrics = &jobd->metrics;

  leader->jobd = jobd;
  leader->wave_requests =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_bytes_unref);
  leader->wave_progress =
      g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, (GDestroyNotify) g_bytes_unref);
  leader->all_workspaces = workspace_table_create ();
  leader->by_workspace = workspace_metrics_create (metrics);
  leader->claim_delay_fraction = leader_election_draw_fraction (1.0 - g_random_double ());
  metric_add_gauge (metrics, &leader->leading, "sesamepick_jobd_leading", "",
                    "1 while this host leads.");
  metric_add_counter (metrics, &leader->claims, "sesamepick_jobd_claims_total", "",
                      "Claims of the leadership.");
  metric_add_gauge (metrics, &leader->tasks_running, "sesamepick_jobd_tasks_running", "",
                    "Tasks that run or may run.");
  metric_add_gauge (metrics, &leader->tasks_ready, "sesamepick_jobd_tasks_ready", "",
                    "Tasks that wait for room.");
  metric_add_counter (metrics, &leader->starts, "sesamepick_jobd_starts_total", "",
                      "Starts of tasks that were ordered.");
  metric_add_counter (metrics, &leader->lapses, "sesamepick_jobd_lapses_total", "",
                      "Runs that were lost with their endpoint or its lease.");
  for (size_t i = 0; i < G_N_ELEMENTS (leader->attempts_lost); i++)
    metric_add_counter (metrics, &leader->attempts_lost[i], "sesamepick_jobd_attempts_lost_total",
                        endpoint_end_labels[i],
                        "Attempts that were lost, by how their endpoint ended.");
  metric_add_counter (metrics, &leader->crashes_counted, "sesamepick_jobd_crashes_counted_total",
                      "", "Crashes of endpoints that were counted for tasks started just before.");
  metric_add_counter (metrics, &leader->trials, "sesamepick_jobd_trials_total", "",
                      "Starts of suspect tasks on trial.");
  metric_add_counter (metrics, &leader->trials_survived, "sesamepick_jobd_trials_survived_total",
                      "", "Trials that the endpoint outlived.");
  metric_add_counter (metrics, &leader->jobs_given_up, "sesamepick_jobd_jobs_given_up_total", "",
                      "Jobs that failed because a task crashes endpoints.");
  metric_add_counter (metrics, &leader->jobs_invalid, "sesamepick_jobd_jobs_invalid_total", "",
                      "Stored jobs that failed because their definition can't be run.");
  leader_add_locality_metrics (leader);
  metric_add_counter (metrics, &leader->moves, "sesamepick_jobd_host_moves_total", "",
                      "Moves of hosts that were ordered.");
  metric_add_gauge (metrics, &leader->endpoints_unresponsive, "sesamepick_jobd_endpoints_silent",
                    "", "Endpoints that do not answer.");
  metric_add_gauge (metrics, &leader->relays_used, "sesamepick_jobd_relays_used", "",
                    "Hosts that send this leader's commands to endpoints.");
  metric_histogram_add (metrics, &leader->start_time, "sesamepick_jobd_first_start_seconds",
                        "Time from learning of a job to the start of its first task.");
  return leader;
}

/* Ends a leadership or a claim and frees what belongs to it. */
static void
leader_step_down (struct leader *leader)
{
  log_info ("leader", "leadership ended: epoch=%" G_GUINT64_FORMAT " reason=\"%s\"", leader->epoch,
            leader->step_down_reason);
  leader->step_down_reason = NULL;
  leader->phase = LEADER_FOLLOWING;
  leader->leader_seen_ms = leader_now_ms (leader);
  leader->heartbeat_in_flight = false;
  leader->silent = false;
  leader->leases_limited = false;
  leader->n_unflushed = 0;
  if (leader->registry)
    {
      store_destroy (leader->registry_store);
      topic_reader_destroy (leader->registry);
      leader->registry = NULL;
    }
  if (leader->commands)
    command_client_destroy (leader->commands);
  leader->commands = NULL;
  if (leader->host_commands)
    host_command_queue_destroy (leader->host_commands);
  leader->host_commands = NULL;
  if (leader->scheduler)
    scheduler_destroy (leader->scheduler);
  leader->scheduler = NULL;
  store_destroy (leader->store);
  writer_destroy (leader->writer);
  leader->writer = NULL;
  if (leader->sender)
    command_sender_destroy (leader->sender);
  leader->sender = NULL;
  if (leader->status_writer)
    writer_destroy (leader->status_writer);
  leader->status_writer = NULL;
  topic_reader_set_min_interval (leader->jobd->journal, FOLLOWER_READ_INTERVAL_MS);
}

/* Unregisters the metrics. */
static void
leader_remove_metrics (struct leader *leader)
{
  struct metric *const metrics[] = { &leader->leading,       &leader->claims,
                                     &leader->tasks_running, &leader->tasks_ready,
                                     &leader->starts,        &leader->lapses,
                                     &leader->moves,         &leader->endpoints_unresponsive,
                                     &leader->relays_used,   &leader->crashes_counted,
                                     &leader->trials,        &leader->trials_survived,
                                     &leader->jobs_given_up, &leader->waits,
                                     &leader->waits_won,     &leader->waits_lost,
                                     &leader->waited_ms,     &leader->far_factor,
                                     &leader->jobs_invalid };

  for (size_t i = 0; i < G_N_ELEMENTS (metrics); i++)
    metric_remove (metrics[i]);
  for (size_t i = 0; i < G_N_ELEMENTS (leader->attempts_lost); i++)
    metric_remove (&leader->attempts_lost[i]);
  metric_histogram_remove (&leader->start_time);
}

/* Ends a leadership, if there is one, and frees the state. */
void
leader_destroy (struct leader *leader)
{
  if (leader->phase != LEADER_FOLLOWING)
    {
      leader->step_down_reason = "stop";
      leader_step_down (leader);
    }
  leader_remove_metrics (leader);
  workspace_metrics_destroy (leader->by_workspace);
  workspace_table_destroy (leader->all_workspaces);
  g_hash_table_destroy (leader->wave_requests);
  g_hash_table_destroy (leader->wave_progress);
  g_free (leader);
}

uint64_t
leader_claimed_epoch (const struct leader *leader)
{
  return leader->epoch;
}

void
leader_on_journal_loaded (struct leader *leader)
{
  former_leaders_loaded (&leader->former, leader_now_ms (leader));
}

bool
leader_is_leading (const struct leader *leader)
{
  return leader->phase == LEADER_LEADING;
}

void
leader_request_step_down (struct leader *leader, const char *reason)
{
  if (leader->phase != LEADER_FOLLOWING && !leader->step_down_reason)
    leader->step_down_reason = reason;
}

/* Returns a packed leadership record. */
static GBytes *
leadership_pack (const struct leader *leader, bool resigned)
{
  Sp__JobRecord record = SP__JOB_RECORD__INIT;
  Sp__Leadership leadership = SP__LEADERSHIP__INIT;

  leadership.epoch = leader->epoch;
  leadership.node = leader->jobd->settings->name;
  leadership.resigned = resigned;
  leadership.earlier_leases_ended =
      leader->scheduler &&
      scheduler_earlier_leases_ended (leader->scheduler, leader_now_ms (leader));
  record.body_case = SP__JOB_RECORD__BODY_LEADERSHIP;
  record.leadership = &leadership;
  return job_record_pack (&record);
}

/* Appends a leadership record: a claim, a heartbeat or a resignation. */
static void
leader_append_leadership (struct leader *leader, bool resigned, writer_done *done)
{
  g_autoptr (GBytes) value = leadership_pack (leader, resigned);
  gsize len;
  const void *data = g_bytes_get_data (value, &len);

  leader->heartbeat_sent_ms = leader_now_ms (leader);
  writer_append (leader->writer, "leader", data, len, done, leader);
}

/* Handles the result of a claim: durable, or rejected because another host claimed the epoch
 * first. */
static void
leader_on_claim (void *ctx, const struct writer_outcome *outcome)
{
  struct leader *leader = ctx;

  if (outcome->result != WRITER_DURABLE)
    {
      leader_request_step_down (leader, "another host claimed the epoch first");
      return;
    }
  leader->phase = LEADER_CATCHING_UP;
  leader->claim_offset = outcome->offset;
  leader->heartbeat_durable_ms = leader->heartbeat_sent_ms;
  topic_reader_set_min_interval (leader->jobd->journal, LEADER_READ_INTERVAL_MS);
  log_info ("leader", "claim durable: epoch=%" G_GUINT64_FORMAT " offset=%" G_GINT64_FORMAT,
            leader->epoch, outcome->offset);
}

/* Returns a random first sequence number. It differs for each claim of each host, so that the store
 * can tell apart two claims of the same epoch. */
uint64_t
leader_random_sequence (const struct leader *leader)
{
  uint64_t claim = (uint64_t) leader->claims.value;

  return 1 + XXH3_64bits_withSeed (&claim, sizeof claim, leader->jobd->incarnation) %
                 FIRST_SEQUENCE_MAX;
}

/* Claims the leadership with the next epoch. */
static void
leader_claim (struct leader *leader)
{
  struct jobd *jobd = leader->jobd;
  struct writer_config config = {
    .topic = STORE_TOPIC_JOURNAL,
    .partition = STORE_PARTITION_JOURNAL,
    .producer = "sesamepick-leader",
    .epoch = jobd->jobs.leader_epoch + 1,
    .first_sequence = leader_random_sequence (leader),
    .producer_is_shared = true,
    .min_interval_ms = LEADER_APPEND_INTERVAL_MS,
    .keep_while_unavailable = true,
    .now_ms = jobd_now_ms,
    .store_heard_ms = jobd_store_heard_ms,
    .ctx = jobd,
  };

  leader->phase = LEADER_CLAIMING;
  leader->epoch = config.epoch;
  leader->claims.value++;
  leader->store = store_create (jobd->client, jobd->settings->store);
  leader->writer = writer_create (jobd->loop, leader->store, &config);
  log_info ("leader",
            "claiming: epoch=%" G_GUINT64_FORMAT
            " former=%s resigned=%d silent_ms=%" G_GINT64_FORMAT,
            leader->epoch, jobd->jobs.leader_node ? jobd->jobs.leader_node : "none",
            jobd->jobs.leader_resigned, leader_now_ms (leader) - leader->leader_seen_ms);
  leader_append_leadership (leader, false, leader_on_claim);
  leader->claim_sent_ms = leader->heartbeat_sent_ms;
  leader->resignation_sent_ms = 0;
}

/* Returns whether the last leadership record is by an earlier incarnation of this process, which is
 * certainly gone: it has this host's name and a higher epoch than this process ever claimed. A
 * leadership of this process itself doesn't count: another host may have replaced it in a record
 * that this host has not read yet. */
static bool
leader_is_earlier_process (const struct leader *leader)
{
  const struct job_table *table = &leader->jobd->jobs;

  return table->leader_node && strcmp (table->leader_node, leader->jobd->settings->name) == 0 &&
         table->leader_epoch > leader->epoch;
}

/* Returns whether the current leader counts as gone and this host should claim now. */
static bool
leader_should_claim (const struct leader *leader)
{
  const struct jobd *jobd = leader->jobd;
  const struct job_table *table = &jobd->jobs;
  struct leader_election election = {
    .had_leader = table->leader_node != NULL,
    .resigned = table->leader_resigned,
    .leader_seen_ms = leader->leader_seen_ms,
    .journal_readable_since_ms = topic_reader_healthy_since_ms (jobd->journal),
    .journal_read_ms = topic_reader_read_to_end_ms (jobd->journal),
    .resumed_ms = leader->resumed_ms,
    .link_silent =
        jobd->relay_server &&
        leader_link_is_silent (relay_server_heard_ms (jobd->relay_server, table->leader_epoch),
                               leader_now_ms (leader)),
    .append_ms = writer_latency_ms (jobd->writer),
    .timeout_ms = jobd->settings->leader_timeout_ms,
    .delay_fraction = leader->claim_delay_fraction,
    .processor_share = jobd->settings->processor_share,
    .ample_host_known = g_hash_table_size (jobd->ample_hosts) > 0,
  };

  if (jobd->stopping || !jobd->queues || !topic_reader_is_loaded (jobd->journal) ||
      leader_now_ms (leader) < leader->abstain_until_ms)
    return false;
  if (!table->leader_resigned && leader_is_earlier_process (leader) &&
      election.journal_readable_since_ms > 0)
    return true;
  return leader_election_is_due (&election, leader_now_ms (leader));
}

/* Claims the leadership after a read that reached the journal's end, unless that has shown a newer
 * record. */
static void
leader_on_claim_read (void *ctx, bool success)
{
  struct leader *leader = ctx;

  leader->claim_check_pending = false;
  if (success && leader->phase == LEADER_FOLLOWING && leader_should_claim (leader))
    leader_claim (leader);
}

/* Reads the journal to its end once the store has carried out an append of this host. */
static void
leader_on_claim_append (void *ctx, const struct writer_outcome *outcome)
{
  struct leader *leader = ctx;

  if (outcome->result == WRITER_DURABLE)
    topic_reader_read_to_end (leader->jobd->journal, leader_on_claim_read, leader);
  else
    leader->claim_check_pending = false;
}

/* Before a claim, appends this host's own record and reads the journal to its end. A claim that is
 * sent while the store is away, or carries out no appends, may be carried out at any time later, so
 * that this host could no longer confirm to the leader that no other leads, and the leader would
 * have to let its leases run out. A host without a relay server confirms nothing and only reads. */
static void
leader_check_before_claim (struct leader *leader)
{
  struct jobd *jobd = leader->jobd;
  int64_t now_ms = leader_now_ms (leader);

  if (leader->claim_check_pending || now_ms < leader->next_claim_check_ms)
    return;
  leader->claim_check_pending = true;
  leader->next_claim_check_ms = now_ms + CLAIM_CHECK_INTERVAL_MS;
  if (jobd->relay_server)
    relay_server_append_record (jobd->relay_server, leader_on_claim_append, leader);
  else
    topic_reader_read_to_end (jobd->journal, leader_on_claim_read, leader);
}

void
leader_on_leadership_record (struct leader *leader, int64_t offset)
{
  const struct job_table *table = &leader->jobd->jobs;

  (void) offset;
  leader->leader_seen_ms = leader_now_ms (leader);
  if (table->leader_resigned)
    leader->resigned_ms = leader->leader_seen_ms;
  former_leaders_record_read (&leader->former, table->leader_epoch, table->leader_resigned,
                              table->earlier_leases_ended, leader->leader_seen_ms);
  if (leader_is_earlier_process (leader))
    former_leaders_process_ended (&leader->former);
  if (leader->phase == LEADER_FOLLOWING)
    return;
  if (table->leader_epoch > leader->epoch)
    leader_request_step_down (leader, "a higher epoch was read");
  else if (table->leader_epoch == leader->epoch &&
           strcmp (table->leader_node, leader->jobd->settings->name) != 0)
    leader_request_step_down (leader, "another host claimed the same epoch");
}

/* Handles the result of a heartbeat: durable, or rejected because another host has used this epoch
 * or a higher one. */
static void
leader_on_heartbeat (void *ctx, const struct writer_outcome *outcome)
{
  struct leader *leader = ctx;

  leader->heartbeat_in_flight = false;
  if (outcome->result != WRITER_DURABLE)
    {
      leader_request_step_down (
          leader, "heartbeat rejected: another host has used this epoch or a newer one");
      return;
    }
  /* A resignation has been sent since. */
  if (leader->resignation_sent_ms == 0)
    leader->heartbeat_durable_ms = leader->heartbeat_sent_ms;
}

/* Handles the result of a progress record: durable, or rejected because another host has used this
 * epoch or a higher one. */
static void
leader_on_progress (void *ctx, const struct writer_outcome *outcome)
{
  struct leader *leader = ctx;

  if (outcome->result != WRITER_DURABLE)
    {
      leader_request_step_down (
          leader, "progress record rejected: another host has used this epoch or a newer one");
      return;
    }
  leader->n_unflushed--;
  if (leader->n_unflushed == 0 && leader->scheduler)
    scheduler_flushed (leader->scheduler, true, leader_now_ms (leader));
}

/* Appends one progress record. The job table applies it when it is read back from the journal. */
static void
leader_append_progress (void *ctx, const Sp__JobRecord *record)
{
  struct leader *leader = ctx;
  g_autofree char *key = job_record_key (record);
  g_autoptr (GBytes) value = job_record_pack (record);
  gsize len;
  const void *data = g_bytes_get_data (value, &len);

  leader->n_unflushed++;
  writer_append (leader->writer, key, data, len, leader_on_progress, leader);
}

/* Returns whether the leader may write heartbeats. One that can't read the journal learns of no new
 * job, so it leaves the leadership to a host that can read, if there is one: it is replaced when it
 * has been silent for long enough. Until then it goes on with the jobs that it knows. */
static bool
leader_may_send_heartbeat (struct leader *leader)
{
  int64_t unread_ms = leader_now_ms (leader) - topic_reader_caught_up_ms (leader->jobd->journal);
  bool silent = unread_ms > JOURNAL_UNREAD_MAX_MS;

  if (silent != leader->silent)
    log_warning ("leader",
                 "heartbeats %s: epoch=%" G_GUINT64_FORMAT " journal_unread_ms=%" G_GINT64_FORMAT,
                 silent ? "stopped, the journal is unread" : "again, the journal is read",
                 leader->epoch, unread_ms);
  leader->silent = silent;
  return !silent;
}

/* Appends the scheduler's progress and, when due, a heartbeat. */
static void
leader_append_records (struct leader *leader)
{
  int64_t now_ms = leader_now_ms (leader);

  if (leader->n_unflushed == 0 && scheduler_is_dirty (leader->scheduler))
    scheduler_collect (leader->scheduler, leader_append_progress, leader);
  if (!leader->heartbeat_in_flight && leader->resignation_sent_ms == 0 &&
      now_ms - leader->heartbeat_sent_ms >= HEARTBEAT_INTERVAL_MS &&
      leader_may_send_heartbeat (leader))
    {
      leader->heartbeat_in_flight = true;
      leader_append_leadership (leader, false, leader_on_heartbeat);
    }
}

/* Drops the records of jobs that ended long ago from the journal. */
static void
leader_purge_jobs (struct leader *leader)
{
  struct jobd *jobd = leader->jobd;
  int64_t now_ms = leader_now_ms (leader);
  GHashTableIter each;
  gpointer value;

  if (now_ms < leader->next_purge_ms)
    return;
  leader->next_purge_ms = now_ms + PURGE_INTERVAL_MS;
  g_hash_table_iter_init (&each, jobd->jobs.jobs);
  while (g_hash_table_iter_next (&each, NULL, &value))
    {
      struct job *job = value;
      g_auto (GStrv) keys = NULL;

      if (!job_state_is_final (job->state) || job->scheduled || job->ended_ms == 0 ||
          now_ms - job->ended_ms < 2 * (int64_t) jobd->settings->status_ms)
        continue;
      /* Delays another deletion of the records by the same time; the job is removed from the table
       * as soon as this one has been read from the journal. */
      job->ended_ms = now_ms;
      keys = job_record_keys (job->id);
      for (char **key = keys; *key; key++)
        writer_append (leader->writer, *key, "", 0, NULL, NULL);
    }
}

/* Checks the relays, and copies the scheduler's counts into the metrics. */
static void
leader_update_counts (struct leader *leader)
{
  struct scheduler_counts counts = { 0 };

  if (leader->scheduler)
    scheduler_get_counts (leader->scheduler, &counts);
  leader->leading.value = leader->phase == LEADER_LEADING;
  leader->tasks_running.value = counts.tasks_running;
  leader->tasks_ready.value = counts.tasks_ready;
  leader->starts.value = (int64_t) counts.starts;
  leader->lapses.value = (int64_t) counts.lapses;
  for (size_t i = 0; i < G_N_ELEMENTS (leader->attempts_lost); i++)
    leader->attempts_lost[i].value = (int64_t) counts.attempts_lost[i];
  leader->moves.value = (int64_t) counts.moves;
  leader->crashes_counted.value = (int64_t) counts.crashes_counted;
  leader->trials.value = (int64_t) counts.trials;
  leader->trials_survived.value = (int64_t) counts.trials_survived;
  leader->jobs_given_up.value = (int64_t) counts.jobs_given_up;
  leader->jobs_invalid.value = (int64_t) counts.jobs_invalid;
  leader->waits.value = (int64_t) counts.waits;
  leader->waits_won.value = (int64_t) counts.waits_won;
  leader->waits_lost.value = (int64_t) counts.waits_lost;
  leader->waited_ms.value = (int64_t) counts.waited_ms;
  leader->far_factor.value = counts.far_factor_permille;
  leader->endpoints_unresponsive.value = counts.endpoints_unresponsive;
  workspace_metrics_update (leader->by_workspace,
                            leader->scheduler ? scheduler_count_workspaces (leader->scheduler)
                                              : NULL);
  leader->relays_used.value = leader->sender ? command_sender_relays (leader->sender) : 0;
  if (leader->sender)
    command_sender_tick (leader->sender, counts.endpoints);
}

/* Limits the leases that the scheduler grants to those that a successor knows of. */
static void
leader_limit_leases (struct leader *leader, int64_t now_ms)
{
  int64_t lease_ms = leader->jobd->settings->lease_ms;
  int64_t confirmed_ms = command_sender_confirmed_ms (leader->sender);
  int64_t end_ms = leadership_leases_end_ms (leader->heartbeat_durable_ms, confirmed_ms, lease_ms);
  bool limited;

  if (leader->resignation_sent_ms > 0)
    end_ms = MIN (end_ms, leader->resignation_sent_ms + lease_ms);
  limited = end_ms - now_ms < lease_ms / 2;
  if (limited != leader->leases_limited)
    log_warning ("leader",
                 "%s: epoch=%" G_GUINT64_FORMAT " record_age_ms=%" G_GINT64_FORMAT
                 " leases_end_in_ms=%" G_GINT64_FORMAT,
                 limited ? "no task is started and leases run out, another host may lead"
                         : "tasks are started again",
                 leader->epoch, now_ms - leader->heartbeat_durable_ms, end_ms - now_ms);
  leader->leases_limited = limited;
  scheduler_set_leadership (leader->scheduler, MAX (leader->heartbeat_durable_ms, confirmed_ms),
                            end_ms);
}

/* Requests the machine list when it is due: more often after a host command, and while it is to
 * show what became of an unresponsive endpoint. */
static void
leader_request_host_list (struct leader *leader, int64_t now_ms)
{
  bool soon = now_ms < leader->hosts_busy_until_ms || scheduler_awaits_hosts (leader->scheduler);
  int64_t interval_ms = soon ? HOST_LIST_BUSY_INTERVAL_MS : HOST_LIST_INTERVAL_MS;

  if (leader->host_list_sent_ms > 0)
    leader->next_host_list_ms =
        MIN (leader->next_host_list_ms, leader->host_list_sent_ms + interval_ms);
  if (now_ms < leader->next_host_list_ms || !command_client_list_hosts (leader->commands))
    return;
  leader->host_list_sent_ms = now_ms;
  leader->next_host_list_ms = now_ms + interval_ms;
}

/* Runs one scheduling pass, unless scheduling is paused after a stall of the event loop. */
static void
leader_run_pass (struct leader *leader)
{
  struct jobd *jobd = leader->jobd;
  int64_t now_ms = leader_now_ms (leader);

  if (leader->stall_seen_ms > 0 &&
      topic_reader_caught_up_ms (jobd->journal) <= leader->stall_seen_ms &&
      now_ms - leader->stall_seen_ms < STALL_PAUSE_MAX_MS)
    return;
  leader->stall_seen_ms = 0;
  scheduler_allow_host_commands (leader->scheduler,
                                 now_ms - leader->heartbeat_durable_ms < LEADERSHIP_VALID_MS);
  topic_reader_set_min_interval (leader->registry, now_ms < leader->hosts_busy_until_ms
                                                       ? REGISTRY_BUSY_INTERVAL_MS
                                                       : REGISTRY_INTERVAL_MS);
  leader_request_host_list (leader, now_ms);
  leader_limit_leases (leader, now_ms);
  scheduler_set_journal_read (leader->scheduler, topic_reader_caught_up_ms (jobd->journal));
  scheduler_tick (leader->scheduler, now_ms, jobd->clock.wall_ms);
  job_admission_publish (jobd->admission, leader->scheduler, leader->sender);
  if (leader->host_commands)
    host_command_queue_flush (leader->host_commands);
  leader_append_records (leader);
  leader_purge_jobs (leader);
}

void
leader_pause (struct leader *leader)
{
  leader->resumed_ms = leader_now_ms (leader);
  if (leader->phase == LEADER_LEADING)
    leader->stall_seen_ms = leader->resumed_ms;
  loop_load_tick (&leader->load, leader->resumed_ms, true);
  /* A command that waited for its connection must not be sent late. */
  if (leader->host_commands)
    command_client_abort_host_commands (leader->commands);
}

/* Handles the result of a resignation. If it failed, the other hosts wait for the leader
 * timeout. */
static void
leader_on_resigned (void *ctx, const struct writer_outcome *outcome)
{
  (void) outcome;
  leader_request_step_down (ctx, "resigned");
}

/* Resigns if this host doesn't keep up as a leader and another may do better. */
static void
leader_check_load (struct leader *leader)
{
  struct jobd *jobd = leader->jobd;
  int64_t now_ms = leader_now_ms (leader);
  struct resignation_limit limit = {
    .leading_since_ms = leader->leading_since_ms,
    .resigned_ms = leader->resigned_ms,
    .other_host_known = g_hash_table_size (jobd->ample_hosts) > 0,
  };

  loop_load_tick (&leader->load, now_ms, false);
  if (!loop_load_is_late (&leader->load, TICK_LEADING_MS, now_ms) ||
      leader->resignation_sent_ms > 0 || !resignation_is_allowed (&limit, now_ms))
    return;
  log_warning ("leader", "resigning, the event loop is late: epoch=%" G_GUINT64_FORMAT,
               leader->epoch);
  leader->abstain_until_ms = now_ms + RESIGNED_ABSTAIN_MS;
  leader_append_leadership (leader, true, leader_on_resigned);
  leader->resignation_sent_ms = leader->heartbeat_sent_ms;
}

/* Runs the election or the leadership for one tick. */
void
leader_tick (struct leader *leader)
{
  if (leader->step_down_reason)
    leader_step_down (leader);
  switch (leader->phase)
    {
    case LEADER_FOLLOWING:
      if (leader_should_claim (leader))
        leader_check_before_claim (leader);
      break;
    case LEADER_CLAIMING:
      break;
    case LEADER_CATCHING_UP:
      if (topic_reader_offset (leader->jobd->journal) > leader->claim_offset)
        leader_start_scheduling (leader);
      break;
    case LEADER_LEADING:
      leader_check_load (leader);
      leader_run_pass (leader);
      break;
    }
  leader_update_counts (leader);
}

/* Resigns before a planned stop. A claim that is in progress is abandoned. */
void
leader_resign (struct leader *leader)
{
  if (leader->phase == LEADER_FOLLOWING)
    return;
  if (leader->phase != LEADER_LEADING)
    {
      leader_request_step_down (leader, "stop");
      return;
    }
  leader_append_leadership (leader, true, leader_on_resigned);
  leader->resignation_sent_ms = leader->heartbeat_sent_ms;
}
