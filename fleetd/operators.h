#ifndef SESAMEPICK_FLEETD_OPERATORS_H
#define SESAMEPICK_FLEETD_OPERATORS_H

#include <jansson.h>

#include "fleetd.h"

/* Responses. operators_reply and operators_reply_problem take ownership of the JSON. */
void operators_reply (struct http_request *request, int status, json_t *json);
void operators_reply_problem (struct http_request *request, int status, const char *title,
                              json_t *extra, const char *format, ...) G_GNUC_PRINTF (5, 6);
void operators_reply_unavailable (struct http_request *request);

/* Handlers of requests that change the state. */
void change_declare (struct operators *operators, struct http_request *request);
void change_plan_propose (struct operators *operators, struct http_request *request);
void change_plan_amend (struct operators *operators, struct http_request *request, const char *id);
void change_plan_confirm (struct operators *operators, struct http_request *request,
                          const char *id);
void change_plan_withdraw (struct operators *operators, struct http_request *request,
                           const char *id);
void change_task (struct operators *operators, struct http_request *request);
/* Stops a pending change from answering a request whose connection is gone. */
void change_disconnected (struct http_request *request);

/* JSON views of the state. */
json_t *view_status (const struct fleetd *fleetd);
json_t *view_plan (const struct plan *plan);
json_t *view_plans (const struct fleetd *fleetd);
/* Returns NULL if month is not a valid month. */
json_t *view_bill (const struct fleetd *fleetd, const char *month);
/* Returns NULL for a record that this process has not read from the log. */
json_t *view_record (const struct fleetd *fleetd, const char *id);
json_t *view_tasks (const struct fleetd *fleetd);
json_t *view_audit (const struct fleetd *fleetd, size_t limit);

#endif
