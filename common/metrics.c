#include "common/metrics.h"

#include <string.h>

/* Initializes an empty set. */
void
metrics_init (struct metrics *metrics)
{
  LIST_INIT (&metrics->list);
}

/* Removes all metrics from the set; their owners may then free them. */
void
metrics_finish (struct metrics *metrics)
{
  while (!LIST_EMPTY (&metrics->list))
    metric_remove (LIST_FIRST (&metrics->list));
}

/* Returns the last metric of the set with a name, or NULL. New metrics are inserted after it, since
 * the Prometheus format requires all lines of a name to be consecutive. */
static struct metric *
metrics_find_last (struct metrics *metrics, const char *name)
{
  struct metric *metric;
  struct metric *last = NULL;

  LIST_FOREACH (metric, &metrics->list, link)
    {
      if (strcmp (metric->name, name) == 0)
        last = metric;
    }
  return last;
}

/* Inserts a metric into the set. name and help must outlive the metric; labels is copied. */
static void
metric_insert (struct metrics *metrics, struct metric *metric, const char *name, const char *labels,
               const char *help, bool gauge)
{
  struct metric *last = metrics_find_last (metrics, name);

  metric->name = name;
  metric->help = help;
  metric->labels = g_strdup (labels);
  metric->gauge = gauge;
  metric->value = 0;
  if (last)
    LIST_INSERT_AFTER (last, metric, link);
  else
    LIST_INSERT_HEAD (&metrics->list, metric, link);
}

/* Adds a counter, which never decreases. */
void
metric_add_counter (struct metrics *metrics, struct metric *metric, const char *name,
                    const char *labels, const char *help)
{
  metric_insert (metrics, metric, name, labels, help, false);
}

/* Adds a gauge, which may increase and decrease. */
void
metric_add_gauge (struct metrics *metrics, struct metric *metric, const char *name,
                  const char *labels, const char *help)
{
  metric_insert (metrics, metric, name, labels, help, true);
}

/* Removes a metric from its set. */
void
metric_remove (struct metric *metric)
{
  LIST_REMOVE (metric, link);
  g_free (metric->labels);
  metric->labels = NULL;
}

/* Formats the set in the Prometheus text format; the caller frees the string. */
GString *
metrics_print (const struct metrics *metrics)
{
  GString *text = g_string_new (NULL);
  const char *name = "";
  struct metric *metric;

  LIST_FOREACH (metric, &metrics->list, link)
    {
      if (strcmp (metric->name, name) != 0)
        {
          g_string_append_printf (text, "# HELP %s %s\n# TYPE %s %s\n", metric->name, metric->help,
                                  metric->name, metric->gauge ? "gauge" : "counter");
          name = metric->name;
        }
      if (metric->labels[0] != '\0')
        g_string_append_printf (text, "%s{%s} %" G_GINT64_FORMAT "\n", metric->name, metric->labels,
                                metric->value);
      else
        g_string_append_printf (text, "%s %" G_GINT64_FORMAT "\n", metric->name, metric->value);
    }
  return text;
}

/* Upper bounds of a histogram's buckets; the last bucket is unbounded. */
static const int64_t bucket_bounds_ms[METRIC_BUCKETS] = { 5,   10,   20,   50,   100,   200,
                                                          500, 1000, 2000, 5000, 10000, 20000 };

/* Adds a histogram. help must outlive it; name is copied. */
void
metric_histogram_add (struct metrics *metrics, struct metric_histogram *histogram, const char *name,
                      const char *help)
{
  enum
  {
    MS_PER_S = 1000,
  };

  histogram->names[0] = g_strconcat (name, "_bucket", NULL);
  histogram->names[1] = g_strconcat (name, "_sum_milliseconds", NULL);
  histogram->names[2] = g_strconcat (name, "_count", NULL);
  for (size_t i = 0; i < METRIC_BUCKETS; i++)
    {
      g_autofree char *label =
          g_strdup_printf ("le=\"%g\"", (double) bucket_bounds_ms[i] / MS_PER_S);

      metric_add_counter (metrics, &histogram->buckets[i], histogram->names[0], label, help);
    }
  metric_add_counter (metrics, &histogram->buckets[METRIC_BUCKETS], histogram->names[0],
                      "le=\"+Inf\"", help);
  metric_add_counter (metrics, &histogram->sum_ms, histogram->names[1], "", help);
  metric_add_counter (metrics, &histogram->count, histogram->names[2], "", help);
}

/* Adds one duration to the histogram. */
void
metric_histogram_observe (struct metric_histogram *histogram, int64_t ms)
{
  for (size_t i = 0; i < METRIC_BUCKETS; i++)
    histogram->buckets[i].value += ms <= bucket_bounds_ms[i];
  histogram->buckets[METRIC_BUCKETS].value++;
  histogram->sum_ms.value += ms;
  histogram->count.value++;
}

/* Removes a histogram from its set. */
void
metric_histogram_remove (struct metric_histogram *histogram)
{
  for (size_t i = 0; i <= METRIC_BUCKETS; i++)
    metric_remove (&histogram->buckets[i]);
  metric_remove (&histogram->sum_ms);
  metric_remove (&histogram->count);
  for (size_t i = 0; i < G_N_ELEMENTS (histogram->names); i++)
    g_free (histogram->names[i]);
}
