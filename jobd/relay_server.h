#ifndef SESAMEPICK_JOBD_RELAY_SERVER_H
#define SESAMEPICK_JOBD_RELAY_SERVER_H

#include "jobd.h"

/* Sends commands of the leader to endpoints and returns the results, on a host that doesn't lead.
 * It holds nothing besides the calls in progress, so its loss costs no more than their results. */
struct relay_server;

/* Returns NULL, after logging why, if the address is invalid or cannot be bound. */
struct relay_server *relay_server_create (struct jobd *jobd);
void relay_server_destroy (struct relay_server *server);
/* Announces the host in the journal until the announcement is durable. */
void relay_server_tick (struct relay_server *server);
/* Appends this host's record to the journal, also if it is there already. */
void relay_server_append_record (struct relay_server *server, writer_done *done, void *ctx);
/* Handles the journal's record of this host, which another host may have deleted. */
void relay_server_on_own_record (struct relay_server *server, const char *address);
/* Returns the epoch of the leader to which records can be handed now: it takes records, has sent
 * something lately and is not known to have been replaced. 0 if there is none. */
uint64_t relay_server_leader_epoch (const struct relay_server *server);
/* Returns how long appends take by the last word of the leader that was heard last. */
struct append_latency relay_server_append_latency (const struct relay_server *server);
/* Returns when the leader of an epoch last sent something; 0 if it never did. */
int64_t relay_server_heard_ms (const struct relay_server *server, uint64_t epoch);
/* Passes a record to that leader, which appends it to the journal. Returns false if there is
 * none. */
bool relay_server_hand_over (struct relay_server *server, uint64_t number, const char *key,
                             const void *value, size_t len);
/* Tells the leader that this host is about to stop, so that it sends no more commands. */
void relay_server_stop (struct relay_server *server);
/* Node for links to other hosts' relays. */
struct peer_node *relay_server_node (struct relay_server *server);

#endif
