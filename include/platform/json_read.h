#ifndef SESAMEPICK_PLATFORM_JSON_READ_H
#define SESAMEPICK_PLATFORM_JSON_READ_H

#include <jansson.h>
#include <stdint.h>

/* Members of the platform's JSON objects. The object may be NULL. */

/* A number that must not be negative; 0 if it is missing or none, the nearest if out of range. */
uint32_t json_read_uint (const json_t *object, const char *name);
/* A whole number, or missing. */
int64_t json_read_int (const json_t *object, const char *name, int64_t missing);
/* A text that lives in the object; NULL if it is missing or none. */
const char *json_read_text (const json_t *object, const char *name);

#endif
