#ifndef SESAMEPICK_BENCH_TESTBED_WORKER_H
#define SESAMEPICK_BENCH_TESTBED_WORKER_H

#include "testbed.h"

/* Postpones an event of a paused entry host until the pause ends. Returns false if it is not
 * paused. */
bool testbed_postpone_if_paused (struct testbed *bed, size_t entry,
                                 void (*function) (struct testbed *bed, void *data), void *data);

/* Implemented by testbed_worker.c: the fake workers and the attempts to run requests on them. */
void testbed_create_workers (struct testbed *bed);
void testbed_free_workers (struct testbed *bed);
void testbed_attempt_start (void *ctx, uint64_t request, uint32_t attempt,
                            const struct attempt_target *target);
void testbed_attempt_cancel (void *ctx, uint64_t request, uint32_t attempt);
void testbed_close_attempts (struct testbed *bed, size_t entry);

#endif
