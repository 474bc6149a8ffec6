#include "host_command_queue.h"

#include "common/log.h"

/* One queued command. The scheduler keeps the host while its command has no result. */
struct queued_command
{
  TAILQ_ENTRY (queued_command) link;
  struct host *host;
  /* Destination of a move; NULL for maintenance. */
  char *pool;
  uint32_t wave;
};

TAILQ_HEAD (queued_command_list, queued_command);

struct host_command_queue
{
  struct leader *leader;
  struct queued_command_list waiting;
  /* Commands whose hosts are in the record on its way, and when that was sent. */
  struct queued_command_list recording;
  int64_t recorded_ms;
};

static void
queued_command_destroy (struct queued_command *command)
{
  g_free (command->pool);
  g_free (command);
}

struct host_command_queue *
host_command_queue_create (struct leader *leader)
{
  struct host_command_queue *queue = g_new0 (struct host_command_queue, 1);

  queue->leader = leader;
  TAILQ_INIT (&queue->waiting);
  TAILQ_INIT (&queue->recording);
  return queue;
}

void
host_command_queue_destroy (struct host_command_queue *queue)
{
  TAILQ_CONCAT (&queue->waiting, &queue->recording, link);
  while (!TAILQ_EMPTY (&queue->waiting))
    {
      struct queued_command *command = TAILQ_FIRST (&queue->waiting);

      TAILQ_REMOVE (&queue->waiting, command, link);
      queued_command_destroy (command);
    }
  g_free (queue);
}

void
host_command_queue_add (struct host_command_queue *queue, struct host *host, const char *pool,
                        uint32_t wave)
{
  struct queued_command *command = g_new0 (struct queued_command, 1);

  command->host = host;
  command->pool = g_strdup (pool);
  command->wave = wave;
  TAILQ_INSERT_TAIL (&queue->waiting, command, link);
}

/* Sends a command whose host is recorded or, if its time has passed, reports it as not sent. */
static void
queued_command_send (struct host_command_queue *queue, const struct queued_command *command)
{
  struct leader *leader = queue->leader;
  int64_t now_ms = leader_now_ms (leader);

  if (host_command_may_be_sent (queue->recorded_ms, now_ms))
    {
      leader_send_host_command (leader, command->host, command->pool, command->wave);
      return;
    }
  log_info ("machines",
            "host command dropped, its record took too long: host=%s ms=%" G_GINT64_FORMAT,
            command->host->id, now_ms - queue->recorded_ms);
  host_command_guard_remove (&leader->jobd->host_guard, command->host->id);
  if (command->pool)
    scheduler_move_done (leader->scheduler, command->host, HOST_COMMAND_REFUSED, now_ms);
  else
    scheduler_maintain_done (leader->scheduler, command->host, command->wave, HOST_COMMAND_REFUSED,
                             now_ms);
}

/* Handles the end of a record: durable, or rejected because another host leads. */
static void
host_command_queue_on_recorded (void *ctx, const struct writer_outcome *outcome)
{
  struct host_command_queue *queue = ctx;

  if (outcome->result != WRITER_DURABLE)
    {
      leader_request_step_down (queue->leader, "record of host commands rejected: another host has "
                                               "used this epoch or a newer one");
      return;
    }
  while (!TAILQ_EMPTY (&queue->recording))
    {
      struct queued_command *command = TAILQ_FIRST (&queue->recording);

      TAILQ_REMOVE (&queue->recording, command, link);
      queued_command_send (queue, command);
      queued_command_destroy (command);
    }
}

/* Appends a record of all hosts whose commands may be in progress. */
static void
host_command_queue_record (struct host_command_queue *queue, writer_done *done)
{
  struct leader *leader = queue->leader;
  Sp__JobRecord record = SP__JOB_RECORD__INIT;
  Sp__HostCommands commands = SP__HOST_COMMANDS__INIT;
  g_auto (GStrv) hosts =
      host_command_guard_hosts (&leader->jobd->host_guard, leader_now_ms (leader));
  g_autofree char *key = NULL;
  g_autoptr (GBytes) value = NULL;
  gsize len;
  const void *data;

  commands.n_hosts = g_strv_length (hosts);
  commands.hosts = hosts;
  record.body_case = SP__JOB_RECORD__BODY_HOST_COMMANDS;
  record.host_commands = &commands;
  key = job_record_key (&record);
  value = job_record_pack (&record);
  data = g_bytes_get_data (value, &len);
  writer_append (leader->writer, key, data, len, done, queue);
}

void
host_command_queue_flush (struct host_command_queue *queue)
{
  struct host_command_guard *guard = &queue->leader->jobd->host_guard;
  const struct queued_command *command;

  if (!TAILQ_EMPTY (&queue->recording))
    return;
  if (TAILQ_EMPTY (&queue->waiting))
    {
      if (host_command_guard_changed (guard, leader_now_ms (queue->leader)))
        host_command_queue_record (queue, NULL);
      return;
    }
  TAILQ_CONCAT (&queue->recording, &queue->waiting, link);
  TAILQ_FOREACH (command, &queue->recording, link)
    host_command_guard_add (guard, command->host->id);
  queue->recorded_ms = leader_now_ms (queue->leader);
  host_command_queue_record (queue, host_command_queue_on_recorded);
}
