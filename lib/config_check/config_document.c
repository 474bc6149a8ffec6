#include "lib/config_check/config_check.h"

#include <stdarg.h>

static void
route_destroy (gpointer data)
{
  struct config_route *route = data;

  g_free (route->host);
  g_free (route->prefix);
  g_free (route->pool);
  g_free (route);
}

static void
pool_destroy (gpointer data)
{
  struct config_pool *pool = data;

  g_free (pool->name);
  g_free (pool);
}

static void
workspace_destroy (gpointer data)
{
  struct config_workspace *workspace = data;

  g_ptr_array_free (workspace->keys, TRUE);
  g_free (workspace->name);
  g_free (workspace);
}

static void
finding_destroy (gpointer data)
{
  struct config_finding *finding = data;

  g_free (finding->text);
  g_free (finding);
}

GPtrArray *
config_findings_create (void)
{
  return g_ptr_array_new_with_free_func (finding_destroy);
}

struct config_document *
config_document_create (void)
{
  struct config_document *document = g_new0 (struct config_document, 1);

  document->routes = g_ptr_array_new_with_free_func (route_destroy);
  document->pools = g_ptr_array_new_with_free_func (pool_destroy);
  document->workspaces = g_ptr_array_new_with_free_func (workspace_destroy);
  document->findings = config_findings_create ();
  return document;
}

/* Frees a document; NULL is allowed. */
void
config_document_destroy (struct config_document *document)
{
  if (!document)
    return;
  g_ptr_array_free (document->routes, TRUE);
  g_ptr_array_free (document->pools, TRUE);
  g_ptr_array_free (document->workspaces, TRUE);
  g_ptr_array_free (document->findings, TRUE);
  g_free (document);
}

struct config_route *
config_document_add_route (struct config_document *document)
{
  struct config_route *route = g_new0 (struct config_route, 1);

  g_ptr_array_add (document->routes, route);
  return route;
}

struct config_pool *
config_document_add_pool (struct config_document *document)
{
  struct config_pool *pool = g_new0 (struct config_pool, 1);

  g_ptr_array_add (document->pools, pool);
  return pool;
}

struct config_workspace *
config_document_add_workspace (struct config_document *document)
{
  struct config_workspace *workspace = g_new0 (struct config_workspace, 1);

  workspace->keys = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (document->workspaces, workspace);
  return workspace;
}

struct config_finding *
config_findings_add (GPtrArray *findings, enum config_finding_kind kind,
                     const struct config_place *place, enum config_member member,
                     const char *format, ...)
{
  struct config_finding *finding = g_new0 (struct config_finding, 1);
  va_list args;

  finding->kind = kind;
  finding->place = *place;
  finding->member = member;
  finding->item = -1;
  va_start (args, format);
  finding->text = g_strdup_vprintf (format, args);
  va_end (args);
  g_ptr_array_add (findings, finding);
  return finding;
}

const char *
config_finding_kind_name (enum config_finding_kind kind)
{
  static const char *const names[] = { "error", "unused",  "contradiction",
                                       "added", "removed", "changed" };

  return names[kind];
}
