#include <string.h>

#include "fixture.h"
#include "suite.h"

#define LIVE SP__HOST_PRESENCE__HOST_PRESENCE_LIVE
#define GONE SP__HOST_PRESENCE__HOST_PRESENCE_GONE
#define STEP(name) SP__HOST_STEP_KIND__HOST_STEP_KIND_##name

static const char *const a0[] = { "a0" };
static const char *const a0_a1[] = { "a0", "a1" };

/* Declares a pool or a service. Expects a rejection whose reason contains the given string, or
 * acceptance if reason is NULL. */
static void
expect_declaration (struct fixture *f, Sp__Pool *pool, Sp__Service *service, const char *reason)
{
  Sp__Declaration d = SP__DECLARATION__INIT;
  Sp__Declaration *all[] = { &d };
  enum verdict_kind kind;

  d.kind_case = pool ? SP__DECLARATION__KIND_POOL : SP__DECLARATION__KIND_SERVICE;
  if (pool)
    d.pool = pool;
  else
    d.service = service;
  kind = fixture_declare (f, all, 1);
  CU_ASSERT_EQUAL (kind, reason ? VERDICT_REJECTED : VERDICT_ACCEPTED);
  if (reason && !strstr (f->verdict.reason, reason))
    {
      printf ("expected the reason to contain \"%s\", but it is \"%s\"\n", reason,
              f->verdict.reason);
      CU_FAIL ("unexpected rejection reason");
    }
}

/* Each invalid field causes a rejection whose reason names the field. */
static void
test_declarations (void)
{
  Sp__Pool pools[] = {
    { PROTOBUF_C_MESSAGE_INIT (&sp__pool__descriptor), "p", "none", 0, "" },
    { PROTOBUF_C_MESSAGE_INIT (&sp__pool__descriptor), "p", "c", 0, "none" },
    { PROTOBUF_C_MESSAGE_INIT (&sp__pool__descriptor), "p", "c", 1, "" },
    { PROTOBUF_C_MESSAGE_INIT (&sp__pool__descriptor), "p", "c", 0, "p" },
    { PROTOBUF_C_MESSAGE_INIT (&sp__pool__descriptor), "p/q", "c", 0, "" },
    { PROTOBUF_C_MESSAGE_INIT (&sp__pool__descriptor), "a", "c", 4, "b" },
    { PROTOBUF_C_MESSAGE_INIT (&sp__pool__descriptor), "a", "c", 5, "b" },
    { PROTOBUF_C_MESSAGE_INIT (&sp__pool__descriptor), "p", "c", 0, "" },
  };
  const char *const pool_reasons[] = { "\"none\"",  "\"none\"", "above its 0 hosts",
                                       "own spare", "not 1 to", "use plan",
                                       NULL,        NULL };
  Sp__Service services[] = {
    { PROTOBUF_C_MESSAGE_INIT (&sp__service__descriptor), "s", "a", 0, 1000, 900, 0, 64 },
    { PROTOBUF_C_MESSAGE_INIT (&sp__service__descriptor), "s", "a", 0, 1000, 900, 8, 0 },
    { PROTOBUF_C_MESSAGE_INIT (&sp__service__descriptor), "s", "a", 0, 1000, 1001, 8, 64 },
    { PROTOBUF_C_MESSAGE_INIT (&sp__service__descriptor), "s", "a", 0, 0, 900, 8, 64 },
    { PROTOBUF_C_MESSAGE_INIT (&sp__service__descriptor), "s", "none", 0, 1000, 900, 8, 64 },
    { PROTOBUF_C_MESSAGE_INIT (&sp__service__descriptor), "sa", "a", 0, 1000, 700, 8, 64 },
    { PROTOBUF_C_MESSAGE_INIT (&sp__service__descriptor), "sa", "a", 0, 500, 800, 8, 64 },
  };
  const char *const service_reasons[] = { "slots_per_worker",
                                          "connections_per_worker",
                                          "availability_permille",
                                          "deadline_ms",
                                          "\"none\"",
                                          "use plan",
                                          NULL };
  struct fixture f = { 0 };

  fixture_init_fleet (&f, 5, 800);
  for (size_t i = 0; i < G_N_ELEMENTS (pools); i++)
    expect_declaration (&f, &pools[i], NULL, pool_reasons[i]);
  for (size_t i = 0; i < G_N_ELEMENTS (services); i++)
    expect_declaration (&f, NULL, &services[i], service_reasons[i]);
  CU_ASSERT_EQUAL (fleet_find_service (f.fleet, "sa")->deadline_ms, 500);
  fixture_clear (&f);
}

/* One invalid declaration rejects its whole set. A declaration based on an outdated state is
 * rejected, and the reason names the author of the change that it would overwrite. */
static void
test_all_or_nothing (void)
{
  Sp__Service service = {
    PROTOBUF_C_MESSAGE_INIT (&sp__service__descriptor), "sa", "a", 0, 700, 800, 8, 64
  };
  Sp__Pool bad = { PROTOBUF_C_MESSAGE_INIT (&sp__pool__descriptor), "p", "none", 0, "" };
  Sp__Declaration d[2] = { SP__DECLARATION__INIT, SP__DECLARATION__INIT };
  Sp__Declaration *all[] = { &d[0], &d[1] };
  struct fixture f = { 0 };

  fixture_init_fleet (&f, 5, 800);
  d[0].kind_case = SP__DECLARATION__KIND_SERVICE;
  d[0].service = &service;
  d[1].kind_case = SP__DECLARATION__KIND_POOL;
  d[1].pool = &bad;
  f.author = "ana";
  f.seen_fixed = true;
  f.seen_offset = f.offset;
  CU_ASSERT_EQUAL (fixture_declare (&f, all, 2), VERDICT_REJECTED);
  CU_ASSERT_EQUAL (fleet_find_service (f.fleet, "sa")->deadline_ms, 1000);
  CU_ASSERT_EQUAL (fixture_declare (&f, all, 1), VERDICT_ACCEPTED);
  f.author = "bob";
  service.deadline_ms = 600;
  expect_declaration (&f, NULL, &service, "at offset 13 by ana");
  CU_ASSERT_EQUAL (fleet_find_service (f.fleet, "sa")->deadline_ms, 700);
  fixture_clear (&f);
}

/* A record that is applied twice, with the same id or the same position, has no effect. */
static void
test_duplicates (void)
{
  Sp__Record record = SP__RECORD__INIT;
  Sp__HostSeen seen = SP__HOST_SEEN__INIT;
  uint8_t id[16] = { 1 };
  struct verdict verdict;
  struct fixture f = { 0 };

  fixture_init (&f);
  seen.host = (char *) "h";
  seen.pool = (char *) "p";
  seen.list_version = 1;
  record.body_case = SP__RECORD__BODY_HOST_SEEN;
  record.host_seen = &seen;
  record.id.data = id;
  record.id.len = sizeof id;
  CU_ASSERT_EQUAL (fixture_apply (&f, &record), VERDICT_ACCEPTED);
  fleet_apply (f.fleet, f.offset, 0, &record, &verdict);
  CU_ASSERT_EQUAL (verdict.kind, VERDICT_DUPLICATE);
  seen.presence = GONE;
  seen.list_version = 2;
  CU_ASSERT_EQUAL (fixture_apply (&f, &record), VERDICT_DUPLICATE);
  CU_ASSERT_PTR_NOT_NULL (fleet_find_host (f.fleet, "h"));
  record.id.len = 3;
  CU_ASSERT_EQUAL (fixture_apply (&f, &record), VERDICT_REJECTED);
  fixture_clear (&f);
}

/* Only the most recent record ids are kept. A record whose author had last seen the log before that
 * window is rejected, since it may be a duplicate. */
static void
test_id_window (void)
{
  struct fixture f = { 0 };

  fixture_init (&f);
  /* More than FLEET_MAX_RECORD_IDS (32768). */
  for (int i = 0; i < 40000; i++)
    {
      Sp__Record record = SP__RECORD__INIT;
      uint64_t id[2] = { 1, (uint64_t) i };
      struct verdict verdict;

      record.id.data = (uint8_t *) id;
      record.id.len = sizeof id;
      record.author = (char *) "op";
      record.seen_offset = f.offset++;
      fleet_apply (f.fleet, f.offset, 0, &record, &verdict);
      fleet_entry_end (f.fleet, f.offset);
    }
  f.seen_fixed = true;
  /* The ids after offset 100 are no longer all remembered, those after 39000 are. */
  f.seen_offset = 100;
  CU_ASSERT_EQUAL (fixture_host_seen (&f, "h", "p", LIVE, 1), VERDICT_REJECTED);
  CU_ASSERT_PTR_NOT_NULL (strstr (f.verdict.reason, "too long ago"));
  f.seen_offset = 39000;
  CU_ASSERT_EQUAL (fixture_host_seen (&f, "h", "p", LIVE, 1), VERDICT_ACCEPTED);
  fixture_clear (&f);
}

/* Strings that are too long or not UTF-8 are rejected, and the reasons are valid UTF-8
 * nevertheless. */
static void
test_texts (void)
{
  const struct audit_entry *entry;
  char longer[200];
  struct fixture f = { 0 };

  memset (longer, 'x', sizeof longer);
  longer[sizeof longer - 1] = '\0';
  fixture_init (&f);
  CU_ASSERT_EQUAL (fixture_host_seen (&f, longer, "p", LIVE, 1), VERDICT_REJECTED);
  CU_ASSERT_EQUAL (fixture_host_seen (&f, "h", longer, LIVE, 1), VERDICT_REJECTED);
  CU_ASSERT_EQUAL (fixture_host_seen (&f, "h", "p q", LIVE, 1), VERDICT_REJECTED);
  f.author = longer;
  CU_ASSERT_EQUAL (fixture_host_seen (&f, "h", "p", LIVE, 1), VERDICT_REJECTED);
  f.author = "\xff";
  CU_ASSERT_EQUAL (fixture_host_seen (&f, "h", "p", LIVE, 1), VERDICT_REJECTED);
  f.author = "op";
  memset (longer, 0xc3, sizeof longer - 1);
  CU_ASSERT_EQUAL (fixture_host_seen (&f, longer, "p", LIVE, 1), VERDICT_REJECTED);
  CU_ASSERT (g_utf8_validate (f.verdict.reason, -1, NULL));
  STAILQ_FOREACH (entry, fleet_audit (f.fleet), link)
    CU_ASSERT (g_utf8_validate (entry->what, -1, NULL));
  f.author = "J\xc3\xb6rg Op";
  CU_ASSERT_EQUAL (fixture_host_seen (&f, "h", "p", LIVE, 1), VERDICT_ACCEPTED);
  fixture_clear (&f);
}

/* A late entry of the host list neither changes a host nor adds it again, and the list never moves
 * a known host to another pool. */
static void
test_host_list (void)
{
  struct fixture f = { 0 };

  fixture_init (&f);
  CU_ASSERT_EQUAL (fixture_host_seen (&f, "h", "p", LIVE, 5), VERDICT_ACCEPTED);
  CU_ASSERT_EQUAL (fixture_host_seen (&f, "h", "q", LIVE, 6), VERDICT_DUPLICATE);
  CU_ASSERT_STRING_EQUAL (fleet_find_host (f.fleet, "h")->pool->name, "p");
  CU_ASSERT_EQUAL (fixture_host_seen (&f, "h", "p", GONE, 4), VERDICT_DUPLICATE);
  CU_ASSERT_EQUAL (fixture_host_seen (&f, "h", "p", GONE, 8), VERDICT_ACCEPTED);
  CU_ASSERT_PTR_NULL (fleet_find_host (f.fleet, "h"));
  CU_ASSERT_EQUAL (fixture_host_seen (&f, "h", "p", LIVE, 7), VERDICT_DUPLICATE);
  CU_ASSERT_PTR_NULL (fleet_find_host (f.fleet, "h"));
  CU_ASSERT_EQUAL (fixture_host_seen (&f, "h", "q", LIVE, 9), VERDICT_ACCEPTED);
  CU_ASSERT_STRING_EQUAL (fleet_find_host (f.fleet, "h")->pool->name, "q");
  fixture_clear (&f);
}

/* If the plans or decisions of two operators conflict, exactly one succeeds. The reason of the
 * other rejection names the first operator and the offset. */
static void
test_operator_race (void)
{
  struct fixture f = { 0 };

  fixture_init_fleet (&f, 5, 600);
  f.author = "ana";
  CU_ASSERT_EQUAL (fixture_propose (&f, "p1", 1, "a", NULL, 0, a0_a1, 2), VERDICT_ACCEPTED);
  f.author = "bob";
  CU_ASSERT_EQUAL (fixture_propose (&f, "p2", 1, "a", "b", 6, a0, 1), VERDICT_ACCEPTED);
  CU_ASSERT_EQUAL (fixture_confirm (&f, "p2", 1), VERDICT_ACCEPTED);
  CU_ASSERT_EQUAL (fleet_find_pool (f.fleet, "b")->capacity_target, 6);
  f.author = "ana";
  CU_ASSERT_EQUAL (fixture_confirm (&f, "p1", 1), VERDICT_REJECTED);
  CU_ASSERT_STRING_EQUAL (f.verdict.reason, "pool a was changed at offset 14 by bob");
  f.seen_fixed = true;
  f.seen_offset = f.offset - 2;
  CU_ASSERT_EQUAL (fixture_withdraw (&f, "p2"), VERDICT_REJECTED);
  CU_ASSERT_STRING_EQUAL (f.verdict.reason, "plan p2 was changed at offset 14 by bob");
  CU_ASSERT_EQUAL (fixture_confirm (&f, "p2", 1), VERDICT_REJECTED);
  CU_ASSERT_PTR_NOT_NULL (strstr (f.verdict.reason, "since offset 14 by bob"));
  f.seen_fixed = false;
  CU_ASSERT_EQUAL (fixture_propose (&f, "p1", 2, "a", NULL, 0, a0 + 0, 1), VERDICT_ACCEPTED);
  CU_ASSERT_EQUAL (fixture_confirm (&f, "p1", 1), VERDICT_REJECTED);
  CU_ASSERT_EQUAL (fixture_confirm (&f, "p1", 2), VERDICT_REJECTED);
  CU_ASSERT_PTR_NOT_NULL (strstr (f.verdict.reason, "held by plan p2"));
  fixture_clear (&f);
}

/* A plan is rejected at confirmation if a host or pool that it affects has changed since it was
 * made. Changes of other pools don't matter. */
static void
test_plan_conflicts (void)
{
  struct fixture f = { 0 };

  fixture_init_fleet (&f, 5, 600);
  CU_ASSERT_EQUAL (fixture_propose (&f, "p1", 1, "a", NULL, 0, a0, 1), VERDICT_ACCEPTED);
  CU_ASSERT_EQUAL (fixture_host_seen (&f, "a0", "a", SP__HOST_PRESENCE__HOST_PRESENCE_LEAVING, 2),
                   VERDICT_ACCEPTED);
  CU_ASSERT_EQUAL (fixture_confirm (&f, "p1", 1), VERDICT_REJECTED);
  CU_ASSERT_STRING_EQUAL (f.verdict.reason, "host a0 was changed at offset 13 by op");
  CU_ASSERT_EQUAL (fixture_host_seen (&f, "a0", "a", LIVE, 3), VERDICT_ACCEPTED);
  CU_ASSERT_EQUAL (fixture_propose (&f, "p2", 1, "a", NULL, 0, a0, 1), VERDICT_ACCEPTED);
  CU_ASSERT_EQUAL (fixture_host_seen (&f, "a4", "a", GONE, 4), VERDICT_ACCEPTED);
  CU_ASSERT_EQUAL (fixture_confirm (&f, "p2", 1), VERDICT_REJECTED);
  CU_ASSERT_EQUAL (fixture_host_seen (&f, "b4", "b", GONE, 5), VERDICT_ACCEPTED);
  CU_ASSERT_EQUAL (fixture_propose (&f, "p2", 2, "a", NULL, 0, a0, 1), VERDICT_ACCEPTED);
  CU_ASSERT_EQUAL (fixture_host_seen (&f, "b3", "b", GONE, 6), VERDICT_ACCEPTED);
  CU_ASSERT_EQUAL (fixture_confirm (&f, "p2", 2), VERDICT_ACCEPTED);
  fixture_clear (&f);
}

/* The steps of a move and of maintenance are accepted only in their order, and the host changes its
 * pool with the step BELONGS. */
static void
test_steps (void)
{
  static const Sp__HostStepKind move[] = { STEP (LEAVING), STEP (DRAINED), STEP (LEFT),
                                           STEP (BELONGS) };
  static const Sp__HostStepKind maintain[] = { STEP (LEAVING), STEP (DRAINED), STEP (REBOOTED),
                                               STEP (SERVING) };

  for (int kind = 0; kind < 2; kind++)
    {
      const Sp__HostStepKind *order = kind ? maintain : move;
      struct fixture f = { 0 };

      fixture_init_fleet (&f, 5, 600);
      fixture_propose (&f, "p", 1, "a", kind ? NULL : "b", 6, a0, 1);
      CU_ASSERT_EQUAL (fixture_step (&f, "a0", "p", STEP (LEAVING)), VERDICT_REJECTED);
      fixture_confirm (&f, "p", 1);
      CU_ASSERT_EQUAL (fixture_step (&f, "a0", "p", STEP (LEAVING)), VERDICT_REJECTED);
      fixture_claim (&f, "x", 0, false);
      for (int i = 0; i < 4; i++)
        {
          for (int other = STEP (LEAVING); other <= STEP (ABANDONED); other++)
            if (other != (int) order[i])
              CU_ASSERT_EQUAL (fixture_step (&f, "a0", "p", other), VERDICT_REJECTED);
          CU_ASSERT_STRING_EQUAL (fleet_find_host (f.fleet, "a0")->pool->name, "a");
          CU_ASSERT_EQUAL (fixture_step (&f, "a0", "p", order[i]), VERDICT_ACCEPTED);
        }
      CU_ASSERT_STRING_EQUAL (fleet_find_host (f.fleet, "a0")->pool->name, kind ? "a" : "b");
      CU_ASSERT_EQUAL (fleet_find_plan (f.fleet, "p")->state, PLAN_DONE);
      fixture_clear (&f);
    }
}

/* A step that would break the availability budget is rejected, even if a confirmed plan contains
 * it, and also after a host of the pool failed. */
static void
test_budget (void)
{
  static const char *const hosts[] = { "a0", "a1", "a2", "a3" };
  struct fixture f = { 0 };

  /* 3 of the 5 hosts must serve: 50 %, rounded up. */
  fixture_init_fleet (&f, 5, 500);
  fixture_propose (&f, "p", 1, "a", NULL, 0, hosts, 4);
  fixture_confirm (&f, "p", 1);
  fixture_claim (&f, "x", 0, false);
  CU_ASSERT_EQUAL (fixture_step (&f, "a0", "p", STEP (LEAVING)), VERDICT_ACCEPTED);
  CU_ASSERT_EQUAL (fixture_host_seen (&f, "a4", "a", GONE, 2), VERDICT_ACCEPTED);
  CU_ASSERT_EQUAL (fixture_step (&f, "a1", "p", STEP (LEAVING)), VERDICT_REJECTED);
  CU_ASSERT_PTR_NOT_NULL (strstr (f.verdict.reason, "must keep 3"));
  fixture_step (&f, "a0", "p", STEP (DRAINED));
  fixture_step (&f, "a0", "p", STEP (REBOOTED));
  fixture_step (&f, "a0", "p", STEP (SERVING));
  CU_ASSERT_EQUAL (fixture_step (&f, "a1", "p", STEP (LEAVING)), VERDICT_ACCEPTED);
  fixture_clear (&f);
}

/* If two processes acquire the claim at once, the first record wins. A step with an old term is
 * rejected. */
static void
test_claim (void)
{
  Sp__Record record = SP__RECORD__INIT;
  Sp__HostStep step = SP__HOST_STEP__INIT;
  uint64_t old_term;
  struct fixture f = { 0 };

  fixture_init_fleet (&f, 5, 500);
  fixture_propose (&f, "p", 1, "a", NULL, 0, a0, 1);
  fixture_confirm (&f, "p", 1);
  CU_ASSERT_EQUAL (fixture_claim (&f, "x", 0, false), VERDICT_ACCEPTED);
  old_term = fleet_claim (f.fleet)->term;
  CU_ASSERT_EQUAL (fixture_claim (&f, "x", old_term, false), VERDICT_ACCEPTED);
  CU_ASSERT_EQUAL (fleet_claim (f.fleet)->term, old_term);
  f.seen_fixed = true;
  f.seen_offset = f.offset;
  CU_ASSERT_EQUAL (fixture_claim (&f, "y", 0, false), VERDICT_ACCEPTED);
  CU_ASSERT_EQUAL (fixture_claim (&f, "z", 0, false), VERDICT_REJECTED);
  CU_ASSERT_EQUAL (fixture_claim (&f, "x", old_term, false), VERDICT_REJECTED);
  CU_ASSERT_EQUAL (fixture_claim (&f, "x", old_term, true), VERDICT_REJECTED);
  CU_ASSERT_STRING_EQUAL (fleet_claim (f.fleet)->holder, "y");
  step.host = (char *) "a0";
  step.plan_id = (char *) "p";
  step.term = old_term;
  record.body_case = SP__RECORD__BODY_HOST_STEP;
  record.host_step = &step;
  CU_ASSERT_EQUAL (fixture_apply (&f, &record), VERDICT_REJECTED);
  CU_ASSERT_PTR_NOT_NULL (strstr (f.verdict.reason, "held by \"y\""));
  fixture_clear (&f);
}

/* If a confirmed plan is withdrawn, its steps in progress can finish and no other step begins. */
static void
test_withdraw_confirmed (void)
{
  struct fixture f = { 0 };

  fixture_init_fleet (&f, 5, 500);
  fixture_propose (&f, "p", 1, "a", NULL, 0, a0_a1, 2);
  fixture_confirm (&f, "p", 1);
  fixture_claim (&f, "x", 0, false);
  fixture_step (&f, "a0", "p", STEP (LEAVING));
  CU_ASSERT_EQUAL (fixture_withdraw (&f, "p"), VERDICT_ACCEPTED);
  CU_ASSERT_EQUAL (fixture_step (&f, "a1", "p", STEP (LEAVING)), VERDICT_REJECTED);
  CU_ASSERT_PTR_NULL (fleet_find_host (f.fleet, "a1")->plan);
  CU_ASSERT_EQUAL (fixture_step (&f, "a0", "p", STEP (RETURNING)), VERDICT_ACCEPTED);
  CU_ASSERT_EQUAL (fixture_step (&f, "a0", "p", STEP (ABANDONED)), VERDICT_ACCEPTED);
  CU_ASSERT_EQUAL (fleet_find_plan (f.fleet, "p")->state, PLAN_WITHDRAWN);
  CU_ASSERT (host_serves (fleet_find_host (f.fleet, "a0")));
  fixture_clear (&f);
}

/* Proposes a wave on pool "a" with two moves of b0: to pool "a" from 0 to 1000 ms, and back to pool
 * "b" from back_ms on. */
static enum verdict_kind
propose_round_trip (struct fixture *f, const char *id, uint64_t back_ms)
{
  Sp__PlanStep there = {
    PROTOBUF_C_MESSAGE_INIT (&sp__plan_step__descriptor), 0, "b0", "b", "a", 0, 1000
  };
  Sp__PlanStep back = {
    PROTOBUF_C_MESSAGE_INIT (&sp__plan_step__descriptor), 0, "b0", "a", "b", back_ms, back_ms + 1000
  };
  Sp__PlanStep *steps[] = { &there, &back };
  Sp__WaveIntent wave = SP__WAVE_INTENT__INIT;
  Sp__Intent intent = SP__INTENT__INIT;
  Sp__Plan plan = SP__PLAN__INIT;
  Sp__PlanPropose propose = SP__PLAN_PROPOSE__INIT;
  Sp__Record record = SP__RECORD__INIT;

  wave.pool = "a";
  wave.name = "w";
  intent.kind_case = SP__INTENT__KIND_WAVE;
  intent.wave = &wave;
  plan.id = (char *) id;
  plan.revision = 1;
  plan.intent = &intent;
  plan.steps = steps;
  plan.n_steps = 2;
  propose.plan = &plan;
  record.body_case = SP__RECORD__BODY_PROPOSE;
  record.propose = &propose;
  return fixture_apply (f, &record);
}

/* Applies all steps of one move of b0. */
static void
move_b0 (struct fixture *f)
{
  static const Sp__HostStepKind order[] = { STEP (LEAVING), STEP (DRAINED), STEP (LEFT),
                                            STEP (BELONGS) };

  for (size_t i = 0; i < sizeof order / sizeof order[0]; i++)
    {
      CU_ASSERT_EQUAL (fixture_step (f, "b0", "p", order[i]), VERDICT_ACCEPTED);
      fleet_check (f->fleet);
    }
}

/* A host that a plan moves to another pool for a while returns by the same plan, even if the state
 * was saved and loaded in between. A second step that starts before the first one ends is
 * rejected. */
static void
test_loan (void)
{
  struct fixture f = { 0 };
  GByteArray *saved;

  fixture_init_fleet (&f, 5, 500);
  CU_ASSERT_EQUAL (propose_round_trip (&f, "early", 999), VERDICT_REJECTED);
  CU_ASSERT_EQUAL (propose_round_trip (&f, "p", 1000), VERDICT_ACCEPTED);
  fixture_confirm (&f, "p", 1);
  fixture_claim (&f, "x", 0, false);
  move_b0 (&f);
  CU_ASSERT_STRING_EQUAL (fleet_find_host (f.fleet, "b0")->pool->name, "a");
  CU_ASSERT_EQUAL (fleet_find_plan (f.fleet, "p")->state, PLAN_CONFIRMED);
  saved = fleet_save (f.fleet);
  fleet_destroy (f.fleet);
  f.fleet = fleet_load (saved->data, saved->len);
  g_byte_array_unref (saved);
  SUITE_REQUIRE (f.fleet != NULL);
  move_b0 (&f);
  CU_ASSERT_STRING_EQUAL (fleet_find_host (f.fleet, "b0")->pool->name, "b");
  CU_ASSERT_EQUAL (fleet_find_plan (f.fleet, "p")->state, PLAN_DONE);
  CU_ASSERT_PTR_NULL (fleet_find_host (f.fleet, "b0")->plan);
  fixture_clear (&f);
}

/* If the move to the other pool is withdrawn (kind 0), its host is removed (1), or it fails (2),
 * the move back ends too. */
static void
test_loan_ends (void)
{
  for (int kind = 0; kind < 3; kind++)
    {
      struct fixture f = { 0 };

      fixture_init_fleet (&f, 5, 500);
      propose_round_trip (&f, "p", 1000);
      fixture_confirm (&f, "p", 1);
      fixture_claim (&f, "x", 0, false);
      if (kind == 0)
        fixture_withdraw (&f, "p");
      else if (kind == 1)
        fixture_host_seen (&f, "b0", "b", SP__HOST_PRESENCE__HOST_PRESENCE_GONE, 1000);
      else
        {
          fixture_step (&f, "b0", "p", STEP (LEAVING));
          fixture_step (&f, "b0", "p", STEP (RETURNING));
          fixture_step (&f, "b0", "p", STEP (ABANDONED));
        }
      fleet_check (f.fleet);
      CU_ASSERT (fleet_find_plan (f.fleet, "p")->state >= PLAN_WITHDRAWN);
      fixture_clear (&f);
    }
}

/* Only the most recently ended plans are kept, and the order of their ends survives saving and
 * loading. */
static void
test_ended_plans (void)
{
  struct fixture f = { 0 };
  GByteArray *bytes;
  char id[16];

  fixture_init_fleet (&f, 5, 500);
  for (int i = 999; i >= 0; i--)
    {
      g_snprintf (id, sizeof id, "p%03d", i);
      fixture_propose (&f, id, 1, "a", NULL, 0, a0_a1, 2);
      CU_ASSERT_EQUAL (fixture_confirm (&f, id, 1), VERDICT_ACCEPTED);
      CU_ASSERT_EQUAL (fixture_withdraw (&f, id), VERDICT_ACCEPTED);
    }
  CU_ASSERT_PTR_NOT_NULL (fleet_find_plan (f.fleet, "p199"));
  CU_ASSERT_PTR_NULL (fleet_find_plan (f.fleet, "p200"));
  bytes = fleet_save (f.fleet);
  fleet_destroy (f.fleet);
  f.fleet = fleet_load (bytes->data, bytes->len);
  SUITE_REQUIRE (f.fleet != NULL);
  fixture_propose (&f, "last", 1, "a", NULL, 0, a0_a1, 0);
  CU_ASSERT_EQUAL (fixture_withdraw (&f, "last"), VERDICT_ACCEPTED);
  CU_ASSERT_PTR_NULL (fleet_find_plan (f.fleet, "p199"));
  CU_ASSERT_PTR_NOT_NULL (fleet_find_plan (f.fleet, "p198"));
  CU_ASSERT_PTR_NOT_NULL (fleet_find_plan (f.fleet, "p000"));
  g_byte_array_unref (bytes);
  fixture_clear (&f);
}

/* A host that is removed during a step ends the step, unless the host is off the list because the
 * step reboots it. */
static void
test_host_goes (void)
{
  struct fixture f = { 0 };

  fixture_init_fleet (&f, 5, 500);
  fixture_propose (&f, "p", 1, "a", NULL, 0, a0_a1, 2);
  fixture_confirm (&f, "p", 1);
  fixture_claim (&f, "x", 0, false);
  fixture_step (&f, "a0", "p", STEP (LEAVING));
  fixture_step (&f, "a0", "p", STEP (DRAINED));
  fixture_step (&f, "a1", "p", STEP (LEAVING));
  CU_ASSERT_EQUAL (fixture_host_seen (&f, "a0", "a", GONE, 2), VERDICT_ACCEPTED);
  CU_ASSERT_EQUAL (fixture_host_seen (&f, "a1", "a", GONE, 2), VERDICT_ACCEPTED);
  CU_ASSERT_PTR_NULL (fleet_find_host (f.fleet, "a1"));
  CU_ASSERT_EQUAL (fleet_find_plan (f.fleet, "p")->outcomes[1], STEP_GONE);
  CU_ASSERT_EQUAL (fixture_step (&f, "a0", "p", STEP (REBOOTED)), VERDICT_ACCEPTED);
  CU_ASSERT_EQUAL (fixture_host_seen (&f, "a0", "a", LIVE, 3), VERDICT_ACCEPTED);
  CU_ASSERT_EQUAL (fixture_step (&f, "a0", "p", STEP (SERVING)), VERDICT_ACCEPTED);
  CU_ASSERT_EQUAL (fleet_find_plan (f.fleet, "p")->state, PLAN_DONE);
  fixture_clear (&f);
}

/* Appends a usage report of a host in pool "a". */
static enum verdict_kind
report_usage (struct fixture *f, const char *host, int64_t from_ms, int64_t to_ms)
{
  Sp__Record record = SP__RECORD__INIT;
  Sp__UsageReport usage = SP__USAGE_REPORT__INIT;

  usage.host = (char *) host;
  usage.pool = (char *) "a";
  usage.from_ms = (uint64_t) from_ms;
  usage.to_ms = (uint64_t) to_ms;
  usage.busy_permille = 500;
  record.body_case = SP__RECORD__BODY_USAGE;
  record.usage = &usage;
  return fixture_apply (f, &record);
}

/* Overlapping usage is counted once, split at the end of a month, and accepted after the host was
 * removed; the time between reports is counted as a gap. */
static void
test_usage (void)
{
  /* 2026-12-01T00:00:00Z. */
  const int64_t december_ms = 1796083200000;
  const int64_t hour_ms = 3600000;
  const struct usage_month *usage;
  struct fixture f = { 0 };

  fixture_init_fleet (&f, 2, 500);
  f.time_ms = december_ms + 6 * hour_ms;
  CU_ASSERT_EQUAL (report_usage (&f, "a0", december_ms - hour_ms, december_ms + hour_ms),
                   VERDICT_ACCEPTED);
  CU_ASSERT_EQUAL (report_usage (&f, "a0", december_ms - hour_ms, december_ms + hour_ms),
                   VERDICT_DUPLICATE);
  CU_ASSERT_EQUAL (report_usage (&f, "a0", december_ms, december_ms + 2 * hour_ms),
                   VERDICT_ACCEPTED);
  CU_ASSERT_EQUAL (fixture_host_seen (&f, "a0", "a", GONE, 2), VERDICT_ACCEPTED);
  CU_ASSERT_EQUAL (report_usage (&f, "a0", december_ms + 3 * hour_ms, december_ms + 4 * hour_ms),
                   VERDICT_ACCEPTED);
  CU_ASSERT_EQUAL (report_usage (&f, "zz", december_ms, december_ms + hour_ms), VERDICT_REJECTED);
  CU_ASSERT_EQUAL (report_usage (&f, "a1", december_ms, december_ms + 9 * hour_ms),
                   VERDICT_REJECTED);
  usage = fleet_find_usage (f.fleet, "a", "c", "2026-11");
  SUITE_REQUIRE (usage != NULL);
  CU_ASSERT_EQUAL (usage->host_ms, hour_ms);
  usage = fleet_find_usage (f.fleet, "a", "c", "2026-12");
  SUITE_REQUIRE (usage != NULL);
  CU_ASSERT_EQUAL (usage->host_ms, 3 * hour_ms);
  CU_ASSERT_EQUAL (usage->busy_ms, 3 * hour_ms / 2);
  CU_ASSERT_EQUAL (usage->gap_ms, hour_ms);
  CU_ASSERT_EQUAL (usage->lag_max_ms, 5 * hour_ms);
  fixture_clear (&f);
}

int
main (void)
{
  static const struct suite_test tests[] = {
    { "declarations", test_declarations },
    { "all or nothing", test_all_or_nothing },
    { "duplicates", test_duplicates },
    { "id window", test_id_window },
    { "texts", test_texts },
    { "host list", test_host_list },
    { "operator race", test_operator_race },
    { "plan conflicts", test_plan_conflicts },
    { "steps", test_steps },
    { "budget", test_budget },
    { "claim", test_claim },
    { "withdraw confirmed", test_withdraw_confirmed },
    { "loan", test_loan },
    { "loan ends", test_loan_ends },
    { "ended plans", test_ended_plans },
    { "host goes", test_host_goes },
    { "usage", test_usage },
  };

  return suite_run ("fleet", tests, G_N_ELEMENTS (tests));
}
