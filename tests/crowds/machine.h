#ifndef SESAMEPICK_TESTS_CROWDS_MACHINE_H
#define SESAMEPICK_TESTS_CROWDS_MACHINE_H

#include "crowd.h"

/* Crowds are played at a quarter of the size of a machine, which has 260 MB and 4,100 descriptors
 * for a process. */
enum
{
  MACHINE_MEMORY_BYTES = 260 * 1000 * 1000 / 4,
  MACHINE_DESCRIPTORS = 4100 / 4,
  /* Of 2,000 by default. */
  MACHINE_CALLER_CONNECTIONS = 2000 / 4,
};

/* The setting by which a process knows its memory. */
#define MACHINE_MEMORY_FLAG "--memory-mb=65"

/* Checks that a process has stayed within the machine's memory and descriptors. */
void machine_check_usage (const struct crowd_usage *usage);

#endif
