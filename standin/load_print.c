#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "load.h"

static const char *const outcome_names[] = {
  [LOAD_ANSWERED] = "answered",    [LOAD_ERROR_STATUS] = "answered-badly",
  [LOAD_NOT_RUN] = "not-run",      [LOAD_UNKNOWN] = "unknown",
  [LOAD_NOT_SENT] = "not-sent",    [LOAD_NO_RESPONSE] = "cut",
  [LOAD_WRONG_RESPONSE] = "wrong",
};

/* Returns the counts of the outcomes. */
static json_t *
outcomes_to_json (const uint64_t outcomes[LOAD_N_OUTCOMES])
{
  json_t *json = json_object ();

  for (int i = 0; i < LOAD_N_OUTCOMES; i++)
    json_object_set_new (json, outcome_names[i], json_integer ((json_int_t) outcomes[i]));
  return json;
}

/* Returns the counts by reason. */
static json_t *
reasons_to_json (const struct load *load)
{
  json_t *json = json_object ();
  GHashTableIter iter;
  gpointer reason;
  gpointer count;

  g_hash_table_iter_init (&iter, load->reasons);
  while (g_hash_table_iter_next (&iter, &reason, &count))
    json_object_set_new (json, reason, json_integer ((json_int_t) * (guint64 *) count));
  return json;
}

/* Returns the number of requests and the outcomes by service. */
static json_t *
services_to_json (const struct load *load)
{
  json_t *json = json_object ();

  for (guint i = 0; i < load->services->len; i++)
    {
      const struct load_service *service = load->services->pdata[i];

      json_object_set_new (json, service->name,
                           json_pack ("{s:I,s:o}", "sent", (json_int_t) service->sent, "ends",
                                      outcomes_to_json (service->outcomes)));
    }
  return json;
}

/* Returns all results. */
static json_t *
load_to_json (const struct load *load, int64_t violations)
{
  const struct histogram *latency = &load->latency;

  return json_pack ("{s:I,s:I,s:f,s:I,s:I,s:I,s:o,s:o,s:o,s:I}", "sent", (json_int_t) load->next_id,
                    "skipped", (json_int_t) load->skipped, "goodput_per_s",
                    (double) load->outcomes[LOAD_ANSWERED] / (double) load->settings->seconds,
                    "p50_us", (json_int_t) histogram_quantile (latency, 500000), "p99_us",
                    (json_int_t) histogram_quantile (latency, 990000), "p999_us",
                    (json_int_t) histogram_quantile (latency, 999000), "ends",
                    outcomes_to_json (load->outcomes), "reasons", reasons_to_json (load),
                    "services", services_to_json (load), "broken", (json_int_t) violations);
}

/* Prints the counts of one object on one line. */
static void
print_counts (const char *title, json_t *counts)
{
  const char *name;
  json_t *count;

  printf ("%-10s", title);
  json_object_foreach (counts, name, count)
    printf (" %s %" JSON_INTEGER_FORMAT, name, json_integer_value (count));
  printf ("\n");
}

/* Prints the results as text. */
static void
print_text (const struct load *load, json_t *json, int64_t violations)
{
  const char *name;
  json_t *service;

  printf ("sent       %" G_GUINT64_FORMAT ", skipped %" G_GUINT64_FORMAT "\n", load->next_id,
          load->skipped);
  printf ("goodput    %.1f/s\n", json_real_value (json_object_get (json, "goodput_per_s")));
  printf ("latency    p50 %" JSON_INTEGER_FORMAT " us, p99 %" JSON_INTEGER_FORMAT
          " us, p99.9 %" JSON_INTEGER_FORMAT " us\n",
          json_integer_value (json_object_get (json, "p50_us")),
          json_integer_value (json_object_get (json, "p99_us")),
          json_integer_value (json_object_get (json, "p999_us")));
  print_counts ("ends", json_object_get (json, "ends"));
  print_counts ("reasons", json_object_get (json, "reasons"));
  json_object_foreach (json_object_get (json, "services"), name, service)
    print_counts (name, json_object_get (service, "ends"));
  if (violations < 0)
    printf ("guarantees not checked: an endpoint did not report its request counts\n");
  else
    printf ("guarantees %" G_GINT64_FORMAT " violated\n", violations);
}

/* Prints the results, as text or JSON. */
void
load_print (struct load *load, int64_t violations)
{
  json_t *json = load_to_json (load, violations);

  if (strcmp (load->settings->output, "json") == 0)
    {
      char *text = json_dumps (json, JSON_INDENT (1));

      puts (text);
      free (text);
    }
  else
    print_text (load, json, violations);
  json_decref (json);
}
