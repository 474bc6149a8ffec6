#ifndef SESAMEPICK_LIB_VERSION_H
#define SESAMEPICK_LIB_VERSION_H

const char *sesamepick_version (void);

#endif
