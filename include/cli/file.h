#ifndef SESAMEPICK_CLI_FILE_H
#define SESAMEPICK_CLI_FILE_H

#include <jansson.h>
#include <protobuf-c/protobuf-c.h>

/* Reads a YAML file as a message of the schema and returns it as JSON for fleetd. On failure prints
 * one line to standard error (file, line, field and what was expected) and returns NULL. */
json_t *file_read_message (const char *path, const ProtobufCMessageDescriptor *descriptor);

#endif
