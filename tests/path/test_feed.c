#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <string.h>

#include "process.h"
#include "suite.h"

enum
{
  PORT_BLOCK = 15,
  CALL_TIMEOUT_MS = 2000,
  READY_TIMEOUT_MS = 5000,
  /* Maximum time from a published table until the entry host routes by it. */
  ROUTES_TIMEOUT_MS = 5000,
};

/* Two feeds and an entry host that subscribes to both. */
struct feeds
{
  /* First port. Feed i has the ports base + 2 * i and, for HTTP, the next one; the entry host has
   * base + 10 for callers, then its admin and its peer port. */
  uint16_t base;
  struct process *feeds[2];
  struct process *entry;
  /* Offset for which entry_has_wanted_offset waits. */
  int64_t wanted;
};

/* Returns the HTTP port of a feed, which is the one after its feed port. */
static unsigned
feed_http_port (const struct feeds *feeds, unsigned i)
{
  return feeds->base + 2 * i + 1u;
}

/* Sends a POST request to a feed. */
static void
feed_post (const struct feeds *feeds, unsigned i, const char *path, const char *body)
{
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%u%s", feed_http_port (feeds, i), path);
  struct fetched fetched;

  fetch (&fetched, "POST", url, NULL, body, CALL_TIMEOUT_MS);
  CU_ASSERT_EQUAL (fetched.status, 200);
  fetched_clear (&fetched);
}

/* Has a feed send an empty table with the given offset. */
static void
feed_publish (const struct feeds *feeds, unsigned i, int offset)
{
  g_autofree char *table = g_strdup_printf ("{\"offset\":%d,\"services\":[]}", offset);

  feed_post (feeds, i, "/table", table);
}

/* Returns the offset of the table by which the entry host routes. */
static int64_t
entry_routes_offset (const struct feeds *feeds)
{
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%u/routes", feeds->base + 11u);
  struct fetched fetched;
  json_t *json;
  int64_t offset;

  fetch (&fetched, "GET", url, NULL, NULL, CALL_TIMEOUT_MS);
  json = json_loads (fetched.body, 0, NULL);
  offset = json_integer_value (json_object_get (json, "offset"));
  json_decref (json);
  fetched_clear (&fetched);
  return offset;
}

/* Returns whether the entry host routes by the table of the wanted offset. */
static bool
entry_has_wanted_offset (void *ctx)
{
  const struct feeds *feeds = ctx;

  return entry_routes_offset (feeds) == feeds->wanted;
}

static void
feeds_start_one (struct feeds *feeds, unsigned i)
{
  g_autofree char *port = g_strdup_printf ("%u", feeds->base + 2 * i);
  g_autofree char *http = g_strdup_printf ("%u", feed_http_port (feeds, i));
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%s/", http);
  const char *args[] = { port, http, NULL };

  feeds->feeds[i] = process_create ("feed", "tests/path/test-feed", args);
  CU_ASSERT (test_wait_ready (url, READY_TIMEOUT_MS));
}

static void
feeds_start (struct feeds *feeds)
{
  uint16_t base = process_port_block (PORT_BLOCK);
  g_autofree char *caller = g_strdup_printf ("--caller-port=%u", base + 10u);
  g_autofree char *admin = g_strdup_printf ("--admin-port=%u", base + 11u);
  g_autofree char *peer = g_strdup_printf ("--peer-port=%u", base + 12u);
  g_autofree char *list = g_strdup_printf ("--fleetds=127.0.0.1:%u,127.0.0.1:%u", base, base + 2u);
  const char *args[] = { caller, admin, peer, list, NULL };

  feeds->base = base;
  feeds_start_one (feeds, 0);
  feeds_start_one (feeds, 1);
  feeds->entry = process_create ("entry", "entryd/sesamepick-entryd", args);
}

/* Kills all processes. */
static void
feeds_stop (struct feeds *feeds)
{
  process_destroy (feeds->entry);
  process_destroy (feeds->feeds[0]);
  process_destroy (feeds->feeds[1]);
}

/* Waits until the entry host routes by the table of an offset. Returns false on timeout. */
static bool
feeds_wait (struct feeds *feeds, int64_t offset)
{
  feeds->wanted = offset;
  return test_wait (entry_has_wanted_offset, feeds, ROUTES_TIMEOUT_MS);
}

/* An entry host is not ready before it has a route table. A new table takes effect within
 * ROUTES_TIMEOUT_MS even if one fleetd is unresponsive or was replaced, and a table never replaces
 * a newer one. */
static void
test_changes (void)
{
  struct feeds feeds = { 0 };
  g_autofree char *health = NULL;

  feeds_start (&feeds);
  health = g_strdup_printf ("http://127.0.0.1:%u/healthz", feeds.base + 11u);
  test_sleep_ms (500);
  CU_ASSERT (!test_wait_ready (health, 0));
  feed_publish (&feeds, 0, 5);
  CU_ASSERT (feeds_wait (&feeds, 5));
  CU_ASSERT (test_wait_ready (health, READY_TIMEOUT_MS));

  feed_post (&feeds, 0, "/mute?on=1", "");
  feed_publish (&feeds, 1, 7);
  CU_ASSERT (feeds_wait (&feeds, 7));

  feed_publish (&feeds, 1, 6);
  test_sleep_ms (1500);
  CU_ASSERT_EQUAL (entry_routes_offset (&feeds), 7);

  process_destroy (feeds.feeds[1]);
  feed_post (&feeds, 0, "/mute?on=0", "");
  feed_publish (&feeds, 0, 8);
  CU_ASSERT (feeds_wait (&feeds, 8));
  feeds_start_one (&feeds, 1);
  feed_publish (&feeds, 1, 9);
  process_destroy (feeds.feeds[0]);
  CU_ASSERT (feeds_wait (&feeds, 9));
  feeds_start_one (&feeds, 0);
  feeds_stop (&feeds);
}

static const struct suite_test tests[] = {
  { "changes", test_changes },
};

int
main (void)
{
  return suite_run ("feed", tests, sizeof tests / sizeof tests[0]);
}
