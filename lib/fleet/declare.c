#include "state.h"

#include <string.h>

/* Declarations by operators. A set is applied completely or not at all: all of it is checked first,
 * against the state and against the other declarations of the set. */

enum
{
  PERMILLE = 1000,
  MAX_SLOTS_PER_WORKER = 1024,
  MAX_CONNECTIONS_PER_WORKER = 65536,
};

/* Names that the set declares: host classes, pools, and (in seen) "KIND NAME" of each declaration
 * checked so far. */
struct set_names
{
  GHashTable *classes;
  GHashTable *pools;
  GHashTable *seen;
};

/* Adds a pool without hosts that no operator has declared. */
struct pool *
pool_create (struct fleet *fleet, const char *name, const char *host_class)
{
  struct pool *pool = g_new0 (struct pool, 1);

  pool->name = g_strdup (name);
  pool->host_class = g_strdup (host_class);
  pool->spare_pool = g_strdup ("");
  LIST_INIT (&pool->hosts);
  LIST_INIT (&pool->stepping);
  LIST_INSERT_HEAD (&fleet->pools, pool, link);
  g_hash_table_insert (fleet->pools_by_name, pool->name, pool);
  return pool;
}

/* Adds a service to a pool. */
struct service *
service_create (struct fleet *fleet, const char *name, struct pool *pool)
{
  struct service *service = g_new0 (struct service, 1);

  service->name = g_strdup (name);
  service->pool = pool;
  LIST_INSERT_HEAD (&fleet->services, service, link);
  g_hash_table_insert (fleet->services_by_name, service->name, service);
  return service;
}

void
class_entry_free (void *entry)
{
  struct class_entry *class = entry;

  sp__host_class__free_unpacked (class->message, NULL);
  g_free (class->changed.author);
  g_free (class);
}

void
team_entry_free (void *entry)
{
  struct team_entry *team = entry;

  sp__team__free_unpacked (team->message, NULL);
  g_free (team->changed.author);
  g_free (team);
}

/* Copies a message by packing and unpacking it. Free with protobuf_c_message_free_unpacked. */
static void *
message_copy (const ProtobufCMessage *message)
{
  size_t size = protobuf_c_message_get_packed_size (message);
  uint8_t *bytes = g_malloc (size + 1);
  ProtobufCMessage *copy;

  protobuf_c_message_pack (message, bytes);
  copy = protobuf_c_message_unpack (message->descriptor, NULL, size, bytes);
  g_assert (copy);
  g_free (bytes);
  return copy;
}

/* Returns whether two messages of the same type have the same packed form. */
static bool
message_equal (const ProtobufCMessage *a, const ProtobufCMessage *b)
{
  size_t size = protobuf_c_message_get_packed_size (a);
  uint8_t *bytes;
  bool equal;

  if (size != protobuf_c_message_get_packed_size (b))
    return false;
  bytes = g_malloc (2 * size + 1);
  protobuf_c_message_pack (a, bytes);
  protobuf_c_message_pack (b, bytes + size);
  equal = memcmp (bytes, bytes + size, size) == 0;
  g_free (bytes);
  return equal;
}

/* Checks that the name is valid and that the set declares it only once. */
static bool
check_name (struct set_names *names, const char *kind, const char *name, struct verdict *verdict)
{
  char *key;

  if (!name_is_valid (name))
    {
      verdict_reject (verdict, "%s name \"%.40s\" is not 1 to %d printable characters", kind, name,
                      FLEET_MAX_NAME_BYTES);
      return false;
    }
  key = g_strconcat (kind, " ", name, NULL);
  if (g_hash_table_add (names->seen, key))
    return true;
  verdict_reject (verdict, "%s %.60s is declared twice in the set", kind, name);
  return false;
}

/* Checks a host class. Classes without processors or memory could not run anything. */
static void
check_class (struct fleet *fleet, const struct record_context *at, const Sp__HostClass *class,
             struct verdict *verdict)
{
  const struct class_entry *entry = g_hash_table_lookup (fleet->classes, class->name);

  if (class->processors == 0)
    verdict_reject (verdict, "host class %.60s: processors is 0", class->name);
  else if (class->memory_gib == 0)
    verdict_reject (verdict, "host class %.60s: memory_gib is 0", class->name);
  else if (entry && !message_equal (&entry->message->base, &class->base))
    change_conflicts (&entry->changed, at->seen_offset, "host class", class->name, verdict);
}

/* Returns whether the pool exists or is declared by the set. */
static bool
pool_is_known (const struct fleet *fleet, const struct set_names *names, const char *pool)
{
  return fleet_find_pool (fleet, pool) || g_hash_table_contains (names->pools, pool);
}

/* Returns whether the declaration matches the pool's current fields. */
static bool
pool_is_same (const struct pool *pool, const Sp__Pool *declared)
{
  return pool->declared && strcmp (pool->host_class, declared->host_class) == 0 &&
         strcmp (pool->spare_pool, declared->spare_pool) == 0 &&
         pool->capacity_target == declared->capacity_target;
}

/* Checks a pool's declaration against the state and the rest of the set. A declared capacity target
 * can only be changed by a plan. */
static void
check_pool (struct fleet *fleet, const struct record_context *at, const struct set_names *names,
            const Sp__Pool *declared, struct verdict *verdict)
{
  const struct pool *pool = fleet_find_pool (fleet, declared->name);
  uint32_t n_hosts = pool ? pool->n_hosts : 0;

  if (!fleet_find_class (fleet, declared->host_class) &&
      !g_hash_table_contains (names->classes, declared->host_class))
    verdict_reject (verdict, "pool %.60s: host class \"%.60s\" is not declared", declared->name,
                    declared->host_class);
  else if (declared->spare_pool[0] && !pool_is_known (fleet, names, declared->spare_pool))
    verdict_reject (verdict, "pool %.60s: spare pool \"%.60s\" is not declared", declared->name,
                    declared->spare_pool);
  else if (strcmp (declared->spare_pool, declared->name) == 0)
    verdict_reject (verdict, "pool %.60s is its own spare pool", declared->name);
  else if (pool && pool_is_same (pool, declared))
    return;
  else if (pool && pool->declared && pool->capacity_target != declared->capacity_target)
    verdict_reject (verdict,
                    "pool %.60s: capacity target is %u, not %u; use plan with a capacity intent",
                    declared->name, pool->capacity_target, declared->capacity_target);
  else if ((!pool || !pool->declared) && declared->capacity_target > n_hosts)
    verdict_reject (verdict, "pool %.60s: capacity target %u is above its %u hosts", declared->name,
                    declared->capacity_target, n_hosts);
  else if (pool)
    change_conflicts (&pool->declaration, at->seen_offset, "pool", declared->name, verdict);
}

/* Returns whether the declaration matches the service's current fields. */
static bool
service_is_same (const struct service *service, const Sp__Service *declared)
{
  return strcmp (service->pool->name, declared->pool) == 0 &&
         service->traffic_class == declared->traffic_class &&
         service->deadline_ms == declared->deadline_ms &&
         service->availability_permille == declared->availability_permille &&
         service->slots_per_worker == declared->slots_per_worker &&
         service->connections_per_worker == declared->connections_per_worker;
}

/* Checks the ranges of a service's fields. Returns the name of the first invalid field, or NULL. */
static const char *
service_bad_field (const Sp__Service *declared)
{
  if (declared->traffic_class > SP__TRAFFIC_CLASS__TRAFFIC_CLASS_NIGHTLY)
    return "traffic_class";
  if (declared->deadline_ms == 0)
    return "deadline_ms";
  if (declared->availability_permille == 0 || declared->availability_permille > PERMILLE)
    return "availability_permille";
  if (declared->slots_per_worker == 0 || declared->slots_per_worker > MAX_SLOTS_PER_WORKER)
    return "slots_per_worker";
  if (declared->connections_per_worker == 0 ||
      declared->connections_per_worker > MAX_CONNECTIONS_PER_WORKER)
    return "connections_per_worker";
  return NULL;
}

/* Checks a service's declaration against the state and the rest of the set. The availability of an
 * existing service can only be changed by a plan. */
static void
check_service (struct fleet *fleet, const struct record_context *at, const struct set_names *names,
               const Sp__Service *declared, struct verdict *verdict)
{
  const struct service *service = fleet_find_service (fleet, declared->name);
  const char *field = service_bad_field (declared);

  if (field)
    verdict_reject (verdict, "service %.60s: %s is 0 or out of range", declared->name, field);
  else if (!pool_is_known (fleet, names, declared->pool))
    verdict_reject (verdict, "service %.60s: pool \"%.60s\" is not declared", declared->name,
                    declared->pool);
  else if (!service || service_is_same (service, declared))
    return;
  else if (service->availability_permille != declared->availability_permille)
    verdict_reject (
        verdict, "service %.60s: availability is %u, not %u; use plan with a budget intent",
        declared->name, service->availability_permille, declared->availability_permille);
  else
    change_conflicts (&service->changed, at->seen_offset, "service", declared->name, verdict);
}

/* Checks a team's declaration against the state and the rest of the set. */
static void
check_team (struct fleet *fleet, const struct record_context *at, const struct set_names *names,
            const Sp__Team *declared, struct verdict *verdict)
{
  const struct team_entry *entry = g_hash_table_lookup (fleet->teams, declared->name);

  if (declared->quota_slots == 0)
    verdict_reject (verdict, "team %.60s: quota_slots is 0", declared->name);
  else if (!pool_is_known (fleet, names, declared->pool))
    verdict_reject (verdict, "team %.60s: pool \"%.60s\" is not declared", declared->name,
                    declared->pool);
  else if (entry && !message_equal (&entry->message->base, &declared->base))
    change_conflicts (&entry->changed, at->seen_offset, "team", declared->name, verdict);
}

static void
check_prices (struct fleet *fleet, const struct record_context *at, const Sp__PriceList *prices,
              struct verdict *verdict)
{
  if (!name_is_valid (prices->currency))
    verdict_reject (verdict, "price list: currency is missing");
  else if (prices->discount_permille > PERMILLE)
    verdict_reject (verdict, "price list: discount_permille is above %d", PERMILLE);
  else if (!message_equal (&fleet->prices->base, &prices->base))
    change_conflicts (&fleet->prices_changed, at->seen_offset, "price list", prices->currency,
                      verdict);
}

/* Checks one declaration of a set. */
static void
check_declaration (struct fleet *fleet, const struct record_context *at, struct set_names *names,
                   const Sp__Declaration *declaration, struct verdict *verdict)
{
  switch (declaration->kind_case)
    {
    case SP__DECLARATION__KIND_HOST_CLASS:
      if (check_name (names, "host class", declaration->host_class->name, verdict))
        check_class (fleet, at, declaration->host_class, verdict);
      break;
    case SP__DECLARATION__KIND_POOL:
      if (check_name (names, "pool", declaration->pool->name, verdict))
        check_pool (fleet, at, names, declaration->pool, verdict);
      break;
    case SP__DECLARATION__KIND_SERVICE:
      if (check_name (names, "service", declaration->service->name, verdict))
        check_service (fleet, at, names, declaration->service, verdict);
      break;
    case SP__DECLARATION__KIND_TEAM:
      if (check_name (names, "team", declaration->team->name, verdict))
        check_team (fleet, at, names, declaration->team, verdict);
      break;
    case SP__DECLARATION__KIND_PRICE_LIST:
      if (check_name (names, "price list", "prices", verdict))
        check_prices (fleet, at, declaration->price_list, verdict);
      break;
    default:
      verdict_reject (verdict, "a declaration is of no known kind");
    }
}

/* Checks the whole set. Rejects it with the first reason found. */
static void
check_set (struct fleet *fleet, const struct record_context *at, const Sp__DeclarationSet *set,
           struct verdict *verdict)
{
  struct set_names names = { g_hash_table_new (g_str_hash, g_str_equal),
                             g_hash_table_new (g_str_hash, g_str_equal),
                             g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL) };

  if (set->n_declarations == 0)
    verdict_reject (verdict, "the set declares nothing");
  for (size_t i = 0; i < set->n_declarations; i++)
    {
      const Sp__Declaration *declaration = set->declarations[i];

      if (declaration->kind_case == SP__DECLARATION__KIND_HOST_CLASS)
        g_hash_table_add (names.classes, declaration->host_class->name);
      if (declaration->kind_case == SP__DECLARATION__KIND_POOL)
        g_hash_table_add (names.pools, declaration->pool->name);
    }
  for (size_t i = 0; i < set->n_declarations && verdict->kind == VERDICT_ACCEPTED; i++)
    check_declaration (fleet, at, &names, set->declarations[i], verdict);
  g_hash_table_destroy (names.classes);
  g_hash_table_destroy (names.pools);
  g_hash_table_destroy (names.seen);
}

/* Applies a checked declaration of a host class. */
static void
set_class (struct fleet *fleet, const struct record_context *at, const Sp__HostClass *declared)
{
  const struct class_entry *old = g_hash_table_lookup (fleet->classes, declared->name);
  struct class_entry *entry;

  if (old && message_equal (&old->message->base, &declared->base))
    return;
  entry = g_new0 (struct class_entry, 1);
  entry->message = message_copy (&declared->base);
  change_set (&entry->changed, at);
  g_hash_table_replace (fleet->classes, entry->message->name, entry);
}

/* Applies a checked declaration of a pool. */
static void
set_pool (struct fleet *fleet, const struct record_context *at, const Sp__Pool *declared)
{
  struct pool *pool = fleet_find_pool (fleet, declared->name);

  if (!pool)
    pool = pool_create (fleet, declared->name, declared->host_class);
  if (pool_is_same (pool, declared))
    return;
  g_free (pool->host_class);
  g_free (pool->spare_pool);
  pool->host_class = g_strdup (declared->host_class);
  pool->spare_pool = g_strdup (declared->spare_pool);
  pool->capacity_target = declared->capacity_target;
  pool->declared = true;
  change_set (&pool->declaration, at);
  change_set (&pool->changed, at);
}

/* Applies a checked declaration of a service. Its pool must exist. */
static void
set_service (struct fleet *fleet, const struct record_context *at, const Sp__Service *declared)
{
  struct service *service = fleet_find_service (fleet, declared->name);
  struct pool *pool = fleet_find_pool (fleet, declared->pool);

  g_assert (pool);
  if (!service)
    service = service_create (fleet, declared->name, pool);
  if (service_is_same (service, declared))
    return;
  service->pool = pool;
  service->traffic_class = declared->traffic_class;
  service->deadline_ms = declared->deadline_ms;
  service->availability_permille = declared->availability_permille;
  service->slots_per_worker = declared->slots_per_worker;
  service->connections_per_worker = declared->connections_per_worker;
  change_set (&service->changed, at);
}

/* Applies a checked declaration of a team. */
static void
set_team (struct fleet *fleet, const struct record_context *at, const Sp__Team *declared)
{
  const struct team_entry *old = g_hash_table_lookup (fleet->teams, declared->name);
  struct team_entry *entry;

  if (old && message_equal (&old->message->base, &declared->base))
    return;
  entry = g_new0 (struct team_entry, 1);
  entry->message = message_copy (&declared->base);
  change_set (&entry->changed, at);
  g_hash_table_replace (fleet->teams, entry->message->name, entry);
}

/* Applies a checked price list. */
static void
set_prices (struct fleet *fleet, const struct record_context *at, const Sp__PriceList *declared)
{
  if (message_equal (&fleet->prices->base, &declared->base))
    return;
  sp__price_list__free_unpacked (fleet->prices, NULL);
  fleet->prices = message_copy (&declared->base);
  change_set (&fleet->prices_changed, at);
}

/* Applies the whole set, or rejects it with the first reason found. Services come last, since their
 * pools may be declared later in the set. */
void
declare_apply (struct fleet *fleet, const struct record_context *at, const Sp__DeclarationSet *set,
               struct verdict *verdict)
{
  check_set (fleet, at, set, verdict);
  if (verdict->kind != VERDICT_ACCEPTED)
    return;
  for (size_t i = 0; i < set->n_declarations; i++)
    {
      const Sp__Declaration *declaration = set->declarations[i];

      if (declaration->kind_case == SP__DECLARATION__KIND_HOST_CLASS)
        set_class (fleet, at, declaration->host_class);
      else if (declaration->kind_case == SP__DECLARATION__KIND_POOL)
        set_pool (fleet, at, declaration->pool);
      else if (declaration->kind_case == SP__DECLARATION__KIND_TEAM)
        set_team (fleet, at, declaration->team);
      else if (declaration->kind_case == SP__DECLARATION__KIND_PRICE_LIST)
        set_prices (fleet, at, declaration->price_list);
    }
  for (size_t i = 0; i < set->n_declarations; i++)
    if (set->declarations[i]->kind_case == SP__DECLARATION__KIND_SERVICE)
      set_service (fleet, at, set->declarations[i]->service);
}
