#ifndef SESAMEPICK_JOBD_JOBD_H
#define SESAMEPICK_JOBD_JOBD_H

#include <ev.h>

#include "common/clock.h"
#include "common/http_client.h"
#include "common/http_server.h"
#include "common/metrics.h"
#include "lib/jobs/job_book.h"
#include "lib/jobs/queue_table.h"
#include "platform/store.h"
#include "settings.pb-c.h"
#include "tail.h"
#include "writer.h"

struct leader;
struct ingress;
struct admin;

/* The daemon's parts; each knows the others through this. */
struct jobd
{
  const Sp__JobdSettings *settings;
  /* Drawn from the system at each start, whatever the seed: what this life writes under its own
   * name is never taken for a repetition of what an earlier life or another host wrote. */
  uint64_t incarnation;
  struct ev_loop *loop;
  struct clock clock;
  struct http_client *client;
  struct store *store;
  struct job_book book;
  struct queue_table *queues;
  /* The journal, and what operators write. */
  struct tail *journal;
  struct tail *operators;
  /* Appends of this host's own: jobs and cancellations. */
  struct writer *writer;
  struct leader *leader;
  struct ingress *ingress;
  struct admin *admin;
  struct metrics metrics;
  bool stopping;
  /* When the last turn of the loop was. */
  int64_t last_tick_ms;
};

int64_t jobd_now_ms (void *ctx);

/* leader.c */
struct leader *leader_create (struct jobd *jobd);
void leader_destroy (struct leader *leader);
void leader_tick (struct leader *leader);
/* The loop has stood still: what was believed may be out of date. */
void leader_distrust (struct leader *leader);
void leader_seen (struct leader *leader, int64_t offset);
void leader_job_defined (struct leader *leader, struct job *job);
void leader_job_cancelled (struct leader *leader, struct job *job);
void leader_job_forgotten (struct leader *leader, struct job *job);
void leader_config_changed (struct leader *leader);
void leader_take_operator_record (struct leader *leader, const struct store_record *record);
void leader_take_wave_progress (struct leader *leader, const Sp__WaveProgress *progress);
/* Gives the leadership up before a planned stop. */
void leader_resign (struct leader *leader);
bool leader_is_leading (const struct leader *leader);

/* ingress.c */
int ingress_create (struct jobd *jobd);
void ingress_destroy (struct ingress *ingress);
/* A record with this key is in the journal. */
void ingress_record_read (struct ingress *ingress, const char *key);
void ingress_tick (struct ingress *ingress);
void ingress_quiesce (struct ingress *ingress);
unsigned ingress_open_requests (const struct ingress *ingress);

/* admin.c */
int admin_create (struct jobd *jobd);
void admin_destroy (struct admin *admin);
bool jobd_is_ready (const struct jobd *jobd);

#endif
