#ifndef SESAMEPICK_LIB_FLEET_STATE_H
#define SESAMEPICK_LIB_FLEET_STATE_H

#include "lib/fleet/fleet.h"
#include "lib/fleet/task.h"

/* Internals shared by the fleet*.c files. Not for users of the library. */

enum
{
  RECORD_ID_BYTES = 16,
  /* Record ids that are remembered to detect duplicates. */
  FLEET_MAX_RECORD_IDS = 32768,
  FLEET_MAX_AUDIT_ENTRIES = 4096,
  /* Ended plans that are kept for display, and plans that wait for confirmation. */
  FLEET_MAX_ENDED_PLANS = 200,
  FLEET_MAX_PROPOSED_PLANS = 1000,
  /* Steps of all ended plans, and steps of all plans that have not ended. */
  FLEET_MAX_ENDED_STEPS = 65536,
  FLEET_MAX_OPEN_STEPS = 131072,
  /* Hosts removed from the list whose list version is remembered. */
  FLEET_MAX_GONE_HOSTS = 8192,
  /* Usage rows, one for each pool, class and month. */
  FLEET_MAX_USAGE_ROWS = 4096,
  FLEET_MAX_NAME_BYTES = 128,
  /* Low bits of a term: the index of the record in its entry. The rest is the offset. */
  TERM_INDEX_BITS = 16,
};

/* Position, author and time of the record that is being applied. */
struct record_context
{
  uint64_t offset;
  uint32_t index;
  /* The offset up to which the author had read the log. */
  uint64_t seen_offset;
  int64_t time_ms;
  const char *author;
};

struct record_id
{
  STAILQ_ENTRY (record_id) link;
  uint8_t bytes[RECORD_ID_BYTES];
  uint64_t offset;
};

STAILQ_HEAD (record_id_list, record_id);

/* A host removed from the platform's list. An entry with an older list version does not add it
 * again. */
struct gone_host
{
  STAILQ_ENTRY (gone_host) link;
  char *name;
  char *host_class;
  uint64_t list_version;
  /* Usage is reported up to here; late reports are still accepted. */
  int64_t usage_until_ms;
};

STAILQ_HEAD (gone_host_list, gone_host);

TAILQ_HEAD (ended_list, plan);

struct fleet
{
  uint64_t offset;
  /* The entry that is being applied, and the next expected index in it. */
  uint64_t entry_offset;
  uint32_t entry_index;

  struct record_id_list ids;
  uint32_t n_ids;
  GHashTable *ids_by_bytes;
  /* Offset of the newest id that was dropped. A record whose author had not seen this offset is
   * rejected: it can't be told from a duplicate. */
  uint64_t ids_floor;

  GHashTable *classes;
  GHashTable *teams;
  Sp__PriceList *prices;
  struct change prices_changed;

  struct pool_list pools;
  GHashTable *pools_by_name;
  struct host_list hosts;
  GHashTable *hosts_by_name;
  struct service_list services;
  GHashTable *services_by_name;
  struct plan_list plans;
  GHashTable *plans_by_id;
  uint32_t n_proposed;
  uint32_t n_ended;
  size_t n_open_steps;
  size_t n_ended_steps;
  /* Ordered by the offset of their end, then by id. */
  struct ended_list ended;

  struct gone_host_list gone;
  uint32_t n_gone;
  GHashTable *gone_by_name;
  /* gone_floor is the highest list version of the removed hosts that were dropped from the list
   * above; list_version is the highest of all accepted entries. */
  uint64_t gone_floor;
  uint64_t list_version;

  struct claim claim;
  /* Rows of struct usage_month by the key "MONTH/POOL/CLASS". */
  GHashTable *usage;

  struct audit_list audit;
  uint32_t n_audit;

  struct task_table *tasks;
};

/* A host class or a team, with the last change of its fields. */
struct class_entry
{
  Sp__HostClass *message;
  struct change changed;
};

struct team_entry
{
  Sp__Team *message;
  struct change changed;
};

/* fleet_record.c
 * Rejection reasons are stored in the audit trail and thus are part of the state: a changed text
 * makes replicas of different versions differ. */
void verdict_reject (struct verdict *verdict, const char *format, ...) G_GNUC_PRINTF (2, 3);
void verdict_duplicate (struct verdict *verdict, const char *format, ...) G_GNUC_PRINTF (2, 3);
void change_set (struct change *change, const struct record_context *at);
void change_restore (struct change *change, uint64_t offset, const char *author);
/* Returns whether the object was changed after seen_offset, the offset that the author had seen. If
 * so, rejects the record; the reason names the offset and author of the change. */
bool change_conflicts (const struct change *change, uint64_t seen_offset, const char *kind,
                       const char *name, struct verdict *verdict);
bool name_is_valid (const char *name);
bool string_is_valid (const char *string);
uint64_t record_term (const struct record_context *at);
void record_id_add (struct fleet *fleet, const void *id, uint64_t offset);
void audit_add (struct fleet *fleet, const struct record_context *at, const char *what,
                const struct verdict *verdict);

/* fleet_declare.c */
void declare_apply (struct fleet *fleet, const struct record_context *at,
                    const Sp__DeclarationSet *set, struct verdict *verdict);
struct pool *pool_create (struct fleet *fleet, const char *name, const char *host_class);
struct service *service_create (struct fleet *fleet, const char *name, struct pool *pool);
void class_entry_free (void *entry);
void team_entry_free (void *entry);

/* fleet_plan.c */
void plan_propose (struct fleet *fleet, const struct record_context *at,
                   const Sp__PlanPropose *propose, struct verdict *verdict);
void plan_amend (struct fleet *fleet, const struct record_context *at, const Sp__PlanAmend *amend,
                 struct verdict *verdict);
void plan_withdraw (struct fleet *fleet, const struct record_context *at,
                    const Sp__PlanWithdraw *withdraw, struct verdict *verdict);
/* Adds a plan in the state PLAN_PROPOSED. Takes ownership of the message. */
struct plan *plan_create (struct fleet *fleet, Sp__Plan *message);
void plan_destroy (struct plan *plan);
/* Ends the host's current step. The host continues with its next step of the plan, or is released
 * if there is none. If the step did not succeed or the plan is being stopped, the host's later
 * steps end too. Ends the plan when no step is open any more. */
void plan_end_step (struct fleet *fleet, struct host *host, enum step_outcome outcome);
void plan_set_state (struct fleet *fleet, struct plan *plan, enum plan_state state);
bool plan_has_ended (const struct plan *plan);
/* Adds a plan that has ended to the list of ended plans and updates the counts. */
void plan_add_ended (struct fleet *fleet, struct plan *plan);
/* Drops the plans that ended first while there are more than FLEET_MAX_ENDED_PLANS ended plans or
 * FLEET_MAX_ENDED_STEPS steps of ended plans. The last one stays, however large it is. */
void plan_trim_ended (struct fleet *fleet);
Sp__Plan *plan_copy_message (const Sp__Plan *message);

/* fleet_confirm.c */
void plan_confirm (struct fleet *fleet, const struct record_context *at,
                   const Sp__PlanConfirm *confirm, struct verdict *verdict);

/* fleet_host.c */
void host_seen_apply (struct fleet *fleet, const struct record_context *at,
                      const Sp__HostSeen *seen, struct verdict *verdict);
struct host *host_create (struct fleet *fleet, const char *name, struct pool *pool);
void host_destroy (struct host *host);
void host_set (struct host *host, enum host_state state, Sp__HostPresence presence);
void host_move (struct host *host, struct pool *pool);
/* Removes a host from the host list and ends its step with STEP_GONE. */
void host_remove (struct fleet *fleet, const struct record_context *at, struct host *host,
                  uint64_t list_version);
/* Remembers a removed host; drops the oldest one beyond FLEET_MAX_GONE_HOSTS. */
struct gone_host *gone_host_add (struct fleet *fleet, const char *name, const char *host_class,
                                 uint64_t list_version);
void gone_host_free (struct gone_host *gone);

/* fleet_step.c */
void claim_apply (struct fleet *fleet, const struct record_context *at, const Sp__Claim *claim,
                  struct verdict *verdict);
void host_step_apply (struct fleet *fleet, const struct record_context *at,
                      const Sp__HostStep *step, struct verdict *verdict);

/* fleet_usage.c */
void usage_apply (struct fleet *fleet, const struct record_context *at,
                  const Sp__UsageReport *report, struct verdict *verdict);
void invoice_apply (struct fleet *fleet, const struct record_context *at,
                    const Sp__InvoiceLine *line, struct verdict *verdict);
struct usage_month *usage_row_get (struct fleet *fleet, const char *pool, const char *host_class,
                                   const char *month);
/* Returns the usage row of the month that contains wall_ms; NULL if the time is outside the
 * supported years or the table is full. */
struct usage_month *usage_row_at (struct fleet *fleet, const char *pool, const char *host_class,
                                  int64_t wall_ms);
GHashTable *usage_rows_create (void);

#endif
