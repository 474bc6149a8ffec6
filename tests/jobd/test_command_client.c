#include <arpa/inet.h>
#include <ev.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "platform/command_client.h"
#include "platform/documents.h"
#include "process.h"
#include "suite.h"

/* What the command client reports when a connection closes, a response is damaged or a status is
 * unknown. A stand-in for an endpoint or the machine list serves scripted responses on the same
 * loop. A command that the stand-in has carried out, or may carry out later, must not be reported
 * as one that was certainly not carried out, and no command may be sent twice by one call. */

enum
{
  PORT_BLOCK = 97,
  MESSAGE_BYTES_MAX = 8192,
  CONNECTIONS_MAX = 64,
  /* An endpoint accepts 64 connections: the leader's, and those of three former leaders that are
   * frozen or cut off. */
  LEADER_CONNECTIONS_MAX = 64 / 4,
  BURST = 50,
  CALL_TIMEOUT_MS = 500,
  LIMIT_S = 5,
  STEPS_MAX = 3,
};

/* What the stand-in does with one request. */
enum standin_action
{
  /* The script is over: status 200, carried out. */
  ACTION_SUCCEED,
  /* Sends status and body; nothing is carried out. */
  ACTION_REJECT,
  /* Carries the command out, then sends status and body. */
  ACTION_DO_AND_RESPOND,
  ACTION_DO_AND_CLOSE,
  ACTION_DO_AND_RESET,
  /* Closes the connection; the command is carried out later. */
  ACTION_CLOSE_AND_DO_LATE,
  /* Carries it out, closes the connection and accepts no other one. */
  ACTION_DO_AND_VANISH,
  /* Carries it out and closes the connection within the response's body. */
  ACTION_DO_AND_TRUNCATE,
  /* Carries it out and sends a response whose end is not stated. */
  ACTION_DO_AND_RESPOND_UNBOUNDED,
};

struct standin_step
{
  enum standin_action action;
  int status;
  const char *body;
};

/* A connection to the stand-in. */
struct connection
{
  struct fixture *fixture;
  ev_io ready;
  char data[MESSAGE_BYTES_MAX + 1];
  size_t len;
};

struct fixture
{
  struct ev_loop *loop;
  uint16_t port;
  ev_io listener;
  struct connection *connections[CONNECTIONS_MAX];
  unsigned n_connections;
  const struct standin_step *steps;
  unsigned n_requests;
  /* Number of requests that were carried out or will be. */
  unsigned carried_out;
  struct command_client *client;
  struct job_table jobs;
  struct scheduler *scheduler;
  unsigned done;
  enum command_result result;
  enum host_command_result host_result;
  unsigned hosts_listed;
};

/* Closes a connection, with a reset if asked. */
static void
connection_close (struct connection *connection, bool reset)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  if (connection->ready.fd < 0)
    return;
  ev_io_stop (connection->fixture->loop, &connection->ready);
  if (reset)
    setsockopt (connection->ready.fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (connection->ready.fd);
  connection->ready.fd = -1;
}

/* Stops accepting connections. */
static void
fixture_stop_listening (struct fixture *fixture)
{
  if (fixture->listener.fd < 0)
    return;
  ev_io_stop (fixture->loop, &fixture->listener);
  close (fixture->listener.fd);
  fixture->listener.fd = -1;
}

/* Sends a response that states a length. */
static void
connection_respond (const struct connection *connection, int status, const char *body, size_t len)
{
  g_autofree char *text = g_strdup_printf (
      "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s", status,
      len, body);

  CU_ASSERT_EQUAL (send (connection->ready.fd, text, strlen (text), MSG_NOSIGNAL),
                   (ssize_t) strlen (text));
}

/* Handles one request according to the script. */
static void
connection_handle (struct connection *connection)
{
  static const char endless[] = "HTTP/1.1 503 X\r\n\r\n{}";
  struct fixture *fixture = connection->fixture;
  struct standin_step step = { ACTION_SUCCEED, 200, "{\"clock_ms\":1}" };

  if (fixture->steps && fixture->n_requests < STEPS_MAX &&
      fixture->steps[fixture->n_requests].action != ACTION_SUCCEED)
    step = fixture->steps[fixture->n_requests];
  fixture->n_requests++;
  connection->len = 0;
  fixture->carried_out += step.action != ACTION_REJECT;
  switch (step.action)
    {
    case ACTION_SUCCEED:
    case ACTION_REJECT:
    case ACTION_DO_AND_RESPOND:
      connection_respond (connection, step.status, step.body, strlen (step.body));
      break;
    case ACTION_DO_AND_CLOSE:
    case ACTION_CLOSE_AND_DO_LATE:
      connection_close (connection, false);
      break;
    case ACTION_DO_AND_RESET:
      connection_close (connection, true);
      break;
    case ACTION_DO_AND_VANISH:
      fixture_stop_listening (fixture);
      connection_close (connection, false);
      break;
    case ACTION_DO_AND_TRUNCATE:
      connection_respond (connection, step.status, step.body, strlen (step.body) + 10);
      connection_close (connection, false);
      break;
    case ACTION_DO_AND_RESPOND_UNBOUNDED:
      CU_ASSERT (send (connection->ready.fd, endless, strlen (endless), MSG_NOSIGNAL) > 0);
      connection_close (connection, false);
      break;
    }
}

/* Returns whether a whole request has arrived. */
static bool
connection_has_request (const struct connection *connection)
{
  const char *head_end = strstr (connection->data, "\r\n\r\n");
  const char *length = strstr (connection->data, "Content-Length: ");
  size_t body_len = length && length < head_end ? strtoul (length + 16, NULL, 10) : 0;

  return head_end && strlen (head_end + 4) >= body_len;
}

static void
connection_on_ready (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct connection *connection = watcher->data;
  ssize_t n = recv (watcher->fd, connection->data + connection->len,
                    MESSAGE_BYTES_MAX - connection->len, 0);

  (void) loop;
  (void) events;
  if (n <= 0)
    {
      connection_close (connection, false);
      return;
    }
  connection->len += (size_t) n;
  connection->data[connection->len] = '\0';
  if (connection_has_request (connection))
    connection_handle (connection);
}

static void
fixture_on_connection (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct fixture *fixture = watcher->data;
  int fd = accept (watcher->fd, NULL, NULL);
  struct connection *connection;

  (void) events;
  SUITE_REQUIRE (fd >= 0 && fixture->n_connections < CONNECTIONS_MAX);
  connection = g_new0 (struct connection, 1);
  connection->fixture = fixture;
  ev_io_init (&connection->ready, connection_on_ready, fd, EV_READ);
  connection->ready.data = connection;
  ev_io_start (loop, &connection->ready);
  fixture->connections[fixture->n_connections++] = connection;
}

/* Opens the stand-in's port. */
static void
fixture_listen (struct fixture *fixture)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (fixture->port) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int on = 1;
  bool listening;

  inet_pton (AF_INET, "127.0.0.1", &address.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  listening = bind (fd, (struct sockaddr *) &address, sizeof address) == 0 &&
              listen (fd, CONNECTIONS_MAX) == 0;
  SUITE_REQUIRE (listening);
  ev_io_init (&fixture->listener, fixture_on_connection, fd, EV_READ);
  fixture->listener.data = fixture;
  ev_io_start (fixture->loop, &fixture->listener);
}

static int64_t
fixture_now_ms (void *ctx)
{
  (void) ctx;
  return test_now_ms ();
}

/* Called by the scheduler for each new host of a machine list. */
static int64_t
fixture_on_new_host (void *ctx, const char *host)
{
  struct fixture *fixture = ctx;

  (void) host;
  fixture->hosts_listed++;
  return 0;
}

static void
fixture_on_host_command_ended (void *ctx, const char *host, enum host_command_result result)
{
  struct fixture *fixture = ctx;

  (void) host;
  fixture->host_result = result;
  fixture->done++;
}

static void
fixture_log (void *ctx, const char *line)
{
  (void) ctx;
  (void) line;
}

/* Starts the stand-in, the client and a scheduler that receives the results of host commands. */
static void
fixture_start (struct fixture *fixture)
{
  g_autofree char *machines = g_strdup_printf ("127.0.0.1:%u", process_port_block (PORT_BLOCK));
  struct command_client_config config = {
    .holder = "a-1",
    .machines = machines,
    .connect_timeout_ms = CALL_TIMEOUT_MS,
    .command_timeout_ms = CALL_TIMEOUT_MS,
    .machines_timeout_ms = CALL_TIMEOUT_MS,
    .host_command_ended = fixture_on_host_command_ended,
    .now_ms = fixture_now_ms,
    .ctx = fixture,
  };
  struct scheduler_config scheduling = { .epoch = 1, .lease_ms = 3500, .stop_ms = 400 };
  struct scheduler_ops ops = {
    .host_busy_until_ms = fixture_on_new_host,
    .log = fixture_log,
    .ctx = fixture,
  };

  memset (fixture, 0, sizeof *fixture);
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->port = process_port_block (PORT_BLOCK);
  fixture_listen (fixture);
  config.loop = fixture->loop;
  fixture->client = command_client_create (&config);
  job_table_init (&fixture->jobs);
  fixture->scheduler = scheduler_create (&scheduling, &ops, &fixture->jobs, test_now_ms (), 0);
  command_client_set_scheduler (fixture->client, fixture->scheduler);
}

static void
fixture_stop (struct fixture *fixture)
{
  command_client_destroy (fixture->client);
  scheduler_destroy (fixture->scheduler);
  job_table_finish (&fixture->jobs);
  fixture_stop_listening (fixture);
  for (unsigned i = 0; i < fixture->n_connections; i++)
    {
      connection_close (fixture->connections[i], false);
      g_free (fixture->connections[i]);
    }
  ev_loop_destroy (fixture->loop);
}

static void
on_limit (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void) events;
  *(bool *) watcher->data = true;
  ev_break (loop, EVBREAK_ALL);
}

/* Runs the loop until a counter reaches a value. Returns false if LIMIT_S pass first. */
static bool
fixture_run_until (struct fixture *fixture, const unsigned *counter, unsigned value)
{
  bool over = false;
  ev_timer limit;

  ev_timer_init (&limit, on_limit, LIMIT_S, 0.0);
  limit.data = &over;
  ev_now_update (fixture->loop);
  ev_timer_start (fixture->loop, &limit);
  while (!over && *counter < value)
    ev_run (fixture->loop, EVRUN_ONCE);
  ev_timer_stop (fixture->loop, &limit);
  return *counter >= value;
}

static void
fixture_on_result (void *ctx, const struct endpoint_result *result)
{
  struct fixture *fixture = ctx;

  fixture->result = result->result;
  fixture->done++;
}

/* Sends a command. */
static void
fixture_begin_send (struct fixture *fixture, Sp__EndpointCommandKind kind)
{
  g_autofree char *address = g_strdup_printf ("127.0.0.1:%u", fixture->port);
  Sp__EndpointCommand command = SP__ENDPOINT_COMMAND__INIT;

  command.kind = kind;
  command.endpoint = "e1";
  command.address = address;
  command.fence = 1;
  command.task = "5c0e7a21d94b36f8.0.0.0";
  command.attempt = 1;
  command.spec = "work";
  command.lease_end_ms = 1000;
  command_client_send (fixture->client, &command, fixture_on_result, fixture);
}

/* Sends a command to the stand-in and waits for its result. */
static void
fixture_send (struct fixture *fixture, Sp__EndpointCommandKind kind)
{
  bool ended;

  fixture_begin_send (fixture, kind);
  ended = fixture_run_until (fixture, &fixture->done, fixture->done + 1);
  SUITE_REQUIRE (ended);
}

/* Returns whether a result means that an endpoint has certainly not carried a command out. */
static bool
result_is_certain_rejection (enum command_result result)
{
  return result != COMMAND_DONE && result != COMMAND_UNKNOWN;
}

/* Begins a script after one successful command, whose connection the next one reuses. */
static void
fixture_begin_script (struct fixture *fixture, const struct standin_step *steps)
{
  fixture_send (fixture, SP__ENDPOINT_COMMAND_KIND__COMMAND_START);
  SUITE_REQUIRE (fixture->result == COMMAND_DONE && fixture->n_connections == 1);
  fixture->n_requests = 0;
  fixture->carried_out = 0;
  fixture->steps = steps;
}

struct script
{
  const char *name;
  struct standin_step steps[STEPS_MAX];
  enum command_result expected;
};

#define REASON(reason) "{\"clock_ms\":1,\"reason\":\"" reason "\"}"

/* The first send was carried out, or will be; whatever would answer a second one proves nothing. */
static const struct script carried_out_scripts[] = {
  { "closed, then 503",
    { { ACTION_DO_AND_CLOSE, 0, NULL }, { ACTION_REJECT, 503, "{}" } },
    COMMAND_UNKNOWN },
  { "closed, then 429",
    { { ACTION_DO_AND_CLOSE, 0, NULL }, { ACTION_REJECT, 429, "{}" } },
    COMMAND_UNKNOWN },
  { "closed, then 421",
    { { ACTION_DO_AND_CLOSE, 0, NULL }, { ACTION_REJECT, 421, "{}" } },
    COMMAND_UNKNOWN },
  { "closed, then 400",
    { { ACTION_DO_AND_CLOSE, 0, NULL }, { ACTION_REJECT, 400, "{}" } },
    COMMAND_UNKNOWN },
  { "closed, then no room",
    { { ACTION_DO_AND_CLOSE, 0, NULL }, { ACTION_REJECT, 409, REASON ("room") } },
    COMMAND_UNKNOWN },
  { "closed, then a newer fence",
    { { ACTION_DO_AND_CLOSE, 0, NULL }, { ACTION_REJECT, 409, REASON ("fence") } },
    COMMAND_UNKNOWN },
  { "closed, then late",
    { { ACTION_DO_AND_CLOSE, 0, NULL }, { ACTION_REJECT, 409, REASON ("late") } },
    COMMAND_UNKNOWN },
  { "reset, then 503",
    { { ACTION_DO_AND_RESET, 0, NULL }, { ACTION_REJECT, 503, "{}" } },
    COMMAND_UNKNOWN },
  { "closed and carried out late, 503",
    { { ACTION_CLOSE_AND_DO_LATE, 0, NULL }, { ACTION_REJECT, 503, "{}" } },
    COMMAND_UNKNOWN },
  { "closed, then no connection", { { ACTION_DO_AND_VANISH, 0, NULL } }, COMMAND_UNKNOWN },
  { "truncated body",
    { { ACTION_DO_AND_TRUNCATE, 200, "{\"clock_ms\":1}" }, { ACTION_REJECT, 503, "{}" } },
    COMMAND_UNKNOWN },
  { "truncated rejection",
    { { ACTION_DO_AND_TRUNCATE, 503, "{}" }, { ACTION_REJECT, 503, "{}" } },
    COMMAND_UNKNOWN },
  { "rejection without a length",
    { { ACTION_DO_AND_RESPOND_UNBOUNDED, 0, NULL }, { ACTION_REJECT, 503, "{}" } },
    COMMAND_UNKNOWN },
  { "500", { { ACTION_DO_AND_RESPOND, 500, "{}" } }, COMMAND_UNKNOWN },
  { "502", { { ACTION_DO_AND_RESPOND, 502, "{}" } }, COMMAND_UNKNOWN },
  { "504", { { ACTION_DO_AND_RESPOND, 504, "{}" } }, COMMAND_UNKNOWN },
  { "408", { { ACTION_DO_AND_RESPOND, 408, "{}" } }, COMMAND_UNKNOWN },
  { "202", { { ACTION_DO_AND_RESPOND, 202, "{}" } }, COMMAND_UNKNOWN },
  { "409 for an unknown reason",
    { { ACTION_DO_AND_RESPOND, 409, REASON ("other") } },
    COMMAND_UNKNOWN },
  { "409 without a reason", { { ACTION_DO_AND_RESPOND, 409, "" } }, COMMAND_UNKNOWN },
};

/* Statuses and reasons with which the protocol says that nothing was done. */
static const struct script rejected_scripts[] = {
  { "503", { { ACTION_REJECT, 503, "{}" } }, COMMAND_UNHEALTHY },
  { "429", { { ACTION_REJECT, 429, "{}" } }, COMMAND_UNHEALTHY },
  { "421", { { ACTION_REJECT, 421, "{}" } }, COMMAND_OTHER_INCARNATION },
  { "400", { { ACTION_REJECT, 400, "{}" } }, COMMAND_INVALID },
  { "fence", { { ACTION_REJECT, 409, REASON ("fence") } }, COMMAND_FENCED },
  { "old", { { ACTION_REJECT, 409, REASON ("old") } }, COMMAND_STALE_ATTEMPT },
  { "late", { { ACTION_REJECT, 409, REASON ("late") } }, COMMAND_LEASE_EXPIRED },
  { "room", { { ACTION_REJECT, 409, REASON ("room") } }, COMMAND_NO_CAPACITY },
  { "ticket", { { ACTION_REJECT, 409, REASON ("ticket") } }, COMMAND_NO_TICKET },
};

/* Runs one script with one start and compares what is reported with what the stand-in did. */
static void
run_script (const struct script *script)
{
  struct fixture fixture;
  bool wrong;

  fixture_start (&fixture);
  fixture_begin_script (&fixture, script->steps);
  fixture_send (&fixture, SP__ENDPOINT_COMMAND_KIND__COMMAND_START);
  wrong = fixture.carried_out > 0 && result_is_certain_rejection (fixture.result);
  if (wrong || fixture.result != script->expected || fixture.n_requests != 1)
    printf ("script \"%s\": result %d, expected %d; sent %u times, carried out %u times%s\n",
            script->name, (int) fixture.result, (int) script->expected, fixture.n_requests,
            fixture.carried_out, wrong ? "; REPORTED AS NOT CARRIED OUT" : "");
  CU_ASSERT_FALSE (wrong);
  CU_ASSERT_EQUAL (fixture.result, script->expected);
  CU_ASSERT_EQUAL (fixture.n_requests, 1);
  fixture_stop (&fixture);
}

/* A start that was carried out, or may be, is never reported as one that was not: the task would be
 * started elsewhere at the same time. */
static void
test_carried_out (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (carried_out_scripts); i++)
    run_script (&carried_out_scripts[i]);
}

/* A start that was certainly rejected is reported so: otherwise its task waits for a stop. */
static void
test_rejected (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (rejected_scripts); i++)
    run_script (&rejected_scripts[i]);
}

/* A command that could not be sent at all was certainly not carried out. */
static void
test_not_sent (void)
{
  struct fixture fixture;

  fixture_start (&fixture);
  fixture_stop_listening (&fixture);
  fixture_send (&fixture, SP__ENDPOINT_COMMAND_KIND__COMMAND_START);
  CU_ASSERT_EQUAL (fixture.result, COMMAND_NOT_SENT);
  CU_ASSERT_EQUAL (fixture.n_requests, 0);
  fixture_stop (&fixture);
}

/* A heartbeat whose response can't be decoded proves nothing about what runs. */
static void
test_heartbeat_without_report (void)
{
  static const struct standin_step steps[STEPS_MAX] = {
    { ACTION_DO_AND_RESPOND, 200, "{\"clock_ms\":" },
  };
  struct fixture fixture;

  fixture_start (&fixture);
  fixture_begin_script (&fixture, steps);
  fixture_send (&fixture, SP__ENDPOINT_COMMAND_KIND__COMMAND_HEARTBEAT);
  CU_ASSERT_EQUAL (fixture.result, COMMAND_UNKNOWN);
  CU_ASSERT_EQUAL (fixture.n_requests, 1);
  fixture_stop (&fixture);
}

/* What the scheduler is told of a host command, as far as its host shows it. */
enum host_outcome
{
  HOST_OUTCOME_DONE,
  HOST_OUTCOME_UNKNOWN,
  /* Certainly not carried out. */
  HOST_OUTCOME_REJECTED,
};

struct host_script
{
  const char *name;
  struct standin_step steps[STEPS_MAX];
  enum host_outcome expected;
};

static const struct host_script host_scripts[] = {
  { "closed, then 429",
    { { ACTION_DO_AND_CLOSE, 0, NULL }, { ACTION_REJECT, 429, "{}" } },
    HOST_OUTCOME_UNKNOWN },
  { "closed, then 503",
    { { ACTION_DO_AND_CLOSE, 0, NULL }, { ACTION_REJECT, 503, "{}" } },
    HOST_OUTCOME_UNKNOWN },
  { "closed, then busy",
    { { ACTION_DO_AND_CLOSE, 0, NULL }, { ACTION_REJECT, 409, REASON ("busy") } },
    HOST_OUTCOME_UNKNOWN },
  { "reset, then 429",
    { { ACTION_DO_AND_RESET, 0, NULL }, { ACTION_REJECT, 429, "{}" } },
    HOST_OUTCOME_UNKNOWN },
  { "closed and carried out late, 429",
    { { ACTION_CLOSE_AND_DO_LATE, 0, NULL }, { ACTION_REJECT, 429, "{}" } },
    HOST_OUTCOME_UNKNOWN },
  { "closed, then no connection", { { ACTION_DO_AND_VANISH, 0, NULL } }, HOST_OUTCOME_UNKNOWN },
  { "truncated rejection",
    { { ACTION_DO_AND_TRUNCATE, 429, "{}" }, { ACTION_REJECT, 429, "{}" } },
    HOST_OUTCOME_UNKNOWN },
  { "500", { { ACTION_DO_AND_RESPOND, 500, "{}" } }, HOST_OUTCOME_UNKNOWN },
  { "502", { { ACTION_DO_AND_RESPOND, 502, "{}" } }, HOST_OUTCOME_UNKNOWN },
  /* For the machine list the protocol names only 429 as a call that was not accepted. */
  { "503", { { ACTION_DO_AND_RESPOND, 503, "{}" } }, HOST_OUTCOME_UNKNOWN },
  { "504", { { ACTION_DO_AND_RESPOND, 504, "{}" } }, HOST_OUTCOME_UNKNOWN },
  { "409 for an unknown reason",
    { { ACTION_DO_AND_RESPOND, 409, REASON ("other") } },
    HOST_OUTCOME_UNKNOWN },
  { "500 with a known reason",
    { { ACTION_DO_AND_RESPOND, 500, REASON ("busy") } },
    HOST_OUTCOME_UNKNOWN },
  { "429", { { ACTION_REJECT, 429, "{}" } }, HOST_OUTCOME_REJECTED },
  { "400", { { ACTION_REJECT, 400, "{}" } }, HOST_OUTCOME_REJECTED },
  { "busy", { { ACTION_REJECT, 409, REASON ("busy") } }, HOST_OUTCOME_REJECTED },
  { "wave", { { ACTION_REJECT, 409, REASON ("wave") } }, HOST_OUTCOME_REJECTED },
  { "200", { { ACTION_DO_AND_RESPOND, 200, "{}" } }, HOST_OUTCOME_DONE },
};

/* Runs one script with a move or a maintenance command. */
static void
run_host_script (const struct host_script *script, bool move)
{
  struct fixture fixture;
  struct host host = { .id = "m1" };
  enum host_outcome outcome;
  bool ended;

  fixture_start (&fixture);
  host.pool = g_strdup ("one");
  host.target_pool = g_strdup ("two");
  fixture_begin_script (&fixture, script->steps);
  if (move)
    command_client_move_host (fixture.client, &host, "two", 7);
  else
    command_client_maintain_host (fixture.client, &host, 1, 7);
  ended = fixture_run_until (&fixture, &fixture.done, fixture.done + 1);
  SUITE_REQUIRE (ended);
  outcome = host.state != HOST_UP ? HOST_OUTCOME_DONE : HOST_OUTCOME_REJECTED;
  if (host.command_outcome_unknown)
    outcome = HOST_OUTCOME_UNKNOWN;
  if (outcome != script->expected || fixture.n_requests != 1)
    printf ("%s \"%s\": outcome %d, expected %d; sent %u times, carried out %u times%s\n",
            move ? "move" : "maintenance", script->name, (int) outcome, (int) script->expected,
            fixture.n_requests, fixture.carried_out,
            outcome == HOST_OUTCOME_REJECTED && fixture.carried_out > 0
                ? "; REPORTED AS NOT CARRIED OUT"
                : "");
  CU_ASSERT_FALSE (outcome == HOST_OUTCOME_REJECTED && fixture.carried_out > 0);
  CU_ASSERT_EQUAL (fixture.host_result == HOST_COMMAND_UNKNOWN,
                   script->expected == HOST_OUTCOME_UNKNOWN);
  CU_ASSERT_EQUAL (outcome, script->expected);
  CU_ASSERT_EQUAL (fixture.n_requests, 1);
  fixture_stop (&fixture);
  g_free (host.pool);
  g_free (host.target_pool);
}

/* A move or maintenance that was carried out, or may be, is never reported as one that was not: the
 * wave would count the host as available and exceed its limit. */
static void
test_host_commands (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (host_scripts); i++)
    {
      run_host_script (&host_scripts[i], true);
      run_host_script (&host_scripts[i], false);
    }
}

/* A command that is aborted may have been sent, and be carried out afterwards. */
static void
test_aborted_host_command (void)
{
  struct fixture fixture;
  struct host host = { .id = "m1" };

  fixture_start (&fixture);
  host.pool = g_strdup ("one");
  host.target_pool = g_strdup ("two");
  command_client_move_host (fixture.client, &host, "two", 7);
  command_client_abort_host_commands (fixture.client);
  CU_ASSERT_EQUAL (fixture.done, 1);
  CU_ASSERT_EQUAL (fixture.host_result, HOST_COMMAND_UNKNOWN);
  CU_ASSERT (host.command_outcome_unknown);
  fixture_stop (&fixture);
  g_free (host.pool);
  g_free (host.target_pool);
}

/* A read of the machine list is repeated on a new connection if a reused one closes: it changes
 * nothing, and a list that is dropped delays moves by seconds. */
static void
test_list_is_repeated (void)
{
  static const struct standin_step steps[STEPS_MAX] = {
    { ACTION_DO_AND_CLOSE, 0, NULL },
    { ACTION_REJECT, 200,
      "{\"machines\":[{\"machine\":\"m1\",\"pool\":\"one\",\"state\":\"up\"}]}" },
  };
  struct fixture fixture;

  fixture_start (&fixture);
  fixture_begin_script (&fixture, steps);
  command_client_list_hosts (fixture.client);
  CU_ASSERT (fixture_run_until (&fixture, &fixture.hosts_listed, 1));
  CU_ASSERT_EQUAL (fixture.n_requests, 2);
  fixture_stop (&fixture);
}

/* Guards against tasks that start twice because the state of their host could not be read: only the
 * word for it shows a host as down. */
static void
test_unreadable_host_state (void)
{
  static const char page[] =
      "{\"machines\":[{\"machine\":\"m1\",\"pool\":\"one\",\"state\":\"down\"},"
      "{\"machine\":\"m2\",\"pool\":\"one\",\"state\":\"booting\",\"id\":\"e2\"},"
      "{\"machine\":\"m3\",\"pool\":\"one\",\"id\":\"e3\"}]}";
  static const enum host_state states[] = { HOST_DOWN, HOST_STATE_UNKNOWN, HOST_STATE_UNKNOWN };
  struct decoded_hosts decoded;

  CU_ASSERT_EQUAL (decode_hosts (page, strlen (page), &decoded), 0);
  SUITE_REQUIRE (decoded.entries->len == G_N_ELEMENTS (states));
  for (guint i = 0; i < G_N_ELEMENTS (states); i++)
    CU_ASSERT_EQUAL (g_array_index (decoded.entries, struct host_entry, i).state, states[i]);
  decoded_hosts_clear (&decoded);
}

/* Guards against endpoints that accept no more connections, so that accepted jobs have nothing
 * running: each start of a burst opened a connection of its own. */
static void
test_connections_of_endpoint (void)
{
  struct fixture fixture;

  fixture_start (&fixture);
  for (unsigned i = 0; i < BURST; i++)
    fixture_begin_send (&fixture, SP__ENDPOINT_COMMAND_KIND__COMMAND_START);
  CU_ASSERT (fixture_run_until (&fixture, &fixture.done, BURST));
  CU_ASSERT_EQUAL (fixture.n_requests, BURST);
  CU_ASSERT (fixture.n_connections <= LEADER_CONNECTIONS_MAX);
  fixture_stop (&fixture);
}

static const struct suite_test tests[] = {
  { "carried out", test_carried_out },
  { "rejected", test_rejected },
  { "not sent", test_not_sent },
  { "heartbeat without report", test_heartbeat_without_report },
  { "host commands", test_host_commands },
  { "aborted host command", test_aborted_host_command },
  { "list is repeated", test_list_is_repeated },
  { "unreadable host state", test_unreadable_host_state },
  { "connections of an endpoint", test_connections_of_endpoint },
};

int
main (void)
{
  return suite_run ("command_client", tests, sizeof tests / sizeof tests[0]);
}
