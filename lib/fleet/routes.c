#include "state.h"

#include <string.h>

/* The route table for the entryds, derived from the state. */

/* Returns whether the host is in the route table. A host that gets no new requests stays in it,
 * marked as leaving, while requests that were already sent to it may still reach it. */
static bool
is_reachable (const struct host *host)
{
  return host->presence != SP__HOST_PRESENCE__HOST_PRESENCE_GONE && host->state != HOST_LEFT &&
         host->state != HOST_REBOOTED;
}

/* Builds the table's entry for a host. */
static Sp__RouteWorker *
make_worker (const struct host *host)
{
  Sp__RouteWorker *worker = g_new0 (Sp__RouteWorker, 1);

  sp__route_worker__init (worker);
  worker->host = g_strdup (host->name);
  worker->address = g_strdup (host->address);
  worker->port = host->port;
  worker->rack = g_strdup (host->rack);
  worker->data_centre = g_strdup (host->data_centre);
  worker->leaving = !host_serves (host);
  return worker;
}

/* Builds the table's entry for a service. */
static Sp__RouteService *
make_service (const struct service *service)
{
  Sp__RouteService *route = g_new0 (Sp__RouteService, 1);
  const struct host *host;

  sp__route_service__init (route);
  route->name = g_strdup (service->name);
  route->traffic_class = service->traffic_class;
  route->deadline_ms = service->deadline_ms;
  route->slots_per_worker = service->slots_per_worker;
  route->connections_per_worker = service->connections_per_worker;
  route->workers = g_new0 (Sp__RouteWorker *, service->pool->n_hosts);
  LIST_FOREACH (host, &service->pool->hosts, pool_link)
    if (is_reachable (host))
      route->workers[route->n_workers++] = make_worker (host);
  return route;
}

/* Builds the route table of all services at the current offset. */
Sp__RouteTable *
fleet_routes (const struct fleet *fleet)
{
  Sp__RouteTable *table = g_new0 (Sp__RouteTable, 1);
  const struct service *service;

  sp__route_table__init (table);
  table->offset = fleet->offset;
  table->services = g_new0 (Sp__RouteService *, g_hash_table_size (fleet->services_by_name));
  LIST_FOREACH (service, &fleet->services, link)
    table->services[table->n_services++] = make_service (service);
  return table;
}
