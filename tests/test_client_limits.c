#include "common/client_limits.h"

#include <glib.h>

#include "suite.h"

/* Who is admitted and who is closed, without a network. */

enum
{
  MS_PER_S = 1000,
  CONNECTIONS = 4,
  MEMORY_BYTES = 1000 * 1000,
  LARGE_BYTES = 200 * 1000,
  /* What the platform's clients may do: a small body that takes 8 s, the largest body over 3 s, and
   * a deadline of a minute. */
  SLOW_BODY_S = 8,
  DEADLINE_S = 60,
};

struct fixture
{
  struct memory_budget budget;
  struct client_limits limits;
  struct client clients[CONNECTIONS + 2];
  int64_t now_ms;
};

static void
fixture_advance (struct fixture *fixture, int seconds)
{
  for (int i = 0; i < seconds; i++)
    {
      fixture->now_ms += MS_PER_S;
      client_limits_advance (&fixture->limits, fixture->now_ms);
    }
}

/* Opens the first n clients, a second apart. */
static void
fixture_init (struct fixture *fixture, unsigned n)
{
  *fixture = (struct fixture){ .now_ms = 1 };
  memory_budget_init (&fixture->budget, MEMORY_BYTES);
  client_limits_init (&fixture->limits, &fixture->budget, CONNECTIONS);
  client_limits_advance (&fixture->limits, fixture->now_ms);
  for (unsigned i = 0; i < n; i++)
    {
      client_open (&fixture->limits, &fixture->clients[i]);
      fixture_advance (fixture, 1);
    }
}

/* Returns the index of the client to be closed beside a newcomer, -1 for none. */
static int
fixture_excess (struct fixture *fixture, unsigned newcomer, enum client_refusal *reason)
{
  const struct client *client =
      client_limits_next_excess (&fixture->limits, &fixture->clients[newcomer], reason);

  return client ? (int) (client - fixture->clients) : -1;
}

/* Idle connections are closed first, then those whose request has been incomplete for the longest
 * time; never the newest, nor one that waits for its response. */
static void
test_order_of_closing (void)
{
  struct fixture fixture;
  enum client_refusal reason;

  fixture_init (&fixture, CONNECTIONS);
  client_begin_request (&fixture.limits, &fixture.clients[2]);
  client_complete_request (&fixture.limits, &fixture.clients[2]);
  client_begin_request (&fixture.limits, &fixture.clients[1]);
  client_begin_request (&fixture.limits, &fixture.clients[0]);
  CU_ASSERT_EQUAL (fixture_excess (&fixture, 0, &reason), -1);
  client_open (&fixture.limits, &fixture.clients[4]);
  CU_ASSERT_EQUAL (fixture_excess (&fixture, 4, &reason), 3);
  CU_ASSERT_EQUAL (reason, CLIENT_CLOSED_IDLE_FOR_OTHERS);
  client_close (&fixture.limits, &fixture.clients[3], reason);
  CU_ASSERT_EQUAL (fixture_excess (&fixture, 4, &reason), -1);
  client_open (&fixture.limits, &fixture.clients[5]);
  /* The fifth has just come: its request may be on its way. */
  CU_ASSERT_EQUAL (fixture_excess (&fixture, 5, &reason), 1);
  CU_ASSERT_EQUAL (reason, CLIENT_CLOSED_RECEIVING_FOR_OTHERS);
  client_close (&fixture.limits, &fixture.clients[1], reason);
  client_finish (&fixture.limits, &fixture.clients[1]);
  client_finish (&fixture.limits, &fixture.clients[3]);
  CU_ASSERT_EQUAL (fixture.limits.n_clients, CONNECTIONS);
}

/* Where all wait for their responses, none is closed. */
static void
test_all_served (void)
{
  struct fixture fixture;
  enum client_refusal reason;

  fixture_init (&fixture, CONNECTIONS);
  for (unsigned i = 0; i < CONNECTIONS; i++)
    {
      client_begin_request (&fixture.limits, &fixture.clients[i]);
      client_complete_request (&fixture.limits, &fixture.clients[i]);
    }
  client_open (&fixture.limits, &fixture.clients[CONNECTIONS]);
  CU_ASSERT_EQUAL (fixture_excess (&fixture, CONNECTIONS, &reason), -1);
  client_begin_response (&fixture.limits, &fixture.clients[0], LARGE_BYTES);
  CU_ASSERT_EQUAL (fixture_excess (&fixture, CONNECTIONS, &reason), -1);
  fixture_advance (&fixture, SLOW_BODY_S);
  CU_ASSERT_EQUAL (fixture_excess (&fixture, CONNECTIONS, &reason), 0);
}

/* What clients inside the platform's limits do closes none of them. */
static void
test_slow_is_not_late (void)
{
  struct fixture fixture;
  enum client_refusal reason;
  struct client *client = &fixture.clients[0];

  fixture_init (&fixture, 1);
  client_begin_request (&fixture.limits, client);
  for (int i = 0; i < DEADLINE_S - 1; i++)
    {
      CU_ASSERT (client_receive (&fixture.limits, client, 100, (size_t) (i + 1) * 100));
      CU_ASSERT_PTR_NULL (client_limits_next_late (&fixture.limits, &reason));
      fixture_advance (&fixture, 1);
    }
  /* Nor while the memory is short, as bytes go on coming. */
  for (int i = 0; i < SLOW_BODY_S; i++)
    {
      fixture.budget.n_refusals++;
      CU_ASSERT (client_receive (&fixture.limits, client, 25000, LARGE_BYTES));
      CU_ASSERT_PTR_NULL (client_limits_next_late (&fixture.limits, &reason));
      fixture_advance (&fixture, 1);
    }
}

/* One byte a second doesn't keep a request open for ever, nor does an idle connection stay. */
static void
test_late (void)
{
  struct fixture fixture;
  enum client_refusal reason;
  int seconds = 0;

  fixture_init (&fixture, 2);
  client_begin_request (&fixture.limits, &fixture.clients[1]);
  while (!client_limits_next_late (&fixture.limits, &reason) && seconds < 10 * DEADLINE_S)
    {
      client_receive (&fixture.limits, &fixture.clients[1], 1, 1);
      fixture_advance (&fixture, 1);
      seconds++;
    }
  CU_ASSERT_EQUAL (reason, CLIENT_CLOSED_IDLE);
  client_close (&fixture.limits, &fixture.clients[0], reason);
  while (!client_limits_next_late (&fixture.limits, &reason) && seconds < 10 * DEADLINE_S)
    {
      client_receive (&fixture.limits, &fixture.clients[1], 1, 1);
      fixture_advance (&fixture, 1);
      seconds++;
    }
  CU_ASSERT_EQUAL (reason, CLIENT_CLOSED_SLOW_REQUEST);
  CU_ASSERT (seconds < 2 * DEADLINE_S);
}

/* While requests are refused for want of memory, large bodies that have stopped are closed, and
 * their memory comes back; small ones stay. */
static void
test_stalled_bodies (void)
{
  struct fixture fixture;
  enum client_refusal reason;
  struct client *client;
  unsigned n_closed = 0;

  fixture_init (&fixture, CONNECTIONS);
  for (unsigned i = 0; i < 3; i++)
    {
      client_begin_request (&fixture.limits, &fixture.clients[i]);
      CU_ASSERT_EQUAL (client_receive (&fixture.limits, &fixture.clients[i], 1, LARGE_BYTES),
                       i < 2);
    }
  client_begin_request (&fixture.limits, &fixture.clients[3]);
  CU_ASSERT (client_receive (&fixture.limits, &fixture.clients[3], 1, MEMORY_SMALL_BYTES));
  CU_ASSERT_PTR_NULL (client_limits_next_late (&fixture.limits, &reason));
  fixture_advance (&fixture, SLOW_BODY_S);
  while ((client = client_limits_next_late (&fixture.limits, &reason)))
    {
      CU_ASSERT_EQUAL (reason, CLIENT_CLOSED_FOR_MEMORY);
      client_close (&fixture.limits, client, reason);
      n_closed++;
    }
  CU_ASSERT_EQUAL (n_closed, 2);
  CU_ASSERT_EQUAL (fixture.budget.used, MEMORY_SMALL_BYTES);
  client_limits_end_sweep (&fixture.limits);
  CU_ASSERT (client_may_receive (&fixture.limits, LARGE_BYTES));
}

/* Responses are kept though they exceed the budget; those that others have not read for the longest
 * time make room. */
static void
test_unread_responses (void)
{
  struct fixture fixture;

  fixture_init (&fixture, CONNECTIONS);
  for (unsigned i = 0; i < CONNECTIONS; i++)
    {
      struct client *client;

      client_begin_request (&fixture.limits, &fixture.clients[i]);
      client_complete_request (&fixture.limits, &fixture.clients[i]);
      client_begin_response (&fixture.limits, &fixture.clients[i], 2 * LARGE_BYTES);
      while ((client = client_limits_next_for_memory (&fixture.limits, &fixture.clients[i])))
        client_close (&fixture.limits, client, CLIENT_CLOSED_FOR_MEMORY);
      CU_ASSERT (fixture.budget.used <= MEMORY_BYTES);
      CU_ASSERT_EQUAL (fixture.clients[i].memory, 2 * LARGE_BYTES);
    }
  CU_ASSERT_EQUAL (fixture.limits.counts[CLIENT_CLOSED_FOR_MEMORY], CONNECTIONS - 2);
  for (unsigned i = 0; i < CONNECTIONS; i++)
    {
      client_end_response (&fixture.limits, &fixture.clients[i]);
      client_finish (&fixture.limits, &fixture.clients[i]);
    }
  CU_ASSERT (fixture.budget.used == 0 && fixture.limits.n_clients == 0);
}

/* Clients aren't closed because this process was stopped for a while. */
static void
test_pause (void)
{
  struct fixture fixture;
  enum client_refusal reason;

  fixture_init (&fixture, 2);
  client_begin_request (&fixture.limits, &fixture.clients[0]);
  fixture.now_ms += 10 * DEADLINE_S * MS_PER_S;
  client_limits_advance (&fixture.limits, fixture.now_ms);
  CU_ASSERT_PTR_NULL (client_limits_next_late (&fixture.limits, &reason));
}

/* A process of the platform has its 2,000 connections; a smaller one has fewer. */
static void
test_connection_limit (void)
{
  CU_ASSERT_EQUAL (client_connection_limit (2000, 260, 4100), 2000);
  CU_ASSERT (client_connection_limit (2000, 160, 4100) < 2000);
  CU_ASSERT_EQUAL (client_connection_limit (2000, 260, 1024), 512);
  /* Connections, bodies and responses leave a third of the memory to the program. */
  for (unsigned mb = 32; mb <= 1024; mb *= 2)
    CU_ASSERT ((uint64_t) client_connection_limit (100000, mb, UINT64_MAX) *
                       CLIENT_CONNECTION_BYTES +
                   client_memory_limit (mb) <=
               (uint64_t) mb * 1000 * 1000 * 2 / 3);
}

static const struct suite_test tests[] = {
  { "order of closing", test_order_of_closing },
  { "all served", test_all_served },
  { "slow is not late", test_slow_is_not_late },
  { "late", test_late },
  { "stalled bodies", test_stalled_bodies },
  { "unread responses", test_unread_responses },
  { "pause", test_pause },
  { "connection limit", test_connection_limit },
};

int
main (void)
{
  return suite_run ("client_limits", tests, sizeof tests / sizeof tests[0]);
}
