#include "state.h"

#include <string.h>

/* Usage reports and invoice lines, summed up by pool, host class and month. */

enum
{
  USAGE_KEY_BYTES = 2 * FLEET_MAX_NAME_BYTES + 16,
  PERMILLE = 1000,
  /* A report covers at most this period, and ends at most this long after the record's time. */
  USAGE_MAX_SPAN_MS = 31 * 86400000LL,
  USAGE_MAX_AHEAD_MS = 3600000,
  /* Usage outside these years is not counted, and invoices for them are rejected. */
  USAGE_FIRST_YEAR = 2000,
  USAGE_LAST_YEAR = 2199,
};

static void
usage_row_free (void *row)
{
  struct usage_month *usage = row;

  g_free (usage->pool);
  g_free (usage->host_class);
  g_free (usage);
}

/* Creates the table of usage rows. */
GHashTable *
usage_rows_create (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, usage_row_free);
}

/* Writes the key of a row, "MONTH/POOL/CLASS". */
static void
usage_row_key (char key[USAGE_KEY_BYTES], const char *pool, const char *host_class,
               const char *month)
{
  g_snprintf (key, USAGE_KEY_BYTES, "%.7s/%.*s/%.*s", month, FLEET_MAX_NAME_BYTES, pool,
              FLEET_MAX_NAME_BYTES, host_class);
}

/* Writes the month of a time in UTC, such as "2026-12". */
void
usage_month_name (int64_t wall_ms, char month[8])
{
  GDateTime *time = g_date_time_new_from_unix_utc (wall_ms / 1000);
  int year = time ? g_date_time_get_year (time) : 0;

  g_snprintf (month, 8, "%04d-%02d", year % 10000, time ? g_date_time_get_month (time) : 0);
  if (time)
    g_date_time_unref (time);
}

/* Returns whether the string is a month of a supported year. */
static bool
month_is_valid (const char *month)
{
  int year = 0;
  int number = 0;

  if (strlen (month) != 7 || month[4] != '-')
    return false;
  for (int i = 0; i < 7; i++)
    if (i != 4 && !g_ascii_isdigit (month[i]))
      return false;
  year = (int) g_ascii_strtoll (month, NULL, 10);
  number = (int) g_ascii_strtoll (month + 5, NULL, 10);
  return year >= USAGE_FIRST_YEAR && year <= USAGE_LAST_YEAR && number >= 1 && number <= 12;
}

/* Returns NULL if there is no usage. */
const struct usage_month *
fleet_find_usage (const struct fleet *fleet, const char *pool, const char *host_class,
                  const char *month)
{
  char key[USAGE_KEY_BYTES];

  usage_row_key (key, pool, host_class, month);
  return g_hash_table_lookup (fleet->usage, key);
}

/* Drops all rows of the oldest month, if that is older than the given one. */
static void
drop_oldest_month (struct fleet *fleet, const char *month)
{
  char oldest[8];
  GHashTableIter iter;
  gpointer row;

  g_strlcpy (oldest, month, sizeof oldest);
  g_hash_table_iter_init (&iter, fleet->usage);
  while (g_hash_table_iter_next (&iter, NULL, &row))
    if (strcmp (((struct usage_month *) row)->month, oldest) < 0)
      g_strlcpy (oldest, ((struct usage_month *) row)->month, sizeof oldest);
  if (strcmp (oldest, month) == 0)
    return;
  g_hash_table_iter_init (&iter, fleet->usage);
  while (g_hash_table_iter_next (&iter, NULL, &row))
    if (strcmp (((struct usage_month *) row)->month, oldest) == 0)
      g_hash_table_iter_remove (&iter);
}

/* Returns the row, and creates it if necessary. If the table is full, the oldest month is dropped;
 * returns NULL if the given month is the oldest. */
struct usage_month *
usage_row_get (struct fleet *fleet, const char *pool, const char *host_class, const char *month)
{
  struct usage_month *usage;
  char key[USAGE_KEY_BYTES];

  usage_row_key (key, pool, host_class, month);
  usage = g_hash_table_lookup (fleet->usage, key);
  if (usage)
    return usage;
  if (g_hash_table_size (fleet->usage) >= FLEET_MAX_USAGE_ROWS)
    drop_oldest_month (fleet, month);
  if (g_hash_table_size (fleet->usage) >= FLEET_MAX_USAGE_ROWS)
    return NULL;
  usage = g_new0 (struct usage_month, 1);
  usage->pool = g_strdup (pool);
  usage->host_class = g_strdup (host_class);
  g_strlcpy (usage->month, month, sizeof usage->month);
  g_hash_table_insert (fleet->usage, g_strdup (key), usage);
  return usage;
}

/* Returns the usage row of the month that contains wall_ms; NULL if the time is outside the
 * supported years or the table is full. */
struct usage_month *
usage_row_at (struct fleet *fleet, const char *pool, const char *host_class, int64_t wall_ms)
{
  char month[8];

  usage_month_name (wall_ms, month);
  return month_is_valid (month) ? usage_row_get (fleet, pool, host_class, month) : NULL;
}

/* Calls visit for the usage of each pool and class in a month (NULL: in all months). */
void
fleet_visit_usage (const struct fleet *fleet, const char *month,
                   void (*visit) (const struct usage_month *usage, void *ctx), void *ctx)
{
  GHashTableIter iter;
  gpointer row;

  g_hash_table_iter_init (&iter, fleet->usage);
  while (g_hash_table_iter_next (&iter, NULL, &row))
    if (!month || strcmp (((struct usage_month *) row)->month, month) == 0)
      visit (row, ctx);
}

/* Returns the start of the month after the one that contains wall_ms. */
static int64_t
month_end (int64_t wall_ms)
{
  GDateTime *time = g_date_time_new_from_unix_utc (wall_ms / 1000);
  GDateTime *first;
  GDateTime *next;
  int64_t end;

  first =
      g_date_time_new_utc (g_date_time_get_year (time), g_date_time_get_month (time), 1, 0, 0, 0);
  next = g_date_time_add_months (first, 1);
  end = g_date_time_to_unix (next) * 1000;
  g_date_time_unref (time);
  g_date_time_unref (first);
  g_date_time_unref (next);
  return end;
}

/* The host that a report refers to: on the list, or removed from it. */
struct usage_host
{
  const char *host_class;
  int64_t *until_ms;
};

/* Finds the host of a report. Returns false if it is unknown. */
static bool
usage_host_find (struct fleet *fleet, const char *name, struct usage_host *found)
{
  struct host *host = fleet_find_host (fleet, name);
  struct gone_host *gone = g_hash_table_lookup (fleet->gone_by_name, name);

  if (!host && !gone)
    return false;
  found->host_class = host ? host->host_class : gone->host_class;
  found->until_ms = host ? &host->usage_until_ms : &gone->usage_until_ms;
  return true;
}

/* Checks the report's values, independent of the state. */
static bool
report_is_valid (const struct record_context *at, const Sp__UsageReport *report)
{
  int64_t from_ms = (int64_t) report->from_ms;
  int64_t to_ms = (int64_t) report->to_ms;

  return from_ms > 0 && to_ms > from_ms && to_ms - from_ms <= USAGE_MAX_SPAN_MS &&
         to_ms <= at->time_ms + USAGE_MAX_AHEAD_MS && report->busy_permille <= PERMILLE &&
         name_is_valid (report->pool);
}

/* Adds the time from from_ms to the report's end to the sums of each month in it. Returns the row
 * of the last month, or NULL. */
static struct usage_month *
usage_add_period (struct fleet *fleet, const Sp__UsageReport *report, const char *host_class,
                  int64_t from_ms)
{
  int64_t to_ms = (int64_t) report->to_ms;
  struct usage_month *usage = NULL;

  while (from_ms < to_ms)
    {
      int64_t end_ms = MIN (month_end (from_ms), to_ms);

      usage = usage_row_at (fleet, report->pool, host_class, from_ms);
      if (usage)
        {
          usage->host_ms += end_ms - from_ms;
          usage->busy_ms += (end_ms - from_ms) * report->busy_permille / PERMILLE;
        }
      from_ms = end_ms;
    }
  return usage;
}

/* Applies a usage report. Time that an earlier report covered is counted once; time between the two
 * reports is counted as a gap. */
void
usage_apply (struct fleet *fleet, const struct record_context *at, const Sp__UsageReport *report,
             struct verdict *verdict)
{
  int64_t lag_ms = MAX (at->time_ms - (int64_t) report->to_ms, 0);
  struct usage_host host = { NULL, NULL };
  struct usage_month *usage;
  int64_t from_ms;

  if (!report_is_valid (at, report))
    {
      verdict_reject (verdict, "usage of host %.60s: a value is out of range", report->host);
      return;
    }
  if (!usage_host_find (fleet, report->host, &host))
    {
      verdict_reject (verdict, "host %.60s is not known", report->host);
      return;
    }
  if ((int64_t) report->to_ms <= *host.until_ms)
    {
      verdict_duplicate (verdict, "the usage was reported before");
      return;
    }
  from_ms = MAX ((int64_t) report->from_ms, *host.until_ms);
  usage = usage_add_period (fleet, report, host.host_class, from_ms);
  if (usage)
    {
      usage->reports++;
      usage->lag_sum_ms += lag_ms;
      usage->lag_max_ms = MAX (usage->lag_max_ms, (uint64_t) lag_ms);
      if (*host.until_ms)
        usage->gap_ms += from_ms - *host.until_ms;
    }
  *host.until_ms = (int64_t) report->to_ms;
}

/* Sets the amount of an invoice line. A later line replaces an earlier one. */
void
invoice_apply (struct fleet *fleet, G_GNUC_UNUSED const struct record_context *at,
               const Sp__InvoiceLine *line, struct verdict *verdict)
{
  struct usage_month *usage = NULL;

  if (!name_is_valid (line->pool) || !name_is_valid (line->host_class))
    verdict_reject (verdict, "invoice: the pool's or the class's name is not valid");
  else if (!month_is_valid (line->month))
    verdict_reject (verdict, "invoice: month \"%.10s\" is not of the form 2026-12", line->month);
  else
    usage = usage_row_get (fleet, line->pool, line->host_class, line->month);
  if (verdict->kind != VERDICT_ACCEPTED)
    return;
  if (!usage)
    {
      verdict_reject (verdict, "invoice: too many pools and classes");
      return;
    }
  usage->invoiced = true;
  usage->invoice_micros = line->amount_micros;
}
