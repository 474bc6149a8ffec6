#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "platform/callers.h"
#include "suite.h"

/* Bodies of submitted jobs. */

struct body_case
{
  const char *body;
  /* NULL if the job is accepted. */
  const char *error;
};

/* Guards against members that were silently changed: the job ran, but not as its caller had asked.
 */
static void
test_faulty_members (void)
{
  static const struct body_case cases[] = {
    { "[]", "the body is not a JSON object" },
    { "{\"steps\":{}}", "steps: not a list, or empty" },
    { "{\"steps\":[]}", "steps: not a list, or empty" },
    { "{\"steps\":[1]}", "steps[0]: not an object" },
    { "{\"spec\":7,\"steps\":[{\"count\":1}]}", "spec: not a string" },
    { "{\"repeats\":-1,\"steps\":[{\"count\":1}]}",
      "repeats: not a whole number from 0 to 4294967295" },
    { "{\"interval_ms\":-1,\"steps\":[{\"count\":1}]}",
      "interval_ms: not a whole number of 0 or more" },
    { "{\"first_ms\":0.5,\"steps\":[{\"count\":1}]}", "first_ms: not a whole number of 0 or more" },
    { "{\"first_ms\":1e300,\"steps\":[{\"count\":1}]}",
      "first_ms: not a whole number of 0 or more" },
    { "{\"steps\":[{\"count\":1},{\"count\":1.5}]}",
      "steps[1].count: not a whole number from 0 to 4294967295" },
    { "{\"steps\":[{\"count\":\"1\"}]}",
      "steps[0].count: not a whole number from 0 to 4294967295" },
    { "{\"steps\":[{\"count\":4294967296}]}",
      "steps[0].count: not a whole number from 0 to 4294967295" },
    { "{\"steps\":[{\"count\":1,\"cpu\":-1}]}",
      "steps[0].cpu: not a whole number from 0 to 4294967295" },
    { "{\"steps\":[{\"count\":1,\"gang\":1}]}", "steps[0].gang: not true or false" },
    { "{\"steps\":[{\"count\":1,\"requires\":1}]}", "steps[0].requires: not a string" },
    { "{\"steps\":[{\"count\":1},{\"count\":1,\"depends_on\":0}]}",
      "steps[1].depends_on: not a list" },
    { "{\"steps\":[{\"count\":1},{\"count\":1,\"depends_on\":[\"0\"]}]}",
      "steps[1].depends_on: not a list of numbers of steps" },
    { "{\"steps\":[{\"count\":1},{\"count\":1,\"depends_on\":[4294967296]}]}",
      "steps[1].depends_on: not a list of numbers of steps" },
    { "{\"steps\":[{\"count\":1,\"cpu\":null,\"unknown\":[]}]}", NULL },
    { "{\"spec\":\"\",\"repeats\":2,\"interval_ms\":9223372036854775807,"
      "\"steps\":[{\"count\":2.0},{\"count\":4294967295,\"depends_on\":[0]}]}",
      NULL },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *error = NULL;
      Sp__JobDefinition *job = decode_job (cases[i].body, strlen (cases[i].body), &error);

      if (g_strcmp0 (error, cases[i].error) != 0)
        {
          printf ("%s: %s\n", cases[i].body, error ? error : "accepted");
          CU_FAIL ("error");
        }
      CU_ASSERT_EQUAL (job != NULL, !error);
      if (job)
        sp__job_definition__free_unpacked (job, NULL);
    }
}

/* Each member arrives in its field. */
static void
test_members (void)
{
  static const char body[] =
      "{\"spec\":\"s\",\"repeats\":3,\"first_ms\":5,\"interval_ms\":7,\"steps\":[{\"count\":1},"
      "{\"count\":4,\"cpu\":500,\"mem_mb\":256,\"gpu\":1,\"estimate_ms\":900,\"depends_on\":[0],"
      "\"requires\":\"a\",\"affinity\":\"r\",\"anti_affinity\":2,\"gang\":true,\"may_miss\":6}]}";
  char *error;
  Sp__JobDefinition *job = decode_job (body, strlen (body), &error);
  const Sp__JobStep *step;

  SUITE_REQUIRE (job != NULL && job->n_steps == 2);
  step = job->steps[1];
  CU_ASSERT_STRING_EQUAL (job->spec, "s");
  CU_ASSERT (job->repeats == 3 && job->first_ms == 5 && job->interval_ms == 7);
  CU_ASSERT (step->n_tasks == 4 && step->cpu_milli == 500 && step->memory_mb == 256);
  CU_ASSERT (step->gpus == 1 && step->estimate_ms == 900 && step->spread_limit == 2);
  CU_ASSERT (step->n_prerequisites == 1 && step->prerequisites[0] == 0);
  CU_ASSERT (step->gang && !step->fills && step->away_limit == 6);
  CU_ASSERT_STRING_EQUAL (step->required_label, "a");
  CU_ASSERT_STRING_EQUAL (step->data_rack, "r");
  CU_ASSERT_STRING_EQUAL (step->image, "");
  sp__job_definition__free_unpacked (job, NULL);
}

static const struct suite_test tests[] = {
  { "faulty members", test_faulty_members },
  { "members", test_members },
};

int
main (void)
{
  return suite_run ("callers", tests, sizeof tests / sizeof tests[0]);
}
