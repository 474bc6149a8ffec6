#include <glib.h>
#include <string.h>

#include "job_trace.h"
#include "suite.h"

/* The trace of log lines from which operators see what happened to a job. */

/* Lines are found by the job's id, alone or as the first part of a task's name. A longer id that
 * begins the same is another job's. */
static void
test_ids (void)
{
  struct job_trace *trace = job_trace_create (10000);
  json_t *lines;

  job_trace_add (trace, "time=1 event=\"record durable\" job=00aa offset=1");
  job_trace_add (trace, "time=2 event=\"start\" task=00aa.0.0.1 attempt=1");
  job_trace_add (trace, "time=3 event=\"start\" task=00aab.0.0.1 attempt=1");
  job_trace_add (trace, "time=4 event=\"job failed\" job=00aa");
  job_trace_add (trace, "time=5 event=\"start\" task=00bb.0.0.1 attempt=1");
  lines = job_trace_lines (trace, "00aa");
  CU_ASSERT_EQUAL (json_array_size (lines), 3);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (json_string_value (json_array_get (lines, 2)), "time=4 event=\"job failed\""));
  json_decref (lines);
  job_trace_destroy (trace);
}

/* Memory is bounded: the oldest lines are dropped first. */
static void
test_memory_limit (void)
{
  struct job_trace *trace = job_trace_create (1000);
  json_t *lines;

  for (unsigned i = 0; i < 100; i++)
    {
      g_autofree char *line = g_strdup_printf ("time=%03u job=00aa %050d", i, 0);

      job_trace_add (trace, line);
    }
  lines = job_trace_lines (trace, "00aa");
  /* A line takes 69 bytes: 68 characters and the NUL. The divisor is 68, with the same quotient. */
  CU_ASSERT_EQUAL (json_array_size (lines), 1000 / (8 + 9 + 50 + 1));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (json_string_value (json_array_get (lines, json_array_size (lines) - 1)), "time=099"));
  json_decref (lines);
  job_trace_destroy (trace);
}

static const struct suite_test tests[] = {
  { "names", test_ids },
  { "bound", test_memory_limit },
};

int
main (void)
{
  return suite_run ("story", tests, sizeof tests / sizeof tests[0]);
}
