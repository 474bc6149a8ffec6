#include "system.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum
{
  PORTS_PER_ENTRY = 10,
  FIRST_ENTRY_PORT = 10,
  FIRST_WORKER_PORT = 60,
  CLI_TIMEOUT_MS = 15000,
  LOAD_EXIT_TIMEOUT_MS = 15000,
  /* Maximum number of requests without a complete response that the load generator accepts, since
   * entryds are killed; the tests check a lower limit themselves. */
  CUT_LIMIT = 1000,
};

/* Ports of an entry host, as offsets from its first port. */
enum entry_port
{
  CALLER_PORT,
  ENTRYD_ADMIN_PORT,
  PEER_PORT,
  OPERATOR_PORT,
  FLEETD_ADMIN_PORT,
  FEED_PORT,
};

static const char declarations[] =
    "declarations:\n"
    "  - host_class: {name: large, processors: 64, memory_gib: 256,\n"
    "                 price_micros_per_hour: 2400000}\n"
    "  - pool: {name: tools, host_class: large, capacity_target: 0}\n"
    "  - pool: {name: chess, host_class: large, capacity_target: 5, spare_pool: tools}\n"
    "  - pool: {name: swimming, host_class: large, capacity_target: 5, spare_pool: tools}\n"
    "  - service: {name: seats, pool: chess, traffic_class: interactive, deadline_ms: 2000,\n"
    "              availability_permille: 400, slots_per_worker: 8, connections_per_worker: 64}\n"
    "  - service: {name: rosters, pool: swimming, traffic_class: nightly, deadline_ms: 2000,\n"
    "              availability_permille: 400, slots_per_worker: 8, connections_per_worker: 64}\n";

static unsigned
system_port (const struct system *system, unsigned n, enum entry_port port)
{
  return system->base + FIRST_ENTRY_PORT + n * PORTS_PER_ENTRY + port;
}

/* Returns IP:PORT of the same port of all entry hosts, separated by commas and beginning with the
 * entry host first, which is left out unless with_own is set; free it with g_free. */
static char *
system_addresses (const struct system *system, unsigned first, enum entry_port port, bool with_own)
{
  GString *list = g_string_new (NULL);

  for (unsigned i = with_own ? 0 : 1; i < SYSTEM_ENTRIES; i++)
    g_string_append_printf (list, "%s127.0.0.1:%u", list->len > 0 ? "," : "",
                            system_port (system, (first + i) % SYSTEM_ENTRIES, port));
  return g_string_free (list, FALSE);
}

/* Starts the platform with all hosts on its host list, in four racks. */
static void
system_start_platform (struct system *system)
{
  g_autofree char *port = g_strdup_printf ("--port=%u", system->base);
  g_autoptr (GString) hosts = g_string_new ("--hosts=");
  const char *args[] = { port, NULL, NULL };

  for (unsigned i = 0; i < SYSTEM_WORKERS; i++)
    g_string_append_printf (hosts, "%sh%u/large/%s/r%u/dc1/kz/127.0.0.1/%u", i > 0 ? "," : "", i,
                            i < 5    ? "chess"
                            : i < 10 ? "swimming"
                                     : "tools",
                            i % 4, system->base + FIRST_WORKER_PORT + i);
  args[1] = hosts->str;
  system->platform = process_create ("platform", "standin/standin-platform", args);
}

static void
system_start_workers (struct system *system)
{
  g_autofree char *port = g_strdup_printf ("--port=%u", system->base + FIRST_WORKER_PORT);
  g_autofree char *count = g_strdup_printf ("--count=%u", SYSTEM_WORKERS);
  const char *args[] = { port, count, "--service-ms=20", NULL };

  system->workers = process_create ("workers", "standin/standin-worker", args);
}

void
system_start_fleetd (struct system *system, unsigned n)
{
  g_autofree char *name = g_strdup_printf ("fleet%u", n);
  g_autofree char *peers = system_addresses (system, n, FEED_PORT, false);
  g_autofree char *flags = g_strdup_printf (
      "--name=%s --platform=127.0.0.1:%u --operator-port=%u --admin-port=%u --feed-port=%u "
      "--peers=%s --claim-ms=1000 --drain-notice-ms=500 --log-level=debug",
      name, system->base, system_port (system, n, OPERATOR_PORT),
      system_port (system, n, FLEETD_ADMIN_PORT), system_port (system, n, FEED_PORT), peers);
  g_auto (GStrv) args = g_strsplit (flags, " ", -1);

  system->fleetds[n] =
      process_create (name, "fleetd/sesamepick-fleetd", (const char *const *) args);
}

/* Returns NAME=IP:PORT of an entryd's peers, separated by commas; free it with g_free. */
static char *
system_entryd_peer_list (const struct system *system, unsigned n)
{
  GString *list = g_string_new (NULL);

  for (unsigned i = 0; i < SYSTEM_ENTRIES; i++)
    if (i != n)
      g_string_append_printf (list, "%sentry%u=127.0.0.1:%u", list->len > 0 ? "," : "", i,
                              system_port (system, i, PEER_PORT));
  return g_string_free (list, FALSE);
}

void
system_start_entryd (struct system *system, unsigned n)
{
  g_autofree char *name = g_strdup_printf ("entry%u", n);
  g_autofree char *peers = system_entryd_peer_list (system, n);
  g_autofree char *feeds = system_addresses (system, n, FEED_PORT, true);
  g_autofree char *flags = g_strdup_printf (
      "--name=%s --caller-port=%u --admin-port=%u --peer-port=%u --peers=%s --fleetds=%s", name,
      system_port (system, n, CALLER_PORT), system_port (system, n, ENTRYD_ADMIN_PORT),
      system_port (system, n, PEER_PORT), peers, feeds);
  g_auto (GStrv) args = g_strsplit (flags, " ", -1);

  system->entryds[n] =
      process_create (name, "entryd/sesamepick-entryd", (const char *const *) args);
}

/* Waits until a daemon reports on its admin port that it is ready. Returns false on timeout. */
static bool
system_wait_ready (const struct system *system, unsigned n, enum entry_port port)
{
  g_autofree char *url =
      g_strdup_printf ("http://127.0.0.1:%u/healthz", system_port (system, n, port));

  return test_wait_ready (url, SYSTEM_READY_TIMEOUT_MS);
}

bool
system_wait_fleetd (const struct system *system, unsigned n)
{
  return system_wait_ready (system, n, FLEETD_ADMIN_PORT);
}

/* Waits until an entryd is ready, which means that it has a route table. */
bool
system_wait_entryd (const struct system *system, unsigned n)
{
  return system_wait_ready (system, n, ENTRYD_ADMIN_PORT);
}

/* Runs the command-line program sesamepick and waits until it exits. */
int
system_run_cli (const struct system *system, char **output, ...)
{
  g_autofree char *ports = system_addresses (system, 0, OPERATOR_PORT, true);
  g_autofree char *flag = g_strconcat ("--operator-ports=", ports, NULL);
  g_autoptr (GPtrArray) args = g_ptr_array_new ();
  const char *word;
  va_list extra;

  g_ptr_array_add (args, flag);
  va_start (extra, output);
  while ((word = va_arg (extra, const char *)))
    g_ptr_array_add (args, (void *) word);
  va_end (extra);
  g_ptr_array_add (args, NULL);
  return process_run_cli ((const char *const *) args->pdata, output, CLI_TIMEOUT_MS);
}

/* Returns whether the fleet's state contains all hosts. */
static bool
system_has_hosts (void *ctx)
{
  g_autofree char *status = NULL;
  const char *at;
  unsigned n = 0;

  if (system_run_cli (ctx, &status, "status", NULL) != 0 || !status)
    return false;
  for (at = strstr (status, "\nhost "); at; at = strstr (at + 1, "\nhost "))
    n++;
  return n == SYSTEM_WORKERS;
}

/* Declares the pools and services once the fleet's state contains all hosts. */
static void
system_declare (struct system *system)
{
  g_autofree char *path =
      g_strdup_printf ("%s/test-logs/%d.yaml", g_getenv ("SESAMEPICK_BUILD"), getpid ());

  g_file_set_contents (path, declarations, -1, NULL);
  if (!test_wait (system_has_hosts, system, SYSTEM_READY_TIMEOUT_MS) ||
      system_run_cli (system, NULL, "apply", path, NULL) != 0)
    abort ();
}

/* Starts all processes and waits until they are ready for requests. */
void
system_start (struct system *system, unsigned block)
{
  memset (system, 0, sizeof *system);
  system->base = process_port_block (block);
  system_start_platform (system);
  system_start_workers (system);
  for (unsigned n = 0; n < SYSTEM_ENTRIES; n++)
    {
      system_start_fleetd (system, n);
      system_start_entryd (system, n);
    }
  system_declare (system);
  for (unsigned n = 0; n < SYSTEM_ENTRIES; n++)
    if (!system_wait_fleetd (system, n) || !system_wait_entryd (system, n))
      abort ();
}

/* Kills all processes. */
void
system_stop (struct system *system)
{
  for (unsigned n = 0; n < SYSTEM_ENTRIES; n++)
    {
      process_destroy (system->fleetds[n]);
      process_destroy (system->entryds[n]);
    }
  process_destroy (system->workers);
  process_destroy (system->platform);
}

/* Starts a load of both services on all entry hosts. Each load has its own seed, since the ids and
 * keys of its requests are derived from the seed. */
struct process *
system_start_load (const struct system *system, const char *name, unsigned seconds)
{
  static unsigned seed;
  g_autofree char *entries = system_addresses (system, 0, CALLER_PORT, true);
  g_autofree char *flags =
      g_strdup_printf ("--entries=%s --services=seats=150,rosters=100 --seconds=%u "
                       "--output=json --seed=%u --cut-limit=%u --workers=",
                       entries, seconds, ++seed, CUT_LIMIT);
  g_autoptr (GString) text = g_string_new (flags);
  g_auto (GStrv) args = NULL;

  for (unsigned i = 0; i < SYSTEM_WORKERS; i++)
    g_string_append_printf (text, "%s127.0.0.1:%u", i > 0 ? "," : "",
                            system->base + FIRST_WORKER_PORT + i);
  args = g_strsplit (text->str, " ", -1);
  return process_create (name, "standin/sesamepick-load", (const char *const *) args);
}

/* Waits until a load generator exits and reads its JSON report. */
json_t *
system_wait_load (struct process *load, unsigned seconds, int *code)
{
  g_autofree char *log = g_strdup_printf ("%s/test-logs/%d-%s.log", g_getenv ("SESAMEPICK_BUILD"),
                                          getpid (), load->name);
  g_autofree char *text = NULL;
  json_t *json = NULL;

  *code = process_wait (load, (int64_t) seconds * 1000 + LOAD_EXIT_TIMEOUT_MS);
  if (g_file_get_contents (log, &text, NULL, NULL) && strchr (text, '{'))
    json = json_loads (strchr (text, '{'), JSON_DISABLE_EOF_CHECK, NULL);
  process_destroy (load);
  return json;
}

/* Returns how many of the load's requests had an outcome. */
json_int_t
load_outcome_count (const json_t *load, const char *outcome)
{
  return json_integer_value (json_object_get (json_object_get (load, "ends"), outcome));
}
