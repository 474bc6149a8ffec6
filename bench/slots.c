#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "testbed.h"

/* Compares the policies for sharing slots between entry hosts: prints one line for each policy,
 * load and deployment. With --series, prints the rate of answered requests in each 250 ms of the
 * burst loads. */

enum
{
  SERVICES = 5,
  WORKERS = 10,
  ENTRIES = 9,
  WARM_UP_S = 3,
  RUN_S = 15,
  BURST_S = 3,
  BURST_FACTOR = 5,
  QUIET_DIVISOR = 20,
  QUEUE_LIMIT = 1024,
  SERIES_STEP_US = 250000,
  STEPS_PER_S = 4,
  PERMILLE = 1000,
  IDEMPOTENT_PERMILLE = 700,
};

static const int64_t US_PER_MS = 1000;
static const int64_t US_PER_S = 1000000;

/* Mean load of the burst runs as a share of the capacity of all slots. In its burst a service gets
 * BURST_FACTOR times this, which exceeds the capacity. */
static const double BURST_MEAN_LOAD = 0.3;
static const double STEADY_LOAD = 0.9;

/* Delays and times of one deployment. */
struct deployment
{
  const char *name;
  /* One-way delays between the machines of the deployment, and from callers to entry hosts. */
  int64_t network_us;
  int64_t caller_us;
  int64_t service_us;
  int64_t deadline_ms;
};

static const struct deployment deployments[] = {
  { "balapan", 1500, 1000, 20000, 1000 },
  { "derwent", 1000, 3000, 60000, 2000 },
};

/* A policy and the number of entry hosts that use it. "one-queue", with a single entry host, is the
 * reference. */
struct policy_run
{
  const char *name;
  enum dispatch_policy policy;
  size_t entries;
};

static const struct policy_run policy_runs[] = {
  { "one-queue", DISPATCH_POLICY_OWN_COUNT, 1 },
  { "lend", DISPATCH_POLICY_LEND, ENTRIES },
  { "own-count", DISPATCH_POLICY_OWN_COUNT, ENTRIES },
  { "fixed-share", DISPATCH_POLICY_FIXED_SHARE, ENTRIES },
  { "random", DISPATCH_POLICY_RANDOM, ENTRIES },
};

/* A run of one policy under one load. */
struct load
{
  struct testbed *bed;
  const struct deployment *deployment;
  bool burst;
  /* Share of the requests that the first entry host gets in addition to its even share. */
  uint32_t skew_permille;
  double capacity_per_s;
  /* Used for the arrivals only, so that each policy gets the same ones. */
  GRand *random;
};

/* Generates the requests to one service. */
struct source
{
  struct load *load;
  size_t service;
};

/* Results of one run. */
struct figures
{
  double goodput;
  double p50_ms;
  double p99_ms;
  /* Shares of the requests that were not run, and that got no response within the deadline. */
  double refused;
  double lost;
  /* Attempts per accepted request, beyond the first one. */
  double retries;
  /* Largest number of attempts open on one worker, and number of attempts that began while as many
   * others were open as the worker has slots. */
  uint32_t open_max;
  uint64_t overfilled;
  double messages_per_s;
  double bytes_per_s;
};

/* Returns the current request rate of a service, per second. */
static double
source_rate_per_s (const struct source *source)
{
  const struct load *load = source->load;
  int64_t at_s = load->bed->now_us / US_PER_S;

  if (!load->burst)
    return STEADY_LOAD * load->capacity_per_s;
  if (at_s < WARM_UP_S)
    return BURST_MEAN_LOAD * load->capacity_per_s;
  if ((size_t) ((at_s - WARM_UP_S) / BURST_S % SERVICES) == source->service)
    return BURST_FACTOR * BURST_MEAN_LOAD * load->capacity_per_s;
  return BURST_MEAN_LOAD / QUIET_DIVISOR * load->capacity_per_s;
}

/* Sends one request and schedules the next one at the current rate. A change of the rate in between
 * does not move a request that is already scheduled. */
static void
source_send_request (struct testbed *bed, void *data)
{
  struct source *source = data;
  int64_t mean_us = (int64_t) (US_PER_S / source_rate_per_s (source));
  GRand *random = source->load->random;
  int64_t wait_us = (int64_t) (-log (1.0 - g_rand_double (random)) * (double) mean_us);
  size_t entry = (size_t) g_rand_int_range (random, 0, ENTRIES) % bed->config.n_entries;
  bool skewed = g_rand_int_range (random, 0, PERMILLE) < (gint32) source->load->skew_permille;
  bool idempotent = g_rand_int_range (random, 0, PERMILLE) < IDEMPOTENT_PERMILLE;

  testbed_request (bed, skewed ? 0 : entry, source->service, idempotent, NULL);
  testbed_after (bed, wait_us, source_send_request, source);
}

/* Compares two latencies, for g_array_sort. */
static int
double_compare (const void *a, const void *b)
{
  double x = *(const double *) a;
  double y = *(const double *) b;

  return (x > y) - (x < y);
}

/* Returns a quantile of sorted values. */
static double
quantile (const GArray *sorted, double share)
{
  if (sorted->len == 0)
    return 0;
  return g_array_index (sorted, double, (guint) (share * (double) (sorted->len - 1)));
}

/* Computes the figures of all requests that were sent after the warm-up. */
static void
figures_collect (const struct load *load, struct figures *figures)
{
  const struct testbed *bed = load->bed;
  g_autoptr (GArray) latencies = g_array_new (FALSE, FALSE, sizeof (double));
  uint64_t sent = 0;
  uint64_t refused = 0;
  uint64_t lost = 0;
  uint64_t attempts = 0;

  for (guint i = 0; i < bed->requests->len; i++)
    {
      const struct fake_request *request = g_ptr_array_index (bed->requests, i);
      double ms = (double) (request->done_us - request->issued_us) / (double) US_PER_MS;

      if (request->issued_us < WARM_UP_S * US_PER_S ||
          request->issued_us >= (WARM_UP_S + RUN_S) * US_PER_S)
        continue;
      sent++;
      attempts += request->attempts;
      ms += 2.0 * (double) load->deployment->caller_us / (double) US_PER_MS;
      if (request->outcome == CALLER_ANSWERED && ms <= (double) load->deployment->deadline_ms)
        g_array_append_val (latencies, ms);
      else if (request->outcome == CALLER_NOT_RUN)
        refused++;
      else
        lost++;
    }
  g_array_sort (latencies, double_compare);
  figures->goodput = (double) latencies->len / RUN_S;
  figures->p50_ms = quantile (latencies, 0.5);
  figures->p99_ms = quantile (latencies, 0.99);
  figures->refused = (double) refused / (double) sent;
  figures->lost = (double) lost / (double) sent;
  figures->retries = (double) attempts / (double) (sent - refused) - 1;
  for (size_t i = 0; i < bed->n_workers; i++)
    {
      figures->open_max = MAX (figures->open_max, bed->workers[i].open_max);
      figures->overfilled += bed->workers[i].overfilled;
    }
}

/* Sums the messages and bytes that all entry hosts have sent to each other. */
static void
figures_sum_peer_traffic (const struct testbed *bed, uint64_t *messages, uint64_t *bytes)
{
  *messages = 0;
  *bytes = 0;
  for (size_t i = 0; i < bed->config.n_entries; i++)
    {
      *messages += bed->entries[i].peer_messages;
      *bytes += bed->entries[i].peer_bytes;
    }
}

/* Prints the rate of answered requests in each step of the run. */
static void
print_series (const struct load *load, const struct policy_run *run)
{
  uint32_t steps[(WARM_UP_S + RUN_S) * STEPS_PER_S + 1] = { 0 };

  for (guint i = 0; i < load->bed->requests->len; i++)
    {
      const struct fake_request *request = g_ptr_array_index (load->bed->requests, i);
      int64_t step = request->done_us / SERIES_STEP_US;

      if (request->outcome == CALLER_ANSWERED && step < (int64_t) G_N_ELEMENTS (steps))
        steps[step]++;
    }
  for (size_t i = (size_t) WARM_UP_S * STEPS_PER_S; i < G_N_ELEMENTS (steps) - 1; i++)
    printf ("%s %s %.2f %u\n", load->deployment->name, run->name,
            (double) i / STEPS_PER_S - WARM_UP_S, steps[i] * STEPS_PER_S);
}

/* Runs one policy under one load and prints its figures. *reference is the goodput of the reference
 * policy, which is measured first; 0 until then. */
static void
measure (const struct deployment *deployment, const struct policy_run *run, bool burst,
         uint32_t skew, bool series, double *reference)
{
  struct testbed_config config = {
    .n_entries = run->entries,
    .n_services = SERVICES,
    .workers_per_service = WORKERS,
    .policy = run->policy,
    .peer_us = deployment->network_us,
    .worker_us = deployment->network_us,
    .service_us = deployment->service_us,
    .deadline_ms = deployment->deadline_ms - 2 * deployment->caller_us / US_PER_MS,
    .queue_limit = QUEUE_LIMIT * ENTRIES / (uint32_t) run->entries,
    .seed = 1,
  };
  struct load load = { testbed_create (&config), deployment, burst, skew, 0,
                       g_rand_new_with_seed (1) };
  struct source sources[SERVICES];
  struct figures figures = { 0 };
  uint64_t messages[2];
  uint64_t bytes[2];

  load.capacity_per_s = (double) US_PER_S * WORKERS * TESTBED_SLOTS /
                        (double) (deployment->service_us + 2 * deployment->network_us);
  for (size_t i = 0; i < SERVICES; i++)
    {
      sources[i] = (struct source){ &load, i };
      testbed_after (load.bed, (int64_t) i, source_send_request, &sources[i]);
    }
  testbed_run (load.bed, WARM_UP_S * US_PER_S);
  figures_sum_peer_traffic (load.bed, &messages[0], &bytes[0]);
  testbed_run (load.bed, (WARM_UP_S + RUN_S) * US_PER_S);
  figures_sum_peer_traffic (load.bed, &messages[1], &bytes[1]);
  testbed_run (load.bed, (WARM_UP_S + RUN_S + 2) * US_PER_S);
  figures_collect (&load, &figures);
  figures.messages_per_s = (double) (messages[1] - messages[0]) / RUN_S / (double) run->entries;
  figures.bytes_per_s = (double) (bytes[1] - bytes[0]) / RUN_S / (double) run->entries;
  if (*reference == 0)
    *reference = figures.goodput;
  if (series)
    print_series (&load, run);
  else
    printf ("%-8s %-6s %4u %-11s %9.0f %6.1f %7.1f %7.1f %7.2f %7.3f %7.4f %5u %9" PRIu64
            " %8.0f %9.0f\n",
            deployment->name, burst ? "burst" : "steady", skew, run->name, figures.goodput,
            100 * figures.goodput / *reference, figures.p50_ms, figures.p99_ms,
            100 * figures.refused, 100 * figures.lost, figures.retries, figures.open_max,
            figures.overfilled, figures.messages_per_s, figures.bytes_per_s);
  fflush (stdout);
  testbed_destroy (load.bed);
  g_rand_free (load.random);
}

/* Runs all policies, or the reference and the one named only, under one load; the reference comes
 * first. */
static void
measure_all (const struct deployment *deployment, bool burst, uint32_t skew, bool series,
             const char *only)
{
  double reference = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (policy_runs); i++)
    if (i == 0 || !only || strcmp (policy_runs[i].name, only) == 0)
      measure (deployment, &policy_runs[i], burst, skew, series, &reference);
}

int
main (int argc, char **argv)
{
  bool series = argc > 1 && strcmp (argv[1], "--series") == 0;
  const char *only = argc > 1 && !series ? argv[1] : NULL;

  if (!series)
    printf ("%-8s %-6s %4s %-11s %9s %6s %7s %7s %7s %7s %7s %5s %9s %8s %9s\n", "who", "load",
            "skew", "way", "good/s", "%ref", "p50ms", "p99ms", "refus%", "lost%", "retries", "open",
            "overfill", "msg/s", "bytes/s");
  for (size_t i = 0; i < G_N_ELEMENTS (deployments); i++)
    {
      if (!series)
        measure_all (&deployments[i], false, 0, series, only);
      measure_all (&deployments[i], true, 0, series, only);
      if (!series)
        measure_all (&deployments[i], true, 300, series, only);
    }
  return 0;
}
