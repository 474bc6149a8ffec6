#include <string.h>

#include "suite.h"
#include "workspace_metrics.h"

enum
{
  WORKSPACES = 40,
  SHOWN = 32,
};

/* Counts the lines with a prefix in the printed metrics. */
static unsigned
count_lines (const struct metrics *metrics, const char *prefix)
{
  GString *text = metrics_print (metrics);
  g_auto (GStrv) lines = g_strsplit (text->str, "\n", -1);
  unsigned n = 0;

  for (char **line = lines; *line; line++)
    n += g_str_has_prefix (*line, prefix);
  g_string_free (text, TRUE);
  return n;
}

/* A deployment with many workspaces doesn't make the metrics grow: the largest weights are shown,
 * the others are summed up. A name can't break the format. */
static void
test_bounded (void)
{
  struct metrics metrics;
  struct workspace_metrics *by_workspace;
  struct workspace_table *table = workspace_table_create ();
  struct workspace_usage *usage = workspace_usage_create ();

  metrics_init (&metrics);
  by_workspace = workspace_metrics_create (&metrics);
  workspace_metrics_choose (by_workspace, table);
  CU_ASSERT_EQUAL (count_lines (&metrics, "sesamepick_jobd_workspace"), 0);
  for (int i = 0; i < WORKSPACES; i++)
    {
      g_autofree char *name = g_strdup_printf ("w\"%d", i);
      struct workspace workspace = { .name = name, .weight = 1 + i };

      workspace_table_add (table, &workspace);
      workspace_usage_account (usage, name)->n_ready = 1;
    }
  workspace_metrics_choose (by_workspace, table);
  workspace_metrics_update (by_workspace, usage->accounts);
  CU_ASSERT_EQUAL (count_lines (&metrics, "sesamepick_jobd_workspace_tasks_ready{"), SHOWN + 1);
  CU_ASSERT_EQUAL (
      count_lines (&metrics, "sesamepick_jobd_workspace_tasks_ready{workspace=\"w\\\"39\"} 1"), 1);
  CU_ASSERT_EQUAL (
      count_lines (&metrics, "sesamepick_jobd_workspace_tasks_ready{workspace=\"other\"} 8"), 1);
  workspace_metrics_destroy (by_workspace);
  CU_ASSERT_EQUAL (count_lines (&metrics, "sesamepick_jobd_workspace"), 0);
  metrics_finish (&metrics);
  workspace_usage_destroy (usage);
  workspace_table_destroy (table);
}

static const struct suite_test tests[] = {
  { "bounded", test_bounded },
};

int
main (void)
{
  return suite_run ("workspace_metrics", tests, sizeof tests / sizeof tests[0]);
}
