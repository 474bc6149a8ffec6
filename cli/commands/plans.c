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
      printf ("%-20s revision %lld  %-10s moves %lld  by %s\n", json_field_string (plan, "id"),
              (long long) json_field_integer (plan, "revision"), json_field_string (plan, "state"),
              (long long) json_field_integer (plan, "moves"), json_field_string (plan, "author"));
    }
}

/* Shows all plans, or one of them in full. */
enum exit_code
command_plans (const struct command_context *context)
{
  g_autofree char *path = NULL;

  if (context->n_operands == 0)
    return command_call (context, "GET", "/v1/plans", NULL, plans_print);
  path = g_strdup_printf ("/v1/plans/%s", context->operands[0]);
  return command_call (context, "GET", path, NULL, text_print_plan);
}
