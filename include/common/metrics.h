#ifndef SESAMEPICK_COMMON_METRICS_H
#define SESAMEPICK_COMMON_METRICS_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include <sys/queue.h>

/* A counter or, if it may also decrease, a gauge. It is embedded in a struct of its owner, which
 * updates value directly. labels is "" or the text between the braces, such as service="seats". */
struct metric
{
  LIST_ENTRY (metric) link;
  const char *name;
  const char *help;
  char *labels;
  bool gauge;
  int64_t value;
};

LIST_HEAD (metric_list, metric);

/* The set of all metrics of a program. */
struct metrics
{
  struct metric_list list;
};

enum
{
  METRIC_BUCKETS = 12,
};

/* A histogram of durations with fixed bucket bounds from 5 ms to 20 s. The bounds are printed in
 * seconds, the sum in milliseconds. */
struct metric_histogram
{
  struct metric buckets[METRIC_BUCKETS + 1];
  struct metric sum_ms;
  struct metric count;
  /* Names of the bucket, sum and count metrics. */
  char *names[3];
};

void metrics_init (struct metrics *metrics);
void metrics_finish (struct metrics *metrics);
/* Add a metric to the set. name and help must outlive it; labels is copied. */
void metric_add_counter (struct metrics *metrics, struct metric *metric, const char *name,
                         const char *labels, const char *help);
void metric_add_gauge (struct metrics *metrics, struct metric *metric, const char *name,
                       const char *labels, const char *help);
/* Adds a histogram. name must end with _seconds and is copied; help must outlive the histogram. The
 * sum is printed as NAME_sum_milliseconds. */
void metric_histogram_add (struct metrics *metrics, struct metric_histogram *histogram,
                           const char *name, const char *help);
/* Adds one duration to the histogram. */
void metric_histogram_observe (struct metric_histogram *histogram, int64_t ms);
void metric_histogram_remove (struct metric_histogram *histogram);
void metric_remove (struct metric *metric);
/* Formats the set in the Prometheus text format; the caller frees the string. */
GString *metrics_print (const struct metrics *metrics);

#endif
