#include "operators.h"

#include <errno.h>
#include <string.h>

#include "common/message_text.h"
#include "lib/planner/planner.h"

/* An operator's change whose record has not been read back yet. */
struct pending_change
{
  struct operators *operators;
  /* NULL once the operator has disconnected. */
  struct http_request *request;
  /* The plan to show in the response, or NULL. */
  char *plan_id;
  int status;
};

void
change_disconnected (struct http_request *request)
{
  struct pending_change *change = http_request_data (request);

  if (change)
    change->request = NULL;
}

/* Replies to an operator whose record was read back, according to its verdict. */
static void
change_reply_verdict (struct pending_change *change, const struct write_result *result)
{
  const struct verdict *verdict = result->verdict;
  const struct plan *plan = NULL;

  if (verdict->kind == VERDICT_REJECTED)
    {
      operators_reply_problem (
          change->request, 409, "Refused",
          json_pack ("{s:I, s:s}", "offset", (json_int_t) result->offset, "record", result->id),
          "%s", verdict->reason);
      return;
    }
  if (change->plan_id)
    plan = fleet_find_plan (change->operators->fleetd->fleet, change->plan_id);
  if (plan)
    operators_reply (change->request, change->status, view_plan (plan));
  else
    operators_reply (change->request, change->status,
                     json_pack ("{s:I, s:s, s:s}", "offset", (json_int_t) result->offset, "verdict",
                                verdict->kind == VERDICT_DUPLICATE ? "duplicate" : "accepted",
                                "record", result->id));
}

/* Replies to an operator, if still connected, with the result of writing the record. */
static void
change_done (void *ctx, const struct write_result *result)
{
  struct pending_change *change = ctx;

  change->operators->n_pending--;
  if (change->request)
    http_request_set_data (change->request, NULL);
  if (change->request && result->outcome == WRITE_READ_BACK)
    change_reply_verdict (change, result);
  else if (change->request && result->outcome == WRITE_NOT_SENT)
    operators_reply_unavailable (change->request);
  else if (change->request)
    operators_reply_problem (change->request, 504, "Unknown",
                             json_pack ("{s:s}", "record", result->id),
                             "unknown; look in audit for record %s", result->id);
  g_free (change->plan_id);
  g_free (change);
}

/* Submits an operator's record; the request is answered when the record was read back. plan_id is
 * the plan to show in the response, or NULL. */
static void
change_submit (struct operators *operators, struct http_request *request, Sp__Record *record,
               const char *plan_id, int status)
{
  struct fleetd *fleetd = operators->fleetd;
  const char *author = http_request_header (request, "Sesamepick-Operator");
  struct pending_change *change = g_new0 (struct pending_change, 1);

  change->operators = operators;
  change->request = request;
  change->plan_id = g_strdup (plan_id);
  change->status = status;
  operators->n_pending++;
  http_request_set_data (request, change);
  if (log_writer_submit (&fleetd->writer, record, author, fleetd->settings->operator_wait_ms,
                         change_done, change) == 0)
    return;
  operators->n_pending--;
  http_request_set_data (request, NULL);
  operators_reply_unavailable (request);
  g_free (change->plan_id);
  g_free (change);
}

/* Parses a request's JSON body as a protobuf message. Replies with 400 and returns NULL if it is
 * invalid. */
static ProtobufCMessage *
change_parse (struct http_request *request, const ProtobufCMessageDescriptor *descriptor)
{
  size_t len;
  const void *body = http_request_body (request, &len);
  struct text_error error = { 0 };
  json_error_t json_error;
  json_t *json = json_loadb (body ? body : "", len, JSON_REJECT_DUPLICATES, &json_error);
  ProtobufCMessage *message;

  if (!json)
    {
      operators_reply_problem (request, 400, "Bad request",
                               json_pack ("{s:s, s:s}", "field", "-", "expected", "JSON"),
                               "line %d: %s", json_error.line, json_error.text);
      return NULL;
    }
  message = message_from_json (descriptor, json, &error);
  json_decref (json);
  if (!message)
    operators_reply_problem (
        request, 400, "Bad request",
        json_pack ("{s:s, s:s}", "field", error.field, "expected", error.expected),
        "%s: expected %s", error.field, error.expected);
  return message;
}

/* Creates a record of a kind; the caller sets the body. */
static Sp__Record *
record_new (Sp__Record__BodyCase kind)
{
  Sp__Record *record = malloc (sizeof *record);

  sp__record__init (record);
  record->body_case = kind;
  return record;
}

/* Handles a set of declarations. */
void
change_declare (struct operators *operators, struct http_request *request)
{
  ProtobufCMessage *message = change_parse (request, &sp__declaration_set__descriptor);
  Sp__Record *record;

  if (!message)
    return;
  record = record_new (SP__RECORD__BODY_DECLARE);
  record->declare = (Sp__DeclarationSet *) message;
  change_submit (operators, request, record, NULL, 200);
}

/* Creates a plan for the intent in a request's body. Replies with an error and returns NULL if
 * there is none. */
static Sp__Plan *
change_create_plan (struct operators *operators, struct http_request *request, const char *id,
                    uint32_t revision)
{
  struct fleetd *fleetd = operators->fleetd;
  ProtobufCMessage *message = change_parse (request, &sp__intent__descriptor);
  struct planner_request planning = {
    .fleet = fleetd->fleet,
    .intent = (const Sp__Intent *) message,
    .plan_id = id,
    .revision = revision,
    .wall_ms = fleetd->clock.wall_ms,
    .move_ms = fleetd->settings->move_ms,
  };
  char reason[200] = "";
  Sp__Plan *plan = NULL;
  int result;

  if (!message)
    return NULL;
  if (planning.intent->kind_case == SP__INTENT__KIND__NOT_SET)
    operators_reply_problem (
        request, 400, "Bad request",
        json_pack ("{s:s, s:s}", "field", "-", "expected", "one of: capacity wave budget"),
        "-: expected one of: capacity wave budget");
  else
    {
      result = planner_create_plan (&planning, &plan, reason);
      if (result < 0)
        {
          plan = NULL;
          operators_reply_problem (request, 409, "No plan", NULL, "%s",
                                   reason[0] ? reason : g_strerror (-result));
        }
    }
  protobuf_c_message_free_unpacked (message, NULL);
  return plan;
}

/* Proposes a plan for an intent. */
void
change_plan_propose (struct operators *operators, struct http_request *request)
{
  struct fleetd *fleetd = operators->fleetd;
  g_autofree char *id = g_strdup_printf ("plan-%08x", g_rand_int (fleetd->random));
  Sp__Plan *plan = change_create_plan (operators, request, id, 1);
  Sp__Record *record;

  if (!plan)
    return;
  record = record_new (SP__RECORD__BODY_PROPOSE);
  record->propose = malloc (sizeof *record->propose);
  sp__plan_propose__init (record->propose);
  record->propose->plan = plan;
  change_submit (operators, request, record, id, 201);
}

/* Returns the plan with this id, or replies with 404 and returns NULL. */
static const struct plan *
change_find_plan (struct operators *operators, struct http_request *request, const char *id)
{
  const struct plan *plan = fleet_find_plan (operators->fleetd->fleet, id);

  if (!plan)
    operators_reply_problem (request, 404, "Not found", NULL, "no plan %s", id);
  return plan;
}

/* Replaces an unconfirmed plan by one for another intent, with the next revision number. */
void
change_plan_amend (struct operators *operators, struct http_request *request, const char *id)
{
  const struct plan *old = change_find_plan (operators, request, id);
  Sp__Plan *plan;
  Sp__Record *record;

  if (!old)
    return;
  plan = change_create_plan (operators, request, id, old->message->revision + 1);
  if (!plan)
    return;
  record = record_new (SP__RECORD__BODY_AMEND);
  record->amend = malloc (sizeof *record->amend);
  sp__plan_amend__init (record->amend);
  record->amend->plan = plan;
  change_submit (operators, request, record, id, 200);
}

/* Confirms a plan in the revision given in the body. */
void
change_plan_confirm (struct operators *operators, struct http_request *request, const char *id)
{
  Sp__PlanConfirm *confirm;
  Sp__Record *record;

  if (!change_find_plan (operators, request, id))
    return;
  confirm = (Sp__PlanConfirm *) change_parse (request, &sp__plan_confirm__descriptor);
  if (!confirm)
    return;
  if (confirm->revision == 0)
    {
      operators_reply_problem (
          request, 400, "Bad request",
          json_pack ("{s:s, s:s}", "field", "revision", "expected", "the revision that was read"),
          "revision: expected the revision that was read");
      sp__plan_confirm__free_unpacked (confirm, NULL);
      return;
    }
  if (confirm->plan_id != protobuf_c_empty_string)
    free (confirm->plan_id);
  confirm->plan_id = strdup (id);
  record = record_new (SP__RECORD__BODY_CONFIRM);
  record->confirm = confirm;
  change_submit (operators, request, record, id, 200);
}

void
change_plan_withdraw (struct operators *operators, struct http_request *request, const char *id)
{
  Sp__Record *record;

  if (!change_find_plan (operators, request, id))
    return;
  record = record_new (SP__RECORD__BODY_WITHDRAW);
  record->withdraw = malloc (sizeof *record->withdraw);
  sp__plan_withdraw__init (record->withdraw);
  record->withdraw->plan_id = strdup (id);
  change_submit (operators, request, record, id, 200);
}

/* Submits or cancels a batch task. */
void
change_task (struct operators *operators, struct http_request *request)
{
  Sp__TaskStep *task = (Sp__TaskStep *) change_parse (request, &sp__task_step__descriptor);
  Sp__Record *record;

  if (!task)
    return;
  if (task->kind != SP__TASK_STEP_KIND__TASK_STEP_KIND_SUBMIT &&
      task->kind != SP__TASK_STEP_KIND__TASK_STEP_KIND_CANCEL)
    {
      operators_reply_problem (
          request, 400, "Bad request",
          json_pack ("{s:s, s:s}", "field", "kind", "expected", "one of: submit cancel"),
          "kind: expected one of: submit cancel");
      sp__task_step__free_unpacked (task, NULL);
      return;
    }
  record = record_new (SP__RECORD__BODY_TASK);
  record->task = task;
  change_submit (operators, request, record, NULL, 200);
}
