#ifndef SESAMEPICK_JOBD_LEADER_STATE_H
#define SESAMEPICK_JOBD_LEADER_STATE_H

#include "jobd.h"
#include "lib/jobs/scheduler.h"
#include "platform/endpoints.h"

/* What the files of the leadership share. */

enum
{
  /* A producer's sequence begins anywhere below this. */
  SEQUENCE_MAX = 1 << 30,
  /* Least time between two readings of the registry while nothing is on its way. */
  REGISTRY_GAP_MS = 300,
};

enum leader_phase
{
  LEADER_FOLLOWING,
  /* The claim is under way. */
  LEADER_CLAIMING,
  /* The claim is durable; the journal is being read up to it. */
  LEADER_CATCHING_UP,
  LEADER_LEADING,
};

struct leader
{
  struct jobd *jobd;
  enum leader_phase phase;
  uint64_t epoch;
  int64_t claim_offset;
  int64_t seen_ms;
  /* This host's place in a succession. */
  double place;
  int64_t claim_ms;
  /* Set in a callback; acted on in the next tick. */
  const char *end_reason;
  int64_t distrust_ms;
  struct store *store;
  struct writer *writer;
  /* Of what operators read. */
  struct writer *status_writer;
  struct orders *orders;
  struct scheduler *scheduler;
  struct tail *registry;
  struct store *registry_store;
  int64_t heartbeat_sent_ms;
  int64_t heartbeat_durable_ms;
  bool heartbeat_in_flight;
  unsigned flush_left;
  /* Calls that changed hosts under this epoch. */
  uint64_t n_host_orders;
  int64_t next_list_ms;
  int64_t busy_until_ms;
  int64_t next_forget_ms;
  /* What operators wrote of waves: key to value. */
  GHashTable *waves;
  /* Packed records of what earlier leaders did in waves, by wave. */
  GHashTable *wave_progress;
  struct metric leading;
  struct metric claims;
  struct metric tasks;
  struct metric ready;
  struct metric starts;
  struct metric lapses;
  struct metric moves;
  struct metric silent;
  struct metric_histogram start_time;
};

/* leader.c */
int64_t leader_now_ms (const struct leader *leader);
/* As leader_now_ms, for parts whose context is the leader. */
int64_t leader_clock (void *ctx);
uint64_t leader_draw_sequence (const struct leader *leader);
/* Has the leadership end in the next tick. */
void leader_end (struct leader *leader, const char *reason);

/* scheduling.c */
void leader_begin (struct leader *leader);

#endif
