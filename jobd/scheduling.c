#include <string.h>

#include "common/log.h"
#include "leader_state.h"
#include "platform/documents.h"

/* The scheduler while this host leads: its orders go to the platform, and what the platform,
 * operators and callers do comes to it. */

enum
{
  REGISTRY_WAIT_MS = 1000,
  /* For this long after an order the machine list and the registry are read more often. */
  LIST_BUSY_FOR_MS = 4000,
  CONNECT_TIMEOUT_MS = 300,
  /* Orders are answered within some milliseconds by an endpoint that is well. */
  ORDER_TIMEOUT_MS = 700,
  MACHINES_TIMEOUT_MS = 1500,
  /* More calls that change hosts than any leader makes. */
  TOKENS_PER_EPOCH = 1000000,
};

/* Has a task started. */
static void
leader_start_task (void *ctx, struct endpoint *endpoint, struct task *task, int64_t lease_end_ms)
{
  struct leader *leader = ctx;

  log_info ("scheduler",
            "start: task=%s.%u.%u.%u attempt=%u endpoint=%s waited_ms=%" G_GINT64_FORMAT,
            task->job->id, task->occurrence, task->step, task->index, task->attempt, endpoint->id,
            leader_now_ms (leader) - task->job->seen_ms);
  if (task->step == 0 && task->index == 0 && task->attempt == 1)
    metric_histogram_take (&leader->start_time, leader_now_ms (leader) - task->job->seen_ms);
  orders_start (leader->orders, endpoint, task, lease_end_ms);
}

/* Has a run stopped. The scheduler has noted why for those of its own. */
static void
leader_stop_task (void *ctx, struct endpoint *endpoint, const char *task, uint32_t attempt,
                  struct task *known)
{
  struct leader *leader = ctx;

  if (!known)
    log_info ("scheduler", "stopping a stray run: task=%s attempt=%u endpoint=%s", task, attempt,
              endpoint->id);
  orders_stop (leader->orders, endpoint, task, attempt, known);
}

/* Renews the leases on an endpoint and waits for ends. */
static void
leader_hold_endpoint (void *ctx, struct endpoint *endpoint, int64_t lease_end_ms, int64_t wait_ms)
{
  struct leader *leader = ctx;

  orders_hold (leader->orders, endpoint, lease_end_ms, wait_ms);
}

/* Sets the share at which a filling task works. */
static void
leader_pace_task (void *ctx, struct endpoint *endpoint, struct task *task, int percent)
{
  struct leader *leader = ctx;

  log_info ("scheduler", "pace: task=%s.%u.%u.%u endpoint=%s percent=%d", task->job->id,
            task->occurrence, task->step, task->index, endpoint->id, percent);
  orders_pace (leader->orders, endpoint, task, percent);
}

/* Gives the token of the next call that changes a host: a higher one each time, so that a call that
 * comes late is fenced off by those after it. */
static uint64_t
leader_next_token (struct leader *leader)
{
  return leader->epoch * TOKENS_PER_EPOCH + ++leader->n_host_orders;
}

/* Moves a host to another pool. */
static void
leader_move_host (void *ctx, struct host *host, const char *pool)
{
  struct leader *leader = ctx;

  log_info ("machines", "move: host=%s from=%s to=%s", host->id, host->pool, pool);
  leader->busy_until_ms = leader_now_ms (leader) + LIST_BUSY_FOR_MS;
  orders_move_host (leader->orders, host, pool, leader_next_token (leader));
}

/* Begins a host's maintenance. */
static void
leader_maintain_host (void *ctx, struct host *host, uint32_t wave)
{
  struct leader *leader = ctx;

  log_info ("machines", "maintain: host=%s pool=%s wave=%u", host->id, host->pool, wave);
  leader->busy_until_ms = leader_now_ms (leader) + LIST_BUSY_FOR_MS;
  orders_maintain_host (leader->orders, host, wave, leader_next_token (leader));
}

/* Writes how a wave stands where its operator reads it. */
static void
leader_tell_wave (void *ctx, uint32_t wave, bool completed)
{
  struct leader *leader = ctx;
  struct writer_config config = {
    .topic = STORE_TOPIC_STATUS,
    .producer = "sesamepick-leader",
    .epoch = leader->epoch,
    .patient = true,
    .now_ms = jobd_now_ms,
    .ctx = leader->jobd,
  };
  g_autofree char *key = g_strdup_printf ("%s%u", STORE_KEY_WAVE_PREFIX, wave);
  char *value = encode_wave_status (completed);

  log_info ("wave", "wave %s: wave=%u", completed ? "completed" : "begun", wave);
  if (!leader->status_writer)
    {
      config.first_sequence = leader_draw_sequence (leader);
      leader->status_writer = writer_create (leader->jobd->loop, leader->store, &config);
    }
  writer_append (leader->status_writer, key, value, strlen (value), NULL, NULL);
  free (value);
}

/* Writes what the scheduler decided to the log. */
static void
leader_note (void *ctx, const char *line)
{
  (void) ctx;
  log_info ("scheduler", "%s", line);
}

/* An endpoint or the platform has refused an order for its fence. */
static void
leader_on_deposed (void *ctx, const char *why)
{
  leader_end (ctx, why);
}

/* A record of the registry was read. */
static void
leader_on_registry_record (void *ctx, const struct store_record *record)
{
  struct leader *leader = ctx;
  struct decoded_endpoint decoded;

  if (!leader->scheduler || record->key[0] == '\0')
    return;
  if (record->len == 0)
    {
      log_info ("registry", "endpoint gone: endpoint=%s", record->key);
      scheduler_endpoint_gone (leader->scheduler, record->key, leader_now_ms (leader));
      return;
    }
  if (decode_endpoint (record->key, record->value, record->len, &decoded) != 0)
    return;
  scheduler_endpoint_listed (leader->scheduler, &decoded.entry, leader_now_ms (leader));
  decoded_endpoint_clear (&decoded);
}

/* The whole registry was read. */
static void
leader_on_registry_loaded (void *ctx)
{
  struct leader *leader = ctx;

  if (leader->scheduler)
    scheduler_registry_read (leader->scheduler);
}

/* Hands the pools of the configuration to the scheduler. */
void
leader_config_changed (struct leader *leader)
{
  const GPtrArray *pools = leader->jobd->queues->pools;

  if (!leader->scheduler)
    return;
  for (guint i = 0; i < pools->len; i++)
    {
      const struct job_pool_config *pool = g_ptr_array_index (pools, i);

      scheduler_set_pool (leader->scheduler, pool->name, pool->standby);
    }
}

/* Hands a wave to the scheduler. */
static void
leader_take_wave (struct leader *leader, const char *key, GBytes *value)
{
  struct decoded_wave wave;
  gsize len;
  const void *data = g_bytes_get_data (value, &len);

  if (decode_wave (data, len, &wave) != 0)
    {
      log_warning ("wave", "record can't be read: key=%s", key);
      return;
    }
  scheduler_wave_asked (leader->scheduler, &wave.order, leader_now_ms (leader));
  decoded_wave_clear (&wave);
}

/* An operator's record was read. */
void
leader_take_operator_record (struct leader *leader, const struct store_record *record)
{
  GBytes *value;

  if (!g_str_has_prefix (record->key, STORE_KEY_WAVE_PREFIX) || record->len == 0)
    return;
  value = g_bytes_new (record->value, record->len);
  if (leader->scheduler)
    leader_take_wave (leader, record->key, value);
  g_hash_table_replace (leader->waves, g_strdup (record->key), value);
}

/* What a leader did in a wave was read. */
void
leader_take_wave_progress (struct leader *leader, const Sp__WaveProgress *progress)
{
  size_t len = sp__wave_progress__get_packed_size (progress);
  uint8_t *data = g_malloc (len);

  sp__wave_progress__pack (progress, data);
  g_hash_table_replace (leader->wave_progress, GUINT_TO_POINTER (progress->wave),
                        g_bytes_new_take (data, len));
}

/* Hands all waves, and what was done in them, to a new scheduler. */
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
  g_hash_table_iter_init (&each, leader->waves);
  while (g_hash_table_iter_next (&each, &key, &value))
    leader_take_wave (leader, key, value);
}

/* Starts to schedule: the journal has been read up to the claim. */
void
leader_begin (struct leader *leader)
{
  struct jobd *jobd = leader->jobd;
  const Sp__JobdSettings *settings = jobd->settings;
  struct orders_config orders = {
    .loop = jobd->loop,
    .holder = settings->name,
    .machines = settings->machines,
    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
    .order_timeout_ms = ORDER_TIMEOUT_MS,
    .machines_timeout_ms = MACHINES_TIMEOUT_MS,
    .now_ms = jobd_now_ms,
    .ctx = jobd,
  };
  struct scheduler_config config = {
    .epoch = leader->epoch,
    .claim_offset = leader->claim_offset,
    .lease_ms = settings->lease_ms,
    .stop_ms = settings->stop_ms,
  };
  struct scheduler_ops ops = {
    .start = leader_start_task,
    .stop = leader_stop_task,
    .hold = leader_hold_endpoint,
    .pace = leader_pace_task,
    .move_host = leader_move_host,
    .maintain_host = leader_maintain_host,
    .wave_state = leader_tell_wave,
    .note = leader_note,
    .deposed = leader_on_deposed,
    .ctx = leader,
  };
  struct tail_config registry = {
    .topic = STORE_TOPIC_REGISTRY,
    .wait_ms = REGISTRY_WAIT_MS,
    .gap_ms = REGISTRY_GAP_MS,
    .now_ms = leader_clock,
    .record = leader_on_registry_record,
    .loaded = leader_on_registry_loaded,
    .ctx = leader,
  };

  leader->phase = LEADER_LEADING;
  leader->n_host_orders = 0;
  leader->orders = orders_create (&orders);
  leader->scheduler =
      scheduler_create (&config, &ops, &jobd->book, leader_now_ms (leader), jobd->clock.wall_ms);
  orders_set_scheduler (leader->orders, leader->scheduler);
  leader_config_changed (leader);
  leader_load_waves (leader);
  leader->registry_store = store_create (jobd->client, settings->store);
  leader->registry = tail_create (jobd->loop, leader->registry_store, &registry);
  leader->next_list_ms = 0;
  log_info ("leader", "leading: epoch=%" G_GUINT64_FORMAT " jobs=%u", leader->epoch,
            g_hash_table_size (jobd->book.jobs));
}

/* A job was defined. */
void
leader_job_defined (struct leader *leader, struct job *job)
{
  if (leader->scheduler)
    scheduler_job_defined (leader->scheduler, job, leader_now_ms (leader),
                           leader->jobd->clock.wall_ms);
}

/* A job was cancelled. */
void
leader_job_cancelled (struct leader *leader, struct job *job)
{
  if (leader->scheduler)
    scheduler_job_cancelled (leader->scheduler, job, leader_now_ms (leader));
}

/* A job's records were dropped. */
void
leader_job_forgotten (struct leader *leader, struct job *job)
{
  if (leader->scheduler)
    scheduler_job_forgotten (leader->scheduler, job);
}
