#include <string.h>

#include "common/log.h"
#include "common/settings.h"
#include "jobd.h"
#include "platform/callers.h"

/* What callers ask for: jobs handed in, their states, cancellations, counts. */

enum
{
  ID_LEN = 16,
  MS_PER_S = 1000,
  /* A caller that names no deadline is answered within this. */
  DEADLINE_MS = 3000,
  DEADLINE_MAX_MS = 60000,
  /* An answer must still reach the caller before its deadline. */
  DEADLINE_MARGIN_MS = 100,
  /* How long what is known of jobs may be old for the answer that there is no such job. */
  KNOWN_FRESH_MS = 1500,
  RETRY_AFTER_S = 1,
};

struct ingress
{
  struct jobd *jobd;
  struct http_server *server;
  struct ev_loop *loop;
  LIST_HEAD (, exchange) exchanges;
  struct metric accepted;
  struct metric refused;
  struct metric unknown;
  struct metric states;
  struct metric cancels;
  struct metric_histogram durable_time;
};

/* One request that waits for the store. */
struct exchange
{
  LIST_ENTRY (exchange) link;
  struct ingress *ingress;
  /* NULL once it was answered or its caller has gone. */
  struct http_request *request;
  char *id;
  /* The record that was appended, to be known here at once. */
  char *key;
  GBytes *value;
  int64_t deadline_ms;
  int64_t begun_ms;
  bool appended;
};

/* Answers with a JSON text. */
static void
answer_json (struct http_request *request, int status, const char *text)
{
  http_request_answer_text (request, status, "application/json", text);
}

/* Refuses a request for good. */
static void
answer_error (struct http_request *request, int status, const char *reason)
{
  g_autofree char *text = encode_error (reason);

  answer_json (request, status, text);
}

/* Refuses a request that has not run and tells when to come back. */
static void
answer_later (struct http_request *request, const char *reason)
{
  g_autofree char *text = encode_error (reason);
  g_autofree char *seconds = g_strdup_printf ("%d", RETRY_AFTER_S);
  struct http_header headers[] = {
    { "Content-Type", "application/json" },
    { "Retry-After", seconds },
  };
  struct http_response response = {
    .status = 503,
    .headers = headers,
    .n_headers = G_N_ELEMENTS (headers),
    .body = text,
    .body_len = strlen (text),
  };

  http_request_answer (request, &response);
}

/* Frees an exchange that nothing refers to. */
static void
exchange_destroy (struct exchange *exchange)
{
  LIST_REMOVE (exchange, link);
  if (exchange->request)
    http_request_set_data (exchange->request, NULL);
  g_free (exchange->id);
  g_free (exchange->key);
  if (exchange->value)
    g_bytes_unref (exchange->value);
  g_free (exchange);
}

/* Takes the request out of its exchange, to be answered. */
static struct http_request *
exchange_take_request (struct exchange *exchange)
{
  struct http_request *request = g_steal_pointer (&exchange->request);

  if (request)
    http_request_set_data (request, NULL);
  return request;
}

/* Makes an exchange for a request that has to wait. */
static struct exchange *
exchange_create (struct ingress *ingress, struct http_request *request, const char *id)
{
  struct exchange *exchange = g_new0 (struct exchange, 1);
  int64_t wait_ms = caller_deadline_ms (request, DEADLINE_MS);

  wait_ms = CLAMP (wait_ms, DEADLINE_MARGIN_MS, DEADLINE_MAX_MS) - DEADLINE_MARGIN_MS;
  exchange->ingress = ingress;
  exchange->request = request;
  exchange->id = g_strdup (id);
  exchange->begun_ms = jobd_now_ms (ingress->jobd);
  exchange->deadline_ms = jobd_now_ms (ingress->jobd) + wait_ms;
  http_request_set_data (request, exchange);
  LIST_INSERT_HEAD (&ingress->exchanges, exchange, link);
  return exchange;
}

/* A record of a caller's is durable, or certainly never will be. */
static void
exchange_on_append (void *ctx, enum writer_result result, int64_t offset)
{
  struct exchange *exchange = ctx;
  struct jobd *jobd = exchange->ingress->jobd;
  struct http_request *request = exchange_take_request (exchange);
  bool durable = result == WRITER_DURABLE;
  gsize len;
  const void *value = g_bytes_get_data (exchange->value, &len);

  log_info ("ingress", "%s: job=%s offset=%" G_GINT64_FORMAT " key=%s",
            durable ? "record durable" : "record refused", exchange->id, durable ? offset : -1,
            exchange->key);
  /* A leader learns of jobs in the journal's order only: the claim of its successor may stand
   * before this one, which then is the successor's to start. */
  if (durable && !leader_is_leading (jobd->leader))
    job_book_apply (&jobd->book, exchange->key, value, len, offset, jobd_now_ms (jobd));
  if (request && durable)
    answer_json (request, 200, EMPTY_ANSWER);
  else if (request)
    answer_later (request, "the store is not available; nothing was stored");
  if (durable)
    {
      exchange->ingress->accepted.value++;
      metric_histogram_take (&exchange->ingress->durable_time,
                             jobd_now_ms (jobd) - exchange->begun_ms);
    }
  else
    exchange->ingress->refused.value++;
  exchange_destroy (exchange);
}

/* A record was read from the journal. A caller whose record it is need not wait for the store's
 * answer to the append, which may be slow or lost. */
void
ingress_record_read (struct ingress *ingress, const char *key)
{
  struct exchange *exchange;

  LIST_FOREACH (exchange, &ingress->exchanges, link)
    {
      if (!exchange->request || g_strcmp0 (exchange->key, key) != 0)
        continue;
      log_info ("ingress", "record read before the append was answered: job=%s key=%s",
                exchange->id, key);
      answer_json (exchange_take_request (exchange), 200, EMPTY_ANSWER);
    }
}

/* Has a record appended for a request. */
static void
exchange_append (struct exchange *exchange, const Sp__JobRecord *record)
{
  gsize len;
  const void *value;

  exchange->key = job_record_key (record);
  exchange->value = job_record_pack (record);
  exchange->appended = true;
  value = g_bytes_get_data (exchange->value, &len);
  writer_append (exchange->ingress->jobd->writer, exchange->key, value, len, exchange_on_append,
                 exchange);
}

/* Tells whether a text is an id of a job. */
static bool
id_is_valid (const char *id)
{
  size_t len = strlen (id);

  if (len != ID_LEN)
    return false;
  for (size_t i = 0; i < len; i++)
    {
      if (!g_ascii_isxdigit (id[i]))
        return false;
    }
  return true;
}

/* Replaces a text of a message. */
static void
set_text (char **field, const char *text)
{
  free (*field);
  *field = strdup (text);
}

/* Fills in what the queue and the acceptance say of a job. */
static void
definition_complete (const struct jobd *jobd, Sp__JobDefinition *definition,
                     const struct job_queue *queue, const char *id)
{
  g_autofree char *name = queue_name (queue);

  set_text (&definition->id, id);
  set_text (&definition->queue, name);
  set_text (&definition->pool, queue->pool);
  definition->priority = queue->priority;
  definition->max_attempts = queue->max_attempts;
  definition->slack_permille = queue->slack_permille;
  definition->target_ms = queue->target_ms;
  definition->advised = queue->advised;
  definition->epoch = jobd->book.leader_epoch;
  definition->accepted_ms = jobd->clock.wall_ms;
}

/* Accepts a job once its record is durable. */
static void
handle_submit (struct ingress *ingress, struct http_request *request, const struct job_queue *queue,
               const char *id)
{
  struct jobd *jobd = ingress->jobd;
  const struct job *known = job_book_find (&jobd->book, id);
  Sp__JobRecord record = SP__JOB_RECORD__INIT;
  Sp__JobDefinition *definition;
  const char *error;
  const void *body;
  size_t len;

  if (known && known->definition)
    {
      answer_json (request, 200, EMPTY_ANSWER);
      return;
    }
  if (writer_is_stuck (jobd->writer))
    {
      ingress->refused.value++;
      log_info ("ingress", "job refused: job=%s reason=store-away", id);
      answer_later (request, "the store does not answer; nothing was stored");
      return;
    }
  body = http_request_body (request, &len);
  definition = decode_job (body, len, &error);
  if (!definition || !job_definition_is_valid (definition, &error))
    {
      log_info ("ingress", "job refused: job=%s reason=\"%s\"", id, error);
      answer_error (request, 400, error);
      if (definition)
        sp__job_definition__free_unpacked (definition, NULL);
      return;
    }
  definition_complete (jobd, definition, queue, id);
  record.body_case = SP__JOB_RECORD__BODY_DEFINITION;
  record.definition = definition;
  exchange_append (exchange_create (ingress, request, id), &record);
  sp__job_definition__free_unpacked (definition, NULL);
}

/* Answers with a job's state. */
static void
answer_state (struct ingress *ingress, struct http_request *request, const struct job *job)
{
  Sp__JobState state = job->state;
  g_autofree char *text = NULL;

  if (job->cancelled && !job_state_is_final (state))
    state = SP__JOB_STATE__JOB_CANCELLED;
  text = encode_job_state (state);
  ingress->states.value++;
  answer_json (request, 200, text);
}

/* Has a cancellation recorded. */
static void
exchange_cancel (struct exchange *exchange)
{
  Sp__JobRecord record = SP__JOB_RECORD__INIT;
  Sp__JobCancel cancel = SP__JOB_CANCEL__INIT;

  cancel.id = exchange->id;
  record.body_case = SP__JOB_RECORD__BODY_CANCEL;
  record.cancel = &cancel;
  exchange->ingress->cancels.value++;
  exchange_append (exchange, &record);
}

/* The journal has been read to its end for a job that was not known here, or can't be read. */
static void
exchange_on_probe (void *ctx, bool good)
{
  struct exchange *exchange = ctx;
  struct ingress *ingress = exchange->ingress;
  const struct job *job = job_book_find (&ingress->jobd->book, exchange->id);
  struct http_request *request;

  if (exchange->request && job && job->definition &&
      strcmp (http_request_method (exchange->request), "DELETE") == 0 &&
      !job_state_is_final (job->state))
    {
      exchange_cancel (exchange);
      return;
    }
  request = exchange_take_request (exchange);
  if (request && job && job->definition)
    answer_state (ingress, request, job);
  else if (request && good)
    answer_error (request, 410, "no such job");
  else if (request)
    answer_later (request, "the store does not answer, and the job is not known here");
  exchange_destroy (exchange);
}

/* Tells a job's state. One that is not known here is looked for in the journal. */
static void
handle_state (struct ingress *ingress, struct http_request *request, const char *id)
{
  const struct job *job = job_book_find (&ingress->jobd->book, id);

  if (job && job->definition)
    answer_state (ingress, request, job);
  else
    tail_probe (ingress->jobd->journal, exchange_on_probe, exchange_create (ingress, request, id));
}

/* Cancels a job once the record of it is durable. */
static void
handle_cancel (struct ingress *ingress, struct http_request *request, const char *id)
{
  const struct job *job = job_book_find (&ingress->jobd->book, id);

  if (!job || !job->definition)
    tail_probe (ingress->jobd->journal, exchange_on_probe, exchange_create (ingress, request, id));
  else if (job->cancelled || job_state_is_final (job->state))
    answer_json (request, 200, EMPTY_ANSWER);
  else if (writer_is_stuck (ingress->jobd->writer))
    answer_later (request, "the store does not answer; nothing was cancelled");
  else
    exchange_cancel (exchange_create (ingress, request, id));
}

/* Tells how many jobs of a queue wait. */
static void
handle_pending (struct ingress *ingress, struct http_request *request,
                const struct job_queue *queue)
{
  g_autofree char *name = queue_name (queue);
  g_autofree char *text = encode_job_count (job_book_pending (&ingress->jobd->book, name));

  answer_json (request, 200, text);
}

/* Sends a request to what its method asks for. */
static void
handle_job (struct ingress *ingress, struct http_request *request, const struct job_queue *queue,
            const char *id)
{
  const char *method = http_request_method (request);

  if (id[0] == '\0' && strcmp (method, "GET") == 0)
    handle_pending (ingress, request, queue);
  else if (!id_is_valid (id))
    answer_error (request, 400, "an id has 16 hexadecimal digits");
  else if (strcmp (method, "POST") == 0)
    handle_submit (ingress, request, queue, id);
  else if (strcmp (method, "GET") == 0)
    handle_state (ingress, request, id);
  else if (strcmp (method, "DELETE") == 0)
    handle_cancel (ingress, request, id);
  else
    answer_error (request, 405, "POST, GET or DELETE");
}

/* A request has arrived. */
static void
ingress_on_request (void *ctx, struct http_request *request)
{
  struct ingress *ingress = ctx;
  struct jobd *jobd = ingress->jobd;
  const char *host = http_request_header (request, "Host");
  const struct job_queue *queue;
  const char *rest;

  http_request_set_data (request, NULL);
  if (!jobd->queues || !tail_is_loaded (jobd->journal))
    {
      answer_later (request, "no configuration yet");
      return;
    }
  if (!host)
    {
      answer_error (request, 400, "no Host");
      return;
    }
  queue = queue_table_find (jobd->queues, host, http_request_path (request), &rest);
  if (!queue)
    answer_error (request, 404, "no such queue");
  else
    handle_job (ingress, request, queue, rest);
}

/* A caller has gone before its answer. What was appended for it stays. */
static void
ingress_on_gone (void *ctx, struct http_request *request)
{
  struct exchange *exchange = http_request_data (request);

  (void) ctx;
  if (exchange)
    exchange->request = NULL;
}

/* Answers the requests whose deadline is near: whether their record will be durable is not known.
 */
void
ingress_tick (struct ingress *ingress)
{
  struct exchange *exchange;
  int64_t now_ms = jobd_now_ms (ingress->jobd);

  LIST_FOREACH (exchange, &ingress->exchanges, link)
    {
      struct http_request *request;

      if (!exchange->request || now_ms < exchange->deadline_ms)
        continue;
      request = exchange_take_request (exchange);
      ingress->unknown.value++;
      log_warning ("ingress", "outcome not known at the deadline: job=%s appended=%d", exchange->id,
                   exchange->appended);
      answer_error (request, 504, "the store has not answered in time");
    }
}

/* Opens the callers' port. Gives 0 or a negative error number. */
int
ingress_create (struct jobd *jobd)
{
  struct ingress *ingress = g_new0 (struct ingress, 1);
  char ip[64];
  uint16_t port;
  struct http_server_config config = {
    .address = ip,
    .body_limit = jobd->settings->body_limit_bytes,
    .connection_limit = jobd->settings->caller_connection_limit,
    .handle = ingress_on_request,
    .gone = ingress_on_gone,
    .ctx = ingress,
  };
  int error = settings_endpoint (jobd->settings->frontend, ip, &port);

  ingress->jobd = jobd;
  LIST_INIT (&ingress->exchanges);
  config.port = port;
  ingress->server = error == 0 ? http_server_create (jobd->loop, &config) : NULL;
  if (!ingress->server)
    {
      log_error ("ingress", "can't listen: address=%s", jobd->settings->frontend);
      g_free (ingress);
      return error != 0 ? error : -1;
    }
  metric_add (&jobd->metrics, &ingress->accepted, "sesamepick_jobd_records_durable_total", "",
              "Records of callers that became durable.");
  metric_add (&jobd->metrics, &ingress->refused, "sesamepick_jobd_records_refused_total", "",
              "Records of callers that were refused and not written.");
  metric_add (&jobd->metrics, &ingress->unknown, "sesamepick_jobd_records_unknown_total", "",
              "Requests whose outcome was not known at their deadline.");
  metric_add (&jobd->metrics, &ingress->states, "sesamepick_jobd_states_total", "",
              "States of jobs that were told.");
  metric_add (&jobd->metrics, &ingress->cancels, "sesamepick_jobd_cancels_total", "",
              "Cancellations that were recorded.");
  metric_histogram_add (&jobd->metrics, &ingress->durable_time,
                        "sesamepick_jobd_record_durable_seconds",
                        "Time until a caller's record was durable.");
  jobd->ingress = ingress;
  return 0;
}

/* Takes no more connections; open ones close after their next answer. */
void
ingress_quiesce (struct ingress *ingress)
{
  http_server_quiesce (ingress->server);
}

/* Number of requests that are not answered yet. */
unsigned
ingress_open_requests (const struct ingress *ingress)
{
  return http_server_open_requests (ingress->server);
}

/* Closes the port. */
void
ingress_destroy (struct ingress *ingress)
{
  http_server_destroy (ingress->server);
  metric_remove (&ingress->accepted);
  metric_remove (&ingress->refused);
  metric_remove (&ingress->unknown);
  metric_remove (&ingress->states);
  metric_remove (&ingress->cancels);
  metric_histogram_remove (&ingress->durable_time);
  while (!LIST_EMPTY (&ingress->exchanges))
    {
      struct exchange *exchange = LIST_FIRST (&ingress->exchanges);

      exchange->request = NULL;
      exchange_destroy (exchange);
    }
  g_free (ingress);
}
