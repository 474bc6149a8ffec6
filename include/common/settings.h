#ifndef SESAMEPICK_COMMON_SETTINGS_H
#define SESAMEPICK_COMMON_SETTINGS_H

#include <protobuf-c/protobuf-c.h>

/* Describes one field of a settings message; protocols/settings_table.c lists them. min and max
 * apply to numbers; unit is "" for a string. */
struct setting_info
{
  const char *field;
  const char *help;
  const char *unit;
  uint64_t min;
  uint64_t max;
};

struct settings_schema
{
  const ProtobufCMessageDescriptor *descriptor;
  const struct setting_info *fields;
  size_t n_fields;
};

/* Generated from protocols/settings.proto into protocols/settings_table.c. */
extern const struct settings_schema entryd_schema;
extern const struct settings_schema fleetd_schema;
extern const struct settings_schema cli_schema;
extern const struct settings_schema platform_schema;
extern const struct settings_schema worker_schema;
extern const struct settings_schema faults_schema;
extern const struct settings_schema load_schema;
extern const struct settings_schema jobd_schema;
extern const struct settings_schema cluster_schema;

enum settings_result
{
  SETTINGS_OK,
  /* --help or --version was printed; the program exits with 0. */
  SETTINGS_INFO_PRINTED,
  /* A setting is invalid and an error message was printed; the program exits with 2. */
  SETTINGS_INVALID,
};

/* Reads a program's settings from its options and the environment into message, which must be
 * initialized with the schema's defaults. operands describes the operands for --help, or is NULL if
 * none are allowed; if operand_list is not NULL, it receives the operands, to be freed with
 * g_strfreev. */
enum settings_result settings_read (const struct settings_schema *schema, ProtobufCMessage *message,
                                    const char *program, const char *summary, int argc, char **argv,
                                    const char *operands, char ***operand_list);

/* Splits a comma-separated list; free with g_strfreev. An empty string yields an empty list. */
char **settings_split_list (const char *text);
/* Parses IP:PORT. Returns 0 or -EINVAL; ip must have room for 64 bytes. */
int settings_parse_endpoint (const char *text, char ip[64], uint16_t *port);

#endif
