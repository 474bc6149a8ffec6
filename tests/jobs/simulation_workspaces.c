#include "simulation_state.h"

#include <string.h>

/* Workspaces of the simulated cluster, and the check that their caps hold. */

enum
{
  /* What may run beyond a cap, in thousandths. */
  OVERAGE_PERMILLE = 100,
};

void
simulation_set_workspace (struct simulation *simulation, const char *name,
                          const struct resources *cap)
{
  struct workspace_table *table = workspace_table_create ();
  struct workspace changed = { .name = (char *) name, .weight = 1 };

  for (guint i = 0; i < simulation->workspaces->workspaces->len; i++)
    {
      const struct workspace *workspace = g_ptr_array_index (simulation->workspaces->workspaces, i);

      if (strcmp (workspace->name, name) != 0)
        workspace_table_add (table, workspace);
    }
  if (cap)
    {
      struct simulated_cap version = { name, *cap, simulation->now_ms };

      changed.cap = *cap;
      workspace_table_add (table, &changed);
      g_array_append_val (simulation->caps, version);
    }
  simulation_log (simulation, "workspace: name=%s cpu_milli=%" G_GINT64_FORMAT, name,
                  cap ? cap->cpu_milli : -1);
  workspace_table_destroy (simulation->workspaces);
  workspace_table_merge (simulation->all_workspaces, table);
  simulation->workspaces = table;
  if (simulation->scheduler)
    scheduler_set_workspaces (simulation->scheduler, table, SHARE_WINDOW_MS);
}

/* Returns the highest cap under which a start that arrives now may have been decided, as a start
 * may arrive late. A resource without a limit is INT64_MAX. */
static struct resources
simulation_highest_cap (const struct simulation *simulation, const char *name)
{
  int64_t oldest_ms = simulation->now_ms - LATE_MAX_MS - TIMEOUT_MS;
  struct resources highest = { 0 };

  for (guint i = 0; i < simulation->caps->len; i++)
    {
      const struct simulated_cap *version =
          &g_array_index (simulation->caps, struct simulated_cap, i);

      if (strcmp (version->name, name) != 0)
        continue;
      /* A version that was replaced before the oldest start doesn't count. */
      if (version->since_ms <= oldest_ms)
        highest = (struct resources){ 0 };
      highest = resources_max (&highest, &version->cap);
    }
  return highest;
}

/* Adds up what the attempts of a workspace use that are running, stopped ones included until they
 * have ended. */
static struct resources
simulation_workspace_usage (const struct simulation *simulation, const char *name)
{
  struct resources sum = { 0 };

  for (guint i = 0; i < simulation->endpoints->len; i++)
    {
      const struct simulated_endpoint *endpoint = g_ptr_array_index (simulation->endpoints, i);

      for (guint r = 0; endpoint->up && r < endpoint->attempts->len; r++)
        {
          const struct simulated_attempt *attempt = g_ptr_array_index (endpoint->attempts, r);
          const struct task *task = simulation_find_task (simulation, attempt->task);

          if (task && strcmp (task->job->definition->workspace, name) == 0)
            resources_add (&sum, &attempt->request);
        }
    }
  return sum;
}

/* Returns whether an amount exceeds a cap and the overage. A cap of 0 is none. */
static bool
exceeds_cap (int64_t amount, int64_t cap)
{
  return cap > 0 && amount > cap * (PERMILLE + OVERAGE_PERMILLE) / PERMILLE;
}

/* Counts a start before which a workspace already has more running than its cap and the overage. */
void
simulation_check_cap (struct simulation *simulation, const struct event *event)
{
  const struct task *task = simulation_find_task (simulation, event->name);
  const char *name = task ? task->job->definition->workspace : "";
  struct resources cap = simulation_highest_cap (simulation, name);
  struct resources used;

  if (cap.cpu_milli + cap.memory_mb == 0)
    return;
  used = simulation_workspace_usage (simulation, name);
  if (!exceeds_cap (used.cpu_milli, cap.cpu_milli) && !exceeds_cap (used.memory_mb, cap.memory_mb))
    return;
  simulation->over_cap++;
  simulation_log (simulation,
                  "OVER CAP: workspace=%s task=%s attempt=%u cpu_milli=%" G_GINT64_FORMAT
                  " cap=%" G_GINT64_FORMAT " memory_mb=%" G_GINT64_FORMAT " cap=%" G_GINT64_FORMAT
                  " sent=%" G_GINT64_FORMAT,
                  name, event->name, event->attempt, used.cpu_milli, cap.cpu_milli, used.memory_mb,
                  cap.memory_mb, event->sent_ms);
}
