#ifndef SESAMEPICK_LIB_WORKSPACES_CALLER_ACCESS_H
#define SESAMEPICK_LIB_WORKSPACES_CALLER_ACCESS_H

#include <stdbool.h>
#include <stdint.h>

#include "lib/workspaces/workspace_table.h"

/* Decides whether a caller's request may be served, by its key and by how long ago the
 * configuration was last confirmed to be the newest. */

enum
{
  /* A request is refused because of its key only if the configuration was confirmed within this
   * time: the key may have been added by a version that hasn't arrived yet. */
  CALLER_REFUSAL_AGE_MS = 1000,
  /* A configuration counts as too old this long before the platform's bound, for clocks that differ
   * and for the time that a request needs. */
  CALLER_AGE_MARGIN_MS = 500,
};

enum caller_access_result
{
  CALLER_ALLOWED,
  /* The key is missing, unknown or belongs to several workspaces. */
  CALLER_UNKNOWN_KEY,
  /* The configuration may have been replaced by one that decides differently. */
  CALLER_OLD_CONFIG,
};

struct caller_access
{
  enum caller_access_result result;
  /* Workspace of the key; NULL if there is none. Belongs to the table. */
  const struct workspace *workspace;
};

struct caller_access_limits
{
  /* Age from which on the configuration serves no request that has or needs a key; 0 for none. */
  int64_t max_age_ms;
  /* Age above which no request is refused because of its key. */
  int64_t refusal_age_ms;
};

/* Returns the limits for the settings config_ms and config_skew_ms. */
struct caller_access_limits caller_access_limits (int64_t config_ms, int64_t config_skew_ms);
/* Decides about a request on a queue. key may be NULL or empty. config_age_ms is how long before
 * the request's arrival the configuration was last confirmed to be the newest. */
struct caller_access caller_access_decide (bool queue_is_public,
                                           const struct workspace_table *table, const char *key,
                                           int64_t config_age_ms,
                                           const struct caller_access_limits *limits);

enum caller_job_access
{
  CALLER_JOB_ALLOWED,
  /* The job needs a key, and the request has none. */
  CALLER_JOB_NEEDS_KEY,
  /* The job belongs to another workspace. */
  CALLER_JOB_OF_OTHERS,
};

/* Decides whether a request that is allowed on its queue may concern a job. workspace: name of the
 * workspace of its key, NULL for none; job_workspace: that of the job, empty for none;
 * job_queue_is_public: whether the job's queue needs no key now. */
enum caller_job_access caller_job_access (const struct workspace_table *table,
                                          const char *workspace, const char *job_workspace,
                                          bool job_queue_is_public);

#endif
