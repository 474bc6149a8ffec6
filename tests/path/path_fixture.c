#include "path_fixture.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "suite.h"

enum
{
  /* Offsets of the ports within the program's port block. */
  FIRST_WORKER_PORT = 0,
  FIRST_PROXY_PORT = 20,
  PROXY_ADMIN_PORT = 40,
  FEED_PORT = 41,
  FEED_HTTP_PORT = 42,
  FIRST_ENTRY_PORT = 50,
  PORTS_PER_ENTRY = 3,
  CALL_TIMEOUT_MS = 5000,
  HOSTS_PER_RACK = 2,
  CONNECTIONS_PER_WORKER = 500,
  FLAGS_MAX = 40,
};

/* Sends one HTTP POST of the test itself, which must succeed. */
static void
path_post (const char *url, const char *body)
{
  struct fetched fetched;

  fetch (&fetched, "POST", url, NULL, body, CALL_TIMEOUT_MS);
  if (fetched.status != 200)
    fprintf (stderr, "POST %s %s: %d %s\n", url, body, fetched.status, fetched.body);
  CU_ASSERT_EQUAL (fetched.status, 200);
  fetched_clear (&fetched);
}

/* Returns the port on which an entry host accepts callers' requests. */
uint16_t
path_caller_port (const struct path_fixture *fixture, unsigned entry)
{
  return (uint16_t) (fixture->base + FIRST_ENTRY_PORT + entry * PORTS_PER_ENTRY);
}

/* Returns the base URL of an entry host's admin port; free it with g_free. */
char *
path_admin_url (const struct path_fixture *fixture, unsigned entry)
{
  return g_strdup_printf ("http://127.0.0.1:%u", path_caller_port (fixture, entry) + 1u);
}

/* Returns whether an entry host reports that it is ready. */
bool
path_entry_is_ready (const struct path_fixture *fixture, unsigned entry)
{
  g_autofree char *admin = path_admin_url (fixture, entry);
  g_autofree char *url = g_strconcat (admin, "/healthz", NULL);

  return test_wait_ready (url, 0);
}

/* Returns the port of a worker itself, not of its fault proxy. */
uint16_t
path_worker_port (const struct path_fixture *fixture, unsigned worker)
{
  return (uint16_t) (fixture->base + FIRST_WORKER_PORT + worker);
}

/* Returns the route table as JSON, in which the workers of the mask are leaving; free it with
 * free. */
static char *
path_routes_json (const struct path_fixture *fixture, unsigned leaving_mask)
{
  int first_port = fixture->base + (fixture->config.direct ? FIRST_WORKER_PORT : FIRST_PROXY_PORT);
  json_t *workers = json_array ();
  json_t *table;
  char *text;

  for (unsigned i = 0; i < fixture->config.n_workers; i++)
    {
      char host[16];
      char rack[16];

      g_snprintf (host, sizeof host, "host%u", i);
      g_snprintf (rack, sizeof rack, "rack%u", i / HOSTS_PER_RACK);
      json_array_append_new (workers, json_pack ("{s:s,s:s,s:i,s:s,s:s,s:b}", "host", host,
                                                 "address", "127.0.0.1", "port",
                                                 first_port + (int) i, "rack", rack, "data_centre",
                                                 "dc1", "leaving", (int) (leaving_mask >> i & 1u)));
    }
  table = json_pack ("{s:I,s:[{s:s,s:i,s:i,s:i,s:o}]}", "offset", (json_int_t) fixture->offset,
                     "services", "name", "seats", "deadline_ms", (int) fixture->config.deadline_ms,
                     "slots_per_worker", (int) fixture->config.slots, "connections_per_worker",
                     CONNECTIONS_PER_WORKER, "workers", workers);
  text = json_dumps (table, JSON_COMPACT);
  json_decref (table);
  return text;
}

/* Has the feed send a new table in which the workers of the mask are leaving. */
void
path_publish_routes (struct path_fixture *fixture, unsigned leaving_mask)
{
  g_autofree char *url =
      g_strdup_printf ("http://127.0.0.1:%u/table", fixture->base + FEED_HTTP_PORT);
  char *table;

  fixture->offset++;
  table = path_routes_json (fixture, leaving_mask);
  path_post (url, table);
  free (table);
}

/* Has the feed send the advance notice that a worker's host is leaving. */
void
path_hint_leaving (const struct path_fixture *fixture, unsigned worker)
{
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%u/leaving?host=host%u",
                                          fixture->base + FEED_HTTP_PORT, worker);

  path_post (url, "");
}

/* Starts all workers, in one process. */
static void
path_start_workers (struct path_fixture *fixture)
{
  g_autofree char *port = g_strdup_printf ("--port=%u", fixture->base + FIRST_WORKER_PORT);
  g_autofree char *count = g_strdup_printf ("--count=%u", fixture->config.n_workers);
  g_autofree char *slots = g_strdup_printf ("--slots=%u", fixture->config.slots);
  g_autofree char *connections = g_strdup_printf ("--connections=%d", CONNECTIONS_PER_WORKER);
  g_autofree char *service = g_strdup_printf ("--service-ms=%u", fixture->config.service_ms);
  const char *args[] = { port, count, slots, connections, service, NULL };

  fixture->workers = process_create ("workers", "standin/standin-worker", args);
}

/* Starts the fault proxy, which forwards one port to each worker. */
static void
path_start_fault_proxy (struct path_fixture *fixture)
{
  GString *forward = g_string_new ("--forward=");
  g_autofree char *admin = g_strdup_printf ("--admin-port=%u", fixture->base + PROXY_ADMIN_PORT);
  const char *args[3];

  for (unsigned i = 0; i < fixture->config.n_workers; i++)
    g_string_append_printf (forward, "%s%u=127.0.0.1:%u", i ? "," : "",
                            fixture->base + FIRST_PROXY_PORT + i,
                            fixture->base + FIRST_WORKER_PORT + i);
  args[0] = forward->str;
  args[1] = admin;
  args[2] = NULL;
  fixture->fault_proxy = process_create ("faults", "standin/standin-faults", args);
  g_string_free (forward, TRUE);
}

static void
path_start_feed (struct path_fixture *fixture)
{
  g_autofree char *port = g_strdup_printf ("%u", fixture->base + FEED_PORT);
  g_autofree char *http = g_strdup_printf ("%u", fixture->base + FEED_HTTP_PORT);
  const char *args[] = { port, http, NULL };

  fixture->feed = process_create ("feed", "tests/path/test-feed", args);
}

/* Returns the --peers flag of an entry host; free it with g_free. */
static char *
path_peers_flag (const struct path_fixture *fixture, unsigned entry)
{
  GString *peers = g_string_new ("--peers=");

  for (unsigned i = 0; i < fixture->config.n_entries; i++)
    {
      if (i != entry)
        g_string_append_printf (peers, "%sentry%u=127.0.0.1:%u",
                                peers->str[peers->len - 1] == '=' ? "" : ",", i,
                                path_caller_port (fixture, i) + 2u);
    }
  return g_string_free (peers, FALSE);
}

void
path_start_entry (struct path_fixture *fixture, unsigned entry)
{
  uint16_t port = path_caller_port (fixture, entry);
  g_autofree char *name = g_strdup_printf ("--name=entry%u", entry);
  g_autofree char *caller = g_strdup_printf ("--caller-port=%u", port);
  g_autofree char *admin = g_strdup_printf ("--admin-port=%u", port + 1u);
  g_autofree char *peer = g_strdup_printf ("--peer-port=%u", port + 2u);
  g_autofree char *peers = path_peers_flag (fixture, entry);
  g_autofree char *feed = g_strdup_printf ("--fleetds=127.0.0.1:%u", fixture->base + FEED_PORT);
  const char *args[FLAGS_MAX] = { name, caller, admin, peer, feed, "--log-level=debug" };
  size_t n = 6;

  if (fixture->config.n_entries > 1)
    args[n++] = peers;
  for (size_t i = 0; fixture->config.entry_flags && fixture->config.entry_flags[i]; i++)
    args[n++] = fixture->config.entry_flags[i];
  fixture->entries[entry] =
      process_create (name + strlen ("--name="), "entryd/sesamepick-entryd", args);
}

/* Waits until a URL on a local port responds with status 200. */
static void
path_wait_url (unsigned port, const char *page)
{
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%u%s", port, page);
  bool ready = test_wait_ready (url, PATH_READY_TIMEOUT_MS);

  SUITE_REQUIRE (ready);
}

/* Waits until an entry host accepts requests with an Idempotency-Key, which requires its peers to
 * be up. */
static void
path_wait_keys (const struct path_fixture *fixture, unsigned entry)
{
  int64_t end_ms = test_now_ms () + PATH_READY_TIMEOUT_MS;
  int status = 0;

  for (int i = 0; status != 200 && test_now_ms () < end_ms; i++)
    {
      g_autofree char *header = g_strdup_printf ("Idempotency-Key: probe-%u-%d", entry, i);
      struct fetched fetched;

      path_fetch (fixture, entry, "POST", "probe", header, &fetched);
      status = fetched.status;
      fetched_clear (&fetched);
      test_sleep_ms (status == 200 ? 0 : 50);
    }
  SUITE_REQUIRE (status == 200);
}

/* Starts all processes and waits until each entry host is ready. */
void
path_start (struct path_fixture *fixture, const struct path_config *config)
{
  memset (fixture, 0, sizeof *fixture);
  fixture->config = *config;
  fixture->base = process_port_block (config->block);
  path_start_workers (fixture);
  path_start_fault_proxy (fixture);
  path_start_feed (fixture);
  for (unsigned i = 0; i < config->n_entries; i++)
    path_start_entry (fixture, i);
  path_wait_url (fixture->base + FEED_HTTP_PORT, "/");
  path_publish_routes (fixture, 0);
  for (unsigned i = 0; i < config->n_workers; i++)
    path_wait_url (fixture->base + FIRST_PROXY_PORT + i, "/standin/stats");
  for (unsigned i = 0; i < config->n_entries; i++)
    path_wait_url (path_caller_port (fixture, i) + 1u, "/healthz");
  for (unsigned i = 0; i < config->n_entries; i++)
    path_wait_keys (fixture, i);
}

/* Kills all processes. */
void
path_stop (struct path_fixture *fixture)
{
  for (unsigned i = 0; i < fixture->config.n_entries; i++)
    process_destroy (fixture->entries[i]);
  process_destroy (fixture->feed);
  process_destroy (fixture->fault_proxy);
  process_destroy (fixture->workers);
}

/* Sets the faults of a worker, as JSON. */
void
path_set_worker_faults (const struct path_fixture *fixture, unsigned worker, const char *json)
{
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%u/standin/faults",
                                          fixture->base + FIRST_WORKER_PORT + worker);

  path_post (url, json);
}

/* Sets a fault of the proxied connections to a worker. */
void
path_set_link_fault (const struct path_fixture *fixture, unsigned worker, const char *mode)
{
  g_autofree char *url =
      g_strdup_printf ("http://127.0.0.1:%u/standin/faults", fixture->base + PROXY_ADMIN_PORT);
  g_autofree char *body = g_strdup_printf ("{\"port\":%u,\"mode\":\"%s\"}",
                                           fixture->base + FIRST_PROXY_PORT + worker, mode);

  path_post (url, body);
}

/* Fetches one page below /standin of a worker. */
static void
path_fetch_worker_page (const struct path_fixture *fixture, unsigned worker, const char *page,
                        struct fetched *fetched)
{
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%u/standin/%s",
                                          fixture->base + FIRST_WORKER_PORT + worker, page);

  fetch (fetched, "GET", url, NULL, NULL, CALL_TIMEOUT_MS);
  CU_ASSERT_EQUAL (fetched->status, 200);
}

/* Returns one of a worker's counters. */
int64_t
path_worker_counter (const struct path_fixture *fixture, unsigned worker, const char *name)
{
  struct fetched fetched;
  json_t *json;
  int64_t value;

  path_fetch_worker_page (fixture, worker, "stats", &fetched);
  json = json_loads (fetched.body, 0, NULL);
  value = json_integer_value (json_object_get (json, name));
  json_decref (json);
  fetched_clear (&fetched);
  return value;
}

/* Returns how many times a request was run, on all workers together. */
unsigned
path_count_runs (const struct path_fixture *fixture, const char *id)
{
  g_autofree char *start = g_strconcat (id, " ", NULL);
  unsigned runs = 0;

  for (unsigned i = 0; i < fixture->config.n_workers; i++)
    {
      struct fetched fetched;
      char *line;
      char *rest;

      path_fetch_worker_page (fixture, i, "runs", &fetched);
      for (line = strtok_r (fetched.body, "\n", &rest); line; line = strtok_r (NULL, "\n", &rest))
        {
          if (g_str_has_prefix (line, start))
            runs += (unsigned) strtoul (line + strlen (start), NULL, 10);
        }
      fetched_clear (&fetched);
    }
  return runs;
}

/* Sends a request with an id to the service "seats" through an entry host. */
void
path_fetch (const struct path_fixture *fixture, unsigned entry, const char *method, const char *id,
            const char *header, struct fetched *fetched)
{
  g_autofree char *url =
      g_strdup_printf ("http://127.0.0.1:%u/seats/book", path_caller_port (fixture, entry));
  g_autofree char *id_header = g_strdup_printf ("X-Request-Id: %s", id);
  const char *headers[] = { id_header, header, NULL };

  fetch (fetched, method, url, headers, strcmp (method, "POST") == 0 ? "seat" : NULL,
         CALL_TIMEOUT_MS);
}

/* Sends a request without waiting for its response. Returns the socket. */
int
path_send_raw (const struct path_fixture *fixture, unsigned entry, const char *method,
               const char *id, const char *header)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  g_autofree char *text =
      g_strdup_printf ("%s /seats/book HTTP/1.1\r\nHost: entry\r\nX-Request-Id: %s\r\n"
                       "Content-Length: 0\r\n%s%s\r\n",
                       method, id, header ? header : "", header ? "\r\n" : "");
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_port = htons (path_caller_port (fixture, entry));
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  CU_ASSERT_EQUAL (connect (fd, (struct sockaddr *) &address, sizeof address), 0);
  CU_ASSERT_EQUAL (send (fd, text, strlen (text), MSG_NOSIGNAL), (ssize_t) strlen (text));
  return fd;
}

/* Returns a flag with a list of count addresses whose ports are step apart; free it with g_free. */
static char *
path_address_list (const char *flag, unsigned first, unsigned count, unsigned step)
{
  GString *list = g_string_new (flag);

  for (unsigned i = 0; i < count; i++)
    g_string_append_printf (list, "%s127.0.0.1:%u", i ? "," : "", first + i * step);
  return g_string_free (list, FALSE);
}

/* Starts the load generator against all entry hosts. */
struct process *
path_start_load (const struct path_fixture *fixture, const char *name, const char *rate,
                 const char *seconds, const char *const *flags)
{
  unsigned port = path_caller_port (fixture, 0);
  unsigned n_entries = fixture->config.n_entries;
  g_autofree char *entries = path_address_list ("--entries=", port, n_entries, PORTS_PER_ENTRY);
  g_autofree char *admins = path_address_list ("--admins=", port + 1, n_entries, PORTS_PER_ENTRY);
  g_autofree char *workers = path_address_list ("--workers=", fixture->base + FIRST_WORKER_PORT,
                                                fixture->config.n_workers, 1);
  g_autofree char *services = g_strdup_printf ("--services=seats=%s", rate);
  g_autofree char *length = g_strdup_printf ("--seconds=%s", seconds);
  g_autofree char *deadline = g_strdup_printf ("--deadline-ms=%u", fixture->config.deadline_ms);
  const char *args[FLAGS_MAX] = { entries, admins,   workers,        services,
                                  length,  deadline, "--output=json" };
  size_t n = 7;

  for (size_t i = 0; flags && flags[i]; i++)
    args[n++] = flags[i];
  return process_create (name, "standin/sesamepick-load", args);
}

/* Returns the load generator's JSON report, or NULL. Skips what it wrote to standard error before
 * that. */
static json_t *
path_read_load_report (const char *name)
{
  const char *build = getenv ("SESAMEPICK_BUILD");
  g_autofree char *path =
      g_strdup_printf ("%s/test-logs/%d-%s.log", build ? build : "build", (int) getpid (), name);
  g_autofree char *text = NULL;
  const char *start;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    return NULL;
  start = strstr (text, "{\n");
  fprintf (stderr, "%s", start ? "" : text);
  return start ? json_loads (start, JSON_DISABLE_EOF_CHECK, NULL) : NULL;
}

/* Waits until the load generator exits and reads its counters of request outcomes. Returns its exit
 * code. */
int
path_wait_load (struct process *load, const char *name, int64_t limit_ms, int64_t *outcomes)
{
  static const char *const names[] = { "answered", "answered-badly", "not-run",
                                       "unknown",  "not-sent",       "cut",
                                       "wrong" };
  int code = process_wait (load, limit_ms);
  json_t *json = path_read_load_report (name);
  char *reasons = json_dumps (json_object_get (json, "reasons"), JSON_COMPACT);

  SUITE_REQUIRE (json != NULL);
  for (int i = 0; i < PATH_VIOLATIONS; i++)
    {
      outcomes[i] = json_integer_value (json_object_get (json_object_get (json, "ends"), names[i]));
      printf ("%s %" G_GINT64_FORMAT " ", names[i], outcomes[i]);
    }
  outcomes[PATH_VIOLATIONS] = json_integer_value (json_object_get (json, "broken"));
  printf ("broken %" G_GINT64_FORMAT " %s ", outcomes[PATH_VIOLATIONS], reasons ? reasons : "");
  free (reasons);
  json_decref (json);
  process_destroy (load);
  return code;
}
