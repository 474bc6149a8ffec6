#ifndef SESAMEPICK_COMMON_MESSAGE_TEXT_H
#define SESAMEPICK_COMMON_MESSAGE_TEXT_H

#include <jansson.h>
#include <protobuf-c/protobuf-c.h>
#include <stddef.h>

/* Converts protobuf messages to JSON and from JSON or YAML by walking their descriptors, so that
 * logs, operators and files share one schema. Enum values are written as short lower-case names,
 * oneof cases as the name of their field, and 64-bit integers as numbers. */

struct text_error
{
  /* 1-based line in the YAML file; 0 for JSON. */
  size_t line;
  /* Path of the invalid field, for example declarations[2].pool.capacity_target. */
  char field[160];
  char expected[160];
};

json_t *message_to_json (const ProtobufCMessage *message);
/* Returns NULL and fills error if a field is unknown, has the wrong type or is out of range. Free
 * the message with protobuf_c_message_free_unpacked (message, NULL). */
ProtobufCMessage *message_from_json (const ProtobufCMessageDescriptor *descriptor,
                                     const json_t *json, struct text_error *error);
/* Like message_from_json, for the first document of a YAML text. */
ProtobufCMessage *message_from_yaml (const ProtobufCMessageDescriptor *descriptor, const char *text,
                                     size_t len, struct text_error *error);

#endif
