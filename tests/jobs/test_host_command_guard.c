#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "lib/jobs/host_command_guard.h"
#include "suite.h"

/* Host commands on a platform that doesn't check fencing tokens: a hunt saw a former leader's
 * command carried out 147 ms after the first one of its successor. */

enum
{
  ROUNDS = 2000,
  HOSTS = 8,
  COMMANDS = 40,
  LEADERS = 4,
  NAME_BYTES = 16,
};

/* A record in the journal, in the order in which the store accepted it. */
struct record
{
  int64_t accepted_ms;
  char **hosts;
};

/* The journal, the platform and what the leaders of one round did. */
struct world
{
  GRand *random;
  GPtrArray *journal;
  /* By host: the highest token that was carried out, and when a command of it ends at the latest.
   */
  int64_t ends_ms[HOSTS];
  unsigned leader_of[HOSTS];
  /* By host: whether the current leader waits for a result, and until when an earlier command of
   * unknown result may be carried out. */
  bool in_flight[HOSTS];
  int64_t unknown_ends_ms[HOSTS];
  unsigned overlaps;
  unsigned sent;
};

static void
record_free (gpointer data)
{
  struct record *record = data;

  g_strfreev (record->hosts);
  g_free (record);
}

/* Passes the journal's records to a guard: all of them, or only the newest as to a host that has
 * just started. Each is read some time after it was accepted. */
static void
world_read_journal (struct world *world, struct host_command_guard *guard, bool newest_only,
                    int64_t now_ms)
{
  guint first = newest_only && world->journal->len > 0 ? world->journal->len - 1 : 0;

  for (guint i = first; i < world->journal->len; i++)
    {
      const struct record *record = g_ptr_array_index (world->journal, i);
      Sp__HostCommands commands = SP__HOST_COMMANDS__INIT;
      int64_t read_ms = record->accepted_ms + g_rand_int_range (world->random, 0, 300);

      commands.n_hosts = g_strv_length (record->hosts);
      commands.hosts = record->hosts;
      host_command_guard_observe (guard, &commands, newest_only ? now_ms : MIN (read_ms, now_ms));
    }
  host_command_guard_begin (guard, now_ms);
}

/* Appends a record of a leader at now_ms. Returns when it was accepted, or -1 if the successor's
 * claim was accepted first, which keeps it out of the journal. */
static int64_t
world_append_record (struct world *world, struct host_command_guard *guard, int64_t now_ms,
                     int64_t claimed_ms)
{
  struct record *record = g_new0 (struct record, 1);

  record->hosts = host_command_guard_hosts (guard, now_ms);
  record->accepted_ms = now_ms + g_rand_int_range (world->random, 1, 60);
  if (record->accepted_ms < claimed_ms)
    {
      g_ptr_array_add (world->journal, record);
      return record->accepted_ms;
    }
  record_free (record);
  return -1;
}

/* Appends a record of a leader if commands have ended since its last one. */
static void
world_flush (struct world *world, struct host_command_guard *guard, int64_t now_ms,
             int64_t claimed_ms)
{
  if (host_command_guard_changed (guard, now_ms))
    world_append_record (world, guard, now_ms, claimed_ms);
}

/* Ends the call of a command that was sent at now_ms: the leader sees no end of it, or its
 * connection closes at once and the platform carries it out later, or it gets a response. */
static void
world_end_command (struct world *world, struct host_command_guard *guard, unsigned host,
                   const char *name, int64_t *now_ms)
{
  switch (g_rand_int_range (world->random, 0, 4))
    {
    case 0:
      world->in_flight[host] = true;
      break;
    case 1:
      world->unknown_ends_ms[host] = *now_ms + HOST_COMMAND_TIMEOUT_MS;
      *now_ms += 1;
      host_command_guard_set_unknown (guard, name, *now_ms);
      break;
    default:
      *now_ms += g_rand_int_range (world->random, 0, HOST_COMMAND_TIMEOUT_MS);
      world->ends_ms[host] = MAX (*now_ms, world->unknown_ends_ms[host]);
      host_command_guard_remove (guard, name);
    }
}

/* Carries out one command of a leader: recorded, durable, perhaps delayed by a freeze, sent, and
 * carried out at any time until its timeout. The leader often sees its end, and records that. */
static void
world_command (struct world *world, struct host_command_guard *guard, unsigned leader,
               int64_t *now_ms, int64_t claimed_ms)
{
  unsigned host = g_rand_int_range (world->random, 0, HOSTS);
  char name[NAME_BYTES];
  int64_t recorded_ms = *now_ms;
  int64_t sent_ms;

  snprintf (name, sizeof name, "m%u", host);
  world_flush (world, guard, *now_ms, claimed_ms);
  if (world->in_flight[host] || *now_ms < host_command_guard_busy_until_ms (guard, name))
    return;
  host_command_guard_add (guard, name);
  sent_ms = world_append_record (world, guard, recorded_ms, claimed_ms);
  if (sent_ms < 0)
    {
      *now_ms = claimed_ms;
      return;
    }
  sent_ms += g_rand_int_range (world->random, 1, 40);
  if (g_rand_int_range (world->random, 0, 5) == 0)
    sent_ms += g_rand_int_range (world->random, 0, 4000);
  *now_ms = sent_ms;
  if (!host_command_may_be_sent (recorded_ms, sent_ms))
    {
      host_command_guard_remove (guard, name);
      return;
    }
  world->sent++;
  world->overlaps += world->leader_of[host] != leader && sent_ms < world->ends_ms[host];
  world->leader_of[host] = leader;
  world->ends_ms[host] = sent_ms + HOST_COMMAND_TIMEOUT_MS;
  world_end_command (world, guard, host, name, now_ms);
  world_flush (world, guard, *now_ms, claimed_ms);
}

/* Leaders follow each other at random times, some of them hosts that have just started. No command
 * of a former leader can be carried out after its successor's first one for the same host. */
static void
test_leaders_do_not_overlap (void)
{
  struct world world = { .random = g_rand_new_with_seed (19) };

  for (unsigned round = 0; round < ROUNDS; round++)
    {
      int64_t claim_ms = 0;

      world.journal = g_ptr_array_new_with_free_func (record_free);
      memset (world.ends_ms, 0, sizeof world.ends_ms);
      memset (world.leader_of, 0, sizeof world.leader_of);
      memset (world.unknown_ends_ms, 0, sizeof world.unknown_ends_ms);
      for (unsigned leader = 1; leader <= LEADERS; leader++)
        {
          struct host_command_guard guard;
          int64_t next_claim_ms = claim_ms + g_rand_int_range (world.random, 10, 2500);
          int64_t now_ms = claim_ms + g_rand_int_range (world.random, 5, 200);

          memset (world.in_flight, 0, sizeof world.in_flight);
          host_command_guard_init (&guard);
          world_read_journal (&world, &guard, g_rand_boolean (world.random), now_ms);
          for (unsigned i = 0; i < COMMANDS; i++)
            world_command (&world, &guard, leader, &now_ms, next_claim_ms);
          host_command_guard_finish (&guard);
          claim_ms = next_claim_ms;
        }
      g_ptr_array_free (world.journal, TRUE);
    }
  CU_ASSERT_EQUAL (world.overlaps, 0);
  CU_ASSERT (world.sent > ROUNDS * LEADERS);
  g_rand_free (world.random);
}

/* A new leader may command hosts that the newest record doesn't name at once, and the others when
 * their commands have ended. */
static void
test_only_named_hosts_wait (void)
{
  char *hosts[] = { (char *) "a", (char *) "b" };
  Sp__HostCommands commands = SP__HOST_COMMANDS__INIT;
  struct host_command_guard guard;

  commands.n_hosts = 2;
  commands.hosts = hosts;
  host_command_guard_init (&guard);
  host_command_guard_observe (&guard, &commands, 1000);
  commands.n_hosts = 1;
  host_command_guard_observe (&guard, &commands, 1100);
  host_command_guard_begin (&guard, 1200);
  CU_ASSERT_EQUAL (host_command_guard_busy_until_ms (&guard, "b"), 0);
  CU_ASSERT_EQUAL (host_command_guard_busy_until_ms (&guard, "a"), 3800);
  host_command_guard_begin (&guard, 3800);
  CU_ASSERT_EQUAL (host_command_guard_busy_until_ms (&guard, "a"), 0);
  host_command_guard_finish (&guard);
}

/* A record replaces the one before, so it names all hosts whose commands may be in progress, also
 * those of a former leader, and no others. */
static void
test_records_are_complete (void)
{
  char *inherited[] = { (char *) "a" };
  Sp__HostCommands commands = SP__HOST_COMMANDS__INIT;
  struct host_command_guard guard;
  char **hosts;

  commands.n_hosts = 1;
  commands.hosts = inherited;
  host_command_guard_init (&guard);
  host_command_guard_observe (&guard, &commands, 1000);
  host_command_guard_begin (&guard, 1100);
  host_command_guard_add (&guard, "b");
  hosts = host_command_guard_hosts (&guard, 1200);
  CU_ASSERT_EQUAL (g_strv_length (hosts), 2);
  g_strfreev (hosts);
  CU_ASSERT_FALSE (guard.changed);
  host_command_guard_remove (&guard, "b");
  CU_ASSERT (guard.changed);
  hosts = host_command_guard_hosts (&guard, 3700);
  CU_ASSERT_EQUAL (g_strv_length (hosts), 0);
  g_strfreev (hosts);
  host_command_guard_finish (&guard);
}

/* Returns until when a new leader, which reads a leader's next record at now_ms, leaves a host
 * alone. */
static int64_t
successor_busy_until_ms (struct host_command_guard *leader, const char *host, int64_t now_ms)
{
  Sp__HostCommands commands = SP__HOST_COMMANDS__INIT;
  char **hosts = host_command_guard_hosts (leader, now_ms);
  struct host_command_guard successor;
  int64_t until_ms;

  commands.n_hosts = g_strv_length (hosts);
  commands.hosts = hosts;
  host_command_guard_init (&successor);
  host_command_guard_observe (&successor, &commands, now_ms);
  host_command_guard_begin (&successor, now_ms);
  until_ms = host_command_guard_busy_until_ms (&successor, host);
  host_command_guard_finish (&successor);
  g_strfreev (hosts);
  return until_ms;
}

/* A command is sent at 1000, its connection closes 1 ms later, and the platform carries it out at
 * 1999. A new leader that reads the newest record in between doesn't command the host before that,
 * and the host leaves the record when the command has certainly ended. */
static void
test_unknown_result_keeps_host (void)
{
  struct host_command_guard guard;

  host_command_guard_init (&guard);
  host_command_guard_begin (&guard, 900);
  host_command_guard_add (&guard, "a");
  host_command_guard_set_unknown (&guard, "a", 1001);
  CU_ASSERT_FALSE (host_command_guard_changed (&guard, 1001));
  CU_ASSERT (successor_busy_until_ms (&guard, "a", 1002) > 1999);
  CU_ASSERT (successor_busy_until_ms (&guard, "a", 1999) > 1999);
  CU_ASSERT_FALSE (host_command_guard_changed (&guard, 2200));
  CU_ASSERT (host_command_guard_changed (&guard, 2201));
  CU_ASSERT_EQUAL (successor_busy_until_ms (&guard, "a", 2201), 0);
  CU_ASSERT_FALSE (host_command_guard_changed (&guard, 2202));
  host_command_guard_finish (&guard);
}

/* The response to a second command says nothing of an earlier one whose result is unknown. */
static void
test_response_keeps_earlier_command (void)
{
  struct host_command_guard guard;

  host_command_guard_init (&guard);
  host_command_guard_begin (&guard, 900);
  host_command_guard_add (&guard, "a");
  host_command_guard_set_unknown (&guard, "a", 1001);
  host_command_guard_add (&guard, "a");
  host_command_guard_remove (&guard, "a");
  CU_ASSERT_FALSE (host_command_guard_changed (&guard, 1500));
  CU_ASSERT (successor_busy_until_ms (&guard, "a", 1500) > 1999);
  CU_ASSERT (host_command_guard_changed (&guard, 2201));
  CU_ASSERT_EQUAL (successor_busy_until_ms (&guard, "a", 2201), 0);
  host_command_guard_add (&guard, "a");
  CU_ASSERT (successor_busy_until_ms (&guard, "a", 2300) > 2300);
  host_command_guard_remove (&guard, "a");
  CU_ASSERT (host_command_guard_changed (&guard, 2300));
  host_command_guard_finish (&guard);
}

/* The time of an earlier command with an unknown result doesn't release a host whose next command
 * is in progress. */
static void
test_expiry_keeps_next_command (void)
{
  struct host_command_guard guard;

  host_command_guard_init (&guard);
  host_command_guard_begin (&guard, 900);
  host_command_guard_add (&guard, "a");
  host_command_guard_set_unknown (&guard, "a", 1001);
  host_command_guard_add (&guard, "a");
  CU_ASSERT_FALSE (host_command_guard_changed (&guard, 2300));
  CU_ASSERT (successor_busy_until_ms (&guard, "a", 2300) > 2300);
  host_command_guard_remove (&guard, "a");
  CU_ASSERT (host_command_guard_changed (&guard, 2301));
  host_command_guard_finish (&guard);
}

/* A command whose record took too long to become durable, or whose process was frozen, is not
 * sent. */
static void
test_send_window (void)
{
  CU_ASSERT (host_command_may_be_sent (1000, 1000 + HOST_COMMAND_SEND_WINDOW_MS - 1));
  CU_ASSERT_FALSE (host_command_may_be_sent (1000, 1000 + HOST_COMMAND_SEND_WINDOW_MS));
}

int
main (void)
{
  static const struct suite_test tests[] = {
    { "leaders do not overlap", test_leaders_do_not_overlap },
    { "only named hosts wait", test_only_named_hosts_wait },
    { "records are complete", test_records_are_complete },
    { "unknown result keeps host", test_unknown_result_keeps_host },
    { "response keeps earlier command", test_response_keeps_earlier_command },
    { "expiry keeps next command", test_expiry_keeps_next_command },
    { "send window", test_send_window },
  };

  return suite_run ("host command guard", tests, G_N_ELEMENTS (tests));
}
