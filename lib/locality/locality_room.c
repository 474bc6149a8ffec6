#include "lib/locality/locality_room.h"

#include <glib.h>

static int
end_compare (const void *left, const void *right)
{
  const struct locality_end *a = left;
  const struct locality_end *b = right;

  return (a->in_ms > b->in_ms) - (a->in_ms < b->in_ms);
}

/* Returns how many tasks a resource is sufficient for. */
static int64_t
tasks_for (int64_t free, int64_t request)
{
  if (request <= 0)
    return G_MAXINT32;
  return free < 0 ? 0 : free / request;
}

/* Returns how many tasks fit into what is free. */
static int64_t
site_fits (const struct locality_site *site, const struct resources *free,
           const struct resources *request)
{
  int64_t n = MIN (
      tasks_for (free->cpu_milli, request->cpu_milli),
      MIN (tasks_for (free->memory_mb, request->memory_mb), tasks_for (free->gpus, request->gpus)));

  return site->tasks_max > 0 ? MIN (n, site->tasks_max) : n;
}

/* Returns the time until one task fits at a site, or -1. */
static int64_t
site_room_in_ms (const struct locality_site *site, const struct resources *request)
{
  struct resources free = site->free;
  int64_t in_ms = MAX (site->usable_in_ms, 0);

  for (size_t i = 0;; i++)
    {
      if (site_fits (site, &free, request) > 0)
        return in_ms;
      if (i == site->n_ends)
        return -1;
      resources_add (&free, &site->ends[i].released);
      in_ms = MAX (in_ms, site->ends[i].in_ms);
    }
}

/* A moment at which the number of tasks that fit at a site rises. */
struct room_gain
{
  int64_t in_ms;
  int64_t n;
};

static int
gain_compare (const void *left, const void *right)
{
  const struct room_gain *a = left;
  const struct room_gain *b = right;

  return (a->in_ms > b->in_ms) - (a->in_ms < b->in_ms);
}

/* Adds the moments at which the number of tasks that fit at a site rises. */
static void
site_add_gains (const struct locality_site *site, const struct resources *request, GArray *gains)
{
  struct resources free = site->free;
  int64_t before = 0;
  int64_t in_ms = MAX (site->usable_in_ms, 0);

  for (size_t i = 0;; i++)
    {
      int64_t n = site_fits (site, &free, request);
      struct room_gain gain = { .in_ms = in_ms, .n = n - before };

      if (n > before)
        g_array_append_val (gains, gain);
      before = MAX (before, n);
      if (i == site->n_ends)
        return;
      resources_add (&free, &site->ends[i].released);
      in_ms = MAX (in_ms, site->ends[i].in_ms);
    }
}

/* Returns the time until all tasks of a group fit, or -1. */
static int64_t
group_room_in_ms (const struct locality_site *sites, size_t n_sites,
                  const struct resources *request, unsigned n_tasks)
{
  g_autoptr (GArray) gains = g_array_new (FALSE, FALSE, sizeof (struct room_gain));
  int64_t n = 0;

  for (size_t i = 0; i < n_sites; i++)
    site_add_gains (&sites[i], request, gains);
  g_array_sort (gains, gain_compare);
  for (guint i = 0; i < gains->len; i++)
    {
      const struct room_gain *gain = &g_array_index (gains, struct room_gain, i);

      n += gain->n;
      if (n >= n_tasks)
        return gain->in_ms;
    }
  return -1;
}

int64_t
locality_room_in_ms (struct locality_site *sites, size_t n_sites, const struct resources *request,
                     unsigned n_tasks, size_t *chosen)
{
  int64_t best_ms = -1;

  for (size_t i = 0; i < n_sites; i++)
    {
      if (sites[i].n_ends > 0)
        qsort (sites[i].ends, sites[i].n_ends, sizeof sites[i].ends[0], end_compare);
    }
  if (n_tasks > 1)
    return group_room_in_ms (sites, n_sites, request, n_tasks);
  for (size_t i = 0; i < n_sites; i++)
    {
      int64_t in_ms = site_room_in_ms (&sites[i], request);

      if (in_ms < 0 || (best_ms >= 0 && in_ms >= best_ms))
        continue;
      best_ms = in_ms;
      if (chosen)
        *chosen = i;
    }
  return best_ms;
}
