#ifndef SESAMEPICK_LIB_LOCALITY_LOCALITY_FACTOR_H
#define SESAMEPICK_LIB_LOCALITY_LOCALITY_FACTOR_H

#include <stdbool.h>
#include <stdint.h>

/* How many times as long the tasks of an image take away from their data, learned from tasks that
 * ended. */
struct locality_factors;

struct locality_factors *locality_factors_create (double configured);
void locality_factors_destroy (struct locality_factors *factors);
/* Adds a task that took actual_ms instead of the estimate, near its data or far from it. */
void locality_factors_observe (struct locality_factors *factors, const char *image, bool near,
                               int64_t estimate_ms, int64_t actual_ms);
/* Returns the factor of an image, 1 at least. */
double locality_factor (const struct locality_factors *factors, const char *image);

#endif
