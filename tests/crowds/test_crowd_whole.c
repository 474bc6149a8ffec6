#include <string.h>

#include "job_crowds.h"
#include "suite.h"

/* Requests that are complete and within all limits, many at once. */

enum
{
  CLIENTS = 1800 / 4,
  BODY_BYTES = 256000,
  CHUNK_BYTES = 16 * 1024,
  PIPELINED_BYTES = 256000,
  STEPS = 250,
  /* Of a step's text beside its image. */
  STEP_TEXT_BYTES = 50,
};

#define CHUNKED_HEADERS                                                                            \
  "Host: jobs.example\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n"         \
  "X-Deadline-Ms: 30000\r\n"
#define JOB_BEGIN "{\"spec\":\"s\",\"steps\":[{\"count\":1,\"cpu\":100,\"mem_mb\":10}],\"x\":["
#define JOB_END "0]}"
#define PIPELINED_HEADERS "Host: jobs.example\r\n"
#define PIPELINED_REQUEST "GET /one/00000000000000ff HTTP/1.1\r\nHost: jobs.example\r\n\r\n"

/* Returns the body of a job of many members, in chunks. */
static GByteArray *
wide_job (void)
{
  g_autoptr (GByteArray) numbers =
      crowd_repeated ("0,", BODY_BYTES - strlen (JOB_BEGIN) - strlen (JOB_END));
  g_autoptr (GString) text = g_string_new (JOB_BEGIN);
  GByteArray *body;

  g_string_append_len (text, (const char *) numbers->data, (gssize) numbers->len);
  g_string_append (text, JOB_END);
  body = crowd_chunks (text->str, text->len, CHUNK_BYTES);
  g_byte_array_append (body, (const guint8 *) "0\r\n\r\n", 5);
  return body;
}

/* Returns the body of a job whose record is large too, in chunks. */
static GByteArray *
large_job (void)
{
  g_autofree char *name = g_strnfill (BODY_BYTES / STEPS - STEP_TEXT_BYTES, 'x');
  g_autoptr (GString) text = g_string_new ("{\"spec\":\"s\",\"steps\":[");
  GByteArray *body;

  for (unsigned i = 0; i < STEPS; i++)
    g_string_append_printf (text, "%s{\"count\":1,\"cpu\":100,\"mem_mb\":10,\"image\":\"%s\"}",
                            i > 0 ? "," : "", name);
  g_string_append (text, "]}");
  body = crowd_chunks (text->str, text->len, CHUNK_BYTES);
  g_byte_array_append (body, (const guint8 *) "0\r\n\r\n", 5);
  return body;
}

/* Plays whole requests with a body in a mode of the store. */
static void
play_whole (const GByteArray *body, const char *store)
{
  job_crowds_play (&(struct crowd_config){ .n_clients = CLIENTS,
                                           .method = "POST",
                                           .path = "/one/",
                                           .headers = CHUNKED_HEADERS,
                                           .body = body },
                   store);
}

/* Guards against a crowd that stays inside all limits: requests keep their bodies while the store
 * doesn't respond. */
static void
test_store_silent (void)
{
  g_autoptr (GByteArray) body = wide_job ();

  play_whole (body, "silent");
}

/* Guards against records that nothing adds up on their way to the store. */
static void
test_large_records (void)
{
  g_autoptr (GByteArray) body = large_job ();

  play_whole (body, "silent");
}

/* Whole requests while the store is up: parsing them must not keep ordinary requests from their
 * turn. */
static void
test_store_up (void)
{
  g_autoptr (GByteArray) body = wide_job ();

  play_whole (body, "up");
}

/* Many requests on each connection, and no response is read. */
static void
test_pipelined (void)
{
  g_autoptr (GByteArray) requests = crowd_repeated (PIPELINED_REQUEST, PIPELINED_BYTES);

  job_crowds_play (&(struct crowd_config){ .n_clients = CLIENTS,
                                           .method = "GET",
                                           .path = "/one/",
                                           .headers = PIPELINED_HEADERS,
                                           .body = requests },
                   "up");
}

static const struct suite_test tests[] = {
  { "store silent", test_store_silent },
  { "large records", test_large_records },
  { "store up", test_store_up },
  { "pipelined", test_pipelined },
};

int
main (void)
{
  return suite_run ("crowd_whole", tests, sizeof tests / sizeof tests[0]);
}
