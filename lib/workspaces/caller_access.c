#include "lib/workspaces/caller_access.h"

#include <string.h>

struct caller_access_limits
caller_access_limits (int64_t config_ms, int64_t config_skew_ms)
{
  int64_t bound_ms = config_ms + config_skew_ms;

  return (struct caller_access_limits){
    .max_age_ms = bound_ms > 0 ? MAX (bound_ms - CALLER_AGE_MARGIN_MS, 1) : 0,
    .refusal_age_ms =
        config_ms > 0 ? MIN (config_ms, CALLER_REFUSAL_AGE_MS) : CALLER_REFUSAL_AGE_MS,
  };
}

/* A key that is given on a public queue is checked like on any other one, so that an old
 * configuration doesn't serve one that was withdrawn. */
struct caller_access
caller_access_decide (bool queue_is_public, const struct workspace_table *table, const char *key,
                      int64_t config_age_ms, const struct caller_access_limits *limits)
{
  bool has_key = key && key[0] != '\0';
  struct caller_access access = { .result = CALLER_ALLOWED };

  if (workspace_table_is_empty (table) || (queue_is_public && !has_key))
    return access;
  if (limits->max_age_ms > 0 && config_age_ms >= limits->max_age_ms)
    {
      access.result = CALLER_OLD_CONFIG;
      return access;
    }
  access.workspace = has_key ? workspace_table_find_key (table, key) : NULL;
  if (!access.workspace)
    access.result = config_age_ms > limits->refusal_age_ms ? CALLER_OLD_CONFIG : CALLER_UNKNOWN_KEY;
  return access;
}

enum caller_job_access
caller_job_access (const struct workspace_table *table, const char *workspace,
                   const char *job_workspace, bool job_queue_is_public)
{
  if (workspace_table_is_empty (table))
    return CALLER_JOB_ALLOWED;
  if (!workspace)
    return job_workspace[0] == '\0' && job_queue_is_public ? CALLER_JOB_ALLOWED
                                                           : CALLER_JOB_NEEDS_KEY;
  return job_workspace[0] == '\0' || strcmp (workspace, job_workspace) == 0 ? CALLER_JOB_ALLOWED
                                                                            : CALLER_JOB_OF_OTHERS;
}
