#include "fixture.h"

#include <string.h>

#include "suite.h"

/* Creates an empty fleet. */
void
fixture_init (struct fixture *fixture)
{
  GPtrArray *log = fixture->log;

  memset (fixture, 0, sizeof *fixture);
  fixture->log = log;
  fixture->fleet = fleet_create ();
  fixture->author = "op";
  /* 2026-12-03T00:00:00Z. */
  fixture->time_ms = 1796256000000;
}

void
fixture_clear (struct fixture *fixture)
{
  fleet_destroy (fixture->fleet);
  if (fixture->log)
    g_ptr_array_unref (fixture->log);
}

/* Appends and applies one record; gives it a new id unless it has one. */
enum verdict_kind
fixture_apply (struct fixture *fixture, Sp__Record *record)
{
  uint64_t id[2] = { 0, ++fixture->next_id };
  bool own_id = !record->id.len;

  if (own_id)
    {
      record->id.data = (uint8_t *) id;
      record->id.len = sizeof id;
    }
  record->author = (char *) fixture->author;
  record->time_ms = (uint64_t) fixture->time_ms;
  record->seen_offset = fixture->seen_fixed ? fixture->seen_offset : fixture->offset;
  fixture->offset++;
  if (fixture->log)
    {
      GByteArray *packed = g_byte_array_new ();

      g_byte_array_set_size (packed, (guint) sp__record__get_packed_size (record));
      sp__record__pack (record, packed->data);
      g_ptr_array_add (fixture->log, packed);
    }
  fleet_apply (fixture->fleet, fixture->offset, 0, record, &fixture->verdict);
  fleet_entry_end (fixture->fleet, fixture->offset);
  fleet_check (fixture->fleet);
  if (own_id)
    record->id = (ProtobufCBinaryData){ 0, NULL };
  return fixture->verdict.kind;
}

/* Appends a record with a set of declarations. */
enum verdict_kind
fixture_declare (struct fixture *fixture, Sp__Declaration *const *declarations, size_t n)
{
  Sp__Record record = SP__RECORD__INIT;
  Sp__DeclarationSet set = SP__DECLARATION_SET__INIT;

  set.declarations = (Sp__Declaration **) declarations;
  set.n_declarations = n;
  record.body_case = SP__RECORD__BODY_DECLARE;
  record.declare = &set;
  return fixture_apply (fixture, &record);
}

/* Appends an entry of the platform's host list. */
enum verdict_kind
fixture_host_seen (struct fixture *fixture, const char *host, const char *pool,
                   Sp__HostPresence presence, uint64_t list_version)
{
  Sp__Record record = SP__RECORD__INIT;
  Sp__HostSeen seen = SP__HOST_SEEN__INIT;

  seen.host = (char *) host;
  seen.host_class = (char *) "c";
  seen.pool = (char *) pool;
  seen.rack = (char *) "r1";
  seen.data_centre = (char *) "dc1";
  seen.region = (char *) "eu";
  seen.address = (char *) "127.0.0.1";
  seen.port = 9000;
  seen.presence = presence;
  seen.list_version = list_version;
  record.body_case = SP__RECORD__BODY_HOST_SEEN;
  record.host_seen = &seen;
  return fixture_apply (fixture, &record);
}

/* Declares the class, pools, service and team of fixture_init_fleet. */
static void
declare_all (struct fixture *fixture, uint32_t n_hosts, uint32_t permille)
{
  Sp__HostClass class = {
    PROTOBUF_C_MESSAGE_INIT (&sp__host_class__descriptor), "c", 8, 32, 0, 1000000
  };
  Sp__Pool a = { PROTOBUF_C_MESSAGE_INIT (&sp__pool__descriptor), "a", "c", n_hosts, "b" };
  Sp__Pool b = { PROTOBUF_C_MESSAGE_INIT (&sp__pool__descriptor), "b", "c", n_hosts, "" };
  Sp__Service sa = {
    PROTOBUF_C_MESSAGE_INIT (&sp__service__descriptor), "sa", "a", 0, 1000, permille, 8, 64
  };
  Sp__Team t = { PROTOBUF_C_MESSAGE_INIT (&sp__team__descriptor), "t", "a", 16 };
  Sp__Declaration d[5];
  Sp__Declaration *all[5];
  enum verdict_kind kind;

  for (int i = 0; i < 5; i++)
    {
      sp__declaration__init (&d[i]);
      all[i] = &d[i];
    }
  d[0].kind_case = SP__DECLARATION__KIND_SERVICE;
  d[0].service = &sa;
  d[1].kind_case = SP__DECLARATION__KIND_POOL;
  d[1].pool = &a;
  d[2].kind_case = SP__DECLARATION__KIND_POOL;
  d[2].pool = &b;
  d[3].kind_case = SP__DECLARATION__KIND_HOST_CLASS;
  d[3].host_class = &class;
  d[4].kind_case = SP__DECLARATION__KIND_TEAM;
  d[4].team = &t;
  kind = fixture_declare (fixture, all, 5);
  SUITE_REQUIRE (kind == VERDICT_ACCEPTED);
}

/* Creates two pools with n_hosts hosts each. */
void
fixture_init_fleet (struct fixture *fixture, int n_hosts, uint32_t permille)
{
  enum verdict_kind kind;
  char name[16];

  fixture_init (fixture);
  for (int i = 0; i < 2 * n_hosts; i++)
    {
      g_snprintf (name, sizeof name, "%c%d", i % 2 ? 'b' : 'a', i / 2);
      kind = fixture_host_seen (fixture, name, i % 2 ? "b" : "a",
                                SP__HOST_PRESENCE__HOST_PRESENCE_LIVE, 1);
      SUITE_REQUIRE (kind == VERDICT_ACCEPTED);
    }
  declare_all (fixture, (uint32_t) n_hosts, permille);
}

/* Appends a plan: revision 1 proposes it, a later revision amends it. */
enum verdict_kind
fixture_propose (struct fixture *fixture, const char *id, uint32_t revision, const char *from_pool,
                 const char *to_pool, uint32_t target, const char *const *hosts, size_t n_hosts)
{
  Sp__Record record = SP__RECORD__INIT;
  Sp__PlanPropose propose = SP__PLAN_PROPOSE__INIT;
  Sp__PlanAmend amend = SP__PLAN_AMEND__INIT;
  Sp__Plan plan = SP__PLAN__INIT;
  Sp__Intent intent = SP__INTENT__INIT;
  Sp__CapacityIntent capacity = SP__CAPACITY_INTENT__INIT;
  Sp__WaveIntent wave = SP__WAVE_INTENT__INIT;
  Sp__PlanStep *steps = g_new0 (Sp__PlanStep, n_hosts + 1);
  Sp__PlanStep **pointers = g_new0 (Sp__PlanStep *, n_hosts + 1);
  enum verdict_kind kind;

  for (size_t i = 0; i < n_hosts; i++)
    {
      sp__plan_step__init (&steps[i]);
      steps[i].kind = to_pool ? SP__STEP_KIND__STEP_KIND_MOVE : SP__STEP_KIND__STEP_KIND_MAINTAIN;
      steps[i].host = (char *) hosts[i];
      steps[i].from_pool = (char *) from_pool;
      steps[i].to_pool = (char *) (to_pool ? to_pool : "");
      pointers[i] = &steps[i];
    }
  wave.pool = (char *) from_pool;
  capacity.pool = (char *) to_pool;
  capacity.capacity_target = target;
  intent.kind_case = to_pool ? SP__INTENT__KIND_CAPACITY : SP__INTENT__KIND_WAVE;
  if (to_pool)
    intent.capacity = &capacity;
  else
    intent.wave = &wave;
  plan.id = (char *) id;
  plan.revision = revision;
  plan.intent = &intent;
  plan.n_steps = n_hosts;
  plan.steps = pointers;
  propose.plan = &plan;
  amend.plan = &plan;
  record.body_case = revision == 1 ? SP__RECORD__BODY_PROPOSE : SP__RECORD__BODY_AMEND;
  if (revision == 1)
    record.propose = &propose;
  else
    record.amend = &amend;
  kind = fixture_apply (fixture, &record);
  g_free (steps);
  g_free (pointers);
  return kind;
}

/* Appends a confirmation of a plan. */
enum verdict_kind
fixture_confirm (struct fixture *fixture, const char *id, uint32_t revision)
{
  Sp__Record record = SP__RECORD__INIT;
  Sp__PlanConfirm confirm = SP__PLAN_CONFIRM__INIT;

  confirm.plan_id = (char *) id;
  confirm.revision = revision;
  record.body_case = SP__RECORD__BODY_CONFIRM;
  record.confirm = &confirm;
  return fixture_apply (fixture, &record);
}

/* Appends a withdrawal of a plan. */
enum verdict_kind
fixture_withdraw (struct fixture *fixture, const char *id)
{
  Sp__Record record = SP__RECORD__INIT;
  Sp__PlanWithdraw withdraw = SP__PLAN_WITHDRAW__INIT;

  withdraw.plan_id = (char *) id;
  record.body_case = SP__RECORD__BODY_WITHDRAW;
  record.withdraw = &withdraw;
  return fixture_apply (fixture, &record);
}

/* Appends an acquisition, renewal or release of the claim. */
enum verdict_kind
fixture_claim (struct fixture *fixture, const char *holder, uint64_t renew_term, bool release)
{
  Sp__Record record = SP__RECORD__INIT;
  Sp__Claim claim = SP__CLAIM__INIT;

  claim.holder = (char *) holder;
  claim.duration_ms = 5000;
  claim.renew_term = renew_term;
  claim.release = release;
  record.body_case = SP__RECORD__BODY_CLAIM;
  record.claim = &claim;
  return fixture_apply (fixture, &record);
}

/* Appends a step record of a host under the current claim. */
enum verdict_kind
fixture_step (struct fixture *fixture, const char *host, const char *plan, Sp__HostStepKind kind)
{
  Sp__Record record = SP__RECORD__INIT;
  Sp__HostStep step = SP__HOST_STEP__INIT;

  step.kind = kind;
  step.host = (char *) host;
  step.plan_id = (char *) plan;
  step.term = fleet_claim (fixture->fleet)->term;
  record.body_case = SP__RECORD__BODY_HOST_STEP;
  record.host_step = &step;
  return fixture_apply (fixture, &record);
}

/* Appends a task record. */
enum verdict_kind
fixture_task (struct fixture *fixture, Sp__TaskStep step)
{
  Sp__Record record = SP__RECORD__INIT;

  record.body_case = SP__RECORD__BODY_TASK;
  record.task = &step;
  return fixture_apply (fixture, &record);
}
