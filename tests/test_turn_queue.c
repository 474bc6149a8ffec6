#include "common/turn_queue.h"
#include "suite.h"

enum
{
  ALLOWANCE = 1000,
  WAITING = 50,
};

/* No iteration does more than its allowance, but for one piece that exceeds it alone; small work
 * doesn't wait for large work, and neither starves. */
static void
test_iterations (void)
{
  struct turn_queue queue;
  struct turn small[WAITING] = { 0 };
  struct turn large[WAITING] = { 0 };
  unsigned n_done[N_TURN_SIZES] = { 0 };

  turn_queue_init (&queue, ALLOWANCE);
  CU_ASSERT (turn_queue_take (&queue, 1, 2 * ALLOWANCE, TURN_LARGE));
  CU_ASSERT (!turn_queue_take (&queue, 1, 1, TURN_LARGE));
  CU_ASSERT (turn_queue_take (&queue, 1, ALLOWANCE, TURN_SMALL));
  CU_ASSERT (!turn_queue_take (&queue, 1, 1, TURN_SMALL));
  for (int i = 0; i < WAITING; i++)
    {
      turn_queue_wait (&queue, &small[i], ALLOWANCE / 10, TURN_SMALL);
      turn_queue_wait (&queue, &large[i], 2 * ALLOWANCE, TURN_LARGE);
    }
  CU_ASSERT_PTR_NULL (turn_queue_next (&queue, 1));
  for (unsigned iteration = 2; !turn_queue_is_empty (&queue); iteration++)
    {
      unsigned n[N_TURN_SIZES] = { 0 };
      struct turn *turn;

      while ((turn = turn_queue_next (&queue, iteration)))
        n[turn->size]++;
      CU_ASSERT (n[TURN_SMALL] <= 10);
      CU_ASSERT_EQUAL (n[TURN_LARGE], 1);
      n_done[TURN_SMALL] += n[TURN_SMALL];
      n_done[TURN_LARGE] += n[TURN_LARGE];
      if (iteration == 6)
        CU_ASSERT_EQUAL (n_done[TURN_SMALL], WAITING);
    }
  CU_ASSERT_EQUAL (n_done[TURN_LARGE], WAITING);
}

/* New work doesn't overtake work of its size that waits, and removed work has no turn. */
static void
test_order (void)
{
  struct turn_queue queue;
  struct turn first = { 0 };
  struct turn second = { 0 };
  struct turn third = { 0 };

  turn_queue_init (&queue, ALLOWANCE);
  turn_queue_wait (&queue, &first, 1, TURN_SMALL);
  turn_queue_wait (&queue, &second, 1, TURN_SMALL);
  turn_queue_wait (&queue, &third, 1, TURN_SMALL);
  CU_ASSERT (!turn_queue_take (&queue, 1, 1, TURN_SMALL));
  CU_ASSERT (turn_queue_take (&queue, 1, 1, TURN_LARGE));
  turn_queue_remove (&queue, &second);
  turn_queue_remove (&queue, &second);
  CU_ASSERT_PTR_EQUAL (turn_queue_next (&queue, 1), &first);
  CU_ASSERT_PTR_EQUAL (turn_queue_next (&queue, 1), &third);
  CU_ASSERT_PTR_NULL (turn_queue_next (&queue, 1));
  CU_ASSERT (turn_queue_take (&queue, 1, 1, TURN_SMALL));
}

static const struct suite_test tests[] = {
  { "iterations", test_iterations },
  { "order", test_order },
};

int
main (void)
{
  return suite_run ("turn_queue", tests, sizeof tests / sizeof tests[0]);
}
