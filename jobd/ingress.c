#include <string.h>

#include "common/log.h"
#include "common/settings.h"
#include "job_admission.h"
#include "jobd.h"
#include "platform/callers.h"
#include "record_sender.h"

/* HTTP port for callers: submit a job, query its state, cancel it, count the pending jobs of a
 * queue. */

enum
{
  /* Hexadecimal digits of a job id. */
  JOB_ID_DIGITS = 16,
  /* Time to respond to a caller that sends no deadline. */
  DEFAULT_DEADLINE_MS = 3000,
  DEADLINE_MAX_MS = 60000,
  /* Subtracted from the caller's deadline, so that the response arrives before it. */
  DEADLINE_MARGIN_MS = 100,
  RETRY_AFTER_S = 1,
};

struct ingress
{
  struct jobd *jobd;
  struct http_server *server;
  struct ev_loop *loop;
  LIST_HEAD (, pending_request) pending_requests;
  struct metric accepted;
  struct metric refused;
  struct metric unknown;
  struct metric states;
  struct metric cancels;
  struct metric_histogram durable_time;
};

/* A request that waits for an append to the journal or a read of it. */
struct pending_request
{
  LIST_ENTRY (pending_request) link;
  struct ingress *ingress;
  /* NULL once the request has been answered or its caller has disconnected. */
  struct http_request *request;
  char *id;
  /* Key and value of the appended record. */
  char *key;
  GBytes *value;
  int64_t deadline_ms;
  int64_t created_ms;
  bool appended;
};

/* Answers with a JSON string. */
static void
answer_json (struct http_request *request, int status, const char *body)
{
  http_request_respond_text (request, status, "application/json", body);
}

/* Answers with an error that a retry would not change. */
static void
answer_error (struct http_request *request, int status, const char *reason)
{
  g_autofree char *body = encode_error (reason);

  answer_json (request, status, body);
}

/* Answers 503 with a Retry-After in seconds. The request has had no effect. */
static void
answer_unavailable_for (struct http_request *request, const char *reason, int retry_after_s)
{
  g_autofree char *body = encode_error (reason);
  g_autofree char *seconds = g_strdup_printf ("%d", retry_after_s);
  struct http_header headers[] = {
    { "Content-Type", "application/json" },
    { "Retry-After", seconds },
  };
  struct http_response response = {
    .status = 503,
    .headers = headers,
    .n_headers = G_N_ELEMENTS (headers),
    .body = body,
    .body_len = strlen (body),
  };

  http_request_respond (request, &response);
}

/* The same, to be sent again soon. */
static void
answer_unavailable (struct http_request *request, const char *reason)
{
  answer_unavailable_for (request, reason, RETRY_AFTER_S);
}

/* Frees a pending request. No append or read may refer to it any more. */
static void
pending_request_destroy (struct pending_request *pending)
{
  LIST_REMOVE (pending, link);
  if (pending->request)
    http_request_set_data (pending->request, NULL);
  g_free (pending->id);
  g_free (pending->key);
  if (pending->value)
    g_bytes_unref (pending->value);
  g_free (pending);
}

/* Detaches and returns the HTTP request, so that it can be answered; NULL if there is none. */
static struct http_request *
pending_request_detach (struct pending_request *pending)
{
  struct http_request *request = g_steal_pointer (&pending->request);

  if (request)
    http_request_set_data (request, NULL);
  return request;
}

/* Creates a pending request. Its deadline is the caller's, limited to DEADLINE_MAX_MS, less the
 * margin. */
static struct pending_request *
pending_request_create (struct ingress *ingress, struct http_request *request, const char *id)
{
  struct pending_request *pending = g_new0 (struct pending_request, 1);
  int64_t wait_ms = caller_deadline_ms (request, DEFAULT_DEADLINE_MS);

  wait_ms = CLAMP (wait_ms, DEADLINE_MARGIN_MS, DEADLINE_MAX_MS) - DEADLINE_MARGIN_MS;
  pending->ingress = ingress;
  pending->request = request;
  pending->id = g_strdup (id);
  pending->created_ms = jobd_now_ms (ingress->jobd);
  pending->deadline_ms = jobd_now_ms (ingress->jobd) + wait_ms;
  http_request_set_data (request, pending);
  LIST_INSERT_HEAD (&ingress->pending_requests, pending, link);
  return pending;
}

/* Returns whether this host has appended a record of a job whose fate is not known yet, beside that
 * of one request, which may be NULL. */
static bool
ingress_has_appended (const struct ingress *ingress, const char *id,
                      const struct pending_request *except)
{
  const struct pending_request *pending;

  LIST_FOREACH (pending, &ingress->pending_requests, link)
    {
      if (pending != except && pending->appended && strcmp (pending->id, id) == 0)
        return true;
    }
  return false;
}

/* Handles the result of an append: the record is durable, will certainly never be written, or may
 * be. */
static void
pending_request_on_append (void *ctx, const struct writer_outcome *outcome)
{
  struct pending_request *pending = ctx;
  struct jobd *jobd = pending->ingress->jobd;
  struct http_request *request = pending_request_detach (pending);
  bool durable = outcome->result == WRITER_DURABLE;
  /* A refusal tells the caller that the job is not stored, whichever of its requests is meant. */
  bool unknown = outcome->result == WRITER_UNKNOWN ||
                 (!durable && ingress_has_appended (pending->ingress, pending->id, pending));
  gsize len;
  const void *value = g_bytes_get_data (pending->value, &len);

  log_info ("ingress",
            "%s: job=%s offset=%" G_GINT64_FORMAT " key=%s result=%d status=%d sends=%u"
            " epoch=%" G_GUINT64_FORMAT " sequence=%" G_GUINT64_FORMAT,
            durable ? "record durable" : (unknown ? "record's fate is unknown" : "record refused"),
            pending->id, durable ? outcome->offset : -1, pending->key, outcome->result,
            outcome->status, outcome->n_sends, outcome->epoch, outcome->sequence);
  /* A follower applies the record now, so that the job is known here at once. A leader must apply
   * jobs in journal order only: the journal may hold another host's claim before this job, in which
   * case the new leader starts it. */
  if (durable && !leader_is_leading (jobd->leader))
    job_table_apply (&jobd->jobs, pending->key, value, len, outcome->offset, jobd_now_ms (jobd));
  if (request && durable)
    answer_json (request, 200, EMPTY_RESPONSE_BODY);
  else if (request && unknown)
    answer_error (request, 504, "the store is not available; the record may still be stored");
  else if (request)
    answer_unavailable (request, "the store is not available; nothing was stored");
  if (durable)
    {
      pending->ingress->accepted.value++;
      metric_histogram_observe (&pending->ingress->durable_time,
                                jobd_now_ms (jobd) - pending->created_ms);
    }
  else if (unknown)
    pending->ingress->unknown.value++;
  else
    pending->ingress->refused.value++;
  pending_request_destroy (pending);
}

/* Handles a record read from the journal. A caller whose record it is gets its response now instead
 * of waiting for the response to the append, which may be slow or lost. */
void
ingress_on_journal_record (struct ingress *ingress, const char *key)
{
  struct pending_request *pending;

  LIST_FOREACH (pending, &ingress->pending_requests, link)
    {
      if (!pending->request || g_strcmp0 (pending->key, key) != 0)
        continue;
      log_info ("ingress", "record found in the journal before the append response: job=%s key=%s",
                pending->id, key);
      answer_json (pending_request_detach (pending), 200, EMPTY_RESPONSE_BODY);
    }
}

/* Appends a record to the journal for a pending request. */
static void
pending_request_append (struct pending_request *pending, const Sp__JobRecord *record)
{
  gsize len;
  const void *value;

  pending->key = job_record_key (record);
  pending->value = job_record_pack (record);
  pending->appended = true;
  job_admission_on_append (pending->ingress->jobd->admission, pending->id);
  value = g_bytes_get_data (pending->value, &len);
  record_sender_append (pending->ingress->jobd->records, pending->key, value, len,
                        pending_request_on_append, pending);
}

/* Rejects a submission or a cancellation because the store does not respond: nothing is stored for
 * this request, but a record of an earlier request for the job may still be. */
static void
answer_unresponsive (struct ingress *ingress, struct http_request *request, const char *id)
{
  bool appended = ingress_has_appended (ingress, id, NULL);

  log_info ("ingress", "job refused: job=%s method=%s reason=store-unresponsive appended=%d", id,
            http_request_method (request), appended);
  if (appended)
    {
      ingress->unknown.value++;
      answer_error (request, 504, "the store does not answer; an earlier request may be stored");
      return;
    }
  ingress->refused.value++;
  answer_unavailable (request, "the store does not answer; nothing was stored");
}

/* Returns whether a string is a well-formed job id. */
static bool
id_is_valid (const char *id)
{
  size_t len = strlen (id);

  if (len != JOB_ID_DIGITS)
    return false;
  for (size_t i = 0; i < len; i++)
    {
      if (!g_ascii_isxdigit (id[i]))
        return false;
    }
  return true;
}

/* Replaces a string of a protobuf message. */
static void
set_string (char **field, const char *value)
{
  free (*field);
  *field = strdup (value);
}

/* Fills in the fields that come from the queue and from the acceptance. */
static void
definition_fill (const struct jobd *jobd, Sp__JobDefinition *definition,
                 const struct job_queue *queue, const char *id)
{
  g_autofree char *name = queue_name (queue);

  set_string (&definition->id, id);
  set_string (&definition->queue, name);
  set_string (&definition->pool, queue->pool);
  definition->priority = queue->priority;
  definition->max_attempts = queue->max_attempts;
  definition->slack_permille = queue->slack_permille;
  definition->target_ms = queue->target_ms;
  definition->advised = queue->advised;
  definition->epoch = jobd->jobs.leader_epoch;
  definition->accepted_ms = jobd->clock.wall_ms;
}

/* Refuses a job that would be done too late, before anything of it is stored. Returns whether it
 * was. */
static bool
refuse_for_load (struct ingress *ingress, struct http_request *request,
                 const Sp__JobDefinition *definition)
{
  int retry_after_s = job_admission_refuse (ingress->jobd->admission, definition);

  if (retry_after_s == 0)
    return false;
  ingress->refused.value++;
  answer_unavailable_for (request, "too much is waiting; the job was not stored and has not run",
                          retry_after_s);
  return true;
}

/* Handles a submitted job: validates it and answers once its record is durable. A job that is
 * already known is answered at once. */
static void
handle_submit (struct ingress *ingress, struct http_request *request, const struct job_queue *queue,
               const char *id)
{
  struct jobd *jobd = ingress->jobd;
  const struct job *known = job_table_find (&jobd->jobs, id);
  Sp__JobRecord record = SP__JOB_RECORD__INIT;
  Sp__JobDefinition *definition;
  const char *error;
  const void *body;
  size_t len;

  if (known && known->definition)
    {
      answer_json (request, 200, EMPTY_RESPONSE_BODY);
      return;
    }
  if (writer_is_stuck (jobd->writer))
    {
      answer_unresponsive (ingress, request, id);
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
  definition_fill (jobd, definition, queue, id);
  if (refuse_for_load (ingress, request, definition))
    {
      sp__job_definition__free_unpacked (definition, NULL);
      return;
    }
  record.body_case = SP__JOB_RECORD__BODY_DEFINITION;
  record.definition = definition;
  pending_request_append (pending_request_create (ingress, request, id), &record);
  sp__job_definition__free_unpacked (definition, NULL);
}

/* Answers with a job's state. A job whose cancellation is durable is reported as cancelled even
 * before its tasks have stopped. */
static void
answer_state (struct ingress *ingress, struct http_request *request, const struct job *job)
{
  Sp__JobState state = job->state;
  g_autofree char *body = NULL;

  if (job->cancelled && !job_state_is_final (state))
    state = SP__JOB_STATE__JOB_CANCELLED;
  body = encode_job_state (state);
  ingress->states.value++;
  answer_json (request, 200, body);
}

/* Appends a cancellation record. */
static void
pending_request_cancel (struct pending_request *pending)
{
  Sp__JobRecord record = SP__JOB_RECORD__INIT;
  Sp__JobCancel cancel = SP__JOB_CANCEL__INIT;

  cancel.id = pending->id;
  record.body_case = SP__JOB_RECORD__BODY_CANCEL;
  record.cancel = &cancel;
  pending->ingress->cancels.value++;
  pending_request_append (pending, &record);
}

/* Handles the end of a journal read for a job that was unknown here; success is false if the
 * journal could not be read. */
static void
pending_request_on_read (void *ctx, bool success)
{
  struct pending_request *pending = ctx;
  struct ingress *ingress = pending->ingress;
  const struct job *job = job_table_find (&ingress->jobd->jobs, pending->id);
  struct http_request *request;

  if (pending->request && job && job->definition &&
      strcmp (http_request_method (pending->request), "DELETE") == 0 &&
      !job_state_is_final (job->state))
    {
      pending_request_cancel (pending);
      return;
    }
  request = pending_request_detach (pending);
  if (request && job && job->definition)
    answer_state (ingress, request, job);
  else if (request && success && ingress_has_appended (ingress, pending->id, NULL))
    {
      log_info ("ingress", "job's fate is unknown: job=%s appended=1", pending->id);
      answer_error (request, 504, "an earlier request for the job may still be stored");
    }
  else if (request && success)
    {
      log_info ("ingress", "no such job in the journal: job=%s", pending->id);
      answer_error (request, 410, "no such job");
    }
  else if (request)
    answer_unavailable (request, "the store does not answer, and the job is not known here");
  pending_request_destroy (pending);
}

/* Answers a state query. If the job is not known here, reads the journal to its end first. */
static void
handle_state (struct ingress *ingress, struct http_request *request, const char *id)
{
  const struct job *job = job_table_find (&ingress->jobd->jobs, id);

  if (job && job->definition)
    answer_state (ingress, request, job);
  else
    topic_reader_read_to_end (ingress->jobd->journal, pending_request_on_read,
                              pending_request_create (ingress, request, id));
}

/* Cancels a job and answers once the cancellation is durable. If the job is not known here, reads
 * the journal to its end first. */
static void
handle_cancel (struct ingress *ingress, struct http_request *request, const char *id)
{
  const struct job *job = job_table_find (&ingress->jobd->jobs, id);

  if (!job || !job->definition)
    topic_reader_read_to_end (ingress->jobd->journal, pending_request_on_read,
                              pending_request_create (ingress, request, id));
  else if (job->cancelled || job_state_is_final (job->state))
    answer_json (request, 200, EMPTY_RESPONSE_BODY);
  else if (writer_is_stuck (ingress->jobd->writer))
    answer_unresponsive (ingress, request, id);
  else
    pending_request_cancel (pending_request_create (ingress, request, id));
}

/* Answers with the number of pending jobs of a queue. */
static void
handle_count (struct ingress *ingress, struct http_request *request, const struct job_queue *queue)
{
  g_autofree char *name = queue_name (queue);
  g_autofree char *body = encode_job_count (job_table_count_pending (&ingress->jobd->jobs, name));

  answer_json (request, 200, body);
}

/* Dispatches a request for a queue by its method and id. */
static void
handle_job (struct ingress *ingress, struct http_request *request, const struct job_queue *queue,
            const char *id)
{
  const char *method = http_request_method (request);

  if (id[0] == '\0' && strcmp (method, "GET") == 0)
    handle_count (ingress, request, queue);
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

/* Handles a caller's request: finds the queue by the Host header and the path. */
static void
ingress_on_request (void *ctx, struct http_request *request)
{
  struct ingress *ingress = ctx;
  struct jobd *jobd = ingress->jobd;
  const char *host = http_request_header (request, "Host");
  const struct job_queue *queue;
  const char *rest;

  http_request_set_data (request, NULL);
  if (!jobd->queues || !topic_reader_is_loaded (jobd->journal))
    {
      answer_unavailable (request, "no configuration yet");
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

/* Handles a caller that disconnected before its response. A record that was appended for it
 * stays. */
static void
ingress_on_gone (void *ctx, struct http_request *request)
{
  struct pending_request *pending = http_request_data (request);

  (void) ctx;
  if (pending)
    pending->request = NULL;
}

/* Answers the requests whose deadline is near with 504: their record may or may not become
 * durable. */
void
ingress_tick (struct ingress *ingress)
{
  struct pending_request *pending;
  int64_t now_ms = jobd_now_ms (ingress->jobd);

  LIST_FOREACH (pending, &ingress->pending_requests, link)
    {
      struct http_request *request;

      if (!pending->request || now_ms < pending->deadline_ms)
        continue;
      request = pending_request_detach (pending);
      ingress->unknown.value++;
      log_warning ("ingress", "outcome not known at the deadline: job=%s appended=%d", pending->id,
                   pending->appended);
      answer_error (request, 504, "the store has not answered in time");
    }
}

/* Opens the callers' port. Returns 0 or a negative error number. */
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
    .caller_disconnected = ingress_on_gone,
    .ctx = ingress,
  };
  int error = settings_parse_endpoint (jobd->settings->frontend, ip, &port);

  ingress->jobd = jobd;
  LIST_INIT (&ingress->pending_requests);
  config.port = port;
  ingress->server = error == 0 ? http_server_create (jobd->loop, &config) : NULL;
  if (!ingress->server)
    {
      log_error ("ingress", "can't open the callers' port: address=%s", jobd->settings->frontend);
      g_free (ingress);
      return error != 0 ? error : -1;
    }
  metric_add_counter (&jobd->metrics, &ingress->accepted, "sesamepick_jobd_records_durable_total",
                      "", "Records of callers that became durable.");
  metric_add_counter (&jobd->metrics, &ingress->refused, "sesamepick_jobd_records_refused_total",
                      "", "Records of callers that were refused and not written.");
  metric_add_counter (&jobd->metrics, &ingress->unknown, "sesamepick_jobd_records_unknown_total",
                      "", "Requests whose outcome was not known at their deadline.");
  metric_add_counter (&jobd->metrics, &ingress->states, "sesamepick_jobd_states_total", "",
                      "States of jobs that were told.");
  metric_add_counter (&jobd->metrics, &ingress->cancels, "sesamepick_jobd_cancels_total", "",
                      "Cancellations that were recorded.");
  metric_histogram_add (&jobd->metrics, &ingress->durable_time,
                        "sesamepick_jobd_record_durable_seconds",
                        "Time until a caller's record was durable.");
  jobd->ingress = ingress;
  return 0;
}

void
ingress_quiesce (struct ingress *ingress)
{
  http_server_quiesce (ingress->server);
}

unsigned
ingress_open_requests (const struct ingress *ingress)
{
  return http_server_open_requests (ingress->server);
}

/* Closes the port and frees the pending requests without answering them. */
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
  while (!LIST_EMPTY (&ingress->pending_requests))
    {
      struct pending_request *pending = LIST_FIRST (&ingress->pending_requests);

      pending->request = NULL;
      pending_request_destroy (pending);
    }
  g_free (ingress);
}
