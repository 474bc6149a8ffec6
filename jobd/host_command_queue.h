#ifndef SESAMEPICK_JOBD_HOST_COMMAND_QUEUE_H
#define SESAMEPICK_JOBD_HOST_COMMAND_QUEUE_H

#include "leader_state.h"

/* Host commands of a leadership that wait until the journal names their hosts; see
 * lib/jobs/host_command_guard. Only used where the platform doesn't check tokens. */
struct host_command_queue;

struct host_command_queue *host_command_queue_create (struct leader *leader);
void host_command_queue_destroy (struct host_command_queue *queue);
/* Queues a move to a pool, or maintenance in a wave if pool is NULL. */
void host_command_queue_add (struct host_command_queue *queue, struct host *host, const char *pool,
                             uint32_t wave);
/* Records the hosts of the queued commands and the end of earlier ones, unless a record is on its
 * way. */
void host_command_queue_flush (struct host_command_queue *queue);

#endif
