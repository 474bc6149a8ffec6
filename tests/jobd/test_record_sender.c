#include <glib.h>
#include <string.h>

#include "record_sender.h"
#include "relay_server.h"
#include "suite.h"

/* Records that a host hands to the leader, and what the leader's reports of them say to a host that
 * was started again. */

/* Number of the last record that was handed over. */
static uint64_t handed_number;

int64_t
jobd_now_ms (void *ctx)
{
  (void) ctx;
  return 0;
}

bool
relay_server_hand_over (struct relay_server *server, uint64_t number, const char *key,
                        const void *value, size_t len)
{
  (void) server;
  (void) key;
  (void) value;
  (void) len;
  handed_number = number;
  return true;
}

void
writer_append (struct writer *writer, const char *key, const void *value, size_t len,
               writer_done *done, void *ctx)
{
  (void) writer;
  (void) key;
  (void) value;
  (void) len;
  (void) done;
  (void) ctx;
}

/* Counts the records that were reported durable. */
static void
on_done (void *ctx, const struct writer_outcome *outcome)
{
  *(unsigned *) ctx += outcome->result == WRITER_DURABLE;
}

/* A host hands a job to the leader and is started again; then it hands over another job. The
 * leader's report that the first one is durable must not count for the second, which may never be:
 * its caller would be told that the job is accepted. */
static void
test_report_for_an_earlier_process (void)
{
  struct jobd former = { .incarnation = 0x8000000000000001, .relay_server = (void *) &former };
  struct jobd present = { .incarnation = 0x9000000000000002, .relay_server = (void *) &present };
  struct record_sender *sender;
  uint64_t former_number;
  unsigned n_durable = 0;

  metrics_init (&former.metrics);
  metrics_init (&present.metrics);
  sender = record_sender_create (&former);
  record_sender_append (sender, "d/a", "a", 1, on_done, &n_durable);
  former_number = handed_number;
  record_sender_destroy (sender);

  sender = record_sender_create (&present);
  record_sender_append (sender, "d/b", "b", 1, on_done, &n_durable);
  record_sender_on_appended (sender, former_number, 7);
  CU_ASSERT_EQUAL (n_durable, 0);
  record_sender_on_appended (sender, handed_number, 8);
  CU_ASSERT_EQUAL (n_durable, 1);
  record_sender_destroy (sender);
  metrics_finish (&former.metrics);
  metrics_finish (&present.metrics);
}

static const struct suite_test tests[] = {
  { "report for an earlier process", test_report_for_an_earlier_process },
};

int
main (void)
{
  return suite_run ("record_sender", tests, sizeof tests / sizeof tests[0]);
}
