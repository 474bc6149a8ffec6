#ifndef SESAMEPICK_JOBD_COMMAND_SENDER_H
#define SESAMEPICK_JOBD_COMMAND_SENDER_H

#include "jobd.h"
#include "lib/jobs/scheduler.h"
#include "platform/command_client.h"

/* Links to the other hosts while this one leads. Sends the scheduler's commands to endpoints: by
 * itself while the fleet is small, through the relays of other hosts when it is large. Reports each
 * result to the scheduler. Appends the records of callers that other hosts hand over. */
struct command_sender;

/* Records that other hosts hand over are appended by writer. */
struct command_sender *command_sender_create (struct jobd *jobd, uint64_t epoch,
                                              struct command_client *client, struct writer *writer);
void command_sender_destroy (struct command_sender *sender);
void command_sender_set_scheduler (struct command_sender *sender, struct scheduler *scheduler);
/* Adds, changes or (with an empty address) removes another host's relay. */
void command_sender_set_relay (struct command_sender *sender, const char *name,
                               const char *address);
/* Checks the relays and the commands without a result. n_endpoints is the size of the fleet. */
void command_sender_tick (struct command_sender *sender, unsigned n_endpoints);
/* Returns a time since which no other host that the journal names had claimed the leadership when
 * it confirmed this; 0 if one of them has not confirmed it. */
int64_t command_sender_confirmed_ms (const struct command_sender *sender);
/* Sends the leader's forecasts and learned durations to all hosts: arrays as of
 * scheduler_list_outlook. */
void command_sender_send_outlook (struct command_sender *sender, const GArray *entries,
                                  const GArray *lines);
/* Returns the number of relays in use. */
unsigned command_sender_relays (const struct command_sender *sender);

/* lease_end_ms is on the endpoint's clock. */
void command_sender_start_task (struct command_sender *sender, struct endpoint *endpoint,
                                struct task *task, int64_t lease_end_ms);
/* known is the scheduler's task, or NULL for an attempt that it doesn't know. */
void command_sender_stop_task (struct command_sender *sender, struct endpoint *endpoint,
                               const char *task, uint32_t attempt, struct task *known);
/* lease_end_ms 0 renews no lease; wait_ms 0 asks for an immediate response. */
void command_sender_heartbeat (struct command_sender *sender, struct endpoint *endpoint,
                               int64_t lease_end_ms, int64_t wait_ms);
/* percent is the share of the task's full speed. */
void command_sender_pace_task (struct command_sender *sender, struct endpoint *endpoint,
                               struct task *task, int percent);

#endif
