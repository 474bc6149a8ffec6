#include "state.h"

#include <string.h>

#include <xxhash.h>

#include "image.h"
#include "task_table.h"

/* Loading of the state from bytes written by fleet_save. Incomplete or inconsistent bytes are
 * rejected. */

/* Restores a change; a missing one means that the object has not been changed by any record. */
static void
load_change (struct change *change, const Sp__StateChange *saved)
{
  if (saved)
    change_restore (change, saved->offset, saved->author);
}

/* Moves the message out of the pointer at holder, which is set to NULL. */
static void *
message_steal (void *holder)
{
  void **pointer = holder;
  void *message = *pointer;

  *pointer = NULL;
  return message;
}

/* Loads host classes, teams and prices. */
static bool
load_tables (struct fleet *fleet, Sp__State *state)
{
  for (size_t i = 0; i < state->n_classes; i++)
    {
      struct class_entry *entry;

      if (!state->classes[i]->host_class)
        return false;
      entry = g_new0 (struct class_entry, 1);
      entry->message = message_steal (&state->classes[i]->host_class);
      load_change (&entry->changed, state->classes[i]->changed);
      g_hash_table_replace (fleet->classes, entry->message->name, entry);
    }
  for (size_t i = 0; i < state->n_teams; i++)
    {
      struct team_entry *entry;

      if (!state->teams[i]->team)
        return false;
      entry = g_new0 (struct team_entry, 1);
      entry->message = message_steal (&state->teams[i]->team);
      load_change (&entry->changed, state->teams[i]->changed);
      g_hash_table_replace (fleet->teams, entry->message->name, entry);
    }
  if (!state->prices)
    return false;
  sp__price_list__free_unpacked (fleet->prices, NULL);
  fleet->prices = message_steal (&state->prices);
  load_change (&fleet->prices_changed, state->prices_changed);
  return true;
}

static bool
load_pools (struct fleet *fleet, const Sp__State *state)
{
  for (size_t i = 0; i < state->n_pools; i++)
    {
      const Sp__StatePool *saved = state->pools[i];
      struct pool *pool;

      if (!saved->pool || fleet_find_pool (fleet, saved->pool->name))
        return false;
      pool = pool_create (fleet, saved->pool->name, saved->pool->host_class);
      g_free (pool->spare_pool);
      pool->spare_pool = g_strdup (saved->pool->spare_pool);
      pool->capacity_target = saved->pool->capacity_target;
      pool->declared = saved->declared;
      load_change (&pool->changed, saved->changed);
      load_change (&pool->declaration, saved->declared_by);
    }
  return true;
}

static bool
load_services (struct fleet *fleet, const Sp__State *state)
{
  for (size_t i = 0; i < state->n_services; i++)
    {
      const Sp__Service *message = state->services[i]->service;
      struct pool *pool = message ? fleet_find_pool (fleet, message->pool) : NULL;
      struct service *service;

      if (!pool || fleet_find_service (fleet, message->name))
        return false;
      service = service_create (fleet, message->name, pool);
      service->traffic_class = message->traffic_class;
      service->deadline_ms = message->deadline_ms;
      service->availability_permille = message->availability_permille;
      service->slots_per_worker = message->slots_per_worker;
      service->connections_per_worker = message->connections_per_worker;
      load_change (&service->changed, state->services[i]->changed);
    }
  return true;
}

/* Returns the string at an index of the state's shared strings, or NULL. */
static const char *
string_at (const Sp__State *state, uint32_t index)
{
  return index < state->n_texts ? state->texts[index] : NULL;
}

static bool
load_host (struct fleet *fleet, const Sp__State *state, const Sp__StateHost *saved)
{
  const char *pool_name = string_at (state, saved->pool);
  struct pool *pool = pool_name ? fleet_find_pool (fleet, pool_name) : NULL;
  struct host *host;

  if (!pool || fleet_find_host (fleet, saved->name) || saved->state > HOST_RETURNING)
    return false;
  host = host_create (fleet, saved->name, pool);
  host->host_class = g_strdup (string_at (state, saved->host_class));
  host->rack = g_strdup (string_at (state, saved->rack));
  host->data_centre = g_strdup (string_at (state, saved->data_centre));
  host->region = g_strdup (string_at (state, saved->region));
  host->address = g_strdup (saved->address);
  host->port = (uint16_t) saved->port;
  host->list_version = saved->list_version;
  host->maintained_ms = saved->maintained_ms;
  host->stepped_ms = saved->stepped_ms;
  host->usage_until_ms = saved->usage_until_ms;
  change_restore (&host->changed, saved->changed_offset, string_at (state, saved->changed_author));
  host_set (host, (enum host_state) saved->state, saved->presence);
  return host->host_class && host->rack && host->data_centre && host->region &&
         host->changed.author;
}

/* Loads the hosts and the removed hosts. */
static bool
load_hosts (struct fleet *fleet, const Sp__State *state)
{
  for (size_t i = 0; i < state->n_hosts; i++)
    if (!load_host (fleet, state, state->hosts[i]))
      return false;
  for (size_t i = 0; i < state->n_gone; i++)
    {
      const Sp__StateGoneHost *saved = state->gone[i];

      if (!string_at (state, saved->host_class))
        return false;
      gone_host_add (fleet, saved->name, string_at (state, saved->host_class), saved->list_version)
          ->usage_until_ms = saved->usage_until_ms;
    }
  fleet->gone_floor = state->gone_floor;
  fleet->list_version = state->list_version;
  return true;
}

/* Makes a confirmed plan the holder of its hosts again and counts the ended steps. */
static bool
load_steps (struct fleet *fleet, struct plan *plan)
{
  size_t n_steps = plan->message->n_steps;

  for (size_t i = 0; i < n_steps; i++)
    {
      struct host *host;

      if (plan->outcomes[i] != STEP_OPEN)
        {
          plan->n_ended++;
          continue;
        }
      if (plan->state != PLAN_CONFIRMED)
        continue;
      host = fleet_find_host (fleet, plan->message->steps[i]->host);
      if (!host || (host->plan && host->plan != plan))
        return false;
      if (host->plan)
        continue;
      host->plan = plan;
      host->plan_step = (uint32_t) i;
    }
  while (plan->first_open < n_steps && plan->outcomes[plan->first_open] != STEP_OPEN)
    plan->first_open++;
  return true;
}

static bool
load_plan (struct fleet *fleet, Sp__StatePlan *saved)
{
  struct plan *plan;

  if (!saved->plan || !saved->plan->intent || saved->n_outcomes != saved->plan->n_steps ||
      saved->state > PLAN_DONE || fleet_find_plan (fleet, saved->plan->id))
    return false;
  plan = plan_create (fleet, message_steal (&saved->plan));
  if (saved->state != PLAN_PROPOSED)
    fleet->n_proposed--;
  plan->state = (enum plan_state) saved->state;
  plan->stopping = saved->stopping;
  plan->based_on = saved->based_on;
  plan->confirmed_ms = saved->confirmed_ms;
  plan->author = g_strdup (saved->author);
  plan->confirmed_by = saved->confirmed_by[0] ? g_strdup (saved->confirmed_by) : NULL;
  load_change (&plan->changed, saved->changed);
  plan->ended_offset = saved->ended_offset;
  if (plan_has_ended (plan))
    plan_add_ended (fleet, plan);
  for (size_t i = 0; i < saved->n_outcomes; i++)
    plan->outcomes[i] = (enum step_outcome) saved->outcomes[i];
  return load_steps (fleet, plan);
}

/* Loads the plans and the executor's claim. */
static bool
load_plans (struct fleet *fleet, const Sp__State *state)
{
  for (size_t i = 0; i < state->n_plans; i++)
    if (!load_plan (fleet, state->plans[i]))
      return false;
  if (!state->claim)
    return false;
  g_free (fleet->claim.holder);
  fleet->claim.holder = g_strdup (state->claim->holder);
  fleet->claim.term = state->claim->term;
  fleet->claim.offset = state->claim->offset;
  fleet->claim.duration_ms = state->claim->duration_ms;
  fleet->claim.incarnation = state->claim->incarnation;
  fleet->claim.sent_ms = state->claim->sent_ms;
  return true;
}

static bool
load_usage (struct fleet *fleet, const Sp__State *state)
{
  for (size_t i = 0; i < state->n_usage; i++)
    {
      const Sp__StateUsage *saved = state->usage[i];
      struct usage_month *usage =
          usage_row_get (fleet, saved->pool, saved->host_class, saved->month);

      if (!usage)
        return false;
      usage->host_ms = saved->host_ms;
      usage->busy_ms = saved->busy_ms;
      usage->gap_ms = saved->gap_ms;
      usage->reports = saved->reports;
      usage->lag_sum_ms = saved->lag_sum_ms;
      usage->lag_max_ms = saved->lag_max_ms;
      usage->moves_in = saved->moves_in;
      usage->moves_out = saved->moves_out;
      usage->arrivals = saved->arrivals;
      usage->failures = saved->failures;
      usage->invoiced = saved->invoiced;
      usage->invoice_micros = saved->invoice_micros;
    }
  return true;
}

/* Loads the audit trail and the record ids. */
static bool
load_history (struct fleet *fleet, const Sp__State *state)
{
  for (size_t i = 0; i < state->n_audit; i++)
    {
      const Sp__StateAudit *saved = state->audit[i];
      struct record_context at = { .offset = saved->offset,
                                   .time_ms = saved->time_ms,
                                   .author = saved->author };
      struct verdict verdict = { .kind = (enum verdict_kind) saved->verdict };

      g_strlcpy (verdict.reason, saved->reason, sizeof verdict.reason);
      audit_add (fleet, &at, saved->what, &verdict);
    }
  for (size_t i = 0; i < state->n_ids; i++)
    {
      if (state->ids[i]->id.len != RECORD_ID_BYTES)
        return false;
      record_id_add (fleet, state->ids[i]->id.data, state->ids[i]->offset);
    }
  fleet->ids_floor = state->ids_floor;
  return true;
}

static bool
load_task (struct fleet *fleet, const Sp__StateTask *saved)
{
  struct task *task;

  if (saved->state > TASK_CANCELLED || saved->n_failed_hosts > TASK_MAX_FAILED_HOSTS ||
      fleet_find_task (fleet, saved->name))
    return false;
  task = g_new0 (struct task, 1);
  task->name = g_strdup (saved->name);
  task->team = g_strdup (saved->team);
  task->pool = g_strdup (saved->pool);
  task->slots = saved->slots;
  task->run_ms = saved->run_ms;
  task->urgent = saved->urgent;
  task->state = (enum task_state) saved->state;
  task->lease_term = saved->lease_term;
  task->host = saved->host[0] ? g_strdup (saved->host) : NULL;
  task->lease_ms = saved->lease_ms;
  task->leased_ms = saved->leased_ms;
  task->submitted_ms = saved->submitted_ms;
  task->progress_permille = saved->progress_permille;
  task->failures = saved->failures;
  task->expiries = saved->expiries;
  task->reason = saved->reason[0] ? g_strdup (saved->reason) : NULL;
  for (size_t i = 0; i < saved->n_failed_hosts; i++)
    task->failed_hosts[i] = g_strdup (saved->failed_hosts[i]);
  task_table_insert (fleet->tasks, task);
  return (task->state == TASK_LEASED) == (task->host != NULL);
}

/* Loads the tasks and the failure counts of hosts. */
static bool
load_tasks (struct fleet *fleet, const Sp__State *state)
{
  for (size_t i = 0; i < state->n_tasks; i++)
    if (!load_task (fleet, state->tasks[i]))
      return false;
  for (size_t i = 0; i < state->n_workers; i++)
    {
      struct task_worker *worker = worker_get (fleet->tasks, state->workers[i]->host);

      worker->failures = state->workers[i]->failures;
      worker->failed_ms = state->workers[i]->failed_ms;
    }
  return true;
}

/* Unpacks the bytes. Returns NULL if the checksum or the message is invalid. */
static Sp__State *
unpack (const uint8_t *data, size_t len)
{
  uint64_t checksum;
  size_t size;

  if (len < IMAGE_CHECKSUM_BYTES)
    return NULL;
  size = len - IMAGE_CHECKSUM_BYTES;
  memcpy (&checksum, data + size, sizeof checksum);
  if (GUINT64_FROM_LE (checksum) != XXH64 (data, size, 0))
    return NULL;
  return sp__state__unpack (NULL, size, data);
}

/* Returns NULL if the bytes are incomplete or corrupt. */
struct fleet *
fleet_load (const void *data, size_t len)
{
  Sp__State *state = unpack (data, len);
  struct fleet *fleet;

  if (!state)
    return NULL;
  fleet = fleet_create ();
  fleet->offset = state->offset;
  fleet->entry_offset = state->offset;
  if (state->version != IMAGE_VERSION || !load_tables (fleet, state) ||
      !load_pools (fleet, state) || !load_services (fleet, state) || !load_hosts (fleet, state) ||
      !load_plans (fleet, state) || !load_usage (fleet, state) || !load_history (fleet, state) ||
      !load_tasks (fleet, state))
    g_clear_pointer (&fleet, fleet_destroy);
  sp__state__free_unpacked (state, NULL);
  return fleet;
}
