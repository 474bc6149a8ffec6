#include <stdio.h>
#include <time.h>

#include "testbed.h"

/* Measures the cost of the request path's control traffic at an entry host without any requests:
 * CPU time, messages, bytes and memory by the numbers of services, workers and entry hosts. */

enum
{
  WARM_UP_S = 2,
  RUN_S = 10,
  PERCENT = 100,
};

static const int64_t US_PER_S = 1000000;

struct shape
{
  size_t entries;
  size_t services;
  size_t workers_per_service;
};

static const struct shape shapes[] = {
  { 3, 5, 10 },  { 9, 5, 10 },  { 27, 5, 10 }, { 9, 1, 10 },  { 9, 10, 10 },
  { 9, 20, 10 }, { 9, 40, 10 }, { 9, 5, 40 },  { 9, 5, 160 }, { 9, 63, 460 },
};

/* Returns the CPU time of this process in seconds. */
static double
processor_s (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double) now.tv_sec + (double) now.tv_nsec / 1e9;
}

/* Returns the resident memory of this process in KiB, assuming pages of 4 KiB. */
static long
memory_kib (void)
{
  FILE *file = fopen ("/proc/self/statm", "r");
  long pages = 0;

  if (file)
    {
      if (fscanf (file, "%*d %ld", &pages) != 1)
        pages = 0;
      fclose (file);
    }
  return pages * 4;
}

/* Runs a simulated deployment of one shape and prints its line. */
static void
measure (const struct shape *shape)
{
  struct testbed_config config = {
    .n_entries = shape->entries,
    .n_services = shape->services,
    .workers_per_service = shape->workers_per_service,
    .policy = DISPATCH_POLICY_LEND,
    .peer_us = 1500,
    .worker_us = 1500,
    .service_us = 20000,
    .deadline_ms = 1000,
    .queue_limit = 1024,
    .seed = 1,
  };
  long before_kib = memory_kib ();
  struct testbed *bed = testbed_create (&config);
  double n = (double) shape->entries;
  uint64_t messages = 0;
  uint64_t bytes = 0;
  double start_s;
  double used_s;

  testbed_run (bed, WARM_UP_S * US_PER_S);
  for (size_t i = 0; i < shape->entries; i++)
    bed->entries[i].peer_messages = bed->entries[i].peer_bytes = 0;
  start_s = processor_s ();
  testbed_run (bed, (WARM_UP_S + RUN_S) * US_PER_S);
  used_s = processor_s () - start_s;
  for (size_t i = 0; i < shape->entries; i++)
    {
      messages += bed->entries[i].peer_messages;
      bytes += bed->entries[i].peer_bytes;
    }
  printf ("%7zu %8zu %7zu %8.3f %8.0f %8.0f %9.1f\n", shape->entries, shape->services,
          shape->services * shape->workers_per_service, PERCENT * used_s / RUN_S / n,
          (double) messages / RUN_S / n, (double) bytes / RUN_S / n,
          (double) (memory_kib () - before_kib) / n / 1024);
  fflush (stdout);
  testbed_destroy (bed);
}

int
main (void)
{
  printf ("%7s %8s %7s %8s %8s %8s %9s\n", "entries", "services", "workers", "cpu%", "msg/s",
          "bytes/s", "MB");
  for (size_t i = 0; i < sizeof shapes / sizeof shapes[0]; i++)
    measure (&shapes[i]);
  return 0;
}
