#include "sim_fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  HOSTS_PER_RACK = 4,
  DATA_CENTRES = 3,
  CLAIM_MS = 3600000,
};

/* Aborts the test if the fleet rejected the last record. */
static void
sim_require_accepted (const struct sim_fleet *sim, const char *what)
{
  if (sim->verdict.kind == VERDICT_ACCEPTED)
    return;
  fprintf (stderr, "the fleet rejected a record (%s): %s\n", what, sim->verdict.reason);
  abort ();
}

/* Appends one record as a log entry of its own. */
static void
sim_apply (struct sim_fleet *sim, Sp__Record *record)
{
  uint64_t id[2] = { 1, sim->offset + 1 };

  record->id.data = (uint8_t *) id;
  record->id.len = sizeof id;
  record->author = (char *) "sim";
  record->seen_offset = sim->offset;
  record->time_ms = (uint64_t) sim->now_ms;
  sim->offset++;
  fleet_apply (sim->fleet, sim->offset, 0, record, &sim->verdict);
  fleet_entry_end (sim->fleet, sim->offset);
  record->id = (ProtobufCBinaryData){ 0, NULL };
}

/* Appends one declaration. */
static void
sim_declare (struct sim_fleet *sim, Sp__Declaration *declaration)
{
  Sp__Record record = SP__RECORD__INIT;
  Sp__DeclarationSet set = SP__DECLARATION_SET__INIT;

  set.n_declarations = 1;
  set.declarations = &declaration;
  record.body_case = SP__RECORD__BODY_DECLARE;
  record.declare = &set;
  sim_apply (sim, &record);
  sim_require_accepted (sim, "declaration");
}

/* Declares a pool and, unless permille is 0, a service on it. */
static void
sim_declare_pool (struct sim_fleet *sim, const char *name, uint32_t target, const char *spare,
                  uint32_t permille)
{
  g_autofree char *service_name = g_strdup_printf ("s-%s", name);
  Sp__Declaration declaration = SP__DECLARATION__INIT;
  Sp__Pool pool = SP__POOL__INIT;
  Sp__Service service = SP__SERVICE__INIT;

  pool.name = (char *) name;
  pool.host_class = (char *) "c";
  pool.capacity_target = target;
  pool.spare_pool = (char *) spare;
  declaration.kind_case = SP__DECLARATION__KIND_POOL;
  declaration.pool = &pool;
  sim_declare (sim, &declaration);
  if (permille == 0)
    return;
  service.name = service_name;
  service.pool = (char *) name;
  service.deadline_ms = 1000;
  service.availability_permille = permille;
  service.slots_per_worker = 8;
  service.connections_per_worker = 64;
  declaration.kind_case = SP__DECLARATION__KIND_SERVICE;
  declaration.service = &service;
  sim_declare (sim, &declaration);
}

/* Declares the host class and the price list. */
static void
sim_declare_prices (struct sim_fleet *sim, const struct sim_layout *layout)
{
  Sp__Declaration declaration = SP__DECLARATION__INIT;
  Sp__HostClass host_class = SP__HOST_CLASS__INIT;
  Sp__PriceList prices = SP__PRICE_LIST__INIT;
  Sp__Weights weights = SP__WEIGHTS__INIT;

  host_class.name = (char *) "c";
  host_class.processors = 64;
  host_class.memory_gib = 256;
  host_class.price_micros_per_hour = layout->price_micros_per_hour;
  declaration.kind_case = SP__DECLARATION__KIND_HOST_CLASS;
  declaration.host_class = &host_class;
  sim_declare (sim, &declaration);
  weights.buffer_cost = layout->weights[0];
  weights.rollout_time = layout->weights[1];
  weights.moves = layout->weights[2];
  prices.currency = (char *) "EUR";
  prices.move_micros = layout->move_micros;
  prices.discount_permille = layout->discount_permille;
  prices.weights = &weights;
  declaration.kind_case = SP__DECLARATION__KIND_PRICE_LIST;
  declaration.price_list = &prices;
  sim_declare (sim, &declaration);
}

void
sim_report_host (struct sim_fleet *sim, const char *host, const char *pool, const char *rack,
                 const char *data_centre, Sp__HostPresence presence)
{
  Sp__Record record = SP__RECORD__INIT;
  Sp__HostSeen seen = SP__HOST_SEEN__INIT;

  seen.host = (char *) host;
  seen.host_class = (char *) "c";
  seen.pool = (char *) pool;
  seen.rack = (char *) rack;
  seen.data_centre = (char *) data_centre;
  seen.region = (char *) "eu";
  seen.address = (char *) "127.0.0.1";
  seen.port = 9000;
  seen.presence = presence;
  seen.list_version = ++sim->list_version;
  record.body_case = SP__RECORD__BODY_HOST_SEEN;
  record.host_seen = &seen;
  sim_apply (sim, &record);
  sim_require_accepted (sim, host);
}

/* Reports all hosts as present, distributed evenly over the racks. */
static void
sim_place_hosts (struct sim_fleet *sim, const struct sim_layout *layout)
{
  uint32_t n = layout->n_pools * layout->pool_hosts + layout->spare_hosts;
  uint32_t n_racks = (n + HOSTS_PER_RACK - 1) / HOSTS_PER_RACK;

  for (uint32_t i = 0; i < n; i++)
    {
      uint32_t rack = i % n_racks;
      bool spare = i >= layout->n_pools * layout->pool_hosts;
      g_autofree char *pool =
          spare ? g_strdup ("spare") : g_strdup_printf ("p%u", i / layout->pool_hosts);
      g_autofree char *host = g_strdup_printf ("h%05u", i);
      g_autofree char *rack_name = g_strdup_printf ("r%u", rack);
      g_autofree char *data_centre = g_strdup_printf ("dc%u", rack % DATA_CENTRES);

      sim_report_host (sim, host, pool, rack_name, data_centre,
                       SP__HOST_PRESENCE__HOST_PRESENCE_LIVE);
    }
}

/* Acquires the executor's claim. */
static void
sim_claim (struct sim_fleet *sim)
{
  Sp__Record record = SP__RECORD__INIT;
  Sp__Claim claim = SP__CLAIM__INIT;

  claim.holder = (char *) "sim";
  claim.duration_ms = CLAIM_MS;
  record.body_case = SP__RECORD__BODY_CLAIM;
  record.claim = &claim;
  sim_apply (sim, &record);
  sim_require_accepted (sim, "claim");
  sim->term = fleet_claim (sim->fleet)->term;
}

void
sim_fleet_init (struct sim_fleet *sim, const struct sim_layout *layout, int64_t now_ms)
{
  memset (sim, 0, sizeof *sim);
  sim->fleet = fleet_create ();
  sim->now_ms = now_ms;
  sim_declare_prices (sim, layout);
  sim_place_hosts (sim, layout);
  sim_declare_pool (sim, "spare", layout->spare_hosts, "", layout->spare_permille);
  for (uint32_t i = 0; i < layout->n_pools; i++)
    {
      g_autofree char *name = g_strdup_printf ("p%u", i);

      sim_declare_pool (sim, name, layout->pool_hosts, "spare", layout->permille);
    }
  sim_claim (sim);
}

void
sim_fleet_clear (struct sim_fleet *sim)
{
  fleet_destroy (sim->fleet);
}

void
sim_report_usage (struct sim_fleet *sim, const char *host, const char *pool, int64_t from_ms,
                  int64_t to_ms)
{
  Sp__Record record = SP__RECORD__INIT;
  Sp__UsageReport usage = SP__USAGE_REPORT__INIT;

  usage.host = (char *) host;
  usage.pool = (char *) pool;
  usage.from_ms = (uint64_t) from_ms;
  usage.to_ms = (uint64_t) to_ms;
  usage.busy_permille = 500;
  record.body_case = SP__RECORD__BODY_USAGE;
  record.usage = &usage;
  sim_apply (sim, &record);
}

void
sim_invoice (struct sim_fleet *sim, const char *pool, const char *month, uint64_t micros)
{
  Sp__Record record = SP__RECORD__INIT;
  Sp__InvoiceLine line = SP__INVOICE_LINE__INIT;

  line.pool = (char *) pool;
  line.host_class = (char *) "c";
  line.month = (char *) month;
  line.amount_micros = micros;
  record.body_case = SP__RECORD__BODY_INVOICE;
  record.invoice = &line;
  sim_apply (sim, &record);
  sim_require_accepted (sim, "invoice");
}

bool
sim_propose (struct sim_fleet *sim, const Sp__Plan *plan)
{
  Sp__Record record = SP__RECORD__INIT;
  Sp__PlanPropose propose = SP__PLAN_PROPOSE__INIT;

  propose.plan = (Sp__Plan *) plan;
  record.body_case = SP__RECORD__BODY_PROPOSE;
  record.propose = &propose;
  sim_apply (sim, &record);
  return sim->verdict.kind == VERDICT_ACCEPTED;
}

bool
sim_confirm (struct sim_fleet *sim, const Sp__Plan *plan)
{
  Sp__Record record = SP__RECORD__INIT;
  Sp__PlanConfirm confirm = SP__PLAN_CONFIRM__INIT;

  confirm.plan_id = plan->id;
  confirm.revision = plan->revision;
  record.body_case = SP__RECORD__BODY_CONFIRM;
  record.confirm = &confirm;
  sim_apply (sim, &record);
  return sim->verdict.kind == VERDICT_ACCEPTED;
}

/* Appends one host step record. */
static void
sim_record_step (struct sim_fleet *sim, const Sp__Plan *plan, const char *host,
                 Sp__HostStepKind kind)
{
  Sp__Record record = SP__RECORD__INIT;
  Sp__HostStep step = SP__HOST_STEP__INIT;

  step.kind = kind;
  step.host = (char *) host;
  step.plan_id = plan->id;
  step.term = sim->term;
  record.body_case = SP__RECORD__BODY_HOST_STEP;
  record.host_step = &step;
  sim_apply (sim, &record);
  sim_require_accepted (sim, host);
}

/* Starts a step: the host is drained and then leaves its pool or reboots. */
static void
sim_step_begin (struct sim_fleet *sim, const Sp__Plan *plan, const Sp__PlanStep *step)
{
  bool move = step->kind == SP__STEP_KIND__STEP_KIND_MOVE;

  sim_record_step (sim, plan, step->host, SP__HOST_STEP_KIND__HOST_STEP_KIND_LEAVING);
  sim_record_step (sim, plan, step->host, SP__HOST_STEP_KIND__HOST_STEP_KIND_DRAINED);
  sim_record_step (sim, plan, step->host,
                   move ? SP__HOST_STEP_KIND__HOST_STEP_KIND_LEFT
                        : SP__HOST_STEP_KIND__HOST_STEP_KIND_REBOOTED);
}

/* Ends a step: the host joins its new pool or serves again. */
static void
sim_step_end (struct sim_fleet *sim, const Sp__Plan *plan, const Sp__PlanStep *step)
{
  bool move = step->kind == SP__STEP_KIND__STEP_KIND_MOVE;

  sim_record_step (sim, plan, step->host,
                   move ? SP__HOST_STEP_KIND__HOST_STEP_KIND_BELONGS
                        : SP__HOST_STEP_KIND__HOST_STEP_KIND_SERVING);
}

/* Appends the records of all steps that end or start at a given time, ends first. Returns the time
 * of the next start or end, or UINT64_MAX. */
static uint64_t
sim_execute_plan_at (struct sim_fleet *sim, const Sp__Plan *plan, uint64_t at_ms)
{
  uint64_t next_ms = UINT64_MAX;

  for (size_t i = 0; i < plan->n_steps; i++)
    {
      const Sp__PlanStep *step = plan->steps[i];

      if (step->end_ms == at_ms)
        sim_step_end (sim, plan, step);
      if (step->end_ms > at_ms)
        next_ms = MIN (next_ms, step->end_ms);
      if (step->start_ms > at_ms)
        next_ms = MIN (next_ms, step->start_ms);
    }
  for (size_t i = 0; i < plan->n_steps; i++)
    {
      if (plan->steps[i]->start_ms == at_ms)
        sim_step_begin (sim, plan, plan->steps[i]);
    }
  return next_ms;
}

void
sim_execute_plan (struct sim_fleet *sim, const Sp__Plan *plan, void (*on_step) (void *ctx),
                  void *ctx)
{
  int64_t start_ms = sim->now_ms;
  uint64_t at_ms = 0;

  while (at_ms != UINT64_MAX)
    {
      sim->now_ms = start_ms + (int64_t) at_ms;
      at_ms = sim_execute_plan_at (sim, plan, at_ms);
      if (on_step)
        on_step (ctx);
    }
}

void
sim_move (struct sim_fleet *sim, const char *id, const char *host, const char *from, const char *to)
{
  const struct pool *pool = fleet_find_pool (sim->fleet, to);
  Sp__CapacityIntent capacity = SP__CAPACITY_INTENT__INIT;
  Sp__Intent intent = SP__INTENT__INIT;
  Sp__PlanStep step = SP__PLAN_STEP__INIT;
  Sp__PlanStep *steps[] = { &step };
  Sp__Plan plan = SP__PLAN__INIT;

  capacity.pool = (char *) to;
  capacity.capacity_target = pool->capacity_target;
  intent.kind_case = SP__INTENT__KIND_CAPACITY;
  intent.capacity = &capacity;
  step.host = (char *) host;
  step.from_pool = (char *) from;
  step.to_pool = (char *) to;
  plan.id = (char *) id;
  plan.revision = 1;
  plan.intent = &intent;
  plan.n_steps = 1;
  plan.steps = steps;
  if (!sim_propose (sim, &plan) || !sim_confirm (sim, &plan))
    sim_require_accepted (sim, id);
  sim_step_begin (sim, &plan, &step);
  sim_step_end (sim, &plan, &step);
}
