#include "lib/workspaces/workspace_usage.h"
#include "suite.h"

static const struct resources one = { .cpu_milli = 1000, .memory_mb = 100 };
static const struct resources three = { .cpu_milli = 3000, .memory_mb = 100 };

/* Applies a version with the workspace "a", unless its cap is 0, and the workspace "other". */
static struct workspace_account *
apply (struct workspace_usage *usage, int64_t cap_cpu_milli)
{
  struct workspace_table *table = workspace_table_create ();
  struct workspace a = { .name = "a", .weight = 3, .cap = { .cpu_milli = cap_cpu_milli } };
  struct workspace other = { .name = "other", .weight = 1 };

  if (cap_cpu_milli > 0)
    workspace_table_add (table, &a);
  workspace_table_add (table, &other);
  workspace_usage_apply (usage, table);
  workspace_table_destroy (table);
  return workspace_usage_account (usage, "a");
}

/* A start is allowed up to the cap exactly, and not just above it. */
static void
test_limit (void)
{
  struct workspace_usage *usage = workspace_usage_create ();
  struct workspace_account *account = apply (usage, 4000);
  struct resources above = { .cpu_milli = 1001 };

  workspace_account_add (account, &three);
  CU_ASSERT (workspace_account_allows (account, &one));
  CU_ASSERT_FALSE (workspace_account_allows (account, &above));
  CU_ASSERT_FALSE (workspace_account_is_full (account));
  workspace_account_add (account, &one);
  CU_ASSERT_FALSE (workspace_account_allows (account, &one));
  CU_ASSERT (workspace_account_is_full (account));
  CU_ASSERT (workspace_account_allows (workspace_usage_account (usage, ""), &three));
  workspace_usage_destroy (usage);
}

/* Each resource with a cap limits, and one without doesn't. */
static void
test_resources (void)
{
  struct workspace_usage *usage = workspace_usage_create ();
  struct workspace_account *account = apply (usage, 4000);
  struct resources used = { .cpu_milli = 1, .memory_mb = 100000, .gpus = 1 };

  workspace_account_add (account, &used);
  CU_ASSERT (workspace_account_allows (account, &used));
  account->cap.gpus = 1;
  CU_ASSERT_FALSE (workspace_account_allows (account, &used));
  workspace_usage_destroy (usage);
}

/* A task larger than the cap runs, but only if nothing else of its workspace does, also nothing
 * that an earlier leader may have running. */
static void
test_larger_than_cap (void)
{
  struct workspace_usage *usage = workspace_usage_create ();
  struct workspace_account *account = apply (usage, 2000);

  CU_ASSERT (workspace_account_allows (account, &three));
  workspace_account_assume (account, &one, 1);
  CU_ASSERT_FALSE (workspace_account_allows (account, &three));
  workspace_usage_clear_assumed (usage);
  workspace_account_add (account, &one);
  CU_ASSERT_FALSE (workspace_account_allows (account, &three));
  workspace_account_remove (account, &one);
  CU_ASSERT (workspace_account_allows (account, &three));
  workspace_usage_destroy (usage);
}

/* A lowered cap holds back starts until enough has ended. A removed workspace keeps its cap, and
 * one that comes back still counts what it has. Without any workspace nothing is limited. */
static void
test_versions (void)
{
  struct workspace_usage *usage = workspace_usage_create ();
  struct workspace_account *account = apply (usage, 4000);

  workspace_account_add (account, &three);
  apply (usage, 2000);
  CU_ASSERT_FALSE (workspace_account_allows (account, &one));
  apply (usage, 0);
  CU_ASSERT_FALSE (account->configured);
  CU_ASSERT_FALSE (workspace_account_allows (account, &one));
  CU_ASSERT_PTR_EQUAL (apply (usage, 5000), account);
  CU_ASSERT (workspace_account_allows (account, &one));
  CU_ASSERT_FALSE (workspace_account_allows (account, &three));
  workspace_account_remove (account, &three);
  CU_ASSERT_EQUAL (account->used.cpu_milli, 0);
  CU_ASSERT_DOUBLE_EQUAL (workspace_usage_weight (usage, workspace_usage_account (usage, "")), 2,
                          0.001);
  workspace_usage_destroy (usage);
}

/* A stream of small tasks can't keep a large one waiting for good: after a second it may exceed the
 * cap by one task, if no start is unconfirmed, and then not again at once. */
static void
test_passed_over (void)
{
  struct workspace_usage *usage = workspace_usage_create ();
  struct workspace_account *account = apply (usage, 4000);
  int64_t now_ms;

  for (int i = 0; i < 3; i++)
    workspace_account_add (account, &one);
  for (now_ms = 100; now_ms < 1100; now_ms += 100)
    {
      CU_ASSERT_FALSE (workspace_account_decide (account, &three, &three, now_ms));
      CU_ASSERT (workspace_account_decide (account, &one, &one, now_ms));
      workspace_account_started (account, 1, now_ms);
    }
  account->n_unconfirmed = 1;
  CU_ASSERT_FALSE (workspace_account_decide (account, &three, &three, now_ms));
  account->n_unconfirmed = 0;
  CU_ASSERT (workspace_account_decide (account, &three, &three, now_ms));
  workspace_account_started (account, 1, now_ms);
  CU_ASSERT_FALSE (workspace_account_decide (account, &three, &three, now_ms + 100));
  workspace_usage_destroy (usage);
}

/* Demand counts up to the cap: what is left of it is shared by all that is ready. */
static void
test_demand (void)
{
  struct workspace_usage *usage = workspace_usage_create ();
  struct workspace_account *account = apply (usage, 4000);
  struct resources ready = { .cpu_milli = 4000, .memory_mb = 400 };

  CU_ASSERT_DOUBLE_EQUAL (workspace_account_demand_share (account, &ready, true), 1, 0.001);
  workspace_account_add (account, &three);
  CU_ASSERT_DOUBLE_EQUAL (workspace_account_demand_share (account, &ready, true), 0.25, 0.001);
  CU_ASSERT_DOUBLE_EQUAL (workspace_account_demand_share (account, &ready, false), 1, 0.001);
  workspace_usage_destroy (usage);
}

static const struct suite_test tests[] = {
  { "limit", test_limit },
  { "resources", test_resources },
  { "larger than the cap", test_larger_than_cap },
  { "versions", test_versions },
  { "passed over", test_passed_over },
  { "demand", test_demand },
};

int
main (void)
{
  return suite_run ("workspace_usage", tests, sizeof tests / sizeof tests[0]);
}
