#include "platform.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

enum
{
  MS_PER_S = 1000,
  MS_PER_HOUR = 3600000,
  USAGE_REPORTS_MAX = 50000,
  MONTH_BYTES = 8,
};

/* Returns the usage clock at a monotonic time. It runs usage_speed times as fast as the wall
 * clock. */
static int64_t
usage_time (const struct platform *platform, int64_t now_ms)
{
  return platform->usage_start_wall_ms +
         (now_ms - platform->usage_start_ms) * (int64_t) platform->settings->usage_speed;
}

/* Formats the UTC month of a time, such as 2026-12. */
static void
month_of (int64_t time_ms, char month[MONTH_BYTES])
{
  time_t seconds = time_ms / MS_PER_S;
  struct tm utc;

  gmtime_r (&seconds, &utc);
  strftime (month, MONTH_BYTES, "%Y-%m", &utc);
}

static void
usage_report_destroy (void *data)
{
  struct usage_report *report = data;

  json_decref (report->json);
  g_free (report);
}

/* Adds a span of a host's use to the amount that the invoice bills. */
static void
usage_bill (struct platform *platform, const struct standin_host *host, int64_t from_ms,
            int64_t to_ms)
{
  char month[MONTH_BYTES];
  char *key;
  int64_t *used;

  month_of (from_ms, month);
  key = g_strdup_printf ("%s/%s/%s", month, host->pool, host->host_class);
  used = g_hash_table_lookup (platform->used_ms, key);
  if (!used)
    {
      used = g_new0 (int64_t, 1);
      g_hash_table_replace (platform->used_ms, g_strdup (key), used);
    }
  *used += to_ms - from_ms;
  g_free (key);
}

/* Bills and reports one host's use in a span. A host that is between pools or gone is not
 * billed. */
static void
usage_report_host (struct platform *platform, const struct standin_host *host, int64_t from_ms,
                   int64_t to_ms)
{
  struct usage_report *report;

  if (host->pool[0] == '\0' || strcmp (host->presence, "gone") == 0)
    return;
  usage_bill (platform, host, from_ms, to_ms);
  report = g_new0 (struct usage_report, 1);
  report->sequence = ++platform->usage_sequence;
  report->visible_ms = platform->clock.now_ms + platform->settings->usage_lag_ms;
  report->json = json_pack ("{s:s, s:s, s:I, s:I, s:i}", "host", host->name, "pool", host->pool,
                            "from_ms", (json_int_t) from_ms, "to_ms", (json_int_t) to_ms,
                            "busy_permille", g_rand_int_range (platform->random, 100, 900));
  g_queue_push_tail (&platform->usage, report);
  if (platform->usage.length > USAGE_REPORTS_MAX)
    usage_report_destroy (g_queue_pop_head (&platform->usage));
}

/* Reports the use of all hosts since the last call. */
static void
usage_report_all (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct platform *platform = timer->data;
  int64_t from_ms = platform->usage_last_ms;
  int64_t to_ms;
  struct standin_host *host;

  (void) loop;
  (void) events;
  clock_update (&platform->clock);
  to_ms = usage_time (platform, platform->clock.now_ms);
  LIST_FOREACH (host, &platform->hosts, link)
    usage_report_host (platform, host, from_ms, to_ms);
  platform->usage_last_ms = to_ms;
}

/* Starts the periodic reports. */
void
standin_usage_init (struct platform *platform)
{
  double period = (double) platform->settings->usage_period_ms / MS_PER_S;

  platform->usage_start_wall_ms = platform->clock.wall_ms;
  platform->usage_start_ms = platform->clock.now_ms;
  platform->usage_last_ms = platform->clock.wall_ms;
  platform->used_ms = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_queue_init (&platform->usage);
  ev_timer_init (&platform->usage_timer, usage_report_all, period, period);
  platform->usage_timer.data = platform;
  ev_timer_start (platform->loop, &platform->usage_timer);
}

void
standin_usage_finish (struct platform *platform)
{
  ev_timer_stop (platform->loop, &platform->usage_timer);
  g_queue_clear_full (&platform->usage, usage_report_destroy);
  g_hash_table_unref (platform->used_ms);
}

/* Answers with the reports after a sequence number whose lag is over. */
void
standin_usage_list (struct platform *platform, struct http_request *request)
{
  uint64_t since = request_number (request, "since", 0);
  uint64_t max = request_number (request, "max", 500);
  json_t *reports = json_array ();
  uint64_t next = since;

  for (GList *link = platform->usage.head; link; link = link->next)
    {
      struct usage_report *report = link->data;

      if (report->sequence <= since)
        continue;
      if (report->visible_ms > platform->clock.now_ms || json_array_size (reports) >= max)
        break;
      json_array_append (reports, report->json);
      next = report->sequence;
    }
  platform_answer_json (platform, request, 200,
                        json_pack ("{s:I, s:o}", "next", (json_int_t) next, "reports", reports), 0);
}

/* Returns a host class's price per hour from the settings, in millionths; 0 if none is set. */
static uint64_t
class_price (const struct platform *platform, const char *host_class)
{
  g_auto (GStrv) prices = g_strsplit (platform->settings->prices, ",", -1);
  size_t len = strlen (host_class);

  for (size_t i = 0; prices[i]; i++)
    {
      if (strncmp (prices[i], host_class, len) == 0 && prices[i][len] == '=')
        return g_ascii_strtoull (prices[i] + len + 1, NULL, 10);
    }
  return 0;
}

/* Answers with a month's invoice, available once the usage clock has passed the month. */
void
standin_invoice (struct platform *platform, struct http_request *request)
{
  const char *month = http_request_query (request, "month");
  char current[MONTH_BYTES];
  json_t *lines = json_array ();
  GHashTableIter iter;
  char *key;
  int64_t *used;

  month_of (usage_time (platform, platform->clock.now_ms), current);
  if (!month || strcmp (month, current) >= 0)
    {
      json_decref (lines);
      platform_answer_json (platform, request, 404, json_pack ("{s:s}", "reason", "not yet"), 0);
      return;
    }
  g_hash_table_iter_init (&iter, platform->used_ms);
  while (g_hash_table_iter_next (&iter, (void **) &key, (void **) &used))
    {
      g_auto (GStrv) parts = g_strsplit (key, "/", 3);
      uint64_t amount = (uint64_t) *used * class_price (platform, parts[2]) / MS_PER_HOUR;

      if (strcmp (parts[0], month) == 0)
        json_array_append_new (lines, json_pack ("{s:s, s:s, s:s, s:I}", "pool", parts[1],
                                                 "host_class", parts[2], "month", month,
                                                 "amount_micros", (json_int_t) amount));
    }
  platform_answer_json (platform, request, 200,
                        json_pack ("{s:s, s:o}", "month", month, "lines", lines), 0);
}
