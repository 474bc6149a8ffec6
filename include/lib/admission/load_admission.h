#ifndef SESAMEPICK_LIB_ADMISSION_LOAD_ADMISSION_H
#define SESAMEPICK_LIB_ADMISSION_LOAD_ADMISSION_H

#include "lib/admission/admission_outlook.h"
#include "lib/admission/duration_model.h"

/* Decides on a host whether a job is refused because it would not be done in three times its
 * objective, by the last forecasts of the leader. */
struct load_admission;

/* A forecast as it is passed to hosts. */
struct admission_pool_entry
{
  const char *pool;
  struct outlook_entry entry;
};

/* Learned durations as they are passed to hosts. */
struct admission_queue_line
{
  const char *queue;
  struct duration_line line;
};

/* A job that a caller submits. Times in ms. */
struct admission_request
{
  const char *id;
  const char *pool;
  uint32_t priority;
  /* Workspace, "" for none, and the number of jobs a second to which it is entitled; 0 if this is
   * not limited. */
  const char *workspace;
  double weight;
  /* Its objective, its expected critical path, and the standard deviation of the logarithm of a
   * duration. */
  int64_t objective_ms;
  int64_t path_ms;
  double residual;
  /* The request of one task of its first step. */
  int64_t cpu_milli;
  int64_t memory_mb;
};

struct admission_decision
{
  bool refused;
  /* The forecast that the decision was made with, and its age; age_ms is -1 if there was none. */
  int64_t wait_ms;
  int64_t error_ms;
  int64_t age_ms;
  /* Share of the jobs sent here for the pool that exceeds its capacity, in thousandths. */
  unsigned excess_permille;
  /* When the caller should try again, in seconds; 0 if not refused. */
  int retry_after_s;
};

/* window_ms is the time over which arrivals and the jobs of workspaces are counted. */
struct load_admission *load_admission_create (int64_t window_ms);
void load_admission_destroy (struct load_admission *admission);
/* Replaces the forecasts and the durations. */
void load_admission_set (struct load_admission *admission,
                         const struct admission_pool_entry *entries, size_t n_entries,
                         const struct admission_queue_line *lines, size_t n_lines, int64_t now_ms);
/* Returns how a queue's durations are predicted. */
struct duration_line load_admission_line (const struct load_admission *admission,
                                          const char *queue);
/* Counts a job of a workspace that some host has accepted. */
void load_admission_count (struct load_admission *admission, const char *workspace, int64_t now_ms);
/* Decides on a job and counts the decision. */
void load_admission_decide (struct load_admission *admission,
                            const struct admission_request *request, int64_t now_ms,
                            struct admission_decision *decision);

#endif
