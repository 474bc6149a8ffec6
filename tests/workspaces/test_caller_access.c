#include "lib/workspaces/caller_access.h"
#include "suite.h"

/* Which requests of callers are served, by key and by the configuration's age. */

enum
{
  CONFIG_MS = 3000,
  SKEW_MS = 6000,
  /* Ages just below and at the bounds. */
  OLDEST_SERVING_MS = CONFIG_MS + SKEW_MS - CALLER_AGE_MARGIN_MS - 1,
  FRESH_MS = 10,
};

/* Named, so that a failed check prints no key. */
#define KEY_A "key-a"
#define KEY_B "key-b"
#define KEY_X "key-x"
#define KEY_OF_BOTH "key-of-both"

static struct workspace_table *table;
static struct caller_access_limits limits;

/* Returns the decision about a call. */
static enum caller_access_result
decide (bool is_public, const char *key, int64_t age_ms)
{
  return caller_access_decide (is_public, table, key, age_ms, &limits).result;
}

/* Only the key of a workspace opens a queue that isn't public. */
static void
test_keys (void)
{
  struct caller_access access = caller_access_decide (false, table, KEY_A, FRESH_MS, &limits);

  CU_ASSERT_EQUAL (access.result, CALLER_ALLOWED);
  CU_ASSERT_STRING_EQUAL (access.workspace->name, "a");
  CU_ASSERT_EQUAL (decide (false, NULL, FRESH_MS), CALLER_UNKNOWN_KEY);
  CU_ASSERT_EQUAL (decide (false, "", FRESH_MS), CALLER_UNKNOWN_KEY);
  CU_ASSERT_EQUAL (decide (false, KEY_X, FRESH_MS), CALLER_UNKNOWN_KEY);
  CU_ASSERT_EQUAL (decide (false, KEY_OF_BOTH, FRESH_MS), CALLER_UNKNOWN_KEY);
}

/* A public queue needs no key, but doesn't accept a wrong one. */
static void
test_public_queue (void)
{
  CU_ASSERT_EQUAL (decide (true, NULL, INT64_MAX), CALLER_ALLOWED);
  CU_ASSERT_EQUAL (decide (true, KEY_X, FRESH_MS), CALLER_UNKNOWN_KEY);
  CU_ASSERT_STRING_EQUAL (
      caller_access_decide (true, table, KEY_B, FRESH_MS, &limits).workspace->name, "b");
}

/* A key that may have been withdrawn is served up to the bound and not longer; one that may have
 * been added is not refused as unknown. */
static void
test_age (void)
{
  CU_ASSERT_EQUAL (decide (false, KEY_A, OLDEST_SERVING_MS), CALLER_ALLOWED);
  CU_ASSERT_EQUAL (decide (false, KEY_A, OLDEST_SERVING_MS + 1), CALLER_OLD_CONFIG);
  CU_ASSERT_EQUAL (decide (true, KEY_A, OLDEST_SERVING_MS + 1), CALLER_OLD_CONFIG);
  CU_ASSERT_EQUAL (decide (false, KEY_A, INT64_MAX), CALLER_OLD_CONFIG);
  CU_ASSERT_EQUAL (decide (false, KEY_X, CALLER_REFUSAL_AGE_MS), CALLER_UNKNOWN_KEY);
  CU_ASSERT_EQUAL (decide (false, KEY_X, CALLER_REFUSAL_AGE_MS + 1), CALLER_OLD_CONFIG);
  CU_ASSERT_EQUAL (decide (false, NULL, CALLER_REFUSAL_AGE_MS + 1), CALLER_OLD_CONFIG);
  limits = caller_access_limits (0, 0);
  CU_ASSERT_EQUAL (decide (false, KEY_A, INT64_MAX), CALLER_ALLOWED);
  limits = caller_access_limits (CONFIG_MS, SKEW_MS);
}

/* Deployments without workspaces serve everyone, whatever the age. */
static void
test_no_workspaces (void)
{
  struct workspace_table *empty = workspace_table_create ();

  CU_ASSERT_EQUAL (caller_access_decide (false, empty, KEY_X, INT64_MAX, &limits).result,
                   CALLER_ALLOWED);
  CU_ASSERT_EQUAL (caller_access_decide (false, empty, NULL, INT64_MAX, &limits).result,
                   CALLER_ALLOWED);
  CU_ASSERT_EQUAL (caller_job_access (empty, NULL, "a", false), CALLER_JOB_ALLOWED);
  workspace_table_destroy (empty);
}

/* A job is its workspace's; one without a workspace is open to those whom its queue lets in. */
static void
test_jobs (void)
{
  CU_ASSERT_EQUAL (caller_job_access (table, "a", "a", false), CALLER_JOB_ALLOWED);
  CU_ASSERT_EQUAL (caller_job_access (table, "b", "a", false), CALLER_JOB_OF_OTHERS);
  CU_ASSERT_EQUAL (caller_job_access (table, "b", "a", true), CALLER_JOB_OF_OTHERS);
  CU_ASSERT_EQUAL (caller_job_access (table, NULL, "a", true), CALLER_JOB_NEEDS_KEY);
  CU_ASSERT_EQUAL (caller_job_access (table, "b", "", false), CALLER_JOB_ALLOWED);
  CU_ASSERT_EQUAL (caller_job_access (table, NULL, "", true), CALLER_JOB_ALLOWED);
  CU_ASSERT_EQUAL (caller_job_access (table, NULL, "", false), CALLER_JOB_NEEDS_KEY);
}

static const struct suite_test tests[] = {
  { "keys", test_keys }, { "public queue", test_public_queue },
  { "age", test_age },   { "no workspaces", test_no_workspaces },
  { "jobs", test_jobs },
};

int
main (void)
{
  const struct workspace *a;
  const struct workspace *b;
  int status;

  table = workspace_table_create ();
  a = workspace_table_add (table, &(struct workspace){ .name = "a" });
  b = workspace_table_add (table, &(struct workspace){ .name = "b" });
  workspace_table_add_key (table, a, KEY_A);
  workspace_table_add_key (table, b, KEY_B);
  workspace_table_add_key (table, a, KEY_OF_BOTH);
  workspace_table_add_key (table, b, KEY_OF_BOTH);
  limits = caller_access_limits (CONFIG_MS, SKEW_MS);
  status = suite_run ("caller_access", tests, G_N_ELEMENTS (tests));
  workspace_table_destroy (table);
  return status;
}
