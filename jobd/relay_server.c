#include "relay_server.h"

#include <errno.h>
#include <string.h>

#include "common/log.h"
#include "common/loop_timer.h"
#include "common/peer_socket.h"
#include "common/settings.h"
#include "job_admission.h"
#include "lib/jobs/command_message.h"
#include "lib/jobs/leadership_lease.h"
#include "platform/command_client.h"
#include "record_sender.h"

enum
{
  /* Results that arrive within this time go into one message. */
  RESULT_DELAY_MS = 5,
  ANNOUNCE_RETRY_MS = 1000,
  /* A leader that has sent nothing for this long is forgotten. */
  SESSION_IDLE_MS = 10000,
  SESSION_CHECK_MS = 2000,
  PERMILLE = 1000,
  /* A leader sends something every 250 ms. */
  LEADER_SILENT_MS = 800,
};

/* A leader that has sent commands to this host. */
struct relay_session
{
  struct relay_server *server;
  GBytes *reply_to;
  uint64_t epoch;
  uint64_t acked_sequence;
  bool takes_records;
  int64_t append_ms;
  int64_t heard_ms;
  /* What the leader knows of the configuration. */
  struct config_peer config;
  /* Encoded results that wait for the timer. */
  GByteArray *results;
  ev_timer timer;
  /* Calls in progress, which keep the session alive. */
  LIST_HEAD (, relay_call) calls;
  bool closed;
};

/* A call to an endpoint. */
struct relay_call
{
  LIST_ENTRY (relay_call) link;
  struct relay_session *session;
  uint64_t number;
  uint64_t epoch;
};

struct relay_server
{
  struct jobd *jobd;
  struct peer_node *node;
  struct command_client *commands;
  /* Routing id of the leader's link to struct relay_session. */
  GHashTable *sessions;
  /* Session of the highest epoch; NULL if there is none. */
  struct relay_session *leader;
  bool destroying;
  bool announced;
  int64_t next_announce_ms;
  int64_t next_session_check_ms;
  struct metric relayed;
};

/* Frees a session and forgets its calls, which must not be reported any more. */
static void
relay_session_free (struct relay_session *session)
{
  while (!LIST_EMPTY (&session->calls))
    {
      struct relay_call *call = LIST_FIRST (&session->calls);

      LIST_REMOVE (call, link);
      g_free (call);
    }
  ev_timer_stop (session->server->jobd->loop, &session->timer);
  g_bytes_unref (session->reply_to);
  g_byte_array_unref (session->results);
  g_free (session);
}

/* Called when a session is removed from the table. */
static void
relay_session_close (gpointer data)
{
  struct relay_session *session = data;

  session->closed = true;
  if (session->server->leader == session)
    session->server->leader = NULL;
  if (LIST_EMPTY (&session->calls) || session->server->destroying)
    relay_session_free (session);
}

/* Returns whether this host knows of no later epoch than a session's: by the journal, by its own
 * claims, of which the last may be on its way to the store, and by the batches of leaders. */
static bool
relay_session_confirms (const struct relay_session *session)
{
  const struct relay_server *server = session->server;

  return leadership_may_confirm (session->epoch, server->jobd->jobs.leader_epoch,
                                 leader_claimed_epoch (server->jobd->leader),
                                 server->leader ? server->leader->epoch : 0);
}

/* Sends the results that have arrived, and acknowledges the batches received. */
static void
relay_session_flush (struct relay_session *session)
{
  gsize len;
  const void *reply_to = g_bytes_get_data (session->reply_to, &len);
  struct jobd *jobd = session->server->jobd;
  int64_t now_ms = jobd_now_ms (jobd);
  struct config_notice notice;

  jobd_confirm_config (jobd);
  notice = config_peer_prepare (&session->config, &jobd->config, now_ms);
  result_batch_add_config (session->results, &notice);
  result_batch_finish (session->results, session->acked_sequence, session->epoch, jobd->stopping,
                       relay_session_confirms (session));
  /* A message that can't be sent is lost like one in transit; the leader repeats its commands. */
  peer_node_reply (session->server->node, reply_to, len, session->results->data,
                   session->results->len);
  g_byte_array_set_size (session->results, 0);
  config_peer_sent (&session->config, session->acked_sequence, now_ms);
}

static void
relay_session_on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void) loop;
  (void) events;
  relay_session_flush (timer->data);
}

/* Schedules a flush, unless one is scheduled. */
static void
relay_session_schedule (struct relay_session *session)
{
  if (!ev_is_active (&session->timer))
    loop_timer_arm (session->server->jobd->loop, &session->timer, RESULT_DELAY_MS);
}

static struct relay_session *
relay_session_create (struct relay_server *server, GBytes *reply_to)
{
  struct relay_session *session = g_new0 (struct relay_session, 1);

  session->server = server;
  session->reply_to = g_bytes_ref (reply_to);
  session->results = g_byte_array_new ();
  LIST_INIT (&session->calls);
  ev_timer_init (&session->timer, relay_session_on_timer, 0.0, 0.0);
  session->timer.data = session;
  g_hash_table_insert (server->sessions, session->reply_to, session);
  return session;
}

/* Handles the result of a call. */
static void
relay_call_on_done (void *ctx, const struct endpoint_result *result)
{
  struct relay_call *call = ctx;
  struct relay_session *session = call->session;

  LIST_REMOVE (call, link);
  if (session->closed)
    {
      if (LIST_EMPTY (&session->calls))
        relay_session_free (session);
    }
  else if (session->epoch == call->epoch)
    {
      result_batch_add (session->results, call->number, result->result, result->clock_ms,
                        result->report);
      relay_session_schedule (session);
    }
  g_free (call);
}

/* Sends a command to its endpoint. */
static void
relay_session_send (struct relay_session *session, const Sp__EndpointCommand *command)
{
  struct relay_server *server = session->server;
  struct relay_call *call;

  /* The sender has been replaced, which it may not know yet. */
  if (session->epoch < server->jobd->jobs.leader_epoch)
    {
      result_batch_add (session->results, command->number, COMMAND_FENCED, 0, NULL);
      return;
    }
  call = g_new (struct relay_call, 1);
  *call =
      (struct relay_call){ .session = session, .number = command->number, .epoch = session->epoch };
  LIST_INSERT_HEAD (&session->calls, call, link);
  server->relayed.value++;
  command_client_send (server->commands, command, relay_call_on_done, call);
}

void
relay_server_stop (struct relay_server *server)
{
  if (server->leader)
    relay_session_flush (server->leader);
}

uint64_t
relay_server_leader_epoch (const struct relay_server *server)
{
  const struct job_table *jobs = &server->jobd->jobs;
  const struct relay_session *session = server->leader;

  if (!session || !session->takes_records || session->epoch != jobs->leader_epoch ||
      jobs->leader_resigned || jobd_now_ms (server->jobd) - session->heard_ms > LEADER_SILENT_MS)
    return 0;
  return session->epoch;
}

struct append_latency
relay_server_append_latency (const struct relay_server *server)
{
  const struct relay_session *session = server->leader;

  return session ? (struct append_latency){ session->append_ms, session->heard_ms }
                 : (struct append_latency){ 0 };
}

int64_t
relay_server_heard_ms (const struct relay_server *server, uint64_t epoch)
{
  const struct relay_session *session = server->leader;

  return session && session->epoch == epoch ? session->heard_ms : 0;
}

bool
relay_server_hand_over (struct relay_server *server, uint64_t number, const char *key,
                        const void *value, size_t len)
{
  struct relay_session *session = server->leader;

  if (relay_server_leader_epoch (server) == 0)
    return false;
  result_batch_add_record (session->results, server->jobd->incarnation, number, key, value, len);
  relay_session_schedule (session);
  return true;
}

/* Handles what the leader says of the configuration. Another version may take the place of the one
 * in force. */
static void
relay_session_on_config (struct relay_session *session, const Sp__CommandBatch *batch)
{
  struct config_notice notice = {
    .version = batch->config_version,
    .age_ms = batch->config_age_ms,
    .record = batch->config_record.data,
    .record_len = batch->config_record.len,
    .wanted = batch->config_wanted,
  };

  config_peer_received (&session->config, &session->server->jobd->config, &notice,
                        batch->heard_sequence, session->heard_ms);
}

/* Handles a batch of commands. */
static void
relay_server_on_batch (void *ctx, const void *reply_to, size_t reply_to_len, const void *data,
                       size_t len)
{
  struct relay_server *server = ctx;
  g_autoptr (GBytes) key = g_bytes_new (reply_to, reply_to_len);
  struct relay_session *session = g_hash_table_lookup (server->sessions, key);
  Sp__CommandBatch *batch = sp__command_batch__unpack (NULL, len, data);

  if (!batch)
    {
      log_warning ("relay", "batch of commands cannot be decoded: bytes=%zu", len);
      return;
    }
  if (!session)
    session = relay_session_create (server, key);
  session->heard_ms = jobd_now_ms (server->jobd);
  /* A later leadership numbers its batches anew. */
  if (session->epoch != batch->epoch)
    session->config = (struct config_peer){ 0 };
  session->epoch = batch->epoch;
  session->acked_sequence = batch->sequence;
  session->takes_records = batch->takes_records;
  session->append_ms = batch->append_ms;
  if (!server->leader || session->epoch >= server->leader->epoch)
    server->leader = session;
  for (size_t i = 0; i < batch->n_commands; i++)
    relay_session_send (session, batch->commands[i]);
  for (size_t i = 0; i < batch->n_appended; i++)
    record_sender_on_appended (server->jobd->records, batch->appended[i]);
  for (size_t i = 0; i < batch->n_appending; i++)
    record_sender_on_appending (server->jobd->records, batch->appending[i]);
  if (server->leader == session)
    job_admission_on_batch (server->jobd->admission, batch);
  relay_session_on_config (session, batch);
  relay_session_schedule (session);
  sp__command_batch__free_unpacked (batch, NULL);
}

/* Handles the result of the announcement. */
static void
relay_server_on_announced (void *ctx, const struct writer_outcome *outcome)
{
  struct relay_server *server = ctx;

  if (outcome->result == WRITER_DURABLE)
    return;
  log_info ("relay", "announcement not written, retrying: result=%d status=%d", outcome->result,
            outcome->status);
  server->announced = false;
}

void
relay_server_append_record (struct relay_server *server, writer_done *done, void *ctx)
{
  struct jobd *jobd = server->jobd;
  Sp__JobRecord record = SP__JOB_RECORD__INIT;
  Sp__EntryHost host = SP__ENTRY_HOST__INIT;
  g_autofree char *key = NULL;
  g_autoptr (GBytes) value = NULL;
  gsize len;
  const void *data;

  host.name = jobd->settings->name;
  host.relay = jobd->settings->relay;
  host.processor_permille = (uint32_t) (jobd->settings->processor_share * PERMILLE);
  record.body_case = SP__JOB_RECORD__BODY_HOST;
  record.host = &host;
  key = job_record_key (&record);
  value = job_record_pack (&record);
  data = g_bytes_get_data (value, &len);
  writer_append (jobd->writer, key, data, len, done, ctx);
}

/* Writes this host's record to the journal. */
static void
relay_server_announce (struct relay_server *server)
{
  server->announced = true;
  server->next_announce_ms = jobd_now_ms (server->jobd) + ANNOUNCE_RETRY_MS;
  relay_server_append_record (server, relay_server_on_announced, server);
}

/* Forgets leaders that have sent nothing for a while. */
static gboolean
relay_session_is_idle (gpointer key, gpointer value, gpointer ctx)
{
  const struct relay_session *session = value;
  const int64_t *now_ms = ctx;

  (void) key;
  return *now_ms - session->heard_ms > SESSION_IDLE_MS;
}

void
relay_server_tick (struct relay_server *server)
{
  int64_t now_ms = jobd_now_ms (server->jobd);

  if (!server->announced && now_ms >= server->next_announce_ms && !server->jobd->stopping)
    relay_server_announce (server);
  if (now_ms < server->next_session_check_ms)
    return;
  server->next_session_check_ms = now_ms + SESSION_CHECK_MS;
  g_hash_table_foreach_remove (server->sessions, relay_session_is_idle, &now_ms);
}

void
relay_server_on_own_record (struct relay_server *server, const char *address)
{
  if (strcmp (address, server->jobd->settings->relay) != 0)
    server->announced = false;
}

struct peer_node *
relay_server_node (struct relay_server *server)
{
  return server->node;
}

struct relay_server *
relay_server_create (struct jobd *jobd)
{
  struct relay_server *server = g_new0 (struct relay_server, 1);
  char ip[64];
  struct peer_node_config config = {
    .address = ip,
    .inbound_received = relay_server_on_batch,
    .ctx = server,
  };
  struct command_client_config commands = {
    .loop = jobd->loop,
    .holder = jobd->settings->name,
    .machines = jobd->settings->machines,
    .connect_timeout_ms = COMMAND_CONNECT_TIMEOUT_MS,
    .command_timeout_ms = COMMAND_TIMEOUT_MS,
    .now_ms = jobd_now_ms,
    .ctx = jobd,
  };
  int error = settings_parse_endpoint (jobd->settings->relay, ip, &config.port);

  server->jobd = jobd;
  server->node = error == 0 ? peer_node_create (jobd->loop, &config) : NULL;
  if (!server->node)
    {
      log_error ("relay", "can't open the port for commands of the leader: address=%s error=%s",
                 jobd->settings->relay, g_strerror (error != 0 ? -error : errno));
      g_free (server);
      return NULL;
    }
  server->commands = command_client_create (&commands);
  server->sessions = g_hash_table_new_full (g_bytes_hash, g_bytes_equal, NULL, relay_session_close);
  metric_add_counter (&jobd->metrics, &server->relayed, "sesamepick_jobd_relayed_commands_total",
                      "", "Commands of a leader that this host sent to endpoints.");
  return server;
}

void
relay_server_destroy (struct relay_server *server)
{
  if (!server)
    return;
  server->destroying = true;
  /* No call is reported after this. */
  command_client_destroy (server->commands);
  g_hash_table_destroy (server->sessions);
  peer_node_destroy (server->node);
  metric_remove (&server->relayed);
  g_free (server);
}
