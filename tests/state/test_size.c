#include <malloc.h>
#include <time.h>

#include "big_fleet.h"
#include "suite.h"

/* Checks that the state of a fleet of the design size stays within the memory and processor time of
 * one daemon. */

enum
{
  /* A daemon may use 256 MB. During a save it holds the state, the message and the saved bytes.
   * Half of the memory is reserved for a second state being loaded and for everything else, which
   * leaves 128 MB. */
  STATE_MAX_BYTES = 128 * 1000 * 1000,
  /* A daemon may use 3.9 % of a core, 3,369 s a day. A tenth of that is available to the state. */
  DAY_MAX_CPU_MS = 337000,
  /* A change must take effect everywhere within 5 s. A save, a load, or a plan for a whole pool
   * blocks the daemon's only event loop, so each may take a fifth of that. */
  LOOP_MAX_CPU_MS = 1000,
};

/* Returns the processor time of this process in milliseconds. */
static int64_t
cpu_ms (void)
{
  struct timespec time;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &time);
  return time.tv_sec * 1000 + time.tv_nsec / 1000000;
}

/* The records of an ordinary day at full size must stay within the processor time of a day, and a
 * plan for a whole pool within that of the event loop. */
static void
check_day (struct big_fleet *big)
{
  int64_t begin_ms = cpu_ms ();
  uint32_t in_pool = DAY_HOSTS / DAY_POOLS;

  for (uint32_t i = 0; i < DAY_DECLARATIONS; i++)
    big_fleet_change_service (big, 100000 + i);
  for (uint32_t i = 0; i < DAY_FAILURES + DAY_RESTARTS; i++)
    big_fleet_restart_host (big, i * 16);
  for (uint32_t i = 0; i < DAY_MAINTAINED; i++)
    big_fleet_run_wave (big, i % DAY_POOLS, i / DAY_POOLS, 1);
  for (uint32_t i = 0; i < DAY_RENEWALS; i++)
    big_fleet_renew_claim (big);
  for (uint32_t i = 0; i < DAY_HOSTS * DAY_REPORTS; i++)
    {
      if (i % DAY_HOSTS == 0)
        big->time_ms += 3600000;
      big_fleet_report_usage (big, i % DAY_HOSTS);
    }
  CU_ASSERT (cpu_ms () - begin_ms < DAY_MAX_CPU_MS);
  for (uint32_t i = 0; i < 2 * DAY_POOLS; i++)
    {
      begin_ms = cpu_ms ();
      big_fleet_run_wave (big, i % DAY_POOLS, 0, in_pool);
      CU_ASSERT (cpu_ms () - begin_ms < LOOP_MAX_CPU_MS);
    }
  printf ("a day's records and all hosts' maintenance twice: %" G_GUINT64_FORMAT " records\n",
          big->n_records);
}

/* Checks memory and processor time at full size. */
static void
test_full_size (void)
{
  size_t before = mallinfo2 ().uordblks;
  struct big_fleet big;
  struct fleet *loaded;
  GByteArray *image;
  int64_t begin_ms;
  size_t bytes;

  big_fleet_init (&big, DAY_HOSTS, DAY_POOLS);
  big_fleet_fill_history (&big);
  check_day (&big);
  bytes = mallinfo2 ().uordblks - before;
  begin_ms = cpu_ms ();
  image = fleet_save (big.fleet);
  CU_ASSERT (cpu_ms () - begin_ms < LOOP_MAX_CPU_MS);
  /* The size of the state bounds that of the message's members, which are built from it. */
  CU_ASSERT (2 * bytes + image->len < STATE_MAX_BYTES);
  printf ("state %zu bytes, image %u bytes\n", bytes, image->len);
  begin_ms = cpu_ms ();
  loaded = fleet_load (image->data, image->len);
  CU_ASSERT (cpu_ms () - begin_ms < LOOP_MAX_CPU_MS);
  SUITE_REQUIRE (loaded != NULL);
  CU_ASSERT_EQUAL (fleet_digest (loaded), fleet_digest (big.fleet));
  fleet_destroy (loaded);
  g_byte_array_unref (image);
  big_fleet_clear (&big);
}

int
main (void)
{
  static const struct suite_test tests[] = { { "full size", test_full_size } };

  return suite_run ("size", tests, G_N_ELEMENTS (tests));
}
