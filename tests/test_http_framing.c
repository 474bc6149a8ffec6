#include <stdio.h>
#include <string.h>

#include "process.h"
#include "raw_http.h"
#include "suite.h"

/* The server rejects requests whose end or host two parsers could read differently: it responds
 * with 400 and closes the connection (RFC 9112, sections 3.2 and 6.3). */

enum
{
  PORT_BLOCK = 2,
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
  CASE ("length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab", true),
  CASE ("chunked", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        true),
  CASE ("HTTP/1.0 without host", "GET / HTTP/1.0\r\n\r\n", true),
  CASE ("length and encoding",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
        "0\r\n\r\n",
        false),
  CASE ("two lengths",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", false),
  CASE ("a list of lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2, 2\r\n\r\nab", false),
  CASE ("a signed length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +2\r\n\r\nab", false),
  CASE ("another encoding",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", false),
  CASE ("no host", "GET / HTTP/1.1\r\n\r\n", false),
  CASE ("two hosts", "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", false),
  CASE ("a space before the colon", "GET / HTTP/1.1\r\nHost : h\r\n\r\n", false),
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
  return suite_run ("http_framing", tests, sizeof tests / sizeof tests[0]);
}
