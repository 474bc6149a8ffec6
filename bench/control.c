#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "cluster.h"
#include "common/http_client.h"
#include "subscribers.h"

/* Measures the control plane on one machine: nine fleetds with one feed subscriber each, and a
 * stand-in platform with fifty hosts, four to a rack. */

enum
{
  PORT_BLOCK = 8,
  N_FLEETDS = 9,
  SEATS_HOSTS_DEFAULT = 40,
  SEATS_HOSTS_MAX = 2000,
  TOOLS_HOSTS = 10,
  HOSTS_PER_RACK = 4,
  N_CHANGES = 250,
  CHANGE_GAP_MS = 120,
  N_MOVES = 5,
  LOAD_DURATION_MS = 5000,
  IDLE_DURATION_MS = 10000,
  PROPAGATION_TIMEOUT_MS = 5000,
  /* Deadline of the first declaration of the service, lower than those of all changes. */
  FIRST_DEADLINE_MS = 1,
  /* Number of hosts of the pool "seats" beyond its first capacity target. */
  SEATS_BEYOND_TARGET = 4,
  PLAN_TIMEOUT_MS = 120000,
  US_PER_MS = 1000,
  MS_PER_S = 1000,
};

struct bench
{
  /* Number of hosts of the pool "seats". */
  unsigned n_seats;
  struct cluster cluster;
  struct subscribers subscribers;
  struct http_client *client;
  uint32_t deadline_ms;
  unsigned n_rejected;
};

/* One declaration that has been sent. */
struct declaration
{
  struct bench *bench;
  unsigned fleetd;
  /* Name of the declared service. */
  char service[16];
  uint32_t deadline_ms;
  int64_t sent_us;
  int64_t answered_us;
  int64_t propagated_us;
  bool accepted;
  /* Under load: after each response the next declaration is sent, until end_us. n_accepted counts
   * the accepted ones; it is NULL for a single declaration. */
  int64_t end_us;
  unsigned *n_accepted;
};

/* Returns the monotonic time in microseconds. */
static int64_t
now_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t) now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

static void declaration_send (struct declaration *declaration);

/* Handles the response to a declaration; under load, sends the next one. */
static void
declaration_done (void *ctx, const struct http_call_done *done)
{
  struct declaration *declaration = ctx;

  declaration->answered_us = now_us ();
  declaration->accepted = done->result == HTTP_CALL_ANSWERED && done->status == 200;
  if (!declaration->accepted)
    declaration->bench->n_rejected++;
  if (!declaration->n_accepted)
    return;
  *declaration->n_accepted += declaration->accepted;
  if (declaration->answered_us < declaration->end_us)
    declaration_send (declaration);
}

/* Sends a declaration that sets the service's deadline to a value not used before, so that
 * subscribers can recognize it. */
static void
declaration_send (struct declaration *declaration)
{
  static const struct http_header headers[] = { { "Sesamepick-Operator", "bench" } };
  struct bench *bench = declaration->bench;
  g_autofree char *url =
      cluster_operator_url (&bench->cluster, declaration->fleetd, "/v1/declarations");
  g_autofree char *body = NULL;
  struct http_call_config config = {
    .method = "POST",
    .url = url,
    .headers = headers,
    .n_headers = 1,
    .connect_timeout_ms = 1000,
    .timeout_ms = 12000,
    .body_limit = 65536,
    .done = declaration_done,
    .ctx = declaration,
  };

  declaration->deadline_ms = bench->deadline_ms++;
  body = g_strdup_printf (
      "{\"declarations\":[{\"service\":{\"name\":\"%s\",\"pool\":\"seats\","
      "\"traffic_class\":\"interactive\",\"deadline_ms\":%u,\"availability_permille\":600,"
      "\"slots_per_worker\":8,\"connections_per_worker\":64}}]}",
      declaration->service, declaration->deadline_ms);
  config.body = body;
  config.body_len = strlen (body);
  declaration->answered_us = 0;
  declaration->sent_us = now_us ();
  http_call_create (bench->client, &config);
}

/* Returns whether a declaration was answered and has reached all subscribers. Stores when it first
 * had. */
static bool
declaration_is_propagated (void *ctx)
{
  struct declaration *declaration = ctx;
  const struct subscribers *all = &declaration->bench->subscribers;

  for (unsigned i = 0; i < all->n; i++)
    {
      if (all->each[i].deadline_ms != declaration->deadline_ms)
        return false;
    }
  if (declaration->propagated_us == 0)
    declaration->propagated_us = now_us ();
  return declaration->answered_us != 0;
}

/* Compares two times, for qsort. */
static int
compare_times (const void *a, const void *b)
{
  int64_t left = *(const int64_t *) a;
  int64_t right = *(const int64_t *) b;

  return (left > right) - (left < right);
}

/* Sorts times in microseconds and prints their median, 99th percentile and maximum in
 * milliseconds. */
static void
print_times (const char *what, int64_t *times, size_t n)
{
  size_t middle = n / 2;
  size_t index_p99 = n * 99 / 100;

  qsort (times, n, sizeof *times, compare_times);
  printf ("%-58s %4zu  p50 %8.1f  p99 %8.1f  worst %8.1f ms\n", what, n,
          (double) times[middle] / US_PER_MS, (double) times[index_p99] / US_PER_MS,
          (double) times[n - 1] / US_PER_MS);
}

/* Returns the sum of a metric over all fleetds. */
static int64_t
metric_sum (const struct bench *bench, const char *name)
{
  int64_t sum = 0;

  for (unsigned i = 0; i < N_FLEETDS; i++)
    {
      g_autofree char *url = cluster_admin_url (&bench->cluster, i);

      sum += fetch_metric (url, name);
    }
  return sum;
}

/* Resources that all fleetds together have used so far. */
struct usage
{
  int64_t at_ms;
  int64_t cpu_ms;
  int64_t platform_bytes;
  int64_t feed_bytes;
  int64_t appends;
};

/* Reads the resource usage from the fleetds' metrics. */
static struct usage
usage_read (const struct bench *bench)
{
  return (struct usage){
    .at_ms = test_now_ms (),
    .cpu_ms = metric_sum (bench, "sesamepick_fleetd_processor_ms_total"),
    .platform_bytes = metric_sum (bench, "sesamepick_fleetd_platform_bytes_total"),
    .feed_bytes = metric_sum (bench, "sesamepick_fleetd_feed_bytes_total"),
    .appends = metric_sum (bench, "sesamepick_fleetd_appends_total"),
  };
}

/* Prints the resource usage between two readings, as the mean of one fleetd. */
static void
print_usage (const char *phase, const struct usage *before, const struct usage *after)
{
  double seconds = (double) (after->at_ms - before->at_ms) / MS_PER_S;
  double daemon_seconds = seconds * N_FLEETDS;

  printf ("%-18s %5.1f s  CPU %6.3f %%  platform %7.2f KB/s  feed %7.2f KB/s  "
          "appends of all daemons %6.1f /s\n",
          phase, seconds,
          (double) (after->cpu_ms - before->cpu_ms) / MS_PER_S / daemon_seconds * 100,
          (double) (after->platform_bytes - before->platform_bytes) / 1024 / daemon_seconds,
          (double) (after->feed_bytes - before->feed_bytes) / 1024 / daemon_seconds,
          (double) (after->appends - before->appends) / seconds);
}

/* Measures changes sent one after the other, each to the next fleetd. */
static void
bench_changes (struct bench *bench)
{
  int64_t answered[N_CHANGES];
  int64_t propagated[N_CHANGES];
  int64_t after[N_CHANGES];
  struct usage usage_before = usage_read (bench);
  struct usage usage_after;
  size_t n = 0;

  for (unsigned k = 0; k < N_CHANGES; k++)
    {
      struct declaration declaration = { .bench = bench,
                                         .fleetd = k % N_FLEETDS,
                                         .service = "chess" };

      declaration_send (&declaration);
      if (!subscribers_run (&bench->subscribers, declaration_is_propagated, &declaration,
                            PROPAGATION_TIMEOUT_MS))
        {
          printf ("change %u: not received by all subscribers within %d ms\n", k,
                  PROPAGATION_TIMEOUT_MS);
          continue;
        }
      answered[n] = declaration.answered_us - declaration.sent_us;
      propagated[n] = declaration.propagated_us - declaration.sent_us;
      after[n] = MAX (declaration.propagated_us - declaration.answered_us, 0);
      n++;
      subscribers_run (&bench->subscribers, NULL, NULL, CHANGE_GAP_MS);
    }
  usage_after = usage_read (bench);
  print_times ("change: sent until accepted", answered, n);
  print_times ("change: sent until received by all subscribers", propagated, n);
  print_times ("change: accepted until received by all subscribers", after, n);
  printf ("%-58s %4u\n", "route tables received after a newer one",
          subscribers_count_older_tables (&bench->subscribers));
  printf ("%-42s feed %6.0f  platform %6.0f bytes, CPU %5.2f ms\n", "one change, each daemon",
          (double) (usage_after.feed_bytes - usage_before.feed_bytes) / N_FLEETDS / N_CHANGES,
          (double) (usage_after.platform_bytes - usage_before.platform_bytes) / N_FLEETDS /
              N_CHANGES,
          (double) (usage_after.cpu_ms - usage_before.cpu_ms) / N_FLEETDS / N_CHANGES);
}

/* Returns the largest resident memory of a fleetd in KiB. */
static long
largest_memory (const struct bench *bench)
{
  long largest = 0;

  for (unsigned i = 0; i < N_FLEETDS; i++)
    {
      g_autofree char *path = g_strdup_printf ("/proc/%d/status", bench->cluster.fleetds[i]->pid);
      g_autofree char *text = NULL;
      const char *line;

      if (!g_file_get_contents (path, &text, NULL, NULL))
        continue;
      line = strstr (text, "VmRSS:");
      if (line)
        largest = MAX (largest, strtol (line + strlen ("VmRSS:"), NULL, 10));
    }
  return largest;
}

/* Measures an idle fleet, then one under load: at each fleetd one operator sends a change as soon
 * as the last one was answered. */
static void
bench_load (struct bench *bench)
{
  struct declaration declarations[N_FLEETDS];
  struct usage before = usage_read (bench);
  struct usage after;
  unsigned n_accepted = 0;

  subscribers_run (&bench->subscribers, NULL, NULL, IDLE_DURATION_MS);
  after = usage_read (bench);
  print_usage ("idle, each daemon", &before, &after);
  before = after;
  for (unsigned i = 0; i < N_FLEETDS; i++)
    {
      declarations[i] = (struct declaration){
        .bench = bench,
        .fleetd = i,
        .end_us = now_us () + (int64_t) LOAD_DURATION_MS * US_PER_MS,
        .n_accepted = &n_accepted,
      };
      g_snprintf (declarations[i].service, sizeof declarations[i].service, "service%u", i);
      declaration_send (&declarations[i]);
    }
  subscribers_run (&bench->subscribers, NULL, NULL, LOAD_DURATION_MS + MS_PER_S);
  after = usage_read (bench);
  print_usage ("loaded, each daemon", &before, &after);
  printf ("%-58s %6.1f /s\n", "changes accepted, one operator at each of nine fleetds",
          (double) n_accepted * MS_PER_S / LOAD_DURATION_MS);
  printf ("%-58s %6.1f MiB\n", "largest resident memory of a daemon",
          (double) largest_memory (bench) / 1024);
}

/* Creates a plan for an intent, confirms it and measures the time from the confirmation until it is
 * carried out. Returns the time in microseconds, or -1 on failure. */
static int64_t
measure_plan (struct bench *bench, const char *intent, json_int_t *n_steps)
{
  g_autofree char *id = cluster_propose (&bench->cluster, 0, intent);
  g_autofree char *path = NULL;
  struct reply reply;
  int64_t start_us;

  if (!id)
    return -1;
  path = g_strdup_printf ("/v1/plans/%s", id);
  reply = cluster_call (&bench->cluster, 0, "GET", path, NULL);
  *n_steps = (json_int_t) json_array_size (json_object_get (reply.json, "steps"));
  reply_clear (&reply);
  start_us = now_us ();
  if (cluster_confirm (&bench->cluster, 1, id) != 200 ||
      !cluster_wait_plan (&bench->cluster, 2, id, "done", PLAN_TIMEOUT_MS))
    return -1;
  return now_us () - start_us;
}

/* Measures moves of one host, one plan after the other. */
static void
bench_moves (struct bench *bench)
{
  int64_t times[N_MOVES];
  json_int_t n_steps = 0;
  size_t n = 0;

  for (unsigned k = 0; k < N_MOVES; k++)
    {
      g_autofree char *intent =
          g_strdup_printf ("{\"capacity\":{\"pool\":\"seats\",\"capacity_target\":%u}}",
                           bench->n_seats - SEATS_BEYOND_TARGET + 1 + k);
      int64_t time_us = measure_plan (bench, intent, &n_steps);

      if (time_us >= 0)
        times[n++] = time_us;
    }
  if (n > 0)
    print_times ("move: confirmed until done (drain notice 500, operation 200)", times, n);
}

/* Measures a maintenance wave over a pool. */
static void
bench_wave (struct bench *bench, const char *pool)
{
  g_autofree char *intent =
      g_strdup_printf ("{\"wave\":{\"name\":\"w-%s\",\"pool\":\"%s\",\"host_maintenance_ms\":1000,"
                       "\"finish_within_ms\":100000}}",
                       pool, pool);
  json_int_t n_steps = 0;
  int64_t time_us = measure_plan (bench, intent, &n_steps);

  if (time_us >= 0)
    printf ("wave over pool %-6s %3d steps, operations 200 ms %8.1f s\n", pool, (int) n_steps,
            (double) time_us / US_PER_MS / MS_PER_S);
  else
    printf ("wave over pool %-6s not completed\n", pool);
}

/* Declares the fleet. Returns false if the declaration is rejected. */
static bool
bench_declare (struct bench *bench)
{
  g_autofree char *body = g_strdup_printf (
      "{\"declarations\":["
      "{\"host_class\":{\"name\":\"large\",\"processors\":64,\"memory_gib\":256,"
      "\"price_micros_per_hour\":1000000}},"
      "{\"pool\":{\"name\":\"tools\",\"host_class\":\"large\",\"capacity_target\":1}},"
      "{\"pool\":{\"name\":\"seats\",\"host_class\":\"large\",\"capacity_target\":%d,"
      "\"spare_pool\":\"tools\"}},"
      "{\"service\":{\"name\":\"chess\",\"pool\":\"seats\",\"traffic_class\":\"interactive\","
      "\"deadline_ms\":%d,\"availability_permille\":600,\"slots_per_worker\":8,"
      "\"connections_per_worker\":64}}]}",
      bench->n_seats - SEATS_BEYOND_TARGET, FIRST_DEADLINE_MS);
  struct reply reply = cluster_call (&bench->cluster, 0, "POST", "/v1/declarations", body);
  bool accepted = reply.status == 200;

  if (!accepted)
    printf ("declaration rejected: %d %s\n", reply.status, reply_text (&reply, "detail"));
  reply_clear (&reply);
  return accepted;
}

/* Returns the number of hosts of the pool "seats", from the command line or the default. */
static unsigned
read_seats (int argc, char **argv)
{
  guint64 n = SEATS_HOSTS_DEFAULT;

  if (argc > 1 &&
      !g_ascii_string_to_unsigned (argv[1], 10, SEATS_HOSTS_DEFAULT, SEATS_HOSTS_MAX, &n, NULL))
    g_printerr ("hosts: expected %d to %d\n", SEATS_HOSTS_DEFAULT, SEATS_HOSTS_MAX);
  return (unsigned) n;
}

/* Runs all measurements and prints a table. With more hosts than the default it leaves out the
 * plans. */
int
main (int argc, char **argv)
{
  static const char *const platform_words[] = { "--operation-ms=200", "--host-list-lag-ms=300",
                                                "--usage-period-ms=10000", NULL };
  static const char *const fleetd_words[] = {
    "--claim-ms=5000",           "--drain-notice-ms=500",
    "--host-list-period-ms=500", "--platform-timeout-ms=2000",
    "--log-wait-ms=1000",        NULL
  };
  struct cluster_config config = { .block = PORT_BLOCK,
                                   .n_fleetds = N_FLEETDS,
                                   .n_seats = read_seats (argc, argv),
                                   .n_tools = TOOLS_HOSTS,
                                   .rack_hosts = HOSTS_PER_RACK,
                                   .platform_args = platform_words,
                                   .fleetd_args = fleetd_words };
  struct bench bench = { .n_seats = config.n_seats, .deadline_ms = 1000 };

  setvbuf (stdout, NULL, _IOLBF, 0);
  cluster_init (&bench.cluster, &config);
  subscribers_init (&bench.subscribers, ev_default_loop (0), &bench.cluster);
  bench.client = http_client_create (bench.subscribers.loop, 5000, 64);
  if (bench_declare (&bench) &&
      subscribers_wait_deadline (&bench.subscribers, FIRST_DEADLINE_MS, PROPAGATION_TIMEOUT_MS))
    {
      printf ("%d fleetds, %u hosts, %d subscribers, one machine, loopback\n", N_FLEETDS,
              bench.n_seats + TOOLS_HOSTS, N_FLEETDS);
      bench_changes (&bench);
      bench_load (&bench);
      if (bench.n_seats == SEATS_HOSTS_DEFAULT)
        {
          bench_moves (&bench);
          bench_wave (&bench, "seats");
          bench_wave (&bench, "tools");
        }
      printf ("%-58s %4u\n", "changes rejected", bench.n_rejected);
    }
  http_client_destroy (bench.client);
  subscribers_finish (&bench.subscribers);
  cluster_finish (&bench.cluster);
  return 0;
}
