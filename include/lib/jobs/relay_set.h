#ifndef SESAMEPICK_LIB_JOBS_RELAY_SET_H
#define SESAMEPICK_LIB_JOBS_RELAY_SET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

/* Relays: entry hosts that send a leader's commands to endpoints, so that the cost of the calls is
 * spread over all hosts. A relay holds no state besides the calls in progress. Each endpoint has
 * one relay, chosen by rendezvous hashing among those that respond, so that only the endpoints of a
 * relay that fails get another one. All times are monotonic ms of the leader's clock. */

enum
{
  /* A relay that has not acknowledged a batch for this long is not used. Longer than a tenth of a
   * second, for which a host that has used up its share of the processor stands still. */
  RELAY_ACK_TIMEOUT_MS = 300,
  /* A relay that failed is used again after it has responded for this long. */
  RELAY_RETURN_MS = 2000,
};

struct relay
{
  TAILQ_ENTRY (relay) link;
  char *name;
  char *address;
  /* Sequence of the last batch that was sent, and of the last that was acknowledged. */
  uint64_t sent_sequence;
  uint64_t acked_sequence;
  /* When the oldest batch without an acknowledgement was sent; 0 if there is none. */
  int64_t unacked_since_ms;
  /* A batch whose acknowledgement shows whether the host confirms the leader's epoch, and when it
   * was sent; 0 if none is on its way. */
  uint64_t probe_sequence;
  int64_t probe_sent_ms;
  /* When the last batch was sent with whose acknowledgement the host confirmed that it knew of no
   * later leader; 0 if there is none. */
  int64_t confirmed_ms;
  /* From when on it may be used; 0 while it does not respond. */
  int64_t usable_ms;
  /* It is used: the set's generation rises when this changes. */
  bool used;
  /* Its host is about to stop. */
  bool stopping;
  /* It has failed before, so it must respond for RELAY_RETURN_MS first. */
  bool has_failed;
  uint64_t hash;
  void *data;
};

TAILQ_HEAD (relay_list, relay);

struct relay_set
{
  struct relay_list relays;
  /* Name to struct relay. */
  GHashTable *by_name;
  /* Rises whenever the relays that are used change. */
  unsigned generation;
  unsigned n_used;
};

/* The relay of one endpoint. */
struct relay_route
{
  struct relay *relay;
  /* Generation of the set for which relay was chosen; 0 if none was. */
  unsigned generation;
  /* Number of calls that failed on the way from a relay to the endpoint. Each changes the choice,
   * as another relay may reach the endpoint. */
  unsigned detours;
};

void relay_set_init (struct relay_set *set);
void relay_set_finish (struct relay_set *set);
/* Adds a relay, or returns the present one of this name if it has the same address. */
struct relay *relay_set_add (struct relay_set *set, const char *name, const char *address);
struct relay *relay_set_find (const struct relay_set *set, const char *name);
/* Routes that refer to the relay must be chosen anew, which they are as the generation rises. */
void relay_set_remove (struct relay_set *set, struct relay *relay);

/* Returns the sequence of a batch that is to be sent now. */
uint64_t relay_batch_sent (struct relay *relay, int64_t now_ms);
void relay_batch_acked (struct relay_set *set, struct relay *relay, uint64_t sequence,
                        int64_t now_ms);
/* Handles whether a host confirms that it knows of no later leader, as said with the
 * acknowledgement of a batch. */
void relay_batch_confirmed (struct relay *relay, uint64_t sequence, bool confirms_epoch);
/* Returns the time since which no host of the set had claimed the leadership when it confirmed
 * this: the earliest of their confirmed_ms. 0 if one of them has not, now_ms if the set is empty.
 */
int64_t relay_set_confirmed_ms (const struct relay_set *set, int64_t now_ms);
/* Handles what a relay says of its host. A relay that is about to stop gets no more commands; those
 * in progress are not affected. */
void relay_set_stopping (struct relay_set *set, struct relay *relay, bool stopping);
/* Updates which relays are used. Returns a relay that has just failed, or NULL; call it until then.
 */
struct relay *relay_set_tick (struct relay_set *set, int64_t now_ms);
/* Returns the relay for an endpoint, or NULL if no relay is used. */
struct relay *relay_set_choose (const struct relay_set *set, struct relay_route *route,
                                const char *endpoint);
/* Handles a call that did not reach the endpoint. */
void relay_route_failed (struct relay_route *route);

#endif
