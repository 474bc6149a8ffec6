#ifndef SESAMEPICK_LIB_WORKSPACES_WORKSPACE_TABLE_H
#define SESAMEPICK_LIB_WORKSPACES_WORKSPACE_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/resources.h"

/* The workspaces of one version of the configuration, and the keys of their callers. Of a key only
 * a salted digest is kept. */

enum
{
  WORKSPACE_SALT_BYTES = 32,
  /* Longest key, and the largest number of keys of all workspaces together. */
  WORKSPACE_KEY_BYTES_MAX = 256,
  WORKSPACE_KEYS_MAX = 20000,
};

/* Random bytes that a process draws once, so that digests of keys can't be compared with those of
 * another process or with precomputed ones. */
struct workspace_salt
{
  uint8_t bytes[WORKSPACE_SALT_BYTES];
};

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
  /* Digests of the keys as struct key_digest, with the workspace that a key belongs to. */
  GHashTable *keys;
  struct workspace_salt salt;
};

/* What became of a key that was to be added. */
enum workspace_key_status
{
  WORKSPACE_KEY_ADDED,
  /* Empty, or longer than WORKSPACE_KEY_BYTES_MAX. */
  WORKSPACE_KEY_INVALID,
  /* The workspace has it already. */
  WORKSPACE_KEY_REPEATED,
  /* Another workspace has it too: it belongs to none. */
  WORKSPACE_KEY_SHARED,
  /* There are WORKSPACE_KEYS_MAX keys. */
  WORKSPACE_KEY_BEYOND_LIMIT,
};

struct workspace_table *workspace_table_create (void);
void workspace_table_destroy (struct workspace_table *table);
/* Sets the salt of the digests, before any key is added. */
void workspace_table_set_salt (struct workspace_table *table, const struct workspace_salt *salt);
/* Adds a copy of a workspace. Returns it, or NULL if there is one of this name. */
struct workspace *workspace_table_add (struct workspace_table *table,
                                       const struct workspace *workspace);
/* Gives a key to a workspace of the table. */
enum workspace_key_status workspace_table_add_key (struct workspace_table *table,
                                                   const struct workspace *workspace,
                                                   const char *key);
/* Returns a workspace by its name, or NULL. */
const struct workspace *workspace_table_find (const struct workspace_table *table,
                                              const char *name);
/* Adds copies of the workspaces of another version, in place of those of the same names. */
void workspace_table_merge (struct workspace_table *table, const struct workspace_table *newer);
/* Returns the workspace that a key belongs to, or NULL. */
const struct workspace *workspace_table_find_key (const struct workspace_table *table,
                                                  const char *key);
/* Returns whether there are no workspaces, so that nothing about keys, caps and shares applies. */
bool workspace_table_is_empty (const struct workspace_table *table);

#endif
