#include <string.h>

#include "../path/path_fixture.h"
#include "machine.h"
#include "suite.h"

/* Crowds of callers of entryd. */

enum
{
  CLIENTS = 100,
  UNREADING_CLIENTS = 200,
  CONNECTIONS = 625,
  BODY_BYTES = 1000000,
  CHUNK_BYTES = 16 * 1024,
  /* Less than the 60 s after which an idle connection is closed. */
  ORDINARY_LIMIT_MS = 30000,
  RETRY_MS = 200,
};

#define CHUNKED_HEADERS "Host: entry\r\nTransfer-Encoding: chunked\r\n"
#define HEADERS "Host: entry\r\n"
#define REQUEST "GET /seats/book HTTP/1.1\r\n" HEADERS "\r\n"

static const char *const flags[] = { "--caller-connection-limit=500", MACHINE_MEMORY_FLAG, NULL };

static const struct path_config config = {
  .block = 105,
  .n_workers = 2,
  .n_entries = 1,
  .slots = 64,
  .service_ms = 5,
  .deadline_ms = 3000,
  .direct = true,
  .entry_flags = flags,
};

/* Sends a request until it is answered, as callers do. */
static bool
serve_ordinary (const struct path_fixture *fixture, const char *id)
{
  int64_t end_ms = test_now_ms () + ORDINARY_LIMIT_MS;
  int status = 0;

  while (status != 200 && test_now_ms () < end_ms)
    {
      struct fetched fetched;

      path_fetch (fixture, 0, "GET", id, NULL, &fetched);
      status = fetched.status;
      fetched_clear (&fetched);
      test_sleep_ms (status == 200 ? 0 : RETRY_MS);
    }
  return status == 200;
}

/* Plays one crowd. faults are those of the workers. */
static void
play (struct crowd_config crowd_config, const char *faults)
{
  struct path_fixture fixture;
  struct crowd *crowd;
  struct crowd_usage usage;

  path_start (&fixture, &config);
  for (unsigned i = 0; i < config.n_workers; i++)
    path_set_worker_faults (&fixture, i, faults);
  crowd_config.port = path_caller_port (&fixture, 0);
  crowd = crowd_create (&crowd_config, fixture.entries[0]->pid);
  crowd_settle (crowd);
  CU_ASSERT (serve_ordinary (&fixture, "beside"));
  usage = crowd_destroy (crowd);
  CU_ASSERT (process_is_running (fixture.entries[0]));
  machine_check_usage (&usage);
  CU_ASSERT (serve_ordinary (&fixture, "after"));
  path_stop (&fixture);
}

/* Guards against memory that nothing adds up: bodies that stop short of their end. */
static void
test_bodies (void)
{
  g_autoptr (GByteArray) text = crowd_repeated ("x", BODY_BYTES);
  g_autoptr (GByteArray) body = crowd_chunks (text->data, text->len, CHUNK_BYTES);

  play ((struct crowd_config){ .n_clients = CLIENTS,
                               .method = "POST",
                               .path = "/seats/book",
                               .headers = CHUNKED_HEADERS,
                               .body = body },
        "{}");
}

/* Guards against responses that are kept for callers that don't read them. Each sends more requests
 * than the kernel keeps responses for. */
static void
test_unread_responses (void)
{
  g_autoptr (GByteArray) requests = crowd_repeated (REQUEST, (strlen (REQUEST) + 1) * 8);

  play ((struct crowd_config){ .n_clients = UNREADING_CLIENTS,
                               .method = "GET",
                               .path = "/seats/book",
                               .headers = HEADERS,
                               .body = requests },
        "{\"oversize\":1000000}");
}

/* Guards against clients that send nothing and keep all connections. */
static void
test_silent (void)
{
  play ((struct crowd_config){ .n_clients = CONNECTIONS }, "{}");
}

static const struct suite_test tests[] = {
  { "bodies", test_bodies },
  { "unread responses", test_unread_responses },
  { "silent", test_silent },
};

int
main (void)
{
  return suite_run ("crowd_entry", tests, sizeof tests / sizeof tests[0]);
}
