#ifndef SESAMEPICK_COMMON_SETTINGS_H
#define SESAMEPICK_COMMON_SETTINGS_H

#include <protobuf-c/protobuf-c.h>

/* One field of a settings message, as protocols/settings_table.c lists it. */
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

/* Generated from settings.proto. */
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
  /* --help or --version was printed: exit with 0. */
  SETTINGS_SHOWN,
  /* One line on standard error says what is wrong: exit with 2. */
  SETTINGS_BAD,
};

enum settings_result settings_read (const struct settings_schema *schema, ProtobufCMessage *message,
                                    const char *program, const char *summary, int argc, char **argv,
                                    const char *operands, char ***rest);

/* Cuts "A,B,C" at the commas; free with g_strfreev. An empty text gives an empty list. */
char **settings_list (const char *text);
/* Reads IP:PORT. Gives 0 or -EINVAL; ip must hold 64 bytes. */
int settings_endpoint (const char *text, char ip[64], uint16_t *port);

#endif
