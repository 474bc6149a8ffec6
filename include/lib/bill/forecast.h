#ifndef SESAMEPICK_LIB_BILL_FORECAST_H
#define SESAMEPICK_LIB_BILL_FORECAST_H

#include <stdint.h>
#include <sys/queue.h>

#include "lib/fleet/fleet.h"

/* The part of a month's bill for one pool and host class, in millionths of the currency. */
struct bill_line
{
  STAILQ_ENTRY (bill_line) link;
  char *pool;
  char *host_class;
  /* Cost so far according to usage reports and completed moves. */
  uint64_t actual_micros;
  /* Estimated cost of host time so far that no usage report covers yet. */
  uint64_t unreported_micros;
  /* Forecast for the whole month, and a range that contains the result in nine of ten months. */
  uint64_t forecast_low_micros;
  uint64_t forecast_micros;
  uint64_t forecast_high_micros;
  /* From the platform's invoice, which then replaces the forecast; 0 until it arrives. */
  uint64_t invoice_micros;
  /* Cost of the month if the hosts present at its start had stayed unchanged. */
  uint64_t start_micros;
  /* Forecast minus start, split by cause; the three add up to the difference. Late usage is what
   * the invoice counts beyond the records; 0 until the invoice arrives. */
  int64_t caused_by_moves_micros;
  int64_t caused_by_failures_micros;
  int64_t caused_by_late_usage_micros;
};

STAILQ_HEAD (bill_line_list, bill_line);

struct bill
{
  char month[8];
  /* Sorted by pool, then class. */
  struct bill_line_list lines;
  uint64_t actual_micros;
  uint64_t unreported_micros;
  uint64_t forecast_low_micros;
  uint64_t forecast_micros;
  uint64_t forecast_high_micros;
  uint64_t invoice_micros;
  uint64_t start_micros;
};

/* Computes the bill of the month that contains wall_ms: the cost so far from the records, and a
 * forecast of the rest of the month under the confirmed plans. For a month that is over, pass its
 * last millisecond. Free the bill with bill_destroy. */
struct bill *bill_create (const struct fleet *fleet, int64_t wall_ms);
/* Computes the bill as if the given plan, not yet confirmed, were confirmed now. */
struct bill *bill_create_with_plan (const struct fleet *fleet, const Sp__Plan *plan,
                                    int64_t wall_ms);
void bill_destroy (struct bill *bill);

#endif
