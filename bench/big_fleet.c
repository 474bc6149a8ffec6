#include "big_fleet.h"

enum
{
  NAME_BYTES = 32,
  HOSTS_PER_RACK = 4,
  HOUR_MS = 3600000,
  WAVE_HOSTS = 4,
  /* Distinguishes the ids of these records from those of other test data. */
  ID_PREFIX = 3,
  /* More than the state keeps of finished plans, and of audit entries and record ids. */
  HISTORY_PLANS = 210,
  HISTORY_DECLARATIONS = 33000,
};

/* Applies a record with a new id as a log entry of its own. The record must be accepted. */
static void
append_record (struct big_fleet *big, Sp__Record *record)
{
  uint64_t id[2] = { ID_PREFIX, big->n_records++ };
  struct verdict verdict;

  record->id.data = (uint8_t *) id;
  record->id.len = sizeof id;
  record->author = (char *) "fleetd-eu-1";
  record->seen_offset = big->offset;
  record->time_ms = (uint64_t) ++big->time_ms;
  big->offset++;
  fleet_apply (big->fleet, big->offset, 0, record, &verdict);
  fleet_entry_end (big->fleet, big->offset);
  record->id.data = NULL;
  if (verdict.kind != VERDICT_ACCEPTED)
    g_error ("record rejected: %s", verdict.reason);
}

static void
host_name (char name[NAME_BYTES], uint32_t i)
{
  g_snprintf (name, NAME_BYTES, "host-%06u", i);
}

static void
pool_name (char name[NAME_BYTES], uint32_t i)
{
  g_snprintf (name, NAME_BYTES, "pool-%03u", i);
}

/* Applies a host's entry in the platform's host list. */
static void
append_host_seen (struct big_fleet *big, uint32_t i, Sp__HostPresence presence)
{
  Sp__Record record = SP__RECORD__INIT;
  Sp__HostSeen seen = SP__HOST_SEEN__INIT;
  char name[NAME_BYTES];
  char pool[NAME_BYTES];
  char rack[NAME_BYTES];
  char address[NAME_BYTES];

  host_name (name, i);
  pool_name (pool, i % big->n_pools);
  g_snprintf (rack, sizeof rack, "rack-%05u", i / HOSTS_PER_RACK);
  g_snprintf (address, sizeof address, "10.%u.%u.%u", i >> 16, (i >> 8) & 255, i & 255);
  seen.host = name;
  seen.host_class = (char *) "large";
  seen.pool = pool;
  seen.rack = rack;
  seen.data_centre = (char *) "dc-07";
  seen.region = (char *) "region-03";
  seen.address = address;
  seen.port = 9000;
  seen.presence = presence;
  seen.list_version = ++big->list_version;
  record.body_case = SP__RECORD__BODY_HOST_SEEN;
  record.host_seen = &seen;
  append_record (big, &record);
}

/* Applies one declaration. */
static void
append_declaration (struct big_fleet *big, Sp__Declaration *declaration)
{
  Sp__Record record = SP__RECORD__INIT;
  Sp__DeclarationSet set = SP__DECLARATION_SET__INIT;

  set.declarations = &declaration;
  set.n_declarations = 1;
  record.body_case = SP__RECORD__BODY_DECLARE;
  record.declare = &set;
  append_record (big, &record);
}

/* Declares the service of pool i with a deadline. */
static void
declare_service (struct big_fleet *big, uint32_t i, uint32_t deadline_ms)
{
  Sp__Declaration declaration = SP__DECLARATION__INIT;
  Sp__Service service = SP__SERVICE__INIT;
  char name[NAME_BYTES];
  char pool[NAME_BYTES];

  g_snprintf (name, sizeof name, "service-%03u", i);
  pool_name (pool, i);
  service.name = name;
  service.pool = pool;
  service.deadline_ms = deadline_ms;
  service.availability_permille = 500;
  service.slots_per_worker = 8;
  service.connections_per_worker = 64;
  declaration.kind_case = SP__DECLARATION__KIND_SERVICE;
  declaration.service = &service;
  append_declaration (big, &declaration);
}

/* Declares the host class, the pools, their services and the teams. */
static void
declare_everything (struct big_fleet *big)
{
  Sp__HostClass class = SP__HOST_CLASS__INIT;
  Sp__Declaration declaration = SP__DECLARATION__INIT;
  char name[NAME_BYTES];
  char pool[NAME_BYTES];

  class.name = (char *) "large";
  class.processors = 64;
  class.memory_gib = 256;
  declaration.kind_case = SP__DECLARATION__KIND_HOST_CLASS;
  declaration.host_class = &class;
  append_declaration (big, &declaration);
  g_assert (big->n_pools > 0);
  for (uint32_t i = 0; i < big->n_pools; i++)
    {
      Sp__Pool message = SP__POOL__INIT;

      pool_name (name, i);
      message.name = name;
      message.host_class = (char *) "large";
      message.capacity_target = big->n_hosts / big->n_pools;
      declaration.kind_case = SP__DECLARATION__KIND_POOL;
      declaration.pool = &message;
      append_declaration (big, &declaration);
      declare_service (big, i, 1000);
    }
  for (uint32_t i = 0; i < DAY_TEAMS; i++)
    {
      Sp__Team team = SP__TEAM__INIT;

      g_snprintf (name, sizeof name, "team-%03u", i);
      pool_name (pool, i % big->n_pools);
      team.name = name;
      team.pool = pool;
      team.quota_slots = 100;
      declaration.kind_case = SP__DECLARATION__KIND_TEAM;
      declaration.team = &team;
      append_declaration (big, &declaration);
    }
}

/* Applies an executor's claim; renew_term is the term that it renews, or 0 for a new claim. */
static void
append_claim (struct big_fleet *big, uint64_t renew_term)
{
  Sp__Record record = SP__RECORD__INIT;
  Sp__Claim message = SP__CLAIM__INIT;

  message.holder = (char *) "fleetd-eu-1";
  message.duration_ms = 5000;
  message.renew_term = renew_term;
  record.body_case = SP__RECORD__BODY_CLAIM;
  record.claim = &message;
  append_record (big, &record);
}

/* Initializes a fleet of the given size. */
void
big_fleet_init (struct big_fleet *big, uint32_t n_hosts, uint32_t n_pools)
{
  *big = (struct big_fleet){ .fleet = fleet_create (), .n_hosts = n_hosts, .n_pools = n_pools };
  /* Any wall-clock time will do. */
  big->time_ms = 1796256000000;
  for (uint32_t i = 0; i < n_hosts; i++)
    append_host_seen (big, i, SP__HOST_PRESENCE__HOST_PRESENCE_LIVE);
  declare_everything (big);
  append_claim (big, 0);
}

void
big_fleet_clear (struct big_fleet *big)
{
  fleet_destroy (big->fleet);
}

/* Applies a declaration that changes a service's deadline. */
void
big_fleet_change_service (struct big_fleet *big, uint32_t i)
{
  declare_service (big, i % big->n_pools, 1001 + i);
}

/* Applies the three host list entries of a restart: the host leaves, is gone and is back. */
void
big_fleet_restart_host (struct big_fleet *big, uint32_t i)
{
  append_host_seen (big, i, SP__HOST_PRESENCE__HOST_PRESENCE_LEAVING);
  append_host_seen (big, i, SP__HOST_PRESENCE__HOST_PRESENCE_GONE);
  append_host_seen (big, i, SP__HOST_PRESENCE__HOST_PRESENCE_LIVE);
}

/* Applies the proposal of a plan that maintains n hosts of a pool. */
static void
append_proposal (struct big_fleet *big, char *id, char *pool, uint32_t pool_number, uint32_t first,
                 uint32_t n)
{
  Sp__Record record = SP__RECORD__INIT;
  Sp__PlanPropose message = SP__PLAN_PROPOSE__INIT;
  Sp__Plan plan = SP__PLAN__INIT;
  Sp__Intent intent = SP__INTENT__INIT;
  Sp__WaveIntent wave = SP__WAVE_INTENT__INIT;
  char (*names)[NAME_BYTES] = g_malloc_n (n, sizeof *names);
  Sp__PlanStep *steps = g_new (Sp__PlanStep, n);
  Sp__PlanStep **pointers = g_new (Sp__PlanStep *, n);

  for (uint32_t i = 0; i < n; i++)
    {
      host_name (names[i], (first + i) * big->n_pools + pool_number);
      sp__plan_step__init (&steps[i]);
      steps[i].kind = SP__STEP_KIND__STEP_KIND_MAINTAIN;
      steps[i].host = names[i];
      steps[i].from_pool = pool;
      pointers[i] = &steps[i];
    }
  wave.pool = pool;
  intent.kind_case = SP__INTENT__KIND_WAVE;
  intent.wave = &wave;
  plan.id = id;
  plan.revision = 1;
  plan.intent = &intent;
  plan.n_steps = n;
  plan.steps = pointers;
  message.plan = &plan;
  record.body_case = SP__RECORD__BODY_PROPOSE;
  record.propose = &message;
  append_record (big, &record);
  g_free (names);
  g_free (steps);
  g_free (pointers);
}

/* Applies one step of a host under the current claim. */
static void
append_host_step (struct big_fleet *big, char *id, uint32_t host, Sp__HostStepKind kind)
{
  Sp__Record record = SP__RECORD__INIT;
  Sp__HostStep message = SP__HOST_STEP__INIT;
  char name[NAME_BYTES];

  host_name (name, host);
  message.kind = kind;
  message.host = name;
  message.plan_id = id;
  message.term = fleet_claim (big->fleet)->term;
  record.body_case = SP__RECORD__BODY_HOST_STEP;
  record.host_step = &message;
  append_record (big, &record);
}

/* Proposes and confirms a plan that maintains n hosts of a pool. */
void
big_fleet_confirm_wave (struct big_fleet *big, uint32_t pool, uint32_t first, uint32_t n)
{
  Sp__Record record = SP__RECORD__INIT;
  Sp__PlanConfirm confirm = SP__PLAN_CONFIRM__INIT;
  char id[NAME_BYTES];
  char name[NAME_BYTES];

  g_snprintf (id, sizeof id, "plan-%06u", ++big->next_plan);
  pool_name (name, pool);
  append_proposal (big, id, name, pool, first, n);
  confirm.plan_id = id;
  confirm.revision = 1;
  record.body_case = SP__RECORD__BODY_CONFIRM;
  record.confirm = &confirm;
  append_record (big, &record);
}

/* Proposes, confirms and carries out a plan that maintains n hosts of a pool. */
void
big_fleet_run_wave (struct big_fleet *big, uint32_t pool, uint32_t first, uint32_t n)
{
  static const Sp__HostStepKind kinds[] = { SP__HOST_STEP_KIND__HOST_STEP_KIND_LEAVING,
                                            SP__HOST_STEP_KIND__HOST_STEP_KIND_DRAINED,
                                            SP__HOST_STEP_KIND__HOST_STEP_KIND_REBOOTED,
                                            SP__HOST_STEP_KIND__HOST_STEP_KIND_SERVING };
  char id[NAME_BYTES];

  big_fleet_confirm_wave (big, pool, first, n);
  g_snprintf (id, sizeof id, "plan-%06u", big->next_plan);
  for (uint32_t i = 0; i < n; i++)
    for (size_t k = 0; k < G_N_ELEMENTS (kinds); k++)
      append_host_step (big, id, (first + i) * big->n_pools + pool, kinds[k]);
}

/* Applies a step of a batch task. */
void
big_fleet_apply_task_step (struct big_fleet *big, Sp__TaskStep *task)
{
  Sp__Record record = SP__RECORD__INIT;

  record.body_case = SP__RECORD__BODY_TASK;
  record.task = task;
  append_record (big, &record);
}

/* Submits a batch task of one slot for one of the teams. */
void
big_fleet_submit_task (struct big_fleet *big, uint32_t i)
{
  Sp__TaskStep task = SP__TASK_STEP__INIT;
  char name[NAME_BYTES];
  char team[NAME_BYTES];

  g_snprintf (name, sizeof name, "task-%06u", i);
  g_snprintf (team, sizeof team, "team-%03u", i % DAY_TEAMS);
  task.kind = SP__TASK_STEP_KIND__TASK_STEP_KIND_SUBMIT;
  task.task = name;
  task.team = team;
  task.slots = 1;
  big_fleet_apply_task_step (big, &task);
}

/* Renews the executor's claim. */
void
big_fleet_renew_claim (struct big_fleet *big)
{
  append_claim (big, fleet_claim (big->fleet)->term);
}

/* Applies a usage report of a host over one hour. */
void
big_fleet_report_usage (struct big_fleet *big, uint32_t i)
{
  Sp__Record record = SP__RECORD__INIT;
  Sp__UsageReport usage = SP__USAGE_REPORT__INIT;
  char name[NAME_BYTES];
  char pool[NAME_BYTES];

  host_name (name, i);
  pool_name (pool, i % big->n_pools);
  usage.host = name;
  usage.pool = pool;
  usage.to_ms = (uint64_t) big->time_ms;
  usage.from_ms = usage.to_ms - HOUR_MS;
  usage.busy_permille = 400;
  record.body_case = SP__RECORD__BODY_USAGE;
  record.usage = &usage;
  append_record (big, &record);
}

/* Fills the parts of the state whose size is bounded: the audit trail, the record ids kept against
 * duplicates and the finished plans. */
void
big_fleet_fill_history (struct big_fleet *big)
{
  uint32_t in_pool = big->n_hosts / big->n_pools;
  uint32_t wave = MIN (WAVE_HOSTS, in_pool / 2);

  for (uint32_t i = 0; wave && i < HISTORY_PLANS; i++)
    big_fleet_run_wave (big, i % big->n_pools, i % (in_pool - wave), wave);
  for (uint32_t i = 0; i < HISTORY_DECLARATIONS; i++)
    big_fleet_change_service (big, i);
}
