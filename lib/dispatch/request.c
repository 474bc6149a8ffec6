#include "lib/dispatch/request.h"

#include <glib.h>

/* Creates a request that is in no queue yet. */
struct request *
request_create (const struct request_spec *spec, int64_t now_ms)
{
  struct request *request = g_new0 (struct request, 1);

  request->id = spec->id;
  request->idempotent = spec->idempotent;
  request->key = g_strdup (spec->key);
  request->arrived_ms = now_ms;
  request->deadline_ms = spec->deadline_ms;
  return request;
}

/* Frees a request that is in no queue. */
void
request_destroy (struct request *request)
{
  g_free (request->key);
  g_free (request->failed_host);
  g_free (request->failed_rack);
  g_free (request);
}

void
request_queue_init (struct request_queue *queue)
{
  TAILQ_INIT (&queue->requests);
  queue->n = 0;
}

/* Appends a new request to the queue. */
void
request_queue_push (struct request_queue *queue, struct request *request)
{
  request->state = REQUEST_QUEUED;
  TAILQ_INSERT_TAIL (&queue->requests, request, link);
  queue->n++;
}

/* Inserts a request for another attempt at the front of the queue. */
void
request_queue_push_front (struct request_queue *queue, struct request *request)
{
  request->state = REQUEST_QUEUED;
  TAILQ_INSERT_HEAD (&queue->requests, request, link);
  queue->n++;
}

void
request_queue_remove (struct request_queue *queue, struct request *request)
{
  g_assert (request->state == REQUEST_QUEUED);
  TAILQ_REMOVE (&queue->requests, request, link);
  queue->n--;
}
