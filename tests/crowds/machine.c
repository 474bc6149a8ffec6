#include "machine.h"

#include <inttypes.h>
#include <stdio.h>

#include "suite.h"

void
machine_check_usage (const struct crowd_usage *usage)
{
  printf ("peak %" PRId64 " bytes, with unread bytes %" PRId64 ", descriptors %u\n",
          usage->peak_bytes, usage->peak_with_unread_bytes, usage->descriptors);
  CU_ASSERT (usage->peak_bytes <= MACHINE_MEMORY_BYTES);
  CU_ASSERT (usage->peak_with_unread_bytes <= MACHINE_MEMORY_BYTES);
  CU_ASSERT (usage->descriptors <= MACHINE_DESCRIPTORS);
}
