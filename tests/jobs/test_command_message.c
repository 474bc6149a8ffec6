#include "lib/jobs/command_message.h"
#include "suite.h"

/* Messages between a leader and its relays. */

/* Encodes a result as a relay does and returns what the leader reads. */
static enum command_result
send_result (uint32_t value)
{
  GByteArray *bytes = g_byte_array_new ();
  Sp__ResultBatch *batch;
  enum command_result result;

  result_batch_add (bytes, 1, (enum command_result) value, 0, NULL);
  result_batch_finish (bytes, 1, 1, false, false);
  batch = sp__result_batch__unpack (NULL, bytes->len, bytes->data);
  SUITE_REQUIRE (batch != NULL && batch->n_results == 1);
  result = command_result_decode (batch->results[0]->result);
  sp__result_batch__free_unpacked (batch, NULL);
  g_byte_array_unref (bytes);
  return result;
}

/* A result keeps its meaning on its way. */
static void
test_known_results (void)
{
  for (uint32_t value = COMMAND_DONE; value <= COMMAND_INVALID; value++)
    CU_ASSERT_EQUAL ((uint32_t) send_result (value), value);
}

/* A result that only a relay of another version knows doesn't prove that nothing was done; the task
 * would be started twice. */
static void
test_unknown_result (void)
{
  CU_ASSERT_EQUAL (send_result (COMMAND_INVALID + 1), COMMAND_UNKNOWN);
  CU_ASSERT_EQUAL (send_result (UINT32_MAX), COMMAND_UNKNOWN);
}

static const struct suite_test tests[] = {
  { "known results", test_known_results },
  { "unknown result", test_unknown_result },
};

int
main (void)
{
  return suite_run ("command_message", tests, sizeof tests / sizeof tests[0]);
}
