#include <glib.h>
#include <stdio.h>

#include "cli/command.h"
#include "cli/text.h"

/* Prints one line per plan. */
static void
plans_print (const json_t *answer)
{
  const json_t *plan;
  size_t i;

  json_array_foreach (json_object_get (answer, "plans"), i, plan)
    {
      printf ("%-20s revision %lld  %-10s moves %lld  by %s\n", text_of (plan, "id"),
              (long long) number_of (plan, "revision"), text_of (plan, "state"),
              (long long) number_of (plan, "moves"), text_of (plan, "author"));
    }
}

/* Shows all plans, or one of them in full. */
enum exit_code
command_plans (const struct command_context *context)
{
  g_autofree char *path = NULL;

  if (context->n_words == 0)
    return command_call (context, "GET", "/v1/plans", NULL, plans_print);
  path = g_strdup_printf ("/v1/plans/%s", context->words[0]);
  return command_call (context, "GET", path, NULL, text_print_plan);
}
