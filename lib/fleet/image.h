#ifndef SESAMEPICK_LIB_FLEET_IMAGE_H
#define SESAMEPICK_LIB_FLEET_IMAGE_H

#include "state.pb-c.h"

/* Format of the saved state: a packed sp.State message, followed by its XXH64 hash (8 bytes, little
 * endian). */

enum
{
  IMAGE_VERSION = 1,
  IMAGE_CHECKSUM_BYTES = 8,
};

#endif
