#ifndef SESAMEPICK_LIB_FLEET_FLEET_H
#define SESAMEPICK_LIB_FLEET_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "feed.pb-c.h"
#include "record.pb-c.h"

/* The replicated state of the fleet. Every fleetd reaches the same state by applying the records of
 * the log in order with fleet_apply. The state reads no clock; it uses the time that the author
 * stored in the record. Every decision depends on the records alone. Log offsets start at 1; the
 * empty state has offset 0. */

/* A host's progress in its step of a plan. A move goes from SERVING to LEAVING, DRAINED, LEFT and,
 * in the new pool, SERVING; maintenance goes from SERVING to LEAVING, DRAINED, REBOOTED and
 * SERVING. A step that fails goes to RETURNING, which ends in SERVING or in the removal of the
 * host. */
enum host_state
{
  HOST_SERVING,
  /* Leaving its pool under a plan; gets no new work. */
  HOST_LEAVING,
  HOST_DRAINED,
  /* The platform has removed it from its pool; the fleet still counts it in that pool. */
  HOST_LEFT,
  /* Rebooted for maintenance, not serving yet. */
  HOST_REBOOTED,
  /* Its step failed; the executor is returning it to its pool. */
  HOST_RETURNING,
};

/* The last change of an object: offset and author of the record. */
struct change
{
  uint64_t offset;
  char *author;
};

struct pool;
struct plan;

/* A host on the platform's host list. Once it is removed from the list, fleet_find_host no longer
 * returns it. */
struct host
{
  LIST_ENTRY (host) link;
  LIST_ENTRY (host) pool_link;
  /* Linked into pool->stepping in every state except HOST_SERVING. */
  LIST_ENTRY (host) step_link;
  char *name;
  char *host_class;
  char *rack;
  char *data_centre;
  char *region;
  char *address;
  uint16_t port;
  struct pool *pool;
  enum host_state state;
  Sp__HostPresence presence;
  /* The confirmed plan that holds the host, or NULL, and the index of the host's current step in
   * it. */
  struct plan *plan;
  uint32_t plan_step;
  /* Version of the newest entry of the host list that was applied to the host. */
  uint64_t list_version;
  struct change changed;
  /* Record time of the last completed maintenance and of the last step record. */
  int64_t maintained_ms;
  int64_t stepped_ms;
  /* The end of the period that the platform's usage reports cover so far. */
  int64_t usage_until_ms;
};

LIST_HEAD (host_list, host);

struct pool
{
  LIST_ENTRY (pool) link;
  char *name;
  char *host_class;
  char *spare_pool;
  uint32_t capacity_target;
  /* False if the pool is known only from the host list and no operator has declared it. */
  bool declared;
  struct host_list hosts;
  /* Hosts of the pool that are in a step of a plan, from HOST_LEAVING on. */
  struct host_list stepping;
  uint32_t n_hosts;
  /* Hosts for which host_serves returns true. */
  uint32_t n_serving;
  uint32_t n_stepping;
  /* Last change that invalidates unconfirmed plans on the pool: of its fields or of its set of
   * hosts. */
  struct change changed;
  /* Last change of its fields by an operator. */
  struct change declaration;
};

LIST_HEAD (pool_list, pool);

struct service
{
  LIST_ENTRY (service) link;
  char *name;
  struct pool *pool;
  Sp__TrafficClass traffic_class;
  uint32_t deadline_ms;
  uint32_t availability_permille;
  uint32_t slots_per_worker;
  uint32_t connections_per_worker;
  struct change changed;
};

LIST_HEAD (service_list, service);

enum plan_state
{
  PLAN_PROPOSED,
  PLAN_CONFIRMED,
  PLAN_WITHDRAWN,
  PLAN_DONE,
};

enum step_outcome
{
  STEP_OPEN,
  STEP_DONE,
  /* The step failed. The host was returned to its old pool or, if that failed too, was removed as
   * lost. */
  STEP_ABANDONED,
  /* The host was removed from the platform's list. */
  STEP_GONE,
  /* The plan was withdrawn before the step began. */
  STEP_WITHDRAWN,
};

struct plan
{
  LIST_ENTRY (plan) link;
  TAILQ_ENTRY (plan) ended_link;
  Sp__Plan *message;
  enum plan_state state;
  /* Withdrawn after its confirmation: steps in progress finish, no other step begins. */
  bool stopping;
  /* The log offset of the state that the planner used. */
  uint64_t based_on;
  int64_t confirmed_ms;
  char *author;
  char *confirmed_by;
  /* Last propose, amend, confirm or withdraw record. */
  struct change changed;
  /* Outcome of each step of the message. */
  enum step_outcome *outcomes;
  uint32_t n_ended;
  /* Steps that follow an earlier step of the same host. */
  uint32_t n_chained;
  /* Every step with a lower index has ended. */
  uint32_t first_open;
  /* Offset of the record that ended the plan (withdrawn or done). */
  uint64_t ended_offset;
};

LIST_HEAD (plan_list, plan);

enum verdict_kind
{
  VERDICT_ACCEPTED,
  /* The record, or the same content, was applied before. */
  VERDICT_DUPLICATE,
  VERDICT_REJECTED,
};

/* The outcome of one record, identical on every replica. */
struct verdict
{
  enum verdict_kind kind;
  char reason[200];
};

/* An entry of the audit trail. */
struct audit_entry
{
  STAILQ_ENTRY (audit_entry) link;
  uint64_t offset;
  int64_t time_ms;
  char *author;
  char *what;
  struct verdict verdict;
};

STAILQ_HEAD (audit_list, audit_entry);

/* The claim that decides which fleetd carries out plans: only its holder may. */
struct claim
{
  /* Empty if nobody has claimed yet or the last holder has released the claim. */
  char *holder;
  /* The term identifies the acquisition (record_term of the record that acquired the claim); offset
   * is that of the last acquisition, renewal or release. */
  uint64_t term;
  uint64_t offset;
  uint64_t duration_ms;
  /* Used only by the holder's own process: incarnation distinguishes it from other processes of the
   * same name; sent_ms is the time on its monotonic clock at which it requested the claim. */
  uint64_t incarnation;
  int64_t sent_ms;
};

/* Usage of one pool and host class in one month (such as "2026-12"), and the amount invoiced for
 * it. */
struct usage_month
{
  char month[8];
  char *pool;
  char *host_class;
  /* Host time that the platform reported, the busy part of it, and the time between two consecutive
   * reports of a host that neither covers. */
  uint64_t host_ms;
  uint64_t busy_ms;
  uint64_t gap_ms;
  uint32_t reports;
  /* Time from the end of a report's period to the record that carries it: sum and maximum. */
  uint64_t lag_sum_ms;
  uint64_t lag_max_ms;
  /* Hosts that a plan moved into the pool and out of it, hosts new on the list, and hosts removed
   * from the list. */
  uint32_t moves_in;
  uint32_t moves_out;
  uint32_t arrivals;
  uint32_t failures;
  /* From the platform's invoice. */
  bool invoiced;
  uint64_t invoice_micros;
};

struct fleet;

struct fleet *fleet_create (void);
void fleet_destroy (struct fleet *fleet);

/* Applies one record of the entry at offset; index is the record's position in the entry. Records
 * must be applied in log order. A record that was applied before has no effect and gets
 * VERDICT_DUPLICATE. */
void fleet_apply (struct fleet *fleet, uint64_t offset, uint32_t index, const Sp__Record *record,
                  struct verdict *verdict);
/* Marks the entry at offset as completely applied: fleet_offset then returns offset. */
void fleet_entry_end (struct fleet *fleet, uint64_t offset);
uint64_t fleet_offset (const struct fleet *fleet);

/* Returns whether a record with this id is among the FLEET_MAX_RECORD_IDS most recent ids. */
bool fleet_has_record (const struct fleet *fleet, const void *id, size_t len);

const struct pool_list *fleet_pools (const struct fleet *fleet);
const struct host_list *fleet_hosts (const struct fleet *fleet);
size_t fleet_n_hosts (const struct fleet *fleet);
const struct service_list *fleet_services (const struct fleet *fleet);
const struct plan_list *fleet_plans (const struct fleet *fleet);
const struct audit_list *fleet_audit (const struct fleet *fleet);
const struct claim *fleet_claim (const struct fleet *fleet);
struct host *fleet_find_host (const struct fleet *fleet, const char *name);
struct pool *fleet_find_pool (const struct fleet *fleet, const char *name);
struct service *fleet_find_service (const struct fleet *fleet, const char *name);
struct plan *fleet_find_plan (const struct fleet *fleet, const char *id);
const Sp__HostClass *fleet_find_class (const struct fleet *fleet, const char *name);
const Sp__Team *fleet_find_team (const struct fleet *fleet, const char *name);
/* Never returns NULL; without a declared price list all fields have their defaults. */
const Sp__PriceList *fleet_prices (const struct fleet *fleet);

/* Returns whether the host counts towards the availability budget of its pool: it is live and in no
 * step. */
bool host_serves (const struct host *host);
/* Returns the number of hosts of the pool that must serve at all times: the highest availability
 * budget among its services, applied to the pool's capacity target. */
uint32_t pool_min_serving (const struct fleet *fleet, const struct pool *pool);
/* Returns whether the plan is confirmed and has not ended. Such a plan has open steps and holds
 * their hosts. */
bool plan_is_active (const struct plan *plan);

/* Writes the month of a time in UTC, such as "2026-12". */
void usage_month_name (int64_t wall_ms, char month[8]);
/* Returns NULL if there is no usage. */
const struct usage_month *fleet_find_usage (const struct fleet *fleet, const char *pool,
                                            const char *host_class, const char *month);
/* Calls visit for the usage of each pool and class in a month (NULL: in all months), in no
 * particular order. */
void fleet_visit_usage (const struct fleet *fleet, const char *month,
                        void (*visit) (const struct usage_month *usage, void *ctx), void *ctx);

/* Returns the route table for the entryds. Free with sp__route_table__free_unpacked (table,
 * NULL). */
Sp__RouteTable *fleet_routes (const struct fleet *fleet);

/* Serializes the whole state. Replicas at the same offset return the same bytes. Call it only
 * between entries. Free with g_byte_array_unref. */
GByteArray *fleet_save (const struct fleet *fleet);
/* Returns NULL if the bytes are incomplete or corrupt. */
struct fleet *fleet_load (const void *data, size_t len);
/* Returns a 64-bit hash of the bytes that fleet_save returns. */
uint64_t fleet_digest (const struct fleet *fleet);
/* Aborts the process if an invariant is broken, such as wrong counts, a host that is in a step
 * without a plan, or an open step whose host another plan holds. */
void fleet_check (const struct fleet *fleet);

#endif
