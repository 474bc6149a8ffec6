#ifndef SESAMEPICK_LIB_BILL_MONTH_H
#define SESAMEPICK_LIB_BILL_MONTH_H

#include <stdint.h>

/* A calendar month in UTC, as used for billing: from start_ms to end_ms, which is exclusive. */
struct month
{
  int64_t start_ms;
  int64_t end_ms;
};

struct month month_of (int64_t wall_ms);

#endif
