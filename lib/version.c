#include "lib/version.h"

#include "common/version.h"

/* Returns the library's version, such as "0.1.0". */
const char *
sesamepick_version (void)
{
  return SESAMEPICK_VERSION;
}
