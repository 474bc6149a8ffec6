#ifndef SESAMEPICK_PLATFORM_JSON_READ_H
#define SESAMEPICK_PLATFORM_JSON_READ_H

#include <jansson.h>
#include <stdint.h>

/* Readers of members of the platform's JSON objects. The object may be NULL. */

/* Returns a number truncated to an integer, min or max if it lies beyond; 0 if value is NULL or not
 * a number. */
int64_t json_clamp (const json_t *value, int64_t min, int64_t max);
/* Returns a non-negative number, truncated to an integer and clamped to the range of the type; 0 if
 * it is missing or not a number. */
uint32_t json_read_uint (const json_t *object, const char *name);
/* Returns a time in ms, clamped to the range from 0 to 2^53; 0 if it is missing or not a number. */
int64_t json_read_time (const json_t *object, const char *name);
/* Returns a number truncated to an integer and clamped to 64 bits, or default_value if it is
 * missing or not a number. */
int64_t json_read_int (const json_t *object, const char *name, int64_t default_value);
/* Returns a string, which belongs to the object; NULL if it is missing or not a string. */
const char *json_read_string (const json_t *object, const char *name);

#endif
