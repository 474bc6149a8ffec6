#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/jobs/leadership_lease.h"
#include "lib/jobs/relay_set.h"
#include "suite.h"

/* Leases of a leader that has lost the store, and what its successor assumes of them. The random
 * test runs hosts that lead by these rules against a store and a network that both fail, and checks
 * that no lease of an earlier leader outlasts the time at which its successor counts it as ended.
 */

enum
{
  HOSTS_MAX = 7,
  ROUNDS = 1000,
  ROUND_MS = 60000,
  STEP_MS = 10,
  LEASE_MS = 3500,
  TIMEOUT_MS = 1300,
  HEARTBEAT_MS = 350,
  READ_MS = 100,
  PING_MS = 500,
  /* Latest time after which a message or a response arrives. */
  DELAY_MAX_MS = 400,
  FAULT_MAX_MS = 12000,
  /* Mean time between two faults. */
  FAULT_INTERVAL_MS = 3000,
  NAME_BYTES = 16,
};

/* A leadership record in the store. */
struct record
{
  uint64_t epoch;
  unsigned host;
  bool resigned;
  bool earlier_ended;
};

enum message_kind
{
  /* A claim, heartbeat or resignation on its way to the store, and the store's response. */
  MESSAGE_APPEND,
  MESSAGE_APPENDED,
  MESSAGE_PING,
  MESSAGE_CONFIRM,
};

struct message
{
  enum message_kind kind;
  int64_t due_ms;
  unsigned from;
  unsigned to;
  struct record record;
  /* Process that sent it: a response to an earlier process of the host is dropped. */
  unsigned process;
  int64_t sent_ms;
  uint64_t sequence;
  uint64_t epoch;
  bool success;
};

struct member
{
  unsigned process;
  int64_t frozen_until_ms;
  int64_t store_lost_until_ms;
  /* Journal: records read, and when the last was read. */
  guint n_read;
  int64_t next_read_ms;
  int64_t seen_ms;
  int64_t readable_ms;
  struct record last;
  struct former_leaders former;
  /* Highest epoch by the journal, by a leader's pings and by own claims. */
  uint64_t claimed_epoch;
  uint64_t pinged_epoch;
  /* Leadership. */
  bool claiming;
  bool leading;
  int64_t claim_sent_ms;
  int64_t record_sent_ms;
  int64_t next_heartbeat_ms;
  int64_t next_ping_ms;
  int64_t earlier_end_ms;
  struct relay_set others;
};

struct world
{
  GRand *random;
  int64_t now_ms;
  unsigned n_hosts;
  struct member hosts[HOSTS_MAX];
  int64_t cut_until_ms[HOSTS_MAX][HOSTS_MAX];
  GArray *journal;
  GArray *messages;
  /* Latest end of a lease granted under each epoch, and when a leader of the epoch first counted
   * all leases of earlier epochs as ended. */
  GArray *leases_end_ms;
  GArray *counted_ended_ms;
  unsigned leaders;
  unsigned violations;
};

static int64_t
world_delay (struct world *world)
{
  return g_rand_int_range (world->random, 1, 20) == 1
             ? g_rand_int_range (world->random, 1, DELAY_MAX_MS)
             : g_rand_int_range (world->random, 1, 20);
}

/* Returns the element of an epoch, which is appended if needed. */
static int64_t *
epoch_time (GArray *times, uint64_t epoch)
{
  int64_t none = 0;

  while (times->len <= epoch)
    g_array_append_val (times, none);
  return &g_array_index (times, int64_t, epoch);
}

static void
world_send (struct world *world, struct message message)
{
  message.due_ms = world->now_ms + world_delay (world);
  message.process = message.kind == MESSAGE_APPEND || message.kind == MESSAGE_PING
                        ? world->hosts[message.from].process
                        : message.process;
  g_array_append_val (world->messages, message);
}

/* Ends a host's leadership. */
static void
member_follow (struct world *world, struct member *member)
{
  if (member->leading)
    relay_set_finish (&member->others);
  member->leading = false;
  member->claiming = false;
  member->seen_ms = world->now_ms;
}

/* Sends a leadership record to the store. */
static void
member_append (struct world *world, unsigned host, bool resigned)
{
  struct member *member = &world->hosts[host];
  struct message message = { .kind = MESSAGE_APPEND, .from = host, .sent_ms = world->now_ms };

  message.record = (struct record){ .epoch = member->claimed_epoch,
                                    .host = host,
                                    .resigned = resigned,
                                    .earlier_ended = member->leading &&
                                                     world->now_ms >= member->earlier_end_ms };
  member->next_heartbeat_ms = world->now_ms + HEARTBEAT_MS;
  if (world->now_ms >= member->store_lost_until_ms)
    world_send (world, message);
}

/* Reads new records, or loads only the newest one as a host does that has fallen behind. */
static void
member_read (struct world *world, unsigned host, bool load)
{
  struct member *member = &world->hosts[host];

  member->next_read_ms = world->now_ms + READ_MS;
  if (world->now_ms < member->store_lost_until_ms)
    {
      member->readable_ms = 0;
      return;
    }
  if (member->readable_ms == 0)
    member->readable_ms = world->now_ms;
  if (load && world->journal->len > 0)
    member->n_read = MAX (member->n_read, world->journal->len - 1);
  while (member->n_read < world->journal->len)
    {
      member->last = g_array_index (world->journal, struct record, member->n_read++);
      member->seen_ms = world->now_ms;
      former_leaders_record_read (&member->former, member->last.epoch, member->last.resigned,
                                  member->last.earlier_ended, world->now_ms);
      if (member->last.host == host && member->last.epoch > member->claimed_epoch)
        former_leaders_process_ended (&member->former);
    }
  if (load)
    former_leaders_loaded (&member->former, world->now_ms);
  if ((member->leading || member->claiming) && member->last.epoch > member->claimed_epoch)
    member_follow (world, member);
}

/* Begins to lead: the claim is durable and has been read. */
static void
member_lead (struct world *world, unsigned host)
{
  struct member *member = &world->hosts[host];
  int64_t until_ms =
      MAX (member->claim_sent_ms, former_leaders_until_ms (&member->former, member->claimed_epoch));

  member->claiming = false;
  member->leading = true;
  member->record_sent_ms = member->claim_sent_ms;
  member->earlier_end_ms = until_ms + LEASE_MS;
  world->leaders++;
  relay_set_init (&member->others);
  for (unsigned i = 0; i < world->n_hosts; i++)
    {
      char name[NAME_BYTES];

      snprintf (name, sizeof name, "%u", i);
      if (i != host)
        relay_set_add (&member->others, name, name);
    }
}

/* Grants leases as the scheduler does, and asks the other hosts for confirmations. */
static void
member_grant (struct world *world, unsigned host)
{
  struct member *member = &world->hosts[host];
  int64_t confirmed_ms = relay_set_confirmed_ms (&member->others, world->now_ms);
  int64_t end_ms = MIN (world->now_ms + LEASE_MS,
                        leadership_leases_end_ms (member->record_sent_ms, confirmed_ms, LEASE_MS));
  int64_t *granted_ms = epoch_time (world->leases_end_ms, member->claimed_epoch);
  int64_t *ended_ms = epoch_time (world->counted_ended_ms, member->claimed_epoch);

  if (end_ms > world->now_ms)
    *granted_ms = MAX (*granted_ms, end_ms);
  if (world->now_ms >= member->earlier_end_ms && *ended_ms == 0)
    *ended_ms = world->now_ms;
  if (world->now_ms < member->next_ping_ms)
    return;
  member->next_ping_ms = world->now_ms + PING_MS;
  for (unsigned i = 0; i < world->n_hosts; i++)
    {
      struct message ping = {
        .kind = MESSAGE_PING, .from = host, .to = i, .epoch = member->claimed_epoch
      };
      char name[NAME_BYTES];

      snprintf (name, sizeof name, "%u", i);
      if (i == host)
        continue;
      ping.sequence = relay_batch_sent (relay_set_find (&member->others, name), world->now_ms);
      if (world->now_ms >= world->cut_until_ms[host][i])
        world_send (world, ping);
    }
}

/* Claims if the leader has been silent for long enough, has resigned or was this host's own former
 * process. */
static void
member_elect (struct world *world, unsigned host)
{
  struct member *member = &world->hosts[host];
  bool own = member->last.epoch > member->claimed_epoch && member->last.host == host;
  int64_t wait_ms = member->last.epoch > 0 && !member->last.resigned ? TIMEOUT_MS : 0;

  if (member->readable_ms == 0 || member->claiming || member->leading ||
      (!own && world->now_ms - MAX (member->seen_ms, member->readable_ms) <
                   wait_ms + g_rand_int_range (world->random, 0, 300)))
    return;
  member->claimed_epoch = MAX (member->last.epoch, member->claimed_epoch) + 1;
  member->claiming = true;
  member->claim_sent_ms = world->now_ms;
  member_append (world, host, false);
}

/* Appends a record unless its epoch is fenced or taken. */
static void
store_append (struct world *world, const struct message *message)
{
  struct message response = { .kind = MESSAGE_APPENDED,
                              .to = message->from,
                              .process = message->process,
                              .sent_ms = message->sent_ms,
                              .epoch = message->record.epoch };
  const struct record *last =
      world->journal->len > 0
          ? &g_array_index (world->journal, struct record, world->journal->len - 1)
          : NULL;

  response.success = !last || message->record.epoch > last->epoch ||
                     (message->record.epoch == last->epoch && message->record.host == last->host);
  if (response.success)
    g_array_append_val (world->journal, message->record);
  if (world->now_ms >= world->hosts[message->from].store_lost_until_ms)
    world_send (world, response);
}

static void
member_on_appended (struct world *world, unsigned host, const struct message *message)
{
  struct member *member = &world->hosts[host];

  if (message->process != member->process || message->epoch != member->claimed_epoch ||
      !(member->claiming || member->leading))
    return;
  if (!message->success)
    {
      member_follow (world, member);
      return;
    }
  if (member->leading)
    {
      member->record_sent_ms = MAX (member->record_sent_ms, message->sent_ms);
      return;
    }
  member_read (world, host, false);
  if (member->claiming && member->readable_ms > 0)
    member_lead (world, host);
}

static void
member_on_ping (struct world *world, unsigned host, const struct message *message)
{
  struct member *member = &world->hosts[host];
  struct message confirm = { .kind = MESSAGE_CONFIRM,
                             .from = host,
                             .to = message->from,
                             .process = message->process,
                             .epoch = message->epoch,
                             .sequence = message->sequence };

  member->pinged_epoch = MAX (member->pinged_epoch, message->epoch);
  confirm.success = leadership_may_confirm (message->epoch, member->last.epoch,
                                            member->claimed_epoch, member->pinged_epoch);
  if (world->now_ms >= world->cut_until_ms[host][message->from])
    world_send (world, confirm);
}

static void
member_on_confirm (struct world *world, unsigned host, const struct message *message)
{
  struct member *member = &world->hosts[host];
  char name[NAME_BYTES];
  struct relay *relay;

  if (message->process != member->process || !member->leading ||
      message->epoch != member->claimed_epoch)
    return;
  snprintf (name, sizeof name, "%u", message->from);
  relay = relay_set_find (&member->others, name);
  relay_batch_acked (&member->others, relay, message->sequence, world->now_ms);
  relay_batch_confirmed (relay, message->sequence, message->success);
}

/* Delivers the messages that are due. Those to a frozen host wait. */
static void
world_deliver (struct world *world)
{
  for (guint i = 0; i < world->messages->len;)
    {
      struct message message = g_array_index (world->messages, struct message, i);
      bool to_host = message.kind != MESSAGE_APPEND;

      if (message.due_ms > world->now_ms ||
          (to_host && world->now_ms < world->hosts[message.to].frozen_until_ms))
        {
          i++;
          continue;
        }
      g_array_remove_index (world->messages, i);
      if (message.kind == MESSAGE_APPEND)
        store_append (world, &message);
      else if (message.kind == MESSAGE_APPENDED)
        member_on_appended (world, message.to, &message);
      else if (message.kind == MESSAGE_PING)
        member_on_ping (world, message.to, &message);
      else
        member_on_confirm (world, message.to, &message);
    }
}

/* Restarts a host's process, which knows nothing of before. */
static void
member_restart (struct world *world, unsigned host)
{
  struct member *member = &world->hosts[host];
  unsigned process = member->process + 1;

  member_follow (world, member);
  *member = (struct member){ .process = process,
                             .store_lost_until_ms = member->store_lost_until_ms,
                             .frozen_until_ms = world->now_ms + 300 };
}

/* Draws a fault: a host loses the store, hosts are cut off from each other, a host stands still,
 * its process restarts or resigns, or all lose the store. */
static void
world_draw_fault (struct world *world)
{
  unsigned host = (unsigned) g_rand_int_range (world->random, 0, (gint32) world->n_hosts);
  int64_t until_ms = world->now_ms + g_rand_int_range (world->random, 100, FAULT_MAX_MS);

  /* Faults hit a leader as often as all other hosts together. */
  for (unsigned i = 0; i < world->n_hosts && g_rand_boolean (world->random); i++)
    host = world->hosts[i].leading ? i : host;
  switch (g_rand_int_range (world->random, 0, 7))
    {
    case 0:
      world->hosts[host].store_lost_until_ms = until_ms;
      break;
    case 1:
      /* The leader on an island with some of the hosts. */
      world->hosts[host].store_lost_until_ms = until_ms;
      for (unsigned i = 0; i < world->n_hosts; i++)
        {
          if (g_rand_boolean (world->random))
            world->cut_until_ms[host][i] = world->cut_until_ms[i][host] = until_ms;
          else
            world->hosts[i].store_lost_until_ms = until_ms;
        }
      break;
    case 2:
      for (unsigned i = 0; i < world->n_hosts; i++)
        world->cut_until_ms[host][i] = g_rand_boolean (world->random) ? until_ms : 0;
      break;
    case 3:
      world->hosts[host].frozen_until_ms = until_ms;
      break;
    case 4:
      member_restart (world, host);
      member_read (world, host, true);
      break;
    case 5:
      if (!world->hosts[host].leading)
        break;
      member_append (world, host, true);
      member_follow (world, &world->hosts[host]);
      break;
    default:
      for (unsigned i = 0; i < world->n_hosts; i++)
        world->hosts[i].store_lost_until_ms = until_ms;
      break;
    }
}

static void
world_step (struct world *world)
{
  world->now_ms += STEP_MS;
  if (g_rand_int_range (world->random, 0, FAULT_INTERVAL_MS / STEP_MS) == 0)
    world_draw_fault (world);
  world_deliver (world);
  for (unsigned i = 0; i < world->n_hosts; i++)
    {
      struct member *member = &world->hosts[i];

      if (world->now_ms < member->frozen_until_ms)
        continue;
      if (world->now_ms >= member->next_read_ms)
        member_read (world, i, member->n_read == 0 || g_rand_int_range (world->random, 0, 99) == 0);
      if ((member->leading || member->claiming) && world->now_ms >= member->next_heartbeat_ms)
        member_append (world, i, false);
      if (member->leading)
        member_grant (world, i);
      else
        member_elect (world, i);
    }
}

/* Counts the epochs that counted leases of earlier epochs as ended too early. */
static void
world_check (struct world *world, guint32 seed)
{
  for (guint epoch = 1; epoch < world->counted_ended_ms->len; epoch++)
    {
      int64_t ended_ms = g_array_index (world->counted_ended_ms, int64_t, epoch);

      for (guint earlier = 1; earlier < epoch && ended_ms > 0; earlier++)
        {
          int64_t end_ms = *epoch_time (world->leases_end_ms, earlier);

          if (end_ms <= ended_ms)
            continue;
          world->violations++;
          printf ("seed %u: epoch %u counted the leases of epoch %u as ended at %" G_GINT64_FORMAT
                  ", one lasted until %" G_GINT64_FORMAT "\n",
                  seed, epoch, earlier, ended_ms, end_ms);
        }
    }
}

/* A leader on an island with its endpoints renewed their leases for good, while its successor
 * counted them as ended 4.07 s after it began to lead: tasks ran twice. */
static void
test_leases_of_earlier_leaders (void)
{
  unsigned leaders = 0;

  for (guint32 seed = 1; seed <= ROUNDS; seed++)
    {
      struct world world = { .random = g_rand_new_with_seed (seed), .now_ms = 10000 };

      world.n_hosts = (unsigned) g_rand_int_range (world.random, 2, HOSTS_MAX + 1);
      world.journal = g_array_new (FALSE, FALSE, sizeof (struct record));
      world.messages = g_array_new (FALSE, FALSE, sizeof (struct message));
      world.leases_end_ms = g_array_new (FALSE, TRUE, sizeof (int64_t));
      world.counted_ended_ms = g_array_new (FALSE, TRUE, sizeof (int64_t));
      while (world.now_ms < ROUND_MS)
        world_step (&world);
      world_check (&world, seed);
      CU_ASSERT_EQUAL (world.violations, 0);
      leaders += world.leaders;
      for (unsigned i = 0; i < world.n_hosts; i++)
        member_follow (&world, &world.hosts[i]);
      g_array_unref (world.journal);
      g_array_unref (world.messages);
      g_array_unref (world.leases_end_ms);
      g_array_unref (world.counted_ended_ms);
      g_rand_free (world.random);
    }
  printf ("(%u leaderships) ", leaders);
  CU_ASSERT (leaders > 3 * ROUNDS);
}

/* While all other hosts confirm that they know of no later leader, leases don't end with the last
 * durable record: work goes on while the store is away for all. */
static void
test_confirmed_by_all (void)
{
  struct relay_set set;
  struct relay *a;
  struct relay *b;

  relay_set_init (&set);
  CU_ASSERT_EQUAL (relay_set_confirmed_ms (&set, 5000), 5000);
  a = relay_set_add (&set, "a", "127.0.0.1:1");
  b = relay_set_add (&set, "b", "127.0.0.1:2");
  relay_batch_confirmed (a, relay_batch_sent (a, 5000), true);
  CU_ASSERT_EQUAL (relay_set_confirmed_ms (&set, 5010), 0);
  relay_batch_confirmed (b, relay_batch_sent (b, 5005), true);
  CU_ASSERT_EQUAL (relay_set_confirmed_ms (&set, 5010), 5000);
  CU_ASSERT_EQUAL (leadership_leases_end_ms (1000, 5000, LEASE_MS), 5000 + LEASE_MS);
  CU_ASSERT_EQUAL (leadership_leases_end_ms (4000, 5000, LEASE_MS),
                   4000 + LEADERSHIP_VALID_MS + LEASE_MS);
  relay_set_finish (&set);
}

/* An acknowledgement counts from when the oldest batch that it may answer was sent, and one that
 * doesn't confirm the epoch changes nothing. */
static void
test_confirmed_since (void)
{
  struct relay_set set;
  struct relay *relay;
  uint64_t first;
  uint64_t second;

  relay_set_init (&set);
  relay = relay_set_add (&set, "a", "127.0.0.1:1");
  first = relay_batch_sent (relay, 1000);
  second = relay_batch_sent (relay, 1500);
  relay_batch_confirmed (relay, first - 1, true);
  CU_ASSERT_EQUAL (relay->confirmed_ms, 0);
  relay_batch_confirmed (relay, second, true);
  CU_ASSERT_EQUAL (relay->confirmed_ms, 1000);
  relay_batch_confirmed (relay, relay_batch_sent (relay, 2000), false);
  CU_ASSERT_EQUAL (relay->confirmed_ms, 1000);
  relay_set_finish (&set);
}

/* A host confirms an epoch unless it knows of a later one. Without any record it knows nothing: its
 * earlier process may have led. */
static void
test_may_confirm (void)
{
  CU_ASSERT_TRUE (leadership_may_confirm (5, 5, 0, 0));
  CU_ASSERT_TRUE (leadership_may_confirm (5, 4, 3, 5));
  CU_ASSERT_FALSE (leadership_may_confirm (5, 6, 0, 0));
  CU_ASSERT_FALSE (leadership_may_confirm (5, 5, 6, 0));
  CU_ASSERT_FALSE (leadership_may_confirm (5, 5, 0, 6));
  CU_ASSERT_FALSE (leadership_may_confirm (5, 0, 0, 0));
  CU_ASSERT_FALSE (leadership_may_confirm (5, 0, 0, 5));
}

/* A host that has skipped records doesn't know how long earlier leaders grant leases, unless the
 * last leader has recorded that they have ended. */
static void
test_skipped_records (void)
{
  struct former_leaders former = { 0 };

  former_leaders_record_read (&former, 4, true, false, 1000);
  CU_ASSERT_EQUAL (former_leaders_until_ms (&former, 5), 1000);
  former_leaders_loaded (&former, 1000);
  CU_ASSERT_EQUAL (former_leaders_until_ms (&former, 5), 1000 + LEADERSHIP_VALID_MS);
  former_leaders_record_read (&former, 4, true, true, 1100);
  former_leaders_loaded (&former, 1100);
  CU_ASSERT_EQUAL (former_leaders_until_ms (&former, 5), 1100);
  former_leaders_record_read (&former, 5, false, false, 2000);
  CU_ASSERT_EQUAL (former_leaders_until_ms (&former, 5), 1100);
  CU_ASSERT_EQUAL (former_leaders_until_ms (&former, 6), 2000 + LEADERSHIP_VALID_MS);
}

static const struct suite_test tests[] = {
  { "leases of earlier leaders", test_leases_of_earlier_leaders },
  { "confirmed by all", test_confirmed_by_all },
  { "confirmed since", test_confirmed_since },
  { "confirmation needs a record", test_may_confirm },
  { "skipped records", test_skipped_records },
};

int
main (void)
{
  return suite_run ("leadership_lease", tests, sizeof tests / sizeof tests[0]);
}
