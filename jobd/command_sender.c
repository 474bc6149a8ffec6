#include "command_sender.h"

#include <string.h>

#include "common/log.h"
#include "common/peer_socket.h"
#include "common/settings.h"
#include "lib/jobs/command_message.h"
#include "lib/jobs/record_route.h"
#include "relay_server.h"

enum
{
  /* Interval of batches without commands, which show whether a relay responds. */
  PING_INTERVAL_MS = 250,
  /* Time for the way to the relay and back, and for a relay that stands still for a moment, beyond
   * the time that the call itself may take. */
  RELAY_MARGIN_MS = 300,
  TIMEOUT_CHECK_MS = 50,
  /* A relay that has not responded for this long is removed from the journal. Its host announces
   * itself again if it is there. */
  RELAY_FORGET_MS = 60000,
  /* A record of another host is kept by the writer, in the call and in the call's buffer. */
  HANDED_RECORD_COPIES = 3,
};

/* A command whose result is not known yet. */
struct sent_command
{
  TAILQ_ENTRY (sent_command) link;
  struct command_sender *sender;
  uint64_t number;
  Sp__EndpointCommandKind kind;
  struct endpoint *endpoint;
  struct task *task;
  uint32_t attempt;
  uint64_t fence;
  uint64_t acked_completion;
  int percent;
  int64_t sent_ms;
  /* When it is given up; only of commands that a relay sends. */
  int64_t deadline_ms;
  /* NULL if this host sends the command itself. */
  struct relay *relay;
};

/* The link to one relay. */
struct relay_link
{
  struct command_sender *sender;
  struct relay *relay;
  struct peer_link *peer;
  /* What its host knows of the configuration. */
  struct config_peer config;
  /* Encoded commands to be sent in this iteration of the loop. */
  GByteArray *batch;
  int64_t next_ping_ms;
  int64_t heard_ms;
  /* Number of its host's records that are being appended, and when to name them next. */
  unsigned n_appending;
  int64_t next_notice_ms;
};

/* A record of another host that is being appended. */
struct appending_record
{
  TAILQ_ENTRY (appending_record) entry;
  struct command_sender *sender;
  /* NULL once the link is closed. */
  struct relay_link *link;
  /* The process that handed it over, and its number there. */
  uint64_t incarnation;
  uint64_t number;
  /* What it has of the memory for clients. */
  size_t memory;
};

struct command_sender
{
  struct jobd *jobd;
  uint64_t epoch;
  struct command_client *client;
  struct writer *writer;
  /* Records of other hosts that are being appended. */
  TAILQ_HEAD (, appending_record) handed;
  struct scheduler *scheduler;
  struct relay_set relays;
  bool relaying;
  unsigned relays_logged;
  /* By number, as struct sent_command; the same in the order in which they were sent. */
  GHashTable *commands;
  TAILQ_HEAD (, sent_command) in_order;
  uint64_t last_number;
  int64_t next_timeout_check_ms;
  /* Sends the batches before the loop waits. */
  ev_prepare flush;
};

static int64_t
command_sender_now_ms (const struct command_sender *sender)
{
  return jobd_now_ms (sender->jobd);
}

/* Reports the result of a command to the scheduler and frees the command. */
static void
sent_command_finish (struct sent_command *command, const struct endpoint_result *result)
{
  struct command_sender *sender = command->sender;
  struct scheduler *scheduler = sender->scheduler;
  int64_t now_ms = command_sender_now_ms (sender);

  TAILQ_REMOVE (&sender->in_order, command, link);
  g_hash_table_steal (sender->commands, &command->number);
  if (command->relay && (result->result == COMMAND_UNKNOWN || result->result == COMMAND_NOT_SENT))
    relay_route_failed (&command->endpoint->route);
  switch (command->kind)
    {
    case SP__ENDPOINT_COMMAND_KIND__COMMAND_START:
      scheduler_start_done (scheduler, command->endpoint, command->task, command->attempt,
                            command->fence, result->result, result->clock_ms, now_ms);
      break;
    case SP__ENDPOINT_COMMAND_KIND__COMMAND_STOP:
      scheduler_stop_done (scheduler, command->endpoint, command->task, command->attempt,
                           command->fence, result->result, now_ms);
      break;
    case SP__ENDPOINT_COMMAND_KIND__COMMAND_PACE:
      scheduler_pace_done (scheduler, command->endpoint, command->task, command->percent,
                           command->fence, result->result);
      break;
    default:
      scheduler_heartbeat_done (scheduler, command->endpoint, command->fence, result->result,
                                result->report, command->acked_completion, command->sent_ms,
                                now_ms);
      break;
    }
  g_free (command);
}

/* Reports a command as possibly carried out. */
static void
sent_command_give_up (struct sent_command *command)
{
  static const struct endpoint_result unknown = { .result = COMMAND_UNKNOWN };

  sent_command_finish (command, &unknown);
}

static void
command_sender_on_direct_result (void *ctx, const struct endpoint_result *result)
{
  sent_command_finish (ctx, result);
}

/* Handles one result that a relay has sent. One of a command that was given up changes nothing. */
static void
command_sender_on_result (struct command_sender *sender, const Sp__EndpointCommandResult *message)
{
  struct sent_command *command = g_hash_table_lookup (sender->commands, &message->number);
  struct endpoint_report *report;
  struct endpoint_result result = { .clock_ms = message->clock_ms };

  if (!command)
    return;
  report = message->report ? report_create (message->report) : NULL;
  result.result = command_result_decode (message->result);
  result.report = report;
  sent_command_finish (command, &result);
  if (report)
    report_destroy (report);
}

static void
appending_record_destroy (struct appending_record *record)
{
  memory_budget_force (&record->sender->jobd->memory, &record->memory, 0);
  TAILQ_REMOVE (&record->sender->handed, record, entry);
  g_free (record);
}

/* Handles the result of an append for another host. Without a response that host appends the record
 * itself. */
static void
appending_record_on_done (void *ctx, const struct writer_outcome *outcome)
{
  struct appending_record *record = ctx;

  if (outcome->result == WRITER_DURABLE && record->link)
    command_batch_add_appended (record->link->batch, record->incarnation, record->number,
                                outcome->offset);
  if (record->link)
    record->link->n_appending--;
  appending_record_destroy (record);
}

/* Appends a record that another host has handed over. If there is no memory for it, does nothing:
 * that host appends it itself when it hears nothing of it. */
static void
relay_link_append (struct relay_link *link, const Sp__HandedRecord *message)
{
  struct command_sender *sender = link->sender;
  struct appending_record *record;
  size_t memory = 0;

  if (!memory_budget_resize (&sender->jobd->memory, &memory,
                             message->value.len * HANDED_RECORD_COPIES))
    {
      log_info ("relay",
                "record of another host not taken, too many wait: relay=%s key=%s bytes=%zu",
                link->relay->name, message->key, message->value.len);
      return;
    }
  record = g_new0 (struct appending_record, 1);
  record->memory = memory;
  record->sender = sender;
  record->link = link;
  record->incarnation = message->incarnation;
  record->number = message->number;
  TAILQ_INSERT_TAIL (&sender->handed, record, entry);
  if (link->n_appending++ == 0)
    link->next_notice_ms = link->heard_ms + RECORD_NOTICE_INTERVAL_MS;
  writer_append (sender->writer, message->key, message->value.data, message->value.len,
                 appending_record_on_done, record);
}

/* Handles what a relay's host says of the configuration. Another version may take the place of the
 * one in force. */
static void
relay_link_on_config (struct relay_link *link, const Sp__ResultBatch *batch)
{
  struct config_notice notice = {
    .version = batch->config_version,
    .age_ms = batch->config_age_ms,
    .record = batch->config_record.data,
    .record_len = batch->config_record.len,
    .wanted = batch->config_wanted,
  };

  config_peer_received (&link->config, &link->sender->jobd->config, &notice, batch->acked_sequence,
                        link->heard_ms);
}

/* Handles a message of a relay. */
static void
relay_link_on_message (void *ctx, const void *data, size_t len)
{
  struct relay_link *link = ctx;
  struct command_sender *sender = link->sender;
  Sp__ResultBatch *batch = sp__result_batch__unpack (NULL, len, data);

  if (!batch)
    {
      log_warning ("relay", "results cannot be decoded: relay=%s bytes=%zu", link->relay->name,
                   len);
      return;
    }
  link->heard_ms = command_sender_now_ms (sender);
  if (batch->epoch == sender->epoch)
    {
      relay_set_stopping (&sender->relays, link->relay, batch->stopping);
      relay_batch_acked (&sender->relays, link->relay, batch->acked_sequence, link->heard_ms);
      relay_batch_confirmed (link->relay, batch->acked_sequence, batch->confirms_epoch);
      for (size_t i = 0; i < batch->n_results; i++)
        command_sender_on_result (sender, batch->results[i]);
      for (size_t i = 0; i < batch->n_records; i++)
        relay_link_append (link, batch->records[i]);
      relay_link_on_config (link, batch);
    }
  sp__result_batch__free_unpacked (batch, NULL);
}

/* Returns whether the store responds to this host's appends, if slowly. Otherwise other hosts may
 * reach it. */
static bool
command_sender_hears_store (const struct command_sender *sender)
{
  return !writer_is_cut_off (sender->writer);
}

/* Sends a link's batch, which may be empty. */
static void
relay_link_send (struct relay_link *link, int64_t now_ms)
{
  struct jobd *jobd = link->sender->jobd;
  uint64_t sequence = relay_batch_sent (link->relay, now_ms);
  struct append_notice appends = {
    .takes_records = command_sender_hears_store (link->sender),
    .append_ms = writer_append_ms (link->sender->writer),
  };
  struct config_notice notice;

  jobd_confirm_config (jobd);
  notice = config_peer_prepare (&link->config, &jobd->config, now_ms);
  command_batch_add_config (link->batch, &notice, link->relay->acked_sequence);
  command_batch_finish (link->batch, sequence, link->sender->epoch, &appends);
  config_peer_sent (&link->config, sequence, now_ms);
  /* A batch that can't be sent is not acknowledged, so the relay counts as failed soon. */
  peer_link_send (link->peer, link->batch->data, link->batch->len);
  g_byte_array_set_size (link->batch, 0);
  link->next_ping_ms = now_ms + PING_INTERVAL_MS;
}

/* Sends all batches before the loop waits for events. */
static void
command_sender_on_flush (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  struct command_sender *sender = watcher->data;
  int64_t now_ms = command_sender_now_ms (sender);
  struct relay *relay;

  (void) loop;
  (void) events;
  TAILQ_FOREACH (relay, &sender->relays.relays, link)
    {
      struct relay_link *link = relay->data;

      if (link->batch->len > 0)
        relay_link_send (link, now_ms);
    }
}

struct command_sender *
command_sender_create (struct jobd *jobd, uint64_t epoch, struct command_client *client,
                       struct writer *writer)
{
  struct command_sender *sender = g_new0 (struct command_sender, 1);

  sender->jobd = jobd;
  sender->epoch = epoch;
  sender->client = client;
  sender->writer = writer;
  TAILQ_INIT (&sender->handed);
  relay_set_init (&sender->relays);
  TAILQ_INIT (&sender->in_order);
  sender->commands = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  ev_prepare_init (&sender->flush, command_sender_on_flush);
  sender->flush.data = sender;
  ev_prepare_start (jobd->loop, &sender->flush);
  return sender;
}

void
command_sender_set_scheduler (struct command_sender *sender, struct scheduler *scheduler)
{
  sender->scheduler = scheduler;
}

/* Gives up all commands of a relay. */
static void
command_sender_give_up (struct command_sender *sender, const struct relay *relay)
{
  struct sent_command *command = TAILQ_FIRST (&sender->in_order);

  while (command)
    {
      struct sent_command *next = TAILQ_NEXT (command, link);

      if (command->relay == relay)
        sent_command_give_up (command);
      command = next;
    }
}

/* Closes the link to a relay and forgets the relay. */
static void
command_sender_remove_relay (struct command_sender *sender, struct relay *relay)
{
  struct relay_link *link = relay->data;
  struct appending_record *record;

  TAILQ_FOREACH (record, &sender->handed, entry)
    {
      if (record->link == link)
        record->link = NULL;
    }
  peer_link_destroy (link->peer);
  g_byte_array_unref (link->batch);
  g_free (link);
  relay_set_remove (&sender->relays, relay);
}

/* Frees the sender; its commands are not reported. The client and the writer must have been
 * destroyed before. */
void
command_sender_destroy (struct command_sender *sender)
{
  ev_prepare_stop (sender->jobd->loop, &sender->flush);
  while (!TAILQ_EMPTY (&sender->relays.relays))
    command_sender_remove_relay (sender, TAILQ_FIRST (&sender->relays.relays));
  relay_set_finish (&sender->relays);
  while (!TAILQ_EMPTY (&sender->handed))
    appending_record_destroy (TAILQ_FIRST (&sender->handed));
  g_hash_table_destroy (sender->commands);
  g_free (sender);
}

void
command_sender_set_relay (struct command_sender *sender, const char *name, const char *address)
{
  struct jobd *jobd = sender->jobd;
  struct relay *relay = relay_set_find (&sender->relays, name);
  struct relay_link *link;
  char ip[64];
  uint16_t port;

  if (!jobd->relay_server || strcmp (name, jobd->settings->name) == 0 ||
      (relay && strcmp (relay->address, address) == 0))
    return;
  if (relay)
    {
      command_sender_give_up (sender, relay);
      command_sender_remove_relay (sender, relay);
    }
  if (address[0] == '\0')
    return;
  if (settings_parse_endpoint (address, ip, &port) != 0)
    {
      log_warning ("relay", "address cannot be parsed: relay=%s address=\"%s\"", name, address);
      return;
    }
  relay = relay_set_add (&sender->relays, name, address);
  link = g_new0 (struct relay_link, 1);
  link->sender = sender;
  link->relay = relay;
  link->batch = g_byte_array_new ();
  link->heard_ms = command_sender_now_ms (sender);
  link->peer = peer_link_create (relay_server_node (jobd->relay_server), ip, port,
                                 relay_link_on_message, link);
  relay->data = link;
}

/* Removes the record of a relay that has been gone for long from the journal. */
static void
relay_link_forget (struct relay_link *link, int64_t now_ms)
{
  g_autofree char *key = g_strconcat ("h/", link->relay->name, NULL);

  log_info ("relay", "host gone, its record is removed: relay=%s silent_ms=%" G_GINT64_FORMAT,
            link->relay->name, now_ms - link->heard_ms);
  link->heard_ms = now_ms;
  writer_append (link->sender->jobd->writer, key, "", 0, NULL, NULL);
}

/* Tells the hosts which of their records are still being appended, so that a slow store doesn't
 * make the leader look lost. */
static void
command_sender_send_notices (struct command_sender *sender, int64_t now_ms)
{
  const struct appending_record *record;
  struct relay *relay;

  TAILQ_FOREACH (record, &sender->handed, entry)
    {
      if (record->link && now_ms >= record->link->next_notice_ms)
        command_batch_add_appending (record->link->batch, record->incarnation, record->number);
    }
  TAILQ_FOREACH (relay, &sender->relays.relays, link)
    {
      struct relay_link *link = relay->data;

      if (now_ms >= link->next_notice_ms)
        link->next_notice_ms = now_ms + RECORD_NOTICE_INTERVAL_MS;
    }
}

/* Pings the relays whose commands are few, and finds those that don't respond. */
static void
command_sender_check_relays (struct command_sender *sender, int64_t now_ms)
{
  struct relay *relay;

  TAILQ_FOREACH (relay, &sender->relays.relays, link)
    {
      struct relay_link *link = relay->data;

      if (now_ms >= link->next_ping_ms)
        relay_link_send (link, now_ms);
      if (now_ms - link->heard_ms > RELAY_FORGET_MS)
        relay_link_forget (link, now_ms);
    }
  while ((relay = relay_set_tick (&sender->relays, now_ms)))
    {
      log_info ("relay", "relay does not respond: relay=%s used=%u", relay->name,
                sender->relays.n_used);
      command_sender_give_up (sender, relay);
    }
  if (sender->relays.n_used == sender->relays_logged)
    return;
  log_info ("relay", "relays in use: n=%u was=%u", sender->relays.n_used, sender->relays_logged);
  sender->relays_logged = sender->relays.n_used;
}

/* Returns whether each other host that the journal names has a link. */
static bool
command_sender_reaches_hosts (const struct command_sender *sender)
{
  GHashTableIter each;
  gpointer name;
  gpointer address;

  g_hash_table_iter_init (&each, sender->jobd->relays);
  while (g_hash_table_iter_next (&each, &name, &address))
    {
      if (((const char *) address)[0] != '\0' && !relay_set_find (&sender->relays, name))
        return false;
    }
  return true;
}

int64_t
command_sender_confirmed_ms (const struct command_sender *sender)
{
  /* Hosts without a relay server are not in the journal and may lead all the same. */
  if (!sender->jobd->relay_server || !command_sender_reaches_hosts (sender))
    return 0;
  return relay_set_confirmed_ms (&sender->relays, command_sender_now_ms (sender));
}

void
command_sender_tick (struct command_sender *sender, unsigned n_endpoints)
{
  int64_t now_ms = command_sender_now_ms (sender);
  struct sent_command *command;

  sender->relaying = n_endpoints >= sender->jobd->settings->relay_endpoints_min;
  if (command_sender_hears_store (sender))
    command_sender_send_notices (sender, now_ms);
  command_sender_check_relays (sender, now_ms);
  scheduler_set_starts_per_pass (sender->scheduler, sender->relaying && sender->relays.n_used > 0
                                                        ? STARTS_PER_PASS_RELAYED
                                                        : STARTS_PER_PASS_DIRECT);
  if (now_ms < sender->next_timeout_check_ms)
    return;
  sender->next_timeout_check_ms = now_ms + TIMEOUT_CHECK_MS;
  command = TAILQ_FIRST (&sender->in_order);
  while (command)
    {
      struct sent_command *next = TAILQ_NEXT (command, link);

      if (command->relay && now_ms >= command->deadline_ms)
        sent_command_give_up (command);
      command = next;
    }
}

/* Adds the forecasts to the batch of each link, which is sent in this iteration of the loop. */
void
command_sender_send_outlook (struct command_sender *sender, const GArray *entries,
                             const GArray *lines)
{
  g_autoptr (GByteArray) part = g_byte_array_new ();
  struct relay *relay;

  command_batch_add_outlook (part, entries, lines);
  TAILQ_FOREACH (relay, &sender->relays.relays, link)
    {
      struct relay_link *link = relay->data;

      g_byte_array_append (link->batch, part->data, part->len);
    }
}

unsigned
command_sender_relays (const struct command_sender *sender)
{
  return sender->relaying ? sender->relays.n_used : 0;
}

/* Sends a command to an endpoint, through its relay if it has one. */
static void
command_sender_send (struct command_sender *sender, struct endpoint *endpoint,
                     Sp__EndpointCommand *message, struct task *task)
{
  struct sent_command *command = g_new0 (struct sent_command, 1);

  message->number = ++sender->last_number;
  message->endpoint = endpoint->id;
  message->address = endpoint->address;
  message->fence = endpoint->fence;
  command->sender = sender;
  command->number = message->number;
  command->kind = message->kind;
  command->endpoint = endpoint;
  command->task = task;
  command->attempt = message->attempt;
  command->fence = message->fence;
  command->acked_completion = message->acked_completion;
  command->percent = (int) message->pace_percent;
  command->sent_ms = command_sender_now_ms (sender);
  command->deadline_ms = command->sent_ms + COMMAND_TIMEOUT_MS + message->wait_ms + RELAY_MARGIN_MS;
  command->relay =
      sender->relaying ? relay_set_choose (&sender->relays, &endpoint->route, endpoint->id) : NULL;
  g_hash_table_insert (sender->commands, &command->number, command);
  TAILQ_INSERT_TAIL (&sender->in_order, command, link);
  if (command->relay)
    command_batch_add (((struct relay_link *) command->relay->data)->batch, message);
  else
    command_client_send (sender->client, message, command_sender_on_direct_result, command);
}

void
command_sender_start_task (struct command_sender *sender, struct endpoint *endpoint,
                           struct task *task, int64_t lease_end_ms)
{
  Sp__EndpointCommand message = SP__ENDPOINT_COMMAND__INIT;
  g_autofree char *name = task_name (task);

  message.kind = SP__ENDPOINT_COMMAND_KIND__COMMAND_START;
  message.task = name;
  message.attempt = task->attempt;
  message.spec = task->job->definition->spec;
  if (task->checkpoint)
    message.checkpoint = task->checkpoint;
  message.lease_end_ms = lease_end_ms;
  command_sender_send (sender, endpoint, &message, task);
}

void
command_sender_stop_task (struct command_sender *sender, struct endpoint *endpoint,
                          const char *task, uint32_t attempt, struct task *known)
{
  Sp__EndpointCommand message = SP__ENDPOINT_COMMAND__INIT;

  message.kind = SP__ENDPOINT_COMMAND_KIND__COMMAND_STOP;
  message.task = (char *) task;
  message.attempt = attempt;
  command_sender_send (sender, endpoint, &message, known);
}

/* Renews the leases on an endpoint, acknowledges completions and asks for new ones. */
void
command_sender_heartbeat (struct command_sender *sender, struct endpoint *endpoint,
                          int64_t lease_end_ms, int64_t wait_ms)
{
  Sp__EndpointCommand message = SP__ENDPOINT_COMMAND__INIT;

  message.kind = SP__ENDPOINT_COMMAND_KIND__COMMAND_HEARTBEAT;
  message.acked_completion = endpoint->completions_durable;
  message.lease_end_ms = lease_end_ms;
  message.wait_ms = (uint32_t) wait_ms;
  command_sender_send (sender, endpoint, &message, NULL);
}

void
command_sender_pace_task (struct command_sender *sender, struct endpoint *endpoint,
                          struct task *task, int percent)
{
  Sp__EndpointCommand message = SP__ENDPOINT_COMMAND__INIT;
  g_autofree char *name = task_name (task);

  message.kind = SP__ENDPOINT_COMMAND_KIND__COMMAND_PACE;
  message.task = name;
  message.attempt = task->attempt;
  message.pace_percent = (uint32_t) percent;
  command_sender_send (sender, endpoint, &message, task);
}
