#ifndef SESAMEPICK_STANDIN_LOAD_H
#define SESAMEPICK_STANDIN_LOAD_H

#include <ev.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/http_client.h"
#include "histogram.h"
#include "settings.pb-c.h"

/* The outcome of a request as its caller sees it. */
enum load_outcome
{
  /* The complete response to this request, with status 200. */
  LOAD_ANSWERED,
  /* A complete response of an endpoint with another status. */
  LOAD_ERROR_STATUS,
  /* The entry host reports that no endpoint ran the request (not-run), or that it does not know
   * whether one did (unknown). */
  LOAD_NOT_RUN,
  LOAD_UNKNOWN,
  /* The connection to the entry host failed before anything was sent. */
  LOAD_NOT_SENT,
  /* No complete response from the entry host. */
  LOAD_NO_RESPONSE,
  /* A response that belongs to another request, or one without an outcome header. */
  LOAD_WRONG_RESPONSE,
  LOAD_N_OUTCOMES,
};

/* A service and its arrivals (Poisson). Times are on the event loop's clock, in seconds. */
struct load_service
{
  char *name;
  double mean_rate_per_s;
  double next_arrival_s;
  uint64_t sent;
  uint64_t outcomes[LOAD_N_OUTCOMES];
};

/* An entry host. ready is the result of its last health check, as a load balancer would use it. */
struct load_entry
{
  char *address;
  char *admin_url;
  bool ready;
};

struct load
{
  const Sp__LoadSettings *settings;
  struct ev_loop *loop;
  struct http_client *client;
  GRand *random;
  GPtrArray *services;
  GPtrArray *entries;
  guint next_entry;
  uint64_t next_id;
  uint64_t open_requests;
  uint64_t skipped;
  uint64_t outcomes[LOAD_N_OUTCOMES];
  struct histogram latency;
  /* Number of responses by outcome and the reason that the entry host gave. */
  GHashTable *reasons;
  /* From request id to its guarantees, a set of enum load_guarantee. */
  GHashTable *guarantees;
  ev_timer arrivals;
  ev_timer health;
  double start_s;
  /* Index of the current burst period; the services have their bursts in turn. */
  int phase;
  bool arrivals_done;
};

/* What must hold for the number of times the endpoints ran a request. */
enum load_guarantee
{
  /* Ran at most once. */
  GUARANTEE_AT_MOST_ONCE = 1,
  /* Never ran. */
  GUARANTEE_NEVER_RAN = 2,
};

/* Sends one request to a service, or counts it as skipped if too many requests are open. */
void load_send (struct load *load, struct load_service *service);

/* Asks the endpoints how often each request ran. Returns the number of violated guarantees, or a
 * negative error number if an endpoint can't be asked. */
int64_t load_check (struct load *load);

/* Prints the results, as text or JSON. */
void load_print (struct load *load, int64_t violations);

#endif
