#ifndef SESAMEPICK_LIB_CONFIG_CHECK_CONFIG_CHECK_H
#define SESAMEPICK_LIB_CONFIG_CHECK_CONFIG_CHECK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/resources.h"

/* Checks a configuration before it comes into force. Findings name places and workspaces, never
 * keys. */

enum config_list
{
  CONFIG_DOCUMENT,
  CONFIG_ROUTES,
  CONFIG_POOLS,
  CONFIG_WORKSPACES,
};

/* Members of the document and its entries. The owner knows their names. */
enum config_member
{
  CONFIG_NO_MEMBER,
  CONFIG_VERSION,
  CONFIG_HOST,
  CONFIG_PREFIX,
  CONFIG_POOL,
  CONFIG_PUBLIC,
  CONFIG_PRIORITY,
  CONFIG_MAX_ATTEMPTS,
  CONFIG_SLACK_FACTOR,
  CONFIG_TARGET,
  CONFIG_TIMEOUT,
  CONFIG_NAME,
  CONFIG_STANDBY,
  CONFIG_KEYS,
  CONFIG_WEIGHT,
  CONFIG_CAP,
  CONFIG_CAP_CPU,
  CONFIG_CAP_MEMORY,
  CONFIG_CAP_GPUS,
  CONFIG_MEMBERS,
};

/* An entry of a list of the configuration; line is where it begins, 0 if unknown. */
struct config_place
{
  enum config_list list;
  unsigned index;
  unsigned line;
};

struct config_route
{
  struct config_place place;
  /* NULL if missing or not a string. */
  char *host;
  char *prefix;
  char *pool;
  bool is_public;
  /* -1 if missing. */
  double slack_factor;
  int64_t target_ms;
  int64_t timeout_ms;
  int64_t priority;
  int64_t max_attempts;
};

struct config_pool
{
  struct config_place place;
  char *name;
  bool standby;
};

struct config_workspace
{
  struct config_place place;
  char *name;
  double weight;
  struct resources cap;
  /* Digests of the keys, so that no key can get into a finding; "" for an entry that isn't a usable
   * key. */
  GPtrArray *keys;
};

enum config_finding_kind
{
  /* The entry, or the whole document, is not as the platform defines it. */
  CONFIG_ERROR,
  /* The entry can never have an effect. */
  CONFIG_UNUSED,
  /* Limits contradict each other. */
  CONFIG_CONTRADICTION,
  /* Differs from the configuration in force. */
  CONFIG_ADDED,
  CONFIG_REMOVED,
  CONFIG_CHANGED,
};

struct config_finding
{
  enum config_finding_kind kind;
  struct config_place place;
  enum config_member member;
  /* Index within the member, such as of a key; -1 for none. */
  int item;
  char *text;
};

/* A configuration, and what was found wrong with its form. */
struct config_document
{
  int64_t version;
  /* struct config_route, config_pool and config_workspace. */
  GPtrArray *routes;
  GPtrArray *pools;
  GPtrArray *workspaces;
  bool has_workspaces;
  /* struct config_finding. */
  GPtrArray *findings;
};

struct config_document *config_document_create (void);
void config_document_destroy (struct config_document *document);
struct config_route *config_document_add_route (struct config_document *document);
struct config_pool *config_document_add_pool (struct config_document *document);
struct config_workspace *config_document_add_workspace (struct config_document *document);

/* Creates an array of struct config_finding. */
GPtrArray *config_findings_create (void);
/* Adds a finding. Returns it, with no item. */
struct config_finding *config_findings_add (GPtrArray *findings, enum config_finding_kind kind,
                                            const struct config_place *place,
                                            enum config_member member, const char *format, ...)
    G_GNUC_PRINTF (5, 6);
const char *config_finding_kind_name (enum config_finding_kind kind);

/* Adds what is wrong with a configuration to findings, without the findings of its form. */
void config_check (const struct config_document *document, GPtrArray *findings);
/* Adds what differs from the configuration in force, with the effect on callers. */
void config_compare (const struct config_document *document, const struct config_document *in_force,
                     GPtrArray *findings);

#endif
