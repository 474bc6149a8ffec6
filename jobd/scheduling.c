#include <string.h>

#include "common/log.h"
#include "host_command_queue.h"
#include "leader_state.h"
#include "platform/documents.h"

/* Connects the scheduler, while this host leads, to the platform, the operators and the job table:
 * sends the scheduler's commands and hands events to it. */

enum
{
  REGISTRY_WAIT_MS = 1000,
  /* For this long after a host command, the machine list and the registry are read more often. */
  HOST_CHANGE_BUSY_MS = 4000,
  /* More host commands than a leader sends in one epoch, so that the tokens of a later epoch are
   * always higher. */
  TOKENS_PER_EPOCH = 1000000,
};

/* Sends a start command. */
static void
leader_start_task (void *ctx, struct endpoint *endpoint, struct task *task, int64_t lease_end_ms)
{
  struct leader *leader = ctx;

  log_info ("scheduler",
            "start: task=%s.%u.%u.%u attempt=%u endpoint=%s born_ms=%" G_GINT64_FORMAT
            " fence=%" G_GUINT64_FORMAT " lease_end_ms=%" G_GINT64_FORMAT
            " waited_ms=%" G_GINT64_FORMAT,
            task->job->id, task->occurrence, task->step, task->index, task->attempt, endpoint->id,
            endpoint->born_ms, endpoint->fence, lease_end_ms,
            leader_now_ms (leader) - task->job->seen_ms);
  /* Counts the first attempt of the first task, in each occurrence of a repeated job. */
  if (task->step == 0 && task->index == 0 && task->attempt == 1)
    metric_histogram_observe (&leader->start_time, leader_now_ms (leader) - task->job->seen_ms);
  command_sender_start_task (leader->sender, endpoint, task, lease_end_ms);
}

/* Sends a stop command. The scheduler has logged the reason for tasks that it knows. */
static void
leader_stop_task (void *ctx, struct endpoint *endpoint, const char *task, uint32_t attempt,
                  struct task *known)
{
  struct leader *leader = ctx;

  if (!known)
    log_info ("scheduler", "stopping an unknown task instance: task=%s attempt=%u endpoint=%s",
              task, attempt, endpoint->id);
  command_sender_stop_task (leader->sender, endpoint, task, attempt, known);
}

/* Renews the leases on an endpoint and asks for completions. */
static void
leader_send_heartbeat (void *ctx, struct endpoint *endpoint, int64_t lease_end_ms, int64_t wait_ms)
{
  struct leader *leader = ctx;

  command_sender_heartbeat (leader->sender, endpoint, lease_end_ms, wait_ms);
}

/* Sets the pace of a best-effort task, in percent of its full speed. */
static void
leader_pace_task (void *ctx, struct endpoint *endpoint, struct task *task, int percent)
{
  struct leader *leader = ctx;

  log_info ("scheduler", "pace: task=%s.%u.%u.%u endpoint=%s percent=%d", task->job->id,
            task->occurrence, task->step, task->index, endpoint->id, percent);
  command_sender_pace_task (leader->sender, endpoint, task, percent);
}

/* Returns the fencing token of the next host command. Each is higher than the one before, so that a
 * command that arrives late is rejected. */
static uint64_t
leader_next_token (struct leader *leader)
{
  return leader->epoch * TOKENS_PER_EPOCH + ++leader->n_host_commands;
}

void
leader_send_host_command (struct leader *leader, struct host *host, const char *pool, uint32_t wave)
{
  if (pool)
    command_client_move_host (leader->commands, host, pool, leader_next_token (leader));
  else
    command_client_maintain_host (leader->commands, host, wave, leader_next_token (leader));
}

/* Sends a command for a host, after the journal names the host if nothing checks its token. */
static void
leader_command_host (struct leader *leader, struct host *host, const char *pool, uint32_t wave)
{
  leader->hosts_busy_until_ms = leader_now_ms (leader) + HOST_CHANGE_BUSY_MS;
  if (leader->host_commands)
    host_command_queue_add (leader->host_commands, host, pool, wave);
  else
    leader_send_host_command (leader, host, pool, wave);
}

static void
leader_move_host (void *ctx, struct host *host, const char *pool)
{
  log_info ("machines", "move: host=%s from=%s to=%s", host->id, host->pool, pool);
  leader_command_host (ctx, host, pool, 0);
}

static void
leader_maintain_host (void *ctx, struct host *host, uint32_t wave)
{
  log_info ("machines", "maintain: host=%s pool=%s wave=%u", host->id, host->pool, wave);
  leader_command_host (ctx, host, NULL, wave);
}

/* Handles the end of a read of the registry, whose entries have been passed on. */
static void
leader_on_registry_read (void *ctx, bool success)
{
  (void) ctx;
  if (!success)
    log_info ("registry", "additional read failed; entries come with the next read");
}

/* Reads the registry's new entries at once. */
static void
leader_read_registry (void *ctx)
{
  struct leader *leader = ctx;

  if (leader->registry)
    topic_reader_read_to_end (leader->registry, leader_on_registry_read, leader);
}

/* Returns until when another leader's command for a host may be in progress; 0 if none is. */
static int64_t
leader_host_busy_until_ms (void *ctx, const char *host)
{
  struct leader *leader = ctx;

  if (!leader->host_commands)
    return 0;
  return host_command_guard_busy_until_ms (&leader->jobd->host_guard, host);
}

/* Writes a wave's state to the status topic, where its operator reads it. */
static void
leader_publish_wave_status (void *ctx, uint32_t wave, bool completed)
{
  struct leader *leader = ctx;
  struct writer_config config = {
    .topic = STORE_TOPIC_STATUS,
    .producer = "sesamepick-leader",
    .epoch = leader->epoch,
    .producer_is_shared = true,
    .keep_while_unavailable = true,
    .now_ms = jobd_now_ms,
    .store_heard_ms = jobd_store_heard_ms,
    .ctx = leader->jobd,
  };
  g_autofree char *key = g_strdup_printf ("%s%u", STORE_KEY_WAVE_PREFIX, wave);
  char *value = encode_wave_status (completed);

  log_info ("wave", "wave %s: wave=%u", completed ? "completed" : "begun", wave);
  if (!leader->status_writer)
    {
      config.first_sequence = leader_random_sequence (leader);
      leader->status_writer = writer_create (leader->jobd->loop, leader->store, &config);
    }
  writer_append (leader->status_writer, key, value, strlen (value), NULL, NULL);
  free (value);
}

/* Deletes the records of a job that is over, but for that of its final state. A host that starts
 * reads the newest record of each key before it serves callers; with the definitions of all jobs of
 * the last minutes this took a host with 10 Mbit/s several seconds. */
static void
leader_on_job_ended (void *ctx, const struct job *job)
{
  struct leader *leader = ctx;
  g_auto (GStrv) keys = job_record_keys (job->id);

  writer_append (leader->writer, keys[JOB_KEY_DEFINITION], "", 0, NULL, NULL);
  if (job->cancelled)
    writer_append (leader->writer, keys[JOB_KEY_CANCEL], "", 0, NULL, NULL);
}

/* Logs a decision of the scheduler. */
static void
leader_log_decision (void *ctx, const char *line)
{
  (void) ctx;
  log_info ("scheduler", "%s", line);
}

/* Handles a command that an endpoint or the platform rejected for its fence: another host leads. */
static void
leader_on_superseded (void *ctx, const char *reason)
{
  leader_request_step_down (ctx, reason);
}

/* Handles a registry record: an endpoint that was added, changed or removed. */
static void
leader_on_registry_record (void *ctx, const struct store_record *record)
{
  struct leader *leader = ctx;
  struct decoded_endpoint decoded;

  if (!leader->scheduler || record->key[0] == '\0')
    return;
  if (record->len == 0)
    {
      log_info ("registry", "endpoint removed: endpoint=%s", record->key);
      scheduler_endpoint_unlisted (leader->scheduler, record->key, leader_now_ms (leader));
      return;
    }
  if (decode_endpoint (record->key, record->value, record->len, &decoded) != 0)
    return;
  scheduler_endpoint_listed (leader->scheduler, &decoded.entry, leader_now_ms (leader));
  decoded_endpoint_clear (&decoded);
}

/* Tells the scheduler that the whole registry has been read. The machine list is requested from the
 * next ms on, because only a list that is later than the registry shows which endpoints of the
 * registry have ended. */
static void
leader_on_registry_loaded (void *ctx)
{
  struct leader *leader = ctx;

  leader->next_host_list_ms = leader_now_ms (leader) + 1;
  if (leader->scheduler)
    scheduler_registry_read (leader->scheduler);
}

/* Passes the workspaces of the configuration to the scheduler. Those that were removed go first, so
 * that they keep their last cap also under a new leader. */
static void
leader_apply_workspaces (struct leader *leader)
{
  const struct workspace_table *workspaces = leader->jobd->queues->workspaces;
  int64_t window_ms = leader->jobd->settings->share_window_ms;

  if (!workspace_table_is_empty (workspaces))
    scheduler_set_workspaces (leader->scheduler, leader->all_workspaces, window_ms);
  scheduler_set_workspaces (leader->scheduler, workspaces, window_ms);
}

/* Passes the pools and workspaces of the configuration to the scheduler. */
void
leader_config_changed (struct leader *leader)
{
  const GPtrArray *pools = leader->jobd->queues->pools;

  workspace_table_merge (leader->all_workspaces, leader->jobd->queues->workspaces);
  workspace_metrics_choose (leader->by_workspace, leader->jobd->queues->workspaces);
  if (!leader->scheduler)
    return;
  leader_apply_workspaces (leader);
  for (guint i = 0; i < pools->len; i++)
    {
      const struct job_pool_config *pool = g_ptr_array_index (pools, i);

      scheduler_set_pool (leader->scheduler, pool->name, pool->standby);
    }
}

/* Decodes a wave request and passes it to the scheduler. */
static void
leader_schedule_wave (struct leader *leader, const char *key, GBytes *value)
{
  struct decoded_wave decoded;
  gsize len;
  const void *data = g_bytes_get_data (value, &len);

  if (decode_wave (data, len, &decoded) != 0)
    {
      log_warning ("wave", "record cannot be decoded: key=%s", key);
      return;
    }
  scheduler_wave_requested (leader->scheduler, &decoded.wave, leader_now_ms (leader));
  decoded_wave_clear (&decoded);
}

/* Keeps a wave request, also for the scheduler of a later leadership, and passes it on if this host
 * leads. */
void
leader_handle_operator_record (struct leader *leader, const struct store_record *record)
{
  GBytes *value;

  if (!g_str_has_prefix (record->key, STORE_KEY_WAVE_PREFIX) || record->len == 0)
    return;
  value = g_bytes_new (record->value, record->len);
  if (leader->scheduler)
    leader_schedule_wave (leader, record->key, value);
  g_hash_table_replace (leader->wave_requests, g_strdup (record->key), value);
}

/* Keeps what a leader has recorded of a wave. */
void
leader_store_wave_progress (struct leader *leader, const Sp__WaveProgress *progress)
{
  size_t len = sp__wave_progress__get_packed_size (progress);
  uint8_t *data = g_malloc (len);

  sp__wave_progress__pack (progress, data);
  g_hash_table_replace (leader->wave_progress, GUINT_TO_POINTER (progress->wave),
                        g_bytes_new_take (data, len));
}

/* Passes all waves and their recorded progress to a new scheduler. */
static void
leader_load_waves (struct leader *leader)
{
  GHashTableIter each;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&each, leader->wave_progress);
  while (g_hash_table_iter_next (&each, NULL, &value))
    {
      gsize len;
      const void *data = g_bytes_get_data (value, &len);
      Sp__WaveProgress *progress = sp__wave_progress__unpack (NULL, len, data);

      scheduler_wave_progress (leader->scheduler, progress);
      sp__wave_progress__free_unpacked (progress, NULL);
    }
  g_hash_table_iter_init (&each, leader->wave_requests);
  while (g_hash_table_iter_next (&each, &key, &value))
    leader_schedule_wave (leader, key, value);
}

/* Passes the relays that the journal names to a new sender. */
static void
leader_load_relays (struct leader *leader)
{
  GHashTableIter each;
  gpointer name;
  gpointer address;

  g_hash_table_iter_init (&each, leader->jobd->relays);
  while (g_hash_table_iter_next (&each, &name, &address))
    command_sender_set_relay (leader->sender, name, address);
}

void
leader_relay_changed (struct leader *leader, const char *name, const char *address)
{
  if (leader->sender)
    command_sender_set_relay (leader->sender, name, address);
}

/* Handles the end of the call of a command for a host. Without a certain result, the command itself
 * may still be in progress. */
static void
leader_on_host_command_ended (void *ctx, const char *host, enum host_command_result result)
{
  struct jobd *jobd = ctx;

  if (result == HOST_COMMAND_UNKNOWN)
    host_command_guard_set_unknown (&jobd->host_guard, host, jobd_now_ms (jobd));
  else
    host_command_guard_remove (&jobd->host_guard, host);
}

void
leader_start_scheduling (struct leader *leader)
{
  struct jobd *jobd = leader->jobd;
  const Sp__JobdSettings *settings = jobd->settings;
  struct command_client_config commands = {
    .loop = jobd->loop,
    .holder = settings->name,
    .machines = settings->machines,
    .connect_timeout_ms = COMMAND_CONNECT_TIMEOUT_MS,
    .command_timeout_ms = COMMAND_TIMEOUT_MS,
    .machines_timeout_ms =
        settings->host_tokens_checked ? HOST_COMMAND_TIMEOUT_FENCED_MS : HOST_COMMAND_TIMEOUT_MS,
    .host_command_ended = leader_on_host_command_ended,
    .now_ms = jobd_now_ms,
    .ctx = jobd,
  };
  struct scheduler_config config = {
    .epoch = leader->epoch,
    .claim_offset = leader->claim_offset,
    .read_offset = topic_reader_offset (jobd->journal),
    .lease_ms = settings->lease_ms,
    /* Confirmations that another leader has got from this host ended with the claim. */
    .earlier_grants_until_ms =
        MAX (leader->claim_sent_ms, former_leaders_until_ms (&leader->former, leader->epoch)),
    .stop_ms = settings->stop_ms,
    .learned_durations = settings->learned_durations,
    .prospect_order = settings->prospect_order,
    .load_admission = settings->load_admission,
    .far_factor = settings->far_factor,
    .locality_wait_max_ms = settings->locality_wait_max_ms,
  };
  struct scheduler_ops ops = {
    .start = leader_start_task,
    .stop = leader_stop_task,
    .heartbeat = leader_send_heartbeat,
    .pace = leader_pace_task,
    .move_host = leader_move_host,
    .maintain_host = leader_maintain_host,
    .read_registry = leader_read_registry,
    .host_busy_until_ms = leader_host_busy_until_ms,
    .wave_state = leader_publish_wave_status,
    .job_ended = leader_on_job_ended,
    .log = leader_log_decision,
    .superseded = leader_on_superseded,
    .ctx = leader,
  };
  struct topic_reader_config registry = {
    .topic = STORE_TOPIC_REGISTRY,
    .wait_ms = REGISTRY_WAIT_MS,
    .min_interval_ms = REGISTRY_INTERVAL_MS,
    .now_ms = leader_clock,
    .on_record = leader_on_registry_record,
    .on_loaded = leader_on_registry_loaded,
    .ctx = leader,
  };

  leader->phase = LEADER_LEADING;
  leader->leading_since_ms = leader_now_ms (leader);
  leader->load = (struct loop_load){ 0 };
  leader->n_host_commands = 0;
  leader->commands = command_client_create (&commands);
  if (!settings->host_tokens_checked)
    {
      host_command_guard_begin (&jobd->host_guard, leader_now_ms (leader));
      leader->host_commands = host_command_queue_create (leader);
    }
  leader->sender = command_sender_create (jobd, leader->epoch, leader->commands, leader->writer);
  leader->scheduler =
      scheduler_create (&config, &ops, &jobd->jobs, leader_now_ms (leader), jobd->clock.wall_ms);
  command_client_set_scheduler (leader->commands, leader->scheduler);
  command_sender_set_scheduler (leader->sender, leader->scheduler);
  leader_load_relays (leader);
  leader_config_changed (leader);
  leader_load_waves (leader);
  leader->registry_store = store_create (jobd->client, settings->store);
  leader->registry = topic_reader_create (jobd->loop, leader->registry_store, &registry);
  leader->next_host_list_ms = leader_now_ms (leader) + REGISTRY_LOAD_WAIT_MS;
  leader->host_list_sent_ms = 0;
  log_info ("leader", "leading: epoch=%" G_GUINT64_FORMAT " jobs=%u", leader->epoch,
            g_hash_table_size (jobd->jobs.jobs));
}

void
leader_job_defined (struct leader *leader, struct job *job)
{
  if (leader->scheduler)
    scheduler_job_defined (leader->scheduler, job, leader_now_ms (leader),
                           leader->jobd->clock.wall_ms);
}

void
leader_job_cancelled (struct leader *leader, struct job *job)
{
  if (leader->scheduler)
    scheduler_job_cancelled (leader->scheduler, job, leader_now_ms (leader));
}

void
leader_job_removed (struct leader *leader, struct job *job)
{
  if (leader->scheduler)
    scheduler_job_removed (leader->scheduler, job);
}
