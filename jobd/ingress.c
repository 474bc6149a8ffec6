#include <string.h>

#include "common/log.h"
#include "common/settings.h"
#include "job_admission.h"
#include "jobd.h"
#include "lib/workspaces/caller_access.h"
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
  /* A record is kept here, by the sender of records, and by the writer or the queue to the leader.
   */
  RECORD_COPIES = 4,
};

/* Why calls are refused because of their key. */
enum key_refusal
{
  REFUSED_UNKNOWN_KEY,
  REFUSED_OTHER_WORKSPACE,
  REFUSED_OLD_CONFIG,
  N_KEY_REFUSALS,
};

/* In the order of enum key_refusal. */
static const char *const key_refusal_names[] = { "unknown_key", "other_workspace",
                                                 "old_configuration" };

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
  /* By enum key_refusal. */
  struct metric key_refusals[N_KEY_REFUSALS];
  struct metric config_version;
  struct metric config_age;
  struct caller_access_limits access_limits;
  struct metric_histogram durable_time;
};

/* A caller's request, as it arrived. */
struct call
{
  struct http_request *request;
  /* Queue by host and path, and the rest of the path. */
  const struct job_queue *queue;
  const char *id;
  int64_t arrived_ms;
  /* The operators' topic was read to its end after the arrival. */
  bool config_read;
  /* Age of the configuration at the arrival, or after that read. */
  int64_t config_age_ms;
  /* Name of the workspace of the request's key; NULL for none. */
  const char *workspace;
};

/* A request that waits for an append to the journal, or a read of it or of the configuration. */
struct pending_request
{
  LIST_ENTRY (pending_request) link;
  struct ingress *ingress;
  /* NULL once the request has been answered or its caller has disconnected. */
  struct http_request *request;
  char *id;
  /* Name of the workspace of the caller's key at the arrival; NULL for none. */
  char *workspace;
  /* Age of the configuration at the arrival. */
  int64_t config_age_ms;
  /* Waits for the configuration; nothing has been done for the request. */
  bool awaits_config;
  /* Why a submitted job can't be run; NULL if it can. */
  char *refusal;
  /* Key and value of the appended record. */
  char *key;
  GBytes *value;
  /* What the record has of the memory for clients. */
  size_t memory;
  int64_t deadline_ms;
  int64_t created_ms;
  bool appended;
};

static void pending_request_on_config (void *ctx, bool success);

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
  memory_budget_force (&pending->ingress->jobd->memory, &pending->memory, 0);
  if (pending->request)
    http_request_set_data (pending->request, NULL);
  g_free (pending->id);
  g_free (pending->workspace);
  g_free (pending->key);
  g_free (pending->refusal);
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

/* Returns how long after its arrival a request is answered at the latest: the caller's deadline,
 * limited to DEADLINE_MAX_MS, less the margin. */
static int64_t
request_wait_ms (const struct http_request *request)
{
  int64_t wait_ms = caller_deadline_ms (request, DEFAULT_DEADLINE_MS);

  return CLAMP (wait_ms, DEADLINE_MARGIN_MS, DEADLINE_MAX_MS) - DEADLINE_MARGIN_MS;
}

/* Creates a pending request. */
static struct pending_request *
pending_request_create (struct ingress *ingress, const struct call *call)
{
  struct pending_request *pending = g_new0 (struct pending_request, 1);

  pending->ingress = ingress;
  pending->request = call->request;
  pending->id = g_strdup (call->id);
  pending->workspace = g_strdup (call->workspace);
  pending->config_age_ms = call->config_age_ms;
  pending->created_ms = call->arrived_ms;
  pending->deadline_ms = call->arrived_ms + request_wait_ms (call->request);
  http_request_set_data (call->request, pending);
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

/* Counts and logs a refusal because of a key. workspace is that of the key, NULL if it has none. */
static void
log_key_refusal (struct ingress *ingress, enum key_refusal reason, const char *method,
                 const char *id, const char *queue, const char *workspace, int64_t age_ms)
{
  ingress->key_refusals[reason].value++;
  log_info ("ingress",
            "call refused: reason=%s method=%s job=%s queue=%s workspace=%s"
            " version=%" G_GINT64_FORMAT " age_ms=%" G_GINT64_FORMAT,
            key_refusal_names[reason], method, id_is_valid (id) ? id : "-", queue,
            workspace ? workspace : "-", ingress->jobd->config.version,
            age_ms == INT64_MAX ? -1 : age_ms);
}

/* Answers 503 for a reason: the request has had no effect. What an earlier request for the job has
 * stored is no refusal's to deny: then the answer is 504. */
static void
answer_not_run (struct ingress *ingress, struct http_request *request, const char *id,
                const char *reason)
{
  const struct job *job = job_table_find (&ingress->jobd->jobs, id);
  const char *method = http_request_method (request);
  bool stored =
      job && job->definition &&
      (strcmp (method, "POST") == 0 || (strcmp (method, "DELETE") == 0 && job->cancelled));
  bool unknown =
      strcmp (method, "GET") != 0 && (stored || ingress_has_appended (ingress, id, NULL));
  g_autofree char *text = g_strdup_printf (
      "%s; %s", reason, unknown ? "an earlier request may be stored" : "the request was not run");

  if (unknown)
    answer_error (request, 504, text);
  else
    answer_unavailable (request, text);
}

/* Appends a record to the journal for a pending request. Refuses and frees the request if there is
 * no memory for the record. */
static void
pending_request_append (struct pending_request *pending, const Sp__JobRecord *record)
{
  struct ingress *ingress = pending->ingress;
  gsize len;
  const void *value;

  pending->key = job_record_key (record);
  pending->value = job_record_pack (record);
  value = g_bytes_get_data (pending->value, &len);
  if (!memory_budget_resize (&ingress->jobd->memory, &pending->memory, len * RECORD_COPIES))
    {
      log_info ("ingress", "request refused, too many records wait: job=%s bytes=%zu", pending->id,
                len);
      ingress->refused.value++;
      answer_not_run (ingress, pending_request_detach (pending), pending->id,
                      "too much waits for the store");
      pending_request_destroy (pending);
      return;
    }
  pending->appended = true;
  job_admission_on_append (ingress->jobd->admission, pending->id);
  record_sender_append (ingress->jobd->records, pending->key, value, len, pending_request_on_append,
                        pending);
}

/* Refuses a request because of its key. */
static void
refuse_key (struct ingress *ingress, struct http_request *request, enum key_refusal reason,
            const char *id)
{
  if (reason == REFUSED_UNKNOWN_KEY)
    answer_error (request, 401, "no valid key");
  else if (reason == REFUSED_OTHER_WORKSPACE)
    answer_error (request, 403, "the job belongs to another workspace");
  else
    answer_not_run (ingress, request, id, "the configuration is too old");
}

/* Returns whether the queue that a job was submitted to needs no key now. */
static bool
job_queue_is_public (const struct queue_table *queues, const struct job *job)
{
  for (guint i = 0; i < queues->queues->len; i++)
    {
      const struct job_queue *queue = g_ptr_array_index (queues->queues, i);
      g_autofree char *name = queue->is_public ? queue_name (queue) : NULL;

      if (name && strcmp (name, job->definition->queue) == 0)
        return true;
    }
  return false;
}

/* Returns why a request may not concern a job, or N_KEY_REFUSALS if it may. A key may be another
 * workspace's by now, so that an old configuration can't tell. */
static enum key_refusal
ingress_check_job (const struct ingress *ingress, const char *workspace, int64_t config_age_ms,
                   const struct job *job)
{
  const struct queue_table *queues = ingress->jobd->queues;
  enum caller_job_access access;

  if (workspace_table_is_empty (queues->workspaces))
    return N_KEY_REFUSALS;
  access = caller_job_access (queues->workspaces, workspace, job->definition->workspace,
                              job_queue_is_public (queues, job));
  if (access == CALLER_JOB_ALLOWED)
    return N_KEY_REFUSALS;
  if (config_age_ms > ingress->access_limits.refusal_age_ms)
    return REFUSED_OLD_CONFIG;
  return access == CALLER_JOB_NEEDS_KEY ? REFUSED_UNKNOWN_KEY : REFUSED_OTHER_WORKSPACE;
}

/* Returns whether the configuration can be read anew before a refusal. */
static bool
ingress_can_read_config (const struct ingress *ingress)
{
  return topic_reader_healthy_since_ms (ingress->jobd->operators) > 0;
}

/* Reads the configuration to its end before a request is refused, and decides about it again then:
 * its key may have been added or moved a moment ago. One read serves all requests of the next
 * second, so that wrong keys cost the store one read a second and host at most. */
static void
pending_request_await_config (struct pending_request *pending)
{
  pending->awaits_config = true;
  topic_reader_read_to_end (pending->ingress->jobd->operators, pending_request_on_config, pending);
}

/* Refuses a call because of its key, unless the configuration is to be read first. */
static void
call_refuse (struct ingress *ingress, const struct call *call, enum key_refusal reason)
{
  g_autofree char *queue = NULL;

  if (reason == REFUSED_OLD_CONFIG && !call->config_read && ingress_can_read_config (ingress))
    {
      pending_request_await_config (pending_request_create (ingress, call));
      return;
    }
  queue = queue_name (call->queue);
  log_key_refusal (ingress, reason, http_request_method (call->request), call->id, queue,
                   call->workspace, call->config_age_ms);
  refuse_key (ingress, call->request, reason, call->id);
}

/* Returns whether a call may concern a job; refuses it if not. */
static bool
call_may_concern_job (struct ingress *ingress, const struct call *call, const struct job *job)
{
  enum key_refusal reason = ingress_check_job (ingress, call->workspace, call->config_age_ms, job);

  if (reason != N_KEY_REFUSALS)
    call_refuse (ingress, call, reason);
  return reason == N_KEY_REFUSALS;
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
definition_fill (const struct jobd *jobd, Sp__JobDefinition *definition, const struct call *call)
{
  const struct job_queue *queue = call->queue;
  g_autofree char *name = queue_name (queue);

  set_string (&definition->id, call->id);
  set_string (&definition->queue, name);
  set_string (&definition->pool, queue->pool);
  set_string (&definition->workspace, call->workspace ? call->workspace : "");
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

/* Returns whether a request may concern the job for which it has waited, by its key at its arrival.
 * If not, refuses and frees it, or lets it wait for the configuration. */
static bool
pending_request_may_concern_job (struct pending_request *pending, const struct job *job)
{
  struct ingress *ingress = pending->ingress;
  enum key_refusal reason =
      ingress_check_job (ingress, pending->workspace, pending->config_age_ms, job);
  struct http_request *request;

  if (reason == N_KEY_REFUSALS)
    return true;
  if (reason == REFUSED_OLD_CONFIG && ingress_can_read_config (ingress))
    {
      pending_request_await_config (pending);
      return false;
    }
  request = pending_request_detach (pending);
  log_key_refusal (ingress, reason, http_request_method (request), pending->id,
                   job->definition->queue, pending->workspace, pending->config_age_ms);
  refuse_key (ingress, request, reason, pending->id);
  pending_request_destroy (pending);
  return false;
}

/* Decodes the body of a submission. Returns NULL if the job can't be run, with the reason, to be
 * freed, in refusal. */
static Sp__JobDefinition *
submission_decode (const struct http_request *request, char **refusal)
{
  size_t len;
  const void *body = http_request_body (request, &len);
  Sp__JobDefinition *definition = decode_job (body, len, refusal);
  const char *error;

  if (!definition || job_definition_is_valid (definition, &error))
    return definition;
  sp__job_definition__free_unpacked (definition, NULL);
  *refusal = g_strdup (error);
  return NULL;
}

/* Refuses a submission that can't be run, after a read of the journal: a job of this id that was
 * accepted before, with another body or by an earlier version, remains accepted. */
static void
pending_request_on_refusal_read (void *ctx, bool success)
{
  struct pending_request *pending = ctx;
  struct ingress *ingress = pending->ingress;
  const struct job *job = job_table_find (&ingress->jobd->jobs, pending->id);
  bool known = job && job->definition;
  struct http_request *request;

  if (pending->request && known && !pending_request_may_concern_job (pending, job))
    return;
  request = pending_request_detach (pending);
  if (request && known)
    answer_json (request, 200, EMPTY_RESPONSE_BODY);
  else if (request && success && !ingress_has_appended (ingress, pending->id, NULL))
    {
      log_info ("ingress", "job refused: job=%s reason=\"%s\"", pending->id, pending->refusal);
      answer_error (request, 400, pending->refusal);
    }
  else if (request)
    {
      log_info ("ingress", "job's fate is unknown: job=%s journal_read=%d refusal=\"%s\"",
                pending->id, success, pending->refusal);
      answer_error (request, 504, "an earlier request for the job may be stored");
    }
  pending_request_destroy (pending);
}

/* Handles a submitted job: validates it and answers once its record is durable. A job that is
 * already known is answered at once. Jobs are accepted before the journal has been read: of two
 * definitions of a job the first one counts. */
static void
handle_submit (struct ingress *ingress, const struct call *call)
{
  struct jobd *jobd = ingress->jobd;
  struct http_request *request = call->request;
  const char *id = call->id;
  const struct job *known = job_table_find (&jobd->jobs, id);
  Sp__JobRecord record = SP__JOB_RECORD__INIT;
  Sp__JobDefinition *definition;
  char *refusal;

  if (known && known->definition)
    {
      if (call_may_concern_job (ingress, call, known))
        answer_json (request, 200, EMPTY_RESPONSE_BODY);
      return;
    }
  if (writer_is_stuck (jobd->writer))
    {
      answer_unresponsive (ingress, request, id);
      return;
    }
  definition = submission_decode (request, &refusal);
  http_request_release_body (request);
  if (!definition)
    {
      struct pending_request *pending = pending_request_create (ingress, call);

      pending->refusal = refusal;
      topic_reader_read_to_end (jobd->journal, pending_request_on_refusal_read, pending);
      return;
    }
  definition_fill (jobd, definition, call);
  if (refuse_for_load (ingress, request, definition))
    {
      sp__job_definition__free_unpacked (definition, NULL);
      return;
    }
  record.body_case = SP__JOB_RECORD__BODY_DEFINITION;
  record.definition = definition;
  pending_request_append (pending_request_create (ingress, call), &record);
  sp__job_definition__free_unpacked (definition, NULL);
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

  if (pending->request && job && job->definition && !pending_request_may_concern_job (pending, job))
    return;
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
handle_state (struct ingress *ingress, const struct call *call)
{
  const struct job *job = job_table_find (&ingress->jobd->jobs, call->id);

  if (job && job->definition)
    {
      if (call_may_concern_job (ingress, call, job))
        answer_state (ingress, call->request, job);
    }
  else
    topic_reader_read_to_end (ingress->jobd->journal, pending_request_on_read,
                              pending_request_create (ingress, call));
}

/* Cancels a job and answers once the cancellation is durable. If the job is not known here, reads
 * the journal to its end first. */
static void
handle_cancel (struct ingress *ingress, const struct call *call)
{
  const struct job *job = job_table_find (&ingress->jobd->jobs, call->id);

  if (!job || !job->definition)
    topic_reader_read_to_end (ingress->jobd->journal, pending_request_on_read,
                              pending_request_create (ingress, call));
  else if (!call_may_concern_job (ingress, call, job))
    return;
  else if (job->cancelled || job_state_is_final (job->state))
    answer_json (call->request, 200, EMPTY_RESPONSE_BODY);
  else if (writer_is_stuck (ingress->jobd->writer))
    answer_unresponsive (ingress, call->request, call->id);
  else
    pending_request_cancel (pending_request_create (ingress, call));
}

/* Answers with the number of pending jobs of a queue. */
static void
handle_count (struct ingress *ingress, const struct call *call)
{
  struct jobd *jobd = ingress->jobd;
  g_autofree char *name = queue_name (call->queue);
  g_autofree char *body = NULL;

  if (!topic_reader_is_loaded (jobd->journal))
    {
      answer_unavailable (call->request, "the journal has not been read yet");
      return;
    }
  body = encode_job_count (job_table_count_pending (&jobd->jobs, name));

  answer_json (call->request, 200, body);
}

/* Dispatches a request for a queue by its method and id. */
static void
handle_job (struct ingress *ingress, const struct call *call)
{
  struct http_request *request = call->request;
  const char *method = http_request_method (request);
  const char *id = call->id;

  if (id[0] == '\0' && strcmp (method, "GET") == 0)
    handle_count (ingress, call);
  else if (!id_is_valid (id))
    answer_error (request, 400, "an id has 16 hexadecimal digits");
  else if (strcmp (method, "POST") == 0)
    handle_submit (ingress, call);
  else if (strcmp (method, "GET") == 0)
    handle_state (ingress, call);
  else if (strcmp (method, "DELETE") == 0)
    handle_cancel (ingress, call);
  else
    answer_error (request, 405, "POST, GET or DELETE");
}

/* Decides about a call by its key, and handles it if it is allowed. */
static void
handle_call (struct ingress *ingress, struct call *call)
{
  struct jobd *jobd = ingress->jobd;
  struct caller_access access =
      caller_access_decide (call->queue->is_public, jobd->queues->workspaces,
                            http_request_header (call->request, "X-Credential"),
                            call->config_age_ms, &ingress->access_limits);

  call->workspace = access.workspace ? access.workspace->name : NULL;
  if (access.result == CALLER_UNKNOWN_KEY)
    call_refuse (ingress, call, REFUSED_UNKNOWN_KEY);
  else if (access.result == CALLER_OLD_CONFIG)
    call_refuse (ingress, call, REFUSED_OLD_CONFIG);
  else
    handle_job (ingress, call);
}

/* Returns whether the configuration is so old that a queue that it lacks may exist by now. */
static bool
ingress_config_is_old (const struct ingress *ingress, int64_t age_ms)
{
  int64_t max_age_ms = ingress->access_limits.max_age_ms;

  return jobd_has_workspaces (ingress->jobd) && max_age_ms > 0 && age_ms >= max_age_ms;
}

/* Handles a caller's request: finds the queue by the Host header and the path. config_read: the
 * operators' topic was read to its end since the request arrived. */
static void
ingress_dispatch (struct ingress *ingress, struct http_request *request, int64_t arrived_ms,
                  bool config_read)
{
  struct jobd *jobd = ingress->jobd;
  const char *host = http_request_header (request, "Host");
  struct call call = {
    .request = request,
    .arrived_ms = arrived_ms,
    .config_read = config_read,
    .config_age_ms = jobd_config_age_ms (jobd, jobd_now_ms (jobd)),
  };

  http_request_set_data (request, NULL);
  if (!jobd->queues)
    {
      answer_unavailable (request, "no configuration yet");
      return;
    }
  if (!host)
    {
      answer_error (request, 400, "no Host");
      return;
    }
  call.queue = queue_table_find (jobd->queues, host, http_request_path (request), &call.id);
  if (!call.queue && ingress_config_is_old (ingress, call.config_age_ms))
    {
      log_key_refusal (ingress, REFUSED_OLD_CONFIG, http_request_method (request), "", "-", NULL,
                       call.config_age_ms);
      answer_unavailable (request, "the configuration is too old; the request was not run");
    }
  else if (!call.queue)
    answer_error (request, 404, "no such queue");
  else
    handle_call (ingress, &call);
}

/* Handles the end of a read of the configuration for a request that was to be refused. Whatever was
 * read, the request is decided now. */
static void
pending_request_on_config (void *ctx, bool success)
{
  struct pending_request *pending = ctx;
  struct ingress *ingress = pending->ingress;
  struct http_request *request = pending_request_detach (pending);
  int64_t arrived_ms = pending->created_ms;

  (void) success;
  pending_request_destroy (pending);
  if (request)
    ingress_dispatch (ingress, request, arrived_ms, true);
}

/* Returns the id of the job that a request names by its path; empty if it names none. */
static const char *
request_job_id (const struct ingress *ingress, const struct http_request *request)
{
  const char *host = http_request_header (request, "Host");
  const char *id = "";

  if (ingress->jobd->queues && host)
    queue_table_find (ingress->jobd->queues, host, http_request_path (request), &id);
  return id ? id : "";
}

/* Refuses a request, none of which has been carried out. */
static void
ingress_refuse (struct ingress *ingress, struct http_request *request, const char *reason)
{
  const char *id = request_job_id (ingress, request);

  log_info ("ingress", "request refused: job=%s method=%s reason=\"%s\"",
            id_is_valid (id) ? id : "-", http_request_method (request), reason);
  ingress->refused.value++;
  answer_not_run (ingress, request, id, reason);
}

/* Handles a request whose turn has come, unless its deadline has passed meanwhile. */
static void
ingress_on_request (void *ctx, struct http_request *request)
{
  struct ingress *ingress = ctx;
  int64_t arrived_ms = http_request_complete_ms (request);

  http_request_set_data (request, NULL);
  if (jobd_now_ms (ingress->jobd) - arrived_ms >= request_wait_ms (request) + DEADLINE_MARGIN_MS)
    ingress_refuse (ingress, request, "too many requests came before it");
  else
    ingress_dispatch (ingress, request, arrived_ms, false);
}

/* Refuses a request whose body does not fit into the memory for clients. */
static void
ingress_on_no_memory (void *ctx, struct http_request *request)
{
  ingress_refuse (ctx, request, "too much is being received");
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

/* Refuses a request that has waited in vain for the configuration. */
static void
ingress_refuse_at_deadline (struct ingress *ingress, struct http_request *request,
                            const struct pending_request *pending)
{
  log_key_refusal (ingress, REFUSED_OLD_CONFIG, http_request_method (request), pending->id, "-",
                   pending->workspace, pending->config_age_ms);
  refuse_key (ingress, request, REFUSED_OLD_CONFIG, pending->id);
}

/* Updates the gauges of the configuration. */
static void
ingress_update_gauges (struct ingress *ingress, int64_t now_ms)
{
  int64_t age_ms = jobd_config_age_ms (ingress->jobd, now_ms);

  ingress->config_version.value = ingress->jobd->config.version;
  ingress->config_age.value = age_ms == INT64_MAX ? -1 : age_ms;
}

/* Answers a request at its deadline. A record that was never sent is withdrawn, and a cancellation
 * may not have been appended yet: such a request has had no effect and never will have. Otherwise
 * its record may or may not become durable. Frees the pending request if nothing refers to it any
 * more. */
static void
pending_request_expire (struct pending_request *pending)
{
  struct ingress *ingress = pending->ingress;
  struct http_request *request = pending_request_detach (pending);
  bool withdrawn;
  bool without_effect;

  if (pending->awaits_config)
    {
      ingress_refuse_at_deadline (ingress, request, pending);
      return;
    }
  withdrawn = pending->appended &&
              record_sender_withdraw (ingress->jobd->records, pending_request_on_append, pending);
  without_effect = (withdrawn || (!pending->appended &&
                                  strcmp (http_request_method (request), "DELETE") == 0)) &&
                   !ingress_has_appended (ingress, pending->id, pending);
  log_warning ("ingress", "%s at the deadline: job=%s appended=%d withdrawn=%d",
               without_effect ? "request not carried out" : "outcome not known", pending->id,
               pending->appended, withdrawn);
  if (without_effect)
    {
      ingress->refused.value++;
      answer_unavailable (request, "the store has not answered in time; nothing was stored");
    }
  else
    {
      ingress->unknown.value++;
      answer_error (request, 504, "the store has not answered in time");
    }
  if (withdrawn)
    pending_request_destroy (pending);
}

/* Answers the requests whose deadline is near. */
void
ingress_tick (struct ingress *ingress)
{
  struct pending_request *pending = LIST_FIRST (&ingress->pending_requests);
  int64_t now_ms = jobd_now_ms (ingress->jobd);

  ingress_update_gauges (ingress, now_ms);
  while (pending)
    {
      struct pending_request *next = LIST_NEXT (pending, link);

      if (pending->request && now_ms >= pending->deadline_ms)
        pending_request_expire (pending);
      pending = next;
    }
}

/* Adds a counter for each reason for which calls are refused because of their key, and gauges of
 * the configuration by which keys are checked. */
static void
ingress_add_key_metrics (struct ingress *ingress)
{
  for (unsigned i = 0; i < N_KEY_REFUSALS; i++)
    {
      g_autofree char *labels = g_strdup_printf ("reason=\"%s\"", key_refusal_names[i]);

      metric_add_counter (&ingress->jobd->metrics, &ingress->key_refusals[i],
                          "sesamepick_jobd_calls_refused_total", labels,
                          "Calls that were refused because of their key.");
    }
  metric_add_gauge (&ingress->jobd->metrics, &ingress->config_version,
                    "sesamepick_jobd_config_version", "", "Version of the configuration in force.");
  metric_add_gauge (
      &ingress->jobd->metrics, &ingress->config_age, "sesamepick_jobd_config_age_milliseconds", "",
      "Time since the configuration was last confirmed to be the newest; -1 if never.");
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
    .connection_limit = http_server_connection_limit (jobd->settings->caller_connection_limit,
                                                      jobd->settings->memory_mb),
    .memory = &jobd->memory,
    .handle = ingress_on_request,
    .caller_disconnected = ingress_on_gone,
    .reject_for_memory = ingress_on_no_memory,
    .ctx = ingress,
  };
  int error = settings_parse_endpoint (jobd->settings->frontend, ip, &port);

  ingress->jobd = jobd;
  ingress->access_limits =
      caller_access_limits (jobd->settings->config_ms, jobd->settings->config_skew_ms);
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
  ingress_add_key_metrics (ingress);
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

const struct http_server *
ingress_server (const struct ingress *ingress)
{
  return ingress->server;
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
  for (unsigned i = 0; i < N_KEY_REFUSALS; i++)
    metric_remove (&ingress->key_refusals[i]);
  metric_remove (&ingress->config_version);
  metric_remove (&ingress->config_age);
  metric_histogram_remove (&ingress->durable_time);
  while (!LIST_EMPTY (&ingress->pending_requests))
    {
      struct pending_request *pending = LIST_FIRST (&ingress->pending_requests);

      pending->request = NULL;
      pending_request_destroy (pending);
    }
  g_free (ingress);
}
