#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "soak.h"

enum
{
  PORT_BLOCK = 96,
  /* Distances from the platform's first port. Every other host uses the store's second port. */
  SECOND_STORE_OFFSET = 2,
  STORE_PROXY_OFFSET = 30,
  CALLER_PROXY_OFFSET = 40,
  PROXY_ADMIN_OFFSET = 50,
  FRONTEND_OFFSET = 60,
  READINESS_OFFSET = 70,
  RELAY_OFFSET = 80,
  MACHINES_PROXY_OFFSET = 90,
  CALL_MS = 3000,
  READY_LIMIT_MS = 15000,
  START_MS = 300,
};

uint16_t
soak_hosts_caller_port (const struct soak *soak, unsigned host)
{
  return (uint16_t) (soak->port + CALLER_PROXY_OFFSET + host);
}

uint16_t
soak_hosts_store_port (const struct soak *soak, unsigned host)
{
  return (uint16_t) (soak->port + STORE_PROXY_OFFSET + host);
}

uint16_t
soak_hosts_machines_port (const struct soak *soak, unsigned host)
{
  return (uint16_t) (soak->port + MACHINES_PROXY_OFFSET + host);
}

/* Starts a program. options are the arguments, separated by spaces. */
static struct process *
soak_process_create (const struct soak *soak, const char *name, const char *program, char *options)
{
  g_autofree char *log = g_strdup_printf ("soak-%u-%s", soak->seed, name);
  g_auto (GStrv) args = g_strsplit (options, " ", -1);

  g_free (options);
  return process_create (log, program, (const char *const *) args);
}

void
soak_hosts_start_jobd (struct soak *soak, unsigned host)
{
  g_autofree char *name = g_strdup_printf ("jobd%u", host);
  unsigned port = soak->port;
  g_autofree char *relay = g_strdup_printf (" --relay=127.0.0.1:%u", port + RELAY_OFFSET + host);
  char *options = g_strdup_printf (
      "--name=%s --frontend=127.0.0.1:%u --readiness=127.0.0.1:%u --store=127.0.0.1:%u"
      " --machines=127.0.0.1:%u --seed=%u --relay-endpoints-min=1 --far-factor=2"
      " --config-ms=%d --config-skew-ms=%d%s",
      name, port + FRONTEND_OFFSET + host, port + READINESS_OFFSET + host,
      soak_hosts_store_port (soak, host), soak_hosts_machines_port (soak, host), soak->seed + host,
      SOAK_CONFIG_MS, SOAK_CONFIG_SKEW_MS, soak->relays ? relay : "");

  soak->jobds[host] = soak_process_create (soak, name, "jobd/sesamepick-jobd", options);
  soak->should_run[host] = true;
}

void
soak_hosts_signal (struct soak *soak, unsigned host, int signal)
{
  if (signal == SIGKILL || signal == SIGTERM)
    soak->should_run[host] = false;
  process_signal (soak->jobds[host], signal);
}

void
soak_hosts_check_running (struct soak *soak)
{
  for (unsigned host = 0; host < soak->n_hosts; host++)
    {
      if (!soak->should_run[host] || process_is_running (soak->jobds[host]))
        continue;
      soak->should_run[host] = false;
      g_mutex_lock (&soak->mutex);
      soak_violation (soak, NULL, "FAULT", "host %u ended by itself", host);
      g_mutex_unlock (&soak->mutex);
    }
}

/* Posts a JSON text; prints an error if it is not accepted. */
static void
soak_post (unsigned port, const char *path, const char *body)
{
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%u%s", port, path);
  struct fetched fetched;

  fetch (&fetched, "POST", url, NULL, body, CALL_MS);
  if (fetched.status != 200)
    printf ("POST %s: status %d\n", url, fetched.status);
  fetched_clear (&fetched);
}

void
soak_hosts_post (struct soak *soak, const char *path, const char *body)
{
  soak_post (soak->port, path, body);
}

void
soak_hosts_post_proxy (struct soak *soak, const char *body)
{
  soak_post (soak->port + PROXY_ADMIN_OFFSET, "/standin/faults", body);
}

void
soak_hosts_configure (struct soak *soak, unsigned version)
{
  static const char route[] =
      "{\"name\":\"%s\",\"host\":\"jobs.example\",\"path_prefix\":\"/%s/\",\"service\":\"%s\","
      "\"priority\":0,\"max_attempts\":3,\"slack_factor\":2.0,\"target_latency_ms\":%u}";
  g_autofree char *one = g_strdup_printf (route, "a", "one", "one", 600 + version);
  g_autofree char *two = g_strdup_printf (route, "b", "two", "two", 600U);
  g_autofree char *tenants = soak_keys_tenants (version);
  g_autofree char *body = g_strdup_printf (
      "{\"key\":\"config\",\"value\":{\"version\":%u,\"routes\":[%s%s%s],\"services\":["
      "{\"name\":\"one\",\"standby\":false},{\"name\":\"two\",\"standby\":false},"
      "{\"name\":\"spare\",\"standby\":true}],\"tenants\":%s}}",
      version, one, version % 2 == 0 ? "," : "", version % 2 == 0 ? two : "", tenants);

  soak_hosts_post (soak, "/operator", body);
  soak_keys_version_stored (soak, version);
}

json_t *
soak_hosts_get (struct soak *soak, const char *path)
{
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%u%s", soak->port, path);
  struct fetched fetched;
  json_t *json;

  fetch (&fetched, "GET", url, NULL, NULL, CALL_MS);
  json = json_loadb (fetched.body, fetched.body_len, 0, NULL);
  fetched_clear (&fetched);
  return json;
}

/* Starts the proxy, with a port before each host and two between each host and the platform. */
static void
soak_proxy_start (struct soak *soak)
{
  g_autoptr (GString) forward = g_string_new (NULL);

  for (unsigned host = 0; host < soak->n_hosts; host++)
    g_string_append_printf (forward, "%s%u=127.0.0.1:%u,%u=127.0.0.1:%u,%u=127.0.0.1:%u",
                            host > 0 ? "," : "", soak_hosts_caller_port (soak, host),
                            soak->port + FRONTEND_OFFSET + host, soak_hosts_store_port (soak, host),
                            soak->port + (host % 2 == 0 ? 0 : SECOND_STORE_OFFSET),
                            soak_hosts_machines_port (soak, host), soak->port + 1U);
  soak->proxy =
      soak_process_create (soak, "proxy", "standin/standin-faults",
                           g_strdup_printf ("--admin-port=%u --forward=%s",
                                            soak->port + PROXY_ADMIN_OFFSET, forward->str));
}

void
soak_hosts_start (struct soak *soak)
{
  soak->port = process_port_block (PORT_BLOCK);
  soak->cluster = soak_process_create (
      soak, "cluster", "standin/standin-cluster",
      g_strdup_printf ("--port=%u --pools=one=4,two=2,spare=2 --work-ms=150", soak->port));
  soak_proxy_start (soak);
  test_sleep_ms (START_MS);
  for (unsigned host = 0; host < soak->n_hosts; host++)
    soak_hosts_start_jobd (soak, host);
  soak_hosts_configure (soak, 1);
  for (unsigned host = 0; host < soak->n_hosts; host++)
    {
      g_autofree char *url =
          g_strdup_printf ("http://127.0.0.1:%u/v1/readyz", soak->port + READINESS_OFFSET + host);

      g_mutex_lock (&soak->mutex);
      if (!test_wait_ready (url, READY_LIMIT_MS))
        soak_violation (soak, NULL, "FAULT", "host %u is not ready after its start", host);
      g_mutex_unlock (&soak->mutex);
    }
}

/* Keeps or removes the log of a process. */
static void
soak_log_finish (const struct soak *soak, const char *name, const char *logs)
{
  g_autofree char *log = g_strdup_printf ("soak-%u-%s", soak->seed, name);
  g_autofree char *folder = g_strdup_printf ("%s/%u", logs ? logs : "", soak->seed);
  g_autofree char *target = g_strdup_printf ("%s/%s.log", folder, name);

  if (logs)
    g_mkdir_with_parents (folder, 0777);
  process_move_log (log, logs ? target : NULL);
}

void
soak_hosts_stop (struct soak *soak, const char *logs)
{
  process_kill_all ();
  soak_log_finish (soak, "cluster", logs);
  soak_log_finish (soak, "proxy", logs);
  for (unsigned host = 0; host < soak->n_hosts; host++)
    {
      g_autofree char *name = g_strdup_printf ("jobd%u", host);

      soak_log_finish (soak, name, logs);
    }
}
