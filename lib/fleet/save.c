#include "state.h"

#include <string.h>

#include <xxhash.h>

#include "image.h"
#include "task_table.h"

/* Serialization of the state. Unordered collections are sorted by name, so that replicas at the
 * same offset produce the same bytes. The message points to the state's own strings until it is
 * packed. */

/* A save in progress: the message, the memory blocks to free once it is packed, and the strings
 * shared by hosts with their indexes. */
struct saver
{
  const struct fleet *fleet;
  Sp__State state;
  GPtrArray *blocks;
  GHashTable *strings;
  GPtrArray *string_list;
};

/* Allocates n zeroed members (and one extra, so that n may be 0) that are freed after the save. */
static void *
saver_alloc (struct saver *saver, size_t n, size_t size)
{
  void *block = g_malloc0_n (n + 1, size);

  g_ptr_array_add (saver->blocks, block);
  return block;
}

/* Allocates an array of n pointers to zeroed members of the given size. */
static void *
saver_array (struct saver *saver, size_t n, size_t size)
{
  void **pointers = saver_alloc (saver, n, sizeof *pointers);
  char *members = saver_alloc (saver, n, size);

  for (size_t i = 0; i < n; i++)
    pointers[i] = members + i * size;
  return pointers;
}

/* Returns the index of a string in the list of shared strings; adds it if necessary. */
static uint32_t
saver_string (struct saver *saver, const char *string)
{
  gpointer index;

  if (g_hash_table_lookup_extended (saver->strings, string, NULL, &index))
    return GPOINTER_TO_UINT (index);
  g_hash_table_insert (saver->strings, (gpointer) string,
                       GUINT_TO_POINTER (saver->string_list->len));
  g_ptr_array_add (saver->string_list, (gpointer) string);
  return saver->string_list->len - 1;
}

/* Compares two elements of an array of names. */
static int
compare_names (const void *a, const void *b)
{
  return strcmp (*(char *const *) a, *(char *const *) b);
}

/* Returns the table's values sorted by key; stores their number in n. */
static void **
sorted_values (struct saver *saver, GHashTable *table, size_t *n)
{
  guint len = 0;
  gpointer *keys = g_hash_table_get_keys_as_array (table, &len);

  if (len)
    qsort (keys, len, sizeof *keys, compare_names);
  for (guint i = 0; i < len; i++)
    keys[i] = g_hash_table_lookup (table, keys[i]);
  g_ptr_array_add (saver->blocks, keys);
  *n = len;
  return keys;
}

static char *
string_or_empty (char *string)
{
  return string ? string : (char *) "";
}

/* Builds the message for a change. Returns NULL if there was no change. */
static Sp__StateChange *
save_change (struct saver *saver, const struct change *change)
{
  Sp__StateChange *saved;

  if (!change->author)
    return NULL;
  saved = saver_alloc (saver, 1, sizeof *saved);
  sp__state_change__init (saved);
  saved->offset = change->offset;
  saved->author = change->author;
  return saved;
}

/* Saves host classes, teams and prices. */
static void
save_tables (struct saver *saver)
{
  const struct fleet *fleet = saver->fleet;
  Sp__State *state = &saver->state;
  void **values = sorted_values (saver, fleet->classes, &state->n_classes);

  state->classes = saver_array (saver, state->n_classes, sizeof **state->classes);
  for (size_t i = 0; i < state->n_classes; i++)
    {
      struct class_entry *entry = values[i];

      sp__state_class__init (state->classes[i]);
      state->classes[i]->host_class = entry->message;
      state->classes[i]->changed = save_change (saver, &entry->changed);
    }
  values = sorted_values (saver, fleet->teams, &state->n_teams);
  state->teams = saver_array (saver, state->n_teams, sizeof **state->teams);
  for (size_t i = 0; i < state->n_teams; i++)
    {
      struct team_entry *entry = values[i];

      sp__state_team__init (state->teams[i]);
      state->teams[i]->team = entry->message;
      state->teams[i]->changed = save_change (saver, &entry->changed);
    }
  state->prices = fleet->prices;
  state->prices_changed = save_change (saver, &fleet->prices_changed);
}

static void
save_pools (struct saver *saver)
{
  Sp__State *state = &saver->state;
  void **values = sorted_values (saver, saver->fleet->pools_by_name, &state->n_pools);

  state->pools = saver_array (saver, state->n_pools, sizeof **state->pools);
  for (size_t i = 0; i < state->n_pools; i++)
    {
      const struct pool *pool = values[i];
      Sp__Pool *message = saver_alloc (saver, 1, sizeof *message);

      sp__pool__init (message);
      message->name = pool->name;
      message->host_class = pool->host_class;
      message->spare_pool = pool->spare_pool;
      message->capacity_target = pool->capacity_target;
      sp__state_pool__init (state->pools[i]);
      state->pools[i]->pool = message;
      state->pools[i]->declared = pool->declared;
      state->pools[i]->changed = save_change (saver, &pool->changed);
      state->pools[i]->declared_by = save_change (saver, &pool->declaration);
    }
}

static void
save_services (struct saver *saver)
{
  Sp__State *state = &saver->state;
  void **values = sorted_values (saver, saver->fleet->services_by_name, &state->n_services);

  state->services = saver_array (saver, state->n_services, sizeof **state->services);
  for (size_t i = 0; i < state->n_services; i++)
    {
      const struct service *service = values[i];
      Sp__Service *message = saver_alloc (saver, 1, sizeof *message);

      sp__service__init (message);
      message->name = service->name;
      message->pool = service->pool->name;
      message->traffic_class = service->traffic_class;
      message->deadline_ms = service->deadline_ms;
      message->availability_permille = service->availability_permille;
      message->slots_per_worker = service->slots_per_worker;
      message->connections_per_worker = service->connections_per_worker;
      sp__state_service__init (state->services[i]);
      state->services[i]->service = message;
      state->services[i]->changed = save_change (saver, &service->changed);
    }
}

static void
save_host (struct saver *saver, const struct host *host, Sp__StateHost *saved)
{
  sp__state_host__init (saved);
  saved->name = host->name;
  saved->host_class = saver_string (saver, host->host_class);
  saved->rack = saver_string (saver, host->rack);
  saved->data_centre = saver_string (saver, host->data_centre);
  saved->region = saver_string (saver, host->region);
  saved->address = host->address;
  saved->port = host->port;
  saved->pool = saver_string (saver, host->pool->name);
  saved->state = host->state;
  saved->presence = host->presence;
  saved->list_version = host->list_version;
  saved->changed_offset = host->changed.offset;
  saved->changed_author = saver_string (saver, host->changed.author);
  saved->maintained_ms = host->maintained_ms;
  saved->stepped_ms = host->stepped_ms;
  saved->usage_until_ms = host->usage_until_ms;
}

/* Saves the hosts and the removed hosts. */
static void
save_hosts (struct saver *saver)
{
  Sp__State *state = &saver->state;
  void **values = sorted_values (saver, saver->fleet->hosts_by_name, &state->n_hosts);
  const struct gone_host *gone;
  size_t i = 0;

  state->hosts = saver_array (saver, state->n_hosts, sizeof **state->hosts);
  for (size_t j = 0; j < state->n_hosts; j++)
    save_host (saver, values[j], state->hosts[j]);
  state->n_gone = saver->fleet->n_gone;
  state->gone = saver_array (saver, state->n_gone, sizeof **state->gone);
  STAILQ_FOREACH (gone, &saver->fleet->gone, link)
    {
      sp__state_gone_host__init (state->gone[i]);
      state->gone[i]->name = gone->name;
      state->gone[i]->host_class = saver_string (saver, gone->host_class);
      state->gone[i]->list_version = gone->list_version;
      state->gone[i]->usage_until_ms = gone->usage_until_ms;
      i++;
    }
  state->gone_floor = saver->fleet->gone_floor;
  state->list_version = saver->fleet->list_version;
}

static void
save_plan (struct saver *saver, const struct plan *plan, Sp__StatePlan *saved)
{
  size_t n_steps = plan->message->n_steps;

  sp__state_plan__init (saved);
  saved->plan = plan->message;
  saved->state = plan->state;
  saved->stopping = plan->stopping;
  saved->based_on = plan->based_on;
  saved->confirmed_ms = plan->confirmed_ms;
  saved->author = plan->author;
  saved->confirmed_by = string_or_empty (plan->confirmed_by);
  saved->changed = save_change (saver, &plan->changed);
  saved->ended_offset = plan->ended_offset;
  saved->n_outcomes = n_steps;
  saved->outcomes = saver_alloc (saver, n_steps, sizeof *saved->outcomes);
  for (size_t i = 0; i < n_steps; i++)
    saved->outcomes[i] = plan->outcomes[i];
}

/* Saves the plans and the executor's claim. */
static void
save_plans (struct saver *saver)
{
  const struct claim *claim = &saver->fleet->claim;
  Sp__State *state = &saver->state;
  void **values = sorted_values (saver, saver->fleet->plans_by_id, &state->n_plans);

  state->plans = saver_array (saver, state->n_plans, sizeof **state->plans);
  for (size_t i = 0; i < state->n_plans; i++)
    save_plan (saver, values[i], state->plans[i]);
  state->claim = saver_alloc (saver, 1, sizeof *state->claim);
  sp__state_claim__init (state->claim);
  state->claim->holder = claim->holder;
  state->claim->term = claim->term;
  state->claim->offset = claim->offset;
  state->claim->duration_ms = claim->duration_ms;
  state->claim->incarnation = claim->incarnation;
  state->claim->sent_ms = claim->sent_ms;
}

static void
save_usage (struct saver *saver)
{
  Sp__State *state = &saver->state;
  void **values = sorted_values (saver, saver->fleet->usage, &state->n_usage);

  state->usage = saver_array (saver, state->n_usage, sizeof **state->usage);
  for (size_t i = 0; i < state->n_usage; i++)
    {
      struct usage_month *usage = values[i];
      Sp__StateUsage *saved = state->usage[i];

      sp__state_usage__init (saved);
      saved->month = usage->month;
      saved->pool = usage->pool;
      saved->host_class = usage->host_class;
      saved->host_ms = usage->host_ms;
      saved->busy_ms = usage->busy_ms;
      saved->gap_ms = usage->gap_ms;
      saved->reports = usage->reports;
      saved->lag_sum_ms = usage->lag_sum_ms;
      saved->lag_max_ms = usage->lag_max_ms;
      saved->moves_in = usage->moves_in;
      saved->moves_out = usage->moves_out;
      saved->arrivals = usage->arrivals;
      saved->failures = usage->failures;
      saved->invoiced = usage->invoiced;
      saved->invoice_micros = usage->invoice_micros;
    }
}

/* Saves the audit trail and the record ids. */
static void
save_history (struct saver *saver)
{
  Sp__State *state = &saver->state;
  struct audit_entry *entry;
  struct record_id *id;
  size_t i = 0;

  state->n_audit = saver->fleet->n_audit;
  state->audit = saver_array (saver, state->n_audit, sizeof **state->audit);
  STAILQ_FOREACH (entry, &saver->fleet->audit, link)
    {
      sp__state_audit__init (state->audit[i]);
      state->audit[i]->offset = entry->offset;
      state->audit[i]->time_ms = entry->time_ms;
      state->audit[i]->author = entry->author;
      state->audit[i]->what = entry->what;
      state->audit[i]->verdict = entry->verdict.kind;
      state->audit[i]->reason = entry->verdict.reason;
      i++;
    }
  i = 0;
  state->n_ids = saver->fleet->n_ids;
  state->ids = saver_array (saver, state->n_ids, sizeof **state->ids);
  STAILQ_FOREACH (id, &saver->fleet->ids, link)
    {
      sp__state_record_id__init (state->ids[i]);
      state->ids[i]->id.data = id->bytes;
      state->ids[i]->id.len = RECORD_ID_BYTES;
      state->ids[i]->offset = id->offset;
      i++;
    }
  state->ids_floor = saver->fleet->ids_floor;
}

static void
save_task (struct saver *saver, struct task *task, Sp__StateTask *saved)
{
  sp__state_task__init (saved);
  saved->name = task->name;
  saved->team = task->team;
  saved->pool = task->pool;
  saved->slots = task->slots;
  saved->run_ms = task->run_ms;
  saved->urgent = task->urgent;
  saved->state = task->state;
  saved->lease_term = task->lease_term;
  saved->host = string_or_empty (task->host);
  saved->lease_ms = task->lease_ms;
  saved->leased_ms = task->leased_ms;
  saved->submitted_ms = task->submitted_ms;
  saved->progress_permille = task->progress_permille;
  saved->failures = task->failures;
  saved->expiries = task->expiries;
  saved->reason = string_or_empty (task->reason);
  saved->failed_hosts = saver_alloc (saver, TASK_MAX_FAILED_HOSTS, sizeof *saved->failed_hosts);
  while (saved->n_failed_hosts < TASK_MAX_FAILED_HOSTS && task->failed_hosts[saved->n_failed_hosts])
    {
      saved->failed_hosts[saved->n_failed_hosts] = task->failed_hosts[saved->n_failed_hosts];
      saved->n_failed_hosts++;
    }
}

/* Saves the tasks in the order of their lists, and the failure counts of hosts. */
static void
save_tasks (struct saver *saver)
{
  struct task_table *table = saver->fleet->tasks;
  Sp__State *state = &saver->state;
  struct task *task;
  void **values;
  size_t n = g_hash_table_size (table->by_name);

  state->tasks = saver_array (saver, n, sizeof **state->tasks);
  TAILQ_FOREACH (task, &table->urgent, link)
    save_task (saver, task, state->tasks[state->n_tasks++]);
  for (size_t i = 0; i < TASK_STATES; i++)
    TAILQ_FOREACH (task, &table->lists[i], link)
      save_task (saver, task, state->tasks[state->n_tasks++]);
  g_assert (state->n_tasks == n);
  values = sorted_values (saver, table->workers, &state->n_workers);
  state->workers = saver_array (saver, state->n_workers, sizeof **state->workers);
  for (size_t i = 0; i < state->n_workers; i++)
    {
      const struct task_worker *worker = values[i];

      sp__state_worker__init (state->workers[i]);
      state->workers[i]->host = worker->host;
      state->workers[i]->failures = worker->failures;
      state->workers[i]->failed_ms = worker->failed_ms;
    }
}

/* Packs the message and appends its checksum. */
static GByteArray *
pack (const Sp__State *state)
{
  size_t size = sp__state__get_packed_size (state);
  GByteArray *bytes = g_byte_array_sized_new ((guint) (size + IMAGE_CHECKSUM_BYTES));
  uint64_t checksum;

  g_byte_array_set_size (bytes, (guint) size);
  sp__state__pack (state, bytes->data);
  checksum = GUINT64_TO_LE (XXH64 (bytes->data, size, 0));
  g_byte_array_append (bytes, (const guint8 *) &checksum, sizeof checksum);
  return bytes;
}

/* Serializes the whole state. Replicas at the same offset return the same bytes. */
GByteArray *
fleet_save (const struct fleet *fleet)
{
  struct saver saver = { .fleet = fleet };
  GByteArray *bytes;

  g_assert (fleet->entry_index == 0);
  sp__state__init (&saver.state);
  saver.blocks = g_ptr_array_new_with_free_func (g_free);
  saver.strings = g_hash_table_new (g_str_hash, g_str_equal);
  saver.string_list = g_ptr_array_new ();
  saver.state.version = IMAGE_VERSION;
  saver.state.offset = fleet->offset;
  save_tables (&saver);
  save_pools (&saver);
  save_services (&saver);
  save_hosts (&saver);
  save_plans (&saver);
  save_usage (&saver);
  save_history (&saver);
  save_tasks (&saver);
  saver.state.n_texts = saver.string_list->len;
  saver.state.texts = (char **) saver.string_list->pdata;
  bytes = pack (&saver.state);
  g_ptr_array_free (saver.string_list, TRUE);
  g_hash_table_destroy (saver.strings);
  g_ptr_array_free (saver.blocks, TRUE);
  return bytes;
}

/* Returns a 64-bit hash of the bytes that fleet_save returns. */
uint64_t
fleet_digest (const struct fleet *fleet)
{
  GByteArray *bytes = fleet_save (fleet);
  uint64_t digest = XXH64 (bytes->data, bytes->len, 0);

  g_byte_array_unref (bytes);
  return digest;
}
