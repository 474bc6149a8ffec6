#ifndef SESAMEPICK_LIB_HOST_DEMAND_HOST_DEMAND_H
#define SESAMEPICK_LIB_HOST_DEMAND_HOST_DEMAND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/resources.h"

/* How many hosts the jobs of a pool need: now, and when a host that is requested now would be
 * ready. The time until then is the horizon. */

enum
{
  /* Holds a second of arrivals at 250 jobs per second; at higher rates only the newest count. */
  DEMAND_ARRIVALS_MAX = 256,
};

/* A step of a job that arrives. */
struct demand_step
{
  unsigned n_tasks;
  /* What one task requests, and for how long. */
  struct resources request;
  int64_t estimate_ms;
  /* Numbers of earlier steps that must end first. */
  const uint32_t *prerequisites;
  size_t n_prerequisites;
};

/* Arrival of one job. */
struct demand_arrival
{
  int64_t at_ms;
  /* Resources that the job uses within the horizon after its arrival, in milli-cores and MB, each
   * multiplied by the ms for which it is used. */
  struct resources work;
};

/* A rise of the arrival rate that the mean doesn't show yet. */
struct demand_rise
{
  /* When it was noticed; 0 while there is none. */
  int64_t since_ms;
  /* Highest number of arrivals in the short window since then. */
  unsigned peak;
  /* It ended before the mean followed, so that rises are ignored until then. */
  int64_t ignored_until_ms;
};

/* Ring buffer of a pool's newest arrivals. */
struct demand
{
  struct demand_arrival arrivals[DEMAND_ARRIVALS_MAX];
  unsigned next;
  unsigned n;
  struct demand_rise rise;
};

/* What the jobs of a pool request. */
struct host_request
{
  /* Jobs that can still meet their objective, and the others. */
  struct resources timely;
  struct resources late;
  /* Part of it: tasks suspected of crashing endpoints that wait for their trial. */
  struct resources suspects;
};

/* A pool that lacks hosts for its timely jobs: how many, and how many are on their way to it. */
struct host_lack
{
  unsigned lacking;
  unsigned coming;
};

/* Numbers of hosts that a pool needs: for the jobs that can still meet their objective, for all
 * jobs, and for all jobs without their suspects. */
struct host_need
{
  unsigned urgent;
  unsigned wanted;
  unsigned beside_suspects;
};

/* Returns the expected start of a step in ms after the job's arrival; ends holds the expected ends
 * of the steps that it may depend on. */
int64_t demand_step_start_ms (const uint32_t *prerequisites, size_t n, const int64_t *ends);
/* Returns the resources that a new job uses within the horizon, each multiplied by the ms for which
 * it is used. */
struct resources demand_work (const struct demand_step *steps, size_t n_steps, int64_t horizon_ms);
/* Records the arrival of a job with its work. */
void demand_add_work (struct demand *demand, const struct resources *work, int64_t now_ms);
/* Forecasts the resources that jobs yet to arrive will use at the end of the horizon, if they
 * continue to arrive at the recent rate. */
struct resources demand_forecast (const struct demand *demand, int64_t now_ms);
/* The same, with the rate of the newest arrivals while they show that it rises. */
struct resources demand_forecast_rising (struct demand *demand, int64_t now_ms);
/* Returns how many hosts of the given size a pool needs. */
struct host_need host_demand_count (const struct host_request *request,
                                    const struct resources *size);
/* Returns the index of the pool that gets the next host, so that pools get hosts in proportion to
 * what each lacks; n if none lacks any. */
size_t host_demand_next (const struct host_lack *lacks, size_t n);

#endif
