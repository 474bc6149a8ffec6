#include "common/memory_budget.h"
#include "suite.h"

enum
{
  LIMIT_BYTES = 1000 * 1000,
  LARGE_BYTES = 100 * 1000,
  HOLDERS = 100,
};

/* Large holders together get no more than half, and small ones still fit. */
static void
test_small_beside_large (void)
{
  struct memory_budget budget;
  size_t large[HOLDERS] = { 0 };
  size_t small[HOLDERS] = { 0 };
  unsigned n_large = 0;
  unsigned n_small = 0;

  memory_budget_init (&budget, LIMIT_BYTES);
  for (int i = 0; i < HOLDERS; i++)
    n_large += memory_budget_resize (&budget, &large[i], LARGE_BYTES);
  CU_ASSERT_EQUAL (n_large, LIMIT_BYTES / 2 / LARGE_BYTES);
  for (int i = 0; i < HOLDERS; i++)
    n_small += memory_budget_resize (&budget, &small[i], MEMORY_SMALL_BYTES);
  CU_ASSERT_EQUAL (n_small, LIMIT_BYTES / 2 / MEMORY_SMALL_BYTES);
  CU_ASSERT_EQUAL (budget.n_refusals, 2 * HOLDERS - n_large - n_small);
}

/* A holder that gets no more keeps what it has, and all comes back. */
static void
test_growth (void)
{
  struct memory_budget budget;
  size_t first = 0;
  size_t second = 0;

  memory_budget_init (&budget, LIMIT_BYTES);
  CU_ASSERT (memory_budget_resize (&budget, &first, 4 * LARGE_BYTES));
  CU_ASSERT (memory_budget_resize (&budget, &second, MEMORY_SMALL_BYTES));
  CU_ASSERT (!memory_budget_resize (&budget, &second, 2 * LARGE_BYTES));
  CU_ASSERT_EQUAL (second, MEMORY_SMALL_BYTES);
  CU_ASSERT (!memory_budget_fits (&budget, 2 * LARGE_BYTES));
  CU_ASSERT (memory_budget_resize (&budget, &first, LARGE_BYTES));
  CU_ASSERT (memory_budget_resize (&budget, &second, 2 * LARGE_BYTES));
  memory_budget_force (&budget, &first, 2 * LIMIT_BYTES);
  CU_ASSERT (!memory_budget_fits (&budget, 1));
  CU_ASSERT (memory_budget_resize (&budget, &first, 0));
  CU_ASSERT (memory_budget_resize (&budget, &second, 0));
  CU_ASSERT (budget.used == 0 && budget.large_used == 0);
}

static const struct suite_test tests[] = {
  { "small beside large", test_small_beside_large },
  { "growth", test_growth },
};

int
main (void)
{
  return suite_run ("memory_budget", tests, sizeof tests / sizeof tests[0]);
}
