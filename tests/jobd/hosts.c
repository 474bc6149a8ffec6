#include "hosts.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  URL_BYTES = 256,
  CALL_TIMEOUT_MS = 3500,
  DEADLINE_MS = 3000,
  READY_LIMIT_MS = 15000,
  POLL_INTERVAL_MS = 25,
  PORTS_PER_HOST = 2,
  /* Distance of the first host's ports from the first port of the simulated platform. */
  FIRST_HOST_PORT_OFFSET = 60,
  /* The same of the ports of the store for one host each, of the proxy's links and of the proxy's
   * own port. */
  HOST_STORE_PORT_OFFSET = 3,
  LINK_PORT_OFFSET = 80,
  PROXY_PORT_OFFSET = 79,
  PROXY_START_MS = 5000,
  FIRST_VERSION = 7,
  FLAGS_MAX = 8,
};

/* A version of the configuration, whether its second queue is public, and its workspaces. */
#define CONFIG                                                                                     \
  "{\"key\":\"config\",\"value\":{\"version\":%u,\"routes\":["                                     \
  "{\"name\":\"a\",\"host\":\"jobs.example\",\"path_prefix\":\"/one/\",\"service\":\"one\","       \
  "\"priority\":0,\"max_attempts\":3,\"slack_factor\":2.0,\"target_latency_ms\":600},"             \
  "{\"name\":\"b\",\"host\":\"jobs.example\",\"path_prefix\":\"/two/\",\"service\":\"two\","       \
  "\"public\":%s,"                                                                                 \
  "\"priority\":0,\"max_attempts\":3,\"slack_factor\":2.0,\"target_latency_ms\":600}],"            \
  "\"services\":[{\"name\":\"one\",\"standby\":false},{\"name\":\"two\",\"standby\":false},"       \
  "{\"name\":\"spare\",\"standby\":true}],\"tenants\":%s}}"

uint16_t
hosts_caller_port (const struct hosts *hosts, unsigned n)
{
  return (uint16_t) (hosts->port + FIRST_HOST_PORT_OFFSET + n * PORTS_PER_HOST);
}

/* Returns the port of a host's relay. */
static uint16_t
hosts_relay_port (const struct hosts *hosts, unsigned n)
{
  return hosts_caller_port (hosts, HOSTS + n);
}

/* Returns the port of the proxy through which a host reaches the relay of another one. */
static uint16_t
hosts_link_port (const struct hosts *hosts, unsigned from, unsigned to)
{
  return (uint16_t) (hosts->port + LINK_PORT_OFFSET + from * HOSTS + to);
}

/* Returns the port at which a host reaches the store. */
static uint16_t
hosts_store_port (const struct hosts *hosts, unsigned n)
{
  if (hosts->separable)
    return (uint16_t) (hosts->port + HOST_STORE_PORT_OFFSET + n);
  return (uint16_t) (hosts->port + (n == 0 ? hosts->first_store_port_offset : 0U));
}

void
hosts_start_jobd (struct hosts *hosts, unsigned n)
{
  char args[11][64];
  const char *list[G_N_ELEMENTS (args) + FLAGS_MAX + 1] = { NULL };
  size_t n_list = 0;
  char name[16];

  snprintf (name, sizeof name, "jobd%u", n);
  snprintf (args[0], sizeof args[0], "--name=%s", name);
  snprintf (args[1], sizeof args[1], "--frontend=127.0.0.1:%u", hosts_caller_port (hosts, n));
  snprintf (args[2], sizeof args[2], "--readiness=127.0.0.1:%u", hosts_caller_port (hosts, n) + 1U);
  snprintf (args[3], sizeof args[3], "--store=127.0.0.1:%u", hosts_store_port (hosts, n));
  snprintf (args[4], sizeof args[4], "--machines=127.0.0.1:%u", hosts->port + 1U);
  snprintf (args[5], sizeof args[5], "--seed=%u", n + 1);
  snprintf (args[6], sizeof args[6], "--relay=127.0.0.1:%u", hosts_relay_port (hosts, n));
  snprintf (args[7], sizeof args[7], "--relay-endpoints-min=%u",
            MAX (hosts->relay_endpoints_min, 1));
  snprintf (args[8], sizeof args[8], "--status-ms=%u", hosts->status_ms);
  snprintf (args[9], sizeof args[9], "--config-ms=%u", hosts->config_ms);
  snprintf (args[10], sizeof args[10], "--config-skew-ms=%u", hosts->config_skew_ms);
  for (size_t i = 0; i < G_N_ELEMENTS (args); i++)
    {
      if ((i == 6 && !hosts->relays) || (i == 8 && hosts->status_ms == 0))
        continue;
      list[n_list++] = args[i];
    }
  for (size_t i = 0; hosts->flags && hosts->flags[i] && i < FLAGS_MAX; i++)
    list[n_list++] = hosts->flags[i];
  hosts->jobds[n] = process_create (name, "jobd/sesamepick-jobd", list);
}

int
hosts_run_command (struct hosts *hosts, const char *option, const char *command,
                   const char *operand, char **output)
{
  g_autoptr (GString) ports = g_string_new ("--entry-ports=");
  const char *args[5] = { NULL };
  size_t n = 0;

  for (unsigned i = 0; i < HOSTS; i++)
    g_string_append_printf (ports, "%s127.0.0.1:%u", i > 0 ? "," : "",
                            hosts_caller_port (hosts, i) + 1U);
  args[n++] = ports->str;
  if (option)
    args[n++] = option;
  args[n++] = command;
  args[n] = operand;
  return process_run_cli (args, output, CALL_TIMEOUT_MS);
}

/* Starts the proxy, with a port for each link. */
static void
hosts_start_proxy (struct hosts *hosts)
{
  g_autoptr (GString) forward = g_string_new ("--forward=");
  g_autofree char *admin = g_strdup_printf ("--admin-port=%u", hosts->port + PROXY_PORT_OFFSET);

  for (unsigned from = 0; from < HOSTS; from++)
    {
      for (unsigned to = 0; to < HOSTS; to++)
        {
          if (from != to)
            g_string_append_printf (forward, "%u=127.0.0.1:%u,", hosts_link_port (hosts, from, to),
                                    hosts_relay_port (hosts, to));
        }
    }
  g_string_truncate (forward, forward->len - 1);
  process_create ("proxy", "standin/standin-faults", (const char *[]){ admin, forward->str, NULL });
}

static bool
platform_responds (void *ctx)
{
  return hosts_report_count (ctx, "starts") == 0;
}

/* Sends a request that sets faults, and aborts the test if it is rejected. */
static void
post_faults (unsigned port, const char *path, const char *body)
{
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%u%s", port, path);
  struct fetched fetched;

  fetch (&fetched, "POST", url, NULL, body, CALL_TIMEOUT_MS);
  if (fetched.status != 200)
    {
      fprintf (stderr, "POST %s %s: status %d\n", url, body, fetched.status);
      abort ();
    }
  fetched_clear (&fetched);
}

void
hosts_set_faults (struct hosts *hosts, const char *body)
{
  post_faults (hosts->port, "/faults", body);
}

/* Makes each host read the proxy's ports in place of the other hosts' relays. */
static void
hosts_separate (struct hosts *hosts)
{
  if (!test_wait (platform_responds, hosts, PROXY_START_MS))
    abort ();
  for (unsigned from = 0; from < HOSTS; from++)
    {
      for (unsigned to = 0; to < HOSTS; to++)
        {
          g_autofree char *body = g_strdup_printf (
              "{\"entry_host\":%u,\"shown\":{\"127.0.0.1:%u\":\"127.0.0.1:%u\"}}", from,
              hosts_relay_port (hosts, to), hosts_link_port (hosts, from, to));

          if (from != to)
            hosts_set_faults (hosts, body);
        }
    }
}

void
hosts_set_store (struct hosts *hosts, unsigned n, const char *mode)
{
  g_autofree char *body = g_strdup_printf ("{\"entry_host\":%u,\"entry_store\":\"%s\"}", n, mode);

  hosts_set_faults (hosts, body);
}

/* Sets the mode of one link. */
static void
hosts_set_link (struct hosts *hosts, unsigned from, unsigned to, const char *mode)
{
  g_autofree char *body =
      g_strdup_printf ("{\"port\":%u,\"mode\":\"%s\"}", hosts_link_port (hosts, from, to), mode);

  post_faults (hosts->port + PROXY_PORT_OFFSET, "/standin/faults", body);
}

void
hosts_cut_links (struct hosts *hosts, unsigned n, bool cut)
{
  for (unsigned other = 0; other < HOSTS; other++)
    {
      if (other == n)
        continue;
      hosts_set_link (hosts, n, other, cut ? "freeze" : "none");
      hosts_set_link (hosts, other, n, cut ? "freeze" : "none");
    }
}

void
hosts_configure (struct hosts *hosts, unsigned version, const char *tenants)
{
  g_autofree char *body =
      g_strdup_printf (CONFIG, version, hosts->second_is_public ? "true" : "false", tenants);

  hosts_post (hosts, "/operator", body);
}

void
hosts_start (struct hosts *hosts, unsigned port_block)
{
  char port[32];

  hosts->port = process_port_block (port_block);
  snprintf (port, sizeof port, "--port=%u", hosts->port);
  hosts->cluster = process_create ("cluster", "standin/standin-cluster",
                                   (const char *[]){ port, "--pools=one=4,two=4,spare=2", NULL });
  if (hosts->separable)
    {
      hosts_start_proxy (hosts);
      hosts_separate (hosts);
    }
  for (unsigned n = 0; n < HOSTS; n++)
    hosts_start_jobd (hosts, n);
  test_sleep_ms (300);
  hosts_configure (hosts, FIRST_VERSION, hosts->tenants ? hosts->tenants : "[]");
}

void
hosts_stop (struct hosts *hosts)
{
  (void) hosts;
  process_kill_all ();
}

bool
hosts_wait_ready (struct hosts *hosts, unsigned n, int64_t limit_ms)
{
  char url[URL_BYTES];

  snprintf (url, sizeof url, "http://127.0.0.1:%u/v1/readyz", hosts_caller_port (hosts, n) + 1U);
  return test_wait_ready (url, limit_ms > 0 ? limit_ms : READY_LIMIT_MS);
}

int64_t
hosts_metric (struct hosts *hosts, unsigned n, const char *name)
{
  char url[URL_BYTES];

  snprintf (url, sizeof url, "http://127.0.0.1:%u", hosts_caller_port (hosts, n) + 1U);
  return fetch_metric (url, name);
}

int
hosts_leader (struct hosts *hosts)
{
  for (unsigned n = 0; n < HOSTS; n++)
    {
      if (process_is_running (hosts->jobds[n]) &&
          hosts_metric (hosts, n, "sesamepick_jobd_leading") == 1)
        return (int) n;
    }
  return -1;
}

int
hosts_wait_leader (struct hosts *hosts, int64_t limit_ms)
{
  int64_t end_ms = test_now_ms () + limit_ms;
  int leader = hosts_leader (hosts);

  while (leader < 0 && test_now_ms () < end_ms)
    {
      test_sleep_ms (POLL_INTERVAL_MS);
      leader = hosts_leader (hosts);
    }
  return leader;
}

int
hosts_call_within (struct hosts *hosts, unsigned n, const char *method, const char *path,
                   const char *body, unsigned deadline_ms, json_t **response)
{
  struct fetched fetched;
  char url[URL_BYTES];
  g_autofree char *deadline = g_strdup_printf ("X-Deadline-Ms: %u", deadline_ms);
  g_autofree char *key = g_strdup_printf ("X-Credential: %s", hosts->key ? hosts->key : "");
  const char *headers[] = { "Host: jobs.example", "Content-Type: application/json", deadline,
                            hosts->key ? key : NULL, NULL };
  int status;

  snprintf (url, sizeof url, "http://127.0.0.1:%u%s", hosts_caller_port (hosts, n), path);
  fetch (&fetched, method, url, headers, body, CALL_TIMEOUT_MS);
  status = fetched.status;
  if (response)
    *response = fetched.body ? json_loadb (fetched.body, fetched.body_len, 0, NULL) : NULL;
  fetched_clear (&fetched);
  return status;
}

int
hosts_call (struct hosts *hosts, unsigned n, const char *method, const char *path, const char *body,
            json_t **response)
{
  return hosts_call_within (hosts, n, method, path, body, DEADLINE_MS, response);
}

char *
hosts_job_state (struct hosts *hosts, unsigned n, const char *id)
{
  g_autofree char *path = g_strdup_printf ("/one/%s", id);
  json_t *response = NULL;
  const char *state;
  char *copy;

  hosts_call (hosts, n, "GET", path, NULL, &response);
  state = json_string_value (json_object_get (response, "state"));
  copy = state ? strdup (state) : NULL;
  json_decref (response);
  return copy;
}

bool
hosts_wait_job_state (struct hosts *hosts, unsigned n, const char *id, const char *state,
                      int64_t limit_ms)
{
  int64_t end_ms = test_now_ms () + limit_ms;
  bool reached = false;

  while (!reached && test_now_ms () < end_ms)
    {
      char *current = hosts_job_state (hosts, n, id);

      reached = g_strcmp0 (current, state) == 0;
      free (current);
      if (!reached)
        test_sleep_ms (POLL_INTERVAL_MS);
    }
  return reached;
}

void
hosts_post (struct hosts *hosts, const char *path, const char *body)
{
  struct fetched fetched;
  char url[URL_BYTES];

  snprintf (url, sizeof url, "http://127.0.0.1:%u%s", hosts->port, path);
  fetch (&fetched, "POST", url, NULL, body, CALL_TIMEOUT_MS);
  fetched_clear (&fetched);
}

json_t *
hosts_get (struct hosts *hosts, const char *path)
{
  struct fetched fetched;
  char url[URL_BYTES];
  json_t *page;

  snprintf (url, sizeof url, "http://127.0.0.1:%u%s", hosts->port, path);
  fetch (&fetched, "GET", url, NULL, NULL, CALL_TIMEOUT_MS);
  page = fetched.body ? json_loadb (fetched.body, fetched.body_len, 0, NULL) : NULL;
  fetched_clear (&fetched);
  return page;
}

int64_t
hosts_report_count (struct hosts *hosts, const char *name)
{
  json_t *report = hosts_get (hosts, "/report");
  int64_t count = -1;

  if (json_is_integer (json_object_get (report, name)))
    count = json_integer_value (json_object_get (report, name));
  json_decref (report);
  return count;
}

bool
hosts_wait_status (struct hosts *hosts, const char *key, const char *text, int64_t limit_ms)
{
  int64_t end_ms = test_now_ms () + limit_ms;
  bool found = false;
  char url[URL_BYTES];

  snprintf (url, sizeof url, "http://127.0.0.1:%u/status?key=%s", hosts->port, key);
  while (!found && test_now_ms () < end_ms)
    {
      struct fetched fetched;

      fetch (&fetched, "GET", url, NULL, NULL, CALL_TIMEOUT_MS);
      found = fetched.body && strstr (fetched.body, text);
      fetched_clear (&fetched);
      if (!found)
        test_sleep_ms (POLL_INTERVAL_MS);
    }
  return found;
}
