#include <stdio.h>
#include <string.h>

#include "process.h"
#include "raw_http.h"
#include "suite.h"

/* The server rejects requests whose head violates the byte syntax of RFC 9112 (sections 2.2, 3 and
 * 5.2): it responds with 400 and closes the connection. */

enum
{
  PORT_BLOCK = 3,
};

struct framing_case
{
  const char *name;
  const char *bytes;
  size_t len;
  bool valid;
};

#define CASE(name, bytes, valid)                                                                   \
  {                                                                                                \
    name, bytes, sizeof bytes - 1, valid                                                           \
  }

static const struct framing_case cases[] = {
  CASE ("plain", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", true),
  CASE ("bare line feeds", "GET / HTTP/1.1\nHost: h\n\n", false),
  CASE ("a bare line feed after a header", "GET / HTTP/1.1\r\nHost: h\nX: a\r\n\r\n", false),
  CASE ("a folded header", "GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n", false),
  CASE ("a zero byte in a header", "GET / HTTP/1.1\r\nHost: h\r\nX: a\0b\r\n\r\n", false),
  CASE ("a zero byte in the path", "GET /\0a HTTP/1.1\r\nHost: h\r\n\r\n", false),
};

/* Sends each case to a server and checks the status and whether the connection was closed. */
static void
test_cases (void)
{
  struct raw_http *raw = raw_http_create (process_port_block (PORT_BLOCK));

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      bool closed;
      int status = raw_http_send (raw, cases[i].bytes, cases[i].len, &closed);

      if ((status == 200) != cases[i].valid)
        printf ("\"%s\" returned status %d ", cases[i].name, status);
      CU_ASSERT_EQUAL (status, cases[i].valid ? 200 : 400);
      CU_ASSERT (cases[i].valid || closed);
    }
  raw_http_destroy (raw);
}

static const struct suite_test tests[] = {
  { "cases", test_cases },
};

int
main (void)
{
  return suite_run ("http_framing_bytes", tests, sizeof tests / sizeof tests[0]);
}
