#include <stdio.h>

#include "cli/command.h"
#include "cli/text.h"

/* Prints one line per pool, then per service and per host. */
static void
status_print (const json_t *answer)
{
  const json_t *claim = json_object_get (answer, "claim");
  const json_t *item;
  size_t i;

  printf ("offset %lld, log %s, executor %s\n", (long long) number_of (answer, "offset"),
          text_of (answer, "log"), claim ? text_of (claim, "holder") : "none");
  json_array_foreach (json_object_get (answer, "pools"), i, item)
    {
      printf ("pool %-16s target %lld, hosts %lld, serving %lld\n", text_of (item, "name"),
              (long long) number_of (item, "capacity_target"),
              (long long) number_of (item, "hosts"), (long long) number_of (item, "serving"));
    }
  json_array_foreach (json_object_get (answer, "services"), i, item)
    {
      printf ("service %-13s pool %s, serving %lld, needs %lld\n", text_of (item, "name"),
              text_of (item, "pool"), (long long) number_of (item, "serving"),
              (long long) number_of (item, "serving_needed"));
    }
  json_array_foreach (json_object_get (answer, "hosts"), i, item)
    {
      printf ("host %-16s pool %-12s %-8s rack %s %s\n", text_of (item, "name"),
              text_of (item, "pool"), text_of (item, "state"), text_of (item, "rack"),
              text_of (item, "plan"));
    }
}

/* Shows the state of the fleet. */
enum exit_code
command_status (const struct command_context *context)
{
  return command_call (context, "GET", "/v1/status", NULL, status_print);
}
