#include "state.h"

#include <string.h>

#include "task_table.h"

/* Creation and destruction of the fleet state, lookups, and fleet_apply, which dispatches each
 * record. */

/* Creates the empty state at offset 0. */
struct fleet *
fleet_create (void)
{
  struct fleet *fleet = g_new0 (struct fleet, 1);

  STAILQ_INIT (&fleet->ids);
  TAILQ_INIT (&fleet->ended);
  STAILQ_INIT (&fleet->gone);
  STAILQ_INIT (&fleet->audit);
  fleet->classes = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, class_entry_free);
  fleet->teams = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, team_entry_free);
  fleet->pools_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  fleet->hosts_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  fleet->services_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  fleet->plans_by_id = g_hash_table_new (g_str_hash, g_str_equal);
  fleet->gone_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  fleet->usage = usage_rows_create ();
  fleet->prices = g_new0 (Sp__PriceList, 1);
  sp__price_list__init (fleet->prices);
  fleet->claim.holder = g_strdup ("");
  fleet->tasks = task_table_create ();
  return fleet;
}

static void
fleet_free_objects (struct fleet *fleet)
{
  struct host *host;
  struct service *service;
  struct pool *pool;

  while ((host = LIST_FIRST (&fleet->hosts)))
    host_destroy (host);
  while ((service = LIST_FIRST (&fleet->services)))
    {
      LIST_REMOVE (service, link);
      g_free (service->changed.author);
      g_free (service->name);
      g_free (service);
    }
  while ((pool = LIST_FIRST (&fleet->pools)))
    {
      LIST_REMOVE (pool, link);
      g_free (pool->changed.author);
      g_free (pool->declaration.author);
      g_free (pool->name);
      g_free (pool->host_class);
      g_free (pool->spare_pool);
      g_free (pool);
    }
}

/* Frees the audit trail, the record ids and the removed hosts. */
static void
fleet_free_history (struct fleet *fleet)
{
  struct audit_entry *entry;
  struct record_id *id;
  struct gone_host *gone;

  while ((entry = STAILQ_FIRST (&fleet->audit)))
    {
      STAILQ_REMOVE_HEAD (&fleet->audit, link);
      g_free (entry->author);
      g_free (entry->what);
      g_free (entry);
    }
  while ((id = STAILQ_FIRST (&fleet->ids)))
    {
      STAILQ_REMOVE_HEAD (&fleet->ids, link);
      g_free (id);
    }
  while ((gone = STAILQ_FIRST (&fleet->gone)))
    {
      STAILQ_REMOVE_HEAD (&fleet->gone, link);
      gone_host_free (gone);
    }
}

void
fleet_destroy (struct fleet *fleet)
{
  struct plan *plan;

  if (!fleet)
    return;
  task_table_destroy (fleet->tasks);
  fleet_free_objects (fleet);
  while ((plan = LIST_FIRST (&fleet->plans)))
    plan_destroy (plan);
  fleet_free_history (fleet);
  g_hash_table_destroy (fleet->classes);
  g_hash_table_destroy (fleet->teams);
  g_hash_table_destroy (fleet->pools_by_name);
  g_hash_table_destroy (fleet->hosts_by_name);
  g_hash_table_destroy (fleet->services_by_name);
  g_hash_table_destroy (fleet->plans_by_id);
  g_hash_table_destroy (fleet->gone_by_name);
  g_hash_table_destroy (fleet->usage);
  if (fleet->ids_by_bytes)
    g_hash_table_destroy (fleet->ids_by_bytes);
  sp__price_list__free_unpacked (fleet->prices, NULL);
  g_free (fleet->prices_changed.author);
  g_free (fleet->claim.holder);
  g_free (fleet);
}

/* Calls the handler for the type of the record's body. */
static void
record_apply (struct fleet *fleet, const struct record_context *at, const Sp__Record *record,
              struct verdict *verdict)
{
  switch (record->body_case)
    {
    case SP__RECORD__BODY_DECLARE:
      declare_apply (fleet, at, record->declare, verdict);
      break;
    case SP__RECORD__BODY_PROPOSE:
      plan_propose (fleet, at, record->propose, verdict);
      break;
    case SP__RECORD__BODY_AMEND:
      plan_amend (fleet, at, record->amend, verdict);
      break;
    case SP__RECORD__BODY_CONFIRM:
      plan_confirm (fleet, at, record->confirm, verdict);
      break;
    case SP__RECORD__BODY_WITHDRAW:
      plan_withdraw (fleet, at, record->withdraw, verdict);
      break;
    case SP__RECORD__BODY_CLAIM:
      claim_apply (fleet, at, record->claim, verdict);
      break;
    case SP__RECORD__BODY_HOST_STEP:
      host_step_apply (fleet, at, record->host_step, verdict);
      break;
    case SP__RECORD__BODY_HOST_SEEN:
      host_seen_apply (fleet, at, record->host_seen, verdict);
      break;
    case SP__RECORD__BODY_TASK:
      task_apply (fleet, at, record->task, verdict);
      break;
    case SP__RECORD__BODY_USAGE:
      usage_apply (fleet, at, record->usage, verdict);
      break;
    case SP__RECORD__BODY_INVOICE:
      invoice_apply (fleet, at, record->invoice, verdict);
      break;
    case SP__RECORD__BODY_SNAPSHOT:
      break;
    default:
      verdict_reject (verdict, "the record has no body that is known");
    }
}

/* Returns whether duplicates of this type of record are detected by record id. Snapshots change
 * nothing, claims name the term or the seen offset, and usage reports carry the period that they
 * cover, so a second copy of them does no harm. */
static bool
is_deduplicated_by_id (const Sp__Record *record)
{
  return record->body_case != SP__RECORD__BODY_SNAPSHOT &&
         record->body_case != SP__RECORD__BODY_CLAIM && record->body_case != SP__RECORD__BODY_USAGE;
}

/* Validates the record's id, gives a duplicate the verdict VERDICT_DUPLICATE, and remembers the id.
 * Returns false if the record must not be applied. */
static bool
check_id (struct fleet *fleet, const struct record_context *at, const Sp__Record *record,
          struct verdict *verdict)
{
  if (record->id.len != RECORD_ID_BYTES)
    {
      verdict_reject (verdict, "the record's id has %zu bytes in place of %d", record->id.len,
                      RECORD_ID_BYTES);
      return false;
    }
  if (!is_deduplicated_by_id (record))
    return true;
  if (fleet_has_record (fleet, record->id.data, record->id.len))
    {
      verdict_duplicate (verdict, "a record with this id was applied before");
      return false;
    }
  if (at->seen_offset < fleet->ids_floor)
    {
      verdict_reject (verdict,
                      "its author had seen offset %" G_GUINT64_FORMAT
                      ", too long ago to tell it from a duplicate",
                      at->seen_offset);
      return false;
    }
  record_id_add (fleet, record->id.data, at->offset);
  return true;
}

/* Returns a short description of the record for the audit trail, or NULL for records that are not
 * audited. */
static char *
record_describe (const Sp__Record *record)
{
  static const char *const steps[] = { "leaving",  "drained", "left",      "belongs",
                                       "rebooted", "serving", "abandoned", "returning" };
  static const char *const presences[] = { "live", "leaving", "gone" };

  switch (record->body_case)
    {
    case SP__RECORD__BODY_DECLARE:
      return g_strdup_printf ("declare %zu objects", record->declare->n_declarations);
    case SP__RECORD__BODY_PROPOSE:
      return g_strdup_printf ("propose plan %.100s",
                              record->propose->plan ? record->propose->plan->id : "");
    case SP__RECORD__BODY_AMEND:
      return g_strdup_printf ("amend plan %.100s",
                              record->amend->plan ? record->amend->plan->id : "");
    case SP__RECORD__BODY_CONFIRM:
      return g_strdup_printf ("confirm plan %.100s revision %u", record->confirm->plan_id,
                              record->confirm->revision);
    case SP__RECORD__BODY_WITHDRAW:
      return g_strdup_printf ("withdraw plan %.100s", record->withdraw->plan_id);
    case SP__RECORD__BODY_CLAIM:
      return record->claim->renew_term
                 ? NULL
                 : g_strdup_printf ("%s by %.100s", record->claim->release ? "release" : "claim",
                                    record->claim->holder);
    case SP__RECORD__BODY_HOST_STEP:
      return g_strdup_printf ("host %.100s %s under plan %.100s", record->host_step->host,
                              steps[MIN (record->host_step->kind, G_N_ELEMENTS (steps) - 1)],
                              record->host_step->plan_id);
    case SP__RECORD__BODY_HOST_SEEN:
      return g_strdup_printf (
          "host %.100s is seen %s", record->host_seen->host,
          presences[MIN (record->host_seen->presence, G_N_ELEMENTS (presences) - 1)]);
    case SP__RECORD__BODY_INVOICE:
      return g_strdup_printf ("invoice of %.20s for pool %.60s", record->invoice->month,
                              record->invoice->pool);
    default:
      return NULL;
    }
}

/* Applies one record of the entry at offset. A record that was applied before has no effect. */
void
fleet_apply (struct fleet *fleet, uint64_t offset, uint32_t index, const Sp__Record *record,
             struct verdict *verdict)
{
  struct record_context at = { offset, index, record->seen_offset, (int64_t) record->time_ms,
                               record->author };
  char *what;

  verdict->kind = VERDICT_ACCEPTED;
  verdict->reason[0] = '\0';
  if (offset <= fleet->offset || (offset == fleet->entry_offset && index < fleet->entry_index))
    {
      verdict_duplicate (verdict, "the entry was applied before");
      return;
    }
  g_assert (offset >= fleet->entry_offset);
  fleet->entry_offset = offset;
  fleet->entry_index = index + 1;
  if (!string_is_valid (record->author))
    {
      verdict_reject (verdict, "the author's name is not UTF-8 of at most %d bytes",
                      FLEET_MAX_NAME_BYTES);
      return;
    }
  /* No author can have seen this entry. A larger value must not hide a conflict. */
  if (at.seen_offset >= offset)
    at.seen_offset = offset - 1;
  if (check_id (fleet, &at, record, verdict))
    record_apply (fleet, &at, record, verdict);
  plan_trim_ended (fleet);
  if (verdict->kind == VERDICT_DUPLICATE)
    return;
  what = record_describe (record);
  if (what)
    audit_add (fleet, &at, what, verdict);
  g_free (what);
}

/* Marks the entry at offset as completely applied: fleet_offset then returns offset. */
void
fleet_entry_end (struct fleet *fleet, uint64_t offset)
{
  if (offset <= fleet->offset)
    return;
  fleet->offset = offset;
  fleet->entry_offset = offset;
  fleet->entry_index = 0;
}

/* Returns the offset of the last entry that was applied completely. */
uint64_t
fleet_offset (const struct fleet *fleet)
{
  return fleet->offset;
}

/* Returns all pools, in no particular order. */
const struct pool_list *
fleet_pools (const struct fleet *fleet)
{
  return &fleet->pools;
}

/* Returns all hosts on the platform's list, in no particular order. */
const struct host_list *
fleet_hosts (const struct fleet *fleet)
{
  return &fleet->hosts;
}

/* Returns the number of hosts on the platform's list. */
size_t
fleet_n_hosts (const struct fleet *fleet)
{
  return g_hash_table_size (fleet->hosts_by_name);
}

/* Returns all services, in no particular order. */
const struct service_list *
fleet_services (const struct fleet *fleet)
{
  return &fleet->services;
}

/* Returns all plans, in no particular order, except ended ones that were dropped. */
const struct plan_list *
fleet_plans (const struct fleet *fleet)
{
  return &fleet->plans;
}

/* Returns the audit trail, oldest entry first. */
const struct audit_list *
fleet_audit (const struct fleet *fleet)
{
  return &fleet->audit;
}

/* Returns the executor's claim. */
const struct claim *
fleet_claim (const struct fleet *fleet)
{
  return &fleet->claim;
}

/* Returns NULL if the platform's list has no such host. */
struct host *
fleet_find_host (const struct fleet *fleet, const char *name)
{
  return g_hash_table_lookup (fleet->hosts_by_name, name);
}

/* Returns NULL if there is no such pool. */
struct pool *
fleet_find_pool (const struct fleet *fleet, const char *name)
{
  return g_hash_table_lookup (fleet->pools_by_name, name);
}

/* Returns NULL if there is no such service. */
struct service *
fleet_find_service (const struct fleet *fleet, const char *name)
{
  return g_hash_table_lookup (fleet->services_by_name, name);
}

/* Returns NULL if there is no such plan or it ended and was dropped. */
struct plan *
fleet_find_plan (const struct fleet *fleet, const char *id)
{
  return g_hash_table_lookup (fleet->plans_by_id, id);
}

/* Returns NULL if there is no such host class. */
const Sp__HostClass *
fleet_find_class (const struct fleet *fleet, const char *name)
{
  const struct class_entry *entry = g_hash_table_lookup (fleet->classes, name);

  return entry ? entry->message : NULL;
}

/* Returns NULL if there is no such team. */
const Sp__Team *
fleet_find_team (const struct fleet *fleet, const char *name)
{
  const struct team_entry *entry = g_hash_table_lookup (fleet->teams, name);

  return entry ? entry->message : NULL;
}

/* Returns the price list, or its defaults if none was declared. */
const Sp__PriceList *
fleet_prices (const struct fleet *fleet)
{
  return fleet->prices;
}
