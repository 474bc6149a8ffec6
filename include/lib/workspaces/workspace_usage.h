#ifndef SESAMEPICK_LIB_WORKSPACES_WORKSPACE_USAGE_H
#define SESAMEPICK_LIB_WORKSPACES_WORKSPACE_USAGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/workspaces/workspace_table.h"

/* What the attempts of each workspace use, and whether a workspace may start another task. */

/* One workspace. There is also an account with an empty name for jobs without a workspace; it has
 * no cap. */
struct workspace_account
{
  char *name;
  /* Position in struct workspace_usage. */
  unsigned index;
  /* Is in the version of the configuration in force. */
  bool configured;
  double weight;
  /* The cap in force or, for a workspace that was removed, its last one. 0 means no limit. */
  struct resources cap;
  /* What runs or may run, and the number of attempts. */
  struct resources used;
  unsigned n_running;
  /* Attempts of these that may not run yet, or are being stopped. */
  unsigned n_unconfirmed;
  /* What attempts of an earlier leader may use that have not been reported yet, and their number.
   */
  struct resources assumed;
  unsigned n_assumed;
  /* When a start was last refused, and since when others were started although one was refused
   * before them; 0 if that isn't so. */
  int64_t refused_ms;
  int64_t passed_over_since_ms;
  /* The last decision allowed a start beyond the cap. */
  bool exceeds_cap;
  /* What the ready tasks, and the tasks at the horizon of pool sizing, request over all pools. */
  struct resources ready_demand;
  struct resources later_demand;
  /* Number of ready tasks, as of the last count. */
  unsigned n_ready;
  uint64_t starts;
  /* Number of passes in which a start was refused. */
  uint64_t refused;
};

struct workspace_usage
{
  /* The version of the configuration in force has workspaces. */
  bool active;
  /* Mean weight of the workspaces of that version. */
  double mean_weight;
  /* struct workspace_account, in the order of their creation. */
  GPtrArray *accounts;
  GHashTable *by_name;
};

struct workspace_usage *workspace_usage_create (void);
void workspace_usage_destroy (struct workspace_usage *usage);
/* Applies a version of the configuration. A workspace that it lacks keeps its cap and weight,
 * unless the version has no workspaces at all: then nothing is limited. */
void workspace_usage_apply (struct workspace_usage *usage, const struct workspace_table *table);
/* Returns the account of a name, which is created if needed. */
struct workspace_account *workspace_usage_account (struct workspace_usage *usage, const char *name);
/* Sets what is assumed of earlier leaders' attempts to nothing, for all accounts. */
void workspace_usage_clear_assumed (struct workspace_usage *usage);
/* Returns an account's weight, which is the mean where the configuration has none for it. */
double workspace_usage_weight (const struct workspace_usage *usage,
                               const struct workspace_account *account);

/* An attempt that runs or may run, and its end. */
void workspace_account_add (struct workspace_account *account, const struct resources *request);
void workspace_account_remove (struct workspace_account *account, const struct resources *request);
/* Adds n attempts of an earlier leader that may run, which request this much together. */
void workspace_account_assume (struct workspace_account *account, const struct resources *request,
                               unsigned n);
/* Returns whether a request fits under the cap, or the workspace has nothing running. */
bool workspace_account_allows (const struct workspace_account *account,
                               const struct resources *request);
/* Decides on a start in a scheduling pass, which happens at one now_ms. request is that of the task
 * or of all members of a gang, one that of a single task. Besides what workspace_account_allows
 * allows, a request before which smaller ones have been started for a second may exceed the cap by
 * one task. No attempt may be unconfirmed then: one that begins later would exceed the cap again.
 */
bool workspace_account_decide (struct workspace_account *account, const struct resources *request,
                               const struct resources *one, int64_t now_ms);
/* Counts n starts. */
void workspace_account_started (struct workspace_account *account, unsigned n, int64_t now_ms);
/* Returns whether any resource has a cap. */
bool workspace_account_has_cap (const struct workspace_account *account);
/* Returns whether a resource with a cap is used up. */
bool workspace_account_is_full (const struct workspace_account *account);
/* Returns the share of a demand of ready tasks, 0 to 1, that fits under the cap beside what counts
 * as used. used says whether running attempts count, besides the demand. */
double workspace_account_demand_share (const struct workspace_account *account,
                                       const struct resources *demand, bool used);

#endif
