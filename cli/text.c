#include "cli/text.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MS_PER_S = 1000,
  MS_PER_MIN = 60 * MS_PER_S,
  MS_PER_H = 60 * MS_PER_MIN,
  MS_PER_DAY = 24 * MS_PER_H,
  /* Durations below this are printed in milliseconds. */
  MILLISECONDS_BELOW_MS = 10 * MS_PER_S,
  MICROS_PER_UNIT = 1000000,
  MICROS_PER_CENT = 10000,
};

/* Returns a string field, or "" if it is missing. */
const char *
json_field_string (const json_t *object, const char *field)
{
  const char *text = json_string_value (json_object_get (object, field));

  return text ? text : "";
}

/* Returns an integer field, or 0 if it is missing. */
json_int_t
json_field_integer (const json_t *object, const char *field)
{
  return json_integer_value (json_object_get (object, field));
}

/* Prints an amount, rounded to hundredths of the currency unit. */
void
text_print_money (json_int_t micros)
{
  json_int_t cents = (llabs (micros) + MICROS_PER_CENT / 2) / MICROS_PER_CENT;

  printf ("%s%lld.%02lld", micros < 0 ? "-" : "", (long long) cents / 100, (long long) cents % 100);
}

/* Prints a duration in its two largest units if it is at least a minute, otherwise in seconds or
 * milliseconds. */
void
text_print_duration (json_int_t ms)
{
  if (ms >= MS_PER_DAY)
    printf ("%lld d %lld h", (long long) ms / MS_PER_DAY, (long long) ms % MS_PER_DAY / MS_PER_H);
  else if (ms >= MS_PER_H)
    printf ("%lld h %lld min", (long long) ms / MS_PER_H, (long long) ms % MS_PER_H / MS_PER_MIN);
  else if (ms >= MS_PER_MIN)
    printf ("%lld min %lld s", (long long) ms / MS_PER_MIN, (long long) ms % MS_PER_MIN / MS_PER_S);
  else if (ms >= MILLISECONDS_BELOW_MS)
    printf ("%lld s", (long long) ms / MS_PER_S);
  else
    printf ("%lld ms", (long long) ms);
}

/* Prints one step of a plan. */
static void
text_print_step (const json_t *step)
{
  if (strcmp (json_field_string (step, "kind"), "move") == 0)
    printf ("  move      %-16s %s -> %s", json_field_string (step, "host"),
            json_field_string (step, "from_pool"), json_field_string (step, "to_pool"));
  else
    printf ("  maintain  %-16s in %s", json_field_string (step, "host"),
            json_field_string (step, "from_pool"));
  printf ("  from ");
  text_print_duration (json_field_integer (step, "start_ms"));
  printf (" to ");
  text_print_duration (json_field_integer (step, "end_ms"));
  printf (" after the confirmation\n");
}

/* Prints the intent of a plan. */
static void
text_print_intent (const json_t *intent)
{
  const json_t *capacity = json_object_get (intent, "capacity");
  const json_t *wave = json_object_get (intent, "wave");
  const json_t *budget = json_object_get (intent, "budget");

  if (capacity)
    printf ("capacity target %lld for pool %s\n",
            (long long) json_field_integer (capacity, "capacity_target"),
            json_field_string (capacity, "pool"));
  if (wave)
    printf ("maintenance wave %s over pool %s\n", json_field_string (wave, "name"),
            json_field_string (wave, "pool"));
  if (budget)
    printf ("availability budget %lld permille for service %s\n",
            (long long) json_field_integer (budget, "availability_permille"),
            json_field_string (budget, "service"));
}

/* Prints a plan with its steps and costs. */
void
text_print_plan (const json_t *plan)
{
  const json_t *step;
  size_t i;

  printf ("plan %s, revision %lld", json_field_string (plan, "id"),
          (long long) json_field_integer (plan, "revision"));
  if (json_object_get (plan, "state"))
    printf (", %s", json_field_string (plan, "state"));
  printf (": ");
  text_print_intent (json_object_get (plan, "intent"));
  json_array_foreach (json_object_get (plan, "steps"), i, step)
    {
      text_print_step (step);
    }
  printf ("  moves: %lld, roll-out: ", (long long) json_field_integer (plan, "moves"));
  text_print_duration (json_field_integer (plan, "rollout_ms"));
  printf (", buffer cost: ");
  text_print_money (json_field_integer (plan, "buffer_cost_micros"));
  printf ("\n  the month: ");
  text_print_money (json_field_integer (plan, "month_cost_micros"));
  printf (" (");
  text_print_money (json_field_integer (plan, "month_low_micros"));
  printf (" to ");
  text_print_money (json_field_integer (plan, "month_high_micros"));
  printf (")\n");
}

/* Prints a plan that may be confirmed, and the command that confirms it. */
void
text_print_proposal (const json_t *plan)
{
  text_print_plan (plan);
  printf ("nothing changes until: sesamepick confirm %s@%lld\n", json_field_string (plan, "id"),
          (long long) json_field_integer (plan, "revision"));
}
