#include <glib.h>
#include <stdio.h>

#include "cli/command.h"
#include "cli/text.h"

/* Prints a label followed by an amount. */
static void
bill_print_amount (const char *label, const json_t *object, const char *field)
{
  printf ("%s", label);
  text_print_money (json_field_integer (object, field));
}

/* Prints the line of one pool and host class. */
static void
bill_print_line (const json_t *line)
{
  printf ("%-14s %-12s", json_field_string (line, "pool"), json_field_string (line, "host_class"));
  bill_print_amount (" actual ", line, "actual_micros");
  bill_print_amount (", forecast ", line, "forecast_micros");
  bill_print_amount (" (", line, "forecast_low_micros");
  bill_print_amount (" to ", line, "forecast_high_micros");
  bill_print_amount ("), invoice ", line, "invoice_micros");
  bill_print_amount ("; caused by moves ", line, "caused_by_moves_micros");
  bill_print_amount (", failures ", line, "caused_by_failures_micros");
  bill_print_amount (", late usage ", line, "caused_by_late_usage_micros");
  printf ("\n");
}

/* Prints a bill with its lines and total. */
static void
bill_print (const json_t *bill)
{
  const json_t *line;
  size_t i;

  printf ("bill of %s\n", json_field_string (bill, "month"));
  json_array_foreach (json_object_get (bill, "lines"), i, line)
    {
      bill_print_line (line);
    }
  bill_print_amount ("total: actual so far ", bill, "actual_micros");
  bill_print_amount (", forecast ", bill, "forecast_micros");
  bill_print_amount (" (", bill, "forecast_low_micros");
  bill_print_amount (" to ", bill, "forecast_high_micros");
  bill_print_amount ("), invoice ", bill, "invoice_micros");
  printf ("\n");
}

/* Shows a month's bill; the default is the current month. */
enum exit_code
command_bill (const struct command_context *context)
{
  g_autofree char *path = NULL;

  if (context->n_operands == 0)
    return command_call (context, "GET", "/v1/bill", NULL, bill_print);
  path = g_strdup_printf ("/v1/bill?month=%s", context->operands[0]);
  return command_call (context, "GET", path, NULL, bill_print);
}
