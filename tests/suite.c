#include "suite.h"

#include <CUnit/Basic.h>

/* Runs the tests of a module with CUnit. Returns the exit code of the program. */
int
suite_run (const char *name, const struct suite_test *tests, size_t n)
{
  unsigned failures;
  CU_pSuite suite;

  CU_initialize_registry ();
  suite = CU_add_suite (name, NULL, NULL);
  for (size_t i = 0; i < n; i++)
    CU_add_test (suite, tests[i].name, tests[i].run);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures ? 1 : 0;
}
