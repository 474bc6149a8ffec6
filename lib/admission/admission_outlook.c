#include "lib/admission/admission_outlook.h"

#include <glib.h>
#include <math.h>

enum
{
  PERMILLE = 1000,
  CAPACITY_PERMILLE_MAX = 10000,
  /* Time constant of the mean of the work that arrives: the excess has to be known soon after an
   * overload begins, and a second holds enough arrivals for a mean. */
  ARRIVALS_MS = 1000,
  WAIT_MAX_MS = 3600 * 1000,
  /* Longest wait that is forecast for late work: how long an overload will last isn't known. */
  LATE_WAIT_MAX_MS = 60 * 1000,
  /* Waits below this, forecast and actual, verify nothing: they are as long as a start takes and
   * the age of the forecast. */
  VERIFIED_MIN_MS = 2 * OUTLOOK_INTERVAL_MS,
  /* Number of verified forecasts from which on the error is known. */
  VERIFIED_MIN = 10,
  /* Hosts are told that a wait is over for longer than they believe the forecast before. */
  SHOWN_MS = 2000,
};

/* Decay of the sums of verified forecasts with each: they reflect the last hundred or so. */
static const double DECAY = 0.99;

void
outlook_input_add (struct outlook_input *input, uint32_t priority, const struct outlook_work *work,
                   bool ready, bool late)
{
  struct outlook_work *sum;

  unsigned i = 0;

  while (i < input->n_waiting && input->priorities[i] != priority)
    i++;
  if (i == OUTLOOK_PRIORITIES_MAX)
    i = OUTLOOK_PRIORITIES_MAX - 1;
  else if (i == input->n_waiting)
    {
      input->priorities[i] = priority;
      input->waiting[i] = (struct outlook_work){ 0 };
      input->late[i] = (struct outlook_work){ 0 };
      input->ready[i] = false;
      input->n_waiting++;
    }
  sum = late ? &input->late[i] : &input->waiting[i];
  sum->cpu += work->cpu;
  sum->memory += work->memory;
  input->ready[i] = input->ready[i] || (ready && !late);
}

/* Lets the work that arrived decay until now_ms. */
static void
pool_outlook_decay (struct pool_outlook *outlook, int64_t now_ms)
{
  double left = exp (-(double) MAX (now_ms - outlook->arrived_ms, 0) / ARRIVALS_MS);

  outlook->arrived.cpu *= left;
  outlook->arrived.memory *= left;
  outlook->arrived_ms = now_ms;
}

void
pool_outlook_add_arrival (struct pool_outlook *outlook, const struct outlook_work *work,
                          int64_t now_ms)
{
  pool_outlook_decay (outlook, now_ms);
  outlook->arrived.cpu += work->cpu;
  outlook->arrived.memory += work->memory;
}

void
pool_outlook_add_start (struct pool_outlook *outlook, int64_t forecast_ms, int64_t actual_ms,
                        int64_t horizon_ms)
{
  int64_t error_ms;

  forecast_ms = MIN (forecast_ms, horizon_ms);
  actual_ms = MIN (actual_ms, horizon_ms);
  error_ms = ABS (actual_ms - forecast_ms);

  outlook->n_forecasts++;
  outlook->errors_ms += error_ms;
  if (MAX (forecast_ms, actual_ms) < VERIFIED_MIN_MS)
    return;
  outlook->n_verified = DECAY * outlook->n_verified + 1.0;
  outlook->forecast_sum = DECAY * outlook->forecast_sum + (double) forecast_ms;
  outlook->error_sum = DECAY * outlook->error_sum + (double) error_ms;
}

/* Returns the expected error of a wait: the part of the forecasts by which they were wrong lately.
 * While too few are verified it is more than the wait, so that nothing is refused. */
static int64_t
pool_outlook_error_ms (const struct pool_outlook *outlook, int64_t wait_ms)
{
  if (outlook->n_verified < VERIFIED_MIN)
    return 2 * wait_ms + 1;
  return (int64_t) MIN ((double) wait_ms * outlook->error_sum / MAX (outlook->forecast_sum, 1.0),
                        WAIT_MAX_MS);
}

/* Returns the time until an amount of work is done with the capacity that is there and that which
 * is added after a time, in ms. */
static double
work_time_ms (double work, double capacity, double coming, double coming_in_ms)
{
  double before = capacity * coming_in_ms;

  if (work <= before && capacity > 0.0)
    return work / capacity;
  if (capacity + coming <= 0.0)
    return work > 0.0 ? WAIT_MAX_MS : 0.0;
  return coming_in_ms + (work - before) / (capacity + coming);
}

/* Returns the wait of a job with the given work ahead of it. What runs doesn't count: while the
 * pool is full, as much work is running when the last of the work ahead starts as is running now.
 */
static int64_t
outlook_wait_ms (const struct outlook_input *input, const struct outlook_work *ahead)
{
  double in_ms = (double) input->coming_in_ms;
  double cpu_ms = work_time_ms (ahead->cpu, input->capacity.cpu, input->coming.cpu, in_ms);
  double memory_ms =
      work_time_ms (ahead->memory, input->capacity.memory, input->coming.memory, in_ms);

  return (int64_t) MIN (MAX (cpu_ms, memory_ms), WAIT_MAX_MS);
}

/* Returns the capacity over the rate of the work that arrived, in thousandths. */
static uint32_t
outlook_capacity_permille (const struct pool_outlook *outlook, const struct outlook_input *input)
{
  double cpu = input->capacity.cpu + input->coming.cpu;
  double memory = input->capacity.memory + input->coming.memory;
  double ratio = CAPACITY_PERMILLE_MAX;

  if (outlook->arrived.cpu > 0.0)
    ratio = MIN (ratio, PERMILLE * cpu * ARRIVALS_MS / outlook->arrived.cpu);
  if (outlook->arrived.memory > 0.0)
    ratio = MIN (ratio, PERMILLE * memory * ARRIVALS_MS / outlook->arrived.memory);
  return (uint32_t) ratio;
}

/* Returns the wait of a job that is late before its turn comes: it starts after the late work that
 * is there, with the capacity that timely arrivals leave. */
static int64_t
outlook_late_wait_ms (const struct pool_outlook *outlook, const struct outlook_input *input,
                      const struct outlook_work *ahead)
{
  double cpu = input->capacity.cpu + input->coming.cpu - outlook->arrived.cpu / ARRIVALS_MS;
  double memory =
      input->capacity.memory + input->coming.memory - outlook->arrived.memory / ARRIVALS_MS;

  if (cpu <= 0.0 || memory <= 0.0)
    return LATE_WAIT_MAX_MS;
  return (int64_t) MIN (MAX (ahead->cpu / cpu, ahead->memory / memory), LATE_WAIT_MAX_MS);
}

/* Adds the forecast for a priority: all waiting work that isn't less urgent is ahead. If none of it
 * is ready, later steps of jobs that have begun don't keep a job from starting now. */
static void
pool_outlook_add_entry (struct pool_outlook *outlook, const struct outlook_input *input,
                        uint32_t priority)
{
  struct outlook_work ahead = { 0 };
  struct outlook_work late = { 0 };
  struct outlook_entry entry = {
    .priority = priority,
    .capacity_permille = outlook_capacity_permille (outlook, input),
    .free_cpu_milli = input->free_cpu_milli,
    .free_memory_mb = input->free_memory_mb,
  };
  bool waits = false;
  unsigned at = outlook->n_entries;

  for (unsigned i = 0; i < input->n_waiting; i++)
    {
      if (input->priorities[i] > priority)
        continue;
      ahead.cpu += input->waiting[i].cpu;
      ahead.memory += input->waiting[i].memory;
      late.cpu += input->late[i].cpu;
      late.memory += input->late[i].memory;
      waits = waits || input->ready[i];
    }
  entry.wait_ms = waits ? outlook_wait_ms (input, &ahead) : 0;
  late.cpu += ahead.cpu;
  late.memory += ahead.memory;
  entry.late_wait_ms = MAX (outlook_late_wait_ms (outlook, input, &late), entry.wait_ms);
  entry.error_ms = pool_outlook_error_ms (outlook, entry.wait_ms);
  for (; at > 0 && outlook->entries[at - 1].priority > priority; at--)
    outlook->entries[at] = outlook->entries[at - 1];
  outlook->entries[at] = entry;
  outlook->n_entries++;
}

void
pool_outlook_update (struct pool_outlook *outlook, const struct outlook_input *input,
                     int64_t now_ms)
{
  pool_outlook_decay (outlook, now_ms);
  outlook->n_entries = 0;
  if (input->capacity.cpu + input->coming.cpu <= 0.0 ||
      input->capacity.memory + input->coming.memory <= 0.0)
    return;
  for (unsigned i = 0; i < input->n_waiting; i++)
    pool_outlook_add_entry (outlook, input, input->priorities[i]);
  if (outlook->n_entries > 0 &&
      outlook->entries[outlook->n_entries - 1].wait_ms >= OUTLOOK_INTERVAL_MS)
    outlook->waited_ms = now_ms;
}

const struct outlook_entry *
outlook_find (const struct outlook_entry *entries, unsigned n, uint32_t priority)
{
  const struct outlook_entry *found = NULL;

  for (unsigned i = 0; i < n && entries[i].priority <= priority; i++)
    found = &entries[i];
  return found;
}

/* A job whose turn doesn't come before it is late waits behind all other late ones. */
int64_t
outlook_entry_wait_ms (const struct outlook_entry *entry, int64_t slack_ms)
{
  return entry->wait_ms <= MAX (slack_ms, 0) ? entry->wait_ms : entry->late_wait_ms;
}

bool
pool_outlook_is_shown (const struct pool_outlook *outlook, int64_t now_ms)
{
  return outlook->waited_ms > 0 && now_ms - outlook->waited_ms < SHOWN_MS;
}
