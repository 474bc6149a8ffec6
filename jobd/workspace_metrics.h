#ifndef SESAMEPICK_JOBD_WORKSPACE_METRICS_H
#define SESAMEPICK_JOBD_WORKSPACE_METRICS_H

#include "common/metrics.h"
#include "lib/workspaces/workspace_usage.h"

/* The leader's metrics by workspace: those with the largest weights each, and the others together,
 * so that the number of label values is bounded. */
struct workspace_metrics;

struct workspace_metrics *workspace_metrics_create (struct metrics *metrics);
void workspace_metrics_destroy (struct workspace_metrics *by_workspace);
/* Chooses the workspaces that are shown each, when the configuration has changed. */
void workspace_metrics_choose (struct workspace_metrics *by_workspace,
                               const struct workspace_table *table);
/* Shows what the scheduler counts. accounts holds struct workspace_account; NULL for none. */
void workspace_metrics_update (struct workspace_metrics *by_workspace, const GPtrArray *accounts);

#endif
