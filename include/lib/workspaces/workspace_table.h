#ifndef SESAMEPICK_LIB_WORKSPACES_WORKSPACE_TABLE_H
#define SESAMEPICK_LIB_WORKSPACES_WORKSPACE_TABLE_H

#include <glib.h>
#include <stdbool.h>

#include "lib/resources.h"

/* The workspaces of one version of the configuration. */

struct workspace
{
  char *name;
  /* Share of a full pool, relative to the weights of the other workspaces, and the number of jobs a
   * second to which the workspace is entitled. */
  double weight;
  /* Limit on what the workspace's tasks may use at once, over all endpoints. A resource of 0 has no
   * limit. */
  struct resources cap;
};

struct workspace_table
{
  /* struct workspace, in the order of the configuration. */
  GPtrArray *workspaces;
  GHashTable *by_name;
};

struct workspace_table *workspace_table_create (void);
void workspace_table_destroy (struct workspace_table *table);
/* Adds a copy of a workspace. Returns it, or NULL if there is one of this name. */
struct workspace *workspace_table_add (struct workspace_table *table,
                                       const struct workspace *workspace);
/* Returns a workspace by its name, or NULL. */
const struct workspace *workspace_table_find (const struct workspace_table *table,
                                              const char *name);
/* Adds copies of the workspaces of another version, in place of those of the same names. */
void workspace_table_merge (struct workspace_table *table, const struct workspace_table *newer);
/* Returns whether there are no workspaces, so that nothing about keys, caps and shares applies. */
bool workspace_table_is_empty (const struct workspace_table *table);

#endif
