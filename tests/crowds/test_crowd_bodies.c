#include "job_crowds.h"
#include "suite.h"

/* Bodies that stop short of their end. */

enum
{
  CLIENTS = 1800 / 4,
  BODY_BYTES = 256000,
  SMALL_CHUNKS_BODY_BYTES = 120000,
  CHUNK_BYTES = 16 * 1024,
};

#define CHUNKED_HEADERS                                                                            \
  "Host: jobs.example\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n"
#define LENGTH_HEADERS                                                                             \
  "Host: jobs.example\r\nContent-Type: application/json\r\nContent-Length: 256001\r\n"

/* Plays one crowd whose bodies have these headers and bytes. */
static void
play_bodies (const char *headers, const GByteArray *body)
{
  job_crowds_play (&(struct crowd_config){ .n_clients = CLIENTS,
                                           .method = "POST",
                                           .path = "/one/",
                                           .headers = headers,
                                           .body = body },
                   "up");
}

/* Guards against memory that nothing adds up: each body and each connection is within its limit. */
static void
test_large_chunks (void)
{
  g_autoptr (GByteArray) text = crowd_repeated (" ", BODY_BYTES);
  g_autoptr (GByteArray) body = crowd_chunks (text->data, text->len, CHUNK_BYTES);

  play_bodies (CHUNKED_HEADERS, body);
}

/* The same, with a length that is known before the body. */
static void
test_known_length (void)
{
  g_autoptr (GByteArray) body = crowd_repeated (" ", BODY_BYTES);

  play_bodies (LENGTH_HEADERS, body);
}

/* The same, in the smallest chunks. */
static void
test_small_chunks (void)
{
  g_autoptr (GByteArray) text = crowd_repeated (" ", SMALL_CHUNKS_BODY_BYTES);
  g_autoptr (GByteArray) body = crowd_chunks (text->data, text->len, 1);

  play_bodies (CHUNKED_HEADERS, body);
}

static const struct suite_test tests[] = {
  { "large chunks", test_large_chunks },
  { "known length", test_known_length },
  { "small chunks", test_small_chunks },
};

int
main (void)
{
  return suite_run ("crowd_bodies", tests, sizeof tests / sizeof tests[0]);
}
