/* Measures the latency that an entry host adds to a request: the same request is sent alternately
 * to a worker directly and through entryd, one at a time. Then measures how many requests entryd
 * can handle. */
#include <ev.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "common/http_client.h"
#include "histogram.h"
#include "path_fixture.h"
#include "suite.h"

enum
{
  PORT_BLOCK = 18,
  WORKERS = 8,
  SLOTS = 64,
  /* Number of requests of each kind for the latency. */
  ROUNDS = 4000,
  CONCURRENT_REQUESTS = 64,
  THROUGHPUT_DURATION_MS = 4000,
  CALL_TIMEOUT_MS = 5000,
  BODY_LIMIT_BYTES = 65536,
  /* Quantiles, per million. */
  P50_PPM = 500000,
  P99_PPM = 990000,
  US_PER_S = 1000000,
  NS_PER_US = 1000,
};

/* One kind of request, and whether it is sent directly to a worker or through entryd. */
struct request_kind
{
  const char *name;
  const char *method;
  bool direct;
  bool new_connection;
  struct histogram latency;
};

/* A sequence of requests, each sent after the response to the last one. */
struct stream
{
  struct measure *measure;
  struct request_kind *kind;
  uint64_t sent_us;
};

/* State of the whole measurement. */
struct measure
{
  struct path_fixture fixture;
  struct ev_loop *loop;
  struct http_client *client;
  unsigned next_worker;
  uint64_t done;
  uint64_t failed;
  uint64_t end_us;
  unsigned open;
};

/* Returns the monotonic time in microseconds. */
static uint64_t
now_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t) now.tv_sec * US_PER_S + (uint64_t) now.tv_nsec / NS_PER_US;
}

static void stream_send (struct stream *stream);

/* Handles the response to a request; sends the stream's next one until the measurement ends. */
static void
stream_on_done (void *ctx, const struct http_call_done *done)
{
  struct stream *stream = ctx;
  struct measure *measure = stream->measure;
  uint64_t us = now_us ();

  measure->open--;
  measure->done++;
  if (done->result != HTTP_CALL_ANSWERED || done->status != 200)
    measure->failed++;
  histogram_add (&stream->kind->latency, us - stream->sent_us);
  if (us < measure->end_us)
    stream_send (stream);
}

static void
stream_send (struct stream *stream)
{
  struct measure *measure = stream->measure;
  const struct request_kind *kind = stream->kind;
  unsigned worker = measure->next_worker++ % WORKERS;
  unsigned port = kind->direct ? path_worker_port (&measure->fixture, worker)
                               : path_caller_port (&measure->fixture, 0);
  g_autofree char *url =
      g_strdup_printf ("http://127.0.0.1:%u%s/work", port, kind->direct ? "" : "/seats");
  struct http_header header = { "X-Request-Id", "bench" };
  struct http_call_config config = {
    .method = kind->method,
    .url = url,
    .headers = &header,
    .n_headers = 1,
    .connect_timeout_ms = CALL_TIMEOUT_MS,
    .timeout_ms = CALL_TIMEOUT_MS,
    .body_limit = BODY_LIMIT_BYTES,
    .fresh_connection = kind->new_connection,
    .done = stream_on_done,
    .ctx = stream,
  };

  measure->open++;
  stream->sent_us = now_us ();
  if (!http_call_create (measure->client, &config))
    abort ();
}

/* Sends one request of each kind in turn, one at a time. */
static void
measure_latency (struct measure *measure, struct request_kind *kinds, size_t n)
{
  for (unsigned i = 0; i < ROUNDS; i++)
    {
      for (size_t j = 0; j < n; j++)
        {
          struct stream stream = { .measure = measure, .kind = &kinds[j] };

          measure->end_us = 0;
          stream_send (&stream);
          while (measure->open > 0)
            ev_run (measure->loop, EVRUN_ONCE);
        }
    }
}

/* Returns the CPU time that a process has used, in clock ticks. */
static long
process_ticks (const struct process *process)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/stat", (int) process->pid);
  g_autofree char *text = NULL;
  g_auto (GStrv) words = NULL;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    abort ();
  words = g_strsplit (strrchr (text, ')') + 2, " ", -1);
  return strtol (words[11], NULL, 10) + strtol (words[12], NULL, 10);
}

/* Keeps CONCURRENT_REQUESTS of one kind open for THROUGHPUT_DURATION_MS. Prints the rate, and the
 * rate per second of entryd's CPU time. */
static void
measure_throughput (struct measure *measure, struct request_kind *kind)
{
  static struct stream streams[CONCURRENT_REQUESTS];
  long ticks = process_ticks (measure->fixture.entries[0]);
  uint64_t start_us = now_us ();
  uint64_t done = measure->done;
  double wall_s;
  double core_s;

  measure->end_us = start_us + THROUGHPUT_DURATION_MS * UINT64_C (1000);
  for (size_t i = 0; i < CONCURRENT_REQUESTS; i++)
    {
      streams[i] = (struct stream){ .measure = measure, .kind = kind };
      stream_send (&streams[i]);
    }
  while (measure->open > 0)
    ev_run (measure->loop, EVRUN_ONCE);
  wall_s = (double) (now_us () - start_us) / US_PER_S;
  core_s = (double) (process_ticks (measure->fixture.entries[0]) - ticks) /
           (double) sysconf (_SC_CLK_TCK);
  done = measure->done - done;
  printf ("%-22s %8.0f/s  %8.0f per core-second, p50 %5" G_GUINT64_FORMAT
          " us, p99 %5" G_GUINT64_FORMAT " us (%u open)\n",
          kind->name, (double) done / wall_s, (double) done / core_s,
          histogram_quantile (&kind->latency, P50_PPM),
          histogram_quantile (&kind->latency, P99_PPM), CONCURRENT_REQUESTS);
}

/* Runs all measurements and prints the table. */
static void
run (void)
{
  static struct request_kind latency_kinds[] = {
    { .name = "GET direct", .method = "GET", .direct = true },
    { .name = "GET entryd", .method = "GET" },
    { .name = "POST direct, new", .method = "POST", .direct = true, .new_connection = true },
    { .name = "POST entryd", .method = "POST" },
  };
  static struct request_kind throughput_kinds[] = {
    { .name = "GET entryd, full", .method = "GET" },
    { .name = "POST entryd, full", .method = "POST" },
  };
  static struct measure measure;
  struct path_config config = {
    .block = PORT_BLOCK,
    .n_workers = WORKERS,
    .n_entries = 1,
    .slots = SLOTS,
    .deadline_ms = CALL_TIMEOUT_MS,
    .direct = true,
  };

  path_start (&measure.fixture, &config);
  printf ("\n");
  measure.loop = ev_default_loop (0);
  measure.client = http_client_create (measure.loop, CALL_TIMEOUT_MS, (long) WORKERS * SLOTS);
  measure_latency (&measure, latency_kinds, G_N_ELEMENTS (latency_kinds));
  for (size_t i = 0; i < G_N_ELEMENTS (latency_kinds); i++)
    printf ("%-22s p50 %5" G_GUINT64_FORMAT " us, p99 %5" G_GUINT64_FORMAT " us\n",
            latency_kinds[i].name, histogram_quantile (&latency_kinds[i].latency, P50_PPM),
            histogram_quantile (&latency_kinds[i].latency, P99_PPM));
  for (size_t i = 0; i < G_N_ELEMENTS (throughput_kinds); i++)
    measure_throughput (&measure, &throughput_kinds[i]);
  printf ("failed                 %" G_GUINT64_FORMAT "\n", measure.failed);
  CU_ASSERT_EQUAL (measure.failed, 0);
  path_stop (&measure.fixture);
}

static const struct suite_test tests[] = {
  { "overhead", run },
};

int
main (void)
{
  return suite_run ("entry overhead", tests, sizeof tests / sizeof tests[0]);
}
