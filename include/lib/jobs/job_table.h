#ifndef SESAMEPICK_LIB_JOBS_JOB_TABLE_H
#define SESAMEPICK_LIB_JOBS_JOB_TABLE_H

#include <stddef.h>

#include "lib/jobs/job.h"

/* All jobs of the journal. Every entry host maintains this table by reading the journal. */
/* Keys of the records of a job, in the order in which they are deleted. */
enum job_key
{
  JOB_KEY_DEFINITION,
  JOB_KEY_CANCEL,
  JOB_KEY_PROGRESS,
  JOB_KEYS,
};

struct job_table
{
  /* Id to struct job. */
  GHashTable *jobs;
  /* Latest leadership record. */
  uint64_t leader_epoch;
  char *leader_node;
  bool leader_resigned;
  bool earlier_leases_ended;
  /* Called when a job is defined, cancelled, or about to be removed. May be NULL. */
  void (*on_defined) (void *ctx, struct job *job);
  void (*on_cancelled) (void *ctx, struct job *job);
  void (*on_removed) (void *ctx, struct job *job);
  /* Called for each leadership record. May be NULL. */
  void (*on_leadership) (void *ctx, int64_t offset);
  /* Called for each record of a leader's progress in a maintenance wave. May be NULL. */
  void (*on_wave_progress) (void *ctx, const Sp__WaveProgress *progress);
  /* Called for each record of the hosts that a leader commands. May be NULL. */
  void (*on_host_commands) (void *ctx, const Sp__HostCommands *commands);
  /* Called for each record of an entry host. May be NULL. */
  void (*on_host) (void *ctx, const Sp__EntryHost *host);
  void *ctx;
};

void job_table_init (struct job_table *table);
void job_table_finish (struct job_table *table);
struct job *job_table_find (const struct job_table *table, const char *id);
/* Applies one record of the journal. An empty value deletes the key. Returns 0, or -EBADMSG for a
 * record that can't be parsed, which changes nothing. */
int job_table_apply (struct job_table *table, const char *key, const void *value, size_t len,
                     int64_t offset, int64_t now_ms);
/* Returns the number of the queue's jobs that are queued according to the journal and not
 * cancelled. */
unsigned job_table_count_pending (const struct job_table *table, const char *queue);

/* Keys and values of journal records; free keys with g_free. */
char *job_record_key (const Sp__JobRecord *record);
GBytes *job_record_pack (const Sp__JobRecord *record);
Sp__JobProgress *job_progress_create (const struct job *job, Sp__JobState state);
void job_progress_destroy (Sp__JobProgress *progress);
/* Returns the keys of all records of a job, NULL-terminated; free with g_strfreev. */
char **job_record_keys (const char *id);

#endif
