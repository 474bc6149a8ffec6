#include "common/message_text.h"

#include <glib.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <yaml.h>

/* State of a conversion from JSON or YAML. */
struct text_reader
{
  struct text_error *error;
  /* Maps each json_t to its line in the YAML file; NULL for JSON. */
  GHashTable *lines;
};

static bool message_fill (struct text_reader *reader, ProtobufCMessage *message, const json_t *json,
                          const char *path);

/* Returns the short lower-case name of an enum value: "STEP_KIND_MOVE" becomes "move". The prefix
 * to skip is the name of the enum, StepKind, with an underscore before each further capital. The
 * caller frees the result. */
static char *
enum_short_name (const ProtobufCEnumDescriptor *descriptor, const ProtobufCEnumValue *value)
{
  size_t prefix = 0;

  for (const char *c = descriptor->short_name; *c; c++)
    prefix += g_ascii_isupper (*c) && c != descriptor->short_name ? 2 : 1;
  return g_ascii_strdown (value->name + prefix + 1, -1);
}

/* Finds the number of an enum value by its short name. Returns false if there is none. */
static bool
enum_find (const ProtobufCEnumDescriptor *descriptor, const char *name, int *number)
{
  for (unsigned i = 0; i < descriptor->n_values; i++)
    {
      g_autofree char *known = enum_short_name (descriptor, &descriptor->values[i]);

      if (strcmp (known, name) == 0)
        {
          *number = descriptor->values[i].value;
          return true;
        }
    }
  return false;
}

/* Converts one value of a field to JSON; place points to the value. */
static json_t *
value_to_json (const ProtobufCFieldDescriptor *field, const void *place)
{
  const ProtobufCEnumDescriptor *enumeration;
  const ProtobufCEnumValue *value;
  const ProtobufCBinaryData *bytes;
  GString *hex;
  json_t *json;

  switch (field->type)
    {
    case PROTOBUF_C_TYPE_UINT32:
      return json_integer (*(const uint32_t *) place);
    case PROTOBUF_C_TYPE_INT32:
      return json_integer (*(const int32_t *) place);
    case PROTOBUF_C_TYPE_UINT64:
    case PROTOBUF_C_TYPE_INT64:
      return json_integer (*(const int64_t *) place);
    case PROTOBUF_C_TYPE_BOOL:
      return json_boolean (*(const protobuf_c_boolean *) place);
    case PROTOBUF_C_TYPE_STRING:
      return json_string (*(char *const *) place ? *(char *const *) place : "");
    case PROTOBUF_C_TYPE_ENUM:
      enumeration = field->descriptor;
      value = protobuf_c_enum_descriptor_get_value (enumeration, *(const int *) place);
      if (!value)
        return json_integer (*(const int *) place);
      {
        g_autofree char *name = enum_short_name (enumeration, value);
        return json_string (name);
      }
    case PROTOBUF_C_TYPE_MESSAGE:
      return message_to_json (*(ProtobufCMessage *const *) place);
    case PROTOBUF_C_TYPE_BYTES:
      bytes = place;
      hex = g_string_new (NULL);
      for (size_t i = 0; i < bytes->len; i++)
        g_string_append_printf (hex, "%02x", bytes->data[i]);
      json = json_string (hex->str);
      g_string_free (hex, TRUE);
      return json;
    default:
      g_assert_not_reached ();
    }
}

/* Returns the size of one value in a message or in the array of a repeated field. */
static size_t
value_size (ProtobufCType type)
{
  switch (type)
    {
    case PROTOBUF_C_TYPE_UINT32:
    case PROTOBUF_C_TYPE_INT32:
    case PROTOBUF_C_TYPE_ENUM:
      return sizeof (uint32_t);
    case PROTOBUF_C_TYPE_UINT64:
    case PROTOBUF_C_TYPE_INT64:
      return sizeof (uint64_t);
    case PROTOBUF_C_TYPE_BOOL:
      return sizeof (protobuf_c_boolean);
    case PROTOBUF_C_TYPE_BYTES:
      return sizeof (ProtobufCBinaryData);
    default:
      return sizeof (void *);
    }
}

/* Converts a repeated field to a JSON array. */
static json_t *
array_to_json (const ProtobufCFieldDescriptor *field, const ProtobufCMessage *message)
{
  const char *base = (const char *) message;
  size_t n = *(const size_t *) (base + field->quantifier_offset);
  const char *items = *(char *const *) (base + field->offset);
  json_t *array = json_array ();

  for (size_t i = 0; i < n; i++)
    json_array_append_new (array, value_to_json (field, items + i * value_size (field->type)));
  return array;
}

/* Returns whether a singular field has a value to print. */
static bool
field_is_set (const ProtobufCFieldDescriptor *field, const ProtobufCMessage *message)
{
  const char *base = (const char *) message;

  if (field->flags & PROTOBUF_C_FIELD_FLAG_ONEOF)
    return *(const uint32_t *) (base + field->quantifier_offset) == field->id;
  if (field->type == PROTOBUF_C_TYPE_MESSAGE)
    return *(void *const *) (base + field->offset) != NULL;
  return true;
}

/* Converts a message to a JSON object with the fields in schema order. */
json_t *
message_to_json (const ProtobufCMessage *message)
{
  json_t *object = json_object ();

  for (unsigned i = 0; i < message->descriptor->n_fields; i++)
    {
      const ProtobufCFieldDescriptor *field = &message->descriptor->fields[i];
      const char *place = (const char *) message + field->offset;

      if (field->label == PROTOBUF_C_LABEL_REPEATED)
        json_object_set_new (object, field->name, array_to_json (field, message));
      else if (field_is_set (field, message))
        json_object_set_new (object, field->name, value_to_json (field, place));
    }
  return object;
}

/* Records the error at a path. Returns false, so that callers can return the result. */
static bool
reader_set_error (struct text_reader *reader, const json_t *json, const char *path,
                  const char *expected)
{
  if (reader->lines)
    reader->error->line = GPOINTER_TO_SIZE (g_hash_table_lookup (reader->lines, json));
  snprintf (reader->error->field, sizeof reader->error->field, "%s", path);
  snprintf (reader->error->expected, sizeof reader->error->expected, "%s", expected);
  return false;
}

/* Parses a whole number from 0 to max. */
static bool
number_fill (struct text_reader *reader, const json_t *json, const char *path, uint64_t max,
             uint64_t *number)
{
  char expected[80];

  if (json_is_integer (json) && json_integer_value (json) >= 0 &&
      (uint64_t) json_integer_value (json) <= max)
    {
      *number = (uint64_t) json_integer_value (json);
      return true;
    }
  snprintf (expected, sizeof expected, "a whole number from 0 to %" PRIu64, max);
  return reader_set_error (reader, json, path, expected);
}

/* Parses the short name of an enum value. */
static bool
enum_fill (struct text_reader *reader, const ProtobufCEnumDescriptor *descriptor,
           const json_t *json, const char *path, void *place)
{
  const char *name = json_string_value (json);
  GString *names;

  if (name && enum_find (descriptor, name, place))
    return true;
  names = g_string_new ("one of:");
  for (unsigned i = 0; i < descriptor->n_values; i++)
    {
      g_autofree char *known = enum_short_name (descriptor, &descriptor->values[i]);
      g_string_append_printf (names, " %s", known);
    }
  reader_set_error (reader, json, path, names->str);
  g_string_free (names, TRUE);
  return false;
}

/* Parses a message and stores a pointer to it in place. */
static bool
submessage_fill (struct text_reader *reader, const ProtobufCMessageDescriptor *descriptor,
                 const json_t *json, const char *path, void *place)
{
  ProtobufCMessage *message = malloc (descriptor->sizeof_message);

  protobuf_c_message_init (descriptor, message);
  *(ProtobufCMessage **) place = message;
  return message_fill (reader, message, json, path);
}

/* Parses one value of a field and stores it in place. Other types, such as signed integers, are
 * rejected. */
static bool
value_fill (struct text_reader *reader, const ProtobufCFieldDescriptor *field, const json_t *json,
            const char *path, void *place)
{
  uint64_t number = 0;

  switch (field->type)
    {
    case PROTOBUF_C_TYPE_UINT32:
      if (!number_fill (reader, json, path, UINT32_MAX, &number))
        return false;
      *(uint32_t *) place = (uint32_t) number;
      return true;
    case PROTOBUF_C_TYPE_UINT64:
      if (!number_fill (reader, json, path, INT64_MAX, &number))
        return false;
      *(uint64_t *) place = number;
      return true;
    case PROTOBUF_C_TYPE_BOOL:
      if (!json_is_boolean (json))
        return reader_set_error (reader, json, path, "true or false");
      *(protobuf_c_boolean *) place = json_is_true (json);
      return true;
    case PROTOBUF_C_TYPE_STRING:
      if (!json_is_string (json))
        return reader_set_error (reader, json, path, "a text");
      *(char **) place = strdup (json_string_value (json));
      return true;
    case PROTOBUF_C_TYPE_ENUM:
      return enum_fill (reader, field->descriptor, json, path, place);
    case PROTOBUF_C_TYPE_MESSAGE:
      return submessage_fill (reader, field->descriptor, json, path, place);
    default:
      return reader_set_error (reader, json, path, "no value: this field can't be written as text");
    }
}

/* Parses an array into a repeated field. */
static bool
array_fill (struct text_reader *reader, const ProtobufCFieldDescriptor *field,
            ProtobufCMessage *message, const json_t *json, const char *path)
{
  char *base = (char *) message;
  size_t *n = (size_t *) (base + field->quantifier_offset);
  size_t size = value_size (field->type);
  char *items;

  if (!json_is_array (json))
    return reader_set_error (reader, json, path, "a list");
  items = calloc (json_array_size (json) + 1, size);
  *(char **) (base + field->offset) = items;
  for (size_t i = 0; i < json_array_size (json); i++)
    {
      g_autofree char *item_path = g_strdup_printf ("%s[%zu]", path, i);

      (*n)++;
      if (!value_fill (reader, field, json_array_get (json, i), item_path, items + i * size))
        return false;
    }
  return true;
}

/* Parses one field of a message. */
static bool
field_fill (struct text_reader *reader, const ProtobufCFieldDescriptor *field,
            ProtobufCMessage *message, const json_t *json, const char *path)
{
  char *base = (char *) message;

  if (field->label == PROTOBUF_C_LABEL_REPEATED)
    return array_fill (reader, field, message, json, path);
  if (field->flags & PROTOBUF_C_FIELD_FLAG_ONEOF)
    {
      uint32_t *which = (uint32_t *) (base + field->quantifier_offset);

      if (*which != 0)
        return reader_set_error (reader, json, path, "only one kind in this place");
      *which = field->id;
    }
  return value_fill (reader, field, json, path, base + field->offset);
}

/* Parses a JSON object into an initialized message. */
static bool
message_fill (struct text_reader *reader, ProtobufCMessage *message, const json_t *json,
              const char *path)
{
  const char *key;
  json_t *value;

  if (!json_is_object (json))
    return reader_set_error (reader, json, path, "a map of fields");
  json_object_foreach ((json_t *) json, key, value)
    {
      const ProtobufCFieldDescriptor *field =
          protobuf_c_message_descriptor_get_field_by_name (message->descriptor, key);
      g_autofree char *field_path = path[0] ? g_strdup_printf ("%s.%s", path, key) : g_strdup (key);

      if (!field)
        {
          g_autofree char *expected =
              g_strdup_printf ("a field of %s", message->descriptor->short_name);
          return reader_set_error (reader, value, field_path, expected);
        }
      if (!field_fill (reader, field, message, value, field_path))
        return false;
    }
  return true;
}

/* Builds a message from JSON; errors carry line numbers if the JSON was read from YAML. */
static ProtobufCMessage *
message_build (struct text_reader *reader, const ProtobufCMessageDescriptor *descriptor,
               const json_t *json)
{
  ProtobufCMessage *message = malloc (descriptor->sizeof_message);

  memset (reader->error, 0, sizeof *reader->error);
  protobuf_c_message_init (descriptor, message);
  if (message_fill (reader, message, json, ""))
    return message;
  protobuf_c_message_free_unpacked (message, NULL);
  return NULL;
}

/* Parses a message from a JSON object. Returns NULL on failure; error then names the field and what
 * was expected of it. */
ProtobufCMessage *
message_from_json (const ProtobufCMessageDescriptor *descriptor, const json_t *json,
                   struct text_error *error)
{
  struct text_reader reader = { .error = error };

  return message_build (&reader, descriptor, json);
}

/* Converts a YAML scalar to JSON. Unquoted whole numbers, true and false keep their type;
 * everything else becomes a string. */
static json_t *
scalar_to_json (const yaml_node_t *node)
{
  const char *text = (const char *) node->data.scalar.value;
  gint64 number;

  if (node->data.scalar.style != YAML_PLAIN_SCALAR_STYLE)
    return json_string (text);
  if (g_ascii_string_to_signed (text, 10, G_MININT64, G_MAXINT64, &number, NULL))
    return json_integer (number);
  if (strcmp (text, "true") == 0 || strcmp (text, "false") == 0)
    return json_boolean (text[0] == 't');
  return json_string (text);
}

static json_t *node_to_json (yaml_document_t *document, const yaml_node_t *node, GHashTable *lines);

/* Converts a YAML mapping to a JSON object. Returns NULL if a key is duplicated or is not a
 * scalar. */
static json_t *
mapping_to_json (yaml_document_t *document, const yaml_node_t *node, GHashTable *lines)
{
  json_t *object = json_object ();

  for (const yaml_node_pair_t *pair = node->data.mapping.pairs.start;
       pair < node->data.mapping.pairs.top; pair++)
    {
      const yaml_node_t *key = yaml_document_get_node (document, pair->key);
      const yaml_node_t *value = yaml_document_get_node (document, pair->value);
      const char *name = (const char *) key->data.scalar.value;
      json_t *json;

      if (key->type != YAML_SCALAR_NODE || json_object_get (object, name))
        {
          json_decref (object);
          return NULL;
        }
      json = node_to_json (document, value, lines);
      if (!json || json_object_set_new (object, name, json) < 0)
        {
          json_decref (object);
          return NULL;
        }
    }
  return object;
}

/* Converts a YAML sequence to a JSON array. */
static json_t *
sequence_to_json (yaml_document_t *document, const yaml_node_t *node, GHashTable *lines)
{
  json_t *array = json_array ();

  for (const yaml_node_item_t *item = node->data.sequence.items.start;
       item < node->data.sequence.items.top; item++)
    {
      json_t *json = node_to_json (document, yaml_document_get_node (document, *item), lines);

      if (!json)
        {
          json_decref (array);
          return NULL;
        }
      json_array_append_new (array, json);
    }
  return array;
}

/* Converts a YAML node to JSON and records its line. */
static json_t *
node_to_json (yaml_document_t *document, const yaml_node_t *node, GHashTable *lines)
{
  json_t *json = NULL;

  if (node->type == YAML_SCALAR_NODE)
    json = scalar_to_json (node);
  else if (node->type == YAML_SEQUENCE_NODE)
    json = sequence_to_json (document, node, lines);
  else if (node->type == YAML_MAPPING_NODE)
    json = mapping_to_json (document, node, lines);
  if (json)
    g_hash_table_insert (lines, json, GSIZE_TO_POINTER (node->start_mark.line + 1));
  return json;
}

/* Records where and why the YAML can't be read. Without a libyaml error, the document is empty or
 * was rejected by node_to_json. */
static void
yaml_set_error (const yaml_parser_t *parser, struct text_error *error)
{
  memset (error, 0, sizeof *error);
  error->line = parser->problem_mark.line + 1;
  snprintf (error->field, sizeof error->field, "-");
  snprintf (error->expected, sizeof error->expected, "YAML (%s)",
            parser->problem ? parser->problem : "one document with a map");
}

/* Parses a message from the first document of a YAML text. Returns NULL on failure; error then
 * names the line, the field and what was expected. */
ProtobufCMessage *
message_from_yaml (const ProtobufCMessageDescriptor *descriptor, const char *text, size_t len,
                   struct text_error *error)
{
  GHashTable *lines = g_hash_table_new (NULL, NULL);
  struct text_reader reader = { .error = error, .lines = lines };
  ProtobufCMessage *message = NULL;
  yaml_document_t document;
  yaml_parser_t parser;
  json_t *json = NULL;

  yaml_parser_initialize (&parser);
  yaml_parser_set_input_string (&parser, (const unsigned char *) text, len);
  if (yaml_parser_load (&parser, &document))
    {
      if (yaml_document_get_root_node (&document))
        json = node_to_json (&document, yaml_document_get_root_node (&document), lines);
      yaml_document_delete (&document);
    }
  if (json)
    message = message_build (&reader, descriptor, json);
  else
    yaml_set_error (&parser, error);
  json_decref (json);
  yaml_parser_delete (&parser);
  g_hash_table_unref (lines);
  return message;
}
