#include "platform.h"

#include <string.h>

enum
{
  MS_PER_S = 1000,
  /* Period of the checks whether frozen answers may be sent. */
  FROZEN_RETRY_MS = 50,
};

/* Creates the record of a request that will be answered later. */
struct open_request *
open_request_create (struct platform *platform, struct http_request *request)
{
  struct open_request *open = g_new0 (struct open_request, 1);

  open->platform = platform;
  open->request = request;
  ev_init (&open->timer, NULL);
  LIST_INSERT_HEAD (&platform->open_requests, open, link);
  http_request_set_data (request, open);
  return open;
}

/* Frees the record of an open request without answering it. */
void
open_request_destroy (struct open_request *open)
{
  ev_timer_stop (open->platform->loop, &open->timer);
  http_request_set_data (open->request, NULL);
  LIST_REMOVE (open, link);
  if (open->body)
    g_bytes_unref (open->body);
  g_free (open);
}

/* Sends an answer now. */
static void
answer_send (struct http_request *request, int status, const char *content_type, GBytes *body)
{
  struct http_header header = { "Content-Type", content_type };
  gsize size;
  const void *data = g_bytes_get_data (body, &size);
  struct http_response response = {
    .status = status, .headers = &header, .n_headers = 1, .body = data, .body_len = size
  };

  http_request_respond (request, &response);
}

/* Sends an answer whose delay is over. While answers are frozen, tries again later. */
static void
answer_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct open_request *open = timer->data;
  struct http_request *request = open->request;
  g_autoptr (GBytes) body = g_bytes_ref (open->body);
  const char *content_type = open->content_type;
  int status = open->status;

  (void) events;
  if (open->platform->faults.frozen)
    {
      ev_timer_set (timer, (double) FROZEN_RETRY_MS / MS_PER_S, 0.);
      ev_timer_start (loop, timer);
      return;
    }
  open_request_destroy (open);
  answer_send (request, status, content_type, body);
}

/* Answers a request now or after a delay in milliseconds; takes ownership of the body. */
void
platform_answer (struct platform *platform, struct http_request *request, int status,
                 const char *content_type, GBytes *body, int64_t delay_ms)
{
  struct open_request *open;

  if (delay_ms == 0 && !platform->faults.frozen)
    {
      answer_send (request, status, content_type, body);
      g_bytes_unref (body);
      return;
    }
  open = open_request_create (platform, request);
  open->status = status;
  open->content_type = content_type;
  open->body = body;
  ev_timer_init (&open->timer, answer_due, (double) delay_ms / MS_PER_S, 0.);
  open->timer.data = open;
  ev_timer_start (platform->loop, &open->timer);
}

/* Answers with JSON; takes ownership of the JSON. */
void
platform_answer_json (struct platform *platform, struct http_request *request, int status,
                      json_t *json, int64_t delay_ms)
{
  char *text = json_dumps (json, JSON_COMPACT);

  json_decref (json);
  platform_answer (platform, request, status, "application/json",
                   g_bytes_new_with_free_func (text, strlen (text), free, text), delay_ms);
}

/* Never answers a request: the caller has to time out. */
void
platform_withhold_answer (struct platform *platform, struct http_request *request)
{
  open_request_create (platform, request);
}

/* Returns whether to withhold the answer to a request that has already taken effect, because of
 * lose_next or lose_permille. */
bool
platform_loses_answer (struct platform *platform)
{
  struct faults *faults = &platform->faults;

  if (faults->lose_next > 0)
    {
      faults->lose_next--;
      return true;
    }
  return g_rand_int_range (platform->random, 0, 1000) < (gint32) faults->lose_permille;
}

/* Returns an unsigned number from the query, or the fallback if it is missing or malformed. */
uint64_t
request_number (const struct http_request *request, const char *name, uint64_t fallback)
{
  const char *text = http_request_query (request, name);
  guint64 number;

  if (!text || !g_ascii_string_to_unsigned (text, 10, 0, G_MAXINT64, &number, NULL))
    return fallback;
  return number;
}

/* Adds an event with the current time to the journal; takes ownership of the event. */
void
platform_journal_add (struct platform *platform, json_t *event)
{
  json_object_set_new (event, "time_ms", json_integer (platform->clock.wall_ms));
  json_array_append_new (platform->journal, event);
}
