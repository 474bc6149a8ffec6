#include <glib.h>
#include <string.h>

#include "platform/documents.h"
#include "suite.h"

/* Documents of the platform with numbers at the ends of their ranges. Each process reads them, so
 * that one document could end them all. */

/* Guards against numbers that don't fit their fields: the conversion was undefined, and an attempt
 * number above 32 bits was taken for another attempt's. */
static void
test_report (void)
{
  static const char body[] = "{\"clock_ms\":9223372036854775807,\"born\":-1,"
                             "\"running\":[[\"t\",4294967297,\"\",1e300,-1e300]],"
                             "\"finished\":[[-1,\"t\",4294967297,\"done\",\"\"]]}";
  struct decoded_report decoded;

  SUITE_REQUIRE (decode_report (body, strlen (body), &decoded) == 0);
  CU_ASSERT (decoded.report.clock_ms > 0 && decoded.report.clock_ms < INT64_MAX / 2);
  CU_ASSERT_EQUAL (decoded.report.born_ms, 0);
  SUITE_REQUIRE (decoded.report.n_attempts == 1 && decoded.report.n_completions == 1);
  CU_ASSERT_EQUAL (decoded.attempts[0].attempt, UINT32_MAX);
  CU_ASSERT_EQUAL (decoded.attempts[0].percent, 100);
  CU_ASSERT_EQUAL (decoded.attempts[0].load, 0);
  CU_ASSERT_EQUAL (decoded.completions[0].number, 0);
  CU_ASSERT_EQUAL (decoded.completions[0].attempt, UINT32_MAX);
  decoded_report_clear (&decoded);
}

/* The same for a registry entry and the machine list, whose capacities are summed over a pool. */
static void
test_capacity (void)
{
  static const char entry[] = "{\"service\":\"s\",\"address\":\"a\",\"state\":\"ready\","
                              "\"sequence\":1,\"born\":1e300,\"capacity\":"
                              "{\"cpu\":1e300,\"mem_mb\":9223372036854775807,\"gpu\":-5}}";
  g_autofree char *list =
      g_strdup_printf ("{\"machines\":[{\"machine\":\"m\",\"pool\":\"p\",\"state\":7,%s]}",
                       strstr (entry, "\"capacity\""));
  struct decoded_endpoint endpoint;
  struct decoded_hosts hosts;

  SUITE_REQUIRE (decode_endpoint ("e", entry, strlen (entry), &endpoint) == 0);
  CU_ASSERT_EQUAL (endpoint.entry.capacity.cpu_milli, UINT32_MAX);
  CU_ASSERT_EQUAL (endpoint.entry.capacity.memory_mb, UINT32_MAX);
  CU_ASSERT_EQUAL (endpoint.entry.capacity.gpus, 0);
  CU_ASSERT (endpoint.entry.born_ms > 0 && endpoint.entry.born_ms < INT64_MAX / 2);
  decoded_endpoint_clear (&endpoint);
  SUITE_REQUIRE (decode_hosts (list, strlen (list), &hosts) == 0);
  SUITE_REQUIRE (hosts.entries->len == 1);
  CU_ASSERT_EQUAL (g_array_index (hosts.entries, struct host_entry, 0).capacity.cpu_milli,
                   UINT32_MAX);
  decoded_hosts_clear (&hosts);
}

/* The same for a wave and a route. */
static void
test_operator (void)
{
  static const char request[] =
      "{\"wave\":4294967296,\"machines\":[1,\"m\"],\"duration_s\":1e300,\"cap\":-1}";
  static const char config[] = "{\"version\":1e300,\"routes\":[{\"host\":\"h\","
                               "\"path_prefix\":\"/\",\"service\":\"s\",\"slack_factor\":-1}]}";
  struct workspace_salt salt = { 0 };
  struct decoded_wave wave;
  struct queue_table *queues;

  SUITE_REQUIRE (decode_wave (request, strlen (request), &wave) == 0);
  CU_ASSERT (wave.wave.n_hosts == 1 && wave.wave.max_unavailable == 0);
  CU_ASSERT (wave.wave.duration_ms > 0 && wave.wave.duration_ms < INT64_MAX / 2);
  decoded_wave_clear (&wave);
  queues = decode_config (config, strlen (config), &salt);
  SUITE_REQUIRE (queues != NULL && queues->queues->len == 1);
  CU_ASSERT_EQUAL (((struct job_queue *) queues->queues->pdata[0])->slack_permille, 0);
  queue_table_destroy (queues);
}

static const struct suite_test tests[] = {
  { "report", test_report },
  { "capacity", test_capacity },
  { "operator", test_operator },
};

int
main (void)
{
  return suite_run ("documents", tests, sizeof tests / sizeof tests[0]);
}
