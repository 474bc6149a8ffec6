#include "cli/file.h"

#include <glib.h>
#include <stdio.h>

#include "common/message_text.h"

/* Reads a YAML file as a message of the schema and returns it as JSON for fleetd. Returns NULL
 * after printing an error. */
json_t *
file_read_message (const char *path, const ProtobufCMessageDescriptor *descriptor)
{
  g_autoptr (GError) problem = NULL;
  g_autofree char *text = NULL;
  struct text_error error;
  ProtobufCMessage *message;
  json_t *json;
  gsize len;

  if (!g_file_get_contents (path, &text, &len, &problem))
    {
      fprintf (stderr, "%s\n", problem->message);
      return NULL;
    }
  message = message_from_yaml (descriptor, text, len, &error);
  if (!message)
    {
      fprintf (stderr, "%s:%zu: %s: expected %s\n", path, error.line, error.field, error.expected);
      return NULL;
    }
  json = message_to_json (message);
  protobuf_c_message_free_unpacked (message, NULL);
  return json;
}
