#ifndef SESAMEPICK_COMMON_METRICS_H
#define SESAMEPICK_COMMON_METRICS_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include <sys/queue.h>

/* A counter, or a gauge where it may also go down. The owner keeps it in its own struct and changes
 * value directly; labels is "" or the inside of the braces, such as service="seats". */
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

/* All metrics of a program. */
struct metrics
{
  struct metric_list list;
};

enum
{
  METRIC_BUCKETS = 12,
};

/* A histogram of durations, printed in seconds, with fixed bounds from 5 ms to 20 s. */
struct metric_histogram
{
  struct metric buckets[METRIC_BUCKETS + 1];
  struct metric sum_ms;
  struct metric count;
  char *names[3];
};

void metrics_init (struct metrics *metrics);
void metrics_finish (struct metrics *metrics);
void metric_add (struct metrics *metrics, struct metric *metric, const char *name,
                 const char *labels, const char *help);
void metric_add_gauge (struct metrics *metrics, struct metric *metric, const char *name,
                       const char *labels, const char *help);
/* name ends with _seconds; the sum is printed in milliseconds under its own name. */
void metric_histogram_add (struct metrics *metrics, struct metric_histogram *histogram,
                           const char *name, const char *help);
void metric_histogram_take (struct metric_histogram *histogram, int64_t ms);
void metric_histogram_remove (struct metric_histogram *histogram);
void metric_remove (struct metric *metric);
GString *metrics_print (const struct metrics *metrics);

#endif
