#ifndef SESAMEPICK_TESTS_SUITE_H
#define SESAMEPICK_TESTS_SUITE_H

#include <CUnit/CUnit.h>
#include <stddef.h>
#include <stdlib.h>

/* Aborts the test program if a condition is false without which the test can't continue. */
#define SUITE_REQUIRE(condition)                                                                   \
  do                                                                                               \
    {                                                                                              \
      CU_ASSERT_FATAL (condition);                                                                 \
      if (!(condition))                                                                            \
        abort ();                                                                                  \
    }                                                                                              \
  while (0)

struct suite_test
{
  const char *name;
  void (*run) (void);
};

/* Runs the tests of a module. Returns the exit code of the program. */
int suite_run (const char *name, const struct suite_test *tests, size_t n);

#endif
