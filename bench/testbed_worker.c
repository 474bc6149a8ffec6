#include "testbed_worker.h"

#include <stdio.h>
#include <string.h>

enum
{
  US_PER_MS = 1000,
  WORKERS_PER_RACK = 4,
  /* Time of a failing worker until it responds with ERROR_STATUS. */
  ERROR_RESPONSE_US = 200,
  SLOW_FACTOR = 10,
  /* Time until a connection to an unreachable worker fails. */
  CONNECT_FAILURE_US = 500,
  OK_STATUS = 200,
  ERROR_STATUS = 500,
};

/* One attempt to run a request on a worker. It lives until the last event that refers to it has
 * run. */
struct fake_attempt
{
  struct testbed *bed;
  size_t entry;
  uint64_t entry_incarnation;
  uint64_t request;
  uint32_t number;
  struct fake_worker *worker;
  /* The entry host still waits for the result. */
  bool awaited;
  /* The connection is open and counted at the worker. */
  bool open;
  bool queued;
  int refs;
  int64_t started_us;
  enum attempt_result result;
  int status;
};

static void
attempt_unref (struct fake_attempt *attempt)
{
  if (--attempt->refs == 0)
    g_free (attempt);
}

/* Calls a function with the attempt after a delay; takes a reference for it. */
static void
attempt_after (struct fake_attempt *attempt, int64_t delay_us,
               void (*function) (struct testbed *bed, void *data))
{
  attempt->refs++;
  testbed_after (attempt->bed, delay_us, function, attempt);
}

/* Closes an attempt's connection at the worker. */
static void
attempt_close (struct fake_attempt *attempt)
{
  if (!attempt->open)
    return;
  attempt->open = false;
  attempt->worker->open--;
}

/* Reports the attempt's result to the entry host, if it still waits for one. */
static void
attempt_notify_entry (struct fake_attempt *attempt, enum attempt_result result, int status)
{
  struct testbed *bed = attempt->bed;
  struct fake_entry *entry = &bed->entries[attempt->entry];

  if (!attempt->awaited)
    return;
  attempt->awaited = false;
  g_ptr_array_remove_fast (bed->attempts, attempt);
  attempt_close (attempt);
  dispatch_attempt_done (entry->dispatch, attempt->request, attempt->number, result, status,
                         bed->now_us / US_PER_MS);
}

/* Delivers the response or the connection's failure to the entry host. */
static void
attempt_deliver_result (struct testbed *bed, void *data)
{
  struct fake_attempt *attempt = data;

  if (attempt->awaited &&
      testbed_postpone_if_paused (bed, attempt->entry, attempt_deliver_result, data))
    return;
  attempt_notify_entry (attempt, attempt->result, attempt->status);
  attempt_unref (attempt);
}

/* Reports a timeout when the entry host's time limit for the attempt has passed. */
static void
attempt_on_timeout (struct testbed *bed, void *data)
{
  struct fake_attempt *attempt = data;

  if (attempt->awaited &&
      testbed_postpone_if_paused (bed, attempt->entry, attempt_on_timeout, data))
    return;
  attempt_notify_entry (attempt, ATTEMPT_TIMEOUT, 0);
  attempt_unref (attempt);
}

/* Sends a result back to the entry host; it arrives after the link's delay. */
static void
attempt_send_result (struct fake_attempt *attempt, enum attempt_result result, int status)
{
  attempt->result = result;
  attempt->status = status;
  attempt_after (attempt, attempt->bed->config.worker_us, attempt_deliver_result);
}

static void worker_run (struct fake_worker *worker, struct fake_attempt *attempt);

/* Counts a run and checks that it is permitted: the request was not reported as "not run", and a
 * request that is not idempotent, or its key, runs only once. */
static void
attempt_count_run (struct fake_attempt *attempt)
{
  struct testbed *bed = attempt->bed;
  struct fake_request *request = g_ptr_array_index (bed->requests, attempt->request);

  request->runs++;
  attempt->worker->runs++;
  g_assert (request->outcome != CALLER_NOT_RUN);
  g_assert (request->idempotent || request->runs == 1);
  if (request->key && !request->idempotent)
    {
      guint runs = GPOINTER_TO_UINT (g_hash_table_lookup (bed->key_runs, request->key)) + 1;

      g_assert_cmpuint (runs, ==, 1);
      g_hash_table_insert (bed->key_runs, g_strdup (request->key), GUINT_TO_POINTER (runs));
    }
}

/* Completes a run and starts the requests that are queued at the worker. */
static void
attempt_finish (struct testbed *bed, void *data)
{
  struct fake_attempt *attempt = data;
  struct fake_worker *worker = attempt->worker;
  struct fake_attempt *next;

  (void) bed;
  worker->running--;
  if (worker->mode != WORKER_HANGS)
    attempt_close (attempt);
  if (attempt->status == ERROR_STATUS)
    attempt_send_result (attempt, ATTEMPT_ANSWERED, ERROR_STATUS);
  else if (worker->mode == WORKER_CLOSES)
    attempt_send_result (attempt, ATTEMPT_LOST, 0);
  else if (worker->mode != WORKER_HANGS)
    attempt_send_result (attempt, ATTEMPT_ANSWERED, OK_STATUS);
  attempt_unref (attempt);
  while (worker->running < TESTBED_SLOTS && (next = g_queue_pop_head (&worker->waiting)))
    {
      next->queued = false;
      if (next->open)
        worker_run (worker, next);
      attempt_unref (next);
    }
}

/* Starts to run an attempt's request. */
static void
worker_run (struct fake_worker *worker, struct fake_attempt *attempt)
{
  struct testbed *bed = attempt->bed;
  int64_t run_us = testbed_random_us (bed, bed->config.service_us);

  if (worker->mode == WORKER_FAILS)
    {
      run_us = ERROR_RESPONSE_US;
      attempt->status = ERROR_STATUS;
    }
  else
    attempt_count_run (attempt);
  if (worker->mode == WORKER_SLOW)
    run_us *= SLOW_FACTOR;
  worker->running++;
  attempt_after (attempt, run_us, attempt_finish);
}

/* Handles a request that arrives at the worker: refuses, runs or queues it. */
static void
attempt_arrive (struct testbed *bed, void *data)
{
  struct fake_attempt *attempt = data;
  struct fake_worker *worker = attempt->worker;

  (void) bed;
  if (!attempt->open)
    ;
  else if (worker->mode == WORKER_REJECTS)
    attempt_send_result (attempt, ATTEMPT_REFUSED, 0);
  else if (worker->running < TESTBED_SLOTS)
    worker_run (worker, attempt);
  else
    {
      attempt->refs++;
      attempt->queued = true;
      g_queue_push_tail (&worker->waiting, attempt);
    }
  attempt_unref (attempt);
}

/* Starts an attempt for a dispatch. */
void
testbed_attempt_start (void *ctx, uint64_t request, uint32_t number,
                       const struct attempt_target *target)
{
  struct fake_entry *entry = ctx;
  struct testbed *bed = entry->bed;
  struct fake_attempt *attempt = g_new0 (struct fake_attempt, 1);
  struct fake_worker *worker = &bed->workers[target->port];

  g_assert (target->timeout_ms > 0);
  g_assert (!worker->leaving);
  g_assert_cmpstr (worker->host, ==, target->host);
  *attempt = (struct fake_attempt){ .bed = bed,
                                    .entry = (size_t) (entry - bed->entries),
                                    .entry_incarnation = entry->incarnation,
                                    .request = request,
                                    .number = number,
                                    .worker = worker,
                                    .awaited = true,
                                    .refs = 1,
                                    .started_us = bed->now_us };
  worker->attempts++;
  g_ptr_array_add (bed->attempts, attempt);
  attempt_after (attempt, target->timeout_ms * US_PER_MS, attempt_on_timeout);
  if (worker->mode == WORKER_UNREACHABLE)
    {
      attempt->result = ATTEMPT_NOT_SENT;
      attempt_after (attempt, CONNECT_FAILURE_US, attempt_deliver_result);
    }
  else
    {
      attempt->open = true;
      worker->open++;
      worker->open_max = MAX (worker->open_max, worker->open);
      if (worker->open > TESTBED_SLOTS)
        worker->overfilled++;
      attempt_after (attempt, bed->config.worker_us, attempt_arrive);
    }
  attempt_unref (attempt);
}

/* Ends an attempt whose result its entry host does not wait for any more. */
static void
attempt_abandon (struct testbed *bed, guint index)
{
  struct fake_attempt *attempt = g_ptr_array_index (bed->attempts, index);

  attempt->awaited = false;
  attempt_close (attempt);
  g_ptr_array_remove_index_fast (bed->attempts, index);
}

/* Cancels an attempt for a dispatch, which must have started it. */
void
testbed_attempt_cancel (void *ctx, uint64_t request, uint32_t number)
{
  struct fake_entry *entry = ctx;
  struct testbed *bed = entry->bed;

  for (guint i = 0; i < bed->attempts->len; i++)
    {
      const struct fake_attempt *attempt = g_ptr_array_index (bed->attempts, i);

      if (attempt->request != request || attempt->number != number)
        continue;
      attempt_abandon (bed, i);
      return;
    }
  g_assert_not_reached ();
}

uint32_t
testbed_count_attempts_older (const struct testbed *bed, size_t worker, size_t entry,
                              int64_t age_us)
{
  uint32_t count = 0;

  for (guint i = 0; i < bed->attempts->len; i++)
    {
      const struct fake_attempt *attempt = g_ptr_array_index (bed->attempts, i);

      if (attempt->open && attempt->entry == entry && attempt->worker == &bed->workers[worker] &&
          bed->now_us - attempt->started_us >= age_us)
        count++;
    }
  return count;
}

/* Prints a worker's state and open attempts, to explain a failed run. */
void
testbed_print_worker (const struct testbed *bed, size_t worker)
{
  printf ("worker %zu: mode %d, %u open, %u running\n", worker, bed->workers[worker].mode,
          bed->workers[worker].open, bed->workers[worker].running);
  for (guint i = 0; i < bed->attempts->len; i++)
    {
      const struct fake_attempt *attempt = g_ptr_array_index (bed->attempts, i);

      if (attempt->open && attempt->worker == &bed->workers[worker])
        printf ("  request %" G_GUINT64_FORMAT " of entry%zu, started at %" G_GINT64_FORMAT " ms\n",
                attempt->request, attempt->entry, attempt->started_us / US_PER_MS);
    }
}

/* Closes the connections of a killed entry host. */
void
testbed_close_attempts (struct testbed *bed, size_t entry)
{
  for (guint i = bed->attempts->len; i-- > 0;)
    if (((struct fake_attempt *) g_ptr_array_index (bed->attempts, i))->entry == entry)
      attempt_abandon (bed, i);
}

/* Creates a worker's row of the route table. */
static Sp__RouteWorker *
route_worker_create (const struct fake_worker *worker, size_t index)
{
  Sp__RouteWorker *row = g_new (Sp__RouteWorker, 1);

  sp__route_worker__init (row);
  row->host = g_strdup (worker->host);
  row->address = g_strdup ("127.0.0.1");
  row->port = (uint32_t) index;
  row->rack = g_strdup (worker->rack);
  row->data_centre = g_strdup ("dc1");
  return row;
}

/* Creates a service's entry of the route table, with its rows. */
static Sp__RouteService *
route_service_create (const struct testbed *bed, const char *name, size_t workers_of)
{
  Sp__RouteService *service = g_new (Sp__RouteService, 1);
  size_t n = bed->config.workers_per_service;

  sp__route_service__init (service);
  service->name = g_strdup (name);
  service->deadline_ms = (uint32_t) bed->config.deadline_ms;
  service->slots_per_worker = TESTBED_SLOTS;
  service->connections_per_worker = TESTBED_CONNECTIONS;
  service->n_workers = n;
  service->workers = g_new (Sp__RouteWorker *, n);
  for (size_t i = 0; i < n; i++)
    service->workers[i] =
        route_worker_create (&bed->workers[workers_of * n + i], workers_of * n + i);
  return service;
}

/* Creates the workers and the route table that lists them. */
void
testbed_create_workers (struct testbed *bed)
{
  const struct testbed_config *config = &bed->config;
  size_t n_services = config->n_services + (config->nightly ? 1 : 0);

  bed->attempts = g_ptr_array_new ();
  bed->n_workers = config->n_services * config->workers_per_service;
  bed->workers = g_new0 (struct fake_worker, bed->n_workers);
  for (size_t i = 0; i < bed->n_workers; i++)
    {
      struct fake_worker *worker = &bed->workers[i];

      g_snprintf (worker->host, sizeof worker->host, "worker%zu", i);
      g_snprintf (worker->rack, sizeof worker->rack, "rack%zu", i / WORKERS_PER_RACK);
      worker->service = i / config->workers_per_service;
      g_queue_init (&worker->waiting);
    }
  bed->table = g_new (Sp__RouteTable, 1);
  sp__route_table__init (bed->table);
  bed->table->offset = 1;
  bed->table->n_services = n_services;
  bed->table->services = g_new (Sp__RouteService *, n_services);
  for (size_t i = 0; i < n_services; i++)
    {
      bool nightly = i == config->n_services;
      g_autofree char *name = g_strdup_printf (nightly ? "nightly" : "service%zu", i);

      bed->table->services[i] = route_service_create (bed, name, nightly ? 0 : i);
      if (nightly)
        bed->table->services[i]->traffic_class = SP__TRAFFIC_CLASS__TRAFFIC_CLASS_NIGHTLY;
    }
}

/* Frees the workers and the route table. */
void
testbed_free_workers (struct testbed *bed)
{
  for (size_t i = 0; i < bed->n_workers; i++)
    g_queue_clear (&bed->workers[i].waiting);
  g_ptr_array_unref (bed->attempts);
  sp__route_table__free_unpacked (bed->table, NULL);
  g_free (bed->workers);
}
