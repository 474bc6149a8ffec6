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

/* How a request ended for its caller. */
enum load_outcome
{
  /* The whole answer to this request, with status 200. */
  LOAD_ANSWERED,
  /* An endpoint's answer with another status. */
  LOAD_ERROR_STATUS,
  LOAD_NOT_RUN,
  LOAD_UNKNOWN,
  /* No connection to the entry host came up. */
  LOAD_NOT_SENT,
  /* The entry host gave no whole answer. */
  LOAD_NO_RESPONSE,
  /* An answer that is not this request's, or without an outcome. */
  LOAD_WRONG_RESPONSE,
  LOAD_N_OUTCOMES,
};

/* One service's arrivals. */
struct load_service
{
  char *name;
  double mean_per_s;
  double next_s;
  uint64_t sent;
  uint64_t outcomes[LOAD_N_OUTCOMES];
};

/* One entry host as the balancer before it sees it. */
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
  uint64_t open;
  uint64_t skipped;
  uint64_t outcomes[LOAD_N_OUTCOMES];
  struct histogram latency;
  /* Ends by reason, as the entry host named it. */
  GHashTable *reasons;
  /* What was promised of an id: its enum load_guarantee. */
  GHashTable *guarantees;
  ev_timer arrivals;
  ev_timer health;
  double start_s;
  int phase;
  bool arrivals_done;
};

/* What must hold of a request's runs at the endpoints. */
enum load_guarantee
{
  /* Ran at most once. */
  GUARANTEE_AT_MOST_ONCE = 1,
  /* Never ran. */
  GUARANTEE_NEVER_RAN = 2,
};

/* Sends one request to a service; its end is counted. */
void load_send (struct load *load, struct load_service *service);

/* Asks the endpoints how often each request ran. Gives the number of broken promises, or a negative
 * error number if an endpoint can't be asked. */
int64_t load_check (struct load *load);

/* Prints what was measured, as text or JSON. */
void load_print (struct load *load, int64_t violations);

#endif
