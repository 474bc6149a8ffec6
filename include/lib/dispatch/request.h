#ifndef SESAMEPICK_LIB_DISPATCH_REQUEST_H
#define SESAMEPICK_LIB_DISPATCH_REQUEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "lib/dispatch/dispatch.h"

struct key_claim;
struct route;
struct worker;

enum request_state
{
  /* Waiting for the holders of its key. */
  REQUEST_CLAIMING,
  REQUEST_QUEUED,
  REQUEST_RUNNING,
  /* The attempt continues for its side effect only: the caller has disconnected. */
  REQUEST_DISCARDED,
};

/* A request from its arrival until its final result and the end of its last attempt. */
struct request
{
  TAILQ_ENTRY (request) link;
  uint64_t id;
  struct route *route;
  bool idempotent;
  char *key;
  int64_t arrived_ms;
  int64_t deadline_ms;
  enum request_state state;
  uint32_t attempts;
  /* Attempts that may have reached an endpoint; only these count towards the limit of attempts,
   * while the retry budget limits all. */
  uint32_t attempts_sent;
  /* An ended attempt may have reached an endpoint. */
  bool may_have_run;
  /* An endpoint sent a complete response. */
  bool answered;
  /* Claim on its key, or NULL. */
  struct key_claim *claim;
  /* Worker, slot and start time of the running attempt. */
  struct worker *worker;
  int slot;
  int64_t attempt_start_ms;
  /* Host, rack and time of the last failed attempt; the names are NULL before a failure. */
  char *failed_host;
  char *failed_rack;
  int64_t failed_ms;
};

TAILQ_HEAD (request_list, request);

struct request_queue
{
  struct request_list requests;
  size_t n;
};

struct request *request_create (const struct request_spec *spec, int64_t now_ms);
void request_destroy (struct request *request);
void request_queue_init (struct request_queue *queue);
void request_queue_push (struct request_queue *queue, struct request *request);
void request_queue_push_front (struct request_queue *queue, struct request *request);
void request_queue_remove (struct request_queue *queue, struct request *request);

#endif
