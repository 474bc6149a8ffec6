#include <glib.h>
#include <string.h>

#include "story.h"
#include "suite.h"

/* The trace of log lines from which operators see what happened to a job. */

/* Lines are found by the job's id, alone or as the first part of a task's name. A longer id that
 * begins the same is another job's. */
static void
test_names (void)
{
  struct story *story = story_create (10000);
  json_t *lines;

  story_add (story, "time=1 event=\"record durable\" job=00aa offset=1");
  story_add (story, "time=2 event=\"start\" task=00aa.0.0.1 attempt=1");
  story_add (story, "time=3 event=\"start\" task=00aab.0.0.1 attempt=1");
  story_add (story, "time=4 event=\"job failed\" job=00aa");
  story_add (story, "time=5 event=\"start\" task=00bb.0.0.1 attempt=1");
  lines = story_of_job (story, "00aa");
  CU_ASSERT_EQUAL (json_array_size (lines), 3);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (json_string_value (json_array_get (lines, 2)), "time=4 event=\"job failed\""));
  json_decref (lines);
  story_destroy (story);
}

/* Memory is bounded: the oldest lines are dropped first. */
static void
test_bound (void)
{
  struct story *story = story_create (1000);
  json_t *lines;

  for (unsigned i = 0; i < 100; i++)
    {
      g_autofree char *line = g_strdup_printf ("time=%03u job=00aa %050d", i, 0);

      story_add (story, line);
    }
  lines = story_of_job (story, "00aa");
  CU_ASSERT_EQUAL (json_array_size (lines), 1000 / (8 + 9 + 50 + 1));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (json_string_value (json_array_get (lines, json_array_size (lines) - 1)), "time=099"));
  json_decref (lines);
  story_destroy (story);
}

static const struct suite_test tests[] = {
  { "names", test_names },
  { "bound", test_bound },
};

int
main (void)
{
  return suite_run ("story", tests, sizeof tests / sizeof tests[0]);
}
