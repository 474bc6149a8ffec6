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

  printf ("offset %lld, log %s, executor %s\n", (long long) json_field_integer (answer, "offset"),
          json_field_string (answer, "log"), claim ? json_field_string (claim, "holder") : "none");
  json_array_foreach (json_object_get (answer, "pools"), i, item)
    {
      printf ("pool %-16s target %lld, hosts %lld, serving %lld\n",
              json_field_string (item, "name"),
              (long long) json_field_integer (item, "capacity_target"),
              (long long) json_field_integer (item, "hosts"),
              (long long) json_field_integer (item, "serving"));
    }
  json_array_foreach (json_object_get (answer, "services"), i, item)
    {
      printf ("service %-13s pool %s, serving %lld, needs %lld\n", json_field_string (item, "name"),
              json_field_string (item, "pool"), (long long) json_field_integer (item, "serving"),
              (long long) json_field_integer (item, "serving_needed"));
    }
  json_array_foreach (json_object_get (answer, "hosts"), i, item)
    {
      printf ("host %-16s pool %-12s %-8s rack %s %s\n", json_field_string (item, "name"),
              json_field_string (item, "pool"), json_field_string (item, "state"),
              json_field_string (item, "rack"), json_field_string (item, "plan"));
    }
}

/* Shows the state of the fleet. */
enum exit_code
command_status (const struct command_context *context)
{
  return command_call (context, "GET", "/v1/status", NULL, status_print);
}
