#include "cluster.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* Each fleetd has PORTS_OF_FLEETD ports; the first fleetd's begin at this distance from the
   * cluster's first port. */
  PORTS_OF_FLEETD = 3,
  FIRST_FLEETD_PORT_OFFSET = 10,
  READY_LIMIT_MS = 8000,
  POLL_INTERVAL_MS = 20,
  MAX_ARGS = 40,
};

/* Returns a fleetd's port: kind is 0 for operators, 1 for admin, 2 for the feed. */
static uint16_t
fleetd_port (const struct cluster *cluster, unsigned i, unsigned kind)
{
  return (uint16_t) (cluster->first_port + FIRST_FLEETD_PORT_OFFSET + i * PORTS_OF_FLEETD + kind);
}

uint16_t
cluster_feed_port (const struct cluster *cluster, unsigned i)
{
  return fleetd_port (cluster, i, 2);
}

uint16_t
cluster_operator_port (const struct cluster *cluster, unsigned i)
{
  return fleetd_port (cluster, i, 0);
}

/* Returns the base URL of a fleetd's admin port. Free with g_free. */
char *
cluster_admin_url (const struct cluster *cluster, unsigned i)
{
  return g_strdup_printf ("http://127.0.0.1:%u", fleetd_port (cluster, i, 1));
}

/* Returns a URL of a fleetd's operator port. Free with g_free. */
char *
cluster_operator_url (const struct cluster *cluster, unsigned i, const char *path)
{
  return g_strdup_printf ("http://127.0.0.1:%u%s", fleetd_port (cluster, i, 0), path);
}

/* Appends a formatted command-line argument. */
static void
args_add (GPtrArray *args, const char *format, ...)
{
  va_list values;

  va_start (values, format);
  g_ptr_array_add (args, g_strdup_vprintf (format, values));
  va_end (values);
}

/* Appends further arguments from a NULL-terminated list. */
static void
args_add_all (GPtrArray *args, const char *const *more)
{
  for (size_t i = 0; more && more[i]; i++)
    args_add (args, "%s", more[i]);
}

/* Appends a default argument of the form --flag=value, unless more sets the same flag. */
static void
args_add_default (GPtrArray *args, const char *const *more, const char *arg)
{
  size_t len = strcspn (arg, "=") + 1;

  for (size_t i = 0; more && more[i]; i++)
    {
      if (strncmp (more[i], arg, len) == 0)
        return;
    }
  args_add (args, "%s", arg);
}

/* Starts a program with these arguments and frees them. */
static struct process *
args_start_program (GPtrArray *args, const char *name, const char *program)
{
  struct process *process;

  g_ptr_array_add (args, NULL);
  process = process_create (name, program, (const char *const *) args->pdata);
  g_ptr_array_unref (args);
  return process;
}

/* Returns the hosts of both pools in the form of the platform's --hosts setting. */
static char *
hosts_setting (const struct cluster_config *config)
{
  GString *text = g_string_new (NULL);

  for (unsigned i = 0; i < config->n_seats + config->n_tools; i++)
    g_string_append_printf (text, "%sh%u/large/%s/r%u/dc1/kz/127.0.0.1/%u", i ? "," : "", i,
                            i < config->n_seats ? "seats" : "tools",
                            config->rack_hosts ? i / config->rack_hosts : i % 3, 9000 + i);
  return g_string_free (text, FALSE);
}

/* Ends the test program and its processes when the tests can't continue. */
void
cluster_abort (const char *reason)
{
  g_printerr ("%s\n", reason);
  process_kill_all ();
  exit (1);
}

/* Starts the platform and waits until it is ready. */
static void
platform_start (struct cluster *cluster, const struct cluster_config *config)
{
  GPtrArray *args = g_ptr_array_new_with_free_func (g_free);
  g_autofree char *hosts = hosts_setting (config);
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%u/healthz", cluster->first_port);

  args_add (args, "--port=%u", cluster->first_port);
  args_add (args, "--hosts=%s", hosts);
  args_add_default (args, config->platform_args, "--operation-ms=30");
  args_add_default (args, config->platform_args, "--host-list-lag-ms=50");
  args_add_all (args, config->platform_args);
  cluster->platform = args_start_program (args, "platform", "standin/standin-platform");
  if (!test_wait_ready (url, READY_LIMIT_MS) || !process_is_running (cluster->platform))
    cluster_abort ("the platform did not become ready; is its port in use?");
}

/* Starts the fault-injecting proxy with one port for each fleetd. */
static void
proxy_start (struct cluster *cluster)
{
  GPtrArray *args = g_ptr_array_new_with_free_func (g_free);
  GString *forward = g_string_new ("--forward=");

  for (unsigned i = 0; i < cluster->n_fleetds; i++)
    g_string_append_printf (forward, "%s%u=127.0.0.1:%u", i ? "," : "",
                            cluster->first_port + CLUSTER_FIRST_PROXY_PORT + i,
                            cluster->first_port);
  args_add (args, "%s", forward->str);
  args_add (args, "--admin-port=%u", cluster->first_port + CLUSTER_PROXY_ADMIN_PORT);
  g_string_free (forward, TRUE);
  cluster->proxy = args_start_program (args, "proxy", "standin/standin-faults");
  cluster_set_proxy_fault (cluster, -1, "none");
}

/* Starts one fleetd. The configured arguments replace the default ones for the same flag. */
void
cluster_start_fleetd (struct cluster *cluster, unsigned i)
{
  GPtrArray *args = g_ptr_array_new_with_free_func (g_free);
  GString *peers = g_string_new ("--peers=");
  g_autofree char *name = g_strdup_printf ("fleet%u", i);

  for (unsigned j = 0; j < cluster->n_fleetds; j++)
    {
      /* Before the first peer, peers is just "--peers=", 8 bytes: no comma then. */
      if (j != i)
        g_string_append_printf (peers, "%s127.0.0.1:%u", peers->str[8] ? "," : "",
                                cluster_feed_port (cluster, j));
    }
  args_add (args, "--name=%s", name);
  args_add (args, "--platform=127.0.0.1:%u",
            cluster->proxy ? cluster->first_port + CLUSTER_FIRST_PROXY_PORT + i
                           : cluster->first_port);
  args_add (args, "--operator-port=%u", fleetd_port (cluster, i, 0));
  args_add (args, "--admin-port=%u", fleetd_port (cluster, i, 1));
  args_add (args, "--feed-port=%u", fleetd_port (cluster, i, 2));
  args_add (args, "%s", peers->str);
  args_add_default (args, cluster->fleetd_args, "--claim-ms=1000");
  args_add_default (args, cluster->fleetd_args, "--drain-notice-ms=50");
  args_add_default (args, cluster->fleetd_args, "--host-list-period-ms=100");
  args_add_default (args, cluster->fleetd_args, "--platform-timeout-ms=600");
  args_add_default (args, cluster->fleetd_args, "--log-wait-ms=300");
  args_add_all (args, cluster->fleetd_args);
  g_string_free (peers, TRUE);
  cluster->fleetds[i] = args_start_program (args, name, "fleetd/sesamepick-fleetd");
}

bool
cluster_wait_ready (const struct cluster *cluster, unsigned i, int64_t limit_ms)
{
  g_autofree char *url =
      g_strdup_printf ("http://127.0.0.1:%u/healthz", fleetd_port (cluster, i, 1));

  return test_wait_ready (url, limit_ms);
}

/* Returns the number of hosts that a fleetd knows. */
static size_t
cluster_n_hosts (const struct cluster *cluster, unsigned i)
{
  struct reply reply = cluster_call (cluster, i, "GET", "/v1/status", NULL);
  size_t n = json_array_size (json_object_get (reply.json, "hosts"));

  reply_clear (&reply);
  return n;
}

/* Starts all processes and waits until they are ready. */
void
cluster_init (struct cluster *cluster, const struct cluster_config *config)
{
  int64_t end_ms;

  *cluster = (struct cluster){
    .first_port = process_port_block (config->block),
    .n_fleetds = config->n_fleetds,
    .fleetd_args = config->fleetd_args,
  };
  platform_start (cluster, config);
  if (config->with_proxy)
    proxy_start (cluster);
  for (unsigned i = 0; i < cluster->n_fleetds; i++)
    cluster_start_fleetd (cluster, i);
  for (unsigned i = 0; i < cluster->n_fleetds; i++)
    {
      if (!cluster_wait_ready (cluster, i, READY_LIMIT_MS) ||
          !process_is_running (cluster->fleetds[i]))
        cluster_abort ("a fleetd did not become ready; is its port in use?");
    }
  end_ms = test_now_ms () + READY_LIMIT_MS;
  while (cluster_n_hosts (cluster, 0) < config->n_seats + config->n_tools)
    {
      if (test_now_ms () >= end_ms)
        cluster_abort ("the fleetd did not read all hosts from the platform's host list in time");
      test_sleep_ms (POLL_INTERVAL_MS);
    }
}

/* Kills all processes. */
void
cluster_finish (struct cluster *cluster)
{
  for (unsigned i = 0; i < cluster->n_fleetds; i++)
    {
      if (cluster->fleetds[i])
        process_destroy (cluster->fleetds[i]);
    }
  if (cluster->proxy)
    process_destroy (cluster->proxy);
  process_destroy (cluster->platform);
}

int64_t
cluster_offset (const struct cluster *cluster, unsigned i)
{
  g_autofree char *url = cluster_admin_url (cluster, i);

  return fetch_metric (url, "sesamepick_fleetd_offset");
}

/* Returns whether all running fleetds can reach the log. */
static bool
cluster_can_reach_log (void *ctx)
{
  const struct cluster *cluster = ctx;

  for (unsigned i = 0; i < cluster->n_fleetds; i++)
    {
      g_autofree char *url = cluster_admin_url (cluster, i);

      if (process_is_running (cluster->fleetds[i]) &&
          fetch_metric (url, "sesamepick_fleetd_log_reachable") != 1)
        return false;
    }
  return true;
}

bool
cluster_wait_log_reachable (const struct cluster *cluster, int64_t limit_ms)
{
  return test_wait (cluster_can_reach_log, (void *) cluster, limit_ms);
}

int
cluster_claim_holder (const struct cluster *cluster)
{
  for (unsigned i = 0; i < cluster->n_fleetds; i++)
    {
      g_autofree char *url = cluster_admin_url (cluster, i);

      if (process_is_running (cluster->fleetds[i]) &&
          fetch_metric (url, "sesamepick_fleetd_holds_claim") == 1)
        return (int) i;
    }
  return -1;
}

int
cluster_wait_claim_holder (const struct cluster *cluster, int64_t limit_ms)
{
  int64_t end_ms = test_now_ms () + limit_ms;
  int holder = cluster_claim_holder (cluster);

  while (holder < 0 && test_now_ms () < end_ms)
    {
      test_sleep_ms (POLL_INTERVAL_MS);
      holder = cluster_claim_holder (cluster);
    }
  return holder;
}

/* Returns whether all running fleetds show the same offset and digest. */
static bool
cluster_has_converged (void *ctx)
{
  const struct cluster *cluster = ctx;
  g_autofree char *first = NULL;
  bool same = true;

  for (unsigned i = 0; i < cluster->n_fleetds && same; i++)
    {
      struct reply reply;
      g_autofree char *now = NULL;

      if (!process_is_running (cluster->fleetds[i]))
        continue;
      reply = cluster_call (cluster, i, "GET", "/v1/status", NULL);
      now = g_strdup_printf ("%d %s %" G_GINT64_FORMAT, reply.status, reply_text (&reply, "digest"),
                             reply_number (&reply, "offset"));
      reply_clear (&reply);
      if (!first)
        first = g_steal_pointer (&now);
      else
        same = strcmp (first, now) == 0;
    }
  return same;
}

bool
cluster_wait_converged (const struct cluster *cluster, int64_t limit_ms)
{
  return test_wait (cluster_has_converged, (void *) cluster, limit_ms);
}
