#include "common/settings.h"

#include <argtable2.h>
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/version.h"

enum
{
  /* Table entries after the settings' own options: --help, --version, the operands and the end
   * marker. */
  EXTRA_ENTRIES = 4,
  OPERANDS_MAX = 64,
};

/* A settings field with its option, environment variable and entry in the argument table. */
struct flag
{
  const struct setting_info *info;
  const ProtobufCFieldDescriptor *field;
  char *option;
  char *variable;
  char *help;
  struct arg_str *argument;
};

struct reader
{
  const struct settings_schema *schema;
  ProtobufCMessage *message;
  const char *program;
  struct flag *flags;
  void **table;
  struct arg_lit *help;
  struct arg_lit *version;
  struct arg_str *operands;
};

/* Returns the address of a field's value in the message. */
static void *
flag_value_address (const struct reader *reader, const struct flag *flag)
{
  return (char *) reader->message + flag->field->offset;
}

/* Builds the --help text of an option, with its range and default. */
static char *
flag_describe (const struct setting_info *info, const ProtobufCFieldDescriptor *field)
{
  if (field->type == PROTOBUF_C_TYPE_STRING)
    return g_strdup_printf ("%s (default \"%s\")", info->help, (const char *) field->default_value);
  if (field->type == PROTOBUF_C_TYPE_DOUBLE)
    return g_strdup_printf ("%s (%" PRIu64 " to %" PRIu64 " %s, fractions allowed, default %g)",
                            info->help, info->min, info->max, info->unit,
                            *(const double *) field->default_value);
  return g_strdup_printf ("%s (%" PRIu64 " to %" PRIu64 " %s, default %" PRIu32 ")", info->help,
                          info->min, info->max, info->unit,
                          *(const uint32_t *) field->default_value);
}

/* Initializes the flag of one field. */
static void
flag_init (struct flag *flag, const struct settings_schema *schema, size_t i)
{
  g_autofree char *upper = NULL;

  flag->info = &schema->fields[i];
  flag->field =
      protobuf_c_message_descriptor_get_field_by_name (schema->descriptor, flag->info->field);
  flag->option = g_strdelimit (g_strdup (flag->info->field), "_", '-');
  upper = g_ascii_strup (flag->info->field, -1);
  flag->variable = g_strconcat ("SESAMEPICK_", upper, NULL);
  flag->help = flag_describe (flag->info, flag->field);
  flag->argument = arg_str0 (NULL, flag->option, "VALUE", flag->help);
}

/* Builds the argument table from the schema. */
static void
reader_init (struct reader *reader, const char *operands)
{
  size_t n = reader->schema->n_fields;
  size_t at = 0;

  reader->flags = g_new0 (struct flag, n);
  reader->table = g_new0 (void *, n + EXTRA_ENTRIES);
  for (size_t i = 0; i < n; i++)
    {
      flag_init (&reader->flags[i], reader->schema, i);
      reader->table[at++] = reader->flags[i].argument;
    }
  reader->help = arg_lit0 ("h", "help", "Show this help and exit");
  reader->version = arg_lit0 ("V", "version", "Show the version and exit");
  reader->table[at++] = reader->help;
  reader->table[at++] = reader->version;
  if (operands)
    {
      reader->operands = arg_strn (NULL, NULL, operands, 0, OPERANDS_MAX, "");
      reader->table[at++] = reader->operands;
    }
  reader->table[at] = arg_end (1);
}

static void
reader_finish (struct reader *reader)
{
  size_t n = reader->schema->n_fields + (reader->operands ? EXTRA_ENTRIES : EXTRA_ENTRIES - 1);

  arg_freetable (reader->table, n);
  for (size_t i = 0; i < reader->schema->n_fields; i++)
    {
      g_free (reader->flags[i].option);
      g_free (reader->flags[i].variable);
      g_free (reader->flags[i].help);
    }
  g_free (reader->flags);
  g_free (reader->table);
}

/* Prints an error that names the invalid value and its source. Returns false, so that callers can
 * return the result. */
static bool
flag_report_invalid (const struct reader *reader, const struct flag *flag, const char *source,
                     const char *value)
{
  if (flag->info->unit[0] != '\0')
    fprintf (stderr, "%s: %s: \"%s\" is not a %s from %" PRIu64 " to %" PRIu64 " (%s)\n",
             reader->program, source, value,
             flag->field->type == PROTOBUF_C_TYPE_DOUBLE ? "number" : "whole number",
             flag->info->min, flag->info->max, flag->info->unit);
  else
    fprintf (stderr, "%s: %s: \"%s\" is not valid UTF-8\n", reader->program, source, value);
  return false;
}

/* Parses a decimal number in the setting's range; it may have a fraction. */
static bool
flag_parse_double (const struct flag *flag, const char *value, double *number)
{
  char *end;

  if (!g_ascii_isdigit (value[0]))
    return false;
  *number = g_ascii_strtod (value, &end);
  return *end == '\0' && *number >= (double) flag->info->min && *number <= (double) flag->info->max;
}

/* Validates a value and stores it in the message. */
static bool
flag_set_value (const struct reader *reader, const struct flag *flag, const char *source,
                const char *value)
{
  guint64 number;

  if (flag->field->type == PROTOBUF_C_TYPE_STRING)
    {
      if (!g_utf8_validate (value, -1, NULL))
        return flag_report_invalid (reader, flag, source, "?");
      *(char **) flag_value_address (reader, flag) = g_strdup (value);
      return true;
    }
  if (flag->field->type == PROTOBUF_C_TYPE_DOUBLE)
    {
      double fraction;

      if (!flag_parse_double (flag, value, &fraction))
        return flag_report_invalid (reader, flag, source, value);
      *(double *) flag_value_address (reader, flag) = fraction;
      *(protobuf_c_boolean *) ((char *) reader->message + flag->field->quantifier_offset) = true;
      return true;
    }
  if (!g_ascii_string_to_unsigned (value, 10, flag->info->min, flag->info->max, &number, NULL))
    return flag_report_invalid (reader, flag, source, value);
  *(uint32_t *) flag_value_address (reader, flag) = (uint32_t) number;
  *(protobuf_c_boolean *) ((char *) reader->message + flag->field->quantifier_offset) = true;
  return true;
}

/* Sets each field from its option or else from its environment variable; without either, the
 * default remains. */
static bool
reader_set_values (const struct reader *reader)
{
  for (size_t i = 0; i < reader->schema->n_fields; i++)
    {
      const struct flag *flag = &reader->flags[i];
      const char *variable = getenv (flag->variable);
      g_autofree char *option = g_strconcat ("--", flag->option, NULL);

      if (flag->argument->count > 0)
        {
          if (!flag_set_value (reader, flag, option, flag->argument->sval[0]))
            return false;
        }
      else if (variable && !flag_set_value (reader, flag, flag->variable, variable))
        return false;
    }
  return true;
}

static void
reader_show_help (const struct reader *reader, const char *summary, const char *operands)
{
  printf ("usage: %s [OPTION]... %s\n%s\n\n", reader->program, operands ? operands : "", summary);
  arg_print_glossary (stdout, reader->table, "  %-32s %s\n");
  printf (
      "\nEach option can also be set in the environment, as SESAMEPICK_ and its name in capitals\n"
      "with _ for -; the command line takes precedence.\n");
}

/* Evaluates the parsed table: help, version, errors, values, operands. The end marker, which holds
 * the errors, is the last entry. */
static enum settings_result
reader_evaluate (struct reader *reader, int errors, const char *summary, const char *operands,
                 char ***operand_list)
{
  if (reader->help->count > 0)
    {
      reader_show_help (reader, summary, operands);
      return SETTINGS_INFO_PRINTED;
    }
  if (reader->version->count > 0)
    {
      printf ("%s %s\n", reader->program, SESAMEPICK_VERSION);
      return SETTINGS_INFO_PRINTED;
    }
  if (errors > 0)
    {
      size_t end = reader->schema->n_fields + (reader->operands ? 3 : 2);
      arg_print_errors (stderr, reader->table[end], reader->program);
      return SETTINGS_INVALID;
    }
  if (!reader_set_values (reader))
    return SETTINGS_INVALID;
  if (operand_list)
    {
      GPtrArray *list = g_ptr_array_new ();

      for (int i = 0; reader->operands && i < reader->operands->count; i++)
        g_ptr_array_add (list, g_strdup (reader->operands->sval[i]));
      g_ptr_array_add (list, NULL);
      *operand_list = (char **) g_ptr_array_free (list, FALSE);
    }
  return SETTINGS_OK;
}

/* Reads a program's settings from its options and the environment into message, which must be
 * initialized with the schema's defaults. If a setting is invalid, prints an error to standard
 * error and returns SETTINGS_INVALID; the program must then not start. operands describes the
 * operands for --help, or is NULL if none are allowed; if operand_list is not NULL, it receives the
 * operands, to be freed with g_strfreev. */
enum settings_result
settings_read (const struct settings_schema *schema, ProtobufCMessage *message, const char *program,
               const char *summary, int argc, char **argv, const char *operands,
               char ***operand_list)
{
  struct reader reader = { .schema = schema, .message = message, .program = program };
  enum settings_result result;
  int errors;

  reader_init (&reader, operands);
  errors = arg_parse (argc, argv, reader.table);
  result = reader_evaluate (&reader, errors, summary, operands, operand_list);
  reader_finish (&reader);
  return result;
}

/* Splits a comma-separated list; an empty string yields an empty list. Free with g_strfreev. */
char **
settings_split_list (const char *text)
{
  if (text[0] == '\0')
    return g_new0 (char *, 1);
  return g_strsplit (text, ",", -1);
}

/* Parses IP:PORT. Host names are rejected, since processes address each other by IP. Returns 0 or
 * -EINVAL. */
int
settings_parse_endpoint (const char *text, char ip[64], uint16_t *port)
{
  const char *colon = strrchr (text, ':');
  struct in_addr four;
  guint64 number;

  if (!colon || colon - text >= 64)
    return -EINVAL;
  memcpy (ip, text, (size_t) (colon - text));
  ip[colon - text] = '\0';
  if (inet_pton (AF_INET, ip, &four) != 1)
    return -EINVAL;
  if (!g_ascii_string_to_unsigned (colon + 1, 10, 1, UINT16_MAX, &number, NULL))
    return -EINVAL;
  *port = (uint16_t) number;
  return 0;
}
