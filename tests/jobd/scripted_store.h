#ifndef SESAMEPICK_TESTS_JOBD_SCRIPTED_STORE_H
#define SESAMEPICK_TESTS_JOBD_SCRIPTED_STORE_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A store for appends, served on the test's own event loop. It keeps the protocol's rules for
 * producer, epoch and sequence, and treats each append as a script says. Each topic has its own
 * log, producer and script, so that many writers can run at a time. */

enum store_behaviour
{
  /* Carries the append out and responds. */
  BEHAVIOUR_RESPOND,
  /* Carries the append out and closes or resets the connection without a response. */
  BEHAVIOUR_CLOSE_DONE,
  BEHAVIOUR_RESET_DONE,
  /* Closes the connection; the append is never carried out, or 300 ms later. */
  BEHAVIOUR_CLOSE_NOT_DONE,
  BEHAVIOUR_CLOSE_LATE,
  /* Responds 503; the append is never carried out. */
  BEHAVIOUR_UNAVAILABLE,
  /* Carries the append out and responds 502. */
  BEHAVIOUR_BAD_GATEWAY,
  /* Never responds; the append is carried out at once, or 300 ms later. */
  BEHAVIOUR_SILENT_DONE,
  BEHAVIOUR_SILENT_LATE,
  /* Number of behaviours that keep to the protocol. */
  BEHAVIOUR_COUNT,
  /* Responds 503, as a proxy would that has passed the append on; it is carried out at once, or 300
   * ms later. */
  BEHAVIOUR_UNAVAILABLE_DONE = BEHAVIOUR_COUNT,
  BEHAVIOUR_UNAVAILABLE_LATE,
  /* Carries the append out and responds 409 without a known reason, or 410. */
  BEHAVIOUR_OTHER_CONFLICT,
  BEHAVIOUR_GONE,
  /* Responds 400, or 200 without offset and end; the append is never carried out. */
  BEHAVIOUR_MALFORMED,
  BEHAVIOUR_EMPTY_RESPONSE,
  BEHAVIOUR_NAMES,
};

/* The log of one topic. */
struct scripted_topic
{
  /* Behaviour of the first appends; those after them are answered. */
  const enum store_behaviour *script;
  unsigned script_len;
  unsigned n_appends;
  /* Values of the records, as null-terminated strings. */
  GPtrArray *records;
  /* Appends that are still to be carried out. */
  unsigned n_late;
  uint64_t epoch;
  uint64_t sequence;
  /* Offsets of the last appends, oldest first. */
  int64_t offsets[5];
  unsigned n_offsets;
};

struct scripted_store;

/* Returns NULL if the port is in use. */
struct scripted_store *scripted_store_create (struct ev_loop *loop, uint16_t port);
void scripted_store_destroy (struct scripted_store *store);
/* Adds a topic, whose script must stay valid. The topic belongs to the store. */
struct scripted_topic *scripted_store_add (struct scripted_store *store, const char *name,
                                           const enum store_behaviour *script, unsigned script_len);

#endif
