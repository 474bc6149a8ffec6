#include "lib/bill/month.h"

#include <glib.h>

enum
{
  MS_PER_SECOND = 1000,
};

/* Returns the month that contains wall_ms. Times are in milliseconds since 1970. */
struct month
month_of (int64_t wall_ms)
{
  g_autoptr (GDateTime) now = g_date_time_new_from_unix_utc (wall_ms / MS_PER_SECOND);
  g_autoptr (GDateTime) start = NULL;
  g_autoptr (GDateTime) end = NULL;
  struct month month;

  g_assert (now);
  start =
      g_date_time_new_utc (g_date_time_get_year (now), g_date_time_get_month (now), 1, 0, 0, 0.0);
  end = g_date_time_add_months (start, 1);
  month.start_ms = g_date_time_to_unix (start) * MS_PER_SECOND;
  month.end_ms = g_date_time_to_unix (end) * MS_PER_SECOND;
  return month;
}
