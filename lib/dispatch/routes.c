#include "lib/dispatch/routes.h"

#include <string.h>

enum
{
  DEFAULT_DEADLINE_MS = 10000,
  DEFAULT_SLOTS = 8,
  DEFAULT_CONNECTIONS = 64,
};

/* Initializes an empty route table. */
void
routes_init (struct routes *routes)
{
  *routes = (struct routes){ 0 };
  LIST_INIT (&routes->routes);
  LIST_INIT (&routes->groups);
}

/* Frees a worker without running attempts. */
static void
worker_destroy (struct worker *worker)
{
  slot_pool_leave (&worker->slot_state);
  LIST_REMOVE (worker, link);
  g_free (worker->host);
  g_free (worker->address);
  g_free (worker->rack);
  g_free (worker->data_centre);
  g_free (worker);
}

/* Frees a route without requests. */
static void
route_destroy (struct route *route)
{
  LIST_REMOVE (route, link);
  if (route->group)
    LIST_REMOVE (route, group_link);
  g_free (route->name);
  g_free (route);
}

/* Frees a group without routes and workers. */
static void
group_destroy (struct worker_group *group)
{
  while (!LIST_EMPTY (&group->pools))
    {
      struct slot_pool *pool = LIST_FIRST (&group->pools);

      LIST_REMOVE (pool, link);
      slot_pool_destroy (pool);
    }
  LIST_REMOVE (group, link);
  g_free (group->name);
  g_free (group);
}

/* Frees all routes, groups and workers, even if requests are running. */
void
routes_clear (struct routes *routes)
{
  while (!LIST_EMPTY (&routes->routes))
    route_destroy (LIST_FIRST (&routes->routes));
  while (!LIST_EMPTY (&routes->groups))
    {
      struct worker_group *group = LIST_FIRST (&routes->groups);

      while (!LIST_EMPTY (&group->workers))
        worker_destroy (LIST_FIRST (&group->workers)); /* NOLINT(clang-analyzer-unix.Malloc) */
      group_destroy (group);
    }
}

/* Returns a service's route, or NULL. */
struct route *
routes_find (const struct routes *routes, const char *service)
{
  struct route *route;

  LIST_FOREACH (route, &routes->routes, link)
    if (!route->gone && strcmp (route->name, service) == 0)
      return route;
  return NULL;
}

/* Returns a host's worker in the current table, or NULL. */
struct worker *
group_find_worker (const struct worker_group *group, const char *host)
{
  struct worker *worker;

  LIST_FOREACH (worker, &group->workers, link)
    if (!worker->gone && strcmp (worker->host, host) == 0)
      return worker;
  return NULL;
}

/* Returns the group with that name; creates it if there is none. */
static struct worker_group *
routes_get_group (struct routes *routes, const char *name)
{
  struct worker_group *group;

  LIST_FOREACH (group, &routes->groups, link)
    if (strcmp (group->name, name) == 0)
      return group;
  group = g_new0 (struct worker_group, 1);
  group->name = g_strdup (name);
  LIST_INIT (&group->workers);
  LIST_INIT (&group->routes);
  LIST_INIT (&group->pools);
  LIST_INSERT_HEAD (&routes->groups, group, link);
  return group;
}

/* Returns the root of an element in a union-find forest. */
static size_t
union_find_root (const size_t *parents, size_t i)
{
  while (parents[i] != i)
    i = parents[i];
  return i;
}

/* Finds which services share workers, that is, have workers on the same host. Returns a union-find
 * forest; each root has the lowest service name of its group. */
static size_t *
table_find_groups (const Sp__RouteTable *table)
{
  size_t *parents = g_new (size_t, table->n_services + 1);
  /* Maps each host to 1 + the index of the first service with a worker there. */
  g_autoptr (GHashTable) owners = g_hash_table_new (g_str_hash, g_str_equal);

  for (size_t i = 0; i < table->n_services; i++)
    {
      const Sp__RouteService *service = table->services[i];

      parents[i] = i;
      for (size_t j = 0; j < service->n_workers; j++)
        {
          gpointer owner = g_hash_table_lookup (owners, service->workers[j]->host);
          size_t a = union_find_root (parents, i);
          size_t b = owner ? union_find_root (parents, GPOINTER_TO_SIZE (owner) - 1) : a;
          bool a_first = strcmp (table->services[a]->name, table->services[b]->name) < 0;

          parents[a_first ? b : a] = a_first ? a : b;
          if (!owner)
            g_hash_table_insert (owners, service->workers[j]->host, GSIZE_TO_POINTER (i + 1));
        }
    }
  return parents;
}

/* Returns whether a worker has the address and port of a table row. */
static bool
worker_matches_row (const struct worker *worker, const Sp__RouteWorker *row)
{
  return worker->port == row->port && strcmp (worker->address, row->address) == 0;
}

/* Adds or updates the worker of one table row. */
static void
group_set_worker (struct worker_group *group, const Sp__RouteService *service,
                  const Sp__RouteWorker *row)
{
  struct worker *worker;

  LIST_FOREACH (worker, &group->workers, link)
    if (strcmp (worker->host, row->host) == 0 && worker_matches_row (worker, row))
      break;
  if (!worker)
    {
      worker = g_new0 (struct worker, 1);
      worker->group = group;
      worker->host = g_strdup (row->host);
      worker->address = g_strdup (row->address);
      worker->rack = g_strdup (row->rack);
      worker->data_centre = g_strdup (row->data_centre);
      worker->port = (uint16_t) row->port;
      LIST_INSERT_HEAD (&group->workers, worker, link);
    }
  worker->gone = false;
  worker->leaving = row->leaving;
  worker->n_slots = service->slots_per_worker ? service->slots_per_worker : DEFAULT_SLOTS;
  worker->connections =
      service->connections_per_worker ? service->connections_per_worker : DEFAULT_CONNECTIONS;
}

/* Adds or updates a service's route and assigns it to a group. */
static void
routes_set_service (struct routes *routes, const Sp__RouteService *service,
                    struct worker_group *group, int64_t now_ms)
{
  struct route *route;

  LIST_FOREACH (route, &routes->routes, link)
    if (strcmp (route->name, service->name) == 0)
      break;
  if (!route)
    {
      route = g_new0 (struct route, 1);
      route->name = g_strdup (service->name);
      request_queue_init (&route->queue);
      drain_rate_init (&route->drain_rate, now_ms);
      retry_budget_init (&route->budget);
      LIST_INSERT_HEAD (&routes->routes, route, link);
    }
  if (route->group)
    LIST_REMOVE (route, group_link);
  route->group = group;
  LIST_INSERT_HEAD (&group->routes, route, group_link);
  route->gone = false;
  route->traffic_class = service->traffic_class;
  route->deadline_ms = service->deadline_ms ? service->deadline_ms : DEFAULT_DEADLINE_MS;
  for (size_t i = 0; i < service->n_workers; i++)
    group_set_worker (group, service, service->workers[i]);
}

/* Marks all routes and workers as gone; those in the new table are unmarked afterwards. */
static void
routes_mark_gone (struct routes *routes)
{
  struct worker_group *group;
  struct worker *worker;
  struct route *route;

  LIST_FOREACH (route, &routes->routes, link)
    route->gone = true;
  LIST_FOREACH (group, &routes->groups, link)
    LIST_FOREACH (worker, &group->workers, link)
      worker->gone = true;
}

/* Counts the group's workers in the current table. */
void
group_count_workers (struct worker_group *group)
{
  const struct worker *worker;

  group->n_workers = 0;
  group->n_serving = 0;
  /* The analyzer does not follow LIST_REMOVE. */
  LIST_FOREACH (worker, &group->workers, link)
    {
      if (worker->gone) /* NOLINT(clang-analyzer-unix.Malloc) */
        continue;
      group->n_workers++;
      if (!worker->leaving)
        group->n_serving++;
    }
}

/* Frees a group's workers that are gone and run no attempt. */
static void
group_sweep (struct worker_group *group)
{
  struct worker *worker = LIST_FIRST (&group->workers);

  while (worker)
    {
      struct worker *next = LIST_NEXT (worker, link);

      if (worker->gone && worker->running == 0)
        worker_destroy (worker);
      worker = next;
    }
  group_count_workers (group);
}

/* Frees what is gone and no longer in use. Returns whether a group was freed. */
bool
routes_sweep (struct routes *routes)
{
  bool freed = false;
  struct route *route = LIST_FIRST (&routes->routes);
  struct worker_group *group = LIST_FIRST (&routes->groups);

  while (route)
    {
      struct route *next = LIST_NEXT (route, link);

      if (route->gone && route->n_requests == 0)
        route_destroy (route);
      route = next;
    }
  while (group)
    {
      struct worker_group *next = LIST_NEXT (group, link);

      group_sweep (group);
      if (LIST_EMPTY (&group->workers) && LIST_EMPTY (&group->routes))
        {
          group_destroy (group);
          freed = true;
        }
      group = next;
    }
  return freed;
}

/* Installs a table unless its offset is lower than that of the current one. Returns whether it was
 * installed. */
bool
routes_set (struct routes *routes, const Sp__RouteTable *table, int64_t now_ms)
{
  size_t *parents;

  if (routes->known && table->offset < routes->offset)
    return false;
  routes->known = true;
  routes->offset = table->offset;
  parents = table_find_groups (table);
  routes_mark_gone (routes);
  for (size_t i = 0; i < table->n_services; i++)
    {
      const char *name = table->services[union_find_root (parents, i)]->name;

      routes_set_service (routes, table->services[i], routes_get_group (routes, name), now_ms);
    }
  g_free (parents);
  routes_sweep (routes);
  return true;
}
